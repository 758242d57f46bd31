#include "gateway/gateway-target-imp.h"

/* Handling of data centres that this host can't reach: targets there get no
   request that may run only once and are probed periodically, and a host that
   reaches no engine reports that it isn't ready.

   Failure: a data centre was cut off when its last engines had just been taken
   away.  Its host kept accepting callers and refused them all, though other
   hosts could have served them: a cut of six seconds lost 14 generations and
   12 short requests.  A host that isn't ready gets no new connections from the
   balancer within two seconds, and callers that it refuses until then retry at
   a host that reaches engines.  */

enum
{
  /* The effect of a single crashed target is over sooner.  */
  ISOLATED_AFTER_MS = 300,
  /* The balancer checks once a second and drops a host after two failures; its
     callers need a little longer to switch.  */
  BALANCER_NOTICE_MS = 2200
};

/* Ready engines that this host or one that it can relay requests to reaches,
   and those that are cut off.  */
typedef struct
{
  size_t reached;
  size_t cut_off;
} engine_count_t;

/* Targets are drawn at random for probes, as some of them may be down.  */
static void
probe_group (csp_gateway_t *gateway, const csp_fleet_group_t *group,
             int64_t now_ms)
{
  csp_fleet_target_t *target;

  if (!csp_take_reach_probe (gateway->reach, group->data_centre, now_ms))
    return;
  target = csp_pick_ready_target (gateway->fleet, group, &gateway->random);
  if (!target->probing)
    csp_probe_target (gateway, target, now_ms);
}

static void
update_group_reachability (csp_gateway_t *gateway, csp_fleet_group_t *group,
                           int64_t now_ms, engine_count_t *engines)
{
  bool cut = !csp_is_reachable (gateway->reach, group->data_centre, now_ms);

  if (csp_take_reach_change (gateway->reach, group->data_centre, now_ms))
    CSP_LOG (gateway->log,
             cut ? CSP_EVENT_DATA_CENTRE_CUT : CSP_EVENT_DATA_CENTRE_REACHED,
             NULL, csp_text ("data_centre", group->data_centre_name));
  group->cut_off = cut;
  group->cut_for_all
      = csp_is_cut_for_all (gateway->reach, group->data_centre, now_ms);
  if (group->ready_count == 0
      || !csp_is_engine_service (gateway, group->service))
    return;
  if ((!cut
       && csp_is_service_reached (gateway->service_reach, group->service_hash))
      || csp_has_relay_host (gateway->roster, group->service_hash, now_ms))
    engines->reached += group->ready_count;
  else
    engines->cut_off += group->ready_count;
  probe_group (gateway, group, now_ms);
}

static void
update_isolation (csp_gateway_t *gateway, const engine_count_t *engines,
                  int64_t now_ms)
{
  bool isolated = engines->reached == 0 && engines->cut_off > 0;

  if (!isolated)
    gateway->isolated_since_ms = 0;
  else if (gateway->isolated_since_ms == 0)
    gateway->isolated_since_ms = now_ms;
}

bool
csp_is_isolated (const csp_gateway_t *gateway)
{
  return gateway->isolated_since_ms != 0
         && csp_gateway_now_ms (gateway) - gateway->isolated_since_ms
                >= ISOLATED_AFTER_MS;
}

uint32_t
csp_isolated_retry_ms (const csp_gateway_t *gateway)
{
  int64_t elapsed_ms
      = gateway->isolated_since_ms == 0
            ? 0
            : csp_gateway_now_ms (gateway) - gateway->isolated_since_ms;

  return elapsed_ms < BALANCER_NOTICE_MS
             ? (uint32_t)(BALANCER_NOTICE_MS - elapsed_ms)
             : 0;
}

void
csp_update_reachability (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  size_t count = csp_count_fleet_groups (gateway->fleet);
  engine_count_t engines = { .reached = 0 };
  size_t i;

  for (i = 0; i < count; i++)
    update_group_reachability (gateway, csp_fleet_group_at (gateway->fleet, i),
                               now_ms, &engines);
  update_isolation (gateway, &engines, now_ms);
}

void
csp_note_target_answered (csp_gateway_t *gateway, csp_fleet_target_t *target)
{
  target->heard_ms = csp_gateway_now_ms (gateway);
  csp_note_target_answer_from (gateway->reach, target->data_centre,
                               target->heard_ms);
}

void
csp_note_target_failed (csp_gateway_t *gateway,
                        const csp_fleet_target_t *target)
{
  csp_note_exchange_failed (gateway->reach, target->data_centre,
                            csp_gateway_now_ms (gateway));
  csp_update_reachability (gateway);
}
