#include "cowslipspoke/shift.h"

#include "support/run-suite.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>

/* A target that comes back at saturation opens in steps that it can handle,
   doesn't open further while it is unhealthy, and is fully open within seven
   seconds if healthy.  */
START_TEST (a_target_opens_by_doubling)
{
  csp_slow_start_policy_t policy = csp_default_slow_start_policy ();
  csp_slow_start_t slow_start = { 0 };
  double before;
  int64_t now_ms;

  ck_assert_double_eq (
      csp_advance_slow_start (&slow_start, &policy, true, 1000), 0);
  csp_begin_slow_start (&slow_start, &policy, 1000);
  before = csp_advance_slow_start (&slow_start, &policy, true, 1000);
  ck_assert_double_eq_tol (before, 0.1, 1e-9);
  for (now_ms = 2000; now_ms <= 6000; now_ms += 1000)
    {
      ck_assert_double_le (
          csp_advance_slow_start (&slow_start, &policy, true, now_ms),
          before * 1.5);
      before = csp_advance_slow_start (&slow_start, &policy, true, now_ms);
    }
  ck_assert_double_lt (before, 0.7);
  ck_assert_double_eq (
      csp_advance_slow_start (&slow_start, &policy, false, 20000), before);
  ck_assert_double_eq (
      csp_advance_slow_start (&slow_start, &policy, true, 24000), 1);
  csp_stop_slow_start (&slow_start);
  ck_assert_double_eq (
      csp_advance_slow_start (&slow_start, &policy, true, 90000), 0);
}
END_TEST

/* Two data centres see each other's headroom with a delay of two seconds and
   move load to the emptier one.  Without a bound on the step the load
   oscillates forever; with it, it settles.  */
static const struct
{
  double rise_per_s;
  bool settles;
} step_bounds[] = { { 0.1, true }, { 10, false } };

START_TEST (load_does_not_oscillate_between_data_centres)
{
  csp_slow_start_policy_t policy = csp_default_slow_start_policy ();
  double published[3] = { 1, 1, 1 };
  double share = 1;
  double min_share = 1;
  double max_share = 0;
  double wanted;
  int second;

  policy.rise_per_s = step_bounds[_i].rise_per_s;
  for (second = 0; second < 120; second++)
    {
      wanted = published[second % 3] > 0.5 ? 0 : 1;
      if (fabs (published[second % 3] - 0.5) < 0.3)
        wanted = 0.5;
      share = csp_move_share (&policy, share, wanted, false, 1000);
      published[second % 3] = share;
      if (second < 60)
        continue;
      min_share = fmin (min_share, share);
      max_share = fmax (max_share, share);
    }
  if (step_bounds[_i].settles)
    ck_assert_double_le (max_share - min_share, 0.05);
  else
    ck_assert_double_ge (max_share - min_share, 0.5);
}
END_TEST

/* A host that was paused for a minute has observed nothing, so it moves only a
   second's worth of load.  A data centre in trouble loses its share at
   once.  */
START_TEST (pauses_move_little_and_trouble_moves_at_once)
{
  csp_slow_start_policy_t policy = csp_default_slow_start_policy ();

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
  tcase_add_loop_test (tcase, load_does_not_oscillate_between_data_centres, 0,
                       sizeof step_bounds / sizeof step_bounds[0]);
  tcase_add_test (tcase, pauses_move_little_and_trouble_moves_at_once);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
