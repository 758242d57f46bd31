#include "support/part-sim.h"
#include "support/run-suite.h"

#include <check.h>

enum
{
  SEEDS = 50
};

static const part_play_t plays[] = {
  { "once a second", 1, false, 1000, 90, 2000, PART_ENDS_NONE, false, false },
  { "once a second, hosts fail", 1, false, 1000, 90, 2000, PART_ENDS_NONE,
    true, false },
  { "a hundred times a second", 1, false, 10, 90, 2000, PART_ENDS_NONE, false,
    false },
  { "ten times a second", 1, false, 100, 90, 2000, PART_ENDS_NONE, false,
    false },
  { "full batches", 1, false, 700, 40, 16000, PART_ENDS_NONE, false, false },
  { "two parts", 2, false, 600, 90, 2000, PART_ENDS_NONE, false, false },
  { "beside a flapping engine", 1, false, 700, 90, 2000, PART_ENDS_FLAPPING,
    false, false },
  { "every prompt", 0, true, 0, 150, 2000, PART_ENDS_NONE, false, false },
  { "a third of the engines", 0, false, 0, 60, 8000, PART_ENDS_A_THIRD, false,
    false },
  { "a third of the engines, hosts fail", 0, false, 0, 60, 8000,
    PART_ENDS_A_THIRD, true, false },
  { "all engines", 0, false, 0, 60, 8000, PART_ENDS_ALL, false, false },
  { "a third of the engines, one after the other", 0, false, 0, 60, 8000,
    PART_ENDS_THIRD_IN_TURN, false, false },
  { "flapping engine", 0, false, 0, 60, 8000, PART_ENDS_FLAPPING, true,
    false },
  { "an engine a second", 0, false, 0, 60, 8000, PART_ENDS_RANDOM, true,
    false },
  { "few requests, an engine a second", 0, false, 0, 900, 3000,
    PART_ENDS_RANDOM, true, false },
  { "two parts, hosts fail", 2, false, 600, 90, 2000, PART_ENDS_NONE, true,
    false },
  { "all engines, one after the other", 0, false, 0, 60, 8000,
    PART_ENDS_IN_TURN, false, false },
  { "one part, an engine a second, hosts fail", 1, false, 700, 60, 8000,
    PART_ENDS_RANDOM, true, false },
  { "one part, all engines, one after the other", 1, false, 700, 60, 8000,
    PART_ENDS_IN_TURN, false, false },
  { "one part, all engines, hosts fail", 1, false, 700, 60, 8000,
    PART_ENDS_ALL, true, false },
  { "once a second, most at one host", 1, false, 1000, 90, 2000,
    PART_ENDS_NONE, true, true },
  { "a hundred times a second, most at one host", 1, false, 10, 90, 2000,
    PART_ENDS_NONE, false, true },
  { "one part, an engine a second, most at one host", 1, false, 700, 60, 8000,
    PART_ENDS_RANDOM, true, true },
  { "all engines, most at one host", 0, false, 0, 60, 8000, PART_ENDS_ALL,
    false, true },
};

/* Guards against a part that goes on ending engines through some host, and
   against sound parts that are held for ends which they were only beside, also
   where their trial runs into an end with another cause.  */
START_TEST (only_parts_that_crash_engines_are_held)
{
  part_sim_check (&plays[_i / SEEDS], _i % SEEDS + 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("part-play");
  TCase *tests = tcase_create ("part-play");

  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, only_parts_that_crash_engines_are_held, 0,
                       SEEDS * (int)(sizeof plays / sizeof plays[0]));
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
