#ifndef COWSLIPSPOKE_RATE_LIMIT_H
#define COWSLIPSPOKE_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Rate limit that a target states in its answers: the requests per second that
   it takes from all hosts together, for as long as its answers say so.

   Only the host that got an answer reads it, so hosts report limits to each
   other.  Reports may be lost, and an old one may arrive after a newer one.
   An answer that states no limit ends it only if its request was sent after
   the newest answer with a limit had arrived; otherwise the target may have
   written it first.  */

/* What one answer of a target says, as hosts report it to each other.  */
typedef struct
{
  bool ended;       /* the answer states no limit */
  double max_per_s; /* unless ended */
  /* Time since the answer arrived or, if ended, since its request was sent. */
  uint32_t age_ms;
} csp_rate_report_t;

/* What a host knows of a target's limit; a plain value, 0 at first.  */
typedef struct
{
  bool limited;
  bool bad_logged; /* an unreadable value was logged */
  double max_per_s;
  double logged_per_s;
  int64_t stated_ms;  /* when the newest answer with a limit arrived */
  int64_t ended_ms;   /* when the newest request was sent whose answer has no
                         limit */
  int64_t changed_ms; /* when a limit last began or ended here; 0: never */
} csp_rate_limit_t;

typedef enum
{
  CSP_RATE_UNCHANGED,
  CSP_RATE_BEGAN,
  CSP_RATE_CHANGED, /* the limit has another value */
  CSP_RATE_ENDED
} csp_rate_change_t;

/* Reads a decimal number of requests per second.  Returns false if the value
   is anything else; very large values are reduced.  */
bool csp_parse_rate (const char *value, double *max_per_s);

/* Applies a report, of this host's own answer or of another host's.  */
csp_rate_change_t csp_note_rate_report (csp_rate_limit_t *limit,
                                        const csp_rate_report_t *report,
                                        int64_t now_ms);

/* Returns what this host knows, to be reported to another host.  */
csp_rate_report_t csp_make_rate_report (const csp_rate_limit_t *limit,
                                        int64_t now_ms);

#endif
