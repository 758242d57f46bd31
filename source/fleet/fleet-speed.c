#include "fleet/fleet-imp.h"

#include "cowslipspoke/text.h"

#include <string.h>

/* Rating of a service's targets against each other, see speed.h.  */

enum
{
  RATING_PERIOD_MS = 100,
  /* Longer by a ms for each so many targets of the fleet: rating 12,000 takes
     4 to 5 ms.  */
  TARGETS_PER_MS = 10
};

/* The record of a service, added if it is new; NULL when memory allocation
   fails.  */
static csp_service_speed_t *
find_or_add_service (csp_fleet_t *fleet, const char *service)
{
  csp_service_speed_t *speeds;
  size_t i;

  for (i = 0; i < fleet->service_speed_count; i++)
    if (strcmp (fleet->service_speeds[i].service, service) == 0)
      return &fleet->service_speeds[i];
  speeds = csp_grow_array (fleet->service_speeds, fleet->service_speed_count,
                           &fleet->service_speed_capacity, sizeof *speeds);
  if (speeds == NULL)
    return NULL;
  fleet->service_speeds = speeds;
  speeds += fleet->service_speed_count++;
  *speeds = (csp_service_speed_t){ .stretch = 1 };
  csp_copy_text (speeds->service, sizeof speeds->service, service);
  return speeds;
}

/* Gathers the speeds that are known of a service's targets.  Targets that are
   missing because memory is short aren't rated.  */
static size_t
gather_speeds (csp_fleet_t *fleet, const char *service)
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < fleet->count; i++)
    {
      csp_fleet_target_t *target = fleet->targets[i];
      csp_speed_t **rated;

      if (target->speed.reports == 0 || target->state == CSP_FLEET_GONE
          || strcmp (target->group->service, service) != 0)
        continue;
      rated = csp_grow_array (fleet->rated, count, &fleet->rated_capacity,
                              sizeof (csp_speed_t *));
      if (rated == NULL)
        return count;
      fleet->rated = rated;
      fleet->rated[count++] = &target->speed;
    }
  return count;
}

double
csp_rate_service_targets (csp_fleet_t *fleet, const char *service,
                          int64_t now_ms)
{
  csp_service_speed_t *speed = find_or_add_service (fleet, service);
  size_t count;

  if (speed == NULL)
    return 1;
  if (now_ms < speed->rate_at_ms)
    return speed->stretch;
  speed->rate_at_ms
      = now_ms + RATING_PERIOD_MS + (int64_t)(fleet->count / TARGETS_PER_MS);
  count = gather_speeds (fleet, service);
  speed->stretch = csp_rate_speeds (fleet->rated, count, now_ms);
  return speed->stretch;
}

size_t
csp_count_rated_services (const csp_fleet_t *fleet)
{
  return fleet->service_speed_count;
}

const csp_service_speed_t *
csp_rated_service_at (const csp_fleet_t *fleet, size_t index)
{
  return &fleet->service_speeds[index];
}
