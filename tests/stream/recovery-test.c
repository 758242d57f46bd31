#include "cowslipspoke/generation.h"
#include "cowslipspoke/recovery.h"
#include "cowslipspoke/sse.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  const char *name;
  csp_attempt_t attempt;
  csp_link_end_t end;
  csp_recovery_kind_t kind;
  csp_verdict_t verdict;
} recovery_case_t;

enum
{
  FRESH_MS = 100,
  OLD_MS = 60000
};

#define IDEMPOTENT true
#define ONCE false

/* An engine's link can end in many ways while a caller waits.  The table says
   for each, by what the caller already has, what is done next and what the
   caller is told if that is an error.  A wrong row is either a second run, an
   answer given up that could have been saved, or a false "not run".  */
static const recovery_case_t recovery_cases[] = {
  { "whole answer",
    { IDEMPOTENT, true, true, 9, 0, FRESH_MS },
    CSP_LINK_COMPLETE,
    CSP_RECOVER_DONE,
    CSP_VERDICT_NOT_RUN },
  { "engine dead before connect",
    { IDEMPOTENT, true, false, 0, 0, FRESH_MS },
    CSP_LINK_NO_CONNECT,
    CSP_RECOVER_ELSEWHERE,
    CSP_VERDICT_NOT_RUN },
  { "engine dead before connect, once",
    { ONCE, true, false, 0, 0, FRESH_MS },
    CSP_LINK_NO_CONNECT,
    CSP_RECOVER_ELSEWHERE,
    CSP_VERDICT_NOT_RUN },
  { "engine full, once",
    { ONCE, true, false, 0, 0, FRESH_MS },
    CSP_LINK_NOT_STARTED,
    CSP_RECOVER_ELSEWHERE,
    CSP_VERDICT_NOT_RUN },
  { "bad request",
    { IDEMPOTENT, true, false, 0, 0, FRESH_MS },
    CSP_LINK_REJECTED,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_NOT_RUN },
  { "cut before the first token",
    { IDEMPOTENT, true, true, 0, 0, FRESH_MS },
    CSP_LINK_CUT,
    CSP_RECOVER_ELSEWHERE,
    CSP_VERDICT_MAY_HAVE_RUN },
  { "cut before the first token, once: only the same generation",
    { ONCE, true, true, 0, 0, FRESH_MS },
    CSP_LINK_CUT,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_MAY_HAVE_RUN },
  { "engine unknown to it after a cut, once: it may have run and be gone",
    { ONCE, true, true, 0, 1, FRESH_MS },
    CSP_LINK_UNKNOWN,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_MAY_HAVE_RUN },
  { "cut in the middle",
    { IDEMPOTENT, true, true, 7, 0, FRESH_MS },
    CSP_LINK_CUT,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_RAN },
  { "stalled in the middle",
    { IDEMPOTENT, true, true, 7, 0, FRESH_MS },
    CSP_LINK_STALLED,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_RAN },
  { "engine restarting in the middle",
    { IDEMPOTENT, true, true, 7, 2, FRESH_MS },
    CSP_LINK_NO_CONNECT,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_RAN },
  { "a gap in the middle",
    { IDEMPOTENT, true, true, 7, 0, FRESH_MS },
    CSP_LINK_BROKEN,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_RAN },
  { "another generation's words in the middle: its own may still be there",
    { IDEMPOTENT, true, true, 7, 0, FRESH_MS },
    CSP_LINK_FOREIGN,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_RAN },
  { "another generation's words at every resume",
    { IDEMPOTENT, true, true, 7, 6, FRESH_MS },
    CSP_LINK_FOREIGN,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_RAN },
  { "engine forgot it in the middle",
    { IDEMPOTENT, true, true, 7, 1, FRESH_MS },
    CSP_LINK_UNKNOWN,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_RAN },
  { "too many idle resumes",
    { IDEMPOTENT, true, true, 7, 6, FRESH_MS },
    CSP_LINK_CUT,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_RAN },
  { "the engine's window is over",
    { IDEMPOTENT, true, true, 7, 1, OLD_MS },
    CSP_LINK_NO_CONNECT,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_RAN },
  { "error that says nothing, once",
    { ONCE, true, true, 0, 0, FRESH_MS },
    CSP_LINK_FAILED,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_MAY_HAVE_RUN },
  { "a plain service's answer is cut, once: nothing to resume",
    { ONCE, false, true, 0, 0, FRESH_MS },
    CSP_LINK_CUT,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_MAY_HAVE_RUN },
  { "deadline in the middle",
    { IDEMPOTENT, true, true, 7, 0, FRESH_MS },
    CSP_LINK_DEADLINE,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_RAN },
  { "deadline before anything left",
    { IDEMPOTENT, true, false, 0, 0, FRESH_MS },
    CSP_LINK_DEADLINE,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_NOT_RUN },
};

START_TEST (each_end_of_a_link_is_recovered_by_its_row)
{
  const recovery_case_t *row = &recovery_cases[_i];
  csp_recovery_policy_t policy = csp_default_recovery_policy ();
  csp_recovery_t got = csp_decide_recovery (&policy, &row->attempt, row->end);

  ck_assert_msg (got.kind == row->kind, "%s: kind %d", row->name, got.kind);
  ck_assert_msg (got.kind == CSP_RECOVER_DONE
                     || got.error.verdict == row->verdict,
                 "%s: verdict %d", row->name, got.error.verdict);
}
END_TEST

/* Whatever happens, a request that may run once only is never sent elsewhere
   once a byte has left, and no request is once a token was delivered.  A user
   would see a doubled quote, or two bulletins spliced.  */
START_TEST (no_second_run_over_all_states)
{
  csp_recovery_policy_t policy = csp_default_recovery_policy ();
  csp_attempt_t attempt = { 0 };
  csp_recovery_t got;
  int bits;
  int end;

  for (bits = 0; bits < 8; bits++)
    for (end = 0; end < CSP_LINK_END_COUNT; end++)
      {
        attempt.idempotent = (bits & 1) != 0;
        attempt.may_have_started = (bits & 2) != 0;
        attempt.delivered = (bits & 4) != 0 ? 3 : 0;
        got = csp_decide_recovery (&policy, &attempt, (csp_link_end_t)end);
        if (got.kind == CSP_RECOVER_ELSEWHERE)
          {
            ck_assert (attempt.delivered == 0);
            ck_assert (attempt.idempotent || !attempt.may_have_started);
          }
        if (got.error.verdict == CSP_VERDICT_NOT_RUN
            && got.kind == CSP_RECOVER_GIVE_UP)
          ck_assert (!attempt.may_have_started && attempt.delivered == 0);
      }
}
END_TEST

typedef struct
{
  const char *generation;
  uint64_t index;
  const char *finish;
  csp_take_t take;
} token_case_t;

/* A link is cut and resumed; the old link's last tokens arrive again, one is
   skipped, and words of a generation that the engine began anew mix in.  The
   caller must read each token of the first generation once, in order.  */
START_TEST (only_the_next_token_of_the_same_generation_passes)
{
  static const token_case_t rows[] = {
    { "g1", 0, NULL, CSP_TAKE_DELIVER },
    { "g1", 1, NULL, CSP_TAKE_DELIVER },
    { "g1", 1, NULL, CSP_TAKE_DUPLICATE },
    { "g1", 0, NULL, CSP_TAKE_DUPLICATE },
    { "g2", 2, NULL, CSP_TAKE_FOREIGN },
    { "g1", 3, NULL, CSP_TAKE_GAP },
    { "g1", 2, "stop", CSP_TAKE_DELIVER },
    { "g1", 3, NULL, CSP_TAKE_AFTER_END },
    { "g1", 2, "stop", CSP_TAKE_DUPLICATE },
  };
  csp_generation_t generation;
  csp_token_t token = { 0 };
  size_t i;

  csp_start_generation (&generation, "g1");
  for (i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      token.generation = rows[i].generation;
      token.index = rows[i].index;
      token.finish_reason = rows[i].finish;
      ck_assert_int_eq (csp_take_token (&generation, &token), rows[i].take);
    }
  ck_assert (csp_take_end (&generation));
  ck_assert_uint_eq (generation.next_index, 3);
}
END_TEST

/* An engine closes a stream politely although its answer stopped halfway.
   A caller would take half a bulletin for a whole one.  */
START_TEST (an_end_without_a_finish_reason_is_no_end)
{
  csp_generation_t generation;
  csp_token_t token = { "g", 0, "a", NULL };

  csp_start_generation (&generation, "g");
  ck_assert_int_eq (csp_take_token (&generation, &token), CSP_TAKE_DELIVER);
  ck_assert (!csp_take_end (&generation));
}
END_TEST

enum
{
  OUT_BYTES = 128
};

static int
collect (void *state, char *payload, size_t size_bytes)
{
  char *out = state;

  (void)size_bytes;
  snprintf (out + strlen (out), OUT_BYTES - strlen (out), "%s|", payload);
  return 0;
}

/* A network cuts a stream of events at any byte.  */
START_TEST (events_survive_every_cut)
{
  static const char text[]
      = ": hello\r\ndata: one\r\n\r\nevent: x\ndata:two\n\ndata: [DONE]\n\n";
  csp_sse_reader_t *reader = csp_create_sse_reader (64);
  char out[OUT_BYTES];
  size_t cut;

  for (cut = 0; cut < sizeof text - 1; cut++)
    {
      out[0] = '\0';
      ck_assert_int_eq (csp_feed_sse (reader, text, cut, collect, out), 0);
      ck_assert_int_eq (csp_feed_sse (reader, text + cut,
                                      sizeof text - 1 - cut, collect, out),
                        0);
      ck_assert_str_eq (out, "one|two|[DONE]|");
    }
  csp_destroy_sse_reader (reader);
}
END_TEST

START_TEST (a_line_beyond_the_limit_is_refused)
{
  csp_sse_reader_t *reader = csp_create_sse_reader (8);
  char out[OUT_BYTES] = "";

  ck_assert_int_eq (csp_feed_sse (reader, "data: 123456789", 15, collect, out),
                    -1);
  csp_destroy_sse_reader (reader);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("stream");
  TCase *tcase = tcase_create ("stream");

  tcase_add_loop_test (tcase, each_end_of_a_link_is_recovered_by_its_row, 0,
                       sizeof recovery_cases / sizeof recovery_cases[0]);
  tcase_add_test (tcase, no_second_run_over_all_states);
  tcase_add_test (tcase, only_the_next_token_of_the_same_generation_passes);
  tcase_add_test (tcase, an_end_without_a_finish_reason_is_no_end);
  tcase_add_test (tcase, events_survive_every_cut);
  tcase_add_test (tcase, a_line_beyond_the_limit_is_refused);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
