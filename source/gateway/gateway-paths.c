#include "gateway/gateway-exchange-imp.h"

/* Which targets this host reaches, by how its new connections to them fare;
   see service-reach.h.  */

enum
{
  PROBES_PER_TICK = 4,
  /* Each probe of an unreached target is a connection, and the target may be
     down.  */
  PROBE_PERIOD_MS = 250,
  /* Targets of plain services answer sooner, and engines send events of a run
     more often.  */
  SILENT_MS = 300,
  /* Engines read a prompt before the first event.  */
  SILENT_START_MS = 1000,
  SILENT_PROBE_PERIOD_MS = 1000
};

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
csp_note_link_answered (csp_gateway_t *gateway, csp_fleet_target_t *target,
                        const csp_link_t *link)
{
  if (csp_link_is_reused (link))
    return;
  csp_note_path_works (gateway->fleet, target);
  csp_note_connection_answered (gateway->service_reach,
                                target->group->service_hash);
}

static void
probe_path (csp_gateway_t *gateway, csp_fleet_target_t *target, int64_t now_ms)
{
  target->probe_at_ms = now_ms + PROBE_PERIOD_MS;
  if (!csp_probe_target (gateway, target, now_ms))
    csp_let_requests_try_path (target, now_ms);
}

/* A random target of each data centre: that the service is unreached may be
   inferred from the failure of a few others.  */
static void
probe_service (csp_gateway_t *gateway, uint32_t service, int64_t now_ms)
{
  size_t groups = csp_count_fleet_groups (gateway->fleet);
  size_t i;

  for (i = 0; i < groups; i++)
    {
      const csp_fleet_group_t *group = csp_fleet_group_at (gateway->fleet, i);
      csp_fleet_target_t *target
          = group->service_hash != service
                ? NULL
                : csp_pick_ready_target (gateway->fleet, group,
                                         &gateway->random);

      if (target != NULL && !target->probing)
        probe_path (gateway, target, now_ms);
    }
}

static void
probe_unreached_services (csp_gateway_t *gateway, int64_t now_ms)
{
  uint32_t services[CSP_UNREACHED_SERVICES_MAX];
  size_t count = csp_list_unreached_services (gateway->service_reach, services,
                                              CSP_UNREACHED_SERVICES_MAX);
  size_t i;

  for (i = 0; i < count; i++)
    if (csp_take_service_probe (gateway->service_reach, services[i], now_ms))
      probe_service (gateway, services[i], now_ms);
}

/* Where new connections are refused, open ones may live on; where they hang,
   open ones hang as well.  */
void
csp_note_link_failed (csp_gateway_t *gateway, csp_fleet_target_t *target,
                      const csp_link_t *link)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  uint32_t service = target->group->service_hash;

  if (csp_link_is_reused (link))
    return;
  gateway->counts.links_failed++;
  csp_note_path_failed (gateway->fleet, target, now_ms);
  if (csp_link_timed_out (link))
    csp_close_idle_links (target);
  csp_note_connection_failed (gateway->service_reach, service, target->hash,
                              count_ready_targets (gateway, service), now_ms);
  csp_log_service_reach (gateway);
  /* Where other targets are reached, requests take the longer way only until
     the first probe is answered.  */
  probe_unreached_services (gateway, now_ms);
}

/* A connection that was silent for a while may be dead.  Whether its target is
   still reached is tried with another one; the request itself goes on.  */
static void
probe_silent_targets (csp_gateway_t *gateway, int64_t now_ms)
{
  int64_t start_limit_ms = csp_extend_timeout_ms (gateway, SILENT_START_MS);
  int64_t limit_ms = csp_extend_timeout_ms (gateway, SILENT_MS);
  csp_exchange_t *exchange;

  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    {
      csp_fleet_target_t *target = exchange->target;
      int64_t silent_ms = exchange->service != NULL
                                  && exchange->service->is_engine
                                  && exchange->run_started_ms == 0
                              ? start_limit_ms
                              : limit_ms;

      if (target == NULL || exchange->link == NULL
          || target->state != CSP_FLEET_READY || target->probing
          || now_ms < target->probe_at_ms
          || now_ms - exchange->last_data_ms < silent_ms
          || now_ms - target->heard_ms < silent_ms)
        continue;
      target->probe_at_ms = now_ms + SILENT_PROBE_PERIOD_MS;
      csp_probe_target (gateway, target, now_ms);
    }
}

void
csp_probe_paths (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  csp_fleet_target_t *targets[PROBES_PER_TICK];
  size_t count;
  size_t i;

  if (gateway->routes == NULL)
    return;
  probe_unreached_services (gateway, now_ms);
  count = csp_list_paths_to_probe (gateway->fleet, now_ms, targets,
                                   PROBES_PER_TICK);
  for (i = 0; i < count; i++)
    probe_path (gateway, targets[i], now_ms);
  probe_silent_targets (gateway, now_ms);
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
