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
csp_is_counted_damped (const csp_fleet_target_t *target)
{
  return target->state == CSP_FLEET_READY
         && target->damping.state != CSP_TARGET_TRUSTED;
}

/* Follows a change of the damping: puts the target into the list of the damped
   ones or of the others with losses, and updates the count.  Nothing is
   recounted, as a decider may get thousands of losses at once.  A damped
   target keeps its place through further losses and its probation, as of
   those damped as often the one damped first is released first.  */
static void
follow_damping (csp_fleet_t *fleet, csp_fleet_target_t *target,
                bool was_counted, bool is_damped_now)
{
  target_entry_t *entry = csp_entry_of_target (target);
  bool restrained = target->damping.state != CSP_TARGET_TRUSTED;
  bool moves = is_damped_now || restrained != target->restrained
               || cds_list_empty (&entry->has_losses);

  target->restrained = restrained;
  target->group->damped_count += csp_is_counted_damped (target);
  target->group->damped_count -= was_counted;
  if (!moves)
    return;
  cds_list_del (&entry->has_losses);
  cds_list_add_tail (&entry->has_losses, restrained ? &fleet->damped_targets
                                                    : &fleet->lossy_targets);
}

/* Losses of a target that ends are no fault of its next state.  */
static void
ignore_losses (csp_damping_t *damping, uint32_t failures, int64_t now_ms)
{
  damping->known_failures = failures;
  if (damping->counted_from_ms < now_ms)
    damping->counted_from_ms = now_ms;
}

bool
csp_note_target_loss (csp_fleet_t *fleet, csp_fleet_target_t *target,
                      const csp_damping_report_t *report, int64_t now_ms)
{
  bool was_counted = csp_is_counted_damped (target);
  bool damped = false;

  /* A forgotten loss that is still reported.  */
  if (cds_list_empty (&csp_entry_of_target (target)->has_losses)
      && report->age_ms >= CSP_LOSS_REPORTED_MS)
    return false;
  if (target->state == CSP_FLEET_LEAVING || target->state == CSP_FLEET_GONE)
    ignore_losses (&target->damping, report->failures, now_ms);
  else
    damped = csp_note_damping_report (&target->damping, report, now_ms);
  follow_damping (fleet, target, was_counted, damped);
  return damped;
}

bool
csp_has_lossy_targets (csp_fleet_t *fleet)
{
  return !cds_list_empty (&fleet->lossy_targets)
         || !cds_list_empty (&fleet->damped_targets);
}

size_t
csp_count_dampings (const csp_fleet_t *fleet, csp_damping_state_t state)
{
  const target_entry_t *entry;
  size_t count = 0;

  cds_list_for_each_entry (entry, &fleet->damped_targets, has_losses)
  {
    count += entry->target.damping.state == state
             && entry->target.state == CSP_FLEET_READY;
  }
  return count;
}

/* Ready targets of a service, and those damped or on probation, in all data
   centres.  */
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

/* Releases the target of a service that was damped the fewest times, of these
   the one that was damped first, in one group or in all of them (group is
   NULL).  One that was damped again and again will probably fail again.  False
   if there is none.  */
static bool
release_one (csp_fleet_t *fleet, const char *service,
             const csp_fleet_group_t *group, const csp_damping_watch_t *watch,
             int64_t now_ms)
{
  csp_fleet_target_t *released = NULL;
  target_entry_t *entry;

  cds_list_for_each_entry (entry, &fleet->damped_targets, has_losses)
  {
    csp_fleet_target_t *target = &entry->target;

    if (csp_is_counted_damped (target)
        && strcmp (target->group->service, service) == 0
        && (group == NULL || target->group == group)
        && (released == NULL
            || target->damping.times < released->damping.times))
      released = target;
  }
  if (released == NULL)
    return false;
  csp_release_damping (&released->damping, now_ms);
  follow_damping (fleet, released, true, false);
  watch->on_changed (watch->state, released, true);
  return true;
}

void
csp_limit_dampings (csp_fleet_t *fleet, csp_fleet_group_t *group,
                    const csp_damping_watch_t *watch, int64_t now_ms)
{
  service_count_t count;

  while (group->damped_count
             > csp_max_damped_targets ((uint32_t)group->ready_count)
         && release_one (fleet, group->service, group, watch, now_ms))
    continue;
  if (group->damped_count == 0)
    return;
  count = count_service (fleet, group->service);
  while (count.damped > csp_max_damped_targets ((uint32_t)count.ready)
         && release_one (fleet, group->service, NULL, watch, now_ms))
    count.damped--;
}

void
csp_update_target_damping (csp_fleet_t *fleet, csp_fleet_target_t *target,
                           const csp_damping_watch_t *watch, int64_t now_ms)
{
  bool was_counted = csp_is_counted_damped (target);

  if (!csp_update_damping (&target->damping, now_ms))
    return;
  follow_damping (fleet, target, was_counted, false);
  if (target->state != CSP_FLEET_GONE)
    watch->on_changed (watch->state, target, false);
}

/* Whether the target has nothing left that damping depends on.  */
static bool
is_forgotten (const csp_fleet_target_t *target, int64_t now_ms)
{
  return !target->restrained && target->damping.times == 0
         && now_ms - target->damping.failed_ms > CSP_LOSS_REPORTED_MS;
}

static void
update_list (csp_fleet_t *fleet, struct cds_list_head *list,
             const csp_damping_watch_t *watch, int64_t now_ms)
{
  target_entry_t *entry;
  target_entry_t *next;

  cds_list_for_each_entry_safe (entry, next, list, has_losses)
  {
    csp_fleet_target_t *target = &entry->target;

    csp_settle_target_failures (target);
    csp_update_target_damping (fleet, target, watch, now_ms);
    if (!is_forgotten (target, now_ms))
      continue;
    cds_list_del_init (&entry->has_losses);
    /* Counts that fall aren't followed any more, so the next loss that isn't
       old is a new one whatever the count.  */
    target->damping.known_failures = 0;
  }
}

void
csp_update_dampings (csp_fleet_t *fleet, const csp_damping_watch_t *watch,
                     int64_t now_ms)
{
  size_t i;

  if (!csp_has_lossy_targets (fleet))
    return;
  update_list (fleet, &fleet->damped_targets, watch, now_ms);
  update_list (fleet, &fleet->lossy_targets, watch, now_ms);
  /* Fewer targets may be ready.  */
  for (i = 0; i < fleet->group_count; i++)
    csp_limit_dampings (fleet, fleet->groups[i], watch, now_ms);
}
