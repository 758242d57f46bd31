#include "gateway/gateway-imp.h"

/* What follows from the data centres that this host doesn't reach: targets
   there get nothing that may run only once, they are asked now and then
   whether they can be reached, and a host that reaches no engine at all says
   that it isn't ready.

   Failure: a data centre is cut off while it has no engine of its own, as its
   last ones were just taken away.  Its host went on taking callers and refused
   them all, though hosts elsewhere could have served them: on a day with a cut
   of six seconds 14 texts and 12 short requests of one data centre.  Not
   ready, it gets no new connections from the balancer within two seconds, and
   those that it turns away until then come back to a host that can.  */

enum
{
  /* What one crashed target does to the picture is over sooner.  */
  ISOLATED_AFTER_MS = 300,
  /* The balancer asks once a second and leaves a host out after two misses;
     some moments more until its callers go elsewhere.  */
  BALANCER_NOTICE_MS = 2200
};

/* Engines that a request could go to, and others that are listed.  */
typedef struct
{
  size_t reached;
  size_t cut_off;
} engine_count_t;

static void
judge_target (csp_gateway_t *gateway, csp_fleet_target_t *target,
              int64_t now_ms, engine_count_t *engines)
{
  bool cut = !csp_is_reached (gateway->reach, target->data_centre, now_ms);

  if (csp_take_reach_change (gateway->reach, target->data_centre, now_ms))
    CSP_LOG (gateway->log,
             cut ? CSP_EVENT_DATA_CENTRE_CUT : CSP_EVENT_DATA_CENTRE_REACHED,
             NULL, csp_text ("data_centre", target->row.data_centre));
  target->cut_off = cut;
  if (target->state != CSP_FLEET_READY
      || !csp_is_engine_target (gateway, target))
    return;
  if (!cut)
    engines->reached++;
  else
    engines->cut_off++;
  if (csp_take_reach_question (gateway->reach, target->data_centre, now_ms))
    csp_query_target (gateway, target, now_ms);
}

static void
judge_isolation (csp_gateway_t *gateway, const engine_count_t *engines,
                 int64_t now_ms)
{
  bool alone = engines->reached == 0 && engines->cut_off > 0;

  if (!alone)
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
  int64_t passed_ms
      = gateway->isolated_since_ms == 0
            ? 0
            : csp_gateway_now_ms (gateway) - gateway->isolated_since_ms;

  return passed_ms < BALANCER_NOTICE_MS
             ? (uint32_t)(BALANCER_NOTICE_MS - passed_ms)
             : 0;
}

void
csp_update_reachability (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  size_t count = csp_fleet_size (gateway->fleet);
  size_t first = count == 0 ? 0 : csp_random_below (&gateway->random, count);
  engine_count_t engines = { .reached = 0 };
  size_t i;

  /* From a random place on, so that not the same target is asked each time,
     which may be the one that is down.  */
  for (i = 0; i < count; i++)
    judge_target (gateway, csp_fleet_at (gateway->fleet, (first + i) % count),
                  now_ms, &engines);
  judge_isolation (gateway, &engines, now_ms);
}

void
csp_note_target_answered (csp_gateway_t *gateway,
                          const csp_fleet_target_t *target)
{
  csp_note_answer_from (gateway->reach, target->data_centre,
                        csp_gateway_now_ms (gateway));
}

void
csp_note_target_failed (csp_gateway_t *gateway,
                        const csp_fleet_target_t *target)
{
  csp_note_exchange_failed (gateway->reach, target->data_centre,
                            csp_gateway_now_ms (gateway));
  csp_update_reachability (gateway);
}
