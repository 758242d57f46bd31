#include "gateway/gateway-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* What targets say of themselves in their answers: that they leave, and that
   they want nothing for a while.  */

enum
{
  WAIT_MS = 10000,
  TRIES = 8
};

static fixture_t fixture;
static int first;
static int second;
static int link_to_first; /* of the first request; may be kept for the next */

static void
set_up (void)
{
  fixture_open (&fixture);
  fixture_publish (&fixture, true);
  first = -1;
  second = -1;
}

static void
tear_down (void)
{
  close (first);
  close (second);
  close (link_to_first);
  fixture_close (&fixture);
}

/* Send a request to which the first target gives an answer.  */
static void
ask_first (const char *service, const char *path, const char *answer)
{
  char request[200];
  int caller = caller_open (&fixture);

  first = fixture_target (&fixture, "t-1", service);
  snprintf (request, sizeof request,
            "GET %s HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
            "Request-Id: r1\r\nTime-Left: 3000\r\n\r\n",
            path);
  send_text (caller, request);
  link_to_first = target_accept (first);
  target_read (link_to_first, 0);
  send_text (link_to_first, answer);
  read_until (caller, "\r\n\r\n");
  close (caller);
}

/* Whether the gateway has let go of a connection.  */
static bool
is_closed_now (int link)
{
  char byte;

  return recv (link, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static char refusal[1000];

/* Send a request and see where it goes: 0 to the first target, 1 to the
   second, -1 where it is refused.  */
static int
send_next (const char *path)
{
  char request[200];
  int caller = caller_open (&fixture);
  struct pollfd ready[] = { { .fd = first, .events = POLLIN },
                            { .fd = link_to_first, .events = POLLIN },
                            { .fd = second, .events = POLLIN },
                            { .fd = caller, .events = POLLIN } };

  snprintf (request, sizeof request,
            "GET %s HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
            "Request-Id: next\r\nTime-Left: 3000\r\n\r\n",
            path);
  send_text (caller, request);
  ck_assert_int_gt (poll (ready, 4, WAIT_MS), 0);
  if (ready[1].revents != 0 && is_closed_now (link_to_first))
    {
      ready[1].fd = -1;
      ck_assert_int_gt (poll (ready, 4, WAIT_MS), 0);
    }
  if (ready[3].revents != 0)
    snprintf (refusal, sizeof refusal, "%s", read_until (caller, "\r\n\r\n"));
  if (ready[2].revents != 0)
    close (target_accept (second));
  close (caller);
  if (ready[3].revents != 0)
    return -1;
  return ready[2].revents != 0 ? 1 : 0;
}

static void
nothing_reaches_first (const char *service, const char *path)
{
  int i;

  second = fixture_target (&fixture, "t-2", service);
  for (i = 0; i < TRIES; i++)
    ck_assert_int_eq (send_next (path), 1);
}

static const struct
{
  const char *name;
  const char *service;
  const char *path;
  const char *answer;
} leaving_answers[] = {
  { "a success", "plain", "/once/",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nLeaving: 1\r\n"
    "Content-Length: 2\r\n\r\nok" },
  { "a failure", "plain", "/once/",
    "HTTP/1.1 500 Error\r\nRequest-Id: r1\r\nSignature: s\r\nLeaving: 1\r\n"
    "Content-Length: 3\r\n\r\nerr" },
  { "a refusal", "plain", "/once/",
    "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nLeaving: 1\r\n"
    "Content-Length: 0\r\n\r\n" },
  { "the head of a stream that runs", "engines", "/stream/",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nLeaving: 1\r\n"
    "Transfer-Encoding: chunked\r\n\r\nc\r\nid: 1\ndata: \n\n\r\n" },
};

/* Guards against a host that goes on sending to a target that has told it of
   its leaving, while the list says nothing.  */
START_TEST (a_target_whose_answer_says_that_it_leaves_gets_nothing_new)
{
  ask_first (leaving_answers[_i].service, leaving_answers[_i].path,
             leaving_answers[_i].answer);

  nothing_reaches_first (leaving_answers[_i].service,
                         leaving_answers[_i].path);
}
END_TEST

/* Guards against a list that knows it later than the target, and takes it back
   each time that it is read.  */
START_TEST (the_list_does_not_take_back_what_the_target_said)
{
  ask_first ("plain", "/once/", leaving_answers[0].answer);

  fixture_list (&fixture, first, "t-1", "plain");
  fixture_settle (&fixture);
  nothing_reaches_first ("plain", "/once/");
}
END_TEST

/* Guards against a row that lapses and comes back, as in an outage of the
   store.  */
START_TEST (a_row_that_comes_back_does_not_take_back_what_the_target_said)
{
  ask_first ("plain", "/once/", leaving_answers[0].answer);

  fixture_remove (&fixture, "t-1");
  fixture_list (&fixture, first, "t-1", "plain");
  fixture_settle (&fixture);
  nothing_reaches_first ("plain", "/once/");
}
END_TEST

#define BUSY(seconds)                                                         \
  "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: " seconds "\r\n"           \
  "Content-Length: 0\r\n\r\n"

static const struct
{
  const char *service;
  const char *path;
} asked[] = { { "plain", "/once/" }, { "engines", "/stream/" } };

/* Guards against a host that goes on sending to a target that has asked it to
   wait.  */
START_TEST (a_target_that_asks_for_a_wait_gets_nothing_until_then)
{
  ask_first (asked[_i].service, asked[_i].path, BUSY ("2.5"));

  csp_advance_fake_clock (&fixture.fake, 2400);
  nothing_reaches_first (asked[_i].service, asked[_i].path);
  fixture_remove (&fixture, "t-2");
  fixture_settle (&fixture);
  csp_advance_fake_clock (&fixture.fake, 200);
  ck_assert_int_eq (send_next (asked[_i].path), 0);
}
END_TEST

/* Guards against callers who wait where nobody may serve them.  */
START_TEST (where_all_targets_ask_for_a_wait_callers_are_told_how_long)
{
  const char *retry_after;

  ask_first (asked[_i].service, asked[_i].path, BUSY ("20"));

  csp_advance_fake_clock (&fixture.fake, 1000);
  ck_assert_int_eq (send_next (asked[_i].path), -1);
  ck_assert_ptr_nonnull (strstr (refusal, " 503 "));
  retry_after = strstr (refusal, "Retry-After: ");
  ck_assert_ptr_nonnull (retry_after);
  ck_assert_int_ge (atoi (retry_after + strlen ("Retry-After: ")), 19);
}
END_TEST

/* Guards against taking another target's word for this one's: its address is
   used again.  */
START_TEST (another_target_at_the_address_says_nothing_of_this_one)
{
  ask_first ("plain", "/once/",
             "HTTP/1.1 421 Other\r\nLeaving: 1\r\nRetry-After: 20\r\n"
             "Content-Length: 0\r\n\r\n");

  csp_advance_fake_clock (&fixture.fake, 5000);
  ck_assert_int_eq (send_next ("/once/"), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("target-says");
  TCase *tests = tcase_create ("target-says");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (
      tests, a_target_whose_answer_says_that_it_leaves_gets_nothing_new, 0,
      sizeof leaving_answers / sizeof leaving_answers[0]);
  tcase_add_test (tests, the_list_does_not_take_back_what_the_target_said);
  tcase_add_test (
      tests, a_row_that_comes_back_does_not_take_back_what_the_target_said);
  tcase_add_loop_test (tests,
                       a_target_that_asks_for_a_wait_gets_nothing_until_then,
                       0, sizeof asked / sizeof asked[0]);
  tcase_add_loop_test (
      tests, where_all_targets_ask_for_a_wait_callers_are_told_how_long, 0,
      sizeof asked / sizeof asked[0]);
  tcase_add_test (tests,
                  another_target_at_the_address_says_nothing_of_this_one);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
