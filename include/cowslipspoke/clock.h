#ifndef COWSLIPSPOKE_CLOCK_H
#define COWSLIPSPOKE_CLOCK_H

#include <stdint.h>
#include <time.h>

/* Time as an interface, so that tests can stop it, move it and skip it.

   steady is a clock that never steps back and that goes on while the process
   or the machine is suspended; leases and deadlines are counted on it.  wall
   is the calendar, for logs and for ages that callers state.  */
typedef struct
{
  struct timespec (*steady) (void *state);
  struct timespec (*wall) (void *state);
  void *state;
} csp_clock_t;

/* The machine's own clock.  */
csp_clock_t csp_system_clock (void);

/* Steady time in whole milliseconds.  */
int64_t csp_now_ms (const csp_clock_t *clock);

/* Steady time in microseconds, for gaps between tokens.  */
int64_t csp_now_us (const csp_clock_t *clock);

/* Calendar time in milliseconds since 1970.  */
int64_t csp_wall_ms (const csp_clock_t *clock);

/* A clock that stands still until it is moved; for tests and replays.  */
typedef struct
{
  int64_t steady_ms;
  int64_t wall_ms;
} csp_fake_clock_t;

/* The interface of a fake clock, which must outlive it.  */
csp_clock_t csp_clock_of_fake (csp_fake_clock_t *fake);

/* Move both times of a fake clock on.  */
void csp_advance_fake_clock (csp_fake_clock_t *fake, int64_t ms);

#endif
