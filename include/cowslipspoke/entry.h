#ifndef COWSLIPSPOKE_ENTRY_H
#define COWSLIPSPOKE_ENTRY_H

#include "cowslipspoke/control.h"

/* The HTTP side of a host towards callers and operators.  One traffic thread
   serves one request to its end.  */
typedef struct csp_entry csp_entry_t;

/* Open the listener.  The context and the control must outlive it.  NULL with
   a message when it can't be opened.  */
csp_entry_t *csp_create_entry (const csp_context_t *context,
                               csp_control_t *control, char *message,
                               size_t message_bytes);

/* The port that the kernel gave, or that the settings name.  */
uint16_t csp_entry_port (const csp_entry_t *entry);

/* Fail readiness, so that the balancer sends nothing new.  */
void csp_announce_drain (csp_entry_t *entry);

/* Refuse new requests with the verdict "not run".  */
void csp_refuse_new (csp_entry_t *entry);

/* Requests that are being served.  */
uint32_t csp_open_requests (const csp_entry_t *entry);

/* End what is open with explicit errors; when the drain limit has passed.  */
void csp_stop_open (csp_entry_t *entry);

/* Close the listener and free everything; NULL is allowed.  */
void csp_destroy_entry (csp_entry_t *entry);

#endif
