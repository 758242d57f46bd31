#include "gateway/gateway-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* State that targets report in their answers: that they leave, and that they
   want no requests for a while (backoff).  */

enum
{
  WAIT_MS = 10000,
  TRIES = 8
};

static fixture_t fixture;
static int first;
static int second;
static int first_link; /* of the first request; may be reused for the next */

static void
set_up (void)
{
  fixture_open (&fixture);
  fixture_publish_routes (&fixture, true);
  first = -1;
  second = -1;
}

static void
tear_down (void)
{
  close (first);
  close (second);
  close (first_link);
  fixture_close (&fixture);
}

/* Add the first target, and send a request to which it gives an answer.  */
static void
send_to_first (const char *service, const char *path, const char *answer)
{
  char request[200];
  int caller = open_caller (&fixture);

  first = fixture_add_target (&fixture, "t-1", service);
  snprintf (request, sizeof request,
            "GET %s HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
            "Request-Id: r1\r\nTime-Left: 3000\r\n\r\n",
            path);
  send_text (caller, request);
  first_link = accept_target_connection (first);
  read_target_request (first_link, 0);
  send_text (first_link, answer);
  read_until (caller, "\r\n\r\n");
  close (caller);
}

/* Whether the gateway has closed a connection, without waiting.  */
static bool
has_been_closed (int link)
{
  char byte;

  return recv (link, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static char refusal[1000];

/* Serve the request that comes to the second target: a target that loses each
   is damped.  */
static void
answer_at_second (void)
{
  int link = accept_target_connection (second);

  read_target_request (link, 0);
  send_text (link, "HTTP/1.1 200 OK\r\nRequest-Id: next\r\nSignature: s\r\n"
                   "Content-Length: 2\r\nConnection: close\r\n\r\nok");
  close (link);
}

/* Send a request.  Returns where it goes: 0 to the first target, 1 to the
   second, -1 when it is refused.  */
static int
send_next (const char *path)
{
  char request[200];
  int caller = open_caller (&fixture);
  struct pollfd ready[] = { { .fd = first, .events = POLLIN },
                            { .fd = first_link, .events = POLLIN },
                            { .fd = second, .events = POLLIN },
                            { .fd = caller, .events = POLLIN } };

  snprintf (request, sizeof request,
            "GET %s HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
            "Request-Id: next\r\nTime-Left: 3000\r\n\r\n",
            path);
  send_text (caller, request);
  ck_assert_int_gt (poll (ready, 4, WAIT_MS), 0);
  if (ready[1].revents != 0 && has_been_closed (first_link))
    {
      ready[1].fd = -1;
      ck_assert_int_gt (poll (ready, 4, WAIT_MS), 0);
    }
  if (ready[3].revents != 0)
    snprintf (refusal, sizeof refusal, "%s", read_until (caller, "\r\n\r\n"));
  if (ready[2].revents != 0)
    {
      answer_at_second ();
      read_until (caller, "ok");
    }
  close (caller);
  if (ready[3].revents != 0)
    return -1;
  return ready[2].revents != 0 ? 1 : 0;
}

static void
check_first_gets_nothing (const char *service, const char *path)
{
  int i;

  second = fixture_add_target (&fixture, "t-2", service);
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

/* Guards against a host that still sends requests to a target that has
   announced that it leaves, while the list doesn't show it yet.  */
START_TEST (a_target_that_announces_leaving_gets_no_new_requests)
{
  send_to_first (leaving_answers[_i].service, leaving_answers[_i].path,
                 leaving_answers[_i].answer);

  check_first_gets_nothing (leaving_answers[_i].service,
                            leaving_answers[_i].path);
}
END_TEST

/* Guards against a list that shows the target's leaving later than the target
   itself, so that each read of the list would clear the announcement.  */
START_TEST (a_list_update_does_not_clear_a_leaving_announcement)
{
  send_to_first ("plain", "/once/", leaving_answers[0].answer);

  fixture_list_target (&fixture, first, "t-1", "plain");
  fixture_await_updates (&fixture);
  check_first_gets_nothing ("plain", "/once/");
}
END_TEST

/* Guards against a row that lapses and returns, as in an outage of the
   store.  */
START_TEST (a_returning_row_does_not_clear_a_leaving_announcement)
{
  send_to_first ("plain", "/once/", leaving_answers[0].answer);

  fixture_remove_target (&fixture, "t-1");
  fixture_list_target (&fixture, first, "t-1", "plain");
  fixture_await_updates (&fixture);
  check_first_gets_nothing ("plain", "/once/");
}
END_TEST

#define BUSY(seconds)                                                         \
  "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: " seconds "\r\n"           \
  "Content-Length: 0\r\n\r\n"

static const struct
{
  const char *service;
  const char *path;
} services[] = { { "plain", "/once/" }, { "engines", "/stream/" } };

/* Guards against a host that still sends requests to a target that has asked
   for a backoff.  */
START_TEST (a_target_that_asks_for_a_backoff_gets_no_requests_until_its_end)
{
  send_to_first (services[_i].service, services[_i].path, BUSY ("2.5"));

  csp_advance_fake_clock (&fixture.fake_clock, 2400);
  check_first_gets_nothing (services[_i].service, services[_i].path);
  fixture_remove_target (&fixture, "t-2");
  fixture_await_updates (&fixture);
  csp_advance_fake_clock (&fixture.fake_clock, 200);
  ck_assert_int_eq (send_next (services[_i].path), 0);
}
END_TEST

/* Guards against callers that wait although no target may serve them.  */
START_TEST (callers_get_retry_after_when_all_targets_back_off)
{
  const char *retry_after;

  send_to_first (services[_i].service, services[_i].path, BUSY ("20"));

  csp_advance_fake_clock (&fixture.fake_clock, 1000);
  ck_assert_int_eq (send_next (services[_i].path), -1);
  ck_assert_ptr_nonnull (strstr (refusal, " 503 "));
  retry_after = strstr (refusal, "Retry-After: ");
  ck_assert_ptr_nonnull (retry_after);
  ck_assert_int_ge (atoi (retry_after + strlen ("Retry-After: ")), 19);
}
END_TEST

/* Guards against applying the headers of another target, at an address that
   was reused, to this one.  */
START_TEST (headers_of_another_target_at_the_address_are_ignored)
{
  send_to_first ("plain", "/once/",
                 "HTTP/1.1 421 Other\r\nLeaving: 1\r\nRetry-After: 20\r\n"
                 "Content-Length: 0\r\n\r\n");

  csp_advance_fake_clock (&fixture.fake_clock, 5000);
  ck_assert_int_eq (send_next ("/once/"), 0);
}
END_TEST

/* A refusal's statement of how many the target bears, and whether the host
   then leaves it alone for longer than usual.  */
static const struct
{
  const char *field;
  bool pauses;
} refusals[] = { { "", false },
                 { "Refusal-Limit: 2\r\n", true },
                 { "Refusal-Limit: 0.5\r\n", true },
                 { "Refusal-Limit: 0\r\n", true },
                 { "Refusal-Limit: -1\r\n", false },
                 { "Refusal-Limit: soon\r\n", false },
                 { "Refusal-Limit: 1000000000\r\n", true } };

/* Guards against a full target that fails because hosts try it again and
   again.  */
START_TEST (target_that_bears_few_refusals_is_left_alone)
{
  char answer[200];
  const char *page;

  snprintf (answer, sizeof answer,
            "HTTP/1.1 503 No\r\nNot-Run: 1\r\nRequest-Id: r1\r\n%s"
            "Content-Length: 0\r\n\r\n",
            refusals[_i].field);
  send_to_first ("plain", "/once/", answer);
  fixture_await_updates (&fixture);
  page = fixture_get_page (&fixture, "/metrics");
  ck_assert_ptr_nonnull (strstr (page, refusals[_i].pauses
                                           ? "refusal_pauses_total 1\n"
                                           : "refusal_pauses_total 0\n"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("target-says");
  TCase *tests = tcase_create ("target-says");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests,
                       a_target_that_announces_leaving_gets_no_new_requests, 0,
                       sizeof leaving_answers / sizeof leaving_answers[0]);
  tcase_add_test (tests, a_list_update_does_not_clear_a_leaving_announcement);
  tcase_add_test (tests,
                  a_returning_row_does_not_clear_a_leaving_announcement);
  tcase_add_loop_test (
      tests, a_target_that_asks_for_a_backoff_gets_no_requests_until_its_end,
      0, sizeof services / sizeof services[0]);
  tcase_add_loop_test (tests,
                       callers_get_retry_after_when_all_targets_back_off, 0,
                       sizeof services / sizeof services[0]);
  tcase_add_loop_test (tests, target_that_bears_few_refusals_is_left_alone, 0,
                       sizeof refusals / sizeof refusals[0]);
  tcase_add_test (tests, headers_of_another_target_at_the_address_are_ignored);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
