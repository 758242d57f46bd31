#include "../support/declared.h"
#include "declaration/declaration-imp.h"

#include "support/run-suite.h"

#include <check.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  declared_pair_t overrides[2];
  const char *where;
  const char *path;
  const char *expected_text;
} fault_case_t;

static const fault_case_t fault_cases[] = {
  { { { "organisation/a", "{}" } },
    "organisation/a",
    "key_sha256",
    "is missing" },
  { { { "organisation/a", "{\"key_sha256\":\"secret\"}" } },
    "organisation/a",
    "key_sha256",
    "64 lower-case hex digits" },
  { { { "organisation/a", "{\"key_sha256\":[\"" KEY_A "\",\"" KEY_A "\"]}" } },
    "organisation/a",
    "key_sha256[1]",
    "different strings" },
  { { { "organisation/c", "{\"key_sha256\":\"" KEY_A "\"}" } },
    "organisation/c",
    "key_sha256",
    "organisation \"a\"'s already" },
  { { { "organisation/a", "{\"key_sha256\":\"" KEY_A "\",\"weight\":0}" } },
    "organisation/a",
    "weight",
    "from 1 to 1000000" },
  { { { "organisation/a",
        "{\"key_sha256\":\"" KEY_A "\",\"key_sha256\":\"" KEY_B "\"}" } },
    "organisation/a",
    "key_sha256",
    "stands twice" },
  { { { "organisation/a b", "{}" } }, "organisation/a b", "", "unknown key" },
  { { { "secret/a", "{}" } }, "secret/a", "", "unknown key" },
  { { { "route/m/x", "{}" } }, "route/m/x", "", "unknown key" },
  { { { "route/n", "{\"pool\":\"none\"}" } },
    "route/n",
    "pool",
    "there is no pool \"none\"" },
  { { { "route/n", "{\"pool\":\"desk\"}" } },
    "route/n",
    "pool",
    "must have engines" },
  { { { "route/n", "{\"pool\":\"big\",\"fallback\":\"x\"}" } },
    "route/n",
    "fallback",
    "there is no route \"x\"" },
  { { { "route/n", "{\"pool\":\"big\",\"fallback\":\"n\"}" } },
    "route/n",
    "fallback",
    "form a cycle" },
  { { { "route/n", "{\"pool\":\"big\",\"default_class\":\"x\"}" } },
    "route/n",
    "default_class",
    "none of the route's classes" },
  { { { "route/n", "{\"pool\":\"big\",\"classes\":{\"x\":{\"prio\":1}}}" } },
    "route/n",
    "classes.x.prio",
    "unknown key" },
  { { { "route/n", "{\"pool\":\"big\",\"classes\":{\"x y\":{}}}" } },
    "route/n",
    "classes.x y",
    "no allowed name" },
  { { { "service/leases", "{\"pool\":\"big\"}" } },
    "service/leases",
    "pool",
    "must have services" },
  { { { "service/leases",
        "{\"pool\":\"desk\",\"path_prefix\":\"/quotes\"}" } },
    "service/quotes",
    "path_prefix",
    "service \"leases\"'s already" },
  { { { "service/leases", "{\"pool\":\"desk\",\"path_prefix\":\"/v1/x\"}" } },
    "service/leases",
    "path_prefix",
    "is in /v1" },
  { { { "service/leases",
        "{\"pool\":\"desk\",\"calls\":[{\"method\":\"GET\",\"path\":\"/a\"}]"
        "}" } },
    "service/leases",
    "calls[0].repeatable",
    "is missing" },
  { { { "targets/big", "{\"kind\":\"engine\"}" } },
    "targets/big",
    "kind",
    "one of engines, services" },
  { { { "rule/b", RULE ("{}", "{}") } }, "rule/b", "then", "has 0 actions" },
  { { { "rule/b", RULE ("{}", "{\"send\":{},\"lend\":{}}") } },
    "rule/b",
    "then",
    "has 2 actions" },
  { { { "rule/b", RULE ("{\"load\":{\"min\":2,\"max\":1}}", TURN_AWAY) } },
    "rule/b",
    "when.load",
    "min 2 is above max 1" },
  { { { "rule/b",
        RULE ("{\"route\":\"m\",\"service\":\"quotes\"}", TURN_AWAY) } },
    "rule/b",
    "when",
    "no request has both" },
  { { { "rule/b", RULE ("{\"organisation\":\"x\"}", TURN_AWAY) } },
    "rule/b",
    "when.organisation",
    "there is no organisation \"x\"" },
  { { { "rule/b", RULE ("{\"class\":[\"fast\",\"x\"]}", TURN_AWAY) } },
    "rule/b",
    "when.class",
    "there is no class \"x\"" },
  { { { "rule/b", RULE ("{}", "{\"send\":{\"pool\":\"big\"}}") } },
    "rule/b",
    "then.send.pool",
    "must ask for route, class or service" },
  { { { "rule/b",
        RULE ("{\"route\":\"m\"}", "{\"send\":{\"pool\":\"desk\"}}") } },
    "rule/b",
    "then.send.pool",
    "must have engines" },
  { { { "rule/b", RULE ("{}", "{\"spill\":{}}") } },
    "rule/b",
    "then.spill.data_centre",
    "is missing" },
  { { { "rule/extra", RULE ("{}", TURN_AWAY) } },
    "rule/extra",
    "",
    "is not in rule-order" },
  { { { "rule-order", "[\"crowded\",\"waited\",\"long\",\"b\",\"x\"]" } },
    "rule-order",
    "",
    "there is no rule \"x\"" },
  { { { "rule-order", "[\"crowded\",\"waited\",\"long\",\"b\",\"b\"]" } },
    "rule-order",
    "rule-order[4]",
    "different strings" },
  { { { "rule-order", "{}" } }, "rule-order", "", "must be a list" },
};

/* An inconsistent declaration that is accepted fails later, one request at a
   time: callers of an organisation are refused, or their requests are billed
   to another organisation.  */
START_TEST (faults_have_place_path_and_text)
{
  const fault_case_t *row = &fault_cases[_i];
  csp_faults_t *faults = csp_create_faults ();
  bool found = false;
  size_t i;

  ck_assert_ptr_null (
      create_test_declaration (NULL, row->overrides, 2, faults));
  for (i = 0; i < csp_count_faults (faults); i++)
    {
      const csp_fault_t *fault = csp_get_fault (faults, i);

      if (strcmp (fault->where, row->where) == 0
          && strcmp (fault->path, row->path) == 0
          && strstr (fault->text, row->expected_text) != NULL)
        found = true;
    }
  csp_print_faults (faults, stdout);
  ck_assert_msg (found, "case %d: no fault at %s: %s: %s", _i, row->where,
                 row->path, row->expected_text);
  csp_destroy_faults (faults);
}
END_TEST

START_TEST (names_and_keys_are_found)
{
  csp_declaration_t *declaration = create_base_declaration ();
  const csp_route_t *route = csp_find_route (declaration, "m");
  const char *rest;

  ck_assert_str_eq (csp_find_organisation_by_key (declaration, KEY_A)->name,
                    "a");
  ck_assert_str_eq (csp_find_organisation_by_key (declaration, KEY_B)->name,
                    "b");
  ck_assert_ptr_null (csp_find_organisation_by_key (declaration, "cc"));
  ck_assert_uint_eq (csp_find_organisation (declaration, "a")->weight, 3);
  ck_assert_ptr_null (csp_find_organisation (declaration, "m"));
  ck_assert_str_eq (route->model, "m");
  ck_assert_str_eq (csp_find_route (declaration, "n")->model, "n-large");
  ck_assert_str_eq (csp_find_class (route, NULL)->name, "slow");
  ck_assert_uint_eq (csp_find_class (route, "fast")->priority, 8);
  ck_assert_ptr_null (
      csp_find_class (csp_find_route (declaration, "n"), NULL));
  ck_assert_uint_eq (csp_find_pool (declaration, "small")->memory_tokens,
                     5000);
  ck_assert_str_eq (
      csp_find_service_by_path (declaration, "/quotes/7?x", &rest)->name,
      "quotes");
  ck_assert_str_eq (rest, "/7?x");
  ck_assert_ptr_null (
      csp_find_service_by_path (declaration, "/quotesx", &rest));
  ck_assert_str_eq (
      csp_find_service_by_path (declaration, "/services/leases", &rest)->name,
      "leases");
  ck_assert_str_eq (rest, "/");
  csp_destroy_declaration (declaration);
}
END_TEST

START_TEST (wanted_state_is_the_engines_or_its_pools)
{
  csp_declaration_t *declaration = create_base_declaration ();
  const csp_pool_t *pool = csp_find_pool (declaration, "small");

  ck_assert_str_eq (csp_get_wanted_state (pool, "e1")->models[0].version, "3");
  ck_assert_int_eq (csp_get_wanted_state (pool, "e2")->role, CSP_ROLE_DECODE);
  ck_assert_ptr_null (
      csp_get_wanted_state (csp_find_pool (declaration, "big"), "e1"));
  csp_destroy_declaration (declaration);
}
END_TEST

/* Repeating a call that is not idempotent runs it twice, for example sends a
   buyer the same quote twice.  Only the method or the service's declaration
   may allow it.  */
START_TEST (calls_are_repeatable_by_method_or_declaration)
{
  csp_declaration_t *declaration = create_base_declaration ();
  const csp_service_t *quote_service
      = csp_find_service (declaration, "quotes");

  ck_assert (csp_may_repeat_call (quote_service, "GET", "/7"));
  ck_assert (csp_may_repeat_call (quote_service, "PUT", "/7"));
  ck_assert (!csp_may_repeat_call (quote_service, "POST", "/7"));
  ck_assert (!csp_may_repeat_call (quote_service, "get", "/7"));
  ck_assert (csp_may_repeat_call (quote_service, "POST", "/search"));
  ck_assert (csp_may_repeat_call (quote_service, "POST", "/search/all?x=1"));
  ck_assert (!csp_may_repeat_call (quote_service, "POST", "/searching"));
  ck_assert (!csp_may_repeat_call (quote_service, "GET", "/next"));
  csp_destroy_declaration (declaration);
}
END_TEST

/* Unchanged values are shared with the previous declaration, which traffic
   threads may still read; they must stay valid until both declarations are
   destroyed.  */
START_TEST (unchanged_values_are_shared)
{
  static const declared_pair_t overrides[]
      = { { "organisation/b", "{\"key_sha256\":\"" KEY_B "\",\"weight\":9}" },
          { "rule-order", "[\"b\",\"crowded\",\"waited\",\"long\"]" } };
  static const declared_pair_t bad[] = { { "organisation/b", "{}" } };
  csp_faults_t *faults = csp_create_faults ();
  csp_declaration_t *first = create_base_declaration ();
  csp_declaration_t *second
      = create_test_declaration (first, overrides, 2, faults);

  ck_assert_ptr_eq (csp_find_organisation (first, "a"),
                    csp_find_organisation (second, "a"));
  ck_assert_ptr_ne (csp_find_organisation (first, "b"),
                    csp_find_organisation (second, "b"));
  ck_assert_uint_eq (csp_find_organisation (first, "b")->weight, 1);
  ck_assert_uint_eq (csp_find_organisation (second, "b")->weight, 9);
  ck_assert_str_eq (csp_get_rule_name (second, 0), "b");
  ck_assert_ptr_null (create_test_declaration (second, bad, 1, faults));
  csp_destroy_declaration (first);
  ck_assert_str_eq (csp_find_organisation_by_key (second, KEY_A)->name, "a");
  csp_destroy_declaration (second);
  csp_destroy_faults (faults);
}
END_TEST

enum
{
  REPLACEMENTS = 300
};

static void *
destroy_in_thread (void *context)
{
  csp_destroy_declaration (context);
  return NULL;
}

/* A stream that began before a change keeps the old declaration, and its
   thread destroys it while the control thread builds the next one from the
   same values.  A race on the reference count would free a value that is still
   in use, and a later look-up would crash the host.  */
START_TEST (old_declarations_may_be_destroyed_in_any_thread)
{
  csp_faults_t *faults = csp_create_faults ();
  csp_declaration_t *current = create_base_declaration ();
  csp_declaration_t *next;
  pthread_t thread;
  int i;

  for (i = 0; i < REPLACEMENTS; i++)
    {
      next = create_test_declaration (current, NULL, 0, faults);
      ck_assert_int_eq (
          pthread_create (&thread, NULL, destroy_in_thread, current), 0);
      current = create_test_declaration (next, NULL, 0, faults);
      csp_destroy_declaration (next);
      pthread_join (thread, NULL);
    }
  ck_assert_str_eq (csp_find_organisation_by_key (current, KEY_A)->name, "a");
  csp_destroy_declaration (current);
  csp_destroy_faults (faults);
}
END_TEST

/* Whether the page describes the member in the rows of another object.  */
static bool
is_described_elsewhere (const char *path)
{
  static const char *const same[]
      = { "then.lend.", "then.spill.", "engines.NAME.wanted." };
  size_t i;

  if (strcmp (path, "then.lend.max_load") == 0
      || strcmp (path, "then.spill.data_centre") == 0)
    return false;
  for (i = 0; i < sizeof same / sizeof same[0]; i++)
    if (strncmp (path, same[i], strlen (same[i])) == 0)
      return true;
  return false;
}

static void
check_page_rows (const char *page, const csp_field_t *fields,
                 const char *before)
{
  char allowed[CSP_FIELD_ALLOWED_BYTES];
  const csp_field_t *field;
  char *path;
  char *inner;
  char *row;

  for (field = fields; field->name != NULL; field++)
    {
      csp_describe_field (field, allowed);
      ck_assert_int_gt (asprintf (&path, "%s%s", before, field->name), 0);
      ck_assert_int_gt (asprintf (&inner, "%s%s.", path,
                                  field->type == CSP_FIELD_MAP    ? ".NAME"
                                  : field->type == CSP_FIELD_LIST ? "[]"
                                                                  : ""),
                        0);
      ck_assert_int_gt (asprintf (&row, "\n| `%s` | %s | ", path, allowed), 0);
      ck_assert_msg (is_described_elsewhere (path)
                         || strstr (page, row) != NULL,
                     "docs/DECLARATIONS.md lacks %s", row);
      if (field->fields != NULL)
        check_page_rows (page, field->fields, inner);
      free (row);
      free (inner);
      free (path);
    }
}

/* Operators write declarations from docs/DECLARATIONS.md.  If the page lacks a
   member or states other bounds, a declaration written from it is refused.  */
START_TEST (the_page_describes_every_member)
{
  char *page = calloc (1, 65536);
  FILE *file = fopen ("docs/DECLARATIONS.md", "r");

  ck_assert_ptr_nonnull (file);
  ck_assert_uint_gt (fread (page, 1, 65535, file), 0);
  fclose (file);
  check_page_rows (page, csp_organisation_table, "");
  check_page_rows (page, csp_route_table, "");
  check_page_rows (page, csp_service_table, "");
  check_page_rows (page, csp_pool_table, "");
  check_page_rows (page, csp_rule_table, "");
  free (page);
}
END_TEST

#define ADD_LOOP(tcase, test, table)                                          \
  tcase_add_loop_test (tcase, test, 0, sizeof (table) / sizeof (table)[0])

int
main (void)
{
  Suite *suite = suite_create ("declaration");
  TCase *tcase = tcase_create ("declaration");

  ADD_LOOP (tcase, faults_have_place_path_and_text, fault_cases);
  tcase_add_test (tcase, names_and_keys_are_found);
  tcase_add_test (tcase, wanted_state_is_the_engines_or_its_pools);
  tcase_add_test (tcase, calls_are_repeatable_by_method_or_declaration);
  tcase_add_test (tcase, unchanged_values_are_shared);
  tcase_add_test (tcase, old_declarations_may_be_destroyed_in_any_thread);
  tcase_add_test (tcase, the_page_describes_every_member);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
