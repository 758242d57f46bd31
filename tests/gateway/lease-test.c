#include "gateway/gateway-fixture.h"

#include "cowslipspoke/hash.h"
#include "cowslipspoke/roster.h"
#include "support/run-suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <string.h>
#include <unistd.h>

/* Retries that hosts lend each other.  */

static fixture_t fixture;
static struct sockaddr_in peers;
static int targets[2];

enum
{
  LENT = 8, /* of which half is lent */
  /* Two seconds of a lease and the operators' window.  */
  SETTLED_MS = 12100
};

static void
set_up (void)
{
  peers = (struct sockaddr_in){ .sin_family = AF_INET,
                                .sin_port = htons (8748) };
  /* A loopback address of this process.  */
  peers.sin_addr.s_addr
      = htonl (0x7f400000U | ((uint32_t)getpid () & 0x1fffff));
  fixture.lent_retries = LENT;
  fixture_open_at (&fixture, &peers);
  fixture_publish (&fixture, true);
  targets[0] = fixture_target (&fixture, "t-0", "plain");
  targets[1] = fixture_target (&fixture, "t-1", "plain");
}

static void
tear_down (void)
{
  close (targets[0]);
  close (targets[1]);
  fixture_close (&fixture);
  fixture.lent_retries = 0;
}

#define REFUSAL "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"

/* Take the next request at whichever target it comes to.  */
static int
take_request (void)
{
  fd_set ready;
  int most = targets[0] > targets[1] ? targets[0] : targets[1];
  int link;

  FD_ZERO (&ready);
  FD_SET (targets[0], &ready);
  FD_SET (targets[1], &ready);
  ck_assert_int_eq (select (most + 1, &ready, NULL, NULL, NULL), 1);
  link = target_accept (targets[FD_ISSET (targets[1], &ready) ? 1 : 0]);
  target_read (link, 0);
  return link;
}

/* An engine starts again at its address, and what was sent there in that
   moment is refused: 49 requests in one play, of hosts that had spent the one
   retry that each has.  Their callers were told to come back, though idle
   engines stood beside.  */
START_TEST (a_refused_request_goes_on_by_a_retry_that_is_lent)
{
  int caller = caller_open (&fixture);
  int link;

  fixture_settle (&fixture);
  csp_advance_fake_clock (&fixture.fake, SETTLED_MS);
  send_text (caller, REQUEST ("/once/", "r1"));
  link = take_request ();
  send_text (link, REFUSAL);
  close (link);
  link = take_request ();
  send_text (link, ANSWER ("r1", "ok", "2"));
  ck_assert_ptr_nonnull (strstr (read_until (caller, "ok"), " 200 "));
  close (link);
  close (caller);
}
END_TEST

/* A host that has just begun to decide doesn't know what was lent before, and
   lends nothing.  What can't be sent again ends at once.  */
START_TEST (a_refused_request_ends_at_once_where_none_is_lent)
{
  int caller = caller_open (&fixture);
  int link;

  send_text (caller, REQUEST ("/once/", "r1"));
  link = take_request ();
  send_text (link, REFUSAL);
  ck_assert_ptr_nonnull (
      strstr (read_until (caller, "the target refused it"), " 503 "));
  close (link);
  close (caller);
}
END_TEST

/* Ask the gateway as another host does; how many it lends.  */
static uint32_t
ask_for_leases (int host, uint64_t sequence, uint32_t amount)
{
  csp_hello_t hello = { .boot = 1, .sequence = sequence, .want_count = 1 };
  char room[CSP_HELLO_MAX_BYTES];
  csp_buffer_t bytes = { 0 };

  hello.wants[0] = (csp_hello_lease_t){ .service = (uint32_t)csp_hash_pair (
                                            "service", "plain"),
                                        .id = sequence,
                                        .amount = amount };
  ck_assert (csp_encode_hello (&hello, &bytes));
  ck_assert_int_gt (sendto (host, bytes.data, bytes.size_bytes, 0,
                            (struct sockaddr *)&peers, sizeof peers),
                    0);
  csp_clear_buffer (&bytes);
  for (;;)
    {
      ssize_t size_bytes = recv (host, room, sizeof room, 0);

      ck_assert_int_gt (size_bytes, 0);
      ck_assert (csp_decode_hello (room, (size_t)size_bytes, &hello));
      if (hello.lease_count == 0)
        continue;
      ck_assert_uint_eq (hello.leases[0].id, sequence);
      return hello.leases[0].amount;
    }
}

/* All targets of a service refuse, and each host asks for what it can get.
   Together they get no more than the operator allows.  The host that asks here
   has not said whom it asks for places, so half of the fleet counts.  */
START_TEST (hosts_are_lent_no_more_than_there_is)
{
  struct timeval wait = { .tv_sec = 5 };
  int host = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  setsockopt (host, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  fixture_settle (&fixture);
  ck_assert_uint_eq (ask_for_leases (host, 1, 3), 0);
  csp_advance_fake_clock (&fixture.fake, SETTLED_MS);
  ck_assert_uint_eq (ask_for_leases (host, 2, 1), 1);
  ck_assert_uint_eq (ask_for_leases (host, 3, 3), 1);
  ck_assert_uint_eq (ask_for_leases (host, 4, 3), 0);
  close (host);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway lease");
  TCase *tcase = tcase_create ("lease");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_refused_request_goes_on_by_a_retry_that_is_lent);
  tcase_add_test (tcase, a_refused_request_ends_at_once_where_none_is_lent);
  tcase_add_test (tcase, hosts_are_lent_no_more_than_there_is);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
