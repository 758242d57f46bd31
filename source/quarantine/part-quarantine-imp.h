#ifndef COWSLIPSPOKE_PART_QUARANTINE_IMP_H
#define COWSLIPSPOKE_PART_QUARANTINE_IMP_H

#include "cowslipspoke/part-quarantine.h"
#include "cowslipspoke/random.h"

/* The table of parts with strikes.

     part-quarantine          strikes, sound answers, holds
     part-quarantine-trial    which parts come on trial
     part-quarantine-verdict  what the end of a target under a trial proves
     part-quarantine-list     what hosts report to each other  */

enum
{
  /* Parts whose sound answers are remembered.  */
  CSP_SOUND_ROWS = 1024,
  /* The hold after the first trial that ended a target.  It doubles with each
     further one.  */
  CSP_PART_HOLD_MS = 60000,
  CSP_PART_HOLD_DOUBLINGS_MAX = 6
};

typedef struct
{
  uint64_t target;
  int64_t at_ms;
  bool own; /* this host saw it */
  uint8_t broadcasts_left;
} csp_strike_row_t;

/* Strikes are in order of their time.  */
typedef struct
{
  uint64_t part; /* 0: unused row */
  uint32_t position;
  size_t strike_count;
  csp_strike_row_t strikes[CSP_PART_STRIKES_KEPT];
  int64_t struck_at_ms;  /* the last strike, also of those taken back */
  int64_t held_until_ms; /* when its trial began or will begin; 0: it is
                            neither held nor on trial */
  int64_t asked_ms;      /* since when this host asks for sound answers; 0: it
                            doesn't */
  int64_t next_ask_ms;
  int64_t trial_until_ms; /* a request with the part is on its way */
  uint32_t spread_ms;     /* how much later than others this host tries it */
  int64_t failed_ms;  /* when a target ended under the trial; 0: none has */
  uint64_t failed_at; /* that target */
  uint32_t failed_trials;
  uint8_t broadcasts_left; /* of its hold or trial */
  bool leads;              /* this host began it, and tries first */
  bool tried_again;        /* what ended the target under its trial was
                              unclear */
} csp_part_row_t;

typedef struct
{
  uint64_t part;
  int64_t began_ms; /* the last answer that shows that it is sound */
} csp_sound_row_t;

struct csp_part_quarantine
{
  csp_random_t random;
  size_t count;   /* rows in use */
  size_t row_end; /* behind the last of them */
  size_t next_row;
  csp_part_row_t rows[CSP_SUSPECTED_PARTS_MAX];
  csp_sound_row_t sound[CSP_SOUND_ROWS];
};

/* When the last answer that shows that the part is sound began; 0: none is
   known.  */
int64_t csp_sound_since_ms (const csp_part_quarantine_t *quarantine,
                            uint64_t part);

/* When this host may try the part.  */
int64_t csp_part_hold_end_ms (const csp_part_row_t *row);

/* Whether this host may not try the part yet, or may.  */
bool csp_is_part_held (const csp_part_row_t *row, int64_t now_ms);
bool csp_is_part_on_trial (const csp_part_row_t *row, int64_t now_ms);

/* Begin a trial of this host.  */
void csp_begin_part_trial (csp_part_row_t *row, int64_t now_ms);

bool csp_has_part_strike (const csp_part_row_t *row, uint64_t target);

/* Drop a strike; the others stay in order.  */
void csp_drop_part_strike (csp_part_row_t *row, size_t index);

#endif
