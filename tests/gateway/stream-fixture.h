#ifndef TESTS_STREAM_FIXTURE_H
#define TESTS_STREAM_FIXTURE_H

#include "gateway/gateway-fixture.h"

#include <stdbool.h>

/* One stream through a gateway, and two engines; the one that gets the request
   is "from", the other the one that it may go on at.  */

typedef struct
{
  fixture_t fixture;
  int listeners[2];
  int from;      /* index of the engine that got the request */
  int link_from; /* its connection */
  int caller;
  struct sockaddr_in peers; /* where the gateway hears other hosts */
} stream_fixture_t;

extern stream_fixture_t stream;
extern const char *const stream_ids[2];

#define STREAM_HEAD                                                           \
  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"                     \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#define EVENT(id, text) "id: " id "\ndata: " text "\n\n"

void stream_set_up (void);
void stream_tear_down (void);

void send_chunk (int socket, const char *text);

/* Ask for a stream; one engine gets it, with or without a second one that its
   run is backed up to.  hint: the caller's guess of the output's tokens.  */
void start_guessed_stream (bool with_backup, int hint);
void start_stream (bool with_backup);

/* The second engine joins once the stream runs.  */
void add_second (void);

unsigned port_of (int listener);

/* The engine ends the stream, and so it ends for the caller.  */
void finish_at (int link);

#endif
