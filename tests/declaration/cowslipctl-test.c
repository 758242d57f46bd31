#include "support/run-suite.h"

#include <check.h>
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  OUTPUT_BYTES_MAX = 65536,
  COMMAND_BYTES = 512
};

/* A command line, its exit code and the golden file with its output.  */
typedef struct
{
  const char *arguments;
  int exit_code;
  const char *golden;
} case_t;

#define DIRECTORY "tests/declaration/"

static const case_t cases[] = {
  { "--help", 0, "help" },
  { "", 2, "help" },
  { "nonsense", 2, "help" },
  { "check", 2, "usage-check" },
  { "losses", 2, "usage-losses" },
  { "trace r1 " DIRECTORY "hosts.log", 0, "trace" },
  { "losses " DIRECTORY "hosts.log", 0, "losses" },
  { "check examples/declarations", 0, "check-examples" },
  { "check " DIRECTORY "broken", 2, "check-broken" },
  { "check " DIRECTORY "after", 2, "check-after" },
  { "check " DIRECTORY "nowhere", 2, "check-nowhere" },
  { "diff " DIRECTORY "before " DIRECTORY "before", 0, "nothing" },
  { "diff " DIRECTORY "before " DIRECTORY "after", 1, "diff" },
  { "diff " DIRECTORY "before " DIRECTORY "nowhere", 2, "check-nowhere" },
  { "explain examples/declarations examples/requests/late-bulletin.json", 0,
    "explain-late-bulletin" },
  { "explain examples/declarations examples/requests/lease-score.json", 0,
    "explain-lease-score" },
  { "explain " DIRECTORY "before examples/requests/lease-score.json", 2,
    "explain-unknown" },
  { "bundle " DIRECTORY "after", 0, "bundle" },
  { "bundle " DIRECTORY "nowhere", 2, "check-nowhere" },
};

static int
run (const char *arguments, char output[OUTPUT_BYTES_MAX])
{
  char command[COMMAND_BYTES];
  size_t size_bytes;
  FILE *pipe;

  snprintf (command, sizeof command, "%s/cowslipctl %s 2>&1", getenv ("BUILD"),
            arguments);
  pipe = popen (command, "r");
  ck_assert_ptr_nonnull (pipe);
  size_bytes = fread (output, 1, OUTPUT_BYTES_MAX - 1, pipe);
  output[size_bytes] = '\0';
  return WEXITSTATUS (pclose (pipe));
}

static void
read_golden (const char *name, char text[OUTPUT_BYTES_MAX])
{
  char path[COMMAND_BYTES];
  FILE *file;

  snprintf (path, sizeof path, DIRECTORY "golden/%s.txt", name);
  file = fopen (path, "r");
  ck_assert_msg (file != NULL, "no %s", path);
  text[fread (text, 1, OUTPUT_BYTES_MAX - 1, file)] = '\0';
  fclose (file);
}

/* Operators' scripts check the exit code and reviewers read the output; an
   unnoticed change of either could let an invalid declaration pass.  */
START_TEST (commands_print_and_exit_as_documented)
{
  static char output[OUTPUT_BYTES_MAX];
  static char golden[OUTPUT_BYTES_MAX];
  int code = run (cases[_i].arguments, output);

  read_golden (cases[_i].golden, golden);
  ck_assert_str_eq (output, golden);
  ck_assert_int_eq (code, cases[_i].exit_code);
}
END_TEST

typedef struct
{
  const char *response;
  int exit_code;
  const char *expected_text;
} status_case_t;

static const status_case_t status_cases[] = {
  { "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nConnection: close\r\n\r\n"
    "{\"ready\":1}",
    0, "\"ready\":1" },
  { "HTTP/1.1 503 Gone\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", 3,
    "answered 503" },
  { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{x", 3,
    "without JSON" },
  { "", 3, "returned nothing" },
};

typedef struct
{
  int listener;
  const char *response;
} host_t;

static void *
respond_once (void *context)
{
  host_t *host = context;
  char request[COMMAND_BYTES];
  int connection = accept (host->listener, NULL, NULL);

  if (connection >= 0 && read (connection, request, sizeof request) > 0
      && host->response[0] != '\0'
      && write (connection, host->response, strlen (host->response)) < 0)
    perror ("write");
  close (connection);
  return NULL;
}

static int
listen_on_any_port (struct sockaddr_in *address)
{
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  socklen_t size_bytes = sizeof *address;

  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (
      bind (listener, (struct sockaddr *)address, sizeof *address), 0);
  ck_assert_int_eq (listen (listener, 1), 0);
  getsockname (listener, (struct sockaddr *)address, &size_bytes);
  return listener;
}

START_TEST (status_reports_invalid_responses)
{
  static char output[OUTPUT_BYTES_MAX];
  const status_case_t *row = &status_cases[_i];
  struct sockaddr_in address;
  host_t host = { listen_on_any_port (&address), row->response };
  char arguments[COMMAND_BYTES];
  pthread_t thread;
  int code;

  pthread_create (&thread, NULL, respond_once, &host);
  snprintf (arguments, sizeof arguments, "status 127.0.0.1:%d",
            ntohs (address.sin_port));
  code = run (arguments, output);
  pthread_join (thread, NULL);
  close (host.listener);
  ck_assert_msg (strstr (output, row->expected_text) != NULL, "%s", output);
  ck_assert_int_eq (code, row->exit_code);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("cowslipctl");
  TCase *tcase = tcase_create ("cowslipctl");

  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, commands_print_and_exit_as_documented, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_loop_test (tcase, status_reports_invalid_responses, 0,
                       sizeof status_cases / sizeof status_cases[0]);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
