#include "control/control-imp.h"

#include <stdlib.h>
#include <string.h>

/* The table of requests that wait for admission or hold a grant.  */

enum
{
  INITIAL_REQUESTS = 256,
  MAX_REQUESTS = 65536
};

bool
csp_init_request_table (csp_control_t *control)
{
  control->requests = calloc (INITIAL_REQUESTS, sizeof *control->requests);
  control->request_capacity = INITIAL_REQUESTS;
  return control->requests != NULL;
}

/* An id holds the index in its low part and a counter in its high part, so
   that a late command for a row that was reused finds no request.  */
csp_tracked_request_t *
csp_find_request (csp_control_t *control, uint64_t id)
{
  csp_tracked_request_t *request = &control->requests[id % MAX_REQUESTS];

  if (id % MAX_REQUESTS >= control->request_capacity || request->id != id)
    return NULL;
  return request;
}

static bool
grow_table (csp_control_t *control)
{
  uint32_t capacity = control->request_capacity * 2;
  csp_tracked_request_t *requests;

  if (capacity > MAX_REQUESTS)
    return false;
  requests = realloc (control->requests, capacity * sizeof *requests);
  if (requests == NULL)
    return false;
  memset (requests + control->request_capacity, 0,
          control->request_capacity * sizeof *requests);
  control->requests = requests;
  control->request_capacity = capacity;
  return true;
}

csp_tracked_request_t *
csp_add_request (csp_control_t *control)
{
  uint32_t i;

  if (control->request_count == control->request_capacity
      && !grow_table (control))
    return NULL;
  for (i = 0; control->requests[i].id != 0; i++)
    ;
  control->request_count++;
  control->next_request++;
  memset (&control->requests[i], 0, sizeof control->requests[i]);
  control->requests[i].id = control->next_request * MAX_REQUESTS + i;
  return &control->requests[i];
}

void
csp_remove_request (csp_control_t *control, csp_tracked_request_t *request)
{
  /* For a request that was not admitted; one that ran is already settled.  */
  csp_settle_limits (request, 0);
  request->id = 0;
  control->request_count--;
}

csp_tracked_request_t *
csp_find_request_of_waiter (csp_control_t *control, uint64_t number)
{
  uint32_t i;

  for (i = 0; i < control->request_capacity; i++)
    if (control->requests[i].id != 0 && control->requests[i].waiter != NULL
        && control->requests[i].waiter_number == number)
      return &control->requests[i];
  return NULL;
}
