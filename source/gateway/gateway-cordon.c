#include "gateway/gateway-exchange-imp.h"

#include <string.h>

/* Effects of a cordon on this host: copies of runs in the data centre are
   given up, and requests that no target may serve any more are refused at
   once.  New requests avoid the data centre in the choice of targets; requests
   already running there end there.  */

enum
{
  /* Operators lift a cordon by hand, after seconds or hours.  */
  CORDONED_RETRY_MS = 1000,
  /* A run that was stopped for a move may resume at a cordoned target within
     this time, since its only copy is there.  Operators wait for seconds
     before they cut power.  */
  RESUME_WITHIN_MS = 1000
};

bool
csp_may_resume_at (const csp_gateway_t *gateway,
                   const csp_fleet_target_t *target)
{
  const csp_cordon_t *cordon = csp_find_cordon (
      csp_fleet_cordons (gateway->fleet), target->row.data_centre);

  return cordon == NULL
         || csp_gateway_now_ms (gateway) - cordon->since_ms < RESUME_WITHIN_MS;
}

void
csp_refuse_cordoned (csp_exchange_t *exchange)
{
  exchange->retry_after_ms = CORDONED_RETRY_MS;
  csp_fail_exchange (exchange, CSP_REASON_NO_TARGET,
                     "all data centres of its service are cordoned");
}

/* Refuse requests that wait for a placement on engines of which none may take
   them any more; they would wait until their deadline.  */
static void
refuse_waiting_requests (csp_gateway_t *gateway)
{
  csp_exchange_t *exchange;

  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    {
      if (exchange->asking && !exchange->asks_to_move
          && csp_is_service_cordoned (gateway->fleet, exchange->service->name))
        csp_refuse_cordoned (exchange);
    }
}

/* Give up the copies of runs at the data centre's targets.  Returns how many
   targets it has.  */
static size_t
drop_copies_in_data_centre (csp_gateway_t *gateway, const char *data_centre)
{
  size_t count = csp_fleet_size (gateway->fleet);
  size_t targets = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      const csp_fleet_target_t *target = csp_fleet_at (gateway->fleet, i);

      if (strcmp (target->row.data_centre, data_centre) != 0)
        continue;
      targets += target->state != CSP_FLEET_GONE;
      if (target->cordoned)
        csp_drop_copies_at (gateway, target);
    }
  return targets;
}

void
csp_apply_cordon (csp_gateway_t *gateway, const char *data_centre,
                  bool cordoned)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  csp_cordon_result_t result
      = csp_cordon_targets (gateway->fleet, data_centre, cordoned, now_ms);
  size_t targets;

  if (result == CSP_CORDON_UNCHANGED)
    return;
  targets = drop_copies_in_data_centre (gateway, data_centre);
  CSP_LOG (gateway->log,
           cordoned ? CSP_EVENT_CORDONED : CSP_EVENT_CORDON_LIFTED, NULL,
           csp_text ("data_centre", data_centre),
           csp_number ("targets", (int64_t)targets),
           csp_number ("age_ms", gateway->platform_read_ms == 0
                                     ? -1
                                     : now_ms - gateway->platform_read_ms),
           csp_text ("fault", result == CSP_CORDON_NO_MEMORY ? "out of memory"
                              : result == CSP_CORDON_INVALID_NAME ? "no name"
                                                                  : NULL));
  if (cordoned)
    refuse_waiting_requests (gateway);
  csp_schedule_placements (gateway);
}
