#include "cowslipctl-imp.h"
#include "cowslipspoke/json-reader.h"

#include <curl/curl.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RESPONSE_BYTES_MAX = 16 * 1024 * 1024,
  URL_BYTES_MAX = 512,
  CONNECT_TIMEOUT_MS = 2000,
  TOTAL_TIMEOUT_MS = 10000,
  STATUS_OK = 200
};

typedef struct
{
  char *text;
  size_t size_bytes;
} response_t;

/* Append received data.  The size is limited, so that another program on a
   wrong port can't exhaust the memory.  */
static size_t
append_bytes (char *bytes, size_t size, size_t count, void *context)
{
  response_t *response = context;
  size_t size_bytes = size * count;
  char *text;

  if (response->size_bytes + size_bytes > RESPONSE_BYTES_MAX)
    return 0;
  text = realloc (response->text, response->size_bytes + size_bytes + 1);
  if (text == NULL)
    return 0;
  memcpy (text + response->size_bytes, bytes, size_bytes);
  response->text = text;
  response->size_bytes += size_bytes;
  return size_bytes;
}

static CURLcode
fetch (CURL *curl, const char *host, response_t *response, long *status)
{
  bool is_url = strstr (host, "://") != NULL;
  char url[URL_BYTES_MAX];
  CURLcode code;

  snprintf (url, sizeof url, "%s%s/status", is_url ? "" : "http://", host);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)TOTAL_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_bytes);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, response);
  code = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, status);
  return code;
}

static int
print_response (const char *host, const response_t *response, long status)
{
  struct json_object *root = NULL;

  if (response->text != NULL)
    root = csp_read_json (host, response->text, response->size_bytes, NULL);
  if (status != STATUS_OK || root == NULL)
    {
      fprintf (stderr, "%s: answered %ld %s\n", host, status,
               root == NULL ? "without JSON" : "");
      json_object_put (root);
      return CTL_EXIT_UNREACHABLE;
    }
  puts (json_object_to_json_string_ext (
      root, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (root);
  return CTL_EXIT_SUCCESS;
}

int
ctl_status (char **arguments)
{
  CURL *curl = curl_easy_init ();
  response_t response = { NULL, 0 };
  long status = 0;
  CURLcode code;
  int exit_code = CTL_EXIT_UNREACHABLE;

  if (curl == NULL)
    return CTL_EXIT_UNREACHABLE;
  code = fetch (curl, arguments[0], &response, &status);
  if (code != CURLE_OK)
    fprintf (stderr, "%s: %s\n", arguments[0], curl_easy_strerror (code));
  else
    exit_code = print_response (arguments[0], &response, status);
  free (response.text);
  curl_easy_cleanup (curl);
  return exit_code;
}
