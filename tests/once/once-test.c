/* Rounds against every kind of answer, with a fake clock: what the caller is
   told, and what the hosts remember afterwards.  */

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

/* What befalls a host, or all of them, or the asker.  */
typedef enum
{
  HEALTHY,
  ONE_SILENT,       /* the first asked is dead, paused or cut off */
  LAST_SILENT,      /* the last is */
  CENTRE_CUT_OFF,   /* one host is in another data centre, cut off */
  ONE_LOST,         /* and the asker knows it */
  ANSWER_LOST,      /* the first answer of each host is lost */
  OPEN_ELSEWHERE,   /* another claim is under way */
  RAN_ELSEWHERE,    /* it ran */
  CUT_ELSEWHERE,    /* it was cut after bytes had left */
  CLOSED_ELSEWHERE, /* it was refused, and its caller was told so */
  ENDED_ELSEWHERE,  /* it was given up before it was granted */
  ONE_RESTARTED,    /* within the last seconds */
  ALL_RESTARTED,
  KEY_OLD,
  KEY_FUTURE,
  HOST_FULL,
  VIEW_OLD,  /* the asker was paused and still has its list of before */
  VIEW_NONE, /* the asker has just started */
  NOT_LISTED,
  PAUSED_BEFORE_SEND,
  PAUSED_BEFORE_ANSWER,
  HUNG_UP,
  TARGET_REFUSED
} trouble_t;

typedef struct
{
  csp_once_scope_t scope;
  trouble_t trouble;
  uint32_t allowed_silent;
  bool runs;
  csp_verdict_t verdict;
  csp_reason_t reason;
  bool may_claim_again; /* whether a repeat with all healthy may run */
} cell_t;

typedef struct
{
  const cell_t *cell;
  csp_once_settings_t settings;
  csp_random_t random;
  csp_once_peer_t peers[HOSTS];
  csp_once_t *hosts[HOSTS];
  csp_once_key_t key;
  int64_t now_ms;
  int asked;
  int first;
  bool ran;
  csp_once_action_t last;
} rig_t;

#define HOST_KEY CSP_ONCE_SCOPE_HOST
#define CENTRE_KEY CSP_ONCE_SCOPE_DATA_CENTRE
#define PLAIN_KEY CSP_ONCE_SCOPE_ALL
#define RUNS true, CSP_VERDICT_RAN, CSP_REASON_NONE
#define MAYBE(reason) false, CSP_VERDICT_MAY_HAVE_RUN, CSP_REASON_##reason
#define NOT_RUN(reason) false, CSP_VERDICT_NOT_RUN, CSP_REASON_##reason
#define RAN(reason) false, CSP_VERDICT_RAN, CSP_REASON_##reason

static const cell_t cells[] = {
  { HOST_KEY, HEALTHY, 0, RUNS, false },
  { HOST_KEY, ONE_SILENT, 0, MAYBE (UNDECIDED), true },
  { HOST_KEY, ONE_LOST, 0, MAYBE (UNDECIDED), true },
  { HOST_KEY, ANSWER_LOST, 0, RUNS, false },
  { HOST_KEY, OPEN_ELSEWHERE, 0, MAYBE (UNDECIDED), false },
  { HOST_KEY, RAN_ELSEWHERE, 0, RAN (REPEATED), false },
  { HOST_KEY, CUT_ELSEWHERE, 0, MAYBE (REPEATED), false },
  { HOST_KEY, CLOSED_ELSEWHERE, 0, NOT_RUN (REPEATED), false },
  { HOST_KEY, ENDED_ELSEWHERE, 0, RUNS, false },
  { HOST_KEY, ALL_RESTARTED, 0, MAYBE (UNDECIDED), false },
  { HOST_KEY, KEY_OLD, 0, MAYBE (UNDECIDED), false },
  { HOST_KEY, KEY_FUTURE, 0, MAYBE (UNDECIDED), false },
  { HOST_KEY, HOST_FULL, 0, MAYBE (LIMIT), false },
  { HOST_KEY, VIEW_OLD, 0, RUNS, false },
  { HOST_KEY, NOT_LISTED, 0, MAYBE (UNDECIDED), true },
  { HOST_KEY, PAUSED_BEFORE_SEND, 0, NOT_RUN (DEADLINE), false },
  { HOST_KEY, PAUSED_BEFORE_ANSWER, 0, NOT_RUN (DEADLINE), false },
  { HOST_KEY, TARGET_REFUSED, 0, NOT_RUN (NONE), false },
  { HOST_KEY, CENTRE_CUT_OFF, 0, RUNS, false },
  { HOST_KEY, HUNG_UP, 0, NOT_RUN (NONE), true },
  { CENTRE_KEY, HEALTHY, 0, RUNS, false },
  { CENTRE_KEY, ONE_SILENT, 0, MAYBE (UNDECIDED), true },
  { CENTRE_KEY, ONE_SILENT, 1, RUNS, false },
  { CENTRE_KEY, LAST_SILENT, 0, MAYBE (UNDECIDED), true },
  { CENTRE_KEY, LAST_SILENT, 1, RUNS, false },
  { CENTRE_KEY, ONE_LOST, 0, MAYBE (UNDECIDED), true },
  { CENTRE_KEY, ANSWER_LOST, 0, RUNS, false },
  { CENTRE_KEY, OPEN_ELSEWHERE, 0, MAYBE (UNDECIDED), false },
  { CENTRE_KEY, RAN_ELSEWHERE, 0, RAN (REPEATED), false },
  { CENTRE_KEY, CUT_ELSEWHERE, 0, MAYBE (REPEATED), false },
  { CENTRE_KEY, CLOSED_ELSEWHERE, 0, NOT_RUN (REPEATED), false },
  { CENTRE_KEY, ENDED_ELSEWHERE, 0, RUNS, false },
  { CENTRE_KEY, ONE_RESTARTED, 0, RUNS, false },
  { CENTRE_KEY, ONE_RESTARTED, 1, RUNS, false },
  { CENTRE_KEY, ALL_RESTARTED, 0, MAYBE (UNDECIDED), false },
  { CENTRE_KEY, KEY_OLD, 0, MAYBE (UNDECIDED), false },
  { CENTRE_KEY, KEY_FUTURE, 0, MAYBE (UNDECIDED), false },
  { CENTRE_KEY, HOST_FULL, 0, MAYBE (LIMIT), false },
  { CENTRE_KEY, VIEW_OLD, 0, MAYBE (UNDECIDED), true },
  { CENTRE_KEY, VIEW_NONE, 0, MAYBE (UNDECIDED), true },
  { CENTRE_KEY, NOT_LISTED, 0, MAYBE (UNDECIDED), true },
  { CENTRE_KEY, PAUSED_BEFORE_SEND, 0, NOT_RUN (DEADLINE), false },
  { CENTRE_KEY, PAUSED_BEFORE_ANSWER, 0, NOT_RUN (DEADLINE), false },
  { CENTRE_KEY, CENTRE_CUT_OFF, 0, RUNS, false },
  { CENTRE_KEY, HUNG_UP, 0, NOT_RUN (NONE), true },
  { CENTRE_KEY, TARGET_REFUSED, 0, NOT_RUN (NONE), false },
  { PLAIN_KEY, HEALTHY, 0, RUNS, false },
  { PLAIN_KEY, CENTRE_CUT_OFF, 0, MAYBE (UNDECIDED), true },
  { PLAIN_KEY, ONE_SILENT, 0, MAYBE (UNDECIDED), true },
  { PLAIN_KEY, ALL_RESTARTED, 0, MAYBE (UNDECIDED), false },
};

static csp_claim_id_t
other_claim (void)
{
  csp_claim_id_t claim = { 1, 1 };

  return claim;
}

/* Another host's attempt came first, at all hosts.  */
static void
claim_elsewhere (rig_t *rig, csp_once_outcome_t outcome)
{
  csp_claim_ask_t ask = { rig->key, other_claim () };
  csp_outcome_tell_t tell = { rig->key, other_claim (), outcome };
  csp_claim_answer_t answer;
  int i;

  for (i = 0; i < HOSTS; i++)
    {
      csp_claim_key (rig->hosts[i], &ask, rig->now_ms, WALL_MS, &answer);
      csp_settle_claim (rig->hosts[i], &tell, rig->now_ms, WALL_MS);
    }
}

static void
open_host (rig_t *rig, int i, int64_t started_ms)
{
  rig->peers[i].ref.incarnation++;
  csp_destroy_once (rig->hosts[i]);
  rig->hosts[i]
      = csp_create_once (&rig->settings, &rig->peers[i].ref, started_ms);
}

static void
bring_trouble (rig_t *rig)
{
  int i;

  switch (rig->cell->trouble)
    {
    case OPEN_ELSEWHERE:
      claim_elsewhere (rig, CSP_ONCE_OPEN);
      return;
    case RAN_ELSEWHERE:
      claim_elsewhere (rig, CSP_ONCE_RAN);
      return;
    case CUT_ELSEWHERE:
      claim_elsewhere (rig, CSP_ONCE_MAY_HAVE_RUN);
      return;
    case CLOSED_ELSEWHERE:
      claim_elsewhere (rig, CSP_ONCE_CLOSED);
      return;
    case ENDED_ELSEWHERE:
      claim_elsewhere (rig, CSP_ONCE_NOT_RUN);
      return;
    case ONE_RESTARTED:
      open_host (rig, 0, START_MS - 1000);
      return;
    case CENTRE_CUT_OFF:
      snprintf (rig->peers[HOSTS - 1].data_centre, CSP_DATA_CENTRE_NAME_BYTES,
                "swansea");
      return;
    case ALL_RESTARTED:
      for (i = 0; i < HOSTS; i++)
        open_host (rig, i, START_MS - 1000);
      return;
    case KEY_OLD:
      rig->key.date_ms = WALL_MS - rig->settings.retention_ms - 1;
      return;
    case KEY_FUTURE:
      rig->key.date_ms = WALL_MS + 3 * rig->settings.clock_skew_ms;
      return;
    default:
      return;
    }
}

static void
open_rig (rig_t *rig, const cell_t *cell)
{
  static const char *const names[HOSTS] = { "a", "b", "c" };
  csp_error_t error;
  int i;

  memset (rig, 0, sizeof *rig);
  rig->cell = cell;
  rig->now_ms = START_MS;
  rig->settings = csp_default_once_settings ();
  rig->settings.allowed_silent = cell->allowed_silent;
  rig->settings.needed_witnesses = cell->allowed_silent + 1;
  if (cell->trouble == HOST_FULL)
    rig->settings.capacity = 0;
  csp_seed_random (&rig->random, 5);
  for (i = 0; i < HOSTS; i++)
    {
      snprintf (rig->peers[i].ref.name, CSP_HOST_NAME_BYTES, "%s", names[i]);
      snprintf (rig->peers[i].data_centre, CSP_DATA_CENTRE_NAME_BYTES,
                "cardiff");
      open_host (rig, i, 0);
    }
  ck_assert (
      csp_parse_once_key ("org", "d:cardiff:999000~7", &rig->key, &error));
  rig->key.scope = cell->scope;
  rig->key.home = rig->peers[0].ref;
  bring_trouble (rig);
}

static int
find_peer (const rig_t *rig, const char *name)
{
  int i = 0;

  while (strcmp (rig->peers[i].ref.name, name) != 0)
    i++;
  return i;
}

static bool
answer_is_lost (rig_t *rig, trouble_t trouble, int host)
{
  int order = rig->asked++;

  if (order == 0)
    rig->first = host;
  switch (trouble)
    {
    case ONE_SILENT:
      return host == rig->first;
    case LAST_SILENT:
      return order > 1;
    case CENTRE_CUT_OFF:
      return host == HOSTS - 1;
    case ANSWER_LOST:
      return order % 2 == 0;
    default:
      return false;
    }
}

static void
step (rig_t *rig, csp_once_round_t *round, const csp_once_event_t *event)
{
  csp_once_action_t action;

  csp_step_once_round (round, event, rig->now_ms, &action);
  if (action.kind != CSP_ONCE_WAIT)
    rig->last = action;
}

static void
ask_hosts (rig_t *rig, csp_once_round_t *round, trouble_t trouble)
{
  const char *names[HOSTS];
  csp_once_action_t sent = rig->last;
  csp_once_event_t event;
  size_t i;

  rig->last.kind = CSP_ONCE_WAIT;
  if (trouble == PAUSED_BEFORE_ANSWER
      && (sent.host_count > 1 || rig->key.scope == HOST_KEY))
    rig->now_ms += rig->settings.grant_lease_ms;
  for (i = 0; i < sent.host_count; i++)
    names[i] = sent.hosts[i];
  for (i = 0; i < sent.host_count; i++)
    {
      event.kind = CSP_ONCE_ANSWER;
      csp_claim_key (rig->hosts[find_peer (rig, names[i])], &sent.ask,
                     rig->now_ms, WALL_MS, &event.u.answer);
      if (trouble == ONE_LOST)
        {
          event.kind = CSP_ONCE_HOST_LOST;
          event.host = names[i];
        }
      if (!answer_is_lost (rig, trouble, find_peer (rig, names[i])))
        step (rig, round, &event);
    }
}

static void
tell_hosts (rig_t *rig)
{
  size_t i;

  for (i = 0; i < rig->last.host_count; i++)
    csp_settle_claim (rig->hosts[find_peer (rig, rig->last.hosts[i])],
                      &rig->last.tell, rig->now_ms, WALL_MS);
}

static void
end_run (rig_t *rig, csp_once_round_t *round, trouble_t trouble)
{
  csp_once_event_t event = { .kind = CSP_ONCE_ENDED };

  rig->ran = trouble != TARGET_REFUSED;
  event.u.outcome = rig->ran ? CSP_ONCE_RAN : CSP_ONCE_CLOSED;
  step (rig, round, &event);
}

static void
send_or_not (rig_t *rig, csp_once_round_t *round, trouble_t trouble)
{
  csp_once_event_t event = { .kind = CSP_ONCE_BEFORE_SEND };

  if (trouble == PAUSED_BEFORE_SEND)
    rig->now_ms += rig->settings.grant_lease_ms;
  if (trouble == HUNG_UP)
    event.kind = CSP_ONCE_HUNG_UP;
  step (rig, round, &event);
}

static void
play (rig_t *rig, trouble_t trouble)
{
  static const csp_once_event_t tick = { .kind = CSP_ONCE_TICK };
  csp_once_view_t view = { rig->peers, HOSTS, START_MS, true };
  csp_once_round_t *round;
  int i;

  if (trouble == VIEW_OLD)
    view.confirmed_ms -= rig->settings.view_lease_ms + 1;
  if (trouble == VIEW_NONE)
    view.complete = false;
  if (trouble == NOT_LISTED)
    view.count = 0;
  round = csp_create_once_round (&rig->settings, &rig->key, &view,
                                 &rig->random, DEADLINE_MS);
  csp_start_once_round (round, rig->now_ms, WALL_MS, &rig->last);
  for (i = 0; i < MAX_STEPS; i++)
    switch (rig->last.kind)
      {
      case CSP_ONCE_ASK:
        ask_hosts (rig, round, trouble);
        break;
      case CSP_ONCE_RUN:
        send_or_not (rig, round, trouble);
        break;
      case CSP_ONCE_SEND:
        end_run (rig, round, trouble);
        break;
      case CSP_ONCE_WAIT:
        rig->now_ms = csp_next_once_tick (round);
        step (rig, round, &tick);
        break;
      case CSP_ONCE_GIVE_UP:
      case CSP_ONCE_TELL:
        i = MAX_STEPS;
        break;
      }
  tell_hosts (rig);
  csp_destroy_once_round (round);
}

static void
close_rig (rig_t *rig)
{
  int i;

  for (i = 0; i < HOSTS; i++)
    csp_destroy_once (rig->hosts[i]);
}

START_TEST (each_trouble_has_its_verdict)
{
  const cell_t *cell = &cells[_i];
  rig_t rig;

  open_rig (&rig, cell);
  play (&rig, cell->trouble);
  ck_assert_int_eq (rig.ran, cell->runs);
  if (rig.last.kind == CSP_ONCE_GIVE_UP)
    {
      ck_assert_int_eq (rig.last.error.verdict, cell->verdict);
      ck_assert_int_eq (rig.last.error.reason, cell->reason);
    }
  rig.ran = false;
  rig.now_ms = START_MS;
  play (&rig, HEALTHY);
  ck_assert_int_eq (rig.ran, cell->may_claim_again);
  close_rig (&rig);
}
END_TEST

/* A host is up for long, but one peer's list has not had it, since a link
   worked one way only.  That peer ran the call without asking it.  If the host
   still counted as one that knows, a repeat would run again.  */
START_TEST (a_host_unknown_to_a_peer_is_no_witness)
{
  static const cell_t cell = { CENTRE_KEY, HEALTHY, 0, RUNS, false };
  rig_t rig;
  int i;

  open_rig (&rig, &cell);
  for (i = 0; i < HOSTS; i++)
    csp_delay_witness (rig.hosts[i], START_MS - 1000);
  play (&rig, HEALTHY);
  ck_assert (!rig.ran);
  ck_assert_int_eq (rig.last.error.verdict, CSP_VERDICT_MAY_HAVE_RUN);
  close_rig (&rig);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("once");
  TCase *tcase = tcase_create ("once");

  tcase_add_loop_test (tcase, each_trouble_has_its_verdict, 0,
                       sizeof cells / sizeof cells[0]);
  tcase_add_test (tcase, a_host_unknown_to_a_peer_is_no_witness);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
