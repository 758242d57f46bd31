#include "gateway/stream-fixture.h"

#include "support/run-suite.h"

#include <check.h>
#include <string.h>
#include <unistd.h>

/* Targets that break off in the head of their answer.  */

#define PROOF "Request-Id: r1\r\nSignature: s\r\n"

static const char *const cut_heads[]
    = { "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\n" PROOF "Content-Length: 5\r\n",
        "HTTP/1.1 200 OK\r\n" PROOF "Content-Length: 5\r\n\r",
        "HTTP/1.1 200 OK\r\n" PROOF "Transfer-Encoding: chunked\r\n",
        "HTTP/1.1 200 OK\r\n" PROOF "Content-Type: text/event-stream\r\n",
        "HTTP/1.1 200 OK\r\n" PROOF "Connection: close\r\n",
        "HTTP/1.1 103 Hints\r\n\r\n",
        "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n" PROOF };

typedef enum
{
  FIRST_ANSWER,
  SECOND_ANSWER, /* on a connection that was kept */
  STREAM,
  REQUEST_COUNT
} request_t;

enum
{
  HEADS = sizeof cut_heads / sizeof cut_heads[0],
  ENDS = 2
};

/* Sends the request; returns the target's connection that has got it.  */
static int
send_request (request_t request, int listener)
{
  int link;

  if (request == STREAM)
    {
      send_stream_request (false, 1000);
      return stream.source_link;
    }
  stream.caller = send_plain_request ("/once/");
  link = accept_target_connection (listener);
  read_target_request (link, 0);
  if (request == SECOND_ANSWER)
    {
      send_text (link, ANSWER ("r1", "whole", "5"));
      read_until (stream.caller, "\r\n\r\nwhole");
      close (stream.caller);
      stream.caller = send_plain_request ("/once/");
      read_target_request (link, 0);
    }
  return link;
}

/* Guards against an answer that ends in its head and reaches the caller as a
   whole one with an empty or short body.  */
START_TEST (an_answer_that_ends_in_its_head_is_none)
{
  const char *head = cut_heads[_i % HEADS];
  request_t request = (request_t)(_i / HEADS % REQUEST_COUNT);
  bool resets = _i / HEADS / REQUEST_COUNT == 1;
  int listener = fixture_add_target (&stream.fixture, "p-0", "plain");
  int link = send_request (request, listener);
  const char *text;

  send_text (link, head);
  if (resets)
    reset_socket (link);
  else
    close (link);
  text = read_until (stream.caller, "\r\n\r\n");
  ck_assert_msg (strstr (text, " 502 ") != NULL, "%s: %s", head, text);
  ck_assert_ptr_null (strstr (text, "Signature"));
  close (listener);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("cut-head");
  TCase *tcase = tcase_create ("cut-head");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, stream_set_up, stream_tear_down);
  tcase_add_loop_test (tcase, an_answer_that_ends_in_its_head_is_none, 0,
                       HEADS * REQUEST_COUNT * ENDS);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
