#include "cowslipspoke/clock.h"
#include "cowslipspoke/metrics.h"

#include <malloc.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

/* Measures the time to record one token and the gap before it, with one thread
   and with several that all update the same series, which is the worst case;
   and the cost of a scrape as the number of series grows.  */

enum
{
  THREADS_MAX = 8,
  ROUNDS = 1000000,
  NS_PER_US = 1000,
  NAME_BYTES = 32
};

static void *
count_tokens (void *context)
{
  csp_metrics_t *metrics = context;
  csp_labels_t labels = csp_get_labels (metrics, "organisation", "class");
  int64_t gap_us;

  for (gap_us = 0; gap_us < ROUNDS; gap_us++)
    {
      csp_observe_time (labels, CSP_TIME_BETWEEN_TOKENS, gap_us % 60000);
      csp_add_count (labels, CSP_COUNT_TOKENS, 1);
    }
  return NULL;
}

/* Returns the nanoseconds that a thread spends on each token.  */
static double
time_tokens_ns (int threads)
{
  csp_clock_t clock = csp_system_clock ();
  pthread_t ids[THREADS_MAX];
  csp_metrics_t *metrics = csp_create_metrics (CSP_SERIES_MAX);
  int64_t start_us;
  double elapsed_us;
  int i;

  start_us = csp_now_us (&clock);
  for (i = 0; i < threads; i++)
    pthread_create (&ids[i], NULL, count_tokens, metrics);
  for (i = 0; i < threads; i++)
    pthread_join (ids[i], NULL);
  elapsed_us = (double)(csp_now_us (&clock) - start_us);
  csp_destroy_metrics (metrics);
  return elapsed_us * NS_PER_US / ROUNDS;
}

typedef struct
{
  double text_bytes;
  double time_us;
  double heap_bytes;
} scrape_t;

static scrape_t
measure_scrape (size_t organisations)
{
  csp_clock_t clock = csp_system_clock ();
  csp_metrics_t *metrics = csp_create_metrics (CSP_SERIES_MAX);
  char name[NAME_BYTES];
  scrape_t scrape;
  size_t size_bytes;
  size_t heap_before = mallinfo2 ().uordblks;
  int64_t start_us;
  size_t i;
  int time;

  for (i = 0; i < organisations; i++)
    {
      csp_labels_t labels;

      snprintf (name, sizeof name, "customer-%zu", i);
      labels = csp_get_labels (metrics, name, "class");
      for (time = 0; time <= CSP_TIME_WAITING; time++)
        csp_observe_time (labels, time, 42000);
      csp_observe_size (labels, CSP_SIZE_REQUESTED, 4200);
      csp_observe_size (labels, CSP_SIZE_REFUSED, 4200);
    }
  scrape.heap_bytes = (double)(mallinfo2 ().uordblks - heap_before);
  start_us = csp_now_us (&clock);
  free (csp_render_metrics (metrics, &size_bytes));
  scrape.time_us = (double)(csp_now_us (&clock) - start_us);
  scrape.text_bytes = (double)size_bytes;
  csp_destroy_metrics (metrics);
  return scrape;
}

static void
print_scrape (const char *name, size_t organisations, double baseline,
              double now, const char *unit)
{
  printf ("metrics-%s-%zu-organisations baseline=%.0f now=%.0f ratio=%.3f "
          "unit=%s\n",
          name, organisations, baseline, now, now / baseline, unit);
}

int
main (void)
{
  static const size_t organisations[] = { 10, 100, 400, 1600 };
  double one_thread_ns = time_tokens_ns (1);
  double now_ns;
  scrape_t smallest = { 0, 0, 0 };
  scrape_t now;
  int threads;
  size_t i;

  for (threads = 1; threads <= THREADS_MAX; threads *= 2)
    {
      now_ns = threads == 1 ? one_thread_ns : time_tokens_ns (threads);
      printf ("metrics-token-%d-threads baseline=%.1f now=%.1f ratio=%.2f "
              "unit=ns\n",
              threads, one_thread_ns, now_ns, now_ns / one_thread_ns);
    }
  for (i = 0; i < sizeof organisations / sizeof organisations[0]; i++)
    {
      now = measure_scrape (organisations[i]);
      if (i == 0)
        smallest = now;
      print_scrape ("scrape", organisations[i], smallest.text_bytes,
                    now.text_bytes, "bytes");
      print_scrape ("scrape-time", organisations[i], smallest.time_us,
                    now.time_us, "us");
      print_scrape ("memory", organisations[i], smallest.heap_bytes,
                    now.heap_bytes, "bytes");
    }
  return EXIT_SUCCESS;
}
