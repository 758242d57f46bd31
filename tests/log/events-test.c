#include "cowslipspoke/log.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LINE_BYTES = 512,
  NAME_BYTES = 64
};

static const char *const levels[] = { "debug", "info", "warning", "error" };

/* Operators look up events by number in docs/EVENTS.md; a row that the code
   lacks or names differently would mislead them.  */
START_TEST (events_page_matches_the_event_table)
{
  FILE *page = fopen ("docs/EVENTS.md", "r");
  char line[LINE_BYTES];
  char name[NAME_BYTES];
  char level[NAME_BYTES];
  const csp_event_row_t *row;
  uint32_t count;
  uint32_t listed = 0;
  int number;

  ck_assert_ptr_nonnull (page);
  while (fgets (line, sizeof line, page) != NULL)
    {
      if (sscanf (line, "| %d | %63s | %63s |", &number, name, level) != 3)
        continue;
      row = csp_find_event ((csp_event_t)number);
      ck_assert_msg (row != NULL, "no event %d in the code", number);
      ck_assert_str_eq (row->name, name);
      ck_assert_str_eq (levels[row->level], level);
      listed++;
    }
  fclose (page);
  csp_list_events (&count);
  ck_assert_uint_eq (listed, count);
}
END_TEST

START_TEST (event_numbers_and_names_are_unique)
{
  uint32_t count;
  const csp_event_row_t *rows = csp_list_events (&count);
  uint32_t a;
  uint32_t b;

  for (a = 0; a < count; a++)
    for (b = 0; b < a; b++)
      {
        ck_assert_int_gt (rows[a].event, rows[b].event);
        ck_assert_str_ne (rows[a].name, rows[b].name);
      }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("log");
  TCase *tcase = tcase_create ("log");

  tcase_add_test (tcase, events_page_matches_the_event_table);
  tcase_add_test (tcase, event_numbers_and_names_are_unique);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
