#include "membership/membership-imp.h"

#include <string.h>

static bool
is_terminated (const char *text, size_t size_bytes)
{
  return memchr (text, '\0', size_bytes) != NULL;
}

static bool
are_valid_suspects (const csp_heartbeat_t *message)
{
  const csp_suspect_host_t *suspect;
  uint8_t i;

  for (i = 0; i < message->suspect_count; i++)
    {
      suspect = &message->suspects[i];
      if (!is_terminated (suspect->name, sizeof suspect->name)
          || !is_terminated (suspect->witness, sizeof suspect->witness))
        return false;
    }
  return true;
}

static bool
are_valid_summaries (const csp_heartbeat_t *message)
{
  const csp_summary_t *summary;
  uint8_t i;
  size_t h;

  for (i = 0; i < message->summary_count; i++)
    {
      summary = &message->summaries[i];
      if (!is_terminated (summary->data_centre, sizeof summary->data_centre))
        return false;
      for (h = 0; h < CSP_SUMMARY_HOSTS; h++)
        if (!is_terminated (summary->best[h].name,
                            sizeof summary->best[h].name))
          return false;
    }
  return true;
}

static bool
is_valid_message (const csp_heartbeat_t *message)
{
  return message->name[0] != '\0'
         && is_terminated (message->name, sizeof message->name)
         && is_terminated (message->region, sizeof message->region)
         && is_terminated (message->data_centre, sizeof message->data_centre)
         && is_terminated (message->address, sizeof message->address)
         && message->state <= CSP_MEMBER_LEAVING
         && message->suspect_count <= CSP_MAX_SUSPECTS
         && message->summary_count <= CSP_MAX_SUMMARIES
         && are_valid_suspects (message) && are_valid_summaries (message);
}

static csp_heartbeat_result_t
check_message (const csp_membership_t *membership,
               const csp_heartbeat_t *message)
{
  const csp_peer_t *peer;

  if (!is_valid_message (message))
    return CSP_HEARTBEAT_MALFORMED;
  if (message->deployment != membership->deployment)
    return CSP_HEARTBEAT_OTHER_DEPLOYMENT;
  if (message->protocol < CSP_PROTOCOL_OLDEST)
    return CSP_HEARTBEAT_OTHER_PROTOCOL;
  if (strcmp (message->name, membership->self->view.name) == 0)
    return CSP_HEARTBEAT_DUPLICATE_NAME;
  peer = csp_find_peer (membership, message->name);
  if (peer != NULL && message->incarnation < peer->view.incarnation)
    return CSP_HEARTBEAT_OLD_INCARNATION;
  return CSP_HEARTBEAT_OK;
}

static csp_heartbeat_result_t
count_result (csp_membership_t *membership, const csp_heartbeat_t *message,
              csp_heartbeat_result_t result)
{
  membership->results[result]++;
  if (result != CSP_HEARTBEAT_OK && result != CSP_HEARTBEAT_UNEXPECTED)
    csp_add_member_event (
        membership, CSP_MEMBER_EVENT_REFUSED,
        result == CSP_HEARTBEAT_MALFORMED ? "" : message->name, result);
  return result;
}

/* A higher incarnation under the same name is a restart: the old one is dead
   at once, together with its leases, its age and the reports about it.  The
   host stays in the view, so that its targets don't move twice.  */
static void
handle_restart (csp_membership_t *membership, csp_peer_t *peer,
                uint64_t incarnation, int64_t now_ms)
{
  if (peer->view.incarnation != 0)
    csp_add_member_event (membership, CSP_MEMBER_EVENT_RESTARTED,
                          peer->view.name, (int64_t)incarnation);
  peer->view.incarnation = incarnation;
  peer->view.liveness = CSP_PEER_UNCONFIRMED;
  peer->knows_this_host = false;
  peer->confirmed_ms = -1;
  peer->silent_since_ms = now_ms;
  peer->known_since_ms = now_ms;
  peer->lease_until_ms = INT64_MIN;
  peer->has_granted_lease = false;
  peer->pending_sequence = 0;
  peer->next_heartbeat_ms = now_ms;
  csp_clear_witnesses (peer);
}

static void
update_address (csp_peer_t *peer, const csp_heartbeat_t *message)
{
  if (message->address[0] == '\0')
    return;
  memcpy (peer->view.region, message->region, sizeof peer->view.region);
  memcpy (peer->view.address, message->address, sizeof peer->view.address);
  peer->view.http_port = message->http_port;
  peer->view.peer_port = message->peer_port;
}

static void
apply_message (csp_membership_t *membership, csp_peer_t *peer,
               const csp_heartbeat_t *message, int64_t now_ms)
{
  csp_host_view_t *view = &peer->view;

  if (message->incarnation > view->incarnation)
    handle_restart (membership, peer, message->incarnation, now_ms);
  update_address (peer, message);
  if (message->state == CSP_MEMBER_LEAVING && view->state == CSP_MEMBER_LIVE)
    csp_add_member_event (membership, CSP_MEMBER_EVENT_LEAVING, view->name, 0);
  view->state = peer->listed_leaving ? CSP_MEMBER_LEAVING : message->state;
  view->revision = message->revision;
  view->digest = message->digest;
  view->refused_revision = message->refused_revision;
  view->service_silent = message->service_silent;
  view->list_version = message->list_version;
  view->headroom_tokens = message->headroom_tokens;
  view->owned_targets = message->owned_targets;
  view->median_gap_us = message->median_gap_us;
  view->targets_out = message->targets_out;
  peer->last_message_ms = now_ms;
  csp_apply_suspects (membership, message, now_ms);
  csp_apply_summaries (membership, message, now_ms);
}

/* A heartbeat proves that the peer can send to this host, but not the reverse,
   so it makes no peer alive.  It is a reason to send one back at once.  */
static csp_peer_t *
apply_heartbeat (csp_membership_t *membership, const csp_heartbeat_t *ask,
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
  /* A host that had been given up isn't among the neighbours.  */
  if (!peer->neighbour && peer->local
      && (!membership->large || peer->view.liveness == CSP_PEER_SILENT))
    membership->must_rearrange = true;
  apply_message (membership, peer, ask, now_ms);
  if (peer->view.liveness != CSP_PEER_ALIVE && peer->local)
    {
      if (peer->pending_sequence == 0
          && peer->next_heartbeat_ms > now_ms + CSP_HEARTBEAT_MS)
        peer->next_heartbeat_ms = now_ms;
    }
  return peer;
}

csp_heartbeat_result_t
csp_handle_heartbeat (csp_membership_t *membership, const csp_heartbeat_t *ask,
                      int64_t now_ms, csp_heartbeat_t *reply)
{
  csp_heartbeat_result_t result = check_message (membership, ask);
  csp_peer_t *peer = NULL;

  csp_detect_pause (membership, now_ms);
  csp_fill_heartbeat (membership, NULL, reply);
  reply->sequence = ask->sequence;
  if (result == CSP_HEARTBEAT_OK)
    peer = apply_heartbeat (membership, ask, now_ms);
  else if (result == CSP_HEARTBEAT_OLD_INCARNATION)
    reply->known_incarnation
        = csp_find_peer (membership, ask->name)->view.incarnation;
  if (peer == NULL)
    return count_result (membership, ask, result);
  csp_fill_heartbeat (membership, peer, reply);
  reply->sequence = ask->sequence;
  if (peer->view.peer_port != 0)
    reply->known_incarnation = peer->view.incarnation;
  reply->alive_ms = csp_granted_lease_ms (membership, peer, now_ms);
  if (peer->local)
    csp_fill_suspects (membership, reply, now_ms);
  csp_fill_summaries (membership, peer, reply, now_ms);
  return count_result (membership, ask, result);
}

static void
confirm_peer (csp_membership_t *membership, csp_peer_t *peer,
              const csp_heartbeat_t *reply, int64_t now_ms)
{
  uint64_t own = membership->self->view.incarnation;

  if (peer->view.liveness != CSP_PEER_ALIVE)
    csp_add_member_event (membership, CSP_MEMBER_EVENT_ALIVE, peer->view.name,
                          now_ms - peer->silent_since_ms);
  peer->view.liveness = CSP_PEER_ALIVE;
  peer->lost_heartbeats = 0;
  /* The interval for a silent host was in use; if it were kept, one lost reply
     would make the host silent again.  */
  if (peer->next_heartbeat_ms
      > peer->pending_sent_ms + membership->interval_ms)
    peer->next_heartbeat_ms = peer->pending_sent_ms + membership->interval_ms;
  peer->confirmed_ms = peer->pending_sent_ms;
  peer->silent_since_ms = peer->pending_sent_ms;
  peer->in_view_until_ms = peer->pending_sent_ms
                           + csp_silent_after_ms (membership)
                           + csp_grace_ms (membership);
  peer->knows_this_host = reply->known_incarnation == own;
  /* Counted from when the heartbeat was sent, which is before the lease was
     granted.  */
  peer->lease_until_ms = reply->known_incarnation == own
                             ? peer->pending_sent_ms + reply->alive_ms
                             : INT64_MIN;
  peer->has_granted_lease
      = peer->has_granted_lease || peer->lease_until_ms > now_ms;
}

csp_heartbeat_result_t
csp_handle_heartbeat_reply (csp_membership_t *membership, const char *name,
                            const csp_heartbeat_t *reply, int64_t now_ms)
{
  csp_peer_t *peer = csp_find_peer (membership, name);
  csp_heartbeat_result_t result = check_message (membership, reply);

  csp_detect_pause (membership, now_ms);
  if (result != CSP_HEARTBEAT_OK)
    return count_result (membership, reply, result);
  /* A reply that was queued during a pause of this process, or that belongs to
     another heartbeat, could confirm a peer that is gone.  */
  if (peer == NULL || strcmp (reply->name, name) != 0
      || peer->pending_sequence == 0
      || peer->pending_sequence != reply->sequence
      || now_ms - peer->pending_sent_ms >= CSP_HEARTBEAT_TIMEOUT_MS)
    return count_result (membership, reply, CSP_HEARTBEAT_UNEXPECTED);
  if (reply->known_incarnation > membership->self->view.incarnation)
    return count_result (membership, reply, CSP_HEARTBEAT_DUPLICATE_NAME);
  apply_message (membership, peer, reply, now_ms);
  confirm_peer (membership, peer, reply, now_ms);
  peer->pending_sequence = 0;
  return count_result (membership, reply, CSP_HEARTBEAT_OK);
}

void
csp_handle_heartbeat_lost (csp_membership_t *membership, const char *name,
                           uint64_t sequence, int64_t now_ms)
{
  csp_peer_t *peer = csp_find_peer (membership, name);

  (void)now_ms;
  if (peer == NULL || sequence == 0 || peer->pending_sequence != sequence)
    return;
  peer->pending_sequence = 0;
  peer->lost_heartbeats++;
}
