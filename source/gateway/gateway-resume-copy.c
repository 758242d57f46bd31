#include "gateway/gateway-move-imp.h"

#include <stdio.h>

/* Resuming a run from a copy of its memory, after the last event sent to the
   caller.

   Load pattern: targets leave in a burst while the others' memory is nearly
   full, so that stopped runs find no room; their sources still have them.  */

enum
{
  /* The list comes later than the platform wrote it, and a request takes a
     while to arrive.  */
  LEAVE_MARGIN_MS = 300,
  STATUS_OK = 200
};

/* Whether the target leaves and may no longer be sent requests.  */
static bool
has_left (const csp_gateway_t *gateway, const csp_fleet_target_t *target)
{
  int64_t limit_ms = gateway->settings.leave_limit_ms;

  return limit_ms != 0 && target->leave_listed_ms != 0
         && csp_gateway_now_ms (gateway) - target->leave_listed_ms
                >= limit_ms - LEAVE_MARGIN_MS;
}

void
csp_drop_kept_copy (csp_move_t *move)
{
  if (move->kept_by != NULL)
    move->kept_by->users--;
  move->kept_by = NULL;
}

/* Resume at another target from a copy held there or at the source.  */
static bool
resume_at (csp_exchange_t *exchange, csp_fleet_target_t *to, const char *copy,
           const char *cause)
{
  char saved_copy[CSP_COPY_TEXT_BYTES];

  csp_log_run_left (exchange, cause);
  csp_log_move (exchange, "resume", to);
  csp_note_run_lost (exchange);
  snprintf (saved_copy, sizeof saved_copy, "%s", copy);
  csp_drop_move (exchange);
  csp_drop_attempt (exchange);
  csp_clear_buffer (&exchange->buffered);
  csp_choose_backup (exchange, to);
  exchange->move.state = CSP_MOVE_RESUMING;
  exchange->move.wanted = false;
  exchange->move.tries++;
  return csp_send_to_target (exchange, to, saved_copy);
}

static bool
resume_from_backup (csp_exchange_t *exchange)
{
  const csp_dialect_t *dialect = exchange->gateway->dialect;
  char address[CSP_ADDRESS_TEXT_BYTES];
  char copy[CSP_COPY_TEXT_BYTES];
  csp_fleet_target_t *to = exchange->backup;

  csp_print_target_address (to, address);
  dialect->format_copy_source (address, exchange->request_id, copy,
                               sizeof copy);
  return resume_at (exchange, to, copy, "backup");
}

bool
csp_can_resume_from_backup (csp_exchange_t *exchange)
{
  return exchange->route->kind == CSP_ROUTE_STREAM && !exchange->body_streams
         && exchange->move.state != CSP_MOVE_RESUMING
         && exchange->move.tries < CSP_MOVE_TRIES_MAX
         && csp_has_usable_backup (exchange) && !csp_is_quarantined (exchange);
}

bool
csp_try_resume_stream (csp_exchange_t *exchange)
{
  return csp_can_resume_from_backup (exchange)
         && resume_from_backup (exchange);
}

/* Resume a stopped run at its source.  The run is lost unless it goes on
   there, so it doesn't wait for a grant.  */
static bool
resume_at_source (csp_exchange_t *exchange, csp_fleet_target_t *source,
                  const char *copy)
{
  if (source->rate_limited)
    csp_report_ungranted_request (exchange->gateway, source);
  return resume_at (exchange, source, copy, "move: to its source");
}

bool
csp_resume_kept_copy (csp_exchange_t *exchange)
{
  csp_fleet_target_t *source = exchange->move.kept_by;
  char copy[CSP_COPY_TEXT_BYTES];

  if (source == NULL || source->state == CSP_FLEET_GONE
      || csp_is_quarantined (exchange) || has_left (exchange->gateway, source)
      || !csp_may_resume_at (exchange->gateway, source))
    return false;
  snprintf (copy, sizeof copy, "%s", exchange->move.kept_copy);
  return resume_at_source (exchange, source, copy);
}

/* Resume a stopped run at the destination.  Its source keeps the memory as
   well.  */
static bool
resume_at_destination (csp_exchange_t *exchange, const char *copy)
{
  csp_move_t *move = &exchange->move;
  csp_fleet_target_t *source = exchange->target;

  if (!resume_at (exchange, move->destination, copy, "move"))
    return false;
  move->kept_by = source;
  source->users++;
  snprintf (move->kept_copy, sizeof move->kept_copy, "%s", copy);
  return true;
}

/* The run is stopped.  Its memory is at the destination, or still at the
   source if the destination had no free memory, is gone or has asked to back
   off.  */
void
csp_resume_stopped_run (csp_exchange_t *exchange,
                        const csp_move_answer_t *answer)
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

  csp_note_run_end (exchange, CSP_RUN_END_STOPPED);
  csp_print_target_address (exchange->target, address);
  dialect->format_copy_source (address, answer->handle, copy, sizeof copy);
  if (csp_is_quarantined (exchange))
    csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT,
                       "targets ended under this request");
  else if (has_left (exchange->gateway, to))
    csp_resume_or_cut (exchange, "the engine with the copy has left");
  else if (!csp_may_resume_at (exchange->gateway, to))
    csp_resume_or_cut (exchange, "the data centre is cordoned");
  else if (copied ? !resume_at_destination (exchange, copy)
                  : !resume_at_source (exchange, to, copy))
    csp_resume_or_cut (exchange, "no connection to go on");
}
