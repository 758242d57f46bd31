#include "gateway/stream-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#define LINE(name, traffic_class, value)                                      \
  "\ncowslipspoke_gateway_dispatch_" name "{traffic_class=\"" traffic_class   \
  "\"} " value "\n"

static const char *const lines[]
    = { LINE ("placed_total", "regular", "1"),
        LINE ("placed_total", "urgent", "0"),
        LINE ("refused_on_arrival_total", "regular", "0"),
        LINE ("refused_after_wait_total", "regular", "0"),
        LINE ("waiting", "regular", "0"),
        LINE ("waiting", "urgent", "0") };

/* Guards against a decider whose metrics don't show what it placed for each
   class.  */
START_TEST (page_shows_requests_by_class)
{
  const char *page;
  size_t i;

  start_stream (false);
  page = fixture_get_page (&stream.fixture, "/metrics");
  for (i = 0; i < sizeof lines / sizeof lines[0]; i++)
    ck_assert_msg (strstr (page, lines[i]) != NULL, "no%s", lines[i]);
  finish_stream (stream.source_link);
}
END_TEST

/* Statements of the prompt's and the answer's tokens, beyond the 100,000 that
   an engine of the fixture holds.  */
static const char *const large_sizes[]
    = { "200000,10", "4294967396,0",           "18446744073709551615,0",
        "-5,10",     "99999999999999999999,0", "100,9223372036854775808" };

/* Guards against a size that is cut to 32 bits on its way to the decider: the
   request is placed as a small one.  */
START_TEST (a_request_of_any_size_beyond_an_engine_is_refused)
{
  char request[256];

  snprintf (request, sizeof request,
            "POST /stream/ HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
            "Request-Id: r1\r\nTime-Left: 30000\r\nTokens: %s\r\n"
            "Content-Length: 2\r\n\r\nhi",
            large_sizes[_i]);
  stream.caller = open_caller (&stream.fixture);
  send_text (stream.caller, request);
  ck_assert_ptr_nonnull (
      strstr (read_until (stream.caller, "\r\n\r\n"), " 503 "));
  await_metric ("refused_on_arrival_total{traffic_class=\"regular\"} 1\n");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch-page");
  TCase *tcase = tcase_create ("dispatch-page");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, stream_set_up, stream_tear_down);
  tcase_add_test (tcase, page_shows_requests_by_class);
  tcase_add_loop_test (tcase,
                       a_request_of_any_size_beyond_an_engine_is_refused, 0,
                       sizeof large_sizes / sizeof large_sizes[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
