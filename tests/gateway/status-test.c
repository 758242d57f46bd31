#include "gateway/stream-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Targets that answer with a status that no answer can have.  */

enum
{
  ANSWER_BYTES = 200,
  UNHEARD_MS = 400 /* a report is asked for */
};

static const char *const odd_statuses[]
    = { "000", "0", "20", "020", "099", "0200", "2000", "600", "999", "101" };

enum
{
  ODD_COUNT = sizeof odd_statuses / sizeof odd_statuses[0],
  PATHS = 2
};

static const char *
format_odd_answer (const char *status, bool with_body)
{
  static char text[ANSWER_BYTES];

  snprintf (text, sizeof text,
            "HTTP/1.1 %s Odd\r\nRequest-Id: r1\r\nSignature: s\r\n"
            "Content-Length: %s",
            status, with_body ? "6\r\n\r\nstrange" : "0\r\n\r\n");
  return text;
}

/* Guards against an answer with such a status that reaches the caller, or that
   the caller waits behind: the target has failed, its connection ends, and a
   request that may be repeated is served elsewhere.  */
START_TEST (an_answer_with_an_odd_status_is_none)
{
  const char *status = odd_statuses[_i % ODD_COUNT];
  bool with_body = _i / ODD_COUNT % 2 == 1;
  bool may_repeat = _i / ODD_COUNT / 2 == 1;
  int target = fixture_add_target (&stream.fixture, "p-0", "plain");
  int caller = send_plain_request (may_repeat ? "/safe/" : "/once/");
  int link = accept_target_connection (target);
  int other = fixture_add_target (&stream.fixture, "p-1", "plain");
  const char *text;
  int second;

  read_target_request (link, 0);
  send_text (link, format_odd_answer (status, with_body));
  ck_assert (await_close (link));
  if (may_repeat)
    {
      second = accept_target_connection (other);
      read_target_request (second, 0);
      send_text (second, ANSWER ("r1", "whole", "5"));
      text = read_until (caller, "\r\n\r\nwhole");
      close (second);
    }
  else
    text = read_until (caller, "\r\n\r\n");
  ck_assert_msg (strstr (text, may_repeat ? " 200 " : " 502 ") != NULL,
                 "%s: %s", status, text);
  ck_assert_ptr_null (strstr (text, "strange"));
  close (link);
  close (target);
  close (other);
  close (caller);
}
END_TEST

/* Guards against a run beside that of an engine whose answer to a stop has
   such a status, which a reader of numbers takes for 404.  */
START_TEST (a_stop_with_an_odd_status_proves_nothing)
{
  int resumed;

  start_stream (true);
  reset_socket (stream.source_link);
  answer_run_check (stream.source, "last=1",
                    "HTTP/1.1 0404 No\r\nContent-Length: 0\r\n\r\n");
  expect_no_request (1 - stream.source);
  answer_run_check (stream.source, "last=1", RUN_NOT_FOUND);
  resumed = accept_target_connection (stream.listeners[1 - stream.source]);
  ck_assert_ptr_nonnull (
      strstr (read_target_request (resumed, 2), "Last-Event-Id: 1\r\n"));
  send_text (resumed, STREAM_HEAD);
  send_chunk (resumed, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  finish_stream (resumed);
  close (resumed);
}
END_TEST

/* Guards against an engine that is taken for leaving by a report with such a
   status.  */
START_TEST (a_report_with_an_odd_status_is_none)
{
  int report;

  start_stream (false);
  csp_advance_fake_clock (&stream.fixture.fake_clock, UNHEARD_MS);
  report = accept_past_reports (stream.source, "/report");
  send_text (report, "HTTP/1.1 0200 OK\r\nLeaving: 1\r\n"
                     "Content-Length: 7\r\n\r\nleaving");
  ck_assert (await_close (report));
  fixture_await_updates (&stream.fixture);
  ck_assert_ptr_nonnull (strstr (
      fixture_get_page (&stream.fixture, "/metrics"), "targets_left_total 0"));
  finish_stream (stream.source_link);
  close (report);
  close (stream.source_link);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("status");
  TCase *tcase = tcase_create ("status");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, stream_set_up, stream_tear_down);
  tcase_add_loop_test (tcase, an_answer_with_an_odd_status_is_none, 0,
                       2 * ODD_COUNT * PATHS);
  tcase_add_test (tcase, a_stop_with_an_odd_status_proves_nothing);
  tcase_add_test (tcase, a_report_with_an_odd_status_is_none);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
