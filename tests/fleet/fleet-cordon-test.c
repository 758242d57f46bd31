#include "cowslipspoke/fleet.h"

#include "cowslipspoke/hash.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

/* Cordoned data centres.  Operators cut the power some seconds after they
   cordon; a host that still chooses targets there loses those requests, and
   its callers get truncated answers.  */

static csp_fleet_t *fleet;
static csp_random_t prng;

static void
set_up (void)
{
  csp_seed_random (&prng, 11);
  fleet = csp_create_fleet (NULL, NULL, NULL);
  ck_assert_ptr_nonnull (fleet);
}

static void
tear_down (void)
{
  csp_destroy_fleet (fleet);
}

static void
list (const char *id, const char *data_centre)
{
  csp_fleet_row_t row = { .slots = 8 };

  snprintf (row.id, sizeof row.id, "%s", id);
  snprintf (row.service, sizeof row.service, "s");
  snprintf (row.data_centre, sizeof row.data_centre, "%s", data_centre);
  ck_assert (csp_update_target (fleet, &row, 0));
}

/* Steps: '+x' cordons data centre x, '-x' lifts its cordon, 'x' alone lists a
   target t-x there.  Then the target chosen for a request from data centre a,
   and for a copy.  */
static const struct
{
  const char *what;
  const char *steps[6];
  const char *chosen;
  bool service_cordoned;
} cases[] = {
  { "both serve", { "a", "b" }, "t-a", false },
  { "the local one is cordoned", { "a", "b", "+a" }, "t-b", false },
  { "before a target there is listed", { "+a", "a", "b" }, "t-b", false },
  { "a row listed again changes nothing",
    { "a", "b", "+a", "a" },
    "t-b",
    false },
  { "all are cordoned", { "a", "b", "+a", "+b" }, "none", true },
  { "one cordon is lifted", { "a", "b", "+a", "+b", "-a" }, "t-a", false },
  { "cordoned twice, lifted once", { "a", "+a", "+a", "-a" }, "t-a", false },
  { "an unknown data centre", { "a", "+c" }, "t-a", false },
  { "no targets at all", { "+a" }, "none", false },
};

START_TEST (a_cordoned_data_centre_gets_nothing_new)
{
  csp_fleet_need_t need
      = { .service = "s",
          .data_centre = (uint32_t)csp_hash_pair ("data_centre", "a") };
  const char *const *step = cases[_i].steps;
  const csp_fleet_target_t *chosen;
  char id[16];
  int copies;

  for (; *step != NULL; step++)
    if (**step == '+' || **step == '-')
      csp_cordon_targets (fleet, *step + 1, **step == '+', 0);
    else
      {
        snprintf (id, sizeof id, "t-%s", *step);
        list (id, *step);
      }
  for (copies = 0; copies < 2; copies++)
    {
      need.is_copy = copies;
      need.by_memory = copies;
      chosen = csp_choose_fleet_target (fleet, &need, &prng, 1);
      ck_assert_msg (
          strcmp (chosen == NULL ? "none" : chosen->row.id, cases[_i].chosen)
              == 0,
          "%s", cases[_i].what);
    }
  ck_assert_msg (csp_is_service_cordoned (fleet, "s")
                     == cases[_i].service_cordoned,
                 "%s", cases[_i].what);
}
END_TEST

/* The memory of cordoned engines is no capacity: if half of a pool is
   cordoned, the pool is full when the other half is.  */
START_TEST (a_cordoned_engine_adds_no_capacity)
{
  list ("t-a", "a");
  list ("t-b", "b");
  csp_find_fleet_target (fleet, "t-a")->own.tokens = 1000;
  ck_assert_double_eq (csp_find_pool_memory_share (fleet, "s", 1000, 0), 0.5);
  csp_cordon_targets (fleet, "b", true, 0);
  ck_assert_double_eq (csp_find_pool_memory_share (fleet, "s", 1000, 0), 1.0);
}
END_TEST

/* A host that assigns requests without a decider doesn't know what sixty
   others send at the same moment, so it excludes cold targets.  A data centre
   whose cordon is lifted may be cold without having reported it.  */
static const struct
{
  const char *what;
  uint32_t bound_per_s;
  uint32_t warming_up_ms;
  bool cordoned_before;
  const char *chosen;
} cold_cases[] = {
  { "a warm one", 10, 0, false, "t-a" },
  { "a cold one", 10, 1000, false, "t-b" },
  { "a cold one without a limit", 0, 1000, false, "t-a" },
  { "after a cordon", 10, 0, true, "t-b" },
  { "after a cordon, without a limit", 0, 0, true, "t-a" },
};

START_TEST (a_host_without_a_decider_excludes_cold_targets)
{
  csp_fleet_need_t need
      = { .service = "s",
          .data_centre = (uint32_t)csp_hash_pair ("data_centre", "a") };
  csp_fleet_row_t row = { .id = "t-a",
                          .service = "s",
                          .data_centre = "a",
                          .warming_up_ms = cold_cases[_i].warming_up_ms };
  const csp_fleet_target_t *chosen;

  ck_assert (
      csp_set_cold_limit (fleet, "s", 1000, cold_cases[_i].bound_per_s));
  list ("t-b", "b");
  csp_find_fleet_target (fleet, "t-b")->own.requests = 20;
  if (cold_cases[_i].cordoned_before)
    csp_cordon_targets (fleet, "a", true, 0);
  ck_assert (csp_update_target (fleet, &row, 0));
  if (cold_cases[_i].cordoned_before)
    csp_cordon_targets (fleet, "a", false, 0);
  chosen = csp_choose_fleet_target (fleet, &need, &prng, 999);
  ck_assert_msg (chosen != NULL
                     && strcmp (chosen->row.id, cold_cases[_i].chosen) == 0,
                 "%s", cold_cases[_i].what);
  chosen = csp_choose_fleet_target (fleet, &need, &prng, 1001);
  ck_assert_ptr_nonnull (chosen);
  ck_assert_str_eq (chosen->row.id, "t-a");
}
END_TEST

/* An engine reports its restart itself, before the list does.  It is cold by
   then, and its new row will say so.  */
START_TEST (a_restarted_target_is_cold)
{
  csp_fleet_row_t row
      = { .id = "t", .service = "s", .data_centre = "a", .start_unix_ms = 5 };
  const csp_fleet_target_t *target;

  ck_assert (csp_set_cold_limit (fleet, "s", 1000, 10));
  ck_assert (csp_update_target (fleet, &row, 0));
  target = csp_find_fleet_target (fleet, "t");
  ck_assert (!csp_is_cold_limited (target, 1));
  csp_note_target_start (fleet, target, 6, 100);
  target = csp_find_fleet_target (fleet, "t");
  ck_assert (csp_is_cold_limited (target, 1099));
  ck_assert (!csp_is_cold_limited (target, 1100));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet-cordon");
  TCase *tcase = tcase_create ("fleet-cordon");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, a_cordoned_data_centre_gets_nothing_new, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, a_cordoned_engine_adds_no_capacity);
  tcase_add_loop_test (tcase, a_host_without_a_decider_excludes_cold_targets,
                       0, sizeof cold_cases / sizeof cold_cases[0]);
  tcase_add_test (tcase, a_restarted_target_is_cold);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
