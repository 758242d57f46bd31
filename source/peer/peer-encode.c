#include "peer/peer-codec-imp.h"

#include <stdlib.h>
#include <string.h>

/* A frame that is being encoded, with all memory that it points to.  */
typedef struct
{
  CspWire__Frame frame;
  csp_heartbeat_scratch_t heartbeat;
  CspWire__HostRef host;
  CspWire__OnceKey key;
  char *tried[CSP_PEER_TRIED_MAX];
  union
  {
    CspWire__CarryAsk carry_ask;
    CspWire__CarryAnswer carry_answer;
    CspWire__PullAsk pull_ask;
    CspWire__PullAnswer pull_answer;
    CspWire__ReserveAsk reserve_ask;
    CspWire__ReserveAnswer reserve_answer;
    CspWire__CommitAsk commit_ask;
    CspWire__CommitAnswer commit_answer;
    CspWire__Release release;
    CspWire__Holdings holdings;
    CspWire__ClaimAsk claim_ask;
    CspWire__ClaimAnswer claim_answer;
    CspWire__OutcomeTell outcome_tell;
    CspWire__Acknowledge acknowledge;
    CspWire__HostsAsk hosts_ask;
    CspWire__HostsAnswer hosts_answer;
  } body;
  void *rows;      /* the elements of a repeated field */
  void *row_array; /* pointers to rows, as protobuf-c takes them */
} encoder_t;

static bool
make_rows (encoder_t *encoder, size_t count, size_t row_bytes)
{
  char **pointers;
  size_t i;

  encoder->rows = calloc (count + 1, row_bytes);
  encoder->row_array = calloc (count + 1, sizeof (char *));
  if (encoder->rows == NULL || encoder->row_array == NULL)
    return false;
  pointers = encoder->row_array;
  for (i = 0; i < count; i++)
    pointers[i] = (char *)encoder->rows + i * row_bytes;
  return true;
}

static CspWire__HostRef *
pack_host (encoder_t *encoder, const csp_host_ref_t *host)
{
  csp_wire__host_ref__init (&encoder->host);
  encoder->host.name = (char *)host->name;
  encoder->host.incarnation = host->incarnation;
  return &encoder->host;
}

static CspWire__OnceKey *
pack_key (encoder_t *encoder, const csp_once_key_t *key)
{
  CspWire__OnceKey *wire = &encoder->key;

  csp_wire__once_key__init (wire);
  wire->organisation = (char *)key->organisation;
  wire->digest.data = (uint8_t *)key->digest;
  wire->digest.len = CSP_ONCE_DIGEST_BYTES;
  wire->scope = key->scope;
  wire->home = pack_host (encoder, &key->home);
  wire->data_centre = (char *)key->data_centre;
  wire->date_ms = key->date_ms;
  return wire;
}

static bool
pack_load_query_answer (encoder_t *encoder, const csp_peer_message_t *message)
{
  CspWire__CarryAnswer *wire = &encoder->body.carry_answer;
  CspWire__Carry *row;
  const csp_carried_load_t *load;
  size_t i;

  csp_wire__carry_answer__init (wire);
  if (!make_rows (encoder, message->u.load_query_answer.count, sizeof *row))
    return false;
  wire->n_carries = message->u.load_query_answer.count;
  wire->carries = encoder->row_array;
  for (i = 0; i < wire->n_carries; i++)
    {
      row = wire->carries[i];
      load = &message->u.load_query_answer.loads[i];
      csp_wire__carry__init (row);
      row->target = (char *)load->target;
      row->carried_tokens = load->carried_tokens;
      row->carried_streams = load->carried_streams;
      row->owning = load->owning;
    }
  encoder->frame.body_case = CSP_WIRE__FRAME__BODY_CARRY_ANSWER;
  encoder->frame.carry_answer = wire;
  return true;
}

static bool
pack_pull_answer (encoder_t *encoder, const csp_peer_message_t *message)
{
  const csp_config_delta_t *delta = &message->u.pull_answer.delta;
  CspWire__PullAnswer *wire = &encoder->body.pull_answer;
  CspWire__ConfigValue *row;
  size_t i;

  csp_wire__pull_answer__init (wire);
  if (!make_rows (encoder, delta->value_count, sizeof *row))
    return false;
  wire->base_revision = delta->base;
  wire->revision = delta->revision;
  wire->digest = delta->digest;
  wire->full = delta->full;
  wire->refused_revision = message->u.pull_answer.refused_revision;
  wire->fault = (char *)(message->u.pull_answer.fault == NULL
                             ? ""
                             : message->u.pull_answer.fault);
  wire->n_values = delta->value_count;
  wire->values = encoder->row_array;
  for (i = 0; i < wire->n_values; i++)
    {
      row = wire->values[i];
      csp_wire__config_value__init (row);
      row->key = (char *)delta->values[i].key;
      row->deleted = delta->values[i].json == NULL;
      row->json = (char *)(row->deleted ? "" : delta->values[i].json);
      row->revision = delta->values[i].revision;
    }
  encoder->frame.body_case = CSP_WIRE__FRAME__BODY_PULL_ANSWER;
  encoder->frame.pull_answer = wire;
  return true;
}

static bool
pack_holdings (encoder_t *encoder, const csp_holdings_t *holdings)
{
  CspWire__Holdings *wire = &encoder->body.holdings;
  CspWire__HeldSlot *row;
  size_t i;

  csp_wire__holdings__init (wire);
  if (!make_rows (encoder, holdings->count, sizeof *row))
    return false;
  wire->sender = pack_host (encoder, &holdings->sender);
  wire->number = holdings->number;
  wire->n_slots = holdings->count;
  wire->slots = encoder->row_array;
  for (i = 0; i < wire->n_slots; i++)
    {
      row = wire->slots[i];
      csp_wire__held_slot__init (row);
      row->ask_id = holdings->slots[i].ask_id;
      row->nonce = holdings->slots[i].nonce;
      row->target = (char *)holdings->slots[i].target;
      row->expected_tokens = holdings->slots[i].expected_tokens;
    }
  encoder->frame.body_case = CSP_WIRE__FRAME__BODY_HOLDINGS;
  encoder->frame.holdings = wire;
  return true;
}

static void
pack_reserve_ask (encoder_t *encoder, const csp_peer_reserve_ask_t *reserve)
{
  CspWire__ReserveAsk *wire = &encoder->body.reserve_ask;
  uint32_t i;

  csp_wire__reserve_ask__init (wire);
  wire->ask_id = reserve->ask.ask_id;
  wire->sender = pack_host (encoder, &reserve->ask.sender);
  wire->model = (char *)reserve->ask.model;
  wire->pool = (char *)reserve->ask.pool;
  wire->expected_tokens = reserve->ask.expected_tokens;
  wire->priority = reserve->ask.priority;
  wire->class_name = (char *)reserve->class_name;
  wire->prompt_tokens = reserve->prompt_tokens;
  wire->max_tokens = reserve->max_tokens;
  wire->lend_below_millis = reserve->lend_below_millis;
  for (i = 0; i < reserve->tried_count; i++)
    encoder->tried[i] = (char *)reserve->tried[i];
  wire->n_tried = reserve->tried_count;
  wire->tried = encoder->tried;
  encoder->frame.body_case = CSP_WIRE__FRAME__BODY_RESERVE_ASK;
  encoder->frame.reserve_ask = wire;
}

static void
pack_reserve_answer (encoder_t *encoder,
                     const csp_peer_reserve_answer_t *reserved)
{
  CspWire__ReserveAnswer *wire = &encoder->body.reserve_answer;

  csp_wire__reserve_answer__init (wire);
  wire->ask_id = reserved->answer.ask_id;
  wire->granted = reserved->answer.granted;
  wire->target = (char *)reserved->answer.target;
  wire->nonce = reserved->answer.nonce;
  wire->lease_ms = reserved->answer.lease_ms;
  wire->retry_after_ms = reserved->answer.retry_after_ms;
  wire->address = (char *)reserved->address;
  wire->port = reserved->port;
  encoder->frame.body_case = CSP_WIRE__FRAME__BODY_RESERVE_ANSWER;
  encoder->frame.reserve_answer = wire;
}

static void
pack_commit_ask (encoder_t *encoder, const csp_commit_ask_t *ask)
{
  CspWire__CommitAsk *wire = &encoder->body.commit_ask;

  csp_wire__commit_ask__init (wire);
  wire->ask_id = ask->ask_id;
  wire->sender = pack_host (encoder, &ask->sender);
  wire->nonce = ask->nonce;
  wire->holdings_number = ask->holdings_number;
  encoder->frame.body_case = CSP_WIRE__FRAME__BODY_COMMIT_ASK;
  encoder->frame.commit_ask = wire;
}

static void
pack_commit_answer (encoder_t *encoder, const csp_commit_answer_t *answer)
{
  CspWire__CommitAnswer *wire = &encoder->body.commit_answer;

  csp_wire__commit_answer__init (wire);
  wire->ask_id = answer->ask_id;
  wire->nonce = answer->nonce;
  wire->held = answer->held;
  wire->lease_ms = answer->lease_ms;
  encoder->frame.body_case = CSP_WIRE__FRAME__BODY_COMMIT_ANSWER;
  encoder->frame.commit_answer = wire;
}

static void
pack_release (encoder_t *encoder, const csp_peer_release_t *release)
{
  CspWire__Release *wire = &encoder->body.release;

  csp_wire__release__init (wire);
  wire->ask_id = release->release.ask_id;
  wire->sender = pack_host (encoder, &release->release.sender);
  wire->nonce = release->release.nonce;
  wire->maybe_decoding = release->release.maybe_decoding;
  wire->tokens = release->tokens;
  wire->failed = release->link_failed;
  wire->target = (char *)release->target;
  encoder->frame.body_case = CSP_WIRE__FRAME__BODY_RELEASE;
  encoder->frame.release = wire;
}

static void
pack_claim_ask (encoder_t *encoder, const csp_claim_ask_t *ask)
{
  CspWire__ClaimAsk *wire = &encoder->body.claim_ask;

  csp_wire__claim_ask__init (wire);
  wire->key = pack_key (encoder, &ask->key);
  wire->claim_high = ask->claim.high;
  wire->claim_low = ask->claim.low;
  encoder->frame.body_case = CSP_WIRE__FRAME__BODY_CLAIM_ASK;
  encoder->frame.claim_ask = wire;
}

static void
pack_claim_answer (encoder_t *encoder, const csp_claim_answer_t *answer)
{
  CspWire__ClaimAnswer *wire = &encoder->body.claim_answer;

  csp_wire__claim_answer__init (wire);
  wire->claim_high = answer->claim.high;
  wire->claim_low = answer->claim.low;
  wire->from = pack_host (encoder, &answer->from);
  wire->result = answer->result;
  wire->outcome = answer->outcome;
  wire->witness_since_ms = answer->witness_since_ms;
  encoder->frame.body_case = CSP_WIRE__FRAME__BODY_CLAIM_ANSWER;
  encoder->frame.claim_answer = wire;
}

static void
pack_outcome_report (encoder_t *encoder, const csp_outcome_report_t *tell)
{
  CspWire__OutcomeTell *wire = &encoder->body.outcome_tell;

  csp_wire__outcome_tell__init (wire);
  wire->key = pack_key (encoder, &tell->key);
  wire->claim_high = tell->claim.high;
  wire->claim_low = tell->claim.low;
  wire->outcome = tell->outcome;
  encoder->frame.body_case = CSP_WIRE__FRAME__BODY_OUTCOME_TELL;
  encoder->frame.outcome_tell = wire;
}

static bool
pack_frame (encoder_t *encoder, const csp_peer_message_t *message)
{
  CspWire__Frame *frame = &encoder->frame;

  switch (message->kind)
    {
    case CSP_PEER_HEARTBEAT:
      csp_pack_heartbeat (&message->u.heartbeat, &encoder->heartbeat);
      frame->body_case = CSP_WIRE__FRAME__BODY_HEARTBEAT;
      frame->heartbeat = &encoder->heartbeat.heartbeat;
      return true;
    case CSP_PEER_LOAD_QUERY:
      csp_wire__carry_ask__init (&encoder->body.carry_ask);
      encoder->body.carry_ask.n_targets = message->u.load_query.count;
      encoder->body.carry_ask.targets = message->u.load_query.targets;
      frame->body_case = CSP_WIRE__FRAME__BODY_CARRY_ASK;
      frame->carry_ask = &encoder->body.carry_ask;
      return true;
    case CSP_PEER_LOAD_QUERY_ANSWER:
      return pack_load_query_answer (encoder, message);
    case CSP_PEER_PULL_ASK:
      csp_wire__pull_ask__init (&encoder->body.pull_ask);
      encoder->body.pull_ask.after = message->u.pull_ask.after;
      frame->body_case = CSP_WIRE__FRAME__BODY_PULL_ASK;
      frame->pull_ask = &encoder->body.pull_ask;
      return true;
    case CSP_PEER_PULL_ANSWER:
      return pack_pull_answer (encoder, message);
    case CSP_PEER_RESERVE_ASK:
      pack_reserve_ask (encoder, &message->u.reserve_ask);
      return true;
    case CSP_PEER_RESERVE_ANSWER:
      pack_reserve_answer (encoder, &message->u.reserve_answer);
      return true;
    case CSP_PEER_COMMIT_ASK:
      pack_commit_ask (encoder, &message->u.commit_ask);
      return true;
    case CSP_PEER_COMMIT_ANSWER:
      pack_commit_answer (encoder, &message->u.commit_answer);
      return true;
    case CSP_PEER_RELEASE:
      pack_release (encoder, &message->u.release);
      return true;
    case CSP_PEER_HOLDINGS:
      return pack_holdings (encoder, &message->u.holdings);
    case CSP_PEER_CLAIM_ASK:
      pack_claim_ask (encoder, &message->u.claim_ask);
      return true;
    case CSP_PEER_CLAIM_ANSWER:
      pack_claim_answer (encoder, &message->u.claim_answer);
      return true;
    case CSP_PEER_OUTCOME_REPORT:
      pack_outcome_report (encoder, &message->u.outcome_report);
      return true;
    case CSP_PEER_HOSTS_ASK:
      csp_wire__hosts_ask__init (&encoder->body.hosts_ask);
      encoder->body.hosts_ask.after = message->u.hosts_ask.after;
      frame->body_case = CSP_WIRE__FRAME__BODY_HOSTS_ASK;
      frame->hosts_ask = &encoder->body.hosts_ask;
      return true;
    case CSP_PEER_HOSTS_ANSWER:
      csp_wire__hosts_answer__init (&encoder->body.hosts_answer);
      encoder->body.hosts_answer.list = (char *)message->u.hosts_answer.list;
      frame->body_case = CSP_WIRE__FRAME__BODY_HOSTS_ANSWER;
      frame->hosts_answer = &encoder->body.hosts_answer;
      return true;
    case CSP_PEER_ACKNOWLEDGE:
      csp_wire__acknowledge__init (&encoder->body.acknowledge);
      frame->body_case = CSP_WIRE__FRAME__BODY_ACKNOWLEDGE;
      frame->acknowledge = &encoder->body.acknowledge;
      return true;
    case CSP_PEER_NONE:
      break;
    }
  return false;
}

uint8_t *
csp_encode_peer_message (const csp_peer_message_t *message,
                         uint64_t deployment, size_t *size_bytes)
{
  encoder_t *encoder = calloc (1, sizeof *encoder);
  uint8_t *data = NULL;

  if (encoder == NULL)
    return NULL;
  csp_wire__frame__init (&encoder->frame);
  encoder->frame.protocol = CSP_PROTOCOL_VERSION;
  encoder->frame.deployment = deployment;
  if (!pack_frame (encoder, message))
    goto done;
  *size_bytes = csp_wire__frame__get_packed_size (&encoder->frame);
  data = malloc (*size_bytes + 1);
  if (data != NULL)
    csp_wire__frame__pack (&encoder->frame, data);

done:
  free (encoder->rows);
  free (encoder->row_array);
  free (encoder);
  return data;
}
