#include "gateway/gateway-fixture.h"
#include "gateway/gateway-host-imp.h"
#include "gateway/gateway-run-imp.h"

#include "cowslipspoke/hash.h"
#include "support/run-suite.h"

#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A gateway that decides, with callers and engines drawn at random, and
   several changes in one turn of its loop.  The test turns the loop and its
   tick, in one thread, on a fake clock.  */

enum
{
  FIRST_SEED = 1,
  PLAYS = 120,
  ROUNDS = 60,
  CHANGES_MAX = 6, /* in a round */
  TURNS = 3,       /* of the loop, behind the changes of a round */
  TURNS_MAX = 100000,
  ENGINES = 12,
  CALLERS = 24,
  REQUESTS_AT_ONCE = 12,
  LINKS = 128,
  TEXT_BYTES = 4096,
  PROMPT_TOKENS = 3000,
  HOLD_MS = 2000,
  OTHER_PORT = 9
};

typedef struct
{
  int socket; /* -1: none */
  uint32_t requests;
  uint32_t answers;
} play_caller_t;

/* A connection to an engine.  */
typedef struct
{
  int socket; /* -1: none */
  bool streams;
  uint32_t event;
  char text[TEXT_BYTES];
  size_t text_bytes;
} play_link_t;

static fixture_t fixture;
static csp_random_t dice;
static int listener;
static play_caller_t callers[CALLERS];
static play_link_t links[LINKS];
static uint32_t request_count;
/* The last part of a prompt isn't shared.  */
static const char *const parts[] = { "aa1:50,cc3:10", "bb2:50,cc3:10" };
static const char *const data_centres[] = { "dc-a", "dc-b" };
static const csp_peer_address_t other
    = { .ip = 0x7f000001, .port = OTHER_PORT };
static bool other_decides;
static uint64_t other_boot;

static uint32_t
roll (uint32_t sides)
{
  return csp_random_below (&dice, sides);
}

static int64_t
now_ms (void)
{
  return fixture.fake_clock.steady_ms;
}

static void
drop_socket (int *socket)
{
  close (*socket);
  *socket = -1;
}

static play_link_t *
find_free_link (void)
{
  size_t i;

  for (i = 0; i < LINKS; i++)
    if (links[i].socket < 0)
      return &links[i];
  return NULL;
}

static void
accept_links (void)
{
  int socket;

  while ((socket = accept4 (listener, NULL, NULL, SOCK_NONBLOCK)) >= 0)
    {
      play_link_t *link = find_free_link ();

      if (link == NULL)
        close (socket);
      else
        *link = (play_link_t){ .socket = socket };
    }
}

static void
write_link (play_link_t *link, const char *text)
{
  if (send (link->socket, text, strlen (text), MSG_NOSIGNAL) < 0)
    drop_socket (&link->socket);
}

static void
send_event (play_link_t *link)
{
  char event[64];
  char chunk[96];

  snprintf (event, sizeof event, "id: %u\ndata: x\n\n", ++link->event);
  snprintf (chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen (event), event);
  write_link (link, chunk);
}

static void
answer_stream (play_link_t *link)
{
  const char *field = strstr (link->text, "Request-Id: ");
  char id[32] = "";
  char head[256];

  if (field != NULL)
    sscanf (field, "Request-Id: %31s", id);
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            id);
  link->streams = true;
  link->event = 0;
  write_link (link, head);
  if (link->socket >= 0)
    send_event (link);
}

/* Answer a whole request; some are left without an answer.  */
static void
answer_link (play_link_t *link)
{
  static const char *const moved[]
      = { "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nh-1",
          "HTTP/1.1 507 Full\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 503 No\r\nRetry-After: 0.3\r\nContent-Length: 0\r\n\r\n" };

  if (strncmp (link->text, "GET /stream", strlen ("GET /stream")) == 0
      || strncmp (link->text, "GET /resume", strlen ("GET /resume")) == 0)
    {
      if (roll (4) > 0)
        answer_stream (link);
    }
  else if (strncmp (link->text, "POST /move", strlen ("POST /move")) == 0)
    write_link (link, moved[roll (4)]);
  else
    write_link (link, roll (4) > 0
                          ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                          : "HTTP/1.1 200 OK\r\nLeaving: 1\r\n"
                            "Content-Length: 7\r\n\r\nleaving");
  link->text_bytes = 0;
}

static void
serve_link (play_link_t *link)
{
  ssize_t got = recv (link->socket, link->text + link->text_bytes,
                      TEXT_BYTES - 1 - link->text_bytes, 0);

  if (got == 0 || (got < 0 && errno != EAGAIN))
    {
      drop_socket (&link->socket);
      return;
    }
  if (got < 0)
    return;
  link->text_bytes += (size_t)got;
  link->text[link->text_bytes] = '\0';
  if (strstr (link->text, "\r\n\r\n") != NULL)
    answer_link (link);
}

static uint32_t
count_heads (const char *text)
{
  uint32_t count = 0;

  while ((text = strstr (text, "HTTP/1.1 ")) != NULL)
    {
      count++;
      text++;
    }
  return count;
}

static void
read_caller (play_caller_t *caller)
{
  char text[TEXT_BYTES];
  ssize_t got;

  while ((got = recv (caller->socket, text, sizeof text - 1, MSG_DONTWAIT))
         > 0)
    {
      text[got] = '\0';
      caller->answers += count_heads (text);
    }
  ck_assert_uint_le (caller->answers, caller->requests);
  if (got == 0 || errno != EAGAIN)
    drop_socket (&caller->socket);
}

/* Each request that began has ended once, or is still open.  */
static void
check_counts (void)
{
  const csp_gateway_counts_t *counts = &fixture.gateway->counts;
  const csp_exchange_t *exchange;
  uint64_t open = 0;

  for (exchange = csp_first_exchange (fixture.gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    open++;
  ck_assert_uint_eq (counts->requests, counts->answered + counts->refused
                                           + counts->failed + counts->abandoned
                                           + open);
}

static void
turn_loop (void)
{
  size_t i;
  int turns;

  for (turns = 0; turns < TURNS; turns++)
    {
      uv_run (&fixture.gateway->loop, UV_RUN_NOWAIT);
      accept_links ();
      for (i = 0; i < LINKS; i++)
        if (links[i].socket >= 0)
          serve_link (&links[i]);
      for (i = 0; i < CALLERS; i++)
        if (callers[i].socket >= 0)
          read_caller (&callers[i]);
    }
  check_counts ();
}

static void
list_engine (uint32_t number, csp_fleet_row_t row)
{
  socklen_t size_bytes = sizeof row.address;

  snprintf (row.id, sizeof row.id, "e-%u", number);
  snprintf (row.service, sizeof row.service, "engines");
  snprintf (row.data_centre, sizeof row.data_centre, "%s",
            data_centres[number % 2]);
  getsockname (listener, (struct sockaddr *)&row.address, &size_bytes);
  csp_update_target (fixture.gateway->fleet, &row, now_ms ());
}

/* For the first time, or again.  */
static void
list_ready_engine (void)
{
  list_engine (roll (ENGINES),
               (csp_fleet_row_t){ .slots = 1 + roll (3),
                                  .start_unix_ms = 1 + roll (3) });
}

static void
list_leaving_engine (void)
{
  list_engine (roll (ENGINES),
               (csp_fleet_row_t){ .slots = 1,
                                  .leaving = true,
                                  .start_unix_ms = 1 + roll (3) });
}

static void
remove_engines (void)
{
  char id[CSP_TARGET_ID_BYTES];
  uint32_t count = 1 + roll (ENGINES / 2);

  while (count-- > 0)
    {
      snprintf (id, sizeof id, "e-%u", roll (ENGINES));
      csp_remove_target (fixture.gateway->fleet, id, now_ms ());
    }
}

/* Rows are missing at the end of an outage.  */
static void
lapse_engines (void)
{
  csp_note_platform (fixture.gateway->fleet, false, now_ms ());
  csp_note_platform (fixture.gateway->fleet, true, now_ms ());
  remove_engines ();
}

static void
connect_caller (play_caller_t *caller)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (csp_gateway_caller_port (fixture.gateway));
  *caller = (play_caller_t){ .socket = socket (AF_INET, SOCK_STREAM, 0) };
  ck_assert_int_eq (
      connect (caller->socket, (struct sockaddr *)&address, sizeof address),
      0);
}

static void
send_request (play_caller_t *caller, const char *path, uint32_t prompt_tokens,
              const char *prompt_parts)
{
  char request[300];
  int size_bytes = snprintf (
      request, sizeof request,
      "GET %s HTTP/1.1\r\nHost: h\r\nKey: key-a\r\nRequest-Id: r-%u\r\n"
      "Time-Left: 30000\r\nTokens: %u,2000\r\nOutput-Hint: 1000\r\n"
      "Prompt-Parts: %s\r\n\r\n",
      path, ++request_count, prompt_tokens, prompt_parts);

  if (caller->socket < 0)
    connect_caller (caller);
  caller->requests++;
  send (caller->socket, request, (size_t)size_bytes,
        MSG_NOSIGNAL | MSG_DONTWAIT);
}

static void
call (void)
{
  uint32_t count = 1 + roll (REQUESTS_AT_ONCE);

  while (count-- > 0)
    send_request (&callers[roll (CALLERS)],
                  roll (2) == 0 ? "/stream/" : "/resume/",
                  100 + roll (PROMPT_TOKENS), parts[roll (2)]);
}

static void
leave_caller (void)
{
  play_caller_t *caller = &callers[roll (CALLERS)];

  if (caller->socket >= 0)
    drop_socket (&caller->socket);
}

static void
use_link (void)
{
  play_link_t *link = &links[roll (LINKS / 4)];

  if (link->socket < 0)
    return;
  switch (roll (4))
    {
    case 0:
      reset_socket (link->socket);
      link->socket = -1;
      break;
    case 1:
      if (link->streams)
        write_link (link, "0\r\n\r\n");
      link->streams = false;
      break;
    default:
      if (link->streams)
        send_event (link);
      break;
    }
}

static void
hold_part (const char *prompt_parts)
{
  csp_prompt_parts_t held = { .count = 0 };
  csp_hello_t hello = { .held_part_count = 1 };

  csp_read_prompt_parts (
      prompt_parts, (uint32_t)csp_hash_pair ("service", "engines"), &held);
  hello.held_parts[0]
      = (csp_held_part_t){ .part = held.parts[0], .left_ms = HOLD_MS };
  csp_handle_part_hello (fixture.gateway, other, &hello);
}

static void
hold_any_part (void)
{
  hold_part (parts[roll (2)]);
}

static csp_exchange_t *
pick_exchange (void)
{
  csp_exchange_t *exchange = fixture.gateway->exchanges;
  uint32_t skipped = roll (CALLERS);

  while (exchange != NULL && exchange->next != NULL && skipped-- > 0)
    exchange = exchange->next;
  return exchange == NULL || exchange->ended ? NULL : exchange;
}

static void
hold_request (void)
{
  csp_exchange_t *exchange = pick_exchange ();
  csp_hello_t hello = { .suspect_count = 1,
                        .suspects = { { .strike_count = CSP_STRIKES_MAX } } };
  uint64_t i;

  if (exchange == NULL || exchange->service == NULL)
    return;
  hello.suspects[0].request = csp_exchange_fingerprint (exchange);
  for (i = 0; i < CSP_STRIKES_MAX; i++)
    hello.suspects[0].targets[i] = i + 1;
  csp_handle_suspects (fixture.gateway, other, &hello);
}

static void
change_cordon (void)
{
  csp_apply_cordon (fixture.gateway, data_centres[roll (2)], roll (2) == 0);
}

/* The other host takes over who decides, or gives it back.  */
static void
hand_over (void)
{
  csp_hello_t hello = { .capacity = 100000,
                        .up_ms = CSP_UP_REPORTED_MAX_MS,
                        .boot = ++other_boot,
                        .leaving = other_decides };

  other_decides = !other_decides;
  csp_receive_hello (fixture.gateway->roster, other, &hello, now_ms ());
  csp_choose_deciders (fixture.gateway);
}

/* An ask is sent again, or to the next decider.  */
static void
repeat_ask (void)
{
  csp_exchange_t *exchange = pick_exchange ();

  if (exchange != NULL && exchange->asking)
    exchange->move.timer.timer_cb (&exchange->move.timer);
}

static void
pass_time (void)
{
  static const int64_t steps_ms[] = { 20, 100, 700, 2400, 11000 };

  csp_advance_fake_clock (&fixture.fake_clock, steps_ms[roll (5)]);
}

static void
tick (void)
{
  fixture.gateway->tick.timer_cb (&fixture.gateway->tick);
}

/* Those that come often are named more than once.  */
static void (*const changes[]) (void) = { call,
                                          call,
                                          call,
                                          list_ready_engine,
                                          list_ready_engine,
                                          list_ready_engine,
                                          list_leaving_engine,
                                          remove_engines,
                                          lapse_engines,
                                          leave_caller,
                                          use_link,
                                          use_link,
                                          hold_any_part,
                                          hold_request,
                                          change_cordon,
                                          hand_over,
                                          repeat_ask,
                                          pass_time,
                                          pass_time,
                                          tick };

enum
{
  CHANGE_KINDS = sizeof changes / sizeof changes[0]
};

static void
open_play (uint64_t seed)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  size_t i;

  csp_seed_random (&dice, seed);
  request_count = 0;
  other_decides = false;
  for (i = 0; i < CALLERS; i++)
    callers[i].socket = -1;
  for (i = 0; i < LINKS; i++)
    links[i].socket = -1;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  ck_assert_int_eq (
      bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (listen (listener, LINKS), 0);
  fixture = (fixture_t){ .turned_by_test = true };
  fixture_open (&fixture);
  csp_seed_random (&fixture.gateway->random, seed);
  uv_timer_stop (&fixture.gateway->tick);
  fixture_publish_routes (&fixture, true);
  fixture_send_update (&fixture, CSP_UPDATE_TARGETS_LISTED);
  turn_loop ();
}

static void
close_play (void)
{
  size_t i;

  fixture_close (&fixture);
  for (i = 0; i < CALLERS; i++)
    if (callers[i].socket >= 0)
      drop_socket (&callers[i].socket);
  for (i = 0; i < LINKS; i++)
    if (links[i].socket >= 0)
      drop_socket (&links[i].socket);
  close (listener);
}

static void
play_seed (uint64_t seed)
{
  int round;

  open_play (seed);
  for (round = 0; round < ROUNDS; round++)
    {
      uint32_t count = 1 + roll (CHANGES_MAX);

      /* Without turns of the loop between them.  */
      while (count-- > 0)
        changes[roll (CHANGE_KINDS)]();
      if (roll (2) == 0)
        tick ();
      turn_loop ();
    }
  close_play ();
}

/* Turn the loop until a counter has reached a value.  */
static void
turn_until (const uint64_t *counter, uint64_t value)
{
  int turns = TURNS_MAX;

  while (*counter != value && turns-- > 0)
    turn_loop ();
  ck_assert_uint_eq (*counter, value);
}

/* Guards against a hold that refuses a waiting request, places the next one
   with the same part meanwhile, and ends that one twice.  */
START_TEST (a_hold_refuses_each_of_its_waiting_requests_once)
{
  const csp_fleet_row_t engine = { .slots = 1, .start_unix_ms = 1 };
  const csp_gateway_counts_t *counts;

  open_play (FIRST_SEED);
  counts = &fixture.gateway->counts;
  list_engine (0, engine);
  send_request (&callers[0], "/stream/", PROMPT_TOKENS, parts[1]);
  turn_until (&counts->requests, 1);
  send_request (&callers[1], "/stream/", PROMPT_TOKENS, parts[0]);
  send_request (&callers[2], "/stream/", PROMPT_TOKENS, parts[0]);
  turn_until (&counts->requests, 3);
  ck_assert_uint_eq (csp_count_waiting_asks (fixture.gateway->dispatch), 2);
  list_engine (2, engine);
  hold_part (parts[0]);
  turn_until (&counts->parts_refused, 2);
  ck_assert_uint_eq (counts->refused, 2);
  close_play ();
}
END_TEST

static uint64_t
read_number (const char *name, uint64_t otherwise)
{
  const char *text = getenv (name);

  return text == NULL ? otherwise : strtoull (text, NULL, 10);
}

/* Guards against a walk through requests or targets that goes on with one that
   its own body has ended, placed or freed.  */
START_TEST (changes_in_one_turn_end_each_request_once)
{
  uint64_t seed = read_number ("PLAY_SEED", FIRST_SEED);
  uint64_t count = read_number ("PLAY_COUNT", PLAYS);

  while (count-- > 0)
    {
      if (getenv ("PLAY_SEED") != NULL)
        fprintf (stderr, "play %llu\n", (unsigned long long)seed);
      play_seed (seed++);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("changes-play");
  TCase *hold = tcase_create ("hold");
  TCase *play = tcase_create ("play");

  tcase_add_test (hold, a_hold_refuses_each_of_its_waiting_requests_once);
  suite_add_tcase (suite, hold);
  tcase_set_timeout (play, 120);
  tcase_add_test (play, changes_in_one_turn_end_each_request_once);
  suite_add_tcase (suite, play);
  return run_suite (suite);
}
