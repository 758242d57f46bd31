#include "soak/soak.h"

#include <signal.h>
#include <string.h>

/* Which faults come when: drawn from the seed, in series and overlapping.  */

enum
{
  QUIET_START_MS = 3000,
  QUIET_END_MS = 9000,
  STARTING_MS = 500,
  FAULT_PER_CENT = 30,
  PER_CENT = 100,
  FLIP_GAP_MS = 400,
  FLIPS_MAX = 60,
  SERVERS_LEAST = 2
};

static uint64_t
draw_ms (soak_t *soak, uint32_t least_ms, uint32_t spread_ms)
{
  return least_ms + csp_random_below (&soak->random, spread_ms);
}

static host_t *
draw_host (soak_t *soak)
{
  return &soak->hosts[csp_random_below (&soak->random,
                                        (uint32_t)soak->host_count)];
}

/* A ready server whose service keeps enough others; NULL where none.  */
static server_t *
draw_server (soak_t *soak)
{
  server_t *server = soak->servers[csp_random_below (
      &soak->random, (uint32_t)soak->server_count)];
  size_t others = 0;
  size_t i;

  for (i = 0; i < soak->server_count; i++)
    others += server_state (soak->servers[i]) == SERVER_READY
              && strcmp (server_service (soak->servers[i]),
                         server_service (server))
                     == 0;
  return server_state (server) == SERVER_READY && others > SERVERS_LEAST
             ? server
             : NULL;
}

static void
spoil_host (soak_t *soak)
{
  host_t *host = draw_host (soak);
  uint64_t for_ms;

  if (host->pid == 0)
    return;
  switch (csp_random_below (&soak->random, 5))
    {
    case 0:
      for_ms = draw_ms (soak, 100, 2500);
      soak_note (soak, "%s stands still for %llu ms", host->name,
                 (unsigned long long)for_ms);
      host->continue_at_ms = soak_now_ms (soak) + for_ms;
      host_signal (soak, host, SIGSTOP);
      break;
    case 1:
      soak_note (soak, "%s is killed", host->name);
      host_signal (soak, host, SIGKILL);
      break;
    case 2:
      if (host->terminating || host->stopped)
        return;
      soak_note (soak, "%s is stopped in order", host->name);
      host_signal (soak, host, SIGTERM);
      break;
    case 3:
      /* A process that is told before it can hear ends.  */
      if (soak_now_ms (soak) < host->started_ms + STARTING_MS)
        return;
      soak_note (soak, "%s is told of new settings", host->name);
      host_signal (soak, host, SIGHUP);
      break;
    default:
      for_ms = draw_ms (soak, 300, 3500);
      soak_note (soak, "%s is cut off from the store for %llu ms", host->name,
                 (unsigned long long)for_ms);
      host->store_heals_ms = soak_now_ms (soak) + for_ms;
      host_disturb (soak, host, for_ms);
      proxy_set_mode (host->store_proxy,
                      PROXY_HOLD_TO
                          + (proxy_mode_t)csp_random_below (&soak->random, 4),
                      0);
      break;
    }
}

static void
kill_many (soak_t *soak)
{
  size_t i;

  soak_note (soak, "half of the hosts are killed at once");
  for (i = 0; i < soak->host_count; i++)
    if (csp_random_below (&soak->random, 2) == 0)
      host_signal (soak, &soak->hosts[i], SIGKILL);
}

typedef struct
{
  server_t *server;
  uint64_t heals_ms;
} spoiled_t;

static spoiled_t spoiled[SOAK_SERVERS_MAX];
static size_t spoiled_count;
static uint64_t store_heals_ms;

static void
spoil_connections (soak_t *soak, server_t *server)
{
  uint64_t for_ms = draw_ms (soak, 200, 2500);
  uint32_t how = csp_random_below (&soak->random, 7);

  server_disturb (server, soak_now_ms (soak) + for_ms);
  if (how == 5)
    {
      soak_note (soak, "connections of a server are reset");
      proxy_reset_all (server_proxy (server));
      return;
    }
  if (how == 6)
    {
      soak_note (soak, "connections of a server fall silent for good");
      proxy_silence_all (server_proxy (server));
      return;
    }
  soak_note (soak, "a server's proxy is in mode %u for %llu ms", how + 1,
             (unsigned long long)for_ms);
  proxy_set_mode (server_proxy (server), (proxy_mode_t)(how + 1),
                  (uint32_t)draw_ms (soak, 20, 200));
  spoiled[spoiled_count % SOAK_SERVERS_MAX].server = server;
  spoiled[spoiled_count++ % SOAK_SERVERS_MAX].heals_ms
      = soak_now_ms (soak) + for_ms;
}

static void
spoil_server (soak_t *soak)
{
  server_t *server = draw_server (soak);

  if (server == NULL)
    return;
  switch (csp_random_below (&soak->random, 7))
    {
    case 0:
    case 1:
      soak_note (soak, "a server of %s is told to leave",
                 server_service (server));
      server_leave (server, draw_ms (soak, 1500, 1500), false);
      server_open (soak, server_service (server));
      break;
    case 2:
      soak_note (soak, "a server of %s leaves without notice",
                 server_service (server));
      server_leave (server, draw_ms (soak, 2000, 2000), true);
      server_open (soak, server_service (server));
      break;
    case 3:
      soak_note (soak, "a server of %s crashes", server_service (server));
      server_crash (server);
      server_open (soak, server_service (server));
      break;
    case 4:
      soak_note (soak, "a server of %s hangs", server_service (server));
      server_hang (server, draw_ms (soak, 200, 2500));
      break;
    case 5:
      soak_note (soak, "a server of %s spoils answers",
                 server_service (server));
      server_spoil (server, draw_ms (soak, 500, 3000));
      break;
    default:
      spoil_connections (soak, server);
      break;
    }
}

static void
spoil_store (soak_t *soak)
{
  static const store_mode_t modes[] = { STORE_SILENT, STORE_BUSY, STORE_SLOW };
  uint32_t how = csp_random_below (&soak->random, 4);
  uint64_t for_ms = draw_ms (soak, 300, 3500);

  if (how == 3)
    {
      soak_note (soak, "the store forgets its history");
      store_compact (soak->store);
      for_ms = 0;
    }
  else
    {
      soak_note (soak, "the store is in mode %u for %llu ms", how,
                 (unsigned long long)for_ms);
      store_set_mode (soak->store, modes[how]);
      store_heals_ms = soak_now_ms (soak) + for_ms;
    }
  if (soak_now_ms (soak) + for_ms + SOAK_CONTACT_MS
      > soak->store_disturbed_until_ms)
    soak->store_disturbed_until_ms
        = soak_now_ms (soak) + for_ms + SOAK_CONTACT_MS;
}

static void
flip_routes (soak_t *soak)
{
  if (soak->flips == FLIPS_MAX
      || soak_now_ms (soak) < soak->flip_ms[soak->flips] + FLIP_GAP_MS)
    return;
  soak->flips++;
  soak_publish (soak);
  soak->flip_ms[soak->flips] = soak_now_ms (soak);
  soak_note (soak, "routes are switched to %s",
             soak->flips % 2 == 0 ? "plain-a" : "plain-b");
}

static void
heal (soak_t *soak)
{
  uint64_t now_ms = soak_now_ms (soak);
  size_t i;

  for (i = 0; i < spoiled_count && i < SOAK_SERVERS_MAX; i++)
    if (spoiled[i].server != NULL && now_ms >= spoiled[i].heals_ms)
      {
        if (server_state (spoiled[i].server) != SERVER_GONE)
          proxy_set_mode (server_proxy (spoiled[i].server), PROXY_PASS, 0);
        spoiled[i].server = NULL;
      }
  if (store_heals_ms != 0 && now_ms >= store_heals_ms)
    {
      store_heals_ms = 0;
      store_set_mode (soak->store, STORE_WELL);
    }
}

void
plan_tick (soak_t *soak)
{
  uint64_t passed_ms = soak_now_ms (soak) - soak->began_ms;
  uint32_t draw;

  heal (soak);
  soak->quiet_end = passed_ms + QUIET_END_MS >= soak->length_ms;
  if (passed_ms < QUIET_START_MS || soak->quiet_end
      || csp_random_below (&soak->random, PER_CENT) >= FAULT_PER_CENT)
    return;
  soak->faults++;
  draw = csp_random_below (&soak->random, PER_CENT);
  if (draw < 40)
    spoil_server (soak);
  else if (draw < 75)
    spoil_host (soak);
  else if (draw < 85)
    flip_routes (soak);
  else if (draw < 98)
    spoil_store (soak);
  else
    kill_many (soak);
}
