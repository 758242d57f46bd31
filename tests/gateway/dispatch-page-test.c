#include "gateway/stream-fixture.h"

#include "support/run-suite.h"

#include <check.h>
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

int
main (void)
{
  Suite *suite = suite_create ("dispatch-page");
  TCase *tcase = tcase_create ("dispatch-page");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, stream_set_up, stream_tear_down);
  tcase_add_test (tcase, page_shows_requests_by_class);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
