#include "entry/entry-imp.h"

#include <stdlib.h>
#include <string.h>

#include "cowslipspoke/service-call.h"
#include "cowslipspoke/text.h"

enum
{
  ANSWER_LIMIT_BYTES = 16 << 20,
  PATH_BYTES = 900
};

/* The state of one call of a plain service while it is served.  */
typedef struct
{
  csp_entry_exchange_t *exchange;
  const csp_service_t *service;
  csp_admission_ask_t ask;
  csp_grant_t grant;
  csp_attempt_t attempt;
  csp_service_answer_t answer;
  char path[PATH_BYTES];
  bool grant_lost; /* no longer valid when the request was to be sent */
} service_call_t;

static csp_link_end_t
check_waiting_call (void *state)
{
  const service_call_t *call = state;
  csp_entry_t *entry = call->exchange->entry;

  if (atomic_load (&entry->aborting_open))
    return CSP_LINK_STOPPED;
  if (csp_now_ms (&entry->context->clock) >= call->exchange->deadline_ms)
    return CSP_LINK_DEADLINE;
  if (call->attempt.idempotent && csp_caller_is_gone (call->exchange))
    return CSP_LINK_CALLER_GONE;
  return CSP_LINK_COMPLETE;
}

static bool
confirm_send (void *state)
{
  service_call_t *call = state;
  csp_entry_exchange_t *exchange = call->exchange;

  call->grant_lost = !csp_confirm_grant (exchange->entry->control,
                                         &call->grant, exchange->claim);
  return !call->grant_lost
         && csp_now_ms (&exchange->entry->context->clock)
                < exchange->deadline_ms;
}

static int
prepare_call (service_call_t *call, const char *rest, csp_error_t *error)
{
  csp_entry_exchange_t *exchange = call->exchange;
  const struct mg_request_info *info = exchange->info;
  csp_request_facts_t facts
      = { .service = call->service->name,
          .priority = call->service->priority,
          .load = csp_find_pool_load (exchange->entry->control,
                                      call->service->pool) };
  int bytes = snprintf (call->path, sizeof call->path, "%s%s%s", rest,
                        info->query_string == NULL ? "" : "?",
                        info->query_string == NULL ? "" : info->query_string);

  if (bytes >= (int)sizeof call->path)
    {
      csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_TOO_LARGE, 0,
                     "the path is longer than %d bytes", PATH_BYTES);
      return -1;
    }
  if (csp_read_body (exchange, error) != 0
      || csp_apply_rules (exchange, &facts, &call->ask, error) != 0)
    return -1;
  if (exchange->options.deadline_ms == 0 && call->service->deadline_ms != 0)
    exchange->deadline_ms = exchange->arrived_ms + call->service->deadline_ms;
  csp_add_count (exchange->labels, CSP_COUNT_REQUESTS, 1);
  call->ask.request_id = exchange->id;
  call->ask.organisation = exchange->organisation->name;
  call->ask.model = call->service->name;
  call->ask.class_name = "";
  call->ask.pool_kind = CSP_POOL_SERVICES;
  call->ask.max_tokens = 1;
  call->ask.deadline_ms = exchange->deadline_ms;
  call->ask.is_gone = csp_caller_is_gone;
  call->ask.gone_state = exchange;
  call->ask.repeatable = !exchange->options.non_idempotent;
  call->attempt.idempotent
      = !exchange->options.non_idempotent
        && csp_may_repeat_call (call->service, info->request_method, rest);
  return 0;
}

static csp_recovery_t
call_target (service_call_t *call, csp_link_end_t *end)
{
  const csp_entry_exchange_t *exchange = call->exchange;
  csp_recovery_policy_t policy = csp_default_recovery_policy ();
  const char *type = mg_get_header (exchange->connection, "Content-Type");
  csp_service_link_t link
      = { .endpoint = call->grant.endpoint,
          .method = exchange->info->request_method,
          .path = call->path,
          .content_type = type == NULL ? "application/octet-stream" : type,
          .body = exchange->body,
          .body_bytes = exchange->body_bytes,
          .request_id = exchange->id,
          .connect_timeout_ms
          = exchange->entry->context->settings.connect_timeout_ms,
          .answer_limit_bytes = ANSWER_LIMIT_BYTES,
          .may_send = confirm_send,
          .check = check_waiting_call,
          .state = call };

  *end = csp_run_service_link (&link, &call->answer);
  csp_record_link_end (&call->attempt, *end, call->answer.may_have_been_sent,
                       0);
  return csp_decide_recovery (&policy, &call->attempt, *end);
}

static void
release_grant (service_call_t *call, csp_link_end_t end)
{
  csp_grant_outcome_t outcome = { .end = end, .tokens = 1 };

  csp_release_grant (call->exchange->entry->control, &call->grant, &outcome);
}

static void
free_answer (service_call_t *call)
{
  free (call->answer.body);
  call->answer.body = NULL;
}

static int
run_with_retries (service_call_t *call, csp_error_t *error)
{
  csp_control_t *control = call->exchange->entry->control;
  csp_admission_ask_t *ask = &call->ask;
  csp_recovery_t recovery;
  csp_link_end_t end;
  csp_error_t refusal;

  if (csp_request_admission (control, ask, &call->grant, error) != 0)
    return -1;
  for (;;)
    {
      recovery = call_target (call, &end);
      release_grant (call, call->grant_lost ? CSP_LINK_NOT_STARTED : end);
      *error = recovery.error;
      if (recovery.kind == CSP_RECOVER_DONE)
        return 0;
      free_answer (call);
      if (recovery.kind != CSP_RECOVER_RETRY_ELSEWHERE
          || ask->tried.count == CSP_TRIED_MAX)
        return -1;
      csp_copy_text (ask->tried.names[ask->tried.count], CSP_NAME_BYTES,
                     call->grant.target);
      ask->tried.count++;
      ask->is_retry = true;
      ask->last_verdict = recovery.error.verdict;
      if (csp_request_admission (control, ask, &call->grant, &refusal) != 0)
        return -1;
    }
}

static void
forward_answer (service_call_t *call)
{
  struct mg_connection *connection = call->exchange->connection;
  const csp_service_answer_t *answer = &call->answer;

  mg_printf (connection,
             "HTTP/1.1 %u %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
             "X-Request-Id: %s\r\nConnection: close\r\n\r\n",
             answer->status,
             mg_get_response_code_text (connection, answer->status),
             answer->content_type, answer->body_bytes, call->exchange->id);
  if (answer->body_bytes > 0)
    mg_write (connection, answer->body, answer->body_bytes);
}

void
csp_serve_service_call (csp_entry_exchange_t *exchange,
                        const csp_service_t *service, const char *rest)
{
  service_call_t call = { .exchange = exchange, .service = service };
  csp_error_t error;
  int result;

  result = prepare_call (&call, rest, &error);
  if (result == 0 && !call.attempt.idempotent)
    result = csp_begin_claim (exchange, &error);
  if (result == 0)
    {
      result = run_with_retries (&call, &error);
      csp_finish_claim (exchange, result, &error);
    }
  if (result != 0)
    {
      csp_answer_error (exchange, &error);
      return;
    }
  forward_answer (&call);
  csp_count_request_end (exchange->entry->context->metrics, exchange->labels,
                         CSP_REASON_NONE, CSP_VERDICT_RAN);
  CSP_LOG (exchange->entry->context->log, CSP_EVENT_REQUEST_ENDED,
           exchange->id,
           csp_text ("organisation", exchange->organisation->name),
           csp_text ("service", service->name),
           csp_text ("target", call.grant.target),
           csp_number ("status", call.answer.status),
           csp_number ("wait_ms", call.grant.wait_ms));
  free_answer (&call);
}
