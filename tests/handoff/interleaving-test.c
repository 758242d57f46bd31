/* Simulates three senders and two owners whose messages are late, lost,
   duplicated and reordered, under two kinds of fault for each seed.  Fails if
   a request runs twice, or runs although its caller got `not run`, if an
   engine runs more requests than its bound, or if a slot is never freed.  */

#include "world.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const char *const target_names[OWNERS] = { "e0", "e1" };

static bool
chance (simulation_t *sim, uint32_t per_thousand)
{
  return csp_random_below (&sim->random, 1000) < per_thousand;
}

static bool
has_fault (const simulation_t *sim, fault_t fault)
{
  return sim->faults[0] == fault || sim->faults[1] == fault;
}

static void
send_message (simulation_t *sim, const message_t *message, uint32_t delay_ms)
{
  bool is_network_message
      = message->kind != TO_SENDER
        || message->event.kind <= CSP_HANDOFF_COMMIT_ANSWER;
  int copies = is_network_message && has_fault (sim, FAULT_DUPLICATE)
                       && chance (sim, 200)
                   ? 2
                   : 1;
  int i;

  if (is_network_message && has_fault (sim, FAULT_LOSS) && chance (sim, 150))
    return;
  for (i = 0; i < MESSAGES && copies > 0; i++)
    if (!sim->messages[i].used)
      {
        sim->messages[i] = *message;
        sim->messages[i].used = true;
        sim->messages[i].due_ms
            = sim->now_ms + csp_random_below (&sim->random, delay_ms);
        copies--;
      }
  ck_assert_int_eq (copies, 0);
}

static void
schedule_event (simulation_t *sim, int s, int k, csp_handoff_event_kind_t kind,
                uint32_t delay_ms)
{
  message_t m = { .kind = TO_SENDER, .sender = s, .worker = k };

  m.request = sim->senders[s].workers[k].request;
  m.event.kind = kind;
  send_message (sim, &m, delay_ms);
}

static void
start_stream (simulation_t *sim, int s, int k, const char *target)
{
  worker_t *worker = &sim->senders[s].workers[k];
  request_t *request = &sim->requests[worker->request];
  uint32_t length_ms = 100 + csp_random_below (&sim->random, STREAM_MAX_MS);

  if (chance (sim, 50))
    {
      schedule_event (sim, s, k, CSP_HANDOFF_TARGET_REFUSED, 100);
      return;
    }
  request->starts++;
  request->sender = s;
  request->target = strcmp (target, "e1") == 0;
  request->end_ms = sim->now_ms + length_ms;
  if (chance (sim, 50))
    schedule_event (sim, s, k, CSP_HANDOFF_TARGET_FAILED, length_ms);
  else if (chance (sim, 50))
    schedule_event (sim, s, k, CSP_HANDOFF_CALLER_GONE, length_ms);
}

static void
end_worker (simulation_t *sim, worker_t *worker,
            const csp_handoff_action_t *action)
{
  request_t *request = &sim->requests[worker->request];

  request->done = action->kind == CSP_HANDOFF_DONE;
  request->reported_not_run
      = action->kind == CSP_HANDOFF_GIVE_UP
        && action->u.error.verdict == CSP_VERDICT_NOT_RUN;
  csp_destroy_handoff (worker->handoff);
  worker->handoff = NULL;
}

static void
apply_action (simulation_t *sim, int s, int k,
              const csp_handoff_action_t *action)
{
  worker_t *worker = &sim->senders[s].workers[k];
  message_t m = { .kind = TO_OWNER, .sender = s, .worker = k };
  csp_held_slot_t slot;
  size_t peer;

  m.request = worker->request;
  m.action = *action;
  if (action->has_release)
    {
      m.owner = worker->peers[action->release_peer];
      m.action.kind = CSP_HANDOFF_DONE;
      send_message (sim, &m, 100);
      m.action = *action;
    }
  switch (action->kind)
    {
    case CSP_HANDOFF_SEND_RESERVE:
    case CSP_HANDOFF_SEND_COMMIT:
      m.action.has_release = false;
      m.owner = worker->peers[action->peer];
      send_message (sim, &m, chance (sim, 100) ? 1500 : 60);
      return;
    case CSP_HANDOFF_OPEN_TARGET:
      schedule_event (sim, s, k, CSP_HANDOFF_BEFORE_SEND, 60);
      return;
    case CSP_HANDOFF_SEND_REQUEST:
      ck_assert (csp_get_handoff_slot (worker->handoff, &peer, &slot));
      if (has_fault (sim, FAULT_PAUSE_AT_SEND) && chance (sim, 50))
        {
          sim->pauses_at_send++;
          sim->senders[s].paused_ms = sim->now_ms + 3 * SILENCE_MS;
        }
      start_stream (sim, s, k, slot.target);
      return;
    case CSP_HANDOFF_GIVE_UP:
    case CSP_HANDOFF_DONE:
      end_worker (sim, worker, action);
      return;
    case CSP_HANDOFF_WAIT:
      return;
    }
}

static void
step_worker (simulation_t *sim, int s, int k, const csp_handoff_event_t *event)
{
  csp_handoff_action_t action;

  csp_step_handoff (sim->senders[s].workers[k].handoff, event,
                    sim->senders[s].holdings_number, sim->now_ms, &action);
  apply_action (sim, s, k, &action);
}

static void
start_worker (simulation_t *sim, int s, int k)
{
  sender_t *sender = &sim->senders[s];
  worker_t *worker = &sender->workers[k];
  csp_handoff_settings_t settings = csp_default_handoff_settings ();
  csp_reserve_ask_t ask = { .ask_id = sender->next_ask_id,
                            .sender = sender->ref,
                            .expected_tokens = 100 };
  csp_handoff_action_t action;

  sender->next_ask_id += CSP_HANDOFF_MAX_PEERS;
  worker->request = sim->request_count++;
  worker->peers[0] = (int)csp_random_below (&sim->random, OWNERS);
  worker->peers[1] = 1 - worker->peers[0];
  worker->handoff = csp_create_handoff (&settings, &ask, OWNERS,
                                        sim->now_ms + STREAM_MAX_MS);
  csp_start_handoff (worker->handoff, sim->now_ms, &action);
  apply_action (sim, s, k, &action);
}

static void
answer_ask (simulation_t *sim, owner_t *owner, const message_t *ask)
{
  message_t m = *ask;
  csp_target_usage_t usage;
  int t;

  m.kind = TO_SENDER;
  memset (&m.event, 0, sizeof m.event);
  m.event.peer = ask->action.peer;
  if (ask->action.kind == CSP_HANDOFF_SEND_COMMIT)
    {
      m.event.kind = CSP_HANDOFF_COMMIT_ANSWER;
      csp_commit_slot (owner->table, &ask->action.u.commit, sim->now_ms,
                       &m.event.u.commit);
      send_message (sim, &m, 60);
      return;
    }
  m.event.kind = CSP_HANDOFF_RESERVE_ANSWER;
  csp_refuse_slot (&ask->action.u.reserve, 500, &m.event.u.reserve);
  for (t = 0; t < OWNERS && !m.event.u.reserve.granted; t++)
    {
      csp_get_target_usage (owner->table, target_names[t], sim->now_ms,
                            &usage);
      if (owner->owns[t]
          && usage.reserved + usage.held + usage.orphaned < CAPACITY)
        csp_reserve_slot (owner->table, &ask->action.u.reserve,
                          target_names[t], sim->now_ms, &m.event.u.reserve);
    }
  send_message (sim, &m, 60);
}

static void
deliver (simulation_t *sim, message_t *m)
{
  owner_t *owner = &sim->owners[m->owner];
  csp_holdings_t list
      = { { "", m->incarnation }, m->holdings_number, m->count, m->slots };
  worker_t *worker = &sim->senders[m->sender].workers[m->worker];

  switch (m->kind)
    {
    case HOLDINGS:
      list.sender = sim->senders[m->sender].ref;
      list.sender.incarnation = m->incarnation;
      sim->senders[m->sender].last_holdings_ms = sim->now_ms;
      csp_apply_holdings (owner->table, &list, sim->now_ms);
      return;
    case TO_OWNER:
      if (m->action.kind == CSP_HANDOFF_DONE)
        csp_release_slot (owner->table, &m->action.release, sim->now_ms);
      else
        answer_ask (sim, owner, m);
      return;
    case TO_SENDER:
      if (worker->handoff != NULL && worker->request == m->request)
        step_worker (sim, m->sender, m->worker, &m->event);
      return;
    }
}

static void
deliver_due_messages (simulation_t *sim)
{
  message_t message;
  int64_t paused_ms;
  int i;

  for (i = 0; i < MESSAGES; i++)
    {
      if (!sim->messages[i].used || sim->messages[i].due_ms > sim->now_ms)
        continue;
      message = sim->messages[i];
      paused_ms = message.kind == TO_SENDER
                      ? sim->senders[message.sender].paused_ms
                      : sim->owners[message.owner].paused_ms;
      if (paused_ms > sim->now_ms)
        continue;
      sim->messages[i].used = false;
      deliver (sim, &message);
    }
}

static void
send_holdings (simulation_t *sim, int s)
{
  message_t m = { .kind = HOLDINGS, .sender = s };
  sender_t *sender = &sim->senders[s];
  csp_held_slot_t slot;
  size_t peer;
  int k;

  for (m.owner = 0; m.owner < OWNERS; m.owner++)
    {
      m.holdings_number = ++sender->holdings_number;
      m.incarnation = sender->ref.incarnation;
      m.count = 0;
      for (k = 0; k < WORKERS; k++)
        if (sender->workers[k].handoff != NULL
            && csp_get_handoff_slot (sender->workers[k].handoff, &peer, &slot)
            && sim->target_owners[strcmp (slot.target, "e1") == 0] == m.owner)
          m.slots[m.count++] = slot;
      send_message (sim, &m, 200);
    }
}

static void
step_sender (simulation_t *sim, int s)
{
  static const csp_handoff_event_t tick = { .kind = CSP_HANDOFF_TICK };
  sender_t *sender = &sim->senders[s];
  request_t *request;
  worker_t *worker;
  int k;

  if (sender->paused_ms > sim->now_ms)
    return;
  if (sim->now_ms % HOLDINGS_PERIOD_MS == 0)
    send_holdings (sim, s);
  for (k = 0; k < WORKERS; k++)
    {
      worker = &sender->workers[k];
      request = &sim->requests[worker->request];
      if (worker->handoff != NULL && request->starts > 0
          && request->end_ms <= sim->now_ms)
        step_worker (sim, s, k,
                     &(csp_handoff_event_t){ .kind = CSP_HANDOFF_FINISHED });
      else if (worker->handoff != NULL
               && csp_next_handoff_tick (worker->handoff) <= sim->now_ms)
        step_worker (sim, s, k, &tick);
      else if (worker->handoff == NULL && sim->now_ms < LOAD_PERIOD_MS
               && sim->request_count < REQUESTS && chance (sim, 20))
        start_worker (sim, s, k);
    }
}

static void
restart_sender (simulation_t *sim, int s)
{
  sender_t *sender = &sim->senders[s];
  request_t *request;
  int k;

  for (k = 0; k < WORKERS; k++)
    {
      csp_destroy_handoff (sender->workers[k].handoff);
      sender->workers[k].handoff = NULL;
    }
  for (request = sim->requests; request < sim->requests + sim->request_count;
       request++)
    if (request->sender == s
        && request->end_ms > sim->now_ms + RESUME_WINDOW_MS)
      request->end_ms = sim->now_ms + RESUME_WINDOW_MS;
  sender->ref.incarnation++;
  sender->holdings_number = 0;
  sender->next_ask_id = 1;
}

static void
start_owner (simulation_t *sim, int o, bool first_start)
{
  csp_slot_settings_t settings = csp_default_slot_settings ();
  int t;

  csp_destroy_slot_table (sim->owners[o].table);
  sim->owners[o].table
      = csp_create_slot_table (&settings, csp_random_u64 (&sim->random));
  for (t = 0; t < OWNERS && !first_start; t++)
    if (sim->owners[o].owns[t])
      csp_add_owned_target (sim->owners[o].table, target_names[t],
                            sim->now_ms);
}

/* Moves a target to the other owner.  The old owner learns of it three seconds
   late, so that both act as its owner meanwhile.  */
static void
move_target (simulation_t *sim)
{
  int from = sim->target_owners[0];

  if (sim->now_ms % 20000 == 10000)
    {
      sim->target_owners[0] = 1 - from;
      sim->owners[1 - from].owns[0] = true;
      csp_add_owned_target (sim->owners[1 - from].table, "e0", sim->now_ms);
    }
  if (sim->now_ms % 20000 == 13000 && sim->now_ms > 10000)
    {
      sim->owners[1 - from].owns[0] = false;
      csp_remove_owned_target (sim->owners[1 - from].table, "e0");
    }
}

static void
inject_faults (simulation_t *sim)
{
  int s = (int)csp_random_below (&sim->random, SENDERS);
  int o = (int)csp_random_below (&sim->random, OWNERS);

  if (has_fault (sim, FAULT_SENDER_PAUSE) && chance (sim, 5))
    sim->senders[s].paused_ms
        = sim->now_ms + csp_random_below (&sim->random, 3 * SILENCE_MS);
  if (has_fault (sim, FAULT_SENDER_RESTART) && chance (sim, 2))
    restart_sender (sim, s);
  if (has_fault (sim, FAULT_OWNER_PAUSE) && chance (sim, 2))
    sim->owners[o].paused_ms
        = sim->now_ms + csp_random_below (&sim->random, 2 * SILENCE_MS);
  if (has_fault (sim, FAULT_OWNER_RESTART) && chance (sim, 1))
    start_owner (sim, o, false);
  if (has_fault (sim, FAULT_OWNER_MOVE))
    move_target (sim);
}

/* Records the peak number of requests that run at one engine.  The test's
   bound for it is the engine's capacity, or twice that when owners restart or
   targets move, plus one request for each pause at sending.  */
static void
record_peak_running (simulation_t *sim)
{
  uint32_t running[OWNERS] = { 0 };
  int r;
  int t;

  for (r = 0; r < sim->request_count; r++)
    if (sim->requests[r].end_ms > sim->now_ms)
      running[sim->requests[r].target]++;
  for (t = 0; t < OWNERS; t++)
    if (running[t] > sim->peak_running)
      sim->peak_running = running[t];
}

static void
run_simulation (simulation_t *sim)
{
  int i;

  for (sim->now_ms = STEP_MS; sim->now_ms < LOAD_PERIOD_MS + DRAIN_MS;
       sim->now_ms += STEP_MS)
    {
      if (sim->now_ms < LOAD_PERIOD_MS)
        inject_faults (sim);
      deliver_due_messages (sim);
      for (i = 0; i < SENDERS; i++)
        {
          step_sender (sim, i);
          if (sim->now_ms - sim->senders[i].last_holdings_ms > SILENCE_MS)
            {
              csp_orphan_holder (sim->owners[0].table,
                                 sim->senders[i].ref.name, sim->now_ms);
              csp_orphan_holder (sim->owners[1].table,
                                 sim->senders[i].ref.name, sim->now_ms);
            }
        }
      record_peak_running (sim);
    }
}

static void
start_simulation (simulation_t *sim, int seed)
{
  int i;

  memset (sim, 0, sizeof *sim);
  csp_seed_random (&sim->random, (uint64_t)seed);
  sim->faults[0] = (fault_t)(seed % FAULT_COUNT);
  sim->faults[1] = (fault_t)(seed / FAULT_COUNT % FAULT_COUNT);
  for (i = 0; i < OWNERS; i++)
    {
      sim->target_owners[i] = i;
      sim->owners[i].owns[i] = true;
      start_owner (sim, i, true);
    }
  for (i = 0; i < SENDERS; i++)
    {
      sim->senders[i].ref.name[0] = (char)('s' + i);
      sim->senders[i].ref.incarnation = 1;
      sim->senders[i].next_ask_id = 1;
    }
}

static void
end_simulation (simulation_t *sim)
{
  int i;
  int k;

  for (i = 0; i < SENDERS; i++)
    for (k = 0; k < WORKERS; k++)
      csp_destroy_handoff (sim->senders[i].workers[k].handoff);
  for (i = 0; i < OWNERS; i++)
    csp_destroy_slot_table (sim->owners[i].table);
  free (sim);
}

START_TEST (invariants_hold_under_two_faults)
{
  simulation_t *sim = malloc (sizeof *sim);
  uint32_t bound = CAPACITY;
  int served = 0;
  int r;

  start_simulation (sim, _i);
  run_simulation (sim);
  for (r = 0; r < sim->request_count; r++)
    {
      ck_assert_int_le (sim->requests[r].starts, 1);
      if (sim->requests[r].reported_not_run)
        ck_assert_int_eq (sim->requests[r].starts, 0);
      if (sim->requests[r].done)
        ck_assert_int_eq (sim->requests[r].starts, 1);
      served += sim->requests[r].done;
    }
  ck_assert_int_gt (served, 0);
  if (has_fault (sim, FAULT_OWNER_MOVE)
      || has_fault (sim, FAULT_OWNER_RESTART))
    bound *= 2;
  ck_assert_uint_le (sim->peak_running, bound + (uint32_t)sim->pauses_at_send);
  ck_assert_uint_eq (csp_count_slots (sim->owners[0].table), 0);
  ck_assert_uint_eq (csp_count_slots (sim->owners[1].table), 0);
  end_simulation (sim);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("interleaving");
  TCase *tcase = tcase_create ("seeds");

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, invariants_hold_under_two_faults, 0, SEEDS);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
