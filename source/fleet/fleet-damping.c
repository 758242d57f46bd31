#include "fleet/fleet-imp.h"

#include <string.h>

/* Damping of the fleet's targets, see damping.h.  Targets without losses
   aren't looked at, so that the periodic work grows with the number of those
   that have some.  */

uint32_t
csp_count_target_failures (const csp_fleet_target_t *target)
{
  return target->peer_failures + target->own_failures;
}

void
csp_settle_target_failures (csp_fleet_target_t *target)
{
  uint32_t failures = csp_count_target_failures (target);

  if (target->damping.known_failures > failures)
    target->damping.known_failures = failures;
}

bool
csp_note_target_loss (csp_fleet_t *fleet, csp_fleet_target_t *target,
                      const csp_damping_report_t *report, int64_t now_ms)
{
  target_entry_t *entry = csp_entry_of_target (target);
  bool damped = csp_note_damping_report (&target->damping, report, now_ms);

  target->restrained = target->damping.state != CSP_TARGET_TRUSTED;
  if (cds_list_empty (&entry->has_losses))
    cds_list_add_tail (&entry->has_losses, &fleet->lossy_targets);
  return damped;
}

bool
csp_has_lossy_targets (csp_fleet_t *fleet)
{
  return !cds_list_empty (&fleet->lossy_targets);
}

static bool
is_counted (const csp_fleet_target_t *target, csp_damping_state_t state)
{
  return target->damping.state == state && target->state == CSP_FLEET_READY;
}

size_t
csp_count_dampings (const csp_fleet_t *fleet, csp_damping_state_t state)
{
  const target_entry_t *entry;
  size_t count = 0;

  cds_list_for_each_entry (entry, &fleet->lossy_targets, has_losses) count
      += is_counted (&entry->target, state);
  return count;
}

/* Ready and damped targets of a service, in all data centres.  */
typedef struct
{
  size_t ready;
  size_t damped;
} service_count_t;

static service_count_t
count_service (const csp_fleet_t *fleet, const char *service)
{
  service_count_t count = { 0, 0 };
  size_t i;

  for (i = 0; i < fleet->group_count; i++)
    if (strcmp (fleet->groups[i]->service, service) == 0)
      {
        count.ready += fleet->groups[i]->ready_count;
        count.damped += fleet->groups[i]->damped_count;
      }
  return count;
}

static void
count_damped (csp_fleet_t *fleet)
{
  target_entry_t *entry;
  size_t i;

  for (i = 0; i < fleet->group_count; i++)
    fleet->groups[i]->damped_count = 0;
  cds_list_for_each_entry (entry, &fleet->lossy_targets, has_losses)
      entry->target.group->damped_count
      += is_counted (&entry->target, CSP_TARGET_DAMPED);
}

/* Releases the target of a service that was damped first, in one group or in
   all of them (group is NULL).  */
static void
release_first (csp_fleet_t *fleet, const char *service,
               const csp_fleet_group_t *group,
               const csp_damping_watch_t *watch, int64_t now_ms)
{
  csp_fleet_target_t *first = NULL;
  target_entry_t *entry;

  cds_list_for_each_entry (entry, &fleet->lossy_targets, has_losses)
  {
    csp_fleet_target_t *target = &entry->target;

    if (is_counted (target, CSP_TARGET_DAMPED)
        && strcmp (target->group->service, service) == 0
        && (group == NULL || target->group == group)
        && (first == NULL
            || target->damping.changed_ms < first->damping.changed_ms))
      first = target;
  }
  if (first == NULL)
    return;
  csp_release_damping (&first->damping, now_ms);
  first->group->damped_count--;
  watch->on_changed (watch->state, first, true);
}

void
csp_limit_dampings (csp_fleet_t *fleet, const csp_damping_watch_t *watch,
                    int64_t now_ms)
{
  size_t i;

  if (!csp_has_lossy_targets (fleet))
    return;
  count_damped (fleet);
  for (i = 0; i < fleet->group_count; i++)
    {
      csp_fleet_group_t *group = fleet->groups[i];
      service_count_t count;

      while (group->damped_count
             > csp_max_damped_targets ((uint32_t)group->ready_count))
        release_first (fleet, group->service, group, watch, now_ms);
      if (group->damped_count == 0)
        continue;
      for (count = count_service (fleet, group->service);
           count.damped > csp_max_damped_targets ((uint32_t)count.ready);
           count.damped--)
        release_first (fleet, group->service, NULL, watch, now_ms);
    }
}

void
csp_update_dampings (csp_fleet_t *fleet, const csp_damping_watch_t *watch,
                     int64_t now_ms)
{
  target_entry_t *entry;
  target_entry_t *next;

  cds_list_for_each_entry_safe (entry, next, &fleet->lossy_targets, has_losses)
  {
    csp_fleet_target_t *target = &entry->target;

    csp_settle_target_failures (target);
    if (csp_update_damping (&target->damping, now_ms)
        && target->state != CSP_FLEET_GONE)
      watch->on_changed (watch->state, target, false);
    target->restrained = target->damping.state != CSP_TARGET_TRUSTED;
    if (!target->restrained && target->damping.times == 0
        && target->damping.known_failures == 0)
      cds_list_del_init (&entry->has_losses);
  }
  csp_limit_dampings (fleet, watch, now_ms);
}
