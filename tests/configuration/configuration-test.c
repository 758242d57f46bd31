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
  csp_config_check_t check = { build, release, NULL };

  return csp_create_configuration (&check);
}

static csp_config_result_t
take (csp_configuration_t *configuration, csp_config_source_t source,
      csp_config_delta_t delta, const csp_config_value_t *values)
{
  delta.values = values;
  while (delta.value_count < MAX_VALUES
         && values[delta.value_count].key != NULL)
    delta.value_count++;
  return csp_take_configuration (configuration, source, &delta);
}

static csp_config_status_t
describe (const csp_configuration_t *configuration)
{
  csp_config_status_t status;

  csp_describe_configuration (configuration, &status);
  return status;
}

/* What is held before each case: a and b at revision 10.  */
static csp_configuration_t *
create_at_ten (void)
{
  static const csp_config_value_t values[MAX_VALUES]
      = { { "a", "1", 4 }, { "b", "1", 10 } };
  csp_config_delta_t whole = { .revision = 10, .full = true };
  csp_configuration_t *configuration = create ();

  ck_assert_int_eq (take (configuration, CSP_SOURCE_SERVICE, whole, values),
                    CSP_CONFIG_TAKEN);
  return configuration;
}

typedef struct
{
  csp_config_delta_t delta;
  csp_config_value_t values[MAX_VALUES];
  int64_t in_force;
  csp_config_source_t source;
  csp_config_result_t result;
} take_case_t;

static const take_case_t take_cases[] = {
  /* Changes on the base that is held, or on an older one.  */
  { { 10, 11, 0, false, 0, NULL },
    { { "a", "2", 11 } },
    11,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_TAKEN },
  { { 8, 12, 0, false, 0, NULL },
    { { "b", "3", 12 } },
    12,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_TAKEN },
  { { 10, 12, 0, false, 0, NULL },
    { { "a", NULL, 12 } },
    12,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_TAKEN },
  /* Changes on a base that was never here.  */
  { { 11, 12, 0, false, 0, NULL },
    { { "a", "2", 12 } },
    10,
    CSP_SOURCE_SERVICE,
    CSP_CONFIG_ASK_WHOLE },
  /* A service that fell back, and a peer that is behind.  */
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
  /* The same revision with the same content, and with another.  */
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
  /* Half of a peer's changes: the digest is that of another state.  */
  { { 10, 12, 5, false, 0, NULL },
    { { "a", "2", 11 } },
    10,
    CSP_SOURCE_PEER,
    CSP_CONFIG_ASK_WHOLE },
  /* A value that fails the check, and a key that stands twice.  */
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

/* Answers come from a service that fell back, from peers that hold something
   else, half, twice and in the wrong order.  Were one of them taken, hosts
   would decide by an old or a mixed configuration.  */
START_TEST (only_higher_whole_and_good_revisions_are_taken)
{
  const take_case_t *row = &take_cases[_i];
  csp_configuration_t *configuration = create_at_ten ();
  csp_config_status_t status;

  ck_assert_int_eq (take (configuration, row->source, row->delta, row->values),
                    row->result);
  status = describe (configuration);
  ck_assert_int_eq (status.revision, row->in_force);
  ck_assert_uint_eq (status.counts[row->result],
                     row->result == CSP_CONFIG_TAKEN ? 2 : 1);
  ck_assert_ptr_nonnull (csp_built_configuration (configuration));
  csp_destroy_configuration (configuration);
}
END_TEST

/* An operator publishes a revision with a fault.  Without the last good one
   every host would stop serving; without the fault text the operator would
   wonder why nothing changed.  */
START_TEST (a_bad_revision_leaves_the_last_good_one_and_shows_its_fault)
{
  static const csp_config_value_t bad[MAX_VALUES] = { { "a", "\"bad\"", 11 } };
  static const csp_config_value_t good[MAX_VALUES]
      = { { "a", "5", 12 }, { "b", "1", 10 } };
  csp_config_delta_t eleven = { .base = 10, .revision = 11 };
  csp_config_delta_t twelve = { .base = 11, .revision = 12 };
  csp_configuration_t *configuration = create_at_ten ();

  take (configuration, CSP_SOURCE_SERVICE, eleven, bad);
  ck_assert_int_eq (describe (configuration).refused_revision, 11);
  ck_assert_str_eq (describe (configuration).fault, "a is bad");
  /* The watch goes on behind the bad one, or it would wake at once.  */
  ck_assert_int_eq (csp_find_watch_base (configuration), 11);
  ck_assert_int_eq (take (configuration, CSP_SOURCE_SERVICE, twelve, good),
                    CSP_CONFIG_ASK_WHOLE);
  twelve.base = 0;
  twelve.full = true;
  ck_assert_int_eq (take (configuration, CSP_SOURCE_SERVICE, twelve, good),
                    CSP_CONFIG_TAKEN);
  ck_assert_int_eq (describe (configuration).refused_revision, 0);
  csp_destroy_configuration (configuration);
}
END_TEST

/* The service is restored from an old backup and counts on from there, so
   that revisions 10 and 11 come a second time with other content.  By deltas
   alone a host would keep what the service no longer has, and no two hosts
   would agree.  */
START_TEST (a_restored_service_is_read_whole_before_it_is_followed)
{
  static const csp_config_value_t old[MAX_VALUES] = { { "a", "1", 4 } };
  static const csp_config_value_t change[MAX_VALUES] = { { "c", "9", 12 } };
  static const csp_config_value_t now[MAX_VALUES]
      = { { "a", "1", 4 }, { "b", "8", 9 }, { "c", "9", 12 } };
  csp_config_delta_t eight = { .revision = 8, .base = 10 };
  csp_config_delta_t twelve = { .base = 10, .revision = 12 };
  csp_configuration_t *configuration = create_at_ten ();
  csp_config_delta_t given;

  take (configuration, CSP_SOURCE_SERVICE, eight, old);
  ck_assert (describe (configuration).service_stale);
  ck_assert_int_eq (take (configuration, CSP_SOURCE_SERVICE, twelve, change),
                    CSP_CONFIG_ASK_WHOLE);
  twelve.base = 0;
  twelve.full = true;
  ck_assert_int_eq (take (configuration, CSP_SOURCE_SERVICE, twelve, now),
                    CSP_CONFIG_TAKEN);
  ck_assert (!describe (configuration).distrust_deltas);
  /* b changed under a revision that was in force; a peer that still holds 10
     must hear of it.  */
  csp_find_config_changes (configuration, 10, &given);
  ck_assert_uint_eq (given.value_count, 2);
  csp_destroy_configuration (configuration);
}
END_TEST

START_TEST (a_peer_that_is_too_far_behind_gets_the_whole)
{
  csp_configuration_t *configuration = create_at_ten ();
  csp_config_value_t value[MAX_VALUES] = { { "z", NULL, 0 } };
  csp_config_delta_t change = { 0 };
  csp_config_delta_t given;
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
          take (configuration, CSP_SOURCE_SERVICE, change, value),
          CSP_CONFIG_TAKEN);
    }
  csp_find_config_changes (configuration, 11, &given);
  ck_assert (given.full);
  csp_find_config_changes (configuration, revision - 20, &given);
  ck_assert (!given.full);
  ck_assert_uint_eq (given.value_count, 10);
  csp_find_config_changes (configuration, revision + 1, &given);
  ck_assert_uint_eq (given.value_count, 0);
  csp_destroy_configuration (configuration);
}
END_TEST

/* Random change of one of a few keys, or of its absence.  */
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
  take (configuration, CSP_SOURCE_SERVICE, change, value);
}

/* A follower that misses random runs of changes, and pulls now and then, ends
   with the same content as the one that it follows.  */
START_TEST (a_follower_ends_with_the_same_content)
{
  csp_configuration_t *leader = create_at_ten ();
  csp_configuration_t *follower = create_at_ten ();
  csp_config_delta_t delta;
  csp_random_t random;
  int i;

  csp_seed_random (&random, (uint64_t)_i);
  for (i = 0; i < 60; i++)
    {
      change_randomly (leader, &random);
      if (csp_random_below (&random, 4) != 0)
        continue;
      csp_find_config_changes (leader, describe (follower).revision, &delta);
      ck_assert (!delta.full);
      ck_assert_int_eq (
          csp_take_configuration (follower, CSP_SOURCE_PEER, &delta),
          CSP_CONFIG_TAKEN);
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

  tcase_add_loop_test (tcase, only_higher_whole_and_good_revisions_are_taken,
                       0, sizeof take_cases / sizeof *take_cases);
  tcase_add_test (tcase,
                  a_bad_revision_leaves_the_last_good_one_and_shows_its_fault);
  tcase_add_test (tcase,
                  a_restored_service_is_read_whole_before_it_is_followed);
  tcase_add_test (tcase, a_peer_that_is_too_far_behind_gets_the_whole);
  tcase_add_loop_test (tcase, a_follower_ends_with_the_same_content, 0, 50);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
