#include "support/fleet.h"

enum
{
  /* One in this many carried tokens ends in each tick, so that a stream lasts
     10 s on average.  */
  STREAM_MEAN_TICKS = 100
};

static int64_t
sum_used_tokens (const fleet_t *fleet, size_t target)
{
  int64_t used_tokens = 0;
  size_t i;

  for (i = 0; i < fleet->settings.nodes; i++)
    if (fleet->nodes[i].up)
      used_tokens += fleet->nodes[i].carried_tokens[target];
  return used_tokens;
}

/* Ends a part of the node's streams.  While the fleet is under load, places as
   many new tokens on every target as the node may, which saturates the
   targets.  */
static void
tick_node_load (fleet_t *fleet, fleet_node_t *node)
{
  uint32_t slot;
  int64_t free_tokens;
  size_t i;

  for (i = 0; i < fleet->target_count; i++)
    {
      if (!csp_find_target (node->ownership, fleet->targets[i].listed.name,
                            &slot))
        continue;
      node->carried_tokens[i] -= node->carried_tokens[i] / STREAM_MEAN_TICKS;
      free_tokens = csp_get_free_tokens (node->ownership, slot, fleet->now_ms);
      if (free_tokens > 0 && fleet->saturate_targets)
        node->carried_tokens[i] += free_tokens;
      csp_set_carried_load (node->ownership, slot, node->carried_tokens[i],
                            node->carried_tokens[i] > 0, fleet->now_ms);
    }
}

void
fleet_tick_load (fleet_t *fleet)
{
  size_t slot = (size_t)(fleet->now_ms / FLEET_TICK_MS) % FLEET_REPORT_SLOTS;
  int64_t used_tokens;
  size_t i;

  for (i = 0; i < fleet->settings.nodes; i++)
    if (fleet->nodes[i].up && fleet->nodes[i].paused_until_ms <= fleet->now_ms)
      tick_node_load (fleet, &fleet->nodes[i]);
  for (i = 0; i < fleet->target_count; i++)
    {
      used_tokens = sum_used_tokens (fleet, i);
      fleet->targets[i].used_tokens[slot] = used_tokens;
      if (used_tokens > fleet->max_used_tokens)
        fleet->max_used_tokens = used_tokens;
    }
}

/* Gives the node the load reports of the targets that it owns, as they were
   report_lag_ms ago.  Called once a second for each node.  */
void
fleet_read_load_reports (fleet_t *fleet, fleet_node_t *node)
{
  int64_t reported_ms = fleet->now_ms - fleet->settings.report_lag_ms;
  size_t slot = (size_t)(reported_ms / FLEET_TICK_MS) % FLEET_REPORT_SLOTS;
  const fleet_target_t *target;
  csp_target_view_t view;
  uint32_t index;
  size_t i;

  for (i = 0; i < fleet->target_count; i++)
    {
      target = &fleet->targets[i];
      if (target->data_centre == node->data_centre
          && csp_find_target (node->ownership, target->listed.name, &index)
          && csp_view_target (node->ownership, index, &view)
          && view.state != CSP_OWN_OTHER)
        csp_handle_load_report (node->ownership, index,
                                target->used_tokens[slot], FLEET_CAPACITY,
                                target->leaving, fleet->now_ms);
    }
}
