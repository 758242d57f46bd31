#include "cowslipspoke/settings.h"
#include "settings/settings-imp.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define VALID                                                                 \
  "\"deployment\":\"d\",\"host\":\"h1\",\"region\":\"wales\","                \
  "\"data_centre\":\"cardiff\",\"platform_address\":\"127.0.0.1\","           \
  "\"platform_port\":9"

/* A text and the contents of its only fault; path is NULL where the text is
   valid.  */
typedef struct
{
  const char *text;
  const char *path;
  int line;
  const char *fault_text;
} case_t;

static const case_t cases[] = {
  { "{" VALID "}", NULL, 0, NULL },
  { "// first\n{" VALID " /* last */}", NULL, 0, NULL },
  { "{" VALID ",\n\"max_stream\":1}", "max_stream", 2, "unknown key" },
  { "{" VALID ",\n\n\"http_port\":1,\"http_port\":2}", "http_port", 3,
    "stands twice" },
  { "{" VALID ",\"caller_tls\":{\"key_file\":\"\",\"key_file\":\"\"}}",
    "caller_tls.key_file", 1, "stands twice" },
  { "{" VALID ",\"http_port\":\"80\"}", "http_port", 1,
    "\"80\" is not allowed; allowed is a whole number from 0 to 65535" },
  { "{" VALID ",\"http_port\":65536}", "http_port", 1,
    "65536 is not allowed" },
  { "{" VALID ",\"http_port\":-1}", "http_port", 1, "-1 is not allowed" },
  { "{" VALID ",\"http_port\":1.5}", "http_port", 1, "1.5 is not allowed" },
  { "{" VALID ",\"http_port\":null}", "http_port", 0, "null is not allowed" },
  { "{" VALID ",\"listen_address\":\"localhost\"}", "listen_address", 1,
    "an IP number" },
  { "{" VALID ",\"log_level\":\"loud\"}", "log_level", 1,
    "one of error, warn, info, debug" },
  { "{" VALID ",\"peer_tls\":[]}", "peer_tls", 1, "an object" },
  { "{" VALID ",\"peer_tls\":{\"password\":\"x\"}}", "peer_tls.password", 1,
    "unknown key" },
  { "{" VALID ",\"suspect_after_ms\":1000}", "suspect_after_ms", 0,
    "less than 3 times heartbeat_interval_ms (500)" },
  { "{" VALID ",\"drain_limit_ms\":1000}", "drain_notice_ms", 0,
    "not less than drain_limit_ms" },
  { "{" VALID ",\"target_tls\":{\"ca_file\":\"/nowhere/ca.pem\"}}",
    "target_tls.ca_file", 0, "can't be opened" },
  { "{" VALID ",\"max_streams\":99999999999999999999}", "", 1, "overflow" },
  { "{" VALID "} x", "", 1, "JSON with comments" },
  { "{" VALID ",\"log_level\":\"\xff\"}", "", 1, "UTF8" },
};

static void
check_case (const case_t *row)
{
  csp_faults_t *faults = csp_create_faults ();
  csp_settings_t settings;
  const csp_fault_t *fault;
  bool valid;

  csp_set_default_settings (&settings);
  valid = csp_parse_settings ("s.json", row->text, strlen (row->text),
                              &settings, faults);
  valid = valid && csp_check_settings ("s.json", &settings, faults);
  ck_assert_msg (valid == (row->path == NULL), "%s", row->text);
  if (row->path != NULL)
    {
      ck_assert_uint_eq (csp_count_faults (faults), 1);
      fault = csp_get_fault (faults, 0);
      ck_assert_str_eq (fault->where, "s.json");
      ck_assert_str_eq (fault->path, row->path);
      ck_assert_int_eq (fault->line, row->line);
      ck_assert_msg (strstr (fault->text, row->fault_text) != NULL, "%s: %s",
                     row->text, fault->text);
    }
  csp_destroy_faults (faults);
}

/* Guards against a daemon that starts with a default because a key is
   misspelt, duplicated or out of range, which is not noticed until the load
   that the setting is meant for arrives.  */
START_TEST (each_fault_names_path_line_and_value) { check_case (&cases[_i]); }
END_TEST

START_TEST (all_faults_are_reported_in_one_run)
{
  const char *text = "{\"http_port\":-1,\"nonsense\":1,\"log_level\":3}";
  csp_faults_t *faults = csp_create_faults ();
  csp_settings_t settings;

  csp_set_default_settings (&settings);
  csp_parse_settings ("s.json", text, strlen (text), &settings, faults);
  csp_check_settings ("s.json", &settings, faults);
  /* The three faults above, and six missing required keys.  */
  ck_assert_uint_eq (csp_count_faults (faults), 9);
  csp_destroy_faults (faults);
}
END_TEST

enum
{
  ARGUMENTS_MAX = 16
};

typedef struct
{
  const char *arguments[ARGUMENTS_MAX];
  size_t faults;
  csp_command_t command;
  uint16_t http_port;
} command_line_case_t;

#define REQUIRED                                                              \
  "--deployment=d", "--host", "h", "--region=r", "--data-centre", "c",        \
      "--platform-address=::1", "--platform-port", "9"

static const command_line_case_t command_line_cases[] = {
  { { REQUIRED }, 0, CSP_COMMAND_RUN, 8080 },
  { { REQUIRED, "--http-port", "0" }, 0, CSP_COMMAND_RUN, 0 },
  { { "--check-settings", REQUIRED }, 0, CSP_COMMAND_CHECK_SETTINGS, 8080 },
  { { "--help", "--nonsense" }, 0, CSP_COMMAND_HELP, 8080 },
  { { "--version" }, 0, CSP_COMMAND_VERSION, 8080 },
  { { REQUIRED, "--http-port", "x" }, 1, CSP_COMMAND_RUN, 8080 },
  { { REQUIRED, "--http-port", "" }, 1, CSP_COMMAND_RUN, 8080 },
  { { REQUIRED, "--http-port", "1e3" }, 1, CSP_COMMAND_RUN, 8080 },
  { { REQUIRED, "--nonsense" }, 1, CSP_COMMAND_RUN, 8080 },
  { { REQUIRED, "stray" }, 1, CSP_COMMAND_RUN, 8080 },
  { { REQUIRED, "--settings" }, 1, CSP_COMMAND_RUN, 8080 },
  { { REQUIRED, "--settings", "/nowhere/s.json" }, 1, CSP_COMMAND_RUN, 8080 },
  { { "--log-level", "loud" }, 7, CSP_COMMAND_RUN, 8080 },
};

START_TEST (command_lines_are_parsed)
{
  const command_line_case_t *row = &command_line_cases[_i];
  char *argv[ARGUMENTS_MAX + 2] = { "cowslipd" };
  csp_faults_t *faults = csp_create_faults ();
  csp_settings_t settings;
  csp_command_t command;
  int argc = 1;

  for (; row->arguments[argc - 1] != NULL; argc++)
    argv[argc] = (char *)row->arguments[argc - 1];
  csp_read_command_line (argc, argv, &command, &settings, faults);
  csp_print_faults (faults, stdout);
  ck_assert_uint_eq (csp_count_faults (faults), row->faults);
  ck_assert_int_eq (command, row->command);
  ck_assert_uint_eq (settings.http_port, row->http_port);
  csp_destroy_faults (faults);
}
END_TEST

/* Options override the file regardless of their order, and a key that neither
   of them gives keeps its default.  */
START_TEST (options_override_the_file)
{
  char path[] = "settings-test-XXXXXX";
  char *argv[] = { "cowslipd", "--http-port", "1", "--settings",
                   path,       "--peer-port", "2", NULL };
  FILE *file = fdopen (mkstemp (path), "w");
  csp_faults_t *faults = csp_create_faults ();
  csp_settings_t settings;
  csp_command_t command;

  fputs ("{" VALID ",\"http_port\":7,\"peer_port\":8,\"max_streams\":9}",
         file);
  fclose (file);
  ck_assert (csp_read_command_line (7, argv, &command, &settings, faults));
  unlink (path);
  ck_assert_uint_eq (settings.http_port, 1);
  ck_assert_uint_eq (settings.peer_port, 2);
  ck_assert_uint_eq (settings.max_streams, 9);
  ck_assert_uint_eq (settings.stall_timeout_ms, 2000);
  ck_assert_str_eq (settings.host, "h1");
  csp_destroy_faults (faults);
}
END_TEST

static const char *
describe_default (const csp_field_t *field)
{
  if (field->default_setting != NULL)
    return field->default_setting;
  return field->required ? "must be given" : "none";
}

/* Guards against a settings page that lacks a key of the table or describes it
   differently, since operators read only the page.  */
START_TEST (settings_page_describes_every_key)
{
  csp_setting_t rows[CSP_SETTINGS_MAX];
  char allowed[CSP_FIELD_ALLOWED_BYTES];
  char *line;
  size_t count = csp_list_settings (rows);
  char *page = calloc (1, 65536);
  FILE *file = fopen ("docs/SETTINGS.md", "r");
  size_t i;

  ck_assert_ptr_nonnull (file);
  ck_assert_uint_gt (fread (page, 1, 65535, file), 0);
  fclose (file);
  for (i = 0; i < count; i++)
    {
      csp_describe_field (rows[i].field, allowed);
      ck_assert_int_gt (
          asprintf (&line, "| `%s` | %s | %s | %s |\n", rows[i].path, allowed,
                    describe_default (rows[i].field), rows[i].field->help),
          0);
      ck_assert_msg (strstr (page, line) != NULL, "docs/SETTINGS.md lacks: %s",
                     line);
      free (line);
    }
  free (page);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("settings");
  TCase *tcase = tcase_create ("settings");

  tcase_add_loop_test (tcase, each_fault_names_path_line_and_value, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, all_faults_are_reported_in_one_run);
  tcase_add_loop_test (tcase, command_lines_are_parsed, 0,
                       sizeof command_line_cases
                           / sizeof command_line_cases[0]);
  tcase_add_test (tcase, options_override_the_file);
  tcase_add_test (tcase, settings_page_describes_every_key);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
