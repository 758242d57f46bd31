#include "cowslipspoke/settings.h"
#include "settings/settings-imp.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define GOOD                                                                  \
  "\"deployment\":\"d\",\"host\":\"h1\",\"region\":\"wales\","                \
  "\"data_centre\":\"cardiff\",\"platform_address\":\"127.0.0.1\","           \
  "\"platform_port\":9"

/* A text and what its one fault has to name; no path where it is good.  */
typedef struct
{
  const char *text;
  const char *path;
  int line;
  const char *says;
} case_t;

static const case_t cases[] = {
  { "{" GOOD "}", NULL, 0, NULL },
  { "// first\n{" GOOD " /* last */}", NULL, 0, NULL },
  { "{" GOOD ",\n\"max_stream\":1}", "max_stream", 2, "unknown key" },
  { "{" GOOD ",\n\n\"http_port\":1,\"http_port\":2}", "http_port", 3,
    "stands twice" },
  { "{" GOOD ",\"caller_tls\":{\"key_file\":\"\",\"key_file\":\"\"}}",
    "caller_tls.key_file", 1, "stands twice" },
  { "{" GOOD ",\"http_port\":\"80\"}", "http_port", 1,
    "\"80\" is not allowed; allowed is a whole number from 0 to 65535" },
  { "{" GOOD ",\"http_port\":65536}", "http_port", 1, "65536 is not allowed" },
  { "{" GOOD ",\"http_port\":-1}", "http_port", 1, "-1 is not allowed" },
  { "{" GOOD ",\"http_port\":1.5}", "http_port", 1, "1.5 is not allowed" },
  { "{" GOOD ",\"http_port\":null}", "http_port", 0, "null is not allowed" },
  { "{" GOOD ",\"listen_address\":\"localhost\"}", "listen_address", 1,
    "an IP number" },
  { "{" GOOD ",\"log_level\":\"loud\"}", "log_level", 1,
    "one of error, warn, info, debug" },
  { "{" GOOD ",\"peer_tls\":[]}", "peer_tls", 1, "an object" },
  { "{" GOOD ",\"peer_tls\":{\"password\":\"x\"}}", "peer_tls.password", 1,
    "unknown key" },
  { "{" GOOD ",\"suspect_after_ms\":1000}", "suspect_after_ms", 0,
    "less than 3 times heartbeat_interval_ms (500)" },
  { "{" GOOD ",\"drain_limit_ms\":1000}", "drain_notice_ms", 0,
    "not less than drain_limit_ms" },
  { "{" GOOD ",\"target_tls\":{\"ca_file\":\"/nowhere/ca.pem\"}}",
    "target_tls.ca_file", 0, "can't be opened" },
  { "{" GOOD ",\"max_streams\":99999999999999999999}", "", 1, "overflow" },
  { "{" GOOD "} x", "", 1, "JSON with comments" },
  { "{" GOOD ",\"log_level\":\"\xff\"}", "", 1, "UTF8" },
};

static void
check_case (const case_t *row)
{
  csp_faults_t *faults = csp_create_faults ();
  csp_settings_t settings;
  const csp_fault_t *fault;
  bool good;

  csp_default_settings (&settings);
  good = csp_parse_settings ("s.json", row->text, strlen (row->text),
                             &settings, faults);
  good = good && csp_check_settings ("s.json", &settings, faults);
  ck_assert_msg (good == (row->path == NULL), "%s", row->text);
  if (row->path != NULL)
    {
      ck_assert_uint_eq (csp_count_faults (faults), 1);
      fault = csp_get_fault (faults, 0);
      ck_assert_str_eq (fault->where, "s.json");
      ck_assert_str_eq (fault->path, row->path);
      ck_assert_int_eq (fault->line, row->line);
      ck_assert_msg (strstr (fault->text, row->says) != NULL, "%s: %s",
                     row->text, fault->text);
    }
  csp_destroy_faults (faults);
}

/* An operator mistypes a key, gives it twice or out of range, and the daemon
   would start with a default instead, which nobody notices until the evening
   that the setting was made for.  */
START_TEST (faults_are_named) { check_case (&cases[_i]); }
END_TEST

START_TEST (all_faults_show_in_one_run)
{
  const char *text = "{\"http_port\":-1,\"nonsense\":1,\"log_level\":3}";
  csp_faults_t *faults = csp_create_faults ();
  csp_settings_t settings;

  csp_default_settings (&settings);
  csp_parse_settings ("s.json", text, strlen (text), &settings, faults);
  csp_check_settings ("s.json", &settings, faults);
  /* Three above, and six keys that must be given.  */
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
} line_case_t;

#define NEEDED                                                                \
  "--deployment=d", "--host", "h", "--region=r", "--data-centre", "c",        \
      "--platform-address=::1", "--platform-port", "9"

static const line_case_t line_cases[] = {
  { { NEEDED }, 0, CSP_COMMAND_RUN, 8080 },
  { { NEEDED, "--http-port", "0" }, 0, CSP_COMMAND_RUN, 0 },
  { { "--check-settings", NEEDED }, 0, CSP_COMMAND_CHECK_SETTINGS, 8080 },
  { { "--help", "--nonsense" }, 0, CSP_COMMAND_HELP, 8080 },
  { { "--version" }, 0, CSP_COMMAND_VERSION, 8080 },
  { { NEEDED, "--http-port", "x" }, 1, CSP_COMMAND_RUN, 8080 },
  { { NEEDED, "--http-port", "" }, 1, CSP_COMMAND_RUN, 8080 },
  { { NEEDED, "--http-port", "1e3" }, 1, CSP_COMMAND_RUN, 8080 },
  { { NEEDED, "--nonsense" }, 1, CSP_COMMAND_RUN, 8080 },
  { { NEEDED, "stray" }, 1, CSP_COMMAND_RUN, 8080 },
  { { NEEDED, "--settings" }, 1, CSP_COMMAND_RUN, 8080 },
  { { NEEDED, "--settings", "/nowhere/s.json" }, 1, CSP_COMMAND_RUN, 8080 },
  { { "--log-level", "loud" }, 7, CSP_COMMAND_RUN, 8080 },
};

START_TEST (command_lines_are_read)
{
  const line_case_t *row = &line_cases[_i];
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

/* Options go over the file wherever they stand, and what neither gives keeps
   its default.  */
START_TEST (options_go_over_the_file)
{
  char path[] = "settings-test-XXXXXX";
  char *argv[] = { "cowslipd", "--http-port", "1", "--settings",
                   path,       "--peer-port", "2", NULL };
  FILE *file = fdopen (mkstemp (path), "w");
  csp_faults_t *faults = csp_create_faults ();
  csp_settings_t settings;
  csp_command_t command;

  fputs ("{" GOOD ",\"http_port\":7,\"peer_port\":8,\"max_streams\":9}", file);
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
show_standard (const csp_field_t *field)
{
  if (field->standard != NULL)
    return field->standard;
  return field->required ? "must be given" : "none";
}

/* An operator reads the page, not the table; a key that the page lacks or
   describes otherwise is a setting that nobody finds.  */
START_TEST (the_page_has_every_key)
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
                    show_standard (rows[i].field), rows[i].field->help),
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

  tcase_add_loop_test (tcase, faults_are_named, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, all_faults_show_in_one_run);
  tcase_add_loop_test (tcase, command_lines_are_read, 0,
                       sizeof line_cases / sizeof line_cases[0]);
  tcase_add_test (tcase, options_go_over_the_file);
  tcase_add_test (tcase, the_page_has_every_key);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
