#include "cowslipspoke/link.h"

#include <arpa/inet.h>
#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A link on an event loop that the test turns by hand: the server acts while
   the loop stands still, so what it did is seen all at once.  */

static uv_loop_t loop;
static int listener;
static csp_link_t *client;

typedef struct
{
  int answered;
  int ended;
  int failed;
  csp_link_failure_t why;
  char body[64];
  size_t body_bytes;
} seen_t;

static void
on_answered (void *state, const csp_http_head_t *head)
{
  (void)head;
  ((seen_t *)state)->answered++;
}

static void
on_body (void *state, const char *piece, size_t piece_bytes)
{
  seen_t *seen = state;

  memcpy (seen->body + seen->body_bytes, piece, piece_bytes);
  seen->body_bytes += piece_bytes;
}

static void
on_ended (void *state)
{
  ((seen_t *)state)->ended++;
}

static void
on_failed (void *state, csp_link_failure_t why)
{
  seen_t *seen = state;

  seen->failed++;
  seen->why = why;
}

static const csp_link_events_t events = { .answered = on_answered,
                                          .body = on_body,
                                          .ended = on_ended,
                                          .failed = on_failed };

/* Turn the loop until something is seen; the test's own limit ends a wait
   that is in vain.  */
static void
turn_until (const int *count)
{
  while (*count == 0)
    uv_run (&loop, UV_RUN_ONCE);
}

/* Open the link and send a request; returns the server's connection.  */
static int
start (seen_t *seen)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size_bytes = sizeof address;
  char request[128];
  int server;

  uv_loop_init (&loop);
  listener = socket (AF_INET, SOCK_STREAM, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (
      bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (listen (listener, 4), 0);
  getsockname (listener, (struct sockaddr *)&address, &size_bytes);
  client = csp_open_link (&loop, &address, 5000);
  ck_assert_ptr_nonnull (client);
  csp_start_link_request (client, &events, seen, false);
  ck_assert (!csp_link_sent (client));
  csp_write_link (client, "GET / HTTP/1.1\r\n\r\n", 18);
  csp_finish_link_request (client);
  while (!csp_link_sent (client))
    uv_run (&loop, UV_RUN_ONCE);
  server = accept (listener, NULL, NULL);
  ck_assert_int_gt (recv (server, request, sizeof request, 0), 0);
  return server;
}

static void
finish (int server)
{
  csp_close_link (client);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
  close (server);
  close (listener);
}

#define UNFRAMED "HTTP/1.1 200 OK\r\n\r\nhalf"

/* A server crashes in the middle of an answer that ends with its connection.
   The event loop reports the end of the stream where the reset came right
   behind the bytes, and half an answer would pass for a whole one.  */
START_TEST (a_reset_right_behind_the_bytes_is_no_end)
{
  struct linger hard = { .l_onoff = 1, .l_linger = 0 };
  seen_t seen = { 0 };
  int server = start (&seen);

  send (server, UNFRAMED, strlen (UNFRAMED), 0);
  setsockopt (server, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close (server);
  turn_until (&seen.failed);
  ck_assert_int_eq (seen.ended, 0);
  ck_assert_int_eq (seen.why, CSP_LINK_RESET);
  finish (-1);
}
END_TEST

START_TEST (an_orderly_close_ends_an_answer_without_length)
{
  seen_t seen = { 0 };
  int server = start (&seen);

  send (server, UNFRAMED, strlen (UNFRAMED), 0);
  close (server);
  turn_until (&seen.ended);
  ck_assert_int_eq (seen.failed, 0);
  ck_assert_uint_eq (seen.body_bytes, 4);
  ck_assert_uint_eq (csp_link_usable_ms (client), 0);
  finish (-1);
}
END_TEST

/* Which connections may carry another request.  */
static const struct
{
  const char *answer;
  uint32_t usable_ms;
} kept[] = {
  { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 4000 },
  { "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7\r\nContent-Length: 2\r\n\r\nok",
    7000 },
  { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 0 },
  { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", 0 },
  { "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 0 },
  { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
    "Content-Length: 2\r\n\r\nok",
    4000 },
};

START_TEST (a_link_is_kept_without_any_doubt)
{
  seen_t seen = { 0 };
  int server = start (&seen);

  send (server, kept[_i].answer, strlen (kept[_i].answer), 0);
  turn_until (&seen.ended);
  ck_assert_int_eq (seen.answered, 1);
  ck_assert_uint_eq (csp_link_usable_ms (client), kept[_i].usable_ms);
  finish (server);
}
END_TEST

static void
on_lost (void *state, csp_link_t *link)
{
  ck_assert_ptr_eq (link, client);
  ++*(int *)state;
}

/* Bytes on an idle connection belong to no request.  */
START_TEST (an_idle_link_that_speaks_is_lost)
{
  seen_t seen = { 0 };
  int server = start (&seen);
  int lost = 0;

  send (server, kept[0].answer, strlen (kept[0].answer), 0);
  turn_until (&seen.ended);
  csp_park_link (client, on_lost, &lost);
  send (server, "x", 1, 0);
  turn_until (&lost);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
  close (server);
  close (listener);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("link");
  TCase *tcase = tcase_create ("link");

  tcase_set_timeout (tcase, 30);
  tcase_add_test (tcase, a_reset_right_behind_the_bytes_is_no_end);
  tcase_add_test (tcase, an_orderly_close_ends_an_answer_without_length);
  tcase_add_loop_test (tcase, a_link_is_kept_without_any_doubt, 0,
                       sizeof kept / sizeof kept[0]);
  tcase_add_test (tcase, an_idle_link_that_speaks_is_lost);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
