#include "cowslipspoke/fetcher.h"

#include <arpa/inet.h>
#include "support/run-suite.h"

#include <check.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A POST whose status matters, such as an order to an engine.  */
typedef struct
{
  const char *name;
  bool listens;
  bool may_send;
  const char *response; /* NULL: the connection is closed without one */
  long expected_status;
  bool expect_arrival;
} post_case_t;

static const post_case_t post_cases[] = {
  { "started", true, true,
    "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", 202, true },
  { "refused", true, true,
    "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", 409, true },
  { "no status", true, true, "HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n",
    CSP_POST_NO_RESPONSE, true },
  { "too many digits", true, true,
    "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n", CSP_POST_NO_RESPONSE,
    true },
  { "cut", true, true, NULL, CSP_POST_NO_RESPONSE, true },
  { "nobody there", false, true, NULL, CSP_POST_NOT_SENT, false },
  /* The process was paused between its decision and the send, and another host
     owns the engine by now.  An order sent all the same would undo that
     host's order.  */
  { "too late", true, false, NULL, CSP_POST_NOT_SENT, false },
};

typedef struct
{
  const post_case_t *row;
  int listen_socket;
  bool arrived;
  pthread_mutex_t lock;
  pthread_cond_t status_set;
  bool done;
  long status;
} post_t;

static bool
may_send (void *state)
{
  return ((post_t *)state)->row->may_send;
}

static void
take_status (void *state, long status)
{
  post_t *post = state;

  pthread_mutex_lock (&post->lock);
  post->status = status;
  post->done = true;
  pthread_cond_signal (&post->status_set);
  pthread_mutex_unlock (&post->lock);
}

/* Serve one connection; returns when the listening socket is shut down.  */
static void *
serve_one (void *state)
{
  post_t *post = state;
  char request[4096];
  int connection = accept (post->listen_socket, NULL, NULL);

  if (connection < 0)
    return NULL;
  post->arrived = recv (connection, request, sizeof request, 0) > 0;
  if (post->row->response != NULL)
    ck_assert_int_gt (send (connection, post->row->response,
                            strlen (post->row->response), 0),
                      0);
  close (connection);
  return NULL;
}

static uint16_t
open_listener (post_t *post)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size_bytes = sizeof address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  post->listen_socket = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (
      bind (post->listen_socket, (struct sockaddr *)&address, sizeof address),
      0);
  if (post->row->listens)
    ck_assert_int_eq (listen (post->listen_socket, 4), 0);
  getsockname (post->listen_socket, (struct sockaddr *)&address, &size_bytes);
  return ntohs (address.sin_port);
}

START_TEST (post_status_tells_whether_it_may_have_arrived)
{
  post_t post = { .row = &post_cases[_i],
                  .lock = PTHREAD_MUTEX_INITIALIZER,
                  .status_set = PTHREAD_COND_INITIALIZER };
  csp_endpoint_t endpoint = { .address = "127.0.0.1" };
  csp_fetcher_t *fetcher = csp_create_fetcher (1);
  pthread_t server;

  endpoint.port = open_listener (&post);
  pthread_create (&server, NULL, serve_one, &post);
  csp_post (fetcher, &endpoint, "/v1/orders", "{}", 5000, may_send,
            take_status, &post);
  pthread_mutex_lock (&post.lock);
  while (!post.done)
    pthread_cond_wait (&post.status_set, &post.lock);
  pthread_mutex_unlock (&post.lock);
  shutdown (post.listen_socket, SHUT_RDWR);
  pthread_join (server, NULL);
  close (post.listen_socket);
  csp_destroy_fetcher (fetcher);
  ck_assert_msg (post.status == post.row->expected_status, "%s: %ld",
                 post.row->name, post.status);
  ck_assert_int_eq (post.arrived, post.row->expect_arrival);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fetcher");
  TCase *tcase = tcase_create ("fetcher");

  tcase_add_loop_test (tcase, post_status_tells_whether_it_may_have_arrived, 0,
                       sizeof post_cases / sizeof *post_cases);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
