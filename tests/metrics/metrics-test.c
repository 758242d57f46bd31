#include "cowslipspoke/metrics.h"
#include "metrics/metrics-imp.h"

#include "support/run-suite.h"

#include <check.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  THREADS = 4,
  ROUNDS = 20000,
  NAMES = 12,
  SERIES_SMALL = 3,
  MS = 1000
};

#define LINE(text) "\ncowslipspoke_" text "\n"

static void
check_rendered (const csp_metrics_t *metrics, const char *line, bool expected)
{
  size_t size_bytes;
  char *text = csp_render_metrics (metrics, &size_bytes);

  ck_assert_uint_eq (strlen (text), size_bytes);
  ck_assert_msg ((strstr (text, line) != NULL) == expected, "%s\nin\n%s", line,
                 text);
  free (text);
}

/* A caller sends requests under ever new names.  With a series for each, the
   metrics would exhaust the scraper's memory, so names beyond the limit are
   counted together.  */
START_TEST (names_beyond_the_limit_share_one_series)
{
  csp_metrics_t *metrics = csp_create_metrics (SERIES_SMALL);
  char name[CSP_SERIES_NAME_BYTES];
  int i;

  for (i = 0; i < NAMES; i++)
    {
      snprintf (name, sizeof name, "n%d", i);
      csp_add_count (csp_get_labels (metrics, name, NULL), CSP_COUNT_REQUESTS,
                     2);
    }
  check_rendered (metrics,
                  LINE ("organisation_requests_total{organisation=\"n2\"} 2"),
                  true);
  check_rendered (metrics, "organisation=\"n3\"", false);
  check_rendered (
      metrics, LINE ("organisation_requests_total{organisation=\"other\"} 18"),
      true);
  check_rendered (metrics, LINE ("class_requests_total{class=\"none\"} 24"),
                  true);
  ck_assert_ptr_eq (csp_get_labels (metrics, "n1", NULL).organisation,
                    csp_get_labels (metrics, "n1", "c").organisation);
  csp_destroy_metrics (metrics);
}
END_TEST

typedef struct
{
  const char *name;
  const char *line;
} name_case_t;

static const name_case_t name_cases[] = {
  { "a\"b", LINE ("organisation_tokens_total{organisation=\"a\\\"b\"} 1") },
  { "a\\", LINE ("organisation_tokens_total{organisation=\"a\\\\\"} 1") },
  { "a\n# b", LINE ("organisation_tokens_total{organisation=\"a?# b\"} 1") },
  { "\xff\x01", LINE ("organisation_tokens_total{organisation=\"??\"} 1") },
  { "other", LINE ("organisation_tokens_total{organisation=\"other\"} 1") },
};

/* An unescaped quote or line end in a name would forge another line or make
   the scrape of the whole host fail.  */
START_TEST (names_are_escaped)
{
  csp_metrics_t *metrics = csp_create_metrics (SERIES_SMALL);

  csp_add_count (csp_get_labels (metrics, name_cases[_i].name, NULL),
                 CSP_COUNT_TOKENS, 1);
  check_rendered (metrics, name_cases[_i].line, true);
  csp_destroy_metrics (metrics);
}
END_TEST

START_TEST (long_names_are_truncated)
{
  csp_metrics_t *metrics = csp_create_metrics (SERIES_SMALL);
  char name[4 * CSP_SERIES_NAME_BYTES];

  memset (name, '"', sizeof name);
  name[sizeof name - 1] = '\0';
  csp_add_count (csp_get_labels (metrics, name, name), CSP_COUNT_TOKENS, 1);
  check_rendered (metrics, "tokens_total{class=\"\\\"", true);
  csp_destroy_metrics (metrics);
}
END_TEST

typedef struct
{
  csp_histogram_id_t id;
  int64_t time_us;
  const char *expected_line;
  const char *other_expected_line;
} bucket_case_t;

#define GAP "class_time_between_tokens_seconds_"
static const bucket_case_t bucket_cases[] = {
  { CSP_TIME_BETWEEN_TOKENS, 42 * MS,
    LINE (GAP "bucket{class=\"c\",le=\"0.03\"} 0"),
    LINE (GAP "bucket{class=\"c\",le=\"0.042\"} 1") },
  { CSP_TIME_BETWEEN_TOKENS, 42 * MS + 1,
    LINE (GAP "bucket{class=\"c\",le=\"0.042\"} 0"),
    LINE (GAP "bucket{class=\"c\",le=\"0.06\"} 1") },
  { CSP_TIME_BETWEEN_TOKENS, 11000 * MS,
    LINE (GAP "bucket{class=\"c\",le=\"10\"} 0"),
    LINE (GAP "bucket{class=\"c\",le=\"+Inf\"} 1") },
  { CSP_TIME_BETWEEN_TOKENS, -5, LINE (GAP "sum{class=\"c\"} 0.000000"),
    LINE (GAP "bucket{class=\"c\",le=\"0.001\"} 1") },
  { CSP_TIME_TO_FIRST_TOKEN, 910 * MS,
    LINE ("class_time_to_first_token_seconds_bucket{class=\"c\",le=\"0.6\"} "
          "0"),
    LINE ("class_time_to_first_token_seconds_bucket{class=\"c\",le=\"0.91\"} "
          "1") },
  { CSP_TIME_STALLED, 0,
    LINE ("class_stall_seconds_sum{class=\"c\"} 0.000000"),
    LINE ("class_stall_seconds_bucket{class=\"c\",le=\"0\"} 1") },
  { CSP_TIME_WAITING, 1500 * MS,
    LINE ("class_wait_seconds_sum{class=\"c\"} 1.500000"),
    LINE ("class_wait_seconds_count{class=\"c\"} 1") },
};

START_TEST (times_are_counted_in_their_bucket)
{
  const bucket_case_t *row = &bucket_cases[_i];
  csp_metrics_t *metrics = csp_create_metrics (SERIES_SMALL);

  csp_observe_time (csp_get_labels (metrics, "o", "c"), row->id, row->time_us);
  check_rendered (metrics, row->expected_line, true);
  check_rendered (metrics, row->other_expected_line, true);
  csp_destroy_metrics (metrics);
}
END_TEST

/* Guards against sizes that are counted as times.  */
START_TEST (sizes_are_counted_in_tokens)
{
  csp_metrics_t *metrics = csp_create_metrics (SERIES_SMALL);

  csp_observe_size (csp_get_labels (metrics, "o", "c"), CSP_SIZE_REFUSED,
                    4001);
  check_rendered (
      metrics, LINE ("class_refused_tokens_bucket{class=\"c\",le=\"4000\"} 0"),
      true);
  check_rendered (
      metrics, LINE ("class_refused_tokens_bucket{class=\"c\",le=\"5000\"} 1"),
      true);
  check_rendered (metrics,
                  LINE ("class_refused_tokens_sum{class=\"c\"} 4001.000000"),
                  true);
  csp_destroy_metrics (metrics);
}
END_TEST

START_TEST (request_ends_count_refusals_where_nothing_ran)
{
  csp_metrics_t *metrics = csp_create_metrics (SERIES_SMALL);
  csp_labels_t labels = csp_get_labels (metrics, "o", "c");

  csp_count_request_end (metrics, labels, CSP_REASON_NONE, CSP_VERDICT_RAN);
  csp_count_request_end (metrics, labels, CSP_REASON_QUEUE_FULL,
                         CSP_VERDICT_NOT_RUN);
  csp_count_request_end (metrics, labels, CSP_REASON_STREAM_CUT,
                         CSP_VERDICT_MAY_HAVE_RUN);
  check_rendered (
      metrics, LINE ("ends_total{reason=\"none\",verdict=\"ran\"} 1"), true);
  check_rendered (metrics,
                  LINE ("ends_total{reason=\"stream_cut\","
                        "verdict=\"may have run\"} 1"),
                  true);
  check_rendered (metrics,
                  LINE ("organisation_refusals_total{organisation=\"o\"} 1"),
                  true);
  csp_set_gauge (metrics, CSP_GAUGE_READY, 1);
  csp_add_gauge (metrics, CSP_GAUGE_WAITING, 3);
  csp_add_gauge (metrics, CSP_GAUGE_WAITING, -1);
  check_rendered (metrics, LINE ("ready 1"), true);
  check_rendered (metrics, LINE ("waiting 2"), true);
  csp_destroy_metrics (metrics);
}
END_TEST

START_TEST (quantiles_are_estimated_from_the_buckets)
{
  csp_metrics_t *metrics = csp_create_metrics (SERIES_SMALL);
  csp_labels_t labels = csp_get_labels (metrics, "o", "c");
  const csp_series_t *series = labels.class_series;
  int i;

  ck_assert_double_eq (
      csp_estimate_quantile_ms (series, CSP_TIME_BETWEEN_TOKENS, 0.5), 0);
  for (i = 0; i < 95; i++)
    csp_observe_time (labels, CSP_TIME_BETWEEN_TOKENS, 35 * MS);
  for (i = 0; i < 5; i++)
    csp_observe_time (labels, CSP_TIME_BETWEEN_TOKENS, 300 * MS);
  ck_assert_double_eq_tol (
      csp_estimate_quantile_ms (series, CSP_TIME_BETWEEN_TOKENS, 0.95), 42,
      0.01);
  ck_assert_double_eq_tol (
      csp_estimate_quantile_ms (series, CSP_TIME_BETWEEN_TOKENS, 0.475), 36,
      0.01);
  ck_assert_double_gt (
      csp_estimate_quantile_ms (series, CSP_TIME_BETWEEN_TOKENS, 0.99), 200);
  csp_destroy_metrics (metrics);
}
END_TEST

static void *
count_repeatedly (void *context)
{
  csp_metrics_t *metrics = context;
  char name[CSP_SERIES_NAME_BYTES];
  csp_labels_t labels;
  size_t size_bytes;
  int i;

  for (i = 0; i < ROUNDS; i++)
    {
      snprintf (name, sizeof name, "n%d", i % NAMES);
      labels = csp_get_labels (metrics, name, "c");
      csp_add_count (labels, CSP_COUNT_TOKENS, 1);
      csp_observe_time (labels, CSP_TIME_BETWEEN_TOKENS, i);
      if (i % (ROUNDS / 4) == 0)
        free (csp_render_metrics (metrics, &size_bytes));
    }
  return NULL;
}

/* A race between counting threads could lose counts or create two series for
   one name; the sum over organisations would then differ from the sum over
   classes.  */
START_TEST (concurrent_counts_are_not_lost)
{
  csp_metrics_t *metrics = csp_create_metrics (NAMES);
  pthread_t threads[THREADS];
  char line[128];
  int i;

  for (i = 0; i < THREADS; i++)
    pthread_create (&threads[i], NULL, count_repeatedly, metrics);
  for (i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  ck_assert_uint_eq (metrics->organisations.count, NAMES);
  snprintf (line, sizeof line, LINE ("class_tokens_total{class=\"c\"} %d"),
            THREADS * ROUNDS);
  check_rendered (metrics, line, true);
  snprintf (line, sizeof line,
            LINE ("class_time_between_tokens_seconds_count{class=\"c\"} %d"),
            THREADS * ROUNDS);
  check_rendered (metrics, line, true);
  snprintf (line, sizeof line,
            LINE ("organisation_tokens_total{organisation=\"n11\"} %d"),
            THREADS * (ROUNDS / NAMES));
  check_rendered (metrics, line, true);
  csp_destroy_metrics (metrics);
}
END_TEST

static void
check_page_row (const char *page, const char *prefix, const char *name,
                const char *help)
{
  char *line;

  ck_assert_int_gt (asprintf (&line, "| `%s%s` | %s |\n", prefix, name, help),
                    0);
  ck_assert_msg (strstr (page, line) != NULL, "docs/METRICS.md lacks: %s",
                 line);
  free (line);
}

/* Operators find metrics by the page; a metric that is missing there stays
   unwatched.  */
START_TEST (metrics_page_lists_every_metric)
{
  char *page = calloc (1, 65536);
  FILE *file = fopen ("docs/METRICS.md", "r");
  int i;

  ck_assert_ptr_nonnull (file);
  ck_assert_uint_gt (fread (page, 1, 65535, file), 0);
  fclose (file);
  for (i = 0; i < CSP_HISTOGRAM_COUNT; i++)
    check_page_row (page, "", csp_histogram_table[i].name,
                    csp_histogram_table[i].help);
  for (i = 0; i < CSP_COUNT_COUNT; i++)
    check_page_row (page, "", csp_counter_table[i].name,
                    csp_counter_table[i].help);
  for (i = 0; i < CSP_GAUGE_COUNT; i++)
    check_page_row (page, "cowslipspoke_", csp_gauge_table[i].name,
                    csp_gauge_table[i].help);
  free (page);
}
END_TEST

#define ADD_LOOP(tcase, test, table)                                          \
  tcase_add_loop_test (tcase, test, 0, sizeof (table) / sizeof (table)[0])

int
main (void)
{
  Suite *suite = suite_create ("metrics");
  TCase *tcase = tcase_create ("metrics");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, names_beyond_the_limit_share_one_series);
  ADD_LOOP (tcase, names_are_escaped, name_cases);
  tcase_add_test (tcase, long_names_are_truncated);
  ADD_LOOP (tcase, times_are_counted_in_their_bucket, bucket_cases);
  tcase_add_test (tcase, sizes_are_counted_in_tokens);
  tcase_add_test (tcase, request_ends_count_refusals_where_nothing_ran);
  tcase_add_test (tcase, quantiles_are_estimated_from_the_buckets);
  tcase_add_test (tcase, concurrent_counts_are_not_lost);
  tcase_add_test (tcase, metrics_page_lists_every_metric);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
