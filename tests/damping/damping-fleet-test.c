#include "cowslipspoke/dispatch.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

/* Damping at a decider: what is placed at a target that flaps, and how many
   targets are damped at a time.  */

enum
{
  HOSTS = 10,
  MEMORY_TOKENS = 20000,
  RUN_TOKENS = 3000,
  SHORT_TOKENS = 60, /* runs for half a second */
  BEGIN_MS = 100000,
  /* The load that was measured: ten attempts in a down time of 0.7 s.  */
  ATTEMPT_EACH_MS = 70,
  UP_MS = 1000,
  DOWN_MS = 700,
  PERIODS = 4,
  PLAY_MS = PERIODS * (UP_MS + DOWN_MS),
  REPORT_MS = 2,
  SETTLED_MS = 40 /* reservations have ended */
};

static csp_fleet_t *fleet;
static csp_dispatch_t *dispatch;
static csp_ask_answer_t answer;
static uint64_t next_ask;
static size_t released;

static void
record_answer (void *state, const csp_ask_answer_t *given)
{
  (void)state;
  answer = *given;
}

static void
record_change (void *state, const csp_fleet_target_t *target, bool early)
{
  (void)state;
  (void)target;
  released += early;
}

static const csp_damping_watch_t watch = { .on_changed = record_change };

static csp_fleet_target_t *
list_target (const char *id, const char *data_centre, int64_t start_unix_ms)
{
  csp_fleet_row_t row = { .slots = 24, .start_unix_ms = start_unix_ms };

  snprintf (row.id, sizeof row.id, "%s", id);
  snprintf (row.service, sizeof row.service, "s");
  snprintf (row.data_centre, sizeof row.data_centre, "%s", data_centre);
  ck_assert (csp_update_target (fleet, &row, BEGIN_MS));
  return csp_find_fleet_target (fleet, id);
}

static void
set_up (void)
{
  fleet = csp_create_fleet (NULL, NULL, NULL);
  dispatch = csp_create_dispatch (fleet, record_answer, NULL, 7);
  ck_assert_ptr_nonnull (dispatch);
  next_ask = 1;
  released = 0;
}

static void
tear_down (void)
{
  csp_destroy_dispatch (dispatch);
  csp_destroy_fleet (fleet);
}

/* Report a load of a host, as csp_apply_reported_losses does.  */
static void
report_load (csp_fleet_target_t *target, uint64_t host, uint32_t failures,
             int64_t now_ms)
{
  csp_peer_load_t load = { .target = target->hash, .failures = failures };
  csp_damping_report_t report = { .host = host };

  csp_add_peer_load (fleet, &load);
  report.failures = csp_count_target_failures (target);
  csp_note_target_loss (fleet, target, &report, now_ms);
  csp_limit_dampings (fleet, target->group, &watch, now_ms);
}

/* Ask for a placement from a host.  Returns the target; NULL: it waits.  */
static csp_fleet_target_t *
ask (uint32_t host, uint32_t tokens, int64_t now_ms)
{
  const csp_dispatch_service_t service
      = { .name = "s", .memory_tokens = MEMORY_TOKENS };
  csp_ask_t row = { .host = { host, 1 },
                    .id = next_ask++,
                    .tokens = tokens,
                    .start_within_ms = 1000 };

  csp_push_ask (dispatch, &row, &service, now_ms);
  csp_cancel_ask (dispatch, row.host, row.id);
  return answer.outcome == CSP_ASK_PLACED
             ? csp_find_target_by_hash (fleet, answer.target)
             : NULL;
}

/* List a target without capacity for another run.  */
static void
list_full_target (const char *id)
{
  csp_peer_load_t load = { .target = list_target (id, "", 0)->hash,
                           .requests = 8,
                           .tokens = MEMORY_TOKENS };

  csp_add_peer_load (fleet, &load);
}

/* Play a target that fails every second before a decider of ten hosts.  The
   other target carries load, so that the flapping one looks best.  Returns the
   largest number of requests lost in one down time.  */
static uint32_t
play_flapping_target (bool reports)
{
  csp_fleet_target_t *flapping = list_target ("t", "", 0);
  csp_fleet_target_t *steady = list_target ("u", "", 0);
  csp_peer_load_t load
      = { .target = steady->hash, .requests = 4, .tokens = 4 * RUN_TOKENS };
  uint32_t lost[PERIODS] = { 0 };
  uint32_t most = 0;
  int64_t at_ms;

  csp_add_peer_load (fleet, &load);
  for (at_ms = 0; at_ms < PLAY_MS; at_ms += ATTEMPT_EACH_MS)
    {
      uint32_t host = 1 + (uint32_t)(at_ms / ATTEMPT_EACH_MS) % HOSTS;
      uint32_t *count = &lost[at_ms / (UP_MS + DOWN_MS)];
      int64_t now_ms = BEGIN_MS + at_ms;

      csp_update_dampings (fleet, &watch, now_ms);
      csp_pump_dispatch (dispatch, now_ms);
      if (ask (host, RUN_TOKENS, now_ms) != flapping
          || at_ms % (UP_MS + DOWN_MS) < UP_MS)
        continue;
      if (reports)
        report_load (flapping, host, 1, now_ms + REPORT_MS);
      most = ++*count > most ? *count : most;
    }
  csp_subtract_peer_load (fleet, &load);
  return most;
}

/* Guards against a target that is filled each time it comes up: each of ten
   hosts lost a request there within 0.7 s, as it does here without reports.
 */
START_TEST (flapping_target_loses_few_requests)
{
  ck_assert_uint_eq (play_flapping_target (false), HOSTS);
  ck_assert_uint_le (play_flapping_target (true), 3);
}
END_TEST

static void
damp (csp_fleet_target_t *target, int64_t now_ms)
{
  report_load (target, 1, 1, now_ms);
  report_load (target, 2, 1, now_ms);
}

/* Guards against probation that lets long runs or many requests in, and
   against a success or a loss there that isn't counted.  */
START_TEST (target_on_probation_gets_one_short_request)
{
  csp_fleet_target_t *target = list_target ("t", "", 0);
  int64_t now_ms = BEGIN_MS;

  list_full_target ("full");
  damp (target, now_ms);
  ck_assert_ptr_null (ask (1, SHORT_TOKENS, now_ms));
  now_ms += UP_MS;
  csp_update_dampings (fleet, &watch, now_ms);
  ck_assert_uint_eq (csp_count_dampings (fleet, CSP_TARGET_ON_PROBATION), 1);
  ck_assert_ptr_null (ask (1, RUN_TOKENS, now_ms));
  ck_assert_ptr_eq (ask (1, SHORT_TOKENS, now_ms), target);
  ck_assert_ptr_null (ask (1, SHORT_TOKENS, now_ms));
  csp_note_damping_success (&target->damping);
  now_ms += SETTLED_MS;
  csp_pump_dispatch (dispatch, now_ms);
  ck_assert_ptr_eq (ask (1, SHORT_TOKENS, now_ms), target);
  ck_assert_ptr_eq (ask (1, SHORT_TOKENS, now_ms), target);
  report_load (target, 3, 1, now_ms + 1);
  ck_assert_uint_eq (target->damping.duration_ms, 2 * UP_MS);
}
END_TEST

static const struct
{
  size_t targets;
  size_t data_centres;
  size_t failing; /* every so many targets */
  size_t max_damped;
} limits[] = { { 10, 2, 1, 2 },
               { 10, 1, 1, 2 },
               { 10, 2, 2, 1 }, /* all of one data centre */
               { 4, 4, 1, 1 },
               { 1, 1, 1, 1 } };

/* Guards against damping most of a service, or of a data centre, where all
   targets lose attempts.  */
START_TEST (at_most_a_fifth_is_damped)
{
  size_t count = limits[_i].targets;
  size_t i;

  for (i = 0; i < count; i++)
    {
      char id[2] = { (char)('a' + i), 0 };
      char data_centre[2] = { (char)('a' + i % limits[_i].data_centres), 0 };

      list_target (id, data_centre, 0);
    }
  for (i = 0; i < count; i += limits[_i].failing)
    {
      csp_fleet_target_t *target = csp_fleet_at (fleet, i);

      damp (target, BEGIN_MS + (int64_t)i);
      ck_assert_int_eq (target->damping.state, CSP_TARGET_DAMPED);
    }
  ck_assert_uint_eq (csp_count_dampings (fleet, CSP_TARGET_DAMPED),
                     limits[_i].max_damped);
  ck_assert_uint_eq (released,
                     count / limits[_i].failing - limits[_i].max_damped);
}
END_TEST

/* Guards against a service whose long requests are refused after a failure of
   one moment at most of its targets, as each of them is on probation.  */
START_TEST (most_targets_take_long_requests_after_a_common_failure)
{
  csp_fleet_target_t *targets[5];
  size_t i;

  for (i = 0; i < 5; i++)
    targets[i] = list_target ((char[2]){ (char)('a' + i), 0 }, "", 0);
  for (i = 0; i < 5; i++)
    damp (targets[i], BEGIN_MS + (int64_t)i);
  for (i = 0; i < 4; i++)
    {
      ck_assert_int_eq (targets[i]->damping.state, CSP_TARGET_TRUSTED);
      ck_assert_uint_eq (targets[i]->damping.times, 0);
    }
  csp_update_dampings (fleet, &watch, BEGIN_MS + UP_MS + 5);
  ck_assert_int_eq (targets[4]->damping.state, CSP_TARGET_ON_PROBATION);
  /* A target on probation takes a place of the limit.  */
  report_load (targets[0], 3, 1, BEGIN_MS + UP_MS + 6);
  report_load (targets[0], 4, 1, BEGIN_MS + UP_MS + 6);
  ck_assert_int_eq (targets[0]->damping.state, CSP_TARGET_DAMPED);
  ck_assert_int_eq (targets[4]->damping.state, CSP_TARGET_TRUSTED);
}
END_TEST

/* Guards against a damped target that takes the only place of the limit
   although it has begun to leave.  */
START_TEST (leaving_target_is_not_counted)
{
  csp_fleet_target_t *first = list_target ("t", "", 0);
  csp_fleet_target_t *second = list_target ("u", "", 0);

  damp (first, BEGIN_MS);
  csp_note_target_leaves (fleet, first);
  damp (second, BEGIN_MS + 1);
  ck_assert_int_eq (second->damping.state, CSP_TARGET_DAMPED);
  ck_assert_uint_eq (csp_count_dampings (fleet, CSP_TARGET_DAMPED), 1);
  ck_assert_uint_eq (released, 0);
  csp_update_dampings (fleet, &watch, BEGIN_MS + 4 * UP_MS);
  ck_assert_uint_eq (second->group->damped_count, 0);
}
END_TEST

/* Guards against a target released in place of one that was damped earlier and
   has had further losses since.  */
START_TEST (first_damped_target_is_released_first)
{
  csp_fleet_target_t *targets[11];
  size_t i;

  for (i = 0; i < 11; i++)
    targets[i] = list_target ((char[2]){ (char)('a' + i), 0 }, "", 0);
  damp (targets[0], BEGIN_MS);
  damp (targets[1], BEGIN_MS + 1);
  report_load (targets[0], 3, 1, BEGIN_MS + 2);
  damp (targets[2], BEGIN_MS + 3);
  ck_assert_int_eq (targets[0]->damping.state, CSP_TARGET_TRUSTED);
  ck_assert_int_eq (targets[1]->damping.state, CSP_TARGET_DAMPED);
}
END_TEST

/* Guards against a target that fails again and again and is released for one
   that has failed once.  */
START_TEST (target_damped_most_often_is_kept)
{
  csp_fleet_target_t *flapping = list_target ("a", "", 0);
  csp_fleet_target_t *other = list_target ("b", "", 0);

  damp (flapping, BEGIN_MS);
  csp_update_dampings (fleet, &watch, BEGIN_MS + 1000);
  report_load (flapping, 3, 2, BEGIN_MS + 1100);
  ck_assert_uint_eq (flapping->damping.times, 2);
  damp (other, BEGIN_MS + 1200);
  ck_assert_int_eq (flapping->damping.state, CSP_TARGET_DAMPED);
  ck_assert_int_eq (other->damping.state, CSP_TARGET_TRUSTED);
}
END_TEST

/* Guards against a target that leaves and is damped for it, and against its
   losses counting later, when it takes requests again.  */
START_TEST (losses_of_a_leaving_target_are_settled)
{
  csp_fleet_target_t *target = list_target ("t", "", 0);
  csp_damping_report_t late = { .host = 2, .failures = 2, .age_ms = 1 };

  csp_note_target_leaves (fleet, target);
  damp (target, BEGIN_MS);
  ck_assert_int_eq (target->damping.state, CSP_TARGET_TRUSTED);
  ck_assert_uint_eq (target->damping.known_failures, 2);
  target->state = CSP_FLEET_READY;
  ck_assert (!csp_note_target_loss (fleet, target, &late, BEGIN_MS + 1));
}
END_TEST

/* Guards against targets with an old loss that are looked at for ever, and
   against a new loss there that is taken for the old one.  */
START_TEST (target_is_forgotten_after_its_last_loss)
{
  csp_fleet_target_t *target = list_target ("t", "", 0);
  csp_peer_load_t dropped = { .target = target->hash, .failures = 1 };
  csp_damping_report_t old = { .host = 1, .failures = 1, .age_ms = 10001 };
  int64_t now_ms = BEGIN_MS + 10001;

  report_load (target, 1, 1, BEGIN_MS);
  csp_update_dampings (fleet, &watch, now_ms - 1);
  ck_assert (csp_has_lossy_targets (fleet));
  csp_update_dampings (fleet, &watch, now_ms);
  ck_assert (!csp_has_lossy_targets (fleet));
  ck_assert (!csp_note_target_loss (fleet, target, &old, now_ms));
  ck_assert (!csp_has_lossy_targets (fleet));
  csp_subtract_peer_load (fleet, &dropped);
  damp (target, now_ms);
  ck_assert_int_eq (target->damping.state, CSP_TARGET_DAMPED);
}
END_TEST

/* Guards against a service that refuses everything while its only target, or
   the only one that isn't cordoned or gone, is damped; and against a damped
   target that gets what a busy service has no capacity for.  */
START_TEST (last_target_of_a_service_is_used_though_damped)
{
  csp_fleet_target_t *target = list_target ("t", "", 0);
  csp_fleet_target_t *other;

  damp (target, BEGIN_MS);
  ck_assert_ptr_eq (ask (1, RUN_TOKENS, BEGIN_MS), target);
  list_full_target ("full");
  other = csp_find_fleet_target (fleet, "full");
  ck_assert_ptr_null (ask (1, RUN_TOKENS, BEGIN_MS));
  other->cordoned = true;
  ck_assert_ptr_eq (ask (1, RUN_TOKENS, BEGIN_MS), target);
  other->cordoned = false;
  ck_assert_ptr_null (ask (1, RUN_TOKENS, BEGIN_MS));
  csp_note_target_leaves (fleet, other);
  ck_assert_ptr_eq (ask (1, RUN_TOKENS, BEGIN_MS), target);
}
END_TEST

/* Guards against a copy of a long run that nearly ends and is refused on
   probation, and against one of a run that goes on for long.  */
START_TEST (copy_on_probation_is_judged_by_the_time_left)
{
  csp_decider_role_t role = { 0 };
  csp_fleet_need_t need
      = { .service = "s", .role = &role, .tokens = RUN_TOKENS };
  csp_random_t random;
  csp_fleet_target_t *target = list_target ("t", "", 0);

  csp_seed_random (&random, 1);
  list_target ("from", "", 0);
  need.excluded = csp_find_fleet_target (fleet, "from");
  need.is_copy = true;
  damp (target, BEGIN_MS);
  csp_update_dampings (fleet, &watch, BEGIN_MS + UP_MS);
  need.left_ms = 900;
  ck_assert_ptr_eq (
      csp_choose_fleet_target (fleet, &need, &random, BEGIN_MS + UP_MS),
      target);
  need.left_ms = 1100;
  need.tokens = SHORT_TOKENS;
  ck_assert_ptr_null (
      csp_choose_fleet_target (fleet, &need, &random, BEGIN_MS + UP_MS));
}
END_TEST

/* Guards against a restarted target that is held back for what its earlier
   start lost.  */
START_TEST (new_start_is_trusted)
{
  csp_fleet_target_t *restarted;

  list_full_target ("full");
  damp (list_target ("t", "", 1000), BEGIN_MS);
  ck_assert_ptr_null (ask (1, RUN_TOKENS, BEGIN_MS));
  restarted = list_target ("t", "", 2000);
  ck_assert_int_eq (restarted->damping.state, CSP_TARGET_TRUSTED);
  ck_assert_ptr_eq (ask (1, RUN_TOKENS, BEGIN_MS), restarted);
  ck_assert_uint_eq (csp_count_dampings (fleet, CSP_TARGET_DAMPED), 0);
}
END_TEST

/* Guards against a stream that is moved to a target damped while the move
   waited for its turn.  */
START_TEST (waiting_move_leaves_damped_destination)
{
  const csp_dispatch_service_t service
      = { .name = "s", .memory_tokens = MEMORY_TOKENS };
  csp_fleet_target_t *to = list_target ("to", "", 0);
  csp_ask_t row = { .host = { 1, 1 }, .tokens = RUN_TOKENS };

  row.moves_from = list_target ("from", "", 0)->hash;
  for (row.id = 1; row.id <= 2; row.id++)
    csp_push_ask (dispatch, &row, &service, BEGIN_MS);
  ck_assert_int_eq (answer.outcome, CSP_ASK_WAITS);
  damp (to, BEGIN_MS);
  csp_cancel_ask (dispatch, row.host, 1);
  csp_pump_dispatch (dispatch, BEGIN_MS + 1);
  ck_assert_int_eq (answer.outcome, CSP_ASK_WAITS);
  csp_update_dampings (fleet, &watch, BEGIN_MS + 2 * UP_MS);
  row.id = 2;
  csp_push_ask (dispatch, &row, &service, BEGIN_MS + 2 * UP_MS);
  ck_assert_int_eq (answer.outcome, CSP_ASK_PLACED);
  ck_assert_uint_eq (answer.target, to->hash);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("damping-fleet");
  TCase *tests = tcase_create ("decider");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, flapping_target_loses_few_requests);
  tcase_add_test (tests, target_on_probation_gets_one_short_request);
  tcase_add_loop_test (tests, at_most_a_fifth_is_damped, 0,
                       sizeof limits / sizeof limits[0]);
  tcase_add_test (tests,
                  most_targets_take_long_requests_after_a_common_failure);
  tcase_add_test (tests, leaving_target_is_not_counted);
  tcase_add_test (tests, first_damped_target_is_released_first);
  tcase_add_test (tests, target_damped_most_often_is_kept);
  tcase_add_test (tests, losses_of_a_leaving_target_are_settled);
  tcase_add_test (tests, target_is_forgotten_after_its_last_loss);
  tcase_add_test (tests, last_target_of_a_service_is_used_though_damped);
  tcase_add_test (tests, copy_on_probation_is_judged_by_the_time_left);
  tcase_add_test (tests, new_start_is_trusted);
  tcase_add_test (tests, waiting_move_leaves_damped_destination);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
