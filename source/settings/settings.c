#include "json/json-reader-imp.h"
#include "settings/settings-imp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SETTINGS_FILE_BYTES_MAX = 1048576,
  /* A host is suspected after three lost heartbeats at the earliest: with
     fewer, a single lost packet could move the ownership of targets.  */
  HEARTBEATS_BEFORE_SUSPICION = 3
};

void
csp_set_default_settings (csp_settings_t *settings)
{
  memset (settings, 0, sizeof *settings);
  csp_set_default_fields (csp_settings_table, settings);
}

/* Reads the table's keys as optional and without defaults: csp_check_settings
   checks the required keys after the command line is read, and keys that are
   missing in the file keep their present values.  */
static void
read_optional_rows (csp_json_position_t *position, struct json_object *root,
                    csp_settings_t *settings)
{
  csp_field_t rows[CSP_SETTINGS_MAX];
  size_t i;

  for (i = 0; csp_settings_table[i].name != NULL; i++)
    {
      rows[i] = csp_settings_table[i];
      rows[i].required = false;
      rows[i].default_setting = NULL;
    }
  rows[i] = csp_settings_table[i];
  csp_read_fields (position, rows, root, settings);
}

bool
csp_parse_settings (const char *where, const char *text, size_t size_bytes,
                    csp_settings_t *settings, csp_faults_t *faults)
{
  csp_json_position_t position = { .where = where, .faults = faults };
  size_t fault_count_before = csp_count_faults (faults);
  struct json_object *root;

  root = csp_read_json_with_duplicates (where, text, size_bytes, faults);
  if (root == NULL)
    return false;
  read_optional_rows (&position, root, settings);
  json_object_put (root);
  return csp_count_faults (faults) == fault_count_before;
}

bool
csp_load_settings_file (const char *path, csp_settings_t *settings,
                        csp_faults_t *faults)
{
  size_t size_bytes = 0;
  char *text = csp_read_text_file (path, SETTINGS_FILE_BYTES_MAX, &size_bytes,
                                   faults);
  bool valid;

  if (text == NULL)
    return false;
  valid = csp_parse_settings (path, text, size_bytes, settings, faults);
  free (text);
  return valid;
}

bool
csp_load_settings (const char *path, csp_settings_t *settings,
                   csp_faults_t *faults)
{
  bool parsed;
  bool checked;

  csp_set_default_settings (settings);
  parsed = csp_load_settings_file (path, settings, faults);
  checked = csp_check_settings (path, settings, faults);
  return parsed && checked;
}

static bool
is_unset (const csp_field_t *field, const csp_settings_t *settings)
{
  const char *member = (const char *)settings + field->offset;

  if (field->type == CSP_FIELD_U16)
    return *(const uint16_t *)member == 0;
  return member[0] == '\0';
}

static void
check_required (const char *where, const csp_settings_t *settings,
                csp_faults_t *faults)
{
  char allowed[CSP_FIELD_ALLOWED_BYTES];
  const csp_field_t *field;

  for (field = csp_settings_table; field->name != NULL; field++)
    if (field->required && is_unset (field, settings))
      {
        csp_describe_field (field, allowed);
        csp_add_fault (faults, where, field->name, 0,
                       "is missing or empty; it must be %s", allowed);
      }
}

/* With only one of certificate and key the endpoint would stay unencrypted
   while the operator believes that it uses TLS.  */
static void
check_certificate_pair (const char *where, const char *name,
                        const csp_tls_settings_t *tls, csp_faults_t *faults)
{
  if ((tls->certificate_file[0] == '\0') != (tls->key_file[0] == '\0'))
    csp_add_fault (faults, where, name, 0,
                   "certificate_file and key_file must be given together");
}

static void
check_readable (const char *where, const char *path, const char *file,
                csp_faults_t *faults)
{
  FILE *stream;

  if (file[0] == '\0')
    return;
  stream = fopen (file, "rb");
  if (stream == NULL)
    csp_add_fault (faults, where, path, 0, "\"%s\" can't be opened: %m", file);
  else
    fclose (stream);
}

static void
check_tls_files (const char *where, const csp_settings_t *settings,
                 csp_faults_t *faults)
{
  csp_setting_t rows[CSP_SETTINGS_MAX];
  size_t count = csp_list_settings (rows);
  size_t i;

  check_certificate_pair (where, "caller_tls", &settings->caller_tls, faults);
  check_certificate_pair (where, "peer_tls", &settings->peer_tls, faults);
  if ((settings->peer_tls.ca_file[0] == '\0')
      != (settings->peer_tls.key_file[0] == '\0'))
    csp_add_fault (faults, where, "peer_tls", 0,
                   "ca_file must be given together with key_file");
  for (i = 0; i < count; i++)
    if (rows[i].base_offset != 0)
      check_readable (where, rows[i].path,
                      (const char *)settings + rows[i].base_offset
                          + rows[i].field->offset,
                      faults);
}

bool
csp_check_settings (const char *where, const csp_settings_t *settings,
                    csp_faults_t *faults)
{
  size_t fault_count_before = csp_count_faults (faults);

  check_required (where, settings, faults);
  check_tls_files (where, settings, faults);
  if (settings->suspect_after_ms
      < HEARTBEATS_BEFORE_SUSPICION * settings->heartbeat_interval_ms)
    csp_add_fault (faults, where, "suspect_after_ms", 0,
                   "%u is less than %d times heartbeat_interval_ms (%u)",
                   settings->suspect_after_ms, HEARTBEATS_BEFORE_SUSPICION,
                   settings->heartbeat_interval_ms);
  if (settings->drain_notice_ms >= settings->drain_limit_ms)
    csp_add_fault (faults, where, "drain_notice_ms", 0,
                   "%u is not less than drain_limit_ms (%u)",
                   settings->drain_notice_ms, settings->drain_limit_ms);
  return csp_count_faults (faults) == fault_count_before;
}
