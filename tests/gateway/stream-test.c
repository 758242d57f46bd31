#include "gateway/stream-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Streams that break, and go on where their backup lies.  */

/* An engine dies while it writes an event.  The caller has the events before
   it; the run's memory lies at the engine it was backed up to, which goes on
   behind the last event that was sent.  What it sends again is dropped.  */
START_TEST (a_broken_stream_goes_on_from_its_backup)
{
  char copy[64];
  const char *text;
  int link;

  start_stream (true);
  send_chunk (stream.link_from, "id: 2\ndata: tw");
  reset_socket (stream.link_from);
  link = target_accept (stream.listeners[1 - stream.from]);
  text = target_read (link, 2);
  snprintf (copy, sizeof copy, "Go-On-From: 127.0.0.1:%u/r1\r\n",
            port_of (stream.listeners[1 - stream.from]));
  ck_assert_msg (strstr (text, copy) != NULL, "%s", text);
  ck_assert_ptr_nonnull (strstr (text, "Last-Event-Id: 1\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "\r\n\r\nhi"));
  send_text (link, STREAM_HEAD);
  send_chunk (link, EVENT ("1", "one") EVENT ("2", "two"));
  text = read_until (stream.caller, "two\n\n");
  ck_assert_ptr_null (strstr (text, "one"));
  ck_assert_ptr_null (strstr (text, "HTTP/1.1"));
  finish_at (link);
  close (link);
}
END_TEST

/* The same without a backup: the caller's stream is cut in a way that it can
   tell from an end, and no piece of an event was passed on.  */
START_TEST (a_broken_stream_without_a_copy_is_cut)
{
  const char *text;
  bool reset;

  start_stream (false);
  send_chunk (stream.link_from, "id: 2\ndata: tw");
  reset_socket (stream.link_from);
  text = read_to_end (stream.caller, &reset);
  ck_assert_ptr_null (strstr (text, "tw"));
  ck_assert_ptr_null (strstr (text, "0\r\n\r\n"));
}
END_TEST

/* The copy at the other engine had no room and isn't there.  The engine says
   that it ran nothing, and there is no other way to go on.  */
START_TEST (a_stream_whose_copy_is_missing_is_cut)
{
  bool reset;
  int link;

  start_stream (true);
  reset_socket (stream.link_from);
  link = target_accept (stream.listeners[1 - stream.from]);
  target_read (link, 2);
  send_text (link, "HTTP/1.1 503 No\r\nNot-Run: 1\r\n"
                   "Content-Length: 0\r\n\r\n");
  ck_assert_ptr_null (
      strstr (read_to_end (stream.caller, &reset), "0\r\n\r\n"));
  close (link);
}
END_TEST

/* The engine's machine lost power: nothing comes any more and the connection
   stays open.  The caller would wait for seconds and then leave.  */
START_TEST (a_silent_stream_goes_on_from_its_backup)
{
  int link;

  start_stream (true);
  csp_advance_fake_clock (&stream.fixture.fake, 1000);
  link = target_accept (stream.listeners[1 - stream.from]);
  ck_assert_ptr_nonnull (strstr (target_read (link, 2), "Go-On-From: "));
  ck_assert (is_closed (stream.link_from));
  close (stream.link_from);
  send_text (link, STREAM_HEAD);
  send_chunk (link, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  finish_at (link);
  close (link);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("stream");
  TCase *tcase = tcase_create ("stream");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, stream_set_up, stream_tear_down);
  tcase_add_test (tcase, a_broken_stream_goes_on_from_its_backup);
  tcase_add_test (tcase, a_broken_stream_without_a_copy_is_cut);
  tcase_add_test (tcase, a_stream_whose_copy_is_missing_is_cut);
  tcase_add_test (tcase, a_silent_stream_goes_on_from_its_backup);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
