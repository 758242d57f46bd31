#include "fleet/fleet-imp.h"

#include <math.h>
#include <string.h>

/* Which target a request goes to.

   Load pattern: several hosts send to the same few targets at once, and what
   they tell each other is some milliseconds old.  If all took the first of
   the least loaded they would meet on one target, whose streams then pause
   together; so equals are drawn by lot.  Targets that fail part of their
   requests look idle, as failures are quick, and draw more and more; so
   failures weigh as load.

   Costs are in milliseconds of delay that a request would meet.  At a model
   engine that is above all the prompts that are read before its own: they are
   read one after another, between the steps of the runs.  Each run makes the
   steps longer; and memory that runs out throws a run out.

   A run is lost when its engine, its host or the link between them goes, so
   each second that it takes longer puts it at risk for a second more.  What
   makes runs long is above all prompts of others that are read between their
   steps, and most of those belong to requests that write a few tokens.  So a
   prompt counts for every run that it would hold up, and a long run counts
   what its engine has read lately: short requests gather where few runs are,
   and runs go where little is read, as far as there is room.  At 14 engines
   that read a fifth of the time an event of four tokens takes 35.1 ms so, and
   35.9 ms where only the prompts ahead count (mean of ten days).  */

/* A target that fails all its requests counts as this many times as loaded;
   at half failing it still gets a sixth of a sound one's share, enough to see
   that it has recovered.  */
static const double failing_weight = 10.0;

/* How much one more request counts in the share of failures: five bad ones
   in a row are two thirds.  */
static const double outcome_weight = 0.2;

/* The share of failures halves in that time without requests, so that a
   target that was left alone is tried again.  */
static const double fade_half_ms = 4000.0;

/* What a busy engine reads, in tokens a ms: 14 alone, half of that between the
   steps of other runs.  */
static const double read_tokens_per_ms = 7.0;

/* What it reads alone.  */
static const double read_alone_tokens_per_ms = 14.0;

/* What a token takes in a run beside some others.  */
static const double token_ms = 9.0;

/* What one more run costs all others at an engine, over its length, and what
   a request costs the next at a plain service.  */
static const double run_cost_ms = 40.0;

/* From this share of memory on, each further part costs as if it were read
   again: engines throw runs out when it is full, and expected lengths are
   often half of the true ones.  */
static const double memory_comfort = 0.75;
static const double memory_cost_ms = 8000.0;

/* A target elsewhere, for a request of some tens of ms; and for a run by the
   time that it will take.  A data centre that is cut off keeps its callers,
   whose streams from elsewhere break or stand still; and bytes between data
   centres cost.  A text of 8 s goes elsewhere where none near has room, and a
   short answer rather than wait behind a prompt or two, so that texts find
   room near.  Of the texts of two data centres of three engines each 30 in 100
   end elsewhere so, and 41 in 100 at a sixth of this (20 days).  */
static const double elsewhere_cost_ms = 250.0;
static const double run_elsewhere_cost_ms = 75.0;
static const double run_elsewhere_part = 1.5;

/* The same for a copy of a run's memory.  Between data centres it takes twice
   as long, some 0.5 s of an engine's link, and an engine that leaves has a
   second and a half for all its runs; so it goes there only where no engine
   near has room.  */
static const double copy_elsewhere_cost_ms = 10000.0;

/* A target that still warms up.  */
static const double warming_cost_ms = 250.0;

/* Equals are drawn by lot within this.  */
static const double lot_ms = 20.0;

enum
{
  /* What an engine has read lately counts half after that time: some
     arrivals of each kind, and no longer than engines stay as they are.  */
  READ_HALF_MS = 2000,
  /* A target that takes no connection is left alone for that long, twice as
     long for each further time, up to the last.  */
  UNREACHABLE_FIRST_MS = 250,
  UNREACHABLE_MOST_MS = 4000,
  UNREACHABLE_DOUBLINGS = 4
};

double
csp_fading_failures (const csp_fleet_target_t *target, int64_t now_ms)
{
  double passed_ms = (double)(now_ms - target->counted_at_ms);

  if (target->failing <= 0)
    return 0;
  return target->failing * exp2 (-fmax (passed_ms, 0) / fade_half_ms);
}

/* Memory that is given away at a target.  */
static uint64_t
tokens_at (const csp_fleet_target_t *target)
{
  return target->own.tokens + target->own.backup_tokens + target->others.tokens
         + target->others.backup_tokens + target->reserved.tokens;
}

/* How full an engine's memory would be with this request.  */
static double
memory_share (const csp_fleet_target_t *target, const csp_fleet_need_t *need)
{
  uint64_t tokens = tokens_at (target) + need->tokens;

  return need->memory_tokens == 0 ? 0 : (double)tokens / need->memory_tokens;
}

static uint32_t
runs_at (const csp_fleet_target_t *target)
{
  return target->own.requests + target->others.requests
         + target->reserved.requests;
}

static double
read_lately (const csp_fleet_target_t *target, int64_t now_ms)
{
  double passed_ms = (double)(now_ms - target->read_at_ms);

  return target->read_tokens * exp2 (-fmax (passed_ms, 0) / READ_HALF_MS);
}

void
csp_note_prompt_given (csp_fleet_target_t *target, uint32_t prompt_tokens,
                       int64_t now_ms)
{
  target->read_tokens = read_lately (target, now_ms) + prompt_tokens;
  target->read_at_ms = now_ms;
}

/* The part of its time that an engine has read lately.  */
static double
reading_share (const csp_fleet_target_t *target, int64_t now_ms)
{
  double tokens_per_ms = read_lately (target, now_ms) * M_LN2 / READ_HALF_MS;

  return tokens_per_ms / read_alone_tokens_per_ms;
}

/* How long the run will probably write.  */
static double
run_ms (const csp_fleet_need_t *need)
{
  return need->tokens > need->prompt_tokens
             ? (double)(need->tokens - need->prompt_tokens) * token_ms
             : 0;
}

/* What a prompt costs that is read before, beside and after others.  */
static double
reading_cost (const csp_fleet_target_t *target, const csp_fleet_need_t *need,
              int64_t now_ms)
{
  double ahead
      = (double)(target->own.reading_tokens + target->others.reading_tokens)
        / read_tokens_per_ms;
  double holds_up = (double)need->prompt_tokens / read_alone_tokens_per_ms
                    * (double)runs_at (target);

  return ahead + holds_up + run_ms (need) * reading_share (target, now_ms);
}

static double
distance_cost (const csp_fleet_need_t *need)
{
  if (need->is_copy)
    return copy_elsewhere_cost_ms;
  if (!need->by_memory)
    return elsewhere_cost_ms;
  return run_elsewhere_cost_ms + run_elsewhere_part * run_ms (need);
}

static double
cost_of (const csp_fleet_target_t *target, const csp_fleet_need_t *need,
         int64_t now_ms)
{
  double runs = (double)runs_at (target) + 1;
  double cost = runs * run_cost_ms;
  double share = memory_share (target, need);

  if (need->by_memory && !need->is_copy)
    cost += reading_cost (target, need, now_ms);
  if (share > memory_comfort)
    cost += (share - memory_comfort) * memory_cost_ms;
  cost *= 1 + failing_weight * csp_fading_failures (target, now_ms);
  if (target->data_centre != need->data_centre)
    cost += distance_cost (need);
  if (now_ms < target->warm_at_ms)
    cost += warming_cost_ms;
  return cost;
}

/* Whether the prompts that a target reads at once would keep each other.  */
static bool
reads_too_much (const csp_fleet_target_t *target, const csp_fleet_need_t *need,
                int64_t now_ms)
{
  uint64_t reading = target->own.reading_tokens + target->others.reading_tokens
                     + target->reserved.reading_tokens;
  uint64_t most = now_ms < target->warm_at_ms ? need->reading_tokens_max / 2
                                              : need->reading_tokens_max;

  return need->reading_tokens_max > 0 && reading > 0
         && reading + need->prompt_tokens > most;
}

/* Whether it has asked the host that would send it this for a wait.  */
static bool
wants_a_wait (const csp_fleet_target_t *target, const csp_fleet_need_t *need,
              int64_t now_ms)
{
  size_t i;

  if (need->own && csp_is_backed_off (target, now_ms))
    return true;
  for (i = 0; i < need->backoff_count; i++)
    if (need->backoffs[i] == target->hash)
      return true;
  return false;
}

static bool
may_get (csp_fleet_target_t *target, const csp_fleet_need_t *need,
         int64_t now_ms)
{
  if (reads_too_much (target, need, now_ms)
      || (target->cut_off && !need->repeatable)
      || wants_a_wait (target, need, now_ms))
    return false;
  if (need->within_slots && target->row.slots > 0
      && runs_at (target) >= target->row.slots)
    return false;
  if (need->memory_share_max > 0
      && memory_share (target, need) > need->memory_share_max)
    return false;
  return csp_takes_new_work (target)
         && csp_may_give_place (target, need->duty, now_ms)
         && target != need->not_this && target != need->nor_this
         && strcmp (target->row.service, need->service) == 0;
}

double
csp_find_pool_share (const csp_fleet_t *fleet, const char *service,
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
      tokens += tokens_at (target);
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
      bool avoided = now_ms < target->avoid_until_ms || target->cut_off
                     || target->state == CSP_FLEET_LAPSED;
      double cost;

      if (!may_get (target, need, now_ms) || (avoided && !best_avoided))
        continue;
      cost
          = cost_of (target, need, now_ms) + lot_ms * csp_random_unit (random);
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
  double faded = csp_fading_failures (target, now_ms);

  target->failing
      = faded * (1 - outcome_weight) + (failed ? outcome_weight : 0);
  target->counted_at_ms = now_ms;
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
  csp_avoid_target (
      target, for_ms < UNREACHABLE_MOST_MS ? for_ms : UNREACHABLE_MOST_MS,
      now_ms);
}

void
csp_avoid_target (csp_fleet_target_t *target, uint32_t for_ms, int64_t now_ms)
{
  if (now_ms + for_ms > target->avoid_until_ms)
    target->avoid_until_ms = now_ms + for_ms;
}
