#include "control/control-imp.h"

#include <json-c/json.h>

/* Renders the wanted and reported state of an engine, for operators.  */

static json_object *
render_wanted_list (const csp_named_version_t *list, size_t count)
{
  json_object *object = json_object_new_object ();
  size_t i;

  for (i = 0; i < count; i++)
    json_object_object_add (object, list[i].name,
                            json_object_new_string (list[i].version));
  return object;
}

static json_object *
render_wanted (const csp_wanted_state_t *wanted)
{
  json_object *object = json_object_new_object ();

  json_object_object_add (
      object, "models",
      render_wanted_list (wanted->models, wanted->model_count));
  json_object_object_add (
      object, "adapters",
      render_wanted_list (wanted->adapters, wanted->adapter_count));
  if (wanted->has_role)
    json_object_object_add (
        object, "role", json_object_new_string (csp_role_name (wanted->role)));
  return object;
}

static json_object *
render_reported (json_object *report)
{
  static const char *const shown[]
      = { "models", "model_versions", "adapters", "adapter_versions",
          "role",   "fence",          "order" };
  json_object *object = json_object_new_object ();
  json_object *member;
  size_t i;

  for (i = 0; i < sizeof shown / sizeof *shown; i++)
    if (json_object_object_get_ex (report, shown[i], &member))
      json_object_object_add (object, shown[i], json_object_get (member));
  return object;
}

static void
render_counts (const csp_order_status_t *status, json_object *object)
{
  struct
  {
    const char *name;
    uint64_t count;
  } const rows[] = { { "sent", status->sent },
                     { "done", status->done },
                     { "failed", status->failed },
                     { "undone", status->undone },
                     { "restarts", status->restarts } };
  size_t i;

  for (i = 0; i < sizeof rows / sizeof *rows; i++)
    json_object_object_add (object, rows[i].name,
                            json_object_new_int64 ((int64_t)rows[i].count));
}

void
csp_render_orders (csp_control_t *control, const csp_target_state_t *target,
                   json_object *row)
{
  csp_order_facts_t facts = { 0 };
  csp_order_status_t status;
  json_object *object;

  if (target->last_report == NULL || control->view == NULL)
    return;
  csp_fill_config_facts (control, target, &facts);
  csp_get_order_status (target->orders, &status);
  object = json_object_new_object ();
  json_object_object_add (
      object, "state",
      json_object_new_string (csp_order_state_name (status.state)));
  json_object_object_add (object, "wanted_revision",
                          json_object_new_int64 (facts.wanted_revision));
  if (facts.wanted != NULL)
    json_object_object_add (object, "wanted", render_wanted (facts.wanted));
  json_object_object_add (object, "reported",
                          render_reported (target->last_report));
  render_counts (&status, object);
  json_object_object_add (row, "orders", object);
}
