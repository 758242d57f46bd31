/* Runs rounds against every kind of answer with a fake clock.  Checks the
   verdict that the caller gets and whether the key can be claimed again.  */

#include "cowslipspoke/once.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOSTS = 3,
  START_MS = 100000,
  WALL_MS = 1000000,
  DEADLINE_MS = START_MS + 60000,
  MAX_STEPS = 40
};

/* The state or fault that a test case sets up at hosts, key or asking host. */
typedef enum
{
  HEALTHY,
  ONE_SILENT,         /* the first host asked does not answer */
  LAST_SILENT,        /* the last host asked does not answer */
  CENTRE_UNREACHABLE, /* one host is in another data centre, unreachable */
  ONE_LOST,           /* a host is known to be unreachable */
  ANSWER_LOST,        /* the first answer of each host is lost */
  OPEN_ELSEWHERE,     /* another claim is open */
  RAN_ELSEWHERE,      /* another claim ran */
  CUT_ELSEWHERE,      /* another claim was cut after bytes were sent */
  CLOSED_ELSEWHERE,   /* another claim ended as CLOSED */
  ENDED_ELSEWHERE,    /* another claim ended as NOT_RUN */
  ONE_RESTARTED,      /* one host restarted 1 s ago */
  ALL_RESTARTED,
  KEY_OLD,
  KEY_FUTURE,
  HOST_FULL,
  VIEW_OLD,  /* the list of hosts is stale, as after a pause */
  VIEW_NONE, /* no list of hosts was read yet */
  NOT_LISTED,
  PAUSED_BEFORE_SEND,
  PAUSED_BEFORE_ANSWER,
  CALLER_GONE,
  TARGET_REFUSED
} scenario_t;

typedef struct
{
  csp_once_scope_t scope;
  scenario_t scenario;
  uint32_t allowed_silent;
  bool runs;
  csp_verdict_t verdict;
  csp_reason_t reason;
  bool may_claim_again; /* whether a repeat without faults runs */
} test_case_t;

typedef struct
{
  const test_case_t *test_case;
  csp_once_settings_t settings;
  csp_random_t random;
  csp_once_peer_t peers[HOSTS];
  csp_once_key_store_t *hosts[HOSTS];
  csp_once_key_t key;
  int64_t now_ms;
  int ask_count;
  int first_asked;
  bool ran;
  csp_once_action_t last;
} fixture_t;

#define HOST_SCOPE CSP_ONCE_SCOPE_HOST
#define CENTRE_SCOPE CSP_ONCE_SCOPE_DATA_CENTRE
#define ALL_SCOPE CSP_ONCE_SCOPE_ALL
#define RUNS true, CSP_VERDICT_RAN, CSP_REASON_NONE
#define MAY_HAVE_RUN(reason)                                                  \
  false, CSP_VERDICT_MAY_HAVE_RUN, CSP_REASON_##reason
#define NOT_RUN(reason) false, CSP_VERDICT_NOT_RUN, CSP_REASON_##reason
#define RAN(reason) false, CSP_VERDICT_RAN, CSP_REASON_##reason

static const test_case_t test_cases[] = {
  { HOST_SCOPE, HEALTHY, 0, RUNS, false },
  { HOST_SCOPE, ONE_SILENT, 0, MAY_HAVE_RUN (UNDECIDED), true },
  { HOST_SCOPE, ONE_LOST, 0, MAY_HAVE_RUN (UNDECIDED), true },
  { HOST_SCOPE, ANSWER_LOST, 0, RUNS, false },
  { HOST_SCOPE, OPEN_ELSEWHERE, 0, MAY_HAVE_RUN (UNDECIDED), false },
  { HOST_SCOPE, RAN_ELSEWHERE, 0, RAN (REPEATED), false },
  { HOST_SCOPE, CUT_ELSEWHERE, 0, MAY_HAVE_RUN (REPEATED), false },
  { HOST_SCOPE, CLOSED_ELSEWHERE, 0, NOT_RUN (REPEATED), false },
  { HOST_SCOPE, ENDED_ELSEWHERE, 0, RUNS, false },
  { HOST_SCOPE, ALL_RESTARTED, 0, MAY_HAVE_RUN (UNDECIDED), false },
  { HOST_SCOPE, KEY_OLD, 0, MAY_HAVE_RUN (UNDECIDED), false },
  { HOST_SCOPE, KEY_FUTURE, 0, MAY_HAVE_RUN (UNDECIDED), false },
  { HOST_SCOPE, HOST_FULL, 0, MAY_HAVE_RUN (LIMIT), false },
  { HOST_SCOPE, VIEW_OLD, 0, RUNS, false },
  { HOST_SCOPE, NOT_LISTED, 0, MAY_HAVE_RUN (UNDECIDED), true },
  { HOST_SCOPE, PAUSED_BEFORE_SEND, 0, NOT_RUN (DEADLINE), false },
  { HOST_SCOPE, PAUSED_BEFORE_ANSWER, 0, NOT_RUN (DEADLINE), false },
  { HOST_SCOPE, TARGET_REFUSED, 0, NOT_RUN (NONE), false },
  { HOST_SCOPE, CENTRE_UNREACHABLE, 0, RUNS, false },
  { HOST_SCOPE, CALLER_GONE, 0, NOT_RUN (NONE), true },
  { CENTRE_SCOPE, HEALTHY, 0, RUNS, false },
  { CENTRE_SCOPE, ONE_SILENT, 0, MAY_HAVE_RUN (UNDECIDED), true },
  { CENTRE_SCOPE, ONE_SILENT, 1, RUNS, false },
  { CENTRE_SCOPE, LAST_SILENT, 0, MAY_HAVE_RUN (UNDECIDED), true },
  { CENTRE_SCOPE, LAST_SILENT, 1, RUNS, false },
  { CENTRE_SCOPE, ONE_LOST, 0, MAY_HAVE_RUN (UNDECIDED), true },
  { CENTRE_SCOPE, ANSWER_LOST, 0, RUNS, false },
  { CENTRE_SCOPE, OPEN_ELSEWHERE, 0, MAY_HAVE_RUN (UNDECIDED), false },
  { CENTRE_SCOPE, RAN_ELSEWHERE, 0, RAN (REPEATED), false },
  { CENTRE_SCOPE, CUT_ELSEWHERE, 0, MAY_HAVE_RUN (REPEATED), false },
  { CENTRE_SCOPE, CLOSED_ELSEWHERE, 0, NOT_RUN (REPEATED), false },
  { CENTRE_SCOPE, ENDED_ELSEWHERE, 0, RUNS, false },
  { CENTRE_SCOPE, ONE_RESTARTED, 0, RUNS, false },
  { CENTRE_SCOPE, ONE_RESTARTED, 1, RUNS, false },
  { CENTRE_SCOPE, ALL_RESTARTED, 0, MAY_HAVE_RUN (UNDECIDED), false },
  { CENTRE_SCOPE, KEY_OLD, 0, MAY_HAVE_RUN (UNDECIDED), false },
  { CENTRE_SCOPE, KEY_FUTURE, 0, MAY_HAVE_RUN (UNDECIDED), false },
  { CENTRE_SCOPE, HOST_FULL, 0, MAY_HAVE_RUN (LIMIT), false },
  { CENTRE_SCOPE, VIEW_OLD, 0, MAY_HAVE_RUN (UNDECIDED), true },
  { CENTRE_SCOPE, VIEW_NONE, 0, MAY_HAVE_RUN (UNDECIDED), true },
  { CENTRE_SCOPE, NOT_LISTED, 0, MAY_HAVE_RUN (UNDECIDED), true },
  { CENTRE_SCOPE, PAUSED_BEFORE_SEND, 0, NOT_RUN (DEADLINE), false },
  { CENTRE_SCOPE, PAUSED_BEFORE_ANSWER, 0, NOT_RUN (DEADLINE), false },
  { CENTRE_SCOPE, CENTRE_UNREACHABLE, 0, RUNS, false },
  { CENTRE_SCOPE, CALLER_GONE, 0, NOT_RUN (NONE), true },
  { CENTRE_SCOPE, TARGET_REFUSED, 0, NOT_RUN (NONE), false },
  { ALL_SCOPE, HEALTHY, 0, RUNS, false },
  { ALL_SCOPE, CENTRE_UNREACHABLE, 0, MAY_HAVE_RUN (UNDECIDED), true },
  { ALL_SCOPE, ONE_SILENT, 0, MAY_HAVE_RUN (UNDECIDED), true },
  { ALL_SCOPE, ALL_RESTARTED, 0, MAY_HAVE_RUN (UNDECIDED), false },
};

static csp_claim_id_t
other_claim (void)
{
  csp_claim_id_t claim = { 1, 1 };

  return claim;
}

/* Records another claim of the key with the given outcome at all hosts.  */
static void
claim_elsewhere (fixture_t *fixture, csp_once_outcome_t outcome)
{
  csp_claim_ask_t ask = { fixture->key, other_claim () };
  csp_outcome_report_t report = { fixture->key, other_claim (), outcome };
  csp_claim_answer_t answer;
  int i;

  for (i = 0; i < HOSTS; i++)
    {
      csp_claim_key (fixture->hosts[i], &ask, fixture->now_ms, WALL_MS,
                     &answer);
      csp_record_claim_outcome (fixture->hosts[i], &report, fixture->now_ms,
                                WALL_MS);
    }
}

static void
restart_host (fixture_t *fixture, int i, int64_t started_ms)
{
  fixture->peers[i].ref.incarnation++;
  csp_destroy_once_key_store (fixture->hosts[i]);
  fixture->hosts[i] = csp_create_once_key_store (
      &fixture->settings, &fixture->peers[i].ref, started_ms);
}

static void
apply_scenario (fixture_t *fixture)
{
  int i;

  switch (fixture->test_case->scenario)
    {
    case OPEN_ELSEWHERE:
      claim_elsewhere (fixture, CSP_ONCE_OPEN);
      return;
    case RAN_ELSEWHERE:
      claim_elsewhere (fixture, CSP_ONCE_RAN);
      return;
    case CUT_ELSEWHERE:
      claim_elsewhere (fixture, CSP_ONCE_MAY_HAVE_RUN);
      return;
    case CLOSED_ELSEWHERE:
      claim_elsewhere (fixture, CSP_ONCE_CLOSED);
      return;
    case ENDED_ELSEWHERE:
      claim_elsewhere (fixture, CSP_ONCE_NOT_RUN);
      return;
    case ONE_RESTARTED:
      restart_host (fixture, 0, START_MS - 1000);
      return;
    case CENTRE_UNREACHABLE:
      snprintf (fixture->peers[HOSTS - 1].data_centre,
                CSP_DATA_CENTRE_NAME_BYTES, "swansea");
      return;
    case ALL_RESTARTED:
      for (i = 0; i < HOSTS; i++)
        restart_host (fixture, i, START_MS - 1000);
      return;
    case KEY_OLD:
      fixture->key.date_ms = WALL_MS - fixture->settings.retention_ms - 1;
      return;
    case KEY_FUTURE:
      fixture->key.date_ms = WALL_MS + 3 * fixture->settings.clock_skew_ms;
      return;
    default:
      return;
    }
}

static void
set_up (fixture_t *fixture, const test_case_t *test_case)
{
  static const char *const names[HOSTS] = { "a", "b", "c" };
  csp_error_t error;
  int i;

  memset (fixture, 0, sizeof *fixture);
  fixture->test_case = test_case;
  fixture->now_ms = START_MS;
  fixture->settings = csp_default_once_settings ();
  fixture->settings.allowed_silent = test_case->allowed_silent;
  fixture->settings.needed_witnesses = test_case->allowed_silent + 1;
  if (test_case->scenario == HOST_FULL)
    fixture->settings.capacity = 0;
  csp_seed_random (&fixture->random, 5);
  for (i = 0; i < HOSTS; i++)
    {
      snprintf (fixture->peers[i].ref.name, CSP_HOST_NAME_BYTES, "%s",
                names[i]);
      snprintf (fixture->peers[i].data_centre, CSP_DATA_CENTRE_NAME_BYTES,
                "cardiff");
      restart_host (fixture, i, 0);
    }
  ck_assert (
      csp_parse_once_key ("org", "d:cardiff:999000~7", &fixture->key, &error));
  fixture->key.scope = test_case->scope;
  fixture->key.home = fixture->peers[0].ref;
  apply_scenario (fixture);
}

static int
find_peer (const fixture_t *fixture, const char *name)
{
  int i = 0;

  while (strcmp (fixture->peers[i].ref.name, name) != 0)
    i++;
  return i;
}

static bool
answer_is_lost (fixture_t *fixture, scenario_t scenario, int host)
{
  int order = fixture->ask_count++;

  if (order == 0)
    fixture->first_asked = host;
  switch (scenario)
    {
    case ONE_SILENT:
      return host == fixture->first_asked;
    case LAST_SILENT:
      return order > 1;
    case CENTRE_UNREACHABLE:
      return host == HOSTS - 1;
    case ANSWER_LOST:
      return order % 2 == 0;
    default:
      return false;
    }
}

static void
step (fixture_t *fixture, csp_once_round_t *round,
      const csp_once_event_t *event)
{
  csp_once_action_t action;

  csp_step_once_round (round, event, fixture->now_ms, &action);
  if (action.kind != CSP_ONCE_WAIT)
    fixture->last = action;
}

static void
ask_hosts (fixture_t *fixture, csp_once_round_t *round, scenario_t scenario)
{
  const char *names[HOSTS];
  csp_once_action_t sent = fixture->last;
  csp_once_event_t event;
  size_t i;

  fixture->last.kind = CSP_ONCE_WAIT;
  if (scenario == PAUSED_BEFORE_ANSWER
      && (sent.host_count > 1 || fixture->key.scope == HOST_SCOPE))
    fixture->now_ms += fixture->settings.grant_lease_ms;
  for (i = 0; i < sent.host_count; i++)
    names[i] = sent.hosts[i];
  for (i = 0; i < sent.host_count; i++)
    {
      event.kind = CSP_ONCE_ANSWER;
      csp_claim_key (fixture->hosts[find_peer (fixture, names[i])], &sent.ask,
                     fixture->now_ms, WALL_MS, &event.u.answer);
      if (scenario == ONE_LOST)
        {
          event.kind = CSP_ONCE_HOST_LOST;
          event.host = names[i];
        }
      if (!answer_is_lost (fixture, scenario, find_peer (fixture, names[i])))
        step (fixture, round, &event);
    }
}

static void
send_outcome (fixture_t *fixture)
{
  size_t i;

  for (i = 0; i < fixture->last.host_count; i++)
    csp_record_claim_outcome (
        fixture->hosts[find_peer (fixture, fixture->last.hosts[i])],
        &fixture->last.report, fixture->now_ms, WALL_MS);
}

static void
end_run (fixture_t *fixture, csp_once_round_t *round, scenario_t scenario)
{
  csp_once_event_t event = { .kind = CSP_ONCE_RUN_ENDED };

  fixture->ran = scenario != TARGET_REFUSED;
  event.u.outcome = fixture->ran ? CSP_ONCE_RAN : CSP_ONCE_CLOSED;
  step (fixture, round, &event);
}

static void
send_request (fixture_t *fixture, csp_once_round_t *round, scenario_t scenario)
{
  csp_once_event_t event = { .kind = CSP_ONCE_BEFORE_SEND };

  if (scenario == PAUSED_BEFORE_SEND)
    fixture->now_ms += fixture->settings.grant_lease_ms;
  if (scenario == CALLER_GONE)
    event.kind = CSP_ONCE_CALLER_GONE;
  step (fixture, round, &event);
}

static void
run_round (fixture_t *fixture, scenario_t scenario)
{
  static const csp_once_event_t tick = { .kind = CSP_ONCE_TICK };
  csp_once_view_t view = { fixture->peers, HOSTS, START_MS, true };
  csp_once_round_t *round;
  int i;

  if (scenario == VIEW_OLD)
    view.confirmed_ms -= fixture->settings.view_lease_ms + 1;
  if (scenario == VIEW_NONE)
    view.list_read = false;
  if (scenario == NOT_LISTED)
    view.count = 0;
  round = csp_create_once_round (&fixture->settings, &fixture->key, &view,
                                 &fixture->random, DEADLINE_MS);
  csp_start_once_round (round, fixture->now_ms, WALL_MS, &fixture->last);
  for (i = 0; i < MAX_STEPS; i++)
    switch (fixture->last.kind)
      {
      case CSP_ONCE_SEND_CLAIM:
        ask_hosts (fixture, round, scenario);
        break;
      case CSP_ONCE_RUN:
        send_request (fixture, round, scenario);
        break;
      case CSP_ONCE_SEND:
        end_run (fixture, round, scenario);
        break;
      case CSP_ONCE_WAIT:
        fixture->now_ms = csp_next_once_tick (round);
        step (fixture, round, &tick);
        break;
      case CSP_ONCE_GIVE_UP:
      case CSP_ONCE_SEND_OUTCOME:
        i = MAX_STEPS;
        break;
      }
  send_outcome (fixture);
  csp_destroy_once_round (round);
}

static void
tear_down (fixture_t *fixture)
{
  int i;

  for (i = 0; i < HOSTS; i++)
    csp_destroy_once_key_store (fixture->hosts[i]);
}

START_TEST (each_scenario_has_its_verdict)
{
  const test_case_t *test_case = &test_cases[_i];
  fixture_t fixture;

  set_up (&fixture, test_case);
  run_round (&fixture, test_case->scenario);
  ck_assert_int_eq (fixture.ran, test_case->runs);
  if (fixture.last.kind == CSP_ONCE_GIVE_UP)
    {
      ck_assert_int_eq (fixture.last.error.verdict, test_case->verdict);
      ck_assert_int_eq (fixture.last.error.reason, test_case->reason);
    }
  fixture.ran = false;
  fixture.now_ms = START_MS;
  run_round (&fixture, HEALTHY);
  ck_assert_int_eq (fixture.ran, test_case->may_claim_again);
  tear_down (&fixture);
}
END_TEST

/* Guards against a second run when a link worked in one direction only: a host
   has been up for long, but one peer did not have it in its list and may have
   run the call without asking it.  So the host must not count as a witness. */
START_TEST (host_unknown_to_a_peer_is_not_a_witness)
{
  static const test_case_t test_case
      = { CENTRE_SCOPE, HEALTHY, 0, RUNS, false };
  fixture_t fixture;
  int i;

  set_up (&fixture, &test_case);
  for (i = 0; i < HOSTS; i++)
    csp_restart_witness_delay (fixture.hosts[i], START_MS - 1000);
  run_round (&fixture, HEALTHY);
  ck_assert (!fixture.ran);
  ck_assert_int_eq (fixture.last.error.verdict, CSP_VERDICT_MAY_HAVE_RUN);
  tear_down (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("once");
  TCase *tcase = tcase_create ("once");

  tcase_add_loop_test (tcase, each_scenario_has_its_verdict, 0,
                       sizeof test_cases / sizeof test_cases[0]);
  tcase_add_test (tcase, host_unknown_to_a_peer_is_not_a_witness);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
