#ifndef COWSLIPSPOKE_RUN_END_H
#define COWSLIPSPOKE_RUN_END_H

#include <stdbool.h>
#include <stdint.h>

/* Whether the run of a request at a target has ended, so that the request may
   go on at another one.

   Load pattern: targets leave, break off answers or fall silent while they run
   streams that can go on elsewhere.  Some targets go on with a run whose
   connection was closed, so a close proves nothing, and two targets would work
   on the request at once.  What proves an end is an answer of the target: to
   the request itself, to a request to stop the run, or in a report of its
   runs.  A target that this host doesn't reach can't be asked, and is left. */

typedef enum
{
  CSP_RUN_END_UNKNOWN,
  CSP_RUN_END_NOT_STARTED,  /* the target did not get it, or did not run it */
  CSP_RUN_END_ANSWERED,     /* the target has ended its answer */
  CSP_RUN_END_STOPPED,      /* the target has stopped it on request */
  CSP_RUN_END_NOT_FOUND,    /* the target has no such run any more */
  CSP_RUN_END_NOT_REPORTED, /* the target's report of its runs lacks it */
  CSP_RUN_END_TARGET_DOWN,  /* the target refuses connections */
  CSP_RUN_END_UNREACHED,    /* the target leaves connections or requests
                               unanswered */
  /* The target has no such run, but none was seen to begin there: the request
     may still wait in its queue.  */
  CSP_RUN_END_MAY_WAIT
} csp_run_end_t;

/* How to find out whether a run has ended.  */
typedef enum
{
  CSP_RUN_CHECK_NONE,
  CSP_RUN_CHECK_STOP,  /* ask the target to stop the run */
  CSP_RUN_CHECK_REPORT /* ask the target for its runs */
} csp_run_check_kind_t;

/* A request that is about to leave its target.  */
typedef struct
{
  csp_run_end_t end;
  bool goes_on;         /* it can be sent to another target */
  bool at_engine;       /* its target runs models */
  bool supports_stops;  /* targets of its service stop runs on request */
  bool has_destination; /* there is another target, which a request to stop a
                           run has to name */
} csp_run_facts_t;

csp_run_check_kind_t csp_choose_run_check (const csp_run_facts_t *facts);

typedef enum
{
  CSP_RUN_REPLY_ANSWERED,
  CSP_RUN_REPLY_NOT_CONNECTED,   /* the connection was refused */
  CSP_RUN_REPLY_CONNECTION_LATE, /* it was not established in time */
  CSP_RUN_REPLY_BROKEN,          /* it ended without a complete answer */
  CSP_RUN_REPLY_LATE             /* no complete answer came in time */
} csp_run_reply_kind_t;

/* What came of a check.  */
typedef struct
{
  csp_run_reply_kind_t kind;
  csp_run_check_kind_t check;
  bool run_seen; /* the run has sent an event */
  /* Since the check was sent the target has closed the run's stream, or sent
     an event on it.  */
  bool stream_closed;
  bool stream_alive;
  bool answer_begun; /* bytes of an answer have come */
  uint16_t status;   /* 0: no head has come */
  bool has_handle;   /* of the stopped run */
  bool lists_runs;   /* a report that names runs; lists_run: this one too */
  bool lists_run;
  int64_t run_age_ms; /* since the request was sent to the target */
} csp_run_reply_t;

/* CSP_RUN_END_UNKNOWN: the run may go on, and the check has to be repeated. */
csp_run_end_t csp_judge_run_reply (const csp_run_reply_t *reply);

/* Whether the end is certain, or the target is out of this host's reach.  */
bool csp_is_run_end_proven (csp_run_end_t end);

/* A word for logs.  */
const char *csp_run_end_name (csp_run_end_t end);

#endif
