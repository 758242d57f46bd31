#include "fleet-imp.h"

csp_stream_t
stream_of_request (const fleet_t *fleet, const request_t *request,
                   uint32_t host)
{
  csp_stream_t stream
      = { .id = request->id,
          .length_key = fleet->hosts[host].keys[request->class_index],
          .prompt_tokens = request->prompt_tokens,
          .priority = request->priority,
          .preempted_count = request->requeued_count,
          .repeatable = true };

  return stream;
}

/* Replaces admission control when it is switched off: chooses the engine with
   the most free memory if the prompt fits into it.  */
static bool
choose_by_free_memory (fleet_t *fleet, const request_t *request, uint32_t host,
                       uint32_t *chosen)
{
  uint32_t most = request->prompt_tokens + ENGINE_MAX_RUNNING;
  uint32_t used;
  uint32_t free_tokens;
  uint32_t i;
  bool found = false;

  for (i = host; i < fleet->engine_count; i += fleet->settings->hosts)
    {
      used = csp_ledger_used_tokens (fleet->ledgers[i]);
      free_tokens = fleet->engines[i].shape.memory_tokens;
      free_tokens = free_tokens > used ? free_tokens - used : 0;
      if (fleet->engines[i].failed || free_tokens <= most)
        continue;
      most = free_tokens;
      *chosen = i;
      found = true;
    }
  return found;
}

/* Replaces placement when it is switched off: chooses an engine at random
   among those that admit the stream.  */
static bool
choose_at_random (fleet_t *fleet, const csp_candidate_t *candidates,
                  uint32_t count, const csp_stream_t *stream, uint32_t *chosen)
{
  uint32_t start = csp_random_below (&fleet->random, count);
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      *chosen = (start + i) % count;
      if (csp_decide_admission (candidates[*chosen].ledger, stream,
                                fleet_now_ms (fleet))
          == CSP_ADMIT)
        return true;
    }
  return false;
}

static void
fill_candidate (fleet_t *fleet, const request_t *request, uint32_t host,
                uint32_t engine, csp_candidate_t *candidate)
{
  csp_slow_start_policy_t policy = csp_default_slow_start_policy ();
  csp_health_t *health = fleet->hosts[host].health;

  candidate->ledger = fleet->ledgers[engine];
  candidate->usable_share = csp_advance_slow_start (
      &fleet->slow_starts[engine], &policy, true, fleet_now_ms (fleet));
  candidate->slowness = 1;
  candidate->cached_tokens = 0;
  if (!fleet->settings->no_prefixes)
    candidate->cached_tokens
        = csp_cached_tokens (&fleet->prefixes[engine], request->prefix);
  if (candidate->cached_tokens > request->prefix_tokens)
    candidate->cached_tokens = request->prefix_tokens;
  if (fleet->settings->no_health)
    return;
  candidate->usable_share *= csp_health_share (health, engine);
  candidate->slowness = csp_health_slowness (health, engine);
  if (csp_take_probe (health, engine,
                      csp_ledger_streams (fleet->ledgers[engine]),
                      fleet_now_ms (fleet)))
    candidate->usable_share = 1;
}

static bool
choose_engine (fleet_t *fleet, const request_t *request, uint32_t host,
               uint32_t *chosen)
{
  csp_candidate_t candidates[MAX_ENGINES];
  uint32_t engines[MAX_ENGINES];
  csp_stream_t stream = stream_of_request (fleet, request, host);
  uint32_t count = 0;
  uint32_t i;
  uint32_t best = 0;
  bool found;

  if (fleet->settings->no_admission)
    return choose_by_free_memory (fleet, request, host, chosen);
  for (i = host; i < fleet->engine_count; i += fleet->settings->hosts)
    if (!fleet->engines[i].failed)
      {
        engines[count] = i;
        fill_candidate (fleet, request, host, i, &candidates[count++]);
      }
  if (count == 0)
    return false;
  if (fleet->settings->no_placement)
    found = choose_at_random (fleet, candidates, count, &stream, &best);
  else
    found = csp_choose_target (&fleet->settings->placement, candidates, count,
                               &stream, fleet_now_ms (fleet), &best);
  *chosen = engines[best];
  return found;
}

static csp_waiting_request_t
make_waiting (fleet_t *fleet, const request_t *request)
{
  host_t *host = &fleet->hosts[request->host];
  csp_waiting_request_t waiting
      = { .id = request->id,
          .organisation
          = fleet->settings->no_fairness ? 0 : request->organisation,
          .priority = request->priority,
          .start_by_ms = 1000 + request->start_by_us / 1000 };

  waiting.memory_tokens
      = request->prompt_tokens
        + (uint32_t)csp_mean_tokens_left (host->lengths,
                                          host->keys[request->class_index], 0);
  waiting.cost_tokens = csp_charge_request (
      &host->cost, CSP_CLASS_REGULAR, fleet->engines[0].shape.memory_tokens,
      request->prompt_tokens, waiting.memory_tokens);
  return waiting;
}

void
settle_request (fleet_t *fleet, const request_t *request,
                uint32_t generated_tokens)
{
  host_t *host = &fleet->hosts[request->host];

  csp_settle_waiting (
      host->queue, fleet->settings->no_fairness ? 0 : request->organisation,
      request->charged_memory_tokens, request->charged_tokens,
      csp_compute_request_cost (
          &host->cost, fleet->engines[0].shape.memory_tokens,
          request->prompt_tokens, request->prompt_tokens + generated_tokens),
      fleet_now_ms (fleet));
}

/* Moves streams that have no token yet back to their host's queue before the
   engine runs out of memory and has to preempt.  */
static void
requeue_engine_victims (fleet_t *fleet, uint32_t engine)
{
  csp_preemption_policy_t policy = csp_default_preemption_policy ();
  uint32_t handles[MAX_VICTIMS];
  csp_stream_state_t state;
  csp_waiting_request_t waiting;
  csp_error_t error;
  request_t *request;
  uint32_t count;
  uint32_t i;

  count = csp_choose_victims (&policy, fleet->ledgers[engine],
                              fleet_now_ms (fleet), handles, MAX_VICTIMS);
  for (i = 0; i < count; i++)
    {
      if (!csp_ledger_stream (fleet->ledgers[engine], handles[i], &state))
        continue;
      request = &fleet->requests[state.stream.id - 1];
      cancel_request (&fleet->engines[engine], request);
      csp_remove_stream (fleet->ledgers[engine], handles[i], CSP_LENGTH_CUT,
                         fleet_now_ms (fleet));
      csp_settle_waiting (fleet->hosts[request->host].queue,
                          request->organisation,
                          request->charged_memory_tokens,
                          request->charged_tokens, 0, fleet_now_ms (fleet));
      request->requeued_count++;
      request->phase = REQUEST_GIVEN_UP;
      waiting = make_waiting (fleet, request);
      if (csp_push_waiting (fleet->hosts[request->host].queue, &waiting,
                            fleet_now_ms (fleet), &error))
        request->phase = REQUEST_WAITING;
    }
}

void
requeue_victims (fleet_t *fleet)
{
  uint32_t i;

  if (fleet->settings->no_preemption)
    return;
  for (i = 0; i < fleet->engine_count; i++)
    if (!fleet->engines[i].failed)
      requeue_engine_victims (fleet, i);
}

static uint64_t
host_free_tokens (const fleet_t *fleet, uint32_t host)
{
  uint64_t total = 0;
  uint32_t i;

  for (i = host; i < fleet->engine_count; i += fleet->settings->hosts)
    if (!fleet->engines[i].failed)
      total += csp_ledger_headroom_tokens (fleet->ledgers[i], CSP_PRIORITY_MAX,
                                           fleet_now_ms (fleet));
  return total;
}

static bool
may_borrow (const fleet_t *fleet, uint32_t host, uint32_t memory_tokens)
{
  uint64_t reserve_tokens
      = csp_queue_lending_reserve_tokens (fleet->hosts[host].queue);

  if (fleet->settings->no_admission)
    return true;
  return host_free_tokens (fleet, host) >= reserve_tokens + memory_tokens;
}

/* Lists the other hosts with their last reported headroom.  A request that
   borrows capacity goes only to hosts whose queue is empty.  */
static size_t
list_peers (const fleet_t *fleet, uint32_t from, bool borrowing,
            csp_peer_candidate_t peers[MAX_HOSTS], uint32_t hosts[MAX_HOSTS])
{
  const host_report_t *peer_report;
  size_t count = 0;
  uint32_t i;

  for (i = 0; i < fleet->settings->hosts; i++)
    {
      peer_report = &fleet->hosts[i].last_report;
      if (i == from || (borrowing && peer_report->waiting != 0))
        continue;
      peers[count].headroom_tokens = peer_report->headroom_tokens;
      peers[count].same_data_centre = true;
      hosts[count++] = i;
    }
  return count;
}

static bool
spill (fleet_t *fleet, const request_t *request, uint32_t from, uint32_t cost,
       bool borrowing, uint32_t *chosen)
{
  csp_peer_candidate_t peers[MAX_HOSTS];
  uint32_t hosts[MAX_HOSTS];
  size_t order[CSP_HANDOFF_MAX_PEERS];
  size_t count = list_peers (fleet, from, borrowing, peers, hosts);
  uint32_t peer;
  size_t i;

  if (borrowing)
    cost += (uint32_t)csp_queue_lending_reserve_tokens (
        fleet->hosts[from].queue);
  count = csp_choose_peers (peers, count, cost, &fleet->random, order);
  for (i = 0; i < count; i++)
    {
      peer = hosts[order[i]];
      if (borrowing
          && (csp_queue_length (fleet->hosts[peer].queue) != 0
              || !may_borrow (fleet, peer, cost)))
        continue;
      if (choose_engine (fleet, request, peer, chosen))
        return true;
    }
  return false;
}

void
dispatch_host_queue (fleet_t *fleet, uint32_t index)
{
  host_t *host = &fleet->hosts[index];
  csp_waiting_request_t waiting;
  bool borrowing;
  bool may_use_own_engines;
  request_t *request;
  uint32_t engine = 0;

  csp_begin_pump (host->queue, fleet_now_ms (fleet));
  while (csp_next_waiting (host->queue, &waiting, &borrowing))
    {
      request = &fleet->requests[waiting.id - 1];
      may_use_own_engines
          = !borrowing || may_borrow (fleet, index, waiting.memory_tokens);
      if ((may_use_own_engines
           && choose_engine (fleet, request, index, &engine))
          || spill (fleet, request, index, waiting.memory_tokens, borrowing,
                    &engine))
        {
          csp_take_waiting (host->queue, fleet_now_ms (fleet));
          request->charged_tokens = waiting.cost_tokens;
          request->charged_memory_tokens = waiting.memory_tokens;
          send_request (fleet, request, engine);
        }
      else
        csp_skip_waiting (host->queue);
    }
}

void
enqueue_at_random_host (fleet_t *fleet, request_t *request)
{
  csp_waiting_request_t waiting;
  csp_error_t error;

  request->host = csp_random_below (&fleet->random, fleet->settings->hosts);
  waiting = make_waiting (fleet, request);
  request->phase = REQUEST_REFUSED;
  if (!csp_push_waiting (fleet->hosts[request->host].queue, &waiting,
                         fleet_now_ms (fleet), &error))
    return;
  request->phase = REQUEST_WAITING;
  dispatch_host_queue (fleet, request->host);
}

void
expire_host (fleet_t *fleet, host_t *host)
{
  csp_waiting_request_t waiting;
  csp_error_t error;

  while (
      csp_expire_waiting (host->queue, fleet_now_ms (fleet), &waiting, &error))
    fleet->requests[waiting.id - 1].phase = REQUEST_GIVEN_UP;
}

void
exchange_reports (fleet_t *fleet)
{
  csp_load_report_t *ring;
  const csp_load_report_t *delayed;
  uint64_t lag
      = (uint64_t)(fleet->settings->report_lag_us / REPORT_INTERVAL_US);
  uint32_t i;

  fleet->report_number++;
  for (i = 0; i < fleet->engine_count; i++)
    {
      if (fleet->engines[i].failed)
        continue;
      ring = fleet->reports[i];
      ring[fleet->report_number % REPORT_RING_SIZE] = (csp_load_report_t){
        .sequence = fleet->report_number,
        .memory_tokens = fleet->engines[i].shape.memory_tokens,
        .used_tokens = fleet->engines[i].used_tokens,
        .running = fleet->engines[i].running_count,
        .waiting = fleet->engines[i].waiting_count,
        .preemptions = fleet->engines[i].preemptions,
      };
      delayed = &ring[(fleet->report_number - lag) % REPORT_RING_SIZE];
      if (delayed->sequence != 0)
        csp_apply_load_report (fleet->ledgers[i], delayed,
                               fleet_now_ms (fleet));
    }
  for (i = 0; i < fleet->settings->hosts; i++)
    {
      fleet->hosts[i].last_report.headroom_tokens
          = (uint32_t)host_free_tokens (fleet, i);
      fleet->hosts[i].last_report.waiting
          = csp_queue_length (fleet->hosts[i].queue);
    }
}

/* Gives the host the median token gap over all hosts and the number of targets
   whose share the other hosts have reduced.  */
static void
share_health (fleet_t *fleet, uint32_t host)
{
  double medians[MAX_HOSTS];
  double median_ms;
  uint32_t count = 0;
  uint32_t targets = 0;
  uint32_t reduced_targets = 0;
  uint32_t i;
  uint32_t j;

  for (i = 0; i < fleet->settings->hosts; i++)
    {
      median_ms = csp_health_median_ms (fleet->hosts[i].health);
      for (j = count; median_ms > 0 && j > 0 && medians[j - 1] > median_ms;
           j--)
        medians[j] = medians[j - 1];
      if (median_ms > 0)
        {
          medians[j] = median_ms;
          count++;
        }
      if (i != host)
        reduced_targets += csp_count_reduced_targets (fleet->hosts[i].health);
    }
  for (i = 0; i < fleet->engine_count; i++)
    targets += host_of_engine (fleet, i) != host;
  csp_set_fleet_health (fleet->hosts[host].health,
                        count > 2 ? medians[count / 2] : 0, targets,
                        reduced_targets);
}

/* Gives the host the tokens that each organisation has in flight at the other
   hosts.  */
static void
share_in_flight (fleet_t *fleet, uint32_t host)
{
  uint64_t elsewhere;
  uint32_t organisation;
  uint32_t i;

  if (fleet->settings->no_in_flight_reports)
    return;
  for (organisation = 0; organisation < ORGANISATIONS; organisation++)
    {
      elsewhere = 0;
      for (i = 0; i < fleet->settings->hosts; i++)
        if (i != host)
          elsewhere += csp_queue_in_flight_tokens (fleet->hosts[i].queue,
                                                   organisation);
      csp_set_in_flight_elsewhere (fleet->hosts[host].queue, organisation,
                                   elsewhere);
    }
}

void
update_health_and_in_flight (fleet_t *fleet)
{
  uint32_t i;

  for (i = 0; i < fleet->settings->hosts; i++)
    {
      share_health (fleet, i);
      share_in_flight (fleet, i);
      csp_update_health (fleet->hosts[i].health, fleet_now_ms (fleet));
    }
}
