#include "fleet.h"

#include "cowslipspoke/random.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TICK_US = 100000,
  REPORT_US = 1000000,
  NOTE_TOKENS = 16,
  MOST_HOSTS = 32,
  REPORT_RING = 8,
  DRAIN_US = 120000000
};

/* One host: the requests that came to it, and the engines that it owns.  */
typedef struct
{
  csp_lengths_t *lengths;
  uint32_t keys[CLASS_COUNT];
  csp_queue_t *queue;
  request_t **waiting;
  uint32_t headroom_tokens;
} host_t;

typedef struct
{
  const play_t *play;
  engine_t *engines;
  csp_ledger_t **ledgers;
  csp_load_report_t (*reports)[REPORT_RING];
  uint32_t engine_count;
  host_t hosts[MOST_HOSTS];
  request_t *requests;
  uint32_t request_count;
  request_t **fifo;
  uint32_t fifo_head;
  uint32_t fifo_tail;
  uint32_t next_engine;
  csp_random_t random;
  results_t *results;
  int64_t now_us;
  uint64_t report;
} fleet_t;

play_t
default_play (dispatch_t dispatch)
{
  play_t play = { .dispatch = dispatch,
                  .fixed_streams = 10,
                  .hosts = 1,
                  .admission = csp_default_admission_policy (),
                  .queue = csp_default_queue_policy (),
                  .report_lag_us = 2000000,
                  .slow_factor = 1 };

  return play;
}

static int64_t
now_ms (const fleet_t *fleet)
{
  return 1000 + fleet->now_us / 1000;
}

static csp_stream_t
stream_of (const fleet_t *fleet, const request_t *request, uint32_t host)
{
  csp_stream_t stream
      = { .id = request->id,
          .length_key = fleet->hosts[host].keys[request->class_index],
          .prompt_tokens = request->prompt_tokens,
          .priority = request->priority };

  return stream;
}

static uint32_t
host_of_engine (const fleet_t *fleet, uint32_t engine)
{
  return engine % fleet->play->hosts;
}

static void
send_request (fleet_t *fleet, request_t *request, uint32_t engine)
{
  uint32_t host = host_of_engine (fleet, engine);
  csp_stream_t stream = stream_of (fleet, request, host);

  request->engine = engine;
  if (fleet->play->dispatch == DISPATCH_DECISIONS)
    request->handle
        = csp_add_stream (fleet->ledgers[engine], &stream, 0, now_ms (fleet));
  submit_request (&fleet->engines[engine], request, fleet->now_us);
  start_step (&fleet->engines[engine], fleet->now_us);
}

/* ---- baselines ---- */

static uint32_t
least_outstanding (const fleet_t *fleet)
{
  uint32_t best = 0;
  uint32_t least = UINT32_MAX;
  uint32_t count;
  uint32_t i;

  for (i = 0; i < fleet->engine_count; i++)
    {
      count
          = fleet->engines[i].running_count + fleet->engines[i].waiting_count;
      if (!fleet->engines[i].dead && count < least)
        {
          least = count;
          best = i;
        }
    }
  return best;
}

/* The engine with most free memory that can take the prompt now.  */
static bool
engine_with_room (const fleet_t *fleet, const request_t *request,
                  uint32_t *chosen)
{
  uint32_t most = 0;
  uint32_t free_tokens;
  uint32_t i;
  const engine_t *engine;
  bool fixed = fleet->play->dispatch == DISPATCH_FIXED_STREAMS;

  for (i = 0; i < fleet->engine_count; i++)
    {
      engine = &fleet->engines[i];
      if (engine->dead || engine->waiting_count != 0
          || (fixed && engine->running_count >= fleet->play->fixed_streams))
        continue;
      free_tokens = engine->shape.memory_tokens - engine->used_tokens;
      if (engine->used_tokens < engine->shape.memory_tokens
          && free_tokens > most)
        {
          most = free_tokens;
          *chosen = i;
        }
    }
  return most > request->prompt_tokens + ENGINE_MAX_RUNNING;
}

static void
pump_fifo (fleet_t *fleet)
{
  request_t *request;
  uint32_t engine = 0;

  while (fleet->fifo_head < fleet->fifo_tail)
    {
      request = fleet->fifo[fleet->fifo_head];
      if (request->phase == REQUEST_WAITING)
        {
          if (fleet->now_us > request->start_by_us)
            request->phase = REQUEST_GIVEN_UP;
          else if (engine_with_room (fleet, request, &engine))
            send_request (fleet, request, engine);
          else
            return;
        }
      fleet->fifo_head++;
    }
}

static void
dispatch_baseline (fleet_t *fleet, request_t *request)
{
  uint32_t tries = 0;

  switch (fleet->play->dispatch)
    {
    case DISPATCH_ROUND_ROBIN:
      do
        fleet->next_engine = (fleet->next_engine + 1) % fleet->engine_count;
      while (fleet->engines[fleet->next_engine].dead
             && ++tries < fleet->engine_count);
      send_request (fleet, request, fleet->next_engine);
      break;
    case DISPATCH_LEAST_OUTSTANDING:
      send_request (fleet, request, least_outstanding (fleet));
      break;
    default:
      request->phase = REQUEST_WAITING;
      fleet->fifo[fleet->fifo_tail++] = request;
      pump_fifo (fleet);
      break;
    }
}

/* Callers of the baselines leave as well when their time is over.  */
static void
leave_engine_queues (fleet_t *fleet)
{
  uint32_t i;
  request_t *request;
  request_t *next;

  for (i = 0; i < fleet->engine_count; i++)
    for (request = fleet->engines[i].waiting; request != NULL; request = next)
      {
        next = request->next;
        if (request->made_tokens == 0 && request->preempted == 0
            && fleet->now_us > request->start_by_us)
          {
            cancel_request (&fleet->engines[i], request);
            request->phase = REQUEST_GIVEN_UP;
          }
      }
}

/* ---- the decisions ---- */

static bool
admits (const fleet_t *fleet, const request_t *request, uint32_t host,
        uint32_t engine)
{
  csp_stream_t stream = stream_of (fleet, request, host);
  const engine_t *model = &fleet->engines[engine];

  if (fleet->play->no_admission)
    return csp_ledger_used_tokens (fleet->ledgers[engine])
               + request->prompt_tokens + ENGINE_MAX_RUNNING
           < model->shape.memory_tokens;
  return csp_decide_admission (fleet->ledgers[engine], &stream, now_ms (fleet))
         == CSP_ADMIT;
}

static bool
choose_engine (fleet_t *fleet, const request_t *request, uint32_t host,
               uint32_t *chosen)
{
  double best = -1;
  double score;
  uint32_t i;
  uint32_t hosts = fleet->play->hosts;

  for (i = host; i < fleet->engine_count; i += hosts)
    {
      if (fleet->engines[i].dead || !admits (fleet, request, host, i))
        continue;
      score = fleet->engines[i].shape.memory_tokens
              - csp_ledger_used_tokens (fleet->ledgers[i]);
      if (fleet->play->no_placement)
        score = csp_random_unit (&fleet->random);
      if (score > best)
        {
          best = score;
          *chosen = i;
        }
    }
  return best >= 0;
}

static bool
spill (fleet_t *fleet, const request_t *request, uint32_t from,
       uint32_t *chosen)
{
  uint32_t first = csp_random_below (&fleet->random, fleet->play->hosts);
  uint32_t second = csp_random_below (&fleet->random, fleet->play->hosts);
  uint32_t peer = first;

  if (fleet->hosts[second].headroom_tokens
      > fleet->hosts[first].headroom_tokens)
    peer = second;
  if (peer == from || csp_queue_length (fleet->hosts[peer].queue) != 0)
    return false;
  return choose_engine (fleet, request, peer, chosen);
}

static uint64_t
host_free_tokens (const fleet_t *fleet, uint32_t host)
{
  uint64_t total = 0;
  uint32_t i;

  for (i = host; i < fleet->engine_count; i += fleet->play->hosts)
    if (fleet->engines[i].dead)
      continue;
    else if (fleet->play->no_admission)
      total += default_engine_shape ().memory_tokens
               - csp_ledger_used_tokens (fleet->ledgers[i]);
    else
      total += csp_ledger_headroom_tokens (fleet->ledgers[i], CSP_PRIORITY_MAX,
                                           now_ms (fleet));
  return total;
}

static void
pump_host (fleet_t *fleet, uint32_t index)
{
  host_t *host = &fleet->hosts[index];
  csp_waiting_t waiting;
  bool borrowing;
  request_t *request;
  uint32_t engine;

  csp_begin_pump (host->queue, now_ms (fleet));
  while (csp_next_waiting (host->queue, &waiting, &borrowing))
    {
      request = &fleet->requests[waiting.id - 1];
      if (borrowing
          && host_free_tokens (fleet, index)
                 < csp_queue_kept_tokens (host->queue) + waiting.cost_tokens)
        {
          csp_skip_waiting (host->queue);
          continue;
        }
      if (choose_engine (fleet, request, index, &engine)
          || spill (fleet, request, index, &engine))
        {
          csp_take_waiting (host->queue, now_ms (fleet));
          request->charged_tokens = waiting.cost_tokens;
          send_request (fleet, request, engine);
        }
      else
        csp_skip_waiting (host->queue);
    }
}

static void
dispatch_decisions (fleet_t *fleet, request_t *request)
{
  host_t *host;
  csp_waiting_t waiting = { .id = request->id,
                            .organisation = request->organisation,
                            .priority = request->priority };
  csp_error_t error;

  request->host = csp_random_below (&fleet->random, fleet->play->hosts);
  host = &fleet->hosts[request->host];
  waiting.cost_tokens
      = request->prompt_tokens
        + (uint32_t)csp_expect_tokens_left (
            host->lengths, host->keys[request->class_index], 0);
  waiting.start_by_ms = 1000 + request->start_by_us / 1000;
  if (fleet->play->no_fairness)
    waiting.organisation = 0;
  if (!csp_push_waiting (host->queue, &waiting, now_ms (fleet), &error))
    {
      request->phase = REQUEST_REFUSED;
      return;
    }
  request->phase = REQUEST_WAITING;
  pump_host (fleet, request->host);
}

static void
expire_host (fleet_t *fleet, host_t *host)
{
  csp_waiting_t waiting;
  csp_error_t error;

  while (csp_expire_waiting (host->queue, now_ms (fleet), &waiting, &error))
    fleet->requests[waiting.id - 1].phase = REQUEST_GIVEN_UP;
}

/* ---- events ---- */

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
  int64_t gap_us = at_us - request->last_us;

  if (request->made_tokens == 1)
    request->first_us = at_us;
  else
    {
      count_gap (&outcome_of_class (fleet, request)->gaps, gap_us);
      count_gap (&fleet->results->organisations[request->organisation].gaps,
                 gap_us);
      if (request->stalled)
        request->stall_us += gap_us;
    }
  request->stalled = false;
  request->last_us = at_us;
  if (fleet->play->dispatch != DISPATCH_DECISIONS
      || (request->made_tokens > 1
          && request->made_tokens < request->noted_tokens + NOTE_TOKENS))
    return;
  request->noted_tokens = request->made_tokens;
  csp_note_tokens (fleet->ledgers[request->engine], request->handle,
                   request->made_tokens, now_ms (fleet));
}

static void
on_ended (void *state, request_t *request, int64_t at_us)
{
  fleet_t *fleet = state;
  csp_ledger_t *ledger;

  request->phase = REQUEST_DONE;
  request->end_us = at_us;
  if (fleet->play->dispatch != DISPATCH_DECISIONS)
    return;
  ledger = fleet->ledgers[request->engine];
  csp_note_tokens (ledger, request->handle, request->made_tokens,
                   now_ms (fleet));
  csp_remove_stream (ledger, request->handle, CSP_LENGTH_FINISHED,
                     now_ms (fleet));
  csp_settle_waiting (fleet->hosts[request->host].queue,
                      fleet->play->no_fairness ? 0 : request->organisation,
                      request->charged_tokens,
                      request->prompt_tokens + request->made_tokens,
                      now_ms (fleet));
}

static void
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
        csp_take_report (fleet->ledgers[i], late, now_ms (fleet));
    }
  for (i = 0; i < fleet->play->hosts; i++)
    fleet->hosts[i].headroom_tokens = (uint32_t)host_free_tokens (fleet, i);
}

static void
lose_engine (fleet_t *fleet, uint32_t index)
{
  engine_t *engine = &fleet->engines[index];
  request_t *request;

  engine->dead = true;
  engine->stepping = false;
  while (engine->running_count != 0 || engine->waiting != NULL)
    {
      request
          = engine->running_count != 0 ? engine->running[0] : engine->waiting;
      cancel_request (engine, request);
      request->phase = REQUEST_LOST;
      if (fleet->play->dispatch != DISPATCH_DECISIONS)
        continue;
      csp_remove_stream (fleet->ledgers[index], request->handle,
                         CSP_LENGTH_CUT, now_ms (fleet));
      csp_settle_waiting (fleet->hosts[request->host].queue,
                          request->organisation, request->charged_tokens,
                          request->prompt_tokens + request->made_tokens,
                          now_ms (fleet));
    }
}

static void
tick (fleet_t *fleet)
{
  const play_t *play = fleet->play;
  uint32_t i;

  if (play->lost_until_us != 0)
    {
      engine_t *engine = &fleet->engines[play->slow_engine];

      if (!engine->dead && fleet->now_us >= play->lost_from_us
          && fleet->now_us < play->lost_until_us)
        lose_engine (fleet, play->slow_engine);
      if (engine->dead && fleet->now_us >= play->lost_until_us)
        engine->dead = false;
    }
  if (play->dispatch != DISPATCH_DECISIONS)
    {
      leave_engine_queues (fleet);
      if (play->dispatch >= DISPATCH_FIRST_COME)
        pump_fifo (fleet);
      return;
    }
  if (fleet->now_us % REPORT_US == 0)
    take_reports (fleet);
  for (i = 0; i < play->hosts; i++)
    {
      expire_host (fleet, &fleet->hosts[i]);
      pump_host (fleet, i);
    }
}

static void
step_engine (fleet_t *fleet, uint32_t index)
{
  engine_events_t events = { on_token, on_ended, fleet };
  engine_t *engine = &fleet->engines[index];
  uint32_t before = engine->running_count;

  finish_step (engine, fleet->now_us, &events);
  if (engine->running_count < before)
    {
      if (fleet->play->dispatch == DISPATCH_DECISIONS)
        pump_host (fleet, host_of_engine (fleet, index));
      else if (fleet->play->dispatch >= DISPATCH_FIRST_COME)
        pump_fifo (fleet);
    }
  start_step (engine, fleet->now_us);
}

/* ---- set-up and the loop ---- */

static void
set_up_hosts (fleet_t *fleet)
{
  csp_length_policy_t lengths = csp_default_length_policy ();
  uint64_t memory = 0;
  uint32_t i;
  uint32_t j;
  host_t *host;

  if (fleet->play->no_learning)
    lengths.start_weight = 1e12;
  for (i = 0; i < fleet->play->hosts; i++)
    {
      host = &fleet->hosts[i];
      host->lengths = csp_create_lengths (&lengths);
      host->queue = csp_create_queue (&fleet->play->queue);
      for (j = 0; j < CLASS_COUNT; j++)
        host->keys[j]
            = csp_find_length_key (host->lengths, "m", class_names[j]);
      for (j = 0; j < ORGANISATIONS; j++)
        csp_set_weight (host->queue, j, 1);
      memory = 0;
      for (j = i; j < fleet->engine_count; j += fleet->play->hosts)
        memory += default_engine_shape ().memory_tokens;
      csp_set_capacity (host->queue, memory);
    }
}

static void
set_up (fleet_t *fleet)
{
  uint32_t i;

  fleet->engines = calloc (fleet->engine_count, sizeof *fleet->engines);
  fleet->ledgers = calloc (fleet->engine_count, sizeof (csp_ledger_t *));
  fleet->reports = calloc (fleet->engine_count, sizeof *fleet->reports);
  fleet->fifo = calloc (fleet->request_count + 1, sizeof (request_t *));
  csp_seed_random (&fleet->random, 11);
  set_up_hosts (fleet);
  for (i = 0; i < fleet->engine_count; i++)
    {
      fleet->engines[i].shape = default_engine_shape ();
      fleet->engines[i].slowness = 1;
      fleet->ledgers[i] = csp_create_ledger (
          &fleet->play->admission,
          fleet->hosts[host_of_engine (fleet, i)].lengths);
    }
  if (fleet->play->lost_until_us == 0)
    fleet->engines[fleet->play->slow_engine].slowness
        = fleet->play->slow_factor;
}

static void
tear_down (fleet_t *fleet)
{
  uint32_t i;

  for (i = 0; i < fleet->engine_count; i++)
    csp_destroy_ledger (fleet->ledgers[i]);
  for (i = 0; i < fleet->play->hosts; i++)
    {
      csp_destroy_queue (fleet->hosts[i].queue);
      csp_destroy_lengths (fleet->hosts[i].lengths);
    }
  free (fleet->engines);
  free (fleet->ledgers);
  free (fleet->reports);
  free (fleet->fifo);
  free (fleet->requests);
}

static void
count_outcome (outcome_t *outcome, const request_t *request)
{
  if (outcome->first_s == NULL)
    {
      outcome->first_s = calloc (400000, sizeof (double));
      outcome->wait_s = calloc (400000, sizeof (double));
    }
  outcome->requests++;
  outcome->finished += request->phase == REQUEST_DONE;
  outcome->refused += request->phase == REQUEST_REFUSED;
  outcome->given_up += request->phase == REQUEST_GIVEN_UP;
  outcome->lost += request->phase == REQUEST_LOST;
  outcome->preemptions += request->preempted;
  outcome->preempted += request->preempted != 0;
  outcome->stall_s += (double)request->stall_us / 1e6;
  outcome->tokens += request->made_tokens;
  if (request->first_us == 0 || outcome->first_count >= 400000)
    return;
  outcome->started++;
  outcome->wait_s[outcome->first_count]
      = (double)(request->sent_us - request->arrive_us) / 1e6;
  outcome->first_s[outcome->first_count++]
      = (double)(request->first_us - request->arrive_us) / 1e6;
}

static void
add_gaps (gaps_t *sum, const gaps_t *gaps)
{
  uint32_t i;

  for (i = 0; i < GAP_BUCKETS; i++)
    sum->counts[i] += gaps->counts[i];
  sum->total += gaps->total;
}

static void
count_outcomes (fleet_t *fleet)
{
  results_t *results = fleet->results;
  const request_t *request;
  uint32_t i;

  for (i = 0; i < fleet->request_count; i++)
    {
      request = &fleet->requests[i];
      count_outcome (&results->all, request);
      count_outcome (&results->classes[request->class_index], request);
      count_outcome (&results->organisations[request->organisation], request);
    }
  for (i = 0; i < CLASS_COUNT; i++)
    add_gaps (&results->all.gaps, &results->classes[i].gaps);
}

/* The engine whose step ends first.  A scan is enough for tens of engines;
   hundreds keep the ends in blocks of the square root.  */
enum
{
  BLOCK = 20
};

typedef struct
{
  int64_t least_us[64];
  uint32_t index[64];
} blocks_t;

static void
scan_block (const fleet_t *fleet, blocks_t *blocks, uint32_t block)
{
  uint32_t i = block * BLOCK;
  uint32_t end = i + BLOCK;

  blocks->least_us[block] = INT64_MAX;
  for (; i < end && i < fleet->engine_count; i++)
    if (fleet->engines[i].stepping
        && fleet->engines[i].step_end_us < blocks->least_us[block])
      {
        blocks->least_us[block] = fleet->engines[i].step_end_us;
        blocks->index[block] = i;
      }
}

static int64_t
next_step (const fleet_t *fleet, uint32_t *engine)
{
  blocks_t blocks;
  int64_t least = INT64_MAX;
  uint32_t i;

  for (i = 0; i * BLOCK < fleet->engine_count; i++)
    {
      scan_block (fleet, &blocks, i);
      if (blocks.least_us[i] < least)
        {
          least = blocks.least_us[i];
          *engine = blocks.index[i];
        }
    }
  return least;
}

static void
arrive (fleet_t *fleet, request_t *request)
{
  if (fleet->play->dispatch == DISPATCH_DECISIONS)
    dispatch_decisions (fleet, request);
  else
    dispatch_baseline (fleet, request);
}

void
play_fleet (const play_t *play, const arrivals_plan_t *plan,
            results_t *results)
{
  fleet_t fleet = { .play = play, .results = results };
  engine_shape_t shape = default_engine_shape ();
  int64_t tick_us = 0;
  int64_t step_us;
  uint32_t arrived = 0;
  uint32_t engine = 0;

  memset (results, 0, sizeof *results);
  results->seconds = (double)plan->duration_us / 1e6;
  fleet.engine_count = plan->engines;
  fleet.requests = make_arrivals (plan, &shape, &fleet.request_count);
  set_up (&fleet);
  while (tick_us <= plan->duration_us)
    {
      step_us = next_step (&fleet, &engine);
      if (arrived < fleet.request_count
          && fleet.requests[arrived].arrive_us <= step_us
          && fleet.requests[arrived].arrive_us <= tick_us)
        {
          fleet.now_us = fleet.requests[arrived].arrive_us;
          arrive (&fleet, &fleet.requests[arrived++]);
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
  tear_down (&fleet);
}
