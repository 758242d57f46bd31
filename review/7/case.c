#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Engines are taken away, and ten seconds later others, whose entries were
   removed while the store was down, are treated as gone.  The check: requests
   of callers with kept connections, which plain servers run, are answered.  */

enum
{
  /* In the order of their keys: those that leave before the store is down, the
     last one first; those that leave meanwhile; the others.  */
  FIRST = 12,
  SECOND = 6,
  OTHERS = 30,
  ENGINES = FIRST + SECOND + OTHERS,
  SLOTS = 24,
  STREAMS = 72,
  EVENT_MS = 40,
  PAGE_SERVERS = 2,
  PAGE_CLIENTS = 8,
  PAGE_WORK_MS = 300,
  DRAIN_FROM_MS = 500,
  STREAMS_FROM_MS = 1500,
  FIRST_LEAVE_MS = 3000,
  /* So many leave at a time, and so much later the next ones.  */
  LEAVE_AT_ONCE = 2,
  LEAVE_GAP_MS = 90,
  DOWN_FROM_MS = 6800,
  SECOND_LEAVE_MS = 8000,
  DOWN_UNTIL_MS = 10800, /* 7.8 s behind the first leave */
  END_MS = 15500,
  ATTEMPTS_MAX = 20000,
  LOST_MAX = 3,
  SERVED_MIN = 50,
  EXIT_BROKEN = 1,
  EXIT_CANNOT_RUN = 2
};

typedef struct
{
  char id[ID_BYTES];
  char key[ID_BYTES + 16];
  listener_t listener;
  int active;
} engine_t;

typedef struct
{
  char id[ID_BYTES];
  bool ran;
  bool kept; /* an earlier request was answered on its connection */
  bool lost; /* its connection ended without an answer */
  int status;
} attempt_t;

static engine_t engines[ENGINES];
static listener_t page_servers[PAGE_SERVERS];
static attempt_t attempts[ATTEMPTS_MAX];
static int attempt_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gateway_t gateway;
static int64_t began_ms;
static bool stopping;

static attempt_t *
begin_attempt (void)
{
  attempt_t *attempt;

  pthread_mutex_lock (&lock);
  if (attempt_count == ATTEMPTS_MAX)
    give_up ("too many requests");
  attempt = &attempts[attempt_count++];
  snprintf (attempt->id, sizeof attempt->id, "%016x", attempt_count);
  pthread_mutex_unlock (&lock);
  return attempt;
}

static void
note_run (const char *id)
{
  int i;

  pthread_mutex_lock (&lock);
  for (i = attempt_count; i-- > 0;)
    if (strcmp (attempts[i].id, id) == 0)
      {
        attempts[i].ran = true;
        break;
      }
  pthread_mutex_unlock (&lock);
}

/* Model engines.  */

static bool
stream (const engine_t *engine, int fd, const char *id)
{
  int event = 0;
  bool sent
      = send_text (fd,
                   "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                   "X-Engine-Signature: %s.%s\r\nX-Weight-Versions: 1\r\n"
                   "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n",
                   id, engine->id, id);

  while (sent && !stopping)
    {
      char text[PATH_BYTES];

      sleep_ms (EVENT_MS);
      snprintf (text, sizeof text, "id: %d\ndata: words\n\n", ++event);
      sent = send_text (fd, "%zx\r\n%s\r\n", strlen (text), text);
    }
  return sent && send_text (fd, "0\r\n\r\n");
}

static bool
answer_engine_request (engine_t *engine, int fd, const request_t *request)
{
  char id[ID_BYTES];
  char value[PATH_BYTES];
  bool done;

  if (strcmp (request->path, "/report") == 0)
    {
      snprintf (value, sizeof value,
                "{\"stage\":\"unified\",\"busy\":false,\"seq\":1,"
                "\"queued\":0,\"active\":%d,\"kv_used\":%d,"
                "\"kv_total\":34288,\"handles\":0}",
                engine->active, engine->active * 500);
      return send_text (fd,
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        strlen (value), value);
    }
  /* There is no room for the copy of a run.  */
  if (strcmp (request->path, "/kv-move") == 0)
    return send_text (fd, "HTTP/1.1 503 Service Unavailable\r\n"
                          "Content-Length: 2\r\n\r\n{}");
  find_header (request->head, "X-Attempt-Id", id, sizeof id);
  find_header (request->head, "X-Expect-Instance", value, sizeof value);
  if (strcmp (value, engine->id) != 0)
    return send_text (fd, "HTTP/1.1 421 Misdirected Request\r\n"
                          "Content-Length: 0\r\n\r\n");
  record ("%s runs %s", engine->id, id);
  engine->active++;
  done = stream (engine, fd, id);
  engine->active--;
  return done;
}

static void
serve_engine (void *state, int fd)
{
  reader_t *reader = calloc (1, sizeof *reader);
  request_t *request = calloc (1, sizeof *request);

  reader->fd = fd;
  while (read_request (reader, request)
         && answer_engine_request (state, fd, request))
    continue;
  free (request);
  free (reader);
}

static void
write_entry (const engine_t *engine, const char *state)
{
  char entry[PATH_BYTES];

  snprintf (entry, sizeof entry,
            "{\"service\":\"pool\",\"address\":\"127.0.0.1:%u\","
            "\"zone\":\"hall\",\"version\":\"v1\",\"slots\":%d,"
            "\"state\":\"%s\",\"cold_left_ms\":0,\"stage\":\"unified\","
            "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            "\"seq\":1}",
            engine->listener.port, SLOTS, state);
  put_item (engine->key, entry);
}

static void
start_engine (int number)
{
  engine_t *engine = &engines[number];

  snprintf (engine->id, sizeof engine->id, "i-eng%02d", number);
  snprintf (engine->key, sizeof engine->key, "servers/i-eng%02d", number);
  start_listener (&engine->listener, "127.0.0.1", 0, serve_engine, engine);
  write_entry (engine, "ready");
}

/* The plain service.  */

static void
serve_page (void *state, int fd)
{
  const listener_t *server = state;
  reader_t *reader = calloc (1, sizeof *reader);
  request_t *request = calloc (1, sizeof *request);

  reader->fd = fd;
  while (read_request (reader, request))
    {
      char id[ID_BYTES];

      find_header (request->head, "X-Attempt-Id", id, sizeof id);
      if (id[0] != '\0')
        {
          note_run (id);
          sleep_ms (PAGE_WORK_MS);
        }
      if (!send_text (fd,
                      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                      "X-Engine-Signature: %u.%s\r\nContent-Length: 2\r\n\r\n"
                      "ok",
                      id, server->port, id))
        break;
    }
  free (request);
  free (reader);
}

static void
start_page_server (int number)
{
  listener_t *server = &page_servers[number];
  char key[PATH_BYTES];
  char entry[PATH_BYTES];

  start_listener (server, "127.0.0.1", 0, serve_page, server);
  snprintf (key, sizeof key, "servers/i-page%d", number);
  snprintf (entry, sizeof entry,
            "{\"service\":\"pages\",\"address\":\"127.0.0.1:%u\","
            "\"zone\":\"hall\",\"version\":\"v1\",\"slots\":6,"
            "\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}",
            server->port);
  put_item (key, entry);
}

/* Callers.  */

static void *
call_pages (void *state)
{
  client_t *client = calloc (1, sizeof *client);
  answer_t *answer = calloc (1, sizeof *answer);
  char text[PATH_BYTES];

  (void)state;
  client->ip = gateway.ip;
  client->port = gateway.callers;
  while (!stopping)
    {
      attempt_t *attempt = begin_attempt ();

      snprintf (text, sizeof text,
                "POST /page/1 HTTP/1.1\r\nHost: desk.example\r\n"
                "X-Attempt-Id: %s\r\nX-Deadline-Ms: 2500\r\n"
                "X-Credential: key-1\r\nContent-Length: 4\r\n\r\nbody",
                attempt->id);
      if (!send_client_request (client, text))
        break;
      attempt->kept = client->answered > 0;
      read_answer (client, answer);
      attempt->status = answer->status;
      attempt->lost = answer->status == 0;
      record ("%s is answered %d", attempt->id, answer->status);
    }
  close_client (client);
  free (client);
  free (answer);
  return NULL;
}

static void *
call_draft (void *state)
{
  client_t *client = calloc (1, sizeof *client);
  answer_t *answer = calloc (1, sizeof *answer);
  attempt_t *attempt = begin_attempt ();
  char text[HEAD_BYTES];

  (void)state;
  client->ip = gateway.ip;
  client->port = gateway.callers;
  snprintf (text, sizeof text,
            "POST /draft/1 HTTP/1.1\r\nHost: desk.example\r\n"
            "X-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Usage: 300,2400\r\n"
            "X-Prompt-Prefix: 50500d:250,%s:50\r\nX-Deadline-Ms: 39000\r\n"
            "X-Credential: key-1\r\nContent-Length: 4\r\n\r\nbody",
            attempt->id, attempt->id);
  if (send_client_request (client, text))
    {
      read_answer (client, answer);
      attempt->status = answer->status;
      if (answer->status != 200)
        record ("stream %s is answered %d%s", attempt->id, answer->status,
                answer->cut ? ", cut off" : "");
    }
  close_client (client);
  free (client);
  free (answer);
  return NULL;
}

static pthread_t
start_call (void *(*call) (void *))
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, call, NULL) != 0)
    give_up ("no thread can be had");
  return thread;
}

static const char configuration[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r-page\","
      "\"host\":\"desk.example\",\"path_prefix\":\"/page/\","
      "\"route_kind\":\"unsafe\",\"timeout_ms\":2500,\"slo_ms\":1000,"
      "\"priority\":2,\"service\":\"pages\",\"max_attempts\":1,"
      "\"public\":false},{\"name\":\"r-draft\",\"host\":\"desk.example\","
      "\"path_prefix\":\"/draft/\",\"route_kind\":\"streaming\","
      "\"timeout_ms\":39000,\"slo_ms\":1800,\"priority\":0,"
      "\"service\":\"pool\",\"max_attempts\":1,\"public\":false,"
      "\"sticky\":true,\"resumable\":false,\"gap_target_ms\":180}],"
      "\"services\":[{\"name\":\"pool\",\"health_path\":\"/healthz\","
      "\"max_conns\":252,\"protocol\":\"h1\",\"tls\":false,\"engine\":"
      "{\"slots\":24,\"kv_capacity\":34288,\"kv_bytes\":131072,"
      "\"link_mbps\":19000.0,\"moves\":true,\"backups\":false,\"stride\":4,"
      "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,"
      "\"models\":[{\"name\":\"m\"}]}},{\"name\":\"pages\","
      "\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\","
      "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
      "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
      "\"idle_timeout_ms\":15000},\"tenants\":["
      "{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";

static void
await (int at_ms)
{
  sleep_until_ms (began_ms + at_ms);
}

/* The first engines report that they leave, and are gone.  */
static void
take_first_engines_away (void)
{
  int i;

  await (DRAIN_FROM_MS);
  for (i = 0; i < FIRST; i++)
    write_entry (&engines[i], "draining");
  record ("%d engines are draining", FIRST);
  await (STREAMS_FROM_MS);
  for (i = 0; i < STREAMS; i++)
    start_call (call_draft);
  for (i = FIRST; i-- > 0;)
    {
      await (FIRST_LEAVE_MS
             + (FIRST - 1 - i) / LEAVE_AT_ONCE * LEAVE_GAP_MS);
      record ("%s has left, its entry is removed", engines[i].id);
      delete_item (engines[i].key);
    }
}

/* The second ones never report that they leave.  They go on with their
   streams.  */
static void
take_second_engines_away (void)
{
  int i;

  await (DOWN_FROM_MS);
  if (has_trouble ())
    {
      record ("the store is down");
      set_store_busy (true);
    }
  await (SECOND_LEAVE_MS);
  for (i = FIRST; i < FIRST + SECOND; i++)
    {
      record ("%s leaves, its entry is removed", engines[i].id);
      delete_item (engines[i].key);
    }
  await (DOWN_UNTIL_MS);
  set_store_busy (false);
  if (has_trouble ())
    record ("the store is back");
}

static int
count_lost (void)
{
  int lost = 0;
  int i;

  for (i = 0; i < attempt_count; i++)
    if (attempts[i].lost && attempts[i].kept && attempts[i].ran)
      {
        lost++;
        record ("LOST: %s ran at a sound server; its kept connection ended "
                "without an answer",
                attempts[i].id);
      }
  return lost;
}

int
main (int argc, char **argv)
{
  pthread_t clients[PAGE_CLIENTS];
  int served = 0;
  int lost;
  int i;

  open_record (argc > 1 ? argv[1] : "record.txt");
  start_store ();
  put_item ("op/config", configuration);
  for (i = 0; i < ENGINES; i++)
    start_engine (i);
  for (i = 0; i < PAGE_SERVERS; i++)
    start_page_server (i);
  start_gateway (&gateway, "edge-1", "127.0.0.1", "hall", 58);
  if (!await_ready (&gateway, 10000))
    give_up ("the gateway isn't ready");
  sleep_ms (500);
  began_ms = now_ms ();
  for (i = 0; i < PAGE_CLIENTS; i++)
    clients[i] = start_call (call_pages);
  take_first_engines_away ();
  take_second_engines_away ();
  while (now_ms () < began_ms + END_MS && gateway_runs (&gateway))
    sleep_ms (50);
  sleep_ms (500);
  stopping = true;
  for (i = 0; i < PAGE_CLIENTS; i++)
    pthread_join (clients[i], NULL);
  for (i = 0; i < attempt_count; i++)
    served += attempts[i].status == 200;
  lost = count_lost ();
  record ("the gateway %s; %d requests served; lost: %d",
          gateway_runs (&gateway)            ? "runs"
          : WIFSIGNALED (gateway.end_status) ? "was ended by a signal"
                                             : "has ended",
          served, lost);
  stop_all_gateways ();
  if (served < SERVED_MIN)
    return EXIT_CANNOT_RUN;
  return lost > LOST_MAX ? EXIT_BROKEN : 0;
}
