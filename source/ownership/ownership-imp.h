#ifndef CSP_OWNERSHIP_IMP_H
#define CSP_OWNERSHIP_IMP_H

#include "cowslipspoke/ownership.h"

enum
{
  CSP_NO_OWNER = -1,
  /* Samples of this host's load, one a second, over the lag of reports.  */
  CSP_CARRIED_SAMPLES = CSP_REPORT_LAG_MS / 1000 + 1,
  /* How often a peer that carries load on an owned target is queried again. */
  CSP_LOAD_QUERY_REPEAT_MS = 5000
};

/* A peer's last answer about one target.  */
typedef struct
{
  bool answered;
  bool owning;
  int64_t tokens;
  int64_t next_query_ms;
} csp_peer_answer_t;

typedef struct
{
  bool used;
  bool listed;
  bool report_leaving;
  csp_listed_target_t target;
  /* By host slot.  */
  uint64_t *scores;
  csp_peer_answer_t *peer_answers;
  int32_t owner;
  csp_own_state_t state;
  uint32_t open_share;
  int64_t closed_at_ms;
  int64_t open_share_set_ms;
  /* Reports in a row that agreed with the known load, that showed foreign
     load, and that showed none.  Two of the second or third kind set or clear
     foreign.  */
  uint32_t agreeing_reports;
  uint32_t foreign_reports;
  uint32_t clean_reports;
  bool foreign;
  int64_t foreign_seen_ms;
  bool has_report;
  int64_t used_tokens;
  int64_t capacity_tokens;
  /* Load in the last report beyond this host's own, as a range: the report
     lags, so the own load in it is only known as a range over the lag.  */
  int64_t others_tokens_min;
  int64_t others_tokens_max;
  int64_t peer_tokens;
  int64_t carried_tokens;
  uint32_t carried_streams;
  int64_t sampled_ms;
  int64_t carried_samples[CSP_CARRIED_SAMPLES];
} csp_target_t;

/* A host of this data centre.  Its slot is the index into each target's scores
   and peer_answers.  */
typedef struct
{
  bool used;
  bool may_own;
  bool alive;
  bool self;
  char name[CSP_HOST_NAME_BYTES];
  uint64_t query_id;
  int64_t query_until_ms;
  int64_t next_query_ms;
  size_t queried_count;
  uint32_t queried[CSP_MAX_LOAD_QUERY_TARGETS];
} csp_owner_t;

struct csp_ownership
{
  char host[CSP_HOST_NAME_BYTES];
  char data_centre[CSP_HOST_NAME_BYTES];
  int64_t lease_until_ms;
  bool lease_lapsed;
  bool list_changed;
  bool has_view;
  uint64_t view_version;
  uint64_t version;
  uint64_t last_query_id;
  size_t owner_count;
  csp_owner_t *owners[CSP_MAX_OWNERS];
  size_t target_count;
  size_t target_capacity;
  csp_target_t **targets;
  /* Used targets, sorted by name.  */
  size_t name_count;
  uint32_t *by_name;
  uint64_t gained;
  uint64_t lost;
  uint64_t contested;
};

/* ownership-targets.c: the table of targets.  */
csp_target_t *csp_get_target (const csp_ownership_t *ownership,
                              uint32_t target);

/* ownership-view.c: which host owns which target.  */
void csp_apply_membership_view (csp_ownership_t *ownership,
                                const csp_membership_t *membership,
                                int64_t now_ms);
/* Compute the scores of a new target for all known hosts.  */
void csp_score_target (const csp_ownership_t *ownership, csp_target_t *target);
csp_owner_t *csp_find_owner (csp_ownership_t *ownership, const char *name,
                             size_t *slot);

/* ownership-open.c: the open shares of owned targets.  */
void csp_close_target (csp_target_t *target, int64_t now_ms);
bool csp_is_owned_target (const csp_target_t *target);
int64_t csp_compute_foreign_tokens (const csp_target_t *target);
void csp_update_open_shares (csp_ownership_t *ownership, int64_t now_ms);

/* ownership-carry.c: the load that peers carry.  */
void csp_plan_load_queries (csp_ownership_t *ownership, int64_t now_ms,
                            csp_load_queries_t *queries);
/* Whether every live peer has answered that it doesn't own the target.  */
bool csp_all_peers_yielded (const csp_ownership_t *ownership,
                            const csp_target_t *target);

#endif
