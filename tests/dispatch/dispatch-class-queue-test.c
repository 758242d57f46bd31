#include "dispatch/dispatch-fixture.h"
#include "support/run-suite.h"

#include <check.h>

/* The queues of traffic classes at one engine that has room for one request:
   short urgent requests and long regular ones.  */

enum
{
  ONE_RUN = 4000,
  /* Time between two pumps in which a reservation ends.  */
  STEP_MS = 31
};

#define REGULAR CSP_CLASS_REGULAR
#define URGENT CSP_CLASS_URGENT

static csp_dispatch_service_t service;
static uint64_t next_id;
static uint32_t urgent_within_ms;

static void
set_up (void)
{
  open_dispatch ();
  list_engine ("e", "", 24, false);
  service = (csp_dispatch_service_t){ .name = "s",
                                      .memory_tokens = ONE_RUN,
                                      .has_classes = true };
  next_id = 1;
  urgent_within_ms = 1157;
}

/* The class of an ask is in its id.  */
static csp_traffic_class_t
class_of (const csp_ask_answer_t *answer)
{
  return (csp_traffic_class_t)(answer->id % CSP_CLASS_COUNT);
}

static csp_ask_answer_t
push_ask (csp_traffic_class_t traffic_class, uint32_t organisation,
          int64_t now_ms)
{
  bool urgent = traffic_class == URGENT;
  csp_ask_t ask = { .host = { 9, 10 },
                    .id = next_id++ * CSP_CLASS_COUNT + traffic_class,
                    .organisation = organisation,
                    .prompt_tokens = urgent ? 2400 : 3000,
                    .tokens = urgent ? 2412 : 3750,
                    .start_within_ms = urgent ? urgent_within_ms : 3572,
                    .traffic_class = traffic_class };

  csp_push_ask (dispatch, &ask, &service, now_ms);
  return answers[answer_count - 1];
}

/* Reports one run at the engine.  */
static void
report_tokens (uint64_t tokens)
{
  csp_peer_load_t load = { .target = csp_fleet_at (fleet, 0)->hash,
                           .requests = 1,
                           .tokens = tokens };

  csp_clear_peer_loads (fleet);
  csp_add_peer_load (fleet, &load);
}

static csp_ask_answer_t
ask_once (csp_traffic_class_t traffic_class, int64_t now_ms)
{
  return push_ask (traffic_class, 1, now_ms);
}

static void
pump_with (uint64_t tokens, int64_t now_ms)
{
  report_tokens (tokens);
  answer_count = 0;
  csp_pump_dispatch (dispatch, now_ms);
}

/* Capacity for only one request comes free, and the regular one has waited for
   2.6 s.  Guards against long requests that block short ones, and against
   urgent ones that get the next capacity too.  */
START_TEST (classes_take_turns_at_the_only_place)
{
  report_tokens (ONE_RUN);
  ck_assert_int_eq (ask_once (REGULAR, 1000).outcome, CSP_ASK_WAITS);
  pump_with (ONE_RUN, 2000);
  ck_assert_int_eq (ask_once (URGENT, 3500).outcome, CSP_ASK_WAITS);
  ck_assert_int_eq (ask_once (URGENT, 3500).outcome, CSP_ASK_WAITS);
  pump_with (0, 3600);
  ck_assert_uint_eq (answer_count, 1);
  ck_assert_int_eq (answers[0].outcome, CSP_ASK_PLACED);
  ck_assert_uint_eq (class_of (&answers[0]), URGENT);
  pump_with (ONE_RUN, 3700);
  pump_with (0, 4000);
  ck_assert_uint_eq (answer_count, 1);
  ck_assert_uint_eq (class_of (&answers[0]), REGULAR);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 1);
}
END_TEST

/* Twenty regular requests wait, and one was placed in 0.6 s.  Guards against
   urgent requests that are refused for the wait of regular ones, or told to
   come back after it.  */
START_TEST (refusal_follows_own_queue)
{
  const csp_class_counts_t *regular;
  const csp_class_counts_t *urgent;
  csp_ask_answer_t answer;
  int64_t now_ms;
  int i;

  report_tokens (ONE_RUN);
  regular = csp_get_class_counts (dispatch, REGULAR);
  urgent = csp_get_class_counts (dispatch, URGENT);
  for (i = 0; i < 20; i++)
    ask_once (REGULAR, 1000);
  pump_with (0, 1500);
  pump_with (ONE_RUN, 1600);
  answer = ask_once (REGULAR, 1600);
  ck_assert_int_eq (answer.outcome, CSP_ASK_REFUSED);
  ck_assert_uint_gt (answer.retry_after_ms, 30000);
  for (i = 0; i < 3; i++)
    ck_assert_int_eq (ask_once (URGENT, 1600).outcome, CSP_ASK_WAITS);
  /* One is placed, one can't start in time at this rate, and one doesn't.  */
  for (now_ms = 2200; now_ms <= 2800; now_ms += 600)
    {
      pump_with (now_ms == 2200 ? 0 : ONE_RUN, now_ms);
      for (i = 0; i < (int)answer_count; i++)
        if (answers[i].outcome == CSP_ASK_REFUSED
            && class_of (&answers[i]) == URGENT)
          ck_assert_uint_lt (answers[i].retry_after_ms, 3000);
    }
  ck_assert_uint_eq (regular->placed, 1);
  ck_assert_uint_eq (regular->refused_on_arrival, 1);
  ck_assert_uint_eq (regular->refused_after_wait + regular->waiting, 19);
  ck_assert_uint_eq (urgent->placed, 1);
  ck_assert_uint_eq (urgent->refused_on_arrival, 0);
  ck_assert_uint_eq (urgent->refused_after_wait, 2);
  ck_assert_uint_eq (urgent->waiting, 0);
}
END_TEST

/* The routes' objectives change while requests wait.  Guards against requests
   that are forgotten in a queue that isn't served, or that are dropped from
   the wrong one.  */
START_TEST (requests_keep_their_class_when_classes_go)
{
  csp_ask_answer_t cancelled;

  report_tokens (ONE_RUN);
  cancelled = ask_once (URGENT, 1000);
  ask_once (URGENT, 1000);
  service.has_classes = false;
  ask_once (URGENT, 1100);
  ck_assert_uint_eq (csp_get_class_counts (dispatch, REGULAR)->waiting, 1);
  csp_cancel_ask (dispatch, cancelled.host, cancelled.id);
  ck_assert_uint_eq (csp_get_class_counts (dispatch, URGENT)->waiting, 1);
  pump_with (0, 1200);
  pump_with (0, 1300);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
  ck_assert_uint_eq (csp_get_class_counts (dispatch, URGENT)->placed, 1);
}
END_TEST

/* The services for which regular requests wait.  */
static const csp_dispatch_service_t crowded[]
    = { { "s", ONE_RUN, true, 0 }, { "other", ONE_RUN, false, 0 } };

/* Guards against a class whose waiting requests fill the table that all use,
   and against a service that uses up the part of another one's class.  */
START_TEST (waiting_class_leaves_room_for_others)
{
  csp_dispatch_service_t own = service;
  bool has_classes = crowded[_i].has_classes;
  int i;

  report_tokens (ONE_RUN);
  service = crowded[_i];
  for (i = 0; i <= 2048; i++)
    {
      answer_count = 0;
      push_ask (REGULAR, 1 + (uint32_t)i % 100, 1000);
    }
  ck_assert_int_eq (answers[0].outcome,
                    has_classes ? CSP_ASK_REFUSED : CSP_ASK_WAITS);
  service = own;
  ck_assert_int_eq (ask_once (has_classes ? URGENT : REGULAR, 1000).outcome,
                    CSP_ASK_WAITS);
}
END_TEST

/* One organisation has thirty urgent requests waiting, another has one.
   Guards against a credit of a round that serves an organisation many cheap
   requests in a row.  */
START_TEST (organisations_take_turns_in_urgent_class)
{
  uint64_t last_id;
  int before = 0;
  int64_t now_ms;
  int i;

  report_tokens (ONE_RUN);
  for (i = 0; i < 30; i++)
    {
      push_ask (REGULAR, 1, 1000);
      push_ask (URGENT, 1, 1000);
    }
  last_id = push_ask (URGENT, 2, 1000).id;
  for (now_ms = 1000 + STEP_MS; now_ms < 1450; now_ms += STEP_MS)
    {
      pump_with (0, now_ms);
      ck_assert_uint_eq (answer_count, 1);
      if (answers[0].id == last_id)
        break;
      before += class_of (&answers[0]) == URGENT;
    }
  ck_assert_uint_eq (answers[0].id, last_id);
  ck_assert_int_le (before, 3);
}
END_TEST

/* The urgent class is above its share, and a regular request waits that
   doesn't fit.  Guards against a hold that outlasts the time in which an
   urgent request can be placed.  */
START_TEST (hold_leaves_time_for_urgent_requests)
{
  int64_t now_ms;

  urgent_within_ms = 230;
  ck_assert_int_eq (ask_once (URGENT, 1000).outcome, CSP_ASK_PLACED);
  pump_with (ONE_RUN / 3, 1000 + STEP_MS);
  ck_assert_int_eq (ask_once (REGULAR, 1100).outcome, CSP_ASK_WAITS);
  ck_assert_int_eq (ask_once (URGENT, 1100).outcome, CSP_ASK_WAITS);
  answer_count = 0;
  for (now_ms = 1100; answer_count == 0; now_ms += STEP_MS)
    pump_with (ONE_RUN / 3, now_ms);
  ck_assert_uint_eq (class_of (&answers[0]), URGENT);
  ck_assert_int_eq (answers[0].outcome, CSP_ASK_PLACED);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch-class-queue");
  TCase *tcase = tcase_create ("dispatch-class-queue");

  tcase_add_checked_fixture (tcase, set_up, close_dispatch);
  tcase_add_test (tcase, classes_take_turns_at_the_only_place);
  tcase_add_test (tcase, refusal_follows_own_queue);
  tcase_add_test (tcase, requests_keep_their_class_when_classes_go);
  tcase_add_loop_test (tcase, waiting_class_leaves_room_for_others, 0,
                       sizeof crowded / sizeof crowded[0]);
  tcase_add_test (tcase, organisations_take_turns_in_urgent_class);
  tcase_add_test (tcase, hold_leaves_time_for_urgent_requests);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
