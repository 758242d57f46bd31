/* Every step of a hand-off against every failure, as in docs/HANDOFF.md: what
   the caller is told with one peer and with a second, healthy one to go to,
   and whether the engine started the request.  */

#include "cowslipspoke/handoff.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DEADLINE_MS = 30000,
  PAUSE_MS = 10000,
  LATE_MS = 3000,
  SILENCE_MS = 5000,
  LEAK_BOUND_MS = 36000,
  MAX_STEPS = 60
};

typedef enum
{
  AT_RESERVE,
  AT_COMMIT,
  AT_OPEN,
  AT_SENT,
  AT_STREAM
} step_t;

typedef enum
{
  PEER_DEAD,
  PEER_PAUSED,
  CUT_BEFORE,
  CUT_AFTER,
  DUPLICATE,
  LATE_ANSWER,
  SENDER_PAUSED,
  OWNER_RESTARTED,
  OWNER_MOVED,
  DEADLINE,
  HUNG_UP,
  TARGET_REFUSES,
  TARGET_CUT
} failure_t;

/* starts: how often the engine of the first or second peer began the request,
   with a lone peer and with two.  */
typedef struct
{
  step_t step;
  failure_t failure;
  csp_handoff_action_kind_t alone;
  csp_verdict_t verdict;
  csp_reason_t reason;
  int starts_alone;
  csp_handoff_action_kind_t with_second;
} cell_t;

typedef struct
{
  const cell_t *cell;
  csp_slot_table_t *owners[2];
  csp_handoff_t *handoff;
  csp_handoff_action_t action;
  int64_t now_ms;
  bool struck;
  bool cut;
  csp_handoff_action_t unread;
  int starts;
} rig_t;

static bool
strikes (rig_t *rig, step_t step)
{
  if (rig->struck || rig->cell->step != step)
    return false;
  rig->struck = true;
  return true;
}

static void
give (rig_t *rig, csp_handoff_event_t *event)
{
  csp_handoff_action_t next;

  csp_step_handoff (rig->handoff, event, 0, rig->now_ms, &next);
  if (next.has_release && !(rig->cut && next.release_peer == 0))
    csp_release_slot (rig->owners[next.release_peer], &next.release,
                      rig->now_ms);
  if (next.kind != CSP_HANDOFF_WAIT)
    rig->action = next;
}

static void
give_kind (rig_t *rig, csp_handoff_event_kind_t kind)
{
  csp_handoff_event_t event = { .kind = kind };

  rig->action.kind = CSP_HANDOFF_WAIT;
  give (rig, &event);
}

static void
restart_owner (rig_t *rig)
{
  csp_slot_settings_t settings = csp_default_slot_settings ();

  csp_destroy_slot_table (rig->owners[0]);
  rig->owners[0] = csp_create_slot_table (&settings, 3);
  csp_gain_target (rig->owners[0], "e0", rig->now_ms);
}

/* One message to an owner and its answer.  */
static void
exchange (rig_t *rig, const csp_handoff_action_t *sent,
          csp_handoff_event_t *event)
{
  csp_slot_table_t *owner = rig->owners[sent->peer];

  event->peer = sent->peer;
  if (sent->kind == CSP_HANDOFF_SEND_RESERVE)
    {
      event->kind = CSP_HANDOFF_RESERVE_ANSWER;
      csp_reserve_slot (owner, &sent->u.reserve, sent->peer ? "e1" : "e0",
                        rig->now_ms, &event->u.reserve);
      return;
    }
  event->kind = CSP_HANDOFF_COMMIT_ANSWER;
  csp_commit_slot (owner, &sent->u.commit, rig->now_ms, &event->u.commit);
}

static void
strike_message (rig_t *rig, const csp_handoff_action_t *sent)
{
  csp_handoff_event_t event = { 0 };

  switch (rig->cell->failure)
    {
    case PEER_PAUSED:
      rig->unread = *sent;
      rig->cut = true;
      return;
    case CUT_AFTER:
      exchange (rig, sent, &event);
      rig->cut = true;
      return;
    case DUPLICATE:
      exchange (rig, sent, &event);
      give (rig, &event);
      exchange (rig, sent, &event);
      give (rig, &event);
      return;
    case LATE_ANSWER:
      exchange (rig, sent, &event);
      rig->now_ms += LATE_MS;
      give_kind (rig, CSP_HANDOFF_TICK);
      give (rig, &event);
      return;
    case SENDER_PAUSED:
      exchange (rig, sent, &event);
      csp_orphan_holder (rig->owners[0], "s", rig->now_ms + SILENCE_MS);
      rig->now_ms += PAUSE_MS;
      give (rig, &event);
      return;
    case DEADLINE:
      exchange (rig, sent, &event);
      rig->now_ms = DEADLINE_MS;
      give (rig, &event);
      return;
    case OWNER_RESTARTED:
      restart_owner (rig);
      break;
    case OWNER_MOVED:
      csp_lose_target (rig->owners[0], "e0");
      csp_gain_target (rig->owners[0], "e0", rig->now_ms);
      break;
    case HUNG_UP:
      give_kind (rig, CSP_HANDOFF_HUNG_UP);
      return;
    case PEER_DEAD:
    case CUT_BEFORE:
    case TARGET_REFUSES:
    case TARGET_CUT:
      rig->cut = true;
      return;
    }
  exchange (rig, sent, &event);
  give (rig, &event);
}

static void
send_message (rig_t *rig, step_t step)
{
  csp_handoff_action_t sent = rig->action;
  csp_handoff_event_t event = { 0 };

  rig->action.kind = CSP_HANDOFF_WAIT;
  if (strikes (rig, step))
    strike_message (rig, &sent);
  else if (!(rig->cut && sent.peer == 0))
    {
      exchange (rig, &sent, &event);
      give (rig, &event);
    }
}

/* From the opening of the target on, owners are not asked any more; the same
   failures befall the sender, its caller and the target.  */
static void
go_on (rig_t *rig, step_t step, csp_handoff_event_kind_t healthy)
{
  if (!strikes (rig, step))
    {
      give_kind (rig, healthy);
      return;
    }
  switch (rig->cell->failure)
    {
    case SENDER_PAUSED:
      csp_orphan_holder (rig->owners[0], "s", rig->now_ms + SILENCE_MS);
      rig->now_ms += PAUSE_MS;
      break;
    case DEADLINE:
      rig->now_ms = DEADLINE_MS;
      give_kind (rig, CSP_HANDOFF_TICK);
      if (rig->action.kind != CSP_HANDOFF_WAIT)
        return;
      break;
    case HUNG_UP:
      give_kind (rig, CSP_HANDOFF_HUNG_UP);
      return;
    case TARGET_REFUSES:
      rig->starts = 0;
      give_kind (rig, step == AT_OPEN ? CSP_HANDOFF_NOT_SENT
                                      : CSP_HANDOFF_TARGET_REFUSED);
      return;
    case TARGET_CUT:
      give_kind (rig, step == AT_OPEN ? CSP_HANDOFF_NOT_SENT
                                      : CSP_HANDOFF_TARGET_FAILED);
      return;
    case OWNER_RESTARTED:
      restart_owner (rig);
      break;
    case OWNER_MOVED:
      csp_lose_target (rig->owners[0], "e0");
      break;
    case PEER_DEAD:
    case PEER_PAUSED:
    case CUT_BEFORE:
    case CUT_AFTER:
      rig->cut = true;
      break;
    case DUPLICATE:
    case LATE_ANSWER:
      break;
    }
  give_kind (rig, healthy);
}

/* Play a hand-off to its end; the second peer is always healthy.  */
static void
play (rig_t *rig)
{
  bool streaming = false;
  int i;

  for (i = 0; i < MAX_STEPS; i++)
    switch (rig->action.kind)
      {
      case CSP_HANDOFF_SEND_RESERVE:
        send_message (rig, AT_RESERVE);
        break;
      case CSP_HANDOFF_SEND_COMMIT:
        send_message (rig, AT_COMMIT);
        break;
      case CSP_HANDOFF_OPEN_TARGET:
        go_on (rig, AT_OPEN, CSP_HANDOFF_BEFORE_SEND);
        break;
      case CSP_HANDOFF_SEND_REQUEST:
        rig->starts++;
        go_on (rig, AT_SENT, CSP_HANDOFF_FIRST_TOKEN);
        streaming = rig->action.kind == CSP_HANDOFF_WAIT;
        break;
      case CSP_HANDOFF_WAIT:
        if (streaming)
          {
            go_on (rig, AT_STREAM, CSP_HANDOFF_FINISHED);
            break;
          }
        rig->now_ms = csp_next_handoff_tick (rig->handoff);
        give_kind (rig, CSP_HANDOFF_TICK);
        break;
      case CSP_HANDOFF_GIVE_UP:
      case CSP_HANDOFF_DONE:
        return;
      }
}

static void
play_cell (rig_t *rig, const cell_t *cell, size_t peer_count)
{
  csp_slot_settings_t slots = csp_default_slot_settings ();
  csp_handoff_settings_t settings = csp_default_handoff_settings ();
  csp_reserve_ask_t ask
      = { .ask_id = 10, .sender = { "s", 1 }, .expected_tokens = 400 };

  memset (rig, 0, sizeof *rig);
  rig->cell = cell;
  rig->owners[0] = csp_create_slot_table (&slots, 1);
  rig->owners[1] = csp_create_slot_table (&slots, 2);
  rig->handoff = csp_create_handoff (&settings, &ask, peer_count, DEADLINE_MS);
  csp_start_handoff (rig->handoff, 0, &rig->action);
  play (rig);
}

/* A peer that wakes up reads now what was sent to it long ago.  A slot must
   not outlive its request by more than the stated bound: with no message at
   all the lease, and else the next holdings, or the silence of the holder,
   free it.  */
static void
close_rig (rig_t *rig)
{
  csp_holdings_t nothing = { .sender = { "s", 1 }, .number = 1 };
  csp_target_usage_t usage;
  csp_handoff_event_t event = { 0 };

  if (rig->unread.kind != CSP_HANDOFF_WAIT)
    {
      rig->cut = false;
      rig->now_ms += PAUSE_MS;
      exchange (rig, &rig->unread, &event);
      give (rig, &event);
      ck_assert_int_ne (rig->action.kind, CSP_HANDOFF_SEND_REQUEST);
    }
  csp_take_holdings (rig->owners[0], &nothing, rig->now_ms);
  csp_count_target (rig->owners[0], "e0", rig->now_ms + LEAK_BOUND_MS, &usage);
  ck_assert_uint_eq (usage.reserved + usage.held + usage.orphaned, 0);
  ck_assert_uint_eq (usage.expected_tokens, 0);
  csp_destroy_slot_table (rig->owners[0]);
  csp_destroy_slot_table (rig->owners[1]);
  csp_destroy_handoff (rig->handoff);
}

#define NOT_RUN CSP_HANDOFF_GIVE_UP, CSP_VERDICT_NOT_RUN
#define MAYBE CSP_HANDOFF_GIVE_UP, CSP_VERDICT_MAY_HAVE_RUN
#define RAN CSP_HANDOFF_GIVE_UP, CSP_VERDICT_RAN
#define SERVED CSP_HANDOFF_DONE, CSP_VERDICT_NOT_RUN, CSP_REASON_NONE, 1
#define DONE CSP_HANDOFF_DONE
#define GIVE_UP CSP_HANDOFF_GIVE_UP

static const cell_t cells[] = {
  { AT_RESERVE, PEER_DEAD, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_RESERVE, PEER_PAUSED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_RESERVE, CUT_BEFORE, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_RESERVE, CUT_AFTER, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_RESERVE, DUPLICATE, SERVED, DONE },
  { AT_RESERVE, LATE_ANSWER, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_RESERVE, SENDER_PAUSED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_RESERVE, OWNER_RESTARTED, NOT_RUN, CSP_REASON_OVERLOADED, 0, DONE },
  { AT_RESERVE, OWNER_MOVED, NOT_RUN, CSP_REASON_OVERLOADED, 0, DONE },
  { AT_RESERVE, DEADLINE, NOT_RUN, CSP_REASON_DEADLINE, 0, GIVE_UP },
  { AT_RESERVE, HUNG_UP, NOT_RUN, CSP_REASON_NONE, 0, GIVE_UP },
  { AT_COMMIT, PEER_DEAD, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, PEER_PAUSED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, CUT_BEFORE, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, CUT_AFTER, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, DUPLICATE, SERVED, DONE },
  { AT_COMMIT, LATE_ANSWER, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, SENDER_PAUSED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, OWNER_RESTARTED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, OWNER_MOVED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, DEADLINE, NOT_RUN, CSP_REASON_DEADLINE, 0, GIVE_UP },
  { AT_COMMIT, HUNG_UP, NOT_RUN, CSP_REASON_NONE, 0, GIVE_UP },
  { AT_OPEN, PEER_DEAD, SERVED, DONE },
  { AT_OPEN, PEER_PAUSED, SERVED, DONE },
  { AT_OPEN, CUT_BEFORE, SERVED, DONE },
  { AT_OPEN, CUT_AFTER, SERVED, DONE },
  { AT_OPEN, DUPLICATE, SERVED, DONE },
  { AT_OPEN, LATE_ANSWER, SERVED, DONE },
  { AT_OPEN, SENDER_PAUSED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_OPEN, OWNER_RESTARTED, SERVED, DONE },
  { AT_OPEN, OWNER_MOVED, SERVED, DONE },
  { AT_OPEN, DEADLINE, NOT_RUN, CSP_REASON_DEADLINE, 0, GIVE_UP },
  { AT_OPEN, HUNG_UP, NOT_RUN, CSP_REASON_NONE, 0, GIVE_UP },
  { AT_OPEN, TARGET_REFUSES, NOT_RUN, CSP_REASON_TARGET_UNREACHABLE, 0, DONE },
  { AT_OPEN, TARGET_CUT, NOT_RUN, CSP_REASON_TARGET_UNREACHABLE, 0, DONE },
  { AT_SENT, PEER_DEAD, SERVED, DONE },
  { AT_SENT, PEER_PAUSED, SERVED, DONE },
  { AT_SENT, CUT_BEFORE, SERVED, DONE },
  { AT_SENT, CUT_AFTER, SERVED, DONE },
  { AT_SENT, DUPLICATE, SERVED, DONE },
  { AT_SENT, LATE_ANSWER, SERVED, DONE },
  { AT_SENT, SENDER_PAUSED, SERVED, DONE },
  { AT_SENT, OWNER_RESTARTED, SERVED, DONE },
  { AT_SENT, OWNER_MOVED, SERVED, DONE },
  { AT_SENT, DEADLINE, MAYBE, CSP_REASON_DEADLINE, 1, GIVE_UP },
  { AT_SENT, HUNG_UP, MAYBE, CSP_REASON_NONE, 1, GIVE_UP },
  { AT_SENT, TARGET_REFUSES, NOT_RUN, CSP_REASON_TARGET_REFUSED, 0, DONE },
  { AT_SENT, TARGET_CUT, MAYBE, CSP_REASON_TARGET_FAILED, 1, GIVE_UP },
  { AT_STREAM, PEER_DEAD, SERVED, DONE },
  { AT_STREAM, PEER_PAUSED, SERVED, DONE },
  { AT_STREAM, CUT_BEFORE, SERVED, DONE },
  { AT_STREAM, CUT_AFTER, SERVED, DONE },
  { AT_STREAM, DUPLICATE, SERVED, DONE },
  { AT_STREAM, LATE_ANSWER, SERVED, DONE },
  { AT_STREAM, SENDER_PAUSED, SERVED, DONE },
  { AT_STREAM, OWNER_RESTARTED, SERVED, DONE },
  { AT_STREAM, OWNER_MOVED, SERVED, DONE },
  { AT_STREAM, DEADLINE, SERVED, DONE },
  { AT_STREAM, HUNG_UP, RAN, CSP_REASON_NONE, 1, GIVE_UP },
  { AT_STREAM, TARGET_CUT, RAN, CSP_REASON_STREAM_CUT, 1, GIVE_UP },
};

START_TEST (each_step_against_each_failure)
{
  const cell_t *cell = &cells[_i];
  rig_t rig;

  play_cell (&rig, cell, 1);
  ck_assert_int_eq (rig.action.kind, cell->alone);
  ck_assert_int_eq (rig.starts, cell->starts_alone);
  if (cell->alone == CSP_HANDOFF_GIVE_UP)
    {
      ck_assert_int_eq (rig.action.u.error.verdict, cell->verdict);
      ck_assert_int_eq (rig.action.u.error.reason, cell->reason);
    }
  close_rig (&rig);
  play_cell (&rig, cell, 2);
  ck_assert_int_eq (rig.action.kind, cell->with_second);
  ck_assert_int_le (rig.starts, 1);
  close_rig (&rig);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("handoff");
  TCase *tcase = tcase_create ("cells");

  tcase_add_loop_test (tcase, each_step_against_each_failure, 0,
                       sizeof cells / sizeof cells[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
