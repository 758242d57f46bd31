/* A caller for tests, the demo and the bench.  Sends one request and prints
   the answer, or with --repeat N sends N requests concurrently and prints a
   summary.  */

#include "caller-call.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  STACK_BYTES = 256 * 1024,
  PERCENT = 100,
  NS_PER_MS = 1000000,
  MS_PER_S = 1000
};

typedef struct
{
  const caller_options_t *options;
  int64_t number;
  answer_t answer;
  pthread_t thread;
} caller_t;

static const char *
value_or_dash (const char *text)
{
  return *text == '\0' ? "-" : text;
}

/* Print the text without the marks of generations, which differ between
   runs.  */
static void
print_text (const answer_t *answer)
{
  const char *text = answer->text == NULL ? "" : answer->text;
  bool in_mark = false;

  printf ("text=");
  for (; *text != '\0'; text++)
    {
      if (*text == '.')
        in_mark = true;
      if (*text == ' ')
        in_mark = false;
      if (!in_mark)
        putchar (*text);
    }
  putchar ('\n');
}

static void
print_answer (const caller_options_t *options, const answer_t *answer)
{
  static const char *const ends[]
      = { "none", "done", "error", "cut", "hung_up" };

  printf ("status=%lld end=%s verdict=%s reason=%s retry_after=%s\n",
          (long long)answer->status, ends[answer->end],
          value_or_dash (answer->verdict), value_or_dash (answer->reason),
          answer->retry_after_s >= 0 ? "yes" : "no");
  if (options->service == NULL && options->path == NULL)
    printf ("tokens=%lld finish=%s complete=%s duplicates=%lld gaps=%lld "
            "generations=%lld\n",
            (long long)answer->tokens, value_or_dash (answer->finish_reason),
            answer_is_complete (answer) ? "yes" : "no",
            (long long)answer->duplicates, (long long)answer->gaps,
            (long long)answer->generations);
  if (options->show_text)
    print_text (answer);
  if (options->show_body)
    printf ("body=%s\n", answer->text == NULL ? "" : answer->text);
}

static void *
run_caller (void *state)
{
  caller_t *caller = state;

  caller_send_with_retries (caller->options, caller->number, &caller->answer);
  return NULL;
}

static int
compare_numbers (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

static int64_t
percentile (const int64_t *sorted, size_t count, size_t percent)
{
  return count == 0 ? 0 : sorted[(count - 1) * percent / PERCENT];
}

static void
print_percentiles (const char *name, int64_t *values, size_t count)
{
  qsort (values, count, sizeof *values, compare_numbers);
  printf (" %s_p50_us=%lld %s_p95_us=%lld %s_p99_us=%lld %s_max_us=%lld", name,
          (long long)percentile (values, count, 50), name,
          (long long)percentile (values, count, 95), name,
          (long long)percentile (values, count, 99), name,
          (long long)percentile (values, count, 100));
}

static void
print_latencies (const caller_t *callers, size_t count)
{
  size_t interval_count = 0;
  size_t first_count = 0;
  int64_t *first_us;
  int64_t *intervals_us;
  size_t i;

  for (i = 0; i < count; i++)
    interval_count += callers[i].answer.interval_count;
  first_us = calloc (count + 1, sizeof *first_us);
  intervals_us = calloc (interval_count + 1, sizeof *intervals_us);
  if (first_us == NULL || intervals_us == NULL)
    abort ();
  interval_count = 0;
  for (i = 0; i < count; i++)
    {
      const answer_t *answer = &callers[i].answer;

      if (answer->first_us >= 0)
        first_us[first_count++] = answer->first_us;
      if (answer->interval_count > 0)
        memcpy (intervals_us + interval_count, answer->intervals_us,
                answer->interval_count * sizeof *intervals_us);
      interval_count += answer->interval_count;
    }
  print_percentiles ("first", first_us, first_count);
  print_percentiles ("gap", intervals_us, interval_count);
  free (first_us);
  free (intervals_us);
}

static void
print_summary (const caller_t *callers, int64_t count)
{
  int64_t complete = 0;
  int64_t not_run = 0;
  int64_t may_have_run = 0;
  int64_t ran = 0;
  int64_t wrong = 0;
  int64_t tokens = 0;
  int64_t i;

  for (i = 0; i < count; i++)
    {
      const answer_t *answer = &callers[i].answer;

      complete += answer_is_complete (answer);
      not_run += strcmp (answer->verdict, "not run") == 0;
      may_have_run += strcmp (answer->verdict, "may have run") == 0;
      ran += strcmp (answer->verdict, "ran") == 0;
      wrong += answer->duplicates > 0 || answer->gaps > 0
               || answer->generations > 1;
      tokens += answer->tokens;
    }
  printf ("callers=%lld complete=%lld not_run=%lld ran=%lld may_have_run=%lld "
          "other=%lld wrong_tokens=%lld tokens=%lld",
          (long long)count, (long long)complete, (long long)not_run,
          (long long)ran, (long long)may_have_run,
          (long long)(count - complete - not_run - ran - may_have_run),
          (long long)wrong, (long long)tokens);
  print_latencies (callers, (size_t)count);
  putchar ('\n');
}

static void
run_callers (const caller_options_t *options, caller_t *callers)
{
  struct timespec stagger = { options->stagger_ms / MS_PER_S,
                              (options->stagger_ms % MS_PER_S) * NS_PER_MS };
  pthread_attr_t attributes;
  int64_t i;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  for (i = 0; i < options->concurrency; i++)
    {
      callers[i].options = options;
      callers[i].number = i;
      if (pthread_create (&callers[i].thread, &attributes, run_caller,
                          &callers[i])
          != 0)
        abort ();
      nanosleep (&stagger, NULL);
    }
  for (i = 0; i < options->concurrency; i++)
    pthread_join (callers[i].thread, NULL);
  pthread_attr_destroy (&attributes);
}

int
main (int argc, char **argv)
{
  caller_options_t options;
  caller_t *callers;
  int64_t i;

  caller_read_options (&options, argc, argv);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  callers = calloc ((size_t)options.concurrency, sizeof *callers);
  if (callers == NULL)
    abort ();
  run_callers (&options, callers);
  if (options.concurrency == 1)
    print_answer (&options, &callers[0].answer);
  else
    print_summary (callers, options.concurrency);
  for (i = 0; i < options.concurrency; i++)
    answer_free (&callers[i].answer);
  free (callers);
  curl_global_cleanup ();
  return EXIT_SUCCESS;
}
