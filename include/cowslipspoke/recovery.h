#ifndef COWSLIPSPOKE_RECOVERY_H
#define COWSLIPSPOKE_RECOVERY_H

#include <stdbool.h>
#include <stdint.h>

#include "cowslipspoke/verdict.h"

/* Decides what to do when a link to a target has ended.

   Load pattern: links and engines fail, stall and refuse while a caller
   waits.  Without this decision a cut link is a lost answer or, if the request
   is simply sent again, a second run or two answers mixed.  Rules: before the
   first token an idempotent request may be retried on another target, within
   the retry budget; after the first token only the same generation is resumed;
   a generation that can't be resumed ends with an error, never with a clean
   end.  */

/* How a link to a target ended.  */
typedef enum
{
  CSP_LINK_COMPLETE,    /* the complete answer was received */
  CSP_LINK_NO_CONNECT,  /* no connection was made, no byte sent */
  CSP_LINK_NOT_STARTED, /* the target states that nothing was started */
  CSP_LINK_REJECTED,    /* the target rejected the request as invalid */
  CSP_LINK_EXISTS,      /* the target already has this generation */
  CSP_LINK_UNKNOWN,     /* the target doesn't have the generation (any more) */
  CSP_LINK_FAILED,      /* an error that leaves open whether it started */
  CSP_LINK_CUT,         /* the link ended before the answer did */
  CSP_LINK_STALLED,     /* no token for longer than the stall timeout */
  CSP_LINK_BROKEN,      /* a missing token or an event that can't be parsed */
  CSP_LINK_FOREIGN,     /* tokens of another generation */
  CSP_LINK_RECALLED,    /* taken back before the first token */
  CSP_LINK_CALLER_GONE, /* the caller closed its connection */
  CSP_LINK_DEADLINE,    /* the caller's deadline passed */
  CSP_LINK_STOPPED,     /* the host's drain limit passed */
  CSP_LINK_END_COUNT
} csp_link_end_t;

/* Returns the name of an end for logs, such as "cut".  */
const char *csp_link_end_name (csp_link_end_t end);

/* Whether an end indicates a failure of the target rather than of the request
   or the caller.  */
bool csp_is_target_failure (csp_link_end_t end);

/* State of one request at one target.  */
typedef struct
{
  bool idempotent;       /* may be run more than once */
  bool resumable;        /* the target can resume a generation at a token */
  bool may_have_started; /* a byte that could start work was sent */
  uint64_t delivered;    /* tokens delivered to the caller */
  uint32_t idle_resumes; /* resumes in a row without a new token */
  int64_t idle_ms;       /* time since the last token, or since the start */
} csp_attempt_t;

/* Records how a link ended.  may_have_been_sent: a byte that could start work
   may have been sent on it.  may_have_started stays as it was when the end
   guarantees that the target started nothing.  */
void csp_record_link_end (csp_attempt_t *attempt, csp_link_end_t end,
                          bool may_have_been_sent, uint64_t delivered);

/* Parameters of the decision.

   A resume is tried for as long as engines keep a cut generation (30 s, see
   docs/ENGINE.md), at most resume_limit times without a token in between, and
   after a pause, so that a failing engine isn't called in a loop.  */
typedef struct
{
  int64_t resume_window_ms;
  uint32_t resume_limit;
  uint32_t resume_pause_ms;
} csp_recovery_policy_t;

/* 30 s, 6 resumes, and a pause of 200 ms that doubles with each resume without
   a token.  */
csp_recovery_policy_t csp_default_recovery_policy (void);

typedef enum
{
  CSP_RECOVER_DONE,            /* the answer is complete */
  CSP_RECOVER_RESUME,          /* the same generation at the same target */
  CSP_RECOVER_RETRY_ELSEWHERE, /* a new generation at another target */
  CSP_RECOVER_GIVE_UP          /* end with the error, cancel at the target */
} csp_recovery_kind_t;

typedef struct
{
  csp_recovery_kind_t kind;
  uint32_t pause_ms; /* before a resume */
  bool cancel;       /* the target may still be running it: send a cancel */
  csp_error_t
      error; /* for CSP_RECOVER_GIVE_UP, and for CSP_RECOVER_RETRY_ELSEWHERE
                when no other target or no retry budget is left  */
} csp_recovery_t;

/* Decides on the next step.  The result depends only on the arguments.  */
csp_recovery_t csp_decide_recovery (const csp_recovery_policy_t *policy,
                                    const csp_attempt_t *attempt,
                                    csp_link_end_t end);

#endif
