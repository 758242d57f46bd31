#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <string.h>

/* Hand-offs on the owner: slots that other hosts hold on targets that this
   host owns.  The slot table decides; this file chooses the target and passes
   changes of ownership to the table.  */

enum
{
  /* The retry time for a refused sender: among a few dozen streams of ten
     seconds each, one ends about this often.  */
  REFUSED_RETRY_MS = 500
};

bool
csp_init_slots (csp_control_t *control)
{
  csp_slot_settings_t settings = csp_default_slot_settings ();

  control->next_ask_id = 1;
  control->slots
      = csp_create_slot_table (&settings, csp_random_u64 (&control->random));
  return control->slots != NULL;
}

uint64_t
csp_count_slot_tokens (csp_control_t *control, const char *target,
                       int64_t now_ms)
{
  csp_target_usage_t usage;

  csp_get_target_usage (control->slots, target, now_ms, &usage);
  return usage.expected_tokens;
}

static uint32_t
choose_engine_for_peer (csp_control_t *control,
                        const csp_peer_reserve_ask_t *reserve, int64_t now_ms)
{
  csp_stream_t stream = { .prompt_tokens = reserve->prompt_tokens,
                          .max_tokens = reserve->max_tokens,
                          .priority = reserve->ask.priority,
                          .repeatable = true };
  csp_tried_targets_t tried;

  /* This host's own waiting callers come before those of other hosts.  */
  if (atomic_load (&control->leaving)
      || csp_has_unlent_waiting (control, reserve->ask.pool)
      || (reserve->lend_below_millis != 0
          && !csp_may_lend (control, reserve->ask.pool,
                            reserve->lend_below_millis / 1000.0, now_ms)))
    return UINT32_MAX;
  stream.length_key = csp_get_length_key (control->lengths, reserve->ask.model,
                                          reserve->class_name);
  tried.count = reserve->tried_count;
  memcpy (tried.names, reserve->tried, sizeof tried.names);
  return csp_choose_engine (control, reserve->ask.pool, &tried, &stream, 0,
                            now_ms);
}

static void
fill_target_address (csp_control_t *control,
                     csp_peer_reserve_answer_t *reserved)
{
  const csp_target_state_t *target;
  uint32_t index;

  if (!reserved->answer.granted
      || !csp_find_target (control->ownership, reserved->answer.target, &index)
      || index >= control->target_capacity || control->targets[index] == NULL)
    return;
  target = control->targets[index];
  csp_copy_text (reserved->address, sizeof reserved->address,
                 target->listed.address);
  reserved->port = target->listed.port;
}

void
csp_answer_reserve (csp_control_t *control,
                    const csp_peer_reserve_ask_t *reserve, int64_t now_ms,
                    csp_peer_reserve_answer_t *reserved)
{
  uint32_t index;

  memset (reserved, 0, sizeof *reserved);
  if (!csp_repeat_reserve_answer (control->slots, &reserve->ask, now_ms,
                                  &reserved->answer))
    {
      index = choose_engine_for_peer (control, reserve, now_ms);
      if (index == UINT32_MAX)
        csp_refuse_slot (&reserve->ask, REFUSED_RETRY_MS, &reserved->answer);
      else
        csp_reserve_slot (control->slots, &reserve->ask,
                          control->targets[index]->listed.name, now_ms,
                          &reserved->answer);
    }
  fill_target_address (control, reserved);
}

void
csp_handle_slot_release (csp_control_t *control,
                         const csp_peer_release_t *release, int64_t now_ms)
{
  csp_target_state_t *target;
  uint32_t index;

  if (release->link_failed
      && csp_find_target (control->ownership, release->target, &index)
      && index < control->target_capacity && control->targets[index] != NULL)
    {
      target = control->targets[index];
      csp_note_target_link_end (control, target, CSP_LINK_CUT, now_ms);
    }
  csp_release_slot (control->slots, &release->release, now_ms);
}

void
csp_sync_ownership (csp_control_t *control, int64_t now_ms)
{
  csp_target_state_t *target;
  csp_target_view_t view;
  bool owned;
  uint32_t i;

  for (i = 0; i < control->target_capacity; i++)
    {
      target = control->targets[i];
      if (target == NULL || !csp_view_target (control->ownership, i, &view))
        continue;
      owned = view.state != CSP_OWN_OTHER;
      /* Set in both directions, so that a target that was leaving and is live
         again is used at once, before the next change of the list.  */
      target->listed.state = view.state == CSP_OWN_LEAVING ? CSP_MEMBER_LEAVING
                                                           : view.target.state;
      if (target->listed.state == CSP_MEMBER_LIVE)
        target->leaving_since_ms = 0;
      if (owned && !target->owned)
        csp_add_owned_target (control->slots, target->listed.name, now_ms);
      if (!owned && target->owned)
        csp_remove_owned_target (control->slots, target->listed.name);
      if (owned != target->owned)
        CSP_LOG (control->context->log, CSP_EVENT_OWNERSHIP_MOVED, NULL,
                 csp_text ("target", target->listed.name),
                 csp_text ("owner", view.owner));
      /* The ownership opens a target once peers have reported their streams on
         it.  */
      if (owned && csp_get_open_share (control->ownership, i, now_ms) > 0)
        csp_end_target_settling (control->slots, target->listed.name);
      target->owned = owned;
    }
}
