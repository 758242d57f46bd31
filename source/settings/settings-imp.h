#ifndef CSP_SETTINGS_IMP_H
#define CSP_SETTINGS_IMP_H

#include "cowslipspoke/settings.h"
#include "fields/fields-imp.h"

/* One row a key of csp_settings_t; ended by a row without a name.  */
extern const csp_field_t csp_settings_table[];

enum
{
  CSP_SETTING_PATH_BYTES = 64,
  CSP_SETTINGS_MAX = 64
};

/* A plain key, also one inside an object, with its whole path.  */
typedef struct
{
  /* As in the file: "caller_tls.key_file".  */
  char path[CSP_SETTING_PATH_BYTES];
  /* As on the command line: "caller-tls-key-file".  */
  char option[CSP_SETTING_PATH_BYTES];
  const csp_field_t *field;
  /* Offset of the struct that the field's own offset counts from.  */
  size_t base;
} csp_setting_t;

/* Write all plain keys in the table's order; returns how many.  */
size_t csp_list_settings (csp_setting_t settings[CSP_SETTINGS_MAX]);

/* Read a file over the settings, without csp_check_settings.  */
bool csp_load_settings_file (const char *path, csp_settings_t *settings,
                             csp_faults_t *faults);

#endif
