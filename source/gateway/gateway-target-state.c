#include "gateway/gateway-exchange-imp.h"

/* What targets report of themselves in the heads of their answers, independent
   of the answer: that they leave, that hosts should back off, or a rate
   limit.  */

enum
{
  STATUS_MISDIRECTED = 421,
  STATUS_UNAVAILABLE = 503,
  /* Hosts and callers that were given the same moment return at random times
     within a part of the wait.  */
  SPREAD_MIN_MS = 200,
  SPREAD_DIVISOR = 4
};

bool
csp_head_announces_leaving (const csp_gateway_t *gateway,
                            const csp_http_head_t *head)
{
  return csp_find_http_field (head,
                              gateway->dialect->names[CSP_HEADER_LEAVING])
         != NULL;
}

/* Refuse the requests that wait for a placement now; they would get the same
   refusal later.  */
static void
refuse_waiting_requests (csp_gateway_t *gateway)
{
  csp_exchange_t *exchange;

  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    {
      if (exchange->asking && !exchange->asks_to_move
          && csp_is_service_backed_off (exchange))
        csp_refuse_backed_off (exchange);
    }
}

void
csp_begin_backoff (csp_gateway_t *gateway, csp_fleet_target_t *target,
                   uint32_t wait_ms, const char *cause)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);

  csp_back_off_target (gateway->fleet, target, wait_ms, now_ms);
  gateway->counts.backoffs++;
  CSP_LOG (gateway->log, CSP_EVENT_TARGET_BACKED_OFF, NULL,
           csp_text ("target", target->row.id), csp_text ("cause", cause),
           csp_number ("wait_ms", wait_ms),
           csp_number ("left_ms", target->backoff_until_ms - now_ms));
}

static void
handle_backoff (csp_gateway_t *gateway, csp_fleet_target_t *target,
                const char *retry_after)
{
  uint32_t wait_ms;

  if (!csp_parse_http_seconds (retry_after, &wait_ms))
    {
      CSP_LOG (gateway->log, CSP_EVENT_BACKOFF_BAD, NULL,
               csp_text ("target", target->row.id),
               csp_text ("value", retry_after));
      return;
    }
  csp_begin_backoff (gateway, target, wait_ms, "asked for");
  refuse_waiting_requests (gateway);
}

void
csp_handle_refusal_limit (csp_gateway_t *gateway, csp_fleet_target_t *target,
                          const csp_http_head_t *head)
{
  const char *value = csp_find_http_field (
      head, gateway->dialect->names[CSP_HEADER_REFUSAL_LIMIT]);
  double max_per_s;
  uint32_t pause_ms;

  if (value == NULL)
    return;
  if (!csp_parse_rate (value, &max_per_s))
    {
      CSP_LOG (gateway->log, CSP_EVENT_BACKOFF_BAD, NULL,
               csp_text ("target", target->row.id), csp_text ("value", value));
      return;
    }
  pause_ms = csp_refusal_pause_ms (max_per_s,
                                   csp_count_live_peers (gateway->roster) + 1);
  csp_back_off_target (gateway->fleet, target, pause_ms,
                       csp_gateway_now_ms (gateway));
  gateway->counts.refusal_pauses++;
  refuse_waiting_requests (gateway);
}

void
csp_handle_target_state (csp_gateway_t *gateway, csp_fleet_target_t *target,
                         const csp_http_head_t *head, int64_t sent_ms)
{
  const char *retry_after = csp_find_http_field (head, "Retry-After");

  /* Another target answers at this address, and reports its own state.  */
  if (head->status == STATUS_MISDIRECTED)
    return;
  if (csp_head_announces_leaving (gateway, head))
    csp_announce_leaving (gateway, target);
  csp_handle_rate_limit (gateway, target, head, sent_ms);
  if (head->status == STATUS_UNAVAILABLE && retry_after != NULL)
    handle_backoff (gateway, target, retry_after);
}

bool
csp_is_service_backed_off (const csp_exchange_t *exchange)
{
  return csp_service_backoff_ms (exchange->gateway->fleet,
                                 exchange->service->name,
                                 csp_gateway_now_ms (exchange->gateway))
         > 0;
}

uint32_t
csp_spread_wait_ms (csp_gateway_t *gateway, uint32_t wait_ms)
{
  uint32_t spread_ms = wait_ms / SPREAD_DIVISOR + SPREAD_MIN_MS;

  return wait_ms + csp_random_below (&gateway->random, spread_ms);
}

void
csp_refuse_backed_off (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  uint32_t left_ms = csp_service_backoff_ms (
      gateway->fleet, exchange->service->name, csp_gateway_now_ms (gateway));

  exchange->retry_after_ms = csp_spread_wait_ms (gateway, left_ms);
  csp_fail_exchange (exchange, CSP_REASON_NO_TARGET,
                     "all targets of its service want a wait");
}
