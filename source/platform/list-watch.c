#include "cowslipspoke/list-watch.h"

enum
{
  /* With this delay 330 hosts send an unreachable platform 165 reads a
     second.  */
  RETRY_DELAY_MS = 2000,
  /* A list that changes constantly is read at most once a second.  */
  READ_INTERVAL_MS = 1000
};

bool
csp_list_read_is_due (const csp_list_watch_t *watch, int64_t now_ms)
{
  return !watch->pending && now_ms >= watch->next_read_ms;
}

void
csp_note_list_read_sent (csp_list_watch_t *watch, bool sent, int64_t now_ms)
{
  watch->read_sent_ms = now_ms;
  watch->pending = sent;
}

void
csp_note_list_read_ended (csp_list_watch_t *watch, bool succeeded,
                          int64_t now_ms)
{
  bool sent_before_resume = watch->read_sent_ms <= watch->resumed_ms;

  watch->pending = false;
  watch->last_read_failed = !succeeded;
  if (succeeded)
    {
      watch->next_read_ms = now_ms + READ_INTERVAL_MS;
      watch->confirmed_ms = watch->read_sent_ms;
    }
  else
    watch->next_read_ms
        = sent_before_resume ? now_ms : now_ms + RETRY_DELAY_MS;
}

/* A read that was pending during the pause may have failed earlier in this
   iteration of the event loop, or may fail in a later one; both cases lead to
   an immediate retry.  */
void
csp_note_list_host_resumed (csp_list_watch_t *watch, int64_t now_ms)
{
  watch->resumed_ms = now_ms;
  watch->next_read_ms = now_ms;
}
