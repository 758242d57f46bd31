#include "soak/soak-server-imp.h"

#include <stdlib.h>
#include <string.h>

/* What servers say of themselves in their answers: that they leave, before the
   store says so, and for how long a host is to send them nothing.  Their draws
   are their own.  */

enum
{
  QUIET_START_MS = 3000,
  /* A tick is 100 ms.  */
  LEAVES_OF_1000 = 15,
  SWAMPED_OF_1000 = 40,
  PER_MILLE = 1000,
  OTHERS_LEAST = 2,
  UNTOLD_LEAST_MS = 2500,
  UNTOLD_SPREAD_MS = 3000,
  LEAVES_FOR_MS = 2500,
  SWAMPED_LEAST_MS = 300,
  SWAMPED_SPREAD_MS = 2500,
  /* Requests that were on their way when it asked for the wait.  */
  ON_WAY_MS = 500,
  ARRIVALS_MAX = 2
};

void
announce_open (soak_t *soak)
{
  csp_seed_random (&soak->announce_random, soak->seed ^ 0x3aed);
}

const char *
server_leaving_field (const server_t *server)
{
  bool leaves = server->state == SERVER_LEAVING || server->untold_until_ms > 0;

  return server->soak->announces && leaves ? "Server-Leaving: 1\r\n" : "";
}

/* A ready server of a service that keeps enough others; NULL where none.  */
static server_t *
draw_server (soak_t *soak)
{
  server_t *server = soak->servers[csp_random_below (
      &soak->announce_random, (uint32_t)soak->server_count)];
  size_t others = 0;
  size_t i;

  for (i = 0; i < soak->server_count; i++)
    others += soak->servers[i]->state == SERVER_READY
              && soak->servers[i]->untold_until_ms == 0
              && strcmp (soak->servers[i]->service, server->service) == 0;
  return server->state == SERVER_READY && server->untold_until_ms == 0
                 && others > OTHERS_LEAST
             ? server
             : NULL;
}

/* It says so in its answers; the store is told some seconds later.  */
static void
begin_leaving (soak_t *soak, uint64_t now_ms)
{
  server_t *server = draw_server (soak);

  if (server == NULL)
    return;
  soak->faults++;
  server->untold_until_ms
      = now_ms + UNTOLD_LEAST_MS
        + csp_random_below (&soak->announce_random, UNTOLD_SPREAD_MS);
  soak_note (soak, "%s leaves, and says so in its answers alone", server->id);
  server_open (soak, server->service);
}

static void
begin_swamped (soak_t *soak, uint64_t now_ms)
{
  server_t *server = draw_server (soak);

  if (server == NULL)
    return;
  soak->faults++;
  server->swamped_until_ms
      = now_ms + SWAMPED_LEAST_MS
        + csp_random_below (&soak->announce_random, SWAMPED_SPREAD_MS);
  soak_note (soak, "%s is swamped until %.1f s", server->id,
             (double)(server->swamped_until_ms - soak->began_ms) / 1000);
}

static void
tell_store (soak_t *soak, uint64_t now_ms)
{
  size_t i;

  for (i = 0; i < soak->server_count; i++)
    {
      server_t *server = soak->servers[i];

      if (server->state == SERVER_READY && server->untold_until_ms > 0
          && (soak->quiet_end || now_ms >= server->untold_until_ms))
        server_leave (server, LEAVES_FOR_MS, false);
    }
}

void
announce_tick (soak_t *soak)
{
  uint64_t now_ms = soak_now_ms (soak);

  if (!soak->announces || now_ms < soak->began_ms + QUIET_START_MS)
    return;
  tell_store (soak, now_ms);
  if (soak->quiet_end)
    return;
  if (csp_random_below (&soak->announce_random, PER_MILLE) < LEAVES_OF_1000)
    begin_leaving (soak, now_ms);
  if (csp_random_below (&soak->announce_random, PER_MILLE) < SWAMPED_OF_1000)
    begin_swamped (soak, now_ms);
}

/* What a server has told one start of a host.  */
static announced_t *
announced_to (server_t *server, size_t host)
{
  soak_t *soak = server->soak;
  announced_t *told;

  if (server->announced == NULL)
    server->announced = calloc (soak->host_count, sizeof *server->announced);
  if (server->announced == NULL)
    abort ();
  told = &server->announced[host];
  if (told->boot != soak->hosts[host].boot)
    *told = (announced_t){ .boot = soak->hosts[host].boot };
  return told;
}

/* Whether its link or its host has had a fault since.  */
static bool
is_excused (const server_t *server, const host_t *host, uint64_t since_ms)
{
  return server->disturbed_until_ms > since_ms || host->stopped
         || host->frozen_ms >= since_ms;
}

void
announce_passed_on (soak_t *soak, const request_t *request,
                    const wire_message_t *head)
{
  announced_t *told;

  if (wire_field (head, "Server-Leaving") == NULL || request->server == NULL)
    return;
  told = announced_to ((server_t *)request->server, request->host);
  if (told->leaving_ms == 0 && request->host_boot == told->boot)
    told->leaving_ms = soak_now_ms (soak);
}

static void
check_leaving (const server_t *server, const announced_t *told,
               const request_t *request, const char *id)
{
  soak_t *soak = server->soak;

  if (told->leaving_ms == 0 || request->host_boot != told->boot
      || request->sent_ms <= told->leaving_ms + SOAK_DRAIN_MS
      || is_excused (server, &soak->hosts[request->host], told->leaving_ms))
    return;
  soak_violation (soak, "DRAIN",
                  "%s reached %s %llu ms behind an answer that said that it "
                  "leaves",
                  id, server->id,
                  (unsigned long long)(soak_now_ms (soak) - told->leaving_ms));
}

static void
check_wait (const server_t *server, announced_t *told,
            const request_t *request, const char *id)
{
  soak_t *soak = server->soak;
  uint64_t now_ms = soak_now_ms (soak);

  if (now_ms <= told->wait_from_ms + ON_WAY_MS || now_ms >= told->wait_until_ms
      || is_excused (server, &soak->hosts[request->host], told->wait_from_ms)
      || ++told->arrivals != ARRIVALS_MAX + 1)
    return;
  soak_violation (soak, "BUDGET", "%s is the third at %s within its wait", id,
                  server->id);
}

/* Turn it away for a while, some of it in fractions.  */
static void
ask_to_wait (server_t *server, announced_t *told, wire_t *wire)
{
  uint64_t now_ms = soak_now_ms (server->soak);
  uint64_t wait_ms = server->swamped_until_ms - now_ms;

  if (now_ms >= told->wait_until_ms)
    {
      told->wait_from_ms = now_ms;
      told->arrivals = 0;
    }
  if (now_ms + wait_ms > told->wait_until_ms)
    told->wait_until_ms = now_ms + wait_ms;
  wire_print (wire,
              "HTTP/1.1 503 Swamped\r\nX-Not-Executed: 1\r\n%s"
              "Retry-After: %.3f\r\nContent-Length: 0\r\n\r\n",
              server_leaving_field (server), (double)wait_ms / 1000);
}

bool
announce_turns_away (server_t *server, wire_t *wire,
                     const wire_message_t *message)
{
  const char *id = wire_field (message, "X-Attempt-Id");
  soak_t *soak = server->soak;
  const request_t *request = ledger_find (soak, id);
  announced_t *told;

  if (!soak->announces || request == NULL
      || request->host_boot != soak->hosts[request->host].boot)
    return false;
  told = announced_to (server, request->host);
  check_leaving (server, told, request, id);
  check_wait (server, told, request, id);
  if (soak_now_ms (soak) >= server->swamped_until_ms)
    return false;
  ask_to_wait (server, told, wire);
  return true;
}
