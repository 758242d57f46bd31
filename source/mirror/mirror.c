#include "cowslipspoke/mirror.h"

#include "base/array-imp.h"
#include "base/index-imp.h"
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
  csp_index_node_t by_key;
} entry_t;

struct csp_mirror
{
  const csp_mirror_events_t *events;
  void *state;
  entry_t **entries;
  size_t count;
  size_t capacity;
  csp_index_t by_key;
  size_t removed_count;
  int64_t revision;
  /* Removals up to this revision may have been dropped.  */
  int64_t dropped_revision;
  /* Items may have come and gone unseen between these revisions: what was
     known before the last listing, and that of the listing.  */
  int64_t unseen_after;
  int64_t unseen_before;
};

csp_mirror_t *
csp_create_mirror (const csp_mirror_events_t *events, void *state)
{
  csp_mirror_t *mirror = calloc (1, sizeof *mirror);

  if (mirror == NULL)
    return NULL;
  mirror->events = events;
  mirror->state = state;
  if (csp_open_index (&mirror->by_key, INITIAL_CAPACITY) == 0)
    return mirror;
  free (mirror);
  return NULL;
}

static void
destroy_entry (csp_mirror_t *mirror, entry_t *entry)
{
  csp_remove_from_index (&mirror->by_key, &entry->by_key);
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
    destroy_entry (mirror, mirror->entries[i]);
  csp_close_index (&mirror->by_key);
  free (mirror->entries);
  free (mirror);
}

static entry_t *
find_entry (const csp_mirror_t *mirror, const char *key)
{
  csp_index_node_t *node
      = csp_find_in_index (&mirror->by_key, csp_mix_name (key));

  for (; node != NULL; node = csp_find_next_in_index (node))
    {
      entry_t *entry = CSP_INDEX_ENTRY (node, entry_t, by_key);

      if (strcmp (entry->item.key, key) == 0)
        return entry;
    }
  return NULL;
}

/* NULL when memory fails or the key is too long.  */
static entry_t *
add_entry (csp_mirror_t *mirror, const char *key)
{
  entry_t **entries;
  entry_t *entry;

  if (strlen (key) >= CSP_MIRROR_KEY_BYTES)
    return NULL;
  entries = csp_grow_array (mirror->entries, mirror->count, &mirror->capacity,
                            sizeof (entry_t *));
  if (entries == NULL)
    return NULL;
  mirror->entries = entries;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  csp_copy_text (entry->item.key, sizeof entry->item.key, key);
  csp_add_to_index (&mirror->by_key, &entry->by_key, csp_mix_name (key));
  mirror->entries[mirror->count++] = entry;
  return entry;
}

/* Removals accumulate as targets come and go.  Those up to a revision are
   dropped; a follower that is further behind gets all items.  */
static void
drop_removals_up_to (csp_mirror_t *mirror, int64_t revision)
{
  size_t kept = 0;
  size_t i;

  for (i = 0; i < mirror->count; i++)
    {
      entry_t *entry = mirror->entries[i];

      if (entry->item.value != NULL || entry->item.revision > revision)
        {
          mirror->entries[kept++] = entry;
          continue;
        }
      mirror->removed_count--;
      destroy_entry (mirror, entry);
    }
  mirror->count = kept;
  if (revision > mirror->dropped_revision)
    mirror->dropped_revision = revision;
}

static int
compare_revisions (const void *a, const void *b)
{
  int64_t first = *(const int64_t *)a;
  int64_t second = *(const int64_t *)b;

  return (first > second) - (first < second);
}

/* The revision up to which half of the removals happened; 0 when memory
   fails.  */
static int64_t
find_median_removal (const csp_mirror_t *mirror)
{
  int64_t *revisions = calloc (mirror->removed_count, sizeof *revisions);
  int64_t median = 0;
  size_t count = 0;
  size_t i;

  if (revisions == NULL)
    return 0;
  for (i = 0; i < mirror->count; i++)
    if (mirror->entries[i]->item.value == NULL)
      revisions[count++] = mirror->entries[i]->item.revision;
  qsort (revisions, count, sizeof *revisions, compare_revisions);
  median = revisions[count / 2];
  free (revisions);
  return median;
}

/* Removals are kept until they outnumber the live items: from then on all
   items are the shorter answer.  */
static void
drop_old_removals (csp_mirror_t *mirror)
{
  size_t live_count = mirror->count - mirror->removed_count;
  size_t max_count = live_count > CSP_MIRROR_REMOVED_MIN
                         ? live_count
                         : CSP_MIRROR_REMOVED_MIN;

  if (mirror->removed_count > max_count)
    drop_removals_up_to (mirror, find_median_removal (mirror));
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

/* As csp_put_mirror_item, but keeps all removals.  */
static bool
put_item (csp_mirror_t *mirror, const char *key, const char *value,
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
  return true;
}

bool
csp_put_mirror_item (csp_mirror_t *mirror, const char *key, const char *value,
                     int64_t revision)
{
  if (!put_item (mirror, key, value, revision))
    return false;
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

/* Whether an item is live and the listing, as of that revision, lacks it.  */
static bool
is_unlisted (const entry_t *entry, const char *prefix, int64_t as_of)
{
  return !entry->listed && entry->item.value != NULL
         && entry->item.revision <= as_of && has_prefix (&entry->item, prefix);
}

/* A follower that knows items which came and went unseen here can't be told of
   their removal.  */
static void
note_unseen_changes (csp_mirror_t *mirror, int64_t as_of)
{
  if (as_of <= mirror->revision)
    return;
  if (mirror->unseen_before > mirror->dropped_revision)
    mirror->dropped_revision = mirror->unseen_before;
  mirror->unseen_after = mirror->revision;
  mirror->unseen_before = as_of;
}

void
csp_end_mirror_listing (csp_mirror_t *mirror, const char *prefix,
                        int64_t as_of)
{
  size_t i;

  for (i = 0; i < mirror->count; i++)
    {
      const csp_mirror_item_t *item = &mirror->entries[i]->item;

      /* The item's removal has a later revision than the item, by at least
         one.  */
      if (is_unlisted (mirror->entries[i], prefix, as_of))
        put_item (mirror, item->key, NULL,
                  item->revision < as_of ? as_of : item->revision + 1);
    }
  drop_old_removals (mirror);
  note_unseen_changes (mirror, as_of);
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
csp_needs_whole_mirror (const csp_mirror_t *mirror, int64_t after)
{
  return after <= 0 || after < mirror->dropped_revision
         || (after > mirror->unseen_after && after < mirror->unseen_before);
}

bool
csp_encode_mirror (const csp_mirror_t *mirror, int64_t after,
                   const csp_mirror_status_t *status, csp_buffer_t *text)
{
  bool whole = csp_needs_whole_mirror (mirror, after);
  json_object *object = json_object_new_object ();
  json_object *items = json_object_new_array ();
  const char *json;
  size_t i;
  bool good;

  /* A receiver ignores the items of a host that isn't settled.  */
  for (i = 0; status->settled && i < mirror->count; i++)
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
