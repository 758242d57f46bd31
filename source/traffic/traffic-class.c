#include "cowslipspoke/traffic-class.h"

enum
{
  /* An urgent request's objective is at most the longest one divided by
     this.  */
  URGENT_DIVISOR = 2
};

static bool
is_urgent (uint32_t objective_ms, uint32_t longest_objective_ms)
{
  return objective_ms > 0
         && objective_ms <= longest_objective_ms / URGENT_DIVISOR;
}

bool
csp_has_traffic_classes (uint32_t shortest_objective_ms,
                         uint32_t longest_objective_ms)
{
  return is_urgent (shortest_objective_ms, longest_objective_ms);
}

csp_traffic_class_t
csp_classify_request (uint32_t objective_ms, uint32_t longest_objective_ms)
{
  return is_urgent (objective_ms, longest_objective_ms) ? CSP_CLASS_URGENT
                                                        : CSP_CLASS_REGULAR;
}
