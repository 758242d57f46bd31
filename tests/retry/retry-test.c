#include "cowslipspoke/retry.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

static const csp_retry_facts_t idempotent_request
    = { .idempotent = true,
        .verdict = CSP_VERDICT_MAY_HAVE_RUN,
        .attempts = 1,
        .left_ms = 10000,
        .usual_first_token_ms = 1000 };

static csp_retry_budget_t
full_budget (void)
{
  csp_retry_policy_t policy = csp_default_retry_policy ();
  csp_retry_budget_t budget;
  int i;

  csp_init_retry_budget (&budget, &policy);
  for (i = 0; i < 1000; i++)
    csp_note_first_attempt (&budget);
  return budget;
}

/* Each row differs in one fact from a request that may be repeated, and has
   the decisions on a retry and on a hedge.  A request that isn't idempotent
   and may have run must not run again.  */
static const struct
{
  csp_retry_facts_t facts;
  csp_retry_decision_t retry;
  csp_retry_decision_t hedge;
} rows[] = {
  { { true, false, CSP_VERDICT_MAY_HAVE_RUN, 1, 10000, 1000, 0, 0, 0 },
    CSP_RETRY_ALLOWED,
    CSP_RETRY_ALLOWED },
  { { false, false, CSP_VERDICT_MAY_HAVE_RUN, 1, 10000, 1000, 0, 0, 0 },
    CSP_RETRY_MAY_HAVE_RUN,
    CSP_RETRY_MAY_HAVE_RUN },
  { { false, false, CSP_VERDICT_RAN, 1, 10000, 1000, 0, 0, 0 },
    CSP_RETRY_MAY_HAVE_RUN,
    CSP_RETRY_MAY_HAVE_RUN },
  { { false, false, CSP_VERDICT_NOT_RUN, 1, 10000, 1000, 0, 0, 0 },
    CSP_RETRY_ALLOWED,
    CSP_RETRY_MAY_HAVE_RUN },
  { { true, true, CSP_VERDICT_RAN, 1, 10000, 1000, 0, 0, 0 },
    CSP_RETRY_TOKENS_SENT,
    CSP_RETRY_TOKENS_SENT },
  { { true, false, CSP_VERDICT_NOT_RUN, 3, 10000, 1000, 0, 0, 0 },
    CSP_RETRY_ATTEMPTS_USED_UP,
    CSP_RETRY_ATTEMPTS_USED_UP },
  { { true, false, CSP_VERDICT_NOT_RUN, 1, 900, 1000, 0, 0, 0 },
    CSP_RETRY_DEADLINE,
    CSP_RETRY_DEADLINE },
  { { true, false, CSP_VERDICT_NOT_RUN, 1, 10000, 1000, 1, 0, 0 },
    CSP_RETRY_ALLOWED,
    CSP_RETRY_BUSY },
  { { true, false, CSP_VERDICT_NOT_RUN, 1, 10000, 1000, 0, 0.9, 0 },
    CSP_RETRY_ALLOWED,
    CSP_RETRY_BUSY },
};

START_TEST (the_facts_decide_on_retry_and_hedge)
{
  csp_retry_budget_t budget = full_budget ();

  ck_assert_int_eq (csp_decide_retry (&budget, &rows[_i].facts),
                    rows[_i].retry);
  ck_assert_int_eq (csp_decide_hedge (&budget, &rows[_i].facts),
                    rows[_i].hedge);
}
END_TEST

/* Guards against multiplied load while every target fails.  Without a budget
   each request is sent three times, so recovering targets get three times
   their load; with it, 1.1 times.  */
START_TEST (an_outage_does_not_multiply_the_load)
{
  csp_retry_budget_t budget = full_budget ();
  csp_retry_facts_t facts = idempotent_request;
  uint64_t before = budget.first_attempts;
  uint32_t sent = 0;
  int i;

  for (i = 0; i < 10000; i++)
    {
      csp_note_first_attempt (&budget);
      sent++;
      for (facts.attempts = 1;
           csp_decide_retry (&budget, &facts) == CSP_RETRY_ALLOWED;
           facts.attempts++)
        sent++;
    }
  ck_assert_uint_le (sent, 11020);
  ck_assert_uint_ge (sent, 10900);
  ck_assert_uint_eq (budget.first_attempts - before, 10000);
  ck_assert_int_eq (csp_decide_retry (&budget, &idempotent_request),
                    CSP_RETRY_BUDGET_USED_UP);
}
END_TEST

/* The first requests of a host that has just started go to a dead engine.
   Without an initial budget the first caller gets the engine's error; without
   a bound, a fleet that restarts during an outage multiplies the load.  */
START_TEST (a_new_host_has_a_small_budget)
{
  csp_retry_policy_t policy = csp_default_retry_policy ();
  csp_retry_budget_t budget;
  uint32_t sent;

  csp_init_retry_budget (&budget, &policy);
  for (sent = 0; sent < (uint32_t)policy.retry_start; sent++)
    ck_assert_int_eq (csp_decide_retry (&budget, &idempotent_request),
                      CSP_RETRY_ALLOWED);
  ck_assert_int_eq (csp_decide_retry (&budget, &idempotent_request),
                    CSP_RETRY_BUDGET_USED_UP);
  ck_assert_int_eq (csp_decide_hedge (&budget, &idempotent_request),
                    CSP_RETRY_BUDGET_USED_UP);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("retry");
  TCase *tcase = tcase_create ("retry");

  tcase_add_loop_test (tcase, the_facts_decide_on_retry_and_hedge, 0,
                       sizeof rows / sizeof rows[0]);
  tcase_add_test (tcase, an_outage_does_not_multiply_the_load);
  tcase_add_test (tcase, a_new_host_has_a_small_budget);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
