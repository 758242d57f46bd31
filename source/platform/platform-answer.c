#include "platform/platform-json-imp.h"

#include <stdlib.h>
#include <string.h>

/* A delta with the JSON tree and the strings that it points into.  */
typedef struct
{
  csp_config_delta_t delta;
  csp_config_value_t *values;
  char **value_texts;
  struct json_object *json_tree;
} parsed_delta_t;

enum
{
  VALUES_MAX = 200000
};

static bool
parse_value (const csp_json_row_t *row, int64_t revision_max,
             parsed_delta_t *parsed)
{
  csp_config_value_t *value = &parsed->values[row->index];
  struct json_object *key;
  struct json_object *json;
  char name[CSP_MAX_KEY_BYTES];

  if (!csp_read_string (row, "key", name, sizeof name)
      || !csp_read_number (row, "revision", 1, revision_max, &value->revision))
    return false;
  json_object_object_get_ex (row->object, "key", &key);
  value->key = json_object_get_string (key);
  if (!json_object_object_get_ex (row->object, "value", &json))
    return csp_fail_row (row, "value", "is missing");
  if (json == NULL)
    return true;
  parsed->value_texts[row->index]
      = strdup (json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));
  value->json = parsed->value_texts[row->index];
  if (value->json == NULL)
    return csp_fail_row (row, "value", "out of memory");
  if (strlen (value->json) > CSP_MAX_VALUE_BYTES)
    return csp_fail_row (row, "value", "is larger than a megabyte");
  return true;
}

static bool
parse_values (const csp_json_row_t *document, parsed_delta_t *parsed)
{
  csp_json_row_t row = { NULL, "values", 0, document->error };
  struct json_object *array;
  size_t count;

  if (!csp_read_array (document, "values", VALUES_MAX, &array))
    return false;
  count = json_object_array_length (array);
  parsed->values = calloc (count + 1, sizeof *parsed->values);
  parsed->value_texts = calloc (count + 1, sizeof *parsed->value_texts);
  if (parsed->values == NULL || parsed->value_texts == NULL)
    return csp_fail_row (document, "values", "out of memory");
  parsed->delta.value_count = count;
  parsed->delta.values = parsed->values;
  for (row.index = 0; row.index < count; row.index++)
    {
      row.object = json_object_array_get_idx (array, row.index);
      if (!parse_value (&row, parsed->delta.revision, parsed))
        return false;
    }
  return true;
}

bool
csp_parse_config_answer (const char *text, size_t size_bytes, int64_t base,
                         csp_config_delta_t **delta, csp_error_t *error)
{
  csp_json_row_t document = { NULL, "config", 0, error };
  parsed_delta_t *parsed = calloc (1, sizeof *parsed);
  bool valid = false;

  *delta = NULL;
  document.object = csp_parse_json_object (text, size_bytes, error);
  if (document.object == NULL || parsed == NULL)
    goto out;
  parsed->json_tree = json_object_get (document.object);
  parsed->delta.base = base;
  valid = csp_read_number (&document, "revision", 0, INT64_MAX - 1,
                           &parsed->delta.revision)
          && csp_read_bool (&document, "full", &parsed->delta.full)
          && parse_values (&document, parsed);
  if (valid && base == 0)
    parsed->delta.full = true;
out:
  json_object_put (document.object);
  if (valid)
    *delta = &parsed->delta;
  else if (parsed != NULL)
    csp_destroy_config_delta (&parsed->delta);
  return valid;
}

void
csp_destroy_config_delta (csp_config_delta_t *delta)
{
  parsed_delta_t *parsed = (parsed_delta_t *)delta;
  size_t i;

  if (parsed == NULL)
    return;
  for (i = 0; parsed->value_texts != NULL && i < delta->value_count; i++)
    free (parsed->value_texts[i]);
  free (parsed->value_texts);
  free (parsed->values);
  json_object_put (parsed->json_tree);
  free (parsed);
}
