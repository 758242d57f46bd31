#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The sender's side of hand-offs: requests for which this host has no room
   ask other owners.  The decisions are csp_handoff_t's and
   csp_choose_peers'; this file carries their messages.  */

enum
{
  SPILL_PAUSE_MS = 250,
  RELEASE_TIMEOUT_MS = 2000
};

static void
send_reserve (csp_control_t *control, csp_place_t *place,
              const csp_handoff_action_t *action)
{
  csp_peer_message_t message = { .kind = CSP_PEER_RESERVE_ASK };
  csp_peer_reserve_t *reserve = &message.u.reserve_ask;

  reserve->ask = action->u.reserve;
  reserve->prompt_tokens = place->prompt_tokens;
  if (place->waiter != NULL)
    {
      csp_copy_text (reserve->class_name, sizeof reserve->class_name,
                     place->waiter->ask->class_name);
      reserve->max_tokens = place->waiter->ask->max_tokens;
      reserve->lend_below_millis
          = (uint32_t)ceil (place->waiter->ask->lend_below * 1000);
      reserve->tried_count = place->waiter->ask->tried.count;
      memcpy (reserve->tried, place->waiter->ask->tried.names,
              sizeof reserve->tried);
    }
  csp_send_peer (control, &place->spill->peers[action->peer], &message,
                 place->id, RELEASE_TIMEOUT_MS);
}

static void
send_commit (csp_control_t *control, const csp_place_t *place,
             const csp_handoff_action_t *action)
{
  csp_peer_message_t message = { .kind = CSP_PEER_COMMIT_ASK };

  message.u.commit_ask = action->u.commit;
  csp_send_peer (control, &place->spill->peers[action->peer], &message,
                 place->id, RELEASE_TIMEOUT_MS);
}

static void
send_release (csp_control_t *control, const csp_peer_address_t *peer,
              const csp_release_t *release, const csp_place_t *place)
{
  csp_peer_message_t message = { .kind = CSP_PEER_RELEASE };

  message.u.release.release = *release;
  if (place != NULL)
    {
      message.u.release.tokens = place->made_tokens;
      message.u.release.failed = place->link_failed;
      csp_copy_text (message.u.release.target, sizeof message.u.release.target,
                     place->spill->target);
    }
  csp_send_peer (control, peer, &message, 0, RELEASE_TIMEOUT_MS);
}

static void
drop_spill (csp_place_t *place)
{
  csp_destroy_handoff (place->spill->handoff);
  free (place->spill);
  place->spill = NULL;
}

/* The slot is held: the request leaves the queue and its thread opens the
   target.  */
static void
grant_remote (csp_control_t *control, csp_place_t *place, int64_t now_ms)
{
  csp_grant_t *grant = place->waiter->grant;
  csp_spill_t *spill = place->spill;

  csp_charge_waiting (control->pools[place->pool].queue, place->organisation,
                      place->id, now_ms);
  place->state = CSP_PLACE_REMOTE;
  csp_end_limited_wait (place);
  control->granted++;
  control->spilled++;
  csp_copy_text (grant->target, sizeof grant->target, spill->target);
  csp_copy_text (grant->owner, sizeof grant->owner,
                 spill->peers[spill->holder].name);
  grant->endpoint = spill->endpoint;
  grant->place = place->id;
  grant->priority = place->waiter->ask->terms.priority;
  grant->wait_ms = now_ms - place->asked_ms;
  csp_answer_waiter (place->waiter, 0);
  place->waiter = NULL;
}

static void
carry_out (csp_control_t *control, csp_place_t *place,
           const csp_handoff_action_t *action, int64_t now_ms)
{
  if (action->has_release)
    send_release (control, &place->spill->peers[action->release_peer],
                  &action->release, place);
  switch (action->kind)
    {
    case CSP_HANDOFF_SEND_RESERVE:
      send_reserve (control, place, action);
      break;
    case CSP_HANDOFF_SEND_COMMIT:
      place->spill->holder = action->peer;
      send_commit (control, place, action);
      break;
    case CSP_HANDOFF_OPEN_TARGET:
      if (place->waiter != NULL)
        grant_remote (control, place, now_ms);
      break;
    case CSP_HANDOFF_GIVE_UP:
      drop_spill (place);
      place->next_spill_ms = now_ms + SPILL_PAUSE_MS;
      control->pools[place->pool].dirty = true;
      break;
    case CSP_HANDOFF_DONE:
      drop_spill (place);
      break;
    case CSP_HANDOFF_SEND_REQUEST:
    case CSP_HANDOFF_WAIT:
      break;
    }
}

static void
step_spill (csp_control_t *control, csp_place_t *place,
            const csp_handoff_event_t *event, int64_t now_ms,
            csp_handoff_action_t *action)
{
  memset (action, 0, sizeof *action);
  csp_step_handoff (place->spill->handoff, event, control->holdings_number,
                    now_ms, action);
  carry_out (control, place, action, now_ms);
}

static csp_reserve_ask_t
describe_ask (csp_control_t *control, const csp_place_t *place)
{
  const csp_admission_ask_t *wanted = place->waiter->ask;
  csp_reserve_ask_t ask = { .ask_id = control->next_ask,
                            .expected_tokens = place->cost_tokens,
                            .priority = wanted->terms.priority };

  control->next_ask += CSP_HANDOFF_MAX_PEERS;
  csp_copy_text (ask.sender.name, sizeof ask.sender.name,
                 control->context->settings.host);
  ask.sender.incarnation = control->incarnation;
  csp_copy_text (ask.model, sizeof ask.model, wanted->model);
  csp_copy_text (ask.pool, sizeof ask.pool, wanted->terms.pool);
  return ask;
}

void
csp_start_spill (csp_control_t *control, csp_place_t *place, int64_t now_ms)
{
  csp_handoff_settings_t settings = csp_default_handoff_settings ();
  csp_handoff_action_t action = { 0 };
  csp_reserve_ask_t ask;
  size_t count;

  if (place->spill != NULL || now_ms < place->next_spill_ms)
    return;
  place->next_spill_ms = now_ms + SPILL_PAUSE_MS;
  place->spill = calloc (1, sizeof *place->spill);
  if (place->spill == NULL)
    return;
  count = csp_find_spill_peers (control, place, now_ms);
  ask = describe_ask (control, place);
  if (count > 0)
    place->spill->handoff = csp_create_handoff (
        &settings, &ask, count, place->waiter->ask->deadline_ms);
  if (place->spill->handoff == NULL)
    {
      drop_spill (place);
      return;
    }
  place->spill->peer_count = count;
  csp_start_handoff (place->spill->handoff, now_ms, &action);
  carry_out (control, place, &action, now_ms);
}

/* Which of the peers an answer comes from.  */
static size_t
find_peer_index (const csp_place_t *place, const char *name)
{
  size_t i;

  for (i = 0; i < place->spill->peer_count; i++)
    if (strcmp (place->spill->peers[i].name, name) == 0)
      break;
  return i;
}

/* A slot that comes when nobody waits for it any more is given back at once;
   otherwise it would be lost for its lease.  */
static void
return_slot (csp_control_t *control, const char *peer_name,
             const csp_reserve_answer_t *answer, int64_t now_ms)
{
  csp_peer_address_t peer;
  csp_release_t release = { .ask_id = answer->ask_id, .nonce = answer->nonce };

  if (!answer->granted || !csp_locate_peer (control, peer_name, now_ms, &peer))
    return;
  csp_copy_text (release.sender.name, sizeof release.sender.name,
                 control->context->settings.host);
  release.sender.incarnation = control->incarnation;
  send_release (control, &peer, &release, NULL);
}

void
csp_take_reserved (csp_control_t *control,
                   const csp_control_command_t *command,
                   const csp_peer_reserved_t *reserved, int64_t now_ms)
{
  csp_place_t *place = csp_find_place (control, command->id);
  csp_handoff_event_t event = { .kind = CSP_HANDOFF_RESERVE_ANSWER };
  csp_handoff_action_t action;

  if (place == NULL || place->spill == NULL)
    {
      return_slot (control, command->name, &reserved->answer, now_ms);
      return;
    }
  event.peer = find_peer_index (place, command->name);
  event.u.reserve = reserved->answer;
  memset (&action, 0, sizeof action);
  csp_step_handoff (place->spill->handoff, &event, control->holdings_number,
                    now_ms, &action);
  if (action.kind == CSP_HANDOFF_SEND_COMMIT)
    {
      csp_copy_text (place->spill->target, sizeof place->spill->target,
                     reserved->answer.target);
      csp_fill_endpoint (control, reserved->address, reserved->port,
                         &place->spill->endpoint);
    }
  carry_out (control, place, &action, now_ms);
}

void
csp_take_committed (csp_control_t *control,
                    const csp_control_command_t *command,
                    const csp_commit_answer_t *answer, int64_t now_ms)
{
  csp_place_t *place = csp_find_place (control, command->id);
  csp_handoff_event_t event = { .kind = CSP_HANDOFF_COMMIT_ANSWER };
  csp_handoff_action_t action;

  if (place == NULL || place->spill == NULL)
    return;
  event.peer = find_peer_index (place, command->name);
  event.u.commit = *answer;
  step_spill (control, place, &event, now_ms, &action);
}

void
csp_cancel_spill (csp_control_t *control, csp_place_t *place, int64_t now_ms)
{
  csp_handoff_event_t event = { .kind = CSP_HANDOFF_HUNG_UP };
  csp_handoff_action_t action;

  if (place->spill == NULL)
    return;
  step_spill (control, place, &event, now_ms, &action);
  if (place->spill != NULL)
    drop_spill (place);
}

bool
csp_confirm_spill (csp_control_t *control, csp_place_t *place, int64_t now_ms)
{
  csp_handoff_event_t event = { .kind = CSP_HANDOFF_BEFORE_SEND };
  csp_handoff_action_t action;

  if (place->spill == NULL)
    return false;
  step_spill (control, place, &event, now_ms, &action);
  if (action.kind == CSP_HANDOFF_SEND_REQUEST)
    return true;
  csp_cancel_spill (control, place, now_ms);
  return false;
}

static csp_handoff_event_kind_t
event_of_outcome (const csp_place_outcome_t *outcome)
{
  switch (outcome->end)
    {
    case CSP_LINK_COMPLETE:
      return CSP_HANDOFF_FINISHED;
    case CSP_LINK_NO_CONNECT:
      return CSP_HANDOFF_NOT_SENT;
    case CSP_LINK_NOT_STARTED:
    case CSP_LINK_REJECTED:
      return CSP_HANDOFF_TARGET_REFUSED;
    default:
      /* When the target confirmed that it stopped, its memory is free.  */
      return outcome->stopped ? CSP_HANDOFF_FINISHED
                              : CSP_HANDOFF_TARGET_FAILED;
    }
}

void
csp_finish_spill (csp_control_t *control, csp_place_t *place,
                  const csp_place_outcome_t *outcome, int64_t now_ms)
{
  csp_handoff_event_t event = { .kind = event_of_outcome (outcome) };
  csp_handoff_action_t action;

  if (place->spill == NULL)
    return;
  place->made_tokens = outcome->tokens;
  place->link_failed = csp_link_failed (outcome->end);
  step_spill (control, place, &event, now_ms, &action);
  csp_cancel_spill (control, place, now_ms);
}

void
csp_tick_spills (csp_control_t *control, int64_t now_ms)
{
  csp_handoff_event_t event = { .kind = CSP_HANDOFF_TICK };
  csp_handoff_action_t action;
  csp_place_t *place;
  uint32_t i;

  for (i = 0; i < control->place_room; i++)
    {
      place = &control->places[i];
      if (place->id != 0 && place->spill != NULL
          && now_ms >= csp_next_handoff_tick (place->spill->handoff))
        step_spill (control, place, &event, now_ms, &action);
    }
  csp_tick_holdings (control, now_ms);
}
