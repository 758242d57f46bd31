#include "target/http-imp.h"

#include "cowslipspoke/http.h"

#include <string.h>
#include <strings.h>

bool
csp_is_answer_line (const char *line, size_t size_bytes)
{
  static const char status_prefix[] = "HTTP/";

  return size_bytes < sizeof status_prefix - 1
         || memcmp (line, status_prefix, sizeof status_prefix - 1) != 0
         || csp_is_http_status_line (line, size_bytes);
}

static size_t
check_header (char *data, size_t unit, size_t count, void *state)
{
  (void)state;
  return csp_is_answer_line (data, unit * count) ? unit * count : 0;
}

CURL *
csp_create_call (const csp_endpoint_t *endpoint, const char *path,
                 uint32_t connect_timeout_ms)
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
  curl_easy_setopt (call, CURLOPT_HEADERFUNCTION, check_header);
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

bool
csp_is_not_run_header (const char *line, size_t size_bytes)
{
  static const char not_run_prefix[] = "X-Verdict: not run";

  return size_bytes >= sizeof not_run_prefix - 1
         && strncasecmp (line, not_run_prefix, sizeof not_run_prefix - 1) == 0;
}
