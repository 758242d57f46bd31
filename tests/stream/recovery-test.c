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
  RECENT_MS = 100,
  EXPIRED_MS = 60000
};

#define IDEMPOTENT true
#define AT_MOST_ONCE false

/* For each way in which a link can end, and by what the caller already has:
   the next step and the verdict that the caller gets in case of an error.  A
   wrong row causes a second run, the loss of an answer that could have been
   resumed, or a wrong "not run".  */
static const recovery_case_t recovery_cases[] = {
  { "complete answer",
    { IDEMPOTENT, true, true, 9, 0, RECENT_MS },
    CSP_LINK_COMPLETE,
    CSP_RECOVER_DONE,
    CSP_VERDICT_NOT_RUN },
  { "engine dead before connect",
    { IDEMPOTENT, true, false, 0, 0, RECENT_MS },
    CSP_LINK_NO_CONNECT,
    CSP_RECOVER_RETRY_ELSEWHERE,
    CSP_VERDICT_NOT_RUN },
  { "engine dead before connect, once",
    { AT_MOST_ONCE, true, false, 0, 0, RECENT_MS },
    CSP_LINK_NO_CONNECT,
    CSP_RECOVER_RETRY_ELSEWHERE,
    CSP_VERDICT_NOT_RUN },
  { "engine full, once",
    { AT_MOST_ONCE, true, false, 0, 0, RECENT_MS },
    CSP_LINK_NOT_STARTED,
    CSP_RECOVER_RETRY_ELSEWHERE,
    CSP_VERDICT_NOT_RUN },
  { "bad request",
    { IDEMPOTENT, true, false, 0, 0, RECENT_MS },
    CSP_LINK_REJECTED,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_NOT_RUN },
  { "cut before the first token",
    { IDEMPOTENT, true, true, 0, 0, RECENT_MS },
    CSP_LINK_CUT,
    CSP_RECOVER_RETRY_ELSEWHERE,
    CSP_VERDICT_MAY_HAVE_RUN },
  { "cut before the first token, once: only the same generation",
    { AT_MOST_ONCE, true, true, 0, 0, RECENT_MS },
    CSP_LINK_CUT,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_MAY_HAVE_RUN },
  { "generation unknown after a cut, once: it may have run",
    { AT_MOST_ONCE, true, true, 0, 1, RECENT_MS },
    CSP_LINK_UNKNOWN,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_MAY_HAVE_RUN },
  { "cut in the middle",
    { IDEMPOTENT, true, true, 7, 0, RECENT_MS },
    CSP_LINK_CUT,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_RAN },
  { "stalled in the middle",
    { IDEMPOTENT, true, true, 7, 0, RECENT_MS },
    CSP_LINK_STALLED,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_RAN },
  { "engine restarting in the middle",
    { IDEMPOTENT, true, true, 7, 2, RECENT_MS },
    CSP_LINK_NO_CONNECT,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_RAN },
  { "missing token in the middle",
    { IDEMPOTENT, true, true, 7, 0, RECENT_MS },
    CSP_LINK_BROKEN,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_RAN },
  { "tokens of another generation: its own may still exist",
    { IDEMPOTENT, true, true, 7, 0, RECENT_MS },
    CSP_LINK_FOREIGN,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_RAN },
  { "tokens of another generation at every resume",
    { IDEMPOTENT, true, true, 7, 6, RECENT_MS },
    CSP_LINK_FOREIGN,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_RAN },
  { "generation unknown in the middle",
    { IDEMPOTENT, true, true, 7, 1, RECENT_MS },
    CSP_LINK_UNKNOWN,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_RAN },
  { "too many idle resumes",
    { IDEMPOTENT, true, true, 7, 6, RECENT_MS },
    CSP_LINK_CUT,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_RAN },
  { "resume window has passed",
    { IDEMPOTENT, true, true, 7, 1, EXPIRED_MS },
    CSP_LINK_NO_CONNECT,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_RAN },
  { "unspecific error, once",
    { AT_MOST_ONCE, true, true, 0, 0, RECENT_MS },
    CSP_LINK_FAILED,
    CSP_RECOVER_RESUME,
    CSP_VERDICT_MAY_HAVE_RUN },
  { "a plain service's answer is cut, once: nothing to resume",
    { AT_MOST_ONCE, false, true, 0, 0, RECENT_MS },
    CSP_LINK_CUT,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_MAY_HAVE_RUN },
  { "deadline in the middle",
    { IDEMPOTENT, true, true, 7, 0, RECENT_MS },
    CSP_LINK_DEADLINE,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_RAN },
  { "deadline before a byte was sent",
    { IDEMPOTENT, true, false, 0, 0, RECENT_MS },
    CSP_LINK_DEADLINE,
    CSP_RECOVER_GIVE_UP,
    CSP_VERDICT_NOT_RUN },
};

START_TEST (link_ends_recover_as_listed)
{
  const recovery_case_t *row = &recovery_cases[_i];
  csp_recovery_policy_t policy = csp_default_recovery_policy ();
  csp_recovery_t recovery
      = csp_decide_recovery (&policy, &row->attempt, row->end);

  ck_assert_msg (recovery.kind == row->kind, "%s: kind %d", row->name,
                 recovery.kind);
  ck_assert_msg (recovery.kind == CSP_RECOVER_DONE
                     || recovery.error.verdict == row->verdict,
                 "%s: verdict %d", row->name, recovery.error.verdict);
}
END_TEST

/* A request that must run at most once is never sent to another target after a
   byte was sent, and no request is after a token was delivered: the caller
   would get a quote twice, or two bulletins mixed.  */
START_TEST (no_second_run_over_all_states)
{
  csp_recovery_policy_t policy = csp_default_recovery_policy ();
  csp_attempt_t attempt = { 0 };
  csp_recovery_t recovery;
  int bits;
  int end;

  for (bits = 0; bits < 8; bits++)
    for (end = 0; end < CSP_LINK_END_COUNT; end++)
      {
        attempt.idempotent = (bits & 1) != 0;
        attempt.may_have_started = (bits & 2) != 0;
        attempt.delivered = (bits & 4) != 0 ? 3 : 0;
        recovery
            = csp_decide_recovery (&policy, &attempt, (csp_link_end_t)end);
        if (recovery.kind == CSP_RECOVER_RETRY_ELSEWHERE)
          {
            ck_assert (attempt.delivered == 0);
            ck_assert (attempt.idempotent || !attempt.may_have_started);
          }
        if (recovery.error.verdict == CSP_VERDICT_NOT_RUN
            && recovery.kind == CSP_RECOVER_GIVE_UP)
          ck_assert (!attempt.may_have_started && attempt.delivered == 0);
      }
}
END_TEST

typedef struct
{
  const char *generation;
  uint64_t index;
  const char *finish;
  csp_token_action_t action;
} token_case_t;

/* A link is cut and resumed.  The old link's last tokens are received again,
   one is skipped, and tokens of a generation that the engine started anew are
   mixed in.  Only the first generation's tokens may be delivered, each once
   and in order.  */
START_TEST (only_next_token_of_same_generation_is_delivered)
{
  static const token_case_t rows[] = {
    { "g1", 0, NULL, CSP_TOKEN_DELIVER },
    { "g1", 1, NULL, CSP_TOKEN_DELIVER },
    { "g1", 1, NULL, CSP_TOKEN_DUPLICATE },
    { "g1", 0, NULL, CSP_TOKEN_DUPLICATE },
    { "g2", 2, NULL, CSP_TOKEN_FOREIGN },
    { "g1", 3, NULL, CSP_TOKEN_GAP },
    { "g1", 2, "stop", CSP_TOKEN_DELIVER },
    { "g1", 3, NULL, CSP_TOKEN_AFTER_END },
    { "g1", 2, "stop", CSP_TOKEN_DUPLICATE },
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
      ck_assert_int_eq (csp_accept_token (&generation, &token),
                        rows[i].action);
    }
  ck_assert (csp_accept_end_mark (&generation));
  ck_assert_uint_eq (generation.next_index, 3);
}
END_TEST

/* An engine sends the end mark although its answer stopped in the middle.  The
   caller would take half a bulletin for a complete one.  */
START_TEST (end_without_finish_reason_is_incomplete)
{
  csp_generation_t generation;
  csp_token_t token = { "g", 0, "a", NULL };

  csp_start_generation (&generation, "g");
  ck_assert_int_eq (csp_accept_token (&generation, &token), CSP_TOKEN_DELIVER);
  ck_assert (!csp_accept_end_mark (&generation));
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

/* The network may split a stream of events at any byte.  */
START_TEST (events_survive_any_split)
{
  static const char text[]
      = ": hello\r\ndata: one\r\n\r\nevent: x\ndata:two\n\ndata: [DONE]\n\n";
  csp_sse_reader_t *reader = csp_create_sse_reader (64);
  char out[OUT_BYTES];
  size_t split;

  for (split = 0; split < sizeof text - 1; split++)
    {
      out[0] = '\0';
      ck_assert_int_eq (csp_feed_sse (reader, text, split, collect, out), 0);
      ck_assert_int_eq (csp_feed_sse (reader, text + split,
                                      sizeof text - 1 - split, collect, out),
                        0);
      ck_assert_str_eq (out, "one|two|[DONE]|");
    }
  csp_destroy_sse_reader (reader);
}
END_TEST

START_TEST (line_beyond_limit_is_refused)
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

  tcase_add_loop_test (tcase, link_ends_recover_as_listed, 0,
                       sizeof recovery_cases / sizeof recovery_cases[0]);
  tcase_add_test (tcase, no_second_run_over_all_states);
  tcase_add_test (tcase, only_next_token_of_same_generation_is_delivered);
  tcase_add_test (tcase, end_without_finish_reason_is_incomplete);
  tcase_add_test (tcase, events_survive_any_split);
  tcase_add_test (tcase, line_beyond_limit_is_refused);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
