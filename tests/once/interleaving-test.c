/* Simulates eight hosts in two data centres, with clock skew and stale host
   lists, under two kinds of fault for each seed.  Every call arrives several
   times: as a retry, as a duplicate of a library or load balancer, or as a
   copy delayed for long.  Fails if a call runs twice, or runs although its
   caller got `not run`.  */

#include "world.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool
chance (simulation_t *sim, uint32_t per_ten_thousand)
{
  return csp_random_below (&sim->random, 10000) < per_ten_thousand;
}

static bool
has_fault (const simulation_t *sim, fault_t fault)
{
  return sim->faults[0] == fault || sim->faults[1] == fault;
}

static int64_t
wall_clock_ms (const simulation_t *sim, int host)
{
  return NEVER_MS + sim->now_ms + sim->hosts[host].skew_ms;
}

static const char *
data_centre_of (int host)
{
  return host % 2 == 0 ? "cardiff" : "swansea";
}

static int
host_index (const char *name)
{
  return name[1] - '0';
}

static void
send_message (simulation_t *sim, const message_t *message)
{
  bool crosses_centres = message->from % 2 != message->to % 2;
  int copies = has_fault (sim, FAULT_DUPLICATE) && chance (sim, 2000) ? 2 : 1;
  int i;

  if (message->from != message->to
      && ((has_fault (sim, FAULT_LOSS) && chance (sim, 1500))
          || (sim->partitioned && crosses_centres)))
    return;
  for (i = 0; i < MESSAGES && copies > 0; i++)
    if (!sim->messages[i].used)
      {
        if (i >= sim->messages_end)
          sim->messages_end = i + 1;
        sim->messages[i] = *message;
        sim->messages[i].used = true;
        sim->messages[i].due_ms
            = sim->now_ms + csp_random_below (&sim->random, 60);
        if (has_fault (sim, FAULT_DUPLICATE) && chance (sim, 500))
          sim->messages[i].due_ms += csp_random_below (&sim->random, 30000);
        copies--;
      }
}

static void
record_verdict (simulation_t *sim, active_round_t *open,
                const csp_error_t *error)
{
  call_t *call = &sim->calls[open->key];

  switch (error->verdict)
    {
    case CSP_VERDICT_NOT_RUN:
      call->reported_not_run = true;
      return;
    case CSP_VERDICT_RAN:
      ck_assert_int_eq (call->runs, 1);
      return;
    case CSP_VERDICT_MAY_HAVE_RUN:
      return;
    }
}

static void
apply_action (simulation_t *sim, int r, const csp_once_action_t *action)
{
  active_round_t *open = &sim->rounds[r];
  message_t m = { .from = open->host, .round = open->serial };
  size_t i;

  m.kind = action->kind == CSP_ONCE_SEND_CLAIM ? ASK : OUTCOME;
  m.ask = action->ask;
  m.report = action->report;
  for (i = 0; i < action->host_count; i++)
    {
      m.to = host_index (action->hosts[i]);
      send_message (sim, &m);
    }
  if (action->kind == CSP_ONCE_RUN)
    {
      open->send_pending = true;
      open->send_ms = sim->now_ms + csp_random_below (&sim->random, 100);
    }
  if (action->kind == CSP_ONCE_GIVE_UP)
    record_verdict (sim, open, &action->error);
}

static void
step_round (simulation_t *sim, int r, const csp_once_event_t *event)
{
  csp_once_action_t action;

  csp_step_once_round (sim->rounds[r].round, event, sim->now_ms, &action);
  apply_action (sim, r, &action);
}

/* Sends the call if the round still permits it.  The target then runs it,
   refuses it or is cut off while it runs.  */
static void
send_call (simulation_t *sim, int r)
{
  active_round_t *open = &sim->rounds[r];
  call_t *call = &sim->calls[open->key];
  csp_once_event_t event = { .kind = CSP_ONCE_BEFORE_SEND };
  csp_once_action_t action;

  open->send_pending = false;
  csp_step_once_round (open->round, &event, sim->now_ms, &action);
  if (action.kind != CSP_ONCE_SEND)
    {
      apply_action (sim, r, &action);
      return;
    }
  event.kind = CSP_ONCE_RUN_ENDED;
  event.u.outcome = CSP_ONCE_RAN;
  if (chance (sim, 1000))
    {
      event.u.outcome = CSP_ONCE_CLOSED;
      call->reported_not_run = true;
    }
  else
    call->runs++;
  if (event.u.outcome == CSP_ONCE_RAN && chance (sim, 1000))
    event.u.outcome = CSP_ONCE_MAY_HAVE_RUN;
  step_round (sim, r, &event);
}

static size_t
make_view (const simulation_t *sim, int h, csp_once_peer_t *peers)
{
  int64_t read_ms = sim->hosts[h].list_read_ms;
  size_t count = 0;
  int i;

  for (i = 0; i < HOSTS; i++)
    if (sim->hosts[i].listed_ms <= read_ms
        && read_ms < sim->hosts[i].delisted_ms)
      {
        peers[count].ref = sim->hosts[i].ref;
        snprintf (peers[count].data_centre, CSP_DATA_CENTRE_NAME_BYTES, "%s",
                  data_centre_of (i));
        count++;
      }
  return count;
}

static void
start_round (simulation_t *sim, int h, int k)
{
  csp_once_peer_t peers[HOSTS];
  csp_once_view_t view = { peers, make_view (sim, h, peers),
                           sim->hosts[h].view_ms, sim->hosts[h].view_ms >= 0 };
  csp_once_action_t action;
  int r = 0;

  while (r < ROUNDS && sim->rounds[r].round != NULL)
    r++;
  if (r == ROUNDS)
    return;
  memset (&sim->rounds[r], 0, sizeof sim->rounds[r]);
  sim->rounds[r].host = h;
  sim->rounds[r].key = k;
  sim->rounds[r].serial = ++sim->serial;
  sim->rounds[r].round
      = csp_create_once_round (&sim->settings, &sim->calls[k].key, &view,
                               &sim->random, sim->now_ms + 20000);
  csp_start_once_round (sim->rounds[r].round, sim->now_ms,
                        wall_clock_ms (sim, h), &action);
  apply_action (sim, r, &action);
}

static bool
is_running (const simulation_t *sim, int h)
{
  return sim->hosts[h].up && sim->hosts[h].paused_ms <= sim->now_ms;
}

static int
choose_running_host (simulation_t *sim)
{
  int h = (int)csp_random_below (&sim->random, HOSTS);

  while (!sim->hosts[h].up)
    h = (h + 1) % HOSTS;
  return h;
}

static void
create_key (simulation_t *sim, int k)
{
  char text[CSP_ONCE_TOKEN_BYTES + 16];
  csp_error_t error;
  int h = choose_running_host (sim);
  int64_t wall_ms = wall_clock_ms (sim, h);

  switch (k % 3)
    {
    case 0:
      csp_format_host_token (&sim->hosts[h].ref, wall_ms, text);
      break;
    case 1:
      csp_format_data_centre_token (data_centre_of (h), wall_ms, text);
      break;
    default:
      snprintf (text, sizeof text, "%08x-%04x-7000-8000-%012x",
                (unsigned)(wall_ms >> 16), (unsigned)(wall_ms & 0xffff), k);
      break;
    }
  if (k % 3 != 2)
    snprintf (text + strlen (text), 16, "~%d", k);
  ck_assert (csp_parse_once_key ("org", text, &sim->calls[k].key, &error));
}

/* Sends most calls a few times within seconds, sometimes twice within 40 ms.
   With FAULT_OLD_COPY some copies arrive at least 20 s later.  */
static void
send_due_calls (simulation_t *sim)
{
  call_t *call;
  int k;
  int h;

  for (k = 0; k < KEYS; k++)
    {
      call = &sim->calls[k];
      if (sim->now_ms < call->next_ms || sim->now_ms > LAST_SEND_MS
          || call->sends == 5)
        continue;
      if (call->sends == 0)
        create_key (sim, k);
      h = choose_running_host (sim);
      if (sim->hosts[h].paused_ms > sim->now_ms)
        {
          call->next_ms = sim->hosts[h].paused_ms;
          continue;
        }
      call->sends++;
      call->next_ms
          = sim->now_ms
            + csp_random_below (&sim->random, chance (sim, 3000) ? 40 : 4000);
      if (has_fault (sim, FAULT_OLD_COPY) && chance (sim, 2000))
        call->next_ms += 20000 + csp_random_below (&sim->random, 30000);
      start_round (sim, h, k);
    }
}

static int
find_round (const simulation_t *sim, int serial)
{
  int r;

  for (r = 0; r < ROUNDS; r++)
    if (sim->rounds[r].round != NULL && sim->rounds[r].serial == serial)
      return r;
  return -1;
}

static void
deliver (simulation_t *sim, const message_t *m)
{
  message_t reply = { .from = m->to, .to = m->from, .round = m->round };
  csp_once_event_t event = { 0 };
  int r = find_round (sim, m->round);

  switch (m->kind)
    {
    case ASK:
      reply.kind = ANSWER;
      csp_claim_key (sim->hosts[m->to].store, &m->ask, sim->now_ms,
                     wall_clock_ms (sim, m->to), &reply.answer);
      send_message (sim, &reply);
      return;
    case OUTCOME:
      reply.kind = OUTCOME_ACK;
      csp_record_claim_outcome (sim->hosts[m->to].store, &m->report,
                                sim->now_ms, wall_clock_ms (sim, m->to));
      send_message (sim, &reply);
      return;
    case ANSWER:
      event.kind = CSP_ONCE_ANSWER;
      event.u.answer = m->answer;
      break;
    case OUTCOME_ACK:
      event.kind = CSP_ONCE_OUTCOME_ACKED;
      event.host = sim->hosts[m->from].ref.name;
      break;
    }
  if (r >= 0)
    step_round (sim, r, &event);
}

static void
deliver_due_messages (simulation_t *sim)
{
  message_t message;
  int i;

  for (i = 0; i < sim->messages_end; i++)
    {
      if (!sim->messages[i].used || sim->messages[i].due_ms > sim->now_ms
          || (sim->hosts[sim->messages[i].to].up
              && !is_running (sim, sim->messages[i].to)))
        continue;
      message = sim->messages[i];
      sim->messages[i].used = false;
      if (sim->hosts[message.to].up)
        deliver (sim, &message);
    }
}

static void
step_due_rounds (simulation_t *sim)
{
  static const csp_once_event_t tick = { .kind = CSP_ONCE_TICK };
  active_round_t *open;
  int r;

  for (r = 0; r < ROUNDS; r++)
    {
      open = &sim->rounds[r];
      if (open->round == NULL || !is_running (sim, open->host))
        continue;
      if (open->send_pending && open->send_ms <= sim->now_ms)
        send_call (sim, r);
      if (csp_next_once_tick (open->round) <= sim->now_ms)
        step_round (sim, r, &tick);
      if (csp_is_once_round_over (open->round))
        {
          csp_destroy_once_round (open->round);
          open->round = NULL;
        }
    }
}

static void
refresh_views (simulation_t *sim)
{
  int h;

  for (h = 0; h < HOSTS; h++)
    if (is_running (sim, h) && chance (sim, 400))
      {
        sim->hosts[h].view_ms = sim->now_ms;
        sim->hosts[h].list_read_ms
            = sim->now_ms - csp_random_below (&sim->random, LIST_LAG_MS);
      }
}

static void
stop_host (simulation_t *sim, int h)
{
  int r;

  for (r = 0; r < ROUNDS; r++)
    if (sim->rounds[r].round != NULL && sim->rounds[r].host == h)
      {
        csp_destroy_once_round (sim->rounds[r].round);
        sim->rounds[r].round = NULL;
      }
  csp_destroy_once_key_store (sim->hosts[h].store);
  sim->hosts[h].store = NULL;
  sim->hosts[h].up = false;
}

static void
start_host (simulation_t *sim, int h)
{
  host_t *host = &sim->hosts[h];

  host->up = true;
  host->paused_ms = 0;
  host->view_ms = -1;
  host->ref.incarnation++;
  snprintf (host->ref.name, sizeof host->ref.name, "h%d", h);
  host->store
      = csp_create_once_key_store (&sim->settings, &host->ref, sim->now_ms);
}

/* Stops one host for good and starts another.  The platform's list shows both
   changes late.  */
static void
replace_host (simulation_t *sim)
{
  int old = choose_running_host (sim);
  int replacement = 0;

  while (replacement < HOSTS
         && (sim->hosts[replacement].up
             || sim->hosts[replacement].delisted_ms + 2 * LIST_LAG_MS
                    > sim->now_ms))
    replacement++;
  if (replacement == HOSTS)
    return;
  stop_host (sim, old);
  sim->hosts[old].delisted_ms
      = sim->now_ms + csp_random_below (&sim->random, LIST_LAG_MS);
  start_host (sim, replacement);
  sim->hosts[replacement].listed_ms = sim->now_ms;
  sim->hosts[replacement].delisted_ms = NEVER_MS;
}

static void
inject_faults (simulation_t *sim)
{
  int h = choose_running_host (sim);

  if (has_fault (sim, FAULT_PAUSE) && chance (sim, 60))
    sim->hosts[h].paused_ms
        = sim->now_ms + csp_random_below (&sim->random, 25000);
  if (has_fault (sim, FAULT_RESTART) && chance (sim, 60))
    {
      stop_host (sim, h);
      start_host (sim, h);
    }
  if (has_fault (sim, FAULT_REPLACE) && chance (sim, 60))
    replace_host (sim);
  if (has_fault (sim, FAULT_PARTITION) && chance (sim, 20))
    sim->partitioned = !sim->partitioned;
}

static void
start_simulation (simulation_t *sim, uint64_t seed)
{
  int i;

  memset (sim, 0, sizeof *sim);
  csp_seed_random (&sim->random, seed);
  sim->settings = csp_default_once_settings ();
  sim->settings.retention_ms = 30000;
  sim->settings.capacity = 16 * KEYS;
  sim->settings.clock_skew_ms = 2 * SKEW_MS;
  sim->settings.view_lease_ms = 2000;
  sim->settings.witness_delay_ms = LIST_LAG_MS + 2 * 2000;
  sim->settings.grant_lease_ms = 3000;
  sim->settings.allowed_silent = seed / 64 % 2;
  sim->settings.needed_witnesses = sim->settings.allowed_silent + 1;
  sim->faults[0] = (fault_t)(seed % FAULT_COUNT);
  sim->faults[1] = (fault_t)(seed / FAULT_COUNT % FAULT_COUNT);
  for (i = 0; i < HOSTS; i++)
    {
      sim->hosts[i].skew_ms = csp_random_below (&sim->random, 2 * SKEW_MS);
      sim->hosts[i].listed_ms = i < FIRST_HOSTS ? -NEVER_MS : NEVER_MS;
      sim->hosts[i].delisted_ms = i < FIRST_HOSTS ? NEVER_MS : -NEVER_MS;
      if (i < FIRST_HOSTS)
        start_host (sim, i);
    }
  for (i = 0; i < KEYS; i++)
    sim->calls[i].next_ms = 8000 + csp_random_below (&sim->random, 60000);
}

static void
end_simulation (simulation_t *sim)
{
  int i;

  for (i = 0; i < HOSTS; i++)
    stop_host (sim, i);
}

/* Without faults every call runs, except those whose caller got `not run`.  */
static void
check_results (simulation_t *sim, uint64_t seed)
{
  int k;

  for (k = 0; k < KEYS; k++)
    {
      ck_assert_msg (sim->calls[k].runs <= 1,
                     "seed %d: key %d (scope %d) ran %d", (int)seed, k,
                     sim->calls[k].key.scope, sim->calls[k].runs);
      ck_assert_msg (!sim->calls[k].reported_not_run
                         || sim->calls[k].runs == 0,
                     "seed %d: key %d ran after `not run`", (int)seed, k);
      sim->runs += sim->calls[k].runs;
      if (sim->faults[0] == FAULT_NONE && sim->faults[1] == FAULT_NONE)
        ck_assert_msg (sim->calls[k].runs == 1
                           || sim->calls[k].reported_not_run,
                       "seed %d: key %d never ran", (int)seed, k);
    }
  ck_assert_msg (sim->runs > 0, "seed %d: nothing ran", (int)seed);
}

START_TEST (no_key_runs_twice)
{
  simulation_t *sim = malloc (sizeof *sim);
  uint64_t seed = (uint64_t)_i * SEEDS_PER_BATCH;
  uint64_t end = seed + SEEDS_PER_BATCH;

  for (; seed < end; seed++)
    {
      start_simulation (sim, seed);
      for (; sim->now_ms < END_MS; sim->now_ms += STEP_MS)
        {
          inject_faults (sim);
          refresh_views (sim);
          send_due_calls (sim);
          deliver_due_messages (sim);
          step_due_rounds (sim);
        }
      check_results (sim, seed);
      end_simulation (sim);
    }
  free (sim);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("once-interleaving");
  TCase *tcase = tcase_create ("seeds");

  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (tcase, no_key_runs_twice, 0, BATCHES);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
