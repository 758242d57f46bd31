#ifndef COWSLIPCTL_IMP_H
#define COWSLIPCTL_IMP_H

/* Exit codes of cowslipctl; docs/DECLARATIONS.md has them for operators.  */
enum
{
  CTL_EXIT_GOOD = 0,
  CTL_EXIT_DIFFERENT = 1,
  CTL_EXIT_FAULTS = 2,
  CTL_EXIT_UNREACHED = 3
};

/* The commands; arguments are those behind the command's name, as many as it
   takes or more where it takes any number of files, and NULL behind them. Each
   returns an exit code.  */
int ctl_check (char **arguments);
int ctl_diff (char **arguments);
int ctl_explain (char **arguments);
int ctl_bundle (char **arguments);
int ctl_status (char **arguments);
int ctl_losses (char **arguments);
int ctl_trace (char **arguments);

#endif
