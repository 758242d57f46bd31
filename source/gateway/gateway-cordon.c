#include "gateway/gateway-exchange-imp.h"

#include <string.h>

/* What follows on a host where operators cordon a data centre: copies there
   are given up, and requests that nobody may serve any more are turned away at
   once.  Where new requests go is the choice of targets' matter; what runs in
   the data centre ends there.  */

enum
{
  /* Operators put a data centre back by hand, in seconds or hours.  */
  CORDONED_RETRY_MS = 1000,
  /* A run that was stopped for a move goes on within that, or is lost: its
     memory lies nowhere else.  Operators wait for seconds before they take
     power away.  */
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

/* Requests that wait for a place at engines of which none may take them any
   more would wait until their time is over, and their callers with them.  */
static void
refuse_waiting (csp_gateway_t *gateway)
{
  csp_exchange_t *exchange = gateway->exchanges;

  while (exchange != NULL)
    {
      csp_exchange_t *next = exchange->next;

      if (exchange->asking && !exchange->asks_to_move
          && csp_is_service_cordoned (gateway->fleet, exchange->service->name))
        csp_refuse_cordoned (exchange);
      exchange = next;
    }
}

/* Copies of runs lie at these targets, or are on their way there.  */
static size_t
leave_data_centre (csp_gateway_t *gateway, const char *data_centre)
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

  if (result == CSP_CORDON_AS_BEFORE)
    return;
  targets = leave_data_centre (gateway, data_centre);
  CSP_LOG (gateway->log,
           cordoned ? CSP_EVENT_CORDONED : CSP_EVENT_CORDON_LIFTED, NULL,
           csp_text ("data_centre", data_centre),
           csp_number ("targets", (int64_t)targets),
           csp_number ("age_ms", gateway->platform_read_ms == 0
                                     ? -1
                                     : now_ms - gateway->platform_read_ms),
           csp_text ("fault", result == CSP_CORDON_NO_MEMORY ? "out of memory"
                              : result == CSP_CORDON_NO_NAME ? "no name"
                                                             : NULL));
  if (cordoned)
    refuse_waiting (gateway);
  csp_place_waiting_asks (gateway);
}
