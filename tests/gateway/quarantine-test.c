#include "gateway/gateway-fixture.h"

#include "support/run-suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* A request that makes targets end is sent again and again, through any host;
   or many requests that share the part of a prompt which does so.  */

enum
{
  HOSTS = 2,
  WAIT_MS = 10000,
  /* Targets that end under a part until it comes on trial, and the time
     between two of them.  */
  ENDS = 4,
  BETWEEN_ENDS_MS = 700,
  STEP_MS = 1,
  TRIAL_MS = 10000,
  BODY_BYTES = 16
};

static fixture_t hosts[HOSTS];
static struct sockaddr_in datagram_addresses[HOSTS];
static const char *prompt_parts; /* of the requests to send; NULL: none */

static void
set_up (void)
{
  size_t i;

  prompt_parts = NULL;
  for (i = 0; i < HOSTS; i++)
    {
      datagram_addresses[i]
          = (struct sockaddr_in){ .sin_family = AF_INET,
                                  .sin_port = htons (8748 + i) };
      /* A loopback address that no other test process uses.  */
      datagram_addresses[i].sin_addr.s_addr
          = htonl (0x7f400000U | ((uint32_t)getpid () & 0x1fffff));
    }
  for (i = 0; i < HOSTS; i++)
    {
      hosts[i].seed = &datagram_addresses[HOSTS - 1 - i];
      fixture_open_at (&hosts[i], &datagram_addresses[i]);
      fixture_publish_routes (&hosts[i], true);
    }
}

static void
tear_down (void)
{
  size_t i;

  for (i = 0; i < HOSTS; i++)
    fixture_close (&hosts[i]);
}

static void
send_request (int caller, const char *id, const char *body)
{
  char request[300];

  snprintf (request, sizeof request,
            "POST /once/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
            "Request-Id: %s\r\nTime-Left: 3000\r\nPrompt-Parts: %s\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            id, prompt_parts == NULL ? "" : prompt_parts, strlen (body), body);
  send_text (caller, request);
}

/* Send a request through a host whose only target ends while it runs the
   request.  */
static void
end_target_during_request (fixture_t *host, const char *target_id,
                           const char *body)
{
  int listener = fixture_add_target (host, target_id, "plain");
  int caller = open_caller (host);
  int link;

  send_request (caller, target_id, body);
  link = accept_target_connection (listener);
  read_target_request (link, strlen (body));
  close (listener);
  close (link);
  ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"), " 502 "));
  close (caller);
  fixture_remove_target (host, target_id);
  fixture_await_updates (host);
}

static char refusal[1000]; /* to the last refused request */

/* Whether a request reaches a host's next target and isn't refused.  */
static bool
reaches_target (fixture_t *host, const char *body)
{
  int listener = fixture_add_target (host, "t-next", "plain");
  int caller = open_caller (host);
  struct pollfd ready[] = { { .fd = listener, .events = POLLIN },
                            { .fd = caller, .events = POLLIN } };
  bool reached;

  send_request (caller, "next", body);
  ck_assert_int_gt (poll (ready, 2, WAIT_MS), 0);
  reached = ready[0].revents != 0;
  if (!reached)
    snprintf (refusal, sizeof refusal, "%s", read_until (caller, "\r\n\r\n"));
  close (caller);
  close (listener);
  fixture_remove_target (host, "t-next");
  fixture_await_updates (host);
  return reached;
}

/* Strikes reach other hosts after a short delay.  */
static void
await_quarantine (fixture_t *host)
{
  while (strstr (fixture_get_page (host, "/metrics"), "_quarantined 1\n")
         == NULL)
    continue;
}

/* Guards against a request that makes one target after another end.  */
START_TEST (a_request_that_ended_three_targets_reaches_no_other)
{
  end_target_during_request (&hosts[0], "t-1", "poison");
  end_target_during_request (&hosts[0], "t-2", "poison");
  end_target_during_request (&hosts[0], "t-3", "poison");
  ck_assert (!reaches_target (&hosts[0], "poison"));
  ck_assert_ptr_nonnull (strstr (refusal, " 503 "));
  ck_assert_ptr_nonnull (strstr (refusal, "Retry-After: "));
}
END_TEST

/* Guards against hosts that each count only the strikes that they saw
   themselves.  */
START_TEST (strikes_of_several_hosts_are_added_up)
{
  end_target_during_request (&hosts[0], "t-1", "poison");
  end_target_during_request (&hosts[1], "t-2", "poison");
  end_target_during_request (&hosts[0], "t-3", "poison");
  await_quarantine (&hosts[0]);
  await_quarantine (&hosts[1]);
  ck_assert (!reaches_target (&hosts[1], "poison"));
  ck_assert_ptr_nonnull (strstr (refusal, " 503 "));
}
END_TEST

/* Guards against a request that is already queued at a target and would make
   it end as soon as it runs.  */
START_TEST (a_pending_attempt_ends_at_the_third_strike)
{
  int listener = fixture_add_target (&hosts[0], "t-4", "plain");
  int caller = open_caller (&hosts[0]);
  int link;

  send_request (caller, "waits", "poison");
  link = accept_target_connection (listener);
  read_target_request (link, strlen ("poison"));
  fixture_remove_target (&hosts[0], "t-4");
  end_target_during_request (&hosts[0], "t-1", "poison");
  end_target_during_request (&hosts[0], "t-2", "poison");
  end_target_during_request (&hosts[0], "t-3", "poison");
  ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"), " 502 "));
  ck_assert (await_close (link));
  close (link);
  close (listener);
  close (caller);
}
END_TEST

/* Let a host's only target answer a request.  */
static void
answer_at_target (fixture_t *host, const char *id, const char *body,
                  const char *status)
{
  int listener = fixture_add_target (host, id, "plain");
  int caller = open_caller (host);
  char answer[200];
  int link;

  send_request (caller, id, body);
  link = accept_target_connection (listener);
  read_target_request (link, strlen (body));
  snprintf (answer, sizeof answer,
            "HTTP/1.1 %s\r\nRequest-Id: %s\r\nSignature: s\r\n"
            "Content-Length: 2\r\n\r\nok",
            status, id);
  send_text (link, answer);
  read_until (caller, "ok");
  close (caller);
  close (listener);
  close (link);
  fixture_remove_target (host, id);
  fixture_await_updates (host);
}

static const struct
{
  const char *status;
  bool quarantined;
} intervening_answers[] = {
  { "200 OK", false },
  /* A failing target may answer this without running anything.  */
  { "500 Error", true },
  { "504 Timeout", true },
};

/* Guards against an error of a failing target that counts as a successful
   run.  */
START_TEST (only_a_success_clears_strikes)
{
  end_target_during_request (&hosts[0], "t-1", "poison");
  end_target_during_request (&hosts[0], "t-2", "poison");
  answer_at_target (&hosts[0], "t-3", "poison",
                    intervening_answers[_i].status);
  end_target_during_request (&hosts[0], "t-4", "poison");
  ck_assert (reaches_target (&hosts[0], "poison")
             != intervening_answers[_i].quarantined);
}
END_TEST

/* Guards against refusing requests other than the one that made targets
   end.  */
START_TEST (other_requests_are_still_served)
{
  end_target_during_request (&hosts[0], "t-1", "poison");
  end_target_during_request (&hosts[0], "t-2", "poison");
  end_target_during_request (&hosts[0], "t-3", "poison");
  ck_assert (reaches_target (&hosts[0], "another"));
}
END_TEST

/* Times that hosts tell each other are ages, so all clocks go on together.  */
static void
advance_clocks (int64_t ms)
{
  size_t i;

  for (i = 0; i < HOSTS; i++)
    csp_advance_fake_clock (&hosts[i].fake_clock, ms);
}

/* Wait until all hosts have heard of so many strikes, without the clocks:
   hosts that seem silent for seconds aren't told.  */
static void
await_part_strikes (size_t count)
{
  char line[40];
  size_t i;

  snprintf (line, sizeof line, "_part_strikes_total %zu\n", count);
  for (i = 0; i < HOSTS; i++)
    while (strstr (fixture_get_page (&hosts[i], "/metrics"), line) == NULL)
      continue;
}

static size_t
count_shared_parts (const char *parts)
{
  size_t count = 0;

  for (; *parts != '\0'; parts++)
    count += *parts == ',';
  return count;
}

/* Targets end under requests that have nothing but one part in common, sound
   ones are served beside; all share the first part.  */
static void
end_targets_under_part (const char *guilty, const char *sound)
{
  char name[BODY_BYTES];
  size_t i;

  for (i = 0; i < HOSTS; i++)
    while (strstr (fixture_get_page (&hosts[i], "/metrics"), "_peers 1\n")
           == NULL)
      continue;
  for (i = 0; i < ENDS; i++)
    {
      prompt_parts = guilty;
      snprintf (name, sizeof name, "guilty-%zu", i);
      end_target_during_request (&hosts[i % HOSTS], name, name);
      await_part_strikes ((i + 1) * count_shared_parts (guilty));
      prompt_parts = sound;
      advance_clocks (BETWEEN_ENDS_MS);
      snprintf (name, sizeof name, "sound-%zu", i);
      answer_at_target (&hosts[i % HOSTS], name, name, "200 OK");
    }
}

/* Wait until the metrics no longer contain a line.  The clocks go on, as
   trials and holds take their time.  */
static void
await_other_than (fixture_t *host, const char *line)
{
  while (strstr (fixture_get_page (host, "/metrics"), line) != NULL)
    advance_clocks (STEP_MS);
}

/* Returns the host that sends the one request that is let through on
   trial.  */
static fixture_t *
find_trying_host (void)
{
  size_t i = 0;

  await_other_than (&hosts[0], "_held_parts 0\n");
  await_other_than (&hosts[1], "_held_parts 0\n");
  while (!reaches_target (&hosts[i % HOSTS], "tried"))
    i++;
  return &hosts[i % HOSTS];
}

static const struct
{
  const char *guilty; /* parts of the requests under which targets end */
  const char *sound;  /* parts of the requests beside them */
} shared_parts[] = {
  { "bad:9,e1:1,1:1", "c0:9,e1:1,2:1" },
  { "c0:9,bad:9,1:1", "c0:9,e1:1,2:1" },
  { "c0:9,e1:9,bad:9,1:1", "c0:9,e1:1,f1:1,2:1" },
};

/* Guards against a part of prompts under which target after target ends, as no
   two requests with it are alike.  */
START_TEST (a_part_under_which_targets_ended_reaches_no_other)
{
  fixture_t *trying;
  size_t i;

  end_targets_under_part (shared_parts[_i].guilty, shared_parts[_i].sound);
  prompt_parts = shared_parts[_i].guilty;
  trying = find_trying_host ();
  advance_clocks (TRIAL_MS);
  end_target_during_request (trying, "t-tried", "one more");
  for (i = 0; i < HOSTS; i++)
    {
      await_other_than (&hosts[i], "_parts_held_total 0\n");
      prompt_parts = shared_parts[_i].guilty;
      ck_assert (!reaches_target (&hosts[i], "yet another"));
      ck_assert_ptr_nonnull (strstr (refusal, " 503 "));
      ck_assert_ptr_nonnull (strstr (refusal, "Retry-After: "));
      prompt_parts = shared_parts[_i].sound;
      ck_assert (reaches_target (&hosts[i], "yet another"));
    }
}
END_TEST

/* Guards against a sound part that stays on trial, as it was beside ends.  */
START_TEST (a_part_that_is_served_on_trial_is_sound)
{
  fixture_t *trying;
  size_t i;

  end_targets_under_part (shared_parts[0].guilty, shared_parts[0].sound);
  prompt_parts = shared_parts[0].guilty;
  trying = find_trying_host ();
  advance_clocks (TRIAL_MS);
  answer_at_target (trying, "t-tried", "one more", "200 OK");
  for (i = 0; i < HOSTS; i++)
    {
      await_other_than (&hosts[i], "_held_parts 1\n");
      ck_assert (reaches_target (&hosts[i], "yet another"));
    }
}
END_TEST

/* Guards against a request on trial that isn't sent on where its target
   refuses it, and keeps all others back.  */
START_TEST (a_trial_that_a_target_refuses_goes_on)
{
  fixture_t *trying;
  int caller;
  int link;
  int listener;

  end_targets_under_part (shared_parts[0].guilty, shared_parts[0].sound);
  prompt_parts = shared_parts[0].guilty;
  trying = find_trying_host ();
  advance_clocks (TRIAL_MS);
  listener = fixture_add_target (trying, "t-full", "plain");
  caller = open_caller (trying);
  send_request (caller, "one more", "body");
  link = accept_target_connection (listener);
  read_target_request (link, strlen ("body"));
  send_text (link, "HTTP/1.1 503 Full\r\nRequest-Id: one more\r\n"
                   "Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  read_until (caller, "\r\n\r\n");
  close (caller);
  close (link);
  close (listener);
  fixture_remove_target (trying, "t-full");
  ck_assert (reaches_target (trying, "yet another"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway-quarantine");
  TCase *tests = tcase_create ("gateway-quarantine");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, a_request_that_ended_three_targets_reaches_no_other);
  tcase_add_test (tests, strikes_of_several_hosts_are_added_up);
  tcase_add_test (tests, a_pending_attempt_ends_at_the_third_strike);
  tcase_add_loop_test (tests, only_a_success_clears_strikes, 0,
                       sizeof intervening_answers
                           / sizeof intervening_answers[0]);
  tcase_add_test (tests, other_requests_are_still_served);
  tcase_add_loop_test (tests,
                       a_part_under_which_targets_ended_reaches_no_other, 0,
                       sizeof shared_parts / sizeof shared_parts[0]);
  tcase_add_test (tests, a_part_that_is_served_on_trial_is_sound);
  tcase_add_test (tests, a_trial_that_a_target_refuses_goes_on);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
