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
size_of (const generation_t *generation)
{
  return generation->prompt_tokens + generation->made;
}

/* Recount what the reports show.  */
static void
count_load (engine_batch_t *batch)
{
  const generation_t *generation;

  batch->now.running = 0;
  batch->now.waiting = 0;
  batch->now.used_tokens = 0;
  for (generation = batch->first; generation != NULL;
       generation = generation->next)
    {
      if (is_waiting (generation))
        batch->now.waiting++;
      if (generation->state != GENERATION_RUNNING)
        continue;
      batch->now.running++;
      batch->now.used_tokens += size_of (generation);
    }
}

/* The one that gives way when memory is full: the lowest priority, and of
   these the youngest.  */
static generation_t *
find_victim (engine_batch_t *batch)
{
  generation_t *victim = NULL;
  generation_t *generation;

  for (generation = batch->first; generation != NULL;
       generation = generation->next)
    if (generation->state == GENERATION_RUNNING
        && (victim == NULL || generation->priority < victim->priority))
      victim = generation;
  return victim;
}

/* The one that is let in next: the highest priority, then the oldest.  */
static generation_t *
find_next (engine_batch_t *batch)
{
  generation_t *best = NULL;
  generation_t *generation;

  for (generation = batch->first; generation != NULL;
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

  while (
      batch->now.running < options->slots
      && (generation = find_next (batch)) != NULL
      && (batch->now.running == 0
          || batch->now.used_tokens + size_of (generation) + batch->now.running
                 < options->memory_tokens))
    {
      generation->state = GENERATION_RUNNING;
      generation->due_ms = now_ms + options->first_ms;
      count_load (batch);
    }
}

/* Make room for one more token.  One that fills the memory alone ends.  */
static void
make_room (engine_batch_t *batch)
{
  generation_t *victim;

  while (batch->now.used_tokens >= batch->options.memory_tokens)
    {
      victim = find_victim (batch);
      if (batch->now.running == 1)
        {
          victim->length = victim->made;
          victim->state = GENERATION_DONE;
          pthread_cond_broadcast (&victim->news);
          count_load (batch);
          return;
        }
      victim->state = GENERATION_PREEMPTED;
      victim->preemptions++;
      batch->now.preemptions++;
      count_load (batch);
    }
}

static void
make_token (engine_batch_t *batch, generation_t *generation)
{
  make_room (batch);
  if (generation->state != GENERATION_RUNNING)
    return;
  generation->made++;
  generation->due_ms += batch->options.token_ms;
  batch->now.used_tokens++;
  if (generation->made >= generation->length)
    {
      generation->state = GENERATION_DONE;
      count_load (batch);
    }
  pthread_cond_broadcast (&generation->news);
}

/* A generation whose caller is gone for the resume window.  */
static bool
is_abandoned (const engine_batch_t *batch, const generation_t *generation,
              int64_t now_ms)
{
  return !generation->linked && engine_has_generation (generation)
         && now_ms - generation->unlinked_ms
                >= batch->options.resume_window_ms;
}

/* Make all tokens that are due; returns when the next one is.  */
static int64_t
make_due_tokens (engine_batch_t *batch, int64_t now_ms)
{
  int64_t next_ms = now_ms + IDLE_WAKE_MS;
  generation_t *generation;

  for (generation = batch->first; generation != NULL;
       generation = generation->next)
    {
      if (is_abandoned (batch, generation, now_ms))
        {
          generation->state = GENERATION_DROPPED;
          count_load (batch);
        }
      while (generation->state == GENERATION_RUNNING
             && generation->due_ms <= now_ms)
        make_token (batch, generation);
    }
  admit_waiting (batch, now_ms);
  for (generation = batch->first; generation != NULL;
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
  batch->published = batch->coming;
  batch->coming = batch->now;
  batch->coming.report = batch->published.report + 1;
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
      next_ms = make_due_tokens (batch, now_ms);
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

  for (generation = batch->first; generation != NULL;
       generation = generation->next)
    if (strcmp (generation->id, id) == 0)
      return generation;
  return NULL;
}

bool
engine_has_generation (const generation_t *generation)
{
  return generation->state != GENERATION_CANCELLED
         && generation->state != GENERATION_DROPPED;
}

void
engine_add_generation (engine_batch_t *batch, generation_t *generation)
{
  generation->number = ++batch->count;
  snprintf (generation->mark, sizeof generation->mark, "%s.%lld",
            batch->options.name, (long long)generation->number);
  generation->state = GENERATION_WAITING;
  pthread_cond_init (&generation->news, NULL);
  generation->next = batch->first;
  batch->first = generation;
  admit_waiting (batch, standin_now_ms ());
  count_load (batch);
  pthread_cond_signal (&batch->wake);
}

void
engine_cancel_generation (engine_batch_t *batch, generation_t *generation)
{
  if (!engine_has_generation (generation)
      || generation->state == GENERATION_DONE)
    return;
  generation->state = GENERATION_CANCELLED;
  pthread_cond_broadcast (&generation->news);
  count_load (batch);
  pthread_cond_signal (&batch->wake);
}

int64_t
engine_open_link (generation_t *generation)
{
  generation->links++;
  generation->linked = true;
  pthread_cond_broadcast (&generation->news);
  return generation->links;
}

void
engine_close_link (generation_t *generation, int64_t link)
{
  if (link != generation->links)
    return;
  generation->linked = false;
  generation->unlinked_ms = standin_now_ms ();
}

const engine_report_t *
engine_visible_report (engine_batch_t *batch)
{
  if (batch->options.report_lag_ms > 0)
    return &batch->published;
  batch->now.report++;
  return &batch->now;
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
                          json_object_new_int64 (generation->made));
  json_object_object_add (json, "links",
                          json_object_new_int64 (generation->links));
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

  for (number = 1; number <= batch->count; number++)
    for (generation = batch->first; generation != NULL;
         generation = generation->next)
      if (generation->number == number)
        json_object_array_add (list, describe_generation (generation));
  return list;
}
