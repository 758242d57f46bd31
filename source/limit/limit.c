#include "cowslipspoke/limit.h"

#include <math.h>

/* Weight of the last round in the moving average of demand.  */
static const double demand_weight = 0.5;

static const double ms_per_s = 1000;

enum
{
  RETRY_OPEN_STREAMS_MS = 1000,
  RETRY_MAX_MS = 60000
};

csp_limit_policy_t
csp_default_limit_policy (void)
{
  csp_limit_policy_t policy = {
    .floor_share = 0.1, .max_growth = 2, .burst_s = 2, .stale_ms = 3000
  };

  return policy;
}

static double
bucket_capacity (const csp_limit_t *limit)
{
  return limit->tokens_per_s * limit->share * limit->policy.burst_s;
}

void
csp_init_limit (csp_limit_t *limit, const csp_limit_policy_t *policy,
                double tokens_per_s, uint32_t max_open, uint32_t hosts,
                int64_t now_ms)
{
  csp_limit_t fresh = { .policy = *policy,
                        .tokens_per_s = tokens_per_s,
                        .max_open = max_open,
                        .filled_ms = now_ms };

  *limit = fresh;
  limit->share = hosts <= 1 ? 1 : policy->floor_share / hosts;
  limit->bucket = bucket_capacity (limit);
}

void
csp_update_limit (csp_limit_t *limit, double tokens_per_s, uint32_t max_open)
{
  bool had_rate = limit->tokens_per_s > 0;

  limit->tokens_per_s = tokens_per_s;
  limit->max_open = max_open;
  /* Tokens that were used while no rate was declared aren't charged.
     Otherwise every request would be refused after the first declaration of a
     rate until the bucket is refilled.  */
  if (!had_rate)
    limit->bucket = bucket_capacity (limit);
  limit->bucket = fmin (limit->bucket, bucket_capacity (limit));
}

double
csp_publish_demand (csp_limit_t *limit)
{
  limit->demand += demand_weight * (limit->requested - limit->demand);
  limit->requested = 0;
  limit->published = limit->demand;
  return limit->published;
}

void
csp_update_limit_share (csp_limit_t *limit, const csp_limit_peer_t *peers,
                        uint32_t count)
{
  const csp_limit_policy_t *policy = &limit->policy;
  double total = limit->published;
  double demand_share = 1.0 / (count + 1);
  double new_share;
  bool any_silent = false;
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      total += peers[i].demand;
      any_silent = any_silent || peers[i].age_ms > policy->stale_ms;
    }
  if (total > 0)
    demand_share = limit->published / total;
  new_share = policy->floor_share / (count + 1)
              + (1 - policy->floor_share) * demand_share;
  if (new_share > limit->share && any_silent)
    return;
  limit->share = fmin (new_share, limit->share * policy->max_growth);
}

static void
refill_bucket (csp_limit_t *limit, int64_t now_ms)
{
  double seconds = (double)(now_ms - limit->filled_ms) / ms_per_s;

  if (seconds <= 0)
    return;
  limit->filled_ms = now_ms;
  limit->bucket
      = fmin (limit->bucket + seconds * limit->tokens_per_s * limit->share,
              bucket_capacity (limit));
}

/* With a limit of fewer streams than hosts the share of each host would round
   down to 0.  One stream is allowed on every host, so the limit can be
   exceeded up to the number of hosts.  */
static uint32_t
max_open_here (const csp_limit_t *limit)
{
  double most = limit->max_open * limit->share;

  return most < 1 ? 1 : (uint32_t)most;
}

static uint32_t
refill_time_ms (const csp_limit_t *limit)
{
  double rate = limit->tokens_per_s * limit->share;
  double ms = -limit->bucket / fmax (rate, 1e-6) * ms_per_s;

  return (uint32_t)fmin (ms + 1, RETRY_MAX_MS);
}

bool
csp_admit_limited_stream (csp_limit_t *limit, uint32_t cost_tokens,
                          int64_t now_ms, uint32_t *retry_after_ms)
{
  *retry_after_ms = 0;
  limit->requested += cost_tokens;
  refill_bucket (limit, now_ms);
  if (limit->max_open != 0 && limit->open >= max_open_here (limit))
    {
      *retry_after_ms = RETRY_OPEN_STREAMS_MS;
      return false;
    }
  if (limit->tokens_per_s > 0 && limit->bucket <= 0)
    {
      *retry_after_ms = refill_time_ms (limit);
      return false;
    }
  limit->bucket -= cost_tokens;
  limit->open++;
  return true;
}

void
csp_end_limited_stream (csp_limit_t *limit, uint32_t cost_tokens,
                        uint32_t used_tokens)
{
  limit->bucket += (double)cost_tokens - used_tokens;
  if (limit->open > 0)
    limit->open--;
}
