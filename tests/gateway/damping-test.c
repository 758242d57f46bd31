#include "gateway/stream-fixture.h"

#include "cowslipspoke/hash.h"
#include "cowslipspoke/roster.h"
#include "support/run-suite.h"

#include <check.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Attempts that a gateway loses at engines, and what other hosts report.  */

enum
{
  WAIT_S = 5,
  DAMPED_MS = 1000,
  FULL_REPORT_MS = 1000,
  RESERVED_MS = 40, /* a placement isn't counted twice any more */
  FAILED_AGO_MS = 200,
  PLACING_STEPS = 5, /* in which a request is placed for certain */
  OLD_LOSSES = 33,
  OLD_MS = 20000,
  FULL_TOKENS = 1000000000
};

#define SHORT_REQUEST                                                         \
  "GET /stream/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\nRequest-Id: r1\r\n"      \
  "Time-Left: 30000\r\nTokens: 100,10\r\n\r\n"

static int peer; /* socket of a host that gets the gateway's loads */
static uint64_t peer_sequence;

static void
send_peer_hello (csp_hello_t *hello)
{
  csp_buffer_t bytes = { 0 };

  hello->boot = 1;
  hello->sequence = ++peer_sequence;
  ck_assert (csp_encode_hello (hello, &bytes));
  ck_assert_int_gt (sendto (peer, bytes.data, bytes.size_bytes, 0,
                            (struct sockaddr *)&stream.datagram_address,
                            sizeof stream.datagram_address),
                    0);
  csp_clear_buffer (&bytes);
}

static void
set_up (void)
{
  csp_hello_t hello = { .capacity = 0 };
  struct timeval wait = { .tv_sec = WAIT_S };

  stream_set_up ();
  peer = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  peer_sequence = 0;
  setsockopt (peer, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  send_peer_hello (&hello);
  await_metric ("cowslipspoke_gateway_peers 1\n");
}

static void
tear_down (void)
{
  close (peer);
  stream_tear_down ();
}

static void
receive_hello (csp_hello_t *hello)
{
  char datagram[CSP_HELLO_MAX_BYTES];
  ssize_t size_bytes = recv (peer, datagram, sizeof datagram, 0);

  ck_assert_int_gt (size_bytes, 0);
  ck_assert (csp_decode_hello (datagram, (size_t)size_bytes, hello));
}

/* Receive reports until one has this many requests under way at the engine.
 */
static csp_peer_load_t
receive_own_load (uint32_t requests)
{
  csp_hello_t hello = { .load_count = 0 };

  while (hello.load_count == 0 || hello.loads[0].requests != requests)
    receive_hello (&hello);
  return hello.loads[0];
}

/* How the only attempt ends: an answer, and whether the engine then closes or
   resets its connection.  */
static const struct
{
  const char *answer;
  bool resets;
  bool leaves;
  uint32_t failures;
} endings[] = {
  { "", true, false, 1 },
  { "", false, false, 1 },
  { STREAM_HEAD "5\r\nid: 1", true, false, 1 },
  { STREAM_HEAD "0\r\n\r\n", false, false, 0 },
  { "", true, true, 0 },
  { "HTTP/1.1 500 No\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\n", true,
    false, 0 },
  { "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", false, false, 0 },
  { "what is no answer\r\n\r\n", false, false, 0 },
};

/* Guards against losses that hosts don't tell each other or a new decider, and
   against those that aren't the engine's fault.  */
START_TEST (lost_attempts_are_reported)
{
  csp_peer_load_t load;
  int link;

  stream.caller = open_caller (&stream.fixture);
  send_text (stream.caller, REQUEST ("/stream/", "r1"));
  link = accept_target_connection (stream.listeners[0]);
  read_target_request (link, 0);
  receive_own_load (1);
  if (endings[_i].leaves)
    fixture_mark_leaving (&stream.fixture, stream.listeners[0], "t-0",
                          "engines");
  fixture_await_updates (&stream.fixture);
  send_text (link, endings[_i].answer);
  if (endings[_i].resets)
    reset_socket (link);
  else
    close (link);
  ck_assert_uint_eq (receive_own_load (0).failures, endings[_i].failures);
  if (endings[_i].failures == 0)
    return;
  /* A full report repeats it, though nothing is under way there.  */
  csp_advance_fake_clock (&stream.fixture.fake_clock, FULL_REPORT_MS);
  load = receive_own_load (0);
  ck_assert_uint_eq (load.failures, endings[_i].failures);
  ck_assert_uint_ge (load.failure_age_ms, FULL_REPORT_MS);
}
END_TEST

/* Guards against refused connections that aren't counted.  */
START_TEST (refused_connections_are_reported)
{
  csp_peer_load_t load;

  close (stream.listeners[0]);
  stream.listeners[0] = -1;
  stream.caller = open_caller (&stream.fixture);
  send_text (stream.caller, REQUEST ("/stream/", "r1"));
  load = receive_own_load (0);
  ck_assert_uint_eq (load.target, csp_hash_pair ("target", "t-0"));
  ck_assert_uint_eq (load.failures, 1);
}
END_TEST

/* Report old losses at other targets, more than the loads that a gateway
   remembers of a report.  */
static void
report_old_losses (void)
{
  csp_hello_t hello = { .load_count = CSP_HELLO_LOADS_MAX };
  uint64_t target = 0;
  size_t i;

  while (target < OLD_LOSSES)
    {
      for (i = 0; i < CSP_HELLO_LOADS_MAX; i++)
        hello.loads[i] = (csp_peer_load_t){ .target = ++target,
                                            .failures = 1,
                                            .failure_age_ms = OLD_MS };
      send_peer_hello (&hello);
    }
}

/* Report the peer's load, and wait until the gateway has applied it.  */
static void
report_peer_load (uint32_t failures, uint32_t requests)
{
  csp_hello_t hello = { .reply_requested = true,
                        .load_count = 1,
                        .loads = { { .target = csp_hash_pair ("target", "t-0"),
                                     .requests = requests,
                                     .failures = failures,
                                     .failure_age_ms = FAILED_AGO_MS } } };

  send_peer_hello (&hello);
  do
    receive_hello (&hello);
  while (hello.reply_requested || hello.is_full_report
         || hello.load_count > 0);
}

/* Report a load that leaves no capacity at an engine.  */
static void
fill_engine (const char *id)
{
  csp_hello_t hello = { .load_count = 1,
                        .loads = { { .target = csp_hash_pair ("target", id),
                                     .requests = 1,
                                     .tokens = FULL_TOKENS } } };

  send_peer_hello (&hello);
}

/* Guards against an engine that is filled again after two hosts have lost
   attempts there, and against a probation that other hosts' successes don't
   ease.  */
START_TEST (losses_of_two_hosts_damp_an_engine)
{
  csp_fake_clock_t *clock = &stream.fixture.fake_clock;
  int callers[3];
  int links[3];
  size_t i;

  start_stream (false);
  report_old_losses ();
  report_peer_load (1, 0);
  reset_socket (stream.source_link);
  await_metric ("cowslipspoke_gateway_damped_targets 1\n");
  await_metric ("cowslipspoke_gateway_dampings_total 1\n");
  add_second_engine ();
  for (i = 0; i < 3; i++)
    {
      csp_advance_fake_clock (clock, RESERVED_MS);
      callers[i] = open_caller (&stream.fixture);
      send_text (callers[i], SHORT_REQUEST);
      links[i] = accept_target_connection (stream.listeners[i == 0 ? 1 : 0]);
      if (i > 0)
        continue;
      fill_engine ("t-1");
      csp_advance_fake_clock (clock, DAMPED_MS);
      await_metric ("cowslipspoke_gateway_probation_targets 1\n");
      /* A loss before the probation, and a request that is served.  */
      report_peer_load (2, 1);
      report_peer_load (2, 0);
      /* More than any host can serve takes no longer than usual.  */
      report_peer_load (2, UINT32_MAX);
      report_peer_load (2, 0);
    }
  csp_advance_fake_clock (clock, DAMPED_MS);
  await_metric ("cowslipspoke_gateway_probation_targets 0\n");
  await_metric ("cowslipspoke_gateway_damped_targets 0\n");
  for (i = 0; i < 3; i++)
    {
      close (callers[i]);
      close (links[i]);
    }
}
END_TEST

/* Guards against a host with most of the requests that goes on losing them at
   an engine where no other host has lost one.  */
START_TEST (a_host_backs_off_an_engine_that_fails_again)
{
  csp_fake_clock_t *clock = &stream.fixture.fake_clock;
  int lost = open_caller (&stream.fixture);
  int caller = open_caller (&stream.fixture);
  int link;
  int i;

  start_stream (false);
  close (stream.source_link);
  ck_assert (await_close (stream.caller));
  csp_advance_fake_clock (clock, RESERVED_MS);
  send_text (lost, REQUEST ("/stream/", "r2"));
  link = accept_target_connection (stream.listeners[0]);
  read_target_request (link, 0);
  add_second_engine ();
  close (link);
  read_until (lost, " 502 ");
  fill_engine ("t-1");
  await_metric ("cowslipspoke_gateway_peers 1\n");
  csp_advance_fake_clock (clock, RESERVED_MS);
  send_text (caller, SHORT_REQUEST);
  for (i = 0; i < PLACING_STEPS; i++)
    {
      await_metric ("cowslipspoke_gateway_dispatch_waiting{traffic_class="
                    "\"regular\"} 1\n");
      csp_advance_fake_clock (clock, RESERVED_MS);
    }
  csp_advance_fake_clock (clock, DAMPED_MS);
  link = accept_target_connection (stream.listeners[0]);
  close (link);
  close (lost);
  close (caller);
}
END_TEST

/* Guards against a host with most of the requests that sends several to an
   engine which has just lost some, before the first of them fails.  */
START_TEST (engine_gets_one_request_at_a_time_behind_a_loss)
{
  csp_fake_clock_t *clock = &stream.fixture.fake_clock;
  int trial = open_caller (&stream.fixture);
  int caller = open_caller (&stream.fixture);
  int link;

  start_stream (false);
  add_second_engine ();
  close (stream.source_link);
  ck_assert (await_close (stream.caller));
  fill_engine ("t-1");
  await_metric ("cowslipspoke_gateway_peers 1\n");
  csp_advance_fake_clock (clock, RESERVED_MS);
  send_text (trial, REQUEST ("/stream/", "r2"));
  stream.source_link = accept_target_connection (stream.listeners[0]);
  read_target_request (stream.source_link, 0);
  csp_advance_fake_clock (clock, RESERVED_MS);
  send_text (caller, SHORT_REQUEST);
  await_metric ("cowslipspoke_gateway_dispatch_waiting{traffic_class="
                "\"regular\"} 1\n");
  csp_advance_fake_clock (clock, RESERVED_MS);
  await_metric ("cowslipspoke_gateway_dispatch_waiting{traffic_class="
                "\"regular\"} 1\n");
  send_text (stream.source_link, STREAM_HEAD);
  read_until (trial, "\r\n\r\n");
  csp_advance_fake_clock (clock, DAMPED_MS);
  link = accept_target_connection (stream.listeners[0]);
  close (link);
  close (trial);
  close (caller);
}
END_TEST

enum
{
  CUT_TARGETS = 4
};

/* Guards against a host that has lost its own paths to all engines and makes
   the decider take them from all hosts.  */
START_TEST (host_without_paths_reports_no_losses)
{
  csp_hello_t hello = { .load_count = 0 };
  uint32_t failures = 0;
  int refusing[CUT_TARGETS];
  size_t i;

  fixture_remove_target (&stream.fixture, stream_engine_ids[0]);
  for (i = 0; i < CUT_TARGETS; i++)
    {
      char id[] = "cut-0";

      id[4] = (char)('0' + i);
      refusing[i] = fixture_add_target (&stream.fixture, id, "engines");
      shutdown (refusing[i], SHUT_RDWR);
    }
  stream.caller = open_caller (&stream.fixture);
  send_text (stream.caller, REQUEST ("/stream/", "r1"));
  ck_assert_ptr_nonnull (
      strstr (read_until (stream.caller, "\r\n\r\n"), " 503 "));
  csp_advance_fake_clock (&stream.fixture.fake_clock, FULL_REPORT_MS);
  while (!hello.is_full_report || hello.load_count == 0)
    receive_hello (&hello);
  for (i = 0; i < hello.load_count; i++)
    failures += hello.loads[i].failures;
  ck_assert_uint_eq (failures, 1);
  for (i = 0; i < CUT_TARGETS; i++)
    close (refusing[i]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway damping");
  TCase *tests = tcase_create ("engines");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_loop_test (tests, lost_attempts_are_reported, 0,
                       sizeof endings / sizeof endings[0]);
  tcase_add_test (tests, refused_connections_are_reported);
  tcase_add_test (tests, host_without_paths_reports_no_losses);
  tcase_add_test (tests, losses_of_two_hosts_damp_an_engine);
  tcase_add_test (tests, a_host_backs_off_an_engine_that_fails_again);
  tcase_add_test (tests, engine_gets_one_request_at_a_time_behind_a_loss);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
