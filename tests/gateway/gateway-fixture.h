#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H

#include "cowslipspoke/gateway.h"

#include <netinet/in.h>
#include <pthread.h>

/* A gateway on loopback, on a thread of its own.  The test acts as callers and
   targets itself, one step after another, so the order of events is fixed by
   the test.  The gateway takes its time from a fake clock; waits for bytes use
   real time and fail the test after some seconds.  */

enum
{
  FIXTURE_TEXT_BYTES = 400000
};

typedef struct
{
  csp_gateway_t *gateway;
  csp_fake_clock_t fake_clock;
  pthread_t thread;
  bool running;
  uint64_t routes_version;
  void (*after_run) (void); /* called after the run, before the gateway is
                               destroyed */
  /* Set before the fixture is opened.  Limit of retries that all hosts share
     by leases; the host then has no retries of its own.  0: the host has four
     retries of its own and there are no leases.  */
  uint32_t fleet_retry_limit;
  /* What the host's network link carries; 0: unknown.  */
  uint64_t link_bytes_per_s;
  /* Address of another host that the gateway knows from its start; NULL:
     none.  */
  const struct sockaddr_in *seed;
  /* Engines back runs up but don't stop them.  */
  bool without_moves;
  /* Largest head of a request in the routes published from now on; 0: 2000. */
  uint32_t head_max_bytes;
  /* Timeout of routes that are published from now on; 0: 4000.  */
  uint32_t route_timeout_ms;
  /* Data centre in which targets are listed; NULL: the gateway's own.  */
  const char *target_data_centre;
  /* Set before the fixture is opened: the gateway has no thread, and the test
     turns its loop.  */
  bool turned_by_test;
} fixture_t;

/* Routes, all at host "h": /safe/ (idempotent, two attempts) and /once/ go to
   service "plain"; so does /open/, which needs no key; /stream/ and /resume/
   (resumable), both with two attempts, go to "engines".  Key "key-a" belongs
   to organisation "org-a".  */
void fixture_open (fixture_t *fixture);

/* Like fixture_open, with a socket at this address for datagrams of other
   hosts.  */
void fixture_open_at (fixture_t *fixture,
                      const struct sockaddr_in *datagram_address);
void fixture_close (fixture_t *fixture);

/* Publish a new version of the routes.  with_key: key-a is among the keys.  */
void fixture_publish_routes (fixture_t *fixture, bool with_key);

/* Open a target and list it.  Returns its listening socket.  */
int fixture_add_target (fixture_t *fixture, const char *id,
                        const char *service);

/* List a target at a listening socket that is already open.  */
void fixture_list_target (fixture_t *fixture, int listener, const char *id,
                          const char *service);

/* List a target again as leaving, or remove it from the list.  */
void fixture_mark_leaving (fixture_t *fixture, int listener, const char *id,
                           const char *service);
void fixture_remove_target (fixture_t *fixture, const char *id);
void fixture_send_update (fixture_t *fixture, csp_update_kind_t kind);

/* Wait until the gateway has handled all updates sent so far.  */
void fixture_await_updates (fixture_t *fixture);

/* Fetch a page of the readiness listener.  Returns the whole answer.  */
const char *fixture_get_page (fixture_t *fixture, const char *path);

/* A caller: connect, send bytes and read.  */
int open_caller (fixture_t *fixture);
void send_text (int socket, const char *text);
void send_bytes (int socket, const char *data, size_t size_bytes);

/* Read until the text contains what is expected.  Returns all that was read by
   this call; fails the test when the text doesn't arrive in time.  */
const char *read_until (int socket, const char *expected);

/* Read to the end of the connection.  Returns the text; *reset says whether
   the connection ended with a reset.  */
const char *read_to_end (int socket, bool *reset);

/* Wait for the peer's next action.  Returns whether it closes the connection
   without sending a further byte.  */
bool await_close (int socket);

/* A target: accept a connection, and read a request with this many body
   bytes.  */
int accept_target_connection (int listener);
const char *read_target_request (int socket, size_t body_bytes);

/* Close with a reset, so that the peer doesn't see an orderly end.  */
void reset_socket (int socket);

/* A caller's request, and a target's answer to it.  */
#define REQUEST(path, id)                                                     \
  "GET " path " HTTP/1.1\r\nHost: h\r\nKey: key-a\r\nRequest-Id: " id         \
  "\r\nTime-Left: 3000\r\n\r\n"
#define ANSWER(id, body, length)                                              \
  "HTTP/1.1 200 OK\r\nRequest-Id: " id                                        \
  "\r\nSignature: s\r\nContent-Length: " length "\r\n\r\n" body

#endif
