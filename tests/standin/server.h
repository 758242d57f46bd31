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

/* One path of a stand-in and its request handler; a table of routes ends
   with a null path.  path is a CivetWeb URI pattern.  */
typedef struct
{
  const char *path;
  mg_request_handler handler;
} standin_route_t;

/* Serve on loopback until SIGTERM or SIGINT.  With port 0 the kernel chooses
   a free port.  Prints one line, "ready http=PORT", once it listens.  Returns
   the exit code.  */
int standin_serve (uint16_t port, unsigned threads,
                   const standin_route_t *routes, void *state);

/* The monotonic clock in milliseconds and in microseconds.  */
int64_t standin_now_ms (void);
int64_t standin_now_us (void);

/* The request's body as a nul-terminated string, which the caller frees, or
   null when it is too large or memory is out.  */
char *standin_read_body (struct mg_connection *conn);

/* The request's body as JSON, or null when it isn't an object.  */
json_object *standin_read_json (struct mg_connection *conn);

/* Answer with JSON and release it.  headers is empty or complete header
   lines, each ended by CR LF.  */
int standin_send_json (struct mg_connection *conn, int status,
                       const char *headers, json_object *json);

/* Answer 200 with JSON text and free the text.  */
int standin_send_json_text (struct mg_connection *conn, char *text);

/* Answer with an error as JSON: {"error": {"code": ..., "message": ...}}.  */
int standin_send_error (struct mg_connection *conn, int status,
                        const char *headers, const char *code);

/* Send some bytes as one chunk of a chunked answer; size 0 ends the answer.
   False when the connection is closed.  */
bool standin_send_chunk (struct mg_connection *conn, const char *data,
                         size_t size_bytes);

/* An integer parameter of the query string, or the default.  */
int64_t standin_query_number (struct mg_connection *conn, const char *name,
                              int64_t default_value);

/* A member of an object, or the default; the string belongs to the object.  */
int64_t standin_json_number (json_object *json, const char *name,
                             int64_t default_value);
const char *standin_json_string (json_object *json, const char *name,
                                 const char *default_value);

/* A header's value, or the empty string.  */
const char *standin_header (struct mg_connection *conn, const char *name);

/* Close the connection without completing the answer.  Returns the value
   that the handler must return.  */
int standin_drop_connection (struct mg_connection *conn);

/* Parse an integer argument of the command line; exits with 2 when it isn't
   one.  */
int64_t standin_parse_number (const char *text);

#endif
