#include "membership/membership-imp.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* A single host may have a broken link itself; two rarely do.  */
  REQUIRED_WITNESSES = 2
};

int64_t
csp_heartbeat_interval_ms (const csp_membership_t *membership)
{
  return membership->interval_ms;
}

/* Three lost heartbeats, and the timeout of the last one.  */
int64_t
csp_silent_after_ms (const csp_membership_t *membership)
{
  return CSP_SILENT_HEARTBEATS * membership->interval_ms
         + CSP_HEARTBEAT_TIMEOUT_MS;
}

/* How much longer a silent host stays an owner.  Its lease counts from this
   host's last reply to it, which may be an interval later than its own last
   reply.  Without the margin every failure of a host would stop all grants in
   the data centre until the others had removed it.  */
int64_t
csp_grace_ms (const csp_membership_t *membership)
{
  return 2 * membership->interval_ms;
}

bool
csp_is_in_view (const csp_peer_t *peer, int64_t now_ms)
{
  return peer->view.self || now_ms < peer->in_view_until_ms;
}

uint32_t
csp_granted_lease_ms (const csp_membership_t *membership,
                      const csp_peer_t *peer, int64_t now_ms)
{
  int64_t until_ms = peer->in_view_until_ms;
  int64_t waiting_ms
      = membership->started_ms + csp_silent_after_ms (membership);

  /* After a start or a pause this host has no lease without this peer.  */
  if (peer->view.liveness == CSP_PEER_UNCONFIRMED && until_ms < waiting_ms)
    until_ms = waiting_ms;
  return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 0;
}

void
csp_clear_witnesses (csp_peer_t *peer)
{
  peer->witness_count = 0;
}

static void
expire_witnesses (csp_peer_t *peer, int64_t now_ms)
{
  size_t i;

  for (i = peer->witness_count; i-- > 0;)
    if (now_ms - peer->witnesses[i].reported_ms >= CSP_SUSPECT_TTL_MS)
      peer->witnesses[i] = peer->witnesses[--peer->witness_count];
}

static void
add_witness (csp_peer_t *peer, const char *name, uint32_t age_ms,
             int64_t now_ms)
{
  csp_witness_t *witness = NULL;
  size_t i;

  for (i = 0; i < peer->witness_count; i++)
    if (strcmp (peer->witnesses[i].witness, name) == 0)
      witness = &peer->witnesses[i];
  if (witness == NULL && peer->witness_count < CSP_MAX_WITNESSES)
    {
      witness = &peer->witnesses[peer->witness_count++];
      witness->reported_ms = 0;
    }
  if (witness == NULL)
    return;
  snprintf (witness->witness, sizeof witness->witness, "%s", name);
  /* A forwarded report keeps its age; otherwise it would circulate for ever
     after the witness withdrew it.  */
  if (witness->reported_ms < now_ms - age_ms)
    witness->reported_ms = now_ms - age_ms;
}

static bool
reports_silent (const csp_heartbeat_t *message, const csp_peer_t *peer)
{
  uint8_t i;

  for (i = 0; i < message->suspect_count; i++)
    if (message->suspects[i].witness[0] == '\0'
        && strcmp (message->suspects[i].name, peer->view.name) == 0)
      return true;
  return false;
}

static void
remove_witness (csp_peer_t *peer, const char *name)
{
  size_t i;

  for (i = peer->witness_count; i-- > 0;)
    if (strcmp (peer->witnesses[i].witness, name) == 0)
      peer->witnesses[i] = peer->witnesses[--peer->witness_count];
}

/* A sender whose list of suspects isn't full and that no longer names a host
   reaches it again.  Its old report would otherwise count until it expires,
   and could help to remove a host that just resumed.  */
static void
withdraw_reports (csp_membership_t *membership, const csp_heartbeat_t *message)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  csp_peer_t *peer;
  size_t i;

  if (message->suspect_count == CSP_MAX_SUSPECTS)
    return;
  for (i = 0; i < home->count; i++)
    {
      peer = membership->by_order[home->first + i];
      if (peer->witness_count > 0 && !reports_silent (message, peer))
        remove_witness (peer, message->name);
    }
}

/* Reports of third hosts only decide whether a host that this one can't reach
   stays in the view; they never make a host alive.  */
void
csp_apply_suspects (csp_membership_t *membership,
                    const csp_heartbeat_t *message, int64_t now_ms)
{
  const csp_suspect_host_t *suspect;
  csp_peer_t *peer;
  uint8_t i;

  withdraw_reports (membership, message);
  for (i = 0; i < message->suspect_count; i++)
    {
      suspect = &message->suspects[i];
      peer = csp_find_peer (membership, suspect->name);
      if (peer == NULL || peer->view.self
          || !peer->local
          /* A host that this one never got a message from has no incarnation
             yet.  */
          || (peer->view.incarnation != 0
              && peer->view.incarnation != suspect->incarnation)
          || strcmp (suspect->witness, membership->self->view.name) == 0)
        continue;
      add_witness (
          peer, suspect->witness[0] == '\0' ? message->name : suspect->witness,
          suspect->age_ms, now_ms);
    }
}

static bool
is_silent_here (const csp_membership_t *membership, const csp_peer_t *peer,
                int64_t now_ms)
{
  return peer->neighbour
         && now_ms - peer->silent_since_ms >= csp_silent_after_ms (membership);
}

/* An empty witness means the sender.  */
static void
add_suspect (csp_heartbeat_t *message, const csp_peer_t *peer,
             const char *witness, int64_t age_ms)
{
  csp_suspect_host_t *suspect;

  if (message->suspect_count == CSP_MAX_SUSPECTS)
    return;
  suspect = &message->suspects[message->suspect_count++];
  memcpy (suspect->name, peer->view.name, sizeof suspect->name);
  snprintf (suspect->witness, sizeof suspect->witness, "%s", witness);
  suspect->incarnation = peer->view.incarnation;
  suspect->age_ms = age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
}

/* Reports the hosts that are silent to this one.  Only failures are sent, so a
   healthy fleet has no cost.  In a data centre too large for each to send
   heartbeats to each, recent reports of others are forwarded too.  */
void
csp_fill_suspects (csp_membership_t *membership, csp_heartbeat_t *message,
                   int64_t now_ms)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  const csp_peer_t *peer;
  size_t i;
  size_t w;

  membership->next_suspect++;
  for (i = 0; i < home->count; i++)
    {
      peer = membership
                 ->by_order[home->first
                            + (membership->next_suspect + i) % home->count];
      if (peer->view.self)
        continue;
      if (is_silent_here (membership, peer, now_ms))
        add_suspect (message, peer, "", 0);
      for (w = 0; membership->large && w < peer->witness_count; w++)
        add_suspect (message, peer, peer->witnesses[w].witness,
                     now_ms - peer->witnesses[w].reported_ms);
    }
}

static size_t
count_voters (const csp_membership_t *membership, const csp_peer_t *about)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  const csp_peer_t *peer;
  size_t count = 0;
  size_t i;

  for (i = 0; i < home->count; i++)
    {
      peer = membership->by_order[home->first + i];
      count += peer != about
               && (peer->view.self || peer->view.liveness == CSP_PEER_ALIVE);
    }
  return count;
}

static size_t
count_witnesses (const csp_membership_t *membership, const csp_peer_t *about)
{
  const csp_peer_t *peer;
  size_t count = 0;
  size_t i;

  for (i = 0; i < about->witness_count; i++)
    {
      peer = csp_find_peer (membership, about->witnesses[i].witness);
      count += peer != NULL
               && (peer->view.liveness == CSP_PEER_ALIVE
                   || (membership->large
                       && peer->view.liveness == CSP_PEER_UNREACHABLE));
    }
  return count;
}

/* If one broken link between two healthy hosts made them silent, each would
   take the other's targets.  So a host that only this one can't reach stays in
   the view, until most of the hosts that this one does reach report it as
   silent too.  A host that isn't in the view is added this way only after the
   others had time to report it: it may be listed but not started yet.  */
static csp_peer_liveness_t
liveness_of_silent (const csp_membership_t *membership, const csp_peer_t *peer,
                    int64_t now_ms)
{
  size_t silent_reports = 1 + count_witnesses (membership, peer);
  int64_t silent_ms = now_ms - peer->silent_since_ms;

  /* In a large data centre only the host's neighbours report it.  */
  if (membership->large ? silent_reports >= REQUIRED_WITNESSES
                        : 2 * silent_reports > count_voters (membership, peer))
    return CSP_PEER_SILENT;
  if (!csp_is_in_view (peer, now_ms)
      && silent_ms
             < csp_silent_after_ms (membership) + csp_grace_ms (membership))
    return peer->view.liveness;
  return CSP_PEER_UNREACHABLE;
}

/* A host of a large data centre that gets no heartbeats from this one: the
   list or its own recent heartbeats keep it in the view until two of its
   neighbours report it as silent.  */
static csp_peer_liveness_t
liveness_of_distant (const csp_membership_t *membership,
                     const csp_peer_t *peer, int64_t now_ms)
{
  bool has_recent_message
      = peer->last_message_ms > 0
        && now_ms - peer->last_message_ms < csp_silent_after_ms (membership);

  if (count_witnesses (membership, peer) >= REQUIRED_WITNESSES)
    return CSP_PEER_SILENT;
  return peer->view.listed || has_recent_message ? CSP_PEER_UNREACHABLE
                                                 : CSP_PEER_SILENT;
}

static csp_peer_liveness_t
liveness_of (const csp_membership_t *membership, const csp_peer_t *peer,
             int64_t now_ms)
{
  if (!peer->local)
    return peer->lost_heartbeats >= CSP_REMOTE_LOSSES ? CSP_PEER_SILENT
                                                      : peer->view.liveness;
  if (!peer->neighbour)
    return liveness_of_distant (membership, peer, now_ms);
  if (!is_silent_here (membership, peer, now_ms))
    return peer->view.liveness;
  return liveness_of_silent (membership, peer, now_ms);
}

static void
set_liveness (csp_membership_t *membership, csp_peer_t *peer,
              csp_peer_liveness_t liveness)
{
  if (peer->view.liveness == liveness)
    return;
  if (liveness == CSP_PEER_SILENT)
    csp_add_member_event (membership, CSP_MEMBER_EVENT_SILENT, peer->view.name,
                          0);
  if (liveness == CSP_PEER_UNREACHABLE && peer->neighbour)
    csp_add_member_event (membership, CSP_MEMBER_EVENT_UNREACHABLE,
                          peer->view.name, 0);
  peer->view.liveness = liveness;
  if (liveness != CSP_PEER_ALIVE)
    peer->has_granted_lease = false;
  membership->must_rearrange
      = membership->must_rearrange
        || (liveness == CSP_PEER_SILENT && !peer->view.listed);
}

static uint64_t
hash_peer_state (const csp_peer_t *peer, int64_t now_ms)
{
  uint64_t hash = peer->order ^ (peer->view.incarnation * 0x9e3779b97f4a7c15U);

  if (!csp_is_in_view (peer, now_ms))
    return 0;
  return (hash * 31 + peer->view.state) * 31 + peer->view.liveness;
}

/* The view number changes with everything that ownership depends on.  */
static void
update_view_number (csp_membership_t *membership, int64_t now_ms)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  uint64_t hash = 0;
  size_t i;

  for (i = 0; i < home->count; i++)
    hash += hash_peer_state (membership->by_order[home->first + i], now_ms);
  if (hash != membership->view_hash)
    membership->view_version++;
  membership->view_hash = hash;
}

void
csp_update_liveness (csp_membership_t *membership, int64_t now_ms)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  csp_peer_liveness_t liveness;
  csp_peer_t *peer;
  size_t i;

  for (i = 0; i < membership->peer_count; i++)
    {
      peer = membership->by_order[i];
      if (peer->view.self)
        continue;
      expire_witnesses (peer, now_ms);
      liveness = liveness_of (membership, peer, now_ms);
      set_liveness (membership, peer, liveness);
    }
  for (i = 0; i < home->count; i++)
    {
      peer = membership->by_order[home->first + i];
      if (peer->view.liveness == CSP_PEER_UNREACHABLE)
        peer->in_view_until_ms = now_ms + csp_grace_ms (membership);
    }
  update_view_number (membership, now_ms);
}
