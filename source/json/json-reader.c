#include "cowslipspoke/json-reader.h"
#include "json/json-reader-imp.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <yajl/yajl_parse.h>

/* json-c, which the rest of the system uses, takes a key that stands twice
   without a word and the last one wins: an operator who edits the first of
   two sees no effect and no error.  Its parser has no hook to notice that, so
   the tree is built here from the events of yajl, which reads comments and
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
  /* The whole text was read; the parser counts no further.  */
  int ended;
  csp_faults_t *faults;
  yajl_handle parser;
  struct json_object *root;
  level_t levels[CSP_JSON_DEPTH_MAX];
  int depth;
  size_t counted_bytes;
  int line;
  /* A fault of ours was added, so that the parser's own is not.  */
  int stopped;
} reader_t;

static int
current_line (reader_t *reader)
{
  size_t consumed = reader->ended ? reader->size_bytes
                                  : yajl_get_bytes_consumed (reader->parser);

  for (; reader->counted_bytes < consumed; reader->counted_bytes++)
    if (reader->text[reader->counted_bytes] == '\n')
      reader->line++;
  return reader->line;
}

/* Path of the place that is being read, such as "limits.max_waiting".  */
static void
write_path (const reader_t *reader, char path[PATH_BYTES_MAX])
{
  size_t used = 0;
  int i;

  path[0] = '\0';
  for (i = 0; i < reader->depth && used < PATH_BYTES_MAX; i++)
    {
      const level_t *level = &reader->levels[i];
      size_t left = PATH_BYTES_MAX - used;

      if (json_object_is_type (level->container, json_type_array))
        used += snprintf (path + used, left, "[%zu]",
                          json_object_array_length (level->container));
      else if (level->key[0] != '\0')
        used += snprintf (path + used, left, "%s%s", used == 0 ? "" : ".",
                          level->key);
    }
}

static void
add_fault_here (reader_t *reader, const char *text)
{
  char path[PATH_BYTES_MAX];

  write_path (reader, path);
  csp_add_fault (reader->faults, reader->where, path, current_line (reader),
                 "%s", text);
}

static int
stop_here (reader_t *reader, const char *text)
{
  add_fault_here (reader, text);
  reader->stopped = 1;
  return 0;
}

static int
put_value (reader_t *reader, struct json_object *value)
{
  level_t *level;

  if (value != NULL)
    json_object_set_userdata (value, (void *)(intptr_t)current_line (reader),
                              NULL);
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
open_container (reader_t *reader, struct json_object *container)
{
  put_value (reader, container);
  if (reader->depth == CSP_JSON_DEPTH_MAX)
    return stop_here (reader, "nested too deeply; 32 levels are allowed");
  reader->levels[reader->depth].container = container;
  reader->levels[reader->depth].key[0] = '\0';
  reader->depth++;
  return 1;
}

static int
on_null (void *context)
{
  return put_value (context, NULL);
}

static int
on_boolean (void *context, int value)
{
  return put_value (context, json_object_new_boolean (value));
}

static int
on_integer (void *context, long long value)
{
  return put_value (context, json_object_new_int64 (value));
}

static int
on_double (void *context, double value)
{
  return put_value (context, json_object_new_double (value));
}

/* A string with a nul inside would be cut at it wherever C reads it, and two
   names that differ for the platform would be one here.  */
static int
on_string (void *context, const unsigned char *text, size_t size_bytes)
{
  reader_t *reader = context;

  if (memchr (text, '\0', size_bytes) != NULL)
    return stop_here (reader, "a string must not contain \\u0000");
  return put_value (reader, json_object_new_string_len ((const char *)text,
                                                        (int)size_bytes));
}

static int
on_key (void *context, const unsigned char *text, size_t size_bytes)
{
  reader_t *reader = context;
  level_t *level = &reader->levels[reader->depth - 1];

  level->key[0] = '\0';
  if (size_bytes >= KEY_BYTES_MAX || memchr (text, '\0', size_bytes) != NULL)
    return stop_here (reader, "a key must be shorter than 256 bytes and must "
                              "not contain \\u0000");
  memcpy (level->key, text, size_bytes);
  level->key[size_bytes] = '\0';
  if (json_object_object_get_ex (level->container, level->key, NULL))
    add_fault_here (reader, "key stands twice; it is allowed once");
  return 1;
}

static int
on_open_map (void *context)
{
  return open_container (context, json_object_new_object ());
}

static int
on_open_array (void *context)
{
  return open_container (context, json_object_new_array ());
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
  csp_add_fault (reader->faults, reader->where, "", current_line (reader),
                 "%s; JSON with comments is allowed", (char *)text);
  yajl_free_error (reader->parser, text);
}

static void
refuse_text (reader_t *reader)
{
  if (!reader->stopped)
    add_parser_fault (reader);
  json_object_put (reader->root);
  reader->root = NULL;
}

struct json_object *
csp_read_json_tree (const char *where, const char *text, size_t size_bytes,
                    csp_faults_t *faults)
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
      reader.ended = 1;
      status = yajl_complete_parse (reader.parser);
    }
  if (status != yajl_status_ok)
    refuse_text (&reader);
  else if (reader.root == NULL)
    add_fault_here (&reader, "null is not allowed here");
  yajl_free (reader.parser);
  return reader.root;
}

struct json_object *
csp_read_json (const char *where, const char *text, size_t size_bytes,
               csp_faults_t *faults)
{
  csp_faults_t *own = faults == NULL ? csp_create_faults () : faults;
  size_t before = csp_count_faults (own);
  struct json_object *root = csp_read_json_tree (where, text, size_bytes, own);

  if (csp_count_faults (own) != before)
    {
      json_object_put (root);
      root = NULL;
    }
  if (faults == NULL)
    csp_destroy_faults (own);
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
