#ifndef COWSLIPSPOKE_GATEWAY_MOVE_IMP_H
#define COWSLIPSPOKE_GATEWAY_MOVE_IMP_H

#include "gateway/gateway-exchange-imp.h"

enum
{
  /* Moves of one stream that may fail one after another, and the pause behind
     each: targets that have no room get some with each run that ends there,
     all along the second and a half for which the source goes on.  */
  CSP_MOVE_TRIES_MAX = 24,
  CSP_MOVE_AGAIN_MS = 40
};

/* What the three parts of taking streams elsewhere share: backups, moves, and
   whose turn it is.  */

/* The best target but the given one that stays under a share of its memory;
   0: under none.  NULL where there is none.  */
csp_fleet_target_t *csp_choose_elsewhere (csp_exchange_t *exchange,
                                          const csp_fleet_target_t *target,
                                          double share_max);

/* Whether there may be a copy to go on from.  */
bool csp_backup_stands (const csp_exchange_t *exchange);

/* Whether the copy is surely whole, so that a sound run may be given up for
   it.  */
bool csp_backup_is_whole (const csp_exchange_t *exchange);

/* Begin to move a stream whose turn has come; to is NULL where this host has
   to choose.  */
void csp_begin_move (csp_exchange_t *exchange, csp_fleet_target_t *to);

/* The target that its run is copied to leaves or is gone.  */
void csp_note_destination_left (csp_exchange_t *exchange);

/* Whether it waits to be moved.  */
bool csp_waits_for_move (csp_exchange_t *exchange);

/* How much longer its run will probably write.  */
int64_t csp_expected_left_ms (const csp_exchange_t *exchange);

/* Write a step of a move to the log.  */
void csp_log_move (const csp_exchange_t *exchange, const char *step,
                   const csp_fleet_target_t *to);

/* Whether the run will probably end before its target does.  */
bool csp_run_ends_in_time (const csp_exchange_t *exchange);

#endif
