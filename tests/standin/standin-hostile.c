#include "server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A caller that means harm, or is broken: sends on a bare socket what no HTTP
   library would.

     standin-hostile PORT send         each row of the table, and its answer
     standin-hostile PORT hold COUNT KIND LIMIT_MS
                                       COUNT connections that say nothing
                                       (silent), half a head, half a body,
                                       drip a body or read nothing (unread);
                                       says how many the host ended  */

enum
{
  ANSWER_BYTES = 65536,
  ROOM_BYTES = 4 << 20,
  ANSWER_LIMIT_S = 20,
  MAX_HELD = 100,
  DRIP_MS = 100
};

#define POST(PATH)                                                            \
  "POST " PATH " HTTP/1.1\r\nHost: h\r\n"                                     \
  "Authorization: Bearer key-llanfair\r\n"
#define COMPLETION POST ("/v1/completions")
#define SERVICE POST ("/v1/services/leases/score")
#define KEYED COMPLETION "X-Non-Idempotent: true\r\nContent-Length: 34\r\n"
#define GOOD "{\"model\":\"m-small\",\"prompt\":\"hello\"}"
#define X10 "xxxxxxxxxx"
#define X100 X10 X10 X10 X10 X10 X10 X10 X10 X10 X10
#define X1000 X100 X100 X100 X100 X100 X100 X100 X100 X100 X100
#define SIZED(BYTES) COMPLETION "Content-Length: " #BYTES "\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

/* What is sent: head, filler_count times filler, tail; then, with half_close,
   the end of the caller's side.  */
typedef struct
{
  const char *name;
  const char *head;
  size_t head_bytes;
  const char *filler;
  size_t filler_count;
  const char *tail;
  bool half_close;
} row_t;

#define TEXT(NAME, WHOLE)                                                     \
  {                                                                           \
    .name = NAME, .head = WHOLE, .head_bytes = sizeof WHOLE - 1               \
  }
#define CUT(NAME, WHOLE)                                                      \
  {                                                                           \
    .name = NAME, .head = WHOLE, .head_bytes = sizeof WHOLE - 1,              \
    .half_close = true                                                        \
  }
#define FILLED(NAME, START, FILLER, COUNT, END)                               \
  {                                                                           \
    .name = NAME, .head = START, .head_bytes = sizeof START - 1,              \
    .filler = FILLER, .filler_count = COUNT, .tail = END                      \
  }

static const row_t rows[] = {
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
  FILLED ("a head over the limit", "GET /v1/models HTTP/1.1\r\nX-Long: ", X10,
          4000, "\r\n\r\n"),
  FILLED ("a path over the limit", "GET /", X10, 4000, " HTTP/1.1\r\n\r\n"),
  FILLED ("1000 fields", "GET /v1/models HTTP/1.1\r\n", "A: b\r\n", 1000,
          "\r\n"),
  FILLED ("a key of 8000 bytes",
          "GET /v1/models HTTP/1.1\r\nAuthorization: Bearer ", "secret-key",
          800, "\r\n\r\n"),
  TEXT ("a length below zero", SIZED (-1) GOOD),
  TEXT ("a length that is no number", SIZED (many) GOOD),
  TEXT ("a length over 64 bits", SIZED (99999999999999999999) GOOD),
  TEXT ("a length over the limit", SIZED (2000000000) GOOD),
  TEXT ("two lengths",
        COMPLETION "Content-Length: 5\r\nContent-Length: 34\r\n\r\n" GOOD),
  TEXT ("a length that is too short", SIZED (5) GOOD),
  CUT ("a length that is too long", SIZED (500) GOOD),
  FILLED ("a chunked body over the limit", COMPLETION CHUNKED,
          "3e8\r\n" X1000 "\r\n", 1500, "0\r\n\r\n"),
  TEXT ("a chunk size that is no number",
        COMPLETION CHUNKED "zz\r\n" GOOD "\r\n0\r\n\r\n"),
  TEXT ("a chunk size over 64 bits",
        COMPLETION CHUNKED "ffffffffffffffffff\r\n" GOOD),
  CUT ("chunks without an end", COMPLETION CHUNKED "22\r\n" GOOD "\r\n"),
  CUT ("chunks without an end, to a service",
       SERVICE CHUNKED "22\r\n" GOOD "\r\n"),
  CUT ("a chunk cut in the middle", SERVICE CHUNKED "22\r\n{\"model\""),
  FILLED ("deep nesting", COMPLETION CHUNKED, "a\r\n[[[[[[[[[[\r\n", 5000,
          "0\r\n\r\n"),
  TEXT ("a NUL in the body",
        SIZED (37) "{\"model\":\"m-small\",\"prompt\":\"he\0llo!\"}"),
  TEXT ("bad UTF-8",
        SIZED (34) "{\"model\":\"m-small\",\"prompt\":\"h\xff\xfelo\"}"),
  TEXT ("a huge number", SIZED (52) "{\"model\":\"m-small\",\"prompt\":\"x\","
                                    "\"max_tokens\":1e99999}"),
  TEXT ("a key with control characters",
        KEYED "Idempotency-Key: secret-\x01\x1b[2J\r\n\r\n" GOOD),
  TEXT ("a key that is no UTF-8",
        KEYED "Idempotency-Key: secret-\xff\xfe\r\n\r\n" GOOD),
  FILLED ("a key for once of 3000 bytes",
          KEYED "Idempotency-Key: ", "secret-key", 300, "\r\n\r\n" GOOD),
  TEXT ("a class that is no UTF-8",
        COMPLETION "X-Class: \xff\xfe\r\nContent-Length: 34\r\n\r\n" GOOD),
};

static int
open_link (uint16_t port, int room_bytes)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  struct timeval limit = { .tv_sec = ANSWER_LIMIT_S };
  int link = socket (AF_INET, SOCK_STREAM, 0);

  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (room_bytes != 0)
    setsockopt (link, SOL_SOCKET, SO_RCVBUF, &room_bytes, sizeof room_bytes);
  setsockopt (link, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (link, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect (link, (struct sockaddr *)&to, sizeof to) != 0)
    {
      perror ("connect");
      exit (1);
    }
  return link;
}

/* Sends as much as the host takes.  */
static void
send_all (int link, const char *data, size_t size_bytes)
{
  ssize_t sent;

  for (; size_bytes > 0; size_bytes -= (size_t)sent, data += sent)
    {
      sent = send (link, data, size_bytes, MSG_NOSIGNAL);
      if (sent <= 0)
        return;
    }
}

static void
send_row (int link, const row_t *row)
{
  char *data = malloc (ROOM_BYTES);
  size_t size_bytes = row->head_bytes;
  size_t i;

  memcpy (data, row->head, size_bytes);
  for (i = 0; i < row->filler_count; i++)
    {
      memcpy (data + size_bytes, row->filler, strlen (row->filler));
      size_bytes += strlen (row->filler);
    }
  if (row->tail != NULL)
    {
      memcpy (data + size_bytes, row->tail, strlen (row->tail));
      size_bytes += strlen (row->tail);
    }
  send_all (link, data, size_bytes);
  if (row->half_close)
    shutdown (link, SHUT_WR);
  free (data);
}

static const char *
get_text (json_object *object, const char *name)
{
  json_object *member = NULL;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, name, &member))
    return "-";
  return json_object_get_string (member);
}

static void
print_answer (const row_t *row, const char *answer)
{
  const char *body = strstr (answer, "\r\n\r\n");
  json_object *document = body == NULL ? NULL : json_tokener_parse (body + 4);
  json_object *error = NULL;
  int status = 0;

  if (sscanf (answer, "HTTP/1.1 %d", &status) != 1)
    {
      printf ("%s: closed\n", row->name);
      return;
    }
  json_object_object_get_ex (document, "error", &error);
  printf ("%s: status=%d verdict=%s reason=%s\n", row->name, status,
          get_text (error, "verdict"), get_text (error, "code"));
  json_object_put (document);
}

static void
try_row (uint16_t port, const row_t *row)
{
  char *answer = calloc (1, ANSWER_BYTES);
  size_t got_bytes = 0;
  ssize_t got = 1;
  int link = open_link (port, 0);

  send_row (link, row);
  while (got > 0 && got_bytes < ANSWER_BYTES - 1)
    {
      got = recv (link, answer + got_bytes, ANSWER_BYTES - 1 - got_bytes, 0);
      if (got > 0)
        got_bytes += (size_t)got;
    }
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    printf ("%s: left waiting\n", row->name);
  else
    print_answer (row, answer);
  close (link);
  free (answer);
}

typedef struct
{
  const char *name;
  const char *text;
  bool drips;
  bool reads;
} hold_t;

static const hold_t holds[] = {
  { "silent", "", false, true },
  { "head", COMPLETION, false, true },
  { "body", SIZED (500) "{\"model\"", false, true },
  { "drip", SIZED (50000) "{", true, true },
  { "unread",
    COMPLETION "Content-Length: 59\r\n\r\n"
               "{\"model\":\"m-small\",\"stream\":true,"
               "\"prompt\":\"[tokens=60000]\"}",
    false, false },
};

static const hold_t *
find_hold (const char *name)
{
  size_t i;

  for (i = 0; i < sizeof holds / sizeof *holds; i++)
    if (strcmp (holds[i].name, name) == 0)
      return &holds[i];
  fprintf (stderr, "no such kind: %s\n", name);
  exit (2);
}

/* Whether the host has ended the connection.  One that reads nothing sees it
   by the reset only.  */
static bool
is_ended (int link, const hold_t *hold)
{
  struct pollfd event = { .fd = link, .events = POLLRDHUP };
  char data[4096];
  ssize_t got = 1;

  while (hold->reads && got > 0)
    got = recv (link, data, sizeof data, MSG_DONTWAIT);
  if (hold->reads && got == 0)
    return true;
  poll (&event, 1, 0);
  return (event.revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0;
}

static int
count_ended (const int *links, int count, const hold_t *hold)
{
  int ended = 0;
  int i;

  for (i = 0; i < count; i++)
    {
      if (hold->drips)
        send (links[i], "x", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (is_ended (links[i], hold))
        ended++;
    }
  return ended;
}

static void
hold_links (uint16_t port, int count, const hold_t *hold, int64_t limit_ms)
{
  int links[MAX_HELD];
  int64_t until_ms = standin_now_ms () + limit_ms;
  int ended = 0;
  int i;

  for (i = 0; i < count; i++)
    {
      links[i] = open_link (port, hold->reads ? 0 : 4096);
      send_all (links[i], hold->text, strlen (hold->text));
    }
  printf ("held=%d\n", count);
  fflush (stdout);
  while (ended < count && standin_now_ms () < until_ms)
    {
      usleep (DRIP_MS * STANDIN_US_PER_MS);
      ended = count_ended (links, count, hold);
    }
  printf ("ended=%d\n", ended);
  for (i = 0; i < count; i++)
    close (links[i]);
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
    for (i = 0; i < sizeof rows / sizeof *rows; i++)
      try_row (port, &rows[i]);
  else if (strcmp (argv[2], "hold") == 0 && argc == 6)
    {
      count = (int)strtoul (argv[3], NULL, 10);
      if (count > MAX_HELD)
        return 2;
      hold_links (port, count, find_hold (argv[4]),
                  (int64_t)strtoul (argv[5], NULL, 10));
    }
  else
    return 2;
  return 0;
}
