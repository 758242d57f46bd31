#ifndef COWSLIPSPOKE_LOSSES_H
#define COWSLIPSPOKE_LOSSES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Which requests were lost, and why, from the logs of the hosts alone.

   The last line of a request says how it ended; why a text was cut is told by
   the lines before it and by what the host knew of the target: whether it had
   heard that the target leaves, whether a copy was begun, refused or late.  */

typedef enum
{
  CSP_LOSS_NONE,          /* whole answer */
  CSP_LOSS_NOTICE_UNSEEN, /* the target ended and the host knew of no notice */
  CSP_LOSS_NO_ROOM,       /* it knew, and no copy was begun */
  CSP_LOSS_COPY_REFUSED,  /* no other target had room for the copy */
  CSP_LOSS_COPY_LATE,     /* the target ended while the run was copied */
  CSP_LOSS_COPY_MISSING,  /* no copy was where the run was to go on */
  CSP_LOSS_LINK_RESET,    /* the connection to the target was reset */
  CSP_LOSS_LINK_SILENT,   /* the stream stood still until its caller left */
  CSP_LOSS_TARGET_FAILED, /* the target answered another request, or not */
  CSP_LOSS_TARGET_ERROR,  /* an error of the target's own was passed on */
  CSP_LOSS_TARGET_REFUSED,
  CSP_LOSS_REFUSED_ON_ARRIVAL, /* no place was expected in time */
  CSP_LOSS_WAITED_IN_VAIN,     /* no place came in time */
  CSP_LOSS_NO_TARGET,          /* none is listed or can be reached */
  CSP_LOSS_CORDONED,           /* operators let all of its targets be */
  CSP_LOSS_BACKED_OFF,         /* all targets had asked for a wait */
  CSP_LOSS_QUARANTINED,        /* targets had ended under the request */
  CSP_LOSS_HOST_STOPPING,
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

/* Take one line of a host's log; what stands before its first brace, and lines
   that are none, are passed over.  Lines of one host must come in their order.
   False where it is no line of a log.  */
bool csp_read_loss_line (csp_losses_t *losses, const char *line);

/* How many requests of a route, or of all where it is NULL, ended so.  */
uint64_t csp_count_losses (const csp_losses_t *losses, const char *route,
                           csp_loss_t loss);

/* A table by route and cause, and one by time and cause.  */
void csp_print_losses (const csp_losses_t *losses, FILE *stream);

#endif
