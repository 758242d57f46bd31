#ifndef COWSLIPSPOKE_LIST_WATCH_H
#define COWSLIPSPOKE_LIST_WATCH_H

#include <stdbool.h>
#include <stdint.h>

/* Decides when a host reads the platform's host list.

   Load pattern: 330 hosts read the list by long polling, so a failed read is
   retried after two seconds.  A read that was pending while the host's process
   was paused times out when the process resumes, whatever the platform's
   state.  After two more seconds without the list, an orderly stop, which
   takes two seconds, could end before the host learns of newly added hosts,
   and state that it holds for them would be lost.  So a read that was sent
   before the resume is retried immediately when it fails.  */
typedef struct
{
  bool pending;
  bool last_read_failed; /* the last read failed */
  int64_t next_read_ms;
  int64_t read_sent_ms;
  /* The time at which the list was last known to be current: when the last
     successful read was sent, not when its response was read, since a response
     may wait in the socket buffer of a paused host.  */
  int64_t confirmed_ms;
  int64_t
      resumed_ms; /* when this host last detected that it had been paused */
} csp_list_watch_t;

/* Whether a read should be sent now.  */
bool csp_list_read_is_due (const csp_list_watch_t *watch, int64_t now_ms);

/* Record an attempt to send a read; sent is false where sending failed.  */
void csp_note_list_read_sent (csp_list_watch_t *watch, bool sent,
                              int64_t now_ms);

/* Record the end of a read; succeeded is true where it returned a list that
   could be parsed.  */
void csp_note_list_read_ended (csp_list_watch_t *watch, bool succeeded,
                               int64_t now_ms);

/* Record that this host's process was paused and has resumed.  */
void csp_note_list_host_resumed (csp_list_watch_t *watch, int64_t now_ms);

#endif
