#ifndef CSP_METRICS_IMP_H
#define CSP_METRICS_IMP_H

#include "cowslipspoke/metrics.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

enum
{
  /* Finite upper bounds of a histogram; one more bucket counts values above
     all of them.  */
  CSP_BUCKET_BOUNDS = 14,
  CSP_SERIES_NAME_BYTES = 64,
  /* Copies of each counter.  A stream uses one of them, so that streams seldom
     contend for a cache line; a scrape sums all copies.  */
  CSP_SHARDS = 8,
  CSP_CACHE_LINE_BYTES = 64
};

typedef struct
{
  const char *name;
  const char *help;
  uint32_t scale; /* observed units in one rendered unit: 1,000,000 for times,
                     which are observed in us and rendered in seconds; 1 for
                     tokens */
  uint32_t bounds[CSP_BUCKET_BOUNDS]; /* in observed units */
} csp_histogram_row_t;

typedef struct
{
  const char *name;
  const char *help;
} csp_metric_row_t;

extern const csp_histogram_row_t csp_histogram_table[CSP_HISTOGRAM_COUNT];
extern const csp_metric_row_t csp_counter_table[CSP_COUNT_COUNT];
extern const csp_metric_row_t csp_gauge_table[CSP_GAUGE_COUNT];

typedef struct
{
  _Atomic uint64_t buckets[CSP_BUCKET_BOUNDS + 1];
  _Atomic uint64_t sum;
} csp_histogram_t;

typedef struct
{
  _Alignas(CSP_CACHE_LINE_BYTES)
      csp_histogram_t histograms[CSP_HISTOGRAM_COUNT];
  _Atomic uint64_t counters[CSP_COUNT_COUNT];
} csp_shard_t;

struct csp_series
{
  char name[CSP_SERIES_NAME_BYTES];
  csp_shard_t shards[CSP_SHARDS];
};

/* Hash table of series by name.  A lookup takes no lock: slots are filled
   once, under the lock, and never cleared.  */
typedef struct
{
  pthread_mutex_t lock;
  csp_series_t *_Atomic *slots;
  size_t slot_count;
  csp_series_t **series;
  atomic_size_t count;
  size_t max;
  csp_series_t *other;
} csp_series_table_t;

struct csp_metrics
{
  csp_series_table_t organisations;
  csp_series_table_t classes;
  atomic_uint next_shard;
  _Atomic uint64_t
      request_ends[CSP_REASON_COUNT][CSP_VERDICT_MAY_HAVE_RUN + 1];
  _Atomic int64_t gauges[CSP_GAUGE_COUNT];
};

#endif
