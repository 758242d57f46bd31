#include "gateway/gateway-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <string.h>
#include <unistd.h>

/* A host whose data centre is cut off from the others.  */

static fixture_t fixture;

static void
set_up (void)
{
  fixture_open (&fixture);
  fixture_publish_routes (&fixture, true);
}

static void
tear_down (void)
{
  fixture_close (&fixture);
}

#define STREAM_REQUEST(id)                                                    \
  "POST /stream/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\nRequest-Id: " id        \
  "\r\nTime-Left: 30000\r\nTokens: 100,200\r\nContent-Length: 2\r\n\r\nhi"

static void
await_readiness (const char *status)
{
  while (strstr (fixture_get_page (&fixture, "/readyz"), status) == NULL)
    continue;
}

/* The host's own engines were just taken away when its connections to the
   other data centre begin to break.  The first request that fails this way may
   have run and is lost.  Requests after it failed in the same way, and the
   balancer still sent callers here, although hosts elsewhere could serve
   them.  */
START_TEST (a_host_without_reachable_engines_is_not_ready)
{
  int caller = open_caller (&fixture);
  int second = open_caller (&fixture);
  const char *text;
  int engine;
  int link;

  fixture.target_data_centre = "dc-b";
  engine = fixture_add_target (&fixture, "t-1", "engines");
  await_readiness (" 200 ");
  send_text (caller, STREAM_REQUEST ("r1"));
  link = accept_target_connection (engine);
  read_target_request (link, 2);
  reset_socket (link);
  ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"), " 502 "));
  /* Only a status query, which may be repeated, is sent there.  */
  link = accept_target_connection (engine);
  ck_assert_ptr_nonnull (
      strstr (read_target_request (link, 0), "GET /report"));
  send_text (second, STREAM_REQUEST ("r2"));
  text = read_until (second, "can take it");
  ck_assert_ptr_nonnull (strstr (text, " 503 "));
  ck_assert_ptr_nonnull (strstr (text, "Retry-After: 2."));
  /* The gateway writes the answer before it prepares the connection for the
     next request; the clock must not advance in between.  */
  fixture_await_updates (&fixture);
  csp_advance_fake_clock (&fixture.fake_clock, 350);
  await_readiness (" 503 ");
  send_text (second, STREAM_REQUEST ("r3"));
  text = read_until (second, "can take it");
  ck_assert_ptr_nonnull (strstr (text, "Connection: close\r\n"));
  /* After the time that the balancer needs to notice, kept connections are
     closed as well.  */
  csp_advance_fake_clock (&fixture.fake_clock, 2300);
  ck_assert (await_close (caller));
  close (caller);
  close (second);
  close (link);
  /* The other data centre is reachable again, and the next status query is
     answered.  */
  link = accept_target_connection (engine);
  read_target_request (link, 0);
  send_text (link, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  await_readiness (" 200 ");
  close (link);
  close (engine);
}
END_TEST

/* The host has an engine in its own data centre: it stays ready, and new
   requests go to that engine.  */
START_TEST (a_host_with_a_local_engine_stays_ready)
{
  int caller = open_caller (&fixture);
  int local_target;
  int remote_target;
  int link;

  fixture.target_data_centre = "dc-b";
  remote_target = fixture_add_target (&fixture, "t-1", "engines");
  send_text (caller, STREAM_REQUEST ("r1"));
  link = accept_target_connection (remote_target);
  read_target_request (link, 2);
  fixture.target_data_centre = NULL;
  local_target = fixture_add_target (&fixture, "t-2", "engines");
  reset_socket (link);
  read_until (caller, "}");
  csp_advance_fake_clock (&fixture.fake_clock, 400);
  await_readiness (" 200 ");
  send_text (caller, STREAM_REQUEST ("r2"));
  link = accept_target_connection (local_target);
  ck_assert_ptr_nonnull (
      strstr (read_target_request (link, 2), "Request-Id: r2"));
  close (link);
  close (caller);
  close (local_target);
  close (remote_target);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway reach");
  TCase *tcase = tcase_create ("gateway reach");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_host_without_reachable_engines_is_not_ready);
  tcase_add_test (tcase, a_host_with_a_local_engine_stays_ready);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
