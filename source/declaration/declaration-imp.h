#ifndef CSP_DECLARATION_IMP_H
#define CSP_DECLARATION_IMP_H

#include "cowslipspoke/declaration.h"
#include "fields/fields-imp.h"

#include <stdatomic.h>

/* Kinds of values in the order of their keys.  */
typedef enum
{
  CSP_KIND_ORGANISATION,
  CSP_KIND_ROUTE,
  CSP_KIND_RULE_ORDER,
  CSP_KIND_RULE,
  CSP_KIND_SERVICE,
  CSP_KIND_POOL,
  CSP_KIND_COUNT
} csp_kind_t;

enum
{
  /* More of one kind are refused, so that a faulty generator can't fill a
     host's memory.  The planned size is 1,600 organisations.  */
  CSP_ORGANISATIONS_MAX = 20000,
  CSP_ITEMS_MAX = 2000,
  CSP_PRIORITY_UNSET = 255
};

/* Names that a rule accepts, sorted by hash; none means that all are.  */
typedef struct
{
  const char *const *declared;
  const char **names;
  uint64_t *hashes;
  size_t count;
} csp_name_set_t;

typedef enum
{
  CSP_WHEN_ORGANISATION,
  CSP_WHEN_ROUTE,
  CSP_WHEN_SERVICE,
  CSP_WHEN_CLASS,
  CSP_WHEN_DATA_CENTRE,
  CSP_WHEN_SETS
} csp_when_set_t;

typedef enum
{
  CSP_WHEN_PRIORITY,
  CSP_WHEN_PROMPT_TOKENS,
  CSP_WHEN_LOAD,
  CSP_WHEN_TIME_IN_QUEUE,
  CSP_WHEN_RANGES
} csp_when_range_t;

/* Both ends belong to the range.  */
typedef struct
{
  double min;
  double max;
} csp_range_t;

typedef struct
{
  csp_name_set_t sets[CSP_WHEN_SETS];
  csp_range_t ranges[CSP_WHEN_RANGES];
} csp_when_t;

/* What a rule says to do; of the four exactly one is there.  */
typedef struct
{
  bool has_send;
  bool has_lend;
  bool has_spill;
  bool has_turn_away;
  csp_terms_t send;
  csp_terms_t lend;
  double lend_max_load;
  csp_terms_t spill;
  const char *spill_data_centre;
  const char *reason;
  uint32_t retry_after_ms;
} csp_then_t;

typedef struct
{
  const char *name;
  /* Of the item, for faults.  */
  const char *where;
  const char *note;
  csp_when_t when;
  csp_then_t then;
  csp_action_t action;
} csp_rule_t;

typedef struct
{
  const char *const *names;
  size_t count;
} csp_rule_order_t;

/* One value, parsed.  It is shared by all declarations that have it.  */
typedef struct
{
  atomic_int references;
  csp_kind_t kind;
  char *key;
  char *where;
  /* Behind the slash of the key.  */
  const char *name;
  char *text;
  size_t text_bytes;
  struct json_object *root;
  csp_arena_t *arena;
  union
  {
    csp_organisation_t organisation;
    csp_route_t route;
    csp_service_t service;
    csp_pool_t pool;
    csp_rule_t rule;
    csp_rule_order_t order;
  } is;
} csp_item_t;

/* Bearer keys to organisations, open addressing; size is a power of two.  */
typedef struct
{
  const char *key;
  const csp_organisation_t *organisation;
} csp_key_slot_t;

struct csp_declaration
{
  /* Sorted by key, so that each kind is one run.  */
  csp_item_t **items;
  size_t item_count;
  size_t first[CSP_KIND_COUNT];
  size_t count[CSP_KIND_COUNT];
  const csp_rule_t **rules;
  size_t rule_count;
  csp_key_slot_t *keys;
  size_t key_slots;
  /* Keys of values that could not be parsed, while the declaration is built:
     what refers to them is no fault of its own.  */
  const char **broken;
  size_t broken_count;
};

extern const csp_field_t csp_organisation_table[];
extern const csp_field_t csp_route_table[];
extern const csp_field_t csp_service_table[];
extern const csp_field_t csp_pool_table[];
extern const csp_field_t csp_rule_table[];

/* The kind of a key and the name behind its slash; false if there is none.  */
bool csp_split_key (const char *key, csp_kind_t *kind, const char **name);

/* Parse one value; NULL with faults where it is wrong.  The caller holds the
   only reference.  */
csp_item_t *csp_parse_item (const csp_declared_value_t *value,
                            csp_faults_t *faults);
csp_item_t *csp_hold_item (csp_item_t *item);
void csp_release_item (csp_item_t *item);

/* The item of a kind and name; NULL if there is none.  */
const csp_item_t *csp_find_item (const csp_declaration_t *declaration,
                                 csp_kind_t kind, const char *name);

/* Check what values say of each other and build the order and the keys.  */
void csp_link_declaration (csp_declaration_t *declaration,
                           csp_faults_t *faults);

/* Hash of a name; the same within one process only.  */
uint64_t csp_hash_name (const char *name);

/* Sort a set by hash.  */
void csp_seal_set (csp_name_set_t *set, csp_arena_t *arena);

/* Names of conditions as they stand in a rule.  */
const char *csp_when_set_name (csp_when_set_t set);
const char *csp_when_range_name (csp_when_range_t range);

#endif
