#include "cowslipspoke/reach.h"

#include <stdlib.h>

enum
{
  /* Hosts greet some host of each other data centre each half a second, and
     are answered; where there are many data centres, more rarely.  A lossy
     link drops some in a hundred; three lost ones in a row cost choices of a
     second, no request.  */
  SILENT_AFTER_MS = 1600,
  SILENT_GREETINGS = 3,
  /* A cut heals unannounced; a question each half a second finds out soon
     enough, and costs a handful of questions a cut.  */
  ASK_AGAIN_MS = 500,
  /* The planned size has 28 data centres; more than these aren't judged, and
     count as reached.  */
  DATA_CENTRES_MAX = 64
};

typedef struct
{
  uint32_t data_centre;
  int64_t answered_ms; /* 0: never */
  int64_t heard_ms;    /* a host or a target; 0: never */
  int64_t failed_ms;   /* 0: never since an answer */
  int64_t ask_at_ms;
  bool told_cut_off;
} seen_t;

struct csp_reach
{
  uint32_t home;
  uint32_t greeting_period_ms;
  size_t count;
  seen_t seen[DATA_CENTRES_MAX];
};

csp_reach_t *
csp_create_reach (uint32_t home)
{
  csp_reach_t *reach = calloc (1, sizeof *reach);

  if (reach != NULL)
    reach->home = home;
  return reach;
}

void
csp_destroy_reach (csp_reach_t *reach)
{
  free (reach);
}

static const seen_t *
find_seen (const csp_reach_t *reach, uint32_t data_centre)
{
  size_t i;

  for (i = 0; i < reach->count; i++)
    if (reach->seen[i].data_centre == data_centre)
      return &reach->seen[i];
  return NULL;
}

/* The row of a data centre; NULL for this host's own and beyond the table.  */
static seen_t *
take_seen (csp_reach_t *reach, uint32_t data_centre)
{
  seen_t *seen = (seen_t *)find_seen (reach, data_centre);

  if (seen != NULL || data_centre == reach->home
      || reach->count == DATA_CENTRES_MAX)
    return seen;
  seen = &reach->seen[reach->count++];
  *seen = (seen_t){ .data_centre = data_centre };
  return seen;
}

void
csp_note_answer_from (csp_reach_t *reach, uint32_t data_centre, int64_t now_ms)
{
  seen_t *seen = take_seen (reach, data_centre);

  if (seen == NULL)
    return;
  seen->answered_ms = now_ms;
  seen->heard_ms = now_ms;
  seen->failed_ms = 0;
}

/* It doesn't end a failure: in a cut of one direction hosts there are heard,
   and requests are lost all the same.  */
void
csp_note_host_heard (csp_reach_t *reach, uint32_t data_centre, int64_t now_ms)
{
  seen_t *seen = take_seen (reach, data_centre);

  if (seen != NULL)
    seen->heard_ms = now_ms;
}

void
csp_note_exchange_failed (csp_reach_t *reach, uint32_t data_centre,
                          int64_t now_ms)
{
  seen_t *seen = take_seen (reach, data_centre);

  if (seen != NULL && seen->failed_ms == 0)
    seen->failed_ms = now_ms;
}

/* Nothing was ever heard of a data centre whose hosts are all down and that
   this host has sent nothing to; there is no reason to doubt it.  */
static bool
is_silent (const csp_reach_t *reach, const seen_t *seen, int64_t now_ms)
{
  int64_t silent_after_ms
      = (int64_t)reach->greeting_period_ms * SILENT_GREETINGS;

  if (silent_after_ms < SILENT_AFTER_MS)
    silent_after_ms = SILENT_AFTER_MS;
  return seen->heard_ms != 0 && now_ms - seen->heard_ms >= silent_after_ms;
}

void
csp_note_greeting_period (csp_reach_t *reach, uint32_t period_ms)
{
  reach->greeting_period_ms = period_ms;
}

bool
csp_is_reached (const csp_reach_t *reach, uint32_t data_centre, int64_t now_ms)
{
  const seen_t *seen = find_seen (reach, data_centre);

  return seen == NULL
         || (seen->failed_ms == 0 && !is_silent (reach, seen, now_ms));
}

bool
csp_take_reach_change (csp_reach_t *reach, uint32_t data_centre,
                       int64_t now_ms)
{
  seen_t *seen = take_seen (reach, data_centre);
  bool cut_off = !csp_is_reached (reach, data_centre, now_ms);

  if (seen == NULL || seen->told_cut_off == cut_off)
    return false;
  seen->told_cut_off = cut_off;
  return true;
}

bool
csp_take_reach_question (csp_reach_t *reach, uint32_t data_centre,
                         int64_t now_ms)
{
  seen_t *seen = take_seen (reach, data_centre);

  if (seen == NULL || csp_is_reached (reach, data_centre, now_ms)
      || now_ms < seen->ask_at_ms)
    return false;
  seen->ask_at_ms = now_ms + ASK_AGAIN_MS;
  return true;
}
