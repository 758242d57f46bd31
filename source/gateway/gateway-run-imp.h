#ifndef COWSLIPSPOKE_GATEWAY_RUN_IMP_H
#define COWSLIPSPOKE_GATEWAY_RUN_IMP_H

#include "gateway/gateway-exchange-imp.h"

/* Runs of streams that end early, move or go on elsewhere.  */

/* Run end: see gateway-run-end.c.  The run at the current target has ended, by
   this evidence.  */
void csp_note_run_end (csp_exchange_t *exchange, csp_run_end_t end);

/* The request is about to go on at another target.  cause: for the log.  */
void csp_log_run_left (csp_exchange_t *exchange, const char *cause);

/* The attempt has failed, and the request may go on at another target.  True
   where the old run may not have ended: its target is asked first, and
   csp_leave_run follows.  False where the end is known, can't be asked for, or
   nothing follows.  detail: why it failed; must outlive the exchange.  */
bool csp_await_run_end (csp_exchange_t *exchange, const char *detail);

/* The old run has ended: send the request to another target, or end it.  */
void csp_leave_run (csp_exchange_t *exchange, const char *detail);

/* The stream is silent though its connection is open.  Where it can go on at
   another target, its run is stopped first; it stays if the target turns out
   to be alive.  */
void csp_leave_silent_run (csp_exchange_t *exchange);

/* The exchange leaves its target before the answer's end: where the target may
   begin or go on with the run, it is asked to stop it soon.  */
void csp_stop_left_run (csp_exchange_t *exchange);

/* Whether the target was asked to stop the run, so that it may close the
   stream at any time.  */
bool csp_is_run_stopping (const csp_exchange_t *exchange);

/* Move: see gateway-move.c.  The target leaves: start or schedule a move of
   the stream.  */
void csp_consider_move (csp_exchange_t *exchange);

/* Whether the stream can be resumed from the copy at its backup.  */
bool csp_can_resume_from_backup (csp_exchange_t *exchange);

/* The run has ended in the middle of a stream.  True where the stream resumes
   at another target.  */
bool csp_try_resume_stream (csp_exchange_t *exchange);

/* Resume a run whose destination refused it at the source that stopped it.
   false: the source doesn't have it, or can't be used.  */
bool csp_resume_kept_copy (csp_exchange_t *exchange);

/* The first bytes of the resumed run have come.  */
void csp_complete_move (csp_exchange_t *exchange);

/* Count the stream, or stop counting it, among those that must move if the
   target leaves.  */
void csp_count_movable (csp_exchange_t *exchange, bool movable);

/* Cancel the current move.  */
void csp_drop_move (csp_exchange_t *exchange);

/* Choose the target that the run's memory is copied to as it grows.  */
void csp_choose_backup (csp_exchange_t *exchange,
                        const csp_fleet_target_t *target);
void csp_drop_backup (csp_exchange_t *exchange);

/* Resume: see gateway-resume.c.  Whether the request may run more than once.
 */
bool csp_may_repeat (const csp_exchange_t *exchange);

/* Whether the stream can be resumed without a copy.  */
bool csp_is_resumable (const csp_exchange_t *exchange);

/* Whether the request can't be sent again, as its body is no longer held or
   the caller has received a part of an answer that can't be resumed.  */
bool csp_blocks_retry (const csp_exchange_t *exchange);

/* The run at the current target is lost: where the request may be repeated,
   it isn't sent to that target again.  */
void csp_note_run_lost (csp_exchange_t *exchange);

/* Let the decider place the request at none of the targets that lost it.  */
void csp_exclude_lost_targets (const csp_exchange_t *exchange, csp_ask_t *ask);

/* The attempt broke in the middle of a stream: resume it at another target,
   from a copy where there is one, or cut it off.  */
void csp_handle_broken_stream (csp_exchange_t *exchange, const char *detail);

/* There is no copy: send the request again to have the stream resumed after
   the last event sent, or cut it off.  */
void csp_resume_or_cut (csp_exchange_t *exchange, const char *detail);

/* Whether the stream, if it is silent and has no copy, is to be resumed
   because its target is no longer listed.  */
bool csp_may_leave_gone_target (const csp_exchange_t *exchange);

/* The target that resumes the stream has sent an event, or its end.  */
void csp_complete_resume (csp_exchange_t *exchange);

#endif
