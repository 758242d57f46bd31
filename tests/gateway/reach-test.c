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
  fixture_publish (&fixture, true);
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
  while (strstr (fixture_page (&fixture, "/readyz"), status) == NULL)
    continue;
}

/* The host's own engines were just taken away when its links to the other data
   centre begin to break: the request that meets the cut may have run and is
   lost.  Before, all that came behind it met the same, and the balancer went
   on sending callers here, though hosts elsewhere could serve them.  */
START_TEST (a_host_without_engines_sends_its_callers_elsewhere)
{
  int caller = caller_open (&fixture);
  int second = caller_open (&fixture);
  const char *text;
  int engine;
  int link;

  fixture.targets_in = "dc-b";
  engine = fixture_target (&fixture, "t-1", "engines");
  await_readiness (" 200 ");
  send_text (caller, STREAM_REQUEST ("r1"));
  link = target_accept (engine);
  target_read (link, 2);
  reset_socket (link);
  ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"), " 502 "));
  /* A question that may be repeated goes there, and nothing else.  */
  link = target_accept (engine);
  ck_assert_ptr_nonnull (strstr (target_read (link, 0), "GET /report"));
  send_text (second, STREAM_REQUEST ("r2"));
  text = read_until (second, "can take it");
  ck_assert_ptr_nonnull (strstr (text, " 503 "));
  ck_assert_ptr_nonnull (strstr (text, "Retry-After: 2."));
  /* The answer is written before its connection is set for the next request;
     the time must not pass in between.  */
  fixture_settle (&fixture);
  csp_advance_fake_clock (&fixture.fake, 350);
  await_readiness (" 503 ");
  send_text (second, STREAM_REQUEST ("r3"));
  text = read_until (second, "can take it");
  ck_assert_ptr_nonnull (strstr (text, "Connection: close\r\n"));
  /* Behind the balancer's notice connections that were kept go as well.  */
  csp_advance_fake_clock (&fixture.fake, 2300);
  ck_assert (is_closed (caller));
  close (caller);
  close (second);
  close (link);
  /* The cut has healed, and the next question is answered.  */
  link = target_accept (engine);
  target_read (link, 0);
  send_text (link, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  await_readiness (" 200 ");
  close (link);
  close (engine);
}
END_TEST

/* The host still has an engine of its own: it stays ready, and all that comes
   goes there.  */
START_TEST (a_host_with_an_engine_of_its_own_stays_ready)
{
  int caller = caller_open (&fixture);
  int home;
  int away;
  int link;

  fixture.targets_in = "dc-b";
  away = fixture_target (&fixture, "t-1", "engines");
  send_text (caller, STREAM_REQUEST ("r1"));
  link = target_accept (away);
  target_read (link, 2);
  fixture.targets_in = NULL;
  home = fixture_target (&fixture, "t-2", "engines");
  reset_socket (link);
  read_until (caller, "}");
  csp_advance_fake_clock (&fixture.fake, 400);
  await_readiness (" 200 ");
  send_text (caller, STREAM_REQUEST ("r2"));
  link = target_accept (home);
  ck_assert_ptr_nonnull (strstr (target_read (link, 2), "Request-Id: r2"));
  close (link);
  close (caller);
  close (home);
  close (away);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway reach");
  TCase *tcase = tcase_create ("gateway reach");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_host_without_engines_sends_its_callers_elsewhere);
  tcase_add_test (tcase, a_host_with_an_engine_of_its_own_stays_ready);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
