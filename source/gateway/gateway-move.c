#include "gateway/gateway-exchange-imp.h"

#include <arpa/inet.h>
#include <string.h>

/* Taking a stream to another target, in the middle.

   Load pattern: targets are taken away at short notice, several in each
   hundred every few seconds, and a text takes longer than that.  Without
   moving, each text that is being written there is lost, and the longer it
   is the surer.  The run's memory goes ahead by one of two ways: it is copied
   to a second target as it grows (backup), or it is copied on demand while
   the run goes on, and then once more for the rest after the run was stopped
   (move).  Either way the old run has ended before the new one is asked for,
   so that no two work at once, and the new one goes on behind the last event
   that the caller was sent.  */

enum
{
  /* A run whose end is nearer than this, by the guess of its length, ends
     where it is: targets serve for a second and more behind their notice.  */
  ENDS_SOON_MS = 500,
  /* What one token takes in a batch that is half full.  */
  TOKEN_MS = 10,
  /* A run that has outlived its guess is expected to take a third more.  */
  OUTLIVED_PART = 3,
  /* A copy of a prompt of 3,000 tokens was not there after 470 ms, of which it
     takes 200 to 400 on an idle link.  */
  BACKUP_SETTLES_MS = 600,
  BACKUP_COPY_TIMES = 3,
  /* A copy of a run at a target's limit of memory over a busy link; behind
     this the target itself is gone.  */
  MOVE_TIMEOUT_MS = 2000,
  /* Between the turns of two hosts: the last rest of a run and what the
     estimate of its length is off.  */
  TURN_MARGIN_MS = 40,
  TURN_TICK_MS = 10,
  /* Events come every 30 to 60 ms, and a batch that takes in long prompts
     pauses for some tenths of a second.  */
  SILENT_MS = 900,
  TRIES_MAX = 4,
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409
};

static void copy_run (csp_exchange_t *exchange, bool last);

void
csp_drop_backup (csp_exchange_t *exchange)
{
  csp_fleet_target_t *backup = exchange->reserved_backup;

  exchange->backup = NULL;
  exchange->reserved_backup = NULL;
  if (backup == NULL)
    return;
  backup->own.backup_tokens -= exchange->tokens;
  backup->users--;
}

/* A copy that throws runs out of memory costs more than it saves: each of
   those is read again.  With half of the streams backed up the others have
   the link between targets to themselves when their target leaves.  */
static const double backup_share_max = 0.75;

/* A run that moves takes room once, and is lost if it gets none.  */
static const double move_share_max = 1.0;

static csp_fleet_target_t *
choose_elsewhere (csp_exchange_t *exchange, const csp_fleet_target_t *target,
                  double share_max)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_fleet_need_t need = { .service = exchange->service->name,
                            .data_centre = target->data_centre,
                            .memory_share_max = share_max,
                            .by_memory = true,
                            .memory_tokens = exchange->service->memory_tokens,
                            .tokens = exchange->tokens,
                            .is_copy = true,
                            .not_this = target,
                            .nor_this = exchange->move.refused };

  return csp_choose_fleet_target (gateway->fleet, &need, &gateway->random,
                                  csp_gateway_now_ms (gateway));
}

void
csp_choose_backup (csp_exchange_t *exchange, const csp_fleet_target_t *target)
{
  csp_fleet_target_t *backup;

  csp_drop_backup (exchange);
  if (exchange->route->kind != CSP_ROUTE_STREAM
      || !exchange->service->takes_backups)
    return;
  backup = choose_elsewhere (exchange, target, backup_share_max);
  if (backup == NULL)
    return;
  backup->own.backup_tokens += exchange->tokens;
  backup->users++;
  exchange->backup = backup;
  exchange->reserved_backup = backup;
}

/* Whether there may be a copy to go on from.  */
static bool
backup_stands (const csp_exchange_t *exchange)
{
  return exchange->backup != NULL
         && (exchange->backup->state == CSP_FLEET_READY
             || exchange->backup->state == CSP_FLEET_LAPSED)
         && exchange->run_since_ms != 0;
}

/* Whether the copy is surely whole, so that a sound run may be given up for
   it.  Copying begins with the run's first token; between data centres it
   takes twice as long, and others may be on the link.  */
static bool
backup_is_whole (const csp_exchange_t *exchange)
{
  double copy_ms
      = (double)exchange->prompt_tokens * exchange->service->copy_ms_per_token;
  int64_t settles_ms
      = BACKUP_SETTLES_MS + (int64_t)(BACKUP_COPY_TIMES * copy_ms);

  return backup_stands (exchange)
         && csp_gateway_now_ms (exchange->gateway) - exchange->run_since_ms
                >= settles_ms;
}

/* Count the room that the copy takes, so that no other move goes there.  */
static void
reserve_move (csp_exchange_t *exchange, csp_fleet_target_t *to)
{
  exchange->move.to = to;
  to->own.backup_tokens += exchange->tokens;
  to->users++;
  csp_tell_load (exchange->gateway);
}

void
csp_drop_move (csp_exchange_t *exchange)
{
  csp_move_t *move = &exchange->move;

  if (move->link != NULL)
    csp_close_link (move->link);
  move->link = NULL;
  if (move->to != NULL)
    {
      move->to->own.backup_tokens -= exchange->tokens;
      move->to->users--;
      csp_tell_load (exchange->gateway);
    }
  move->to = NULL;
  if (move->from != NULL)
    {
      move->from->moving = false;
      move->from->users--;
    }
  move->from = NULL;
  move->state = CSP_MOVE_NONE;
  uv_timer_stop (&move->timer);
  csp_clear_buffer (&move->answer);
}

static void
log_move (const csp_exchange_t *exchange, const char *step,
          const csp_fleet_target_t *to)
{
  CSP_LOG (exchange->gateway->log, CSP_EVENT_STREAM_MOVED,
           exchange->request_id, csp_text ("step", step),
           csp_text ("target", exchange->target == NULL
                                   ? NULL
                                   : exchange->target->row.id),
           csp_text ("to", to == NULL ? NULL : to->row.id),
           csp_text ("last_event", exchange->last_event),
           csp_number ("events", (int64_t)exchange->events),
           csp_number ("status", exchange->move.status),
           csp_number ("silent_ms", csp_gateway_now_ms (exchange->gateway)
                                        - exchange->last_data_ms));
}

/* Go on at another target from a copy that lies there or at the source.  */
static bool
resume_at (csp_exchange_t *exchange, csp_fleet_target_t *to, const char *copy)
{
  char kept_copy[CSP_COPY_TEXT_BYTES];

  log_move (exchange, "resume", to);
  snprintf (kept_copy, sizeof kept_copy, "%s", copy);
  csp_drop_move (exchange);
  csp_drop_attempt (exchange);
  csp_clear_buffer (&exchange->kept);
  csp_choose_backup (exchange, to);
  exchange->move.state = CSP_MOVE_RESUMING;
  exchange->move.wanted = false;
  exchange->move.tries++;
  return csp_send_to_target (exchange, to, kept_copy);
}

static bool
resume_from_backup (csp_exchange_t *exchange)
{
  const csp_dialect_t *dialect = exchange->gateway->dialect;
  char address[CSP_ADDRESS_TEXT_BYTES];
  char copy[CSP_COPY_TEXT_BYTES];
  csp_fleet_target_t *to = exchange->backup;

  csp_print_target_address (to, address);
  dialect->write_copy (address, exchange->request_id, copy, sizeof copy);
  return resume_at (exchange, to, copy);
}

bool
csp_rescue_stream (csp_exchange_t *exchange)
{
  csp_move_t *move = &exchange->move;

  if (exchange->route->kind != CSP_ROUTE_STREAM || exchange->body_streams)
    return false;
  if (move->state == CSP_MOVE_STOPPING)
    {
      if (exchange->link != NULL)
        csp_close_link (exchange->link);
      exchange->link = NULL;
      return true;
    }
  if (move->state == CSP_MOVE_RESUMING || move->tries >= TRIES_MAX
      || !backup_stands (exchange))
    return false;
  return resume_from_backup (exchange);
}

void
csp_move_arrived (csp_exchange_t *exchange)
{
  exchange->gateway->counts.moves++;
  exchange->moves++;
  csp_count (exchange->labels, CSP_COUNT_RESUMES, 1);
  log_move (exchange, "arrived", exchange->target);
  exchange->move.state = CSP_MOVE_NONE;
  exchange->move.tries = 0;
  if (exchange->target->state == CSP_FLEET_LEAVING
      || exchange->target->state == CSP_FLEET_GONE)
    csp_want_move (exchange);
}

/* A move that failed while the run is still where it was is tried again when
   its turn comes.  One that failed after the stop has lost the run.  */
static void
give_up_move (csp_exchange_t *exchange, const char *why)
{
  /* A target that refuses to stop the run has not stopped it, and its stream
     goes on.  */
  bool stopped
      = exchange->move.state == CSP_MOVE_STOPPING && exchange->link == NULL;

  exchange->gateway->counts.moves_failed++;
  log_move (exchange, why, exchange->move.to);
  csp_drop_move (exchange);
  if (!stopped)
    return;
  if (backup_stands (exchange) && resume_from_backup (exchange))
    return;
  csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT, why);
}

static void
on_copy_timeout (uv_timer_t *timer)
{
  csp_exchange_t *exchange = timer->data;

  if (!exchange->over)
    give_up_move (exchange, "copy-late");
}

static void
on_copy_answered (void *state, const csp_http_head_t *head)
{
  csp_exchange_t *exchange = state;

  exchange->move.status = head->status;
}

static void
on_copy_body (void *state, const char *piece, size_t piece_bytes)
{
  csp_exchange_t *exchange = state;

  if (!csp_append_buffer (&exchange->move.answer, piece, piece_bytes))
    give_up_move (exchange, "out-of-memory");
}

/* The run stopped and its memory lies at the other target, or still at the
   source where that had no room.  */
static void
resume_stopped (csp_exchange_t *exchange, const csp_move_answer_t *answer)
{
  const csp_dialect_t *dialect = exchange->gateway->dialect;
  csp_fleet_target_t *to = exchange->move.status == STATUS_OK
                               ? exchange->move.to
                               : exchange->target;
  char address[CSP_ADDRESS_TEXT_BYTES];
  char copy[CSP_COPY_TEXT_BYTES];

  csp_print_target_address (exchange->target, address);
  dialect->write_copy (address, answer->handle, copy, sizeof copy);
  if (!resume_at (exchange, to, copy))
    csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT,
                       "no connection to go on");
}

static void
on_copy_ended (void *state)
{
  csp_exchange_t *exchange = state;
  csp_move_t *move = &exchange->move;
  csp_move_answer_t answer = { .handle = "" };
  bool stopping = move->state == CSP_MOVE_STOPPING;
  bool readable = exchange->gateway->dialect->read_move (
      move->answer.data, move->answer.size_bytes, &answer);

  csp_give_link_back (exchange->gateway, exchange->target, move->link);
  move->link = NULL;
  uv_timer_stop (&move->timer);
  if (stopping && readable && answer.handle[0] != '\0')
    {
      resume_stopped (exchange, &answer);
      return;
    }
  if (!stopping && move->status == STATUS_OK)
    {
      copy_run (exchange, true);
      return;
    }
  if (stopping && move->status == STATUS_NOT_FOUND && exchange->link != NULL)
    {
      /* The run ended by itself; the rest of its stream is on its way.  */
      csp_drop_move (exchange);
      return;
    }
  if (move->status != STATUS_CONFLICT)
    move->refused = move->to;
  give_up_move (exchange, stopping ? "stop-refused" : "copy-refused");
}

static void
on_copy_failed (void *state, csp_link_failure_t why)
{
  (void)why;
  give_up_move (state, "copy-failed");
}

static const csp_link_events_t copy_events = { .answered = on_copy_answered,
                                               .body = on_copy_body,
                                               .ended = on_copy_ended,
                                               .failed = on_copy_failed };

/* Ask the source to copy the run's memory to move.to.  */
static void
copy_run (csp_exchange_t *exchange, bool last)
{
  const csp_dialect_t *dialect = exchange->gateway->dialect;
  csp_move_t *move = &exchange->move;
  char source[CSP_ADDRESS_TEXT_BYTES];
  char to[CSP_ADDRESS_TEXT_BYTES];
  csp_buffer_t request = { 0 };

  csp_clear_buffer (&move->answer);
  move->status = 0;
  if (move->from == NULL)
    {
      move->from = exchange->target;
      move->from->moving = true;
      move->from->users++;
    }
  move->link = csp_take_link (exchange->gateway, exchange->target);
  if (move->link == NULL)
    {
      give_up_move (exchange, "no-connection");
      return;
    }
  move->state = last ? CSP_MOVE_STOPPING : CSP_MOVE_COPYING;
  log_move (exchange, last ? "stop" : "copy", move->to);
  csp_start_link_request (move->link, &copy_events, exchange, false);
  csp_print_target_address (exchange->target, source);
  csp_print_target_address (move->to, to);
  if (!dialect->write_move (source, exchange->request_id, to, last, &request)
      || !csp_write_link (move->link, request.data, request.size_bytes))
    {
      csp_clear_buffer (&request);
      give_up_move (exchange, "no-connection");
      return;
    }
  csp_finish_link_request (move->link);
  csp_clear_buffer (&request);
  uv_timer_start (&move->timer, on_copy_timeout, MOVE_TIMEOUT_MS, 0);
}

/* How much longer the run will probably write.  Guesses of the length are
   right in the median and far off in the tails, so a run that has outlived its
   guess goes on for some part of what it took so far.  */
static int64_t
expected_left_ms (const csp_exchange_t *exchange)
{
  int64_t took_ms
      = csp_gateway_now_ms (exchange->gateway) - exchange->first_event_ms;
  int64_t whole_ms = (int64_t)exchange->output_tokens * TOKEN_MS;
  int64_t least_ms = took_ms / OUTLIVED_PART;

  return whole_ms - took_ms > least_ms ? whole_ms - took_ms : least_ms;
}

/* Whether the run will probably end before its target does.  */
static bool
ends_in_time (const csp_exchange_t *exchange)
{
  return expected_left_ms (exchange) < ENDS_SOON_MS
         && csp_gateway_now_ms (exchange->gateway)
                < exchange->target->left_at_ms + ENDS_SOON_MS;
}

void
csp_want_move (csp_exchange_t *exchange)
{
  csp_move_t *move = &exchange->move;

  if (exchange->route->kind != CSP_ROUTE_STREAM || exchange->body_streams
      || exchange->service == NULL || move->state != CSP_MOVE_NONE)
    return;
  if (!move->wanted)
    move->tries = 0;
  move->wanted = true;
  if (exchange->mode != CSP_ANSWER_STREAM || exchange->events == 0)
    return;
  if (backup_is_whole (exchange) && !ends_in_time (exchange))
    {
      if (!resume_from_backup (exchange))
        csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT,
                           "no connection to go on");
      return;
    }
  csp_pump_moves (exchange->gateway);
}

/* Whether the stream waits for its turn to be moved.  */
static bool
waits_for_turn (const csp_exchange_t *exchange)
{
  return exchange->move.wanted && exchange->move.state == CSP_MOVE_NONE
         && exchange->mode == CSP_ANSWER_STREAM && exchange->events > 0
         && exchange->target != NULL && exchange->move.tries < TRIES_MAX
         && !ends_in_time (exchange);
}

/* Begin to move a stream: first a copy, while the run goes on.  */
static void
begin_move (csp_exchange_t *exchange)
{
  csp_fleet_target_t *to;

  exchange->move.tries++;
  if (backup_is_whole (exchange))
    {
      if (!resume_from_backup (exchange))
        csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT,
                           "no connection to go on");
      return;
    }
  if (!exchange->service->moves_runs)
    return;
  to = choose_elsewhere (exchange, exchange->target, move_share_max);
  /* Where all seem full the engines decide: what was told of them is an upper
     bound, and a run that stays is lost for sure.  */
  if (to == NULL)
    to = choose_elsewhere (exchange, exchange->target, 0);
  if (to == NULL)
    return;
  reserve_move (exchange, to);
  copy_run (exchange, false);
}

static void
on_move_timer (uv_timer_t *timer)
{
  csp_pump_moves (timer->data);
}

/* The streams of this host that leave one target go one after another, the
   one that has longest to go first: what is nearly done may still end where
   it is.  */
void
csp_pump_moves (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  csp_exchange_t *best = NULL;
  csp_exchange_t *exchange;
  bool waiting = false;

  for (exchange = gateway->exchanges; exchange != NULL;
       exchange = exchange->next)
    {
      if (!waits_for_turn (exchange))
        continue;
      waiting = true;
      if (exchange->target->moving || now_ms < exchange->target->turn_at_ms)
        continue;
      if (best == NULL
          || expected_left_ms (exchange) > expected_left_ms (best))
        best = exchange;
    }
  if (waiting)
    uv_timer_start (&gateway->move_timer, on_move_timer, TURN_TICK_MS, 0);
  if (best != NULL)
    begin_move (best);
}

/* Hosts move their streams from one target in turns, by what each has told of
   its streams there: a run that is stopped waits for the copies that others
   have put on the link before, and its caller sees a pause of tenths of a
   second.  Each host knows the order and the lengths, so nobody has to be
   asked; one that is gone leaves its turn empty.  */
typedef struct
{
  const csp_fleet_target_t *target;
  uint64_t own_rank;
  uint64_t tokens_before;
  uint32_t hosts_before;
} turn_t;

static uint64_t
rank_of (uint64_t target, csp_peer_address_t peer)
{
  /* Knuth's multiplicative hash, so that turns differ by target.  */
  return (((uint64_t)peer.ip << 16 | peer.port) ^ target)
         * 0x9e3779b97f4a7c15U;
}

static void
count_turn (void *state, csp_peer_address_t peer, const csp_peer_load_t *load)
{
  turn_t *turn = state;

  if (load->target != turn->target->hash || load->movable_tokens == 0
      || rank_of (load->target, peer) >= turn->own_rank)
    return;
  turn->tokens_before += load->movable_tokens;
  turn->hosts_before++;
}

static int64_t
own_turn_ms (const csp_gateway_t *gateway, const csp_fleet_target_t *target)
{
  const struct sockaddr_in *self = &gateway->settings.peers;
  csp_peer_address_t own = { .ip = ntohl (self->sin_addr.s_addr),
                             .port = ntohs (self->sin_port) };
  turn_t turn = { .target = target, .own_rank = rank_of (target->hash, own) };
  const csp_route_service_t *service = NULL;

  if (gateway->routes != NULL)
    service = csp_get_route_service (gateway->routes, target->row.service);
  if (service == NULL || gateway->roster == NULL)
    return 0;
  csp_each_peer_load (gateway->roster, count_turn, &turn);
  return (int64_t)((double)turn.tokens_before * service->copy_ms_per_token)
         + turn.hosts_before * TURN_MARGIN_MS;
}

void
csp_count_movable (csp_exchange_t *exchange, bool movable)
{
  csp_fleet_target_t *target = exchange->target;
  uint64_t tokens = movable && exchange->backup == NULL
                            && exchange->route->kind == CSP_ROUTE_STREAM
                        ? exchange->tokens
                        : 0;

  if (target == NULL)
    return;
  target->own.movable_tokens += tokens - exchange->movable_tokens;
  exchange->movable_tokens = tokens;
}

void
csp_leave_target (csp_gateway_t *gateway, csp_fleet_target_t *target)
{
  csp_exchange_t *exchange = gateway->exchanges;

  target->left_at_ms = csp_gateway_now_ms (gateway);
  target->turn_at_ms
      = csp_gateway_now_ms (gateway) + own_turn_ms (gateway, target);
  while (exchange != NULL)
    {
      csp_exchange_t *next = exchange->next;

      if (exchange->backup == target)
        {
          exchange->backup = NULL;
          if (exchange->run_since_ms != 0)
            csp_count_movable (exchange, true);
        }
      if (exchange->target == target)
        csp_want_move (exchange);
      exchange = next;
    }
}

/* A target that lost power or was cut off says nothing more, and its
   connection stays open.  One notices a stream that stands still; the caller
   waits for seconds and then leaves.  */
void
csp_watch_streams (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  csp_exchange_t *exchange = gateway->exchanges;

  while (exchange != NULL)
    {
      csp_exchange_t *next = exchange->next;

      if (exchange->events > 0 && exchange->mode == CSP_ANSWER_STREAM
          && exchange->move.state == CSP_MOVE_NONE
          && now_ms - exchange->last_data_ms >= SILENT_MS
          && csp_caller_backlog (exchange->caller) == 0)
        {
          log_move (exchange, "silent", exchange->backup);
          exchange->last_data_ms = now_ms;
          csp_rescue_stream (exchange);
        }
      exchange = next;
    }
}
