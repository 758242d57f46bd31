#include "cowslipspoke/roster.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* The order in which hosts read and decide for the others.  */
  READING_SALT = 0,
  /* Each host greets the others that often; at 91 hosts that is 91 datagrams
     a second each way.  */
  GREET_MS = 1000,
  /* Those that aren't heard: seeds that are down, and hosts behind a cut,
     which heals unannounced.  */
  GREET_SILENT_MS = 2000,
  /* Two greetings may be lost on a link that drops packets.  */
  SILENT_AFTER_MS = 3300,
  /* Datagrams take milliseconds, and half a second on a full link; a boot that
     lives greets every second.  */
  BOOT_SILENT_MS = 1500,
  /* A machine that is away that long has another address or none.  */
  FORGET_AFTER_MS = 600000
};

typedef struct
{
  csp_peer_address_t address;
  uint64_t boot;
  uint64_t sequence;
  bool live;
  bool leaving;
  bool blind;
  uint32_t data_centre;
  int64_t heard_ms;
  int64_t greet_at_ms;
  size_t load_count;
  size_t load_room;
  csp_peer_load_t *loads;
} peer_t;

struct csp_roster
{
  csp_peer_address_t self;
  uint64_t boot;
  uint32_t data_centre;
  bool blind;
  csp_random_t random;
  size_t count;
  size_t room;
  peer_t *peers;
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

static peer_t *
find_peer (csp_roster_t *roster, csp_peer_address_t address)
{
  size_t i;

  for (i = 0; i < roster->count; i++)
    if (csp_is_same_peer (roster->peers[i].address, address))
      return &roster->peers[i];
  return NULL;
}

static peer_t *
add_peer (csp_roster_t *roster, csp_peer_address_t address)
{
  peer_t *peer;

  if (roster->count == CSP_ROSTER_MAX)
    return NULL;
  if (roster->count == roster->room)
    {
      size_t room = roster->room == 0 ? 16 : roster->room * 2;
      peer_t *grown = realloc (roster->peers, room * sizeof *grown);

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
      && find_peer (roster, address) == NULL)
    add_peer (roster, address);
}

static void
set_load (peer_t *peer, const csp_peer_load_t *load)
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
      size_t room = peer->load_room == 0 ? 16 : peer->load_room * 2;
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
is_replaced_boot (const peer_t *peer, uint64_t boot, int64_t now_ms)
{
  return boot < peer->boot && now_ms - peer->heard_ms < BOOT_SILENT_MS;
}

bool
csp_hear_peer (csp_roster_t *roster, csp_peer_address_t from,
               const csp_hello_t *hello, int64_t now_ms)
{
  peer_t *peer;
  size_t i;

  if (hello->boot == roster->boot || csp_is_same_peer (from, roster->self))
    return false;
  peer = find_peer (roster, from);
  if (peer == NULL)
    peer = add_peer (roster, from);
  if (peer == NULL)
    return false;
  if (is_replaced_boot (peer, hello->boot, now_ms)
      || (hello->boot == peer->boot && hello->sequence <= peer->sequence))
    return false;
  if (hello->boot != peer->boot || hello->whole)
    peer->load_count = 0;
  peer->boot = hello->boot;
  peer->sequence = hello->sequence;
  peer->leaving = hello->leaving;
  peer->blind = hello->blind;
  peer->data_centre = hello->data_centre;
  peer->heard_ms = now_ms;
  peer->live = true;
  for (i = 0; i < hello->load_count; i++)
    set_load (peer, &hello->loads[i]);
  for (i = 0; i < hello->known_count; i++)
    csp_learn_peer (roster, hello->known[i]);
  return true;
}

bool
csp_expire_peers (csp_roster_t *roster, int64_t now_ms)
{
  bool changed = false;
  size_t kept = 0;
  size_t i;

  for (i = 0; i < roster->count; i++)
    {
      peer_t peer = roster->peers[i];
      int64_t silent_ms = now_ms - peer.heard_ms;

      if (peer.live && silent_ms >= SILENT_AFTER_MS)
        {
          peer.live = false;
          peer.load_count = 0;
          changed = true;
        }
      if (peer.heard_ms != 0 && silent_ms >= FORGET_AFTER_MS)
        free (peer.loads);
      else
        roster->peers[kept++] = peer;
    }
  roster->count = kept;
  return changed;
}

size_t
csp_list_due_peers (csp_roster_t *roster, int64_t now_ms,
                    csp_peer_address_t *addresses, size_t room)
{
  size_t listed = 0;
  size_t i;

  for (i = 0; i < roster->count && listed < room; i++)
    {
      peer_t *peer = &roster->peers[i];

      if (now_ms < peer->greet_at_ms)
        continue;
      peer->greet_at_ms = now_ms + (peer->live ? GREET_MS : GREET_SILENT_MS);
      addresses[listed++] = peer->address;
    }
  return listed;
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
csp_set_roster_blind (csp_roster_t *roster, bool blind)
{
  roster->blind = blind;
}

/* A reader that the store turns away would be named again and again by those
   who follow it, each time to be found in doubt.  */
csp_peer_address_t
csp_pick_reader (const csp_roster_t *roster)
{
  csp_peer_address_t reader = roster->self;
  bool reader_blind = roster->blind;
  size_t i;

  for (i = 0; i < roster->count; i++)
    {
      const peer_t *peer = &roster->peers[i];
      bool earlier = csp_order_peer (peer->address, READING_SALT)
                     < csp_order_peer (reader, READING_SALT);

      if (!peer->live || peer->leaving
          || peer->data_centre != roster->data_centre)
        continue;
      /* Where all are blind one of them still watches for the return.  */
      if (peer->blind == reader_blind ? !earlier : peer->blind)
        continue;
      reader = peer->address;
      reader_blind = peer->blind;
    }
  return reader;
}

csp_peer_address_t
csp_pick_decider (const csp_roster_t *roster)
{
  csp_peer_address_t decider = roster->self;
  size_t i;

  for (i = 0; i < roster->count; i++)
    {
      const peer_t *peer = &roster->peers[i];

      if (peer->live && !peer->leaving
          && csp_order_peer (peer->address, READING_SALT)
                 < csp_order_peer (decider, READING_SALT))
        decider = peer->address;
    }
  return decider;
}

/* From a random place onwards, so that over some greetings all are named.  */
size_t
csp_draw_known_peers (csp_roster_t *roster, csp_peer_address_t *addresses,
                      size_t room)
{
  size_t first = csp_random_below (&roster->random, (uint32_t)roster->count);
  size_t drawn = 0;
  size_t i;

  for (i = 0; i < roster->count && drawn < room; i++)
    {
      const peer_t *peer = &roster->peers[(first + i) % roster->count];

      if (peer->live)
        addresses[drawn++] = peer->address;
    }
  return drawn;
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
  const peer_t *peer = find_peer (roster, address);
  size_t i;

  for (i = 0; peer != NULL && i < peer->load_count; i++)
    take (state, address, &peer->loads[i]);
}
