#ifndef COWSLIPSPOKE_NAMES_H
#define COWSLIPSPOKE_NAMES_H

/* Sizes and limits that all modules share.  */
enum
{
  /* Any declared name, with its terminating null.  */
  CSP_NAME_BYTES = 64,
  CSP_HOST_NAME_BYTES = CSP_NAME_BYTES,
  CSP_DATA_CENTRE_NAME_BYTES = CSP_NAME_BYTES,
  /* An IP address as text, with its terminating null.  */
  CSP_ADDRESS_BYTES = 48,
  /* Priorities range from 0, the first to be preempted, to this.  */
  CSP_PRIORITY_MAX = 9
};

#endif
