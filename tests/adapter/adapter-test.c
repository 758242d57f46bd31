#include "platform.h"

#include <arpa/inet.h>
#include "support/run-suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Tests of the adapter with texts in the platform's own format.  */

#define CONFIG(version, kind, extra)                                          \
  "{\"version\":" version ",\"routes\":[{\"name\":\"r\",\"host\":\"h\","      \
  "\"path_prefix\":\"/p/\",\"route_kind\":\"" kind "\",\"timeout_ms\":1200,"  \
  "\"slo_ms\":150,\"priority\":2,\"max_attempts\":2,\"public\":false,"        \
  "\"gap_target_ms\":180," extra "}],"                                        \
  "\"services\":[{\"name\":\"e\",\"max_conns\":252,\"cold_s\":1.5,"           \
  "\"cold_per_s\":35.0,\"engine\":{"                                          \
  "\"kv_capacity\":34288,\"kv_bytes\":131072,\"link_mbps\":19000.0,"          \
  "\"moves\":true,\"backups\":true}},{\"name\":\"p\",\"max_conns\":110}],"    \
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"        \
  "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"                    \
  "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"],"                \
  "\"priority\":1}]}"

START_TEST (configuration_is_decoded)
{
  const char *fault = NULL;
  csp_routes_t *routes = csp_decode_configuration (
      CONFIG ("7", "streaming", "\"service\":\"e\""), &fault);
  const csp_route_service_t *service;
  const csp_gateway_route_t *route;

  ck_assert_msg (routes != NULL, "%s", fault);
  ck_assert_uint_eq (csp_routes_version (routes), 7);
  ck_assert_uint_eq (csp_routes_limits (routes)->head_max_bytes, 16384);
  ck_assert_uint_eq (csp_routes_limits (routes)->idle_timeout_ms, 15000);
  route = csp_match_route (routes, "h", "/p/x");
  ck_assert_ptr_nonnull (route);
  ck_assert_int_eq (route->kind, CSP_ROUTE_STREAM);
  ck_assert_uint_eq (route->timeout_ms, 1200);
  ck_assert_uint_eq (route->objective_ms, 150);
  ck_assert_uint_eq (route->attempts_max, 2);
  ck_assert_uint_eq (route->urgency, 2);
  ck_assert_uint_eq (route->longest_gap_ms, 180);
  ck_assert_str_eq (route->shares[0].service, "e");
  ck_assert_int_eq (csp_find_key_owner (routes, "k2")->urgency, 1);
  service = csp_find_route_service (routes, "e");
  ck_assert (service->is_engine && service->supports_kv_backups
             && service->supports_kv_moves);
  ck_assert_uint_eq (service->memory_tokens, 34288);
  ck_assert_double_eq_tol (service->copy_ms_per_token, 0.0552, 0.0001);
  ck_assert_uint_eq (service->cold_ms, 1500);
  ck_assert_double_eq (service->cold_rate_per_s, 35);
  service = csp_find_route_service (routes, "p");
  ck_assert (!service->is_engine && service->cold_rate_per_s <= 0);
  csp_release_routes (routes);
}
END_TEST

/* Guards against a stream that is sent again although the operator did not
   allow it: only true, as a boolean, allows it.  */
static const struct
{
  const char *member;
  bool resumable;
} resumable_rows[]
    = { { "\"resumable\":true", true },   { "\"resumable\":false", false },
        { "\"other\":true", false },      { "\"resumable\":\"true\"", false },
        { "\"resumable\":1", false },     { "\"resumable\":null", false },
        { "\"resumable\":[true]", false } };

START_TEST (resumable_is_decoded)
{
  const char *fault = NULL;
  char text[2000];
  csp_routes_t *routes;

  snprintf (text, sizeof text,
            CONFIG ("7", "streaming", "%s,\"service\":\"e\""),
            resumable_rows[_i].member);
  routes = csp_decode_configuration (text, &fault);
  ck_assert_msg (routes != NULL, "%s", fault);
  ck_assert_int_eq (csp_match_route (routes, "h", "/p/x")->resumable,
                    resumable_rows[_i].resumable);
  csp_release_routes (routes);
}
END_TEST

START_TEST (split_route_is_decoded_with_its_weights)
{
  const char *fault = NULL;
  csp_routes_t *routes = csp_decode_configuration (
      CONFIG ("7", "safe",
              "\"backends\":[{\"service\":\"e\",\"weight\":90},"
              "{\"service\":\"p\",\"weight\":10}]"),
      &fault);
  const csp_gateway_route_t *route;

  ck_assert_msg (routes != NULL, "%s", fault);
  route = csp_match_route (routes, "h", "/p/");
  ck_assert_int_eq (route->kind, CSP_ROUTE_IDEMPOTENT);
  ck_assert_uint_eq (route->share_count, 2);
  ck_assert_str_eq (route->shares[1].service, "p");
  ck_assert_uint_eq (route->shares[1].weight, 10);
  csp_release_routes (routes);
}
END_TEST

/* Invalid configurations are refused with a description of the fault.  */
static const char *const invalid_configs[]
    = { "",
        "{",
        "[]",
        "{}",
        "{\"version\":\"7\"}",
        CONFIG ("0", "safe", "\"service\":\"e\""),
        CONFIG ("7", "other", "\"service\":\"e\""),
        CONFIG ("7", "safe", "\"service\":4"),
        CONFIG ("7", "safe", "\"backends\":[{\"weight\":1}]"),
        "{\"version\":7,\"routes\":[{\"name\":\"r\"}]}",
        "{\"version\":7,\"services\":[4]}",
        "{\"version\":7,\"tenants\":[{\"api_keys\":[]}]}",
        "{\"version\":7,\"tenants\":[{\"name\":\"t\",\"api_keys\":[4]}]}" };

START_TEST (invalid_configuration_is_refused)
{
  const char *fault = NULL;

  ck_assert_ptr_null (csp_decode_configuration (invalid_configs[_i], &fault));
  ck_assert_ptr_nonnull (fault);
}
END_TEST

#define ENTRY(more)                                                           \
  "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\"," more "}"

static const struct
{
  const char *json;
  bool valid;
  bool leaving;
} server_cases[] = {
  { "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\","
    "\"slots\":24,\"state\":\"ready\",\"cold_left_ms\":30,\"seq\":4}",
    true, false },
  { "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\","
    "\"slots\":24,\"state\":\"draining\",\"new\":{}}",
    true, true },
  { "{\"service\":\"s\",\"address\":\"10.128.0.9\",\"zone\":\"z\","
    "\"state\":\"ready\"}",
    false, false },
  { "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\"}", false, false },
  { "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\"}",
    false, false },
  { "no json", false, false },
  { ENTRY ("\"slots\":24,\"state\":\"ready\",\"born\":1784969129013"), true,
    false },
  { ENTRY ("\"state\":\"ready\",\"born\":\"1784969129013\""), false, false },
  { ENTRY ("\"state\":\"ready\",\"born\":-4"), false, false },
  { ENTRY ("\"state\":\"ready\",\"born\":1784969129013.5"), false, false },
  { ENTRY ("\"state\":\"ready\",\"born\":null"), false, false },
  { ENTRY ("\"state\":\"retired\""), false, false },
  { ENTRY ("\"state\":7"), false, false },
  { ENTRY ("\"state\":\"ready\",\"slots\":\"24\""), false, false },
  { ENTRY ("\"state\":\"ready\",\"slots\":-1"), false, false },
  { ENTRY ("\"state\":\"ready\",\"slots\":1e30"), false, false },
  { ENTRY ("\"state\":\"ready\",\"cold_left_ms\":[]"), false, false },
  { ENTRY ("\"state\":\"ready\",\"version\":\"\xff\xfe\""), false, false },
  { ENTRY ("\"state\":\"ready\"") "{}", false, false },
  { "{\"service\":[\"s\"],\"address\":\"10.128.0.9:8080\",\"zone\":\"z\","
    "\"state\":\"ready\"}",
    false, false },
  { "{\"service\":\"s\",\"address\":\"10.128.0.9:0\",\"zone\":\"z\","
    "\"state\":\"ready\"}",
    false, false },
  { "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[", false,
    false },
  { "[]", false, false },
  { "null", false, false },
  { "\"ready\"", false, false },
  { "", false, false },
};

/* A foreign writer leaves an entry among the servers, or a server's entry is
   truncated.  If a part of it were used, requests would go to an address at
   which nothing answers, and their callers would wait for the connection
   timeout.  */
START_TEST (server_entry_is_decoded_or_rejected)
{
  csp_fleet_row_t row;

  ck_assert (csp_decode_server ("i-1", server_cases[_i].json, &row)
             == server_cases[_i].valid);
  if (!server_cases[_i].valid)
    return;
  ck_assert_str_eq (row.id, "i-1");
  ck_assert_str_eq (row.data_centre, "z");
  ck_assert_uint_eq (ntohs (row.address.sin_port), 8080);
  ck_assert (row.leaving == server_cases[_i].leaving);
}
END_TEST

START_TEST (move_requests_use_the_platforms_format)
{
  const csp_dialect_t *dialect = csp_platform_dialect ();
  static const char answer[] = "{\"handle\":\"h-1\",\"created\":32}";
  csp_buffer_t request = { 0 };
  csp_move_answer_t move = { .handle = "" };
  char copy_source[64];
  int i;

  ck_assert (dialect->write_move ("10.0.0.1:80", "r1", "10.0.0.2:80", true,
                                  &request));
  csp_append_buffer (&request, "", 1);
  ck_assert_ptr_nonnull (strstr (
      request.data, "POST /kv-move HTTP/1.1\r\nHost: 10.0.0.1:80\r\n"));
  ck_assert_ptr_nonnull (strstr (request.data,
                                 "{\"id\":\"r1\",\"target\":\"10.0.0.2:80\","
                                 "\"last\":true}"));
  ck_assert (dialect->read_move (answer, strlen (answer), &move));
  ck_assert_str_eq (move.handle, "h-1");
  ck_assert_uint_eq (move.events, 32);
  ck_assert (!dialect->read_move ("", 0, &move));
  ck_assert (!dialect->read_move ("{\"error\":\"full\"}", 16, &move));
  dialect->format_copy_source ("10.0.0.1:80", "h-1", copy_source,
                               sizeof copy_source);
  ck_assert_str_eq (copy_source, "10.0.0.1:80/h-1");
  for (i = 0; i < CSP_HEADER_COUNT; i++)
    ck_assert_ptr_nonnull (dialect->names[i]);
  csp_clear_buffer (&request);
}
END_TEST

#define SETTINGS(callers, extra)                                              \
  "// a host\n{\"host\":\"n\",\"data_centre\":\"z\",\"callers\":" callers     \
  ",\"readiness\":\"127.0.0.1:2\",\"metrics\":\"127.0.0.1:3\","               \
  "\"peers\":\"127.0.0.1:4\",\"seeds\":[\"127.0.0.1:5\"],"                    \
  "\"store\":\"127.0.0.1:6\",\"retry_share\":0.2," extra "}"

/* Settings, and the key that the first fault names; NULL where the settings
   are valid.  */
static const struct
{
  const char *text;
  const char *fault;
} settings_cases[] = {
  { SETTINGS ("\"127.0.0.1:1\"", "\"stop_limit_s\":8,\"retry_extra\":58"),
    NULL },
  { SETTINGS ("\"127.0.0.1:1\"",
              "\"stop_limit_s\":8,\"retry_extra\":58,\"later\":{}"),
    NULL },
  { SETTINGS ("\"localhost:1\"", "\"stop_limit_s\":8,\"retry_extra\":58"),
    "callers" },
  { SETTINGS ("4", "\"stop_limit_s\":8,\"retry_extra\":58"), "callers" },
  { SETTINGS ("\"127.0.0.1:1\"", "\"stop_limit_s\":0,\"retry_extra\":58"),
    "stop_limit_s" },
  { SETTINGS ("\"127.0.0.1:1\"", "\"stop_limit_s\":8"), "retry_extra" },
  { "{", "" },
};

START_TEST (settings_are_read_or_their_faults_reported)
{
  char path[] = "/tmp/adapter-settings-XXXXXX";
  int file = mkstemp (path);
  csp_faults_t *faults = csp_create_faults ();
  csp_adapter_settings_t settings;
  const char *text = settings_cases[_i].text;
  bool valid;

  ck_assert_int_ge (file, 0);
  ck_assert_int_eq (write (file, text, strlen (text)), (int)strlen (text));
  close (file);
  valid = csp_read_adapter_settings (path, &settings, faults);
  ck_assert (valid == (settings_cases[_i].fault == NULL));
  if (valid)
    {
      ck_assert_str_eq (settings.gateway.host, "n");
      ck_assert_uint_eq (settings.gateway.stop_limit_ms, 8000);
      ck_assert_uint_eq (settings.gateway.seed_count, 1);
      ck_assert_uint_eq (ntohs (settings.store_address.sin_port), 6);
    }
  else
    ck_assert_str_eq (csp_get_fault (faults, 0)->path,
                      settings_cases[_i].fault);
  csp_destroy_faults (faults);
  unlink (path);
}
END_TEST

/* Command lines of the program, with their exit code and a part of their
   output.  */
static const struct
{
  const char *arguments;
  const char *settings; /* NULL: COWSLIPSPOKE_CONFIG is not set */
  int exit_code;
  const char *output;
} command_cases[] = {
  { "--help", NULL, 0, "Usage: cowslip-gateway" },
  { "--version", NULL, 0, "cowslip-gateway " },
  { "--check-settings", NULL, 2, "COWSLIPSPOKE_CONFIG" },
  { "--settings /none --check-settings", NULL, 2, "/none" },
  { "--check-settings",
    SETTINGS ("\"127.0.0.1:1\"", "\"stop_limit_s\":8,\"retry_extra\":58"), 0,
    "" },
  { "", SETTINGS ("\"here\"", "\"stop_limit_s\":8,\"retry_extra\":58"), 2,
    "\"here\" is not of the form ADDRESS:PORT" },
  { "--other", NULL, 2, "no such option" },
  { "more", NULL, 2, "more" },
};

START_TEST (command_line_faults_are_reported)
{
  const char *build = getenv ("BUILD");
  char path[] = "/tmp/adapter-settings-XXXXXX";
  const char *settings = command_cases[_i].settings;
  char command[400];
  char output[2000];
  size_t output_bytes;
  FILE *program;
  int status;

  if (settings != NULL)
    {
      int file = mkstemp (path);

      ck_assert_int_ge (file, 0);
      ck_assert_int_eq (write (file, settings, strlen (settings)),
                        (int)strlen (settings));
      close (file);
    }
  snprintf (command, sizeof command,
            "env -u COWSLIPSPOKE_CONFIG %s%s %s/cowslip-gateway %s 2>&1",
            settings == NULL ? "" : "COWSLIPSPOKE_CONFIG=",
            settings == NULL ? "" : path,
            build == NULL ? "build/plain" : build,
            command_cases[_i].arguments);
  program = popen (command, "r");
  ck_assert_ptr_nonnull (program);
  output_bytes = fread (output, 1, sizeof output - 1, program);
  output[output_bytes] = '\0';
  status = pclose (program);
  ck_assert_msg (WIFEXITED (status)
                     && WEXITSTATUS (status) == command_cases[_i].exit_code,
                 "%s: %s", command_cases[_i].arguments, output);
  ck_assert_msg (strstr (output, command_cases[_i].output) != NULL, "%s: %s",
                 command_cases[_i].arguments, output);
  if (settings != NULL)
    unlink (path);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("adapter");
  TCase *tcase = tcase_create ("adapter");

  tcase_add_test (tcase, configuration_is_decoded);
  tcase_add_loop_test (tcase, resumable_is_decoded, 0,
                       sizeof resumable_rows / sizeof resumable_rows[0]);
  tcase_add_test (tcase, split_route_is_decoded_with_its_weights);
  tcase_add_loop_test (tcase, invalid_configuration_is_refused, 0,
                       sizeof invalid_configs / sizeof invalid_configs[0]);
  tcase_add_loop_test (tcase, server_entry_is_decoded_or_rejected, 0,
                       sizeof server_cases / sizeof server_cases[0]);
  tcase_add_test (tcase, move_requests_use_the_platforms_format);
  tcase_add_loop_test (tcase, settings_are_read_or_their_faults_reported, 0,
                       sizeof settings_cases / sizeof settings_cases[0]);
  tcase_add_loop_test (tcase, command_line_faults_are_reported, 0,
                       sizeof command_cases / sizeof command_cases[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
