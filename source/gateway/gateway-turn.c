#include "gateway/gateway-move-imp.h"

/* Which streams leave a target, when, and in which order.  */

enum
{
  /* A run expected to end within this time ends where it is: targets keep
     running for more than a second after they announce that they leave.  */
  ENDS_SOON_MS = 500,
  /* A run that is longer than estimated is expected to continue for a third of
     its time so far.  */
  OVERDUE_DIVISOR = 3,
  /* Between the turns of two hosts: covers the last part of a copy and the
     error in the estimate of its duration.  */
  TURN_MARGIN_MS = 40,
  TURN_TICK_MS = 10,
  /* Events come every 30 to 60 ms, but a batch that reads long prompts pauses
     for some tenths of a second.  */
  SILENT_MS = 900,
  /* A sound target may send nothing for a second and go on with the run, which
     then ran twice.  */
  SILENT_SOUND_MS = 1500
};

/* Estimates of the output length are right in the median and far off in the
   tails, so a run that is longer than estimated is expected to continue for a
   part of its time so far.  Before its first event it has taken none.  */
int64_t
csp_expected_remaining_ms (const csp_exchange_t *exchange)
{
  int64_t took_ms = exchange->first_event_ms == 0
                        ? 0
                        : csp_gateway_now_ms (exchange->gateway)
                              - exchange->first_event_ms;
  int64_t expected_total_ms = (int64_t)exchange->output_tokens * CSP_TOKEN_MS;
  int64_t min_ms = took_ms / OVERDUE_DIVISOR;

  return expected_total_ms - took_ms > min_ms ? expected_total_ms - took_ms
                                              : min_ms;
}

uint32_t
csp_expected_left_ms (const csp_exchange_t *exchange)
{
  int64_t left_ms = csp_expected_remaining_ms (exchange);

  return left_ms < UINT32_MAX ? (uint32_t)left_ms : UINT32_MAX;
}

bool
csp_run_ends_in_time (const csp_exchange_t *exchange)
{
  return csp_expected_remaining_ms (exchange) < ENDS_SOON_MS
         && csp_gateway_now_ms (exchange->gateway)
                < exchange->target->leave_seen_at_ms + ENDS_SOON_MS;
}

bool
csp_waits_for_move (csp_exchange_t *exchange)
{
  return exchange->move.wanted && exchange->move.state == CSP_MOVE_NONE
         && exchange->answer_mode == CSP_ANSWER_STREAM
         && exchange->run_started_ms != 0 && exchange->target != NULL
         && exchange->service->supports_kv_moves
         && exchange->move.tries < CSP_MOVE_TRIES_MAX
         && !csp_is_quarantined (exchange);
}

static void
on_move_timer (uv_timer_t *timer)
{
  csp_start_due_moves (timer->data);
}

void
csp_schedule_move_check (csp_gateway_t *gateway)
{
  if (!uv_is_active ((uv_handle_t *)&gateway->move_timer))
    uv_timer_start (&gateway->move_timer, on_move_timer, TURN_TICK_MS, 0);
}

/* Whether this host may begin the move without the decider now.  */
static bool
has_own_turn (const csp_exchange_t *exchange, int64_t now_ms)
{
  return exchange->move.decided_locally && !exchange->target->moving
         && now_ms >= exchange->target->may_move_at_ms;
}

/* Ask the decider for the stream's move.  Returns whether this host may start
   the move now without the decider's grant.  */
static bool
ask_or_may_start (csp_exchange_t *exchange, int64_t now_ms)
{
  if (exchange->asking || now_ms < exchange->move.ask_at_ms
      || csp_run_ends_in_time (exchange))
    return false;
  if (exchange->move.decided_locally)
    return has_own_turn (exchange, now_ms);
  csp_ask_to_move (exchange);
  return false;
}

/* The decider is asked for all streams of this host that leave a target.
   Where it does not answer, streams move one after another, the one with the
   longest expected time first: a stream that is nearly finished may still end
   at its target.  */
void
csp_start_due_moves (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  csp_exchange_t *exchange;
  csp_exchange_t *best = NULL;
  bool waiting = false;

  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    {
      /* A run that is expected to end in time is checked again, since it may
         not.  */
      if (csp_waits_for_move (exchange))
        {
          waiting = true;
          if (ask_or_may_start (exchange, now_ms)
              && (best == NULL
                  || csp_expected_remaining_ms (exchange)
                         > csp_expected_remaining_ms (best)))
            best = exchange;
        }
    }
  if (waiting)
    uv_timer_start (&gateway->move_timer, on_move_timer, TURN_TICK_MS, 0);
  if (best != NULL)
    csp_begin_move (best, NULL);
}

/* Without a decider, hosts move their streams away from a target in turns, in
   an order that each host computes from the loads that all have reported.
   Otherwise a stopped run would wait for copies that other hosts put on the
   link before, and its caller would see a pause of tenths of a second.  The
   turn of a host that is down stays unused.  */
typedef struct
{
  const csp_fleet_target_t *target;
  uint64_t own_rank;
  uint64_t tokens_before;
  uint32_t hosts_before;
} move_turn_t;

static void
count_earlier_host (void *state, csp_peer_address_t peer,
                    const csp_peer_load_t *load)
{
  move_turn_t *turn = state;

  if (load->target != turn->target->hash || load->movable_tokens == 0
      || csp_hash_peer_rank (peer, load->target) >= turn->own_rank)
    return;
  turn->tokens_before += load->movable_tokens;
  turn->hosts_before++;
}

static int64_t
own_turn_ms (const csp_gateway_t *gateway, const csp_fleet_target_t *target)
{
  move_turn_t turn
      = { .target = target,
          .own_rank = csp_hash_peer_rank (gateway->self, target->hash) };
  const csp_route_service_t *service = NULL;

  if (gateway->routes != NULL)
    service = csp_find_route_service (gateway->routes, target->row.service);
  if (service == NULL || gateway->roster == NULL)
    return 0;
  csp_visit_peer_loads (gateway->roster, count_earlier_host, &turn);
  return (int64_t)((double)turn.tokens_before * service->copy_ms_per_token)
         + turn.hosts_before * TURN_MARGIN_MS;
}

void
csp_count_movable (csp_exchange_t *exchange, bool movable)
{
  csp_fleet_target_t *target = exchange->target;
  uint64_t tokens = movable && exchange->route->kind == CSP_ROUTE_STREAM
                            && exchange->service->supports_kv_moves
                        ? exchange->tokens
                        : 0;

  if (target == NULL)
    return;
  target->own.movable_tokens += tokens - exchange->movable_tokens;
  exchange->movable_tokens = tokens;
  csp_note_own_load_changed (exchange->gateway->fleet, target);
}

void
csp_drop_copies_at (csp_gateway_t *gateway, const csp_fleet_target_t *target)
{
  csp_exchange_t *exchange;

  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    {
      if (exchange->backup == target)
        exchange->backup = NULL;
      if (exchange->move.destination == target)
        csp_note_destination_left (exchange);
    }
}

void
csp_drain_target (csp_gateway_t *gateway, csp_fleet_target_t *target)
{
  csp_exchange_t *exchange;

  target->leave_seen_at_ms = csp_gateway_now_ms (gateway);
  target->may_move_at_ms
      = csp_gateway_now_ms (gateway) + own_turn_ms (gateway, target);
  csp_drop_copies_at (gateway, target);
  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    {
      if (exchange->target == target)
        csp_consider_move (exchange);
    }
}

/* Whether a run at a target is to be watched for silence.  A run that was sent
   again reads its prompt first, so it is watched only where its target is
   gone.  */
static bool
may_be_silent (const csp_exchange_t *exchange)
{
  if (exchange->resume.pending)
    return exchange->link != NULL && csp_may_leave_gone_target (exchange);
  return exchange->run_started_ms != 0
         && exchange->answer_mode == CSP_ANSWER_STREAM
         && (exchange->move.state == CSP_MOVE_NONE
             || csp_may_leave_gone_target (exchange));
}

static int64_t
silence_limit_ms (const csp_exchange_t *exchange)
{
  bool sound
      = exchange->target != NULL && exchange->target->state == CSP_FLEET_READY;

  return csp_extend_timeout_ms (exchange->gateway,
                                sound ? SILENT_SOUND_MS : SILENT_MS);
}

/* A target that lost power or was cut off sends nothing more while its
   connection stays open; without this check the caller would wait for seconds
   and then disconnect.  */
void
csp_resume_silent_streams (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  csp_exchange_t *exchange;

  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    {
      if (may_be_silent (exchange)
          && now_ms - exchange->last_data_ms >= silence_limit_ms (exchange)
          && csp_caller_backlog (exchange->caller) == 0)
        {
          csp_log_move (exchange, "silent", exchange->backup);
          exchange->last_data_ms = now_ms;
          csp_leave_silent_run (exchange);
        }
    }
}
