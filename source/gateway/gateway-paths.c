#include "gateway/gateway-imp.h"

#include <string.h>

/* How new connections to targets fare; see service-reach.h.  */

static size_t
count_ready_targets (const csp_gateway_t *gateway, uint32_t service)
{
  size_t groups = csp_count_fleet_groups (gateway->fleet);
  size_t count = 0;
  size_t i;

  for (i = 0; i < groups; i++)
    {
      const csp_fleet_group_t *group = csp_fleet_group_at (gateway->fleet, i);

      if (group->service_hash == service)
        count += group->ready_count;
    }
  return count;
}

void
csp_note_link_answered (csp_gateway_t *gateway,
                        const csp_fleet_target_t *target,
                        const csp_link_t *link)
{
  if (!csp_link_is_reused (link))
    csp_note_connection_answered (gateway->service_reach,
                                  target->group->service_hash);
}

void
csp_note_link_failed (csp_gateway_t *gateway, const csp_fleet_target_t *target,
                      const csp_link_t *link)
{
  uint32_t service = target->group->service_hash;

  if (csp_link_is_reused (link))
    return;
  gateway->counts.links_failed++;
  csp_note_connection_failed (gateway->service_reach, service, target->hash,
                              count_ready_targets (gateway, service),
                              csp_gateway_now_ms (gateway));
  csp_log_service_reach (gateway);
}

void
csp_log_service_reach (csp_gateway_t *gateway)
{
  size_t groups = csp_count_fleet_groups (gateway->fleet);
  size_t i;

  for (i = 0; i < groups; i++)
    {
      const csp_fleet_group_t *group = csp_fleet_group_at (gateway->fleet, i);
      uint32_t service = group->service_hash;
      bool reached = csp_is_service_reached (gateway->service_reach, service);

      if (csp_take_service_reach_change (gateway->service_reach, service))
        CSP_LOG (gateway->log,
                 reached ? CSP_EVENT_SERVICE_REACHED
                         : CSP_EVENT_SERVICE_UNREACHED,
                 NULL, csp_text ("service", group->service),
                 csp_number ("targets",
                             (int64_t)count_ready_targets (gateway, service)));
    }
}
