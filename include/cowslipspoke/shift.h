#ifndef COWSLIPSPOKE_SHIFT_H
#define COWSLIPSPOKE_SHIFT_H

#include <stdbool.h>
#include <stdint.h>

/* Limits how fast load moves to a target or data centre that is new, has come
   back or was emptied (slow start).

   Load pattern: a target comes back at saturation, while hundreds of requests
   are queued.  Without slow start all of them go there at once, as it is the
   only target with free memory.  Their prompts queue up, the
   first tokens are seconds late, the answers end together, and the next wave
   of requests starts together.  The symptom is a time to first token many
   times that of other targets, recurring every ten seconds or so.  Between
   data centres such a wave oscillates, as each sees the other's headroom with
   a delay.

   A target may first use the share `start` of its memory, which doubles every
   doubling_ms.  A data centre's share rises by at most rise_per_s, and stays
   if the difference is within dead_band.  It falls at once if the data centre
   is in trouble, else by at most rise_per_s.  */

/* start: 0.1 of an engine's memory is enough for the prompts of one or two
   streams.
   doubling_ms: three times the time in which an engine computes a mean prompt
   (some 0.7 s), so that the prompts of a step are done before the next step.
   A target is fully open after 3.3 doublings, 6.6 s.
   rise_per_s: gossip about headroom is 1 to 2 s old, so with a tenth a second
   at most a fifth is moved before the effect is seen.
   dead_band: noise of the measured headroom; smaller differences move
   nothing.  */
typedef struct
{
  double start;
  uint32_t doubling_ms;
  double rise_per_s;
  double dead_band;
} csp_slow_start_policy_t;

csp_slow_start_policy_t csp_default_slow_start_policy (void);

/* The slow start of one target; a plain value.  A zeroed value is a target
   that was never opened.  */
typedef struct
{
  double open_share;
  int64_t advanced_ms;
  bool in_progress;
} csp_slow_start_t;

/* Begins a slow start at policy->start, as the target is new, came back or was
   emptied.  */
void csp_begin_slow_start (csp_slow_start_t *slow_start,
                           const csp_slow_start_policy_t *policy,
                           int64_t now_ms);

/* Opens the target fully at once, without a slow start: for example when a
   host restarts and finds the target in full service.  */
void csp_skip_slow_start (csp_slow_start_t *slow_start);

/* Closes the target, as it is leaving or lost.  */
void csp_stop_slow_start (csp_slow_start_t *slow_start);

/* Advances the slow start to now_ms and returns the share of the target's
   memory that may be used.  The share doesn't grow while the target isn't
   healthy (is slow, or reports more load than the hosts know of).  */
double csp_advance_slow_start (csp_slow_start_t *slow_start,
                               const csp_slow_start_policy_t *policy,
                               bool healthy, int64_t now_ms);

/* Returns a data centre's share of the spilled load, moved from `current`
   towards `wanted` over passed_ms.  */
double csp_move_share (const csp_slow_start_policy_t *policy, double current,
                       double wanted, bool trouble, int64_t passed_ms);

#endif
