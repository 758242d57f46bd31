#include "entry/generate-imp.h"

#include <string.h>

/* Determines the route, class and terms of a generation request.  */

/* Returns the smaller of the caller's and the operators' max_tokens; 0 where
   there is no limit.  */
static uint32_t
choose_max_tokens (const csp_generation_run_t *run)
{
  uint32_t asked = csp_request_max_tokens (run->request);
  uint32_t allowed = run->ask.terms.limits.max_output_tokens;

  if (asked == 0 || (allowed != 0 && allowed < asked))
    return allowed;
  return asked;
}

static int
check_prompt (const csp_generation_run_t *run, csp_error_t *error)
{
  uint32_t allowed = run->ask.terms.limits.max_prompt_tokens;

  if (allowed == 0 || run->ask.prompt_tokens <= allowed)
    return 0;
  csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_TOO_LARGE, 0,
                 "the prompt has about %u tokens; allowed are %u",
                 run->ask.prompt_tokens, allowed);
  return -1;
}

static int
find_class (const csp_generation_run_t *run, const csp_class_t **class_out,
            csp_error_t *error)
{
  const char *name = run->exchange->options.class_name;

  *class_out = csp_find_class (run->route, *name == '\0' ? NULL : name);
  if (*class_out == NULL && *name != '\0')
    {
      csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_BAD_REQUEST, 0,
                     "route %s has no class %s", run->route->name, name);
      return -1;
    }
  return 0;
}

/* Replaces the requested route by its fallback while the route's pool has no
   live target.  A class that the fallback route lacks is ignored, as the
   caller named it for another route.  The number of steps is limited to the
   number of routes, since fallbacks may form a cycle.  */
static void
apply_route_fallback (csp_generation_run_t *run,
                      const csp_declaration_t *declaration,
                      const csp_class_t **class_row)
{
  csp_control_t *control = run->exchange->entry->control;
  const char *name = run->exchange->options.class_name;
  const csp_route_t *asked = run->route;
  size_t steps = csp_count_routes (declaration);

  while (run->route->fallback != NULL && steps-- > 0
         && !csp_is_pool_live (control, run->route->pool))
    run->route = csp_find_route (declaration, run->route->fallback);
  if (run->route != asked)
    *class_row = csp_find_class (run->route, *name == '\0' ? NULL : name);
}

int
csp_prepare_generation (csp_generation_run_t *run, csp_error_t *error)
{
  csp_entry_exchange_t *exchange = run->exchange;
  const csp_declaration_t *declaration = csp_view_declaration (exchange->view);
  csp_request_facts_t facts = { 0 };
  const csp_class_t *class_row;
  const char *model = csp_request_model (run->request);

  run->route = csp_find_route (declaration, model);
  if (run->route == NULL)
    {
      csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_UNKNOWN_MODEL, 0,
                     "there is no model route of that name");
      return -1;
    }
  if (find_class (run, &class_row, error) != 0)
    return -1;
  apply_route_fallback (run, declaration, &class_row);
  facts.route = run->route->name;
  facts.class_name = class_row == NULL ? NULL : class_row->name;
  facts.priority
      = class_row == NULL ? CSP_PRIORITY_DEFAULT : class_row->priority;
  facts.prompt_tokens = csp_request_prompt_tokens (run->request);
  facts.load = csp_find_pool_load (exchange->entry->control, run->route->pool);
  if (csp_apply_rules (exchange, &facts, &run->ask, error) != 0)
    return -1;
  if (exchange->options.deadline_ms == 0 && class_row != NULL
      && class_row->deadline_ms != 0)
    exchange->deadline_ms = exchange->arrived_ms + class_row->deadline_ms;
  run->ask.request_id = exchange->id;
  run->ask.organisation = exchange->organisation->name;
  run->ask.model = run->route->model;
  run->ask.class_name = facts.class_name == NULL ? "" : facts.class_name;
  exchange->labels
      = csp_get_labels (exchange->entry->context->metrics,
                        exchange->organisation->name, facts.class_name);
  csp_add_count (exchange->labels, CSP_COUNT_REQUESTS, 1);
  run->ask.pool_kind = CSP_POOL_ENGINES;
  run->ask.prompt_tokens = facts.prompt_tokens;
  run->ask.max_tokens = choose_max_tokens (run);
  run->ask.deadline_ms = exchange->deadline_ms;
  csp_hash_request_prefix (run->request, &run->ask.prefix,
                           &run->ask.prefix_tokens);
  run->ask.repeatable = !exchange->options.non_idempotent;
  run->ask.is_gone = csp_caller_is_gone;
  run->ask.gone_state = exchange;
  run->attempt.idempotent = !exchange->options.non_idempotent;
  run->attempt.resumable = true;
  return check_prompt (run, error);
}
