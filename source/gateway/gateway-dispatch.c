#include "gateway/gateway-move-imp.h"

#include "cowslipspoke/hash.h"

#include <string.h>

/* Asking for a place at an engine: of the host that decides, which may be this
   one, and by ourselves where it says nothing.  */

enum
{
  /* An ask or its answer may be lost; it comes again until something is
     heard.  */
  ASK_AGAIN_MS = 40,
  /* While it waits the host that decides is asked now and then whether it
     still knows it; another one may decide by now.  */
  ASK_KEEP_MS = 250,
  /* Without any answer for that long the host that decides is gone or cut
     off: four asks.  */
  ASK_SILENT_MS = 170,
  /* Hosts that are asked one after another: the one that decides, the next,
     and the first of the own data centre; then it is half a second.  */
  UNHEARD_MAX = 3,
  /* What an engine reads before the first token, in tokens a ms, while others
     run there.  */
  READ_TOKENS_PER_MS = 7,
  /* A request for whose first token it is nearly too late is still let wait
     that long; refused at once it would be served nowhere.  */
  START_LEAST_MS = 300
};

static void on_ask_timer (uv_timer_t *timer);

/* How long it may wait for a place, so that its first token comes in time.  */
static uint32_t
start_within_ms (const csp_exchange_t *exchange)
{
  int64_t now_ms = csp_gateway_now_ms (exchange->gateway);
  int64_t reading_ms = (int64_t)(exchange->prompt_tokens / READ_TOKENS_PER_MS);
  int64_t left_ms = exchange->deadline_ms - now_ms;

  if (exchange->route->objective_ms > 0)
    left_ms = exchange->began_ms + exchange->route->objective_ms - now_ms;
  left_ms -= reading_ms;
  return left_ms > START_LEAST_MS ? (uint32_t)left_ms : START_LEAST_MS;
}

static csp_ask_t
ask_of (const csp_exchange_t *exchange)
{
  const csp_gateway_t *gateway = exchange->gateway;
  csp_ask_t ask = { .host = gateway->self,
                    .id = exchange->ask_id,
                    .data_centre = gateway->data_centre,
                    .prompt_tokens = (uint32_t)exchange->prompt_tokens,
                    .tokens = (uint32_t)exchange->tokens,
                    .start_within_ms = start_within_ms (exchange),
                    .urgency = (uint8_t)exchange->urgency };

  if (exchange->organisation != NULL)
    ask.organisation
        = (uint32_t)csp_hash_pair ("organisation", exchange->organisation);
  ask.backoff_count = csp_list_backed_off (
      gateway->fleet, exchange->service->name, csp_gateway_now_ms (gateway),
      ask.backoffs, CSP_ASK_BACKOFFS_MAX);
  if (!exchange->asks_to_move)
    return ask;
  ask.moves_from = exchange->target->hash;
  ask.left_ms = (uint32_t)csp_expected_remaining_ms (exchange);
  if (csp_gateway_now_ms (gateway) < exchange->move.refused_until_ms)
    ask.refused_at = exchange->move.refusing_target;
  return ask;
}

static bool
is_self (const csp_gateway_t *gateway, csp_peer_address_t host)
{
  return csp_is_same_peer (host, gateway->self);
}

static void
send_ask (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_hello_t hello = { .ask_count = 1 };
  csp_ask_t ask = ask_of (exchange);

  if (is_self (gateway, exchange->asked_host))
    {
      csp_push_ask (gateway->dispatch, &ask, exchange->service->name,
                    exchange->service->memory_tokens,
                    csp_gateway_now_ms (gateway));
      csp_handle_local_answers (gateway);
      return;
    }
  hello.asks[0].id = ask.id;
  hello.asks[0].service
      = (uint32_t)csp_hash_pair ("service", exchange->service->name);
  hello.asks[0].organisation = ask.organisation;
  hello.asks[0].prompt_tokens = ask.prompt_tokens;
  hello.asks[0].tokens = ask.tokens;
  hello.asks[0].start_within_ms = ask.start_within_ms;
  hello.asks[0].urgency = ask.urgency;
  hello.asks[0].moves_from = ask.moves_from;
  hello.asks[0].refused_at = ask.refused_at;
  hello.asks[0].left_ms = ask.left_ms;
  hello.asks[0].backoff_count = ask.backoff_count;
  memcpy (hello.asks[0].backoffs, ask.backoffs, sizeof ask.backoffs);
  csp_send_hello (gateway, &hello, &exchange->asked_host, 1);
}

/* Ask the host that decides, as of now, as if for the first time.  */
static void
start_asking (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;

  exchange->ask_id = ++gateway->next_ask_id;
  exchange->asked_host = gateway->decider;
  exchange->last_answer_ms = csp_gateway_now_ms (gateway);
  exchange->asking = true;
  exchange->ask_answered = false;
  uv_timer_start (&exchange->move.timer, on_ask_timer, ASK_AGAIN_MS, 0);
  send_ask (exchange);
}

static void
begin_ask (csp_exchange_t *exchange)
{
  exchange->silent_deciders = 0;
  start_asking (exchange);
}

void
csp_ask_for_place (csp_exchange_t *exchange)
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
go_on_alone (csp_exchange_t *exchange)
{
  exchange->asking = false;
  if (!exchange->asks_to_move)
    {
      csp_place_locally (exchange);
      return;
    }
  exchange->move.decided_locally = true;
  csp_start_due_moves (exchange->gateway);
}

/* What was asked for isn't needed any more.  */
static void
cancel_ask (const csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_hello_t hello = { .cancel_count = 1, .cancels = { exchange->ask_id } };

  if (is_self (gateway, exchange->asked_host))
    {
      csp_cancel_ask (gateway->dispatch, gateway->self, exchange->ask_id);
      csp_place_waiting_asks (gateway);
    }
  else
    csp_send_hello (gateway, &hello, &exchange->asked_host, 1);
}

/* The host that was asked says nothing.  Its place is taken for a while by the
   next one, which has been told the same loads and decides as well; alone this
   host would choose by its own requests, as hundreds of others do in that
   moment, and all would meet at the same engines.  */
static void
ask_next (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;

  csp_avoid_decider (gateway->roster, exchange->asked_host,
                     csp_gateway_now_ms (gateway));
  csp_choose_deciders (gateway);
  if (++exchange->silent_deciders >= UNHEARD_MAX
      || csp_is_same_peer (gateway->decider, exchange->asked_host))
    {
      go_on_alone (exchange);
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
  if (silent_ms >= ASK_SILENT_MS + (exchange->ask_answered ? ASK_KEEP_MS : 0))
    {
      ask_next (exchange);
      return;
    }
  /* Another host decides by now, and the one that was asked isn't told what
     changes any more.  */
  if (!csp_is_same_peer (gateway->decider, exchange->asked_host))
    {
      cancel_ask (exchange);
      start_asking (exchange);
      return;
    }
  uv_timer_start (&exchange->move.timer, on_ask_timer,
                  exchange->ask_answered && silent_ms < ASK_KEEP_MS
                      ? ASK_KEEP_MS
                      : ASK_AGAIN_MS,
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
  csp_exchange_t *exchange;

  for (exchange = gateway->exchanges; exchange != NULL;
       exchange = exchange->next)
    if (exchange->asking && exchange->ask_id == id)
      return exchange;
  return NULL;
}

/* What was asked for is to be had at a target.  */
static void
take_place (csp_exchange_t *exchange, uint64_t target_hash)
{
  csp_fleet_target_t *target
      = csp_find_hashed_target (exchange->gateway->fleet, target_hash);
  /* The host that decides may reach what this one doesn't, and may not have
     heard yet that operators have cordoned it, or that it has asked this host
     for a wait.  */
  bool ready
      = target != NULL && target->state == CSP_FLEET_READY && !target->cut_off
        && !target->cordoned
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

/* The host that decides has answered one of our asks.  */
static void
take_own_answer (csp_gateway_t *gateway, const csp_ask_answer_t *answer)
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
      take_place (exchange, answer->target);
      return;
    case CSP_ASK_REFUSED:
      if (exchange->asks_to_move)
        {
          go_on_alone (exchange);
          return;
        }
      exchange->asking = false;
      exchange->retry_after_ms = answer->retry_after_ms;
      csp_fail_exchange (exchange, CSP_REASON_OVERLOADED,
                         "the engines are full");
      return;
    }
}

void
csp_deliver_ask_answer (void *state, const csp_ask_answer_t *answer)
{
  csp_gateway_t *gateway = state;
  csp_hello_t hello = { .answer_count = 1 };

  if (is_self (gateway, answer->host))
    {
      /* Without memory the ask comes again in a moment.  */
      csp_append_buffer (&gateway->local_answers, answer, sizeof *answer);
      return;
    }
  hello.answers[0] = *answer;
  csp_send_hello (gateway, &hello, &answer->host, 1);
}

/* Answers to our own asks, when we decide ourselves, wait until the dispatch
   has returned: what they begin may ask again, and the dispatch can't be
   entered from within.  */
void
csp_handle_local_answers (csp_gateway_t *gateway)
{
  csp_ask_answer_t answer;

  if (gateway->handling_answers)
    return;
  gateway->handling_answers = true;
  while (gateway->local_answers.size_bytes >= sizeof answer)
    {
      memcpy (&answer, gateway->local_answers.data, sizeof answer);
      csp_consume_buffer (&gateway->local_answers, sizeof answer);
      take_own_answer (gateway, &answer);
    }
  gateway->handling_answers = false;
}

void
csp_place_waiting_asks (csp_gateway_t *gateway)
{
  csp_pump_dispatch (gateway->dispatch, csp_gateway_now_ms (gateway));
  csp_handle_local_answers (gateway);
}

const csp_route_service_t *
csp_find_service_by_hash (const csp_gateway_t *gateway, uint32_t hash)
{
  const csp_route_service_t *service;
  size_t i;

  for (i = 0;
       gateway->routes != NULL
       && (service = csp_list_route_service (gateway->routes, i)) != NULL;
       i++)
    if ((uint32_t)csp_hash_pair ("service", service->name) == hash)
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
    csp_pump_dispatch (gateway->dispatch, now_ms);
  for (i = 0; i < hello->answer_count; i++)
    take_own_answer (gateway, &hello->answers[i]);
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
                        .moves_from = row->moves_from,
                        .refused_at = row->refused_at,
                        .left_ms = row->left_ms,
                        .backoff_count = row->backoff_count };

      memcpy (ask.backoffs, row->backoffs, sizeof ask.backoffs);

      /* A version of the routes that isn't here yet: its host will place the
         request by itself.  */
      if (service != NULL)
        csp_push_ask (gateway->dispatch, &ask, service->name,
                      service->memory_tokens, now_ms);
    }
  csp_handle_local_answers (gateway);
}
