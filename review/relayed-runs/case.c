#include "standin.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A gateway that has lost its paths to two engines of six passes its streams
   on to other gateways.  The disruption, besides those two cuts: one of these
   other gateways is killed.  The check: no stream goes on at another engine
   while the engine before still works on it 400 ms later.  */

enum
{
  GATEWAYS = 4, /* the first one takes the streams */
  ENGINES = 6,
  KEEPING = 2, /* the first engines go on with a run whose connection closes */
  CUT = 2,     /* the last engines reset what comes from the first gateway */
  SLOTS = 24,
  FIRST_STREAMS = 16,
  STREAMS = 12,
  EVENT_MS = 40,
  FIRST_EVENTS = 8,
  EVENTS = 75,
  /* By then the gateways lend each other retries.  */
  SETTLE_MS = 25000,
  CUT_MS = 5000,
  FIRST_GAP_MS = 150,
  KILL_AFTER_MS = 1200,
  OVERLAP_MS = 400,
  RUNS_MAX = 4096,
  EXIT_BROKEN = 1,
  EXIT_CANNOT_RUN = 2
};

typedef struct
{
  int number;
  char id[ID_BYTES];
  listener_t listener;
} engine_t;

typedef struct
{
  char id[ID_BYTES];
  const engine_t *engine;
  int sender; /* the gateway that sent the request */
  int64_t began_ms;
  int64_t ended_ms; /* 0: it works on */
} run_t;

static engine_t engines[ENGINES];
static run_t runs[RUNS_MAX];
static int run_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gateway_t gateways[GATEWAYS];
static bool cut;
static int64_t cut_ms;

static int
find_sender (int fd)
{
  struct sockaddr_in address;
  socklen_t size_bytes = sizeof address;

  getpeername (fd, (struct sockaddr *)&address, &size_bytes);
  return (int)(ntohl (address.sin_addr.s_addr) & 0xff) - 1;
}

static run_t *
begin_run (const engine_t *engine, const char *id, int sender)
{
  run_t *run;

  pthread_mutex_lock (&lock);
  if (run_count == RUNS_MAX)
    give_up ("too many runs");
  run = &runs[run_count++];
  snprintf (run->id, sizeof run->id, "%s", id);
  run->engine = engine;
  run->sender = sender;
  run->began_ms = now_ms ();
  pthread_mutex_unlock (&lock);
  record ("%s runs %s, sent by edge-%d", engine->id, id, sender + 1);
  return run;
}

/* Goes on with a run whose connection has closed, if the engine does so.  */
static bool
stream (const engine_t *engine, int fd, run_t *run, int event, int events)
{
  bool sent
      = send_text (fd,
                   "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                   "X-Engine-Signature: %s.%s\r\nX-Weight-Versions: 1\r\n"
                   "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n",
                   run->id, engine->id, run->id);

  while (event < events && (sent || engine->number < KEEPING))
    {
      char text[PATH_BYTES];

      sleep_ms (EVENT_MS);
      snprintf (text, sizeof text, "id: %d\ndata: words\n\n", ++event);
      sent = sent
             && send_text (fd, "%zx\r\n%s\r\n", strlen (text), text);
    }
  sent = sent && send_text (fd, "0\r\n\r\n");
  run->ended_ms = now_ms ();
  record ("%s ends %s behind event %d", engine->id, run->id, event);
  return sent;
}

static bool
answer_request (const engine_t *engine, int fd, const request_t *request)
{
  char id[ID_BYTES];
  char value[PATH_BYTES];
  bool is_first = strcmp (request->path, "/deck/first") == 0;

  if (strcmp (request->path, "/report") == 0)
    {
      static const char report[]
          = "{\"stage\":\"unified\",\"busy\":false,\"seq\":1,\"queued\":0,"
            "\"active\":1,\"kv_used\":500,\"kv_total\":34288,\"handles\":0}";

      return send_text (fd,
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        strlen (report), report);
    }
  if (strncmp (request->path, "/deck/", 6) != 0)
    return send_text (fd, "HTTP/1.1 404 Not Found\r\n"
                          "Content-Length: 2\r\n\r\n{}");
  find_header (request->head, "X-Attempt-Id", id, sizeof id);
  find_header (request->head, "X-Expect-Instance", value, sizeof value);
  if (strcmp (value, engine->id) != 0)
    return send_text (fd, "HTTP/1.1 421 Misdirected Request\r\n"
                          "Content-Length: 0\r\n\r\n");
  find_header (request->head, "Last-Event-Id", value, sizeof value);
  return stream (engine, fd, begin_run (engine, id, find_sender (fd)),
                 atoi (value), is_first ? FIRST_EVENTS : EVENTS);
}

static void
serve (void *state, int fd)
{
  const engine_t *engine = state;
  reader_t *reader = calloc (1, sizeof *reader);
  request_t *request = calloc (1, sizeof *request);

  reader->fd = fd;
  while (read_request (reader, request))
    {
      if (cut && now_ms () < cut_ms + CUT_MS
          && engine->number >= ENGINES - CUT && find_sender (fd) == 0)
        {
          reset_connection (fd);
          break;
        }
      if (!answer_request (engine, fd, request))
        break;
    }
  free (request);
  free (reader);
}

static void
start_engine (int number)
{
  engine_t *engine = &engines[number];
  char key[PATH_BYTES];
  char entry[PATH_BYTES];

  engine->number = number;
  snprintf (engine->id, sizeof engine->id, "i-eng%d", number);
  start_listener (&engine->listener, "127.0.0.1", 0, serve, engine);
  snprintf (key, sizeof key, "servers/i-eng%d", number);
  snprintf (entry, sizeof entry,
            "{\"service\":\"pool\",\"address\":\"127.0.0.1:%u\","
            "\"zone\":\"hall\",\"version\":\"v1\",\"slots\":%d,"
            "\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"unified\","
            "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            "\"seq\":1}",
            engine->listener.port, SLOTS);
  put_item (key, entry);
}

static void *
call (void *state)
{
  int number = (int)(intptr_t)state;
  client_t *client = calloc (1, sizeof *client);
  answer_t *answer = calloc (1, sizeof *answer);
  char text[HEAD_BYTES];

  client->ip = gateways[0].ip;
  client->port = gateways[0].callers;
  snprintf (text, sizeof text,
            "POST /deck/%s HTTP/1.1\r\nHost: desk.example\r\n"
            "X-Attempt-Id: %016x\r\nX-Model: m\r\nX-Token-Usage: 300,600\r\n"
            "X-Prompt-Prefix: 50500d:250,%x:50\r\nX-Deadline-Ms: 39000\r\n"
            "X-Credential: key-1\r\nContent-Length: 4\r\n\r\nbody",
            number <= FIRST_STREAMS ? "first" : "long", number, number);
  if (send_client_request (client, text))
    {
      read_answer (client, answer);
      record ("stream %016x is answered %d%s", number, answer->status,
              answer->cut ? ", cut off" : "");
    }
  close_client (client);
  free (client);
  free (answer);
  return NULL;
}

static void
start_call (int number)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, call, (void *)(intptr_t)number) != 0)
    give_up ("no thread can be had");
  pthread_detach (thread);
}

static const char configuration[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r-deck\","
      "\"host\":\"desk.example\",\"path_prefix\":\"/deck/\","
      "\"route_kind\":\"streaming\",\"timeout_ms\":39000,\"slo_ms\":1800,"
      "\"priority\":0,\"service\":\"pool\",\"max_attempts\":3,"
      "\"public\":false,\"sticky\":true,\"resumable\":true,"
      "\"gap_target_ms\":180}],\"services\":[{\"name\":\"pool\","
      "\"health_path\":\"/healthz\",\"max_conns\":252,\"protocol\":\"h1\","
      "\"tls\":false,\"engine\":{\"slots\":24,\"kv_capacity\":34288,"
      "\"kv_bytes\":131072,\"link_mbps\":19000.0,\"moves\":true,"
      "\"backups\":false,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,"
      "\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
      "{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";

static void
start_gateways (void)
{
  int i;

  for (i = 0; i < GATEWAYS; i++)
    {
      char name[32];
      char ip[INET_ADDRSTRLEN];

      snprintf (name, sizeof name, "edge-%d", i + 1);
      snprintf (ip, sizeof ip, "127.0.0.%d", i + 1);
      gateways[i].has_source = true;
      start_gateway (&gateways[i], name, ip, "hall", 58);
    }
  for (i = 0; i < GATEWAYS; i++)
    if (!await_ready (&gateways[i], 10000))
      give_up ("a gateway isn't ready");
}

/* The gateway that lends retries to the others isn't killed.  */
static bool
lends_retries (int number)
{
  return read_metric (&gateways[number], "cowslipspoke_gateway_decides") == 1;
}

/* The gateway that carries most streams of the first one at engines that keep
   runs; 0: none does.  */
static int
find_carrier (void)
{
  int counts[GATEWAYS] = { 0 };
  int best = 0;
  int i;

  pthread_mutex_lock (&lock);
  for (i = 0; i < run_count; i++)
    if (runs[i].ended_ms == 0 && runs[i].engine->number < KEEPING
        && runs[i].sender > 0 && runs[i].sender < GATEWAYS)
      counts[runs[i].sender]++;
  pthread_mutex_unlock (&lock);
  for (i = 1; i < GATEWAYS; i++)
    if (counts[i] > counts[best] && !lends_retries (i))
      best = i;
  return best;
}

/* Runs that the engine before still worked on 400 ms after another engine had
   begun.  */
static int
count_overlaps (void)
{
  int overlaps = 0;
  int i;
  int j;

  for (i = 0; i < run_count; i++)
    for (j = i + 1; j < run_count; j++)
      if (strcmp (runs[i].id, runs[j].id) == 0
          && runs[i].engine != runs[j].engine
          && (runs[i].ended_ms == 0
              || runs[i].ended_ms >= runs[j].began_ms + OVERLAP_MS))
        {
          overlaps++;
          record ("TWICE: %s goes on at %s, while %s works on it for another "
                  "%lld ms",
                  runs[i].id, runs[j].engine->id, runs[i].engine->id,
                  (long long)(runs[i].ended_ms - runs[j].began_ms));
        }
  return overlaps;
}

int
main (int argc, char **argv)
{
  int carrier = 0;
  int relayed = 0;
  int overlaps;
  int i;

  open_record (argc > 1 ? argv[1] : "record.txt");
  start_store ();
  put_item ("op/config", configuration);
  for (i = 0; i < ENGINES; i++)
    start_engine (i);
  start_gateways ();
  sleep_ms (SETTLE_MS);
  cut_ms = now_ms ();
  cut = has_trouble ();
  if (cut)
    record ("edge-1 loses its paths to %d engines", CUT);
  for (i = 1; i <= FIRST_STREAMS; i++)
    {
      start_call (i);
      sleep_ms (FIRST_GAP_MS);
    }
  for (; i <= FIRST_STREAMS + STREAMS; i++)
    start_call (i);
  sleep_ms (KILL_AFTER_MS);
  if (has_trouble ())
    carrier = find_carrier ();
  if (carrier > 0)
    {
      record ("edge-%d is killed", carrier + 1);
      stop_gateway (&gateways[carrier]);
    }
  sleep_ms ((int64_t)EVENTS * EVENT_MS * 2);
  for (i = 0; i < run_count; i++)
    relayed += runs[i].sender > 0;
  overlaps = count_overlaps ();
  record ("%d runs, %d of them sent by other gateways; killed: edge-%d; "
          "overlaps: %d",
          run_count, relayed, carrier + 1, overlaps);
  stop_all_gateways ();
  if (run_count < STREAMS || (has_trouble () && carrier == 0))
    return EXIT_CANNOT_RUN;
  return overlaps > 0 ? EXIT_BROKEN : 0;
}
