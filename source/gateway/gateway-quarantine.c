#include "gateway/gateway-run-imp.h"

#include "cowslipspoke/fingerprint.h"

#include <string.h>

/* Requests that make targets end, see quarantine.h: noting strikes, sending
   them to other hosts, and refusing quarantined requests.  */

enum
{
  /* Suspects in one periodic hello.  A host sends and answers about two dozen
     hellos a second, and has 4 kB a second for all messages between hosts.  */
  PERIODIC_SUSPECTS_MAX = 2
};

static const char request_detail[] = "targets ended under this request";
static const char part_detail[] = "targets ended under a part of its prompt";

uint64_t
csp_exchange_fingerprint (csp_exchange_t *exchange)
{
  const csp_http_head_t *head = csp_caller_request_head (exchange->caller);
  const char *host = csp_find_http_field (head, "Host");
  csp_request_identity_t identity
      = { .method = head->method,
          .host = host == NULL ? "" : host,
          .target = head->target,
          .organisation = exchange->organisation,
          .body = exchange->body.data,
          .body_bytes = exchange->body.size_bytes };

  if (exchange->fingerprint == 0)
    exchange->fingerprint = csp_fingerprint_request (&identity);
  return exchange->fingerprint;
}

const csp_prompt_parts_t *
csp_exchange_parts (csp_exchange_t *exchange)
{
  const char *name
      = exchange->gateway->dialect->names[CSP_HEADER_PROMPT_PARTS];

  if (!exchange->parts_read)
    csp_read_prompt_parts (
        csp_find_http_field (csp_caller_request_head (exchange->caller), name),
        csp_service_hash (exchange->service), &exchange->parts);
  exchange->parts_read = true;
  return &exchange->parts;
}

/* The remaining hold of the request itself; 0: none.  */
static uint32_t
request_hold_ms (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;

  if (csp_count_suspects (gateway->quarantine) == 0)
    return 0;
  return csp_quarantine_left_ms (gateway->quarantine,
                                 csp_exchange_fingerprint (exchange),
                                 csp_gateway_now_ms (gateway));
}

bool
csp_is_quarantined (csp_exchange_t *exchange)
{
  return request_hold_ms (exchange) > 0
         || csp_exchange_part_hold_ms (exchange) > 0;
}

void
csp_refuse_quarantined (csp_exchange_t *exchange)
{
  csp_gateway_counts_t *counts = &exchange->gateway->counts;
  uint32_t request_ms = request_hold_ms (exchange);
  uint32_t part_ms = csp_exchange_part_retry_ms (exchange);

  if (request_ms > 0)
    counts->quarantine_refused++;
  else
    counts->parts_refused++;
  exchange->retry_after_ms = request_ms > part_ms ? request_ms : part_ms;
  csp_fail_exchange (exchange, CSP_REASON_QUARANTINED,
                     request_ms > 0 ? request_detail : part_detail);
}

/* Whether its answer has begun, so that it runs without harm to its
   target.  */
static bool
has_answer (const csp_exchange_t *exchange)
{
  return exchange->answer_mode != CSP_ANSWER_NONE
         || (exchange->events > 0 && !exchange->resume.pending);
}

/* Whether the exchange carries the request.  One whose body is still
   incomplete has no fingerprint yet; it is checked when it is sent.  */
static bool
is_request (csp_exchange_t *exchange, uint64_t fingerprint)
{
  return exchange->service != NULL
         && csp_exchange_fingerprint (exchange) == fingerprint;
}

void
csp_end_unanswered (csp_gateway_t *gateway, csp_exchange_match_t matches,
                    uint64_t value, const csp_exchange_t *not_this)
{
  csp_exchange_t *exchange;

  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    {
      if (exchange != not_this && !has_answer (exchange)
          && matches (exchange, value))
        {
          exchange->may_have_run = csp_exchange_may_have_run (exchange);
          csp_refuse_quarantined (exchange);
        }
    }
}

static void
begin_quarantine (csp_gateway_t *gateway, uint64_t fingerprint,
                  const char *reported_by, const csp_exchange_t *not_this)
{
  char text[CSP_FINGERPRINT_TEXT_BYTES];

  gateway->counts.quarantined++;
  csp_print_fingerprint (fingerprint, text);
  CSP_LOG (gateway->log, CSP_EVENT_REQUEST_QUARANTINED, NULL,
           csp_text ("fingerprint", text),
           csp_number ("hold_ms", csp_quarantine_left_ms (
                                      gateway->quarantine, fingerprint,
                                      csp_gateway_now_ms (gateway))),
           csp_text ("told_by", reported_by));
  csp_end_unanswered (gateway, is_request, fingerprint, not_this);
}

void
csp_broadcast_suspects (csp_gateway_t *gateway)
{
  for (;;)
    {
      csp_hello_t hello = { .suspect_count = 0 };

      hello.suspect_count = csp_take_suspects_to_broadcast (
          gateway->quarantine, hello.suspects, CSP_HELLO_SUSPECTS_MAX,
          csp_gateway_now_ms (gateway));
      if (hello.suspect_count == 0)
        return;
      csp_broadcast_hello (gateway, &hello);
      if (hello.suspect_count < CSP_HELLO_SUSPECTS_MAX)
        return;
    }
}

void
csp_add_suspects_to_hello (csp_gateway_t *gateway, csp_hello_t *hello)
{
  hello->suspect_count = csp_list_suspects_for_hello (
      gateway->quarantine, hello->suspects, PERIODIC_SUSPECTS_MAX,
      csp_gateway_now_ms (gateway));
}

void
csp_note_connection_lost (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  const csp_fleet_target_t *target = exchange->target;
  uint64_t fingerprint = csp_exchange_fingerprint (exchange);
  csp_suspect_change_t change;

  /* A leaving target ends for its own reasons.  */
  if (target->state == CSP_FLEET_LEAVING || target->state == CSP_FLEET_GONE)
    return;
  change = csp_add_request_strike (gateway->quarantine, fingerprint,
                                   target->hash, csp_gateway_now_ms (gateway));
  if (change == CSP_SUSPECT_QUARANTINED)
    begin_quarantine (gateway, fingerprint, "self", exchange);
  if (change == CSP_SUSPECT_QUARANTINED)
    csp_broadcast_suspects (gateway);
}

void
csp_move_cleared_streams (csp_gateway_t *gateway, csp_exchange_match_t matches,
                          uint64_t value, const csp_exchange_t *not_this)
{
  csp_exchange_t *exchange;

  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    {
      if (exchange != not_this && exchange->target != NULL
          && matches (exchange, value)
          && (exchange->target->state == CSP_FLEET_LEAVING
              || exchange->target->state == CSP_FLEET_GONE))
        csp_consider_move (exchange);
    }
}

static void
clear_request (csp_gateway_t *gateway, uint64_t fingerprint,
               const char *reported_by, const csp_exchange_t *not_this)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  bool held
      = csp_quarantine_left_ms (gateway->quarantine, fingerprint, now_ms) > 0;
  csp_hello_t hello = { .cleared_count = 1, .cleared = { fingerprint } };
  char text[CSP_FINGERPRINT_TEXT_BYTES];

  if (csp_clear_request (gateway->quarantine, fingerprint, now_ms))
    csp_broadcast_hello (gateway, &hello);
  if (!held)
    return;
  csp_print_fingerprint (fingerprint, text);
  CSP_LOG (gateway->log, CSP_EVENT_QUARANTINE_LIFTED, NULL,
           csp_text ("fingerprint", text), csp_text ("told_by", reported_by));
  csp_move_cleared_streams (gateway, is_request, fingerprint, not_this);
}

void
csp_note_request_served (csp_exchange_t *exchange)
{
  clear_request (exchange->gateway, csp_exchange_fingerprint (exchange),
                 "self", exchange);
}

void
csp_handle_suspects (csp_gateway_t *gateway, csp_peer_address_t from,
                     const csp_hello_t *hello)
{
  csp_hello_t answer = { .cleared_count = 0 };
  char host[CSP_PEER_TEXT_BYTES];
  size_t i;

  if (hello->suspect_count == 0 && hello->cleared_count == 0)
    return;
  csp_format_peer (from, host);
  for (i = 0; i < hello->cleared_count; i++)
    clear_request (gateway, hello->cleared[i], host, NULL);
  for (i = 0; i < hello->suspect_count; i++)
    switch (csp_merge_suspect (gateway->quarantine, &hello->suspects[i],
                               csp_gateway_now_ms (gateway)))
      {
      case CSP_SUSPECT_UNCHANGED:
      case CSP_SUSPECT_STRIKE_ADDED:
        break;
      case CSP_SUSPECT_QUARANTINED:
        begin_quarantine (gateway, hello->suspects[i].request, host, NULL);
        break;
      case CSP_SUSPECT_RECENTLY_SERVED:
        answer.cleared[answer.cleared_count++] = hello->suspects[i].request;
        break;
      }
  if (answer.cleared_count > 0)
    csp_send_hello (gateway, &answer, &from, 1);
}
