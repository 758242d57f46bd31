#include "gateway/gateway-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

/* A host whose descriptors run out.  */

enum
{
  WAIT_MS = 10000
};

static fixture_t fixture;

static void
set_up (void)
{
  fixture_open (&fixture);
  fixture_publish_routes (&fixture, true);
  fixture_send_update (&fixture, CSP_UPDATE_TARGETS_LISTED);
}

static void
tear_down (void)
{
  fixture_close (&fixture);
}

/* Guards against a listener that is deaf once descriptors have run out, as
   most new connections came to one host: the callers are turned away, unread,
   and the next ones are served.  */
START_TEST (callers_are_served_again_after_descriptors_ran_out)
{
  static const char request[] = REQUEST ("/safe/x", "r1");
  int target = fixture_add_target (&fixture, "t-1", "plain");
  struct pollfd ready[2];
  struct rlimit usual;
  struct rlimit tight;
  int caller = dup (0);
  int link;

  getrlimit (RLIMIT_NOFILE, &usual);
  tight = usual;
  /* Only the caller's own end gets a descriptor.  */
  tight.rlim_cur = (rlim_t)caller + 1;
  close (caller);
  setrlimit (RLIMIT_NOFILE, &tight);
  caller = open_caller (&fixture);
  ck_assert (await_close (caller));
  setrlimit (RLIMIT_NOFILE, &usual);
  ready[0] = (struct pollfd){ .fd = target, .events = POLLIN };
  /* What comes while the host turns callers away is closed too.  */
  do
    {
      close (caller);
      caller = open_caller (&fixture);
      send (caller, request, strlen (request), MSG_NOSIGNAL);
      ready[1] = (struct pollfd){ .fd = caller, .events = POLLIN };
      ck_assert_int_gt (poll (ready, 2, WAIT_MS), 0);
    }
  while (ready[0].revents == 0);
  link = accept_target_connection (target);
  read_target_request (link, 0);
  send_text (link, ANSWER ("r1", "yes", "3"));
  read_until (caller, "yes");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("descriptors");
  TCase *tests = tcase_create ("descriptors");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, callers_are_served_again_after_descriptors_ran_out);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
