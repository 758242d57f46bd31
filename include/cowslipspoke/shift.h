#ifndef COWSLIPSPOKE_SHIFT_H
#define COWSLIPSPOKE_SHIFT_H

#include <stdbool.h>
#include <stdint.h>

/* How fast load moves to a target or data centre that is new, has come back
   or was emptied.

   Load pattern: a target comes back at saturation, while hundreds of requests
   wait.  Without this decision all of them go there at once, as it is the
   only one with room: their prompts queue up behind each other, the first
   tokens come seconds late, the answers end together, and the next wave goes
   in together.  One notices a time to first token on that target of many
   times the others', again and again some ten seconds apart.  Between data
   centres the same wave goes back and forth, as each sees the other's
   headroom late.

   A target opens from `start` of its memory by doubling each double_ms.  A
   data centre's share moves by at most rise_per_s up, and not at all for
   differences within dead_band; down it goes at once when there is trouble
   there, and by rise_per_s otherwise.  */

/* start: 0.1 of an engine's memory is the prompt of one stream or two.
   double_ms: three times the time in which an engine computes a mean prompt
   (some 0.7 s), so that each step's prompts are done before the next;
   a target is open after 3.3 doublings, 6.6 s.
   rise_per_s: gossip about headroom is 1 to 2 s old, so a tenth a second
   moves at most a fifth before its effect is seen.
   dead_band: noise of the measured headroom, below which nothing moves.  */
typedef struct
{
  double start;
  uint32_t double_ms;
  double rise_per_s;
  double dead_band;
} csp_shift_policy_t;

csp_shift_policy_t csp_default_shift_policy (void);

/* One target's opening; a plain value.  All zero is a target that was never
   opened.  */
typedef struct
{
  double open;
  int64_t moved_ms;
  bool opening;
} csp_shift_t;

/* The target is new, came back or was emptied: begin at `start`.  */
void csp_start_shift (csp_shift_t *shift, const csp_shift_policy_t *policy,
                      int64_t now_ms);

/* The target is known to be as it was (a host that restarts finds it in full
   service): open at once.  */
void csp_open_shift (csp_shift_t *shift);

/* The target is leaving or lost: nothing new from now on.  */
void csp_stop_shift (csp_shift_t *shift);

/* Move on to now_ms; well is false while the target shows trouble (slow, or
   reports more than is known to be there), which keeps it where it is.
   Returns the share that may be used.  */
double csp_move_shift (csp_shift_t *shift, const csp_shift_policy_t *policy,
                       bool well, int64_t now_ms);

/* A data centre's share of what is spilled, moved from `current` towards
   `wanted` over passed_ms.  */
double csp_move_share (const csp_shift_policy_t *policy, double current,
                       double wanted, bool trouble, int64_t passed_ms);

#endif
