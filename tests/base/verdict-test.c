#include "cowslipspoke/hash.h"
#include "cowslipspoke/verdict.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Callers branch on the codes, so each reason needs its own.  */
START_TEST (every_reason_has_its_own_code)
{
  int a;
  int b;

  for (a = 0; a < CSP_REASON_COUNT; a++)
    {
      ck_assert_ptr_nonnull (csp_reason_code (a));
      ck_assert_uint_ge (csp_reason_status (a), 200);
      for (b = 0; b < a; b++)
        ck_assert_str_ne (csp_reason_code (a), csp_reason_code (b));
    }
}
END_TEST

START_TEST (long_details_are_truncated)
{
  csp_error_t error;

  csp_set_error (&error, CSP_VERDICT_RAN, CSP_REASON_INTERNAL, 0, "%0500d", 7);
  ck_assert_uint_eq (strlen (error.detail), CSP_ERROR_DETAIL_BYTES - 1);
}
END_TEST

START_TEST (sha256_matches_the_standard)
{
  char hex[CSP_SHA256_HEX_BYTES];

  csp_hash_sha256_hex ("abc", 3, hex);
  ck_assert_str_eq (hex, "ba7816bf8f01cfea414140de5dae2223"
                         "b00361a396177a9cb410ff61f20015ad");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("base");
  TCase *tcase = tcase_create ("base");

  tcase_add_test (tcase, every_reason_has_its_own_code);
  tcase_add_test (tcase, long_details_are_truncated);
  tcase_add_test (tcase, sha256_matches_the_standard);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
