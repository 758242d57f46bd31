#include "cowslipspoke/link.h"
#include "cowslipspoke/mirror.h"
#include "cowslipspoke/pack.h"

#include "support/free-port.h"
#include "support/run-suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A host sends the list of many targets to another.  Uncompressed, these lists
   fill the link of the first host of a data centre, and a host that starts
   waits a second for its list.  */

enum
{
  ROWS = 200,
  TIMEOUT_MS = 5000,
  LINK_BYTES_PER_S = 25000000
};

static uv_loop_t loop;
static csp_mirror_t *mirror;
static csp_mirror_server_t *server;
static struct sockaddr_in address;
static csp_link_t *client_link;
static csp_buffer_t body;
static char type[64];
static bool ended;

static void
set_up (void)
{
  static const csp_mirror_events_t no_events = { 0 };
  char key[32];
  int i;

  address = find_free_port ();
  uv_loop_init (&loop);
  mirror = csp_create_mirror (&no_events, NULL);
  for (i = 0; i < ROWS; i++)
    {
      snprintf (key, sizeof key, "servers/i-%d", i);
      csp_put_mirror_item (mirror, key, "{\"state\":\"ready\"}", i + 1);
    }
  csp_note_mirror_revision (mirror, ROWS);
  server = csp_open_mirror_server (&loop, &address, LINK_BYTES_PER_S, mirror);
  ck_assert_ptr_nonnull (server);
  csp_update_mirror_server (server, true, false, uv_now (&loop));
}

static void
tear_down (void)
{
  csp_close_mirror_server (server);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
  csp_destroy_mirror (mirror);
  csp_clear_buffer (&body);
}

static void
on_answered (void *state, const csp_http_head_t *head)
{
  (void)state;
  snprintf (type, sizeof type, "%s",
            csp_find_http_field (head, "Content-Type"));
}

static void
on_body (void *state, const char *piece, size_t piece_bytes)
{
  (void)state;
  csp_append_buffer (&body, piece, piece_bytes);
}

static void
on_ended (void *state)
{
  (void)state;
  ended = true;
}

static void
on_failed (void *state, csp_link_failure_t why)
{
  (void)state;
  ck_abort_msg ("the link failed: %d", why);
}

static void
send_request (const char *query)
{
  static const csp_link_events_t events = { .answered = on_answered,
                                            .body = on_body,
                                            .ended = on_ended,
                                            .failed = on_failed };
  csp_buffer_t request = { 0 };

  ended = false;
  client_link = csp_open_link (&loop, &address, TIMEOUT_MS);
  csp_start_link_request (client_link, &events, NULL, false);
  csp_print_buffer (&request, "GET /mirror?%s HTTP/1.1\r\nHost: h\r\n\r\n",
                    query);
  csp_write_link (client_link, request.data, request.size_bytes);
  csp_finish_link_request (client_link);
  csp_clear_buffer (&request);
  while (!ended)
    uv_run (&loop, UV_RUN_ONCE);
  csp_close_link (client_link);
}

/* While a fleet is upgraded, hosts of an older version don't ask for
   compressed answers and must get plain text.  A few changes are short enough
   to be sent uncompressed.  */
static const struct
{
  const char *query;
  bool packed;
} request_cases[] = {
  { "after=0&wait_ms=0&packed=1", true },
  { "after=0&wait_ms=0", false },
  { "after=0&wait_ms=0&packed=0", false },
  { "after=198&wait_ms=0&packed=1", false },
};

START_TEST (long_answers_are_compressed_on_request)
{
  static const csp_mirror_events_t no_events = { 0 };
  csp_mirror_t *other = csp_create_mirror (&no_events, NULL);
  csp_mirror_status_t status;
  csp_buffer_t text = { 0 };
  int64_t as_of = 0;

  send_request (request_cases[_i].query);
  ck_assert_int_eq (strcmp (type, csp_compressed_content_type) == 0,
                    request_cases[_i].packed);
  if (request_cases[_i].packed)
    {
      ck_assert (
          csp_decompress_bytes (body.data, body.size_bytes, 1 << 20, &text));
      /* An item takes some 70 bytes.  */
      ck_assert_uint_lt (body.size_bytes, text.size_bytes / 5);
    }
  else
    ck_assert (csp_append_buffer (&text, body.data, body.size_bytes));
  ck_assert (csp_append_buffer (&text, "", 1));
  ck_assert (csp_decode_mirror (other, text.data, &status, &as_of));
  ck_assert_int_eq (as_of, ROWS);
  csp_clear_buffer (&text);
  csp_destroy_mirror (other);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("mirror-pack");
  TCase *tcase = tcase_create ("mirror-pack");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, long_answers_are_compressed_on_request, 0,
                       sizeof request_cases / sizeof request_cases[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
