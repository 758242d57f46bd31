#include "cowslipspoke/host-delay.h"

#include <stdlib.h>

enum
{
  /* A busy host opens some connections in this time.  */
  WINDOW_MS = 500
};

/* The least value of the current window and of the one before.  */
typedef struct
{
  int64_t window; /* number of the current window */
  uint32_t least_ms;
  uint32_t previous_least_ms;
} least_t;

struct csp_host_delay
{
  least_t connect_time;
  least_t loop_delay;
};

static const least_t no_values
    = { .least_ms = UINT32_MAX, .previous_least_ms = UINT32_MAX };

csp_host_delay_t *
csp_create_host_delay (void)
{
  csp_host_delay_t *delay = calloc (1, sizeof *delay);

  if (delay == NULL)
    return NULL;
  delay->connect_time = no_values;
  delay->loop_delay = no_values;
  return delay;
}

void
csp_destroy_host_delay (csp_host_delay_t *delay)
{
  free (delay);
}

static void
add_value (least_t *least, uint32_t value_ms, int64_t now_ms)
{
  int64_t window = now_ms / WINDOW_MS;

  if (window != least->window)
    {
      least->previous_least_ms
          = window == least->window + 1 ? least->least_ms : UINT32_MAX;
      least->least_ms = UINT32_MAX;
      least->window = window;
    }
  if (value_ms < least->least_ms)
    least->least_ms = value_ms;
}

/* Returns 0 where there is no value.  */
static uint32_t
get_least (const least_t *least, int64_t now_ms)
{
  int64_t age = now_ms / WINDOW_MS - least->window;
  uint32_t value_ms = UINT32_MAX;

  if (age == 0 || age == 1)
    value_ms = least->least_ms;
  if (age == 0 && least->previous_least_ms < value_ms)
    value_ms = least->previous_least_ms;
  return value_ms == UINT32_MAX ? 0 : value_ms;
}

void
csp_note_connect_time (csp_host_delay_t *delay, uint32_t took_ms,
                       int64_t now_ms)
{
  add_value (&delay->connect_time, took_ms, now_ms);
}

void
csp_note_loop_delay (csp_host_delay_t *delay, uint32_t late_ms, int64_t now_ms)
{
  add_value (&delay->loop_delay, late_ms, now_ms);
}

uint32_t
csp_get_link_delay_ms (const csp_host_delay_t *delay, int64_t now_ms)
{
  return get_least (&delay->connect_time, now_ms);
}

uint32_t
csp_get_loop_delay_ms (const csp_host_delay_t *delay, int64_t now_ms)
{
  return get_least (&delay->loop_delay, now_ms);
}

uint32_t
csp_get_host_delay_ms (const csp_host_delay_t *delay, int64_t now_ms)
{
  return csp_get_link_delay_ms (delay, now_ms)
         + csp_get_loop_delay_ms (delay, now_ms);
}
