#include "cowslipspoke/prompt-parts.h"

#include "support/run-suite.h"

#include <check.h>

enum
{
  SERVICE = 7
};

static const struct
{
  const char *text;
  const char *formatted; /* of the parts that are shared */
} cases[] = {
  { NULL, "" },
  { "", "" },
  { "5c1e07a2:800", "" },
  { "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "5c1e07a2,91bd3f06" },
  { "A:1, b:2 ,c:3", "0000000a,0000000b" },
  { "a,b", "0000000a" },
  { "a:x,b:,c", "0000000a,0000000b" },
  { ",:5,,zz:1,9:1,", "00000009" },
  { "123456789abcdef0:1,1:1", "88888888" },
  { "1:1,2:1,3:1,4:1,5:1,6:1,7:1,8:1,9:1,a:1,b:1,c:1",
    "00000001,00000002,00000003,00000004,00000005,00000006,00000007,00000008,"
    "00000009,0000000a" },
};

/* Guards against requests whose parts are read in two ways, and against texts
   of callers that overrun a table.  */
START_TEST (shared_parts_are_read_in_order)
{
  csp_prompt_parts_t parts;
  char text[CSP_PROMPT_PARTS_TEXT_BYTES];
  size_t i;

  csp_read_prompt_parts (cases[_i].text, SERVICE, &parts);
  csp_format_prompt_parts (&parts, text);
  ck_assert_str_eq (text, cases[_i].formatted);
  for (i = 0; i < parts.count; i++)
    ck_assert_uint_eq (parts.parts[i] >> 32, SERVICE);
}
END_TEST

START_TEST (many_parts_are_cut_off)
{
  char text[400] = "";
  csp_prompt_parts_t parts;
  size_t i;

  for (i = 0; i < sizeof text / 2 - 1; i++)
    {
      text[2 * i] = '1';
      text[2 * i + 1] = ',';
    }
  csp_read_prompt_parts (text, SERVICE, &parts);
  ck_assert_uint_eq (parts.count, CSP_PROMPT_PARTS_MAX);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("prompt parts");
  TCase *tcase = tcase_create ("parts");

  tcase_add_loop_test (tcase, shared_parts_are_read_in_order, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, many_parts_are_cut_off);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
