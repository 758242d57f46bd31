#include "fleet/fleet-imp.h"

#include <math.h>
#include <string.h>

/* Chooses the target that a request goes to.

   Load pattern: several hosts send to the same few targets at once, and their
   reports of each other's load are some milliseconds old.  If all took the
   least loaded target they would collide there and its streams would pause
   together, so a random part breaks ties.  Targets that fail requests quickly
   look idle and attract more, so failures count as load.

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

/* Weight of one outcome in the moving average of failures: five failures in a
   row give two thirds.  */
static const double failure_average_weight = 0.2;

/* Half-life of the failure share without requests, so that a target that was
   avoided is tried again.  */
static const double failure_half_life_ms = 4000.0;

/* Prompt tokens that a busy engine reads per ms: half of the rate without
   other runs, as it reads between their steps.  */
static const double busy_prefill_tokens_per_ms = 7.0;

/* Prompt tokens that an engine without other runs reads per ms.  */
static const double idle_prefill_tokens_per_ms = 14.0;

/* Time per output token of a run beside some others.  */
static const double decode_token_ms = 9.0;

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

/* Range of the random part of a cost, which breaks ties.  */
static const double tie_break_ms = 20.0;

enum
{
  /* Half-life of the prompt tokens that an engine has read lately: long enough
     to cover some arrivals of each kind, and no longer than an engine's load
     stays the same.  */
  PROMPT_HALF_LIFE_MS = 2000,
  /* A target that refuses connections is avoided for that long, twice as long
     for each further failure, up to the maximum.  */
  UNREACHABLE_FIRST_MS = 250,
  UNREACHABLE_MAX_MS = 4000,
  UNREACHABLE_DOUBLINGS = 4
};

double
csp_decayed_failure_share (const csp_fleet_target_t *target, int64_t now_ms)
{
  double passed_ms = (double)(now_ms - target->failure_share_at_ms);

  if (target->failure_share <= 0)
    return 0;
  return target->failure_share
         * exp2 (-fmax (passed_ms, 0) / failure_half_life_ms);
}

/* Memory that is assigned at a target: runs, copies and reservations.  */
static uint64_t
assigned_tokens (const csp_fleet_target_t *target)
{
  return target->own.tokens + target->own.backup_tokens + target->others.tokens
         + target->others.backup_tokens + target->reserved.tokens;
}

/* The share of an engine's memory in use with this request.  */
static double
memory_share (const csp_fleet_target_t *target, const csp_fleet_need_t *need)
{
  uint64_t tokens = assigned_tokens (target) + need->tokens;

  return need->memory_tokens == 0 ? 0 : (double)tokens / need->memory_tokens;
}

static uint32_t
assigned_runs (const csp_fleet_target_t *target)
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

  return tokens_per_ms / idle_prefill_tokens_per_ms;
}

/* The expected decode time of the run.  */
static double
run_ms (const csp_fleet_need_t *need)
{
  return need->tokens > need->prompt_tokens
             ? (double)(need->tokens - need->prompt_tokens) * decode_token_ms
             : 0;
}

/* Expected delay by prompts: those ahead of this one, the runs that this
   prompt delays, and the prompts that will delay this run.  */
static double
prompt_cost (const csp_fleet_target_t *target, const csp_fleet_need_t *need,
             int64_t now_ms)
{
  double ahead
      = (double)(target->own.prefill_tokens + target->others.prefill_tokens)
        / busy_prefill_tokens_per_ms;
  double delay_of_runs = (double)need->prompt_tokens
                         / idle_prefill_tokens_per_ms
                         * (double)assigned_runs (target);

  return ahead + delay_of_runs
         + run_ms (need) * prompt_time_share (target, now_ms);
}

static double
distance_cost (const csp_fleet_need_t *need)
{
  if (need->is_copy)
    return remote_copy_cost_ms;
  if (!need->by_memory)
    return remote_cost_ms;
  return remote_run_cost_ms + remote_run_time_factor * run_ms (need);
}

static double
cost_of (const csp_fleet_target_t *target, const csp_fleet_need_t *need,
         int64_t now_ms)
{
  double runs = (double)assigned_runs (target) + 1;
  double cost = runs * run_cost_ms;
  double share = memory_share (target, need);

  if (need->by_memory && !need->is_copy)
    cost += prompt_cost (target, need, now_ms);
  if (share > memory_cost_threshold)
    cost += (share - memory_cost_threshold) * memory_cost_ms;
  cost *= 1 + failure_cost_factor * csp_decayed_failure_share (target, now_ms);
  if (target->data_centre != need->data_centre)
    cost += distance_cost (need);
  if (now_ms < target->warm_at_ms)
    cost += warming_cost_ms;
  return cost;
}

/* Whether the target would have too many prompts to read at once.  */
static bool
exceeds_prompt_limit (const csp_fleet_target_t *target,
                      const csp_fleet_need_t *need, int64_t now_ms)
{
  uint64_t reading = target->own.prefill_tokens + target->others.prefill_tokens
                     + target->reserved.prefill_tokens;
  uint64_t max_tokens = now_ms < target->warm_at_ms
                            ? need->prefill_tokens_max / 2
                            : need->prefill_tokens_max;

  return need->prefill_tokens_max > 0 && reading > 0
         && reading + need->prompt_tokens > max_tokens;
}

/* Whether the target has asked the sending host to back off.  */
static bool
is_backed_off_for_sender (const csp_fleet_target_t *target,
                          const csp_fleet_need_t *need, int64_t now_ms)
{
  size_t i;

  if (need->sent_by_this_host && csp_is_backed_off (target, now_ms))
    return true;
  for (i = 0; i < need->backoff_count; i++)
    if (need->backoffs[i] == target->hash)
      return true;
  return false;
}

/* Whether the sending host may ask for a grant to send the request there.  */
static bool
may_ask_grant (const csp_fleet_target_t *target, const csp_fleet_need_t *need,
               int64_t now_ms)
{
  return need->asks_rate_grant && target->rate_limited
         && !csp_is_cold_limited (target, now_ms)
         && csp_may_ask_rate_grant (&target->rate_limit, now_ms);
}

/* Whether damping lets the decider place the request there.  */
static bool
is_allowed_by_damping (const csp_fleet_target_t *target,
                       const csp_fleet_need_t *need, int64_t now_ms)
{
  return !target->restrained || need->role == NULL
         || csp_damping_allows (&target->damping, assigned_runs (target),
                                (uint32_t)run_ms (need), now_ms);
}

static bool
is_eligible (csp_fleet_target_t *target, const csp_fleet_need_t *need,
             int64_t now_ms)
{
  if (strcmp (target->group->service, need->service) != 0
      || exceeds_prompt_limit (target, need, now_ms)
      || (target->group->cut_off && !need->repeatable)
      || is_backed_off_for_sender (target, need, now_ms)
      || !is_allowed_by_damping (target, need, now_ms))
    return false;
  if (need->within_slots && assigned_runs (target) > 0 && target->row.slots > 0
      && assigned_runs (target) >= target->row.slots)
    return false;
  if (need->memory_share_max > 0
      && memory_share (target, need) > need->memory_share_max)
    return false;
  return csp_takes_new_work (target)
         && (csp_may_assign_request (target, need->role, now_ms)
             || may_ask_grant (target, need, now_ms))
         && target != need->excluded && target != need->also_excluded;
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

csp_fleet_target_t *
csp_choose_fleet_target (csp_fleet_t *fleet, const csp_fleet_need_t *need,
                         csp_random_t *random, int64_t now_ms)
{
  csp_fleet_target_t *best = NULL;
  double best_cost = INFINITY;
  bool best_avoided = true;
  size_t i;

  for (i = 0; i < fleet->count; i++)
    {
      csp_fleet_target_t *target = fleet->targets[i];
      bool avoided = now_ms < target->avoid_until_ms || target->group->cut_off
                     || target->state == CSP_FLEET_LAPSED;
      double cost;

      if (!is_eligible (target, need, now_ms) || (avoided && !best_avoided))
        continue;
      cost = cost_of (target, need, now_ms)
             + tie_break_ms * csp_random_unit (random);
      if (cost < best_cost || (best_avoided && !avoided))
        {
          best = target;
          best_cost = cost;
          best_avoided = avoided;
        }
    }
  return best;
}

void
csp_note_outcome (csp_fleet_target_t *target, bool failed, int64_t now_ms)
{
  double decayed_share = csp_decayed_failure_share (target, now_ms);

  target->failure_share = decayed_share * (1 - failure_average_weight)
                          + (failed ? failure_average_weight : 0);
  target->failure_share_at_ms = now_ms;
  target->unreachable = 0;
}

void
csp_note_unreachable (csp_fleet_target_t *target, int64_t now_ms)
{
  uint32_t doublings = target->unreachable < UNREACHABLE_DOUBLINGS
                           ? target->unreachable
                           : UNREACHABLE_DOUBLINGS;
  uint32_t for_ms = UNREACHABLE_FIRST_MS << doublings;

  target->unreachable++;
  csp_avoid_target (target,
                    for_ms < UNREACHABLE_MAX_MS ? for_ms : UNREACHABLE_MAX_MS,
                    now_ms);
}

void
csp_avoid_target (csp_fleet_target_t *target, uint32_t for_ms, int64_t now_ms)
{
  if (now_ms + for_ms > target->avoid_until_ms)
    target->avoid_until_ms = now_ms + for_ms;
}
