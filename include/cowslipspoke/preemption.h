#ifndef COWSLIPSPOKE_PREEMPTION_H
#define COWSLIPSPOKE_PREEMPTION_H

#include "cowslipspoke/admission.h"

/* Who gives way when a target's memory runs out after all.

   Load pattern: streams on one engine grow more than was foreseen, together;
   or another host filled the engine in a split.  Without this decision the
   engine picks, the latest stream first: it may pick an answer of thousands
   of tokens that an editor is reading, while a score that has made nothing
   would have freed as much; or the same stream again and again.  One notices
   stalls in long answers, and single streams that were preempted many times.

   Two means.  A stream that has made no token yet, and may be repeated, is
   taken back before the engine must preempt, and waits or goes elsewhere: its
   caller sees a later first token and no stall.  For all others the engine
   decides by the priority that it was given, so this one already says who is
   to give way: it rises each time a stream has given way.

   Streams with tokens are never taken back, whatever they hold: what the
   caller has seen can't be made by another generation.  */

/* ahead_tokens: how far ahead the memory must run out by expectation before
   a stream is taken back; 32 tokens are 1.3 s, in which a cancel gets there
   and which is too short for many answers to end.
   full_share: a target counts as full at this share of its memory.
   most_times: a stream that has given way so often isn't taken back again.
 */
typedef struct
{
  uint32_t ahead_tokens;
  double full_share;
  uint8_t most_times;
} csp_preemption_policy_t;

csp_preemption_policy_t csp_default_preemption_policy (void);

/* Priority for the engine: the stream's own, one more for each time that it
   has given way, at most 9.  */
uint8_t csp_engine_priority (const csp_stream_t *stream);

/* Memory by which the target is expected to run over within ahead_tokens; 0
   when it isn't.  */
uint32_t csp_expect_overrun (const csp_preemption_policy_t *policy,
                             const csp_ledger_t *ledger, int64_t now_ms);

/* Handles of the streams to take back so that the overrun is met, at most
   `most`, the first to give way first: lowest priority, then fewest times,
   then least lost (prompt tokens).  Returns their number; 0 when nobody can
   be taken back without loss to its caller.  */
uint32_t csp_choose_victims (const csp_preemption_policy_t *policy,
                             const csp_ledger_t *ledger, int64_t now_ms,
                             uint32_t *handles, uint32_t most);

#endif
