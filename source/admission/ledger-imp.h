#ifndef ADMISSION_LEDGER_IMP_H
#define ADMISSION_LEDGER_IMP_H

#include "cowslipspoke/admission.h"

enum
{
  HELD_BUCKETS = 8,
  HELD_BUCKET_MS = 500,
  NO_HANDLE = UINT32_MAX
};

/* What a stream adds at each horizon.  It is kept, as what is taken away
   later must be what was added, though lengths were learnt in between.  */
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
  bool open;
} slot_t;

typedef struct
{
  int64_t bucket;
  uint32_t most_tokens;
} held_t;

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
  held_t held[HELD_BUCKETS];
  double pressure;
  int64_t pressure_ms;
};

extern const uint32_t csp_ledger_ahead[CSP_LEDGER_HORIZONS];

/* What a stream with so many tokens needs at each horizon.  */
void csp_forecast_stream (csp_lengths_t *lengths, const csp_stream_t *stream,
                          uint32_t made_tokens, forecast_t *forecast);

/* csp_decide_admission with the stream's forecast made before, for a choice
   among many targets; open is the share of the target that may be used.  */
csp_admit_t csp_decide_forecast (const csp_ledger_t *ledger,
                                 const csp_stream_t *stream,
                                 const forecast_t *forecast, double open,
                                 int64_t now_ms);

/* The most that the ledger held within the lag of a report.  */
uint32_t csp_most_held (const csp_ledger_t *ledger, int64_t now_ms);

/* Standard deviations that must fit for a priority.  */
double csp_ledger_risk (const csp_ledger_t *ledger, uint8_t priority,
                        int64_t now_ms);

#endif
