#include "cowslipspoke/losses.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

/* Classifies lost requests by the lines in their hosts' logs.  */

#define END(event, detail, more)                                              \
  "{\"at_ms\":9000,\"event\":" event ",\"host\":\"h1\","                      \
  "\"request_id\":\"r1\",\"route\":\"texts\",\"target\":\"t1\","              \
  "\"detail\":\"" detail "\",\"tokens\":4000" more "}"
#define NOTICE(host)                                                          \
  "{\"at_ms\":7000,\"event\":500,\"host\":\"" host "\",\"target\":\"t1\"}"
#define STEP(step)                                                            \
  "{\"at_ms\":8000,\"event\":215,\"host\":\"h1\",\"request_id\":\"r1\","      \
  "\"step\":\"" step "\",\"target\":\"t1\"}"
#define CONNECTION_CLOSED END ("216", "the target closed the connection", "")

enum
{
  LINES_MAX = 6
};

typedef struct
{
  const char *lines[LINES_MAX];
  csp_loss_t loss;
} loss_case_t;

static const loss_case_t loss_cases[] = {
  { { "{\"at_ms\":1,\"event\":210,\"request_id\":\"r1\",\"route\":"
      "\"texts\"}" },
    CSP_LOSS_NONE },
  { { CONNECTION_CLOSED }, CSP_LOSS_NOTICE_UNSEEN },
  { { NOTICE ("h2"), CONNECTION_CLOSED }, CSP_LOSS_NOTICE_UNSEEN },
  { { NOTICE ("h1"), CONNECTION_CLOSED }, CSP_LOSS_COPY_NOT_STARTED },
  { { NOTICE ("h1"), STEP ("copy"), CONNECTION_CLOSED }, CSP_LOSS_COPY_LATE },
  { { NOTICE ("h1"), STEP ("copy"), STEP ("copy-refused"), CONNECTION_CLOSED },
    CSP_LOSS_COPY_REFUSED },
  /* The request had moved to this target before the target left.  */
  { { STEP ("copy"), STEP ("arrived"), NOTICE ("h1"), CONNECTION_CLOSED },
    CSP_LOSS_COPY_NOT_STARTED },
  { { END ("216", "the copy was not there", "") }, CSP_LOSS_COPY_MISSING },
  { { END ("216", "the target reset the connection", "") },
    CSP_LOSS_LINK_RESET },
  { { STEP ("silent"), END ("214", "", "") }, CSP_LOSS_STREAM_STALLED },
  { { END ("214", "", "") }, CSP_LOSS_CALLER_LEFT },
  { { END ("211", "the engines are full", ",\"took_ms\":4") },
    CSP_LOSS_REFUSED_ON_ARRIVAL },
  { { END ("211", "the engines are full", ",\"took_ms\":900") },
    CSP_LOSS_NO_CAPACITY_IN_TIME },
  { { END ("211", "no target can take it", "") }, CSP_LOSS_NO_TARGET },
  { { END ("211", "the host is stopping", "") }, CSP_LOSS_HOST_STOPPING },
  { { END ("211", "the time is over", "") }, CSP_LOSS_TIME_OVER },
  { { END ("211", "the time is over", ",\"host_delay_ms\":99") },
    CSP_LOSS_TIME_OVER },
  { { END ("211", "the time is over", ",\"host_delay_ms\":100") },
    CSP_LOSS_HOST_LATE },
  { { END ("214", "", ",\"host_delay_ms\":100") }, CSP_LOSS_HOST_LATE },
  { { END ("210", "", ",\"status\":200,\"host_delay_ms\":100") },
    CSP_LOSS_NONE },
  { { END ("211", "the host's link is full", "") }, CSP_LOSS_LINK_FULL },
  { { END ("211", "the target failed", "") }, CSP_LOSS_TARGET_FAILED },
  { { END ("210", "", ",\"status\":200") }, CSP_LOSS_NONE },
  { { END ("210", "", ",\"status\":404") }, CSP_LOSS_NONE },
  { { END ("210", "", ",\"status\":500") }, CSP_LOSS_TARGET_ERROR },
  { { END ("211", "all data centres of its service are cordoned", "") },
    CSP_LOSS_CORDONED },
  { { END ("216", "the data centre is cordoned", "") }, CSP_LOSS_CORDONED },
  { { END ("216", "the engine with the copy has left", "") },
    CSP_LOSS_COPY_REFUSED },
  { { END ("216", "the stream has no events", "") }, CSP_LOSS_TARGET_FAILED },
  { { END ("211", "all targets of its service want a wait", "") },
    CSP_LOSS_BACKED_OFF },
  { { END ("211", "its targets are at their rate limits", "") },
    CSP_LOSS_RATE_LIMITED },
  { { END ("211", "targets ended under this request", "") },
    CSP_LOSS_QUARANTINED },
  { { END ("216", "targets ended under this request", "") },
    CSP_LOSS_QUARANTINED },
  { { END ("211", "the host that it was relayed to refused it", "") },
    CSP_LOSS_RELAY_REFUSED },
  { { END ("211", "the host that it was relayed to failed it", "") },
    CSP_LOSS_RELAY_LOST },
  { { END ("216", "the host that it was relayed to broke off", "") },
    CSP_LOSS_RELAY_LOST },
  /* Its end at the host that it was relayed to isn't counted again.  */
  { { END ("211", "the time is over", ",\"relayed_from\":\"10.0.0.1:1\""),
      END ("211", "the time is over", ",\"relayed_from\":null") },
    CSP_LOSS_TIME_OVER },
  { { END ("211", "something new", "") }, CSP_LOSS_OTHER },
};

/* Operators have only the logs to find out why a caller's stream was cut.  The
   last line names what the host saw; the cause follows from the earlier lines.
 */
START_TEST (log_lines_are_classified_by_cause)
{
  csp_losses_t *losses = csp_create_losses ();
  size_t i;

  for (i = 0; i < LINES_MAX && loss_cases[_i].lines[i] != NULL; i++)
    ck_assert (csp_process_loss_line (losses, loss_cases[_i].lines[i]));
  ck_assert_msg (csp_count_losses (losses, "texts", loss_cases[_i].loss) == 1,
                 "not classified as %s", csp_loss_name (loss_cases[_i].loss));
  csp_destroy_losses (losses);
}
END_TEST

/* Logs contain lines of other programs, truncated lines and other events.  */
START_TEST (other_lines_are_ignored)
{
  csp_losses_t *losses = csp_create_losses ();

  ck_assert (!csp_process_loss_line (losses, ""));
  ck_assert (!csp_process_loss_line (losses, "a line of text"));
  ck_assert (!csp_process_loss_line (losses, "{\"event\":21"));
  ck_assert (!csp_process_loss_line (losses, "{\"no\":1}"));
  ck_assert (csp_process_loss_line (losses, "{\"event\":100}"));
  ck_assert (
      csp_process_loss_line (losses, "  33.5 host-1 " CONNECTION_CLOSED));
  ck_assert_uint_eq (csp_count_losses (losses, NULL, CSP_LOSS_NOTICE_UNSEEN),
                     1);
  ck_assert_uint_eq (
      csp_count_losses (losses, "other", CSP_LOSS_NOTICE_UNSEEN), 0);
  csp_destroy_losses (losses);
}
END_TEST

START_TEST (the_table_has_a_row_for_each_route_and_cause)
{
  csp_losses_t *losses = csp_create_losses ();
  char text[4096] = "";
  FILE *stream = fmemopen (text, sizeof text, "w");

  csp_process_loss_line (losses, CONNECTION_CLOSED);
  csp_process_loss_line (losses, CONNECTION_CLOSED);
  csp_print_losses (losses, stream);
  fclose (stream);
  ck_assert_ptr_nonnull (
      strstr (text, "texts                    notice unseen                2"
                    "         8000\n"));
  ck_assert_ptr_nonnull (strstr (text, "0.0        notice unseen 2;\n"));
  csp_destroy_losses (losses);
}
END_TEST

/* Guards against a fault that meets the largest requests and shows in no
   table.  */
START_TEST (the_table_shows_refusals_by_size)
{
  csp_losses_t *losses = csp_create_losses ();
  char text[8192] = "";
  FILE *stream = fmemopen (text, sizeof text, "w");
  int tokens;

  for (tokens = 2000; tokens > 0; tokens -= 100)
    {
      char line[256];

      snprintf (line, sizeof line,
                "{\"at_ms\":9000,\"event\":%d,\"route\":\"texts\",\"status\":"
                "200,\"detail\":\"%s\",\"took_ms\":4,\"tokens\":%d}",
                tokens > 1700 ? 211 : 210,
                tokens > 1700 ? "the engines are full" : "", tokens);
      ck_assert (csp_process_loss_line (losses, line));
    }
  csp_print_losses (losses, stream);
  fclose (stream);
  ck_assert_ptr_nonnull (strstr (
      text, "texts                            1600         2         0\n"));
  ck_assert_ptr_nonnull (strstr (
      text, "texts                            1800         2         1\n"));
  ck_assert_ptr_nonnull (strstr (
      text, "texts                            2000         2         2\n"));
  csp_destroy_losses (losses);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("losses");
  TCase *tcase = tcase_create ("losses");

  tcase_add_loop_test (tcase, log_lines_are_classified_by_cause, 0,
                       sizeof loss_cases / sizeof loss_cases[0]);
  tcase_add_test (tcase, other_lines_are_ignored);
  tcase_add_test (tcase, the_table_has_a_row_for_each_route_and_cause);
  tcase_add_test (tcase, the_table_shows_refusals_by_size);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
