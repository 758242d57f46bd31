#ifndef COWSLIPSPOKE_QUARANTINE_H
#define COWSLIPSPOKE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Quarantine of requests that crash the targets that run them.

   Load pattern: one request crashes every target that starts to run it, and
   its caller retries it through any host.  Each crash aborts all other
   requests on that target.  A host that counts only its own crashes sees too
   few of them, and the fleet loses a target per retry.

   A target that ends while it runs a request is a strike against the
   request's fingerprint.  Hosts exchange strikes and keep the union, so
   messages may arrive in any order, repeatedly or not at all.  At three
   strikes the request is quarantined: no host sends it until the hold
   expires, and a further strike after that doubles the hold.

   A complete successful answer clears all strikes.  A request that was served
   recently gets no strikes: many callers send the same short request, so
   copies of it are often running on a target that crashes.  An error answer
   clears nothing, since a failing target returns errors without running the
   request.  */

enum
{
  CSP_STRIKES_MAX = 3,
  /* Size of a host's table of requests with strikes.  */
  CSP_SUSPECTS_MAX = 1024,
  /* How many times a new strike is broadcast to all hosts.  Hellos repeat
     it for some time, in case a broadcast was lost.  */
  CSP_SUSPECT_BROADCASTS = 2
};

/* A request with strikes, as hosts report it to each other.  */
typedef struct
{
  uint64_t request; /* fingerprint */
  size_t strike_count;
  uint64_t targets[CSP_STRIKES_MAX]; /* hashes of the target incarnations that
                                        ended */
  uint32_t age_ms;                   /* time since the last strike */
  uint32_t failed_trials; /* expired holds that were followed by a strike */
} csp_suspect_t;

/* The effect of a strike or of another host's report.  */
typedef enum
{
  CSP_SUSPECT_UNCHANGED,
  CSP_SUSPECT_STRIKE_ADDED,
  CSP_SUSPECT_QUARANTINED,    /* it reached the last strike just now */
  CSP_SUSPECT_RECENTLY_SERVED /* it was served recently: no strike is counted
                               */
} csp_suspect_change_t;

typedef struct csp_quarantine csp_quarantine_t;

/* Returns NULL when out of memory.  */
csp_quarantine_t *csp_create_quarantine (void);
void csp_destroy_quarantine (csp_quarantine_t *quarantine);

/* Records that the target ended while it was running the request.  */
csp_suspect_change_t csp_add_request_strike (csp_quarantine_t *quarantine,
                                             uint64_t request, uint64_t target,
                                             int64_t now_ms);

/* Merges another host's report into this host's strikes.  */
csp_suspect_change_t csp_merge_suspect (csp_quarantine_t *quarantine,
                                        const csp_suspect_t *reported,
                                        int64_t now_ms);

/* Clears all strikes, as the request got a complete successful answer.
   Returns true if some of the strikes were seen by this host: it reported
   them to the other hosts, so it has to report the success as well.  */
bool csp_clear_request (csp_quarantine_t *quarantine, uint64_t request,
                        int64_t now_ms);

/* Returns the remaining hold of the request; 0 when it may be sent.  */
uint32_t csp_quarantine_left_ms (const csp_quarantine_t *quarantine,
                                 uint64_t request, int64_t now_ms);

/* Lists the suspects of this host that have to be broadcast now, and counts
   one broadcast for each of them.  */
size_t csp_take_suspects_to_broadcast (csp_quarantine_t *quarantine,
                                       csp_suspect_t *suspects,
                                       size_t capacity, int64_t now_ms);

/* Lists suspects to include in a hello, round robin: quarantined ones
   first, then those with several strikes and those with a recent one, whose
   broadcast may have been lost.  */
size_t csp_list_suspects_for_hello (csp_quarantine_t *quarantine,
                                    csp_suspect_t *suspects, size_t capacity,
                                    int64_t now_ms);

/* Drops old strikes and holds that expired long ago.  Call it
   periodically.  */
void csp_expire_suspects (csp_quarantine_t *quarantine, int64_t now_ms);

size_t csp_count_suspects (const csp_quarantine_t *quarantine);
size_t csp_count_quarantined (const csp_quarantine_t *quarantine,
                              int64_t now_ms);

#endif
