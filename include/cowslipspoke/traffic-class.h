#ifndef COWSLIPSPOKE_TRAFFIC_CLASS_H
#define COWSLIPSPOKE_TRAFFIC_CLASS_H

#include <stdbool.h>
#include <stdint.h>

/* Traffic classes of a service: urgent requests, which must start soon, and
   regular ones, which can wait.

   Load pattern: a burst of long requests fills the engines while short ones
   with a much shorter latency objective go on arriving.  In one queue the
   short ones wait for long ones that don't fit, and miss their objective.

   The class follows from the latency objectives that operators declare, not
   from priorities: an organisation's priority overrides its routes'.  */

typedef enum
{
  CSP_CLASS_REGULAR,
  CSP_CLASS_URGENT,
  CSP_CLASS_COUNT
} csp_traffic_class_t;

/* Whether a service has both classes: its longest declared objective is at
   least twice its shortest, so that regular requests can wait out an urgent
   one's whole objective.  0: no objective is declared.  */
bool csp_has_traffic_classes (uint32_t shortest_objective_ms,
                              uint32_t longest_objective_ms);

/* The class of a request by its route's objective and the longest objective
   of its service.  Without classes all requests are regular.  */
csp_traffic_class_t csp_classify_request (uint32_t objective_ms,
                                          uint32_t longest_objective_ms);

#endif
