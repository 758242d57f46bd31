#include "gateway/gateway-damping-imp.h"
#include "gateway/gateway-host-imp.h"
#include "gateway/gateway-target-imp.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The traffic thread's event loop: listeners, updates from the control thread,
   and the steps of a stop.  */

enum
{
  LISTEN_BACKLOG = 512,
  /* Interval of checks for lapsed targets and silent streams.  A silent stream
     counts as late within 180 ms, and checking some dozens of streams costs
     microseconds.  */
  TICK_MS = 100,
  /* Callers' connections wait this long from the start for a configuration and
     a list of targets.  Callers wait a second for their connection, and many
     try only twice.  */
  ACCEPT_WITHIN_MS = 1000
};

/* An update in the queue between the threads.  */
typedef struct
{
  struct cds_wfcq_node node;
  csp_update_t update;
} queued_update_t;

int64_t
csp_gateway_now_ms (const csp_gateway_t *gateway)
{
  return csp_now_ms (&gateway->clock);
}

bool
csp_gateway_is_ready (const csp_gateway_t *gateway)
{
  return !gateway->stopping && gateway->routes != NULL
         && gateway->targets_listed && !csp_is_isolated (gateway)
         && !csp_is_link_full (gateway->link_load);
}

static void
on_target_left (void *state, csp_fleet_target_t *target)
{
  csp_gateway_t *gateway = state;

  gateway->counts.targets_left++;
  /* Each of hundreds of hosts would log each of thousands of targets when a
     data centre is lost.  */
  if (target->users > 0)
    CSP_LOG (gateway->log, CSP_EVENT_TARGET_LEAVING, NULL,
             csp_text ("target", target->row.id),
             csp_number ("open_streams", target->own.requests),
             csp_text ("told_by", target->self_announced ? "target" : "list"));
  csp_drain_target (gateway, target);
}

static void
on_target_freed (void *state, csp_fleet_target_t *target)
{
  (void)state;
  csp_close_idle_links (target);
}

/* Set how many requests targets of each service may get while they are
   cold.  */
static void
set_cold_bounds (csp_gateway_t *gateway)
{
  const csp_gateway_settings_t *settings = &gateway->settings;
  const csp_route_service_t *service;
  size_t i;

  for (i = 0;
       (service = csp_get_route_service_at (gateway->routes, i)) != NULL; i++)
    {
      double bound = service->cold_rate_per_s * settings->cold_overage
                     + settings->cold_tolerance;
      bool bounded = service->cold_ms > 0 && service->cold_rate_per_s > 0;

      if (!csp_set_cold_limit (gateway->fleet, service->name, service->cold_ms,
                               bounded ? (uint32_t)bound : 0))
        CSP_LOG (gateway->log, CSP_EVENT_CONFIGURATION_BAD, NULL,
                 csp_number ("revision",
                             (int64_t)csp_routes_version (gateway->routes)),
                 csp_number ("refused_revision", -1),
                 csp_text ("fault", "too many services with a limit on cold "
                                    "targets"));
    }
}

/* Ignore older versions: a process that has shown the effect of a version
   must never go back to an older one.  */
static void
apply_routes (csp_gateway_t *gateway, csp_routes_t *routes)
{
  uint64_t version = csp_routes_version (routes);

  if (gateway->routes != NULL
      && version <= csp_routes_version (gateway->routes))
    {
      CSP_LOG (gateway->log, CSP_EVENT_CONFIGURATION_STALE, NULL,
               csp_number ("revision",
                           (int64_t)csp_routes_version (gateway->routes)),
               csp_number ("service_revision", (int64_t)version));
      csp_release_routes (routes);
      return;
    }
  csp_release_routes (gateway->routes);
  gateway->routes = routes;
  set_cold_bounds (gateway);
  CSP_LOG (gateway->log, CSP_EVENT_CONFIGURATION_TAKEN, NULL,
           csp_number ("revision", (int64_t)version));
}

static void
begin_stop (csp_gateway_t *gateway)
{
  if (gateway->stopping)
    return;
  gateway->stopping = true;
  csp_set_roster_leaving (gateway->roster);
  csp_choose_deciders (gateway);
  gateway->stop_began_ms = csp_gateway_now_ms (gateway);
  CSP_LOG (gateway->log, CSP_EVENT_DRAINING, NULL,
           csp_number ("open_requests", gateway->caller_count));
}

static void
list_target (csp_gateway_t *gateway, const csp_fleet_row_t *row,
             int64_t now_ms)
{
  uint64_t additions = csp_fleet_additions (gateway->fleet);

  csp_update_target (gateway->fleet, row, now_ms);
  if (csp_fleet_additions (gateway->fleet) != additions)
    csp_count_reported_loads (gateway, row->id);
}

static void
apply_update (csp_gateway_t *gateway, const csp_update_t *update)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);

  switch (update->kind)
    {
    case CSP_UPDATE_ROUTES:
      apply_routes (gateway, update->value.routes);
      break;
    case CSP_UPDATE_TARGET:
      list_target (gateway, &update->value.target, now_ms);
      break;
    case CSP_UPDATE_TARGET_REMOVED:
      csp_remove_target (gateway->fleet, update->value.target_id, now_ms);
      break;
    case CSP_UPDATE_ENTRY_REFUSED:
      gateway->counts.entries_refused++;
      break;
    case CSP_UPDATE_CORDON:
      csp_apply_cordon (gateway, update->value.cordon.data_centre,
                        update->value.cordon.on);
      break;
    case CSP_UPDATE_TARGETS_LISTED:
      gateway->targets_listed = true;
      break;
    case CSP_UPDATE_PLATFORM_READ:
      csp_note_platform_read (gateway, update->value.age_ms);
      break;
    case CSP_UPDATE_READS_PLATFORM:
      csp_set_roster_platform_read (gateway->roster,
                                    update->value.reads_platform);
      break;
    case CSP_UPDATE_PLATFORM_ROWS_LAPSE:
      csp_note_platform (gateway->fleet, false, now_ms);
      csp_note_platform (gateway->fleet, true, now_ms);
      break;
    case CSP_UPDATE_PLATFORM_UNREACHABLE:
    case CSP_UPDATE_PLATFORM_REACHABLE:
      gateway->platform_unreachable
          = update->kind == CSP_UPDATE_PLATFORM_UNREACHABLE;
      csp_set_roster_platform_unreachable (gateway->roster,
                                           gateway->platform_unreachable);
      csp_note_platform (gateway->fleet,
                         update->kind == CSP_UPDATE_PLATFORM_REACHABLE,
                         now_ms);
      break;
    case CSP_UPDATE_STOP:
      begin_stop (gateway);
      break;
    }
}

/* Load pattern: all hosts restart at once, and callers reach them before they
   have a configuration.  A caller that is refused comes back once, perhaps to
   a host that has none yet either; in the listener's queue it waits for some
   tenths of a second and is served.  */
static bool
may_accept (const csp_gateway_t *gateway)
{
  return gateway->stopping
         || (gateway->routes != NULL && gateway->targets_listed)
         || csp_gateway_now_ms (gateway) - gateway->started_ms
                >= ACCEPT_WITHIN_MS;
}

static void
accept_waiting_caller (csp_gateway_t *gateway)
{
  if (!gateway->caller_waits || !may_accept (gateway))
    return;
  gateway->caller_waits = false;
  csp_accept_caller (gateway, (uv_stream_t *)&gateway->caller_listener);
}

static void
on_wake (uv_async_t *wake)
{
  csp_gateway_t *gateway = wake->data;
  struct cds_wfcq_node *node;

  while ((node = cds_wfcq_dequeue_blocking (&gateway->updates_head,
                                            &gateway->updates_tail))
         != NULL)
    {
      queued_update_t *queued = caa_container_of (node, queued_update_t, node);

      apply_update (gateway, &queued->update);
      free (queued);
    }
  accept_waiting_caller (gateway);
}

bool
csp_update_gateway (csp_gateway_t *gateway, const csp_update_t *update)
{
  queued_update_t *queued = malloc (sizeof *queued);

  if (queued == NULL)
    {
      if (update->kind == CSP_UPDATE_ROUTES)
        csp_release_routes (update->value.routes);
      return false;
    }
  cds_wfcq_node_init (&queued->node);
  queued->update = *update;
  cds_wfcq_enqueue (&gateway->updates_head, &gateway->updates_tail,
                    &queued->node);
  uv_async_send (&gateway->wake);
  return true;
}

static void
end_open_requests (csp_gateway_t *gateway)
{
  if (gateway->stop_limit_reached)
    return;
  gateway->stop_limit_reached = true;
  if (gateway->caller_count > 0)
    CSP_LOG (gateway->log, CSP_EVENT_DRAIN_LIMIT, NULL,
             csp_number ("open_requests", gateway->caller_count));
  csp_end_exchanges_of_stop (gateway);
}

/* During a stop readiness fails at once and answers close their connections.
   When the balancer has noticed, idle callers are closed.  Open requests run
   to their end or to the time limit; then their callers have a moment to get
   an answer that says whether they may have run.  */
static void
step_stop (csp_gateway_t *gateway)
{
  int64_t elapsed_ms = csp_gateway_now_ms (gateway) - gateway->stop_began_ms;
  int64_t left_ms = (int64_t)gateway->settings.stop_limit_ms - elapsed_ms;

  if (elapsed_ms >= CSP_STOP_NOTICE_MS)
    csp_close_idle_callers (gateway);
  if (elapsed_ms >= CSP_STOP_NOTICE_MS && gateway->caller_count == 0)
    uv_stop (&gateway->loop);
  if (left_ms <= CSP_STOP_MARGIN_MS)
    end_open_requests (gateway);
  if (left_ms <= CSP_STOP_CLOSE_MARGIN_MS)
    uv_stop (&gateway->loop);
}

static void
on_tick (uv_timer_t *tick)
{
  csp_gateway_t *gateway = tick->data;

  csp_sample_host_load (gateway, TICK_MS);
  csp_expire_targets (gateway->fleet, csp_gateway_now_ms (gateway));
  /* Ends late queries, so that others may be sent.  */
  csp_query_targets (gateway);
  csp_update_reachability (gateway);
  csp_probe_paths (gateway);
  csp_log_service_reach (gateway);
  csp_resume_silent_streams (gateway);
  csp_stop_left_runs (gateway);
  csp_free_unused_budgets (gateway);
  csp_expire_suspects (gateway->quarantine, csp_gateway_now_ms (gateway));
  csp_broadcast_suspects (gateway);
  csp_update_held_parts (gateway);
  csp_repeat_rate_notices (gateway);
  csp_update_decider_role (gateway);
  csp_update_target_dampings (gateway);
  csp_schedule_placements (gateway);
  /* The balancer no longer sends callers here; on connections that stay open
     callers would still be refused.  */
  if (csp_is_isolated (gateway) && csp_isolated_retry_ms (gateway) == 0)
    csp_close_idle_callers (gateway);
  accept_waiting_caller (gateway);
  if (gateway->stopping)
    step_stop (gateway);
}

/* The loop reports no further connection until this one is accepted.  */
static void
on_connection (uv_stream_t *listener, int status)
{
  csp_gateway_t *gateway = listener->data;

  if (status != 0)
    return;
  gateway->caller_waits = true;
  accept_waiting_caller (gateway);
}

static bool
open_caller_listener (csp_gateway_t *gateway, char *message,
                      size_t message_bytes)
{
  const struct sockaddr_in *address = &gateway->settings.caller_address;
  int fault;

  uv_tcp_init (&gateway->loop, &gateway->caller_listener);
  gateway->caller_listener.data = gateway;
  fault = uv_tcp_bind (&gateway->caller_listener,
                       (const struct sockaddr *)address, 0);
  if (fault == 0)
    fault = uv_listen ((uv_stream_t *)&gateway->caller_listener,
                       LISTEN_BACKLOG, on_connection);
  if (fault == 0)
    return true;
  snprintf (message, message_bytes, "can't listen for callers at port %u: %s",
            ntohs (address->sin_port), uv_strerror (fault));
  return false;
}

csp_gateway_t *
csp_create_gateway (const csp_gateway_settings_t *settings,
                    const csp_dialect_t *dialect, const csp_clock_t *clock,
                    csp_log_t *log, char *message, size_t message_bytes)
{
  csp_gateway_t *gateway = calloc (1, sizeof *gateway);

  snprintf (message, message_bytes, "out of memory");
  if (gateway == NULL)
    return NULL;
  gateway->settings = *settings;
  gateway->dialect = dialect;
  gateway->clock = *clock;
  gateway->log = log;
  gateway->started_ms = csp_gateway_now_ms (gateway);
  csp_seed_random (&gateway->random, csp_random_seed ());
  cds_wfcq_init (&gateway->updates_head, &gateway->updates_tail);
  if (uv_loop_init (&gateway->loop) != 0)
    {
      free (gateway);
      return NULL;
    }
  uv_async_init (&gateway->loop, &gateway->wake, on_wake);
  gateway->wake.data = gateway;
  uv_timer_init (&gateway->loop, &gateway->tick);
  gateway->tick.data = gateway;
  uv_timer_start (&gateway->tick, on_tick, TICK_MS, TICK_MS);
  uv_timer_init (&gateway->loop, &gateway->move_timer);
  gateway->move_timer.data = gateway;
  csp_open_decisions (gateway);
  gateway->fleet = csp_create_fleet (on_target_left, on_target_freed, gateway);
  gateway->request_metrics = csp_create_metrics (CSP_SERIES_MAX);
  gateway->quarantine = csp_create_quarantine ();
  gateway->part_quarantine = csp_create_part_quarantine (csp_random_seed ());
  if (!csp_open_host_load (gateway) || gateway->request_metrics == NULL
      || gateway->quarantine == NULL || gateway->part_quarantine == NULL)
    goto fail;
  if (gateway->fleet != NULL)
    gateway->dispatch = csp_create_dispatch (
        gateway->fleet, csp_deliver_ask_answer, gateway, csp_random_seed ());
  if (gateway->dispatch == NULL)
    goto fail;
  snprintf (message, message_bytes, "can't receive datagrams of other hosts");
  if (!csp_open_gateway_peers (gateway)
      || !open_caller_listener (gateway, message, message_bytes)
      || !csp_open_relay (gateway, message, message_bytes)
      || !csp_open_gateway_pages (gateway, message, message_bytes))
    goto fail;
  return gateway;

fail:
  csp_destroy_gateway (gateway);
  return NULL;
}

static void
close_handle (uv_handle_t *handle, void *state)
{
  (void)state;
  if (!uv_is_closing (handle))
    uv_close (handle, NULL);
}

/* Stop accepting input and timers.  The loop still runs while connections
   close, and a datagram or tick would use memory that is already freed; the
   process would crash at the end of a stop.  */
static void
stop_listening (csp_gateway_t *gateway)
{
  csp_stop_gateway_peers (gateway);
  uv_timer_stop (&gateway->tick);
  uv_timer_stop (&gateway->move_timer);
  if (uv_handle_get_type ((uv_handle_t *)&gateway->caller_listener) == UV_TCP)
    uv_close ((uv_handle_t *)&gateway->caller_listener, NULL);
  if (uv_handle_get_type ((uv_handle_t *)&gateway->relay_listener) == UV_TCP)
    uv_close ((uv_handle_t *)&gateway->relay_listener, NULL);
}

void
csp_destroy_gateway (csp_gateway_t *gateway)
{
  if (gateway == NULL)
    return;
  csp_close_all_callers (gateway);
  csp_close_gateway_pages (gateway);
  csp_cancel_status_queries (gateway);
  csp_drop_left_runs (gateway);
  stop_listening (gateway);
  uv_run (&gateway->loop, UV_RUN_NOWAIT);
  gateway->caller_waits = false;
  on_wake (&gateway->wake);
  csp_stop_decisions (gateway);
  csp_destroy_dispatch (gateway->dispatch);
  csp_clear_buffer (&gateway->own_answers);
  csp_destroy_fleet (gateway->fleet);
  csp_release_routes (gateway->routes);
  uv_run (&gateway->loop, UV_RUN_NOWAIT);
  uv_walk (&gateway->loop, close_handle, NULL);
  while (uv_run (&gateway->loop, UV_RUN_DEFAULT) != 0)
    continue;
  uv_loop_close (&gateway->loop);
  csp_close_gateway_peers (gateway);
  csp_close_host_load (gateway);
  csp_destroy_metrics (gateway->request_metrics);
  csp_free_budgets (gateway);
  csp_destroy_quarantine (gateway->quarantine);
  csp_destroy_part_quarantine (gateway->part_quarantine);
  free (gateway);
}

void
csp_run_gateway (csp_gateway_t *gateway)
{
  uv_run (&gateway->loop, UV_RUN_DEFAULT);
  csp_close_all_callers (gateway);
}

uint16_t
csp_gateway_caller_port (const csp_gateway_t *gateway)
{
  struct sockaddr_in address = { 0 };
  int size_bytes = sizeof address;

  uv_tcp_getsockname (&gateway->caller_listener, (struct sockaddr *)&address,
                      &size_bytes);
  return ntohs (address.sin_port);
}

uint16_t
csp_gateway_readiness_port (const csp_gateway_t *gateway)
{
  return csp_page_server_port (gateway->readiness_page);
}

uint16_t
csp_gateway_relay_port (const csp_gateway_t *gateway)
{
  return gateway->relay_port;
}
