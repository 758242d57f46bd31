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
  bool touched;
  bool told;
} host_t;

typedef enum
{
  ROUND_FIRST,   /* the first host in rendezvous order is asked */
  ROUND_REST,    /* all others are asked */
  ROUND_GRANTED, /* the key is ours, no byte has left */
  ROUND_SENT,
  ROUND_TELLING,
  ROUND_OVER
} round_state_t;

/* hosts: in rendezvous order.  by_status: how many there are of each.  list:
   names for the present action. asked_ms: start of the present wait;
   resend_ms: next repeat.  */
struct csp_once_round_s
{
  csp_once_settings_t settings;
  csp_once_key_t key;
  csp_claim_id_t claim;
  round_state_t state;
  csp_once_outcome_t outcome;
  bool view_complete;
  int64_t view_ms;
  int64_t deadline_ms;
  int64_t run_until_ms;
  int64_t asked_ms;
  int64_t resend_ms;
  uint32_t tells;
  size_t count;
  size_t by_status[HOST_STATUS_COUNT];
  size_t witnesses;
  host_t *hosts;
  const char **list;
};

void csp_mark_once_host (csp_once_round_t *round, host_t *host,
                         host_status_t status);

/* NULL for a name that is not among the hosts of the round.  */
host_t *csp_find_once_host (csp_once_round_t *round, const char *name);

#endif
