#include "cowslipspoke/traffic-cost.h"

#include "support/run-suite.h"

#include <check.h>

/* The cost of requests by memory x time.  */

enum
{
  MEMORY = 22000,
  SHORT_PROMPT = 2400,
  SHORT_TOKENS = 2412,
  LONG_PROMPT = 3000,
  LONG_TOKENS = 3750
};

/* The first request of a pool.  */
static const struct
{
  uint32_t prompt_tokens;
  uint32_t tokens;
} first_requests[] = {
  { SHORT_PROMPT, SHORT_TOKENS },
  { LONG_PROMPT, LONG_TOKENS },
  { 0, 100 },
  { 100, 100 },
  { 200, 100 },
  { 0, 0 },
  { 0, UINT32_MAX },
};

/* Guards against a unit that is unknown or zero at the start.  */
START_TEST (first_request_costs_its_tokens)
{
  csp_traffic_cost_t cost = { 0 };

  ck_assert_uint_eq (csp_charge_request (&cost, CSP_CLASS_URGENT, MEMORY,
                                         first_requests[_i].prompt_tokens,
                                         first_requests[_i].tokens),
                     first_requests[_i].tokens);
}
END_TEST

/* Of each ten requests this many are short; a long one costs so many times as
   much.  */
static const struct
{
  uint32_t shorts;
  uint32_t memory_tokens;
  double ratio;
} mixes[] = { { 1, MEMORY, 7.45 }, { 5, MEMORY, 7.45 }, { 9, MEMORY, 7.45 },
              { 1, 0, 38.7 },      { 5, 0, 38.7 },      { 9, 0, 38.7 } };

/* Guards against short requests that are charged two thirds of a long one,
   whose memory x time is 39 times theirs; against prompts that stop an
   engine's runs for nothing; and against a unit that makes all requests of a
   pool cheaper or dearer than their tokens.  */
START_TEST (cost_is_memory_by_time_in_tokens_of_mean_request)
{
  const uint32_t memory_tokens = mixes[_i].memory_tokens;
  csp_traffic_cost_t cost = { 0 };
  uint32_t short_cost = 0;
  uint32_t long_cost = 0;
  uint32_t i;
  double mean_cost;
  double mean_tokens;

  for (i = 0; i < 10000; i++)
    if (i % 10 < mixes[_i].shorts)
      short_cost = csp_charge_request (&cost, CSP_CLASS_URGENT, memory_tokens,
                                       SHORT_PROMPT, SHORT_TOKENS);
    else
      long_cost = csp_charge_request (&cost, CSP_CLASS_REGULAR, memory_tokens,
                                      LONG_PROMPT, LONG_TOKENS);
  mean_cost
      = (mixes[_i].shorts * short_cost + (10 - mixes[_i].shorts) * long_cost)
        / 10.0;
  mean_tokens = (mixes[_i].shorts * SHORT_TOKENS
                 + (10 - mixes[_i].shorts) * LONG_TOKENS)
                / 10.0;
  ck_assert_double_eq_tol ((double)long_cost / short_cost, mixes[_i].ratio,
                           0.05 * mixes[_i].ratio);
  ck_assert_double_eq_tol (mean_cost / mean_tokens, 1, 0.05);
  ck_assert_double_eq_tol (
      (double)csp_mean_class_cost (&cost, CSP_CLASS_URGENT) / short_cost, 1,
      0.05);
}
END_TEST

/* Guards against a unit that stays as it was learnt first.  */
START_TEST (unit_follows_the_load)
{
  const uint32_t memory_tokens = MEMORY;
  csp_traffic_cost_t cost = { 0 };
  uint32_t charged = 0;
  uint32_t i;

  for (i = 0; i < 2000; i++)
    csp_charge_request (&cost, CSP_CLASS_REGULAR, memory_tokens, LONG_PROMPT,
                        LONG_TOKENS);
  for (i = 0; i < 2000; i++)
    charged = csp_charge_request (&cost, CSP_CLASS_URGENT, memory_tokens,
                                  SHORT_PROMPT, SHORT_TOKENS);
  ck_assert_double_eq_tol ((double)charged / SHORT_TOKENS, 1, 0.05);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("traffic-cost");
  TCase *tcase = tcase_create ("traffic-cost");

  tcase_add_loop_test (tcase, first_request_costs_its_tokens, 0,
                       sizeof first_requests / sizeof first_requests[0]);
  tcase_add_loop_test (tcase, cost_is_memory_by_time_in_tokens_of_mean_request,
                       0, sizeof mixes / sizeof mixes[0]);
  tcase_add_test (tcase, unit_follows_the_load);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
