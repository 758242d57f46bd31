#ifndef COWSLIPSPOKE_OWNERSHIP_H
#define COWSLIPSPOKE_OWNERSHIP_H

#include "cowslipspoke/membership.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Which targets of the data centre this host owns, and how far it may open
   them.

   Load pattern: engines with fewer slots than there are hosts, whose load
   reports lag.  If all hosts chose, they would herd; so one host owns each
   target, by rendezvous hashing over the view.  When hosts come and go two of
   them may believe that they own one target; one notices by preemptions and
   by a load report that is higher than what the owner carries.  So a new
   owner asks its peers what they still carry and whether they still grant,
   compares with the target's report, and opens by steps; and an owner grants
   only under the lease that its peers' heartbeats give it.

   Pure: events in, actions out.  */
typedef struct csp_ownership csp_ownership_t;

enum
{
  CSP_MAX_OWNERS = 256,
  /* Openings are in thousandths of the target's capacity.  */
  CSP_OPEN_FULL = 1000,
  CSP_OPEN_FIRST = 250,
  /* While the report shows load that nobody we hear carries: two owners that
     each keep to half do not overload the target.  */
  CSP_OPEN_FOREIGN = 500,
  /* Foreign load that no report has shown for this long is gone, also where
     our own load moves too much to be sure: three mean answers.  */
  CSP_FOREIGN_MS = 30000,
  /* Without a load report to agree with, each doubling takes this long: the
     mean answer of the planned load.  */
  CSP_OPEN_STEP_MS = 10000,
  /* A peer that says it still grants, though we believe that we own: after
     this long we open all the same, since its view may never agree.  Longer
     than any silence takes to be noticed.  */
  CSP_CONTEST_MS = 10000,
  CSP_CARRY_GAP_MS = 1000,
  CSP_CARRY_TIMEOUT_MS = 1500,
  /* Report and count agree within this part of the capacity, in thousandths,
     over the last CSP_REPORT_LAG_MS.  */
  CSP_AGREE_THOUSANDTHS = 100,
  CSP_REPORT_LAG_MS = 5000,
  CSP_MAX_CARRY_TARGETS = 512,
  CSP_MAX_CARRY_ASKS = 16
};

/* What a host says of one target: the tokens of the streams it carries there
   and whether it believes that it owns it.  */
typedef struct
{
  char target[CSP_HOST_NAME_BYTES];
  int64_t carried_tokens;
  uint32_t carried_streams;
  bool owning;
} csp_carry_t;

/* Ask a peer for csp_carry_t of these targets (indices).  */
typedef struct
{
  char peer[CSP_HOST_NAME_BYTES];
  uint64_t id;
  uint32_t timeout_ms;
  size_t count;
  const uint32_t *targets;
} csp_carry_ask_t;

typedef struct
{
  size_t count;
  csp_carry_ask_t items[CSP_MAX_CARRY_ASKS];
} csp_carry_asks_t;

typedef enum
{
  CSP_OWN_OTHER,
  /* Ours by the view, but a peer may still grant, or none has said yet.  */
  CSP_OWN_CLOSED,
  CSP_OWN_OPENING,
  CSP_OWN_OPEN,
  /* Listed as leaving, or says so itself: no new work.  */
  CSP_OWN_LEAVING
} csp_own_state_t;

typedef struct
{
  csp_listed_target_t target;
  /* Empty where the data centre has no live host.  */
  char owner[CSP_HOST_NAME_BYTES];
  csp_own_state_t state;
  uint32_t opening_thousandths;
  /* What peers carry there, and what the report shows beyond all that.  */
  int64_t peer_tokens;
  int64_t foreign_tokens;
} csp_target_view_t;

typedef struct
{
  size_t targets;
  size_t owned;
  size_t closed;
  size_t opening;
  size_t leaving;
  size_t foreign;
  /* Targets that came to us, went from us, and were opened although a peer
     said that it still grants.  */
  uint64_t gained;
  uint64_t lost;
  uint64_t contested;
} csp_ownership_status_t;

csp_ownership_t *csp_create_ownership (const char *host,
                                       const char *data_centre);
void csp_destroy_ownership (csp_ownership_t *ownership);

/* Take the targets of our data centre from the list.  Target indices are
   stable while a target is listed, and may be given to another later.  */
void csp_apply_target_list (csp_ownership_t *ownership,
                            const csp_host_list_t *list, int64_t now_ms);

/* Follow the view, and say what to ask of whom; call every 100 ms.  Costs a
   few compares when the view number has not changed.  The asks' target
   indices hold until the next call.  */
void csp_tick_ownership (csp_ownership_t *ownership,
                         const csp_membership_t *membership, int64_t now_ms,
                         csp_carry_asks_t *asks);

/* Answer a peer's question about one target: what we carry there, as last
   set, and whether we still own it.  An unknown target is not carried.  */
void csp_answer_carry (const csp_ownership_t *ownership, const char *name,
                       csp_carry_t *carry);

/* A peer's answer to the ask with this id, in any order of targets, or that
 * none came.  */
void csp_handle_carry (csp_ownership_t *ownership, const char *peer,
                       uint64_t id, const csp_carry_t *carries, size_t count,
                       int64_t now_ms);
void csp_handle_carry_lost (csp_ownership_t *ownership, const char *peer,
                            uint64_t id, int64_t now_ms);

/* What we carry on a target now; the daemon says so with each change, or at
   least once a second.  */
void csp_set_carried (csp_ownership_t *ownership, uint32_t index,
                      int64_t tokens, uint32_t streams, int64_t now_ms);

/* A new load report of the target itself (not one already given).  leaving
   closes it at once.  */
void csp_handle_load_report (csp_ownership_t *ownership, uint32_t index,
                             int64_t used_tokens, int64_t capacity_tokens,
                             bool leaving, int64_t now_ms);

/* Thousandths of the capacity up to which new work may be granted now; 0 is
   no grant.  Checks the lease at now_ms, so a thread that was paused since
   the last tick gets 0.  Call it immediately before a grant.  */
uint32_t csp_find_opening (const csp_ownership_t *ownership, uint32_t index,
                           int64_t now_ms);

/* Tokens of memory that new work may still take on the target now: what the
   opening leaves beside our streams and our peers', and never more than the
   report leaves free.  0 where there is no grant or no report yet said the
   capacity.  */
int64_t csp_find_room_tokens (const csp_ownership_t *ownership, uint32_t index,
                              int64_t now_ms);

/* The lease behind every grant, for snapshots that traffic threads read.  */
int64_t csp_grant_until_ms (const csp_ownership_t *ownership);

size_t csp_count_target_slots (const csp_ownership_t *ownership);
/* False where the slot is unused.  */
bool csp_view_target (const csp_ownership_t *ownership, uint32_t index,
                      csp_target_view_t *view);
bool csp_find_target (const csp_ownership_t *ownership, const char *name,
                      uint32_t *target);
void csp_describe_ownership (const csp_ownership_t *ownership,
                             csp_ownership_status_t *status);

/* Rises with every change that a snapshot should show.  */
uint64_t csp_ownership_number (const csp_ownership_t *ownership);

#endif
