#ifndef ADMISSION_LEDGER_IMP_H
#define ADMISSION_LEDGER_IMP_H

#include "cowslipspoke/admission.h"

enum
{
  PEAK_BUCKETS = 8,
  PEAK_BUCKET_MS = 500,
  NO_HANDLE = UINT32_MAX
};

/* What a stream adds at each horizon.  It is stored, since exactly the added
   value must be subtracted later although lengths were learnt in between.  */
typedef struct
{
  float mean[CSP_LEDGER_HORIZONS];
  float variance[CSP_LEDGER_HORIZONS];
  float ceiling[CSP_LEDGER_HORIZONS];
} forecast_t;

typedef struct
{
  csp_stream_state_t state;
  forecast_t forecast;
  uint32_t next_free;
  bool used;
} slot_t;

typedef struct
{
  int64_t bucket;
  uint32_t peak_tokens;
} peak_t;

struct csp_ledger
{
  csp_admission_policy_t policy;
  csp_lengths_t *lengths;
  double mean[CSP_LEDGER_HORIZONS];
  double variance[CSP_LEDGER_HORIZONS];
  double ceiling[CSP_LEDGER_HORIZONS];
  uint32_t streams;
  uint32_t used_tokens;
  uint32_t long_used_tokens;
  uint32_t unstarted_tokens;
  slot_t *slots;
  uint32_t slot_count;
  uint32_t first_free;
  csp_load_report_t report;
  int64_t report_ms;
  bool reported;
  uint32_t foreign_tokens;
  peak_t peaks[PEAK_BUCKETS];
  double pressure;
  int64_t pressure_ms;
};

extern const uint32_t csp_ledger_horizon_tokens[CSP_LEDGER_HORIZONS];

/* Computes what a stream with generated_token_count needs at each horizon.  */
void csp_forecast_stream (csp_lengths_t *lengths, const csp_stream_t *stream,
                          uint32_t generated_token_count,
                          forecast_t *forecast);

/* Like csp_decide_admission, with a forecast of the stream computed before,
   for a choice among many targets.  usable_share is the share of the target's
   memory that may be used.  */
csp_admit_t csp_decide_forecast (const csp_ledger_t *ledger,
                                 const csp_stream_t *stream,
                                 const forecast_t *forecast,
                                 double usable_share, int64_t now_ms);

/* The most tokens that the ledger held within report_lag_ms before now_ms.  */
uint32_t csp_peak_used_tokens (const csp_ledger_t *ledger, int64_t now_ms);

/* Number of standard deviations that must fit for a priority.  */
double csp_ledger_risk (const csp_ledger_t *ledger, uint8_t priority,
                        int64_t now_ms);

#endif
