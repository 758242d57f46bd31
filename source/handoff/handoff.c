#include "cowslipspoke/handoff.h"

#include <stdlib.h>
#include <string.h>

enum
{
  MAX_COMMIT_ATTEMPTS = 3
};

/* No byte is sent before HANDOFF_SENT, so an end in an earlier state is
   `not run`.  */
typedef enum
{
  HANDOFF_RESERVING,
  HANDOFF_COMMITTING,
  HANDOFF_OPENING,
  HANDOFF_SENT,
  HANDOFF_STREAMING,
  HANDOFF_ENDED
} handoff_state_t;

/* peer: the peer asked now; its ask_id is ask.ask_id + peer.
   lease_start_ms: when the reserve, or the first commit, was sent.
   lease_expires_ms: end of the owner's lease, counted from lease_start_ms.
   next_tick_ms: when the current wait ends.
   draining_nonce: the slot released with maybe_decoding; 0 if none.
   retry_after_ms: the shortest retry time of all refusals; 0 if none.  */
struct csp_handoff_s
{
  csp_handoff_settings_t settings;
  csp_reserve_ask_t ask;
  handoff_state_t state;
  size_t peer;
  size_t peer_count;
  size_t commit_attempts;
  int64_t deadline_ms;
  int64_t lease_start_ms;
  int64_t lease_expires_ms;
  int64_t next_tick_ms;
  uint32_t retry_after_ms;
  csp_reason_t reason;
  uint64_t nonce;
  uint64_t draining_nonce;
  char target[CSP_TARGET_NAME_BYTES];
};

csp_handoff_settings_t
csp_default_handoff_settings (void)
{
  csp_handoff_settings_t settings
      = { .answer_timeout_ms = 200, .lease_margin_ms = 50 };

  return settings;
}

csp_handoff_t *
csp_create_handoff (const csp_handoff_settings_t *settings,
                    const csp_reserve_ask_t *ask, size_t peer_count,
                    int64_t deadline_ms)
{
  csp_handoff_t *handoff = calloc (1, sizeof *handoff);

  if (handoff == NULL)
    return NULL;
  handoff->settings = *settings;
  handoff->ask = *ask;
  handoff->peer_count = peer_count < CSP_HANDOFF_MAX_PEERS
                            ? peer_count
                            : CSP_HANDOFF_MAX_PEERS;
  handoff->deadline_ms = deadline_ms;
  handoff->next_tick_ms = INT64_MAX;
  handoff->reason = CSP_REASON_NO_TARGET;
  return handoff;
}

void
csp_destroy_handoff (csp_handoff_t *handoff)
{
  free (handoff);
}

static void
set_next_tick (csp_handoff_t *handoff, int64_t until_ms)
{
  handoff->next_tick_ms
      = until_ms < handoff->deadline_ms ? until_ms : handoff->deadline_ms;
}

static void
give_up (csp_handoff_t *handoff, csp_verdict_t verdict, csp_reason_t reason,
         const char *detail, csp_handoff_action_t *action)
{
  handoff->state = HANDOFF_ENDED;
  handoff->next_tick_ms = INT64_MAX;
  action->kind = CSP_HANDOFF_GIVE_UP;
  csp_set_error (&action->u.error, verdict, reason, handoff->retry_after_ms,
                 "%s", detail);
}

static void
fill_release (const csp_handoff_t *handoff, size_t peer, uint64_t nonce,
              bool maybe_decoding, csp_handoff_action_t *action)
{
  action->has_release = true;
  action->release_peer = peer;
  action->release.ask_id = handoff->ask.ask_id + peer;
  action->release.sender = handoff->ask.sender;
  action->release.nonce = nonce;
  action->release.maybe_decoding = maybe_decoding;
}

static void
release_slot (csp_handoff_t *handoff, bool maybe_decoding,
              csp_handoff_action_t *action)
{
  if (handoff->nonce == 0)
    return;
  fill_release (handoff, handoff->peer, handoff->nonce, maybe_decoding,
                action);
  handoff->draining_nonce = maybe_decoding ? handoff->nonce : 0;
  handoff->nonce = 0;
}

/* The lease starts before the ask is sent.  If it started with the answer, a
   sender that was paused while the answer was queued in its socket would use a
   slot that the owner has already granted to another.  */
static void
send_reserve (csp_handoff_t *handoff, int64_t now_ms,
              csp_handoff_action_t *action)
{
  handoff->state = HANDOFF_RESERVING;
  handoff->lease_start_ms = now_ms;
  handoff->nonce = 0;
  handoff->commit_attempts = 0;
  set_next_tick (handoff, now_ms + handoff->settings.answer_timeout_ms);
  action->kind = CSP_HANDOFF_SEND_RESERVE;
  action->peer = handoff->peer;
  action->u.reserve = handoff->ask;
  action->u.reserve.ask_id += handoff->peer;
}

/* Releases the slot and asks the next peer.  Only to be called if no byte was
   sent or the target refused before it started; otherwise the request could
   run twice.  */
static void
try_next_peer (csp_handoff_t *handoff, int64_t now_ms,
               csp_handoff_action_t *action)
{
  release_slot (handoff, false, action);
  if (now_ms >= handoff->deadline_ms)
    give_up (handoff, CSP_VERDICT_NOT_RUN, CSP_REASON_DEADLINE,
             "the deadline passed before a target was found", action);
  else if (handoff->peer + 1 >= handoff->peer_count)
    give_up (handoff, CSP_VERDICT_NOT_RUN, handoff->reason,
             "no host asked had a target to give", action);
  else
    {
      handoff->peer++;
      send_reserve (handoff, now_ms, action);
    }
}

static void
send_commit (csp_handoff_t *handoff, uint64_t holdings_number, int64_t now_ms,
             csp_handoff_action_t *action)
{
  if (handoff->commit_attempts == 0)
    handoff->lease_start_ms = now_ms;
  handoff->commit_attempts++;
  handoff->state = HANDOFF_COMMITTING;
  set_next_tick (handoff, now_ms + handoff->settings.answer_timeout_ms);
  action->kind = CSP_HANDOFF_SEND_COMMIT;
  action->peer = handoff->peer;
  action->u.commit.ask_id = handoff->ask.ask_id + handoff->peer;
  action->u.commit.sender = handoff->ask.sender;
  action->u.commit.nonce = handoff->nonce;
  action->u.commit.holdings_number = holdings_number;
}

static int64_t
compute_lease_expiry (const csp_handoff_t *handoff, uint32_t lease_ms)
{
  return handoff->lease_start_ms + lease_ms
         - handoff->settings.lease_margin_ms;
}

/* Releases a slot granted by a late answer, when an owner was paused or slow
   and the sender has already asked another peer.  Released at once, the slot's
   capacity is not lost until its lease ends.  */
static void
release_late_slot (const csp_handoff_t *handoff, size_t peer, uint64_t nonce,
                   csp_handoff_action_t *action)
{
  bool is_current = peer == handoff->peer && nonce == handoff->nonce;

  if (nonce != 0 && !is_current)
    fill_release (handoff, peer, nonce, false, action);
}

static void
record_refusal (csp_handoff_t *handoff, uint32_t retry_after_ms)
{
  handoff->reason = CSP_REASON_OVERLOADED;
  if (handoff->retry_after_ms == 0 || retry_after_ms < handoff->retry_after_ms)
    handoff->retry_after_ms = retry_after_ms;
}

static void
handle_reserve_answer (csp_handoff_t *handoff,
                       const csp_handoff_event_t *event,
                       uint64_t holdings_number, int64_t now_ms,
                       csp_handoff_action_t *action)
{
  const csp_reserve_answer_t *answer = &event->u.reserve;

  if (handoff->state != HANDOFF_RESERVING || event->peer != handoff->peer
      || answer->ask_id != handoff->ask.ask_id + handoff->peer)
    {
      if (answer->granted)
        release_late_slot (handoff, event->peer, answer->nonce, action);
      return;
    }
  if (!answer->granted)
    {
      record_refusal (handoff, answer->retry_after_ms);
      try_next_peer (handoff, now_ms, action);
      return;
    }
  handoff->nonce = answer->nonce;
  memcpy (handoff->target, answer->target, sizeof handoff->target);
  handoff->lease_expires_ms = compute_lease_expiry (handoff, answer->lease_ms);
  if (now_ms >= handoff->lease_expires_ms || now_ms >= handoff->deadline_ms)
    try_next_peer (handoff, now_ms, action);
  else
    send_commit (handoff, holdings_number, now_ms, action);
}

static void
handle_commit_answer (csp_handoff_t *handoff, const csp_handoff_event_t *event,
                      int64_t now_ms, csp_handoff_action_t *action)
{
  const csp_commit_answer_t *answer = &event->u.commit;

  if (handoff->state != HANDOFF_COMMITTING || event->peer != handoff->peer
      || answer->nonce != handoff->nonce)
    {
      if (answer->held)
        release_late_slot (handoff, event->peer, answer->nonce, action);
      return;
    }
  if (!answer->held)
    {
      handoff->nonce = 0;
      try_next_peer (handoff, now_ms, action);
      return;
    }
  handoff->lease_expires_ms = compute_lease_expiry (handoff, answer->lease_ms);
  if (now_ms >= handoff->lease_expires_ms || now_ms >= handoff->deadline_ms)
    {
      try_next_peer (handoff, now_ms, action);
      return;
    }
  handoff->state = HANDOFF_OPENING;
  set_next_tick (handoff, handoff->lease_expires_ms);
  action->kind = CSP_HANDOFF_OPEN_TARGET;
  memcpy (action->u.target, handoff->target, sizeof action->u.target);
}

/* A sender that was paused may resume after its lease has expired, when the
   owner has granted the capacity to another; the engine would be overcommitted
   and preempt.  So the lease is checked again here, after connecting and
   immediately before bytes are sent.  The state changes first: from now on no
   end is `not run` unless the target refused before it started.  */
static void
permit_send (csp_handoff_t *handoff, int64_t now_ms,
             csp_handoff_action_t *action)
{
  if (handoff->state != HANDOFF_OPENING)
    return;
  if (now_ms >= handoff->lease_expires_ms || now_ms >= handoff->deadline_ms)
    {
      try_next_peer (handoff, now_ms, action);
      return;
    }
  handoff->state = HANDOFF_SENT;
  handoff->next_tick_ms = handoff->deadline_ms;
  action->kind = CSP_HANDOFF_SEND_REQUEST;
}

static void
handle_tick (csp_handoff_t *handoff, uint64_t holdings_number, int64_t now_ms,
             csp_handoff_action_t *action)
{
  if (now_ms < handoff->next_tick_ms)
    return;
  switch (handoff->state)
    {
    case HANDOFF_RESERVING:
    case HANDOFF_OPENING:
      try_next_peer (handoff, now_ms, action);
      return;
    case HANDOFF_COMMITTING:
      if (handoff->commit_attempts < MAX_COMMIT_ATTEMPTS
          && now_ms < handoff->deadline_ms)
        send_commit (handoff, holdings_number, now_ms, action);
      else
        try_next_peer (handoff, now_ms, action);
      return;
    case HANDOFF_SENT:
      release_slot (handoff, true, action);
      give_up (handoff, CSP_VERDICT_MAY_HAVE_RUN, CSP_REASON_DEADLINE,
               "the deadline passed without a token", action);
      return;
    case HANDOFF_STREAMING:
    case HANDOFF_ENDED:
      return;
    }
}

static void
handle_target_failure (csp_handoff_t *handoff, csp_handoff_action_t *action)
{
  if (handoff->state != HANDOFF_SENT && handoff->state != HANDOFF_STREAMING)
    return;
  release_slot (handoff, true, action);
  if (handoff->state == HANDOFF_STREAMING)
    give_up (handoff, CSP_VERDICT_RAN, CSP_REASON_STREAM_CUT,
             "the target's answer was cut", action);
  else
    give_up (handoff, CSP_VERDICT_MAY_HAVE_RUN, CSP_REASON_TARGET_FAILED,
             "the target failed after the request was sent", action);
}

static void
handle_target_refusal (csp_handoff_t *handoff, csp_reason_t reason,
                       int64_t now_ms, csp_handoff_action_t *action)
{
  if (handoff->state != HANDOFF_OPENING && handoff->state != HANDOFF_SENT)
    return;
  handoff->reason = reason;
  try_next_peer (handoff, now_ms, action);
}

static csp_verdict_t
get_verdict (const csp_handoff_t *handoff)
{
  switch (handoff->state)
    {
    case HANDOFF_SENT:
      return CSP_VERDICT_MAY_HAVE_RUN;
    case HANDOFF_STREAMING:
      return CSP_VERDICT_RAN;
    case HANDOFF_RESERVING:
    case HANDOFF_COMMITTING:
    case HANDOFF_OPENING:
    case HANDOFF_ENDED:
      break;
    }
  return CSP_VERDICT_NOT_RUN;
}

static void
handle_caller_gone (csp_handoff_t *handoff, csp_handoff_action_t *action)
{
  csp_verdict_t verdict = get_verdict (handoff);

  if (handoff->state == HANDOFF_ENDED)
    return;
  release_slot (handoff, verdict != CSP_VERDICT_NOT_RUN, action);
  give_up (handoff, verdict, CSP_REASON_NONE, "the caller hung up", action);
}

static void
handle_first_token (csp_handoff_t *handoff)
{
  if (handoff->state != HANDOFF_SENT)
    return;
  handoff->state = HANDOFF_STREAMING;
  handoff->next_tick_ms = INT64_MAX;
}

static void
handle_finished (csp_handoff_t *handoff, csp_handoff_action_t *action)
{
  if (handoff->state != HANDOFF_SENT && handoff->state != HANDOFF_STREAMING)
    return;
  release_slot (handoff, false, action);
  handoff->state = HANDOFF_ENDED;
  handoff->next_tick_ms = INT64_MAX;
  action->kind = CSP_HANDOFF_DONE;
}

/* Once the slot is held, its owner is no longer needed, since the sender
   itself connects to the target.  */
static void
handle_peer_lost (csp_handoff_t *handoff, size_t peer, int64_t now_ms,
                  csp_handoff_action_t *action)
{
  if (peer != handoff->peer)
    return;
  if (handoff->state == HANDOFF_RESERVING
      || handoff->state == HANDOFF_COMMITTING)
    try_next_peer (handoff, now_ms, action);
}

void
csp_start_handoff (csp_handoff_t *handoff, int64_t now_ms,
                   csp_handoff_action_t *action)
{
  memset (action, 0, sizeof *action);
  if (handoff->peer_count == 0 || now_ms >= handoff->deadline_ms)
    {
      handoff->peer = handoff->peer_count;
      try_next_peer (handoff, now_ms, action);
      return;
    }
  send_reserve (handoff, now_ms, action);
}

void
csp_step_handoff (csp_handoff_t *handoff, const csp_handoff_event_t *event,
                  uint64_t holdings_number, int64_t now_ms,
                  csp_handoff_action_t *action)
{
  memset (action, 0, sizeof *action);
  switch (event->kind)
    {
    case CSP_HANDOFF_TICK:
      handle_tick (handoff, holdings_number, now_ms, action);
      return;
    case CSP_HANDOFF_RESERVE_ANSWER:
      handle_reserve_answer (handoff, event, holdings_number, now_ms, action);
      return;
    case CSP_HANDOFF_COMMIT_ANSWER:
      handle_commit_answer (handoff, event, now_ms, action);
      return;
    case CSP_HANDOFF_PEER_LOST:
      handle_peer_lost (handoff, event->peer, now_ms, action);
      return;
    case CSP_HANDOFF_BEFORE_SEND:
      permit_send (handoff, now_ms, action);
      return;
    case CSP_HANDOFF_NOT_SENT:
      handle_target_refusal (handoff, CSP_REASON_TARGET_UNREACHABLE, now_ms,
                             action);
      return;
    case CSP_HANDOFF_TARGET_REFUSED:
      handle_target_refusal (handoff, CSP_REASON_TARGET_REFUSED, now_ms,
                             action);
      return;
    case CSP_HANDOFF_TARGET_FAILED:
      handle_target_failure (handoff, action);
      return;
    case CSP_HANDOFF_FIRST_TOKEN:
      handle_first_token (handoff);
      return;
    case CSP_HANDOFF_FINISHED:
      handle_finished (handoff, action);
      return;
    case CSP_HANDOFF_CALLER_GONE:
      handle_caller_gone (handoff, action);
      return;
    case CSP_HANDOFF_CANCEL_CONFIRMED:
      if (handoff->draining_nonce != 0)
        fill_release (handoff, handoff->peer, handoff->draining_nonce, false,
                      action);
      handoff->draining_nonce = 0;
      return;
    }
}

int64_t
csp_next_handoff_tick (const csp_handoff_t *handoff)
{
  return handoff->next_tick_ms;
}

bool
csp_get_handoff_slot (const csp_handoff_t *handoff, size_t *peer,
                      csp_held_slot_t *slot)
{
  if (handoff->state == HANDOFF_RESERVING || handoff->state == HANDOFF_ENDED
      || handoff->nonce == 0)
    return false;
  *peer = handoff->peer;
  slot->ask_id = handoff->ask.ask_id + handoff->peer;
  slot->nonce = handoff->nonce;
  memcpy (slot->target, handoff->target, sizeof slot->target);
  slot->expected_tokens = handoff->ask.expected_tokens;
  return true;
}
