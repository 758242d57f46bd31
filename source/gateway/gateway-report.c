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

   The platform answers more than once a second, with or without news.  When it
   is not heard for longer, and for some time behind that, the host that
   decides asks the engines and tells the others which of them leave.  Where
   each host asked for itself, and whenever the list hadn't changed for a
   while, one day had 39,872 questions, 0.0135 of the worth, for nothing.  */

enum
{
  /* A watch without news is answered after 0.6 s; a busy host reads it a
     little later.  */
  HEARD_LATE_MS = 750,
  /* What was lost in the silence is in the list until its lease has run out,
     three heartbeats of 1.2 s, and the grace for rows that lapsed, 2.3 s.  */
  DOUBT_MS = 6000,
  /* Reports are some hundred ms old by themselves, and an engine that leaves
     goes on for a second and a half.  */
  REPORT_AGAIN_MS = 400,
  /* Questions in one turn of a tenth of a second.  3,000 engines asked every
     0.4 s are 7,500 questions a second, more than the host that decides can
     make in all: it answers no ask for a place in those seconds, which begin
     whenever the store says nothing and whenever all hosts start.  Half a core
     makes 300 beside its other work; so many engines are asked often enough,
     and of more each in its turn.  */
  REPORTS_IN_TURN = 30,
  REPORT_TIMEOUT_MS = 400,
  /* A link that loses three datagrams in a hundred loses three in a row once
     in 37,000 times.  */
  TOLD_TIMES = 3,
  REPORT_MAX_BYTES = 65536,
  STATUS_OK = 200
};

/* One question under way.  */
struct csp_status_query
{
  csp_status_query_t *next;
  csp_status_query_t *previous;
  csp_gateway_t *gateway;
  csp_fleet_target_t *target;
  csp_link_t *link;
  csp_buffer_t body;
  uint16_t status;
  bool leaving; /* by the head of its answer */
  int64_t asked_ms;
};

static bool
is_unheard (const csp_gateway_t *gateway, int64_t now_ms)
{
  return gateway->platform_read_ms != 0
         && now_ms - gateway->platform_read_ms >= HEARD_LATE_MS;
}

void
csp_note_platform_read (csp_gateway_t *gateway, uint32_t age_ms)
{
  int64_t now_ms = csp_gateway_now_ms (gateway) - age_ms;

  if (now_ms <= gateway->platform_read_ms)
    return;

  if (is_unheard (gateway, now_ms))
    gateway->query_until_ms = now_ms + DOUBT_MS;
  gateway->platform_read_ms = now_ms;
}

bool
csp_is_engine_target (const csp_gateway_t *gateway,
                      const csp_fleet_target_t *target)
{
  const csp_route_service_t *service = NULL;

  if (gateway->routes != NULL)
    service = csp_get_route_service (gateway->routes, target->row.service);
  return service != NULL && service->is_engine;
}

/* Tell the others which targets leave, a few times, as datagrams get lost.  */
static void
tell_left (csp_gateway_t *gateway)
{
  csp_hello_t hello = { .left_count = 0 };
  size_t kept = 0;
  size_t i;

  for (i = 0; i < gateway->leaving_notice_count; i++)
    {
      csp_leaving_notice_t *left = &gateway->leaving_notices[i];

      hello.left[hello.left_count++] = left->target;
      if (--left->sends_left > 0)
        gateway->leaving_notices[kept++] = *left;
    }
  gateway->leaving_notice_count = kept;
  if (hello.left_count > 0)
    csp_send_hello (gateway, &hello, gateway->peer_scratch,
                    csp_list_live_peers (gateway->roster,
                                         gateway->peer_scratch,
                                         CSP_ROSTER_MAX));
}

void
csp_announce_leaving (csp_gateway_t *gateway, csp_fleet_target_t *target)
{
  csp_leaving_notice_t left
      = { .target = target->hash, .sends_left = TOLD_TIMES };

  if (target->leaves)
    return;
  while (gateway->leaving_notice_count == CSP_HELLO_LEFT_MAX)
    tell_left (gateway);
  gateway->leaving_notices[gateway->leaving_notice_count++] = left;
  tell_left (gateway);
  csp_note_target_leaves (gateway->fleet, target);
}

void
csp_handle_leaving_notices (csp_gateway_t *gateway, const csp_hello_t *hello)
{
  size_t i;

  for (i = 0; i < hello->left_count; i++)
    {
      csp_fleet_target_t *target
          = csp_find_hashed_target (gateway->fleet, hello->left[i]);

      if (target != NULL)
        csp_note_target_leaves (gateway->fleet, target);
    }
}

static void
end_report (csp_status_query_t *report, bool keeps_link)
{
  if (keeps_link)
    csp_release_link (report->gateway, report->target, report->link);
  else
    csp_close_link (report->link);
  if (report->previous != NULL)
    report->previous->next = report->next;
  else
    report->gateway->status_queries = report->next;
  if (report->next != NULL)
    report->next->previous = report->previous;
  report->target->users--;
  csp_clear_buffer (&report->body);
  free (report);
}

static void
on_report_answered (void *state, const csp_http_head_t *head)
{
  csp_status_query_t *report = state;

  csp_note_target_answered (report->gateway, report->target);
  report->status = head->status;
  report->leaving = csp_head_says_leaving (report->gateway, head);
}

static void
on_report_body (void *state, const char *piece, size_t piece_bytes)
{
  csp_status_query_t *report = state;

  if (report->body.size_bytes + piece_bytes > REPORT_MAX_BYTES
      || !csp_append_buffer (&report->body, piece, piece_bytes))
    end_report (report, false);
}

static void
on_report_ended (void *state)
{
  csp_status_query_t *report = state;
  csp_gateway_t *gateway = report->gateway;
  csp_fleet_target_t *target = report->target;
  csp_target_report_t told = { .leaving = false };
  bool readable = report->status == STATUS_OK
                  && gateway->dialect->read_report (
                      report->body.data, report->body.size_bytes, &told);

  told.leaving |= report->leaving;
  end_report (report, true);
  target->unreachable = 0;
  if (!readable && !told.leaving)
    return;
  csp_note_target_born (gateway->fleet, target, told.born_ms,
                        csp_gateway_now_ms (gateway));
  if (!told.leaving
      || (told.born_ms != 0 && told.born_ms != target->row.born_ms))
    return;
  csp_announce_leaving (gateway, target);
}

/* It is gone, or cut off from here, and gets nothing new for a while.  */
static void
fail_report (csp_status_query_t *report)
{
  csp_gateway_t *gateway = report->gateway;
  const csp_fleet_target_t *target = report->target;

  csp_note_unreachable (report->target, csp_gateway_now_ms (gateway));
  end_report (report, false);
  csp_note_target_failed (gateway, target);
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

void
csp_query_target (csp_gateway_t *gateway, csp_fleet_target_t *target,
                  int64_t now_ms)
{
  csp_status_query_t *report = calloc (1, sizeof *report);
  char address[CSP_ADDRESS_TEXT_BYTES];
  csp_buffer_t request = { 0 };

  if (report == NULL)
    return;
  report->link = csp_acquire_link (gateway, target);
  if (report->link == NULL)
    {
      free (report);
      return;
    }
  report->gateway = gateway;
  report->target = target;
  report->asked_ms = now_ms;
  report->next = gateway->status_queries;
  if (report->next != NULL)
    report->next->previous = report;
  gateway->status_queries = report;
  target->users++;
  target->report_at_ms = now_ms + REPORT_AGAIN_MS;
  csp_start_link_request (report->link, &report_events, report, false);
  csp_print_target_address (target, address);
  gateway->dialect->write_report (address, &request);
  csp_write_link (report->link, request.data, request.size_bytes);
  csp_finish_link_request (report->link);
  csp_clear_buffer (&request);
  gateway->counts.status_queries++;
}

/* A target that lost power never answers.  */
static void
drop_late_reports (csp_gateway_t *gateway, int64_t now_ms)
{
  csp_status_query_t *report = gateway->status_queries;

  while (report != NULL)
    {
      csp_status_query_t *next = report->next;

      if (now_ms - report->asked_ms >= REPORT_TIMEOUT_MS)
        fail_report (report);
      report = next;
    }
}

void
csp_query_targets (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  size_t count = csp_fleet_size (gateway->fleet);
  size_t first = count == 0 ? 0 : gateway->next_query_index % count;
  size_t asked = 0;
  size_t i;

  drop_late_reports (gateway, now_ms);
  tell_left (gateway);
  if ((!is_unheard (gateway, now_ms) && now_ms >= gateway->query_until_ms)
      || !csp_is_same_peer (gateway->decider, gateway->self))
    return;
  for (i = 0; i < count && asked < REPORTS_IN_TURN; i++)
    {
      csp_fleet_target_t *target
          = csp_fleet_at (gateway->fleet, (first + i) % count);

      if (now_ms >= target->report_at_ms && !csp_is_backed_off (target, now_ms)
          && (target->state == CSP_FLEET_READY
              || target->state == CSP_FLEET_LAPSED)
          && csp_is_engine_target (gateway, target))
        {
          csp_query_target (gateway, target, now_ms);
          asked++;
        }
    }
  gateway->next_query_index = first + i;
}

void
csp_cancel_status_queries (csp_gateway_t *gateway)
{
  csp_status_query_t *report = gateway->status_queries;

  while (report != NULL)
    {
      csp_status_query_t *next = report->next;

      end_report (report, false);
      report = next;
    }
}
