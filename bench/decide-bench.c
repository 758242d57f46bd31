#include "fleet.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Compares the scheduling decisions with four simple dispatchers on a
   simulated fleet with the same arrivals.  --full runs all loads, baselines
   and parameter values; without it the run takes about 90 seconds.  */

enum
{
  SECOND_US = 1000000,
  FIXED_STREAMS_MIN = 8,
  FIXED_STREAMS_MAX = 14,
  MAX_BASELINES = 7,
  SMALL_ORGANISATION = 5
};

/* Useful throughput of at least this share of the best counts as equal.  */
static const double comparable_throughput = 0.98;

/* The measures of one simulation by which dispatchers are compared.
   preempted and stall_s are for 1000 started requests, refused and given_up
   for 100 requests.  */
typedef struct
{
  double preempted;
  double stall_s;
  double gap_p95_ms;
  double gap_p99_ms;
  double first_token_p50_s;
  double first_token_p99_s;
  double wait_p99_s;
  double refused;
  double given_up;
  double tokens_per_s;
  double lookup_first_token_p99_s;
  double small_first_token_p99_s;
  double small_wait_p99_s;
  double small_gap_p99_ms;
  double largest_first_token_p99_s;
} measures_t;

typedef struct
{
  const char *name;
  const char *unit;
  size_t offset;
} measure_row_t;

static const measure_row_t measure_rows[] = {
  { "preempted", "of_1000", offsetof (measures_t, preempted) },
  { "stall", "s_of_1000", offsetof (measures_t, stall_s) },
  { "gap_p95", "ms", offsetof (measures_t, gap_p95_ms) },
  { "gap_p99", "ms", offsetof (measures_t, gap_p99_ms) },
  { "first_token_p50", "s", offsetof (measures_t, first_token_p50_s) },
  { "first_token_p99", "s", offsetof (measures_t, first_token_p99_s) },
  { "wait_p99", "s", offsetof (measures_t, wait_p99_s) },
  { "refused", "of_100", offsetof (measures_t, refused) },
  { "given_up", "of_100", offsetof (measures_t, given_up) },
  { "useful", "tokens_a_s", offsetof (measures_t, tokens_per_s) },
  { "lookup_first_p99", "s", offsetof (measures_t, lookup_first_token_p99_s) },
  { "small_first_p99", "s", offsetof (measures_t, small_first_token_p99_s) },
  { "small_wait_p99", "s", offsetof (measures_t, small_wait_p99_s) },
  { "small_gap_p99", "ms", offsetof (measures_t, small_gap_p99_ms) },
  { "largest_first_p99", "s",
    offsetof (measures_t, largest_first_token_p99_s) },
};

enum
{
  MEASURES = sizeof measure_rows / sizeof measure_rows[0]
};

static double
get_measure (const measures_t *measures, uint32_t row)
{
  double value;

  memcpy (&value, (const char *)measures + measure_rows[row].offset,
          sizeof value);
  return value;
}

static double
scale_ratio (double part, uint64_t count, double scale)
{
  return scale * part / (double)(count ? count : 1);
}

static measures_t
run_simulation (const simulation_settings_t *settings,
                const arrivals_plan_t *plan)
{
  results_t r;
  measures_t measures;
  outcome_t *all = &r.all;
  outcome_t *small = &r.small_organisations;

  simulate_fleet (settings, plan, &r);
  measures.preempted
      = scale_ratio ((double)all->preempted, all->started, 1000);
  measures.stall_s = scale_ratio (all->stall_s, all->started, 1000);
  measures.gap_p95_ms = gap_quantile_ms (&all->gaps, 0.95);
  measures.gap_p99_ms = gap_quantile_ms (&all->gaps, 0.99);
  measures.first_token_p50_s = first_token_quantile_s (all, 0.5);
  measures.first_token_p99_s = first_token_quantile_s (all, 0.99);
  measures.wait_p99_s = wait_quantile_s (all, 0.99);
  measures.refused = scale_ratio ((double)all->refused, all->requests, 100);
  measures.given_up = scale_ratio ((double)all->given_up, all->requests, 100);
  measures.tokens_per_s = (double)all->tokens / r.seconds;
  measures.lookup_first_token_p99_s
      = first_token_quantile_s (&r.classes[CLASS_LOOKUP], 0.99);
  measures.small_first_token_p99_s = first_token_quantile_s (small, 0.99);
  measures.small_wait_p99_s = wait_quantile_s (small, 0.99);
  measures.small_gap_p99_ms = gap_quantile_ms (&small->gaps, 0.99);
  measures.largest_first_token_p99_s
      = first_token_quantile_s (&r.organisations[LARGEST_ORGANISATION], 0.99);
  free_results (&r);
  return measures;
}

static void
print_line (const char *scope, const char *name, double baseline, double now,
            const char *unit)
{
  printf ("decide.%s.%s baseline=%.3f now=%.3f ratio=%.3f unit=%s\n", scope,
          name, baseline, now, baseline > 0 ? now / baseline : 0, unit);
  fflush (stdout);
}

static void
print_all (const char *scope, const measures_t *baseline,
           const measures_t *now)
{
  uint32_t i;

  for (i = 0; i < MEASURES; i++)
    print_line (scope, measure_rows[i].name, get_measure (baseline, i),
                get_measure (now, i), measure_rows[i].unit);
}

static arrivals_plan_t
make_plan (uint32_t engines, double load, int64_t seconds)
{
  arrivals_plan_t plan = { .seed = 1,
                           .engines = engines,
                           .load = load,
                           .duration_us = seconds * SECOND_US,
                           .only_organisation = ALL_ORGANISATIONS,
                           .length_factor = 1 };

  return plan;
}

static simulation_settings_t
decision_settings (uint32_t hosts)
{
  simulation_settings_t settings
      = default_simulation_settings (DISPATCH_DECISIONS);

  settings.hosts = hosts;
  return settings;
}

/* Returns the baseline with the fewest preemptions among those whose useful
   throughput is within 2 % of the highest.  */
static uint32_t
find_best (const measures_t *measures, uint32_t count)
{
  double most = 0;
  uint32_t best = 0;
  uint32_t i;

  for (i = 0; i < count; i++)
    if (measures[i].tokens_per_s > most)
      {
        most = measures[i].tokens_per_s;
        best = i;
      }
  for (i = 0; i < count; i++)
    if (measures[i].tokens_per_s >= comparable_throughput * most
        && measures[i].preempted < measures[best].preempted)
      best = i;
  return best;
}

static measures_t
measure_baselines (const arrivals_plan_t *plan, bool full)
{
  static const char *const names[]
      = { "round_robin", "least_outstanding", "first_come" };
  measures_t measures[MAX_BASELINES];
  char name[MAX_BASELINES][32];
  uint32_t count = 0;
  uint32_t best;
  uint32_t i;
  simulation_settings_t settings;

  for (i = 0; i < 3; i++)
    {
      settings = default_simulation_settings ((dispatch_t)i);
      snprintf (name[count], sizeof name[count], "%s", names[i]);
      measures[count++] = run_simulation (&settings, plan);
    }
  for (i = FIXED_STREAMS_MIN; i <= FIXED_STREAMS_MAX; i += 2)
    {
      if (!full && i != 10 && i != 12)
        continue;
      settings = default_simulation_settings (DISPATCH_FIXED_STREAMS);
      settings.fixed_streams = i;
      snprintf (name[count], sizeof name[count], "fixed_%u", i);
      measures[count++] = run_simulation (&settings, plan);
    }
  best = find_best (measures, count);
  for (i = 0; i < count; i++)
    printf ("# %u engines, load %.1f, %-17s preempted %6.2f of 1000, stall "
            "%6.1f s of 1000, gap p99 %5.1f ms, first p99 %6.2f s, unserved "
            "%4.1f of 100, useful %6.0f tokens/s%s\n",
            plan->engines, plan->load, name[i], measures[i].preempted,
            measures[i].stall_s, measures[i].gap_p99_ms,
            measures[i].first_token_p99_s,
            measures[i].refused + measures[i].given_up,
            measures[i].tokens_per_s, i == best ? "  <- best baseline" : "");
  return measures[best];
}

static void
compare_with_baselines (uint32_t engines, uint32_t hosts, int64_t seconds,
                        bool full)
{
  static const double loads[] = { 0.5, 0.7, 0.9, 1.1, 1.5 };
  simulation_settings_t decisions = decision_settings (hosts);
  measures_t baseline;
  measures_t now;
  arrivals_plan_t plan;
  char scope[64];
  uint32_t i;

  for (i = 0; i < sizeof loads / sizeof loads[0]; i++)
    {
      if (!full && loads[i] != 0.9 && loads[i] != 1.5)
        continue;
      plan = make_plan (engines, loads[i], seconds);
      baseline = measure_baselines (&plan, full);
      now = run_simulation (&decisions, &plan);
      snprintf (scope, sizeof scope, "engines_%u.load_%.1f", engines,
                loads[i]);
      print_all (scope, &baseline, &now);
    }
}

/* Compares the fleet with and without each decision; the baseline is without.
   Preemption is compared with admission switched off on both sides, since
   admission leaves no streams to preempt.  */
static void
compare_each_switched_off (bool full)
{
  static const struct
  {
    const char *name;
    double slow;
    double length_factor;
  } rows[] = {
    { "admission", 1, 1 },   { "learning", 1, 1 },
    { "fairness", 1, 1 },    { "placement", 1, 1 },
    { "prefixes", 1, 1 },    { "health", 3, 1 },
    { "preemption", 1, 1 },  { "reserve_for_others", 1, 1 },
    { "flight_news", 1, 1 },
  };
  static const double loads[] = { 0.9, 1.5 };
  simulation_settings_t off;
  simulation_settings_t on;
  arrivals_plan_t plan;
  measures_t without;
  measures_t with;
  char scope[64];
  uint32_t i;
  uint32_t j;

  for (i = 0; i < sizeof rows / sizeof rows[0]; i++)
    for (j = 0; j < 2; j++)
      {
        plan = make_plan (12, loads[j], full ? 1800 : 600);
        plan.length_factor = rows[i].length_factor;
        on = decision_settings (8);
        on.slow_factor = rows[i].slow;
        on.no_admission = i == 6;
        off = on;
        off.no_admission = i == 0 || i == 6;
        off.no_learning = i == 1;
        off.no_fairness = i == 2;
        off.no_placement = i == 3;
        off.no_prefixes = i == 4;
        off.no_health = i == 5;
        off.no_preemption = i == 6;
        off.no_in_flight_reports = i == 8;
        if (i == 7)
          off.queue.lending_reserve = 0;
        with = run_simulation (&on, &plan);
        without = run_simulation (&off, &plan);
        snprintf (scope, sizeof scope, "without_%s.load_%.1f", rows[i].name,
                  loads[j]);
        print_line (scope, "preempted", without.preempted, with.preempted,
                    "of_1000");
        print_line (scope, "stall", without.stall_s, with.stall_s,
                    "s_of_1000");
        print_line (scope, "gap_p99", without.gap_p99_ms, with.gap_p99_ms,
                    "ms");
        print_line (scope, "first_token_p50", without.first_token_p50_s,
                    with.first_token_p50_s, "s");
        print_line (scope, "first_token_p99", without.first_token_p99_s,
                    with.first_token_p99_s, "s");
        print_line (scope, "small_first_p99", without.small_first_token_p99_s,
                    with.small_first_token_p99_s, "s");
        print_line (scope, "unserved", without.refused + without.given_up,
                    with.refused + with.given_up, "of_100");
        print_line (scope, "useful", without.tokens_per_s, with.tokens_per_s,
                    "tokens_a_s");
      }
}

/* Prints how a limit on the streams of an engine, in addition to the memory
   reserve, makes steps shorter and first tokens later.  */
static void
print_stream_limit_curve (void)
{
  static const uint32_t stream_limits[] = { 0, 10, 12, 14 };
  static const double loads[] = { 0.9, 1.5 };
  arrivals_plan_t plan;
  simulation_settings_t settings;
  measures_t measures;
  uint32_t i;
  uint32_t j;

  for (j = 0; j < 2; j++)
    for (i = 0; i < sizeof stream_limits / sizeof stream_limits[0]; i++)
      {
        plan = make_plan (12, loads[j], 900);
        settings = decision_settings (8);
        settings.admission.max_streams = stream_limits[i];
        measures = run_simulation (&settings, &plan);
        printf ("# bound on streams: load %.1f bound %2u gap p95 %.1f ms, gap "
                "p99 %.1f ms, first p50 %.2f s, preempted %.2f of 1000, "
                "unserved %5.2f of 100, useful %.0f tokens/s\n",
                loads[j], stream_limits[i], measures.gap_p95_ms,
                measures.gap_p99_ms, measures.first_token_p50_s,
                measures.preempted, measures.refused + measures.given_up,
                measures.tokens_per_s);
      }
}

/* Prints the waits and refusals that a larger memory reserve costs: first the
   reserve for outputs that grow longer than expected, then the one kept from
   borrowing.  */
static void
print_reserve_curves (bool full)
{
  static const double risks[] = { 1.5, 0, 1, 2, 3, 0.5, 2.5, 4 };
  static const double lending_reserves[] = { 0, 0.1, 0.05, 0.15 };
  static const double loads[] = { 0.9, 1.5 };
  arrivals_plan_t plan;
  simulation_settings_t settings;
  measures_t measures;
  uint32_t i;
  uint32_t j;

  for (j = 0; j < 2; j++)
    for (i = 0; i < (full ? 8 : 5); i++)
      {
        plan = make_plan (12, loads[j], full ? 3600 : 900);
        settings = decision_settings (8);
        settings.admission.risk = risks[i];
        measures = run_simulation (&settings, &plan);
        printf ("# reserve: load %.1f risk %.1f preempted %5.2f of 1000, "
                "stall %5.1f s of 1000, gap p99 %.1f ms, wait p99 %5.2f s, "
                "unserved %5.2f of 100, useful %.0f tokens/s\n",
                loads[j], risks[i], measures.preempted, measures.stall_s,
                measures.gap_p99_ms, measures.wait_p99_s,
                measures.refused + measures.given_up, measures.tokens_per_s);
      }
  for (j = 0; j < 2; j++)
    for (i = 0; i < (full ? 4 : 2); i++)
      {
        plan = make_plan (12, loads[j], full ? 3600 : 600);
        settings = decision_settings (8);
        settings.queue.lending_reserve = lending_reserves[i];
        measures = run_simulation (&settings, &plan);
        printf ("# kept from borrowers: load %.1f share %.2f small wait p99 "
                "%.2f s, small first p99 %.2f s, unserved %5.2f of 100, "
                "useful %.0f tokens/s\n",
                loads[j], lending_reserves[i], measures.small_wait_p99_s,
                measures.small_first_token_p99_s,
                measures.refused + measures.given_up, measures.tokens_per_s);
      }
}

/* Compares the seven small organisations on the shared fleet with one of them
   alone on the whole fleet, and alone on one engine, which is about its share
   of twelve.  */
static void
compare_small_with_alone (bool full)
{
  static const double loads[] = { 0.9, 1.5 };
  arrivals_plan_t plan;
  simulation_settings_t settings;
  measures_t alone;
  measures_t alone_on_one_engine;
  measures_t shared;
  char scope[64];
  uint32_t i;

  for (i = 0; i < 2; i++)
    {
      plan = make_plan (12, loads[i], full ? 3600 : 900);
      settings = decision_settings (8);
      shared = run_simulation (&settings, &plan);
      plan.only_organisation = SMALL_ORGANISATION;
      alone = run_simulation (&settings, &plan);
      settings.hosts = 1;
      settings.engines = 1;
      alone_on_one_engine = run_simulation (&settings, &plan);
      snprintf (scope, sizeof scope, "small_vs_alone.load_%.1f", loads[i]);
      print_line (scope, "first_token_p99", alone.small_first_token_p99_s,
                  shared.small_first_token_p99_s, "s");
      print_line (scope, "wait_p99", alone.small_wait_p99_s,
                  shared.small_wait_p99_s, "s");
      print_line (scope, "gap_p99", alone.small_gap_p99_ms,
                  shared.small_gap_p99_ms, "ms");
      snprintf (scope, sizeof scope, "small_vs_own_engine.load_%.1f",
                loads[i]);
      print_line (scope, "first_token_p99",
                  alone_on_one_engine.small_first_token_p99_s,
                  shared.small_first_token_p99_s, "s");
      print_line (scope, "wait_p99", alone_on_one_engine.small_wait_p99_s,
                  shared.small_wait_p99_s, "s");
      print_line (scope, "gap_p99", alone_on_one_engine.small_gap_p99_ms,
                  shared.small_gap_p99_ms, "ms");
    }
}

/* Compares the time to the first token at an engine that comes back while the
   fleet is saturated, with and without slow start, over several seeds.  */
static void
measure_return (void)
{
  arrivals_plan_t plan = make_plan (12, 1.5, 200);
  simulation_settings_t settings = decision_settings (1);
  results_t r;
  double seconds[2] = { 0, 0 };
  uint64_t count[2] = { 0, 0 };
  uint32_t i;

  settings.lost_from_us = 100LL * SECOND_US;
  settings.lost_until_us = 160LL * SECOND_US;
  settings.faulty_engine = 3;
  for (plan.seed = 1; plan.seed <= 12; plan.seed++)
    for (i = 0; i < 2; i++)
      {
        settings.no_slow_start = i == 1;
        simulate_fleet (&settings, &plan, &r);
        seconds[i] += r.sent_after_return.sent_to_first_token_s;
        count[i] += r.sent_after_return.first_token_count;
        free_results (&r);
      }
  print_line ("without_shift.load_1.5", "first_token_after_return",
              scale_ratio (seconds[1], count[1], 1),
              scale_ratio (seconds[0], count[0], 1), "s");
}

int
main (int argc, char **argv)
{
  bool full = argc > 1 && strcmp (argv[1], "--full") == 0;

  compare_with_baselines (12, 8, full ? 3600 : 900, full);
  compare_with_baselines (430, 12, full ? 600 : 180, full);
  compare_each_switched_off (full);
  print_reserve_curves (full);
  print_stream_limit_curve ();
  compare_small_with_alone (full);
  measure_return ();
  return EXIT_SUCCESS;
}
