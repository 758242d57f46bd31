#ifndef COWSLIPSPOKE_REACH_H
#define COWSLIPSPOKE_REACH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Which data centres this host reaches, from what it sees itself.

   Load pattern: a data centre is cut off from the others for some seconds
   while callers keep coming to all of its hosts.  Links break in three ways:
   connections are refused, they are made and reset, or they fall silent.  A
   host that doesn't know goes on choosing targets across the cut.  A request
   that may run only once is then lost to its caller with the first byte that
   leaves, though a target at home or a host elsewhere could have served it;
   and streams and short requests wait there until their callers leave.

   A data centre counts as cut off once an exchange with one of its targets
   failed and none has answered since, or once nothing at all was heard from
   there for longer than its hosts greet.  One target that crashes looks the
   same for the moment until another answers; it costs that moment's choice
   among targets elsewhere.  What is cut off is asked a question that may be
   repeated, now and then; its answer ends the matter.  */

typedef struct csp_reach csp_reach_t;

/* home: hash of this host's own data centre, which is never cut off.  NULL
   when memory fails.  */
csp_reach_t *csp_create_reach (uint32_t home);
void csp_destroy_reach (csp_reach_t *reach);

/* Bytes of an answer came from a target there.  */
void csp_note_answer_from (csp_reach_t *reach, uint32_t data_centre,
                           int64_t now_ms);

/* A host there was heard.  */
void csp_note_host_heard (csp_reach_t *reach, uint32_t data_centre,
                          int64_t now_ms);

/* How often hosts greet some host of each other data centre.  */
void csp_note_greeting_period (csp_reach_t *reach, uint32_t period_ms);

/* A target there took no connection, or broke or left an exchange without an
   answer.  */
void csp_note_exchange_failed (csp_reach_t *reach, uint32_t data_centre,
                               int64_t now_ms);

/* Whether requests that may run once can be sent there.  */
bool csp_is_reached (const csp_reach_t *reach, uint32_t data_centre,
                     int64_t now_ms);

/* Whether that has changed since it was last asked here.  */
bool csp_take_reach_change (csp_reach_t *reach, uint32_t data_centre,
                            int64_t now_ms);

/* Whether a target there is to be asked now whether it can be reached; counts
   it as asked.  */
bool csp_take_reach_question (csp_reach_t *reach, uint32_t data_centre,
                              int64_t now_ms);

#endif
