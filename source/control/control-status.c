#include "control/control-imp.h"

#include <json-c/json.h>
#include <string.h>

static const char *const ownership_state_names[]
    = { "other", "closed", "opening", "open", "leaving" };

static void
add_number (json_object *object, const char *name, int64_t number)
{
  json_object_object_add (object, name, json_object_new_int64 (number));
}

static void
add_text (json_object *object, const char *name, const char *text)
{
  json_object_object_add (object, name, json_object_new_string (text));
}

static json_object *
render_configuration (csp_control_t *control)
{
  json_object *object = json_object_new_object ();
  csp_config_status_t status;
  csp_config_sync_status_t sync_status;

  csp_get_configuration_status (control->configuration, &status);
  csp_get_config_sync_status (control->config_sync, &sync_status);
  add_number (object, "revision", status.revision);
  add_number (object, "values", (int64_t)status.value_count);
  add_number (object, "refused_revision", status.refused_revision);
  add_text (object, "fault", status.fault);
  json_object_object_add (object, "service_stale",
                          json_object_new_boolean (status.service_stale));
  json_object_object_add (object, "reader",
                          json_object_new_boolean (sync_status.reader));
  add_number (object, "reads", (int64_t)sync_status.reads);
  add_number (object, "failed_reads", (int64_t)sync_status.failed_reads);
  add_number (object, "pulls", (int64_t)sync_status.pulls);
  return object;
}

static json_object *
render_targets (csp_control_t *control, int64_t now_ms)
{
  json_object *list = json_object_new_array ();
  const csp_target_state_t *target;
  csp_target_view_t view;
  json_object *row;
  uint32_t i;

  for (i = 0; i < control->target_capacity; i++)
    {
      target = control->targets[i];
      if (target == NULL || !csp_view_target (control->ownership, i, &view))
        continue;
      row = json_object_new_object ();
      add_text (row, "name", target->listed.name);
      add_text (row, "pool", target->listed.pool);
      add_text (row, "owner", view.owner);
      add_text (row, "state", ownership_state_names[view.state]);
      add_number (row, "streams", target->streams);
      add_number (row, "used_tokens", csp_ledger_used_tokens (target->ledger));
      add_number (row, "memory_tokens",
                  csp_ledger_memory_tokens (target->ledger, now_ms));
      csp_render_orders (control, target, row);
      json_object_array_add (list, row);
    }
  return list;
}

static const char *const liveness_names[]
    = { "unconfirmed", "alive", "cut", "silent" };

static json_object *
render_hosts (csp_control_t *control, int64_t now_ms)
{
  json_object *list = json_object_new_array ();
  size_t count = csp_count_hosts (control->membership);
  csp_host_view_t view;
  json_object *row;
  size_t i;

  for (i = 0; i < count; i++)
    {
      csp_view_host (control->membership, i, now_ms, &view);
      if (view.self)
        continue;
      row = json_object_new_object ();
      add_text (row, "name", view.name);
      add_text (row, "data_centre", view.data_centre);
      add_text (row, "liveness", liveness_names[view.liveness]);
      add_text (row, "state",
                view.state == CSP_MEMBER_LIVE ? "live" : "leaving");
      add_number (row, "revision", view.revision);
      add_number (row, "headroom_tokens", view.headroom_tokens);
      json_object_array_add (list, row);
    }
  return list;
}

static json_object *
render_pools (csp_control_t *control)
{
  json_object *list = json_object_new_array ();
  json_object *row;
  uint32_t i;

  for (i = 0; i < control->pool_count; i++)
    {
      row = json_object_new_object ();
      add_text (row, "name", control->pools[i].name);
      add_number (row, "waiting", csp_queue_length (control->pools[i].queue));
      json_object_object_add (row, "load",
                              json_object_new_double (csp_find_pool_load (
                                  control, control->pools[i].name)));
      json_object_array_add (list, row);
    }
  return list;
}

char *
csp_render_status (csp_control_t *control, int64_t now_ms)
{
  json_object *object = json_object_new_object ();
  char *text;

  add_text (object, "host", control->context->settings.host);
  add_text (object, "data_centre", control->context->settings.data_centre);
  add_text (object, "version", csp_version ());
  json_object_object_add (
      object, "ready",
      json_object_new_boolean (atomic_load (&control->ready)));
  json_object_object_add (object, "configuration",
                          render_configuration (control));
  add_number (object, "host_list_version", control->host_watch.version);
  add_number (object, "granted", (int64_t)control->granted);
  add_number (object, "refused", (int64_t)control->refused);
  json_object_object_add (object, "hosts", render_hosts (control, now_ms));
  json_object_object_add (object, "pools", render_pools (control));
  json_object_object_add (object, "targets", render_targets (control, now_ms));
  text = strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PRETTY));
  json_object_put (object);
  return text;
}
