#include "cowslipspoke/dispatch.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

/* Where requests and moving streams go if engines differ in speed: "f0" to
   "f3" take 0.7 times the nominal time, "s0" and "s1" 1.7 times.  An engine's
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
  NOW_MS = 1000
};

/* What the hosts have under way at each of some engines.  */
typedef struct
{
  uint32_t runs;
  uint64_t tokens;
  uint64_t reading_tokens;
  uint64_t movable_tokens;
} load_t;

typedef struct
{
  const char *name;
  load_t fast;
  load_t slow;
  csp_ask_t ask;
  bool moves;
  bool fast_avoided; /* don't answer */
  uint32_t longest_gap_ms;
  char before; /* the kind that is chosen if speeds aren't known */
  char after;
} case_t;

/* 12 and 750 tokens of output, at 9 ms each.  */
#define SHORT_REQUEST                                                         \
  {                                                                           \
    .id = 1, .prompt_tokens = 2400, .tokens = 2412, .start_within_ms = 1000   \
  }
#define LONG_REQUEST                                                          \
  {                                                                           \
    .id = 1, .prompt_tokens = 3000, .tokens = 3750, .start_within_ms = 1000   \
  }
#define MOVE(left)                                                            \
  {                                                                           \
    .id = 1, .tokens = 4000, .left_ms = left                                  \
  }

static const case_t cases[] = {
  { "a long run doesn't go to an idle slow engine",
    .fast = { 3, 12000, 0, 12000 }, .ask = LONG_REQUEST, .before = 's',
    .after = 'f' },
  { "a short request does", .fast = { 3, 12000, 0, 12000 },
    .ask = SHORT_REQUEST, .longest_gap_ms = GAP_MS, .before = 's',
    .after = 's' },
  { "no prompt beside streams at a slow engine",
    .fast = { 5, 20000, 0, 20000 }, .slow = { 1, 4000, 0, 4000 },
    .ask = SHORT_REQUEST, .longest_gap_ms = GAP_MS, .before = 's',
    .after = 'f' },
  { "unless any pause is allowed", .fast = { 5, 20000, 0, 20000 },
    .slow = { 1, 4000, 0, 4000 }, .ask = SHORT_REQUEST, .before = 's',
    .after = 's' },
  { "or the fast ones are full", .fast = { 8, 33000, 0, 33000 },
    .slow = { 1, 4000, 0, 4000 }, .ask = SHORT_REQUEST,
    .longest_gap_ms = GAP_MS, .before = 's', .after = 's' },
  { "or don't answer", .slow = { 1, 4000, 0, 4000 }, .ask = SHORT_REQUEST,
    .fast_avoided = true, .longest_gap_ms = GAP_MS, .before = 's',
    .after = 's' },
  { "a long run goes to a slow engine if the fast ones are full",
    .fast = { 8, 33000, 0, 33000 }, .ask = LONG_REQUEST,
    .longest_gap_ms = GAP_MS, .before = 's', .after = 's' },
  { "a stream doesn't move to a slow engine", .fast = { 5, 20000, 0, 20000 },
    .ask = MOVE (5000), .moves = true, .before = 's', .after = 'f' },
  { "unless it ends soon", .fast = { 5, 20000, 0, 20000 }, .ask = MOVE (100),
    .moves = true, .longest_gap_ms = GAP_MS, .before = 's', .after = 's' },
  { "and no prompt is read there", .fast = { 5, 20000, 0, 20000 },
    .slow = { 1, 2400, 2400, 0 }, .ask = MOVE (100), .moves = true,
    .longest_gap_ms = GAP_MS, .before = 's', .after = 'f' },
  { "or the fast ones are full", .fast = { 8, 33000, 0, 33000 },
    .slow = { 1, 2400, 2400, 0 }, .ask = MOVE (5000), .moves = true,
    .longest_gap_ms = GAP_MS, .before = 's', .after = 's' },
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
list_engine (const char *id, const load_t *load)
{
  csp_fleet_row_t row = { .slots = 24, .service = "s", .data_centre = "a" };
  csp_fleet_target_t *target;

  snprintf (row.id, sizeof row.id, "%s", id);
  ck_assert (csp_update_target (fleet, &row, 0));
  target = csp_find_fleet_target (fleet, id);
  target->others.requests = load->runs;
  target->others.tokens = load->tokens;
  target->others.prefill_tokens = load->reading_tokens;
  target->others.movable_tokens = load->movable_tokens;
  return target;
}

typedef enum
{
  SPEEDS_UNKNOWN,
  SPEEDS_EVEN, /* 1.0 and 1.3 */
  SPEEDS_UNEVEN
} speeds_t;

static void
report_speed (csp_fleet_target_t *target, size_t index, speeds_t speeds)
{
  uint32_t usual_us = index < FAST ? FAST_US : SLOW_US;

  if (speeds == SPEEDS_UNKNOWN)
    return;
  if (speeds == SPEEDS_EVEN)
    usual_us = index < FAST ? EVEN_US : EVEN_US + EVEN_SPREAD_US;
  csp_merge_speed_report (&target->speed, usual_us, usual_us * STRETCH,
                          NOW_MS);
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
  csp_ask_t ask = test_case->ask;
  size_t i;

  fleet = csp_create_fleet (NULL, NULL, NULL);
  dispatch = csp_create_dispatch (fleet, record_answer, NULL, seed);
  for (i = 0; i < ENGINES; i++)
    {
      csp_fleet_target_t *target;

      snprintf (id, CSP_TARGET_ID_BYTES, "%c%zu", i < FAST ? 'f' : 's',
                i % FAST);
      target
          = list_engine (id, i < FAST ? &test_case->fast : &test_case->slow);
      report_speed (target, i, speeds);
      if (test_case->fast_avoided && i < FAST)
        csp_avoid_target (target, NOW_MS, NOW_MS);
    }
  ask.data_centre = csp_find_fleet_target (fleet, "f0")->data_centre;
  if (test_case->moves)
    ask.moves_from = list_engine ("from", &(load_t){ .runs = 1 })->hash;
  csp_push_ask (dispatch, &ask, &service, NOW_MS);
  ck_assert_int_eq (last_answer.outcome, CSP_ASK_PLACED);
  snprintf (id, CSP_TARGET_ID_BYTES, "%s",
            csp_find_target_by_hash (fleet, last_answer.target)->row.id);
  csp_destroy_dispatch (dispatch);
  csp_destroy_fleet (fleet);
}

/* Guards against placement as if all engines had one speed: long runs at slow
   engines, and streams there that pause for 265 ms where 180 are allowed.  */
START_TEST (slow_engines_get_what_suits_them)
{
  const case_t *test_case = &cases[_i];
  char id[CSP_TARGET_ID_BYTES];
  uint64_t seed;

  for (seed = 1; seed <= DRAWS; seed++)
    {
      play (test_case, SPEEDS_UNKNOWN, seed, id);
      ck_assert_msg (id[0] == test_case->before, "%s: before: %s",
                     test_case->name, id);
      play (test_case, SPEEDS_UNEVEN, seed, id);
      ck_assert_msg (id[0] == test_case->after, "%s: after: %s",
                     test_case->name, id);
    }
}
END_TEST

/* Guards against a change for deployments of even engines: the same draws and
   the same choices.  */
START_TEST (even_engines_are_chosen_as_before)
{
  const case_t *test_case = &cases[_i];
  char unknown[CSP_TARGET_ID_BYTES];
  char even[CSP_TARGET_ID_BYTES];
  uint64_t seed;

  for (seed = 1; seed <= DRAWS; seed++)
    {
      play (test_case, SPEEDS_UNKNOWN, seed, unknown);
      play (test_case, SPEEDS_EVEN, seed, even);
      ck_assert_str_eq (unknown, even);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch speed");
  TCase *tcase = tcase_create ("dispatch speed");
  int count = sizeof cases / sizeof cases[0];

  tcase_add_loop_test (tcase, slow_engines_get_what_suits_them, 0, count);
  tcase_add_loop_test (tcase, even_engines_are_chosen_as_before, 0, count);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
