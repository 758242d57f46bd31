#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* A part of prompts that ends every model engine that begins to run it, on a
   fleet whose engines are all taken.  Four requests with the part end four
   engines and bring the part on trial.  Then three more come close together
   and wait; the first of them is tried and ends a fifth engine.  The gateway
   holds the part and refuses the other two.  The check: meanwhile requests of
   callers with kept connections, which plain servers run, are answered.  */

enum
{
  ENGINES = 6, /* at a time */
  SLOTS = 24,
  /* Fill an engine's memory.  */
  LONG_PER_ENGINE = 9,
  BOOTS_MAX = 32,
  PAGE_SERVERS = 2,
  PAGE_CLIENTS = 8,
  PAGE_WORK_MS = 300,
  DRAFT_CLIENTS = 14,
  DRAFTS_UNTIL_MS = 8000,
  DRAFT_PAUSE_MS = 60,
  EVENT_MS = 40,
  SHORT_EVENTS = 3,
  SHORT_TOKENS = 150,
  LONG_TOKENS = 3000,
  /* An engine that has crashed is replaced, and later its entry lapses.  */
  DOWN_MS = 2000,
  LAPSE_MS = 3600,
  FIRST_DEADLY_MS = 2000,
  DEADLY_PERIOD_MS = 1000,
  FIRST_DEADLY = 4,
  LONG_FROM_MS = 10000,
  WAITING_FROM_MS = 11500,
  WAITING = 3,
  CRASH_AFTER_MS = 20,
  /* From the fifth crash until one more stream ends.  */
  NEXT_END_MS = 292,
  STEP_MS = 2,
  ATTEMPTS_MAX = 20000,
  CONNECTIONS_MAX = 512,
  LOST_MAX = 3,
  /* Until a gateway has crashed.  */
  ROUNDS = 3,
  SERVED_MIN = 50,
  EXIT_BROKEN = 1,
  EXIT_CANNOT_RUN = 2
};

/* Another one in each round.  */
static char deadly_part[] = "deadbee0";

/* One boot of a model engine.  */
typedef struct
{
  char id[ID_BYTES];
  char key[ID_BYTES + 16];
  listener_t listener;
  bool crashed;
  int active;
  bool ends_one; /* one of its long streams ends with the next event */
  bool ends_all;
  int connections[CONNECTIONS_MAX]; /* 0: unused */
} engine_t;

typedef struct
{
  char id[ID_BYTES];
  bool ran;
  bool kept; /* an earlier request was answered on its connection */
  bool lost; /* its connection ended without an answer */
  int status;
} attempt_t;

static engine_t engines[BOOTS_MAX];
static int engine_count;
static listener_t page_servers[PAGE_SERVERS];
static attempt_t attempts[ATTEMPTS_MAX];
static int attempt_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gateway_t gateway;
static int64_t began_ms;
static bool stopping;
static int drafts_sent;
static int deadly_sent;
static int crashes;
static int64_t last_crash_ms;

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

static void serve_engine (void *state, int fd);

static engine_t *
start_engine (void)
{
  engine_t *engine;
  char entry[PATH_BYTES];

  pthread_mutex_lock (&lock);
  if (engine_count == BOOTS_MAX)
    give_up ("too many engines");
  engine = &engines[engine_count++];
  snprintf (engine->id, sizeof engine->id, "i-eng%02d", engine_count);
  snprintf (engine->key, sizeof engine->key, "servers/i-eng%02d",
            engine_count);
  pthread_mutex_unlock (&lock);
  start_listener (&engine->listener, "127.0.0.1", 0, serve_engine, engine);
  snprintf (entry, sizeof entry,
            "{\"service\":\"pool\",\"address\":\"127.0.0.1:%u\","
            "\"zone\":\"hall\",\"version\":\"v1\",\"slots\":24,"
            "\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"unified\","
            "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            "\"seq\":1}",
            engine->listener.port);
  put_item (engine->key, entry);
  return engine;
}

static void *
replace_engine (void *state)
{
  engine_t *engine = state;

  sleep_ms (DOWN_MS);
  record ("%s replaces %s", start_engine ()->id, engine->id);
  sleep_ms (LAPSE_MS - DOWN_MS);
  delete_item (engine->key);
  return NULL;
}

static void
note_connection (engine_t *engine, int from, int to)
{
  int i = 0;

  pthread_mutex_lock (&lock);
  while (i < CONNECTIONS_MAX && engine->connections[i] != from)
    i++;
  if (i == CONNECTIONS_MAX)
    give_up ("too many connections");
  engine->connections[i] = to;
  pthread_mutex_unlock (&lock);
}

/* Their threads close them.  */
static void
reset_connections (engine_t *engine)
{
  int i;

  pthread_mutex_lock (&lock);
  for (i = 0; i < CONNECTIONS_MAX; i++)
    if (engine->connections[i] != 0)
      reset_connection (engine->connections[i]);
  pthread_mutex_unlock (&lock);
}

static void
crash_engine (engine_t *engine, const char *id)
{
  pthread_t thread;

  pthread_mutex_lock (&lock);
  engine->crashed = true;
  crashes++;
  last_crash_ms = now_ms ();
  pthread_mutex_unlock (&lock);
  record ("%s crashes under %s", engine->id, id);
  stop_listener (&engine->listener);
  reset_connections (engine);
  pthread_create (&thread, NULL, replace_engine, engine);
  pthread_detach (thread);
}

static bool
take_slot (engine_t *engine)
{
  bool taken;

  pthread_mutex_lock (&lock);
  taken = engine->active < SLOTS;
  engine->active += taken;
  pthread_mutex_unlock (&lock);
  return taken;
}

/* Whether this long stream is the one that ends.  */
static bool
ends_now (engine_t *engine)
{
  bool ends;

  pthread_mutex_lock (&lock);
  ends = engine->ends_one || engine->ends_all;
  engine->ends_one = false;
  pthread_mutex_unlock (&lock);
  return ends;
}

/* Waits until the next event of a long stream, or until the stream ends.  */
static bool
await_end (engine_t *engine)
{
  int64_t until_ms = now_ms () + EVENT_MS;

  while (now_ms () < until_ms)
    {
      if (ends_now (engine))
        return true;
      sleep_ms (STEP_MS);
    }
  return false;
}

/* Sends a stream; a long one until the test ends it.  */
static bool
stream (engine_t *engine, int fd, const char *id, bool is_long)
{
  int event = 0;
  bool sent
      = send_text (fd,
                   "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                   "X-Engine-Signature: %s.%s\r\nX-Weight-Versions: 1\r\n"
                   "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n",
                   id, engine->id, id);

  while (sent && !engine->crashed && !stopping
         && (is_long ? !await_end (engine) : event < SHORT_EVENTS))
    {
      char text[PATH_BYTES];

      if (!is_long)
        sleep_ms (EVENT_MS);
      snprintf (text, sizeof text, "id: %d\ndata: words\n\n", ++event);
      sent = send_text (fd, "%zx\r\n%s\r\n", strlen (text), text);
    }
  if (engine->crashed || !sent)
    return false;
  return send_text (fd, "0\r\n\r\n");
}

static bool
answer_engine_request (engine_t *engine, int fd, const request_t *request)
{
  char id[ID_BYTES];
  char value[PATH_BYTES];
  bool done;

  if (strcmp (request->path, "/report") == 0)
    {
      static const char report[]
          = "{\"stage\":\"unified\",\"models\":[{\"name\":\"m\","
            "\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":1,"
            "\"queued\":0,\"active\":1,\"kv_used\":500,\"kv_total\":34288,"
            "\"handles\":0,\"state\":\"ready\"}";

      return send_text (fd,
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        strlen (report), report);
    }
  if (strncmp (request->path, "/draft/", 7) != 0)
    return send_text (fd, "HTTP/1.1 404 Not Found\r\n"
                          "Content-Length: 2\r\n\r\n{}");
  find_header (request->head, "X-Attempt-Id", id, sizeof id);
  find_header (request->head, "X-Expect-Instance", value, sizeof value);
  if (strcmp (value, engine->id) != 0)
    return send_text (fd, "HTTP/1.1 421 Misdirected Request\r\n"
                          "Content-Length: 0\r\n\r\n");
  if (!take_slot (engine))
    return send_text (fd, "HTTP/1.1 503 Service Unavailable\r\n"
                          "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  record ("%s runs %s", engine->id, id);
  find_header (request->head, "X-Prompt-Prefix", value, sizeof value);
  if (has_trouble () && strstr (value, deadly_part) != NULL)
    {
      sleep_ms (CRASH_AFTER_MS);
      crash_engine (engine, id);
      return false;
    }
  done = stream (engine, fd, id, strcmp (request->path, "/draft/long") == 0);
  pthread_mutex_lock (&lock);
  engine->active--;
  pthread_mutex_unlock (&lock);
  return done;
}

static void
serve_engine (void *state, int fd)
{
  engine_t *engine = state;
  reader_t *reader = calloc (1, sizeof *reader);
  request_t *request = calloc (1, sizeof *request);

  reader->fd = fd;
  note_connection (engine, 0, fd);
  while (!engine->crashed && read_request (reader, request)
         && !engine->crashed && answer_engine_request (engine, fd, request))
    continue;
  if (engine->crashed)
    reset_connection (fd);
  note_connection (engine, fd, 0);
  free (request);
  free (reader);
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

/* One request for a draft; the part is the first of its prompt.  */
static void
call_draft (const char *path, const char *key, const char *part,
            int prompt_tokens)
{
  client_t *client = calloc (1, sizeof *client);
  answer_t *answer = calloc (1, sizeof *answer);
  attempt_t *attempt = begin_attempt ();
  char text[HEAD_BYTES];

  pthread_mutex_lock (&lock);
  drafts_sent++;
  deadly_sent += strcmp (part, deadly_part) == 0;
  pthread_mutex_unlock (&lock);
  client->ip = gateway.ip;
  client->port = gateway.callers;
  snprintf (text, sizeof text,
            "POST /draft/%s HTTP/1.1\r\nHost: desk.example\r\n"
            "X-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Usage: %d,1400\r\n"
            "X-Prompt-Prefix: %s:%d,%s:50\r\nX-Deadline-Ms: 20000\r\n"
            "X-Credential: %s\r\nContent-Length: 4\r\n\r\nbody",
            path, attempt->id, prompt_tokens, part, prompt_tokens - 50,
            attempt->id, key);
  if (send_client_request (client, text))
    {
      read_answer (client, answer);
      attempt->status = answer->status;
      if (strcmp (part, deadly_part) == 0 || answer->status != 200)
        record ("draft %s, part %s, is answered %d %s", attempt->id, part,
                answer->status, answer->body);
    }
  close_client (client);
  free (client);
  free (answer);
}

static void *
call_short_drafts (void *state)
{
  (void)state;
  while (now_ms () - began_ms < DRAFTS_UNTIL_MS)
    {
      call_draft ("short", "key-1", "50500d", SHORT_TOKENS);
      sleep_ms (DRAFT_PAUSE_MS);
    }
  return NULL;
}

static void *
call_long_draft (void *state)
{
  (void)state;
  call_draft ("long", "key-1", "50500d", LONG_TOKENS);
  return NULL;
}

static void *
call_deadly_draft (void *state)
{
  call_draft ("short", state, deadly_part, LONG_TOKENS);
  return NULL;
}

static pthread_t
start_call (void *(*call) (void *), void *state)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, call, state) != 0)
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
      "\"timeout_ms\":20000,\"slo_ms\":4000,\"priority\":0,"
      "\"service\":\"pool\",\"max_attempts\":1,\"public\":false,"
      "\"sticky\":true,\"resumable\":false,\"gap_target_ms\":180}],"
      "\"services\":[{\"name\":\"pool\",\"health_path\":\"/healthz\","
      "\"max_conns\":252,\"protocol\":\"h1\",\"tls\":false,\"engine\":"
      "{\"slots\":24,\"kv_capacity\":34288,\"kv_bytes\":131072,"
      "\"link_mbps\":19000.0,\"moves\":false,\"backups\":false,\"stride\":4,"
      "\"most\":12,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"pages\","
      "\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\","
      "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
      "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
      "\"idle_timeout_ms\":15000},\"tenants\":["
      "{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1},"
      "{\"name\":\"tenant-2\",\"api_keys\":[\"key-2\"],\"priority\":1},"
      "{\"name\":\"tenant-3\",\"api_keys\":[\"key-3\"],\"priority\":1},"
      "{\"name\":\"tenant-4\",\"api_keys\":[\"key-4\"],\"priority\":1}]}";

/* Ends one long stream.  */
static void
end_one_stream (void)
{
  int i = engine_count - 1;

  while (engines[i].crashed)
    i--;
  record ("a stream at %s ends", engines[i].id);
  engines[i].ends_one = true;
}

static void
end_all_streams (void)
{
  int i;

  for (i = 0; i < engine_count; i++)
    engines[i].ends_all = true;
}

static void
send_first_deadly_drafts (void)
{
  int i;

  for (i = 0; i < FIRST_DEADLY; i++)
    {
      sleep_until_ms (began_ms + FIRST_DEADLY_MS + i * DEADLY_PERIOD_MS);
      start_call (call_deadly_draft, "key-1");
    }
}

static void
fill_engines (void)
{
  int i;

  sleep_until_ms (began_ms + LONG_FROM_MS);
  for (i = 0; i < ENGINES * LONG_PER_ENGINE; i++)
    start_call (call_long_draft, NULL);
}

static void
send_waiting_drafts (void)
{
  int crashes_before = crashes;
  int64_t until_ms;
  int i;

  sleep_until_ms (began_ms + WAITING_FROM_MS);
  for (i = 0; i < WAITING; i++)
    {
      start_call (call_deadly_draft, "key-2");
      sleep_ms (5);
    }
  sleep_ms (100);
  end_one_stream ();
  until_ms = now_ms () + 1000;
  while (crashes == crashes_before && now_ms () < until_ms)
    sleep_ms (1);
  if (crashes > crashes_before)
    sleep_until_ms (last_crash_ms + NEXT_END_MS);
  end_one_stream ();
}

/* Four engines end, one after the other; then the part is tried.  */
static void
play_round (int number)
{
  int i;

  deadly_part[sizeof deadly_part - 2] = (char)('0' + number);
  record ("round %d, deadly part %s", number + 1, deadly_part);
  for (i = 0; i < engine_count; i++)
    engines[i].ends_all = false;
  began_ms = now_ms ();
  for (i = 0; i < DRAFT_CLIENTS; i++)
    start_call (call_short_drafts, NULL);
  send_first_deadly_drafts ();
  fill_engines ();
  send_waiting_drafts ();
  for (i = 0; i < 40 && gateway_runs (&gateway); i++)
    sleep_ms (50);
  end_all_streams ();
  sleep_ms (500);
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
    start_engine ();
  for (i = 0; i < PAGE_SERVERS; i++)
    start_page_server (i);
  start_gateway (&gateway, "edge-1", "127.0.0.1", "hall", 58);
  if (!await_ready (&gateway, 10000))
    give_up ("the gateway isn't ready");
  sleep_ms (500);
  for (i = 0; i < PAGE_CLIENTS; i++)
    clients[i] = start_call (call_pages, NULL);
  for (i = 0; i < ROUNDS && gateway_runs (&gateway); i++)
    play_round (i);
  stopping = true;
  for (i = 0; i < PAGE_CLIENTS; i++)
    pthread_join (clients[i], NULL);
  for (i = 0; i < attempt_count; i++)
    served += attempts[i].status == 200;
  lost = count_lost ();
  record ("the gateway %s; %d requests served; %d drafts, %d with the part; "
          "%d engines crashed; lost: %d",
          gateway_runs (&gateway)                ? "runs"
          : WIFSIGNALED (gateway.end_status) ? "was ended by a signal"
                                             : "has ended",
          served, drafts_sent, deadly_sent, crashes, lost);
  stop_all_gateways ();
  if (served < SERVED_MIN)
    return EXIT_CANNOT_RUN;
  return lost > LOST_MAX ? EXIT_BROKEN : 0;
}
