#include "fleet/fleet-imp.h"

#include <math.h>
#include <string.h>

/* Chooses the target that a request goes to.

   Load pattern: several hosts send to the same few targets at once, and their
   reports of each other's load are some milliseconds old.  If all took the
   least loaded target they would collide there and its streams would pause
   together, so a random part breaks ties.  Targets that fail requests quickly
   look idle and attract more, so failures count as load.  */

/* Weight of one outcome in the moving average of failures: five failures in a
   row give two thirds.  */
static const double failure_average_weight = 0.2;

/* Half-life of the failure share without requests, so that a target that was
   avoided is tried again.  */
static const double failure_half_life_ms = 4000.0;

/* Range of the random part of a cost, which breaks ties.  */
static const double tie_break_ms = 20.0;

enum
{
  /* A target that refuses connections is avoided for that long, twice as long
     for each further failure, up to the maximum.  */
  UNREACHABLE_FIRST_MS = 250,
  UNREACHABLE_MAX_MS = 4000,
  UNREACHABLE_DOUBLINGS = 4
};

/* A target of a later rank is chosen only if none of an earlier one is
   eligible.  */
typedef enum
{
  RANK_USUAL,
  RANK_PAUSES,  /* streams there would pause for longer than allowed */
  RANK_AVOIDED, /* it will probably fail the request */
  /* Damping doesn't allow the request there, and it allows it at no other
     target of the service.  */
  RANK_DAMPED
} choice_rank_t;

double
csp_decayed_failure_share (const csp_fleet_target_t *target, int64_t now_ms)
{
  double passed_ms = (double)(now_ms - target->failure_share_at_ms);

  if (target->failure_share <= 0)
    return 0;
  return target->failure_share
         * exp2 (-fmax (passed_ms, 0) / failure_half_life_ms);
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
  uint32_t run_ms
      = need->is_copy ? need->left_ms : (uint32_t)csp_expected_run_ms (need);

  return !target->restrained || need->role == NULL
         || csp_damping_allows (&target->damping, csp_assigned_runs (target),
                                run_ms, now_ms);
}

static bool
is_cut_off (const csp_fleet_target_t *target, const csp_fleet_need_t *need)
{
  return need->for_any_host ? target->group->cut_for_all
                            : target->group->cut_off;
}

/* Whether a target that damping allows would take the request once it has
   capacity, so that damped ones aren't used instead.  */
static bool
will_take_requests (const csp_fleet_target_t *target,
                    const csp_fleet_need_t *need)
{
  return target->state == CSP_FLEET_READY && csp_takes_new_work (target)
         && !is_cut_off (target, need);
}

static bool
is_eligible (csp_fleet_target_t *target, const csp_fleet_need_t *need,
             int64_t now_ms)
{
  if (exceeds_prompt_limit (target, need, now_ms)
      || (is_cut_off (target, need) && !need->repeatable)
      || (need->only_reached
          && !csp_may_use_path (target, need->repeatable, now_ms))
      || is_backed_off_for_sender (target, need, now_ms))
    return false;
  if (need->within_slots && csp_assigned_runs (target) > 0
      && target->row.slots > 0
      && csp_assigned_runs (target) >= target->row.slots)
    return false;
  if (need->memory_share_max > 0
      && csp_memory_share (target, need) > need->memory_share_max)
    return false;
  return csp_takes_new_work (target)
         && (csp_may_assign_request (target, need->role, now_ms)
             || may_ask_grant (target, need, now_ms))
         && target != need->excluded && target != need->also_excluded;
}

static choice_rank_t
rank_target (const csp_fleet_target_t *target, const csp_fleet_need_t *need,
             double stretch, int64_t now_ms)
{
  if (now_ms < target->avoid_until_ms || is_cut_off (target, need)
      || target->state == CSP_FLEET_LAPSED)
    return RANK_AVOIDED;
  return csp_would_pause_streams (target, need, stretch) ? RANK_PAUSES
                                                         : RANK_USUAL;
}

csp_fleet_target_t *
csp_choose_fleet_target (csp_fleet_t *fleet, const csp_fleet_need_t *need,
                         csp_random_t *random, int64_t now_ms)
{
  double stretch
      = need->by_memory
            ? csp_rate_service_targets (fleet, need->service, now_ms)
            : 1;
  csp_fleet_target_t *best = NULL;
  double best_cost = INFINITY;
  choice_rank_t best_rank = RANK_DAMPED;
  bool has_allowed = false;
  size_t i;

  for (i = 0; i < fleet->count; i++)
    {
      csp_fleet_target_t *target = fleet->targets[i];
      choice_rank_t rank = RANK_DAMPED;
      double cost;

      if (strcmp (target->group->service, need->service) != 0)
        continue;
      if (is_allowed_by_damping (target, need, now_ms))
        {
          rank = rank_target (target, need, stretch, now_ms);
          has_allowed = has_allowed || will_take_requests (target, need);
        }
      if (!is_eligible (target, need, now_ms) || rank > best_rank)
        continue;
      cost = csp_cost_of_target (target, need, now_ms)
             + tie_break_ms * csp_random_unit (random);
      if (cost < best_cost || rank < best_rank)
        {
          best = target;
          best_cost = cost;
          best_rank = rank;
        }
    }
  return best_rank == RANK_DAMPED && has_allowed ? NULL : best;
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
