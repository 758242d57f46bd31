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
  CHANGES_MAX = 4,
  DEEP = 200000,
  MANY_FAULTS = CSP_FAULTS_KEPT + 500
};

/* A text and what its fault says; NULL where it is good.  */
typedef struct
{
  const char *text;
  const char *says;
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

/* What people or a broken generator write reaches every host at once; a text
   that is read as something else than it says changes the fleet unseen.  */
START_TEST (odd_texts_are_refused)
{
  csp_faults_t *faults = csp_create_faults ();
  struct json_object *root
      = csp_read_json ("t", cases[_i].text, strlen (cases[_i].text), faults);

  csp_print_faults (faults, stdout);
  ck_assert_int_eq (root != NULL, cases[_i].says == NULL);
  ck_assert_int_eq (csp_count_faults (faults) == 0, cases[_i].says == NULL);
  if (cases[_i].says != NULL)
    ck_assert_ptr_nonnull (
        strstr (csp_get_fault (faults, 0)->text, cases[_i].says));
  json_object_put (root);
  csp_destroy_faults (faults);
}
END_TEST

/* The fault of a text that ends too early stands at its last line, and looking
   for it must not read beyond the end: here that is a page without access.  */
START_TEST (early_ends_are_found_at_the_last_line)
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

/* A text of open brackets makes a parser that calls itself run out of stack,
   and the host is gone.  */
START_TEST (deep_texts_cost_no_stack)
{
  char *text = malloc (DEEP);
  csp_faults_t *faults = csp_create_faults ();

  memset (text, '[', DEEP);
  ck_assert_ptr_null (csp_read_json ("t", text, DEEP, faults));
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
  csp_default_settings (&settings);
  ck_assert (!csp_parse_settings ("s", text, size_bytes, &settings, faults));
  ck_assert_uint_eq (csp_count_faults (faults), MANY_FAULTS);
  free (text);
  csp_destroy_faults (faults);
}
END_TEST

static const char *const seeds_texts[] = {
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
  TEXT_COUNT = sizeof seeds_texts / sizeof seeds_texts[0],
  KEY_COUNT = sizeof keys / sizeof keys[0]
};

/* One change: a byte, a piece taken out, or a piece doubled.  */
static size_t
change (csp_random_t *random, char text[TEXT_BYTES_MAX], size_t size_bytes)
{
  static const char bytes[] = "{}[]\",:/*\\0e-.tn\xff\xc3\x01 ";
  size_t at = csp_random_below (random, (uint32_t)size_bytes);
  size_t length = 1 + csp_random_below (random, 12);

  if (at + length > size_bytes)
    length = size_bytes - at;
  switch (csp_random_below (random, 3))
    {
    case 0:
      text[at] = bytes[csp_random_below (random, sizeof bytes)];
      return size_bytes;
    case 1:
      memmove (text + at, text + at + length, size_bytes - at - length);
      return size_bytes - length;
    default:
      memmove (text + at + length, text + at, size_bytes - at);
      return size_bytes + length;
    }
}

static void
try_text (const char *text, size_t size_bytes)
{
  csp_faults_t *faults = csp_create_faults ();
  csp_declared_value_t value = { NULL, text, size_bytes, NULL };
  csp_declaration_t *declaration;
  csp_settings_t settings;
  size_t before;
  size_t i;

  csp_default_settings (&settings);
  ck_assert_int_eq (
      csp_parse_settings ("s", text, size_bytes, &settings, faults),
      csp_count_faults (faults) == 0);
  for (i = 0; i < KEY_COUNT; i++)
    {
      before = csp_count_faults (faults);
      value.key = keys[i];
      declaration = csp_create_declaration (NULL, &value, 1, faults);
      ck_assert_int_eq (declaration != NULL,
                        csp_count_faults (faults) == before);
      csp_destroy_declaration (declaration);
    }
  csp_destroy_faults (faults);
}

/* A text is cut, doubled or garbled on its way.  Whatever comes out is either
   taken without a fault or refused with one, and never ends the host.  */
START_TEST (garbled_texts_are_taken_or_refused)
{
  char *text = malloc (TEXT_BYTES_MAX);
  csp_random_t random;
  size_t size_bytes;
  uint32_t changes;
  char *exact;
  int seed;

  for (seed = 0; seed < SEEDS; seed++)
    {
      csp_seed_random (&random, (uint64_t)seed * SEEDS + (uint64_t)_i);
      size_bytes = strlen (seeds_texts[_i]);
      memcpy (text, seeds_texts[_i], size_bytes);
      changes = csp_random_below (&random, CHANGES_MAX);
      for (; changes > 0 && size_bytes > 1; changes--)
        size_bytes = change (&random, text, size_bytes);
      /* Of its exact size, so that a byte read beyond it is noticed.  */
      exact = malloc (size_bytes);
      memcpy (exact, text, size_bytes);
      try_text (exact, size_bytes);
      free (exact);
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
  tcase_add_loop_test (tcase, odd_texts_are_refused, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, early_ends_are_found_at_the_last_line);
  tcase_add_test (tcase, deep_texts_cost_no_stack);
  tcase_add_test (tcase, faults_are_bounded_and_counted);
  tcase_add_loop_test (tcase, garbled_texts_are_taken_or_refused, 0,
                       TEXT_COUNT);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
