#include "gateway/gateway-damping-imp.h"
#include "gateway/gateway-run-imp.h"

#include "cowslipspoke/fingerprint.h"
#include "cowslipspoke/prompt-parts.h"

/* Damping of targets that lose attempts, see damping.h: counting this host's
   losses, applying those that other hosts report, and logging.

   A placement that follows within milliseconds has to know of a loss, so
   losses are reported with the next change of load and applied before waiting
   requests are placed.  */

enum
{
  STATUS_OK_END = 300,
  /* Successes that raise the number of requests allowed on probation to its
     maximum.  A report may state any number.  */
  COUNTED_SUCCESSES_MAX = 2048,
  /* An older loss is no evidence, whatever its age.  */
  LOSS_AGE_MAX_MS = 3600000,
  /* A loss of a request that was sent so soon after another loss at the target
     shows that the target fails again.  */
  REPEATED_LOSS_MS = 2000,
  /* Outlasts a short down time.  */
  REPEATED_LOSS_BACKOFF_MS = 1000
};

static bool
is_decider (const csp_gateway_t *gateway)
{
  return csp_is_same_peer (gateway->decider, gateway->self);
}

static int64_t
find_evidence_age_ms (const csp_gateway_t *gateway,
                      const csp_fleet_target_t *target)
{
  return csp_gateway_now_ms (gateway) - target->damping.failed_ms;
}

static void
on_damping_changed (void *state, const csp_fleet_target_t *target,
                    bool released)
{
  const csp_gateway_t *gateway = state;
  bool trusted = target->damping.state == CSP_TARGET_TRUSTED;

  if (!is_decider (gateway))
    return;
  CSP_LOG (
      gateway->log,
      trusted ? CSP_EVENT_TARGET_TRUSTED : CSP_EVENT_TARGET_ON_PROBATION, NULL,
      csp_text ("target", target->row.id),
      csp_text ("cause", released ? "too many are damped" : "time is over"),
      csp_number ("times", target->damping.times),
      csp_number ("evidence_age_ms", find_evidence_age_ms (gateway, target)));
}

void
csp_update_target_dampings (csp_gateway_t *gateway)
{
  csp_damping_watch_t watch
      = { .on_changed = on_damping_changed, .state = gateway };

  csp_update_dampings (gateway->fleet, &watch, csp_gateway_now_ms (gateway));
}

static void
log_damping (csp_gateway_t *gateway, const csp_fleet_target_t *target,
             const char *cause, const char *reported_by)
{
  if (!is_decider (gateway))
    return;
  gateway->counts.dampings++;
  CSP_LOG (
      gateway->log, CSP_EVENT_TARGET_DAMPED, NULL,
      csp_text ("target", target->row.id), csp_text ("cause", cause),
      csp_text ("told_by", reported_by),
      csp_number ("times", target->damping.times),
      csp_number ("for_ms", target->damping.duration_ms),
      csp_number ("evidence_age_ms", find_evidence_age_ms (gateway, target)));
}

/* Apply losses of one host, this one or another.  */
static void
note_losses (csp_gateway_t *gateway, csp_fleet_target_t *target,
             csp_damping_report_t report, const char *reported_by)
{
  csp_damping_watch_t watch
      = { .on_changed = on_damping_changed, .state = gateway };
  int64_t now_ms = csp_gateway_now_ms (gateway);
  const char *cause;

  report.failures = csp_count_target_failures (target);
  if (report.failures <= target->damping.known_failures)
    return;
  report.target_data_centre = target->data_centre;
  report.is_only_host = csp_count_live_peers (gateway->roster) == 0;
  report.is_only_data_centre
      = csp_count_known_data_centres (gateway->roster) == 1;
  /* What is due is logged first.  */
  if (target->restrained)
    csp_update_target_damping (gateway->fleet, target, &watch, now_ms);
  cause = target->restrained    ? "lost on probation"
          : report.is_only_host ? "lost by the only host"
                                : "lost by two hosts";
  if (!csp_note_target_loss (gateway->fleet, target, &report, now_ms))
    return;
  log_damping (gateway, target, cause, reported_by);
  csp_limit_dampings (gateway->fleet, target->group, &watch, now_ms);
}

/* Whether the lost attempt counts against its target.  One of several that
   can't be connected to says more about this host.  */
static bool
is_target_failure (csp_exchange_t *exchange, csp_link_failure_t why)
{
  const csp_fleet_target_t *target = exchange->target;
  bool has_error = exchange->answer_mode != CSP_ANSWER_NONE
                   && exchange->status >= STATUS_OK_END;

  return target->is_engine && why != CSP_LINK_MALFORMED && !has_error
         && !(why == CSP_LINK_UNREACHABLE
              && csp_has_lost_paths (exchange->gateway->service_reach,
                                     target->group->service_hash))
         && target->state != CSP_FLEET_LEAVING
         && target->state != CSP_FLEET_GONE && !csp_is_run_stopping (exchange)
         && !csp_is_quarantined (exchange);
}

/* Whether the request was sent soon after another was lost at its target.
   Attempts that are lost together may have had one cause, such as a connection
   reset on the way.  */
static bool
is_sent_behind_loss (const csp_exchange_t *exchange)
{
  const csp_fleet_target_t *target = exchange->target;

  return target->own_failures > 0
         && exchange->sent_at_ms > target->own_failed_ms
         && exchange->sent_at_ms < target->own_failed_ms + REPEATED_LOSS_MS;
}

/* Most requests may come to one host.  The target is damped for all only when
   a second host has lost one there, which may take long, so this host backs
   off by itself, unless no other target is left.  */
static void
back_off_lossy_target (csp_gateway_t *gateway, csp_fleet_target_t *target)
{
  if (csp_has_other_target (gateway->fleet, target,
                            csp_gateway_now_ms (gateway)))
    csp_begin_backoff (gateway, target, REPEATED_LOSS_BACKOFF_MS,
                       "lost requests again");
}

/* A target that is damped or on probation is limited for all hosts.  */
void
csp_begin_trial_behind_loss (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_fleet_target_t *target = exchange->target;

  if (!target->is_engine || target->restrained
      || !is_sent_behind_loss (exchange))
    return;
  csp_begin_target_trial (gateway->fleet, target, REPEATED_LOSS_BACKOFF_MS,
                          csp_gateway_now_ms (gateway));
  gateway->counts.backoffs++;
  CSP_LOG (gateway->log, CSP_EVENT_TARGET_BACKED_OFF, exchange->request_id,
           csp_text ("target", target->row.id),
           csp_text ("cause", "on trial behind a loss"),
           csp_number ("wait_ms", REPEATED_LOSS_BACKOFF_MS),
           csp_number ("left_ms", REPEATED_LOSS_BACKOFF_MS));
}

void
csp_end_answered_trial (const csp_exchange_t *exchange)
{
  if (exchange->sent_at_ms > exchange->target->own_failed_ms)
    csp_end_target_trial (exchange->target);
}

static void
count_own_loss (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_fleet_target_t *target = exchange->target;
  csp_damping_report_t report = { .host = csp_pack_peer (gateway->self),
                                  .host_data_centre = gateway->data_centre };

  if (is_sent_behind_loss (exchange))
    back_off_lossy_target (gateway, target);
  target->own_failures++;
  target->own_failed_ms = csp_gateway_now_ms (gateway);
  csp_note_own_load_changed (gateway->fleet, target);
  csp_schedule_load_report (gateway);
  note_losses (gateway, target, report, "self");
}

/* Log that a target ended the connection, and count a strike against the
   request.  */
static void
note_connection_ended (csp_exchange_t *exchange, const char *detail)
{
  csp_gateway_t *gateway = exchange->gateway;
  int64_t now_ms = csp_gateway_now_ms (gateway);
  char fingerprint[CSP_FINGERPRINT_TEXT_BYTES];
  char parts[CSP_PROMPT_PARTS_TEXT_BYTES];

  csp_format_prompt_parts (csp_exchange_parts (exchange), parts);
  csp_print_fingerprint (csp_exchange_fingerprint (exchange), fingerprint);
  CSP_LOG (
      gateway->log, CSP_EVENT_ATTEMPT_LOST, exchange->request_id,
      csp_text ("target", exchange->target->row.id),
      csp_text ("fingerprint", fingerprint), csp_text ("parts", parts),
      csp_text ("detail", detail),
      csp_number ("events", (int64_t)exchange->events),
      csp_number ("sent_ms", now_ms - exchange->sent_at_ms),
      csp_number ("run_ms", exchange->run_started_ms == 0
                                ? -1
                                : now_ms - exchange->run_started_ms),
      csp_number ("target_requests", (int64_t)exchange->target->own.requests));
  csp_note_connection_lost (exchange);
  csp_note_part_strikes (exchange);
}

void
csp_note_attempt_lost (csp_exchange_t *exchange, csp_link_failure_t why,
                       const char *detail)
{
  if ((why == CSP_LINK_CLOSED || why == CSP_LINK_RESET)
      && csp_link_has_sent (exchange->link))
    note_connection_ended (exchange, detail);
  if (is_target_failure (exchange, why))
    count_own_loss (exchange);
}

void
csp_note_attempt_broke_off (csp_exchange_t *exchange)
{
  if (exchange->until_close && !csp_is_run_stopping (exchange))
    note_connection_ended (exchange, "the answer broke off");
  if (is_target_failure (exchange, CSP_LINK_CLOSED))
    count_own_loss (exchange);
}

void
csp_fill_load_failures (const csp_gateway_t *gateway,
                        const csp_fleet_target_t *target,
                        csp_peer_load_t *load)
{
  int64_t age_ms = csp_gateway_now_ms (gateway) - target->own_failed_ms;

  if (target->own_failures == 0)
    return;
  load->failures = target->own_failures;
  load->failure_age_ms
      = (uint32_t)(age_ms < LOSS_AGE_MAX_MS ? age_ms : LOSS_AGE_MAX_MS);
}

bool
csp_reports_recent_failure (const csp_peer_load_t *load)
{
  return load->failures > 0 && load->failure_age_ms < CSP_LOSS_REPORTED_MS;
}

typedef struct
{
  csp_gateway_t *gateway;
  csp_remembered_loads_t *loads;
} remembering_t;

static bool
is_on_probation (const csp_fleet_target_t *target)
{
  return target != NULL && target->damping.state == CSP_TARGET_ON_PROBATION;
}

static void
remember_load (void *state, csp_peer_address_t peer,
               const csp_peer_load_t *load)
{
  remembering_t *remembering = state;
  csp_remembered_loads_t *loads = remembering->loads;
  csp_fleet_t *fleet = remembering->gateway->fleet;

  (void)peer;
  if (loads->count < CSP_REMEMBERED_LOADS_MAX
      && (csp_reports_recent_failure (load)
          || is_on_probation (csp_find_target_by_hash (fleet, load->target))))
    loads->loads[loads->count++] = *load;
}

void
csp_remember_loads (csp_gateway_t *gateway, csp_peer_address_t peer,
                    csp_remembered_loads_t *loads)
{
  remembering_t remembering = { .gateway = gateway, .loads = loads };

  loads->count = 0;
  if (csp_has_lossy_targets (gateway->fleet))
    csp_visit_loads_of_peer (gateway->roster, peer, remember_load,
                             &remembering);
}

/* Fewer requests of a host than before, and no loss there, mean that requests
   were served.  Those that the caller gave up or that moved away count too: a
   wrong success only raises the number of short requests on probation.  */
static void
note_successes (csp_fleet_target_t *target, const csp_peer_load_t *load,
                const csp_remembered_loads_t *before)
{
  uint32_t counted = 0;
  uint32_t served;
  size_t i;

  for (i = 0; i < before->count; i++)
    if (before->loads[i].target == load->target
        && before->loads[i].failures == load->failures)
      for (served = load->requests; served < before->loads[i].requests
                                    && counted < COUNTED_SUCCESSES_MAX;
           served++, counted++)
        csp_note_damping_success (&target->damping);
}

void
csp_apply_reported_losses (csp_gateway_t *gateway, csp_peer_address_t from,
                           const csp_hello_t *hello,
                           const csp_remembered_loads_t *before)
{
  bool has_lossy = csp_has_lossy_targets (gateway->fleet);
  char host[CSP_PEER_TEXT_BYTES];
  csp_fleet_target_t *target;
  size_t i;

  for (i = 0; i < before->count; i++)
    {
      target
          = csp_find_target_by_hash (gateway->fleet, before->loads[i].target);
      if (target != NULL)
        csp_settle_target_failures (target);
    }
  csp_format_peer (from, host);
  for (i = 0; i < hello->load_count; i++)
    {
      const csp_peer_load_t *load = &hello->loads[i];
      csp_damping_report_t report = { .host = csp_pack_peer (from),
                                      .host_data_centre = hello->data_centre,
                                      .age_ms = load->failure_age_ms };

      if (load->failures == 0 && !has_lossy)
        continue;
      target = csp_find_target_by_hash (gateway->fleet, load->target);
      if (is_on_probation (target))
        note_successes (target, load, before);
      if (target != NULL && load->failures > 0)
        note_losses (gateway, target, report, host);
    }
}
