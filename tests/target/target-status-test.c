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

/* Calls to targets that answer with a status that no answer can have, or break
   off.  */

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
static size_t answer_bytes;

/* Serve one connection.  */
static void *
serve_one (void *state)
{
  char request[ANSWER_MAX_BYTES];
  int connection = accept (listener, NULL, NULL);

  (void)state;
  recv (connection, request, sizeof request, 0);
  send (connection, answer, answer_bytes, MSG_NOSIGNAL);
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

static csp_link_end_t
call_service (csp_service_answer_t *result)
{
  csp_service_link_t link = { .method = "GET",
                              .path = "/",
                              .content_type = "text/plain",
                              .request_id = "r1",
                              .connect_timeout_ms = TIMEOUT_MS,
                              .answer_limit_bytes = ANSWER_MAX_BYTES,
                              .check = go_on };
  csp_link_end_t end;
  pthread_t server;

  link.endpoint = open_target (&server);
  end = csp_run_service_link (&link, result);
  ck_assert (result->may_have_been_sent);
  free (result->body);
  close_target (server);
  return end;
}

static csp_link_end_t
call_engine (void)
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
  csp_link_end_t end;
  pthread_t server;

  link.endpoint = open_target (&server);
  end = csp_run_engine_link (&link, &generation, &report);
  ck_assert (report.may_have_been_sent);
  close_target (server);
  return end;
}

/* Guards against a service's answer that reaches the caller with such a
   status, or with the one that a reader of numbers finds in it.  */
START_TEST (a_service_answer_has_a_status)
{
  csp_service_answer_t result;

  answer = rows[_i].answer;
  answer_bytes = strlen (answer);
  ck_assert_int_eq (call_service (&result), rows[_i].service_end);
}
END_TEST

/* Guards against an engine's answer with such a status that decides what
   becomes of a generation.  */
START_TEST (an_engine_answer_has_a_status)
{
  answer = rows[_i].answer;
  answer_bytes = strlen (answer);
  ck_assert_int_eq (call_engine (), rows[_i].engine_end);
}
END_TEST

static const char *const broken_off[]
    = { "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nX-A: b\r\n\r",
        "HTTP/1.1 503 No\r\nX-Verdict: not run\r\nContent-Length: 0\r\n\r",
        "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n" };

/* Guards against an answer that ends in its head and is taken for a whole one
   without a body, or for a statement of what the target did.  */
START_TEST (an_answer_that_ends_in_its_head_is_cut)
{
  csp_service_answer_t result;

  answer = broken_off[_i];
  for (answer_bytes = 1; answer_bytes <= strlen (answer); answer_bytes++)
    {
      csp_link_end_t end = call_service (&result);

      ck_assert_msg (end == CSP_LINK_CUT,
                     "service: %zu bytes: end %d, status %u", answer_bytes,
                     end, result.status);
      end = call_engine ();
      ck_assert_msg (end == CSP_LINK_CUT, "engine: %zu bytes: end %d",
                     answer_bytes, end);
    }
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
  tcase_add_loop_test (tcase, an_answer_that_ends_in_its_head_is_cut, 0,
                       sizeof broken_off / sizeof broken_off[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
