#include "order/order-imp.h"

#include <stdlib.h>
#include <string.h>

const csp_named_version_t *
csp_find_versioned (const csp_named_version_t *list, size_t count,
                    const char *name)
{
  size_t i;

  for (i = 0; i < count; i++)
    if (strcmp (list[i].name, name) == 0)
      return &list[i];
  return NULL;
}

static bool
is_loaded (const csp_named_version_t *list, size_t count,
           const csp_order_t *order)
{
  const csp_named_version_t *found
      = csp_find_versioned (list, count, order->name);

  return found != NULL
         && (found->version == NULL
             || strcmp (found->version, order->version) == 0);
}

bool
csp_is_order_satisfied (const csp_order_t *order,
                        const csp_order_report_t *report)
{
  switch (order->op)
    {
    case CSP_ORDER_LOAD_MODEL:
      return is_loaded (report->models, report->model_count, order);
    case CSP_ORDER_LOAD_ADAPTER:
      return is_loaded (report->adapters, report->adapter_count, order);
    case CSP_ORDER_UNLOAD_MODEL:
      return csp_find_versioned (report->models, report->model_count,
                                 order->name)
             == NULL;
    case CSP_ORDER_UNLOAD_ADAPTER:
      return csp_find_versioned (report->adapters, report->adapter_count,
                                 order->name)
             == NULL;
    case CSP_ORDER_SET_ROLE:
      return report->role == NULL || strcmp (report->role, order->name) == 0;
    }
  return true;
}

csp_order_record_t *
csp_find_order_record (csp_order_tracker_t *engine, const csp_order_t *order)
{
  size_t i;

  for (i = 0; i < engine->record_count; i++)
    if (engine->records[i].order.op == order->op
        && strcmp (engine->records[i].order.name, order->name) == 0)
      return &engine->records[i];
  return NULL;
}

csp_order_record_t *
csp_find_or_add_order_record (csp_order_tracker_t *engine,
                              const csp_order_t *order, int64_t now_ms)
{
  csp_order_record_t *record = csp_find_order_record (engine, order);
  size_t capacity = engine->record_capacity * 2 + 4;

  if (record != NULL)
    return record;
  if (engine->record_count == engine->record_capacity)
    {
      record = realloc (engine->records, capacity * sizeof *record);
      if (record == NULL)
        return NULL;
      engine->records = record;
      engine->record_capacity = capacity;
    }
  record = &engine->records[engine->record_count++];
  memset (record, 0, sizeof *record);
  record->order = *order;
  record->unload_wanted_ms = now_ms;
  return record;
}

static int64_t
compute_backoff (int64_t first_ms, uint32_t times, int64_t max_pause_ms)
{
  int64_t pause_ms = first_ms;

  while (times-- > 0 && pause_ms < max_pause_ms)
    pause_ms *= 2;
  return pause_ms < max_pause_ms ? pause_ms : max_pause_ms;
}

void
csp_record_order_sent (csp_order_record_t *record, int64_t now_ms)
{
  record->next_ms = now_ms
                    + compute_backoff (CSP_ORDER_MIN_BACKOFF_MS, record->sends,
                                       CSP_ORDER_MAX_BACKOFF_MS);
  record->sends++;
}

/* Two owners in a split view, at two revisions, would undo each other's orders
   for as long as the split lasts if the engine ignores the fencing number:
   callers see a model come and go, and the weight store stays busy.  So an
   order that another owner undid is repeated at once the first time, which
   ends the effect of a late order from a host that was paused; then it is
   repeated after pauses that start at the longest order's duration and
   double.  */
static void
record_undone (csp_order_record_t *record, const csp_order_facts_t *facts,
               int64_t now_ms)
{
  int64_t max_pause_ms = CSP_ORDER_UNDONE_MAX_BACKOFF_MS;
  int64_t next_ms;

  record->met = false;
  record->undone++;
  if (record->undone == 1)
    return;
  if (max_pause_ms < facts->longest_order_ms)
    max_pause_ms = facts->longest_order_ms;
  next_ms = now_ms
            + compute_backoff (facts->longest_order_ms, record->undone - 2,
                               max_pause_ms);
  if (record->next_ms < next_ms)
    record->next_ms = next_ms;
}

static void
record_satisfied (csp_order_record_t *record, int64_t now_ms)
{
  if (!record->met)
    record->met_since_ms = now_ms;
  record->met = true;
  if (now_ms - record->met_since_ms >= CSP_ORDER_STABLE_MS)
    record->sends = 0;
}

void
csp_update_order_records (csp_order_tracker_t *engine,
                          const csp_order_facts_t *facts, bool restarted,
                          int64_t now_ms, csp_order_action_t *action)
{
  csp_order_record_t *record;
  size_t i;

  for (i = 0; i < engine->record_count; i++)
    {
      record = &engine->records[i];
      if (csp_is_order_satisfied (&record->order, facts->report))
        record_satisfied (record, now_ms);
      else if (record->met && restarted)
        record->met = false;
      else if (record->met)
        {
          record_undone (record, facts, now_ms);
          engine->status.undone++;
          action->events |= CSP_ORDER_EVENT_UNDONE;
          action->subject = record->order;
        }
    }
}
