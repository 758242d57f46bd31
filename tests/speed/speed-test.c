#include "cowslipspoke/random.h"
#include "cowslipspoke/speed.h"

#include "support/run-suite.h"

#include <check.h>
#include <math.h>
#include <string.h>

/* What hosts measure and the decider rates, at engines whose steps are played
   by the pattern that was measured: slow spells of 0.6 s, and steps that read
   prompts.  */

enum
{
  ENGINES = 12,
  HOSTS = 3, /* that run one stream each at every engine */
  US_PER_MS = 1000,
  REPORT_PERIOD_MS = 1000,
  SPELL_MS = 600,
  SPELL_PERIOD_MS = 4000, /* 15 in 100 of the time */
  UNLIKE = 4,             /* engines that may differ from the others */
  SLOW_FROM_MS = 6000,
  SLOW_UNTIL_MS = 12000,
  LONG_MS = 20000,
  GAP_MS = 180
};

static const double spell_factor = 2.5;
static const double prefill_factor = 2.1;

/* Engines 0 to 3 have steps of their own.  The first slow_count of them take
   some times as long from SLOW_FROM_MS to SLOW_UNTIL_MS.  */
typedef struct
{
  const char *name;
  double step_ms[2];    /* of engines 0 to 3, and of the others */
  double prefill_share; /* of the steps; with prompts there are spells, too */
  double slow_factor;
  size_t slow_count;
  int64_t from_ms; /* checked from here to until_ms */
  int64_t until_ms;
  double slowness_min; /* of engine 0 */
  double slowness_max;
  bool pauses; /* verdict on engine 0 */
} case_t;

static const case_t cases[] = {
  { "two speeds", { 54, 22 }, 0, 1, 0, 2000, LONG_MS, 2.2, 2.7, false },
  { "and prompts", { 54, 22 }, 0.4, 1, 0, 3000, LONG_MS, 1.8, 3.1, true },
  { "even engines", { 32, 32 }, 0.4, 1, 0, 0, LONG_MS, 1, 1, false },
  { "mostly prompts", { 32, 32 }, 0.8, 1, 0, 0, LONG_MS, 1, 1, false },
  { "1.0 and 1.3", { 41.6, 32 }, 0.2, 1, 0, 0, LONG_MS, 1, 1, false },
  { "slow for 6 s",
    { 32, 32 },
    0,
    2.5,
    UNLIKE,
    11000,
    12000,
    1.8,
    2.6,
    false },
  { "recovered", { 32, 32 }, 0, 2.5, UNLIKE, 15000, LONG_MS, 1, 1, false },
  { "one of twelve", { 32, 32 }, 0, 2.5, 1, 0, LONG_MS, 1, 1, false },
};

static csp_random_t draws;
static csp_speed_sample_t samples[HOSTS][ENGINES];
static double next_ms[HOSTS][ENGINES];
static csp_speed_t speeds[ENGINES];
static double stretch;

/* The duration of the next step of a stream.  Spells of engines don't
   coincide.  */
static double
play_step (const case_t *test_case, size_t engine, int64_t now_ms)
{
  double step_ms = test_case->step_ms[engine >= UNLIKE];
  int64_t phase_ms = (now_ms + (int64_t)engine * SPELL_MS) % SPELL_PERIOD_MS;

  if (test_case->prefill_share > 0 && phase_ms < SPELL_MS)
    step_ms *= spell_factor;
  if (csp_random_unit (&draws) < test_case->prefill_share)
    step_ms *= prefill_factor;
  if (engine < test_case->slow_count && now_ms >= SLOW_FROM_MS
      && now_ms < SLOW_UNTIL_MS)
    step_ms *= test_case->slow_factor;
  return step_ms;
}

static void
play_engine (const case_t *test_case, size_t host, size_t engine,
             int64_t now_ms)
{
  csp_speed_sample_t *sample = &samples[host][engine];

  while (next_ms[host][engine] <= (double)now_ms)
    {
      double step_ms = play_step (test_case, engine, now_ms);

      next_ms[host][engine] += step_ms;
      csp_note_event_interval (sample, step_ms, now_ms);
    }
  if (now_ms % REPORT_PERIOD_MS == 0)
    csp_merge_speed_report (&speeds[engine],
                            csp_report_usual_us (sample, now_ms),
                            csp_report_longest_us (sample, now_ms), now_ms);
}

static void
rate (int64_t now_ms)
{
  csp_speed_t *rated[ENGINES];
  size_t i;

  for (i = 0; i < ENGINES; i++)
    rated[i] = &speeds[i];
  stretch = csp_rate_speeds (rated, ENGINES, now_ms);
}

static void
expect (const case_t *test_case, int64_t now_ms)
{
  double slowness = csp_get_slowness (&speeds[0]);
  size_t i;

  ck_assert_msg (slowness >= test_case->slowness_min
                     && slowness <= test_case->slowness_max,
                 "%s: slowness %g at %d ms", test_case->name, slowness,
                 (int)now_ms);
  ck_assert_msg (csp_may_pause_too_long (&speeds[0], stretch, GAP_MS)
                     == test_case->pauses,
                 "%s: usual %g, stretch %g at %d ms", test_case->name,
                 speeds[0].usual_ms, stretch, (int)now_ms);
  for (i = UNLIKE; i < ENGINES; i++)
    ck_assert_msg (
        csp_get_slowness (&speeds[i]) <= 1
            && !csp_may_pause_too_long (&speeds[i], stretch, GAP_MS),
        "%s: engine %zu at %d ms", test_case->name, i, (int)now_ms);
}

static void
reset (void)
{
  csp_seed_random (&draws, 7);
  memset (samples, 0, sizeof samples);
  memset (next_ms, 0, sizeof next_ms);
  memset (speeds, 0, sizeof speeds);
}

/* Guards against placement as if all engines had one speed, and against
   verdicts on even engines.  */
START_TEST (engines_are_rated_by_their_speed)
{
  const case_t *test_case = &cases[_i];
  int64_t now_ms;
  size_t host;
  size_t engine;

  reset ();
  for (now_ms = 1; now_ms <= test_case->until_ms; now_ms++)
    {
      for (host = 0; host < HOSTS; host++)
        for (engine = 0; engine < ENGINES; engine++)
          play_engine (test_case, host, engine, now_ms);
      if (now_ms % REPORT_PERIOD_MS != 0)
        continue;
      rate (now_ms);
      if (now_ms >= test_case->from_ms)
        expect (test_case, now_ms);
    }
}
END_TEST

/* Guards against estimates that need long at one scale of time, or after an
   unusual first interval.  */
START_TEST (estimates_converge_within_32_intervals)
{
  static const double usual_ms[] = { 2, 22, 54, 900 };
  static const double first_factors[] = { 0.1, 0.5, 1, 2.5, 40 };
  size_t i;
  size_t j;
  int n;

  for (i = 0; i < sizeof usual_ms / sizeof usual_ms[0]; i++)
    for (j = 0; j < sizeof first_factors / sizeof first_factors[0]; j++)
      {
        csp_speed_sample_t sample = { .samples = 0 };

        csp_note_event_interval (&sample, usual_ms[i] * first_factors[j], 0);
        for (n = 1; n < 32; n++)
          csp_note_event_interval (&sample, usual_ms[i], n);
        ck_assert_msg (fabs (sample.usual_ms / usual_ms[i] - 1) < 0.1,
                       "%g ms after a first of %g times: %g", usual_ms[i],
                       first_factors[j], sample.usual_ms);
      }
}
END_TEST

/* A host's reports as it measures: a restarted one has nothing to say until it
   has some intervals.  */
START_TEST (reports_begin_with_enough_intervals)
{
  csp_speed_sample_t sample = { .samples = 0 };
  int n;

  for (n = 1; n <= 20; n++)
    {
      csp_note_event_interval (&sample, 30, n);
      ck_assert_int_eq (csp_report_usual_us (&sample, n) != 0, n >= 4);
      ck_assert_int_eq (csp_report_longest_us (&sample, n) != 0, n >= 16);
    }
  csp_note_event_interval (&sample, 120, 100);
  ck_assert_uint_eq (csp_report_longest_us (&sample, 100), 120 * US_PER_MS);
  ck_assert_uint_eq (csp_report_longest_us (&sample, 10100), 60 * US_PER_MS);
  /* Load without events says nothing about the speed now.  */
  ck_assert_uint_eq (csp_report_usual_us (&sample, 10101), 0);
  ck_assert_uint_eq (csp_report_longest_us (&sample, 10101), 0);
  /* The next run comes minutes later.  */
  csp_note_event_interval (&sample, 90, 200000);
  ck_assert_uint_eq (csp_report_usual_us (&sample, 200000), 0);
}
END_TEST

START_TEST (changes_by_more_than_a_fifth_are_news)
{
  ck_assert (!csp_is_speed_news (0, 0, 0, 0));
  ck_assert (csp_is_speed_news (30000, 0, 0, 0));
  ck_assert (csp_is_speed_news (30000, 90000, 30000, 0));
  ck_assert (!csp_is_speed_news (35000, 900000, 30000, 80000));
  ck_assert (csp_is_speed_news (37000, 90000, 30000, 80000));
  ck_assert (csp_is_speed_news (23000, 90000, 30000, 80000));
}
END_TEST

static void
merge_all (size_t count, uint32_t longest_us)
{
  size_t i;

  memset (speeds, 0, sizeof speeds);
  for (i = 0; i < count; i++)
    csp_merge_speed_report (&speeds[i], i < 2 ? 60000 : 20000, longest_us,
                            1000);
}

/* Guards against verdicts on little evidence, and on evidence of long ago.  */
START_TEST (little_or_old_evidence_rates_nothing)
{
  merge_all (5, 90000);
  rate (1000);
  ck_assert_double_eq_tol (csp_get_slowness (&speeds[0]), 3, 1e-9);
  /* Hosts without streams there, or that have restarted, report zeros.  */
  csp_merge_speed_report (&speeds[0], 0, 0, 2000);
  rate (2000);
  ck_assert_double_eq_tol (csp_get_slowness (&speeds[0]), 3, 1e-9);
  rate (62000);
  ck_assert_double_eq (csp_get_slowness (&speeds[0]), 1);
  ck_assert_double_eq (stretch, 1);
  merge_all (3, 90000); /* too few targets */
  rate (1000);
  ck_assert_double_eq (csp_get_slowness (&speeds[0]), 1);
  merge_all (5, 0); /* too few intervals */
  rate (1000);
  ck_assert_double_eq (csp_get_slowness (&speeds[0]), 1);
  ck_assert (!csp_may_pause_too_long (&speeds[0], stretch, 1));
}
END_TEST

START_TEST (changes_are_logged_at_most_once_in_5_s)
{
  csp_speed_t speed = { .slowness = 1.2 };

  ck_assert (!csp_take_speed_change (&speed, 1000));
  speed.slowness = 1.8;
  ck_assert (csp_take_speed_change (&speed, 2000));
  speed.slowness = 1.6;
  ck_assert (!csp_take_speed_change (&speed, 6000));
  ck_assert (csp_take_speed_change (&speed, 7000));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("speed");
  TCase *tcase = tcase_create ("speed");

  tcase_add_loop_test (tcase, engines_are_rated_by_their_speed, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, estimates_converge_within_32_intervals);
  tcase_add_test (tcase, reports_begin_with_enough_intervals);
  tcase_add_test (tcase, changes_by_more_than_a_fifth_are_news);
  tcase_add_test (tcase, little_or_old_evidence_rates_nothing);
  tcase_add_test (tcase, changes_are_logged_at_most_once_in_5_s);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
