#include "declared.h"

#include <stdlib.h>
#include <string.h>

/* A valid declaration, of which the cases override values.  */
static const declared_pair_t base[] = {
  { "organisation/a", "{\"key_sha256\":\"" KEY_A "\",\"weight\":3,"
                      "\"limits\":{\"max_output_tokens\":500}}" },
  { "organisation/b", "{\"key_sha256\":[\"" KEY_B "\"]}" },
  { "targets/small", "{\"memory_tokens\":5000,\"wanted\":{\"models\":{"
                     "\"m\":{\"version\":\"3\"}}},\"engines\":{\"e2\":{"
                     "\"wanted\":{\"role\":\"decode\"}}}}" },
  { "targets/big", "{}" },
  { "targets/desk", "{\"kind\":\"services\"}" },
  { "route/m", "{\"pool\":\"small\",\"fallback\":\"n\",\"classes\":{"
               "\"fast\":{\"priority\":8,\"longest_wait_ms\":70},"
               "\"slow\":{\"priority\":2}},\"default_class\":\"slow\","
               "\"limits\":{\"max_output_tokens\":900}}" },
  { "route/n", "{\"model\":\"n-large\",\"pool\":\"big\"}" },
  { "service/quotes",
    "{\"pool\":\"desk\",\"path_prefix\":\"/quotes\",\"calls\":["
    "{\"method\":\"POST\",\"path\":\"/search\",\"repeatable\":true},"
    "{\"method\":\"GET\",\"path\":\"/next\",\"repeatable\":false}]}" },
  { "service/leases", "{\"pool\":\"desk\"}" },
  { "rule/crowded", "{\"when\":{\"load\":{\"min\":1.2},\"class\":\"slow\"},"
                    "\"then\":{\"turn_away\":{\"reason\":\"full\","
                    "\"retry_after_ms\":900}}}" },
  { "rule/waited", "{\"when\":{\"time_in_queue_ms\":{\"min\":500}},"
                   "\"then\":{\"spill\":{\"data_centre\":\"c2\"}}}" },
  { "rule/long", "{\"when\":{\"route\":[\"m\"],\"prompt_tokens\":{"
                 "\"min\":1000}},\"then\":{\"send\":{\"pool\":\"big\","
                 "\"priority\":1,\"weight\":7,\"max_output_tokens\":600,"
                 "\"max_waiting\":4}}}" },
  { "rule/b", "{\"when\":{\"organisation\":\"b\",\"data_centre\":[\"c1\","
              "\"c2\"],\"priority\":{\"min\":2,\"max\":5}},"
              "\"then\":{\"lend\":{\"max_load\":0.5}}}" },
  { "rule-order", "[\"crowded\",\"waited\",\"long\",\"b\"]" },
};

/* Copies the base with values overridden or added; a json of NULL removes a
   value.  Returns how many values were written.  */
static size_t
override_values (const declared_pair_t *overrides, size_t override_count,
                 csp_declared_value_t values[VALUES_MAX])
{
  size_t count = 0;
  bool applied[OVER_MAX] = { false };
  const char *json;
  size_t i;
  size_t o;

  for (i = 0; i < sizeof base / sizeof base[0]; i++)
    {
      json = base[i].json;
      for (o = 0; o < override_count; o++)
        if (overrides[o].key != NULL
            && strcmp (overrides[o].key, base[i].key) == 0)
          {
            json = overrides[o].json;
            applied[o] = true;
          }
      if (json != NULL)
        values[count++]
            = (csp_declared_value_t){ base[i].key, json, strlen (json), NULL };
    }
  for (o = 0; o < override_count; o++)
    if (overrides[o].key != NULL && !applied[o])
      values[count++]
          = (csp_declared_value_t){ overrides[o].key, overrides[o].json,
                                    strlen (overrides[o].json), NULL };
  return count;
}

csp_declaration_t *
create_test_declaration (const csp_declaration_t *previous,
                         const declared_pair_t *overrides,
                         size_t override_count, csp_faults_t *faults)
{
  csp_declared_value_t values[VALUES_MAX];
  size_t count = override_values (overrides, override_count, values);

  return csp_create_declaration (previous, values, count, faults);
}

csp_declaration_t *
create_base_declaration (void)
{
  csp_faults_t *faults = csp_create_faults ();
  csp_declaration_t *declaration
      = create_test_declaration (NULL, NULL, 0, faults);

  csp_print_faults (faults, stdout);
  if (declaration == NULL)
    abort ();
  csp_destroy_faults (faults);
  return declaration;
}
