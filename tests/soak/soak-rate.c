#include "soak/soak-server-imp.h"

#include <string.h>

/* Rate limits that servers state in their answers.  These faults use a random
   generator of their own, so that they don't change the other faults of a
   seed.  */

enum
{
  FAULT_FREE_START_MS = 3000,
  /* Chance for each tick of 100 ms.  */
  BEGIN_PER_MILLE = 30,
  PER_MILLE = 1000,
  MS_PER_S = 1000,
  FOR_MIN_MS = 5000,
  FOR_SPREAD_MS = 8000,
  /* Limits are 0 to 6 requests per second, in steps of a half.  */
  STEPS_MAX = 13,
  STEPS_PER_REQUEST = 2,
  /* A host knows the limit this long after it passed on an answer with it.  */
  TOLD_MS = 500,
  WINDOW_MS = 4000,
  OVERAGE = 5
};

static const double window_factor = 1.5;

/* A limit is stated up to a tenth lower, another value in each answer.  */
static const double variation = 0.1;

void
rate_open (soak_t *soak)
{
  csp_seed_random (&soak->rate_random, soak->seed ^ 0x51ab);
}

static bool
is_stated (const server_t *server)
{
  uint64_t now_ms = soak_now_ms (server->soak);

  return server->rate_stated_ms > 0 && now_ms >= server->rate_stated_ms
         && now_ms < server->rate_until_ms;
}

const char *
server_rate_field (server_t *server)
{
  soak_t *soak = server->soak;

  if (!is_stated (server))
    return "";
  snprintf (server->rate_field, sizeof server->rate_field,
            "Server-Limit: %.2f\r\n",
            server->rate_per_s
                * (1 - variation * csp_random_unit (&soak->rate_random)));
  return server->rate_field;
}

void
rate_tick (soak_t *soak)
{
  uint64_t now_ms = soak_now_ms (soak);
  server_t *server;

  if (!soak->rate_enabled || soak->faults_ended
      || now_ms < soak->began_ms + FAULT_FREE_START_MS
      || csp_random_below (&soak->rate_random, PER_MILLE) >= BEGIN_PER_MILLE)
    return;
  server = soak->servers[csp_random_below (&soak->rate_random,
                                           (uint32_t)soak->server_count)];
  if (server->state != SERVER_READY || is_stated (server))
    return;
  soak->faults++;
  server->rate_per_s = (double)csp_random_below (&soak->rate_random, STEPS_MAX)
                       / STEPS_PER_REQUEST;
  server->rate_stated_ms = now_ms;
  server->rate_until_ms
      = now_ms + FOR_MIN_MS
        + csp_random_below (&soak->rate_random, FOR_SPREAD_MS);
  soak_log_event (soak, "%s states a limit of %g until %.1f s", server->id,
                  server->rate_per_s,
                  (double)(server->rate_until_ms - soak->began_ms) / MS_PER_S);
}

void
rate_head_delivered (soak_t *soak, const request_t *request,
                     const wire_message_t *head)
{
  announcements_t *announcements;

  if (wire_field (head, "Server-Limit") == NULL || request->server == NULL)
    return;
  announcements
      = server_find_announcements ((server_t *)request->server, request->host);
  if (announcements->rate_told_ms < request->server->rate_stated_ms
      && request->host_incarnation == announcements->incarnation)
    announcements->rate_told_ms = soak_now_ms (soak);
}

/* Whether a request counts: its host was told, and neither it nor its links
   were disturbed.  */
static bool
is_counted (server_t *server, const request_t *request)
{
  soak_t *soak = server->soak;
  const announcements_t *announcements
      = server_find_announcements (server, request->host);

  return request->host_incarnation == announcements->incarnation
         && announcements->rate_told_ms >= server->rate_stated_ms
         && soak_now_ms (soak) >= announcements->rate_told_ms + TOLD_MS
         && host_is_undisturbed (soak, &soak->hosts[request->host])
         && server_is_undisturbed (server);
}

void
rate_check (server_t *server, const request_t *request, const char *id)
{
  soak_t *soak = server->soak;
  uint64_t now_ms = soak_now_ms (soak);
  double most
      = window_factor * server->rate_per_s * WINDOW_MS / MS_PER_S + OVERAGE;
  uint32_t in_window = 0;
  size_t i;

  if (!is_stated (server) || request == NULL
      || now_ms < server->rate_stated_ms + SOAK_SETTLE_MS
      || !is_counted (server, request))
    return;
  server->counted_ms[server->counted++ % COUNTED_MAX] = now_ms;
  for (i = 0; i < COUNTED_MAX; i++)
    in_window
        += server->counted_ms[i] + WINDOW_MS > now_ms
           && server->counted_ms[i] >= server->rate_stated_ms + SOAK_SETTLE_MS;
  if (in_window > most && !server->rate_exceeded)
    {
      server->rate_exceeded = true;
      soak_report_violation (soak, "LIMIT",
                             "%s is number %u in 4 s at %s, which states %g",
                             id, in_window, server->id, server->rate_per_s);
    }
}
