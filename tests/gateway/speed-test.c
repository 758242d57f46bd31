#include "gateway/stream-fixture.h"

#include "cowslipspoke/hash.h"
#include "cowslipspoke/roster.h"
#include "support/run-suite.h"

#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Speeds of engines: what a gateway measures at its streams and reports, and
   what it takes from other hosts' reports.  */

enum
{
  INTERVAL_MS = 30,
  INTERVAL_US = 30000,
  /* Time without an event that doesn't show the engine's speed.  */
  OTHER_MS = 400,
  INTERVALS = 16, /* after which the longest one is reported */
  ENGINES = 5,
  EVENT_BYTES = 16384,
  FRAME_BYTES = 64,
  BLOCKED_MS = 300
};

/* Receive reports until one has the longest interval.  Reports with only the
   usual one come before.  */
static void
expect_reported_speed (int peer_socket, const char *id)
{
  csp_peer_load_t load;

  do
    load = receive_load (peer_socket, id);
  while (load.longest_event_us == 0);
  ck_assert_uint_eq (load.event_us, INTERVAL_US);
  ck_assert_uint_eq (load.longest_event_us, INTERVAL_US);
}

static void
pass_time (int64_t time_ms)
{
  csp_advance_fake_clock (&stream.fixture.fake_clock, time_ms);
}

/* Send events from first to last, the given interval apart.  */
static void
run_events (int link, int first, int last)
{
  char event[64];
  int id;

  for (id = first; id <= last; id++)
    {
      pass_time (INTERVAL_MS);
      snprintf (event, sizeof event, "id: %d\ndata: e%d.\n\n", id, id);
      send_chunk (link, event);
      snprintf (event, sizeof event, "e%d.\n\n", id);
      read_until (stream.caller, event);
    }
}

/* Guards against speeds that aren't reported while nothing else changes.  */
START_TEST (a_stream_shows_its_engines_speed)
{
  int peer_socket = open_peer_host ();

  start_stream (false);
  while (receive_load (peer_socket, "t-0").movable_tokens == 0)
    continue;
  run_events (stream.source_link, 2, 2 + INTERVALS);
  expect_reported_speed (peer_socket, "t-0");
  finish_stream (stream.source_link);
  close (stream.source_link);
  close (peer_socket);
}
END_TEST

/* Guards against the pause of a stream's move counting as an engine's.  */
START_TEST (a_move_is_not_an_interval)
{
  int peer_socket = open_peer_host ();
  int other;
  int link;

  start_stream (true);
  other = 1 - stream.source;
  pass_time (OTHER_MS);
  reset_socket (stream.source_link);
  link = accept_target_connection (stream.listeners[other]);
  read_target_request (link, 2);
  send_text (link, STREAM_HEAD);
  pass_time (OTHER_MS);
  run_events (link, 2, 2 + INTERVALS);
  expect_reported_speed (peer_socket, stream_engine_ids[other]);
  finish_stream (link);
  close (link);
  close (peer_socket);
}
END_TEST

/* An event as a chunk.  Returns its length.  */
static size_t
write_large_event (char chunk[EVENT_BYTES])
{
  static char text[EVENT_BYTES - FRAME_BYTES];

  memset (text, 'x', sizeof text - 1);
  return (size_t)snprintf (chunk, EVENT_BYTES, "%zx\r\ndata: %s\n\n\r\n",
                           sizeof text - 1 + strlen ("data: \n\n"), text);
}

/* Send large events to a caller that doesn't read until the gateway takes no
   more.  Returns how many bytes of the last one are sent.  */
static size_t
fill_until_blocked (int link, const char *chunk, size_t chunk_bytes)
{
  struct pollfd writable = { .fd = link, .events = POLLOUT };
  size_t sent_bytes = 0;

  while (poll (&writable, 1, BLOCKED_MS) == 1)
    {
      ssize_t wrote = send (link, chunk + sent_bytes, chunk_bytes - sent_bytes,
                            MSG_DONTWAIT | MSG_NOSIGNAL);

      if (wrote > 0)
        sent_bytes = (sent_bytes + (size_t)wrote) % chunk_bytes;
    }
  return sent_bytes;
}

/* Guards against a slow caller that makes an engine look slow.  */
START_TEST (a_caller_that_holds_back_is_not_an_interval)
{
  int peer_socket = open_peer_host ();
  static char chunk[EVENT_BYTES];
  static char read_bytes[EVENT_BYTES];
  size_t chunk_bytes = write_large_event (chunk);
  size_t sent_bytes;
  struct pollfd readable;

  start_stream (false);
  readable = (struct pollfd){ .fd = stream.caller, .events = POLLIN };
  sent_bytes = fill_until_blocked (stream.source_link, chunk, chunk_bytes);
  pass_time (OTHER_MS);
  while (poll (&readable, 1, BLOCKED_MS) == 1)
    ck_assert_int_gt (recv (stream.caller, read_bytes, EVENT_BYTES, 0), 0);
  if (sent_bytes > 0)
    send_bytes (stream.source_link, chunk + sent_bytes,
                chunk_bytes - sent_bytes);
  run_events (stream.source_link, 2, 2 + INTERVALS);
  expect_reported_speed (peer_socket, "t-0");
  finish_stream (stream.source_link);
  close (stream.source_link);
  close (peer_socket);
}
END_TEST

/* List further engines and report the loads of all: engines t-1 and t-2
   take twice the median.  */
static void
report_engines (int listeners[ENGINES], const uint32_t requests[ENGINES],
                uint64_t other_tokens)
{
  csp_hello_t hello
      = { .boot = 1, .sequence = 1, .leaving = true, .load_count = ENGINES };
  size_t i;

  for (i = 0; i < ENGINES; i++)
    {
      char id[CSP_TARGET_ID_BYTES];

      snprintf (id, sizeof id, "t-%zu", i);
      listeners[i]
          = i == 0 ? -1 : fixture_add_target (&stream.fixture, id, "engines");
      hello.loads[i]
          = (csp_peer_load_t){ .target = csp_hash_pair ("target", id),
                               .requests = requests[i],
                               .tokens = i > 1 ? other_tokens : 0,
                               .event_us = i == 1 || i == 2 ? 2 * INTERVAL_US
                                                            : INTERVAL_US,
                               .longest_event_us = 2 * INTERVAL_US };
    }
  fixture_await_updates (&stream.fixture);
  send_hello (&hello);
  await_metric ("cowslipspoke_gateway_peers 1\n");
}

static void
close_engines (const int listeners[ENGINES])
{
  size_t i;

  close (stream.source_link);
  for (i = 1; i < ENGINES; i++)
    close (listeners[i]);
}

/* Guards against reports of other hosts that aren't merged: a stream goes to
   t-0 although that runs another and t-1 doesn't.  */
START_TEST (reports_of_other_hosts_rate_engines)
{
  static const uint32_t requests[ENGINES] = { 1, 0, 1, 1, 1 };
  int listeners[ENGINES];

  report_engines (listeners, requests, 99000);
  start_stream (false);
  await_metric ("cowslipspoke_gateway_target_slowness{target=\"t-1\"} 2.00\n"
                "cowslipspoke_gateway_target_slowness{target=\"t-2\"} 2.00\n"
                "# TYPE cowslipspoke_gateway_slow_targets gauge\n"
                "cowslipspoke_gateway_slow_targets 2\n");
  await_metric ("cowslipspoke_gateway_service_stretch{service=\"engines\"}"
                " 2.00\n");
  finish_stream (stream.source_link);
  close_engines (listeners);
}
END_TEST

/* Guards against the host's uptime counting as the time that a run takes: a
   short run is backed up at the slow engine, which is idle, since the others
   run ten streams each.  */
START_TEST (a_short_run_may_have_its_backup_at_a_slow_engine)
{
  static const uint32_t requests[ENGINES] = { 0, 0, 10, 10, 10 };
  char backup[64];
  int listeners[ENGINES];
  const char *text;

  report_engines (listeners, requests, 0);
  stream.caller = open_caller (&stream.fixture);
  send_text (stream.caller,
             "POST /stream/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
             "Request-Id: r1\r\nTime-Left: 30000\r\nTokens: 100,2000\r\n"
             "Output-Hint: 10\r\nContent-Length: 2\r\n\r\nhi");
  stream.source_link = accept_target_connection (stream.listeners[0]);
  text = read_target_request (stream.source_link, 2);
  snprintf (backup, sizeof backup, "Backup: %s\r\n",
            format_listener_address (listeners[1]));
  ck_assert_msg (strstr (text, backup) != NULL, "no %s in %s", backup, text);
  close_engines (listeners);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway speed");
  TCase *tcase = tcase_create ("gateway speed");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, stream_set_up, stream_tear_down);
  tcase_add_test (tcase, a_stream_shows_its_engines_speed);
  tcase_add_test (tcase, a_move_is_not_an_interval);
  tcase_add_test (tcase, a_caller_that_holds_back_is_not_an_interval);
  tcase_add_test (tcase, reports_of_other_hosts_rate_engines);
  tcase_add_test (tcase, a_short_run_may_have_its_backup_at_a_slow_engine);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
