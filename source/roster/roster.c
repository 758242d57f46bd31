#include "roster/roster-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Three greetings may be lost on a link that drops packets.  */
  SILENT_AFTER_MS = 3300,
  /* In a large fleet the word of one host of many takes longer to come round:
     a host hears some 25 datagrams a second, each of which names a few hosts
     by lot.  */
  LIVE_FOR_EACH_MS = 40,
  /* Datagrams take milliseconds, and half a second on a full link; a boot that
     lives greets every second.  */
  BOOT_SILENT_MS = 1500,
  /* A machine that is away that long has another address or none.  */
  FORGET_AFTER_MS = 600000,
  FIRST_ROOM = 16
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
csp_set_roster_self (csp_roster_t *roster, uint32_t capacity,
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
csp_set_roster_blind (csp_roster_t *roster, bool blind)
{
  roster->blind = blind;
}

void
csp_set_roster_sighted (csp_roster_t *roster, bool sighted)
{
  roster->sighted = sighted;
}

uint32_t
csp_told_up_ms (int64_t up_ms)
{
  if (up_ms < 0)
    return 0;
  return up_ms < CSP_UP_TOLD_MAX_MS ? (uint32_t)up_ms : CSP_UP_TOLD_MAX_MS;
}

void
csp_describe_self (const csp_roster_t *roster, csp_hello_t *hello,
                   int64_t now_ms)
{
  hello->boot = roster->boot;
  hello->leaving = roster->leaving;
  hello->blind = roster->blind;
  hello->sighted = roster->sighted;
  hello->data_centre = roster->data_centre;
  hello->capacity = roster->capacity;
  hello->up_ms = csp_told_up_ms (now_ms - roster->started_ms);
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
  csp_roster_peer_t *peer;

  if (roster->count == CSP_ROSTER_MAX)
    return NULL;
  if (roster->count == roster->room)
    {
      size_t room = roster->room == 0 ? FIRST_ROOM : roster->room * 2;
      csp_roster_peer_t *grown = realloc (roster->peers, room * sizeof *grown);

      if (grown == NULL)
        return NULL;
      roster->peers = grown;
      roster->room = room;
    }
  peer = &roster->peers[roster->count++];
  memset (peer, 0, sizeof *peer);
  peer->address = address;
  return peer;
}

void
csp_learn_peer (csp_roster_t *roster, csp_peer_address_t address)
{
  if (!csp_is_same_peer (address, roster->self)
      && csp_find_roster_peer (roster, address) == NULL)
    add_peer (roster, address);
}

static void
set_load (csp_roster_peer_t *peer, const csp_peer_load_t *load)
{
  size_t i;

  for (i = 0; i < peer->load_count; i++)
    if (peer->loads[i].target == load->target)
      {
        peer->loads[i] = *load;
        return;
      }
  if (peer->load_count == peer->load_room)
    {
      size_t room = peer->load_room == 0 ? FIRST_ROOM : peer->load_room * 2;
      csp_peer_load_t *grown = realloc (peer->loads, room * sizeof *grown);

      /* Without memory the load goes uncounted until the next whole one.  */
      if (grown == NULL)
        return;
      peer->loads = grown;
      peer->load_room = room;
    }
  peer->loads[peer->load_count++] = *load;
}

/* Boots are start times with some random bits, so a lower one is mostly a
   datagram that was long on its way.  But a host whose calendar was stepped
   back before it started again has a lower one too; were it not heard, its
   load would go uncounted, and the host that decides fill engines twice.  The
   boot before is silent by then.  */
static bool
is_replaced_boot (const csp_roster_peer_t *peer, uint64_t boot, int64_t now_ms)
{
  return boot < peer->boot && now_ms - peer->heard_ms < BOOT_SILENT_MS;
}

/* How long a host counts as live behind its last word.  */
static int64_t
live_for_ms (const csp_roster_t *roster)
{
  int64_t for_ms = (int64_t)roster->count * LIVE_FOR_EACH_MS;

  return for_ms > SILENT_AFTER_MS ? for_ms : SILENT_AFTER_MS;
}

static void
judge_life (const csp_roster_t *roster, csp_roster_peer_t *peer,
            int64_t now_ms)
{
  int64_t silent_ms = now_ms - peer->seen_ms;

  peer->live = peer->seen_ms != 0 && silent_ms < live_for_ms (roster);
  peer->current = peer->seen_ms != 0 && silent_ms < SILENT_AFTER_MS;
}

/* Another host names one.  Its word counts where it is newer than what is
   known.  */
static void
hear_of (csp_roster_t *roster, const csp_known_host_t *host, int64_t now_ms)
{
  int64_t seen_ms = now_ms - (int64_t)host->age_ms;
  csp_roster_peer_t *peer;

  if (csp_is_same_peer (host->address, roster->self))
    return;
  peer = csp_find_roster_peer (roster, host->address);
  if (peer == NULL)
    peer = add_peer (roster, host->address);
  if (peer == NULL || seen_ms <= peer->seen_ms)
    return;
  peer->seen_ms = seen_ms;
  peer->data_centre = host->data_centre;
  peer->capacity = host->capacity;
  peer->started_ms = seen_ms - (int64_t)host->up_ms;
  peer->leaving = host->leaving;
  peer->blind = host->blind;
  peer->sighted = host->sighted;
  judge_life (roster, peer, now_ms);
}

static void
hear_itself (csp_roster_t *roster, csp_roster_peer_t *peer,
             const csp_hello_t *hello, int64_t now_ms)
{
  peer->boot = hello->boot;
  peer->sequence = hello->sequence;
  peer->leaving = hello->leaving;
  peer->blind = hello->blind;
  peer->sighted = hello->sighted;
  peer->data_centre = hello->data_centre;
  peer->capacity = hello->capacity;
  peer->started_ms = now_ms - (int64_t)hello->up_ms;
  peer->heard_ms = now_ms;
  peer->seen_ms = now_ms;
  peer->unanswered = 0;
  judge_life (roster, peer, now_ms);
}

bool
csp_hear_peer (csp_roster_t *roster, csp_peer_address_t from,
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
  if (is_replaced_boot (peer, hello->boot, now_ms)
      || (hello->boot == peer->boot && hello->sequence <= peer->sequence))
    return false;
  if (hello->boot != peer->boot || hello->whole)
    peer->load_count = 0;
  if (hello->whole || hello->load_count > 0)
    peer->loads_ms = now_ms;
  if (hello->decider != 0)
    peer->asks_here = hello->decider == csp_pack_peer (roster->self);
  hear_itself (roster, peer, hello, now_ms);
  for (i = 0; i < hello->load_count; i++)
    set_load (peer, &hello->loads[i]);
  for (i = 0; i < hello->known_count; i++)
    hear_of (roster, &hello->known[i], now_ms);
  return true;
}

/* A host tells its loads each second where this one may have to decide.  What
   it told before that is old: it has ended, is cut off, or tells others by
   now.  */
static bool
drop_old_loads (csp_roster_peer_t *peer, int64_t now_ms)
{
  if (peer->load_count == 0 || now_ms - peer->loads_ms < SILENT_AFTER_MS)
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

      judge_life (roster, &peer, now_ms);
      changed = drop_old_loads (&peer, now_ms) || changed;
      if (peer.seen_ms != 0 && now_ms - peer.seen_ms >= FORGET_AFTER_MS)
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

/* One that is silent may have asked another host meanwhile.  */
size_t
csp_count_askers (const csp_roster_t *roster)
{
  size_t askers = 1;
  size_t i;

  for (i = 0; i < roster->count; i++)
    askers += roster->peers[i].asks_here
              && roster->now_ms - roster->peers[i].loads_ms < SILENT_AFTER_MS;
  return askers;
}

size_t
csp_list_live_peers (const csp_roster_t *roster, csp_peer_address_t *addresses,
                     size_t room)
{
  size_t listed = 0;
  size_t i;

  for (i = 0; i < roster->count && listed < room; i++)
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
csp_each_peer_load (const csp_roster_t *roster, csp_take_load_t take,
                    void *state)
{
  size_t i;
  size_t j;

  for (i = 0; i < roster->count; i++)
    for (j = 0; j < roster->peers[i].load_count; j++)
      take (state, roster->peers[i].address, &roster->peers[i].loads[j]);
}

void
csp_each_load_of_peer (csp_roster_t *roster, csp_peer_address_t address,
                       csp_take_load_t take, void *state)
{
  const csp_roster_peer_t *peer = csp_find_roster_peer (roster, address);
  size_t i;

  for (i = 0; peer != NULL && i < peer->load_count; i++)
    take (state, address, &peer->loads[i]);
}
