#ifndef QUEUE_QUEUE_IMP_H
#define QUEUE_QUEUE_IMP_H

#include "cowslipspoke/queue.h"

enum
{
  PRIORITIES = 10,
  NO_ENTRY = UINT32_MAX,
  NO_ORGANISATION = UINT32_MAX
};

typedef struct
{
  csp_waiting_request_t waiting;
  uint64_t sequence;
  uint32_t next;
  uint32_t previous;
  bool used;
} entry_t;

/* Waiting requests of one organisation and priority, oldest first.  */
typedef struct
{
  uint32_t head;
  uint32_t tail;
} list_t;

typedef struct
{
  uint32_t weight;
  uint32_t waiting;
  uint64_t cost;
  int64_t deficit;
  uint64_t in_flight_tokens;
  uint64_t in_flight_elsewhere;
  uint64_t skipped_in_pump;
  int64_t skipped_since_ms;
  uint32_t next;
  uint32_t previous;
  list_t lists[PRIORITIES];
} organisation_t;

struct csp_queue
{
  csp_queue_policy_t policy;
  uint64_t capacity_tokens;
  uint64_t pool_tokens;
  uint64_t total_weight;
  organisation_t *organisations;
  uint32_t organisation_count;
  entry_t *entries;
  uint32_t first_free;
  uint32_t waiting;
  uint32_t cursor;
  uint32_t offered;
  uint64_t next_sequence;
  uint64_t pump;
  int64_t pump_ms;
  uint32_t skipped_count;
  bool borrowers_blocked;
  double served_tokens;
  double busy_ms;
  int64_t rate_ms;
  uint32_t expire_cursor;
  uint32_t expire_checks;
  uint32_t checks_start;
  uint32_t next_checks_start;
};

/* Updates the moving average of the service rate up to now_ms.  */
void csp_update_queue_rate (csp_queue_t *queue, int64_t now_ms);

/* Predicted time until `cost` tokens of one organisation are served, its own
   request included.  */
double csp_predict_cost_wait_ms (const csp_queue_t *queue,
                                 uint32_t organisation, uint64_t cost);

/* Cost of the requests that the organisation serves before this one; sequence
   decides between two with the same due time and is UINT64_MAX for a new
   request.  */
uint64_t csp_queue_cost_ahead (const csp_queue_t *queue,
                               const csp_waiting_request_t *waiting,
                               uint64_t sequence);

/* The time by which a request is sorted: its deadline less priority_step_ms
   for each step of its priority.  */
int64_t csp_compute_due_ms (const csp_queue_t *queue,
                            const csp_waiting_request_t *waiting);

/* Removes an entry from its list and frees it.  */
void csp_remove_waiting_entry (csp_queue_t *queue, uint32_t index);

/* Returns the entry of a request; NO_ENTRY when it isn't waiting.  */
uint32_t csp_find_waiting_entry (const csp_queue_t *queue,
                                 uint32_t organisation, uint64_t id);

/* Returns the organisation's entry that is due first.  */
uint32_t csp_find_next_entry (const csp_queue_t *queue,
                              const organisation_t *organisation);

/* Whether the organisation has more tokens in flight than its share.  The
   request to be served isn't counted, as a single request may exceed a small
   share.  */
bool csp_is_borrowing (const csp_queue_t *queue,
                       const organisation_t *organisation);

#endif
