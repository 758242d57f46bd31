#ifndef STANDIN_ENGINE_FAULT_H
#define STANDIN_ENGINE_FAULT_H

#include <json-c/json.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* Faults that a test asks an engine for.  Each is kept until a new link
   takes it: {"op": "cut_after", "index": 5, "count": 1, "on": "start"}.  */
typedef enum
{
  FAULT_REFUSE,      /* 503, X-Verdict: not run */
  FAULT_FAIL,        /* 500, nothing was started */
  FAULT_CUT_HEAD,    /* started, then the link ends before the answer */
  FAULT_LATE_HEAD,   /* started, the answer's head comes for_ms later */
  FAULT_STALL_AFTER, /* the link is silent for for_ms after token index */
  FAULT_CUT_AFTER,   /* the link ends after token index */
  FAULT_DUPLICATE,   /* token index comes twice */
  FAULT_GAP,         /* token index doesn't come */
  FAULT_FOREIGN,     /* token index comes from another generation */
  FAULT_NO_DONE,     /* all tokens come, the closing [DONE] doesn't */
  FAULT_DIE_AFTER,   /* the process ends after token index */
  FAULT_COUNT
} fault_kind_t;

/* The faults of one link: the token index each one strikes at, or -1.  */
typedef struct
{
  int64_t index[FAULT_COUNT];
  int64_t for_ms[FAULT_COUNT];
} link_faults_t;

typedef struct
{
  int64_t index;
  int64_t for_ms;
  int64_t count;
} pending_fault_t;

typedef struct
{
  pthread_mutex_t lock;
  pending_fault_t on_start[FAULT_COUNT];
  pending_fault_t on_resume[FAULT_COUNT];
} fault_table_t;

/* Add what a test asked for; false when the op is unknown.  */
bool engine_add_fault (fault_table_t *table, json_object *json);

/* Take the faults of a new link.  */
void engine_take_faults (fault_table_t *table, bool resume,
                         link_faults_t *faults);

#endif
