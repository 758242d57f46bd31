#include "cowslipspoke/health.h"
#include "cowslipspoke/peer-choice.h"
#include "cowslipspoke/placement.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

enum
{
  TARGETS = 10,
  MEMORY = 60000,
  PREFIX = 77
};

static csp_lengths_t *lengths;
static csp_ledger_t *ledgers[TARGETS];
static csp_candidate_t candidates[TARGETS];
static csp_placement_policy_t policy;

static void
set_up (void)
{
  csp_length_policy_t lengths_policy = csp_default_length_policy ();
  csp_admission_policy_t admission = csp_default_admission_policy ();
  csp_load_report_t report = { .sequence = 1, .memory_tokens = MEMORY };
  uint32_t i;

  policy = csp_default_placement_policy ();
  lengths = csp_create_lengths (&lengths_policy);
  for (i = 0; i < TARGETS; i++)
    {
      ledgers[i] = csp_create_ledger (&admission, lengths);
      csp_apply_load_report (ledgers[i], &report, 1000);
      candidates[i] = (csp_candidate_t){ .ledger = ledgers[i],
                                         .usable_share = 1,
                                         .slowness = 1 };
    }
}

static void
tear_down (void)
{
  uint32_t i;

  for (i = 0; i < TARGETS; i++)
    csp_destroy_ledger (ledgers[i]);
  csp_destroy_lengths (lengths);
}

static csp_stream_t
stream_of (uint32_t prompt_tokens)
{
  csp_stream_t stream = { .prompt_tokens = prompt_tokens, .priority = 5 };

  return stream;
}

static void
add_stream (uint32_t target, uint32_t prompt_tokens,
            uint32_t generated_token_count)
{
  csp_stream_t stream = stream_of (prompt_tokens);

  csp_add_stream (ledgers[target], &stream, generated_token_count, 1000);
}

/* What makes the first of two targets the worse choice.  A prompt that is
   still being computed there delays the new stream's first token, and so does
   a full or slow target; a cached prefix on the other target avoids most of
   the work.  */
static const struct
{
  const char *name;
  uint32_t pending_prompt;
  uint32_t held_tokens;
  double slowness;
  double open;
  uint32_t cached_elsewhere;
} worse_targets[] = {
  { "pending prompt", 6000, 0, 1, 1, 0 },
  { "tokens in memory", 0, 20000, 1, 1, 0 },
  { "slower", 0, 0, 2, 1, 0 },
  { "closed", 0, 0, 1, 0, 0 },
  { "prefix cached elsewhere", 0, 0, 1, 1, 2000 },
};

START_TEST (the_better_of_two_is_chosen)
{
  csp_stream_t stream = stream_of (4000);
  uint32_t chosen = 0;

  add_stream (1, 500, 50);
  if (worse_targets[_i].pending_prompt != 0)
    {
      add_stream (0, worse_targets[_i].pending_prompt, 0);
      add_stream (1, worse_targets[_i].pending_prompt, 50);
    }
  if (worse_targets[_i].held_tokens != 0)
    add_stream (0, worse_targets[_i].held_tokens, 50);
  candidates[0].slowness = worse_targets[_i].slowness;
  candidates[0].usable_share = worse_targets[_i].open;
  candidates[1].cached_tokens = worse_targets[_i].cached_elsewhere;
  ck_assert (
      csp_choose_target (&policy, candidates, 2, &stream, 1000, &chosen));
  ck_assert_msg (chosen == 1, "%s", worse_targets[_i].name);
}
END_TEST

/* Most prompts have the same prefix.  The target that has it cached is chosen
   only until its queue of prompts costs more than computing the prefix
   elsewhere.  Otherwise that target would be overloaded while the others are
   idle.  */
START_TEST (a_popular_prefix_does_not_overload_its_target)
{
  csp_stream_t stream = stream_of (3000);
  csp_prefixes_t prefixes[TARGETS] = { 0 };
  uint32_t counts[TARGETS] = { 0 };
  uint32_t chosen = 0;
  uint32_t i;
  uint32_t j;

  for (i = 0; i < 40; i++)
    {
      for (j = 0; j < TARGETS; j++)
        candidates[j].cached_tokens = csp_cached_tokens (&prefixes[j], PREFIX);
      ck_assert (csp_choose_target (&policy, candidates, TARGETS, &stream,
                                    1000, &chosen));
      add_stream (chosen, stream.prompt_tokens, 0);
      csp_note_prefix (&prefixes[chosen], PREFIX, 2000, 1000 + i);
      counts[chosen]++;
    }
  ck_assert_uint_ge (counts[0], 4);
  ck_assert_uint_le (counts[0], 8);
  csp_forget_prefix (&prefixes[0], PREFIX);
  ck_assert_uint_eq (csp_cached_tokens (&prefixes[0], PREFIX), 0);
  csp_forget_prefixes (&prefixes[1]);
  ck_assert_uint_eq (csp_cached_tokens (&prefixes[1], PREFIX), 0);
}
END_TEST

START_TEST (no_target_is_chosen_when_all_are_full)
{
  csp_stream_t stream = stream_of (4000);
  uint32_t chosen;
  uint32_t i;

  for (i = 0; i < TARGETS; i++)
    add_stream (i, MEMORY - 3000, 10);
  ck_assert (!csp_choose_target (&policy, candidates, TARGETS, &stream, 1000,
                                 &chosen));
  ck_assert (
      !csp_choose_target (&policy, candidates, 0, &stream, 1000, &chosen));
}
END_TEST

/* Twelve hosts spill load with the same outdated report of one empty peer.  If
   each chose the best peer, all would send to that one.  */
START_TEST (spilling_hosts_spread_over_peers)
{
  csp_peer_candidate_t offers[12] = { 0 };
  uint32_t counts[12] = { 0 };
  size_t order[CSP_HANDOFF_MAX_PEERS];
  csp_random_t random;
  uint32_t i;

  csp_seed_random (&random, 5);
  for (i = 0; i < 12; i++)
    {
      offers[i].headroom_tokens = i == 3 ? 60000 : 20000;
      offers[i].same_data_centre = true;
    }
  offers[7].headroom_tokens = 100;
  for (i = 0; i < 1200; i++)
    if (csp_choose_peers (offers, 12, 5000, &random, order) > 0)
      counts[order[0]]++;
  ck_assert_uint_lt (counts[3], 300);
  ck_assert_uint_gt (counts[8], 50);
  ck_assert_uint_eq (counts[7], 0);
}
END_TEST

static void
record_gaps (csp_health_t *health, const double gaps_ms[TARGETS])
{
  uint32_t i;

  for (i = 0; i < TARGETS; i++)
    if (csp_health_share (health, i) > 0)
      csp_note_gaps (health, i, 64, gaps_ms[i]);
}

/* One engine of ten is three times as slow as its peers, and recovers later.
   Its share is halved down to zero, it is probed, and its share is doubled
   again.  A target that is only full, at 1.6 times the median, keeps its
   share.  */
START_TEST (a_slow_target_is_closed_and_restored)
{
  csp_health_policy_t health_policy = csp_default_health_policy ();
  csp_health_t *health = csp_create_health (&health_policy, TARGETS);
  double gaps_ms[TARGETS] = { 40, 42, 41, 40, 44, 43, 40, 41, 64, 126 };
  double before;
  int64_t now_ms;
  uint32_t probes = 0;

  for (now_ms = 1000; now_ms < 20000; now_ms += 1000)
    {
      before = csp_health_share (health, 9);
      record_gaps (health, gaps_ms);
      csp_update_health (health, now_ms);
      ck_assert_double_ge (csp_health_share (health, 9), before / 2 - 0.1);
    }
  ck_assert_double_eq (csp_health_share (health, 9), 0);
  ck_assert_double_eq (csp_health_share (health, 8), 1);
  for (; now_ms < 40000; now_ms += 1000)
    probes += csp_take_probe (health, 9, 0, now_ms);
  ck_assert_uint_eq (probes, 4);
  ck_assert (!csp_take_probe (health, 9, 1, now_ms + 10000));
  csp_note_gaps (health, 9, 200, 41);
  csp_update_health (health, now_ms);
  ck_assert_double_le (csp_health_share (health, 9), 0.25);
  for (; now_ms < 60000; now_ms += 1000)
    {
      csp_note_gaps (health, 9, 64, 41);
      csp_update_health (health, now_ms);
    }
  ck_assert_double_eq (csp_health_share (health, 9), 1);
  csp_destroy_health (health);
}
END_TEST

/* Four of ten targets become slow at the same time.  If all of them were
   closed, the others would be overloaded and break down as well.  */
START_TEST (only_some_slow_targets_are_closed)
{
  csp_health_policy_t health_policy = csp_default_health_policy ();
  csp_health_t *health = csp_create_health (&health_policy, TARGETS);
  double gaps_ms[TARGETS] = { 40, 40, 40, 40, 40, 40, 150, 160, 170, 180 };
  uint32_t closed = 0;
  int64_t now_ms;
  uint32_t i;

  for (now_ms = 1000; now_ms < 60000; now_ms += 1000)
    {
      record_gaps (health, gaps_ms);
      csp_update_health (health, now_ms);
    }
  for (i = 0; i < TARGETS; i++)
    closed += csp_health_share (health, i) < 1;
  ck_assert_uint_eq (closed, 2);
  csp_destroy_health (health);
}
END_TEST

/* A host owns two engines of twelve, and one of them is slow.  Two engines
   don't show which of them is the outlier, but the other hosts' median does.
   While the other hosts have reduced the share of a fifth of all engines, the
   slow engine keeps its share.  */
START_TEST (few_own_targets_are_compared_with_the_fleet)
{
  csp_health_policy_t health_policy = csp_default_health_policy ();
  csp_health_t *health = csp_create_health (&health_policy, 2);
  int64_t now_ms;

  for (now_ms = 1000; now_ms < 40000; now_ms += 1000)
    {
      csp_note_gaps (health, 0, 64, 41);
      csp_note_gaps (health, 1, 64, 126);
      csp_set_fleet_health (health, 42, 10, now_ms < 20000 ? 2 : 0);
      csp_update_health (health, now_ms);
      if (now_ms < 20000)
        ck_assert_double_eq (csp_health_share (health, 1), 1);
    }
  ck_assert_double_eq (csp_health_share (health, 0), 1);
  ck_assert_double_eq (csp_health_share (health, 1), 0);
  csp_destroy_health (health);
}
END_TEST

/* An engine hangs in the middle of its answers.  It sends no tokens whose gaps
   could be measured, so the silence itself has to count.  */
START_TEST (a_silent_target_is_closed)
{
  csp_health_policy_t health_policy = csp_default_health_policy ();
  csp_health_t *health = csp_create_health (&health_policy, TARGETS);
  double gaps_ms[TARGETS] = { 40, 40, 40, 40, 40, 40, 40, 40, 40, 40 };
  int64_t now_ms;

  record_gaps (health, gaps_ms);
  csp_update_health (health, 1000);
  for (now_ms = 2000; now_ms < 16000; now_ms += 1000)
    {
      csp_note_silence (health, 4, (double)now_ms - 1000);
      csp_update_health (health, now_ms);
    }
  ck_assert_double_eq (csp_health_share (health, 4), 0);
  csp_reset_health (health, 4, true);
  ck_assert_double_eq (csp_health_share (health, 4), 1);
  csp_destroy_health (health);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placement");
  TCase *tcase = tcase_create ("placement");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, the_better_of_two_is_chosen, 0,
                       sizeof worse_targets / sizeof worse_targets[0]);
  tcase_add_test (tcase, a_popular_prefix_does_not_overload_its_target);
  tcase_add_test (tcase, no_target_is_chosen_when_all_are_full);
  tcase_add_test (tcase, spilling_hosts_spread_over_peers);
  tcase_add_test (tcase, a_slow_target_is_closed_and_restored);
  tcase_add_test (tcase, only_some_slow_targets_are_closed);
  tcase_add_test (tcase, few_own_targets_are_compared_with_the_fleet);
  tcase_add_test (tcase, a_silent_target_is_closed);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
