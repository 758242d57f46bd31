#include "cowslipspoke/roster.h"

static const char *const names[CSP_REFUSED_FOR_COUNT]
    = { [CSP_REFUSED_FOR_UNKNOWN] = "unknown",
        [CSP_REFUSED_ON_ARRIVAL] = "arrival",
        [CSP_REFUSED_AFTER_WAIT] = "wait",
        [CSP_REFUSED_QUEUE_FULL] = "queue-full",
        [CSP_REFUSED_TABLE_FULL] = "table-full",
        [CSP_REFUSED_NO_QUEUE] = "no-queue",
        [CSP_REFUSED_TOO_LARGE] = "too-large" };

const char *
csp_refused_for_name (csp_refused_for_t cause)
{
  return names[cause];
}
