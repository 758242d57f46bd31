#include "support/roster-fleet.h"

#include <check.h>
#include <stdlib.h>

enum
{
  STEP_MS = 20,
  FIRST_IP = 1000,
  PORT = 10,
  LARGE_CAPACITY = 500,
  SMALL_CAPACITY = 120,
  SMALL_PER_LARGE = 10
};

static roster_host_t hosts[ROSTER_FLEET_HOSTS_MAX];
static size_t host_count;
static uint64_t sent_bytes;
static roster_hello_t on_hello;

static csp_peer_address_t
address_of (size_t host)
{
  return (csp_peer_address_t){ (uint32_t)(FIRST_IP + host), PORT };
}

static size_t
index_of (const roster_host_t *host)
{
  return (size_t)(host - hosts);
}

roster_host_t *
roster_fleet_at (size_t index)
{
  return &hosts[index];
}

size_t
roster_fleet_size (void)
{
  return host_count;
}

uint64_t
roster_fleet_bytes (void)
{
  return sent_bytes;
}

roster_host_t *
find_roster_host (csp_peer_address_t address)
{
  return &hosts[address.ip - FIRST_IP];
}

static bool
runs (const roster_host_t *host, int64_t now_ms)
{
  return !host->ended && !host->paused && now_ms >= host->started_ms;
}

bool
roster_hosts_connect (const roster_host_t *from, const roster_host_t *to)
{
  return from->side == to->side;
}

void
deliver_roster_hello (roster_host_t *from, csp_hello_t *hello,
                      csp_peer_address_t to_address, int64_t now_ms)
{
  roster_host_t *to = find_roster_host (to_address);
  csp_hello_t reply = { .reply_requested = false };
  csp_buffer_t bytes = { 0 };

  csp_fill_own_hello (from->roster, hello, now_ms);
  hello->sequence = ++from->sequence;
  ck_assert (csp_encode_hello (hello, &bytes));
  sent_bytes += bytes.size_bytes;
  csp_clear_buffer (&bytes);
  if (!runs (to, now_ms) || !roster_hosts_connect (from, to))
    return;
  csp_receive_hello (to->roster, from->address, hello, now_ms);
  if (on_hello != NULL)
    on_hello (from, to, now_ms);
  if (!hello->reply_requested)
    return;
  reply.known_count = csp_choose_reply_hosts (to->roster, from->address, hello,
                                              reply.known_hosts, now_ms);
  deliver_roster_hello (to, &reply, from->address, now_ms);
}

static void
tick_host (roster_host_t *host, int64_t now_ms)
{
  csp_peer_address_t targets[ROSTER_FLEET_DATA_CENTRES + ROSTER_FLEET_SEEDS];
  size_t count;
  size_t i;

  csp_expire_peers (host->roster, now_ms);
  count = csp_choose_hello_targets (host->roster, now_ms, targets,
                                    sizeof targets / sizeof targets[0]);
  for (i = 0; i < count; i++)
    {
      csp_hello_t hello = { .reply_requested = true };

      hello.known_count = csp_choose_known_hosts (host->roster, targets[i],
                                                  hello.known_hosts,
                                                  CSP_HELLO_KNOWN_MAX, now_ms);
      deliver_roster_hello (host, &hello, targets[i], now_ms);
    }
}

void
run_roster_fleet (int64_t *now_ms, int64_t until_ms)
{
  size_t i;

  for (; *now_ms < until_ms; *now_ms += STEP_MS)
    for (i = 0; i < host_count; i++)
      if (runs (&hosts[i], *now_ms)
          && (*now_ms - hosts[i].started_ms) % ROSTER_FLEET_TICK_MS < STEP_MS)
        tick_host (&hosts[i], *now_ms);
}

static void
open_roster (roster_host_t *host)
{
  size_t index = index_of (host);
  size_t seed;

  host->roster = csp_create_roster (
      host->address, host->boot,
      (uint32_t)(1 + index % ROSTER_FLEET_DATA_CENTRES), 100 + index);
  /* A few large hosts among small ones.  */
  csp_set_roster_local_info (host->roster,
                             index % SMALL_PER_LARGE == 0 ? LARGE_CAPACITY
                                                          : SMALL_CAPACITY,
                             host->started_ms);
  for (seed = 0; seed < ROSTER_FLEET_SEEDS; seed++)
    csp_add_peer_address (host->roster, address_of (seed));
}

void
restart_roster_host (roster_host_t *host, int64_t now_ms)
{
  csp_destroy_roster (host->roster);
  host->boot += ROSTER_FLEET_HOSTS_MAX;
  host->sequence = 0;
  host->started_ms = now_ms;
  host->ended = false;
  host->paused = false;
  open_roster (host);
}

void
start_roster_fleet (size_t count, int64_t seeds_late_ms, roster_hello_t hello)
{
  csp_random_t draws;
  size_t i;

  csp_seed_random (&draws, 7);
  host_count = count;
  sent_bytes = 0;
  on_hello = hello;
  for (i = 0; i < count; i++)
    {
      roster_host_t *host = &hosts[i];

      *host = (roster_host_t){
        .address = address_of (i),
        .boot = 1 + i,
        .started_ms = ROSTER_FLEET_START_MS
                      + STEP_MS
                            * (int64_t)csp_random_below (
                                &draws, ROSTER_FLEET_START_SPREAD_MS / STEP_MS)
      };
      if (i < ROSTER_FLEET_SEEDS)
        host->started_ms += seeds_late_ms;
      open_roster (host);
    }
}

void
end_roster_fleet (void)
{
  size_t i;

  for (i = 0; i < host_count; i++)
    csp_destroy_roster (hosts[i].roster);
}
