#include "fleet.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The decisions against four ways to do without them, over one model of
   engines and the same arrivals.  With --full all loads, curves and fleets;
   without, what fits into a minute and a half.  */

enum
{
  SECOND_US = 1000000,
  FIXED_FIRST = 8,
  FIXED_LAST = 14,
  BASELINES = 7,
  SMALL = 5
};

/* Useful throughput within this share of the best counts as the same.  */
static const double same_throughput = 0.98;

/* The measures of one play, by which ways are compared.  */
typedef struct
{
  double preempted;
  double stall_s;
  double gap95_ms;
  double gap99_ms;
  double first50_s;
  double first99_s;
  double wait99_s;
  double refused;
  double given_up;
  double tokens_per_s;
  double lookup99_s;
  double small99_s;
  double small_wait99_s;
  double small_gap99_ms;
  double largest99_s;
} figures_t;

typedef struct
{
  const char *name;
  const char *unit;
  size_t offset;
} figure_row_t;

static const figure_row_t figure_rows[] = {
  { "preempted", "of_1000", offsetof (figures_t, preempted) },
  { "stall", "s_of_1000", offsetof (figures_t, stall_s) },
  { "gap_p95", "ms", offsetof (figures_t, gap95_ms) },
  { "gap_p99", "ms", offsetof (figures_t, gap99_ms) },
  { "first_token_p50", "s", offsetof (figures_t, first50_s) },
  { "first_token_p99", "s", offsetof (figures_t, first99_s) },
  { "wait_p99", "s", offsetof (figures_t, wait99_s) },
  { "refused", "of_100", offsetof (figures_t, refused) },
  { "given_up", "of_100", offsetof (figures_t, given_up) },
  { "useful", "tokens_a_s", offsetof (figures_t, tokens_per_s) },
  { "lookup_first_p99", "s", offsetof (figures_t, lookup99_s) },
  { "small_first_p99", "s", offsetof (figures_t, small99_s) },
  { "small_wait_p99", "s", offsetof (figures_t, small_wait99_s) },
  { "small_gap_p99", "ms", offsetof (figures_t, small_gap99_ms) },
  { "largest_first_p99", "s", offsetof (figures_t, largest99_s) },
};

enum
{
  FIGURES = sizeof figure_rows / sizeof figure_rows[0]
};

static double
get_figure (const figures_t *figures, uint32_t row)
{
  double value;

  memcpy (&value, (const char *)figures + figure_rows[row].offset,
          sizeof value);
  return value;
}

static double
of (double part, uint64_t count, double scale)
{
  return scale * part / (double)(count ? count : 1);
}

static figures_t
measure (const play_t *play, const arrivals_plan_t *plan)
{
  results_t r;
  figures_t f;
  outcome_t *all = &r.all;
  outcome_t *small = &r.small;

  play_fleet (play, plan, &r);
  f.preempted = of ((double)all->preempted, all->started, 1000);
  f.stall_s = of (all->stall_s, all->started, 1000);
  f.gap95_ms = gap_quantile_ms (&all->gaps, 0.95);
  f.gap99_ms = gap_quantile_ms (&all->gaps, 0.99);
  f.first50_s = first_quantile_s (all, 0.5);
  f.first99_s = first_quantile_s (all, 0.99);
  f.wait99_s = wait_quantile_s (all, 0.99);
  f.refused = of ((double)all->refused, all->requests, 100);
  f.given_up = of ((double)all->given_up, all->requests, 100);
  f.tokens_per_s = (double)all->tokens / r.seconds;
  f.lookup99_s = first_quantile_s (&r.classes[CLASS_LOOKUP], 0.99);
  f.small99_s = first_quantile_s (small, 0.99);
  f.small_wait99_s = wait_quantile_s (small, 0.99);
  f.small_gap99_ms = gap_quantile_ms (&small->gaps, 0.99);
  f.largest99_s = first_quantile_s (&r.organisations[LARGEST], 0.99);
  free_results (&r);
  return f;
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
print_all (const char *scope, const figures_t *baseline, const figures_t *now)
{
  uint32_t i;

  for (i = 0; i < FIGURES; i++)
    print_line (scope, figure_rows[i].name, get_figure (baseline, i),
                get_figure (now, i), figure_rows[i].unit);
}

static arrivals_plan_t
make_plan (uint32_t engines, double load, int64_t seconds)
{
  arrivals_plan_t plan = { .seed = 1,
                           .engines = engines,
                           .load = load,
                           .duration_us = seconds * SECOND_US,
                           .only = ALL_ORGANISATIONS,
                           .length_factor = 1 };

  return plan;
}

static play_t
make_decisions (uint32_t hosts)
{
  play_t play = default_play (DISPATCH_DECISIONS);

  play.hosts = hosts;
  return play;
}

/* The fewest preemptions among baselines whose useful throughput is within 2
   in 100 of the best of them.  */
static uint32_t
find_best (const figures_t *figures, uint32_t count)
{
  double most = 0;
  uint32_t best = 0;
  uint32_t i;

  for (i = 0; i < count; i++)
    if (figures[i].tokens_per_s > most)
      {
        most = figures[i].tokens_per_s;
        best = i;
      }
  for (i = 0; i < count; i++)
    if (figures[i].tokens_per_s >= same_throughput * most
        && figures[i].preempted < figures[best].preempted)
      best = i;
  return best;
}

static figures_t
measure_baselines (const arrivals_plan_t *plan, bool full)
{
  static const char *const names[]
      = { "round_robin", "least_outstanding", "first_come" };
  figures_t figures[BASELINES];
  char name[BASELINES][32];
  uint32_t count = 0;
  uint32_t best;
  uint32_t i;
  play_t play;

  for (i = 0; i < 3; i++)
    {
      play = default_play ((dispatch_t)i);
      snprintf (name[count], sizeof name[count], "%s", names[i]);
      figures[count++] = measure (&play, plan);
    }
  for (i = FIXED_FIRST; i <= FIXED_LAST; i += 2)
    {
      if (!full && i != 10 && i != 12)
        continue;
      play = default_play (DISPATCH_FIXED_STREAMS);
      play.fixed_streams = i;
      snprintf (name[count], sizeof name[count], "fixed_%u", i);
      figures[count++] = measure (&play, plan);
    }
  best = find_best (figures, count);
  for (i = 0; i < count; i++)
    printf ("# %u engines, load %.1f, %-17s preempted %6.2f of 1000, stall "
            "%6.1f s of 1000, gap p99 %5.1f ms, first p99 %6.2f s, unserved "
            "%4.1f of 100, useful %6.0f tokens/s%s\n",
            plan->engines, plan->load, name[i], figures[i].preempted,
            figures[i].stall_s, figures[i].gap99_ms, figures[i].first99_s,
            figures[i].refused + figures[i].given_up, figures[i].tokens_per_s,
            i == best ? "  <- best baseline" : "");
  return figures[best];
}

static void
compare_with_baselines (uint32_t engines, uint32_t hosts, int64_t seconds,
                        bool full)
{
  static const double loads[] = { 0.5, 0.7, 0.9, 1.1, 1.5 };
  play_t decisions = make_decisions (hosts);
  figures_t baseline;
  figures_t now;
  arrivals_plan_t plan;
  char scope[64];
  uint32_t i;

  for (i = 0; i < sizeof loads / sizeof loads[0]; i++)
    {
      if (!full && loads[i] != 0.9 && loads[i] != 1.5)
        continue;
      plan = make_plan (engines, loads[i], seconds);
      baseline = measure_baselines (&plan, full);
      now = measure (&decisions, &plan);
      snprintf (scope, sizeof scope, "engines_%u.load_%.1f", engines,
                loads[i]);
      print_all (scope, &baseline, &now);
    }
}

/* Each decision switched off: baseline is without it.  Preemption is played
   with admission off in both, as there is nothing to take back with it.  */
static void
switch_off_each (bool full)
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
  play_t off;
  play_t on;
  arrivals_plan_t plan;
  figures_t without;
  figures_t with;
  char scope[64];
  uint32_t i;
  uint32_t j;

  for (i = 0; i < sizeof rows / sizeof rows[0]; i++)
    for (j = 0; j < 2; j++)
      {
        plan = make_plan (12, loads[j], full ? 1800 : 600);
        plan.length_factor = rows[i].length_factor;
        on = make_decisions (8);
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
        off.no_flight_news = i == 8;
        if (i == 7)
          off.queue.lend_keep = 0;
        with = measure (&on, &plan);
        without = measure (&off, &plan);
        snprintf (scope, sizeof scope, "without_%s.load_%.1f", rows[i].name,
                  loads[j]);
        print_line (scope, "preempted", without.preempted, with.preempted,
                    "of_1000");
        print_line (scope, "stall", without.stall_s, with.stall_s,
                    "s_of_1000");
        print_line (scope, "gap_p99", without.gap99_ms, with.gap99_ms, "ms");
        print_line (scope, "first_token_p50", without.first50_s,
                    with.first50_s, "s");
        print_line (scope, "first_token_p99", without.first99_s,
                    with.first99_s, "s");
        print_line (scope, "small_first_p99", without.small99_s,
                    with.small99_s, "s");
        print_line (scope, "unserved", without.refused + without.given_up,
                    with.refused + with.given_up, "of_100");
        print_line (scope, "useful", without.tokens_per_s, with.tokens_per_s,
                    "tokens_a_s");
      }
}

/* A bound on streams of an engine beside the reserve: steps get shorter, and
   first tokens later.  */
static void
draw_stream_curve (void)
{
  static const uint32_t bounds[] = { 0, 10, 12, 14 };
  static const double loads[] = { 0.9, 1.5 };
  arrivals_plan_t plan;
  play_t play;
  figures_t f;
  uint32_t i;
  uint32_t j;

  for (j = 0; j < 2; j++)
    for (i = 0; i < sizeof bounds / sizeof bounds[0]; i++)
      {
        plan = make_plan (12, loads[j], 900);
        play = make_decisions (8);
        play.admission.max_streams = bounds[i];
        f = measure (&play, &plan);
        printf ("# bound on streams: load %.1f bound %2u gap p95 %.1f ms, gap "
                "p99 %.1f ms, first p50 %.2f s, preempted %.2f of 1000, "
                "unserved %5.2f of 100, useful %.0f tokens/s\n",
                loads[j], bounds[i], f.gap95_ms, f.gap99_ms, f.first50_s,
                f.preempted, f.refused + f.given_up, f.tokens_per_s);
      }
}

/* What a lower figure of preemption costs in waits and refusals.  */
static void
draw_curves (bool full)
{
  static const double risks[] = { 1.5, 0, 1, 2, 3, 0.5, 2.5, 4 };
  static const double keeps[] = { 0, 0.1, 0.05, 0.15 };
  static const double loads[] = { 0.9, 1.5 };
  arrivals_plan_t plan;
  play_t play;
  figures_t f;
  uint32_t i;
  uint32_t j;

  for (j = 0; j < 2; j++)
    for (i = 0; i < (full ? 8 : 5); i++)
      {
        plan = make_plan (12, loads[j], full ? 3600 : 900);
        play = make_decisions (8);
        play.admission.risk = risks[i];
        f = measure (&play, &plan);
        printf ("# reserve: load %.1f risk %.1f preempted %5.2f of 1000, "
                "stall %5.1f s of 1000, gap p99 %.1f ms, wait p99 %5.2f s, "
                "unserved %5.2f of 100, useful %.0f tokens/s\n",
                loads[j], risks[i], f.preempted, f.stall_s, f.gap99_ms,
                f.wait99_s, f.refused + f.given_up, f.tokens_per_s);
      }
  for (j = 0; j < 2; j++)
    for (i = 0; i < (full ? 4 : 2); i++)
      {
        plan = make_plan (12, loads[j], full ? 3600 : 600);
        play = make_decisions (8);
        play.queue.lend_keep = keeps[i];
        f = measure (&play, &plan);
        printf ("# kept from borrowers: load %.1f share %.2f small wait p99 "
                "%.2f s, small first p99 %.2f s, unserved %5.2f of 100, "
                "useful %.0f tokens/s\n",
                loads[j], keeps[i], f.small_wait99_s, f.small99_s,
                f.refused + f.given_up, f.tokens_per_s);
      }
}

/* The seven small organisations in the crowd, against one of them alone on
   the whole fleet, and alone on one engine, which is about its share of
   twelve.  */
static void
compare_with_alone (bool full)
{
  static const double loads[] = { 0.9, 1.5 };
  arrivals_plan_t plan;
  play_t play;
  figures_t alone;
  figures_t on_share;
  figures_t crowd;
  char scope[64];
  uint32_t i;

  for (i = 0; i < 2; i++)
    {
      plan = make_plan (12, loads[i], full ? 3600 : 900);
      play = make_decisions (8);
      crowd = measure (&play, &plan);
      plan.only = SMALL;
      alone = measure (&play, &plan);
      play.hosts = 1;
      play.engines = 1;
      on_share = measure (&play, &plan);
      snprintf (scope, sizeof scope, "small_vs_alone.load_%.1f", loads[i]);
      print_line (scope, "first_token_p99", alone.small99_s, crowd.small99_s,
                  "s");
      print_line (scope, "wait_p99", alone.small_wait99_s,
                  crowd.small_wait99_s, "s");
      print_line (scope, "gap_p99", alone.small_gap99_ms, crowd.small_gap99_ms,
                  "ms");
      snprintf (scope, sizeof scope, "small_vs_own_engine.load_%.1f",
                loads[i]);
      print_line (scope, "first_token_p99", on_share.small99_s,
                  crowd.small99_s, "s");
      print_line (scope, "wait_p99", on_share.small_wait99_s,
                  crowd.small_wait99_s, "s");
      print_line (scope, "gap_p99", on_share.small_gap99_ms,
                  crowd.small_gap99_ms, "ms");
    }
}

/* First tokens at an engine that comes back at saturation, over some
   returns.  */
static void
measure_return (void)
{
  arrivals_plan_t plan = make_plan (12, 1.5, 200);
  play_t play = make_decisions (1);
  results_t r;
  double seconds[2] = { 0, 0 };
  uint64_t count[2] = { 0, 0 };
  uint32_t i;

  play.lost_from_us = 100LL * SECOND_US;
  play.lost_until_us = 160LL * SECOND_US;
  play.slow_engine = 3;
  for (plan.seed = 1; plan.seed <= 12; plan.seed++)
    for (i = 0; i < 2; i++)
      {
        play.no_shift = i == 1;
        play_fleet (&play, &plan, &r);
        seconds[i] += r.returned.prefill_s;
        count[i] += r.returned.first_count;
        free_results (&r);
      }
  print_line ("without_shift.load_1.5", "first_token_after_return",
              of (seconds[1], count[1], 1), of (seconds[0], count[0], 1), "s");
}

int
main (int argc, char **argv)
{
  bool full = argc > 1 && strcmp (argv[1], "--full") == 0;

  compare_with_baselines (12, 8, full ? 3600 : 900, full);
  compare_with_baselines (430, 12, full ? 600 : 180, full);
  switch_off_each (full);
  draw_curves (full);
  draw_stream_curve ();
  compare_with_alone (full);
  measure_return ();
  return EXIT_SUCCESS;
}
