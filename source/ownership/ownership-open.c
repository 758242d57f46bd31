#include "ownership/ownership-imp.h"

#include <string.h>

bool
csp_is_ours (const csp_target_t *target)
{
  return target->state == CSP_OWN_CLOSED || target->state == CSP_OWN_OPENING
         || target->state == CSP_OWN_OPEN;
}

void
csp_close_target (csp_target_t *target, int64_t now_ms)
{
  target->state = CSP_OWN_CLOSED;
  target->opening = 0;
  target->closed_ms = now_ms;
  target->agreeing = 0;
  target->disagreeing = 0;
  target->clean = 0;
  target->foreign = false;
  target->has_report = false;
  target->others_least = 0;
  target->others_most = 0;
  memset (target->carries, 0, CSP_MAX_OWNERS * sizeof *target->carries);
}

static uint32_t
opening_limit (const csp_target_t *target)
{
  return target->foreign ? CSP_OPEN_FOREIGN : CSP_OPEN_FULL;
}

static void
set_opening (csp_target_t *target, uint32_t opening, int64_t now_ms)
{
  uint32_t limit = opening_limit (target);

  target->opening = opening < limit ? opening : limit;
  target->stepped_ms = now_ms;
  target->state
      = target->opening == CSP_OPEN_FULL ? CSP_OWN_OPEN : CSP_OWN_OPENING;
}

static void
sum_peer_tokens (const csp_ownership_t *ownership, csp_target_t *target)
{
  size_t slot;

  target->peer_tokens = 0;
  for (slot = 0; slot < ownership->owner_count; slot++)
    if (ownership->owners[slot]->used && ownership->owners[slot]->alive)
      target->peer_tokens += target->carries[slot].tokens;
}

/* Without a report only time can open a target: a service has none, and an
   engine's may be cut off.  */
static void
step_by_time (csp_target_t *target, int64_t now_ms)
{
  if (target->state == CSP_OWN_OPENING
      && now_ms - target->stepped_ms >= CSP_OPEN_STEP_MS
      && target->opening < opening_limit (target))
    set_opening (target, target->opening * 2, now_ms);
}

static bool
open_target (csp_ownership_t *ownership, csp_target_t *target, int64_t now_ms)
{
  uint32_t opening = target->opening;
  bool contested = now_ms - target->closed_ms >= CSP_CONTEST_MS;

  if (target->state == CSP_OWN_CLOSED && now_ms < ownership->lease_until_ms)
    {
      if (csp_all_peers_yielded (ownership, target))
        set_opening (target, CSP_OPEN_FIRST, now_ms);
      else if (contested)
        {
          ownership->contested++;
          set_opening (target, CSP_OPEN_FIRST, now_ms);
        }
    }
  step_by_time (target, now_ms);
  return target->opening != opening;
}

int64_t
csp_foreign_tokens (const csp_target_t *target)
{
  return target->others_least > target->peer_tokens
             ? target->others_least - target->peer_tokens
             : 0;
}

void
csp_open_targets (csp_ownership_t *ownership, int64_t now_ms)
{
  csp_target_t *target;
  size_t i;

  for (i = 0; i < ownership->target_count; i++)
    {
      target = ownership->targets[i];
      if (!target->used || !csp_is_ours (target))
        continue;
      sum_peer_tokens (ownership, target);
      ownership->number += open_target (ownership, target, now_ms);
    }
}

void
csp_tick_ownership (csp_ownership_t *ownership,
                    const csp_membership_t *membership, int64_t now_ms,
                    csp_carry_asks_t *asks)
{
  csp_follow_view (ownership, membership, now_ms);
  csp_open_targets (ownership, now_ms);
  csp_decide_carry_asks (ownership, now_ms, asks);
}

/* Keep one sample a second of the most that we carried in it.  */
static void
sample_carried (csp_target_t *target, int64_t now_ms)
{
  int64_t seconds = now_ms / 1000 - target->sampled_ms / 1000;
  int64_t i;

  if (seconds > CSP_CARRIED_SAMPLES)
    seconds = CSP_CARRIED_SAMPLES;
  for (i = 1; i <= seconds; i++)
    target->samples[(target->sampled_ms / 1000 + i) % CSP_CARRIED_SAMPLES]
        = target->carried_tokens;
  target->sampled_ms = now_ms;
}

void
csp_set_carried (csp_ownership_t *ownership, uint32_t index, int64_t tokens,
                 uint32_t streams, int64_t now_ms)
{
  csp_target_t *target = csp_get_target (ownership, index);
  int64_t *sample;

  if (target == NULL)
    return;
  sample_carried (target, now_ms);
  target->carried_tokens = tokens;
  target->carried_streams = streams;
  sample = &target->samples[(now_ms / 1000) % CSP_CARRIED_SAMPLES];
  if (*sample < tokens)
    *sample = tokens;
}

/* A report that lags may show anything that we carried since; the range over
   the lag is what it can agree with.  */
static void
find_carried_range (csp_target_t *target, int64_t now_ms, int64_t *least,
                    int64_t *most)
{
  size_t i;

  sample_carried (target, now_ms);
  *least = *most = target->carried_tokens;
  for (i = 0; i < CSP_CARRIED_SAMPLES; i++)
    {
      if (target->samples[i] < *least)
        *least = target->samples[i];
      if (target->samples[i] > *most)
        *most = target->samples[i];
    }
}

static int64_t
positive (int64_t tokens)
{
  return tokens > 0 ? tokens : 0;
}

/* Load that nobody we hear carries is believed when the least it can be is
   there twice.  It is believed gone when the most it can be is: an owner that
   drains would otherwise take its own falling load for the other's, open,
   and drain again, with the target at one and a half times its capacity.  */
static void
judge_foreign (csp_target_t *target, int64_t tolerance, int64_t now_ms)
{
  int64_t known = target->peer_tokens + tolerance;

  target->disagreeing
      = target->others_least > known ? target->disagreeing + 1 : 0;
  target->clean = target->others_most <= known ? target->clean + 1 : 0;
  if (target->disagreeing > 0)
    target->foreign_ms = now_ms;
  if (target->disagreeing >= 2)
    target->foreign = true;
  if (target->clean >= 2 || now_ms - target->foreign_ms >= CSP_FOREIGN_MS)
    target->foreign = false;
}

static void
judge_report (csp_target_t *target, int64_t now_ms)
{
  int64_t tolerance
      = target->capacity_tokens * CSP_AGREE_THOUSANDTHS / CSP_OPEN_FULL;
  int64_t least;
  int64_t most;

  find_carried_range (target, now_ms, &least, &most);
  target->others_least = positive (target->used_tokens - most);
  target->others_most = positive (target->used_tokens - least);
  judge_foreign (target, tolerance, now_ms);
  if (target->disagreeing > 0
      || target->used_tokens < least + target->peer_tokens - tolerance)
    target->agreeing = 0;
  else
    target->agreeing++;
}

void
csp_handle_load_report (csp_ownership_t *ownership, uint32_t index,
                        int64_t used_tokens, int64_t capacity_tokens,
                        bool leaving, int64_t now_ms)
{
  csp_target_t *target = csp_get_target (ownership, index);
  uint32_t opening;

  if (target == NULL)
    return;
  target->has_report = true;
  target->used_tokens = used_tokens;
  target->capacity_tokens = capacity_tokens;
  if (leaving != target->report_leaving)
    ownership->list_changed = true;
  target->report_leaving = leaving;
  if (leaving)
    {
      target->state = CSP_OWN_LEAVING;
      target->opening = 0;
      return;
    }
  if (!csp_is_ours (target))
    return;
  judge_report (target, now_ms);
  opening = target->opening;
  if (target->opening > opening_limit (target))
    set_opening (target, target->opening, now_ms);
  else if (target->state == CSP_OWN_OPENING && target->agreeing > 0
           && now_ms - target->stepped_ms >= CSP_CARRY_GAP_MS)
    set_opening (target, target->opening * 2, now_ms);
  ownership->number += target->opening != opening;
}

uint32_t
csp_find_opening (const csp_ownership_t *ownership, uint32_t index,
                  int64_t now_ms)
{
  const csp_target_t *target = csp_get_target (ownership, index);

  if (target == NULL || now_ms >= ownership->lease_until_ms)
    return 0;
  return target->opening;
}

int64_t
csp_find_room_tokens (const csp_ownership_t *ownership, uint32_t index,
                      int64_t now_ms)
{
  const csp_target_t *target = csp_get_target (ownership, index);
  int64_t others;
  int64_t room;

  if (csp_find_opening (ownership, index, now_ms) == 0 || !target->has_report)
    return 0;
  /* Whichever is more: a peer that fell silent says nothing any more, but its
     streams still show in the report.  */
  others = target->foreign ? target->others_most : target->others_least;
  if (others < target->peer_tokens)
    others = target->peer_tokens;
  room = target->capacity_tokens * target->opening / CSP_OPEN_FULL;
  if (room > target->capacity_tokens - others)
    room = target->capacity_tokens - others;
  return room > target->carried_tokens ? room - target->carried_tokens : 0;
}

int64_t
csp_grant_until_ms (const csp_ownership_t *ownership)
{
  return ownership->lease_until_ms;
}
