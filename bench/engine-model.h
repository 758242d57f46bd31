#ifndef BENCH_ENGINE_MODEL_H
#define BENCH_ENGINE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/* A small model of a batching engine with limited memory: scaffolding of the
   bench.  Each step takes a chunk of prompts and makes one token for every
   stream whose prompt is done.  When the next tokens don't fit, the engine
   preempts the stream of lowest priority, the latest first, and later computes
   its prompt and tokens again.  */

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

typedef struct request
{
  uint64_t id;
  int64_t arrive_us;
  int64_t start_by_us;
  uint32_t prompt_tokens;
  uint32_t length_tokens;
  uint32_t prefix;
  uint32_t prefix_tokens;
  uint8_t organisation;
  uint8_t class_index;
  uint8_t priority;
  request_phase_t phase;
  int64_t sent_us;
  int64_t first_us;
  int64_t last_us;
  int64_t end_us;
  int64_t stall_us;
  uint32_t made_tokens;
  uint32_t prefill_left;
  uint32_t preempted;
  uint8_t given_way;
  bool stalled;
  bool decoding;
  uint32_t host;
  uint32_t engine;
  uint32_t handle;
  uint32_t noted_tokens;
  int64_t noted_us;
  uint32_t charged_tokens;
  struct request *next;
} request_t;

typedef struct
{
  uint32_t memory_tokens;
  double base_us;
  double stream_us;
  double memory_us;
  double prefill_us;
  uint32_t chunk_tokens;
} engine_shape_t;

/* Memory of 60,000 tokens; 42 ms a step at 11 streams and full memory, and
   512 prompt tokens a step at most, 0.05 ms each.  */
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
  bool dead;
  uint32_t prefixes[ENGINE_PREFIXES];
  uint64_t prefix_used[ENGINE_PREFIXES];
  uint64_t prefix_clock;
} engine_t;

typedef struct
{
  void (*token) (void *state, request_t *request, int64_t now_us);
  void (*ended) (void *state, request_t *request, int64_t now_us);
  void *state;
} engine_events_t;

/* Hand a request over; it runs when the engine has room for its prompt.  */
void submit_request (engine_t *engine, request_t *request, int64_t now_us);

/* A waiting or running request is taken back.  */
void cancel_request (engine_t *engine, request_t *request);

/* Finish the step that ends now and plan the next one.  */
void finish_step (engine_t *engine, int64_t now_us,
                  const engine_events_t *events);

/* Plan a step if the engine is idle and has work.  */
void start_step (engine_t *engine, int64_t now_us);

bool engine_has_prefix (const engine_t *engine, uint32_t prefix);

#endif
