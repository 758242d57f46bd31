#include "support/part-sim.h"
#include "support/run-suite.h"

#include <check.h>

enum
{
  SEEDS = 10,
  LATE_SENDS_MAX = 3
};

static const part_play_t plays[] = {
  { "two parts, hosts fail", 2, false, 600, 90, 2000, PART_ENDS_NONE, true },
  { "all engines, one after the other", 0, false, 0, 60, 8000,
    PART_ENDS_IN_TURN, false },
};

/* Guards against the same where trials run into ends with another cause: all
   engines end in turn, or two parts crash them while hosts fail.  */
START_TEST (trials_tell_parts_from_other_causes)
{
  const part_play_t *play = &plays[_i / SEEDS];
  int seed = _i % SEEDS + 1;
  part_play_result_t result = part_sim_run (play, (uint64_t)seed);
  size_t i;

  for (i = 0; i < PART_SIM_GUILTY_MAX; i++)
    ck_assert_msg (result.late_sends[i] <= LATE_SENDS_MAX,
                   "%s, seed %d: sent %d times too often, %d ends", play->name,
                   seed, result.late_sends[i], result.ends[i]);
  for (i = 0; i < play->guilty; i++)
    ck_assert_msg (result.ends[i] >= CSP_PART_STRIKES_TRIED,
                   "%s, seed %d: %d ends", play->name, seed, result.ends[i]);
  ck_assert_msg (result.sound_held == 0, "%s, seed %d: sound parts were held",
                 play->name, seed);
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
