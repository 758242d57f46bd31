#include "cowslipspoke/json-reader.h"
#include "fields/fields-imp.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_SHOWN_VALUE_BYTES = 80
};

static void read_members (csp_json_position_t *position,
                          const csp_field_t *fields,
                          struct json_object *object, void *out);

size_t
csp_push_path (csp_json_position_t *position, const char *name, size_t index)
{
  size_t length = strlen (position->path);
  size_t free_bytes = sizeof position->path - length;

  if (name == NULL)
    snprintf (position->path + length, free_bytes, "[%zu]", index);
  else
    snprintf (position->path + length, free_bytes, "%s%s",
              length == 0 ? "" : ".", name);
  return length;
}

void
csp_pop_path (csp_json_position_t *position, size_t length)
{
  position->path[length] = '\0';
}

void
csp_add_fault_at (csp_json_position_t *position, struct json_object *value,
                  const char *text, ...)
{
  char message[CSP_FIELD_ALLOWED_BYTES * 2];
  va_list args;

  va_start (args, text);
  vsnprintf (message, sizeof message, text, args);
  va_end (args);
  csp_add_fault (position->faults, position->where, position->path,
                 csp_json_line (value), "%s", message);
}

static void
add_value_fault (csp_json_position_t *position, const csp_field_t *field,
                 struct json_object *value)
{
  char allowed[CSP_FIELD_ALLOWED_BYTES];
  const char *value_json
      = json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN);

  csp_describe_field (field, allowed);
  csp_add_fault_at (position, value, "%.*s%s is not allowed; allowed is %s",
                    MAX_SHOWN_VALUE_BYTES, value_json,
                    strlen (value_json) > MAX_SHOWN_VALUE_BYTES ? "..." : "",
                    allowed);
}

static bool
read_bool (const csp_field_t *field, struct json_object *value, void *out)
{
  if (!json_object_is_type (value, json_type_boolean))
    return false;
  *(bool *)((char *)out + field->offset) = json_object_get_boolean (value);
  return true;
}

static bool
read_number (const csp_field_t *field, struct json_object *value, void *out)
{
  if (!json_object_is_type (value, json_type_int)
      && !json_object_is_type (value, json_type_double))
    return false;
  return csp_store_number (field, json_object_get_double (value), out);
}

static bool
read_text (const csp_field_t *field, struct json_object *value, void *out)
{
  if (!json_object_is_type (value, json_type_string))
    return false;
  return csp_store_text (field, json_object_get_string (value), out);
}

/* Reads one string of a list.  Returns false where it isn't allowed or is
   already in the list.  */
static bool
read_unique_string (const csp_field_t *field, struct json_object *value,
                    const char **strings, size_t count)
{
  csp_field_t single = *field;
  size_t i;

  single.type = CSP_FIELD_TEXT;
  single.offset = 0;
  if (!read_text (&single, value, &strings[count]))
    return false;
  for (i = 0; i < count; i++)
    if (strcmp (strings[i], strings[count]) == 0)
      return false;
  return true;
}

static bool
read_strings (csp_json_position_t *position, const csp_field_t *field,
              struct json_object *value, void *out)
{
  bool is_list = json_object_is_type (value, json_type_array);
  size_t count = is_list ? json_object_array_length (value) : 1;
  const char **strings;
  size_t length;
  size_t i;

  if ((double)count < field->min || (double)count > field->max)
    return false;
  strings = csp_allocate (position->arena, count * sizeof *strings);
  if (!is_list && !read_unique_string (field, value, strings, 0))
    return false;
  for (i = 0; is_list && i < count; i++)
    {
      struct json_object *item = json_object_array_get_idx (value, i);

      length = csp_push_path (position, NULL, i);
      if (!read_unique_string (field, item, strings, i))
        {
          add_value_fault (position, field, item);
          strings[i] = "";
        }
      csp_pop_path (position, length);
    }
  *(const char ***)((char *)out + field->offset) = strings;
  *(size_t *)((char *)out + field->count_offset) = count;
  return true;
}

static void
read_struct (csp_json_position_t *position, const csp_field_t *field,
             struct json_object *value, void *out)
{
  csp_set_default_fields (field->fields, out);
  if (!json_object_is_type (value, json_type_object))
    {
      csp_add_fault_at (position, value, "must be an object");
      return;
    }
  read_members (position, field->fields, value, out);
}

static bool
read_list (csp_json_position_t *position, const csp_field_t *field,
           struct json_object *value, void *out)
{
  size_t count;
  size_t length;
  char *structs;
  size_t i;

  if (!json_object_is_type (value, json_type_array))
    return false;
  count = json_object_array_length (value);
  if ((double)count < field->min || (double)count > field->max)
    return false;
  structs = csp_allocate (position->arena, count * field->size_bytes);
  for (i = 0; i < count; i++)
    {
      length = csp_push_path (position, NULL, i);
      read_struct (position, field, json_object_array_get_idx (value, i),
                   structs + i * field->size_bytes);
      csp_pop_path (position, length);
    }
  *(void **)((char *)out + field->offset) = structs;
  *(size_t *)((char *)out + field->count_offset) = count;
  return true;
}

static bool
read_map (csp_json_position_t *position, const csp_field_t *field,
          struct json_object *value, void *out)
{
  size_t count;
  size_t length;
  char *structs;
  size_t i = 0;

  if (!json_object_is_type (value, json_type_object))
    return false;
  count = (size_t)json_object_object_length (value);
  if ((double)count < field->min || (double)count > field->max)
    return false;
  structs = csp_allocate (position->arena, count * field->size_bytes);
  json_object_object_foreach (value, name, item)
  {
    length = csp_push_path (position, name, 0);
    if (!csp_text_has_form (field->form, name))
      csp_add_fault_at (position, item, "is no allowed name");
    read_struct (position, field, item, structs + i * field->size_bytes);
    *(const char **)(structs + i * field->size_bytes) = name;
    csp_pop_path (position, length);
    i++;
  }
  *(void **)((char *)out + field->offset) = structs;
  *(size_t *)((char *)out + field->count_offset) = count;
  return true;
}

static bool
read_nested (csp_json_position_t *position, const csp_field_t *field,
             struct json_object *value, void *out)
{
  if (!json_object_is_type (value, json_type_object))
    return false;
  read_members (position, field->fields, value, (char *)out + field->offset);
  return true;
}

static void
read_field (csp_json_position_t *position, const csp_field_t *field,
            struct json_object *value, void *out)
{
  bool allowed = false;

  switch (field->type)
    {
    case CSP_FIELD_BOOL:
      allowed = read_bool (field, value, out);
      break;
    case CSP_FIELD_U8:
    case CSP_FIELD_U16:
    case CSP_FIELD_U32:
    case CSP_FIELD_DOUBLE:
      allowed = read_number (field, value, out);
      break;
    case CSP_FIELD_CHOICE:
    case CSP_FIELD_CHARS:
    case CSP_FIELD_TEXT:
      allowed = read_text (field, value, out);
      break;
    case CSP_FIELD_STRINGS:
      allowed = read_strings (position, field, value, out);
      break;
    case CSP_FIELD_OBJECT:
      allowed = read_nested (position, field, value, out);
      break;
    case CSP_FIELD_MAP:
      allowed = read_map (position, field, value, out);
      break;
    case CSP_FIELD_LIST:
      allowed = read_list (position, field, value, out);
      break;
    }
  if (!allowed)
    add_value_fault (position, field, value);
  else if (field->present_offset != 0)
    *(bool *)((char *)out + field->present_offset) = true;
}

static const csp_field_t *
find_field (const csp_field_t *fields, const char *name)
{
  const csp_field_t *field;

  for (field = fields; field->name != NULL; field++)
    if (strcmp (field->name, name) == 0)
      return field;
  return NULL;
}

static void
add_unknown_key_fault (csp_json_position_t *position,
                       const csp_field_t *fields, struct json_object *value)
{
  char keys[CSP_FIELD_ALLOWED_BYTES * 2] = "";
  const csp_field_t *field;
  size_t used = 0;

  for (field = fields; field->name != NULL && used < sizeof keys; field++)
    used += (size_t)snprintf (keys + used, sizeof keys - used, "%s%s",
                              used == 0 ? "" : ", ", field->name);
  csp_add_fault (position->faults, position->where, position->path,
                 csp_json_line (value), "unknown key; allowed are %s", keys);
}

static void
read_members (csp_json_position_t *position, const csp_field_t *fields,
              struct json_object *object, void *out)
{
  const csp_field_t *field;
  size_t length;

  json_object_object_foreach (object, name, value)
  {
    length = csp_push_path (position, name, 0);
    field = find_field (fields, name);
    if (field == NULL)
      add_unknown_key_fault (position, fields, value);
    else
      read_field (position, field, value, out);
    csp_pop_path (position, length);
  }
  for (field = fields; field->name != NULL; field++)
    if (field->required
        && !json_object_object_get_ex (object, field->name, NULL))
      {
        length = csp_push_path (position, field->name, 0);
        csp_add_fault_at (position, object, "is missing and must be given");
        csp_pop_path (position, length);
      }
}

void
csp_read_fields (csp_json_position_t *position, const csp_field_t *fields,
                 struct json_object *object, void *out)
{
  csp_set_default_fields (fields, out);
  if (!json_object_is_type (object, json_type_object))
    {
      csp_add_fault_at (position, object, "must be an object");
      return;
    }
  read_members (position, fields, object, out);
}
