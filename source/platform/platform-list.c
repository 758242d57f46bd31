#include "platform/platform-json-imp.h"

#include <stdlib.h>
#include <string.h>

static bool
read_port (const csp_json_row_t *row, const char *member, uint16_t *port)
{
  int64_t number;

  if (!csp_read_number (row, member, 1, UINT16_MAX, &number))
    return false;
  *port = (uint16_t)number;
  return true;
}

static bool
read_state (const csp_json_row_t *row, csp_member_state_t *state)
{
  bool leaving;

  if (!csp_read_choice (row, "state", "live", "leaving", &leaving))
    return false;
  *state = leaving ? CSP_MEMBER_LEAVING : CSP_MEMBER_LIVE;
  return true;
}

static bool
read_host (const csp_json_row_t *row, csp_listed_host_t *host)
{
  return csp_read_string (row, "name", host->name, sizeof host->name)
         && csp_read_string (row, "region", host->region, sizeof host->region)
         && csp_read_string (row, "data_centre", host->data_centre,
                             sizeof host->data_centre)
         && csp_read_string (row, "address", host->address,
                             sizeof host->address)
         && read_port (row, "http_port", &host->http_port)
         && read_port (row, "peer_port", &host->peer_port)
         && read_state (row, &host->state);
}

static bool
read_target (const csp_json_row_t *row, csp_listed_target_t *target)
{
  bool service = false;

  if (!csp_read_string (row, "name", target->name, sizeof target->name)
      || !csp_read_string (row, "data_centre", target->data_centre,
                           sizeof target->data_centre)
      || !csp_read_string (row, "address", target->address,
                           sizeof target->address)
      || !csp_read_string (row, "pool", target->pool, sizeof target->pool)
      || !read_port (row, "port", &target->port)
      || !csp_read_choice (row, "kind", "engine", "service", &service)
      || !read_state (row, &target->state))
    return false;
  target->kind = service ? CSP_TARGET_SERVICE : CSP_TARGET_ENGINE;
  /* Only engines are sent orders, so a service may omit the member.  */
  if (json_object_object_get_ex (row->object, "checks_fence", NULL))
    return csp_read_bool (row, "checks_fence", &target->checks_fence);
  return service || csp_fail_row (row, "checks_fence", "is missing");
}

static int
compare_name_pointers (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* Two rows with the same name would be treated as two hosts or targets.  */
static bool
check_names_unique (const csp_json_row_t *row, const void *rows, size_t count,
                    size_t row_bytes)
{
  const char **names;
  bool unique = true;
  size_t i;

  if (count < 2)
    return true;
  names = malloc (count * sizeof *names);
  if (names == NULL)
    return csp_fail_row (row, "name", "out of memory");
  for (i = 0; i < count; i++)
    names[i] = (const char *)rows + i * row_bytes;
  qsort (names, count, sizeof *names, compare_name_pointers);
  for (i = 1; i < count && unique; i++)
    unique = strcmp (names[i - 1], names[i]) != 0;
  free (names);
  return unique || csp_fail_row (row, "name", "stands twice");
}

static bool
read_hosts (const csp_json_row_t *document, csp_host_list_t *list)
{
  csp_json_row_t row = { NULL, "hosts", 0, document->error };
  struct json_object *array;

  if (!csp_read_array (document, "hosts", CSP_MAX_HOSTS, &array))
    return false;
  list->host_count = json_object_array_length (array);
  list->hosts = calloc (list->host_count + 1, sizeof *list->hosts);
  if (list->hosts == NULL)
    return csp_fail_row (document, "hosts", "out of memory");
  for (row.index = 0; row.index < list->host_count; row.index++)
    {
      row.object = json_object_array_get_idx (array, row.index);
      if (!read_host (&row, &list->hosts[row.index]))
        return false;
    }
  return check_names_unique (&row, list->hosts, list->host_count,
                             sizeof *list->hosts);
}

static bool
read_targets (const csp_json_row_t *document, csp_host_list_t *list)
{
  csp_json_row_t row = { NULL, "targets", 0, document->error };
  struct json_object *array;

  if (!csp_read_array (document, "targets", CSP_MAX_TARGETS, &array))
    return false;
  list->target_count = json_object_array_length (array);
  list->targets = calloc (list->target_count + 1, sizeof *list->targets);
  if (list->targets == NULL)
    return csp_fail_row (document, "targets", "out of memory");
  for (row.index = 0; row.index < list->target_count; row.index++)
    {
      row.object = json_object_array_get_idx (array, row.index);
      if (!read_target (&row, &list->targets[row.index]))
        return false;
    }
  return check_names_unique (&row, list->targets, list->target_count,
                             sizeof *list->targets);
}

bool
csp_parse_host_list (const char *text, size_t size_bytes,
                     csp_host_list_t **list, csp_error_t *error)
{
  csp_json_row_t document = { NULL, "list", 0, error };
  csp_host_list_t *parsed = calloc (1, sizeof *parsed);
  bool valid = false;

  *list = NULL;
  document.object = csp_parse_json_object (text, size_bytes, error);
  if (document.object == NULL)
    goto out;
  if (parsed == NULL)
    {
      csp_fail_row (&document, "hosts", "out of memory");
      goto out;
    }
  valid = csp_read_number (&document, "version", 0, INT64_MAX - 1,
                           &parsed->version)
          && read_hosts (&document, parsed)
          && read_targets (&document, parsed);
out:
  json_object_put (document.object);
  if (valid)
    *list = parsed;
  else
    csp_destroy_host_list (parsed);
  return valid;
}

void
csp_destroy_host_list (csp_host_list_t *list)
{
  if (list == NULL)
    return;
  free (list->hosts);
  free (list->targets);
  free (list);
}
