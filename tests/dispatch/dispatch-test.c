#include "cowslipspoke/dispatch.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Two engines with memory for 10,000 tokens each, and asks of 4,000: four fit,
   and the rest waits.  */

enum
{
  MEMORY = 10000,
  RUN = 4000,
  PATIENCE_MS = 2000,
  ANSWERS_MAX = 512
};

static csp_fleet_t *fleet;
static csp_dispatch_t *dispatch;
static csp_ask_answer_t answers[ANSWERS_MAX];
static size_t answer_count;

static const csp_peer_address_t here = { 0, 0 };
static const csp_peer_address_t there = { 9, 10 };

static void
take (void *state, const csp_ask_answer_t *answer)
{
  (void)state;
  ck_assert_uint_lt (answer_count, ANSWERS_MAX);
  answers[answer_count++] = *answer;
}

static void
list (const char *id, uint32_t slots)
{
  csp_fleet_row_t row = { .slots = slots };

  snprintf (row.id, sizeof row.id, "%s", id);
  snprintf (row.service, sizeof row.service, "s");
  ck_assert (csp_list_target (fleet, &row, 0));
}

static void
set_up (void)
{
  answer_count = 0;
  fleet = csp_create_fleet (NULL, NULL, NULL);
  dispatch = csp_create_dispatch (fleet, take, NULL, 3);
  ck_assert_ptr_nonnull (dispatch);
  list ("t", 24);
  list ("u", 24);
}

static void
tear_down (void)
{
  csp_destroy_dispatch (dispatch);
  csp_destroy_fleet (fleet);
}

static csp_ask_outcome_t
ask (csp_peer_address_t host, uint64_t id, uint32_t organisation,
     int64_t now_ms)
{
  csp_ask_t row = { .host = host,
                    .id = id,
                    .organisation = organisation,
                    .prompt_tokens = RUN / 2,
                    .tokens = RUN,
                    .start_within_ms = PATIENCE_MS };

  csp_push_ask (dispatch, &row, "s", MEMORY, now_ms);
  ck_assert_uint_gt (answer_count, 0);
  ck_assert_uint_eq (answers[answer_count - 1].id, id);
  ck_assert_uint_eq (answers[answer_count - 1].host.ip, host.ip);
  return answers[answer_count - 1].outcome;
}

/* What the hosts tell of their runs: each engine holds so many.  */
static void
tell (uint32_t runs)
{
  const char *const ids[] = { "t", "u" };
  size_t i;

  csp_clear_other_loads (fleet);
  for (i = 0; i < 2; i++)
    {
      csp_peer_load_t load
          = { .target = csp_find_fleet_target (fleet, ids[i])->hash,
              .requests = runs,
              .tokens = runs * RUN };

      csp_count_other_load (fleet, &load);
    }
}

/* Five hosts see the last free place in the same moment.  Were each to take
   it, the engine would throw four runs out and read them again.  */
START_TEST (a_place_is_given_once)
{
  int placed = 0;
  uint64_t id;

  for (id = 1; id <= 5; id++)
    placed += ask (there, id, 1, 1000) == CSP_ASK_PLACED;
  ck_assert_int_eq (placed, 4);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 1);
  ck_assert_uint_eq (csp_find_fleet_target (fleet, "t")->reserved.requests, 2);
}
END_TEST

static csp_ask_outcome_t
ask_without (uint64_t id, const char *left_out, int64_t now_ms)
{
  csp_ask_t row = { .host = there,
                    .id = id,
                    .organisation = 1,
                    .tokens = RUN,
                    .start_within_ms = PATIENCE_MS };

  if (left_out != NULL)
    row.backoffs[row.backoff_count++]
        = csp_find_fleet_target (fleet, left_out)->hash;
  csp_push_ask (dispatch, &row, "s", MEMORY, now_ms);
  return answers[answer_count - 1].outcome;
}

/* Guards against places at an engine that has asked the host for a wait, which
   the host can't use.  */
START_TEST (an_ask_gets_no_place_at_an_engine_that_it_leaves_out)
{
  uint64_t id;

  for (id = 1; id <= 2; id++)
    {
      ck_assert_int_eq (ask_without (id, "t", 1000), CSP_ASK_PLACED);
      ck_assert_uint_eq (answers[answer_count - 1].target,
                         csp_find_fleet_target (fleet, "u")->hash);
    }
  ck_assert_int_eq (ask_without (3, "t", 1000), CSP_ASK_WAITS);
  /* Its wait is over.  */
  ask_without (3, NULL, 1100);
  csp_pump_dispatch (dispatch, 1110);
  ck_assert_int_eq (answers[answer_count - 1].outcome, CSP_ASK_PLACED);
  ck_assert_uint_eq (answers[answer_count - 1].target,
                     csp_find_fleet_target (fleet, "t")->hash);
}
END_TEST

/* The hosts' own words of the runs replace what was counted here; until a run
   ends, nobody else gets its place.  */
START_TEST (a_place_that_is_free_again_goes_to_who_waits)
{
  uint64_t id;

  for (id = 1; id <= 5; id++)
    ask (there, id, 1, 1000);
  tell (2);
  csp_pump_dispatch (dispatch, 1100);
  ck_assert_uint_eq (csp_find_fleet_target (fleet, "t")->reserved.requests, 0);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 1);
  tell (1);
  answer_count = 0;
  csp_pump_dispatch (dispatch, 1200);
  ck_assert_uint_eq (answer_count, 1);
  ck_assert_int_eq (answers[0].outcome, CSP_ASK_PLACED);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
}
END_TEST

/* One organisation sends a hundred requests before another sends one.  The one
   doesn't wait behind the hundred.  */
START_TEST (a_large_organisation_does_not_starve_a_small_one)
{
  size_t before = 0;
  uint64_t id;
  int64_t now_ms;

  tell (2);
  for (id = 1; id <= 100; id++)
    ask (there, id, 1, 1000);
  ask (here, 500, 2, 1001);
  answer_count = 0;
  for (now_ms = 1100; now_ms < 1200; now_ms += 10)
    {
      tell (1);
      csp_pump_dispatch (dispatch, now_ms);
      tell (2);
      csp_pump_dispatch (dispatch, now_ms + 5);
    }
  while (before < answer_count && answers[before].id != 500)
    before++;
  ck_assert_uint_lt (before, answer_count);
  ck_assert_uint_le (before, 4);
  ck_assert_int_eq (answers[before].outcome, CSP_ASK_PLACED);
}
END_TEST

/* Datagrams get lost: an ask comes again, and so does its answer, and neither
   takes a second place.  */
START_TEST (an_ask_that_comes_again_is_answered_again)
{
  ck_assert_int_eq (ask (there, 1, 1, 1000), CSP_ASK_PLACED);
  ck_assert_int_eq (ask (there, 1, 1, 1040), CSP_ASK_PLACED);
  ck_assert_uint_eq (answers[0].target, answers[1].target);
  tell (2);
  ck_assert_int_eq (ask (there, 2, 1, 1100), CSP_ASK_WAITS);
  ck_assert_int_eq (ask (there, 2, 1, 1140), CSP_ASK_WAITS);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 1);
  /* The same number of another host is another ask.  */
  ck_assert_int_eq (ask (here, 2, 1, 1150), CSP_ASK_WAITS);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 2);
}
END_TEST

START_TEST (an_ask_that_is_over_waits_no_longer)
{
  tell (2);
  ask (there, 1, 1, 1000);
  csp_cancel_ask (dispatch, there, 7);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 1);
  csp_cancel_ask (dispatch, there, 1);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
}
END_TEST

/* No place comes free in time.  The caller hears it then, with a time to come
   back, and not when its own patience ends.  */
START_TEST (an_ask_that_waits_in_vain_is_refused_in_time)
{
  int64_t now_ms;

  tell (2);
  ck_assert_int_eq (ask (there, 1, 1, 1000), CSP_ASK_WAITS);
  answer_count = 0;
  for (now_ms = 1000; now_ms <= 1000 + PATIENCE_MS && answer_count == 0;
       now_ms += 100)
    csp_pump_dispatch (dispatch, now_ms);
  ck_assert_uint_eq (answer_count, 1);
  ck_assert_int_eq (answers[0].outcome, CSP_ASK_REFUSED);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
}
END_TEST

/* Half more is asked for than the engines can hold, for a minute: four places,
   each taken for two seconds, and three asks a second.  Places don't stand
   empty, and most of those who get none hear it at once and not when their
   first token would be late.  */
START_TEST (in_overload_most_hear_at_once)
{
  enum
  {
    STEP_MS = 10,
    ASK_EVERY_MS = 333,
    RUN_MS = 2000,
    PLACES = 4,
    PLAYED_MS = 60000,
    ASK_PATIENCE_MS = 1200
  };
  int64_t ends_ms[PLACES] = { 0 };
  uint64_t id = 0;
  int placed = 0;
  int at_once = 0;
  int in_vain = 0;
  int64_t now_ms;

  for (now_ms = 0; now_ms < PLAYED_MS; now_ms += STEP_MS)
    {
      size_t i;

      csp_clear_other_loads (fleet);
      for (i = 0; i < PLACES; i++)
        if (ends_ms[i] > now_ms)
          {
            csp_peer_load_t load
                = { .target = csp_fleet_at (fleet, i % 2)->hash,
                    .requests = 1,
                    .tokens = RUN };

            csp_count_other_load (fleet, &load);
          }
      answer_count = 0;
      csp_pump_dispatch (dispatch, now_ms);
      in_vain += answer_count > 0 && answers[0].outcome == CSP_ASK_REFUSED;
      if (now_ms % ASK_EVERY_MS < STEP_MS)
        {
          csp_ask_t row = { .host = there,
                            .id = ++id,
                            .organisation = 1,
                            .prompt_tokens = RUN / 2,
                            .tokens = RUN,
                            .start_within_ms = ASK_PATIENCE_MS };

          csp_push_ask (dispatch, &row, "s", MEMORY, now_ms);
          at_once += answers[answer_count - 1].outcome == CSP_ASK_REFUSED;
        }
      for (i = 0; i < answer_count; i++)
        if (answers[i].outcome == CSP_ASK_PLACED)
          {
            size_t target = answers[i].target != csp_fleet_at (fleet, 0)->hash;
            size_t place = ends_ms[target] > now_ms ? target + 2 : target;

            ck_assert_int_le (ends_ms[place], now_ms);
            ends_ms[place] = now_ms + RUN_MS;
            placed++;
          }
    }
  /* 120 places could be given in a minute.  */
  ck_assert_int_ge (placed, 105);
  ck_assert_int_gt (at_once, in_vain);
}
END_TEST

/* An engine with memory left runs no more requests at once than it has
   slots.  */
START_TEST (slots_are_places_too)
{
  list ("t", 1);
  list ("u", 1);
  ck_assert_int_eq (ask (there, 1, 1, 1000), CSP_ASK_PLACED);
  ck_assert_int_eq (ask (there, 2, 1, 1000), CSP_ASK_PLACED);
  ck_assert_int_eq (ask (there, 3, 1, 1000), CSP_ASK_WAITS);
}
END_TEST

/* An engine has just come and is empty, while all others are full: what waits
   would all be placed there at once.  It reads all prompts at the same time,
   so that each gets its first token when all are read, and all are late.  */
START_TEST (a_new_engine_is_not_given_more_prompts_than_it_reads_in_time)
{
  csp_ask_t row = { .host = there,
                    .organisation = 1,
                    .prompt_tokens = 2000,
                    .tokens = 2100,
                    .start_within_ms = PATIENCE_MS };
  csp_peer_load_t load = { .target = csp_find_fleet_target (fleet, "t")->hash,
                           .requests = 2,
                           .tokens = 4200,
                           .reading_tokens = 4000 };
  int placed = 0;

  csp_unlist_target (fleet, "u", 0);
  for (row.id = 1; row.id <= 3; row.id++)
    {
      csp_push_ask (dispatch, &row, "s", MEMORY, 1000);
      placed += answers[answer_count - 1].outcome == CSP_ASK_PLACED;
    }
  ck_assert_int_eq (placed, 2);
  /* Their hosts tell of them, and one prompt has been read.  */
  csp_count_other_load (fleet, &load);
  csp_pump_dispatch (dispatch, 1100);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 1);
  csp_clear_other_loads (fleet);
  load.reading_tokens = 2000;
  csp_count_other_load (fleet, &load);
  csp_pump_dispatch (dispatch, 1300);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
}
END_TEST

/* A data centre has come back: one empty engine that is cold beside a full
   one, and twenty short requests that waited.  Its slots and memory take them
   all at once, it stands two a second, and it crashes.  */
START_TEST (a_cold_engine_gets_no_more_than_it_stands)
{
  enum
  {
    ASKS = 20,
    BOUND = 4
  };
  const csp_warmup_duty_t duty = { .decides = true,
                                   .fleet = { .hosts_asking = 1,
                                              .hosts_known = 1,
                                              .data_centres_heard = 1,
                                              .data_centres_listed = 1 } };
  csp_fleet_row_t cold
      = { .id = "v", .service = "s", .slots = 24, .warming_up_ms = 5000 };
  csp_ask_t row = { .host = there,
                    .organisation = 1,
                    .tokens = 10,
                    .start_within_ms = PATIENCE_MS };
  int placed = 0;

  ck_assert (csp_set_cold_bound (fleet, "s", 5000, BOUND));
  csp_note_dispatch_duty (dispatch, &duty);
  csp_unlist_target (fleet, "t", 0);
  csp_unlist_target (fleet, "u", 0);
  ck_assert (csp_list_target (fleet, &cold, 10000));
  for (row.id = 1; row.id <= ASKS; row.id++)
    {
      csp_push_ask (dispatch, &row, "s", MEMORY, 10000);
      placed += answers[answer_count - 1].outcome == CSP_ASK_PLACED;
    }
  ck_assert_int_eq (placed, BOUND / 2);
  /* Warm, it takes what is left.  */
  csp_pump_dispatch (dispatch, 15000);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
}
END_TEST

/* One prompt alone is placed, however long it is.  */
START_TEST (a_long_prompt_finds_an_engine_that_reads_nothing)
{
  csp_ask_t row = { .host = there,
                    .id = 1,
                    .organisation = 1,
                    .prompt_tokens = 9000,
                    .tokens = 9500,
                    .start_within_ms = PATIENCE_MS };

  csp_push_ask (dispatch, &row, "s", MEMORY, 1000);
  ck_assert_int_eq (answers[answer_count - 1].outcome, CSP_ASK_PLACED);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch");
  TCase *tcase = tcase_create ("dispatch");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_place_is_given_once);
  tcase_add_test (tcase, a_place_that_is_free_again_goes_to_who_waits);
  tcase_add_test (tcase, an_ask_gets_no_place_at_an_engine_that_it_leaves_out);
  tcase_add_test (tcase, a_large_organisation_does_not_starve_a_small_one);
  tcase_add_test (tcase, an_ask_that_comes_again_is_answered_again);
  tcase_add_test (tcase, an_ask_that_is_over_waits_no_longer);
  tcase_add_test (tcase, an_ask_that_waits_in_vain_is_refused_in_time);
  tcase_add_test (tcase, in_overload_most_hear_at_once);
  tcase_add_test (tcase, slots_are_places_too);
  tcase_add_test (
      tcase, a_new_engine_is_not_given_more_prompts_than_it_reads_in_time);
  tcase_add_test (tcase, a_cold_engine_gets_no_more_than_it_stands);
  tcase_add_test (tcase, a_long_prompt_finds_an_engine_that_reads_nothing);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
