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

/* A caller, an engine and the platform may each send a text that is damaged,
   cut or made to hurt.  A parser that trusts a part of it takes down the host
   and every stream on it.  Each good text is changed some thousand ways; under
   the sanitizers a read or write past its end stops the test.  */

enum
{
  SEED = 20261202,
  MUTANTS = 6000,
  ROOM_BYTES = 65536,
  LINE_LIMIT_BYTES = 256
};

static void
try_host_list (char *text, size_t size_bytes)
{
  csp_host_list_t *list = NULL;
  csp_error_t error = { 0 };

  if (csp_parse_host_list (text, size_bytes, &list, &error))
    csp_destroy_host_list (list);
  else
    ck_assert (error.detail[0] != '\0');
}

static void
try_config (char *text, size_t size_bytes)
{
  csp_config_delta_t *delta = NULL;
  csp_error_t error = { 0 };

  if (csp_parse_config_answer (text, size_bytes, 0, &delta, &error))
    csp_destroy_config_delta (delta);
  else
    ck_assert (error.detail[0] != '\0');
}

static void
try_api (csp_api_t api, const char *text, size_t size_bytes)
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
  csp_request_prefix (request, &hash, &tokens);
  ck_assert_ptr_nonnull (csp_request_engine_body (request, "engine-model", 9));
  csp_destroy_request (request);
}

static void
try_request (char *text, size_t size_bytes)
{
  try_api (CSP_API_COMPLETIONS, text, size_bytes);
  try_api (CSP_API_CHAT, text, size_bytes);
}

static void
try_chunk (char *text, size_t size_bytes)
{
  csp_token_t token;
  csp_chunk_t *chunk = csp_parse_chunk (text, &token);

  if (chunk != NULL)
    ck_assert_uint_le (strlen (token.text) + strlen (token.generation),
                       size_bytes);
  csp_destroy_chunk (chunk);
}

static int
take_payload (void *state, char *payload, size_t size_bytes)
{
  size_t *longest = state;

  ck_assert_uint_eq (payload[size_bytes], '\0');
  if (size_bytes > *longest)
    *longest = size_bytes;
  return 0;
}

/* Pieces of a stream are as long as the network makes them.  */
static void
try_events (char *text, size_t size_bytes)
{
  csp_sse_reader_t *reader = csp_create_sse_reader (LINE_LIMIT_BYTES);
  size_t longest = 0;
  size_t at;
  size_t piece;

  for (at = 0; at < size_bytes; at += piece)
    {
      piece = 1 + (unsigned char)text[at] % 40;
      if (piece > size_bytes - at)
        piece = size_bytes - at;
      if (csp_feed_sse (reader, text + at, piece, take_payload, &longest) != 0)
        csp_reset_sse_reader (reader);
    }
  ck_assert_uint_le (longest, LINE_LIMIT_BYTES);
  csp_destroy_sse_reader (reader);
}

static const struct
{
  const char *what;
  void (*try) (char *text, size_t size_bytes);
  const char *text;
} rows[] = {
  { "host list", try_host_list,
    "{\"version\":9,\"hosts\":[{\"name\":\"h1\",\"region\":\"wales\","
    "\"data_centre\":\"cardiff\",\"address\":\"127.0.0.1\","
    "\"http_port\":8080,\"peer_port\":8081,\"state\":\"live\"}],"
    "\"targets\":[{\"name\":\"e1\",\"data_centre\":\"cardiff\","
    "\"address\":\"127.0.0.1\",\"port\":9000,\"kind\":\"engine\","
    "\"pool\":\"general\",\"state\":\"leaving\",\"checks_fence\":true}]}" },
  { "configuration, whole", try_config,
    "{\"revision\":3,\"full\":true,\"values\":[{\"key\":\"route/m\","
    "\"revision\":2,\"value\":{\"pool\":\"p\\u00e9\"}}]}" },
  { "configuration, changes", try_config,
    "{\"revision\":3,\"full\":false,\"values\":[{\"key\":\"a/b\","
    "\"revision\":2,\"value\":[1,2.5e3,null]},{\"key\":\"c/d\","
    "\"revision\":3,\"value\":null}]}" },
  { "completion", try_request,
    "{\"model\":\"m\",\"prompt\":\"caf\\u00e9 \xc3\xa9\",\"stream\":true,"
    "\"max_tokens\":20,\"n\":1,\"stop\":[\"x\",{\"y\":[]}]}" },
  { "chat", try_request,
    "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":"
    "[{\"type\":\"text\",\"text\":\"hello\"}]}],\"temperature\":0.5}" },
  { "chunk of a completion", try_chunk,
    "{\"choices\":[{\"text\":\"w0 \",\"finish_reason\":\"stop\"}],"
    "\"token\":{\"generation\":\"g-1\",\"index\":7}}" },
  { "chunk of a chat", try_chunk,
    "{\"choices\":[{\"delta\":{\"content\":\"w0 \"},"
    "\"finish_reason\":null}],\"token\":{\"generation\":\"g\","
    "\"index\":0}}" },
  { "events", try_events,
    ": a comment\n\ndata: {\"a\":1}\r\n\r\nevent: error\n"
    "data: {\"error\":{}}\n\ndata:no space\n\ndata: [DONE]\n\n" },
};

/* What breaks parsers more often than chance finds it.  */
static const char *const nasty[] = { "\"",
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
insert (char *text, size_t size_bytes, size_t at, const char *piece,
        size_t piece_bytes)
{
  memmove (text + at + piece_bytes, text + at, size_bytes - at);
  memcpy (text + at, piece, piece_bytes);
  return size_bytes + piece_bytes;
}

static size_t
mutate (csp_random_t *random, char *text, size_t size_bytes)
{
  uint32_t changes = 1 + csp_random_below (random, 4);
  const char *piece;
  size_t at;
  size_t gone;

  while (changes-- > 0 && size_bytes > 1)
    {
      at = csp_random_below (random, (uint32_t)size_bytes);
      gone = csp_random_below (random, (uint32_t)(size_bytes - at));
      switch (csp_random_below (random, 5))
        {
        case 0:
          text[at] = (char)csp_random_below (random, 256);
          break;
        case 1:
          piece
              = nasty[csp_random_below (random, sizeof nasty / sizeof *nasty)];
          size_bytes = insert (text, size_bytes, at, piece, strlen (piece));
          break;
        case 2:
          memmove (text + at, text + at + gone, size_bytes - at - gone);
          size_bytes -= gone;
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

/* In its own allocation, so that the sanitizer sees a read past the end.  */
static void
try_copy (int row, const char *text, size_t size_bytes)
{
  char *copy = malloc (size_bytes + 1);

  memcpy (copy, text, size_bytes);
  copy[size_bytes] = '\0';
  rows[row].try (copy, size_bytes);
  free (copy);
}

START_TEST (mutated_texts_do_no_harm)
{
  csp_random_t random;
  char *text = malloc (ROOM_BYTES);
  size_t size_bytes;
  int i;

  csp_seed_random (&random, SEED + (uint64_t)_i);
  for (i = 0; i < MUTANTS; i++)
    {
      size_bytes = strlen (rows[_i].text);
      memcpy (text, rows[_i].text, size_bytes);
      size_bytes = mutate (&random, text, size_bytes);
      try_copy (_i, text, size_bytes);
    }
  free (text);
}
END_TEST

START_TEST (texts_cut_anywhere_do_no_harm)
{
  size_t cut;

  for (cut = 0; cut <= strlen (rows[_i].text); cut++)
    try_copy (_i, rows[_i].text, cut);
}
END_TEST

/* A parser that calls itself for each bracket runs out of stack.  */
START_TEST (deep_nesting_is_refused)
{
  char *text = malloc (ROOM_BYTES);
  int head = snprintf (text, ROOM_BYTES, "{\"model\":\"m\",\"prompt\":");

  memset (text + head, '[', (size_t)(ROOM_BYTES - head));
  text[ROOM_BYTES - 1] = '\0';
  try_copy (_i, text, ROOM_BYTES - 1);
  free (text);
}
END_TEST

static const struct
{
  const char *what;
  const char *text;
  size_t size_bytes;
} bad_requests[] = {
#define BAD(WHAT, TEXT)                                                       \
  {                                                                           \
    WHAT, TEXT, sizeof TEXT - 1                                               \
  }
  BAD ("a NUL byte", "{\"model\":\"m\",\"prompt\":\"x\0y\"}"),
  BAD ("bytes behind the document", "{\"model\":\"m\",\"prompt\":\"x\"} {}"),
  BAD ("a NUL behind the document", "{\"model\":\"m\",\"prompt\":\"x\"}\0"),
  BAD ("bad UTF-8", "{\"model\":\"m\",\"prompt\":\"\xff\"}"),
  BAD ("an overlong UTF-8 form", "{\"model\":\"m\",\"prompt\":\"\xc0\x80\"}"),
  BAD ("a huge bound",
       "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":1e30}"),
  BAD ("a bound over 64 bits", "{\"model\":\"m\",\"prompt\":\"x\","
                               "\"max_tokens\":99999999999999999999}"),
  BAD ("a negative bound",
       "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":-1}"),
  BAD ("many answers", "{\"model\":\"m\",\"prompt\":\"x\",\"n\":2}"),
  BAD ("a bound as a text",
       "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":\"9\"}"),
  BAD ("two and a half answers",
       "{\"model\":\"m\",\"prompt\":\"x\",\"n\":1.5}"),
  BAD ("the number of answers as a text",
       "{\"model\":\"m\",\"prompt\":\"x\",\"n\":\"1\"}"),
};

START_TEST (bad_requests_are_refused)
{
  csp_error_t error;
  csp_request_t *request
      = csp_parse_request (CSP_API_COMPLETIONS, bad_requests[_i].text,
                           bad_requests[_i].size_bytes, &error);

  ck_assert_msg (request == NULL, "taken: %s", bad_requests[_i].what);
  ck_assert_int_eq (error.verdict, CSP_VERDICT_NOT_RUN);
  ck_assert_int_eq (error.reason, CSP_REASON_BAD_REQUEST);
}
END_TEST

static const struct
{
  const char *text;
  bool good;
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

START_TEST (only_utf8_is_taken_for_it)
{
  size_t size_bytes = strlen (encodings[_i].text);
  char *copy = malloc (size_bytes + 1);

  memcpy (copy, encodings[_i].text, size_bytes);
  copy = realloc (copy, size_bytes == 0 ? 1 : size_bytes);
  ck_assert_int_eq (csp_is_utf8 (copy, size_bytes), encodings[_i].good);
  free (copy);
}
END_TEST

/* A class is repeated in an error and in the log.  */
START_TEST (class_names_are_plain)
{
  static const char *const bad[] = { "", "\xff", "a\nb", "a b", "\x1b[2J" };
  csp_request_marks_t fields = { .class_name = bad[_i] };
  csp_marks_t marks;
  csp_error_t error;

  ck_assert_int_eq (csp_read_marks (&fields, &marks, &error), -1);
  fields.class_name = "bulletin-1";
  ck_assert_int_eq (csp_read_marks (&fields, &marks, &error), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("hostile texts");
  TCase *tcase = tcase_create ("hostile texts");
  int row_count = sizeof rows / sizeof *rows;

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, mutated_texts_do_no_harm, 0, row_count);
  tcase_add_loop_test (tcase, texts_cut_anywhere_do_no_harm, 0, row_count);
  tcase_add_loop_test (tcase, deep_nesting_is_refused, 0, row_count);
  tcase_add_loop_test (tcase, bad_requests_are_refused, 0,
                       sizeof bad_requests / sizeof *bad_requests);
  tcase_add_loop_test (tcase, only_utf8_is_taken_for_it, 0,
                       sizeof encodings / sizeof *encodings);
  tcase_add_loop_test (tcase, class_names_are_plain, 0, 5);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
