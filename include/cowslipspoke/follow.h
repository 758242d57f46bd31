#ifndef COWSLIPSPOKE_FOLLOW_H
#define COWSLIPSPOKE_FOLLOW_H

#include "cowslipspoke/buffer.h"
#include "cowslipspoke/watch.h"

#include <netinet/in.h>
#include <uv.h>

/* Carries out what a csp_watch_t decides, over one connection: makes its
   calls, passes their answers to the code that knows the source's protocol,
   and reports when the source becomes unreachable or reachable.  */

typedef struct
{
  /* Write the complete HTTP request for a call.  */
  void (*write_call) (void *state, const csp_watch_call_t *call,
                      csp_buffer_t *request);
  /* Handle the body of a successful answer, NUL-terminated, and record its
     outcome in the watch.  False if the body can't be used.  */
  bool (*process_answer) (void *state, const csp_watch_call_t *call,
                          const char *body, csp_watch_t *watch);
  /* Called at the first of several failed calls in a row: the known items may
     be out of date from now on.  May be NULL.  */
  void (*failures_began) (void *state);
  /* Called when the source becomes unreachable or reachable again.  The latter
     is reported before the source's first answer is handled, as that may hold
     removals that are due to the outage.  May be NULL.  */
  void (*reach_changed) (void *state, bool unreachable);
  /* HTTP status that means that the history after a revision is gone.  */
  uint16_t compacted_status;
  csp_watch_policy_t policy;
} csp_follow_source_t;

typedef struct csp_follower csp_follower_t;

/* Start to follow a source; after is the revision up to which all changes are
   known, 0: none.  NULL when memory fails.  source must outlive the follower.
 */
csp_follower_t *csp_open_follower (uv_loop_t *loop,
                                   const struct sockaddr_in *address,
                                   const csp_follow_source_t *source,
                                   int64_t after, void *state);

/* Stop; no call is made afterwards.  */
void csp_close_follower (csp_follower_t *follower);

/* Set the maximum backoff between failed calls, and the gap between watches
   that are answered.  */
void csp_set_follower_pace (csp_follower_t *follower, uint32_t max_backoff_ms,
                            uint32_t gap_ms);

/* While a list is held, no page after its first one is read.  */
void csp_hold_follower_list (csp_follower_t *follower, bool hold);

/* Record that the source was unreachable when it was last followed, so that
   its return is reported.  */
void csp_set_follower_unreachable (csp_follower_t *follower);

#endif
