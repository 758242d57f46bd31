#ifndef CSP_LOSSES_IMP_H
#define CSP_LOSSES_IMP_H

#include "base/index-imp.h"
#include "cowslipspoke/losses.h"

/* Files:

   losses.c        reads log lines
   losses-print.c  tables by route, time and size  */

enum
{
  CSP_LOSS_ROUTES_MAX = 64,
  CSP_LOSS_NAME_BYTES = 64
};

/* Earlier log lines of a request.  For a pair of host and target, its
   existence means that the host had received the target's leave notice.  */
typedef struct
{
  csp_index_node_t node;
  bool copy_started;
  bool copy_refused;
  bool stalled;
} csp_loss_history_t;

typedef struct
{
  char name[CSP_LOSS_NAME_BYTES];
  uint64_t requests[CSP_LOSS_COUNT];
  uint64_t tokens[CSP_LOSS_COUNT];
} csp_loss_route_t;

typedef struct
{
  int64_t at_ms;
  csp_loss_t loss;
  size_t route;   /* index */
  int64_t tokens; /* expected memory; 0: no request for an engine */
} csp_request_end_t;

struct csp_losses
{
  csp_index_t histories;
  size_t history_count;
  size_t history_capacity;
  csp_loss_history_t **all_histories;
  size_t route_count;
  csp_loss_route_t
      routes[CSP_LOSS_ROUTES_MAX]; /* any further routes share the last row */
  size_t end_count;
  size_t end_capacity;
  csp_request_end_t *ends;
};

#endif
