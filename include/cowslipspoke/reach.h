#ifndef COWSLIPSPOKE_REACH_H
#define COWSLIPSPOKE_REACH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Detects which data centres this host can reach, from its own traffic.

   Load pattern: a data centre is partitioned from the others for some seconds
   while callers keep sending requests to all of its hosts.  Links break in
   three ways: connections are refused, are accepted and reset, or hang.  A
   host that doesn't detect the partition keeps choosing targets across it.  A
   request that isn't idempotent is then lost once its first byte was sent,
   though a local target or another host could have served it; streams and
   short requests hang until their callers give up.

   A data centre counts as unreachable once an exchange with one of its targets
   failed and none has succeeded since, or once nothing was received from it
   for several hello periods.  A single crashed target looks the same until
   another target answers, which costs the choice of targets there for that
   moment.  An unreachable data centre is probed periodically with an
   idempotent request; an answer makes it reachable again.  */

typedef struct csp_reach csp_reach_t;

/* home: hash of this host's own data centre, which is always reachable.
   Returns NULL when out of memory.  */
csp_reach_t *csp_create_reach (uint32_t home);
void csp_destroy_reach (csp_reach_t *reach);

/* Records that a target there sent bytes of an answer.  */
void csp_note_target_answer_from (csp_reach_t *reach, uint32_t data_centre,
                                  int64_t now_ms);

/* Records that a message from a host there was received.  */
void csp_note_host_message_from (csp_reach_t *reach, uint32_t data_centre,
                                 int64_t now_ms);

/* Sets the period in which each host sends a hello to some host of
   every other data centre.  */
void csp_note_hello_period (csp_reach_t *reach, uint32_t period_ms);

/* Records that a target there refused a connection, or broke off an exchange
   or let it time out without an answer.  */
void csp_note_exchange_failed (csp_reach_t *reach, uint32_t data_centre,
                               int64_t now_ms);

/* Whether the data centre is reachable, so that requests that aren't
   idempotent can be sent there.  */
bool csp_is_reachable (const csp_reach_t *reach, uint32_t data_centre,
                       int64_t now_ms);

/* Whether other hosts of this host's side don't reach the data centre either:
   nothing has come from its hosts since an exchange with one of its targets
   failed, or for several hello periods.  Where its hosts are heard, only this
   host may have lost its paths to the targets.  */
bool csp_is_cut_for_all (const csp_reach_t *reach, uint32_t data_centre,
                         int64_t now_ms);

/* Whether reachability has changed since the last call for this data
   centre.  */
bool csp_take_reach_change (csp_reach_t *reach, uint32_t data_centre,
                            int64_t now_ms);

/* Whether a probe is due to a target of this unreachable data centre.  If so,
   the probe counts as sent.  */
bool csp_take_reach_probe (csp_reach_t *reach, uint32_t data_centre,
                           int64_t now_ms);

#endif
