#include "cowslipspoke/rate-limit.h"

#include "support/run-suite.h"

#include <check.h>

/* What hosts know of the rate limits that targets state.  */

static const struct
{
  const char *value;
  bool valid;
  double max_per_s;
} values[] = {
  { "3.5", true, 3.5 },       { "0", true, 0 },    { "0.25", true, 0.25 },
  { "40", true, 40 },         { "7. ", true, 7 },  { "1000000000", true, 1e6 },
  { "", false, 0 },           { "-1", false, 0 },  { "+1", false, 0 },
  { "nan", false, 0 },        { "inf", false, 0 }, { "1e9", false, 0 },
  { "0x3", false, 0 },        { "3,5", false, 0 }, { "3.5.1", false, 0 },
  { "3 a second", false, 0 }, { " 3", false, 0 },  { ".5", false, 0 },
};

/* Guards against a limit that is read from a value that is no decimal
   number.  */
START_TEST (only_decimal_numbers_are_rates)
{
  double rate = -1;

  ck_assert_int_eq (csp_parse_rate (values[_i].value, &rate),
                    values[_i].valid);
  if (values[_i].valid)
    ck_assert_double_eq (rate, values[_i].max_per_s);
}
END_TEST

enum
{
  REPORTS_MAX = 4,
  NOW_MS = 100000
};

/* Reports in their order of arrival, all at the same time.  */
static const struct
{
  const char *name;
  size_t count;
  csp_rate_report_t reports[REPORTS_MAX];
  csp_rate_change_t last_change;
  bool limited;
  double max_per_s;
} orders[] = {
  { "the first", 1, { { false, 3, 0 } }, CSP_RATE_BEGAN, true, 3 },
  { "a newer value",
    2,
    { { false, 3, 20 }, { false, 4, 10 } },
    CSP_RATE_CHANGED,
    true,
    4 },
  { "an older value",
    2,
    { { false, 3, 10 }, { false, 4, 20 } },
    CSP_RATE_UNCHANGED,
    true,
    3 },
  { "the same",
    2,
    { { false, 3, 10 }, { false, 3, 5 } },
    CSP_RATE_UNCHANGED,
    true,
    3 },
  { "an end",
    2,
    { { false, 3, 10 }, { true, 0, 5 } },
    CSP_RATE_ENDED,
    false,
    0 },
  { "an end whose request was sent before",
    2,
    { { false, 3, 10 }, { true, 0, 15 } },
    CSP_RATE_UNCHANGED,
    true,
    3 },
  { "an end whose request was sent at that time",
    2,
    { { false, 3, 10 }, { true, 0, 10 } },
    CSP_RATE_UNCHANGED,
    true,
    3 },
  { "a limit older than its end",
    3,
    { { false, 3, 30 }, { true, 0, 10 }, { false, 3, 20 } },
    CSP_RATE_UNCHANGED,
    false,
    0 },
  { "a limit older than an answer without one",
    2,
    { { true, 0, 10 }, { false, 3, 20 } },
    CSP_RATE_UNCHANGED,
    false,
    0 },
  { "a limit again",
    3,
    { { false, 3, 30 }, { true, 0, 20 }, { false, 2, 10 } },
    CSP_RATE_BEGAN,
    true,
    2 },
};

/* Guards against an old report that takes back what a newer one says.  */
START_TEST (the_newest_report_counts)
{
  csp_rate_limit_t limit = { .limited = false };
  csp_rate_change_t change = CSP_RATE_UNCHANGED;
  size_t i;

  for (i = 0; i < orders[_i].count; i++)
    change = csp_note_rate_report (&limit, &orders[_i].reports[i], NOW_MS);
  ck_assert_msg (change == orders[_i].last_change, "%s", orders[_i].name);
  ck_assert_msg (limit.limited == orders[_i].limited, "%s", orders[_i].name);
  if (limit.limited)
    ck_assert_double_eq (limit.max_per_s, orders[_i].max_per_s);
}
END_TEST

/* Guards against a report that gets younger on its way through hosts.  */
START_TEST (a_report_keeps_its_age)
{
  csp_rate_limit_t limit = { .limited = false };
  csp_rate_report_t report = { .max_per_s = 3, .age_ms = 10 };

  csp_note_rate_report (&limit, &report, NOW_MS);
  report = csp_make_rate_report (&limit, NOW_MS + 50);
  ck_assert (!report.ended);
  ck_assert_uint_eq (report.age_ms, 60);
  report = (csp_rate_report_t){ .ended = true, .age_ms = 1 };
  csp_note_rate_report (&limit, &report, NOW_MS + 50);
  report = csp_make_rate_report (&limit, NOW_MS + 100);
  ck_assert (report.ended);
  ck_assert_uint_eq (report.age_ms, 51);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rate-report");
  TCase *tcase = tcase_create ("rate-report");

  tcase_add_loop_test (tcase, only_decimal_numbers_are_rates, 0,
                       sizeof values / sizeof values[0]);
  tcase_add_loop_test (tcase, the_newest_report_counts, 0,
                       sizeof orders / sizeof orders[0]);
  tcase_add_test (tcase, a_report_keeps_its_age);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
