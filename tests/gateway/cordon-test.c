#include "gateway/stream-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* A data centre that operators cordon while callers are served from it.  */

static void
cordon (const char *data_centre, bool on)
{
  csp_update_t update = { .kind = CSP_UPDATE_CORDON, .value.cordon.on = on };

  snprintf (update.value.cordon.data_centre,
            sizeof update.value.cordon.data_centre, "%s", data_centre);
  ck_assert (csp_update_gateway (stream.fixture.gateway, &update));
  fixture_settle (&stream.fixture);
}

static int
second_data_centre_target (const char *id, const char *service)
{
  int listener;

  stream.fixture.targets_in = "dc-b";
  listener = fixture_target (&stream.fixture, id, service);
  stream.fixture.targets_in = NULL;
  return listener;
}

/* The only server of the host's own data centre is to get nothing more.
   Requests that still go there are lost with its power; there is another one
   elsewhere.  */
START_TEST (requests_go_to_another_data_centre)
{
  int near = fixture_target (&stream.fixture, "p-a", "plain");
  int far = second_data_centre_target ("p-b", "plain");
  int caller = caller_open (&stream.fixture);
  int link;

  cordon ("dc-a", true);
  send_text (caller, REQUEST ("/once/", "r1"));
  link = target_accept (far);
  target_read (link, 0);
  send_text (link, ANSWER ("r1", "ok", "2"));
  ck_assert_ptr_nonnull (strstr (read_until (caller, "ok"), " 200 "));
  ck_assert_ptr_nonnull (
      strstr (fixture_page (&stream.fixture, "/metrics"),
              "gateway_cordoned{data_centre=\"dc-a\"} 1\n"));
  close (caller);
  close (link);
  close (near);
  close (far);
}
END_TEST

/* All data centres of a service are cordoned.  Nobody may serve the request,
   and a caller that isn't told so at once waits until its time is over; one
   that is told comes back, and is served when a data centre is taken back.  */
static const struct
{
  const char *request;
  const char *service;
} refusals[] = {
  { REQUEST ("/once/", "r1"), "plain" },
  { REQUEST ("/safe/", "r1"), "plain" },
  { REQUEST ("/stream/", "r1"), "engines" },
};

START_TEST (what_nobody_may_serve_is_refused_at_once)
{
  int server = fixture_target (&stream.fixture, "p-a", "plain");
  int caller = caller_open (&stream.fixture);
  const char *text;
  int link;

  cordon ("dc-a", true);
  send_text (caller, refusals[_i].request);
  text = read_until (caller, "are cordoned");
  ck_assert_ptr_nonnull (strstr (text, " 503 "));
  ck_assert_ptr_nonnull (strstr (text, "Retry-After: 1"));
  cordon ("dc-a", false);
  close (caller);
  caller = caller_open (&stream.fixture);
  send_text (caller, refusals[_i].request);
  link = target_accept (strcmp (refusals[_i].service, "plain") == 0
                            ? server
                            : stream.listeners[0]);
  target_read (link, 0);
  close (caller);
  close (link);
  close (server);
}
END_TEST

/* A text runs in the data centre when its cordon comes.  It ends there, whole:
   operators wait for what runs.  */
START_TEST (a_stream_ends_where_it_runs)
{
  start_stream (false);
  add_second ();
  cordon ("dc-a", true);
  send_chunk (stream.link_from, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  finish_at (stream.link_from);
  close (stream.link_from);
}
END_TEST

/* The engine leaves, and its run is being copied to one whose data centre is
   cordoned in that moment.  Sent there the stream ends with the power; it is
   copied to another data centre instead.  */
START_TEST (a_copy_into_a_cordoned_data_centre_is_given_up)
{
  char awaited[64];
  int third;
  int copy;

  start_stream (false);
  stream.fixture.targets_in = "dc-b";
  add_second ();
  stream.fixture.targets_in = NULL;
  fixture_leave (&stream.fixture, stream.listeners[0], stream_ids[0],
                 "engines");
  copy = target_accept (stream.listeners[0]);
  target_read (copy, 0);
  stream.fixture.targets_in = "dc-c";
  third = fixture_target (&stream.fixture, "t-2", "engines");
  stream.fixture.targets_in = NULL;
  cordon ("dc-b", true);
  ck_assert (is_closed (copy));
  close (copy);
  csp_advance_fake_clock (&stream.fixture.fake, 120);
  copy = target_accept (stream.listeners[0]);
  snprintf (awaited, sizeof awaited, "&to=127.0.0.1:%u&last=0",
            port_of (third));
  ck_assert_ptr_nonnull (strstr (target_read (copy, 0), awaited));
  close (copy);
  close (third);
  close (stream.link_from);
}
END_TEST

/* A run was stopped to be moved, and the other engine had no room for its
   rest, so that its memory lies in a cordoned data centre alone.  Within a
   moment of the cordon it goes on there; later nothing may be sent there any
   more, and the caller hears that its stream is cut.  */
static const struct
{
  int passed_ms;
  bool goes_on;
} late_stops[] = { { 500, true }, { 1500, false } };

START_TEST (a_stopped_run_goes_on_in_a_cordoned_data_centre_for_a_moment)
{
  bool reset = false;
  int second;
  int copy;
  int link;

  start_stream (false);
  second = second_data_centre_target (stream_ids[1], "engines");
  cordon ("dc-a", true);
  fixture_leave (&stream.fixture, stream.listeners[0], stream_ids[0],
                 "engines");
  copy = target_accept (stream.listeners[0]);
  target_read (copy, 0);
  send_text (copy, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
  close (copy);
  copy = target_accept (stream.listeners[0]);
  target_read (copy, 0);
  close (stream.link_from);
  csp_advance_fake_clock (&stream.fixture.fake, late_stops[_i].passed_ms);
  send_text (copy, "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nh1");
  if (late_stops[_i].goes_on)
    {
      link = target_accept (stream.listeners[0]);
      ck_assert_ptr_nonnull (
          strstr (target_read (link, 2), "Target-Id: t-0\r\n"));
      close (link);
    }
  else
    read_to_end (stream.caller, &reset);
  close (copy);
  close (second);
}
END_TEST

/* Somebody cordons what is no data centre, by a name that would forge a line
   of the metrics.  */
START_TEST (a_strange_name_forges_no_metrics)
{
  cordon ("x\"} 7\nforged 1", true);
  ck_assert_ptr_nonnull (strstr (fixture_page (&stream.fixture, "/metrics"),
                                 "{data_centre=\"x\\\"} 7?forged 1\"} 1\n"));
  ck_assert_ptr_null (
      strstr (fixture_page (&stream.fixture, "/metrics"), "\nforged"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway-cordon");
  TCase *tcase = tcase_create ("gateway-cordon");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, stream_set_up, stream_tear_down);
  tcase_add_test (tcase, requests_go_to_another_data_centre);
  tcase_add_loop_test (tcase, what_nobody_may_serve_is_refused_at_once, 0,
                       sizeof refusals / sizeof refusals[0]);
  tcase_add_test (tcase, a_stream_ends_where_it_runs);
  tcase_add_test (tcase, a_copy_into_a_cordoned_data_centre_is_given_up);
  tcase_add_loop_test (
      tcase, a_stopped_run_goes_on_in_a_cordoned_data_centre_for_a_moment, 0,
      sizeof late_stops / sizeof late_stops[0]);
  tcase_add_test (tcase, a_strange_name_forges_no_metrics);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
