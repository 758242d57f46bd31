#include "cowslipspoke/host-ref.h"

#include <string.h>

bool
csp_is_same_incarnation (const csp_host_ref_t *a, const csp_host_ref_t *b)
{
  return a->incarnation == b->incarnation && strcmp (a->name, b->name) == 0;
}
