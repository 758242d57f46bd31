#include "cowslipspoke/reach.h"

#include "support/run-suite.h"

#include <check.h>

enum
{
  HOME = 1,
  ELSEWHERE = 2,
  STEPS_MAX = 6
};

typedef enum
{
  ANSWER,
  HEARD,
  FAILED
} step_kind_t;

typedef struct
{
  step_kind_t kind;
  int64_t at_ms;
  uint32_t data_centre;
} step_t;

/* What a host sees of another data centre, and whether it reaches that at a
   moment.  */
static const struct
{
  const char *name;
  step_t steps[STEPS_MAX];
  size_t step_count;
  uint32_t data_centre;
  int64_t at_ms;
  bool reached;
} stories[] = {
  { "never heard of", { { 0 } }, 0, ELSEWHERE, 90000, true },
  { "answers", { { ANSWER, 1000, ELSEWHERE } }, 1, ELSEWHERE, 2000, true },
  { "connections are reset as the cut begins",
    { { ANSWER, 1000, ELSEWHERE }, { FAILED, 1010, ELSEWHERE } },
    2,
    ELSEWHERE,
    1011,
    false },
  { "its hosts are still heard, for datagrams come one way",
    { { ANSWER, 1000, ELSEWHERE },
      { FAILED, 1010, ELSEWHERE },
      { HEARD, 1500, ELSEWHERE } },
    3,
    ELSEWHERE,
    1501,
    false },
  { "one target crashed, another answers",
    { { FAILED, 1010, ELSEWHERE }, { ANSWER, 1030, ELSEWHERE } },
    2,
    ELSEWHERE,
    1030,
    true },
  { "silence, no longer than between two greetings",
    { { HEARD, 1000, ELSEWHERE } },
    1,
    ELSEWHERE,
    2500,
    true },
  { "silence", { { HEARD, 1000, ELSEWHERE } }, 1, ELSEWHERE, 2600, false },
  { "heard again behind a silence",
    { { HEARD, 1000, ELSEWHERE }, { HEARD, 9000, ELSEWHERE } },
    2,
    ELSEWHERE,
    9001,
    true },
  { "this host's own data centre",
    { { FAILED, 1000, HOME } },
    1,
    HOME,
    9000,
    true },
};

/* A data centre is cut off, and its callers keep coming.  Requests that are
   sent across the cut can't be taken back: their callers see them fail, though
   a target at home would have served them.  */
START_TEST (what_is_seen_tells_which_data_centres_are_reached)
{
  csp_reach_t *reach = csp_create_reach (HOME);
  size_t i;

  for (i = 0; i < stories[_i].step_count; i++)
    {
      const step_t *step = &stories[_i].steps[i];

      switch (step->kind)
        {
        case ANSWER:
          csp_note_answer_from (reach, step->data_centre, step->at_ms);
          break;
        case HEARD:
          csp_note_host_heard (reach, step->data_centre, step->at_ms);
          break;
        case FAILED:
          csp_note_exchange_failed (reach, step->data_centre, step->at_ms);
          break;
        }
    }
  ck_assert_msg (
      csp_is_reached (reach, stories[_i].data_centre, stories[_i].at_ms)
          == stories[_i].reached,
      "%s", stories[_i].name);
  csp_destroy_reach (reach);
}
END_TEST

/* All hosts of a data centre were lost, its targets weren't.  Nobody there
   speaks unasked, so without questions it would be left alone for ever.  */
START_TEST (what_is_cut_off_is_asked_now_and_then)
{
  csp_reach_t *reach = csp_create_reach (HOME);

  csp_note_host_heard (reach, ELSEWHERE, 1000);
  ck_assert (!csp_take_reach_question (reach, ELSEWHERE, 1100));
  ck_assert (csp_take_reach_question (reach, ELSEWHERE, 3000));
  ck_assert (!csp_take_reach_question (reach, ELSEWHERE, 3100));
  ck_assert (csp_take_reach_question (reach, ELSEWHERE, 3500));
  csp_note_answer_from (reach, ELSEWHERE, 3510);
  ck_assert (!csp_take_reach_question (reach, ELSEWHERE, 4000));
  ck_assert (!csp_take_reach_question (reach, HOME, 9000));
  csp_destroy_reach (reach);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("reach");
  TCase *tcase = tcase_create ("reach");

  tcase_add_loop_test (tcase,
                       what_is_seen_tells_which_data_centres_are_reached, 0,
                       sizeof stories / sizeof *stories);
  tcase_add_test (tcase, what_is_cut_off_is_asked_now_and_then);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
