#ifndef COWSLIPSPOKE_PREEMPTION_H
#define COWSLIPSPOKE_PREEMPTION_H

#include "cowslipspoke/admission.h"

/* Chooses the streams to preempt when a target's memory is about to run out.

   Load pattern: the streams on one engine grow more than expected, all
   together, or another host filled the engine during a split.  Without this
   decision the engine preempts its latest stream first, which may be an answer
   of thousands of tokens that an editor is reading, while a score that has
   generated nothing would free as much; or it preempts the same stream again
   and again.  Long answers stall, and single streams are preempted many times.

   There are two means.  A stream that has generated no token yet and is
   repeatable is taken back before the engine must preempt, and waits or is
   placed elsewhere: its caller sees a later first token and no stall.  For all
   other streams the engine decides by the priority that it was given, which is
   raised each time a stream was taken back.

   Streams that have generated tokens are never taken back, whatever they hold:
   another generation can't reproduce what the caller has seen.  */

/* ahead_tokens: how far ahead the memory must be expected to run out before a
   stream is taken back.  32 tokens take 1.3 s, which is enough for a cancel to
   arrive and too short for many answers to end.
   full_share: a target counts as full at this share of its memory.
   max_preemptions: a stream that was taken back this often isn't taken back
   again.  */
typedef struct
{
  uint32_t ahead_tokens;
  double full_share;
  uint8_t max_preemptions;
} csp_preemption_policy_t;

csp_preemption_policy_t csp_default_preemption_policy (void);

/* Priority that the engine is given: the stream's own, plus one for each time
   that it was taken back, at most 9.  */
uint8_t csp_compute_engine_priority (const csp_stream_t *stream);

/* Memory, in tokens, by which the target is expected to overrun within
   ahead_tokens; 0 if it isn't.  */
uint32_t csp_expect_overrun (const csp_preemption_policy_t *policy,
                             const csp_ledger_t *ledger, int64_t now_ms);

/* Writes the handles of the streams to take back to cover the overrun, at most
   max_victims, in this order: lowest priority, fewest times taken back, least
   work lost (prompt tokens).  Returns their number; 0 when no stream can be
   taken back without loss to its caller.  */
uint32_t csp_choose_victims (const csp_preemption_policy_t *policy,
                             const csp_ledger_t *ledger, int64_t now_ms,
                             uint32_t *handles, uint32_t max_victims);

#endif
