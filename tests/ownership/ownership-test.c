#include "support/fleet.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

static fleet_t *
start_fleet (size_t nodes, size_t data_centres, size_t targets, uint64_t seed)
{
  fleet_settings_t settings = { 0 };
  fleet_t *fleet;

  settings.nodes = nodes;
  settings.data_centres = data_centres;
  settings.targets = targets;
  settings.seed = seed;
  settings.delay_ms = 20;
  settings.list_lag_ms = 3000;
  settings.report_lag_ms = 2000;
  fleet = fleet_create (&settings);
  fleet_start_all (fleet);
  return fleet;
}

static csp_ownership_status_t
describe (const fleet_t *fleet, size_t node)
{
  csp_ownership_status_t status;

  csp_describe_ownership (fleet->nodes[node].ownership, &status);
  return status;
}

typedef struct
{
  size_t nodes;
  size_t targets;
} size_case_t;

static const size_case_t size_cases[]
    = { { 1, 3 }, { 2, 3 }, { 5, 2 }, { 12, 40 }, { 12, 430 } };

START_TEST (each_target_has_one_owner)
{
  fleet_t *fleet
      = start_fleet (size_cases[_i].nodes, 1, size_cases[_i].targets, 5);
  size_t idle = 0;
  size_t sum = 0;
  size_t i;

  ck_assert_int_ge (fleet_time_to_one_owner (fleet, 1000), 0);
  for (i = 0; i < size_cases[_i].nodes; i++)
    {
      sum += describe (fleet, i).owned;
      idle += describe (fleet, i).owned == 0;
    }
  ck_assert_uint_eq (sum, size_cases[_i].targets);
  /* More hosts than targets: some own nothing, and always spill.  */
  ck_assert (idle >= 3 || size_cases[_i].nodes <= size_cases[_i].targets);
  ck_assert_uint_eq (fleet->double_grants, 0);
  fleet_destroy (fleet);
}
END_TEST

/* An owner dies.  Its targets would stay unused, or be taken by several, if
   the others did not agree on who is next.  */
START_TEST (a_dead_owners_targets_get_one_new_owner)
{
  fleet_t *fleet = start_fleet (6, 1, 24, (uint64_t)_i);

  fleet->load = true;
  fleet_run (fleet, 10000);
  fleet_kill (fleet, (size_t)_i % 6);
  ck_assert_int_ge (fleet_time_to_one_owner (fleet, 12000), 0);
  fleet_run (fleet, 30000);
  ck_assert_uint_eq (fleet->double_grants, 0);
  ck_assert_int_le (fleet->worst_used, FLEET_CAPACITY * 5 / 4);
  fleet_destroy (fleet);
}
END_TEST

/* An owner is stopped until the others have replaced it, and continues in the
   middle of a grant, before it has looked at any clock or message.  Going on,
   it would send to targets that have another owner by now.  */
START_TEST (an_owner_that_wakes_up_late_grants_nothing)
{
  fleet_t *fleet = start_fleet (6, 1, 24, (uint64_t)_i);

  fleet->load = true;
  fleet_pause (fleet, 1, 3000 + 1500 * _i);
  fleet_pause (fleet, 4, 9000 + 500 * _i);
  fleet_run (fleet, 30000);
  ck_assert_uint_eq (fleet->double_grants, 0);
  ck_assert_int_ge (fleet_time_to_one_owner (fleet, 1000), 0);
  fleet_destroy (fleet);
}
END_TEST

/* The only host of a data centre is stopped, a second one starts, finds
   nobody, and takes over; then the first one continues.  Alone it needed no
   lease from anybody, so nothing told it to stop.  */
START_TEST (a_lone_owner_that_wakes_up_yields)
{
  fleet_t *fleet = start_fleet (2, 1, 8, (uint64_t)_i);

  fleet_kill (fleet, 0);
  fleet_run (fleet, 30000);
  ck_assert_int_ge (fleet_time_to_one_owner (fleet, 1000), 0);
  fleet_pause (fleet, 1, 25000 + 700 * _i);
  fleet_start (fleet, 0);
  fleet_run (fleet, 60000);
  ck_assert_uint_eq (fleet->double_grants, 0);
  ck_assert_int_ge (fleet_time_to_one_owner (fleet, 1000), 0);
  fleet_destroy (fleet);
}
END_TEST

/* A host is told to leave while its streams run on.  The next owner must not
   fill the targets as if they were empty.  */
START_TEST (a_leaving_owner_hands_over)
{
  fleet_t *fleet = start_fleet (4, 1, 16, (uint64_t)_i);
  int64_t ms;

  fleet->load = true;
  fleet_run (fleet, 20000);
  fleet->worst_used = 0;
  fleet_leave (fleet, 2);
  fleet_run (fleet, 300);
  ck_assert_uint_eq (describe (fleet, 2).owned, 0);
  ms = fleet_time_to_one_owner (fleet, 6000);
  ck_assert_int_ge (ms, 0);
  fleet_run (fleet, 20000);
  ck_assert_uint_eq (fleet->double_grants, 0);
  ck_assert_int_le (fleet->worst_used, FLEET_CAPACITY * 11 / 10);
  fleet_destroy (fleet);
}
END_TEST

/* A target is listed as leaving, and a moment before another one says so in
   its own report.  New work sent to it is lost when it goes.  From the list
   to the last send there is the poll of the list and no more.  */
START_TEST (a_leaving_target_gets_no_new_work)
{
  fleet_t *fleet = start_fleet (4, 1, 16, (uint64_t)_i);
  int64_t since_ms;

  fleet->load = true;
  fleet_run (fleet, 5000);
  fleet->targets[3].leaving = true;
  fleet_leave_target (fleet, 7);
  since_ms = fleet->now_ms;
  while (fleet_count_granting (fleet, 3) + fleet_count_granting (fleet, 7) > 0)
    {
      fleet_run (fleet, FLEET_STEP_MS);
      ck_assert_int_le (fleet->now_ms - since_ms,
                        FLEET_LIST_POLL_MS + 2 * FLEET_STEP_MS);
    }
  /* It does not come back, whoever joins or leaves.  */
  fleet_kill (fleet, 1);
  for (since_ms = 0; since_ms < 20000; since_ms += 100)
    {
      fleet_run (fleet, 100);
      ck_assert_uint_eq (fleet_count_granting (fleet, 7), 0);
    }
  fleet_destroy (fleet);
}
END_TEST

typedef struct
{
  size_t split;
  bool idle_before;
  /* In hundredths of the capacity, at once and after 20 s.  */
  int64_t at_worst;
  int64_t settled;
} split_case_t;

static const split_case_t split_cases[] = {
  { 6, false, 115, 115 },
  { 1, false, 115, 115 },
  { 6, true, 200, 105 },
  { 1, true, 200, 105 },
};

/* A data centre is split in two, and both sides serve all that callers send.
   Each side believes that it owns every target.  A target under load before
   stays near its capacity, since the new owner sees it in the report.  One
   that was idle may get its capacity from each side until the reports show
   it; then each keeps to half.  */
START_TEST (overload_in_a_split_is_bounded)
{
  const split_case_t *row = &split_cases[_i];
  fleet_t *fleet = start_fleet (12, 1, 40, 9);

  fleet->load = !row->idle_before;
  fleet_run (fleet, 20000);
  fleet->worst_used = 0;
  fleet_split (fleet, row->split, true);
  fleet_run (fleet, 40000);
  fleet->load = true;
  fleet_run (fleet, 20000);
  ck_assert_int_le (fleet->worst_used, FLEET_CAPACITY * row->at_worst / 100);
  fleet->worst_used = 0;
  fleet_run (fleet, 30000);
  ck_assert_int_le (fleet->worst_used, FLEET_CAPACITY * row->settled / 100);
  ck_assert_uint_gt (fleet->double_grants, 0);
  fleet_split (fleet, row->split, false);
  fleet_run (fleet, 15000);
  fleet->double_grants = 0;
  fleet_run (fleet, 15000);
  ck_assert_uint_eq (fleet->double_grants, 0);
  ck_assert_int_ge (fleet_time_to_one_owner (fleet, 1000), 0);
  fleet_destroy (fleet);
}
END_TEST

/* Two random faults at a time: hosts die, start and sleep.  18, 21, 27, 29
   and 79 once found two hosts that granted on one target.  */
START_TEST (random_faults_give_no_target_two_owners)
{
  fleet_t *fleet = start_fleet (_i % 2 == 0 ? 9 : 6, _i % 3 == 0 ? 3 : 1, 8,
                                (uint64_t)_i);

  fleet->load = true;
  fleet_break_things (fleet, 12, false);
  ck_assert_int_ge (fleet_time_to_one_owner (fleet, 30000), 0);
  ck_assert_uint_eq (fleet->double_grants, 0);
  fleet_destroy (fleet);
}
END_TEST

typedef struct
{
  uint64_t seed;
  double loss;
} found_case_t;

static const found_case_t found_cases[] = {
  { 174, 0 },   { 699, 0 },    { 936, 0 },    { 64, 0.02 },
  { 95, 0.02 }, { 169, 0.02 }, { 258, 0.02 }, { 348, 0.02 },
};

/* Seeds that found two hosts granting on one target: a returning host that was
   asked too seldom, an old word that buried a host which had woken up, a host
   that woke up while the one that had replaced it fell asleep, and a promise
   to a host that had been replaced long before.  Some lose 2 in 100 messages
   as well.  */
START_TEST (seeds_that_found_two_owners_stay)
{
  const found_case_t *row = &found_cases[_i];
  fleet_settings_t settings = { 0 };
  fleet_t *fleet;

  settings.nodes = row->seed % 2 == 0 ? 9 : 6;
  settings.data_centres = row->seed % 3 == 0 ? 3 : 1;
  settings.targets = 8;
  settings.seed = row->seed;
  settings.delay_ms = 20;
  settings.loss = row->loss;
  settings.list_lag_ms = 3000;
  settings.report_lag_ms = 2000;
  fleet = fleet_create (&settings);
  fleet_start_all (fleet);
  fleet->load = true;
  fleet_break_things (fleet, 12, false);
  ck_assert_int_ge (fleet_time_to_one_owner (fleet, 30000), 0);
  ck_assert_uint_eq (fleet->double_grants, 0);
  fleet_destroy (fleet);
}
END_TEST

/* The same with links cut and the platform away: then there may be two, but
   never for long after everything is mended.  */
START_TEST (random_cuts_end_with_one_owner)
{
  fleet_t *fleet = start_fleet (_i % 2 == 0 ? 9 : 6, _i % 3 == 0 ? 3 : 1, 8,
                                (uint64_t)_i);

  fleet->load = true;
  fleet_break_things (fleet, 12, true);
  fleet_run (fleet, 20000);
  ck_assert_int_ge (fleet_time_to_one_owner (fleet, 10000), 0);
  fleet->double_grants = 0;
  fleet_run (fleet, 10000);
  ck_assert_uint_eq (fleet->double_grants, 0);
  fleet_destroy (fleet);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("ownership");
  TCase *tcase = tcase_create ("ownership");

  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (tcase, each_target_has_one_owner, 0,
                       sizeof size_cases / sizeof *size_cases);
  tcase_add_loop_test (tcase, a_dead_owners_targets_get_one_new_owner, 0, 6);
  tcase_add_loop_test (tcase, an_owner_that_wakes_up_late_grants_nothing, 0,
                       10);
  tcase_add_loop_test (tcase, a_lone_owner_that_wakes_up_yields, 0, 6);
  tcase_add_loop_test (tcase, a_leaving_owner_hands_over, 0, 5);
  tcase_add_loop_test (tcase, a_leaving_target_gets_no_new_work, 0, 5);
  tcase_add_loop_test (tcase, overload_in_a_split_is_bounded, 0,
                       sizeof split_cases / sizeof *split_cases);
  tcase_add_loop_test (tcase, random_faults_give_no_target_two_owners, 0, 80);
  tcase_add_loop_test (tcase, seeds_that_found_two_owners_stay, 0,
                       sizeof found_cases / sizeof *found_cases);
  tcase_add_loop_test (tcase, random_cuts_end_with_one_owner, 0, 40);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
