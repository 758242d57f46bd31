#include "metrics/metrics-imp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char other_name[] = "other";
static const char none_name[] = "none";

static csp_series_t *
create_series (const char *name)
{
  csp_series_t *series = aligned_alloc (CSP_CACHE_LINE_BYTES, sizeof *series);

  if (series == NULL)
    abort ();
  memset (series, 0, sizeof *series);
  snprintf (series->name, sizeof series->name, "%s", name);
  return series;
}

static void
init_table (csp_series_table_t *table, size_t max)
{
  pthread_mutex_init (&table->lock, NULL);
  table->max = max;
  table->slot_count = 4;
  while (table->slot_count < 2 * max)
    table->slot_count *= 2;
  table->slots = calloc (table->slot_count, sizeof *table->slots);
  table->series = calloc (max + 1, sizeof (void *));
  if (table->slots == NULL || table->series == NULL)
    abort ();
  table->other = create_series (other_name);
}

static void
destroy_table (csp_series_table_t *table)
{
  size_t i;

  for (i = 0; i < table->count; i++)
    free (table->series[i]);
  free (table->other);
  free (table->series);
  free (table->slots);
  pthread_mutex_destroy (&table->lock);
}

csp_metrics_t *
csp_create_metrics (size_t series_max)
{
  csp_metrics_t *metrics = calloc (1, sizeof *metrics);

  if (metrics == NULL)
    abort ();
  init_table (&metrics->organisations, series_max);
  init_table (&metrics->classes, series_max);
  return metrics;
}

void
csp_destroy_metrics (csp_metrics_t *metrics)
{
  if (metrics == NULL)
    return;
  destroy_table (&metrics->organisations);
  destroy_table (&metrics->classes);
  free (metrics);
}

static size_t
hash_to_slot (const csp_series_table_t *table, const char *name)
{
  uint64_t hash = 14695981039346656037U;

  for (; *name != '\0'; name++)
    hash = (hash ^ (unsigned char)*name) * 1099511628211U;
  return hash & (table->slot_count - 1);
}

/* Returns the series of a name; NULL where there is none, and *slot is then
   the free slot to store it in.  */
static csp_series_t *
find_series (const csp_series_table_t *table, const char *name, size_t *slot)
{
  csp_series_t *series;

  *slot = hash_to_slot (table, name);
  for (;;)
    {
      series
          = atomic_load_explicit (&table->slots[*slot], memory_order_acquire);
      if (series == NULL || strcmp (series->name, name) == 0)
        return series;
      *slot = (*slot + 1) & (table->slot_count - 1);
    }
}

/* Adds a series unless the limit is reached.  Without a limit, callers that
   invent names could exhaust the memory of the host and of the scraper, so
   names beyond it share the series "other".  */
static csp_series_t *
add_series (csp_series_table_t *table, const char *name)
{
  csp_series_t *series;
  size_t count;
  size_t slot;

  pthread_mutex_lock (&table->lock);
  series = find_series (table, name, &slot);
  count = atomic_load_explicit (&table->count, memory_order_relaxed);
  if (series == NULL && count < table->max)
    {
      series = create_series (name);
      table->series[count] = series;
      atomic_store_explicit (&table->count, count + 1, memory_order_release);
      atomic_store_explicit (&table->slots[slot], series,
                             memory_order_release);
    }
  pthread_mutex_unlock (&table->lock);
  return series == NULL ? table->other : series;
}

static csp_series_t *
get_series (csp_series_table_t *table, const char *name)
{
  char truncated_name[CSP_SERIES_NAME_BYTES];
  csp_series_t *series;
  size_t slot;

  snprintf (truncated_name, sizeof truncated_name, "%s",
            name == NULL ? none_name : name);
  if (strcmp (truncated_name, other_name) == 0)
    return table->other;
  series = find_series (table, truncated_name, &slot);
  if (series != NULL)
    return series;
  if (atomic_load_explicit (&table->count, memory_order_acquire) >= table->max)
    return table->other;
  return add_series (table, truncated_name);
}

csp_labels_t
csp_get_labels (csp_metrics_t *metrics, const char *organisation,
                const char *class_name)
{
  csp_labels_t labels;

  labels.organisation = get_series (&metrics->organisations, organisation);
  labels.class_series = get_series (&metrics->classes, class_name);
  labels.shard = atomic_fetch_add_explicit (&metrics->next_shard, 1,
                                            memory_order_relaxed)
                 % CSP_SHARDS;
  return labels;
}

static void
add_to_counter (_Atomic uint64_t *counter, uint64_t count)
{
  atomic_fetch_add_explicit (counter, count, memory_order_relaxed);
}

static size_t
find_bucket (const uint32_t bounds[CSP_BUCKET_BOUNDS], uint64_t value)
{
  size_t i = 0;

  while (i < CSP_BUCKET_BOUNDS && value > bounds[i])
    i++;
  return i;
}

static void
observe (csp_labels_t labels, csp_histogram_id_t id, uint64_t value)
{
  size_t bucket = find_bucket (csp_histogram_table[id].bounds, value);
  csp_histogram_t *organisation
      = &labels.organisation->shards[labels.shard].histograms[id];
  csp_histogram_t *class_histogram
      = &labels.class_series->shards[labels.shard].histograms[id];

  add_to_counter (&organisation->buckets[bucket], 1);
  add_to_counter (&organisation->sum, value);
  add_to_counter (&class_histogram->buckets[bucket], 1);
  add_to_counter (&class_histogram->sum, value);
}

void
csp_observe_time (csp_labels_t labels, csp_histogram_id_t id, int64_t time_us)
{
  observe (labels, id, time_us < 0 ? 0 : (uint64_t)time_us);
}

void
csp_observe_size (csp_labels_t labels, csp_histogram_id_t id, uint64_t tokens)
{
  observe (labels, id, tokens);
}

int64_t
csp_compute_stall_us (int64_t gap_us)
{
  return gap_us > CSP_STALL_THRESHOLD_US ? gap_us - CSP_STALL_THRESHOLD_US : 0;
}

void
csp_add_count (csp_labels_t labels, csp_counter_t counter, uint64_t count)
{
  add_to_counter (&labels.organisation->shards[labels.shard].counters[counter],
                  count);
  add_to_counter (&labels.class_series->shards[labels.shard].counters[counter],
                  count);
}

void
csp_count_request_end (csp_metrics_t *metrics, csp_labels_t labels,
                       csp_reason_t reason, csp_verdict_t verdict)
{
  if (reason >= CSP_REASON_COUNT)
    reason = CSP_REASON_INTERNAL;
  if (verdict > CSP_VERDICT_MAY_HAVE_RUN)
    verdict = CSP_VERDICT_MAY_HAVE_RUN;
  add_to_counter (&metrics->request_ends[reason][verdict], 1);
  if (verdict == CSP_VERDICT_NOT_RUN && reason != CSP_REASON_NONE)
    csp_add_count (labels, CSP_COUNT_REFUSALS, 1);
}

void
csp_set_gauge (csp_metrics_t *metrics, csp_gauge_t gauge, int64_t value)
{
  atomic_store_explicit (&metrics->gauges[gauge], value, memory_order_relaxed);
}

void
csp_add_gauge (csp_metrics_t *metrics, csp_gauge_t gauge, int64_t delta)
{
  atomic_fetch_add_explicit (&metrics->gauges[gauge], delta,
                             memory_order_relaxed);
}
