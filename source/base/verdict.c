#include "cowslipspoke/verdict.h"

#include <stdarg.h>
#include <stdio.h>

typedef struct
{
  const char *code;
  uint16_t status;
} reason_row_t;

static const reason_row_t reason_table[CSP_REASON_COUNT] = {
  [CSP_REASON_NONE] = { "none", 200 },
  [CSP_REASON_BAD_REQUEST] = { "bad_request", 400 },
  [CSP_REASON_TOO_LARGE] = { "too_large", 413 },
  [CSP_REASON_UNKNOWN_KEY] = { "unknown_key", 401 },
  [CSP_REASON_UNKNOWN_MODEL] = { "unknown_model", 404 },
  [CSP_REASON_UNKNOWN_SERVICE] = { "unknown_service", 404 },
  [CSP_REASON_TURNED_AWAY] = { "turned_away", 429 },
  [CSP_REASON_QUEUE_FULL] = { "queue_full", 429 },
  [CSP_REASON_DEADLINE] = { "deadline", 504 },
  [CSP_REASON_OVERLOADED] = { "overloaded", 503 },
  [CSP_REASON_LIMIT] = { "limit", 429 },
  [CSP_REASON_NO_TARGET] = { "no_target", 503 },
  [CSP_REASON_TARGET_UNREACHABLE] = { "target_unreachable", 502 },
  [CSP_REASON_TARGET_REFUSED] = { "target_refused", 503 },
  [CSP_REASON_TARGET_FAILED] = { "target_failed", 502 },
  [CSP_REASON_STREAM_CUT] = { "stream_cut", 502 },
  [CSP_REASON_STREAM_STALLED] = { "stream_stalled", 504 },
  [CSP_REASON_REPEATED] = { "repeated", 409 },
  [CSP_REASON_UNDECIDED] = { "undecided", 409 },
  [CSP_REASON_QUARANTINED] = { "quarantined", 503 },
  [CSP_REASON_SHUTTING_DOWN] = { "shutting_down", 503 },
  [CSP_REASON_NO_CONFIGURATION] = { "no_configuration", 503 },
  [CSP_REASON_INTERNAL] = { "internal", 500 },
};

const char *
csp_verdict_name (csp_verdict_t verdict)
{
  switch (verdict)
    {
    case CSP_VERDICT_NOT_RUN:
      return "not run";
    case CSP_VERDICT_RAN:
      return "ran";
    case CSP_VERDICT_MAY_HAVE_RUN:
      break;
    }
  return "may have run";
}

const char *
csp_reason_code (csp_reason_t reason)
{
  if (reason >= CSP_REASON_COUNT)
    return "internal";
  return reason_table[reason].code;
}

uint16_t
csp_reason_status (csp_reason_t reason)
{
  if (reason >= CSP_REASON_COUNT)
    return reason_table[CSP_REASON_INTERNAL].status;
  return reason_table[reason].status;
}

void
csp_set_error (csp_error_t *error, csp_verdict_t verdict, csp_reason_t reason,
               uint32_t retry_after_ms, const char *detail, ...)
{
  va_list args;

  error->verdict = verdict;
  error->reason = reason;
  error->retry_after_ms = retry_after_ms;
  va_start (args, detail);
  vsnprintf (error->detail, sizeof error->detail, detail, args);
  va_end (args);
}
