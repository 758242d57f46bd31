#include "cowslipspoke/watch.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

static const csp_watch_policy_t policy
    = { .wait_ms = 600, .slack_ms = 500, .pause_last_ms = 400 };
static csp_watch_t watch;

static void
set_up (void)
{
  csp_open_watch (&watch, &policy, 0, 5);
}

START_TEST (pages_are_read_and_then_followed_from_the_first)
{
  csp_watch_call_t call = csp_next_watch_call (&watch);

  ck_assert_int_eq (call.kind, CSP_WATCH_LIST);
  ck_assert (call.first_page);
  ck_assert_str_eq (call.after_key, "");
  csp_note_watch_page (&watch, 40, true, "servers/m");
  call = csp_next_watch_call (&watch);
  ck_assert_int_eq (call.kind, CSP_WATCH_LIST);
  ck_assert (!call.first_page);
  ck_assert_str_eq (call.after_key, "servers/m");
  csp_note_watch_page (&watch, 50, false, "servers/z");
  call = csp_next_watch_call (&watch);
  ck_assert_int_eq (call.kind, CSP_WATCH_FOLLOW);
  /* What changed between the pages is seen once more.  */
  ck_assert_int_eq (call.after_revision, 40);
  ck_assert_uint_eq (call.pause_ms, 0);
  ck_assert_uint_eq (call.timeout_ms, 1100);
  /* The list may be some seconds old; whether it is current is asked without
     waiting.  */
  ck_assert_uint_eq (call.wait_ms, 1);
  csp_note_watch_changes (&watch, 60);
  call = csp_next_watch_call (&watch);
  ck_assert_int_eq (call.after_revision, 60);
  ck_assert_uint_eq (call.wait_ms, 600);
  ck_assert_uint_eq (call.timeout_ms, 1100);
}
END_TEST

/* The first list may be stale, and its later pages staler than the first: what
   changed behind the oldest of them is followed.  A list that is read anew
   because history is gone has to be current, as no watch tells what it lacks;
   and a watch that failed asks again without waiting.  */
START_TEST (only_the_first_list_may_be_stale)
{
  ck_assert (csp_next_watch_call (&watch).stale_ok);
  csp_note_watch_page (&watch, 50, true, "servers/m");
  ck_assert (csp_next_watch_call (&watch).stale_ok);
  csp_note_watch_page (&watch, 40, false, "servers/z");
  ck_assert_int_eq (csp_next_watch_call (&watch).after_revision, 40);
  csp_note_watch_failure (&watch, CSP_WATCH_UNANSWERED);
  ck_assert_uint_eq (csp_next_watch_call (&watch).wait_ms, 1);
  csp_note_watch_failure (&watch, CSP_WATCH_COMPACTED);
  ck_assert (!csp_next_watch_call (&watch).stale_ok);
  csp_note_watch_page (&watch, 60, false, "servers/z");
  ck_assert_uint_eq (csp_next_watch_call (&watch).wait_ms, 600);
}
END_TEST

/* A host that reads for itself alone pauses between watches that are answered,
   so that hundreds of them don't ask for each change.  */
START_TEST (watches_have_a_gap_where_the_policy_says)
{
  csp_note_watch_page (&watch, 40, false, "servers/z");
  csp_note_watch_changes (&watch, 41);
  ck_assert_uint_eq (csp_next_watch_call (&watch).pause_ms, 0);
  watch.policy.gap_ms = 700;
  ck_assert_uint_eq (csp_next_watch_call (&watch).pause_ms, 700);
}
END_TEST

/* What is known from elsewhere need not be listed again.  */
START_TEST (a_known_revision_is_followed_at_once)
{
  csp_watch_call_t call;

  csp_open_watch (&watch, &policy, 70, 5);
  call = csp_next_watch_call (&watch);
  ck_assert_int_eq (call.kind, CSP_WATCH_FOLLOW);
  ck_assert_int_eq (call.after_revision, 70);
}
END_TEST

/* A watch that failed goes on where it was; a page that failed is read anew
   from the first, as the pages are no snapshot; history that is gone makes a
   new listing.  */
static const struct
{
  bool following;
  csp_watch_failure_t failure;
  csp_watch_kind_t next;
} failures[] = {
  { true, CSP_WATCH_UNANSWERED, CSP_WATCH_FOLLOW },
  { true, CSP_WATCH_REFUSED, CSP_WATCH_FOLLOW },
  { true, CSP_WATCH_COMPACTED, CSP_WATCH_LIST },
  { false, CSP_WATCH_UNANSWERED, CSP_WATCH_LIST },
  { false, CSP_WATCH_REFUSED, CSP_WATCH_LIST },
};

START_TEST (a_failure_costs_as_little_as_it_may)
{
  csp_watch_call_t call;

  csp_note_watch_page (&watch, 40, !failures[_i].following, "servers/m");
  csp_note_watch_failure (&watch, failures[_i].failure);
  call = csp_next_watch_call (&watch);
  ck_assert_int_eq (call.kind, failures[_i].next);
  ck_assert (call.kind == CSP_WATCH_FOLLOW || call.first_page);
  ck_assert_uint_gt (call.pause_ms, 0);
}
END_TEST

/* All hosts lose the store together.  Asking again at once they would use up
   its reads when it is back, and the slowest would learn of a change last.  */
START_TEST (pauses_grow_and_differ_between_hosts)
{
  csp_watch_t other;
  uint32_t most_ms = 0;
  bool differ = false;
  int i;

  csp_open_watch (&other, &policy, 0, 6);
  for (i = 0; i < 50; i++)
    {
      uint32_t one_ms;
      uint32_t other_ms;

      csp_note_watch_failure (&watch, CSP_WATCH_UNANSWERED);
      csp_note_watch_failure (&other, CSP_WATCH_UNANSWERED);
      one_ms = csp_next_watch_call (&watch).pause_ms;
      other_ms = csp_next_watch_call (&other).pause_ms;
      differ = differ || one_ms != other_ms;
      most_ms = one_ms > most_ms ? one_ms : most_ms;
    }
  ck_assert (differ);
  ck_assert_uint_gt (most_ms, 200);
  /* The store's return is seen within the policy's time.  */
  ck_assert_uint_le (most_ms, 400);
  ck_assert (csp_watch_is_away (&watch));
  csp_note_watch_page (&watch, 1, false, "");
  ck_assert (!csp_watch_is_away (&watch));
  csp_note_watch_failure (&watch, CSP_WATCH_UNANSWERED);
  ck_assert (!csp_watch_is_away (&watch));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("watch");
  TCase *tcase = tcase_create ("watch");

  tcase_add_checked_fixture (tcase, set_up, NULL);
  tcase_add_test (tcase, pages_are_read_and_then_followed_from_the_first);
  tcase_add_test (tcase, only_the_first_list_may_be_stale);
  tcase_add_test (tcase, watches_have_a_gap_where_the_policy_says);
  tcase_add_test (tcase, a_known_revision_is_followed_at_once);
  tcase_add_loop_test (tcase, a_failure_costs_as_little_as_it_may, 0,
                       sizeof failures / sizeof failures[0]);
  tcase_add_test (tcase, pauses_grow_and_differ_between_hosts);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
