#include "cowslipspoke/run-end.h"

enum
{
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  /* Reports show the runs of some hundred ms ago; one that has just begun may
     be missing.  */
  REPORT_AGE_MAX_MS = 1000
};

csp_run_check_kind_t
csp_choose_run_check (const csp_run_facts_t *facts)
{
  if (facts->end != CSP_RUN_END_UNKNOWN || !facts->goes_on
      || !facts->at_engine)
    return CSP_RUN_CHECK_NONE;
  return facts->supports_stops && facts->has_destination
             ? CSP_RUN_CHECK_STOP
             : CSP_RUN_CHECK_REPORT;
}

static csp_run_end_t
judge_absence (const csp_run_reply_t *reply, csp_run_end_t proven)
{
  return reply->run_seen ? proven : CSP_RUN_END_MAY_WAIT;
}

static csp_run_end_t
judge_answer (const csp_run_reply_t *reply)
{
  switch (reply->check)
    {
    case CSP_RUN_CHECK_NONE:
      break;
    case CSP_RUN_CHECK_STOP:
      if (reply->has_handle || reply->stream_closed)
        return CSP_RUN_END_STOPPED;
      if (reply->status == STATUS_NOT_FOUND)
        return judge_absence (reply, CSP_RUN_END_NOT_FOUND);
      break;
    case CSP_RUN_CHECK_REPORT:
      if (reply->status == STATUS_OK && reply->lists_runs && !reply->lists_run
          && reply->run_age_ms >= REPORT_AGE_MAX_MS)
        return judge_absence (reply, CSP_RUN_END_NOT_REPORTED);
      break;
    }
  return CSP_RUN_END_UNKNOWN;
}

csp_run_end_t
csp_judge_run_reply (const csp_run_reply_t *reply)
{
  if (reply->kind == CSP_RUN_REPLY_ANSWERED || reply->status != 0)
    return judge_answer (reply);
  if (reply->stream_closed && reply->check == CSP_RUN_CHECK_STOP)
    return CSP_RUN_END_STOPPED;
  /* A target that sends bytes is reached, whatever they are.  */
  if (reply->stream_alive || reply->answer_begun
      || reply->kind == CSP_RUN_REPLY_BROKEN)
    return CSP_RUN_END_UNKNOWN;
  return reply->kind == CSP_RUN_REPLY_NOT_CONNECTED ? CSP_RUN_END_TARGET_DOWN
                                                    : CSP_RUN_END_UNREACHED;
}

bool
csp_is_run_end_proven (csp_run_end_t end)
{
  return end != CSP_RUN_END_UNKNOWN && end != CSP_RUN_END_MAY_WAIT;
}

const char *
csp_run_end_name (csp_run_end_t end)
{
  static const char *const names[]
      = { [CSP_RUN_END_UNKNOWN] = "unknown",
          [CSP_RUN_END_NOT_STARTED] = "not-started",
          [CSP_RUN_END_ANSWERED] = "answered",
          [CSP_RUN_END_STOPPED] = "stopped",
          [CSP_RUN_END_NOT_FOUND] = "not-found",
          [CSP_RUN_END_NOT_REPORTED] = "not-reported",
          [CSP_RUN_END_TARGET_DOWN] = "target-down",
          [CSP_RUN_END_UNREACHED] = "unreached",
          [CSP_RUN_END_MAY_WAIT] = "may-wait" };

  return names[end];
}
