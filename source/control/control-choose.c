#include "control/control-imp.h"

#include <stdlib.h>
#include <string.h>

/* Chooses the target of a request: collects the facts that placement, health
   and slow start need, and calls them.  */

static const double us_per_ms = 1000;

enum
{
  AVOID_MIN_MS = 500,
  AVOID_MAX_MS = 16000,
  AVOID_DOUBLINGS = 5,
  HEALTH_INTERVAL_MS = 1000,
  MAX_MEDIANS = 256,
  /* Targets listed within this time after the start of the host are taken to
     be in full service; targets listed later are new.  */
  STARTUP_MS = 10000
};

static bool
is_tried_target (const csp_tried_targets_t *tried, const char *target)
{
  uint32_t i;

  for (i = 0; i < tried->count; i++)
    if (strcmp (tried->names[i], target) == 0)
      return true;
  return false;
}

bool
csp_is_eligible_target (const csp_control_t *control, const char *pool,
                        csp_target_kind_t kind,
                        const csp_tried_targets_t *tried, uint32_t index)
{
  const csp_target_state_t *target = control->targets[index];

  return target != NULL && target->listed.kind == kind
         && target->listed.state == CSP_MEMBER_LIVE
         && strcmp (target->listed.pool, pool) == 0
         && !is_tried_target (tried, target->listed.name);
}

/* Whether a target may take a request now, whatever its load.  */
static bool
is_available_target (const csp_control_t *control, const char *pool,
                     csp_target_kind_t kind, const csp_tried_targets_t *tried,
                     uint32_t index, int64_t now_ms)
{
  return csp_is_eligible_target (control, pool, kind, tried, index)
         && now_ms >= control->targets[index]->avoid_until_ms;
}

/* Whether this host owns an engine that has free capacity for the stream,
   given its ledger, its open share and the slots that other hosts hold there.
 */
static bool
has_capacity (csp_control_t *control, const csp_stream_t *stream,
              uint32_t index, int64_t now_ms)
{
  const csp_target_state_t *target = control->targets[index];
  const csp_ledger_t *ledger = target->ledger;
  csp_stream_t needed = *stream;
  uint32_t open_share = csp_get_open_share (control->ownership, index, now_ms);
  uint64_t slots
      = csp_count_slot_tokens (control, target->listed.name, now_ms);
  uint64_t open_tokens
      = (uint64_t)csp_ledger_memory_tokens (ledger, now_ms) * open_share;
  uint64_t used_tokens = csp_ledger_used_tokens (ledger) + slots;

  needed.reserve_tokens += (uint32_t)slots;
  return open_share > 0 && !csp_ledger_leaving (ledger)
         && used_tokens * CSP_OPEN_SHARE_FULL <= open_tokens
         && csp_decide_admission (ledger, &needed, now_ms) == CSP_ADMIT;
}

/* The share of an engine that may be used for new work: its health limits it,
   and a new engine is opened step by step.  */
static double
usable_share (const csp_control_t *control, uint32_t index)
{
  const csp_target_state_t *target = control->targets[index];

  return csp_health_share (control->health, index)
         * target->slow_start.open_share;
}

static csp_candidate_t
describe_candidate (const csp_control_t *control, uint32_t index,
                    uint64_t prefix)
{
  const csp_target_state_t *target = control->targets[index];
  csp_candidate_t candidate
      = { .ledger = target->ledger,
          .cached_tokens = csp_cached_tokens (&target->prefixes, prefix),
          .usable_share = usable_share (control, index),
          .slowness = csp_health_slowness (control->health, index) };

  return candidate;
}

/* An engine that is closed for its health gets a single stream from time to
   time, to find out whether it has recovered.  */
static uint32_t
choose_probe (csp_control_t *control, const char *pool,
              const csp_tried_targets_t *tried, const csp_stream_t *stream,
              int64_t now_ms)
{
  uint32_t i;

  for (i = 0; i < control->target_capacity; i++)
    if (is_available_target (control, pool, CSP_TARGET_ENGINE, tried, i,
                             now_ms)
        && csp_health_share (control->health, i) <= 0
        && has_capacity (control, stream, i, now_ms)
        && csp_take_probe (control->health, i, control->targets[i]->streams,
                           now_ms))
      return i;
  return UINT32_MAX;
}

/* An organisation that uses more than its share must leave reserve_tokens free
   for the others.  They are counted over all engines of the pool together: if
   each engine had to keep them free, a pool of many engines would never lend
   anything.  */
bool
csp_may_borrow_in_pool (csp_control_t *control, const char *pool,
                        uint64_t reserve_tokens, uint32_t memory_tokens,
                        int64_t now_ms)
{
  static const csp_tried_targets_t none;
  uint32_t count = 0;
  uint32_t i;

  for (i = 0; i < control->target_capacity; i++)
    if (is_available_target (control, pool, CSP_TARGET_ENGINE, &none, i,
                             now_ms)
        && csp_get_open_share (control->ownership, i, now_ms) > 0)
      control->candidates[count++] = describe_candidate (control, i, 0);
  return csp_may_borrow (control->candidates, count, reserve_tokens,
                         memory_tokens, now_ms);
}

uint32_t
csp_choose_engine (csp_control_t *control, const char *pool,
                   const csp_tried_targets_t *tried,
                   const csp_stream_t *stream, uint64_t prefix, int64_t now_ms)
{
  csp_placement_policy_t policy = csp_default_placement_policy ();
  uint32_t chosen = choose_probe (control, pool, tried, stream, now_ms);
  uint32_t count = 0;
  uint32_t i;

  if (chosen != UINT32_MAX)
    return chosen;
  for (i = 0; i < control->target_capacity; i++)
    {
      if (!is_available_target (control, pool, CSP_TARGET_ENGINE, tried, i,
                                now_ms)
          || !has_capacity (control, stream, i, now_ms))
        continue;
      control->candidates[count] = describe_candidate (control, i, prefix);
      control->candidate_targets[count] = i;
      count++;
    }
  if (!csp_choose_target (&policy, control->candidates, count, stream, now_ms,
                          &chosen))
    return UINT32_MAX;
  return control->candidate_targets[chosen];
}

/* Services report no memory, so the one with the fewest open calls from this
   host is chosen, whoever owns it.  */
uint32_t
csp_choose_service (const csp_control_t *control,
                    const csp_admission_ask_t *ask, int64_t now_ms)
{
  uint32_t best = UINT32_MAX;
  uint32_t i;

  for (i = 0; i < control->target_capacity; i++)
    if (is_available_target (control, ask->terms.pool, CSP_TARGET_SERVICE,
                             &ask->tried, i, now_ms)
        && (best == UINT32_MAX
            || control->targets[i]->streams < control->targets[best]->streams))
      best = i;
  return best;
}

/* A target whose connections fail gets no new work for a time that doubles
   with each failure.  Otherwise the dead engine would be the emptiest, and
   every new request would try it first.  */
void
csp_note_target_link_end (csp_control_t *control, csp_target_state_t *target,
                          csp_link_end_t end, int64_t now_ms)
{
  uint32_t doublings = target->failures < AVOID_DOUBLINGS ? target->failures
                                                          : AVOID_DOUBLINGS;
  int64_t avoid_ms = (int64_t)AVOID_MIN_MS << doublings;

  if (end == CSP_LINK_COMPLETE)
    target->failures = 0;
  if (!csp_is_target_failure (end))
    return;
  target->failures++;
  csp_begin_slow_start (&target->slow_start, &control->slow_start_policy,
                        now_ms);
  target->avoid_until_ms
      = now_ms + (avoid_ms < AVOID_MAX_MS ? avoid_ms : AVOID_MAX_MS);
  CSP_LOG (control->context->log, CSP_EVENT_TARGET_LOST, NULL,
           csp_text ("target", target->listed.name),
           csp_text ("end", csp_link_end_name (end)),
           csp_number ("failures", target->failures));
}

void
csp_init_target_slow_start (csp_control_t *control, csp_target_state_t *target,
                            int64_t now_ms)
{
  if (now_ms - control->started_ms < STARTUP_MS)
    csp_skip_slow_start (&target->slow_start);
  else
    csp_begin_slow_start (&target->slow_start, &control->slow_start_policy,
                          now_ms);
}

static int
compare_numbers (const void *left, const void *right)
{
  uint32_t a = *(const uint32_t *)left;
  uint32_t b = *(const uint32_t *)right;

  return (a > b) - (a < b);
}

/* A host that owns only one or two engines can't tell from them which one is
   slow.  It compares them with the medians of the data centre's other hosts,
   which arrive in their heartbeats.  */
static void
update_fleet_health (csp_control_t *control, int64_t now_ms)
{
  size_t known = csp_count_hosts (control->membership);
  uint32_t medians[MAX_MEDIANS];
  uint32_t median_us = 0;
  uint32_t count = 0;
  uint32_t targets = 0;
  uint32_t restricted = 0;
  csp_host_view_t view;
  size_t i;

  for (i = 0; i < known && count < MAX_MEDIANS; i++)
    {
      csp_view_host (control->membership, i, now_ms, &view);
      if (!csp_is_live_local_peer (control, &view))
        continue;
      targets += view.owned_targets;
      restricted += view.targets_out;
      if (view.median_gap_us > 0)
        medians[count++] = view.median_gap_us;
    }
  qsort (medians, count, sizeof medians[0], compare_numbers);
  if (count > 0)
    median_us = medians[count / 2];
  csp_set_fleet_health (control->health, median_us / us_per_ms, targets,
                        restricted);
}

void
csp_tick_target_health (csp_control_t *control, int64_t now_ms)
{
  csp_target_state_t *target;
  uint32_t i;
  bool healthy;

  if (now_ms >= control->next_health_ms)
    {
      update_fleet_health (control, now_ms);
      csp_update_health (control->health, now_ms);
      control->next_health_ms = now_ms + HEALTH_INTERVAL_MS;
    }
  for (i = 0; i < control->target_capacity; i++)
    {
      target = control->targets[i];
      if (target == NULL)
        continue;
      healthy = now_ms >= target->avoid_until_ms
                && csp_ledger_foreign_tokens (target->ledger) == 0;
      csp_advance_slow_start (&target->slow_start, &control->slow_start_policy,
                              healthy, now_ms);
    }
}

static uint32_t
count_owners (csp_control_t *control, int64_t now_ms)
{
  size_t known = csp_count_hosts (control->membership);
  csp_host_view_t view;
  uint32_t owners = 0;
  size_t i;

  for (i = 0; i < known; i++)
    {
      csp_view_host (control->membership, i, now_ms, &view);
      if (csp_may_host_own_targets (&view))
        owners++;
    }
  return owners == 0 ? 1 : owners;
}

/* The queue computes shares of this host's part of the pool: the pool's memory
   divided by the number of hosts.  Engines owned by other hosts don't report
   here, so each is assumed to be as large as the largest that does.  */
void
csp_update_queue_capacity (csp_control_t *control, csp_pool_state_t *pool,
                           int64_t now_ms)
{
  uint32_t largest = 0;
  uint32_t count = 0;
  uint32_t memory;
  uint32_t i;

  for (i = 0; i < control->target_capacity; i++)
    {
      if (control->targets[i] == NULL
          || strcmp (control->targets[i]->listed.pool, pool->name) != 0)
        continue;
      count++;
      memory = csp_ledger_memory_tokens (control->targets[i]->ledger, now_ms);
      if (memory > largest)
        largest = memory;
    }
  pool->engine_tokens = largest;
  csp_set_capacity (pool->queue, (uint64_t)largest * count
                                     / count_owners (control, now_ms));
}
