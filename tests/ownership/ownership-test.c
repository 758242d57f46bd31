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
get_status (const fleet_t *fleet, size_t node)
{
  csp_ownership_status_t status;

  csp_get_ownership_status (fleet->nodes[node].ownership, &status);
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

  ck_assert_int_ge (fleet_run_until_one_owner (fleet, 1000), 0);
  for (i = 0; i < size_cases[_i].nodes; i++)
    {
      sum += get_status (fleet, i).owned;
      idle += get_status (fleet, i).owned == 0;
    }
  ck_assert_uint_eq (sum, size_cases[_i].targets);
  /* With more hosts than targets, some hosts own nothing and always spill.  */
  ck_assert (idle >= 3 || size_cases[_i].nodes <= size_cases[_i].targets);
  ck_assert_uint_eq (fleet->double_grants, 0);
  fleet_destroy (fleet);
}
END_TEST

/* An owner dies.  If the other hosts didn't agree on its successor, its
   targets would stay unused or get several owners.  */
START_TEST (a_dead_owners_targets_get_one_new_owner)
{
  fleet_t *fleet = start_fleet (6, 1, 24, (uint64_t)_i);

  fleet->saturate_targets = true;
  fleet_run (fleet, 10000);
  fleet_kill (fleet, (size_t)_i % 6);
  ck_assert_int_ge (fleet_run_until_one_owner (fleet, 12000), 0);
  fleet_run (fleet, 30000);
  ck_assert_uint_eq (fleet->double_grants, 0);
  ck_assert_int_le (fleet->max_used_tokens, FLEET_CAPACITY * 5 / 4);
  fleet_destroy (fleet);
}
END_TEST

/* An owner is paused until the others have replaced it, and resumes in the
   middle of a grant, before it reads any clock or message.  Without a check of
   its lease it would send to targets that have another owner by now.  */
START_TEST (an_owner_resumed_late_grants_nothing)
{
  fleet_t *fleet = start_fleet (6, 1, 24, (uint64_t)_i);

  fleet->saturate_targets = true;
  fleet_pause (fleet, 1, 3000 + 1500 * _i);
  fleet_pause (fleet, 4, 9000 + 500 * _i);
  fleet_run (fleet, 30000);
  ck_assert_uint_eq (fleet->double_grants, 0);
  ck_assert_int_ge (fleet_run_until_one_owner (fleet, 1000), 0);
  fleet_destroy (fleet);
}
END_TEST

/* The only host of a data centre is paused; a second one starts, finds no peer
   and takes over; then the first one resumes.  A lone host needs no lease from
   peers, so no lapse of a lease makes it stop.  */
START_TEST (a_lone_owner_resumed_late_yields)
{
  fleet_t *fleet = start_fleet (2, 1, 8, (uint64_t)_i);

  fleet_kill (fleet, 0);
  fleet_run (fleet, 30000);
  ck_assert_int_ge (fleet_run_until_one_owner (fleet, 1000), 0);
  fleet_pause (fleet, 1, 25000 + 700 * _i);
  fleet_start (fleet, 0);
  fleet_run (fleet, 60000);
  ck_assert_uint_eq (fleet->double_grants, 0);
  ck_assert_int_ge (fleet_run_until_one_owner (fleet, 1000), 0);
  fleet_destroy (fleet);
}
END_TEST

/* A host leaves while its streams still run.  The next owner must not fill the
   targets as if they were empty.  */
START_TEST (a_leaving_owner_hands_over)
{
  fleet_t *fleet = start_fleet (4, 1, 16, (uint64_t)_i);
  int64_t ms;

  fleet->saturate_targets = true;
  fleet_run (fleet, 20000);
  fleet->max_used_tokens = 0;
  fleet_set_leaving (fleet, 2);
  fleet_run (fleet, 300);
  ck_assert_uint_eq (get_status (fleet, 2).owned, 0);
  ms = fleet_run_until_one_owner (fleet, 6000);
  ck_assert_int_ge (ms, 0);
  fleet_run (fleet, 20000);
  ck_assert_uint_eq (fleet->double_grants, 0);
  ck_assert_int_le (fleet->max_used_tokens, FLEET_CAPACITY * 11 / 10);
  fleet_destroy (fleet);
}
END_TEST

/* One target is listed as leaving, another says so in its own report.  New
   work sent to them would be lost when they exit, so grants must stop within
   one poll of the list.  */
START_TEST (a_leaving_target_gets_no_new_work)
{
  fleet_t *fleet = start_fleet (4, 1, 16, (uint64_t)_i);
  int64_t since_ms;

  fleet->saturate_targets = true;
  fleet_run (fleet, 5000);
  fleet->targets[3].leaving = true;
  fleet_set_target_leaving (fleet, 7);
  since_ms = fleet->now_ms;
  while (fleet_count_granting (fleet, 3) + fleet_count_granting (fleet, 7) > 0)
    {
      fleet_run (fleet, FLEET_STEP_MS);
      ck_assert_int_le (fleet->now_ms - since_ms,
                        FLEET_LIST_POLL_MS + 2 * FLEET_STEP_MS);
    }
  /* The target gets no work later either, whichever hosts join or leave.  */
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
  /* Bounds of the load, in hundredths of the capacity, at once and after
     20 s.  */
  int64_t worst_at_once;
  int64_t worst_after;
} split_case_t;

static const split_case_t split_cases[] = {
  { 6, false, 115, 115 },
  { 1, false, 115, 115 },
  { 6, true, 200, 105 },
  { 1, true, 200, 105 },
};

/* A network partition splits a data centre in two, and each side believes that
   it owns every target.  A target that had load before stays near its
   capacity, since the new owner sees that load in the report.  An idle target
   may get its full capacity from each side until the reports show foreign
   load; then each side keeps to half.  */
START_TEST (overload_in_a_split_is_bounded)
{
  const split_case_t *row = &split_cases[_i];
  fleet_t *fleet = start_fleet (12, 1, 40, 9);

  fleet->saturate_targets = !row->idle_before;
  fleet_run (fleet, 20000);
  fleet->max_used_tokens = 0;
  fleet_set_partition (fleet, row->split, true);
  fleet_run (fleet, 40000);
  fleet->saturate_targets = true;
  fleet_run (fleet, 20000);
  ck_assert_int_le (fleet->max_used_tokens,
                    FLEET_CAPACITY * row->worst_at_once / 100);
  fleet->max_used_tokens = 0;
  fleet_run (fleet, 30000);
  ck_assert_int_le (fleet->max_used_tokens,
                    FLEET_CAPACITY * row->worst_after / 100);
  ck_assert_uint_gt (fleet->double_grants, 0);
  fleet_set_partition (fleet, row->split, false);
  fleet_run (fleet, 15000);
  fleet->double_grants = 0;
  fleet_run (fleet, 15000);
  ck_assert_uint_eq (fleet->double_grants, 0);
  ck_assert_int_ge (fleet_run_until_one_owner (fleet, 1000), 0);
  fleet_destroy (fleet);
}
END_TEST

/* Two random faults at a time: hosts die, start and are paused.  With seeds
   18, 21, 27, 29 and 79 two hosts once granted on one target.  */
START_TEST (random_faults_give_no_target_two_owners)
{
  fleet_t *fleet = start_fleet (_i % 2 == 0 ? 9 : 6, _i % 3 == 0 ? 3 : 1, 8,
                                (uint64_t)_i);

  fleet->saturate_targets = true;
  fleet_inject_faults (fleet, 12, false);
  ck_assert_int_ge (fleet_run_until_one_owner (fleet, 30000), 0);
  ck_assert_uint_eq (fleet->double_grants, 0);
  fleet_destroy (fleet);
}
END_TEST

typedef struct
{
  uint64_t seed;
  double loss;
} seed_case_t;

static const seed_case_t seed_cases[] = {
  { 174, 0 },   { 699, 0 },    { 936, 0 },    { 64, 0.02 },
  { 95, 0.02 }, { 169, 0.02 }, { 258, 0.02 }, { 348, 0.02 },
};

/* Seeds with which two hosts granted on one target.  Causes: a returning host
   was queried too seldom, an outdated message marked a resumed host as dead, a
   host resumed while its successor was paused, and a host got a lease promise
   long after it had been replaced.  Some also lose 2 in 100 messages.  */
START_TEST (seeds_that_once_gave_two_owners)
{
  const seed_case_t *row = &seed_cases[_i];
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
  fleet->saturate_targets = true;
  fleet_inject_faults (fleet, 12, false);
  ck_assert_int_ge (fleet_run_until_one_owner (fleet, 30000), 0);
  ck_assert_uint_eq (fleet->double_grants, 0);
  fleet_destroy (fleet);
}
END_TEST

/* The same with links cut and the platform unreachable: a target may then have
   two owners, but not for long after all faults have ended.  */
START_TEST (random_cuts_end_with_one_owner)
{
  fleet_t *fleet = start_fleet (_i % 2 == 0 ? 9 : 6, _i % 3 == 0 ? 3 : 1, 8,
                                (uint64_t)_i);

  fleet->saturate_targets = true;
  fleet_inject_faults (fleet, 12, true);
  fleet_run (fleet, 20000);
  ck_assert_int_ge (fleet_run_until_one_owner (fleet, 10000), 0);
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
  tcase_add_loop_test (tcase, an_owner_resumed_late_grants_nothing, 0, 10);
  tcase_add_loop_test (tcase, a_lone_owner_resumed_late_yields, 0, 6);
  tcase_add_loop_test (tcase, a_leaving_owner_hands_over, 0, 5);
  tcase_add_loop_test (tcase, a_leaving_target_gets_no_new_work, 0, 5);
  tcase_add_loop_test (tcase, overload_in_a_split_is_bounded, 0,
                       sizeof split_cases / sizeof *split_cases);
  tcase_add_loop_test (tcase, random_faults_give_no_target_two_owners, 0, 80);
  tcase_add_loop_test (tcase, seeds_that_once_gave_two_owners, 0,
                       sizeof seed_cases / sizeof *seed_cases);
  tcase_add_loop_test (tcase, random_cuts_end_with_one_owner, 0, 40);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
