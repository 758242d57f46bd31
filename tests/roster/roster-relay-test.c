#include "cowslipspoke/roster.h"

#include "support/run-suite.h"

#include <check.h>

/* Which host serves requests that this one can't.  */

enum
{
  SERVICE = 5,
  OTHER_SERVICE = 6,
  RELAY_PORT = 7200,
  NOW_MS = 10000,
  DRAWS = 400
};

static const csp_peer_address_t self = { 1, 10 };
static const csp_peer_address_t small = { 2, 10 };
static const csp_peer_address_t large = { 3, 10 };

static csp_roster_t *roster;

static void
set_up (void)
{
  roster = csp_create_roster (self, 100, 7, 1);
}

static void
tear_down (void)
{
  csp_destroy_roster (roster);
}

static void
hear_from (csp_peer_address_t host, csp_hello_t hello, int64_t now_ms)
{
  static uint64_t sequence;

  hello.boot = host.ip;
  hello.sequence = ++sequence;
  ck_assert (csp_receive_hello (roster, host, &hello, now_ms));
}

static const struct
{
  const char *name;
  csp_hello_t hello;
  bool offered; /* the host was made an offer, with this result */
  csp_offer_result_t result;
  uint32_t for_service; /* 0: SERVICE */
  int more_offers;      /* with the same result at the same time */
  int64_t heard_ms_ago;
  int64_t offered_ms_ago;
  bool picked;
} cases[] = {
  { "a host that accepts relayed requests",
    { .relay_port = RELAY_PORT },
    .picked = true },
  { "a host of the version before", { .relay_port = 0 }, .picked = false },
  { "a host that is leaving",
    { .relay_port = RELAY_PORT, .leaving = true },
    .picked = false },
  { "a host that doesn't reach the service",
    { .relay_port = RELAY_PORT,
      .unreached_count = 1,
      .unreached = { SERVICE } },
    .picked = false },
  { "a host that doesn't reach another service",
    { .relay_port = RELAY_PORT,
      .unreached_count = 1,
      .unreached = { OTHER_SERVICE } },
    .picked = true },
  { "a host that is silent",
    { .relay_port = RELAY_PORT },
    .heard_ms_ago = 4000,
    .picked = false },
  { "a host that has accepted",
    { .relay_port = RELAY_PORT },
    .offered = true,
    .result = CSP_OFFER_ACCEPTED,
    .picked = true },
  { "a host that has just refused",
    { .relay_port = RELAY_PORT },
    .offered = true,
    .result = CSP_OFFER_UNREACHED,
    .offered_ms_ago = 499,
    .picked = false },
  { "a host that has just refused for another service",
    { .relay_port = RELAY_PORT },
    .offered = true,
    .result = CSP_OFFER_UNREACHED,
    .for_service = OTHER_SERVICE,
    .offered_ms_ago = 1,
    .picked = true },
  { "a host that refused before",
    { .relay_port = RELAY_PORT },
    .offered = true,
    .result = CSP_OFFER_UNREACHED,
    .offered_ms_ago = 500,
    .picked = true },
  { "a host that hasn't answered",
    { .relay_port = RELAY_PORT },
    .offered = true,
    .result = CSP_OFFER_UNANSWERED,
    .offered_ms_ago = 499,
    .picked = false },
  { "a host that hasn't answered five offers made at once",
    { .relay_port = RELAY_PORT },
    .offered = true,
    .result = CSP_OFFER_UNANSWERED,
    .more_offers = 4,
    .offered_ms_ago = 500,
    .picked = true },
};

/* Guards against requests that are offered to hosts that can't serve them.  */
START_TEST (host_that_can_serve_is_picked)
{
  csp_relay_host_t picked = { .relay_port = 0 };
  bool found;
  int i;

  hear_from (large, cases[_i].hello, NOW_MS - cases[_i].heard_ms_ago);
  csp_expire_peers (roster, NOW_MS);
  for (i = 0; cases[_i].offered && i <= cases[_i].more_offers; i++)
    csp_note_offer_result (
        roster, large,
        cases[_i].for_service != 0 ? cases[_i].for_service : SERVICE,
        cases[_i].result, NOW_MS - cases[_i].offered_ms_ago);
  found = csp_pick_relay_host (roster, SERVICE, NOW_MS, &picked);
  ck_assert_msg (found == cases[_i].picked, "%s", cases[_i].name);
  ck_assert (csp_has_relay_host (roster, SERVICE, NOW_MS) == found);
  ck_assert (!found
             || (csp_is_same_peer (picked.host, large)
                 && picked.relay_port == RELAY_PORT));
}
END_TEST

/* Guards against a host that has refused and is asked again, as it refused
   offers for another service meanwhile.  */
START_TEST (refusals_for_one_service_keep_those_for_another)
{
  csp_relay_host_t picked;
  int i;

  hear_from (large, (csp_hello_t){ .relay_port = RELAY_PORT }, NOW_MS);
  csp_note_offer_result (roster, large, SERVICE, CSP_OFFER_UNREACHED, NOW_MS);
  for (i = 0; i < CSP_HELLO_UNREACHED_MAX; i++)
    csp_note_offer_result (roster, large, OTHER_SERVICE, CSP_OFFER_UNREACHED,
                           NOW_MS + 1);
  ck_assert (!csp_pick_relay_host (roster, SERVICE, NOW_MS + 2, &picked));
}
END_TEST

/* Guards against all requests of hosts that are cut off going through one
   host, or as many through a small one as through a large one.  */
START_TEST (hosts_are_picked_by_their_capacity)
{
  csp_hello_t hello = { .relay_port = RELAY_PORT, .capacity = 100 };
  csp_relay_host_t picked;
  size_t small_count = 0;
  size_t i;

  hear_from (small, hello, NOW_MS);
  hello.capacity = 300;
  hear_from (large, hello, NOW_MS);
  for (i = 0; i < DRAWS; i++)
    {
      ck_assert (csp_pick_relay_host (roster, SERVICE, NOW_MS, &picked));
      small_count += csp_is_same_peer (picked.host, small);
    }
  ck_assert_uint_ge (small_count, DRAWS / 6);
  ck_assert_uint_le (small_count, DRAWS / 3);
}
END_TEST

/* Guards against strangers that pass for hosts.  */
START_TEST (only_live_hosts_are_known_by_address)
{
  hear_from (large, (csp_hello_t){ .relay_port = RELAY_PORT }, NOW_MS);
  ck_assert_ptr_nonnull (csp_find_live_host_by_ip (roster, large.ip));
  ck_assert_ptr_null (csp_find_live_host_by_ip (roster, small.ip));
  csp_expire_peers (roster, NOW_MS + 4000);
  ck_assert_ptr_null (csp_find_live_host_by_ip (roster, large.ip));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("roster-relay");
  TCase *tcase = tcase_create ("roster-relay");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, host_that_can_serve_is_picked, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, hosts_are_picked_by_their_capacity);
  tcase_add_test (tcase, refusals_for_one_service_keep_those_for_another);
  tcase_add_test (tcase, only_live_hosts_are_known_by_address);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
