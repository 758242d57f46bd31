#ifndef CSP_DECLARATION_IMP_H
#define CSP_DECLARATION_IMP_H

#include "cowslipspoke/declaration.h"
#include "fields/fields-imp.h"

#include <stdatomic.h>

/* Kinds of values, in the sort order of their keys.  */
typedef enum
{
  CSP_KIND_ORGANISATION,
  CSP_KIND_ROUTE,
  CSP_KIND_RULE_ORDER,
  CSP_KIND_RULE,
  CSP_KIND_SERVICE,
  CSP_KIND_POOL,
  CSP_KIND_COUNT
} csp_value_kind_t;

enum
{
  /* More values of one kind are refused, so that a faulty generator of
     declarations can't exhaust a host's memory.  The planned size is 1,600
     organisations.  */
  CSP_ORGANISATIONS_MAX = 20000,
  CSP_ITEMS_MAX = 2000,
  CSP_PRIORITY_UNSET = 255
};

/* Names that a rule accepts, as declared and sorted by hash; an empty set
   accepts all names.  */
typedef struct
{
  const char *const *declared;
  const char **sorted_names;
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
  CSP_WHEN_SET_COUNT
} csp_when_set_t;

typedef enum
{
  CSP_WHEN_PRIORITY,
  CSP_WHEN_PROMPT_TOKENS,
  CSP_WHEN_LOAD,
  CSP_WHEN_TIME_IN_QUEUE,
  CSP_WHEN_RANGE_COUNT
} csp_when_range_t;

/* An inclusive range.  */
typedef struct
{
  double min;
  double max;
} csp_range_t;

typedef struct
{
  csp_name_set_t sets[CSP_WHEN_SET_COUNT];
  csp_range_t ranges[CSP_WHEN_RANGE_COUNT];
} csp_when_t;

/* The action of a rule; exactly one of the four is declared.  */
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
} csp_rule_action_t;

typedef struct
{
  const char *name;
  /* Source of the value, for faults; belongs to the item.  */
  const char *where;
  const char *note;
  csp_when_t when;
  csp_rule_action_t then;
  csp_action_t action;
} csp_rule_t;

typedef struct
{
  const char *const *names;
  size_t count;
} csp_rule_order_t;

/* A parsed value, shared by all declarations that contain it.  */
typedef struct
{
  atomic_int references;
  csp_value_kind_t kind;
  char *key;
  char *where;
  /* Part of the key after the slash.  */
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

/* A slot of the hash table from bearer keys to organisations, which uses open
   addressing.  Its size is a power of two.  */
typedef struct
{
  const char *key;
  const csp_organisation_t *organisation;
} csp_key_slot_t;

struct csp_declaration
{
  /* Sorted by key, so that items of one kind are contiguous.  */
  csp_item_t **items;
  size_t item_count;
  size_t kind_start[CSP_KIND_COUNT];
  size_t kind_count[CSP_KIND_COUNT];
  const csp_rule_t **rules;
  size_t rule_count;
  csp_key_slot_t *bearer_keys;
  size_t bearer_key_slots;
  /* Keys of values that could not be parsed; used only while the declaration
     is built.  References to them are not reported as further faults.  */
  const char **invalid_keys;
  size_t invalid_key_count;
};

extern const csp_field_t csp_organisation_table[];
extern const csp_field_t csp_route_table[];
extern const csp_field_t csp_service_table[];
extern const csp_field_t csp_pool_table[];
extern const csp_field_t csp_rule_table[];

/* Split a key into its kind and the name after the slash; false if the key is
   invalid.  */
bool csp_split_key (const char *key, csp_value_kind_t *kind,
                    const char **name);

/* Parse one value; returns NULL and adds faults if it is invalid.  The caller
   gets the only reference.  */
csp_item_t *csp_parse_item (const csp_declared_value_t *value,
                            csp_faults_t *faults);
csp_item_t *csp_retain_item (csp_item_t *item);
void csp_release_item (csp_item_t *item);

/* Find an item by kind and name; NULL if there is none.  */
const csp_item_t *csp_find_item (const csp_declaration_t *declaration,
                                 csp_value_kind_t kind, const char *name);

/* Check the references between values, and build the list of rules in order
   and the table of bearer keys.  */
void csp_resolve_references (csp_declaration_t *declaration,
                             csp_faults_t *faults);

/* Hash of a name, for use within one process.  */
uint64_t csp_hash_name (const char *name);

/* Fill sorted_names and hashes from the declared names.  */
void csp_sort_name_set (csp_name_set_t *set, csp_arena_t *arena);

/* Keys of conditions in a rule's JSON.  */
const char *csp_when_set_key (csp_when_set_t set);
const char *csp_when_range_key (csp_when_range_t range);

#endif
