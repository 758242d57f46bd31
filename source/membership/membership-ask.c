#include "membership/membership-imp.h"

#include <string.h>

/* Fill what every heartbeat says.  Where we are travels only until the peer
   has shown that it knows this incarnation.  */
void
csp_fill_heartbeat (const csp_membership_t *membership, const csp_peer_t *to,
                    csp_heartbeat_t *said)
{
  const csp_host_view_t *self = &membership->self->view;
  const csp_local_state_t *local = &membership->local;

  memset (said, 0, sizeof *said);
  said->protocol = CSP_PROTOCOL_VERSION;
  said->deployment = membership->deployment;
  memcpy (said->name, self->name, sizeof said->name);
  said->incarnation = self->incarnation;
  said->state = self->state;
  said->revision = local->revision;
  said->digest = local->digest;
  said->refused_revision = local->refused_revision;
  said->service_silent = local->service_silent;
  said->list_version = membership->list_version;
  said->headroom_tokens = local->headroom_tokens;
  said->owned_targets = local->owned_targets;
  said->median_gap_us = local->median_gap_us;
  said->targets_out = local->targets_out;
  if (to != NULL && to->knows_us)
    return;
  memcpy (said->region, self->region, sizeof said->region);
  memcpy (said->data_centre, self->data_centre, sizeof said->data_centre);
  memcpy (said->address, self->address, sizeof said->address);
  said->http_port = self->http_port;
  said->peer_port = self->peer_port;
}

static void
send_ask (csp_membership_t *membership, csp_peer_t *peer, int64_t now_ms,
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
  peer->open_sequence = action->ask.sequence;
  peer->open_sent_ms = now_ms;
  peer->next_ask_ms
      = now_ms
        + (peer->view.liveness == CSP_PEER_SILENT ? CSP_SILENT_ASK_MS
                                                  : membership->interval_ms);
}

static void
expire_asks (csp_membership_t *membership, int64_t now_ms)
{
  csp_peer_t *peer;
  size_t i;

  for (i = 0; i < membership->peer_count; i++)
    {
      peer = membership->by_name[i];
      if (peer->open_sequence != 0
          && now_ms - peer->open_sent_ms >= CSP_HEARTBEAT_TIMEOUT_MS)
        csp_handle_heartbeat_lost (membership, peer->view.name,
                                   peer->open_sequence, now_ms);
    }
}

static void
ask_neighbours (csp_membership_t *membership, int64_t now_ms,
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
      if (!peer->view.self && peer->neighbour && peer->open_sequence == 0
          && peer->view.peer_port != 0 && now_ms >= peer->next_ask_ms)
        send_ask (membership, peer, now_ms, actions);
    }
}

/* One of the likely relays of a data centre; a silent one only when no other
   is there.  */
static csp_peer_t *
choose_remote (csp_membership_t *membership,
               const csp_data_centre_t *data_centre, int64_t now_ms)
{
  csp_peer_t *candidates[CSP_RELAYS];
  csp_peer_t *silent = NULL;
  size_t count = 0;
  csp_peer_t *peer;
  size_t i;

  for (i = 0; i < data_centre->count && count < CSP_RELAYS; i++)
    {
      peer = membership->by_order[data_centre->first + i];
      if (peer->view.peer_port == 0 || peer->open_sequence != 0)
        continue;
      if (peer->view.liveness != CSP_PEER_SILENT)
        candidates[count++] = peer;
      else if (silent == NULL || peer->next_ask_ms < silent->next_ask_ms)
        silent = peer;
    }
  /* A silent one is tried again now and then, or it would never come back. */
  if (silent != NULL && (count == 0 || now_ms >= silent->next_ask_ms + 60000))
    return silent;
  if (count == 0)
    return NULL;
  return candidates[csp_random_below (&membership->random, (uint32_t)count)];
}

static void
ask_across (csp_membership_t *membership, int64_t now_ms,
            csp_heartbeat_actions_t *actions)
{
  size_t count = membership->data_centre_count;
  csp_data_centre_t *data_centre;
  csp_peer_t *peer = NULL;
  size_t i;

  if (now_ms < membership->next_cross_ms
      || actions->count == CSP_MAX_HEARTBEAT_ACTIONS
      || !csp_is_relay (membership, now_ms))
    return;
  membership->next_cross_ms = now_ms + CSP_CROSS_MS;
  for (i = 0; i < count && peer == NULL; i++)
    {
      membership->next_cross = (membership->next_cross + 1) % count;
      data_centre = &membership->data_centres[membership->next_cross];
      if (membership->next_cross != membership->home)
        peer = choose_remote (membership, data_centre, now_ms);
    }
  if (peer != NULL)
    send_ask (membership, peer, now_ms, actions);
}

/* After a pause every peer looks silent though it was we who were.  Acting on
   that, a host that wakes up would take every target of its data centre.  So
   their silence is moved on by the pause; the leases, which count from when
   we asked, are not, and stop all grants until peers answer again.  */
static void
excuse_peers (csp_membership_t *membership, int64_t gap_ms, int64_t now_ms)
{
  csp_peer_t *peer;
  size_t i;

  csp_add_member_event (membership, CSP_MEMBER_EVENT_WOKE_LATE, "", gap_ms);
  membership->started_ms = now_ms;
  for (i = 0; i < membership->peer_count; i++)
    {
      peer = membership->by_name[i];
      peer->silence_base_ms += gap_ms;
      peer->next_ask_ms = now_ms;
      if (csp_in_view (peer, membership->last_tick_ms) && !peer->view.self)
        peer->view_until_ms += gap_ms;
    }
}

void
csp_notice_pause (csp_membership_t *membership, int64_t now_ms)
{
  int64_t gap_ms = now_ms - membership->last_tick_ms;

  if (gap_ms < CSP_PAUSE_MS)
    return;
  excuse_peers (membership, gap_ms, now_ms);
  membership->last_tick_ms = now_ms;
}

void
csp_tick_membership (csp_membership_t *membership, int64_t now_ms,
                     csp_heartbeat_actions_t *actions)
{
  actions->count = 0;
  csp_notice_pause (membership, now_ms);
  membership->last_tick_ms = now_ms;
  expire_asks (membership, now_ms);
  csp_judge_peers (membership, now_ms);
  csp_forget_peers (membership, now_ms);
  ask_neighbours (membership, now_ms, actions);
  ask_across (membership, now_ms, actions);
}
