#include "cowslipspoke/engine.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "cowslipspoke/sse.h"
#include "target/http-imp.h"

enum
{
  EVENT_LIMIT_BYTES = 1 << 20,
  ERROR_BODY_BYTES = 2048,
  POLL_MS = 100,
  HTTP_OK = 200,
  HTTP_BAD_REQUEST = 400,
  HTTP_NOT_FOUND = 404,
  HTTP_CONFLICT = 409,
  HTTP_TOO_LARGE = 413,
  HTTP_UNPROCESSABLE = 422
};

/* The state of one HTTP transfer.  */
typedef struct
{
  const csp_engine_link_t *link;
  csp_generation_t *generation;
  csp_engine_link_report_t *report;
  CURL *call;
  csp_sse_reader_t *reader;
  csp_link_end_t end; /* CSP_LINK_END_COUNT while open */
  csp_answer_head_t head;
  csp_send_gate_t gate;
  int64_t last_token_ms;
  size_t error_bytes;
  char error_body[ERROR_BODY_BYTES];
} transfer_t;

static int
stop_transfer (transfer_t *transfer, csp_link_end_t end)
{
  transfer->end = end;
  return -1;
}

static int
handle_token (transfer_t *transfer, const csp_token_t *token, const char *json)
{
  const csp_engine_link_t *link = transfer->link;

  switch (csp_accept_token (transfer->generation, token))
    {
    case CSP_TOKEN_DELIVER:
      transfer->report->delivered++;
      if (link->deliver (link->state, token, json) != 0)
        return stop_transfer (transfer, CSP_LINK_CALLER_GONE);
      /* Read after the delivery: otherwise a slow caller would look like a
         stalled engine.  */
      transfer->last_token_ms = csp_now_ms (link->clock);
      return 0;
    case CSP_TOKEN_DUPLICATE:
      return 0;
    case CSP_TOKEN_FOREIGN:
      return stop_transfer (transfer, CSP_LINK_FOREIGN);
    case CSP_TOKEN_GAP:
    case CSP_TOKEN_AFTER_END:
      break;
    }
  return stop_transfer (transfer, CSP_LINK_BROKEN);
}

static int
handle_event (void *state, char *payload, size_t size_bytes)
{
  transfer_t *transfer = state;
  csp_token_t token;
  csp_chunk_t *chunk;
  int result;

  (void)size_bytes;
  if (strcmp (payload, "[DONE]") == 0)
    return stop_transfer (transfer, csp_accept_end_mark (transfer->generation)
                                        ? CSP_LINK_COMPLETE
                                        : CSP_LINK_CUT);
  chunk = csp_parse_chunk (payload, &token);
  if (chunk == NULL)
    return stop_transfer (transfer, CSP_LINK_BROKEN);
  result = handle_token (transfer, &token, payload);
  csp_destroy_chunk (chunk);
  return result;
}

static void
append_error_body (transfer_t *transfer, const char *data, size_t size_bytes)
{
  size_t capacity = ERROR_BODY_BYTES - 1 - transfer->error_bytes;
  size_t copied_bytes = size_bytes < capacity ? size_bytes : capacity;

  memcpy (transfer->error_body + transfer->error_bytes, data, copied_bytes);
  transfer->error_bytes += copied_bytes;
}

static size_t
handle_body (char *data, size_t unit, size_t count, void *state)
{
  transfer_t *transfer = state;
  long status = 0;

  curl_easy_getinfo (transfer->call, CURLINFO_RESPONSE_CODE, &status);
  if (status != HTTP_OK)
    {
      append_error_body (transfer, data, unit * count);
      return unit * count;
    }
  if (csp_feed_sse (transfer->reader, data, unit * count, handle_event,
                    transfer)
      != 0)
    {
      if (transfer->end == CSP_LINK_END_COUNT)
        transfer->end = CSP_LINK_BROKEN;
      return 0;
    }
  return unit * count;
}

/* Only the time since the last token shows that a link is dead; the total
   duration doesn't, since the length of the answer is unknown.  */
static csp_link_end_t
check_limits (const transfer_t *transfer)
{
  const csp_engine_link_t *link = transfer->link;
  int64_t gap_ms = csp_now_ms (link->clock) - transfer->last_token_ms;
  bool first = transfer->report->delivered == 0 && !link->resume;
  int64_t limit_ms
      = first ? link->first_token_timeout_ms : link->stall_timeout_ms;

  if (gap_ms > limit_ms)
    return CSP_LINK_STALLED;
  return link->check (link->state);
}

static void
run_transfer (transfer_t *transfer, CURLM *multi)
{
  CURLMsg *message;
  int running = 1;
  int left;

  while (transfer->end == CSP_LINK_END_COUNT)
    {
      if (curl_multi_perform (multi, &running) != CURLM_OK)
        return;
      message = curl_multi_info_read (multi, &left);
      if (message != NULL && message->msg == CURLMSG_DONE)
        return;
      if (check_limits (transfer) != CSP_LINK_COMPLETE)
        {
          transfer->end = check_limits (transfer);
          break;
        }
      curl_multi_poll (multi, NULL, 0, POLL_MS, NULL);
    }
}

static const char *
error_text (json_object *document, const char *name)
{
  json_object *error = NULL;
  json_object *member = NULL;

  if (!json_object_object_get_ex (document, "error", &error)
      || !json_object_object_get_ex (error, name, &member))
    return "";
  return json_object_get_string (member);
}

/* Reads the target's error message and derives the end from status and
   headers.  */
static csp_link_end_t
classify_status (transfer_t *transfer)
{
  uint16_t status = transfer->report->status;
  json_object *document = json_tokener_parse (transfer->error_body);
  csp_link_end_t end = CSP_LINK_FAILED;

  if (document != NULL)
    snprintf (transfer->report->message, sizeof transfer->report->message,
              "%s", error_text (document, "message"));
  if (transfer->head.not_run)
    end = CSP_LINK_NOT_STARTED;
  else if (transfer->link->resume)
    end = status == HTTP_NOT_FOUND ? CSP_LINK_UNKNOWN : CSP_LINK_FAILED;
  else if (status == HTTP_CONFLICT)
    end = CSP_LINK_EXISTS;
  else if (status == HTTP_BAD_REQUEST || status == HTTP_NOT_FOUND
           || status == HTTP_TOO_LARGE || status == HTTP_UNPROCESSABLE)
    end = CSP_LINK_REJECTED;
  json_object_put (document);
  return end;
}

static csp_link_end_t
classify_end (transfer_t *transfer)
{
  csp_engine_link_report_t *report = transfer->report;
  long status = 0;

  curl_easy_getinfo (transfer->call, CURLINFO_RESPONSE_CODE, &status);
  report->status = (uint16_t)status;
  report->may_have_been_sent = !csp_is_nothing_sent (transfer->call);
  if (transfer->end != CSP_LINK_END_COUNT)
    return transfer->end;
  if (!report->may_have_been_sent)
    return CSP_LINK_NO_CONNECT;
  if (transfer->head.is_whole && status != HTTP_OK)
    return classify_status (transfer);
  return CSP_LINK_CUT;
}

static struct curl_slist *
make_headers (const csp_engine_link_t *link,
              const csp_generation_t *generation)
{
  struct curl_slist *headers = NULL;
  char line[CSP_URL_BYTES];

  headers = curl_slist_append (headers, "Content-Type: application/json");
  headers = curl_slist_append (headers, "Expect:");
  snprintf (line, sizeof line, "X-Generation-Id: %s", generation->id);
  headers = curl_slist_append (headers, line);
  snprintf (line, sizeof line, "X-Priority: %u", link->priority);
  headers = curl_slist_append (headers, line);
  snprintf (line, sizeof line, "X-Request-Id: %s", link->request_id);
  return curl_slist_append (headers, line);
}

static void
set_request (transfer_t *transfer, struct curl_slist *headers)
{
  char body[64];
  CURL *call = transfer->call;

  curl_easy_setopt (call, CURLOPT_HTTPHEADER, headers);
  if (transfer->link->resume)
    {
      snprintf (body, sizeof body, "{\"from_index\": %llu}",
                (unsigned long long)transfer->generation->next_index);
      curl_easy_setopt (call, CURLOPT_COPYPOSTFIELDS, body);
    }
  else
    curl_easy_setopt (call, CURLOPT_POSTFIELDS, transfer->link->body);
  csp_set_send_gate (call, &transfer->gate);
  curl_easy_setopt (call, CURLOPT_WRITEFUNCTION, handle_body);
  curl_easy_setopt (call, CURLOPT_WRITEDATA, transfer);
}

csp_link_end_t
csp_run_engine_link (const csp_engine_link_t *link,
                     csp_generation_t *generation,
                     csp_engine_link_report_t *report)
{
  transfer_t transfer = { .link = link,
                          .generation = generation,
                          .report = report,
                          .gate = { link->may_send, link->state },
                          .end = CSP_LINK_END_COUNT,
                          .last_token_ms = csp_now_ms (link->clock) };
  struct curl_slist *headers = NULL;
  CURLM *multi = curl_multi_init ();
  char resume_path[CSP_URL_BYTES];
  csp_link_end_t end = CSP_LINK_NO_CONNECT;

  memset (report, 0, sizeof *report);
  snprintf (resume_path, sizeof resume_path, "/v1/generations/%s/resume",
            generation->id);
  transfer.call = csp_create_call (&link->endpoint,
                                   link->resume ? resume_path : link->path,
                                   link->connect_timeout_ms, &transfer.head);
  transfer.reader = csp_create_sse_reader (EVENT_LIMIT_BYTES);
  headers = make_headers (link, generation);
  if (multi == NULL || transfer.call == NULL || transfer.reader == NULL
      || headers == NULL)
    goto done;
  set_request (&transfer, headers);
  curl_multi_add_handle (multi, transfer.call);
  run_transfer (&transfer, multi);
  end = classify_end (&transfer);
  curl_multi_remove_handle (multi, transfer.call);

done:
  curl_easy_cleanup (transfer.call);
  curl_slist_free_all (headers);
  curl_multi_cleanup (multi);
  csp_destroy_sse_reader (transfer.reader);
  return end;
}

static size_t
discard_body (char *data, size_t unit, size_t count, void *state)
{
  (void)data;
  (void)state;
  return unit * count;
}

int
csp_cancel_generation (const csp_endpoint_t *endpoint,
                       const char *generation_id, uint32_t timeout_ms)
{
  char path[CSP_URL_BYTES];
  csp_answer_head_t head;
  CURLcode code;
  CURL *call;

  snprintf (path, sizeof path, "/v1/generations/%s/cancel", generation_id);
  call = csp_create_call (endpoint, path, timeout_ms, &head);
  if (call == NULL)
    return -1;
  curl_easy_setopt (call, CURLOPT_POSTFIELDS, "");
  curl_easy_setopt (call, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (call, CURLOPT_WRITEFUNCTION, discard_body);
  code = curl_easy_perform (call);
  curl_easy_cleanup (call);
  return code == CURLE_OK && head.is_whole ? 0 : -1;
}
