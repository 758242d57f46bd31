#include "membership/membership-imp.h"

#include <string.h>

/* Fills in the fields that every heartbeat has.  The address is sent only
   until the peer has shown that it knows this incarnation.  */
void
csp_fill_heartbeat (const csp_membership_t *membership, const csp_peer_t *to,
                    csp_heartbeat_t *message)
{
  const csp_host_view_t *self = &membership->self->view;
  const csp_local_state_t *local = &membership->local;

  memset (message, 0, sizeof *message);
  message->protocol = CSP_PROTOCOL_VERSION;
  message->deployment = membership->deployment;
  memcpy (message->name, self->name, sizeof message->name);
  message->incarnation = self->incarnation;
  message->state = self->state;
  message->revision = local->revision;
  message->digest = local->digest;
  message->refused_revision = local->refused_revision;
  message->service_silent = local->service_silent;
  message->list_version = membership->list_version;
  message->headroom_tokens = local->headroom_tokens;
  message->owned_targets = local->owned_targets;
  message->median_gap_us = local->median_gap_us;
  message->targets_out = local->targets_out;
  if (to != NULL && to->knows_this_host)
    return;
  memcpy (message->region, self->region, sizeof message->region);
  memcpy (message->data_centre, self->data_centre,
          sizeof message->data_centre);
  memcpy (message->address, self->address, sizeof message->address);
  message->http_port = self->http_port;
  message->peer_port = self->peer_port;
}

static void
send_heartbeat (csp_membership_t *membership, csp_peer_t *peer, int64_t now_ms,
                csp_heartbeat_actions_t *actions)
{
  csp_heartbeat_action_t *action = &actions->items[actions->count++];

  memcpy (action->peer, peer->view.name, sizeof action->peer);
  memcpy (action->address, peer->view.address, sizeof action->address);
  action->peer_port = peer->view.peer_port;
  action->timeout_ms = CSP_HEARTBEAT_TIMEOUT_MS;
  csp_fill_heartbeat (membership, peer, &action->ask);
  action->ask.sequence = ++membership->last_sequence;
  if (peer->local)
    csp_fill_suspects (membership, &action->ask, now_ms);
  else
    csp_fill_summaries (membership, peer, &action->ask, now_ms);
  peer->pending_sequence = action->ask.sequence;
  peer->pending_sent_ms = now_ms;
  peer->next_heartbeat_ms
      = now_ms
        + (peer->view.liveness == CSP_PEER_SILENT ? CSP_SILENT_HEARTBEAT_MS
                                                  : membership->interval_ms);
}

static void
expire_heartbeats (csp_membership_t *membership, int64_t now_ms)
{
  csp_peer_t *peer;
  size_t i;

  for (i = 0; i < membership->peer_count; i++)
    {
      peer = membership->by_name[i];
      if (peer->pending_sequence != 0
          && now_ms - peer->pending_sent_ms >= CSP_HEARTBEAT_TIMEOUT_MS)
        csp_handle_heartbeat_lost (membership, peer->view.name,
                                   peer->pending_sequence, now_ms);
    }
}

static void
send_to_neighbours (csp_membership_t *membership, int64_t now_ms,
                    csp_heartbeat_actions_t *actions)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  csp_peer_t *peer;
  size_t i;

  membership->next_peer++;
  for (i = 0; i < home->count; i++)
    {
      peer = membership->by_order[home->first
                                  + (membership->next_peer + i) % home->count];
      if (actions->count == CSP_MAX_HEARTBEAT_ACTIONS)
        return;
      if (!peer->view.self && peer->neighbour && peer->pending_sequence == 0
          && peer->view.peer_port != 0 && now_ms >= peer->next_heartbeat_ms)
        send_heartbeat (membership, peer, now_ms, actions);
    }
}

/* Returns one of the probable relays of a data centre; a silent one only if
   there is no other.  */
static csp_peer_t *
choose_remote (csp_membership_t *membership,
               const csp_data_centre_t *data_centre, int64_t now_ms)
{
  csp_peer_t *candidates[CSP_RELAYS_MAX];
  csp_peer_t *silent = NULL;
  size_t count = 0;
  csp_peer_t *peer;
  size_t i;

  for (i = 0; i < data_centre->count && count < CSP_RELAYS_MAX; i++)
    {
      peer = membership->by_order[data_centre->first + i];
      if (peer->view.peer_port == 0 || peer->pending_sequence != 0)
        continue;
      if (peer->view.liveness != CSP_PEER_SILENT)
        candidates[count++] = peer;
      else if (silent == NULL
               || peer->next_heartbeat_ms < silent->next_heartbeat_ms)
        silent = peer;
    }
  /* A silent one is tried from time to time, or it would never be found alive
     again.  */
  if (silent != NULL
      && (count == 0 || now_ms >= silent->next_heartbeat_ms + 60000))
    return silent;
  if (count == 0)
    return NULL;
  return candidates[csp_random_below (&membership->random, (uint32_t)count)];
}

static void
send_to_remote_host (csp_membership_t *membership, int64_t now_ms,
                     csp_heartbeat_actions_t *actions)
{
  size_t count = membership->data_centre_count;
  csp_data_centre_t *data_centre;
  csp_peer_t *peer = NULL;
  size_t i;

  if (now_ms < membership->next_remote_heartbeat_ms
      || actions->count == CSP_MAX_HEARTBEAT_ACTIONS
      || !csp_is_relay (membership, now_ms))
    return;
  membership->next_remote_heartbeat_ms = now_ms + CSP_REMOTE_HEARTBEAT_MS;
  for (i = 0; i < count && peer == NULL; i++)
    {
      membership->next_remote_data_centre
          = (membership->next_remote_data_centre + 1) % count;
      data_centre
          = &membership->data_centres[membership->next_remote_data_centre];
      if (membership->next_remote_data_centre != membership->home)
        peer = choose_remote (membership, data_centre, now_ms);
    }
  if (peer != NULL)
    send_heartbeat (membership, peer, now_ms, actions);
}

/* After a pause of this process every peer looks silent.  If this host acted
   on that, it would take every target of its data centre.  So their silence is
   shifted by the pause.  Leases aren't: they count from when the heartbeats
   were sent, and so stop all grants until peers reply again.  */
static void
compensate_for_pause (csp_membership_t *membership, int64_t gap_ms,
                      int64_t now_ms)
{
  csp_peer_t *peer;
  size_t i;

  csp_add_member_event (membership, CSP_MEMBER_EVENT_RESUMED, "", gap_ms);
  membership->started_ms = now_ms;
  for (i = 0; i < membership->peer_count; i++)
    {
      peer = membership->by_name[i];
      peer->silent_since_ms += gap_ms;
      peer->next_heartbeat_ms = now_ms;
      if (csp_is_in_view (peer, membership->last_tick_ms) && !peer->view.self)
        peer->in_view_until_ms += gap_ms;
    }
}

void
csp_detect_pause (csp_membership_t *membership, int64_t now_ms)
{
  int64_t gap_ms = now_ms - membership->last_tick_ms;

  if (gap_ms < CSP_MIN_PAUSE_MS)
    return;
  compensate_for_pause (membership, gap_ms, now_ms);
  membership->last_tick_ms = now_ms;
}

void
csp_tick_membership (csp_membership_t *membership, int64_t now_ms,
                     csp_heartbeat_actions_t *actions)
{
  actions->count = 0;
  csp_detect_pause (membership, now_ms);
  membership->last_tick_ms = now_ms;
  expire_heartbeats (membership, now_ms);
  csp_update_liveness (membership, now_ms);
  csp_remove_old_peers (membership, now_ms);
  send_to_neighbours (membership, now_ms, actions);
  send_to_remote_host (membership, now_ms, actions);
}
