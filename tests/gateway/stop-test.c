#include "gateway/gateway-fixture.h"

#include "cowslipspoke/roster.h"
#include "support/run-suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A host that is told to stop.  */

static fixture_t fixture;

static void
set_up (void)
{
  fixture_open (&fixture);
  fixture_publish (&fixture, true);
}

static void
tear_down (void)
{
  fixture_close (&fixture);
}

/* A host is told to stop while callers are connected.  The balancer sees it at
   once; requests on open connections are still answered, and say that the
   connection closes; a stream that comes when the balancer has turned away
   would be cut at the end, so it is refused with a promise.  */
START_TEST (a_stop_answers_what_it_can_and_refuses_the_rest)
{
  int target = fixture_target (&fixture, "t-1", "plain");
  int engine = fixture_target (&fixture, "t-2", "engines");
  int caller = caller_open (&fixture);
  int late = caller_open (&fixture);
  const char *text;
  int link;

  ck_assert_ptr_nonnull (strstr (fixture_page (&fixture, "/readyz"), " 200 "));
  fixture_update (&fixture, CSP_UPDATE_STOP);
  while (strstr (fixture_page (&fixture, "/readyz"), " 503 ") == NULL)
    continue;
  send_text (caller, REQUEST ("/once/", "r1"));
  link = target_accept (target);
  target_read (link, 0);
  send_text (late, "GET /stream/ HTTP/1.1\r\n");
  csp_advance_fake_clock (&fixture.fake, 2600);
  send_text (link, ANSWER ("r1", "ok", "2"));
  text = read_until (caller, "ok");
  ck_assert_ptr_nonnull (strstr (text, " 200 "));
  ck_assert_ptr_nonnull (strstr (text, "Connection: close\r\n"));
  ck_assert (is_closed (caller));
  send_text (late, "Host: h\r\nKey: key-a\r\nRequest-Id: r2\r\n\r\n");
  text = read_until (late, "\r\n\r\n");
  ck_assert_ptr_nonnull (strstr (text, " 503 "));
  ck_assert_ptr_nonnull (strstr (text, "Retry-After: "));
  close (late);
  close (caller);
  close (link);
  close (engine);
  close (target);
}
END_TEST

/* A host is told to stop, and some callers still come to it.  A long text that
   it begins is cut when its process ends, though another host could have
   written it whole; a short one ends in time.  */
START_TEST (a_stop_leaves_long_streams_to_other_hosts)
{
  int engine = fixture_target (&fixture, "t-2", "engines");
  int long_one = caller_open (&fixture);
  int short_one = caller_open (&fixture);
  const char *text;
  int link;

  fixture_update (&fixture, CSP_UPDATE_STOP);
  fixture_settle (&fixture);
  send_text (long_one, "GET /stream/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
                       "Request-Id: r1\r\nTokens: 100,2000\r\n"
                       "Output-Hint: 900\r\n\r\n");
  text = read_until (long_one, "\r\n\r\n");
  ck_assert_ptr_nonnull (strstr (text, " 503 "));
  ck_assert_ptr_nonnull (strstr (text, "Retry-After: 0.05"));
  send_text (short_one, "GET /stream/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
                        "Request-Id: r2\r\nTokens: 100,2000\r\n"
                        "Output-Hint: 200\r\n\r\n");
  link = target_accept (engine);
  ck_assert_ptr_nonnull (strstr (target_read (link, 0), "Request-Id: r2\r\n"));
  close (long_one);
  close (short_one);
  close (link);
  close (engine);
}
END_TEST

static struct sockaddr_in own_peers;

/* Tell the gateway of loads, as another host would, and more often than it
   hears in one turn of its loop.  */
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
                                (struct sockaddr *)&own_peers,
                                sizeof own_peers),
                        (int)bytes.size_bytes);
      csp_clear_buffer (&bytes);
    }
  close (sender);
}

/* A host is stopped in order, and its connections are being closed, while
   others go on telling it their loads.  It crashed there: its process ended
   with a fault instead of in order.  */
START_TEST (a_datagram_at_the_end_of_a_stop_is_not_heard)
{
  fixture_t own = { .seed = NULL };

  own_peers = (struct sockaddr_in){ .sin_family = AF_INET,
                                    .sin_port = htons (8748) };
  /* A loopback address of this process.  */
  own_peers.sin_addr.s_addr
      = htonl (0x7f400000U | ((uint32_t)getpid () & 0x1fffff));
  fixture_open_at (&own, &own_peers);
  own.ended = send_datagrams;
  close (fixture_target (&own, "t-9", "engines"));
  fixture_close (&own);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("stop");
  TCase *tcase = tcase_create ("stop");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_stop_answers_what_it_can_and_refuses_the_rest);
  tcase_add_test (tcase, a_stop_leaves_long_streams_to_other_hosts);
  tcase_add_test (tcase, a_datagram_at_the_end_of_a_stop_is_not_heard);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
