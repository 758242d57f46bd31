#include "cowslipspoke/retry.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

static const csp_retry_facts_t usual = { .idempotent = true,
                                         .verdict = CSP_VERDICT_MAY_HAVE_RUN,
                                         .attempts = 1,
                                         .left_ms = 10000,
                                         .needs_ms = 1000 };

static csp_retry_budget_t
full_budget (void)
{
  csp_retry_policy_t policy = csp_default_retry_policy ();
  csp_retry_budget_t budget;
  int i;

  csp_open_retry_budget (&budget, &policy);
  for (i = 0; i < 1000; i++)
    csp_note_first_attempt (&budget);
  return budget;
}

/* One fact changed from a request that may be repeated, and what is decided
   for a retry and for a hedge.  A lease score that may have run must not run
   again: its buyer would get two quotes.  */
static const struct
{
  csp_retry_facts_t facts;
  csp_retry_t retry;
  csp_retry_t hedge;
} rows[] = {
  { { true, false, CSP_VERDICT_MAY_HAVE_RUN, 1, 10000, 1000, 0, 0, 0 },
    CSP_RETRY_YES,
    CSP_RETRY_YES },
  { { false, false, CSP_VERDICT_MAY_HAVE_RUN, 1, 10000, 1000, 0, 0, 0 },
    CSP_RETRY_MAY_HAVE_RUN,
    CSP_RETRY_MAY_HAVE_RUN },
  { { false, false, CSP_VERDICT_RAN, 1, 10000, 1000, 0, 0, 0 },
    CSP_RETRY_MAY_HAVE_RUN,
    CSP_RETRY_MAY_HAVE_RUN },
  { { false, false, CSP_VERDICT_NOT_RUN, 1, 10000, 1000, 0, 0, 0 },
    CSP_RETRY_YES,
    CSP_RETRY_MAY_HAVE_RUN },
  { { true, true, CSP_VERDICT_RAN, 1, 10000, 1000, 0, 0, 0 },
    CSP_RETRY_TOKENS_SENT,
    CSP_RETRY_TOKENS_SENT },
  { { true, false, CSP_VERDICT_NOT_RUN, 3, 10000, 1000, 0, 0, 0 },
    CSP_RETRY_ATTEMPTS,
    CSP_RETRY_ATTEMPTS },
  { { true, false, CSP_VERDICT_NOT_RUN, 1, 900, 1000, 0, 0, 0 },
    CSP_RETRY_DEADLINE,
    CSP_RETRY_DEADLINE },
  { { true, false, CSP_VERDICT_NOT_RUN, 1, 10000, 1000, 1, 0, 0 },
    CSP_RETRY_YES,
    CSP_RETRY_BUSY },
  { { true, false, CSP_VERDICT_NOT_RUN, 1, 10000, 1000, 0, 0.9, 0 },
    CSP_RETRY_YES,
    CSP_RETRY_BUSY },
};

START_TEST (who_may_be_sent_again)
{
  csp_retry_budget_t budget = full_budget ();

  ck_assert_int_eq (csp_decide_retry (&budget, &rows[_i].facts),
                    rows[_i].retry);
  ck_assert_int_eq (csp_decide_hedge (&budget, &rows[_i].facts),
                    rows[_i].hedge);
}
END_TEST

/* Every target fails for ten minutes.  Without a budget each request is sent
   three times, and the targets that come back are met by three times their
   load; with it by 1.1 times.  */
START_TEST (an_outage_is_not_multiplied)
{
  csp_retry_budget_t budget = full_budget ();
  csp_retry_facts_t facts = usual;
  uint64_t before = budget.first_attempts;
  uint32_t sent = 0;
  int i;

  for (i = 0; i < 10000; i++)
    {
      csp_note_first_attempt (&budget);
      sent++;
      for (facts.attempts = 1;
           csp_decide_retry (&budget, &facts) == CSP_RETRY_YES;
           facts.attempts++)
        sent++;
    }
  ck_assert_uint_le (sent, 11020);
  ck_assert_uint_ge (sent, 10900);
  ck_assert_uint_eq (budget.first_attempts - before, 10000);
  ck_assert_int_eq (csp_decide_retry (&budget, &usual), CSP_RETRY_BUDGET);
}
END_TEST

/* A host has just started and its first callers meet a dead engine.  Without
   any budget the very first of them gets the engine's error; with no bound, a
   fleet that restarts during an outage multiplies it.  */
START_TEST (a_fresh_host_has_a_small_budget)
{
  csp_retry_policy_t policy = csp_default_retry_policy ();
  csp_retry_budget_t budget;
  uint32_t sent;

  csp_open_retry_budget (&budget, &policy);
  for (sent = 0; sent < (uint32_t)policy.retry_start; sent++)
    ck_assert_int_eq (csp_decide_retry (&budget, &usual), CSP_RETRY_YES);
  ck_assert_int_eq (csp_decide_retry (&budget, &usual), CSP_RETRY_BUDGET);
  ck_assert_int_eq (csp_decide_hedge (&budget, &usual), CSP_RETRY_BUDGET);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("retry");
  TCase *tcase = tcase_create ("retry");

  tcase_add_loop_test (tcase, who_may_be_sent_again, 0,
                       sizeof rows / sizeof rows[0]);
  tcase_add_test (tcase, an_outage_is_not_multiplied);
  tcase_add_test (tcase, a_fresh_host_has_a_small_budget);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
