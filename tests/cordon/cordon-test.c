#include "cowslipspoke/cordon.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

static csp_cordons_t *cordons;

static void
set_up (void)
{
  cordons = csp_create_cordons ();
  ck_assert_ptr_nonnull (cordons);
}

static void
tear_down (void)
{
  csp_destroy_cordons (cordons);
}

#define NAME_63                                                               \
  "abcdefghijabcdefghijabcdefghijabcdefghijabcdefghijabcdefghijabc"

/* Commands of operators in order, with the result of each.  */
static const struct
{
  const char *data_centre;
  bool cordoned;
  csp_cordon_result_t result;
  size_t count;
} commands[] = {
  { "a", true, CSP_CORDON_CHANGED, 1 },
  { "a", true, CSP_CORDON_UNCHANGED, 1 },
  { "b", true, CSP_CORDON_CHANGED, 2 },
  { "", true, CSP_CORDON_INVALID_NAME, 2 },
  { NAME_63 "d", true, CSP_CORDON_INVALID_NAME, 2 },
  { NAME_63, true, CSP_CORDON_CHANGED, 3 },
  { "c", false, CSP_CORDON_UNCHANGED, 3 },
  { "a", false, CSP_CORDON_CHANGED, 2 },
  { "a", false, CSP_CORDON_UNCHANGED, 2 },
  { "b", false, CSP_CORDON_CHANGED, 1 },
  { "b", true, CSP_CORDON_CHANGED, 2 },
};

START_TEST (repeated_commands_change_nothing)
{
  size_t i;

  for (i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      ck_assert_int_eq (csp_set_cordon (cordons, commands[i].data_centre,
                                        commands[i].cordoned, (int64_t)i),
                        commands[i].result);
      ck_assert_uint_eq (csp_count_cordons (cordons), commands[i].count);
    }
  ck_assert_int_eq (csp_find_cordon (cordons, "b")->since_ms, 10);
  ck_assert_ptr_null (csp_find_cordon (cordons, "a"));
}
END_TEST

/* Guards against losing a real cordon when operators cordon a thousand names
   that don't exist: unknown names are kept as well.  */
START_TEST (a_thousand_names_are_kept)
{
  enum
  {
    MANY = 1000
  };
  char name[16];
  int i;

  for (i = 0; i < MANY; i++)
    {
      snprintf (name, sizeof name, "dc-%d", i);
      ck_assert_int_eq (csp_set_cordon (cordons, name, true, 0),
                        CSP_CORDON_CHANGED);
    }
  for (i = 0; i < MANY; i += 2)
    {
      snprintf (name, sizeof name, "dc-%d", i);
      ck_assert_int_eq (csp_set_cordon (cordons, name, false, 0),
                        CSP_CORDON_CHANGED);
    }
  ck_assert_uint_eq (csp_count_cordons (cordons), MANY / 2);
  for (i = 0; i < MANY; i++)
    {
      snprintf (name, sizeof name, "dc-%d", i);
      ck_assert_int_eq (csp_find_cordon (cordons, name) != NULL, i % 2 == 1);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("cordon");
  TCase *tcase = tcase_create ("cordon");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, repeated_commands_change_nothing);
  tcase_add_test (tcase, a_thousand_names_are_kept);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
