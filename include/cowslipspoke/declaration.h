#ifndef COWSLIPSPOKE_DECLARATION_H
#define COWSLIPSPOKE_DECLARATION_H

#include "cowslipspoke/faults.h"
#include "cowslipspoke/names.h"

#include <stdbool.h>
#include <stdint.h>

/* What operators declare: organisations, model routes, service routes, pools
   and the ordered rules.  docs/DECLARATIONS.md has the format.

   A declaration is immutable, so that traffic threads read it without locks
   while the control thread builds the next one.  Whatever a find function
   returns belongs to the declaration and lives as long as it does.  */
typedef struct csp_declaration csp_declaration_t;

enum
{
  CSP_PRIORITY_DEFAULT = 5,
  CSP_WEIGHT_DEFAULT = 1
};

/* One keyed value as the platform publishes it; see docs/PLATFORM.md.  where
   names it in faults, such as its file; NULL stands for the key.  */
typedef struct
{
  const char *key;
  const char *json;
  size_t size_bytes;
  const char *where;
} csp_declared_value_t;

/* Limits; 0 means that there is none.  The first three are counted over all
   requests of what declares them (an organisation, a route, a service or a
   rule); the last two hold for each request.  */
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
  /* 0 where the class sets none.  */
  uint32_t deadline_ms;
  uint32_t longest_wait_ms;
} csp_class_t;

/* A model route; name is what callers give as "model".  */
typedef struct
{
  const char *name;
  /* The model's name at the engines; the route's where none is declared.  */
  const char *model;
  const char *pool;
  const csp_class_t *classes;
  size_t class_count;
  /* The class of a request that names none; NULL without one.  */
  const char *default_class;
  /* Route to use while the pool has no live target; NULL without one.  */
  const char *fallback;
  csp_limits_t limits;
} csp_route_t;

/* A call of a service whose mark differs from its method's.  path is a prefix
   behind the service's prefix.  */
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
  /* Callers' paths below it belong to the service; starts with "/" and does
     not end with one.  "/services/NAME" where none is declared.  */
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
} csp_versioned_t;

/* What an engine should have loaded and do.  */
typedef struct
{
  const csp_versioned_t *models;
  size_t model_count;
  const csp_versioned_t *adapters;
  size_t adapter_count;
  csp_role_t role;
  bool has_role;
} csp_wanted_t;

/* The wanted state of one engine that differs from its pool's.  */
typedef struct
{
  const char *target;
  csp_wanted_t wanted;
} csp_engine_wanted_t;

typedef struct
{
  const char *name;
  csp_pool_kind_t kind;
  /* Memory of one engine until it reports its own.  */
  uint32_t memory_tokens;
  /* Most requests open on one target, and waiting on one host.  */
  uint32_t max_open_streams;
  uint32_t max_waiting;
  uint32_t resume_window_ms;
  /* How long an order may take at most.  */
  uint32_t longest_order_ms;
  /* Loads that all hosts together may start on the pool's engines; what the
     weight store can give it.  */
  uint32_t loads_per_minute;
  /* Whether the pool declares any wanted state; without it no orders go out.
   */
  bool has_wanted;
  csp_wanted_t wanted;
  const csp_engine_wanted_t *engines;
  size_t engine_count;
} csp_pool_t;

/* What a rule may look at.  Strings that do not apply are NULL.  load is that
   of the pool that the route or service names, 1.0 when full.  */
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
  /* Use the pool's unused share only, while its load is below max_load, and
     be the first to give way when the pool needs it back.  */
  CSP_ACTION_LEND,
  /* Hand over to another data centre.  */
  CSP_ACTION_SPILL,
  CSP_ACTION_TURN_AWAY
} csp_action_t;

/* Terms of a request that is let in.  What the rule does not set comes from
   the facts (priority), from class or service (longest wait) and from the
   organisation (weight).  limits.tokens_per_s, max_waiting and
   max_open_streams are the rule's own and counted over what it decides, beside
   those of organisation and route; the limits of one request are the smallest
   of rule, route and organisation.  */
typedef struct
{
  const char *pool;
  uint8_t priority;
  uint32_t weight;
  uint32_t longest_wait_ms;
  csp_limits_t limits;
} csp_terms_t;

/* The decision.  rule is NULL where no rule held: then the action is to send
   to the route's or service's pool.  */
typedef struct
{
  const char *rule;
  /* The rule asks for a time in the queue.  */
  bool waited;
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

/* Why a rule did not hold; for csp_explain_rule.  */
enum
{
  CSP_WHY_BYTES = 200
};

/* Build a declaration from all values in force.  previous may be NULL; what
   it has of the same key and text is shared with it instead of parsed again,
   so that a change costs its own size.  Returns NULL where anything is wrong,
   with every fault added.  */
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

/* The service whose prefix is the longest that the path has; rest is the path
   behind it, "/" if empty.  NULL if there is none.  */
const csp_service_t *
csp_find_service_by_path (const csp_declaration_t *declaration,
                          const char *path, const char **rest);

/* A class of a route by name, its default class for NULL; NULL if unknown.  */
const csp_class_t *csp_find_class (const csp_route_t *route, const char *name);

/* Whether a call may be repeated: by the service's mark for it, else by its
   method (GET, HEAD, PUT, DELETE).  rest is the path behind the prefix.  */
bool csp_may_repeat_call (const csp_service_t *service, const char *method,
                          const char *rest);

/* What an engine of a pool should have; NULL where nothing is declared.  */
const csp_wanted_t *csp_find_wanted (const csp_pool_t *pool,
                                     const char *target);

/* Counts and walks, for status pages and model lists.  */
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
/* Name of the rule at a place in the order.  */
const char *csp_get_rule_name (const csp_declaration_t *declaration,
                               size_t index);

/* Decide by the first rule that holds.  Answers requests of every pattern of
   load alike: it is the operators' word on who goes where.  Without it the
   same burst is handled by whatever code sees it first, and an operator sees
   an outcome that no rule explains.  Deterministic; no clock, no state.  */
void csp_decide_rule (const csp_declaration_t *declaration,
                      const csp_request_facts_t *facts,
                      csp_rule_outcome_t *outcome);

/* Add a fault for every rule that no request can reach, because the rules
   before it take all that it could hold for.  Such a
   declaration is in order for a host, but not what its writer meant.  */
void csp_find_unreachable_rules (const csp_declaration_t *declaration,
                                 csp_faults_t *faults);

/* Whether the rule at a place in the order holds; if not, why names the first
   condition that fails, the value found and what the rule asks for.  */
bool csp_explain_rule (const csp_declaration_t *declaration, size_t index,
                       const csp_request_facts_t *facts,
                       char why[CSP_WHY_BYTES]);

#endif
