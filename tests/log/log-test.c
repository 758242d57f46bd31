#include "cowslipspoke/log.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Tests of the written lines, with a fake clock.  */

static csp_fake_clock_t fake_clock;
static csp_log_t *log_under_test;
static char *output;
static size_t output_bytes;
static FILE *stream;

static void
set_up (void)
{
  csp_clock_t clock;

  fake_clock.steady_ms = 1000;
  fake_clock.wall_ms = 5000;
  clock = csp_clock_from_fake (&fake_clock);
  log_under_test = csp_create_log ("host-a", CSP_LEVEL_INFO, &clock);
  ck_assert_ptr_nonnull (log_under_test);
  stream = open_memstream (&output, &output_bytes);
  csp_set_log_stream (log_under_test, stream);
}

static void
tear_down (void)
{
  csp_destroy_log (log_under_test);
  fclose (stream);
  free (output);
}

static size_t
count_matches (const char *pattern)
{
  const char *match;
  size_t matches = 0;

  fflush (stream);
  for (match = output; (match = strstr (match, pattern)) != NULL; match++)
    matches++;
  return matches;
}

START_TEST (line_is_one_json_object)
{
  CSP_LOG (log_under_test, CSP_EVENT_FORWARD_ENDED, "r1",
           csp_text ("route", "a\nb"), csp_number ("status", 200));
  fflush (stream);
  ck_assert_str_eq (output, "{\"at_ms\":5000,\"event\":210,"
                            "\"name\":\"forward-ended\",\"host\":\"host-a\","
                            "\"request_id\":\"r1\",\"route\":\"a\\nb\","
                            "\"status\":200}\n");
}
END_TEST

/* Thousands of callers that retry at once cause a line each.  A small host
   would spend its processor on logging instead of on refusing them.  So lines
   are rate-limited and the number of dropped lines is logged; warnings are
   still written.  */
START_TEST (line_rate_is_limited_and_dropped_lines_are_reported)
{
  int i;

  for (i = 0; i < 5000; i++)
    CSP_LOG (log_under_test, CSP_EVENT_FORWARD_TURNED_AWAY, "r1",
             csp_number ("status", 401));
  CSP_LOG (log_under_test, CSP_EVENT_STREAM_LOST, "r2",
           csp_number ("status", 200));
  ck_assert_uint_eq (count_matches ("forward-turned-away"), 1000);
  ck_assert_uint_eq (count_matches ("stream-lost"), 1);
  ck_assert_uint_eq (count_matches ("lines-dropped"), 0);
  csp_advance_fake_clock (&fake_clock, 1000);
  for (i = 0; i < 5000; i++)
    CSP_LOG (log_under_test, CSP_EVENT_FORWARD_TURNED_AWAY, "r1",
             csp_number ("status", 401));
  ck_assert_uint_eq (count_matches ("forward-turned-away"), 1200);
  ck_assert_uint_eq (count_matches ("\"lines\":4000"), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("log");
  TCase *tcase = tcase_create ("log");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, line_is_one_json_object);
  tcase_add_test (tcase, line_rate_is_limited_and_dropped_lines_are_reported);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
