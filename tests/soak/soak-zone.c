#include "soak/soak-server-imp.h"

#include <string.h>

/* Zones that the operator evacuates and takes back, and engines that are cold
   behind their start.  Both have draws of their own, so that a seed has the
   same other faults with and without them.  */

enum
{
  QUIET_START_MS = 3000,
  /* A tick is 100 ms: some zone every two and a half seconds.  */
  EVACUATED_OF_1000 = 40,
  EVACUATED_LEAST_MS = 300,
  EVACUATED_SPREAD_MS = 8000,
  PER_MILLE = 1000,
  WINDOW_MS = 1000
};

const char *
zone_name (const soak_t *soak, size_t number)
{
  static const char *const names[SOAK_ZONES] = { "z-0", "z-1", "z-2" };

  return soak->zones ? names[number % SOAK_ZONES] : "z";
}

static void
evacuate (soak_t *soak, size_t zone, bool on)
{
  char key[32];

  snprintf (key, sizeof key, "op/evacuate/%s", zone_name (soak, zone));
  if (on)
    store_put (soak->store, key, "{}");
  else
    store_delete (soak->store, key);
  soak_note (soak, "%s is %s", zone_name (soak, zone),
             on ? "evacuated" : "taken back");
  soak->evacuated_ms[zone] = on ? soak_now_ms (soak) : 0;
}

void
zone_tick (soak_t *soak)
{
  uint64_t now_ms = soak_now_ms (soak);
  csp_random_t *random = &soak->zone_random;
  size_t i;

  if (!soak->zones || now_ms < soak->began_ms + QUIET_START_MS)
    return;
  for (i = 0; i < SOAK_ZONES; i++)
    if (soak->evacuated_ms[i] != 0
        && (soak->quiet_end || now_ms >= soak->evacuated_until_ms[i]))
      evacuate (soak, i, false);
  if (soak->quiet_end
      || csp_random_below (random, PER_MILLE) >= EVACUATED_OF_1000)
    return;
  i = csp_random_below (random, SOAK_ZONES);
  soak->evacuated_until_ms[i]
      = now_ms + EVACUATED_LEAST_MS
        + csp_random_below (random, EVACUATED_SPREAD_MS);
  if (soak->evacuated_ms[i] != 0)
    return;
  soak->faults++;
  evacuate (soak, i, true);
}

/* The zone has been evacuated for so long that its host must know.  */
static void
check_evacuated (const server_t *server, const request_t *request,
                 const char *id)
{
  soak_t *soak = server->soak;
  uint64_t since_ms = soak->evacuated_ms[server->number % SOAK_ZONES];
  uint64_t now_ms = soak_now_ms (soak);

  if (since_ms == 0 || now_ms <= since_ms + SOAK_EVACUATE_MS
      || now_ms < soak->store_disturbed_until_ms
      || server->disturbed_until_ms > since_ms
      || !host_in_touch (soak, &soak->hosts[request->host]))
    return;
  soak_violation (soak, "EVAC", "%s reached %s %llu ms behind its evacuation",
                  id, server->id, (unsigned long long)(now_ms - since_ms));
}

/* All hosts together send no more to a cold engine than it stands.  */
static void
check_cold (server_t *server, const char *id)
{
  soak_t *soak = server->soak;
  uint64_t now_ms = soak_now_ms (soak);
  uint64_t *oldest
      = &server->arrivals_ms[server->arrivals++ % SOAK_COLD_BOUND];

  /* What its proxy holds comes together when it is let go.  */
  if (now_ms < server->cold_until_ms && *oldest != 0
      && now_ms < *oldest + WINDOW_MS && server->disturbed_until_ms == 0)
    soak_violation (soak, "FAILBACK", "%s is more than %d in a second at %s",
                    id, SOAK_COLD_BOUND, server->id);
  *oldest = now_ms;
}

void
zone_check (server_t *server, const wire_message_t *message)
{
  const char *id = wire_field (message, "X-Attempt-Id");
  const request_t *request = ledger_find (server->soak, id);

  if (!server->soak->zones || request == NULL)
    return;
  check_evacuated (server, request, id);
  if (strcmp (server->service, "engines") == 0)
    check_cold (server, id);
}
