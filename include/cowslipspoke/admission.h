#ifndef COWSLIPSPOKE_ADMISSION_H
#define COWSLIPSPOKE_ADMISSION_H

#include "cowslipspoke/length.h"
#include "cowslipspoke/names.h"

#include <stdbool.h>
#include <stdint.h>

/* Whether a target takes one more stream: the ledger that a target's owner
   keeps of what is in flight there, and the memory that it will need.

   Load pattern: crowded engines whose streams grow while they run.  Without
   this decision an engine is filled by what is free now; streams grow
   together, the engine preempts, and callers see a pause of seconds in the
   middle of an answer while it computes the lost part again.

   For a row of horizons (in tokens that every stream may still make) the
   ledger holds the mean and the variance of the memory that the streams in
   flight will need then: the chance that each one still runs, times what it
   holds by then.  A newcomer is admitted when, at each horizon, the mean and
   `risk` standard deviations fit, with it counted in.  The reserve is so
   learnt from lengths: large where long answers may grow, small where short
   ones are about to end.  */
typedef struct csp_ledger csp_ledger_t;

enum
{
  CSP_LEDGER_HORIZONS = 12
};

/* How admission weighs.  Figures in docs/DECISIONS.md.

   risk: standard deviations that must fit for priority 9.
   risk_step: added for each priority below 9, so that the urgent find room
   which the others left.
   long_tokens, long_share: streams that have made more than long_tokens may
   hold this share of a target's memory before it takes no more of a class
   whose answers may become long; short classes still get in.
   max_streams: bound on streams of one target, 0 for none.
   report_lag_ms: how old a report may be; the ledger compares it with all it
   held in that window.
   report_stale_ms: without a report for so long, only stale_share of memory
   is used.
   foreign_slack: share of memory that a report may exceed the ledger by
   before the excess counts as somebody else's.
   unknown_memory_tokens: memory believed before the first report.
   pressure_step, pressure_half_life_ms: what a preemption seen adds to risk,
   and how soon that fades; it answers a length guess that is wrong.  */
typedef struct
{
  double risk;
  double risk_step;
  uint32_t long_tokens;
  double long_share;
  uint32_t max_streams;
  uint32_t report_lag_ms;
  uint32_t report_stale_ms;
  double stale_share;
  double foreign_slack;
  uint32_t unknown_memory_tokens;
  double pressure_step;
  uint32_t pressure_half_life_ms;
} csp_admission_policy_t;

csp_admission_policy_t csp_default_admission_policy (void);

/* A stream that asks to be let in, or is in.  max_tokens is the caller's
   bound on the answer, 0 for none.  reserve_tokens is memory that must stay
   free besides, 0 for none.  repeatable: it may be taken back while it has
   made no token; given_way: how often that happened to it.  */
typedef struct
{
  uint64_t id;
  uint32_t length_key;
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint32_t reserve_tokens;
  uint8_t priority;
  uint8_t given_way;
  bool repeatable;
} csp_stream_t;

typedef enum
{
  CSP_ADMIT,
  CSP_ADMIT_WAIT,
  CSP_ADMIT_NEVER
} csp_admit_t;

/* What a target said of itself.  */
typedef struct
{
  uint64_t report;
  uint32_t memory_tokens;
  uint32_t used_tokens;
  uint32_t running;
  uint32_t waiting;
  uint64_t preemptions;
  bool leaving;
} csp_load_report_t;

/* A stream as the ledger knows it.  */
typedef struct
{
  csp_stream_t stream;
  uint32_t made_tokens;
  int64_t since_ms;
  int64_t progress_ms;
} csp_stream_state_t;

/* Create the ledger of one target.  lengths must outlive it; it is learnt
   from and asked by all ledgers of a host.  NULL when memory is short.  */
csp_ledger_t *csp_create_ledger (const csp_admission_policy_t *policy,
                                 csp_lengths_t *lengths);
void csp_destroy_ledger (csp_ledger_t *ledger);

/* Put another policy in force; streams in flight stay.  */
void csp_set_admission_policy (csp_ledger_t *ledger,
                               const csp_admission_policy_t *policy);

/* Whether the target takes this stream now.  NEVER when it wouldn't fit an
   empty target of the reported size either.  */
csp_admit_t csp_decide_admission (const csp_ledger_t *ledger,
                                  const csp_stream_t *stream, int64_t now_ms);

/* Count a stream in, whatever csp_decide_admission says of it.  made_tokens
   is above 0 for a stream taken over from another owner.  The handle is
   valid until csp_remove_stream; UINT32_MAX when memory is short.  */
uint32_t csp_add_stream (csp_ledger_t *ledger, const csp_stream_t *stream,
                         uint32_t made_tokens, int64_t now_ms);

/* The stream has made so many tokens.  Call at the first token, by which
   placement sees that the prompt is done, and every 16 tokens or second.  */
void csp_note_tokens (csp_ledger_t *ledger, uint32_t handle,
                      uint32_t made_tokens, int64_t now_ms);

/* The stream is over: its memory is free, and its length is learnt.  */
void csp_remove_stream (csp_ledger_t *ledger, uint32_t handle,
                        csp_length_end_t end, int64_t now_ms);

/* A report came.  One that is not newer than the last is ignored and false is
   returned, unless the last is stale: an engine that was started again counts
   from one.  */
bool csp_take_report (csp_ledger_t *ledger, const csp_load_report_t *report,
                      int64_t now_ms);

/* A preemption or a stall was seen on this target otherwise than by its
   report.  */
void csp_note_preemption (csp_ledger_t *ledger, int64_t now_ms);

/* Memory that a stream of this priority could still be given, in tokens, by
   the worst horizon; 0 when there is none.  For placement and gossip.  */
uint32_t csp_ledger_headroom_tokens (const csp_ledger_t *ledger,
                                     uint8_t priority, int64_t now_ms);

/* Memory that counts as the target's now, after stale reports and loads of
   others are taken off.  */
uint32_t csp_ledger_memory_tokens (const csp_ledger_t *ledger, int64_t now_ms);

/* Tokens in memory of the streams in flight, by the ledger.  */
uint32_t csp_ledger_used_tokens (const csp_ledger_t *ledger);

/* Load on the target that is not in the ledger: after a split, another
   host's.  */
uint32_t csp_ledger_foreign_tokens (const csp_ledger_t *ledger);

uint32_t csp_ledger_streams (const csp_ledger_t *ledger);
bool csp_ledger_leaving (const csp_ledger_t *ledger);

/* The state of a stream; false for a handle that is free.  Handles are below
   csp_ledger_handles.  */
bool csp_ledger_stream (const csp_ledger_t *ledger, uint32_t handle,
                        csp_stream_state_t *state);
uint32_t csp_ledger_handles (const csp_ledger_t *ledger);

/* Mean and variance of the memory needed at each horizon; writes
   CSP_LEDGER_HORIZONS values of each.  For histograms and explanations.  */
void csp_ledger_forecast (const csp_ledger_t *ledger,
                          uint32_t ahead_tokens[CSP_LEDGER_HORIZONS],
                          double mean_tokens[CSP_LEDGER_HORIZONS],
                          double variance_tokens[CSP_LEDGER_HORIZONS]);

#endif
