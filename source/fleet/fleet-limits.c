#include "fleet/fleet-imp.h"

#include "cowslipspoke/text.h"

#include <string.h>

/* Targets that are sound and may get nothing, or only so much: those in data
   centres that operators have cordoned, cold ones, and those that have asked
   for a wait.

   Load pattern: a target is swamped and says for how long it wants to be left
   alone.  Where hosts try it again at once it spends its time on refusals.  */

enum
{
  /* A target that asks for more is taken not to know what it says.  */
  BACKOFF_MAX_MS = 3600000
};

static csp_cold_service_t *
find_cold_service (csp_fleet_t *fleet, const char *service)
{
  size_t i;

  for (i = 0; i < fleet->cold_count; i++)
    if (strcmp (fleet->cold[i].service, service) == 0)
      return &fleet->cold[i];
  return NULL;
}

void
csp_pace_target (csp_fleet_t *fleet, csp_fleet_target_t *target)
{
  const csp_cold_service_t *cold
      = find_cold_service (fleet, target->row.service);

  csp_set_warmup_bound (&target->warmup, cold == NULL ? 0 : cold->bound_per_s);
}

void
csp_expect_cold (csp_fleet_t *fleet, csp_fleet_target_t *target,
                 int64_t now_ms)
{
  const csp_cold_service_t *cold
      = find_cold_service (fleet, target->row.service);

  if (cold != NULL && target->warm_at_ms < now_ms + cold->cold_ms)
    target->warm_at_ms = now_ms + cold->cold_ms;
}

bool
csp_set_cold_bound (csp_fleet_t *fleet, const char *service, uint32_t cold_ms,
                    uint32_t bound_per_s)
{
  csp_cold_service_t *cold = find_cold_service (fleet, service);
  size_t i;

  if (cold == NULL && bound_per_s == 0)
    return true;
  if (cold == NULL && fleet->cold_count == CSP_COLD_SERVICES_MAX)
    return false;
  if (cold == NULL)
    {
      cold = &fleet->cold[fleet->cold_count++];
      csp_copy_text (cold->service, sizeof cold->service, service);
    }
  cold->cold_ms = cold_ms;
  cold->bound_per_s = bound_per_s;
  for (i = 0; i < fleet->count; i++)
    csp_pace_target (fleet, fleet->targets[i]);
  return true;
}

bool
csp_is_paced (const csp_fleet_target_t *target, int64_t now_ms)
{
  return target->warmup.bound_per_s > 0 && now_ms < target->warm_at_ms;
}

bool
csp_may_give_place (csp_fleet_target_t *target, const csp_warmup_duty_t *duty,
                    int64_t now_ms)
{
  return !csp_is_paced (target, now_ms)
         || (duty != NULL
             && csp_has_warmup_place (&target->warmup, duty, now_ms));
}

void
csp_note_place_given (csp_fleet_target_t *target,
                      const csp_warmup_duty_t *duty, int64_t now_ms)
{
  if (csp_is_paced (target, now_ms))
    csp_take_warmup_place (&target->warmup, duty, now_ms);
}

csp_cordon_result_t
csp_cordon_targets (csp_fleet_t *fleet, const char *data_centre, bool cordoned,
                    int64_t now_ms)
{
  csp_cordon_result_t result
      = csp_set_cordon (fleet->cordons, data_centre, cordoned, now_ms);
  size_t i;

  if (result != CSP_CORDON_CHANGED)
    return result;
  for (i = 0; i < fleet->count; i++)
    {
      csp_fleet_target_t *target = fleet->targets[i];

      if (strcmp (target->row.data_centre, data_centre) != 0)
        continue;
      target->cordoned = cordoned;
      if (!cordoned)
        csp_expect_cold (fleet, target, now_ms);
    }
  return result;
}

const csp_cordons_t *
csp_fleet_cordons (const csp_fleet_t *fleet)
{
  return fleet->cordons;
}

/* Whether it serves, by the list.  */
static bool
is_serving (const csp_fleet_target_t *target)
{
  return target->state == CSP_FLEET_READY || target->state == CSP_FLEET_LAPSED;
}

bool
csp_takes_new_work (const csp_fleet_target_t *target)
{
  return is_serving (target) && !target->cordoned;
}

bool
csp_is_service_cordoned (const csp_fleet_t *fleet, const char *service)
{
  bool cordoned = false;
  size_t i;

  for (i = 0; i < fleet->count; i++)
    {
      const csp_fleet_target_t *target = fleet->targets[i];

      if (!is_serving (target) || strcmp (target->row.service, service) != 0)
        continue;
      if (!target->cordoned)
        return false;
      cordoned = true;
    }
  return cordoned;
}

void
csp_back_off_target (csp_fleet_t *fleet, csp_fleet_target_t *target,
                     uint32_t for_ms, int64_t now_ms)
{
  int64_t until_ms
      = now_ms + (for_ms < BACKOFF_MAX_MS ? for_ms : BACKOFF_MAX_MS);

  if (until_ms > target->backoff_until_ms)
    target->backoff_until_ms = until_ms;
  if (until_ms > fleet->backoff_until_ms)
    fleet->backoff_until_ms = until_ms;
}

bool
csp_is_backed_off (const csp_fleet_target_t *target, int64_t now_ms)
{
  return now_ms < target->backoff_until_ms;
}

uint32_t
csp_service_backoff_ms (const csp_fleet_t *fleet, const char *service,
                        int64_t now_ms)
{
  int64_t least_ms = 0;
  size_t i;

  for (i = 0; now_ms < fleet->backoff_until_ms && i < fleet->count; i++)
    {
      const csp_fleet_target_t *target = fleet->targets[i];
      int64_t left_ms = target->backoff_until_ms - now_ms;

      if (!csp_takes_new_work (target)
          || strcmp (target->row.service, service) != 0)
        continue;
      if (left_ms <= 0)
        return 0;
      if (least_ms == 0 || left_ms < least_ms)
        least_ms = left_ms;
    }
  return (uint32_t)least_ms;
}

size_t
csp_list_backed_off (const csp_fleet_t *fleet, const char *service,
                     int64_t now_ms, uint64_t *targets, size_t room)
{
  size_t listed = 0;
  size_t i;

  for (i = 0;
       now_ms < fleet->backoff_until_ms && i < fleet->count && listed < room;
       i++)
    if (csp_is_backed_off (fleet->targets[i], now_ms)
        && csp_takes_new_work (fleet->targets[i])
        && strcmp (fleet->targets[i]->row.service, service) == 0)
      targets[listed++] = fleet->targets[i]->hash;
  return listed;
}
