#include "entry/entry-imp.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MS_PER_S = 1000,
  HEADER_BYTES = 1024
};

static const char *
error_type (csp_reason_t reason)
{
  return csp_reason_status (reason) < 500 ? "invalid_request_error"
                                          : "server_error";
}

char *
csp_render_error (const char *request_id, const csp_error_t *error)
{
  json_object *document = json_object_new_object ();
  json_object *inner = json_object_new_object ();
  char *text;

  json_object_object_add (inner, "message",
                          json_object_new_string (error->detail));
  json_object_object_add (inner, "type",
                          json_object_new_string (error_type (error->reason)));
  json_object_object_add (
      inner, "code", json_object_new_string (csp_reason_code (error->reason)));
  json_object_object_add (
      inner, "verdict",
      json_object_new_string (csp_verdict_name (error->verdict)));
  json_object_object_add (inner, "request_id",
                          json_object_new_string (request_id));
  if (error->retry_after_ms != 0)
    json_object_object_add (inner, "retry_after_ms",
                            json_object_new_int64 (error->retry_after_ms));
  json_object_object_add (document, "error", inner);
  text = strdup (
      json_object_to_json_string_ext (document, JSON_C_TO_STRING_PLAIN));
  json_object_put (document);
  return text;
}

void
csp_answer_json (csp_entry_exchange_t *exchange, uint16_t status,
                 const char *json)
{
  mg_printf (exchange->connection,
             "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\nX-Request-Id: %s\r\n"
             "Cache-Control: no-store\r\nConnection: close\r\n\r\n",
             status, mg_get_response_code_text (exchange->connection, status),
             strlen (json), exchange->id);
  mg_write (exchange->connection, json, strlen (json));
}

/* Whether an earlier attempt of this request may have run: the request has an
   idempotency key and must not run twice, and its key is not claimed yet.  */
static bool
may_have_run_before (const csp_entry_exchange_t *exchange)
{
  const char *method;
  const char *path;

  if (exchange->options.idempotency_key[0] == '\0' || exchange->claim != 0)
    return false;
  method = exchange->info->request_method;
  path = exchange->info->local_uri;
  return exchange->options.non_idempotent
         || (strcmp (path, "/v1/completions") != 0
             && strcmp (path, "/v1/chat/completions") != 0
             && strcmp (method, "GET") != 0 && strcmp (method, "HEAD") != 0
             && strcmp (method, "PUT") != 0 && strcmp (method, "DELETE") != 0);
}

/* Replaces "not run" by "may have run" where an earlier attempt may have run.
   A host that rejects a keyed call before claiming its key doesn't know
   about earlier attempts; a caller whose first attempt did run would take
   "not run" as final.  */
static csp_error_t
adjust_verdict (const csp_entry_exchange_t *exchange, const csp_error_t *error)
{
  csp_error_t adjusted = *error;

  if (error->verdict != CSP_VERDICT_NOT_RUN
      || error->reason == CSP_REASON_BAD_REQUEST
      || error->reason == CSP_REASON_UNKNOWN_KEY
      || !may_have_run_before (exchange))
    return adjusted;
  adjusted.verdict = CSP_VERDICT_MAY_HAVE_RUN;
  if (adjusted.retry_after_ms == 0)
    adjusted.retry_after_ms = MS_PER_S;
  return adjusted;
}

void
csp_assign_request_id (csp_entry_exchange_t *exchange)
{
  csp_entry_t *entry = exchange->entry;
  uint64_t number = atomic_fetch_add (&entry->next_request, 1);

  snprintf (exchange->id, sizeof exchange->id, "%llx-%llx",
            (unsigned long long)csp_control_incarnation (entry->control),
            (unsigned long long)number);
}

void
csp_answer_error (csp_entry_exchange_t *exchange, const csp_error_t *error)
{
  csp_error_t adjusted_error = adjust_verdict (exchange, error);
  uint16_t status = csp_reason_status (adjusted_error.reason);
  char *json = csp_render_error (exchange->id, &adjusted_error);
  char retry[64] = "";

  if (adjusted_error.retry_after_ms != 0)
    snprintf (retry, sizeof retry, "Retry-After: %u\r\n",
              (adjusted_error.retry_after_ms + MS_PER_S - 1) / MS_PER_S);
  mg_printf (exchange->connection,
             "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\nX-Request-Id: %s\r\nX-Verdict: %s\r\n%s"
             "Cache-Control: no-store\r\nConnection: close\r\n\r\n",
             status, mg_get_response_code_text (exchange->connection, status),
             json == NULL ? 0 : strlen (json), exchange->id,
             csp_verdict_name (adjusted_error.verdict), retry);
  if (json != NULL)
    mg_write (exchange->connection, json, strlen (json));
  free (json);
  csp_count_request_end (exchange->entry->context->metrics, exchange->labels,
                         adjusted_error.reason, adjusted_error.verdict);
  CSP_LOG (exchange->entry->context->log, CSP_EVENT_REQUEST_REFUSED,
           exchange->id,
           csp_text ("organisation", exchange->organisation == NULL
                                         ? NULL
                                         : exchange->organisation->name),
           csp_text ("reason", csp_reason_code (adjusted_error.reason)),
           csp_text ("verdict", csp_verdict_name (adjusted_error.verdict)),
           csp_text ("detail", adjusted_error.detail));
}

int
csp_answer_malformed (struct mg_connection *connection, int status,
                      const char *message)
{
  csp_entry_t *entry = mg_get_user_data (mg_get_context (connection));
  csp_entry_exchange_t exchange
      = { .entry = entry, .connection = connection, .socket = -1 };
  bool too_large = status == 413 || status == 414 || status == 431;
  csp_error_t error;

  (void)message;
  csp_set_error (&error, CSP_VERDICT_NOT_RUN,
                 too_large ? CSP_REASON_TOO_LARGE : CSP_REASON_BAD_REQUEST, 0,
                 too_large ? "the head of the request is too large"
                           : "the request can't be read as HTTP/1.1");
  csp_assign_request_id (&exchange);
  exchange.labels = csp_get_labels (entry->context->metrics, NULL, NULL);
  csp_answer_error (&exchange, &error);
  return 0;
}

int
csp_begin_events (csp_entry_exchange_t *exchange)
{
  int sent = mg_printf (exchange->connection,
                        "HTTP/1.1 200 OK\r\n"
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\nX-Request-Id: %s\r\n"
                        "Cache-Control: no-store\r\nConnection: close\r\n\r\n",
                        exchange->id);

  return sent > 0 ? 0 : -1;
}

/* Sends a whole HTTP chunk in one write.  With Nagle's algorithm off each
   write is a packet, and three packets for each token cost more than the
   token itself.  */
static int
send_chunk (csp_entry_exchange_t *exchange, const char *before,
            const char *data, const char *after)
{
  size_t chunk_bytes = strlen (before) + strlen (data) + strlen (after);
  size_t frame_capacity_bytes = chunk_bytes + HEADER_BYTES;
  char stack_buffer[HEADER_BYTES * 2];
  char *frame = frame_capacity_bytes <= sizeof stack_buffer
                    ? stack_buffer
                    : malloc (frame_capacity_bytes);
  int frame_bytes;
  int sent;

  if (frame == NULL)
    return -1;
  frame_bytes = snprintf (frame, frame_capacity_bytes, "%zx\r\n%s%s%s\r\n",
                          chunk_bytes, before, data, after);
  sent = mg_write (exchange->connection, frame, (size_t)frame_bytes);
  if (frame != stack_buffer)
    free (frame);
  return sent == frame_bytes ? 0 : -1;
}

int
csp_send_event (csp_entry_exchange_t *exchange, const char *name,
                const char *data)
{
  char before[64];

  if (name == NULL)
    snprintf (before, sizeof before, "data: ");
  else
    snprintf (before, sizeof before, "event: %s\ndata: ", name);
  return send_chunk (exchange, before, data, "\n\n");
}

int
csp_send_keep_alive (csp_entry_exchange_t *exchange)
{
  return send_chunk (exchange, ":", "", "\n\n");
}

void
csp_end_events (csp_entry_exchange_t *exchange)
{
  mg_write (exchange->connection, "0\r\n\r\n", 5);
}
