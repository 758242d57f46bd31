#include "gateway/stream-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  SOUND_SILENCE_MS = 1400,
  SILENT_MS = 1500,
  NO_REQUEST_MS = 350 /* some ticks of the gateway */
};

/* Streams that break and continue at the engine with their backup.  */

/* An engine crashes while it writes an event.  The caller has received the
   events before it.  The engine that the run was backed up to continues after
   the last event sent; events that it repeats are dropped.  */
START_TEST (a_broken_stream_continues_from_its_backup)
{
  char expected[64];
  const char *text;
  int link;

  start_stream (true);
  send_chunk (stream.source_link, "id: 2\ndata: tw");
  reset_socket (stream.source_link);
  link = accept_target_connection (stream.listeners[1 - stream.source]);
  text = read_target_request (link, 2);
  snprintf (expected, sizeof expected, "Go-On-From: %s/r1\r\n",
            format_listener_address (stream.listeners[1 - stream.source]));
  ck_assert_msg (strstr (text, expected) != NULL, "%s", text);
  ck_assert_ptr_nonnull (strstr (text, "Last-Event-Id: 1\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "\r\n\r\nhi"));
  send_text (link, STREAM_HEAD);
  send_chunk (link, EVENT ("1", "one") EVENT ("2", "two"));
  text = read_until (stream.caller, "two\n\n");
  ck_assert_ptr_null (strstr (text, "one"));
  ck_assert_ptr_null (strstr (text, "HTTP/1.1"));
  finish_stream (link);
  close (link);
}
END_TEST

/* An engine crashes and the run has no backup.  The caller's stream is cut off
   so that the caller can tell it from a complete one, and no part of an event
   is forwarded.  */
START_TEST (a_broken_stream_without_a_backup_is_cut_off)
{
  const char *text;
  bool reset;

  start_stream (false);
  send_chunk (stream.source_link, "id: 2\ndata: tw");
  reset_socket (stream.source_link);
  text = read_to_end (stream.caller, &reset);
  ck_assert_ptr_null (strstr (text, "tw"));
  ck_assert_ptr_null (strstr (text, "0\r\n\r\n"));
}
END_TEST

/* The backup isn't at the other engine, which had no free memory for it.  That
   engine answers that it ran nothing, and the stream can't continue anywhere
   else.  */
START_TEST (a_stream_whose_backup_is_missing_is_cut_off)
{
  bool reset;
  int link;

  start_stream (true);
  reset_socket (stream.source_link);
  link = accept_target_connection (stream.listeners[1 - stream.source]);
  read_target_request (link, 2);
  send_text (link, "HTTP/1.1 503 No\r\nNot-Run: 1\r\n"
                   "Content-Length: 0\r\n\r\n");
  ck_assert_ptr_null (
      strstr (read_to_end (stream.caller, &reset), "0\r\n\r\n"));
  close (link);
}
END_TEST

/* The engine's machine loses power: no more data arrives and the connection
   stays open.  The caller would wait for seconds and then disconnect.  */
START_TEST (a_silent_stream_continues_from_its_backup)
{
  int link;

  start_stream (true);
  csp_advance_fake_clock (&stream.fixture.fake_clock, SILENT_MS);
  link = accept_target_connection (stream.listeners[1 - stream.source]);
  ck_assert_ptr_nonnull (
      strstr (read_target_request (link, 2), "Go-On-From: "));
  ck_assert (await_close (stream.source_link));
  close (stream.source_link);
  send_text (link, STREAM_HEAD);
  send_chunk (link, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  finish_stream (link);
  close (link);
}
END_TEST

/* Guards against a run that goes on at another engine while the first one,
   silent for a second, still works on it.  */
START_TEST (a_stream_stays_at_an_engine_that_was_silent_for_a_second)
{
  struct pollfd backup = { .events = POLLIN };

  start_stream (true);
  backup.fd = stream.listeners[1 - stream.source];
  csp_advance_fake_clock (&stream.fixture.fake_clock, SOUND_SILENCE_MS);
  ck_assert_int_eq (poll (&backup, 1, NO_REQUEST_MS), 0);
  send_chunk (stream.source_link, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  finish_stream (stream.source_link);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("stream");
  TCase *tcase = tcase_create ("stream");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, stream_set_up, stream_tear_down);
  tcase_add_test (tcase, a_broken_stream_continues_from_its_backup);
  tcase_add_test (tcase, a_broken_stream_without_a_backup_is_cut_off);
  tcase_add_test (tcase, a_stream_whose_backup_is_missing_is_cut_off);
  tcase_add_test (tcase, a_silent_stream_continues_from_its_backup);
  tcase_add_test (tcase,
                  a_stream_stays_at_an_engine_that_was_silent_for_a_second);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
