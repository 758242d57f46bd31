#ifndef BENCH_ENGINE_MODEL_H
#define BENCH_ENGINE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/* A simulated inference engine with continuous batching and limited KV memory.
   Each step processes a chunk of prompt tokens and generates one token for
   every stream whose prefill is complete.  When the next tokens don't fit into
   memory, the engine preempts the stream of lowest priority, among equals the
   one sent last, and later recomputes its prompt and its tokens.  */

enum
{
  ENGINE_MAX_RUNNING = 256,
  ENGINE_PREFIXES = 8
};

typedef enum
{
  REQUEST_NEW,
  REQUEST_WAITING,
  REQUEST_RUNNING,
  REQUEST_DONE,
  REQUEST_REFUSED,
  REQUEST_GIVEN_UP,
  REQUEST_LOST
} request_phase_t;

/* A simulated request and what became of it.  host is the entry host that the
   request arrived at; engine_preemptions counts preemptions by an engine,
   requeued_count how often the host took the request back from an engine and
   queued it again.  */
typedef struct request
{
  uint64_t id;
  int64_t arrive_us;
  int64_t start_by_us;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  uint32_t prefix;
  uint32_t prefix_tokens;
  uint8_t organisation;
  uint8_t class_index;
  uint8_t priority;
  request_phase_t phase;
  int64_t sent_us;
  int64_t first_token_us;
  int64_t last_token_us;
  int64_t end_us;
  int64_t stall_us;
  uint32_t generated_token_count;
  uint32_t prefill_tokens_left;
  uint32_t engine_preemptions;
  uint8_t requeued_count;
  bool stalled;
  bool decoding;
  uint32_t host;
  uint32_t engine;
  uint32_t handle;
  uint32_t last_noted_tokens;
  int64_t last_noted_us;
  uint32_t charged_tokens;
  uint32_t charged_memory_tokens;
  struct request *next;
} request_t;

/* Memory of an engine, and the terms that add up to the time of a step.  */
typedef struct
{
  uint32_t memory_tokens;
  double step_base_us;
  double step_us_per_stream;
  double step_us_per_held_token;
  double step_us_per_prompt_token;
  uint32_t prefill_chunk_tokens;
} engine_shape_t;

/* Returns an engine with memory for 60,000 tokens.  A step takes 42 ms with 11
   streams and full memory, and 0.05 ms more for each prompt token, of which
   one step processes at most 512.  */
engine_shape_t default_engine_shape (void);

typedef struct
{
  engine_shape_t shape;
  double slowness;
  request_t *running[ENGINE_MAX_RUNNING];
  uint32_t running_count;
  request_t *waiting;
  uint32_t waiting_count;
  uint32_t used_tokens;
  uint64_t preemptions;
  uint64_t recomputed_tokens;
  int64_t step_end_us;
  bool stepping;
  bool failed;
  uint32_t prefixes[ENGINE_PREFIXES];
  uint64_t prefix_last_used[ENGINE_PREFIXES];
  uint64_t prefix_use_counter;
} engine_t;

typedef struct
{
  void (*on_token) (void *state, request_t *request, int64_t now_us);
  void (*on_end) (void *state, request_t *request, int64_t now_us);
  void *state;
} engine_events_t;

/* Queues a request at the engine, which runs it once the prompt fits into the
   engine's free memory.  */
void submit_request (engine_t *engine, request_t *request, int64_t now_us);

/* Removes a waiting or running request from the engine.  */
void cancel_request (engine_t *engine, request_t *request);

/* Ends the current step: every decoding stream gets one token, and finished
   requests are removed.  Doesn't start the next step.  */
void finish_step (engine_t *engine, int64_t now_us,
                  const engine_events_t *events);

/* Starts a step if the engine is idle, hasn't failed and has work.  */
void start_step (engine_t *engine, int64_t now_us);

bool engine_has_prefix (const engine_t *engine, uint32_t prefix);

#endif
