#ifndef COWSLIPCTL_IMP_H
#define COWSLIPCTL_IMP_H

/* Exit codes of cowslipctl; docs/DECLARATIONS.md has them for operators.  */
enum
{
  CTL_EXIT_SUCCESS = 0,
  CTL_EXIT_DIFFERENCES = 1,
  CTL_EXIT_FAULTS = 2,
  CTL_EXIT_UNREACHABLE = 3
};

/* Run a command.  arguments are those after the command's name, ended by NULL;
   the caller has checked their number.  Returns an exit code.  */
int ctl_check (char **arguments);
int ctl_diff (char **arguments);
int ctl_explain (char **arguments);
int ctl_bundle (char **arguments);
int ctl_status (char **arguments);
int ctl_losses (char **arguments);
int ctl_trace (char **arguments);

#endif
