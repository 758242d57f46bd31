#ifndef STANDIN_ENGINE_BATCH_H
#define STANDIN_ENGINE_BATCH_H

#include <json-c/json.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* The batch of a stand-in engine: generations that run concurrently.  Each
   produces one token every token_ms, and together they hold no more tokens
   than memory_tokens.  */

enum
{
  ENGINE_ID_BYTES = 128,
  ENGINE_PROMPT_BYTES = 96
};

typedef struct
{
  const char *name;
  int64_t memory_tokens;
  int64_t token_ms;
  int64_t first_ms; /* time to the first token */
  int64_t slots;
  bool checks_fence;
  int64_t order_ms;
  const char *models; /* loaded at the start, separated by commas */
  int64_t resume_window_ms;
  int64_t report_lag_ms;
  int64_t cache_lag_ms;
} engine_options_t;

typedef enum
{
  GENERATION_WAITING, /* not started: no free slot or not enough memory */
  GENERATION_RUNNING,
  GENERATION_PREEMPTED, /* started, but has lost its memory and is paused */
  GENERATION_DONE,
  GENERATION_CANCELLED,
  GENERATION_DROPPED /* had no connection for the resume window */
} generation_state_t;

typedef struct generation generation_t;
struct generation
{
  generation_t *next;
  char id[ENGINE_ID_BYTES];
  char mark[ENGINE_ID_BYTES]; /* "ENGINE.NUMBER", in the text of each token */
  char request_id[ENGINE_ID_BYTES];
  char prompt[ENGINE_PROMPT_BYTES];
  char model[ENGINE_ID_BYTES];
  bool chat;
  bool truncated; /* max_tokens is below its natural length */
  generation_state_t state;
  int64_t number; /* from 1, in the order of the starts */
  int64_t priority;
  int64_t prompt_tokens;
  int64_t length; /* of the whole answer, in tokens */
  int64_t produced_tokens;
  int64_t due_ms; /* when the next token is produced */
  int64_t preemptions;
  int64_t connection_count; /* so far; only the newest connection sends */
  bool connected;
  int64_t disconnected_ms; /* when the last connection closed */
  pthread_cond_t changed;  /* new token, state or connection */
};

/* A load report; each has a higher number than the one before.  */
typedef struct
{
  int64_t number;
  int64_t used_tokens;
  int64_t running;
  int64_t waiting;
  int64_t preemptions;
  bool leaving;
} engine_report_t;

typedef struct
{
  engine_options_t options;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  generation_t *newest; /* first of the list of all generations; none is
                           freed, since the log shows them all */
  int64_t generation_count;
  engine_report_t current;   /* the load at this moment */
  engine_report_t published; /* sent when reports lag */
  engine_report_t pending;   /* published next */
  int64_t report_due_ms;     /* when the next one is published */
} engine_batch_t;

/* Start a batch and the thread that produces its tokens.  */
void engine_start_batch (engine_batch_t *batch,
                         const engine_options_t *options);

/* All functions below are called with the lock held.  */

/* The generation with an id, in any state, or null.  */
generation_t *engine_find_generation (engine_batch_t *batch, const char *id);

/* True unless the generation was cancelled or dropped; a resume is refused
   then.  */
bool engine_is_resumable (const generation_t *generation);

/* Add a generation, whose request the caller has filled in.  */
void engine_add_generation (engine_batch_t *batch, generation_t *generation);

/* Cancel a generation that isn't done; its tokens no longer count as used
   memory.  */
void engine_cancel_generation (engine_batch_t *batch,
                               generation_t *generation);

/* Attach a new connection to a generation, which makes the one before stop
   sending; returns the new connection's number.  */
int64_t engine_attach_connection (generation_t *generation);

/* Note that a connection was closed; the resume window begins if it was the
   newest.  */
void engine_detach_connection (generation_t *generation,
                               int64_t connection_number);

/* The report to send: the published one, or without a lag the current
   load.  */
const engine_report_t *engine_get_report (engine_batch_t *batch);

/* Every generation ever added, oldest first.  */
json_object *engine_list_generations (engine_batch_t *batch);

#endif
