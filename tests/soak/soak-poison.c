#include "soak/soak-server-imp.h"

#include <stdlib.h>
#include <string.h>

/* Requests that end each server that begins to run them.  One caller sends
   such a request again and again, through any host; behind some time another
   one takes its place.  Their draws are their own, so that a seed has the same
   other faults with and without them.  */

enum
{
  QUIET_START_MS = 3000,
  SERIES_MS = 9000,
  PAUSE_MS = 4000,
  AGAIN_LEAST_MS = 100,
  AGAIN_SPREAD_MS = 900,
  TIME_LEFT_MS = 6000,
  /* A server that was ended is back under another id.  */
  BACK_MS = 1500,
  ENDS_SURE = 3,
  RETRIES_MAX = 3,
  SENDS_MAX = 64,
  SERVERS_SPARE = 40
};

/* One attempt under way.  */
typedef struct send
{
  soak_t *soak;
  request_t *request;
  wire_t *wire;
  uint16_t status;
  char id[SOAK_ID_BYTES];
} send_t;

struct poison
{
  uint32_t series; /* 0: none yet */
  bool plain;      /* this one goes to a plain service */
  uint64_t began_ms;
  uint64_t next_ms;
  uint32_t ended; /* servers under this one */
  uint64_t sure_ms;
  uint32_t late; /* sent by hosts that must have known */
  uint32_t ended_in_all;
  size_t back_count;
  struct
  {
    char service[ID_BYTES];
    uint64_t at_ms;
  } back[SOAK_SERVERS_MAX];
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
finish (send_t *send, uint16_t status)
{
  ledger_answer (send->soak, send->request, status);
  free (send);
}

static void
on_answered (wire_t *wire, const wire_message_t *head)
{
  send_t *send = wire_owner (wire);

  send->status = head->status;
}

static void
on_ended (wire_t *wire)
{
  send_t *send = wire_owner (wire);

  wire_close (wire);
  finish (send, send->status);
}

static void
on_closed (wire_t *wire)
{
  finish (wire_owner (wire), 0);
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
send_again (soak_t *soak)
{
  poison_t *poison = soak->poison;
  size_t host
      = csp_random_below (&soak->poison_random, (uint32_t)soak->host_count);
  send_t *send = calloc (1, sizeof *send);
  char body[WIRE_TEXT_BYTES];

  if (send == NULL)
    abort ();
  send->soak = soak;
  send->request = ledger_add (soak, poison->plain ? KIND_ONCE : KIND_STREAM,
                              host, send->id);
  if (send->request == NULL)
    {
      free (send);
      return;
    }
  send->request->poison = poison->series;
  send->request->deadline_ms = send->request->sent_ms + TIME_LEFT_MS;
  poison_body (poison->series, body);
  send->wire
      = wire_connect (&soak->loop, &soak->hosts[host].front, &events, send);
  wire_print (send->wire,
              "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\n"
              "X-Deadline-Ms: %u\r\nX-Credential: key-a\r\n"
              "X-Token-Usage: 1500,600\r\nX-Length-Hint: 300\r\n"
              "Content-Length: %zu\r\n\r\n%s",
              poison->plain ? "/once/a" : "/stream/a", send->id, TIME_LEFT_MS,
              strlen (body), body);
}

static void
begin_series (soak_t *soak, uint64_t now_ms)
{
  poison_t *poison = soak->poison;

  poison->series++;
  poison->plain = poison->series % 2 == 0;
  poison->began_ms = now_ms;
  poison->next_ms = now_ms;
  poison->ended = 0;
  poison->sure_ms = 0;
  poison->late = 0;
}

static void
bring_back (soak_t *soak, uint64_t now_ms)
{
  poison_t *poison = soak->poison;
  size_t kept = 0;
  size_t i;

  for (i = 0; i < poison->back_count; i++)
    if (now_ms < poison->back[i].at_ms)
      poison->back[kept++] = poison->back[i];
    else if (soak->server_count + SERVERS_SPARE < SOAK_SERVERS_MAX)
      server_open (soak, poison->back[i].service);
  poison->back_count = kept;
}

void
poison_tick (soak_t *soak)
{
  poison_t *poison = soak->poison;
  uint64_t now_ms = soak_now_ms (soak);

  if (poison == NULL)
    return;
  bring_back (soak, now_ms);
  if (now_ms < soak->began_ms + QUIET_START_MS || soak->quiet_end)
    return;
  if (poison->series == 0 || now_ms >= poison->began_ms + SERIES_MS + PAUSE_MS)
    begin_series (soak, now_ms);
  if (now_ms < poison->next_ms || now_ms >= poison->began_ms + SERIES_MS)
    return;
  poison->next_ms = now_ms + AGAIN_LEAST_MS
                    + csp_random_below (&soak->poison_random, AGAIN_SPREAD_MS);
  send_again (soak);
}

/* Whether one of the series that is played; an older one may still run.  */
static bool
is_current (const soak_t *soak, const request_t *request)
{
  return request != NULL && request->poison != 0
         && request->poison == soak->poison->series;
}

void
poison_check (server_t *server, const request_t *request)
{
  soak_t *soak = server->soak;
  poison_t *poison = soak->poison;

  if (poison == NULL || !is_current (soak, request) || poison->sure_ms == 0
      || request->sent_ms <= poison->sure_ms + SOAK_CONTACT_MS
      || !host_in_touch (soak, &soak->hosts[request->host])
      || ++poison->late != RETRIES_MAX + 1)
    return;
  soak_violation (soak, "BUDGET",
                  "series %u reaches servers more than %d times though %u "
                  "have ended under it",
                  poison->series, RETRIES_MAX, poison->ended);
}

bool
poison_ends (run_t *run)
{
  server_t *server = run->server;
  soak_t *soak = server->soak;
  poison_t *poison = soak->poison;
  const request_t *request = ledger_find (soak, run->id);

  if (poison == NULL || request == NULL || request->poison == 0)
    return false;
  soak_note (soak, "%s ends under series %u", server->id, request->poison);
  poison->ended_in_all++;
  if (is_current (soak, request) && ++poison->ended == ENDS_SURE)
    poison->sure_ms = soak_now_ms (soak);
  if (poison->back_count < SOAK_SERVERS_MAX)
    {
      snprintf (poison->back[poison->back_count].service, ID_BYTES, "%s",
                server->service);
      poison->back[poison->back_count++].at_ms = soak_now_ms (soak) + BACK_MS;
    }
  server_crash (server);
  return true;
}

void
poison_close (soak_t *soak)
{
  if (soak->poison == NULL)
    return;
  soak_note (soak, "%u servers ended under %u series",
             soak->poison->ended_in_all, soak->poison->series);
  free (soak->poison);
  soak->poison = NULL;
}
