#include "cowslipctl-imp.h"
#include "cowslipspoke/declaration-tools.h"
#include "cowslipspoke/json-reader.h"

#include <stdlib.h>

enum
{
  REQUEST_BYTES_MAX = 65536
};

/* Build the declaration in a directory; returns NULL and adds faults if it is
   invalid.  */
static csp_declaration_t *
load_declaration (const char *path, csp_faults_t *faults)
{
  size_t before = csp_count_faults (faults);
  csp_declaration_directory_t *directory
      = csp_read_declaration_directory (path, faults);
  const csp_declared_value_t *values;
  csp_declaration_t *declaration;
  size_t count;

  values = csp_get_directory_values (directory, &count);
  declaration = csp_create_declaration (NULL, values, count, faults);
  csp_destroy_declaration_directory (directory);
  if (csp_count_faults (faults) == before)
    return declaration;
  csp_destroy_declaration (declaration);
  return NULL;
}

/* Print and destroy the faults.  Returns code if there are none, otherwise
   CTL_EXIT_FAULTS.  */
static int
report_faults (csp_faults_t *faults, int code)
{
  if (csp_count_faults (faults) > 0)
    code = CTL_EXIT_FAULTS;
  csp_print_faults (faults, stderr);
  csp_destroy_faults (faults);
  return code;
}

static void
print_counts (const csp_declaration_t *declaration)
{
  printf ("in order: %zu organisations, %zu routes, %zu services, %zu pools, "
          "%zu rules\n",
          csp_count_organisations (declaration),
          csp_count_routes (declaration), csp_count_services (declaration),
          csp_count_pools (declaration), csp_count_rules (declaration));
}

int
ctl_check (char **arguments)
{
  csp_faults_t *faults = csp_create_faults ();
  csp_declaration_t *declaration = load_declaration (arguments[0], faults);

  if (declaration != NULL)
    csp_find_unreachable_rules (declaration, faults);
  if (csp_count_faults (faults) == 0)
    print_counts (declaration);
  csp_destroy_declaration (declaration);
  return report_faults (faults, CTL_EXIT_SUCCESS);
}

int
ctl_diff (char **arguments)
{
  csp_faults_t *faults = csp_create_faults ();
  csp_declaration_t *before = load_declaration (arguments[0], faults);
  csp_declaration_t *after = load_declaration (arguments[1], faults);
  int code = CTL_EXIT_SUCCESS;

  if (before != NULL && after != NULL
      && csp_print_difference (before, after, stdout) > 0)
    code = CTL_EXIT_DIFFERENCES;
  csp_destroy_declaration (before);
  csp_destroy_declaration (after);
  return report_faults (faults, code);
}

static void
explain_request_file (const csp_declaration_t *declaration, const char *path,
                      csp_faults_t *faults)
{
  csp_described_request_t request;
  size_t size_bytes = 0;
  char *text
      = csp_read_text_file (path, REQUEST_BYTES_MAX, &size_bytes, faults);

  if (text == NULL)
    return;
  if (csp_read_described_request (declaration, path, text, size_bytes,
                                  &request, faults))
    csp_print_explanation (declaration, &request.facts, stdout);
  free (text);
}

int
ctl_explain (char **arguments)
{
  csp_faults_t *faults = csp_create_faults ();
  csp_declaration_t *declaration = load_declaration (arguments[0], faults);

  if (declaration != NULL)
    explain_request_file (declaration, arguments[1], faults);
  csp_destroy_declaration (declaration);
  return report_faults (faults, CTL_EXIT_SUCCESS);
}

int
ctl_bundle (char **arguments)
{
  csp_faults_t *faults = csp_create_faults ();
  csp_declaration_t *declaration = load_declaration (arguments[0], faults);

  if (declaration != NULL)
    csp_print_bundle (declaration, stdout);
  csp_destroy_declaration (declaration);
  return report_faults (faults, CTL_EXIT_SUCCESS);
}
