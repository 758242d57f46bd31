#ifndef COWSLIPSPOKE_CONTEXT_H
#define COWSLIPSPOKE_CONTEXT_H

#include "cowslipspoke/clock.h"
#include "cowslipspoke/log.h"
#include "cowslipspoke/metrics.h"
#include "cowslipspoke/settings.h"

/* The environment shared by all parts of a host: its settings, the clock, the
   log and the metrics.  It outlives all parts.  */
typedef struct
{
  csp_settings_t settings;
  csp_clock_t clock;
  csp_log_t *log;
  csp_metrics_t *metrics;
} csp_context_t;

#endif
