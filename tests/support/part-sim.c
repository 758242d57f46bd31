#include "support/part-sim.h"

#include "cowslipspoke/random.h"

#include <check.h>
#include <string.h>

enum
{
  HOSTS = 9,
  ENGINES = 12,
  SLOTS = 24,
  RUNS_MAX = ENGINES * SLOTS,
  PLAY_MS = 60000,
  STEP_MS = 10,
  TICK_MS = 100,
  HELLO_MS = 500,
  FAULT_FREE_MS = 5000,
  ENGINE_BACK_MS = 4000,
  OUTAGES_MS = 15000,
  IN_TURN_MS = 160,
  CONTACT_MS = 3000,
  PROVING_ENDS = 5,
  LATE_SENDS_MAX = 3,
  GUILTY_MAX = 2,
  SOUND_MIDDLES = 20,
  HERD_PER_CENT = 85,
  PER_CENT = 100,
  FIRST = 1,
  FIRST_MIDDLE = 100,
  GUILTY = 500
};

typedef struct
{
  csp_part_quarantine_t *quarantine;
  int64_t disturbed_ms; /* end of its last partition, or its last restart */
  int64_t partitioned_until_ms;
} host_t;

typedef struct
{
  bool used;
  int host;
  int engine;
  int64_t sent_ms;
  int64_t begins_ms; /* to answer */
  int64_t ends_ms;
  bool reported; /* it has run on */
  bool guilty;
  csp_prompt_parts_t parts;
} run_t;

typedef struct
{
  uint64_t incarnation;
  int64_t down_until_ms;
} engine_t;

typedef struct
{
  const part_play_t *play;
  host_t hosts[HOSTS];
  engine_t engines[ENGINES];
  run_t runs[RUNS_MAX];
  csp_random_t random;
  uint64_t next_incarnation;
  int64_t next_sound_ms;
  int64_t next_guilty_ms[GUILTY_MAX];
  int64_t proven_ms[GUILTY_MAX]; /* when the fifth engine ended; 0:
                                             not yet */
  int ends[GUILTY_MAX];          /* engines, for each crashing part */
  int late_sends[GUILTY_MAX];
  int sound_held; /* holds of sound parts, one for each host */
} sim_t;

static int64_t
draw (sim_t *sim, int64_t min, int64_t max)
{
  return min + csp_random_below (&sim->random, (uint32_t)(max - min + 1));
}

static int
draw_host (sim_t *sim)
{
  if (sim->play->herd && draw (sim, 1, PER_CENT) <= HERD_PER_CENT)
    return 0;
  return (int)draw (sim, 0, HOSTS - 1);
}

static bool
hear_each_other (const sim_t *sim, int from, int to, int64_t now_ms)
{
  return from != to && now_ms >= sim->hosts[from].partitioned_until_ms
         && now_ms >= sim->hosts[to].partitioned_until_ms;
}

static bool
is_delivered (sim_t *sim, int from, int to, int64_t now_ms)
{
  return hear_each_other (sim, from, to, now_ms) && draw (sim, 0, 19) > 0;
}

/* A host hears that a part is sound; it passes on only the end of its own
   hold.  */
static void
deliver_sound (sim_t *sim, int to, uint64_t part, int64_t began_ms,
               int64_t now_ms)
{
  bool own = csp_note_sound_part (sim->hosts[to].quarantine, part, began_ms)
             == CSP_OWN_HOLD_LIFTED;
  int i;

  for (i = 0; own && i < HOSTS; i++)
    if (is_delivered (sim, to, i, now_ms))
      csp_note_sound_part (sim->hosts[i].quarantine, part, began_ms);
}

static void
note_sound (sim_t *sim, const run_t *run, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < run->parts.count; i++)
    deliver_sound (sim, run->host, run->parts.parts[i], run->begins_ms,
                   now_ms);
}

/* What waits at an engine is closed when a host holds one of its parts.  */
static void
end_held_runs (sim_t *sim, int host, uint64_t part, int64_t now_ms)
{
  size_t i;
  size_t j;

  sim->sound_held
      += part < GUILTY && !(sim->play->guilty_first && part == FIRST);
  for (i = 0; i < RUNS_MAX; i++)
    for (j = 0; j < sim->runs[i].parts.count; j++)
      if (sim->runs[i].used && sim->runs[i].host == host
          && sim->runs[i].parts.parts[j] == part
          && now_ms < sim->runs[i].begins_ms)
        sim->runs[i].used = false;
}

static void
strike_parts (sim_t *sim, const run_t *run, uint64_t target, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < run->parts.count; i++)
    {
      csp_part_strike_t strike = { .part = run->parts.parts[i],
                                   .target = target,
                                   .position = (uint32_t)i };

      csp_add_own_part_strike (sim->hosts[run->host].quarantine, &strike,
                               run->sent_ms, now_ms);
    }
}

static void
end_engine (sim_t *sim, int engine, int64_t now_ms)
{
  engine_t *row = &sim->engines[engine];
  size_t i;

  for (i = 0; i < RUNS_MAX; i++)
    {
      run_t *run = &sim->runs[i];

      if (!run->used || run->engine != engine)
        continue;
      run->used = false;
      if (now_ms - run->begins_ms < CSP_PART_INNOCENT_AFTER_MS)
        strike_parts (sim, run, row->incarnation, now_ms);
    }
  row->incarnation = ++sim->next_incarnation;
  row->down_until_ms = now_ms + ENGINE_BACK_MS;
}

static void
count_guilty_end (sim_t *sim, const run_t *run, int64_t now_ms)
{
  size_t which = run->parts.parts[run->parts.count - 1] - GUILTY;

  if (sim->play->guilty_first)
    which = 0;
  if (++sim->ends[which] == PROVING_ENDS)
    sim->proven_ms[which] = now_ms;
}

static void
step_runs (sim_t *sim, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < RUNS_MAX; i++)
    {
      run_t *run = &sim->runs[i];

      if (!run->used || now_ms < run->begins_ms)
        continue;
      if (run->guilty)
        {
          count_guilty_end (sim, run, now_ms);
          end_engine (sim, run->engine, now_ms);
          continue;
        }
      if (!run->reported
          && (now_ms >= run->ends_ms
              || now_ms - run->begins_ms >= CSP_PART_SOUND_AFTER_MS))
        {
          run->reported = true;
          note_sound (sim, run, now_ms);
        }
      run->used = now_ms < run->ends_ms;
    }
}

/* An engine that is up and has a slot; -1: none.  */
static int
choose_engine (sim_t *sim, int64_t now_ms)
{
  int first = (int)draw (sim, 0, ENGINES - 1);
  int running[ENGINES] = { 0 };
  int i;

  for (i = 0; i < RUNS_MAX; i++)
    running[sim->runs[i].engine] += sim->runs[i].used;
  for (i = 0; i < ENGINES; i++)
    {
      int engine = (first + i) % ENGINES;

      if (now_ms >= sim->engines[engine].down_until_ms
          && running[engine] < SLOTS)
        return engine;
    }
  return -1;
}

/* Returns whether the request was sent to an engine.  */
static bool
send_request (sim_t *sim, const csp_prompt_parts_t *parts, bool guilty,
              int host, int64_t now_ms)
{
  csp_part_quarantine_t *quarantine = sim->hosts[host].quarantine;
  int engine = choose_engine (sim, now_ms);
  int i = 0;

  if (engine < 0)
    return false;
  if (csp_held_part_left_ms (quarantine, parts, now_ms) > 0)
    return false;
  csp_begin_part_trials (quarantine, parts, now_ms);
  while (sim->runs[i].used)
    i++;
  sim->runs[i] = (run_t){ .used = true,
                          .host = host,
                          .engine = engine,
                          .sent_ms = now_ms,
                          .begins_ms = now_ms + draw (sim, 200, 800),
                          .guilty = guilty,
                          .parts = *parts };
  sim->runs[i].ends_ms
      = sim->runs[i].begins_ms + draw (sim, 100, sim->play->sound_max_ms);
  return true;
}

static void
send_sound (sim_t *sim, int64_t now_ms)
{
  /* Few middle parts are popular.  */
  int64_t middle = draw (sim, 0, draw (sim, 0, SOUND_MIDDLES - 1));
  csp_prompt_parts_t parts
      = { .count = 2, .parts = { FIRST, FIRST_MIDDLE + (uint64_t)middle } };
  int host = draw_host (sim);

  sim->next_sound_ms = now_ms + draw (sim, 1, 2 * sim->play->sound_every_ms);
  if (send_request (sim, &parts, sim->play->guilty_first, host, now_ms)
      && sim->play->guilty_first)
    sim->late_sends[0]
        += sim->proven_ms[0] != 0 && now_ms > sim->proven_ms[0] + CONTACT_MS;
}

static void
send_guilty (sim_t *sim, size_t which, int64_t now_ms)
{
  csp_prompt_parts_t parts
      = { .count = 2, .parts = { FIRST, GUILTY + which } };
  int host = draw_host (sim);

  sim->next_guilty_ms[which]
      = now_ms + draw (sim, 1, 2 * sim->play->guilty_every_ms);
  if (send_request (sim, &parts, true, host, now_ms))
    sim->late_sends[which]
        += sim->proven_ms[which] != 0
           && now_ms > sim->proven_ms[which] + CONTACT_MS
           && now_ms > sim->hosts[host].disturbed_ms + CONTACT_MS;
}

static bool
has_ended (void *state, uint64_t target, int64_t at_ms)
{
  const sim_t *sim = state;
  size_t i;

  (void)at_ms;
  for (i = 0; i < ENGINES; i++)
    if (sim->engines[i].incarnation == target)
      return false;
  return true;
}

static void
deliver_held (sim_t *sim, int from, int to, const csp_held_part_t *held,
              int64_t now_ms)
{
  csp_sound_part_t sound;
  csp_part_change_t change = csp_merge_held_part (sim->hosts[to].quarantine,
                                                  held, from < to, now_ms);

  if (change == CSP_PART_HELD)
    end_held_runs (sim, to, held->part, now_ms);
  if (change == CSP_PART_SOUND
      && csp_find_sound_part (sim->hosts[to].quarantine, held->part, &sound,
                              now_ms)
      && is_delivered (sim, to, from, now_ms))
    deliver_sound (sim, from, held->part, now_ms - sound.age_ms, now_ms);
}

static void
exchange_reports (sim_t *sim, int from, int64_t now_ms)
{
  csp_part_quarantine_t *quarantine = sim->hosts[from].quarantine;
  csp_part_strike_t strike;
  csp_held_part_t held;
  int to;

  while (csp_take_part_strikes (quarantine, &strike, 1, now_ms) > 0)
    for (to = 0; to < HOSTS; to++)
      if (is_delivered (sim, from, to, now_ms))
        csp_add_part_strike (sim->hosts[to].quarantine, &strike, now_ms);
  while (csp_take_held_parts (quarantine, &held, 1, now_ms) > 0)
    for (to = 0; to < HOSTS; to++)
      if (is_delivered (sim, from, to, now_ms))
        deliver_held (sim, from, to, &held, now_ms);
  if (now_ms % HELLO_MS == 0
      && csp_list_held_parts (quarantine, &held, 1, now_ms) > 0)
    {
      to = (int)draw (sim, 0, HOSTS - 1);
      if (is_delivered (sim, from, to, now_ms))
        deliver_held (sim, from, to, &held, now_ms);
    }
}

static void
tick_host (sim_t *sim, int host, int64_t now_ms)
{
  csp_trial_facts_t facts = { .has_ended = has_ended, .state = sim };
  csp_trial_verdict_t verdicts[4];
  uint64_t parts[4];
  size_t count;
  size_t i;

  csp_expire_part_strikes (sim->hosts[host].quarantine, now_ms);
  count = csp_judge_failed_trials (sim->hosts[host].quarantine, verdicts, 4,
                                   now_ms);
  for (i = 0; i < count; i++)
    if (verdicts[i].held)
      end_held_runs (sim, host, verdicts[i].part, now_ms);
  csp_try_suspected_parts (sim->hosts[host].quarantine, &facts, parts, 4,
                           now_ms);
  exchange_reports (sim, host, now_ms);
}

static void
end_engines (sim_t *sim, int64_t now_ms)
{
  int i;

  switch (sim->play->other_ends)
    {
    case PART_ENDS_NONE:
      return;
    case PART_ENDS_A_THIRD:
    case PART_ENDS_ALL:
      if (now_ms % OUTAGES_MS == 0)
        for (i = 0; i < ENGINES;
             i += sim->play->other_ends == PART_ENDS_ALL ? 1 : 3)
          end_engine (sim, i, now_ms);
      return;
    case PART_ENDS_IN_TURN:
    case PART_ENDS_THIRD_IN_TURN:
      i = (int)(now_ms % OUTAGES_MS / IN_TURN_MS);
      if (now_ms % IN_TURN_MS == 0 && i < ENGINES
          && (sim->play->other_ends == PART_ENDS_IN_TURN || i % 3 == 0))
        end_engine (sim, i, now_ms);
      return;
    case PART_ENDS_FLAPPING:
      if (now_ms % (ENGINE_BACK_MS + 1000) == 0)
        end_engine (sim, 0, now_ms);
      return;
    case PART_ENDS_RANDOM:
      if (now_ms % 1000 == 0)
        end_engine (sim, (int)draw (sim, 0, ENGINES - 1), now_ms);
      return;
    }
}

/* Neighbouring seeds of a host's generator begin with much the same
   numbers.  */
static uint64_t
scatter_seed (uint64_t seed)
{
  return seed * 0x9e3779b97f4a7c15u;
}

static void
inject_host_fault (sim_t *sim, int64_t now_ms)
{
  host_t *host = &sim->hosts[draw (sim, 0, HOSTS - 1)];

  if (!sim->play->host_faults || draw (sim, 0, 400) > 0)
    return;
  host->disturbed_ms = now_ms;
  if (draw (sim, 0, 1) > 0)
    {
      host->partitioned_until_ms = now_ms + draw (sim, 500, 5000);
      host->disturbed_ms = host->partitioned_until_ms;
      return;
    }
  csp_destroy_part_quarantine (host->quarantine);
  host->quarantine
      = csp_create_part_quarantine (scatter_seed ((uint64_t)now_ms));
}

static void
open_sim (sim_t *sim, const part_play_t *play, uint64_t seed)
{
  int i;

  memset (sim, 0, sizeof *sim);
  sim->play = play;
  csp_seed_random (&sim->random, seed);
  for (i = 0; i < HOSTS; i++)
    sim->hosts[i].quarantine = csp_create_part_quarantine (
        scatter_seed (seed * HOSTS + (uint64_t)i));
  for (i = 0; i < ENGINES; i++)
    sim->engines[i].incarnation = ++sim->next_incarnation;
}

static void
step (sim_t *sim, int64_t now_ms)
{
  int host;
  size_t i;

  step_runs (sim, now_ms);
  if (now_ms >= sim->next_sound_ms)
    send_sound (sim, now_ms);
  for (host = 0; now_ms % TICK_MS == 0 && host < HOSTS; host++)
    tick_host (sim, host, now_ms);
  if (now_ms < FAULT_FREE_MS)
    return;
  inject_host_fault (sim, now_ms);
  end_engines (sim, now_ms);
  for (i = 0; i < sim->play->guilty; i++)
    if (now_ms >= sim->next_guilty_ms[i])
      send_guilty (sim, i, now_ms);
}

void
part_sim_check (const part_play_t *play, int seed)
{
  static sim_t sim;
  int64_t now_ms;
  size_t i;

  open_sim (&sim, play, (uint64_t)seed);
  for (now_ms = STEP_MS; now_ms < PLAY_MS; now_ms += STEP_MS)
    step (&sim, now_ms);
  for (i = 0; i < HOSTS; i++)
    csp_destroy_part_quarantine (sim.hosts[i].quarantine);
  for (i = 0; i < GUILTY_MAX; i++)
    ck_assert_msg (sim.late_sends[i] <= LATE_SENDS_MAX,
                   "%s, seed %d: sent %d times too often, %d ends", play->name,
                   seed, sim.late_sends[i], sim.ends[i]);
  for (i = 0; i < play->guilty; i++)
    ck_assert_msg (sim.ends[i] >= CSP_PART_STRIKES_TRIED,
                   "%s, seed %d: %d ends", play->name, seed, sim.ends[i]);
  ck_assert_msg (sim.sound_held == 0, "%s, seed %d: sound parts were held",
                 play->name, seed);
}
