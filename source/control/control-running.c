#include "control/control-imp.h"
#include "cowslipspoke/preemption.h"

#include <string.h>

/* Requests that hold a grant: their progress, the check of the grant before
   the request is sent, preemption, and their end.  */

enum
{
  MAX_VICTIMS = 8
};

/* Recall streams without a token yet from an engine that is about to run out
   of memory.  Their callers get a late first token, but no stream stalls.  */
static void
recall_victims (csp_control_t *control, csp_target_state_t *target,
                int64_t now_ms)
{
  csp_preemption_policy_t policy = csp_default_preemption_policy ();
  uint32_t handles[MAX_VICTIMS];
  uint32_t count = csp_choose_victims (&policy, target->ledger, now_ms,
                                       handles, MAX_VICTIMS);
  csp_stream_state_t state;
  csp_tracked_request_t *request;
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      csp_ledger_stream (target->ledger, handles[i], &state);
      request = csp_find_request (control, state.stream.id);
      if (request == NULL)
        continue;
      csp_set_recalled (request->recall);
      control->recalled++;
    }
}

void
csp_tick_preemption (csp_control_t *control, int64_t now_ms)
{
  uint32_t i;

  for (i = 0; i < control->target_capacity; i++)
    if (control->targets[i] != NULL && control->targets[i]->streams > 0
        && control->targets[i]->listed.kind == CSP_TARGET_ENGINE)
      recall_victims (control, control->targets[i], now_ms);
}

/* Pass the mean gap between tokens since the last progress to the target's
   health, without the time spent waiting for the caller, which says nothing
   about the target.  */
static void
note_token_gap (csp_control_t *control, csp_tracked_request_t *request,
                uint64_t tokens, int64_t blocked_ms, int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - request->last_progress_ms - blocked_ms;
  uint64_t generated = tokens - request->generated_tokens;

  if (request->last_progress_ms != 0 && tokens > request->generated_tokens
      && elapsed_ms > 0 && request->target->index != UINT32_MAX)
    csp_note_gaps (control->health, request->target->index,
                   (uint32_t)generated,
                   (double)elapsed_ms / (double)generated);
  request->last_progress_ms = now_ms;
  request->generated_tokens = tokens;
}

void
csp_handle_progress (csp_control_t *control,
                     const csp_control_command_t *command, int64_t now_ms)
{
  csp_tracked_request_t *request
      = csp_find_request (control, command->tracking_id);

  if (request == NULL || request->state != CSP_REQUEST_LOCAL
      || request->stream == UINT32_MAX)
    return;
  csp_note_tokens (request->target->ledger, request->stream,
                   (uint32_t)command->tokens, now_ms);
  note_token_gap (control, request, command->tokens, command->blocked_ms,
                  now_ms);
}

bool
csp_confirm_request (csp_control_t *control, uint64_t id, int64_t now_ms)
{
  csp_tracked_request_t *request = csp_find_request (control, id);

  if (request == NULL)
    return false;
  if (request->state == CSP_REQUEST_REMOTE)
    return csp_confirm_spill (control, request, now_ms);
  if (request->target->listed.kind == CSP_TARGET_SERVICE)
    return true;
  /* While this thread was paused, another host may have become the target's
     owner; both hosts would then fill the target.  */
  return request->target->index != UINT32_MAX
         && csp_get_open_share (control->ownership, request->target->index,
                                now_ms)
                > 0;
}

static void
release_local (csp_control_t *control, csp_tracked_request_t *request,
               const csp_grant_outcome_t *outcome, int64_t now_ms)
{
  csp_target_state_t *target = request->target;

  csp_unref_recall (request->recall);
  if (request->stream != UINT32_MAX)
    {
      csp_note_tokens (target->ledger, request->stream,
                       (uint32_t)outcome->tokens, now_ms);
      csp_remove_stream (target->ledger, request->stream,
                         outcome->end == CSP_LINK_COMPLETE
                             ? CSP_LENGTH_FINISHED
                             : CSP_LENGTH_CUT,
                         now_ms);
    }
  target->streams--;
  csp_note_target_link_end (control, target, outcome->end, now_ms);
  csp_free_unused_target (target);
}

void
csp_handle_release (csp_control_t *control,
                    const csp_control_command_t *command, int64_t now_ms)
{
  csp_tracked_request_t *request
      = csp_find_request (control, command->tracking_id);
  const csp_grant_outcome_t *outcome = &command->outcome;
  csp_pool_state_t *pool;
  uint32_t used_tokens;

  if (request == NULL || request->state == CSP_REQUEST_WAITING)
    return;
  pool = &control->pools[request->pool];
  if (request->state == CSP_REQUEST_LOCAL)
    release_local (control, request, outcome, now_ms);
  else
    csp_finish_spill (control, request, outcome, now_ms);
  used_tokens = request->prompt_tokens + (uint32_t)outcome->tokens;
  csp_settle_waiting (
      pool->queue, request->organisation, request->memory_tokens,
      request->charged_tokens,
      csp_compute_request_cost (&pool->cost, pool->engine_tokens,
                                request->prompt_tokens, used_tokens),
      now_ms);
  csp_settle_limits (request, used_tokens);
  pool->dirty = true;
  csp_remove_request (control, request);
}
