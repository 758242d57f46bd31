#include "gateway/gateway-move-imp.h"

#include "cowslipspoke/fingerprint.h"
#include "cowslipspoke/hash.h"
#include "cowslipspoke/nominal-speed.h"

#include <string.h>

/* Placement of a request on an engine: asks the decider, which may be this
   host, and chooses by local knowledge where no decider answers.  */

enum
{
  /* An ask or its answer may be lost, so it is sent again until an answer
     comes.  */
  ASK_RESEND_MS = 40,
  /* While an ask waits, it is repeated at this interval to check that the
     decider still has it; by then another host may be the decider.  */
  ASK_KEEPALIVE_MS = 250,
  /* A decider that answers none of four asks within this time is down or cut
     off.  */
  ASK_TIMEOUT_MS = 170,
  /* Deciders tried in turn: the current one, the next, and the first of this
     data centre.  By then half a second has passed.  */
  SILENT_DECIDERS_MAX = 3,
  /* A request whose first token is nearly too late may still wait this long;
     refused at once, it would be served nowhere.  */
  START_WITHIN_MIN_MS = 300
};

static void on_ask_timer (uv_timer_t *timer);

/* How long the request may wait for a placement if its first token is to be in
   time.  */
static uint32_t
start_within_ms (const csp_exchange_t *exchange)
{
  int64_t now_ms = csp_gateway_now_ms (exchange->gateway);
  int64_t reading_ms
      = (int64_t)(exchange->prompt_tokens / CSP_BUSY_PREFILL_TOKENS_PER_MS);
  int64_t left_ms = exchange->deadline_ms - now_ms;
  int64_t wanted_ms = exchange->resume.pending ? exchange->resume.since_ms
                                               : exchange->began_ms;

  if (exchange->route->objective_ms > 0)
    left_ms = wanted_ms + exchange->route->objective_ms - now_ms;
  left_ms -= reading_ms;
  return left_ms > START_WITHIN_MIN_MS ? (uint32_t)left_ms
                                       : START_WITHIN_MIN_MS;
}

static csp_ask_t
make_ask (const csp_exchange_t *exchange)
{
  const csp_gateway_t *gateway = exchange->gateway;
  csp_ask_t ask = { .host = gateway->self,
                    .id = exchange->ask_id,
                    .data_centre = gateway->data_centre,
                    .prompt_tokens = (uint32_t)exchange->prompt_tokens,
                    .tokens = (uint32_t)exchange->tokens,
                    .start_within_ms = start_within_ms (exchange),
                    .urgency = (uint8_t)exchange->urgency,
                    .traffic_class = csp_classify_request (
                        exchange->route->objective_ms,
                        exchange->service->longest_objective_ms) };

  if (exchange->organisation != NULL)
    ask.organisation
        = (uint32_t)csp_hash_pair ("organisation", exchange->organisation);
  ask.backoff_count = csp_list_backed_off (
      gateway->fleet, exchange->service->name, csp_gateway_now_ms (gateway),
      ask.backoffs, CSP_ASK_BACKOFFS_MAX);
  ask.backoff_count
      += csp_list_unreached_targets (gateway->fleet, exchange->service->name,
                                     ask.backoffs + ask.backoff_count,
                                     CSP_ASK_BACKOFFS_MAX - ask.backoff_count);
  if (!exchange->asks_to_move)
    {
      csp_exclude_lost_targets (exchange, &ask);
      return ask;
    }
  ask.moves_from = exchange->target->hash;
  ask.left_ms = csp_expected_left_ms (exchange);
  if (csp_gateway_now_ms (gateway) < exchange->move.refused_until_ms)
    ask.refused_at = exchange->move.refusing_target;
  return ask;
}

static bool
is_self (const csp_gateway_t *gateway, csp_peer_address_t host)
{
  return csp_is_same_peer (host, gateway->self);
}

static csp_dispatch_service_t
describe_service (const csp_route_service_t *service)
{
  return (csp_dispatch_service_t){
    .name = service->name,
    .memory_tokens = service->memory_tokens,
    .has_classes = csp_has_traffic_classes (service->shortest_objective_ms,
                                            service->longest_objective_ms),
    .longest_gap_ms = service->shortest_gap_limit_ms
  };
}

static void
send_ask (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_hello_t hello = { .ask_count = 1 };
  csp_ask_t ask = make_ask (exchange);

  if (is_self (gateway, exchange->asked_host))
    {
      csp_dispatch_service_t service = describe_service (exchange->service);

      csp_push_ask (gateway->dispatch, &ask, &service,
                    csp_gateway_now_ms (gateway));
      return;
    }
  hello.asks[0].id = ask.id;
  hello.asks[0].service = csp_service_hash (exchange->service);
  hello.asks[0].organisation = ask.organisation;
  hello.asks[0].prompt_tokens = ask.prompt_tokens;
  hello.asks[0].tokens = ask.tokens;
  hello.asks[0].start_within_ms = ask.start_within_ms;
  hello.asks[0].urgency = ask.urgency;
  hello.asks[0].traffic_class = ask.traffic_class;
  hello.asks[0].moves_from = ask.moves_from;
  hello.asks[0].refused_at = ask.refused_at;
  hello.asks[0].expected_remaining_ms = ask.left_ms;
  hello.asks[0].backoff_count = ask.backoff_count;
  memcpy (hello.asks[0].backoffs, ask.backoffs, sizeof ask.backoffs);
  csp_send_hello (gateway, &hello, &exchange->asked_host, 1);
}

/* Send a new ask to the current decider.  */
static void
start_asking (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;

  exchange->ask_id = ++gateway->next_ask_id;
  exchange->asked_host = gateway->decider;
  exchange->last_answer_ms = csp_gateway_now_ms (gateway);
  exchange->asking = true;
  exchange->ask_answered = false;
  uv_timer_start (&exchange->move.timer, on_ask_timer, ASK_RESEND_MS, 0);
  send_ask (exchange);
}

static void
begin_ask (csp_exchange_t *exchange)
{
  exchange->silent_deciders = 0;
  start_asking (exchange);
}

void
csp_ask_for_placement (csp_exchange_t *exchange)
{
  exchange->asks_to_move = false;
  begin_ask (exchange);
}

void
csp_ask_to_move (csp_exchange_t *exchange)
{
  exchange->asks_to_move = true;
  begin_ask (exchange);
}

static void
decide_locally (csp_exchange_t *exchange)
{
  exchange->asking = false;
  if (!exchange->asks_to_move)
    {
      csp_place_locally (exchange);
      return;
    }
  exchange->move.decided_locally = true;
  csp_schedule_moves (exchange->gateway);
}

/* The placement or the move is no longer needed.  */
static void
cancel_ask (const csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_hello_t hello = { .cancel_count = 1, .cancels = { exchange->ask_id } };

  if (is_self (gateway, exchange->asked_host))
    {
      csp_cancel_ask (gateway->dispatch, gateway->self, exchange->ask_id);
      csp_schedule_placements (gateway);
    }
  else
    csp_send_hello (gateway, &hello, &exchange->asked_host, 1);
}

/* The decider does not answer.  The next one takes over for a while: it gets
   the same loads and decides as well.  Placing locally would be worse:
   hundreds of hosts would do so at the same moment, each seeing mainly its own
   load, and would pick the same engines.  */
static void
ask_next_decider (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;

  csp_avoid_decider (gateway->roster, exchange->asked_host,
                     csp_gateway_now_ms (gateway));
  csp_choose_deciders (gateway);
  if (++exchange->silent_deciders >= SILENT_DECIDERS_MAX
      || csp_is_same_peer (gateway->decider, exchange->asked_host))
    {
      decide_locally (exchange);
      return;
    }
  cancel_ask (exchange);
  start_asking (exchange);
}

static void
on_ask_timer (uv_timer_t *timer)
{
  csp_exchange_t *exchange = timer->data;
  const csp_gateway_t *gateway = exchange->gateway;
  int64_t silent_ms = csp_gateway_now_ms (gateway) - exchange->last_answer_ms;

  if (exchange->ended || !exchange->asking)
    return;
  if (silent_ms >= csp_extend_timeout_ms (gateway, ASK_TIMEOUT_MS)
                       + (exchange->ask_answered ? ASK_KEEPALIVE_MS : 0))
    {
      ask_next_decider (exchange);
      return;
    }
  /* Another host is the decider now, and the old one no longer gets load
     reports.  */
  if (!csp_is_same_peer (gateway->decider, exchange->asked_host))
    {
      cancel_ask (exchange);
      start_asking (exchange);
      return;
    }
  uv_timer_start (&exchange->move.timer, on_ask_timer,
                  exchange->ask_answered && silent_ms < ASK_KEEPALIVE_MS
                      ? ASK_KEEPALIVE_MS
                      : ASK_RESEND_MS,
                  0);
  send_ask (exchange);
}

void
csp_drop_ask (csp_exchange_t *exchange)
{
  if (!exchange->asking)
    return;
  exchange->asking = false;
  uv_timer_stop (&exchange->move.timer);
  cancel_ask (exchange);
}

void
csp_release_move (csp_exchange_t *exchange)
{
  if (!exchange->move.granted)
    return;
  exchange->move.granted = false;
  cancel_ask (exchange);
}

static csp_exchange_t *
find_asking (const csp_gateway_t *gateway, uint64_t id)
{
  csp_exchange_t *exchange = csp_first_exchange (gateway);

  while (exchange != NULL && (!exchange->asking || exchange->ask_id != id))
    exchange = csp_next_exchange (exchange);
  return exchange;
}

/* The decider has granted a placement or a move at the target.  */
static void
use_placement (csp_exchange_t *exchange, uint64_t target_hash)
{
  csp_fleet_target_t *target
      = csp_find_target_by_hash (exchange->gateway->fleet, target_hash);
  /* The decider may reach targets that this host can't.  It may also not know
     yet that operators have cordoned the target, or that the target has asked
     this host to back off.  */
  bool ready
      = target != NULL && target->state == CSP_FLEET_READY
        && csp_is_target_reached (target) && !target->cordoned
        && !csp_is_backed_off (target, csp_gateway_now_ms (exchange->gateway));

  exchange->asking = false;
  uv_timer_stop (&exchange->move.timer);
  if (exchange->asks_to_move)
    {
      exchange->move.granted = true;
      if (csp_waits_for_move (exchange))
        csp_begin_move (exchange, ready ? target : NULL);
      else
        csp_release_move (exchange);
    }
  else if (ready)
    csp_start_attempt (exchange, target);
  else
    csp_place_locally (exchange);
}

static void
log_refusal (csp_exchange_t *exchange, const csp_ask_answer_t *answer)
{
  char decider[CSP_PEER_TEXT_BYTES];
  char fingerprint[CSP_FINGERPRINT_TEXT_BYTES];

  csp_format_peer (exchange->asked_host, decider);
  csp_print_fingerprint (csp_exchange_fingerprint (exchange), fingerprint);
  CSP_LOG (exchange->gateway->log, CSP_EVENT_PLACEMENT_REFUSED,
           exchange->request_id, csp_text ("route", exchange->route->name),
           csp_text ("organisation", exchange->organisation),
           csp_text ("cause", csp_refused_for_name (answer->refusal.cause)),
           csp_number ("prompt_tokens", (int64_t)exchange->prompt_tokens),
           csp_number ("tokens", (int64_t)exchange->tokens),
           csp_number ("predicted_wait_ms", answer->refusal.predicted_wait_ms),
           csp_number ("start_within_ms", answer->refusal.left_ms),
           csp_number ("retry_after_ms", answer->retry_after_ms),
           csp_text ("decider", decider),
           csp_text ("fingerprint", fingerprint));
}

void
csp_handle_ask_answer (csp_gateway_t *gateway, const csp_ask_answer_t *answer)
{
  csp_exchange_t *exchange = find_asking (gateway, answer->id);

  if (exchange == NULL)
    return;
  exchange->last_answer_ms = csp_gateway_now_ms (gateway);
  exchange->ask_answered = true;
  switch (answer->outcome)
    {
    case CSP_ASK_WAITS:
    case CSP_ASK_OUTCOME_COUNT:
      return;
    case CSP_ASK_PLACED:
      csp_note_pool_percent (gateway, exchange->service->name,
                             answer->pool_percent);
      use_placement (exchange, answer->target);
      return;
    case CSP_ASK_REFUSED:
      if (exchange->asks_to_move)
        {
          decide_locally (exchange);
          return;
        }
      exchange->asking = false;
      exchange->retry_after_ms = answer->retry_after_ms;
      log_refusal (exchange, answer);
      csp_observe_size (exchange->labels, CSP_SIZE_REFUSED, exchange->tokens);
      csp_fail_exchange (exchange, CSP_REASON_OVERLOADED,
                         "the engines are full");
      return;
    }
}

void
csp_deliver_ask_answer (void *state, const csp_ask_answer_t *answer)
{
  csp_gateway_t *gateway = state;
  csp_own_answer_t own = { .kind = CSP_OWN_ASK, .value = { .ask = *answer } };
  csp_hello_t hello = { .answer_count = 1 };

  if (is_self (gateway, answer->host))
    {
      csp_queue_own_answer (gateway, &own);
      return;
    }
  hello.answers[0] = *answer;
  csp_send_hello (gateway, &hello, &answer->host, 1);
}

uint32_t
csp_service_hash (const csp_route_service_t *service)
{
  return (uint32_t)csp_hash_pair ("service", service->name);
}

const csp_route_service_t *
csp_find_service_by_hash (const csp_gateway_t *gateway, uint32_t hash)
{
  const csp_route_service_t *service;
  size_t i;

  for (i = 0;
       gateway->routes != NULL
       && (service = csp_get_route_service_at (gateway->routes, i)) != NULL;
       i++)
    if (csp_service_hash (service) == hash)
      return service;
  return NULL;
}

void
csp_handle_dispatch_hello (csp_gateway_t *gateway, csp_peer_address_t from,
                           const csp_hello_t *hello)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  size_t i;

  for (i = 0; i < hello->cancel_count; i++)
    csp_cancel_ask (gateway->dispatch, from, hello->cancels[i]);
  if (hello->cancel_count > 0)
    csp_schedule_placements (gateway);
  for (i = 0; i < hello->answer_count; i++)
    csp_handle_ask_answer (gateway, &hello->answers[i]);
  for (i = 0; i < hello->ask_count; i++)
    {
      const csp_hello_ask_t *row = &hello->asks[i];
      const csp_route_service_t *service
          = csp_find_service_by_hash (gateway, row->service);
      csp_ask_t ask = { .host = from,
                        .id = row->id,
                        .organisation = row->organisation,
                        .data_centre = hello->data_centre,
                        .prompt_tokens = row->prompt_tokens,
                        .tokens = row->tokens,
                        .start_within_ms = row->start_within_ms,
                        .urgency = row->urgency,
                        .traffic_class = row->traffic_class,
                        .moves_from = row->moves_from,
                        .refused_at = row->refused_at,
                        .left_ms = row->expected_remaining_ms,
                        .backoff_count = row->backoff_count };

      memcpy (ask.backoffs, row->backoffs, sizeof ask.backoffs);

      /* An unknown service belongs to routes that this host doesn't have yet;
         the asking host will place the request locally.  */
      if (service != NULL)
        {
          csp_dispatch_service_t described = describe_service (service);

          csp_push_ask (gateway->dispatch, &ask, &described, now_ms);
        }
    }
}
