#include "support/run-suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <limits.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Signals of the process itself, which start and stop at any moment.  */

enum
{
  TEXT_BYTES = 1024,
  LINES_BYTES = 4096,
  TIMEOUT_S = 60
};

typedef struct
{
  pid_t pid;
  FILE *output;
  char settings[PATH_MAX];
} gateway_t;

extern char **environ;

/* A loopback address that no other test process uses.  */
static void
print_address (char *text, size_t text_bytes)
{
  struct in_addr address
      = { .s_addr = htonl (0x7f700000U | ((uint32_t)getpid () & 0xfffffU)) };

  inet_ntop (AF_INET, &address, text, (socklen_t)text_bytes);
}

static void
write_settings (gateway_t *gateway)
{
  char address[INET_ADDRSTRLEN];
  char text[TEXT_BYTES];
  int length;
  int file;

  print_address (address, sizeof address);
  length = snprintf (
      text, sizeof text,
      "{\"host\":\"h1\",\"data_centre\":\"z\",\"callers\":\"%s:0\","
      "\"readiness\":\"%s:0\",\"metrics\":\"127.0.0.1:0\","
      "\"peers\":\"%s:8748\",\"seeds\":[\"%s:8748\"],\"store\":\"%s:1\","
      "\"source\":\"%s:0\",\"relay\":\"%s:7200\",\"stop_limit_s\":1,"
      "\"retry_share\":0.2,\"retry_extra\":58,\"cold_overage\":1.5,"
      "\"cold_tolerance\":3}\n",
      address, address, address, address, address, address, address);
  strcpy (gateway->settings, "/tmp/signal-test.XXXXXX");
  file = mkstemp (gateway->settings);
  ck_assert_int_ge (file, 0);
  ck_assert_int_eq (write (file, text, (size_t)length), length);
  close (file);
}

/* Starts the program that is built beside this test.  */
static void
start_gateway (gateway_t *gateway)
{
  const char *build = getenv ("BUILD");
  char program[PATH_MAX];
  char *arguments[] = { program, "--settings", gateway->settings, NULL };
  posix_spawn_file_actions_t actions;
  int output[2];

  snprintf (program, sizeof program, "%s/cowslip-gateway",
            build == NULL ? "build/plain" : build);
  write_settings (gateway);
  ck_assert_int_eq (pipe2 (output, O_CLOEXEC), 0);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_adddup2 (&actions, output[1], STDOUT_FILENO);
  ck_assert_int_eq (
      posix_spawn (&gateway->pid, program, &actions, NULL, arguments, environ),
      0);
  posix_spawn_file_actions_destroy (&actions);
  close (output[1]);
  gateway->output = fdopen (output[0], "r");
  ck_assert_ptr_nonnull (gateway->output);
}

static void
await_line (gateway_t *gateway, const char *wanted)
{
  char line[LINES_BYTES];

  while (fgets (line, sizeof line, gateway->output) != NULL)
    if (strstr (line, wanted) != NULL)
      return;
  ck_abort_msg ("the process ended without a line with %s", wanted);
}

/* Sends a signal again and again until the process has ended.  */
static int
signal_until_end (gateway_t *gateway, int number)
{
  int status = 0;

  while (waitpid (gateway->pid, &status, WNOHANG) == 0)
    {
      kill (gateway->pid, number);
      /* The process reads its settings for each SIGHUP that it handles.  */
      usleep (300);
    }
  fclose (gateway->output);
  unlink (gateway->settings);
  return status;
}

static const struct
{
  const char *name;
  int number;
} late_signals[] = { { "reload", SIGHUP },
                     { "stop again", SIGTERM },
                     { "interrupt", SIGINT } };

/* Guards against a process that a signal ends in the middle of its orderly
   stop.  */
START_TEST (signals_do_not_end_a_stopping_process)
{
  gateway_t gateway;
  int status;

  start_gateway (&gateway);
  await_line (&gateway, "http_port");
  kill (gateway.pid, SIGTERM);
  status = signal_until_end (&gateway, late_signals[_i].number);
  ck_assert_msg (WIFEXITED (status) && WEXITSTATUS (status) == 0,
                 "%s: wait status %d", late_signals[_i].name, status);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("signal");
  TCase *tests = tcase_create ("signal");

  tcase_set_timeout (tests, TIMEOUT_S);
  tcase_add_loop_test (tests, signals_do_not_end_a_stopping_process, 0,
                       (int)(sizeof late_signals / sizeof late_signals[0]));
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
