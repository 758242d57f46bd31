#include "cowslipspoke/service-reach.h"

#include "support/run-suite.h"

#include <check.h>

enum
{
  SERVICE = 7,
  OTHER_SERVICE = 8,
  THIRD_SERVICE = 9,
  STEPS_MAX = 5
};

typedef enum
{
  NOTHING,
  ANSWERED,
  FAILED
} step_kind_t;

typedef struct
{
  step_kind_t kind;
  uint32_t service;
  uint64_t target;
  int64_t after_ms; /* since the step before */
} step_t;

static const struct
{
  const char *name;
  size_t ready_count;
  step_t steps[STEPS_MAX];
  bool reached;
  bool paths_lost;
} cases[] = {
  { "nothing is known", 3, { { 0 } }, true, false },
  { "one of several fails", 3, { { FAILED, SERVICE, 1, 0 } }, true, false },
  { "the only one fails", 1, { { FAILED, SERVICE, 1, 0 } }, false, false },
  { "one fails again and again",
    3,
    { { FAILED, SERVICE, 1, 0 }, { FAILED, SERVICE, 1, 0 } },
    true,
    false },
  { "two fail",
    3,
    { { FAILED, SERVICE, 1, 0 }, { FAILED, SERVICE, 2, 0 } },
    false,
    true },
  { "two fail, with an answer between them",
    3,
    { { FAILED, SERVICE, 1, 0 },
      { ANSWERED, SERVICE, 0, 0 },
      { FAILED, SERVICE, 2, 0 } },
    true,
    false },
  { "two fail within a while",
    3,
    { { FAILED, SERVICE, 1, 0 }, { FAILED, SERVICE, 2, 1999 } },
    false,
    true },
  { "two fail at different times",
    3,
    { { FAILED, SERVICE, 1, 0 }, { FAILED, SERVICE, 2, 2000 } },
    true,
    false },
  { "two fail, then one answers",
    3,
    { { FAILED, SERVICE, 1, 0 },
      { FAILED, SERVICE, 2, 0 },
      { ANSWERED, SERVICE, 0, 0 } },
    true,
    false },
  { "targets of another service answer",
    3,
    { { FAILED, SERVICE, 1, 0 },
      { ANSWERED, OTHER_SERVICE, 0, 0 },
      { FAILED, SERVICE, 2, 0 } },
    false,
    true },
  { "one fails while another service is unreached",
    3,
    { { FAILED, OTHER_SERVICE, 1, 0 },
      { FAILED, OTHER_SERVICE, 2, 0 },
      { FAILED, SERVICE, 3, 5000 } },
    false,
    false },
  { "one fails, a third service answered since another became unreached",
    3,
    { { FAILED, OTHER_SERVICE, 1, 0 },
      { FAILED, OTHER_SERVICE, 2, 0 },
      { ANSWERED, THIRD_SERVICE, 0, 0 },
      { FAILED, SERVICE, 3, 0 } },
    true,
    false },
  { "targets of another service fail",
    3,
    { { FAILED, OTHER_SERVICE, 1, 0 }, { FAILED, OTHER_SERVICE, 2, 0 } },
    true,
    false },
};

START_TEST (service_is_unreached_after_two_targets_fail)
{
  csp_service_reach_t *reach = csp_create_service_reach ();
  uint32_t listed[2] = { 0 };
  int64_t now_ms = 1000;
  size_t i;

  for (i = 0; i < STEPS_MAX; i++)
    {
      const step_t *step = &cases[_i].steps[i];

      now_ms += step->after_ms;
      if (step->kind == ANSWERED)
        csp_note_connection_answered (reach, step->service);
      else if (step->kind == FAILED)
        csp_note_connection_failed (reach, step->service, step->target,
                                    cases[_i].ready_count, now_ms);
    }
  ck_assert_msg (csp_is_service_reached (reach, SERVICE) == cases[_i].reached,
                 "%s", cases[_i].name);
  ck_assert_msg (csp_take_service_reach_change (reach, SERVICE)
                     == !cases[_i].reached,
                 "%s", cases[_i].name);
  ck_assert (!csp_take_service_reach_change (reach, SERVICE));
  ck_assert_msg (csp_has_lost_paths (reach, SERVICE) == cases[_i].paths_lost,
                 "%s", cases[_i].name);
  csp_list_unreached_services (reach, listed, 2);
  ck_assert (cases[_i].reached || listed[0] == SERVICE
             || listed[1] == SERVICE);
  csp_destroy_service_reach (reach);
}
END_TEST

START_TEST (unreached_service_is_probed_until_an_answer)
{
  csp_service_reach_t *reach = csp_create_service_reach ();

  ck_assert (!csp_take_service_probe (reach, SERVICE, 1000));
  csp_note_connection_failed (reach, SERVICE, 1, 1, 1000);
  ck_assert (csp_take_service_probe (reach, SERVICE, 1000));
  ck_assert (!csp_take_service_probe (reach, SERVICE, 1499));
  ck_assert (csp_take_service_probe (reach, SERVICE, 1500));
  csp_note_connection_answered (reach, SERVICE);
  ck_assert (!csp_take_service_probe (reach, SERVICE, 9000));
  csp_destroy_service_reach (reach);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("service-reach");
  TCase *tcase = tcase_create ("service-reach");

  tcase_add_loop_test (tcase, service_is_unreached_after_two_targets_fail, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, unreached_service_is_probed_until_an_answer);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
