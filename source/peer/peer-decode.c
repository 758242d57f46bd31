#include "peer/peer-codec-imp.h"

#include <stdlib.h>
#include <string.h>

/* Decodes frames from peers.  A peer may run another version, belong to
   another deployment by mistake, or be faulty, so a frame is rejected as a
   whole if any of its fields is out of range.  */

static bool
unpack_host (const CspWire__HostRef *wire, csp_host_ref_t *host)
{
  if (wire == NULL)
    return false;
  host->incarnation = wire->incarnation;
  return csp_copy_wire_text (host->name, sizeof host->name, wire->name);
}

static bool
unpack_key (const CspWire__OnceKey *wire, csp_once_key_t *key)
{
  if (wire == NULL || wire->digest.len != CSP_ONCE_DIGEST_BYTES
      || wire->scope > CSP_ONCE_SCOPE_ALL)
    return false;
  memcpy (key->digest, wire->digest.data, CSP_ONCE_DIGEST_BYTES);
  key->scope = (csp_once_scope_t)wire->scope;
  key->date_ms = wire->date_ms;
  return unpack_host (wire->home, &key->home)
         && csp_copy_wire_text (key->organisation, sizeof key->organisation,
                                wire->organisation)
         && csp_copy_wire_text (key->data_centre, sizeof key->data_centre,
                                wire->data_centre);
}

static bool
unpack_load_query_answer (const CspWire__CarryAnswer *wire,
                          csp_peer_message_t *message)
{
  csp_carried_load_t *loads = calloc (wire->n_carries + 1, sizeof *loads);
  size_t i;

  message->array = loads;
  if (loads == NULL)
    return false;
  for (i = 0; i < wire->n_carries; i++)
    {
      loads[i].carried_tokens = wire->carries[i]->carried_tokens;
      loads[i].carried_streams = wire->carries[i]->carried_streams;
      loads[i].owning = wire->carries[i]->owning;
      if (!csp_copy_wire_text (loads[i].target, sizeof loads[i].target,
                               wire->carries[i]->target))
        return false;
    }
  message->u.load_query_answer.count = wire->n_carries;
  message->u.load_query_answer.loads = loads;
  return true;
}

static bool
unpack_pull_answer (const CspWire__PullAnswer *wire,
                    csp_peer_message_t *message)
{
  csp_config_value_t *values = calloc (wire->n_values + 1, sizeof *values);
  csp_config_delta_t *delta = &message->u.pull_answer.delta;
  size_t i;

  message->array = values;
  if (values == NULL)
    return false;
  for (i = 0; i < wire->n_values; i++)
    {
      values[i].key = wire->values[i]->key;
      values[i].json = wire->values[i]->deleted ? NULL : wire->values[i]->json;
      values[i].revision = wire->values[i]->revision;
    }
  delta->base = wire->base_revision;
  delta->revision = wire->revision;
  delta->digest = wire->digest;
  delta->full = wire->full;
  delta->value_count = wire->n_values;
  delta->values = values;
  message->u.pull_answer.refused_revision = wire->refused_revision;
  message->u.pull_answer.fault = wire->fault;
  return true;
}

static bool
unpack_holdings (const CspWire__Holdings *wire, csp_peer_message_t *message)
{
  csp_held_slot_t *slots = calloc (wire->n_slots + 1, sizeof *slots);
  csp_holdings_t *holdings = &message->u.holdings;
  size_t i;

  message->array = slots;
  if (slots == NULL)
    return false;
  for (i = 0; i < wire->n_slots; i++)
    {
      slots[i].ask_id = wire->slots[i]->ask_id;
      slots[i].nonce = wire->slots[i]->nonce;
      slots[i].expected_tokens = wire->slots[i]->expected_tokens;
      if (!csp_copy_wire_text (slots[i].target, sizeof slots[i].target,
                               wire->slots[i]->target))
        return false;
    }
  holdings->number = wire->number;
  holdings->count = wire->n_slots;
  holdings->slots = slots;
  return unpack_host (wire->sender, &holdings->sender);
}

static bool
unpack_reserve_ask (const CspWire__ReserveAsk *wire,
                    csp_peer_reserve_ask_t *reserve)
{
  size_t i;

  if (wire->priority > CSP_PRIORITY_MAX || wire->n_tried > CSP_PEER_TRIED_MAX)
    return false;
  for (i = 0; i < wire->n_tried; i++)
    if (!csp_copy_wire_text (reserve->tried[i], sizeof reserve->tried[i],
                             wire->tried[i]))
      return false;
  reserve->tried_count = (uint32_t)wire->n_tried;
  reserve->ask.ask_id = wire->ask_id;
  reserve->ask.expected_tokens = wire->expected_tokens;
  reserve->ask.priority = (uint8_t)wire->priority;
  reserve->prompt_tokens = wire->prompt_tokens;
  reserve->max_tokens = wire->max_tokens;
  reserve->lend_below_millis = wire->lend_below_millis;
  return unpack_host (wire->sender, &reserve->ask.sender)
         && csp_copy_wire_text (reserve->ask.model, sizeof reserve->ask.model,
                                wire->model)
         && csp_copy_wire_text (reserve->ask.pool, sizeof reserve->ask.pool,
                                wire->pool)
         && csp_copy_wire_text (reserve->class_name,
                                sizeof reserve->class_name, wire->class_name);
}

static bool
unpack_reserve_answer (const CspWire__ReserveAnswer *wire,
                       csp_peer_reserve_answer_t *reserved)
{
  csp_reserve_answer_t *answer = &reserved->answer;

  if (wire->port > UINT16_MAX)
    return false;
  answer->ask_id = wire->ask_id;
  answer->granted = wire->granted;
  answer->nonce = wire->nonce;
  answer->lease_ms = wire->lease_ms;
  answer->retry_after_ms = wire->retry_after_ms;
  reserved->port = (uint16_t)wire->port;
  return csp_copy_wire_text (answer->target, sizeof answer->target,
                             wire->target)
         && csp_copy_wire_text (reserved->address, sizeof reserved->address,
                                wire->address);
}

static bool
unpack_commit_ask (const CspWire__CommitAsk *wire, csp_commit_ask_t *ask)
{
  ask->ask_id = wire->ask_id;
  ask->nonce = wire->nonce;
  ask->holdings_number = wire->holdings_number;
  return unpack_host (wire->sender, &ask->sender);
}

static bool
unpack_release (const CspWire__Release *wire, csp_peer_release_t *release)
{
  release->release.ask_id = wire->ask_id;
  release->release.nonce = wire->nonce;
  release->release.maybe_decoding = wire->maybe_decoding;
  release->tokens = wire->tokens;
  release->link_failed = wire->failed;
  return unpack_host (wire->sender, &release->release.sender)
         && csp_copy_wire_text (release->target, sizeof release->target,
                                wire->target);
}

static bool
unpack_claim_answer (const CspWire__ClaimAnswer *wire,
                     csp_claim_answer_t *answer)
{
  if (wire->result > CSP_CLAIM_FULL || wire->outcome > CSP_ONCE_CLOSED)
    return false;
  answer->claim.high = wire->claim_high;
  answer->claim.low = wire->claim_low;
  answer->result = (csp_claim_result_t)wire->result;
  answer->outcome = (csp_once_outcome_t)wire->outcome;
  answer->witness_since_ms = wire->witness_since_ms;
  return unpack_host (wire->from, &answer->from);
}

static bool
unpack_outcome_report (const CspWire__OutcomeTell *wire,
                       csp_outcome_report_t *tell)
{
  if (wire->outcome > CSP_ONCE_CLOSED)
    return false;
  tell->claim.high = wire->claim_high;
  tell->claim.low = wire->claim_low;
  tell->outcome = (csp_once_outcome_t)wire->outcome;
  return unpack_key (wire->key, &tell->key);
}

static bool
unpack_body (const CspWire__Frame *frame, csp_peer_message_t *message)
{
  switch (frame->body_case)
    {
    case CSP_WIRE__FRAME__BODY_HEARTBEAT:
      message->kind = CSP_PEER_HEARTBEAT;
      return csp_unpack_heartbeat (frame->heartbeat, &message->u.heartbeat);
    case CSP_WIRE__FRAME__BODY_CARRY_ASK:
      message->kind = CSP_PEER_LOAD_QUERY;
      message->u.load_query.count = frame->carry_ask->n_targets;
      message->u.load_query.targets = frame->carry_ask->targets;
      return message->u.load_query.count <= CSP_MAX_LOAD_QUERY_TARGETS;
    case CSP_WIRE__FRAME__BODY_CARRY_ANSWER:
      message->kind = CSP_PEER_LOAD_QUERY_ANSWER;
      return unpack_load_query_answer (frame->carry_answer, message);
    case CSP_WIRE__FRAME__BODY_PULL_ASK:
      message->kind = CSP_PEER_PULL_ASK;
      message->u.pull_ask.after = frame->pull_ask->after;
      return true;
    case CSP_WIRE__FRAME__BODY_PULL_ANSWER:
      message->kind = CSP_PEER_PULL_ANSWER;
      return unpack_pull_answer (frame->pull_answer, message);
    case CSP_WIRE__FRAME__BODY_RESERVE_ASK:
      message->kind = CSP_PEER_RESERVE_ASK;
      return unpack_reserve_ask (frame->reserve_ask, &message->u.reserve_ask);
    case CSP_WIRE__FRAME__BODY_RESERVE_ANSWER:
      message->kind = CSP_PEER_RESERVE_ANSWER;
      return unpack_reserve_answer (frame->reserve_answer,
                                    &message->u.reserve_answer);
    case CSP_WIRE__FRAME__BODY_COMMIT_ASK:
      message->kind = CSP_PEER_COMMIT_ASK;
      return unpack_commit_ask (frame->commit_ask, &message->u.commit_ask);
    case CSP_WIRE__FRAME__BODY_COMMIT_ANSWER:
      message->kind = CSP_PEER_COMMIT_ANSWER;
      message->u.commit_answer.ask_id = frame->commit_answer->ask_id;
      message->u.commit_answer.nonce = frame->commit_answer->nonce;
      message->u.commit_answer.held = frame->commit_answer->held;
      message->u.commit_answer.lease_ms = frame->commit_answer->lease_ms;
      return true;
    case CSP_WIRE__FRAME__BODY_RELEASE:
      message->kind = CSP_PEER_RELEASE;
      return unpack_release (frame->release, &message->u.release);
    case CSP_WIRE__FRAME__BODY_HOLDINGS:
      message->kind = CSP_PEER_HOLDINGS;
      return unpack_holdings (frame->holdings, message);
    case CSP_WIRE__FRAME__BODY_CLAIM_ASK:
      message->kind = CSP_PEER_CLAIM_ASK;
      message->u.claim_ask.claim.high = frame->claim_ask->claim_high;
      message->u.claim_ask.claim.low = frame->claim_ask->claim_low;
      return unpack_key (frame->claim_ask->key, &message->u.claim_ask.key);
    case CSP_WIRE__FRAME__BODY_CLAIM_ANSWER:
      message->kind = CSP_PEER_CLAIM_ANSWER;
      return unpack_claim_answer (frame->claim_answer,
                                  &message->u.claim_answer);
    case CSP_WIRE__FRAME__BODY_OUTCOME_TELL:
      message->kind = CSP_PEER_OUTCOME_REPORT;
      return unpack_outcome_report (frame->outcome_tell,
                                    &message->u.outcome_report);
    case CSP_WIRE__FRAME__BODY_HOSTS_ASK:
      message->kind = CSP_PEER_HOSTS_ASK;
      message->u.hosts_ask.after = frame->hosts_ask->after;
      return true;
    case CSP_WIRE__FRAME__BODY_HOSTS_ANSWER:
      message->kind = CSP_PEER_HOSTS_ANSWER;
      message->u.hosts_answer.list = frame->hosts_answer->list;
      return true;
    case CSP_WIRE__FRAME__BODY_ACKNOWLEDGE:
      message->kind = CSP_PEER_ACKNOWLEDGE;
      return true;
    default:
      return false;
    }
}

bool
csp_decode_peer_message (const uint8_t *data, size_t size_bytes,
                         uint64_t deployment, csp_peer_message_t *message)
{
  CspWire__Frame *frame = NULL;

  memset (message, 0, sizeof *message);
  if (size_bytes <= CSP_PEER_MESSAGE_LIMIT_BYTES)
    frame = csp_wire__frame__unpack (NULL, size_bytes, data);
  message->unpacked = frame;
  if (frame != NULL && frame->deployment == deployment
      && frame->protocol >= CSP_PROTOCOL_OLDEST
      && unpack_body (frame, message))
    return true;
  csp_clear_peer_message (message);
  return false;
}

void
csp_clear_peer_message (csp_peer_message_t *message)
{
  free (message->array);
  if (message->unpacked != NULL)
    csp_wire__frame__free_unpacked (message->unpacked, NULL);
  memset (message, 0, sizeof *message);
}
