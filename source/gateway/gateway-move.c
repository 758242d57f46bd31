#include "gateway/gateway-move-imp.h"

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
  /* A copy of a run at a target's limit of memory over a busy link; behind
     this the target itself is gone.  */
  MOVE_TIMEOUT_MS = 2000,
  /* A target that had no room is left alone that long: what made it full is
     told by then.  Where it is the only other one it is tried again.  */
  REFUSED_FOR_MS = 100,
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409
};

/* A run that moves takes room once, and is lost if it gets none.  */
static const double move_share_max = 1.0;

static void copy_run (csp_exchange_t *exchange, bool last);

/* Count the room that the copy takes, so that no other move goes there.  */
static void
reserve_move (csp_exchange_t *exchange, csp_fleet_target_t *to)
{
  exchange->move.destination = to;
  to->own.backup_tokens += exchange->tokens;
  to->users++;
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
      csp_schedule_load_report (exchange->gateway);
    }
  move->destination = NULL;
  if (move->source != NULL)
    {
      move->source->moving = false;
      move->source->users--;
    }
  move->source = NULL;
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

/* Go on at another target from a copy that lies there or at the source.  */
static bool
resume_at (csp_exchange_t *exchange, csp_fleet_target_t *to, const char *copy)
{
  char kept_copy[CSP_COPY_TEXT_BYTES];

  csp_log_move (exchange, "resume", to);
  snprintf (kept_copy, sizeof kept_copy, "%s", copy);
  csp_drop_move (exchange);
  csp_drop_attempt (exchange);
  csp_clear_buffer (&exchange->buffered);
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
csp_try_resume_stream (csp_exchange_t *exchange)
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
  if (move->state == CSP_MOVE_RESUMING || move->tries >= CSP_MOVE_TRIES_MAX
      || !csp_has_usable_backup (exchange) || csp_is_quarantined (exchange))
    return false;
  return resume_from_backup (exchange);
}

void
csp_complete_move (csp_exchange_t *exchange)
{
  exchange->gateway->counts.moves++;
  exchange->moves++;
  csp_count (exchange->labels, CSP_COUNT_RESUMES, 1);
  csp_log_move (exchange, "arrived", exchange->target);
  exchange->move.state = CSP_MOVE_NONE;
  exchange->move.tries = 0;
  if (exchange->target->state == CSP_FLEET_LEAVING
      || exchange->target->state == CSP_FLEET_GONE)
    csp_consider_move (exchange);
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
  csp_log_move (exchange, why, exchange->move.destination);
  exchange->move.ask_at_ms
      = csp_gateway_now_ms (exchange->gateway) + CSP_MOVE_RETRY_MS;
  csp_drop_move (exchange);
  if (!stopped)
    return;
  if (csp_has_usable_backup (exchange) && resume_from_backup (exchange))
    return;
  csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT, why);
}

/* The second target leaves, or has started again, while the first copy is
   under way: the run would have to move once more at once, or not find its
   copy there.  It still goes on where it is, so another target is asked for
   in time.  One that was stopped goes on as it can.  */
void
csp_note_destination_left (csp_exchange_t *exchange)
{
  if (exchange->move.state == CSP_MOVE_COPYING)
    give_up_move (exchange, "destination-left");
}

static void
on_copy_timeout (uv_timer_t *timer)
{
  csp_exchange_t *exchange = timer->data;

  if (!exchange->ended)
    give_up_move (exchange, "copy-late");
}

static void
on_copy_answered (void *state, const csp_http_head_t *head)
{
  csp_exchange_t *exchange = state;

  exchange->move.status = head->status;
  csp_handle_target_state (exchange->gateway, exchange->target, head);
}

static void
on_copy_body (void *state, const char *piece, size_t piece_bytes)
{
  csp_exchange_t *exchange = state;

  if (!csp_append_buffer (&exchange->move.answer, piece, piece_bytes))
    give_up_move (exchange, "out-of-memory");
}

/* The run stopped and its memory lies at the other target, or still at the
   source where that had no room, is gone meanwhile or has asked for a wait.
 */
static void
resume_stopped (csp_exchange_t *exchange, const csp_move_answer_t *answer)
{
  const csp_dialect_t *dialect = exchange->gateway->dialect;
  bool copied = exchange->move.status == STATUS_OK
                && exchange->move.destination->state != CSP_FLEET_GONE
                && !csp_is_backed_off (exchange->move.destination,
                                       csp_gateway_now_ms (exchange->gateway));
  csp_fleet_target_t *to
      = copied ? exchange->move.destination : exchange->target;
  char address[CSP_ADDRESS_TEXT_BYTES];
  char copy[CSP_COPY_TEXT_BYTES];

  csp_print_target_address (exchange->target, address);
  dialect->write_copy (address, answer->handle, copy, sizeof copy);
  if (csp_is_quarantined (exchange))
    csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT,
                       "targets ended under this request");
  else if (!csp_may_resume_at (exchange->gateway, to))
    csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT,
                       "the data centre is cordoned");
  else if (!resume_at (exchange, to, copy))
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

  csp_release_link (exchange->gateway, exchange->target, move->link);
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
    {
      move->refusing_target = move->destination->hash;
      move->refused_until_ms
          = csp_gateway_now_ms (exchange->gateway) + REFUSED_FOR_MS;
    }
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
  if (move->source == NULL)
    {
      move->source = exchange->target;
      move->source->moving = true;
      move->source->users++;
    }
  move->link = csp_acquire_link (exchange->gateway, exchange->target);
  if (move->link == NULL)
    {
      give_up_move (exchange, "no-connection");
      return;
    }
  move->state = last ? CSP_MOVE_STOPPING : CSP_MOVE_COPYING;
  csp_log_move (exchange, last ? "stop" : "copy", move->destination);
  csp_start_link_request (move->link, &copy_events, exchange, false);
  csp_print_target_address (exchange->target, source);
  csp_print_target_address (move->destination, to);
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
  if (exchange->answer_mode != CSP_ANSWER_STREAM || exchange->events == 0)
    return;
  if (csp_backup_is_whole (exchange) && !csp_run_ends_in_time (exchange))
    {
      if (!resume_from_backup (exchange))
        csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT,
                           "no connection to go on");
      return;
    }
  csp_start_due_moves (exchange->gateway);
}

/* Where a stream goes when nobody has given it room.  Where all seem full the
   targets decide: what was told of them is an upper bound, and a run that
   stays is lost for sure.  */
static csp_fleet_target_t *
choose_alone (csp_exchange_t *exchange)
{
  csp_fleet_target_t *to
      = csp_choose_other_target (exchange, exchange->target, move_share_max);

  return to != NULL ? to
                    : csp_choose_other_target (exchange, exchange->target, 0);
}

/* First a copy, while the run goes on.  */
void
csp_begin_move (csp_exchange_t *exchange, csp_fleet_target_t *to)
{
  exchange->move.tries++;
  if (csp_backup_is_whole (exchange))
    {
      if (!resume_from_backup (exchange))
        csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT,
                           "no connection to go on");
      return;
    }
  if (to == NULL && exchange->service->moves_runs)
    to = choose_alone (exchange);
  if (to == NULL || !exchange->service->moves_runs)
    {
      csp_release_move (exchange);
      return;
    }
  reserve_move (exchange, to);
  copy_run (exchange, false);
}
