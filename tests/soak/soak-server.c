#include "soak/soak.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* Engines and plain servers, as the platform's pages describe them.  An
   engine's run lives apart from its connection only while it is moved: when
   its connection closes, the run is dropped.  */

enum
{
  RUNS_MAX = 64,
  COPIES_MAX = 64,
  EVENT_MS = 15,
  READ_LEAST_MS = 20,
  READ_SPREAD_MS = 60,
  WORK_SPREAD_MS = 25,
  COPY_LEAST_MS = 20,
  COPY_SPREAD_MS = 120,
  HEARTBEAT_MS = 1200,
  /* A server that says nothing loses its row after three of those.  */
  LAPSE_MS = 3600,
  BACKED_UP_EVENTS = 4,
  SPOIL_PER_CENT = 25,
  PER_CENT = 100,
  ID_BYTES = 32,
  ADDRESS_BYTES = 32
};

/* A request at work.  */
typedef struct run
{
  bool used;
  server_t *server;
  wire_t *wire; /* NULL: its stream was closed by a stop */
  char id[SOAK_ID_BYTES];
  uint32_t next_event;
  uint32_t length; /* 0: a plain request */
  bool head_sent;
  bool moving;
  char backup[ADDRESS_BYTES];
  uv_timer_t timer;
} run_t;

/* A copy of a run's memory, or what a stopped run left.  */
typedef struct
{
  char handle[ID_BYTES];
  char id[SOAK_ID_BYTES];
  bool used;
} copy_t;

struct server
{
  soak_t *soak;
  char id[ID_BYTES];
  char service[ID_BYTES];
  char address[ADDRESS_BYTES]; /* as listed: its proxy */
  struct sockaddr_in listed;
  wire_listener_t *listener;
  proxy_t *proxy;
  server_state_t state;
  bool silently;
  uint64_t left_ms; /* when its leaving was acknowledged */
  uint64_t gone_at_ms;
  uint64_t lapses_at_ms; /* its row goes; 0: it is gone, or lives */
  uint64_t hangs_until_ms;
  uint64_t spoiled_until_ms;
  uint64_t disturbed_until_ms;
  uint64_t beat_ms;
  uint32_t beats;
  uint32_t next_handle;
  size_t copy_count;
  copy_t copies[COPIES_MAX];
  run_t *runs[RUNS_MAX];
};

const char *
server_service (const server_t *server)
{
  return server->service;
}

server_state_t
server_state (const server_t *server)
{
  return server->state;
}

proxy_t *
server_proxy (server_t *server)
{
  return server->proxy;
}

static void
free_run (uv_handle_t *handle)
{
  free (handle->data);
}

static void
end_run (run_t *run)
{
  server_t *server = run->server;
  size_t i;

  for (i = 0; i < RUNS_MAX; i++)
    if (server->runs[i] == run)
      server->runs[i] = NULL;
  ledger_run_ended (server->soak, run->id);
  if (run->wire != NULL)
    *wire_state (run->wire) = NULL;
  uv_close ((uv_handle_t *)&run->timer, free_run);
}

static bool
is_spoiled (const server_t *server)
{
  soak_t *soak = server->soak;

  return soak_now_ms (soak) < server->spoiled_until_ms
         && csp_random_below (&soak->random, PER_CENT) < SPOIL_PER_CENT;
}

static void
answer_plain (run_t *run)
{
  server_t *server = run->server;
  wire_t *wire = run->wire;
  char body[WIRE_TEXT_BYTES];
  char id[SOAK_ID_BYTES];

  snprintf (id, sizeof id, "%s", run->id);
  ledger_body (id, body);
  end_run (run);
  if (is_spoiled (server))
    switch (csp_random_below (&server->soak->random, 4))
      {
      case 0: /* it ran, and its answer is lost */
        wire_reset (wire);
        return;
      case 1: /* the answer breaks off */
        wire_print (wire,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                    "X-Engine-Signature: s.%s\r\nContent-Length: 500\r\n\r\n"
                    "half",
                    id, id);
        wire_close (wire);
        return;
      case 2: /* an error of its own */
        wire_print (wire,
                    "HTTP/1.1 500 Error\r\nX-Attempt-Id: %s\r\n"
                    "X-Engine-Signature: s.%s\r\nContent-Length: 3\r\n\r\nerr",
                    id, id);
        return;
      default: /* and a second answer behind it */
        wire_print (wire,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                    "X-Engine-Signature: s.%s\r\nContent-Length: %zu\r\n\r\n%s"
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                    "X-Engine-Signature: s.%s\r\nContent-Length: 5\r\n\r\n"
                    "extra",
                    id, id, strlen (body), body, id, id);
        return;
      }
  wire_print (wire,
              "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
              "X-Engine-Signature: s.%s\r\nKeep-Alive: timeout=8\r\n"
              "Content-Length: %zu\r\n\r\n%s",
              id, id, strlen (body), body);
}

static server_t *
find_server (soak_t *soak, const char *address, size_t size_bytes)
{
  size_t i;

  for (i = 0; i < soak->server_count; i++)
    if (strlen (soak->servers[i]->address) == size_bytes
        && strncmp (soak->servers[i]->address, address, size_bytes) == 0
        && soak->servers[i]->state != SERVER_GONE)
      return soak->servers[i];
  return NULL;
}

static void
add_copy (server_t *server, const char *handle, const char *id)
{
  copy_t *copy = &server->copies[server->copy_count % COPIES_MAX];

  if (server->copy_count < COPIES_MAX)
    server->copy_count++;
  snprintf (copy->handle, sizeof copy->handle, "%s", handle);
  snprintf (copy->id, sizeof copy->id, "%s", id);
  copy->used = false;
}

static void
send_event (run_t *run)
{
  char event[128];

  ledger_event (run->id, run->next_event, event);
  wire_print (run->wire, "%zx\r\n%s\r\n", strlen (event), event);
  run->next_event++;
}

/* The run's memory has arrived where it is backed up to.  */
static void
back_up (run_t *run)
{
  server_t *backup
      = find_server (run->server->soak, run->backup, strlen (run->backup));

  if (backup != NULL && backup->state == SERVER_READY)
    add_copy (backup, run->id, run->id);
}

static void
step_stream (run_t *run)
{
  server_t *server = run->server;
  wire_t *wire = run->wire;

  if (!run->head_sent)
    wire_print (wire,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                "X-Engine-Signature: s.%s\r\nKeep-Alive: timeout=8\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
                run->id, run->id);
  run->head_sent = true;
  if (run->next_event <= run->length)
    send_event (run);
  if (run->next_event == BACKED_UP_EVENTS)
    back_up (run);
  if (run->next_event <= run->length)
    return;
  end_run (run);
  if (is_spoiled (server))
    wire_reset (wire);
  else
    wire_print (wire, "0\r\n\r\n");
}

static void
on_step (uv_timer_t *timer)
{
  run_t *run = timer->data;

  if (soak_now_ms (run->server->soak) < run->server->hangs_until_ms)
    {
      uv_timer_start (timer, on_step, EVENT_MS, 0);
      return;
    }
  if (run->length == 0)
    {
      answer_plain (run);
      return;
    }
  uv_timer_start (timer, on_step, EVENT_MS, 0);
  step_stream (run);
}

/* Orders of the pages that a request must keep to reach a server at all.  */
static void
check_leaving (server_t *server, const wire_message_t *message)
{
  soak_t *soak = server->soak;
  request_t *request
      = ledger_find (soak, wire_field (message, "X-Attempt-Id"));
  uint64_t now_ms = soak_now_ms (soak);

  if (request == NULL || server->state != SERVER_LEAVING
      || now_ms <= server->left_ms + SOAK_DRAIN_MS
      || now_ms < soak->store_disturbed_until_ms
      || server->disturbed_until_ms > server->left_ms
      || !host_in_touch (soak, &soak->hosts[request->host]))
    return;
  soak_violation (soak, "DRAIN", "%s reached %s %llu ms behind its notice",
                  wire_field (message, "X-Attempt-Id"), server->id,
                  (unsigned long long)(now_ms - server->left_ms));
}

static void
begin_run (server_t *server, wire_t *wire, const wire_message_t *message,
           uint32_t first_event)
{
  soak_t *soak = server->soak;
  const char *id = wire_field (message, "X-Attempt-Id");
  const char *backup = wire_field (message, "X-Kv-Backup");
  run_t *run = calloc (1, sizeof *run);
  uint32_t wait_ms
      = first_event > 1
            ? READ_LEAST_MS
            : READ_LEAST_MS + csp_random_below (&soak->random, READ_SPREAD_MS);
  size_t i = 0;

  if (run == NULL)
    abort ();
  while (i < RUNS_MAX && server->runs[i] != NULL)
    i++;
  if (i == RUNS_MAX)
    {
      free (run);
      wire_print (wire, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                        "Content-Length: 0\r\n\r\n");
      return;
    }
  ledger_run (soak, message, server, first_event > 1);
  server->runs[i] = run;
  run->server = server;
  run->wire = wire;
  snprintf (run->id, sizeof run->id, "%s", id == NULL ? "" : id);
  snprintf (run->backup, sizeof run->backup, "%s",
            backup == NULL ? "" : backup);
  run->next_event = first_event;
  if (strcmp (server->service, "engines") == 0)
    run->length = ledger_length (soak, run->id);
  else
    wait_ms = csp_random_below (&soak->random, WORK_SPREAD_MS);
  uv_timer_init (&soak->loop, &run->timer);
  run->timer.data = run;
  *wire_state (wire) = run;
  uv_timer_start (&run->timer, on_step, wait_ms, 0);
}

static run_t *
find_run (server_t *server, const char *id)
{
  size_t i;

  for (i = 0; i < RUNS_MAX; i++)
    if (server->runs[i] != NULL && strcmp (server->runs[i]->id, id) == 0)
      return server->runs[i];
  return NULL;
}

static void
refuse_resume (wire_t *wire)
{
  wire_print (wire, "HTTP/1.1 503 No copy\r\nX-Not-Executed: 1\r\n"
                    "Content-Length: 0\r\n\r\n");
}

/* A copy that this server holds under a handle and that nobody used.  */
static copy_t *
find_copy (server_t *server, const char *handle)
{
  size_t i;

  for (i = 0; i < server->copy_count; i++)
    if (!server->copies[i].used
        && strcmp (server->copies[i].handle, handle) == 0)
      return &server->copies[i];
  return NULL;
}

/* Go on with a run from "ADDRESS/HANDLE" behind an event.  */
static void
resume_run (server_t *server, wire_t *wire, const wire_message_t *message,
            const char *from)
{
  const char *id = wire_field (message, "X-Attempt-Id");
  const char *last = wire_field (message, "Last-Event-Id");
  const char *slash = strchr (from, '/');
  copy_t *copy = slash == NULL ? NULL : find_copy (server, slash + 1);

  if (copy == NULL || id == NULL)
    {
      refuse_resume (wire);
      return;
    }
  if (strcmp (copy->id, id) != 0)
    soak_violation (server->soak, "MIXED", "%s goes on from the run of %s", id,
                    copy->id);
  copy->used = true;
  begin_run (server, wire, message,
             last == NULL ? 1 : (uint32_t)strtoul (last, NULL, 10) + 1);
}

/* A request to copy a run that is being answered.  */
typedef struct
{
  uv_timer_t timer;
  wire_t *wire;
  char handle[ID_BYTES];
  uint32_t events;
  uint16_t status;
} answering_t;

static void
free_answering (uv_handle_t *handle)
{
  free (handle->data);
}

static void
on_copied (uv_timer_t *timer)
{
  answering_t *answering = timer->data;
  char body[128];

  if (answering->wire != NULL)
    {
      *wire_state (answering->wire) = NULL;
      snprintf (body, sizeof body, "{\"handle\":\"%s\",\"created\":%u}",
                answering->handle, answering->events);
      wire_print (answering->wire,
                  "HTTP/1.1 %u Copied\r\nContent-Length: %zu\r\n\r\n%s",
                  answering->status, strlen (body), body);
    }
  uv_close ((uv_handle_t *)timer, free_answering);
}

/* The run stops: its stream is closed without its end, and its memory stays.
 */
static void
stop_run (run_t *run)
{
  wire_t *wire = run->wire;

  end_run (run);
  wire_close (wire);
}

static void
answer_move (server_t *server, wire_t *wire, run_t *run, server_t *to,
             bool last)
{
  soak_t *soak = server->soak;
  answering_t *answering = calloc (1, sizeof *answering);
  bool room = to != NULL && to->state == SERVER_READY
              && csp_random_below (&soak->random, PER_CENT) < 85;

  if (answering == NULL)
    abort ();
  answering->wire = wire;
  *wire_state (wire) = answering;
  answering->status = room ? 200 : 503;
  answering->events = run->next_event - 1;
  snprintf (answering->handle, sizeof answering->handle, "%.20s-%u",
            server->id, ++server->next_handle);
  if (last)
    {
      add_copy (room ? to : server, answering->handle, run->id);
      stop_run (run);
    }
  else if (!room)
    answering->handle[0] = '\0';
  uv_timer_init (&soak->loop, &answering->timer);
  answering->timer.data = answering;
  uv_timer_start (
      &answering->timer, on_copied,
      COPY_LEAST_MS + csp_random_below (&soak->random, COPY_SPREAD_MS), 0);
}

static void
take_move (server_t *server, wire_t *wire, const wire_message_t *message)
{
  json_object *object = json_tokener_parse (message->body);
  json_object *id = NULL;
  json_object *target = NULL;
  json_object *last = NULL;
  run_t *run = NULL;
  const char *to = "";

  if (json_object_object_get_ex (object, "id", &id)
      && json_object_object_get_ex (object, "target", &target)
      && json_object_object_get_ex (object, "last", &last))
    {
      run = find_run (server, json_object_get_string (id));
      to = json_object_get_string (target);
    }
  if (run == NULL || run->length == 0 || !run->head_sent)
    wire_print (wire, "HTTP/1.1 404 No run\r\nContent-Length: 0\r\n\r\n");
  else
    answer_move (server, wire, run,
                 find_server (server->soak, to, strlen (to)),
                 json_object_get_boolean (last));
  json_object_put (object);
}

static void
answer_report (server_t *server, wire_t *wire)
{
  const char *body = server->state == SERVER_LEAVING
                         ? "{\"state\":\"draining\",\"leaves_ms\":900}"
                         : "{\"state\":\"ready\"}";

  wire_print (wire, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
              strlen (body), body);
}

static void
on_requested (wire_t *wire, const wire_message_t *message)
{
  server_t *server = wire_owner (wire);
  const char *expected = wire_field (message, "X-Expect-Instance");
  const char *from = wire_field (message, "Kv-From");

  if (strcmp (message->target, "/report") == 0)
    {
      answer_report (server, wire);
      return;
    }
  if (strcmp (message->target, "/kv-move") == 0)
    {
      take_move (server, wire, message);
      return;
    }
  if (expected == NULL || strcmp (expected, server->id) != 0)
    {
      if (expected == NULL)
        soak_violation (server->soak, "ROUTE", "a request names no server");
      wire_print (wire, "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
      return;
    }
  check_leaving (server, message);
  if (from != NULL)
    resume_run (server, wire, message, from);
  else
    begin_run (server, wire, message, 1);
}

static void
on_closed (wire_t *wire)
{
  server_t *server = wire_owner (wire);
  run_t *run = *wire_state (wire);
  size_t i;

  for (i = 0; i < RUNS_MAX; i++)
    if (run != NULL && server->runs[i] == run)
      {
        run->wire = NULL;
        /* What was copied as it grew is there to go on from.  */
        end_run (run);
        return;
      }
  /* A request to copy whose asker has gone.  */
  if (run != NULL)
    ((answering_t *)(void *)run)->wire = NULL;
}

static const wire_events_t events
    = { .requested = on_requested, .closed = on_closed };

static void
list_server (server_t *server)
{
  char key[64];
  char value[512];

  snprintf (key, sizeof key, "servers/%s", server->id);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
            "\"version\":\"1\",\"slots\":24,\"state\":\"%s\",\"seq\":%u}",
            server->service, server->address,
            server->state == SERVER_READY ? "ready" : "draining",
            server->beats++);
  store_put (server->soak->store, key, value);
}

static void
unlist_server (server_t *server)
{
  char key[64];

  snprintf (key, sizeof key, "servers/%s", server->id);
  store_delete (server->soak->store, key);
}

void
server_open (soak_t *soak, const char *service)
{
  server_t *server = calloc (1, sizeof *server);
  struct sockaddr_in address = soak_address (soak, 2, 0);

  if (server == NULL || soak->server_count == SOAK_SERVERS_MAX)
    abort ();
  server->soak = soak;
  snprintf (server->id, sizeof server->id, "i-%zu", soak->server_count);
  snprintf (server->service, sizeof server->service, "%s", service);
  server->listener = wire_listen (&soak->loop, &address, &events, server);
  server->listed = soak_address (soak, 3, 0);
  if (server->listener == NULL)
    abort ();
  server->proxy = proxy_open (&soak->loop, &server->listed, &address);
  if (server->proxy == NULL)
    abort ();
  soak_print_address (&server->listed, server->address);
  soak->servers[soak->server_count++] = server;
  list_server (server);
  server->beat_ms
      = soak_now_ms (soak) + csp_random_below (&soak->random, HEARTBEAT_MS);
}

static void
close_server (server_t *server)
{
  size_t i;

  server->state = SERVER_GONE;
  for (i = 0; i < RUNS_MAX; i++)
    if (server->runs[i] != NULL)
      {
        wire_t *wire = server->runs[i]->wire;

        end_run (server->runs[i]);
        wire_reset (wire);
      }
  wire_close_listener (server->listener);
  proxy_close (server->proxy);
  server->listener = NULL;
}

void
server_leave (server_t *server, uint64_t for_ms, bool silently)
{
  soak_t *soak = server->soak;

  server->state = SERVER_LEAVING;
  server->silently = silently;
  if (silently)
    unlist_server (server);
  else
    list_server (server);
  server->left_ms = soak_now_ms (soak);
  server->gone_at_ms = server->left_ms + for_ms;
}

void
server_crash (server_t *server)
{
  close_server (server);
  server->lapses_at_ms = soak_now_ms (server->soak) + LAPSE_MS;
}

void
server_hang (server_t *server, uint64_t for_ms)
{
  server->hangs_until_ms = soak_now_ms (server->soak) + for_ms;
  server_disturb (server, server->hangs_until_ms);
}

void
server_spoil (server_t *server, uint64_t for_ms)
{
  server->spoiled_until_ms = soak_now_ms (server->soak) + for_ms;
  server_disturb (server, server->spoiled_until_ms);
}

void
server_disturb (server_t *server, uint64_t until_ms)
{
  if (until_ms + SOAK_CONTACT_MS > server->disturbed_until_ms)
    server->disturbed_until_ms = until_ms + SOAK_CONTACT_MS;
}

bool
server_is_calm (const server_t *server)
{
  return server->state == SERVER_READY
         && soak_now_ms (server->soak) >= server->disturbed_until_ms;
}

void
server_tick (server_t *server)
{
  uint64_t now_ms = soak_now_ms (server->soak);

  if (server->lapses_at_ms != 0 && now_ms >= server->lapses_at_ms)
    {
      server->lapses_at_ms = 0;
      unlist_server (server);
    }
  if (server->state == SERVER_GONE)
    return;
  if (server->state == SERVER_LEAVING && now_ms >= server->gone_at_ms)
    {
      if (!server->silently)
        unlist_server (server);
      close_server (server);
      return;
    }
  if (now_ms < server->beat_ms || server->silently)
    return;
  server->beat_ms = now_ms + HEARTBEAT_MS;
  list_server (server);
}
