#include "cowslipspoke/retry-lease.h"

#include <string.h>

enum
{
  /* One half of the limit is lent; the other half covers the hosts' own
     budgets of one retry each, as a fleet has fewer hosts than half of its
     limit.  */
  LEASED_DIVISOR = 2
};

/* A third of 6 leases is 2, though the product may come out slightly
   lower.  */
static const double rounding_error = 1e-6;

/* Returns for how long a grant counts: it may be used just before it expires,
   and operators' windows with that moment end up to a window later.  */
static int64_t
grant_counts_ms (const csp_lease_pool_t *pool)
{
  int64_t lease_ms
      = pool->policy.lease_ms > 0 ? pool->policy.lease_ms : CSP_LEASE_MS;

  return lease_ms + (int64_t)pool->policy.window_ms;
}

/* Returns the length of a step, rounded up so that no grant is dropped too
   early: all grants of a step are dropped together, also those made at its
   end.  */
static int64_t
step_ms (const csp_lease_pool_t *pool)
{
  return grant_counts_ms (pool) / (CSP_LEASE_STEPS - 2) + 1;
}

static int64_t
step_at (const csp_lease_pool_t *pool, int64_t now_ms)
{
  return now_ms / step_ms (pool);
}

/* Advances to the current step and clears the counters of expired steps.  */
static void
advance_steps (csp_lease_pool_t *pool, int64_t now_ms)
{
  int64_t step = step_at (pool, now_ms);

  if (step - pool->step >= CSP_LEASE_STEPS)
    memset (pool->granted, 0, sizeof pool->granted);
  else
    while (pool->step < step)
      pool->granted[++pool->step % CSP_LEASE_STEPS] = 0;
  if (pool->step < step)
    pool->step = step;
}

void
csp_init_lease_pool (csp_lease_pool_t *pool, const csp_lease_policy_t *policy,
                     int64_t now_ms)
{
  *pool = (csp_lease_pool_t){ .policy = *policy };
  pool->step = step_at (pool, now_ms);
}

void
csp_set_lease_decider (csp_lease_pool_t *pool, bool decides, int64_t now_ms)
{
  if (decides && !pool->decides)
    pool->decides_since_ms = now_ms;
  pool->decides = decides;
}

uint32_t
csp_count_outstanding_leases (const csp_lease_pool_t *pool, int64_t now_ms)
{
  int64_t newest = step_at (pool, now_ms);
  uint32_t leased = 0;
  int64_t step;

  for (step = newest - CSP_LEASE_STEPS + 1; step <= pool->step; step++)
    if (step >= 0)
      leased += pool->granted[step % CSP_LEASE_STEPS];
  return leased;
}

static double
share_of (size_t count, size_t total)
{
  return count < total ? (double)count / (double)total : 1;
}

double
csp_decider_share (const csp_lease_facts_t *facts)
{
  if (facts->hosts_known == 0 || facts->data_centres_listed == 0)
    return 0;
  return share_of (facts->hosts_asking, facts->hosts_known)
         * share_of (facts->data_centres_live, facts->data_centres_listed);
}

/* Returns this host's part of the fleet's leases.  */
static uint32_t
lease_limit (const csp_lease_pool_t *pool, const csp_lease_facts_t *facts)
{
  uint32_t limit = pool->policy.max_per_window / LEASED_DIVISOR;

  return (uint32_t)(limit * csp_decider_share (facts) + rounding_error);
}

uint32_t
csp_count_grantable (csp_lease_pool_t *pool, const csp_lease_facts_t *facts,
                     int64_t now_ms)
{
  uint32_t limit = lease_limit (pool, facts);
  uint32_t leased;

  if (!pool->decides
      || now_ms - pool->decides_since_ms < grant_counts_ms (pool))
    return 0;
  advance_steps (pool, now_ms);
  leased = csp_count_outstanding_leases (pool, now_ms);
  return leased < limit ? limit - leased : 0;
}

uint32_t
csp_grant_leases (csp_lease_pool_t *pool, const csp_lease_facts_t *facts,
                  uint32_t wanted, int64_t now_ms)
{
  uint32_t grantable = csp_count_grantable (pool, facts, now_ms);

  if (wanted > grantable)
    wanted = grantable;
  if (wanted == 0)
    return 0;
  pool->granted[pool->step % CSP_LEASE_STEPS] += wanted;
  return wanted;
}
