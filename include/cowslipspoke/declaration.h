#ifndef COWSLIPSPOKE_DECLARATION_H
#define COWSLIPSPOKE_DECLARATION_H

#include "cowslipspoke/faults.h"
#include "cowslipspoke/names.h"

#include <stdbool.h>
#include <stdint.h>

/* The configuration that operators declare: organisations, model routes,
   service routes, pools and the ordered rules.  docs/DECLARATIONS.md has the
   format.

   A declaration is immutable, so that traffic threads read it without locks
   while the control thread builds the next one.  What the find and get
   functions return belongs to the declaration and lives as long as it does.
 */
typedef struct csp_declaration csp_declaration_t;

enum
{
  CSP_PRIORITY_DEFAULT = 5,
  CSP_WEIGHT_DEFAULT = 1
};

/* One keyed value as the platform publishes it; see docs/PLATFORM.md.  where
   is the source that faults name, such as the value's file; NULL means that
   they name the key.  */
typedef struct
{
  const char *key;
  const char *json;
  size_t size_bytes;
  const char *where;
} csp_declared_value_t;

/* Limits; 0 means unlimited.  The first three apply to all requests of the
   organisation, route, service or rule together; the last two apply to each
   request.  */
typedef struct
{
  uint32_t tokens_per_s;
  uint32_t max_waiting;
  uint32_t max_open_streams;
  uint32_t max_prompt_tokens;
  uint32_t max_output_tokens;
} csp_limits_t;

typedef struct
{
  const char *name;
  /* Bearer keys as SHA-256 in lower-case hex.  */
  const char *const *key_sha256;
  size_t key_count;
  uint32_t weight;
  csp_limits_t limits;
} csp_organisation_t;

/* A class of requests on a model route.  */
typedef struct
{
  const char *name;
  uint8_t priority;
  /* 0 if the class sets none.  */
  uint32_t deadline_ms;
  uint32_t longest_wait_ms;
} csp_class_t;

/* A model route; name is what callers give as "model".  */
typedef struct
{
  const char *name;
  /* The model's name at the engines; defaults to the route's name.  */
  const char *model;
  const char *pool;
  const csp_class_t *classes;
  size_t class_count;
  /* The class of a request that names none; NULL if none is declared.  */
  const char *default_class;
  /* Route to use while the pool has no live target; NULL if none is declared.
   */
  const char *fallback;
  csp_limits_t limits;
} csp_route_t;

/* Declares whether a call may be repeated, in place of the default for its
   method.  path is a prefix of the path that follows the service's prefix.  */
typedef struct
{
  const char *method;
  const char *path;
  bool repeatable;
} csp_service_call_t;

/* A service route.  */
typedef struct
{
  const char *name;
  const char *pool;
  /* Requests for paths under this prefix go to the service.  It starts with
     "/" and does not end with one; defaults to "/services/NAME".  */
  const char *path_prefix;
  const csp_service_call_t *calls;
  size_t call_count;
  uint8_t priority;
  uint32_t deadline_ms;
  uint32_t longest_wait_ms;
  csp_limits_t limits;
} csp_service_t;

typedef enum
{
  CSP_POOL_ENGINES,
  CSP_POOL_SERVICES
} csp_pool_kind_t;

typedef enum
{
  CSP_ROLE_MIXED,
  CSP_ROLE_PREFILL,
  CSP_ROLE_DECODE
} csp_role_t;

typedef struct
{
  const char *name;
  const char *version;
} csp_named_version_t;

/* Wanted state of an engine: the models and adapters that it should have
   loaded, and its role.  */
typedef struct
{
  const csp_named_version_t *models;
  size_t model_count;
  const csp_named_version_t *adapters;
  size_t adapter_count;
  csp_role_t role;
  bool has_role;
} csp_wanted_state_t;

/* Wanted state of one engine, in place of its pool's.  */
typedef struct
{
  const char *target;
  csp_wanted_state_t wanted;
} csp_engine_wanted_state_t;

typedef struct
{
  const char *name;
  csp_pool_kind_t kind;
  /* Memory assumed for an engine until it reports its own.  */
  uint32_t memory_tokens;
  /* Limits on the requests open on one target and waiting on one host.  */
  uint32_t max_open_streams;
  uint32_t max_waiting;
  uint32_t resume_window_ms;
  /* Time limit of an order to an engine.  */
  uint32_t longest_order_ms;
  /* Loads that all hosts together may start on the pool's engines in a minute,
     so that the weight store is not overloaded.  */
  uint32_t loads_per_minute;
  /* Whether the pool declares a wanted state; without one no orders are sent.
   */
  bool has_wanted;
  csp_wanted_state_t wanted;
  const csp_engine_wanted_state_t *engines;
  size_t engine_count;
} csp_pool_t;

/* Attributes of a request that rules can match.  Strings that do not apply are
   NULL.  load is the load of the pool that the route or service names; 1.0 is
   full.  */
typedef struct
{
  const char *organisation;
  const char *route;
  const char *service;
  const char *class_name;
  const char *data_centre;
  uint8_t priority;
  uint32_t prompt_tokens;
  double load;
  int64_t time_in_queue_ms;
} csp_request_facts_t;

typedef enum
{
  /* Send to the pool.  */
  CSP_ACTION_SEND,
  /* Send to the pool only while its load is below max_load; the request is
     among the first to be preempted when the pool needs the capacity.  */
  CSP_ACTION_LEND,
  /* Forward to another data centre.  */
  CSP_ACTION_SPILL,
  CSP_ACTION_TURN_AWAY
} csp_action_t;

/* Terms of an admitted request.  Values that the rule does not set come from
   the facts (priority), the class or service (longest wait) and the
   organisation (weight).  limits.tokens_per_s, max_waiting and
   max_open_streams are the rule's own: they count the requests that the rule
   decides and apply besides those of organisation and route.  The limits per
   request are the smallest of rule, route and organisation.  */
typedef struct
{
  const char *pool;
  uint8_t priority;
  uint32_t weight;
  uint32_t longest_wait_ms;
  csp_limits_t limits;
} csp_terms_t;

/* The decision.  rule is NULL if no rule matched; the action is then to send
   to the route's or service's pool.  */
typedef struct
{
  const char *rule;
  /* The rule matches only requests that have waited in the queue for some
     time.  */
  bool requires_queue_time;
  csp_action_t action;
  union
  {
    csp_terms_t send;
    struct
    {
      csp_terms_t terms;
      double max_load;
    } lend;
    struct
    {
      csp_terms_t terms;
      const char *data_centre;
    } spill;
    struct
    {
      const char *reason;
      uint32_t retry_after_ms;
    } turn_away;
  } is;
} csp_rule_outcome_t;

/* Size of the text with which csp_explain_rule says why a rule does not match.
 */
enum
{
  CSP_MISMATCH_BYTES = 200
};

/* Build a declaration from all current values.  previous may be NULL; its
   values with the same key and text are shared instead of parsed again, so
   that only changed values cost parsing time.  Returns NULL and adds every
   fault if any value is invalid.  */
csp_declaration_t *csp_create_declaration (const csp_declaration_t *previous,
                                           const csp_declared_value_t *values,
                                           size_t count, csp_faults_t *faults);
void csp_destroy_declaration (csp_declaration_t *declaration);

/* Find by bearer key, given as CSP_SHA256_HEX_BYTES of hex; NULL if unknown.
 */
const csp_organisation_t *
csp_find_organisation_by_key (const csp_declaration_t *declaration,
                              const char *key_sha256);

/* Find by name; NULL if there is none.  */
const csp_organisation_t *
csp_find_organisation (const csp_declaration_t *declaration, const char *name);
const csp_route_t *csp_find_route (const csp_declaration_t *declaration,
                                   const char *name);
const csp_service_t *csp_find_service (const csp_declaration_t *declaration,
                                       const char *name);
const csp_pool_t *csp_find_pool (const csp_declaration_t *declaration,
                                 const char *name);

/* The service whose prefix is the longest match for the path; rest is the path
   after the prefix, "/" if empty.  NULL if there is none.  */
const csp_service_t *
csp_find_service_by_path (const csp_declaration_t *declaration,
                          const char *path, const char **rest);

/* Find a class of a route by name, or its default class if name is NULL; NULL
   if there is none.  */
const csp_class_t *csp_find_class (const csp_route_t *route, const char *name);

/* Whether a call may be repeated: as the service declares for the longest path
   that matches, otherwise by its method (GET, HEAD, PUT and DELETE may be).
   rest is the path after the service's prefix.  */
bool csp_may_repeat_call (const csp_service_t *service, const char *method,
                          const char *rest);

/* The wanted state of an engine: its own or else its pool's; NULL if neither
   is declared.  */
const csp_wanted_state_t *csp_get_wanted_state (const csp_pool_t *pool,
                                                const char *target);

/* Number and access by index, for status pages and model lists.  */
size_t csp_count_organisations (const csp_declaration_t *declaration);
size_t csp_count_routes (const csp_declaration_t *declaration);
size_t csp_count_services (const csp_declaration_t *declaration);
size_t csp_count_pools (const csp_declaration_t *declaration);
size_t csp_count_rules (const csp_declaration_t *declaration);
const csp_organisation_t *
csp_get_organisation (const csp_declaration_t *declaration, size_t index);
const csp_route_t *csp_get_route (const csp_declaration_t *declaration,
                                  size_t index);
const csp_service_t *csp_get_service (const csp_declaration_t *declaration,
                                      size_t index);
const csp_pool_t *csp_get_pool (const csp_declaration_t *declaration,
                                size_t index);
/* Name of the rule at a position in the rule order.  */
const char *csp_get_rule_name (const csp_declaration_t *declaration,
                               size_t index);

/* Decide by the first rule that matches.  The result depends on the arguments
   alone: no clock, no state.

   Load pattern: any.  The operators' rules decide where requests go;
   without them the code that sees a burst first would decide, and an operator
   would see outcomes that no rule explains.  */
void csp_evaluate_rules (const csp_declaration_t *declaration,
                         const csp_request_facts_t *facts,
                         csp_rule_outcome_t *outcome);

/* Add a fault for every rule that no request can reach, because earlier rules
   match all requests that it could match.  A host accepts such a declaration,
   but it does not do what its author intended.  */
void csp_find_unreachable_rules (const csp_declaration_t *declaration,
                                 csp_faults_t *faults);

/* Whether the rule at a position in the rule order matches; if not, mismatch
   says the first condition that fails, the request's value and the values that
   the rule accepts.  */
bool csp_explain_rule (const csp_declaration_t *declaration, size_t index,
                       const csp_request_facts_t *facts,
                       char mismatch[CSP_MISMATCH_BYTES]);

#endif
