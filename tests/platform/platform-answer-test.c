#include "cowslipspoke/platform.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define HOST(NAME, PORT, STATE)                                               \
  "{\"name\":\"" NAME "\",\"region\":\"wales\",\"data_centre\":\"cardiff\","  \
  "\"address\":\"127.0.0.1\",\"http_port\":8080,\"peer_port\":" PORT          \
  ",\"state\":\"" STATE "\"}"
#define TARGET(KIND, MORE)                                                    \
  "{\"name\":\"e1\",\"data_centre\":\"cardiff\",\"address\":\"127.0.0.1\","   \
  "\"port\":9000,\"kind\":\"" KIND "\",\"pool\":\"general\","                 \
  "\"state\":\"leaving\"" MORE "}"
#define LIST(HOSTS, TARGETS)                                                  \
  "{\"version\":9,\"hosts\":[" HOSTS "],\"targets\":[" TARGETS "]}"

typedef struct
{
  const char *text;
  /* A part of the error's detail; NULL where the text is valid.  */
  const char *expected_error;
} text_case_t;

static const text_case_t host_list_cases[] = {
  { LIST (HOST ("h1", "1", "live"),
          TARGET ("engine", ",\"checks_fence\":true")),
    NULL },
  { LIST ("", TARGET ("service", "")), NULL },
  { LIST ("", TARGET ("engine", "")), "targets[0].checks_fence is missing" },
  { LIST (HOST ("h1", "1", "live") "," HOST ("h1", "2", "live"), ""),
    "stands twice" },
  { LIST (HOST ("h1", "70000", "live"), ""), "hosts[0].peer_port" },
  { LIST (HOST ("h1", "\"1\"", "live"), ""), "hosts[0].peer_port" },
  { LIST (HOST ("h1", "1", "gone"), ""), "hosts[0].state" },
  { LIST (HOST ("", "1", "live"), ""), "hosts[0].name" },
  { LIST ("7", ""), "hosts[0].name" },
  { "{\"version\":9,\"hosts\":[]}", "targets" },
  { "{\"version\":-1,\"hosts\":[],\"targets\":[]}", "version" },
  { "{\"version\":9,\"hosts\":[", "cut short" },
  { LIST ("", "") " {}", "not one JSON object" },
  { "[]", "not one JSON object" },
  { "", "cut short" },
};

/* A list may arrive truncated, damaged or in a newer format.  If a part of it
   were used, the hosts and targets of the other part would be removed.  */
START_TEST (malformed_host_list_is_rejected)
{
  const text_case_t *row = &host_list_cases[_i];
  csp_host_list_t *list;
  csp_error_t error;

  if (row->expected_error == NULL)
    {
      ck_assert (
          csp_parse_host_list (row->text, strlen (row->text), &list, &error));
      ck_assert_int_eq (list->version, 9);
      ck_assert_int_eq (list->targets[0].state, CSP_MEMBER_LEAVING);
      csp_destroy_host_list (list);
      return;
    }
  ck_assert (
      !csp_parse_host_list (row->text, strlen (row->text), &list, &error));
  ck_assert_ptr_null (list);
  ck_assert_ptr_nonnull (strstr (error.detail, row->expected_error));
}
END_TEST

#define VALUES(REST) "{\"revision\":57,\"full\":false,\"values\":[" REST "]}"

static const text_case_t config_cases[] = {
  { VALUES ("{\"key\":\"rule/a\",\"revision\":57,\"value\":{\"b\": 1}},"
            "{\"key\":\"rule/b\",\"revision\":55,\"value\":null}"),
    NULL },
  { VALUES ("{\"key\":\"rule/a\",\"revision\":58,\"value\":1}"),
    "values[0].revision" },
  { VALUES ("{\"key\":\"rule/a\",\"revision\":57}"), "values[0].value" },
  { VALUES ("{\"key\":\"\",\"revision\":57,\"value\":1}"), "values[0].key" },
  { "{\"revision\":57,\"values\":[]}", "full" },
  { "{\"revision\":57,\"full\":true}", "values" },
  { "{\"full\":true,\"values\":[]}", "revision" },
};

START_TEST (malformed_configuration_is_rejected)
{
  const text_case_t *row = &config_cases[_i];
  csp_config_delta_t *delta;
  csp_error_t error;

  if (row->expected_error == NULL)
    {
      ck_assert (csp_parse_config_answer (row->text, strlen (row->text), 50,
                                          &delta, &error));
      ck_assert_int_eq (delta->base, 50);
      ck_assert_int_eq (delta->revision, 57);
      ck_assert_uint_eq (delta->value_count, 2);
      ck_assert_str_eq (delta->values[0].json, "{\"b\":1}");
      ck_assert_ptr_null (delta->values[1].json);
      csp_destroy_config_delta (delta);
      return;
    }
  ck_assert (!csp_parse_config_answer (row->text, strlen (row->text), 50,
                                       &delta, &error));
  ck_assert_ptr_null (delta);
  ck_assert_ptr_nonnull (strstr (error.detail, row->expected_error));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform answers");
  TCase *tcase = tcase_create ("platform answers");

  tcase_add_loop_test (tcase, malformed_host_list_is_rejected, 0,
                       sizeof host_list_cases / sizeof *host_list_cases);
  tcase_add_loop_test (tcase, malformed_configuration_is_rejected, 0,
                       sizeof config_cases / sizeof *config_cases);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
