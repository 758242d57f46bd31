#include "gateway/gateway-exchange-imp.h"

#include <stdlib.h>

/* Querying targets whether they leave and still run.

   Failure: the platform's store stops answering, and an eighth of the engines
   is asked to leave meanwhile.  No host learns of it, and all streams there
   are lost with their engines: 24 of 63 lost streams with 48 engines.  The
   longer the silence, the more engines in the list are gone, until some
   seconds after the store returns; they look empty, so the decider moves
   streams there: 40 of 112 lost streams were refused by such an engine, after
   a third of a second each.

   The platform answers more than once a second, also without changes.  When it
   can't be read for longer, and for some time afterwards, the decider queries
   the engines and notifies the other hosts of those that leave.  When every
   host queried, whenever the list had not changed for a while, 39,872 queries
   cost 0.0135 of the requests' value for no gain.  */

enum
{
  /* A watch without changes is answered after 0.6 s; a busy host reads the
     answer a little later.  */
  PLATFORM_SILENT_MS = 750,
  /* An engine lost while the platform was silent stays in the list until its
     lease expires, three heartbeats of 1.2 s, plus the grace for lapsed rows,
     2.3 s.  */
  QUERY_AFTER_SILENCE_MS = 6000,
  /* Reports are some hundred ms old when they arrive, and a leaving engine
     runs for another second and a half.  */
  QUERY_PERIOD_MS = 400,
  /* Queries per tick of a tenth of a second.  3,000 engines queried every 0.4
     s would be 7,500 queries a second, more than the decider can make: it
     would answer no ask in the seconds after the store stops or all hosts
     start.  Half a core makes 300 a second beside its other work; 300 engines
     or fewer are queried often enough; of more, those that run requests come
     first and the others take turns.  */
  QUERIES_PER_TICK = 30,
  /* Of those, for engines without requests, which may get a stream that
     moves.  */
  IDLE_QUERIES_PER_TICK = 10,
  QUERY_TIMEOUT_MS = 400,
  REPORT_MAX_BYTES = 65536,
  STATUS_OK = 200
};

/* A status query in progress.  */
struct csp_status_query
{
  csp_status_query_t *next;
  csp_status_query_t *previous;
  csp_gateway_t *gateway;
  csp_fleet_target_t *target;
  csp_link_t *link;
  csp_buffer_t body;
  uint16_t status;
  bool leaving; /* by its answer's head */
  bool is_probe;
  bool is_health_check;
  int64_t asked_ms;
};

static bool
is_platform_silent (const csp_gateway_t *gateway, int64_t now_ms)
{
  return gateway->platform_read_ms != 0
         && now_ms - gateway->platform_read_ms >= PLATFORM_SILENT_MS;
}

void
csp_note_platform_read (csp_gateway_t *gateway, uint32_t age_ms)
{
  int64_t now_ms = csp_gateway_now_ms (gateway) - age_ms;

  if (now_ms <= gateway->platform_read_ms)
    return;

  if (is_platform_silent (gateway, now_ms))
    gateway->query_until_ms = now_ms + QUERY_AFTER_SILENCE_MS;
  gateway->platform_read_ms = now_ms;
}

bool
csp_is_engine_service (const csp_gateway_t *gateway, const char *name)
{
  const csp_route_service_t *service = NULL;

  if (gateway->routes != NULL)
    service = csp_find_route_service (gateway->routes, name);
  return service != NULL && service->is_engine;
}

/* Send the notices of leaving targets that are due.  */
static void
send_leaving_notices (csp_gateway_t *gateway)
{
  csp_hello_t hello = { .leaving_target_count = 0 };

  hello.leaving_target_count
      = csp_take_notices (&gateway->leaving_notices, hello.leaving_targets);
  if (hello.leaving_target_count > 0)
    csp_broadcast_hello (gateway, &hello);
}

void
csp_announce_leaving (csp_gateway_t *gateway, csp_fleet_target_t *target)
{
  if (target->leaves)
    return;
  while (!csp_add_notice (&gateway->leaving_notices, target->hash))
    send_leaving_notices (gateway);
  send_leaving_notices (gateway);
  csp_note_target_leaves (gateway->fleet, target);
}

void
csp_handle_leaving_notices (csp_gateway_t *gateway, const csp_hello_t *hello)
{
  size_t i;

  for (i = 0; i < hello->leaving_target_count; i++)
    {
      csp_fleet_target_t *target = csp_find_target_by_hash (
          gateway->fleet, hello->leaving_targets[i]);

      if (target != NULL)
        csp_note_target_leaves (gateway->fleet, target);
    }
}

static void
end_query (csp_status_query_t *query, bool keeps_link)
{
  if (keeps_link)
    csp_release_link (query->gateway, query->target, query->link);
  else
    csp_close_link (query->link);
  if (query->previous != NULL)
    query->previous->next = query->next;
  else
    query->gateway->status_queries = query->next;
  if (query->next != NULL)
    query->next->previous = query->previous;
  query->target->users--;
  if (query->is_probe)
    query->target->probing = false;
  csp_clear_buffer (&query->body);
  free (query);
}

static void
on_query_answered (void *state, const csp_http_head_t *head)
{
  csp_status_query_t *query = state;

  csp_note_target_answered (query->gateway, query->target);
  csp_note_link_answered (query->gateway, query->target, query->link);
  query->status = head->status;
  query->leaving = csp_head_announces_leaving (query->gateway, head);
  csp_handle_rate_limit (query->gateway, query->target, head, 0);
}

static void
on_query_body (void *state, const char *piece, size_t piece_bytes)
{
  csp_status_query_t *query = state;

  if (query->body.size_bytes + piece_bytes > REPORT_MAX_BYTES
      || !csp_append_buffer (&query->body, piece, piece_bytes))
    end_query (query, false);
}

static void
on_query_ended (void *state)
{
  csp_status_query_t *query = state;
  csp_gateway_t *gateway = query->gateway;
  csp_fleet_target_t *target = query->target;
  csp_target_report_t report = { .leaving = false };
  bool readable = query->status == STATUS_OK && !query->is_health_check
                  && gateway->dialect->read_report (
                      query->body.data, query->body.size_bytes, &report);

  report.leaving |= query->leaving;
  end_query (query, true);
  target->unreachable = 0;
  if (!readable && !report.leaving)
    return;
  csp_note_target_start (gateway->fleet, target, report.born_ms,
                         csp_gateway_now_ms (gateway));
  if (!report.leaving
      || (report.born_ms != 0 && report.born_ms != target->row.start_unix_ms))
    return;
  csp_announce_leaving (gateway, target);
}

/* The target is gone or cut off from here, and gets no new work for a
   while.  */
static void
fail_query (csp_status_query_t *query)
{
  csp_gateway_t *gateway = query->gateway;
  const csp_fleet_target_t *target = query->target;

  csp_note_unreachable (query->target, csp_gateway_now_ms (gateway));
  csp_note_link_failed (gateway, query->target, query->link);
  end_query (query, false);
  csp_note_target_failed (gateway, target);
}

static void
on_query_failed (void *state, csp_link_failure_t why)
{
  if (why == CSP_LINK_UNREACHABLE)
    fail_query (state);
  else
    end_query (state, false);
}

static const csp_link_events_t query_events = { .answered = on_query_answered,
                                                .body = on_query_body,
                                                .ended = on_query_ended,
                                                .failed = on_query_failed };

/* Returns NULL if memory or the connection fails.  */
static csp_status_query_t *
start_query (csp_gateway_t *gateway, csp_fleet_target_t *target,
             csp_link_t *link, int64_t now_ms)
{
  csp_status_query_t *query = calloc (1, sizeof *query);

  if (query == NULL || link == NULL)
    {
      if (link != NULL)
        csp_close_link (link);
      free (query);
      return NULL;
    }
  query->link = link;
  query->gateway = gateway;
  query->target = target;
  query->asked_ms = now_ms;
  query->next = gateway->status_queries;
  if (query->next != NULL)
    query->next->previous = query;
  gateway->status_queries = query;
  target->users++;
  target->report_at_ms = now_ms + QUERY_PERIOD_MS;
  csp_start_link_request (query->link, &query_events, query, false);
  gateway->counts.status_queries++;
  return query;
}

/* Sends the query; health_path: that of a target that has no reports.  */
static void
send_query (csp_status_query_t *query, const char *health_path)
{
  char address[CSP_ADDRESS_TEXT_BYTES];
  csp_buffer_t request = { 0 };

  csp_print_target_address (query->target, address);
  if (health_path == NULL)
    query->gateway->dialect->write_report (address, &request);
  else
    csp_print_buffer (&request, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
                      health_path, address);
  csp_write_link (query->link, request.data, request.size_bytes);
  csp_finish_link_request (query->link);
  csp_clear_buffer (&request);
}

void
csp_query_target (csp_gateway_t *gateway, csp_fleet_target_t *target,
                  int64_t now_ms)
{
  csp_status_query_t *query = start_query (
      gateway, target, csp_acquire_link (gateway, target), now_ms);

  if (query != NULL)
    send_query (query, NULL);
}

bool
csp_probe_target (csp_gateway_t *gateway, csp_fleet_target_t *target,
                  int64_t now_ms)
{
  const csp_route_service_t *service
      = csp_find_route_service (gateway->routes, target->row.service);
  csp_status_query_t *query;

  if (service == NULL || (!service->is_engine && service->health_path == NULL))
    return false;
  query = start_query (gateway, target, csp_open_target_link (gateway, target),
                       now_ms);
  if (query == NULL)
    return true;
  query->is_probe = true;
  query->is_health_check = !service->is_engine;
  target->probing = true;
  send_query (query, service->is_engine ? NULL : service->health_path);
  return true;
}

/* The target is silent for now, which a sound one may be for a second.  Where
   an older connection was used it may be dead, which a new one shows.  */
static void
end_silent_query (csp_status_query_t *query)
{
  csp_gateway_t *gateway = query->gateway;
  csp_fleet_target_t *target = query->target;
  int64_t now_ms = csp_gateway_now_ms (gateway);
  bool reused = csp_link_is_reused (query->link);

  csp_note_unreachable (target, now_ms);
  end_query (query, false);
  if (reused && !target->probing)
    csp_probe_target (gateway, target, now_ms);
}

/* A target that lost power never answers.  */
static void
fail_late_queries (csp_gateway_t *gateway, int64_t now_ms)
{
  int64_t limit_ms = csp_extend_timeout_ms (gateway, QUERY_TIMEOUT_MS);
  csp_status_query_t *query = gateway->status_queries;

  while (query != NULL)
    {
      csp_status_query_t *next = query->next;

      if (now_ms - query->asked_ms >= limit_ms)
        {
          if (csp_link_has_sent (query->link))
            end_silent_query (query);
          else
            fail_query (query);
        }
      query = next;
    }
}

static bool
has_requests (const csp_fleet_target_t *target)
{
  return target->own.requests + target->others.requests
             + target->reserved.requests
         > 0;
}

static bool
is_query_due (const csp_gateway_t *gateway, const csp_fleet_target_t *target,
              int64_t now_ms)
{
  return now_ms >= target->report_at_ms && !csp_is_backed_off (target, now_ms)
         && (target->state == CSP_FLEET_READY
             || target->state == CSP_FLEET_LAPSED)
         && csp_is_engine_service (gateway, target->row.service);
}

/* Query some of the engines that run requests, or of those that run none, in
   turns.  Returns how many were queried.  */
static size_t
query_some (csp_gateway_t *gateway, bool busy, size_t max_count,
            int64_t now_ms)
{
  size_t count = csp_fleet_size (gateway->fleet);
  size_t first = count == 0 ? 0 : gateway->next_query_index[busy] % count;
  size_t asked = 0;
  size_t i;

  for (i = 0; i < count && asked < max_count; i++)
    {
      csp_fleet_target_t *target
          = csp_fleet_at (gateway->fleet, (first + i) % count);

      if (has_requests (target) != busy
          || !is_query_due (gateway, target, now_ms))
        continue;
      csp_query_target (gateway, target, now_ms);
      asked++;
    }
  gateway->next_query_index[busy] = first + i;
  return asked;
}

void
csp_query_targets (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  size_t asked;

  fail_late_queries (gateway, now_ms);
  send_leaving_notices (gateway);
  if ((!is_platform_silent (gateway, now_ms)
       && now_ms >= gateway->query_until_ms)
      || !csp_is_same_peer (gateway->decider, gateway->self))
    return;
  asked = query_some (gateway, true, QUERIES_PER_TICK - IDLE_QUERIES_PER_TICK,
                      now_ms);
  query_some (gateway, false, QUERIES_PER_TICK - asked, now_ms);
}

void
csp_cancel_status_queries (csp_gateway_t *gateway)
{
  csp_status_query_t *query = gateway->status_queries;

  while (query != NULL)
    {
      csp_status_query_t *next = query->next;

      end_query (query, false);
      query = next;
    }
}
