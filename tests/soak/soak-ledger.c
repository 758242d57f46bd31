#include "soak/soak.h"

#include <stdlib.h>
#include <string.h>

/* The promises of the pages, by request.  */

enum
{
  HEXADECIMAL = 16,
  /* A run that goes on elsewhere may overlap with the old one by that much. */
  OVERLAP_MS = 400,
  /* How long a server may work on behind its caller's leaving: half a second,
     and what a busy machine adds.  */
  LEFT_MS = 1500,
  /* Requests may still be on their way by the version before for that long.
   */
  ROLLBACK_MS = 250,
  /* The host counts from the request's first byte.  */
  DEADLINE_MARGIN_MS = 200,
  GRACE_PARTS = 6,
  GRACE_FULL_PARTS = 5,
  CUT_ALLOWED = 3,
  LENGTH_LEAST = 5,
  LENGTH_SPREAD = 120,
  PER_CENT = 100
};

request_t *
ledger_add (soak_t *soak, kind_t kind, size_t host, char id[SOAK_ID_BYTES])
{
  request_t *request;

  if (soak->request_count == SOAK_REQUESTS_MAX)
    return NULL;
  request = &soak->requests[soak->request_count];
  snprintf (id, SOAK_ID_BYTES, "%08x%08zx", (unsigned)soak->seed,
            soak->request_count);
  soak->request_count++;
  request->kind = kind;
  request->host = (uint16_t)host;
  request->host_boot = soak->hosts[host].boot;
  request->sent_ms = soak_now_ms (soak);
  request->length = ledger_length (soak, id);
  return request;
}

request_t *
ledger_find (soak_t *soak, const char *id)
{
  char expected[SOAK_ID_BYTES];
  size_t number = 0;

  if (id == NULL || strlen (id) != HEXADECIMAL)
    return NULL;
  number = strtoul (id + HEXADECIMAL / 2, NULL, HEXADECIMAL);
  snprintf (expected, sizeof expected, "%08x%08zx", (unsigned)soak->seed,
            number);
  if (strcmp (expected, id) != 0 || number >= soak->request_count)
    return NULL;
  return &soak->requests[number];
}

void
ledger_body (const char *id, char text[WIRE_TEXT_BYTES])
{
  snprintf (text, WIRE_TEXT_BYTES, "what %s says", id);
}

void
ledger_event (const char *id, uint32_t number, char text[128])
{
  snprintf (text, 128, "id: %u\ndata: %s.%u\n\n", number, id, number);
}

uint32_t
ledger_length (const soak_t *soak, const char *id)
{
  csp_random_t random;

  csp_seed_random (&random,
                   soak->seed * LENGTH_SPREAD
                       + strtoul (id + HEXADECIMAL / 2, NULL, HEXADECIMAL));
  return LENGTH_LEAST + csp_random_below (&random, LENGTH_SPREAD);
}

/* The request at the server is the caller's, with what the system sets.  */
static void
check_request (soak_t *soak, const wire_message_t *message,
               const request_t *request, const char *id)
{
  static const char *const paths[KIND_COUNT]
      = { "/safe/a?b=%20c", "/once/a", "/stream/a" };
  const char *tenant = wire_field (message, "X-Tenant");
  char body[WIRE_TEXT_BYTES];

  if (request->poison != 0)
    poison_body (request->poison, body);
  else
    ledger_body (id, body);
  if (strcmp (message->target, paths[request->kind]) != 0
      || strcmp (message->method, request->kind == KIND_SAFE ? "GET" : "POST")
             != 0
      || (request->kind != KIND_SAFE && strcmp (message->body, body) != 0))
    soak_violation (soak, "UNASKED", "%s: %s %s with body \"%s\"", id,
                    message->method, message->target, message->body);
  if (tenant == NULL || strcmp (tenant, "tenant-a") != 0
      || wire_field (message, "X-Credential") != NULL)
    soak_violation (soak, "UNASKED", "%s: tenant %s, key %s", id,
                    tenant == NULL ? "none" : tenant,
                    wire_field (message, "X-Credential") == NULL ? "not passed"
                                                                 : "passed");
}

/* Which service may run a request: the one before a switch of routes until it
   must be in force, and never again behind one that the host has shown.  */
static void
check_service (soak_t *soak, const request_t *request, const char *id,
               const char *service)
{
  host_t *host = &soak->hosts[request->host];
  uint32_t shown = host->boot == request->host_boot ? host->flips_seen : 0;
  uint32_t flip = soak->flips;
  const char *names[] = { "plain-a", "plain-b" };

  if (request->kind == KIND_STREAM)
    {
      if (strcmp (service, "engines") != 0)
        soak_violation (soak, "ROUTE", "%s: a stream runs at %s", id, service);
      return;
    }
  /* The newest switch that explains it.  */
  while (flip > 0 && strcmp (names[flip % 2], service) != 0)
    flip--;
  if (strcmp (names[flip % 2], service) != 0)
    {
      soak_violation (soak, "ROUTE", "%s: runs at %s", id, service);
      return;
    }
  if (flip < shown && host_in_touch (soak, host)
      && request->sent_ms > host->flips_seen_ms + ROLLBACK_MS)
    soak_violation (soak, "CONFIG", "%s: host %s went back to switch %u of %u",
                    id, host->name, flip, shown);
  if (flip < soak->flips && host_in_touch (soak, host)
      && soak_now_ms (soak) >= soak->store_disturbed_until_ms
      && request->sent_ms > soak->flip_ms[flip + 1] + SOAK_APPLY_MS)
    soak_violation (soak, "CONFIG", "%s: host %s serves by switch %u of %u",
                    id, host->name, flip, soak->flips);
  if (host->boot != request->host_boot || flip <= host->flips_seen)
    return;
  host->flips_seen = flip;
  host->flips_seen_ms = soak_now_ms (soak);
}

typedef struct
{
  uv_timer_t timer;
  soak_t *soak;
  char id[SOAK_ID_BYTES];
  uint32_t host_boot;
} overlap_t;

static void
free_overlap (uv_handle_t *handle)
{
  free (handle->data);
}

static void
on_overlap (uv_timer_t *timer)
{
  overlap_t *overlap = timer->data;
  soak_t *soak = overlap->soak;
  request_t *request = ledger_find (soak, overlap->id);

  if (request->running > 1
      && host_in_touch (soak, &soak->hosts[request->host]))
    soak_violation (soak, "TWICE", "%s: %u runs at once for 400 ms",
                    overlap->id, request->running);
  uv_close ((uv_handle_t *)timer, free_overlap);
}

static void
watch_overlap (soak_t *soak, const char *id)
{
  overlap_t *overlap = calloc (1, sizeof *overlap);

  if (overlap == NULL)
    abort ();
  overlap->soak = soak;
  snprintf (overlap->id, sizeof overlap->id, "%s", id);
  uv_timer_init (&soak->loop, &overlap->timer);
  overlap->timer.data = overlap;
  uv_timer_start (&overlap->timer, on_overlap, OVERLAP_MS, 0);
}

void
ledger_run (soak_t *soak, const wire_message_t *message,
            const server_t *server, bool resumed)
{
  const char *id = wire_field (message, "X-Attempt-Id");
  request_t *request = ledger_find (soak, id);

  if (request == NULL)
    {
      soak_violation (soak, "UNASKED", "a server runs %s, which nobody sent",
                      id == NULL ? "a request without id" : id);
      return;
    }
  request->running++;
  request->server = server;
  if (resumed && request->running > 1)
    watch_overlap (soak, id);
  check_request (soak, message, request, id);
  check_service (soak, request, id, server_service (server));
  if (resumed)
    return;
  request->runs++;
  if (request->kind != KIND_SAFE && request->runs > 1)
    soak_violation (soak, "TWICE", "%s ran %u times", id, request->runs);
  /* What a cut held up comes when it heals; its sender has closed by then.  */
  if (request->left_ms != 0 && server_is_calm (server)
      && soak_now_ms (soak) > request->left_ms + LEFT_MS
      && host_in_touch (soak, &soak->hosts[request->host]))
    soak_violation (
        soak, "GONE", "%s came %llu ms behind its caller's leave", id,
        (unsigned long long)(soak_now_ms (soak) - request->left_ms));
}

void
ledger_run_ended (soak_t *soak, const char *id)
{
  request_t *request = ledger_find (soak, id);

  if (request != NULL && request->running > 0)
    request->running--;
}

void
ledger_answer (soak_t *soak, request_t *request, uint16_t status)
{
  request->answered_ms = soak_now_ms (soak);
  request->status = status;
}

/* A host that is stopped in order ends what it has begun, but for what is
   still at work near the end of its time, and what its caller's time has run
   out for: a stream on a connection that fell silent lasts until then.  */
void
ledger_cut (soak_t *soak, request_t *request, const char *id)
{
  const host_t *host = &soak->hosts[request->host];
  uint64_t now_ms = soak_now_ms (soak);
  bool stops
      = host->terminating && request->host_boot == host->boot
        && now_ms < host->terminated_ms
                        + SOAK_GRACE_MS * GRACE_FULL_PARTS / GRACE_PARTS;

  if (request->server == NULL || !server_is_calm (request->server)
      || now_ms < host->disturbed_until_ms || host->stopped
      || now_ms + DEADLINE_MARGIN_MS >= request->deadline_ms)
    return;
  if (stops)
    soak_violation (soak, "LOST", "%s: cut as %s stops", id, host->name);
  else if (request->events == 0 && ++soak->cut > CUT_ALLOWED)
    soak_violation (soak, "LOST", "%s: %s closed without an answer", id,
                    host->name);
}

static bool
is_promise (uint16_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* A promise holds for ever, so it is looked at when all is over.  */
void
ledger_close (soak_t *soak)
{
  uint32_t sent = 0;
  uint32_t served = 0;
  size_t i;

  for (i = 0; i < soak->request_count; i++)
    {
      const request_t *request = &soak->requests[i];

      if (request->kind != KIND_SAFE && is_promise (request->status)
          && request->runs > 0)
        soak_violation (soak, "REFUSED", "%08x%08zx got %u and ran",
                        (unsigned)soak->seed, i, request->status);
      /* The last of them may be cut by the end of the soak.  */
      if (!soak->quiet_end || request->left_ms != 0 || request->poison != 0
          || request->sent_ms + SOAK_CONTACT_MS
                 < soak->began_ms + soak->length_ms
          || request->sent_ms + SOAK_CONTACT_MS / 2
                 > soak->began_ms + soak->length_ms)
        continue;
      sent++;
      served += request->status == 200
                && (request->kind != KIND_STREAM || request->events > 0);
    }
  if (sent > 0 && served * PER_CENT < sent * 90)
    soak_violation (soak, "RECOVER", "%u of %u served when all was well again",
                    served, sent);
  soak_note (soak, "at the end %u of %u served", served, sent);
}
