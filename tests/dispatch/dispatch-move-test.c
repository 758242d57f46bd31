#include "dispatch/dispatch-fixture.h"
#include "support/run-suite.h"

#include <check.h>

/* Streams that leave engines.  There are four engines with memory for 10,000
   tokens each; a run takes 4,000, so two runs fit on an engine.  */

enum
{
  MEMORY = 10000,
  RUN = 4000,
  ENGINES = 4
};

static const csp_dispatch_service_t service
    = { .name = "s", .memory_tokens = MEMORY };

static const csp_peer_address_t host = { 9, 10 };
static const char *const ids[ENGINES] = { "t", "u", "v", "w" };

static void
list_target (const char *id, bool leaving)
{
  list_engine (id, "near", 24, leaving);
}

static void
list_target_in (const char *id, const char *data_centre)
{
  list_engine (id, data_centre, 24, false);
}

static void
set_up (void)
{
  size_t i;

  open_dispatch ();
  for (i = 0; i < ENGINES; i++)
    list_target (ids[i], false);
}

static uint64_t
hash_target (const char *id)
{
  return csp_find_fleet_target (fleet, id)->hash;
}

/* Reports the hosts' runs at one engine.  */
static void
report_runs (const char *id, uint32_t runs)
{
  csp_peer_load_t load
      = { .target = hash_target (id), .requests = runs, .tokens = runs * RUN };

  csp_add_peer_load (fleet, &load);
}

static void
ask_to_move (uint64_t id, const char *from, uint32_t left_ms, int64_t now_ms)
{
  csp_ask_t row = { .host = host,
                    .id = id,
                    .tokens = RUN,
                    .moves_from = hash_target (from),
                    .left_ms = left_ms };

  csp_push_ask (dispatch, &row, &service, now_ms);
}

static void
ask_for_place (uint64_t id, int64_t now_ms)
{
  csp_ask_t row = { .host = host,
                    .id = id,
                    .organisation = 1,
                    .prompt_tokens = RUN / 2,
                    .tokens = RUN,
                    .start_within_ms = 2000 };

  csp_push_ask (dispatch, &row, &service, now_ms);
}

/* The last answer to an ask; CSP_ASK_OUTCOME_COUNT: none.  */
static const csp_ask_answer_t *
last_answer (uint64_t id)
{
  static const csp_ask_answer_t none = { .outcome = CSP_ASK_OUTCOME_COUNT };
  size_t i;

  for (i = answer_count; i-- > 0;)
    if (answers[i].id == id)
      return &answers[i];
  return &none;
}

static void
expect_outcome (uint64_t id, csp_ask_outcome_t outcome)
{
  ck_assert_msg (last_answer (id)->outcome == outcome, "ask %llu: outcome %d",
                 (unsigned long long)id, (int)last_answer (id)->outcome);
}

/* An engine is removed from the list without notice and serves for two seconds
   more.  The decider has no run there.  If it forgot the engine at once, hosts
   would move their streams by themselves, with several copies on one link, and
   callers would see pauses of 0.4 s.  */
START_TEST (streams_leave_target_unlisted_without_notice)
{
  csp_ask_t row = { .host = host,
                    .tokens = RUN,
                    .moves_from = hash_target ("t"),
                    .left_ms = 1000 };

  csp_remove_target (fleet, "t", 1);
  csp_expire_targets (fleet, 2);
  csp_expire_targets (fleet, 1500);
  row.id = 1;
  csp_push_ask (dispatch, &row, &service, 1500);
  expect_outcome (1, CSP_ASK_PLACED);
  row.id = 2;
  csp_push_ask (dispatch, &row, &service, 1500);
  expect_outcome (2, CSP_ASK_WAITS);
}
END_TEST

/* Three streams leave one engine at the same time.  If all copies used its
   link at once, each stream would pause during the others' copies for half a
   second.  */
START_TEST (one_copy_at_a_time_from_a_target)
{
  list_target ("t", true);
  ask_to_move (1, "t", 1000, 0);
  ask_to_move (2, "t", 3000, 0);
  ask_to_move (3, "t", 2000, 0);
  expect_outcome (1, CSP_ASK_PLACED);
  expect_outcome (2, CSP_ASK_WAITS);
  expect_outcome (3, CSP_ASK_WAITS);
  csp_cancel_ask (dispatch, host, 1);
  csp_pump_dispatch (dispatch, 10);
  /* The stream with the longest remaining time first, as the other may still
     end where it is.  */
  expect_outcome (2, CSP_ASK_PLACED);
  expect_outcome (3, CSP_ASK_WAITS);
  csp_cancel_ask (dispatch, host, 2);
  csp_pump_dispatch (dispatch, 20);
  expect_outcome (3, CSP_ASK_PLACED);
}
END_TEST

/* Two engines leave and only one other has capacity.  Its link, too, carries
   one copy at a time.  */
START_TEST (one_copy_at_a_time_to_a_target)
{
  list_target ("t", true);
  list_target ("u", true);
  report_runs ("v", 2);
  ask_to_move (1, "t", 1000, 0);
  ask_to_move (2, "u", 1000, 0);
  expect_outcome (1, CSP_ASK_PLACED);
  ck_assert_uint_eq (last_answer (1)->target, hash_target ("w"));
  expect_outcome (2, CSP_ASK_WAITS);
  csp_cancel_ask (dispatch, host, 1);
  csp_pump_dispatch (dispatch, 10);
  expect_outcome (2, CSP_ASK_PLACED);
  ck_assert_uint_eq (last_answer (2)->target, hash_target ("w"));
}
END_TEST

/* Capacity is reserved for a stream that waits to be moved, so that no new
   request takes it: the stream would be refused there and lost.  */
START_TEST (capacity_is_reserved_for_waiting_move)
{
  list_target ("t", true);
  report_runs ("u", 2);
  report_runs ("v", 2);
  report_runs ("w", 0);
  ask_to_move (1, "t", 1000, 0);
  ask_to_move (2, "t", 1000, 0);
  ask_for_place (3, 0);
  expect_outcome (1, CSP_ASK_PLACED);
  expect_outcome (2, CSP_ASK_WAITS);
  expect_outcome (3, CSP_ASK_WAITS);
  ck_assert_uint_eq (csp_find_fleet_target (fleet, "w")->reserved.tokens,
                     2 * RUN);
}
END_TEST

/* No engine has capacity for a stream that leaves.  The first capacity that
   gets free goes to the stream, as no work was done for the new request
   yet.  */
START_TEST (waiting_move_goes_before_new_requests)
{
  list_target ("t", true);
  report_runs ("u", 2);
  report_runs ("v", 2);
  report_runs ("w", 2);
  ask_for_place (1, 0);
  ask_to_move (2, "t", 1000, 0);
  expect_outcome (1, CSP_ASK_WAITS);
  expect_outcome (2, CSP_ASK_WAITS);
  csp_clear_peer_loads (fleet);
  report_runs ("u", 2);
  report_runs ("v", 2);
  report_runs ("w", 1);
  csp_pump_dispatch (dispatch, 10);
  expect_outcome (2, CSP_ASK_PLACED);
  expect_outcome (1, CSP_ASK_WAITS);
}
END_TEST

/* An engine has less free capacity than assumed and refused the copy.  If the
   stream were sent there again at once, it would lose the time that is
   left.  */
START_TEST (refusing_target_is_excluded)
{
  csp_ask_t row = { .host = host, .id = 1, .tokens = RUN };

  list_target ("t", true);
  report_runs ("u", 2);
  report_runs ("v", 2);
  row.moves_from = hash_target ("t");
  row.refused_at = hash_target ("w");
  csp_push_ask (dispatch, &row, &service, 0);
  expect_outcome (1, CSP_ASK_WAITS);
  /* Later its host allows that engine again, as there is no other.  */
  row.refused_at = 0;
  csp_push_ask (dispatch, &row, &service, 250);
  expect_outcome (1, CSP_ASK_PLACED);
}
END_TEST

/* The engine that was reserved for a waiting stream starts to leave too.  */
START_TEST (move_gets_new_destination_when_target_leaves)
{
  list_target ("t", true);
  report_runs ("v", 2);
  ask_to_move (1, "t", 3000, 0);
  ask_to_move (2, "t", 1000, 0);
  list_target ("u", true);
  list_target ("w", true);
  csp_clear_peer_loads (fleet);
  csp_cancel_ask (dispatch, host, 1);
  csp_pump_dispatch (dispatch, 10);
  expect_outcome (2, CSP_ASK_PLACED);
  ck_assert_uint_eq (last_answer (2)->target, hash_target ("v"));
}
END_TEST

/* Operators cordon the data centre of the engine that is reserved for a
   waiting stream.  Moved there, the stream would be lost when the data centre
   is switched off.  */
START_TEST (move_gets_new_destination_when_cordoned)
{
  list_target ("t", true);
  list_target_in ("w", "other");
  report_runs ("v", 2);
  report_runs ("w", 2);
  ask_to_move (1, "t", 3000, 0);
  ask_to_move (2, "t", 1000, 0);
  csp_clear_peer_loads (fleet);
  ck_assert_int_eq (csp_cordon_targets (fleet, "near", true, 5),
                    CSP_CORDON_CHANGED);
  csp_cancel_ask (dispatch, host, 1);
  csp_pump_dispatch (dispatch, 10);
  expect_outcome (2, CSP_ASK_PLACED);
  ck_assert_uint_eq (last_answer (2)->target, hash_target ("w"));
}
END_TEST

/* A host dies, or its messages are lost, while it has a waiting move and a
   started one.  Others must not wait for these for long, and the reserved
   capacity must be freed.  */
START_TEST (moves_of_silent_hosts_are_dropped)
{
  list_target ("t", true);
  ask_to_move (1, "t", 3000, 0);
  ask_to_move (2, "t", 1000, 0);
  expect_outcome (1, CSP_ASK_PLACED);
  ask_to_move (3, "t", 500, 1400);
  expect_outcome (3, CSP_ASK_WAITS);
  csp_pump_dispatch (dispatch, 1600);
  expect_outcome (3, CSP_ASK_PLACED);
  expect_outcome (2, CSP_ASK_WAITS);
  csp_cancel_ask (dispatch, host, 3);
  csp_pump_dispatch (dispatch, 1700);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
}
END_TEST

/* The answer to an ask was lost: the ask is repeated and answered again.  */
START_TEST (started_move_is_answered_again)
{
  list_target ("t", true);
  ask_to_move (1, "t", 3000, 0);
  expect_outcome (1, CSP_ASK_PLACED);
  answer_count = 0;
  ask_to_move (1, "t", 3000, 40);
  expect_outcome (1, CSP_ASK_PLACED);
}
END_TEST

/* The engine isn't known here, so the ask is refused and its host moves the
   stream by itself.  */
START_TEST (move_from_unknown_target_is_refused)
{
  csp_ask_t row = { .host = host, .id = 1, .tokens = RUN, .moves_from = 77 };

  csp_push_ask (dispatch, &row, &service, 0);
  expect_outcome (1, CSP_ASK_REFUSED);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch-move");
  TCase *tcase = tcase_create ("dispatch-move");

  tcase_add_checked_fixture (tcase, set_up, close_dispatch);
  tcase_add_test (tcase, streams_leave_target_unlisted_without_notice);
  tcase_add_test (tcase, one_copy_at_a_time_from_a_target);
  tcase_add_test (tcase, one_copy_at_a_time_to_a_target);
  tcase_add_test (tcase, capacity_is_reserved_for_waiting_move);
  tcase_add_test (tcase, waiting_move_goes_before_new_requests);
  tcase_add_test (tcase, refusing_target_is_excluded);
  tcase_add_test (tcase, move_gets_new_destination_when_target_leaves);
  tcase_add_test (tcase, move_gets_new_destination_when_cordoned);
  tcase_add_test (tcase, moves_of_silent_hosts_are_dropped);
  tcase_add_test (tcase, started_move_is_answered_again);
  tcase_add_test (tcase, move_from_unknown_target_is_refused);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
