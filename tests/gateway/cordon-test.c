#include "gateway/stream-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Operators cordon a data centre while it serves callers.  */

static void
cordon (const char *data_centre, bool on)
{
  csp_update_t update = { .kind = CSP_UPDATE_CORDON, .value.cordon.on = on };

  snprintf (update.value.cordon.data_centre,
            sizeof update.value.cordon.data_centre, "%s", data_centre);
  ck_assert (csp_update_gateway (stream.fixture.gateway, &update));
  fixture_await_updates (&stream.fixture);
}

static int
add_target_in_second_data_centre (const char *id, const char *service)
{
  int listener;

  stream.fixture.target_data_centre = "dc-b";
  listener = fixture_add_target (&stream.fixture, id, service);
  stream.fixture.target_data_centre = NULL;
  return listener;
}

/* The only target in the host's own data centre must get no more requests;
   they would be lost when its power is cut.  A target in another data centre
   gets them.  */
START_TEST (requests_go_to_another_data_centre)
{
  int near = fixture_add_target (&stream.fixture, "p-a", "plain");
  int far = add_target_in_second_data_centre ("p-b", "plain");
  int caller = open_caller (&stream.fixture);
  int link;

  cordon ("dc-a", true);
  send_text (caller, REQUEST ("/once/", "r1"));
  link = accept_target_connection (far);
  read_target_request (link, 0);
  send_text (link, ANSWER ("r1", "ok", "2"));
  ck_assert_ptr_nonnull (strstr (read_until (caller, "ok"), " 200 "));
  ck_assert_ptr_nonnull (
      strstr (fixture_get_page (&stream.fixture, "/metrics"),
              "gateway_cordoned{data_centre=\"dc-a\"} 1\n"));
  close (caller);
  close (link);
  close (near);
  close (far);
}
END_TEST

/* All data centres of a service are cordoned.  No target may serve the
   request, and a caller that isn't told so at once waits until its deadline.
   A caller that is refused with Retry-After comes back, and is served once a
   cordon is lifted.  */
static const struct
{
  const char *request;
  const char *service;
} refusals[] = {
  { REQUEST ("/once/", "r1"), "plain" },
  { REQUEST ("/safe/", "r1"), "plain" },
  { REQUEST ("/stream/", "r1"), "engines" },
};

START_TEST (requests_are_refused_at_once_when_all_data_centres_are_cordoned)
{
  int server = fixture_add_target (&stream.fixture, "p-a", "plain");
  int caller = open_caller (&stream.fixture);
  const char *text;
  int link;

  cordon ("dc-a", true);
  send_text (caller, refusals[_i].request);
  text = read_until (caller, "are cordoned");
  ck_assert_ptr_nonnull (strstr (text, " 503 "));
  ck_assert_ptr_nonnull (strstr (text, "Retry-After: 1"));
  cordon ("dc-a", false);
  close (caller);
  caller = open_caller (&stream.fixture);
  send_text (caller, refusals[_i].request);
  link = accept_target_connection (strcmp (refusals[_i].service, "plain") == 0
                                       ? server
                                       : stream.listeners[0]);
  read_target_request (link, 0);
  close (caller);
  close (link);
  close (server);
}
END_TEST

/* A data centre is cordoned while a stream runs there.  The stream finishes
   there completely: operators wait for running streams.  */
START_TEST (a_running_stream_finishes_in_a_cordoned_data_centre)
{
  start_stream (false);
  add_second_engine ();
  cordon ("dc-a", true);
  send_chunk (stream.source_link, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  finish_stream (stream.source_link);
  close (stream.source_link);
}
END_TEST

/* The engine leaves, and while its run is copied to another engine the data
   centre of that engine is cordoned.  A stream that continued there would be
   lost when the power is cut; the run is copied to another data centre
   instead.  */
START_TEST (a_copy_to_a_cordoned_data_centre_is_given_up)
{
  char expected[64];
  int third;
  int move_link;

  start_stream (false);
  stream.fixture.target_data_centre = "dc-b";
  add_second_engine ();
  stream.fixture.target_data_centre = NULL;
  fixture_mark_leaving (&stream.fixture, stream.listeners[0],
                        stream_engine_ids[0], "engines");
  move_link = accept_target_connection (stream.listeners[0]);
  read_target_request (move_link, 0);
  stream.fixture.target_data_centre = "dc-c";
  third = fixture_add_target (&stream.fixture, "t-2", "engines");
  stream.fixture.target_data_centre = NULL;
  cordon ("dc-b", true);
  ck_assert (await_close (move_link));
  close (move_link);
  csp_advance_fake_clock (&stream.fixture.fake_clock, 120);
  move_link = accept_target_connection (stream.listeners[0]);
  snprintf (expected, sizeof expected, "&to=%s&last=0",
            format_listener_address (third));
  ck_assert_ptr_nonnull (
      strstr (read_target_request (move_link, 0), expected));
  close (move_link);
  close (third);
  close (stream.source_link);
}
END_TEST

/* A run was stopped for a move, and the destination refused the rest of its
   memory, so the only copy is in a cordoned data centre.  Within a second
   after the cordon the run resumes there; later nothing may be sent there, and
   the caller's stream is cut off.  */
static const struct
{
  int elapsed_ms;
  bool continues;
} stop_delays[] = { { 500, true }, { 1500, false } };

START_TEST (a_stopped_run_may_resume_in_a_cordoned_data_centre_for_a_second)
{
  bool reset = false;
  int second;
  int move_link;
  int link;

  start_stream (false);
  second = add_target_in_second_data_centre (stream_engine_ids[1], "engines");
  cordon ("dc-a", true);
  fixture_mark_leaving (&stream.fixture, stream.listeners[0],
                        stream_engine_ids[0], "engines");
  move_link = accept_target_connection (stream.listeners[0]);
  read_target_request (move_link, 0);
  send_text (move_link, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
  close (move_link);
  move_link = accept_target_connection (stream.listeners[0]);
  read_target_request (move_link, 0);
  close (stream.source_link);
  csp_advance_fake_clock (&stream.fixture.fake_clock,
                          stop_delays[_i].elapsed_ms);
  send_text (move_link, "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nh1");
  if (stop_delays[_i].continues)
    {
      link = accept_target_connection (stream.listeners[0]);
      ck_assert_ptr_nonnull (
          strstr (read_target_request (link, 2), "Target-Id: t-0\r\n"));
      close (link);
    }
  else
    read_to_end (stream.caller, &reset);
  close (move_link);
  close (second);
}
END_TEST

/* A cordon is set for a name that is no data centre and that would forge a
   line of the metrics unless it is escaped.  */
START_TEST (a_cordon_name_is_escaped_in_metrics)
{
  cordon ("x\"} 7\nforged 1", true);
  ck_assert_ptr_nonnull (
      strstr (fixture_get_page (&stream.fixture, "/metrics"),
              "{data_centre=\"x\\\"} 7?forged 1\"} 1\n"));
  ck_assert_ptr_null (
      strstr (fixture_get_page (&stream.fixture, "/metrics"), "\nforged"));
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
  tcase_add_loop_test (
      tcase, requests_are_refused_at_once_when_all_data_centres_are_cordoned,
      0, sizeof refusals / sizeof refusals[0]);
  tcase_add_test (tcase, a_running_stream_finishes_in_a_cordoned_data_centre);
  tcase_add_test (tcase, a_copy_to_a_cordoned_data_centre_is_given_up);
  tcase_add_loop_test (
      tcase, a_stopped_run_may_resume_in_a_cordoned_data_centre_for_a_second,
      0, sizeof stop_delays / sizeof stop_delays[0]);
  tcase_add_test (tcase, a_cordon_name_is_escaped_in_metrics);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
