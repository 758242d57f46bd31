#include "gateway/gateway-move-imp.h"

#include <string.h>

/* Moving a running stream to another target.

   Load pattern: several in a hundred targets are taken away every few seconds,
   at shorter notice than a generation takes.  Without moves each stream there
   is lost, and long ones most often.  The run's memory is copied either to a
   second target as it grows (backup), or on demand while the run continues,
   with the rest after the run has stopped (move).  A run that can be stopped
   is moved; a backup serves where a target ends without notice.  The old run
   has ended before the new one starts: see gateway-run-end.c.  The new one
   resumes after the last event sent to the caller.  */

enum
{
  /* Covers a copy of a run at a target's memory limit over a busy link; after
     that the target itself is gone.  */
  MOVE_TIMEOUT_MS = 2000,
  /* A target without free memory isn't asked again for this long; by then its
     load has been reported.  If it is the only other target, it is tried
     again.  */
  REFUSED_FOR_MS = 100,
  ANSWER_MAX_BYTES = 65536,
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409
};

/* A moved run takes its memory once and is lost if no target has it free, so
   moves may fill a target completely.  */
static const double move_share_max = 1.0;

static void copy_run (csp_exchange_t *exchange, bool last);

void
csp_reserve_move (csp_exchange_t *exchange, csp_fleet_target_t *to)
{
  exchange->move.destination = to;
  to->own.backup_tokens += exchange->tokens;
  to->users++;
  csp_note_own_load_changed (exchange->gateway->fleet, to);
  csp_schedule_load_report (exchange->gateway);
}

void
csp_drop_move (csp_exchange_t *exchange)
{
  csp_move_t *move = &exchange->move;

  csp_drop_ask (exchange);
  if (move->link != NULL)
    csp_close_link (move->link);
  move->link = NULL;
  if (move->destination != NULL)
    {
      move->destination->own.backup_tokens -= exchange->tokens;
      move->destination->users--;
      csp_note_own_load_changed (exchange->gateway->fleet, move->destination);
      csp_schedule_load_report (exchange->gateway);
    }
  move->destination = NULL;
  if (move->source != NULL)
    {
      move->source->moving = false;
      move->source->users--;
    }
  move->source = NULL;
  csp_drop_kept_copy (move);
  move->state = CSP_MOVE_NONE;
  uv_timer_stop (&move->timer);
  csp_clear_buffer (&move->answer);
  csp_release_move (exchange);
}

void
csp_log_move (const csp_exchange_t *exchange, const char *step,
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

void
csp_complete_move (csp_exchange_t *exchange)
{
  exchange->gateway->counts.moves++;
  exchange->moves++;
  csp_add_count (exchange->labels, CSP_COUNT_RESUMES, 1);
  csp_log_move (exchange, "arrived", exchange->target);
  csp_drop_kept_copy (&exchange->move);
  exchange->move.state = CSP_MOVE_NONE;
  exchange->move.tries = 0;
  if (exchange->target->state == CSP_FLEET_LEAVING
      || exchange->target->state == CSP_FLEET_GONE)
    csp_consider_move (exchange);
}

/* A move that fails while the run is still at its source is tried again at its
   next turn.  A source that refuses to stop the run has not stopped it, and
   its stream continues.  */
static void
give_up_move (csp_exchange_t *exchange, csp_run_reply_kind_t kind,
              const char *why)
{
  csp_run_reply_t reply = { .kind = kind };

  exchange->gateway->counts.moves_failed++;
  csp_log_move (exchange, why, exchange->move.destination);
  exchange->move.ask_at_ms
      = csp_gateway_now_ms (exchange->gateway) + CSP_MOVE_RETRY_MS;
  if (exchange->move.state == CSP_MOVE_STOPPING && exchange->link == NULL)
    {
      csp_finish_run_check (exchange, &reply);
      return;
    }
  csp_drop_move (exchange);
  csp_schedule_move_check (exchange->gateway);
}

/* The destination leaves or has restarted during the first copy: the run would
   have to move again at once, or would not find its copy.  The run still
   continues at its source, so another destination is asked for.  A run that is
   already stopped resumes as it can.  */
void
csp_note_destination_left (csp_exchange_t *exchange)
{
  if (exchange->move.state == CSP_MOVE_COPYING)
    give_up_move (exchange, CSP_RUN_REPLY_BROKEN, "destination-left");
}

static void
on_copy_timeout (uv_timer_t *timer)
{
  csp_exchange_t *exchange = timer->data;

  if (!exchange->ended)
    give_up_move (exchange, CSP_RUN_REPLY_LATE, "copy-late");
}

static void
on_copy_answered (void *state, const csp_http_head_t *head)
{
  csp_exchange_t *exchange = state;

  exchange->move.status = head->status;
  csp_handle_target_state (exchange->gateway, exchange->target, head, 0);
}

bool
csp_append_move_answer (csp_exchange_t *exchange, const char *piece,
                        size_t piece_bytes)
{
  csp_buffer_t *answer = &exchange->move.answer;

  return answer->size_bytes + piece_bytes <= ANSWER_MAX_BYTES
         && csp_append_buffer (answer, piece, piece_bytes);
}

static void
on_copy_body (void *state, const char *piece, size_t piece_bytes)
{
  csp_exchange_t *exchange = state;

  if (!csp_append_move_answer (exchange, piece, piece_bytes))
    give_up_move (exchange, CSP_RUN_REPLY_BROKEN, "answer-too-long");
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

  csp_release_link (exchange->gateway, exchange->target, move->link);
  move->link = NULL;
  uv_timer_stop (&move->timer);
  if (stopping && readable && answer.handle[0] != '\0')
    {
      csp_resume_stopped_run (exchange, &answer);
      return;
    }
  if (!stopping && move->status == STATUS_OK)
    {
      copy_run (exchange, true);
      return;
    }
  if (stopping && move->status == STATUS_NOT_FOUND && exchange->link != NULL)
    {
      /* The run ended by itself; the rest of its stream is being received.  */
      csp_drop_move (exchange);
      return;
    }
  if (move->status != STATUS_CONFLICT)
    {
      move->refusing_target = move->destination->hash;
      move->refused_until_ms
          = csp_gateway_now_ms (exchange->gateway) + REFUSED_FOR_MS;
    }
  give_up_move (exchange, CSP_RUN_REPLY_ANSWERED,
                stopping ? "stop-refused" : "copy-refused");
}

static void
on_copy_failed (void *state, csp_link_failure_t why)
{
  csp_exchange_t *exchange = state;

  give_up_move (exchange, csp_classify_run_reply (exchange->move.link, why),
                "copy-failed");
}

static const csp_link_events_t copy_events = { .answered = on_copy_answered,
                                               .body = on_copy_body,
                                               .ended = on_copy_ended,
                                               .failed = on_copy_failed };

/* Ask the source to copy the run's memory to the destination.  */
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
  if (move->source == NULL)
    {
      move->source = exchange->target;
      move->source->moving = true;
      move->source->users++;
    }
  move->link = csp_acquire_link (exchange->gateway, exchange->target);
  if (move->link == NULL)
    {
      give_up_move (exchange, CSP_RUN_REPLY_BROKEN, "no-connection");
      return;
    }
  move->state = last ? CSP_MOVE_STOPPING : CSP_MOVE_COPYING;
  if (last)
    csp_begin_run_check (exchange, CSP_RUN_CHECK_STOP, "the target leaves");
  csp_log_move (exchange, last ? "stop" : "copy", move->destination);
  csp_start_link_request (move->link, &copy_events, exchange, false);
  csp_print_target_address (exchange->target, source);
  csp_print_target_address (move->destination, to);
  if (!dialect->write_move (source, exchange->request_id, to, last, &request)
      || !csp_write_link (move->link, request.data, request.size_bytes))
    {
      csp_clear_buffer (&request);
      give_up_move (exchange, CSP_RUN_REPLY_BROKEN, "no-connection");
      return;
    }
  csp_finish_link_request (move->link);
  csp_clear_buffer (&request);
  uv_timer_start (&move->timer, on_copy_timeout, MOVE_TIMEOUT_MS, 0);
}

void
csp_consider_move (csp_exchange_t *exchange)
{
  csp_move_t *move = &exchange->move;

  if (exchange->route->kind != CSP_ROUTE_STREAM || exchange->body_streams
      || exchange->service == NULL || move->state != CSP_MOVE_NONE
      || csp_is_quarantined (exchange))
    return;
  if (!move->wanted)
    {
      move->tries = 0;
      move->decided_locally = false;
      move->ask_at_ms = 0;
    }
  move->wanted = true;
  if (exchange->answer_mode != CSP_ANSWER_STREAM
      || exchange->run_started_ms == 0)
    return;
  csp_schedule_moves (exchange->gateway);
}

/* Choose the destination without a grant of the decider.  If all targets seem
   full, try one anyway: reported loads are an upper bound, and a run that
   stays is certainly lost.  */
static csp_fleet_target_t *
choose_locally (csp_exchange_t *exchange)
{
  csp_fleet_target_t *to
      = csp_choose_other_target (exchange, exchange->target, move_share_max);

  return to != NULL ? to
                    : csp_choose_other_target (exchange, exchange->target, 0);
}

/* Start with a copy while the run continues.  */
void
csp_begin_move (csp_exchange_t *exchange, csp_fleet_target_t *to)
{
  exchange->move.tries++;
  if (to == NULL && exchange->service->supports_kv_moves)
    to = choose_locally (exchange);
  if (to == NULL || !exchange->service->supports_kv_moves)
    {
      csp_release_move (exchange);
      return;
    }
  csp_reserve_move (exchange, to);
  copy_run (exchange, false);
}
