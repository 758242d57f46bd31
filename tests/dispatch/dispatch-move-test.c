#include "cowslipspoke/dispatch.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

/* Streams that leave engines.  Four engines with memory for 10,000 tokens; a
   run has 4,000, so two fit.  */

enum
{
  MEMORY = 10000,
  RUN = 4000,
  ANSWERS_MAX = 64,
  ENGINES = 4
};

static csp_fleet_t *fleet;
static csp_dispatch_t *dispatch;
static csp_ask_answer_t answers[ANSWERS_MAX];
static size_t answer_count;

static const csp_peer_address_t host = { 9, 10 };
static const char *const ids[ENGINES] = { "t", "u", "v", "w" };

static void
take (void *state, const csp_ask_answer_t *answer)
{
  (void)state;
  ck_assert_uint_lt (answer_count, ANSWERS_MAX);
  answers[answer_count++] = *answer;
}

static void
list_row (const char *id, const char *data_centre, bool leaving)
{
  csp_fleet_row_t row = { .slots = 24, .leaving = leaving };

  snprintf (row.id, sizeof row.id, "%s", id);
  snprintf (row.service, sizeof row.service, "s");
  snprintf (row.data_centre, sizeof row.data_centre, "%s", data_centre);
  ck_assert (csp_list_target (fleet, &row, 0));
}

static void
list (const char *id, bool leaving)
{
  list_row (id, "near", leaving);
}

static void
list_in (const char *id, const char *data_centre)
{
  list_row (id, data_centre, false);
}

static void
set_up (void)
{
  size_t i;

  answer_count = 0;
  fleet = csp_create_fleet (NULL, NULL, NULL);
  dispatch = csp_create_dispatch (fleet, take, NULL, 3);
  ck_assert_ptr_nonnull (dispatch);
  for (i = 0; i < ENGINES; i++)
    list (ids[i], false);
}

static void
tear_down (void)
{
  csp_destroy_dispatch (dispatch);
  csp_destroy_fleet (fleet);
}

static uint64_t
hash_of (const char *id)
{
  return csp_find_fleet_target (fleet, id)->hash;
}

/* What the hosts tell of their runs at one engine.  */
static void
tell (const char *id, uint32_t runs)
{
  csp_peer_load_t load
      = { .target = hash_of (id), .requests = runs, .tokens = runs * RUN };

  csp_count_other_load (fleet, &load);
}

static void
ask_to_move (uint64_t id, const char *from, uint32_t left_ms, int64_t now_ms)
{
  csp_ask_t row = { .host = host,
                    .id = id,
                    .tokens = RUN,
                    .moves_from = hash_of (from),
                    .left_ms = left_ms };

  csp_push_ask (dispatch, &row, "s", MEMORY, now_ms);
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

  csp_push_ask (dispatch, &row, "s", MEMORY, now_ms);
}

/* The last word on an ask; CSP_ASK_OUTCOME_COUNT: none.  */
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
expect (uint64_t id, csp_ask_outcome_t outcome)
{
  ck_assert_msg (last_answer (id)->outcome == outcome, "ask %llu: outcome %d",
                 (unsigned long long)id, (int)last_answer (id)->outcome);
}

/* An engine goes from the list without notice, and serves for two seconds
   more. The host that decides has no run there; as long as it forgot the
   engine at once, the streams of other hosts were sent away to move by
   themselves, side by side on one link, and their callers saw pauses of 0.4 s.
 */
START_TEST (streams_leave_a_target_that_went_without_notice)
{
  csp_ask_t row = {
    .host = host, .tokens = RUN, .moves_from = hash_of ("t"), .left_ms = 1000
  };

  csp_unlist_target (fleet, "t", 1);
  csp_expire_targets (fleet, 2);
  csp_expire_targets (fleet, 1500);
  row.id = 1;
  csp_push_ask (dispatch, &row, "s", MEMORY, 1500);
  expect (1, CSP_ASK_PLACED);
  row.id = 2;
  csp_push_ask (dispatch, &row, "s", MEMORY, 1500);
  expect (2, CSP_ASK_WAITS);
}
END_TEST

/* Three streams of one engine leave it at once.  Were their copies all put on
   its link, each stop would wait behind the others' copies and the callers
   would see pauses of half a second.  */
START_TEST (one_copy_at_a_time_leaves_a_target)
{
  list ("t", true);
  ask_to_move (1, "t", 1000, 0);
  ask_to_move (2, "t", 3000, 0);
  ask_to_move (3, "t", 2000, 0);
  expect (1, CSP_ASK_PLACED);
  expect (2, CSP_ASK_WAITS);
  expect (3, CSP_ASK_WAITS);
  csp_cancel_ask (dispatch, host, 1);
  csp_pump_dispatch (dispatch, 10);
  /* The one that has longest to go: the other may still end in time.  */
  expect (2, CSP_ASK_PLACED);
  expect (3, CSP_ASK_WAITS);
  csp_cancel_ask (dispatch, host, 2);
  csp_pump_dispatch (dispatch, 20);
  expect (3, CSP_ASK_PLACED);
}
END_TEST

/* Two engines leave and only one other has room.  Its link, too, takes one
   copy at a time.  */
START_TEST (one_copy_at_a_time_comes_to_a_target)
{
  list ("t", true);
  list ("u", true);
  tell ("v", 2);
  ask_to_move (1, "t", 1000, 0);
  ask_to_move (2, "u", 1000, 0);
  expect (1, CSP_ASK_PLACED);
  ck_assert_uint_eq (last_answer (1)->target, hash_of ("w"));
  expect (2, CSP_ASK_WAITS);
  csp_cancel_ask (dispatch, host, 1);
  csp_pump_dispatch (dispatch, 10);
  expect (2, CSP_ASK_PLACED);
  ck_assert_uint_eq (last_answer (2)->target, hash_of ("w"));
}
END_TEST

/* Room is kept for a stream that waits for its turn, so that a new request
   doesn't take it: the stream would be refused there and lost.  */
START_TEST (room_is_kept_until_the_turn_comes)
{
  list ("t", true);
  tell ("u", 2);
  tell ("v", 2);
  tell ("w", 0);
  ask_to_move (1, "t", 1000, 0);
  ask_to_move (2, "t", 1000, 0);
  ask_for_place (3, 0);
  expect (1, CSP_ASK_PLACED);
  expect (2, CSP_ASK_WAITS);
  expect (3, CSP_ASK_WAITS);
  ck_assert_uint_eq (csp_find_fleet_target (fleet, "w")->reserved.tokens,
                     2 * RUN);
}
END_TEST

/* No engine has room for a stream that leaves.  The first that comes free is
   the stream's: a new request has not cost anything yet.  */
START_TEST (a_stream_without_room_goes_before_new_requests)
{
  list ("t", true);
  tell ("u", 2);
  tell ("v", 2);
  tell ("w", 2);
  ask_for_place (1, 0);
  ask_to_move (2, "t", 1000, 0);
  expect (1, CSP_ASK_WAITS);
  expect (2, CSP_ASK_WAITS);
  csp_clear_other_loads (fleet);
  tell ("u", 2);
  tell ("v", 2);
  tell ("w", 1);
  csp_pump_dispatch (dispatch, 10);
  expect (2, CSP_ASK_PLACED);
  expect (1, CSP_ASK_WAITS);
}
END_TEST

/* An engine has less room than it is thought to have, and refused the copy.
   Sent there again at once, the stream loses its time.  */
START_TEST (a_target_that_refused_is_left_out)
{
  csp_ask_t row = { .host = host, .id = 1, .tokens = RUN };

  list ("t", true);
  tell ("u", 2);
  tell ("v", 2);
  row.moves_from = hash_of ("t");
  row.refused_at = hash_of ("w");
  csp_push_ask (dispatch, &row, "s", MEMORY, 0);
  expect (1, CSP_ASK_WAITS);
  /* A while later its host tries it again, as there is no other.  */
  row.refused_at = 0;
  csp_push_ask (dispatch, &row, "s", MEMORY, 250);
  expect (1, CSP_ASK_PLACED);
}
END_TEST

/* The engine that kept room for a waiting stream is told to leave as well.  */
START_TEST (room_at_a_target_that_leaves_is_found_elsewhere)
{
  list ("t", true);
  tell ("v", 2);
  ask_to_move (1, "t", 3000, 0);
  ask_to_move (2, "t", 1000, 0);
  list ("u", true);
  list ("w", true);
  csp_clear_other_loads (fleet);
  csp_cancel_ask (dispatch, host, 1);
  csp_pump_dispatch (dispatch, 10);
  expect (2, CSP_ASK_PLACED);
  ck_assert_uint_eq (last_answer (2)->target, hash_of ("v"));
}
END_TEST

/* Operators cordon the data centre of an engine that kept room for a stream
   that waits.  Moved there it would be lost with the power.  */
START_TEST (room_in_a_cordoned_data_centre_is_found_elsewhere)
{
  list ("t", true);
  list_in ("w", "other");
  tell ("v", 2);
  tell ("w", 2);
  ask_to_move (1, "t", 3000, 0);
  ask_to_move (2, "t", 1000, 0);
  csp_clear_other_loads (fleet);
  ck_assert_int_eq (csp_cordon_targets (fleet, "near", true, 5),
                    CSP_CORDON_CHANGED);
  csp_cancel_ask (dispatch, host, 1);
  csp_pump_dispatch (dispatch, 10);
  expect (2, CSP_ASK_PLACED);
  ck_assert_uint_eq (last_answer (2)->target, hash_of ("w"));
}
END_TEST

/* A host dies with a stream that waits and one that is under way, or its words
   are lost.  Others must not wait for them for long, and their room is free.
 */
START_TEST (streams_of_silent_hosts_are_dropped)
{
  list ("t", true);
  ask_to_move (1, "t", 3000, 0);
  ask_to_move (2, "t", 1000, 0);
  expect (1, CSP_ASK_PLACED);
  ask_to_move (3, "t", 500, 1400);
  expect (3, CSP_ASK_WAITS);
  csp_pump_dispatch (dispatch, 1600);
  expect (3, CSP_ASK_PLACED);
  expect (2, CSP_ASK_WAITS);
  csp_cancel_ask (dispatch, host, 3);
  csp_pump_dispatch (dispatch, 1700);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
}
END_TEST

/* The answer to an ask was lost: it comes again and is answered again.  */
START_TEST (a_move_that_is_under_way_is_answered_again)
{
  list ("t", true);
  ask_to_move (1, "t", 3000, 0);
  expect (1, CSP_ASK_PLACED);
  answer_count = 0;
  ask_to_move (1, "t", 3000, 40);
  expect (1, CSP_ASK_PLACED);
}
END_TEST

/* An engine that is not known here: the host moves the stream by itself.  */
START_TEST (a_stream_of_an_unknown_target_is_refused)
{
  csp_ask_t row = { .host = host, .id = 1, .tokens = RUN, .moves_from = 77 };

  csp_push_ask (dispatch, &row, "s", MEMORY, 0);
  expect (1, CSP_ASK_REFUSED);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch-move");
  TCase *tcase = tcase_create ("dispatch-move");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, streams_leave_a_target_that_went_without_notice);
  tcase_add_test (tcase, one_copy_at_a_time_leaves_a_target);
  tcase_add_test (tcase, one_copy_at_a_time_comes_to_a_target);
  tcase_add_test (tcase, room_is_kept_until_the_turn_comes);
  tcase_add_test (tcase, a_stream_without_room_goes_before_new_requests);
  tcase_add_test (tcase, a_target_that_refused_is_left_out);
  tcase_add_test (tcase, room_at_a_target_that_leaves_is_found_elsewhere);
  tcase_add_test (tcase, room_in_a_cordoned_data_centre_is_found_elsewhere);
  tcase_add_test (tcase, streams_of_silent_hosts_are_dropped);
  tcase_add_test (tcase, a_move_that_is_under_way_is_answered_again);
  tcase_add_test (tcase, a_stream_of_an_unknown_target_is_refused);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
