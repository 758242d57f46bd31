#include "soak/soak-server-imp.h"

#include <string.h>

/* Zones that the operator evacuates and restores, and engines that are cold
   after their start.  These faults use a random generator of their own, so
   that a seed has the same other faults with and without them.  */

enum
{
  FAULT_FREE_START_MS = 3000,
  /* The chance for each tick of 100 ms: an evacuation every two and a half
     seconds.  */
  EVACUATE_PER_MILLE = 40,
  EVACUATED_MIN_MS = 300,
  EVACUATED_SPREAD_MS = 8000,
  PER_MILLE = 1000,
  WINDOW_MS = 1000
};

const char *
zone_name (const soak_t *soak, size_t number)
{
  static const char *const names[SOAK_ZONES] = { "z-0", "z-1", "z-2" };

  return soak->zones_enabled ? names[number % SOAK_ZONES] : "z";
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
  soak_log_event (soak, "%s is %s", zone_name (soak, zone),
                  on ? "evacuated" : "restored");
  soak->evacuated_ms[zone] = on ? soak_now_ms (soak) : 0;
}

/* Whether each ready server of the service is in an evacuated zone.  */
static bool
is_evacuated (const soak_t *soak, const char *service)
{
  size_t i;

  for (i = 0; i < soak->server_count; i++)
    if (server_state (soak->servers[i]) == SERVER_READY
        && strcmp (server_service (soak->servers[i]), service) == 0
        && soak->evacuated_ms[soak->servers[i]->number % SOAK_ZONES] == 0)
      return false;
  return true;
}

/* Hosts may need a while to learn that a zone was restored, and longer where
   the store is disturbed.  */
static void
note_evacuated_services (soak_t *soak)
{
  uint64_t until_ms = soak_now_ms (soak) + SOAK_EVACUATE_MS;

  if (soak->store_disturbed_until_ms > until_ms)
    until_ms = soak->store_disturbed_until_ms;
  if (is_evacuated (soak, "engines"))
    soak->engines_refuse_until_ms = until_ms;
  if (is_evacuated (soak, "plain-a") || is_evacuated (soak, "plain-b"))
    soak->plain_refuse_until_ms = until_ms;
}

bool
zone_refuses (const soak_t *soak, const request_t *request)
{
  return soak_now_ms (soak) < (request->kind == KIND_STREAM
                                   ? soak->engines_refuse_until_ms
                                   : soak->plain_refuse_until_ms);
}

void
zone_tick (soak_t *soak)
{
  uint64_t now_ms = soak_now_ms (soak);
  csp_random_t *random = &soak->zone_random;
  size_t i;

  if (!soak->zones_enabled || now_ms < soak->began_ms + FAULT_FREE_START_MS)
    return;
  for (i = 0; i < SOAK_ZONES; i++)
    if (soak->evacuated_ms[i] != 0
        && (soak->faults_ended || now_ms >= soak->evacuated_until_ms[i]))
      evacuate (soak, i, false);
  note_evacuated_services (soak);
  if (soak->faults_ended
      || csp_random_below (random, PER_MILLE) >= EVACUATE_PER_MILLE)
    return;
  i = csp_random_below (random, SOAK_ZONES);
  soak->evacuated_until_ms[i]
      = now_ms + EVACUATED_MIN_MS
        + csp_random_below (random, EVACUATED_SPREAD_MS);
  if (soak->evacuated_ms[i] != 0)
    return;
  soak->faults++;
  evacuate (soak, i, true);
}

/* Checks that no request reaches a zone that has been evacuated for longer
   than hosts may take to apply it.  */
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
      || !host_is_undisturbed (soak, &soak->hosts[request->host]))
    return;
  soak_report_violation (soak, "EVAC",
                         "%s reached %s %llu ms after its evacuation", id,
                         server->id, (unsigned long long)(now_ms - since_ms));
}

/* Checks that all hosts together send a cold engine no more requests than it
   can take.  */
static void
check_cold (server_t *server, const char *id)
{
  soak_t *soak = server->soak;
  uint64_t now_ms = soak_now_ms (soak);
  uint64_t *oldest
      = &server->arrivals_ms[server->arrivals++ % SOAK_COLD_BOUND];

  /* Requests that a proxy held arrive all at once when the proxy passes
     traffic again, so engines with disturbed connections aren't checked.  */
  if (now_ms < server->cold_until_ms && *oldest != 0
      && now_ms < *oldest + WINDOW_MS && server->disturbed_until_ms == 0)
    soak_report_violation (soak, "FAILBACK",
                           "%s exceeds %d requests a second to cold %s", id,
                           SOAK_COLD_BOUND, server->id);
  *oldest = now_ms;
}

void
zone_check (server_t *server, const wire_message_t *message)
{
  const char *id = wire_field (message, "X-Attempt-Id");
  const request_t *request = ledger_find (server->soak, id);

  if (!server->soak->zones_enabled || request == NULL)
    return;
  check_evacuated (server, request, id);
  if (strcmp (server->service, "engines") == 0)
    check_cold (server, id);
}
