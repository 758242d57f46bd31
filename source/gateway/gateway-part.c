#include "gateway/gateway-exchange-imp.h"

#include <inttypes.h>

/* Prompt parts that make targets end, see part-quarantine.h: noting strikes
   and sound answers, exchanging them with other hosts, and ending requests
   with a held part.  */

enum
{
  /* Held parts in one periodic hello; see CSP_HELLO_MAX_BYTES.  */
  PERIODIC_PARTS_MAX = 2,
  /* Bytes of other connections to a target that has ended may be read for this
     long after the first one was closed.  */
  LAST_BYTES_MS = 200,
  PART_TEXT_BYTES = sizeof "ffffffff"
};

/* Log that a trial or a hold begins, or that it ends.  reported_by: a host, or
   "self".  */
static void
log_part (csp_gateway_t *gateway, csp_event_t event, uint64_t part,
          const char *reported_by)
{
  const csp_route_service_t *service
      = csp_find_service_by_hash (gateway, csp_service_of_part (part));
  csp_prompt_parts_t parts = { .count = 1, .parts = { part } };
  char name[PART_TEXT_BYTES];

  snprintf (name, sizeof name, "%08" PRIx32, (uint32_t)part);
  CSP_LOG (gateway->log, event, NULL, csp_text ("part", name),
           csp_text ("service", service == NULL ? NULL : service->name),
           csp_text ("told_by", reported_by),
           csp_number ("hold_ms",
                       csp_held_part_left_ms (gateway->part_quarantine, &parts,
                                              csp_gateway_now_ms (gateway))));
}

static bool
has_part (csp_exchange_t *exchange, uint64_t part)
{
  const csp_prompt_parts_t *parts;
  size_t i;

  if (exchange->service == NULL)
    return false;
  parts = csp_exchange_parts (exchange);
  for (i = 0; i < parts->count; i++)
    if (parts->parts[i] == part)
      return true;
  return false;
}

static void
begin_part_trial (csp_gateway_t *gateway, uint64_t part,
                  const char *reported_by)
{
  gateway->counts.parts_tried++;
  log_part (gateway, CSP_EVENT_PART_ON_TRIAL, part, reported_by);
}

static void
begin_part_hold (csp_gateway_t *gateway, uint64_t part,
                 const char *reported_by)
{
  gateway->counts.parts_held++;
  log_part (gateway, CSP_EVENT_PART_HELD, part, reported_by);
  csp_end_unanswered (gateway, has_part, part, NULL);
}

static const csp_prompt_parts_t no_parts;

/* The parts of the exchange that may be suspected.  Mostly none is, and its
   prompt needn't be looked at.  */
static const csp_prompt_parts_t *
get_suspected_parts (csp_exchange_t *exchange)
{
  return csp_count_suspected_parts (exchange->gateway->part_quarantine) > 0
             ? csp_exchange_parts (exchange)
             : &no_parts;
}

uint32_t
csp_exchange_part_hold_ms (csp_exchange_t *exchange)
{
  return csp_held_part_left_ms (exchange->gateway->part_quarantine,
                                get_suspected_parts (exchange),
                                csp_gateway_now_ms (exchange->gateway));
}

uint32_t
csp_exchange_part_retry_ms (csp_exchange_t *exchange)
{
  return csp_part_retry_after_ms (exchange->gateway->part_quarantine,
                                  get_suspected_parts (exchange),
                                  csp_gateway_now_ms (exchange->gateway));
}

void
csp_begin_exchange_trial (csp_exchange_t *exchange)
{
  csp_begin_part_trials (exchange->gateway->part_quarantine,
                         get_suspected_parts (exchange),
                         csp_gateway_now_ms (exchange->gateway));
}

void
csp_cancel_exchange_trial (csp_exchange_t *exchange)
{
  csp_cancel_part_trials (exchange->gateway->part_quarantine,
                          get_suspected_parts (exchange),
                          csp_gateway_now_ms (exchange->gateway));
}

void
csp_note_part_strikes (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;
  const csp_fleet_target_t *target = exchange->target;
  const csp_prompt_parts_t *parts = csp_exchange_parts (exchange);
  int64_t now_ms = csp_gateway_now_ms (gateway);
  size_t i;

  /* A leaving target ends for its own reasons.  */
  if (target->state == CSP_FLEET_LEAVING || target->state == CSP_FLEET_GONE
      || (exchange->run_started_ms != 0
          && now_ms - exchange->run_started_ms >= CSP_PART_INNOCENT_AFTER_MS))
    return;
  for (i = 0; i < parts->count; i++)
    {
      csp_part_strike_t strike = { .part = parts->parts[i],
                                   .target = target->hash,
                                   .position = (uint32_t)i };

      gateway->counts.part_strikes += csp_add_own_part_strike (
          gateway->part_quarantine, &strike, exchange->sent_at_ms, now_ms);
    }
}

/* Tell all hosts, which hold the part on this host's word.  */
static void
report_sound_part (csp_gateway_t *gateway, uint64_t part)
{
  csp_hello_t hello = { .sound_part_count = 1 };

  if (csp_find_sound_part (gateway->part_quarantine, part,
                           &hello.sound_parts[0],
                           csp_gateway_now_ms (gateway)))
    csp_broadcast_hello (gateway, &hello);
}

/* reported_by: the host that had the answer, or "self".  not_this is the
   exchange that is being handled.  */
static void
note_sound_part (csp_gateway_t *gateway, uint64_t part, int64_t began_ms,
                 const char *reported_by, const csp_exchange_t *not_this)
{
  switch (csp_note_sound_part (gateway->part_quarantine, part, began_ms))
    {
    case CSP_HOLD_UNCHANGED:
      return;
    case CSP_HOLD_LIFTED:
      break;
    case CSP_OWN_HOLD_LIFTED:
      report_sound_part (gateway, part);
      break;
    }
  log_part (gateway, CSP_EVENT_PART_RELEASED, part, reported_by);
  csp_move_cleared_streams (gateway, has_part, part, not_this);
}

void
csp_note_parts_sound (csp_exchange_t *exchange, int64_t began_ms)
{
  const csp_prompt_parts_t *parts = csp_exchange_parts (exchange);
  size_t i;

  for (i = 0; i < parts->count; i++)
    note_sound_part (exchange->gateway, parts->parts[i], began_ms, "self",
                     exchange);
}

void
csp_note_parts_run_on (csp_exchange_t *exchange)
{
  if (exchange->run_started_ms == exchange->sound_run_ms
      || exchange->last_data_ms - exchange->run_started_ms
             < CSP_PART_SOUND_AFTER_MS)
    return;
  exchange->sound_run_ms = exchange->run_started_ms;
  csp_note_parts_sound (exchange, exchange->run_started_ms);
}

static bool
has_ended (void *state, uint64_t target_hash, int64_t at_ms)
{
  csp_gateway_t *gateway = state;
  const csp_fleet_target_t *target
      = csp_find_target_by_hash (gateway->fleet, target_hash);

  return target == NULL || target->heard_ms <= at_ms + LAST_BYTES_MS;
}

static void
try_suspected_parts (csp_gateway_t *gateway, int64_t now_ms)
{
  csp_trial_facts_t facts
      = { .is_only_host = csp_count_live_peers (gateway->roster) == 0,
          .has_ended = has_ended,
          .state = gateway };
  uint64_t parts[CSP_HELLO_HELD_PARTS_MAX];
  size_t count
      = csp_try_suspected_parts (gateway->part_quarantine, &facts, parts,
                                 CSP_HELLO_HELD_PARTS_MAX, now_ms);
  size_t i;

  for (i = 0; i < count; i++)
    begin_part_trial (gateway, parts[i], "self");
}

static void
judge_failed_trials (csp_gateway_t *gateway, int64_t now_ms)
{
  csp_trial_verdict_t verdicts[CSP_HELLO_HELD_PARTS_MAX];
  size_t count = csp_judge_failed_trials (gateway->part_quarantine, verdicts,
                                          CSP_HELLO_HELD_PARTS_MAX, now_ms);
  size_t i;

  for (i = 0; i < count; i++)
    if (verdicts[i].held)
      begin_part_hold (gateway, verdicts[i].part, "self");
    else
      begin_part_trial (gateway, verdicts[i].part, "self");
}

static void
broadcast_parts (csp_gateway_t *gateway, int64_t now_ms)
{
  for (;;)
    {
      csp_hello_t hello = { .part_strike_count = 0 };

      hello.part_strike_count = csp_take_part_strikes (
          gateway->part_quarantine, hello.part_strikes,
          CSP_HELLO_PART_STRIKES_MAX, now_ms);
      hello.held_part_count
          = csp_take_held_parts (gateway->part_quarantine, hello.held_parts,
                                 CSP_HELLO_HELD_PARTS_MAX, now_ms);
      if (hello.part_strike_count > 0 || hello.held_part_count > 0)
        csp_broadcast_hello (gateway, &hello);
      if (hello.part_strike_count < CSP_HELLO_PART_STRIKES_MAX
          && hello.held_part_count < CSP_HELLO_HELD_PARTS_MAX)
        return;
    }
}

void
csp_update_held_parts (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);

  csp_expire_part_strikes (gateway->part_quarantine, now_ms);
  judge_failed_trials (gateway, now_ms);
  try_suspected_parts (gateway, now_ms);
  broadcast_parts (gateway, now_ms);
}

void
csp_add_held_parts_to_hello (csp_gateway_t *gateway, csp_hello_t *hello)
{
  hello->held_part_count
      = csp_list_held_parts (gateway->part_quarantine, hello->held_parts,
                             PERIODIC_PARTS_MAX, csp_gateway_now_ms (gateway));
}

/* Answer that a part is sound, if an answer shows it.  */
static void
add_sound_part (csp_gateway_t *gateway, csp_hello_t *answer, uint64_t part)
{
  if (answer->sound_part_count < CSP_HELLO_SOUND_PARTS_MAX
      && csp_find_sound_part (gateway->part_quarantine, part,
                              &answer->sound_parts[answer->sound_part_count],
                              csp_gateway_now_ms (gateway)))
    answer->sound_part_count++;
}

static void
merge_part_strikes (csp_gateway_t *gateway, const csp_hello_t *hello)
{
  size_t i;

  for (i = 0; i < hello->part_strike_count; i++)
    gateway->counts.part_strikes += csp_add_part_strike (
        gateway->part_quarantine, &hello->part_strikes[i],
        csp_gateway_now_ms (gateway));
}

static void
merge_held_part (csp_gateway_t *gateway, csp_peer_address_t from,
                 const csp_held_part_t *held, csp_hello_t *answer)
{
  bool precedes = csp_pack_peer (from) < csp_pack_peer (gateway->self);
  char host[CSP_PEER_TEXT_BYTES];

  csp_format_peer (from, host);
  switch (csp_merge_held_part (gateway->part_quarantine, held, precedes,
                               csp_gateway_now_ms (gateway)))
    {
    case CSP_PART_UNCHANGED:
      break;
    case CSP_PART_ON_TRIAL:
      begin_part_trial (gateway, held->part, host);
      break;
    case CSP_PART_HELD:
      begin_part_hold (gateway, held->part, host);
      break;
    case CSP_PART_SOUND:
      add_sound_part (gateway, answer, held->part);
      break;
    }
}

void
csp_handle_part_hello (csp_gateway_t *gateway, csp_peer_address_t from,
                       const csp_hello_t *hello)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  csp_hello_t answer = { .sound_part_count = 0 };
  char host[CSP_PEER_TEXT_BYTES];
  size_t i;

  if (hello->part_strike_count == 0 && hello->held_part_count == 0
      && hello->sound_part_count == 0)
    return;
  csp_format_peer (from, host);
  for (i = 0; i < hello->sound_part_count; i++)
    note_sound_part (gateway, hello->sound_parts[i].part,
                     now_ms - hello->sound_parts[i].age_ms, host, NULL);
  merge_part_strikes (gateway, hello);
  for (i = 0; i < hello->held_part_count; i++)
    merge_held_part (gateway, from, &hello->held_parts[i], &answer);
  if (answer.sound_part_count > 0)
    csp_send_hello (gateway, &answer, &from, 1);
}
