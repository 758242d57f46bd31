#include "dispatch/dispatch-fixture.h"

#include <check.h>
#include <stdio.h>

csp_fleet_t *fleet;
csp_dispatch_t *dispatch;
csp_ask_answer_t answers[DISPATCH_ANSWERS_MAX];
size_t answer_count;

static void
record_answer (void *state, const csp_ask_answer_t *answer)
{
  (void)state;
  ck_assert_uint_lt (answer_count, DISPATCH_ANSWERS_MAX);
  answers[answer_count++] = *answer;
}

void
open_dispatch (void)
{
  answer_count = 0;
  fleet = csp_create_fleet (NULL, NULL, NULL);
  dispatch = csp_create_dispatch (fleet, record_answer, NULL, 3);
  ck_assert_ptr_nonnull (dispatch);
}

void
close_dispatch (void)
{
  csp_destroy_dispatch (dispatch);
  csp_destroy_fleet (fleet);
}

void
list_engine (const char *id, const char *data_centre, uint32_t slots,
             bool leaving)
{
  csp_fleet_row_t row = { .slots = slots, .leaving = leaving };

  snprintf (row.id, sizeof row.id, "%s", id);
  snprintf (row.service, sizeof row.service, "s");
  snprintf (row.data_centre, sizeof row.data_centre, "%s", data_centre);
  ck_assert (csp_update_target (fleet, &row, 0));
}
