#include "../../bench/fleet.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

/* All decisions together over the bench's model of 12 engines, and the service
   that callers get.  One organisation sends 0.6 of all requests, two send 0.1
   each, and seven share the rest.  */

enum
{
  SECOND_US = 1000000
};

static arrivals_plan_t
plan_for (double load, int64_t seconds)
{
  arrivals_plan_t plan = { .seed = 1,
                           .engines = 12,
                           .load = load,
                           .duration_us = seconds * SECOND_US,
                           .only_organisation = ALL_ORGANISATIONS,
                           .length_factor = 1 };

  return plan;
}

static double
preempted_of_1000 (const outcome_t *outcome)
{
  return 1000.0 * (double)outcome->preempted
         / (double)(outcome->started ? outcome->started : 1);
}

static uint64_t
count_unserved (const outcome_t *outcome)
{
  return outcome->refused + outcome->given_up;
}

/* Checks that small organisations get all their answers, and the first token
   in time.  */
static void
check_small (results_t *results, double first_p99_s)
{
  outcome_t *small;
  uint32_t i;

  for (i = FIRST_SMALL_ORGANISATION; i < ORGANISATIONS; i++)
    {
      small = &results->organisations[i];
      ck_assert_uint_eq (count_unserved (small), 0);
      ck_assert_double_le (first_token_quantile_s (small, 0.99), first_p99_s);
    }
}

/* Guards against engines that are filled up to what is free at the moment:
   they run out of memory as outputs grow, and callers see pauses.  In order of
   arrival 4 to 90 of 1,000 answers are preempted from load 0.9 on.  */
static const struct
{
  double load;
  double min_ratio;
} preemption_cases[] = { { 0.9, 10 }, { 1.1, 20 }, { 1.5, 20 } };

START_TEST (preemptions_are_rare)
{
  arrivals_plan_t plan = plan_for (preemption_cases[_i].load, 900);
  simulation_settings_t first_come
      = default_simulation_settings (DISPATCH_FIRST_COME);
  simulation_settings_t decisions
      = default_simulation_settings (DISPATCH_DECISIONS);
  results_t before;
  results_t now;

  simulate_fleet (&first_come, &plan, &before);
  simulate_fleet (&decisions, &plan, &now);
  ck_assert_double_gt (preempted_of_1000 (&before.all), 4);
  ck_assert_double_le (preempted_of_1000 (&now.all)
                           * preemption_cases[_i].min_ratio,
                       preempted_of_1000 (&before.all));
  ck_assert_double_ge ((double)now.all.tokens,
                       0.98 * (double)before.all.tokens);
  free_results (&before);
  free_results (&now);
}
END_TEST

/* The largest organisation sends more than all engines can serve, for ten
   minutes.  In order of arrival the small ones wait as long as the largest,
   half of their requests are given up, and more load means less
   throughput.  */
START_TEST (saturation_by_the_largest)
{
  arrivals_plan_t plan = plan_for (1.1, 600);
  simulation_settings_t decisions
      = default_simulation_settings (DISPATCH_DECISIONS);
  results_t at_1_1;
  results_t at_1_5;

  simulate_fleet (&decisions, &plan, &at_1_1);
  plan.load = 1.5;
  simulate_fleet (&decisions, &plan, &at_1_5);
  check_small (&at_1_5, 3);
  ck_assert_double_ge ((double)at_1_5.all.tokens,
                       0.97 * (double)at_1_1.all.tokens);
  ck_assert_double_le (wait_quantile_s (&at_1_5.all, 1), 30.1);
  ck_assert_uint_gt (at_1_5.all.refused, 4 * at_1_5.all.given_up);
  free_results (&at_1_1);
  free_results (&at_1_5);
}
END_TEST

/* For twenty seconds four times as many requests arrive.  Requests that can't
   be served in time are refused, small organisations see hardly any delay, and
   a minute later latency is back to normal.  */
START_TEST (a_burst)
{
  arrivals_plan_t plan = plan_for (0.6, 300);
  simulation_settings_t decisions
      = default_simulation_settings (DISPATCH_DECISIONS);
  results_t now;

  plan.burst_from_us = 60 * SECOND_US;
  plan.burst_us = 20 * SECOND_US;
  plan.burst_factor = 4;
  simulate_fleet (&decisions, &plan, &now);
  check_small (&now, 3);
  ck_assert_double_le (preempted_of_1000 (&now.all), 2);
  ck_assert_double_le (first_token_quantile_s (&now.all, 0.5), 0.3);
  free_results (&now);
}
END_TEST

/* Long drafts of up to tens of thousands of tokens fill the engines, among
   lookups of some forty.  A lookup must not wait for a draft to end.  */
START_TEST (short_requests_among_long_ones)
{
  arrivals_plan_t plan = plan_for (0.9, 600);
  simulation_settings_t decisions
      = default_simulation_settings (DISPATCH_DECISIONS);
  results_t now;

  simulate_fleet (&decisions, &plan, &now);
  ck_assert_double_le (
      first_token_quantile_s (&now.classes[CLASS_LOOKUP], 0.95), 1);
  ck_assert_double_le (
      first_token_quantile_s (&now.classes[CLASS_LOOKUP], 0.99), 5);
  ck_assert_uint_le (count_unserved (&now.all) * 50, now.all.requests);
  free_results (&now);
}
END_TEST

/* One engine of twelve decodes three times as slowly.  It holds the fewest
   tokens, so it looks the emptiest, and streams that are sent there run at a
   third of the speed.  */
START_TEST (a_slow_target)
{
  arrivals_plan_t plan = plan_for (0.7, 300);
  simulation_settings_t decisions
      = default_simulation_settings (DISPATCH_DECISIONS);
  results_t without;
  results_t with;

  decisions.slow_factor = 3;
  decisions.faulty_engine = 3;
  simulate_fleet (&decisions, &plan, &with);
  decisions.no_health = true;
  simulate_fleet (&decisions, &plan, &without);
  ck_assert_double_gt (gap_quantile_ms (&without.all.gaps, 0.99), 100);
  ck_assert_double_lt (gap_quantile_ms (&with.all.gaps, 0.99), 75);
  ck_assert_uint_eq (count_unserved (&with.all), 0);
  free_results (&with);
  free_results (&without);
}
END_TEST

/* Answers are three times as long as the initial estimate.  Until the estimate
   is corrected the engines could be overcommitted.  */
START_TEST (a_wrong_length_estimate)
{
  arrivals_plan_t plan = plan_for (0.4, 300);
  simulation_settings_t decisions
      = default_simulation_settings (DISPATCH_DECISIONS);
  results_t without;
  results_t with;

  plan.length_factor = 3;
  simulate_fleet (&decisions, &plan, &with);
  decisions.no_admission = true;
  simulate_fleet (&decisions, &plan, &without);
  ck_assert_double_gt (preempted_of_1000 (&without.all), 8);
  ck_assert_double_lt (preempted_of_1000 (&with.all) * 5,
                       preempted_of_1000 (&without.all));
  free_results (&with);
  free_results (&without);
}
END_TEST

/* An engine fails at saturation and comes back empty a minute later, while
   hundreds of requests wait.  If it got all of them at once, it would read
   their prompts one after another, and their first tokens would come seconds
   late.  */
START_TEST (a_target_lost_at_saturation_returns)
{
  arrivals_plan_t plan = plan_for (1.5, 200);
  simulation_settings_t with_slow_start
      = default_simulation_settings (DISPATCH_DECISIONS);
  simulation_settings_t without_slow_start;
  results_t with;
  results_t without;
  double with_s = 0;
  double without_s = 0;
  uint64_t with_count = 0;
  uint64_t without_count = 0;

  with_slow_start.lost_from_us = 100 * (int64_t)SECOND_US;
  with_slow_start.lost_until_us = 160 * (int64_t)SECOND_US;
  with_slow_start.faulty_engine = 3;
  without_slow_start = with_slow_start;
  without_slow_start.no_slow_start = true;
  for (plan.seed = 1; plan.seed <= 8; plan.seed++)
    {
      simulate_fleet (&with_slow_start, &plan, &with);
      simulate_fleet (&without_slow_start, &plan, &without);
      check_small (&with, 4);
      ck_assert_uint_le (with.all.lost, 15);
      with_s += with.sent_after_return.sent_to_first_token_s;
      with_count += with.sent_after_return.first_token_count;
      without_s += without.sent_after_return.sent_to_first_token_s;
      without_count += without.sent_after_return.first_token_count;
      free_results (&with);
      free_results (&without);
    }
  ck_assert_uint_gt (with_count, 40);
  ck_assert_double_lt (with_s / (double)with_count,
                       0.8 * without_s / (double)without_count);
}
END_TEST

/* Eight hosts each own one engine or two, and spill to each other by load
   reports that are a second old.  Engines must be neither overloaded nor idle
   because of that.  */
START_TEST (many_hosts_with_few_engines)
{
  arrivals_plan_t plan = plan_for (0.9, 600);
  simulation_settings_t decisions
      = default_simulation_settings (DISPATCH_DECISIONS);
  results_t one_host;
  results_t hosts;

  simulate_fleet (&decisions, &plan, &one_host);
  decisions.hosts = 8;
  simulate_fleet (&decisions, &plan, &hosts);
  ck_assert_double_le (preempted_of_1000 (&hosts.all), 1);
  ck_assert_double_ge ((double)hosts.all.tokens,
                       0.97 * (double)one_host.all.tokens);
  free_results (&one_host);
  free_results (&hosts);
}
END_TEST

/* The same seed gives the same results, so that a figure can be
   reproduced.  */
START_TEST (results_are_reproducible)
{
  arrivals_plan_t plan = plan_for (1.1, 60);
  simulation_settings_t decisions
      = default_simulation_settings (DISPATCH_DECISIONS);
  results_t one;
  results_t two;

  decisions.hosts = 3;
  simulate_fleet (&decisions, &plan, &one);
  simulate_fleet (&decisions, &plan, &two);
  ck_assert_uint_eq (one.all.tokens, two.all.tokens);
  ck_assert_uint_eq (one.all.refused, two.all.refused);
  free_results (&one);
  free_results (&two);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet");
  TCase *tcase = tcase_create ("fleet");

  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (tcase, preemptions_are_rare, 0,
                       sizeof preemption_cases / sizeof preemption_cases[0]);
  tcase_add_test (tcase, saturation_by_the_largest);
  tcase_add_test (tcase, a_burst);
  tcase_add_test (tcase, short_requests_among_long_ones);
  tcase_add_test (tcase, a_slow_target);
  tcase_add_test (tcase, a_wrong_length_estimate);
  tcase_add_test (tcase, a_target_lost_at_saturation_returns);
  tcase_add_test (tcase, many_hosts_with_few_engines);
  tcase_add_test (tcase, results_are_reproducible);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
