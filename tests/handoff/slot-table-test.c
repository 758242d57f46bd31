#include "cowslipspoke/handoff.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

static const csp_reserve_ask_t ask
    = { .ask_id = 7, .sender = { "s", 1 }, .expected_tokens = 400 };

static csp_slot_table_t *
open_table (uint64_t seed)
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
count (csp_slot_table_t *table, const char *target, int64_t now_ms)
{
  csp_target_usage_t usage;

  csp_count_target (table, target, now_ms, &usage);
  return usage;
}

/* The owner restarts, and a copy of the reserve that a link had kept reaches
   its new life, which grants another target.  The sender, who knows only the
   first grant, would open an engine at which nobody counts it; its caller
   would see stalls.  */
START_TEST (commit_of_an_earlier_grant_is_refused)
{
  csp_slot_table_t *table = open_table (1);
  csp_reserve_answer_t first;
  csp_reserve_answer_t second;

  csp_reserve_slot (table, &ask, "e0", 0, &first);
  csp_destroy_slot_table (table);
  table = open_table (2);
  csp_reserve_slot (table, &ask, "e1", 0, &second);
  ck_assert (second.granted);
  ck_assert (!commit (table, first.nonce, 0, 0));
  ck_assert (commit (table, second.nonce, 0, 0));
  csp_destroy_slot_table (table);
}
END_TEST

/* A link delivers a reserve twice.  Were the copy granted for itself, an
   engine would look fuller than it is, and callers wait beside a free one. */
START_TEST (a_doubled_reserve_takes_one_slot)
{
  csp_slot_table_t *table = open_table (1);
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

/* A list of holdings made before the commit arrives after it.  If it ended
   the slot, a stream longer than the drain would go on uncounted, and the
   engine would be given more than it can hold.  */
START_TEST (a_list_older_than_the_commit_ends_nothing)
{
  csp_slot_table_t *table = open_table (1);
  csp_holdings_t nothing = { .sender = { "s", 1 }, .number = 4 };
  csp_reserve_answer_t answer;

  csp_reserve_slot (table, &ask, "e0", 0, &answer);
  ck_assert (commit (table, answer.nonce, 4, 0));
  csp_take_holdings (table, &nothing, 10);
  ck_assert_uint_eq (count (table, "e0", 60000).held, 1);
  nothing.number = 5;
  csp_take_holdings (table, &nothing, 60000);
  ck_assert_uint_eq (count (table, "e0", 60000).orphaned, 1);
  ck_assert_uint_eq (count (table, "e0", 95000).orphaned, 0);
  csp_destroy_slot_table (table);
}
END_TEST

/* A peer grants after the sender has gone on to another.  If the sender kept
   silent, each slow answer would cost the peer a slot for a whole lease, just
   when all are full.  */
START_TEST (a_late_grant_is_given_back_at_once)
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

/* A caller hangs up and the engine confirms the cancel.  Without the second
   release its memory would stay counted for half a minute, and others wait. */
START_TEST (a_confirmed_cancel_frees_the_slot)
{
  csp_slot_table_t *table = open_table (1);
  csp_reserve_answer_t answer;
  csp_release_t release = { .ask_id = 7, .sender = { "s", 1 } };

  csp_reserve_slot (table, &ask, "e0", 0, &answer);
  release.nonce = answer.nonce;
  ck_assert (commit (table, answer.nonce, 0, 0));
  release.maybe_decoding = true;
  csp_release_slot (table, &release, 10);
  ck_assert_uint_eq (count (table, "e0", 10).orphaned, 1);
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
  tcase_add_test (tcase, a_doubled_reserve_takes_one_slot);
  tcase_add_test (tcase, a_list_older_than_the_commit_ends_nothing);
  tcase_add_test (tcase, a_late_grant_is_given_back_at_once);
  tcase_add_test (tcase, a_confirmed_cancel_frees_the_slot);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
