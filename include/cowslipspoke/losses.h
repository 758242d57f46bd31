#ifndef COWSLIPSPOKE_LOSSES_H
#define COWSLIPSPOKE_LOSSES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Finds which requests were lost, and why, from the hosts' logs alone.

   The last line of a request says how it ended.  Why a stream was cut follows
   from the request's earlier lines and from what the host knew about the
   target: whether it had received the target's leave notice, and whether a
   copy to another target was started, refused or late.  */

typedef enum
{
  CSP_LOSS_NONE,             /* complete response */
  CSP_LOSS_NOTICE_UNSEEN,    /* the target ended, no notice received */
  CSP_LOSS_COPY_NOT_STARTED, /* notice received, but no copy was started */
  CSP_LOSS_COPY_REFUSED,     /* no other target accepted the copy */
  CSP_LOSS_COPY_LATE,        /* the target ended during the copy */
  CSP_LOSS_COPY_MISSING,     /* the new target did not have the copy */
  CSP_LOSS_LINK_RESET,       /* the connection to the target was reset */
  CSP_LOSS_STREAM_STALLED,   /* no data came until the caller left */
  CSP_LOSS_TARGET_FAILED,    /* the response was missing, invalid or for
                                another request */
  CSP_LOSS_TARGET_ERROR,     /* the target's error response was passed on */
  CSP_LOSS_TARGET_REFUSED,
  CSP_LOSS_REFUSED_ON_ARRIVAL,  /* no capacity was expected in time */
  CSP_LOSS_NO_CAPACITY_IN_TIME, /* waited, but no capacity became free */
  CSP_LOSS_NO_TARGET,           /* no target is listed or reachable */
  CSP_LOSS_CORDONED,      /* all its targets' data centres are cordoned */
  CSP_LOSS_BACKED_OFF,    /* all targets had asked for backoff */
  CSP_LOSS_RATE_LIMITED,  /* all targets were at the limits that they state */
  CSP_LOSS_RELAY_REFUSED, /* refused by the host that it was relayed to */
  CSP_LOSS_RELAY_LOST,    /* lost at or with the host that it was relayed to */
  CSP_LOSS_QUARANTINED,   /* targets ended while serving the request */
  CSP_LOSS_HOST_STOPPING,
  CSP_LOSS_LINK_FULL, /* the host's network link carries no further stream */
  CSP_LOSS_HOST_LATE, /* its time was over, or its caller left, while the host
                         itself was late */
  CSP_LOSS_TIME_OVER,
  CSP_LOSS_CALLER_LEFT,
  CSP_LOSS_OTHER,
  CSP_LOSS_COUNT
} csp_loss_t;

const char *csp_loss_name (csp_loss_t loss);

typedef struct csp_losses csp_losses_t;

/* NULL when memory fails.  */
csp_losses_t *csp_create_losses (void);
void csp_destroy_losses (csp_losses_t *losses);

/* Process one line of a host's log; text before the first brace is ignored.
   Lines of the same host must be passed in their order.  Returns false if it
   is not a log line of a host, which is then ignored.  */
bool csp_process_loss_line (csp_losses_t *losses, const char *line);

/* Number of requests of a route, or of all routes if it is NULL, that ended
   with this loss.  */
uint64_t csp_count_losses (const csp_losses_t *losses, const char *route,
                           csp_loss_t loss);

/* Print a table by route and cause, and one by time and cause.  */
void csp_print_losses (const csp_losses_t *losses, FILE *stream);

#endif
