#include "cowslipspoke/generation.h"
#include "cowslipspoke/platform.h"
#include "cowslipspoke/random.h"
#include "cowslipspoke/request.h"
#include "cowslipspoke/sse.h"
#include "cowslipspoke/text.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Callers, engines and the platform may send damaged, truncated or malicious
   texts.  A parser that trusts any part of them could crash the host and break
   every stream on it.  Each valid text is mutated thousands of times; under
   the sanitizers a read or write out of bounds fails the test.  */

enum
{
  SEED = 20261202,
  MUTATIONS_PER_CASE = 6000,
  BUFFER_BYTES = 65536,
  LINE_MAX_BYTES = 256
};

static void
parse_host_list (char *text, size_t size_bytes)
{
  csp_host_list_t *list = NULL;
  csp_error_t error = { 0 };

  if (csp_parse_host_list (text, size_bytes, &list, &error))
    csp_destroy_host_list (list);
  else
    ck_assert (error.detail[0] != '\0');
}

static void
parse_configuration (char *text, size_t size_bytes)
{
  csp_config_delta_t *delta = NULL;
  csp_error_t error = { 0 };

  if (csp_parse_config_answer (text, size_bytes, 0, &delta, &error))
    csp_destroy_config_delta (delta);
  else
    ck_assert (error.detail[0] != '\0');
}

static void
parse_api_request (csp_api_t api, const char *text, size_t size_bytes)
{
  csp_error_t error = { 0 };
  csp_request_t *request = csp_parse_request (api, text, size_bytes, &error);
  uint64_t hash;
  uint32_t tokens;

  if (request == NULL)
    {
      ck_assert (error.detail[0] != '\0');
      ck_assert_int_eq (error.verdict, CSP_VERDICT_NOT_RUN);
      return;
    }
  csp_hash_request_prefix (request, &hash, &tokens);
  ck_assert_ptr_nonnull (csp_build_engine_body (request, "engine-model", 9));
  csp_destroy_request (request);
}

static void
parse_request (char *text, size_t size_bytes)
{
  parse_api_request (CSP_API_COMPLETIONS, text, size_bytes);
  parse_api_request (CSP_API_CHAT, text, size_bytes);
}

static void
parse_chunk (char *text, size_t size_bytes)
{
  csp_token_t token;
  csp_chunk_t *chunk = csp_parse_chunk (text, &token);

  if (chunk != NULL)
    ck_assert_uint_le (strlen (token.text) + strlen (token.generation),
                       size_bytes);
  csp_destroy_chunk (chunk);
}

static int
check_payload (void *state, char *payload, size_t size_bytes)
{
  size_t *max_payload_bytes = state;

  ck_assert_uint_eq (payload[size_bytes], '\0');
  if (size_bytes > *max_payload_bytes)
    *max_payload_bytes = size_bytes;
  return 0;
}

/* Feeds the stream in fragments of varying length, as a network delivers
   it.  */
static void
parse_event_stream (char *text, size_t size_bytes)
{
  csp_sse_reader_t *reader = csp_create_sse_reader (LINE_MAX_BYTES);
  size_t max_payload_bytes = 0;
  size_t at;
  size_t fragment;

  for (at = 0; at < size_bytes; at += fragment)
    {
      fragment = 1 + (unsigned char)text[at] % 40;
      if (fragment > size_bytes - at)
        fragment = size_bytes - at;
      if (csp_feed_sse (reader, text + at, fragment, check_payload,
                        &max_payload_bytes)
          != 0)
        csp_reset_sse_reader (reader);
    }
  ck_assert_uint_le (max_payload_bytes, LINE_MAX_BYTES);
  csp_destroy_sse_reader (reader);
}

static const struct
{
  const char *name;
  void (*parse) (char *text, size_t size_bytes);
  const char *text;
} parser_cases[] = {
  { "host list", parse_host_list,
    "{\"version\":9,\"hosts\":[{\"name\":\"h1\",\"region\":\"wales\","
    "\"data_centre\":\"cardiff\",\"address\":\"127.0.0.1\","
    "\"http_port\":8080,\"peer_port\":8081,\"state\":\"live\"}],"
    "\"targets\":[{\"name\":\"e1\",\"data_centre\":\"cardiff\","
    "\"address\":\"127.0.0.1\",\"port\":9000,\"kind\":\"engine\","
    "\"pool\":\"general\",\"state\":\"leaving\",\"checks_fence\":true}]}" },
  { "configuration, whole", parse_configuration,
    "{\"revision\":3,\"full\":true,\"values\":[{\"key\":\"route/m\","
    "\"revision\":2,\"value\":{\"pool\":\"p\\u00e9\"}}]}" },
  { "configuration, changes", parse_configuration,
    "{\"revision\":3,\"full\":false,\"values\":[{\"key\":\"a/b\","
    "\"revision\":2,\"value\":[1,2.5e3,null]},{\"key\":\"c/d\","
    "\"revision\":3,\"value\":null}]}" },
  { "completion", parse_request,
    "{\"model\":\"m\",\"prompt\":\"caf\\u00e9 \xc3\xa9\",\"stream\":true,"
    "\"max_tokens\":20,\"n\":1,\"stop\":[\"x\",{\"y\":[]}]}" },
  { "chat", parse_request,
    "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":"
    "[{\"type\":\"text\",\"text\":\"hello\"}]}],\"temperature\":0.5}" },
  { "chunk of a completion", parse_chunk,
    "{\"choices\":[{\"text\":\"w0 \",\"finish_reason\":\"stop\"}],"
    "\"token\":{\"generation\":\"g-1\",\"index\":7}}" },
  { "chunk of a chat", parse_chunk,
    "{\"choices\":[{\"delta\":{\"content\":\"w0 \"},"
    "\"finish_reason\":null}],\"token\":{\"generation\":\"g\","
    "\"index\":0}}" },
  { "events", parse_event_stream,
    ": a comment\n\ndata: {\"a\":1}\r\n\r\nevent: error\n"
    "data: {\"error\":{}}\n\ndata:no space\n\ndata: [DONE]\n\n" },
};

/* Fragments that often break parsers and that random bytes rarely form.  */
static const char *const hostile_fragments[] = { "\"",
                                                 "{",
                                                 "[",
                                                 "]",
                                                 "}",
                                                 "\\u0000",
                                                 "\\ud800",
                                                 "\xff",
                                                 "\xc0\x80",
                                                 "\xed\xa0\x80",
                                                 "-1",
                                                 "1e999",
                                                 "99999999999999999999",
                                                 "null",
                                                 "\n",
                                                 "\r\n\r\n",
                                                 "data: ",
                                                 "\\",
                                                 ",",
                                                 ":",
                                                 "true",
                                                 "0x10",
                                                 "NaN",
                                                 "/*",
                                                 "-0" };

static size_t
insert (char *text, size_t size_bytes, size_t at, const char *fragment,
        size_t fragment_bytes)
{
  memmove (text + at + fragment_bytes, text + at, size_bytes - at);
  memcpy (text + at, fragment, fragment_bytes);
  return size_bytes + fragment_bytes;
}

static size_t
mutate (csp_random_t *random, char *text, size_t size_bytes)
{
  uint32_t changes = 1 + csp_random_below (random, 4);
  const char *fragment;
  size_t at;
  size_t removed_bytes;

  while (changes-- > 0 && size_bytes > 1)
    {
      at = csp_random_below (random, (uint32_t)size_bytes);
      removed_bytes = csp_random_below (random, (uint32_t)(size_bytes - at));
      switch (csp_random_below (random, 5))
        {
        case 0:
          text[at] = (char)csp_random_below (random, 256);
          break;
        case 1:
          fragment = hostile_fragments[csp_random_below (
              random, sizeof hostile_fragments / sizeof *hostile_fragments)];
          size_bytes
              = insert (text, size_bytes, at, fragment, strlen (fragment));
          break;
        case 2:
          memmove (text + at, text + at + removed_bytes,
                   size_bytes - at - removed_bytes);
          size_bytes -= removed_bytes;
          break;
        case 3:
          text[at] ^= (char)(1 << csp_random_below (random, 8));
          break;
        default:
          size_bytes = at + 1;
          break;
        }
    }
  return size_bytes;
}

/* Parses a copy in its own allocation, so that the sanitizer detects a read
   past the end.  */
static void
parse_copy (int case_index, const char *text, size_t size_bytes)
{
  char *copy = malloc (size_bytes + 1);

  memcpy (copy, text, size_bytes);
  copy[size_bytes] = '\0';
  parser_cases[case_index].parse (copy, size_bytes);
  free (copy);
}

START_TEST (mutated_texts_cause_no_memory_error)
{
  csp_random_t random;
  char *text = malloc (BUFFER_BYTES);
  size_t size_bytes;
  int i;

  csp_seed_random (&random, SEED + (uint64_t)_i);
  for (i = 0; i < MUTATIONS_PER_CASE; i++)
    {
      size_bytes = strlen (parser_cases[_i].text);
      memcpy (text, parser_cases[_i].text, size_bytes);
      size_bytes = mutate (&random, text, size_bytes);
      parse_copy (_i, text, size_bytes);
    }
  free (text);
}
END_TEST

START_TEST (truncated_texts_cause_no_memory_error)
{
  size_t length;

  for (length = 0; length <= strlen (parser_cases[_i].text); length++)
    parse_copy (_i, parser_cases[_i].text, length);
}
END_TEST

/* A parser that recurses for each bracket without a limit would overflow the
   stack.  */
START_TEST (deep_nesting_is_handled)
{
  char *text = malloc (BUFFER_BYTES);
  int head = snprintf (text, BUFFER_BYTES, "{\"model\":\"m\",\"prompt\":");

  memset (text + head, '[', (size_t)(BUFFER_BYTES - head));
  text[BUFFER_BYTES - 1] = '\0';
  parse_copy (_i, text, BUFFER_BYTES - 1);
  free (text);
}
END_TEST

static const struct
{
  const char *name;
  const char *text;
  size_t size_bytes;
} invalid_requests[] = {
#define INVALID(WHAT, TEXT)                                                   \
  {                                                                           \
    WHAT, TEXT, sizeof TEXT - 1                                               \
  }
  INVALID ("a NUL byte", "{\"model\":\"m\",\"prompt\":\"x\0y\"}"),
  INVALID ("bytes after the document",
           "{\"model\":\"m\",\"prompt\":\"x\"} {}"),
  INVALID ("a NUL after the document", "{\"model\":\"m\",\"prompt\":\"x\"}\0"),
  INVALID ("bad UTF-8", "{\"model\":\"m\",\"prompt\":\"\xff\"}"),
  INVALID ("an overlong UTF-8 form",
           "{\"model\":\"m\",\"prompt\":\"\xc0\x80\"}"),
  INVALID ("a huge bound",
           "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":1e30}"),
  INVALID ("a bound over 64 bits", "{\"model\":\"m\",\"prompt\":\"x\","
                                   "\"max_tokens\":99999999999999999999}"),
  INVALID ("a negative bound",
           "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":-1}"),
  INVALID ("many answers", "{\"model\":\"m\",\"prompt\":\"x\",\"n\":2}"),
  INVALID ("a bound as a string",
           "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":\"9\"}"),
  INVALID ("two and a half answers",
           "{\"model\":\"m\",\"prompt\":\"x\",\"n\":1.5}"),
  INVALID ("the number of answers as a string",
           "{\"model\":\"m\",\"prompt\":\"x\",\"n\":\"1\"}"),
};

START_TEST (invalid_requests_are_refused)
{
  csp_error_t error;
  csp_request_t *request
      = csp_parse_request (CSP_API_COMPLETIONS, invalid_requests[_i].text,
                           invalid_requests[_i].size_bytes, &error);

  ck_assert_msg (request == NULL, "accepted: %s", invalid_requests[_i].name);
  ck_assert_int_eq (error.verdict, CSP_VERDICT_NOT_RUN);
  ck_assert_int_eq (error.reason, CSP_REASON_BAD_REQUEST);
}
END_TEST

static const struct
{
  const char *text;
  bool valid;
} encodings[] = {
  { "", true },
  { "plain", true },
  { "\x7f\xc2\x80\xdf\xbf", true },
  { "\xe0\xa0\x80\xed\x9f\xbf\xee\x80\x80\xef\xbf\xbf", true },
  { "\xf0\x90\x80\x80\xf4\x8f\xbf\xbf", true },
  { "\x80", false },
  { "\xc1\xbf", false },
  { "\xe0\x9f\xbf", false },
  { "\xed\xa0\x80", false },
  { "\xf0\x8f\xbf\xbf", false },
  { "\xf4\x90\x80\x80", false },
  { "\xf5\x80\x80\x80", false },
  { "\xc2", false },
  { "\xe1\x80", false },
  { "\xe1\x80x", false },
  { "\xf1\x80\x80", false },
};

START_TEST (utf8_is_validated)
{
  size_t size_bytes = strlen (encodings[_i].text);
  char *copy = malloc (size_bytes + 1);

  memcpy (copy, encodings[_i].text, size_bytes);
  copy = realloc (copy, size_bytes == 0 ? 1 : size_bytes);
  ck_assert_int_eq (csp_is_utf8 (copy, size_bytes), encodings[_i].valid);
  free (copy);
}
END_TEST

/* The name of a class is copied into errors and into the log.  */
START_TEST (class_names_with_other_characters_are_refused)
{
  static const char *const invalid_names[]
      = { "", "\xff", "a\nb", "a b", "\x1b[2J" };
  csp_request_header_fields_t fields = { .class_name = invalid_names[_i] };
  csp_request_options_t marks;
  csp_error_t error;

  ck_assert_int_eq (csp_parse_request_headers (&fields, &marks, &error), -1);
  fields.class_name = "bulletin-1";
  ck_assert_int_eq (csp_parse_request_headers (&fields, &marks, &error), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("hostile texts");
  TCase *tcase = tcase_create ("hostile texts");
  int case_count = sizeof parser_cases / sizeof *parser_cases;

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, mutated_texts_cause_no_memory_error, 0,
                       case_count);
  tcase_add_loop_test (tcase, truncated_texts_cause_no_memory_error, 0,
                       case_count);
  tcase_add_loop_test (tcase, deep_nesting_is_handled, 0, case_count);
  tcase_add_loop_test (tcase, invalid_requests_are_refused, 0,
                       sizeof invalid_requests / sizeof *invalid_requests);
  tcase_add_loop_test (tcase, utf8_is_validated, 0,
                       sizeof encodings / sizeof *encodings);
  tcase_add_loop_test (tcase, class_names_with_other_characters_are_refused, 0,
                       5);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
