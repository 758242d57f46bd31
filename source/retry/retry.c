#include "cowslipspoke/retry.h"

#include <math.h>

/* Above this share of used memory a hedge takes memory that first attempts
   will soon need.  */
static const double hedge_load = 0.7;

csp_retry_policy_t
csp_default_retry_policy (void)
{
  csp_retry_policy_t policy = { .retry_share = 0.1,
                                .retry_max = 20,
                                .retry_start = 10,
                                .hedge_share = 0.02,
                                .hedge_max = 4,
                                .attempts_max = 3 };

  return policy;
}

void
csp_init_retry_budget (csp_retry_budget_t *budget,
                       const csp_retry_policy_t *policy)
{
  csp_retry_budget_t fresh
      = { .policy = *policy, .retries = policy->retry_start };

  *budget = fresh;
}

void
csp_note_first_attempt (csp_retry_budget_t *budget)
{
  const csp_retry_policy_t *policy = &budget->policy;

  budget->first_attempts++;
  budget->retries
      = fmin (budget->retries + policy->retry_share, policy->retry_max);
  budget->hedges
      = fmin (budget->hedges + policy->hedge_share, policy->hedge_max);
}

void
csp_take_retry_lease (csp_retry_budget_t *budget, uint32_t amount,
                      int64_t until_ms)
{
  budget->leased = amount;
  budget->leased_until_ms = until_ms;
}

/* The host's own retries are used first, as they last, while a lease
   expires.  */
static bool
spend_retry (csp_retry_budget_t *budget, int64_t now_ms)
{
  if (budget->retries >= 1)
    {
      budget->retries -= 1;
      return true;
    }
  if (budget->leased == 0 || now_ms >= budget->leased_until_ms)
    return false;
  budget->leased--;
  return true;
}

static csp_retry_decision_t
deny (csp_retry_budget_t *budget, csp_retry_decision_t why)
{
  budget->denied++;
  return why;
}

csp_retry_decision_t
csp_decide_retry (csp_retry_budget_t *budget, const csp_retry_facts_t *facts)
{
  if (facts->tokens_sent)
    return deny (budget, CSP_RETRY_TOKENS_SENT);
  if (!facts->idempotent && facts->verdict != CSP_VERDICT_NOT_RUN)
    return deny (budget, CSP_RETRY_MAY_HAVE_RUN);
  if (facts->attempts >= budget->policy.attempts_max)
    return deny (budget, CSP_RETRY_ATTEMPTS_USED_UP);
  if (facts->left_ms <= facts->usual_first_token_ms)
    return deny (budget, CSP_RETRY_DEADLINE);
  if (!spend_retry (budget, facts->now_ms))
    return deny (budget, CSP_RETRY_BUDGET_USED_UP);
  budget->retried++;
  return CSP_RETRY_ALLOWED;
}

csp_retry_decision_t
csp_decide_hedge (csp_retry_budget_t *budget, const csp_retry_facts_t *facts)
{
  if (facts->tokens_sent)
    return CSP_RETRY_TOKENS_SENT;
  if (!facts->idempotent)
    return CSP_RETRY_MAY_HAVE_RUN;
  if (facts->attempts >= 2)
    return CSP_RETRY_ATTEMPTS_USED_UP;
  if (facts->left_ms <= facts->usual_first_token_ms)
    return CSP_RETRY_DEADLINE;
  if (facts->waiting != 0 || facts->load > hedge_load)
    return CSP_RETRY_BUSY;
  if (budget->hedges < 1)
    return deny (budget, CSP_RETRY_BUDGET_USED_UP);
  budget->hedges -= 1;
  budget->hedged++;
  return CSP_RETRY_ALLOWED;
}
