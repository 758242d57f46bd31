#ifndef CSP_ORDER_IMP_H
#define CSP_ORDER_IMP_H

#include "cowslipspoke/order.h"

/* History of one order at the current wanted revision.  sends counts the sends
   since the last lasting success, undone how often another owner undid the
   order.  met: the last report showed its outcome, first at met_since_ms.  The
   order isn't sent before next_ms.  unload_wanted_ms is when an unload was
   first wanted.  */
typedef struct
{
  csp_order_t order;
  uint32_t sends;
  uint32_t undone;
  bool met;
  int64_t met_since_ms;
  int64_t next_ms;
  int64_t unload_wanted_ms;
} csp_order_record_t;

struct csp_order_tracker
{
  bool granted;
  int64_t granted_ms;
  bool has_report;
  uint64_t report;
  int64_t fence;
  int64_t highest_fence;
  int64_t wanted_revision;
  int64_t logged_held_fence;
  bool pending;
  bool answered;
  int64_t sent_ms;
  int64_t answered_ms;
  csp_order_t order;
  csp_order_record_t *records;
  size_t record_count;
  size_t record_capacity;
  csp_order_status_t status;
};

/* Whether the report shows the order's outcome.  */
bool csp_is_order_satisfied (const csp_order_t *order,
                             const csp_order_report_t *report);

/* Returns the list's element of that name; NULL if there is none.  */
const csp_named_version_t *csp_find_versioned (const csp_named_version_t *list,
                                               size_t count, const char *name);

/* Returns the record of an order and creates it if there is none; NULL when
   out of memory.  */
csp_order_record_t *csp_find_or_add_order_record (csp_order_tracker_t *engine,
                                                  const csp_order_t *order,
                                                  int64_t now_ms);
csp_order_record_t *csp_find_order_record (csp_order_tracker_t *engine,
                                           const csp_order_t *order);

/* Updates all records from a report.  */
void csp_update_order_records (csp_order_tracker_t *engine,
                               const csp_order_facts_t *facts, bool restarted,
                               int64_t now_ms, csp_order_action_t *action);

/* Counts a send and sets the earliest time of the next.  */
void csp_record_order_sent (csp_order_record_t *record, int64_t now_ms);

/* Finds the next order to send; returns CSP_ORDER_SENT, or why there is
   none.  */
csp_order_state_t csp_choose_order (csp_order_tracker_t *engine,
                                    const csp_order_facts_t *facts,
                                    csp_order_pace_t *pace, int64_t now_ms,
                                    csp_order_t *order);

#endif
