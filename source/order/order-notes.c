#include "order/order-imp.h"

#include <stdlib.h>
#include <string.h>

const csp_versioned_t *
csp_find_versioned (const csp_versioned_t *list, size_t count,
                    const char *name)
{
  size_t i;

  for (i = 0; i < count; i++)
    if (strcmp (list[i].name, name) == 0)
      return &list[i];
  return NULL;
}

static bool
is_loaded (const csp_versioned_t *list, size_t count, const csp_order_t *order)
{
  const csp_versioned_t *found = csp_find_versioned (list, count, order->name);

  return found != NULL
         && (found->version == NULL
             || strcmp (found->version, order->version) == 0);
}

bool
csp_order_met (const csp_order_t *order, const csp_order_report_t *report)
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

csp_order_note_t *
csp_find_order_note (csp_order_engine_t *engine, const csp_order_t *order)
{
  size_t i;

  for (i = 0; i < engine->note_count; i++)
    if (engine->notes[i].order.op == order->op
        && strcmp (engine->notes[i].order.name, order->name) == 0)
      return &engine->notes[i];
  return NULL;
}

csp_order_note_t *
csp_take_order_note (csp_order_engine_t *engine, const csp_order_t *order,
                     int64_t now_ms)
{
  csp_order_note_t *note = csp_find_order_note (engine, order);
  size_t room = engine->note_room * 2 + 4;

  if (note != NULL)
    return note;
  if (engine->note_count == engine->note_room)
    {
      note = realloc (engine->notes, room * sizeof *note);
      if (note == NULL)
        return NULL;
      engine->notes = note;
      engine->note_room = room;
    }
  note = &engine->notes[engine->note_count++];
  memset (note, 0, sizeof *note);
  note->order = *order;
  note->since_ms = now_ms;
  return note;
}

static int64_t
double_pause (int64_t first_ms, uint32_t times, int64_t longest_ms)
{
  int64_t pause_ms = first_ms;

  while (times-- > 0 && pause_ms < longest_ms)
    pause_ms *= 2;
  return pause_ms < longest_ms ? pause_ms : longest_ms;
}

void
csp_note_order_sent (csp_order_note_t *note, int64_t now_ms)
{
  note->next_ms = now_ms
                  + double_pause (CSP_ORDER_FIRST_PAUSE_MS, note->sends,
                                  CSP_ORDER_LONGEST_PAUSE_MS);
  note->sends++;
}

/* Two owners in a split, at two revisions, would each put right what the
   other did, for as long as the split lasts, where the engine ignores the
   fencing number: callers see a model come and go and the weight store is
   kept busy.  So what another undid is put right once at once (a stray order
   of a host that woke late ends there) and then after pauses that start at
   the longest order and double.  */
static void
note_undone (csp_order_note_t *note, const csp_order_facts_t *facts,
             int64_t now_ms)
{
  int64_t longest_ms = CSP_ORDER_UNDONE_PAUSE_MS;
  int64_t next_ms;

  note->seen = false;
  note->undone++;
  if (note->undone == 1)
    return;
  if (longest_ms < facts->longest_order_ms)
    longest_ms = facts->longest_order_ms;
  next_ms
      = now_ms
        + double_pause (facts->longest_order_ms, note->undone - 2, longest_ms);
  if (note->next_ms < next_ms)
    note->next_ms = next_ms;
}

static void
note_seen (csp_order_note_t *note, int64_t now_ms)
{
  if (!note->seen)
    note->seen_ms = now_ms;
  note->seen = true;
  if (now_ms - note->seen_ms >= CSP_ORDER_STEADY_MS)
    note->sends = 0;
}

void
csp_follow_order_notes (csp_order_engine_t *engine,
                        const csp_order_facts_t *facts, bool restarted,
                        int64_t now_ms, csp_order_action_t *action)
{
  csp_order_note_t *note;
  size_t i;

  for (i = 0; i < engine->note_count; i++)
    {
      note = &engine->notes[i];
      if (csp_order_met (&note->order, facts->report))
        note_seen (note, now_ms);
      else if (note->seen && restarted)
        note->seen = false;
      else if (note->seen)
        {
          note_undone (note, facts, now_ms);
          engine->status.undone++;
          action->events |= CSP_ORDER_SAW_UNDONE;
          action->subject = note->order;
        }
    }
}
