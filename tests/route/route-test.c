#include "cowslipspoke/route.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static csp_routes_t *routes;

static void
add_test_route (const char *name, const char *host, const char *prefix)
{
  csp_gateway_route_t route = { .name = name,
                                .host = host,
                                .prefix = prefix,
                                .share_count = 2,
                                .shares = { { "s1", 90 }, { "s2", 10 } } };

  ck_assert (csp_add_route (routes, &route));
}

static void
set_up (void)
{
  csp_caller_limits_t limits = { 1, 2, 3, 4 };

  routes = csp_create_routes (7, limits);
  add_test_route ("all", "a.example", "/");
  add_test_route ("long", "a.example", "/x/y/");
  add_test_route ("short", "a.example", "/x/");
  add_test_route ("other", "b.example", "/x/");
  ck_assert (csp_add_organisation (routes, "org-a", -1));
  ck_assert (csp_add_key (routes, "k2"));
  ck_assert (csp_add_key (routes, "k1"));
  ck_assert (csp_add_organisation (routes, "org-b", 4));
  ck_assert (csp_add_key (routes, "k0"));
  ck_assert (csp_add_key (routes, "k1"));
  csp_seal_routes (routes);
}

static void
tear_down (void)
{
  csp_release_routes (routes);
}

static const struct
{
  const char *host;
  const char *path;
  const char *route;
} matches[] = {
  { "a.example", "/x/y/z", "long" },
  { "a.example", "/x/y", "short" },
  { "a.example", "/x/", "short" },
  { "a.example", "/x", "all" },
  { "A.EXAMPLE:80", "/x/", "short" },
  { "b.example", "/x/?q", "other" },
  { "b.example", "/", NULL },
  { "a.example.net", "/", NULL },
  { "", "/", NULL },
};

START_TEST (longest_matching_prefix_of_the_host_wins)
{
  const csp_gateway_route_t *route
      = csp_match_route (routes, matches[_i].host, matches[_i].path);

  if (matches[_i].route == NULL)
    ck_assert_ptr_null (route);
  else
    ck_assert_str_eq (route->name, matches[_i].route);
}
END_TEST

static const struct
{
  const char *key;
  const char *organisation;
} keys[] = { { "k0", "org-b" }, { "k1", "org-b" }, { "k2", "org-a" },
             { "k3", NULL },    { "", NULL },      { "k", NULL } };

START_TEST (key_lookup_returns_the_last_owner)
{
  const csp_route_organisation_t *organisation
      = csp_find_key_owner (routes, keys[_i].key);

  if (keys[_i].organisation == NULL)
    ck_assert_ptr_null (organisation);
  else
    ck_assert_str_eq (organisation->name, keys[_i].organisation);
}
END_TEST

START_TEST (services_are_picked_by_weight)
{
  const csp_gateway_route_t *route
      = csp_match_route (routes, "b.example", "/x/");
  csp_random_t random;
  uint32_t first = 0;
  int i;

  csp_seed_random (&random, 3);
  for (i = 0; i < 10000; i++)
    first += strcmp (csp_pick_weighted_service (route, &random), "s1") == 0;
  ck_assert_uint_gt (first, 8800);
  ck_assert_uint_lt (first, 9200);
}
END_TEST

START_TEST (retained_version_outlives_a_release)
{
  csp_routes_t *retained = csp_retain_routes (routes);

  csp_release_routes (routes);
  ck_assert_uint_eq (csp_routes_version (retained), 7);
  ck_assert_uint_eq (csp_routes_limits (retained)->idle_timeout_ms, 4);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("route");
  TCase *tcase = tcase_create ("route");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, longest_matching_prefix_of_the_host_wins, 0,
                       sizeof matches / sizeof matches[0]);
  tcase_add_loop_test (tcase, key_lookup_returns_the_last_owner, 0,
                       sizeof keys / sizeof keys[0]);
  tcase_add_test (tcase, services_are_picked_by_weight);
  tcase_add_test (tcase, retained_version_outlives_a_release);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
