#include "cowslipspoke/faults.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

struct csp_faults
{
  csp_fault_t *kept;
  size_t kept_count;
  size_t count;
};

csp_faults_t *
csp_create_faults (void)
{
  csp_faults_t *faults = calloc (1, sizeof *faults);

  if (faults == NULL)
    abort ();
  return faults;
}

void
csp_destroy_faults (csp_faults_t *faults)
{
  size_t i;

  if (faults == NULL)
    return;
  for (i = 0; i < faults->kept_count; i++)
    {
      free (faults->kept[i].where);
      free (faults->kept[i].path);
      free (faults->kept[i].text);
    }
  free (faults->kept);
  free (faults);
}

static void
store_fault (csp_faults_t *faults, csp_fault_t fault)
{
  size_t size_bytes = (faults->kept_count + 1) * sizeof fault;
  csp_fault_t *kept = realloc (faults->kept, size_bytes);

  if (kept == NULL || fault.where == NULL || fault.path == NULL)
    abort ();
  kept[faults->kept_count] = fault;
  faults->kept = kept;
  faults->kept_count++;
}

void
csp_add_fault (csp_faults_t *faults, const char *where, const char *path,
               int line, const char *text, ...)
{
  csp_fault_t fault;
  va_list args;

  if (faults == NULL)
    return;
  faults->count++;
  if (faults->kept_count >= CSP_FAULTS_KEPT)
    return;
  va_start (args, text);
  if (vasprintf (&fault.text, text, args) < 0)
    abort ();
  va_end (args);
  fault.where = strdup (where);
  fault.path = strdup (path);
  fault.line = line;
  store_fault (faults, fault);
}

size_t
csp_count_faults (const csp_faults_t *faults)
{
  return faults->count;
}

const csp_fault_t *
csp_get_fault (const csp_faults_t *faults, size_t index)
{
  return &faults->kept[index];
}

static void
print_fault (const csp_fault_t *fault, FILE *stream)
{
  fputs (fault->where, stream);
  if (fault->line > 0)
    fprintf (stream, ":%d", fault->line);
  if (fault->path[0] != '\0')
    fprintf (stream, ": %s", fault->path);
  fprintf (stream, ": %s\n", fault->text);
}

void
csp_print_faults (const csp_faults_t *faults, FILE *stream)
{
  size_t i;

  for (i = 0; i < faults->kept_count; i++)
    print_fault (&faults->kept[i], stream);
  if (faults->count > faults->kept_count)
    fprintf (stream, "%zu faults more\n", faults->count - faults->kept_count);
}
