#include "soak/soak-server-imp.h"

#include <stdlib.h>
#include <string.h>

/* Requests that crash each server that starts to run them.  One caller sends
   such a request repeatedly through any host; after some time the next
   series begins with another request.  Or the requests of a series share only
   the middle part of their prompts, and the first one with all callers.  These
   faults use a random generator of their own, so that a seed has the same
   other faults with and without them.  */

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
  /* Of requests that share a part.  */
  PART_CRASHES_PROVING = 5,
  PART_SERIES_MS = 18000,
  SOUND_JUDGED = 20,
  RETRIES_MAX = 3,
  ATTEMPTS_MAX = 64,
  SERVERS_RESERVED = 40,
  /* Middle parts of callers' prompts.  */
  FIRST_PART = 16,
  SOUND_PARTS = 8
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
  uint64_t blamed_ms;     /* the crash that proves it, or the last before */
  uint32_t late_arrivals; /* arrivals from hosts that must have known of the
                             crashes */
  uint32_t crashes_total;
  /* Callers' streams while the series' part is known, and at other times.  */
  uint32_t sound_beside;
  uint32_t sound_beside_served;
  uint32_t sound_else;
  uint32_t sound_else_served;
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
poison_body (const soak_t *soak, const request_t *request, const char *id,
             char text[WIRE_TEXT_BYTES])
{
  if (soak->parts_enabled)
    ledger_body (id, text);
  else
    snprintf (text, WIRE_TEXT_BYTES, "this ends what runs it: %u",
              request->poison_series);
}

void
poison_prompt_parts (const soak_t *soak, const request_t *request,
                     const char *id, char text[WIRE_TEXT_BYTES])
{
  size_t number = (size_t)(request - soak->requests);

  if (!soak->parts_enabled)
    text[0] = '\0';
  else if (request->poison_series != 0)
    snprintf (text, WIRE_TEXT_BYTES,
              "X-Prompt-Prefix: 1:79,bad%x:210,%s:900\r\n",
              request->poison_series, id + SOAK_ID_BYTES / 3);
  else
    snprintf (text, WIRE_TEXT_BYTES,
              "X-Prompt-Prefix: 1:79,%zx:210,%s:900\r\n",
              FIRST_PART + number % SOUND_PARTS, id + SOAK_ID_BYTES / 3);
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
  char parts[WIRE_TEXT_BYTES];

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
  poison_body (soak, attempt->request, attempt->id, body);
  poison_prompt_parts (soak, attempt->request, attempt->id, parts);
  attempt->wire = wire_connect (&soak->loop, &soak->hosts[host].caller_address,
                                &events, attempt);
  wire_print (attempt->wire,
              "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\n"
              "X-Deadline-Ms: %u\r\nX-Credential: key-a\r\n"
              "X-Token-Usage: 1500,600\r\nX-Length-Hint: 300\r\n%s"
              "Content-Length: %zu\r\n\r\n%s",
              poison->to_plain_service ? "/once/a" : "/stream/a", attempt->id,
              TIMEOUT_MS, parts, strlen (body), body);
}

static void
begin_series (soak_t *soak, uint64_t now_ms)
{
  poison_t *poison = soak->poison;

  poison->series++;
  poison->to_plain_service = poison->series % 2 == 0 && !soak->parts_enabled;
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
  uint64_t series_ms = soak->parts_enabled ? PART_SERIES_MS : SERIES_MS;

  if (poison == NULL)
    return;
  restart_crashed (soak, now_ms);
  if (now_ms < soak->began_ms + FAULT_FREE_START_MS || soak->faults_ended
      || uneven_is_calm (soak))
    return;
  if (poison->series == 0 || now_ms >= poison->began_ms + series_ms + PAUSE_MS)
    begin_series (soak, now_ms);
  if (now_ms < poison->next_ms || now_ms >= poison->began_ms + series_ms)
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

void
poison_count_sound (soak_t *soak, const request_t *request, bool served)
{
  poison_t *poison = soak->poison;
  bool in_series;
  bool beside;

  if (poison == NULL || !soak->parts_enabled || request->kind != KIND_STREAM
      || request->poison_series != 0 || zone_refuses (soak, request)
      || !host_is_undisturbed (soak, &soak->hosts[request->host]))
    return;
  in_series = request->sent_ms < poison->began_ms + PART_SERIES_MS;
  beside = poison->crashes > 0 && in_series
           && request->sent_ms > poison->blamed_ms + 2 * SOAK_SETTLE_MS;
  if (beside)
    {
      poison->sound_beside++;
      poison->sound_beside_served += served;
    }
  else if (poison->crashes == 0 || !in_series)
    {
      poison->sound_else++;
      poison->sound_else_served += served;
    }
}

/* Callers whose streams share the first part with requests that crash servers
   must be served at least half as often as at other times.  */
static void
check_sound (soak_t *soak)
{
  const poison_t *poison = soak->poison;

  soak_log_event (soak,
                  "streams served: %u of %u beside a known part, %u of "
                  "%u without one",
                  poison->sound_beside_served, poison->sound_beside,
                  poison->sound_else_served, poison->sound_else);
  if (poison->sound_beside >= SOUND_JUDGED
      && poison->sound_else >= SOUND_JUDGED
      && 2.0 * poison->sound_beside_served / poison->sound_beside
             < 1.0 * poison->sound_else_served / poison->sound_else)
    soak_report_violation (
        soak, "LOST",
        "%u of %u streams beside a known part were served, %u "
        "of %u at other times",
        poison->sound_beside_served, poison->sound_beside,
        poison->sound_else_served, poison->sound_else);
}

static void
count_crash (soak_t *soak)
{
  poison_t *poison = soak->poison;
  uint32_t proving
      = soak->parts_enabled ? PART_CRASHES_PROVING : CRASHES_PROVING;

  if (++poison->crashes <= proving)
    poison->blamed_ms = soak_now_ms (soak);
  if (poison->crashes == proving)
    poison->proven_ms = poison->blamed_ms;
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
  if (is_current (soak, request))
    count_crash (soak);
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
  if (soak->parts_enabled)
    check_sound (soak);
  soak_log_event (soak, "%u servers crashed by %u poison series",
                  soak->poison->crashes_total, soak->poison->series);
  free (soak->poison);
  soak->poison = NULL;
}
