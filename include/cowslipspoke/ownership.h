#ifndef COWSLIPSPOKE_OWNERSHIP_H
#define COWSLIPSPOKE_OWNERSHIP_H

#include "cowslipspoke/membership.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Which targets of its data centre this host owns, and up to which share of
   each target's capacity it may grant new work.

   Load pattern: engines with fewer slots than there are hosts, whose load
   reports lag.  Hosts that all chose for themselves would herd, so one host
   owns each target, by rendezvous hashing over the membership view.  When the
   view changes, two hosts may both believe that they own a target; the symptom
   is preemptions, and load reports above the load that the owner carries.  So
   a new owner asks its peers which load they still carry and whether they
   still own the target, compares the answers with the target's report, and
   raises its share in steps.  An owner grants only under the lease that its
   peers' heartbeats give it.

   Does no input or output: the caller passes events in and carries out the
   queries.  */
typedef struct csp_ownership csp_ownership_t;

enum
{
  CSP_MAX_OWNERS = 256,
  /* Open shares, up to which the owner may grant, in thousandths of the
     target's capacity.  */
  CSP_OPEN_SHARE_FULL = 1000,
  CSP_OPEN_SHARE_INITIAL = 250,
  /* The limit while the report shows foreign load, which no reachable host
     accounts for: two owners that each keep to half of the capacity don't
     overload the target.  */
  CSP_OPEN_SHARE_FOREIGN = 500,
  /* Foreign load that no report has shown for this long counts as gone, even
     if this host's own load varies too much to be sure: three times the mean
     duration of a generation.  */
  CSP_FOREIGN_EXPIRY_MS = 30000,
  /* Without load reports the open share is doubled after this long: the mean
     duration of a generation under the planned load.  */
  CSP_OPEN_STEP_MS = 10000,
  /* How long a peer that claims the target, or doesn't answer, keeps a new
     owner from opening it; after that it is opened anyway, since the peer's
     view may never agree.  Longer than it takes to detect a silent peer.  */
  CSP_CONTEST_TIMEOUT_MS = 10000,
  CSP_LOAD_QUERY_GAP_MS = 1000,
  CSP_LOAD_QUERY_TIMEOUT_MS = 1500,
  /* A report agrees with the load that this host and its peers carry if it
     differs by at most this part of the capacity, in thousandths, from the
     range of that load over the last CSP_REPORT_LAG_MS.  */
  CSP_AGREE_THOUSANDTHS = 100,
  CSP_REPORT_LAG_MS = 5000,
  CSP_MAX_LOAD_QUERY_TARGETS = 512,
  CSP_MAX_LOAD_QUERIES = 16
};

/* The load that a host carries on a target, its own streams there, and whether
   it believes that it owns the target.  */
typedef struct
{
  char target[CSP_HOST_NAME_BYTES];
  int64_t carried_tokens;
  uint32_t carried_streams;
  bool owning;
} csp_carried_load_t;

/* A query to a peer for csp_carried_load_t of these targets (indices).  */
typedef struct
{
  char peer[CSP_HOST_NAME_BYTES];
  uint64_t id;
  uint32_t timeout_ms;
  size_t count;
  const uint32_t *targets;
} csp_load_query_t;

typedef struct
{
  size_t count;
  csp_load_query_t items[CSP_MAX_LOAD_QUERIES];
} csp_load_queries_t;

typedef enum
{
  CSP_OWN_OTHER,
  /* Owned by the view, but a peer may still grant or hasn't answered yet.  */
  CSP_OWN_CLOSED,
  CSP_OWN_OPENING,
  CSP_OWN_OPEN,
  /* Leaving by the list or by its own report: gets no new work.  */
  CSP_OWN_LEAVING
} csp_own_state_t;

typedef struct
{
  csp_listed_target_t target;
  /* Empty where the data centre has no live host.  */
  char owner[CSP_HOST_NAME_BYTES];
  csp_own_state_t state;
  uint32_t open_share_thousandths;
  /* Load that peers carry there, and load that the report shows beyond that
     and this host's own.  */
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
  /* Targets that this host gained, lost, and opened although a peer hadn't
     yielded them.  */
  uint64_t gained;
  uint64_t lost;
  uint64_t contested;
} csp_ownership_status_t;

csp_ownership_t *csp_create_ownership (const char *host,
                                       const char *data_centre);
void csp_destroy_ownership (csp_ownership_t *ownership);

/* Apply the targets of this host's data centre from the list.  A target's
   index is stable while the target is listed and may be reused later.  */
void csp_apply_target_list (csp_ownership_t *ownership,
                            const csp_host_list_t *list, int64_t now_ms);

/* Apply the membership view and return the queries to send to peers; to be
   called every 100 ms.  Costs a few compares if the view's version hasn't
   changed.  The queries' target indices are valid until the next call.  */
void csp_tick_ownership (csp_ownership_t *ownership,
                         const csp_membership_t *membership, int64_t now_ms,
                         csp_load_queries_t *queries);

/* Fill in the answer to a peer's query about one target: the load that this
   host carries there, as last set, and whether it owns the target.  An unknown
   target has no load and isn't owned.  */
void csp_get_carried_load (const csp_ownership_t *ownership, const char *name,
                           csp_carried_load_t *answer);

/* Handle a peer's answer to the query with this id, with its targets in any
   order, or the loss of that answer.  */
void csp_handle_load_query_answer (csp_ownership_t *ownership,
                                   const char *peer, uint64_t id,
                                   const csp_carried_load_t *answers,
                                   size_t count, int64_t now_ms);
void csp_handle_load_query_lost (csp_ownership_t *ownership, const char *peer,
                                 uint64_t id, int64_t now_ms);

/* Set the load that this host carries on a target; to be called at each change
   or at least once a second.  */
void csp_set_carried_load (csp_ownership_t *ownership, uint32_t index,
                           int64_t tokens, uint32_t streams, int64_t now_ms);

/* Handle a new load report of the target itself, each report once.  leaving
   closes the target at once.  */
void csp_handle_load_report (csp_ownership_t *ownership, uint32_t index,
                             int64_t used_tokens, int64_t capacity_tokens,
                             bool leaving, int64_t now_ms);

/* Thousandths of the capacity up to which new work may be granted now; 0: no
   grant.  Checks the lease at now_ms, so that a thread that was paused since
   the last tick gets 0.  To be called immediately before a grant.  */
uint32_t csp_get_open_share (const csp_ownership_t *ownership, uint32_t index,
                             int64_t now_ms);

/* Tokens of memory that new work may still take on the target: the smaller
   of the open share and of what the load of others leaves of the capacity,
   less this host's own load.  0 if no grant is allowed or no report has given
   the capacity yet.  */
int64_t csp_get_free_tokens (const csp_ownership_t *ownership, uint32_t index,
                             int64_t now_ms);

/* The end of the lease that every grant needs, for snapshots that traffic
   threads read.  */
int64_t csp_get_grant_lease_until_ms (const csp_ownership_t *ownership);

size_t csp_count_target_slots (const csp_ownership_t *ownership);
/* False where the slot is unused.  */
bool csp_view_target (const csp_ownership_t *ownership, uint32_t index,
                      csp_target_view_t *view);
bool csp_find_target (const csp_ownership_t *ownership, const char *name,
                      uint32_t *target);
void csp_get_ownership_status (const csp_ownership_t *ownership,
                               csp_ownership_status_t *status);

/* Increased by every change that a snapshot should show.  */
uint64_t csp_ownership_version (const csp_ownership_t *ownership);

#endif
