#ifndef TESTS_DISPATCH_FIXTURE_H
#define TESTS_DISPATCH_FIXTURE_H

#include "cowslipspoke/dispatch.h"

/* A decider over an empty fleet, and the answers that it has delivered.  The
   fleet serves one service, "s".  */

enum
{
  DISPATCH_ANSWERS_MAX = 512
};

extern csp_fleet_t *fleet;
extern csp_dispatch_t *dispatch;
extern csp_ask_answer_t answers[DISPATCH_ANSWERS_MAX];
extern size_t answer_count;

void open_dispatch (void);
void close_dispatch (void);

/* Lists a target; data_centre may be empty.  */
void list_engine (const char *id, const char *data_centre, uint32_t slots,
                  bool leaving);

#endif
