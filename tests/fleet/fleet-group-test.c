#include "cowslipspoke/fleet.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>

/* Groups of targets count what a pass over all targets would count.  */

enum
{
  STEPS = 3000,
  IDS = 40,
  STEP_MS = 300
};

static const char *const services[] = { "engines", "plain" };
static const char *const data_centres[] = { "dc-a", "dc-b", "dc-c" };

static csp_random_t draws;

static csp_fleet_row_t
draw_row (void)
{
  csp_fleet_row_t row
      = { .leaving = csp_random_below (&draws, 4) == 0,
          .start_unix_ms = 1 + (int64_t)csp_random_below (&draws, 3) };

  snprintf (row.id, sizeof row.id, "t-%u", csp_random_below (&draws, IDS));
  snprintf (row.service, sizeof row.service, "%s",
            services[csp_random_below (&draws, 2)]);
  snprintf (row.data_centre, sizeof row.data_centre, "%s",
            data_centres[csp_random_below (&draws, 3)]);
  return row;
}

static void
draw_step (csp_fleet_t *fleet, int64_t now_ms)
{
  csp_fleet_row_t row = draw_row ();
  csp_fleet_target_t *target;

  switch (csp_random_below (&draws, 6))
    {
    case 0:
      csp_remove_target (fleet, row.id, now_ms);
      break;
    case 1:
      csp_note_platform (fleet, csp_random_below (&draws, 2) == 0, now_ms);
      break;
    case 2:
      target = csp_find_fleet_target (fleet, row.id);
      if (target != NULL)
        csp_note_target_leaves (fleet, target);
      break;
    case 3:
      csp_expire_targets (fleet, now_ms);
      break;
    default:
      ck_assert (csp_update_target (fleet, &row, now_ms));
    }
}

static void
check_group (const csp_fleet_t *fleet, const csp_fleet_group_t *group)
{
  size_t targets = 0;
  size_t ready = 0;
  size_t i;

  for (i = 0; i < csp_fleet_size (fleet); i++)
    {
      const csp_fleet_target_t *target = csp_fleet_at (fleet, i);

      if (target->group != group)
        continue;
      ck_assert_str_eq (target->row.service, group->service);
      ck_assert_str_eq (target->row.data_centre, group->data_centre_name);
      targets++;
      ready += target->state == CSP_FLEET_READY;
    }
  ck_assert_uint_eq (group->target_count, targets);
  ck_assert_uint_eq (group->ready_count, ready);
}

/* Guards against a count that drifts: a host would take itself for cut off, or
   never forget targets that are gone.  */
START_TEST (groups_count_their_targets)
{
  csp_fleet_t *fleet = csp_create_fleet (NULL, NULL, NULL);
  int64_t now_ms = 1000;
  size_t i;
  int step;

  csp_seed_random (&draws, (uint64_t)_i + 1);
  for (step = 0; step < STEPS; step++)
    {
      draw_step (fleet, now_ms);
      now_ms += STEP_MS;
      for (i = 0; i < csp_count_fleet_groups (fleet); i++)
        check_group (fleet, csp_fleet_group_at (fleet, i));
    }
  for (i = 0; i < IDS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "t-%zu", i);
      csp_remove_target (fleet, id, now_ms);
    }
  /* Lapsed rows first become gone, and gone ones are kept for a while.  */
  csp_note_platform (fleet, true, now_ms);
  csp_expire_targets (fleet, now_ms + 60000);
  csp_expire_targets (fleet, now_ms + 120000);
  ck_assert_uint_eq (csp_fleet_size (fleet), 0);
  csp_destroy_fleet (fleet);
}
END_TEST

START_TEST (data_centres_with_targets_are_counted_once)
{
  csp_fleet_t *fleet = csp_create_fleet (NULL, NULL, NULL);
  csp_fleet_row_t row = { .id = "a", .service = "engines" };

  ck_assert_uint_eq (csp_count_target_data_centres (fleet), 0);
  snprintf (row.data_centre, sizeof row.data_centre, "dc-a");
  ck_assert (csp_update_target (fleet, &row, 0));
  snprintf (row.id, sizeof row.id, "b");
  snprintf (row.service, sizeof row.service, "plain");
  ck_assert (csp_update_target (fleet, &row, 0));
  ck_assert_uint_eq (csp_count_target_data_centres (fleet), 1);
  snprintf (row.data_centre, sizeof row.data_centre, "dc-b");
  ck_assert (csp_update_target (fleet, &row, 0));
  ck_assert_uint_eq (csp_count_target_data_centres (fleet), 2);
  csp_destroy_fleet (fleet);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet group");
  TCase *tcase = tcase_create ("fleet group");

  tcase_add_loop_test (tcase, groups_count_their_targets, 0, 10);
  tcase_add_test (tcase, data_centres_with_targets_are_counted_once);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
