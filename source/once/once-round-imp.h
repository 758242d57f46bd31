#ifndef COWSLIPSPOKE_ONCE_ROUND_IMP_H
#define COWSLIPSPOKE_ONCE_ROUND_IMP_H

#include "cowslipspoke/once.h"

typedef enum
{
  HOST_UNASKED,
  HOST_ASKED,
  HOST_RECORDED,
  HOST_SILENT,
  HOST_STATUS_COUNT
} host_status_t;

typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  uint64_t rank;
  host_status_t status;
  bool was_asked;
  bool acked;
} host_t;

typedef enum
{
  ROUND_ASKING_FIRST, /* the first host in rendezvous order is asked */
  ROUND_ASKING_REST,  /* all others are asked */
  ROUND_GRANTED,      /* may run; no byte has been sent */
  ROUND_SENT,
  ROUND_SENDING_OUTCOME,
  ROUND_OVER
} round_state_t;

/* hosts: in rendezvous order.  by_status: number of hosts in each status.
   list: host names for the current action.  wait_started_ms: start of the
   current wait for answers.  resend_ms: when the asks, or the outcome, are
   next resent.  */
struct csp_once_round_s
{
  csp_once_settings_t settings;
  csp_once_key_t key;
  csp_claim_id_t claim;
  round_state_t state;
  csp_once_outcome_t outcome;
  bool view_complete;
  int64_t view_confirmed_ms;
  int64_t deadline_ms;
  int64_t grant_expires_ms;
  int64_t wait_started_ms;
  int64_t resend_ms;
  uint32_t outcome_sends;
  size_t count;
  size_t by_status[HOST_STATUS_COUNT];
  size_t witnesses;
  host_t *hosts;
  const char **list;
};

void csp_set_once_host_status (csp_once_round_t *round, host_t *host,
                               host_status_t status);

/* NULL if the round doesn't ask the host.  */
host_t *csp_find_once_host (csp_once_round_t *round, const char *name);

#endif
