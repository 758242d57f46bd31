#ifndef COWSLIPSPOKE_ENTRY_H
#define COWSLIPSPOKE_ENTRY_H

#include "cowslipspoke/control.h"

/* The HTTP server of a host for callers and operators.  Each request is
   served by one traffic thread from beginning to end.  */
typedef struct csp_entry csp_entry_t;

/* Starts the HTTP server.  The context and the control must outlive it.
   Returns NULL with a message when the listener can't be opened.  */
csp_entry_t *csp_create_entry (const csp_context_t *context,
                               csp_control_t *control, char *message,
                               size_t message_bytes);

/* Returns the port of the listener: the one in the settings, or the one that
   the kernel picked.  */
uint16_t csp_entry_port (const csp_entry_t *entry);

/* Makes the readiness check fail, so that the load balancer sends no new
   requests.  */
void csp_fail_readiness (csp_entry_t *entry);

/* Refuses new requests from now on, with the verdict "not run".  */
void csp_refuse_new_requests (csp_entry_t *entry);

/* Returns the number of requests that are being served.  */
uint32_t csp_count_open_requests (const csp_entry_t *entry);

/* Ends all open requests with an error; called when the drain limit has
   passed.  */
void csp_abort_open_requests (csp_entry_t *entry);

/* Closes the listener and frees the server; NULL is allowed.  */
void csp_destroy_entry (csp_entry_t *entry);

#endif
