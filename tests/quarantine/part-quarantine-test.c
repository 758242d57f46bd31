#include "cowslipspoke/part-quarantine.h"

#include "support/run-suite.h"

#include <check.h>
#include <string.h>

/* Quarantine of prompt parts, without a network.  */

enum
{
  HOLD_MS = 60000,
  TRIAL_LEAD_MS = 10000,
  TRIAL_SPREAD_MS = 20000,
  TRIAL_MS = 10000,
  TRIAL_RETRY_MS = 1000,
  SETTLE_MS = 300,
  FORGET_MS = 600000,
  ASK_MS = 300,
  START_MS = 1000,
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
  here = csp_create_part_quarantine (1);
  there = csp_create_part_quarantine (1);
}

static void
tear_down (void)
{
  csp_destroy_part_quarantine (here);
  csp_destroy_part_quarantine (there);
}

static void
strike (csp_part_quarantine_t *quarantine, uint32_t part, uint64_t target,
        int64_t at_ms, bool own)
{
  csp_part_strike_t row
      = { .part = SERVICE | part, .target = target, .position = part };

  if (own)
    csp_add_own_part_strike (quarantine, &row, at_ms, at_ms);
  else
    csp_add_part_strike (quarantine, &row, at_ms);
}

static bool
has_ended (void *state, uint64_t target, int64_t at_ms)
{
  const uint64_t *live = state;

  (void)at_ms;
  return live == NULL || target != *live;
}

static const csp_trial_facts_t facts = { .has_ended = has_ended };

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
  uint32_t tried[4];
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
  { "four ends, and it is early",
    { END (0, 1, GUILTY), END (500, 2, GUILTY), END (1000, 3, GUILTY),
      END (1100, 4, GUILTY) },
    1499,
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
  { "two parts at once, the first one is served",
    { END (0, 1, FIRST, GUILTY), END (300, 2, FIRST, GUILTY_TOO),
      END (600, 3, FIRST, GUILTY), END (900, 4, FIRST, GUILTY_TOO),
      END (1200, 5, FIRST, GUILTY), END (1500, 6, FIRST, GUILTY_TOO),
      END (1800, 7, FIRST, GUILTY), END (2100, 8, FIRST, GUILTY_TOO),
      SOUND (2200, FIRST, POPULAR) },
    60000,
    { GUILTY, GUILTY_TOO } },
  { "two parts or the first one: what explains all is tried first",
    { SOUND (10, FIRST, GUILTY), SOUND (10, FIRST, GUILTY_TOO),
      END (100, 1, FIRST, GUILTY), END (400, 2, FIRST, GUILTY_TOO),
      END (700, 3, FIRST, GUILTY), END (1000, 4, FIRST, GUILTY_TOO),
      END (1300, 5, FIRST, GUILTY), END (1600, 6, FIRST, GUILTY_TOO),
      END (1900, 7, FIRST, GUILTY), END (2200, 8, FIRST, GUILTY_TOO) },
    60000,
    { FIRST } },
  { "a few targets at one moment",
    { END (0, 1, FIRST, POPULAR), END (1, 2, FIRST, POPULAR),
      END (2, 3, FIRST, POPULAR), END (3, 4, FIRST, POPULAR),
      END (4, 5, FIRST, POPULAR) },
    60000,
    { 0 } },
  { "a few targets at one moment, and at a second one",
    { END (0, 1, GUILTY), END (1, 2, GUILTY), END (2, 3, GUILTY),
      END (3, 4, GUILTY), END (4000, 5, GUILTY), END (4001, 6, GUILTY) },
    60000,
    { GUILTY } },
  { "many targets at one moment",
    { END (0, 1, FIRST, GUILTY), END (1, 2, FIRST, GUILTY),
      END (2, 3, FIRST, GUILTY), END (3, 4, FIRST, GUILTY),
      END (4, 5, FIRST, GUILTY), END (5, 6, FIRST, GUILTY) },
    60000,
    { GUILTY } },
  { "all targets within half a second, beside a rare part",
    { END (0, 1, GUILTY, RARE), END (40, 2, GUILTY), END (80, 3, GUILTY, RARE),
      END (120, 4, GUILTY), END (160, 5, GUILTY, RARE), END (200, 6, GUILTY),
      END (240, 7, GUILTY, RARE), END (280, 8, GUILTY),
      END (320, 9, GUILTY, RARE), END (360, 10, GUILTY),
      END (400, 11, GUILTY, RARE), END (440, 12, GUILTY) },
    60000,
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

static bool
contains (const uint64_t *listed, size_t count, uint32_t part)
{
  size_t i;

  for (i = 0; i < count; i++)
    if (listed[i] == (SERVICE | part))
      return true;
  return false;
}

/* Guards against a part that goes on ending targets, and against sound parts
   that are suspected in its place.  */
START_TEST (the_part_that_ends_targets_is_tried)
{
  const step_t *step;
  int64_t checked_at_ms = START_MS + cases[_i].checked_at_ms;
  uint64_t listed[8];
  size_t count;
  size_t expected = 0;
  size_t i;

  for (step = cases[_i].steps; step->kind != STEP_NONE; step++)
    for (i = 0; i < 4 && step->parts[i] != 0; i++)
      if (step->kind == STEP_END)
        strike (here, step->parts[i], step->target, START_MS + step->at_ms,
                step->target / 2 % 2 == 1);
      else
        csp_note_sound_part (here, SERVICE | step->parts[i],
                             START_MS + step->at_ms);
  csp_try_suspected_parts (here, &facts, listed, 8, checked_at_ms - ASK_MS);
  count = csp_try_suspected_parts (here, &facts, listed, 8, checked_at_ms);
  for (i = 0; i < 4 && cases[_i].tried[i] != 0; i++, expected++)
    ck_assert_msg (contains (listed, count, cases[_i].tried[i]),
                   "%s: %u isn't tried", cases[_i].name, cases[_i].tried[i]);
  ck_assert_msg (count == expected, "%s: %zu tried", cases[_i].name, count);
}
END_TEST

static void
end_four_targets (csp_part_quarantine_t *quarantine, uint32_t part, bool own,
                  int64_t from_ms)
{
  int64_t i;

  for (i = 0; i < 4; i++)
    strike (quarantine, part, (uint64_t)i + 1, from_ms + i * 700, own);
}

static size_t
try_parts (csp_part_quarantine_t *quarantine, int64_t now_ms)
{
  uint64_t listed[8];

  /* The other hosts are asked first.  */
  ck_assert_uint_eq (
      csp_try_suspected_parts (quarantine, &facts, listed, 8, now_ms - ASK_MS),
      0);
  return csp_try_suspected_parts (quarantine, &facts, listed, 8, now_ms);
}

/* Guards against ends that only connections had: a target that is heard of
   later lives.  */
START_TEST (a_target_that_lives_gives_no_strike)
{
  uint64_t live = 3;
  csp_trial_facts_t one_lives = { .has_ended = has_ended, .state = &live };
  uint64_t listed[8];

  end_four_targets (here, GUILTY, true, START_MS);
  ck_assert_uint_eq (
      csp_try_suspected_parts (here, &one_lives, listed, 8, START_MS + 60000),
      0);
}
END_TEST

/* Guards against hosts that each need their own strikes, and against a hold
   that depends on the order or the number of messages.  */
START_TEST (strikes_of_all_hosts_are_added_up)
{
  csp_part_strike_t strikes[8];
  size_t count;
  size_t i;

  strike (there, GUILTY, 1, START_MS, true);
  strike (there, GUILTY, 2, START_MS + 700, true);
  strike (here, GUILTY, 3, START_MS + 1400, true);
  strike (here, GUILTY, 4, START_MS + 2100, true);
  ck_assert_uint_eq (try_parts (here, START_MS + 5000), 0);
  count = csp_take_part_strikes (there, strikes, 8, START_MS + 5000);
  ck_assert_uint_eq (count, 2);
  for (i = count; i > 0; i--)
    csp_add_part_strike (here, &strikes[i - 1], START_MS + 5000);
  ck_assert_uint_eq (csp_take_part_strikes (there, strikes, 8, START_MS), 2);
  ck_assert_uint_eq (csp_take_part_strikes (there, strikes, 8, START_MS), 0);
  csp_add_part_strike (here, &strikes[0], START_MS + 5000);
  ck_assert_uint_eq (try_parts (here, START_MS + 5000), 1);
}
END_TEST

/* Guards against a trial by hosts that know the ends only by the word of
   others, and would each tell all hosts.  */
START_TEST (a_host_without_own_strikes_begins_no_trial)
{
  end_four_targets (here, GUILTY, false, START_MS);
  ck_assert_uint_eq (try_parts (here, START_MS + 60000), 0);
}
END_TEST

static const struct
{
  bool is_only_host;
  uint64_t strikes;
  bool tried;
} views[] = { { false, 5, false }, { false, 6, true }, { true, 4, true } };

/* Guards against one host's view: its connections were cut, and not its
   targets.  */
START_TEST (strikes_that_one_host_saw_take_more)
{
  csp_trial_facts_t view
      = { .has_ended = has_ended, .is_only_host = views[_i].is_only_host };
  uint64_t listed[4];
  uint64_t i;

  for (i = 1; i <= views[_i].strikes; i++)
    strike (here, GUILTY, i, START_MS + (int64_t)i * 700, true);
  csp_try_suspected_parts (here, &view, listed, 4, START_MS + 6000);
  ck_assert_uint_eq (
      csp_try_suspected_parts (here, &view, listed, 4, START_MS + 7000),
      views[_i].tried);
}
END_TEST

/* Try the part here, and let the other host hear of it.  */
static int64_t
try_at_both (void)
{
  int64_t now_ms = START_MS + 3000;
  csp_held_part_t held[4];

  strike (here, GUILTY, 9, START_MS, false);
  end_four_targets (here, GUILTY, true, START_MS);
  ck_assert_uint_eq (try_parts (here, now_ms), 1);
  ck_assert_uint_eq (csp_take_held_parts (here, held, 4, now_ms), 1);
  ck_assert_int_eq (csp_merge_held_part (there, &held[0], false, now_ms),
                    CSP_PART_ON_TRIAL);
  ck_assert_int_eq (csp_merge_held_part (there, &held[0], false, now_ms + 1),
                    CSP_PART_UNCHANGED);
  return now_ms;
}

/* Returns how many parts are held now.  */
static size_t
hold_failed_parts (int64_t now_ms)
{
  csp_trial_verdict_t verdicts[4];
  size_t count = csp_judge_failed_trials (here, verdicts, 4, now_ms);
  size_t held = 0;
  size_t i;

  for (i = 0; i < count; i++)
    held += verdicts[i].held;
  return held;
}

static csp_prompt_parts_t guilty
    = { .count = 1, .parts = { SERVICE | GUILTY } };

/* A request with the part is sent on trial, and ends its target.  Returns when
   the hold begins.  */
static int64_t
fail_trial (int64_t now_ms, uint64_t target)
{
  csp_part_strike_t row = { .part = SERVICE | GUILTY, .target = target };

  csp_begin_part_trials (here, &guilty, now_ms);
  csp_add_own_part_strike (here, &row, now_ms, now_ms + 500);
  now_ms += 500 + SETTLE_MS;
  ck_assert_uint_eq (hold_failed_parts (now_ms - 1), 0);
  ck_assert_uint_gt (left_ms (here, GUILTY, now_ms - 1), 0);
  ck_assert_uint_eq (hold_failed_parts (now_ms), 1);
  return now_ms;
}

/* Guards against all hosts trying a part at once.  */
START_TEST (the_trial_is_one_request_at_one_host)
{
  int64_t now_ms = try_at_both ();

  ck_assert_uint_ge (left_ms (there, GUILTY, now_ms), TRIAL_LEAD_MS);
  ck_assert_uint_eq (csp_part_retry_after_ms (there, &guilty, now_ms),
                     TRIAL_RETRY_MS);
  ck_assert_uint_eq (csp_part_retry_after_ms (here, &guilty, now_ms), 0);
  ck_assert_uint_eq (left_ms (here, GUILTY, now_ms), 0);
  csp_begin_part_trials (here, &guilty, now_ms);
  ck_assert_uint_eq (left_ms (here, GUILTY, now_ms + 1), TRIAL_MS - 1);
  /* Its target refuses it.  */
  csp_cancel_part_trials (here, &guilty, now_ms + 1);
  ck_assert_uint_eq (left_ms (here, GUILTY, now_ms + 1), 0);
  csp_begin_part_trials (here, &guilty, now_ms);
  ck_assert_uint_eq (left_ms (here, GUILTY, now_ms + TRIAL_MS), 0);
}
END_TEST

/* Guards against hosts that have just started and send what all others keep
   back, and against a trial that begins anew with each word of it.  */
START_TEST (a_host_that_starts_hears_of_a_trial)
{
  int64_t now_ms = try_at_both ();
  csp_part_quarantine_t *started = csp_create_part_quarantine (2);
  csp_held_part_t held[4];

  ck_assert_uint_eq (csp_list_held_parts (there, held, 4, now_ms + 1500), 1);
  csp_merge_held_part (started, &held[0], true, now_ms + 1500);
  ck_assert_uint_ge (left_ms (started, GUILTY, now_ms + 1500),
                     TRIAL_LEAD_MS - 1500);
  csp_list_held_parts (started, held, 4, now_ms + 4000);
  csp_merge_held_part (here, &held[0], true, now_ms + 4000);
  ck_assert_uint_eq (left_ms (here, GUILTY, now_ms + 4000), 0);
  ck_assert_uint_eq (
      left_ms (started, GUILTY, now_ms + TRIAL_LEAD_MS + TRIAL_SPREAD_MS), 0);
  csp_destroy_part_quarantine (started);
}
END_TEST

static const struct
{
  bool precedes;
  bool leads;
  bool waits;
} rivals[] = { { true, true, true },
               { false, true, false },
               /* It only passes on what another host began.  */
               { true, false, false } };

/* Guards against two hosts that begin the same trial at once.  */
START_TEST (one_of_two_hosts_leads_a_trial)
{
  int64_t now_ms = try_at_both ();
  csp_held_part_t rival = { .part = SERVICE | GUILTY,
                            .leads = rivals[_i].leads,
                            .strike_age_ms = 900 };

  csp_merge_held_part (here, &rival, rivals[_i].precedes, now_ms + 2);
  ck_assert ((left_ms (here, GUILTY, now_ms + 2) > 0) == rivals[_i].waits);
}
END_TEST

/* Guards against hosts that each send a request on trial, one after the other,
   where the one that leads the trial has none.  */
START_TEST (a_host_that_tries_leads_the_trial)
{
  int64_t now_ms = try_at_both () + TRIAL_LEAD_MS + TRIAL_SPREAD_MS;
  csp_held_part_t held[4];

  ck_assert_uint_eq (left_ms (there, GUILTY, now_ms), 0);
  csp_take_held_parts (here, held, 4, now_ms);
  csp_begin_part_trials (there, &guilty, now_ms);
  ck_assert_uint_eq (csp_take_held_parts (there, held, 4, now_ms), 1);
  ck_assert (held[0].leads);
  ck_assert_int_eq (csp_merge_held_part (here, &held[0], false, now_ms),
                    CSP_PART_ON_TRIAL);
  ck_assert_uint_ge (left_ms (here, GUILTY, now_ms), TRIAL_LEAD_MS);
  csp_cancel_part_trials (there, &guilty, now_ms + 1);
  ck_assert_uint_eq (left_ms (there, GUILTY, now_ms + 1), 0);
}
END_TEST

/* Guards against a part that ends a target with each trial.  */
START_TEST (a_failed_trial_holds_the_part)
{
  int64_t now_ms = fail_trial (try_at_both (), 10);
  csp_held_part_t held[4];

  ck_assert_uint_eq (left_ms (here, GUILTY, now_ms), HOLD_MS);
  ck_assert_uint_eq (csp_part_retry_after_ms (here, &guilty, now_ms), HOLD_MS);
  ck_assert_uint_eq (csp_take_held_parts (here, held, 4, now_ms), 1);
  ck_assert_int_eq (csp_merge_held_part (there, &held[0], false, now_ms),
                    CSP_PART_HELD);
  ck_assert_uint_ge (left_ms (there, GUILTY, now_ms), HOLD_MS + TRIAL_LEAD_MS);
  now_ms = fail_trial (now_ms + HOLD_MS, 11);
  ck_assert_uint_eq (left_ms (here, GUILTY, now_ms), 2 * HOLD_MS);
}
END_TEST

/* Guards against a sound part that is held as its trial ran beside a guilty
   part, and against a hold for requests from before the trial.  */
START_TEST (an_end_with_another_cause_fails_no_trial)
{
  int64_t now_ms = try_at_both ();
  csp_held_part_t other
      = { .part = SERVICE | GUILTY_TOO, .left_ms = 100, .failed_trials = 1 };
  csp_part_strike_t row = { .part = SERVICE | GUILTY, .target = 10 };

  csp_add_own_part_strike (here, &row, now_ms - 1, now_ms);
  ck_assert_uint_eq (hold_failed_parts (now_ms + 1000), 0);
  csp_merge_held_part (here, &other, false, now_ms);
  strike (here, GUILTY_TOO, 11, now_ms + 100, false);
  row.target = 11;
  csp_add_own_part_strike (here, &row, now_ms + 50, now_ms + 100);
  ck_assert_uint_eq (hold_failed_parts (now_ms + 1000), 0);
  ck_assert_uint_eq (left_ms (here, GUILTY, now_ms + 1000), 0);
}
END_TEST

static const struct
{
  const char *name;
  step_t beside; /* times: since the end under the trial */
  uint32_t on_trial;
  bool held;
} failures[] = {
  { "no other end", { .kind = STEP_NONE }, 0, true },
  { "another target ended half a second before", END (-500, 11, POPULAR), 0,
    true },
  { "another target ended just before", END (-400, 11, POPULAR), 0, false },
  { "another target ended just after", END (200, 11, POPULAR), 0, false },
  { "a target that had the part as well", END (-400, 11, GUILTY), 0, false },
  { "a target that another part explains", END (-400, 11, POPULAR, GUILTY_TOO),
    GUILTY_TOO, true },
  { "beside a part that is more suspicious", END (0, 10, GUILTY_TOO),
    GUILTY_TOO, false },
  { "beside a part that is on trial for nothing there",
    { .kind = STEP_NONE },
    GUILTY_TOO,
    true },
};

/* Guards against a sound part that is held, as its target ended among others;
   and against a part that is tried again and again for that.  */
START_TEST (a_trial_that_ends_among_others_is_repeated_once)
{
  int64_t now_ms = try_at_both ();
  int64_t end_ms = now_ms + 500;
  csp_held_part_t other = { .part = SERVICE | failures[_i].on_trial };
  csp_part_strike_t row = { .part = SERVICE | GUILTY, .target = 10 };
  const step_t *beside = &failures[_i].beside;
  size_t i;

  csp_note_sound_part (here, SERVICE | GUILTY, START_MS - 100);
  csp_merge_held_part (here, &other, false, now_ms);
  csp_begin_part_trials (here, &guilty, now_ms);
  csp_add_own_part_strike (here, &row, now_ms, end_ms);
  for (i = 0; beside->kind == STEP_END && i < 4 && beside->parts[i] != 0; i++)
    strike (here, beside->parts[i], beside->target, end_ms + beside->at_ms,
            false);
  ck_assert_msg (hold_failed_parts (end_ms + SETTLE_MS) == failures[_i].held,
                 "%s", failures[_i].name);
  if (failures[_i].held)
    return;
  ck_assert_uint_eq (left_ms (here, GUILTY, end_ms + SETTLE_MS), 0);
  row.target = 12;
  now_ms = end_ms + 1000;
  csp_begin_part_trials (here, &guilty, now_ms);
  csp_add_own_part_strike (here, &row, now_ms, now_ms + 500);
  strike (here, POPULAR, 13, now_ms + 400, false);
  ck_assert_uint_eq (hold_failed_parts (now_ms + 500 + SETTLE_MS), 1);
}
END_TEST

/* Guards against holds that hosts extend by telling each other.  */
START_TEST (a_hold_that_is_told_again_ends_in_time)
{
  int64_t now_ms = fail_trial (try_at_both (), 10);
  int64_t end_ms = now_ms + HOLD_MS;
  csp_held_part_t held[4];

  for (; now_ms < end_ms + 2 * TRIAL_LEAD_MS; now_ms += 1000)
    {
      if (csp_list_held_parts (there, held, 4, now_ms) > 0)
        csp_merge_held_part (here, &held[0], true, now_ms + 2);
      if (csp_list_held_parts (here, held, 4, now_ms) > 0)
        csp_merge_held_part (there, &held[0], false, now_ms + 2);
    }
  ck_assert_uint_eq (left_ms (here, GUILTY, end_ms + 100), 0);
  ck_assert_uint_eq (
      left_ms (there, GUILTY, end_ms + TRIAL_LEAD_MS + TRIAL_SPREAD_MS + 1000),
      0);
}
END_TEST

static const struct
{
  int64_t began_ms; /* since the last strike */
  bool lifted;
} answers[] = { { -100, false }, { 0, false }, { 1, true } };

/* Guards against a sound part that stays on trial although it is served.  */
START_TEST (a_later_answer_ends_a_trial)
{
  int64_t now_ms = try_at_both ();
  int64_t began_ms = START_MS + 2100 + answers[_i].began_ms;
  bool lifted = answers[_i].lifted;

  csp_begin_part_trials (here, &guilty, now_ms);
  ck_assert_int_eq (csp_note_sound_part (here, SERVICE | GUILTY, began_ms),
                    lifted ? CSP_OWN_HOLD_LIFTED : CSP_HOLD_UNCHANGED);
  ck_assert ((left_ms (here, GUILTY, now_ms) == 0) == lifted);
  ck_assert_int_eq (csp_note_sound_part (there, SERVICE | GUILTY, began_ms),
                    lifted ? CSP_HOLD_LIFTED : CSP_HOLD_UNCHANGED);
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

  csp_note_sound_part (here, SERVICE | FIRST, START_MS + 8000);
  ck_assert (!csp_add_part_strike (here, &late, START_MS + 10000));
  ck_assert_int_eq (csp_merge_held_part (here, &held, false, START_MS + 10000),
                    CSP_PART_SOUND);
  ck_assert (
      csp_find_sound_part (here, SERVICE | FIRST, &sound, START_MS + 10000));
  ck_assert_uint_eq (sound.age_ms, 2000);
  ck_assert_uint_eq (csp_count_suspected_parts (here), 0);
}
END_TEST

/* Guards against a popular part that a host holds, as it has strikes and the
   answers were other hosts'.  */
START_TEST (other_hosts_are_asked_before_a_trial)
{
  int64_t asked_ms = START_MS + 3000;
  csp_held_part_t question;
  csp_sound_part_t sound;
  uint64_t listed[4];

  strike (here, FIRST, 9, START_MS, false);
  end_four_targets (here, FIRST, true, START_MS);
  csp_note_sound_part (there, SERVICE | FIRST, START_MS + 2500);
  csp_try_suspected_parts (here, &facts, listed, 4, asked_ms);
  ck_assert_uint_eq (csp_take_held_parts (here, &question, 1, asked_ms), 1);
  ck_assert_uint_eq (csp_take_held_parts (here, &question, 1, asked_ms), 0);
  ck_assert (question.asks);
  ck_assert_int_eq (csp_merge_held_part (there, &question, false, asked_ms),
                    CSP_PART_SOUND);
  ck_assert (csp_find_sound_part (there, SERVICE | FIRST, &sound, asked_ms));
  csp_note_sound_part (here, sound.part, asked_ms - sound.age_ms);
  ck_assert_uint_eq (
      csp_try_suspected_parts (here, &facts, listed, 4, asked_ms + ASK_MS), 0);
  ck_assert_uint_eq (csp_count_suspected_parts (here), 0);
}
END_TEST

/* Guards against a caller that names parts without end, so that a held one is
   forgotten.  */
START_TEST (many_names_evict_no_held_part)
{
  int64_t now_ms = fail_trial (try_at_both (), 10);
  uint32_t i;

  for (i = 0; i < 10 * CSP_SUSPECTED_PARTS_MAX; i++)
    strike (here, 1000 + i, 100, now_ms + i, true);
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
    { .part = SERVICE | GUILTY, .left_ms = UINT32_MAX },
  };
  csp_part_strike_t strikes[] = {
    { .part = 0, .target = 1 },
    { .part = SERVICE | GUILTY, .target = 1, .age_ms = UINT32_MAX },
  };
  size_t i;

  for (i = 0; i < sizeof held / sizeof held[0]; i++)
    csp_merge_held_part (here, &held[i], false, START_MS);
  for (i = 0; i < sizeof strikes / sizeof strikes[0]; i++)
    csp_add_part_strike (here, &strikes[i], START_MS);
  ck_assert_uint_eq (csp_count_suspected_parts (here), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("part-quarantine");
  TCase *tests = tcase_create ("part-quarantine");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_loop_test (tests, the_part_that_ends_targets_is_tried, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tests, a_target_that_lives_gives_no_strike);
  tcase_add_test (tests, strikes_of_all_hosts_are_added_up);
  tcase_add_test (tests, a_host_without_own_strikes_begins_no_trial);
  tcase_add_loop_test (tests, strikes_that_one_host_saw_take_more, 0,
                       sizeof views / sizeof views[0]);
  tcase_add_test (tests, the_trial_is_one_request_at_one_host);
  tcase_add_test (tests, a_host_that_starts_hears_of_a_trial);
  tcase_add_loop_test (tests, one_of_two_hosts_leads_a_trial, 0,
                       sizeof rivals / sizeof rivals[0]);
  tcase_add_test (tests, a_host_that_tries_leads_the_trial);
  tcase_add_test (tests, a_failed_trial_holds_the_part);
  tcase_add_test (tests, an_end_with_another_cause_fails_no_trial);
  tcase_add_loop_test (tests, a_trial_that_ends_among_others_is_repeated_once,
                       0, sizeof failures / sizeof failures[0]);
  tcase_add_test (tests, a_hold_that_is_told_again_ends_in_time);
  tcase_add_loop_test (tests, a_later_answer_ends_a_trial, 0,
                       sizeof answers / sizeof answers[0]);
  tcase_add_test (tests, a_host_that_served_the_part_contradicts);
  tcase_add_test (tests, other_hosts_are_asked_before_a_trial);
  tcase_add_test (tests, many_names_evict_no_held_part);
  tcase_add_test (tests, odd_messages_change_nothing);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
