#ifndef CSP_ORDER_IMP_H
#define CSP_ORDER_IMP_H

#include "cowslipspoke/order.h"

/* What this owner remembers of one order at the wanted revision: sends since
   the last lasting success, and how often somebody undid it.  since_ms is
   when an unload was first wanted.  */
typedef struct
{
  csp_order_t order;
  uint32_t sends;
  uint32_t undone;
  bool seen;
  int64_t seen_ms;
  int64_t next_ms;
  int64_t since_ms;
} csp_order_note_t;

struct csp_order_engine
{
  bool granted;
  int64_t granted_ms;
  bool has_report;
  uint64_t report;
  int64_t fence;
  int64_t highest_fence;
  int64_t wanted_revision;
  int64_t held_fence;
  bool open;
  bool answered;
  int64_t sent_ms;
  int64_t answered_ms;
  csp_order_t order;
  csp_order_note_t *notes;
  size_t note_count;
  size_t note_room;
  csp_order_status_t status;
};

/* Whether the report shows what the order is for.  */
bool csp_order_met (const csp_order_t *order,
                    const csp_order_report_t *report);

/* The element of a list; NULL where it is not there.  */
const csp_versioned_t *csp_find_versioned (const csp_versioned_t *list,
                                           size_t count, const char *name);

/* The note of an order, made where there is none; NULL without memory.  */
csp_order_note_t *csp_take_order_note (csp_order_engine_t *engine,
                                       const csp_order_t *order,
                                       int64_t now_ms);
csp_order_note_t *csp_find_order_note (csp_order_engine_t *engine,
                                       const csp_order_t *order);

/* Compare all notes with a report.  */
void csp_follow_order_notes (csp_order_engine_t *engine,
                             const csp_order_facts_t *facts, bool restarted,
                             int64_t now_ms, csp_order_action_t *action);

/* Note a send, and the earliest time of the next.  */
void csp_note_order_sent (csp_order_note_t *note, int64_t now_ms);

/* The next order, with its note, or why there is none.  */
csp_order_state_t csp_choose_order (csp_order_engine_t *engine,
                                    const csp_order_facts_t *facts,
                                    csp_order_pace_t *pace, int64_t now_ms,
                                    csp_order_t *order);

#endif
