#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <math.h>
#include <string.h>

/* What the rules look at beyond the request itself: the load of pools, for
   requests that arrive, and the time in the queue, for those that wait.  */

enum
{
  REASK_MS = 1000,
  FULL_MILLIS = 1000
};

/* A max_load of 0 lends a pool that is empty.  */
static const double least_lend = 0.001;

void
csp_set_terms (csp_admission_ask_t *ask, const csp_rule_outcome_t *outcome)
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
      ask->lend_below = fmax (outcome->is.lend.max_load, least_lend);
      break;
    case CSP_ACTION_SPILL:
      ask->terms = outcome->is.spill.terms;
      ask->spill_to = outcome->is.spill.data_centre;
      break;
    case CSP_ACTION_TURN_AWAY:
      break;
    }
}

/* Traffic threads read rows while the control thread adds more: a row's name
   is written before the count that shows it, and never again.  */
static csp_pool_load_t *
find_load (csp_control_t *control, const char *pool)
{
  uint32_t count = atomic_load (&control->load_count);
  uint32_t i;

  for (i = 0; i < count; i++)
    if (strcmp (control->loads[i].name, pool) == 0)
      return &control->loads[i];
  return NULL;
}

double
csp_find_pool_load (csp_control_t *control, const char *pool)
{
  const csp_pool_load_t *row = find_load (control, pool);

  return row == NULL ? 0 : (double)atomic_load (&row->millis) / FULL_MILLIS;
}

bool
csp_is_pool_live (csp_control_t *control, const char *pool)
{
  const csp_pool_load_t *row = find_load (control, pool);

  return row == NULL || !atomic_load (&row->dead);
}

static csp_pool_load_t *
make_load (csp_control_t *control, const char *pool)
{
  csp_pool_load_t *row = find_load (control, pool);
  uint32_t count = atomic_load (&control->load_count);

  if (row != NULL || count == CSP_CONTROL_MAX_POOLS)
    return row;
  row = &control->loads[count];
  csp_copy_text (row->name, sizeof row->name, pool);
  atomic_store (&control->load_count, count + 1);
  return row;
}

/* Memory used of the engines that this host owns; of services, its calls open
   against those that it may open.  */
static double
measure_targets (csp_control_t *control, const csp_pool_t *pool,
                 int64_t now_ms)
{
  const csp_target_state_t *target;
  uint64_t used = 0;
  uint64_t room = 0;
  uint32_t i;

  for (i = 0; i < control->target_room; i++)
    {
      target = control->targets[i];
      if (target == NULL || target->listed.state != CSP_MEMBER_LIVE
          || strcmp (target->listed.pool, pool->name) != 0)
        continue;
      if (target->listed.kind == CSP_TARGET_SERVICE)
        {
          used += target->streams;
          room += pool->max_open_streams;
        }
      else if (csp_find_opening (control->ownership, i, now_ms) > 0)
        {
          used += csp_ledger_used_tokens (target->ledger)
                  + csp_slot_tokens (control, target->listed.name, now_ms);
          room += csp_ledger_memory_tokens (target->ledger, now_ms);
        }
    }
  return room == 0 ? 0 : (double)used / (double)room;
}

bool
csp_has_own_waiting (const csp_control_t *control, const char *pool)
{
  const csp_place_t *place;
  uint32_t index;
  uint32_t i;

  for (index = 0; index < control->pool_count; index++)
    if (strcmp (control->pools[index].name, pool) == 0)
      break;
  if (index == control->pool_count
      || csp_queue_length (control->pools[index].queue) == 0)
    return false;
  for (i = 0; i < control->place_room; i++)
    {
      place = &control->places[i];
      if (place->id != 0 && place->waiter != NULL && place->pool == index
          && place->waiter->ask->lend_below <= 0)
        return true;
    }
  return false;
}

/* A pool for which requests wait here is full, whatever its memory says; but
   for lent ones, which would wait for themselves.  */
static double
measure_pool (csp_control_t *control, const csp_pool_t *pool, int64_t now_ms)
{
  double load = measure_targets (control, pool, now_ms);

  return load < 1 && csp_has_own_waiting (control, pool->name) ? 1 : load;
}

/* Asked at each grant: of the loads as published, a burst of borrowers would
   all see the same one.  */
bool
csp_may_lend (csp_control_t *control, const char *name, double below,
              int64_t now_ms)
{
  const csp_pool_t *pool
      = csp_find_pool (csp_view_declaration (control->view), name);

  return pool != NULL && measure_pool (control, pool, now_ms) < below;
}

static bool
has_live_target (const csp_control_t *control, const char *pool,
                 int64_t now_ms)
{
  const csp_target_state_t *target;
  uint32_t i;

  for (i = 0; i < control->target_room; i++)
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
      row = make_load (control, pool->name);
      if (row == NULL)
        continue;
      atomic_store (
          &row->millis,
          (uint32_t)(measure_pool (control, pool, now_ms) * FULL_MILLIS));
      atomic_store (&row->dead,
                    !has_live_target (control, pool->name, now_ms));
    }
}

static const char *
pool_of (const csp_admission_ask_t *ask)
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

/* The terms of the rule that holds by now; false when none that asks for a
   time in the queue decides, or it is the one that did before.  */
static bool
decide_again (csp_control_t *control, const csp_place_t *place, int64_t now_ms,
              csp_rule_outcome_t *outcome)
{
  const csp_admission_ask_t *ask = place->waiter->ask;
  csp_request_facts_t facts = ask->facts;

  if (ask->declaration == NULL)
    return false;
  facts.load = csp_find_pool_load (control, pool_of (ask));
  facts.time_in_queue_ms = now_ms - place->asked_ms;
  csp_decide_rule (ask->declaration, &facts, outcome);
  return outcome->waited
         && (ask->rule == NULL || strcmp (ask->rule, outcome->rule) != 0);
}

static void
reask_place (csp_control_t *control, csp_place_t *place, int64_t now_ms)
{
  csp_rule_outcome_t outcome;
  csp_error_t error;

  if (!decide_again (control, place, now_ms, &outcome))
    return;
  if (outcome.action == CSP_ACTION_TURN_AWAY)
    {
      csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_TURNED_AWAY,
                     outcome.is.turn_away.retry_after_ms, "%s",
                     outcome.is.turn_away.reason);
      csp_give_up_waiting (control, place, &error, now_ms);
      return;
    }
  csp_set_terms (&place->waiter->held, &outcome);
  csp_move_waiting (control, place, now_ms);
}

void
csp_tick_rules (csp_control_t *control, int64_t now_ms)
{
  uint32_t i;

  publish_loads (control, now_ms);
  if (now_ms < control->next_reask_ms)
    return;
  control->next_reask_ms = now_ms + REASK_MS;
  for (i = 0; i < control->place_room; i++)
    if (control->places[i].id != 0 && control->places[i].waiter != NULL)
      reask_place (control, &control->places[i], now_ms);
}
