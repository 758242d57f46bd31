#include "cowslipspoke/json-reader.h"
#include "json/json-reader-imp.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <yajl/yajl_parse.h>

/* The parser of json-c, which the rest of the system uses, silently accepts
   duplicate keys, and the last one wins: an operator who edits the first of
   two sees no effect and no error.  It has no hook to detect duplicates, so
   the tree is built here from the events of yajl, which accepts comments and
   checks UTF-8.  */

enum
{
  KEY_BYTES_MAX = 256,
  PATH_BYTES_MAX = 512
};

typedef struct
{
  struct json_object *container;
  char key[KEY_BYTES_MAX];
} level_t;

typedef struct
{
  const char *where;
  const char *text;
  size_t size_bytes;
  /* The whole text was parsed, and the parser's count of consumed bytes is no
     longer used.  */
  int fully_parsed;
  csp_faults_t *faults;
  yajl_handle parser;
  struct json_object *root;
  level_t levels[CSP_JSON_DEPTH_MAX];
  int depth;
  size_t line_counted_bytes;
  int line;
  /* A callback has added a fault, so the parser's error is not added.  */
  int own_fault_added;
} reader_t;

static int
get_current_line (reader_t *reader)
{
  size_t consumed = reader->fully_parsed
                        ? reader->size_bytes
                        : yajl_get_bytes_consumed (reader->parser);

  for (; reader->line_counted_bytes < consumed; reader->line_counted_bytes++)
    if (reader->text[reader->line_counted_bytes] == '\n')
      reader->line++;
  return reader->line;
}

/* Writes the path of the current position, such as "limits.max_waiting".  */
static void
write_path (const reader_t *reader, char path[PATH_BYTES_MAX])
{
  size_t used = 0;
  int i;

  path[0] = '\0';
  for (i = 0; i < reader->depth && used < PATH_BYTES_MAX; i++)
    {
      const level_t *level = &reader->levels[i];
      size_t free_bytes = PATH_BYTES_MAX - used;

      if (json_object_is_type (level->container, json_type_array))
        used += snprintf (path + used, free_bytes, "[%zu]",
                          json_object_array_length (level->container));
      else if (level->key[0] != '\0')
        used += snprintf (path + used, free_bytes, "%s%s",
                          used == 0 ? "" : ".", level->key);
    }
}

static void
add_fault_at_position (reader_t *reader, const char *text)
{
  char path[PATH_BYTES_MAX];

  write_path (reader, path);
  csp_add_fault (reader->faults, reader->where, path,
                 get_current_line (reader), "%s", text);
}

static int
fail_at_position (reader_t *reader, const char *text)
{
  add_fault_at_position (reader, text);
  reader->own_fault_added = 1;
  return 0;
}

static int
store_value (reader_t *reader, struct json_object *value)
{
  level_t *level;

  if (value != NULL)
    json_object_set_userdata (
        value, (void *)(intptr_t)get_current_line (reader), NULL);
  if (reader->depth == 0)
    {
      reader->root = value;
      return 1;
    }
  level = &reader->levels[reader->depth - 1];
  if (json_object_is_type (level->container, json_type_array))
    json_object_array_add (level->container, value);
  else
    json_object_object_add (level->container, level->key, value);
  return 1;
}

static int
push_container (reader_t *reader, struct json_object *container)
{
  store_value (reader, container);
  if (reader->depth == CSP_JSON_DEPTH_MAX)
    return fail_at_position (reader,
                             "nested too deeply; 32 levels are allowed");
  reader->levels[reader->depth].container = container;
  reader->levels[reader->depth].key[0] = '\0';
  reader->depth++;
  return 1;
}

static int
on_null (void *context)
{
  return store_value (context, NULL);
}

static int
on_boolean (void *context, int value)
{
  return store_value (context, json_object_new_boolean (value));
}

static int
on_integer (void *context, long long value)
{
  return store_value (context, json_object_new_int64 (value));
}

static int
on_double (void *context, double value)
{
  return store_value (context, json_object_new_double (value));
}

/* Refuses strings with an embedded NUL: C code would truncate them, and two
   names that differ for the platform would be equal on this host.  */
static int
on_string (void *context, const unsigned char *text, size_t size_bytes)
{
  reader_t *reader = context;

  if (memchr (text, '\0', size_bytes) != NULL)
    return fail_at_position (reader, "a string must not contain \\u0000");
  return store_value (reader, json_object_new_string_len ((const char *)text,
                                                          (int)size_bytes));
}

static int
on_key (void *context, const unsigned char *text, size_t size_bytes)
{
  reader_t *reader = context;
  level_t *level = &reader->levels[reader->depth - 1];

  level->key[0] = '\0';
  if (size_bytes >= KEY_BYTES_MAX || memchr (text, '\0', size_bytes) != NULL)
    return fail_at_position (reader,
                             "a key must be shorter than 256 bytes and must "
                             "not contain \\u0000");
  memcpy (level->key, text, size_bytes);
  level->key[size_bytes] = '\0';
  if (json_object_object_get_ex (level->container, level->key, NULL))
    add_fault_at_position (reader, "key stands twice; it is allowed once");
  return 1;
}

static int
on_open_map (void *context)
{
  return push_container (context, json_object_new_object ());
}

static int
on_open_array (void *context)
{
  return push_container (context, json_object_new_array ());
}

static int
on_close (void *context)
{
  reader_t *reader = context;

  reader->depth--;
  return 1;
}

static const yajl_callbacks callbacks
    = { on_null,     on_boolean, on_integer, on_double,     NULL,    on_string,
        on_open_map, on_key,     on_close,   on_open_array, on_close };

static void
add_parser_fault (reader_t *reader)
{
  unsigned char *text = yajl_get_error (reader->parser, 0, NULL, 0);

  text[strcspn ((char *)text, "\n")] = '\0';
  csp_add_fault (reader->faults, reader->where, "", get_current_line (reader),
                 "%s; JSON with comments is allowed", (char *)text);
  yajl_free_error (reader->parser, text);
}

static void
fail_parse (reader_t *reader)
{
  if (!reader->own_fault_added)
    add_parser_fault (reader);
  json_object_put (reader->root);
  reader->root = NULL;
}

struct json_object *
csp_read_json_with_duplicates (const char *where, const char *text,
                               size_t size_bytes, csp_faults_t *faults)
{
  reader_t reader = { .where = where,
                      .text = text,
                      .size_bytes = size_bytes,
                      .faults = faults,
                      .line = 1 };
  yajl_status status;

  reader.parser = yajl_alloc (&callbacks, NULL, &reader);
  if (reader.parser == NULL)
    abort ();
  yajl_config (reader.parser, yajl_allow_comments, 1);
  status = yajl_parse (reader.parser, (const unsigned char *)text, size_bytes);
  if (status == yajl_status_ok)
    {
      reader.fully_parsed = 1;
      status = yajl_complete_parse (reader.parser);
    }
  if (status != yajl_status_ok)
    fail_parse (&reader);
  else if (reader.root == NULL)
    add_fault_at_position (&reader, "null is not allowed here");
  yajl_free (reader.parser);
  return reader.root;
}

struct json_object *
csp_read_json (const char *where, const char *text, size_t size_bytes,
               csp_faults_t *faults)
{
  csp_faults_t *used_faults = faults == NULL ? csp_create_faults () : faults;
  size_t count_before = csp_count_faults (used_faults);
  struct json_object *root
      = csp_read_json_with_duplicates (where, text, size_bytes, used_faults);

  if (csp_count_faults (used_faults) != count_before)
    {
      json_object_put (root);
      root = NULL;
    }
  if (faults == NULL)
    csp_destroy_faults (used_faults);
  return root;
}

int
csp_json_line (struct json_object *value)
{
  if (value == NULL)
    return 0;
  return (int)(intptr_t)json_object_get_userdata (value);
}

char *
csp_read_text_file (const char *path, size_t size_max, size_t *size_bytes,
                    csp_faults_t *faults)
{
  FILE *file = fopen (path, "rb");
  char *text = malloc (size_max + 1);

  if (text == NULL)
    abort ();
  if (file == NULL)
    {
      csp_add_fault (faults, path, "", 0, "can't be opened: %m");
      goto fail;
    }
  *size_bytes = fread (text, 1, size_max + 1, file);
  if (ferror (file))
    {
      csp_add_fault (faults, path, "", 0, "can't be read: %m");
      goto fail;
    }
  if (*size_bytes > size_max)
    {
      csp_add_fault (faults, path, "", 0,
                     "is larger than the %zu bytes allowed", size_max);
      goto fail;
    }
  fclose (file);
  return text;

fail:
  if (file != NULL)
    fclose (file);
  free (text);
  return NULL;
}
