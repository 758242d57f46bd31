#include "cowslipspoke/damping.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

/* Damping of one target over a fake clock: which losses damp it, and for how
   long.  The target is in data centre 1.  */

enum
{
  STEPS_MAX = 12,
  BEGIN_MS = 100000,
  FIRST_MS = 1000, /* the first damping */
  LONGEST_MS = 16000
};

typedef enum
{
  END,
  LOSS,       /* a host loses an attempt and reports it */
  ONLY_LOSS,  /* the same of the only host */
  UNREPORTED, /* the report of a loss is lost */
  LATE,       /* the loss was so many ms before its report */
  RESTART,    /* all hosts forget their losses */
  IS          /* the target has this state */
} step_kind_t;

typedef struct
{
  step_kind_t kind;
  int64_t at_ms;
  uint32_t host;
  uint32_t value; /* data centre, age or state */
} step_t;

static const struct
{
  const char *name;
  step_t steps[STEPS_MAX];
} cases[] = {
  { "a flapping target is damped longer each time",
    { { LOSS, 0, 1, 1 },
      { IS, 0, 0, CSP_TARGET_TRUSTED },
      { LOSS, 5, 2, 1 },
      { IS, 1004, 0, CSP_TARGET_DAMPED },
      { IS, 1005, 0, CSP_TARGET_ON_PROBATION },
      { LOSS, 1800, 3, 1 },
      { IS, 3799, 0, CSP_TARGET_DAMPED },
      { IS, 3800, 0, CSP_TARGET_ON_PROBATION },
      { IS, 5800, 0, CSP_TARGET_TRUSTED } } },
  { "a single crash is damped once",
    { { LOSS, 0, 1, 1 },
      { LOSS, 1, 2, 1 },
      { LOSS, 2, 3, 1 },
      { LOSS, 8, 4, 1 },
      { IS, 1001, 0, CSP_TARGET_ON_PROBATION },
      { IS, 2001, 0, CSP_TARGET_TRUSTED } } },
  { "one host that is cut off damps nothing",
    { { LOSS, 0, 1, 1 },
      { LOSS, 100, 1, 1 },
      { LOSS, 200, 1, 1 },
      { IS, 200, 0, CSP_TARGET_TRUSTED } } },
  { "a data centre that is cut off damps nothing",
    { { LOSS, 0, 1, 2 },
      { LOSS, 100, 2, 2 },
      { LOSS, 200, 3, 2 },
      { IS, 200, 0, CSP_TARGET_TRUSTED },
      { LOSS, 300, 4, 3 },
      { IS, 300, 0, CSP_TARGET_DAMPED } } },
  { "losses of two hosts far apart are no evidence",
    { { LOSS, 0, 1, 1 },
      { LOSS, 2001, 2, 1 },
      { IS, 2001, 0, CSP_TARGET_TRUSTED } } },
  { "the only host needs two losses",
    { { ONLY_LOSS, 0, 1, 1 },
      { IS, 0, 0, CSP_TARGET_TRUSTED },
      { ONLY_LOSS, 70, 1, 1 },
      { IS, 70, 0, CSP_TARGET_DAMPED } } },
  { "a lost report is made up for by the next",
    { { LOSS, 0, 1, 1 },
      { UNREPORTED, 50, 2, 1 },
      { LATE, 900, 2, 850 },
      { IS, 900, 0, CSP_TARGET_DAMPED } } },
  { "counts that fall are the new baseline",
    { { UNREPORTED, 0, 1, 1 },
      { UNREPORTED, 0, 1, 1 },
      { LOSS, 0, 1, 1 },
      { RESTART, 100, 0, 0 },
      { LOSS, 200, 2, 1 },
      { IS, 200, 0, CSP_TARGET_TRUSTED },
      { LOSS, 300, 3, 1 },
      { LOSS, 310, 2, 1 },
      { IS, 310, 0, CSP_TARGET_DAMPED } } },
  { "a new decider takes recent losses as evidence",
    { { LATE, 0, 1, 1900 },
      { LATE, 1, 2, 300 },
      { IS, 1, 0, CSP_TARGET_DAMPED } } },
  { "a new decider ignores old losses",
    { { LATE, 0, 1, 2000 },
      { LATE, 1, 2, 9000 },
      { LATE, 2, 3, 2000 },
      { IS, 2, 0, CSP_TARGET_TRUSTED } } },
  { "a report of what was lost before doesn't end a probation",
    { { LOSS, 0, 1, 1 },
      { LOSS, 1, 2, 1 },
      { LATE, 1100, 3, 1095 },
      { LATE, 1200, 4, 300 },
      { IS, 1200, 0, CSP_TARGET_ON_PROBATION },
      { LATE, 1300, 4, 10 },
      { IS, 1300, 0, CSP_TARGET_DAMPED } } },
};

/* Guards against targets that are damped on the word of one host or data
   centre, too late, or again for the same loss.  */
START_TEST (losses_damp_a_target)
{
  csp_damping_t damping = { 0 };
  uint32_t failures = 0;
  const step_t *step;

  for (step = cases[_i].steps; step->kind != END; step++)
    {
      int64_t now_ms = BEGIN_MS + step->at_ms;
      csp_damping_report_t report
          = { .host = step->host,
              .host_data_centre = step->kind == LATE ? 1 : step->value,
              .target_data_centre = 1,
              .is_only_host = step->kind == ONLY_LOSS,
              .age_ms = step->kind == LATE ? step->value : 0 };

      failures += step->kind != IS;
      if (step->kind == RESTART)
        failures = 0;
      report.failures = failures;
      csp_update_damping (&damping, now_ms);
      if (step->kind == IS)
        ck_assert_msg (damping.state == step->value, "%s: at %d ms",
                       cases[_i].name, (int)step->at_ms);
      else if (step->kind != UNREPORTED && step->kind != RESTART)
        csp_note_damping_report (&damping, &report, now_ms);
    }
}
END_TEST

static bool
lose (csp_damping_t *damping, uint64_t host, int64_t now_ms)
{
  csp_damping_report_t report
      = { .host = host, .failures = damping->known_failures + 1 };

  return csp_note_damping_report (damping, &report, now_ms);
}

/* Guards against a flapping target that is tried again every second, and
   against one that is never forgiven.  */
START_TEST (durations_double_and_are_reset)
{
  csp_damping_t damping = { 0 };
  int64_t now_ms = BEGIN_MS;
  uint32_t expected_ms;

  lose (&damping, 1, now_ms);
  for (expected_ms = FIRST_MS; expected_ms < 4 * LONGEST_MS; expected_ms *= 2)
    {
      ck_assert (lose (&damping, 2, now_ms));
      ck_assert_uint_eq (damping.duration_ms,
                         expected_ms < LONGEST_MS ? expected_ms : LONGEST_MS);
      now_ms += damping.duration_ms;
    }
  now_ms += LONGEST_MS;
  csp_update_damping (&damping, now_ms + 4 * LONGEST_MS - 1);
  ck_assert_uint_eq (damping.times, 6);
  csp_update_damping (&damping, now_ms + 4 * LONGEST_MS);
  ck_assert_uint_eq (damping.times, 0);
  now_ms += 5 * LONGEST_MS;
  lose (&damping, 1, now_ms);
  ck_assert (lose (&damping, 2, now_ms));
  ck_assert_uint_eq (damping.duration_ms, FIRST_MS);
}
END_TEST

/* Guards against a target that is filled as soon as it is on probation.  */
START_TEST (probation_allows_few_short_requests)
{
  csp_damping_t damping = { 0 };
  int64_t now_ms = BEGIN_MS;
  uint32_t allowed;
  uint32_t i;

  lose (&damping, 1, now_ms);
  ck_assert (lose (&damping, 2, now_ms));
  ck_assert (!csp_damping_allows (&damping, 0, 1, now_ms + FIRST_MS - 1));
  now_ms += FIRST_MS;
  csp_update_damping (&damping, now_ms);
  for (allowed = 1; allowed <= 8; allowed *= 2)
    {
      ck_assert (csp_damping_allows (&damping, allowed - 1, 999, now_ms));
      ck_assert (!csp_damping_allows (&damping, allowed, 999, now_ms));
      ck_assert (!csp_damping_allows (&damping, 0, 1000, now_ms));
      for (i = 0; i < allowed; i++)
        csp_note_damping_success (&damping);
    }
  ck_assert (csp_damping_allows (&damping, 99, 9999, now_ms + FIRST_MS));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("damping");
  TCase *tests = tcase_create ("targets");

  tcase_add_loop_test (tests, losses_damp_a_target, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tests, durations_double_and_are_reset);
  tcase_add_test (tests, probation_allows_few_short_requests);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
