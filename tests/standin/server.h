#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include <civetweb.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  STANDIN_JSON_STYLE = JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE,
  STANDIN_MS_PER_S = 1000,
  STANDIN_US_PER_MS = 1000,
  STANDIN_NS_PER_MS = 1000000,
  STANDIN_MAX_BODY_BYTES = 8 * 1024 * 1024
};

/* One path of a stand-in and what answers it; a table ends with a null
   path.  Patterns are CivetWeb's.  */
typedef struct
{
  const char *path;
  mg_request_handler handler;
} standin_route_t;

/* Serve on loopback until SIGTERM or SIGINT.  Port 0 is the kernel's choice;
   prints the one line "ready http=PORT".  Returns the exit code.  */
int standin_serve (uint16_t port, unsigned threads,
                   const standin_route_t *routes, void *state);

/* Steady milliseconds and microseconds of this machine.  */
int64_t standin_now_ms (void);
int64_t standin_now_us (void);

/* The request's body as a nul-terminated string, or null when it is too
   large or cut; the caller frees it.  */
char *standin_read_body (struct mg_connection *conn);

/* The request's body as JSON, or null when it isn't an object.  */
json_object *standin_read_json (struct mg_connection *conn);

/* Answer with JSON, which is released.  headers is empty or whole header
   lines, each with its CR LF.  */
int standin_send_json (struct mg_connection *conn, int status,
                       const char *headers, json_object *json);

/* Answer with JSON text, which is freed.  */
int standin_send_text (struct mg_connection *conn, char *text);

/* Answer with the usual error JSON.  */
int standin_send_error (struct mg_connection *conn, int status,
                        const char *headers, const char *code);

/* Send some bytes as one chunk of a chunked answer; false when the link is
   gone.  */
bool standin_send_chunk (struct mg_connection *conn, const char *data,
                         size_t size_bytes);

/* A whole number of the query string, or a default.  */
int64_t standin_query_number (struct mg_connection *conn, const char *name,
                              int64_t otherwise);

/* Members of an object with defaults; the string belongs to the object.  */
int64_t standin_json_number (json_object *json, const char *name,
                             int64_t otherwise);
const char *standin_json_string (json_object *json, const char *name,
                                 const char *otherwise);

/* A header's value, or the empty string.  */
const char *standin_header (struct mg_connection *conn, const char *name);

/* End the link without a clean end of the answer.  Returns what a handler
   returns then.  */
int standin_cut (struct mg_connection *conn);

/* Read a whole number of the command line; exits 2 on anything else.  */
int64_t standin_parse_number (const char *text);

#endif
