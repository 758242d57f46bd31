#include "cowslipspoke/peer.h"

#include "support/run-suite.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* Hosts as processes that send to each other until they end.  */

enum
{
  HOSTS = 3,
  ROUNDS = 60,
  SENDS_MIN = 40,
  SENDS_SPREAD = 60, /* hosts end up to this many sends apart */
  SEND_EVERY_MS = 2,
  REQUEST_BYTES = 200,
  REPLY_BYTES = 64,
  REQUEST_TIMEOUT_MS = 50,
  END_WITHIN_MS = 10000, /* what tests/fleet.sh allows */
  POLL_MS = 10,
  TEST_LIMIT_S = 240,
  NS_PER_MS = 1000000
};

typedef struct
{
  pid_t pid;
  int link; /* to the host: its port comes back, all ports go out */
} host_t;

static void
sleep_ms (long ms)
{
  struct timespec time = { 0, ms * NS_PER_MS };

  nanosleep (&time, NULL);
}

static void
answer_request (void *state, csp_peer_call_t *call, const uint8_t *data,
                size_t size_bytes)
{
  static const uint8_t reply[REPLY_BYTES];

  (void)state;
  (void)data;
  (void)size_bytes;
  csp_reply_to_peer (call, reply, sizeof reply);
}

static void
ignore_reply (void *state, const uint8_t *data, size_t size_bytes)
{
  (void)state;
  (void)data;
  (void)size_bytes;
}

static void
run_host (int link, unsigned number)
{
  static const csp_tls_settings_t tls;
  static const uint8_t request[REQUEST_BYTES];
  csp_peers_settings_t settings = { .address = "127.0.0.1",
                                    .deployment = "test",
                                    .tls = &tls,
                                    .on_request = answer_request };
  char message[256];
  csp_peers_t *peers = csp_create_peers (&settings, message, sizeof message);
  unsigned sends = SENDS_MIN + (number * 37) % SENDS_SPREAD;
  uint16_t ports[HOSTS];
  uint16_t port;
  size_t i;

  if (peers == NULL)
    _exit (EXIT_FAILURE);
  port = csp_peers_port (peers);
  if (write (link, &port, sizeof port) != sizeof port
      || read (link, ports, sizeof ports) != sizeof ports)
    _exit (EXIT_FAILURE);
  for (; sends > 0; sends--)
    {
      for (i = 0; i < HOSTS; i++)
        if (ports[i] != port)
          csp_send_peer_request (peers, "127.0.0.1", ports[i], request,
                                 sizeof request, REQUEST_TIMEOUT_MS,
                                 ignore_reply, NULL);
      sleep_ms (SEND_EVERY_MS);
    }
  csp_destroy_peers (peers);
  _exit (EXIT_SUCCESS);
}

static void
start_host (host_t *host, unsigned number)
{
  int ends[2];

  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM, 0, ends), 0);
  host->pid = fork ();
  ck_assert_int_ge (host->pid, 0);
  if (host->pid == 0)
    run_host (ends[1], number);
  close (ends[1]);
  host->link = ends[0];
}

/* Returns the wait status, or -1 if the host had to be killed.  */
static int
wait_for_host (const host_t *host)
{
  int status = -1;
  int waited_ms = 0;

  while (waited_ms < END_WITHIN_MS
         && waitpid (host->pid, &status, WNOHANG) == 0)
    {
      sleep_ms (POLL_MS);
      waited_ms += POLL_MS;
    }
  if (waited_ms < END_WITHIN_MS)
    return status;
  kill (host->pid, SIGKILL);
  waitpid (host->pid, NULL, 0);
  return -1;
}

/* Guards against hosts that stop together and never end.  */
START_TEST (hosts_that_stop_together_end)
{
  host_t hosts[HOSTS];
  uint16_t ports[HOSTS];
  size_t i;

  for (i = 0; i < HOSTS; i++)
    start_host (&hosts[i], (unsigned)(_i * HOSTS + i));
  for (i = 0; i < HOSTS; i++)
    ck_assert (read (hosts[i].link, &ports[i], sizeof ports[i])
               == sizeof ports[i]);
  for (i = 0; i < HOSTS; i++)
    ck_assert (write (hosts[i].link, ports, sizeof ports) == sizeof ports);
  for (i = 0; i < HOSTS; i++)
    {
      ck_assert_int_eq (wait_for_host (&hosts[i]), 0);
      close (hosts[i].link);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("peers");
  TCase *tcase = tcase_create ("peers");

  tcase_set_timeout (tcase, TEST_LIMIT_S);
  tcase_add_loop_test (tcase, hosts_that_stop_together_end, 0, ROUNDS);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
