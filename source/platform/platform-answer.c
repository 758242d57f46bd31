#include "platform/platform-json-imp.h"

#include <stdlib.h>
#include <string.h>

/* A delta with the JSON tree and the texts that it points into.  */
typedef struct
{
  csp_config_delta_t delta;
  csp_config_value_t *values;
  char **texts;
  struct json_object *tree;
} answer_t;

enum
{
  MAX_VALUES = 200000
};

static bool
read_value (const csp_json_row_t *row, int64_t highest, answer_t *answer)
{
  csp_config_value_t *value = &answer->values[row->index];
  struct json_object *key;
  struct json_object *json;
  char name[CSP_MAX_KEY_BYTES];

  if (!csp_read_string (row, "key", name, sizeof name)
      || !csp_read_number (row, "revision", 1, highest, &value->revision))
    return false;
  json_object_object_get_ex (row->object, "key", &key);
  value->key = json_object_get_string (key);
  if (!json_object_object_get_ex (row->object, "value", &json))
    return csp_fail_row (row, "value", "is missing");
  if (json == NULL)
    return true;
  answer->texts[row->index]
      = strdup (json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));
  value->json = answer->texts[row->index];
  if (value->json == NULL)
    return csp_fail_row (row, "value", "out of memory");
  if (strlen (value->json) > CSP_MAX_VALUE_BYTES)
    return csp_fail_row (row, "value", "is larger than a megabyte");
  return true;
}

static bool
read_values (const csp_json_row_t *whole, answer_t *answer)
{
  csp_json_row_t row = { NULL, "values", 0, whole->error };
  struct json_object *array;
  size_t count;

  if (!csp_read_array (whole, "values", MAX_VALUES, &array))
    return false;
  count = json_object_array_length (array);
  answer->values = calloc (count + 1, sizeof *answer->values);
  answer->texts = calloc (count + 1, sizeof *answer->texts);
  if (answer->values == NULL || answer->texts == NULL)
    return csp_fail_row (whole, "values", "out of memory");
  answer->delta.value_count = count;
  answer->delta.values = answer->values;
  for (row.index = 0; row.index < count; row.index++)
    {
      row.object = json_object_array_get_idx (array, row.index);
      if (!read_value (&row, answer->delta.revision, answer))
        return false;
    }
  return true;
}

bool
csp_parse_config_answer (const char *text, size_t size_bytes, int64_t base,
                         csp_config_delta_t **delta, csp_error_t *error)
{
  csp_json_row_t whole = { NULL, "config", 0, error };
  answer_t *answer = calloc (1, sizeof *answer);
  bool good = false;

  *delta = NULL;
  whole.object = csp_parse_json_object (text, size_bytes, error);
  if (whole.object == NULL || answer == NULL)
    goto out;
  answer->tree = json_object_get (whole.object);
  answer->delta.base = base;
  good = csp_read_number (&whole, "revision", 0, INT64_MAX - 1,
                          &answer->delta.revision)
         && csp_read_bool (&whole, "full", &answer->delta.full)
         && read_values (&whole, answer);
  if (good && base == 0)
    answer->delta.full = true;
out:
  json_object_put (whole.object);
  if (good)
    *delta = &answer->delta;
  else if (answer != NULL)
    csp_destroy_config_delta (&answer->delta);
  return good;
}

void
csp_destroy_config_delta (csp_config_delta_t *delta)
{
  answer_t *answer = (answer_t *)delta;
  size_t i;

  if (answer == NULL)
    return;
  for (i = 0; answer->texts != NULL && i < delta->value_count; i++)
    free (answer->texts[i]);
  free (answer->texts);
  free (answer->values);
  json_object_put (answer->tree);
  free (answer);
}
