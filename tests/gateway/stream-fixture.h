#ifndef TESTS_STREAM_FIXTURE_H
#define TESTS_STREAM_FIXTURE_H

#include "cowslipspoke/roster.h"
#include "gateway/gateway-fixture.h"

#include <stdbool.h>

/* One stream through a gateway, and two engines.  The engine that gets the
   request is the source; the stream may continue at the other one.  */

typedef struct
{
  fixture_t fixture;
  int listeners[2];
  int source;      /* index of the engine that got the request */
  int source_link; /* the gateway's connection to it */
  int caller;
  const char *path;                    /* of the request; NULL: /stream/ */
  struct sockaddr_in datagram_address; /* where the gateway receives datagrams
                                          of other hosts */
} stream_fixture_t;

extern stream_fixture_t stream;
extern const char *const stream_engine_ids[2];

#define STREAM_HEAD                                                           \
  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"                     \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#define EVENT(id, text) "id: " id "\ndata: " text "\n\n"

void stream_set_up (void);
void stream_tear_down (void);

void send_chunk (int socket, const char *text);

/* Request a stream, which one engine gets.  with_backup: a second engine is
   listed before, to which the run is backed up.  output_hint: the caller's
   estimate of the output tokens.  */
void start_stream_with_hint (bool with_backup, int output_hint);
void start_stream (bool with_backup);

/* The same, with the engines that are listed already; without the first event,
   and with it.  */
void send_stream_request (bool with_backup, int output_hint);
void start_next_stream (bool with_backup, int output_hint);

/* Send a request with id r1 that is no stream.  Returns its caller.  */
int send_plain_request (const char *path);

/* List the second engine, once the stream runs.  */
void add_second_engine (void);

/* Address and port as the gateway writes them; valid until the next call.  */
const char *format_listener_address (int listener);

/* Accept the next request to an engine that is no report.  expected: a part of
   it.  */
int accept_past_reports (int engine, const char *expected);

/* Answer the gateway's question to an engine whether its run has ended.
   question: part of it, "last=1" for a request to stop the run or "/report"
   for a report.  */
void answer_run_check (int engine, const char *question, const char *answer);

/* No connection comes to the engine for a moment.  */
void expect_no_request (int engine);

#define RUN_NOT_FOUND                                                         \
  "HTTP/1.1 404 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

/* Let the engine end the stream, and wait until the caller has received the
   end.  */
void finish_stream (int link);

/* Let the caller leave its stream, and the time since pass.  */
void leave_stream (int64_t ms);

/* Wait until the metrics contain a line.  */
void await_metric (const char *line);

/* Send the gateway a datagram of another host.  */
void send_hello (const csp_hello_t *hello);

/* Open a host that would be the next decider and therefore gets the gateway's
   loads.  */
int open_peer_host (void);

/* Receive the next load at an engine that the gateway reports to another
   host.  */
csp_peer_load_t receive_load (int peer_socket, const char *id);

#endif
