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

/* The files of one TLS endpoint; "" for a file that is not set.  */
typedef struct
{
  char certificate_file[CSP_SETTING_FILE_BYTES];
  char key_file[CSP_SETTING_FILE_BYTES];
  char ca_file[CSP_SETTING_FILE_BYTES];
} csp_tls_settings_t;

/* The settings of a daemon.  source/settings/settings-table.c and
   docs/SETTINGS.md list every key with its bounds, default and meaning.  The
   struct owns no memory and may be copied.  */
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

/* The action that a command line requests.  */
typedef enum
{
  CSP_COMMAND_RUN,
  CSP_COMMAND_CHECK_SETTINGS,
  CSP_COMMAND_HELP,
  CSP_COMMAND_VERSION
} csp_command_t;

enum
{
  /* Exit code of a program whose settings or command line are invalid.  */
  CSP_EXIT_BAD_SETTINGS = 2
};

/* Sets all defaults; names and addresses without a default become "".  */
void csp_set_default_settings (csp_settings_t *settings);

/* Parses JSON with comments; each key in the text overrides the value in
   settings.  where names the text in faults.  Returns true where no fault was
   found.  */
bool csp_parse_settings (const char *where, const char *text,
                         size_t size_bytes, csp_settings_t *settings,
                         csp_faults_t *faults);

/* Sets the defaults, parses a file as csp_parse_settings does, and runs the
   checks of csp_check_settings.  Returns true where no fault was found.  */
bool csp_load_settings (const char *path, csp_settings_t *settings,
                        csp_faults_t *faults);

/* Runs the checks across keys: that required keys are set, that TLS files are
   readable and given in pairs, suspect_after_ms against heartbeat_interval_ms,
   and drain_notice_ms against drain_limit_ms.  Returns true where no fault was
   found.  */
bool csp_check_settings (const char *where, const csp_settings_t *settings,
                         csp_faults_t *faults);

/* Reads a daemon's command line: first the file of --settings, then all other
   options, which override it regardless of their order, then
   csp_check_settings.  Adds the faults of both file and options.  Returns true
   where no fault was found.  With CSP_COMMAND_HELP and CSP_COMMAND_VERSION the
   file is not read and nothing is checked.  */
bool csp_read_command_line (int argc, char **argv, csp_command_t *command,
                            csp_settings_t *settings, csp_faults_t *faults);

/* Prints the options of a daemon with their bounds and defaults.  */
void csp_print_settings_help (FILE *stream);

/* Returns the version of the library and the programs, such as "0.1.0".  */
const char *csp_version (void);

#endif
