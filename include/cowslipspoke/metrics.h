#ifndef COWSLIPSPOKE_METRICS_H
#define COWSLIPSPOKE_METRICS_H

#include "cowslipspoke/verdict.h"

#include <stddef.h>
#include <stdint.h>

/* Counters and histograms of one host, rendered as Prometheus text.  All
   functions may be called from any thread; counting takes no lock.
   docs/METRICS.md has names, buckets and how to read them.  */
typedef struct csp_metrics csp_metrics_t;

/* The counters of one organisation or one class.  It lives as long as the
   metrics, so a stream looks it up once and keeps it.  */
typedef struct csp_series csp_series_t;

/* Histograms, each for every organisation and every class.  */
typedef enum
{
  CSP_TIME_TO_FIRST_TOKEN, /* from the request's arrival */
  CSP_TIME_BETWEEN_TOKENS, /* as the caller gets them */
  CSP_TIME_STALLED,        /* over a whole answer: what each gap had beyond
                              CSP_STALL_BEYOND_US; 0 where nothing stalled */
  CSP_TIME_WAITING,        /* in the queue, until sent or turned away */
  CSP_TIME_COUNT
} csp_time_t;

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
} csp_count_t;

/* Values of the whole host that rise and fall.  */
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
  /* Organisations and classes with a series of their own; all others share
     the one named "other".  */
  CSP_SERIES_MAX = 100,
  /* A gap is a stall from here on: about five times the 42 ms between tokens
     that the users plan for, and far above a scheduler's jitter.  */
  CSP_STALL_BEYOND_US = 200000
};

/* Where a request's counts go; shard is the copy that they are added to.  */
typedef struct
{
  csp_series_t *organisation;
  csp_series_t *class_series;
  uint32_t shard;
} csp_labels_t;

/* At most series_max organisations and as many classes get their own.  */
csp_metrics_t *csp_create_metrics (size_t series_max);
void csp_destroy_metrics (csp_metrics_t *metrics);

/* The series of an organisation and a class; NULL names are "none".  Series
   are given to names in the order in which they first come, so a host that
   looks up its heaviest organisations at the start is sure to show them.  */
csp_labels_t csp_get_labels (csp_metrics_t *metrics, const char *organisation,
                             const char *class_name);

/* Count a time, in microseconds; negative ones count as 0.  */
void csp_observe_time (csp_labels_t labels, csp_time_t time, int64_t time_us);

/* What a gap between two tokens adds to the stall time of its answer.  */
int64_t csp_stall_of_gap_us (int64_t gap_us);

/* Count on.  */
void csp_count (csp_labels_t labels, csp_count_t counter, uint64_t count);

/* Count an answer's end: its reason (CSP_REASON_NONE for a whole answer) and
   verdict, and a refusal where it was not run.  */
void csp_count_end (csp_metrics_t *metrics, csp_labels_t labels,
                    csp_reason_t reason, csp_verdict_t verdict);

void csp_set_gauge (csp_metrics_t *metrics, csp_gauge_t gauge, int64_t value);
void csp_add_gauge (csp_metrics_t *metrics, csp_gauge_t gauge, int64_t change);

/* Time in milliseconds below which a share (0 to 1) of a series' times lies,
   read off its buckets; 0 where none was counted.  For status pages.  */
double csp_estimate_quantile_ms (const csp_series_t *series, csp_time_t time,
                                 double share);

/* Write a name as the value of a label.  Names come from declarations, callers
   and operators: a quote or line end in one would let it forge other lines,
   and a byte that is no text spoils the whole scrape.  What doesn't fit is cut
   off; twice the name's bytes and one more fit all.  */
void csp_escape_label (const char *name, char *escaped, size_t room_bytes);

/* All counters as Prometheus text (version 0.0.4); the caller frees it.  */
char *csp_render_metrics (const csp_metrics_t *metrics, size_t *size_bytes);

#endif
