#include "base/array-imp.h"
#include "roster/roster-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Tolerates the loss of three hellos on a link that drops packets.  */
  HELLO_TIMEOUT_MS = 3300,
  /* In a large fleet gossip about one host takes longer to arrive: a host
     receives some 25 datagrams a second, each of which names a few random
     hosts.  */
  LIVENESS_TIMEOUT_PER_HOST_MS = 40,
  /* Datagrams take milliseconds, and half a second on a congested link; a
     running boot sends hellos every second.  */
  BOOT_TIMEOUT_MS = 1500,
  /* A machine that was away for that long has another address or none.  */
  PEER_RETENTION_MS = 600000
};

csp_roster_t *
csp_create_roster (csp_peer_address_t self, uint64_t boot,
                   uint32_t data_centre, uint64_t seed)
{
  csp_roster_t *roster = calloc (1, sizeof *roster);

  if (roster == NULL)
    return NULL;
  roster->self = self;
  roster->boot = boot;
  roster->data_centre = data_centre;
  csp_seed_random (&roster->random, seed);
  return roster;
}

void
csp_destroy_roster (csp_roster_t *roster)
{
  size_t i;

  if (roster == NULL)
    return;
  for (i = 0; i < roster->count; i++)
    free (roster->peers[i].loads);
  free (roster->peers);
  free (roster);
}

void
csp_set_roster_local_info (csp_roster_t *roster, uint32_t capacity,
                           int64_t started_ms)
{
  roster->capacity = capacity;
  roster->started_ms = started_ms;
  roster->now_ms = started_ms;
}

void
csp_set_roster_leaving (csp_roster_t *roster)
{
  roster->leaving = true;
}

void
csp_set_roster_platform_unreachable (csp_roster_t *roster, bool unreachable)
{
  roster->platform_unreachable = unreachable;
}

void
csp_set_roster_platform_read (csp_roster_t *roster, bool reads)
{
  roster->platform_read = reads;
}

uint32_t
csp_clamp_up_ms (int64_t up_ms)
{
  if (up_ms < 0)
    return 0;
  return up_ms < CSP_UP_REPORTED_MAX_MS ? (uint32_t)up_ms
                                        : CSP_UP_REPORTED_MAX_MS;
}

void
csp_fill_own_hello (const csp_roster_t *roster, csp_hello_t *hello,
                    int64_t now_ms)
{
  hello->boot = roster->boot;
  hello->leaving = roster->leaving;
  hello->platform_unreachable = roster->platform_unreachable;
  hello->platform_read = roster->platform_read;
  hello->data_centre = roster->data_centre;
  hello->capacity = roster->capacity;
  hello->up_ms = csp_clamp_up_ms (now_ms - roster->started_ms);
}

csp_roster_peer_t *
csp_find_roster_peer (const csp_roster_t *roster, csp_peer_address_t address)
{
  size_t i;

  for (i = 0; i < roster->count; i++)
    if (csp_is_same_peer (roster->peers[i].address, address))
      return &roster->peers[i];
  return NULL;
}

static csp_roster_peer_t *
add_peer (csp_roster_t *roster, csp_peer_address_t address)
{
  csp_roster_peer_t *peers;
  csp_roster_peer_t *peer;

  if (roster->count == CSP_ROSTER_MAX)
    {
      roster->refused++;
      return NULL;
    }
  peers = csp_grow_array (roster->peers, roster->count,
                          &roster->peers_allocated, sizeof *peers);
  if (peers == NULL)
    return NULL;
  roster->peers = peers;
  peer = &roster->peers[roster->count++];
  memset (peer, 0, sizeof *peer);
  peer->address = address;
  return peer;
}

void
csp_add_peer_address (csp_roster_t *roster, csp_peer_address_t address)
{
  if (!csp_is_same_peer (address, roster->self)
      && csp_find_roster_peer (roster, address) == NULL)
    add_peer (roster, address);
}

static void
set_load (csp_roster_peer_t *peer, const csp_peer_load_t *load)
{
  csp_peer_load_t *loads;
  size_t i;

  for (i = 0; i < peer->load_count; i++)
    if (peer->loads[i].target == load->target)
      {
        peer->loads[i] = *load;
        return;
      }
  /* When memory fails the load isn't counted until the next full report.  */
  loads = csp_grow_array (peer->loads, peer->load_count,
                          &peer->loads_allocated, sizeof *loads);
  if (loads == NULL)
    return;
  peer->loads = loads;
  peer->loads[peer->load_count++] = *load;
}

/* Boot numbers are start times with some random bits, so a lower number
   usually means a delayed datagram of an earlier boot.  But a host whose clock
   was stepped back before it restarted has a lower number too; if its hellos
   were dropped, its load would go uncounted and the decider would overcommit
   engines.  So a lower boot is accepted once the previous boot has timed
   out.  */
static bool
is_stale_boot (const csp_roster_peer_t *peer, uint64_t boot, int64_t now_ms)
{
  return boot < peer->boot && now_ms - peer->last_hello_ms < BOOT_TIMEOUT_MS;
}

/* How long a host counts as live after the last report of it.  */
static int64_t
liveness_timeout_ms (const csp_roster_t *roster)
{
  int64_t for_ms = (int64_t)roster->count * LIVENESS_TIMEOUT_PER_HOST_MS;

  return for_ms > HELLO_TIMEOUT_MS ? for_ms : HELLO_TIMEOUT_MS;
}

static void
update_liveness (const csp_roster_t *roster, csp_roster_peer_t *peer,
                 int64_t now_ms)
{
  int64_t age_ms = now_ms - peer->last_report_ms;

  peer->live
      = peer->last_report_ms != 0 && age_ms < liveness_timeout_ms (roster);
  peer->current = peer->last_report_ms != 0 && age_ms < HELLO_TIMEOUT_MS;
}

/* Applies gossip about a host if it is newer than what is known.  */
static void
apply_gossip (csp_roster_t *roster, const csp_known_host_t *host,
              int64_t now_ms)
{
  int64_t last_report_ms = now_ms - (int64_t)host->age_ms;
  csp_roster_peer_t *peer;

  if (csp_is_same_peer (host->address, roster->self))
    return;
  peer = csp_find_roster_peer (roster, host->address);
  if (peer == NULL)
    peer = add_peer (roster, host->address);
  if (peer == NULL || last_report_ms <= peer->last_report_ms)
    return;
  peer->last_report_ms = last_report_ms;
  peer->data_centre = host->data_centre;
  peer->capacity = host->capacity;
  peer->started_ms = last_report_ms - (int64_t)host->up_ms;
  peer->leaving = host->leaving;
  peer->platform_unreachable = host->platform_unreachable;
  peer->platform_read = host->platform_read;
  update_liveness (roster, peer, now_ms);
}

static void
apply_hello (csp_roster_t *roster, csp_roster_peer_t *peer,
             const csp_hello_t *hello, int64_t now_ms)
{
  peer->boot = hello->boot;
  peer->sequence = hello->sequence;
  peer->leaving = hello->leaving;
  peer->platform_unreachable = hello->platform_unreachable;
  peer->platform_read = hello->platform_read;
  peer->data_centre = hello->data_centre;
  peer->capacity = hello->capacity;
  peer->started_ms = now_ms - (int64_t)hello->up_ms;
  peer->last_hello_ms = now_ms;
  peer->last_report_ms = now_ms;
  peer->unanswered_hellos = 0;
  if (hello->relay_port != 0)
    {
      peer->relay_port = hello->relay_port;
      peer->unreached_count = hello->unreached_count;
      memcpy (peer->unreached, hello->unreached, sizeof peer->unreached);
    }
  update_liveness (roster, peer, now_ms);
}

bool
csp_receive_hello (csp_roster_t *roster, csp_peer_address_t from,
                   const csp_hello_t *hello, int64_t now_ms)
{
  csp_roster_peer_t *peer;
  size_t i;

  roster->now_ms = now_ms;
  if (hello->boot == roster->boot || csp_is_same_peer (from, roster->self))
    return false;
  peer = csp_find_roster_peer (roster, from);
  if (peer == NULL)
    peer = add_peer (roster, from);
  if (peer == NULL)
    return false;
  if (is_stale_boot (peer, hello->boot, now_ms)
      || (hello->boot == peer->boot && hello->sequence <= peer->sequence))
    return false;
  if (hello->boot != peer->boot || hello->is_full_report)
    peer->load_count = 0;
  if (hello->is_full_report || hello->load_count > 0)
    peer->loads_reported_ms = now_ms;
  if (hello->decider != 0)
    peer->uses_this_decider = hello->decider == csp_pack_peer (roster->self);
  apply_hello (roster, peer, hello, now_ms);
  for (i = 0; i < hello->load_count; i++)
    set_load (peer, &hello->loads[i]);
  for (i = 0; i < hello->known_count; i++)
    apply_gossip (roster, &hello->known_hosts[i], now_ms);
  return true;
}

/* A host reports its loads each second to hosts that may have to decide.
   Older reports are invalid: the host has stopped, is cut off, or now reports
   to others.  */
static bool
expire_loads (csp_roster_peer_t *peer, int64_t now_ms)
{
  if (peer->load_count == 0
      || now_ms - peer->loads_reported_ms < HELLO_TIMEOUT_MS)
    return false;
  peer->load_count = 0;
  return true;
}

bool
csp_expire_peers (csp_roster_t *roster, int64_t now_ms)
{
  bool changed = false;
  size_t kept = 0;
  size_t i;

  roster->now_ms = now_ms;
  for (i = 0; i < roster->count; i++)
    {
      csp_roster_peer_t peer = roster->peers[i];

      update_liveness (roster, &peer, now_ms);
      changed = expire_loads (&peer, now_ms) || changed;
      if (peer.last_report_ms != 0
          && now_ms - peer.last_report_ms >= PEER_RETENTION_MS)
        free (peer.loads);
      else
        roster->peers[kept++] = peer;
    }
  roster->count = kept;
  return changed;
}

size_t
csp_count_known_hosts (const csp_roster_t *roster)
{
  return roster->count + 1;
}

uint64_t
csp_count_refused_hosts (const csp_roster_t *roster)
{
  return roster->refused;
}

/* Hosts that are silent may have chosen another decider meanwhile and aren't
   counted.  */
size_t
csp_count_asking_hosts (const csp_roster_t *roster)
{
  size_t askers = 1;
  size_t i;

  for (i = 0; i < roster->count; i++)
    askers += roster->peers[i].uses_this_decider
              && roster->now_ms - roster->peers[i].loads_reported_ms
                     < HELLO_TIMEOUT_MS;
  return askers;
}

size_t
csp_list_live_peers (const csp_roster_t *roster, csp_peer_address_t *addresses,
                     size_t max_count)
{
  size_t listed = 0;
  size_t i;

  for (i = 0; i < roster->count && listed < max_count; i++)
    if (roster->peers[i].live)
      addresses[listed++] = roster->peers[i].address;
  return listed;
}

size_t
csp_count_live_peers (const csp_roster_t *roster)
{
  size_t live = 0;
  size_t i;

  for (i = 0; i < roster->count; i++)
    live += roster->peers[i].live;
  return live;
}

void
csp_visit_peer_loads (const csp_roster_t *roster, csp_load_visitor_t visit,
                      void *state)
{
  size_t i;
  size_t j;

  for (i = 0; i < roster->count; i++)
    for (j = 0; j < roster->peers[i].load_count; j++)
      visit (state, roster->peers[i].address, &roster->peers[i].loads[j]);
}

void
csp_visit_loads_of_peer (csp_roster_t *roster, csp_peer_address_t address,
                         csp_load_visitor_t visit, void *state)
{
  const csp_roster_peer_t *peer = csp_find_roster_peer (roster, address);
  size_t i;

  for (i = 0; peer != NULL && i < peer->load_count; i++)
    visit (state, address, &peer->loads[i]);
}
