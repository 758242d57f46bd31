#include "cowslipspoke/fleet.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

/* Targets that have asked for a wait or say that they leave, by themselves and
   beside whatever else keeps a target from getting requests.  */

enum
{
  HOUR_MS = 3600000,
  WAIT_MS = 2000
};

static csp_fleet_t *fleet;
static csp_random_t lots;

static void
set_up (void)
{
  csp_seed_random (&lots, 11);
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
  csp_fleet_row_t row = { .slots = 8, .born_ms = born_ms };

  snprintf (row.id, sizeof row.id, "%s", id);
  snprintf (row.service, sizeof row.service, "s");
  snprintf (row.data_centre, sizeof row.data_centre, "dc-%s", id);
  ck_assert (csp_list_target (fleet, &row, now_ms));
}

static csp_fleet_target_t *
target_of (const char *id)
{
  return csp_find_fleet_target (fleet, id);
}

/* Whether this host may send a request that can't run twice to one target.  */
static bool
may_send (const char *id, int64_t now_ms)
{
  csp_fleet_need_t need = { .service = "s", .own = true };
  const csp_fleet_target_t *chosen
      = csp_choose_fleet_target (fleet, &need, &lots, now_ms);

  return chosen != NULL && strcmp (chosen->row.id, id) == 0;
}

/* Waits that were asked for, one behind another, and how long all last.  */
static const struct
{
  const char *name;
  uint32_t waits_ms[3];
  int64_t at_ms[3];
  int64_t ends_ms;
} waits[] = {
  { "one", { 2000 }, { 100 }, 2100 },
  { "none", { 0 }, { 100 }, 100 },
  { "a longer one behind", { 2000, 3000 }, { 100, 200 }, 3200 },
  { "a shorter one behind", { 2000, 10 }, { 100, 200 }, 2100 },
  { "none takes none back", { 2000, 0 }, { 100, 200 }, 2100 },
  { "one behind the end", { 100, 100 }, { 100, 1000 }, 1100 },
  { "a thousand years", { UINT32_MAX }, { 100 }, HOUR_MS + 100 },
};

START_TEST (a_target_that_asked_for_a_wait_gets_nothing_until_its_end)
{
  size_t i;

  list_start ("t", 0, 0);
  for (i = 0; i < 3 && waits[_i].at_ms[i] > 0; i++)
    csp_back_off_target (fleet, target_of ("t"), waits[_i].waits_ms[i],
                         waits[_i].at_ms[i]);
  if (waits[_i].ends_ms > 0)
    ck_assert_msg (!may_send ("t", waits[_i].ends_ms - 1), "%s",
                   waits[_i].name);
  ck_assert_msg (may_send ("t", waits[_i].ends_ms + 1), "%s", waits[_i].name);
}
END_TEST

/* Guards against one host that keeps a target from all: the wait is its own.
 */
START_TEST (another_host_is_served_unless_it_has_asked_to_leave_it_out)
{
  uint64_t left_out;
  csp_fleet_need_t need = { .service = "s" };

  list_start ("t", 0, 0);
  csp_back_off_target (fleet, target_of ("t"), WAIT_MS, 0);
  ck_assert_ptr_eq (csp_choose_fleet_target (fleet, &need, &lots, 10),
                    target_of ("t"));
  ck_assert_uint_eq (csp_list_backed_off (fleet, "s", 10, &left_out, 1), 1);
  need.backoffs = &left_out;
  need.backoff_count = 1;
  ck_assert_ptr_null (csp_choose_fleet_target (fleet, &need, &lots, 10));
  ck_assert_uint_eq (csp_list_backed_off (fleet, "s", WAIT_MS, &left_out, 1),
                     0);
}
END_TEST

START_TEST (a_service_waits_for_the_first_of_its_targets)
{
  list_start ("t", 0, 0);
  list_start ("u", 0, 0);
  csp_back_off_target (fleet, target_of ("t"), WAIT_MS, 0);
  ck_assert_uint_eq (csp_service_backoff_ms (fleet, "s", 0), 0);
  csp_back_off_target (fleet, target_of ("u"), WAIT_MS * 2, 0);
  ck_assert_uint_eq (csp_service_backoff_ms (fleet, "s", 500), WAIT_MS - 500);
  csp_note_target_leaves (fleet, target_of ("t"));
  ck_assert_uint_eq (csp_service_backoff_ms (fleet, "s", 500),
                     WAIT_MS * 2 - 500);
  ck_assert_uint_eq (csp_service_backoff_ms (fleet, "s", WAIT_MS * 2), 0);
}
END_TEST

/* What may keep a target from getting requests.  */
typedef enum
{
  MARK_LEAVING,
  MARK_WAITING,
  MARK_CORDONED,
  MARK_COLD,
  MARK_CUT_OFF,
  MARK_COUNT
} mark_t;

static void
set_mark (mark_t mark)
{
  csp_fleet_target_t *target = target_of ("t");

  switch (mark)
    {
    case MARK_LEAVING:
      csp_note_target_leaves (fleet, target);
      break;
    case MARK_WAITING:
      csp_back_off_target (fleet, target, WAIT_MS, 0);
      break;
    case MARK_CORDONED:
      csp_cordon_targets (fleet, "dc-t", true, 0);
      break;
    case MARK_COLD:
      csp_set_cold_bound (fleet, "s", WAIT_MS, 10);
      target->warm_at_ms = WAIT_MS;
      break;
    case MARK_CUT_OFF:
      target->cut_off = true;
      break;
    case MARK_COUNT:
      break;
    }
}

/* End it, if it can end.  */
static void
end_mark (mark_t mark)
{
  csp_fleet_target_t *target = target_of ("t");

  switch (mark)
    {
    case MARK_WAITING:
      target->backoff_until_ms = 0;
      break;
    case MARK_CORDONED:
      csp_cordon_targets (fleet, "dc-t", false, 0);
      target->warm_at_ms = 0;
      break;
    case MARK_COLD:
      target->warm_at_ms = 0;
      break;
    case MARK_CUT_OFF:
      target->cut_off = false;
      break;
    case MARK_LEAVING:
    case MARK_COUNT:
      break;
    }
}

/* Guards against one mark that ends another: all pairs, in both orders, with
   the row read anew in between.  */
START_TEST (no_mark_takes_another_one_back)
{
  mark_t one = (mark_t)(_i / MARK_COUNT);
  mark_t other = (mark_t)(_i % MARK_COUNT);

  list_start ("t", 0, 0);
  ck_assert (may_send ("t", 1));
  set_mark (one);
  set_mark (other);
  list_start ("t", 0, 0);
  if (other == MARK_COLD || one == MARK_COLD)
    target_of ("t")->warm_at_ms = WAIT_MS;
  ck_assert (!may_send ("t", 1));
  if (one == other)
    return;
  end_mark (one);
  if (other == MARK_COLD)
    target_of ("t")->warm_at_ms = WAIT_MS;
  ck_assert (!may_send ("t", 1));
  end_mark (other);
  ck_assert (may_send ("t", 1)
             == (one != MARK_LEAVING && other != MARK_LEAVING));
}
END_TEST

/* Guards against a mark that outlives the start that it was for.  */
START_TEST (a_new_start_under_the_same_id_has_no_marks)
{
  list_start ("t", 100, 0);
  set_mark (MARK_LEAVING);
  set_mark (MARK_WAITING);
  list_start ("t", 100, 0);
  ck_assert (!may_send ("t", 1));
  list_start ("t", 200, 1);
  ck_assert (may_send ("t", 1));
}
END_TEST

/* Guards against a row that goes and comes again while the store is away.  */
START_TEST (a_row_that_comes_back_takes_no_leaving_back)
{
  list_start ("t", 0, 0);
  set_mark (MARK_LEAVING);
  csp_unlist_target (fleet, "t", 10);
  list_start ("t", 0, 20);
  ck_assert (!may_send ("t", 20));
}
END_TEST

/* Guards against a word that comes while the row is away.  */
START_TEST (a_word_of_leaving_holds_when_the_row_comes_back)
{
  list_start ("t", 0, 0);
  csp_unlist_target (fleet, "t", 10);
  set_mark (MARK_LEAVING);
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
  tcase_add_loop_test (
      tests, a_target_that_asked_for_a_wait_gets_nothing_until_its_end, 0,
      sizeof waits / sizeof waits[0]);
  tcase_add_test (tests,
                  another_host_is_served_unless_it_has_asked_to_leave_it_out);
  tcase_add_test (tests, a_service_waits_for_the_first_of_its_targets);
  tcase_add_loop_test (tests, no_mark_takes_another_one_back, 0,
                       MARK_COUNT * MARK_COUNT);
  tcase_add_test (tests, a_new_start_under_the_same_id_has_no_marks);
  tcase_add_test (tests, a_row_that_comes_back_takes_no_leaving_back);
  tcase_add_test (tests, a_word_of_leaving_holds_when_the_row_comes_back);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
