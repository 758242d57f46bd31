#ifndef COWSLIPSPOKE_ADMISSION_H
#define COWSLIPSPOKE_ADMISSION_H

#include "cowslipspoke/length.h"
#include "cowslipspoke/names.h"

#include <stdbool.h>
#include <stdint.h>

/* Admission: decides whether a target can take one more stream.  The owner of
   a target keeps a ledger of the streams in flight there and of the memory
   that they will need.

   Load pattern: nearly full engines whose streams grow while they run.
   Admission by the memory that is free now fills an engine; then all its
   streams grow, the engine preempts some, and callers see a pause of seconds
   in the middle of an answer while the engine recomputes the lost part.

   For a series of horizons (in tokens that every stream may still generate)
   the ledger holds the mean and the variance of the memory needed: for each
   stream, the probability that it still runs then and what it holds by then.
   A new stream is admitted when, at each horizon and with the new stream
   included, the mean plus `risk` standard deviations fits.  The reserve
   therefore follows from learnt lengths: it is large where long answers may
   grow and small where short ones are about to end.  */
typedef struct csp_ledger csp_ledger_t;

enum
{
  CSP_LEDGER_HORIZONS = 12
};

/* Parameters of admission.  docs/DECISIONS.md has the measurements.

   risk: standard deviations that must fit for priority 9.
   risk_step: added for each priority below 9, so that urgent streams find
   memory that the others had to leave.
   long_tokens, long_share: when streams that have generated more than
   long_tokens hold this share of a target's memory, the target takes no more
   streams of classes whose answers may become long; short classes are still
   admitted.
   max_streams: maximum number of streams on one target, 0 for no limit.
   report_lag_ms: maximum delay of a report; a report is compared with the most
   that the ledger held within this time.
   report_stale_ms: after this time without a report only stale_share of the
   memory is used.
   foreign_slack: share of memory by which a report may exceed the ledger
   before the excess counts as load of others.
   unknown_memory_tokens: memory assumed before the first report.
   pressure_step, pressure_half_life_ms: how much each observed preemption adds
   to risk and how fast that decays; this corrects for wrong length
   estimates.  */
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

/* A stream in flight, or a request to admit one.  max_tokens is the caller's
   limit on the answer, 0 for none.  reserve_tokens is memory that must stay
   free besides, 0 for none.  repeatable: it may be taken back while it has
   generated no token; preempted_count: how often that happened.  */
typedef struct
{
  uint64_t id;
  uint32_t length_key;
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint32_t reserve_tokens;
  uint8_t priority;
  uint8_t preempted_count;
  bool repeatable;
} csp_stream_t;

typedef enum
{
  CSP_ADMIT,
  CSP_ADMIT_WAIT,
  CSP_ADMIT_NEVER
} csp_admit_t;

/* A target's report of its own load, with the report's sequence number.  */
typedef struct
{
  uint64_t sequence;
  uint32_t memory_tokens;
  uint32_t used_tokens;
  uint32_t running;
  uint32_t waiting;
  uint64_t preemptions;
  bool leaving;
} csp_load_report_t;

/* A stream's state in the ledger.  added_ms is when it was added, progress_ms
   when tokens were last noted.  */
typedef struct
{
  csp_stream_t stream;
  uint32_t generated_token_count;
  int64_t added_ms;
  int64_t progress_ms;
} csp_stream_state_t;

/* Creates the ledger of one target.  lengths must outlive it; all ledgers of a
   host share it, and add to it and query it.  Returns NULL when out of
   memory.  */
csp_ledger_t *csp_create_ledger (const csp_admission_policy_t *policy,
                                 csp_lengths_t *lengths);
void csp_destroy_ledger (csp_ledger_t *ledger);

/* Replaces the policy; streams in flight are kept.  */
void csp_set_admission_policy (csp_ledger_t *ledger,
                               const csp_admission_policy_t *policy);

/* Returns whether the target takes this stream now.  NEVER: it wouldn't fit an
   empty target of the reported size either.  */
csp_admit_t csp_decide_admission (const csp_ledger_t *ledger,
                                  const csp_stream_t *stream, int64_t now_ms);

/* Adds a stream regardless of csp_decide_admission.  generated_token_count is
   above 0 for a stream taken over from another owner.  The handle is valid
   until csp_remove_stream; UINT32_MAX when out of memory.  */
uint32_t csp_add_stream (csp_ledger_t *ledger, const csp_stream_t *stream,
                         uint32_t generated_token_count, int64_t now_ms);

/* Records how many tokens a stream has generated.  To be called at the first
   token, which tells placement that the prompt has been processed, and then
   every 16 tokens or every second.  */
void csp_note_tokens (csp_ledger_t *ledger, uint32_t handle,
                      uint32_t generated_token_count, int64_t now_ms);

/* Removes a stream that has ended: frees its memory and learns its length.  */
void csp_remove_stream (csp_ledger_t *ledger, uint32_t handle,
                        csp_length_end_t end, int64_t now_ms);

/* Applies a load report.  A report that is not newer than the last is ignored
   and false is returned, unless the last one is stale: a restarted engine
   numbers its reports from one again.  */
bool csp_apply_load_report (csp_ledger_t *ledger,
                            const csp_load_report_t *report, int64_t now_ms);

/* Records a preemption or stall that was observed on this target other than
   through its report.  */
void csp_note_preemption (csp_ledger_t *ledger, int64_t now_ms);

/* Memory, in tokens, available to a new stream of this priority at the
   tightest horizon; 0 when there is none.  Used by placement and gossip.  */
uint32_t csp_ledger_headroom_tokens (const csp_ledger_t *ledger,
                                     uint8_t priority, int64_t now_ms);

/* The target's usable memory: the reported memory, reduced while the report is
   stale, less the load of others.  */
uint32_t csp_ledger_memory_tokens (const csp_ledger_t *ledger, int64_t now_ms);

/* Tokens that the streams in flight hold in memory, according to the
   ledger.  */
uint32_t csp_ledger_used_tokens (const csp_ledger_t *ledger);

/* Load on the target that is not in the ledger, for example another host's
   after a split.  */
uint32_t csp_ledger_foreign_tokens (const csp_ledger_t *ledger);

uint32_t csp_ledger_streams (const csp_ledger_t *ledger);
bool csp_ledger_leaving (const csp_ledger_t *ledger);

/* Copies the state of a stream; returns false for an unused handle.  Handles
   are below csp_ledger_handles.  */
bool csp_ledger_stream (const csp_ledger_t *ledger, uint32_t handle,
                        csp_stream_state_t *state);
uint32_t csp_ledger_handles (const csp_ledger_t *ledger);

/* Copies the mean and variance of the memory needed at each horizon,
   CSP_LEDGER_HORIZONS values of each, for histograms and explanations.  */
void csp_ledger_forecast (const csp_ledger_t *ledger,
                          uint32_t ahead_tokens[CSP_LEDGER_HORIZONS],
                          double mean_tokens[CSP_LEDGER_HORIZONS],
                          double variance_tokens[CSP_LEDGER_HORIZONS]);

#endif
