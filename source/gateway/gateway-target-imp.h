#ifndef COWSLIPSPOKE_GATEWAY_TARGET_IMP_H
#define COWSLIPSPOKE_GATEWAY_TARGET_IMP_H

#include "gateway/gateway-imp.h"

/* What this host does with targets, learns of them and holds against them. */

/* Targets: see gateway-links.c.  A new or idle connection; NULL when memory or
   descriptors fail.  */
csp_link_t *csp_acquire_link (csp_gateway_t *gateway,
                              csp_fleet_target_t *target);

/* A new connection, even where there are idle ones.  */
csp_link_t *csp_open_target_link (csp_gateway_t *gateway,
                                  const csp_fleet_target_t *target);

/* Keep a connection for the next request, or close it.  */
void csp_release_link (csp_gateway_t *gateway, csp_fleet_target_t *target,
                       csp_link_t *link);

/* Close the idle connections to a target.  */
void csp_close_idle_links (csp_fleet_target_t *target);

/* A target leaves: move its streams to other targets.  */
void csp_drain_target (csp_gateway_t *gateway, csp_fleet_target_t *target);

/* A target leaves or is gone: give up the copies of runs there.  */
void csp_drop_copies_at (csp_gateway_t *gateway,
                         const csp_fleet_target_t *target);

/* Start the moves whose turn has come.  */
void csp_start_due_moves (csp_gateway_t *gateway);

/* Resume streams whose target has stopped sending, at other targets.  Call it
   periodically.  */
void csp_resume_silent_streams (csp_gateway_t *gateway);

/* Left runs: see gateway-left-run.c.  Stop runs whose callers have left, and
   end late attempts to.  Call it periodically.  */
void csp_stop_left_runs (csp_gateway_t *gateway);
/* The request is sent to the target again, where it isn't to be stopped.  */
void csp_forget_left_run (csp_gateway_t *gateway,
                          const csp_fleet_target_t *target,
                          const char *request_id);
void csp_drop_left_runs (csp_gateway_t *gateway);

/* Cordon: see gateway-cordon.c.  Operators cordon a data centre, or lift its
   cordon.  */
void csp_apply_cordon (csp_gateway_t *gateway, const char *data_centre,
                       bool cordoned);

/* Whether a run whose only memory copy is at the target may still resume
   there.  */
bool csp_may_resume_at (const csp_gateway_t *gateway,
                        const csp_fleet_target_t *target);

/* Reports: see gateway-report.c.  The platform was read age_ms ago.  */
void csp_note_platform_read (csp_gateway_t *gateway, uint32_t age_ms);

/* Query engines whether they leave and still run, while the platform can't be
   read.  Call it periodically.  */
void csp_query_targets (csp_gateway_t *gateway);

/* Whether a service runs models, according to the current routes.  */
bool csp_is_engine_service (const csp_gateway_t *gateway, const char *name);

/* Query the status of one target.  */
void csp_query_target (csp_gateway_t *gateway, csp_fleet_target_t *target,
                       int64_t now_ms);

/* Try a new connection to a target with a status query, or with a health check
   where it isn't an engine.  False where its service declares none.  */
bool csp_probe_target (csp_gateway_t *gateway, csp_fleet_target_t *target,
                       int64_t now_ms);

/* A target itself reports that it leaves: it gets no new work, and the other
   hosts are notified.  */
void csp_announce_leaving (csp_gateway_t *gateway, csp_fleet_target_t *target);

/* Target state: see gateway-target-state.c.  Apply what the head of a target's
   answer says about the target itself.  sent_ms: when the request was sent
   that it answers with success; 0: another answer.  */
void csp_handle_target_state (csp_gateway_t *gateway,
                              csp_fleet_target_t *target,
                              const csp_http_head_t *head, int64_t sent_ms);

/* This host sends the target nothing for a while.  cause: for the log.  */
void csp_begin_backoff (csp_gateway_t *gateway, csp_fleet_target_t *target,
                        uint32_t wait_ms, const char *cause);

/* The target refused a request for lack of capacity; it may state how many
   refusals it bears, see refusal-limit.h.  */
void csp_handle_refusal_limit (csp_gateway_t *gateway,
                               csp_fleet_target_t *target,
                               const csp_http_head_t *head);
bool csp_head_announces_leaving (const csp_gateway_t *gateway,
                                 const csp_http_head_t *head);

/* Rate limits: see gateway-rate.c.  Apply the limit that an answer states, or
   its absence; sent_ms as in csp_handle_target_state.  */
void csp_handle_rate_limit (csp_gateway_t *gateway, csp_fleet_target_t *target,
                            const csp_http_head_t *head, int64_t sent_ms);

/* Send reports of limits that began or ended once more.  Call it
   periodically.  */
void csp_repeat_rate_notices (csp_gateway_t *gateway);

/* What this host knows of a target's limit, for a hello.  */
csp_hello_rate_t csp_make_hello_rate (const csp_gateway_t *gateway,
                                      const csp_fleet_target_t *target);

/* Add some limits to a periodic hello; and handle those of another host.  */
void csp_add_rates_to_hello (csp_gateway_t *gateway, csp_hello_t *hello);
void csp_handle_rates (csp_gateway_t *gateway, csp_peer_address_t from,
                       const csp_hello_t *hello);

/* Reach: see gateway-reach.c.  Bytes of an answer came from a target.  */
void csp_note_target_answered (csp_gateway_t *gateway,
                               csp_fleet_target_t *target);

/* A target accepted no connection, or reset one.  */
void csp_note_target_failed (csp_gateway_t *gateway,
                             const csp_fleet_target_t *target);

/* Paths: see gateway-paths.c.  A target has answered over the connection, or
   the connection has failed before the first byte of an answer; connections
   that carried an earlier request don't count.  */
void csp_note_link_answered (csp_gateway_t *gateway,
                             csp_fleet_target_t *target,
                             const csp_link_t *link);
void csp_note_link_failed (csp_gateway_t *gateway, csp_fleet_target_t *target,
                           const csp_link_t *link);

/* Try new connections to targets that this host doesn't reach, and to those
   that leave requests unanswered.  Call it periodically.  */
void csp_probe_paths (csp_gateway_t *gateway);

/* Log which services became unreached or reached.  Call it periodically.  */
void csp_log_service_reach (csp_gateway_t *gateway);

/* Speeds of engines: see gateway-speed.c.  Record the time between two events
   of one run at a target, and schedule a report if it says something new.  */
void csp_note_target_interval (csp_gateway_t *gateway,
                               csp_fleet_target_t *target,
                               int64_t interval_ms);

/* Set the intervals of a load that this host reports.  */
void csp_fill_load_speed (const csp_fleet_target_t *target, int64_t now_ms,
                          csp_peer_load_t *load);

/* Merge what another host has just reported.  */
void csp_merge_reported_speeds (csp_gateway_t *gateway,
                                const csp_hello_t *hello);

/* As the decider: log targets that became slow or are no longer; to be called
   periodically.  And show what is known of speeds.  */
void csp_log_speed_changes (csp_gateway_t *gateway);
void csp_print_speeds (const csp_gateway_t *gateway, csp_buffer_t *text);

#endif
