#include "cowslipspoke/traffic-class.h"

#include "support/run-suite.h"

#include <check.h>

static const struct
{
  uint32_t objective_ms;
  uint32_t longest_ms;
  bool urgent;
} cases[] = {
  { 1500, 4000, true },  { 2000, 4000, true },  { 2001, 4000, false },
  { 4000, 4000, false }, { 0, 4000, false },    { 0, 0, false },
  { 1500, 0, false },    { 1500, 1500, false }, { 1, UINT32_MAX, true },
};

/* Guards against a class where objectives are close or aren't declared.  */
START_TEST (urgent_is_at_most_half_of_the_longest_objective)
{
  ck_assert_int_eq (
      csp_classify_request (cases[_i].objective_ms, cases[_i].longest_ms)
          == CSP_CLASS_URGENT,
      cases[_i].urgent);
  ck_assert_int_eq (
      csp_has_traffic_classes (cases[_i].objective_ms, cases[_i].longest_ms),
      cases[_i].urgent);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("traffic-class");
  TCase *tcase = tcase_create ("traffic-class");

  tcase_add_loop_test (tcase, urgent_is_at_most_half_of_the_longest_objective,
                       0, sizeof cases / sizeof cases[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
