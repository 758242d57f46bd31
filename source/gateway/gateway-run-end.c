#include "gateway/gateway-move-imp.h"

/* The one place that says whether the run of a request at its target has
   ended: see run-end.h.  Each way to another target passes csp_await_run_end,
   which asks the target where nothing else has shown the end, and
   csp_leave_run once it is known.  */

enum
{
  /* A sound target that reads long prompts may pause for a second.  */
  REPLY_TIMEOUT_MS = 1000,
  /* Between two checks of a target whose reply doesn't show an end.  */
  RECHECK_MS = 200
};

static void start_check (csp_exchange_t *exchange);

void
csp_note_run_end (csp_exchange_t *exchange, csp_run_end_t end)
{
  exchange->run_end = end;
  exchange->run_end_ms = csp_gateway_now_ms (exchange->gateway);
}

void
csp_log_run_left (csp_exchange_t *exchange, const char *cause)
{
  csp_gateway_t *gateway = exchange->gateway;
  bool known = exchange->run_end != CSP_RUN_END_UNKNOWN;

  gateway->counts.runs_left++;
  gateway->counts.runs_left_unproven
      += !csp_is_run_end_proven (exchange->run_end);
  CSP_LOG (
      gateway->log, CSP_EVENT_RUN_LEFT, exchange->request_id,
      csp_text ("target",
                exchange->target == NULL ? NULL : exchange->target->row.id),
      csp_text ("cause", cause),
      csp_text ("end", csp_run_end_name (exchange->run_end)),
      csp_number ("age_ms",
                  known ? csp_gateway_now_ms (gateway) - exchange->run_end_ms
                        : -1),
      csp_number ("status", exchange->move.status),
      csp_number ("events", (int64_t)exchange->events),
      csp_number ("silent_ms",
                  csp_gateway_now_ms (gateway) - exchange->last_data_ms));
}

bool
csp_is_run_stopping (const csp_exchange_t *exchange)
{
  return exchange->move.state == CSP_MOVE_STOPPING
         || exchange->move.state == CSP_MOVE_CHECKING;
}

/* Whether the request may be sent to another target once its run has ended. */
static bool
goes_on_elsewhere (csp_exchange_t *exchange)
{
  if (exchange->events > 0)
    return csp_can_resume_from_backup (exchange)
           || (csp_is_resumable (exchange)
               && exchange->attempts < csp_attempts_max (exchange));
  return csp_may_repeat (exchange) && !csp_blocks_retry (exchange)
         && exchange->attempts < csp_attempts_max (exchange);
}

static csp_fleet_target_t *
choose_destination (csp_exchange_t *exchange)
{
  if (csp_has_usable_backup (exchange))
    return exchange->backup;
  return csp_choose_other_target (exchange, exchange->target, 0);
}

static bool
streams_from_engine (const csp_exchange_t *exchange)
{
  return exchange->target != NULL && exchange->route->kind == CSP_ROUTE_STREAM
         && exchange->service->is_engine;
}

void
csp_leave_run (csp_exchange_t *exchange, const char *detail)
{
  if (exchange->events > 0)
    {
      csp_handle_broken_stream (exchange, detail);
      return;
    }
  if (streams_from_engine (exchange) && goes_on_elsewhere (exchange))
    {
      csp_log_run_left (exchange, "no event");
      csp_stop_left_run (exchange);
    }
  csp_retry_or_fail (exchange, CSP_REASON_TARGET_FAILED, detail, true);
}

static void
close_check_link (csp_move_t *move)
{
  if (move->link != NULL)
    csp_close_link (move->link);
  move->link = NULL;
}

static void
on_check_timer (uv_timer_t *timer)
{
  csp_exchange_t *exchange = timer->data;
  csp_run_reply_t reply = { .kind = CSP_RUN_REPLY_LATE };

  if (exchange->ended)
    return;
  if (exchange->move.link == NULL)
    start_check (exchange);
  else
    csp_finish_run_check (exchange, &reply);
}

static void
schedule_check (csp_exchange_t *exchange)
{
  uv_timer_start (&exchange->move.timer, on_check_timer, RECHECK_MS, 0);
}

void
csp_finish_run_check (csp_exchange_t *exchange, csp_run_reply_t *reply)
{
  csp_move_t *move = &exchange->move;
  const csp_run_check_t *check = &exchange->run_check;
  int64_t now_ms = csp_gateway_now_ms (exchange->gateway);
  csp_run_end_t end;

  reply->check = check->kind;
  reply->answer_begun
      = move->link != NULL && csp_link_is_answering (move->link);
  reply->status = move->status;
  reply->run_seen = exchange->run_started_ms != 0;
  reply->run_age_ms = now_ms - exchange->sent_at_ms;
  reply->stream_closed = check->stream_closed;
  reply->stream_alive
      = exchange->link != NULL && exchange->data_events != check->events;
  end = csp_judge_run_reply (reply);
  if (end != CSP_RUN_END_UNKNOWN)
    csp_note_run_end (exchange, end);
  else if (exchange->link == NULL)
    {
      close_check_link (move);
      schedule_check (exchange);
      return;
    }
  csp_drop_move (exchange);
  /* A stream that is still open and can't go on elsewhere stays.  */
  if (end != CSP_RUN_END_UNKNOWN
      && (exchange->link == NULL || goes_on_elsewhere (exchange)))
    csp_leave_run (exchange, check->detail);
}

static void
on_check_answered (void *state, const csp_http_head_t *head)
{
  csp_exchange_t *exchange = state;
  csp_gateway_t *gateway = exchange->gateway;

  exchange->move.status = head->status;
  csp_note_target_answered (gateway, exchange->target);
  csp_note_link_answered (gateway, exchange->target, exchange->move.link);
  csp_handle_target_state (gateway, exchange->target, head, 0);
}

static void
on_check_body (void *state, const char *piece, size_t piece_bytes)
{
  csp_exchange_t *exchange = state;
  csp_run_reply_t reply = { .kind = CSP_RUN_REPLY_BROKEN };

  if (!csp_append_move_answer (exchange, piece, piece_bytes))
    csp_finish_run_check (exchange, &reply);
}

static void
read_report (const csp_exchange_t *exchange, csp_run_reply_t *reply)
{
  const csp_move_t *move = &exchange->move;
  csp_target_report_t report = { .request_id = exchange->request_id };

  if (!exchange->gateway->dialect->read_report (
          move->answer.data, move->answer.size_bytes, &report))
    return;
  reply->lists_runs = report.lists_runs;
  reply->lists_run = report.lists_request;
}

static void
on_check_ended (void *state)
{
  csp_exchange_t *exchange = state;
  csp_move_t *move = &exchange->move;
  csp_move_answer_t answer = { .handle = "" };
  csp_run_reply_t reply = { .kind = CSP_RUN_REPLY_ANSWERED };

  csp_release_link (exchange->gateway, exchange->target, move->link);
  move->link = NULL;
  uv_timer_stop (&move->timer);
  if (exchange->run_check.kind == CSP_RUN_CHECK_REPORT)
    read_report (exchange, &reply);
  else if (exchange->gateway->dialect->read_move (
               move->answer.data, move->answer.size_bytes, &answer)
           && answer.handle[0] != '\0')
    {
      csp_resume_stopped_run (exchange, &answer);
      return;
    }
  csp_finish_run_check (exchange, &reply);
}

csp_run_reply_kind_t
csp_classify_run_reply (const csp_link_t *link, csp_link_failure_t why)
{
  if (why != CSP_LINK_UNREACHABLE)
    return CSP_RUN_REPLY_BROKEN;
  return csp_link_timed_out (link) ? CSP_RUN_REPLY_CONNECTION_LATE
                                   : CSP_RUN_REPLY_NOT_CONNECTED;
}

static void
on_check_failed (void *state, csp_link_failure_t why)
{
  csp_exchange_t *exchange = state;
  csp_link_t *link = exchange->move.link;
  csp_run_reply_t reply = { .kind = csp_classify_run_reply (link, why) };

  if (why == CSP_LINK_UNREACHABLE)
    csp_note_link_failed (exchange->gateway, exchange->target, link);
  csp_finish_run_check (exchange, &reply);
}

static const csp_link_events_t check_events = { .answered = on_check_answered,
                                                .body = on_check_body,
                                                .ended = on_check_ended,
                                                .failed = on_check_failed };

static bool
write_check (const csp_exchange_t *exchange, csp_buffer_t *out)
{
  const csp_dialect_t *dialect = exchange->gateway->dialect;
  char address[CSP_ADDRESS_TEXT_BYTES];
  char to[CSP_ADDRESS_TEXT_BYTES];

  csp_print_target_address (exchange->target, address);
  if (exchange->run_check.kind == CSP_RUN_CHECK_REPORT)
    return dialect->write_report (address, out);
  csp_print_target_address (exchange->move.destination, to);
  return dialect->write_move (address, exchange->request_id, to, true, out);
}

/* Always over a new connection: an older one may be dead without this host
   knowing.  */
static void
start_check (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_move_t *move = &exchange->move;
  csp_buffer_t request = { 0 };

  move->status = 0;
  csp_clear_buffer (&move->answer);
  move->link = csp_open_target_link (gateway, exchange->target);
  if (move->link == NULL || !write_check (exchange, &request))
    {
      csp_clear_buffer (&request);
      close_check_link (move);
      schedule_check (exchange);
      return;
    }
  uv_timer_start (&move->timer, on_check_timer,
                  csp_extend_timeout_ms (gateway, REPLY_TIMEOUT_MS), 0);
  csp_start_link_request (move->link, &check_events, exchange, false);
  csp_write_link (move->link, request.data, request.size_bytes);
  csp_finish_link_request (move->link);
  csp_clear_buffer (&request);
}

/* The stream has ended while its run is being stopped: what the target answers
   decides.  */
static void
note_stream_closed (csp_exchange_t *exchange)
{
  csp_move_t *move = &exchange->move;

  if (exchange->link != NULL)
    csp_close_link (exchange->link);
  exchange->link = NULL;
  exchange->run_check.stream_closed = exchange->target_closed
                                      && move->link != NULL
                                      && csp_link_has_sent (move->link);
}

void
csp_begin_run_check (csp_exchange_t *exchange, csp_run_check_kind_t kind,
                     const char *detail)
{
  exchange->run_check = (csp_run_check_t){ .kind = kind,
                                           .detail = detail,
                                           .events = exchange->data_events };
}

static csp_run_facts_t
collect_facts (csp_exchange_t *exchange)
{
  csp_run_facts_t facts
      = { .end = exchange->run_end,
          .goes_on
          = goes_on_elsewhere (exchange) && !csp_is_quarantined (exchange),
          .at_engine = streams_from_engine (exchange),
          .supports_stops = exchange->service->supports_kv_moves,
          .has_destination = true };

  return facts;
}

/* False where the target needn't be asked.  A destination is looked for last:
   that goes through the whole fleet.  */
static bool
begin_check (csp_exchange_t *exchange, const char *detail)
{
  csp_run_facts_t facts = collect_facts (exchange);
  csp_fleet_target_t *destination = NULL;
  csp_run_check_kind_t kind = csp_choose_run_check (&facts);

  if (kind == CSP_RUN_CHECK_STOP)
    {
      destination = choose_destination (exchange);
      facts.has_destination = destination != NULL;
      kind = csp_choose_run_check (&facts);
    }
  if (kind == CSP_RUN_CHECK_NONE)
    return false;
  csp_drop_move (exchange);
  exchange->move.state = CSP_MOVE_CHECKING;
  csp_begin_run_check (exchange, kind, detail);
  if (kind == CSP_RUN_CHECK_STOP)
    csp_reserve_move (exchange, destination);
  csp_log_move (exchange,
                kind == CSP_RUN_CHECK_STOP ? "stop-lost" : "ask-lost",
                destination);
  start_check (exchange);
  return true;
}

bool
csp_await_run_end (csp_exchange_t *exchange, const char *detail)
{
  if (csp_is_run_stopping (exchange))
    {
      note_stream_closed (exchange);
      return true;
    }
  if (!begin_check (exchange, detail))
    return false;
  if (exchange->link != NULL)
    csp_close_link (exchange->link);
  exchange->link = NULL;
  return true;
}

void
csp_leave_silent_run (csp_exchange_t *exchange)
{
  static const char detail[] = "the target is silent";

  if ((csp_can_resume_from_backup (exchange)
       || csp_may_leave_gone_target (exchange))
      && !begin_check (exchange, detail))
    csp_leave_run (exchange, detail);
}
