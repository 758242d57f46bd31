#include "cowslipspoke/once.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>

/* Two organisations may choose the same key text.  If their keys were shared,
   the second organisation's call would never run.  */
START_TEST (same_key_of_two_organisations_differs)
{
  static const char text[] = "018f0000-0000-7000-8000-00000000000A";
  static const char lower[] = "018f0000-0000-7000-8000-00000000000a";
  csp_once_key_t first;
  csp_once_key_t second;
  csp_once_key_t same;
  csp_error_t error;

  ck_assert (csp_parse_once_key ("pwani", text, &first, &error));
  ck_assert (csp_parse_once_key ("llanfair", text, &second, &error));
  ck_assert (csp_parse_once_key ("pwani", lower, &same, &error));
  ck_assert_mem_ne (first.digest, second.digest, sizeof first.digest);
  ck_assert_mem_eq (first.digest, same.digest, sizeof first.digest);
  ck_assert_int_eq (first.date_ms, 0x018f00000000);
}
END_TEST

/* A key without a date can't be distinguished from a key that was removed, so
   accepting it would let a late repeat run again.  */
START_TEST (keys_without_a_date_are_refused)
{
  static const char *const texts[]
      = { "",
          "7",
          "h:a:1~7",
          "h:a:1:x~7",
          "h:a:1:5~",
          "h::1:5~7",
          "d:5~7",
          "d:cardiff:-5~7",
          "d:c:5",
          "h:a:xyz:5~7",
          "d:c: 5~7",
          "d:c:99999999999999999999~7",
          "018f0000-0000-4000-8000-000000000000" };
  csp_once_key_t key;
  csp_error_t error;

  ck_assert_msg (!csp_parse_once_key ("org", texts[_i], &key, &error), "%s",
                 texts[_i]);
  ck_assert_int_eq (error.verdict, CSP_VERDICT_NOT_RUN);
}
END_TEST

/* A repeat arrives when the key store is full or the key has been removed
   after retention_ms.  If the host treated the key as new, the call would run
   a second time.  */
START_TEST (removed_key_is_refused)
{
  csp_once_settings_t settings = csp_default_once_settings ();
  csp_host_ref_t self = { "a", 1 };
  csp_claim_ask_t ask = { 0 };
  csp_claim_answer_t answer;
  csp_error_t error;
  csp_once_key_store_t *store;

  settings.organisation_capacity = 1;
  store = csp_create_once_key_store (&settings, &self, 0);
  ck_assert (csp_parse_once_key ("org", "d:c:5000~1", &ask.key, &error));
  ask.claim.low = 1;
  csp_claim_key (store, &ask, 0, 5000, &answer);
  ck_assert_int_eq (answer.result, CSP_CLAIM_RECORDED);
  ck_assert (csp_parse_once_key ("org", "d:c:5000~2", &ask.key, &error));
  csp_claim_key (store, &ask, 0, 5000, &answer);
  ck_assert_int_eq (answer.result, CSP_CLAIM_FULL);
  ck_assert (csp_parse_once_key ("other", "d:c:5000~2", &ask.key, &error));
  csp_claim_key (store, &ask, 0, 5000, &answer);
  ck_assert_int_eq (answer.result, CSP_CLAIM_RECORDED);
  ck_assert_uint_eq (csp_expire_keys (store, settings.retention_ms), 2);
  ck_assert (csp_parse_once_key ("org", "d:c:5000~1", &ask.key, &error));
  csp_claim_key (store, &ask, settings.retention_ms, 5000, &answer);
  ck_assert_int_eq (answer.result, CSP_CLAIM_EXPIRED);
  csp_destroy_once_key_store (store);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("once-key");
  TCase *tcase = tcase_create ("once-key");

  tcase_add_test (tcase, same_key_of_two_organisations_differs);
  tcase_add_loop_test (tcase, keys_without_a_date_are_refused, 0, 13);
  tcase_add_test (tcase, removed_key_is_refused);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
