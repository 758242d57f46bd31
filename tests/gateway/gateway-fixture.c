#include "gateway/gateway-fixture.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  WAIT_S = 10,
  STOP_LIMIT_MS = 8000,
  LEAVE_LIMIT_MS = 2000,
  HEAD_MAX_BYTES = 2000,
  ROUTE_TIMEOUT_MS = 4000
};

static const char *const never_from_callers[] = { "Secret", NULL };

static bool
write_move (const char *target, const char *request_id, const char *to,
            bool last, csp_buffer_t *request)
{
  return csp_print_buffer (request,
                           "POST /move?id=%s&to=%s&last=%d HTTP/1.1\r\n"
                           "Host: %s\r\nContent-Length: 0\r\n\r\n",
                           request_id, to, last, target);
}

static bool
read_move (const char *body, size_t size_bytes, csp_move_answer_t *answer)
{
  if (size_bytes == 0 || size_bytes >= sizeof answer->handle)
    return false;
  memcpy (answer->handle, body, size_bytes);
  answer->handle[size_bytes] = '\0';
  return true;
}

static void
write_copy (const char *address, const char *handle, char *text,
            size_t text_bytes)
{
  snprintf (text, text_bytes, "%s/%s", address, handle);
}

static bool
write_release (const char *target, const char *handle, csp_buffer_t *request)
{
  return csp_print_buffer (
      request, "DELETE /copy/%s HTTP/1.1\r\nHost: %s\r\n\r\n", handle, target);
}

static bool
write_report (const char *target, csp_buffer_t *request)
{
  return csp_print_buffer (request, "GET /report HTTP/1.1\r\nHost: %s\r\n\r\n",
                           target);
}

/* "leaving", or "runs" and the ids of the runs.  */
static bool
read_report (const char *body, size_t size_bytes, csp_target_report_t *report)
{
  static const char leaving[] = "leaving";
  static const char runs[] = "runs";

  report->leaving = size_bytes == sizeof leaving - 1
                    && memcmp (body, leaving, size_bytes) == 0;
  report->lists_runs = size_bytes >= sizeof runs - 1
                       && memcmp (body, runs, sizeof runs - 1) == 0;
  report->lists_request = report->lists_runs && report->request_id != NULL
                          && memmem (body, size_bytes, report->request_id,
                                     strlen (report->request_id))
                                 != NULL;
  return true;
}

static const csp_dialect_t dialect
    = { .names = { [CSP_HEADER_REQUEST_ID] = "Request-Id",
                   [CSP_HEADER_REMAINING_TIME] = "Time-Left",
                   [CSP_HEADER_KEY] = "Key",
                   [CSP_HEADER_TOKENS] = "Tokens",
                   [CSP_HEADER_OUTPUT_HINT] = "Output-Hint",
                   [CSP_HEADER_PROMPT_PARTS] = "Prompt-Parts",
                   [CSP_HEADER_LAST_EVENT] = "Last-Event-Id",
                   [CSP_HEADER_ORGANISATION] = "Organisation",
                   [CSP_HEADER_TARGET_ID] = "Target-Id",
                   [CSP_HEADER_URGENCY] = "Urgency",
                   [CSP_HEADER_BACKUP] = "Backup",
                   [CSP_HEADER_CONTINUE_FROM] = "Go-On-From",
                   [CSP_HEADER_SIGNATURE] = "Signature",
                   [CSP_HEADER_NOT_RUN] = "Not-Run",
                   [CSP_HEADER_LEAVING] = "Leaving",
                   [CSP_HEADER_RATE_LIMIT] = "Rate-Limit",
                   [CSP_HEADER_REFUSAL_LIMIT] = "Refusal-Limit" },
        .never_from_callers = never_from_callers,
        .write_move = write_move,
        .read_move = read_move,
        .write_release = write_release,
        .write_report = write_report,
        .read_report = read_report,
        .format_copy_source = write_copy };

static void *
run_gateway (void *state)
{
  fixture_t *fixture = state;

  csp_run_gateway (fixture->gateway);
  return NULL;
}

static struct sockaddr_in
loopback (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (port);
  return address;
}

/* A free port at a loopback address that no other test process uses.  With
   one address for all processes, a gateway whose test has closed a listener
   could connect to a listener that another process has bound to the same port
   since, and be taken there for the gateway under test.  */
static struct sockaddr_in
choose_target_address (void)
{
  struct sockaddr_in address = loopback (0);

  address.sin_addr.s_addr
      = htonl (0x7f200000U | ((uint32_t)getpid () & 0x1fffff));
  return address;
}

void
fixture_open (fixture_t *fixture)
{
  static const struct sockaddr_in none;

  fixture_open_at (fixture, &none);
}

void
fixture_open_at (fixture_t *fixture,
                 const struct sockaddr_in *datagram_address)
{
  csp_gateway_settings_t settings = { .host = "host-a",
                                      .data_centre = "dc-a",
                                      .caller_address = loopback (0),
                                      .readiness_address = loopback (0),
                                      .datagram_address = *datagram_address,
                                      /* Hosts that tests simulate have no
                                         capacity, so that this host becomes
                                         the decider.  */
                                      .capacity = 1000,
                                      .stop_limit_ms = STOP_LIMIT_MS,
                                      .leave_limit_ms = LEAVE_LIMIT_MS,
                                      .retry_share = 0.2,
                                      .retry_saved_max = 4,
                                      .retry_start = 4 };
  uint32_t fleet_retry_limit = fixture->fleet_retry_limit;
  uint64_t link_bytes_per_s = fixture->link_bytes_per_s;
  const struct sockaddr_in *seed = fixture->seed;
  bool without_moves = fixture->without_moves;
  bool turned_by_test = fixture->turned_by_test;
  csp_clock_t clock;
  char message[256];

  signal (SIGPIPE, SIG_IGN);
  memset (fixture, 0, sizeof *fixture);
  fixture->without_moves = without_moves;
  fixture->turned_by_test = turned_by_test;
  settings.link_bytes_per_s = link_bytes_per_s;
  settings.relay_address = *datagram_address;
  settings.relay_address.sin_port = 0;
  if (seed != NULL)
    settings.seeds[settings.seed_count++] = *seed;
  if (fleet_retry_limit > 0)
    {
      settings.retry_share = 0;
      settings.retry_start = 0;
      settings.retry_extra = fleet_retry_limit;
      settings.retry_window_ms = 10000;
    }
  fixture->fake_clock.steady_ms = 1000000;
  fixture->fake_clock.wall_ms = 1000000;
  clock = csp_clock_from_fake (&fixture->fake_clock);
  fixture->gateway = csp_create_gateway (&settings, &dialect, &clock, NULL,
                                         message, sizeof message);
  ck_assert_msg (fixture->gateway != NULL, "%s", message);
  if (turned_by_test)
    return;
  ck_assert_int_eq (
      pthread_create (&fixture->thread, NULL, run_gateway, fixture), 0);
  fixture->running = true;
}

/* The run ends at the first tick after the stop's time limit.  */
void
fixture_close (fixture_t *fixture)
{
  if (fixture->turned_by_test)
    {
      csp_destroy_gateway (fixture->gateway);
      return;
    }
  fixture_send_update (fixture, CSP_UPDATE_STOP);
  csp_advance_fake_clock (&fixture->fake_clock, STOP_LIMIT_MS);
  while (fixture->running)
    {
      struct timespec limit;

      clock_gettime (CLOCK_REALTIME, &limit);
      limit.tv_nsec += 20000000;
      if (limit.tv_nsec >= 1000000000)
        {
          limit.tv_sec++;
          limit.tv_nsec -= 1000000000;
        }
      if (pthread_timedjoin_np (fixture->thread, NULL, &limit) == 0)
        fixture->running = false;
      csp_advance_fake_clock (&fixture->fake_clock, STOP_LIMIT_MS);
    }
  if (fixture->after_run != NULL)
    fixture->after_run ();
  csp_destroy_gateway (fixture->gateway);
}

static void
add_route (csp_routes_t *routes, uint32_t timeout_ms, const char *prefix,
           csp_route_kind_t kind, uint32_t attempts, const char *service,
           bool open_to_all)
{
  csp_gateway_route_t route = { .name = prefix,
                                .host = "h",
                                .prefix = prefix,
                                .kind = kind,
                                .timeout_ms = timeout_ms,
                                .attempts_max = attempts,
                                .urgency = 2,
                                .allows_anonymous = open_to_all,
                                .resumable = strcmp (prefix, "/resume/") == 0,
                                .share_count = 1,
                                .shares = { { service, 1 } } };

  ck_assert (csp_add_route (routes, &route));
}

void
fixture_publish_routes (fixture_t *fixture, bool with_key)
{
  csp_caller_limits_t limits
      = { .head_max_bytes = fixture->head_max_bytes == 0
                                ? HEAD_MAX_BYTES
                                : fixture->head_max_bytes,
          .body_max_bytes = 300000,
          .head_timeout_ms = 3000,
          .idle_timeout_ms = 15000 };
  csp_route_service_t plain = { .name = "plain" };
  csp_route_service_t engines = { .name = "engines",
                                  .is_engine = true,
                                  .supports_kv_backups = true,
                                  .supports_kv_moves = !fixture->without_moves,
                                  .memory_tokens = 100000,
                                  .copy_ms_per_token = 0.05 };
  uint32_t timeout_ms = fixture->route_timeout_ms == 0
                            ? ROUTE_TIMEOUT_MS
                            : fixture->route_timeout_ms;
  csp_routes_t *routes = csp_create_routes (++fixture->routes_version, limits);
  csp_update_t update
      = { .kind = CSP_UPDATE_ROUTES, .value = { .routes = routes } };

  ck_assert (csp_add_service (routes, &plain));
  ck_assert (csp_add_service (routes, &engines));
  add_route (routes, timeout_ms, "/safe/", CSP_ROUTE_IDEMPOTENT, 2, "plain",
             false);
  add_route (routes, timeout_ms, "/once/", CSP_ROUTE_AT_MOST_ONCE, 1, "plain",
             false);
  add_route (routes, timeout_ms, "/open/", CSP_ROUTE_AT_MOST_ONCE, 1, "plain",
             true);
  add_route (routes, timeout_ms, "/stream/", CSP_ROUTE_STREAM, 2, "engines",
             false);
  add_route (routes, timeout_ms, "/resume/", CSP_ROUTE_STREAM, 2, "engines",
             false);
  ck_assert (csp_add_organisation (routes, "org-a", 3));
  if (with_key)
    ck_assert (csp_add_key (routes, "key-a"));
  csp_seal_routes (routes);
  ck_assert (csp_update_gateway (fixture->gateway, &update));
}

void
fixture_send_update (fixture_t *fixture, csp_update_kind_t kind)
{
  csp_update_t update = { .kind = kind };

  ck_assert (csp_update_gateway (fixture->gateway, &update));
}

static void
send_target_row (fixture_t *fixture, int listener, const char *id,
                 const char *service, bool leaving)
{
  csp_update_t update = { .kind = CSP_UPDATE_TARGET };
  csp_fleet_row_t *row = &update.value.target;
  socklen_t size_bytes = sizeof row->address;

  snprintf (row->id, sizeof row->id, "%s", id);
  snprintf (row->service, sizeof row->service, "%s", service);
  snprintf (row->data_centre, sizeof row->data_centre, "%s",
            fixture->target_data_centre == NULL ? "dc-a"
                                                : fixture->target_data_centre);
  row->slots = 8;
  row->leaving = leaving;
  getsockname (listener, (struct sockaddr *)&row->address, &size_bytes);
  ck_assert (csp_update_gateway (fixture->gateway, &update));
}

int
fixture_add_target (fixture_t *fixture, const char *id, const char *service)
{
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = choose_target_address ();
  struct timeval wait = { .tv_sec = WAIT_S };

  ck_assert_int_eq (
      bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (listen (listener, 16), 0);
  setsockopt (listener, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  send_target_row (fixture, listener, id, service, false);
  fixture_send_update (fixture, CSP_UPDATE_TARGETS_LISTED);
  fixture_await_updates (fixture);
  return listener;
}

void
fixture_list_target (fixture_t *fixture, int listener, const char *id,
                     const char *service)
{
  send_target_row (fixture, listener, id, service, false);
}

void
fixture_mark_leaving (fixture_t *fixture, int listener, const char *id,
                      const char *service)
{
  send_target_row (fixture, listener, id, service, true);
}

void
fixture_remove_target (fixture_t *fixture, const char *id)
{
  csp_update_t update = { .kind = CSP_UPDATE_TARGET_REMOVED };

  snprintf (update.value.target_id, sizeof update.value.target_id, "%s", id);
  ck_assert (csp_update_gateway (fixture->gateway, &update));
}

static int
connect_to (uint16_t port)
{
  int caller = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = loopback (port);
  struct timeval wait = { .tv_sec = WAIT_S };

  setsockopt (caller, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  ck_assert_int_eq (
      connect (caller, (struct sockaddr *)&address, sizeof address), 0);
  return caller;
}

int
open_caller (fixture_t *fixture)
{
  return connect_to (csp_gateway_caller_port (fixture->gateway));
}

const char *
fixture_get_page (fixture_t *fixture, const char *path)
{
  int caller = connect_to (csp_gateway_readiness_port (fixture->gateway));
  char request[200];
  const char *answer;
  bool reset;

  snprintf (request, sizeof request,
            "GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", path);
  send_text (caller, request);
  answer = read_to_end (caller, &reset);
  close (caller);
  return answer;
}

/* Updates are handled in order, so once a new version of the routes shows in
   the metrics, all updates sent before it are in force.  */
void
fixture_await_updates (fixture_t *fixture)
{
  char expected[64];

  if (fixture->routes_version == 0)
    return;
  fixture_publish_routes (fixture, true);
  snprintf (expected, sizeof expected, "routes_version %llu",
            (unsigned long long)fixture->routes_version);
  while (strstr (fixture_get_page (fixture, "/metrics"), expected) == NULL)
    continue;
}

void
send_bytes (int socket, const char *data, size_t size_bytes)
{
  while (size_bytes > 0)
    {
      ssize_t sent = send (socket, data, size_bytes, MSG_NOSIGNAL);

      ck_assert_msg (sent > 0, "send: %s", strerror (errno));
      data += sent;
      size_bytes -= (size_t)sent;
    }
}

void
send_text (int socket, const char *text)
{
  send_bytes (socket, text, strlen (text));
}

static char text_buffer[FIXTURE_TEXT_BYTES];

const char *
read_until (int socket, const char *expected)
{
  size_t size_bytes = 0;

  text_buffer[0] = '\0';
  while (strstr (text_buffer, expected) == NULL)
    {
      ssize_t got = recv (socket, text_buffer + size_bytes,
                          sizeof text_buffer - size_bytes - 1, 0);

      ck_assert_msg (got > 0, "expected \"%s\" after \"%s\": %s", expected,
                     text_buffer, got == 0 ? "closed" : strerror (errno));
      size_bytes += (size_t)got;
      text_buffer[size_bytes] = '\0';
    }
  return text_buffer;
}

const char *
read_to_end (int socket, bool *reset)
{
  size_t size_bytes = 0;
  ssize_t got;

  while ((got = recv (socket, text_buffer + size_bytes,
                      sizeof text_buffer - size_bytes - 1, 0))
         > 0)
    size_bytes += (size_t)got;
  ck_assert_msg (got == 0 || errno == ECONNRESET, "no end after \"%.200s\"",
                 text_buffer);
  *reset = got < 0;
  text_buffer[size_bytes] = '\0';
  return text_buffer;
}

bool
await_close (int socket)
{
  char byte;
  ssize_t got = recv (socket, &byte, 1, 0);

  return got == 0 || (got < 0 && errno == ECONNRESET);
}

int
accept_target_connection (int listener)
{
  int target = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
  struct timeval wait = { .tv_sec = WAIT_S };

  ck_assert_msg (target >= 0, "no connection came: %s", strerror (errno));
  setsockopt (target, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  return target;
}

const char *
read_target_request (int socket, size_t body_bytes)
{
  size_t size_bytes = 0;
  const char *end = NULL;

  text_buffer[0] = '\0';
  while (end == NULL
         || size_bytes < (size_t)(end - text_buffer) + 4 + body_bytes)
    {
      ssize_t got = recv (socket, text_buffer + size_bytes,
                          sizeof text_buffer - size_bytes - 1, 0);

      ck_assert_msg (got > 0, "the request ends at \"%.300s\"", text_buffer);
      size_bytes += (size_t)got;
      text_buffer[size_bytes] = '\0';
      end = strstr (text_buffer, "\r\n\r\n");
    }
  return text_buffer;
}

void
reset_socket (int socket)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (socket, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (socket);
}
