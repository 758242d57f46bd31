#include "support/fleet.h"

typedef enum
{
  FAULT_KILL,
  FAULT_START,
  FAULT_PAUSE,
  FAULT_PUBLISH,
  FAULT_CUT_LINK,
  FAULT_TOGGLE_PLATFORM,
  FAULT_COUNT
} fault_t;

enum
{
  PAUSE_MAX_MS = 20000,
  ROUND_MAX_MS = 8000
};

static void
inject_fault (fleet_t *fleet, bool cuts)
{
  uint32_t nodes = (uint32_t)fleet->settings.nodes;
  size_t node = csp_random_below (&fleet->random, nodes);
  uint32_t kinds = cuts ? FAULT_COUNT : FAULT_CUT_LINK;
  fault_t fault = (fault_t)csp_random_below (&fleet->random, kinds);

  switch (fault)
    {
    case FAULT_KILL:
      if (fleet->nodes[node].up)
        fleet_kill (fleet, node);
      break;
    case FAULT_START:
      if (!fleet->nodes[node].up)
        fleet_start (fleet, node);
      break;
    case FAULT_PAUSE:
      fleet_pause (fleet, node,
                   csp_random_below (&fleet->random, PAUSE_MAX_MS));
      break;
    case FAULT_PUBLISH:
      fleet_publish (fleet, 1 + csp_random_below (&fleet->random, 5));
      break;
    case FAULT_CUT_LINK:
      fleet_set_link_cut (fleet, node,
                          csp_random_below (&fleet->random, nodes), true);
      break;
    case FAULT_TOGGLE_PLATFORM:
      fleet->platform_down = !fleet->platform_down;
      break;
    case FAULT_COUNT:
      break;
    }
}

static void
clear_faults (fleet_t *fleet)
{
  size_t a;
  size_t b;

  fleet->platform_down = false;
  for (a = 0; a < fleet->settings.nodes; a++)
    {
      fleet->nodes[a].paused_until_ms = 0;
      if (!fleet->nodes[a].up)
        fleet_start (fleet, a);
      for (b = 0; b < fleet->settings.nodes; b++)
        fleet_set_link_cut (fleet, a, b, false);
    }
}

void
fleet_inject_faults (fleet_t *fleet, size_t rounds, bool cuts)
{
  size_t i;

  for (i = 0; i < rounds; i++)
    {
      inject_fault (fleet, cuts);
      inject_fault (fleet, cuts);
      fleet_run (fleet, csp_random_below (&fleet->random, ROUND_MAX_MS));
    }
  clear_faults (fleet);
}

static bool
has_one_owner_each (const fleet_t *fleet)
{
  size_t i;

  for (i = 0; i < fleet->target_count; i++)
    if (fleet->targets[i].listed.state == CSP_MEMBER_LIVE
        && fleet_count_granting (fleet, i) != 1)
      return false;
  return true;
}

int64_t
fleet_run_until_one_owner (fleet_t *fleet, int64_t limit_ms)
{
  int64_t since_ms = fleet->now_ms;

  while (!has_one_owner_each (fleet))
    {
      if (fleet->now_ms - since_ms >= limit_ms)
        return -1;
      fleet_run (fleet, FLEET_STEP_MS);
    }
  return fleet->now_ms - since_ms;
}
