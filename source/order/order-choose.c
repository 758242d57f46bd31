#include "order/order-imp.h"

#include "cowslipspoke/text.h"

#include <string.h>

/* Inputs and outputs of the search for the next order.  state is why the last
   candidate was rejected.  */
typedef struct
{
  csp_order_tracker_t *engine;
  const csp_order_facts_t *facts;
  csp_order_pace_t *pace;
  int64_t now_ms;
  csp_order_state_t state;
  csp_order_t *order;
} choice_t;

static bool
is_load (csp_order_op_t op)
{
  return op == CSP_ORDER_LOAD_MODEL || op == CSP_ORDER_LOAD_ADAPTER;
}

/* The fencing number is the revision of the wanted state, or the engine's own
   number where that is higher.  The caller has checked that the engine's
   number is not beyond this host's revision; a higher number then comes from
   another pool that the engine was in.  */
static void
fill_order (const choice_t *choice, csp_order_op_t op, const char *name,
            const char *version)
{
  const csp_order_facts_t *facts = choice->facts;
  csp_order_t *order = choice->order;

  order->op = op;
  csp_copy_text (order->name, sizeof order->name, name);
  csp_copy_text (order->version, sizeof order->version, version);
  order->fence = facts->wanted_revision;
  if (order->fence < facts->report->fence)
    order->fence = facts->report->fence;
}

static bool
offer (choice_t *choice, csp_order_op_t op, const char *name,
       const char *version)
{
  const csp_order_record_t *record;

  fill_order (choice, op, name, version);
  record = csp_find_order_record (choice->engine, choice->order);
  if (record != NULL && choice->now_ms < record->next_ms)
    {
      choice->state = CSP_ORDER_PAUSED;
      return false;
    }
  if (is_load (op) && !csp_may_start_load (choice->pace, choice->now_ms))
    {
      choice->state = CSP_ORDER_PACED;
      return false;
    }
  choice->state = CSP_ORDER_SENT;
  return true;
}

/* Raises the engine's fencing number before any other order.  Loads wait for
   the weight store, and an engine that is already as wanted gets no other
   order.  Until the number is raised, an owner with an older configuration
   could still order the engine back to it.  Setting the role that the engine
   already has costs nothing.  */
static bool
try_raise_fence (choice_t *choice)
{
  const csp_order_facts_t *facts = choice->facts;
  const char *role = facts->wanted->has_role
                         ? csp_role_name (facts->wanted->role)
                         : facts->report->role;

  return facts->checks_fence && facts->report->fence < facts->wanted_revision
         && role != NULL && offer (choice, CSP_ORDER_SET_ROLE, role, "");
}

static bool
is_routed (const csp_order_facts_t *facts, const char *name)
{
  size_t i;

  for (i = 0; i < facts->routed_count; i++)
    if (strcmp (facts->routed[i], name) == 0)
      return true;
  return false;
}

/* Requests that arrived before the unload was first wanted may still use the
   model.  */
static bool
may_unload (choice_t *choice, csp_order_op_t op, const char *name)
{
  const csp_order_facts_t *facts = choice->facts;
  csp_order_record_t *record;

  fill_order (choice, op, name, "");
  record = csp_find_or_add_order_record (choice->engine, choice->order,
                                         choice->now_ms);
  if (record == NULL || is_routed (facts, name))
    {
      if (record != NULL)
        record->unload_wanted_ms = choice->now_ms;
      return false;
    }
  return !facts->foreign_streams
         && facts->oldest_stream_ms > record->unload_wanted_ms;
}

/* An empty wanted list means that this kind of object is not managed.  */
static bool
try_unload (choice_t *choice, csp_order_op_t op,
            const csp_named_version_t *reported, size_t reported_count,
            const csp_named_version_t *wanted, size_t wanted_count)
{
  size_t i;

  for (i = 0; i < reported_count && wanted_count > 0; i++)
    {
      if (csp_find_versioned (wanted, wanted_count, reported[i].name) != NULL
          || strlen (reported[i].name) >= CSP_NAME_BYTES)
        continue;
      if (!may_unload (choice, op, reported[i].name))
        choice->state = CSP_ORDER_IN_USE;
      else if (offer (choice, op, reported[i].name, ""))
        return true;
    }
  return false;
}

static bool
try_load (choice_t *choice, csp_order_op_t op,
          const csp_named_version_t *wanted, size_t wanted_count)
{
  size_t i;

  for (i = 0; i < wanted_count; i++)
    {
      fill_order (choice, op, wanted[i].name, wanted[i].version);
      if (!csp_is_order_satisfied (choice->order, choice->facts->report)
          && offer (choice, op, wanted[i].name, wanted[i].version))
        return true;
    }
  return false;
}

static bool
try_role (choice_t *choice)
{
  const csp_wanted_state_t *wanted = choice->facts->wanted;
  const char *role = csp_role_name (wanted->role);

  if (!wanted->has_role)
    return false;
  fill_order (choice, CSP_ORDER_SET_ROLE, role, "");
  return !csp_is_order_satisfied (choice->order, choice->facts->report)
         && offer (choice, CSP_ORDER_SET_ROLE, role, "");
}

/* Unloads come before loads, which need the freed memory.  */
csp_order_state_t
csp_choose_order (csp_order_tracker_t *engine, const csp_order_facts_t *facts,
                  csp_order_pace_t *pace, int64_t now_ms, csp_order_t *order)
{
  choice_t choice = { .engine = engine,
                      .facts = facts,
                      .pace = pace,
                      .now_ms = now_ms,
                      .state = CSP_ORDER_SETTLED,
                      .order = order };
  const csp_wanted_state_t *wanted = facts->wanted;
  const csp_order_report_t *report = facts->report;

  if (try_raise_fence (&choice)
      || try_unload (&choice, CSP_ORDER_UNLOAD_ADAPTER, report->adapters,
                     report->adapter_count, wanted->adapters,
                     wanted->adapter_count)
      || try_unload (&choice, CSP_ORDER_UNLOAD_MODEL, report->models,
                     report->model_count, wanted->models, wanted->model_count)
      || try_load (&choice, CSP_ORDER_LOAD_MODEL, wanted->models,
                   wanted->model_count)
      || try_load (&choice, CSP_ORDER_LOAD_ADAPTER, wanted->adapters,
                   wanted->adapter_count)
      || try_role (&choice))
    return CSP_ORDER_SENT;
  return choice.state;
}
