#include "metrics/metrics-imp.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX "cowslipspoke_"

enum
{
  US_PER_MS = 1000,
  US_PER_S = 1000000,
  /* Each byte of a name becomes two at most.  */
  ESCAPED_BYTES = 2 * CSP_SERIES_NAME_BYTES
};

/* How the series of one table are labelled.  */
typedef struct
{
  const char *label;
  const csp_series_table_t *table;
} family_t;

void
csp_escape_label (const char *name, char *escaped, size_t room_bytes)
{
  size_t used = 0;

  /* The last two bytes are for an escaped one and the end.  */
  for (; *name != '\0' && used + 2 < room_bytes; name++)
    {
      if (*name == '\\' || *name == '"')
        escaped[used++] = '\\';
      escaped[used++] = *name < ' ' || *name > '~' ? '?' : *name;
    }
  escaped[used] = '\0';
}

static uint64_t
load (const _Atomic uint64_t *counter)
{
  return atomic_load_explicit (counter, memory_order_relaxed);
}

/* One histogram, added up over its shards.  */
typedef struct
{
  uint64_t buckets[CSP_BOUNDS + 1];
  uint64_t total;
  uint64_t sum_us;
} times_t;

static void
add_up_times (const csp_series_t *series, csp_time_t time, times_t *times)
{
  const csp_histogram_t *histogram;
  uint64_t count;
  int shard;
  int i;

  memset (times, 0, sizeof *times);
  for (shard = 0; shard < CSP_SHARDS; shard++)
    {
      histogram = &series->shards[shard].times[time];
      times->sum_us += load (&histogram->sum_us);
      for (i = 0; i <= CSP_BOUNDS; i++)
        {
          count = load (&histogram->buckets[i]);
          times->buckets[i] += count;
          times->total += count;
        }
    }
}

static uint64_t
add_up_count (const csp_series_t *series, csp_count_t counter)
{
  uint64_t total = 0;
  int shard;

  for (shard = 0; shard < CSP_SHARDS; shard++)
    total += load (&series->shards[shard].counts[counter]);
  return total;
}

/* The series at a place, "other" behind the named ones.  */
static const csp_series_t *
series_at (const csp_series_table_t *table, size_t index, size_t count)
{
  return index < count ? table->series[index] : table->other;
}

static size_t
count_series (const csp_series_table_t *table)
{
  return atomic_load_explicit (&table->count, memory_order_acquire);
}

static void
print_head (FILE *stream, const char *label, const char *name,
            const char *suffix, const char *help, const char *type)
{
  fprintf (stream, "# HELP " PREFIX "%s%s%s %s\n", label, name, suffix, help);
  fprintf (stream, "# TYPE " PREFIX "%s%s%s %s\n", label, name, suffix, type);
}

static void
print_histogram (FILE *stream, const family_t *family, csp_time_t time,
                 const char *series_name, const times_t *times)
{
  const csp_time_row_t *row = &csp_time_table[time];
  const char *label = family->label;
  char name[ESCAPED_BYTES];
  uint64_t below = 0;
  int i;

  csp_escape_label (series_name, name, sizeof name);
  for (i = 0; i < CSP_BOUNDS; i++)
    {
      below += times->buckets[i];
      fprintf (stream,
               PREFIX "%s_%s_bucket{%s=\"%s\",le=\"%g\"} %" PRIu64 "\n", label,
               row->name, label, name, (double)row->bounds_us[i] / US_PER_S,
               below);
    }
  fprintf (stream, PREFIX "%s_%s_bucket{%s=\"%s\",le=\"+Inf\"} %" PRIu64 "\n",
           label, row->name, label, name, times->total);
  fprintf (stream, PREFIX "%s_%s_sum{%s=\"%s\"} %.6f\n", label, row->name,
           label, name, (double)times->sum_us / US_PER_S);
  fprintf (stream, PREFIX "%s_%s_count{%s=\"%s\"} %" PRIu64 "\n", label,
           row->name, label, name, times->total);
}

static void
print_times (FILE *stream, const family_t *family, csp_time_t time)
{
  const csp_time_row_t *row = &csp_time_table[time];
  size_t count = count_series (family->table);
  const csp_series_t *series;
  char label[CSP_SERIES_NAME_BYTES];
  times_t times;
  size_t i;

  snprintf (label, sizeof label, "%s_", family->label);
  print_head (stream, label, row->name, "", row->help, "histogram");
  for (i = 0; i <= count; i++)
    {
      series = series_at (family->table, i, count);
      add_up_times (series, time, &times);
      if (times.total > 0)
        print_histogram (stream, family, time, series->name, &times);
    }
}

static void
print_counts (FILE *stream, const family_t *family, csp_count_t counter)
{
  const csp_metric_row_t *row = &csp_count_table[counter];
  size_t count = count_series (family->table);
  const csp_series_t *series;
  char label[CSP_SERIES_NAME_BYTES];
  char name[ESCAPED_BYTES];
  size_t i;

  snprintf (label, sizeof label, "%s_", family->label);
  print_head (stream, label, row->name, "_total", row->help, "counter");
  for (i = 0; i <= count; i++)
    {
      series = series_at (family->table, i, count);
      csp_escape_label (series->name, name, sizeof name);
      fprintf (stream, PREFIX "%s_%s_total{%s=\"%s\"} %" PRIu64 "\n",
               family->label, row->name, family->label, name,
               add_up_count (series, counter));
    }
}

static void
print_family (FILE *stream, const family_t *family)
{
  int i;

  for (i = 0; i < CSP_TIME_COUNT; i++)
    print_times (stream, family, i);
  for (i = 0; i < CSP_COUNT_COUNT; i++)
    print_counts (stream, family, i);
}

static void
print_ends (FILE *stream, const csp_metrics_t *metrics)
{
  uint64_t total;
  int reason;
  int verdict;

  print_head (stream, "", "ends", "_total",
              "answers by reason (none for a whole one) and verdict",
              "counter");
  for (reason = 0; reason < CSP_REASON_COUNT; reason++)
    for (verdict = 0; verdict <= CSP_VERDICT_MAY_HAVE_RUN; verdict++)
      {
        total = load (&metrics->ends[reason][verdict]);
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
      print_head (stream, "", csp_gauge_table[i].name, "",
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
  print_ends (stream, metrics);
  print_family (stream, &organisations);
  print_family (stream, &classes);
  if (fclose (stream) != 0)
    abort ();
  return text;
}

double
csp_estimate_quantile_ms (const csp_series_t *series, csp_time_t time,
                          double share)
{
  const uint32_t *bounds_us = csp_time_table[time].bounds_us;
  times_t times;
  double wanted;
  double below = 0;
  double low_us = 0;
  double inside;
  int i;

  add_up_times (series, time, &times);
  wanted = share * (double)times.total;
  for (i = 0; i < CSP_BOUNDS && times.total > 0; i++)
    {
      inside = (double)times.buckets[i];
      if (inside > 0 && below + inside >= wanted)
        return (low_us + (bounds_us[i] - low_us) * (wanted - below) / inside)
               / US_PER_MS;
      below += inside;
      low_us = bounds_us[i];
    }
  return low_us / US_PER_MS;
}
