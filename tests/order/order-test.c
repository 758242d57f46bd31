#include "cowslipspoke/order.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* One decision per row: what the engine reports, compared with the wanted
   state.  */
typedef struct
{
  const char *name;
  csp_named_version_t models[2];
  size_t model_count;
  const char *role;
  int64_t fence;
  bool busy;
  bool checks_fence;
  bool not_granted;
  bool leaving;
  bool foreign;
  int64_t report_age_ms;
  int64_t owned_ms;
  csp_order_state_t state;
  csp_order_op_t op;
  const char *expected_name;
  int64_t expected_fence;
} row_t;

enum
{
  NOW = 10000000,
  REVISION = 60,
  WANTED_REVISION = 50,
  LONGEST_MS = 60000
};

#define V3 { { "m", "3" } }, 1
#define V2 { { "m", "2" } }, 1
#define OLD { { "m", "3" }, { "old", "1" } }, 2
#define OWNED .owned_ms = LONGEST_MS
#define SENT(which, what, number)                                             \
  .state = CSP_ORDER_SENT, .op = (which), .expected_name = (what),            \
  .expected_fence = (number)

static const row_t rows[] = {
  { "as wanted", V3, "decode", 50, .checks_fence = true, OWNED,
    .state = CSP_ORDER_SETTLED },
  { "an old fencing number is raised first", V2, "mixed", 40,
    .checks_fence = true, OWNED, SENT (CSP_ORDER_SET_ROLE, "decode", 50) },
  { "also when all else is as wanted", V3, "decode", 49, .checks_fence = true,
    OWNED, SENT (CSP_ORDER_SET_ROLE, "decode", 50) },
  { "a version", V2, "decode", 50, .checks_fence = true, OWNED,
    SENT (CSP_ORDER_LOAD_MODEL, "m", 50) },
  { "a version not reported counts as wanted",
    { { "m", NULL } },
    1,
    "decode",
    50,
    .checks_fence = true,
    OWNED,
    .state = CSP_ORDER_SETTLED },
  { "an engine from another pool keeps its higher fence", V2, "decode", 55,
    .checks_fence = true, OWNED, SENT (CSP_ORDER_LOAD_MODEL, "m", 55) },
  { "the engine has a newer revision", V2, "decode", 61, .checks_fence = true,
    OWNED, .state = CSP_ORDER_HELD_BACK },
  { "a role", V3, "mixed", 50, .checks_fence = true, OWNED,
    SENT (CSP_ORDER_SET_ROLE, "decode", 50) },
  { "an unwanted model", OLD, "decode", 50, .checks_fence = true, OWNED,
    SENT (CSP_ORDER_UNLOAD_MODEL, "old", 50) },
  { "not while streams use it", OLD, "decode", 50, .checks_fence = true,
    .foreign = true, OWNED, .state = CSP_ORDER_IN_USE },
  { "a busy engine", V2, "decode", 50, .busy = true, .checks_fence = true,
    OWNED, .state = CSP_ORDER_ENGINE_BUSY },
  { "a leaving engine", V2, "decode", 50, .checks_fence = true,
    .leaving = true, OWNED, .state = CSP_ORDER_LEAVING },
  { "no lease", V2, "decode", 50, .checks_fence = true, .not_granted = true,
    OWNED, .state = CSP_ORDER_NOT_GRANTED },
  { "a report from before a pause", V2, "decode", 50, .checks_fence = true,
    .report_age_ms = CSP_ORDER_REPORT_MAX_AGE_MS + 1, OWNED,
    .state = CSP_ORDER_NO_REPORT },
  { "a new owner of a fence-checking engine", V2, "decode", 50,
    .checks_fence = true, SENT (CSP_ORDER_LOAD_MODEL, "m", 50) },
  { "a new owner waits for an earlier one's order", V2, "decode", 0,
    .owned_ms = LONGEST_MS - 1, .state = CSP_ORDER_EARLIER_OWNER },
  { "and then orders", V2, "decode", 0, OWNED,
    SENT (CSP_ORDER_LOAD_MODEL, "m", 50) },
};

static const csp_named_version_t wanted_models[] = { { "m", "3" } };
static const csp_wanted_state_t wanted = { .models = wanted_models,
                                           .model_count = 1,
                                           .role = CSP_ROLE_DECODE,
                                           .has_role = true };

static csp_order_facts_t
make_facts (const row_t *row, csp_order_report_t *report)
{
  csp_order_facts_t facts = { .revision = REVISION,
                              .wanted_revision = WANTED_REVISION,
                              .wanted = &wanted,
                              .longest_order_ms = LONGEST_MS,
                              .checks_fence = row->checks_fence,
                              .granted = true,
                              .leaving = row->leaving,
                              .foreign_streams = row->foreign,
                              .oldest_stream_ms = INT64_MAX,
                              .report = report };

  report->sequence = 7;
  report->asked_ms = NOW - row->report_age_ms;
  report->models = row->models;
  report->model_count = row->model_count;
  report->role = row->role;
  report->fence = row->fence;
  report->busy = row->busy;
  return facts;
}

START_TEST (decides_from_wanted_state_and_report)
{
  const row_t *row = &rows[_i];
  csp_order_tracker_t *engine = csp_create_order_tracker ();
  csp_order_pace_t pace = { .interval_ms = 1 };
  csp_order_report_t report = { 0 };
  csp_order_facts_t facts = make_facts (row, &report);
  csp_order_action_t action;

  facts.report = NULL;
  csp_decide_order (engine, &facts, &pace, NOW - row->owned_ms, &action);
  facts.report = &report;
  facts.granted = !row->not_granted;
  csp_decide_order (engine, &facts, &pace, NOW, &action);
  ck_assert_msg (action.state == row->state, "%s: %s", row->name,
                 csp_order_state_name (action.state));
  if (row->state == CSP_ORDER_SENT)
    {
      ck_assert_int_eq (action.kind, CSP_ORDER_ACT_SEND);
      ck_assert_int_eq (action.is.send.op, row->op);
      ck_assert_str_eq (action.is.send.name, row->expected_name);
      ck_assert_int_eq (action.is.send.fence, row->expected_fence);
    }
  csp_destroy_order_tracker (engine);
}
END_TEST

/* A model that a route names, or that an older stream may use, must not be
   unloaded: the stream would end with 404 in the middle.  */
START_TEST (models_in_use_are_not_unloaded)
{
  static const char *const routed[] = { "old" };
  static const row_t row = { "", OLD, "decode", 50, .checks_fence = true };
  csp_order_tracker_t *engine = csp_create_order_tracker ();
  csp_order_pace_t pace = { .interval_ms = 1 };
  csp_order_report_t report = { 0 };
  csp_order_facts_t facts = make_facts (&row, &report);
  csp_order_action_t action;

  facts.routed = routed;
  facts.routed_count = 1;
  csp_decide_order (engine, &facts, &pace, NOW, &action);
  ck_assert_int_eq (action.state, CSP_ORDER_IN_USE);
  facts.routed_count = 0;
  facts.oldest_stream_ms = NOW - 1;
  csp_decide_order (engine, &facts, &pace, NOW + 1, &action);
  ck_assert_int_eq (action.state, CSP_ORDER_IN_USE);
  facts.oldest_stream_ms = NOW + 1;
  csp_decide_order (engine, &facts, &pace, NOW + 1000, &action);
  ck_assert_int_eq (action.kind, CSP_ORDER_ACT_SEND);
  csp_destroy_order_tracker (engine);
}
END_TEST

/* An engine fails every load, for example as its disk is full.  Without
   growing pauses the weight store and the log would be hit every second.  */
START_TEST (failed_orders_back_off)
{
  static const row_t row = { "", V2, "decode", 50, .checks_fence = true };
  csp_order_tracker_t *engine = csp_create_order_tracker ();
  csp_order_pace_t pace = { .interval_ms = 1 };
  csp_order_report_t report = { 0 };
  csp_order_facts_t facts = make_facts (&row, &report);
  csp_order_action_t action;
  uint32_t sent[2] = { 0, 0 };
  uint32_t given_up = 0;
  int64_t now_ms;

  for (now_ms = NOW; now_ms < NOW + 7200000; now_ms += 1000)
    {
      report.sequence++;
      report.asked_ms = now_ms;
      csp_decide_order (engine, &facts, &pace, now_ms, &action);
      given_up += (action.events & CSP_ORDER_EVENT_GIVEN_UP) != 0;
      if (action.kind != CSP_ORDER_ACT_SEND)
        continue;
      sent[now_ms >= NOW + 3600000]++;
      csp_handle_order_answer (engine, CSP_ORDER_ANSWER_STARTED, now_ms);
    }
  ck_assert_uint_le (sent[0], 12);
  ck_assert_uint_eq (sent[1], 6);
  ck_assert_uint_eq (given_up, 1);
  csp_destroy_order_tracker (engine);
}
END_TEST

/* A change reaches 330 hosts at once, each with 36 engines to load.  Without
   the per-host share all would start in one second and the weight store would
   refuse them.  */
START_TEST (loads_respect_weight_store_rate)
{
  enum
  {
    HOSTS = 330,
    RATE = 600,
    MINUTES = 10
  };
  csp_order_pace_t paces[HOSTS] = { { 0 } };
  uint32_t started = 0;
  uint32_t max_per_second = 0;
  uint32_t this_second = 0;
  int64_t now_ms;
  uint32_t i;

  for (i = 0; i < HOSTS; i++)
    csp_set_order_share (&paces[i], RATE, 36, 36 * HOSTS, i * 7919);
  for (now_ms = NOW; now_ms < NOW + MINUTES * 60000; now_ms += 1000)
    {
      this_second = 0;
      for (i = 0; i < HOSTS; i++)
        if (csp_may_start_load (&paces[i], now_ms))
          {
            csp_note_load_started (&paces[i], now_ms);
            this_second++;
          }
      started += this_second;
      max_per_second
          = this_second > max_per_second ? this_second : max_per_second;
    }
  ck_assert_uint_le (started, RATE * MINUTES + HOSTS);
  ck_assert_uint_ge (started, RATE * MINUTES * 9 / 10);
  ck_assert_uint_le (max_per_second, 3 * RATE / 60);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("order");
  TCase *tcase = tcase_create ("order");

  tcase_add_loop_test (tcase, decides_from_wanted_state_and_report, 0,
                       sizeof rows / sizeof *rows);
  tcase_add_test (tcase, models_in_use_are_not_unloaded);
  tcase_add_test (tcase, failed_orders_back_off);
  tcase_add_test (tcase, loads_respect_weight_store_rate);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
