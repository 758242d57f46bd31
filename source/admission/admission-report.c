#include "admission/ledger-imp.h"

/* A report is seconds old, so it is compared with the most that the ledger
   held in that time.

   Reported use above that comes from streams that this host doesn't know, such
   as those of an earlier owner or of the other side of a split.  If they
   weren't counted, both sides would fill the target and callers of both would
   see preempted streams.  Reported use below that means that the report
   predates the latest streams or counts shared prefixes once.  The ledger's
   value is kept then, as releasing the difference would admit the same memory
   twice.  */
static uint32_t
find_foreign_tokens (const csp_ledger_t *ledger,
                     const csp_load_report_t *report, int64_t now_ms)
{
  uint32_t known = csp_peak_used_tokens (ledger, now_ms);
  uint32_t slack
      = (uint32_t)(ledger->policy.foreign_slack * report->memory_tokens);

  if (report->used_tokens <= known + slack)
    return 0;
  return report->used_tokens - known;
}

/* A restarted engine numbers its reports from one again; without the check of
   the age all its reports would be ignored.  */
static bool
is_outdated_report (const csp_ledger_t *ledger,
                    const csp_load_report_t *report, int64_t now_ms)
{
  if (!ledger->reported || report->sequence > ledger->report.sequence)
    return false;
  return now_ms - ledger->report_ms <= ledger->policy.report_stale_ms;
}

bool
csp_apply_load_report (csp_ledger_t *ledger, const csp_load_report_t *report,
                       int64_t now_ms)
{
  uint64_t preempted_before = ledger->report.preemptions;
  bool first = !ledger->reported;

  if (is_outdated_report (ledger, report, now_ms))
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
