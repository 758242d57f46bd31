#include "cowslipspoke/declaration-tools.h"
#include "declaration/declaration-imp.h"

#include <string.h>

enum
{
  PATH_BYTES = 512
};

static const char *
to_json_text (struct json_object *value)
{
  return json_object_to_json_string_ext (
      value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
}

static void
print_line (FILE *stream, char sign, const char *key, const char *path,
            struct json_object *value)
{
  fprintf (stream, "%c %s%s%s", sign, key, path[0] == '\0' ? "" : " ", path);
  fprintf (stream, ": %s\n", to_json_text (value));
}

static void print_members (FILE *stream, const char *key, const char *path,
                           struct json_object *before,
                           struct json_object *after);

static void
print_change (FILE *stream, const char *key, const char *path,
              struct json_object *before, struct json_object *after)
{
  if (json_object_equal (before, after))
    return;
  if (json_object_is_type (before, json_type_object)
      && json_object_is_type (after, json_type_object))
    {
      print_members (stream, key, path, before, after);
      return;
    }
  print_line (stream, '-', key, path, before);
  print_line (stream, '+', key, path, after);
}

static void
join_path (char member_path[PATH_BYTES], const char *path, const char *name)
{
  snprintf (member_path, PATH_BYTES, "%s%s%s", path,
            path[0] == '\0' ? "" : ".", name);
}

static void
print_members (FILE *stream, const char *key, const char *path,
               struct json_object *before, struct json_object *after)
{
  char member_path[PATH_BYTES];
  struct json_object *after_value;

  json_object_object_foreach (before, name, value)
  {
    join_path (member_path, path, name);
    if (json_object_object_get_ex (after, name, &after_value))
      print_change (stream, key, member_path, value, after_value);
    else
      print_line (stream, '-', key, member_path, value);
  }
  json_object_object_foreach (after, new_name, new_value)
  {
    join_path (member_path, path, new_name);
    if (!json_object_object_get_ex (before, new_name, NULL))
      print_line (stream, '+', key, member_path, new_value);
  }
}

/* Compare the keys at two positions; a position past the end sorts last.  */
static int
compare_keys_at (const csp_declaration_t *before, size_t before_index,
                 const csp_declaration_t *after, size_t after_index)
{
  if (before_index == before->item_count)
    return 1;
  if (after_index == after->item_count)
    return -1;
  return strcmp (before->items[before_index]->key,
                 after->items[after_index]->key);
}

size_t
csp_print_difference (const csp_declaration_t *before,
                      const csp_declaration_t *after, FILE *stream)
{
  size_t count = 0;
  size_t before_index = 0;
  size_t after_index = 0;
  int order;

  while (before_index < before->item_count || after_index < after->item_count)
    {
      order = compare_keys_at (before, before_index, after, after_index);
      if (order < 0)
        print_line (stream, '-', before->items[before_index]->key, "",
                    before->items[before_index]->root);
      else if (order > 0)
        print_line (stream, '+', after->items[after_index]->key, "",
                    after->items[after_index]->root);
      else
        print_change (stream, after->items[after_index]->key, "",
                      before->items[before_index]->root,
                      after->items[after_index]->root);
      if (order != 0
          || !json_object_equal (before->items[before_index]->root,
                                 after->items[after_index]->root))
        count++;
      before_index += order <= 0;
      after_index += order >= 0;
    }
  return count;
}

void
csp_print_bundle (const csp_declaration_t *declaration, FILE *stream)
{
  size_t i;

  fputs ("{\"values\": {\n", stream);
  for (i = 0; i < declaration->item_count; i++)
    fprintf (stream, "\"%s\": %s%s\n", declaration->items[i]->key,
             to_json_text (declaration->items[i]->root),
             i + 1 < declaration->item_count ? "," : "");
  fputs ("}}\n", stream);
}
