#include "gateway/gateway-damping-imp.h"
#include "gateway/gateway-run-imp.h"

#include <arpa/inet.h>
#include <string.h>
#include <strings.h>

/* One attempt to send the request to a target: choosing the target, writing
   the request, and releasing what the attempt reserved.  */

enum
{
  URGENCY_MAX = 9,
  US_PER_MS = 1000,
  /* Targets tried in turn while none accepts a connection.  No byte has been
     sent by then, so these do not count as retries.  */
  CONNECT_FAILURES_MAX = 16,
  /* One target may just have ended.  */
  CONNECT_FAILURES_BEFORE_RELAY = 2
};

void
csp_print_target_address (const csp_fleet_target_t *target,
                          char text[CSP_ADDRESS_TEXT_BYTES])
{
  char address[INET_ADDRSTRLEN] = "";

  inet_ntop (AF_INET, &target->row.address.sin_addr, address, sizeof address);
  snprintf (text, CSP_ADDRESS_TEXT_BYTES, "%s:%u", address,
            ntohs (target->row.address.sin_port));
}

void
csp_note_prompt_read (csp_exchange_t *exchange, csp_fleet_target_t *target)
{
  target->own.prefill_tokens -= exchange->reading_tokens;
  exchange->reading_tokens = 0;
  csp_note_own_load_changed (exchange->gateway->fleet, target);
}

void
csp_drop_attempt (csp_exchange_t *exchange)
{
  csp_fleet_target_t *target = exchange->target;

  if (exchange->link != NULL)
    csp_close_link (exchange->link);
  exchange->link = NULL;
  exchange->relay.state = CSP_RELAY_NONE;
  if (target == NULL)
    return;
  csp_note_prompt_read (exchange, target);
  csp_count_movable (exchange, false);
  exchange->target = NULL;
  target->own.requests--;
  target->own.tokens -= exchange->tokens;
  target->users--;
  csp_note_own_load_changed (exchange->gateway->fleet, target);
  if (target->is_engine)
    csp_schedule_load_report (exchange->gateway);
}

/* Whether the stream is sent again from where the caller asked for it, since
   no event with an id was sent.  */
static bool
restarts_stream (const csp_exchange_t *exchange)
{
  return exchange->resume.pending && exchange->last_event[0] == '\0';
}

bool
csp_resumes_after_event (const csp_exchange_t *exchange)
{
  return exchange->resume.pending && !restarts_stream (exchange);
}

/* Whether a caller's header field is forwarded to the target.  */
static bool
is_forwarded_field (const csp_exchange_t *exchange,
                    const csp_http_head_t *head, const char *name)
{
  static const csp_header_t own_fields[]
      = { CSP_HEADER_REMAINING_TIME, CSP_HEADER_KEY,
          CSP_HEADER_ORGANISATION,   CSP_HEADER_TARGET_ID,
          CSP_HEADER_URGENCY,        CSP_HEADER_BACKUP,
          CSP_HEADER_CONTINUE_FROM };
  const csp_dialect_t *dialect = exchange->gateway->dialect;
  const char *const *blocked;
  size_t i;

  for (i = 0; i < sizeof own_fields / sizeof own_fields[0]; i++)
    if (strcasecmp (dialect->names[own_fields[i]], name) == 0)
      return false;
  for (blocked = dialect->never_from_callers; *blocked != NULL; blocked++)
    if (strcasecmp (*blocked, name) == 0)
      return false;
  if (exchange->relay.received && strcasecmp (CSP_RELAY_FIELD, name) == 0)
    return false;
  if (exchange->events > 0 && !restarts_stream (exchange)
      && strcasecmp (dialect->names[CSP_HEADER_LAST_EVENT], name) == 0)
    return false;
  return !csp_is_hop_by_hop_field (head, name);
}

static void
write_own_fields (csp_exchange_t *exchange, const csp_fleet_target_t *target,
                  const char *copy, csp_buffer_t *out)
{
  const csp_gateway_t *gateway = exchange->gateway;
  const char *const *names = gateway->dialect->names;
  int64_t left_ms = exchange->deadline_ms - csp_gateway_now_ms (gateway);
  char address[CSP_ADDRESS_TEXT_BYTES];

  csp_print_buffer (
      out, "%s: %lld\r\n%s: %s\r\n%s: %u\r\n",
      names[CSP_HEADER_REMAINING_TIME], (long long)(left_ms > 0 ? left_ms : 0),
      names[CSP_HEADER_TARGET_ID], target->row.id, names[CSP_HEADER_URGENCY],
      exchange->urgency < URGENCY_MAX ? exchange->urgency : URGENCY_MAX);
  if (exchange->organisation != NULL)
    csp_print_buffer (out, "%s: %s\r\n", names[CSP_HEADER_ORGANISATION],
                      exchange->organisation);
  if (exchange->backup != NULL)
    {
      csp_print_target_address (exchange->backup, address);
      csp_print_buffer (out, "%s: %s\r\n", names[CSP_HEADER_BACKUP], address);
    }
  if (copy != NULL)
    csp_print_buffer (out, "%s: %s\r\n", names[CSP_HEADER_CONTINUE_FROM],
                      copy);
  if (copy != NULL || csp_resumes_after_event (exchange))
    csp_print_buffer (out, "%s: %s\r\n", names[CSP_HEADER_LAST_EVENT],
                      exchange->last_event);
}

static void
write_head (csp_exchange_t *exchange, const csp_fleet_target_t *target,
            const char *copy, csp_buffer_t *out)
{
  const csp_http_head_t *head = csp_caller_request_head (exchange->caller);
  size_t i;

  csp_print_buffer (out, "%s %s HTTP/1.1\r\n", head->method, head->target);
  for (i = 0; i < head->field_count; i++)
    if (is_forwarded_field (exchange, head, head->fields[i].name))
      csp_print_buffer (out, "%s: %s\r\n", head->fields[i].name,
                        head->fields[i].value);
  write_own_fields (exchange, target, copy, out);
}

static void
write_framing (const csp_exchange_t *exchange, csp_buffer_t *out)
{
  const csp_http_head_t *head = csp_caller_request_head (exchange->caller);

  if (head->framing == CSP_BODY_CHUNKED && !exchange->body_whole)
    csp_print_buffer (out, "Transfer-Encoding: chunked\r\n");
  else if (head->framing == CSP_BODY_CHUNKED)
    csp_print_buffer (out, "Content-Length: %zu\r\n",
                      exchange->body.size_bytes);
  else if (head->framing == CSP_BODY_LENGTH
           || csp_find_http_field (head, "Content-Length") != NULL)
    csp_print_buffer (out, "Content-Length: %llu\r\n",
                      (unsigned long long)head->length_bytes);
  csp_append_buffer (out, "\r\n", 2);
}

static bool
sends_chunked_body (const csp_exchange_t *exchange)
{
  return exchange->body_streams
         && csp_caller_request_head (exchange->caller)->framing
                == CSP_BODY_CHUNKED;
}

void
csp_forward_body (csp_exchange_t *exchange, const char *piece,
                  size_t piece_bytes)
{
  csp_buffer_t chunk = { 0 };

  if (exchange->link == NULL)
    return;
  if (sends_chunked_body (exchange))
    {
      csp_append_chunk (&chunk, piece, piece_bytes);
      csp_write_link (exchange->link, chunk.data, chunk.size_bytes);
      csp_clear_buffer (&chunk);
    }
  else
    csp_write_link (exchange->link, piece, piece_bytes);
  if (csp_link_backlog (exchange->link) > CSP_BACKLOG_BYTES)
    csp_pause_caller (exchange->caller, true);
}

void
csp_forward_body_end (csp_exchange_t *exchange)
{
  if (exchange->link == NULL)
    return;
  if (sends_chunked_body (exchange))
    csp_write_link (exchange->link, csp_last_chunk, strlen (csp_last_chunk));
  csp_finish_link_request (exchange->link);
}

void
csp_send_request (csp_exchange_t *exchange, const csp_link_events_t *events,
                  csp_buffer_t *head)
{
  const csp_http_head_t *request = csp_caller_request_head (exchange->caller);
  csp_link_t *link = exchange->link;

  exchange->answer_mode = CSP_ANSWER_NONE;
  exchange->run_started_ms = 0;
  exchange->run_end = CSP_RUN_END_UNKNOWN;
  exchange->target_closed = false;
  exchange->dataless_bytes = 0;
  exchange->searched_bytes = 0;
  exchange->paced_event_ms = 0;
  exchange->last_data_ms = csp_gateway_now_ms (exchange->gateway);
  exchange->sent_at_ms = exchange->last_data_ms;
  csp_start_link_request (link, events, exchange,
                          strcmp (request->method, "HEAD") == 0);
  write_framing (exchange, head);
  if (!sends_chunked_body (exchange))
    csp_append_buffer (head, exchange->body.data, exchange->body.size_bytes);
  csp_write_link (link, head->data, head->size_bytes);
  csp_clear_buffer (head);
  if (sends_chunked_body (exchange))
    csp_forward_body (exchange, exchange->body.data,
                      exchange->body.size_bytes);
  if (exchange->body_whole)
    csp_finish_link_request (link);
}

bool
csp_send_to_target (csp_exchange_t *exchange, csp_fleet_target_t *target,
                    const char *copy)
{
  csp_link_t *link = csp_acquire_link (exchange->gateway, target);
  csp_buffer_t out = { 0 };

  if (link == NULL)
    return false;
  csp_forget_left_run (exchange->gateway, target, exchange->request_id);
  csp_begin_exchange_trial (exchange);
  exchange->relay.sent = false;
  exchange->link = link;
  exchange->target = target;
  target->users++;
  target->own.requests++;
  target->own.tokens += exchange->tokens;
  if (copy == NULL)
    exchange->reading_tokens = exchange->prompt_tokens;
  target->own.prefill_tokens += exchange->reading_tokens;
  csp_note_own_load_changed (exchange->gateway->fleet, target);
  target->is_engine = exchange->service->is_engine;
  if (target->is_engine)
    csp_schedule_load_report (exchange->gateway);
  write_head (exchange, target, copy, &out);
  csp_send_request (exchange, &csp_attempt_events, &out);
  csp_begin_trial_behind_loss (exchange);
  return true;
}

static const csp_route_service_t *
draw_service (csp_exchange_t *exchange)
{
  const char *name = csp_pick_weighted_service (exchange->route,
                                                &exchange->gateway->random);

  return name == NULL ? NULL : csp_find_route_service (exchange->routes, name);
}

void
csp_count_attempt (csp_exchange_t *exchange)
{
  exchange->attempts++;
  /* A resumed stream got its first placement before.  */
  if (exchange->resume.pending)
    return;
  exchange->waited_ms
      = csp_gateway_now_ms (exchange->gateway) - exchange->began_ms;
  csp_observe_time (exchange->labels, CSP_TIME_WAITING,
                    exchange->waited_ms * US_PER_MS);
}

void
csp_resume_body (csp_exchange_t *exchange)
{
  if (exchange->body_streams && !exchange->body_whole && exchange->link != NULL
      && csp_is_link_connected (exchange->link))
    csp_resume_caller (exchange->caller);
}

void
csp_start_attempt (csp_exchange_t *exchange, csp_fleet_target_t *target)
{
  if (csp_is_quarantined (exchange))
    {
      csp_refuse_quarantined (exchange);
      return;
    }
  csp_count_attempt (exchange);
  csp_choose_backup (exchange, target);
  if (!csp_send_to_target (exchange, target, NULL))
    csp_fail_exchange (exchange, CSP_REASON_NO_TARGET,
                       "no connection can be had");
  else
    csp_resume_body (exchange);
}

/* Refuse a request that no target can take.  */
static void
refuse_unplaced (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  uint32_t wait_ms = csp_service_rate_wait_ms (
      gateway->fleet, exchange->service->name, csp_gateway_now_ms (gateway));

  exchange->retry_after_ms = csp_isolated_retry_ms (gateway);
  if (wait_ms == 0)
    {
      csp_set_relay_answer (exchange->caller, CSP_RELAY_UNSERVED);
      csp_fail_exchange (exchange, CSP_REASON_NO_TARGET,
                         "no target can take it");
      return;
    }
  gateway->counts.rate_refused++;
  if (exchange->retry_after_ms < wait_ms)
    exchange->retry_after_ms = csp_spread_wait_ms (gateway, wait_ms);
  csp_fail_exchange (exchange, CSP_REASON_NO_TARGET,
                     "its targets are at their rate limits");
}

/* Whether connections to targets that seemed to be reached have failed for
   this request.  */
static bool
spends_time_connecting (const csp_exchange_t *exchange)
{
  return exchange->connect_failures >= CONNECT_FAILURES_BEFORE_RELAY
         || exchange->connect_timed_out;
}

static bool
may_be_reached_elsewhere (const csp_exchange_t *exchange)
{
  return exchange->connect_failures > 0
         || csp_has_unreached_targets (exchange->gateway->fleet,
                                       exchange->service->name);
}

void
csp_place_locally (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_fleet_need_t need = { .service = exchange->service->name,
                            .data_centre = gateway->data_centre,
                            .by_memory = exchange->service->is_engine,
                            .memory_tokens = exchange->service->memory_tokens,
                            .tokens = exchange->tokens,
                            .repeatable = csp_may_repeat (exchange),
                            .excluded = exchange->failed_target,
                            .backoffs = exchange->resume.lost_targets,
                            .backoff_count = exchange->resume.lost_count,
                            .asks_rate_grant = true,
                            .sent_by_this_host = true };
  csp_fleet_target_t *target = NULL;

  need.only_reached = true;
  if (!spends_time_connecting (exchange))
    target = csp_choose_fleet_target (gateway->fleet, &need, &gateway->random,
                                      csp_gateway_now_ms (gateway));
  if (target == NULL && may_be_reached_elsewhere (exchange)
      && csp_relay_request (exchange))
    return;
  /* Targets that refuse at once are tried as a last resort; where one hung,
     the request's time would be spent on others that hang.  */
  if (target == NULL)
    {
      need.only_reached = exchange->connect_timed_out;
      target
          = csp_choose_fleet_target (gateway->fleet, &need, &gateway->random,
                                     csp_gateway_now_ms (gateway));
    }
  if (target == NULL || exchange->connect_failures > CONNECT_FAILURES_MAX)
    refuse_unplaced (exchange);
  else if (target->rate_limited)
    csp_await_grant (exchange, target);
  else
    csp_start_attempt (exchange, target);
}

void
csp_send_attempt (csp_exchange_t *exchange)
{
  /* A request that waited for a lease has already left its target.  */
  if (exchange->target != NULL)
    exchange->failed_target = exchange->target;
  csp_drop_attempt (exchange);
  csp_drop_backup (exchange);
  csp_clear_buffer (&exchange->buffered);
  if (exchange->service == NULL)
    {
      exchange->service = draw_service (exchange);
      if (exchange->service != NULL && !exchange->relay.received)
        csp_note_first_attempt (csp_find_retry_budget (
            exchange->gateway, exchange->service->name));
    }
  if (exchange->service == NULL)
    csp_fail_exchange (exchange, CSP_REASON_NO_TARGET,
                       "the route has no service");
  else if (csp_is_quarantined (exchange))
    csp_refuse_quarantined (exchange);
  else if (csp_is_service_cordoned (exchange->gateway->fleet,
                                    exchange->service->name))
    csp_refuse_cordoned (exchange);
  else if (csp_is_service_backed_off (exchange))
    csp_refuse_backed_off (exchange);
  else if (csp_prefers_relay (exchange) && csp_relay_request (exchange))
    return;
  else if (exchange->service->is_engine && exchange->connect_failures == 0
           && exchange->gateway->isolated_since_ms == 0)
    csp_ask_for_placement (exchange);
  else
    csp_place_locally (exchange);
}
