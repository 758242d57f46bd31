#include "gateway/gateway-fixture.h"

#include "cowslipspoke/roster.h"
#include "support/run-suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A host that is told to stop.  */

enum
{
  ANSWER_BYTES = 600000,
  /* Some 150 KB a second.  */
  READ_BYTES = 3000,
  READ_PAUSE_MS = 20,
  WAIT_MS = 10000,
  LONG_TIMEOUT_MS = 30000,
  STOP_END_MS = 7800,
  SMALL_WINDOW_BYTES = 8192,
  ETHERNET_SEGMENT_BYTES = 1460
};

static fixture_t fixture;

static void
set_up (void)
{
  fixture_open (&fixture);
  fixture_publish_routes (&fixture, true);
}

static void
tear_down (void)
{
  fixture_close (&fixture);
}

/* A caller whose connection holds little on the way.  */
static int
open_slow_caller (void)
{
  int caller = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval wait = { .tv_sec = 10 };
  int window_bytes = SMALL_WINDOW_BYTES;
  int segment_bytes = ETHERNET_SEGMENT_BYTES;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (csp_gateway_caller_port (fixture.gateway));
  setsockopt (caller, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
              sizeof segment_bytes);
  setsockopt (caller, SOL_SOCKET, SO_RCVBUF, &window_bytes,
              sizeof window_bytes);
  setsockopt (caller, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  ck_assert_int_eq (
      connect (caller, (struct sockaddr *)&address, sizeof address), 0);
  return caller;
}

/* A host is told to stop while callers are connected.  Its readiness page
   shows it at once.  Requests on open connections are still answered, with
   Connection: close.  A stream that arrives after the balancer has dropped the
   host would be cut off at the end, so it is refused with 503, which promises
   that it hasn't run.  */
START_TEST (a_stop_answers_running_requests_and_refuses_late_streams)
{
  int target = fixture_add_target (&fixture, "t-1", "plain");
  int engine = fixture_add_target (&fixture, "t-2", "engines");
  int caller = open_caller (&fixture);
  int late_caller = open_caller (&fixture);
  const char *text;
  int link;

  ck_assert_ptr_nonnull (
      strstr (fixture_get_page (&fixture, "/readyz"), " 200 "));
  fixture_send_update (&fixture, CSP_UPDATE_STOP);
  while (strstr (fixture_get_page (&fixture, "/readyz"), " 503 ") == NULL)
    continue;
  send_text (caller, REQUEST ("/once/", "r1"));
  link = accept_target_connection (target);
  read_target_request (link, 0);
  send_text (late_caller, "GET /stream/ HTTP/1.1\r\n");
  csp_advance_fake_clock (&fixture.fake_clock, 2600);
  send_text (link, ANSWER ("r1", "ok", "2"));
  text = read_until (caller, "ok");
  ck_assert_ptr_nonnull (strstr (text, " 200 "));
  ck_assert_ptr_nonnull (strstr (text, "Connection: close\r\n"));
  ck_assert (await_close (caller));
  send_text (late_caller, "Host: h\r\nKey: key-a\r\nRequest-Id: r2\r\n\r\n");
  text = read_until (late_caller, "\r\n\r\n");
  ck_assert_ptr_nonnull (strstr (text, " 503 "));
  ck_assert_ptr_nonnull (strstr (text, "Retry-After: "));
  close (late_caller);
  close (caller);
  close (link);
  close (engine);
  close (target);
}
END_TEST

/* A host is told to stop, and some callers still connect to it.  A long stream
   that starts here would be cut off when the process ends, though another host
   could complete it; a short one ends in time.  */
START_TEST (a_stopping_host_refuses_long_streams)
{
  int engine = fixture_add_target (&fixture, "t-2", "engines");
  int long_caller = open_caller (&fixture);
  int short_caller = open_caller (&fixture);
  const char *text;
  int link;

  fixture_send_update (&fixture, CSP_UPDATE_STOP);
  fixture_await_updates (&fixture);
  send_text (long_caller, "GET /stream/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
                          "Request-Id: r1\r\nTokens: 100,2000\r\n"
                          "Output-Hint: 900\r\n\r\n");
  text = read_until (long_caller, "\r\n\r\n");
  ck_assert_ptr_nonnull (strstr (text, " 503 "));
  ck_assert_ptr_nonnull (strstr (text, "Retry-After: 0.05"));
  send_text (short_caller, "GET /stream/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
                           "Request-Id: r2\r\nTokens: 100,2000\r\n"
                           "Output-Hint: 200\r\n\r\n");
  link = accept_target_connection (engine);
  ck_assert_ptr_nonnull (
      strstr (read_target_request (link, 0), "Request-Id: r2\r\n"));
  close (long_caller);
  close (short_caller);
  close (link);
  close (engine);
}
END_TEST

static struct sockaddr_in datagram_address;

/* Send the gateway loads, as another host would, in more datagrams than it
   reads in one iteration of its event loop.  */
static void
send_datagrams (void)
{
  int sender = socket (AF_INET, SOCK_DGRAM, 0);
  csp_hello_t hello = { .boot = 1, .load_count = 1 };

  for (hello.sequence = 1; hello.sequence <= 100; hello.sequence++)
    {
      csp_buffer_t bytes = { 0 };

      ck_assert (csp_encode_hello (&hello, &bytes));
      ck_assert_int_eq (sendto (sender, bytes.data, bytes.size_bytes, 0,
                                (struct sockaddr *)&datagram_address,
                                sizeof datagram_address),
                        (int)bytes.size_bytes);
      csp_clear_buffer (&bytes);
    }
  close (sender);
}

/* Other hosts still send a host their loads while it closes its connections at
   the end of a stop.  Its process crashed there instead of ending in
   order.  */
START_TEST (a_datagram_at_the_end_of_a_stop_is_ignored)
{
  fixture_t stopped_host = { .seed = NULL };

  datagram_address = (struct sockaddr_in){ .sin_family = AF_INET,
                                           .sin_port = htons (8748) };
  /* A loopback address that no other test process uses.  */
  datagram_address.sin_addr.s_addr
      = htonl (0x7f400000U | ((uint32_t)getpid () & 0x1fffff));
  fixture_open_at (&stopped_host, &datagram_address);
  stopped_host.after_run = send_datagrams;
  close (fixture_add_target (&stopped_host, "t-9", "engines"));
  fixture_close (&stopped_host);
}
END_TEST

/* Guards against an answer that loses its end because its caller reads it
   slowly, and the connection isn't kept.  */
START_TEST (a_slow_caller_gets_its_whole_answer)
{
  static char answer[ANSWER_BYTES + 1];
  struct pollfd never = { .fd = -1 };
  int target = fixture_add_target (&fixture, "t-1", "plain");
  int caller = open_slow_caller ();
  size_t got_bytes = 0;
  ssize_t got = 1;
  int link;

  send_text (caller, "GET /once/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
                     "Request-Id: r1\r\nTime-Left: 3000\r\n"
                     "Connection: close\r\n\r\n");
  link = accept_target_connection (target);
  read_target_request (link, 0);
  memset (answer, 'x', ANSWER_BYTES);
  send_text (link, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"
                   "Content-Length: 600000\r\n\r\n");
  send_bytes (link, answer, ANSWER_BYTES);
  while (got > 0)
    {
      poll (&never, 1, READ_PAUSE_MS);
      got = recv (caller, answer, READ_BYTES, 0);
      got_bytes += got > 0 ? (size_t)got : 0;
    }
  ck_assert_int_eq (got, 0);
  ck_assert_uint_gt (got_bytes, ANSWER_BYTES);
  close (link);
  close (caller);
  close (target);
}
END_TEST

/* Requests whose first byte comes before a stop of 8 s and the rest later.  */
static const struct
{
  const char *path;
  uint32_t came_ms; /* since the stop began */
  const char *time_left;
  bool served;
} late_requests[] = {
  { "/once/", 100, "7600", true },   { "/once/", 100, "7800", false },
  { "/once/", 2400, "7600", true },  { "/once/", 2400, "20000", false },
  { "/once/", 5000, "7600", true },  { "/once/", 5000, "7800", false },
  { "/safe/", 2400, "20000", true }, { "/safe/", 5000, "7600", true },
  { "/safe/", 5000, "7800", false },
};

/* Guards against a request that may not be repeated and is taken although it
   may outlast the host, and against refusing one that ends in time.  */
START_TEST (a_stopping_host_takes_what_ends_in_time)
{
  struct pollfd ready[2] = { { .events = POLLIN }, { .events = POLLIN } };
  char request[200];
  int target = fixture_add_target (&fixture, "t-1", "plain");
  int caller = open_caller (&fixture);

  fixture.route_timeout_ms = LONG_TIMEOUT_MS;
  fixture_publish_routes (&fixture, true);
  send_text (caller, "GET ");
  fixture_send_update (&fixture, CSP_UPDATE_STOP);
  fixture_await_updates (&fixture);
  csp_advance_fake_clock (&fixture.fake_clock, late_requests[_i].came_ms);
  snprintf (request, sizeof request,
            "%s HTTP/1.1\r\nHost: h\r\nKey: key-a\r\nRequest-Id: r1\r\n"
            "Time-Left: %s\r\n\r\n",
            late_requests[_i].path, late_requests[_i].time_left);
  send_text (caller, request);
  ready[0].fd = target;
  ready[1].fd = caller;
  ck_assert_int_eq (poll (ready, 2, WAIT_MS), 1);
  ck_assert_int_eq (ready[0].revents != 0, late_requests[_i].served);
  if (!late_requests[_i].served)
    ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"), " 503 "));
  close (caller);
  close (target);
}
END_TEST

/* Guards against a request that is open at the end of a stop and gets no
   answer: it hears whether it may have run.  */
START_TEST (requests_open_at_the_end_of_a_stop_are_answered)
{
  int target = fixture_add_target (&fixture, "t-1", "plain");
  int sent = open_caller (&fixture);
  int waiting = open_caller (&fixture);
  const char *text;
  int link;

  send_text (sent, REQUEST ("/once/", "r1"));
  link = accept_target_connection (target);
  read_target_request (link, 0);
  /* Not sent before its body is whole.  */
  send_text (waiting, "POST /once/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
                      "Request-Id: r2\r\nContent-Length: 5\r\n\r\nhe");
  fixture_await_updates (&fixture);
  fixture_send_update (&fixture, CSP_UPDATE_STOP);
  fixture_await_updates (&fixture);
  csp_advance_fake_clock (&fixture.fake_clock, STOP_END_MS);
  text = read_until (sent, "\r\n\r\n");
  ck_assert_msg (strstr (text, " 502 ") != NULL, "%s", text);
  text = read_until (waiting, "\r\n\r\n");
  ck_assert_msg (strstr (text, " 503 ") != NULL, "%s", text);
  ck_assert_ptr_nonnull (strstr (text, "Retry-After: "));
  close (link);
  close (sent);
  close (waiting);
  close (target);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("stop");
  TCase *tcase = tcase_create ("stop");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase,
                  a_stop_answers_running_requests_and_refuses_late_streams);
  tcase_add_test (tcase, a_stopping_host_refuses_long_streams);
  tcase_add_test (tcase, a_datagram_at_the_end_of_a_stop_is_ignored);
  tcase_add_loop_test (tcase, a_stopping_host_takes_what_ends_in_time, 0,
                       sizeof late_requests / sizeof late_requests[0]);
  tcase_add_test (tcase, requests_open_at_the_end_of_a_stop_are_answered);
  tcase_add_test (tcase, a_slow_caller_gets_its_whole_answer);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
