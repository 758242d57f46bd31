#include "cowslipspoke/clock.h"

enum
{
  MS_PER_S = 1000,
  US_PER_S = 1000000,
  NS_PER_US = 1000,
  NS_PER_MS = 1000000
};

static struct timespec
read_clock (clockid_t id)
{
  struct timespec now = { 0, 0 };

  clock_gettime (id, &now);
  return now;
}

/* CLOCK_BOOTTIME also counts while the machine is suspended.  With
   CLOCK_MONOTONIC a host that was suspended for longer than its lease would
   resume and still use the lease.  */
static struct timespec
read_steady (void *state)
{
  (void)state;
  return read_clock (CLOCK_BOOTTIME);
}

static struct timespec
read_wall (void *state)
{
  (void)state;
  return read_clock (CLOCK_REALTIME);
}

csp_clock_t
csp_system_clock (void)
{
  csp_clock_t clock = { read_steady, read_wall, NULL };

  return clock;
}

int64_t
csp_now_ms (const csp_clock_t *clock)
{
  struct timespec now = clock->steady (clock->state);

  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

int64_t
csp_now_us (const csp_clock_t *clock)
{
  struct timespec now = clock->steady (clock->state);

  return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

int64_t
csp_wall_ms (const csp_clock_t *clock)
{
  struct timespec now = clock->wall (clock->state);

  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

static struct timespec
timespec_of_ms (int64_t ms)
{
  struct timespec time = { ms / MS_PER_S, (ms % MS_PER_S) * NS_PER_MS };

  return time;
}

static struct timespec
read_fake_steady (void *state)
{
  return timespec_of_ms (((csp_fake_clock_t *)state)->steady_ms);
}

static struct timespec
read_fake_wall (void *state)
{
  return timespec_of_ms (((csp_fake_clock_t *)state)->wall_ms);
}

csp_clock_t
csp_clock_from_fake (csp_fake_clock_t *fake)
{
  csp_clock_t clock = { read_fake_steady, read_fake_wall, fake };

  return clock;
}

void
csp_advance_fake_clock (csp_fake_clock_t *fake, int64_t ms)
{
  fake->steady_ms += ms;
  fake->wall_ms += ms;
}
