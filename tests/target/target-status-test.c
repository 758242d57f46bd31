#include "cowslipspoke/engine.h"
#include "cowslipspoke/service-call.h"

#include "support/run-suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Calls to targets that answer with a status that no answer can have.  */

enum
{
  TIMEOUT_MS = 5000,
  ANSWER_MAX_BYTES = 1000
};

static const struct
{
  const char *answer;
  csp_link_end_t service_end;
  csp_link_end_t engine_end;
} rows[] = {
  { "HTTP/1.1 418 No\r\nContent-Length: 0\r\n\r\n", CSP_LINK_COMPLETE,
    CSP_LINK_FAILED },
  { "HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n", CSP_LINK_CUT,
    CSP_LINK_CUT },
  { "HTTP/1.1 20 No\r\nContent-Length: 0\r\n\r\n", CSP_LINK_CUT,
    CSP_LINK_CUT },
  { "HTTP/1.1 600 No\r\nContent-Length: 0\r\n\r\n", CSP_LINK_CUT,
    CSP_LINK_CUT },
  { "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n", CSP_LINK_CUT,
    CSP_LINK_CUT },
  { "HTTP/1.1 101 Switch\r\nContent-Length: 0\r\n\r\n", CSP_LINK_CUT,
    CSP_LINK_CUT },
  /* What is no answer states nothing.  */
  { "HTTP/1.1 0503 No\r\nX-Verdict: not run\r\nContent-Length: 0\r\n\r\n",
    CSP_LINK_CUT, CSP_LINK_CUT },
};

static int listener;
static const char *answer;

/* Serve one connection.  */
static void *
serve_one (void *state)
{
  char request[ANSWER_MAX_BYTES];
  int connection = accept (listener, NULL, NULL);

  (void)state;
  recv (connection, request, sizeof request, 0);
  send (connection, answer, strlen (answer), MSG_NOSIGNAL);
  close (connection);
  return NULL;
}

static csp_endpoint_t
open_target (pthread_t *server)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size_bytes = sizeof address;
  csp_endpoint_t endpoint = { .address = "127.0.0.1" };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (
      bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (listen (listener, 1), 0);
  getsockname (listener, (struct sockaddr *)&address, &size_bytes);
  endpoint.port = ntohs (address.sin_port);
  ck_assert_int_eq (pthread_create (server, NULL, serve_one, NULL), 0);
  return endpoint;
}

static void
close_target (pthread_t server)
{
  pthread_join (server, NULL);
  close (listener);
}

static csp_link_end_t
go_on (void *state)
{
  (void)state;
  return CSP_LINK_COMPLETE;
}

/* Guards against a service's answer that reaches the caller with such a
   status, or with the one that a reader of numbers finds in it.  */
START_TEST (a_service_answer_has_a_status)
{
  csp_service_link_t link = { .method = "GET",
                              .path = "/",
                              .content_type = "text/plain",
                              .request_id = "r1",
                              .connect_timeout_ms = TIMEOUT_MS,
                              .answer_limit_bytes = ANSWER_MAX_BYTES,
                              .check = go_on };
  csp_service_answer_t result;
  pthread_t server;

  answer = rows[_i].answer;
  link.endpoint = open_target (&server);
  ck_assert_int_eq (csp_run_service_link (&link, &result),
                    rows[_i].service_end);
  ck_assert (result.may_have_been_sent);
  free (result.body);
  close_target (server);
}
END_TEST

/* Guards against an engine's answer with such a status that decides what
   becomes of a generation.  */
START_TEST (an_engine_answer_has_a_status)
{
  csp_clock_t clock = csp_system_clock ();
  csp_generation_t generation = { .id = "g1" };
  csp_engine_link_t link = { .path = "/v1/completions",
                             .body = "{}",
                             .request_id = "r1",
                             .connect_timeout_ms = TIMEOUT_MS,
                             .first_token_timeout_ms = TIMEOUT_MS,
                             .stall_timeout_ms = TIMEOUT_MS,
                             .clock = &clock,
                             .check = go_on };
  csp_engine_link_report_t report;
  pthread_t server;

  answer = rows[_i].answer;
  link.endpoint = open_target (&server);
  ck_assert_int_eq (csp_run_engine_link (&link, &generation, &report),
                    rows[_i].engine_end);
  ck_assert (report.may_have_been_sent);
  close_target (server);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("target-status");
  TCase *tcase = tcase_create ("target-status");

  tcase_add_loop_test (tcase, a_service_answer_has_a_status, 0,
                       sizeof rows / sizeof rows[0]);
  tcase_add_loop_test (tcase, an_engine_answer_has_a_status, 0,
                       sizeof rows / sizeof rows[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
