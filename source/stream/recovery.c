#include "cowslipspoke/recovery.h"

enum
{
  RESUME_WINDOW_MS = 30000,
  RESUME_LIMIT = 6,
  RESUME_PAUSE_MS = 200,
  RETRY_AFTER_MS = 1000
};

/* For each end of a link: its name in logs, the reason given to the caller,
   whether the target may still have the generation, whether the end guarantees
   that nothing was started, and whether a retry on another target makes
   sense.  */
typedef struct
{
  const char *name;
  csp_reason_t reason;
  bool resumable;
  bool certainly_not_started;
  bool retry_elsewhere;
} end_row_t;

static const end_row_t end_table[CSP_LINK_END_COUNT] = {
  [CSP_LINK_COMPLETE] = { "complete", CSP_REASON_NONE, false, false, false },
  [CSP_LINK_NO_CONNECT]
  = { "no-connect", CSP_REASON_TARGET_UNREACHABLE, true, true, true },
  [CSP_LINK_NOT_STARTED]
  = { "not-started", CSP_REASON_TARGET_REFUSED, true, true, true },
  [CSP_LINK_REJECTED]
  = { "rejected", CSP_REASON_BAD_REQUEST, false, true, false },
  [CSP_LINK_EXISTS]
  = { "exists", CSP_REASON_TARGET_FAILED, true, false, false },
  [CSP_LINK_UNKNOWN]
  = { "unknown", CSP_REASON_STREAM_CUT, false, false, true },
  [CSP_LINK_FAILED]
  = { "failed", CSP_REASON_TARGET_FAILED, true, false, true },
  [CSP_LINK_CUT] = { "cut", CSP_REASON_STREAM_CUT, true, false, true },
  [CSP_LINK_STALLED]
  = { "stalled", CSP_REASON_STREAM_STALLED, true, false, true },
  [CSP_LINK_BROKEN] = { "broken", CSP_REASON_STREAM_CUT, true, false, true },
  [CSP_LINK_FOREIGN] = { "foreign", CSP_REASON_STREAM_CUT, true, false, true },
  [CSP_LINK_RECALLED]
  = { "recalled", CSP_REASON_OVERLOADED, true, false, true },
  [CSP_LINK_CALLER_GONE]
  = { "caller-gone", CSP_REASON_NONE, false, false, false },
  [CSP_LINK_DEADLINE]
  = { "deadline", CSP_REASON_DEADLINE, false, false, false },
  [CSP_LINK_STOPPED]
  = { "stopped", CSP_REASON_SHUTTING_DOWN, false, false, false },
};

const char *
csp_link_end_name (csp_link_end_t end)
{
  return end < CSP_LINK_END_COUNT ? end_table[end].name : "none";
}

bool
csp_is_target_failure (csp_link_end_t end)
{
  return end == CSP_LINK_NO_CONNECT || end == CSP_LINK_FAILED
         || end == CSP_LINK_CUT || end == CSP_LINK_STALLED;
}

void
csp_record_link_end (csp_attempt_t *attempt, csp_link_end_t end,
                     bool may_have_been_sent, uint64_t delivered)
{
  if (may_have_been_sent && !end_table[end].certainly_not_started)
    attempt->may_have_started = true;
  attempt->delivered += delivered;
  attempt->idle_resumes = delivered > 0 ? 0 : attempt->idle_resumes + 1;
}

csp_recovery_policy_t
csp_default_recovery_policy (void)
{
  csp_recovery_policy_t policy
      = { RESUME_WINDOW_MS, RESUME_LIMIT, RESUME_PAUSE_MS };

  return policy;
}

static csp_verdict_t
derive_verdict (const csp_attempt_t *attempt)
{
  if (attempt->delivered > 0)
    return CSP_VERDICT_RAN;
  if (attempt->may_have_started)
    return CSP_VERDICT_MAY_HAVE_RUN;
  return CSP_VERDICT_NOT_RUN;
}

/* A resume is useful only when the target may have the generation: something
   was started, and neither the time window nor the number of resumes without a
   token is used up.  */
static bool
may_resume (const csp_recovery_policy_t *policy, const csp_attempt_t *attempt,
            const end_row_t *row)
{
  return row->resumable && attempt->resumable && attempt->may_have_started
         && attempt->idle_resumes < policy->resume_limit
         && attempt->idle_ms < policy->resume_window_ms;
}

/* Another target may run the request when no token was delivered, and either
   running it twice is harmless or it certainly hasn't run.  */
static bool
may_retry_elsewhere (const csp_attempt_t *attempt, const end_row_t *row)
{
  return row->retry_elsewhere && attempt->delivered == 0
         && (attempt->idempotent || !attempt->may_have_started);
}

csp_recovery_t
csp_decide_recovery (const csp_recovery_policy_t *policy,
                     const csp_attempt_t *attempt, csp_link_end_t end)
{
  const end_row_t *row = &end_table[end];
  csp_recovery_t recovery = { CSP_RECOVER_GIVE_UP, 0, false, { 0 } };
  csp_verdict_t verdict = derive_verdict (attempt);

  if (end == CSP_LINK_COMPLETE)
    {
      recovery.kind = CSP_RECOVER_DONE;
      return recovery;
    }
  recovery.cancel = attempt->may_have_started && end != CSP_LINK_UNKNOWN;
  csp_set_error (&recovery.error, verdict, row->reason,
                 row->retry_elsewhere ? RETRY_AFTER_MS : 0,
                 "the link to the target ended: %s", row->name);
  /* Before the first token a new start on another target is faster than a
     resume; with a resume, a stalled or dead engine would delay the caller for
     the whole resume window.  */
  if (may_retry_elsewhere (attempt, row))
    recovery.kind = CSP_RECOVER_RETRY_ELSEWHERE;
  else if (may_resume (policy, attempt, row))
    {
      recovery.kind = CSP_RECOVER_RESUME;
      recovery.cancel = false;
      recovery.pause_ms = attempt->idle_resumes == 0
                              ? 0
                              : policy->resume_pause_ms
                                    << (attempt->idle_resumes - 1);
    }
  return recovery;
}
