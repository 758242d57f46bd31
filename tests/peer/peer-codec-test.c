#include "cowslipspoke/hash.h"
#include "cowslipspoke/peer.h"
#include "cowslipspoke/random.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* A peer of another version or deployment, or a port scanner, sends frames
   that this encoder did not make.  A decoder that trusts part of such a frame
   crashes the host with all its streams, or puts a wrong target into its
   view.  */

enum
{
  SEED = 20261202,
  MUTANTS_PER_KIND = 4000,
  DEPLOYMENT = 77,
  OTHER_DEPLOYMENT = 78
};

static char *targets[] = { "e1", "e2", "e3" };

static csp_carried_load_t loads[]
    = { { .target = "e1", .carried_tokens = 5000, .carried_streams = 3 },
        { .target = "e2", .owning = true } };

static const csp_config_value_t values[]
    = { { .key = "route/m", .json = "{\"pool\":\"p\"}", .revision = 8 },
        { .key = "route/n", .json = NULL, .revision = 9 } };

static const csp_held_slot_t slots[]
    = { { .ask_id = 1, .nonce = 2, .target = "e1", .expected_tokens = 3 },
        { .ask_id = 4, .nonce = 5, .target = "e2", .expected_tokens = 6 } };

#define ONCE_KEY                                                              \
  {                                                                           \
    .organisation = "llanfair", .digest = { 1, 2, 3, 255 },                   \
    .scope = CSP_ONCE_SCOPE_HOST, .home = { "h1", 9 },                        \
    .data_centre = "cardiff", .date_ms = 1700000000000                        \
  }

static const csp_peer_message_t messages[] = {
  { .kind = CSP_PEER_HEARTBEAT,
    .u.heartbeat = { .deployment = DEPLOYMENT,
                     .incarnation = 11,
                     .sequence = 12,
                     .revision = 13,
                     .headroom_tokens = -14,
                     .protocol = CSP_PROTOCOL_VERSION,
                     .state = CSP_MEMBER_LEAVING,
                     .suspects = { { "h2", "h3", 15, 16 } },
                     .summaries = { { .data_centre = "cardiff",
                                      .live_hosts = 17,
                                      .best = { { "h4", 18 } } } },
                     .name = "h1",
                     .region = "wales",
                     .data_centre = "cardiff",
                     .address = "127.0.0.1",
                     .http_port = 65535,
                     .peer_port = 8081,
                     .suspect_count = 1,
                     .summary_count = 1 } },
  { .kind = CSP_PEER_LOAD_QUERY, .u.load_query = { 3, targets } },
  { .kind = CSP_PEER_LOAD_QUERY_ANSWER, .u.load_query_answer = { 2, loads } },
  { .kind = CSP_PEER_PULL_ASK, .u.pull_ask = { 21 } },
  { .kind = CSP_PEER_PULL_ANSWER,
    .u.pull_answer = { { .base = 7,
                         .revision = 9,
                         .digest = 22,
                         .value_count = 2,
                         .values = values },
                       6,
                       "a fault" } },
  { .kind = CSP_PEER_RESERVE_ASK,
    .u.reserve_ask = { .ask = { .ask_id = 31,
                                .sender = { "h1", 9 },
                                .model = "m",
                                .pool = "p",
                                .expected_tokens = 32,
                                .priority = CSP_PRIORITY_MAX },
                       .tried = { "e1", "e2" },
                       .tried_count = 2,
                       .class_name = "bulletin",
                       .prompt_tokens = 33,
                       .max_tokens = 34 } },
  { .kind = CSP_PEER_RESERVE_ANSWER,
    .u.reserve_answer = { { 41, true, "e1", 42, 43, 44 }, "127.0.0.1", 45 } },
  { .kind = CSP_PEER_COMMIT_ASK, .u.commit_ask = { 51, { "h1", 9 }, 52, 53 } },
  { .kind = CSP_PEER_COMMIT_ANSWER, .u.commit_answer = { 61, 62, true, 63 } },
  { .kind = CSP_PEER_RELEASE,
    .u.release = { { 71, { "h1", 9 }, 72, true }, 73, true, "e1" } },
  { .kind = CSP_PEER_HOLDINGS, .u.holdings = { { "h1", 9 }, 81, 2, slots } },
  { .kind = CSP_PEER_CLAIM_ASK, .u.claim_ask = { ONCE_KEY, { 91, 92 } } },
  { .kind = CSP_PEER_CLAIM_ANSWER,
    .u.claim_answer
    = { { 91, 92 }, { "h1", 9 }, CSP_CLAIM_SEEN, CSP_ONCE_RAN, 93 } },
  { .kind = CSP_PEER_OUTCOME_REPORT,
    .u.outcome_report = { ONCE_KEY, { 91, 92 }, CSP_ONCE_CLOSED } },
  { .kind = CSP_PEER_HOSTS_ASK, .u.hosts_ask = { 101 } },
  { .kind = CSP_PEER_HOSTS_ANSWER, .u.hosts_answer = { "{\"version\":1}" } },
  { .kind = CSP_PEER_ACKNOWLEDGE },
};

enum
{
  MESSAGE_COUNT = sizeof messages / sizeof *messages
};

static uint8_t *
encode (const csp_peer_message_t *message, size_t *size_bytes)
{
  uint8_t *frame = csp_encode_peer_message (message, DEPLOYMENT, size_bytes);

  ck_assert_ptr_nonnull (frame);
  return frame;
}

START_TEST (every_kind_is_tested)
{
  int kind;
  int i;

  for (kind = CSP_PEER_NONE + 1; kind <= CSP_PEER_ACKNOWLEDGE; kind++)
    {
      for (i = 0; i < MESSAGE_COUNT && (int)messages[i].kind != kind; i++)
        continue;
      ck_assert_msg (i < MESSAGE_COUNT, "kind %d is not tested", kind);
    }
}
END_TEST

START_TEST (every_kind_round_trips)
{
  csp_peer_message_t decoded;
  size_t size_bytes;
  size_t reencoded_bytes;
  uint8_t *frame = encode (&messages[_i], &size_bytes);
  uint8_t *reencoded;

  ck_assert (
      csp_decode_peer_message (frame, size_bytes, DEPLOYMENT, &decoded));
  ck_assert_int_eq (decoded.kind, messages[_i].kind);
  reencoded = encode (&decoded, &reencoded_bytes);
  ck_assert_mem_eq (frame, reencoded, size_bytes);
  ck_assert_uint_eq (size_bytes, reencoded_bytes);
  csp_clear_peer_message (&decoded);
  free (frame);
  free (reencoded);
}
END_TEST

START_TEST (decoded_fields_equal_encoded_ones)
{
  csp_peer_message_t decoded;
  size_t size_bytes;
  uint8_t *frame = encode (&messages[0], &size_bytes);

  ck_assert (
      csp_decode_peer_message (frame, size_bytes, DEPLOYMENT, &decoded));
  ck_assert_mem_eq (&decoded.u.heartbeat, &messages[0].u.heartbeat,
                    sizeof decoded.u.heartbeat);
  csp_clear_peer_message (&decoded);
  free (frame);
}
END_TEST

START_TEST (frames_of_another_deployment_are_refused)
{
  csp_peer_message_t decoded;
  size_t size_bytes;
  uint8_t *frame = encode (&messages[_i], &size_bytes);

  ck_assert (!csp_decode_peer_message (frame, size_bytes, OTHER_DEPLOYMENT,
                                       &decoded));
  ck_assert_int_eq (decoded.kind, CSP_PEER_NONE);
  free (frame);
}
END_TEST

/* A damaged frame is either rejected, or decodes to a valid message that can
   be encoded again.  */
static void
check_decodes_safely (const uint8_t *data, size_t size_bytes)
{
  csp_peer_message_t decoded;
  size_t allocated_bytes = size_bytes == 0 ? 1 : size_bytes;
  uint8_t *copy = malloc (allocated_bytes);
  size_t reencoded_bytes;

  /* A separate allocation of the exact size, so that the address sanitizer
     detects reads past the end.  */
  memcpy (copy, data, size_bytes);
  if (csp_decode_peer_message (copy, size_bytes, DEPLOYMENT, &decoded))
    {
      free (encode (&decoded, &reencoded_bytes));
      csp_clear_peer_message (&decoded);
    }
  free (copy);
}

START_TEST (truncated_frames_are_decoded_safely)
{
  size_t size_bytes;
  size_t cut;
  uint8_t *frame = encode (&messages[_i], &size_bytes);

  for (cut = 0; cut < size_bytes; cut++)
    check_decodes_safely (frame, cut);
  free (frame);
}
END_TEST

/* Make one to four changes, each to one byte: a flipped bit, an extreme value,
   an inserted copy or a removal.  */
static size_t
mutate (csp_random_t *random, uint8_t *data, size_t size_bytes)
{
  uint32_t changes = 1 + csp_random_below (random, 4);
  uint32_t at;

  while (changes-- > 0 && size_bytes > 1)
    {
      at = csp_random_below (random, (uint32_t)size_bytes);
      switch (csp_random_below (random, 4))
        {
        case 0:
          data[at] ^= (uint8_t)(1 << csp_random_below (random, 8));
          break;
        case 1:
          data[at]
              = (uint8_t)(csp_random_below (random, 2) == 0 ? 0xff : 0x80);
          break;
        case 2:
          memmove (data + at + 1, data + at, size_bytes - at);
          size_bytes++;
          break;
        default:
          memmove (data + at, data + at + 1, size_bytes - at - 1);
          size_bytes--;
          break;
        }
    }
  return size_bytes;
}

START_TEST (mutated_frames_are_decoded_safely)
{
  csp_random_t random;
  size_t size_bytes;
  uint8_t *frame = encode (&messages[_i], &size_bytes);
  uint8_t *mutant = malloc (size_bytes + 8);
  int i;

  csp_seed_random (&random, SEED + (uint64_t)_i);
  for (i = 0; i < MUTANTS_PER_KIND; i++)
    {
      memcpy (mutant, frame, size_bytes);
      check_decodes_safely (mutant, mutate (&random, mutant, size_bytes));
    }
  free (mutant);
  free (frame);
}
END_TEST

static void
append_varint_field (uint8_t *frame, size_t *size_bytes, uint32_t field,
                     uint32_t value)
{
  uint32_t tag = field << 3;

  for (; tag > 127; tag >>= 7)
    frame[(*size_bytes)++] = (uint8_t)(tag | 128);
  frame[(*size_bytes)++] = (uint8_t)tag;
  for (; value > 127; value >>= 7)
    frame[(*size_bytes)++] = (uint8_t)(value | 128);
  frame[(*size_bytes)++] = (uint8_t)value;
}

/* Values that fit the wire type but not the decoded field: a port of 65537
   truncated to 1 would send a stream to another process.  body and field are
   field numbers of peer.proto.  */
static const struct
{
  const char *description;
  uint32_t body;
  uint32_t field;
  uint32_t value;
  bool accepted;
} bounded_fields[] = {
  { "a heartbeat's peer port that fits", 10, 8, 65535, true },
  { "a heartbeat's peer port that does not", 10, 8, 65537, false },
  { "a heartbeat's HTTP port that does not", 10, 7, 65536, false },
  { "the port of a grant that fits", 16, 8, 65535, true },
  { "the port of a grant that does not", 16, 8, 65536, false },
};

START_TEST (values_that_do_not_fit_a_field_are_refused)
{
  csp_peer_message_t decoded;
  uint8_t frame[64] = { 0x08, CSP_PROTOCOL_VERSION, 0x11, DEPLOYMENT };
  uint8_t body[16];
  size_t body_bytes = 0;
  size_t size_bytes = 11;
  uint32_t tag = (bounded_fields[_i].body << 3) | 2;
  bool accepted;

  append_varint_field (body, &body_bytes, bounded_fields[_i].field,
                       bounded_fields[_i].value);
  frame[size_bytes++] = (uint8_t)(tag | 128);
  frame[size_bytes++] = (uint8_t)(tag >> 7);
  frame[size_bytes++] = (uint8_t)body_bytes;
  memcpy (frame + size_bytes, body, body_bytes);
  accepted = csp_decode_peer_message (frame, size_bytes + body_bytes,
                                      DEPLOYMENT, &decoded);
  ck_assert_msg (accepted == bounded_fields[_i].accepted, "%s",
                 bounded_fields[_i].description);
  csp_clear_peer_message (&decoded);
}
END_TEST

/* A list with more entries than the receiver accepts is refused.  */
START_TEST (lists_over_the_limit_are_refused)
{
  char **many = calloc (CSP_MAX_LOAD_QUERY_TARGETS + 1, sizeof *many);
  csp_peer_message_t message = { .kind = CSP_PEER_LOAD_QUERY };
  csp_peer_message_t decoded;
  uint8_t *frame;
  size_t size_bytes;
  size_t i;

  for (i = 0; i <= CSP_MAX_LOAD_QUERY_TARGETS; i++)
    many[i] = targets[0];
  message.u.load_query.targets = many;
  message.u.load_query.count = CSP_MAX_LOAD_QUERY_TARGETS;
  frame = encode (&message, &size_bytes);
  ck_assert (
      csp_decode_peer_message (frame, size_bytes, DEPLOYMENT, &decoded));
  csp_clear_peer_message (&decoded);
  free (frame);
  message.u.load_query.count++;
  frame = encode (&message, &size_bytes);
  ck_assert (
      !csp_decode_peer_message (frame, size_bytes, DEPLOYMENT, &decoded));
  free (frame);
  free (many);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("peer codec");
  TCase *tcase = tcase_create ("peer codec");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, every_kind_is_tested);
  tcase_add_loop_test (tcase, every_kind_round_trips, 0, MESSAGE_COUNT);
  tcase_add_test (tcase, decoded_fields_equal_encoded_ones);
  tcase_add_loop_test (tcase, frames_of_another_deployment_are_refused, 0,
                       MESSAGE_COUNT);
  tcase_add_loop_test (tcase, truncated_frames_are_decoded_safely, 0,
                       MESSAGE_COUNT);
  tcase_add_loop_test (tcase, mutated_frames_are_decoded_safely, 0,
                       MESSAGE_COUNT);
  tcase_add_loop_test (tcase, values_that_do_not_fit_a_field_are_refused, 0,
                       sizeof bounded_fields / sizeof *bounded_fields);
  tcase_add_test (tcase, lists_over_the_limit_are_refused);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
