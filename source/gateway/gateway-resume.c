#include "gateway/gateway-move-imp.h"

#include <string.h>

/* Requests with event streams that operators declare resumable.

   Load pattern: an engine ends while it runs streams whose callers allow them
   to be resumed or repeated.  Without a copy of its run such a stream would be
   cut off.  Instead the request is sent to another target with the id of the
   last event sent; that target computes the run again and continues after that
   event.  Each such attempt reads the whole prompt again, so it counts as an
   attempt and draws on the retry budget.  The old run has ended before, by the
   word of its target, unless that can't be reached.  */

bool
csp_may_repeat (const csp_exchange_t *exchange)
{
  const csp_gateway_route_t *route = exchange->route;

  return route->kind == CSP_ROUTE_IDEMPOTENT
         || (route->kind == CSP_ROUTE_STREAM && route->resumable
             && !exchange->body_streams);
}

/* Of events without a number nobody can tell whether the caller already has
   them.  */
bool
csp_is_resumable (const csp_exchange_t *exchange)
{
  return exchange->route->kind == CSP_ROUTE_STREAM && csp_may_repeat (exchange)
         && exchange->events > 0 && !exchange->resume.unnumbered;
}

bool
csp_blocks_retry (const csp_exchange_t *exchange)
{
  return exchange->body_streams
         || (exchange->answer_begun && !csp_is_resumable (exchange));
}

static bool
was_lost_at (const csp_resume_t *resume, uint64_t target)
{
  size_t i = 0;

  while (i < resume->lost_count && resume->lost_targets[i] != target)
    i++;
  return i < resume->lost_count;
}

void
csp_note_run_lost (csp_exchange_t *exchange)
{
  csp_resume_t *resume = &exchange->resume;

  if (exchange->route->kind != CSP_ROUTE_STREAM || !csp_may_repeat (exchange)
      || exchange->target == NULL
      || was_lost_at (resume, exchange->target->hash))
    return;
  if (resume->lost_count == CSP_LOST_TARGETS_MAX)
    memmove (resume->lost_targets, resume->lost_targets + 1,
             --resume->lost_count * sizeof resume->lost_targets[0]);
  resume->lost_targets[resume->lost_count++] = exchange->target->hash;
}

void
csp_exclude_lost_targets (const csp_exchange_t *exchange, csp_ask_t *ask)
{
  size_t i;

  /* Where the list is full, a backoff gives way: this host checks backoffs
     again before it uses a placement.  */
  for (i = 0; i < exchange->resume.lost_count; i++)
    if (ask->backoff_count < CSP_ASK_BACKOFFS_MAX)
      ask->backoffs[ask->backoff_count++] = exchange->resume.lost_targets[i];
    else
      ask->backoffs[CSP_ASK_BACKOFFS_MAX - 1 - i]
          = exchange->resume.lost_targets[i];
}

void
csp_handle_broken_stream (csp_exchange_t *exchange, const char *detail)
{
  if (!csp_await_run_end (exchange, detail)
      && !csp_try_resume_stream (exchange))
    csp_resume_or_cut (exchange, detail);
}

void
csp_resume_or_cut (csp_exchange_t *exchange, const char *detail)
{
  if (!csp_is_resumable (exchange) || csp_is_quarantined (exchange))
    {
      csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT, detail);
      return;
    }
  csp_log_run_left (exchange, "no copy");
  csp_log_move (exchange, "resume-without-copy", NULL);
  /* The target of a resume from a copy has not lost the run.  */
  if (exchange->move.state != CSP_MOVE_RESUMING)
    csp_note_run_lost (exchange);
  csp_drop_move (exchange);
  csp_drop_backup (exchange);
  exchange->move.wanted = false;
  exchange->move.tries = 0;
  exchange->answer_mode = CSP_ANSWER_NONE;
  exchange->run_started_ms = 0;
  exchange->connect_failures = 0;
  exchange->resume.pending = true;
  exchange->resume.repeats = false;
  exchange->resume.since_ms = csp_gateway_now_ms (exchange->gateway);
  csp_retry_or_fail (exchange, CSP_REASON_STREAM_CUT, detail, true);
}

bool
csp_may_leave_gone_target (const csp_exchange_t *exchange)
{
  return csp_is_resumable (exchange) && exchange->target != NULL
         && exchange->target->state == CSP_FLEET_GONE
         && (exchange->move.state == CSP_MOVE_NONE
             || exchange->move.state == CSP_MOVE_COPYING);
}

void
csp_complete_resume (csp_exchange_t *exchange)
{
  if (!exchange->resume.pending)
    return;
  exchange->resume.pending = false;
  exchange->gateway->counts.resumes++;
  exchange->moves++;
  csp_add_count (exchange->labels, CSP_COUNT_RESUMES, 1);
  csp_log_move (exchange, "arrived", exchange->target);
}
