#include "gateway/gateway-exchange-imp.h"

#include <string.h>
#include <strings.h>

/* Passing on a request to another host, where this one reaches no target of
   its service; see relay.h.  gateway-relay-accept.c is the other side.  */

enum
{
  STATUS_NO_CONTENT = 204,
  STATUS_UNAVAILABLE = 503,
  /* Hosts are one or two milliseconds apart; a busy one stands still for up to
     a tenth of a second.  */
  OFFER_TIMEOUT_MS = 250,
  /* Hosts that a request is offered to.  */
  OFFERS_MAX = 3,
  /* With less time left no other host can serve the request.  */
  LEFT_MIN_MS = 30,
  /* Targets named in an offer.  */
  OFFERED_LEAVING_MAX = 8
};

/* A body that is too long for the buffer is forwarded as it comes, which would
   be before the offer is accepted.  */
static bool
may_relay (const csp_exchange_t *exchange)
{
  const csp_gateway_t *gateway = exchange->gateway;

  return gateway->relay_port != 0 && !exchange->relay.received
         && !exchange->body_streams && exchange->relay.offers < OFFERS_MAX
         && exchange->deadline_ms - csp_gateway_now_ms (gateway)
                >= LEFT_MIN_MS;
}

static void
log_offer (const csp_exchange_t *exchange, csp_offer_result_t result)
{
  char host[CSP_PEER_TEXT_BYTES];

  csp_format_peer (exchange->relay.host, host);
  CSP_LOG (exchange->gateway->log, CSP_EVENT_RELAY_OFFER_FAILED,
           exchange->request_id, csp_text ("to", host),
           csp_text ("cause", csp_offer_result_name (result)),
           csp_text ("service", exchange->service->name),
           csp_number ("offers", exchange->relay.offers));
}

static void
note_offer_result (const csp_exchange_t *exchange, csp_offer_result_t result)
{
  csp_gateway_t *gateway = exchange->gateway;

  csp_note_offer_result (gateway->roster, exchange->relay.host,
                         csp_service_hash (exchange->service), result,
                         csp_gateway_now_ms (gateway));
}

static void
end_offer (csp_exchange_t *exchange)
{
  exchange->relay.state = CSP_RELAY_NONE;
  uv_timer_stop (&exchange->move.timer);
  csp_drop_attempt (exchange);
}

/* The request has not run and is placed again, maybe by another offer.  */
static void
fail_offer (csp_exchange_t *exchange, csp_offer_result_t result)
{
  csp_gateway_t *gateway = exchange->gateway;

  gateway->counts.relay_offers_failed++;
  note_offer_result (exchange, result);
  log_offer (exchange, result);
  end_offer (exchange);
  if (!csp_relay_request (exchange))
    csp_place_locally (exchange);
}

/* Whether the field is passed on to the other host as the caller sent it.  */
static bool
is_relayed_field (const csp_exchange_t *exchange, const csp_http_head_t *head,
                  const char *name)
{
  const char *const *names = exchange->gateway->dialect->names;

  return strcasecmp (name, names[CSP_HEADER_REMAINING_TIME]) != 0
         && strcasecmp (name, CSP_RELAY_FIELD) != 0
         && !(csp_resumes_after_event (exchange)
              && strcasecmp (name, names[CSP_HEADER_LAST_EVENT]) == 0)
         && !csp_is_hop_by_hop_field (head, name);
}

static void
write_relayed_head (const csp_exchange_t *exchange, csp_buffer_t *out)
{
  const csp_gateway_t *gateway = exchange->gateway;
  const csp_http_head_t *head = csp_caller_request_head (exchange->caller);
  const char *const *names = gateway->dialect->names;
  int64_t left_ms = exchange->deadline_ms - csp_gateway_now_ms (gateway);
  size_t i;

  csp_print_buffer (out, "%s %s HTTP/1.1\r\n", head->method, head->target);
  for (i = 0; i < head->field_count; i++)
    if (is_relayed_field (exchange, head, head->fields[i].name))
      csp_print_buffer (out, "%s: %s\r\n", head->fields[i].name,
                        head->fields[i].value);
  csp_print_buffer (out, "%s: request\r\n%s: %lld\r\n", CSP_RELAY_FIELD,
                    names[CSP_HEADER_REMAINING_TIME],
                    (long long)(left_ms > 0 ? left_ms : 0));
  if (csp_resumes_after_event (exchange))
    csp_print_buffer (out, "%s: %s\r\n", names[CSP_HEADER_LAST_EVENT],
                      exchange->last_event);
}

/* The other host has accepted the offer: from here on the request may run.  */
static void
send_relayed_request (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_buffer_t out = { 0 };

  uv_timer_stop (&exchange->move.timer);
  exchange->relay.state = CSP_RELAY_SENT;
  exchange->relay.sent = true;
  gateway->counts.relays++;
  csp_count_attempt (exchange);
  write_relayed_head (exchange, &out);
  csp_send_request (exchange, &csp_relay_events, &out);
}

static void
on_offer_answered (void *state, const csp_http_head_t *head)
{
  csp_exchange_t *exchange = state;

  exchange->relay.result = CSP_OFFER_ACCEPTED;
  if (head->status != STATUS_NO_CONTENT)
    exchange->relay.result
        = csp_find_offer_result (csp_find_http_field (head, CSP_RELAY_FIELD));
}

static void
ignore_body (void *state, const char *piece, size_t piece_bytes)
{
  (void)state;
  (void)piece;
  (void)piece_bytes;
}

static void
on_offer_ended (void *state)
{
  csp_exchange_t *exchange = state;

  if (exchange->relay.result != CSP_OFFER_ACCEPTED)
    {
      fail_offer (exchange, exchange->relay.result);
      return;
    }
  note_offer_result (exchange, CSP_OFFER_ACCEPTED);
  send_relayed_request (exchange);
}

static void
on_offer_failed (void *state, csp_link_failure_t why)
{
  (void)why;
  fail_offer (state, CSP_OFFER_UNANSWERED);
}

static const csp_link_events_t offer_events = { .answered = on_offer_answered,
                                                .body = ignore_body,
                                                .ended = on_offer_ended,
                                                .failed = on_offer_failed };

static void
on_offer_timer (uv_timer_t *timer)
{
  csp_exchange_t *exchange = timer->data;

  if (!exchange->ended && exchange->relay.state == CSP_RELAY_OFFERED)
    fail_offer (exchange, CSP_OFFER_UNANSWERED);
}

/* The other host may have started after a target announced that it leaves.  */
static void
write_offer (const csp_exchange_t *exchange, csp_buffer_t *out)
{
  const csp_gateway_t *gateway = exchange->gateway;
  uint32_t service = csp_service_hash (exchange->service);
  size_t reached = csp_is_service_reached (gateway->service_reach, service)
                       ? csp_count_reached_targets (gateway->fleet,
                                                    exchange->service->name)
                       : 0;
  uint64_t leaving[OFFERED_LEAVING_MAX];
  size_t count = csp_list_announced_leaving (gateway->fleet, leaving,
                                             OFFERED_LEAVING_MAX);
  size_t i;

  csp_print_buffer (out,
                    "GET /relay HTTP/1.1\r\nHost: relay\r\n"
                    "%s: offer; service=%08x; routes=%llu; reached=%zu",
                    CSP_RELAY_FIELD, service,
                    (unsigned long long)csp_routes_version (exchange->routes),
                    reached);
  for (i = 0; i < count; i++)
    csp_print_buffer (out, "%s%016llx", i == 0 ? "; leaving=" : ",",
                      (unsigned long long)leaving[i]);
  csp_print_buffer (out, "\r\n\r\n");
}

static void
send_offer (csp_exchange_t *exchange, const csp_relay_host_t *to)
{
  csp_gateway_t *gateway = exchange->gateway;
  struct sockaddr_in source = gateway->settings.relay_address;
  struct sockaddr_in address = csp_sockaddr_from_peer (to->host);
  uint32_t timeout_ms = csp_extend_timeout_ms (gateway, OFFER_TIMEOUT_MS);
  csp_buffer_t out = { 0 };

  exchange->relay.host = to->host;
  exchange->relay.offers++;
  source.sin_port = 0;
  address.sin_port = htons (to->relay_port);
  exchange->link
      = csp_open_link_from (&gateway->loop, &source, &address, timeout_ms);
  if (exchange->link == NULL)
    {
      fail_offer (exchange, CSP_OFFER_UNANSWERED);
      return;
    }
  exchange->relay.state = CSP_RELAY_OFFERED;
  uv_timer_start (&exchange->move.timer, on_offer_timer, timeout_ms, 0);
  csp_start_link_request (exchange->link, &offer_events, exchange, false);
  write_offer (exchange, &out);
  csp_write_link (exchange->link, out.data, out.size_bytes);
  csp_finish_link_request (exchange->link);
  csp_clear_buffer (&out);
}

bool
csp_relay_request (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_relay_host_t to;

  if (!may_relay (exchange)
      || !csp_pick_relay_host (gateway->roster,
                               csp_service_hash (exchange->service),
                               csp_gateway_now_ms (gateway), &to))
    return false;
  send_offer (exchange, &to);
  return true;
}

/* The decider places requests on all engines.  Those of a host that reaches a
   few would wait for these while others are free, and make the queue look
   longer than it is.  */
bool
csp_prefers_relay (const csp_exchange_t *exchange)
{
  const csp_gateway_t *gateway = exchange->gateway;
  const csp_route_service_t *service = exchange->service;

  return !csp_is_service_reached (gateway->service_reach,
                                  csp_service_hash (service))
         || (service->is_engine
             && !csp_reaches_most_targets (gateway->fleet, service->name));
}

/* The other host has refused the request itself.  */
static void
handle_refusal (csp_exchange_t *exchange, const csp_http_head_t *head,
                const char *refusal)
{
  csp_gateway_t *gateway = exchange->gateway;
  const char *retry_after = csp_find_http_field (head, "Retry-After");

  if (strcmp (refusal, CSP_RELAY_UNSERVED) == 0)
    {
      exchange->attempts--;
      exchange->verdict = CSP_VERDICT_NOT_RUN;
      fail_offer (exchange, CSP_OFFER_UNREACHED);
      return;
    }
  if (head->status != STATUS_UNAVAILABLE)
    {
      csp_reject_exchange (exchange, head->status);
      return;
    }
  if (retry_after == NULL
      || !csp_parse_http_seconds (retry_after, &exchange->retry_after_ms))
    exchange->retry_after_ms = 0;
  gateway->counts.relays_refused++;
  csp_fail_exchange (exchange, CSP_REASON_NO_TARGET,
                     "the host that it was relayed to refused it");
}

static void
on_answered (void *state, const csp_http_head_t *head)
{
  csp_exchange_t *exchange = state;
  const char *refusal = csp_find_http_field (head, CSP_RELAY_FIELD);

  if (refusal == NULL)
    csp_accept_answer (exchange, head);
  else if (strcmp (refusal, CSP_RELAY_FAILED) == 0)
    csp_fail_attempt (exchange, "the host that it was relayed to failed it");
  else
    handle_refusal (exchange, head, refusal);
}

static void
on_failed (void *state, csp_link_failure_t why)
{
  csp_exchange_t *exchange = state;

  (void)why;
  /* An answer that has begun is broken off when its target breaks it off.  */
  if (exchange->answer_mode == CSP_ANSWER_NONE)
    note_offer_result (exchange, CSP_OFFER_UNANSWERED);
  if (exchange->answer_mode == CSP_ANSWER_FORWARDED)
    csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT,
                       "the host that it was relayed to broke off");
  else
    csp_fail_attempt (exchange, "the host that it was relayed to broke off");
}

const csp_link_events_t csp_relay_events
    = { .answered = on_answered,
        .body = csp_handle_answer_body,
        .ended = csp_handle_answer_end,
        .failed = on_failed,
        .drained = csp_handle_link_drained };
