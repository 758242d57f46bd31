#include "cowslipspoke/reach.h"

#include "support/run-suite.h"

#include <check.h>

enum
{
  HOME = 1,
  ELSEWHERE = 2,
  DATA_CENTRES = 100,
  STEPS_MAX = 6
};

typedef enum
{
  ANSWER,
  RECEIVED,
  FAILED
} step_kind_t;

typedef struct
{
  step_kind_t kind;
  int64_t at_ms;
  uint32_t data_centre;
} step_t;

/* Events that a host observes of a data centre, and whether the data centre
   counts as reachable at at_ms.  */
static const struct
{
  const char *name;
  step_t steps[STEPS_MAX];
  size_t step_count;
  uint32_t data_centre;
  int64_t at_ms;
  bool reachable;
  bool cut_for_all;
} cases[] = {
  { "nothing was ever received", { { 0 } }, 0, ELSEWHERE, 90000, true, false },
  { "answers",
    { { ANSWER, 1000, ELSEWHERE } },
    1,
    ELSEWHERE,
    2000,
    true,
    false },
  { "connections are reset as the partition begins",
    { { ANSWER, 1000, ELSEWHERE }, { FAILED, 1010, ELSEWHERE } },
    2,
    ELSEWHERE,
    1011,
    false,
    true },
  { "datagrams of its hosts still arrive in a one-way partition",
    { { ANSWER, 1000, ELSEWHERE },
      { FAILED, 1010, ELSEWHERE },
      { RECEIVED, 1500, ELSEWHERE } },
    3,
    ELSEWHERE,
    1501,
    false,
    false },
  { "one target crashed, another answers",
    { { FAILED, 1010, ELSEWHERE }, { ANSWER, 1030, ELSEWHERE } },
    2,
    ELSEWHERE,
    1030,
    true,
    false },
  { "silence, no longer than between two hellos",
    { { RECEIVED, 1000, ELSEWHERE } },
    1,
    ELSEWHERE,
    2500,
    true,
    false },
  { "silence",
    { { RECEIVED, 1000, ELSEWHERE } },
    1,
    ELSEWHERE,
    2600,
    false,
    true },
  { "received again after a silence",
    { { RECEIVED, 1000, ELSEWHERE }, { RECEIVED, 9000, ELSEWHERE } },
    2,
    ELSEWHERE,
    9001,
    true,
    false },
  { "this host's own data centre",
    { { FAILED, 1000, HOME } },
    1,
    HOME,
    9000,
    true,
    false },
};

/* Guards against sending requests into a partition: what was sent can't be
   withdrawn, so callers see failures though a local target could have served
   them.  */
START_TEST (observed_events_decide_whether_a_data_centre_is_reachable)
{
  csp_reach_t *reach = csp_create_reach (HOME);
  size_t i;

  for (i = 0; i < cases[_i].step_count; i++)
    {
      const step_t *step = &cases[_i].steps[i];

      switch (step->kind)
        {
        case ANSWER:
          csp_note_target_answer_from (reach, step->data_centre, step->at_ms);
          break;
        case RECEIVED:
          csp_note_host_message_from (reach, step->data_centre, step->at_ms);
          break;
        case FAILED:
          csp_note_exchange_failed (reach, step->data_centre, step->at_ms);
          break;
        }
    }
  ck_assert_msg (
      csp_is_reachable (reach, cases[_i].data_centre, cases[_i].at_ms)
          == cases[_i].reachable,
      "%s", cases[_i].name);
  ck_assert_msg (
      csp_is_cut_for_all (reach, cases[_i].data_centre, cases[_i].at_ms)
          == cases[_i].cut_for_all,
      "%s", cases[_i].name);
  csp_destroy_reach (reach);
}
END_TEST

/* Guards against never using a data centre again after all of its hosts were
   lost while its targets run.  Targets send nothing unasked, so only probes
   can find out.  */
START_TEST (an_unreachable_data_centre_is_probed_periodically)
{
  csp_reach_t *reach = csp_create_reach (HOME);

  csp_note_host_message_from (reach, ELSEWHERE, 1000);
  ck_assert (!csp_take_reach_probe (reach, ELSEWHERE, 1100));
  ck_assert (csp_take_reach_probe (reach, ELSEWHERE, 3000));
  ck_assert (!csp_take_reach_probe (reach, ELSEWHERE, 3100));
  ck_assert (csp_take_reach_probe (reach, ELSEWHERE, 3500));
  csp_note_target_answer_from (reach, ELSEWHERE, 3510);
  ck_assert (!csp_take_reach_probe (reach, ELSEWHERE, 4000));
  ck_assert (!csp_take_reach_probe (reach, HOME, 9000));
  csp_destroy_reach (reach);
}
END_TEST

/* Guards against a fleet of many data centres in which the last ones to be
   heard of count as reachable while they are cut off.  */
START_TEST (each_of_many_data_centres_is_tracked)
{
  csp_reach_t *reach = csp_create_reach (HOME);
  uint32_t i;

  for (i = 0; i < DATA_CENTRES; i++)
    csp_note_exchange_failed (reach, ELSEWHERE + i, 1000);
  for (i = 0; i < DATA_CENTRES; i++)
    ck_assert (!csp_is_reachable (reach, ELSEWHERE + i, 1001));
  csp_destroy_reach (reach);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("reach");
  TCase *tcase = tcase_create ("reach");

  tcase_add_loop_test (
      tcase, observed_events_decide_whether_a_data_centre_is_reachable, 0,
      sizeof cases / sizeof *cases);
  tcase_add_test (tcase, an_unreachable_data_centre_is_probed_periodically);
  tcase_add_test (tcase, each_of_many_data_centres_is_tracked);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
