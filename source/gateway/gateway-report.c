#include "gateway/gateway-exchange-imp.h"

#include <stdlib.h>

/* Asking targets themselves whether they leave, and whether they live.

   Failure: the platform's store falls silent, and an eighth of the engines is
   told to leave meanwhile.  Nobody here hears of it, and all streams there end
   with their engines: 24 of the 63 that were lost on a day of 48 engines.
   Longer silence leaves more and more engines in the list that are gone, until
   some seconds behind the store's return; they look empty, and the host that
   decides sends streams there that leave others: 40 of 112 that were lost on
   another day were refused by such an engine, a third of a second later each.

   The list changes all the time, as each target writes into it every second or
   so.  When nothing has changed for several times the usual, or nothing of one
   target, each host asks the targets at which it has runs, and the host that
   decides asks all engines.  */

enum
{
  /* Changes that are that much later than usual are missing, and at least
     that long: a watch that is cut and made again pauses for a tenth of a
     second.  */
  NEWS_LATE_TIMES = 5,
  NEWS_LATE_MS = 350,
  /* Changes that come together count as one.  */
  NEWS_TOGETHER_MS = 5,
  /* Weight of one more change in the usual time between two, as a part.  */
  NEWS_WEIGHT_PART = 8,
  /* A target whose own row is that many times as old as rows usually get.  */
  ROW_LATE_TIMES = 2,
  /* Rows that are older say nothing of how often targets write.  */
  ROW_AGE_MOST_MS = 10000,
  /* Reports are some hundred ms old by themselves, and an engine that leaves
     goes on for a second and a half.  */
  REPORT_AGAIN_MS = 400,
  REPORT_TIMEOUT_MS = 400,
  REPORT_MAX_BYTES = 65536,
  STATUS_OK = 200
};

/* One question under way.  */
struct csp_report
{
  csp_report_t *next;
  csp_report_t *previous;
  csp_gateway_t *gateway;
  csp_fleet_target_t *target;
  csp_link_t *link;
  csp_buffer_t body;
  uint16_t status;
  int64_t asked_ms;
};

void
csp_note_fleet_news (csp_gateway_t *gateway, const char *target_id)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  int64_t passed_ms = now_ms - gateway->news_ms;
  const csp_fleet_target_t *target
      = csp_find_fleet_target (gateway->fleet, target_id);
  int64_t age_ms = target == NULL ? 0 : now_ms - target->listed_ms;

  if (age_ms >= NEWS_TOGETHER_MS && age_ms < ROW_AGE_MOST_MS)
    gateway->row_usual_ms
        += (age_ms - gateway->row_usual_ms) / NEWS_WEIGHT_PART;

  if (gateway->news_ms != 0 && passed_ms >= NEWS_TOGETHER_MS)
    gateway->news_usual_ms
        += (passed_ms - gateway->news_usual_ms) / NEWS_WEIGHT_PART;
  gateway->news_ms = now_ms;
}

static bool
is_news_late (const csp_gateway_t *gateway, int64_t now_ms)
{
  int64_t late_ms = gateway->news_usual_ms * NEWS_LATE_TIMES;

  return gateway->news_ms != 0
         && now_ms - gateway->news_ms
                >= (late_ms > NEWS_LATE_MS ? late_ms : NEWS_LATE_MS);
}

/* Whether a target has to be asked whether it leaves or lives.  */
static bool
is_in_doubt (const csp_gateway_t *gateway, const csp_fleet_target_t *target,
             int64_t now_ms)
{
  int64_t late_ms = gateway->row_usual_ms * ROW_LATE_TIMES;

  return is_news_late (gateway, now_ms)
         || (gateway->row_usual_ms > 0
             && now_ms - target->listed_ms
                    >= (late_ms > NEWS_LATE_MS ? late_ms : NEWS_LATE_MS));
}

/* Whether this host should ask it.  */
static bool
concerns_us (const csp_gateway_t *gateway, const csp_fleet_target_t *target)
{
  const csp_route_service_t *service;

  if (target->own.tokens > 0)
    return true;
  if (gateway->routes == NULL
      || !csp_is_same_peer (csp_pick_decider (gateway->roster), gateway->self))
    return false;
  service = csp_get_route_service (gateway->routes, target->row.service);
  return service != NULL && service->is_engine;
}

static void
end_report (csp_report_t *report, bool keeps_link)
{
  if (keeps_link)
    csp_give_link_back (report->gateway, report->target, report->link);
  else
    csp_close_link (report->link);
  if (report->previous != NULL)
    report->previous->next = report->next;
  else
    report->gateway->reports = report->next;
  if (report->next != NULL)
    report->next->previous = report->previous;
  report->target->users--;
  csp_clear_buffer (&report->body);
  free (report);
}

static void
on_report_answered (void *state, const csp_http_head_t *head)
{
  csp_report_t *report = state;

  report->status = head->status;
}

static void
on_report_body (void *state, const char *piece, size_t piece_bytes)
{
  csp_report_t *report = state;

  if (report->body.size_bytes + piece_bytes > REPORT_MAX_BYTES
      || !csp_append_buffer (&report->body, piece, piece_bytes))
    end_report (report, false);
}

static void
on_report_ended (void *state)
{
  csp_report_t *report = state;
  csp_gateway_t *gateway = report->gateway;
  csp_fleet_target_t *target = report->target;
  csp_target_report_t told = { .leaving = false };
  bool readable = report->status == STATUS_OK
                  && gateway->dialect->read_report (
                      report->body.data, report->body.size_bytes, &told);

  end_report (report, true);
  target->unreachable = 0;
  if (readable && told.leaving)
    csp_note_target_leaves (gateway->fleet, target);
}

/* It is gone, or cut off from here, and gets nothing new for a while.  */
static void
fail_report (csp_report_t *report)
{
  csp_note_unreachable (report->target, csp_gateway_now_ms (report->gateway));
  end_report (report, false);
}

static void
on_report_failed (void *state, csp_link_failure_t why)
{
  if (why == CSP_LINK_UNREACHABLE)
    fail_report (state);
  else
    end_report (state, false);
}

static const csp_link_events_t report_events
    = { .answered = on_report_answered,
        .body = on_report_body,
        .ended = on_report_ended,
        .failed = on_report_failed };

static void
ask_target (csp_gateway_t *gateway, csp_fleet_target_t *target, int64_t now_ms)
{
  csp_report_t *report = calloc (1, sizeof *report);
  char address[CSP_ADDRESS_TEXT_BYTES];
  csp_buffer_t request = { 0 };

  if (report == NULL)
    return;
  report->link = csp_take_link (gateway, target);
  if (report->link == NULL)
    {
      free (report);
      return;
    }
  report->gateway = gateway;
  report->target = target;
  report->asked_ms = now_ms;
  report->next = gateway->reports;
  if (report->next != NULL)
    report->next->previous = report;
  gateway->reports = report;
  target->users++;
  target->report_at_ms = now_ms + REPORT_AGAIN_MS;
  csp_start_link_request (report->link, &report_events, report, false);
  csp_print_target_address (target, address);
  gateway->dialect->write_report (address, &request);
  csp_write_link (report->link, request.data, request.size_bytes);
  csp_finish_link_request (report->link);
  csp_clear_buffer (&request);
  gateway->counts.reports++;
}

/* A target that lost power never answers.  */
static void
drop_late_reports (csp_gateway_t *gateway, int64_t now_ms)
{
  csp_report_t *report = gateway->reports;

  while (report != NULL)
    {
      csp_report_t *next = report->next;

      if (now_ms - report->asked_ms >= REPORT_TIMEOUT_MS)
        fail_report (report);
      report = next;
    }
}

void
csp_ask_reports (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  size_t count = csp_fleet_size (gateway->fleet);
  size_t i;

  drop_late_reports (gateway, now_ms);
  for (i = 0; i < count; i++)
    {
      csp_fleet_target_t *target = csp_fleet_at (gateway->fleet, i);

      if (now_ms >= target->report_at_ms
          && (target->state == CSP_FLEET_READY
              || target->state == CSP_FLEET_LAPSED)
          && is_in_doubt (gateway, target, now_ms)
          && concerns_us (gateway, target))
        ask_target (gateway, target, now_ms);
    }
}

void
csp_drop_reports (csp_gateway_t *gateway)
{
  csp_report_t *report = gateway->reports;

  while (report != NULL)
    {
      csp_report_t *next = report->next;

      end_report (report, false);
      report = next;
    }
}
