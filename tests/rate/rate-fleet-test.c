#include "cowslipspoke/rate-limit.h"
#include "support/roster-fleet.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* A target that states a rate limit before fleets of hosts over a simulated
   network: how much it gets of what it states.  */

enum
{
  MS_PER_S = 1000,
  TICK_MS = 200,
  /* Rosters have settled by then.  */
  STATED_MS = 5000,
  ENDED_MS = 20000,
  PLAY_MS = 24000,
  /* From then on the limit counts, and a fleet uses it.  */
  CONTACT_MS = 3000,
  WINDOW_MS = 4000,
  TOLD_MS = 500,
  /* Without a limit the target gets this many times what it will state.  */
  DEMAND_TIMES = 3,
  /* The times of csp_await_grant.  */
  GRANT_WAIT_MS = 60,
  SILENT_ASK_AGAIN_MS = 250,
  REPORT_AGAIN_MS = 100,
  RUN_MS = 30,
  DELAY_MAX_MS = 3,
  LATE_DELAY_MAX_MS = 200,
  EVENTS_MAX = 8000,
  FAULT_MS = 9000,
  FAULT_ENDED_MS = 15000,
  FULL_REPORT_MS = 1000,
  CASES_SHORT = 20
};

typedef enum
{
  NO_FAULT,
  DATAGRAMS_LOST, /* a fifth of those about limits and grants */
  DATAGRAMS_LATE,
  HALF_CUT_OFF,
  DECIDER_PAUSED,
  DECIDER_KILLED,
  ALL_RESTARTED,
  TENTH_RESTARTED, /* each second */
  LIMIT_VARIES     /* by a quarter, at each answer */
} fault_t;

typedef struct
{
  csp_rate_limit_t limit;
  csp_peer_address_t decider;
  int64_t decider_since_ms;
  int64_t next_tick_ms;
  int64_t next_report_ms;
  uint64_t boot;
} host_t;

typedef enum
{
  EVENT_ARRIVES, /* at the target */
  EVENT_ANSWERED,
  EVENT_REPORT,
  EVENT_GRANT_REQUEST,
  EVENT_GRANT,
  EVENT_GRANT_TIMEOUT,
  EVENT_REPORT_AGAIN
} event_kind_t;

typedef struct
{
  event_kind_t kind;
  int64_t due_ms;
  size_t to;
  size_t from;
  uint64_t boot; /* of the host that has sent or asked */
  int64_t asked_ms;
  uint64_t id;
  bool granted;
  uint32_t wait_ms;
  csp_rate_report_t report;
} event_t;

static host_t hosts[ROSTER_FLEET_HOSTS_MAX];
static event_t events[EVENTS_MAX];
static size_t event_count;
static uint64_t next_id;
static uint64_t answered_ids[EVENTS_MAX]; /* ring of grant ids that ended */
static csp_random_t draws;
static uint32_t arrivals[PLAY_MS];
static fault_t fault;
static double stated_per_s;
static int64_t now_ms;

static bool
is_stated (void)
{
  return now_ms >= STATED_MS && now_ms < ENDED_MS;
}

static bool
has_fault (void)
{
  return now_ms >= FAULT_MS && now_ms < FAULT_ENDED_MS;
}

static void
push_event (event_t event, int64_t in_ms)
{
  ck_assert_uint_lt (event_count, EVENTS_MAX);
  event.due_ms = now_ms + in_ms;
  events[event_count++] = event;
}

static int64_t
draw_delay (void)
{
  uint32_t most_ms = fault == DATAGRAMS_LATE && has_fault ()
                         ? LATE_DELAY_MAX_MS
                         : DELAY_MAX_MS;

  return 1 + (int64_t)csp_random_below (&draws, most_ms);
}

static void
send_datagram (event_t event)
{
  bool lost
      = !roster_hosts_connect (roster_fleet_at (event.from),
                               roster_fleet_at (event.to))
        || (fault == DATAGRAMS_LOST && csp_random_below (&draws, 5) == 0);

  if (!lost)
    push_event (event, draw_delay ());
}

static bool
runs (size_t host)
{
  const roster_host_t *peer = roster_fleet_at (host);

  return !peer->ended && !peer->paused && now_ms >= peer->started_ms;
}

static csp_decider_role_t
role_of (size_t host)
{
  const roster_host_t *peer = roster_fleet_at (host);
  csp_decider_role_t role
      = { .decides = csp_is_same_peer (hosts[host].decider, peer->address),
          .decides_since_ms = hosts[host].decider_since_ms };

  role.fleet = (csp_lease_facts_t){
    .hosts_asking = csp_count_asking_hosts (peer->roster),
    .hosts_known = csp_count_known_hosts (peer->roster),
    .data_centres_live = csp_count_reachable_data_centres (peer->roster),
    .data_centres_listed = ROSTER_FLEET_DATA_CENTRES
  };
  return role;
}

static size_t
index_of (csp_peer_address_t address)
{
  return (size_t)(find_roster_host (address) - roster_fleet_at (0));
}

static void
send_report (size_t from, size_t to)
{
  event_t event = { .kind = EVENT_REPORT, .from = from, .to = to };

  event.report = csp_make_rate_report (&hosts[from].limit, now_ms);
  send_datagram (event);
}

static void
report_to_all (size_t host)
{
  static csp_peer_address_t peers[ROSTER_FLEET_HOSTS_MAX];
  size_t count = csp_list_live_peers (roster_fleet_at (host)->roster, peers,
                                      ROSTER_FLEET_HOSTS_MAX);
  size_t i;

  for (i = 0; i < count; i++)
    send_report (host, index_of (peers[i]));
}

static void
report_to_deciders (size_t host)
{
  csp_peer_address_t deciders[CSP_DECIDERS_MAX];
  size_t count = csp_list_deciders (roster_fleet_at (host)->roster, deciders);
  size_t i;

  for (i = 0; i < count; i++)
    send_report (host, index_of (deciders[i]));
}

/* Send a request to the target.  */
static void
send_request (size_t host)
{
  event_t event = { .kind = EVENT_ARRIVES,
                    .from = host,
                    .boot = hosts[host].boot,
                    .asked_ms = now_ms };

  push_event (event, 1);
}

static void
end_wait (size_t host, bool granted, uint32_t wait_ms, int64_t asked_ms)
{
  if (granted && csp_is_rate_grant_valid (asked_ms, now_ms))
    send_request (host);
  else if (!granted)
    csp_note_rate_refusal (&hosts[host].limit, wait_ms, now_ms);
}

/* A caller's request comes to a host, which would choose the target for it.
   Without a grant it goes to another target.  */
static void
take_request (size_t host)
{
  host_t *state = &hosts[host];
  size_t decider = index_of (state->decider);
  csp_decider_role_t role;
  event_t event = { .kind = EVENT_GRANT_REQUEST,
                    .from = host,
                    .to = decider,
                    .boot = state->boot,
                    .asked_ms = now_ms };
  uint32_t wait_ms;

  if (!state->limit.limited)
    {
      send_request (host);
      return;
    }
  if (!csp_may_ask_rate_grant (&state->limit, now_ms))
    return;
  if (decider == host)
    {
      role = role_of (host);
      if (csp_take_rate_grant (&state->limit, &role, now_ms, &wait_ms))
        send_request (host);
      else
        csp_note_rate_refusal (&state->limit, wait_ms, now_ms);
      return;
    }
  event.id = ++next_id;
  event.report = csp_make_rate_report (&state->limit, now_ms);
  send_datagram (event);
  event.kind = EVENT_GRANT_TIMEOUT;
  event.to = host;
  push_event (event, GRANT_WAIT_MS);
}

static void
answer_grant_request (const event_t *request)
{
  csp_decider_role_t role = role_of (request->to);
  event_t event = *request;

  csp_note_rate_report (&hosts[request->to].limit, &request->report, now_ms);
  event.kind = EVENT_GRANT;
  event.from = request->to;
  event.to = request->from;
  event.granted = csp_take_rate_grant (&hosts[request->to].limit, &role,
                                       now_ms, &event.wait_ms);
  event.report = csp_make_rate_report (&hosts[request->to].limit, now_ms);
  send_datagram (event);
}

static void
handle_answer (const event_t *answer)
{
  host_t *state = &hosts[answer->to];

  switch (csp_note_rate_report (&state->limit, &answer->report, now_ms))
    {
    case CSP_RATE_UNCHANGED:
      return;
    case CSP_RATE_CHANGED:
      report_to_deciders (answer->to);
      return;
    case CSP_RATE_BEGAN:
    case CSP_RATE_ENDED:
      report_to_all (answer->to);
      push_event ((event_t){ .kind = EVENT_REPORT_AGAIN,
                             .to = answer->to,
                             .boot = state->boot },
                  REPORT_AGAIN_MS);
      return;
    }
}

static void
arrive_at_target (const event_t *request)
{
  double varied
      = fault == LIMIT_VARIES ? 1 + 0.25 * csp_random_unit (&draws) : 1;
  event_t event = { .kind = EVENT_ANSWERED,
                    .from = request->from,
                    .to = request->from,
                    .boot = request->boot };

  arrivals[now_ms]++;
  if (is_stated ())
    event.report.max_per_s = stated_per_s * varied;
  else
    {
      event.report.ended = true;
      event.report.age_ms = (uint32_t)(now_ms - request->asked_ms) + RUN_MS;
    }
  push_event (event, RUN_MS);
}

static bool
has_ended (uint64_t id)
{
  return answered_ids[id % EVENTS_MAX] == id;
}

static void
handle_event (const event_t *event)
{
  bool is_reply
      = event->kind == EVENT_GRANT || event->kind == EVENT_GRANT_TIMEOUT
        || event->kind == EVENT_ANSWERED || event->kind == EVENT_REPORT_AGAIN;

  if (event->kind == EVENT_ARRIVES)
    {
      arrive_at_target (event);
      return;
    }
  if (!runs (event->to) || (is_reply && event->boot != hosts[event->to].boot))
    return;
  switch (event->kind)
    {
    case EVENT_ARRIVES:
      return;
    case EVENT_ANSWERED:
      handle_answer (event);
      return;
    case EVENT_REPORT:
      csp_note_rate_report (&hosts[event->to].limit, &event->report, now_ms);
      return;
    case EVENT_REPORT_AGAIN:
      report_to_all (event->to);
      return;
    case EVENT_GRANT_REQUEST:
      answer_grant_request (event);
      return;
    case EVENT_GRANT:
      csp_note_rate_report (&hosts[event->to].limit, &event->report, now_ms);
      if (!has_ended (event->id))
        end_wait (event->to, event->granted, event->wait_ms, event->asked_ms);
      answered_ids[event->id % EVENTS_MAX] = event->id;
      return;
    case EVENT_GRANT_TIMEOUT:
      if (!has_ended (event->id))
        end_wait (event->to, false, SILENT_ASK_AGAIN_MS, event->asked_ms);
      answered_ids[event->id % EVENTS_MAX] = event->id;
      return;
    }
}

static void
handle_due_events (void)
{
  size_t i = 0;

  while (i < event_count)
    if (events[i].due_ms > now_ms
        || (events[i].kind != EVENT_ARRIVES
            && roster_fleet_at (events[i].to)->paused))
      i++;
    else
      {
        event_t event = events[i];

        events[i] = events[--event_count];
        handle_event (&event);
      }
}

/* Limits go along with hellos.  */
static void
add_limit_to_hello (roster_host_t *from, roster_host_t *to, int64_t at_ms)
{
  csp_rate_limit_t *sender = &hosts[from - roster_fleet_at (0)].limit;
  csp_rate_report_t report = csp_make_rate_report (sender, at_ms);

  if (sender->changed_ms != 0)
    csp_note_rate_report (&hosts[to - roster_fleet_at (0)].limit, &report,
                          at_ms);
}

static void
tick_host (size_t host)
{
  host_t *state = &hosts[host];
  roster_host_t *peer = roster_fleet_at (host);
  csp_peer_address_t decider = csp_pick_decider (peer->roster);
  csp_peer_address_t deciders[CSP_DECIDERS_MAX];
  csp_hello_t hello = { .is_full_report = true };
  size_t count;
  size_t i;

  state->next_tick_ms = now_ms + TICK_MS;
  if (!csp_is_same_peer (decider, state->decider))
    state->decider_since_ms = now_ms;
  state->decider = decider;
  if (now_ms < state->next_report_ms)
    return;
  state->next_report_ms = now_ms + FULL_REPORT_MS;
  hello.decider = csp_pack_peer (decider);
  count = csp_list_deciders (peer->roster, deciders);
  for (i = 0; i < count; i++)
    deliver_roster_hello (peer, &hello, deciders[i], now_ms);
}

static void
restart (size_t host)
{
  uint64_t boot = hosts[host].boot;

  restart_roster_host (roster_fleet_at (host), now_ms);
  hosts[host] = (host_t){ .decider = roster_fleet_at (host)->address,
                          .decider_since_ms = now_ms,
                          .boot = boot + 1 };
}

static void
begin_fault (void)
{
  size_t decider = index_of (hosts[0].decider);
  size_t i;

  switch (fault)
    {
    case NO_FAULT:
    case DATAGRAMS_LOST:
    case DATAGRAMS_LATE:
    case TENTH_RESTARTED:
    case LIMIT_VARIES:
      return;
    case HALF_CUT_OFF:
      for (i = 0; i < roster_fleet_size (); i += 2)
        roster_fleet_at (i)->side = 1;
      return;
    case DECIDER_PAUSED:
      roster_fleet_at (decider)->paused = true;
      return;
    case DECIDER_KILLED:
      roster_fleet_at (decider)->ended = true;
      return;
    case ALL_RESTARTED:
      for (i = 0; i < roster_fleet_size (); i++)
        restart (i);
      return;
    }
}

static void
end_fault (void)
{
  size_t i;

  for (i = 0; i < roster_fleet_size (); i++)
    {
      roster_fleet_at (i)->side = 0;
      roster_fleet_at (i)->paused = false;
      if (roster_fleet_at (i)->ended)
        restart (i);
    }
}

static void
play_faults (void)
{
  size_t i;

  if (now_ms == FAULT_MS)
    begin_fault ();
  if (now_ms == FAULT_ENDED_MS)
    end_fault ();
  if (fault == TENTH_RESTARTED && has_fault () && now_ms % MS_PER_S == 0)
    for (i = 0; i < roster_fleet_size (); i += 10)
      restart ((i + (size_t)now_ms / MS_PER_S) % roster_fleet_size ());
}

static void
play (size_t host_count)
{
  double demand_per_ms = (1 + stated_per_s) * DEMAND_TIMES / MS_PER_S;
  int64_t roster_ms = ROSTER_FLEET_START_MS;
  size_t i;

  memset (hosts, 0, sizeof hosts);
  memset (arrivals, 0, sizeof arrivals);
  event_count = 0;
  csp_seed_random (&draws, 11);
  start_roster_fleet (host_count, 0, add_limit_to_hello);
  for (i = 0; i < host_count; i++)
    hosts[i].decider = roster_fleet_at (i)->address;
  for (now_ms = ROSTER_FLEET_START_MS; now_ms < PLAY_MS; now_ms++)
    {
      run_roster_fleet (&roster_ms, now_ms + 1);
      play_faults ();
      handle_due_events ();
      for (i = 0; i < host_count; i++)
        if (runs (i) && now_ms >= hosts[i].next_tick_ms)
          tick_host (i);
      for (i = 0; i < (size_t)(1 + demand_per_ms); i++)
        {
          size_t host = csp_random_below (&draws, (uint32_t)host_count);

          if (csp_random_unit (&draws) < demand_per_ms && runs (host))
            take_request (host);
        }
    }
  end_roster_fleet ();
}

static uint32_t
count_arrivals (int64_t from_ms, int64_t until_ms)
{
  uint32_t count = 0;

  for (; from_ms < until_ms; from_ms++)
    count += arrivals[from_ms];
  return count;
}

/* Returns the most that the target gets in any window behind the moment when
   hosts must know the limit.  */
static uint32_t
find_worst_window (void)
{
  uint32_t worst = 0;
  int64_t at_ms;

  for (at_ms = STATED_MS + TOLD_MS; at_ms + WINDOW_MS <= ENDED_MS; at_ms++)
    {
      uint32_t count = count_arrivals (at_ms, at_ms + WINDOW_MS);

      if (count > worst)
        worst = count;
    }
  return worst;
}

static const struct
{
  size_t hosts;
  double per_s;
  fault_t fault;
} cases[] = {
  { 9, 3.5, NO_FAULT },
  { 9, 3.5, DATAGRAMS_LOST },
  { 9, 3.5, DATAGRAMS_LATE },
  { 9, 3.5, HALF_CUT_OFF },
  { 9, 3.5, DECIDER_PAUSED },
  { 9, 3.5, DECIDER_KILLED },
  { 9, 3.5, ALL_RESTARTED },
  { 9, 3.5, TENTH_RESTARTED },
  { 9, 3.5, LIMIT_VARIES },
  { 9, 0.4, NO_FAULT },
  { 9, 0, NO_FAULT },
  { 9, 40, NO_FAULT },
  { 9, 40, DECIDER_KILLED },
  { 9, 40, HALF_CUT_OFF },
  { 60, 3.5, NO_FAULT },
  { 60, 3.5, HALF_CUT_OFF },
  { 60, 3.5, DECIDER_PAUSED },
  { 60, 40, DECIDER_KILLED },
  { 60, 40, ALL_RESTARTED },
  { 584, 3.5, NO_FAULT },
  /* Played only where RATE_FLEET_ALL is set, as they take a minute.  */
  { 584, 40, HALF_CUT_OFF },
  { 584, 3.5, DECIDER_KILLED },
  { 584, 40, TENTH_RESTARTED },
  { 1200, 3.5, NO_FAULT },
  { 1200, 40, DECIDER_PAUSED },
};

/* Guards against a fleet that sends a target more than it states, or leaves it
   idle.  */
START_TEST (a_fleet_keeps_and_uses_the_rate_of_a_target)
{
  double most;
  double least;
  uint32_t worst;
  uint32_t used;

  fault = cases[_i].fault;
  stated_per_s = cases[_i].per_s;
  play (cases[_i].hosts);
  most = 1.5 * stated_per_s * WINDOW_MS / MS_PER_S + 5;
  worst = find_worst_window ();
  ck_assert_msg (worst <= most, "%u in a window, at most %g", worst, most);
  if (fault != NO_FAULT && fault != LIMIT_VARIES)
    return;
  used = count_arrivals (STATED_MS + CONTACT_MS, ENDED_MS);
  least = 0.9 * stated_per_s * (ENDED_MS - STATED_MS - CONTACT_MS) / MS_PER_S;
  ck_assert_msg (used >= least, "%u used, at least %g", used, least);
}
END_TEST

/* Guards against hosts that keep a limit which has ended.  */
START_TEST (all_hosts_hear_that_a_limit_has_ended)
{
  static const fault_t faults[] = { NO_FAULT, DATAGRAMS_LOST };
  size_t i;

  fault = faults[_i];
  stated_per_s = 3.5;
  play (60);
  for (i = 0; i < 60; i++)
    ck_assert (!hosts[i].limit.limited);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rate-fleet");
  TCase *tcase = tcase_create ("rate-fleet");

  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (tcase, a_fleet_keeps_and_uses_the_rate_of_a_target, 0,
                       getenv ("RATE_FLEET_ALL") == NULL
                           ? CASES_SHORT
                           : (int)(sizeof cases / sizeof cases[0]));
  tcase_add_loop_test (tcase, all_hosts_hear_that_a_limit_has_ended, 0, 2);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
