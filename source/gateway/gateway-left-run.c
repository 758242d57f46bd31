#include "gateway/gateway-move-imp.h"

#include <stdlib.h>
#include <string.h>

/* Stopping runs that were left behind.

   Load pattern: some engines go on with a run, or begin a waiting one, whose
   connection has closed; its memory and its share of the batch stay occupied
   for half a minute.  A stopped run is copied as for a move; that copy is
   released at once.  */

enum
{
  /* An engine that drops a run does so as soon as it sees the close.  */
  DROP_MS = 50,
  /* Less than the 400 ms for which a run may go on beside another one.  */
  REPEAT_MS = 200,
  /* The request to stop waits for the copy, or for the run to begin.  */
  STOP_TIMEOUT_MS = 2000,
  /* Without a stop the run would end by itself.  */
  REMAINING_MIN_MS = 500,
  /* So many runs in a row show that an engine drops runs.  */
  DROPPED_RUNS_MAX = 3,
  LEFT_RUNS_MAX = 256,
  HANDLE_ANSWER_MAX_BYTES = 4096,
  STATUS_NOT_FOUND = 404
};

struct csp_left_run
{
  csp_left_run_t *next;
  csp_left_run_t *previous;
  csp_gateway_t *gateway;
  csp_fleet_target_t *target;
  char request_id[CSP_GATEWAY_REQUEST_ID_BYTES];
  char destination[CSP_ADDRESS_TEXT_BYTES];
  int64_t left_ms;
  int64_t ask_at_ms;
  bool waits;       /* the run hadn't begun */
  csp_link_t *link; /* NULL: the engine isn't being asked */
  bool releasing;   /* the run is stopped, and its copy is released */
  uint16_t status;
  csp_buffer_t answer;
};

static bool
is_stop_sent (const csp_exchange_t *exchange)
{
  return csp_is_run_stopping (exchange) && exchange->move.link != NULL
         && csp_link_has_sent (exchange->move.link);
}

/* Whether the target may begin or go on with the request.  */
static bool
is_worth_stopping (const csp_exchange_t *exchange)
{
  if (exchange->run_started_ms != 0)
    return exchange->run_end == CSP_RUN_END_UNKNOWN
           && csp_expected_remaining_ms (exchange) >= REMAINING_MIN_MS;
  return exchange->run_end == CSP_RUN_END_MAY_WAIT
         || (exchange->run_end == CSP_RUN_END_UNKNOWN && exchange->link != NULL
             && csp_link_has_sent (exchange->link));
}

static bool
may_keep_run (const csp_exchange_t *exchange)
{
  const csp_fleet_target_t *target = exchange->target;

  return target != NULL && exchange->route->kind == CSP_ROUTE_STREAM
         && exchange->service->is_engine
         && exchange->service->supports_kv_moves && !is_stop_sent (exchange)
         && target->dropped_runs < DROPPED_RUNS_MAX
         && is_worth_stopping (exchange);
}

static csp_left_run_t *
find_left_run (const csp_gateway_t *gateway, const csp_fleet_target_t *target,
               const char *request_id)
{
  csp_left_run_t *run = gateway->left_runs;

  while (
      run != NULL
      && (run->target != target || strcmp (run->request_id, request_id) != 0))
    run = run->next;
  return run;
}

void
csp_stop_left_run (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_fleet_target_t *destination;
  csp_left_run_t *run;

  if (gateway->left_run_count >= LEFT_RUNS_MAX || !may_keep_run (exchange)
      || find_left_run (gateway, exchange->target, exchange->request_id)
             != NULL)
    return;
  destination = csp_choose_other_target (exchange, exchange->target, 0);
  run = destination == NULL ? NULL : calloc (1, sizeof *run);
  if (run == NULL)
    return;
  run->gateway = gateway;
  run->target = exchange->target;
  run->target->users++;
  run->left_ms = csp_gateway_now_ms (gateway);
  run->ask_at_ms = run->left_ms + DROP_MS;
  run->waits = exchange->run_started_ms == 0;
  snprintf (run->request_id, sizeof run->request_id, "%s",
            exchange->request_id);
  csp_print_target_address (destination, run->destination);
  run->next = gateway->left_runs;
  if (run->next != NULL)
    run->next->previous = run;
  gateway->left_runs = run;
  gateway->left_run_count++;
}

static void
end_left_run (csp_left_run_t *run, bool keeps_link)
{
  csp_gateway_t *gateway = run->gateway;

  if (run->link != NULL && keeps_link)
    csp_release_link (gateway, run->target, run->link);
  else if (run->link != NULL)
    csp_close_link (run->link);
  if (run->previous != NULL)
    run->previous->next = run->next;
  else
    gateway->left_runs = run->next;
  if (run->next != NULL)
    run->next->previous = run->previous;
  gateway->left_run_count--;
  run->target->users--;
  csp_clear_buffer (&run->answer);
  free (run);
}

static void
on_answered (void *state, const csp_http_head_t *head)
{
  csp_left_run_t *run = state;

  run->status = head->status;
  csp_handle_target_state (run->gateway, run->target, head, 0);
}

static void
on_body (void *state, const char *piece, size_t piece_bytes)
{
  csp_left_run_t *run = state;

  if (run->answer.size_bytes + piece_bytes > HANDLE_ANSWER_MAX_BYTES
      || !csp_append_buffer (&run->answer, piece, piece_bytes))
    end_left_run (run, false);
}

static void on_ended (void *state);

static void
on_failed (void *state, csp_link_failure_t why)
{
  (void)why;
  end_left_run (state, false);
}

static const csp_link_events_t left_run_events = { .answered = on_answered,
                                                   .body = on_body,
                                                   .ended = on_ended,
                                                   .failed = on_failed };

static void
log_stopped_run (const csp_left_run_t *run)
{
  csp_gateway_t *gateway = run->gateway;

  gateway->counts.left_runs_stopped++;
  CSP_LOG (
      gateway->log, CSP_EVENT_LEFT_RUN_STOPPED, run->request_id,
      csp_text ("target", run->target->row.id),
      csp_number ("status", run->status),
      csp_number ("took_ms", csp_gateway_now_ms (gateway) - run->left_ms));
}

/* written: false if the request couldn't be.  */
static void
send_request (csp_left_run_t *run, bool written, csp_buffer_t *request)
{
  run->link = written ? csp_acquire_link (run->gateway, run->target) : NULL;
  if (run->link != NULL)
    {
      csp_start_link_request (run->link, &left_run_events, run, false);
      csp_write_link (run->link, request->data, request->size_bytes);
      csp_finish_link_request (run->link);
    }
  else
    end_left_run (run, false);
  csp_clear_buffer (request);
}

static void
release_copy (csp_left_run_t *run, const char *handle)
{
  char address[CSP_ADDRESS_TEXT_BYTES];
  csp_buffer_t request = { 0 };

  csp_release_link (run->gateway, run->target, run->link);
  run->releasing = true;
  csp_clear_buffer (&run->answer);
  csp_print_target_address (run->target, address);
  send_request (
      run, run->gateway->dialect->write_release (address, handle, &request),
      &request);
}

/* The target has dropped the run, or hasn't begun it.  */
static void
handle_missing_run (csp_left_run_t *run)
{
  if (!run->waits)
    {
      run->target->dropped_runs++;
      end_left_run (run, true);
      return;
    }
  csp_release_link (run->gateway, run->target, run->link);
  run->link = NULL;
  csp_clear_buffer (&run->answer);
  run->ask_at_ms = csp_gateway_now_ms (run->gateway) + REPEAT_MS;
}

static void
on_ended (void *state)
{
  csp_left_run_t *run = state;
  csp_move_answer_t answer = { .handle = "" };

  if (run->releasing)
    {
      end_left_run (run, true);
      return;
    }
  if (run->status == STATUS_NOT_FOUND)
    {
      handle_missing_run (run);
      return;
    }
  run->target->dropped_runs = 0;
  if (!run->gateway->dialect->read_move (run->answer.data,
                                         run->answer.size_bytes, &answer)
      || answer.handle[0] == '\0')
    {
      end_left_run (run, true);
      return;
    }
  log_stopped_run (run);
  release_copy (run, answer.handle);
}

static void
stop_run (csp_left_run_t *run)
{
  char address[CSP_ADDRESS_TEXT_BYTES];
  csp_buffer_t request = { 0 };

  csp_print_target_address (run->target, address);
  send_request (run,
                run->gateway->dialect->write_move (address, run->request_id,
                                                   run->destination, true,
                                                   &request),
                &request);
}

void
csp_stop_left_runs (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  csp_left_run_t *run = gateway->left_runs;

  while (run != NULL)
    {
      csp_left_run_t *next = run->next;

      if (run->target->state == CSP_FLEET_GONE
          || now_ms - run->left_ms >= STOP_TIMEOUT_MS)
        end_left_run (run, false);
      else if (run->link == NULL && now_ms >= run->ask_at_ms)
        stop_run (run);
      run = next;
    }
}

void
csp_forget_left_run (csp_gateway_t *gateway, const csp_fleet_target_t *target,
                     const char *request_id)
{
  csp_left_run_t *run = find_left_run (gateway, target, request_id);

  if (run != NULL)
    end_left_run (run, false);
}

void
csp_drop_left_runs (csp_gateway_t *gateway)
{
  csp_left_run_t *run = gateway->left_runs;

  while (run != NULL)
    {
      csp_left_run_t *next = run->next;

      end_left_run (run, false);
      run = next;
    }
}
