/* Runs a hand-off with each failure at each step, as in docs/HANDOFF.md, with
   one peer and with a second, healthy one.  Checks the caller's result and how
   often an engine started the request.  */

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
  CUT_BEFORE_DELIVERY,
  CUT_AFTER_DELIVERY,
  DUPLICATE,
  LATE_ANSWER,
  SENDER_PAUSED,
  OWNER_RESTARTED,
  OWNER_MOVED,
  DEADLINE,
  CALLER_GONE,
  TARGET_REFUSES,
  TARGET_CUT
} failure_t;

/* end_with_one_peer, end_with_two_peers: the final action.  verdict, reason
   and starts_with_one_peer (how often an engine started the request) are for
   the run with one peer.  */
typedef struct
{
  step_t step;
  failure_t failure;
  csp_handoff_action_kind_t end_with_one_peer;
  csp_verdict_t verdict;
  csp_reason_t reason;
  int starts_with_one_peer;
  csp_handoff_action_kind_t end_with_two_peers;
} test_case_t;

typedef struct
{
  const test_case_t *test_case;
  csp_slot_table_t *owners[2];
  csp_handoff_t *handoff;
  csp_handoff_action_t action;
  int64_t now_ms;
  bool failure_injected;
  bool peer_unreachable;
  csp_handoff_action_t delayed_message;
  int starts;
} fixture_t;

static bool
inject_failure_at (fixture_t *fixture, step_t step)
{
  if (fixture->failure_injected || fixture->test_case->step != step)
    return false;
  fixture->failure_injected = true;
  return true;
}

static void
deliver_event (fixture_t *fixture, csp_handoff_event_t *event)
{
  csp_handoff_action_t next;

  csp_step_handoff (fixture->handoff, event, 0, fixture->now_ms, &next);
  if (next.has_release
      && !(fixture->peer_unreachable && next.release_peer == 0))
    csp_release_slot (fixture->owners[next.release_peer], &next.release,
                      fixture->now_ms);
  if (next.kind != CSP_HANDOFF_WAIT)
    fixture->action = next;
}

static void
deliver_event_kind (fixture_t *fixture, csp_handoff_event_kind_t kind)
{
  csp_handoff_event_t event = { .kind = kind };

  fixture->action.kind = CSP_HANDOFF_WAIT;
  deliver_event (fixture, &event);
}

static void
restart_owner (fixture_t *fixture)
{
  csp_slot_settings_t settings = csp_default_slot_settings ();

  csp_destroy_slot_table (fixture->owners[0]);
  fixture->owners[0] = csp_create_slot_table (&settings, 3);
  csp_add_owned_target (fixture->owners[0], "e0", fixture->now_ms);
}

/* Delivers one message to an owner and fills in the event of its answer.  */
static void
exchange (fixture_t *fixture, const csp_handoff_action_t *sent,
          csp_handoff_event_t *event)
{
  csp_slot_table_t *owner = fixture->owners[sent->peer];

  event->peer = sent->peer;
  if (sent->kind == CSP_HANDOFF_SEND_RESERVE)
    {
      event->kind = CSP_HANDOFF_RESERVE_ANSWER;
      csp_reserve_slot (owner, &sent->u.reserve, sent->peer ? "e1" : "e0",
                        fixture->now_ms, &event->u.reserve);
      return;
    }
  event->kind = CSP_HANDOFF_COMMIT_ANSWER;
  csp_commit_slot (owner, &sent->u.commit, fixture->now_ms, &event->u.commit);
}

static void
send_message_with_failure (fixture_t *fixture,
                           const csp_handoff_action_t *sent)
{
  csp_handoff_event_t event = { 0 };

  switch (fixture->test_case->failure)
    {
    case PEER_PAUSED:
      fixture->delayed_message = *sent;
      fixture->peer_unreachable = true;
      return;
    case CUT_AFTER_DELIVERY:
      exchange (fixture, sent, &event);
      fixture->peer_unreachable = true;
      return;
    case DUPLICATE:
      exchange (fixture, sent, &event);
      deliver_event (fixture, &event);
      exchange (fixture, sent, &event);
      deliver_event (fixture, &event);
      return;
    case LATE_ANSWER:
      exchange (fixture, sent, &event);
      fixture->now_ms += LATE_MS;
      deliver_event_kind (fixture, CSP_HANDOFF_TICK);
      deliver_event (fixture, &event);
      return;
    case SENDER_PAUSED:
      exchange (fixture, sent, &event);
      csp_orphan_holder (fixture->owners[0], "s",
                         fixture->now_ms + SILENCE_MS);
      fixture->now_ms += PAUSE_MS;
      deliver_event (fixture, &event);
      return;
    case DEADLINE:
      exchange (fixture, sent, &event);
      fixture->now_ms = DEADLINE_MS;
      deliver_event (fixture, &event);
      return;
    case OWNER_RESTARTED:
      restart_owner (fixture);
      break;
    case OWNER_MOVED:
      csp_remove_owned_target (fixture->owners[0], "e0");
      csp_add_owned_target (fixture->owners[0], "e0", fixture->now_ms);
      break;
    case CALLER_GONE:
      deliver_event_kind (fixture, CSP_HANDOFF_CALLER_GONE);
      return;
    case PEER_DEAD:
    case CUT_BEFORE_DELIVERY:
    case TARGET_REFUSES:
    case TARGET_CUT:
      fixture->peer_unreachable = true;
      return;
    }
  exchange (fixture, sent, &event);
  deliver_event (fixture, &event);
}

static void
send_message (fixture_t *fixture, step_t step)
{
  csp_handoff_action_t sent = fixture->action;
  csp_handoff_event_t event = { 0 };

  fixture->action.kind = CSP_HANDOFF_WAIT;
  if (inject_failure_at (fixture, step))
    send_message_with_failure (fixture, &sent);
  else if (!(fixture->peer_unreachable && sent.peer == 0))
    {
      exchange (fixture, &sent, &event);
      deliver_event (fixture, &event);
    }
}

/* Runs one step from connecting to the target on, with the case's failure if
   it is due.  In these steps no owner is asked any more.  */
static void
run_target_step (fixture_t *fixture, step_t step,
                 csp_handoff_event_kind_t next_event)
{
  if (!inject_failure_at (fixture, step))
    {
      deliver_event_kind (fixture, next_event);
      return;
    }
  switch (fixture->test_case->failure)
    {
    case SENDER_PAUSED:
      csp_orphan_holder (fixture->owners[0], "s",
                         fixture->now_ms + SILENCE_MS);
      fixture->now_ms += PAUSE_MS;
      break;
    case DEADLINE:
      fixture->now_ms = DEADLINE_MS;
      deliver_event_kind (fixture, CSP_HANDOFF_TICK);
      if (fixture->action.kind != CSP_HANDOFF_WAIT)
        return;
      break;
    case CALLER_GONE:
      deliver_event_kind (fixture, CSP_HANDOFF_CALLER_GONE);
      return;
    case TARGET_REFUSES:
      fixture->starts = 0;
      deliver_event_kind (fixture, step == AT_OPEN
                                       ? CSP_HANDOFF_NOT_SENT
                                       : CSP_HANDOFF_TARGET_REFUSED);
      return;
    case TARGET_CUT:
      deliver_event_kind (fixture, step == AT_OPEN
                                       ? CSP_HANDOFF_NOT_SENT
                                       : CSP_HANDOFF_TARGET_FAILED);
      return;
    case OWNER_RESTARTED:
      restart_owner (fixture);
      break;
    case OWNER_MOVED:
      csp_remove_owned_target (fixture->owners[0], "e0");
      break;
    case PEER_DEAD:
    case PEER_PAUSED:
    case CUT_BEFORE_DELIVERY:
    case CUT_AFTER_DELIVERY:
      fixture->peer_unreachable = true;
      break;
    case DUPLICATE:
    case LATE_ANSWER:
      break;
    }
  deliver_event_kind (fixture, next_event);
}

/* Runs a hand-off to its end.  The second peer is always healthy.  */
static void
run_handoff (fixture_t *fixture)
{
  bool streaming = false;
  int i;

  for (i = 0; i < MAX_STEPS; i++)
    switch (fixture->action.kind)
      {
      case CSP_HANDOFF_SEND_RESERVE:
        send_message (fixture, AT_RESERVE);
        break;
      case CSP_HANDOFF_SEND_COMMIT:
        send_message (fixture, AT_COMMIT);
        break;
      case CSP_HANDOFF_OPEN_TARGET:
        run_target_step (fixture, AT_OPEN, CSP_HANDOFF_BEFORE_SEND);
        break;
      case CSP_HANDOFF_SEND_REQUEST:
        fixture->starts++;
        run_target_step (fixture, AT_SENT, CSP_HANDOFF_FIRST_TOKEN);
        streaming = fixture->action.kind == CSP_HANDOFF_WAIT;
        break;
      case CSP_HANDOFF_WAIT:
        if (streaming)
          {
            run_target_step (fixture, AT_STREAM, CSP_HANDOFF_FINISHED);
            break;
          }
        fixture->now_ms = csp_next_handoff_tick (fixture->handoff);
        deliver_event_kind (fixture, CSP_HANDOFF_TICK);
        break;
      case CSP_HANDOFF_GIVE_UP:
      case CSP_HANDOFF_DONE:
        return;
      }
}

static void
run_test_case (fixture_t *fixture, const test_case_t *test_case,
               size_t peer_count)
{
  csp_slot_settings_t slots = csp_default_slot_settings ();
  csp_handoff_settings_t settings = csp_default_handoff_settings ();
  csp_reserve_ask_t ask
      = { .ask_id = 10, .sender = { "s", 1 }, .expected_tokens = 400 };

  memset (fixture, 0, sizeof *fixture);
  fixture->test_case = test_case;
  fixture->owners[0] = csp_create_slot_table (&slots, 1);
  fixture->owners[1] = csp_create_slot_table (&slots, 2);
  fixture->handoff
      = csp_create_handoff (&settings, &ask, peer_count, DEADLINE_MS);
  csp_start_handoff (fixture->handoff, 0, &fixture->action);
  run_handoff (fixture);
}

/* Delivers the message that a paused peer reads late.  Then checks that no
   slot outlives its request by more than LEAK_BOUND_MS: the lease, the next
   holdings message or the silence of the holder must free it.  */
static void
check_and_tear_down (fixture_t *fixture)
{
  csp_holdings_t empty_holdings = { .sender = { "s", 1 }, .number = 1 };
  csp_target_usage_t usage;
  csp_handoff_event_t event = { 0 };

  if (fixture->delayed_message.kind != CSP_HANDOFF_WAIT)
    {
      fixture->peer_unreachable = false;
      fixture->now_ms += PAUSE_MS;
      exchange (fixture, &fixture->delayed_message, &event);
      deliver_event (fixture, &event);
      ck_assert_int_ne (fixture->action.kind, CSP_HANDOFF_SEND_REQUEST);
    }
  csp_apply_holdings (fixture->owners[0], &empty_holdings, fixture->now_ms);
  csp_get_target_usage (fixture->owners[0], "e0",
                        fixture->now_ms + LEAK_BOUND_MS, &usage);
  ck_assert_uint_eq (usage.reserved + usage.held + usage.orphaned, 0);
  ck_assert_uint_eq (usage.expected_tokens, 0);
  csp_destroy_slot_table (fixture->owners[0]);
  csp_destroy_slot_table (fixture->owners[1]);
  csp_destroy_handoff (fixture->handoff);
}

#define NOT_RUN CSP_HANDOFF_GIVE_UP, CSP_VERDICT_NOT_RUN
#define MAY_HAVE_RUN CSP_HANDOFF_GIVE_UP, CSP_VERDICT_MAY_HAVE_RUN
#define RAN CSP_HANDOFF_GIVE_UP, CSP_VERDICT_RAN
#define SERVED CSP_HANDOFF_DONE, CSP_VERDICT_NOT_RUN, CSP_REASON_NONE, 1
#define DONE CSP_HANDOFF_DONE
#define GIVE_UP CSP_HANDOFF_GIVE_UP

static const test_case_t test_cases[] = {
  { AT_RESERVE, PEER_DEAD, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_RESERVE, PEER_PAUSED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_RESERVE, CUT_BEFORE_DELIVERY, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_RESERVE, CUT_AFTER_DELIVERY, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_RESERVE, DUPLICATE, SERVED, DONE },
  { AT_RESERVE, LATE_ANSWER, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_RESERVE, SENDER_PAUSED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_RESERVE, OWNER_RESTARTED, NOT_RUN, CSP_REASON_OVERLOADED, 0, DONE },
  { AT_RESERVE, OWNER_MOVED, NOT_RUN, CSP_REASON_OVERLOADED, 0, DONE },
  { AT_RESERVE, DEADLINE, NOT_RUN, CSP_REASON_DEADLINE, 0, GIVE_UP },
  { AT_RESERVE, CALLER_GONE, NOT_RUN, CSP_REASON_NONE, 0, GIVE_UP },
  { AT_COMMIT, PEER_DEAD, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, PEER_PAUSED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, CUT_BEFORE_DELIVERY, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, CUT_AFTER_DELIVERY, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, DUPLICATE, SERVED, DONE },
  { AT_COMMIT, LATE_ANSWER, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, SENDER_PAUSED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, OWNER_RESTARTED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, OWNER_MOVED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_COMMIT, DEADLINE, NOT_RUN, CSP_REASON_DEADLINE, 0, GIVE_UP },
  { AT_COMMIT, CALLER_GONE, NOT_RUN, CSP_REASON_NONE, 0, GIVE_UP },
  { AT_OPEN, PEER_DEAD, SERVED, DONE },
  { AT_OPEN, PEER_PAUSED, SERVED, DONE },
  { AT_OPEN, CUT_BEFORE_DELIVERY, SERVED, DONE },
  { AT_OPEN, CUT_AFTER_DELIVERY, SERVED, DONE },
  { AT_OPEN, DUPLICATE, SERVED, DONE },
  { AT_OPEN, LATE_ANSWER, SERVED, DONE },
  { AT_OPEN, SENDER_PAUSED, NOT_RUN, CSP_REASON_NO_TARGET, 0, DONE },
  { AT_OPEN, OWNER_RESTARTED, SERVED, DONE },
  { AT_OPEN, OWNER_MOVED, SERVED, DONE },
  { AT_OPEN, DEADLINE, NOT_RUN, CSP_REASON_DEADLINE, 0, GIVE_UP },
  { AT_OPEN, CALLER_GONE, NOT_RUN, CSP_REASON_NONE, 0, GIVE_UP },
  { AT_OPEN, TARGET_REFUSES, NOT_RUN, CSP_REASON_TARGET_UNREACHABLE, 0, DONE },
  { AT_OPEN, TARGET_CUT, NOT_RUN, CSP_REASON_TARGET_UNREACHABLE, 0, DONE },
  { AT_SENT, PEER_DEAD, SERVED, DONE },
  { AT_SENT, PEER_PAUSED, SERVED, DONE },
  { AT_SENT, CUT_BEFORE_DELIVERY, SERVED, DONE },
  { AT_SENT, CUT_AFTER_DELIVERY, SERVED, DONE },
  { AT_SENT, DUPLICATE, SERVED, DONE },
  { AT_SENT, LATE_ANSWER, SERVED, DONE },
  { AT_SENT, SENDER_PAUSED, SERVED, DONE },
  { AT_SENT, OWNER_RESTARTED, SERVED, DONE },
  { AT_SENT, OWNER_MOVED, SERVED, DONE },
  { AT_SENT, DEADLINE, MAY_HAVE_RUN, CSP_REASON_DEADLINE, 1, GIVE_UP },
  { AT_SENT, CALLER_GONE, MAY_HAVE_RUN, CSP_REASON_NONE, 1, GIVE_UP },
  { AT_SENT, TARGET_REFUSES, NOT_RUN, CSP_REASON_TARGET_REFUSED, 0, DONE },
  { AT_SENT, TARGET_CUT, MAY_HAVE_RUN, CSP_REASON_TARGET_FAILED, 1, GIVE_UP },
  { AT_STREAM, PEER_DEAD, SERVED, DONE },
  { AT_STREAM, PEER_PAUSED, SERVED, DONE },
  { AT_STREAM, CUT_BEFORE_DELIVERY, SERVED, DONE },
  { AT_STREAM, CUT_AFTER_DELIVERY, SERVED, DONE },
  { AT_STREAM, DUPLICATE, SERVED, DONE },
  { AT_STREAM, LATE_ANSWER, SERVED, DONE },
  { AT_STREAM, SENDER_PAUSED, SERVED, DONE },
  { AT_STREAM, OWNER_RESTARTED, SERVED, DONE },
  { AT_STREAM, OWNER_MOVED, SERVED, DONE },
  { AT_STREAM, DEADLINE, SERVED, DONE },
  { AT_STREAM, CALLER_GONE, RAN, CSP_REASON_NONE, 1, GIVE_UP },
  { AT_STREAM, TARGET_CUT, RAN, CSP_REASON_STREAM_CUT, 1, GIVE_UP },
};

START_TEST (each_step_against_each_failure)
{
  const test_case_t *test_case = &test_cases[_i];
  fixture_t fixture;

  run_test_case (&fixture, test_case, 1);
  ck_assert_int_eq (fixture.action.kind, test_case->end_with_one_peer);
  ck_assert_int_eq (fixture.starts, test_case->starts_with_one_peer);
  if (test_case->end_with_one_peer == CSP_HANDOFF_GIVE_UP)
    {
      ck_assert_int_eq (fixture.action.u.error.verdict, test_case->verdict);
      ck_assert_int_eq (fixture.action.u.error.reason, test_case->reason);
    }
  check_and_tear_down (&fixture);
  run_test_case (&fixture, test_case, 2);
  ck_assert_int_eq (fixture.action.kind, test_case->end_with_two_peers);
  ck_assert_int_le (fixture.starts, 1);
  check_and_tear_down (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("handoff");
  TCase *tcase = tcase_create ("cells");

  tcase_add_loop_test (tcase, each_step_against_each_failure, 0,
                       sizeof test_cases / sizeof test_cases[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
