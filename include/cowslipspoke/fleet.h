#ifndef COWSLIPSPOKE_FLEET_H
#define COWSLIPSPOKE_FLEET_H

#include "cowslipspoke/cordon.h"
#include "cowslipspoke/random.h"
#include "cowslipspoke/roster.h"
#include "cowslipspoke/warmup.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The targets that requests are forwarded to, as one host sees them: what the
   platform lists, what this host has under way there, and how its own
   requests fared.  Owned by the traffic thread.  */

enum
{
  CSP_TARGET_ID_BYTES = 64,
  CSP_TARGET_NAME_BYTES = 64
};

/* A row of the platform's list.  */
typedef struct
{
  char id[CSP_TARGET_ID_BYTES];
  /* When the target started, in Unix ms by its own calendar; 0: not told.  A
     target may start again under its id, and holds nothing of before then.  */
  int64_t born_ms;
  char service[CSP_TARGET_NAME_BYTES];
  char data_centre[CSP_TARGET_NAME_BYTES];
  struct sockaddr_in address;
  uint32_t slots;         /* requests that it runs at once */
  uint32_t warming_up_ms; /* how much longer it is slow after its start */
  bool leaving;
} csp_fleet_row_t;

typedef enum
{
  CSP_FLEET_READY,
  CSP_FLEET_LEAVING, /* gets nothing new */
  CSP_FLEET_LAPSED,  /* dropped from the list while the platform was away */
  CSP_FLEET_GONE
} csp_fleet_state_t;

/* What hosts have under way at a target.  */
typedef struct
{
  uint32_t requests;
  uint64_t tokens;         /* memory that their runs are expected to take */
  uint64_t backup_tokens;  /* copies of runs that go on elsewhere */
  uint64_t reading_tokens; /* prompts that no token has answered yet */
  uint64_t movable_tokens; /* of streams that would have to be moved */
} csp_fleet_load_t;

typedef struct
{
  csp_fleet_row_t row;
  csp_fleet_state_t state;
  int64_t warm_at_ms;
  csp_warmup_t warmup; /* its places until then */
  int64_t lapses_at_ms;
  uint64_t hash;             /* of id and start, by which hosts speak of it */
  uint32_t data_centre;      /* hash of its name */
  csp_fleet_load_t own;      /* under way from this host */
  csp_fleet_load_t others;   /* from all other hosts, as last heard */
  csp_fleet_load_t reserved; /* given away here, not yet told by its host */
  csp_peer_load_t told;      /* what was last told of our own */
  /* Share of recent requests that failed, and when it was last counted.  */
  double failing;
  int64_t counted_at_ms;
  /* Not chosen before, where there is another.  */
  int64_t avoid_until_ms;
  int64_t backoff_until_ms; /* it wants nothing from this host before */
  uint32_t unreachable;     /* connects in a row that failed */
  bool cut_off;             /* its data centre can't be reached from here */
  bool cordoned;            /* operators let its data centre get nothing new */
  int64_t left_at_ms;       /* when this host heard that it leaves */
  int64_t gone_at_ms;       /* when it was seen to be gone; 0: it isn't */
  int64_t turn_at_ms;       /* this host's turn to move streams from here */
  bool leaves;          /* somebody said so; one start never takes it back */
  bool told_by_itself;  /* that it leaves; the list didn't say so yet */
  int64_t report_at_ms; /* not asked for a report before */
  double read_tokens;   /* prompts given to it lately, fading */
  int64_t read_at_ms;   /* when those were counted */
  bool is_engine;       /* known once this host has sent a request there */
  bool moving;          /* a move of this host from here is under way */
  uint32_t users;       /* requests and links that point here */
  void *links;          /* idle connections, kept by the forwarder */
} csp_fleet_target_t;

typedef struct csp_fleet csp_fleet_t;

/* Told of each target that begins to leave or is gone.  */
typedef void (*csp_fleet_left_t) (void *state, csp_fleet_target_t *target);

/* Told before a target's memory goes, so that what hangs on it goes too.  */
typedef void (*csp_fleet_freed_t) (void *state, csp_fleet_target_t *target);

csp_fleet_t *csp_create_fleet (csp_fleet_left_t left, csp_fleet_freed_t freed,
                               void *state);
void csp_destroy_fleet (csp_fleet_t *fleet);

/* A row was written or read; false when memory fails.  One of a new start
   makes the target of the start before gone, and one of an earlier start is
   passed over.  */
bool csp_list_target (csp_fleet_t *fleet, const csp_fleet_row_t *row,
                      int64_t now_ms);

/* A row was removed.  */
void csp_unlist_target (csp_fleet_t *fleet, const char *id, int64_t now_ms);

/* Operators cordon a data centre or lift its cordon, see cordon.h; it needs no
   targets yet.  */
csp_cordon_result_t csp_cordon_targets (csp_fleet_t *fleet,
                                        const char *data_centre, bool cordoned,
                                        int64_t now_ms);
const csp_cordons_t *csp_fleet_cordons (const csp_fleet_t *fleet);

/* What a service's targets stand while they are cold; bound_per_s of 0: any
   load.  False where more services than a host keeps have a bound.  */
bool csp_set_cold_bound (csp_fleet_t *fleet, const char *service,
                         uint32_t cold_ms, uint32_t bound_per_s);

/* Whether a target is cold, and may not get more than a bound.  */
bool csp_is_paced (const csp_fleet_target_t *target, int64_t now_ms);

/* Whether this host may give a place there, and that it has given one.  duty:
   NULL where it gives none at cold targets.  */
bool csp_may_give_place (csp_fleet_target_t *target,
                         const csp_warmup_duty_t *duty, int64_t now_ms);
void csp_note_place_given (csp_fleet_target_t *target,
                           const csp_warmup_duty_t *duty, int64_t now_ms);

/* Whether a target may be given anything new: it doesn't leave, and isn't
   cordoned.  */
bool csp_takes_new_work (const csp_fleet_target_t *target);

/* The target asked this host to send it nothing for a while.  */
void csp_back_off_target (csp_fleet_t *fleet, csp_fleet_target_t *target,
                          uint32_t for_ms, int64_t now_ms);
bool csp_is_backed_off (const csp_fleet_target_t *target, int64_t now_ms);

/* How long until the first target of a service wants something from this host
   again, where all that serve have asked for a wait; else 0.  */
uint32_t csp_service_backoff_ms (const csp_fleet_t *fleet, const char *service,
                                 int64_t now_ms);

/* The targets of a service that have asked for one, by their hashes; returns
   how many were written.  */
size_t csp_list_backed_off (const csp_fleet_t *fleet, const char *service,
                            int64_t now_ms, uint64_t *targets, size_t room);

/* Whether cordons alone keep a service from being served.  */
bool csp_is_service_cordoned (const csp_fleet_t *fleet, const char *service);

/* The target itself says that it leaves.  */
void csp_note_target_leaves (csp_fleet_t *fleet, csp_fleet_target_t *target);

/* The target itself says when it started.  Where it has started again the one
   that is given is gone, and another is listed in its place.  */
void csp_note_target_born (csp_fleet_t *fleet,
                           const csp_fleet_target_t *target, int64_t born_ms,
                           int64_t now_ms);

/* The platform can't be read, or can be read again.  */
void csp_note_platform (csp_fleet_t *fleet, bool reachable, int64_t now_ms);

/* Let go what lapsed and did not come back, and what is gone for some seconds
   and unused.  Call it now and then.  */
void csp_expire_targets (csp_fleet_t *fleet, int64_t now_ms);

/* All that are known, those that are gone and still remembered too.  */
size_t csp_fleet_size (const csp_fleet_t *fleet);
size_t csp_count_listed_targets (const csp_fleet_t *fleet);
csp_fleet_target_t *csp_fleet_at (const csp_fleet_t *fleet, size_t index);
/* Its newest start.  */
csp_fleet_target_t *csp_find_fleet_target (const csp_fleet_t *fleet,
                                           const char *id);
csp_fleet_target_t *csp_find_hashed_target (const csp_fleet_t *fleet,
                                            uint64_t hash);

/* What the other hosts have under way is counted anew.  */
void csp_clear_other_loads (csp_fleet_t *fleet);
void csp_count_other_load (csp_fleet_t *fleet, const csp_peer_load_t *load);

/* Take back what was counted.  A load of a target that was unknown then was
   not; it has to be counted when the target is added.  */
void csp_uncount_other_load (csp_fleet_t *fleet, const csp_peer_load_t *load);

/* How many targets have ever been added.  */
uint64_t csp_fleet_additions (const csp_fleet_t *fleet);

/* What a request needs of a target.  */
typedef struct
{
  const char *service;
  uint32_t data_centre;    /* hash of the asking host's */
  bool by_memory;          /* model engines: tokens count, not requests */
  uint32_t memory_tokens;  /* of one engine */
  uint64_t tokens;         /* that the request takes there */
  bool within_slots;       /* targets whose slots are taken don't count */
  bool is_copy;            /* a run's memory goes there, no prompt */
  double memory_share_max; /* fuller targets don't count; 0: all do */
  uint64_t prompt_tokens;  /* that the target has to read */
  /* Targets that read more, with this prompt, don't count, unless they read
     nothing else; half of it while they warm up.  0: all do.  */
  uint64_t reading_tokens_max;
  bool repeatable; /* it may go to a target that is cut off, if need be */
  /* For whom this host gives places at cold targets; NULL: for nobody.  */
  const csp_warmup_duty_t *duty;
  const csp_fleet_target_t *not_this;
  const csp_fleet_target_t *nor_this;
  bool own; /* sent by this host: what asked it for a wait doesn't count */
  /* Nor do these, by their hashes, where another host sends it.  */
  const uint64_t *backoffs;
  size_t backoff_count;
} csp_fleet_need_t;

/* The target that suits a request best; NULL where none may get it.  */
csp_fleet_target_t *csp_choose_fleet_target (csp_fleet_t *fleet,
                                             const csp_fleet_need_t *need,
                                             csp_random_t *random,
                                             int64_t now_ms);

/* How full the memory of all targets of a service is, with so many tokens
   more: what runs are expected to take and copies of them; 1 is full.  */
double csp_find_pool_share (const csp_fleet_t *fleet, const char *service,
                            uint32_t memory_tokens, uint64_t tokens);

/* The host that decides has given the target a prompt to read.  */
void csp_note_prompt_given (csp_fleet_target_t *target, uint32_t prompt_tokens,
                            int64_t now_ms);

/* How a request fared: failed counts what the target itself did wrong.  */
void csp_note_outcome (csp_fleet_target_t *target, bool failed,
                       int64_t now_ms);

/* A connection could not be had.  */
void csp_note_unreachable (csp_fleet_target_t *target, int64_t now_ms);

/* The target turned a request away because it is full, or is another one.  */
void csp_avoid_target (csp_fleet_target_t *target, uint32_t for_ms,
                       int64_t now_ms);

#endif
