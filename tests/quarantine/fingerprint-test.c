#include "cowslipspoke/fingerprint.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const csp_request_identity_t same = { .method = "POST",
                                             .host = "h",
                                             .target = "/a/b",
                                             .organisation = "org-a",
                                             .body = "text",
                                             .body_bytes = 4 };

START_TEST (a_request_sent_again_has_the_same_fingerprint)
{
  csp_request_identity_t again = same;
  char body[] = "text";

  again.body = body;
  ck_assert_uint_eq (csp_fingerprint_request (&same),
                     csp_fingerprint_request (&again));
}
END_TEST

static const struct
{
  const char *name;
  csp_request_identity_t other;
} others[] = {
  { "method", { "GET", "h", "/a/b", "org-a", "text", 4 } },
  { "host", { "POST", "g", "/a/b", "org-a", "text", 4 } },
  { "target", { "POST", "h", "/a/b?c", "org-a", "text", 4 } },
  { "organisation", { "POST", "h", "/a/b", "org-b", "text", 4 } },
  { "no organisation", { "POST", "h", "/a/b", NULL, "text", 4 } },
  { "body", { "POST", "h", "/a/b", "org-a", "tent", 4 } },
  { "shorter body", { "POST", "h", "/a/b", "org-a", "tex", 3 } },
  { "text that moved to its neighbour",
    { "POST", "h/", "a/b", "org-a", "text", 4 } },
};

/* One caller's request would stand for another's.  */
START_TEST (requests_that_differ_have_other_fingerprints)
{
  ck_assert_msg (csp_fingerprint_request (&same)
                     != csp_fingerprint_request (&others[_i].other),
                 "%s", others[_i].name);
}
END_TEST

/* A long body is passed on as it comes, and its pieces end anywhere.  */
START_TEST (only_the_first_bytes_of_a_long_body_count)
{
  size_t room_bytes = CSP_FINGERPRINT_BODY_BYTES + 1000;
  char *body = calloc (1, room_bytes);
  csp_request_identity_t shorter = same;
  csp_request_identity_t longer = same;

  shorter.body = longer.body = body;
  shorter.body_bytes = CSP_FINGERPRINT_BODY_BYTES;
  longer.body_bytes = room_bytes;
  ck_assert_uint_eq (csp_fingerprint_request (&shorter),
                     csp_fingerprint_request (&longer));
  free (body);
}
END_TEST

START_TEST (a_fingerprint_is_shown_by_sixteen_digits)
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

  tcase_add_test (tests, a_request_sent_again_has_the_same_fingerprint);
  tcase_add_loop_test (tests, requests_that_differ_have_other_fingerprints, 0,
                       sizeof others / sizeof others[0]);
  tcase_add_test (tests, only_the_first_bytes_of_a_long_body_count);
  tcase_add_test (tests, a_fingerprint_is_shown_by_sixteen_digits);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
