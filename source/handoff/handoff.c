#include "cowslipspoke/handoff.h"

#include <stdlib.h>
#include <string.h>

enum
{
  MAX_COMMITS = 3
};

/* Until SENT no byte has left, so every end before it is `not run`.  */
typedef enum
{
  HANDOFF_RESERVING,
  HANDOFF_COMMITTING,
  HANDOFF_OPENING,
  HANDOFF_SENT,
  HANDOFF_STREAMING,
  HANDOFF_ENDED
} handoff_state_t;

/* peer: the one asked now; its ask_id is ask.ask_id + peer.
   lease_until_ms: what the owner granted, counted from before the ask.
   tick_ms: when the present wait ends.
   draining_nonce: the slot let go with maybe_decoding; 0 for none.
   retry_after_ms: the least that a refusal named; 0 without one.  */
struct csp_handoff_s
{
  csp_handoff_settings_t settings;
  csp_reserve_ask_t ask;
  handoff_state_t state;
  size_t peer;
  size_t peer_count;
  size_t commits;
  int64_t deadline_ms;
  int64_t asked_ms;
  int64_t lease_until_ms;
  int64_t tick_ms;
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
  handoff->tick_ms = INT64_MAX;
  handoff->reason = CSP_REASON_NO_TARGET;
  return handoff;
}

void
csp_destroy_handoff (csp_handoff_t *handoff)
{
  free (handoff);
}

static void
wait_until (csp_handoff_t *handoff, int64_t until_ms)
{
  handoff->tick_ms
      = until_ms < handoff->deadline_ms ? until_ms : handoff->deadline_ms;
}

static void
give_up (csp_handoff_t *handoff, csp_verdict_t verdict, csp_reason_t reason,
         const char *detail, csp_handoff_action_t *action)
{
  handoff->state = HANDOFF_ENDED;
  handoff->tick_ms = INT64_MAX;
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

/* The lease is counted from here, before the ask leaves.  Counted from the
   answer, a sender that slept while the answer lay in its socket would hold
   a slot that the owner gave away long ago.  */
static void
ask_peer (csp_handoff_t *handoff, int64_t now_ms, csp_handoff_action_t *action)
{
  handoff->state = HANDOFF_RESERVING;
  handoff->asked_ms = now_ms;
  handoff->nonce = 0;
  handoff->commits = 0;
  wait_until (handoff, now_ms + handoff->settings.answer_timeout_ms);
  action->kind = CSP_HANDOFF_SEND_RESERVE;
  action->peer = handoff->peer;
  action->u.reserve = handoff->ask;
  action->u.reserve.ask_id += handoff->peer;
}

/* No byte has left, or the target said that it started nothing: another peer
   may be asked without a second run.  */
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
      ask_peer (handoff, now_ms, action);
    }
}

static void
send_commit (csp_handoff_t *handoff, uint64_t holdings_number, int64_t now_ms,
             csp_handoff_action_t *action)
{
  if (handoff->commits == 0)
    handoff->asked_ms = now_ms;
  handoff->commits++;
  handoff->state = HANDOFF_COMMITTING;
  wait_until (handoff, now_ms + handoff->settings.answer_timeout_ms);
  action->kind = CSP_HANDOFF_SEND_COMMIT;
  action->peer = handoff->peer;
  action->u.commit.ask_id = handoff->ask.ask_id + handoff->peer;
  action->u.commit.sender = handoff->ask.sender;
  action->u.commit.nonce = handoff->nonce;
  action->u.commit.holdings_number = holdings_number;
}

static int64_t
end_lease (const csp_handoff_t *handoff, uint32_t lease_ms)
{
  return handoff->asked_ms + lease_ms - handoff->settings.lease_margin_ms;
}

/* An answer nobody waits for any more: an owner that was paused or far away
   granted after the sender had gone on.  Given back at once, the slot is not
   lost for its lease.  */
static void
return_late_slot (const csp_handoff_t *handoff, size_t peer, uint64_t nonce,
                  csp_handoff_action_t *action)
{
  bool present = peer == handoff->peer && nonce == handoff->nonce;

  if (nonce != 0 && !present)
    fill_release (handoff, peer, nonce, false, action);
}

static void
keep_refusal (csp_handoff_t *handoff, uint32_t retry_after_ms)
{
  handoff->reason = CSP_REASON_OVERLOADED;
  if (handoff->retry_after_ms == 0 || retry_after_ms < handoff->retry_after_ms)
    handoff->retry_after_ms = retry_after_ms;
}

static void
take_reserve_answer (csp_handoff_t *handoff, const csp_handoff_event_t *event,
                     uint64_t holdings_number, int64_t now_ms,
                     csp_handoff_action_t *action)
{
  const csp_reserve_answer_t *answer = &event->u.reserve;

  if (handoff->state != HANDOFF_RESERVING || event->peer != handoff->peer
      || answer->ask_id != handoff->ask.ask_id + handoff->peer)
    {
      if (answer->granted)
        return_late_slot (handoff, event->peer, answer->nonce, action);
      return;
    }
  if (!answer->granted)
    {
      keep_refusal (handoff, answer->retry_after_ms);
      try_next_peer (handoff, now_ms, action);
      return;
    }
  handoff->nonce = answer->nonce;
  memcpy (handoff->target, answer->target, sizeof handoff->target);
  handoff->lease_until_ms = end_lease (handoff, answer->lease_ms);
  if (now_ms >= handoff->lease_until_ms || now_ms >= handoff->deadline_ms)
    try_next_peer (handoff, now_ms, action);
  else
    send_commit (handoff, holdings_number, now_ms, action);
}

static void
take_commit_answer (csp_handoff_t *handoff, const csp_handoff_event_t *event,
                    int64_t now_ms, csp_handoff_action_t *action)
{
  const csp_commit_answer_t *answer = &event->u.commit;

  if (handoff->state != HANDOFF_COMMITTING || event->peer != handoff->peer
      || answer->nonce != handoff->nonce)
    {
      if (answer->held)
        return_late_slot (handoff, event->peer, answer->nonce, action);
      return;
    }
  if (!answer->held)
    {
      handoff->nonce = 0;
      try_next_peer (handoff, now_ms, action);
      return;
    }
  handoff->lease_until_ms = end_lease (handoff, answer->lease_ms);
  if (now_ms >= handoff->lease_until_ms || now_ms >= handoff->deadline_ms)
    {
      try_next_peer (handoff, now_ms, action);
      return;
    }
  handoff->state = HANDOFF_OPENING;
  wait_until (handoff, handoff->lease_until_ms);
  action->kind = CSP_HANDOFF_OPEN_TARGET;
  memcpy (action->u.target, handoff->target, sizeof action->u.target);
}

/* A sender that was paused wakes up believing that its slot is its own, while
   the owner has long given the room to another; the engine would be filled
   twice and preempt.  So the lease is looked at again here, after connecting
   and immediately before bytes leave.  The state changes first: from now on
   no end is `not run` unless the target says so.  */
static void
permit_send (csp_handoff_t *handoff, int64_t now_ms,
             csp_handoff_action_t *action)
{
  if (handoff->state != HANDOFF_OPENING)
    return;
  if (now_ms >= handoff->lease_until_ms || now_ms >= handoff->deadline_ms)
    {
      try_next_peer (handoff, now_ms, action);
      return;
    }
  handoff->state = HANDOFF_SENT;
  handoff->tick_ms = handoff->deadline_ms;
  action->kind = CSP_HANDOFF_SEND_REQUEST;
}

static void
take_tick (csp_handoff_t *handoff, uint64_t holdings_number, int64_t now_ms,
           csp_handoff_action_t *action)
{
  if (now_ms < handoff->tick_ms)
    return;
  switch (handoff->state)
    {
    case HANDOFF_RESERVING:
    case HANDOFF_OPENING:
      try_next_peer (handoff, now_ms, action);
      return;
    case HANDOFF_COMMITTING:
      if (handoff->commits < MAX_COMMITS && now_ms < handoff->deadline_ms)
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
take_failure (csp_handoff_t *handoff, csp_handoff_action_t *action)
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
take_refusal (csp_handoff_t *handoff, csp_reason_t reason, int64_t now_ms,
              csp_handoff_action_t *action)
{
  if (handoff->state != HANDOFF_OPENING && handoff->state != HANDOFF_SENT)
    return;
  handoff->reason = reason;
  try_next_peer (handoff, now_ms, action);
}

static csp_verdict_t
find_verdict (const csp_handoff_t *handoff)
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
take_hang_up (csp_handoff_t *handoff, csp_handoff_action_t *action)
{
  csp_verdict_t verdict = find_verdict (handoff);

  if (handoff->state == HANDOFF_ENDED)
    return;
  release_slot (handoff, verdict != CSP_VERDICT_NOT_RUN, action);
  give_up (handoff, verdict, CSP_REASON_NONE, "the caller hung up", action);
}

static void
take_first_token (csp_handoff_t *handoff)
{
  if (handoff->state != HANDOFF_SENT)
    return;
  handoff->state = HANDOFF_STREAMING;
  handoff->tick_ms = INT64_MAX;
}

static void
take_end (csp_handoff_t *handoff, csp_handoff_action_t *action)
{
  if (handoff->state != HANDOFF_SENT && handoff->state != HANDOFF_STREAMING)
    return;
  release_slot (handoff, false, action);
  handoff->state = HANDOFF_ENDED;
  handoff->tick_ms = INT64_MAX;
  action->kind = CSP_HANDOFF_DONE;
}

/* Once the slot is held, its owner is not needed any more: the sender opens
   the target itself.  */
static void
take_peer_loss (csp_handoff_t *handoff, size_t peer, int64_t now_ms,
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
  ask_peer (handoff, now_ms, action);
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
      take_tick (handoff, holdings_number, now_ms, action);
      return;
    case CSP_HANDOFF_RESERVE_ANSWER:
      take_reserve_answer (handoff, event, holdings_number, now_ms, action);
      return;
    case CSP_HANDOFF_COMMIT_ANSWER:
      take_commit_answer (handoff, event, now_ms, action);
      return;
    case CSP_HANDOFF_PEER_LOST:
      take_peer_loss (handoff, event->peer, now_ms, action);
      return;
    case CSP_HANDOFF_BEFORE_SEND:
      permit_send (handoff, now_ms, action);
      return;
    case CSP_HANDOFF_NOT_SENT:
      take_refusal (handoff, CSP_REASON_TARGET_UNREACHABLE, now_ms, action);
      return;
    case CSP_HANDOFF_TARGET_REFUSED:
      take_refusal (handoff, CSP_REASON_TARGET_REFUSED, now_ms, action);
      return;
    case CSP_HANDOFF_TARGET_FAILED:
      take_failure (handoff, action);
      return;
    case CSP_HANDOFF_FIRST_TOKEN:
      take_first_token (handoff);
      return;
    case CSP_HANDOFF_FINISHED:
      take_end (handoff, action);
      return;
    case CSP_HANDOFF_HUNG_UP:
      take_hang_up (handoff, action);
      return;
    case CSP_HANDOFF_CANCELLED:
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
  return handoff->tick_ms;
}

bool
csp_held_by_handoff (const csp_handoff_t *handoff, size_t *peer,
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
