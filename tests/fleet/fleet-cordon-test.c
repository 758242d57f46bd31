#include "cowslipspoke/fleet.h"

#include "cowslipspoke/hash.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

/* Data centres that operators have cordoned.  They take the power away some
   seconds behind their word; a host that goes on choosing targets there loses
   each of those requests, and its callers see answers that break off.  */

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
list (const char *id, const char *data_centre)
{
  csp_fleet_row_t row = { .slots = 8 };

  snprintf (row.id, sizeof row.id, "%s", id);
  snprintf (row.service, sizeof row.service, "s");
  snprintf (row.data_centre, sizeof row.data_centre, "%s", data_centre);
  ck_assert (csp_list_target (fleet, &row, 0));
}

/* What happens, one step after another: '+x' cordons data centre x, '-x' lifts
   its cordon, 'x' alone lists a target t-x there; and where a request of data
   centre a and a copy from there may go.  */
static const struct
{
  const char *what;
  const char *steps[6];
  const char *chosen;
  bool service_cordoned;
} stories[] = {
  { "both serve", { "a", "b" }, "t-a", false },
  { "the own one is cordoned", { "a", "b", "+a" }, "t-b", false },
  { "before a target there is listed", { "+a", "a", "b" }, "t-b", false },
  { "an entry written anew changes nothing",
    { "a", "b", "+a", "a" },
    "t-b",
    false },
  { "all are cordoned", { "a", "b", "+a", "+b" }, "none", true },
  { "one is taken back", { "a", "b", "+a", "+b", "-a" }, "t-a", false },
  { "twice cordoned, once taken back",
    { "a", "+a", "+a", "-a" },
    "t-a",
    false },
  { "one that nobody knows", { "a", "+c" }, "t-a", false },
  { "no targets at all", { "+a" }, "none", false },
};

START_TEST (a_cordoned_data_centre_gets_nothing_new)
{
  csp_fleet_need_t need
      = { .service = "s",
          .data_centre = (uint32_t)csp_hash_pair ("data_centre", "a") };
  const char *const *step = stories[_i].steps;
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
      chosen = csp_choose_fleet_target (fleet, &need, &lots, 1);
      ck_assert_msg (
          strcmp (chosen == NULL ? "none" : chosen->row.id, stories[_i].chosen)
              == 0,
          "%s", stories[_i].what);
    }
  ck_assert_msg (csp_is_service_cordoned (fleet, "s")
                     == stories[_i].service_cordoned,
                 "%s", stories[_i].what);
}
END_TEST

/* What the engines there hold is no room for anybody: a pool whose half is
   cordoned counts as full when the other half is.  */
START_TEST (a_cordoned_engine_is_no_room)
{
  list ("t-a", "a");
  list ("t-b", "b");
  csp_find_fleet_target (fleet, "t-a")->own.tokens = 1000;
  ck_assert_double_eq (csp_find_pool_share (fleet, "s", 1000, 0), 0.5);
  csp_cordon_targets (fleet, "b", true, 0);
  ck_assert_double_eq (csp_find_pool_share (fleet, "s", 1000, 0), 1.0);
}
END_TEST

/* A host that places by itself, while nobody decides, knows nothing of what
   sixty others send in the same moment; so it leaves cold targets out.  A data
   centre that is taken back may be cold without a word of it yet.  */
static const struct
{
  const char *what;
  uint32_t bound_per_s;
  uint32_t warming_up_ms;
  bool cordoned_before;
  const char *chosen;
} colds[] = {
  { "a warm one", 10, 0, false, "t-a" },
  { "a cold one", 10, 1000, false, "t-b" },
  { "a cold one that stands any load", 0, 1000, false, "t-a" },
  { "behind a cordon", 10, 0, true, "t-b" },
  { "behind a cordon, where none grow cold", 0, 0, true, "t-a" },
};

START_TEST (a_host_alone_leaves_cold_targets_out)
{
  csp_fleet_need_t need
      = { .service = "s",
          .data_centre = (uint32_t)csp_hash_pair ("data_centre", "a") };
  csp_fleet_row_t row = { .id = "t-a",
                          .service = "s",
                          .data_centre = "a",
                          .warming_up_ms = colds[_i].warming_up_ms };
  const csp_fleet_target_t *chosen;

  ck_assert (csp_set_cold_bound (fleet, "s", 1000, colds[_i].bound_per_s));
  list ("t-b", "b");
  csp_find_fleet_target (fleet, "t-b")->own.requests = 20;
  if (colds[_i].cordoned_before)
    csp_cordon_targets (fleet, "a", true, 0);
  ck_assert (csp_list_target (fleet, &row, 0));
  if (colds[_i].cordoned_before)
    csp_cordon_targets (fleet, "a", false, 0);
  chosen = csp_choose_fleet_target (fleet, &need, &lots, 999);
  ck_assert_msg (chosen != NULL
                     && strcmp (chosen->row.id, colds[_i].chosen) == 0,
                 "%s", colds[_i].what);
  chosen = csp_choose_fleet_target (fleet, &need, &lots, 1001);
  ck_assert_ptr_nonnull (chosen);
  ck_assert_str_eq (chosen->row.id, "t-a");
}
END_TEST

/* An engine tells by its own report that it has started again, before the list
   does.  It is cold by then, and its new entry will say so.  */
START_TEST (a_target_that_starts_again_is_cold)
{
  csp_fleet_row_t row
      = { .id = "t", .service = "s", .data_centre = "a", .born_ms = 5 };
  const csp_fleet_target_t *target;

  ck_assert (csp_set_cold_bound (fleet, "s", 1000, 10));
  ck_assert (csp_list_target (fleet, &row, 0));
  target = csp_find_fleet_target (fleet, "t");
  ck_assert (!csp_is_paced (target, 1));
  csp_note_target_born (fleet, target, 6, 100);
  target = csp_find_fleet_target (fleet, "t");
  ck_assert (csp_is_paced (target, 1099));
  ck_assert (!csp_is_paced (target, 1100));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet-cordon");
  TCase *tcase = tcase_create ("fleet-cordon");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, a_cordoned_data_centre_gets_nothing_new, 0,
                       sizeof stories / sizeof stories[0]);
  tcase_add_test (tcase, a_cordoned_engine_is_no_room);
  tcase_add_loop_test (tcase, a_host_alone_leaves_cold_targets_out, 0,
                       sizeof colds / sizeof colds[0]);
  tcase_add_test (tcase, a_target_that_starts_again_is_cold);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
