#include "cowslipspoke/limit.h"

#include <math.h>

/* A round's demand counts half, what was before the other half.  */
static const double demand_weight = 0.5;

static const double ms_per_s = 1000;

enum
{
  RETRY_SOON_MS = 1000,
  RETRY_MOST_MS = 60000
};

csp_limit_policy_t
csp_default_limit_policy (void)
{
  csp_limit_policy_t policy
      = { .floor_share = 0.1, .rise = 2, .burst_s = 2, .stale_ms = 3000 };

  return policy;
}

static double
most_in_bucket (const csp_limit_t *limit)
{
  return limit->tokens_per_s * limit->share * limit->policy.burst_s;
}

void
csp_open_limit (csp_limit_t *limit, const csp_limit_policy_t *policy,
                double tokens_per_s, uint32_t most_open, uint32_t hosts,
                int64_t now_ms)
{
  csp_limit_t fresh = { .policy = *policy,
                        .tokens_per_s = tokens_per_s,
                        .most_open = most_open,
                        .filled_ms = now_ms };

  *limit = fresh;
  limit->share = hosts <= 1 ? 1 : policy->floor_share / hosts;
  limit->bucket = most_in_bucket (limit);
}

void
csp_change_limit (csp_limit_t *limit, double tokens_per_s, uint32_t most_open)
{
  bool counted = limit->tokens_per_s > 0;

  limit->tokens_per_s = tokens_per_s;
  limit->most_open = most_open;
  /* What was made while no rate was declared is no debt: the first rate would
     otherwise turn everybody away until it is worked off.  */
  if (!counted)
    limit->bucket = most_in_bucket (limit);
  limit->bucket = fmin (limit->bucket, most_in_bucket (limit));
}

double
csp_publish_demand (csp_limit_t *limit)
{
  limit->demand += demand_weight * (limit->asked - limit->demand);
  limit->asked = 0;
  limit->published = limit->demand;
  return limit->published;
}

void
csp_share_limit (csp_limit_t *limit, const csp_limit_peer_t *peers,
                 uint32_t count)
{
  const csp_limit_policy_t *policy = &limit->policy;
  double total = limit->published;
  double part = 1.0 / (count + 1);
  double wanted;
  bool silent = false;
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      total += peers[i].demand;
      silent = silent || peers[i].age_ms > policy->stale_ms;
    }
  if (total > 0)
    part = limit->published / total;
  wanted
      = policy->floor_share / (count + 1) + (1 - policy->floor_share) * part;
  if (wanted > limit->share && silent)
    return;
  limit->share = fmin (wanted, limit->share * policy->rise);
}

static void
fill_bucket (csp_limit_t *limit, int64_t now_ms)
{
  double seconds = (double)(now_ms - limit->filled_ms) / ms_per_s;

  if (seconds <= 0)
    return;
  limit->filled_ms = now_ms;
  limit->bucket
      = fmin (limit->bucket + seconds * limit->tokens_per_s * limit->share,
              most_in_bucket (limit));
}

/* A limit of fewer streams than hosts would be 0 for each by its share; one
   stream is allowed everywhere, and the excess is the number of hosts.  */
static uint32_t
most_open_here (const csp_limit_t *limit)
{
  double most = limit->most_open * limit->share;

  return most < 1 ? 1 : (uint32_t)most;
}

static uint32_t
time_to_fill_ms (const csp_limit_t *limit)
{
  double rate = limit->tokens_per_s * limit->share;
  double ms = -limit->bucket / fmax (rate, 1e-6) * ms_per_s;

  return (uint32_t)fmin (ms + 1, RETRY_MOST_MS);
}

bool
csp_open_limited (csp_limit_t *limit, uint32_t cost_tokens, int64_t now_ms,
                  uint32_t *retry_after_ms)
{
  *retry_after_ms = 0;
  limit->asked += cost_tokens;
  fill_bucket (limit, now_ms);
  if (limit->most_open != 0 && limit->open >= most_open_here (limit))
    {
      *retry_after_ms = RETRY_SOON_MS;
      return false;
    }
  if (limit->tokens_per_s > 0 && limit->bucket <= 0)
    {
      *retry_after_ms = time_to_fill_ms (limit);
      return false;
    }
  limit->bucket -= cost_tokens;
  limit->open++;
  return true;
}

void
csp_close_limited (csp_limit_t *limit, uint32_t cost_tokens,
                   uint32_t used_tokens)
{
  limit->bucket += (double)cost_tokens - used_tokens;
  if (limit->open > 0)
    limit->open--;
}
