#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <stdlib.h>
#include <string.h>

/* Sends and receives the messages of at-most-once rounds.
   csp_once_key_store_t, which records keys on this host, and csp_once_round_t,
   one request with a key, decide.  See docs/AT-MOST-ONCE.md.  */

enum
{
  MAX_ROUNDS = 65536,
  CLAIM_TIMEOUT_MS = 2000
};

/* A round in progress.  It outlives its request until all hosts have
   acknowledged the outcome.  */
struct csp_once_entry
{
  csp_once_entry_t *next;
  uint64_t id;
  csp_once_round_t *round;
  csp_waiter_t *waiter; /* NULL once the claim is decided */
};

bool
csp_init_once (csp_control_t *control, int64_t now_ms)
{
  csp_host_ref_t self = { .incarnation = control->incarnation };

  csp_copy_text (self.name, sizeof self.name, control->context->settings.host);
  control->once_settings = csp_default_once_settings ();
  control->once
      = csp_create_once_key_store (&control->once_settings, &self, now_ms);
  return control->once != NULL;
}

void
csp_close_once (csp_control_t *control)
{
  csp_once_entry_t *entry;

  while ((entry = control->once_rounds) != NULL)
    {
      control->once_rounds = entry->next;
      csp_destroy_once_round (entry->round);
      free (entry);
    }
  csp_destroy_once_key_store (control->once);
}

static csp_once_entry_t *
find_round (csp_control_t *control, uint64_t id)
{
  csp_once_entry_t *entry;

  for (entry = control->once_rounds; entry != NULL; entry = entry->next)
    if (entry->id == id)
      return entry;
  return NULL;
}

/* List the hosts that could have taken an earlier attempt, including silent
   ones that are still listed.  The list is as old as the platform's last
   answer.  */
static size_t
list_claim_hosts (csp_control_t *control, int64_t now_ms,
                  csp_once_peer_t *hosts)
{
  size_t known = csp_count_hosts (control->membership);
  csp_host_view_t view;
  size_t count = 0;
  size_t i;

  for (i = 0; i < known && count < CSP_ONCE_MAX_HOSTS; i++)
    {
      csp_view_host (control->membership, i, now_ms, &view);
      if (!view.self && !view.listed && view.liveness == CSP_PEER_SILENT)
        continue;
      csp_copy_text (hosts[count].ref.name, sizeof hosts[count].ref.name,
                     view.name);
      hosts[count].ref.incarnation = view.incarnation;
      csp_copy_text (hosts[count].data_centre, sizeof hosts[count].data_centre,
                     view.data_centre);
      count++;
    }
  return count;
}

static void step_round (csp_control_t *control, csp_once_entry_t *entry,
                        const csp_once_event_t *event, int64_t now_ms,
                        csp_once_action_t *action);

/* Ask one host to record the claim; this host itself records it without a
   message.  */
static void
send_claim (csp_control_t *control, csp_once_entry_t *entry, const char *host,
            const csp_claim_ask_t *ask, int64_t now_ms)
{
  csp_peer_message_t message = { .kind = CSP_PEER_CLAIM_ASK };
  csp_once_event_t event = { .kind = CSP_ONCE_ANSWER, .host = host };
  csp_once_action_t action;
  csp_named_peer_address_t peer;

  if (strcmp (host, control->context->settings.host) == 0)
    {
      csp_claim_key (control->once, ask, now_ms,
                     csp_wall_ms (&control->context->clock), &event.u.answer);
      step_round (control, entry, &event, now_ms, &action);
      return;
    }
  message.u.claim_ask = *ask;
  if (csp_locate_peer (control, host, now_ms, &peer)
      && csp_send_peer (control, &peer, &message, entry->id, CLAIM_TIMEOUT_MS))
    return;
  event.kind = CSP_ONCE_HOST_LOST;
  step_round (control, entry, &event, now_ms, &action);
}

static void
send_outcome (csp_control_t *control, csp_once_entry_t *entry,
              const char *host, const csp_outcome_report_t *tell,
              int64_t now_ms)
{
  csp_peer_message_t message = { .kind = CSP_PEER_OUTCOME_REPORT };
  csp_once_event_t event = { .kind = CSP_ONCE_OUTCOME_ACKED, .host = host };
  csp_once_action_t action;
  csp_named_peer_address_t peer;

  if (strcmp (host, control->context->settings.host) == 0)
    {
      csp_record_claim_outcome (control->once, tell, now_ms,
                                csp_wall_ms (&control->context->clock));
      step_round (control, entry, &event, now_ms, &action);
      return;
    }
  message.u.outcome_report = *tell;
  if (csp_locate_peer (control, host, now_ms, &peer))
    csp_send_peer (control, &peer, &message, entry->id, CLAIM_TIMEOUT_MS);
}

/* Works on a copy of the host names: they belong to the round and change with
   each step, and this host's own answer is a step within the loop.  */
static void
send_to_hosts (csp_control_t *control, csp_once_entry_t *entry,
               const csp_once_action_t *action, bool tell, int64_t now_ms)
{
  csp_once_action_t copy = *action;
  char (*names)[CSP_HOST_NAME_BYTES]
      = calloc (action->host_count + 1, sizeof *names);
  size_t i;

  if (names == NULL)
    return;
  for (i = 0; i < copy.host_count; i++)
    csp_copy_text (names[i], sizeof names[i], copy.hosts[i]);
  for (i = 0; i < copy.host_count; i++)
    if (tell)
      send_outcome (control, entry, names[i], &copy.report, now_ms);
    else
      send_claim (control, entry, names[i], &copy.ask, now_ms);
  free (names);
}

static void
answer_claim (csp_once_entry_t *entry, const csp_error_t *error)
{
  csp_waiter_t *waiter = entry->waiter;

  if (waiter == NULL)
    return;
  entry->waiter = NULL;
  waiter->claim_id = entry->id;
  if (error != NULL)
    *waiter->error = *error;
  csp_answer_waiter (waiter, error == NULL ? 0 : -1);
}

static void
execute_action (csp_control_t *control, csp_once_entry_t *entry,
                const csp_once_action_t *action, int64_t now_ms)
{
  switch (action->kind)
    {
    case CSP_ONCE_SEND_CLAIM:
      send_to_hosts (control, entry, action, false, now_ms);
      break;
    case CSP_ONCE_RUN:
      answer_claim (entry, NULL);
      break;
    case CSP_ONCE_GIVE_UP:
      CSP_LOG (control->context->log, CSP_EVENT_KEY_REFUSED, NULL,
               csp_text ("reason", csp_reason_code (action->error.reason)),
               csp_text ("verdict", csp_verdict_name (action->error.verdict)),
               csp_text ("detail", action->error.detail));
      answer_claim (entry, &action->error);
      send_to_hosts (control, entry, action, true, now_ms);
      break;
    case CSP_ONCE_SEND_OUTCOME:
      send_to_hosts (control, entry, action, true, now_ms);
      break;
    case CSP_ONCE_SEND:
    case CSP_ONCE_WAIT:
      break;
    }
}

static void
step_round (csp_control_t *control, csp_once_entry_t *entry,
            const csp_once_event_t *event, int64_t now_ms,
            csp_once_action_t *action)
{
  memset (action, 0, sizeof *action);
  csp_step_once_round (entry->round, event, now_ms, action);
  execute_action (control, entry, action, now_ms);
}

/* When the list of hosts was last known to be up to date: the time at which
   the last answered read of the platform, or the last answered heartbeat to a
   host of the data centre, was sent.  Heartbeats count because a host that a
   peer of its data centre doesn't know is no witness.  So keyed calls can be
   decided while the platform is unreachable.  */
static int64_t
find_confirmed_ms (csp_control_t *control, int64_t now_ms)
{
  int64_t confirmed_ms = control->host_watch.read_schedule.confirmed_ms;
  size_t known = csp_count_hosts (control->membership);
  csp_host_view_t view;
  size_t i;

  for (i = 0; i < known; i++)
    {
      csp_view_host (control->membership, i, now_ms, &view);
      if (csp_is_live_local_peer (control, &view)
          && view.round_trip_age_ms >= 0
          && now_ms - view.round_trip_age_ms > confirmed_ms)
        confirmed_ms = now_ms - view.round_trip_age_ms;
    }
  return confirmed_ms;
}

static csp_once_entry_t *
create_entry (csp_control_t *control, const csp_once_ask_t *ask,
              int64_t now_ms)
{
  csp_once_peer_t *hosts = calloc (CSP_ONCE_MAX_HOSTS, sizeof *hosts);
  csp_once_entry_t *entry = calloc (1, sizeof *entry);
  csp_once_view_t view = { .hosts = hosts };

  if (hosts == NULL || entry == NULL)
    goto fail;
  view.count = list_claim_hosts (control, now_ms, hosts);
  view.confirmed_ms = find_confirmed_ms (control, now_ms);
  view.list_read = control->host_watch.version > 0;
  entry->round
      = csp_create_once_round (&control->once_settings, &ask->key, &view,
                               &control->random, ask->deadline_ms);
  if (entry->round == NULL)
    goto fail;
  free (hosts);
  entry->id = ++control->next_round_id;
  return entry;

fail:
  free (hosts);
  free (entry);
  return NULL;
}

void
csp_start_claim (csp_control_t *control, csp_waiter_t *waiter, int64_t now_ms)
{
  csp_once_entry_t *entry = create_entry (control, waiter->once_ask, now_ms);
  csp_once_action_t action = { 0 };

  if (entry == NULL)
    {
      csp_set_error (waiter->error, CSP_VERDICT_MAY_HAVE_RUN,
                     CSP_REASON_INTERNAL, 0, "out of memory");
      csp_answer_waiter (waiter, -1);
      return;
    }
  entry->waiter = waiter;
  entry->next = control->once_rounds;
  control->once_rounds = entry;
  atomic_fetch_add (&control->open_claims, 1);
  csp_start_once_round (entry->round, now_ms,
                        csp_wall_ms (&control->context->clock), &action);
  execute_action (control, entry, &action, now_ms);
}

bool
csp_confirm_once (csp_control_t *control, uint64_t id, int64_t now_ms)
{
  csp_once_entry_t *entry = find_round (control, id);
  csp_once_event_t event = { .kind = CSP_ONCE_BEFORE_SEND };
  csp_once_action_t action;

  if (entry == NULL)
    return false;
  step_round (control, entry, &event, now_ms, &action);
  return action.kind == CSP_ONCE_SEND;
}

void
csp_end_once (csp_control_t *control, uint64_t id, csp_once_outcome_t outcome,
              int64_t now_ms)
{
  csp_once_entry_t *entry = find_round (control, id);
  csp_once_event_t event
      = { .kind = CSP_ONCE_RUN_ENDED, .u = { .outcome = outcome } };
  csp_once_action_t action;

  if (entry != NULL)
    step_round (control, entry, &event, now_ms, &action);
}

void
csp_handle_claim_answer (csp_control_t *control,
                         const csp_control_command_t *command,
                         const csp_peer_message_t *answer, int64_t now_ms)
{
  csp_once_entry_t *entry = find_round (control, command->id);
  csp_once_event_t event = { .kind = CSP_ONCE_ANSWER, .host = command->name };
  csp_once_action_t action;

  if (entry == NULL || answer->kind != CSP_PEER_CLAIM_ANSWER)
    return;
  event.u.answer = answer->u.claim_answer;
  step_round (control, entry, &event, now_ms, &action);
}

void
csp_handle_outcome_acknowledged (csp_control_t *control,
                                 const csp_control_command_t *command,
                                 const csp_peer_message_t *answer,
                                 int64_t now_ms)
{
  csp_once_entry_t *entry = find_round (control, command->id);
  csp_once_event_t event
      = { .kind = CSP_ONCE_OUTCOME_ACKED, .host = command->name };
  csp_once_action_t action;

  if (entry != NULL && answer->kind == CSP_PEER_ACKNOWLEDGE)
    step_round (control, entry, &event, now_ms, &action);
}

void
csp_tick_once (csp_control_t *control, int64_t now_ms)
{
  csp_once_event_t event = { .kind = CSP_ONCE_TICK };
  csp_once_entry_t **link = &control->once_rounds;
  csp_once_entry_t *entry;
  csp_once_action_t action;

  while ((entry = *link) != NULL)
    {
      if (now_ms >= csp_next_once_tick (entry->round))
        step_round (control, entry, &event, now_ms, &action);
      if (!csp_is_once_round_over (entry->round))
        {
          link = &entry->next;
          continue;
        }
      *link = entry->next;
      csp_destroy_once_round (entry->round);
      free (entry);
      atomic_fetch_sub (&control->open_claims, 1);
    }
  csp_expire_keys (control->once, now_ms);
}
