#include "cowslipspoke/mirror.h"

#include "cowslipspoke/text.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INITIAL_CAPACITY = 32
};

/* An item, and whether the listing in progress holds it.  */
typedef struct
{
  csp_mirror_item_t item;
  bool listed;
} entry_t;

struct csp_mirror
{
  const csp_mirror_events_t *events;
  void *state;
  entry_t **entries;
  size_t count;
  size_t capacity;
  size_t removed_count;
  int64_t revision;
  /* Removals up to this revision may have been dropped.  */
  int64_t dropped_revision;
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

static void
destroy_entry (entry_t *entry)
{
  free (entry->item.value);
  free (entry);
}

void
csp_destroy_mirror (csp_mirror_t *mirror)
{
  size_t i;

  if (mirror == NULL)
    return;
  for (i = 0; i < mirror->count; i++)
    destroy_entry (mirror->entries[i]);
  free (mirror->entries);
  free (mirror);
}

static entry_t *
find_entry (const csp_mirror_t *mirror, const char *key)
{
  size_t i;

  for (i = 0; i < mirror->count; i++)
    if (strcmp (mirror->entries[i]->item.key, key) == 0)
      return mirror->entries[i];
  return NULL;
}

/* NULL when memory fails or the key is too long.  */
static entry_t *
add_entry (csp_mirror_t *mirror, const char *key)
{
  entry_t *entry;

  if (strlen (key) >= CSP_MIRROR_KEY_BYTES)
    return NULL;
  if (mirror->count == mirror->capacity)
    {
      size_t capacity
          = mirror->capacity == 0 ? INITIAL_CAPACITY : mirror->capacity * 2;
      entry_t **grown
          = realloc (mirror->entries, capacity * sizeof *mirror->entries);

      if (grown == NULL)
        return NULL;
      mirror->entries = grown;
      mirror->capacity = capacity;
    }
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  csp_copy_text (entry->item.key, sizeof entry->item.key, key);
  mirror->entries[mirror->count++] = entry;
  return entry;
}

/* Removals accumulate as targets come and go.  Drop the older half of them; a
   follower that is further behind gets all items.  */
static void
drop_old_removals (csp_mirror_t *mirror)
{
  size_t drop = mirror->removed_count / 2;
  size_t kept = 0;
  size_t i;

  if (mirror->removed_count <= CSP_MIRROR_REMOVED_MAX)
    return;
  for (i = 0; i < mirror->count; i++)
    {
      entry_t *entry = mirror->entries[i];

      if (entry->item.value != NULL || drop == 0)
        {
          mirror->entries[kept++] = entry;
          continue;
        }
      drop--;
      mirror->removed_count--;
      if (entry->item.revision > mirror->dropped_revision)
        mirror->dropped_revision = entry->item.revision;
      destroy_entry (entry);
    }
  mirror->count = kept;
}

/* A new value for an item; the mirror owns it from now on.  */
static void
set_value (csp_mirror_t *mirror, entry_t *entry, char *value, int64_t revision)
{
  csp_mirror_item_t *item = &entry->item;
  char *old = item->value;

  if (item->revision != 0 && old == NULL)
    mirror->removed_count--;
  if (value == NULL)
    mirror->removed_count++;
  item->value = value;
  item->revision = revision;
  free (old);
}

bool
csp_put_mirror_item (csp_mirror_t *mirror, const char *key, const char *value,
                     int64_t revision)
{
  entry_t *entry = find_entry (mirror, key);
  char *copy = NULL;

  if (entry != NULL)
    entry->listed = true;
  if (entry != NULL && revision <= entry->item.revision)
    return false;
  if (value != NULL)
    {
      copy = strdup (value);
      if (copy == NULL)
        return false;
    }
  if (entry == NULL)
    entry = add_entry (mirror, key);
  if (entry == NULL)
    {
      free (copy);
      return false;
    }
  entry->listed = true;
  set_value (mirror, entry, copy, revision);
  if (mirror->events->item_changed != NULL)
    mirror->events->item_changed (mirror->state, &entry->item);
  drop_old_removals (mirror);
  return true;
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
    if (has_prefix (&mirror->entries[i]->item, prefix))
      mirror->entries[i]->listed = false;
}

/* The next live item up to a revision that the listing doesn't hold; NULL if
   there is none.  */
static const csp_mirror_item_t *
find_unlisted (const csp_mirror_t *mirror, const char *prefix, int64_t as_of)
{
  size_t i;

  for (i = 0; i < mirror->count; i++)
    {
      const entry_t *entry = mirror->entries[i];

      if (!entry->listed && entry->item.value != NULL
          && entry->item.revision <= as_of
          && has_prefix (&entry->item, prefix))
        return &entry->item;
    }
  return NULL;
}

void
csp_end_mirror_listing (csp_mirror_t *mirror, const char *prefix,
                        int64_t as_of)
{
  const csp_mirror_item_t *item;
  char key[CSP_MIRROR_KEY_BYTES];

  while ((item = find_unlisted (mirror, prefix, as_of)) != NULL)
    {
      csp_copy_text (key, sizeof key, item->key);
      /* The item's removal has a later revision than the item, by at least
         one.  */
      csp_put_mirror_item (mirror, key, NULL,
                           item->revision < as_of ? as_of
                                                  : item->revision + 1);
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
csp_encode_mirror (const csp_mirror_t *mirror, int64_t after,
                   const csp_mirror_status_t *status, csp_buffer_t *text)
{
  bool whole = after <= 0 || after < mirror->dropped_revision;
  json_object *object = json_object_new_object ();
  json_object *items = json_object_new_array ();
  const char *json;
  size_t i;
  bool good;

  for (i = 0; i < mirror->count; i++)
    if (whole ? mirror->entries[i]->item.value != NULL
              : mirror->entries[i]->item.revision > after)
      json_object_array_add (items, encode_item (&mirror->entries[i]->item));
  json_object_object_add (object, "as_of",
                          json_object_new_int64 (mirror->revision));
  json_object_object_add (object, "settled",
                          json_object_new_boolean (status->settled));
  json_object_object_add (object, "lapsing",
                          json_object_new_boolean (status->lapsing));
  json_object_object_add (object, "age_ms",
                          json_object_new_int64 (status->age_ms));
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
decode_flag (json_object *object, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value)
         && json_object_get_boolean (value);
}

/* An answer without an age counts as current.  */
static void
decode_status (json_object *object, csp_mirror_status_t *status)
{
  json_object *age = NULL;
  int64_t age_ms = 0;

  if (json_object_object_get_ex (object, "age_ms", &age))
    age_ms = json_object_get_int64 (age);
  if (age_ms < 0 || age_ms > UINT32_MAX)
    age_ms = UINT32_MAX;
  status->settled = decode_flag (object, "settled");
  status->lapsing = decode_flag (object, "lapsing");
  status->age_ms = (uint32_t)age_ms;
}

bool
csp_decode_mirror (csp_mirror_t *mirror, const char *text,
                   csp_mirror_status_t *status, int64_t *as_of)
{
  json_object *object = json_tokener_parse (text);
  json_object *items = NULL;
  json_object *revision = NULL;
  bool good = json_object_object_get_ex (object, "items", &items)
              && json_object_is_type (items, json_type_array)
              && json_object_object_get_ex (object, "as_of", &revision)
              && decode_flag (object, "settled");

  if (good)
    {
      decode_status (object, status);
      if (status->lapsing && mirror->events->rows_may_lapse != NULL)
        mirror->events->rows_may_lapse (mirror->state);
      *as_of = json_object_get_int64 (revision);
      /* A listing that is older than what is known removes nothing.  */
      if (decode_flag (object, "whole") && *as_of >= mirror->revision)
        {
          csp_begin_mirror_listing (mirror, "");
          put_items (mirror, items);
          csp_end_mirror_listing (mirror, "", *as_of);
        }
      else
        {
          put_items (mirror, items);
          csp_note_mirror_revision (mirror, *as_of);
        }
    }
  json_object_put (object);
  return good;
}
