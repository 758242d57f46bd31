#include "admission/ledger-imp.h"

/* A report is late by seconds, so it is compared with the most that the
   ledger held in that time.

   More than that: streams that this host does not know of, such as those of
   an earlier owner or of the other side of a split.  Were they not counted,
   both sides would fill the target, and callers of both would see preempted
   streams.  Less: the report is from before our last streams, or shared
   prefixes are counted once; the ledger stands, as giving the difference away
   would admit the same memory twice.  */
static uint32_t
find_foreign_tokens (const csp_ledger_t *ledger,
                     const csp_load_report_t *report, int64_t now_ms)
{
  uint32_t known = csp_most_held (ledger, now_ms);
  uint32_t slack
      = (uint32_t)(ledger->policy.foreign_slack * report->memory_tokens);

  if (report->used_tokens <= known + slack)
    return 0;
  return report->used_tokens - known;
}

/* An engine that was started again counts its reports from one; without this
   its reports would be ignored for ever.  */
static bool
report_is_old (const csp_ledger_t *ledger, const csp_load_report_t *report,
               int64_t now_ms)
{
  if (!ledger->reported || report->report > ledger->report.report)
    return false;
  return now_ms - ledger->report_ms <= ledger->policy.report_stale_ms;
}

bool
csp_take_report (csp_ledger_t *ledger, const csp_load_report_t *report,
                 int64_t now_ms)
{
  uint64_t preempted_before = ledger->report.preemptions;
  bool first = !ledger->reported;

  if (report_is_old (ledger, report, now_ms))
    return false;
  ledger->report = *report;
  ledger->report_ms = now_ms;
  ledger->reported = true;
  ledger->foreign_tokens = find_foreign_tokens (ledger, report, now_ms);
  if (!first && report->preemptions > preempted_before)
    csp_note_preemption (ledger, now_ms);
  return true;
}

uint32_t
csp_ledger_foreign_tokens (const csp_ledger_t *ledger)
{
  return ledger->foreign_tokens;
}

bool
csp_ledger_leaving (const csp_ledger_t *ledger)
{
  return ledger->report.leaving;
}
