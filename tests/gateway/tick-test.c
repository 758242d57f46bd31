#include "gateway/gateway-imp.h"
#include "gateway/gateway-fixture.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

/* The work that a host does periodically.  */

enum
{
  PLANNED_TARGETS = 12000,
  TICKS = 100, /* in ten seconds */
  /* A tenth of the 1.2 % of a core that a host may spend on control.  */
  TICKS_MAX_CPU_MS = 12
};

static fixture_t fixture;
static clock_t ticks_cpu;

static void
time_ticks (void)
{
  clock_t began = clock ();
  int i;

  for (i = 0; i < TICKS; i++)
    {
      csp_expire_targets (fixture.gateway->fleet,
                          csp_gateway_now_ms (fixture.gateway));
      csp_update_reachability (fixture.gateway);
      csp_update_decider_role (fixture.gateway);
    }
  ticks_cpu = clock () - began;
}

/* Guards against periodic work that grows with the targets: hosts that serve
   nothing spend the processor that their callers need.  */
START_TEST (a_tick_does_not_look_at_each_target)
{
  int listener;
  int i;

  fixture_open (&fixture);
  fixture.after_run = time_ticks;
  fixture_publish_routes (&fixture, true);
  listener = fixture_add_target (&fixture, "t-0", "engines");
  for (i = 1; i < PLANNED_TARGETS; i++)
    {
      char id[32];

      snprintf (id, sizeof id, "t-%d", i);
      fixture_list_target (&fixture, listener, id, "engines");
    }
  fixture_await_updates (&fixture);
  fixture_close (&fixture);
  close (listener);
  ck_assert_int_lt (ticks_cpu * 1000 / CLOCKS_PER_SEC, TICKS_MAX_CPU_MS);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("tick");
  TCase *tcase = tcase_create ("tick");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, a_tick_does_not_look_at_each_target);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
