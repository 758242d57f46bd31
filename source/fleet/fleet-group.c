#include "fleet/fleet-imp.h"

#include "cowslipspoke/hash.h"
#include "cowslipspoke/text.h"

#include <stdlib.h>
#include <string.h>

/* Groups of targets: those of one service in one data centre.

   Load pattern: thousands of targets, of which a host uses a few at a time.
   What is the same for all targets of a group is kept once, so that a host's
   periodic work grows with the number of groups and not of targets.  */

static csp_fleet_group_t *
find_group (const csp_fleet_t *fleet, const csp_fleet_row_t *row)
{
  size_t i;

  for (i = 0; i < fleet->group_count; i++)
    {
      csp_fleet_group_t *group = fleet->groups[i];

      if (strcmp (group->service, row->service) == 0
          && strcmp (group->data_centre_name, row->data_centre) == 0)
        return group;
    }
  return NULL;
}

csp_fleet_group_t *
csp_find_or_add_group (csp_fleet_t *fleet, const csp_fleet_row_t *row)
{
  csp_fleet_group_t *group = find_group (fleet, row);
  csp_fleet_group_t **groups;

  if (group != NULL)
    return group;
  groups
      = csp_grow_array (fleet->groups, fleet->group_count,
                        &fleet->group_capacity, sizeof (csp_fleet_group_t *));
  if (groups == NULL)
    return NULL;
  fleet->groups = groups;
  group = calloc (1, sizeof *group);
  if (group == NULL)
    return NULL;
  csp_copy_text (group->service, sizeof group->service, row->service);
  csp_copy_text (group->data_centre_name, sizeof group->data_centre_name,
                 row->data_centre);
  group->service_hash = (uint32_t)csp_hash_pair ("service", row->service);
  group->data_centre
      = (uint32_t)csp_hash_pair ("data_centre", row->data_centre);
  fleet->groups[fleet->group_count++] = group;
  return group;
}

void
csp_leave_group (csp_fleet_target_t *target)
{
  csp_fleet_group_t *group = target->group;

  if (group == NULL)
    return;
  group->target_count--;
  group->ready_count -= target->state == CSP_FLEET_READY;
  group->damped_count -= csp_is_counted_damped (target);
  target->group = NULL;
}

void
csp_join_group (csp_fleet_target_t *target, csp_fleet_group_t *group)
{
  if (target->group == group)
    return;
  csp_leave_group (target);
  target->group = group;
  target->data_centre = group->data_centre;
  group->target_count++;
  group->ready_count += target->state == CSP_FLEET_READY;
  group->damped_count += csp_is_counted_damped (target);
}

void
csp_free_groups (csp_fleet_t *fleet)
{
  size_t i;

  for (i = 0; i < fleet->group_count; i++)
    free (fleet->groups[i]);
  free (fleet->groups);
}

size_t
csp_count_fleet_groups (const csp_fleet_t *fleet)
{
  return fleet->group_count;
}

csp_fleet_group_t *
csp_fleet_group_at (const csp_fleet_t *fleet, size_t index)
{
  return fleet->groups[index];
}

/* Whether a group before this one is of the same data centre.  */
static bool
is_counted_before (const csp_fleet_t *fleet, size_t index)
{
  size_t i;

  for (i = 0; i < index; i++)
    if (fleet->groups[i]->target_count > 0
        && fleet->groups[i]->data_centre == fleet->groups[index]->data_centre)
      return true;
  return false;
}

size_t
csp_count_target_data_centres (const csp_fleet_t *fleet)
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < fleet->group_count; i++)
    count
        += fleet->groups[i]->target_count > 0 && !is_counted_before (fleet, i);
  return count;
}

csp_fleet_target_t *
csp_pick_ready_target (const csp_fleet_t *fleet,
                       const csp_fleet_group_t *group, csp_random_t *random)
{
  size_t first;
  size_t i;

  if (group->ready_count == 0)
    return NULL;
  first = csp_random_below (random, (uint32_t)fleet->count);
  for (i = 0; i < fleet->count; i++)
    {
      csp_fleet_target_t *target = fleet->targets[(first + i) % fleet->count];

      if (target->group == group && target->state == CSP_FLEET_READY)
        return target;
    }
  return NULL;
}
