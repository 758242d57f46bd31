#ifndef COWSLIPSPOKE_SETTINGS_H
#define COWSLIPSPOKE_SETTINGS_H

#include "cowslipspoke/faults.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  CSP_SETTING_NAME_BYTES = 64,
  CSP_SETTING_ADDRESS_BYTES = 64,
  CSP_SETTING_FILE_BYTES = 256
};

/* Files of one TLS endpoint; a file that is not set is "".  */
typedef struct
{
  char certificate_file[CSP_SETTING_FILE_BYTES];
  char key_file[CSP_SETTING_FILE_BYTES];
  char ca_file[CSP_SETTING_FILE_BYTES];
} csp_tls_settings_t;

/* The settings of a daemon.  Every key, its bounds, default and meaning stand
   in one table, source/settings/settings-table.c, and in docs/SETTINGS.md.
   Plain data: it owns nothing and may be copied.  */
typedef struct
{
  char deployment[CSP_SETTING_NAME_BYTES];
  char host[CSP_SETTING_NAME_BYTES];
  char region[CSP_SETTING_NAME_BYTES];
  char data_centre[CSP_SETTING_NAME_BYTES];

  char listen_address[CSP_SETTING_ADDRESS_BYTES];
  uint16_t http_port;
  uint16_t peer_port;
  char platform_address[CSP_SETTING_ADDRESS_BYTES];
  uint16_t platform_port;

  uint32_t max_streams;
  uint32_t max_body_bytes;
  uint32_t max_header_bytes;
  uint32_t max_queue_length;
  uint32_t caller_timeout_ms;

  uint32_t stall_timeout_ms;
  uint32_t connect_timeout_ms;
  uint32_t default_deadline_ms;
  uint32_t drain_notice_ms;
  uint32_t drain_limit_ms;
  uint32_t heartbeat_interval_ms;
  uint32_t suspect_after_ms;

  char log_level[CSP_SETTING_NAME_BYTES];

  csp_tls_settings_t caller_tls;
  csp_tls_settings_t target_tls;
  csp_tls_settings_t peer_tls;
} csp_settings_t;

/* What a command line asks for.  */
typedef enum
{
  CSP_COMMAND_RUN,
  CSP_COMMAND_CHECK_SETTINGS,
  CSP_COMMAND_HELP,
  CSP_COMMAND_VERSION
} csp_command_t;

enum
{
  /* Exit code of a program whose settings or command line are at fault.  */
  CSP_EXIT_BAD_SETTINGS = 2
};

/* All defaults; the names and addresses that have none are "".  */
void csp_default_settings (csp_settings_t *settings);

/* Read JSON text with comments over the settings.  where names the text in
   faults.  Returns true where no fault was found.  */
bool csp_parse_settings (const char *where, const char *text,
                         size_t size_bytes, csp_settings_t *settings,
                         csp_faults_t *faults);

/* The same from a file, over the defaults, with all checks of
   csp_check_settings. Returns true where no fault was found.  */
bool csp_load_settings (const char *path, csp_settings_t *settings,
                        csp_faults_t *faults);

/* Checks that span keys: required keys, files that belong together, and
   suspect_after_ms against heartbeat_interval_ms.  */
bool csp_check_settings (const char *where, const csp_settings_t *settings,
                         csp_faults_t *faults);

/* Read a daemon's command line: --settings FILE first, then every other
   option over it, whatever their order, then csp_check_settings.  Faults of
   file and options are all added.  Returns true where there was none; with
   CSP_COMMAND_HELP and CSP_COMMAND_VERSION the settings are the defaults.  */
bool csp_read_command_line (int argc, char **argv, csp_command_t *command,
                            csp_settings_t *settings, csp_faults_t *faults);

/* Print the options of a daemon with their bounds and defaults.  */
void csp_print_settings_help (FILE *stream);

/* The version of library and programs, such as "0.1.0".  */
const char *csp_version (void);

#endif
