#include "cowslipspoke/declaration-tools.h"
#include "declaration/declaration-imp.h"

#include <string.h>

enum
{
  PATH_BYTES = 512
};

static const char *
show (struct json_object *value)
{
  return json_object_to_json_string_ext (
      value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
}

static void
print_line (FILE *stream, char mark, const char *key, const char *path,
            struct json_object *value)
{
  fprintf (stream, "%c %s%s%s", mark, key, path[0] == '\0' ? "" : " ", path);
  fprintf (stream, ": %s\n", show (value));
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
join_path (char joined[PATH_BYTES], const char *path, const char *name)
{
  snprintf (joined, PATH_BYTES, "%s%s%s", path, path[0] == '\0' ? "" : ".",
            name);
}

static void
print_members (FILE *stream, const char *key, const char *path,
               struct json_object *before, struct json_object *after)
{
  char joined[PATH_BYTES];
  struct json_object *other;

  json_object_object_foreach (before, name, value)
  {
    join_path (joined, path, name);
    if (json_object_object_get_ex (after, name, &other))
      print_change (stream, key, joined, value, other);
    else
      print_line (stream, '-', key, joined, value);
  }
  json_object_object_foreach (after, new_name, new_value)
  {
    join_path (joined, path, new_name);
    if (!json_object_object_get_ex (before, new_name, NULL))
      print_line (stream, '+', key, joined, new_value);
  }
}

/* The order of the keys at two places; items that have run out come last.  */
static int
compare_at (const csp_declaration_t *before, size_t b,
            const csp_declaration_t *after, size_t a)
{
  if (b == before->item_count)
    return 1;
  if (a == after->item_count)
    return -1;
  return strcmp (before->items[b]->key, after->items[a]->key);
}

size_t
csp_print_difference (const csp_declaration_t *before,
                      const csp_declaration_t *after, FILE *stream)
{
  size_t count = 0;
  size_t b = 0;
  size_t a = 0;
  int order;

  while (b < before->item_count || a < after->item_count)
    {
      order = compare_at (before, b, after, a);
      if (order < 0)
        print_line (stream, '-', before->items[b]->key, "",
                    before->items[b]->root);
      else if (order > 0)
        print_line (stream, '+', after->items[a]->key, "",
                    after->items[a]->root);
      else
        print_change (stream, after->items[a]->key, "", before->items[b]->root,
                      after->items[a]->root);
      if (order != 0
          || !json_object_equal (before->items[b]->root,
                                 after->items[a]->root))
        count++;
      b += order <= 0;
      a += order >= 0;
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
             show (declaration->items[i]->root),
             i + 1 < declaration->item_count ? "," : "");
  fputs ("}}\n", stream);
}
