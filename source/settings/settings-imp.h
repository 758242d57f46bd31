#ifndef CSP_SETTINGS_IMP_H
#define CSP_SETTINGS_IMP_H

#include "cowslipspoke/settings.h"
#include "fields/fields-imp.h"

/* One row per key of csp_settings_t, terminated by a row without a name.  */
extern const csp_field_t csp_settings_table[];

enum
{
  CSP_SETTING_PATH_BYTES = 64,
  CSP_SETTINGS_MAX = 64
};

/* A key that is no object, at the top level or inside an object.  */
typedef struct
{
  /* The path in the file, such as "caller_tls.key_file".  */
  char path[CSP_SETTING_PATH_BYTES];
  /* The option on the command line, such as "caller-tls-key-file".  */
  char option[CSP_SETTING_PATH_BYTES];
  const csp_field_t *field;
  /* Offset in csp_settings_t of the struct that contains the field; the
     field's own offset is relative to it.  */
  size_t base_offset;
} csp_setting_t;

/* Lists all keys that are no objects, in the order of the table.  Returns
   their number.  */
size_t csp_list_settings (csp_setting_t settings[CSP_SETTINGS_MAX]);

/* Parses a file as csp_parse_settings does, without csp_check_settings.  */
bool csp_load_settings_file (const char *path, csp_settings_t *settings,
                             csp_faults_t *faults);

#endif
