#include "cowslipspoke/declaration-tools.h"
#include "cowslipspoke/json-reader.h"
#include "declaration/declaration-imp.h"

#include <string.h>

typedef csp_described_request_t request_t;

#define NAME(key, member)                                                     \
  {                                                                           \
    .name = (key), .type = CSP_FIELD_CHARS, .form = CSP_FORM_NAME,            \
    .offset = offsetof (request_t, names.member),                             \
    .size_bytes = CSP_NAME_BYTES                                              \
  }

enum
{
  PROMPT_TOKENS_MAX = 1000000000,
  LOAD_MAX = 1000
};

/* time_in_queue_ms is read into a member of its own, because the field reader
   has no 64-bit type.  */
typedef struct
{
  request_t request;
  uint32_t time_in_queue_ms;
} request_fields_t;

static const csp_field_t request_table[]
    = { NAME ("organisation", organisation),
        NAME ("route", route),
        NAME ("service", service),
        NAME ("class", class_name),
        NAME ("data_centre", data_centre),
        { .name = "priority",
          .type = CSP_FIELD_U8,
          .offset = offsetof (request_t, facts.priority),
          .max = CSP_PRIORITY_MAX,
          .default_setting = "255" },
        { .name = "prompt_tokens",
          .type = CSP_FIELD_U32,
          .offset = offsetof (request_t, facts.prompt_tokens),
          .max = PROMPT_TOKENS_MAX },
        { .name = "load",
          .type = CSP_FIELD_DOUBLE,
          .offset = offsetof (request_t, facts.load),
          .max = LOAD_MAX },
        { .name = "time_in_queue_ms",
          .type = CSP_FIELD_U32,
          .offset = offsetof (request_fields_t, time_in_queue_ms),
          .max = PROMPT_TOKENS_MAX },
        { 0 } };

static const char *
name_or_null (const char *name)
{
  return name[0] == '\0' ? NULL : name;
}

static void
set_fact_names (request_t *request)
{
  request->facts.organisation = name_or_null (request->names.organisation);
  request->facts.route = name_or_null (request->names.route);
  request->facts.service = name_or_null (request->names.service);
  request->facts.class_name = name_or_null (request->names.class_name);
  request->facts.data_centre = name_or_null (request->names.data_centre);
}

static void
apply_route_defaults (const csp_route_t *route, request_t *request,
                      const char *where, csp_faults_t *faults)
{
  const csp_class_t *class = csp_find_class (route, request->facts.class_name);

  if (class == NULL && request->facts.class_name != NULL)
    csp_add_fault (faults, where, "class", 0,
                   "route \"%s\" has no class \"%s\"", route->name,
                   request->facts.class_name);
  if (class == NULL)
    return;
  request->facts.class_name = class->name;
  if (request->facts.priority == CSP_PRIORITY_UNSET)
    request->facts.priority = class->priority;
}

static void
apply_service_defaults (const csp_service_t *service, request_t *request,
                        const char *where, csp_faults_t *faults)
{
  if (request->facts.class_name != NULL)
    csp_add_fault (faults, where, "class", 0, "services have no classes");
  if (request->facts.priority == CSP_PRIORITY_UNSET)
    request->facts.priority = service->priority;
}

static void
apply_target_defaults (const csp_declaration_t *declaration,
                       request_t *request, const char *where,
                       csp_faults_t *faults)
{
  const csp_request_facts_t *facts = &request->facts;
  const csp_route_t *route = NULL;
  const csp_service_t *service = NULL;

  if ((facts->route == NULL) == (facts->service == NULL))
    csp_add_fault (faults, where, "", 0,
                   "either route or service must be given");
  if (facts->route != NULL)
    {
      route = csp_find_route (declaration, facts->route);
      if (route == NULL)
        csp_add_fault (faults, where, "route", 0, "there is no route \"%s\"",
                       facts->route);
      else
        apply_route_defaults (route, request, where, faults);
    }
  if (facts->service != NULL)
    {
      service = csp_find_service (declaration, facts->service);
      if (service == NULL)
        csp_add_fault (faults, where, "service", 0,
                       "there is no service \"%s\"", facts->service);
      else
        apply_service_defaults (service, request, where, faults);
    }
}

static void
check_and_complete_request (const csp_declaration_t *declaration,
                            request_t *request, const char *where,
                            csp_faults_t *faults)
{
  const char *organisation = request->facts.organisation;

  apply_target_defaults (declaration, request, where, faults);
  if (organisation == NULL)
    csp_add_fault (faults, where, "organisation", 0,
                   "is missing and must be given");
  else if (csp_find_organisation (declaration, organisation) == NULL)
    csp_add_fault (faults, where, "organisation", 0,
                   "there is no organisation \"%s\"", organisation);
  if (request->facts.priority == CSP_PRIORITY_UNSET)
    request->facts.priority = CSP_PRIORITY_DEFAULT;
}

bool
csp_read_described_request (const csp_declaration_t *declaration,
                            const char *where, const char *text,
                            size_t size_bytes,
                            csp_described_request_t *request,
                            csp_faults_t *faults)
{
  csp_json_position_t position = { .where = where, .faults = faults };
  size_t before = csp_count_faults (faults);
  request_fields_t fields;
  struct json_object *root;

  root = csp_read_json (where, text, size_bytes, faults);
  if (root == NULL)
    return false;
  memset (&fields, 0, sizeof fields);
  csp_read_fields (&position, request_table, root, &fields);
  json_object_put (root);
  *request = fields.request;
  request->facts.time_in_queue_ms = fields.time_in_queue_ms;
  set_fact_names (request);
  check_and_complete_request (declaration, request, where, faults);
  return csp_count_faults (faults) == before;
}

static void
print_limit (const char *name, uint32_t limit, FILE *stream)
{
  if (limit != 0)
    fprintf (stream, ", %s %u", name, limit);
}

static void
print_terms (const csp_terms_t *terms, FILE *stream)
{
  fprintf (stream, "pool %s, priority %u, weight %u",
           terms->pool == NULL ? "none" : terms->pool, terms->priority,
           terms->weight);
  print_limit ("longest_wait_ms", terms->longest_wait_ms, stream);
  print_limit ("tokens_per_s", terms->limits.tokens_per_s, stream);
  print_limit ("max_waiting", terms->limits.max_waiting, stream);
  print_limit ("max_open_streams", terms->limits.max_open_streams, stream);
  print_limit ("max_prompt_tokens", terms->limits.max_prompt_tokens, stream);
  print_limit ("max_output_tokens", terms->limits.max_output_tokens, stream);
  fputc ('\n', stream);
}

static void
print_outcome (const csp_rule_outcome_t *outcome, FILE *stream)
{
  switch (outcome->action)
    {
    case CSP_ACTION_SEND:
      fputs ("send: ", stream);
      print_terms (&outcome->is.send, stream);
      break;
    case CSP_ACTION_LEND:
      fprintf (stream, "lend while the pool's load is below %g: ",
               outcome->is.lend.max_load);
      print_terms (&outcome->is.lend.terms, stream);
      break;
    case CSP_ACTION_SPILL:
      fprintf (stream,
               "spill to data centre %s: ", outcome->is.spill.data_centre);
      print_terms (&outcome->is.spill.terms, stream);
      break;
    case CSP_ACTION_TURN_AWAY:
      fprintf (stream, "turn away: %s", outcome->is.turn_away.reason);
      print_limit ("retry_after_ms", outcome->is.turn_away.retry_after_ms,
                   stream);
      fputc ('\n', stream);
      break;
    }
}

void
csp_print_explanation (const csp_declaration_t *declaration,
                       const csp_request_facts_t *facts, FILE *stream)
{
  csp_rule_outcome_t outcome;
  char mismatch[CSP_MISMATCH_BYTES];
  size_t i;

  for (i = 0; i < declaration->rule_count; i++)
    {
      if (csp_explain_rule (declaration, i, facts, mismatch))
        break;
      fprintf (stream, "%zu %s: does not hold: %s\n", i + 1,
               declaration->rules[i]->name, mismatch);
    }
  if (i < declaration->rule_count)
    fprintf (stream, "%zu %s: decides\n", i + 1, declaration->rules[i]->name);
  else
    fputs ("no rule holds: the route's or service's own pool\n", stream);
  csp_evaluate_rules (declaration, facts, &outcome);
  print_outcome (&outcome, stream);
}
