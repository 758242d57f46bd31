#include "cowslipspoke/service-call.h"

#include <stdlib.h>
#include <string.h>

#include "cowslipspoke/text.h"
#include "target/http-imp.h"

enum
{
  POLL_MS = 100,
  LINE_BYTES = 256
};

typedef struct
{
  const csp_service_link_t *link;
  csp_service_answer_t *answer;
  csp_answer_head_t head;
  csp_send_gate_t gate;
} service_transfer_t;

static size_t
append_body (char *data, size_t unit, size_t count, void *state)
{
  service_transfer_t *transfer = state;
  csp_service_answer_t *answer = transfer->answer;
  size_t bytes = unit * count;
  char *body;

  if (answer->body_bytes + bytes > transfer->link->answer_limit_bytes)
    return 0;
  body = realloc (answer->body, answer->body_bytes + bytes + 1);
  if (body == NULL)
    return 0;
  memcpy (body + answer->body_bytes, data, bytes);
  answer->body = body;
  answer->body_bytes += bytes;
  body[answer->body_bytes] = '\0';
  return bytes;
}

static struct curl_slist *
make_headers (const csp_service_link_t *link)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  char line[LINE_BYTES];

  snprintf (line, sizeof line, "Content-Type: %s", link->content_type);
  headers = curl_slist_append (headers, line);
  snprintf (line, sizeof line, "X-Request-Id: %s", link->request_id);
  return curl_slist_append (headers, line);
}

static void
set_call (CURL *call, service_transfer_t *transfer, struct curl_slist *headers)
{
  const csp_service_link_t *link = transfer->link;

  curl_easy_setopt (call, CURLOPT_HTTPHEADER, headers);
  if (link->body_bytes > 0)
    {
      curl_easy_setopt (call, CURLOPT_POSTFIELDSIZE, (long)link->body_bytes);
      curl_easy_setopt (call, CURLOPT_POSTFIELDS, link->body);
    }
  else if (strcmp (link->method, "HEAD") == 0)
    curl_easy_setopt (call, CURLOPT_NOBODY, 1L);
  csp_set_send_gate (call, &transfer->gate);
  curl_easy_setopt (call, CURLOPT_CUSTOMREQUEST, link->method);
  curl_easy_setopt (call, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (call, CURLOPT_WRITEDATA, transfer);
}

/* Runs the transfer.  Returns CSP_LINK_COMPLETE when it ended by itself, the
   end that link->check requested, or CSP_LINK_CUT when curl fails.  */
static csp_link_end_t
run_call (const csp_service_link_t *link, CURLM *multi, CURLcode *code)
{
  csp_link_end_t requested_end;
  CURLMsg *message;
  int running = 1;
  int left;

  for (;;)
    {
      if (curl_multi_perform (multi, &running) != CURLM_OK)
        return CSP_LINK_CUT;
      message = curl_multi_info_read (multi, &left);
      if (message != NULL && message->msg == CURLMSG_DONE)
        {
          *code = message->data.result;
          return CSP_LINK_COMPLETE;
        }
      requested_end = link->check (link->state);
      if (requested_end != CSP_LINK_COMPLETE)
        return requested_end;
      curl_multi_poll (multi, NULL, 0, POLL_MS, NULL);
    }
}

static csp_link_end_t
classify_result (CURL *call, const service_transfer_t *transfer, CURLcode code,
                 csp_link_end_t end)
{
  csp_service_answer_t *answer = transfer->answer;
  const char *type = NULL;
  long status = 0;

  answer->may_have_been_sent = !csp_is_nothing_sent (call);
  curl_easy_getinfo (call, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (call, CURLINFO_CONTENT_TYPE, &type);
  answer->status = (uint16_t)status;
  csp_copy_text (answer->content_type, sizeof answer->content_type,
                 type == NULL ? "application/octet-stream" : type);
  if (end != CSP_LINK_COMPLETE)
    return end;
  if (!answer->may_have_been_sent)
    return CSP_LINK_NO_CONNECT;
  if (code != CURLE_OK || !transfer->head.is_whole)
    return CSP_LINK_CUT;
  return transfer->head.not_run ? CSP_LINK_NOT_STARTED : CSP_LINK_COMPLETE;
}

csp_link_end_t
csp_run_service_link (const csp_service_link_t *link,
                      csp_service_answer_t *answer)
{
  service_transfer_t transfer = { .link = link,
                                  .answer = answer,
                                  .gate = { link->may_send, link->state } };
  CURL *call = csp_create_call (&link->endpoint, link->path,
                                link->connect_timeout_ms, &transfer.head);
  CURLM *multi = curl_multi_init ();
  struct curl_slist *headers = make_headers (link);
  csp_link_end_t end = CSP_LINK_NO_CONNECT;
  CURLcode code = CURLE_OK;

  memset (answer, 0, sizeof *answer);
  if (call == NULL || multi == NULL || headers == NULL)
    goto done;
  set_call (call, &transfer, headers);
  curl_multi_add_handle (multi, call);
  end = run_call (link, multi, &code);
  end = classify_result (call, &transfer, code, end);
  curl_multi_remove_handle (multi, call);

done:
  curl_easy_cleanup (call);
  curl_multi_cleanup (multi);
  curl_slist_free_all (headers);
  return end;
}
