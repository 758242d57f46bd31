#include "engine-batch.h"
#include "server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  IDLE_WAKE_MS = 50
};

static bool
is_waiting (const generation_t *generation)
{
  return generation->state == GENERATION_WAITING
         || generation->state == GENERATION_PREEMPTED;
}

static int64_t
count_held_tokens (const generation_t *generation)
{
  return generation->prompt_tokens + generation->produced_tokens;
}

/* Recount the running and waiting generations and the used memory.  */
static void
recount_load (engine_batch_t *batch)
{
  const generation_t *generation;

  batch->current.running = 0;
  batch->current.waiting = 0;
  batch->current.used_tokens = 0;
  for (generation = batch->newest; generation != NULL;
       generation = generation->next)
    {
      if (is_waiting (generation))
        batch->current.waiting++;
      if (generation->state != GENERATION_RUNNING)
        continue;
      batch->current.running++;
      batch->current.used_tokens += count_held_tokens (generation);
    }
}

/* The generation to preempt when memory is full: the newest one of the lowest
   priority.  */
static generation_t *
find_victim (engine_batch_t *batch)
{
  generation_t *victim = NULL;
  generation_t *generation;

  for (generation = batch->newest; generation != NULL;
       generation = generation->next)
    if (generation->state == GENERATION_RUNNING
        && (victim == NULL || generation->priority < victim->priority))
      victim = generation;
  return victim;
}

/* The generation to admit next: the oldest one of the highest priority.  */
static generation_t *
find_next_waiting (engine_batch_t *batch)
{
  generation_t *best = NULL;
  generation_t *generation;

  for (generation = batch->newest; generation != NULL;
       generation = generation->next)
    if (is_waiting (generation)
        && (best == NULL || generation->priority >= best->priority))
      best = generation;
  return best;
}

static void
admit_waiting (engine_batch_t *batch, int64_t now_ms)
{
  const engine_options_t *options = &batch->options;
  generation_t *generation;

  while (batch->current.running < options->slots
         && (generation = find_next_waiting (batch)) != NULL
         && (batch->current.running == 0
             || batch->current.used_tokens + count_held_tokens (generation)
                        + batch->current.running
                    < options->memory_tokens))
    {
      generation->state = GENERATION_RUNNING;
      generation->due_ms = now_ms + options->first_ms;
      recount_load (batch);
    }
}

/* Preempt generations until one more token fits into memory.  A generation
   that fills the memory alone ends with the tokens that it has.  */
static void
preempt_for_memory (engine_batch_t *batch)
{
  generation_t *victim;

  while (batch->current.used_tokens >= batch->options.memory_tokens)
    {
      victim = find_victim (batch);
      if (batch->current.running == 1)
        {
          victim->length = victim->produced_tokens;
          victim->state = GENERATION_DONE;
          pthread_cond_broadcast (&victim->changed);
          recount_load (batch);
          return;
        }
      victim->state = GENERATION_PREEMPTED;
      victim->preemptions++;
      batch->current.preemptions++;
      recount_load (batch);
    }
}

static void
produce_token (engine_batch_t *batch, generation_t *generation)
{
  preempt_for_memory (batch);
  if (generation->state != GENERATION_RUNNING)
    return;
  generation->produced_tokens++;
  generation->due_ms += batch->options.token_ms;
  batch->current.used_tokens++;
  if (generation->produced_tokens >= generation->length)
    {
      generation->state = GENERATION_DONE;
      recount_load (batch);
    }
  pthread_cond_broadcast (&generation->changed);
}

/* True when a generation had no connection for the whole resume window.  */
static bool
is_abandoned (const engine_batch_t *batch, const generation_t *generation,
              int64_t now_ms)
{
  return !generation->connected && engine_is_resumable (generation)
         && now_ms - generation->disconnected_ms
                >= batch->options.resume_window_ms;
}

/* Produce all tokens that are due; returns when the next one is due.  */
static int64_t
produce_due_tokens (engine_batch_t *batch, int64_t now_ms)
{
  int64_t next_ms = now_ms + IDLE_WAKE_MS;
  generation_t *generation;

  for (generation = batch->newest; generation != NULL;
       generation = generation->next)
    {
      if (is_abandoned (batch, generation, now_ms))
        {
          generation->state = GENERATION_DROPPED;
          recount_load (batch);
        }
      while (generation->state == GENERATION_RUNNING
             && generation->due_ms <= now_ms)
        produce_token (batch, generation);
    }
  admit_waiting (batch, now_ms);
  for (generation = batch->newest; generation != NULL;
       generation = generation->next)
    if (generation->state == GENERATION_RUNNING
        && generation->due_ms < next_ms)
      next_ms = generation->due_ms;
  return next_ms;
}

static void
publish_report (engine_batch_t *batch, int64_t now_ms)
{
  if (now_ms < batch->report_due_ms)
    return;
  batch->report_due_ms = now_ms + batch->options.report_lag_ms;
  batch->published = batch->pending;
  batch->pending = batch->current;
  batch->pending.number = batch->published.number + 1;
}

static void
wait_until (engine_batch_t *batch, int64_t until_ms)
{
  struct timespec until
      = { until_ms / STANDIN_MS_PER_S,
          (until_ms % STANDIN_MS_PER_S) * STANDIN_NS_PER_MS };

  pthread_cond_clockwait (&batch->wake, &batch->lock, CLOCK_MONOTONIC, &until);
}

static void *
run_batch (void *state)
{
  engine_batch_t *batch = state;
  int64_t now_ms;
  int64_t next_ms;

  pthread_mutex_lock (&batch->lock);
  for (;;)
    {
      now_ms = standin_now_ms ();
      next_ms = produce_due_tokens (batch, now_ms);
      publish_report (batch, now_ms);
      wait_until (batch, next_ms);
    }
  return NULL;
}

void
engine_start_batch (engine_batch_t *batch, const engine_options_t *options)
{
  pthread_t thread;

  memset (batch, 0, sizeof *batch);
  batch->options = *options;
  pthread_mutex_init (&batch->lock, NULL);
  pthread_cond_init (&batch->wake, NULL);
  if (pthread_create (&thread, NULL, run_batch, batch) != 0)
    abort ();
  pthread_detach (thread);
}

generation_t *
engine_find_generation (engine_batch_t *batch, const char *id)
{
  generation_t *generation;

  for (generation = batch->newest; generation != NULL;
       generation = generation->next)
    if (strcmp (generation->id, id) == 0)
      return generation;
  return NULL;
}

bool
engine_is_resumable (const generation_t *generation)
{
  return generation->state != GENERATION_CANCELLED
         && generation->state != GENERATION_DROPPED;
}

void
engine_add_generation (engine_batch_t *batch, generation_t *generation)
{
  generation->number = ++batch->generation_count;
  snprintf (generation->mark, sizeof generation->mark, "%s.%lld",
            batch->options.name, (long long)generation->number);
  generation->state = GENERATION_WAITING;
  pthread_cond_init (&generation->changed, NULL);
  generation->next = batch->newest;
  batch->newest = generation;
  admit_waiting (batch, standin_now_ms ());
  recount_load (batch);
  pthread_cond_signal (&batch->wake);
}

void
engine_cancel_generation (engine_batch_t *batch, generation_t *generation)
{
  if (!engine_is_resumable (generation)
      || generation->state == GENERATION_DONE)
    return;
  generation->state = GENERATION_CANCELLED;
  pthread_cond_broadcast (&generation->changed);
  recount_load (batch);
  pthread_cond_signal (&batch->wake);
}

int64_t
engine_attach_connection (generation_t *generation)
{
  generation->connection_count++;
  generation->connected = true;
  pthread_cond_broadcast (&generation->changed);
  return generation->connection_count;
}

void
engine_detach_connection (generation_t *generation, int64_t connection_number)
{
  if (connection_number != generation->connection_count)
    return;
  generation->connected = false;
  generation->disconnected_ms = standin_now_ms ();
}

const engine_report_t *
engine_get_report (engine_batch_t *batch)
{
  if (batch->options.report_lag_ms > 0)
    return &batch->published;
  batch->current.number++;
  return &batch->current;
}

static json_object *
describe_generation (const generation_t *generation)
{
  static const char *const states[]
      = { "waiting", "running", "preempted", "done", "cancelled", "dropped" };
  json_object *json = json_object_new_object ();

  json_object_object_add (json, "id", json_object_new_string (generation->id));
  json_object_object_add (json, "mark",
                          json_object_new_string (generation->mark));
  json_object_object_add (json, "request_id",
                          json_object_new_string (generation->request_id));
  json_object_object_add (json, "prompt",
                          json_object_new_string (generation->prompt));
  json_object_object_add (json, "priority",
                          json_object_new_int64 (generation->priority));
  json_object_object_add (json, "length",
                          json_object_new_int64 (generation->length));
  json_object_object_add (json, "made",
                          json_object_new_int64 (generation->produced_tokens));
  json_object_object_add (
      json, "links", json_object_new_int64 (generation->connection_count));
  json_object_object_add (json, "preemptions",
                          json_object_new_int64 (generation->preemptions));
  json_object_object_add (json, "state",
                          json_object_new_string (states[generation->state]));
  return json;
}

json_object *
engine_list_generations (engine_batch_t *batch)
{
  json_object *list = json_object_new_array ();
  const generation_t *generation;
  int64_t number;

  for (number = 1; number <= batch->generation_count; number++)
    for (generation = batch->newest; generation != NULL;
         generation = generation->next)
      if (generation->number == number)
        json_object_array_add (list, describe_generation (generation));
  return list;
}
