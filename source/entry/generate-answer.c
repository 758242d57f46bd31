#include "entry/generate-imp.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "cowslipspoke/text.h"

/* Sends the tokens of a generation and the end of the answer to the caller. */

enum
{
  PROGRESS_INTERVAL_TOKENS = 16,
  ANSWER_LIMIT_BYTES = 16 << 20,
  US_PER_MS = 1000
};

/* Collects the text of an answer without streaming.  Its size is limited, as
   the length is unknown in advance and many answers are held at once.  */
static int
append_text (csp_generation_run_t *run, const char *text)
{
  size_t bytes = strlen (text);
  char *new_text;

  if (run->text_bytes + bytes > ANSWER_LIMIT_BYTES)
    return -1;
  new_text = realloc (run->text, run->text_bytes + bytes + 1);
  if (new_text == NULL)
    return -1;
  memcpy (new_text + run->text_bytes, text, bytes + 1);
  run->text = new_text;
  run->text_bytes += bytes;
  return 0;
}
static void
record_token (csp_generation_run_t *run)
{
  csp_labels_t labels = run->exchange->labels;
  int64_t now_us = csp_now_us (&run->exchange->entry->context->clock);
  int64_t now_ms = now_us / US_PER_MS;
  int64_t gap_us = now_us - run->last_token_us;

  csp_add_count (labels, CSP_COUNT_TOKENS, 1);
  if (run->first_token_ms == 0)
    {
      run->first_token_ms = now_ms;
      csp_observe_time (labels, CSP_TIME_TO_FIRST_TOKEN,
                        (now_ms - run->exchange->arrived_ms) * US_PER_MS);
    }
  else
    {
      csp_observe_time (labels, CSP_TIME_BETWEEN_TOKENS, gap_us);
      run->stall_us += csp_compute_stall_us (gap_us);
      if (gap_us / US_PER_MS > run->worst_gap_ms)
        run->worst_gap_ms = (uint32_t)(gap_us / US_PER_MS);
    }
  run->last_token_ms = now_ms;
  run->last_token_us = now_us;
  /* The first token shows placement that the prefill is complete.  */
  if (run->generation.next_index == 1
      || run->generation.next_index % PROGRESS_INTERVAL_TOKENS == 0)
    {
      csp_report_progress (run->exchange->entry->control, &run->grant,
                           run->generation.next_index,
                           run->blocked_us / US_PER_MS);
      run->blocked_us = 0;
    }
}

int
csp_deliver_token (void *state, const csp_token_t *token,
                   const char *chunk_json)
{
  csp_generation_run_t *run = state;
  int sent;

  record_token (run);
  if (token->finish_reason != NULL)
    csp_copy_text (run->finish_reason, sizeof run->finish_reason,
                   token->finish_reason);
  if (!csp_request_wants_stream (run->request))
    return append_text (run, token->text);
  if (!run->stream_began && csp_begin_events (run->exchange) != 0)
    return -1;
  run->stream_began = true;
  sent = csp_send_event (run->exchange, NULL, chunk_json);
  run->last_write_ms = csp_now_ms (&run->exchange->entry->context->clock);
  run->blocked_us += csp_now_us (&run->exchange->entry->context->clock)
                     - run->last_token_us;
  return sent;
}
static json_object *
render_choice (const csp_generation_run_t *run)
{
  json_object *choice = json_object_new_object ();
  json_object *text
      = json_object_new_string (run->text == NULL ? "" : run->text);
  json_object *message;

  json_object_object_add (choice, "index", json_object_new_int (0));
  if (csp_request_api (run->request) == CSP_API_CHAT)
    {
      message = json_object_new_object ();
      json_object_object_add (message, "role",
                              json_object_new_string ("assistant"));
      json_object_object_add (message, "content", text);
      json_object_object_add (choice, "message", message);
    }
  else
    json_object_object_add (choice, "text", text);
  json_object_object_add (choice, "finish_reason",
                          json_object_new_string (run->finish_reason));
  return choice;
}

static void
send_whole_answer (csp_generation_run_t *run)
{
  bool chat = csp_request_api (run->request) == CSP_API_CHAT;
  json_object *document = json_object_new_object ();
  json_object *choices = json_object_new_array ();
  json_object *usage = json_object_new_object ();

  json_object_object_add (document, "id",
                          json_object_new_string (run->generation.id));
  json_object_object_add (
      document, "object",
      json_object_new_string (chat ? "chat.completion" : "text_completion"));
  json_object_object_add (document, "model",
                          json_object_new_string (run->route->name));
  json_object_array_add (choices, render_choice (run));
  json_object_object_add (document, "choices", choices);
  json_object_object_add (
      usage, "completion_tokens",
      json_object_new_int64 ((int64_t)run->generation.next_index));
  json_object_object_add (document, "usage", usage);
  csp_answer_json (
      run->exchange, 200,
      json_object_to_json_string_ext (document, JSON_C_TO_STRING_PLAIN));
  json_object_put (document);
}

/* Ends a stream that has begun with an error event and without "[DONE]", so
   that no client takes a truncated answer for a complete one.  */
static void
end_stream_with_error (csp_generation_run_t *run, const csp_error_t *error)
{
  char *json = csp_render_error (run->exchange->id, error);

  if (json != NULL)
    csp_send_event (run->exchange, "error", json);
  csp_end_events (run->exchange);
  free (json);
  CSP_LOG (run->exchange->entry->context->log, CSP_EVENT_STREAM_BROKEN,
           run->exchange->id, csp_text ("target", run->grant.target),
           csp_text ("reason", csp_reason_code (error->reason)),
           csp_number ("tokens", (int64_t)run->generation.next_index));
}

static void
record_run_metrics (const csp_generation_run_t *run, int result,
                    csp_link_end_t end, const csp_error_t *error)
{
  const csp_entry_exchange_t *exchange = run->exchange;

  csp_observe_time (exchange->labels, CSP_TIME_WAITING,
                    run->grant.wait_ms * US_PER_MS);
  csp_observe_time (exchange->labels, CSP_TIME_STALLED, run->stall_us);
  if (run->grant.owner[0] != '\0')
    csp_add_count (exchange->labels, CSP_COUNT_SPILLS, 1);
  if (end == CSP_LINK_CALLER_GONE)
    csp_add_count (exchange->labels, CSP_COUNT_CANCELS, 1);
  if (result == 0)
    csp_count_request_end (exchange->entry->context->metrics, exchange->labels,
                           CSP_REASON_NONE, CSP_VERDICT_RAN);
  else if (run->stream_began)
    csp_count_request_end (exchange->entry->context->metrics, exchange->labels,
                           error->reason, error->verdict);
}

static void
log_run (const csp_generation_run_t *run, csp_link_end_t end)
{
  const csp_entry_exchange_t *exchange = run->exchange;

  CSP_LOG (exchange->entry->context->log, CSP_EVENT_REQUEST_ENDED,
           exchange->id,
           csp_text ("organisation", exchange->organisation->name),
           csp_text ("route", run->route->name),
           csp_text ("target", run->grant.target),
           csp_text ("end", csp_link_end_name (end)),
           csp_number ("tokens", (int64_t)run->generation.next_index),
           csp_number ("wait_ms", run->grant.wait_ms),
           csp_number ("first_token_ms",
                       run->first_token_ms == 0
                           ? -1
                           : run->first_token_ms - exchange->arrived_ms),
           csp_number ("worst_gap_ms", run->worst_gap_ms));
}

static void
send_end (csp_generation_run_t *run, int result, csp_link_end_t end,
          const csp_error_t *error)
{
  if (end == CSP_LINK_CALLER_GONE)
    CSP_LOG (run->exchange->entry->context->log, CSP_EVENT_CALLER_GONE,
             run->exchange->id,
             csp_number ("tokens", (int64_t)run->generation.next_index));
  else if (result != 0 && run->stream_began)
    end_stream_with_error (run, error);
  else if (result != 0)
    csp_answer_error (run->exchange, error);
  else if (csp_request_wants_stream (run->request))
    {
      csp_send_event (run->exchange, NULL, "[DONE]");
      csp_end_events (run->exchange);
    }
  else
    send_whole_answer (run);
}

void
csp_finish_generation (csp_generation_run_t *run, int result,
                       csp_link_end_t end, const csp_error_t *error)
{
  send_end (run, result, end, error);
  if (end == CSP_LINK_END_COUNT)
    return;
  record_run_metrics (run, result, end, error);
  log_run (run, end);
}
