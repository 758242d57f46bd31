#include "support/fleet.h"

enum
{
  /* Each stream ends with this chance in a tick: 10 s on average.  */
  TICKS_OF_STREAM = 100
};

static int64_t
count_used (const fleet_t *fleet, size_t target)
{
  int64_t used = 0;
  size_t i;

  for (i = 0; i < fleet->settings.nodes; i++)
    if (fleet->nodes[i].up)
      used += fleet->nodes[i].carried[target];
  return used;
}

/* Each node takes all the room that it may on every target: saturation.  */
static void
load_node (fleet_t *fleet, fleet_node_t *node)
{
  uint32_t slot;
  int64_t room;
  size_t i;

  for (i = 0; i < fleet->target_count; i++)
    {
      if (!csp_find_target (node->ownership, fleet->targets[i].listed.name,
                            &slot))
        continue;
      node->carried[i] -= node->carried[i] / TICKS_OF_STREAM;
      room = csp_find_room_tokens (node->ownership, slot, fleet->now_ms);
      if (room > 0 && fleet->load)
        node->carried[i] += room;
      csp_set_carried (node->ownership, slot, node->carried[i],
                       node->carried[i] > 0, fleet->now_ms);
    }
}

void
fleet_tick_load (fleet_t *fleet)
{
  size_t slot = (size_t)(fleet->now_ms / FLEET_TICK_MS) % FLEET_REPORT_SLOTS;
  int64_t used;
  size_t i;

  for (i = 0; i < fleet->settings.nodes; i++)
    if (fleet->nodes[i].up && fleet->nodes[i].paused_until_ms <= fleet->now_ms)
      load_node (fleet, &fleet->nodes[i]);
  for (i = 0; i < fleet->target_count; i++)
    {
      used = count_used (fleet, i);
      fleet->targets[i].used[slot] = used;
      if (used > fleet->worst_used)
        fleet->worst_used = used;
    }
}

/* Reports that lag, read by each owner once a second.  */
void
fleet_report_loads (fleet_t *fleet, fleet_node_t *node)
{
  int64_t then_ms = fleet->now_ms - fleet->settings.report_lag_ms;
  size_t slot = (size_t)(then_ms / FLEET_TICK_MS) % FLEET_REPORT_SLOTS;
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
        csp_handle_load_report (node->ownership, index, target->used[slot],
                                FLEET_CAPACITY, target->leaving,
                                fleet->now_ms);
    }
}
