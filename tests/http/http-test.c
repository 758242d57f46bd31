#include "cowslipspoke/http.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Each request is read in one piece and in two pieces split at every position,
   always with the same outcome.  */

static const csp_http_limits_t limits
    = { .head_max_bytes = 400, .body_max_bytes = 64 };

typedef struct
{
  csp_http_fault_t fault;
  bool complete;
  size_t used; /* bytes consumed */
  char body[256];
  size_t body_bytes;
  const csp_http_head_t *head;
  csp_http_reader_t *reader;
} outcome_t;

/* Read one piece of input and add the result to the outcome.  */
static void
feed (outcome_t *outcome, const char *data, size_t size_bytes)
{
  while (!outcome->complete && outcome->fault == CSP_HTTP_NO_FAULT)
    {
      const char *piece = NULL;
      size_t piece_bytes = 0;
      size_t used = 0;
      csp_http_step_t step = csp_read_http (outcome->reader, data, size_bytes,
                                            &used, &piece, &piece_bytes);

      data += used;
      size_bytes -= used;
      outcome->used += used;
      if (step == CSP_HTTP_NEED_MORE)
        return;
      if (step == CSP_HTTP_BODY)
        {
          ck_assert_uint_le (outcome->body_bytes + piece_bytes,
                             sizeof outcome->body);
          memcpy (outcome->body + outcome->body_bytes, piece, piece_bytes);
          outcome->body_bytes += piece_bytes;
        }
      if (step == CSP_HTTP_END)
        outcome->complete = true;
      if (step == CSP_HTTP_FAULT)
        outcome->fault = csp_http_fault (outcome->reader);
    }
}

static outcome_t
read_in_two_pieces (csp_http_message_kind_t kind, const char *text,
                    size_t split_at)
{
  outcome_t outcome = { .reader = csp_create_http_reader (kind, limits) };
  size_t size_bytes = strlen (text);

  feed (&outcome, text, split_at);
  feed (&outcome, text + split_at, size_bytes - split_at);
  outcome.head = csp_http_head (outcome.reader);
  return outcome;
}

#define HEAD "POST /a HTTP/1.1\r\nHost: h\r\n"

/* Request smuggling: two parsers could split these bytes into different
   requests.  A caller could hide a second request there, which would run
   without a check of its key.  */
static const struct
{
  const char *description;
  const char *text;
  csp_http_fault_t fault;
  const char *body; /* NULL where the request is refused */
} requests[] = {
  { "a length", HEAD "Content-Length: 5\r\n\r\nhello", CSP_HTTP_NO_FAULT,
    "hello" },
  { "chunks",
    HEAD "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n",
    CSP_HTTP_NO_FAULT, "hello!" },
  { "a chunk extension",
    HEAD "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n\r\n",
    CSP_HTTP_NO_FAULT, "hello" },
  { "a trailer",
    HEAD "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
    CSP_HTTP_NO_FAULT, "hello" },
  { "no body", HEAD "\r\n", CSP_HTTP_NO_FAULT, "" },
  { "an empty line first", "\r\n" HEAD "\r\n", CSP_HTTP_NO_FAULT, "" },
  { "blanks around a value", HEAD "Content-Length: \t5 \r\n\r\nhello",
    CSP_HTTP_NO_FAULT, "hello" },
  { "a length beside a coding",
    HEAD "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    CSP_HTTP_MALFORMED, NULL },
  { "two codings",
    HEAD "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    CSP_HTTP_MALFORMED, NULL },
  { "another coding", HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n",
    CSP_HTTP_MALFORMED, NULL },
  { "a coding in HTTP/1.0",
    "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
    CSP_HTTP_MALFORMED, NULL },
  { "two lengths", HEAD "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    CSP_HTTP_MALFORMED, NULL },
  { "one length twice",
    HEAD "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    CSP_HTTP_MALFORMED, NULL },
  { "a list of lengths", HEAD "Content-Length: 5, 5\r\n\r\nhello",
    CSP_HTTP_MALFORMED, NULL },
  { "a length with a sign", HEAD "Content-Length: +5\r\n\r\nhello",
    CSP_HTTP_MALFORMED, NULL },
  { "a hexadecimal length", HEAD "Content-Length: 0x5\r\n\r\nhello",
    CSP_HTTP_MALFORMED, NULL },
  { "an empty length", HEAD "Content-Length:\r\n\r\n", CSP_HTTP_MALFORMED,
    NULL },
  { "a blank before the colon", HEAD "Content-Length : 5\r\n\r\nhello",
    CSP_HTTP_MALFORMED, NULL },
  { "a folded line", HEAD "A: b\r\n Content-Length: 5\r\n\r\nhello",
    CSP_HTTP_MALFORMED, NULL },
  { "a bare line feed", HEAD "A: b\nContent-Length: 5\r\n\r\nhello",
    CSP_HTTP_MALFORMED, NULL },
  { "a bare carriage return", HEAD "A: b\rC: d\r\n\r\n", CSP_HTTP_MALFORMED,
    NULL },
  { "a control character", HEAD "A: \001\r\n\r\n", CSP_HTTP_MALFORMED, NULL },
  { "no colon", HEAD "Aha\r\n\r\n", CSP_HTTP_MALFORMED, NULL },
  { "no name", HEAD ": b\r\n\r\n", CSP_HTTP_MALFORMED, NULL },
  { "no host", "GET /a HTTP/1.1\r\n\r\n", CSP_HTTP_MALFORMED, NULL },
  { "two hosts", HEAD "Host: i\r\n\r\n", CSP_HTTP_MALFORMED, NULL },
  { "a whole address", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
    CSP_HTTP_MALFORMED, NULL },
  { "another version", "GET /a HTTP/2.0\r\nHost: h\r\n\r\n",
    CSP_HTTP_MALFORMED, NULL },
  { "no request", "hello\r\n\r\n", CSP_HTTP_MALFORMED, NULL },
  { "a chunk size with a sign",
    HEAD "Transfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
    CSP_HTTP_MALFORMED, NULL },
  { "a chunk size with a prefix",
    HEAD "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n",
    CSP_HTTP_MALFORMED, NULL },
  { "a chunk size that overflows",
    HEAD "Transfer-Encoding: chunked\r\n\r\n10000000000000005\r\nhello",
    CSP_HTTP_MALFORMED, NULL },
  { "bytes behind a chunk",
    HEAD "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloXX0\r\n\r\n",
    CSP_HTTP_MALFORMED, NULL },
  { "a bare line feed behind a chunk size",
    HEAD "Transfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n",
    CSP_HTTP_MALFORMED, NULL },
  { "a folded trailer",
    HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n c\r\n\r\n",
    CSP_HTTP_MALFORMED, NULL },
  { "a body over the limit", HEAD "Content-Length: 65\r\n\r\n",
    CSP_HTTP_BODY_TOO_LARGE, NULL },
  { "chunks over the limit",
    HEAD "Transfer-Encoding: chunked\r\n\r\n20\r\n"
         "01234567890123456789012345678901\r\n21\r\n"
         "012345678901234567890123456789012\r\n0\r\n\r\n",
    CSP_HTTP_BODY_TOO_LARGE, NULL },
  { "a head over the limit",
    HEAD "A: 0123456789012345678901234567890123456789012345678901234567890123"
         "456789012345678901234567890123456789012345678901234567890123456789"
         "012345678901234567890123456789012345678901234567890123456789012345"
         "678901234567890123456789012345678901234567890123456789012345678901"
         "234567890123456789012345678901234567890123456789012345678901234567"
         "890123456789012345678901234567890123456789\r\n\r\n",
    CSP_HTTP_HEAD_TOO_LARGE, NULL },
};

START_TEST (test_requests)
{
  const char *text = requests[_i].text;
  size_t split_at;

  for (split_at = 0; split_at <= strlen (text); split_at++)
    {
      outcome_t outcome
          = read_in_two_pieces (CSP_HTTP_REQUEST, text, split_at);

      ck_assert_msg (outcome.fault == requests[_i].fault,
                     "%s, cut at %zu: fault %d", requests[_i].description,
                     split_at, (int)outcome.fault);
      if (requests[_i].body != NULL)
        {
          ck_assert_msg (outcome.complete, "%s, cut at %zu",
                         requests[_i].description, split_at);
          ck_assert_uint_eq (outcome.body_bytes, strlen (requests[_i].body));
          ck_assert_mem_eq (outcome.body, requests[_i].body,
                            outcome.body_bytes);
          ck_assert_uint_eq (outcome.used, strlen (text));
        }
      csp_destroy_http_reader (outcome.reader);
    }
}
END_TEST

/* Responses, and whether the message is complete when the server closes the
   connection.  */
static const struct
{
  const char *description;
  const char *text;
  bool headless;
  csp_http_fault_t fault;
  bool complete;
  bool complete_when_closed;
  csp_body_framing_t framing;
} responses[] = {
  { "a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false,
    CSP_HTTP_NO_FAULT, true, true, CSP_BODY_LENGTH },
  { "a length that isn't reached",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, CSP_HTTP_NO_FAULT,
    false, false, CSP_BODY_LENGTH },
  { "chunks without the last",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false,
    CSP_HTTP_NO_FAULT, false, false, CSP_BODY_CHUNKED },
  { "neither", "HTTP/1.1 200 OK\r\n\r\nok", false, CSP_HTTP_NO_FAULT, false,
    true, CSP_BODY_UNTIL_CLOSE },
  { "half a head", "HTTP/1.1 200 OK\r\nContent-", false, CSP_HTTP_NO_FAULT,
    false, false, CSP_BODY_NONE },
  { "no content", "HTTP/1.1 204 No Content\r\n\r\n", false, CSP_HTTP_NO_FAULT,
    true, true, CSP_BODY_NONE },
  { "an answer to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", true,
    CSP_HTTP_NO_FAULT, true, true, CSP_BODY_NONE },
  { "two lengths",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    false, CSP_HTTP_MALFORMED, false, false, CSP_BODY_NONE },
  { "garbage", "\003\004garbage that goes on\r\n\r\n", false,
    CSP_HTTP_MALFORMED, false, false, CSP_BODY_NONE },
};

static const struct
{
  const char *line;
  bool valid;
} status_lines[] = {
  { "HTTP/1.1 100 Go on\r\n", true },   { "HTTP/1.0 200\r\n", true },
  { "HTTP/1.1 200 OK\r\n", true },      { "HTTP/1.1 599 \r\n", true },
  { "HTTP/1.1 000 No\r\n", false },     { "HTTP/1.1 0 No\r\n", false },
  { "HTTP/1.1 20 OK\r\n", false },      { "HTTP/1.1 020 OK\r\n", false },
  { "HTTP/1.1 099 No\r\n", false },     { "HTTP/1.1 0200 OK\r\n", false },
  { "HTTP/1.1 2000 OK\r\n", false },    { "HTTP/1.1 600 No\r\n", false },
  { "HTTP/1.1 999 No\r\n", false },     { "HTTP/1.1 -20 No\r\n", false },
  { "HTTP/1.1 2e2 No\r\n", false },     { "HTTP/1.1  200 OK\r\n", false },
  { "HTTP/1.1 101 Switch\r\n", false }, { "HTTP/1.1 200\r", true },

  { "HTTP/2 200 OK\r\n", false },
};

/* Guards against a number that no answer can have, taken for a status.  */
START_TEST (a_status_has_three_digits_from_100_to_599)
{
  csp_http_reader_t *reader
      = csp_create_http_reader (CSP_HTTP_RESPONSE, limits);
  outcome_t outcome = { .reader = reader };
  const char *line = status_lines[_i].line;

  ck_assert_msg (csp_is_http_status_line (line, strlen (line))
                     == status_lines[_i].valid,
                 "%s", line);
  if (!status_lines[_i].valid)
    {
      feed (&outcome, line, strlen (line));
      feed (&outcome, "\r\n\r\n", 4);
      ck_assert_msg (outcome.fault == CSP_HTTP_MALFORMED, "%s", line);
    }
  csp_destroy_http_reader (reader);
}
END_TEST

START_TEST (test_responses)
{
  outcome_t outcome
      = { .reader = csp_create_http_reader (CSP_HTTP_RESPONSE, limits) };

  csp_reset_http_reader (outcome.reader, limits, responses[_i].headless);
  feed (&outcome, responses[_i].text, strlen (responses[_i].text));
  ck_assert_msg (outcome.fault == responses[_i].fault, "%s",
                 responses[_i].description);
  ck_assert_msg (outcome.complete == responses[_i].complete, "%s",
                 responses[_i].description);
  ck_assert_msg (csp_handle_http_eof (outcome.reader)
                     == responses[_i].complete_when_closed,
                 "%s", responses[_i].description);
  if (responses[_i].fault == CSP_HTTP_NO_FAULT)
    ck_assert_int_eq (csp_http_head (outcome.reader)->framing,
                      responses[_i].framing);
  csp_destroy_http_reader (outcome.reader);
}
END_TEST

/* Two pipelined requests: the end of the first is found exactly, so that the
   second is read from its first byte.  */
START_TEST (test_pipelined)
{
  static const char text[]
      = HEAD "Content-Length: 2\r\n\r\nokGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  outcome_t outcome
      = read_in_two_pieces (CSP_HTTP_REQUEST, text, strlen (text));
  size_t first = outcome.used;

  ck_assert (outcome.complete);
  ck_assert_mem_eq (text + first, "GET /b", 6);
  csp_reset_http_reader (outcome.reader, limits, false);
  ck_assert (!csp_http_message_begun (outcome.reader));
  outcome.complete = false;
  feed (&outcome, text + first, strlen (text) - first);
  ck_assert (outcome.complete);
  ck_assert_str_eq (csp_http_head (outcome.reader)->target, "/b");
  csp_destroy_http_reader (outcome.reader);
}
END_TEST

START_TEST (test_hop_fields)
{
  static const char text[] = HEAD "Connection: close, X-Mine\r\nX-Mine: 1\r\n"
                                  "X-Other: 2\r\n\r\n";
  outcome_t outcome
      = read_in_two_pieces (CSP_HTTP_REQUEST, text, strlen (text));

  ck_assert (csp_is_hop_by_hop_field (outcome.head, "x-mine"));
  ck_assert (csp_is_hop_by_hop_field (outcome.head, "transfer-encoding"));
  ck_assert (!csp_is_hop_by_hop_field (outcome.head, "X-Other"));
  ck_assert (!outcome.head->keep_alive);
  ck_assert_str_eq (csp_find_http_field (outcome.head, "x-other"), "2");
  ck_assert_ptr_null (csp_find_http_field (outcome.head, "absent"));
  csp_destroy_http_reader (outcome.reader);
}
END_TEST

static const struct
{
  const char *value;
  bool valid;
  uint32_t time_ms;
} seconds[] = {
  { "0", true, 0 },
  { "3", true, 3000 },
  { "120", true, 120000 },
  { "0.5", true, 500 },
  { "2.25", true, 2250 },
  { "1.", true, 1000 },
  { "0.0019", true, 1 },
  { "7 ", true, 7000 },
  { "1000000000", true, UINT32_MAX },
  { "99999999999999999999999999", true, UINT32_MAX },
  { "-1", false, 0 },
  { "+1", false, 0 },
  { ".5", false, 0 },
  { "", false, 0 },
  { "soon", false, 0 },
  { "3s", false, 0 },
  { "1e3", false, 0 },
  { "1.2.3", false, 0 },
  { "Wed, 21 Oct 2015 07:28:00 GMT", false, 0 },
};

START_TEST (test_seconds)
{
  uint32_t time_ms = 0;

  ck_assert_msg (csp_parse_http_seconds (seconds[_i].value, &time_ms)
                     == seconds[_i].valid,
                 "%s", seconds[_i].value);
  ck_assert_uint_eq (time_ms, seconds[_i].time_ms);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("http");
  TCase *cases = tcase_create ("http");

  tcase_add_loop_test (cases, test_requests, 0,
                       sizeof requests / sizeof requests[0]);
  tcase_add_loop_test (cases, test_responses, 0,
                       sizeof responses / sizeof responses[0]);
  tcase_add_test (cases, test_pipelined);
  tcase_add_test (cases, test_hop_fields);
  tcase_add_loop_test (cases, a_status_has_three_digits_from_100_to_599, 0,
                       sizeof status_lines / sizeof status_lines[0]);
  tcase_add_loop_test (cases, test_seconds, 0,
                       sizeof seconds / sizeof seconds[0]);
  suite_add_tcase (suite, cases);
  return run_suite (suite);
}
