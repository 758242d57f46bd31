#include "cowslipspoke/configuration.h"
#include "cowslipspoke/random.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_VALUES = 4
};

static void *
build (void *state, int64_t revision, const csp_config_value_t *values,
       size_t count, char fault[CSP_FAULT_BYTES])
{
  size_t i;

  (void)state;
  (void)revision;
  for (i = 0; i < count; i++)
    if (strcmp (values[i].json, "\"bad\"") == 0)
      {
        snprintf (fault, CSP_FAULT_BYTES, "%s is bad", values[i].key);
        return NULL;
      }
  return malloc (1);
}

static void
release (void *state, void *built)
{
  (void)state;
  free (built);
}

static csp_configuration_t *
create (void)
{
  csp_config_builder_t check = { build, release, NULL };

  return csp_create_configuration (&check);
}

static csp_config_result_t
apply (csp_configuration_t *configuration, csp_config_source_t source,
       csp_config_delta_t delta, const csp_config_value_t *values)
{
  delta.values = values;
  while (delta.value_count < MAX_VALUES
         && values[delta.value_count].key != NULL)
    delta.value_count++;
  return csp_apply_configuration (configuration, source, &delta);
}

static csp_config_status_t
describe (const csp_configuration_t *configuration)
{
  csp_config_status_t status;

  csp_get_configuration_status (configuration, &status);
  return status;
}

/* Creates the state before each case: keys a and b at revision 10.  */
static csp_configuration_t *
create_at_revision_10 (void)
{
  static const csp_config_value_t values[MAX_VALUES]
      = { { "a", "1", 4 }, { "b", "1", 10 } };
  csp_config_delta_t full_delta = { .revision = 10, .full = true };
  csp_configuration_t *configuration = create ();

  ck_assert_int_eq (
      apply (configuration, CSP_SOURCE_SERVICE, full_delta, values),
      CSP_CONFIG_APPLIED);
  return configuration;
}

typedef struct
{
  csp_config_delta_t delta;
  csp_config_value_t values[MAX_VALUES];
  int64_t expected_revision;
  csp_config_source_t source;
  csp_config_result_t result;
} apply_case_t;

static const apply_case_t apply_cases[] = {
  /* Changes to the base in force, or to an older one.  */
  { { 10, 11, 0, false, 0, NULL },
    { { "a", "2", 11 } },
    11,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_APPLIED },
  { { 8, 12, 0, false, 0, NULL },
    { { "b", "3", 12 } },
    12,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_APPLIED },
  { { 10, 12, 0, false, 0, NULL },
    { { "a", NULL, 12 } },
    12,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_APPLIED },
  /* Changes to a base that this host never had.  */
  { { 11, 12, 0, false, 0, NULL },
    { { "a", "2", 12 } },
    10,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_NEEDS_FULL },
  /* A service that returns a lower revision, and a peer that is behind.  */
  { { 0, 9, 0, true, 0, NULL },
    { { "a", "1", 4 } },
    10,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_STALE },
  { { 10, 9, 5, false, 0, NULL },
    { { NULL, NULL, 0 } },
    10,
    CSP_SOURCE_PEER,
    CSP_CONFIG_STALE },
  /* The same revision with the same content, and with other content.  */
  { { 0, 10, 0, true, 0, NULL },
    { { "a", "1", 4 }, { "b", "1", 10 } },
    10,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_SAME },
  { { 0, 10, 0, true, 0, NULL },
    { { "a", "1", 4 } },
    10,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_CONFLICT },
  { { 9, 10, 0, false, 0, NULL },
    { { "b", "7", 10 } },
    10,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_CONFLICT },
  { { 10, 10, 5, false, 0, NULL },
    { { NULL, NULL, 0 } },
    10,
    CSP_SOURCE_PEER,
    CSP_CONFIG_CONFLICT },
  /* Incomplete changes of a peer: the digest doesn't match.  */
  { { 10, 12, 5, false, 0, NULL },
    { { "a", "2", 11 } },
    10,
    CSP_SOURCE_PEER,
    CSP_CONFIG_NEEDS_FULL },
  /* A value that fails the check, and a key that occurs twice.  */
  { { 10, 11, 0, false, 0, NULL },
    { { "a", "\"bad\"", 11 } },
    10,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_REFUSED },
  { { 10, 11, 0, false, 0, NULL },
    { { "a", "2", 11 }, { "a", "3", 11 } },
    10,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_REFUSED },
};

/* The service and peers send stale, conflicting, incomplete, duplicate and
   reordered answers.  If one of them were applied, hosts would use an old or
   inconsistent configuration.  */
START_TEST (only_newer_complete_and_valid_revisions_are_applied)
{
  const apply_case_t *row = &apply_cases[_i];
  csp_configuration_t *configuration = create_at_revision_10 ();
  csp_config_status_t status;

  ck_assert_int_eq (
      apply (configuration, row->source, row->delta, row->values),
      row->result);
  status = describe (configuration);
  ck_assert_int_eq (status.revision, row->expected_revision);
  ck_assert_uint_eq (status.counts[row->result],
                     row->result == CSP_CONFIG_APPLIED ? 2 : 1);
  ck_assert_ptr_nonnull (csp_get_built_configuration (configuration));
  csp_destroy_configuration (configuration);
}
END_TEST

/* An operator publishes an invalid revision.  If the last valid one were not
   kept, every host would stop serving; without the fault text the operator
   couldn't tell why nothing changed.  */
START_TEST (bad_revision_keeps_the_last_valid_one_and_reports_its_fault)
{
  static const csp_config_value_t invalid_values[MAX_VALUES]
      = { { "a", "\"bad\"", 11 } };
  static const csp_config_value_t valid_values[MAX_VALUES]
      = { { "a", "5", 12 }, { "b", "1", 10 } };
  csp_config_delta_t revision_11 = { .base = 10, .revision = 11 };
  csp_config_delta_t revision_12 = { .base = 11, .revision = 12 };
  csp_configuration_t *configuration = create_at_revision_10 ();

  apply (configuration, CSP_SOURCE_SERVICE, revision_11, invalid_values);
  ck_assert_int_eq (describe (configuration).refused_revision, 11);
  ck_assert_str_eq (describe (configuration).fault, "a is bad");
  /* The watch asks after the refused revision; otherwise it would end at
     once.  */
  ck_assert_int_eq (csp_get_watch_revision (configuration), 11);
  ck_assert_int_eq (
      apply (configuration, CSP_SOURCE_SERVICE, revision_12, valid_values),
      CSP_CONFIG_NEEDS_FULL);
  revision_12.base = 0;
  revision_12.full = true;
  ck_assert_int_eq (
      apply (configuration, CSP_SOURCE_SERVICE, revision_12, valid_values),
      CSP_CONFIG_APPLIED);
  ck_assert_int_eq (describe (configuration).refused_revision, 0);
  csp_destroy_configuration (configuration);
}
END_TEST

/* The service is restored from an old backup and continues from there, so that
   it reuses revisions 10 and 11 for other content.  By deltas alone a host
   would keep values that the service no longer has, and hosts would differ. */
START_TEST (restored_service_needs_a_full_read)
{
  static const csp_config_value_t old[MAX_VALUES] = { { "a", "1", 4 } };
  static const csp_config_value_t change[MAX_VALUES] = { { "c", "9", 12 } };
  static const csp_config_value_t now[MAX_VALUES]
      = { { "a", "1", 4 }, { "b", "8", 9 }, { "c", "9", 12 } };
  csp_config_delta_t revision_8 = { .revision = 8, .base = 10 };
  csp_config_delta_t revision_12 = { .base = 10, .revision = 12 };
  csp_configuration_t *configuration = create_at_revision_10 ();
  csp_config_delta_t changes;

  apply (configuration, CSP_SOURCE_SERVICE, revision_8, old);
  ck_assert (describe (configuration).service_stale);
  ck_assert_int_eq (
      apply (configuration, CSP_SOURCE_SERVICE, revision_12, change),
      CSP_CONFIG_NEEDS_FULL);
  revision_12.base = 0;
  revision_12.full = true;
  ck_assert_int_eq (
      apply (configuration, CSP_SOURCE_SERVICE, revision_12, now),
      CSP_CONFIG_APPLIED);
  ck_assert (!describe (configuration).needs_full_read);
  /* b changed under a revision that was already in force; a peer still at
     revision 10 must get the change.  */
  csp_collect_config_changes (configuration, 10, &changes);
  ck_assert_uint_eq (changes.value_count, 2);
  csp_destroy_configuration (configuration);
}
END_TEST

START_TEST (peer_too_far_behind_gets_the_full_configuration)
{
  csp_configuration_t *configuration = create_at_revision_10 ();
  csp_config_value_t value[MAX_VALUES] = { { "z", NULL, 0 } };
  csp_config_delta_t change = { 0 };
  csp_config_delta_t changes;
  char key[16];
  int64_t revision = 10;
  int i;

  for (i = 0; i < 2 * (CSP_MAX_TOMBSTONES + 10); i++)
    {
      snprintf (key, sizeof key, "k%d", i / 2);
      value[0]
          = (csp_config_value_t){ key, i % 2 == 0 ? "1" : NULL, revision + 1 };
      change.base = revision;
      change.revision = ++revision;
      ck_assert_int_eq (
          apply (configuration, CSP_SOURCE_SERVICE, change, value),
          CSP_CONFIG_APPLIED);
    }
  csp_collect_config_changes (configuration, 11, &changes);
  ck_assert (changes.full);
  csp_collect_config_changes (configuration, revision - 20, &changes);
  ck_assert (!changes.full);
  ck_assert_uint_eq (changes.value_count, 10);
  csp_collect_config_changes (configuration, revision + 1, &changes);
  ck_assert_uint_eq (changes.value_count, 0);
  csp_destroy_configuration (configuration);
}
END_TEST

/* Sets or deletes one of a few keys at random.  */
static void
change_randomly (csp_configuration_t *configuration, csp_random_t *random)
{
  char key[2] = { (char)('a' + csp_random_below (random, 6)), '\0' };
  char json[2] = { (char)('0' + csp_random_below (random, 10)), '\0' };
  csp_config_value_t value[MAX_VALUES] = { { key, json, 0 } };
  csp_config_delta_t change = { 0 };

  change.base = describe (configuration).revision;
  change.revision = change.base + 1;
  value[0].revision = change.revision;
  if (csp_random_below (random, 3) == 0)
    value[0].json = NULL;
  apply (configuration, CSP_SOURCE_SERVICE, change, value);
}

/* A follower that pulls only now and then, and so misses random runs of
   revisions, still ends with the same content as the leader.  */
START_TEST (follower_ends_with_the_same_content)
{
  csp_configuration_t *leader = create_at_revision_10 ();
  csp_configuration_t *follower = create_at_revision_10 ();
  csp_config_delta_t delta;
  csp_random_t random;
  int i;

  csp_seed_random (&random, (uint64_t)_i);
  for (i = 0; i < 60; i++)
    {
      change_randomly (leader, &random);
      if (csp_random_below (&random, 4) != 0)
        continue;
      csp_collect_config_changes (leader, describe (follower).revision,
                                  &delta);
      ck_assert (!delta.full);
      ck_assert_int_eq (
          csp_apply_configuration (follower, CSP_SOURCE_PEER, &delta),
          CSP_CONFIG_APPLIED);
      ck_assert_uint_eq (describe (leader).digest, describe (follower).digest);
    }
  csp_destroy_configuration (leader);
  csp_destroy_configuration (follower);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("configuration");
  TCase *tcase = tcase_create ("configuration");

  tcase_add_loop_test (tcase,
                       only_newer_complete_and_valid_revisions_are_applied, 0,
                       sizeof apply_cases / sizeof *apply_cases);
  tcase_add_test (tcase,
                  bad_revision_keeps_the_last_valid_one_and_reports_its_fault);
  tcase_add_test (tcase, restored_service_needs_a_full_read);
  tcase_add_test (tcase, peer_too_far_behind_gets_the_full_configuration);
  tcase_add_loop_test (tcase, follower_ends_with_the_same_content, 0, 50);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
