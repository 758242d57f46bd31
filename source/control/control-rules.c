#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <math.h>
#include <string.h>

/* The input of the rules beyond the request itself: the load of pools for
   requests that arrive, and the time in the queue for requests that wait.  */

enum
{
  RULE_CHECK_MS = 1000,
  FULL_THOUSANDTHS = 1000
};

/* The smallest threshold, so that a max_load of 0 lends an empty pool.  */
static const double min_lend_load = 0.001;

void
csp_apply_rule_terms (csp_admission_ask_t *ask,
                      const csp_rule_outcome_t *outcome)
{
  ask->rule = outcome->rule;
  ask->lend_below = 0;
  ask->spill_to = NULL;
  switch (outcome->action)
    {
    case CSP_ACTION_SEND:
      ask->terms = outcome->is.send;
      break;
    case CSP_ACTION_LEND:
      ask->terms = outcome->is.lend.terms;
      ask->lend_below = fmax (outcome->is.lend.max_load, min_lend_load);
      break;
    case CSP_ACTION_SPILL:
      ask->terms = outcome->is.spill.terms;
      ask->spill_to = outcome->is.spill.data_centre;
      break;
    case CSP_ACTION_TURN_AWAY:
      break;
    }
}

/* Traffic threads read rows while the control thread adds more.  A row's name
   is written once, before the count is raised to include the row.  */
static csp_pool_load_t *
find_load_row (csp_control_t *control, const char *pool)
{
  uint32_t count = atomic_load (&control->pool_load_count);
  uint32_t i;

  for (i = 0; i < count; i++)
    if (strcmp (control->pool_loads[i].name, pool) == 0)
      return &control->pool_loads[i];
  return NULL;
}

double
csp_find_pool_load (csp_control_t *control, const char *pool)
{
  const csp_pool_load_t *row = find_load_row (control, pool);

  return row == NULL
             ? 0
             : (double)atomic_load (&row->load_thousandths) / FULL_THOUSANDTHS;
}

bool
csp_is_pool_live (csp_control_t *control, const char *pool)
{
  const csp_pool_load_t *row = find_load_row (control, pool);

  return row == NULL || !atomic_load (&row->no_live_target);
}

static csp_pool_load_t *
find_or_add_load_row (csp_control_t *control, const char *pool)
{
  csp_pool_load_t *row = find_load_row (control, pool);
  uint32_t count = atomic_load (&control->pool_load_count);

  if (row != NULL || count == CSP_CONTROL_MAX_POOLS)
    return row;
  row = &control->pool_loads[count];
  csp_copy_text (row->name, sizeof row->name, pool);
  atomic_store (&control->pool_load_count, count + 1);
  return row;
}

/* For engines, the share of memory used on those that this host owns; for
   services, this host's open calls as a share of those that it may open.  */
static double
measure_target_load (csp_control_t *control, const csp_pool_t *pool,
                     int64_t now_ms)
{
  const csp_target_state_t *target;
  uint64_t used = 0;
  uint64_t capacity = 0;
  uint32_t i;

  for (i = 0; i < control->target_capacity; i++)
    {
      target = control->targets[i];
      if (target == NULL || target->listed.state != CSP_MEMBER_LIVE
          || strcmp (target->listed.pool, pool->name) != 0)
        continue;
      if (target->listed.kind == CSP_TARGET_SERVICE)
        {
          used += target->streams;
          capacity += pool->max_open_streams;
        }
      else if (csp_get_open_share (control->ownership, i, now_ms) > 0)
        {
          used += csp_ledger_used_tokens (target->ledger)
                  + csp_count_slot_tokens (control, target->listed.name,
                                           now_ms);
          capacity += csp_ledger_memory_tokens (target->ledger, now_ms);
        }
    }
  return capacity == 0 ? 0 : (double)used / (double)capacity;
}

bool
csp_has_unlent_waiting (const csp_control_t *control, const char *pool)
{
  const csp_tracked_request_t *request;
  uint32_t index;
  uint32_t i;

  for (index = 0; index < control->pool_count; index++)
    if (strcmp (control->pools[index].name, pool) == 0)
      break;
  if (index == control->pool_count
      || csp_queue_length (control->pools[index].queue) == 0)
    return false;
  for (i = 0; i < control->request_capacity; i++)
    {
      request = &control->requests[i];
      if (request->id != 0 && request->waiter != NULL && request->pool == index
          && request->waiter->ask->lend_below <= 0)
        return true;
    }
  return false;
}

/* A pool counts as full while requests wait for it here, whatever its memory
   use.  Requests that use the pool on loan don't count, as they wait for its
   load to fall.  */
static double
measure_pool_load (csp_control_t *control, const csp_pool_t *pool,
                   int64_t now_ms)
{
  double load = measure_target_load (control, pool, now_ms);

  return load < 1 && csp_has_unlent_waiting (control, pool->name) ? 1 : load;
}

/* Measures the load at each grant, since the published load is the same for
   all requests of a burst.  */
bool
csp_may_lend (csp_control_t *control, const char *name, double below,
              int64_t now_ms)
{
  const csp_pool_t *pool
      = csp_find_pool (csp_view_declaration (control->view), name);

  return pool != NULL && measure_pool_load (control, pool, now_ms) < below;
}

static bool
has_live_target (const csp_control_t *control, const char *pool,
                 int64_t now_ms)
{
  const csp_target_state_t *target;
  uint32_t i;

  for (i = 0; i < control->target_capacity; i++)
    {
      target = control->targets[i];
      if (target != NULL && target->listed.state == CSP_MEMBER_LIVE
          && strcmp (target->listed.pool, pool) == 0
          && now_ms >= target->avoid_until_ms)
        return true;
    }
  return false;
}

static void
publish_loads (csp_control_t *control, int64_t now_ms)
{
  const csp_declaration_t *declaration = csp_view_declaration (control->view);
  size_t count = declaration == NULL ? 0 : csp_count_pools (declaration);
  const csp_pool_t *pool;
  csp_pool_load_t *row;
  size_t i;

  for (i = 0; i < count; i++)
    {
      pool = csp_get_pool (declaration, i);
      row = find_or_add_load_row (control, pool->name);
      if (row == NULL)
        continue;
      atomic_store (&row->load_thousandths,
                    (uint32_t)(measure_pool_load (control, pool, now_ms)
                               * FULL_THOUSANDTHS));
      atomic_store (&row->no_live_target,
                    !has_live_target (control, pool->name, now_ms));
    }
}

static const char *
find_declared_pool (const csp_admission_ask_t *ask)
{
  const csp_request_facts_t *facts = &ask->facts;
  const csp_route_t *route;
  const csp_service_t *service;

  if (facts->route != NULL)
    {
      route = csp_find_route (ask->declaration, facts->route);
      return route == NULL ? ask->terms.pool : route->pool;
    }
  service = csp_find_service (ask->declaration, facts->service);
  return service == NULL ? ask->terms.pool : service->pool;
}

/* Find the rule that applies now.  False unless a rule on the time in the
   queue matches and differs from the one applied before.  */
static bool
decide_rule_again (csp_control_t *control,
                   const csp_tracked_request_t *request, int64_t now_ms,
                   csp_rule_outcome_t *outcome)
{
  const csp_admission_ask_t *ask = request->waiter->ask;
  csp_request_facts_t facts = ask->facts;

  if (ask->declaration == NULL)
    return false;
  facts.load = csp_find_pool_load (control, find_declared_pool (ask));
  facts.time_in_queue_ms = now_ms - request->arrived_ms;
  csp_evaluate_rules (ask->declaration, &facts, outcome);
  return outcome->requires_queue_time
         && (ask->rule == NULL || strcmp (ask->rule, outcome->rule) != 0);
}

static void
recheck_rules (csp_control_t *control, csp_tracked_request_t *request,
               int64_t now_ms)
{
  csp_rule_outcome_t outcome;
  csp_error_t error;

  if (!decide_rule_again (control, request, now_ms, &outcome))
    return;
  if (outcome.action == CSP_ACTION_TURN_AWAY)
    {
      csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_TURNED_AWAY,
                     outcome.is.turn_away.retry_after_ms, "%s",
                     outcome.is.turn_away.reason);
      csp_reject_waiting (control, request, &error, now_ms);
      return;
    }
  csp_apply_rule_terms (&request->waiter->current_ask, &outcome);
  csp_requeue_waiting (control, request, now_ms);
}

void
csp_tick_rules (csp_control_t *control, int64_t now_ms)
{
  uint32_t i;

  publish_loads (control, now_ms);
  if (now_ms < control->next_rule_check_ms)
    return;
  control->next_rule_check_ms = now_ms + RULE_CHECK_MS;
  for (i = 0; i < control->request_capacity; i++)
    if (control->requests[i].id != 0 && control->requests[i].waiter != NULL)
      recheck_rules (control, &control->requests[i], now_ms);
}
