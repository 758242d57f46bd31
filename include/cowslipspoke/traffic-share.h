#ifndef COWSLIPSPOKE_TRAFFIC_SHARE_H
#define COWSLIPSPOKE_TRAFFIC_SHARE_H

#include "cowslipspoke/traffic-class.h"

#include <stdbool.h>
#include <stdint.h>

/* Which traffic class of a pool is served next.

   Load pattern: long regular requests fill the engines while short urgent
   requests keep arriving, so the urgent ones go first.  But a flood of urgent
   requests would then take all memory, so they go first only while their class
   has taken at most half of the cost that was placed lately.

   Above that, a regular request may still not fit where a short one ends, and
   the next short one would take the memory.  So the urgent ones are held for a
   limited time, in which memory accumulates: at most a quarter of the time
   that an urgent request may wait, so that none is refused for a hold.  */

/* The cost that was placed lately, by class.  All zero: none.  */
typedef struct
{
  double placed[CSP_CLASS_COUNT]; /* decaying */
  int64_t decayed_ms;             /* when placed was last updated */
  bool blocked; /* a regular request whose turn it is doesn't fit */
  int64_t blocked_since_ms;
  int64_t hold_ms;         /* of the hold that began then */
  uint32_t urgent_wait_ms; /* see csp_note_urgent_wait; 0: unknown */
} csp_traffic_share_t;

/* A class's queue while it is served.  */
typedef struct
{
  bool waits;   /* has requests */
  bool is_done; /* all that may be served now have been tried */
} csp_class_queue_state_t;

/* Records that a request was placed.  */
void csp_note_class_placed (csp_traffic_share_t *share,
                            csp_traffic_class_t traffic_class, uint32_t cost,
                            int64_t now_ms);

/* Sets how long the urgent request that came last may wait; an estimate of the
   time that is left to those that wait.  0 is ignored, as such a request can't
   be served anyway.  */
void csp_note_urgent_wait (csp_traffic_share_t *share,
                           uint32_t start_within_ms);

/* The share of the urgent class in the cost that was placed lately; 0 if there
   was none.  */
double csp_urgent_share (const csp_traffic_share_t *share);

/* The class whose next request is tried; CSP_CLASS_COUNT: none now.  */
csp_traffic_class_t
csp_choose_next_class (csp_traffic_share_t *share,
                       const csp_class_queue_state_t queues[CSP_CLASS_COUNT],
                       int64_t now_ms);

#endif
