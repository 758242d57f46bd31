#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H

#include "cowslipspoke/gateway.h"

#include <netinet/in.h>
#include <pthread.h>

/* A gateway on loopback, on a thread of its own.  The test plays callers and
   targets by itself, one step after another, so the order of things is the
   test's and not the machine's.  Time is a fake clock for all that the
   gateway decides; waits for bytes end after some seconds with a failure.  */

enum
{
  FIXTURE_TEXT_BYTES = 400000
};

typedef struct
{
  csp_gateway_t *gateway;
  csp_fake_clock_t fake;
  pthread_t thread;
  bool running;
  uint64_t version;
  void (*ended) (void); /* called when the run is over, before the end */
  /* Set before it is opened: hosts lend each other so many retries, and have
     none of their own; 0: they have four and lend none.  */
  uint32_t lent_retries;
  /* Another host that it knows from its start; NULL: none.  */
  const struct sockaddr_in *seed;
  /* Where targets are listed; NULL: in the gateway's own data centre.  */
  const char *targets_in;
} fixture_t;

/* Routes, all at host "h": /safe/ (idempotent, two attempts) and /once/ go to
   service "plain", /open/ needs no key; /stream/ goes to "engines".  Key
   "key-a" belongs to organisation "org-a".  */
void fixture_open (fixture_t *fixture);

/* The same, hearing other hosts at an address.  */
void fixture_open_at (fixture_t *fixture, const struct sockaddr_in *peers);
void fixture_close (fixture_t *fixture);

/* Publish the routes; with_key: key-a is among the keys.  */
void fixture_publish (fixture_t *fixture, bool with_key);

/* Open a target and list it; returns its listening socket.  */
int fixture_target (fixture_t *fixture, const char *id, const char *service);

/* List a target again as it is.  */
void fixture_list (fixture_t *fixture, int listener, const char *id,
                   const char *service);

/* List a target again as leaving, or drop it from the list.  */
void fixture_leave (fixture_t *fixture, int listener, const char *id,
                    const char *service);
void fixture_remove (fixture_t *fixture, const char *id);
void fixture_update (fixture_t *fixture, csp_update_kind_t kind);

/* Wait until the gateway has taken all updates so far.  */
void fixture_settle (fixture_t *fixture);

/* Fetch a page of the readiness listener; the whole answer.  */
const char *fixture_page (fixture_t *fixture, const char *path);

/* A caller: connect, send bytes, and read.  */
int caller_open (fixture_t *fixture);
void send_text (int socket, const char *text);
void send_bytes (int socket, const char *data, size_t size_bytes);

/* Read until the text holds what is awaited, and return all that was read
   since the last call; fails the test when it doesn't come.  */
const char *read_until (int socket, const char *awaited);

/* Read to the end.  Returns the text; *reset tells how it ended.  */
const char *read_to_end (int socket, bool *reset);

/* Whether the peer closes the connection without a further byte.  */
bool is_closed (int socket);

/* A target: take a connection, and read a request of so many body bytes.  */
int target_accept (int listener);
const char *target_read (int socket, size_t body_bytes);

/* Close with a reset, so that the peer sees no orderly end.  */
void reset_socket (int socket);

/* A request of a caller, and a target's answer to one.  */
#define REQUEST(path, id)                                                     \
  "GET " path " HTTP/1.1\r\nHost: h\r\nKey: key-a\r\nRequest-Id: " id         \
  "\r\nTime-Left: 3000\r\n\r\n"
#define ANSWER(id, body, length)                                              \
  "HTTP/1.1 200 OK\r\nRequest-Id: " id                                        \
  "\r\nSignature: s\r\nContent-Length: " length "\r\n\r\n" body

#endif
