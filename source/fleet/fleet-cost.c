#include "fleet/fleet-imp.h"

#include "cowslipspoke/nominal-speed.h"

#include <math.h>
#include <string.h>

/* What a request costs at each target.

   Costs are in milliseconds of expected delay.  At a model engine that is
   above all the prompts that are read before the request's own: they are read
   one after another, between decode steps.  Each run makes the steps longer,
   and a run is preempted when memory runs out.

   A run is lost when its engine, its host or their connection fails, so a
   longer run is at risk for longer.  Prompts that are read between its steps
   are what prolongs a run most, and most of them belong to requests with short
   outputs.  So a prompt costs more the more runs it delays, and a long run
   avoids engines that have read much lately.  At 14 engines that read a fifth
   of the time an event of four tokens takes 35.1 ms with this rule, and 35.9
   ms if only the prompts ahead count.  */

/* Cost factor of a target that fails all its requests.  At half failing a
   target still gets a sixth of a healthy one's share, enough to detect its
   recovery.  */
static const double failure_cost_factor = 10.0;

/* What one more run costs all others at an engine, over its length, and what a
   request costs the next at a plain service.  */
static const double run_cost_ms = 40.0;

/* Above this share of memory the cost rises by memory_cost_ms per unit:
   engines preempt runs when memory is full, and expected lengths are often
   half of the true ones.  */
static const double memory_cost_threshold = 0.75;
static const double memory_cost_ms = 8000.0;

/* Cost of another data centre: fixed for a request to a plain service, and in
   proportion to the expected duration for a run.  When a data centre is cut
   off it keeps its callers, whose streams from elsewhere break or stall; and
   traffic between data centres costs money.  With this factor a run of 8 s
   goes elsewhere only if no local engine has capacity, while a short one goes
   elsewhere rather than wait for a prompt or two, which leaves local
   capacity to long runs.  With two data centres of three engines each, 30 of
   100 long runs end elsewhere, and 41 of 100 at a sixth of this factor.  */
static const double remote_cost_ms = 250.0;
static const double remote_run_cost_ms = 75.0;
static const double remote_run_time_factor = 1.5;

/* The same for a copy of a run's memory.  Between data centres a copy takes
   twice as long, some 0.5 s of an engine's link, and an engine that leaves has
   a second and a half for all its runs; so a copy goes there only if no local
   engine has capacity.  */
static const double remote_copy_cost_ms = 10000.0;

/* Cost of a target that is still warming up.  */
static const double warming_cost_ms = 250.0;

enum
{
  /* Half-life of the prompt tokens that an engine has read lately: long enough
     to cover some arrivals of each kind, and no longer than an engine's load
     stays the same.  */
  PROMPT_HALF_LIFE_MS = 2000,
  /* A run of this nominal length will probably see prompts of others.  */
  LONG_RUN_MS = 1000
};

/* Memory that is assigned at a target: runs, copies and reservations.  */
static uint64_t
assigned_tokens (const csp_fleet_target_t *target)
{
  return target->own.tokens + target->own.backup_tokens + target->others.tokens
         + target->others.backup_tokens + target->reserved.tokens;
}

double
csp_memory_share (const csp_fleet_target_t *target,
                  const csp_fleet_need_t *need)
{
  uint64_t tokens = assigned_tokens (target) + need->tokens;

  return need->memory_tokens == 0 ? 0 : (double)tokens / need->memory_tokens;
}

uint32_t
csp_assigned_runs (const csp_fleet_target_t *target)
{
  return target->own.requests + target->others.requests
         + target->reserved.requests;
}

static double
decayed_prompt_tokens (const csp_fleet_target_t *target, int64_t now_ms)
{
  double passed_ms = (double)(now_ms - target->recent_prompts_at_ms);

  if (target->recent_prompt_tokens <= 0)
    return 0;
  return target->recent_prompt_tokens
         * exp2 (-fmax (passed_ms, 0) / PROMPT_HALF_LIFE_MS);
}

void
csp_note_prompt_assigned (csp_fleet_target_t *target, uint32_t prompt_tokens,
                          int64_t now_ms)
{
  target->recent_prompt_tokens
      = decayed_prompt_tokens (target, now_ms) + prompt_tokens;
  target->recent_prompts_at_ms = now_ms;
}

/* The share of its time that an engine has spent reading prompts lately.  */
static double
prompt_time_share (const csp_fleet_target_t *target, int64_t now_ms)
{
  double tokens_per_ms
      = decayed_prompt_tokens (target, now_ms) * M_LN2 / PROMPT_HALF_LIFE_MS;

  return tokens_per_ms / CSP_IDLE_PREFILL_TOKENS_PER_MS;
}

double
csp_expected_run_ms (const csp_fleet_need_t *need)
{
  return need->tokens > need->prompt_tokens
             ? (double)(need->tokens - need->prompt_tokens)
                   * CSP_DECODE_TOKEN_MS
             : 0;
}

static uint64_t
prefill_tokens (const csp_fleet_target_t *target)
{
  return target->own.prefill_tokens + target->others.prefill_tokens;
}

/* Expected delay by prompts: those ahead of this one, the runs that this
   prompt delays, and the prompts that will delay this run.  All of it is
   longer at a slow target, and so is the run itself.  */
static double
prompt_cost (const csp_fleet_target_t *target, const csp_fleet_need_t *need,
             int64_t now_ms)
{
  double slowness = csp_get_slowness (&target->speed);
  double ahead
      = (double)prefill_tokens (target) / CSP_BUSY_PREFILL_TOKENS_PER_MS;
  double delay_of_runs = (double)need->prompt_tokens
                         / CSP_IDLE_PREFILL_TOKENS_PER_MS
                         * (double)csp_assigned_runs (target);

  return (ahead + delay_of_runs
          + csp_expected_run_ms (need) * prompt_time_share (target, now_ms))
             * slowness
         + csp_expected_run_ms (need) * (slowness - 1);
}

static double
distance_cost (const csp_fleet_need_t *need)
{
  if (need->is_copy)
    return remote_copy_cost_ms;
  if (!need->by_memory)
    return remote_cost_ms;
  return remote_run_cost_ms
         + remote_run_time_factor * csp_expected_run_ms (need);
}

/* While streams run at the target a prompt makes them pause; later prompts do
   the same to a long run, and those that are read now to a stream that moves
   there.  */
bool
csp_would_pause_streams (const csp_fleet_target_t *target,
                         const csp_fleet_need_t *need, double stretch)
{
  if (!need->by_memory
      || !csp_may_pause_too_long (&target->speed, stretch,
                                  need->longest_gap_ms))
    return false;
  if (need->is_copy)
    return prefill_tokens (target) + target->reserved.prefill_tokens > 0;
  return target->own.movable_tokens + target->others.movable_tokens > 0
         || csp_expected_run_ms (need) > LONG_RUN_MS;
}

double
csp_cost_of_target (const csp_fleet_target_t *target,
                    const csp_fleet_need_t *need, int64_t now_ms)
{
  double runs = (double)csp_assigned_runs (target) + 1;
  double cost = runs * run_cost_ms;
  double share = csp_memory_share (target, need);

  if (need->by_memory && !need->is_copy)
    cost += prompt_cost (target, need, now_ms);
  else
    cost += need->left_ms * (csp_get_slowness (&target->speed) - 1);
  if (share > memory_cost_threshold)
    cost += (share - memory_cost_threshold) * memory_cost_ms;
  cost *= 1 + failure_cost_factor * csp_decayed_failure_share (target, now_ms);
  if (target->data_centre != need->data_centre)
    cost += distance_cost (need);
  if (now_ms < target->warm_at_ms)
    cost += warming_cost_ms;
  return cost;
}

double
csp_find_pool_memory_share (const csp_fleet_t *fleet, const char *service,
                            uint32_t memory_tokens, uint64_t tokens)
{
  uint64_t memory = 0;
  size_t i;

  for (i = 0; i < fleet->count; i++)
    {
      const csp_fleet_target_t *target = fleet->targets[i];

      if (target->state != CSP_FLEET_READY || target->cordoned
          || strcmp (target->row.service, service) != 0)
        continue;
      memory += memory_tokens;
      tokens += assigned_tokens (target);
    }
  return memory == 0 ? 0 : (double)tokens / (double)memory;
}
