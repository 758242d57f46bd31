#include "gateway/gateway-fixture.h"

#include "support/run-suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* A request under which targets end comes again and again, through any host.
 */

enum
{
  HOSTS = 2,
  WAIT_MS = 10000
};

static fixture_t hosts[HOSTS];
static struct sockaddr_in peers[HOSTS];

static void
set_up (void)
{
  size_t i;

  for (i = 0; i < HOSTS; i++)
    {
      peers[i] = (struct sockaddr_in){ .sin_family = AF_INET,
                                       .sin_port = htons (8748 + i) };
      /* A loopback address of this process.  */
      peers[i].sin_addr.s_addr
          = htonl (0x7f400000U | ((uint32_t)getpid () & 0x1fffff));
    }
  for (i = 0; i < HOSTS; i++)
    {
      hosts[i].seed = &peers[HOSTS - 1 - i];
      fixture_open_at (&hosts[i], &peers[i]);
      fixture_publish (&hosts[i], true);
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
            "Request-Id: %s\r\nTime-Left: 3000\r\nContent-Length: %zu\r\n\r\n"
            "%s",
            id, strlen (body), body);
  send_text (caller, request);
}

/* Send a request through a host whose only target ends under it.  */
static void
end_target (fixture_t *host, const char *target_id, const char *body)
{
  int listener = fixture_target (host, target_id, "plain");
  int caller = caller_open (host);
  int link;

  send_request (caller, target_id, body);
  link = target_accept (listener);
  target_read (link, strlen (body));
  close (listener);
  close (link);
  ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"), " 502 "));
  close (caller);
  fixture_remove (host, target_id);
  fixture_settle (host);
}

static char answer[1000]; /* to what was refused */

/* Whether a request reaches a host's next target rather than being refused.
 */
static bool
reaches_target (fixture_t *host, const char *body)
{
  int listener = fixture_target (host, "t-next", "plain");
  int caller = caller_open (host);
  struct pollfd ready[] = { { .fd = listener, .events = POLLIN },
                            { .fd = caller, .events = POLLIN } };
  bool reached;

  send_request (caller, "next", body);
  ck_assert_int_gt (poll (ready, 2, WAIT_MS), 0);
  reached = ready[0].revents != 0;
  if (!reached)
    snprintf (answer, sizeof answer, "%s", read_until (caller, "\r\n\r\n"));
  close (caller);
  close (listener);
  fixture_remove (host, "t-next");
  fixture_settle (host);
  return reached;
}

/* Words between hosts take a moment.  */
static void
await_quarantine (fixture_t *host)
{
  while (strstr (fixture_page (host, "/metrics"), "_quarantined 1\n") == NULL)
    continue;
}

/* Guards against a request that ends one target after another.  */
START_TEST (a_request_under_which_three_targets_ended_reaches_no_other)
{
  end_target (&hosts[0], "t-1", "poison");
  end_target (&hosts[0], "t-2", "poison");
  end_target (&hosts[0], "t-3", "poison");
  ck_assert (!reaches_target (&hosts[0], "poison"));
  ck_assert_ptr_nonnull (strstr (answer, " 503 "));
  ck_assert_ptr_nonnull (strstr (answer, "Retry-After: "));
}
END_TEST

/* Guards against hosts that each count only what they met themselves.  */
START_TEST (targets_that_ended_through_several_hosts_count_together)
{
  end_target (&hosts[0], "t-1", "poison");
  end_target (&hosts[1], "t-2", "poison");
  end_target (&hosts[0], "t-3", "poison");
  await_quarantine (&hosts[0]);
  await_quarantine (&hosts[1]);
  ck_assert (!reaches_target (&hosts[1], "poison"));
  ck_assert_ptr_nonnull (strstr (answer, " 503 "));
}
END_TEST

/* Guards against a target that has the request in its queue, and ends when its
   turn comes.  */
START_TEST (what_waits_at_a_target_ends_with_the_third_strike)
{
  int listener = fixture_target (&hosts[0], "t-4", "plain");
  int caller = caller_open (&hosts[0]);
  int link;

  send_request (caller, "waits", "poison");
  link = target_accept (listener);
  target_read (link, strlen ("poison"));
  fixture_remove (&hosts[0], "t-4");
  end_target (&hosts[0], "t-1", "poison");
  end_target (&hosts[0], "t-2", "poison");
  end_target (&hosts[0], "t-3", "poison");
  ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"), " 502 "));
  ck_assert (is_closed (link));
  close (link);
  close (listener);
  close (caller);
}
END_TEST

/* Let a host's only target answer a request.  */
static void
answer_target (fixture_t *host, const char *id, const char *body,
               const char *status)
{
  int listener = fixture_target (host, id, "plain");
  int caller = caller_open (host);
  char answer_text[200];
  int link;

  send_request (caller, id, body);
  link = target_accept (listener);
  target_read (link, strlen (body));
  snprintf (answer_text, sizeof answer_text,
            "HTTP/1.1 %s\r\nRequest-Id: %s\r\nSignature: s\r\n"
            "Content-Length: 2\r\n\r\nok",
            status, id);
  send_text (link, answer_text);
  read_until (caller, "ok");
  close (caller);
  close (listener);
  close (link);
  fixture_remove (host, id);
  fixture_settle (host);
}

static const struct
{
  const char *status;
  bool held;
} answers_between[] = {
  { "200 OK", false },
  /* A failing target answers so without running anything.  */
  { "500 Error", true },
  { "504 Timeout", true },
};

/* Guards against a failing target whose error is taken for a sound run.  */
START_TEST (only_a_success_takes_strikes_back)
{
  end_target (&hosts[0], "t-1", "poison");
  end_target (&hosts[0], "t-2", "poison");
  answer_target (&hosts[0], "t-3", "poison", answers_between[_i].status);
  end_target (&hosts[0], "t-4", "poison");
  ck_assert (reaches_target (&hosts[0], "poison") != answers_between[_i].held);
}
END_TEST

/* Guards against refusing what was merely beside it.  */
START_TEST (other_requests_are_served_all_the_same)
{
  end_target (&hosts[0], "t-1", "poison");
  end_target (&hosts[0], "t-2", "poison");
  end_target (&hosts[0], "t-3", "poison");
  ck_assert (reaches_target (&hosts[0], "another"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway-quarantine");
  TCase *tests = tcase_create ("gateway-quarantine");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests,
                  a_request_under_which_three_targets_ended_reaches_no_other);
  tcase_add_test (tests,
                  targets_that_ended_through_several_hosts_count_together);
  tcase_add_test (tests, what_waits_at_a_target_ends_with_the_third_strike);
  tcase_add_loop_test (tests, only_a_success_takes_strikes_back, 0,
                       sizeof answers_between / sizeof answers_between[0]);
  tcase_add_test (tests, other_requests_are_served_all_the_same);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
