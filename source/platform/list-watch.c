#include "cowslipspoke/list-watch.h"

enum
{
  /* A platform that is away is asked by 330 hosts 165 times a second.  */
  RETRY_MS = 2000,
  /* A list that changes all the time is read once a second, no more.  */
  GAP_MS = 1000
};

bool
csp_list_read_is_due (const csp_list_watch_t *watch, int64_t now_ms)
{
  return !watch->pending && now_ms >= watch->next_ms;
}

void
csp_note_list_asked (csp_list_watch_t *watch, bool sent, int64_t now_ms)
{
  watch->asked_ms = now_ms;
  watch->pending = sent;
}

void
csp_note_list_read (csp_list_watch_t *watch, bool good, int64_t now_ms)
{
  bool sent_before_pause = watch->asked_ms <= watch->woke_ms;

  watch->pending = false;
  watch->away = !good;
  if (good)
    {
      watch->next_ms = now_ms + GAP_MS;
      watch->confirmed_ms = watch->asked_ms;
    }
  else
    watch->next_ms = sent_before_pause ? now_ms : now_ms + RETRY_MS;
}

/* The read may have failed already in this turn of the loop, or fail in a
   later one.  */
void
csp_note_list_woke (csp_list_watch_t *watch, int64_t now_ms)
{
  watch->woke_ms = now_ms;
  watch->next_ms = now_ms;
}
