#include "cowslipspoke/watch.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

static const csp_watch_policy_t policy
    = { .wait_ms = 600, .answer_grace_ms = 500, .max_backoff_ms = 400 };
static csp_watch_t watch;

static void
set_up (void)
{
  csp_init_watch (&watch, &policy, 0, 5);
}

START_TEST (pages_are_listed_then_watched_from_the_first)
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
  /* Changes between the pages are seen twice.  */
  ck_assert_int_eq (call.after_revision, 40);
  ck_assert_uint_eq (call.delay_ms, 0);
  ck_assert_uint_eq (call.timeout_ms, 1100);
  /* The list may be some seconds old, so the first watch doesn't wait for a
     change.  */
  ck_assert_uint_eq (call.wait_ms, 1);
  csp_note_watch_changes (&watch, 60);
  call = csp_next_watch_call (&watch);
  ck_assert_int_eq (call.after_revision, 60);
  ck_assert_uint_eq (call.wait_ms, 600);
  ck_assert_uint_eq (call.timeout_ms, 1100);
}
END_TEST

/* The first list may be stale, and later pages staler than the first, so
   changes are watched from the oldest page.  If the first watch after it
   fails, the repeated one doesn't wait for a change either.  A list that is
   read anew because history is gone must be current, as no watch returns the
   changes that it lacks.  */
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

/* A host that reads the store only for itself waits between watches, so that
   hundreds of such hosts don't make a call for each change.  */
START_TEST (watches_are_spaced_by_the_policy_gap)
{
  csp_note_watch_page (&watch, 40, false, "servers/z");
  csp_note_watch_changes (&watch, 41);
  ck_assert_uint_eq (csp_next_watch_call (&watch).delay_ms, 0);
  watch.policy.gap_ms = 700;
  ck_assert_uint_eq (csp_next_watch_call (&watch).delay_ms, 700);
}
END_TEST

/* Items that are known from another host need not be listed again.  */
START_TEST (a_known_revision_is_watched_at_once)
{
  csp_watch_call_t call;

  csp_init_watch (&watch, &policy, 70, 5);
  call = csp_next_watch_call (&watch);
  ck_assert_int_eq (call.kind, CSP_WATCH_FOLLOW);
  ck_assert_int_eq (call.after_revision, 70);
}
END_TEST

/* A failed watch is repeated from its revision; a failed page restarts the
   list from the first page, as pages are no snapshot; compacted history
   restarts the list as well.  */
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

START_TEST (a_failure_restarts_no_more_than_needed)
{
  csp_watch_call_t call;

  csp_note_watch_page (&watch, 40, !failures[_i].following, "servers/m");
  csp_note_watch_failure (&watch, failures[_i].failure);
  call = csp_next_watch_call (&watch);
  ck_assert_int_eq (call.kind, failures[_i].next);
  ck_assert (call.kind == CSP_WATCH_FOLLOW || call.first_page);
  ck_assert_uint_gt (call.delay_ms, 0);
}
END_TEST

/* The store becomes unreachable for all hosts together.  If all of them
   retried at once, they would use up its capacity when it is back, and the
   slowest hosts would get changes late.  */
START_TEST (backoffs_grow_and_differ_between_hosts)
{
  csp_watch_t other;
  uint32_t max_ms = 0;
  bool differ = false;
  int i;

  csp_init_watch (&other, &policy, 0, 6);
  for (i = 0; i < 50; i++)
    {
      uint32_t this_ms;
      uint32_t other_ms;

      csp_note_watch_failure (&watch, CSP_WATCH_UNANSWERED);
      csp_note_watch_failure (&other, CSP_WATCH_UNANSWERED);
      this_ms = csp_next_watch_call (&watch).delay_ms;
      other_ms = csp_next_watch_call (&other).delay_ms;
      differ = differ || this_ms != other_ms;
      max_ms = this_ms > max_ms ? this_ms : max_ms;
    }
  ck_assert (differ);
  ck_assert_uint_gt (max_ms, 200);
  /* The store's return is noticed within the policy's maximum.  */
  ck_assert_uint_le (max_ms, 400);
  ck_assert (csp_is_watch_unreachable (&watch));
  csp_note_watch_page (&watch, 1, false, "");
  ck_assert (!csp_is_watch_unreachable (&watch));
  csp_note_watch_failure (&watch, CSP_WATCH_UNANSWERED);
  ck_assert (!csp_is_watch_unreachable (&watch));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("watch");
  TCase *tcase = tcase_create ("watch");

  tcase_add_checked_fixture (tcase, set_up, NULL);
  tcase_add_test (tcase, pages_are_listed_then_watched_from_the_first);
  tcase_add_test (tcase, only_the_first_list_may_be_stale);
  tcase_add_test (tcase, watches_are_spaced_by_the_policy_gap);
  tcase_add_test (tcase, a_known_revision_is_watched_at_once);
  tcase_add_loop_test (tcase, a_failure_restarts_no_more_than_needed, 0,
                       sizeof failures / sizeof failures[0]);
  tcase_add_test (tcase, backoffs_grow_and_differ_between_hosts);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
