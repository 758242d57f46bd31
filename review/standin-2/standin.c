#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  GATEWAYS_MAX = 8,
  ITEMS_MAX = 4096,
  BACKLOG = 256,
  STACK_BYTES = 1 << 20,
  CONNECT_TIMEOUT_MS = 2000,
  EXIT_CANNOT_RUN = 2
};

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static gateway_t *gateways[GATEWAYS_MAX];
static size_t gateway_count;

static int64_t
read_clock_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
now_ms (void)
{
  static int64_t began_ms;

  if (began_ms == 0)
    began_ms = read_clock_ms ();
  return read_clock_ms () - began_ms;
}

void
sleep_ms (int64_t time_ms)
{
  struct timespec left = { time_ms / 1000, (time_ms % 1000) * 1000000 };

  if (time_ms <= 0)
    return;
  while (nanosleep (&left, &left) != 0 && errno == EINTR)
    continue;
}

void
sleep_until_ms (int64_t at_ms)
{
  sleep_ms (at_ms - now_ms ());
}

void
open_record (const char *path)
{
  signal (SIGPIPE, SIG_IGN);
  now_ms ();
  record_file = fopen (path, "w");
  if (record_file == NULL)
    give_up ("the record can't be written");
}

void
record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%7.3f ", (double)now_ms () / 1000);
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

bool
has_trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return text == NULL || strcmp (text, "0") != 0;
}

void
give_up (const char *what)
{
  fprintf (stderr, "the case can't run: %s\n", what);
  stop_all_gateways ();
  _exit (EXIT_CANNOT_RUN);
}

static void
start_thread (void *(*run) (void *), void *state)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, state) != 0)
    give_up ("no thread can be had");
  pthread_attr_destroy (&attributes);
}

/* HTTP.  */

static bool
read_more (reader_t *reader)
{
  ssize_t size_bytes;

  if (reader->size_bytes == sizeof reader->buffer - 1)
    return false;
  size_bytes = read (reader->fd, reader->buffer + reader->size_bytes,
                     sizeof reader->buffer - 1 - reader->size_bytes);
  if (size_bytes <= 0)
    return false;
  reader->size_bytes += (size_t)size_bytes;
  reader->buffer[reader->size_bytes] = '\0';
  return true;
}

static void
drop_bytes (reader_t *reader, size_t count)
{
  reader->size_bytes -= count;
  memmove (reader->buffer, reader->buffer + count, reader->size_bytes);
  reader->buffer[reader->size_bytes] = '\0';
}

/* The size of the head in the buffer; 0 at the end of the connection.  */
static size_t
read_head (reader_t *reader)
{
  const char *end;

  reader->buffer[reader->size_bytes] = '\0';
  while ((end = strstr (reader->buffer, "\r\n\r\n")) == NULL)
    if (!read_more (reader))
      return 0;
  return (size_t)(end - reader->buffer) + 4;
}

const char *
find_header (const char *head, const char *name, char *value,
             size_t value_bytes)
{
  size_t name_bytes = strlen (name);
  const char *line = strstr (head, "\r\n");

  value[0] = '\0';
  for (; line != NULL; line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, name_bytes) == 0
          && line[name_bytes] == ':')
        {
          const char *at = line + name_bytes + 1;
          size_t size_bytes;

          while (*at == ' ')
            at++;
          size_bytes = strcspn (at, "\r\n");
          if (size_bytes >= value_bytes)
            size_bytes = value_bytes - 1;
          memcpy (value, at, size_bytes);
          value[size_bytes] = '\0';
          return value;
        }
    }
  return value;
}

bool
read_request (reader_t *reader, request_t *request)
{
  char length[32];
  size_t head_bytes = read_head (reader);

  if (head_bytes == 0 || head_bytes >= sizeof request->head)
    return false;
  memcpy (request->head, reader->buffer, head_bytes);
  request->head[head_bytes] = '\0';
  if (sscanf (request->head, "%15s %511s", request->method, request->path)
      != 2)
    return false;
  request->body_bytes = strtoul (
      find_header (request->head, "Content-Length", length, sizeof length),
      NULL, 10);
  if (request->body_bytes >= sizeof request->body)
    return false;
  while (reader->size_bytes < head_bytes + request->body_bytes)
    if (!read_more (reader))
      return false;
  memcpy (request->body, reader->buffer + head_bytes, request->body_bytes);
  request->body[request->body_bytes] = '\0';
  drop_bytes (reader, head_bytes + request->body_bytes);
  return true;
}

static bool
send_bytes (int fd, const char *data, size_t size_bytes)
{
  while (size_bytes > 0)
    {
      ssize_t sent = send (fd, data, size_bytes, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      data += sent;
      size_bytes -= (size_t)sent;
    }
  return true;
}

bool
send_text (int fd, const char *format, ...)
{
  static const size_t capacity = HEAD_BYTES + BODY_BYTES;
  char *text = malloc (capacity);
  va_list arguments;
  int size_bytes;
  bool sent;

  va_start (arguments, format);
  size_bytes = vsnprintf (text, capacity, format, arguments);
  va_end (arguments);
  sent = size_bytes >= 0 && (size_t)size_bytes < capacity
         && send_bytes (fd, text, (size_t)size_bytes);
  free (text);
  return sent;
}

void
reset_connection (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  shutdown (fd, SHUT_RD);
}

static struct sockaddr_in
make_address (const char *ip, uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_port = htons (port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

typedef struct
{
  listener_t listener;
  int fd;
} connection_t;

static void *
serve_connection (void *state)
{
  connection_t *connection = state;
  int one = 1;

  setsockopt (connection->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  connection->listener.handle (connection->listener.state, connection->fd);
  close (connection->fd);
  free (connection);
  return NULL;
}

static void *
accept_connections (void *state)
{
  listener_t listener = *(listener_t *)state;
  int fd;

  free (state);
  while ((fd = accept (listener.fd, NULL, NULL)) >= 0 || errno == EINTR
         || errno == ECONNABORTED)
    {
      connection_t *connection = malloc (sizeof *connection);

      if (fd < 0)
        {
          free (connection);
          continue;
        }
      connection->listener = listener;
      connection->fd = fd;
      start_thread (serve_connection, connection);
    }
  close (listener.fd);
  return NULL;
}

void
start_listener (listener_t *listener, const char *ip, uint16_t port,
                void (*handle) (void *state, int fd), void *state)
{
  struct sockaddr_in address = make_address (ip, port);
  socklen_t size_bytes = sizeof address;
  listener_t *copy = malloc (sizeof *copy);
  int one = 1;

  listener->handle = handle;
  listener->state = state;
  snprintf (listener->ip, sizeof listener->ip, "%s", ip);
  listener->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (listener->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (listener->fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener->fd, BACKLOG) != 0)
    give_up ("a port is taken");
  getsockname (listener->fd, (struct sockaddr *)&address, &size_bytes);
  listener->port = ntohs (address.sin_port);
  *copy = *listener;
  start_thread (accept_connections, copy);
}

void
stop_listener (listener_t *listener)
{
  shutdown (listener->fd, SHUT_RDWR);
}

uint16_t
find_free_port (const char *ip)
{
  struct sockaddr_in address = make_address (ip, 0);
  socklen_t size_bytes = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int datagrams = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  uint16_t port;

  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0)
    give_up ("no port is free");
  getsockname (fd, (struct sockaddr *)&address, &size_bytes);
  port = ntohs (address.sin_port);
  if (bind (datagrams, (struct sockaddr *)&address, sizeof address) != 0)
    port = 0;
  close (fd);
  close (datagrams);
  return port != 0 ? port : find_free_port (ip);
}

/* The store.  */

typedef struct
{
  char *key;
  char *value; /* in base64; NULL: deleted */
  int64_t revision;
} item_t;

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  item_t items[ITEMS_MAX];
  size_t count;
  int64_t revision;
  bool busy;
  listener_t listener;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
            .changed = PTHREAD_COND_INITIALIZER,
            .revision = 100 };

static char *
encode_base64 (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t size_bytes = strlen (text);
  char *encoded = malloc (size_bytes / 3 * 4 + 8);
  char *to = encoded;
  size_t i;

  for (i = 0; i < size_bytes; i += 3)
    {
      unsigned bits = (unsigned char)text[i] << 16;
      size_t left = size_bytes - i;

      if (left > 1)
        bits |= (unsigned char)text[i + 1] << 8;
      if (left > 2)
        bits |= (unsigned char)text[i + 2];
      *to++ = digits[bits >> 18 & 63];
      *to++ = digits[bits >> 12 & 63];
      *to++ = left > 1 ? digits[bits >> 6 & 63] : '=';
      *to++ = left > 2 ? digits[bits & 63] : '=';
    }
  *to = '\0';
  return encoded;
}

static void
change_item (const char *key, const char *value)
{
  size_t i = 0;

  pthread_mutex_lock (&store.lock);
  while (i < store.count && strcmp (store.items[i].key, key) != 0)
    i++;
  if (i == ITEMS_MAX)
    give_up ("the store is full");
  if (i == store.count)
    {
      store.items[i].key = strdup (key);
      store.count++;
    }
  free (store.items[i].value);
  store.items[i].value = value == NULL ? NULL : encode_base64 (value);
  store.items[i].revision = ++store.revision;
  pthread_cond_broadcast (&store.changed);
  pthread_mutex_unlock (&store.lock);
}

void
put_item (const char *key, const char *value)
{
  change_item (key, value);
}

void
delete_item (const char *key)
{
  change_item (key, NULL);
}

void
set_store_busy (bool busy)
{
  pthread_mutex_lock (&store.lock);
  store.busy = busy;
  pthread_mutex_unlock (&store.lock);
}

static int64_t
read_query (const char *path, const char *name, int64_t missing)
{
  const char *at = strstr (path, name);

  return at == NULL ? missing : strtoll (at + strlen (name), NULL, 10);
}

static void
print_item (char *text, size_t capacity, const item_t *item)
{
  size_t used = strlen (text);
  const char *comma = text[used - 1] == '[' ? "" : ",";

  if (item->value == NULL)
    snprintf (text + used, capacity - used,
              "%s{\"key\":\"%s\",\"revision\":%lld,\"deleted\":true}", comma,
              item->key, (long long)item->revision);
  else
    snprintf (text + used, capacity - used,
              "%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lld,"
              "\"created\":%lld,\"lease\":0}",
              comma, item->key, item->value, (long long)item->revision,
              (long long)item->revision);
}

/* Waits for a change after a revision.  */
static void
await_change (int64_t after, int64_t wait_ms)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_nsec += (wait_ms % 1000) * 1000000;
  until.tv_sec += wait_ms / 1000 + until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  while (store.revision <= after
         && pthread_cond_timedwait (&store.changed, &store.lock, &until) == 0)
    continue;
}

static void
serve_store (void *state, int fd)
{
  reader_t *reader = calloc (1, sizeof *reader);
  request_t *request = calloc (1, sizeof *request);
  size_t capacity = BODY_BYTES;
  char *text = malloc (capacity);

  reader->fd = fd;
  while (read_request (reader, request))
    {
      int *calls = state;
      bool is_watch = strncmp (request->path, "/kv-watch", 9) == 0;
      int64_t after = is_watch ? read_query (request->path, "after=", 0) : 0;
      bool busy;
      size_t i;

      pthread_mutex_lock (&store.lock);
      if (calls != NULL)
        ++*calls;
      if (is_watch && !store.busy)
        await_change (after, read_query (request->path, "wait_ms=", 0));
      snprintf (text, capacity, "{\"%s\":[", is_watch ? "events" : "items");
      for (i = 0; i < store.count; i++)
        if (is_watch ? store.items[i].revision > after
                     : store.items[i].value != NULL)
          print_item (text, capacity, &store.items[i]);
      snprintf (text + strlen (text), capacity - strlen (text),
                "]%s,\"as_of\":%lld}", is_watch ? "" : ",\"has_more\":false",
                (long long)store.revision);
      busy = store.busy;
      pthread_mutex_unlock (&store.lock);
      if (busy)
        {
          if (!send_text (fd, "HTTP/1.1 503 Service Unavailable\r\n"
                              "Content-Length: 2\r\n\r\n{}"))
            break;
          continue;
        }
      if (!send_text (fd,
                      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      "Content-Length: %zu\r\n\r\n%s",
                      strlen (text), text))
        break;
    }
  free (text);
  free (request);
  free (reader);
}

void
start_store (void)
{
  start_listener (&store.listener, "127.0.0.1", 0, serve_store, NULL);
}

uint16_t
add_store_address (int *calls)
{
  listener_t listener;

  start_listener (&listener, "127.0.0.1", 0, serve_store, calls);
  return listener.port;
}

uint16_t
store_port (void)
{
  return store.listener.port;
}

/* Clients.  */

static int
connect_to (const char *ip, uint16_t port)
{
  struct sockaddr_in address = make_address (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

void
close_client (client_t *client)
{
  if (client->reader.fd > 0)
    close (client->reader.fd);
  client->reader.fd = 0;
  client->reader.size_bytes = 0;
  client->answered = 0;
}

bool
send_client_request (client_t *client, const char *text)
{
  if (client->reader.fd <= 0)
    {
      client->reader.fd = connect_to (client->ip, client->port);
      client->reader.size_bytes = 0;
      client->answered = 0;
    }
  if (client->reader.fd < 0)
    {
      client->reader.fd = 0;
      return false;
    }
  return send_bytes (client->reader.fd, text, strlen (text));
}

static void
keep_body (answer_t *answer, const char *data, size_t size_bytes)
{
  size_t room = sizeof answer->body - 1 - answer->body_bytes;

  if (size_bytes > room)
    size_bytes = room;
  memcpy (answer->body + answer->body_bytes, data, size_bytes);
  answer->body_bytes += size_bytes;
  answer->body[answer->body_bytes] = '\0';
}

/* False if the body breaks off.  */
static bool
read_chunks (reader_t *reader, answer_t *answer)
{
  for (;;)
    {
      char *end;
      size_t size_bytes;

      while ((end = strstr (reader->buffer, "\r\n")) == NULL)
        if (!read_more (reader))
          return false;
      size_bytes = strtoul (reader->buffer, NULL, 16);
      drop_bytes (reader, (size_t)(end - reader->buffer) + 2);
      while (reader->size_bytes < size_bytes + 2)
        if (!read_more (reader))
          return false;
      keep_body (answer, reader->buffer, size_bytes);
      drop_bytes (reader, size_bytes + 2);
      if (size_bytes == 0)
        return true;
    }
}

static bool
read_body (reader_t *reader, answer_t *answer)
{
  char value[64];
  size_t size_bytes;

  if (strcasecmp (find_header (answer->head, "Transfer-Encoding", value,
                               sizeof value),
                  "chunked")
      == 0)
    return read_chunks (reader, answer);
  size_bytes = strtoul (
      find_header (answer->head, "Content-Length", value, sizeof value), NULL,
      10);
  while (reader->size_bytes < size_bytes)
    if (!read_more (reader))
      return false;
  keep_body (answer, reader->buffer, size_bytes);
  drop_bytes (reader, size_bytes);
  return true;
}

void
read_answer (client_t *client, answer_t *answer)
{
  reader_t *reader = &client->reader;
  char value[32];
  size_t head_bytes;

  answer->status = 0;
  answer->cut = false;
  answer->body_bytes = 0;
  answer->body[0] = '\0';
  answer->head[0] = '\0';
  head_bytes = read_head (reader);
  if (head_bytes == 0 || head_bytes >= sizeof answer->head)
    {
      close_client (client);
      return;
    }
  memcpy (answer->head, reader->buffer, head_bytes);
  answer->head[head_bytes] = '\0';
  drop_bytes (reader, head_bytes);
  if (!read_body (reader, answer))
    {
      answer->cut = true;
      close_client (client);
      return;
    }
  answer->status = atoi (answer->head + strlen ("HTTP/1.1 "));
  answer->closes
      = strcasecmp (
            find_header (answer->head, "Connection", value, sizeof value),
            "close")
        == 0;
  client->answered++;
  if (answer->closes)
    close_client (client);
}

/* Gateways.  */

static const char settings_text[]
    = "{\n"
      "  \"host\": \"%s\",\n"
      "  \"data_centre\": \"%s\",\n"
      "  \"callers\": \"%s:%u\",\n"
      "  \"readiness\": \"%s:%u\",\n"
      "  \"metrics\": \"%s:%u\",\n"
      "  \"peers\": \"%s:%u\",\n"
      "  \"relay\": \"%s:%u\",\n"
      "%s"
      "  \"seeds\": [\"%s:%u\"],\n"
      "  \"store\": \"127.0.0.1:%u\",\n"
      "  \"cores\": 1,\n"
      "  \"core_share\": 0.25,\n"
      "  \"link_mbps\": 1000.0,\n"
      "  \"stop_limit_s\": 8,\n"
      "  \"retry_share\": 0.2,\n"
      "  \"retry_extra\": %u,\n"
      "  \"leave_limit_ms\": 2000,\n"
      "  \"retry_window_s\": 10\n"
      "}\n";

static void
write_settings (const gateway_t *gateway, const char *path,
                uint32_t retry_extra)
{
  const char *ip = gateway->ip;
  const gateway_t *seed = gateway_count == 0 ? gateway : gateways[0];
  FILE *file = fopen (path, "w");
  char source[64] = "";

  if (gateway->has_source)
    snprintf (source, sizeof source, "  \"source\": \"%s:0\",\n", ip);
  if (file == NULL)
    give_up ("the settings can't be written");
  fprintf (file, settings_text, gateway->name, gateway->zone, ip,
           gateway->callers, ip, gateway->readiness, ip, gateway->metrics,
           ip, gateway->peers, ip, find_free_port (ip), source, seed->ip,
           seed->peers,
           gateway->store != 0 ? gateway->store : store_port (), retry_extra);
  fclose (file);
}

void
start_gateway (gateway_t *gateway, const char *name, const char *ip,
               const char *zone, uint32_t retry_extra)
{
  const char *folder = getenv ("WORK");
  char settings[PATH_BYTES];
  char log[PATH_BYTES];

  if (folder == NULL || gateway_count == GATEWAYS_MAX)
    give_up ("WORK doesn't name a folder");
  snprintf (gateway->name, sizeof gateway->name, "%s", name);
  snprintf (gateway->ip, sizeof gateway->ip, "%s", ip);
  snprintf (gateway->zone, sizeof gateway->zone, "%s", zone);
  gateway->callers = find_free_port (ip);
  gateway->readiness = find_free_port (ip);
  gateway->peers = find_free_port (ip);
  gateway->metrics = find_free_port (ip);
  gateway->end_status = -1;
  snprintf (settings, sizeof settings, "%s/%s.json", folder, name);
  snprintf (log, sizeof log, "%s/%s.log", folder, name);
  write_settings (gateway, settings, retry_extra);
  gateways[gateway_count++] = gateway;
  gateway->pid = fork ();
  if (gateway->pid < 0)
    give_up ("no process can be had");
  if (gateway->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_TRUNC, 0644);

      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      /* It ends with the test, however that ends.  */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      setenv ("COWSLIPSPOKE_CONFIG", settings, 1);
      execl ("target/cowslip-gateway", "target/cowslip-gateway", NULL);
      _exit (EXIT_CANNOT_RUN);
    }
  record ("%s starts, process %d, callers at %s:%u", name, (int)gateway->pid,
          ip, gateway->callers);
}

bool
await_ready (const gateway_t *gateway, int64_t limit_ms)
{
  int64_t until_ms = now_ms () + limit_ms;
  client_t *client = calloc (1, sizeof *client);
  answer_t *answer = calloc (1, sizeof *answer);

  client->ip = gateway->ip;
  client->port = gateway->readiness;
  while (now_ms () < until_ms && answer->status != 200)
    {
      if (send_client_request (client,
                               "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n"))
        read_answer (client, answer);
      if (answer->status != 200)
        sleep_ms (50);
    }
  close_client (client);
  free (client);
  if (answer->status == 200)
    record ("%s is ready", gateway->name);
  limit_ms = answer->status == 200;
  free (answer);
  return limit_ms != 0;
}

double
read_metric (const gateway_t *gateway, const char *name)
{
  client_t *client = calloc (1, sizeof *client);
  answer_t *answer = calloc (1, sizeof *answer);
  double value = -1;
  char line[PATH_BYTES];
  const char *at;

  client->ip = gateway->ip;
  client->port = gateway->metrics;
  if (send_client_request (client,
                           "GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n"))
    read_answer (client, answer);
  close_client (client);
  snprintf (line, sizeof line, "\n%s ", name);
  at = strstr (answer->body, line);
  if (at != NULL)
    value = atof (at + strlen (line));
  free (client);
  free (answer);
  return value;
}

bool
gateway_runs (gateway_t *gateway)
{
  int status;

  if (gateway->end_status == -1 && gateway->pid > 0
      && waitpid (gateway->pid, &status, WNOHANG) == gateway->pid)
    {
      gateway->end_status = status;
      if (WIFSIGNALED (status))
        record ("%s has ended by signal %d", gateway->name, WTERMSIG (status));
      else
        record ("%s has ended with exit code %d", gateway->name,
                WEXITSTATUS (status));
    }
  return gateway->end_status == -1;
}

void
stop_gateway (gateway_t *gateway)
{
  if (!gateway_runs (gateway))
    return;
  kill (gateway->pid, SIGKILL);
  waitpid (gateway->pid, &gateway->end_status, 0);
}

void
stop_all_gateways (void)
{
  size_t i;

  for (i = 0; i < gateway_count; i++)
    stop_gateway (gateways[i]);
}
