#include "fleet-imp.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

simulation_settings_t
default_simulation_settings (dispatch_t dispatch)
{
  simulation_settings_t settings
      = { .dispatch = dispatch,
          .fixed_streams = 10,
          .hosts = 1,
          .admission = csp_default_admission_policy (),
          .queue = csp_default_queue_policy (),
          .placement = csp_default_placement_policy (),
          .report_lag_us = 2000000,
          .slow_factor = 1 };

  return settings;
}

int64_t
fleet_now_ms (const fleet_t *fleet)
{
  return 1000 + fleet->now_us / 1000;
}

uint32_t
host_of_engine (const fleet_t *fleet, uint32_t engine)
{
  return engine % fleet->settings->hosts;
}

void
send_request (fleet_t *fleet, request_t *request, uint32_t engine)
{
  uint32_t host = host_of_engine (fleet, engine);
  csp_stream_t stream = stream_of_request (fleet, request, host);

  request->engine = engine;
  if (fleet->settings->dispatch == DISPATCH_DECISIONS)
    request->handle = csp_add_stream (fleet->ledgers[engine], &stream, 0,
                                      fleet_now_ms (fleet));
  csp_note_prefix (&fleet->prefixes[engine], request->prefix,
                   request->prefix_tokens, fleet_now_ms (fleet));
  submit_request (&fleet->engines[engine], request, fleet->now_us);
  start_step (&fleet->engines[engine], fleet->now_us);
  fleet->next_steps.stale[engine / ENGINES_PER_BLOCK] = true;
}

static outcome_t *
outcome_of_class (fleet_t *fleet, const request_t *request)
{
  return &fleet->results->classes[request->class_index];
}

static void
count_gap (gaps_t *gaps, int64_t gap_us)
{
  double ms = (double)gap_us / 1000;
  double bucket = ms <= 10 ? 0 : log (ms / 10) / log (1.02);

  gaps->counts[(uint32_t)fmin (bucket, GAP_BUCKETS - 1)]++;
  gaps->total++;
}

static void
on_token (void *state, request_t *request, int64_t at_us)
{
  fleet_t *fleet = state;
  int64_t gap_us = at_us - request->last_token_us;

  if (request->generated_token_count == 1)
    request->first_token_us = at_us;
  else
    {
      count_gap (&outcome_of_class (fleet, request)->gaps, gap_us);
      count_gap (&fleet->results->organisations[request->organisation].gaps,
                 gap_us);
      if (request->stalled)
        {
          request->stall_us += gap_us;
          request->last_noted_us += gap_us;
        }
    }
  request->stalled = false;
  request->last_token_us = at_us;
  if (fleet->settings->dispatch != DISPATCH_DECISIONS
      || (request->generated_token_count > 1
          && request->generated_token_count
                 < request->last_noted_tokens + NOTE_INTERVAL_TOKENS))
    return;
  if (request->last_noted_tokens != 0)
    csp_note_gaps (
        fleet->hosts[host_of_engine (fleet, request->engine)].health,
        request->engine,
        request->generated_token_count - request->last_noted_tokens,
        (double)(at_us - request->last_noted_us) / 1000
            / (request->generated_token_count - request->last_noted_tokens));
  request->last_noted_tokens = request->generated_token_count;
  request->last_noted_us = at_us;
  csp_note_tokens (fleet->ledgers[request->engine], request->handle,
                   request->generated_token_count, fleet_now_ms (fleet));
}

static void
on_ended (void *state, request_t *request, int64_t at_us)
{
  fleet_t *fleet = state;
  csp_ledger_t *ledger;

  request->phase = REQUEST_DONE;
  request->end_us = at_us;
  if (fleet->settings->dispatch != DISPATCH_DECISIONS)
    return;
  ledger = fleet->ledgers[request->engine];
  csp_note_tokens (ledger, request->handle, request->generated_token_count,
                   fleet_now_ms (fleet));
  csp_remove_stream (ledger, request->handle, CSP_LENGTH_FINISHED,
                     fleet_now_ms (fleet));
  settle_request (fleet, request, request->generated_token_count);
}

static void
fail_engine (fleet_t *fleet, uint32_t index)
{
  engine_t *engine = &fleet->engines[index];
  request_t *request;

  engine->failed = true;
  engine->stepping = false;
  fleet->next_steps.stale[index / ENGINES_PER_BLOCK] = true;
  while (engine->running_count != 0 || engine->waiting != NULL)
    {
      request
          = engine->running_count != 0 ? engine->running[0] : engine->waiting;
      cancel_request (engine, request);
      request->phase = REQUEST_LOST;
      if (fleet->settings->dispatch != DISPATCH_DECISIONS)
        continue;
      csp_remove_stream (fleet->ledgers[index], request->handle,
                         CSP_LENGTH_CUT, fleet_now_ms (fleet));
      settle_request (fleet, request, request->generated_token_count);
    }
}

static void
restore_engine (fleet_t *fleet, uint32_t index)
{
  csp_slow_start_policy_t policy = csp_default_slow_start_policy ();

  fleet->engines[index].failed = false;
  csp_forget_prefixes (&fleet->prefixes[index]);
  if (!fleet->settings->no_slow_start)
    csp_begin_slow_start (&fleet->slow_starts[index], &policy,
                          fleet_now_ms (fleet));
}

static void
tick (fleet_t *fleet)
{
  const simulation_settings_t *settings = fleet->settings;
  uint32_t i;

  if (settings->lost_until_us != 0)
    {
      engine_t *engine = &fleet->engines[settings->faulty_engine];

      if (!engine->failed && fleet->now_us >= settings->lost_from_us
          && fleet->now_us < settings->lost_until_us)
        fail_engine (fleet, settings->faulty_engine);
      if (engine->failed && fleet->now_us >= settings->lost_until_us)
        restore_engine (fleet, settings->faulty_engine);
    }
  if (settings->dispatch != DISPATCH_DECISIONS)
    {
      expire_engine_queues (fleet);
      if (settings->dispatch >= DISPATCH_FIRST_COME)
        dispatch_fifo (fleet);
      return;
    }
  if (fleet->now_us % REPORT_INTERVAL_US == 0)
    {
      exchange_reports (fleet);
      update_health_and_in_flight (fleet);
    }
  requeue_victims (fleet);
  for (i = 0; i < settings->hosts; i++)
    {
      expire_host (fleet, &fleet->hosts[i]);
      dispatch_host_queue (fleet, i);
    }
}

static void
step_engine (fleet_t *fleet, uint32_t index)
{
  engine_events_t events = { on_token, on_ended, fleet };
  engine_t *engine = &fleet->engines[index];
  uint32_t running_before = engine->running_count;

  finish_step (engine, fleet->now_us, &events);
  if (engine->running_count < running_before)
    {
      if (fleet->settings->dispatch == DISPATCH_DECISIONS)
        dispatch_host_queue (fleet, host_of_engine (fleet, index));
      else if (fleet->settings->dispatch >= DISPATCH_FIRST_COME)
        dispatch_fifo (fleet);
    }
  start_step (engine, fleet->now_us);
  fleet->next_steps.stale[index / ENGINES_PER_BLOCK] = true;
}

static void
set_up_hosts (fleet_t *fleet)
{
  csp_length_policy_t lengths = csp_default_length_policy ();
  csp_health_policy_t health = csp_default_health_policy ();
  uint64_t memory;
  uint32_t i;
  uint32_t j;
  host_t *host;

  if (fleet->settings->no_learning)
    lengths.prior_weight = 1e12;
  for (i = 0; i < fleet->settings->hosts; i++)
    {
      host = &fleet->hosts[i];
      host->lengths = csp_create_lengths (&lengths);
      host->queue = csp_create_queue (&fleet->settings->queue);
      host->health = csp_create_health (&health, fleet->engine_count);
      for (j = 0; j < CLASS_COUNT; j++)
        host->keys[j]
            = csp_get_length_key (host->lengths, "m", class_names[j]);
      for (j = 0; j < ORGANISATIONS; j++)
        csp_set_weight (host->queue, j, 1);
      memory = (uint64_t)fleet->engine_count
               * default_engine_shape ().memory_tokens;
      csp_set_capacity (host->queue, memory / fleet->settings->hosts);
      if (!fleet->settings->no_in_flight_reports)
        csp_set_pool_memory (host->queue, memory);
    }
}

static void
set_up_fleet (fleet_t *fleet)
{
  uint32_t i;

  fleet->engines = calloc (fleet->engine_count, sizeof *fleet->engines);
  fleet->ledgers = calloc (fleet->engine_count, sizeof (csp_ledger_t *));
  fleet->reports = calloc (fleet->engine_count, sizeof *fleet->reports);
  fleet->prefixes = calloc (fleet->engine_count, sizeof *fleet->prefixes);
  fleet->slow_starts
      = calloc (fleet->engine_count, sizeof *fleet->slow_starts);
  fleet->fifo = calloc (fleet->request_count + 1, sizeof (request_t *));
  csp_seed_random (&fleet->random, 11);
  memset (fleet->next_steps.stale, true, sizeof fleet->next_steps.stale);
  set_up_hosts (fleet);
  for (i = 0; i < fleet->engine_count; i++)
    {
      fleet->engines[i].shape = default_engine_shape ();
      fleet->engines[i].slowness = 1;
      csp_skip_slow_start (&fleet->slow_starts[i]);
      fleet->ledgers[i] = csp_create_ledger (
          &fleet->settings->admission,
          fleet->hosts[host_of_engine (fleet, i)].lengths);
    }
  if (fleet->settings->lost_until_us == 0)
    fleet->engines[fleet->settings->faulty_engine].slowness
        = fleet->settings->slow_factor;
}

static void
tear_down_fleet (fleet_t *fleet)
{
  uint32_t i;

  for (i = 0; i < fleet->engine_count; i++)
    csp_destroy_ledger (fleet->ledgers[i]);
  for (i = 0; i < fleet->settings->hosts; i++)
    {
      csp_destroy_queue (fleet->hosts[i].queue);
      csp_destroy_health (fleet->hosts[i].health);
      csp_destroy_lengths (fleet->hosts[i].lengths);
    }
  free (fleet->engines);
  free (fleet->ledgers);
  free (fleet->reports);
  free (fleet->prefixes);
  free (fleet->slow_starts);
  free (fleet->fifo);
  free (fleet->requests);
}

static void
update_block (fleet_t *fleet, uint32_t block)
{
  next_steps_t *blocks = &fleet->next_steps;
  uint32_t i = block * ENGINES_PER_BLOCK;
  uint32_t end = i + ENGINES_PER_BLOCK;

  blocks->stale[block] = false;
  blocks->earliest_us[block] = INT64_MAX;
  for (; i < end && i < fleet->engine_count; i++)
    if (fleet->engines[i].stepping
        && fleet->engines[i].step_end_us < blocks->earliest_us[block])
      {
        blocks->earliest_us[block] = fleet->engines[i].step_end_us;
        blocks->earliest_engine[block] = i;
      }
}

static int64_t
find_next_step (fleet_t *fleet, uint32_t *engine)
{
  next_steps_t *blocks = &fleet->next_steps;
  int64_t least = INT64_MAX;
  uint32_t i;

  for (i = 0; i * ENGINES_PER_BLOCK < fleet->engine_count; i++)
    {
      if (blocks->stale[i])
        update_block (fleet, i);
      if (blocks->earliest_us[i] < least)
        {
          least = blocks->earliest_us[i];
          *engine = blocks->earliest_engine[i];
        }
    }
  return least;
}

static void
handle_arrival (fleet_t *fleet, request_t *request)
{
  if (fleet->settings->dispatch == DISPATCH_DECISIONS)
    enqueue_at_random_host (fleet, request);
  else
    dispatch_baseline (fleet, request);
}

void
simulate_fleet (const simulation_settings_t *settings,
                const arrivals_plan_t *plan, results_t *results)
{
  fleet_t fleet = { .settings = settings, .results = results };
  engine_shape_t shape = default_engine_shape ();
  int64_t tick_us = 0;
  int64_t step_us;
  uint32_t arrived = 0;
  uint32_t engine = 0;

  memset (results, 0, sizeof *results);
  results->seconds = (double)plan->duration_us / 1e6;
  fleet.engine_count = settings->engines ? settings->engines : plan->engines;
  fleet.requests = make_arrivals (plan, &shape, &fleet.request_count);
  set_up_fleet (&fleet);
  while (tick_us <= plan->duration_us)
    {
      step_us = find_next_step (&fleet, &engine);
      if (arrived < fleet.request_count
          && fleet.requests[arrived].arrive_us <= step_us
          && fleet.requests[arrived].arrive_us <= tick_us)
        {
          fleet.now_us = fleet.requests[arrived].arrive_us;
          handle_arrival (&fleet, &fleet.requests[arrived++]);
        }
      else if (step_us <= tick_us)
        {
          fleet.now_us = step_us;
          step_engine (&fleet, engine);
        }
      else
        {
          fleet.now_us = tick_us;
          tick (&fleet);
          tick_us += TICK_US;
        }
    }
  count_outcomes (&fleet);
  tear_down_fleet (&fleet);
}
