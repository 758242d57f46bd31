#ifndef STANDIN_ENGINE_BATCH_H
#define STANDIN_ENGINE_BATCH_H

#include <json-c/json.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* The batch of a stand-in engine: generations that run side by side, one
   token each in every token_ms, in a limited memory of tokens.  */

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
  int64_t first_ms; /* from the start to token 0 */
  int64_t slots;
  bool checks_fence;
  int64_t order_ms;
  const char *models; /* loaded at the start, between commas */
  int64_t resume_window_ms;
  int64_t report_lag_ms;
  int64_t cache_lag_ms;
} engine_options_t;

typedef enum
{
  GENERATION_WAITING, /* not begun: no slot or no memory */
  GENERATION_RUNNING,
  GENERATION_PREEMPTED, /* begun, gave its memory up, sends nothing */
  GENERATION_DONE,
  GENERATION_CANCELLED,
  GENERATION_DROPPED /* the resume window passed without a link */
} generation_state_t;

typedef struct generation generation_t;
struct generation
{
  generation_t *next;
  char id[ENGINE_ID_BYTES];
  char mark[ENGINE_ID_BYTES];
  char request_id[ENGINE_ID_BYTES];
  char prompt[ENGINE_PROMPT_BYTES];
  char model[ENGINE_ID_BYTES];
  bool chat;
  bool shortened; /* max_tokens is what ends it */
  generation_state_t state;
  int64_t number;
  int64_t priority;
  int64_t prompt_tokens;
  int64_t length;
  int64_t made;
  int64_t due_ms;
  int64_t preemptions;
  int64_t links; /* opened so far; only the last one may send */
  bool linked;
  int64_t unlinked_ms; /* since when no link is open */
  pthread_cond_t news;
};

/* What load reports show; report rises with every new one.  */
typedef struct
{
  int64_t report;
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
  generation_t *first; /* newest first; never freed, the log needs them */
  int64_t count;
  engine_report_t now;
  engine_report_t published;
  engine_report_t coming;
  int64_t report_due_ms;
} engine_batch_t;

/* Start a batch and the thread that makes its tokens.  */
void engine_start_batch (engine_batch_t *batch,
                         const engine_options_t *options);

/* All below are called with the lock held.  */

/* A generation by its id, whatever its state, or null.  */
generation_t *engine_find_generation (engine_batch_t *batch, const char *id);

/* True while an engine still has the generation for a resume.  */
bool engine_has_generation (const generation_t *generation);

/* Add a generation; the caller has filled in what it asks for.  */
void engine_add_generation (engine_batch_t *batch, generation_t *generation);

/* Stop a generation and free its memory.  */
void engine_cancel_generation (engine_batch_t *batch,
                               generation_t *generation);

/* Open a link to a generation, which ends the one before; returns its
   number.  */
int64_t engine_open_link (generation_t *generation);

/* Note that a link has ended; the resume window begins if it was the last. */
void engine_close_link (generation_t *generation, int64_t link);

/* The report that the lag lets callers see.  */
const engine_report_t *engine_visible_report (engine_batch_t *batch);

/* Every generation that was ever started, oldest first.  */
json_object *engine_list_generations (engine_batch_t *batch);

#endif
