#include "order/order-imp.h"

#include <stdlib.h>
#include <string.h>

static const char *const op_names[]
    = { "load_model", "unload_model", "load_adapter", "unload_adapter",
        "set_role" };
static const char *const role_names[] = { "mixed", "prefill", "decode" };
static const char *const state_names[CSP_ORDER_STATE_COUNT]
    = { "settled",   "undeclared", "not-granted", "leaving",       "no-report",
        "held-back", "under-way",  "engine-busy", "earlier-owner", "paused",
        "paced",     "in-use",     "sent" };

const char *
csp_order_op_name (csp_order_op_t op)
{
  return op_names[op];
}

const char *
csp_order_state_name (csp_order_state_t state)
{
  return state_names[state];
}

const char *
csp_role_name (csp_role_t role)
{
  return role_names[role];
}

csp_order_tracker_t *
csp_create_order_tracker (void)
{
  return calloc (1, sizeof (csp_order_tracker_t));
}

void
csp_destroy_order_tracker (csp_order_tracker_t *engine)
{
  if (engine == NULL)
    return;
  free (engine->records);
  free (engine);
}

/* A restarted engine numbers its reports from the start again and has lost its
   fencing number.  If the restart went unnoticed, its missing models would
   look like another owner's unload and be loaded again only after a pause.  */
static bool
detect_restart (csp_order_tracker_t *engine, const csp_order_report_t *report,
                csp_order_action_t *action)
{
  bool restarted = engine->has_report
                   && (report->sequence < engine->report
                       || report->fence < engine->fence);

  engine->has_report = true;
  engine->report = report->sequence;
  engine->fence = report->fence;
  if (engine->highest_fence < report->fence)
    engine->highest_fence = report->fence;
  if (!restarted)
    return false;
  /* A late answer must not be taken for the next order's.  */
  if (engine->answered)
    engine->pending = false;
  engine->status.restarts++;
  action->events |= CSP_ORDER_EVENT_RESTART;
  return true;
}

static void
update_grant (csp_order_tracker_t *engine, bool granted, int64_t now_ms)
{
  if (granted && !engine->granted)
    engine->granted_ms = now_ms;
  engine->granted = granted;
}

static void
update_wanted_revision (csp_order_tracker_t *engine, int64_t wanted_revision)
{
  if (engine->wanted_revision == wanted_revision)
    return;
  engine->wanted_revision = wanted_revision;
  engine->record_count = 0;
}

/* Reports lag, so an order that was started doesn't show at once.  It has
   failed when the engine is idle after that lag without its outcome, or is
   busy for longer than the longest order takes.  */
static bool
has_failed (const csp_order_tracker_t *engine, const csp_order_facts_t *facts,
            int64_t now_ms)
{
  if (!engine->answered)
    return false;
  if (facts->report->busy)
    return now_ms - engine->sent_ms > facts->longest_order_ms;
  return now_ms - engine->answered_ms >= CSP_ORDER_CONFIRM_TIMEOUT_MS;
}

static void
check_pending_order (csp_order_tracker_t *engine,
                     const csp_order_facts_t *facts, int64_t now_ms,
                     csp_order_action_t *action)
{
  const csp_order_report_t *report = facts->report;
  const csp_order_record_t *record
      = csp_find_order_record (engine, &engine->order);
  bool fenced = !facts->checks_fence || report->fence >= engine->order.fence;

  /* A report requested before the order was sent doesn't show its outcome.  */
  if (!engine->pending || report->asked_ms < engine->sent_ms)
    return;
  if (engine->answered && !report->busy && fenced
      && csp_is_order_satisfied (&engine->order, report))
    {
      engine->pending = false;
      engine->status.done++;
      action->events |= CSP_ORDER_EVENT_DONE;
      action->subject = engine->order;
    }
  else if (has_failed (engine, facts, now_ms))
    {
      engine->pending = false;
      engine->status.failed++;
      action->events |= CSP_ORDER_EVENT_FAILED;
      if (record != NULL && record->sends == CSP_ORDER_GIVE_UP_SENDS)
        action->events |= CSP_ORDER_EVENT_GIVEN_UP;
      action->subject = engine->order;
    }
}

/* The engine has accepted an order of a revision that this host doesn't have
   yet.  An order of this host would undo it on an engine that ignores the
   fencing number, and be refused by others.  A restarted engine forgets the
   number, so the highest that it ever reported counts.  */
static bool
is_held_back (csp_order_tracker_t *engine, const csp_order_facts_t *facts,
              csp_order_action_t *action)
{
  int64_t fence = engine->highest_fence;

  if (fence <= facts->revision)
    return false;
  if (fence != engine->logged_held_fence)
    action->events |= CSP_ORDER_EVENT_HELD_BACK;
  engine->logged_held_fence = fence;
  return true;
}

/* Returns the first condition that forbids every order, in the order in which
   an operator would check them; CSP_ORDER_SENT when there is none.  */
static csp_order_state_t
find_blocking_state (csp_order_tracker_t *engine,
                     const csp_order_facts_t *facts, int64_t now_ms,
                     csp_order_action_t *action)
{
  const csp_order_report_t *report = facts->report;

  if (facts->wanted == NULL)
    return CSP_ORDER_UNDECLARED;
  if (!facts->granted)
    return CSP_ORDER_NOT_GRANTED;
  if (facts->leaving)
    return CSP_ORDER_LEAVING;
  if (report == NULL
      || now_ms - report->asked_ms > CSP_ORDER_REPORT_MAX_AGE_MS)
    return CSP_ORDER_NO_REPORT;
  if (is_held_back (engine, facts, action))
    return CSP_ORDER_HELD_BACK;
  if (engine->pending)
    return CSP_ORDER_UNDER_WAY;
  if (report->busy)
    return CSP_ORDER_ENGINE_BUSY;
  if (!facts->checks_fence
      && now_ms - engine->granted_ms < facts->longest_order_ms)
    return CSP_ORDER_EARLIER_OWNER;
  return CSP_ORDER_SENT;
}

static void
send_order (csp_order_tracker_t *engine, csp_order_pace_t *pace,
            int64_t now_ms, csp_order_action_t *action)
{
  const csp_order_t *order = &action->is.send;
  csp_order_record_t *record
      = csp_find_or_add_order_record (engine, order, now_ms);

  /* Without a record there is no backoff, so the order isn't sent.  */
  if (record == NULL)
    {
      action->state = CSP_ORDER_PAUSED;
      return;
    }
  record->order = *order;
  csp_record_order_sent (record, now_ms);
  if (order->op == CSP_ORDER_LOAD_MODEL || order->op == CSP_ORDER_LOAD_ADAPTER)
    csp_note_load_started (pace, now_ms);
  engine->pending = true;
  engine->answered = false;
  engine->sent_ms = now_ms;
  engine->order = *order;
  engine->status.sent++;
  action->kind = CSP_ORDER_ACT_SEND;
}

static void
set_wait (csp_order_tracker_t *engine, const csp_order_facts_t *facts,
          const csp_order_pace_t *pace, csp_order_action_t *action)
{
  int64_t until_ms = 0;

  action->kind = action->state <= CSP_ORDER_LEAVING ? CSP_ORDER_ACT_NOTHING
                                                    : CSP_ORDER_ACT_WAIT;
  if (action->state == CSP_ORDER_PACED)
    until_ms = pace->next_load_ms;
  if (action->state == CSP_ORDER_EARLIER_OWNER)
    until_ms = engine->granted_ms + facts->longest_order_ms;
  action->is.wait.until_ms = until_ms;
}

void
csp_decide_order (csp_order_tracker_t *engine, const csp_order_facts_t *facts,
                  csp_order_pace_t *pace, int64_t now_ms,
                  csp_order_action_t *action)
{
  csp_order_t order;
  bool restarted;

  memset (action, 0, sizeof *action);
  update_grant (engine, facts->granted, now_ms);
  update_wanted_revision (engine, facts->wanted_revision);
  if (facts->report != NULL)
    {
      restarted = detect_restart (engine, facts->report, action);
      check_pending_order (engine, facts, now_ms, action);
      csp_update_order_records (engine, facts, restarted, now_ms, action);
    }
  action->state = find_blocking_state (engine, facts, now_ms, action);
  if (action->state == CSP_ORDER_SENT)
    action->state = csp_choose_order (engine, facts, pace, now_ms, &order);
  if (action->state == CSP_ORDER_SENT)
    {
      action->is.send = order;
      send_order (engine, pace, now_ms, action);
    }
  else
    set_wait (engine, facts, pace, action);
  engine->status.state = action->state;
}

void
csp_handle_order_answer (csp_order_tracker_t *engine,
                         csp_order_answer_t answer, int64_t now_ms)
{
  csp_order_record_t *record = csp_find_order_record (engine, &engine->order);

  if (!engine->pending || engine->answered)
    return;
  engine->answered = true;
  engine->answered_ms = now_ms;
  switch (answer)
    {
    case CSP_ORDER_ANSWER_STARTED:
    case CSP_ORDER_ANSWER_LOST:
      return;
    case CSP_ORDER_ANSWER_BUSY:
    case CSP_ORDER_ANSWER_NOT_SENT:
      /* The order itself did not fail, so this send doesn't count for
         backoff.  */
      if (record != NULL && record->sends > 0)
        record->sends--;
      break;
    case CSP_ORDER_ANSWER_FENCE_OLD:
    case CSP_ORDER_ANSWER_REFUSED:
      engine->status.failed++;
      break;
    }
  engine->pending = false;
}

void
csp_get_order_status (const csp_order_tracker_t *engine,
                      csp_order_status_t *status)
{
  *status = engine->status;
}
