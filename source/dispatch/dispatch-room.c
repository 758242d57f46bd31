#include "base/array-imp.h"
#include "dispatch/dispatch-imp.h"

#include <string.h>

enum
{
  /* A placement counts as a reservation until the host's own report of it must
     have arrived: a message there, one back, and the time for which changes
     are batched.  */
  RESERVATION_MS = 30,
  PERCENT = 100
};

static void
release_reservation (csp_reservation_t *reservation)
{
  csp_fleet_target_t *target = reservation->target;

  target->reserved.requests--;
  target->reserved.tokens -= reservation->tokens;
  target->reserved.prefill_tokens -= reservation->reading_tokens;
  target->users--;
}

/* When memory allocation fails the placement isn't counted until its host
   reports it.  */
void
csp_reserve_capacity (csp_dispatch_t *dispatch, csp_fleet_target_t *target,
                      uint32_t tokens, uint32_t reading_tokens, int64_t now_ms)
{
  csp_reservation_t reservation = { .target = target,
                                    .tokens = tokens,
                                    .reading_tokens = reading_tokens,
                                    .until_ms = now_ms + RESERVATION_MS };
  csp_reservation_t *reserved
      = csp_grow_array (dispatch->reserved, dispatch->reserved_count,
                        &dispatch->reserved_capacity, sizeof *reserved);

  if (reserved == NULL)
    return;
  dispatch->reserved = reserved;
  target->reserved.requests++;
  target->reserved.tokens += reservation.tokens;
  target->reserved.prefill_tokens += reservation.reading_tokens;
  target->users++;
  dispatch->reserved[dispatch->reserved_count++] = reservation;
}

void
csp_expire_reservations (csp_dispatch_t *dispatch, int64_t now_ms)
{
  size_t kept = 0;
  size_t i;

  for (i = 0; i < dispatch->reserved_count; i++)
    if (now_ms >= dispatch->reserved[i].until_ms)
      release_reservation (&dispatch->reserved[i]);
    else
      dispatch->reserved[kept++] = dispatch->reserved[i];
  dispatch->reserved_count = kept;
}

void
csp_release_all_reservations (csp_dispatch_t *dispatch)
{
  size_t i;

  for (i = 0; i < dispatch->reserved_count; i++)
    release_reservation (&dispatch->reserved[i]);
  dispatch->reserved_count = 0;
}

/* How full the engines of a target's service are, in percent of their memory.
   Answers to asks are the only way in which hosts learn this, since they don't
   know each other's loads.  */
static uint32_t
pool_percent (const csp_dispatch_t *dispatch, uint64_t target_hash)
{
  const csp_fleet_target_t *target
      = csp_find_target_by_hash (dispatch->fleet, target_hash);
  double share = 0;
  size_t i;

  for (i = 0; target != NULL && i < dispatch->pool_count; i++)
    if (strcmp (dispatch->pools[i].service, target->row.service) == 0)
      share = csp_find_pool_memory_share (dispatch->fleet, target->row.service,
                                          dispatch->pools[i].memory_tokens, 0);
  return (uint32_t)(share * PERCENT);
}

static void
send_final_answer (csp_dispatch_t *dispatch, const csp_ask_answer_t *answer)
{
  dispatch->recent_answers[dispatch->next_recent_answer] = *answer;
  dispatch->next_recent_answer
      = (dispatch->next_recent_answer + 1) % CSP_DISPATCH_RECENT_ANSWERS;
  dispatch->deliver (dispatch->state, answer);
}

void
csp_send_ask_answer (csp_dispatch_t *dispatch, const csp_ask_t *ask,
                     csp_ask_outcome_t outcome, uint64_t target,
                     uint32_t retry_after_ms)
{
  csp_ask_answer_t answer = { .host = ask->host,
                              .id = ask->id,
                              .outcome = outcome,
                              .target = target,
                              .retry_after_ms = retry_after_ms };

  if (outcome == CSP_ASK_PLACED)
    answer.pool_percent = pool_percent (dispatch, target);
  if (outcome == CSP_ASK_WAITS)
    dispatch->deliver (dispatch->state, &answer);
  else
    send_final_answer (dispatch, &answer);
}

void
csp_refuse_ask (csp_dispatch_t *dispatch, const csp_ask_t *ask,
                csp_traffic_class_t traffic_class,
                const csp_ask_refusal_t *refusal, uint32_t retry_after_ms)
{
  csp_ask_answer_t answer = { .host = ask->host,
                              .id = ask->id,
                              .outcome = CSP_ASK_REFUSED,
                              .retry_after_ms = retry_after_ms,
                              .refusal = *refusal };
  csp_class_counts_t *counts = &dispatch->class_counts[traffic_class];

  if (refusal->cause == CSP_REFUSED_AFTER_WAIT)
    counts->refused_after_wait++;
  else if (ask->moves_from == 0)
    counts->refused_on_arrival++;
  send_final_answer (dispatch, &answer);
}

/* Repeats an answer that the network may have lost.  */
bool
csp_resend_ask_answer (csp_dispatch_t *dispatch, const csp_ask_t *ask)
{
  size_t i;

  for (i = 0; i < CSP_DISPATCH_RECENT_ANSWERS; i++)
    if (dispatch->recent_answers[i].outcome != CSP_ASK_WAITS
        && dispatch->recent_answers[i].id == ask->id
        && csp_is_same_peer (dispatch->recent_answers[i].host, ask->host))
      {
        dispatch->deliver (dispatch->state, &dispatch->recent_answers[i]);
        return true;
      }
  return false;
}
