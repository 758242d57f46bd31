#include "cowslipspoke/handoff.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

static const csp_reserve_ask_t ask
    = { .ask_id = 7, .sender = { "s", 1 }, .expected_tokens = 400 };

static csp_slot_table_t *
create_table (uint64_t seed)
{
  csp_slot_settings_t settings = csp_default_slot_settings ();

  return csp_create_slot_table (&settings, seed);
}

static bool
commit (csp_slot_table_t *table, uint64_t nonce, uint64_t holdings_number,
        int64_t now_ms)
{
  csp_commit_ask_t message = { 7, { "s", 1 }, nonce, holdings_number };
  csp_commit_answer_t answer;

  csp_commit_slot (table, &message, now_ms, &answer);
  return answer.held;
}

static csp_target_usage_t
get_usage (csp_slot_table_t *table, const char *target, int64_t now_ms)
{
  csp_target_usage_t usage;

  csp_get_target_usage (table, target, now_ms, &usage);
  return usage;
}

/* The owner restarts, and a delayed duplicate of the reserve makes its new
   incarnation grant another target.  If the sender could commit the first
   grant, it would use an engine at which no slot is counted for it, and the
   engine would be overcommitted.  */
START_TEST (commit_of_an_earlier_grant_is_refused)
{
  csp_slot_table_t *table = create_table (1);
  csp_reserve_answer_t first;
  csp_reserve_answer_t second;

  csp_reserve_slot (table, &ask, "e0", 0, &first);
  csp_destroy_slot_table (table);
  table = create_table (2);
  csp_reserve_slot (table, &ask, "e1", 0, &second);
  ck_assert (second.granted);
  ck_assert (!commit (table, first.nonce, 0, 0));
  ck_assert (commit (table, second.nonce, 0, 0));
  csp_destroy_slot_table (table);
}
END_TEST

/* A reserve is delivered twice.  If the duplicate got its own slot, an engine
   would look fuller than it is, and requests would wait although it has free
   capacity.  */
START_TEST (duplicate_reserve_takes_one_slot)
{
  csp_slot_table_t *table = create_table (1);
  csp_reserve_answer_t first;
  csp_reserve_answer_t second;

  csp_reserve_slot (table, &ask, "e0", 0, &first);
  csp_reserve_slot (table, &ask, "e1", 0, &second);
  ck_assert_uint_eq (first.nonce, second.nonce);
  ck_assert_str_eq (second.target, "e0");
  ck_assert_uint_eq (csp_count_slots (table), 1);
  csp_destroy_slot_table (table);
}
END_TEST

/* A holdings message made before the commit arrives after it.  If it released
   the slot, a stream that outlasts the drain would no longer be counted, and
   the engine would be overcommitted.  */
START_TEST (holdings_older_than_the_commit_release_nothing)
{
  csp_slot_table_t *table = create_table (1);
  csp_holdings_t empty_holdings = { .sender = { "s", 1 }, .number = 4 };
  csp_reserve_answer_t answer;

  csp_reserve_slot (table, &ask, "e0", 0, &answer);
  ck_assert (commit (table, answer.nonce, 4, 0));
  csp_apply_holdings (table, &empty_holdings, 10);
  ck_assert_uint_eq (get_usage (table, "e0", 60000).held, 1);
  empty_holdings.number = 5;
  csp_apply_holdings (table, &empty_holdings, 60000);
  ck_assert_uint_eq (get_usage (table, "e0", 60000).orphaned, 1);
  ck_assert_uint_eq (get_usage (table, "e0", 95000).orphaned, 0);
  csp_destroy_slot_table (table);
}
END_TEST

/* A peer grants after the sender has asked the next peer.  If the sender did
   not release the slot, each slow answer would cost the peer a slot for a
   whole lease under overload.  */
START_TEST (late_grant_is_released_at_once)
{
  csp_handoff_settings_t settings = csp_default_handoff_settings ();
  csp_handoff_t *handoff = csp_create_handoff (&settings, &ask, 2, 30000);
  csp_handoff_event_t event = { .kind = CSP_HANDOFF_TICK };
  csp_handoff_action_t action;

  csp_start_handoff (handoff, 0, &action);
  csp_step_handoff (handoff, &event, 0, 200, &action);
  ck_assert_int_eq (action.kind, CSP_HANDOFF_SEND_RESERVE);
  event.kind = CSP_HANDOFF_RESERVE_ANSWER;
  event.u.reserve.ask_id = 7;
  event.u.reserve.granted = true;
  event.u.reserve.nonce = 99;
  csp_step_handoff (handoff, &event, 0, 250, &action);
  ck_assert_int_eq (action.kind, CSP_HANDOFF_WAIT);
  ck_assert (action.has_release);
  ck_assert_uint_eq (action.release_peer, 0);
  ck_assert_uint_eq (action.release.nonce, 99);
  csp_destroy_handoff (handoff);
}
END_TEST

/* A caller disconnects and the engine confirms the cancel.  Without the second
   release the slot would stay counted for orphan_ms although the engine's
   memory is free.  */
START_TEST (confirmed_cancel_frees_the_slot)
{
  csp_slot_table_t *table = create_table (1);
  csp_reserve_answer_t answer;
  csp_release_t release = { .ask_id = 7, .sender = { "s", 1 } };

  csp_reserve_slot (table, &ask, "e0", 0, &answer);
  release.nonce = answer.nonce;
  ck_assert (commit (table, answer.nonce, 0, 0));
  release.maybe_decoding = true;
  csp_release_slot (table, &release, 10);
  ck_assert_uint_eq (get_usage (table, "e0", 10).orphaned, 1);
  release.maybe_decoding = false;
  csp_release_slot (table, &release, 20);
  ck_assert_uint_eq (csp_count_slots (table), 0);
  csp_destroy_slot_table (table);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("slot-table");
  TCase *tcase = tcase_create ("slot-table");

  tcase_add_test (tcase, commit_of_an_earlier_grant_is_refused);
  tcase_add_test (tcase, duplicate_reserve_takes_one_slot);
  tcase_add_test (tcase, holdings_older_than_the_commit_release_nothing);
  tcase_add_test (tcase, late_grant_is_released_at_once);
  tcase_add_test (tcase, confirmed_cancel_frees_the_slot);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
