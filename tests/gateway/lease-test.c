#include "gateway/gateway-fixture.h"

#include "cowslipspoke/hash.h"
#include "cowslipspoke/roster.h"
#include "support/run-suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <string.h>
#include <unistd.h>

/* Retries that the decider leases to hosts.  */

static fixture_t fixture;
static struct sockaddr_in datagram_address;
static int targets[2];

enum
{
  FLEET_RETRIES = 8, /* half of them are leased */
  /* Longer than a lease of 2 s and the operators' window of 10 s; until then a
     new decider grants nothing.  */
  SETTLED_MS = 12100
};

static void
set_up (void)
{
  datagram_address = (struct sockaddr_in){ .sin_family = AF_INET,
                                           .sin_port = htons (8748) };
  /* A loopback address that no other test process uses.  */
  datagram_address.sin_addr.s_addr
      = htonl (0x7f400000U | ((uint32_t)getpid () & 0x1fffff));
  fixture.fleet_retry_limit = FLEET_RETRIES;
  fixture_open_at (&fixture, &datagram_address);
  fixture_publish_routes (&fixture, true);
  targets[0] = fixture_add_target (&fixture, "t-0", "plain");
  targets[1] = fixture_add_target (&fixture, "t-1", "plain");
}

static void
tear_down (void)
{
  close (targets[0]);
  close (targets[1]);
  fixture_close (&fixture);
  fixture.fleet_retry_limit = 0;
}

#define REFUSAL "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"

/* Accept the next request at whichever target gets it.  */
static int
accept_next_request (void)
{
  fd_set ready;
  int max_fd = targets[0] > targets[1] ? targets[0] : targets[1];
  int link;

  FD_ZERO (&ready);
  FD_SET (targets[0], &ready);
  FD_SET (targets[1], &ready);
  ck_assert_int_eq (select (max_fd + 1, &ready, NULL, NULL, NULL), 1);
  link = accept_target_connection (
      targets[FD_ISSET (targets[1], &ready) ? 1 : 0]);
  read_target_request (link, 0);
  return link;
}

/* An engine restarts at its address and refuses the requests that arrive in
   that moment.  49 such requests failed at hosts that had used up the one
   retry of their own, although other engines were idle.  */
START_TEST (a_refused_request_is_retried_with_a_leased_retry)
{
  int caller = open_caller (&fixture);
  int link;

  fixture_await_updates (&fixture);
  csp_advance_fake_clock (&fixture.fake_clock, SETTLED_MS);
  send_text (caller, REQUEST ("/once/", "r1"));
  link = accept_next_request ();
  send_text (link, REFUSAL);
  close (link);
  link = accept_next_request ();
  send_text (link, ANSWER ("r1", "ok", "2"));
  ck_assert_ptr_nonnull (strstr (read_until (caller, "ok"), " 200 "));
  close (link);
  close (caller);
}
END_TEST

/* A new decider doesn't know the leases of its predecessor and grants none.  A
   request that can't be retried fails at once.  */
START_TEST (a_refused_request_fails_at_once_without_a_lease)
{
  int caller = open_caller (&fixture);
  int link;

  send_text (caller, REQUEST ("/once/", "r1"));
  link = accept_next_request ();
  send_text (link, REFUSAL);
  ck_assert_ptr_nonnull (
      strstr (read_until (caller, "the target refused it"), " 503 "));
  close (link);
  close (caller);
}
END_TEST

/* Request leases from the gateway, as another host does.  Returns how many it
   grants.  */
static uint32_t
request_leases (int peer_socket, uint64_t sequence, uint32_t amount)
{
  csp_hello_t hello
      = { .boot = 1, .sequence = sequence, .lease_request_count = 1 };
  char datagram[CSP_HELLO_MAX_BYTES];
  csp_buffer_t bytes = { 0 };

  hello.lease_requests[0]
      = (csp_hello_lease_t){ .service
                             = (uint32_t)csp_hash_pair ("service", "plain"),
                             .id = sequence,
                             .amount = amount };
  ck_assert (csp_encode_hello (&hello, &bytes));
  ck_assert_int_gt (sendto (peer_socket, bytes.data, bytes.size_bytes, 0,
                            (struct sockaddr *)&datagram_address,
                            sizeof datagram_address),
                    0);
  csp_clear_buffer (&bytes);
  for (;;)
    {
      ssize_t size_bytes = recv (peer_socket, datagram, sizeof datagram, 0);

      ck_assert_int_gt (size_bytes, 0);
      ck_assert (csp_decode_hello (datagram, (size_t)size_bytes, &hello));
      if (hello.lease_count == 0)
        continue;
      ck_assert_uint_eq (hello.leases[0].id, sequence);
      return hello.leases[0].amount;
    }
}

/* All targets of a service refuse, and each host requests as many leases as it
   can get.  Together they get no more than the operator's limit.  The
   requesting host hasn't reported this gateway as the decider that it asks, so
   the gateway counts only half of the fleet.  */
START_TEST (leases_of_all_hosts_stay_within_the_limit)
{
  struct timeval wait = { .tv_sec = 5 };
  int peer_socket = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  setsockopt (peer_socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  fixture_await_updates (&fixture);
  ck_assert_uint_eq (request_leases (peer_socket, 1, 3), 0);
  csp_advance_fake_clock (&fixture.fake_clock, SETTLED_MS);
  ck_assert_uint_eq (request_leases (peer_socket, 2, 1), 1);
  ck_assert_uint_eq (request_leases (peer_socket, 3, 3), 1);
  ck_assert_uint_eq (request_leases (peer_socket, 4, 3), 0);
  close (peer_socket);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway lease");
  TCase *tcase = tcase_create ("lease");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_refused_request_is_retried_with_a_leased_retry);
  tcase_add_test (tcase, a_refused_request_fails_at_once_without_a_lease);
  tcase_add_test (tcase, leases_of_all_hosts_stay_within_the_limit);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
