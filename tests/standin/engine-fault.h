#ifndef STANDIN_ENGINE_FAULT_H
#define STANDIN_ENGINE_FAULT_H

#include <json-c/json.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* Faults that a test injects into an engine.  Each applies to the next count
   connections that start ("on": "start") or resume ("on": "resume") a
   generation: {"op": "cut_after", "index": 5, "count": 1, "on": "start"}.  */
typedef enum
{
  FAULT_REFUSE,      /* 503 with X-Verdict: not run */
  FAULT_FAIL,        /* 500, the generation isn't started */
  FAULT_CUT_HEAD,    /* started, but closed before the response head */
  FAULT_LATE_HEAD,   /* started, the response head is sent for_ms later */
  FAULT_STALL_AFTER, /* sends nothing for for_ms after token index */
  FAULT_CUT_AFTER,   /* closes the connection after token index */
  FAULT_DUPLICATE,   /* sends token index twice */
  FAULT_GAP,         /* leaves token index out */
  FAULT_FOREIGN,     /* sends token index with another generation's id */
  FAULT_NO_DONE,     /* sends all tokens, but no [DONE] */
  FAULT_DIE_AFTER,   /* the process exits after token index */
  FAULT_COUNT
} fault_kind_t;

/* The faults of one connection: the token index at which each applies, or
   -1 when the connection doesn't have that fault.  */
typedef struct
{
  int64_t index[FAULT_COUNT];
  int64_t for_ms[FAULT_COUNT];
} connection_faults_t;

/* A fault that waits for connections to apply to.  */
typedef struct
{
  int64_t index;
  int64_t for_ms;
  int64_t count; /* connections that still get it */
} pending_fault_t;

typedef struct
{
  pthread_mutex_t lock;
  pending_fault_t on_start[FAULT_COUNT];
  pending_fault_t on_resume[FAULT_COUNT];
} fault_table_t;

/* Add the fault that a test asked for; false when its op is unknown.  */
bool engine_add_fault (fault_table_t *table, json_object *json);

/* Take the faults that apply to a new connection, which resumes a generation
   or starts one, and count each of them down.  */
void engine_take_faults (fault_table_t *table, bool resume,
                         connection_faults_t *faults);

#endif
