#include "membership/membership-imp.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* One host alone may have a broken link of its own; two seldom do.  */
  LARGE_WITNESSES = 2
};

int64_t
csp_heartbeat_interval_ms (const csp_membership_t *membership)
{
  return membership->interval_ms;
}

/* Three lost heartbeats and the time that the answer to the last had.  */
int64_t
csp_silent_after_ms (const csp_membership_t *membership)
{
  return CSP_SILENT_HEARTBEATS * membership->interval_ms
         + CSP_HEARTBEAT_TIMEOUT_MS;
}

/* A silent host stays an owner this much longer.  Its lease counts from our
   last answer to it, which may be an interval younger than its last answer to
   us; and without the margin every death of one host would stop all grants
   in the data centre until the others had dropped it.  */
int64_t
csp_grace_ms (const csp_membership_t *membership)
{
  return 2 * membership->interval_ms;
}

bool
csp_in_view (const csp_peer_t *peer, int64_t now_ms)
{
  return peer->view.self || now_ms < peer->view_until_ms;
}

uint32_t
csp_promise_ms (const csp_membership_t *membership, const csp_peer_t *peer,
                int64_t now_ms)
{
  int64_t until_ms = peer->view_until_ms;
  int64_t waiting_ms
      = membership->started_ms + csp_silent_after_ms (membership);

  /* While we start or woke up we have no lease without this peer.  */
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
    if (now_ms - peer->witnesses[i].said_ms >= CSP_SUSPECT_MS)
      peer->witnesses[i] = peer->witnesses[--peer->witness_count];
}

static void
note_witness (csp_peer_t *peer, const char *name, uint32_t age_ms,
              int64_t now_ms)
{
  csp_witness_t *witness = NULL;
  size_t i;

  for (i = 0; i < peer->witness_count; i++)
    if (strcmp (peer->witnesses[i].witness, name) == 0)
      witness = &peer->witnesses[i];
  if (witness == NULL && peer->witness_count < CSP_WITNESSES)
    {
      witness = &peer->witnesses[peer->witness_count++];
      witness->said_ms = 0;
    }
  if (witness == NULL)
    return;
  snprintf (witness->witness, sizeof witness->witness, "%s", name);
  /* Words that are passed on keep their age, or they would go round for ever
     after the witness took them back.  */
  if (witness->said_ms < now_ms - age_ms)
    witness->said_ms = now_ms - age_ms;
}

static bool
says_silent (const csp_heartbeat_t *heard, const csp_peer_t *peer)
{
  uint8_t i;

  for (i = 0; i < heard->suspect_count; i++)
    if (heard->suspects[i].witness[0] == '\0'
        && strcmp (heard->suspects[i].name, peer->view.name) == 0)
      return true;
  return false;
}

static void
drop_witness (csp_peer_t *peer, const char *name)
{
  size_t i;

  for (i = peer->witness_count; i-- > 0;)
    if (strcmp (peer->witnesses[i].witness, name) == 0)
      peer->witnesses[i] = peer->witnesses[--peer->witness_count];
}

/* A host that has room for more and no longer names one that it missed has
   found it again.  Its old word would otherwise count until it expires, and
   help to bury a host that just woke up.  */
static void
take_back_words (csp_membership_t *membership, const csp_heartbeat_t *heard)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  csp_peer_t *peer;
  size_t i;

  if (heard->suspect_count == CSP_MAX_SUSPECTS)
    return;
  for (i = 0; i < home->count; i++)
    {
      peer = membership->by_order[home->first + i];
      if (peer->witness_count > 0 && !says_silent (heard, peer))
        drop_witness (peer, heard->name);
    }
}

/* What third hosts say is only ever used to decide whether a host that we
   ourselves can't reach stays in the view; it never makes one alive.  */
void
csp_hear_suspects (csp_membership_t *membership, const csp_heartbeat_t *heard,
                   int64_t now_ms)
{
  const csp_suspect_t *suspect;
  csp_peer_t *peer;
  uint8_t i;

  take_back_words (membership, heard);
  for (i = 0; i < heard->suspect_count; i++)
    {
      suspect = &heard->suspects[i];
      peer = csp_find_peer (membership, suspect->name);
      if (peer == NULL || peer->view.self
          || !peer->local
          /* A host that we never heard ourselves has none yet.  */
          || (peer->view.incarnation != 0
              && peer->view.incarnation != suspect->incarnation)
          || strcmp (suspect->witness, membership->self->view.name) == 0)
        continue;
      note_witness (
          peer, suspect->witness[0] == '\0' ? heard->name : suspect->witness,
          suspect->age_ms, now_ms);
    }
}

static bool
is_silent_here (const csp_membership_t *membership, const csp_peer_t *peer,
                int64_t now_ms)
{
  return peer->neighbour
         && now_ms - peer->silence_base_ms >= csp_silent_after_ms (membership);
}

/* An empty witness is the sender itself.  */
static void
add_suspect (csp_heartbeat_t *said, const csp_peer_t *peer,
             const char *witness, int64_t age_ms)
{
  csp_suspect_t *suspect;

  if (said->suspect_count == CSP_MAX_SUSPECTS)
    return;
  suspect = &said->suspects[said->suspect_count++];
  memcpy (suspect->name, peer->view.name, sizeof suspect->name);
  snprintf (suspect->witness, sizeof suspect->witness, "%s", witness);
  suspect->incarnation = peer->view.incarnation;
  suspect->age_ms = age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
}

/* What we find silent ourselves.  Only exceptions travel, so a healthy fleet
   pays nothing.  In a data centre too large for everyone to ask everyone,
   fresh words of others are passed on as well.  */
void
csp_fill_suspects (csp_membership_t *membership, csp_heartbeat_t *said,
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
        add_suspect (said, peer, "", 0);
      for (w = 0; membership->large && w < peer->witness_count; w++)
        add_suspect (said, peer, peer->witnesses[w].witness,
                     now_ms - peer->witnesses[w].said_ms);
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
                       && peer->view.liveness == CSP_PEER_CUT));
    }
  return count;
}

/* One broken link between two healthy hosts would make each take the other's
   targets.  So a host that only we can't reach stays in the view; it goes
   when most of the hosts that we do reach can't reach it either.  One that is
   not in the view comes in this way only after the others had time to say
   that they miss it too: it may be listed and not started yet.  */
static csp_peer_liveness_t
judge_silent (const csp_membership_t *membership, const csp_peer_t *peer,
              int64_t now_ms)
{
  size_t against = 1 + count_witnesses (membership, peer);
  int64_t silent_ms = now_ms - peer->silence_base_ms;

  /* In a large data centre only its own neighbours can tell.  */
  if (membership->large ? against >= LARGE_WITNESSES
                        : 2 * against > count_voters (membership, peer))
    return CSP_PEER_SILENT;
  if (!csp_in_view (peer, now_ms)
      && silent_ms
             < csp_silent_after_ms (membership) + csp_grace_ms (membership))
    return peer->view.liveness;
  return CSP_PEER_CUT;
}

/* A host of a large data centre that we do not ask: taken on the word of the
   list or of its own heartbeats until two of its neighbours miss it.  */
static csp_peer_liveness_t
judge_distant (const csp_membership_t *membership, const csp_peer_t *peer,
               int64_t now_ms)
{
  bool heard = peer->heard_ms > 0
               && now_ms - peer->heard_ms < csp_silent_after_ms (membership);

  if (count_witnesses (membership, peer) >= LARGE_WITNESSES)
    return CSP_PEER_SILENT;
  return peer->view.listed || heard ? CSP_PEER_CUT : CSP_PEER_SILENT;
}

static csp_peer_liveness_t
judge_peer (const csp_membership_t *membership, const csp_peer_t *peer,
            int64_t now_ms)
{
  if (!peer->local)
    return peer->losses >= CSP_REMOTE_LOSSES ? CSP_PEER_SILENT
                                             : peer->view.liveness;
  if (!peer->neighbour)
    return judge_distant (membership, peer, now_ms);
  if (!is_silent_here (membership, peer, now_ms))
    return peer->view.liveness;
  return judge_silent (membership, peer, now_ms);
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
  if (liveness == CSP_PEER_CUT && peer->neighbour)
    csp_add_member_event (membership, CSP_MEMBER_EVENT_CUT, peer->view.name,
                          0);
  peer->view.liveness = liveness;
  if (liveness != CSP_PEER_ALIVE)
    peer->promised = false;
  membership->rearrange
      = membership->rearrange
        || (liveness == CSP_PEER_SILENT && !peer->view.listed);
}

static uint64_t
mark_of_peer (const csp_peer_t *peer, int64_t now_ms)
{
  uint64_t mark = peer->order ^ (peer->view.incarnation * 0x9e3779b97f4a7c15U);

  if (!csp_in_view (peer, now_ms))
    return 0;
  return (mark * 31 + peer->view.state) * 31 + peer->view.liveness;
}

/* The view number follows what ownership depends on, whatever moved it.  */
static void
update_view_number (csp_membership_t *membership, int64_t now_ms)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  uint64_t mark = 0;
  size_t i;

  for (i = 0; i < home->count; i++)
    mark += mark_of_peer (membership->by_order[home->first + i], now_ms);
  if (mark != membership->view_mark)
    membership->view_number++;
  membership->view_mark = mark;
}

void
csp_judge_peers (csp_membership_t *membership, int64_t now_ms)
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
      liveness = judge_peer (membership, peer, now_ms);
      set_liveness (membership, peer, liveness);
    }
  for (i = 0; i < home->count; i++)
    {
      peer = membership->by_order[home->first + i];
      if (peer->view.liveness == CSP_PEER_CUT)
        peer->view_until_ms = now_ms + csp_grace_ms (membership);
    }
  update_view_number (membership, now_ms);
}
