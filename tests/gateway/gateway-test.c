#include "gateway/gateway-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

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

START_TEST (a_request_goes_on_unchanged_and_its_answer_comes_back)
{
  int target = fixture_target (&fixture, "t-1", "plain");
  int caller = caller_open (&fixture);
  const char *text;
  int link;

  send_text (caller, "POST /once/x?y=%20z HTTP/1.1\r\nHost: h:80\r\n"
                     "Key: key-a\r\nRequest-Id: r1\r\nTime-Left: 3000\r\n"
                     "Organisation: forged\r\nTarget-Id: forged\r\n"
                     "Secret: 1\r\nGo-On-From: 1.2.3.4:5/6\r\n"
                     "Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: a b\r\n"
                     "Content-Length: 4\r\n\r\nbody");
  link = target_accept (target);
  text = target_read (link, 4);
  ck_assert_ptr_nonnull (strstr (text, "POST /once/x?y=%20z HTTP/1.1\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "Host: h:80\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "Request-Id: r1\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "Time-Left: 3000\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "Organisation: org-a\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "Target-Id: t-1\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "Urgency: 3\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "X-Kept: a b\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "Content-Length: 4\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "\r\n\r\nbody"));
  ck_assert_ptr_null (strstr (text, "forged"));
  ck_assert_ptr_null (strstr (text, "Secret"));
  ck_assert_ptr_null (strstr (text, "Go-On-From"));
  ck_assert_ptr_null (strstr (text, "X-Hop"));
  ck_assert_ptr_null (strstr (text, "key-a"));
  send_text (link, "HTTP/1.1 201 Created\r\nRequest-Id: r1\r\nSignature: s\r\n"
                   "X-Own: v\r\nContent-Length: 3\r\n\r\nyes");
  text = read_until (caller, "yes");
  ck_assert_ptr_nonnull (strstr (text, "HTTP/1.1 201 Created\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "X-Own: v\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "Signature: s\r\n"));
  close (caller);
  close (link);
  close (target);
}
END_TEST

/* Requests that no route or key allows, and what the caller is told.  */
static const struct
{
  const char *request;
  const char *status;
} turned_away[] = {
  { "GET /none/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n\r\n", " 404 " },
  { "GET /once/ HTTP/1.1\r\nHost: other\r\nKey: key-a\r\n\r\n", " 404 " },
  { "GET /once/ HTTP/1.1\r\nHost: h\r\nKey: key-b\r\n\r\n", " 401 " },
  { "GET /once/ HTTP/1.1\r\nHost: h\r\n\r\n", " 401 " },
  { "GET /once/ HTTP/1.1\r\nHost: h\r\nKey : key-a\r\n\r\n", " 400 " },
  { "GET /once/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n\r\n", " 503 " },
  { "GET /open/ HTTP/1.1\r\nHost: h\r\n\r\n", " 503 " },
  { "POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 300001\r\n\r\n",
    " 413 " },
};

START_TEST (what_cannot_be_served_is_refused)
{
  int caller = caller_open (&fixture);

  /* Nothing is listed, so what is allowed has no target yet.  */
  fixture_settle (&fixture);
  send_text (caller, turned_away[_i].request);
  ck_assert_ptr_nonnull (
      strstr (read_until (caller, "\r\n\r\n"), turned_away[_i].status));
  close (caller);
}
END_TEST

/* A host that has just started knows no configuration.  Answering 404 or 401
   then would tell callers that their route or key is gone.  */
START_TEST (a_host_without_configuration_promises_nothing_ran)
{
  fixture_t fresh = { .seed = NULL };
  const char *text;
  int caller;

  fixture_open (&fresh);
  ck_assert_ptr_nonnull (strstr (fixture_page (&fresh, "/readyz"), " 503 "));
  caller = caller_open (&fresh);
  send_text (caller, REQUEST ("/once/", "r1"));
  text = read_until (caller, "\r\n\r\n");
  ck_assert_ptr_nonnull (strstr (text, " 503 "));
  ck_assert_ptr_nonnull (strstr (text, "Retry-After: "));
  close (caller);
  fixture_close (&fresh);
}
END_TEST

START_TEST (requests_of_one_connection_are_answered_in_order)
{
  int target = fixture_target (&fixture, "t-1", "plain");
  int caller = caller_open (&fixture);
  int link;

  send_text (caller, REQUEST ("/once/", "r1") REQUEST ("/once/", "r2"));
  link = target_accept (target);
  ck_assert_ptr_nonnull (strstr (target_read (link, 0), "Request-Id: r1"));
  send_text (link, ANSWER ("r1", "one", "3"));
  read_until (caller, "one");
  /* The second comes on the kept connection.  */
  ck_assert_ptr_nonnull (strstr (target_read (link, 0), "Request-Id: r2"));
  send_text (link, ANSWER ("r2", "two", "3"));
  read_until (caller, "two");
  close (caller);
  close (link);
  close (target);
}
END_TEST

START_TEST (a_long_body_in_chunks_is_passed_on_as_it_comes)
{
  enum
  {
    PIECE_BYTES = 50000
  };
  static char piece[PIECE_BYTES + 1];
  int target = fixture_target (&fixture, "t-1", "plain");
  int caller = caller_open (&fixture);
  size_t got_bytes = 0;
  const char *text;
  int link;
  int i;

  memset (piece, 'p', PIECE_BYTES);
  send_text (caller, "POST /once/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
                     "Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (i = 0; i < 2; i++)
    {
      send_text (caller, "c350;ext=1\r\n");
      send_bytes (caller, piece, PIECE_BYTES);
      send_text (caller, "\r\n");
    }
  /* The target gets the beginning while the rest isn't sent yet.  */
  link = target_accept (target);
  text = target_read (link, PIECE_BYTES);
  ck_assert_ptr_nonnull (strstr (text, "Transfer-Encoding: chunked\r\n"));
  for (; *text != '\0'; text++)
    got_bytes += *text == 'p';
  send_text (caller, "0\r\n\r\n");
  for (text = read_until (link, "0\r\n\r\n"); *text != '\0'; text++)
    got_bytes += *text == 'p';
  /* "http" and "Prio" hold none of these letters but the head's one p.  */
  ck_assert_uint_ge (got_bytes, 2 * PIECE_BYTES);
  send_text (link, ANSWER ("r1", "ok", "2"));
  read_until (caller, "ok");
  close (caller);
  close (link);
  close (target);
}
END_TEST

/* How one attempt ends, and what the caller of a request that may run once
   may be told: 503 promises that it hasn't run and won't.  */
static const struct
{
  const char *what;
  const char *answer;
  const char *told;
} endings[] = {
  { "the target says that it didn't run it",
    "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", " 503 " },
  { "another target has the address",
    "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", " 503 " },
  { "a 503 that doesn't say so",
    "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nSignature: s\r\n"
    "Content-Length: 0\r\n\r\n",
    " 502 " },
  { "a 429 that doesn't say so",
    "HTTP/1.1 429 Busy\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
    " 502 " },
  { "closed without an answer", "", " 502 " },
  { "garbage", "\001\002\r\n\r\n", " 502 " },
  { "half an answer",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"
    "Content-Length: 9\r\n\r\nhalf",
    " 502 " },
  { "an answer to another request", ANSWER ("r0", "ok", "2"), " 502 " },
  { "a success without the target's signature",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok",
    " 502 " },
  { "an encoded body",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"
    "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
    " 502 " },
  { "the target's own failure",
    "HTTP/1.1 500 Oops\r\nRequest-Id: r1\r\nSignature: s\r\n"
    "Content-Length: 2\r\n\r\nno",
    " 500 " },
  { "an answer that ends with its connection",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n\r\nwhole",
    " 200 " },
};

START_TEST (a_request_that_may_run_once_is_told_the_truth)
{
  int target = fixture_target (&fixture, "t-1", "plain");
  int caller = caller_open (&fixture);
  const char *text;
  int link;

  send_text (caller, REQUEST ("/once/", "r1"));
  link = target_accept (target);
  target_read (link, 0);
  send_text (link, endings[_i].answer);
  close (link);
  text = read_until (caller, "\r\n\r\n");
  ck_assert_msg (strstr (text, endings[_i].told) != NULL, "%s: %s",
                 endings[_i].what, text);
  close (caller);
  close (target);
}
END_TEST

/* The server crashes while it writes an answer that has no length.  The event
   loop tells the reset that comes right behind the bytes as an orderly end,
   and the caller would get half of the answer as a whole one.  */
START_TEST (a_reset_behind_the_last_bytes_is_no_end)
{
  int target = fixture_target (&fixture, "t-1", "plain");
  int caller = caller_open (&fixture);
  const char *text;
  int link;

  send_text (caller, REQUEST ("/once/", "r1"));
  link = target_accept (target);
  target_read (link, 0);
  send_text (link, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n\r\n"
                   "half");
  reset_socket (link);
  text = read_until (caller, "\r\n\r\n");
  ck_assert_msg (strstr (text, " 502 ") != NULL, "%s", text);
  close (caller);
  close (target);
}
END_TEST

/* A second answer to the request before arrives late, where the next one's
   answer is due.  Passed on it would tell a caller somebody else's lines.  */
START_TEST (a_late_second_answer_belongs_to_nobody)
{
  int target = fixture_target (&fixture, "t-1", "plain");
  int caller = caller_open (&fixture);
  int link;

  send_text (caller, REQUEST ("/once/", "r1"));
  link = target_accept (target);
  target_read (link, 0);
  send_text (link, ANSWER ("r1", "one", "3"));
  read_until (caller, "one");
  send_text (caller, REQUEST ("/once/", "r2"));
  target_read (link, 0);
  send_text (link, ANSWER ("r1", "one", "3") ANSWER ("r2", "two", "3"));
  ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"), " 502 "));
  ck_assert (is_closed (link));
  close (caller);
  close (link);
  close (target);
}
END_TEST

/* An idempotent request is sent once more when its target fails it, and the
   caller sees only the second answer.  */
START_TEST (an_idempotent_request_is_sent_again)
{
  int first = fixture_target (&fixture, "t-1", "plain");
  int caller = caller_open (&fixture);
  const char *text;
  int second;
  int link;

  send_text (caller, REQUEST ("/safe/", "r1"));
  link = target_accept (first);
  target_read (link, 0);
  second = fixture_target (&fixture, "t-2", "plain");
  send_text (link, "HTTP/1.1 500 Oops\r\nRequest-Id: r1\r\n"
                   "Signature: s\r\nContent-Length: 0\r\n\r\n");
  close (link);
  link = target_accept (second);
  target_read (link, 0);
  send_text (link, ANSWER ("r1", "ok", "2"));
  text = read_until (caller, "ok");
  ck_assert_ptr_nonnull (strstr (text, " 200 "));
  close (caller);
  close (link);
  close (first);
  close (second);
}
END_TEST

/* The caller hangs up while its request is at a target, which would go on
   working for nobody.  */
START_TEST (a_caller_that_leaves_stops_its_request)
{
  int target = fixture_target (&fixture, "t-1", "engines");
  int caller = caller_open (&fixture);
  int link;

  send_text (caller, REQUEST ("/stream/", "r1"));
  link = target_accept (target);
  target_read (link, 0);
  close (caller);
  ck_assert (is_closed (link));
  close (link);
  close (target);
}
END_TEST

/* A key that the operator took away is refused on a connection that is open
   already, from the request behind the change on.  */
START_TEST (a_key_that_is_taken_away_is_refused)
{
  int target = fixture_target (&fixture, "t-1", "plain");
  int caller = caller_open (&fixture);
  int link;

  send_text (caller, REQUEST ("/once/", "r1"));
  link = target_accept (target);
  target_read (link, 0);
  fixture_publish (&fixture, false);
  while (strstr (fixture_page (&fixture, "/metrics"), "routes_version 3")
         == NULL)
    continue;
  send_text (link, ANSWER ("r1", "ok", "2"));
  read_until (caller, "ok");
  send_text (caller, REQUEST ("/once/", "r2"));
  ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"), " 401 "));
  close (caller);
  close (link);
  close (target);
}
END_TEST

/* An older version of the routes comes behind a newer one, by a host that
   lags. Were it taken, a key that is allowed would be refused, and one that
   was taken away would be served again.  */
START_TEST (an_older_configuration_is_not_taken)
{
  int target = fixture_target (&fixture, "t-1", "plain");
  int caller = caller_open (&fixture);
  int link;

  fixture_publish (&fixture, true);
  fixture.version -= 2;
  fixture_publish (&fixture, false);
  /* Updates are taken in order.  */
  fixture_list (&fixture, target, "t-2", "engines");
  while (strstr (fixture_page (&fixture, "/metrics"),
                 "cowslipspoke_gateway_targets 2\n")
         == NULL)
    continue;
  send_text (caller, REQUEST ("/once/", "r1"));
  link = target_accept (target);
  ck_assert_ptr_nonnull (
      strstr (target_read (link, 0), "Organisation: org-a\r\n"));
  close (caller);
  close (link);
  close (target);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway");
  TCase *tcase = tcase_create ("gateway");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase,
                  a_request_goes_on_unchanged_and_its_answer_comes_back);
  tcase_add_loop_test (tcase, what_cannot_be_served_is_refused, 0,
                       sizeof turned_away / sizeof turned_away[0]);
  tcase_add_test (tcase, a_host_without_configuration_promises_nothing_ran);
  tcase_add_test (tcase, requests_of_one_connection_are_answered_in_order);
  tcase_add_test (tcase, a_long_body_in_chunks_is_passed_on_as_it_comes);
  tcase_add_loop_test (tcase, a_request_that_may_run_once_is_told_the_truth, 0,
                       sizeof endings / sizeof endings[0]);
  tcase_add_test (tcase, a_reset_behind_the_last_bytes_is_no_end);
  tcase_add_test (tcase, a_late_second_answer_belongs_to_nobody);
  tcase_add_test (tcase, an_idempotent_request_is_sent_again);
  tcase_add_test (tcase, a_caller_that_leaves_stops_its_request);
  tcase_add_test (tcase, a_key_that_is_taken_away_is_refused);
  tcase_add_test (tcase, an_older_configuration_is_not_taken);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
