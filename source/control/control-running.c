#include "control/control-imp.h"
#include "cowslipspoke/preemption.h"

#include <string.h>

/* Requests that hold a place: their progress, the last word before a byte
   leaves, taking them back, and their end.  */

enum
{
  MAX_VICTIMS = 8
};

/* Take back streams that have made nothing yet from an engine whose memory is
   about to run over; their callers see a later first token instead of
   somebody's stall.  */
static void
recall_victims (csp_control_t *control, csp_target_state_t *target,
                int64_t now_ms)
{
  csp_preemption_policy_t policy = csp_default_preemption_policy ();
  uint32_t handles[MAX_VICTIMS];
  uint32_t count = csp_choose_victims (&policy, target->ledger, now_ms,
                                       handles, MAX_VICTIMS);
  csp_stream_state_t state;
  csp_place_t *place;
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      csp_ledger_stream (target->ledger, handles[i], &state);
      place = csp_find_place (control, state.stream.id);
      if (place == NULL)
        continue;
      csp_set_recalled (place->recall);
      control->recalled++;
    }
}

void
csp_tick_preemption (csp_control_t *control, int64_t now_ms)
{
  uint32_t i;

  for (i = 0; i < control->target_room; i++)
    if (control->targets[i] != NULL && control->targets[i]->streams > 0
        && control->targets[i]->listed.kind == CSP_TARGET_ENGINE)
      recall_victims (control, control->targets[i], now_ms);
}

/* The mean gap since the last progress speaks of the target; the time that the
   caller kept its thread waiting does not.  */
static void
note_gap (csp_control_t *control, csp_place_t *place, uint64_t tokens,
          int64_t blocked_ms, int64_t now_ms)
{
  int64_t passed_ms = now_ms - place->progress_ms - blocked_ms;
  uint64_t made = tokens - place->made_tokens;

  if (place->progress_ms != 0 && tokens > place->made_tokens && passed_ms > 0
      && place->target->index != UINT32_MAX)
    csp_note_gaps (control->health, place->target->index, (uint32_t)made,
                   (double)passed_ms / (double)made);
  place->progress_ms = now_ms;
  place->made_tokens = tokens;
}

void
csp_take_progress (csp_control_t *control,
                   const csp_control_command_t *command, int64_t now_ms)
{
  csp_place_t *place = csp_find_place (control, command->place);

  if (place == NULL || place->state != CSP_PLACE_LOCAL
      || place->stream == UINT32_MAX)
    return;
  csp_note_tokens (place->target->ledger, place->stream,
                   (uint32_t)command->tokens, now_ms);
  note_gap (control, place, command->tokens, command->blocked_ms, now_ms);
}

bool
csp_confirm_place (csp_control_t *control, uint64_t id, int64_t now_ms)
{
  csp_place_t *place = csp_find_place (control, id);

  if (place == NULL)
    return false;
  if (place->state == CSP_PLACE_REMOTE)
    return csp_confirm_spill (control, place, now_ms);
  if (place->target->listed.kind == CSP_TARGET_SERVICE)
    return true;
  /* A thread that was paused with its grant may wake up when the target is
     another host's; both would then fill it.  */
  return place->target->index != UINT32_MAX
         && csp_find_opening (control->ownership, place->target->index, now_ms)
                > 0;
}

static void
release_local (csp_control_t *control, csp_place_t *place,
               const csp_place_outcome_t *outcome, int64_t now_ms)
{
  csp_target_state_t *target = place->target;

  csp_drop_recall (place->recall);
  if (place->stream != UINT32_MAX)
    {
      csp_note_tokens (target->ledger, place->stream,
                       (uint32_t)outcome->tokens, now_ms);
      csp_remove_stream (target->ledger, place->stream,
                         outcome->end == CSP_LINK_COMPLETE
                             ? CSP_LENGTH_FINISHED
                             : CSP_LENGTH_CUT,
                         now_ms);
    }
  target->streams--;
  csp_judge_target (control, target, outcome->end, now_ms);
  csp_drop_target (target);
}

void
csp_take_release (csp_control_t *control, const csp_control_command_t *command,
                  int64_t now_ms)
{
  csp_place_t *place = csp_find_place (control, command->place);
  const csp_place_outcome_t *outcome = &command->outcome;
  csp_pool_state_t *pool;

  if (place == NULL || place->state == CSP_PLACE_WAITING)
    return;
  pool = &control->pools[place->pool];
  if (place->state == CSP_PLACE_LOCAL)
    release_local (control, place, outcome, now_ms);
  else
    csp_finish_spill (control, place, outcome, now_ms);
  csp_settle_waiting (pool->queue, place->organisation, place->cost_tokens,
                      place->prompt_tokens + (uint32_t)outcome->tokens,
                      now_ms);
  csp_settle_limits (place, place->prompt_tokens + (uint32_t)outcome->tokens);
  pool->dirty = true;
  csp_free_place (control, place);
}
