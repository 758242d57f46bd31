#ifndef COWSLIPSPOKE_LIST_WATCH_H
#define COWSLIPSPOKE_LIST_WATCH_H

#include <stdbool.h>
#include <stdint.h>

/* When a host reads the platform's list of hosts.

   Load pattern: 330 hosts read the list, each with a call that waits for a
   change, so a failed read is not repeated before two seconds have passed.
   A host that was paused finds its read timed out as it wakes up.  That
   failure is its own: two seconds more without the list, and an orderly stop
   of two seconds ends before the host has heard of hosts that came meanwhile,
   and what it keeps for them goes with it.  So a read that was sent before
   the host woke up is repeated at once when it fails.  */
typedef struct
{
  bool pending;
  bool away; /* the last read failed */
  int64_t next_ms;
  int64_t asked_ms;
  /* Up to when the list is known to be the platform's: when the last answered
     read was sent, since an answer may lie in the socket of a paused host.  */
  int64_t confirmed_ms;
  int64_t woke_ms; /* when this host last found that it had been paused */
} csp_list_watch_t;

/* Whether a read is to be sent now.  */
bool csp_list_read_is_due (const csp_list_watch_t *watch, int64_t now_ms);

/* One was tried; sent says whether it is under way.  */
void csp_note_list_asked (csp_list_watch_t *watch, bool sent, int64_t now_ms);

/* It ended, with a list that could be read or without.  */
void csp_note_list_read (csp_list_watch_t *watch, bool good, int64_t now_ms);

/* This host was paused and runs again.  */
void csp_note_list_woke (csp_list_watch_t *watch, int64_t now_ms);

#endif
