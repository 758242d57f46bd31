#ifndef COWSLIPSPOKE_FOLLOW_H
#define COWSLIPSPOKE_FOLLOW_H

#include "cowslipspoke/buffer.h"
#include "cowslipspoke/watch.h"

#include <netinet/in.h>
#include <uv.h>

/* Carries out what a csp_watch_t decides, over one connection: makes its
   calls, hands their answers to whoever knows the source's protocol, and
   tells when the source goes away and comes back.  */

typedef struct
{
  /* Write a whole request for a call.  */
  void (*write_call) (void *state, const csp_watch_call_t *call,
                      csp_buffer_t *request);
  /* Take the body of a good answer, as a text, and note what it was in the
     watch.  False where it can't be used.  */
  bool (*take_answer) (void *state, const csp_watch_call_t *call,
                       const char *body, csp_watch_t *watch);
  /* A call failed, the first in a row: what the source said last may be out
     of date.  May be NULL.  */
  void (*doubted) (void *state);
  /* The source can't be reached any more, or is back.  Its return is told
     before its first answer is taken, which may hold removals that are due to
     its absence.  May be NULL.  */
  void (*reach_changed) (void *state, bool away);
  /* Status by which the source says that a revision's history is gone.  */
  uint16_t compacted_status;
  csp_watch_policy_t policy;
} csp_follow_source_t;

typedef struct csp_follower csp_follower_t;

/* Begin to follow behind a revision up to which all is known; 0: none.  NULL
   when memory fails.  source must outlive it.  */
csp_follower_t *csp_open_follower (uv_loop_t *loop,
                                   const struct sockaddr_in *address,
                                   const csp_follow_source_t *source,
                                   int64_t after, void *state);

/* Stop; no call is made afterwards.  */
void csp_close_follower (csp_follower_t *follower);

/* Pause longer or shorter between calls that fail, and between watches that
   are answered.  */
void csp_set_follower_pace (csp_follower_t *follower, uint32_t pause_last_ms,
                            uint32_t gap_ms);

/* The source was away when it was last followed; its return will be told.  */
void csp_set_follower_away (csp_follower_t *follower);

#endif
