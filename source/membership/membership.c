#include "membership/membership-imp.h"

#include "cowslipspoke/hash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INCARNATION_RANDOM_BITS = 16
};

uint64_t
csp_make_incarnation (int64_t wall_ms, uint64_t random)
{
  uint64_t mask = (1U << INCARNATION_RANDOM_BITS) - 1;

  return (uint64_t)wall_ms << INCARNATION_RANDOM_BITS | (random & mask);
}

csp_membership_t *
csp_create_membership (const csp_membership_settings_t *settings,
                       int64_t now_ms)
{
  csp_membership_t *membership = calloc (1, sizeof *membership);
  csp_host_view_t *view;

  if (membership == NULL)
    return NULL;
  membership->self = csp_add_peer (membership, settings->name,
                                   settings->data_centre, now_ms);
  if (membership->self == NULL)
    {
      free (membership);
      return NULL;
    }
  view = &membership->self->view;
  view->self = true;
  view->incarnation = settings->incarnation;
  view->liveness = CSP_PEER_ALIVE;
  view->http_port = settings->http_port;
  view->peer_port = settings->peer_port;
  snprintf (view->region, sizeof view->region, "%s", settings->region);
  snprintf (view->address, sizeof view->address, "%s", settings->address);
  membership->deployment = csp_hash_pair ("deployment", settings->deployment);
  membership->created_ms = now_ms;
  membership->started_ms = now_ms;
  membership->last_tick_ms = now_ms;
  csp_seed_random (&membership->random, settings->seed);
  csp_arrange_peers (membership);
  return membership;
}

void
csp_destroy_membership (csp_membership_t *membership)
{
  size_t i;

  if (membership == NULL)
    return;
  for (i = 0; i < membership->peer_count; i++)
    free (membership->by_name[i]);
  free (membership);
}

void
csp_add_member_event (csp_membership_t *membership,
                      csp_member_event_kind_t kind, const char *peer,
                      int64_t value)
{
  csp_member_event_t *event;

  if (membership->event_count == CSP_MAX_MEMBER_EVENTS)
    {
      membership->event_first
          = (membership->event_first + 1) % CSP_MAX_MEMBER_EVENTS;
      membership->event_count--;
    }
  event = &membership
               ->events[(membership->event_first + membership->event_count++)
                        % CSP_MAX_MEMBER_EVENTS];
  event->kind = kind;
  event->value = value;
  snprintf (event->peer, sizeof event->peer, "%s", peer);
}

bool
csp_pop_member_event (csp_membership_t *membership, csp_member_event_t *event)
{
  if (membership->event_count == 0)
    return false;
  *event = membership->events[membership->event_first];
  membership->event_first
      = (membership->event_first + 1) % CSP_MAX_MEMBER_EVENTS;
  membership->event_count--;
  return true;
}

/* The list's address of a host counts until the host itself has sent a
   message.  The list's leaving state counts at once, also for this host.  */
static void
apply_listed_host (csp_membership_t *membership, const csp_listed_host_t *host,
                   int64_t now_ms)
{
  csp_peer_t *peer = csp_find_peer (membership, host->name);

  if (peer == NULL)
    peer = csp_add_peer (membership, host->name, host->data_centre, now_ms);
  if (peer == NULL)
    return;
  peer->view.listed = true;
  peer->listed_leaving = host->state == CSP_MEMBER_LEAVING;
  if (peer->listed_leaving)
    peer->view.state = CSP_MEMBER_LEAVING;
  if (peer->view.self)
    {
      membership->was_listed = true;
      return;
    }
  if (peer->last_message_ms == 0 || peer->view.liveness == CSP_PEER_SILENT)
    {
      memcpy (peer->view.region, host->region, sizeof peer->view.region);
      memcpy (peer->view.address, host->address, sizeof peer->view.address);
      peer->view.http_port = host->http_port;
      peer->view.peer_port = host->peer_port;
    }
}

csp_list_result_t
csp_apply_host_list (csp_membership_t *membership, const csp_host_list_t *list,
                     int64_t now_ms)
{
  csp_peer_t *peer;
  size_t i;

  if (list->version < membership->list_version)
    {
      csp_add_member_event (membership, CSP_MEMBER_EVENT_LIST_STALE, "",
                            list->version);
      return CSP_LIST_STALE;
    }
  if (list->version == membership->list_version && list->version != 0)
    return CSP_LIST_SAME;
  membership->list_version = list->version;
  for (i = 0; i < membership->peer_count; i++)
    {
      peer = membership->by_name[i];
      if (peer->view.listed)
        peer->unlisted_ms = now_ms;
      peer->view.listed = false;
    }
  for (i = 0; i < list->host_count; i++)
    apply_listed_host (membership, &list->hosts[i], now_ms);
  csp_arrange_peers (membership);
  return CSP_LIST_APPLIED;
}

void
csp_add_known_host (csp_membership_t *membership,
                    const csp_listed_host_t *host, int64_t now_ms)
{
  csp_peer_t *peer = csp_find_peer (membership, host->name);

  if (peer != NULL)
    return;
  apply_listed_host (membership, host, now_ms);
  peer = csp_find_peer (membership, host->name);
  if (peer != NULL)
    peer->view.listed = false;
  csp_arrange_peers (membership);
}

void
csp_set_local_state (csp_membership_t *membership,
                     const csp_local_state_t *local)
{
  csp_host_view_t *view = &membership->self->view;

  membership->local = *local;
  view->state
      = membership->self->listed_leaving ? CSP_MEMBER_LEAVING : local->state;
  view->revision = local->revision;
  view->digest = local->digest;
  view->refused_revision = local->refused_revision;
  view->service_silent = local->service_silent;
  view->headroom_tokens = local->headroom_tokens;
  view->owned_targets = local->owned_targets;
}

uint64_t
csp_view_version (const csp_membership_t *membership)
{
  return membership->view_version;
}

/* A peer that just came back may not know this host yet and grants no lease.
   If that stopped this host's grants, each flapping host would stop its whole
   data centre; ignoring it is safe, as it wasn't in the view before.  A host
   that starts or resumes does wait, also for a host that was silent before its
   pause, as long as that host may take to reply and its lease may last: it may
   have come back, taken the targets, and been paused in turn.  */
static int64_t
lease_from_peer (const csp_membership_t *membership, const csp_peer_t *peer)
{
  int64_t age_ms = membership->last_tick_ms - membership->started_ms;
  bool starting = age_ms < csp_silent_after_ms (membership);
  bool asking = age_ms <= CSP_MAX_LEASE_MS;

  if (!peer->neighbour || peer->view.state == CSP_MEMBER_LEAVING)
    return INT64_MAX;
  switch (peer->view.liveness)
    {
    case CSP_PEER_UNCONFIRMED:
      return starting ? INT64_MIN : INT64_MAX;
    case CSP_PEER_ALIVE:
      return peer->has_granted_lease || starting ? peer->lease_until_ms
                                                 : INT64_MAX;
    case CSP_PEER_UNREACHABLE:
    case CSP_PEER_SILENT:
      break;
    }
  return asking ? INT64_MIN : INT64_MAX;
}

static bool
waits_for_listing (const csp_membership_t *membership)
{
  return !membership->was_listed
         && membership->last_tick_ms - membership->created_ms
                < CSP_LISTING_WAIT_MS;
}

int64_t
csp_lease_until_ms (const csp_membership_t *membership)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  int64_t until_ms = membership->last_tick_ms + CSP_MAX_LEASE_MS;
  int64_t promised_ms;
  size_t i;

  if (waits_for_listing (membership))
    return INT64_MIN;
  for (i = 0; i < home->count; i++)
    {
      promised_ms = lease_from_peer (membership,
                                     membership->by_order[home->first + i]);
      if (promised_ms < until_ms)
        until_ms = promised_ms;
    }
  return until_ms;
}

size_t
csp_count_hosts (const csp_membership_t *membership)
{
  return membership->peer_count;
}

static void
copy_view (const csp_peer_t *peer, int64_t now_ms, csp_host_view_t *view)
{
  *view = peer->view;
  view->knows_this_host = peer->knows_this_host;
  view->in_view = csp_is_in_view (peer, now_ms);
  view->round_trip_age_ms
      = peer->confirmed_ms < 0 ? -1 : now_ms - peer->confirmed_ms;
  if (peer->view.self)
    view->round_trip_age_ms = 0;
  view->known_age_ms = now_ms - peer->known_since_ms;
}

void
csp_view_host (const csp_membership_t *membership, size_t index,
               int64_t now_ms, csp_host_view_t *view)
{
  copy_view (membership->by_name[index], now_ms, view);
}

bool
csp_find_host (const csp_membership_t *membership, const char *name,
               int64_t now_ms, csp_host_view_t *view)
{
  const csp_peer_t *peer = csp_find_peer (membership, name);

  if (peer == NULL)
    return false;
  copy_view (peer, now_ms, view);
  return true;
}

bool
csp_may_host_own_targets (const csp_host_view_t *view)
{
  return view->in_view && view->state == CSP_MEMBER_LIVE;
}

uint64_t
csp_heartbeat_count (const csp_membership_t *membership,
                     csp_heartbeat_result_t result)
{
  return membership->results[result];
}
