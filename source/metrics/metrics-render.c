#include "metrics/metrics-imp.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX "cowslipspoke_"

enum
{
  US_PER_MS = 1000,
  /* Each byte of a name becomes at most two.  */
  ESCAPED_BYTES = 2 * CSP_SERIES_NAME_BYTES
};

/* A table of series and the label name that they are rendered with.  */
typedef struct
{
  const char *label;
  const csp_series_table_t *table;
} family_t;

void
csp_escape_label (const char *name, char *escaped, size_t escaped_bytes)
{
  size_t length = 0;

  /* Leaves space for an escaped byte and the terminating nul.  */
  for (; *name != '\0' && length + 2 < escaped_bytes; name++)
    {
      if (*name == '\\' || *name == '"')
        escaped[length++] = '\\';
      escaped[length++] = *name < ' ' || *name > '~' ? '?' : *name;
    }
  escaped[length] = '\0';
}

static uint64_t
load_counter (const _Atomic uint64_t *counter)
{
  return atomic_load_explicit (counter, memory_order_relaxed);
}

/* One histogram, summed over its shards.  */
typedef struct
{
  uint64_t buckets[CSP_BUCKET_BOUNDS + 1];
  uint64_t total;
  uint64_t sum;
} histogram_sum_t;

static void
sum_histogram (const csp_series_t *series, csp_histogram_id_t id,
               histogram_sum_t *sum)
{
  const csp_histogram_t *shard_histogram;
  uint64_t count;
  int shard;
  int i;

  memset (sum, 0, sizeof *sum);
  for (shard = 0; shard < CSP_SHARDS; shard++)
    {
      shard_histogram = &series->shards[shard].histograms[id];
      sum->sum += load_counter (&shard_histogram->sum);
      for (i = 0; i <= CSP_BUCKET_BOUNDS; i++)
        {
          count = load_counter (&shard_histogram->buckets[i]);
          sum->buckets[i] += count;
          sum->total += count;
        }
    }
}

static uint64_t
sum_counter (const csp_series_t *series, csp_counter_t counter)
{
  uint64_t total = 0;
  int shard;

  for (shard = 0; shard < CSP_SHARDS; shard++)
    total += load_counter (&series->shards[shard].counters[counter]);
  return total;
}

/* Returns the series at index; "other" comes after the named ones.  */
static const csp_series_t *
get_series_at (const csp_series_table_t *table, size_t index, size_t count)
{
  return index < count ? table->series[index] : table->other;
}

static size_t
count_series (const csp_series_table_t *table)
{
  return atomic_load_explicit (&table->count, memory_order_acquire);
}

static void
print_metric_header (FILE *stream, const char *label, const char *name,
                     const char *suffix, const char *help, const char *type)
{
  fprintf (stream, "# HELP " PREFIX "%s%s%s %s\n", label, name, suffix, help);
  fprintf (stream, "# TYPE " PREFIX "%s%s%s %s\n", label, name, suffix, type);
}

static void
print_histogram (FILE *stream, const family_t *family, csp_histogram_id_t id,
                 const char *series_name, const histogram_sum_t *sum)
{
  const csp_histogram_row_t *row = &csp_histogram_table[id];
  const char *label = family->label;
  char name[ESCAPED_BYTES];
  uint64_t below = 0;
  int i;

  csp_escape_label (series_name, name, sizeof name);
  for (i = 0; i < CSP_BUCKET_BOUNDS; i++)
    {
      below += sum->buckets[i];
      fprintf (stream,
               PREFIX "%s_%s_bucket{%s=\"%s\",le=\"%g\"} %" PRIu64 "\n", label,
               row->name, label, name, (double)row->bounds[i] / row->scale,
               below);
    }
  fprintf (stream, PREFIX "%s_%s_bucket{%s=\"%s\",le=\"+Inf\"} %" PRIu64 "\n",
           label, row->name, label, name, sum->total);
  fprintf (stream, PREFIX "%s_%s_sum{%s=\"%s\"} %.6f\n", label, row->name,
           label, name, (double)sum->sum / row->scale);
  fprintf (stream, PREFIX "%s_%s_count{%s=\"%s\"} %" PRIu64 "\n", label,
           row->name, label, name, sum->total);
}

static void
print_histograms (FILE *stream, const family_t *family, csp_histogram_id_t id)
{
  const csp_histogram_row_t *row = &csp_histogram_table[id];
  size_t count = count_series (family->table);
  const csp_series_t *series;
  char label[CSP_SERIES_NAME_BYTES];
  histogram_sum_t sum;
  size_t i;

  snprintf (label, sizeof label, "%s_", family->label);
  print_metric_header (stream, label, row->name, "", row->help, "histogram");
  for (i = 0; i <= count; i++)
    {
      series = get_series_at (family->table, i, count);
      sum_histogram (series, id, &sum);
      if (sum.total > 0)
        print_histogram (stream, family, id, series->name, &sum);
    }
}

static void
print_counters (FILE *stream, const family_t *family, csp_counter_t counter)
{
  const csp_metric_row_t *row = &csp_counter_table[counter];
  size_t count = count_series (family->table);
  const csp_series_t *series;
  char label[CSP_SERIES_NAME_BYTES];
  char name[ESCAPED_BYTES];
  size_t i;

  snprintf (label, sizeof label, "%s_", family->label);
  print_metric_header (stream, label, row->name, "_total", row->help,
                       "counter");
  for (i = 0; i <= count; i++)
    {
      series = get_series_at (family->table, i, count);
      csp_escape_label (series->name, name, sizeof name);
      fprintf (stream, PREFIX "%s_%s_total{%s=\"%s\"} %" PRIu64 "\n",
               family->label, row->name, family->label, name,
               sum_counter (series, counter));
    }
}

static void
print_family (FILE *stream, const family_t *family)
{
  int i;

  for (i = 0; i < CSP_HISTOGRAM_COUNT; i++)
    print_histograms (stream, family, i);
  for (i = 0; i < CSP_COUNT_COUNT; i++)
    print_counters (stream, family, i);
}

static void
print_request_ends (FILE *stream, const csp_metrics_t *metrics)
{
  uint64_t total;
  int reason;
  int verdict;

  print_metric_header (stream, "", "ends", "_total",
                       "answers by reason (none for a whole one) and verdict",
                       "counter");
  for (reason = 0; reason < CSP_REASON_COUNT; reason++)
    for (verdict = 0; verdict <= CSP_VERDICT_MAY_HAVE_RUN; verdict++)
      {
        total = load_counter (&metrics->request_ends[reason][verdict]);
        if (total != 0)
          fprintf (
              stream,
              PREFIX "ends_total{reason=\"%s\",verdict=\"%s\"} %" PRIu64 "\n",
              csp_reason_code (reason), csp_verdict_name (verdict), total);
      }
}

static void
print_gauges (FILE *stream, const csp_metrics_t *metrics)
{
  int i;

  for (i = 0; i < CSP_GAUGE_COUNT; i++)
    {
      print_metric_header (stream, "", csp_gauge_table[i].name, "",
                           csp_gauge_table[i].help, "gauge");
      fprintf (
          stream, PREFIX "%s %" PRId64 "\n", csp_gauge_table[i].name,
          atomic_load_explicit (&metrics->gauges[i], memory_order_relaxed));
    }
}

char *
csp_render_metrics (const csp_metrics_t *metrics, size_t *size_bytes)
{
  family_t organisations = { "organisation", &metrics->organisations };
  family_t classes = { "class", &metrics->classes };
  char *text = NULL;
  FILE *stream = open_memstream (&text, size_bytes);

  if (stream == NULL)
    abort ();
  print_gauges (stream, metrics);
  print_request_ends (stream, metrics);
  print_family (stream, &organisations);
  print_family (stream, &classes);
  if (fclose (stream) != 0)
    abort ();
  return text;
}

double
csp_estimate_quantile_ms (const csp_series_t *series, csp_histogram_id_t id,
                          double quantile)
{
  const uint32_t *bounds = csp_histogram_table[id].bounds;
  histogram_sum_t sum;
  double target_rank;
  double below = 0;
  double lower_bound_us = 0;
  double bucket_count;
  int i;

  sum_histogram (series, id, &sum);
  target_rank = quantile * (double)sum.total;
  for (i = 0; i < CSP_BUCKET_BOUNDS && sum.total > 0; i++)
    {
      bucket_count = (double)sum.buckets[i];
      if (bucket_count > 0 && below + bucket_count >= target_rank)
        return (lower_bound_us
                + (bounds[i] - lower_bound_us) * (target_rank - below)
                      / bucket_count)
               / US_PER_MS;
      below += bucket_count;
      lower_bound_us = bounds[i];
    }
  return lower_bound_us / US_PER_MS;
}
