#include "caller-call.h"
#include "server.h"

#include <curl/curl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

enum
{
  HEADER_BYTES = 256,
  URL_BYTES = 512,
  MAX_RETRY_WAIT_MS = 300,
  READY_TIMEOUT_MS = 500,
  MAX_READY_PROBES = 60,
  READY_POLL_MS = 20
};

typedef struct
{
  const caller_options_t *options;
  answer_t *answer;
  bool stream; /* the answer is an event stream */
} call_t;

static void
sleep_ms (int64_t ms)
{
  struct timespec time
      = { ms / STANDIN_MS_PER_S, (ms % STANDIN_MS_PER_S) * STANDIN_NS_PER_MS };

  nanosleep (&time, NULL);
}

static bool
match_header (const char *line, const char *name, char *value)
{
  size_t size = strlen (name);

  if (strncasecmp (line, name, size) != 0 || line[size] != ':')
    return false;
  line += size + 1;
  line += strspn (line, " ");
  snprintf (value, ANSWER_NAME_BYTES, "%.*s", (int)strcspn (line, "\r\n"),
            line);
  return true;
}

static size_t
receive_header (char *data, size_t size, size_t count, void *state)
{
  call_t *call = state;
  answer_t *answer = call->answer;
  char line[HEADER_BYTES];
  char value[ANSWER_NAME_BYTES];

  snprintf (line, sizeof line, "%.*s", (int)(size * count), data);
  match_header (line, "X-Request-Id", answer->request_id);
  match_header (line, "X-Verdict", answer->verdict);
  if (match_header (line, "Retry-After", value))
    answer->retry_after_s = strtoll (value, NULL, 10);
  if (match_header (line, "Content-Type", value))
    call->stream = strncmp (value, "text/event-stream", 17) == 0;
  return size * count;
}

static size_t
receive_body (char *data, size_t size, size_t count, void *state)
{
  call_t *call = state;
  const caller_options_t *options = call->options;

  if (options->read_delay_ms > 0)
    sleep_ms (options->read_delay_ms);
  if (call->stream)
    answer_read_stream (call->answer, data, size * count);
  else
    answer_read_body (call->answer, data, size * count);
  if (options->hang_up_after > 0
      && call->answer->tokens >= options->hang_up_after)
    {
      call->answer->end = END_HUNG_UP;
      return 0;
    }
  return size * count;
}

static struct curl_slist *add_header (struct curl_slist *list,
                                      const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static struct curl_slist *
add_header (struct curl_slist *list, const char *format, ...)
{
  char line[HEADER_BYTES];
  va_list args;

  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  return curl_slist_append (list, line);
}

static struct curl_slist *
make_headers (const caller_options_t *options, int64_t number, int64_t attempt)
{
  struct curl_slist *list = NULL;
  int64_t i;

  list = add_header (list, "Content-Type: application/json");
  if (options->key != NULL)
    list = add_header (list, "Authorization: Bearer %s", options->key);
  if (options->idempotency_key != NULL)
    list = add_header (list, "Idempotency-Key: %s", options->idempotency_key);
  if (options->non_idempotent)
    list = add_header (list, "X-Non-Idempotent: true");
  if (options->class_name != NULL)
    list = add_header (list, "X-Class: %s", options->class_name);
  if (options->deadline_ms > 0)
    list = add_header (list, "X-Deadline-Ms: %lld",
                       (long long)options->deadline_ms);
  if (attempt > 0)
    list = add_header (list, "X-Attempt: %lld", (long long)attempt);
  if (options->direct)
    list = add_header (list, "X-Priority: 5");
  if (options->generation_id != NULL)
    list = add_header (list, "X-Generation-Id: %s", options->generation_id);
  else if (options->direct)
    list = add_header (list, "X-Generation-Id: direct-%d-%lld", (int)getpid (),
                       (long long)number);
  for (i = 0; i < options->header_count; i++)
    list = curl_slist_append (list, options->headers[i]);
  return list;
}

/* The body of a generation request, built from the options.  */
static char *
make_body (const caller_options_t *options)
{
  json_object *body = json_object_new_object ();
  json_object *message = json_object_new_object ();
  json_object *messages = json_object_new_array ();
  char hint[32] = "";
  char *prompt;
  char *text;

  if (options->tokens > 0)
    snprintf (hint, sizeof hint, " [tokens=%lld]", (long long)options->tokens);
  if (asprintf (&prompt, "%s%s", options->prompt, hint) < 0)
    abort ();
  json_object_object_add (message, "role", json_object_new_string ("user"));
  json_object_object_add (message, "content", json_object_new_string (prompt));
  json_object_array_add (messages, message);
  json_object_object_add (body, "model",
                          json_object_new_string (options->model));
  if (options->chat)
    json_object_object_add (body, "messages", json_object_get (messages));
  else
    json_object_object_add (body, "prompt", json_object_new_string (prompt));
  if (options->max_tokens > 0)
    json_object_object_add (body, "max_tokens",
                            json_object_new_int64 (options->max_tokens));
  json_object_object_add (body, "stream",
                          json_object_new_boolean (!options->not_streamed));
  text = strdup (json_object_to_json_string_ext (body, STANDIN_JSON_STYLE));
  json_object_put (body);
  json_object_put (messages);
  free (prompt);
  return text;
}

static char *
make_filler_body (size_t size_bytes)
{
  char *body = malloc (size_bytes + 1);

  if (body == NULL)
    abort ();
  memset (body, 'a', size_bytes);
  body[size_bytes] = '\0';
  return body;
}

static bool
is_generation (const caller_options_t *options)
{
  return options->service == NULL && options->path == NULL;
}

static void
make_url (const caller_options_t *options, int64_t port, char url[URL_BYTES])
{
  if (options->service != NULL)
    snprintf (url, URL_BYTES, "http://127.0.0.1:%lld/v1/services/%s",
              (long long)port, options->service);
  else if (options->path != NULL)
    snprintf (url, URL_BYTES, "http://127.0.0.1:%lld%s", (long long)port,
              options->path);
  else
    snprintf (url, URL_BYTES, "http://127.0.0.1:%lld/v1/%scompletions",
              (long long)port, options->chat ? "chat/" : "");
}

static void
set_request (CURL *curl, const caller_options_t *options, const char *body)
{
  if (body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
      curl_easy_setopt (curl, CURLOPT_COPYPOSTFIELDS, body);
    }
  if (options->method != NULL)
    curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, options->method);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, receive_body);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, receive_header);
}

/* Set how the answer ended, from the result of the transfer.  */
static void
classify_end (call_t *call, CURLcode result)
{
  answer_t *answer = call->answer;

  if (!call->stream)
    answer_finish_body (answer, is_generation (call->options));
  if (result == CURLE_COULDNT_CONNECT)
    {
      strcpy (answer->verdict, "not run");
      strcpy (answer->reason, "no_connection");
      answer->end = END_ERROR;
    }
  if (answer->end != END_NONE || answer->status == 0)
    return;
  if (result != CURLE_OK)
    answer->end = END_CUT;
  else if (answer->status >= 400)
    answer->end = END_ERROR;
  else
    answer->end = !call->stream || answer->done ? END_DONE : END_CUT;
}

void
caller_send (const caller_options_t *options, int64_t number,
             int64_t try_number, answer_t *answer)
{
  call_t call = { options, answer, false };
  int64_t port = options->ports[(number + try_number) % options->port_count];
  int64_t attempt
      = options->attempt > 0 || options->max_tries > 1
            ? (options->attempt > 0 ? options->attempt : 1) + try_number
            : 0;
  struct curl_slist *headers = make_headers (options, number, attempt);
  char *generated_body = options->body_bytes > 0
                             ? make_filler_body ((size_t)options->body_bytes)
                         : is_generation (options) ? make_body (options)
                                                   : NULL;
  CURL *curl = curl_easy_init ();
  char url[URL_BYTES];
  CURLcode result;
  long status = 0;

  make_url (options, port, url);
  set_request (curl, options,
               options->body != NULL ? options->body : generated_body);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &call);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &call);
  answer->start_us = standin_now_us ();
  result = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  answer->status = status;
  classify_end (&call, result);
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  free (generated_body);
}

/* The first try number, beginning with try_number, whose port answers /ready
   with 200.  This is how the platform's load balancer skips a host that isn't
   ready.  Without a ready host it is the last one probed.  */
static int64_t
find_ready_try_number (const caller_options_t *options, int64_t number,
                       int64_t try_number)
{
  caller_options_t probe = *options;
  answer_t answer;
  int64_t probes;
  bool ready = false;

  probe.path = "/ready";
  probe.method = "GET";
  probe.body = NULL;
  probe.timeout_ms = READY_TIMEOUT_MS;
  for (probes = 0; probes < MAX_READY_PROBES && !ready; probes++)
    {
      answer_init (&answer);
      caller_send (&probe, number, try_number + probes, &answer);
      ready = answer.status == 200;
      answer_free (&answer);
      if (!ready && probes % options->port_count == options->port_count - 1)
        sleep_ms (READY_POLL_MS);
    }
  return try_number + probes - 1;
}

/* True when the request was not executed, so that a retry is safe: the answer
   has the verdict "not run", or no connection was made.  */
static bool
may_retry (const answer_t *answer)
{
  return answer->end == END_ERROR && strcmp (answer->verdict, "not run") == 0;
}

void
caller_send_with_retries (const caller_options_t *options, int64_t number,
                          answer_t *answer)
{
  int64_t try_number;
  int64_t chosen_try;
  int64_t wait_ms;

  for (try_number = 0;; try_number++)
    {
      chosen_try = options->balanced
                       ? find_ready_try_number (options, number, try_number)
                       : try_number;
      answer_init (answer);
      caller_send (options, number, chosen_try, answer);
      if (try_number + 1 >= options->max_tries || !may_retry (answer))
        return;
      wait_ms = answer->retry_after_ms;
      answer_free (answer);
      sleep_ms (wait_ms < MAX_RETRY_WAIT_MS ? wait_ms : MAX_RETRY_WAIT_MS);
    }
}
