#ifndef COWSLIPSPOKE_HOST_REF_H
#define COWSLIPSPOKE_HOST_REF_H

#include <stdbool.h>
#include <stdint.h>

#include "cowslipspoke/names.h"

/* One incarnation of a host.  A process that restarts under the same name and
   address has lost its memory, so it counts as another host, with a higher
   incarnation.  */
typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  uint64_t incarnation;
} csp_host_ref_t;

/* Whether both are the same incarnation of the same host.  */
bool csp_is_same_incarnation (const csp_host_ref_t *a,
                              const csp_host_ref_t *b);

#endif
