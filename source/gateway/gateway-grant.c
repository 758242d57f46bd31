#include "gateway/gateway-exchange-imp.h"

/* Grants to send requests to rate limited targets, see rate-limit.h.  The
   decider grants them along with placements on engines; for other requests a
   host asks it and holds the request for the short time that takes.  */

enum
{
  /* A round trip between hosts and a short delay at a busy host.  */
  GRANT_WAIT_MS = 60,
  /* A request for a grant or its answer may be lost.  */
  GRANT_RESEND_MS = 25,
  /* When to ask again a decider that doesn't answer; another host may have
     taken over by then.  */
  SILENT_ASK_AGAIN_MS = 250
};

static bool
decides (const csp_gateway_t *gateway)
{
  return csp_is_same_peer (gateway->decider, gateway->self);
}

/* Decide on a request for a grant.  */
static csp_hello_grant_t
decide_grant (csp_gateway_t *gateway, csp_fleet_target_t *target, uint64_t id)
{
  csp_decider_role_t role = csp_get_decider_role (gateway);
  csp_hello_grant_t grant = { .target = target->hash, .id = id };

  grant.granted
      = csp_take_rate_grant (&target->rate_limit, &role,
                             csp_gateway_now_ms (gateway), &grant.wait_ms);
  gateway->counts.rate_grants += grant.granted;
  return grant;
}

static void
note_refusal (csp_exchange_t *exchange, csp_fleet_target_t *target,
              uint32_t wait_ms, bool answered)
{
  csp_gateway_t *gateway = exchange->gateway;
  int64_t now_ms = csp_gateway_now_ms (gateway);

  csp_note_rate_refusal (&target->rate_limit, wait_ms, now_ms);
  CSP_LOG (gateway->log, CSP_EVENT_RATE_GRANT_REFUSED, exchange->request_id,
           csp_text ("target", target->row.id),
           csp_number ("wait_ms", wait_ms),
           csp_number ("waited_ms", now_ms - exchange->grant_asked_ms),
           csp_number ("answered", answered));
}

/* Whether a request may still be sent with its grant.  The target may have
   begun to leave meanwhile, or this host may have been paused.  */
static bool
is_grant_usable (const csp_exchange_t *exchange,
                 const csp_fleet_target_t *target)
{
  int64_t now_ms = csp_gateway_now_ms (exchange->gateway);

  return csp_takes_new_work (target) && !csp_is_backed_off (target, now_ms)
         && csp_is_rate_grant_valid (exchange->grant_asked_ms, now_ms);
}

/* Send the request with its grant, or place it anew without one.  */
static void
end_wait (csp_exchange_t *exchange, const csp_hello_grant_t *grant,
          bool answered)
{
  csp_fleet_target_t *target
      = csp_find_target_by_hash (exchange->gateway->fleet, grant->target);

  exchange->grant_id = 0;
  uv_timer_stop (&exchange->move.timer);
  if (target != NULL && grant->granted && is_grant_usable (exchange, target))
    {
      csp_start_attempt (exchange, target);
      return;
    }
  if (target != NULL && !grant->granted)
    note_refusal (exchange, target, grant->wait_ms, answered);
  csp_place_locally (exchange);
}

/* Ask the decider.  It may have missed the report of the limit.  */
static void
send_grant_request (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  const csp_fleet_target_t *target
      = csp_find_target_by_hash (gateway->fleet, exchange->grant_target);
  csp_hello_t hello = { .grant_request_count = 1,
                        .grant_requests = { { .target = exchange->grant_target,
                                              .id = exchange->grant_id } } };

  if (target != NULL)
    hello.rates[hello.rate_count++] = csp_make_hello_rate (gateway, target);
  csp_send_hello (gateway, &hello, &gateway->decider, 1);
}

static void
on_grant_timer (uv_timer_t *timer)
{
  csp_exchange_t *exchange = timer->data;
  csp_gateway_t *gateway = exchange->gateway;
  int64_t waited_ms = csp_gateway_now_ms (gateway) - exchange->grant_asked_ms;
  csp_hello_grant_t refusal
      = { .target = exchange->grant_target, .wait_ms = SILENT_ASK_AGAIN_MS };

  if (exchange->ended || exchange->grant_id == 0)
    return;
  if (waited_ms < GRANT_WAIT_MS && !decides (gateway))
    {
      uv_timer_start (timer, on_grant_timer, GRANT_RESEND_MS, 0);
      send_grant_request (exchange);
      return;
    }
  end_wait (exchange, &refusal, false);
}

void
csp_await_grant (csp_exchange_t *exchange, csp_fleet_target_t *target)
{
  csp_gateway_t *gateway = exchange->gateway;

  exchange->grant_asked_ms = csp_gateway_now_ms (gateway);
  if (decides (gateway))
    {
      csp_hello_grant_t grant = decide_grant (gateway, target, 0);

      end_wait (exchange, &grant, true);
      return;
    }
  exchange->grant_id = ++gateway->next_ask_id;
  exchange->grant_target = target->hash;
  uv_timer_start (&exchange->move.timer, on_grant_timer, GRANT_RESEND_MS, 0);
  send_grant_request (exchange);
}

static void
charge_target (csp_gateway_t *gateway, csp_fleet_target_t *target)
{
  csp_decider_role_t role = csp_get_decider_role (gateway);

  csp_charge_rate_limit (&target->rate_limit, &role,
                         csp_gateway_now_ms (gateway));
}

void
csp_report_ungranted_request (csp_gateway_t *gateway,
                              csp_fleet_target_t *target)
{
  csp_hello_t hello = { .grant_request_count = 1,
                        .grant_requests = { { .target = target->hash } } };

  if (decides (gateway))
    charge_target (gateway, target);
  else
    csp_send_hello (gateway, &hello, &gateway->decider, 1);
}

/* Answer another host's request for a grant.  It may have missed the report
   of the limit's end.  */
static void
answer_grant_request (csp_gateway_t *gateway, csp_peer_address_t from,
                      const csp_hello_grant_t *request)
{
  csp_fleet_target_t *target
      = csp_find_target_by_hash (gateway->fleet, request->target);
  csp_hello_t hello = { .rate_count = 1, .grant_count = 1 };

  if (target == NULL)
    return;
  if (request->id == 0)
    {
      charge_target (gateway, target);
      return;
    }
  hello.grants[0] = decide_grant (gateway, target, request->id);
  hello.rates[0] = csp_make_hello_rate (gateway, target);
  csp_send_hello (gateway, &hello, &from, 1);
}

static csp_exchange_t *
find_waiting (const csp_gateway_t *gateway, uint64_t grant_id)
{
  csp_exchange_t *exchange = csp_first_exchange (gateway);

  while (exchange != NULL && exchange->grant_id != grant_id)
    exchange = csp_next_exchange (exchange);
  return exchange;
}

static void
handle_grant (csp_gateway_t *gateway, const csp_hello_grant_t *grant)
{
  csp_exchange_t *exchange
      = grant->id == 0 ? NULL : find_waiting (gateway, grant->id);

  if (exchange != NULL && exchange->grant_target == grant->target)
    end_wait (exchange, grant, true);
}

void
csp_handle_grant_hello (csp_gateway_t *gateway, csp_peer_address_t from,
                        const csp_hello_t *hello)
{
  size_t i;

  for (i = 0; i < hello->grant_request_count; i++)
    answer_grant_request (gateway, from, &hello->grant_requests[i]);
  for (i = 0; i < hello->grant_count; i++)
    handle_grant (gateway, &hello->grants[i]);
}
