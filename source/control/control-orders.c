#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* Orders to owned engines: collects the facts for the decision at each load
   report, and sends the resulting order by HTTP.  */

enum
{
  SHARE_UPDATE_MS = 1000,
  ORDER_TIMEOUT_MS = 5000,
  STATUS_OK = 200,
  STATUS_ACCEPTED = 202,
  STATUS_CONFLICT = 409,
  STATUS_UNAVAILABLE = 503,
  THOUSAND = 1000
};

static csp_order_pool_t *
find_or_add_order_pool (csp_control_t *control, const char *name)
{
  csp_order_pool_t *pool;
  uint32_t i;

  for (i = 0; i < control->order_pool_count; i++)
    if (strcmp (control->order_pools[i].name, name) == 0)
      return &control->order_pools[i];
  if (control->order_pool_count == CSP_CONTROL_MAX_POOLS)
    return NULL;
  pool = &control->order_pools[control->order_pool_count++];
  csp_copy_text (pool->name, sizeof pool->name, name);
  return pool;
}

void
csp_count_listed_engines (csp_control_t *control, const csp_host_list_t *list)
{
  csp_order_pool_t *pool;
  size_t i;

  for (i = 0; i < control->order_pool_count; i++)
    control->order_pools[i].listed = 0;
  for (i = 0; i < list->target_count; i++)
    {
      if (list->targets[i].kind != CSP_TARGET_ENGINE)
        continue;
      pool = find_or_add_order_pool (control, list->targets[i].pool);
      if (pool != NULL)
        pool->listed++;
    }
}

static void
count_owned_engines (csp_control_t *control)
{
  csp_order_pool_t *pool;
  csp_target_view_t view;
  uint32_t i;

  for (i = 0; i < control->order_pool_count; i++)
    control->order_pools[i].owned = 0;
  for (i = 0; i < control->target_capacity; i++)
    {
      if (control->targets[i] == NULL
          || control->targets[i]->listed.kind != CSP_TARGET_ENGINE
          || !csp_view_target (control->ownership, i, &view)
          || view.state == CSP_OWN_OTHER)
        continue;
      pool
          = find_or_add_order_pool (control, control->targets[i]->listed.pool);
      if (pool != NULL)
        pool->owned++;
    }
}

void
csp_tick_orders (csp_control_t *control, int64_t now_ms)
{
  const csp_declaration_t *declaration = csp_view_declaration (control->view);
  const csp_pool_t *declared;
  csp_order_pool_t *pool;
  uint32_t i;

  if (declaration == NULL || now_ms < control->next_order_share_ms)
    return;
  control->next_order_share_ms = now_ms + SHARE_UPDATE_MS;
  count_owned_engines (control);
  for (i = 0; i < control->order_pool_count; i++)
    {
      pool = &control->order_pools[i];
      declared = csp_find_pool (declaration, pool->name);
      if (declared != NULL)
        csp_set_order_share (
            &pool->pace, declared->loads_per_minute, pool->owned, pool->listed,
            (uint32_t)(csp_hash_pair (control->context->settings.host,
                                      pool->name)
                       % THOUSAND));
    }
}

static json_object *
get_member (json_object *object, const char *name, json_type type)
{
  json_object *member = NULL;

  if (!json_object_object_get_ex (object, name, &member)
      || !json_object_is_type (member, type))
    return NULL;
  return member;
}

/* Read the loaded models or adapters of a report with their versions.  The
   strings belong to the report.  */
static csp_named_version_t *
read_versioned (json_object *report, const char *list, const char *versions,
                size_t *count)
{
  json_object *names = get_member (report, list, json_type_array);
  json_object *by_name = get_member (report, versions, json_type_object);
  json_object *version;
  csp_named_version_t *read;
  size_t i;

  *count = names == NULL ? 0 : json_object_array_length (names);
  read = calloc (*count + 1, sizeof *read);
  if (read == NULL)
    *count = 0;
  for (i = 0; i < *count; i++)
    {
      read[i].name
          = json_object_get_string (json_object_array_get_idx (names, i));
      if (read[i].name == NULL)
        read[i].name = "";
      version = get_member (by_name, read[i].name, json_type_string);
      if (version != NULL)
        read[i].version = json_object_get_string (version);
    }
  return read;
}

static const char *
get_text (json_object *report, const char *name)
{
  json_object *member = get_member (report, name, json_type_string);

  return member == NULL ? NULL : json_object_get_string (member);
}

/* When the oldest request arrived that runs on the target or waits for its
   pool: such a request may need the model that is to be unloaded.  */
static int64_t
find_oldest_arrival_ms (const csp_control_t *control,
                        const csp_target_state_t *target)
{
  int64_t oldest_ms = INT64_MAX;
  const csp_tracked_request_t *request;
  uint32_t i;

  for (i = 0; i < control->request_capacity; i++)
    {
      request = &control->requests[i];
      if (request->id == 0 || request->arrived_ms >= oldest_ms)
        continue;
      if (request->target == target
          || (request->state == CSP_REQUEST_WAITING
              && request->pool < control->pool_count
              && strcmp (control->pools[request->pool].name,
                         target->listed.pool)
                     == 0))
        oldest_ms = request->arrived_ms;
    }
  return oldest_ms;
}

typedef struct
{
  csp_control_t *control;
  csp_control_command_t *command;
  int64_t send_by_ms;
} order_callback_t;

/* Whether an order may still be sent.  While the process was paused after the
   decision, another host may have become the engine's owner, at a newer
   revision.  */
static bool
is_order_current (void *state)
{
  const order_callback_t *callback = state;

  return csp_now_ms (&callback->control->context->clock)
         <= callback->send_by_ms;
}

static void
post_order_status (void *state, long status)
{
  order_callback_t *callback = state;

  callback->command->after = status;
  csp_post_command (callback->control, callback->command);
  free (callback);
}

static char *
format_order (const csp_order_t *order)
{
  json_object *object = json_object_new_object ();
  char *text;

  json_object_object_add (object, "fence",
                          json_object_new_int64 (order->fence));
  json_object_object_add (
      object, "op", json_object_new_string (csp_order_op_name (order->op)));
  json_object_object_add (object, "name",
                          json_object_new_string (order->name));
  json_object_object_add (object, "version",
                          json_object_new_string (order->version));
  text = strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

static void
log_order (csp_control_t *control, csp_event_t event,
           const csp_target_state_t *target, const csp_order_t *order)
{
  CSP_LOG (control->context->log, event, NULL,
           csp_text ("target", target->listed.name),
           csp_text ("op", csp_order_op_name (order->op)),
           csp_text ("name", order->name),
           csp_text ("version", order->version),
           csp_number ("fence", order->fence));
}

static void
send_order (csp_control_t *control, uint32_t index, const csp_order_t *order,
            int64_t now_ms)
{
  csp_target_state_t *target = control->targets[index];
  csp_control_command_t *command
      = csp_create_command (CSP_COMMAND_ORDER_STATUS);
  order_callback_t *callback = malloc (sizeof *callback);
  char *body = format_order (order);
  csp_endpoint_t endpoint;
  int64_t lease_ms = csp_get_grant_lease_until_ms (control->ownership);

  if (command == NULL || callback == NULL || body == NULL)
    {
      csp_free_command (command);
      free (callback);
      csp_handle_order_answer (target->orders, CSP_ORDER_ANSWER_NOT_SENT,
                               now_ms);
      goto done;
    }
  csp_fill_endpoint (control, target->listed.address, target->listed.port,
                     &endpoint);
  command->target = index;
  csp_copy_text (command->name, sizeof command->name, target->listed.name);
  callback->control = control;
  callback->command = command;
  callback->send_by_ms = now_ms + CSP_ORDER_REPORT_MAX_AGE_MS;
  if (callback->send_by_ms > lease_ms)
    callback->send_by_ms = lease_ms;
  log_order (control, CSP_EVENT_ORDER_SENT, target, order);
  csp_post (control->fetcher, &endpoint, "/v1/orders", body, ORDER_TIMEOUT_MS,
            is_order_current, post_order_status, callback);

done:
  free (body);
}

static void
log_order_events (csp_control_t *control, const csp_target_state_t *target,
                  const csp_order_action_t *action, int64_t fence)
{
  if (action->events & CSP_ORDER_EVENT_RESTART)
    CSP_LOG (control->context->log, CSP_EVENT_ENGINE_RESTARTED, NULL,
             csp_text ("target", target->listed.name));
  if (action->events & CSP_ORDER_EVENT_HELD_BACK)
    CSP_LOG (control->context->log, CSP_EVENT_ORDER_HELD_BACK, NULL,
             csp_text ("target", target->listed.name),
             csp_number ("fence", fence));
  if (action->events & CSP_ORDER_EVENT_DONE)
    log_order (control, CSP_EVENT_ORDER_DONE, target, &action->subject);
  if (action->events & CSP_ORDER_EVENT_FAILED)
    log_order (control, CSP_EVENT_ORDER_FAILED, target, &action->subject);
  if (action->events & CSP_ORDER_EVENT_GIVEN_UP)
    log_order (control, CSP_EVENT_ORDER_GIVEN_UP, target, &action->subject);
  if (action->events & CSP_ORDER_EVENT_UNDONE)
    log_order (control, CSP_EVENT_ORDER_UNDONE, target, &action->subject);
}

/* Fill in the facts that come from the configuration.  */
void
csp_fill_config_facts (csp_control_t *control,
                       const csp_target_state_t *target,
                       csp_order_facts_t *facts)
{
  const csp_pool_t *pool = csp_find_pool (csp_view_declaration (control->view),
                                          target->listed.pool);
  csp_config_status_t status;

  csp_get_configuration_status (control->configuration, &status);
  facts->revision = status.revision;
  facts->wanted_revision
      = csp_view_pool_revision (control->view, target->listed.pool);
  facts->routed = csp_view_models (control->view, &facts->routed_count);
  if (pool == NULL)
    return;
  facts->wanted = csp_get_wanted_state (pool, target->listed.name);
  facts->longest_order_ms = pool->longest_order_ms;
}

/* Fill in the facts that come from the ownership and from the traffic.  */
static void
fill_ownership_facts (csp_control_t *control, uint32_t index, int64_t now_ms,
                      csp_order_facts_t *facts)
{
  const csp_target_state_t *target = control->targets[index];
  csp_target_view_t view;

  if (!csp_view_target (control->ownership, index, &view))
    return;
  facts->granted = csp_get_open_share (control->ownership, index, now_ms) > 0;
  facts->leaving = view.state == CSP_OWN_LEAVING
                   || target->listed.state == CSP_MEMBER_LEAVING;
  facts->checks_fence = target->listed.checks_fence;
  facts->oldest_stream_ms = find_oldest_arrival_ms (control, target);
  facts->foreign_streams
      = view.peer_tokens > 0 || view.foreign_tokens > 0
        || csp_count_slot_tokens (control, target->listed.name, now_ms) > 0;
}

static void
store_report (csp_target_state_t *target, json_object *document)
{
  json_object_put (target->last_report);
  target->last_report = json_object_get (document);
}

void
csp_handle_order_report (csp_control_t *control, uint32_t index,
                         json_object *document, int64_t asked_ms,
                         int64_t now_ms)
{
  csp_target_state_t *target = control->targets[index];
  csp_order_pool_t *pool
      = find_or_add_order_pool (control, target->listed.pool);
  json_object *number = get_member (document, "report", json_type_int);
  json_object *fence = get_member (document, "fence", json_type_int);
  const char *order = get_text (document, "order");
  csp_order_report_t report
      = { .asked_ms = asked_ms,
          .sequence = (uint64_t)json_object_get_int64 (number),
          .fence = json_object_get_int64 (fence),
          .role = get_text (document, "role"),
          .busy = order != NULL && strcmp (order, "busy") == 0 };
  csp_order_facts_t facts = { .report = &report };
  csp_order_action_t action;
  csp_named_version_t *models;
  csp_named_version_t *adapters;

  store_report (target, document);
  if (control->view == NULL || pool == NULL || pool->pace.interval_ms == 0)
    return;
  models = read_versioned (document, "models", "model_versions",
                           &report.model_count);
  adapters = read_versioned (document, "adapters", "adapter_versions",
                             &report.adapter_count);
  report.models = models;
  report.adapters = adapters;
  csp_fill_config_facts (control, target, &facts);
  fill_ownership_facts (control, index, now_ms, &facts);
  if (models != NULL && adapters != NULL)
    {
      csp_decide_order (target->orders, &facts, &pool->pace, now_ms, &action);
      log_order_events (control, target, &action, report.fence);
      if (action.kind == CSP_ORDER_ACT_SEND)
        send_order (control, index, &action.is.send, now_ms);
    }
  free (models);
  free (adapters);
}

static csp_order_answer_t
classify_order_status (int64_t status)
{
  switch (status)
    {
    case STATUS_OK:
    case STATUS_ACCEPTED:
      return CSP_ORDER_ANSWER_STARTED;
    case STATUS_CONFLICT:
      return CSP_ORDER_ANSWER_FENCE_OLD;
    case STATUS_UNAVAILABLE:
      return CSP_ORDER_ANSWER_BUSY;
    case CSP_POST_NO_RESPONSE:
      return CSP_ORDER_ANSWER_LOST;
    case CSP_POST_NOT_SENT:
      return CSP_ORDER_ANSWER_NOT_SENT;
    default:
      return CSP_ORDER_ANSWER_REFUSED;
    }
}

void
csp_handle_order_status (csp_control_t *control,
                         const csp_control_command_t *command, int64_t now_ms)
{
  csp_order_answer_t answer = classify_order_status (command->after);
  csp_target_state_t *target = control->targets[command->target];

  if (target == NULL || strcmp (target->listed.name, command->name) != 0)
    return;
  csp_handle_order_answer (target->orders, answer, now_ms);
  if (answer == CSP_ORDER_ANSWER_FENCE_OLD
      || answer == CSP_ORDER_ANSWER_REFUSED)
    CSP_LOG (control->context->log,
             answer == CSP_ORDER_ANSWER_FENCE_OLD ? CSP_EVENT_ORDER_FENCED
                                                  : CSP_EVENT_ORDER_FAILED,
             NULL, csp_text ("target", target->listed.name),
             csp_number ("status", command->after));
}

void
csp_free_orders (csp_target_state_t *target)
{
  csp_destroy_order_tracker (target->orders);
  json_object_put (target->last_report);
}
