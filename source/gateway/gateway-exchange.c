#include "gateway/gateway-run-imp.h"

#include <stdlib.h>
#include <string.h>

/* One request, from its head to the end of its answer: its route, its
   organisation and its deadline.  */

enum
{
  STATUS_UNAUTHORIZED = 401,
  STATUS_NOT_FOUND = 404,
  STATUS_UNAVAILABLE = 503,
  STATUS_BAD_GATEWAY = 502,
  STATUS_GATEWAY_TIMEOUT = 504,
  /* A host without a configuration gets one within about a second, unless the
     platform can't be reached; other hosts have one.  */
  NO_CONFIGURATION_RETRY_MS = 500,
  /* Another host takes the request at once.  */
  STOPPING_RETRY_MS = 50,
  /* From a request to its first token while engines are busy.  */
  STREAM_START_MS = 800,
  /* Capacity at targets changes within the duration of a few requests.  */
  REFUSED_RETRY_MS = 400,
  /* Longest timeout that a caller may state: a day.  */
  TIMEOUT_MAX_MS = 86400000,
  DECIMAL = 10,
  STATED_TOKENS_MAX = 1 << 30
};

static void
free_closed (uv_handle_t *handle)
{
  csp_exchange_t *exchange = handle->data;

  if (--exchange->open_handles > 0)
    return;
  if (exchange->previous != NULL)
    exchange->previous->next = exchange->next;
  else
    exchange->gateway->exchanges = exchange->next;
  if (exchange->next != NULL)
    exchange->next->previous = exchange->previous;
  csp_clear_buffer (&exchange->body);
  csp_clear_buffer (&exchange->head);
  csp_clear_buffer (&exchange->buffered);
  csp_clear_buffer (&exchange->move.answer);
  free (exchange);
}

static csp_exchange_t *
skip_ended (csp_exchange_t *exchange)
{
  while (exchange != NULL && exchange->ended)
    exchange = exchange->next;
  return exchange;
}

csp_exchange_t *
csp_first_exchange (const csp_gateway_t *gateway)
{
  return skip_ended (gateway->exchanges);
}

csp_exchange_t *
csp_next_exchange (const csp_exchange_t *exchange)
{
  return skip_ended (exchange->next);
}

/* Close the exchange and release what it holds, at targets too.  */
static void
close_exchange (csp_exchange_t *exchange)
{
  if (exchange->ended)
    return;
  exchange->ended = true;
  exchange->gateway->relayed_count -= exchange->relay.received;
  csp_drop_ask (exchange);
  csp_drop_move (exchange);
  csp_drop_attempt (exchange);
  csp_drop_backup (exchange);
  csp_release_link_reservation (exchange);
  csp_release_routes (exchange->routes);
  exchange->routes = NULL;
  uv_close ((uv_handle_t *)&exchange->deadline, free_closed);
  uv_close ((uv_handle_t *)&exchange->move.timer, free_closed);
}

/* The other host of a relayed request; NULL where it isn't relayed.  */
static const char *
format_relay_host (const csp_exchange_t *exchange,
                   char host[CSP_PEER_TEXT_BYTES])
{
  if (!exchange->relay.received && !exchange->relay.sent)
    return NULL;
  csp_format_peer (exchange->relay.received ? exchange->relay.from
                                            : exchange->relay.host,
                   host);
  return host;
}

static void
log_end (const csp_exchange_t *exchange, csp_event_t event, const char *detail)
{
  const csp_gateway_t *gateway = exchange->gateway;
  char relay[CSP_PEER_TEXT_BYTES];

  CSP_LOG (
      gateway->log, event, exchange->request_id,
      csp_text ("route", exchange->route->name),
      csp_text ("organisation", exchange->organisation),
      csp_text ("target",
                exchange->target == NULL ? NULL : exchange->target->row.id),
      csp_text ("data_centre", exchange->target == NULL
                                   ? NULL
                                   : exchange->target->row.data_centre),
      csp_number ("status", exchange->status),
      csp_text ("verdict", csp_verdict_name (exchange->verdict)),
      csp_text ("detail", detail), csp_number ("attempts", exchange->attempts),
      csp_number ("connect_failures", exchange->connect_failures),
      csp_text (exchange->relay.received ? "relayed_from" : "relayed_to",
                format_relay_host (exchange, relay)),
      csp_number ("events", (int64_t)exchange->events),
      csp_number ("waited_ms", exchange->waited_ms),
      csp_number ("first_event_ms",
                  exchange->first_event_ms == 0
                      ? -1
                      : exchange->first_event_ms - exchange->began_ms),
      csp_number ("worst_gap_ms", exchange->worst_gap_ms),
      csp_number ("worst_gap_at_ms",
                  exchange->worst_gap_ms == 0
                      ? -1
                      : exchange->worst_gap_end_ms - exchange->began_ms),
      csp_number ("moves", exchange->moves),
      csp_number ("tokens", (int64_t)exchange->tokens),
      csp_number ("took_ms",
                  csp_gateway_now_ms (gateway) - exchange->began_ms),
      csp_number ("left_ms",
                  exchange->deadline_ms - csp_gateway_now_ms (gateway)),
      csp_number ("host_delay_ms", csp_current_host_delay_ms (gateway)),
      csp_number ("routes_version",
                  (int64_t)csp_routes_version (exchange->routes)));
}

void
csp_finish_exchange (csp_exchange_t *exchange)
{
  csp_caller_t *caller = exchange->caller;

  exchange->gateway->counts.answered++;
  csp_count_request_end (exchange->gateway->request_metrics, exchange->labels,
                         CSP_REASON_NONE, CSP_VERDICT_RAN);
  if (exchange->events > 0)
    csp_observe_time (exchange->labels, CSP_TIME_STALLED,
                      exchange->stalled_us);
  log_end (exchange, CSP_EVENT_FORWARD_ENDED, NULL);
  exchange->caller = NULL;
  close_exchange (exchange);
  csp_finish_caller_answer (caller);
}

/* Status of an error of this host.  503 guarantees that the request has not
   run and will not run; other statuses guarantee nothing.  */
static uint16_t
failure_status (const csp_exchange_t *exchange, csp_reason_t reason)
{
  if (!exchange->may_have_run)
    return STATUS_UNAVAILABLE;
  return reason == CSP_REASON_DEADLINE ? STATUS_GATEWAY_TIMEOUT
                                       : STATUS_BAD_GATEWAY;
}

void
csp_fail_exchange (csp_exchange_t *exchange, csp_reason_t reason,
                   const char *detail)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_caller_t *caller = exchange->caller;
  bool begun = exchange->answer_begun;
  uint32_t retry_after_ms = 0;

  exchange->status = failure_status (exchange, reason);
  exchange->verdict = exchange->may_have_run ? CSP_VERDICT_MAY_HAVE_RUN
                                             : CSP_VERDICT_NOT_RUN;
  if (!exchange->may_have_run)
    {
      gateway->counts.refused++;
      retry_after_ms = exchange->retry_after_ms > 0 ? exchange->retry_after_ms
                                                    : REFUSED_RETRY_MS;
    }
  else
    {
      csp_set_relay_answer (caller, CSP_RELAY_FAILED);
      gateway->counts.failed++;
    }
  csp_count_request_end (gateway->request_metrics, exchange->labels, reason,
                         exchange->verdict);
  if (begun)
    gateway->counts.streams_lost++;
  log_end (exchange, begun ? CSP_EVENT_STREAM_LOST : CSP_EVENT_FORWARD_REFUSED,
           detail);
  csp_stop_left_run (exchange);
  exchange->caller = NULL;
  close_exchange (exchange);
  if (begun)
    csp_abort_caller (caller);
  else
    csp_answer_caller (caller, exchange->status, retry_after_ms, detail);
}

void
csp_abandon_exchange (csp_exchange_t *exchange)
{
  if (exchange->ended)
    return;
  exchange->gateway->counts.abandoned++;
  csp_add_count (exchange->labels, CSP_COUNT_CANCELS, 1);
  log_end (exchange, CSP_EVENT_FORWARD_ABANDONED, NULL);
  csp_stop_left_run (exchange);
  exchange->caller = NULL;
  close_exchange (exchange);
}

bool
csp_exchange_answer_begun (const csp_exchange_t *exchange)
{
  return exchange->answer_begun;
}

bool
csp_exchange_may_have_run (const csp_exchange_t *exchange)
{
  return exchange->may_have_run
         || (exchange->relay.state != CSP_RELAY_OFFERED
             && exchange->link != NULL && csp_link_has_sent (exchange->link));
}

static void
on_deadline (uv_timer_t *timer)
{
  csp_exchange_t *exchange = timer->data;

  if (exchange->ended)
    return;
  exchange->may_have_run = csp_exchange_may_have_run (exchange);
  csp_fail_exchange (exchange, CSP_REASON_DEADLINE, "the time is over");
}

/* Set the deadline from the caller's remaining time and the route's
   timeout.  */
static void
set_deadline (csp_exchange_t *exchange, const csp_http_head_t *head)
{
  csp_gateway_t *gateway = exchange->gateway;
  const char *text = csp_find_http_field (
      head, gateway->dialect->names[CSP_HEADER_REMAINING_TIME]);
  int64_t now_ms = csp_gateway_now_ms (gateway);
  uint64_t left_ms = exchange->route->timeout_ms;

  if (text != NULL)
    {
      uint64_t stated_ms = strtoull (text, NULL, DECIMAL);

      if (left_ms == 0 || stated_ms < left_ms)
        left_ms = stated_ms;
    }
  if (left_ms == 0 || left_ms > TIMEOUT_MAX_MS)
    left_ms = TIMEOUT_MAX_MS;
  exchange->deadline_ms = exchange->began_ms + (int64_t)left_ms;
  uv_timer_start (&exchange->deadline, on_deadline,
                  exchange->deadline_ms > now_ms
                      ? (uint64_t)(exchange->deadline_ms - now_ms)
                      : 1,
                  0);
}

/* Reads a number of tokens that the caller states.  Prompt and answer together
   fit the 32 bits in which hosts tell each other a run's memory.  */
static uint64_t
parse_tokens (const char *text, char **rest)
{
  uint64_t tokens = strtoull (text, rest, DECIMAL);

  return tokens < STATED_TOKENS_MAX ? tokens : STATED_TOKENS_MAX;
}

/* Estimate the run's memory: its prompt and its expected output, by the
   caller's hint where there is one, else half of the output limit.  */
static void
estimate_tokens (csp_exchange_t *exchange, const csp_http_head_t *head)
{
  const csp_dialect_t *dialect = exchange->gateway->dialect;
  const char *tokens
      = csp_find_http_field (head, dialect->names[CSP_HEADER_TOKENS]);
  const char *hint
      = csp_find_http_field (head, dialect->names[CSP_HEADER_OUTPUT_HINT]);
  char *rest = NULL;
  uint64_t prompt = 0;
  uint64_t output_max = 0;

  if (tokens != NULL)
    {
      prompt = parse_tokens (tokens, &rest);
      if (*rest == ',')
        output_max = parse_tokens (rest + 1, NULL);
    }
  exchange->output_tokens = output_max / 2;
  if (hint != NULL)
    exchange->output_tokens = parse_tokens (hint, NULL);
  if (output_max > 0 && exchange->output_tokens > output_max)
    exchange->output_tokens = output_max;
  exchange->prompt_tokens = prompt;
  exchange->tokens = prompt + exchange->output_tokens;
}

/* The status with which a request is rejected before it is forwarded; 0 where
   it may be forwarded.  */
static uint16_t
check_route_and_key (csp_exchange_t *exchange, const csp_http_head_t *head)
{
  const csp_gateway_t *gateway = exchange->gateway;
  const char *host = csp_find_http_field (head, "Host");
  const char *key
      = csp_find_http_field (head, gateway->dialect->names[CSP_HEADER_KEY]);
  const csp_route_organisation_t *organisation = NULL;

  exchange->route = csp_match_route (exchange->routes,
                                     host == NULL ? "" : host, head->target);
  if (exchange->route == NULL)
    return STATUS_NOT_FOUND;
  exchange->urgency = exchange->route->urgency;
  if (!csp_routes_require_keys (exchange->routes))
    return 0;
  if (key != NULL)
    organisation = csp_find_key_owner (exchange->routes, key);
  if (organisation == NULL)
    return exchange->route->allows_anonymous ? 0 : STATUS_UNAUTHORIZED;
  exchange->organisation = organisation->name;
  if (organisation->urgency >= 0)
    exchange->urgency = (uint32_t)organisation->urgency;
  return 0;
}

/* Whether a request that comes during a stop may still be served: by its
   deadline it ends in time.  While the balancer still sends callers here,
   those that may be repeated and streams that probably end in time are taken,
   too. Another host serves the others at once.  */
static bool
may_serve_during_stop (const csp_exchange_t *exchange)
{
  const csp_gateway_t *gateway = exchange->gateway;
  int64_t now_ms = csp_gateway_now_ms (gateway);
  int64_t end_ms = gateway->stop_began_ms
                   + (int64_t)gateway->settings.stop_limit_ms
                   - CSP_STOP_MARGIN_MS;
  bool noticed = now_ms - gateway->stop_began_ms >= CSP_STOP_NOTICE_MS;

  if (!gateway->stopping)
    return true;
  switch (exchange->route->kind)
    {
    case CSP_ROUTE_STREAM:
      return !noticed
             && now_ms + STREAM_START_MS
                        + (int64_t)exchange->output_tokens * CSP_TOKEN_MS
                    < end_ms;
    case CSP_ROUTE_IDEMPOTENT:
      return !noticed || exchange->deadline_ms < end_ms;
    case CSP_ROUTE_AT_MOST_ONCE:
      return exchange->deadline_ms < end_ms;
    }
  return false;
}

static void
refuse_while_stopping (csp_exchange_t *exchange)
{
  exchange->retry_after_ms = STOPPING_RETRY_MS;
  csp_set_relay_answer (exchange->caller, CSP_RELAY_UNSERVED);
  csp_fail_exchange (exchange, CSP_REASON_SHUTTING_DOWN,
                     "the host is stopping");
}

void
csp_end_exchanges_of_stop (csp_gateway_t *gateway)
{
  csp_exchange_t *exchange;

  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    {
      exchange->may_have_run = csp_exchange_may_have_run (exchange);
      refuse_while_stopping (exchange);
    }
}

static csp_exchange_t *
create_exchange (csp_gateway_t *gateway, csp_caller_t *caller,
                 int64_t began_ms)
{
  csp_exchange_t *exchange = calloc (1, sizeof *exchange);

  if (exchange == NULL)
    return NULL;
  exchange->gateway = gateway;
  exchange->caller = caller;
  exchange->began_ms = began_ms;
  exchange->routes = csp_retain_routes (gateway->routes);
  exchange->verdict = CSP_VERDICT_NOT_RUN;
  exchange->waited_ms = -1;
  exchange->relay.received
      = csp_caller_is_relay (caller, &exchange->relay.from);
  gateway->relayed_count += exchange->relay.received;
  gateway->counts.relayed += exchange->relay.received;
  uv_timer_init (&gateway->loop, &exchange->deadline);
  uv_timer_init (&gateway->loop, &exchange->move.timer);
  exchange->deadline.data = exchange;
  exchange->move.timer.data = exchange;
  exchange->open_handles = 2;
  exchange->next = gateway->exchanges;
  if (exchange->next != NULL)
    exchange->next->previous = exchange;
  gateway->exchanges = exchange;
  return exchange;
}

static const char *
rejection_detail (uint16_t status)
{
  if (status == STATUS_NOT_FOUND)
    return "no such route";
  return status == STATUS_UNAUTHORIZED ? "unknown key"
                                       : "the request is refused";
}

/* Reject a request before any work was done for it.  */
void
csp_reject_exchange (csp_exchange_t *exchange, uint16_t status)
{
  csp_caller_t *caller = exchange->caller;

  exchange->gateway->counts.refused++;
  CSP_LOG (exchange->gateway->log, CSP_EVENT_FORWARD_TURNED_AWAY,
           exchange->request_id, csp_number ("status", status),
           csp_text ("path", csp_caller_request_head (caller)->target),
           csp_number ("routes_version",
                       (int64_t)csp_routes_version (exchange->routes)));
  exchange->caller = NULL;
  close_exchange (exchange);
  csp_answer_caller (caller, status, 0, rejection_detail (status));
}

csp_exchange_t *
csp_begin_exchange (csp_gateway_t *gateway, csp_caller_t *caller,
                    int64_t began_ms)
{
  const csp_http_head_t *head = csp_caller_request_head (caller);
  const char *id = csp_find_http_field (
      head, gateway->dialect->names[CSP_HEADER_REQUEST_ID]);
  csp_exchange_t *exchange = NULL;
  uint16_t status;

  gateway->counts.requests++;
  if (gateway->routes != NULL)
    exchange = create_exchange (gateway, caller, began_ms);
  if (exchange == NULL)
    {
      gateway->counts.refused++;
      CSP_LOG (gateway->log, CSP_EVENT_FORWARD_TURNED_AWAY, id,
               csp_number ("status", STATUS_UNAVAILABLE),
               csp_text ("path", head->target),
               csp_number ("routes_version", 0));
      csp_answer_caller (caller, STATUS_UNAVAILABLE, NO_CONFIGURATION_RETRY_MS,
                         "no configuration is known yet");
      return NULL;
    }
  snprintf (exchange->request_id, sizeof exchange->request_id, "%s",
            id == NULL ? "" : id);
  status = check_route_and_key (exchange, head);
  if (status != 0)
    {
      csp_reject_exchange (exchange, status);
      return NULL;
    }
  exchange->labels = csp_get_labels (
      gateway->request_metrics, exchange->organisation, exchange->route->name);
  csp_add_count (exchange->labels, CSP_COUNT_REQUESTS, 1);
  estimate_tokens (exchange, head);
  if (exchange->tokens > 0 && !exchange->relay.received)
    csp_observe_size (exchange->labels, CSP_SIZE_REQUESTED, exchange->tokens);
  set_deadline (exchange, head);
  if (!may_serve_during_stop (exchange))
    {
      refuse_while_stopping (exchange);
      return NULL;
    }
  if (csp_refuse_unless_link_carries (exchange))
    return NULL;
  if (head->framing == CSP_BODY_NONE)
    {
      exchange->body_whole = true;
      csp_send_attempt (exchange);
    }
  return exchange->ended ? NULL : exchange;
}

void
csp_handle_request_body (csp_exchange_t *exchange, const char *piece,
                         size_t piece_bytes)
{
  if (exchange->body_streams)
    {
      csp_forward_body (exchange, piece, piece_bytes);
      return;
    }
  if (!csp_append_buffer (&exchange->body, piece, piece_bytes))
    {
      csp_fail_exchange (exchange, CSP_REASON_INTERNAL, "out of memory");
      return;
    }
  if (exchange->body.size_bytes < CSP_BODY_BUFFER_MAX_BYTES)
    return;
  exchange->body_streams = true;
  csp_hold_caller_body (exchange->caller);
  csp_send_attempt (exchange);
}

void
csp_end_request_body (csp_exchange_t *exchange)
{
  if (exchange->body_whole)
    return;
  exchange->body_whole = true;
  if (exchange->body_streams)
    csp_forward_body_end (exchange);
  else
    csp_send_attempt (exchange);
}
