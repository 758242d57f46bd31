#include "cowslipspoke/part-quarantine.h"

#include "support/run-suite.h"

#include <check.h>
#include <string.h>

/* Quarantine of prompt parts, without a network.  */

enum
{
  HOLD_MS = 300000,
  TRIAL_LEAD_MS = 30000,
  TRIAL_MS = 10000,
  FORGET_MS = 600000,
  START_MS = 1000,
  OTHER_HOST = 99,
  STEPS_MAX = 40
};

#define SERVICE ((uint64_t)5 << 32)

enum
{
  FIRST = 1, /* of every prompt */
  POPULAR,
  GUILTY,
  GUILTY_TOO,
  RARE
};

static csp_part_quarantine_t *here;
static csp_part_quarantine_t *there;

static void
set_up (void)
{
  here = csp_create_part_quarantine ();
  there = csp_create_part_quarantine ();
}

static void
tear_down (void)
{
  csp_destroy_part_quarantine (here);
  csp_destroy_part_quarantine (there);
}

static void
strike (csp_part_quarantine_t *quarantine, uint32_t part, uint64_t target,
        int64_t at_ms, uint64_t reporter)
{
  csp_part_strike_t row
      = { .part = SERVICE | part, .target = target, .position = part };

  csp_add_part_strike (quarantine, &row, reporter, at_ms);
}

static bool
has_ended (void *state, uint64_t target, int64_t at_ms)
{
  const uint64_t *live = state;

  (void)at_ms;
  return live == NULL || target != *live;
}

static const csp_target_ends_t all_ended = { .has_ended = has_ended };

static uint32_t
left_ms (const csp_part_quarantine_t *quarantine, uint32_t part,
         int64_t now_ms)
{
  csp_prompt_parts_t parts = { .count = 1, .parts = { SERVICE | part } };

  return csp_held_part_left_ms (quarantine, &parts, now_ms);
}

/* A target ends under parts, or an answer with parts comes whole.  */
typedef enum
{
  STEP_NONE,
  STEP_END,
  STEP_SOUND
} step_kind_t;

typedef struct
{
  step_kind_t kind;
  int64_t at_ms; /* since the start; of an answer: when it began */
  uint64_t target;
  uint32_t parts[4];
} step_t;

#define END(at, target, ...)                                                  \
  {                                                                           \
    STEP_END, at, target, { __VA_ARGS__ }                                     \
  }
#define SOUND(at, ...)                                                        \
  {                                                                           \
    STEP_SOUND, at, 0, { __VA_ARGS__ }                                        \
  }

static const struct
{
  const char *name;
  step_t steps[STEPS_MAX];
  int64_t checked_at_ms;
  uint32_t held[4];
} cases[] = {
  { "no end", { SOUND (10, FIRST) }, 5000, { 0 } },
  { "three ends",
    { END (0, 1, GUILTY), END (700, 2, GUILTY), END (1400, 3, GUILTY) },
    60000,
    { 0 } },
  { "one target four times",
    { END (0, 1, GUILTY), END (700, 1, GUILTY), END (1400, 1, GUILTY),
      END (2100, 1, GUILTY) },
    60000,
    { 0 } },
  { "four ends",
    { END (0, 1, GUILTY), END (700, 2, GUILTY), END (1400, 3, GUILTY),
      END (2100, 4, GUILTY) },
    2400,
    { GUILTY } },
  { "four ends, the words of other hosts may be on their way",
    { END (0, 1, GUILTY), END (700, 2, GUILTY), END (1400, 3, GUILTY),
      END (2100, 4, GUILTY) },
    2399,
    { 0 } },
  { "an answer that began before the ends",
    { END (100, 1, GUILTY), END (700, 2, GUILTY), END (1400, 3, GUILTY),
      END (2100, 4, GUILTY), SOUND (50, GUILTY) },
    2500,
    { GUILTY } },
  { "an answer that began between the ends",
    { END (0, 1, GUILTY), END (700, 2, GUILTY), END (1400, 3, GUILTY),
      SOUND (1500, GUILTY), END (2100, 4, GUILTY) },
    60000,
    { 0 } },
  { "sound until it begins to end targets",
    { SOUND (10, GUILTY), SOUND (400, GUILTY), END (500, 1, GUILTY),
      END (1200, 2, GUILTY), END (1900, 3, GUILTY), END (2600, 4, GUILTY) },
    2900,
    { GUILTY } },
  { "a middle part, the first one in every prompt and served",
    { END (0, 1, FIRST, GUILTY), SOUND (300, FIRST, POPULAR),
      END (700, 2, FIRST, GUILTY), END (1400, 3, FIRST, GUILTY),
      END (2100, 4, FIRST, GUILTY) },
    2400,
    { GUILTY } },
  { "a middle part, and nobody with the first one was served since",
    { SOUND (10, FIRST, POPULAR), END (100, 1, FIRST, GUILTY),
      END (700, 2, FIRST, GUILTY, POPULAR),
      END (1400, 3, FIRST, GUILTY, POPULAR), END (2100, 4, FIRST, GUILTY) },
    60000,
    { GUILTY } },
  { "a first part in every prompt",
    { SOUND (10, FIRST, POPULAR), END (100, 1, FIRST, POPULAR),
      END (700, 2, FIRST, RARE), END (1400, 3, FIRST, POPULAR),
      END (2100, 4, FIRST) },
    60000,
    { FIRST } },
  { "two parts at once",
    { END (0, 1, FIRST, GUILTY), END (300, 2, FIRST, GUILTY_TOO),
      END (600, 3, FIRST, GUILTY), END (900, 4, FIRST, GUILTY_TOO),
      END (1200, 5, FIRST, GUILTY), END (1500, 6, FIRST, GUILTY_TOO),
      END (1800, 7, FIRST, GUILTY), END (2100, 8, FIRST, GUILTY_TOO) },
    60000,
    { GUILTY, GUILTY_TOO } },
  { "many targets at one moment, and nothing is known since",
    { END (0, 1, FIRST, POPULAR), END (1, 2, FIRST, POPULAR),
      END (2, 3, FIRST, POPULAR), END (3, 4, FIRST, POPULAR),
      END (4, 5, FIRST, POPULAR), END (5, 6, FIRST, POPULAR) },
    60000,
    { 0 } },
  { "many targets at one moment, others are served since",
    { END (0, 1, GUILTY), END (1, 2, GUILTY), END (2, 3, GUILTY),
      END (3, 4, GUILTY), SOUND (400, POPULAR) },
    1500,
    { GUILTY } },
  { "a third of the targets, three times",
    { END (0, 1, FIRST, POPULAR), END (1, 2, FIRST, RARE),
      END (2, 3, FIRST, POPULAR), END (3, 4, FIRST, POPULAR),
      SOUND (200, FIRST, POPULAR), END (5000, 5, FIRST, POPULAR),
      END (5001, 6, FIRST, POPULAR), END (5002, 7, FIRST, RARE),
      END (5003, 8, FIRST, POPULAR), SOUND (5200, FIRST, POPULAR),
      END (10000, 9, FIRST, POPULAR), END (10001, 10, FIRST, RARE),
      END (10002, 11, FIRST, POPULAR), END (10003, 12, FIRST, POPULAR),
      SOUND (10200, FIRST, POPULAR) },
    60000,
    { 0 } },
};

/* Guards against a part that goes on ending targets, and against sound parts
   that are held in its place.  */
START_TEST (the_part_that_ends_targets_is_held)
{
  const step_t *step;
  int64_t checked_at_ms = START_MS + cases[_i].checked_at_ms;
  uint64_t listed[8];
  size_t held = 0;
  size_t i;

  for (step = cases[_i].steps; step->kind != STEP_NONE; step++)
    for (i = 0; i < 4 && step->parts[i] != 0; i++)
      if (step->kind == STEP_END)
        strike (here, step->parts[i], step->target, START_MS + step->at_ms, 0);
      else
        csp_note_sound_part (here, SERVICE | step->parts[i],
                             START_MS + step->at_ms, START_MS + step->at_ms);
  csp_hold_suspected_parts (here, &all_ended, listed, 8, checked_at_ms);
  for (i = 0; i < 4 && cases[_i].held[i] != 0; i++)
    {
      ck_assert_msg (left_ms (here, cases[_i].held[i], checked_at_ms)
                         == HOLD_MS,
                     "%s: %u isn't held", cases[_i].name, cases[_i].held[i]);
      held++;
    }
  ck_assert_msg (csp_count_held_parts (here, checked_at_ms) == held,
                 "%s: %zu held", cases[_i].name,
                 csp_count_held_parts (here, checked_at_ms));
}
END_TEST

static void
end_four_targets (csp_part_quarantine_t *quarantine, uint32_t part,
                  uint64_t reporter, int64_t from_ms)
{
  int64_t i;

  for (i = 0; i < 4; i++)
    strike (quarantine, part, (uint64_t)i + 1, from_ms + i * 700, reporter);
}

static size_t
hold (csp_part_quarantine_t *quarantine, int64_t now_ms)
{
  uint64_t listed[8];

  return csp_hold_suspected_parts (quarantine, &all_ended, listed, 8, now_ms);
}

/* Guards against ends that only connections had: a target that is heard of
   later lives.  */
START_TEST (a_target_that_lives_gives_no_strike)
{
  uint64_t live = 3;
  csp_target_ends_t ends = { .has_ended = has_ended, .state = &live };
  uint64_t listed[8];

  end_four_targets (here, GUILTY, 0, START_MS);
  ck_assert_uint_eq (
      csp_hold_suspected_parts (here, &ends, listed, 8, START_MS + 60000), 0);
}
END_TEST

/* Guards against hosts that each need their own strikes, and against a hold
   that depends on the order or the number of messages.  */
START_TEST (strikes_of_all_hosts_are_added_up)
{
  csp_part_strike_t strikes[8];
  size_t count;
  size_t i;

  strike (there, GUILTY, 1, START_MS, 0);
  strike (there, GUILTY, 2, START_MS + 700, 0);
  strike (here, GUILTY, 3, START_MS + 1400, 0);
  strike (here, GUILTY, 4, START_MS + 2100, 0);
  ck_assert_uint_eq (hold (here, START_MS + 5000), 0);
  count = csp_take_part_strikes (there, strikes, 8, START_MS + 5000);
  ck_assert_uint_eq (count, 2);
  for (i = count; i > 0; i--)
    csp_add_part_strike (here, &strikes[i - 1], OTHER_HOST, START_MS + 5000);
  ck_assert_uint_eq (csp_take_part_strikes (there, strikes, 8, START_MS), 2);
  ck_assert_uint_eq (csp_take_part_strikes (there, strikes, 8, START_MS), 0);
  csp_add_part_strike (here, &strikes[0], OTHER_HOST, START_MS + 5000);
  ck_assert_uint_eq (hold (here, START_MS + 5000), 1);
}
END_TEST

/* Guards against a hold by hosts that know the ends only by the word of
   others, and would each tell all hosts.  */
START_TEST (a_host_without_own_strikes_begins_no_hold)
{
  end_four_targets (here, GUILTY, OTHER_HOST, START_MS);
  ck_assert_uint_eq (hold (here, START_MS + 60000), 0);
}
END_TEST

/* Hold the part here, and let the other host hear of it.  */
static int64_t
hold_at_both (void)
{
  int64_t now_ms = START_MS + 3000;
  csp_held_part_t held[4];

  end_four_targets (here, GUILTY, 0, START_MS);
  ck_assert_uint_eq (hold (here, now_ms), 1);
  ck_assert_uint_eq (csp_take_held_parts (here, held, 4, now_ms), 1);
  ck_assert_int_eq (csp_merge_held_part (there, &held[0], now_ms),
                    CSP_PART_HELD);
  ck_assert_int_eq (csp_merge_held_part (there, &held[0], now_ms + 1),
                    CSP_PART_UNCHANGED);
  return now_ms;
}

/* Guards against holds that hosts extend by telling each other.  */
START_TEST (a_hold_that_is_told_again_ends_in_time)
{
  int64_t now_ms = hold_at_both ();
  int64_t end_ms = now_ms + HOLD_MS;
  csp_held_part_t held[4];

  for (; now_ms < end_ms + 2 * TRIAL_LEAD_MS; now_ms += 1000)
    {
      if (csp_list_held_parts (there, held, 4, now_ms) > 0)
        csp_merge_held_part (here, &held[0], now_ms + 2);
      if (csp_list_held_parts (here, held, 4, now_ms) > 0)
        csp_merge_held_part (there, &held[0], now_ms + 2);
    }
  ck_assert_uint_eq (left_ms (here, GUILTY, end_ms + 100), 0);
  ck_assert_uint_eq (left_ms (there, GUILTY, end_ms + TRIAL_LEAD_MS + 1000),
                     0);
}
END_TEST

/* Guards against all hosts trying a part at once when its hold ends.  */
START_TEST (the_trial_is_one_request_at_one_host)
{
  csp_prompt_parts_t parts = { .count = 1, .parts = { SERVICE | GUILTY } };
  int64_t end_ms = hold_at_both () + HOLD_MS;
  csp_held_part_t held[4];

  ck_assert_uint_eq (left_ms (there, GUILTY, end_ms), TRIAL_LEAD_MS);
  ck_assert_uint_eq (left_ms (here, GUILTY, end_ms), 0);
  csp_begin_part_trials (here, &parts, end_ms);
  ck_assert_uint_eq (left_ms (here, GUILTY, end_ms + 1), TRIAL_MS - 1);
  ck_assert_uint_eq (left_ms (here, GUILTY, end_ms + TRIAL_MS), 0);
  /* The trial ends one more target.  */
  strike (here, GUILTY, 5, end_ms + 500, 0);
  ck_assert_uint_eq (left_ms (here, GUILTY, end_ms + 500), 2 * HOLD_MS);
  ck_assert_uint_eq (csp_take_held_parts (here, held, 4, end_ms + 500), 1);
  csp_merge_held_part (there, &held[0], end_ms + 500);
  ck_assert_uint_eq (left_ms (there, GUILTY, end_ms + 500),
                     2 * HOLD_MS + TRIAL_LEAD_MS);
}
END_TEST

static const struct
{
  int64_t began_ms; /* since the last strike */
  bool lifted;
} answers[] = { { -100, false }, { 0, false }, { 1, true } };

/* Guards against a hold that a sound part keeps although it is served.  */
START_TEST (a_later_answer_lifts_a_hold)
{
  int64_t now_ms = hold_at_both ();
  int64_t struck_at_ms = START_MS + 2100;
  csp_part_acquittal_t acquittal = csp_note_sound_part (
      here, SERVICE | GUILTY, struck_at_ms + answers[_i].began_ms, now_ms);

  ck_assert (acquittal.lifted == answers[_i].lifted);
  ck_assert (acquittal.held_here == answers[_i].lifted);
  ck_assert ((left_ms (here, GUILTY, now_ms) == 0) == answers[_i].lifted);
  acquittal = csp_note_sound_part (
      there, SERVICE | GUILTY, struck_at_ms + answers[_i].began_ms, now_ms);
  ck_assert (acquittal.lifted == answers[_i].lifted);
  ck_assert (!acquittal.held_here);
}
END_TEST

/* Guards against old words about a part that has been served since.  */
START_TEST (a_host_that_served_the_part_contradicts)
{
  csp_part_strike_t late
      = { .part = SERVICE | FIRST, .target = 1, .age_ms = 3000 };
  csp_held_part_t held
      = { .part = SERVICE | FIRST, .left_ms = 1000, .strike_age_ms = 3000 };
  csp_sound_part_t sound;

  csp_note_sound_part (here, SERVICE | FIRST, START_MS + 8000,
                       START_MS + 9000);
  ck_assert_int_eq (
      csp_add_part_strike (here, &late, OTHER_HOST, START_MS + 10000),
      CSP_PART_SOUND);
  ck_assert_int_eq (csp_merge_held_part (here, &held, START_MS + 10000),
                    CSP_PART_SOUND);
  ck_assert (
      csp_find_sound_part (here, SERVICE | FIRST, &sound, START_MS + 10000));
  ck_assert_uint_eq (sound.age_ms, 2000);
  ck_assert_uint_eq (csp_count_suspected_parts (here), 0);
}
END_TEST

/* Guards against a popular part that a host holds, as it has strikes and the
   answers were other hosts'.  */
START_TEST (hosts_whose_strikes_are_taken_back_are_named)
{
  csp_part_acquittal_t acquittal;

  strike (here, FIRST, 1, START_MS, OTHER_HOST);
  acquittal = csp_note_sound_part (here, SERVICE | FIRST, START_MS + 10,
                                   START_MS + 20);
  ck_assert_uint_eq (acquittal.reporter_count, 0);
  strike (here, FIRST, 2, START_MS + 30, OTHER_HOST);
  strike (here, FIRST, 3, START_MS + 40, 0);
  acquittal = csp_note_sound_part (here, SERVICE | FIRST, START_MS + 50,
                                   START_MS + 60);
  ck_assert_uint_eq (acquittal.reporter_count, 1);
  ck_assert_uint_eq (acquittal.reporters[0], OTHER_HOST);
}
END_TEST

/* Guards against a caller that names parts without end, so that a held one is
   forgotten.  */
START_TEST (many_names_evict_no_held_part)
{
  int64_t now_ms = hold_at_both ();
  uint32_t i;

  for (i = 0; i < 10 * CSP_SUSPECTED_PARTS_MAX; i++)
    strike (here, 1000 + i, 100, now_ms + i, 0);
  ck_assert_uint_gt (left_ms (here, GUILTY, now_ms + i), 0);
  ck_assert_uint_eq (csp_count_suspected_parts (here),
                     CSP_SUSPECTED_PARTS_MAX);
  csp_expire_part_strikes (here, now_ms + HOLD_MS + 2 * FORGET_MS);
  ck_assert_uint_eq (csp_count_suspected_parts (here), 0);
}
END_TEST

/* Guards against messages that hold a part for ever or name none.  */
START_TEST (odd_messages_change_nothing)
{
  csp_held_part_t held[] = {
    { .part = 0, .left_ms = 1000 },
    { .part = SERVICE | GUILTY, .left_ms = 0 },
    { .part = SERVICE | GUILTY, .left_ms = UINT32_MAX },
  };
  csp_part_strike_t strikes[] = {
    { .part = 0, .target = 1 },
    { .part = SERVICE | GUILTY, .target = 1, .age_ms = UINT32_MAX },
  };
  size_t i;

  for (i = 0; i < sizeof held / sizeof held[0]; i++)
    csp_merge_held_part (here, &held[i], START_MS);
  for (i = 0; i < sizeof strikes / sizeof strikes[0]; i++)
    csp_add_part_strike (here, &strikes[i], OTHER_HOST, START_MS);
  ck_assert_uint_eq (csp_count_suspected_parts (here), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("part-quarantine");
  TCase *tests = tcase_create ("part-quarantine");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_loop_test (tests, the_part_that_ends_targets_is_held, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tests, a_target_that_lives_gives_no_strike);
  tcase_add_test (tests, strikes_of_all_hosts_are_added_up);
  tcase_add_test (tests, a_host_without_own_strikes_begins_no_hold);
  tcase_add_test (tests, a_hold_that_is_told_again_ends_in_time);
  tcase_add_test (tests, the_trial_is_one_request_at_one_host);
  tcase_add_loop_test (tests, a_later_answer_lifts_a_hold, 0,
                       sizeof answers / sizeof answers[0]);
  tcase_add_test (tests, a_host_that_served_the_part_contradicts);
  tcase_add_test (tests, hosts_whose_strikes_are_taken_back_are_named);
  tcase_add_test (tests, many_names_evict_no_held_part);
  tcase_add_test (tests, odd_messages_change_nothing);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
