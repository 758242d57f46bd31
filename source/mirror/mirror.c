#include "cowslipspoke/mirror.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

struct csp_mirror
{
  const csp_mirror_events_t *events;
  void *state;
  csp_mirror_item_t *items;
  bool *seen; /* in the listing that is being put, beside each item */
  size_t count;
  size_t room;
  size_t removed;
  int64_t revision;
  /* Removals up to this revision may have been forgotten.  */
  int64_t forgotten;
};

csp_mirror_t *
csp_create_mirror (const csp_mirror_events_t *events, void *state)
{
  csp_mirror_t *mirror = calloc (1, sizeof *mirror);

  if (mirror == NULL)
    return NULL;
  mirror->events = events;
  mirror->state = state;
  return mirror;
}

void
csp_destroy_mirror (csp_mirror_t *mirror)
{
  size_t i;

  if (mirror == NULL)
    return;
  for (i = 0; i < mirror->count; i++)
    free (mirror->items[i].value);
  free (mirror->items);
  free (mirror->seen);
  free (mirror);
}

static size_t
find_item (const csp_mirror_t *mirror, const char *key)
{
  size_t i;

  for (i = 0; i < mirror->count; i++)
    if (strcmp (mirror->items[i].key, key) == 0)
      break;
  return i;
}

static bool
grow (csp_mirror_t *mirror)
{
  size_t room = mirror->room == 0 ? 32 : mirror->room * 2;
  csp_mirror_item_t *items;
  bool *seen;

  if (mirror->count < mirror->room)
    return true;
  items = realloc (mirror->items, room * sizeof *items);
  if (items == NULL)
    return false;
  mirror->items = items;
  seen = realloc (mirror->seen, room * sizeof *seen);
  if (seen == NULL)
    return false;
  mirror->seen = seen;
  mirror->room = room;
  return true;
}

/* Removals pile up as targets come and go; the older half is forgotten, and
   who is behind that reads everything anew.  */
static void
forget_removed (csp_mirror_t *mirror)
{
  size_t kept = 0;
  size_t drop = mirror->removed / 2;
  size_t i;

  if (mirror->removed <= CSP_MIRROR_REMOVED_MAX)
    return;
  for (i = 0; i < mirror->count; i++)
    {
      if (mirror->items[i].value == NULL && drop > 0)
        {
          drop--;
          mirror->removed--;
          if (mirror->items[i].revision > mirror->forgotten)
            mirror->forgotten = mirror->items[i].revision;
          continue;
        }
      mirror->items[kept] = mirror->items[i];
      mirror->seen[kept] = mirror->seen[i];
      kept++;
    }
  mirror->count = kept;
}

bool
csp_put_mirror_item (csp_mirror_t *mirror, const char *key, const char *value,
                     int64_t revision)
{
  size_t at = find_item (mirror, key);
  csp_mirror_item_t *item;
  char *old;
  char *copy = value == NULL ? NULL : strdup (value);

  if ((value != NULL && copy == NULL) || strlen (key) >= CSP_MIRROR_KEY_BYTES)
    goto refuse;
  if (at < mirror->count)
    {
      mirror->seen[at] = true;
      if (revision <= mirror->items[at].revision)
        goto refuse;
    }
  else if (!grow (mirror))
    goto refuse;
  else
    {
      memset (&mirror->items[at], 0, sizeof mirror->items[at]);
      strncpy (mirror->items[at].key, key, CSP_MIRROR_KEY_BYTES - 1);
      mirror->seen[at] = true;
      mirror->count++;
    }
  item = &mirror->items[at];
  mirror->removed += value == NULL;
  mirror->removed -= item->revision != 0 && item->value == NULL;
  old = item->value;
  item->value = copy;
  free (old);
  item->revision = revision;
  if (revision > mirror->revision)
    mirror->revision = revision;
  if (mirror->events->changed != NULL)
    mirror->events->changed (mirror->state, item);
  forget_removed (mirror);
  return true;

refuse:
  free (copy);
  return false;
}

static bool
has_prefix (const csp_mirror_item_t *item, const char *prefix)
{
  return strncmp (item->key, prefix, strlen (prefix)) == 0;
}

void
csp_begin_mirror_listing (csp_mirror_t *mirror, const char *prefix)
{
  size_t i;

  for (i = 0; i < mirror->count; i++)
    if (has_prefix (&mirror->items[i], prefix))
      mirror->seen[i] = false;
  if (mirror->events->listing_began != NULL)
    mirror->events->listing_began (mirror->state, prefix);
}

void
csp_end_mirror_listing (csp_mirror_t *mirror, const char *prefix,
                        int64_t as_of)
{
  size_t i = 0;

  while (i < mirror->count)
    {
      csp_mirror_item_t *item = &mirror->items[i];
      size_t before = mirror->count;
      char key[CSP_MIRROR_KEY_BYTES];

      if (has_prefix (item, prefix) && !mirror->seen[i] && item->value != NULL
          && item->revision <= as_of)
        {
          memcpy (key, item->key, sizeof key);
          csp_put_mirror_item (mirror, key, NULL, as_of);
          mirror->seen[i] = true;
        }
      /* Forgetting shifts the items; begin again, as those that are left are
         either seen or removed.  */
      i = mirror->count < before ? 0 : i + 1;
    }
  csp_note_mirror_revision (mirror, as_of);
  if (mirror->events->listing_ended != NULL)
    mirror->events->listing_ended (mirror->state, prefix);
}

void
csp_note_mirror_revision (csp_mirror_t *mirror, int64_t revision)
{
  if (revision > mirror->revision)
    mirror->revision = revision;
}

int64_t
csp_mirror_revision (const csp_mirror_t *mirror)
{
  return mirror->revision;
}

static json_object *
encode_item (const csp_mirror_item_t *item)
{
  json_object *object = json_object_new_object ();

  json_object_object_add (object, "key", json_object_new_string (item->key));
  json_object_object_add (object, "revision",
                          json_object_new_int64 (item->revision));
  if (item->value != NULL)
    json_object_object_add (object, "value",
                            json_object_new_string (item->value));
  return object;
}

bool
csp_encode_mirror (const csp_mirror_t *mirror, int64_t after, bool settled,
                   csp_buffer_t *text)
{
  bool whole = after <= 0 || after < mirror->forgotten;
  json_object *object = json_object_new_object ();
  json_object *items = json_object_new_array ();
  const char *json;
  size_t i;
  bool good;

  for (i = 0; i < mirror->count; i++)
    if (whole ? mirror->items[i].value != NULL
              : mirror->items[i].revision > after)
      json_object_array_add (items, encode_item (&mirror->items[i]));
  json_object_object_add (object, "as_of",
                          json_object_new_int64 (mirror->revision));
  json_object_object_add (object, "settled",
                          json_object_new_boolean (settled));
  json_object_object_add (object, "whole", json_object_new_boolean (whole));
  json_object_object_add (object, "items", items);
  json = json_object_to_json_string_ext (
      object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
  good = json != NULL && csp_append_buffer (text, json, strlen (json));
  json_object_put (object);
  return good;
}

static void
put_items (csp_mirror_t *mirror, json_object *items)
{
  size_t count = json_object_array_length (items);
  size_t i;

  for (i = 0; i < count; i++)
    {
      json_object *item = json_object_array_get_idx (items, i);
      json_object *key = NULL;
      json_object *value = NULL;
      json_object *revision = NULL;

      if (!json_object_object_get_ex (item, "key", &key)
          || !json_object_is_type (key, json_type_string)
          || !json_object_object_get_ex (item, "revision", &revision))
        continue;
      json_object_object_get_ex (item, "value", &value);
      csp_put_mirror_item (mirror, json_object_get_string (key),
                           value == NULL ? NULL
                                         : json_object_get_string (value),
                           json_object_get_int64 (revision));
    }
}

static bool
flag_of (json_object *object, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value)
         && json_object_get_boolean (value);
}

bool
csp_decode_mirror (csp_mirror_t *mirror, const char *text, int64_t *as_of)
{
  json_object *object = json_tokener_parse (text);
  json_object *items = NULL;
  json_object *revision = NULL;
  bool good = json_object_object_get_ex (object, "items", &items)
              && json_object_is_type (items, json_type_array)
              && json_object_object_get_ex (object, "as_of", &revision)
              && flag_of (object, "settled");

  if (good)
    {
      *as_of = json_object_get_int64 (revision);
      /* A listing that is older than what is known removes nothing.  */
      if (flag_of (object, "whole") && *as_of >= mirror->revision)
        {
          csp_begin_mirror_listing (mirror, "");
          put_items (mirror, items);
          csp_end_mirror_listing (mirror, "", *as_of);
        }
      else
        put_items (mirror, items);
    }
  json_object_put (object);
  return good;
}
