#include "gateway/gateway-imp.h"
#include "gateway/gateway-fixture.h"

#include "cowslipspoke/hash.h"
#include "support/run-suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* A host loses its paths to all targets, while another host reaches them.  */

enum
{
  HOSTS = 2,
  TARGETS = 2,
  FILLERS = 4,
  SOCKETS_MAX = 2 * TARGETS + 1,
  STREAMED_BODY_BYTES = 100000, /* more than is buffered */
  BUFFERED_PIECES = 2,          /* such pieces of an answer are buffered */
  HEAD_MAX_BYTES = 2000,        /* of the fixture */
  HEAD_PADDING_BYTES = HEAD_MAX_BYTES - 105,
  WAIT_MS = 10000,
  HOST_DELAY_MS = 400, /* longer than an offer may take */
  DELAY_FORGOTTEN_MS = 1000,
  ROUTES_VERSION = 9
};

/* How connections to targets fail at the host that is cut off.  */
typedef enum
{
  CUT_REFUSED, /* nothing listens */
  CUT_HANGING, /* the connection is never accepted */
  CUT_RESET    /* the connection is accepted and reset */
} cut_t;

static fixture_t hosts[HOSTS]; /* the first one is cut off */
static struct sockaddr_in addresses[HOSTS];
static const char *const target_ids[TARGETS] = { "t-1", "t-2" };
static int cut_sockets[TARGETS];
static int fillers[TARGETS][FILLERS];
static int targets[TARGETS];

static void
set_up (void)
{
  size_t i;

  for (i = 0; i < HOSTS; i++)
    {
      addresses[i] = (struct sockaddr_in){ .sin_family = AF_INET,
                                           .sin_port = htons (8748) };
      /* A loopback address that no other test process uses.  */
      addresses[i].sin_addr.s_addr = htonl (
          0x7f400000U | ((((uint32_t)getpid () * HOSTS) + i) & 0x1fffff));
    }
  for (i = 0; i < HOSTS; i++)
    {
      hosts[i].seed = &addresses[HOSTS - 1 - i];
      fixture_open_at (&hosts[i], &addresses[i]);
      fixture_publish_routes (&hosts[i], true);
    }
  for (i = 0; i < HOSTS; i++)
    while (
        strstr (fixture_get_page (&hosts[i], "/metrics"), "_gateway_peers 1\n")
        == NULL)
      continue;
}

static void
tear_down (void)
{
  size_t i;
  size_t j;

  for (i = 0; i < HOSTS; i++)
    fixture_close (&hosts[i]);
  for (i = 0; i < TARGETS; i++)
    {
      close (cut_sockets[i]);
      close (targets[i]);
      for (j = 0; j < FILLERS; j++)
        if (fillers[i][j] > 0)
          close (fillers[i][j]);
    }
}

/* A socket at an address of its own, to which connections fail.  */
static int
open_cut_socket (cut_t cut, int filling[FILLERS])
{
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval wait = { .tv_sec = WAIT_MS / 1000 };
  socklen_t size_bytes = sizeof address;
  size_t i;

  address.sin_addr.s_addr
      = htonl (0x7f200000U | ((uint32_t)getpid () & 0x1fffff));
  ck_assert_int_eq (
      bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  getsockname (listener, (struct sockaddr *)&address, &size_bytes);
  if (cut == CUT_REFUSED)
    return listener;
  ck_assert_int_eq (listen (listener, cut == CUT_HANGING ? 0 : 16), 0);
  setsockopt (listener, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  for (i = 0; cut == CUT_HANGING && i < FILLERS; i++)
    {
      filling[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (filling[i], (struct sockaddr *)&address, sizeof address);
    }
  return listener;
}

/* Offers are accepted only between hosts with one version of the routes.  */
static void
publish_routes_at_all_hosts (uint64_t version)
{
  size_t i;

  for (i = 0; i < HOSTS; i++)
    {
      hosts[i].routes_version = version - 1;
      fixture_await_updates (&hosts[i]);
    }
}

static void
list_targets (cut_t cut, const char *service)
{
  size_t i;

  for (i = 0; i < TARGETS; i++)
    {
      targets[i] = fixture_add_target (&hosts[1], target_ids[i], service);
      cut_sockets[i] = open_cut_socket (cut, fillers[i]);
      fixture_list_target (&hosts[0], cut_sockets[i], target_ids[i], service);
    }
  fixture_send_update (&hosts[0], CSP_UPDATE_TARGETS_LISTED);
  publish_routes_at_all_hosts (ROUTES_VERSION);
}

/* Wait for input at any of these sockets; returns the first one's index.  */
static size_t
await_input (const int *sockets, size_t count)
{
  struct pollfd ready[SOCKETS_MAX] = { { .fd = -1 } };
  size_t i;

  for (i = 0; i < count; i++)
    ready[i] = (struct pollfd){ .fd = sockets[i], .events = POLLIN };
  ck_assert_int_gt (poll (ready, count, WAIT_MS), 0);
  for (i = 0; i < count - 1; i++)
    if (ready[i].revents != 0)
      break;
  return i;
}

static void
send_request (int caller, const char *path, const char *id)
{
  char request[300];

  snprintf (request, sizeof request,
            "POST %s HTTP/1.1\r\nHost: h\r\nKey: key-a\r\nRequest-Id: %s\r\n"
            "Time-Left: 3000\r\nTokens: 100,200\r\nContent-Length: 2\r\n"
            "\r\nhi",
            path, id);
  send_text (caller, request);
}

/* The host that is cut off learns it from a request that may be repeated.  */
static void
reset_first_request (const char *path)
{
  int caller = open_caller (&hosts[0]);
  int sockets[SOCKETS_MAX]
      = { cut_sockets[0], cut_sockets[1], targets[0], targets[1], caller };
  size_t ready;

  send_request (caller, path, "first");
  /* A connection that is reset before the host has seen it accepted costs no
     attempt, and then the request is relayed already.  */
  while ((ready = await_input (sockets, SOCKETS_MAX)) < SOCKETS_MAX - 1)
    {
      int link = accept_target_connection (sockets[ready]);

      if (ready < TARGETS)
        reset_socket (link);
      else
        {
          read_target_request (link, 2);
          send_text (link, ANSWER ("first", "", "0"));
          close (link);
        }
    }
  close (caller);
}

/* Returns the connection at which the request comes to a target.  */
static int
accept_relayed (int caller, const char *id, size_t body_bytes,
                const char **text)
{
  char field[64];
  size_t served_by
      = await_input ((int[]){ targets[0], targets[1], caller }, TARGETS + 1);
  int link;

  ck_assert_msg (served_by < TARGETS, "the caller got: %s",
                 read_until (caller, "\r\n\r\n"));
  link = accept_target_connection (targets[served_by]);
  *text = read_target_request (link, body_bytes);
  snprintf (field, sizeof field, "Request-Id: %s\r\n", id);
  ck_assert_msg (strstr (*text, field) != NULL, "%s", *text);
  return link;
}

static const struct
{
  cut_t cut;
  const char *service;
  const char *first_path; /* of a request that shows the cut; NULL: none */
  const char *path;
} cases[] = { { CUT_REFUSED, "plain", NULL, "/once/x" },
              { CUT_REFUSED, "engines", NULL, "/stream/x" },
              { CUT_HANGING, "plain", NULL, "/once/x" },
              { CUT_HANGING, "engines", NULL, "/stream/x" },
              { CUT_RESET, "plain", "/safe/x", "/once/x" } };

/* Guards against a caller being refused at its first try by a host that has
   lost its paths to all targets, though another host reaches them.  */
START_TEST (request_at_a_cut_host_is_served_through_another_host)
{
  int caller;
  int link;
  const char *text;

  list_targets (cases[_i].cut, cases[_i].service);
  if (cases[_i].first_path != NULL)
    reset_first_request (cases[_i].first_path);
  caller = open_caller (&hosts[0]);
  send_request (caller, cases[_i].path, "r1");
  link = accept_relayed (caller, "r1", 2, &text);
  ck_assert_ptr_nonnull (strstr (text, "Organisation: org-a\r\n"));
  ck_assert_ptr_null (strstr (text, "key-a"));
  ck_assert_ptr_null (strstr (text, "Cowslip-Relay"));
  send_text (link, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"
                   "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n");
  text = read_until (caller, "data: a\n\n");
  ck_assert_ptr_nonnull (strstr (text, " 200 "));
  ck_assert_ptr_nonnull (strstr (text, "Signature: s\r\n"));
  close (link);
  close (caller);
}
END_TEST

/* Guards against pieces of a body that is still coming and that would be sent
   before the other host has accepted the request.  */
START_TEST (request_with_a_streamed_body_is_not_relayed)
{
  static char body[STREAMED_BODY_BYTES];
  int caller;

  list_targets (CUT_REFUSED, "plain");
  memset (body, 'b', sizeof body);
  caller = open_caller (&hosts[0]);
  send_text (caller, "POST /once/x HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
                     "Request-Id: r1\r\nContent-Length: 200000\r\n\r\n");
  send_bytes (caller, body, sizeof body);
  ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"), " 503 "));
  ck_assert_ptr_nonnull (strstr (fixture_get_page (&hosts[0], "/metrics"),
                                 "gateway_relays_total 0\n"));
  ck_assert_ptr_nonnull (strstr (fixture_get_page (&hosts[0], "/metrics"),
                                 "relay_offers_failed_total 0\n"));
  close (caller);
}
END_TEST

/* Tell the first host of another one, with so much capacity that offers go
   there first.  Returns the listener where those come.  */
static int
open_silent_host (void)
{
  struct sockaddr_in address = addresses[0];
  struct timeval wait = { .tv_sec = WAIT_MS / 1000 };
  csp_hello_t hello = { .boot = 1, .sequence = 1, .capacity = UINT32_MAX / 2 };
  csp_buffer_t bytes = { 0 };
  socklen_t size_bytes = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int datagrams = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr
      = htonl (0x7f700000U | ((uint32_t)getpid () & 0x0fffff));
  address.sin_port = 0;
  ck_assert_int_eq (
      bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (listen (listener, 16), 0);
  setsockopt (listener, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  getsockname (listener, (struct sockaddr *)&address, &size_bytes);
  hello.relay_port = ntohs (address.sin_port);
  address.sin_port = 0;
  ck_assert_int_eq (
      bind (datagrams, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert (csp_encode_hello (&hello, &bytes));
  sendto (datagrams, bytes.data, bytes.size_bytes, 0,
          (struct sockaddr *)&addresses[0], sizeof addresses[0]);
  csp_clear_buffer (&bytes);
  while (
      strstr (fixture_get_page (&hosts[0], "/metrics"), "_gateway_peers 2\n")
      == NULL)
    continue;
  close (datagrams);
  return listener;
}

/* Guards against a request that a paused host reads later and runs, while its
   caller was told otherwise.  */
START_TEST (request_is_not_sent_to_a_host_that_is_silent)
{
  int caller;
  int link;
  int offer;
  int silent;
  const char *text;

  list_targets (CUT_REFUSED, "plain");
  silent = open_silent_host ();
  caller = open_caller (&hosts[0]);
  send_request (caller, "/once/x", "r1");
  offer = accept_target_connection (silent);
  ck_assert_ptr_null (strstr (read_target_request (offer, 0), "r1"));
  link = accept_relayed (caller, "r1", 2, &text);
  /* No byte follows the offer.  */
  ck_assert (await_close (offer));
  send_text (link, ANSWER ("r1", "", "0"));
  ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"), " 200 "));
  close (link);
  close (offer);
  close (silent);
  close (caller);
}
END_TEST

/* Guards against a host that is late itself taking a host that accepts its
   offer for a silent one.  */
START_TEST (late_host_waits_longer_for_the_answer_to_an_offer)
{
  csp_gateway_t *late = hosts[0].gateway;
  int caller;
  int offer;
  int other;
  struct pollfd others[TARGETS + 1];

  list_targets (CUT_REFUSED, "plain");
  other = open_silent_host ();
  csp_advance_fake_clock (&hosts[0].fake_clock, DELAY_FORGOTTEN_MS);
  csp_note_connect_time (late->host_delay, HOST_DELAY_MS,
                         csp_gateway_now_ms (late));
  caller = open_caller (&hosts[0]);
  send_request (caller, "/once/x", "r1");
  offer = accept_target_connection (other);
  read_target_request (offer, 0);
  others[0] = (struct pollfd){ .fd = targets[0], .events = POLLIN };
  others[1] = (struct pollfd){ .fd = targets[1], .events = POLLIN };
  others[2] = (struct pollfd){ .fd = caller, .events = POLLIN };
  ck_assert_int_eq (poll (others, TARGETS + 1, HOST_DELAY_MS), 0);
  send_text (offer, "HTTP/1.1 204 No Content\r\n\r\n");
  ck_assert_ptr_nonnull (
      strstr (read_target_request (offer, 2), "Request-Id: r1"));
  close (offer);
  close (other);
  close (caller);
}
END_TEST

static const struct
{
  const char *path;
  bool repeated;
} ended[] = { { "/once/x", false }, { "/safe/x", true } };

/* Guards against a request that runs twice, or that is called not run, as the
   host that accepted it ends.  */
START_TEST (request_may_have_run_at_a_host_that_ends)
{
  int caller;
  int offer;
  int silent;

  list_targets (CUT_REFUSED, "plain");
  silent = open_silent_host ();
  caller = open_caller (&hosts[0]);
  send_request (caller, ended[_i].path, "r1");
  offer = accept_target_connection (silent);
  read_target_request (offer, 0);
  send_text (offer, "HTTP/1.1 204 No Content\r\n\r\n");
  ck_assert_ptr_nonnull (
      strstr (read_target_request (offer, 2), "Cowslip-Relay: request\r\n"));
  close (offer);
  if (ended[_i].repeated)
    {
      const char *text;
      int link = accept_relayed (caller, "r1", 2, &text);

      send_text (link, ANSWER ("r1", "", "0"));
      close (link);
    }
  ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"),
                                 ended[_i].repeated ? " 200 " : " 502 "));
  close (silent);
  close (caller);
}
END_TEST

static const cut_t cuts_of_both[] = { CUT_REFUSED, CUT_HANGING };

/* Guards against two hosts without paths that pass a request to each other, or
   try one target after another, until its time is over.  */
START_TEST (request_is_refused_where_no_host_reaches_a_target)
{
  int other_fillers[TARGETS][FILLERS] = { { 0 } };
  int others[TARGETS];
  const char *text;
  size_t i;
  size_t j;
  int caller;

  list_targets (cuts_of_both[_i], "plain");
  for (i = 0; i < TARGETS; i++)
    {
      others[i] = open_cut_socket (cuts_of_both[_i], other_fillers[i]);
      fixture_list_target (&hosts[1], others[i], target_ids[i], "plain");
    }
  publish_routes_at_all_hosts (ROUTES_VERSION + 1);
  caller = open_caller (&hosts[0]);
  send_request (caller, "/once/x", "r1");
  text = read_until (caller, "}");
  ck_assert_ptr_nonnull (strstr (text, " 503 "));
  ck_assert_msg (strstr (text, "no target can take it") != NULL, "%s", text);
  /* What the other host said isn't for callers.  */
  ck_assert_ptr_null (strstr (text, "Cowslip-Relay"));
  ck_assert_ptr_nonnull (
      strstr (fixture_get_page (&hosts[1], "/metrics"), "relayed_total 1\n"));
  ck_assert_ptr_nonnull (
      strstr (fixture_get_page (&hosts[0], "/metrics"), "relayed_total 0\n"));
  close (caller);
  for (i = 0; i < TARGETS; i++)
    {
      close (others[i]);
      for (j = 0; j < FILLERS; j++)
        if (other_fillers[i][j] > 0)
          close (other_fillers[i][j]);
    }
}
END_TEST

/* Guards against callers that use the listener for hosts, where no key of the
   first host was checked.  */
START_TEST (stranger_gets_no_answer_from_the_relay_listener)
{
  struct sockaddr_in address = addresses[0];
  int stranger = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool reset;

  address.sin_port = htons (csp_gateway_relay_port (hosts[0].gateway));
  ck_assert_int_eq (
      connect (stranger, (struct sockaddr *)&address, sizeof address), 0);
  send (stranger, "GET /relay HTTP/1.1\r\n\r\n", 23, MSG_NOSIGNAL);
  ck_assert_str_eq (read_to_end (stranger, &reset), "");
  close (stranger);
}
END_TEST

/* Guards against callers of a cut host that are refused because a target broke
   off the answer to another one, as if the second host had.  */
START_TEST (host_whose_target_breaks_off_an_answer_gets_further_requests)
{
  static char body[STREAMED_BODY_BYTES];
  int first;
  int second;
  int link;
  int pieces;
  bool reset;
  const char *text;

  list_targets (CUT_REFUSED, "plain");
  memset (body, 'b', sizeof body);
  first = open_caller (&hosts[0]);
  send_request (first, "/once/x", "r1");
  link = accept_relayed (first, "r1", 2, &text);
  send_text (link, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"
                   "Content-Length: 400000\r\n\r\n");
  for (pieces = 0; pieces < BUFFERED_PIECES + 1; pieces++)
    send_bytes (link, body, sizeof body);
  read_until (first, "bbb");
  reset_socket (link);
  read_to_end (first, &reset);
  second = open_caller (&hosts[0]);
  send_request (second, "/once/x", "r2");
  link = accept_relayed (second, "r2", 2, &text);
  close (link);
  close (first);
  close (second);
}
END_TEST

static const struct
{
  const char *field;
  const char *answer;
} offers[] = {
  { "Cowslip-Relay: offer; service=00000001; routes=9\r\n", " 204 " },
  { "Cowslip-Relay: offer; service=00000001; routes=8\r\n", "other-routes" },
  { "Cowslip-Relay: offer; service=00000001; routes=10\r\n", "other-routes" },
  { "Cowslip-Relay: offer; service=; routes=x\r\n", ": bad\r\n" },
  { "Cowslip-Relay: offer; service=1; routes=9; leaving=,x,1,\r\n", " 204 " },
  { "Cowslip-Relay: other\r\n", ": bad\r\n" },
  { "", " 400 " },
};

/* Guards against a relayed request that reaches a target which has told only
   the first host that it leaves.  */
START_TEST (offer_names_targets_that_leave)
{
  struct sockaddr_in address = addresses[0];
  struct sockaddr_in source = addresses[1];
  struct timeval wait = { .tv_sec = WAIT_MS / 1000 };
  int host = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  char request[200];

  setsockopt (host, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  address.sin_port = htons (csp_gateway_relay_port (hosts[0].gateway));
  source.sin_port = 0;
  list_targets (CUT_REFUSED, "plain");
  ck_assert_int_eq (bind (host, (struct sockaddr *)&source, sizeof source), 0);
  ck_assert_int_eq (
      connect (host, (struct sockaddr *)&address, sizeof address), 0);
  snprintf (request, sizeof request,
            "GET /relay HTTP/1.1\r\nHost: r\r\nCowslip-Relay: offer; "
            "service=1; routes=9; leaving=%016llx\r\n\r\n",
            (unsigned long long)csp_hash_pair ("target", target_ids[0]));
  send_text (host, request);
  read_until (host, " 204 ");
  ck_assert_ptr_nonnull (strstr (fixture_get_page (&hosts[0], "/metrics"),
                                 "targets_left_total 1\n"));
  close (host);
}
END_TEST

/* Offers to a host that reaches one of two targets.  */
static const struct
{
  const char *reached;
  const char *answer;
} partial_offers[] = { { "some", ": unreached\r\n" }, /* an older host */
                       { "none", " 204 " },
                       { "2", ": unreached\r\n" },
                       { "1", ": unreached\r\n" },
                       { "0", " 204 " } };

/* Guards against hosts that relay to each other because many engines are down,
   and not because they have lost their paths.  */
START_TEST (offer_of_a_host_that_reaches_some_is_refused_by_another_such_host)
{
  struct sockaddr_in address = addresses[0];
  struct sockaddr_in source = addresses[1];
  struct timeval wait = { .tv_sec = WAIT_MS / 1000 };
  int host = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int caller;
  int down;
  char request[200];

  setsockopt (host, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  address.sin_port = htons (csp_gateway_relay_port (hosts[0].gateway));
  source.sin_port = 0;
  list_targets (CUT_REFUSED, "plain");
  fixture_remove_target (&hosts[0], target_ids[1]);
  fixture_list_target (&hosts[0], targets[1], "t-3", "plain");
  publish_routes_at_all_hosts (ROUTES_VERSION + 1);
  /* One of two targets is down, which a request finds out.  */
  caller = open_caller (&hosts[0]);
  while (strstr (fixture_get_page (&hosts[0], "/metrics"),
                 "target_connections_failed_total 0\n")
         != NULL)
    {
      send_request (caller, "/once/x", "r1");
      down = accept_target_connection (targets[1]);
      read_target_request (down, 2);
      send_text (down, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"
                       "Connection: close\r\nContent-Length: 0\r\n\r\n");
      read_until (caller, "\r\n\r\n");
      close (down);
    }
  ck_assert_int_eq (bind (host, (struct sockaddr *)&source, sizeof source), 0);
  ck_assert_int_eq (
      connect (host, (struct sockaddr *)&address, sizeof address), 0);
  snprintf (request, sizeof request,
            "GET /relay HTTP/1.1\r\nHost: r\r\nCowslip-Relay: offer; "
            "service=%08x; routes=10; reached=%s\r\n\r\n",
            (uint32_t)csp_hash_pair ("service", "plain"),
            partial_offers[_i].reached);
  send_text (host, request);
  read_until (host, partial_offers[_i].answer);
  close (host);
  close (caller);
}
END_TEST

/* Guards against offers of another version that end a host, or that it takes
   for requests.  */
START_TEST (offer_gets_a_clear_answer)
{
  struct sockaddr_in address = addresses[0];
  struct sockaddr_in source = addresses[1];
  struct timeval wait = { .tv_sec = WAIT_MS / 1000 };
  int host = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  char request[200];

  setsockopt (host, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  address.sin_port = htons (csp_gateway_relay_port (hosts[0].gateway));
  source.sin_port = 0;
  list_targets (CUT_REFUSED, "plain");
  ck_assert_int_eq (bind (host, (struct sockaddr *)&source, sizeof source), 0);
  ck_assert_int_eq (
      connect (host, (struct sockaddr *)&address, sizeof address), 0);
  snprintf (request, sizeof request,
            "GET /relay HTTP/1.1\r\nHost: r\r\n%s\r\n", offers[_i].field);
  send_text (host, request);
  ck_assert_ptr_nonnull (
      strstr (read_until (host, "\r\n\r\n"), offers[_i].answer));
  close (host);
}
END_TEST

/* Guards against a head that is as large as callers may send and that the
   fields between hosts make too large for the second host.  */
START_TEST (largest_head_is_relayed)
{
  char padding[HEAD_PADDING_BYTES + 1] = "";
  char request[HEAD_MAX_BYTES + 1];
  int caller;
  int link;
  const char *text;

  list_targets (CUT_REFUSED, "plain");
  memset (padding, 'x', HEAD_PADDING_BYTES);
  snprintf (request, sizeof request,
            "POST /once/x HTTP/1.1\r\nHost: h\r\nKey: key-a\r\n"
            "Request-Id: r1\r\nContent-Length: 0\r\nPadding: %s\r\n\r\n",
            padding);
  caller = open_caller (&hosts[0]);
  send_text (caller, request);
  link = accept_relayed (caller, "r1", 0, &text);
  send_text (link, ANSWER ("r1", "", "0"));
  ck_assert_ptr_nonnull (strstr (read_until (caller, "\r\n\r\n"), " 200 "));
  close (link);
  close (caller);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay");
  TCase *tcase = tcase_create ("relay");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase,
                       request_at_a_cut_host_is_served_through_another_host, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, request_is_not_sent_to_a_host_that_is_silent);
  tcase_add_test (tcase, late_host_waits_longer_for_the_answer_to_an_offer);
  tcase_add_loop_test (tcase, request_may_have_run_at_a_host_that_ends, 0,
                       sizeof ended / sizeof ended[0]);
  tcase_add_test (
      tcase, host_whose_target_breaks_off_an_answer_gets_further_requests);
  tcase_add_test (tcase, largest_head_is_relayed);
  tcase_add_test (tcase, request_with_a_streamed_body_is_not_relayed);
  tcase_add_loop_test (tcase,
                       request_is_refused_where_no_host_reaches_a_target, 0,
                       sizeof cuts_of_both / sizeof cuts_of_both[0]);
  tcase_add_test (tcase, stranger_gets_no_answer_from_the_relay_listener);
  tcase_add_loop_test (
      tcase, offer_of_a_host_that_reaches_some_is_refused_by_another_such_host,
      0, (int)(sizeof partial_offers / sizeof partial_offers[0]));
  tcase_add_test (tcase, offer_names_targets_that_leave);
  tcase_add_loop_test (tcase, offer_gets_a_clear_answer, 0,
                       sizeof offers / sizeof offers[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
