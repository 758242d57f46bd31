#include "gateway/gateway-fixture.h"

#include "cowslipspoke/roster.h"
#include "support/run-suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Rate limits that targets state in their answers.  */

enum
{
  HOSTS = 2,
  WAIT_MS = 10000,
  STEP_MS = 50,
  WINDOW_MS = 4000,
  WINDOW_STEPS = WINDOW_MS / STEP_MS,
  PLAY_STEPS = 200,
  LIMIT_PER_S = 2,
  /* One and a half times the limit, and five requests.  */
  WINDOW_MAX = 3 * LIMIT_PER_S * WINDOW_MS / 1000 / 2 + 5,
  /* Nine tenths of what the target takes in the play but for its first second,
     in which there is no grant yet.  */
  PLAY_MIN = (PLAY_STEPS * STEP_MS / 1000 - 1) * LIMIT_PER_S * 9 / 10,
  /* Until there is a grant again, at any limit in this file.  */
  GRANT_STEP_MS = 2000,
  BURST_REQUESTS = 60,
  DECIDER_CAPACITY = 5000,
  DECIDER_UP_MS = 60000
};

typedef enum
{
  AT_LIMITED,
  AT_OTHER,
  REFUSED
} outcome_t;

static fixture_t hosts[HOSTS];
static struct sockaddr_in addresses[HOSTS];
static int limited;
static int other;
static char refusal[1000]; /* to the last refused request */

static void
open_alone (void)
{
  fixture_open (&hosts[0]);
  fixture_publish_routes (&hosts[0], true);
  other = -1;
}

static void
close_alone (void)
{
  fixture_close (&hosts[0]);
  close (limited);
  close (other);
}

static void
set_addresses (void)
{
  size_t i;

  for (i = 0; i < HOSTS; i++)
    {
      addresses[i] = (struct sockaddr_in){ .sin_family = AF_INET,
                                           .sin_port = htons (8748 + i) };
      /* A loopback address that no other test process uses.  */
      addresses[i].sin_addr.s_addr
          = htonl (0x7f400000U | ((uint32_t)getpid () & 0x1fffff));
    }
}

static void
open_hosts (void)
{
  size_t i;

  set_addresses ();
  for (i = 0; i < HOSTS; i++)
    {
      hosts[i].seed = &addresses[HOSTS - 1 - i];
      fixture_open_at (&hosts[i], &addresses[i]);
      fixture_publish_routes (&hosts[i], true);
    }
  other = -1;
}

static void
close_hosts (void)
{
  size_t i;

  close_alone ();
  for (i = 1; i < HOSTS; i++)
    fixture_close (&hosts[i]);
}

/* Open a target and list it at all hosts.  */
static int
add_target (const char *id)
{
  int listener = fixture_add_target (&hosts[0], id, "plain");
  size_t i;

  for (i = 1; i < HOSTS; i++)
    {
      fixture_list_target (&hosts[i], listener, id, "plain");
      fixture_await_updates (&hosts[i]);
    }
  return listener;
}

static void
advance_clocks (int64_t by_ms)
{
  size_t i;

  for (i = 0; i < HOSTS; i++)
    csp_advance_fake_clock (&hosts[i].fake_clock, by_ms);
}

static void
answer (int listener, const char *status, const char *fields)
{
  char text[200];
  int link = accept_target_connection (listener);

  snprintf (text, sizeof text,
            "HTTP/1.1 %s\r\nRequest-Id: r1\r\nSignature: s\r\n"
            "Content-Length: 2\r\nConnection: close\r\n%s\r\nok",
            status, fields);
  read_target_request (link, 0);
  send_text (link, text);
  close (link);
}

static int
open_request (size_t host)
{
  int caller = open_caller (&hosts[host]);

  send_text (caller, REQUEST ("/once/", "r1"));
  return caller;
}

/* Wait until a target gets the request, and let it answer; the limited target
   with the given status and fields.  */
static outcome_t
await_outcome (int caller, const char *status, const char *fields)
{
  struct pollfd ready[] = { { .fd = limited, .events = POLLIN },
                            { .fd = other, .events = POLLIN },
                            { .fd = caller, .events = POLLIN } };
  outcome_t outcome = REFUSED;

  ck_assert_int_gt (poll (ready, 3, WAIT_MS), 0);
  if (ready[0].revents != 0)
    {
      answer (limited, status, fields);
      outcome = AT_LIMITED;
    }
  else if (ready[1].revents != 0)
    {
      answer (other, "200 OK", "");
      outcome = AT_OTHER;
    }
  snprintf (refusal, sizeof refusal, "%s", read_until (caller, "\r\n\r\n"));
  close (caller);
  return outcome;
}

static outcome_t
send_request (size_t host, const char *fields)
{
  return await_outcome (open_request (host), "200 OK", fields);
}

/* Whether a host's metrics show this limit of the limited target.  */
static bool
shows_limit (size_t host, const char *value)
{
  char line[100];

  snprintf (line, sizeof line, "target_rate_limit{target=\"t-1\"} %s\n",
            value);
  return strstr (fixture_get_page (&hosts[host], "/metrics"), line) != NULL;
}

static void
await_limit (size_t host, const char *value)
{
  int tries;

  for (tries = 0; !shows_limit (host, value); tries++)
    {
      ck_assert_int_lt (tries, WAIT_MS);
      poll (NULL, 0, 1);
    }
}

/* Guards against a target that gets more than the rate that it states, or far
   less, while others of its service could take the rest.  */
START_TEST (a_target_gets_no_more_than_its_stated_rate)
{
  int sent[PLAY_STEPS] = { 0 };
  int in_window = 0;
  int in_play = 0;
  int step;

  limited = fixture_add_target (&hosts[0], "t-1", "plain");
  ck_assert_int_eq (send_request (0, "Rate-Limit: 2\r\n"), AT_LIMITED);
  other = fixture_add_target (&hosts[0], "t-2", "plain");
  for (step = 0; step < PLAY_STEPS; step++)
    {
      csp_advance_fake_clock (&hosts[0].fake_clock, STEP_MS);
      sent[step] = send_request (0, "Rate-Limit: 2\r\n") == AT_LIMITED;
      in_play += sent[step];
      in_window += sent[step];
      if (step >= WINDOW_STEPS)
        in_window -= sent[step - WINDOW_STEPS];
      ck_assert_int_le (in_window, WINDOW_MAX);
    }
  ck_assert_int_ge (in_play, PLAY_MIN);
}
END_TEST

/* Guards against hosts that each send what a target takes from all.  */
START_TEST (hosts_share_the_rate_that_a_target_states)
{
  int in_burst = 0;
  int i;

  limited = add_target ("t-1");
  ck_assert_int_eq (send_request (0, "Rate-Limit: 2\r\n"), AT_LIMITED);
  await_limit (1, "2");
  other = add_target ("t-2");
  advance_clocks (GRANT_STEP_MS);
  for (i = 0; i < BURST_REQUESTS; i++)
    in_burst
        += send_request ((size_t)i % HOSTS, "Rate-Limit: 2\r\n") == AT_LIMITED;
  ck_assert_int_le (in_burst, WINDOW_MAX);
}
END_TEST

/* Guards against requests that are held, or refused without the time to come
   back, when no target may take them.  */
START_TEST (a_request_without_a_grant_is_refused_at_once)
{
  limited = fixture_add_target (&hosts[0], "t-1", "plain");
  ck_assert_int_eq (send_request (0, "Rate-Limit: 0.5\r\n"), AT_LIMITED);
  advance_clocks (STEP_MS);
  ck_assert_int_eq (send_request (0, ""), REFUSED);
  ck_assert_ptr_nonnull (strstr (refusal, " 503 "));
  ck_assert_ptr_nonnull (strstr (refusal, "Retry-After: "));
  ck_assert_ptr_null (strstr (refusal, "Retry-After: 0\r"));
  advance_clocks (GRANT_STEP_MS);
  advance_clocks (GRANT_STEP_MS);
  ck_assert_int_eq (send_request (0, "Rate-Limit: 0.5\r\n"), AT_LIMITED);
}
END_TEST

/* Guards against a target that gets nothing for ever because it stated a limit
   of 0, or a value that is no limit.  */
START_TEST (a_limit_of_zero_can_end)
{
  int i;

  limited = fixture_add_target (&hosts[0], "t-1", "plain");
  ck_assert_int_eq (send_request (0, "Rate-Limit: 0\r\n"), AT_LIMITED);
  advance_clocks (3 * GRANT_STEP_MS);
  ck_assert_int_eq (send_request (0, ""), AT_LIMITED);
  for (i = 0; i < BURST_REQUESTS; i++)
    ck_assert_int_eq (send_request (0, "Rate-Limit: -1\r\n"), AT_LIMITED);
}
END_TEST

/* Guards against a limit that ends with an answer that says nothing of it, as
   another part of the target may write errors and refusals.  */
START_TEST (an_error_without_a_limit_does_not_end_it)
{
  static const struct
  {
    const char *status;
    const char *fields;
  } answers[] = { { "500 Error", "" }, { "503 Full", "Not-Run: 1\r\n" } };

  limited = fixture_add_target (&hosts[0], "t-1", "plain");
  send_request (0, "Rate-Limit: 3.5\r\n");
  advance_clocks (GRANT_STEP_MS);
  ck_assert_int_eq (
      await_outcome (open_request (0), answers[_i].status, answers[_i].fields),
      AT_LIMITED);
  ck_assert (shows_limit (0, "3.5"));
}
END_TEST

/* Guards against a fleet that doesn't show which targets state a limit.  */
START_TEST (a_stated_rate_is_shown_in_the_metrics)
{
  limited = fixture_add_target (&hosts[0], "t-1", "plain");
  send_request (0, "Rate-Limit: 3.5\r\n");
  ck_assert (shows_limit (0, "3.5"));
  advance_clocks (GRANT_STEP_MS);
  ck_assert_int_eq (send_request (0, "Rate-Limit: 1\r\nRate-Limit: 2\r\n"),
                    AT_LIMITED);
  advance_clocks (GRANT_STEP_MS);
  ck_assert_int_eq (send_request (0, "Rate-Limit: 3,5\r\n"), AT_LIMITED);
  ck_assert (shows_limit (0, "3.5"));
  advance_clocks (GRANT_STEP_MS);
  ck_assert_int_eq (send_request (0, ""), AT_LIMITED);
  ck_assert (!shows_limit (0, "3.5"));
}
END_TEST

/* Another host, which decides for the gateway as it is larger.  */
static int decider;
static uint64_t decider_sequence;

static void
send_from_decider (csp_hello_t *hello)
{
  csp_buffer_t bytes = { 0 };

  hello->boot = 1;
  hello->sequence = ++decider_sequence;
  hello->capacity = DECIDER_CAPACITY;
  hello->up_ms = DECIDER_UP_MS;
  ck_assert (csp_encode_hello (hello, &bytes));
  ck_assert_int_gt (sendto (decider, bytes.data, bytes.size_bytes, 0,
                            (struct sockaddr *)&addresses[0],
                            sizeof addresses[0]),
                    0);
  csp_clear_buffer (&bytes);
}

static void
open_beside_decider (void)
{
  struct timeval wait = { .tv_sec = WAIT_MS / 1000 };
  csp_hello_t hello = { .reply_requested = false };

  set_addresses ();
  hosts[0].seed = NULL;
  fixture_open_at (&hosts[0], &addresses[0]);
  fixture_publish_routes (&hosts[0], true);
  limited = fixture_add_target (&hosts[0], "t-1", "plain");
  other = -1;
  decider_sequence = 0;
  decider = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  setsockopt (decider, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  ck_assert_int_eq (
      bind (decider, (struct sockaddr *)&addresses[1], sizeof addresses[1]),
      0);
  ck_assert_int_eq (send_request (0, "Rate-Limit: 2\r\n"), AT_LIMITED);
  while (strstr (fixture_get_page (&hosts[0], "/metrics"),
                 "cowslipspoke_gateway_decides 0\n")
         == NULL)
    send_from_decider (&hello);
}

static void
close_beside_decider (void)
{
  close_alone ();
  close (decider);
}

static csp_hello_grant_t
await_grant_request (void)
{
  char datagram[CSP_HELLO_MAX_BYTES];
  csp_hello_t hello;

  for (;;)
    {
      ssize_t size_bytes = recv (decider, datagram, sizeof datagram, 0);

      ck_assert_int_gt (size_bytes, 0);
      ck_assert (csp_decode_hello (datagram, (size_t)size_bytes, &hello));
      if (hello.grant_request_count == 0)
        continue;
      ck_assert_uint_eq (hello.rate_count, 1);
      ck_assert_double_eq (hello.rates[0].report.max_per_s, 2);
      return hello.grant_requests[0];
    }
}

static const struct
{
  const char *name;
  bool answered;
  bool granted;
  int64_t after_ms;
  outcome_t outcome;
} grants[] = {
  { "a grant", true, true, 10, AT_LIMITED },
  { "a refusal", true, false, 10, REFUSED },
  { "a grant that comes late", true, true, CSP_RATE_GRANT_MS + 1, REFUSED },
  { "no answer", false, false, 100, REFUSED },
};

/* Guards against a request that is sent without a grant, or with one that is
   too old, as after a pause of the host.  */
START_TEST (a_request_is_sent_only_with_a_fresh_grant)
{
  int caller = open_request (0);
  csp_hello_t hello = { .grant_count = grants[_i].answered };

  hello.grants[0] = await_grant_request ();
  hello.grants[0].granted = grants[_i].granted;
  hello.grants[0].wait_ms = 100;
  csp_advance_fake_clock (&hosts[0].fake_clock, grants[_i].after_ms);
  send_from_decider (&hello);
  ck_assert_msg (await_outcome (caller, "200 OK", "") == grants[_i].outcome,
                 "%s", grants[_i].name);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rate");
  TCase *alone = tcase_create ("one host");
  TCase *together = tcase_create ("two hosts");
  TCase *asking = tcase_create ("asking");

  tcase_set_timeout (alone, 60);
  tcase_add_checked_fixture (alone, open_alone, close_alone);
  tcase_add_test (alone, a_target_gets_no_more_than_its_stated_rate);
  tcase_add_test (alone, a_request_without_a_grant_is_refused_at_once);
  tcase_add_test (alone, a_limit_of_zero_can_end);
  tcase_add_loop_test (alone, an_error_without_a_limit_does_not_end_it, 0, 2);
  tcase_add_test (alone, a_stated_rate_is_shown_in_the_metrics);
  suite_add_tcase (suite, alone);
  tcase_set_timeout (together, 60);
  tcase_add_checked_fixture (together, open_hosts, close_hosts);
  tcase_add_test (together, hosts_share_the_rate_that_a_target_states);
  suite_add_tcase (suite, together);
  tcase_set_timeout (asking, 60);
  tcase_add_checked_fixture (asking, open_beside_decider,
                             close_beside_decider);
  tcase_add_loop_test (asking, a_request_is_sent_only_with_a_fresh_grant, 0,
                       sizeof grants / sizeof grants[0]);
  suite_add_tcase (suite, asking);
  return run_suite (suite);
}
