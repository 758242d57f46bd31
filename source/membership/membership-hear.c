#include "membership/membership-imp.h"

#include <string.h>

static bool
is_text (const char *text, size_t size_bytes)
{
  return memchr (text, '\0', size_bytes) != NULL;
}

static bool
are_good_suspects (const csp_heartbeat_t *heard)
{
  const csp_suspect_t *suspect;
  uint8_t i;

  for (i = 0; i < heard->suspect_count; i++)
    {
      suspect = &heard->suspects[i];
      if (!is_text (suspect->name, sizeof suspect->name)
          || !is_text (suspect->witness, sizeof suspect->witness))
        return false;
    }
  return true;
}

static bool
are_good_summaries (const csp_heartbeat_t *heard)
{
  const csp_summary_t *summary;
  uint8_t i;
  size_t h;

  for (i = 0; i < heard->summary_count; i++)
    {
      summary = &heard->summaries[i];
      if (!is_text (summary->data_centre, sizeof summary->data_centre))
        return false;
      for (h = 0; h < CSP_SUMMARY_HOSTS; h++)
        if (!is_text (summary->best[h].name, sizeof summary->best[h].name))
          return false;
    }
  return true;
}

static bool
is_good_message (const csp_heartbeat_t *heard)
{
  return heard->name[0] != '\0' && is_text (heard->name, sizeof heard->name)
         && is_text (heard->region, sizeof heard->region)
         && is_text (heard->data_centre, sizeof heard->data_centre)
         && is_text (heard->address, sizeof heard->address)
         && heard->state <= CSP_MEMBER_LEAVING
         && heard->suspect_count <= CSP_MAX_SUSPECTS
         && heard->summary_count <= CSP_MAX_SUMMARIES
         && are_good_suspects (heard) && are_good_summaries (heard);
}

static csp_heartbeat_result_t
judge_message (const csp_membership_t *membership,
               const csp_heartbeat_t *heard)
{
  const csp_peer_t *peer;

  if (!is_good_message (heard))
    return CSP_HEARTBEAT_MALFORMED;
  if (heard->deployment != membership->deployment)
    return CSP_HEARTBEAT_OTHER_DEPLOYMENT;
  if (heard->protocol < CSP_PROTOCOL_OLDEST)
    return CSP_HEARTBEAT_OTHER_PROTOCOL;
  if (strcmp (heard->name, membership->self->view.name) == 0)
    return CSP_HEARTBEAT_DUPLICATE_NAME;
  peer = csp_find_peer (membership, heard->name);
  if (peer != NULL && heard->incarnation < peer->view.incarnation)
    return CSP_HEARTBEAT_OLD_INCARNATION;
  return CSP_HEARTBEAT_OK;
}

static csp_heartbeat_result_t
finish (csp_membership_t *membership, const csp_heartbeat_t *heard,
        csp_heartbeat_result_t result)
{
  membership->results[result]++;
  if (result != CSP_HEARTBEAT_OK && result != CSP_HEARTBEAT_CROSSED)
    csp_add_member_event (membership, CSP_MEMBER_EVENT_REFUSED,
                          result == CSP_HEARTBEAT_MALFORMED ? "" : heard->name,
                          result);
  return result;
}

/* A higher incarnation at the same name is a restart: the old one is dead at
   once, with its promises, its age and what was said of it.  It keeps its
   place in the view, so that its targets do not move twice.  */
static void
note_restart (csp_membership_t *membership, csp_peer_t *peer,
              uint64_t incarnation, int64_t now_ms)
{
  if (peer->view.incarnation != 0)
    csp_add_member_event (membership, CSP_MEMBER_EVENT_RESTARTED,
                          peer->view.name, (int64_t)incarnation);
  peer->view.incarnation = incarnation;
  peer->view.liveness = CSP_PEER_UNCONFIRMED;
  peer->knows_us = false;
  peer->confirmed_ms = -1;
  peer->silence_base_ms = now_ms;
  peer->known_since_ms = now_ms;
  peer->promise_until_ms = INT64_MIN;
  peer->promised = false;
  peer->open_sequence = 0;
  peer->next_ask_ms = now_ms;
  csp_clear_witnesses (peer);
}

static void
note_address (csp_peer_t *peer, const csp_heartbeat_t *heard)
{
  if (heard->address[0] == '\0')
    return;
  memcpy (peer->view.region, heard->region, sizeof peer->view.region);
  memcpy (peer->view.address, heard->address, sizeof peer->view.address);
  peer->view.http_port = heard->http_port;
  peer->view.peer_port = heard->peer_port;
}

static void
note_message (csp_membership_t *membership, csp_peer_t *peer,
              const csp_heartbeat_t *heard, int64_t now_ms)
{
  csp_host_view_t *view = &peer->view;

  if (heard->incarnation > view->incarnation)
    note_restart (membership, peer, heard->incarnation, now_ms);
  note_address (peer, heard);
  if (heard->state == CSP_MEMBER_LEAVING && view->state == CSP_MEMBER_LIVE)
    csp_add_member_event (membership, CSP_MEMBER_EVENT_LEAVING, view->name, 0);
  view->state = peer->listed_leaving ? CSP_MEMBER_LEAVING : heard->state;
  view->revision = heard->revision;
  view->digest = heard->digest;
  view->refused_revision = heard->refused_revision;
  view->service_silent = heard->service_silent;
  view->list_version = heard->list_version;
  view->headroom_tokens = heard->headroom_tokens;
  view->owned_targets = heard->owned_targets;
  view->median_gap_us = heard->median_gap_us;
  view->targets_out = heard->targets_out;
  peer->heard_ms = now_ms;
  csp_hear_suspects (membership, heard, now_ms);
  csp_hear_summaries (membership, heard, now_ms);
}

/* An ask proves that the peer can send to us, not that we can send to it; so
   it makes nobody alive.  It is a reason to ask back at once.  */
static csp_peer_t *
note_ask (csp_membership_t *membership, const csp_heartbeat_t *ask,
          int64_t now_ms)
{
  csp_peer_t *peer = csp_find_peer (membership, ask->name);

  if (peer == NULL && ask->data_centre[0] != '\0')
    {
      peer = csp_add_peer (membership, ask->name, ask->data_centre, now_ms);
      if (peer != NULL)
        csp_arrange_peers (membership);
    }
  if (peer == NULL)
    return NULL;
  /* A host that was given up has no place among the neighbours.  */
  if (!peer->neighbour && peer->local
      && (!membership->large || peer->view.liveness == CSP_PEER_SILENT))
    membership->rearrange = true;
  note_message (membership, peer, ask, now_ms);
  if (peer->view.liveness != CSP_PEER_ALIVE && peer->local)
    {
      if (peer->open_sequence == 0
          && peer->next_ask_ms > now_ms + CSP_HEARTBEAT_MS)
        peer->next_ask_ms = now_ms;
    }
  return peer;
}

csp_heartbeat_result_t
csp_handle_heartbeat (csp_membership_t *membership, const csp_heartbeat_t *ask,
                      int64_t now_ms, csp_heartbeat_t *reply)
{
  csp_heartbeat_result_t result = judge_message (membership, ask);
  csp_peer_t *peer = NULL;

  csp_notice_pause (membership, now_ms);
  csp_fill_heartbeat (membership, NULL, reply);
  reply->sequence = ask->sequence;
  if (result == CSP_HEARTBEAT_OK)
    peer = note_ask (membership, ask, now_ms);
  else if (result == CSP_HEARTBEAT_OLD_INCARNATION)
    reply->known_incarnation
        = csp_find_peer (membership, ask->name)->view.incarnation;
  if (peer == NULL)
    return finish (membership, ask, result);
  csp_fill_heartbeat (membership, peer, reply);
  reply->sequence = ask->sequence;
  if (peer->view.peer_port != 0)
    reply->known_incarnation = peer->view.incarnation;
  reply->alive_ms = csp_promise_ms (membership, peer, now_ms);
  if (peer->local)
    csp_fill_suspects (membership, reply, now_ms);
  csp_fill_summaries (membership, peer, reply, now_ms);
  return finish (membership, ask, result);
}

static void
confirm_peer (csp_membership_t *membership, csp_peer_t *peer,
              const csp_heartbeat_t *reply, int64_t now_ms)
{
  uint64_t own = membership->self->view.incarnation;

  if (peer->view.liveness != CSP_PEER_ALIVE)
    csp_add_member_event (membership, CSP_MEMBER_EVENT_ALIVE, peer->view.name,
                          now_ms - peer->silence_base_ms);
  peer->view.liveness = CSP_PEER_ALIVE;
  peer->losses = 0;
  /* It was asked at the slow pace of a silent host; left at that, it would be
     given up again after one lost answer.  */
  if (peer->next_ask_ms > peer->open_sent_ms + membership->interval_ms)
    peer->next_ask_ms = peer->open_sent_ms + membership->interval_ms;
  peer->confirmed_ms = peer->open_sent_ms;
  peer->silence_base_ms = peer->open_sent_ms;
  peer->view_until_ms = peer->open_sent_ms + csp_silent_after_ms (membership)
                        + csp_grace_ms (membership);
  peer->knows_us = reply->known_incarnation == own;
  /* Counted from before we asked: the promise was made later than that.  */
  peer->promise_until_ms = reply->known_incarnation == own
                               ? peer->open_sent_ms + reply->alive_ms
                               : INT64_MIN;
  peer->promised = peer->promised || peer->promise_until_ms > now_ms;
}

csp_heartbeat_result_t
csp_handle_heartbeat_reply (csp_membership_t *membership, const char *name,
                            const csp_heartbeat_t *reply, int64_t now_ms)
{
  csp_peer_t *peer = csp_find_peer (membership, name);
  csp_heartbeat_result_t result = judge_message (membership, reply);

  csp_notice_pause (membership, now_ms);
  if (result != CSP_HEARTBEAT_OK)
    return finish (membership, reply, result);
  /* An answer that lay in a queue while we slept, or that belongs to another
     ask, would confirm a peer that may long be gone.  */
  if (peer == NULL || strcmp (reply->name, name) != 0
      || peer->open_sequence == 0 || peer->open_sequence != reply->sequence
      || now_ms - peer->open_sent_ms >= CSP_HEARTBEAT_TIMEOUT_MS)
    return finish (membership, reply, CSP_HEARTBEAT_CROSSED);
  if (reply->known_incarnation > membership->self->view.incarnation)
    return finish (membership, reply, CSP_HEARTBEAT_DUPLICATE_NAME);
  note_message (membership, peer, reply, now_ms);
  confirm_peer (membership, peer, reply, now_ms);
  peer->open_sequence = 0;
  return finish (membership, reply, CSP_HEARTBEAT_OK);
}

void
csp_handle_heartbeat_lost (csp_membership_t *membership, const char *name,
                           uint64_t sequence, int64_t now_ms)
{
  csp_peer_t *peer = csp_find_peer (membership, name);

  (void)now_ms;
  if (peer == NULL || sequence == 0 || peer->open_sequence != sequence)
    return;
  peer->open_sequence = 0;
  peer->losses++;
}
