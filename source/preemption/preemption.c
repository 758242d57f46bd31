#include "admission/ledger-imp.h"
#include "cowslipspoke/preemption.h"

csp_preemption_policy_t
csp_default_preemption_policy (void)
{
  csp_preemption_policy_t policy
      = { .ahead_tokens = 32, .full_share = 1.0, .max_preemptions = 2 };

  return policy;
}

uint8_t
csp_compute_engine_priority (const csp_stream_t *stream)
{
  uint32_t priority = (uint32_t)stream->priority + stream->preempted_count;

  return (uint8_t)(priority < CSP_PRIORITY_MAX ? priority : CSP_PRIORITY_MAX);
}

/* Maximum of the expected memory up to ahead_tokens.  It includes the present,
   as the engine must not have to wait until some streams end.  */
static double
expected_peak_tokens (const csp_preemption_policy_t *policy,
                      const csp_ledger_t *ledger)
{
  double peak = 0;
  uint32_t i;

  for (i = 0; i < CSP_LEDGER_HORIZONS
              && csp_ledger_horizon_tokens[i] <= policy->ahead_tokens;
       i++)
    if (ledger->mean[i] > peak)
      peak = ledger->mean[i];
  return peak;
}

uint32_t
csp_expect_overrun (const csp_preemption_policy_t *policy,
                    const csp_ledger_t *ledger, int64_t now_ms)
{
  double full = policy->full_share * csp_ledger_memory_tokens (ledger, now_ms);
  double need = expected_peak_tokens (policy, ledger);

  if (!ledger->reported || need <= full)
    return 0;
  return (uint32_t)(need - full) + 1;
}

static bool
may_be_preempted (const csp_preemption_policy_t *policy,
                  const csp_stream_state_t *state)
{
  return state->generated_token_count == 0 && state->stream.repeatable
         && state->stream.preempted_count < policy->max_preemptions;
}

static bool
is_preempted_before (const csp_stream_t *one, const csp_stream_t *other)
{
  if (one->priority != other->priority)
    return one->priority < other->priority;
  if (one->preempted_count != other->preempted_count)
    return one->preempted_count < other->preempted_count;
  return one->prompt_tokens < other->prompt_tokens;
}

static bool
is_chosen (const uint32_t *handles, uint32_t count, uint32_t handle)
{
  uint32_t i;

  for (i = 0; i < count; i++)
    if (handles[i] == handle)
      return true;
  return false;
}

static uint32_t
find_next_victim (const csp_preemption_policy_t *policy,
                  const csp_ledger_t *ledger, const uint32_t *handles,
                  uint32_t count)
{
  uint32_t best = NO_HANDLE;
  const slot_t *slot;
  uint32_t i;

  for (i = 0; i < ledger->slot_count; i++)
    {
      slot = &ledger->slots[i];
      if (!slot->used || !may_be_preempted (policy, &slot->state)
          || is_chosen (handles, count, i))
        continue;
      if (best == NO_HANDLE
          || is_preempted_before (&slot->state.stream,
                                  &ledger->slots[best].state.stream))
        best = i;
    }
  return best;
}

uint32_t
csp_choose_victims (const csp_preemption_policy_t *policy,
                    const csp_ledger_t *ledger, int64_t now_ms,
                    uint32_t *handles, uint32_t max_victims)
{
  uint32_t overrun = csp_expect_overrun (policy, ledger, now_ms);
  uint32_t freed = 0;
  uint32_t count = 0;
  uint32_t handle;

  while (freed < overrun && count < max_victims)
    {
      handle = find_next_victim (policy, ledger, handles, count);
      if (handle == NO_HANDLE)
        break;
      handles[count++] = handle;
      freed += ledger->slots[handle].state.stream.prompt_tokens;
    }
  return count;
}
