#include "cowslipctl-imp.h"
#include "cowslipspoke/settings.h"

#include <getopt.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  const char *name;
  const char *arguments;
  int argument_count;
  bool accepts_more;
  int (*run) (char **arguments);
  const char *help;
} command_t;

static const command_t commands[] = {
  { "check", "DIR", 1, false, ctl_check,
    "check declarations; print every fault, and rules that can never be "
    "reached" },
  { "diff", "OLD NEW", 2, false, ctl_diff,
    "print what differs between two directories" },
  { "explain", "DIR REQUEST.json", 2, false, ctl_explain,
    "print which rule decides a request, and why the ones before it do not" },
  { "bundle", "DIR", 1, false, ctl_bundle,
    "print the values that the platform publishes" },
  { "status", "HOST:PORT|URL", 1, false, ctl_status,
    "print a host's own view" },
  { "losses", "LOG...", 1, true, ctl_losses,
    "print which requests were lost and why, by hosts' logs" },
  { "trace", "ID LOG...", 2, true, ctl_trace,
    "print all hosts' lines of a request in order" },
};

enum
{
  COMMAND_COUNT = sizeof commands / sizeof commands[0]
};

static void
print_help (FILE *stream)
{
  size_t i;

  fputs ("usage: cowslipctl COMMAND ARGUMENT...\n\n", stream);
  for (i = 0; i < COMMAND_COUNT; i++)
    fprintf (stream, "  %-8s %-17s %s\n", commands[i].name,
             commands[i].arguments, commands[i].help);
  fputs ("\n  --help     print this and exit\n"
         "  --version  print the version and exit\n\n"
         "exit codes: 0 good, 1 differences found (diff), 2 faults in what "
         "was given,\n3 host not reached or no good answer (status)\n",
         stream);
}

static const command_t *
find_command (const char *name)
{
  size_t i;

  for (i = 0; i < COMMAND_COUNT; i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

static int
run_command (int count, char **arguments)
{
  const command_t *command = count > 0 ? find_command (arguments[0]) : NULL;

  if (command == NULL)
    {
      print_help (stderr);
      return CTL_EXIT_FAULTS;
    }
  if (count - 1 < command->argument_count
      || (count - 1 > command->argument_count && !command->accepts_more))
    {
      fprintf (stderr, "usage: cowslipctl %s %s\n", command->name,
               command->arguments);
      return CTL_EXIT_FAULTS;
    }
  return command->run (arguments + 1);
}

int
main (int argc, char **argv)
{
  static const struct option options[]
      = { { "help", no_argument, NULL, 'h' },
          { "version", no_argument, NULL, 'v' },
          { NULL, 0, NULL, 0 } };

  switch (getopt_long (argc, argv, "", options, NULL))
    {
    case 'h':
      print_help (stdout);
      return CTL_EXIT_SUCCESS;
    case 'v':
      printf ("cowslipctl %s\n", csp_version ());
      return CTL_EXIT_SUCCESS;
    case '?':
      return CTL_EXIT_FAULTS;
    default:
      return run_command (argc - optind, argv + optind);
    }
}
