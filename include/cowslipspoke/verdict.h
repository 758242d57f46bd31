#ifndef COWSLIPSPOKE_VERDICT_H
#define COWSLIPSPOKE_VERDICT_H

#include <stdint.h>

/* Whether a request that failed was executed.

   NOT_RUN is a guarantee: no byte that could start work was sent, or the
   target itself reported that it started nothing.  If that is uncertain the
   verdict is MAY_HAVE_RUN.  */
typedef enum
{
  CSP_VERDICT_NOT_RUN,
  CSP_VERDICT_RAN,
  CSP_VERDICT_MAY_HAVE_RUN
} csp_verdict_t;

/* Why a request was refused or ended.  The codes that callers get are stable;
   see csp_reason_code.  */
typedef enum
{
  CSP_REASON_NONE,
  CSP_REASON_BAD_REQUEST,
  CSP_REASON_TOO_LARGE,
  CSP_REASON_UNKNOWN_KEY,
  CSP_REASON_UNKNOWN_MODEL,
  CSP_REASON_UNKNOWN_SERVICE,
  CSP_REASON_TURNED_AWAY,
  CSP_REASON_QUEUE_FULL,
  CSP_REASON_DEADLINE,
  CSP_REASON_OVERLOADED,
  CSP_REASON_LIMIT,
  CSP_REASON_NO_TARGET,
  CSP_REASON_TARGET_UNREACHABLE,
  CSP_REASON_TARGET_REFUSED,
  CSP_REASON_TARGET_FAILED,
  CSP_REASON_STREAM_CUT,
  CSP_REASON_STREAM_STALLED,
  CSP_REASON_REPEATED,
  CSP_REASON_UNDECIDED,
  CSP_REASON_QUARANTINED,
  CSP_REASON_SHUTTING_DOWN,
  CSP_REASON_NO_CONFIGURATION,
  CSP_REASON_INTERNAL,
  CSP_REASON_COUNT
} csp_reason_t;

enum
{
  CSP_ERROR_DETAIL_BYTES = 160
};

/* The error that any module returns to the caller.  retry_after_ms is 0 if a
   retry doesn't help.  */
typedef struct
{
  csp_verdict_t verdict;
  csp_reason_t reason;
  uint32_t retry_after_ms;
  char detail[CSP_ERROR_DETAIL_BYTES];
} csp_error_t;

/* Name of a verdict as callers get it: "not run", "ran", "may have run".  */
const char *csp_verdict_name (csp_verdict_t verdict);

/* Stable code of a reason as callers get it, such as "queue_full".  */
const char *csp_reason_code (csp_reason_t reason);

/* HTTP status of the response to a reason if no byte has been sent yet.  */
uint16_t csp_reason_status (csp_reason_t reason);

/* Fills in an error; detail is a printf format and is truncated to fit.  */
void csp_set_error (csp_error_t *error, csp_verdict_t verdict,
                    csp_reason_t reason, uint32_t retry_after_ms,
                    const char *detail, ...)
    __attribute__ ((format (printf, 5, 6)));

#endif
