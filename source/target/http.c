#include "target/http-imp.h"

#include "cowslipspoke/http.h"

#include <string.h>
#include <strings.h>

static bool
begins_with (const char *line, size_t size_bytes, const char *prefix)
{
  return size_bytes >= strlen (prefix)
         && strncasecmp (line, prefix, strlen (prefix)) == 0;
}

/* Begins a head: the final one, or one more interim one before it.  */
static bool
read_status_line (csp_answer_head_t *head, const char *line, size_t size_bytes)
{
  static const size_t status_offset = sizeof "HTTP/1.1 " - 1;

  if (!csp_is_http_status_line (line, size_bytes))
    return false;
  *head = (csp_answer_head_t){ .is_interim = line[status_offset] == '1' };
  return true;
}

static size_t
read_head_line (char *line, size_t unit, size_t count, void *state)
{
  csp_answer_head_t *head = state;
  size_t size_bytes = unit * count;

  /* Of a chunked answer the fields behind the body come here too.  */
  if (head->is_whole)
    return size_bytes;
  if (begins_with (line, size_bytes, "HTTP/"))
    return read_status_line (head, line, size_bytes) ? size_bytes : 0;
  if (begins_with (line, size_bytes, "X-Verdict: not run"))
    head->not_run = true;
  if (line[0] == '\r' || line[0] == '\n')
    head->is_whole = !head->is_interim;
  return size_bytes;
}

CURL *
csp_create_call (const csp_endpoint_t *endpoint, const char *path,
                 uint32_t connect_timeout_ms, csp_answer_head_t *head)
{
  CURL *call = curl_easy_init ();
  const char *scheme = endpoint->ca_file == NULL ? "http" : "https";
  char url[CSP_URL_BYTES];

  if (call == NULL)
    return NULL;
  snprintf (url, sizeof url, "%s://%s:%u%s", scheme, endpoint->address,
            endpoint->port, path);
  curl_easy_setopt (call, CURLOPT_URL, url);
  curl_easy_setopt (call, CURLOPT_NOSIGNAL, 1L);
  *head = (csp_answer_head_t){ .is_whole = false };
  curl_easy_setopt (call, CURLOPT_HEADERFUNCTION, read_head_line);
  curl_easy_setopt (call, CURLOPT_HEADERDATA, head);
  curl_easy_setopt (call, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (call, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (call, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (call, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (call, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (call, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_timeout_ms);
  if (endpoint->ca_file != NULL)
    curl_easy_setopt (call, CURLOPT_CAINFO, endpoint->ca_file);
  return call;
}

bool
csp_is_nothing_sent (CURL *call)
{
  long request_bytes = 0;

  curl_easy_getinfo (call, CURLINFO_REQUEST_SIZE, &request_bytes);
  return request_bytes == 0;
}

static int
query_gate (void *state, char *address, char *local_address, int port,
            int local_port)
{
  const csp_send_gate_t *gate = state;

  (void)address;
  (void)local_address;
  (void)port;
  (void)local_port;
  return gate->may_send (gate->state) ? CURL_PREREQFUNC_OK
                                      : CURL_PREREQFUNC_ABORT;
}

void
csp_set_send_gate (CURL *call, csp_send_gate_t *gate)
{
  if (gate->may_send == NULL)
    return;
  curl_easy_setopt (call, CURLOPT_PREREQFUNCTION, query_gate);
  curl_easy_setopt (call, CURLOPT_PREREQDATA, gate);
}
