#ifndef COWSLIPSPOKE_HOST_DELAY_H
#define COWSLIPSPOKE_HOST_DELAY_H

#include <stdint.h>

/* How late this host itself is: its network link and its event loop.

   Load pattern: most callers of a data centre come to one host, whose link or
   processor is then busy.  All that it sends and hears is late, also what
   tells whether peers, targets and the platform are alive.

   The delay of the link is the least time lately that a connection took to
   open: a slow peer or a lossy path delays some of them, only this host's own
   link delays all.  The least of a second shows a standing queue, not a burst
   that has passed.  Where no connection opens the delay counts as none: the
   host is idle, or its paths are cut.  */

enum
{
  /* From this delay on a host counts as late: plain requests are due within
     some hundred milliseconds.  */
  CSP_HOST_LATE_MS = 100
};

typedef struct csp_host_delay csp_host_delay_t;

/* NULL when out of memory.  */
csp_host_delay_t *csp_create_host_delay (void);
void csp_destroy_host_delay (csp_host_delay_t *delay);

/* Records how long a connection took to open.  */
void csp_note_connect_time (csp_host_delay_t *delay, uint32_t took_ms,
                            int64_t now_ms);

/* Records how late a timer of the event loop was.  */
void csp_note_loop_delay (csp_host_delay_t *delay, uint32_t late_ms,
                          int64_t now_ms);

/* The delays of the link and of the event loop, each of the last second, and
   their sum.  */
uint32_t csp_get_link_delay_ms (const csp_host_delay_t *delay, int64_t now_ms);
uint32_t csp_get_loop_delay_ms (const csp_host_delay_t *delay, int64_t now_ms);
uint32_t csp_get_host_delay_ms (const csp_host_delay_t *delay, int64_t now_ms);

#endif
