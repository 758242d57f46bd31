#include "dispatch/dispatch-fixture.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>

/* Two engines with memory for 10,000 tokens each, and asks of 4,000 tokens:
   four fit, the others wait.  */

enum
{
  MEMORY = 10000,
  RUN = 4000,
  PATIENCE_MS = 2000,
  SERVICES = 8 /* that the decider has room for */
};

static const csp_dispatch_service_t service
    = { .name = "s", .memory_tokens = MEMORY };

static const csp_peer_address_t this_host = { 0, 0 };
static const csp_peer_address_t other_host = { 9, 10 };

static void
list_target (const char *id, uint32_t slots)
{
  list_engine (id, "", slots, false);
}

static void
set_up (void)
{
  open_dispatch ();
  list_target ("t", 24);
  list_target ("u", 24);
}

static csp_ask_outcome_t
push_ask (csp_peer_address_t host, uint64_t id, uint32_t organisation,
          int64_t now_ms)
{
  csp_ask_t row = { .host = host,
                    .id = id,
                    .organisation = organisation,
                    .prompt_tokens = RUN / 2,
                    .tokens = RUN,
                    .start_within_ms = PATIENCE_MS };

  csp_push_ask (dispatch, &row, &service, now_ms);
  ck_assert_uint_gt (answer_count, 0);
  ck_assert_uint_eq (answers[answer_count - 1].id, id);
  ck_assert_uint_eq (answers[answer_count - 1].host.ip, host.ip);
  return answers[answer_count - 1].outcome;
}

/* Reports the hosts' runs: this many at each engine.  */
static void
report_runs (uint32_t runs)
{
  const char *const ids[] = { "t", "u" };
  size_t i;

  csp_clear_peer_loads (fleet);
  for (i = 0; i < 2; i++)
    {
      csp_peer_load_t load
          = { .target = csp_find_fleet_target (fleet, ids[i])->hash,
              .requests = runs,
              .tokens = runs * RUN };

      csp_add_peer_load (fleet, &load);
    }
}

/* Guards against a decider that has lost its own paths to engines and refuses
   the requests of all other hosts, which reach them.  */
START_TEST (engine_that_only_the_decider_does_not_reach_is_used)
{
  size_t i;

  for (i = 0; i < csp_count_fleet_groups (fleet); i++)
    csp_fleet_group_at (fleet, i)->cut_off = true;
  ck_assert_int_eq (push_ask (other_host, 1, 1, 0), CSP_ASK_PLACED);
  for (i = 0; i < csp_count_fleet_groups (fleet); i++)
    csp_fleet_group_at (fleet, i)->cut_for_all = true;
  ck_assert_int_eq (push_ask (other_host, 2, 1, 0), CSP_ASK_WAITS);
}
END_TEST

/* Five hosts see the last free capacity at the same moment.  If each used it,
   the engine would evict four runs and recompute them.  */
START_TEST (capacity_is_placed_once)
{
  int placed = 0;
  uint64_t id;

  for (id = 1; id <= 5; id++)
    placed += push_ask (other_host, id, 1, 1000) == CSP_ASK_PLACED;
  ck_assert_int_eq (placed, 4);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 1);
  ck_assert_uint_eq (csp_find_fleet_target (fleet, "t")->reserved.requests, 2);
}
END_TEST

/* Guards against a decider that refuses a service for good once it has known
   some others, which are gone since.  */
START_TEST (a_service_is_served_behind_many_others)
{
  int64_t now_ms = 0;
  char name[16];
  uint64_t id;

  for (id = 1; id <= 2 * SERVICES; id++)
    {
      csp_dispatch_service_t gone = { .name = name, .memory_tokens = MEMORY };
      csp_ask_t row = { .host = other_host,
                        .id = id,
                        .organisation = 1,
                        .tokens = RUN,
                        .start_within_ms = PATIENCE_MS };

      snprintf (name, sizeof name, "gone-%u", (unsigned)id);
      csp_push_ask (dispatch, &row, &gone, now_ms);
      now_ms += 2 * PATIENCE_MS;
      csp_pump_dispatch (dispatch, now_ms);
    }
  ck_assert_int_eq (push_ask (other_host, id, 1, now_ms), CSP_ASK_PLACED);
}
END_TEST

static csp_ask_outcome_t
push_ask_excluding (uint64_t id, const char *excluded, int64_t now_ms)
{
  csp_ask_t row = { .host = other_host,
                    .id = id,
                    .organisation = 1,
                    .tokens = RUN,
                    .start_within_ms = PATIENCE_MS };

  if (excluded != NULL)
    row.backoffs[row.backoff_count++]
        = csp_find_fleet_target (fleet, excluded)->hash;
  csp_push_ask (dispatch, &row, &service, now_ms);
  return answers[answer_count - 1].outcome;
}

/* Guards against placements on an engine that asked the sending host to back
   off, which that host can't use.  */
START_TEST (ask_is_not_placed_on_backed_off_engine)
{
  uint64_t id;

  for (id = 1; id <= 2; id++)
    {
      ck_assert_int_eq (push_ask_excluding (id, "t", 1000), CSP_ASK_PLACED);
      ck_assert_uint_eq (answers[answer_count - 1].target,
                         csp_find_fleet_target (fleet, "u")->hash);
    }
  ck_assert_int_eq (push_ask_excluding (3, "t", 1000), CSP_ASK_WAITS);
  /* The backoff is over.  */
  push_ask_excluding (3, NULL, 1100);
  csp_pump_dispatch (dispatch, 1110);
  ck_assert_int_eq (answers[answer_count - 1].outcome, CSP_ASK_PLACED);
  ck_assert_uint_eq (answers[answer_count - 1].target,
                     csp_find_fleet_target (fleet, "t")->hash);
}
END_TEST

/* The hosts' own reports replace the reservations; until a run ends, no other
   ask gets its capacity.  */
START_TEST (freed_capacity_goes_to_waiting_ask)
{
  uint64_t id;

  for (id = 1; id <= 5; id++)
    push_ask (other_host, id, 1, 1000);
  report_runs (2);
  csp_pump_dispatch (dispatch, 1100);
  ck_assert_uint_eq (csp_find_fleet_target (fleet, "t")->reserved.requests, 0);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 1);
  report_runs (1);
  answer_count = 0;
  csp_pump_dispatch (dispatch, 1200);
  ck_assert_uint_eq (answer_count, 1);
  ck_assert_int_eq (answers[0].outcome, CSP_ASK_PLACED);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
}
END_TEST

/* One organisation sends a hundred requests before another sends one, which
   must not wait for the hundred.  */
START_TEST (large_organisation_does_not_starve_small_one)
{
  size_t before = 0;
  uint64_t id;
  int64_t now_ms;

  report_runs (2);
  for (id = 1; id <= 100; id++)
    push_ask (other_host, id, 1, 1000);
  push_ask (this_host, 500, 2, 1001);
  answer_count = 0;
  for (now_ms = 1100; now_ms < 1200; now_ms += 10)
    {
      report_runs (1);
      csp_pump_dispatch (dispatch, now_ms);
      report_runs (2);
      csp_pump_dispatch (dispatch, now_ms + 5);
    }
  while (before < answer_count && answers[before].id != 500)
    before++;
  ck_assert_uint_lt (before, answer_count);
  ck_assert_uint_le (before, 4);
  ck_assert_int_eq (answers[before].outcome, CSP_ASK_PLACED);
}
END_TEST

enum
{
  ORGANISATIONS = 3200
};

/* Guards against organisations that share a queue, as there are more of them
   than a table holds.  */
START_TEST (late_organisations_have_queues_of_their_own)
{
  size_t before = 0;
  uint64_t id;

  for (id = 1; id <= ORGANISATIONS; id++)
    {
      answer_count = 0;
      report_runs (0);
      push_ask (other_host, id, (uint32_t)id, 1000);
      csp_cancel_ask (dispatch, other_host, id);
    }
  report_runs (2);
  for (id = 1; id <= 100; id++)
    push_ask (other_host, 10000 + id, ORGANISATIONS - 1, 5000);
  push_ask (this_host, 20000, ORGANISATIONS, 5001);
  answer_count = 0;
  report_runs (0);
  csp_pump_dispatch (dispatch, 5100);
  while (before < answer_count && answers[before].id != 20000)
    before++;
  ck_assert_uint_lt (before, answer_count);
}
END_TEST

enum
{
  BURST = 2400,
  ENGINES = BURST / 2
};

/* Guards against places that are given twice, as more were given than a table
   of reservations holds before their hosts report them.  */
START_TEST (each_placement_of_a_burst_is_reserved)
{
  size_t reserved = 0;
  uint64_t id;
  size_t i;

  for (i = 0; i < ENGINES; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "e-%zu", i);
      list_target (name, 24);
    }
  for (id = 1; id <= BURST; id++)
    {
      answer_count = 0;
      ck_assert_int_eq (push_ask (other_host, id, 1, 1000), CSP_ASK_PLACED);
    }
  for (i = 0; i < csp_fleet_size (fleet); i++)
    reserved += csp_fleet_at (fleet, i)->reserved.requests;
  ck_assert_uint_eq (reserved, BURST);
}
END_TEST

/* Datagrams get lost: a repeated ask is answered again, and no second
   placement is counted.  */
START_TEST (repeated_ask_is_answered_again)
{
  ck_assert_int_eq (push_ask (other_host, 1, 1, 1000), CSP_ASK_PLACED);
  ck_assert_int_eq (push_ask (other_host, 1, 1, 1040), CSP_ASK_PLACED);
  ck_assert_uint_eq (answers[0].target, answers[1].target);
  report_runs (2);
  ck_assert_int_eq (push_ask (other_host, 2, 1, 1100), CSP_ASK_WAITS);
  ck_assert_int_eq (push_ask (other_host, 2, 1, 1140), CSP_ASK_WAITS);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 1);
  /* The same id from another host is another ask.  */
  ck_assert_int_eq (push_ask (this_host, 2, 1, 1150), CSP_ASK_WAITS);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 2);
}
END_TEST

START_TEST (cancelled_ask_stops_waiting)
{
  report_runs (2);
  push_ask (other_host, 1, 1, 1000);
  csp_cancel_ask (dispatch, other_host, 7);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 1);
  csp_cancel_ask (dispatch, other_host, 1);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
}
END_TEST

/* No capacity gets free in time.  The ask must be refused, with a time after
   which to retry, before the caller's own limit ends.  */
START_TEST (unplaced_ask_is_refused_in_time)
{
  int64_t now_ms;

  report_runs (2);
  ck_assert_int_eq (push_ask (other_host, 1, 1, 1000), CSP_ASK_WAITS);
  answer_count = 0;
  for (now_ms = 1000; now_ms <= 1000 + PATIENCE_MS && answer_count == 0;
       now_ms += 100)
    csp_pump_dispatch (dispatch, now_ms);
  ck_assert_uint_eq (answer_count, 1);
  ck_assert_int_eq (answers[0].outcome, CSP_ASK_REFUSED);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
}
END_TEST

/* Guards against refusals whose cause nobody can tell from the log.  */
START_TEST (refusals_state_their_cause)
{
  const csp_ask_refusal_t *refusal = &answers[0].refusal;
  uint64_t id;

  for (id = 1; id <= 4; id++)
    ck_assert_int_eq (push_ask (other_host, id, 1, 1000), CSP_ASK_PLACED);
  report_runs (2);
  ck_assert_int_eq (push_ask (other_host, id++, 1, 1000), CSP_ASK_WAITS);
  answer_count = 0;
  csp_pump_dispatch (dispatch, 1000 + PATIENCE_MS);
  ck_assert_uint_eq (answer_count, 1);
  ck_assert_int_eq (refusal->cause, CSP_REFUSED_AFTER_WAIT);
  ck_assert_uint_eq (refusal->left_ms, 0);

  answer_count = 0;
  push_ask (other_host, id++, 1, 4000);
  answer_count = 0;
  ck_assert_int_eq (push_ask (other_host, id, 1, 4000), CSP_ASK_REFUSED);
  ck_assert_int_eq (refusal->cause, CSP_REFUSED_ON_ARRIVAL);
  ck_assert_uint_eq (refusal->left_ms, PATIENCE_MS);
  ck_assert_uint_gt (refusal->predicted_wait_ms, PATIENCE_MS / 8);
}
END_TEST

/* Guards against a request that is larger than an engine's memory and waits
   until its time is over, counting in the waits of others.  */
START_TEST (request_that_fits_no_engine_is_refused_at_once)
{
  csp_ask_t row = { .host = other_host,
                    .id = 1,
                    .organisation = 1,
                    .prompt_tokens = RUN,
                    .tokens = MEMORY + 1,
                    .start_within_ms = PATIENCE_MS };

  csp_push_ask (dispatch, &row, &service, 1000);
  ck_assert_uint_eq (answer_count, 1);
  ck_assert_int_eq (answers[0].outcome, CSP_ASK_REFUSED);
  ck_assert_int_eq (answers[0].refusal.cause, CSP_REFUSED_TOO_LARGE);
  ck_assert_uint_gt (answers[0].retry_after_ms, PATIENCE_MS);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
  row.tokens = MEMORY;
  row.id = 2;
  csp_push_ask (dispatch, &row, &service, 1000);
  ck_assert_int_eq (answers[answer_count - 1].outcome, CSP_ASK_PLACED);
}
END_TEST

/* For a minute, requests need half more than the engines can hold: four
   slots, each used for two seconds, and three asks a second.  No slot may
   stay unused, and most of the asks that get none must be refused on arrival
   and not when their first token would be late.  */
START_TEST (overload_refuses_most_on_arrival)
{
  enum
  {
    STEP_MS = 10,
    ASK_EVERY_MS = 333,
    RUN_MS = 2000,
    SLOTS = 4,
    PLAYED_MS = 60000,
    ASK_PATIENCE_MS = 1200
  };
  int64_t ends_ms[SLOTS] = { 0 };
  uint64_t id = 0;
  int placed = 0;
  int refused_at_once = 0;
  int refused_late = 0;
  int64_t now_ms;

  for (now_ms = 0; now_ms < PLAYED_MS; now_ms += STEP_MS)
    {
      size_t i;

      csp_clear_peer_loads (fleet);
      for (i = 0; i < SLOTS; i++)
        if (ends_ms[i] > now_ms)
          {
            csp_peer_load_t load
                = { .target = csp_fleet_at (fleet, i % 2)->hash,
                    .requests = 1,
                    .tokens = RUN };

            csp_add_peer_load (fleet, &load);
          }
      answer_count = 0;
      csp_pump_dispatch (dispatch, now_ms);
      refused_late
          += answer_count > 0 && answers[0].outcome == CSP_ASK_REFUSED;
      if (now_ms % ASK_EVERY_MS < STEP_MS)
        {
          csp_ask_t row = { .host = other_host,
                            .id = ++id,
                            .organisation = 1,
                            .prompt_tokens = RUN / 2,
                            .tokens = RUN,
                            .start_within_ms = ASK_PATIENCE_MS };

          csp_push_ask (dispatch, &row, &service, now_ms);
          refused_at_once
              += answers[answer_count - 1].outcome == CSP_ASK_REFUSED;
        }
      for (i = 0; i < answer_count; i++)
        if (answers[i].outcome == CSP_ASK_PLACED)
          {
            size_t target = answers[i].target != csp_fleet_at (fleet, 0)->hash;
            size_t slot = ends_ms[target] > now_ms ? target + 2 : target;

            ck_assert_int_le (ends_ms[slot], now_ms);
            ends_ms[slot] = now_ms + RUN_MS;
            placed++;
          }
    }
  /* At most 120 placements fit into a minute.  */
  ck_assert_int_ge (placed, 105);
  ck_assert_int_gt (refused_at_once, refused_late);
}
END_TEST

/* An engine with free memory still runs no more requests at once than it has
   slots.  */
START_TEST (slots_limit_placements)
{
  list_target ("t", 1);
  list_target ("u", 1);
  ck_assert_int_eq (push_ask (other_host, 1, 1, 1000), CSP_ASK_PLACED);
  ck_assert_int_eq (push_ask (other_host, 2, 1, 1000), CSP_ASK_PLACED);
  ck_assert_int_eq (push_ask (other_host, 3, 1, 1000), CSP_ASK_WAITS);
}
END_TEST

/* A new engine is empty while all others are full, so everything that waits
   would be placed there at once.  It processes all prompts together, so that
   all first tokens would be late.  */
START_TEST (new_engine_gets_limited_prompt_tokens)
{
  csp_ask_t row = { .host = other_host,
                    .organisation = 1,
                    .prompt_tokens = 2000,
                    .tokens = 2100,
                    .start_within_ms = PATIENCE_MS };
  csp_peer_load_t load = { .target = csp_find_fleet_target (fleet, "t")->hash,
                           .requests = 2,
                           .tokens = 4200,
                           .prefill_tokens = 4000 };
  int placed = 0;

  csp_remove_target (fleet, "u", 0);
  for (row.id = 1; row.id <= 3; row.id++)
    {
      csp_push_ask (dispatch, &row, &service, 1000);
      placed += answers[answer_count - 1].outcome == CSP_ASK_PLACED;
    }
  ck_assert_int_eq (placed, 2);
  /* Their hosts have reported them, and one prompt has been processed.  */
  csp_add_peer_load (fleet, &load);
  csp_pump_dispatch (dispatch, 1100);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 1);
  csp_clear_peer_loads (fleet);
  load.prefill_tokens = 2000;
  csp_add_peer_load (fleet, &load);
  csp_pump_dispatch (dispatch, 1300);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
}
END_TEST

/* A data centre has come back: one cold, empty engine beside a full one, and
   twenty short requests that waited.  By slots and memory it could take them
   all at once, but it withstands only two a second and would crash.  */
START_TEST (cold_engine_gets_limited_rate)
{
  enum
  {
    ASKS = 20,
    BOUND = 4
  };
  const csp_decider_role_t role = { .decides = true,
                                    .fleet = { .hosts_asking = 1,
                                               .hosts_known = 1,
                                               .data_centres_live = 1,
                                               .data_centres_listed = 1 } };
  csp_fleet_row_t cold
      = { .id = "v", .service = "s", .slots = 24, .warming_up_ms = 5000 };
  csp_ask_t row = { .host = other_host,
                    .organisation = 1,
                    .tokens = 10,
                    .start_within_ms = PATIENCE_MS };
  int placed = 0;

  ck_assert (csp_set_cold_limit (fleet, "s", 5000, BOUND));
  csp_set_decider_role (dispatch, &role);
  csp_remove_target (fleet, "t", 0);
  csp_remove_target (fleet, "u", 0);
  ck_assert (csp_update_target (fleet, &cold, 10000));
  for (row.id = 1; row.id <= ASKS; row.id++)
    {
      csp_push_ask (dispatch, &row, &service, 10000);
      placed += answers[answer_count - 1].outcome == CSP_ASK_PLACED;
    }
  ck_assert_int_eq (placed, BOUND / 2);
  /* Once warm, it takes the remaining asks.  */
  csp_pump_dispatch (dispatch, 15000);
  ck_assert_uint_eq (csp_count_waiting_asks (dispatch), 0);
}
END_TEST

/* A single prompt is placed, however long it is.  */
START_TEST (long_prompt_is_placed_on_idle_engine)
{
  csp_ask_t row = { .host = other_host,
                    .id = 1,
                    .organisation = 1,
                    .prompt_tokens = 9000,
                    .tokens = 9500,
                    .start_within_ms = PATIENCE_MS };

  csp_push_ask (dispatch, &row, &service, 1000);
  ck_assert_int_eq (answers[answer_count - 1].outcome, CSP_ASK_PLACED);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch");
  TCase *tcase = tcase_create ("dispatch");

  tcase_add_checked_fixture (tcase, set_up, close_dispatch);
  tcase_add_test (tcase, engine_that_only_the_decider_does_not_reach_is_used);
  tcase_add_test (tcase, capacity_is_placed_once);
  tcase_add_test (tcase, a_service_is_served_behind_many_others);
  tcase_add_test (tcase, freed_capacity_goes_to_waiting_ask);
  tcase_add_test (tcase, ask_is_not_placed_on_backed_off_engine);
  tcase_add_test (tcase, large_organisation_does_not_starve_small_one);
  tcase_add_test (tcase, late_organisations_have_queues_of_their_own);
  tcase_add_test (tcase, each_placement_of_a_burst_is_reserved);
  tcase_add_test (tcase, repeated_ask_is_answered_again);
  tcase_add_test (tcase, cancelled_ask_stops_waiting);
  tcase_add_test (tcase, unplaced_ask_is_refused_in_time);
  tcase_add_test (tcase, overload_refuses_most_on_arrival);
  tcase_add_test (tcase, refusals_state_their_cause);
  tcase_add_test (tcase, request_that_fits_no_engine_is_refused_at_once);
  tcase_add_test (tcase, slots_limit_placements);
  tcase_add_test (tcase, new_engine_gets_limited_prompt_tokens);
  tcase_add_test (tcase, cold_engine_gets_limited_rate);
  tcase_add_test (tcase, long_prompt_is_placed_on_idle_engine);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
