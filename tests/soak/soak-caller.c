#include "soak/soak.h"

#include <stdlib.h>
#include <string.h>

/* Callers: each has one connection at a time and sends one request after
   another on it, to a host that the balancer would give it.  */

enum
{
  PAUSE_LEAST_MS = 10,
  PAUSE_SPREAD_MS = 300,
  TIME_LEFT_PLAIN_MS = 2500,
  TIME_LEFT_STREAM_MS = 15000,
  /* A host that answers nothing until then is late.  */
  LATE_MS = 1000,
  KEEP_PER_CENT = 85,
  LEAVE_PER_CENT = 6,
  LEAVE_SPREAD_MS = 700,
  LATE_ALLOWED = 8,
  PER_CENT = 100
};

typedef struct
{
  callers_t *all;
  soak_t *soak;
  uv_timer_t timer;
  wire_t *wire;
  size_t host;
  uint32_t host_boot;
  request_t *request;
  char id[SOAK_ID_BYTES];
  bool leaves;
  /* The answer.  */
  uint16_t status;
  bool chunked;
  bool closes;
  bool signed_well;
  size_t text_bytes;
  char text[WIRE_BODY_BYTES];
} caller_t;

struct callers
{
  soak_t *soak;
  bool stopping;
  uint32_t late;
  size_t count;
  caller_t *callers;
};

static void on_timer (uv_timer_t *timer);

static void
rest (caller_t *caller)
{
  uint32_t pause_ms
      = PAUSE_LEAST_MS
        + csp_random_below (&caller->soak->random, PAUSE_SPREAD_MS);

  caller->request = NULL;
  if (!caller->all->stopping)
    uv_timer_start (&caller->timer, on_timer, pause_ms, 0);
}

static void
hang_up (caller_t *caller)
{
  if (caller->wire != NULL)
    wire_close (caller->wire);
  caller->wire = NULL;
}

/* The answer is over; closed: with its connection, and not as it says.  */
static void
check_answer (caller_t *caller, bool closed)
{
  soak_t *soak = caller->soak;
  request_t *request = caller->request;
  char body[WIRE_TEXT_BYTES];

  if (closed || caller->status / 100 != 2)
    return;
  ledger_body (caller->id, body);
  if (!caller->signed_well)
    soak_violation (soak, "MIXED", "%s: a success without its signature",
                    caller->id);
  if (request->kind == KIND_STREAM)
    {
      request->complete = request->events == request->length;
      if (!request->complete)
        soak_violation (soak, "ORDER", "%s ends well behind event %u of %u",
                        caller->id, request->events, request->length);
    }
  else if (strcmp (caller->text, body) != 0)
    soak_violation (soak, "MIXED", "%s: got \"%s\"", caller->id, caller->text);
}

static void
finish (caller_t *caller, bool closed)
{
  soak_t *soak = caller->soak;
  request_t *request = caller->request;
  host_t *host = &soak->hosts[caller->host];

  check_answer (caller, closed);
  ledger_answer (soak, request,
                 closed && request->kind != KIND_STREAM ? 0 : caller->status);
  if (!closed
      && (caller->status == 401 || caller->status == 403
          || caller->status == 404 || caller->status == 400))
    soak_violation (soak, "DENIED", "%s got %u from %s", caller->id,
                    caller->status, host->name);
  if (closed)
    ledger_cut (soak, request, caller->id);
  if (caller->closes || closed
      || csp_random_below (&soak->random, PER_CENT) >= KEEP_PER_CENT)
    hang_up (caller);
  rest (caller);
}

static void
on_answered (wire_t *wire, const wire_message_t *head)
{
  caller_t *caller = wire_owner (wire);
  const char *id = wire_field (head, "X-Attempt-Id");
  const char *closes = wire_field (head, "Connection");
  const char *signature = wire_field (head, "X-Engine-Signature");

  if (caller->request == NULL)
    {
      soak_violation (caller->soak, "MIXED", "an answer that nobody awaits");
      return;
    }
  announce_passed_on (caller->soak, caller->request, head);
  caller->status = head->status;
  caller->closes = closes != NULL && strcmp (closes, "close") == 0;
  caller->signed_well = id != NULL && strcmp (id, caller->id) == 0
                        && signature != NULL
                        && strcmp (signature + strlen ("s."), caller->id) == 0;
  if (id != NULL && strcmp (id, caller->id) != 0)
    soak_violation (caller->soak, "MIXED", "%s got the answer to %s",
                    caller->id, id);
}

/* Whole events at the front of what came: the next ones, and none else.  */
static void
take_events (caller_t *caller)
{
  request_t *request = caller->request;
  char event[128];
  size_t size_bytes;

  for (;;)
    {
      ledger_event (caller->id, request->events + 1, event);
      size_bytes = strlen (event);
      if (caller->text_bytes < size_bytes)
        return;
      if (strncmp (caller->text, event, size_bytes) != 0)
        {
          soak_violation (caller->soak, "ORDER", "%s: behind event %u came %s",
                          caller->id, request->events, caller->text);
          caller->text_bytes = 0;
          return;
        }
      request->events++;
      caller->text_bytes -= size_bytes;
      memmove (caller->text, caller->text + size_bytes,
               caller->text_bytes + 1);
    }
}

static void
on_piece (wire_t *wire, const char *data, size_t size_bytes)
{
  caller_t *caller = wire_owner (wire);

  if (caller->request == NULL)
    return;
  if (caller->text_bytes + size_bytes >= sizeof caller->text)
    {
      soak_violation (caller->soak, "MIXED", "%s: an answer too long",
                      caller->id);
      caller->text_bytes = 0;
      return;
    }
  memcpy (caller->text + caller->text_bytes, data, size_bytes);
  caller->text_bytes += size_bytes;
  caller->text[caller->text_bytes] = '\0';
  if (caller->request->kind == KIND_STREAM && caller->status == 200)
    take_events (caller);
}

static void
on_ended (wire_t *wire)
{
  caller_t *caller = wire_owner (wire);

  if (caller->request != NULL)
    finish (caller, false);
}

static void
on_closed (wire_t *wire)
{
  caller_t *caller = wire_owner (wire);

  caller->wire = NULL;
  if (caller->request != NULL)
    finish (caller, true);
}

static const wire_events_t events = { .answered = on_answered,
                                      .piece = on_piece,
                                      .ended = on_ended,
                                      .closed = on_closed };

/* A host in rotation; where there is none, any.  */
static size_t
choose_host (soak_t *soak)
{
  size_t first = csp_random_below (&soak->random, (uint32_t)soak->host_count);
  size_t i;

  for (i = 0; i < soak->host_count; i++)
    if (soak->hosts[(first + i) % soak->host_count].in_rotation)
      return (first + i) % soak->host_count;
  return first;
}

static kind_t
draw_kind (soak_t *soak)
{
  uint32_t draw = csp_random_below (&soak->random, 10);

  return draw < 4 ? KIND_SAFE : draw < 7 ? KIND_ONCE : KIND_STREAM;
}

static void
send_request (caller_t *caller)
{
  soak_t *soak = caller->soak;
  kind_t kind = draw_kind (soak);
  uint32_t left_ms
      = kind == KIND_STREAM ? TIME_LEFT_STREAM_MS : TIME_LEFT_PLAIN_MS;
  char body[WIRE_TEXT_BYTES];

  caller->request = ledger_add (soak, kind, caller->host, caller->id);
  if (caller->request == NULL)
    return;
  caller->request->deadline_ms = caller->request->sent_ms + left_ms;
  caller->status = 0;
  caller->closes = false;
  caller->text_bytes = 0;
  caller->text[0] = '\0';
  ledger_body (caller->id, body);
  if (kind == KIND_SAFE)
    wire_print (caller->wire,
                "GET /safe/a?b=%%20c HTTP/1.1\r\nHost: h\r\n"
                "X-Attempt-Id: %s\r\nX-Deadline-Ms: %u\r\n"
                "X-Credential: key-a\r\n\r\n",
                caller->id, left_ms);
  else
    wire_print (caller->wire,
                "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\n"
                "X-Deadline-Ms: %u\r\nX-Credential: key-a\r\n"
                "X-Tenant: forged\r\nX-Kv-Backup: 127.0.0.1:9\r\n"
                "X-Token-Usage: 1500,600\r\nX-Length-Hint: 300\r\n"
                "Content-Length: %zu\r\n\r\n%s",
                kind == KIND_ONCE ? "/once/a" : "/stream/a", caller->id,
                left_ms, strlen (body), body);
  caller->leaves
      = kind == KIND_STREAM
        && csp_random_below (&soak->random, PER_CENT) < LEAVE_PER_CENT;
  uv_timer_start (&caller->timer, on_timer,
                  caller->leaves
                      ? csp_random_below (&soak->random, LEAVE_SPREAD_MS)
                      : left_ms + LATE_MS,
                  0);
}

/* The request was not answered in time, or its caller has had enough.  */
static void
give_up (caller_t *caller)
{
  soak_t *soak = caller->soak;
  host_t *host = &soak->hosts[caller->host];

  caller->request->left_ms = soak_now_ms (soak);
  if (!caller->leaves && host_in_touch (soak, host)
      && ++caller->all->late > LATE_ALLOWED)
    soak_violation (soak, "CONFIG", "%s: no final answer from %s in time",
                    caller->id, host->name);
  hang_up (caller);
  rest (caller);
}

static void
on_timer (uv_timer_t *timer)
{
  caller_t *caller = timer->data;
  soak_t *soak = caller->soak;

  if (caller->request != NULL)
    {
      give_up (caller);
      return;
    }
  if (caller->wire == NULL)
    {
      caller->host = choose_host (soak);
      caller->wire = wire_connect (
          &soak->loop, &soak->hosts[caller->host].front, &events, caller);
    }
  send_request (caller);
}

callers_t *
callers_open (soak_t *soak, size_t count)
{
  callers_t *callers = calloc (1, sizeof *callers);
  size_t i;

  if (callers == NULL
      || (callers->callers = calloc (count, sizeof (caller_t))) == NULL)
    abort ();
  callers->soak = soak;
  callers->count = count;
  for (i = 0; i < count; i++)
    {
      caller_t *caller = &callers->callers[i];

      caller->all = callers;
      caller->soak = soak;
      uv_timer_init (&soak->loop, &caller->timer);
      caller->timer.data = caller;
      rest (caller);
    }
  return callers;
}

void
callers_stop (callers_t *callers)
{
  size_t i;

  callers->stopping = true;
  for (i = 0; i < callers->count; i++)
    {
      uv_timer_stop (&callers->callers[i].timer);
      hang_up (&callers->callers[i]);
    }
}
