#include "entry/generate-imp.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cowslipspoke/text.h"

enum
{
  KEEP_ALIVE_INTERVAL_MS = 1000,
  CANCEL_TIMEOUT_MS = 1000,
  FIRST_TOKEN_TIMEOUT_FACTOR = 4,
  US_PER_MS = 1000
};

static int64_t
get_now_ms (const csp_generation_run_t *run)
{
  return csp_now_ms (&run->exchange->entry->context->clock);
}
/* Called while a link is open and idle; returns CSP_LINK_COMPLETE while the
   run may continue.  A comment every second keeps proxies between host and
   caller from closing a slow stream as dead.  */
static csp_link_end_t
check_waiting_run (void *state)
{
  csp_generation_run_t *run = state;
  int64_t now_ms = get_now_ms (run);

  if (atomic_load (&run->exchange->entry->aborting_open))
    return CSP_LINK_STOPPED;
  if (now_ms >= run->exchange->deadline_ms)
    return CSP_LINK_DEADLINE;
  if (csp_caller_is_gone (run->exchange))
    return CSP_LINK_CALLER_GONE;
  if (run->generation.next_index == 0 && csp_is_recalled (run->grant.recall))
    return CSP_LINK_RECALLED;
  if (run->stream_began
      && now_ms - run->last_write_ms >= KEEP_ALIVE_INTERVAL_MS)
    {
      run->last_write_ms = now_ms;
      if (csp_send_keep_alive (run->exchange) != 0)
        return CSP_LINK_CALLER_GONE;
    }
  return CSP_LINK_COMPLETE;
}

static bool
confirm_send (void *state)
{
  csp_generation_run_t *run = state;

  run->grant_lost = !csp_confirm_grant (run->exchange->entry->control,
                                        &run->grant, run->exchange->claim);
  return !run->grant_lost && get_now_ms (run) < run->exchange->deadline_ms;
}

static csp_engine_link_t
build_link (csp_generation_run_t *run, const char *body, bool resume)
{
  const csp_settings_t *settings = &run->exchange->entry->context->settings;
  bool chat = csp_request_api (run->request) == CSP_API_CHAT;
  csp_engine_link_t link
      = { .endpoint = run->grant.endpoint,
          .path = chat ? "/v1/chat/completions" : "/v1/completions",
          .body = body,
          .resume = resume,
          .priority = run->grant.priority,
          .request_id = run->exchange->id,
          .connect_timeout_ms = settings->connect_timeout_ms,
          .first_token_timeout_ms
          = settings->stall_timeout_ms * FIRST_TOKEN_TIMEOUT_FACTOR,
          .stall_timeout_ms = settings->stall_timeout_ms,
          .clock = &run->exchange->entry->context->clock,
          .may_send = resume ? NULL : confirm_send,
          .deliver = csp_deliver_token,
          .check = check_waiting_run,
          .state = run };

  return link;
}

static void
begin_generation (csp_generation_run_t *run)
{
  char id[CSP_GENERATION_ID_BYTES];

  run->generations++;
  snprintf (id, sizeof id, "%s-%u", run->exchange->id, run->generations);
  csp_start_generation (&run->generation, id);
  run->attempt.may_have_started = false;
  run->attempt.idle_resumes = 0;
  run->last_token_ms = get_now_ms (run);
}

/* Runs links to one target until the answer is complete, or the request has to
   be retried on another target or given up.  */
static csp_recovery_t
run_at_target (csp_generation_run_t *run, csp_link_end_t *end)
{
  csp_recovery_policy_t policy = csp_default_recovery_policy ();
  csp_recovery_t recovery;
  csp_engine_link_report_t report;
  csp_engine_link_t link;
  const char *body = csp_build_engine_body (run->request, run->route->model,
                                            run->ask.max_tokens);
  bool resume = false;

  begin_generation (run);
  do
    {
      link = build_link (run, body, resume);
      *end = csp_run_engine_link (&link, &run->generation, &report);
      csp_record_link_end (&run->attempt, *end, report.may_have_been_sent,
                           report.delivered);
      run->attempt.idle_ms = get_now_ms (run) - run->last_token_ms;
      recovery = csp_decide_recovery (&policy, &run->attempt, *end);
      if (*end == CSP_LINK_REJECTED && report.message[0] != '\0')
        csp_copy_text (recovery.error.detail, sizeof recovery.error.detail,
                       report.message);
      resume = true;
      if (recovery.kind == CSP_RECOVER_RESUME)
        {
          csp_add_count (run->exchange->labels, CSP_COUNT_RESUMES, 1);
          CSP_LOG (run->exchange->entry->context->log,
                   CSP_EVENT_STREAM_RESUMED, run->exchange->id,
                   csp_text ("target", run->grant.target),
                   csp_text ("end", csp_link_end_name (*end)),
                   csp_number ("index", (int64_t)run->generation.next_index));
          usleep (recovery.pause_ms * US_PER_MS);
        }
    }
  while (recovery.kind == CSP_RECOVER_RESUME);
  return recovery;
}

static void
release_grant (csp_generation_run_t *run, csp_link_end_t end, bool stopped)
{
  csp_grant_outcome_t outcome = { .end = end,
                                  .stop_confirmed = stopped,
                                  .tokens = run->generation.next_index,
                                  .worst_gap_ms = run->worst_gap_ms };

  csp_release_grant (run->exchange->entry->control, &run->grant, &outcome);
}

static void
add_tried_target (csp_generation_run_t *run)
{
  csp_admission_ask_t *ask = &run->ask;
  uint32_t slot = ask->tried.count % CSP_TRIED_MAX;

  csp_copy_text (ask->tried.names[slot], sizeof ask->tried.names[slot],
                 run->grant.target);
  if (ask->tried.count < CSP_TRIED_MAX)
    ask->tried.count++;
  ask->is_retry = true;
}

/* Requests admission, runs the generation, and retries it on other targets
   where that may help.  Returns 0 when the answer is complete.  */
static int
run_generation (csp_generation_run_t *run, csp_link_end_t *end,
                csp_error_t *error)
{
  csp_entry_t *entry = run->exchange->entry;
  csp_recovery_t recovery;
  csp_error_t refusal;
  bool stopped;

  if (csp_request_admission (entry->control, &run->ask, &run->grant, error)
      != 0)
    return -1;
  for (;;)
    {
      recovery = run_at_target (run, end);
      stopped
          = recovery.cancel
            && csp_cancel_generation (&run->grant.endpoint, run->generation.id,
                                      CANCEL_TIMEOUT_MS)
                   == 0;
      release_grant (run, run->grant_lost ? CSP_LINK_NOT_STARTED : *end,
                     stopped);
      *error = recovery.error;
      if (recovery.kind == CSP_RECOVER_DONE)
        return 0;
      if (recovery.kind == CSP_RECOVER_GIVE_UP
          || run->ask.tried.count == CSP_TRIED_MAX)
        return -1;
      if (!run->grant_lost && *end != CSP_LINK_RECALLED)
        add_tried_target (run);
      run->ask.last_verdict = recovery.error.verdict;
      run->grant_lost = false;
      /* When no other target accepts the request, the caller gets the error
         of the last attempt: its verdict covers an attempt that may have
         started.  */
      if (csp_request_admission (entry->control, &run->ask, &run->grant,
                                 &refusal)
          != 0)
        return -1;
      csp_add_count (run->exchange->labels, CSP_COUNT_RETRIES, 1);
      CSP_LOG (entry->context->log, CSP_EVENT_REQUEST_RETRIED,
               run->exchange->id, csp_text ("target", run->grant.target),
               csp_text ("end", csp_link_end_name (*end)));
    }
}
void
csp_serve_generation (csp_entry_exchange_t *exchange, csp_api_t api)
{
  csp_generation_run_t run = { .exchange = exchange };
  csp_link_end_t end = CSP_LINK_END_COUNT;
  csp_error_t error;
  int result;

  if (csp_read_body (exchange, &error) != 0)
    goto refuse;
  run.request
      = csp_parse_request (api, exchange->body, exchange->body_bytes, &error);
  if (run.request == NULL || csp_prepare_generation (&run, &error) != 0)
    goto refuse;
  if (exchange->options.non_idempotent
      && csp_begin_claim (exchange, &error) != 0)
    goto refuse;
  result = run_generation (&run, &end, &error);
  csp_finish_claim (exchange, result, &error);
  csp_finish_generation (&run, result, end, &error);
  goto done;

refuse:
  csp_answer_error (exchange, &error);
done:
  csp_destroy_request (run.request);
  free (run.text);
}
