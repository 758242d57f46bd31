#include "gateway/gateway-fixture.h"
#include "support/run-suite.h"

#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* A host whose network link is in use.  */

enum
{
  LINK_BYTES_PER_S = 1000000,
  ANSWER_BYTES = 300000,
  HALF_SECOND_MS = 500,
  /* Pages use the link too.  */
  PAGES_MS = 50
};

static fixture_t fixture;
static int plain;
static int engine;

static void
set_up (void)
{
  fixture.link_bytes_per_s = LINK_BYTES_PER_S;
  fixture_open (&fixture);
  fixture_publish_routes (&fixture, true);
  plain = fixture_add_target (&fixture, "t-1", "plain");
  engine = fixture_add_target (&fixture, "e-1", "engines");
  fixture_send_update (&fixture, CSP_UPDATE_TARGETS_LISTED);
  fixture_await_updates (&fixture);
}

static void
tear_down (void)
{
  fixture_close (&fixture);
  close (plain);
  close (engine);
}

/* The link carries some answers in half a second.  */
static void
use_link (int answers)
{
  static char body[ANSWER_BYTES + 1];
  int caller = open_caller (&fixture);
  int i;

  memset (body, 'b', ANSWER_BYTES);
  body[ANSWER_BYTES - 1] = 'e';
  for (i = 0; i < answers; i++)
    {
      int link;

      send_text (caller, REQUEST ("/safe/x", "r1"));
      link = accept_target_connection (plain);
      read_target_request (link, 0);
      send_text (link, ANSWER ("r1", "", "300000"));
      send_bytes (link, body, ANSWER_BYTES);
      read_until (caller, "be");
      close (link);
      close (caller);
      caller = open_caller (&fixture);
    }
  close (caller);
  csp_advance_fake_clock (&fixture.fake_clock, HALF_SECOND_MS);
  while (strstr (fixture_get_page (&fixture, "/metrics"),
                 "received_bytes_per_second 0\n")
         != NULL)
    poll (NULL, 0, PAGES_MS);
}

typedef enum
{
  OUTCOME_SENT,
  OUTCOME_REFUSED
} outcome_t;

static const struct
{
  const char *what;
  int answers;
  const char *path;
  int tokens; /* at most, of its output */
  outcome_t outcome;
} cases[] = {
  { "a long stream, the link in use", 2, "/stream/x", 800, OUTCOME_REFUSED },
  { "a short stream", 2, "/stream/x", 20, OUTCOME_SENT },
  { "a plain request", 2, "/safe/x", 800, OUTCOME_SENT },
  { "a long stream, less in use", 1, "/stream/x", 800, OUTCOME_SENT },
};

/* Guards against a host taking streams that its network link can't carry, so
   that all that it sends and hears is late.  */
START_TEST (link_in_use_takes_no_more_long_streams)
{
  char request[300];
  int caller;

  use_link (cases[_i].answers);
  caller = open_caller (&fixture);
  snprintf (request, sizeof request,
            "POST %s HTTP/1.1\r\nHost: h\r\nKey: key-a\r\nRequest-Id: r2\r\n"
            "Time-Left: 3000\r\nTokens: 100,%d\r\nContent-Length: 2\r\n\r\nhi",
            cases[_i].path, cases[_i].tokens);
  send_text (caller, request);
  if (cases[_i].outcome == OUTCOME_SENT)
    {
      int link = accept_target_connection (
          strcmp (cases[_i].path, "/safe/x") == 0 ? plain : engine);

      ck_assert_msg (strstr (read_target_request (link, 2), "Request-Id: r2")
                         != NULL,
                     "%s", cases[_i].what);
      close (link);
    }
  else
    {
      const char *answer = read_until (caller, "the host's link is full");

      ck_assert_msg (strstr (answer, " 503 ") != NULL, "%s", answer);
      ck_assert_msg (strstr (answer, "Retry-After: 0.") != NULL, "%s", answer);
    }
  close (caller);
}
END_TEST

/* Guards against a balancer that goes on sending callers to a host whose link
   is full.  */
START_TEST (host_with_a_full_link_is_not_ready)
{
  ck_assert_ptr_nonnull (
      strstr (fixture_get_page (&fixture, "/readyz"), " 200 "));
  use_link (2);
  ck_assert_ptr_nonnull (
      strstr (fixture_get_page (&fixture, "/readyz"), " 503 "));
  csp_advance_fake_clock (&fixture.fake_clock, 2 * HALF_SECOND_MS + 1);
  while (strstr (fixture_get_page (&fixture, "/readyz"), " 200 ") == NULL)
    poll (NULL, 0, PAGES_MS);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("link full");
  TCase *tcase = tcase_create ("link full");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, link_in_use_takes_no_more_long_streams, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, host_with_a_full_link_is_not_ready);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
