#ifndef COWSLIPSPOKE_RECOVERY_H
#define COWSLIPSPOKE_RECOVERY_H

#include <stdbool.h>
#include <stdint.h>

#include "cowslipspoke/verdict.h"

/* What to do when a link to a target has ended.

   It answers links and engines that die, stall and refuse while a caller is
   waiting.  Without it a cut link is either a lost answer or, when the
   request is simply sent again, a second run or two answers spliced.  The
   rules: before the first token an idempotent request may go elsewhere,
   within the retry budget; after it only the same generation is resumed; and
   what can't be resumed ends with an error, never with a clean end.  */

/* How a link to a target ended.  */
typedef enum
{
  CSP_LINK_COMPLETE,    /* the whole answer arrived */
  CSP_LINK_NO_CONNECT,  /* no connection was made: nothing left */
  CSP_LINK_NOT_STARTED, /* the target said that nothing was started */
  CSP_LINK_REJECTED,    /* the target found the request wrong, not started */
  CSP_LINK_EXISTS,      /* the target already has this generation */
  CSP_LINK_UNKNOWN,     /* the target does not have it (any more) */
  CSP_LINK_FAILED,      /* an error that says nothing about a start */
  CSP_LINK_CUT,         /* the link ended before the answer did */
  CSP_LINK_STALLED,     /* no token for longer than the stall timeout */
  CSP_LINK_BROKEN,      /* a gap, or an event that can't be read */
  CSP_LINK_FOREIGN,     /* tokens of another generation */
  CSP_LINK_RECALLED,    /* taken back before the first token */
  CSP_LINK_CALLER_GONE, /* the caller hung up */
  CSP_LINK_DEADLINE,    /* the caller's deadline passed */
  CSP_LINK_STOPPED,     /* the host gave up: the drain limit passed */
  CSP_LINK_END_COUNT
} csp_link_end_t;

/* Name of an end for logs, such as "cut".  */
const char *csp_link_end_name (csp_link_end_t end);

/* Whether an end speaks against the target, rather than of the request or of
   the caller.  */
bool csp_link_failed (csp_link_end_t end);

/* What is known about one request at one target.  */
typedef struct
{
  bool idempotent;       /* may be run again */
  bool resumable;        /* the target can go on at a token */
  bool may_have_started; /* a byte that could start work has left */
  uint64_t delivered;    /* tokens that the caller has */
  uint32_t idle_resumes; /* resumes in a row that brought no token */
  int64_t idle_ms;       /* since the last token, or since the start */
} csp_attempt_t;

/* Note how a link ended.  byte_left: a byte that could start work may have
   left on it.  An end by which the target promises that it started nothing
   leaves may_have_started as it was.  */
void csp_note_link_end (csp_attempt_t *attempt, csp_link_end_t end,
                        bool byte_left, uint64_t delivered);

/* Settings of the decision.

   A resume is tried for as long as engines keep a cut generation (30 s, see
   docs/ENGINE.md), with a pause that keeps a dying engine from being called
   in a loop, and at most resume_limit times without a token in between.  */
typedef struct
{
  int64_t resume_window_ms;
  uint32_t resume_limit;
  uint32_t resume_pause_ms;
} csp_recovery_policy_t;

/* 30 s, 6 resumes, 200 ms, doubled with each that brings nothing.  */
csp_recovery_policy_t csp_default_recovery_policy (void);

typedef enum
{
  CSP_RECOVER_DONE,      /* end cleanly */
  CSP_RECOVER_RESUME,    /* the same generation at the same target */
  CSP_RECOVER_ELSEWHERE, /* a new generation at another target */
  CSP_RECOVER_GIVE_UP    /* end with the error, cancel at the target */
} csp_recovery_kind_t;

typedef struct
{
  csp_recovery_kind_t kind;
  uint32_t pause_ms; /* before a resume */
  bool cancel;       /* the target may still be working: tell it to stop */
  csp_error_t error; /* for CSP_RECOVER_GIVE_UP, and for ELSEWHERE when no
                        other target or no retry budget is left */
} csp_recovery_t;

/* Decide.  Pure: depends on nothing but its arguments.  */
csp_recovery_t csp_decide_recovery (const csp_recovery_policy_t *policy,
                                    const csp_attempt_t *attempt,
                                    csp_link_end_t end);

#endif
