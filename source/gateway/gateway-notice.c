#include "gateway/gateway-host-imp.h"

/* Notices about targets that are sent to all hosts.  */

enum
{
  /* A link that loses three datagrams in a hundred loses three in a row once
     in 37,000 times.  */
  NOTICE_SENDS = 3
};

bool
csp_add_notice (csp_notices_t *notices, uint64_t target)
{
  if (notices->count == CSP_NOTICES_MAX)
    return false;
  notices->rows[notices->count].target = target;
  notices->rows[notices->count].sends_left = NOTICE_SENDS;
  notices->count++;
  return true;
}

size_t
csp_take_notices (csp_notices_t *notices, uint64_t targets[CSP_NOTICES_MAX])
{
  size_t taken = notices->count;
  size_t remaining = 0;
  size_t i;

  for (i = 0; i < taken; i++)
    {
      targets[i] = notices->rows[i].target;
      if (--notices->rows[i].sends_left > 0)
        notices->rows[remaining++] = notices->rows[i];
    }
  notices->count = remaining;
  return taken;
}
