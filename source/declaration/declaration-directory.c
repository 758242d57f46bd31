#include "cowslipspoke/declaration-tools.h"
#include "cowslipspoke/json-reader.h"
#include "fields/fields-imp.h"

#include <dirent.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* The platform stores values of up to one megabyte.  */
  VALUE_BYTES_MAX = 1048576,
  JSON_SUFFIX_BYTES = sizeof ".json" - 1
};

struct csp_declaration_directory
{
  csp_arena_t *arena;
  csp_declared_value_t *values;
  size_t count;
};

typedef struct
{
  const char *directory;
  const char *key_prefix;
} kind_directory_t;

static const kind_directory_t kinds[] = { { "organisations", "organisation/" },
                                          { "routes", "route/" },
                                          { "services", "service/" },
                                          { "rules", "rule/" },
                                          { "pools", "targets/" } };

enum
{
  KIND_COUNT = sizeof kinds / sizeof kinds[0]
};

static void
add_value (csp_declaration_directory_t *directory, const char *key,
           const char *file, csp_faults_t *faults)
{
  csp_declared_value_t *value;
  size_t size_bytes = 0;
  char *text = csp_read_text_file (file, VALUE_BYTES_MAX, &size_bytes, faults);
  char *copy;

  if (text == NULL)
    return;
  directory->values
      = realloc (directory->values, (directory->count + 1) * sizeof *value);
  if (directory->values == NULL)
    abort ();
  copy = csp_allocate (directory->arena, size_bytes + 1);
  memcpy (copy, text, size_bytes);
  free (text);
  value = &directory->values[directory->count++];
  value->key = key;
  value->json = copy;
  value->size_bytes = size_bytes;
  value->where = file;
}

/* The file name without ".json"; NULL if it has another suffix.  */
static char *
strip_json_suffix (csp_arena_t *arena, const char *file)
{
  size_t length = strlen (file);

  if (length <= JSON_SUFFIX_BYTES
      || strcmp (file + length - JSON_SUFFIX_BYTES, ".json") != 0)
    return NULL;
  return csp_format_text (arena, "%.*s", (int)(length - JSON_SUFFIX_BYTES),
                          file);
}

static void
read_kind_file (csp_declaration_directory_t *directory,
                const kind_directory_t *kind, const char *path,
                const char *file, csp_faults_t *faults)
{
  char *name = strip_json_suffix (directory->arena, file);
  char *full_path = csp_format_text (directory->arena, "%s/%s", path, file);

  if (name == NULL || !csp_text_has_form (CSP_FORM_NAME, name))
    csp_add_fault (faults, full_path, "", 0,
                   "is no NAME.json; NAME is 1 to 63 letters, digits, \".\", "
                   "\"_\" or \"-\", the first a letter or digit");
  else
    add_value (
        directory,
        csp_format_text (directory->arena, "%s%s", kind->key_prefix, name),
        full_path, faults);
}

static int
is_visible (const struct dirent *entry)
{
  return entry->d_name[0] != '.';
}

static void
free_entries (struct dirent **entries, int count)
{
  int i;

  for (i = 0; i < count; i++)
    free (entries[i]);
  free (entries);
}

static void
read_kind (csp_declaration_directory_t *directory,
           const kind_directory_t *kind, const char *path,
           csp_faults_t *faults)
{
  struct dirent **entries;
  int count = scandir (path, &entries, is_visible, alphasort);
  int i;

  if (count < 0)
    {
      csp_add_fault (faults, path, "", 0, "can't be read: %m");
      return;
    }
  for (i = 0; i < count; i++)
    read_kind_file (directory, kind, path, entries[i]->d_name, faults);
  free_entries (entries, count);
}

static const kind_directory_t *
find_kind (const char *name)
{
  size_t i;

  for (i = 0; i < KIND_COUNT; i++)
    if (strcmp (kinds[i].directory, name) == 0)
      return &kinds[i];
  return NULL;
}

static void
read_entry (csp_declaration_directory_t *directory, const char *path,
            const char *name, csp_faults_t *faults)
{
  const kind_directory_t *kind = find_kind (name);
  char *full_path = csp_format_text (directory->arena, "%s/%s", path, name);

  if (kind != NULL)
    read_kind (directory, kind, full_path, faults);
  else if (strcmp (name, "rule-order.json") == 0)
    add_value (directory, "rule-order", full_path, faults);
  else if (strcmp (name, "README.md") != 0)
    csp_add_fault (faults, full_path, "", 0,
                   "is unknown here; allowed are organisations, routes, "
                   "services, rules, pools, rule-order.json, README.md");
}

csp_declaration_directory_t *
csp_read_declaration_directory (const char *path, csp_faults_t *faults)
{
  csp_declaration_directory_t *directory = calloc (1, sizeof *directory);
  struct dirent **entries;
  int count;
  int i;

  if (directory == NULL)
    abort ();
  directory->arena = csp_create_arena ();
  count = scandir (path, &entries, is_visible, alphasort);
  if (count < 0)
    {
      csp_add_fault (faults, path, "", 0, "can't be read: %m");
      return directory;
    }
  for (i = 0; i < count; i++)
    read_entry (directory, path, entries[i]->d_name, faults);
  free_entries (entries, count);
  return directory;
}

void
csp_destroy_declaration_directory (csp_declaration_directory_t *directory)
{
  if (directory == NULL)
    return;
  csp_destroy_arena (directory->arena);
  free (directory->values);
  free (directory);
}

const csp_declared_value_t *
csp_get_directory_values (const csp_declaration_directory_t *directory,
                          size_t *count)
{
  *count = directory->count;
  return directory->values;
}
