#include "cowslipspoke/relay.h"

#include "support/run-suite.h"

#include <check.h>

static const struct
{
  csp_offer_facts_t facts;
  csp_offer_result_t result;
} offers[] = {
  { { .has_routes = true,
      .routes_version = 7,
      .offered_version = 7,
      .service_reached = true },
    CSP_OFFER_ACCEPTED },
  { { .has_routes = true,
      .routes_version = 8,
      .offered_version = 7,
      .service_reached = true },
    CSP_OFFER_OTHER_ROUTES },
  { { .has_routes = true,
      .routes_version = 6,
      .offered_version = 7,
      .service_reached = true },
    CSP_OFFER_OTHER_ROUTES },
  { { .service_reached = true }, CSP_OFFER_OTHER_ROUTES },
  { { .has_routes = true, .routes_version = 7, .offered_version = 7 },
    CSP_OFFER_UNREACHED },
  { { .has_routes = true,
      .service_reached = true,
      .reached = 12,
      .offered_reached = 12 },
    CSP_OFFER_UNREACHED },
  { { .has_routes = true,
      .service_reached = true,
      .reaches_most = true,
      .reached = 17,
      .offered_reached = 12 },
    CSP_OFFER_ACCEPTED },
  /* One of three targets is down, and the offering host has lost its path to
     another.  */
  { { .has_routes = true,
      .service_reached = true,
      .reached = 2,
      .offered_reached = 1 },
    CSP_OFFER_ACCEPTED },
  { { .has_routes = true,
      .service_reached = true,
      .reached = 2,
      .offered_reached = 2 },
    CSP_OFFER_UNREACHED },
  { { .has_routes = true, .service_reached = true, .reached = 1 },
    CSP_OFFER_ACCEPTED },
  { { .stopping = true,
      .has_routes = true,
      .routes_version = 7,
      .offered_version = 7,
      .service_reached = true },
    CSP_OFFER_STOPPING },
  { { .has_routes = true,
      .routes_version = 7,
      .offered_version = 7,
      .service_reached = true,
      .relayed_count = 255 },
    CSP_OFFER_ACCEPTED },
  { { .has_routes = true,
      .routes_version = 7,
      .offered_version = 7,
      .service_reached = true,
      .relayed_count = 256 },
    CSP_OFFER_FULL },
};

/* Guards against a request that waits at a host that can't serve it, or is
   handled by a configuration that was replaced.  */
START_TEST (offer_is_judged_by_what_the_host_can_do)
{
  ck_assert_int_eq (csp_judge_offer (&offers[_i].facts), offers[_i].result);
}
END_TEST

START_TEST (offer_results_survive_their_names)
{
  int result;

  for (result = 0; result < CSP_OFFER_RESULT_COUNT; result++)
    ck_assert_int_eq (csp_find_offer_result (
                          csp_offer_result_name ((csp_offer_result_t)result)),
                      result);
  ck_assert_int_eq (csp_find_offer_result ("of-a-later-version"),
                    CSP_OFFER_FULL);
  ck_assert_int_eq (csp_find_offer_result (NULL), CSP_OFFER_FULL);
}
END_TEST

static const struct
{
  csp_offer_result_t result;
  uint32_t unanswered;
  uint32_t avoid_ms;
} pauses[] = {
  { CSP_OFFER_ACCEPTED, 0, 0 },      { CSP_OFFER_UNREACHED, 0, 500 },
  { CSP_OFFER_UNANSWERED, 1, 500 },  { CSP_OFFER_UNANSWERED, 2, 1000 },
  { CSP_OFFER_UNANSWERED, 4, 4000 }, { CSP_OFFER_UNANSWERED, 99, 4000 },
  { CSP_OFFER_OTHER_ROUTES, 0, 50 },
};

/* Guards against requests that each wait for the same silent host.  */
START_TEST (silent_host_is_avoided_for_longer_each_time)
{
  ck_assert_uint_eq (
      csp_offer_avoid_ms (pauses[_i].result, pauses[_i].unanswered),
      pauses[_i].avoid_ms);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("offer");
  TCase *tcase = tcase_create ("offer");

  tcase_add_loop_test (tcase, offer_is_judged_by_what_the_host_can_do, 0,
                       sizeof offers / sizeof offers[0]);
  tcase_add_test (tcase, offer_results_survive_their_names);
  tcase_add_loop_test (tcase, silent_host_is_avoided_for_longer_each_time, 0,
                       sizeof pauses / sizeof pauses[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
