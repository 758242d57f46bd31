#ifndef COWSLIPSPOKE_FLEET_H
#define COWSLIPSPOKE_FLEET_H

#include "cowslipspoke/cordon.h"
#include "cowslipspoke/damping.h"
#include "cowslipspoke/random.h"
#include "cowslipspoke/rate-limit.h"
#include "cowslipspoke/roster.h"
#include "cowslipspoke/speed.h"
#include "cowslipspoke/warmup.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The targets that requests are forwarded to, as one host knows them: what the
   platform lists, what this host has under way there, and the outcomes of its
   own requests.  Owned by the traffic thread.  */

enum
{
  CSP_TARGET_ID_BYTES = 64,
  CSP_FLEET_NAME_BYTES = 64
};

/* An entry of the platform's target list.  */
typedef struct
{
  char id[CSP_TARGET_ID_BYTES];
  /* When the target started, in Unix ms by its own clock; 0: unknown.  A
     target may restart under the same id; a new start keeps nothing of the one
     before.  */
  int64_t start_unix_ms;
  char service[CSP_FLEET_NAME_BYTES];
  char data_centre[CSP_FLEET_NAME_BYTES];
  struct sockaddr_in address;
  uint32_t slots;         /* requests that it runs at once */
  uint32_t warming_up_ms; /* remaining slow period after its start */
  bool leaving;
} csp_fleet_row_t;

typedef enum
{
  CSP_FLEET_READY,
  CSP_FLEET_LEAVING, /* gets no new requests */
  CSP_FLEET_LAPSED,  /* dropped from the list during a platform outage */
  CSP_FLEET_GONE
} csp_fleet_state_t;

/* The load that hosts have under way at a target.  */
typedef struct
{
  uint32_t requests;
  uint64_t tokens;         /* memory that their runs are expected to use */
  uint64_t backup_tokens;  /* backup copies of runs that run elsewhere */
  uint64_t prefill_tokens; /* prompts without a first token yet */
  uint64_t movable_tokens; /* of streams that must move if the target leaves */
} csp_fleet_load_t;

/* The targets of one service in one data centre.  */
typedef struct
{
  char service[CSP_FLEET_NAME_BYTES];
  char data_centre_name[CSP_FLEET_NAME_BYTES];
  uint32_t service_hash;
  uint32_t data_centre; /* hash of its name */
  size_t target_count;  /* including those that are gone but not freed */
  size_t ready_count;
  size_t damped_count; /* ready ones that are damped or on probation */
  bool cut_off;        /* the data centre can't be reached from this host */
  bool cut_for_all;    /* nor from the others that this host hears */
} csp_fleet_group_t;

/* A choice among thousands of targets reads the members up to the speed's
   slowness of each, so these lie together.  */
typedef struct
{
  csp_fleet_group_t *group;
  csp_fleet_state_t state;
  uint32_t data_centre; /* hash of its name */
  bool cordoned;        /* operators have cordoned its data centre */
  bool rate_limited;    /* as in rate_limit */
  bool restrained;      /* damped or on probation, as in damping */
  uint64_t hash; /* of id and start; identifies the target between hosts */
  int64_t warm_at_ms;
  /* Until then chosen only if no other target is available.  */
  int64_t avoid_until_ms;
  int64_t backoff_until_ms; /* the target asked this host to wait until then */
  int64_t trial_until_ms;   /* see csp_begin_target_trial; 0: none */
  csp_fleet_load_t own;     /* under way from this host */
  csp_fleet_load_t others;  /* from all other hosts, as last reported */
  csp_fleet_load_t reserved; /* assigned here, not yet reported by its host */
  double recent_prompt_tokens; /* recently assigned prompt tokens, decaying */
  int64_t
      recent_prompts_at_ms; /* when recent_prompt_tokens was last updated */
  /* Share of recent requests that failed, and when it was last updated.  */
  double failure_share;
  int64_t failure_share_at_ms;
  csp_speed_t speed; /* by all hosts' reports */
  csp_fleet_row_t row;
  csp_warmup_t warmup;          /* limits new requests until it is warm */
  csp_rate_limit_t rate_limit;  /* that it states itself */
  csp_speed_sample_t own_speed; /* measured by this host */
  uint32_t own_failures;        /* attempts that this host has lost there */
  int64_t own_failed_ms;        /* when it lost the last of them */
  uint32_t peer_failures;       /* that all other hosts report */
  csp_damping_t damping;
  int64_t lapses_at_ms;
  csp_peer_load_t
      reported_load;    /* what this host last reported of its own load */
  uint32_t unreachable; /* consecutive failed connects */
  /* When the first new connection failed since the last that was answered; 0:
     none.  Connections that are already open may still work.  */
  int64_t path_failed_ms;
  uint32_t idle_link_count;
  int64_t heard_ms;    /* when bytes of any answer last came from it */
  int64_t probe_at_ms; /* it isn't probed before */
  bool probing;
  /* From when on a request may try the path, as the target can't be probed; 0:
     none may.  */
  int64_t trial_since_ms;
  int64_t leave_seen_at_ms; /* when this host learnt that it leaves */
  int64_t leave_listed_ms;  /* when the list first showed that it leaves, or
                               lacked it; 0: neither */
  int64_t gone_at_ms;     /* when it was first seen to be gone; 0: it isn't */
  int64_t may_move_at_ms; /* from when this host may move streams away */
  bool leaves;            /* its leaving was announced; final for one start */
  bool self_announced;    /* the target announced it before the list did */
  int64_t report_at_ms;   /* no report is requested before */
  bool is_engine;         /* known once this host has sent a request there */
  /* Runs in a row that it had dropped when it was asked to stop them.  */
  uint32_t dropped_runs;
  bool moving;    /* this host is moving a stream away from it */
  uint32_t users; /* requests and links that refer to it */
  void *links;    /* idle connections, kept by the forwarder */
} csp_fleet_target_t;

typedef struct csp_fleet csp_fleet_t;

/* Called for each target that begins to leave or is gone.  The fleet may be
   searched and changed.  */
typedef void (*csp_fleet_leave_callback_t) (void *state,
                                            csp_fleet_target_t *target);

/* Called before a target is freed, so that what refers to it is released too.
   The fleet must not be searched or changed meanwhile.  */
typedef void (*csp_fleet_free_callback_t) (void *state,
                                           csp_fleet_target_t *target);

csp_fleet_t *csp_create_fleet (csp_fleet_leave_callback_t on_leave,
                               csp_fleet_free_callback_t on_free, void *state);
void csp_destroy_fleet (csp_fleet_t *fleet);

/* Adds a target or updates it from a row that was written or read; false when
   memory allocation fails.  A row of a newer start marks the previous start's
   target as gone; a row of an earlier start is ignored.  */
bool csp_update_target (csp_fleet_t *fleet, const csp_fleet_row_t *row,
                        int64_t now_ms);

/* Marks a target as gone when its row was removed, or as lapsed if a platform
   outage may have caused the removal.  */
void csp_remove_target (csp_fleet_t *fleet, const char *id, int64_t now_ms);

/* Cordons a data centre or lifts its cordon, see cordon.h; the data centre may
   have no targets yet.  */
csp_cordon_result_t csp_cordon_targets (csp_fleet_t *fleet,
                                        const char *data_centre, bool cordoned,
                                        int64_t now_ms);
const csp_cordons_t *csp_fleet_cordons (const csp_fleet_t *fleet);

/* Sets how many requests per second a service's targets take while they are
   cold, and for how long a target may be cold; bound_per_s of 0: no limit.
   False when too many services have a limit.  */
bool csp_set_cold_limit (csp_fleet_t *fleet, const char *service,
                         uint32_t cold_ms, uint32_t bound_per_s);

/* Whether a target is cold and has a limit on new requests.  */
bool csp_is_cold_limited (const csp_fleet_target_t *target, int64_t now_ms);

/* Whether this host may assign a request there under the limits of cold
   targets and those that targets state, and that it has assigned one.  role:
   NULL where this host may assign nothing to such targets.  */
bool csp_may_assign_request (csp_fleet_target_t *target,
                             const csp_decider_role_t *role, int64_t now_ms);
void csp_note_request_assigned (csp_fleet_target_t *target,
                                const csp_decider_role_t *role,
                                int64_t now_ms);

/* Applies what an answer of a target, here or at another host, says of its
   rate limit.  */
csp_rate_change_t csp_note_target_rate (csp_fleet_t *fleet,
                                        csp_fleet_target_t *target,
                                        const csp_rate_report_t *report,
                                        int64_t now_ms);

/* Writes some of the limits that have not ended long ago, others at each call.
   Returns how many were written.  */
size_t csp_list_target_rates (csp_fleet_t *fleet, csp_hello_rate_t *rates,
                              size_t max_count, int64_t now_ms);

/* The time until this host may ask for a grant at one of a service's limited
   targets; 0 if it may now or there are none.  */
uint32_t csp_service_rate_wait_ms (csp_fleet_t *fleet, const char *service,
                                   int64_t now_ms);

/* What is known of the speed of a service's targets, as of the last choice
   among them; see speed.h.  */
typedef struct
{
  char service[CSP_FLEET_NAME_BYTES];
  double stretch;
  int64_t rate_at_ms; /* not rated again before */
} csp_service_speed_t;

size_t csp_count_rated_services (const csp_fleet_t *fleet);
const csp_service_speed_t *csp_rated_service_at (const csp_fleet_t *fleet,
                                                 size_t index);

/* Attempts that all hosts have lost at a target, as far as known here.  */
uint32_t csp_count_target_failures (const csp_fleet_target_t *target);

/* Takes the count as known if it has fallen: a host has ended or restarted, or
   doesn't report an old loss any more.  */
void csp_settle_target_failures (csp_fleet_target_t *target);

/* Applies losses that a host has reported, or this host's own; returns true if
   the target is damped by them.  csp_limit_dampings has to follow.  */
bool csp_note_target_loss (csp_fleet_t *fleet, csp_fleet_target_t *target,
                           const csp_damping_report_t *report, int64_t now_ms);

/* Called for each target that is on probation or trusted from now on;
   released: earlier than due, as too many targets were damped.  */
typedef struct
{
  void (*on_changed) (void *state, const csp_fleet_target_t *target,
                      bool released);
  void *state;
} csp_damping_watch_t;

/* Releases targets into probation where more are damped than may be, after one
   of this group was damped.  */
void csp_limit_dampings (csp_fleet_t *fleet, csp_fleet_group_t *group,
                         const csp_damping_watch_t *watch, int64_t now_ms);

/* Ends dampings and probations whose time is over, of one target or of all;
   call the latter periodically.  */
void csp_update_target_damping (csp_fleet_t *fleet, csp_fleet_target_t *target,
                                const csp_damping_watch_t *watch,
                                int64_t now_ms);
void csp_update_dampings (csp_fleet_t *fleet, const csp_damping_watch_t *watch,
                          int64_t now_ms);

/* Whether any target has losses or is or was damped; and how many ready
   targets are in a state.  */
bool csp_has_lossy_targets (csp_fleet_t *fleet);
size_t csp_count_dampings (const csp_fleet_t *fleet,
                           csp_damping_state_t state);

/* Whether a target may get new requests: it isn't leaving and isn't
   cordoned.  */
bool csp_takes_new_work (const csp_fleet_target_t *target);

/* This host sends the target nothing for a while: the target asked for it
   (Retry-After), or has lost several attempts of this host.  */
void csp_back_off_target (csp_fleet_t *fleet, csp_fleet_target_t *target,
                          uint32_t for_ms, int64_t now_ms);

/* The same until an attempt that was just sent is answered, or for that
   time.  */
void csp_begin_target_trial (csp_fleet_t *fleet, csp_fleet_target_t *target,
                             uint32_t for_ms, int64_t now_ms);
void csp_end_target_trial (csp_fleet_target_t *target);

bool csp_is_backed_off (const csp_fleet_target_t *target, int64_t now_ms);

/* Whether another target of the same service and data centre may get new
   requests of this host.  */
bool csp_has_other_target (const csp_fleet_t *fleet,
                           const csp_fleet_target_t *target, int64_t now_ms);

/* The time until the first backoff of a service's targets ends if all that
   take new work are backed off; otherwise 0.  */
uint32_t csp_service_backoff_ms (const csp_fleet_t *fleet, const char *service,
                                 int64_t now_ms);

/* Writes the hashes of a service's backed-off targets, at most max_count;
   returns how many were written.  */
size_t csp_list_backed_off (const csp_fleet_t *fleet, const char *service,
                            int64_t now_ms, uint64_t *targets,
                            size_t max_count);

/* Whether all targets that serve a service are cordoned; false if there are
   none.  */
bool csp_is_service_cordoned (const csp_fleet_t *fleet, const char *service);

/* Writes the hashes of targets that have announced that they leave, at most
   max_count; returns how many were written.  */
size_t csp_list_announced_leaving (const csp_fleet_t *fleet, uint64_t *targets,
                                   size_t max_count);

/* The target itself announced that it leaves.  */
void csp_note_target_leaves (csp_fleet_t *fleet, csp_fleet_target_t *target);

/* The target itself reported when it started.  If it has restarted, the target
   that is given is marked as gone, and another is added in its place.  */
void csp_note_target_start (csp_fleet_t *fleet,
                            const csp_fleet_target_t *target, int64_t born_ms,
                            int64_t now_ms);

/* The platform became unreachable or reachable again.  */
void csp_note_platform (csp_fleet_t *fleet, bool reachable, int64_t now_ms);

/* Marks lapsed targets as gone when their time is over, and frees targets that
   have been gone for some seconds and aren't in use.  Call it
   periodically.  */
void csp_expire_targets (csp_fleet_t *fleet, int64_t now_ms);

/* All known targets, including those that are gone but not yet freed.  */
size_t csp_fleet_size (const csp_fleet_t *fleet);
size_t csp_count_listed_targets (const csp_fleet_t *fleet);
csp_fleet_target_t *csp_fleet_at (const csp_fleet_t *fleet, size_t index);

/* All groups, also those without targets.  */
size_t csp_count_fleet_groups (const csp_fleet_t *fleet);
csp_fleet_group_t *csp_fleet_group_at (const csp_fleet_t *fleet, size_t index);

/* The number of data centres that have targets.  */
size_t csp_count_target_data_centres (const csp_fleet_t *fleet);

/* A random ready target of a group; NULL if there is none.  */
csp_fleet_target_t *csp_pick_ready_target (const csp_fleet_t *fleet,
                                           const csp_fleet_group_t *group,
                                           csp_random_t *random);

/* The target of the newest start under this id.  */
csp_fleet_target_t *csp_find_fleet_target (const csp_fleet_t *fleet,
                                           const char *id);
csp_fleet_target_t *csp_find_target_by_hash (const csp_fleet_t *fleet,
                                             uint64_t hash);

/* Resets the loads of all other hosts, before they are added up again.  */
void csp_clear_peer_loads (csp_fleet_t *fleet);
void csp_add_peer_load (csp_fleet_t *fleet, const csp_peer_load_t *load);

/* Subtracts a load that was added.  A load of a target that was unknown at the
   time was not added; it has to be added when the target is.  */
void csp_subtract_peer_load (csp_fleet_t *fleet, const csp_peer_load_t *load);

/* How many targets have been added since the start.  */
uint64_t csp_fleet_additions (const csp_fleet_t *fleet);

/* What a request requires of a target.  */
typedef struct
{
  const char *service;
  uint32_t data_centre;   /* hash of the sending host's */
  bool by_memory;         /* model engines: load is tokens, not requests */
  uint32_t memory_tokens; /* of one engine */
  uint64_t tokens;        /* memory that the request takes there */
  bool within_slots;      /* exclude targets without a free slot */
  uint32_t left_ms;       /* copies: expected remaining time of the run */
  /* Longest pause between two events that is allowed; 0: any.  */
  uint32_t longest_gap_ms;
  bool is_copy;            /* copies a run's memory; no prompt is read */
  double memory_share_max; /* excludes targets beyond it; 0: no limit */
  uint64_t prompt_tokens;  /* that the target has to read */
  /* Excludes targets that would then have more prompt tokens to read, unless
     they read no other prompt; half as many while they warm up.  0: no
     limit.  */
  uint64_t prefill_tokens_max;
  bool repeatable; /* may go to a target that is cut off, as a last resort */
  /* Excludes targets that this host reaches neither by a new connection nor by
     an idle one.  */
  bool only_reached;
  bool for_any_host; /* another host may send it: only what is cut off for all
                        is out of reach */
  /* Under which this host may assign requests to cold and rate limited
     targets; NULL: it may not.  */
  const csp_decider_role_t *role;
  /* The decider can be asked for a grant before the request is sent to a rate
     limited target.  */
  bool asks_rate_grant;
  const csp_fleet_target_t *excluded;
  const csp_fleet_target_t *also_excluded;
  bool sent_by_this_host; /* sent by this host: its backoffs apply */
  /* Backoffs of the other host that sends the request, as hashes of targets;
     those are excluded too.  */
  const uint64_t *backoffs;
  size_t backoff_count;
} csp_fleet_need_t;

/* The eligible target with the least cost for a request; NULL if there is
   none.  */
csp_fleet_target_t *csp_choose_fleet_target (csp_fleet_t *fleet,
                                             const csp_fleet_need_t *need,
                                             csp_random_t *random,
                                             int64_t now_ms);

/* The share of memory in use over all targets of a service if this many tokens
   are added: what runs are expected to take, and copies of runs; 1 is
   full.  */
double csp_find_pool_memory_share (const csp_fleet_t *fleet,
                                   const char *service, uint32_t memory_tokens,
                                   uint64_t tokens);

/* Records that this host's own load at a target has changed since it was last
   reported.  */
void csp_note_own_load_changed (csp_fleet_t *fleet,
                                csp_fleet_target_t *target);

/* Takes a target whose own load has changed; NULL if there is none.  */
csp_fleet_target_t *csp_take_changed_load (csp_fleet_t *fleet);

/* The decider has assigned a prompt to the target.  */
void csp_note_prompt_assigned (csp_fleet_target_t *target,
                               uint32_t prompt_tokens, int64_t now_ms);

/* The outcome of a request: failed counts only faults of the target
   itself.  */
void csp_note_outcome (csp_fleet_target_t *target, bool failed,
                       int64_t now_ms);

/* Whether this host reaches the target, as far as it knows; and whether it
   reaches some that take new work not.  */
bool csp_is_target_reached (const csp_fleet_target_t *target);
bool csp_has_unreached_targets (const csp_fleet_t *fleet, const char *service);

/* Writes the hashes of a service's targets that this host doesn't reach, at
   most max_count; returns how many were written.  */
size_t csp_list_unreached_targets (const csp_fleet_t *fleet,
                                   const char *service, uint64_t *targets,
                                   size_t max_count);

/* Whether this host reaches at least three quarters of the service's targets
   that take new work.  */
bool csp_reaches_most_targets (const csp_fleet_t *fleet, const char *service);

/* Counts the service's targets that take new work and of which no path has
   failed.  */
size_t csp_count_reached_targets (const csp_fleet_t *fleet,
                                  const char *service);

/* A new connection to the target failed, or was answered.  */
void csp_note_path_failed (csp_fleet_t *fleet, csp_fleet_target_t *target,
                           int64_t now_ms);
void csp_note_path_works (csp_fleet_t *fleet, csp_fleet_target_t *target);

/* The target's service declares no way to probe it, so requests find out
   whether its path works: those that may be repeated at once, others only
   after some seconds.  */
void csp_let_requests_try_path (csp_fleet_target_t *target, int64_t now_ms);

/* Writes targets whose paths failed and that are to be tried again, at most
   max_count; returns how many were written.  */
size_t csp_list_paths_to_probe (const csp_fleet_t *fleet, int64_t now_ms,
                                csp_fleet_target_t **targets,
                                size_t max_count);

/* A connection to the target failed; it is avoided for a while.  */
void csp_note_unreachable (csp_fleet_target_t *target, int64_t now_ms);

/* The target refused a request because it is full, or another target answered
   at its address.  */
void csp_avoid_target (csp_fleet_target_t *target, uint32_t for_ms,
                       int64_t now_ms);

#endif
