#include "server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A malicious or broken caller: sends over a plain socket what no HTTP library
   would send.

     standin-hostile PORT send         sends each request of the table and
                                       prints its answer
     standin-hostile PORT hold COUNT KIND LIMIT_MS
                                       opens COUNT connections that send
                                       nothing (silent), a part of the head
                                       (head) or of the body (body), the body
                                       byte by byte (drip), or that don't
                                       read the answer (unread); prints how
                                       many of them the host closed  */

enum
{
  ANSWER_BYTES = 65536,
  MAX_REQUEST_BYTES = 4 << 20,
  ANSWER_LIMIT_S = 20,
  MAX_HELD_CONNECTIONS = 100,
  DRIP_INTERVAL_MS = 100
};

#define POST(PATH)                                                            \
  "POST " PATH " HTTP/1.1\r\nHost: h\r\n"                                     \
  "Authorization: Bearer key-llanfair\r\n"
#define COMPLETION POST ("/v1/completions")
#define SERVICE_CALL POST ("/v1/services/leases/score")
#define NON_IDEMPOTENT                                                        \
  COMPLETION "X-Non-Idempotent: true\r\nContent-Length: 34\r\n"
#define VALID_BODY "{\"model\":\"m-small\",\"prompt\":\"hello\"}"
#define X10 "xxxxxxxxxx"
#define X100 X10 X10 X10 X10 X10 X10 X10 X10 X10 X10
#define X1000 X100 X100 X100 X100 X100 X100 X100 X100 X100 X100
#define WITH_LENGTH(BYTES) COMPLETION "Content-Length: " #BYTES "\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

/* A request: head, then filler repeated filler_count times, then tail.  With
   half_close the caller then shuts down its sending side.  */
typedef struct
{
  const char *name;
  const char *head;
  size_t head_bytes;
  const char *filler;
  size_t filler_count;
  const char *tail;
  bool half_close;
} hostile_request_t;

#define TEXT(NAME, WHOLE)                                                     \
  {                                                                           \
    .name = NAME, .head = WHOLE, .head_bytes = sizeof WHOLE - 1               \
  }
#define HALF_CLOSED(NAME, WHOLE)                                              \
  {                                                                           \
    .name = NAME, .head = WHOLE, .head_bytes = sizeof WHOLE - 1,              \
    .half_close = true                                                        \
  }
#define REPEATED(NAME, START, FILLER, COUNT, END)                             \
  {                                                                           \
    .name = NAME, .head = START, .head_bytes = sizeof START - 1,              \
    .filler = FILLER, .filler_count = COUNT, .tail = END                      \
  }

static const hostile_request_t requests[] = {
  TEXT ("no HTTP", "hello\r\n\r\n"),
  TEXT ("a TLS hello", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"),
  TEXT ("NUL bytes", "\0\0\0\0\r\n\r\n"),
  TEXT ("no version", "GET /v1/models\r\n\r\n"),
  TEXT ("a version from nowhere", "GET /v1/models HTTP/9.9\r\n\r\n"),
  TEXT ("an unknown method", "BREW /v1/models HTTP/1.1\r\nHost: h\r\n\r\n"),
  TEXT ("a field without a colon",
        "GET /v1/models HTTP/1.1\r\nHost h\r\n\r\n"),
  TEXT ("a NUL in a field", "GET /v1/models HTTP/1.1\r\nHost: h\r\n"
                            "Authorization: Bearer key-llan\0fair\r\n\r\n"),
  TEXT ("a path out of the root",
        "GET /../../etc/passwd HTTP/1.1\r\nHost: h\r\n\r\n"),
  TEXT ("an encoded NUL in the path",
        POST ("/v1/services/leases/%00x") "Content-Length: 0\r\n\r\n"),
  TEXT ("a line end in the path",
        POST ("/v1/services/leases/x%20HTTP/"
              "1.1%0d%0aX-Evil:%20y") "Content-Length:"
                                      " 0\r\n\r\n"),
  TEXT ("dot segments in the path",
        POST ("/v1/services/leases/a/%2e%2e/%2e%2e/b") "Content-Length: "
                                                       "0\r\n\r\n"),
  REPEATED ("a head over the limit",
            "GET /v1/models HTTP/1.1\r\nX-Long: ", X10, 4000, "\r\n\r\n"),
  REPEATED ("a path over the limit", "GET /", X10, 4000, " HTTP/1.1\r\n\r\n"),
  REPEATED ("1000 fields", "GET /v1/models HTTP/1.1\r\n", "A: b\r\n", 1000,
            "\r\n"),
  REPEATED ("a key of 8000 bytes",
            "GET /v1/models HTTP/1.1\r\nAuthorization: Bearer ", "secret-key",
            800, "\r\n\r\n"),
  TEXT ("a length below zero", WITH_LENGTH (-1) VALID_BODY),
  TEXT ("a length that is no number", WITH_LENGTH (many) VALID_BODY),
  TEXT ("a length over 64 bits",
        WITH_LENGTH (99999999999999999999) VALID_BODY),
  TEXT ("a length over the limit", WITH_LENGTH (2000000000) VALID_BODY),
  TEXT ("two lengths", COMPLETION
        "Content-Length: 5\r\nContent-Length: 34\r\n\r\n" VALID_BODY),
  TEXT ("a length that is too short", WITH_LENGTH (5) VALID_BODY),
  HALF_CLOSED ("a length that is too long", WITH_LENGTH (500) VALID_BODY),
  REPEATED ("a chunked body over the limit", COMPLETION CHUNKED,
            "3e8\r\n" X1000 "\r\n", 1500, "0\r\n\r\n"),
  TEXT ("a chunk size that is no number",
        COMPLETION CHUNKED "zz\r\n" VALID_BODY "\r\n0\r\n\r\n"),
  TEXT ("a chunk size over 64 bits",
        COMPLETION CHUNKED "ffffffffffffffffff\r\n" VALID_BODY),
  HALF_CLOSED ("chunks without an end",
               COMPLETION CHUNKED "22\r\n" VALID_BODY "\r\n"),
  HALF_CLOSED ("chunks without an end, to a service",
               SERVICE_CALL CHUNKED "22\r\n" VALID_BODY "\r\n"),
  HALF_CLOSED ("a chunk cut in the middle",
               SERVICE_CALL CHUNKED "22\r\n{\"model\""),
  REPEATED ("deep nesting", COMPLETION CHUNKED, "a\r\n[[[[[[[[[[\r\n", 5000,
            "0\r\n\r\n"),
  TEXT ("a NUL in the body",
        WITH_LENGTH (37) "{\"model\":\"m-small\",\"prompt\":\"he\0llo!\"}"),
  TEXT ("bad UTF-8",
        WITH_LENGTH (34) "{\"model\":\"m-small\",\"prompt\":\"h\xff\xfelo\"}"),
  TEXT ("a huge number",
        WITH_LENGTH (52) "{\"model\":\"m-small\",\"prompt\":\"x\","
                         "\"max_tokens\":1e99999}"),
  TEXT ("a key with control characters", NON_IDEMPOTENT
        "Idempotency-Key: secret-\x01\x1b[2J\r\n\r\n" VALID_BODY),
  TEXT ("a key that is no UTF-8",
        NON_IDEMPOTENT "Idempotency-Key: secret-\xff\xfe\r\n\r\n" VALID_BODY),
  REPEATED ("a key for once of 3000 bytes", NON_IDEMPOTENT "Idempotency-Key: ",
            "secret-key", 300, "\r\n\r\n" VALID_BODY),
  TEXT ("a class that is no UTF-8", COMPLETION
        "X-Class: \xff\xfe\r\nContent-Length: 34\r\n\r\n" VALID_BODY),
};

static int
open_connection (uint16_t port, int receive_buffer_bytes)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  struct timeval limit = { .tv_sec = ANSWER_LIMIT_S };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (receive_buffer_bytes != 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                sizeof receive_buffer_bytes);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) != 0)
    {
      perror ("connect");
      exit (1);
    }
  return fd;
}

/* Sends all data, or as much as the host accepts.  */
static void
send_all (int fd, const char *data, size_t size_bytes)
{
  ssize_t sent;

  for (; size_bytes > 0; size_bytes -= (size_t)sent, data += sent)
    {
      sent = send (fd, data, size_bytes, MSG_NOSIGNAL);
      if (sent <= 0)
        return;
    }
}

static void
send_hostile_request (int fd, const hostile_request_t *request)
{
  char *data = malloc (MAX_REQUEST_BYTES);
  size_t size_bytes = request->head_bytes;
  size_t i;

  memcpy (data, request->head, size_bytes);
  for (i = 0; i < request->filler_count; i++)
    {
      memcpy (data + size_bytes, request->filler, strlen (request->filler));
      size_bytes += strlen (request->filler);
    }
  if (request->tail != NULL)
    {
      memcpy (data + size_bytes, request->tail, strlen (request->tail));
      size_bytes += strlen (request->tail);
    }
  send_all (fd, data, size_bytes);
  if (request->half_close)
    shutdown (fd, SHUT_WR);
  free (data);
}

static const char *
get_string (json_object *object, const char *name)
{
  json_object *member = NULL;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, name, &member))
    return "-";
  return json_object_get_string (member);
}

static void
print_answer (const hostile_request_t *request, const char *answer)
{
  const char *body = strstr (answer, "\r\n\r\n");
  json_object *document = body == NULL ? NULL : json_tokener_parse (body + 4);
  json_object *error = NULL;
  int status = 0;

  if (sscanf (answer, "HTTP/1.1 %d", &status) != 1)
    {
      printf ("%s: closed\n", request->name);
      return;
    }
  json_object_object_get_ex (document, "error", &error);
  printf ("%s: status=%d verdict=%s reason=%s\n", request->name, status,
          get_string (error, "verdict"), get_string (error, "code"));
  json_object_put (document);
}

static void
try_request (uint16_t port, const hostile_request_t *request)
{
  char *answer = calloc (1, ANSWER_BYTES);
  size_t received_bytes = 0;
  ssize_t received = 1;
  int fd = open_connection (port, 0);

  send_hostile_request (fd, request);
  while (received > 0 && received_bytes < ANSWER_BYTES - 1)
    {
      received = recv (fd, answer + received_bytes,
                       ANSWER_BYTES - 1 - received_bytes, 0);
      if (received > 0)
        received_bytes += (size_t)received;
    }
  if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    printf ("%s: left waiting\n", request->name);
  else
    print_answer (request, answer);
  close (fd);
  free (answer);
}

/* A way to hold connections open.  */
typedef struct
{
  const char *name;
  const char *text; /* sent first */
  bool drips;       /* sends a byte every DRIP_INTERVAL_MS */
  bool reads;       /* reads what the host sends */
} hold_kind_t;

static const hold_kind_t hold_kinds[] = {
  { "silent", "", false, true },
  { "head", COMPLETION, false, true },
  { "body", WITH_LENGTH (500) "{\"model\"", false, true },
  { "drip", WITH_LENGTH (50000) "{", true, true },
  { "unread",
    COMPLETION "Content-Length: 59\r\n\r\n"
               "{\"model\":\"m-small\",\"stream\":true,"
               "\"prompt\":\"[tokens=60000]\"}",
    false, false },
};

static const hold_kind_t *
find_hold_kind (const char *name)
{
  size_t i;

  for (i = 0; i < sizeof hold_kinds / sizeof *hold_kinds; i++)
    if (strcmp (hold_kinds[i].name, name) == 0)
      return &hold_kinds[i];
  fprintf (stderr, "no such kind: %s\n", name);
  exit (2);
}

/* Whether the host has closed the connection.  A caller that doesn't read
   never gets to the end of the data, so that poll must report the reset.  */
static bool
is_closed_by_host (int fd, const hold_kind_t *kind)
{
  struct pollfd event = { .fd = fd, .events = POLLRDHUP };
  char data[4096];
  ssize_t received = 1;

  while (kind->reads && received > 0)
    received = recv (fd, data, sizeof data, MSG_DONTWAIT);
  if (kind->reads && received == 0)
    return true;
  poll (&event, 1, 0);
  return (event.revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0;
}

static int
count_closed (const int *fds, int count, const hold_kind_t *kind)
{
  int closed = 0;
  int i;

  for (i = 0; i < count; i++)
    {
      if (kind->drips)
        send (fds[i], "x", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (is_closed_by_host (fds[i], kind))
        closed++;
    }
  return closed;
}

static void
hold_connections (uint16_t port, int count, const hold_kind_t *kind,
                  int64_t limit_ms)
{
  int fds[MAX_HELD_CONNECTIONS];
  int64_t until_ms = standin_now_ms () + limit_ms;
  int closed = 0;
  int i;

  for (i = 0; i < count; i++)
    {
      fds[i] = open_connection (port, kind->reads ? 0 : 4096);
      send_all (fds[i], kind->text, strlen (kind->text));
    }
  printf ("held=%d\n", count);
  fflush (stdout);
  while (closed < count && standin_now_ms () < until_ms)
    {
      usleep (DRIP_INTERVAL_MS * STANDIN_US_PER_MS);
      closed = count_closed (fds, count, kind);
    }
  printf ("ended=%d\n", closed);
  for (i = 0; i < count; i++)
    close (fds[i]);
}

int
main (int argc, char **argv)
{
  uint16_t port;
  int count;
  size_t i;

  if (argc < 3)
    return 2;
  port = (uint16_t)strtoul (argv[1], NULL, 10);
  if (strcmp (argv[2], "send") == 0)
    for (i = 0; i < sizeof requests / sizeof *requests; i++)
      try_request (port, &requests[i]);
  else if (strcmp (argv[2], "hold") == 0 && argc == 6)
    {
      count = (int)strtoul (argv[3], NULL, 10);
      if (count > MAX_HELD_CONNECTIONS)
        return 2;
      hold_connections (port, count, find_hold_kind (argv[4]),
                        (int64_t)strtoul (argv[5], NULL, 10));
    }
  else
    return 2;
  return 0;
}
