#include "gateway/stream-fixture.h"

#include "cowslipspoke/hash.h"
#include "cowslipspoke/roster.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Streams whose engine is told to leave.  */

/* The engine will be taken away in a second and a half.  The run's memory is
   copied while it goes on, then the run is stopped for the rest, and only when
   the stop is confirmed it goes on elsewhere: never do two work at once, and
   events that cross the stop still reach the caller.  */
START_TEST (a_stream_leaves_its_target_by_two_copies)
{
  char awaited[64];
  const char *text;
  int copy;
  int link;

  start_stream (false);
  add_second ();
  fixture_leave (&stream.fixture, stream.listeners[0], stream_ids[0],
                 "engines");
  copy = target_accept (stream.listeners[0]);
  text = target_read (copy, 0);
  snprintf (awaited, sizeof awaited, "/move?id=r1&to=127.0.0.1:%u&last=0",
            port_of (stream.listeners[1]));
  ck_assert_msg (strstr (text, awaited) != NULL, "%s", text);
  send_chunk (stream.link_from, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  send_text (copy, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
  close (copy);
  copy = target_accept (stream.listeners[0]);
  ck_assert_ptr_nonnull (strstr (target_read (copy, 0), "last=1"));
  send_chunk (stream.link_from, EVENT ("3", "three"));
  close (stream.link_from);
  read_until (stream.caller, "three\n\n");
  send_text (copy, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
  link = target_accept (stream.listeners[1]);
  text = target_read (link, 2);
  snprintf (awaited, sizeof awaited, "Go-On-From: 127.0.0.1:%u/h1\r\n",
            port_of (stream.listeners[0]));
  ck_assert_msg (strstr (text, awaited) != NULL, "%s", text);
  ck_assert_ptr_nonnull (strstr (text, "Last-Event-Id: 3\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "Target-Id: t-1\r\n"));
  send_text (link, STREAM_HEAD);
  send_chunk (link, EVENT ("4", "four"));
  read_until (stream.caller, "four\n\n");
  finish_at (link);
  close (link);
  close (copy);
}
END_TEST

/* A stream leaves its engine, which has made the first copy and is asked for
   the last one.  Returns the connection of that question.  */
static int
reach_the_stop (void)
{
  int copy;

  start_stream (false);
  add_second ();
  fixture_leave (&stream.fixture, stream.listeners[0], stream_ids[0],
                 "engines");
  copy = target_accept (stream.listeners[0]);
  target_read (copy, 0);
  send_text (copy, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
  close (copy);
  copy = target_accept (stream.listeners[0]);
  target_read (copy, 0);
  return copy;
}

/* The other engine has no room for the rest.  The source still holds all of
   the run, which goes on there, by the handle of its own answer.  */
START_TEST (a_stopped_stream_without_room_goes_on_at_its_source)
{
  int copy = reach_the_stop ();
  int link;

  close (stream.link_from);
  send_text (copy, "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nh1");
  link = target_accept (stream.listeners[0]);
  ck_assert_ptr_nonnull (strstr (target_read (link, 2), "Target-Id: t-0\r\n"));
  send_text (link, STREAM_HEAD);
  send_chunk (link, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  finish_at (link);
  close (link);
  close (copy);
}
END_TEST

/* The engine that the run was copied to has crashed by the time the run is
   stopped, and its entry is gone.  A stream that is sent there ends; the
   source still holds all of the run.  */
START_TEST (a_stopped_stream_whose_destination_is_gone_stays_at_its_source)
{
  int copy = reach_the_stop ();
  int link;

  fixture_remove (&stream.fixture, stream_ids[1]);
  fixture_settle (&stream.fixture);
  close (stream.link_from);
  send_text (copy, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
  link = target_accept (stream.listeners[0]);
  ck_assert_ptr_nonnull (strstr (target_read (link, 2), "Target-Id: t-0\r\n"));
  close (link);
  close (copy);
}
END_TEST

/* Guards against a run that goes on at an engine that has asked for a wait
   while the run was copied there; its source still holds it.  */
START_TEST (
    a_stopped_stream_whose_destination_wants_a_wait_stays_at_its_source)
{
  int copy = reach_the_stop ();
  int caller = caller_open (&stream.fixture);
  int link;

  send_text (caller, REQUEST ("/stream/", "r2"));
  link = target_accept (stream.listeners[1]);
  target_read (link, 0);
  send_text (link, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 5\r\n"
                   "Content-Length: 0\r\n\r\n");
  read_until (caller, " 503 ");
  close (link);
  close (caller);
  close (stream.link_from);
  send_text (copy, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
  link = target_accept (stream.listeners[0]);
  ck_assert_ptr_nonnull (strstr (target_read (link, 2), "Target-Id: t-0\r\n"));
  close (link);
  close (copy);
}
END_TEST

/* The second engine gets its notice while the run is still being copied there.
   Stopped for it, the run would have to move once more with half of the time
   gone; it goes on where it is and is copied to a third one.  */
START_TEST (a_copy_to_an_engine_that_leaves_too_is_given_up)
{
  char awaited[64];
  int third;
  int copy;

  start_stream (false);
  add_second ();
  fixture_leave (&stream.fixture, stream.listeners[0], stream_ids[0],
                 "engines");
  copy = target_accept (stream.listeners[0]);
  target_read (copy, 0);
  third = fixture_target (&stream.fixture, "t-2", "engines");
  fixture_leave (&stream.fixture, stream.listeners[1], stream_ids[1],
                 "engines");
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

/* The stop is refused and the run goes on where it is: so does the stream.  */
START_TEST (a_stream_that_was_not_stopped_goes_on)
{
  int copy = reach_the_stop ();

  send_text (copy, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
  close (copy);
  send_chunk (stream.link_from, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  finish_at (stream.link_from);
  close (stream.link_from);
  ck_assert_ptr_nonnull (
      strstr (fixture_page (&stream.fixture, "/metrics"),
              "cowslipspoke_organisation_time_to_first_token_seconds_count{"
              "organisation=\"org-a\"} 1\n"));
}
END_TEST

/* A run that is too young has no whole copy at its backup yet.  Giving it up
   for that copy loses it, so it is moved as if it had none.  */
START_TEST (a_young_run_is_not_given_up_for_its_backup)
{
  int copy;

  start_stream (true);
  fixture_leave (&stream.fixture, stream.listeners[stream.from],
                 stream_ids[stream.from], "engines");
  copy = target_accept (stream.listeners[stream.from]);
  ck_assert_ptr_nonnull (strstr (target_read (copy, 0), "last=0"));
  close (copy);
  close (stream.link_from);
}
END_TEST

START_TEST (a_run_with_a_whole_backup_goes_on_there_at_once)
{
  int link;

  start_stream (true);
  csp_advance_fake_clock (&stream.fixture.fake, 2000);
  fixture_leave (&stream.fixture, stream.listeners[stream.from],
                 stream_ids[stream.from], "engines");
  ck_assert (is_closed (stream.link_from));
  close (stream.link_from);
  link = target_accept (stream.listeners[1 - stream.from]);
  ck_assert_ptr_nonnull (strstr (target_read (link, 2), "Go-On-From: "));
  send_text (link, STREAM_HEAD);
  send_chunk (link, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  finish_at (link);
  close (link);
}
END_TEST

/* Guesses of the length are far off in the tails.  A run that has outlived its
   guess many times over is not about to end: left where it is, it is lost with
   its engine.  */
START_TEST (a_run_past_its_guess_is_not_taken_for_nearly_done)
{
  int link;

  start_guessed_stream (true, 10);
  csp_advance_fake_clock (&stream.fixture.fake, 800);
  send_chunk (stream.link_from, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  csp_advance_fake_clock (&stream.fixture.fake, 800);
  send_chunk (stream.link_from, EVENT ("3", "three"));
  read_until (stream.caller, "three\n\n");
  fixture_leave (&stream.fixture, stream.listeners[stream.from],
                 stream_ids[stream.from], "engines");
  ck_assert (is_closed (stream.link_from));
  close (stream.link_from);
  link = target_accept (stream.listeners[1 - stream.from]);
  ck_assert_ptr_nonnull (strstr (target_read (link, 2), "Go-On-From: "));
  close (link);
}
END_TEST

/* A run looked nearly done when its engine's notice came, and is left where it
   is.  It writes on, with no other stream there that would make the host look
   again; the engine ends and the text is cut.  */
START_TEST (a_run_that_does_not_end_in_time_is_moved_after_all)
{
  int copy;

  start_guessed_stream (false, 40);
  add_second ();
  fixture_leave (&stream.fixture, stream.listeners[0], stream_ids[0],
                 "engines");
  fixture_settle (&stream.fixture);
  csp_advance_fake_clock (&stream.fixture.fake, 600);
  copy = target_accept (stream.listeners[0]);
  ck_assert_ptr_nonnull (strstr (target_read (copy, 0), "last=0"));
  close (copy);
  close (stream.link_from);
}
END_TEST

/* The platform has been heard, and then for so long not.  */
static void
hear_nothing_for (int64_t silent_ms)
{
  fixture_update (&stream.fixture, CSP_UPDATE_PLATFORM_HEARD);
  fixture_settle (&stream.fixture);
  csp_advance_fake_clock (&stream.fixture.fake, silent_ms);
}

static bool
has_asked (int questions)
{
  char text[80];

  snprintf (text, sizeof text,
            "cowslipspoke_gateway_target_reports_total %d\n", questions);
  return strstr (fixture_page (&stream.fixture, "/metrics"), text) != NULL;
}

/* The platform's store is down, and the engine is told to leave meanwhile: the
   list of targets can't say so.  Without asking the engine the text is cut
   when it goes.  */
START_TEST (a_target_is_asked_when_the_platform_says_nothing)
{
  int report;

  start_stream (false);
  hear_nothing_for (500);
  fixture_settle (&stream.fixture);
  ck_assert (has_asked (0));
  csp_advance_fake_clock (&stream.fixture.fake, 300);
  report = target_accept (stream.listeners[0]);
  ck_assert_ptr_nonnull (strstr (target_read (report, 0), "GET /report"));
  add_second ();
  send_text (report, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nleaving");
  /* The same connection, as nothing about it is in doubt.  */
  ck_assert_ptr_nonnull (strstr (target_read (report, 0), "last=0"));
  close (report);
  close (stream.link_from);
}
END_TEST

/* The engine that was asked is well: nothing moves.  It is asked again later,
   on the same connection; and also for some seconds behind the platform's
   return, as engines that are gone stay in the list for so long.  They look
   empty, and streams that leave others would be sent there.  */
START_TEST (engines_are_asked_until_the_list_is_sure_again)
{
  int report;

  start_stream (false);
  hear_nothing_for (800);
  report = target_accept (stream.listeners[0]);
  target_read (report, 0);
  send_text (report, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\n"
                     "Content-Length: 2\r\n\r\nok");
  fixture_update (&stream.fixture, CSP_UPDATE_PLATFORM_HEARD);
  fixture_settle (&stream.fixture);
  csp_advance_fake_clock (&stream.fixture.fake, 450);
  ck_assert_ptr_nonnull (strstr (target_read (report, 0), "GET /report"));
  send_text (report, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\n"
                     "Content-Length: 2\r\n\r\nok");
  send_chunk (stream.link_from, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  finish_at (stream.link_from);
  close (report);
  close (stream.link_from);
}
END_TEST

/* Thousands of engines can't all be asked at once: the host that decides would
   answer no ask for a place meanwhile.  They are asked in turns, and each
   one's comes.  */
START_TEST (many_engines_are_asked_in_turns)
{
  char id[16];
  int i;

  for (i = 1; i < 100; i++)
    {
      snprintf (id, sizeof id, "many-%d", i);
      fixture_list (&stream.fixture, stream.listeners[0], id, "engines");
    }
  fixture_settle (&stream.fixture);
  hear_nothing_for (800);
  while (!has_asked (100))
    continue;
}
END_TEST

/* Send the gateway what another host tells.  */
static void
tell (const csp_hello_t *hello)
{
  int sender = socket (AF_INET, SOCK_DGRAM, 0);
  csp_buffer_t bytes = { 0 };

  ck_assert (csp_encode_hello (hello, &bytes));
  ck_assert_int_eq (sendto (sender, bytes.data, bytes.size_bytes, 0,
                            (struct sockaddr *)&stream.peers,
                            sizeof stream.peers),
                    (int)bytes.size_bytes);
  csp_clear_buffer (&bytes);
  close (sender);
}

/* Another host fills an engine that has just come, and tells so before this
   host has read of the engine.  Were that forgotten, this host would take the
   full engine for an idle one.  */
START_TEST (a_load_that_is_told_before_its_target_is_listed_counts)
{
  csp_hello_t hello = { .boot = 1,
                        .sequence = 1,
                        .leaving = true,
                        .load_count = 1,
                        .loads = { { .target = csp_hash_pair ("target", "t-1"),
                                     .requests = 1,
                                     .tokens = 100000 } } };
  int callers[2];
  int links[2];
  size_t i;

  tell (&hello);
  while (strstr (fixture_page (&stream.fixture, "/metrics"),
                 "cowslipspoke_gateway_peers 1\n")
         == NULL)
    continue;
  add_second ();
  for (i = 0; i < 2; i++)
    {
      callers[i] = caller_open (&stream.fixture);
      send_text (callers[i], "GET /stream/ HTTP/1.1\r\nHost: h\r\n"
                             "Key: key-a\r\nRequest-Id: r1\r\n"
                             "Tokens: 100,2000\r\n\r\n");
      links[i] = target_accept (stream.listeners[0]);
      target_read (links[i], 0);
    }
  for (i = 0; i < 2; i++)
    {
      close (callers[i]);
      close (links[i]);
    }
}
END_TEST

/* The next load that the gateway tells another host.  */
static csp_peer_load_t
await_load (int host)
{
  char room[CSP_HELLO_MAX_BYTES];
  csp_hello_t hello;

  for (;;)
    {
      ssize_t size_bytes = recv (host, room, sizeof room, 0);

      ck_assert_int_gt (size_bytes, 0);
      ck_assert (csp_decode_hello (room, (size_t)size_bytes, &hello));
      if (hello.load_count > 0)
        return hello.loads[0];
    }
}

/* Read what the gateway tells another host until it tells of a stream that
   would have to be moved; how many tokens.  */
static uint32_t
await_movable (int host)
{
  csp_peer_load_t load;

  do
    load = await_load (host);
  while (load.movable_tokens == 0);
  return load.movable_tokens;
}

static void
await_no_request (int host)
{
  while (await_load (host).requests > 0)
    continue;
}

/* A host that would decide next, and so is told the gateway's loads.  */
static int
open_other_host (void)
{
  csp_hello_t hello = { .boot = 1, .sequence = 1 };
  struct timeval wait = { .tv_sec = 5 };
  csp_buffer_t bytes = { 0 };
  int host = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  setsockopt (host, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  ck_assert (csp_encode_hello (&hello, &bytes));
  ck_assert_int_eq (sendto (host, bytes.data, bytes.size_bytes, 0,
                            (struct sockaddr *)&stream.peers,
                            sizeof stream.peers),
                    (int)bytes.size_bytes);
  csp_clear_buffer (&bytes);
  while (strstr (fixture_page (&stream.fixture, "/metrics"),
                 "cowslipspoke_gateway_peers 1\n")
         == NULL)
    continue;
  return host;
}

/* Where nobody decides hosts move their streams from an engine in turns, by
   what each told that it has to move there.  Streams that had ended stayed
   counted, so after some minutes every other host waited for a turn that came
   after the engine was gone, and its texts were cut.  */
START_TEST (a_stream_that_has_ended_is_not_told_as_one_to_move)
{
  int host = open_other_host ();
  uint32_t tokens;

  start_stream (false);
  tokens = await_movable (host);
  finish_at (stream.link_from);
  close (stream.link_from);
  close (stream.caller);
  /* An end and a start within the moment in which changes are told together
     are none.  */
  await_no_request (host);
  start_stream (false);
  ck_assert_uint_eq (await_movable (host), tokens);
  finish_at (stream.link_from);
  close (stream.link_from);
  close (host);
}
END_TEST

/* The platform says nothing, and the host that decides has asked an engine and
   heard that it leaves.  The others move their streams by its word.  */
START_TEST (another_host_tells_that_a_target_leaves)
{
  csp_hello_t hello = { .boot = 1,
                        .sequence = 1,
                        .leaving = true,
                        .left_count = 2,
                        .left = { 77, csp_hash_pair ("target", "t-0") } };
  int copy;

  start_stream (false);
  add_second ();
  tell (&hello);
  copy = target_accept (stream.listeners[0]);
  ck_assert_ptr_nonnull (strstr (target_read (copy, 0), "last=0"));
  close (copy);
  close (stream.link_from);
}
END_TEST

/* Wait until the gateway has noticed so many failures of moves.  */
static void
await_failed_moves (int count)
{
  char awaited[80];

  snprintf (awaited, sizeof awaited,
            "cowslipspoke_gateway_stream_moves_failed_total %d\n", count);
  while (strstr (fixture_page (&stream.fixture, "/metrics"), awaited) == NULL)
    usleep (1000);
}

/* The engine chosen for a stream has no room.  There is some a moment later,
   with each run that ends; a host that gives up after a few refusals loses the
   text with its engine.  */
START_TEST (a_refused_move_is_tried_again)
{
  int tries;
  int copy;

  start_stream (false);
  add_second ();
  fixture_leave (&stream.fixture, stream.listeners[0], stream_ids[0],
                 "engines");
  for (tries = 0; tries < 8; tries++)
    {
      copy = target_accept (stream.listeners[0]);
      ck_assert_ptr_nonnull (strstr (target_read (copy, 0), "last=0"));
      send_text (copy, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
      close (copy);
      await_failed_moves (tries + 1);
      csp_advance_fake_clock (&stream.fixture.fake, 120);
    }
  send_chunk (stream.link_from, EVENT ("2", "two"));
  read_until (stream.caller, "two\n\n");
  finish_at (stream.link_from);
  close (stream.link_from);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("leave");
  TCase *tcase = tcase_create ("leave");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, stream_set_up, stream_tear_down);
  tcase_add_test (tcase, a_stream_leaves_its_target_by_two_copies);
  tcase_add_test (tcase, a_stopped_stream_without_room_goes_on_at_its_source);
  tcase_add_test (
      tcase, a_stopped_stream_whose_destination_is_gone_stays_at_its_source);
  tcase_add_test (
      tcase,
      a_stopped_stream_whose_destination_wants_a_wait_stays_at_its_source);
  tcase_add_test (tcase, a_copy_to_an_engine_that_leaves_too_is_given_up);
  tcase_add_test (tcase, a_stream_that_was_not_stopped_goes_on);
  tcase_add_test (tcase, a_young_run_is_not_given_up_for_its_backup);
  tcase_add_test (tcase, a_run_with_a_whole_backup_goes_on_there_at_once);
  tcase_add_test (tcase, a_run_past_its_guess_is_not_taken_for_nearly_done);
  tcase_add_test (tcase, a_run_that_does_not_end_in_time_is_moved_after_all);
  tcase_add_test (tcase, a_target_is_asked_when_the_platform_says_nothing);
  tcase_add_test (tcase, engines_are_asked_until_the_list_is_sure_again);
  tcase_add_test (tcase,
                  a_load_that_is_told_before_its_target_is_listed_counts);
  tcase_add_test (tcase, a_stream_that_has_ended_is_not_told_as_one_to_move);
  tcase_add_test (tcase, another_host_tells_that_a_target_leaves);
  tcase_add_test (tcase, a_refused_move_is_tried_again);
  tcase_add_test (tcase, many_engines_are_asked_in_turns);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
