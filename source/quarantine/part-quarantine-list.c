#include "quarantine/part-quarantine-imp.h"

/* What hosts report to each other about parts with strikes.  */

enum
{
  /* Datagrams may be lost.  */
  ASK_AGAIN_MS = 100
};

/* 0 where the time is still to come.  */
static uint32_t
age_ms (int64_t at_ms, int64_t now_ms)
{
  return now_ms > at_ms ? (uint32_t)(now_ms - at_ms) : 0;
}

static size_t
take_strikes_of_row (csp_part_row_t *row, csp_part_strike_t *strikes,
                     size_t capacity, int64_t now_ms)
{
  size_t listed = 0;
  size_t i;

  for (i = 0; i < row->strike_count && listed < capacity; i++)
    {
      csp_strike_row_t *strike = &row->strikes[i];

      if (strike->broadcasts_left == 0)
        continue;
      strike->broadcasts_left--;
      strikes[listed++]
          = (csp_part_strike_t){ .part = row->part,
                                 .target = strike->target,
                                 .position = row->position,
                                 .age_ms = age_ms (strike->at_ms, now_ms) };
    }
  return listed;
}

size_t
csp_take_part_strikes (csp_part_quarantine_t *quarantine,
                       csp_part_strike_t *strikes, size_t capacity,
                       int64_t now_ms)
{
  size_t listed = 0;
  size_t i;

  for (i = 0; i < quarantine->row_end; i++)
    listed += take_strikes_of_row (&quarantine->rows[i], strikes + listed,
                                   capacity - listed, now_ms);
  return listed;
}

static bool
is_asked_about (const csp_part_row_t *row, int64_t now_ms)
{
  return row->asked_ms != 0 && row->held_until_ms == 0 && row->strike_count > 0
         && now_ms >= row->next_ask_ms;
}

static csp_held_part_t
make_question (const csp_part_row_t *row, int64_t now_ms)
{
  return (csp_held_part_t){ .part = row->part,
                            .asks = true,
                            .strike_age_ms
                            = age_ms (row->strikes[0].at_ms, now_ms) };
}

/* Without the time for which the other hosts leave a trial to the one that
   began it, so that hosts don't extend a hold by telling each other.  */
static csp_held_part_t
make_report (const csp_part_row_t *row, int64_t now_ms)
{
  return (
      csp_held_part_t){ .part = row->part,
                        .leads = row->leads,
                        .left_ms = age_ms (now_ms, row->held_until_ms),
                        .trial_age_ms = age_ms (row->held_until_ms, now_ms),
                        .strike_age_ms = age_ms (row->struck_at_ms, now_ms),
                        .failed_trials = row->failed_trials };
}

size_t
csp_take_held_parts (csp_part_quarantine_t *quarantine, csp_held_part_t *held,
                     size_t capacity, int64_t now_ms)
{
  size_t listed = 0;
  size_t i;

  for (i = 0; i < quarantine->row_end && listed < capacity; i++)
    {
      csp_part_row_t *row = &quarantine->rows[i];

      if (is_asked_about (row, now_ms))
        {
          row->next_ask_ms = now_ms + ASK_AGAIN_MS;
          held[listed++] = make_question (row, now_ms);
          continue;
        }
      if (row->broadcasts_left == 0)
        continue;
      row->broadcasts_left--;
      held[listed++] = make_report (row, now_ms);
    }
  return listed;
}

size_t
csp_list_held_parts (csp_part_quarantine_t *quarantine, csp_held_part_t *held,
                     size_t capacity, int64_t now_ms)
{
  size_t first = quarantine->next_row;
  size_t listed = 0;
  size_t i;

  for (i = 0; quarantine->count > 0 && i < CSP_SUSPECTED_PARTS_MAX
              && listed < capacity;
       i++)
    {
      size_t index = (first + i) % CSP_SUSPECTED_PARTS_MAX;

      if (quarantine->rows[index].held_until_ms == 0)
        continue;
      held[listed++] = make_report (&quarantine->rows[index], now_ms);
      quarantine->next_row = index + 1;
    }
  return listed;
}
