#include "cowslipspoke/host-delay.h"

#include "support/run-suite.h"

#include <check.h>

enum
{
  SAMPLES_MAX = 4
};

typedef struct
{
  int64_t at_ms;
  uint32_t took_ms;
} sample_t;

static const struct
{
  const char *what;
  sample_t samples[SAMPLES_MAX]; /* up to one at 0 ms */
  int64_t now_ms;
  uint32_t delay_ms;
} cases[] = {
  { "no connection opens", { { 0, 0 } }, 10000, 0 },
  { "one slow target", { { 9600, 300 }, { 9700, 2 } }, 9900, 2 },
  { "all are slow", { { 9600, 300 }, { 9700, 250 } }, 9900, 250 },
  { "a burst that has passed", { { 9400, 2 }, { 9600, 300 } }, 9900, 2 },
  { "late for a second", { { 8900, 2 }, { 9600, 300 } }, 9900, 300 },
  { "in time again", { { 9400, 300 }, { 9600, 2 } }, 9900, 2 },
  { "the last window", { { 9400, 300 } }, 9900, 300 },
  { "long ago", { { 8900, 300 } }, 9900, 0 },
  { "a window without any", { { 8900, 2 }, { 9900, 300 } }, 9950, 300 },
};

START_TEST (delay_of_the_link_is_the_least_time_lately)
{
  csp_host_delay_t *delay = csp_create_host_delay ();
  size_t i;

  for (i = 0; cases[_i].samples[i].at_ms != 0; i++)
    csp_note_connect_time (delay, cases[_i].samples[i].took_ms,
                           cases[_i].samples[i].at_ms);
  csp_note_loop_delay (delay, 7, cases[_i].now_ms);
  ck_assert_msg (csp_get_link_delay_ms (delay, cases[_i].now_ms)
                     == cases[_i].delay_ms,
                 "%s", cases[_i].what);
  ck_assert_uint_eq (csp_get_host_delay_ms (delay, cases[_i].now_ms),
                     cases[_i].delay_ms + 7);
  csp_destroy_host_delay (delay);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("host delay");
  TCase *tcase = tcase_create ("host delay");

  tcase_add_loop_test (tcase, delay_of_the_link_is_the_least_time_lately, 0,
                       sizeof cases / sizeof cases[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
