#include "gateway/gateway-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Rate limits that targets state in their answers.  */

enum
{
  WAIT_MS = 10000,
  STEP_MS = 50,
  WINDOW_MS = 4000,
  WINDOW_STEPS = WINDOW_MS / STEP_MS,
  PLAY_STEPS = 200,
  LIMIT_PER_S = 2,
  /* One and a half times the limit, and five requests.  */
  WINDOW_MAX = 3 * LIMIT_PER_S * WINDOW_MS / 1000 / 2 + 5
};

static fixture_t fixture;
static int limited;
static int other;

static void
set_up (void)
{
  fixture_open (&fixture);
  fixture_publish_routes (&fixture, true);
  limited = fixture_add_target (&fixture, "t-1", "plain");
  other = -1;
}

static void
tear_down (void)
{
  close (limited);
  close (other);
  fixture_close (&fixture);
}

static void
answer (int listener, const char *fields)
{
  char text[200];
  int link = accept_target_connection (listener);

  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"
            "Content-Length: 2\r\nConnection: close\r\n%s\r\nok",
            fields);
  read_target_request (link, 0);
  send_text (link, text);
  close (link);
}

/* Send a request; the target that gets it answers.  Returns whether that is
   the first target, which adds the given fields.  */
static bool
send_request (const char *fields)
{
  int caller = open_caller (&fixture);
  struct pollfd ready[] = { { .fd = limited, .events = POLLIN },
                            { .fd = other, .events = POLLIN },
                            { .fd = caller, .events = POLLIN } };
  bool at_first;

  send_text (caller, REQUEST ("/once/", "r1"));
  ck_assert_int_gt (poll (ready, 3, WAIT_MS), 0);
  at_first = ready[0].revents != 0;
  if (at_first)
    answer (limited, fields);
  if (ready[1].revents != 0)
    answer (other, "");
  read_until (caller, "\r\n\r\n");
  close (caller);
  return at_first;
}

/* Guards against a target that gets more than the rate that it states, while
   others of its service could take the rest.  */
START_TEST (a_target_gets_no_more_than_its_stated_rate)
{
  int sent[PLAY_STEPS] = { 0 };
  int in_window = 0;
  int step;

  ck_assert (send_request ("Rate-Limit: 2\r\n"));
  other = fixture_add_target (&fixture, "t-2", "plain");
  for (step = 0; step < PLAY_STEPS; step++)
    {
      csp_advance_fake_clock (&fixture.fake_clock, STEP_MS);
      sent[step] = send_request ("Rate-Limit: 2\r\n");
      in_window += sent[step];
      if (step >= WINDOW_STEPS)
        in_window -= sent[step - WINDOW_STEPS];
      ck_assert_int_le (in_window, WINDOW_MAX);
    }
}
END_TEST

/* Guards against a fleet that doesn't show which targets state a limit.  */
START_TEST (a_stated_rate_is_shown_in_the_metrics)
{
  send_request ("Rate-Limit: 3.5\r\n");
  ck_assert_ptr_nonnull (strstr (fixture_get_page (&fixture, "/metrics"),
                                 "target_rate_limit{target=\"t-1\"} 3.5\n"));
  csp_advance_fake_clock (&fixture.fake_clock, STEP_MS);
  send_request ("Rate-Limit: 1\r\nRate-Limit: 2\r\n");
  send_request ("Rate-Limit: 3,5\r\n");
  ck_assert_ptr_nonnull (strstr (fixture_get_page (&fixture, "/metrics"),
                                 "target_rate_limit{target=\"t-1\"} 3.5\n"));
  send_request ("");
  ck_assert_ptr_null (strstr (fixture_get_page (&fixture, "/metrics"),
                              "target_rate_limit{target=\"t-1\"}"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rate");
  TCase *tcase = tcase_create ("rate");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_target_gets_no_more_than_its_stated_rate);
  tcase_add_test (tcase, a_stated_rate_is_shown_in_the_metrics);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
