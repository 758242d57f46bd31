#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <stdlib.h>
#include <string.h>

/* Communication with peers.  The control thread answers their asks, and
   receives their answers as commands.  */

enum
{
  HOST_SYNC_MS = 1000,
  US_PER_MS = 1000,
  /* Longer than an engine continues a stream that was cut off (30 s).  */
  FORGET_HOLDER_AFTER_MS = 35000
};

/* The state of an answer's callback, which posts the command.  */
typedef struct
{
  csp_control_t *control;
  csp_control_command_t *command;
} peer_callback_t;

static bool
copy_body (csp_control_command_t *command, const uint8_t *data,
           size_t size_bytes)
{
  command->body = malloc (size_bytes + 1);
  if (command->body == NULL)
    return false;
  memcpy (command->body, data, size_bytes);
  command->body_bytes = size_bytes;
  return true;
}

/* Called on a thread of the peer connections.  */
static void
post_peer_ask (void *state, csp_peer_call_t *call, const uint8_t *data,
               size_t size_bytes)
{
  csp_control_t *control = state;
  csp_control_command_t *command = csp_create_command (CSP_COMMAND_PEER_ASK);

  if (command == NULL || !copy_body (command, data, size_bytes))
    {
      csp_free_command (command);
      csp_reply_to_peer (call, NULL, 0);
      return;
    }
  command->call = call;
  csp_post_command (control, command);
}

/* Called on a thread of the peer connections.  */
static void
post_peer_answer (void *state, const uint8_t *data, size_t size_bytes)
{
  peer_callback_t *callback = state;

  if (data != NULL)
    copy_body (callback->command, data, size_bytes);
  csp_post_command (callback->control, callback->command);
  free (callback);
}

bool
csp_open_peers (csp_control_t *control, char *message, size_t message_bytes)
{
  const csp_settings_t *settings = &control->context->settings;
  csp_peers_settings_t peers = { .address = settings->listen_address,
                                 .port = settings->peer_port,
                                 .deployment = settings->deployment,
                                 .tls = &settings->peer_tls,
                                 .on_request = post_peer_ask,
                                 .state = control };

  control->deployment = csp_hash_pair ("deployment", settings->deployment);
  control->peers = csp_create_peers (&peers, message, message_bytes);
  return control->peers != NULL;
}

bool
csp_send_peer (csp_control_t *control, const csp_named_peer_address_t *peer,
               const csp_peer_message_t *message, uint64_t id,
               uint32_t timeout_ms)
{
  csp_control_command_t *command
      = csp_create_command (CSP_COMMAND_PEER_ANSWER);
  peer_callback_t *callback = malloc (sizeof *callback);
  uint8_t *data = NULL;
  size_t size_bytes = 0;

  if (command != NULL && callback != NULL)
    data = csp_encode_peer_message (message, control->deployment, &size_bytes);
  if (data == NULL)
    {
      csp_free_command (command);
      free (callback);
      return false;
    }
  command->id = id;
  command->ask_kind = message->kind;
  csp_copy_text (command->name, sizeof command->name, peer->name);
  callback->control = control;
  callback->command = command;
  csp_send_peer_request (control->peers, peer->address, peer->port, data,
                         size_bytes, timeout_ms, post_peer_answer, callback);
  free (data);
  return true;
}

bool
csp_locate_peer (csp_control_t *control, const char *name, int64_t now_ms,
                 csp_named_peer_address_t *peer)
{
  csp_host_view_t view;

  if (!csp_find_host (control->membership, name, now_ms, &view)
      || view.peer_port == 0)
    return false;
  csp_copy_text (peer->name, sizeof peer->name, view.name);
  csp_copy_text (peer->address, sizeof peer->address, view.address);
  peer->port = view.peer_port;
  return true;
}

bool
csp_is_live_local_peer (const csp_control_t *control,
                        const csp_host_view_t *view)
{
  return !view->self && view->liveness == CSP_PEER_ALIVE
         && strcmp (view->data_centre, control->context->settings.data_centre)
                == 0;
}

static void
send_heartbeat (csp_control_t *control, const csp_heartbeat_action_t *action,
                int64_t now_ms)
{
  csp_peer_message_t message = { .kind = CSP_PEER_HEARTBEAT };
  csp_named_peer_address_t peer = { .port = action->peer_port };

  csp_copy_text (peer.name, sizeof peer.name, action->peer);
  csp_copy_text (peer.address, sizeof peer.address, action->address);
  message.u.heartbeat = action->ask;
  if (!csp_send_peer (control, &peer, &message, action->ask.sequence,
                      action->timeout_ms))
    csp_handle_heartbeat_lost (control->membership, action->peer,
                               action->ask.sequence, now_ms);
}

/* The log event for each kind of membership event.  */
static const csp_event_t member_events[] = {
  [CSP_MEMBER_EVENT_ALIVE] = CSP_EVENT_PEER_ALIVE,
  [CSP_MEMBER_EVENT_UNREACHABLE] = CSP_EVENT_PEER_SILENT,
  [CSP_MEMBER_EVENT_SILENT] = CSP_EVENT_PEER_SILENT,
  [CSP_MEMBER_EVENT_RESTARTED] = CSP_EVENT_PEER_ALIVE,
  [CSP_MEMBER_EVENT_LEAVING] = CSP_EVENT_PEER_ALIVE,
  [CSP_MEMBER_EVENT_REFUSED] = CSP_EVENT_PEER_REFUSED,
  [CSP_MEMBER_EVENT_RESUMED] = CSP_EVENT_WOKE_LATE,
  [CSP_MEMBER_EVENT_LIST_STALE] = CSP_EVENT_HOST_LIST_BAD,
};

static const char *const member_states[] = {
  [CSP_MEMBER_EVENT_ALIVE] = "alive",
  [CSP_MEMBER_EVENT_UNREACHABLE] = "cut",
  [CSP_MEMBER_EVENT_SILENT] = "silent",
  [CSP_MEMBER_EVENT_RESTARTED] = "restarted",
  [CSP_MEMBER_EVENT_LEAVING] = "leaving",
  [CSP_MEMBER_EVENT_REFUSED] = "refused",
  [CSP_MEMBER_EVENT_RESUMED] = "woke late",
  [CSP_MEMBER_EVENT_LIST_STALE] = "stale list",
};

static void
handle_member_events (csp_control_t *control, int64_t now_ms)
{
  csp_member_event_t event;

  while (csp_pop_member_event (control->membership, &event))
    {
      if (event.kind == CSP_MEMBER_EVENT_SILENT)
        csp_orphan_holder (control->slots, event.peer, now_ms);
      if (event.kind == CSP_MEMBER_EVENT_RESUMED)
        csp_note_list_host_resumed (&control->host_watch.read_schedule,
                                    now_ms);
      CSP_LOG (control->context->log, member_events[event.kind], NULL,
               csp_text ("peer", event.peer),
               csp_text ("state", member_states[event.kind]),
               csp_number ("value", event.value));
    }
}

static uint32_t
count_waiting (const csp_control_t *control)
{
  uint32_t waiting = 0;
  uint32_t i;

  for (i = 0; i < control->pool_count; i++)
    waiting += csp_queue_length (control->pools[i].queue);
  return waiting;
}

static void
set_gauges (csp_control_t *control, const csp_local_state_t *local)
{
  csp_metrics_t *metrics = control->context->metrics;

  csp_set_gauge (metrics, CSP_GAUGE_WAITING, count_waiting (control));
  csp_set_gauge (metrics, CSP_GAUGE_CONFIGURATION_REVISION, local->revision);
  csp_set_gauge (metrics, CSP_GAUGE_CONFIGURATION_FAULTS,
                 local->refused_revision > 0);
  csp_set_gauge (metrics, CSP_GAUGE_HOST_LIST_VERSION,
                 control->host_watch.version);
  csp_set_gauge (metrics, CSP_GAUGE_LIVE_PEERS, control->live_peers);
  csp_set_gauge (metrics, CSP_GAUGE_OWNED_TARGETS, local->owned_targets);
}

static void
publish_local_state (csp_control_t *control, int64_t now_ms)
{
  csp_config_status_t config;
  csp_config_sync_status_t sync_status;
  csp_ownership_status_t owned;
  csp_local_state_t local = { 0 };

  csp_get_configuration_status (control->configuration, &config);
  csp_get_config_sync_status (control->config_sync, &sync_status);
  csp_get_ownership_status (control->ownership, &owned);
  local.state
      = atomic_load (&control->leaving) ? CSP_MEMBER_LEAVING : CSP_MEMBER_LIVE;
  local.revision = config.revision;
  local.digest = config.digest;
  local.refused_revision = config.refused_revision;
  local.service_silent = sync_status.service_silent;
  local.headroom_tokens = csp_sum_headroom (control, now_ms);
  local.owned_targets = (uint32_t)owned.owned;
  local.median_gap_us
      = (uint32_t)(csp_health_median_ms (control->health) * US_PER_MS);
  local.targets_out = csp_count_reduced_targets (control->health);
  set_gauges (control, &local);
  csp_set_local_state (control->membership, &local);
}

/* Pass the liveness of each host to the slot table and the key records.  Doing
   so only at the membership event isn't enough: a commit that is read from a
   socket after its sender became silent would hold a slot for ever.  */
static void
sync_hosts (csp_control_t *control, int64_t now_ms)
{
  size_t count = csp_count_hosts (control->membership);
  csp_host_view_t view;
  uint32_t live = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      csp_view_host (control->membership, i, now_ms, &view);
      if (view.self)
        continue;
      live += view.liveness == CSP_PEER_ALIVE;
      if (view.liveness == CSP_PEER_SILENT)
        csp_orphan_holder (control->slots, view.name, now_ms);
      if (view.liveness == CSP_PEER_SILENT && !view.listed
          && view.round_trip_age_ms > FORGET_HOLDER_AFTER_MS)
        csp_remove_holder (control->slots, view.name);
      if (csp_is_live_local_peer (control, &view) && !view.knows_this_host)
        csp_restart_witness_delay (control->once, now_ms);
    }
  control->live_peers = live;
}

void
csp_tick_peers (csp_control_t *control, int64_t now_ms)
{
  csp_heartbeat_actions_t actions;
  size_t i;

  if (now_ms >= control->next_host_sync_ms)
    {
      control->next_host_sync_ms = now_ms + HOST_SYNC_MS;
      sync_hosts (control, now_ms);
    }
  publish_local_state (control, now_ms);
  csp_tick_membership (control->membership, now_ms, &actions);
  for (i = 0; i < actions.count; i++)
    send_heartbeat (control, &actions.items[i], now_ms);
  handle_member_events (control, now_ms);
}

static void
answer_load_query (csp_control_t *control, const csp_peer_message_t *ask,
                   csp_peer_message_t *answer)
{
  size_t count = ask->u.load_query.count;
  csp_carried_load_t *loads = calloc (count + 1, sizeof *loads);
  size_t i;

  if (loads == NULL)
    return;
  for (i = 0; i < count; i++)
    csp_get_carried_load (control->ownership, ask->u.load_query.targets[i],
                          &loads[i]);
  answer->kind = CSP_PEER_LOAD_QUERY_ANSWER;
  answer->u.load_query_answer.count = count;
  answer->u.load_query_answer.loads = loads;
  answer->array = loads;
}

static void
answer_pull (csp_control_t *control, const csp_peer_message_t *ask,
             csp_config_status_t *status, csp_peer_message_t *answer)
{
  csp_get_configuration_status (control->configuration, status);
  answer->kind = CSP_PEER_PULL_ANSWER;
  csp_collect_config_changes (control->configuration, ask->u.pull_ask.after,
                              &answer->u.pull_answer.delta);
  answer->u.pull_answer.refused_revision = status->refused_revision;
  answer->u.pull_answer.fault = status->fault;
}

static void
answer_heartbeat (csp_control_t *control, const csp_peer_message_t *ask,
                  int64_t now_ms, csp_peer_message_t *answer)
{
  answer->kind = CSP_PEER_HEARTBEAT;
  csp_handle_heartbeat (control->membership, &ask->u.heartbeat, now_ms,
                        &answer->u.heartbeat);
}

static void
dispatch_peer_ask (csp_control_t *control, const csp_peer_message_t *ask,
                   int64_t now_ms, csp_config_status_t *status,
                   csp_peer_message_t *answer)
{
  switch (ask->kind)
    {
    case CSP_PEER_HEARTBEAT:
      answer_heartbeat (control, ask, now_ms, answer);
      break;
    case CSP_PEER_LOAD_QUERY:
      answer_load_query (control, ask, answer);
      break;
    case CSP_PEER_PULL_ASK:
      answer_pull (control, ask, status, answer);
      break;
    case CSP_PEER_RESERVE_ASK:
      answer->kind = CSP_PEER_RESERVE_ANSWER;
      csp_answer_reserve (control, &ask->u.reserve_ask, now_ms,
                          &answer->u.reserve_answer);
      break;
    case CSP_PEER_COMMIT_ASK:
      answer->kind = CSP_PEER_COMMIT_ANSWER;
      csp_commit_slot (control->slots, &ask->u.commit_ask, now_ms,
                       &answer->u.commit_answer);
      break;
    case CSP_PEER_RELEASE:
      answer->kind = CSP_PEER_ACKNOWLEDGE;
      csp_handle_slot_release (control, &ask->u.release, now_ms);
      break;
    case CSP_PEER_HOSTS_ASK:
      answer->kind = CSP_PEER_HOSTS_ANSWER;
      answer->u.hosts_answer.list
          = control->host_watch.list_text != NULL
                    && control->host_watch.version > ask->u.hosts_ask.after
                ? control->host_watch.list_text
                : "";
      break;
    case CSP_PEER_CLAIM_ASK:
      answer->kind = CSP_PEER_CLAIM_ANSWER;
      csp_claim_key (control->once, &ask->u.claim_ask, now_ms,
                     csp_wall_ms (&control->context->clock),
                     &answer->u.claim_answer);
      break;
    case CSP_PEER_OUTCOME_REPORT:
      answer->kind = CSP_PEER_ACKNOWLEDGE;
      csp_record_claim_outcome (control->once, &ask->u.outcome_report, now_ms,
                                csp_wall_ms (&control->context->clock));
      break;
    case CSP_PEER_HOLDINGS:
      answer->kind = CSP_PEER_ACKNOWLEDGE;
      csp_apply_holdings (control->slots, &ask->u.holdings, now_ms);
      break;
    default:
      break;
    }
}

void
csp_handle_peer_ask (csp_control_t *control, csp_control_command_t *command,
                     int64_t now_ms)
{
  csp_peer_message_t ask;
  csp_peer_message_t answer = { .kind = CSP_PEER_NONE };
  csp_config_status_t status;
  uint8_t *data = NULL;
  size_t size_bytes = 0;

  if (csp_decode_peer_message ((const uint8_t *)command->body,
                               command->body_bytes, control->deployment, &ask))
    dispatch_peer_ask (control, &ask, now_ms, &status, &answer);
  else
    CSP_LOG (control->context->log, CSP_EVENT_PEER_MESSAGE_BAD, NULL,
             csp_number ("bytes", (int64_t)command->body_bytes));
  if (answer.kind != CSP_PEER_NONE)
    data = csp_encode_peer_message (&answer, control->deployment, &size_bytes);
  csp_reply_to_peer (command->call, data, data == NULL ? 0 : size_bytes);
  free (data);
  free (answer.array);
  csp_clear_peer_message (&ask);
}

static void
handle_heartbeat_answer (csp_control_t *control,
                         const csp_control_command_t *command,
                         const csp_peer_message_t *answer, int64_t now_ms)
{
  if (answer->kind == CSP_PEER_HEARTBEAT)
    csp_handle_heartbeat_reply (control->membership, command->name,
                                &answer->u.heartbeat, now_ms);
  else
    csp_handle_heartbeat_lost (control->membership, command->name, command->id,
                               now_ms);
}

static void
handle_load_query_answer (csp_control_t *control,
                          const csp_control_command_t *command,
                          const csp_peer_message_t *answer, int64_t now_ms)
{
  if (answer->kind == CSP_PEER_LOAD_QUERY_ANSWER)
    csp_handle_load_query_answer (control->ownership, command->name,
                                  command->id,
                                  answer->u.load_query_answer.loads,
                                  answer->u.load_query_answer.count, now_ms);
  else
    csp_handle_load_query_lost (control->ownership, command->name, command->id,
                                now_ms);
}

static void
handle_pull_answer (csp_control_t *control,
                    const csp_control_command_t *command,
                    const csp_peer_message_t *answer, int64_t now_ms)
{
  if (answer->kind == CSP_PEER_PULL_ANSWER)
    csp_apply_config_result (
        control, csp_handle_pull (control->config_sync, command->id,
                                  &answer->u.pull_answer.delta,
                                  answer->u.pull_answer.refused_revision,
                                  answer->u.pull_answer.fault, now_ms));
  else
    csp_handle_pull_failed (control->config_sync, command->id, now_ms);
}

void
csp_handle_peer_answer (csp_control_t *control,
                        const csp_control_command_t *command, int64_t now_ms)
{
  csp_peer_message_t answer = { .kind = CSP_PEER_NONE };

  if (command->body != NULL
      && !csp_decode_peer_message ((const uint8_t *)command->body,
                                   command->body_bytes, control->deployment,
                                   &answer))
    CSP_LOG (control->context->log, CSP_EVENT_PEER_MESSAGE_BAD, NULL,
             csp_text ("peer", command->name));
  switch (command->ask_kind)
    {
    case CSP_PEER_HEARTBEAT:
      handle_heartbeat_answer (control, command, &answer, now_ms);
      break;
    case CSP_PEER_LOAD_QUERY:
      handle_load_query_answer (control, command, &answer, now_ms);
      break;
    case CSP_PEER_PULL_ASK:
      handle_pull_answer (control, command, &answer, now_ms);
      break;
    case CSP_PEER_HOSTS_ASK:
      csp_handle_peer_hosts (control, &answer, now_ms);
      break;
    case CSP_PEER_CLAIM_ASK:
      csp_handle_claim_answer (control, command, &answer, now_ms);
      break;
    case CSP_PEER_OUTCOME_REPORT:
      csp_handle_outcome_acknowledged (control, command, &answer, now_ms);
      break;
    case CSP_PEER_RESERVE_ASK:
      if (answer.kind == CSP_PEER_RESERVE_ANSWER)
        csp_handle_reserve_answer (control, command, &answer.u.reserve_answer,
                                   now_ms);
      break;
    case CSP_PEER_COMMIT_ASK:
      if (answer.kind == CSP_PEER_COMMIT_ANSWER)
        csp_handle_commit_answer (control, command, &answer.u.commit_answer,
                                  now_ms);
      break;
    default:
      break;
    }
  csp_clear_peer_message (&answer);
}
