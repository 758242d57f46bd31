#ifndef CSP_METRICS_IMP_H
#define CSP_METRICS_IMP_H

#include "cowslipspoke/metrics.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

enum
{
  /* Finite upper bounds of a histogram; one more bucket takes the rest.  */
  CSP_BOUNDS = 14,
  CSP_SERIES_NAME_BYTES = 64,
  /* Copies of each counter.  A stream counts on one of them, so that streams
     seldom take a cache line from one another; a scrape adds them up.  */
  CSP_SHARDS = 8,
  CSP_CACHE_LINE_BYTES = 64
};

typedef struct
{
  const char *name;
  const char *help;
  uint32_t bounds_us[CSP_BOUNDS];
} csp_time_row_t;

typedef struct
{
  const char *name;
  const char *help;
} csp_metric_row_t;

extern const csp_time_row_t csp_time_table[CSP_TIME_COUNT];
extern const csp_metric_row_t csp_count_table[CSP_COUNT_COUNT];
extern const csp_metric_row_t csp_gauge_table[CSP_GAUGE_COUNT];

typedef struct
{
  _Atomic uint64_t buckets[CSP_BOUNDS + 1];
  _Atomic uint64_t sum_us;
} csp_histogram_t;

typedef struct
{
  _Alignas(CSP_CACHE_LINE_BYTES) csp_histogram_t times[CSP_TIME_COUNT];
  _Atomic uint64_t counts[CSP_COUNT_COUNT];
} csp_shard_t;

struct csp_series
{
  char name[CSP_SERIES_NAME_BYTES];
  csp_shard_t shards[CSP_SHARDS];
};

/* Series by name.  Looking up takes no lock: slots are filled once, under
   the lock, and never emptied.  */
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
  _Atomic uint64_t ends[CSP_REASON_COUNT][CSP_VERDICT_MAY_HAVE_RUN + 1];
  _Atomic int64_t gauges[CSP_GAUGE_COUNT];
};

#endif
