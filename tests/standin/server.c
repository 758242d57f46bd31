#include "server.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

int64_t
standin_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * STANDIN_MS_PER_S * STANDIN_US_PER_MS
         + now.tv_nsec / STANDIN_US_PER_MS;
}

int64_t
standin_now_ms (void)
{
  return standin_now_us () / STANDIN_US_PER_MS;
}

static int
discard_log_message (const struct mg_connection *conn, const char *message)
{
  (void)conn;
  (void)message;
  return 1;
}

int
standin_serve (uint16_t port, unsigned threads, const standin_route_t *routes,
               void *state)
{
  struct mg_callbacks callbacks = { .log_message = discard_log_message };
  struct mg_server_port bound = { 0 };
  struct mg_context *server;
  char port_text[32];
  char thread_text[16];
  const char *options[] = { "listening_ports",
                            port_text,
                            "num_threads",
                            thread_text,
                            "tcp_nodelay",
                            "1",
                            "listen_backlog",
                            "1000",
                            "connection_queue",
                            "1000",
                            NULL };
  sigset_t stop_signals;
  int signal_number;

  /* The signals are blocked before the server starts its threads: these
     inherit the mask, so that only sigwait below receives the signals.  */
  sigemptyset (&stop_signals);
  sigaddset (&stop_signals, SIGTERM);
  sigaddset (&stop_signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &stop_signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  snprintf (port_text, sizeof port_text, "127.0.0.1:%u", port);
  snprintf (thread_text, sizeof thread_text, "%u", threads);
  server = mg_start (&callbacks, NULL, options);
  if (server == NULL || mg_get_server_ports (server, 1, &bound) < 1)
    {
      fprintf (stderr, "can't listen on %s\n", port_text);
      return EXIT_FAILURE;
    }
  for (; routes->path != NULL; routes++)
    mg_set_request_handler (server, routes->path, routes->handler, state);
  printf ("ready http=%d\n", bound.port);
  fflush (stdout);
  sigwait (&stop_signals, &signal_number);
  /* mg_stop would wait for every open stream to end.  */
  _Exit (EXIT_SUCCESS);
}

char *
standin_read_body (struct mg_connection *conn)
{
  size_t capacity_bytes = 4096;
  size_t used_bytes = 0;
  char *body = malloc (capacity_bytes);
  int read_bytes;

  while (body != NULL
         && (read_bytes = mg_read (conn, body + used_bytes,
                                   capacity_bytes - used_bytes - 1))
                > 0)
    {
      used_bytes += (size_t)read_bytes;
      if (used_bytes + 1 < capacity_bytes)
        continue;
      capacity_bytes *= 2;
      if (capacity_bytes > STANDIN_MAX_BODY_BYTES)
        {
          free (body);
          return NULL;
        }
      body = realloc (body, capacity_bytes);
    }
  if (body != NULL)
    body[used_bytes] = '\0';
  return body;
}

json_object *
standin_read_json (struct mg_connection *conn)
{
  char *body = standin_read_body (conn);
  json_object *json = body == NULL ? NULL : json_tokener_parse (body);

  free (body);
  if (json != NULL && !json_object_is_type (json, json_type_object))
    {
      json_object_put (json);
      json = NULL;
    }
  return json;
}

int
standin_send_json (struct mg_connection *conn, int status, const char *headers,
                   json_object *json)
{
  size_t size_bytes;
  const char *text = json_object_to_json_string_length (
      json, STANDIN_JSON_STYLE, &size_bytes);

  mg_printf (conn,
             "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n%s\r\n",
             status, mg_get_response_code_text (conn, status), size_bytes,
             headers);
  mg_write (conn, text, size_bytes);
  json_object_put (json);
  return status;
}

int
standin_send_json_text (struct mg_connection *conn, char *text)
{
  mg_printf (conn,
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n\r\n",
             strlen (text));
  mg_write (conn, text, strlen (text));
  free (text);
  return 200;
}

int
standin_send_error (struct mg_connection *conn, int status,
                    const char *headers, const char *code)
{
  json_object *json = json_object_new_object ();
  json_object *error = json_object_new_object ();

  json_object_object_add (error, "code", json_object_new_string (code));
  json_object_object_add (error, "message", json_object_new_string (code));
  json_object_object_add (json, "error", error);
  return standin_send_json (conn, status, headers, json);
}

bool
standin_send_chunk (struct mg_connection *conn, const char *data,
                    size_t size_bytes)
{
  char frame[4096];
  int size_line_bytes = snprintf (frame, sizeof frame, "%zx\r\n", size_bytes);

  if ((size_t)size_line_bytes + size_bytes + 2 > sizeof frame)
    return mg_send_chunk (conn, data, (unsigned)size_bytes) > 0;
  if (size_bytes > 0)
    memcpy (frame + size_line_bytes, data, size_bytes);
  memcpy (frame + size_line_bytes + size_bytes, "\r\n", 2);
  return mg_write (conn, frame, (size_t)size_line_bytes + size_bytes + 2) > 0;
}

int64_t
standin_query_number (struct mg_connection *conn, const char *name,
                      int64_t default_value)
{
  const char *query = mg_get_request_info (conn)->query_string;
  char text[32];

  if (query == NULL
      || mg_get_var (query, strlen (query), name, text, sizeof text) <= 0)
    return default_value;
  return strtoll (text, NULL, 10);
}

int64_t
standin_json_number (json_object *json, const char *name,
                     int64_t default_value)
{
  json_object *member;

  if (!json_object_object_get_ex (json, name, &member) || member == NULL)
    return default_value;
  return json_object_get_int64 (member);
}

const char *
standin_json_string (json_object *json, const char *name,
                     const char *default_value)
{
  json_object *member;

  if (!json_object_object_get_ex (json, name, &member) || member == NULL)
    return default_value;
  return json_object_get_string (member);
}

const char *
standin_header (struct mg_connection *conn, const char *name)
{
  const char *value = mg_get_header (conn, name);

  return value == NULL ? "" : value;
}

int
standin_drop_connection (struct mg_connection *conn)
{
  /* CivetWeb closes the connection when a handler returns before its answer
     is complete.  */
  return mg_get_request_info (conn) == NULL ? 0 : 500;
}

int64_t
standin_parse_number (const char *text)
{
  char *end;
  int64_t value;

  errno = 0;
  value = strtoll (text, &end, 10);
  if (errno == 0 && end != text && *end == '\0')
    return value;
  fprintf (stderr, "not a number: %s\n", text);
  exit (2);
}
