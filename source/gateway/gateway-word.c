#include "gateway/gateway-imp.h"

/* What targets say of themselves in the heads of their answers, whatever the
   answer is: that they leave.  */

enum
{
  STATUS_MISDIRECTED = 421
};

bool
csp_says_it_leaves (const csp_gateway_t *gateway, const csp_http_head_t *head)
{
  return csp_find_http_field (head, gateway->dialect->names[CSP_NAME_LEAVING])
         != NULL;
}

void
csp_take_target_word (csp_gateway_t *gateway, csp_fleet_target_t *target,
                      const csp_http_head_t *head)
{
  /* Another target answers at the address; it speaks of itself.  */
  if (head->status == STATUS_MISDIRECTED)
    return;
  if (csp_says_it_leaves (gateway, head))
    csp_hear_target_leaves (gateway, target);
}
