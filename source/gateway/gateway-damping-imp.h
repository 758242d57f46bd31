#ifndef CSP_GATEWAY_DAMPING_IMP_H
#define CSP_GATEWAY_DAMPING_IMP_H

#include "gateway/gateway-imp.h"

/* Damping of targets, see gateway-damping.c.  */

/* Fill in the losses of this host at a target; and whether a load is reported
   because of them alone.  */
void csp_fill_load_failures (const csp_gateway_t *gateway,
                             const csp_fleet_target_t *target,
                             csp_peer_load_t *load);
bool csp_reports_recent_failure (const csp_peer_load_t *load);

enum
{
  /* A host has losses at a few targets; the periodic update settles the counts
     of further ones.  */
  CSP_REMEMBERED_LOADS_MAX = 32
};

/* Loads that a host has reported, before its next report replaces them: those
   with recent losses and those at targets on probation.  */
typedef struct
{
  size_t count;
  csp_peer_load_t loads[CSP_REMEMBERED_LOADS_MAX];
} csp_remembered_loads_t;

void csp_remember_loads (csp_gateway_t *gateway, csp_peer_address_t peer,
                         csp_remembered_loads_t *loads);

/* Apply the losses in a report that has been recorded.  */
void csp_apply_reported_losses (csp_gateway_t *gateway,
                                csp_peer_address_t from,
                                const csp_hello_t *hello,
                                const csp_remembered_loads_t *before);

/* Behind a loss at an engine this host sends it one request at a time until
   one is answered.  Call the first with a request that was just sent, the
   second with one that is answered.  */
void csp_begin_trial_behind_loss (csp_exchange_t *exchange);
void csp_end_answered_trial (const csp_exchange_t *exchange);

/* End dampings and probations whose time is over.  Call it periodically.  */
void csp_update_target_dampings (csp_gateway_t *gateway);

#endif
