#include "soak/soak.h"

#include <signal.h>
#include <string.h>

/* Decides which faults happen when.  They are drawn from the seed, one after
   another, and may overlap.  */

enum
{
  FAULT_FREE_START_MS = 3000,
  FAULT_FREE_END_MS = 9000,
  STARTING_MS = 500,
  FAULT_PER_CENT = 30,
  PER_CENT = 100,
  ROUTE_SWITCH_GAP_MS = 400,
  ROUTE_SWITCHES_MAX = 60,
  OTHER_SERVERS_MIN = 2
};

static uint64_t
draw_ms (soak_t *soak, uint32_t min_ms, uint32_t spread_ms)
{
  return min_ms + csp_random_below (&soak->random, spread_ms);
}

static host_t *
draw_host (soak_t *soak)
{
  return &soak->hosts[csp_random_below (&soak->random,
                                        (uint32_t)soak->host_count)];
}

/* Picks a ready server whose service keeps enough other ready servers; NULL
   if the one drawn doesn't qualify.  */
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
  return server_state (server) == SERVER_READY && others > OTHER_SERVERS_MIN
             ? server
             : NULL;
}

static void
inject_host_fault (soak_t *soak)
{
  host_t *host = draw_host (soak);
  uint64_t for_ms;

  if (host->pid == 0)
    return;
  switch (csp_random_below (&soak->random, 5))
    {
    case 0:
      for_ms = draw_ms (soak, 100, 2500);
      soak_log_event (soak, "%s is paused for %llu ms", host->name,
                      (unsigned long long)for_ms);
      host->continue_at_ms = soak_now_ms (soak) + for_ms;
      host_signal (soak, host, SIGSTOP);
      break;
    case 1:
      soak_log_event (soak, "%s is killed", host->name);
      host_signal (soak, host, SIGKILL);
      break;
    case 2:
      if (host->terminating || host->paused)
        return;
      soak_log_event (soak, "%s gets SIGTERM", host->name);
      host_signal (soak, host, SIGTERM);
      break;
    case 3:
      /* SIGHUP kills a process that has not yet installed its handler.  */
      if (soak_now_ms (soak) < host->started_ms + STARTING_MS)
        return;
      soak_log_event (soak, "%s gets SIGHUP", host->name);
      host_signal (soak, host, SIGHUP);
      break;
    default:
      for_ms = draw_ms (soak, 300, 3500);
      soak_log_event (soak, "%s is cut off from the store for %llu ms",
                      host->name, (unsigned long long)for_ms);
      host->store_heals_ms = soak_now_ms (soak) + for_ms;
      host_mark_disturbed (soak, host, for_ms);
      proxy_set_mode (host->store_proxy,
                      PROXY_HOLD_TO_SERVER
                          + (proxy_mode_t)csp_random_below (&soak->random, 4),
                      0);
      break;
    }
}

static void
kill_half_of_hosts (soak_t *soak)
{
  size_t i;

  soak_log_event (soak, "half of the hosts are killed at once");
  for (i = 0; i < soak->host_count; i++)
    if (csp_random_below (&soak->random, 2) == 0)
      host_signal (soak, &soak->hosts[i], SIGKILL);
}

typedef struct
{
  server_t *server;
  uint64_t heals_ms;
} degraded_proxy_t;

static degraded_proxy_t degraded[SOAK_SERVERS_MAX];
static size_t degraded_count;
static uint64_t store_heals_ms;

static void
inject_connection_fault (soak_t *soak, server_t *server)
{
  uint64_t for_ms = draw_ms (soak, 200, 2500);
  uint32_t fault = csp_random_below (&soak->random, 7);

  server_mark_disturbed (server, soak_now_ms (soak) + for_ms);
  if (fault == 5)
    {
      soak_log_event (soak, "connections of a server are reset");
      proxy_reset_all (server_proxy (server));
      return;
    }
  if (fault == 6)
    {
      soak_log_event (soak, "connections of a server fall silent permanently");
      proxy_silence_all (server_proxy (server));
      return;
    }
  soak_log_event (soak, "a server's proxy is in mode %u for %llu ms",
                  fault + 1, (unsigned long long)for_ms);
  proxy_set_mode (server_proxy (server), (proxy_mode_t)(fault + 1),
                  (uint32_t)draw_ms (soak, 20, 200));
  degraded[degraded_count % SOAK_SERVERS_MAX].server = server;
  degraded[degraded_count++ % SOAK_SERVERS_MAX].heals_ms
      = soak_now_ms (soak) + for_ms;
}

static void
inject_server_fault (soak_t *soak)
{
  server_t *server = draw_server (soak);

  if (server == NULL)
    return;
  switch (csp_random_below (&soak->random, 7))
    {
    case 0:
    case 1:
      soak_log_event (soak, "a server of %s is listed as leaving",
                      server_service (server));
      server_leave (server, draw_ms (soak, 1500, 1500), false);
      server_open (soak, server_service (server));
      break;
    case 2:
      soak_log_event (soak, "a server of %s leaves without notice",
                      server_service (server));
      server_leave (server, draw_ms (soak, 2000, 2000), true);
      server_open (soak, server_service (server));
      break;
    case 3:
      soak_log_event (soak, "a server of %s crashes", server_service (server));
      server_crash (server);
      server_open (soak, server_service (server));
      break;
    case 4:
      soak_log_event (soak, "a server of %s hangs", server_service (server));
      server_hang (server, draw_ms (soak, 200, 2500));
      break;
    case 5:
      soak_log_event (soak, "a server of %s gives faulty answers",
                      server_service (server));
      server_inject_errors (server, draw_ms (soak, 500, 3000));
      break;
    default:
      inject_connection_fault (soak, server);
      break;
    }
}

static void
inject_store_fault (soak_t *soak)
{
  static const store_mode_t modes[] = { STORE_SILENT, STORE_BUSY, STORE_SLOW };
  uint32_t fault = csp_random_below (&soak->random, 4);
  uint64_t for_ms = draw_ms (soak, 300, 3500);

  if (fault == 3)
    {
      soak_log_event (soak, "the store compacts its history");
      store_compact (soak->store);
      for_ms = 0;
    }
  else
    {
      soak_log_event (soak, "the store is in mode %u for %llu ms", fault,
                      (unsigned long long)for_ms);
      store_set_mode (soak->store, modes[fault]);
      store_heals_ms = soak_now_ms (soak) + for_ms;
    }
  if (soak_now_ms (soak) + for_ms + SOAK_SETTLE_MS
      > soak->store_disturbed_until_ms)
    soak->store_disturbed_until_ms
        = soak_now_ms (soak) + for_ms + SOAK_SETTLE_MS;
}

static void
switch_routes (soak_t *soak)
{
  if (soak->route_switches == ROUTE_SWITCHES_MAX
      || soak_now_ms (soak) < soak->route_switch_ms[soak->route_switches]
                                  + ROUTE_SWITCH_GAP_MS)
    return;
  soak->route_switches++;
  soak_publish_config (soak);
  soak->route_switch_ms[soak->route_switches] = soak_now_ms (soak);
  soak_log_event (soak, "routes are switched to %s",
                  soak->route_switches % 2 == 0 ? "plain-a" : "plain-b");
}

static void
end_due_faults (soak_t *soak)
{
  uint64_t now_ms = soak_now_ms (soak);
  size_t i;

  for (i = 0; i < degraded_count && i < SOAK_SERVERS_MAX; i++)
    if (degraded[i].server != NULL && now_ms >= degraded[i].heals_ms)
      {
        if (server_state (degraded[i].server) != SERVER_GONE)
          proxy_set_mode (server_proxy (degraded[i].server), PROXY_PASS, 0);
        degraded[i].server = NULL;
      }
  if (store_heals_ms != 0 && now_ms >= store_heals_ms)
    {
      store_heals_ms = 0;
      store_set_mode (soak->store, STORE_NORMAL);
    }
}

void
plan_tick (soak_t *soak)
{
  uint64_t passed_ms = soak_now_ms (soak) - soak->began_ms;
  uint32_t draw;

  end_due_faults (soak);
  soak->faults_ended = passed_ms + FAULT_FREE_END_MS >= soak->length_ms;
  if (passed_ms < FAULT_FREE_START_MS || soak->faults_ended
      || uneven_is_calm (soak)
      || csp_random_below (&soak->random, PER_CENT) >= FAULT_PER_CENT)
    return;
  soak->faults++;
  draw = csp_random_below (&soak->random, PER_CENT);
  if (draw < 40)
    inject_server_fault (soak);
  else if (draw < 75)
    inject_host_fault (soak);
  else if (draw < 85)
    switch_routes (soak);
  else if (draw < 98)
    inject_store_fault (soak);
  else
    kill_half_of_hosts (soak);
}
