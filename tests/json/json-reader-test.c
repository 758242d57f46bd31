#include "cowslipspoke/json-reader.h"
#include "cowslipspoke/declaration.h"
#include "cowslipspoke/random.h"
#include "cowslipspoke/settings.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

enum
{
  TEXT_BYTES_MAX = 4096,
  SEEDS = 400,
  MAX_MUTATIONS = 4,
  NESTED_TEXT_BYTES = 200000,
  MANY_FAULTS = CSP_FAULTS_KEPT + 500
};

/* A text and a part of its fault; NULL where the text is valid.  */
typedef struct
{
  const char *text;
  const char *fault_text;
} case_t;

#define DEPTH_8 "[[[[[[[["
#define DEPTH_32 DEPTH_8 DEPTH_8 DEPTH_8 DEPTH_8
#define CLOSE_8 "]]]]]]]]"
#define CLOSE_32 CLOSE_8 CLOSE_8 CLOSE_8 CLOSE_8
#define KEY_64                                                                \
  "kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk"

static const case_t cases[] = {
  { "{}", NULL },
  { "// c\n[1, 2.5, true, null, \"\\u00e9\", {}] /* c */", NULL },
  { DEPTH_32 CLOSE_32, NULL },
  { DEPTH_32 "[" CLOSE_32 "]", "nested too deeply" },
  { "", "premature EOF" },
  { "  // only a comment", "premature EOF" },
  { "/* open", "premature EOF" },
  { "null", "null is not allowed here" },
  { "{\"a\":1", "premature EOF" },
  { "{\"a\":1} {}", "trailing garbage" },
  { "{\"a\":1,}", "parse error" },
  { "[1,]", "parse error" },
  { "{'a':1}", "lexical error" },
  { "{a:1}", "lexical error" },
  { "[NaN]", "lexical error" },
  { "[01]", "parse error" },
  { "[1e999]", "numeric (floating point) overflow" },
  { "[99999999999999999999]", "integer overflow" },
  { "[\"\\u0000\"]", "\\u0000" },
  { "{\"a\\u0000b\":1}", "\\u0000" },
  { "{\"" KEY_64 KEY_64 KEY_64 KEY_64 "\":1}", "shorter than 256" },
  { "{\"a\":1,\"b\":2,\"a\":3}", "stands twice" },
  { "{\"a\":1,\"\\u0061\":3}", "stands twice" },
  { "[\"\xff\"]", "invalid bytes in UTF8" },
  { "[\"\xc3\"]", "invalid bytes in UTF8" },
  { "[\"\xe2\x82\"]", "invalid bytes in UTF8" },
  { "[\"a\nb\"]", "invalid character inside string" },
  { "\xef\xbb\xbf{}", "lexical error" },
};

/* Guards against invalid JSON that is accepted with another meaning: a
   declaration reaches every host at once, so the error would change the whole
   fleet unnoticed.  */
START_TEST (invalid_json_is_refused)
{
  csp_faults_t *faults = csp_create_faults ();
  struct json_object *root
      = csp_read_json ("t", cases[_i].text, strlen (cases[_i].text), faults);

  csp_print_faults (faults, stdout);
  ck_assert_int_eq (root != NULL, cases[_i].fault_text == NULL);
  ck_assert_int_eq (csp_count_faults (faults) == 0,
                    cases[_i].fault_text == NULL);
  if (cases[_i].fault_text != NULL)
    ck_assert_ptr_nonnull (
        strstr (csp_get_fault (faults, 0)->text, cases[_i].fault_text));
  json_object_put (root);
  csp_destroy_faults (faults);
}
END_TEST

/* The fault of a truncated text names its last line.  Counting lines must not
   read beyond the end of the text, which is followed by a page without
   access.  */
START_TEST (truncated_json_is_reported_at_the_last_line)
{
  static const char text[] = "{\n\"a\": 1,\n\n";
  long page_bytes = sysconf (_SC_PAGESIZE);
  char *pages = mmap (NULL, 2 * (size_t)page_bytes, PROT_READ | PROT_WRITE,
                      MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  csp_faults_t *faults = csp_create_faults ();
  size_t size_bytes = sizeof text - 1;
  char *end = pages + page_bytes;

  ck_assert_int_eq (mprotect (end, (size_t)page_bytes, PROT_NONE), 0);
  memcpy (end - size_bytes, text, size_bytes);
  ck_assert_ptr_null (
      csp_read_json ("t", end - size_bytes, size_bytes, faults));
  ck_assert_int_eq (csp_get_fault (faults, 0)->line, 4);
  ck_assert_ptr_null (csp_read_json ("t", end, 0, faults));
  ck_assert_int_eq (csp_get_fault (faults, 1)->line, 1);
  munmap (pages, 2 * (size_t)page_bytes);
  csp_destroy_faults (faults);
}
END_TEST

/* A long text of opening brackets would exhaust the stack of a recursive
   parser and crash the host.  */
START_TEST (deep_nesting_does_not_exhaust_the_stack)
{
  char *text = malloc (NESTED_TEXT_BYTES);
  csp_faults_t *faults = csp_create_faults ();

  memset (text, '[', NESTED_TEXT_BYTES);
  ck_assert_ptr_null (csp_read_json ("t", text, NESTED_TEXT_BYTES, faults));
  ck_assert_uint_eq (csp_count_faults (faults), 1);
  free (text);
  csp_destroy_faults (faults);
}
END_TEST

START_TEST (faults_are_bounded_and_counted)
{
  char *text = NULL;
  size_t size_bytes = 0;
  FILE *stream = open_memstream (&text, &size_bytes);
  csp_faults_t *faults = csp_create_faults ();
  csp_settings_t settings;
  int i;

  fputs ("{\"http_port\":1", stream);
  for (i = 0; i < MANY_FAULTS; i++)
    fprintf (stream, ",\"k%d\":1", i);
  fputs ("}", stream);
  fclose (stream);
  csp_set_default_settings (&settings);
  ck_assert (!csp_parse_settings ("s", text, size_bytes, &settings, faults));
  ck_assert_uint_eq (csp_count_faults (faults), MANY_FAULTS);
  free (text);
  csp_destroy_faults (faults);
}
END_TEST

static const char *const seed_texts[] = {
  "{\"deployment\":\"d\",\"http_port\":80,\"log_level\":\"info\","
  "\"caller_tls\":{\"key_file\":\"k\"},\"max_streams\":5} // end",
  "{\"when\":{\"organisation\":[\"a\",\"b\"],\"load\":{\"min\":0.5,"
  "\"max\":1}},\"then\":{\"turn_away\":{\"reason\":\"\\u00e9\","
  "\"retry_after_ms\":5}}}",
  "{\"pool\":\"p\",\"classes\":{\"a\":{\"priority\":3},\"b\":{}},"
  "\"default_class\":\"a\",\"limits\":{\"max_waiting\":7}}",
  "{\"pool\":\"p\",\"calls\":[{\"method\":\"POST\",\"path\":\"/a\","
  "\"repeatable\":true}],\"path_prefix\":\"/x\"}",
  "{\"wanted\":{\"models\":{\"m\":{\"version\":\"1\"}},\"role\":\"mixed\"},"
  "\"engines\":{\"e\":{\"wanted\":{}}}}",
  "{\"key_sha256\":[\"" KEY_64 "\"],\"weight\":2}",
  "[\"a\",\"b\",\"c\"]",
};

static const char *const keys[]
    = { "organisation/a", "route/a",   "service/a",
        "rule/a",         "targets/a", "rule-order" };

enum
{
  SEED_TEXT_COUNT = sizeof seed_texts / sizeof seed_texts[0],
  KEY_COUNT = sizeof keys / sizeof keys[0]
};

/* Replaces a byte, removes a piece or duplicates a piece.  Returns the new
   size.  */
static size_t
mutate (csp_random_t *random, char text[TEXT_BYTES_MAX], size_t size_bytes)
{
  static const char bytes[] = "{}[]\",:/*\\0e-.tn\xff\xc3\x01 ";
  size_t position = csp_random_below (random, (uint32_t)size_bytes);
  size_t length = 1 + csp_random_below (random, 12);

  if (position + length > size_bytes)
    length = size_bytes - position;
  switch (csp_random_below (random, 3))
    {
    case 0:
      text[position] = bytes[csp_random_below (random, sizeof bytes)];
      return size_bytes;
    case 1:
      memmove (text + position, text + position + length,
               size_bytes - position - length);
      return size_bytes - length;
    default:
      memmove (text + position + length, text + position,
               size_bytes - position);
      return size_bytes + length;
    }
}

static void
parse_as_settings_and_declarations (const char *text, size_t size_bytes)
{
  csp_faults_t *faults = csp_create_faults ();
  csp_declared_value_t value = { NULL, text, size_bytes, NULL };
  csp_declaration_t *declaration;
  csp_settings_t settings;
  size_t count_before;
  size_t i;

  csp_set_default_settings (&settings);
  ck_assert_int_eq (
      csp_parse_settings ("s", text, size_bytes, &settings, faults),
      csp_count_faults (faults) == 0);
  for (i = 0; i < KEY_COUNT; i++)
    {
      count_before = csp_count_faults (faults);
      value.key = keys[i];
      declaration = csp_create_declaration (NULL, &value, 1, faults);
      ck_assert_int_eq (declaration != NULL,
                        csp_count_faults (faults) == count_before);
      csp_destroy_declaration (declaration);
    }
  csp_destroy_faults (faults);
}

/* Texts are truncated or corrupted in transit.  Any such text must be either
   accepted without a fault or refused with one, and must never crash the
   host.  */
START_TEST (mutated_texts_are_accepted_or_refused)
{
  char *text = malloc (TEXT_BYTES_MAX);
  csp_random_t random;
  size_t size_bytes;
  uint32_t mutations;
  char *exact_copy;
  int seed;

  for (seed = 0; seed < SEEDS; seed++)
    {
      csp_seed_random (&random, (uint64_t)seed * SEEDS + (uint64_t)_i);
      size_bytes = strlen (seed_texts[_i]);
      memcpy (text, seed_texts[_i], size_bytes);
      mutations = csp_random_below (&random, MAX_MUTATIONS);
      for (; mutations > 0 && size_bytes > 1; mutations--)
        size_bytes = mutate (&random, text, size_bytes);
      /* A copy of the exact size, so that a sanitizer detects a read beyond
         its end.  */
      exact_copy = malloc (size_bytes);
      memcpy (exact_copy, text, size_bytes);
      parse_as_settings_and_declarations (exact_copy, size_bytes);
      free (exact_copy);
    }
  free (text);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("json-reader");
  TCase *tcase = tcase_create ("json-reader");

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, invalid_json_is_refused, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, truncated_json_is_reported_at_the_last_line);
  tcase_add_test (tcase, deep_nesting_does_not_exhaust_the_stack);
  tcase_add_test (tcase, faults_are_bounded_and_counted);
  tcase_add_loop_test (tcase, mutated_texts_are_accepted_or_refused, 0,
                       SEED_TEXT_COUNT);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
