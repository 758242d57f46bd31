#include "cowslipspoke/clock.h"
#include "cowslipspoke/order.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

/* Measures what deciding on orders costs a host, with one decision for each
   owned engine and load report: for one host's share of a data centre (36
   engines) and for a whole data centre (430).  settled: every engine is in its
   wanted state, the usual case.  changed: each engine also gets a new wanted
   state, is sent an order and completes it.  The baseline is the smaller size,
   and for the smaller size with changes its settled case.  */

enum
{
  ROUNDS = 2000,
  MODELS = 3,
  FENCE = 7,
  NS_PER_US = 1000
};

static const csp_named_version_t models[MODELS + 1] = {
  { "m-large", "4" }, { "m-small", "3" }, { "m-tags", "1" }, { "m-tags", "2" }
};
static const csp_wanted_state_t wanted
    = { .models = models, .model_count = MODELS, .has_role = true };
static const csp_wanted_state_t changed_wanted
    = { .models = models + 1, .model_count = MODELS - 1, .has_role = true };

typedef struct
{
  double decision_ns;
  double bytes_per_engine;
} cost_t;

static cost_t
time_decisions (size_t engines, bool with_change)
{
  csp_clock_t clock = csp_system_clock ();
  csp_order_tracker_t **trackers = calloc (engines, sizeof *trackers);
  csp_order_pace_t pace = { .interval_ms = 1 };
  csp_order_report_t report
      = { .models = models, .model_count = MODELS, .role = "mixed" };
  csp_order_facts_t facts = { .revision = FENCE,
                              .wanted = &wanted,
                              .longest_order_ms = 1,
                              .checks_fence = true,
                              .granted = true,
                              .oldest_stream_ms = INT64_MAX,
                              .report = &report };
  csp_order_action_t action;
  size_t heap_before = mallinfo2 ().uordblks;
  int64_t start_us;
  cost_t cost;
  size_t i;
  int round;

  for (i = 0; i < engines; i++)
    trackers[i] = csp_create_order_tracker ();
  start_us = csp_now_us (&clock);
  for (round = 1; round <= ROUNDS; round++)
    {
      /* The wanted state changes every twelve rounds, so that the pauses after
         the previous change are over.  */
      facts.wanted = with_change && round / 12 % 2 ? &changed_wanted : &wanted;
      facts.wanted_revision = with_change ? FENCE + round / 12 : FENCE;
      facts.revision = facts.wanted_revision;
      report.sequence = (uint64_t)round;
      report.asked_ms = round * 1000L;
      report.fence = facts.wanted_revision;
      for (i = 0; i < engines; i++)
        {
          csp_decide_order (trackers[i], &facts, &pace, report.asked_ms,
                            &action);
          if (action.kind == CSP_ORDER_ACT_SEND)
            csp_handle_order_answer (trackers[i], CSP_ORDER_ANSWER_STARTED,
                                     report.asked_ms);
        }
    }
  cost.decision_ns = (double)(csp_now_us (&clock) - start_us) * NS_PER_US
                     / ROUNDS / (double)engines;
  cost.bytes_per_engine
      = (double)(mallinfo2 ().uordblks - heap_before) / (double)engines;
  for (i = 0; i < engines; i++)
    csp_destroy_order_tracker (trackers[i]);
  free (trackers);
  return cost;
}

static void
print_line (const char *name, double baseline, double now, const char *unit)
{
  printf ("%s baseline=%.0f now=%.0f ratio=%.2f unit=%s\n", name, baseline,
          now, baseline > 0 ? now / baseline : 0, unit);
}

int
main (void)
{
  cost_t one_host = time_decisions (36, false);
  cost_t whole_data_centre = time_decisions (430, false);
  cost_t one_host_changed = time_decisions (36, true);
  cost_t whole_data_centre_changed = time_decisions (430, true);

  print_line ("order-decide-36-settled", one_host.decision_ns,
              one_host.decision_ns, "ns");
  print_line ("order-decide-430-settled", one_host.decision_ns,
              whole_data_centre.decision_ns, "ns");
  print_line ("order-decide-36-changed", one_host.decision_ns,
              one_host_changed.decision_ns, "ns");
  print_line ("order-decide-430-changed", one_host_changed.decision_ns,
              whole_data_centre_changed.decision_ns, "ns");
  print_line ("order-memory-430", one_host_changed.bytes_per_engine,
              whole_data_centre_changed.bytes_per_engine, "bytes-per-engine");
  return 0;
}
