#include "control/control-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* The long poll is short because at-most-once calls need a list that is
     confirmed every few seconds; 330 hosts send at most 165 reads a second. */
  HOSTS_WAIT_MS = 2000,
  HOSTS_TIMEOUT_MARGIN_MS = 2000,
  /* Between pulls of the list from peers while the platform is unreachable. */
  HOSTS_PULL_INTERVAL_MS = 1000,
  PATH_BYTES = 128
};

/* Parse and check a revision and return it as a view; NULL with the first
   fault if it is invalid.  */
static void *
build_view (void *state, int64_t revision, const csp_config_value_t *values,
            size_t count, char fault[CSP_FAULT_BYTES])
{
  csp_control_t *control = state;
  csp_declared_value_t *declared = calloc (count + 1, sizeof *declared);
  csp_faults_t *faults = csp_create_faults ();
  csp_declaration_t *declaration = NULL;
  csp_view_t *view = NULL;
  size_t i;

  (void)revision;
  if (declared == NULL || faults == NULL)
    goto done;
  for (i = 0; i < count; i++)
    {
      declared[i].key = values[i].key;
      declared[i].json = values[i].json;
      declared[i].size_bytes = strlen (values[i].json);
    }
  declaration = csp_create_declaration (csp_view_declaration (control->view),
                                        declared, count, faults);
  if (declaration != NULL)
    view = csp_create_view (declaration);
  if (view != NULL && !csp_note_pool_revisions (view, values, count))
    {
      csp_release_view (view);
      view = NULL;
    }
  if (csp_count_faults (faults) > 0)
    snprintf (
        fault, CSP_FAULT_BYTES, "%s: %s: %s", csp_get_fault (faults, 0)->where,
        csp_get_fault (faults, 0)->path, csp_get_fault (faults, 0)->text);

done:
  csp_destroy_faults (faults);
  free (declared);
  return view;
}

static void
release_view (void *state, void *built)
{
  (void)state;
  csp_release_view (built);
}

bool
csp_init_config (csp_control_t *control, int64_t now_ms)
{
  const csp_settings_t *settings = &control->context->settings;
  csp_config_builder_t check = { build_view, release_view, control };
  csp_membership_settings_t member
      = { .deployment = settings->deployment,
          .name = settings->host,
          .region = settings->region,
          .data_centre = settings->data_centre,
          .address = settings->listen_address,
          .http_port = settings->http_port,
          .peer_port = csp_peers_port (control->peers),
          .incarnation = control->incarnation,
          .seed = csp_random_u64 (&control->random) };

  control->configuration = csp_create_configuration (&check);
  control->membership = csp_create_membership (&member, now_ms);
  control->ownership
      = csp_create_ownership (settings->host, settings->data_centre);
  if (control->configuration == NULL || control->membership == NULL
      || control->ownership == NULL)
    return false;
  control->config_sync = csp_create_config_sync (
      control->configuration, csp_random_u64 (&control->random), now_ms);
  return control->config_sync != NULL;
}

void
csp_close_config (csp_control_t *control)
{
  csp_destroy_config_sync (control->config_sync);
  csp_destroy_ownership (control->ownership);
  csp_destroy_membership (control->membership);
  csp_destroy_configuration (control->configuration);
  free (control->host_watch.list_text);
}

static void
log_config_result (csp_control_t *control, csp_config_result_t result)
{
  csp_config_status_t status;

  csp_get_configuration_status (control->configuration, &status);
  switch (result)
    {
    case CSP_CONFIG_APPLIED:
      CSP_LOG (control->context->log, CSP_EVENT_CONFIGURATION_TAKEN, NULL,
               csp_number ("revision", status.revision),
               csp_number ("values", (int64_t)status.value_count));
      break;
    case CSP_CONFIG_STALE:
      CSP_LOG (control->context->log, CSP_EVENT_CONFIGURATION_STALE, NULL,
               csp_number ("revision", status.revision),
               csp_number ("service_revision", status.service_revision));
      break;
    case CSP_CONFIG_CONFLICT:
      CSP_LOG (control->context->log, CSP_EVENT_CONFIGURATION_DIVERGED, NULL,
               csp_number ("revision", status.revision));
      break;
    case CSP_CONFIG_REFUSED:
      CSP_LOG (control->context->log, CSP_EVENT_CONFIGURATION_BAD, NULL,
               csp_number ("revision", status.revision),
               csp_number ("refused_revision", status.refused_revision),
               csp_text ("fault", status.fault));
      break;
    case CSP_CONFIG_SAME:
    case CSP_CONFIG_NEEDS_FULL:
    case CSP_CONFIG_RESULT_COUNT:
      break;
    }
}

void
csp_apply_config_result (csp_control_t *control, csp_config_result_t result)
{
  log_config_result (control, result);
  if (result == CSP_CONFIG_APPLIED)
    csp_publish_view (control,
                      csp_get_built_configuration (control->configuration));
}

static void
note_platform_state (csp_control_t *control, bool away)
{
  if (away == control->platform_unreachable)
    return;
  control->platform_unreachable = away;
  CSP_LOG (control->context->log,
           away ? CSP_EVENT_PLATFORM_AWAY : CSP_EVENT_PLATFORM_BACK, NULL,
           csp_text ("what", "configuration"));
}

void
csp_handle_config_read (csp_control_t *control,
                        const csp_control_command_t *command, int64_t now_ms)
{
  csp_config_delta_t *delta = NULL;
  csp_error_t error;

  if (command->body == NULL
      || !csp_parse_config_answer (command->body, command->body_bytes,
                                   command->after, &delta, &error))
    {
      note_platform_state (control, true);
      csp_handle_read_failed (control->config_sync, command->id, now_ms);
      return;
    }
  note_platform_state (control, false);
  csp_apply_config_result (
      control,
      csp_handle_read (control->config_sync, command->id, delta, now_ms));
  csp_destroy_config_delta (delta);
}

/* Apply a newer list, and keep its text for hosts that can't reach the
   platform.  */
static void
apply_host_list (csp_control_t *control, const csp_host_list_t *list,
                 const char *text, int64_t now_ms)
{
  csp_host_watch_t *watch = &control->host_watch;
  char *copy;

  if (csp_apply_host_list (control->membership, list, now_ms)
      != CSP_LIST_APPLIED)
    return;
  watch->version = list->version;
  copy = strdup (text);
  if (copy != NULL)
    {
      free (watch->list_text);
      watch->list_text = copy;
    }
  csp_apply_target_list (control->ownership, list, now_ms);
  csp_sync_targets (control, now_ms);
  csp_count_listed_engines (control, list);
  CSP_LOG (control->context->log, CSP_EVENT_HOST_LIST_TAKEN, NULL,
           csp_number ("version", list->version),
           csp_number ("hosts", (int64_t)list->host_count),
           csp_number ("targets", (int64_t)list->target_count));
}

static bool
read_host_list (csp_control_t *control, const char *text, int64_t now_ms)
{
  csp_host_list_t *list = NULL;
  csp_error_t error;

  if (!csp_parse_host_list (text, strlen (text), &list, &error))
    {
      CSP_LOG (control->context->log, CSP_EVENT_HOST_LIST_BAD, NULL,
               csp_text ("fault", error.detail));
      return false;
    }
  apply_host_list (control, list, text, now_ms);
  csp_destroy_host_list (list);
  return true;
}

void
csp_handle_hosts_read (csp_control_t *control,
                       const csp_control_command_t *command, int64_t now_ms)
{
  bool read_ok = command->body != NULL
                 && read_host_list (control, command->body, now_ms);

  csp_note_list_read_ended (&control->host_watch.read_schedule, read_ok,
                            now_ms);
}

void
csp_handle_peer_hosts (csp_control_t *control,
                       const csp_peer_message_t *answer, int64_t now_ms)
{
  if (answer->kind == CSP_PEER_HOSTS_ANSWER
      && answer->u.hosts_answer.list[0] != '\0')
    read_host_list (control, answer->u.hosts_answer.list, now_ms);
}

/* While the platform is unreachable, request the list from a peer whose
   heartbeat names a newer version.  Otherwise a host that is replaced during
   an outage would have the configuration, which it pulls from peers, but no
   targets.  */
static void
pull_hosts (csp_control_t *control, int64_t now_ms)
{
  csp_peer_message_t message = { .kind = CSP_PEER_HOSTS_ASK };
  csp_host_watch_t *watch = &control->host_watch;
  size_t count = csp_count_hosts (control->membership);
  csp_named_peer_address_t peer;
  csp_host_view_t view;
  size_t i;

  if (!watch->read_schedule.last_read_failed || now_ms < watch->next_pull_ms)
    return;
  message.u.hosts_ask.after = watch->version;
  for (i = 0; i < count; i++)
    {
      csp_view_host (control->membership, i, now_ms, &view);
      if (view.self || view.liveness != CSP_PEER_ALIVE
          || view.list_version <= watch->version
          || !csp_locate_peer (control, view.name, now_ms, &peer))
        continue;
      watch->next_pull_ms = now_ms + HOSTS_PULL_INTERVAL_MS;
      csp_send_peer (control, &peer, &message, 0, HOSTS_TIMEOUT_MARGIN_MS);
      return;
    }
}

/* The state of a read's callback, which posts the command.  */
typedef struct
{
  csp_control_t *control;
  csp_control_command_t *command;
} read_callback_t;

static void
post_read_result (void *state, const char *body, size_t size_bytes)
{
  read_callback_t *callback = state;

  if (body != NULL)
    {
      callback->command->body = malloc (size_bytes + 1);
      if (callback->command->body != NULL)
        {
          memcpy (callback->command->body, body, size_bytes + 1);
          callback->command->body_bytes = size_bytes;
        }
    }
  csp_post_command (callback->control, callback->command);
  free (callback);
}

bool
csp_start_read (csp_control_t *control, const csp_endpoint_t *endpoint,
                const char *path, uint32_t timeout_ms,
                csp_control_command_t *command)
{
  read_callback_t *callback = malloc (sizeof *callback);

  if (callback == NULL || command == NULL)
    {
      free (callback);
      csp_free_command (command);
      return false;
    }
  callback->control = control;
  callback->command = command;
  csp_fetch (control->fetcher, endpoint, path, NULL, timeout_ms,
             post_read_result, callback);
  return true;
}

static void
read_config (csp_control_t *control, const csp_config_sync_action_t *action,
             int64_t now_ms)
{
  csp_control_command_t *command
      = csp_create_command (CSP_COMMAND_CONFIG_READ);
  char path[PATH_BYTES];

  snprintf (path, sizeof path, "/v1/config?after=%lld&wait_ms=%u",
            (long long)action->after, action->wait_ms);
  if (command != NULL)
    {
      command->id = action->id;
      command->after = action->after;
    }
  if (!csp_start_read (control, &control->platform, path, action->timeout_ms,
                       command))
    csp_handle_read_failed (control->config_sync, action->id, now_ms);
}

static void
pull_config (csp_control_t *control, const csp_config_sync_action_t *action,
             int64_t now_ms)
{
  csp_peer_message_t message = { .kind = CSP_PEER_PULL_ASK };
  csp_named_peer_address_t peer;

  message.u.pull_ask.after = action->after;
  if (!csp_locate_peer (control, action->peer, now_ms, &peer)
      || !csp_send_peer (control, &peer, &message, action->id,
                         action->timeout_ms))
    csp_handle_pull_failed (control->config_sync, action->id, now_ms);
}

static void
read_hosts (csp_control_t *control, int64_t now_ms)
{
  csp_host_watch_t *watch = &control->host_watch;
  char path[PATH_BYTES];
  bool sent;

  snprintf (path, sizeof path, "/v1/hosts?after=%lld&wait_ms=%u",
            (long long)watch->version, HOSTS_WAIT_MS);
  sent = csp_start_read (control, &control->platform, path,
                         HOSTS_WAIT_MS + HOSTS_TIMEOUT_MARGIN_MS,
                         csp_create_command (CSP_COMMAND_HOSTS_READ));
  csp_note_list_read_sent (&watch->read_schedule, sent, now_ms);
}

void
csp_tick_config (csp_control_t *control, int64_t now_ms)
{
  csp_config_sync_peer_t peers[CSP_MAX_CONFIG_SYNC_PEERS];
  csp_config_sync_actions_t actions;
  size_t rank;
  size_t count = csp_fill_config_sync_peers (
      control->membership, now_ms, peers, CSP_MAX_CONFIG_SYNC_PEERS, &rank);
  size_t i;

  csp_tick_config_sync (control->config_sync, peers, count, rank, now_ms,
                        &actions);
  for (i = 0; i < actions.count; i++)
    switch (actions.items[i].kind)
      {
      case CSP_CONFIG_SYNC_READ_SERVICE:
        read_config (control, &actions.items[i], now_ms);
        break;
      case CSP_CONFIG_SYNC_PULL_PEER:
        pull_config (control, &actions.items[i], now_ms);
        break;
      }
  pull_hosts (control, now_ms);
  if (csp_list_read_is_due (&control->host_watch.read_schedule, now_ms))
    read_hosts (control, now_ms);
  atomic_store (&control->ready,
                control->view != NULL && control->host_watch.version > 0);
}
