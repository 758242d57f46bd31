/* Stand-ins for the review's scripts: the platform's store, its servers and
   its clients, as the users' pages describe them.  One program, one role a
   process, one thread a connection.

   standin ports COUNT
   standin store ADDRESS:PORT
   standin put STORE KEY VALUE
   standin server ID ADDRESS:PORT SERVICE ZONE STORE RECORD WORK_MS [KIND]
   standin client GATEWAY RECORD PREFIX COUNT GAP_MS PATH BYTES FRAMING
                  DEADLINE_MS [HEADER...]

   standin download GATEWAY RECORD PREFIX COUNT GAP_MS PATH BYTES_PER_MS
                    DEADLINE_MS [HEADER...]

   KIND is "engine" for event streams, "keeping-engine" for an engine that goes
   on with a run whose connection was closed, or the size of an answer's body
   in bytes where the path doesn't end with "?bytes=SIZE".  At SIGTERM a server
   reports that it is draining and ends LINGER_MS later.  FRAMING is "length"
   or "chunks".  A download reads no faster than BYTES_PER_MS.  All write one
   line a fact to RECORD.  */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  HEAD_BYTES = 32768,
  BODY_BYTES_MAX = 16777216,
  HEARTBEAT_MS = 1200,
  ROW_LAPSE_MS = 3 * HEARTBEAT_MS,
  KEEP_ALIVE_S = 30,
  EVENT_MS = 28,
  EVENT_TOKENS = 4,
  COPY_MS = 200,
  LINGER_MS = 6000,
  PIECE_BYTES = 16384
};

static int record_descriptor = -1;
/* Connections have the segment size of an Ethernet and a small window, so that
   no megabytes wait in the buffers of the loopback device.  */
static bool narrow_link;

static int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
sleep_ms (int64_t for_ms)
{
  struct timespec wait
      = { .tv_sec = for_ms / 1000, .tv_nsec = for_ms % 1000 * 1000000 };

  nanosleep (&wait, NULL);
}

static void
fail (const char *what)
{
  perror (what);
  exit (2);
}

static void __attribute__ ((format (printf, 1, 2)))
record (const char *format, ...)
{
  char line[1024];
  va_list arguments;
  int size = snprintf (line, sizeof line, "%lld ", (long long)now_ms ());

  va_start (arguments, format);
  size += vsnprintf (line + size, sizeof line - (size_t)size - 1, format,
                     arguments);
  va_end (arguments);
  line[size++] = '\n';
  if (write (record_descriptor, line, (size_t)size) != size)
    fail ("record");
}

static void
open_record (const char *path)
{
  record_descriptor = open (path, O_WRONLY | O_APPEND | O_CREAT, 0644);
  if (record_descriptor < 0)
    fail (path);
}

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  const char *colon = strchr (text, ':');
  char host[32] = "";

  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    {
      fprintf (stderr, "%s isn't ADDRESS:PORT\n", text);
      exit (2);
    }
  memcpy (host, text, (size_t)(colon - text));
  inet_pton (AF_INET, host, &address.sin_addr);
  address.sin_port = htons ((uint16_t)atoi (colon + 1));
  return address;
}

static int
listen_at (const char *text)
{
  struct sockaddr_in address = parse_address (text);
  int on = 1;
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, 512) != 0)
    fail (text);
  return listener;
}

static int
connect_to (const char *text)
{
  struct sockaddr_in address = parse_address (text);
  int on = 1;
  int connection = socket (AF_INET, SOCK_STREAM, 0);

  if (narrow_link)
    {
      int segment_bytes = 1460;
      int buffer_bytes = 8192;

      setsockopt (connection, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                  sizeof segment_bytes);
      setsockopt (connection, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                  sizeof buffer_bytes);
    }
  if (connect (connection, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (connection);
      return -1;
    }
  setsockopt (connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connection;
}

static bool
send_all (int connection, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t sent = send (connection, data, size, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      data += sent;
      size -= (size_t)sent;
    }
  return true;
}

static bool __attribute__ ((format (printf, 2, 3)))
send_text (int connection, const char *format, ...)
{
  char text[HEAD_BYTES];
  va_list arguments;
  int size;

  va_start (arguments, format);
  size = vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  return send_all (connection, text, (size_t)size);
}

/* A message that is read from a connection.  Bytes behind it stay in the
   reader.  */
typedef struct
{
  int connection;
  char bytes[HEAD_BYTES];
  size_t count;
  char head[HEAD_BYTES];
  char *body;
  size_t body_bytes;
  bool chunked;
  bool until_close;
  bool whole;          /* the body came to its end */
  size_t bytes_per_ms; /* the pace of reading; 0: as fast as possible */
  uint64_t received_bytes;
  int64_t began_ms;
} reader_t;

static bool
fill (reader_t *reader)
{
  ssize_t got = recv (reader->connection, reader->bytes + reader->count,
                      sizeof reader->bytes - reader->count, 0);

  if (got <= 0)
    return false;
  reader->count += (size_t)got;
  reader->received_bytes += (uint64_t)got;
  while (reader->bytes_per_ms > 0
         && reader->received_bytes > (uint64_t)(now_ms () - reader->began_ms)
                                         * reader->bytes_per_ms)
    sleep_ms (1);
  return true;
}

static void
consume (reader_t *reader, size_t size)
{
  reader->count -= size;
  memmove (reader->bytes, reader->bytes + size, reader->count);
}

static const char *
find_field (const reader_t *reader, const char *name, char *value,
            size_t value_bytes)
{
  const char *line = strstr (reader->head, "\r\n");
  size_t name_bytes = strlen (name);

  while (line != NULL && line[2] != '\0')
    {
      line += 2;
      if (strncasecmp (line, name, name_bytes) == 0 && line[name_bytes] == ':')
        {
          const char *at = line + name_bytes + 1;
          size_t size;

          at += strspn (at, " ");
          size = strcspn (at, "\r");
          if (size >= value_bytes)
            size = value_bytes - 1;
          memcpy (value, at, size);
          value[size] = '\0';
          return value;
        }
      line = strstr (line, "\r\n");
    }
  return NULL;
}

static void
add_body (reader_t *reader, size_t size)
{
  if (reader->body_bytes + size > BODY_BYTES_MAX)
    size = BODY_BYTES_MAX - reader->body_bytes;
  memcpy (reader->body + reader->body_bytes, reader->bytes, size);
  reader->body_bytes += size;
}

static bool
read_length (reader_t *reader, uint64_t length)
{
  while (length > 0)
    {
      size_t size;

      if (reader->count == 0 && !fill (reader))
        return false;
      size = reader->count < length ? reader->count : (size_t)length;
      add_body (reader, size);
      consume (reader, size);
      length -= size;
    }
  return true;
}

/* Reads a line; its text is in line without the line end.  */
static bool
read_line (reader_t *reader, char *line, size_t line_bytes)
{
  char *end;
  size_t size;

  while ((end = memmem (reader->bytes, reader->count, "\r\n", 2)) == NULL)
    if (!fill (reader))
      return false;
  size = (size_t)(end - reader->bytes);
  if (size >= line_bytes)
    return false;
  memcpy (line, reader->bytes, size);
  line[size] = '\0';
  consume (reader, size + 2);
  return true;
}

static bool
read_chunks (reader_t *reader)
{
  char line[256];

  while (read_line (reader, line, sizeof line))
    {
      uint64_t length = strtoull (line, NULL, 16);

      if (length > 0
          && (!read_length (reader, length)
              || !read_line (reader, line, sizeof line) || line[0] != '\0'))
        return false;
      if (length > 0)
        continue;
      while (read_line (reader, line, sizeof line))
        if (line[0] == '\0')
          return true;
      return false;
    }
  return false;
}

static bool
read_head (reader_t *reader)
{
  char *end;
  size_t size;
  char value[64];

  while ((end = memmem (reader->bytes, reader->count, "\r\n\r\n", 4)) == NULL)
    if (!fill (reader))
      return false;
  size = (size_t)(end - reader->bytes) + 2;
  memcpy (reader->head, reader->bytes, size);
  reader->head[size] = '\0';
  consume (reader, size + 2);
  reader->body_bytes = 0;
  reader->whole = false;
  reader->chunked
      = find_field (reader, "Transfer-Encoding", value, sizeof value) != NULL;
  return true;
}

static bool
read_body (reader_t *reader)
{
  char value[64];

  if (reader->chunked)
    reader->whole = read_chunks (reader);
  else if (find_field (reader, "Content-Length", value, sizeof value) != NULL)
    reader->whole = read_length (reader, strtoull (value, NULL, 10));
  else
    reader->whole = true;
  return reader->whole;
}

static reader_t *
create_reader (int connection)
{
  reader_t *reader = calloc (1, sizeof *reader);

  if (reader != NULL)
    reader->body = malloc (BODY_BYTES_MAX);
  if (reader == NULL || reader->body == NULL)
    fail ("memory");
  reader->connection = connection;
  return reader;
}

static void
destroy_reader (reader_t *reader)
{
  close (reader->connection);
  free (reader->body);
  free (reader);
}

static uint64_t
hash_bytes (const char *data, size_t size)
{
  uint64_t hash = 1469598103934665603u;
  size_t i;

  for (i = 0; i < size; i++)
    hash = (hash ^ (unsigned char)data[i]) * 1099511628211u;
  return hash;
}

static void
start_thread (void *(*run) (void *), void *state)
{
  pthread_t thread;
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 262144);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, state) != 0)
    fail ("thread");
  pthread_attr_destroy (&attributes);
}

static void
accept_forever (int listener, void *(*run) (void *))
{
  for (;;)
    {
      int connection = accept (listener, NULL, NULL);
      int on = 1;

      if (connection < 0)
        continue;
      setsockopt (connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      start_thread (run, create_reader (connection));
    }
}

/* The store.  */

enum
{
  ITEMS_MAX = 512,
  VALUE_BYTES = 65536
};

typedef struct
{
  char key[200];
  char *value; /* NULL: deleted */
  int64_t revision;
  int64_t lapses_ms; /* 0: never */
} item_t;

static item_t items[ITEMS_MAX];
static size_t item_count;
static int64_t revision = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static void
encode_base64 (const char *text, char *out)
{
  static const char letters[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t size = strlen (text);
  size_t i;

  for (i = 0; i < size; i += 3)
    {
      unsigned a = (unsigned char)text[i];
      unsigned b = i + 1 < size ? (unsigned char)text[i + 1] : 0;
      unsigned c = i + 2 < size ? (unsigned char)text[i + 2] : 0;

      *out++ = letters[a >> 2];
      *out++ = letters[(a & 3) << 4 | b >> 4];
      *out++ = i + 1 < size ? letters[(b & 15) << 2 | c >> 6] : '=';
      *out++ = i + 2 < size ? letters[c & 63] : '=';
    }
  *out = '\0';
}

static size_t
print_item (const item_t *item, char *out)
{
  size_t size;

  if (item->value == NULL)
    return (size_t)sprintf (out,
                            "{\"key\":\"%s\",\"revision\":%lld,"
                            "\"deleted\":true}",
                            item->key, (long long)item->revision);
  size = (size_t)sprintf (out,
                          "{\"key\":\"%s\",\"revision\":%lld,\"created\":%lld,"
                          "\"lease\":0,\"value\":\"",
                          item->key, (long long)item->revision,
                          (long long)item->revision);
  encode_base64 (item->value, out + size);
  size += strlen (out + size);
  return size + (size_t)sprintf (out + size, "\"}");
}

static int
compare_items (const void *left, const void *right)
{
  return strcmp (((const item_t *)left)->key, ((const item_t *)right)->key);
}

static void
read_query (const char *target, const char *name, char *value,
            size_t value_bytes)
{
  const char *at = strstr (target, name);
  size_t size;

  value[0] = '\0';
  if (at == NULL)
    return;
  at += strlen (name);
  size = strcspn (at, "& ");
  if (size >= value_bytes)
    size = value_bytes - 1;
  memcpy (value, at, size);
  value[size] = '\0';
}

static bool
answer_store (int connection, const char *body, size_t size)
{
  return send_text (connection,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    size)
         && send_all (connection, body, size);
}

static void
put_item (const char *key, const char *value, int64_t ttl_ms)
{
  item_t *item = NULL;
  size_t i;

  for (i = 0; i < item_count; i++)
    if (strcmp (items[i].key, key) == 0)
      item = &items[i];
  if (item == NULL)
    {
      if (item_count == ITEMS_MAX)
        fail ("too many items");
      item = &items[item_count++];
      snprintf (item->key, sizeof item->key, "%s", key);
      qsort (items, item_count, sizeof items[0], compare_items);
      for (i = 0; i < item_count; i++)
        if (strcmp (items[i].key, key) == 0)
          item = &items[i];
    }
  item->lapses_ms = ttl_ms > 0 ? now_ms () + ttl_ms : 0;
  if (item->value != NULL && strcmp (item->value, value) == 0)
    return;
  free (item->value);
  item->value = strdup (value);
  item->revision = ++revision;
  pthread_cond_broadcast (&store_changed);
}

static bool
answer_range (int connection, const char *target)
{
  char prefix[200];
  char after[200];
  char *out = malloc (VALUE_BYTES * 32);
  size_t size = (size_t)sprintf (out, "{\"items\":[");
  bool first = true;
  bool sent;
  size_t i;

  read_query (target, "path_prefix=", prefix, sizeof prefix);
  read_query (target, "after=", after, sizeof after);
  pthread_mutex_lock (&store_lock);
  for (i = 0; i < item_count; i++)
    if (items[i].value != NULL
        && strncmp (items[i].key, prefix, strlen (prefix)) == 0
        && strcmp (items[i].key, after) > 0)
      {
        if (!first)
          out[size++] = ',';
        first = false;
        size += print_item (&items[i], out + size);
      }
  size += (size_t)sprintf (out + size, "],\"has_more\":false,\"as_of\":%lld}",
                           (long long)revision);
  pthread_mutex_unlock (&store_lock);
  sent = answer_store (connection, out, size);
  free (out);
  return sent;
}

static bool
answer_watch (int connection, const char *target)
{
  char prefix[200];
  char text[64];
  char *out = malloc (VALUE_BYTES * 32);
  size_t size;
  int64_t after;
  int64_t until_ms;
  bool first = true;
  bool sent;
  size_t i;

  read_query (target, "path_prefix=", prefix, sizeof prefix);
  read_query (target, "after=", text, sizeof text);
  after = strtoll (text, NULL, 10);
  read_query (target, "wait_ms=", text, sizeof text);
  until_ms = now_ms () + strtoll (text, NULL, 10);
  pthread_mutex_lock (&store_lock);
  for (;;)
    {
      struct timespec wait;

      size = (size_t)sprintf (out, "{\"events\":[");
      for (i = 0; i < item_count; i++)
        if (items[i].revision > after
            && strncmp (items[i].key, prefix, strlen (prefix)) == 0)
          {
            if (!first)
              out[size++] = ',';
            first = false;
            size += print_item (&items[i], out + size);
          }
      if (!first || now_ms () >= until_ms)
        break;
      clock_gettime (CLOCK_REALTIME, &wait);
      wait.tv_nsec += 20000000;
      wait.tv_sec += wait.tv_nsec / 1000000000;
      wait.tv_nsec %= 1000000000;
      pthread_cond_timedwait (&store_changed, &store_lock, &wait);
    }
  size += (size_t)sprintf (out + size, "],\"as_of\":%lld}",
                           (long long)revision);
  pthread_mutex_unlock (&store_lock);
  sent = answer_store (connection, out, size);
  free (out);
  return sent;
}

static bool
answer_put (reader_t *reader)
{
  char key[200];
  char ttl[32];

  read_query (reader->head, "key=", key, sizeof key);
  read_query (reader->head, "ttl_ms=", ttl, sizeof ttl);
  reader->body[reader->body_bytes] = '\0';
  pthread_mutex_lock (&store_lock);
  put_item (key, reader->body, strtoll (ttl, NULL, 10));
  pthread_mutex_unlock (&store_lock);
  return answer_store (reader->connection, "{}", 2);
}

static void *
serve_store (void *state)
{
  reader_t *reader = state;

  while (read_head (reader) && read_body (reader))
    {
      bool sent;

      if (strncmp (reader->head, "PUT ", 4) == 0)
        sent = answer_put (reader);
      else if (strncmp (reader->head, "GET /kv-watch", 13) == 0)
        sent = answer_watch (reader->connection, reader->head);
      else
        sent = answer_range (reader->connection, reader->head);
      if (!sent)
        break;
    }
  destroy_reader (reader);
  return NULL;
}

static void *
lapse_items (void *state)
{
  (void)state;
  for (;;)
    {
      size_t i;

      sleep_ms (50);
      pthread_mutex_lock (&store_lock);
      for (i = 0; i < item_count; i++)
        if (items[i].value != NULL && items[i].lapses_ms > 0
            && now_ms () >= items[i].lapses_ms)
          {
            free (items[i].value);
            items[i].value = NULL;
            items[i].revision = ++revision;
            pthread_cond_broadcast (&store_changed);
          }
      pthread_mutex_unlock (&store_lock);
    }
  return NULL;
}

static bool
put_to_store (const char *store, const char *key, const char *value,
              int64_t ttl_ms)
{
  int connection = connect_to (store);
  char answer[256];
  bool done = connection >= 0
              && send_text (connection,
                            "PUT /item?key=%s&ttl_ms=%lld HTTP/1.1\r\n"
                            "Host: store\r\nContent-Length: %zu\r\n\r\n%s",
                            key, (long long)ttl_ms, strlen (value), value)
              && recv (connection, answer, sizeof answer, 0) > 0;

  if (connection >= 0)
    close (connection);
  return done;
}

/* A server.  */

static const char *server_id;
static const char *server_address;
static const char *server_service;
static const char *server_zone;
static const char *server_store;
static int64_t server_work_ms;
static bool server_is_engine;
static bool server_keeps_runs;
static volatile sig_atomic_t server_drains;
static size_t server_answer_bytes;

static void
on_terminate (int number)
{
  (void)number;
  server_drains = 1;
}

static void *
send_heartbeats (void *state)
{
  char key[128];
  int64_t drains_since_ms = 0;
  int64_t due_ms = 0;

  (void)state;
  snprintf (key, sizeof key, "servers/%s", server_id);
  for (;;)
    {
      char value[512];

      if (server_drains && drains_since_ms == 0)
        {
          drains_since_ms = now_ms ();
          due_ms = 0;
          record ("draining %s", server_id);
        }
      if (drains_since_ms != 0 && now_ms () - drains_since_ms >= LINGER_MS)
        {
          record ("ended %s", server_id);
          _exit (0);
        }
      if (now_ms () >= due_ms)
        {
          due_ms = now_ms () + HEARTBEAT_MS;
          snprintf (value, sizeof value,
                    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                    "\"version\":\"v1\",\"slots\":24,\"state\":\"%s\","
                    "\"cold_left_ms\":0,\"seq\":1}",
                    server_service, server_address, server_zone,
                    server_drains ? "draining" : "ready");
          put_to_store (server_store, key, value, ROW_LAPSE_MS);
        }
      sleep_ms (20);
    }
  return NULL;
}

/* Runs of an engine, and copies of runs of other engines that it holds.  */

enum
{
  RUNS_MAX = 256,
  NAME_BYTES = 128
};

typedef struct
{
  char name[NAME_BYTES]; /* the request's id, or a handle; "": free */
  long events;           /* made so far */
  bool stopped;          /* by a move */
  int64_t lapses_ms;     /* of a copy */
} run_t;

static run_t runs[RUNS_MAX];
static run_t copies[RUNS_MAX];
static pthread_mutex_t run_lock = PTHREAD_MUTEX_INITIALIZER;

/* Call with run_lock.  */
static run_t *
find_run (run_t *table, const char *name, bool add)
{
  run_t *free_row = NULL;
  size_t i;

  for (i = 0; i < RUNS_MAX; i++)
    {
      if (strcmp (table[i].name, name) == 0)
        return &table[i];
      if (table[i].name[0] == '\0'
          || (table == copies && now_ms () >= table[i].lapses_ms))
        free_row = &table[i];
    }
  if (!add || free_row == NULL)
    return NULL;
  memset (free_row, 0, sizeof *free_row);
  snprintf (free_row->name, NAME_BYTES, "%s", name);
  return free_row;
}

/* Sends the memory of a run, as far as it has grown, to another engine.  */
static bool
send_copy (const char *to, const char *name, long events)
{
  char key[NAME_BYTES + 32];
  char value[32];

  snprintf (key, sizeof key, "copy/%s", name);
  snprintf (value, sizeof value, "%ld", events);
  return put_to_store (to, key, value, 0);
}

static bool
take_copy (reader_t *reader)
{
  char key[NAME_BYTES + 32];
  run_t *copy;

  read_query (reader->head, "key=copy/", key, sizeof key);
  reader->body[reader->body_bytes] = '\0';
  pthread_mutex_lock (&run_lock);
  copy = find_run (copies, key, true);
  if (copy != NULL)
    {
      copy->events = strtol (reader->body, NULL, 10);
      copy->lapses_ms = now_ms () + 5000;
    }
  pthread_mutex_unlock (&run_lock);
  return answer_store (reader->connection, "{}", 2);
}

/* Copies a run to another engine; with "last" the run stops first.  */
static bool
move_run (reader_t *reader)
{
  char id[NAME_BYTES] = "";
  char target[64] = "";
  char answer[512];
  char handle[NAME_BYTES + 8];
  const char *at;
  bool last;
  long events = -1;
  run_t *run;

  reader->body[reader->body_bytes] = '\0';
  at = strstr (reader->body, "\"id\":\"");
  if (at != NULL)
    sscanf (at + 6, "%127[^\"]", id);
  at = strstr (reader->body, "\"target\":\"");
  if (at != NULL)
    sscanf (at + 10, "%63[^\"]", target);
  last = strstr (reader->body, "\"last\":true") != NULL;
  pthread_mutex_lock (&run_lock);
  run = find_run (runs, id, false);
  if (run != NULL)
    {
      run->stopped = run->stopped || last;
      events = run->events;
    }
  pthread_mutex_unlock (&run_lock);
  if (events < 0)
    return send_text (reader->connection,
                      "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  snprintf (handle, sizeof handle, "h-%s", id);
  record ("move %s at %s to %s%s", id, server_id, target,
          last ? ", the run stops" : "");
  if (!send_copy (target, handle, events))
    return send_text (reader->connection,
                      "HTTP/1.1 503 Unreachable\r\nContent-Length: 0\r\n\r\n");
  snprintf (answer, sizeof answer, "{\"handle\":\"%s\",\"created\":%ld}",
            handle, events);
  return answer_store (reader->connection, answer, strlen (answer));
}

/* Where a run begins: behind the last event that the client has, if a copy is
   at hand.  Negative: there is no such copy.  */
static long
find_start (const reader_t *reader)
{
  char from[256];
  char last[32] = "0";
  const char *name;
  bool known;

  if (find_field (reader, "Kv-From", from, sizeof from) == NULL)
    return 0;
  find_field (reader, "Last-Event-Id", last, sizeof last);
  name = strchr (from, '/');
  pthread_mutex_lock (&run_lock);
  known = name != NULL && find_run (copies, name + 1, false) != NULL;
  pthread_mutex_unlock (&run_lock);
  return known ? strtol (last, NULL, 10) : -1;
}

/* Makes the events of a run, four tokens each, and sends them.  Returns
   whether the connection can be used again.  */
static bool
make_events (reader_t *reader, const char *id, run_t *run, long events)
{
  char backup[64] = "";
  int64_t copied_ms = now_ms ();
  bool open = true;
  bool stopped = false;

  find_field (reader, "X-Kv-Backup", backup, sizeof backup);
  while (run->events < events && !stopped)
    {
      char event[256];
      int size;

      sleep_ms (EVENT_MS);
      pthread_mutex_lock (&run_lock);
      stopped = run->stopped;
      if (!stopped)
        run->events++;
      pthread_mutex_unlock (&run_lock);
      if (stopped)
        break;
      size = snprintf (event, sizeof event, "id: %ld\ndata: %s\n\n",
                       run->events, id);
      if (open
          && !send_text (reader->connection, "%x\r\n%s\r\n", (unsigned)size,
                         event))
        {
          open = false;
          record ("connection of %s at %s closed, event %ld, the run %s", id,
                  server_id, run->events,
                  server_keeps_runs ? "goes on" : "is dropped");
          if (!server_keeps_runs)
            break;
        }
      if (backup[0] != '\0' && now_ms () - copied_ms >= COPY_MS)
        {
          copied_ms = now_ms ();
          send_copy (backup, id, run->events);
        }
    }
  record ("end %s at %s after event %ld%s", id, server_id, run->events,
          run->events == events ? ", the last" : "");
  if (stopped)
    {
      shutdown (reader->connection, SHUT_RDWR);
      return false;
    }
  return open && send_text (reader->connection, "0\r\n\r\n");
}

static bool
send_events (reader_t *reader, const char *id)
{
  char usage[64] = "0,0";
  const char *output;
  long events;
  long start = find_start (reader);
  run_t *run;
  bool usable;

  find_field (reader, "X-Token-Usage", usage, sizeof usage);
  output = strchr (usage, ',');
  events = output == NULL ? 1 : strtol (output + 1, NULL, 10) / EVENT_TOKENS;
  pthread_mutex_lock (&run_lock);
  run = start < 0 ? NULL : find_run (runs, id, true);
  if (run != NULL)
    {
      run->events = start;
      run->stopped = false;
    }
  pthread_mutex_unlock (&run_lock);
  if (run == NULL)
    return send_text (reader->connection,
                      "HTTP/1.1 503 No Copy\r\nX-Attempt-Id: %s\r\n"
                      "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                      id);
  if (start > 0)
    record ("goes-on %s at %s behind event %ld", id, server_id, start);
  usable = send_text (reader->connection,
                      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                      "X-Engine-Signature: sig.%s\r\n"
                      "Keep-Alive: timeout=%d\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n",
                      id, id, KEEP_ALIVE_S)
           && make_events (reader, id, run, events);
  pthread_mutex_lock (&run_lock);
  run->name[0] = '\0';
  pthread_mutex_unlock (&run_lock);
  return usable;
}

static char *make_body (const char *id, size_t size);

static bool
send_page (reader_t *reader, const char *id)
{
  const char *at = strstr (reader->head, "?bytes=");
  size_t size = at == NULL ? server_answer_bytes
                           : strtoul (at + strlen ("?bytes="), NULL, 10);
  char *body = make_body (id, size);
  bool sent = send_text (reader->connection,
                         "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                         "X-Engine-Signature: sig.%s\r\n"
                         "Keep-Alive: timeout=%d\r\n"
                         "Content-Length: %zu\r\n\r\n",
                         id, id, KEEP_ALIVE_S, size)
              && send_all (reader->connection, body, size);

  record ("answer to %s %s at %s", id,
          sent ? "sent whole" : "couldn't be sent", server_id);
  free (body);
  return sent;
}

/* Runs a request whose body has come whole.  */
static bool
run_request (reader_t *reader, const char *id)
{
  char method[16] = "";
  char target[512] = "";

  sscanf (reader->head, "%15s %511s", method, target);
  record ("run %s at %s %s %s body %zu %016llx", id, server_id, method, target,
          reader->body_bytes,
          (unsigned long long)hash_bytes (reader->body, reader->body_bytes));
  sleep_ms (server_work_ms);
  if (server_is_engine)
    return send_events (reader, id);
  if (server_answer_bytes > 0)
    return send_page (reader, id);
  return send_text (reader->connection,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                    "X-Engine-Signature: sig.%s\r\n"
                    "Keep-Alive: timeout=%d\r\n"
                    "Content-Length: %zu\r\n\r\nanswer to %s\n",
                    id, id, KEEP_ALIVE_S, strlen (id) + 11, id);
}

static void *
serve_requests (void *state)
{
  reader_t *reader = state;

  while (read_head (reader))
    {
      char id[128] = "";
      char expected[128] = "";
      bool is_get = strncmp (reader->head, "GET ", 4) == 0;
      char method[16];
      char target[512];
      char version;
      bool sent;

      find_field (reader, "X-Attempt-Id", id, sizeof id);
      find_field (reader, "X-Expect-Instance", expected, sizeof expected);
      if (sscanf (reader->head, "%15[A-Z] %511s HTTP/1.%c", method, target,
                  &version)
          != 3)
        {
          record ("malformed %s at %s begins with '%.24s'", id, server_id,
                  reader->head);
          send_text (reader->connection,
                     "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
                     "Content-Length: 0\r\n\r\n");
          break;
        }
      if (!read_body (reader))
        {
          record ("broken-off %s at %s after %zu bytes of its body", id,
                  server_id, reader->body_bytes);
          break;
        }
      if (is_get && strncmp (reader->head, "GET /report ", 12) == 0)
        {
          const char *report = server_drains ? "{\"state\":\"draining\"}"
                                             : "{\"state\":\"ready\"}";

          sent = answer_store (reader->connection, report, strlen (report));
        }
      else if (is_get && strncmp (reader->head, "GET /healthz ", 13) == 0)
        sent
            = send_text (reader->connection,
                         "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\n"
                         "Content-Length: 0\r\n\r\n",
                         server_drains ? "503 Draining" : "200 OK", server_id);
      else if (strncmp (reader->head, "POST /kv-move ", 14) == 0)
        sent = move_run (reader);
      else if (strncmp (reader->head, "PUT /item?key=copy/", 19) == 0)
        sent = take_copy (reader);
      else if (strcmp (expected, server_id) != 0)
        sent = send_text (reader->connection,
                          "HTTP/1.1 421 Misdirected Request\r\n"
                          "X-Attempt-Id: %s\r\nX-Instance-Id: %s\r\n"
                          "Content-Length: 0\r\n\r\n",
                          id, server_id);
      else
        sent = run_request (reader, id);
      if (!sent)
        break;
    }
  destroy_reader (reader);
  return NULL;
}

/* A client.  */

typedef struct
{
  char id[64];
  const char *gateway;
  const char *path;
  size_t body_bytes;
  bool chunked;
  int64_t deadline_ms;
  char **headers;
  int header_count;
  size_t bytes_per_ms; /* of a download */
} attempt_t;

static int open_attempts;
static pthread_mutex_t client_lock = PTHREAD_MUTEX_INITIALIZER;

static char *
make_body (const char *id, size_t size)
{
  char *body = malloc (size + 1);
  size_t i;

  for (i = 0; i < size; i += 16)
    {
      char block[32];

      snprintf (block, sizeof block, "%8.8s%8zu", id + strlen (id) - 4, i);
      memcpy (body + i, block, size - i < 16 ? size - i : 16);
    }
  return body;
}

static bool
send_body (int connection, const attempt_t *attempt, const char *body)
{
  size_t at;

  if (!attempt->chunked)
    return send_all (connection, body, attempt->body_bytes);
  for (at = 0; at < attempt->body_bytes; at += PIECE_BYTES)
    {
      size_t size = attempt->body_bytes - at < PIECE_BYTES
                        ? attempt->body_bytes - at
                        : PIECE_BYTES;

      if (!send_text (connection, "%zx\r\n", size)
          || !send_all (connection, body + at, size)
          || !send_all (connection, "\r\n", 2))
        return false;
    }
  return send_all (connection, "0\r\n\r\n", 5);
}

static void
send_attempt (const attempt_t *attempt, reader_t *reader, const char *body)
{
  char extra[4096] = "";
  char signature[128] = "none";
  struct timeval patience = { .tv_sec = attempt->deadline_ms / 1000 + 2 };
  bool sent;
  int i;

  for (i = 0; i < attempt->header_count; i++)
    snprintf (extra + strlen (extra), sizeof extra - strlen (extra), "%s\r\n",
              attempt->headers[i]);
  setsockopt (reader->connection, SOL_SOCKET, SO_RCVTIMEO, &patience,
              sizeof patience);
  record ("sent %s %s body %zu %016llx", attempt->id, attempt->path,
          attempt->body_bytes,
          (unsigned long long)hash_bytes (body, attempt->body_bytes));
  sent = send_text (reader->connection,
                    "POST %s HTTP/1.1\r\nHost: h.example\r\n"
                    "X-Attempt-Id: %s\r\nX-Deadline-Ms: %lld\r\n%s",
                    attempt->path, attempt->id,
                    (long long)attempt->deadline_ms, extra);
  if (attempt->chunked)
    sent = sent
           && send_text (reader->connection,
                         "Transfer-Encoding: chunked\r\n\r\n");
  else
    sent = sent
           && send_text (reader->connection, "Content-Length: %zu\r\n\r\n",
                         attempt->body_bytes);
  sent = sent && send_body (reader->connection, attempt, body);
  if (read_head (reader))
    {
      bool whole = read_body (reader);

      find_field (reader, "X-Engine-Signature", signature, sizeof signature);
      record ("answered %s status %.3s signature %s body %zu %s", attempt->id,
              reader->head + 9, signature, reader->body_bytes,
              whole ? "whole" : "broken-off");
    }
  else
    record ("unanswered %s %s", attempt->id,
            sent ? "closed or out of time" : "closed while it was sent");
}

/* Reads an answer slowly, as a client behind a narrow link does.  */
static void
download (const attempt_t *attempt, reader_t *reader)
{
  int64_t began_ms = now_ms ();
  int i;

  record ("sent %s %s", attempt->id, attempt->path);
  send_text (reader->connection,
             "GET %s HTTP/1.1\r\nHost: h.example\r\n"
             "X-Attempt-Id: %s\r\nX-Deadline-Ms: %lld\r\n",
             attempt->path, attempt->id, (long long)attempt->deadline_ms);
  for (i = 0; i < attempt->header_count; i++)
    send_text (reader->connection, "%s\r\n", attempt->headers[i]);
  send_text (reader->connection, "\r\n");
  if (!read_head (reader))
    {
      record ("unanswered %s", attempt->id);
      return;
    }
  reader->bytes_per_ms = attempt->bytes_per_ms;
  reader->began_ms = began_ms;
  read_body (reader);
  record ("answered %s status %.3s body %zu %s after %lld ms", attempt->id,
          reader->head + 9, reader->body_bytes,
          reader->whole ? "whole" : "broken-off",
          (long long)(now_ms () - began_ms));
}

static void *
run_attempt (void *state)
{
  attempt_t *attempt = state;
  int connection = connect_to (attempt->gateway);
  char *body = make_body (attempt->id, attempt->body_bytes);

  if (connection < 0)
    record ("unanswered %s no connection", attempt->id);
  else
    {
      reader_t *reader = create_reader (connection);

      if (attempt->bytes_per_ms > 0)
        download (attempt, reader);
      else
        send_attempt (attempt, reader, body);
      destroy_reader (reader);
    }
  free (body);
  free (attempt);
  pthread_mutex_lock (&client_lock);
  open_attempts--;
  pthread_mutex_unlock (&client_lock);
  return NULL;
}

static bool
has_open_attempts (void)
{
  bool any;

  pthread_mutex_lock (&client_lock);
  any = open_attempts > 0;
  pthread_mutex_unlock (&client_lock);
  return any;
}

static void
run_client (char **arguments, int count, bool downloads)
{
  long attempts = strtol (arguments[3], NULL, 10);
  int64_t gap_ms = strtoll (arguments[4], NULL, 10);
  long i;

  open_record (arguments[1]);
  narrow_link = downloads;
  for (i = 0; i < attempts; i++)
    {
      attempt_t *attempt = calloc (1, sizeof *attempt);

      snprintf (attempt->id, sizeof attempt->id, "%s-%04ld", arguments[2], i);
      attempt->gateway = arguments[0];
      attempt->path = arguments[5];
      if (downloads)
        attempt->bytes_per_ms = strtoul (arguments[6], NULL, 10);
      else
        {
          attempt->body_bytes = strtoul (arguments[6], NULL, 10);
          attempt->chunked = strcmp (arguments[7], "chunks") == 0;
        }
      attempt->deadline_ms = strtoll (arguments[8 - downloads], NULL, 10);
      attempt->headers = arguments + 9 - downloads;
      attempt->header_count = count - 9 + downloads;
      pthread_mutex_lock (&client_lock);
      open_attempts++;
      pthread_mutex_unlock (&client_lock);
      start_thread (run_attempt, attempt);
      sleep_ms (gap_ms);
    }
  while (has_open_attempts ())
    sleep_ms (20);
}

static void
print_free_ports (int count)
{
  int sockets[64];
  int i;

  for (i = 0; i < count && i < 64; i++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      socklen_t size = sizeof address;

      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      sockets[i] = socket (AF_INET, SOCK_STREAM, 0);
      if (bind (sockets[i], (struct sockaddr *)&address, sizeof address) != 0
          || getsockname (sockets[i], (struct sockaddr *)&address, &size) != 0)
        fail ("port");
      printf ("%u ", ntohs (address.sin_port));
    }
  printf ("\n");
}

int
main (int argc, char **argv)
{
  const char *role = argc > 1 ? argv[1] : "";

  signal (SIGPIPE, SIG_IGN);
  if (strcmp (role, "ports") == 0 && argc == 3)
    print_free_ports (atoi (argv[2]));
  else if (strcmp (role, "store") == 0 && argc == 3)
    {
      start_thread (lapse_items, NULL);
      accept_forever (listen_at (argv[2]), serve_store);
    }
  else if (strcmp (role, "put") == 0 && argc == 5)
    return put_to_store (argv[2], argv[3], argv[4], 0) ? 0 : 2;
  else if (strcmp (role, "server") == 0 && (argc == 9 || argc == 10))
    {
      int listener = listen_at (argv[3]);

      server_id = argv[2];
      server_address = argv[3];
      server_service = argv[4];
      server_zone = argv[5];
      server_store = argv[6];
      open_record (argv[7]);
      server_work_ms = strtoll (argv[8], NULL, 10);
      server_keeps_runs
          = argc == 10 && strcmp (argv[9], "keeping-engine") == 0;
      server_is_engine = server_keeps_runs
                         || (argc == 10 && strcmp (argv[9], "engine") == 0);
      signal (SIGTERM, on_terminate);
      if (argc == 10 && !server_is_engine)
        server_answer_bytes = strtoul (argv[9], NULL, 10);
      start_thread (send_heartbeats, NULL);
      accept_forever (listener, serve_requests);
    }
  else if (strcmp (role, "client") == 0 && argc >= 11)
    run_client (argv + 2, argc - 2, false);
  else if (strcmp (role, "download") == 0 && argc >= 10)
    run_client (argv + 2, argc - 2, true);
  else
    {
      fprintf (stderr, "see the top of standin.c\n");
      return 2;
    }
  return 0;
}
