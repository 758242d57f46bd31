#include "admission/ledger-imp.h"
#include "cowslipspoke/placement.h"

#include <float.h>

csp_placement_policy_t
csp_default_placement_policy (void)
{
  csp_placement_policy_t policy = { .held_weight = 0.1 };

  return policy;
}

static double
estimate_cost (const csp_placement_policy_t *policy,
               const csp_candidate_t *candidate, const csp_stream_t *stream)
{
  const csp_ledger_t *ledger = candidate->ledger;
  double pending_tokens = ledger->unstarted_tokens;
  uint32_t cached_tokens = candidate->cached_tokens;

  if (cached_tokens < stream->prompt_tokens)
    pending_tokens += stream->prompt_tokens - cached_tokens;
  return (pending_tokens + policy->held_weight * ledger->used_tokens + 1)
         * candidate->slowness;
}

bool
csp_choose_target (const csp_placement_policy_t *policy,
                   const csp_candidate_t *candidates, uint32_t count,
                   const csp_stream_t *stream, int64_t now_ms,
                   uint32_t *chosen)
{
  double lowest_cost = DBL_MAX;
  forecast_t forecast;
  double cost;
  uint32_t i;

  if (count == 0)
    return false;
  csp_forecast_stream (candidates[0].ledger->lengths, stream, 0, &forecast);
  for (i = 0; i < count; i++)
    {
      cost = estimate_cost (policy, &candidates[i], stream);
      if (cost >= lowest_cost)
        continue;
      if (csp_decide_forecast (candidates[i].ledger, stream, &forecast,
                               candidates[i].usable_share, now_ms)
          != CSP_ADMIT)
        continue;
      lowest_cost = cost;
      *chosen = i;
    }
  return lowest_cost < DBL_MAX;
}

bool
csp_may_borrow (const csp_candidate_t *candidates, uint32_t count,
                uint64_t reserve_tokens, uint32_t memory_tokens,
                int64_t now_ms)
{
  double needed = (double)reserve_tokens + memory_tokens;
  double headroom = 0;
  uint32_t i;

  for (i = 0; i < count && headroom < needed; i++)
    headroom += candidates[i].usable_share
                * csp_ledger_headroom_tokens (candidates[i].ledger,
                                              CSP_PRIORITY_MAX, now_ms);
  return headroom >= needed;
}
