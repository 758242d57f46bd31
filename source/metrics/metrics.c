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
open_table (csp_series_table_t *table, size_t max)
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
close_table (csp_series_table_t *table)
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
  open_table (&metrics->organisations, series_max);
  open_table (&metrics->classes, series_max);
  return metrics;
}

void
csp_destroy_metrics (csp_metrics_t *metrics)
{
  if (metrics == NULL)
    return;
  close_table (&metrics->organisations);
  close_table (&metrics->classes);
  free (metrics);
}

static size_t
first_slot (const csp_series_table_t *table, const char *name)
{
  uint64_t hash = 14695981039346656037U;

  for (; *name != '\0'; name++)
    hash = (hash ^ (unsigned char)*name) * 1099511628211U;
  return hash & (table->slot_count - 1);
}

/* The series of a name, or NULL with the slot where it would stand.  */
static csp_series_t *
find_series (const csp_series_table_t *table, const char *name, size_t *slot)
{
  csp_series_t *series;

  *slot = first_slot (table, name);
  for (;;)
    {
      series
          = atomic_load_explicit (&table->slots[*slot], memory_order_acquire);
      if (series == NULL || strcmp (series->name, name) == 0)
        return series;
      *slot = (*slot + 1) & (table->slot_count - 1);
    }
}

/* Without a bound, callers who make up names could fill the memory of the host
   and of whoever scrapes it; so what comes late is counted as "other".  */
static csp_series_t *
claim_series (csp_series_table_t *table, const char *name)
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
  char cut[CSP_SERIES_NAME_BYTES];
  csp_series_t *series;
  size_t slot;

  snprintf (cut, sizeof cut, "%s", name == NULL ? none_name : name);
  if (strcmp (cut, other_name) == 0)
    return table->other;
  series = find_series (table, cut, &slot);
  if (series != NULL)
    return series;
  if (atomic_load_explicit (&table->count, memory_order_acquire) >= table->max)
    return table->other;
  return claim_series (table, cut);
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
add (_Atomic uint64_t *counter, uint64_t count)
{
  atomic_fetch_add_explicit (counter, count, memory_order_relaxed);
}

static size_t
find_bucket (const uint32_t bounds_us[CSP_BOUNDS], uint64_t time_us)
{
  size_t i = 0;

  while (i < CSP_BOUNDS && time_us > bounds_us[i])
    i++;
  return i;
}

void
csp_observe_time (csp_labels_t labels, csp_time_t time, int64_t time_us)
{
  uint64_t counted_us = time_us < 0 ? 0 : (uint64_t)time_us;
  size_t bucket = find_bucket (csp_time_table[time].bounds_us, counted_us);
  csp_histogram_t *organisation
      = &labels.organisation->shards[labels.shard].times[time];
  csp_histogram_t *class_times
      = &labels.class_series->shards[labels.shard].times[time];

  add (&organisation->buckets[bucket], 1);
  add (&organisation->sum_us, counted_us);
  add (&class_times->buckets[bucket], 1);
  add (&class_times->sum_us, counted_us);
}

int64_t
csp_stall_of_gap_us (int64_t gap_us)
{
  return gap_us > CSP_STALL_BEYOND_US ? gap_us - CSP_STALL_BEYOND_US : 0;
}

void
csp_count (csp_labels_t labels, csp_count_t counter, uint64_t count)
{
  add (&labels.organisation->shards[labels.shard].counts[counter], count);
  add (&labels.class_series->shards[labels.shard].counts[counter], count);
}

void
csp_count_end (csp_metrics_t *metrics, csp_labels_t labels,
               csp_reason_t reason, csp_verdict_t verdict)
{
  if (reason >= CSP_REASON_COUNT)
    reason = CSP_REASON_INTERNAL;
  if (verdict > CSP_VERDICT_MAY_HAVE_RUN)
    verdict = CSP_VERDICT_MAY_HAVE_RUN;
  add (&metrics->ends[reason][verdict], 1);
  if (verdict == CSP_VERDICT_NOT_RUN && reason != CSP_REASON_NONE)
    csp_count (labels, CSP_COUNT_REFUSALS, 1);
}

void
csp_set_gauge (csp_metrics_t *metrics, csp_gauge_t gauge, int64_t value)
{
  atomic_store_explicit (&metrics->gauges[gauge], value, memory_order_relaxed);
}

void
csp_add_gauge (csp_metrics_t *metrics, csp_gauge_t gauge, int64_t change)
{
  atomic_fetch_add_explicit (&metrics->gauges[gauge], change,
                             memory_order_relaxed);
}
