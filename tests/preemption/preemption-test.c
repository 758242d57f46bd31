#include "cowslipspoke/preemption.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

enum
{
  MEMORY = 20000,
  MAX_VICTIMS = 8
};

static csp_lengths_t *lengths;
static csp_ledger_t *ledger;
static csp_preemption_policy_t policy;

static void
set_up (void)
{
  csp_length_policy_t lengths_policy = csp_default_length_policy ();
  csp_admission_policy_t admission = csp_default_admission_policy ();
  csp_load_report_t report = { .sequence = 1, .memory_tokens = MEMORY };

  policy = csp_default_preemption_policy ();
  lengths = csp_create_lengths (&lengths_policy);
  ledger = csp_create_ledger (&admission, lengths);
  csp_apply_load_report (ledger, &report, 1000);
}

static void
tear_down (void)
{
  csp_destroy_ledger (ledger);
  csp_destroy_lengths (lengths);
}

static uint32_t
add_stream (uint32_t prompt_tokens, uint32_t generated_token_count,
            uint8_t priority, uint8_t preempted_count, bool repeatable)
{
  csp_stream_t stream = { .prompt_tokens = prompt_tokens,
                          .priority = priority,
                          .preempted_count = preempted_count,
                          .repeatable = repeatable };

  return csp_add_stream (ledger, &stream, generated_token_count, 1000);
}

/* Which of two streams on an overfull engine is taken back: the second, with
   the properties of the row, if victims is 1; otherwise the first.  */
static const struct
{
  const char *name;
  uint32_t made;
  uint8_t priority;
  uint8_t preempted_count;
  bool repeatable;
  uint32_t victims;
} rows[] = {
  { "lower priority", 0, 3, 0, true, 1 },
  { "has generated tokens", 10, 3, 0, true, 0 },
  { "not repeatable", 0, 3, 0, false, 0 },
  { "preempted twice", 0, 3, 2, true, 0 },
  { "preempted once", 0, 5, 1, true, 0 },
};

START_TEST (least_costly_stream_is_preempted)
{
  uint32_t handles[MAX_VICTIMS];
  uint32_t other;
  uint32_t first;
  uint32_t count;

  add_stream (12000, 3000, 5, 0, true);
  first = add_stream (4000, 0, 5, 0, true);
  other = add_stream (4000, rows[_i].made, rows[_i].priority,
                      rows[_i].preempted_count, rows[_i].repeatable);
  ck_assert_uint_gt (csp_expect_overrun (&policy, ledger, 1000), 0);
  count = csp_choose_victims (&policy, ledger, 1000, handles, MAX_VICTIMS);
  ck_assert_uint_eq (count, 1);
  ck_assert_msg (handles[0] == (rows[_i].victims ? other : first), "%s",
                 rows[_i].name);
}
END_TEST

/* Callers already read all answers on an engine that overruns.  None of these
   streams may be taken back, as each would start again.  */
START_TEST (streams_with_tokens_are_never_preempted)
{
  uint32_t handles[MAX_VICTIMS];

  add_stream (12000, 5000, 0, 0, true);
  add_stream (4000, 1, 0, 0, true);
  ck_assert_uint_gt (csp_expect_overrun (&policy, ledger, 1000), 0);
  ck_assert_uint_eq (
      csp_choose_victims (&policy, ledger, 1000, handles, MAX_VICTIMS), 0);
}
END_TEST

START_TEST (no_preemption_with_free_memory)
{
  uint32_t handles[MAX_VICTIMS];

  add_stream (9000, 100, 0, 0, true);
  add_stream (9000, 0, 0, 0, true);
  ck_assert_uint_eq (csp_expect_overrun (&policy, ledger, 1000), 0);
  ck_assert_uint_eq (
      csp_choose_victims (&policy, ledger, 1000, handles, MAX_VICTIMS), 0);
}
END_TEST

/* No more streams are taken back than the overrun needs.  */
START_TEST (no_more_preemptions_than_needed)
{
  uint32_t handles[MAX_VICTIMS];
  uint32_t i;

  add_stream (10000, 100, 5, 0, true);
  for (i = 0; i < 7; i++)
    add_stream (2000, 0, 5, 0, true);
  ck_assert_uint_eq (
      csp_choose_victims (&policy, ledger, 1000, handles, MAX_VICTIMS), 3);
}
END_TEST

/* A stream that was taken back gets a higher priority, so that the engine
   doesn't preempt the same stream again and again.  */
START_TEST (preemption_raises_engine_priority)
{
  csp_stream_t stream = { .priority = 8 };

  ck_assert_uint_eq (csp_compute_engine_priority (&stream), 8);
  stream.preempted_count = 1;
  ck_assert_uint_eq (csp_compute_engine_priority (&stream), 9);
  stream.preempted_count = 200;
  ck_assert_uint_eq (csp_compute_engine_priority (&stream), 9);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("preemption");
  TCase *tcase = tcase_create ("preemption");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, least_costly_stream_is_preempted, 0,
                       sizeof rows / sizeof rows[0]);
  tcase_add_test (tcase, streams_with_tokens_are_never_preempted);
  tcase_add_test (tcase, no_preemption_with_free_memory);
  tcase_add_test (tcase, no_more_preemptions_than_needed);
  tcase_add_test (tcase, preemption_raises_engine_priority);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
