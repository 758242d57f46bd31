#ifndef COWSLIPSPOKE_CLOCK_H
#define COWSLIPSPOKE_CLOCK_H

#include <stdint.h>
#include <time.h>

/* A clock interface, so that tests can stop and advance time.

   steady never steps back and keeps running while the process or the machine
   is suspended; leases and deadlines use it.  wall is Unix time, for logs and
   for ages that callers report.  */
typedef struct
{
  struct timespec (*steady) (void *state);
  struct timespec (*wall) (void *state);
  void *state;
} csp_clock_t;

/* The clock of the operating system.  */
csp_clock_t csp_system_clock (void);

/* Steady time in whole milliseconds.  */
int64_t csp_now_ms (const csp_clock_t *clock);

/* Steady time in microseconds, for gaps between tokens.  */
int64_t csp_now_us (const csp_clock_t *clock);

/* Unix time in milliseconds.  */
int64_t csp_wall_ms (const csp_clock_t *clock);

/* A clock that changes only when it is advanced; for tests and replays.  */
typedef struct
{
  int64_t steady_ms;
  int64_t wall_ms;
} csp_fake_clock_t;

/* The clock interface of a fake clock, which must outlive it.  */
csp_clock_t csp_clock_from_fake (csp_fake_clock_t *fake);

/* Advances both times of a fake clock.  */
void csp_advance_fake_clock (csp_fake_clock_t *fake, int64_t ms);

#endif
