#ifndef COWSLIPSPOKE_METRICS_H
#define COWSLIPSPOKE_METRICS_H

#include "cowslipspoke/verdict.h"

#include <stddef.h>
#include <stdint.h>

/* Counters, gauges and histograms of one host, rendered as Prometheus text.
   All functions may be called from any thread; counting takes no lock.
   docs/METRICS.md describes names, buckets and how to read them.  */
typedef struct csp_metrics csp_metrics_t;

/* The counters and histograms of one organisation or one class.  A series
   lives as long as the metrics, so a stream may look it up once and keep the
   pointer.  */
typedef struct csp_series csp_series_t;

/* Histograms, each for every organisation and every class: times and sizes. */
typedef enum
{
  CSP_TIME_TO_FIRST_TOKEN, /* from the request's arrival */
  CSP_TIME_BETWEEN_TOKENS, /* as the caller gets them */
  CSP_TIME_STALLED,        /* of a whole answer: the sum over its gaps of the
                              time beyond CSP_STALL_THRESHOLD_US */
  CSP_TIME_WAITING,        /* in the queue, until sent or rejected */
  CSP_SIZE_REQUESTED,      /* expected memory of a request for an engine, in
                              tokens */
  CSP_SIZE_REFUSED,        /* the same, of one that got no place there */
  CSP_HISTOGRAM_COUNT
} csp_histogram_id_t;

/* Counters, each for every organisation and every class.  */
typedef enum
{
  CSP_COUNT_REQUESTS,
  CSP_COUNT_TOKENS,
  CSP_COUNT_REFUSALS,
  CSP_COUNT_PREEMPTIONS,
  CSP_COUNT_RETRIES,
  CSP_COUNT_RESUMES,
  CSP_COUNT_SPILLS,
  CSP_COUNT_CANCELS,
  CSP_COUNT_COUNT
} csp_counter_t;

/* Gauges of the whole host.  */
typedef enum
{
  CSP_GAUGE_READY,
  CSP_GAUGE_OPEN_STREAMS,
  CSP_GAUGE_WAITING,
  CSP_GAUGE_CONFIGURATION_REVISION,
  CSP_GAUGE_CONFIGURATION_FAULTS,
  CSP_GAUGE_HOST_LIST_VERSION,
  CSP_GAUGE_LIVE_PEERS,
  CSP_GAUGE_OWNED_TARGETS,
  CSP_GAUGE_COUNT
} csp_gauge_t;

enum
{
  /* The most organisations, and the most classes, that get their own series;
     all others share the series named "other".  */
  CSP_SERIES_MAX = 100,
  /* Longer gaps count as stalls: about five times the planned 42 ms between
     tokens, and far above the jitter of a scheduler.  */
  CSP_STALL_THRESHOLD_US = 200000
};

/* The series that a request is counted in; shard is the index of the copy of
   each counter that is incremented.  */
typedef struct
{
  csp_series_t *organisation;
  csp_series_t *class_series;
  uint32_t shard;
} csp_labels_t;

/* Create metrics in which at most series_max organisations and as many classes
   get their own series.  */
csp_metrics_t *csp_create_metrics (size_t series_max);
void csp_destroy_metrics (csp_metrics_t *metrics);

/* Get the series of an organisation and a class; a NULL name counts as "none".
   Names get their own series in the order of their first lookup, so a host
   that looks up its busiest organisations at start-up reserves series for
   them.  */
csp_labels_t csp_get_labels (csp_metrics_t *metrics, const char *organisation,
                             const char *class_name);

/* Add a time to a histogram; negative times count as 0.  */
void csp_observe_time (csp_labels_t labels, csp_histogram_id_t id,
                       int64_t time_us);

/* Add a size in tokens to a histogram of sizes.  */
void csp_observe_size (csp_labels_t labels, csp_histogram_id_t id,
                       uint64_t tokens);

/* The time that a gap between two tokens adds to the stall time of its
   answer.  */
int64_t csp_compute_stall_us (int64_t gap_us);

/* Add to a counter.  */
void csp_add_count (csp_labels_t labels, csp_counter_t counter,
                    uint64_t count);

/* Count the end of a request by its reason (CSP_REASON_NONE for a complete
   answer) and verdict; a request that failed and was not run also counts as
   refused.  */
void csp_count_request_end (csp_metrics_t *metrics, csp_labels_t labels,
                            csp_reason_t reason, csp_verdict_t verdict);

void csp_set_gauge (csp_metrics_t *metrics, csp_gauge_t gauge, int64_t value);
void csp_add_gauge (csp_metrics_t *metrics, csp_gauge_t gauge, int64_t delta);

/* Estimate a quantile (0 to 1) of a histogram in milliseconds from its
   buckets; 0 where nothing was counted.  For status pages.  */
double csp_estimate_quantile_ms (const csp_series_t *series,
                                 csp_histogram_id_t id, double quantile);

/* Escape a name for use as a label value.  Names come from declarations,
   callers and operators: an unescaped quote or line end could forge other
   lines, and a non-ASCII byte could make the whole scrape fail.  The result is
   truncated to fit; twice the length of the name plus one byte always
   suffices.  */
void csp_escape_label (const char *name, char *escaped, size_t escaped_bytes);

/* Render all metrics as Prometheus text (version 0.0.4); the caller frees
   it.  */
char *csp_render_metrics (const csp_metrics_t *metrics, size_t *size_bytes);

#endif
