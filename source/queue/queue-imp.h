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
  csp_waiting_t waiting;
  uint64_t order;
  uint32_t next;
  uint32_t previous;
  bool used;
} entry_t;

/* Requests of one organisation and priority, oldest first.  */
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
  uint64_t flight_tokens;
  uint64_t flight_elsewhere;
  uint64_t passed_in_pump;
  int64_t passed_since_ms;
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
  uint32_t shown;
  uint64_t next_order;
  uint64_t pump;
  int64_t pump_ms;
  uint32_t passed_over;
  bool borrowers_held;
  double served_tokens;
  double busy_ms;
  int64_t rate_ms;
  uint32_t expire_at;
  uint32_t expire_checks;
  uint32_t check_from;
  uint32_t check_next;
};

/* Count the time since the last call towards the rate of service.  */
void csp_move_queue_rate (csp_queue_t *queue, int64_t now_ms);

/* How long until `cost` tokens of one organisation are served, its own
   request included.  */
double csp_queue_wait_ms (const csp_queue_t *queue, uint32_t organisation,
                          uint64_t cost);

/* Cost of what its organisation serves before a request; order tells which
   of two with the same due time came first, UINT64_MAX for a newcomer.  */
uint64_t csp_queue_cost_ahead (const csp_queue_t *queue,
                               const csp_waiting_t *waiting, uint64_t order);

/* When a request is due: its deadline less the head start of its priority.  */
int64_t csp_waiting_due_ms (const csp_queue_t *queue,
                            const csp_waiting_t *waiting);

/* Take an entry out of its list and free it.  */
void csp_unlink_waiting (csp_queue_t *queue, uint32_t index);

/* The entry of a request; NO_ENTRY when it isn't waiting.  */
uint32_t csp_locate_waiting (const csp_queue_t *queue, uint32_t organisation,
                             uint64_t id);

/* The organisation's entry whose turn it is.  */
uint32_t csp_organisation_head (const csp_queue_t *queue,
                                const organisation_t *organisation);

/* Whether it holds more in flight than its share.  What it asks for is left
   out, as one request may be more than a small share.  */
bool csp_queue_borrows (const csp_queue_t *queue,
                        const organisation_t *organisation);

#endif
