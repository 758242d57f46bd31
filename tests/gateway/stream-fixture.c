#include "gateway/stream-fixture.h"

#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <string.h>
#include <sys/select.h>
#include <unistd.h>

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
  fixture_open_at (&stream.fixture, &stream.datagram_address);
  fixture_publish_routes (&stream.fixture, true);
  stream.listeners[0]
      = fixture_add_target (&stream.fixture, stream_engine_ids[0], "engines");
}

void
stream_tear_down (void)
{
  close (stream.caller);
  close (stream.listeners[0]);
  close (stream.listeners[1]);
  fixture_close (&stream.fixture);
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
  const char *text;
  char request[256];

  if (with_backup)
    stream.listeners[1] = fixture_add_target (&stream.fixture,
                                              stream_engine_ids[1], "engines");
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
  send_text (stream.source_link, STREAM_HEAD);
  send_chunk (stream.source_link, EVENT ("1", "one"));
  read_until (stream.caller, "one\n\n");
}

void
start_stream (bool with_backup)
{
  start_stream_with_hint (with_backup, 1000);
}

void
add_second_engine (void)
{
  stream.listeners[1]
      = fixture_add_target (&stream.fixture, stream_engine_ids[1], "engines");
}

unsigned
get_port (int listener)
{
  struct sockaddr_in address = { 0 };
  socklen_t size_bytes = sizeof address;

  getsockname (listener, (struct sockaddr *)&address, &size_bytes);
  return ntohs (address.sin_port);
}

void
finish_stream (int link)
{
  send_text (link, "0\r\n\r\n");
  read_until (stream.caller, "0\r\n\r\n");
}
