#include "cowslipspoke/dispatch.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

/* Where requests and moving streams go if engines differ in speed: "f0" to
   "f3" take 0.7 times the nominal time, "s4" and "s5" 1.7 times.  An engine's
   longest interval is five times its usual one.  "from" leaves.  */

enum
{
  MEMORY_TOKENS = 34000,
  FAST = 4,
  ENGINES = 6,
  DRAWS = 20,
  GAP_MS = 180,
  FAST_US = 22000,
  SLOW_US = 54000,
  EVEN_US = 34000,
  EVEN_SPREAD_US = 10000,
  STRETCH = 5,
  NOW_MS = 1000,
  STREAM_TOKENS = 4000,
  FULL = 8,
  UNREACHABLE = -1,
  /* Of the replay.  */
  RUNS_MAX = 2000,
  REPLAY_MS = 21000,
  TICK_MS = 10,
  REPORTED_MS = 30,
  READING_MAX = 4500,
  PROMPT_TOKENS_PER_MS = 7,
  TOKEN_MS = 9,
  /* Hosts report speeds with their loads.  */
  SPEED_PERIOD_MS = 1000,
  CALM_PERIOD_MS = 200,
  BUSY_PERIOD_MS = 50
};

/* Time per step, relative to the nominal one.  */
static const double fast_time = 0.7;
static const double slow_time = 1.7;

typedef enum
{
  IDLE,
  STREAM, /* one runs there */
  PROMPT  /* one is read there */
} slow_load_t;

typedef enum
{
  SHORT_REQUEST, /* 12 tokens of output, 0.1 s at the nominal speed */
  LONG_REQUEST,  /* 750 tokens, 7 s */
  MOVE,          /* of a stream with 5 s left */
  LATE_MOVE      /* 0.1 s */
} ask_kind_t;

typedef struct
{
  const char *name;
  int streams; /* at each fast engine; UNREACHABLE: they don't answer */
  slow_load_t slow_load;
  ask_kind_t ask;
  uint32_t longest_gap_ms;
  char before; /* the kind that is chosen if speeds aren't known */
  char after;
} case_t;

static const case_t cases[] = {
  { "a long run at idle slow engines", 3, IDLE, LONG_REQUEST, 0, 's', 'f' },
  { "a short one", 3, IDLE, SHORT_REQUEST, GAP_MS, 's', 's' },
  { "beside a stream", 5, STREAM, SHORT_REQUEST, GAP_MS, 's', 'f' },
  { "any pause is allowed", 5, STREAM, SHORT_REQUEST, 0, 's', 's' },
  { "fast ones full", FULL, STREAM, SHORT_REQUEST, GAP_MS, 's', 's' },
  { "or away", UNREACHABLE, STREAM, SHORT_REQUEST, GAP_MS, 's', 's' },
  { "a long run, fast ones full", FULL, IDLE, LONG_REQUEST, GAP_MS, 's', 's' },
  { "a move to idle slow engines", 5, IDLE, MOVE, 0, 's', 'f' },
  { "the stream ends soon", 5, IDLE, LATE_MOVE, GAP_MS, 's', 's' },
  { "beside a prompt", 5, PROMPT, LATE_MOVE, GAP_MS, 's', 'f' },
  { "a move, fast ones full", FULL, PROMPT, MOVE, GAP_MS, 's', 's' },
};

static const csp_ask_t asks[] = {
  { .id = 1, .prompt_tokens = 2400, .tokens = 2412, .start_within_ms = 1000 },
  { .id = 1, .prompt_tokens = 3000, .tokens = 3750, .start_within_ms = 1000 },
  { .id = 1, .tokens = STREAM_TOKENS, .left_ms = 5000 },
  { .id = 1, .tokens = STREAM_TOKENS, .left_ms = 100 },
};

static csp_fleet_t *fleet;
static csp_ask_answer_t last_answer;

static void
record_answer (void *state, const csp_ask_answer_t *answer)
{
  (void)state;
  last_answer = *answer;
}

static csp_fleet_target_t *
list_engine (const char *id)
{
  csp_fleet_row_t row = { .slots = 24, .service = "s", .data_centre = "a" };

  snprintf (row.id, sizeof row.id, "%s", id);
  ck_assert (csp_update_target (fleet, &row, 0));
  return csp_find_fleet_target (fleet, id);
}

static void
add_streams (csp_fleet_target_t *target, int count)
{
  if (count == UNREACHABLE)
    csp_avoid_target (target, NOW_MS, NOW_MS);
  else
    target->others
        = (csp_fleet_load_t){ .requests = (uint32_t)count,
                              .tokens = (uint64_t)count * STREAM_TOKENS,
                              .movable_tokens
                              = (uint64_t)count * STREAM_TOKENS };
}

static void
load_slow_engine (csp_fleet_target_t *target, slow_load_t load)
{
  add_streams (target, load == IDLE ? 0 : 1);
  if (load != PROMPT)
    return;
  target->others.prefill_tokens = target->others.movable_tokens;
  target->others.movable_tokens = 0;
}

typedef enum
{
  SPEEDS_UNKNOWN,
  SPEEDS_EVEN, /* 1.0 and 1.3 */
  SPEEDS_UNEVEN
} speeds_t;

static void
report_speed (csp_fleet_target_t *target, size_t index, speeds_t speeds,
              int64_t now_ms)
{
  uint32_t usual_us = index < FAST ? FAST_US : SLOW_US;

  if (speeds == SPEEDS_UNKNOWN)
    return;
  if (speeds == SPEEDS_EVEN)
    usual_us = index < FAST ? EVEN_US : EVEN_US + EVEN_SPREAD_US;
  csp_merge_speed_report (&target->speed, usual_us, usual_us * STRETCH,
                          now_ms);
}

/* Plays a case and writes the id of the engine that is chosen.  */
static void
play (const case_t *test_case, speeds_t speeds, uint64_t seed,
      char id[CSP_TARGET_ID_BYTES])
{
  csp_dispatch_service_t service
      = { .name = "s",
          .memory_tokens = MEMORY_TOKENS,
          .longest_gap_ms = test_case->longest_gap_ms };
  csp_dispatch_t *dispatch;
  csp_ask_t ask = asks[test_case->ask];
  size_t i;

  fleet = csp_create_fleet (NULL, NULL, NULL);
  dispatch = csp_create_dispatch (fleet, record_answer, NULL, seed);
  for (i = 0; i < ENGINES; i++)
    {
      csp_fleet_target_t *target;

      snprintf (id, CSP_TARGET_ID_BYTES, "%c%zu", i < FAST ? 'f' : 's', i);
      target = list_engine (id);
      report_speed (target, i, speeds, NOW_MS);
      if (i < FAST)
        add_streams (target, test_case->streams);
      else
        load_slow_engine (target, test_case->slow_load);
    }
  ask.data_centre = csp_find_fleet_target (fleet, "f0")->data_centre;
  if (test_case->ask >= MOVE)
    ask.moves_from = list_engine ("from")->hash;
  csp_push_ask (dispatch, &ask, &service, NOW_MS);
  ck_assert_int_eq (last_answer.outcome, CSP_ASK_PLACED);
  snprintf (id, CSP_TARGET_ID_BYTES, "%s",
            csp_find_target_by_hash (fleet, last_answer.target)->row.id);
  csp_destroy_dispatch (dispatch);
  csp_destroy_fleet (fleet);
}

/* Guards against placement as if all engines had one speed: long runs at slow
   engines, and streams there that pause for 265 ms where 180 are allowed.  And
   against any change for engines of even speed: the same draws and the same
   choices.  */
START_TEST (slow_engines_get_what_suits_them)
{
  const case_t *test_case = &cases[_i];
  char before[CSP_TARGET_ID_BYTES];
  char id[CSP_TARGET_ID_BYTES];
  uint64_t seed;

  for (seed = 1; seed <= DRAWS; seed++)
    {
      play (test_case, SPEEDS_UNKNOWN, seed, before);
      ck_assert_msg (before[0] == test_case->before, "%s: before: %s",
                     test_case->name, before);
      play (test_case, SPEEDS_EVEN, seed, id);
      ck_assert_msg (strcmp (id, before) == 0, "%s: even: %s, before: %s",
                     test_case->name, id, before);
      play (test_case, SPEEDS_UNEVEN, seed, id);
      ck_assert_msg (id[0] == test_case->after, "%s: after: %s",
                     test_case->name, id);
    }
}
END_TEST

/* Replay: short and long requests arrive in turns, and engines run them at
   their speeds.  */

typedef struct
{
  csp_fleet_target_t *target;
  ask_kind_t kind;
  int64_t reported_ms; /* its host reports it */
  int64_t first_ms;    /* its prompt is read */
  int64_t end_ms;
} run_t;

typedef struct
{
  int placed_slow[2]; /* by kind */
  int beside_streams; /* prompts at slow engines while a fast one had room */
  int avoided; /* pumps behind which a slow engine had room for the request
                  that is due first */
  int refused;
} replay_t;

static run_t runs[RUNS_MAX];
static bool waits[RUNS_MAX]; /* by ask */
static size_t run_count;
static replay_t replayed;
static int64_t replay_now_ms;

static bool
has_room (const char *id, const csp_ask_t *ask)
{
  const csp_fleet_target_t *target = csp_find_fleet_target (fleet, id);
  uint64_t reading
      = target->others.prefill_tokens + target->reserved.prefill_tokens;

  return target->others.tokens + target->reserved.tokens + ask->tokens
             <= MEMORY_TOKENS
         && (reading == 0 || reading + ask->prompt_tokens <= READING_MAX);
}

static bool
is_slow (const csp_fleet_target_t *target)
{
  return target->row.id[0] == 's';
}

static ask_kind_t
kind_of (uint64_t id)
{
  return id % 2 == 0 ? SHORT_REQUEST : LONG_REQUEST;
}

/* All may wait equally long, so the request that came first is due first.  */
static void
count_avoided (uint64_t last_id)
{
  uint64_t id = 1;

  while (id <= last_id && !waits[id])
    id++;
  if (id <= last_id
      && (has_room ("s4", &asks[kind_of (id)])
          || has_room ("s5", &asks[kind_of (id)])))
    replayed.avoided++;
}

static void
run_placed (void *state, const csp_ask_answer_t *answer)
{
  ask_kind_t kind = kind_of (answer->id);
  const csp_ask_t *ask = &asks[kind];
  csp_fleet_target_t *target;
  double speed;

  (void)state;
  ck_assert_uint_lt (answer->id, RUNS_MAX);
  waits[answer->id] = answer->outcome == CSP_ASK_WAITS;
  replayed.refused += answer->outcome == CSP_ASK_REFUSED;
  if (answer->outcome != CSP_ASK_PLACED)
    return;
  ck_assert_uint_lt (run_count, RUNS_MAX);
  target = csp_find_target_by_hash (fleet, answer->target);
  speed = is_slow (target) ? slow_time : fast_time;
  replayed.placed_slow[kind] += is_slow (target);
  if (is_slow (target) && target->others.movable_tokens > 0
      && (has_room ("f0", ask) || has_room ("f1", ask) || has_room ("f2", ask)
          || has_room ("f3", ask)))
    replayed.beside_streams++;
  runs[run_count] = (run_t){ .target = target,
                             .kind = kind,
                             .reported_ms = replay_now_ms + REPORTED_MS };
  runs[run_count].first_ms
      = runs[run_count].reported_ms
        + (int64_t)(speed * ask->prompt_tokens / PROMPT_TOKENS_PER_MS);
  runs[run_count].end_ms
      = runs[run_count].first_ms
        + (int64_t)(speed * (ask->tokens - ask->prompt_tokens) * TOKEN_MS);
  run_count++;
}

/* The loads that hosts report.  */
static void
report_runs (void)
{
  size_t i;

  csp_clear_peer_loads (fleet);
  for (i = 0; i < run_count; i++)
    {
      csp_fleet_load_t *load = &runs[i].target->others;
      const csp_ask_t *ask = &asks[runs[i].kind];

      if (replay_now_ms < runs[i].reported_ms
          || replay_now_ms >= runs[i].end_ms)
        continue;
      load->requests++;
      load->tokens += ask->tokens;
      if (replay_now_ms < runs[i].first_ms)
        load->prefill_tokens += ask->prompt_tokens;
      else
        load->movable_tokens += ask->tokens;
    }
}

static replay_t
replay (speeds_t speeds, int64_t period_ms)
{
  csp_dispatch_service_t service = { .name = "s",
                                     .memory_tokens = MEMORY_TOKENS,
                                     .longest_gap_ms = GAP_MS };
  csp_dispatch_t *dispatch;
  uint64_t id = 0;
  size_t i;

  memset (waits, 0, sizeof waits);
  run_count = 0;
  replayed = (replay_t){ .refused = 0 };
  fleet = csp_create_fleet (NULL, NULL, NULL);
  dispatch = csp_create_dispatch (fleet, run_placed, NULL, 3);
  for (i = 0; i < ENGINES; i++)
    {
      char engine[CSP_TARGET_ID_BYTES];

      snprintf (engine, sizeof engine, "%c%zu", i < FAST ? 'f' : 's', i);
      list_engine (engine);
    }
  for (replay_now_ms = NOW_MS; replay_now_ms < REPLAY_MS;
       replay_now_ms += TICK_MS)
    {
      report_runs ();
      if (replay_now_ms % SPEED_PERIOD_MS == 0)
        for (i = 0; i < ENGINES; i++)
          report_speed (csp_fleet_at (fleet, i), i, speeds, replay_now_ms);
      csp_pump_dispatch (dispatch, replay_now_ms);
      count_avoided (id);
      if (replay_now_ms % period_ms == 0)
        {
          csp_ask_t ask = asks[kind_of (++id)];

          ask.id = id;
          ask.data_centre = csp_find_fleet_target (fleet, "f0")->data_centre;
          csp_push_ask (dispatch, &ask, &service, replay_now_ms);
        }
    }
  csp_destroy_dispatch (dispatch);
  csp_destroy_fleet (fleet);
  return replayed;
}

/* Guards against slow engines that are avoided or used too much: while the
   fast ones have room, and when they are full.  */
START_TEST (slow_engines_take_what_the_fast_ones_cannot)
{
  replay_t before = replay (SPEEDS_UNKNOWN, CALM_PERIOD_MS);
  replay_t after = replay (SPEEDS_UNEVEN, CALM_PERIOD_MS);

  ck_assert_int_gt (before.placed_slow[LONG_REQUEST], 0);
  ck_assert_int_gt (before.beside_streams, 0);
  ck_assert_int_eq (after.placed_slow[LONG_REQUEST], 0);
  ck_assert_int_eq (after.beside_streams, 0);
  ck_assert_int_eq (before.refused + after.refused, 0);
  before = replay (SPEEDS_UNKNOWN, BUSY_PERIOD_MS);
  after = replay (SPEEDS_UNEVEN, BUSY_PERIOD_MS);
  ck_assert_int_gt (before.beside_streams, 0);
  ck_assert_int_eq (after.beside_streams, 0);
  ck_assert_int_gt (after.placed_slow[LONG_REQUEST], 0);
  ck_assert_int_eq (after.avoided, 0);
  ck_assert_int_gt (before.refused, 0);
  ck_assert_int_le (after.refused, before.refused);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch speed");
  TCase *tcase = tcase_create ("dispatch speed");

  tcase_add_loop_test (tcase, slow_engines_get_what_suits_them, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, slow_engines_take_what_the_fast_ones_cannot);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
