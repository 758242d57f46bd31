#include "gateway/gateway-run-imp.h"

/* Attempts that fail: whether the request ran, what the failure says of its
   target, and whether another attempt follows.  */

enum
{
  STATUS_MISDIRECTED = 421,
  /* A full target has capacity again after the duration of a few requests.  */
  FULL_AVOID_MS = 150,
  /* An address at which another target answers stays wrong until the
     platform's list is corrected.  */
  MISDIRECTED_AVOID_MS = 3000
};

static csp_retry_decision_t
decide_retry (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_retry_facts_t facts
      = { .idempotent = csp_may_repeat (exchange),
          .tokens_sent = csp_blocks_retry (exchange),
          .verdict = exchange->verdict,
          .attempts = exchange->attempts,
          .left_ms = exchange->deadline_ms - csp_gateway_now_ms (gateway),
          .now_ms = csp_gateway_now_ms (gateway) };
  bool attempts_exhausted
      = exchange->may_have_run
        && exchange->attempts >= csp_attempts_max (exchange);

  if (attempts_exhausted)
    return CSP_RETRY_ATTEMPTS_USED_UP;
  return csp_decide_retry (
      csp_find_retry_budget (gateway, exchange->service->name), &facts);
}

void
csp_retry_or_fail (csp_exchange_t *exchange, csp_reason_t reason,
                   const char *detail, bool may_wait)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_retry_decision_t decision = decide_retry (exchange);

  CSP_LOG (gateway->log, CSP_EVENT_FORWARD_RETRIED, exchange->request_id,
           csp_text ("target", exchange->target == NULL
                                   ? NULL
                                   : exchange->target->row.id),
           csp_text ("verdict", csp_verdict_name (exchange->verdict)),
           csp_text ("detail", detail), csp_number ("decision", decision),
           csp_number ("attempts", exchange->attempts),
           csp_number ("left_ms",
                       exchange->deadline_ms - csp_gateway_now_ms (gateway)));
  if (decision == CSP_RETRY_BUDGET_USED_UP && may_wait)
    {
      csp_await_lease (exchange, reason, detail);
      return;
    }
  if (decision != CSP_RETRY_ALLOWED)
    {
      csp_fail_exchange (exchange, reason, detail);
      return;
    }
  gateway->counts.retries++;
  csp_add_count (exchange->labels, CSP_COUNT_RETRIES, 1);
  exchange->relay.offers = 0;
  csp_send_attempt (exchange);
}

uint32_t
csp_attempts_max (const csp_exchange_t *exchange)
{
  return exchange->relay.received ? 1 : exchange->route->attempts_max;
}

void
csp_note_exchange_outcome (csp_exchange_t *exchange, bool failed)
{
  if (exchange->target != NULL)
    csp_note_outcome (exchange->target, failed,
                      csp_gateway_now_ms (exchange->gateway));
}

void
csp_handle_refusal (csp_exchange_t *exchange, const csp_http_head_t *head)
{
  csp_gateway_t *gateway = exchange->gateway;
  uint16_t status = head->status;

  csp_avoid_target (exchange->target,
                    status == STATUS_MISDIRECTED ? MISDIRECTED_AVOID_MS
                                                 : FULL_AVOID_MS,
                    csp_gateway_now_ms (gateway));
  if (status != STATUS_MISDIRECTED)
    csp_handle_refusal_limit (gateway, exchange->target, head);
  exchange->verdict = CSP_VERDICT_NOT_RUN;
  csp_note_run_end (exchange, CSP_RUN_END_NOT_STARTED);
  csp_cancel_exchange_trial (exchange);
  if (exchange->move.state == CSP_MOVE_RESUMING)
    {
      if (!csp_resume_kept_copy (exchange))
        csp_resume_or_cut (exchange, "the copy was not there");
      return;
    }
  csp_retry_or_fail (exchange, CSP_REASON_TARGET_REFUSED,
                     "the target refused it", true);
}

void
csp_fail_attempt (csp_exchange_t *exchange, const char *detail)
{
  csp_note_exchange_outcome (exchange, true);
  exchange->verdict = CSP_VERDICT_MAY_HAVE_RUN;
  exchange->may_have_run = true;
  csp_note_run_lost (exchange);
  if (!csp_await_run_end (exchange, detail))
    csp_leave_run (exchange, detail);
}

static const char *const failure_details[]
    = { [CSP_LINK_UNREACHABLE] = "no connection to the target",
        [CSP_LINK_CLOSED] = "the target closed the connection",
        [CSP_LINK_RESET] = "the target reset the connection",
        [CSP_LINK_MALFORMED] = "the target sent what is no answer" };

void
csp_handle_link_failure (void *state, csp_link_failure_t why)
{
  csp_exchange_t *exchange = state;
  csp_gateway_t *gateway = exchange->gateway;

  if (why == CSP_LINK_UNREACHABLE
      || (why == CSP_LINK_RESET && exchange->answer_mode == CSP_ANSWER_NONE))
    csp_note_link_failed (gateway, exchange->target, exchange->link);
  csp_note_attempt_lost (exchange, why, failure_details[why]);
  exchange->target_closed = why == CSP_LINK_CLOSED;
  if (why == CSP_LINK_UNREACHABLE || why == CSP_LINK_RESET)
    csp_note_target_failed (gateway, exchange->target);
  if (exchange->answer_mode == CSP_ANSWER_FORWARDED)
    {
      csp_note_outcome (exchange->target, true, csp_gateway_now_ms (gateway));
      csp_fail_exchange (exchange, CSP_REASON_STREAM_CUT,
                         failure_details[why]);
      return;
    }
  if (why != CSP_LINK_UNREACHABLE)
    {
      csp_fail_attempt (exchange, failure_details[why]);
      return;
    }
  csp_note_unreachable (exchange->target, csp_gateway_now_ms (gateway));
  exchange->verdict = CSP_VERDICT_NOT_RUN;
  csp_note_run_end (exchange, CSP_RUN_END_NOT_STARTED);
  csp_cancel_exchange_trial (exchange);
  if (exchange->events > 0 && !exchange->resume.pending)
    {
      if (!csp_resume_kept_copy (exchange))
        csp_handle_broken_stream (exchange, failure_details[why]);
      return;
    }
  /* No byte was sent, so this was no attempt and costs no retry.  */
  exchange->attempts--;
  exchange->connect_failures++;
  exchange->connect_timed_out |= csp_link_timed_out (exchange->link);
  csp_send_attempt (exchange);
}
