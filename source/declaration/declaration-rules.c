#include "declaration/declaration-imp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Names are compared by hash first: with 200 rules of five sets each, string
   comparisons alone would exceed the time allowed for a decision.  */

enum
{
  FNV_PRIME = 1099511628211U,
  NAMES_SHOWN_MAX = 4
};

/* The facts of a request, indexed by condition.  */
typedef struct
{
  const char *names[CSP_WHEN_SET_COUNT];
  uint64_t hashes[CSP_WHEN_SET_COUNT];
  double numbers[CSP_WHEN_RANGE_COUNT];
} hashed_facts_t;

static const char *const when_set_keys[CSP_WHEN_SET_COUNT] = {
  [CSP_WHEN_ORGANISATION] = "organisation", [CSP_WHEN_ROUTE] = "route",
  [CSP_WHEN_SERVICE] = "service",           [CSP_WHEN_CLASS] = "class",
  [CSP_WHEN_DATA_CENTRE] = "data_centre",
};

static const char *const when_range_keys[CSP_WHEN_RANGE_COUNT] = {
  [CSP_WHEN_PRIORITY] = "priority",
  [CSP_WHEN_PROMPT_TOKENS] = "prompt_tokens",
  [CSP_WHEN_LOAD] = "load",
  [CSP_WHEN_TIME_IN_QUEUE] = "time_in_queue_ms",
};

const char *
csp_when_set_key (csp_when_set_t set)
{
  return when_set_keys[set];
}

const char *
csp_when_range_key (csp_when_range_t range)
{
  return when_range_keys[range];
}

/* FNV-1a.  */
uint64_t
csp_hash_name (const char *name)
{
  uint64_t hash = 14695981039346656037U;

  for (; *name != '\0'; name++)
    hash = (hash ^ (unsigned char)*name) * FNV_PRIME;
  return hash;
}

static int
compare_name_hashes (const void *a, const void *b)
{
  uint64_t first = csp_hash_name (*(const char *const *)a);
  uint64_t second = csp_hash_name (*(const char *const *)b);

  return (first > second) - (first < second);
}

void
csp_sort_name_set (csp_name_set_t *set, csp_arena_t *arena)
{
  size_t i;

  if (set->count == 0)
    return;
  set->sorted_names
      = csp_allocate (arena, set->count * sizeof *set->sorted_names);
  set->hashes = csp_allocate (arena, set->count * sizeof *set->hashes);
  memcpy (set->sorted_names, set->declared,
          set->count * sizeof *set->sorted_names);
  qsort (set->sorted_names, set->count, sizeof *set->sorted_names,
         compare_name_hashes);
  for (i = 0; i < set->count; i++)
    set->hashes[i] = csp_hash_name (set->sorted_names[i]);
}

static bool
set_contains (const csp_name_set_t *set, const char *name, uint64_t hash)
{
  size_t low = 0;
  size_t high = set->count;
  size_t middle;

  if (name == NULL)
    return false;
  while (low < high)
    {
      middle = low + (high - low) / 2;
      if (set->hashes[middle] < hash)
        low = middle + 1;
      else
        high = middle;
    }
  for (; low < set->count && set->hashes[low] == hash; low++)
    if (strcmp (set->sorted_names[low], name) == 0)
      return true;
  return false;
}

static void
hash_facts (const csp_request_facts_t *facts, hashed_facts_t *hashed)
{
  int i;

  hashed->names[CSP_WHEN_ORGANISATION] = facts->organisation;
  hashed->names[CSP_WHEN_ROUTE] = facts->route;
  hashed->names[CSP_WHEN_SERVICE] = facts->service;
  hashed->names[CSP_WHEN_CLASS] = facts->class_name;
  hashed->names[CSP_WHEN_DATA_CENTRE] = facts->data_centre;
  hashed->numbers[CSP_WHEN_PRIORITY] = facts->priority;
  hashed->numbers[CSP_WHEN_PROMPT_TOKENS] = facts->prompt_tokens;
  hashed->numbers[CSP_WHEN_LOAD] = facts->load;
  hashed->numbers[CSP_WHEN_TIME_IN_QUEUE] = (double)facts->time_in_queue_ms;
  for (i = 0; i < CSP_WHEN_SET_COUNT; i++)
    hashed->hashes[i]
        = hashed->names[i] == NULL ? 0 : csp_hash_name (hashed->names[i]);
}

static bool
range_contains (const csp_range_t *range, double number)
{
  return number >= range->min && number <= range->max;
}

static bool
rule_matches (const csp_rule_t *rule, const hashed_facts_t *facts)
{
  const csp_when_t *when = &rule->when;
  int i;

  for (i = 0; i < CSP_WHEN_SET_COUNT; i++)
    if (when->sets[i].count > 0
        && !set_contains (&when->sets[i], facts->names[i], facts->hashes[i]))
      return false;
  for (i = 0; i < CSP_WHEN_RANGE_COUNT; i++)
    if (!range_contains (&when->ranges[i], facts->numbers[i]))
      return false;
  return true;
}

/* The smaller of two limits; 0 means unlimited.  */
static uint32_t
smaller_limit (uint32_t a, uint32_t b)
{
  if (a == 0 || (b != 0 && b < a))
    return b;
  return a;
}

static void
tighten_request_limits (csp_limits_t *limits, const csp_limits_t *other)
{
  limits->max_prompt_tokens
      = smaller_limit (limits->max_prompt_tokens, other->max_prompt_tokens);
  limits->max_output_tokens
      = smaller_limit (limits->max_output_tokens, other->max_output_tokens);
}

static void
fill_from_route_or_service (csp_terms_t *terms,
                            const csp_declaration_t *declaration,
                            const csp_request_facts_t *facts)
{
  const csp_route_t *route = NULL;
  const csp_service_t *service = NULL;
  const csp_class_t *class = NULL;

  if (facts->route != NULL)
    route = csp_find_route (declaration, facts->route);
  else if (facts->service != NULL)
    service = csp_find_service (declaration, facts->service);
  if (route != NULL)
    {
      class = csp_find_class (route, facts->class_name);
      tighten_request_limits (&terms->limits, &route->limits);
    }
  if (terms->pool == NULL)
    terms->pool = route != NULL     ? route->pool
                  : service != NULL ? service->pool
                                    : NULL;
  if (terms->longest_wait_ms == 0)
    terms->longest_wait_ms = class != NULL     ? class->longest_wait_ms
                             : service != NULL ? service->longest_wait_ms
                                               : 0;
}

static void
fill_terms (csp_terms_t *terms, const csp_declaration_t *declaration,
            const csp_request_facts_t *facts)
{
  const csp_organisation_t *organisation = NULL;

  if (facts->organisation != NULL)
    organisation = csp_find_organisation (declaration, facts->organisation);
  if (terms->priority == CSP_PRIORITY_UNSET)
    terms->priority = facts->priority;
  if (terms->weight == 0)
    terms->weight
        = organisation == NULL ? CSP_WEIGHT_DEFAULT : organisation->weight;
  if (organisation != NULL)
    tighten_request_limits (&terms->limits, &organisation->limits);
  fill_from_route_or_service (terms, declaration, facts);
}

static void
apply_rule (const csp_declaration_t *declaration, const csp_rule_t *rule,
            const csp_request_facts_t *facts, csp_rule_outcome_t *outcome)
{
  outcome->rule = rule->name;
  outcome->requires_queue_time
      = rule->when.ranges[CSP_WHEN_TIME_IN_QUEUE].min > 0;
  outcome->action = rule->action;
  switch (rule->action)
    {
    case CSP_ACTION_SEND:
      outcome->is.send = rule->then.send;
      fill_terms (&outcome->is.send, declaration, facts);
      break;
    case CSP_ACTION_LEND:
      outcome->is.lend.terms = rule->then.lend;
      if (outcome->is.lend.terms.priority == CSP_PRIORITY_UNSET)
        outcome->is.lend.terms.priority = 0;
      outcome->is.lend.max_load = rule->then.lend_max_load;
      fill_terms (&outcome->is.lend.terms, declaration, facts);
      break;
    case CSP_ACTION_SPILL:
      outcome->is.spill.terms = rule->then.spill;
      outcome->is.spill.data_centre = rule->then.spill_data_centre;
      fill_terms (&outcome->is.spill.terms, declaration, facts);
      break;
    case CSP_ACTION_TURN_AWAY:
      outcome->is.turn_away.reason = rule->then.reason;
      outcome->is.turn_away.retry_after_ms = rule->then.retry_after_ms;
      break;
    }
}

void
csp_evaluate_rules (const csp_declaration_t *declaration,
                    const csp_request_facts_t *facts,
                    csp_rule_outcome_t *outcome)
{
  hashed_facts_t hashed;
  size_t i;

  hash_facts (facts, &hashed);
  for (i = 0; i < declaration->rule_count; i++)
    if (rule_matches (declaration->rules[i], &hashed))
      {
        apply_rule (declaration, declaration->rules[i], facts, outcome);
        return;
      }
  memset (outcome, 0, sizeof *outcome);
  outcome->action = CSP_ACTION_SEND;
  outcome->is.send.priority = CSP_PRIORITY_UNSET;
  fill_terms (&outcome->is.send, declaration, facts);
}

static void
explain_name_mismatch (const csp_name_set_t *set, const char *condition,
                       const char *name, char mismatch[CSP_MISMATCH_BYTES])
{
  size_t used;
  size_t i;

  used = (size_t)snprintf (mismatch, CSP_MISMATCH_BYTES,
                           "%s is %s, the rule asks for ", condition,
                           name == NULL ? "none" : name);
  for (i = 0;
       i < set->count && i < NAMES_SHOWN_MAX && used < CSP_MISMATCH_BYTES; i++)
    used += (size_t)snprintf (mismatch + used, CSP_MISMATCH_BYTES - used,
                              "%s%s", i == 0 ? "" : " or ", set->declared[i]);
  if (set->count > NAMES_SHOWN_MAX && used < CSP_MISMATCH_BYTES)
    snprintf (mismatch + used, CSP_MISMATCH_BYTES - used, " or %zu more",
              set->count - NAMES_SHOWN_MAX);
}

bool
csp_explain_rule (const csp_declaration_t *declaration, size_t index,
                  const csp_request_facts_t *facts,
                  char mismatch[CSP_MISMATCH_BYTES])
{
  const csp_when_t *when = &declaration->rules[index]->when;
  hashed_facts_t hashed;
  int i;

  hash_facts (facts, &hashed);
  mismatch[0] = '\0';
  for (i = 0; i < CSP_WHEN_SET_COUNT; i++)
    if (when->sets[i].count > 0
        && !set_contains (&when->sets[i], hashed.names[i], hashed.hashes[i]))
      {
        explain_name_mismatch (&when->sets[i], when_set_keys[i],
                               hashed.names[i], mismatch);
        return false;
      }
  for (i = 0; i < CSP_WHEN_RANGE_COUNT; i++)
    if (!range_contains (&when->ranges[i], hashed.numbers[i]))
      {
        snprintf (mismatch, CSP_MISMATCH_BYTES,
                  "%s is %.10g, the rule asks for %.10g to %.10g",
                  when_range_keys[i], hashed.numbers[i], when->ranges[i].min,
                  when->ranges[i].max);
        return false;
      }
  return true;
}
