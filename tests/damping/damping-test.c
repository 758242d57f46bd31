#include "cowslipspoke/damping.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Damping of one target over a fake clock: which losses damp it, and for how
   long.  The target is in data centre 1.  */

enum
{
  BEGIN_MS = 100000,
  FIRST_MS = 1000, /* the first damping */
  LONGEST_MS = 16000
};

/* Steps: a kind, the time in ms, and two numbers.
     L  a host loses an attempt and reports it: host, data centre
     O  the same of the only host
     C  the same of a host where all hosts are in one data centre
     U  a loss whose report is lost
     A  a loss is reported late: host, age in ms
     X  too many targets are damped: it is released
     R  all hosts restart and forget their losses
   and what the state is: T trusted, D damped, P on probation.  */
static const struct
{
  const char *name;
  const char *steps;
} cases[] = {
  { "a flapping target is damped longer each time",
    "L0,1,1 T0 L5,2,1 D1004 P1005 L1800,3,1 D3799 P3800 T5800" },
  { "a single crash is damped once",
    "L0,1,1 L1,2,1 L2,3,1 L8,4,1 D1000 P1001 T2001 T9999" },
  { "one host that is cut off damps nothing",
    "L0,1,1 L100,1,1 L200,1,1 T200" },
  { "a data centre that is cut off damps nothing",
    "L0,1,2 L100,2,2 L200,3,2 T200 L300,4,3 D300" },
  { "where all hosts are in one data centre, two of them are evidence",
    "C0,1,2 T0 C10,1,2 T10 C20,2,2 D20" },
  { "losses far apart are no evidence", "L0,1,1 L2001,2,1 T2001" },
  { "the only host needs two losses", "O0,1,1 T0 O70,1,1 D70" },
  { "a lost report is made up for by the next", "L0,1,1 U50 A900,2,850 D900" },
  { "counts that fall are the new baseline",
    "U0 U0 L0,1,1 R100 L200,2,1 T200 L300,3,1 L310,2,1 D310" },
  { "a new decider takes recent losses as evidence", "A0,1,1900 A1,2,300 D1" },
  { "a new decider ignores old losses", "A0,1,2000 A1,2,9000 A2,3,2000 T2" },
  { "losses of the same moment don't damp a released target",
    "L0,1,1 L1,2,1 X2 T2 L3,3,1 L900,4,1 T1000 L1001,3,1 L1002,4,1 D1002 "
    "P2002" },
  { "a host that is cut off doesn't end probation after probation",
    "L0,1,1 L1,2,2 D1 L1100,2,2 P1100 L1200,2,2 P1200 T2001" },
  { "a cut-off host's loss and another's are evidence on probation",
    "L0,1,1 L1,2,2 D1 L1100,2,2 P1100 L1101,3,1 D1101" },
  { "another host's loss ends a probation", "L0,1,1 L1,2,2 L1100,3,2 D1100" },
  { "a loss near the target ends a probation",
    "L0,1,2 L1,2,1 L1100,2,1 D1100" },
  { "others' losses while damped don't help a cut-off host",
    "L0,1,1 L1,2,2 L2,3,1 L1100,2,2 P1100" },
  { "the only host needs two losses on probation too",
    "O0,1,2 O1,1,2 O1100,1,2 P1100 O1170,1,2 D1170" },
  { "a report of what was lost before doesn't end a probation",
    "L0,1,1 L1,2,1 A1100,3,1095 A1200,4,300 P1200 A1300,4,10 D1300" },
};

static void
check_state (const csp_damping_t *damping, char expected, const char *name,
             int at_ms)
{
  static const char states[] = { [CSP_TARGET_TRUSTED] = 'T',
                                 [CSP_TARGET_DAMPED] = 'D',
                                 [CSP_TARGET_ON_PROBATION] = 'P' };

  ck_assert_msg (states[damping->state] == expected, "%s: at %d ms", name,
                 at_ms);
}

/* Guards against targets that are damped on the word of one host or data
   centre, too late, or again for the same loss.  */
START_TEST (losses_damp_a_target)
{
  const char *steps = cases[_i].steps;
  csp_damping_t damping = { 0 };
  uint32_t failures = 0;
  uint32_t number = 0;
  uint32_t host = 0;
  int used = 0;
  int at_ms;
  char kind;

  for (; sscanf (steps, " %c%d%n,%u,%u%n", &kind, &at_ms, &used, &host,
                 &number, &used)
         >= 2;
       steps += used)
    {
      csp_damping_report_t report
          = { .host = host,
              .host_data_centre = kind == 'A' ? 1 : number,
              .target_data_centre = 1,
              .is_only_host = kind == 'O',
              .is_only_data_centre = kind == 'C',
              .age_ms = kind == 'A' ? number : 0 };

      csp_update_damping (&damping, BEGIN_MS + at_ms);
      if (strchr ("LOCUA", kind) != NULL)
        report.failures = ++failures;
      if (kind == 'R')
        failures = 0;
      if (kind == 'X')
        csp_release_damping (&damping, BEGIN_MS + at_ms);
      if (strchr ("TDP", kind) != NULL)
        check_state (&damping, kind, cases[_i].name, at_ms);
      else if (strchr ("LOCA", kind) != NULL)
        csp_note_damping_report (&damping, &report, BEGIN_MS + at_ms);
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
