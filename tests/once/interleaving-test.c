/* Eight hosts in two data centres, with clocks and lists that differ, get
   every call several times: repeats, copies that a library or a balancer sent
   twice, and copies that lay unread for long.  Two kinds of failure at once
   are drawn for each seed.  A user notices a fault here as a second quote, or
   as a call that ran although it was called `not run`.  */

#include "world.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool
chance (world_t *w, uint32_t per_ten_thousand)
{
  return csp_random_below (&w->random, 10000) < per_ten_thousand;
}

static bool
has (const world_t *w, fault_t fault)
{
  return w->faults[0] == fault || w->faults[1] == fault;
}

static int64_t
wall_of (const world_t *w, int host)
{
  return NEVER_MS + w->now_ms + w->hosts[host].skew_ms;
}

static const char *
centre_of (int host)
{
  return host % 2 == 0 ? "cardiff" : "swansea";
}

static int
find_host_number (const char *name)
{
  return name[1] - '0';
}

static void
post (world_t *w, const message_t *message)
{
  bool apart = message->from % 2 != message->to % 2;
  int copies = has (w, FAULT_DOUBLE) && chance (w, 2000) ? 2 : 1;
  int i;

  if (message->from != message->to
      && ((has (w, FAULT_LOSS) && chance (w, 1500)) || (w->cut && apart)))
    return;
  for (i = 0; i < MESSAGES && copies > 0; i++)
    if (!w->messages[i].used)
      {
        if (i >= w->message_top)
          w->message_top = i + 1;
        w->messages[i] = *message;
        w->messages[i].used = true;
        w->messages[i].due_ms = w->now_ms + csp_random_below (&w->random, 60);
        if (has (w, FAULT_DOUBLE) && chance (w, 500))
          w->messages[i].due_ms += csp_random_below (&w->random, 30000);
        copies--;
      }
}

static void
keep_verdict (world_t *w, open_round_t *open, const csp_error_t *error)
{
  call_t *call = &w->calls[open->key];

  switch (error->verdict)
    {
    case CSP_VERDICT_NOT_RUN:
      call->called_not_run = true;
      return;
    case CSP_VERDICT_RAN:
      ck_assert_int_eq (call->runs, 1);
      return;
    case CSP_VERDICT_MAY_HAVE_RUN:
      return;
    }
}

static void
act (world_t *w, int r, const csp_once_action_t *action)
{
  open_round_t *open = &w->rounds[r];
  message_t m = { .from = open->host, .round = open->serial };
  size_t i;

  m.kind = action->kind == CSP_ONCE_ASK ? ASK : TELL;
  m.ask = action->ask;
  m.tell = action->tell;
  for (i = 0; i < action->host_count; i++)
    {
      m.to = find_host_number (action->hosts[i]);
      post (w, &m);
    }
  if (action->kind == CSP_ONCE_RUN)
    {
      open->sends = true;
      open->send_ms = w->now_ms + csp_random_below (&w->random, 100);
    }
  if (action->kind == CSP_ONCE_GIVE_UP)
    keep_verdict (w, open, &action->error);
}

static void
step_round (world_t *w, int r, const csp_once_event_t *event)
{
  csp_once_action_t action;

  csp_step_once_round (w->rounds[r].round, event, w->now_ms, &action);
  act (w, r, &action);
}

/* Bytes leave, if they still may, and the target runs the call, refuses it,
   or is cut off in the middle.  */
static void
send_call (world_t *w, int r)
{
  open_round_t *open = &w->rounds[r];
  call_t *call = &w->calls[open->key];
  csp_once_event_t event = { .kind = CSP_ONCE_BEFORE_SEND };
  csp_once_action_t action;

  open->sends = false;
  csp_step_once_round (open->round, &event, w->now_ms, &action);
  if (action.kind != CSP_ONCE_SEND)
    {
      act (w, r, &action);
      return;
    }
  event.kind = CSP_ONCE_ENDED;
  event.u.outcome = CSP_ONCE_RAN;
  if (chance (w, 1000))
    {
      event.u.outcome = CSP_ONCE_CLOSED;
      call->called_not_run = true;
    }
  else
    call->runs++;
  if (event.u.outcome == CSP_ONCE_RAN && chance (w, 1000))
    event.u.outcome = CSP_ONCE_MAY_HAVE_RUN;
  step_round (w, r, &event);
}

static size_t
make_view (const world_t *w, int h, csp_once_peer_t *peers)
{
  int64_t at_ms = w->hosts[h].view_of_ms;
  size_t count = 0;
  int i;

  for (i = 0; i < HOSTS; i++)
    if (w->hosts[i].listed_ms <= at_ms && at_ms < w->hosts[i].delisted_ms)
      {
        peers[count].ref = w->hosts[i].ref;
        snprintf (peers[count].data_centre, CSP_DATA_CENTRE_NAME_BYTES, "%s",
                  centre_of (i));
        count++;
      }
  return count;
}

static void
start_round (world_t *w, int h, int k)
{
  csp_once_peer_t peers[HOSTS];
  csp_once_view_t view = { peers, make_view (w, h, peers), w->hosts[h].view_ms,
                           w->hosts[h].view_ms >= 0 };
  csp_once_action_t action;
  int r = 0;

  while (r < ROUNDS && w->rounds[r].round != NULL)
    r++;
  if (r == ROUNDS)
    return;
  memset (&w->rounds[r], 0, sizeof w->rounds[r]);
  w->rounds[r].host = h;
  w->rounds[r].key = k;
  w->rounds[r].serial = ++w->serial;
  w->rounds[r].round = csp_create_once_round (
      &w->settings, &w->calls[k].key, &view, &w->random, w->now_ms + 20000);
  csp_start_once_round (w->rounds[r].round, w->now_ms, wall_of (w, h),
                        &action);
  act (w, r, &action);
}

static bool
works (const world_t *w, int h)
{
  return w->hosts[h].up && w->hosts[h].paused_ms <= w->now_ms;
}

static int
pick_host (world_t *w)
{
  int h = (int)csp_random_below (&w->random, HOSTS);

  while (!w->hosts[h].up)
    h = (h + 1) % HOSTS;
  return h;
}

static void
date_key (world_t *w, int k)
{
  char text[CSP_ONCE_TOKEN_BYTES + 16];
  csp_error_t error;
  int h = pick_host (w);
  int64_t wall_ms = wall_of (w, h);

  switch (k % 3)
    {
    case 0:
      csp_format_host_token (&w->hosts[h].ref, wall_ms, text);
      break;
    case 1:
      csp_format_data_centre_token (centre_of (h), wall_ms, text);
      break;
    default:
      snprintf (text, sizeof text, "%08x-%04x-7000-8000-%012x",
                (unsigned)(wall_ms >> 16), (unsigned)(wall_ms & 0xffff), k);
      break;
    }
  if (k % 3 != 2)
    snprintf (text + strlen (text), 16, "~%d", k);
  ck_assert (csp_parse_once_key ("org", text, &w->calls[k].key, &error));
}

/* Most calls are sent a few times within seconds, twice at once now and then;
   an old copy arrives half a minute later and more.  */
static void
send_due_calls (world_t *w)
{
  call_t *call;
  int k;
  int h;

  for (k = 0; k < KEYS; k++)
    {
      call = &w->calls[k];
      if (w->now_ms < call->next_ms || w->now_ms > LAST_SEND_MS
          || call->sends == 5)
        continue;
      if (call->sends == 0)
        date_key (w, k);
      h = pick_host (w);
      if (w->hosts[h].paused_ms > w->now_ms)
        {
          call->next_ms = w->hosts[h].paused_ms;
          continue;
        }
      call->sends++;
      call->next_ms
          = w->now_ms
            + csp_random_below (&w->random, chance (w, 3000) ? 40 : 4000);
      if (has (w, FAULT_OLD_COPY) && chance (w, 2000))
        call->next_ms += 20000 + csp_random_below (&w->random, 30000);
      start_round (w, h, k);
    }
}

static int
find_round (const world_t *w, int serial)
{
  int r;

  for (r = 0; r < ROUNDS; r++)
    if (w->rounds[r].round != NULL && w->rounds[r].serial == serial)
      return r;
  return -1;
}

static void
deliver (world_t *w, const message_t *m)
{
  message_t back = { .from = m->to, .to = m->from, .round = m->round };
  csp_once_event_t event = { 0 };
  int r = find_round (w, m->round);

  switch (m->kind)
    {
    case ASK:
      back.kind = ANSWER;
      csp_claim_key (w->hosts[m->to].once, &m->ask, w->now_ms,
                     wall_of (w, m->to), &back.answer);
      post (w, &back);
      return;
    case TELL:
      back.kind = TOLD;
      csp_settle_claim (w->hosts[m->to].once, &m->tell, w->now_ms,
                        wall_of (w, m->to));
      post (w, &back);
      return;
    case ANSWER:
      event.kind = CSP_ONCE_ANSWER;
      event.u.answer = m->answer;
      break;
    case TOLD:
      event.kind = CSP_ONCE_TOLD;
      event.host = w->hosts[m->from].ref.name;
      break;
    }
  if (r >= 0)
    step_round (w, r, &event);
}

static void
deliver_due (world_t *w)
{
  message_t message;
  int i;

  for (i = 0; i < w->message_top; i++)
    {
      if (!w->messages[i].used || w->messages[i].due_ms > w->now_ms
          || (w->hosts[w->messages[i].to].up && !works (w, w->messages[i].to)))
        continue;
      message = w->messages[i];
      w->messages[i].used = false;
      if (w->hosts[message.to].up)
        deliver (w, &message);
    }
}

static void
run_rounds (world_t *w)
{
  static const csp_once_event_t tick = { .kind = CSP_ONCE_TICK };
  open_round_t *open;
  int r;

  for (r = 0; r < ROUNDS; r++)
    {
      open = &w->rounds[r];
      if (open->round == NULL || !works (w, open->host))
        continue;
      if (open->sends && open->send_ms <= w->now_ms)
        send_call (w, r);
      if (csp_next_once_tick (open->round) <= w->now_ms)
        step_round (w, r, &tick);
      if (csp_once_round_over (open->round))
        {
          csp_destroy_once_round (open->round);
          open->round = NULL;
        }
    }
}

static void
refresh_views (world_t *w)
{
  int h;

  for (h = 0; h < HOSTS; h++)
    if (works (w, h) && chance (w, 400))
      {
        w->hosts[h].view_ms = w->now_ms;
        w->hosts[h].view_of_ms
            = w->now_ms - csp_random_below (&w->random, LIST_LAG_MS);
      }
}

static void
end_life (world_t *w, int h)
{
  int r;

  for (r = 0; r < ROUNDS; r++)
    if (w->rounds[r].round != NULL && w->rounds[r].host == h)
      {
        csp_destroy_once_round (w->rounds[r].round);
        w->rounds[r].round = NULL;
      }
  csp_destroy_once (w->hosts[h].once);
  w->hosts[h].once = NULL;
  w->hosts[h].up = false;
}

static void
start_life (world_t *w, int h)
{
  host_t *host = &w->hosts[h];

  host->up = true;
  host->paused_ms = 0;
  host->view_ms = -1;
  host->ref.incarnation++;
  snprintf (host->ref.name, sizeof host->ref.name, "h%d", h);
  host->once = csp_create_once (&w->settings, &host->ref, w->now_ms);
}

/* A host dies for good and another comes, each shown late by the list.  */
static void
replace_host (world_t *w)
{
  int gone = pick_host (w);
  int next = 0;

  while (next < HOSTS
         && (w->hosts[next].up
             || w->hosts[next].delisted_ms + 2 * LIST_LAG_MS > w->now_ms))
    next++;
  if (next == HOSTS)
    return;
  end_life (w, gone);
  w->hosts[gone].delisted_ms
      = w->now_ms + csp_random_below (&w->random, LIST_LAG_MS);
  start_life (w, next);
  w->hosts[next].listed_ms = w->now_ms;
  w->hosts[next].delisted_ms = NEVER_MS;
}

static void
strike (world_t *w)
{
  int h = pick_host (w);

  if (has (w, FAULT_PAUSE) && chance (w, 60))
    w->hosts[h].paused_ms = w->now_ms + csp_random_below (&w->random, 25000);
  if (has (w, FAULT_RESTART) && chance (w, 60))
    {
      end_life (w, h);
      start_life (w, h);
    }
  if (has (w, FAULT_REPLACE) && chance (w, 60))
    replace_host (w);
  if (has (w, FAULT_CUT) && chance (w, 20))
    w->cut = !w->cut;
}

static void
open_world (world_t *w, uint64_t seed)
{
  int i;

  memset (w, 0, sizeof *w);
  csp_seed_random (&w->random, seed);
  w->settings = csp_default_once_settings ();
  w->settings.retention_ms = 30000;
  w->settings.capacity = 16 * KEYS;
  w->settings.clock_skew_ms = 2 * SKEW_MS;
  w->settings.view_lease_ms = 2000;
  w->settings.witness_delay_ms = LIST_LAG_MS + 2 * 2000;
  w->settings.grant_lease_ms = 3000;
  w->settings.allowed_silent = seed / 64 % 2;
  w->settings.needed_witnesses = w->settings.allowed_silent + 1;
  w->faults[0] = (fault_t)(seed % FAULT_COUNT);
  w->faults[1] = (fault_t)(seed / FAULT_COUNT % FAULT_COUNT);
  for (i = 0; i < HOSTS; i++)
    {
      w->hosts[i].skew_ms = csp_random_below (&w->random, 2 * SKEW_MS);
      w->hosts[i].listed_ms = i < FIRST_HOSTS ? -NEVER_MS : NEVER_MS;
      w->hosts[i].delisted_ms = i < FIRST_HOSTS ? NEVER_MS : -NEVER_MS;
      if (i < FIRST_HOSTS)
        start_life (w, i);
    }
  for (i = 0; i < KEYS; i++)
    w->calls[i].next_ms = 8000 + csp_random_below (&w->random, 60000);
}

static void
close_world (world_t *w)
{
  int i;

  for (i = 0; i < HOSTS; i++)
    end_life (w, i);
}

/* With nothing broken every call runs, but for those that the target refused
   or that two copies kept from each other.  */
static void
check_world (world_t *w, uint64_t seed)
{
  int k;

  for (k = 0; k < KEYS; k++)
    {
      ck_assert_msg (w->calls[k].runs <= 1,
                     "seed %d: key %d (scope %d) ran %d", (int)seed, k,
                     w->calls[k].key.scope, w->calls[k].runs);
      ck_assert_msg (!w->calls[k].called_not_run || w->calls[k].runs == 0,
                     "seed %d: key %d ran after `not run`", (int)seed, k);
      w->runs += w->calls[k].runs;
      if (w->faults[0] == FAULT_NONE && w->faults[1] == FAULT_NONE)
        ck_assert_msg (w->calls[k].runs == 1 || w->calls[k].called_not_run,
                       "seed %d: key %d never ran", (int)seed, k);
    }
  ck_assert_msg (w->runs > 0, "seed %d: nothing ran", (int)seed);
}

START_TEST (no_key_runs_twice)
{
  world_t *w = malloc (sizeof *w);
  uint64_t seed = (uint64_t)_i * SEEDS_PER_BATCH;
  uint64_t end = seed + SEEDS_PER_BATCH;

  for (; seed < end; seed++)
    {
      open_world (w, seed);
      for (; w->now_ms < END_MS; w->now_ms += STEP_MS)
        {
          strike (w);
          refresh_views (w);
          send_due_calls (w);
          deliver_due (w);
          run_rounds (w);
        }
      check_world (w, seed);
      close_world (w);
    }
  free (w);
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
