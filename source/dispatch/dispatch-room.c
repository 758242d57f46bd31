#include "dispatch/dispatch-imp.h"

#include <string.h>

enum
{
  /* A place that was given counts here until its host's own word of it must
     have come: a message there, one back, and the moment in which changes are
     told together.  */
  RESERVED_MS = 30,
  PERCENT = 100
};

static void
release (csp_reservation_t *reservation)
{
  csp_fleet_target_t *target = reservation->target;

  target->reserved.requests--;
  target->reserved.tokens -= reservation->tokens;
  target->reserved.reading_tokens -= reservation->reading_tokens;
  target->users--;
}

void
csp_reserve_place (csp_dispatch_t *dispatch, csp_fleet_target_t *target,
                   uint32_t tokens, uint32_t reading_tokens, int64_t now_ms)
{
  csp_reservation_t reservation = { .target = target,
                                    .tokens = tokens,
                                    .reading_tokens = reading_tokens,
                                    .until_ms = now_ms + RESERVED_MS };

  if (dispatch->reserved_count == CSP_DISPATCH_RESERVED_MAX)
    return;
  target->reserved.requests++;
  target->reserved.tokens += reservation.tokens;
  target->reserved.reading_tokens += reservation.reading_tokens;
  target->users++;
  dispatch->reserved[dispatch->reserved_count++] = reservation;
}

void
csp_expire_reserved (csp_dispatch_t *dispatch, int64_t now_ms)
{
  size_t kept = 0;
  size_t i;

  for (i = 0; i < dispatch->reserved_count; i++)
    if (now_ms >= dispatch->reserved[i].until_ms)
      release (&dispatch->reserved[i]);
    else
      dispatch->reserved[kept++] = dispatch->reserved[i];
  dispatch->reserved_count = kept;
}

void
csp_release_all_reserved (csp_dispatch_t *dispatch)
{
  size_t i;

  for (i = 0; i < dispatch->reserved_count; i++)
    release (&dispatch->reserved[i]);
  dispatch->reserved_count = 0;
}

/* How full the engines of a target's service are in all.  Hosts hear of it
   this way alone, since they don't know each other's loads.  */
static uint32_t
pool_percent (const csp_dispatch_t *dispatch, uint64_t target_hash)
{
  const csp_fleet_target_t *target
      = csp_find_hashed_target (dispatch->fleet, target_hash);
  double share = 0;
  size_t i;

  for (i = 0; target != NULL && i < dispatch->pool_count; i++)
    if (strcmp (dispatch->pools[i].service, target->row.service) == 0)
      share = csp_find_pool_share (dispatch->fleet, target->row.service,
                                   dispatch->pools[i].memory_tokens, 0);
  return (uint32_t)(share * PERCENT);
}

void
csp_answer_ask (csp_dispatch_t *dispatch, const csp_ask_t *ask,
                csp_ask_outcome_t outcome, uint64_t target,
                uint32_t retry_after_ms)
{
  csp_ask_answer_t told = { .host = ask->host,
                            .id = ask->id,
                            .outcome = outcome,
                            .target = target,
                            .retry_after_ms = retry_after_ms };

  if (outcome == CSP_ASK_PLACED)
    told.pool_percent = pool_percent (dispatch, target);
  if (outcome != CSP_ASK_WAITS)
    {
      dispatch->remembered[dispatch->remembered_next] = told;
      dispatch->remembered_next
          = (dispatch->remembered_next + 1) % CSP_DISPATCH_REMEMBERED;
    }
  dispatch->take (dispatch->state, &told);
}

/* The answer to this ask was lost on its way.  */
bool
csp_answer_again (csp_dispatch_t *dispatch, const csp_ask_t *ask)
{
  size_t i;

  for (i = 0; i < CSP_DISPATCH_REMEMBERED; i++)
    if (dispatch->remembered[i].outcome != CSP_ASK_WAITS
        && dispatch->remembered[i].id == ask->id
        && csp_is_same_peer (dispatch->remembered[i].host, ask->host))
      {
        dispatch->take (dispatch->state, &dispatch->remembered[i]);
        return true;
      }
  return false;
}
