#ifndef COWSLIPSPOKE_CONTEXT_H
#define COWSLIPSPOKE_CONTEXT_H

#include "cowslipspoke/clock.h"
#include "cowslipspoke/log.h"
#include "cowslipspoke/metrics.h"
#include "cowslipspoke/settings.h"

/* What every part of a host is given: its settings, the time, and where it
   writes events and counts.  It outlives all parts.  */
typedef struct
{
  csp_settings_t settings;
  csp_clock_t clock;
  csp_log_t *log;
  csp_metrics_t *metrics;
} csp_context_t;

#endif
