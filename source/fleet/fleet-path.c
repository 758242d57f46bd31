#include "fleet/fleet-imp.h"

#include <string.h>

/* Which targets this host reaches.

   Load pattern: a host loses its paths to some targets or to all, which other
   hosts still reach.  Each request that tried such a target would spend up to
   the time limit of a connection on it, so requests leave it out until a probe
   was answered.  */

enum
{
  /* A host reaches most targets if it doesn't reach one in so many.  */
  UNREACHED_DIVISOR = 4,
  /* A request that may run only once is lost where the connection is accepted
     and then reset.  */
  TRIAL_FOR_ALL_MS = 5000
};

bool
csp_is_target_reached (const csp_fleet_target_t *target)
{
  return !target->group->cut_off
         && (target->path_failed_ms == 0 || target->idle_link_count > 0);
}

bool
csp_may_use_path (const csp_fleet_target_t *target, bool repeatable,
                  int64_t now_ms)
{
  return csp_is_target_reached (target)
         || (target->trial_since_ms != 0 && !target->group->cut_off
             && (repeatable
                 || now_ms - target->trial_since_ms >= TRIAL_FOR_ALL_MS));
}

void
csp_let_requests_try_path (csp_fleet_target_t *target, int64_t now_ms)
{
  if (target->trial_since_ms == 0)
    target->trial_since_ms = now_ms;
}

/* Each request asks this, and almost always all targets are reached.  */
static bool
may_miss_targets (const csp_fleet_t *fleet)
{
  size_t i;

  for (i = 0; i < fleet->group_count; i++)
    if (fleet->groups[i]->cut_off)
      return true;
  return fleet->failed_path_count > 0;
}

size_t
csp_list_unreached_targets (const csp_fleet_t *fleet, const char *service,
                            uint64_t *targets, size_t max_count)
{
  size_t count = 0;
  size_t i;

  if (!may_miss_targets (fleet))
    return 0;
  for (i = 0; i < fleet->count && count < max_count; i++)
    {
      const csp_fleet_target_t *target = fleet->targets[i];

      if (csp_takes_new_work (target) && !csp_is_target_reached (target)
          && strcmp (target->group->service, service) == 0)
        targets[count++] = target->hash;
    }
  return count;
}

bool
csp_has_unreached_targets (const csp_fleet_t *fleet, const char *service)
{
  uint64_t target;

  return csp_list_unreached_targets (fleet, service, &target, 1) > 0;
}

bool
csp_reaches_most_targets (const csp_fleet_t *fleet, const char *service)
{
  size_t count = 0;
  size_t unreached = 0;
  size_t i;

  if (!may_miss_targets (fleet))
    return true;
  for (i = 0; i < fleet->count; i++)
    {
      const csp_fleet_target_t *target = fleet->targets[i];

      if (!csp_takes_new_work (target)
          || strcmp (target->group->service, service) != 0)
        continue;
      count++;
      unreached += !csp_is_target_reached (target);
    }
  return unreached * UNREACHED_DIVISOR <= count;
}

size_t
csp_count_reached_targets (const csp_fleet_t *fleet, const char *service)
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < fleet->count; i++)
    {
      const csp_fleet_target_t *target = fleet->targets[i];

      count += csp_takes_new_work (target) && !target->group->cut_off
               && target->path_failed_ms == 0
               && strcmp (target->group->service, service) == 0;
    }
  return count;
}

void
csp_note_path_failed (csp_fleet_t *fleet, csp_fleet_target_t *target,
                      int64_t now_ms)
{
  target->trial_since_ms = 0;
  if (target->path_failed_ms != 0)
    return;
  target->path_failed_ms = now_ms;
  fleet->failed_path_count++;
}

void
csp_note_path_works (csp_fleet_t *fleet, csp_fleet_target_t *target)
{
  if (target->path_failed_ms == 0)
    return;
  target->path_failed_ms = 0;
  target->trial_since_ms = 0;
  fleet->failed_path_count--;
}

size_t
csp_list_paths_to_probe (const csp_fleet_t *fleet, int64_t now_ms,
                         csp_fleet_target_t **targets, size_t max_count)
{
  size_t count = 0;
  size_t i;

  if (fleet->failed_path_count == 0)
    return 0;
  for (i = 0; i < fleet->count && count < max_count; i++)
    {
      csp_fleet_target_t *target = fleet->targets[i];

      if (target->path_failed_ms != 0 && target->state == CSP_FLEET_READY
          && !target->probing && target->trial_since_ms == 0
          && now_ms >= target->avoid_until_ms && now_ms >= target->probe_at_ms)
        targets[count++] = target;
    }
  return count;
}
