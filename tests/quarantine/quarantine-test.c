#include "cowslipspoke/quarantine.h"
#include "cowslipspoke/random.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Requests under which targets end, without a network.  */

enum
{
  REQUEST = 77,
  OTHER = 78,
  HOLD_MS = 300000,
  SOUND_MS = 60000,
  FORGET_MS = 600000
};

static csp_quarantine_t *here;
static csp_quarantine_t *there;

static void
set_up (void)
{
  here = csp_create_quarantine ();
  there = csp_create_quarantine ();
}

static void
tear_down (void)
{
  csp_destroy_quarantine (here);
  csp_destroy_quarantine (there);
}

/* Some strikes at some times, and what holds afterwards.  */
typedef struct
{
  uint64_t target; /* 0: a whole answer */
  int64_t at_ms;
} step_t;

static const struct
{
  const char *name;
  step_t steps[6];
  int64_t asked_ms;
  uint32_t left_ms;
} strike_cases[] = {
  { "none", { { 0, 0 } }, 10, 0 },
  { "two targets", { { 1, 10 }, { 2, 20 } }, 30, 0 },
  { "one target thrice", { { 1, 10 }, { 1, 20 }, { 1, 30 } }, 30, 0 },
  { "three targets", { { 1, 10 }, { 2, 20 }, { 3, 30 } }, 30, HOLD_MS },
  { "a while later", { { 1, 10 }, { 2, 20 }, { 3, 30 } }, 130, HOLD_MS - 100 },
  { "the hold is over", { { 1, 10 }, { 2, 20 }, { 3, 30 } }, HOLD_MS + 30, 0 },
  { "one under way ends a fourth",
    { { 1, 10 }, { 2, 20 }, { 3, 30 }, { 4, 90 } },
    100,
    HOLD_MS - 10 },
  { "a trial ends a fourth",
    { { 1, 10 }, { 2, 20 }, { 3, 30 }, { 4, HOLD_MS + 100 } },
    HOLD_MS + 100,
    2 * HOLD_MS },
  { "an answer between",
    { { 1, SOUND_MS },
      { 2, SOUND_MS + 1 },
      { 0, SOUND_MS + 2 },
      { 3, 2 * SOUND_MS + 3 } },
    2 * SOUND_MS + 4,
    0 },
  { "an answer takes all back",
    { { 1, 10 }, { 2, 20 }, { 3, 30 }, { 0, 40 } },
    50,
    0 },
  { "answered lately, then three targets at once",
    { { 0, 10 }, { 1, 20 }, { 2, 20 }, { 3, 20 } },
    30,
    0 },
  { "answered long ago",
    { { 0, 10 },
      { 1, SOUND_MS + 10 },
      { 2, SOUND_MS + 20 },
      { 3, SOUND_MS + 30 } },
    SOUND_MS + 30,
    HOLD_MS },
};

START_TEST (three_targets_that_end_hold_a_request)
{
  const step_t *step;
  uint32_t left_ms;

  for (step = strike_cases[_i].steps; step->at_ms > 0; step++)
    if (step->target == 0)
      csp_clear_request (here, REQUEST, step->at_ms);
    else
      csp_strike_request (here, REQUEST, step->target, step->at_ms);
  left_ms = csp_quarantine_left_ms (here, REQUEST, strike_cases[_i].asked_ms);
  ck_assert_msg (left_ms == strike_cases[_i].left_ms, "%s: %u",
                 strike_cases[_i].name, left_ms);
  ck_assert_uint_eq (
      csp_quarantine_left_ms (here, OTHER, strike_cases[_i].asked_ms), 0);
}
END_TEST

/* Pass on what one host would name in a greeting.  */
static csp_suspect_change_t
greet (csp_quarantine_t *from, csp_quarantine_t *to, int64_t now_ms)
{
  csp_suspect_t named[1];

  if (csp_name_suspects (from, named, 1, now_ms) == 0)
    return CSP_SUSPECT_AS_BEFORE;
  return csp_merge_suspect (to, named, now_ms);
}

START_TEST (strikes_of_several_hosts_add_up)
{
  csp_strike_request (here, REQUEST, 1, 10);
  csp_strike_request (there, REQUEST, 2, 20);
  csp_strike_request (there, REQUEST, 1, 20);
  ck_assert_int_eq (greet (there, here, 30), CSP_SUSPECT_STRUCK);
  ck_assert_int_eq (greet (here, there, 30), CSP_SUSPECT_AS_BEFORE);
  csp_strike_request (here, REQUEST, 3, 40);
  ck_assert_int_eq (greet (here, there, 40), CSP_SUSPECT_QUARANTINED);
  ck_assert_uint_eq (csp_quarantine_left_ms (there, REQUEST, 40), HOLD_MS);
}
END_TEST

/* Guards against a host that forgets with its process: it is told at once.  */
START_TEST (a_host_that_starts_learns_what_is_held)
{
  csp_strike_request (here, REQUEST, 1, 10);
  csp_strike_request (here, REQUEST, 2, 10);
  csp_strike_request (here, REQUEST, 3, 10);
  ck_assert_int_eq (greet (here, there, 5010), CSP_SUSPECT_QUARANTINED);
  ck_assert_uint_eq (csp_quarantine_left_ms (there, REQUEST, 5010),
                     HOLD_MS - 5000);
}
END_TEST

/* Guards against a long hold that hosts forget one by one as they start.  */
START_TEST (a_host_that_starts_learns_of_a_hold_that_was_doubled)
{
  const int64_t first_trial_ms = HOLD_MS + 100;
  const int64_t second_trial_ms = first_trial_ms + 2 * HOLD_MS + 100;

  csp_strike_request (here, REQUEST, 1, 10);
  csp_strike_request (here, REQUEST, 2, 10);
  csp_strike_request (here, REQUEST, 3, 10);
  csp_strike_request (here, REQUEST, 4, first_trial_ms);
  csp_strike_request (here, REQUEST, 5, second_trial_ms);
  ck_assert_int_eq (greet (here, there, second_trial_ms + FORGET_MS + 1),
                    CSP_SUSPECT_QUARANTINED);
  ck_assert_uint_eq (
      csp_quarantine_left_ms (there, REQUEST, second_trial_ms + FORGET_MS + 1),
      4 * HOLD_MS - FORGET_MS - 1);
}
END_TEST

/* Guards against a hold that never ends: each word is some milliseconds older
   than it says.  */
START_TEST (a_hold_is_not_prolonged_by_words_that_go_round)
{
  const int64_t way_ms = 3;
  int64_t now_ms = 10;
  csp_suspect_t named;

  csp_strike_request (here, REQUEST, 1, now_ms);
  csp_strike_request (here, REQUEST, 2, now_ms);
  csp_strike_request (here, REQUEST, 3, now_ms);
  csp_strike_request (there, REQUEST, 4, now_ms);
  csp_strike_request (there, REQUEST, 5, now_ms);
  csp_strike_request (there, REQUEST, 6, now_ms);
  while (now_ms < HOLD_MS)
    {
      csp_name_suspects (here, &named, 1, now_ms);
      now_ms += way_ms;
      csp_merge_suspect (there, &named, now_ms);
      csp_name_suspects (there, &named, 1, now_ms);
      now_ms += way_ms;
      csp_merge_suspect (here, &named, now_ms);
    }
  ck_assert_uint_eq (csp_quarantine_left_ms (here, REQUEST, HOLD_MS + 1010),
                     0);
  ck_assert_uint_eq (csp_quarantine_left_ms (there, REQUEST, HOLD_MS + 1010),
                     0);
}
END_TEST

/* Guards against a host that starts while targets end, and hears of all that
   was beside them first.  */
START_TEST (what_is_held_is_named_before_fresh_strikes)
{
  csp_suspect_t named[2];
  uint64_t i;

  for (i = 0; i < 100; i++)
    csp_strike_request (here, 1000 + i, 1, 10);
  csp_strike_request (here, REQUEST, 1, 10);
  csp_strike_request (here, REQUEST, 2, 10);
  csp_strike_request (here, REQUEST, 3, 10);
  for (i = 0; i < 10; i++)
    {
      ck_assert_uint_eq (csp_name_suspects (here, named, 2, 20), 2);
      ck_assert_uint_eq (named[0].request, REQUEST);
      ck_assert_uint_eq (named[1].request, 1000 + i);
    }
}
END_TEST

START_TEST (a_host_that_has_answered_it_says_so)
{
  csp_clear_request (there, REQUEST, 5);
  csp_strike_request (here, REQUEST, 1, 10);
  ck_assert_int_eq (greet (here, there, 20), CSP_SUSPECT_SOUND);
  ck_assert (csp_clear_request (here, REQUEST, 21));
  ck_assert_uint_eq (csp_count_suspects (here), 0);
}
END_TEST

START_TEST (only_who_has_told_a_strike_tells_that_it_was_wrong)
{
  csp_strike_request (here, REQUEST, 1, 10);
  greet (here, there, 20);
  ck_assert (!csp_clear_request (there, REQUEST, 30));
  ck_assert (!csp_clear_request (there, REQUEST, 31));
  ck_assert (csp_clear_request (here, REQUEST, 32));
  ck_assert (!csp_clear_request (here, REQUEST, 33));
}
END_TEST

START_TEST (a_fresh_strike_is_told_twice)
{
  csp_suspect_t told[2];
  int i;

  csp_strike_request (here, REQUEST, 1, 10);
  for (i = 0; i < CSP_SUSPECT_TELLS; i++)
    ck_assert_uint_eq (csp_list_fresh_suspects (here, told, 2, 20), 1);
  ck_assert_uint_eq (csp_list_fresh_suspects (here, told, 2, 30), 0);
  ck_assert_uint_eq (told[0].request, REQUEST);
  ck_assert_uint_eq (told[0].age_ms, 10);
}
END_TEST

/* Guards against a caller who is cut on purpose, to have others forgotten.  */
START_TEST (many_single_strikes_push_out_nothing_that_is_held)
{
  uint64_t i;

  csp_strike_request (here, REQUEST, 1, 10);
  csp_strike_request (here, REQUEST, 2, 10);
  csp_strike_request (here, REQUEST, 3, 10);
  for (i = 0; i < 10 * CSP_SUSPECTS_MAX; i++)
    csp_strike_request (here, 1000 + i, 1, 20 + (int64_t)i);
  ck_assert_uint_le (csp_count_suspects (here), CSP_SUSPECTS_MAX);
  ck_assert_uint_gt (csp_quarantine_left_ms (here, REQUEST, 20), 0);
}
END_TEST

START_TEST (old_suspects_are_forgotten)
{
  csp_strike_request (here, REQUEST, 1, 10);
  csp_expire_suspects (here, FORGET_MS + 9);
  ck_assert_uint_eq (csp_count_suspects (here), 1);
  csp_expire_suspects (here, FORGET_MS + 10);
  ck_assert_uint_eq (csp_count_suspects (here), 0);
}
END_TEST

/* Words that say nothing, or what can't be.  */
static const csp_suspect_t bad_words[] = {
  { .request = 0, .strike_count = 1, .targets = { 1 } },
  { .request = REQUEST, .strike_count = 0 },
  { .request = REQUEST,
    .strike_count = 3,
    .targets = { 1, 2, 3 },
    .age_ms = UINT32_MAX },
  { .request = REQUEST, .strike_count = 3, .targets = { 1, 1, 1 } },
};

START_TEST (a_bad_word_holds_nothing)
{
  csp_merge_suspect (here, &bad_words[_i], 1000000);
  ck_assert_uint_eq (csp_quarantine_left_ms (here, REQUEST, 1000000), 0);
}
END_TEST

/* A seeded play: a request that ends each target comes again and again through
   any of some hosts, which start again, are cut off, and lose words.  */
enum
{
  PLAYED_HOSTS = 9,
  PLAY_MS = 90000,
  STEP_MS = 10,
  GREET_MS = 500,
  CONTACT_MS = 3000,
  RETRIES_MAX = 3,
  RUNS_MAX = 64,
  PLAYS = 40
};

typedef struct
{
  csp_quarantine_t *quarantine;
  int64_t disturbed_ms; /* until when it is cut off, or when it started */
  int64_t cut_until_ms;
} played_host_t;

typedef struct
{
  int host;
  uint64_t target;
  int64_t ends_ms; /* 0: not in use */
} played_run_t;

typedef struct
{
  played_host_t hosts[PLAYED_HOSTS];
  played_run_t runs[RUNS_MAX];
  csp_random_t random;
  uint64_t next_target;
  int64_t next_request_ms;
  int crashes;
  int64_t third_ms; /* when the third target ended; 0: not yet */
  int late_sends;   /* that the users count */
} play_t;

static int64_t
draw (play_t *play, int64_t least, int64_t most)
{
  return least
         + (int64_t)(csp_random_unit (&play->random)
                     * (double)(most - least + 1));
}

static bool
is_cut (const played_host_t *host, int64_t now_ms)
{
  return now_ms < host->cut_until_ms;
}

static void
pass_word (play_t *play, int from, int to, const csp_suspect_t *word,
           int64_t now_ms)
{
  if (from != to && !is_cut (&play->hosts[from], now_ms)
      && !is_cut (&play->hosts[to], now_ms) && draw (play, 0, 9) > 0)
    csp_merge_suspect (play->hosts[to].quarantine, word, now_ms);
}

static void
tell (play_t *play, int from, int64_t now_ms)
{
  csp_suspect_t words[1];
  int to;

  while (
      csp_list_fresh_suspects (play->hosts[from].quarantine, words, 1, now_ms)
      > 0)
    for (to = 0; to < PLAYED_HOSTS; to++)
      pass_word (play, from, to, words, now_ms);
  if (now_ms % GREET_MS == 0
      && csp_name_suspects (play->hosts[from].quarantine, words, 1, now_ms)
             > 0)
    pass_word (play, from, (int)draw (play, 0, PLAYED_HOSTS - 1), words,
               now_ms);
}

static void
disturb (play_t *play, int64_t now_ms)
{
  played_host_t *host = &play->hosts[draw (play, 0, PLAYED_HOSTS - 1)];

  if (draw (play, 0, 400) > 0)
    return;
  host->disturbed_ms = now_ms;
  if (draw (play, 0, 1) > 0)
    {
      host->cut_until_ms = now_ms + draw (play, 500, 5000);
      host->disturbed_ms = host->cut_until_ms;
      return;
    }
  csp_destroy_quarantine (host->quarantine);
  host->quarantine = csp_create_quarantine ();
}

static void
send_request (play_t *play, int64_t now_ms)
{
  int at = (int)draw (play, 0, PLAYED_HOSTS - 1);
  const played_host_t *host = &play->hosts[at];
  int i;

  play->next_request_ms = now_ms + draw (play, 100, 1500);
  if (csp_quarantine_left_ms (host->quarantine, REQUEST, now_ms) > 0)
    return;
  for (i = 0; i < RUNS_MAX; i++)
    if (play->runs[i].ends_ms == 0)
      {
        play->runs[i] = (played_run_t){
          .host = at,
          .target = ++play->next_target,
          .ends_ms = now_ms + draw (play, 50, 2000),
        };
        break;
      }
  play->late_sends += play->third_ms != 0
                      && now_ms - play->third_ms > CONTACT_MS
                      && now_ms - host->disturbed_ms > CONTACT_MS;
}

static void
end_runs (play_t *play, int64_t now_ms)
{
  int i;

  for (i = 0; i < RUNS_MAX; i++)
    {
      played_run_t *run = &play->runs[i];

      if (run->ends_ms == 0 || now_ms < run->ends_ms)
        continue;
      run->ends_ms = 0;
      if (++play->crashes == CSP_STRIKES_MAX)
        play->third_ms = now_ms;
      csp_strike_request (play->hosts[run->host].quarantine, REQUEST,
                          run->target, now_ms);
    }
}

START_TEST (hosts_in_touch_send_what_is_held_nowhere)
{
  play_t play = { .next_request_ms = 1000 };
  int64_t now_ms;
  int i;

  csp_seed_random (&play.random, (uint64_t)_i + 1);
  for (i = 0; i < PLAYED_HOSTS; i++)
    play.hosts[i].quarantine = csp_create_quarantine ();
  for (now_ms = STEP_MS; now_ms < PLAY_MS; now_ms += STEP_MS)
    {
      disturb (&play, now_ms);
      end_runs (&play, now_ms);
      for (i = 0; i < PLAYED_HOSTS; i++)
        tell (&play, i, now_ms);
      if (now_ms >= play.next_request_ms)
        send_request (&play, now_ms);
    }
  ck_assert_int_ge (play.crashes, CSP_STRIKES_MAX);
  ck_assert_msg (play.late_sends <= RETRIES_MAX, "seed %d: sent %d times more",
                 _i + 1, play.late_sends);
  for (i = 0; i < PLAYED_HOSTS; i++)
    csp_destroy_quarantine (play.hosts[i].quarantine);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quarantine");
  TCase *tests = tcase_create ("quarantine");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_loop_test (tests, three_targets_that_end_hold_a_request, 0,
                       sizeof strike_cases / sizeof strike_cases[0]);
  tcase_add_test (tests, strikes_of_several_hosts_add_up);
  tcase_add_test (tests, a_host_that_starts_learns_what_is_held);
  tcase_add_test (tests, a_host_that_starts_learns_of_a_hold_that_was_doubled);
  tcase_add_test (tests, a_hold_is_not_prolonged_by_words_that_go_round);
  tcase_add_test (tests, what_is_held_is_named_before_fresh_strikes);
  tcase_add_test (tests, a_host_that_has_answered_it_says_so);
  tcase_add_test (tests, only_who_has_told_a_strike_tells_that_it_was_wrong);
  tcase_add_test (tests, a_fresh_strike_is_told_twice);
  tcase_add_test (tests, many_single_strikes_push_out_nothing_that_is_held);
  tcase_add_test (tests, old_suspects_are_forgotten);
  tcase_add_loop_test (tests, a_bad_word_holds_nothing, 0,
                       sizeof bad_words / sizeof bad_words[0]);
  tcase_add_loop_test (tests, hosts_in_touch_send_what_is_held_nowhere, 0,
                       PLAYS);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
