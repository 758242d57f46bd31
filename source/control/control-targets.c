#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

void
csp_fill_endpoint (const csp_control_t *control, const char *address,
                   uint16_t port, csp_endpoint_t *endpoint)
{
  const char *ca_file = control->context->settings.target_tls.ca_file;

  csp_copy_text (endpoint->address, sizeof endpoint->address, address);
  endpoint->port = port;
  endpoint->ca_file = ca_file[0] == '\0' ? NULL : ca_file;
}

static bool
grow_targets (csp_control_t *control, size_t count)
{
  csp_target_state_t **targets;

  if (count <= control->target_capacity)
    return true;
  if (count > CSP_CONTROL_MAX_TARGETS)
    return false;
  targets = realloc (control->targets, count * sizeof *targets);
  if (targets == NULL)
    return false;
  memset (targets + control->target_capacity, 0,
          (count - control->target_capacity) * sizeof *targets);
  control->targets = targets;
  control->target_capacity = (uint32_t)count;
  return true;
}

void
csp_free_unused_target (csp_target_state_t *target)
{
  if (target->index != UINT32_MAX || target->streams > 0)
    return;
  csp_destroy_ledger (target->ledger);
  csp_free_orders (target);
  free (target);
}

static void
remove_target (csp_control_t *control, uint32_t index)
{
  csp_target_state_t *target = control->targets[index];

  if (target == NULL)
    return;
  control->targets[index] = NULL;
  csp_reset_health (control->health, index, false);
  target->index = UINT32_MAX;
  csp_free_unused_target (target);
}

static void
add_target (csp_control_t *control, uint32_t index,
            const csp_listed_target_t *listed, int64_t now_ms)
{
  csp_admission_policy_t policy = csp_default_admission_policy ();
  csp_target_state_t *target = calloc (1, sizeof *target);

  if (target == NULL)
    return;
  target->ledger = csp_create_ledger (&policy, control->lengths);
  target->orders = csp_create_order_tracker ();
  if (target->ledger == NULL || target->orders == NULL)
    {
      csp_destroy_ledger (target->ledger);
      csp_free_orders (target);
      free (target);
      return;
    }
  target->index = index;
  target->listed = *listed;
  control->targets[index] = target;
  csp_init_target_slow_start (control, target, now_ms);
  csp_reset_health (control->health, index, true);
}

static void
sync_target (csp_control_t *control, uint32_t index, int64_t now_ms)
{
  csp_target_state_t *target = control->targets[index];
  csp_target_view_t view;

  if (!csp_view_target (control->ownership, index, &view))
    {
      remove_target (control, index);
      return;
    }
  if (target != NULL && strcmp (target->listed.name, view.target.name) != 0)
    remove_target (control, index);
  if (control->targets[index] == NULL)
    add_target (control, index, &view.target, now_ms);
  target = control->targets[index];
  if (target == NULL)
    return;
  target->listed = view.target;
  /* A target removed from the list while it has open streams leaves too.  */
  if (view.state == CSP_OWN_LEAVING)
    target->listed.state = CSP_MEMBER_LEAVING;
  if (target->listed.state == CSP_MEMBER_LEAVING
      && target->leaving_since_ms == 0)
    {
      target->leaving_since_ms = now_ms;
      CSP_LOG (control->context->log, CSP_EVENT_TARGET_LEAVING, NULL,
               csp_text ("target", view.target.name),
               csp_number ("open_streams", target->streams));
    }
}

void
csp_sync_targets (csp_control_t *control, int64_t now_ms)
{
  size_t count = csp_count_target_slots (control->ownership);
  uint32_t i;

  if (!grow_targets (control, count))
    return;
  for (i = 0; i < control->target_capacity; i++)
    sync_target (control, i, now_ms);
}

static int64_t
get_number (json_object *report, const char *name)
{
  json_object *member = NULL;

  if (!json_object_object_get_ex (report, name, &member))
    return 0;
  return json_object_get_int64 (member);
}

static bool
reports_leaving (json_object *report)
{
  json_object *member = NULL;

  return json_object_object_get_ex (report, "state", &member)
         && strcmp (json_object_get_string (member), "leaving") == 0;
}

static void
apply_load_report (csp_control_t *control, uint32_t index,
                   json_object *document, int64_t now_ms)
{
  csp_load_report_t report
      = { .sequence = (uint64_t)get_number (document, "report"),
          .memory_tokens = (uint32_t)get_number (document, "memory_tokens"),
          .used_tokens = (uint32_t)get_number (document, "used_tokens"),
          .running = (uint32_t)get_number (document, "running"),
          .waiting = (uint32_t)get_number (document, "waiting"),
          .preemptions = (uint64_t)get_number (document, "preemptions"),
          .leaving = reports_leaving (document) };

  csp_apply_load_report (control->targets[index]->ledger, &report, now_ms);
  csp_handle_load_report (control->ownership, index, report.used_tokens,
                          report.memory_tokens, report.leaving, now_ms);
}

void
csp_handle_load_read (csp_control_t *control,
                      const csp_control_command_t *command, int64_t now_ms)
{
  csp_target_state_t *target = control->targets[command->target];
  json_object *document;

  /* The index may have been reused for another target in the meantime.  */
  if (target == NULL || strcmp (target->listed.name, command->name) != 0)
    return;
  target->report_pending = false;
  if (command->body == NULL)
    return;
  document = json_tokener_parse (command->body);
  if (json_object_is_type (document, json_type_object))
    {
      apply_load_report (control, command->target, document, now_ms);
      csp_handle_order_report (control, command->target, document,
                               command->after, now_ms);
    }
  json_object_put (document);
}

static void
read_load (csp_control_t *control, uint32_t index, int64_t now_ms)
{
  csp_target_state_t *target = control->targets[index];
  csp_control_command_t *command = csp_create_command (CSP_COMMAND_LOAD_READ);
  csp_endpoint_t endpoint;

  if (command == NULL)
    return;
  csp_fill_endpoint (control, target->listed.address, target->listed.port,
                     &endpoint);
  command->target = index;
  command->after = now_ms;
  csp_copy_text (command->name, sizeof command->name, target->listed.name);
  target->next_report_ms = now_ms + CSP_CONTROL_REPORT_INTERVAL_MS;
  target->report_pending = csp_start_read (
      control, &endpoint, "/v1/load", CSP_CONTROL_REPORT_TIMEOUT_MS, command);
}

static void
send_load_query (csp_control_t *control, const csp_load_query_t *ask,
                 int64_t now_ms)
{
  csp_peer_message_t message = { .kind = CSP_PEER_LOAD_QUERY };
  char *names[CSP_MAX_LOAD_QUERY_TARGETS];
  csp_named_peer_address_t peer;
  size_t i;

  for (i = 0; i < ask->count; i++)
    {
      if (ask->targets[i] >= control->target_capacity
          || control->targets[ask->targets[i]] == NULL)
        break;
      names[i] = control->targets[ask->targets[i]]->listed.name;
    }
  message.u.load_query.count = i;
  message.u.load_query.targets = names;
  if (!csp_locate_peer (control, ask->peer, now_ms, &peer)
      || !csp_send_peer (control, &peer, &message, ask->id, ask->timeout_ms))
    csp_handle_load_query_lost (control->ownership, ask->peer, ask->id,
                                now_ms);
}

int64_t
csp_sum_headroom (csp_control_t *control, int64_t now_ms)
{
  int64_t headroom_tokens = 0;
  uint32_t i;

  for (i = 0; i < control->target_capacity; i++)
    if (control->targets[i] != NULL
        && control->targets[i]->listed.kind == CSP_TARGET_ENGINE
        && csp_get_open_share (control->ownership, i, now_ms) > 0)
      headroom_tokens += csp_ledger_headroom_tokens (
          control->targets[i]->ledger, CSP_PRIORITY_DEFAULT, now_ms);
  return headroom_tokens;
}

void
csp_tick_targets (csp_control_t *control, int64_t now_ms)
{
  csp_load_queries_t asks;
  csp_target_view_t view;
  csp_target_state_t *target;
  size_t ask_index;
  uint32_t i;

  csp_tick_ownership (control->ownership, control->membership, now_ms, &asks);
  for (ask_index = 0; ask_index < asks.count; ask_index++)
    send_load_query (control, &asks.items[ask_index], now_ms);
  for (i = 0; i < control->target_capacity; i++)
    {
      target = control->targets[i];
      if (target == NULL || target->listed.kind != CSP_TARGET_ENGINE
          || target->report_pending || now_ms < target->next_report_ms
          || !csp_view_target (control->ownership, i, &view)
          || view.state == CSP_OWN_OTHER)
        continue;
      csp_set_carried_load (control->ownership, i,
                            csp_ledger_used_tokens (target->ledger),
                            target->streams, now_ms);
      read_load (control, i, now_ms);
    }
}

void
csp_close_targets (csp_control_t *control)
{
  uint32_t i;

  for (i = 0; i < control->target_capacity; i++)
    remove_target (control, i);
  free (control->targets);
}
