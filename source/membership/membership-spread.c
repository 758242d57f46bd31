#include "membership/membership-imp.h"

#include "cowslipspoke/spread.h"

#include <string.h>

enum
{
  /* A host of another data centre gets heartbeats only rarely; its last
     message is used for this long.  */
  REMOTE_STATE_TTL_MS = 60000
};

static void
fill_peer (const csp_peer_t *peer, csp_config_sync_peer_t *filled)
{
  memcpy (filled->name, peer->view.name, sizeof filled->name);
  filled->same_data_centre = peer->local;
  filled->revision = peer->view.revision;
  filled->digest = peer->view.digest;
  filled->refused_revision = peer->view.refused_revision;
  filled->service_silent = peer->view.service_silent;
}

size_t
csp_fill_config_sync_peers (const csp_membership_t *membership, int64_t now_ms,
                            csp_config_sync_peer_t *peers, size_t capacity,
                            size_t *rank)
{
  const csp_data_centre_t *home = &membership->data_centres[membership->home];
  const csp_peer_t *peer;
  size_t count = 0;
  size_t i;

  *rank = 0;
  for (i = 0; i < home->count && count < capacity; i++)
    {
      peer = membership->by_order[home->first + i];
      if (peer->view.self)
        *rank = count;
      else if (peer->view.liveness == CSP_PEER_ALIVE)
        fill_peer (peer, &peers[count++]);
    }
  for (i = 0; i < membership->peer_count && count < capacity; i++)
    {
      peer = membership->by_order[i];
      if (!peer->local && peer->view.liveness == CSP_PEER_ALIVE
          && now_ms - peer->last_message_ms < REMOTE_STATE_TTL_MS)
        fill_peer (peer, &peers[count++]);
    }
  return count;
}
