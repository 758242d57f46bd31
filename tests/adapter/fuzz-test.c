#include "platform.h"

#include "cowslipspoke/random.h"
#include "cowslipspoke/roster.h"
#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Feeds the parsers of texts from the platform, from targets and from other
   hosts with input in which random bytes are changed, removed and inserted.
   FUZZ_ROUNDS sets the number of rounds, FUZZ_SEED the seed.  */

enum
{
  DEFAULT_ROUNDS = 3000,
  CHANGES_MAX = 6,
  BUFFER_BYTES = 4096,
  DEFAULT_SEED = 1
};

static const char entry[]
    = "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\","
      "\"slots\":24,\"state\":\"ready\",\"cold_left_ms\":30,\"seq\":4,"
      "\"born\":1784969129013,\"models\":[{\"name\":\"m\",\"version\":1}]}";
static const char config[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
      "\"path_prefix\":\"/p/\",\"route_kind\":\"streaming\","
      "\"timeout_ms\":1200,\"slo_ms\":150,\"priority\":2,\"max_attempts\":2,"
      "\"public\":false,\"gap_target_ms\":180,\"backends\":[{\"service\":"
      "\"e\",\"weight\":90},{\"service\":\"p\",\"weight\":10}]}],"
      "\"services\":[{\"name\":\"e\",\"max_conns\":252,\"engine\":{"
      "\"kv_capacity\":34288,\"kv_bytes\":131072,\"link_mbps\":19000.0,"
      "\"moves\":true,\"backups\":true}},{\"name\":\"p\"}],"
      "\"limits\":{\"max_header_bytes\":16384},"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"],\"priority\":1}]}";
static const char report[]
    = "{\"stage\":\"unified\",\"busy\":false,"
      "\"state\":\"draining\",\"leaves_ms\":120,"
      "\"born\":1784969129013,\"runs\":[[\"a\",1,2,3]]}";
static const char move[] = "{\"handle\":\"h-1\",\"created\":32}";

static csp_random_t random_state;

static uint32_t
get_rounds (void)
{
  const char *text = getenv ("FUZZ_ROUNDS");

  return text == NULL ? DEFAULT_ROUNDS : (uint32_t)strtoul (text, NULL, 10);
}

static void
set_up (void)
{
  const char *text = getenv ("FUZZ_SEED");

  csp_seed_random (&random_state,
                   text == NULL ? DEFAULT_SEED : strtoull (text, NULL, 10));
}

/* Change some bytes in place; returns the new size.  */
static size_t
mutate (char *bytes, size_t size_bytes)
{
  static const char json_bytes[] = "{}[]\",:0-9.eE\\u\xff\x80\x01nt";
  uint32_t changes = 1 + csp_random_below (&random_state, CHANGES_MAX);

  while (changes-- > 0 && size_bytes > 1 && size_bytes < BUFFER_BYTES - 1)
    {
      size_t at = csp_random_below (&random_state, (uint32_t)size_bytes);

      switch (csp_random_below (&random_state, 4))
        {
        case 0:
          bytes[at] = (char)csp_random_below (&random_state, 256);
          break;
        case 1:
          bytes[at] = json_bytes[csp_random_below (&random_state,
                                                   sizeof json_bytes - 1)];
          break;
        case 2:
          memmove (bytes + at, bytes + at + 1, size_bytes - at - 1);
          size_bytes--;
          break;
        default:
          memmove (bytes + at + 1, bytes + at, size_bytes - at);
          size_bytes++;
          break;
        }
    }
  if (csp_random_below (&random_state, 8) == 0)
    size_bytes = csp_random_below (&random_state, (uint32_t)size_bytes + 1);
  return size_bytes;
}

/* Copy a text to buffer and mutate it; the result ends at its first zero
   byte.  */
static const char *
mutate_text (const char *text, char buffer[BUFFER_BYTES])
{
  size_t size_bytes = strlen (text);

  memcpy (buffer, text, size_bytes);
  buffer[mutate (buffer, size_bytes)] = '\0';
  return buffer;
}

/* A mutated entry is rejected, or it is accepted with all fields valid.  */
START_TEST (mutated_entries_are_valid_or_rejected)
{
  char buffer[BUFFER_BYTES];
  uint32_t accepted = 0;
  uint32_t i;

  for (i = 0; i < get_rounds (); i++)
    {
      csp_fleet_row_t row;

      if (!csp_decode_server ("i-1", mutate_text (entry, buffer), &row))
        continue;
      accepted++;
      ck_assert_str_eq (row.id, "i-1");
      ck_assert_ptr_nonnull (memchr (row.service, 0, sizeof row.service));
      ck_assert_int_ge (row.start_unix_ms, 0);
      ck_assert_uint_ne (row.address.sin_port, 0);
    }
  ck_assert_uint_gt (accepted, 0);
  ck_assert_uint_lt (accepted, get_rounds ());
}
END_TEST

START_TEST (mutated_configurations_are_valid_or_rejected)
{
  char buffer[BUFFER_BYTES];
  uint32_t i;

  for (i = 0; i < get_rounds (); i++)
    {
      const char *fault = NULL;
      csp_routes_t *routes
          = csp_decode_configuration (mutate_text (config, buffer), &fault);

      ck_assert ((routes == NULL) == (fault != NULL));
      if (routes == NULL)
        continue;
      ck_assert_uint_gt (csp_routes_version (routes), 0);
      csp_release_routes (routes);
    }
}
END_TEST

START_TEST (mutated_target_responses_are_parsed_safely)
{
  const csp_dialect_t *dialect = csp_platform_dialect ();
  char buffer[BUFFER_BYTES];
  uint32_t i;

  for (i = 0; i < get_rounds (); i++)
    {
      csp_target_report_t target_report = { .leaving = false };
      csp_move_answer_t answer = { .handle = "" };
      const char *text = mutate_text (report, buffer);

      dialect->read_report (text, strlen (text), &target_report);
      text = mutate_text (move, buffer);
      dialect->read_move (text, strlen (text), &answer);
      ck_assert_ptr_nonnull (memchr (answer.handle, 0, sizeof answer.handle));
    }
}
END_TEST

static void
fill_hello (csp_hello_t *hello)
{
  *hello = (csp_hello_t){ .boot = 7,
                          .sequence = 9,
                          .is_full_report = true,
                          .data_centre = 3,
                          .load_count = 2,
                          .known_count = 1,
                          .ask_count = 1,
                          .answer_count = 1,
                          .cancel_count = 1,
                          .leaving_target_count = 1 };
  hello->loads[0] = (csp_peer_load_t){ .target = 5, .requests = 2 };
  hello->asks[0] = (csp_hello_ask_t){ .id = 4, .tokens = 900 };
}

/* Datagrams may come from any sender: truncated, of another version or of
   another program.  */
START_TEST (mutated_datagrams_are_decoded_within_bounds)
{
  csp_buffer_t bytes = { 0 };
  char buffer[BUFFER_BYTES];
  csp_hello_t hello;
  uint32_t i;

  fill_hello (&hello);
  ck_assert (csp_encode_hello (&hello, &bytes));
  for (i = 0; i < get_rounds (); i++)
    {
      size_t size_bytes = bytes.size_bytes;

      memcpy (buffer, bytes.data, size_bytes);
      size_bytes = mutate (buffer, size_bytes);
      if (!csp_decode_hello (buffer, size_bytes, &hello))
        continue;
      ck_assert_uint_le (hello.load_count, CSP_HELLO_LOADS_MAX);
      ck_assert_uint_le (hello.known_count, CSP_HELLO_KNOWN_MAX);
      ck_assert_uint_le (hello.ask_count, CSP_HELLO_ASKS_MAX);
      ck_assert_uint_le (hello.answer_count, CSP_HELLO_ASKS_MAX);
      ck_assert_uint_le (hello.cancel_count, CSP_HELLO_ASKS_MAX);
      ck_assert_uint_le (hello.leaving_target_count, CSP_HELLO_LEAVING_MAX);
      ck_assert_uint_le (hello.lease_request_count, CSP_HELLO_LEASES_MAX);
      ck_assert_uint_le (hello.lease_count, CSP_HELLO_LEASES_MAX);
    }
  csp_clear_buffer (&bytes);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fuzz");
  TCase *tcase = tcase_create ("fuzz");

  tcase_set_timeout (tcase, 600);
  tcase_add_checked_fixture (tcase, set_up, NULL);
  tcase_add_test (tcase, mutated_entries_are_valid_or_rejected);
  tcase_add_test (tcase, mutated_configurations_are_valid_or_rejected);
  tcase_add_test (tcase, mutated_target_responses_are_parsed_safely);
  tcase_add_test (tcase, mutated_datagrams_are_decoded_within_bounds);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
