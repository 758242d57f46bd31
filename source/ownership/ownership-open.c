#include "ownership/ownership-imp.h"

#include <string.h>

bool
csp_is_owned_target (const csp_target_t *target)
{
  return target->state == CSP_OWN_CLOSED || target->state == CSP_OWN_OPENING
         || target->state == CSP_OWN_OPEN;
}

void
csp_close_target (csp_target_t *target, int64_t now_ms)
{
  target->state = CSP_OWN_CLOSED;
  target->open_share = 0;
  target->closed_at_ms = now_ms;
  target->agreeing_reports = 0;
  target->foreign_reports = 0;
  target->clean_reports = 0;
  target->foreign = false;
  target->has_report = false;
  target->others_tokens_min = 0;
  target->others_tokens_max = 0;
  memset (target->peer_answers, 0,
          CSP_MAX_OWNERS * sizeof *target->peer_answers);
}

static uint32_t
open_share_limit (const csp_target_t *target)
{
  return target->foreign ? CSP_OPEN_SHARE_FOREIGN : CSP_OPEN_SHARE_FULL;
}

static void
set_open_share (csp_target_t *target, uint32_t open_share, int64_t now_ms)
{
  uint32_t limit = open_share_limit (target);

  target->open_share = open_share < limit ? open_share : limit;
  target->open_share_set_ms = now_ms;
  target->state = target->open_share == CSP_OPEN_SHARE_FULL ? CSP_OWN_OPEN
                                                            : CSP_OWN_OPENING;
}

static void
sum_peer_tokens (const csp_ownership_t *ownership, csp_target_t *target)
{
  size_t slot;

  target->peer_tokens = 0;
  for (slot = 0; slot < ownership->owner_count; slot++)
    if (ownership->owners[slot]->used && ownership->owners[slot]->alive)
      target->peer_tokens += target->peer_answers[slot].tokens;
}

/* Without reports the open share is raised by time: a service sends none, and
   an engine's may not arrive.  */
static void
raise_share_by_time (csp_target_t *target, int64_t now_ms)
{
  if (target->state == CSP_OWN_OPENING
      && now_ms - target->open_share_set_ms >= CSP_OPEN_STEP_MS
      && target->open_share < open_share_limit (target))
    set_open_share (target, target->open_share * 2, now_ms);
}

static bool
update_open_share (csp_ownership_t *ownership, csp_target_t *target,
                   int64_t now_ms)
{
  uint32_t open_share = target->open_share;
  bool contested = now_ms - target->closed_at_ms >= CSP_CONTEST_TIMEOUT_MS;

  if (target->state == CSP_OWN_CLOSED && now_ms < ownership->lease_until_ms)
    {
      if (csp_all_peers_yielded (ownership, target))
        set_open_share (target, CSP_OPEN_SHARE_INITIAL, now_ms);
      else if (contested)
        {
          ownership->contested++;
          set_open_share (target, CSP_OPEN_SHARE_INITIAL, now_ms);
        }
    }
  raise_share_by_time (target, now_ms);
  return target->open_share != open_share;
}

int64_t
csp_compute_foreign_tokens (const csp_target_t *target)
{
  return target->others_tokens_min > target->peer_tokens
             ? target->others_tokens_min - target->peer_tokens
             : 0;
}

void
csp_update_open_shares (csp_ownership_t *ownership, int64_t now_ms)
{
  csp_target_t *target;
  size_t i;

  for (i = 0; i < ownership->target_count; i++)
    {
      target = ownership->targets[i];
      if (!target->used || !csp_is_owned_target (target))
        continue;
      sum_peer_tokens (ownership, target);
      ownership->version += update_open_share (ownership, target, now_ms);
    }
}

void
csp_tick_ownership (csp_ownership_t *ownership,
                    const csp_membership_t *membership, int64_t now_ms,
                    csp_load_queries_t *queries)
{
  csp_apply_membership_view (ownership, membership, now_ms);
  csp_update_open_shares (ownership, now_ms);
  csp_plan_load_queries (ownership, now_ms, queries);
}

/* Keep for each second the maximum load that this host carried in it.  */
static void
sample_carried (csp_target_t *target, int64_t now_ms)
{
  int64_t seconds = now_ms / 1000 - target->sampled_ms / 1000;
  int64_t i;

  if (seconds > CSP_CARRIED_SAMPLES)
    seconds = CSP_CARRIED_SAMPLES;
  for (i = 1; i <= seconds; i++)
    target->carried_samples[(target->sampled_ms / 1000 + i)
                            % CSP_CARRIED_SAMPLES]
        = target->carried_tokens;
  target->sampled_ms = now_ms;
}

void
csp_set_carried_load (csp_ownership_t *ownership, uint32_t index,
                      int64_t tokens, uint32_t streams, int64_t now_ms)
{
  csp_target_t *target = csp_get_target (ownership, index);
  int64_t *sample;

  if (target == NULL)
    return;
  sample_carried (target, now_ms);
  target->carried_tokens = tokens;
  target->carried_streams = streams;
  sample = &target->carried_samples[(now_ms / 1000) % CSP_CARRIED_SAMPLES];
  if (*sample < tokens)
    *sample = tokens;
}

/* The range of this host's load over the lag of reports: a report may show any
   value in it.  */
static void
find_carried_range (csp_target_t *target, int64_t now_ms, int64_t *min_tokens,
                    int64_t *max_tokens)
{
  size_t i;

  sample_carried (target, now_ms);
  *min_tokens = *max_tokens = target->carried_tokens;
  for (i = 0; i < CSP_CARRIED_SAMPLES; i++)
    {
      if (target->carried_samples[i] < *min_tokens)
        *min_tokens = target->carried_samples[i];
      if (target->carried_samples[i] > *max_tokens)
        *max_tokens = target->carried_samples[i];
    }
}

static int64_t
at_least_zero (int64_t tokens)
{
  return tokens > 0 ? tokens : 0;
}

/* Foreign load is assumed once two reports in a row show some even by its
   lower bound, and assumed gone once two show none even by its upper bound.
   With the lower bound for both, an owner that drains would take its own
   falling load for the end of the foreign load, open and drain again, with the
   target at one and a half times its capacity.  */
static void
update_foreign (csp_target_t *target, int64_t tolerance, int64_t now_ms)
{
  int64_t known = target->peer_tokens + tolerance;

  target->foreign_reports
      = target->others_tokens_min > known ? target->foreign_reports + 1 : 0;
  target->clean_reports
      = target->others_tokens_max <= known ? target->clean_reports + 1 : 0;
  if (target->foreign_reports > 0)
    target->foreign_seen_ms = now_ms;
  if (target->foreign_reports >= 2)
    target->foreign = true;
  if (target->clean_reports >= 2
      || now_ms - target->foreign_seen_ms >= CSP_FOREIGN_EXPIRY_MS)
    target->foreign = false;
}

static void
compare_report (csp_target_t *target, int64_t now_ms)
{
  int64_t tolerance
      = target->capacity_tokens * CSP_AGREE_THOUSANDTHS / CSP_OPEN_SHARE_FULL;
  int64_t min_tokens;
  int64_t max_tokens;

  find_carried_range (target, now_ms, &min_tokens, &max_tokens);
  target->others_tokens_min = at_least_zero (target->used_tokens - max_tokens);
  target->others_tokens_max = at_least_zero (target->used_tokens - min_tokens);
  update_foreign (target, tolerance, now_ms);
  if (target->foreign_reports > 0
      || target->used_tokens < min_tokens + target->peer_tokens - tolerance)
    target->agreeing_reports = 0;
  else
    target->agreeing_reports++;
}

void
csp_handle_load_report (csp_ownership_t *ownership, uint32_t index,
                        int64_t used_tokens, int64_t capacity_tokens,
                        bool leaving, int64_t now_ms)
{
  csp_target_t *target = csp_get_target (ownership, index);
  uint32_t open_share;

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
      target->open_share = 0;
      return;
    }
  if (!csp_is_owned_target (target))
    return;
  compare_report (target, now_ms);
  open_share = target->open_share;
  if (target->open_share > open_share_limit (target))
    set_open_share (target, target->open_share, now_ms);
  else if (target->state == CSP_OWN_OPENING && target->agreeing_reports > 0
           && now_ms - target->open_share_set_ms >= CSP_LOAD_QUERY_GAP_MS)
    set_open_share (target, target->open_share * 2, now_ms);
  ownership->version += target->open_share != open_share;
}

uint32_t
csp_get_open_share (const csp_ownership_t *ownership, uint32_t index,
                    int64_t now_ms)
{
  const csp_target_t *target = csp_get_target (ownership, index);

  if (target == NULL || now_ms >= ownership->lease_until_ms)
    return 0;
  return target->open_share;
}

int64_t
csp_get_free_tokens (const csp_ownership_t *ownership, uint32_t index,
                     int64_t now_ms)
{
  const csp_target_t *target = csp_get_target (ownership, index);
  int64_t others;
  int64_t available;

  if (csp_get_open_share (ownership, index, now_ms) == 0
      || !target->has_report)
    return 0;
  /* The larger value counts: a peer that fell silent no longer answers, but
     its streams still show in the report.  */
  others = target->foreign ? target->others_tokens_max
                           : target->others_tokens_min;
  if (others < target->peer_tokens)
    others = target->peer_tokens;
  available
      = target->capacity_tokens * target->open_share / CSP_OPEN_SHARE_FULL;
  if (available > target->capacity_tokens - others)
    available = target->capacity_tokens - others;
  return available > target->carried_tokens
             ? available - target->carried_tokens
             : 0;
}

int64_t
csp_get_grant_lease_until_ms (const csp_ownership_t *ownership)
{
  return ownership->lease_until_ms;
}
