#include "cowslipspoke/log.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Lines as they come out, on a clock that the test moves.  */

static csp_fake_clock_t fake;
static csp_log_t *log_under_test;
static char *text;
static size_t text_bytes;
static FILE *stream;

static void
set_up (void)
{
  csp_clock_t clock;

  fake.steady_ms = 1000;
  fake.wall_ms = 5000;
  clock = csp_clock_of_fake (&fake);
  log_under_test = csp_create_log ("host-a", CSP_LEVEL_INFO, &clock);
  ck_assert_ptr_nonnull (log_under_test);
  stream = open_memstream (&text, &text_bytes);
  csp_direct_log (log_under_test, stream);
}

static void
tear_down (void)
{
  csp_destroy_log (log_under_test);
  fclose (stream);
  free (text);
}

static size_t
count (const char *what)
{
  const char *at;
  size_t found = 0;

  fflush (stream);
  for (at = text; (at = strstr (at, what)) != NULL; at++)
    found++;
  return found;
}

START_TEST (a_line_is_one_object)
{
  CSP_LOG (log_under_test, CSP_EVENT_FORWARD_ENDED, "r1",
           csp_text ("route", "a\nb"), csp_number ("status", 200));
  fflush (stream);
  ck_assert_str_eq (text, "{\"at_ms\":5000,\"event\":210,"
                          "\"name\":\"forward-ended\",\"host\":\"host-a\","
                          "\"request_id\":\"r1\",\"route\":\"a\\nb\","
                          "\"status\":200}\n");
}
END_TEST

/* Callers that come back at once by the thousand make a line each.  A small
   host would spend its processor on them while it should turn them away; so
   lines are bounded, and what was left out is told.  Warnings still come.  */
START_TEST (a_storm_of_lines_is_bounded_and_told)
{
  int i;

  for (i = 0; i < 5000; i++)
    CSP_LOG (log_under_test, CSP_EVENT_FORWARD_TURNED_AWAY, "r1",
             csp_number ("status", 401));
  CSP_LOG (log_under_test, CSP_EVENT_STREAM_LOST, "r2",
           csp_number ("status", 200));
  ck_assert_uint_eq (count ("forward-turned-away"), 1000);
  ck_assert_uint_eq (count ("stream-lost"), 1);
  ck_assert_uint_eq (count ("lines-dropped"), 0);
  csp_advance_fake_clock (&fake, 1000);
  for (i = 0; i < 5000; i++)
    CSP_LOG (log_under_test, CSP_EVENT_FORWARD_TURNED_AWAY, "r1",
             csp_number ("status", 401));
  ck_assert_uint_eq (count ("forward-turned-away"), 1200);
  ck_assert_uint_eq (count ("\"lines\":4000"), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("log");
  TCase *tcase = tcase_create ("log");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_line_is_one_object);
  tcase_add_test (tcase, a_storm_of_lines_is_bounded_and_told);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
