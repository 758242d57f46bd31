#include "cowslipspoke/clock.h"
#include "cowslipspoke/declaration.h"
#include "cowslipspoke/hash.h"
#include "cowslipspoke/random.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Measures declarations at the planned size and at three smaller ones: one
   rule decision, one look-up of a bearer key, one configuration change, and
   the memory held.  The baseline is the smallest size; for a change it is
   parsing the whole declaration again without sharing unchanged parts.  */

enum
{
  ROUTES = 3,
  TEXT_BYTES = 512,
  KEY_BYTES = 96,
  DECISIONS = 200000,
  CHANGES = 20,
  FACT_COUNT = 1024,
  NS_PER_US = 1000
};

typedef struct
{
  const char *name;
  size_t organisations;
  size_t rules;
} size_row_t;

static const size_row_t sizes[] = { { "10-orgs-10-rules", 10, 10 },
                                    { "100-orgs-50-rules", 100, 50 },
                                    { "400-orgs-100-rules", 400, 100 },
                                    { "1600-orgs-200-rules", 1600, 200 } };

typedef struct
{
  csp_declared_value_t *values;
  size_t value_count;
  csp_clock_t clock;
} fixture_t;

static void
add_value (fixture_t *fixture, const char *key, const char *json)
{
  csp_declared_value_t *value = &fixture->values[fixture->value_count++];

  value->key = strdup (key);
  value->json = strdup (json);
  value->size_bytes = strlen (json);
  value->where = NULL;
}

static void
add_organisations (fixture_t *fixture, size_t count)
{
  char hash[CSP_SHA256_HEX_BYTES];
  char key[KEY_BYTES];
  char json[TEXT_BYTES];
  size_t i;

  for (i = 0; i < count; i++)
    {
      snprintf (key, sizeof key, "organisation/customer-%zu", i);
      csp_hash_sha256_hex (key, strlen (key), hash);
      snprintf (json, sizeof json,
                "{\"key_sha256\":[\"%s\"],\"weight\":%zu,\"limits\":{"
                "\"tokens_per_s\":5000,\"max_waiting\":100}}",
                hash, i % 9 + 1);
      add_value (fixture, key, json);
    }
}

/* Adds typical rules, each of which matches two organisations, one route, a
   class and a minimum load.  */
static void
add_rules (fixture_t *fixture, size_t count, size_t organisations)
{
  char *order = calloc (count + 1, KEY_BYTES);
  char key[KEY_BYTES];
  char json[TEXT_BYTES];
  size_t used = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      snprintf (key, sizeof key, "rule/r%zu", i);
      snprintf (json, sizeof json,
                "{\"when\":{\"organisation\":[\"customer-%zu\","
                "\"customer-%zu\"],\"route\":\"model-%zu\","
                "\"class\":\"fast\",\"load\":{\"min\":0.9}},"
                "\"then\":{\"send\":{\"priority\":3}}}",
                i % organisations, (i * 7 + 1) % organisations, i % ROUTES);
      add_value (fixture, key, json);
      used += (size_t)sprintf (order + used, "%s\"r%zu\"", i == 0 ? "[" : ",",
                               i);
    }
  sprintf (order + used, "]");
  add_value (fixture, "rule-order", order);
  free (order);
}

static void
create_values (fixture_t *fixture, const size_row_t *row)
{
  char key[KEY_BYTES];
  int i;

  fixture->clock = csp_system_clock ();
  fixture->value_count = 0;
  fixture->values = calloc (row->organisations + row->rules + 2 * ROUTES + 2,
                            sizeof *fixture->values);
  add_organisations (fixture, row->organisations);
  add_rules (fixture, row->rules, row->organisations);
  add_value (fixture, "targets/general", "{}");
  for (i = 0; i < ROUTES; i++)
    {
      snprintf (key, sizeof key, "route/model-%d", i);
      add_value (fixture, key,
                 "{\"pool\":\"general\",\"classes\":{\"fast\":{},"
                 "\"slow\":{\"priority\":2}},\"default_class\":\"slow\"}");
    }
}

static void
destroy_values (fixture_t *fixture)
{
  size_t i;

  for (i = 0; i < fixture->value_count; i++)
    {
      free ((char *)fixture->values[i].key);
      free ((char *)fixture->values[i].json);
    }
  free (fixture->values);
}

static csp_declaration_t *
build_declaration (fixture_t *fixture, const csp_declaration_t *previous)
{
  csp_faults_t *faults = csp_create_faults ();
  csp_declaration_t *declaration = csp_create_declaration (
      previous, fixture->values, fixture->value_count, faults);

  csp_print_faults (faults, stderr);
  csp_destroy_faults (faults);
  if (declaration == NULL)
    abort ();
  return declaration;
}

static double
time_decisions_ns (fixture_t *fixture, const csp_declaration_t *declaration)
{
  static csp_request_facts_t facts[FACT_COUNT];
  size_t organisations = csp_count_organisations (declaration);
  csp_rule_outcome_t outcome;
  csp_random_t random;
  int64_t start_us;
  size_t sum = 0;
  int i;

  csp_seed_random (&random, 1);
  for (i = 0; i < FACT_COUNT; i++)
    {
      facts[i].organisation
          = csp_get_organisation (
                declaration,
                csp_random_below (&random, (uint32_t)organisations))
                ->name;
      facts[i].route
          = csp_get_route (declaration, csp_random_below (&random, ROUTES))
                ->name;
      facts[i].class_name = csp_random_below (&random, 2) ? "fast" : "slow";
      facts[i].data_centre = "cardiff";
      facts[i].load = csp_random_unit (&random);
    }
  start_us = csp_now_us (&fixture->clock);
  for (i = 0; i < DECISIONS; i++)
    {
      csp_evaluate_rules (declaration, &facts[i % FACT_COUNT], &outcome);
      sum += outcome.is.send.priority;
    }
  if (sum == 0)
    abort ();
  return (double)(csp_now_us (&fixture->clock) - start_us) * NS_PER_US
         / DECISIONS;
}

static double
time_key_lookups_ns (fixture_t *fixture, const csp_declaration_t *declaration)
{
  size_t organisations = csp_count_organisations (declaration);
  const csp_organisation_t *organisation;
  int64_t start_us = csp_now_us (&fixture->clock);
  int i;

  for (i = 0; i < DECISIONS; i++)
    {
      organisation = csp_get_organisation (declaration, i % organisations);
      if (csp_find_organisation_by_key (declaration,
                                        organisation->key_sha256[0])
          != organisation)
        abort ();
    }
  return (double)(csp_now_us (&fixture->clock) - start_us) * NS_PER_US
         / DECISIONS;
}

/* Returns the mean microseconds to apply a change of one organisation's
   weight, with or without sharing the unchanged parts of the previous
   declaration.  */
static double
time_changes_us (fixture_t *fixture, bool share_unchanged)
{
  csp_declaration_t *declaration = build_declaration (fixture, NULL);
  csp_declaration_t *next;
  int64_t start_us = csp_now_us (&fixture->clock);
  char *weight;
  int i;

  for (i = 0; i < CHANGES; i++)
    {
      weight = strstr (fixture->values[i % 10].json, "weight") + 8;
      *weight = *weight == '9' ? '1' : (char)(*weight + 1);
      next = build_declaration (fixture, share_unchanged ? declaration : NULL);
      csp_destroy_declaration (declaration);
      declaration = next;
    }
  csp_destroy_declaration (declaration);
  return (double)(csp_now_us (&fixture->clock) - start_us) / CHANGES;
}

static void
print_row (const char *name, const char *size, double baseline, double now,
           const char *unit)
{
  printf ("declaration-%s-%s baseline=%.1f now=%.1f ratio=%.3f unit=%s\n",
          name, size, baseline, now, now / baseline, unit);
}

static void
measure_size (const size_row_t *row, const size_row_t *smallest)
{
  fixture_t fixture;
  static double first_decision_ns;
  static double first_key_ns;
  static double first_bytes;
  csp_declaration_t *declaration;
  double decision_ns;
  double key_ns;
  size_t heap_before;
  double bytes_per_organisation;

  create_values (&fixture, row);
  heap_before = mallinfo2 ().uordblks;
  declaration = build_declaration (&fixture, NULL);
  bytes_per_organisation = (double)(mallinfo2 ().uordblks - heap_before)
                           / (double)row->organisations;
  decision_ns = time_decisions_ns (&fixture, declaration);
  key_ns = time_key_lookups_ns (&fixture, declaration);
  if (row == smallest)
    {
      first_decision_ns = decision_ns;
      first_key_ns = key_ns;
      first_bytes = bytes_per_organisation;
    }
  print_row ("decision", row->name, first_decision_ns, decision_ns, "ns");
  print_row ("key", row->name, first_key_ns, key_ns, "ns");
  print_row ("change", row->name, time_changes_us (&fixture, false),
             time_changes_us (&fixture, true), "us");
  print_row ("memory", row->name, first_bytes, bytes_per_organisation,
             "bytes/organisation");
  csp_destroy_declaration (declaration);
  destroy_values (&fixture);
}

int
main (void)
{
  size_t i;

  for (i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    measure_size (&sizes[i], &sizes[0]);
  return EXIT_SUCCESS;
}
