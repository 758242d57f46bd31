#include "soak/soak-server-imp.h"

#include <stdlib.h>
#include <string.h>

/* Requests that crash each server that starts to run them.  One caller sends
   such a request repeatedly through any host; after some time the next
   series begins with another request.  These faults use a random generator
   of their own, so that a seed has the same other faults with and without
   them.  */

enum
{
  FAULT_FREE_START_MS = 3000,
  SERIES_MS = 9000,
  PAUSE_MS = 4000,
  RESEND_MIN_MS = 100,
  RESEND_SPREAD_MS = 900,
  TIMEOUT_MS = 6000,
  /* A crashed server is replaced after this delay by one with a new id.  */
  RESTART_DELAY_MS = 1500,
  CRASHES_PROVING = 3,
  RETRIES_MAX = 3,
  ATTEMPTS_MAX = 64,
  SERVERS_RESERVED = 40
};

/* One attempt in progress.  */
typedef struct attempt
{
  soak_t *soak;
  request_t *request;
  wire_t *wire;
  uint16_t status;
  char id[SOAK_ID_BYTES];
} attempt_t;

struct poison
{
  uint32_t series;       /* 0: none yet */
  bool to_plain_service; /* the current series goes to a plain service */
  uint64_t began_ms;
  uint64_t next_ms;
  uint32_t crashes; /* servers crashed by the current series */
  uint64_t proven_ms;
  uint32_t late_arrivals; /* arrivals from hosts that must have known of the
                             crashes */
  uint32_t crashes_total;
  size_t restart_count;
  struct
  {
    char service[ID_BYTES];
    uint64_t at_ms;
  } restarts[SOAK_SERVERS_MAX];
};

void
poison_open (soak_t *soak)
{
  soak->poison = calloc (1, sizeof *soak->poison);
  if (soak->poison == NULL)
    abort ();
  csp_seed_random (&soak->poison_random, soak->seed ^ 0x5eed);
}

void
poison_body (uint32_t series, char text[WIRE_TEXT_BYTES])
{
  snprintf (text, WIRE_TEXT_BYTES, "this ends what runs it: %u", series);
}

static void
finish_attempt (attempt_t *attempt, uint16_t status)
{
  ledger_answer (attempt->soak, attempt->request, status);
  free (attempt);
}

static void
on_answered (wire_t *wire, const wire_message_t *head)
{
  attempt_t *attempt = wire_owner (wire);

  attempt->status = head->status;
}

static void
on_ended (wire_t *wire)
{
  attempt_t *attempt = wire_owner (wire);

  wire_close (wire);
  finish_attempt (attempt, attempt->status);
}

static void
on_closed (wire_t *wire)
{
  finish_attempt (wire_owner (wire), 0);
}

static void
on_piece (wire_t *wire, const char *data, size_t size_bytes)
{
  (void)wire;
  (void)data;
  (void)size_bytes;
}

static const wire_events_t events = { .answered = on_answered,
                                      .piece = on_piece,
                                      .ended = on_ended,
                                      .closed = on_closed };

static void
send_attempt (soak_t *soak)
{
  poison_t *poison = soak->poison;
  size_t host
      = csp_random_below (&soak->poison_random, (uint32_t)soak->host_count);
  attempt_t *attempt = calloc (1, sizeof *attempt);
  char body[WIRE_TEXT_BYTES];

  if (attempt == NULL)
    abort ();
  attempt->soak = soak;
  attempt->request
      = ledger_add (soak, poison->to_plain_service ? KIND_ONCE : KIND_STREAM,
                    host, attempt->id);
  if (attempt->request == NULL)
    {
      free (attempt);
      return;
    }
  attempt->request->poison_series = poison->series;
  attempt->request->deadline_ms = attempt->request->sent_ms + TIMEOUT_MS;
  poison_body (poison->series, body);
  attempt->wire = wire_connect (&soak->loop, &soak->hosts[host].caller_address,
                                &events, attempt);
  wire_print (attempt->wire,
              "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\n"
              "X-Deadline-Ms: %u\r\nX-Credential: key-a\r\n"
              "X-Token-Usage: 1500,600\r\nX-Length-Hint: 300\r\n"
              "Content-Length: %zu\r\n\r\n%s",
              poison->to_plain_service ? "/once/a" : "/stream/a", attempt->id,
              TIMEOUT_MS, strlen (body), body);
}

static void
begin_series (soak_t *soak, uint64_t now_ms)
{
  poison_t *poison = soak->poison;

  poison->series++;
  poison->to_plain_service = poison->series % 2 == 0;
  poison->began_ms = now_ms;
  poison->next_ms = now_ms;
  poison->crashes = 0;
  poison->proven_ms = 0;
  poison->late_arrivals = 0;
}

static void
restart_crashed (soak_t *soak, uint64_t now_ms)
{
  poison_t *poison = soak->poison;
  size_t kept = 0;
  size_t i;

  for (i = 0; i < poison->restart_count; i++)
    if (now_ms < poison->restarts[i].at_ms)
      poison->restarts[kept++] = poison->restarts[i];
    else if (soak->server_count + SERVERS_RESERVED < SOAK_SERVERS_MAX)
      server_open (soak, poison->restarts[i].service);
  poison->restart_count = kept;
}

void
poison_tick (soak_t *soak)
{
  poison_t *poison = soak->poison;
  uint64_t now_ms = soak_now_ms (soak);

  if (poison == NULL)
    return;
  restart_crashed (soak, now_ms);
  if (now_ms < soak->began_ms + FAULT_FREE_START_MS || soak->faults_ended
      || uneven_is_calm (soak))
    return;
  if (poison->series == 0 || now_ms >= poison->began_ms + SERIES_MS + PAUSE_MS)
    begin_series (soak, now_ms);
  if (now_ms < poison->next_ms || now_ms >= poison->began_ms + SERIES_MS)
    return;
  poison->next_ms
      = now_ms + RESEND_MIN_MS
        + csp_random_below (&soak->poison_random, RESEND_SPREAD_MS);
  send_attempt (soak);
}

/* Whether the request belongs to the current series; one of an older series
   may still run.  */
static bool
is_current (const soak_t *soak, const request_t *request)
{
  return request != NULL && request->poison_series != 0
         && request->poison_series == soak->poison->series;
}

void
poison_check (server_t *server, const request_t *request)
{
  soak_t *soak = server->soak;
  poison_t *poison = soak->poison;

  if (poison == NULL || !is_current (soak, request) || poison->proven_ms == 0
      || request->sent_ms <= poison->proven_ms + SOAK_SETTLE_MS
      || !host_is_undisturbed (soak, &soak->hosts[request->host])
      || ++poison->late_arrivals != RETRIES_MAX + 1)
    return;
  soak_report_violation (
      soak, "BUDGET",
      "series %u reached servers more than %d times after it had "
      "crashed %u servers",
      poison->series, RETRIES_MAX, poison->crashes);
}

bool
poison_crashes_server (run_t *run)
{
  server_t *server = run->server;
  soak_t *soak = server->soak;
  poison_t *poison = soak->poison;
  const request_t *request = ledger_find (soak, run->id);

  if (poison == NULL || request == NULL || request->poison_series == 0)
    return false;
  soak_log_event (soak, "%s crashes by poison series %u", server->id,
                  request->poison_series);
  poison->crashes_total++;
  if (is_current (soak, request) && ++poison->crashes == CRASHES_PROVING)
    poison->proven_ms = soak_now_ms (soak);
  if (poison->restart_count < SOAK_SERVERS_MAX)
    {
      snprintf (poison->restarts[poison->restart_count].service, ID_BYTES,
                "%s", server->service);
      poison->restarts[poison->restart_count++].at_ms
          = soak_now_ms (soak) + RESTART_DELAY_MS;
    }
  server_crash (server);
  return true;
}

void
poison_close (soak_t *soak)
{
  if (soak->poison == NULL)
    return;
  soak_log_event (soak, "%u servers crashed by %u poison series",
                  soak->poison->crashes_total, soak->poison->series);
  free (soak->poison);
  soak->poison = NULL;
}
