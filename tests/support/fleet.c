#include "support/fleet-imp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *
build_checked (void *state, int64_t revision, const csp_config_value_t *values,
               size_t count, char fault[CSP_FAULT_BYTES])
{
  char bad[24];
  size_t i;

  (void)state;
  snprintf (bad, sizeof bad, "{\"weight\":%d}", FLEET_BAD_VALUE);
  for (i = 0; i < count; i++)
    if (strcmp (values[i].json, bad) == 0)
      {
        snprintf (fault, CSP_FAULT_BYTES, "%.100s: weight %d is bad at %lld",
                  values[i].key, FLEET_BAD_VALUE, (long long)revision);
        return NULL;
      }
  return malloc (1);
}

static void
release_checked (void *state, void *built)
{
  (void)state;
  free (built);
}

static void
tick_membership (fleet_t *fleet, fleet_node_t *node, size_t index)
{
  csp_heartbeat_actions_t actions;
  csp_ownership_status_t owned;
  csp_config_status_t config;
  csp_config_sync_status_t sync_status;
  csp_local_state_t local;
  fleet_message_t *message;
  size_t i;

  csp_get_ownership_status (node->ownership, &owned);
  csp_get_configuration_status (node->configuration, &config);
  csp_get_config_sync_status (node->config_sync, &sync_status);
  memset (&local, 0, sizeof local);
  local.state = node->state;
  local.revision = config.revision;
  local.digest = config.digest;
  local.refused_revision = config.refused_revision;
  local.service_silent = sync_status.service_silent;
  local.owned_targets = (uint32_t)owned.owned;
  local.headroom_tokens = 1000 + (int64_t)index;
  csp_set_local_state (node->membership, &local);
  csp_tick_membership (node->membership, fleet->now_ms, &actions);
  for (i = 0; i < actions.count; i++)
    {
      message = fleet_begin_message (
          fleet, MESSAGE_HEARTBEAT, index,
          fleet_find_node (fleet, actions.items[i].peer));
      message->heartbeat = fleet_copy_heartbeat (&actions.items[i].ask);
      fleet_send_message (fleet);
    }
}

static void
start_read (fleet_t *fleet, fleet_node_t *node,
            const csp_config_sync_action_t *action)
{
  node->read_pending = true;
  node->pending_read = *action;
  node->read_started_ms = fleet->now_ms;
  node->reads++;
  fleet->reads++;
}

static void
tick_spread (fleet_t *fleet, fleet_node_t *node, size_t index)
{
  csp_config_sync_peer_t peers[CSP_MAX_CONFIG_SYNC_PEERS];
  csp_config_sync_actions_t actions;
  fleet_message_t *message;
  size_t rank;
  size_t count
      = csp_fill_config_sync_peers (node->membership, fleet->now_ms, peers,
                                    CSP_MAX_CONFIG_SYNC_PEERS, &rank);
  size_t i;

  if (fleet->settings.every_host_reads)
    {
      count = 0;
      rank = 0;
    }
  csp_tick_config_sync (node->config_sync, peers, count, rank, fleet->now_ms,
                        &actions);
  for (i = 0; i < actions.count; i++)
    {
      if (actions.items[i].kind == CSP_CONFIG_SYNC_READ_SERVICE)
        {
          start_read (fleet, node, &actions.items[i]);
          continue;
        }
      message = fleet_begin_message (
          fleet, MESSAGE_PULL, index,
          fleet_find_node (fleet, actions.items[i].peer));
      message->id = actions.items[i].id;
      message->after_revision = actions.items[i].after;
      fleet_send_message (fleet);
    }
}

static void
tick_ownership (fleet_t *fleet, fleet_node_t *node, size_t index)
{
  csp_load_queries_t queries;
  csp_target_view_t view;
  fleet_message_t *message;
  size_t i;
  size_t t;

  csp_tick_ownership (node->ownership, node->membership, fleet->now_ms,
                      &queries);
  for (i = 0; i < queries.count; i++)
    {
      message = fleet_begin_message (
          fleet, MESSAGE_LOAD_QUERY, index,
          fleet_find_node (fleet, queries.items[i].peer));
      message->id = queries.items[i].id;
      message->load_count = queries.items[i].count;
      message->loads
          = calloc (queries.items[i].count, sizeof (csp_carried_load_t));
      for (t = 0; t < queries.items[i].count; t++)
        if (csp_view_target (node->ownership, queries.items[i].targets[t],
                             &view))
          memcpy (message->loads[t].target, view.target.name,
                  sizeof view.target.name);
      fleet_send_message (fleet);
    }
}

static void
tick_node (fleet_t *fleet, size_t index)
{
  fleet_node_t *node = &fleet->nodes[index];
  int64_t revision;

  fleet_tick_platform (fleet, node);
  if (fleet->now_ms < node->next_tick_ms)
    return;
  node->next_tick_ms = fleet->now_ms + FLEET_TICK_MS;
  if (fleet->now_ms / FLEET_TICK_MS % (FLEET_REPORT_MS / FLEET_TICK_MS)
      == (int64_t)index % (FLEET_REPORT_MS / FLEET_TICK_MS))
    fleet_read_load_reports (fleet, node);
  tick_membership (fleet, node, index);
  tick_spread (fleet, node, index);
  tick_ownership (fleet, node, index);
  revision = fleet_revision (fleet, index);
  fleet->revision_regressions += revision < node->highest_revision;
  node->highest_revision = revision;
}

/* Updates the platform's list of hosts, which shows a start or a death after a
   delay.  */
static void
update_list (fleet_t *fleet)
{
  size_t i;

  for (i = 0; i < fleet->settings.nodes; i++)
    if (fleet->node_listed[i] != fleet->nodes[i].up
        && fleet->now_ms
               >= fleet->up_changed_ms[i] + fleet->settings.list_lag_ms)
      {
        fleet->node_listed[i] = fleet->nodes[i].up;
        fleet->list_version++;
      }
}

static void
check_grants (fleet_t *fleet)
{
  size_t i;

  for (i = 0; i < fleet->target_count; i++)
    fleet->double_grants += fleet_count_granting (fleet, i) > 1;
}

static void
step (fleet_t *fleet)
{
  size_t i;

  fleet->now_ms += FLEET_STEP_MS;
  update_list (fleet);
  fleet_deliver_due (fleet);
  for (i = 0; i < fleet->settings.nodes; i++)
    if (fleet->nodes[i].up && fleet->nodes[i].paused_until_ms <= fleet->now_ms)
      tick_node (fleet, i);
  if (fleet->now_ms % FLEET_TICK_MS == 0)
    fleet_tick_load (fleet);
  check_grants (fleet);
}

void
fleet_run (fleet_t *fleet, int64_t ms)
{
  int64_t until_ms = fleet->now_ms + ms;

  while (fleet->now_ms < until_ms)
    step (fleet);
}

static void
create_target (fleet_t *fleet, size_t data_centre, size_t number)
{
  fleet_target_t *target = &fleet->targets[fleet->target_count++];

  target->data_centre = data_centre;
  snprintf (target->listed.name, sizeof target->listed.name, "e%zu-%zu",
            data_centre, number);
  snprintf (target->listed.data_centre, sizeof target->listed.data_centre,
            "dc-%zu", data_centre);
}

fleet_t *
fleet_create (const fleet_settings_t *settings)
{
  fleet_t *fleet = calloc (1, sizeof *fleet);
  size_t i;

  fleet->settings = *settings;
  fleet->now_ms = 1000000;
  fleet->list_version = 1;
  csp_seed_random (&fleet->random, settings->seed);
  for (i = 0; i < settings->nodes; i++)
    {
      snprintf (fleet->nodes[i].name, sizeof fleet->nodes[i].name, "h%zu", i);
      fleet->nodes[i].data_centre = i % settings->data_centres;
    }
  for (i = 0; i < settings->targets * settings->data_centres; i++)
    create_target (fleet, i % settings->data_centres, i);
  fleet_publish (fleet, 100);
  return fleet;
}

static void
destroy_node (fleet_node_t *node)
{
  csp_destroy_ownership (node->ownership);
  csp_destroy_config_sync (node->config_sync);
  csp_destroy_configuration (node->configuration);
  csp_destroy_membership (node->membership);
  node->ownership = NULL;
  node->config_sync = NULL;
  node->configuration = NULL;
  node->membership = NULL;
}

void
fleet_destroy (fleet_t *fleet)
{
  size_t i;

  for (i = 0; i < fleet->message_count; i++)
    fleet_free_message (fleet->messages[i]);
  for (i = 0; i < fleet->settings.nodes; i++)
    destroy_node (&fleet->nodes[i]);
  free (fleet->messages);
  free (fleet);
}

void
fleet_start (fleet_t *fleet, size_t index)
{
  fleet_node_t *node = &fleet->nodes[index];
  csp_membership_settings_t settings = { 0 };
  csp_config_builder_t check = { build_checked, release_checked, NULL };
  char data_centre[CSP_HOST_NAME_BYTES];

  destroy_node (node);
  snprintf (data_centre, sizeof data_centre, "dc-%zu", node->data_centre);
  node->incarnation
      = csp_make_incarnation (fleet->now_ms, csp_random_u64 (&fleet->random));
  settings.deployment = "test";
  settings.name = node->name;
  settings.region = "wales";
  settings.data_centre = data_centre;
  settings.address = "127.0.0.1";
  settings.http_port = 8080;
  settings.peer_port = (uint16_t)(10000 + index);
  settings.incarnation = node->incarnation;
  settings.seed = csp_random_u64 (&fleet->random);
  node->membership = csp_create_membership (&settings, fleet->now_ms);
  node->configuration = csp_create_configuration (&check);
  node->config_sync = csp_create_config_sync (node->configuration,
                                              settings.seed, fleet->now_ms);
  node->ownership = csp_create_ownership (node->name, data_centre);
  node->state = CSP_MEMBER_LIVE;
  node->up = true;
  node->read_pending = false;
  node->paused_until_ms = 0;
  node->highest_revision = 0;
  node->next_list_read_ms = 0;
  node->next_tick_ms
      = fleet->now_ms + csp_random_below (&fleet->random, FLEET_TICK_MS);
  memset (node->carried_tokens, 0, sizeof node->carried_tokens);
  fleet->up_changed_ms[index] = fleet->now_ms;
}

void
fleet_start_all (fleet_t *fleet)
{
  size_t i;

  for (i = 0; i < fleet->settings.nodes; i++)
    {
      fleet_start (fleet, i);
      fleet->node_listed[i] = true;
    }
  fleet_run (fleet, 20000);
}

void
fleet_kill (fleet_t *fleet, size_t index)
{
  fleet->nodes[index].up = false;
  fleet->up_changed_ms[index] = fleet->now_ms;
}

void
fleet_pause (fleet_t *fleet, size_t index, int64_t ms)
{
  fleet->nodes[index].paused_until_ms = fleet->now_ms + ms;
}

void
fleet_set_leaving (fleet_t *fleet, size_t index)
{
  fleet->nodes[index].state = CSP_MEMBER_LEAVING;
}

void
fleet_set_link_cut (fleet_t *fleet, size_t from, size_t to, bool cut)
{
  fleet->cuts[from][to] = cut;
}

void
fleet_set_partition (fleet_t *fleet, size_t split, bool cut)
{
  size_t a;
  size_t b;

  for (a = 0; a < split; a++)
    for (b = split; b < fleet->settings.nodes; b++)
      fleet->cuts[a][b] = fleet->cuts[b][a] = cut;
}

int64_t
fleet_revision (const fleet_t *fleet, size_t index)
{
  csp_config_status_t status;

  csp_get_configuration_status (fleet->nodes[index].configuration, &status);
  return status.revision;
}

bool
fleet_has_converged (const fleet_t *fleet, int64_t revision)
{
  csp_config_status_t status;
  uint64_t digest = 0;
  size_t i;

  for (i = 0; i < fleet->settings.nodes; i++)
    {
      if (!fleet->nodes[i].up)
        continue;
      csp_get_configuration_status (fleet->nodes[i].configuration, &status);
      if (status.revision < revision
          || (digest != 0 && status.digest != digest))
        return false;
      digest = status.digest;
    }
  return true;
}

int64_t
fleet_run_until_converged (fleet_t *fleet, int64_t revision, int64_t limit_ms)
{
  int64_t since_ms = fleet->now_ms;

  while (!fleet_has_converged (fleet, revision))
    {
      if (fleet->now_ms - since_ms >= limit_ms)
        return -1;
      step (fleet);
    }
  return fleet->now_ms - since_ms;
}

size_t
fleet_count_granting (const fleet_t *fleet, size_t target)
{
  const fleet_node_t *node;
  uint32_t index;
  size_t count = 0;
  size_t i;

  /* A paused node is counted too, since its threads may grant when it resumes,
     before its next tick.  */
  for (i = fleet->targets[target].data_centre; i < fleet->settings.nodes;
       i += fleet->settings.data_centres)
    {
      node = &fleet->nodes[i];
      count
          += node->up
             && csp_find_target (node->ownership,
                                 fleet->targets[target].listed.name, &index)
             && csp_get_open_share (node->ownership, index, fleet->now_ms) > 0;
    }
  return count;
}

csp_peer_liveness_t
fleet_liveness (const fleet_t *fleet, size_t from, size_t of)
{
  csp_host_view_t view;

  if (!csp_find_host (fleet->nodes[from].membership, fleet->nodes[of].name,
                      fleet->now_ms, &view))
    return CSP_PEER_SILENT;
  return view.liveness;
}
