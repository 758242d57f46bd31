#include "cowslipspoke/fleet.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

/* Targets that have asked for a backoff or announced that they leave, and how
   these states combine with others that keep requests from a target.  */

enum
{
  HOUR_MS = 3600000,
  BACKOFF_MS = 2000
};

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
list_start (const char *id, int64_t born_ms, int64_t now_ms)
{
  csp_fleet_row_t row = { .slots = 8, .start_unix_ms = born_ms };

  snprintf (row.id, sizeof row.id, "%s", id);
  snprintf (row.service, sizeof row.service, "s");
  snprintf (row.data_centre, sizeof row.data_centre, "dc-%s", id);
  ck_assert (csp_update_target (fleet, &row, now_ms));
}

static csp_fleet_target_t *
target_of (const char *id)
{
  return csp_find_fleet_target (fleet, id);
}

/* Whether this host may send a non-repeatable request to this target.  */
static bool
may_send (const char *id, int64_t now_ms)
{
  csp_fleet_need_t need = { .service = "s", .sent_by_this_host = true };
  const csp_fleet_target_t *chosen
      = csp_choose_fleet_target (fleet, &need, &prng, now_ms);

  return chosen != NULL && strcmp (chosen->row.id, id) == 0;
}

/* Backoffs requested one after another, and when the last one ends.  */
static const struct
{
  const char *name;
  uint32_t backoffs_ms[3];
  int64_t at_ms[3];
  int64_t ends_ms;
} backoff_cases[] = {
  { "one", { 2000 }, { 100 }, 2100 },
  { "none", { 0 }, { 100 }, 100 },
  { "then a longer one", { 2000, 3000 }, { 100, 200 }, 3200 },
  { "then a shorter one", { 2000, 10 }, { 100, 200 }, 2100 },
  { "a zero backoff clears nothing", { 2000, 0 }, { 100, 200 }, 2100 },
  { "one after the end", { 100, 100 }, { 100, 1000 }, 1100 },
  { "the longest value", { UINT32_MAX }, { 100 }, HOUR_MS + 100 },
};

START_TEST (a_backed_off_target_gets_no_requests_until_the_end)
{
  size_t i;

  list_start ("t", 0, 0);
  for (i = 0; i < 3 && backoff_cases[_i].at_ms[i] > 0; i++)
    csp_back_off_target (fleet, target_of ("t"),
                         backoff_cases[_i].backoffs_ms[i],
                         backoff_cases[_i].at_ms[i]);
  if (backoff_cases[_i].ends_ms > 0)
    ck_assert_msg (!may_send ("t", backoff_cases[_i].ends_ms - 1), "%s",
                   backoff_cases[_i].name);
  ck_assert_msg (may_send ("t", backoff_cases[_i].ends_ms + 1), "%s",
                 backoff_cases[_i].name);
}
END_TEST

/* Guards against one host's backoff that keeps a target from all hosts: a
   backoff applies to the host that it was sent to.  */
START_TEST (a_backoff_applies_only_to_hosts_that_list_it)
{
  uint64_t backed_off;
  csp_fleet_need_t need = { .service = "s" };

  list_start ("t", 0, 0);
  csp_back_off_target (fleet, target_of ("t"), BACKOFF_MS, 0);
  ck_assert_ptr_eq (csp_choose_fleet_target (fleet, &need, &prng, 10),
                    target_of ("t"));
  ck_assert_uint_eq (csp_list_backed_off (fleet, "s", 10, &backed_off, 1), 1);
  need.backoffs = &backed_off;
  need.backoff_count = 1;
  ck_assert_ptr_null (csp_choose_fleet_target (fleet, &need, &prng, 10));
  ck_assert_uint_eq (
      csp_list_backed_off (fleet, "s", BACKOFF_MS, &backed_off, 1), 0);
}
END_TEST

START_TEST (a_service_backoff_is_the_shortest_of_its_targets)
{
  list_start ("t", 0, 0);
  list_start ("u", 0, 0);
  csp_back_off_target (fleet, target_of ("t"), BACKOFF_MS, 0);
  ck_assert_uint_eq (csp_service_backoff_ms (fleet, "s", 0), 0);
  csp_back_off_target (fleet, target_of ("u"), BACKOFF_MS * 2, 0);
  ck_assert_uint_eq (csp_service_backoff_ms (fleet, "s", 500),
                     BACKOFF_MS - 500);
  csp_note_target_leaves (fleet, target_of ("t"));
  ck_assert_uint_eq (csp_service_backoff_ms (fleet, "s", 500),
                     BACKOFF_MS * 2 - 500);
  ck_assert_uint_eq (csp_service_backoff_ms (fleet, "s", BACKOFF_MS * 2), 0);
}
END_TEST

/* States that keep requests from a target.  */
typedef enum
{
  CONDITION_LEAVING,
  CONDITION_BACKED_OFF,
  CONDITION_CORDONED,
  CONDITION_COLD,
  CONDITION_CUT_OFF,
  CONDITION_RATE_LIMITED,
  CONDITION_COUNT
} condition_t;

static void
set_condition (condition_t condition)
{
  csp_fleet_target_t *target = target_of ("t");
  const csp_rate_report_t stated = { .max_per_s = 1 };

  switch (condition)
    {
    case CONDITION_LEAVING:
      csp_note_target_leaves (fleet, target);
      break;
    case CONDITION_BACKED_OFF:
      csp_back_off_target (fleet, target, BACKOFF_MS, 0);
      break;
    case CONDITION_CORDONED:
      csp_cordon_targets (fleet, "dc-t", true, 0);
      break;
    case CONDITION_COLD:
      csp_set_cold_limit (fleet, "s", BACKOFF_MS, 10);
      target->warm_at_ms = BACKOFF_MS;
      break;
    case CONDITION_CUT_OFF:
      target->group->cut_off = true;
      break;
    case CONDITION_RATE_LIMITED:
      csp_note_target_rate (fleet, target, &stated, 1);
      break;
    case CONDITION_COUNT:
      break;
    }
}

/* Ends the state if it can end.  */
static void
clear_condition (condition_t condition)
{
  csp_fleet_target_t *target = target_of ("t");
  const csp_rate_report_t ended = { .ended = true };

  switch (condition)
    {
    case CONDITION_BACKED_OFF:
      target->backoff_until_ms = 0;
      break;
    case CONDITION_CORDONED:
      csp_cordon_targets (fleet, "dc-t", false, 0);
      target->warm_at_ms = 0;
      break;
    case CONDITION_COLD:
      target->warm_at_ms = 0;
      break;
    case CONDITION_CUT_OFF:
      target->group->cut_off = false;
      break;
    case CONDITION_RATE_LIMITED:
      csp_note_target_rate (fleet, target, &ended, 2);
      break;
    case CONDITION_LEAVING:
    case CONDITION_COUNT:
      break;
    }
}

/* Guards against the end of one state that ends another: tests all pairs, in
   both orders, with the row listed again in between.  */
START_TEST (no_condition_clears_another)
{
  condition_t one = (condition_t)(_i / CONDITION_COUNT);
  condition_t other = (condition_t)(_i % CONDITION_COUNT);

  list_start ("t", 0, 0);
  ck_assert (may_send ("t", 1));
  set_condition (one);
  set_condition (other);
  list_start ("t", 0, 0);
  if (other == CONDITION_COLD || one == CONDITION_COLD)
    target_of ("t")->warm_at_ms = BACKOFF_MS;
  ck_assert (!may_send ("t", 1));
  if (one == other)
    return;
  clear_condition (one);
  if (other == CONDITION_COLD)
    target_of ("t")->warm_at_ms = BACKOFF_MS;
  ck_assert (!may_send ("t", 1));
  clear_condition (other);
  ck_assert (may_send ("t", 1)
             == (one != CONDITION_LEAVING && other != CONDITION_LEAVING));
}
END_TEST

/* Guards against a state that carries over to the next start of a target.  */
START_TEST (a_restart_clears_all_conditions)
{
  list_start ("t", 100, 0);
  set_condition (CONDITION_LEAVING);
  set_condition (CONDITION_BACKED_OFF);
  list_start ("t", 100, 0);
  ck_assert (!may_send ("t", 1));
  list_start ("t", 200, 1);
  ck_assert (may_send ("t", 1));
}
END_TEST

/* Guards against leaving that is forgotten when a row is removed and written
   again during an outage of the store.  */
START_TEST (leaving_persists_when_a_row_is_listed_again)
{
  list_start ("t", 0, 0);
  set_condition (CONDITION_LEAVING);
  csp_remove_target (fleet, "t", 10);
  list_start ("t", 0, 20);
  ck_assert (!may_send ("t", 20));
}
END_TEST

/* Guards against an announcement that is lost because it arrives while the row
   is removed.  */
START_TEST (leaving_announced_without_a_row_persists)
{
  list_start ("t", 0, 0);
  csp_remove_target (fleet, "t", 10);
  set_condition (CONDITION_LEAVING);
  list_start ("t", 0, 20);
  ck_assert (!may_send ("t", 20));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet-backoff");
  TCase *tests = tcase_create ("fleet-backoff");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_loop_test (tests,
                       a_backed_off_target_gets_no_requests_until_the_end, 0,
                       sizeof backoff_cases / sizeof backoff_cases[0]);
  tcase_add_test (tests, a_backoff_applies_only_to_hosts_that_list_it);
  tcase_add_test (tests, a_service_backoff_is_the_shortest_of_its_targets);
  tcase_add_loop_test (tests, no_condition_clears_another, 0,
                       CONDITION_COUNT * CONDITION_COUNT);
  tcase_add_test (tests, a_restart_clears_all_conditions);
  tcase_add_test (tests, leaving_persists_when_a_row_is_listed_again);
  tcase_add_test (tests, leaving_announced_without_a_row_persists);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
