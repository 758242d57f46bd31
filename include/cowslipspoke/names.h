#ifndef COWSLIPSPOKE_NAMES_H
#define COWSLIPSPOKE_NAMES_H

/* Sizes and bounds that every slice shares.  */
enum
{
  /* Any declared name, with its closing nul.  */
  CSP_NAME_BYTES = 64,
  CSP_HOST_NAME_BYTES = CSP_NAME_BYTES,
  CSP_DATA_CENTRE_NAME_BYTES = CSP_NAME_BYTES,
  /* An IP number as text, with its closing nul.  */
  CSP_ADDRESS_BYTES = 48,
  /* Priorities run from 0, first to give way, to 9.  */
  CSP_PRIORITY_MAX = 9
};

#endif
