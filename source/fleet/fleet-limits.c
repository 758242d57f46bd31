#include "fleet/fleet-imp.h"

#include "cowslipspoke/text.h"

#include <string.h>

/* Limits on healthy targets: cordoned data centres, cold targets, and targets
   that have asked for a backoff.

   Load pattern: a target is overloaded and says how long it wants no requests.
   Hosts that retry at once make it spend its time on refusals.  */

enum
{
  /* The longest backoff that is accepted; longer values are taken for
     errors.  */
  BACKOFF_MAX_MS = 3600000
};

static csp_cold_limit_t *
find_cold_limit (csp_fleet_t *fleet, const char *service)
{
  size_t i;

  for (i = 0; i < fleet->cold_limit_count; i++)
    if (strcmp (fleet->cold_limits[i].service, service) == 0)
      return &fleet->cold_limits[i];
  return NULL;
}

void
csp_apply_cold_limit (csp_fleet_t *fleet, csp_fleet_target_t *target)
{
  const csp_cold_limit_t *limit = find_cold_limit (fleet, target->row.service);

  csp_set_warmup_bound (&target->warmup,
                        limit == NULL ? 0 : limit->bound_per_s);
}

void
csp_assume_cold (csp_fleet_t *fleet, csp_fleet_target_t *target,
                 int64_t now_ms)
{
  const csp_cold_limit_t *limit = find_cold_limit (fleet, target->row.service);

  if (limit != NULL && target->warm_at_ms < now_ms + limit->cold_ms)
    target->warm_at_ms = now_ms + limit->cold_ms;
}

bool
csp_set_cold_limit (csp_fleet_t *fleet, const char *service, uint32_t cold_ms,
                    uint32_t bound_per_s)
{
  csp_cold_limit_t *limit = find_cold_limit (fleet, service);
  size_t i;

  if (limit == NULL && bound_per_s == 0)
    return true;
  if (limit == NULL && fleet->cold_limit_count == CSP_COLD_LIMITS_MAX)
    return false;
  if (limit == NULL)
    {
      limit = &fleet->cold_limits[fleet->cold_limit_count++];
      csp_copy_text (limit->service, sizeof limit->service, service);
    }
  limit->cold_ms = cold_ms;
  limit->bound_per_s = bound_per_s;
  for (i = 0; i < fleet->count; i++)
    csp_apply_cold_limit (fleet, fleet->targets[i]);
  return true;
}

bool
csp_is_cold_limited (const csp_fleet_target_t *target, int64_t now_ms)
{
  return now_ms < target->warm_at_ms && target->warmup.bound_per_s > 0;
}

bool
csp_may_assign_request (csp_fleet_target_t *target,
                        const csp_decider_role_t *role, int64_t now_ms)
{
  if (csp_is_cold_limited (target, now_ms)
      && (role == NULL
          || !csp_has_warmup_grant (&target->warmup, role, now_ms)))
    return false;
  return !target->rate_limited
         || (role != NULL
             && csp_has_rate_grant (&target->rate_limit, role, now_ms));
}

void
csp_note_request_assigned (csp_fleet_target_t *target,
                           const csp_decider_role_t *role, int64_t now_ms)
{
  if (csp_is_cold_limited (target, now_ms))
    csp_take_warmup_grant (&target->warmup, role, now_ms);
  if (target->rate_limited)
    csp_charge_rate_limit (&target->rate_limit, role, now_ms);
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
        csp_assume_cold (fleet, target, now_ms);
    }
  return result;
}

const csp_cordons_t *
csp_fleet_cordons (const csp_fleet_t *fleet)
{
  return fleet->cordons;
}

/* Whether the target is listed and doesn't leave.  */
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

void
csp_begin_target_trial (csp_fleet_t *fleet, csp_fleet_target_t *target,
                        uint32_t for_ms, int64_t now_ms)
{
  target->trial_until_ms = now_ms + for_ms;
  if (target->trial_until_ms > fleet->backoff_until_ms)
    fleet->backoff_until_ms = target->trial_until_ms;
}

void
csp_end_target_trial (csp_fleet_target_t *target)
{
  target->trial_until_ms = 0;
}

bool
csp_is_backed_off (const csp_fleet_target_t *target, int64_t now_ms)
{
  return now_ms < target->backoff_until_ms || now_ms < target->trial_until_ms;
}

bool
csp_has_other_target (const csp_fleet_t *fleet,
                      const csp_fleet_target_t *target, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < fleet->count; i++)
    if (fleet->targets[i] != target
        && fleet->targets[i]->group == target->group
        && csp_takes_new_work (fleet->targets[i])
        && !csp_is_backed_off (fleet->targets[i], now_ms))
      return true;
  return false;
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
                     int64_t now_ms, uint64_t *targets, size_t max_count)
{
  size_t listed = 0;
  size_t i;

  for (i = 0; now_ms < fleet->backoff_until_ms && i < fleet->count
              && listed < max_count;
       i++)
    if (csp_is_backed_off (fleet->targets[i], now_ms)
        && csp_takes_new_work (fleet->targets[i])
        && strcmp (fleet->targets[i]->row.service, service) == 0)
      targets[listed++] = fleet->targets[i]->hash;
  return listed;
}
