#include "settings/settings-imp.h"

#define OFFSET(member) .offset = offsetof (csp_settings_t, member)
#define STRING(member, string_form)                                           \
  .type = CSP_FIELD_CHARS, .form = (string_form), OFFSET (member),            \
  .size_bytes = sizeof (((csp_settings_t *)0)->member)
#define PORT(member)                                                          \
  .type = CSP_FIELD_U16, OFFSET (member), .min = 0, .max = 65535
#define NUMBER(member, lowest, highest)                                       \
  .type = CSP_FIELD_U32, OFFSET (member), .min = (lowest), .max = (highest)
#define TLS_FILE(member)                                                      \
  .type = CSP_FIELD_CHARS, .form = CSP_FORM_TEXT,                             \
  .offset = offsetof (csp_tls_settings_t, member),                            \
  .size_bytes = CSP_SETTING_FILE_BYTES

static const char *const log_levels[]
    = { "error", "warn", "info", "debug", NULL };

static const csp_field_t caller_tls_table[]
    = { { .name = "certificate_file",
          TLS_FILE (certificate_file),
          .help = "PEM file of the certificate shown to callers; if set, only "
                  "HTTPS is served" },
        { .name = "key_file",
          TLS_FILE (key_file),
          .help = "PEM file of the certificate's private key" },
        { 0 } };

static const csp_field_t target_tls_table[]
    = { { .name = "ca_file",
          TLS_FILE (ca_file),
          .help = "PEM file of the CA certificates that verify targets; if "
                  "set, targets are reached by HTTPS" },
        { 0 } };

static const csp_field_t peer_tls_table[]
    = { { .name = "certificate_file",
          TLS_FILE (certificate_file),
          .help = "PEM file of the certificate shown to other hosts" },
        { .name = "key_file",
          TLS_FILE (key_file),
          .help = "PEM file of the certificate's private key" },
        { .name = "ca_file",
          TLS_FILE (ca_file),
          .help = "PEM file of the CA certificates that verify other hosts" },
        { 0 } };

const csp_field_t csp_settings_table[] = {
  { .name = "deployment",
    STRING (deployment, CSP_FORM_NAME),
    .required = true,
    .help = "name of the deployment; peers of other deployments are refused" },
  { .name = "host",
    STRING (host, CSP_FORM_NAME),
    .required = true,
    .help = "name of this host, as in the platform's host list" },
  { .name = "region",
    STRING (region, CSP_FORM_NAME),
    .required = true,
    .help = "region of this host" },
  { .name = "data_centre",
    STRING (data_centre, CSP_FORM_NAME),
    .required = true,
    .help = "data centre of this host" },
  { .name = "listen_address",
    STRING (listen_address, CSP_FORM_ADDRESS),
    .default_setting = "127.0.0.1",
    .help
    = "IP address on which the host listens for callers and other hosts" },
  { .name = "http_port",
    PORT (http_port),
    .default_setting = "8080",
    .help = "TCP port for callers and operators; 0: chosen by the kernel" },
  { .name = "peer_port",
    PORT (peer_port),
    .default_setting = "8081",
    .help = "TCP port for other hosts; 0: chosen by the kernel" },
  { .name = "platform_address",
    STRING (platform_address, CSP_FORM_ADDRESS),
    .required = true,
    .help = "IP address of the platform's configuration service" },
  { .name = "platform_port",
    .type = CSP_FIELD_U16,
    OFFSET (platform_port),
    .min = 1,
    .max = 65535,
    .required = true,
    .help = "TCP port of the platform's configuration service" },
  { .name = "max_streams",
    NUMBER (max_streams, 1, 10000),
    .default_setting = "1000",
    .help = "most requests served at once; each uses a thread" },
  { .name = "max_body_bytes",
    NUMBER (max_body_bytes, 1024, 67108864),
    .default_setting = "1048576",
    .help = "largest request body; larger ones are answered with 413" },
  { .name = "max_header_bytes",
    NUMBER (max_header_bytes, 1024, 1048576),
    .default_setting = "16384",
    .help = "largest request header section" },
  { .name = "max_queue_length",
    NUMBER (max_queue_length, 1, 100000),
    .default_setting = "1000",
    .help = "most requests that wait in the queue of this host" },
  { .name = "caller_timeout_ms",
    NUMBER (caller_timeout_ms, 100, 600000),
    .default_setting = "10000",
    .help = "longest wait for a caller to send the request header, to send "
            "more of the body, or to read more of the answer" },
  { .name = "stall_timeout_ms",
    NUMBER (stall_timeout_ms, 50, 600000),
    .default_setting = "2000",
    .help = "longest gap between tokens before a connection to a target "
            "counts as stalled" },
  { .name = "connect_timeout_ms",
    NUMBER (connect_timeout_ms, 10, 60000),
    .default_setting = "500",
    .help = "longest time to connect to a target" },
  { .name = "default_deadline_ms",
    NUMBER (default_deadline_ms, 100, 86400000),
    .default_setting = "600000",
    .help = "deadline of a request that sets none" },
  { .name = "drain_notice_ms",
    NUMBER (drain_notice_ms, 0, 600000),
    .default_setting = "5000",
    .help = "time from SIGTERM, when the readiness check begins to fail, to "
            "the closing of the listener" },
  { .name = "drain_limit_ms",
    NUMBER (drain_limit_ms, 1000, 86400000),
    .default_setting = "3600000",
    .help = "longest time from SIGTERM to the exit; streams still open then "
            "end with an error" },
  { .name = "log_level",
    STRING (log_level, CSP_FORM_TEXT),
    .default_setting = "info",
    .choices = log_levels,
    .help = "lowest severity that is logged" },
  { .name = "heartbeat_interval_ms",
    NUMBER (heartbeat_interval_ms, 10, 60000),
    .default_setting = "500",
    .help = "time between heartbeats to peers" },
  { .name = "suspect_after_ms",
    NUMBER (suspect_after_ms, 30, 600000),
    .default_setting = "2000",
    .help = "time without a message after which a peer is suspected; at least "
            "three heartbeat intervals" },
  { .name = "caller_tls",
    .type = CSP_FIELD_OBJECT,
    OFFSET (caller_tls),
    .fields = caller_tls_table,
    .help = "TLS towards callers" },
  { .name = "target_tls",
    .type = CSP_FIELD_OBJECT,
    OFFSET (target_tls),
    .fields = target_tls_table,
    .help = "TLS towards targets" },
  { .name = "peer_tls",
    .type = CSP_FIELD_OBJECT,
    OFFSET (peer_tls),
    .fields = peer_tls_table,
    .help = "TLS between hosts; both sides show certificates" },
  { 0 }
};
