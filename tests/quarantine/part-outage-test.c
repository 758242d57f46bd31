#include "support/part-sim.h"
#include "support/run-suite.h"

#include <check.h>

enum
{
  SEEDS = 50
};

static const part_play_t plays[] = {
  { "two parts, hosts fail", 2, false, 600, 90, 2000, PART_ENDS_NONE, true },
  { "all engines, one after the other", 0, false, 0, 60, 8000,
    PART_ENDS_IN_TURN, false },
  { "one part, an engine a second, hosts fail", 1, false, 700, 60, 8000,
    PART_ENDS_RANDOM, true },
  { "one part, all engines, one after the other", 1, false, 700, 60, 8000,
    PART_ENDS_IN_TURN, false },
  { "one part, all engines, hosts fail", 1, false, 700, 60, 8000,
    PART_ENDS_ALL, true },
};

/* Guards against the same where trials run into ends with another cause: all
   engines end in turn, or two parts crash them while hosts fail.  */
START_TEST (trials_tell_parts_from_other_causes)
{
  part_sim_check (&plays[_i / SEEDS], _i % SEEDS + 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("part-outage");
  TCase *tests = tcase_create ("part-outage");

  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, trials_tell_parts_from_other_causes, 0,
                       SEEDS * (int)(sizeof plays / sizeof plays[0]));
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
