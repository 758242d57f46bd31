#include <urcu.h>

#include "entry/entry-imp.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "cowslipspoke/text.h"

enum
{
  LISTEN_BACKLOG = 1024,
  SHUTDOWN_RETRY_AFTER_MS = 1000,
  SERVER_OPTION_SLOTS = 20,
  OPTION_BYTES = 64,
  PATH_BYTES = 4096
};

static bool
init_exchange (csp_entry_exchange_t *exchange, csp_entry_t *entry,
               struct mg_connection *connection, csp_error_t *error)
{
  csp_request_header_fields_t fields;

  memset (exchange, 0, sizeof *exchange);
  exchange->entry = entry;
  exchange->connection = connection;
  exchange->info = mg_get_request_info (connection);
  exchange->socket = csp_find_caller_socket (exchange->info, entry->port);
  exchange->arrived_ms = csp_now_ms (&entry->context->clock);
  csp_assign_request_id (exchange);
  exchange->labels = csp_get_labels (entry->context->metrics, NULL, NULL);
  fields.idempotency_key = mg_get_header (connection, "Idempotency-Key");
  fields.non_idempotent = mg_get_header (connection, "X-Non-Idempotent");
  fields.attempt = mg_get_header (connection, "X-Attempt");
  fields.deadline_ms = mg_get_header (connection, "X-Deadline-Ms");
  fields.class_name = mg_get_header (connection, "X-Class");
  if (csp_parse_request_headers (&fields, &exchange->options, error) != 0)
    return false;
  exchange->deadline_ms
      = exchange->arrived_ms
        + (exchange->options.deadline_ms != 0
               ? exchange->options.deadline_ms
               : entry->context->settings.default_deadline_ms);
  return true;
}

static bool
check_accepting_requests (csp_entry_t *entry, csp_error_t *error)
{
  if (!atomic_load (&entry->refusing_new))
    return true;
  csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_SHUTTING_DOWN,
                 SHUTDOWN_RETRY_AFTER_MS, "this host is shutting down");
  return false;
}

static void
end_exchange (csp_entry_exchange_t *exchange)
{
  csp_discard_unread_input (exchange);
  csp_release_view (exchange->view);
  free (exchange->body);
  atomic_fetch_sub (&exchange->entry->open_requests, 1);
}

/* Counts the request as open before anything is checked, so that a drain never
   sees zero while a request is between the listener and its handler.  Returns
   false after answering a request that is refused.  */
static bool
accept_exchange (csp_entry_exchange_t *exchange, csp_entry_t *entry,
                 struct mg_connection *connection)
{
  csp_error_t error;

  atomic_fetch_add (&entry->open_requests, 1);
  if (init_exchange (exchange, entry, connection, &error)
      && check_accepting_requests (entry, &error)
      && csp_identify_caller (exchange, &error) == 0)
    return true;
  csp_answer_error (exchange, &error);
  return false;
}

static bool
require_method (const csp_entry_exchange_t *exchange, const char *method)
{
  csp_entry_exchange_t *mutable_exchange = (csp_entry_exchange_t *)exchange;
  csp_error_t error;

  if (strcmp (exchange->info->request_method, method) == 0)
    return true;
  csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_BAD_REQUEST, 0,
                 "the method here is %s", method);
  csp_answer_error (mutable_exchange, &error);
  return false;
}

static int
handle_completions (struct mg_connection *connection, void *state)
{
  csp_entry_exchange_t exchange;

  if (accept_exchange (&exchange, state, connection)
      && require_method (&exchange, "POST"))
    csp_serve_generation (&exchange, CSP_API_COMPLETIONS);
  end_exchange (&exchange);
  return 200;
}

static int
handle_chat (struct mg_connection *connection, void *state)
{
  csp_entry_exchange_t exchange;

  if (accept_exchange (&exchange, state, connection)
      && require_method (&exchange, "POST"))
    csp_serve_generation (&exchange, CSP_API_CHAT);
  end_exchange (&exchange);
  return 200;
}

static void
answer_models (csp_entry_exchange_t *exchange)
{
  const csp_declaration_t *declaration = csp_view_declaration (exchange->view);
  json_object *document = json_object_new_object ();
  json_object *list = json_object_new_array ();
  json_object *row;
  size_t i;

  for (i = 0; i < csp_count_routes (declaration); i++)
    {
      row = json_object_new_object ();
      json_object_object_add (
          row, "id",
          json_object_new_string (csp_get_route (declaration, i)->name));
      json_object_object_add (row, "object", json_object_new_string ("model"));
      json_object_array_add (list, row);
    }
  json_object_object_add (document, "object", json_object_new_string ("list"));
  json_object_object_add (document, "data", list);
  csp_answer_json (
      exchange, 200,
      json_object_to_json_string_ext (document, JSON_C_TO_STRING_PLAIN));
  json_object_put (document);
}

static int
handle_models (struct mg_connection *connection, void *state)
{
  csp_entry_exchange_t exchange;

  if (accept_exchange (&exchange, state, connection)
      && require_method (&exchange, "GET"))
    answer_models (&exchange);
  end_exchange (&exchange);
  return 200;
}

static void
answer_idempotency_home (csp_entry_exchange_t *exchange)
{
  const csp_context_t *context = exchange->entry->context;
  csp_once_settings_t settings = csp_default_once_settings ();
  json_object *document = json_object_new_object ();
  char token[CSP_ONCE_TOKEN_BYTES];
  csp_host_ref_t self
      = { .incarnation = csp_control_incarnation (exchange->entry->control) };

  csp_copy_text (self.name, sizeof self.name, context->settings.host);
  csp_format_host_token (&self, csp_wall_ms (&context->clock), token);
  json_object_object_add (document, "host_token",
                          json_object_new_string (token));
  csp_format_data_centre_token (context->settings.data_centre,
                                csp_wall_ms (&context->clock), token);
  json_object_object_add (document, "data_centre_token",
                          json_object_new_string (token));
  json_object_object_add (document, "valid_ms",
                          json_object_new_int64 (settings.retention_ms));
  csp_answer_json (
      exchange, 200,
      json_object_to_json_string_ext (document, JSON_C_TO_STRING_PLAIN));
  json_object_put (document);
}

static int
handle_idempotency_home (struct mg_connection *connection, void *state)
{
  csp_entry_exchange_t exchange;

  if (accept_exchange (&exchange, state, connection)
      && require_method (&exchange, "GET"))
    answer_idempotency_home (&exchange);
  end_exchange (&exchange);
  return 200;
}

/* The path is forwarded to the target as the caller wrote it.  A target may
   resolve a path with a control byte or a dot segment, plain or encoded, to
   another path than the one that was matched here.  */
static bool
is_safe_path (const char *path)
{
  char text[PATH_BYTES];
  int size_bytes
      = mg_url_decode (path, (int)strlen (path), text, sizeof text, 0);
  const char *position = text;
  size_t segment_bytes;
  int i;

  for (i = 0; i < size_bytes; i++)
    if ((unsigned char)text[i] < ' ' || text[i] == '\x7f')
      return false;
  while (size_bytes >= 0 && *position == '/')
    {
      position++;
      segment_bytes = strcspn (position, "/");
      if ((segment_bytes == 1 && position[0] == '.')
          || (segment_bytes == 2 && position[0] == '.' && position[1] == '.'))
        return false;
      position += segment_bytes;
    }
  return size_bytes >= 0;
}

/* Finds the service of a path "/v1/services/NAME/REST" or of a path below the
   service's own prefix.  */
static const csp_service_t *
find_called_service (const csp_entry_exchange_t *exchange, const char **rest)
{
  static const char prefix[] = "/v1/services/";
  const csp_declaration_t *declaration = csp_view_declaration (exchange->view);
  const char *path = exchange->info->local_uri_raw;
  char name[CSP_NAME_BYTES];
  size_t size_bytes;

  if (strncmp (path, prefix, sizeof prefix - 1) != 0)
    return csp_find_service_by_path (declaration, path, rest);
  path += sizeof prefix - 1;
  size_bytes = strcspn (path, "/");
  if (size_bytes >= sizeof name)
    return NULL;
  memcpy (name, path, size_bytes);
  name[size_bytes] = '\0';
  *rest = path[size_bytes] == '\0' ? "/" : path + size_bytes;
  return csp_find_service (declaration, name);
}

static int
handle_other (struct mg_connection *connection, void *state)
{
  const csp_service_t *service;
  const char *rest = "/";
  csp_entry_exchange_t exchange;
  csp_error_t error;

  if (accept_exchange (&exchange, state, connection))
    {
      service = find_called_service (&exchange, &rest);
      if (!is_safe_path (exchange.info->local_uri_raw))
        {
          csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_BAD_REQUEST,
                         0,
                         "the path has control bytes or dot segments, or "
                         "is too long");
          csp_answer_error (&exchange, &error);
        }
      else if (service != NULL)
        csp_serve_service_call (&exchange, service, rest);
      else
        {
          csp_set_error (&error, CSP_VERDICT_NOT_RUN,
                         CSP_REASON_UNKNOWN_SERVICE, 0,
                         "no service route has this path");
          csp_answer_error (&exchange, &error);
        }
    }
  end_exchange (&exchange);
  return 200;
}

static void
send_operator_answer (struct mg_connection *connection, int status,
                      const char *type, const char *text)
{
  mg_printf (connection,
             "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
             "Cache-Control: no-store\r\nConnection: close\r\n\r\n",
             status, mg_get_response_code_text (connection, status), type,
             strlen (text));
  mg_write (connection, text, strlen (text));
}

static int
handle_live (struct mg_connection *connection, void *state)
{
  (void)state;
  send_operator_answer (connection, 200, "text/plain", "live\n");
  return 200;
}

static int
handle_ready (struct mg_connection *connection, void *state)
{
  csp_entry_t *entry = state;
  bool ready = csp_is_control_ready (entry->control)
               && !atomic_load (&entry->readiness_failing);

  send_operator_answer (connection, ready ? 200 : 503, "text/plain",
                        ready ? "ready\n" : "not ready\n");
  return 200;
}

static int
handle_status (struct mg_connection *connection, void *state)
{
  csp_entry_t *entry = state;
  char *status = csp_describe_control (entry->control);

  send_operator_answer (connection, status == NULL ? 500 : 200,
                        "application/json", status == NULL ? "{}" : status);
  free (status);
  return 200;
}

static int
handle_metrics (struct mg_connection *connection, void *state)
{
  csp_entry_t *entry = state;
  size_t size_bytes;
  char *text;

  csp_set_gauge (entry->context->metrics, CSP_GAUGE_READY,
                 csp_is_control_ready (entry->control));
  csp_set_gauge (entry->context->metrics, CSP_GAUGE_OPEN_STREAMS,
                 csp_count_open_requests (entry));
  text = csp_render_metrics (entry->context->metrics, &size_bytes);
  send_operator_answer (connection, text == NULL ? 500 : 200,
                        "text/plain; version=0.0.4", text == NULL ? "" : text);
  free (text);
  return 200;
}

/* CivetWeb's threads read the view under RCU and must be registered with
   it.  */
static void *
register_rcu_thread (const struct mg_context *context, int type)
{
  (void)context;
  (void)type;
  rcu_register_thread ();
  return NULL;
}

static void
unregister_rcu_thread (const struct mg_context *context, int type, void *state)
{
  (void)context;
  (void)type;
  (void)state;
  rcu_unregister_thread ();
}

static const struct
{
  const char *path;
  mg_request_handler handler;
} handlers[] = {
  { "/v1/completions$", handle_completions },
  { "/v1/chat/completions$", handle_chat },
  { "/v1/models$", handle_models },
  { "/v1/idempotency-home$", handle_idempotency_home },
  { "/live$", handle_live },
  { "/ready$", handle_ready },
  { "/status$", handle_status },
  { "/metrics$", handle_metrics },
  { "/", handle_other },
};

/* Fills the HTTP library's option list: name, value, name, value, NULL.  */
static void
fill_options (const csp_settings_t *settings, char texts[][OPTION_BYTES],
              const char **options)
{
  int count = 0;

  snprintf (texts[0], OPTION_BYTES, "%.40s:%u", settings->listen_address,
            settings->http_port);
  snprintf (texts[1], OPTION_BYTES, "%u", settings->max_streams);
  snprintf (texts[2], OPTION_BYTES, "%u", settings->max_header_bytes);
  snprintf (texts[3], OPTION_BYTES, "%d", LISTEN_BACKLOG);
  snprintf (texts[4], OPTION_BYTES, "%u", settings->caller_timeout_ms);
  options[count++] = "listening_ports";
  options[count++] = texts[0];
  options[count++] = "num_threads";
  options[count++] = texts[1];
  options[count++] = "max_request_size";
  options[count++] = texts[2];
  options[count++] = "listen_backlog";
  options[count++] = texts[3];
  options[count++] = "request_timeout_ms";
  options[count++] = texts[4];
  /* With decoding, an encoded NUL would truncate the path and an encoded line
     end would split the request that is sent to a service.  */
  options[count++] = "decode_url";
  options[count++] = "no";
  options[count++] = "tcp_nodelay";
  options[count++] = "1";
  options[count++] = "enable_keep_alive";
  options[count++] = "no";
  options[count] = NULL;
}

csp_entry_t *
csp_create_entry (const csp_context_t *context, csp_control_t *control,
                  char *message, size_t message_bytes)
{
  const csp_settings_t *settings = &context->settings;
  csp_entry_t *entry = calloc (1, sizeof *entry);
  struct mg_callbacks callbacks = { .init_thread = register_rcu_thread,
                                    .exit_thread = unregister_rcu_thread,
                                    .http_error = csp_answer_malformed };
  char texts[5][OPTION_BYTES];
  const char *options[SERVER_OPTION_SLOTS];
  struct mg_server_port port;
  size_t i;

  snprintf (message, message_bytes, "can't listen on %s:%u",
            settings->listen_address, settings->http_port);
  if (entry == NULL)
    return NULL;
  if (settings->caller_tls.certificate_file[0] != '\0')
    {
      snprintf (message, message_bytes,
                "caller_tls can't be served: this CivetWeb was built for an "
                "older OpenSSL; let the balancer end TLS");
      free (entry);
      return NULL;
    }
  entry->context = context;
  entry->control = control;
  mg_init_library (
      settings->caller_tls.certificate_file[0] != '\0' ? MG_FEATURES_TLS : 0);
  fill_options (settings, texts, options);
  if (csp_start_read_watchdog (entry) != 0)
    {
      free (entry);
      return NULL;
    }
  entry->server = mg_start (&callbacks, entry, options);
  if (entry->server == NULL)
    {
      csp_stop_read_watchdog (entry);
      free (entry);
      return NULL;
    }
  if (mg_get_server_ports (entry->server, 1, &port) == 1)
    entry->port = (uint16_t)port.port;
  csp_limit_caller_sockets (entry->port);
  for (i = 0; i < sizeof handlers / sizeof handlers[0]; i++)
    mg_set_request_handler (entry->server, handlers[i].path,
                            handlers[i].handler, entry);
  return entry;
}

uint16_t
csp_entry_port (const csp_entry_t *entry)
{
  return entry->port;
}

void
csp_fail_readiness (csp_entry_t *entry)
{
  atomic_store (&entry->readiness_failing, true);
}

void
csp_refuse_new_requests (csp_entry_t *entry)
{
  atomic_store (&entry->refusing_new, true);
}

uint32_t
csp_count_open_requests (const csp_entry_t *entry)
{
  return (uint32_t)atomic_load (&entry->open_requests);
}

void
csp_abort_open_requests (csp_entry_t *entry)
{
  atomic_store (&entry->aborting_open, true);
}

void
csp_destroy_entry (csp_entry_t *entry)
{
  if (entry == NULL)
    return;
  mg_stop (entry->server);
  mg_exit_library ();
  csp_stop_read_watchdog (entry);
  free (entry);
}
