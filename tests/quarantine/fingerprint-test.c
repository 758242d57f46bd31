#include "cowslipspoke/fingerprint.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const csp_request_identity_t request = { .method = "POST",
                                                .host = "h",
                                                .target = "/a/b",
                                                .organisation = "org-a",
                                                .body = "text",
                                                .body_bytes = 4 };

START_TEST (a_retried_request_has_the_same_fingerprint)
{
  csp_request_identity_t retried = request;
  char body[] = "text";

  retried.body = body;
  ck_assert_uint_eq (csp_fingerprint_request (&request),
                     csp_fingerprint_request (&retried));
}
END_TEST

static const struct
{
  const char *name;
  csp_request_identity_t identity;
} different[] = {
  { "method", { "GET", "h", "/a/b", "org-a", "text", 4 } },
  { "host", { "POST", "g", "/a/b", "org-a", "text", 4 } },
  { "target", { "POST", "h", "/a/b?c", "org-a", "text", 4 } },
  { "organisation", { "POST", "h", "/a/b", "org-b", "text", 4 } },
  { "no organisation", { "POST", "h", "/a/b", NULL, "text", 4 } },
  { "body", { "POST", "h", "/a/b", "org-a", "tent", 4 } },
  { "shorter body", { "POST", "h", "/a/b", "org-a", "tex", 3 } },
  { "text that moved to the next field",
    { "POST", "h/", "a/b", "org-a", "text", 4 } },
};

/* Guards against quarantining one caller's request because of another's.  */
START_TEST (different_requests_have_different_fingerprints)
{
  ck_assert_msg (csp_fingerprint_request (&request)
                     != csp_fingerprint_request (&different[_i].identity),
                 "%s", different[_i].name);
}
END_TEST

/* Long bodies are forwarded in pieces of any size, so the fingerprint must
   not depend on how much of the body has arrived.  */
START_TEST (only_the_prefix_of_a_long_body_is_hashed)
{
  size_t long_bytes = CSP_FINGERPRINT_BODY_BYTES + 1000;
  char *body = calloc (1, long_bytes);
  csp_request_identity_t shorter = request;
  csp_request_identity_t longer = request;

  shorter.body = longer.body = body;
  shorter.body_bytes = CSP_FINGERPRINT_BODY_BYTES;
  longer.body_bytes = long_bytes;
  ck_assert_uint_eq (csp_fingerprint_request (&shorter),
                     csp_fingerprint_request (&longer));
  free (body);
}
END_TEST

START_TEST (a_fingerprint_is_printed_as_sixteen_digits)
{
  char text[CSP_FINGERPRINT_TEXT_BYTES];

  csp_print_fingerprint (0xab, text);
  ck_assert_str_eq (text, "00000000000000ab");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fingerprint");
  TCase *tests = tcase_create ("fingerprint");

  tcase_add_test (tests, a_retried_request_has_the_same_fingerprint);
  tcase_add_loop_test (tests, different_requests_have_different_fingerprints,
                       0, sizeof different / sizeof different[0]);
  tcase_add_test (tests, only_the_prefix_of_a_long_body_is_hashed);
  tcase_add_test (tests, a_fingerprint_is_printed_as_sixteen_digits);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
