#ifndef CSP_OWNERSHIP_IMP_H
#define CSP_OWNERSHIP_IMP_H

#include "cowslipspoke/ownership.h"

enum
{
  CSP_NO_OWNER = -1,
  /* Samples of what we carry, one a second, as far as reports lag.  */
  CSP_CARRIED_SAMPLES = CSP_REPORT_LAG_MS / 1000 + 1,
  /* A peer that carries streams on one of our targets is asked again this
     often.  */
  CSP_CARRY_AGAIN_MS = 5000
};

/* What one peer said of one target.  */
typedef struct
{
  bool answered;
  bool owning;
  int64_t tokens;
  int64_t next_ask_ms;
} csp_peer_carry_t;

typedef struct
{
  bool used;
  bool listed;
  bool report_leaving;
  csp_listed_target_t target;
  /* By host slot.  */
  uint64_t *scores;
  csp_peer_carry_t *carries;
  int32_t owner;
  csp_own_state_t state;
  uint32_t opening;
  int64_t closed_ms;
  int64_t stepped_ms;
  /* Reports in a row that agreed, that showed foreign load, and that showed
     none.  Two of the last kind make the target foreign or not.  */
  uint32_t agreeing;
  uint32_t disagreeing;
  uint32_t clean;
  bool foreign;
  int64_t foreign_ms;
  bool has_report;
  int64_t used_tokens;
  int64_t capacity_tokens;
  /* What the last report shows beyond our own: what we carried when it was
     made is only known within what we carried over its lag.  */
  int64_t others_least;
  int64_t others_most;
  int64_t peer_tokens;
  int64_t carried_tokens;
  uint32_t carried_streams;
  int64_t sampled_ms;
  int64_t samples[CSP_CARRIED_SAMPLES];
} csp_target_t;

/* A host of our data centre; scores and carries are kept in its slot.  */
typedef struct
{
  bool used;
  bool owns;
  bool alive;
  bool self;
  char name[CSP_HOST_NAME_BYTES];
  uint64_t ask_id;
  int64_t ask_until_ms;
  int64_t next_ask_ms;
  size_t asked_count;
  uint32_t asked[CSP_MAX_CARRY_TARGETS];
} csp_owner_t;

struct csp_ownership
{
  char host[CSP_HOST_NAME_BYTES];
  char data_centre[CSP_HOST_NAME_BYTES];
  int64_t lease_until_ms;
  bool lapsed;
  bool list_changed;
  bool viewed;
  uint64_t view_number;
  uint64_t number;
  uint64_t last_ask_id;
  size_t owner_count;
  csp_owner_t *owners[CSP_MAX_OWNERS];
  size_t target_count;
  size_t target_capacity;
  csp_target_t **targets;
  /* Used targets by name.  */
  size_t name_count;
  uint32_t *by_name;
  uint64_t gained;
  uint64_t lost;
  uint64_t contested;
};

/* ownership-targets.c: the table of targets.  */
csp_target_t *csp_get_target (const csp_ownership_t *ownership,
                              uint32_t target);

/* ownership-view.c: who owns what.  */
void csp_follow_view (csp_ownership_t *ownership,
                      const csp_membership_t *membership, int64_t now_ms);
/* Scores of a new target for all hosts known.  */
void csp_score_target (const csp_ownership_t *ownership, csp_target_t *target);
csp_owner_t *csp_find_owner (csp_ownership_t *ownership, const char *name,
                             size_t *slot);

/* ownership-open.c: how far our targets are open.  */
void csp_close_target (csp_target_t *target, int64_t now_ms);
bool csp_is_ours (const csp_target_t *target);
int64_t csp_foreign_tokens (const csp_target_t *target);
void csp_open_targets (csp_ownership_t *ownership, int64_t now_ms);

/* ownership-carry.c: what peers carry.  */
void csp_decide_carry_asks (csp_ownership_t *ownership, int64_t now_ms,
                            csp_carry_asks_t *asks);
/* Every live peer said that it does not own the target.  */
bool csp_all_peers_yielded (const csp_ownership_t *ownership,
                            const csp_target_t *target);

#endif
