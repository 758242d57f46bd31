#include "cowslipspoke/refusal-limit.h"

#include "support/run-suite.h"

#include <check.h>

static const struct
{
  double max_per_s;
  size_t hosts;
  uint32_t pause_ms;
} cases[] = {
  { 10, 9, 1800 }, { 10, 1, 200 }, { 1e9, 9, 150 }, { 0.5, 9, 5000 },
  { 0, 9, 5000 },  { 1, 1, 2000 }, { 20, 1, 150 },  { 10, 330, 5000 },
};

/* Guards against hosts that together make a full target refuse more than it
   bears.  */
START_TEST (pause_leaves_each_host_its_share)
{
  ck_assert_uint_eq (
      csp_refusal_pause_ms (cases[_i].max_per_s, cases[_i].hosts),
      cases[_i].pause_ms);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("refusal-limit");
  TCase *tcase = tcase_create ("refusal-limit");

  tcase_add_loop_test (tcase, pause_leaves_each_host_its_share, 0,
                       sizeof cases / sizeof cases[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
