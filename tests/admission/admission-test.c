#include "cowslipspoke/admission.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

enum
{
  MEMORY = 40000,
  PROMPT = 1000
};

static csp_lengths_t *lengths;
static csp_ledger_t *ledger;
static uint32_t short_key;
static uint32_t long_key;

/* Two classes: every answer has 50 tokens, and every answer has 6,000.  */
static void
set_up (void)
{
  csp_length_policy_t lengths_policy = csp_default_length_policy ();
  csp_admission_policy_t policy = csp_default_admission_policy ();
  uint32_t i;

  lengths = csp_create_lengths (&lengths_policy);
  short_key = csp_get_length_key (lengths, "m", "lookup");
  long_key = csp_get_length_key (lengths, "m", "draft");
  for (i = 0; i < 2000; i++)
    {
      csp_record_length_growth (lengths, short_key, 0, 50);
      csp_record_length_end (lengths, short_key, 50, CSP_LENGTH_FINISHED);
      csp_record_length_growth (lengths, long_key, 0, 6000);
      csp_record_length_end (lengths, long_key, 6000, CSP_LENGTH_FINISHED);
    }
  ledger = csp_create_ledger (&policy, lengths);
}

static void
tear_down (void)
{
  csp_destroy_ledger (ledger);
  csp_destroy_lengths (lengths);
}

static void
send_report (uint64_t number, uint32_t used_tokens, int64_t now_ms)
{
  csp_load_report_t report = { .sequence = number,
                               .memory_tokens = MEMORY,
                               .used_tokens = used_tokens };

  csp_apply_load_report (ledger, &report, now_ms);
}

static csp_stream_t
make_stream (uint32_t key)
{
  csp_stream_t stream
      = { .length_key = key, .prompt_tokens = PROMPT, .priority = 5 };

  return stream;
}

/* Admits streams until the decision is no longer CSP_ADMIT; returns their
   number.  */
static uint32_t
admit_all (uint32_t key, int64_t now_ms)
{
  csp_stream_t stream = make_stream (key);
  uint32_t count = 0;

  while (count < 1000
         && csp_decide_admission (ledger, &stream, now_ms) == CSP_ADMIT)
    {
      csp_add_stream (ledger, &stream, 0, now_ms);
      count++;
    }
  return count;
}

/* A burst of answers that grow to 6,000 tokens each arrives at an empty
   engine.  By the memory that is free now 39 of them fit; a minute later they
   need six times the memory, and the engine preempts.  */
START_TEST (burst_of_long_answers_leaves_memory_to_grow)
{
  uint32_t count;

  send_report (1, 0, 1000);
  count = admit_all (long_key, 1000);
  ck_assert_uint_ge (count, 3);
  ck_assert_uint_le (count * (PROMPT + 6000), MEMORY + MEMORY / 10);
}
END_TEST

/* Short answers need no such reserve; with it callers would wait while the
   engine is half empty.  */
START_TEST (burst_of_short_answers_fills_engine)
{
  send_report (1, 0, 1000);
  ck_assert_uint_ge (admit_all (short_key, 1000), 33);
}
END_TEST

/* Long answers in flight hold most of an engine: streams of a class with long
   answers wait, and short ones are still admitted.  */
START_TEST (short_answers_are_admitted_beside_long_ones)
{
  csp_stream_t stream = make_stream (long_key);
  csp_stream_t short_stream = make_stream (short_key);

  send_report (1, 0, 1000);
  csp_add_stream (ledger, &stream, 5000, 1000);
  csp_add_stream (ledger, &stream, 5000, 1000);
  csp_add_stream (ledger, &stream, 5000, 1000);
  csp_add_stream (ledger, &stream, 5000, 1000);
  ck_assert_int_eq (csp_decide_admission (ledger, &stream, 1000),
                    CSP_ADMIT_WAIT);
  ck_assert_int_eq (csp_decide_admission (ledger, &short_stream, 1000),
                    CSP_ADMIT);
}
END_TEST

/* Reports that are late, missing, contradictory or from a restarted engine.
   `used` is what the report says while the ledger holds eight streams of 1,000
   tokens; `memory` is the usable memory after that.  */
static const struct
{
  uint64_t number;
  int64_t at_ms;
  int64_t query_ms;
  uint32_t used;
  uint32_t memory;
} report_rows[] = {
  { 2, 2000, 2000, 8000, MEMORY },          { 2, 2000, 2000, 0, MEMORY },
  { 2, 2000, 2000, 20000, MEMORY - 12000 }, { 2, 2000, 2000, 8500, MEMORY },
  { 2, 2000, 9000, 8000, MEMORY * 9 / 10 }, { 1, 2000, 2000, 20000, MEMORY },
  { 1, 9000, 9000, 20000, MEMORY - 12000 },
};

START_TEST (reports_are_compared_with_ledger)
{
  csp_stream_t stream = make_stream (short_key);
  uint32_t i;

  send_report (1, 0, 1000);
  for (i = 0; i < 8; i++)
    csp_add_stream (ledger, &stream, 0, 1000);
  send_report (report_rows[_i].number, report_rows[_i].used,
               report_rows[_i].at_ms);
  ck_assert_uint_eq (
      csp_ledger_memory_tokens (ledger, report_rows[_i].query_ms),
      report_rows[_i].memory);
}
END_TEST

/* Streams that ended within the lag are still in the report.  If they counted
   as load of others, an empty engine would be closed to new streams.  */
START_TEST (recently_ended_streams_are_not_foreign)
{
  csp_stream_t stream = make_stream (short_key);
  uint32_t handle;

  send_report (1, 0, 1000);
  handle = csp_add_stream (ledger, &stream, 0, 1000);
  csp_note_tokens (ledger, handle, 50, 3000);
  csp_remove_stream (ledger, handle, CSP_LENGTH_FINISHED, 3000);
  send_report (2, PROMPT + 50, 4000);
  ck_assert_uint_eq (csp_ledger_foreign_tokens (ledger), 0);
  send_report (3, PROMPT + 50, 8000);
  ck_assert_uint_eq (csp_ledger_foreign_tokens (ledger), PROMPT + 50);
}
END_TEST

/* Lengths that are estimated too low show as preemptions in the reports.
   Admission becomes stricter at once, before enough answers have ended to
   correct the estimate, and relaxes when the preemptions stop.  */
START_TEST (preemptions_make_admission_stricter)
{
  csp_stream_t stream = make_stream (CSP_LENGTH_KEY_SHARED);
  csp_admit_t before;
  uint32_t count = 0;
  uint32_t i;

  stream.prompt_tokens = 100;
  send_report (1, 0, 1000);
  while (csp_decide_admission (ledger, &stream, 1000) == CSP_ADMIT)
    {
      csp_add_stream (ledger, &stream, 0, 1000);
      count++;
    }
  csp_remove_stream (ledger, 0, CSP_LENGTH_CUT, 1000);
  before = csp_decide_admission (ledger, &stream, 1000);
  for (i = 0; i < 4; i++)
    csp_note_preemption (ledger, 1000);
  ck_assert_uint_gt (count, 20);
  ck_assert_int_eq (before, CSP_ADMIT);
  ck_assert_int_eq (csp_decide_admission (ledger, &stream, 1000),
                    CSP_ADMIT_WAIT);
  send_report (2, 0, 901000);
  ck_assert_int_eq (csp_decide_admission (ledger, &stream, 901000), CSP_ADMIT);
}
END_TEST

/* A target without a report takes few streams, a request that can never fit is
   refused at once, and a leaving target takes nothing.  */
START_TEST (unknown_oversized_and_leaving_cases)
{
  csp_stream_t stream = make_stream (short_key);
  csp_load_report_t leaving
      = { .sequence = 2, .memory_tokens = MEMORY, .leaving = true };

  ck_assert_uint_le (admit_all (short_key, 1000), 8);
  send_report (1, 0, 1000);
  stream.prompt_tokens = MEMORY;
  ck_assert_int_eq (csp_decide_admission (ledger, &stream, 1000),
                    CSP_ADMIT_NEVER);
  stream.prompt_tokens = PROMPT;
  csp_apply_load_report (ledger, &leaving, 1000);
  ck_assert_int_eq (csp_decide_admission (ledger, &stream, 1000),
                    CSP_ADMIT_WAIT);
  ck_assert_uint_eq (csp_ledger_headroom_tokens (ledger, 9, 1000), 0);
}
END_TEST

/* Removing streams subtracts exactly what was added, also when lengths were
   learnt in between; otherwise an engine's headroom would shrink for good.  */
START_TEST (emptied_ledger_has_full_headroom)
{
  csp_stream_t stream = make_stream (long_key);
  uint32_t handles[8];
  uint32_t i;

  send_report (1, 0, 1000);
  for (i = 0; i < 8; i++)
    handles[i] = csp_add_stream (ledger, &stream, 0, 1000);
  for (i = 0; i < 8; i++)
    csp_note_tokens (ledger, handles[i], 1000 * i + 10, 2000);
  for (i = 0; i < 8; i++)
    csp_remove_stream (ledger, handles[i], CSP_LENGTH_CUT, 3000);
  ck_assert_uint_eq (csp_ledger_used_tokens (ledger), 0);
  ck_assert_uint_eq (csp_ledger_streams (ledger), 0);
  ck_assert_uint_eq (csp_ledger_headroom_tokens (ledger, 9, 3000), MEMORY);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("admission");
  TCase *tcase = tcase_create ("admission");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, burst_of_long_answers_leaves_memory_to_grow);
  tcase_add_test (tcase, burst_of_short_answers_fills_engine);
  tcase_add_test (tcase, short_answers_are_admitted_beside_long_ones);
  tcase_add_loop_test (tcase, reports_are_compared_with_ledger, 0,
                       sizeof report_rows / sizeof report_rows[0]);
  tcase_add_test (tcase, recently_ended_streams_are_not_foreign);
  tcase_add_test (tcase, preemptions_make_admission_stricter);
  tcase_add_test (tcase, unknown_oversized_and_leaving_cases);
  tcase_add_test (tcase, emptied_ledger_has_full_headroom);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
