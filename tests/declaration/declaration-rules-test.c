#include "../support/declared.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  csp_request_facts_t facts;
  const char *rule;
  csp_action_t action;
} decision_case_t;

#define M .route = "m", .organisation = "a", .data_centre = "c1"

static const decision_case_t decision_cases[] = {
  { { M, .class_name = "slow", .load = 1.3 },
    "crowded",
    CSP_ACTION_TURN_AWAY },
  { { M, .class_name = "slow", .load = 1.2 },
    "crowded",
    CSP_ACTION_TURN_AWAY },
  { { M, .class_name = "slow", .load = 1.19 }, NULL, CSP_ACTION_SEND },
  { { M, .class_name = "fast", .load = 9 }, NULL, CSP_ACTION_SEND },
  { { M, .load = 9 }, NULL, CSP_ACTION_SEND },
  { { M, .class_name = "slow", .load = 9, .time_in_queue_ms = 500 },
    "crowded",
    CSP_ACTION_TURN_AWAY },
  { { M, .time_in_queue_ms = 500, .prompt_tokens = 1000 },
    "waited",
    CSP_ACTION_SPILL },
  { { M, .time_in_queue_ms = 499, .prompt_tokens = 1000 },
    "long",
    CSP_ACTION_SEND },
  { { .route = "n", .prompt_tokens = 1000 }, NULL, CSP_ACTION_SEND },
  { { .service = "m", .prompt_tokens = 1000 }, NULL, CSP_ACTION_SEND },
  { { .route = "m", .organisation = "b", .data_centre = "c2", .priority = 5 },
    "b",
    CSP_ACTION_LEND },
  { { .route = "m", .organisation = "b", .data_centre = "c2", .priority = 6 },
    NULL,
    CSP_ACTION_SEND },
  { { .route = "m", .organisation = "b", .data_centre = "c3", .priority = 5 },
    NULL,
    CSP_ACTION_SEND },
};

static void
check_explanation (const csp_declaration_t *declaration,
                   const csp_request_facts_t *facts, const char *rule)
{
  char mismatch[CSP_MISMATCH_BYTES];
  size_t i;

  for (i = 0; i < csp_count_rules (declaration); i++)
    {
      if (csp_explain_rule (declaration, i, facts, mismatch))
        {
          ck_assert_str_eq (csp_get_rule_name (declaration, i), rule);
          return;
        }
      ck_assert_str_ne (mismatch, "");
    }
  ck_assert_ptr_null (rule);
}

START_TEST (the_first_matching_rule_decides)
{
  const decision_case_t *row = &decision_cases[_i];
  csp_declaration_t *declaration = create_base_declaration ();
  csp_rule_outcome_t outcome;

  csp_evaluate_rules (declaration, &row->facts, &outcome);
  ck_assert_int_eq (outcome.requires_queue_time,
                    row->rule != NULL && strcmp (row->rule, "waited") == 0);
  if (outcome.action == CSP_ACTION_LEND)
    ck_assert_uint_eq (outcome.is.lend.terms.priority, 0);
  if (row->rule == NULL)
    ck_assert_ptr_null (outcome.rule);
  else
    ck_assert_str_eq (outcome.rule, row->rule);
  ck_assert_int_eq (outcome.action, row->action);
  check_explanation (declaration, &row->facts, row->rule);
  csp_destroy_declaration (declaration);
}
END_TEST

START_TEST (terms_come_from_rule_class_route_and_organisation)
{
  csp_declaration_t *declaration = create_base_declaration ();
  csp_request_facts_t facts
      = { M, .class_name = "fast", .priority = 8, .prompt_tokens = 2000 };
  csp_rule_outcome_t outcome;

  csp_evaluate_rules (declaration, &facts, &outcome);
  ck_assert_str_eq (outcome.is.send.pool, "big");
  ck_assert_uint_eq (outcome.is.send.priority, 1);
  ck_assert_uint_eq (outcome.is.send.weight, 7);
  ck_assert_uint_eq (outcome.is.send.longest_wait_ms, 70);
  ck_assert_uint_eq (outcome.is.send.limits.max_waiting, 4);
  ck_assert_uint_eq (outcome.is.send.limits.max_output_tokens, 500);
  facts.prompt_tokens = 0;
  csp_evaluate_rules (declaration, &facts, &outcome);
  ck_assert_ptr_null (outcome.rule);
  ck_assert_str_eq (outcome.is.send.pool, "small");
  ck_assert_uint_eq (outcome.is.send.priority, 8);
  ck_assert_uint_eq (outcome.is.send.weight, 3);
  ck_assert_uint_eq (outcome.is.send.limits.max_waiting, 0);
  ck_assert_uint_eq (outcome.is.send.limits.max_output_tokens, 500);
  csp_destroy_declaration (declaration);
}
END_TEST

typedef struct
{
  const char *first;
  const char *second;
  const char *third;
  /* Text in the third rule's fault; NULL if the rule can be reached.  */
  const char *expected_text;
} cover_case_t;

#define ORG(name) RULE ("{\"organisation\":\"" name "\"}", TURN_AWAY)
#define LOAD(min, max)                                                        \
  RULE ("{\"load\":{\"min\":" min ",\"max\":" max "}}", TURN_AWAY)
#define QUEUE(min, max)                                                       \
  RULE ("{\"time_in_queue_ms\":{\"min\":" min ",\"max\":" max "}}", TURN_AWAY)

static const cover_case_t cover_cases[] = {
  { ORG ("a"), RULE ("{}", TURN_AWAY), ORG ("b"), "r2" },
  { ORG ("a"), ORG ("b"), RULE ("{\"organisation\":[\"a\",\"b\"]}", TURN_AWAY),
    "r1, r2" },
  { ORG ("a"), ORG ("b"), RULE ("{}", TURN_AWAY), NULL },
  { LOAD ("0", "0.5"), LOAD ("0.5", "1"), LOAD ("0.2", "0.9"), "r1, r2" },
  { LOAD ("0", "0.5"), LOAD ("0.6", "1"), LOAD ("0.2", "0.9"), NULL },
  { QUEUE ("0", "10"), QUEUE ("11", "20"), QUEUE ("5", "15"), "r1, r2" },
  { QUEUE ("0", "10"), QUEUE ("12", "20"), QUEUE ("5", "15"), NULL },
  { RULE ("{\"organisation\":\"a\",\"load\":{\"max\":1}}", TURN_AWAY),
    RULE ("{\"organisation\":\"a\",\"load\":{\"min\":1}}", TURN_AWAY),
    ORG ("a"), "r1, r2" },
  { RULE ("{\"route\":\"m\"}", TURN_AWAY), ORG ("a"),
    RULE ("{\"route\":\"n\",\"organisation\":\"b\"}", TURN_AWAY), NULL },
  { ORG ("a"), ORG ("b"),
    RULE ("{\"route\":\"n\",\"class\":\"fast\"}", TURN_AWAY), "classes" },
  { ORG ("a"), ORG ("b"),
    RULE ("{\"service\":\"quotes\",\"class\":\"fast\"}", TURN_AWAY),
    "services have no classes" },
  { ORG ("a"), ORG ("b"), QUEUE ("0.2", "0.8"), "no whole number" },
};

/* A rule added after a wider one has no effect, and the operator must be told.
 */
START_TEST (unreachable_rules_are_found)
{
  const cover_case_t *row = &cover_cases[_i];
  const declared_pair_t rules[] = {
    { "rule/crowded", NULL },  { "rule/waited", NULL },
    { "rule/long", NULL },     { "rule/b", NULL },
    { "rule/r1", row->first }, { "rule/r2", row->second },
    { "rule/r3", row->third }, { "rule-order", "[\"r1\",\"r2\",\"r3\"]" }
  };
  csp_faults_t *faults = csp_create_faults ();
  csp_declaration_t *declaration
      = create_test_declaration (NULL, rules, 8, faults);

  csp_print_faults (faults, stdout);
  ck_assert_ptr_nonnull (declaration);
  csp_find_unreachable_rules (declaration, faults);
  csp_print_faults (faults, stdout);
  ck_assert_uint_eq (csp_count_faults (faults), row->expected_text != NULL);
  if (row->expected_text != NULL)
    {
      ck_assert_str_eq (csp_get_fault (faults, 0)->where, "rule/r3");
      ck_assert_ptr_nonnull (
          strstr (csp_get_fault (faults, 0)->text, row->expected_text));
    }
  csp_destroy_declaration (declaration);
  csp_destroy_faults (faults);
}
END_TEST

#define ADD_LOOP(tcase, test, table)                                          \
  tcase_add_loop_test (tcase, test, 0, sizeof (table) / sizeof (table)[0])

int
main (void)
{
  Suite *suite = suite_create ("declaration-rules");
  TCase *tcase = tcase_create ("declaration-rules");

  ADD_LOOP (tcase, the_first_matching_rule_decides, decision_cases);
  tcase_add_test (tcase, terms_come_from_rule_class_route_and_organisation);
  ADD_LOOP (tcase, unreachable_rules_are_found, cover_cases);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
