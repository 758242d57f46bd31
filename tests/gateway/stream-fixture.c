#include "gateway/stream-fixture.h"

#include "cowslipspoke/hash.h"

#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/select.h>
#include <unistd.h>

enum
{
  NO_REQUEST_MS = 100
};

stream_fixture_t stream;
const char *const stream_engine_ids[2] = { "t-0", "t-1" };

void
stream_set_up (void)
{
  /* A loopback address that no other test process uses.  */
  stream.datagram_address = (struct sockaddr_in){ .sin_family = AF_INET,
                                                  .sin_port = htons (8748) };
  stream.datagram_address.sin_addr.s_addr
      = htonl (0x7f600000U | ((uint32_t)getpid () & 0x1fffff));
  stream.caller = -1;
  stream.listeners[1] = -1;
  fixture_open_at (&stream.fixture, &stream.datagram_address);
  fixture_publish_routes (&stream.fixture, true);
  stream.listeners[0]
      = fixture_add_target (&stream.fixture, stream_engine_ids[0], "engines");
}

/* The gateway ends first, since it still connects to the listeners while it
   stops.  */
void
stream_tear_down (void)
{
  fixture_close (&stream.fixture);
  close (stream.caller);
  close (stream.listeners[0]);
  close (stream.listeners[1]);
}

void
send_chunk (int socket, const char *text)
{
  char framed[512];

  snprintf (framed, sizeof framed, "%zx\r\n%s\r\n", strlen (text), text);
  send_text (socket, framed);
}

void
start_stream_with_hint (bool with_backup, int output_hint)
{
  if (with_backup)
    add_second_engine ();
  start_next_stream (with_backup, output_hint);
}

void
send_stream_request (bool with_backup, int output_hint)
{
  const char *text;
  char request[256];

  stream.caller = open_caller (&stream.fixture);
  snprintf (request, sizeof request,
            "POST %s HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
            "Request-Id: r1\r\nTime-Left: 30000\r\nTokens: 100,2000\r\n"
            "Output-Hint: %d\r\nContent-Length: 2\r\n\r\nhi",
            stream.path == NULL ? "/stream/" : stream.path, output_hint);
  send_text (stream.caller, request);
  stream.source = 0;
  if (with_backup)
    {
      fd_set ready;

      FD_ZERO (&ready);
      FD_SET (stream.listeners[0], &ready);
      FD_SET (stream.listeners[1], &ready);
      ck_assert_int_eq (select (stream.listeners[0] > stream.listeners[1]
                                    ? stream.listeners[0] + 1
                                    : stream.listeners[1] + 1,
                                &ready, NULL, NULL, NULL),
                        1);
      stream.source = FD_ISSET (stream.listeners[1], &ready);
    }
  stream.source_link
      = accept_target_connection (stream.listeners[stream.source]);
  text = read_target_request (stream.source_link, 2);
  ck_assert_int_eq (strstr (text, "Backup: ") != NULL, with_backup);
}

void
start_next_stream (bool with_backup, int output_hint)
{
  send_stream_request (with_backup, output_hint);
  send_text (stream.source_link, STREAM_HEAD);
  send_chunk (stream.source_link, EVENT ("1", "one"));
  read_until (stream.caller, "one\n\n");
}

void
start_stream (bool with_backup)
{
  start_stream_with_hint (with_backup, 1000);
}

int
send_plain_request (const char *path)
{
  char request[200];
  int caller = open_caller (&stream.fixture);

  snprintf (request, sizeof request,
            "GET %s HTTP/1.1\r\nHost: h\r\nKey: key-a\r\nRequest-Id: r1\r\n"
            "Time-Left: 30000\r\n\r\n",
            path);
  send_text (caller, request);
  return caller;
}

void
add_second_engine (void)
{
  stream.listeners[1]
      = fixture_add_target (&stream.fixture, stream_engine_ids[1], "engines");
}

const char *
format_listener_address (int listener)
{
  static char text[INET_ADDRSTRLEN + sizeof ":65535"];
  struct sockaddr_in address = { 0 };
  socklen_t size_bytes = sizeof address;
  size_t host_bytes;

  getsockname (listener, (struct sockaddr *)&address, &size_bytes);
  inet_ntop (AF_INET, &address.sin_addr, text, sizeof text);
  host_bytes = strlen (text);
  snprintf (text + host_bytes, sizeof text - host_bytes, ":%u",
            ntohs (address.sin_port));
  return text;
}

int
accept_past_reports (int engine, const char *expected)
{
  for (;;)
    {
      int link = accept_target_connection (stream.listeners[engine]);
      const char *text = read_target_request (link, 0);

      if (strstr (text, "GET /report") == NULL
          || strcmp (expected, "/report") == 0)
        {
          ck_assert_msg (strstr (text, expected) != NULL, "%s", text);
          return link;
        }
      send_text (link, "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                       "Content-Length: 2\r\n\r\nok");
      close (link);
    }
}

void
answer_run_check (int engine, const char *question, const char *answer)
{
  int link = accept_past_reports (engine, question);

  send_text (link, answer);
  close (link);
}

void
expect_no_request (int engine)
{
  struct pollfd row = { .fd = stream.listeners[engine], .events = POLLIN };

  ck_assert_int_eq (poll (&row, 1, NO_REQUEST_MS), 0);
}

void
finish_stream (int link)
{
  send_text (link, "0\r\n\r\n");
  read_until (stream.caller, "0\r\n\r\n");
}

void
leave_stream (int64_t ms)
{
  close (stream.caller);
  ck_assert (await_close (stream.source_link));
  close (stream.source_link);
  csp_advance_fake_clock (&stream.fixture.fake_clock, ms);
}

void
await_metric (const char *line)
{
  while (strstr (fixture_get_page (&stream.fixture, "/metrics"), line) == NULL)
    continue;
}

static void
send_hello_from (int sender, const csp_hello_t *hello)
{
  csp_buffer_t bytes = { 0 };

  ck_assert (csp_encode_hello (hello, &bytes));
  ck_assert_int_eq (sendto (sender, bytes.data, bytes.size_bytes, 0,
                            (struct sockaddr *)&stream.datagram_address,
                            sizeof stream.datagram_address),
                    (int)bytes.size_bytes);
  csp_clear_buffer (&bytes);
}

void
send_hello (const csp_hello_t *hello)
{
  int sender = socket (AF_INET, SOCK_DGRAM, 0);

  send_hello_from (sender, hello);
  close (sender);
}

int
open_peer_host (void)
{
  csp_hello_t hello = { .boot = 1, .sequence = 1 };
  struct timeval wait = { .tv_sec = 5 };
  int peer_socket = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  setsockopt (peer_socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  send_hello_from (peer_socket, &hello);
  await_metric ("cowslipspoke_gateway_peers 1\n");
  return peer_socket;
}

csp_peer_load_t
receive_load (int peer_socket, const char *id)
{
  uint64_t target = csp_hash_pair ("target", id);
  char datagram[CSP_HELLO_MAX_BYTES];

  for (;;)
    {
      ssize_t size_bytes = recv (peer_socket, datagram, sizeof datagram, 0);
      csp_hello_t hello;
      size_t i;

      ck_assert_int_gt (size_bytes, 0);
      ck_assert (csp_decode_hello (datagram, (size_t)size_bytes, &hello));
      for (i = 0; i < hello.load_count; i++)
        if (hello.loads[i].target == target)
          return hello.loads[i];
    }
}
