#ifndef COWSLIPSPOKE_GATEWAY_MOVE_IMP_H
#define COWSLIPSPOKE_GATEWAY_MOVE_IMP_H

#include "gateway/gateway-run-imp.h"

enum
{
  /* Consecutive failed moves of one stream, and the delay after each.  Full
     targets get free memory with each run that ends there, during the whole
     second and a half for which the source keeps running.  */
  CSP_MOVE_TRIES_MAX = 24,
  CSP_MOVE_RETRY_MS = 40
};

/* Shared by backups, moves and the order of moves.  */

/* The best target other than the given one that stays under a share of its
   memory; 0: no limit.  NULL where there is none.  */
csp_fleet_target_t *csp_choose_other_target (csp_exchange_t *exchange,
                                             const csp_fleet_target_t *target,
                                             double share_max);

/* Whether there may be a copy to resume from.  */
bool csp_has_usable_backup (const csp_exchange_t *exchange);

/* Begin to move a stream whose turn has come; to is NULL where this host must
   choose the target.  */
void csp_begin_move (csp_exchange_t *exchange, csp_fleet_target_t *to);

/* Check in a moment whether a waiting stream may begin its move.  */
void csp_schedule_move_check (csp_gateway_t *gateway);

/* The target that the run is copied to leaves or is gone.  */
void csp_note_destination_left (csp_exchange_t *exchange);

/* Whether the stream waits to be moved.  */
bool csp_waits_for_move (csp_exchange_t *exchange);

/* Expected time until the run ends.  */
int64_t csp_expected_remaining_ms (const csp_exchange_t *exchange);

/* The same, limited to the range of asks and placements.  */
uint32_t csp_expected_left_ms (const csp_exchange_t *exchange);

/* Reserve memory for a copy at its destination, so that no other move takes
   it.  */
void csp_reserve_move (csp_exchange_t *exchange, csp_fleet_target_t *to);

/* Append to the answer to a request to copy, stop or report a run.  False when
   it is too long, or memory fails.  */
bool csp_append_move_answer (csp_exchange_t *exchange, const char *piece,
                             size_t piece_bytes);

/* The stopped run no longer needs the copy that its source keeps.  */
void csp_drop_kept_copy (csp_move_t *move);

/* The target has stopped the run and answered so: resume it.  */
void csp_resume_stopped_run (csp_exchange_t *exchange,
                             const csp_move_answer_t *answer);

/* The target is about to be asked to stop the run, or for its runs.  detail:
   why the request leaves.  */
void csp_begin_run_check (csp_exchange_t *exchange, csp_run_check_kind_t kind,
                          const char *detail);

/* What the failure of a request to copy or stop a run says.  */
csp_run_reply_kind_t csp_classify_run_reply (const csp_link_t *link,
                                             csp_link_failure_t why);

/* Handle what came of a request to stop the run, or to report the target's
   runs.  Fills in what the exchange knows.  */
void csp_finish_run_check (csp_exchange_t *exchange, csp_run_reply_t *reply);

/* Write a step of a move to the log.  */
void csp_log_move (const csp_exchange_t *exchange, const char *step,
                   const csp_fleet_target_t *to);

/* Whether the run will probably end before its target does.  */
bool csp_run_ends_in_time (const csp_exchange_t *exchange);

#endif
