#include "cowslipspoke/shift.h"

#include "support/run-suite.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>

/* A target comes back at saturation.  It opens in steps that it can work off,
   waits while it shows trouble, and is open within seven seconds when well.
 */
START_TEST (a_target_opens_by_doubling)
{
  csp_shift_policy_t policy = csp_default_shift_policy ();
  csp_shift_t shift = { 0 };
  double before;
  int64_t now_ms;

  ck_assert_double_eq (csp_move_shift (&shift, &policy, true, 1000), 0);
  csp_start_shift (&shift, &policy, 1000);
  before = csp_move_shift (&shift, &policy, true, 1000);
  ck_assert_double_eq_tol (before, 0.1, 1e-9);
  for (now_ms = 2000; now_ms <= 6000; now_ms += 1000)
    {
      ck_assert_double_le (csp_move_shift (&shift, &policy, true, now_ms),
                           before * 1.5);
      before = csp_move_shift (&shift, &policy, true, now_ms);
    }
  ck_assert_double_lt (before, 0.7);
  ck_assert_double_eq (csp_move_shift (&shift, &policy, false, 20000), before);
  ck_assert_double_eq (csp_move_shift (&shift, &policy, true, 24000), 1);
  csp_stop_shift (&shift);
  ck_assert_double_eq (csp_move_shift (&shift, &policy, true, 90000), 0);
}
END_TEST

/* Two data centres see each other's headroom two seconds late and move load
   to the emptier.  Without a bound on the step the load goes back and forth
   for ever; with it, it settles.  */
static const struct
{
  double rise_per_s;
  bool settles;
} wave_rows[] = { { 0.1, true }, { 10, false } };

START_TEST (no_waves_between_data_centres)
{
  csp_shift_policy_t policy = csp_default_shift_policy ();
  double told[3] = { 1, 1, 1 };
  double share = 1;
  double least = 1;
  double most = 0;
  double wanted;
  int second;

  policy.rise_per_s = wave_rows[_i].rise_per_s;
  for (second = 0; second < 120; second++)
    {
      wanted = told[second % 3] > 0.5 ? 0 : 1;
      if (fabs (told[second % 3] - 0.5) < 0.3)
        wanted = 0.5;
      share = csp_move_share (&policy, share, wanted, false, 1000);
      told[second % 3] = share;
      if (second < 60)
        continue;
      least = fmin (least, share);
      most = fmax (most, share);
    }
  if (wave_rows[_i].settles)
    ck_assert_double_le (most - least, 0.05);
  else
    ck_assert_double_ge (most - least, 0.5);
}
END_TEST

/* A host that was paused for a minute has seen nothing of it, so it doesn't
   move a minute's worth; a data centre in trouble is left at once.  */
START_TEST (pauses_and_trouble)
{
  csp_shift_policy_t policy = csp_default_shift_policy ();

  ck_assert_double_eq_tol (csp_move_share (&policy, 0, 1, false, 60000), 0.1,
                           1e-9);
  ck_assert_double_eq (csp_move_share (&policy, 0.8, 0, true, 1000), 0);
  ck_assert_double_eq (csp_move_share (&policy, 0.5, 0.54, false, 1000), 0.5);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("shift");
  TCase *tcase = tcase_create ("shift");

  tcase_add_test (tcase, a_target_opens_by_doubling);
  tcase_add_loop_test (tcase, no_waves_between_data_centres, 0,
                       sizeof wave_rows / sizeof wave_rows[0]);
  tcase_add_test (tcase, pauses_and_trouble);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
