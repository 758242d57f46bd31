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
          .given_way = request->given_way,
          .repeatable = true };

  return stream;
}

/* Admission switched off: any engine whose free memory takes the prompt.  */
static bool
choose_by_free_memory (fleet_t *fleet, const request_t *request, uint32_t host,
                       uint32_t *chosen)
{
  uint32_t most = request->prompt_tokens + ENGINE_MAX_RUNNING;
  uint32_t used;
  uint32_t room;
  uint32_t i;
  bool found = false;

  for (i = host; i < fleet->engine_count; i += fleet->play->hosts)
    {
      used = csp_ledger_used_tokens (fleet->ledgers[i]);
      room = fleet->engines[i].shape.memory_tokens;
      room = room > used ? room - used : 0;
      if (fleet->engines[i].dead || room <= most)
        continue;
      most = room;
      *chosen = i;
      found = true;
    }
  return found;
}

/* Placement switched off: any engine that admits, drawn at random.  */
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
describe_engine (fleet_t *fleet, const request_t *request, uint32_t host,
                 uint32_t engine, csp_candidate_t *candidate)
{
  csp_shift_policy_t shift = csp_default_shift_policy ();
  csp_health_t *health = fleet->hosts[host].health;

  candidate->ledger = fleet->ledgers[engine];
  candidate->open = csp_move_shift (&fleet->shifts[engine], &shift, true,
                                    fleet_now_ms (fleet));
  candidate->slowness = 1;
  candidate->cached_tokens = 0;
  if (!fleet->play->no_prefixes)
    candidate->cached_tokens
        = csp_cached_tokens (&fleet->prefixes[engine], request->prefix);
  if (candidate->cached_tokens > request->prefix_tokens)
    candidate->cached_tokens = request->prefix_tokens;
  if (fleet->play->no_health)
    return;
  candidate->open *= csp_health_open (health, engine);
  candidate->slowness = csp_health_slowness (health, engine);
  if (csp_take_probe (health, engine,
                      csp_ledger_streams (fleet->ledgers[engine]),
                      fleet_now_ms (fleet)))
    candidate->open = 1;
}

static bool
choose_engine (fleet_t *fleet, const request_t *request, uint32_t host,
               uint32_t *chosen)
{
  csp_candidate_t candidates[MOST_ENGINES];
  uint32_t engines[MOST_ENGINES];
  csp_stream_t stream = stream_of_request (fleet, request, host);
  uint32_t count = 0;
  uint32_t i;
  uint32_t best = 0;
  bool found;

  if (fleet->play->no_admission)
    return choose_by_free_memory (fleet, request, host, chosen);
  for (i = host; i < fleet->engine_count; i += fleet->play->hosts)
    if (!fleet->engines[i].dead)
      {
        engines[count] = i;
        describe_engine (fleet, request, host, i, &candidates[count++]);
      }
  if (count == 0)
    return false;
  if (fleet->play->no_placement)
    found = choose_at_random (fleet, candidates, count, &stream, &best);
  else
    found = csp_choose_target (&fleet->play->placement, candidates, count,
                               &stream, fleet_now_ms (fleet), &best);
  *chosen = engines[best];
  return found;
}

static csp_waiting_t
describe_waiting (const fleet_t *fleet, const request_t *request)
{
  const host_t *host = &fleet->hosts[request->host];
  csp_waiting_t waiting
      = { .id = request->id,
          .organisation = fleet->play->no_fairness ? 0 : request->organisation,
          .priority = request->priority,
          .start_by_ms = 1000 + request->start_by_us / 1000 };

  waiting.cost_tokens
      = request->prompt_tokens
        + (uint32_t)csp_expect_tokens_left (
            host->lengths, host->keys[request->class_index], 0);
  return waiting;
}

/* Streams without a token go back to the queue before their engine must
   preempt.  */
static void
take_back (fleet_t *fleet, uint32_t engine)
{
  csp_preemption_policy_t policy = csp_default_preemption_policy ();
  uint32_t handles[MOST_VICTIMS];
  csp_stream_state_t state;
  csp_waiting_t waiting;
  csp_error_t error;
  request_t *request;
  uint32_t count;
  uint32_t i;

  count = csp_choose_victims (&policy, fleet->ledgers[engine],
                              fleet_now_ms (fleet), handles, MOST_VICTIMS);
  for (i = 0; i < count; i++)
    {
      if (!csp_ledger_stream (fleet->ledgers[engine], handles[i], &state))
        continue;
      request = &fleet->requests[state.stream.id - 1];
      cancel_request (&fleet->engines[engine], request);
      csp_remove_stream (fleet->ledgers[engine], handles[i], CSP_LENGTH_CUT,
                         fleet_now_ms (fleet));
      csp_settle_waiting (fleet->hosts[request->host].queue,
                          request->organisation, request->charged_tokens, 0,
                          fleet_now_ms (fleet));
      request->given_way++;
      request->phase = REQUEST_GIVEN_UP;
      waiting = describe_waiting (fleet, request);
      if (csp_push_waiting (fleet->hosts[request->host].queue, &waiting,
                            fleet_now_ms (fleet), &error))
        request->phase = REQUEST_WAITING;
    }
}

void
take_back_streams (fleet_t *fleet)
{
  uint32_t i;

  if (fleet->play->no_preemption)
    return;
  for (i = 0; i < fleet->engine_count; i++)
    if (!fleet->engines[i].dead)
      take_back (fleet, i);
}

static uint64_t
host_free_tokens (const fleet_t *fleet, uint32_t host)
{
  uint64_t total = 0;
  uint32_t i;

  for (i = host; i < fleet->engine_count; i += fleet->play->hosts)
    if (!fleet->engines[i].dead)
      total += csp_ledger_headroom_tokens (fleet->ledgers[i], CSP_PRIORITY_MAX,
                                           fleet_now_ms (fleet));
  return total;
}

static bool
may_borrow (const fleet_t *fleet, uint32_t host, uint32_t cost_tokens)
{
  uint64_t kept = csp_queue_kept_tokens (fleet->hosts[host].queue);

  if (fleet->play->no_admission)
    return true;
  return host_free_tokens (fleet, host) >= kept + cost_tokens;
}

/* Offers of the other hosts, by what they told last; a borrower goes only
   where nothing waits.  */
static size_t
list_offers (const fleet_t *fleet, uint32_t from, bool borrowing,
             csp_peer_offer_t offers[MOST_HOSTS], uint32_t hosts[MOST_HOSTS])
{
  const told_t *told;
  size_t count = 0;
  uint32_t i;

  for (i = 0; i < fleet->play->hosts; i++)
    {
      told = &fleet->hosts[i].told;
      if (i == from || (borrowing && told->waiting != 0))
        continue;
      offers[count].headroom_tokens = told->headroom_tokens;
      offers[count].same_data_centre = true;
      hosts[count++] = i;
    }
  return count;
}

static bool
spill (fleet_t *fleet, const request_t *request, uint32_t from, uint32_t cost,
       bool borrowing, uint32_t *chosen)
{
  csp_peer_offer_t offers[MOST_HOSTS];
  uint32_t hosts[MOST_HOSTS];
  size_t order[CSP_HANDOFF_MAX_PEERS];
  size_t count = list_offers (fleet, from, borrowing, offers, hosts);
  uint32_t peer;
  size_t i;

  if (borrowing)
    cost += (uint32_t)csp_queue_kept_tokens (fleet->hosts[from].queue);
  count = csp_choose_peers (offers, count, cost, &fleet->random, order);
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
pump_host (fleet_t *fleet, uint32_t index)
{
  host_t *host = &fleet->hosts[index];
  csp_waiting_t waiting;
  bool borrowing;
  bool own;
  request_t *request;
  uint32_t engine = 0;

  csp_begin_pump (host->queue, fleet_now_ms (fleet));
  while (csp_next_waiting (host->queue, &waiting, &borrowing))
    {
      request = &fleet->requests[waiting.id - 1];
      own = !borrowing || may_borrow (fleet, index, waiting.cost_tokens);
      if ((own && choose_engine (fleet, request, index, &engine))
          || spill (fleet, request, index, waiting.cost_tokens, borrowing,
                    &engine))
        {
          csp_take_waiting (host->queue, fleet_now_ms (fleet));
          request->charged_tokens = waiting.cost_tokens;
          send_request (fleet, request, engine);
        }
      else
        csp_skip_waiting (host->queue);
    }
}

void
dispatch_decisions (fleet_t *fleet, request_t *request)
{
  csp_waiting_t waiting;
  csp_error_t error;

  request->host = csp_random_below (&fleet->random, fleet->play->hosts);
  waiting = describe_waiting (fleet, request);
  request->phase = REQUEST_REFUSED;
  if (!csp_push_waiting (fleet->hosts[request->host].queue, &waiting,
                         fleet_now_ms (fleet), &error))
    return;
  request->phase = REQUEST_WAITING;
  pump_host (fleet, request->host);
}

void
expire_host (fleet_t *fleet, host_t *host)
{
  csp_waiting_t waiting;
  csp_error_t error;

  while (
      csp_expire_waiting (host->queue, fleet_now_ms (fleet), &waiting, &error))
    fleet->requests[waiting.id - 1].phase = REQUEST_GIVEN_UP;
}

void
take_reports (fleet_t *fleet)
{
  csp_load_report_t *ring;
  const csp_load_report_t *late;
  uint64_t lag = (uint64_t)(fleet->play->report_lag_us / REPORT_US);
  uint32_t i;

  fleet->report++;
  for (i = 0; i < fleet->engine_count; i++)
    {
      if (fleet->engines[i].dead)
        continue;
      ring = fleet->reports[i];
      ring[fleet->report % REPORT_RING] = (csp_load_report_t){
        .report = fleet->report,
        .memory_tokens = fleet->engines[i].shape.memory_tokens,
        .used_tokens = fleet->engines[i].used_tokens,
        .running = fleet->engines[i].running_count,
        .waiting = fleet->engines[i].waiting_count,
        .preemptions = fleet->engines[i].preemptions,
      };
      late = &ring[(fleet->report - lag) % REPORT_RING];
      if (late->report != 0)
        csp_take_report (fleet->ledgers[i], late, fleet_now_ms (fleet));
    }
  for (i = 0; i < fleet->play->hosts; i++)
    {
      fleet->hosts[i].told.headroom_tokens
          = (uint32_t)host_free_tokens (fleet, i);
      fleet->hosts[i].told.waiting = csp_queue_length (fleet->hosts[i].queue);
    }
}

/* Hosts tell each other their medians and what they took out.  */
static void
tell_health (fleet_t *fleet, uint32_t host)
{
  double medians[MOST_HOSTS];
  double median_ms;
  uint32_t count = 0;
  uint32_t targets = 0;
  uint32_t out = 0;
  uint32_t i;
  uint32_t j;

  for (i = 0; i < fleet->play->hosts; i++)
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
        out += csp_health_out (fleet->hosts[i].health);
    }
  for (i = 0; i < fleet->engine_count; i++)
    targets += host_of_engine (fleet, i) != host;
  csp_set_fleet_health (fleet->hosts[host].health,
                        count > 2 ? medians[count / 2] : 0, targets, out);
}

/* What each organisation has in flight at the other hosts.  */
static void
tell_flight (fleet_t *fleet, uint32_t host)
{
  uint64_t elsewhere;
  uint32_t organisation;
  uint32_t i;

  if (fleet->play->no_flight_news)
    return;
  for (organisation = 0; organisation < ORGANISATIONS; organisation++)
    {
      elsewhere = 0;
      for (i = 0; i < fleet->play->hosts; i++)
        if (i != host)
          elsewhere
              += csp_queue_flight_tokens (fleet->hosts[i].queue, organisation);
      csp_set_flight_elsewhere (fleet->hosts[host].queue, organisation,
                                elsewhere);
    }
}

void
weigh_engines (fleet_t *fleet)
{
  uint32_t i;

  for (i = 0; i < fleet->play->hosts; i++)
    {
      tell_health (fleet, i);
      tell_flight (fleet, i);
      csp_weigh_health (fleet->hosts[i].health, fleet_now_ms (fleet));
    }
}
