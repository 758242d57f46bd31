#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Hand-offs on the sender: for a request that this host has no capacity for,
   it asks other owners for a slot.  csp_handoff_t and csp_choose_peers decide;
   this file sends and receives the messages.  */

enum
{
  SPILL_RETRY_MS = 250,
  MESSAGE_TIMEOUT_MS = 2000
};

static void
send_reserve (csp_control_t *control, csp_tracked_request_t *request,
              const csp_handoff_action_t *action)
{
  csp_peer_message_t message = { .kind = CSP_PEER_RESERVE_ASK };
  csp_peer_reserve_ask_t *reserve = &message.u.reserve_ask;

  reserve->ask = action->u.reserve;
  reserve->prompt_tokens = request->prompt_tokens;
  if (request->waiter != NULL)
    {
      csp_copy_text (reserve->class_name, sizeof reserve->class_name,
                     request->waiter->ask->class_name);
      reserve->max_tokens = request->waiter->ask->max_tokens;
      reserve->lend_below_millis
          = (uint32_t)ceil (request->waiter->ask->lend_below * 1000);
      reserve->tried_count = request->waiter->ask->tried.count;
      memcpy (reserve->tried, request->waiter->ask->tried.names,
              sizeof reserve->tried);
    }
  csp_send_peer (control, &request->spill->peers[action->peer], &message,
                 request->id, MESSAGE_TIMEOUT_MS);
}

static void
send_commit (csp_control_t *control, const csp_tracked_request_t *request,
             const csp_handoff_action_t *action)
{
  csp_peer_message_t message = { .kind = CSP_PEER_COMMIT_ASK };

  message.u.commit_ask = action->u.commit;
  csp_send_peer (control, &request->spill->peers[action->peer], &message,
                 request->id, MESSAGE_TIMEOUT_MS);
}

static void
send_release (csp_control_t *control, const csp_named_peer_address_t *peer,
              const csp_release_t *release,
              const csp_tracked_request_t *request)
{
  csp_peer_message_t message = { .kind = CSP_PEER_RELEASE };

  message.u.release.release = *release;
  if (request != NULL)
    {
      message.u.release.tokens = request->generated_tokens;
      message.u.release.link_failed = request->link_failed;
      csp_copy_text (message.u.release.target, sizeof message.u.release.target,
                     request->spill->target);
    }
  csp_send_peer (control, peer, &message, 0, MESSAGE_TIMEOUT_MS);
}

static void
free_spill (csp_tracked_request_t *request)
{
  csp_destroy_handoff (request->spill->handoff);
  free (request->spill);
  request->spill = NULL;
}

/* The slot is held: remove the request from the queue, and let its thread
   connect to the target.  */
static void
grant_remote (csp_control_t *control, csp_tracked_request_t *request,
              int64_t now_ms)
{
  csp_grant_t *grant = request->waiter->grant;
  csp_spill_t *spill = request->spill;

  csp_charge_waiting (control->pools[request->pool].queue,
                      request->organisation, request->id, now_ms);
  request->state = CSP_REQUEST_REMOTE;
  csp_end_limited_wait (request);
  control->granted++;
  control->spilled++;
  csp_copy_text (grant->target, sizeof grant->target, spill->target);
  csp_copy_text (grant->owner, sizeof grant->owner,
                 spill->peers[spill->granting_peer].name);
  grant->endpoint = spill->endpoint;
  grant->tracking_id = request->id;
  grant->priority = request->waiter->ask->terms.priority;
  grant->wait_ms = now_ms - request->arrived_ms;
  csp_answer_waiter (request->waiter, 0);
  request->waiter = NULL;
}

static void
execute_action (csp_control_t *control, csp_tracked_request_t *request,
                const csp_handoff_action_t *action, int64_t now_ms)
{
  if (action->has_release)
    send_release (control, &request->spill->peers[action->release_peer],
                  &action->release, request);
  switch (action->kind)
    {
    case CSP_HANDOFF_SEND_RESERVE:
      send_reserve (control, request, action);
      break;
    case CSP_HANDOFF_SEND_COMMIT:
      request->spill->granting_peer = action->peer;
      send_commit (control, request, action);
      break;
    case CSP_HANDOFF_OPEN_TARGET:
      if (request->waiter != NULL)
        grant_remote (control, request, now_ms);
      break;
    case CSP_HANDOFF_GIVE_UP:
      free_spill (request);
      request->next_spill_ms = now_ms + SPILL_RETRY_MS;
      control->pools[request->pool].dirty = true;
      break;
    case CSP_HANDOFF_DONE:
      free_spill (request);
      break;
    case CSP_HANDOFF_SEND_REQUEST:
    case CSP_HANDOFF_WAIT:
      break;
    }
}

static void
step_spill (csp_control_t *control, csp_tracked_request_t *request,
            const csp_handoff_event_t *event, int64_t now_ms,
            csp_handoff_action_t *action)
{
  memset (action, 0, sizeof *action);
  csp_step_handoff (request->spill->handoff, event, control->holdings_number,
                    now_ms, action);
  execute_action (control, request, action, now_ms);
}

static csp_reserve_ask_t
describe_ask (csp_control_t *control, const csp_tracked_request_t *request)
{
  const csp_admission_ask_t *wanted = request->waiter->ask;
  csp_reserve_ask_t ask = { .ask_id = control->next_ask_id,
                            .expected_tokens = request->memory_tokens,
                            .priority = wanted->terms.priority };

  control->next_ask_id += CSP_HANDOFF_MAX_PEERS;
  csp_copy_text (ask.sender.name, sizeof ask.sender.name,
                 control->context->settings.host);
  ask.sender.incarnation = control->incarnation;
  csp_copy_text (ask.model, sizeof ask.model, wanted->model);
  csp_copy_text (ask.pool, sizeof ask.pool, wanted->terms.pool);
  return ask;
}

void
csp_start_spill (csp_control_t *control, csp_tracked_request_t *request,
                 int64_t now_ms)
{
  csp_handoff_settings_t settings = csp_default_handoff_settings ();
  csp_handoff_action_t action = { 0 };
  csp_reserve_ask_t ask;
  size_t count;

  if (request->spill != NULL || now_ms < request->next_spill_ms)
    return;
  request->next_spill_ms = now_ms + SPILL_RETRY_MS;
  request->spill = calloc (1, sizeof *request->spill);
  if (request->spill == NULL)
    return;
  count = csp_choose_spill_peers (control, request, now_ms);
  ask = describe_ask (control, request);
  if (count > 0)
    request->spill->handoff = csp_create_handoff (
        &settings, &ask, count, request->waiter->ask->deadline_ms);
  if (request->spill->handoff == NULL)
    {
      free_spill (request);
      return;
    }
  request->spill->peer_count = count;
  csp_start_handoff (request->spill->handoff, now_ms, &action);
  execute_action (control, request, &action, now_ms);
}

/* The index of the peer that sent an answer.  */
static size_t
find_peer_index (const csp_tracked_request_t *request, const char *name)
{
  size_t i;

  for (i = 0; i < request->spill->peer_count; i++)
    if (strcmp (request->spill->peers[i].name, name) == 0)
      break;
  return i;
}

/* Release at once a slot that was granted after its request had ended.
   Otherwise it would stay unused until its lease ends.  */
static void
release_unused_slot (csp_control_t *control, const char *peer_name,
                     const csp_reserve_answer_t *answer, int64_t now_ms)
{
  csp_named_peer_address_t peer;
  csp_release_t release = { .ask_id = answer->ask_id, .nonce = answer->nonce };

  if (!answer->granted || !csp_locate_peer (control, peer_name, now_ms, &peer))
    return;
  csp_copy_text (release.sender.name, sizeof release.sender.name,
                 control->context->settings.host);
  release.sender.incarnation = control->incarnation;
  send_release (control, &peer, &release, NULL);
}

void
csp_handle_reserve_answer (csp_control_t *control,
                           const csp_control_command_t *command,
                           const csp_peer_reserve_answer_t *reserved,
                           int64_t now_ms)
{
  csp_tracked_request_t *request = csp_find_request (control, command->id);
  csp_handoff_event_t event = { .kind = CSP_HANDOFF_RESERVE_ANSWER };
  csp_handoff_action_t action;

  if (request == NULL || request->spill == NULL)
    {
      release_unused_slot (control, command->name, &reserved->answer, now_ms);
      return;
    }
  event.peer = find_peer_index (request, command->name);
  event.u.reserve = reserved->answer;
  memset (&action, 0, sizeof action);
  csp_step_handoff (request->spill->handoff, &event, control->holdings_number,
                    now_ms, &action);
  if (action.kind == CSP_HANDOFF_SEND_COMMIT)
    {
      csp_copy_text (request->spill->target, sizeof request->spill->target,
                     reserved->answer.target);
      csp_fill_endpoint (control, reserved->address, reserved->port,
                         &request->spill->endpoint);
    }
  execute_action (control, request, &action, now_ms);
}

void
csp_handle_commit_answer (csp_control_t *control,
                          const csp_control_command_t *command,
                          const csp_commit_answer_t *answer, int64_t now_ms)
{
  csp_tracked_request_t *request = csp_find_request (control, command->id);
  csp_handoff_event_t event = { .kind = CSP_HANDOFF_COMMIT_ANSWER };
  csp_handoff_action_t action;

  if (request == NULL || request->spill == NULL)
    return;
  event.peer = find_peer_index (request, command->name);
  event.u.commit = *answer;
  step_spill (control, request, &event, now_ms, &action);
}

void
csp_cancel_spill (csp_control_t *control, csp_tracked_request_t *request,
                  int64_t now_ms)
{
  csp_handoff_event_t event = { .kind = CSP_HANDOFF_CALLER_GONE };
  csp_handoff_action_t action;

  if (request->spill == NULL)
    return;
  step_spill (control, request, &event, now_ms, &action);
  if (request->spill != NULL)
    free_spill (request);
}

bool
csp_confirm_spill (csp_control_t *control, csp_tracked_request_t *request,
                   int64_t now_ms)
{
  csp_handoff_event_t event = { .kind = CSP_HANDOFF_BEFORE_SEND };
  csp_handoff_action_t action;

  if (request->spill == NULL)
    return false;
  step_spill (control, request, &event, now_ms, &action);
  if (action.kind == CSP_HANDOFF_SEND_REQUEST)
    return true;
  csp_cancel_spill (control, request, now_ms);
  return false;
}

static csp_handoff_event_kind_t
classify_outcome (const csp_grant_outcome_t *outcome)
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
      /* A target that confirmed the stop has freed the stream's memory.  */
      return outcome->stop_confirmed ? CSP_HANDOFF_FINISHED
                                     : CSP_HANDOFF_TARGET_FAILED;
    }
}

void
csp_finish_spill (csp_control_t *control, csp_tracked_request_t *request,
                  const csp_grant_outcome_t *outcome, int64_t now_ms)
{
  csp_handoff_event_t event = { .kind = classify_outcome (outcome) };
  csp_handoff_action_t action;

  if (request->spill == NULL)
    return;
  request->generated_tokens = outcome->tokens;
  request->link_failed = csp_is_target_failure (outcome->end);
  step_spill (control, request, &event, now_ms, &action);
  csp_cancel_spill (control, request, now_ms);
}

void
csp_tick_spills (csp_control_t *control, int64_t now_ms)
{
  csp_handoff_event_t event = { .kind = CSP_HANDOFF_TICK };
  csp_handoff_action_t action;
  csp_tracked_request_t *request;
  uint32_t i;

  for (i = 0; i < control->request_capacity; i++)
    {
      request = &control->requests[i];
      if (request->id != 0 && request->spill != NULL
          && now_ms >= csp_next_handoff_tick (request->spill->handoff))
        step_spill (control, request, &event, now_ms, &action);
    }
  csp_tick_holdings (control, now_ms);
}
