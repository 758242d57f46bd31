#include "gateway/stream-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Targets that send bytes which are no answer, without an end.  The gateway
   ends the connection, keeps little of it, and serves the caller elsewhere or
   says at once what became of the request.  */

enum
{
  /* What the gateway keeps is far less; the rest is in the kernel's buffers.
   */
  FLOOD_MAX_BYTES = 16777216,
  PIECE_BYTES = 16384,
  DRIP_MS = 20,
  DRIPS_MAX = 200,
  SILENT_MS = 1600,
  UNHEARD_MS = 400, /* a report is asked for, a left run is stopped */
  MEMORY_MAX_KB = 16384
};

#define SUCCESS_HEAD(id)                                                      \
  "HTTP/1.1 200 OK\r\nRequest-Id: " id "\r\nSignature: s\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define ERROR_HEAD "HTTP/1.1 500 No\r\nRequest-Id: r1\r\n"

static long
used_memory_kb (void)
{
  FILE *file = fopen ("/proc/self/statm", "r");
  long pages = 0;

  ck_assert_ptr_nonnull (file);
  ck_assert_int_eq (fscanf (file, "%*s %ld", &pages), 1);
  fclose (file);
  return pages * (sysconf (_SC_PAGESIZE) / 1024);
}

/* Send a text over and over until the gateway closes the connection, while
   its memory stays as it is.  */
static void
flood (int link, const char *text)
{
  long before_kb = used_memory_kb ();
  char piece[PIECE_BYTES];
  size_t text_bytes = strlen (text);
  size_t piece_bytes = sizeof piece - sizeof piece % text_bytes;
  size_t sent_bytes = 0;
  ssize_t sent = 0;
  size_t i;

  for (i = 0; i < piece_bytes; i++)
    piece[i] = text[i % text_bytes];
  while (sent_bytes < FLOOD_MAX_BYTES && sent >= 0)
    {
      sent = send (link, piece, piece_bytes, MSG_NOSIGNAL);
      if (sent > 0)
        sent_bytes += (size_t)sent;
    }
  ck_assert_msg (sent < 0 && errno != EAGAIN, "%zu bytes, %s", sent_bytes,
                 strerror (errno));
  ck_assert_int_lt (used_memory_kb () - before_kb, MEMORY_MAX_KB);
}

/* Send byte by byte until the gateway closes the connection.  */
static void
trickle (int link)
{
  struct pollfd row = { .fd = link, .events = POLLIN };
  int drips = 0;

  while (poll (&row, 1, DRIP_MS) == 0 && drips++ < DRIPS_MAX)
    send (link, "x", 1, MSG_NOSIGNAL);
  ck_assert_int_lt (drips, DRIPS_MAX);
}

typedef enum
{
  SERVED_ELSEWHERE,
  TOLD_FAILED /* 502: it may have run */
} outcome_t;

static const struct
{
  const char *path;
  const char *begin;
  const char *rest; /* over and over */
  outcome_t outcome;
} floods[] = {
  /* In a head: one line, fields, interim answers, no answer at all.  */
  { "/safe/", "HTTP/1.1 200 ", "x", SERVED_ELSEWHERE },
  { "/safe/", "HTTP/1.1 200 OK\r\n", "Field: x\r\n", SERVED_ELSEWHERE },
  { "/safe/", "", "HTTP/1.1 103 Hints\r\n\r\n", SERVED_ELSEWHERE },
  { "/safe/", "", "\x01", SERVED_ELSEWHERE },
  { "/once/", "HTTP/1.1 200 OK\r\n", "Field: x\r\n", TOLD_FAILED },
  { "/once/", "", "HTTP/1.1 103 Hints\r\n\r\n", TOLD_FAILED },
  /* In a body: a size, an extension, trailers, an error's body.  */
  { "/safe/", SUCCESS_HEAD ("r1") CHUNKED, "0", SERVED_ELSEWHERE },
  { "/safe/", SUCCESS_HEAD ("r1") CHUNKED "5;", "x", SERVED_ELSEWHERE },
  { "/safe/", SUCCESS_HEAD ("r1") CHUNKED "0\r\n", "Field: x\r\n",
    SERVED_ELSEWHERE },
  { "/safe/", ERROR_HEAD "\r\n", "x", SERVED_ELSEWHERE },
  { "/once/", ERROR_HEAD "\r\n", "x", TOLD_FAILED },
  { "/once/", ERROR_HEAD CHUNKED, "1\r\nx\r\n", TOLD_FAILED },
  { "/safe/", "HTTP/1.1 503 No\r\nNot-Run: 1\r\n\r\n", "x", SERVED_ELSEWHERE },
};

static void
expect_outcome (int caller, int other, outcome_t outcome)
{
  const char *text;
  int link;

  if (outcome == SERVED_ELSEWHERE)
    {
      link = accept_target_connection (other);
      read_target_request (link, 0);
      send_text (link, ANSWER ("r1", "whole", "5"));
      text = read_until (caller, "\r\n\r\nwhole");
      close (link);
    }
  else
    text = read_until (caller, "\r\n\r\n");
  ck_assert_msg (strstr (text, outcome == SERVED_ELSEWHERE ? " 200 " : " 502 ")
                     != NULL,
                 "%.200s", text);
  ck_assert_ptr_null (strstr (text, "xxxx"));
}

/* Guards against a host whose memory and time go to a target that floods it,
   and against callers that get such bytes, or wait for their deadline.  */
START_TEST (a_flood_in_place_of_an_answer_is_cut_off)
{
  int target = fixture_add_target (&stream.fixture, "p-0", "plain");
  int caller = send_plain_request (floods[_i].path);
  int link = accept_target_connection (target);
  int other = fixture_add_target (&stream.fixture, "p-1", "plain");

  read_target_request (link, 0);
  send_text (link, floods[_i].begin);
  flood (link, floods[_i].rest);
  expect_outcome (caller, other, floods[_i].outcome);
  close (link);
  close (target);
  close (other);
  close (caller);
}
END_TEST

/* Guards against a caller that waits for its deadline while a target sends the
   head of an answer byte by byte.  */
START_TEST (a_head_that_trickles_is_given_up)
{
  int target = fixture_add_target (&stream.fixture, "p-0", "plain");
  int caller = send_plain_request ("/once/");
  int link = accept_target_connection (target);

  read_target_request (link, 0);
  send_text (link, "HTTP/1.1 200 OK\r\n");
  trickle (link);
  expect_outcome (caller, -1, TOLD_FAILED);
  close (link);
  close (target);
  close (caller);
}
END_TEST

/* In a stream, behind its first event: an event without an end, events without
   data, and the same in the second chunk's framing.  */
static const char *const stream_floods[]
    = { "8\r\nxxxxxxxx\r\n", "3\r\n:\n\n\r\n", "0" };

static void
expect_resume (int engine)
{
  int link = accept_target_connection (stream.listeners[engine]);
  const char *text = read_target_request (link, 2);

  ck_assert_ptr_nonnull (strstr (text, "Go-On-From: "));
  ck_assert_ptr_nonnull (strstr (text, "Last-Event-Id: 1\r\n"));
  send_text (link, STREAM_HEAD);
  send_chunk (link, EVENT ("2", "two"));
  ck_assert_ptr_null (strstr (read_until (stream.caller, "two\n\n"), "xxxx"));
  finish_stream (link);
  close (link);
}

/* Guards against a stream that is failed although it has a backup, and against
   a run that goes on at the flooding engine.  */
START_TEST (a_flood_in_a_stream_goes_on_elsewhere)
{
  start_stream (true);
  flood (stream.source_link, stream_floods[_i]);
  answer_run_check (stream.source, "last=1", RUN_NOT_FOUND);
  expect_resume (1 - stream.source);
}
END_TEST

/* Guards against a stream whose engine is taken for alive by bytes that are no
   events.  */
START_TEST (a_stream_that_trickles_is_silent)
{
  static const char *const drips[] = { "id: 2\ndata: x", ": comment\n\n" };

  start_stream (true);
  csp_advance_fake_clock (&stream.fixture.fake_clock, SILENT_MS / 2);
  send_chunk (stream.source_link, drips[_i]);
  fixture_await_updates (&stream.fixture);
  csp_advance_fake_clock (&stream.fixture.fake_clock, SILENT_MS / 2);
  answer_run_check (stream.source, "last=1", RUN_NOT_FOUND);
  expect_resume (1 - stream.source);
  close (stream.source_link);
}
END_TEST

/* Guards against a move whose answer fills the host's memory; the stream goes
   on at its engine meanwhile.  */
START_TEST (a_flood_in_the_answer_to_a_copy_is_cut_off)
{
  int move_link;

  start_stream (false);
  add_second_engine ();
  fixture_mark_leaving (&stream.fixture, stream.listeners[0],
                        stream_engine_ids[0], "engines");
  move_link = accept_target_connection (stream.listeners[0]);
  read_target_request (move_link, 0);
  send_text (move_link, "HTTP/1.1 200 OK\r\n\r\n");
  flood (move_link, "x");
  send_chunk (stream.source_link, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  finish_stream (stream.source_link);
  close (move_link);
  close (stream.source_link);
}
END_TEST

static const struct
{
  const char *begin;
  bool trickles;
  bool proves_end; /* by its status */
} endless_stops[] = { { "HTTP/1.1 200 OK\r\n\r\n", false, false },
                      { "HTTP/1.1 404 No\r\n\r\n", false, true },
                      { "HTTP/1.1 200 OK\r\n\r\n", true, false },
                      { "HTTP/1.1 404 No\r\n\r\n", true, true },
                      { "HTTP/1.1 ", true, false } };

/* Guards against a run beside that of an engine which answers a stop without
   an end, and is taken for one that can't be reached.  */
START_TEST (a_stop_answered_without_an_end_proves_nothing)
{
  int stop;

  start_stream (true);
  reset_socket (stream.source_link);
  stop = accept_past_reports (stream.source, "last=1");
  send_text (stop, endless_stops[_i].begin);
  if (endless_stops[_i].trickles)
    trickle (stop);
  else
    flood (stop, "x");
  close (stop);
  if (!endless_stops[_i].proves_end)
    answer_run_check (stream.source, "last=1", RUN_NOT_FOUND);
  expect_resume (1 - stream.source);
}
END_TEST

/* Guards against memory that goes to an engine whose report has no end; its
   stream goes on.  */
START_TEST (a_flood_in_a_report_is_cut_off)
{
  int report;

  start_stream (false);
  csp_advance_fake_clock (&stream.fixture.fake_clock, UNHEARD_MS);
  report = accept_past_reports (stream.source, "/report");
  send_text (report, "HTTP/1.1 200 OK\r\n\r\n");
  flood (report, "x");
  close (report);
  finish_stream (stream.source_link);
  close (stream.source_link);
}
END_TEST

/* Guards against memory that goes to an engine which is asked to stop a run
   that its caller has left.  */
START_TEST (a_flood_behind_a_left_run_is_cut_off)
{
  int stop;

  start_stream (true);
  leave_stream (UNHEARD_MS);
  stop = accept_past_reports (stream.source, "last=1");
  send_text (stop, "HTTP/1.1 200 OK\r\n\r\n");
  flood (stop, "x");
  close (stop);
}
END_TEST

/* Guards against bytes behind a whole answer, or on an idle connection, that
   are read on or reach the next caller.  */
START_TEST (a_flood_behind_an_answer_is_cut_off)
{
  int target = fixture_add_target (&stream.fixture, "p-0", "plain");
  int caller = send_plain_request ("/once/");
  int link = accept_target_connection (target);

  read_target_request (link, 0);
  send_text (link, ANSWER ("r1", "whole", "5"));
  read_until (caller, "\r\n\r\nwhole");
  flood (link, "x");
  close (link);
  close (caller);
  caller = send_plain_request ("/once/");
  link = accept_target_connection (target);
  read_target_request (link, 0);
  send_text (link, ANSWER ("r1", "whole", "5"));
  ck_assert_ptr_null (strstr (read_until (caller, "\r\n\r\nwhole"), "xx"));
  close (link);
  close (caller);
  close (target);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("endless");
  TCase *tcase = tcase_create ("endless");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, stream_set_up, stream_tear_down);
  tcase_add_loop_test (tcase, a_flood_in_place_of_an_answer_is_cut_off, 0,
                       sizeof floods / sizeof floods[0]);
  tcase_add_test (tcase, a_head_that_trickles_is_given_up);
  tcase_add_loop_test (tcase, a_flood_in_a_stream_goes_on_elsewhere, 0,
                       sizeof stream_floods / sizeof stream_floods[0]);
  tcase_add_loop_test (tcase, a_stream_that_trickles_is_silent, 0, 2);
  tcase_add_test (tcase, a_flood_in_the_answer_to_a_copy_is_cut_off);
  tcase_add_loop_test (tcase, a_stop_answered_without_an_end_proves_nothing, 0,
                       sizeof endless_stops / sizeof endless_stops[0]);
  tcase_add_test (tcase, a_flood_in_a_report_is_cut_off);
  tcase_add_test (tcase, a_flood_behind_a_left_run_is_cut_off);
  tcase_add_test (tcase, a_flood_behind_an_answer_is_cut_off);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
