#ifndef COWSLIPSPOKE_QUARANTINE_H
#define COWSLIPSPOKE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Requests under which targets end.

   Load pattern: one request makes each target crash that begins to run it,
   and its caller sends it again, through any host.  Each crash cuts all else
   that runs there.  A host that counts for itself sees a part of the crashes,
   and a fleet loses a target for each repeat.

   Each target that ends under a request is a strike against the request's
   fingerprint.  Hosts tell each other their strikes and keep the union, so the
   order of words doesn't matter and a lost one may come again.  At three
   strikes the request is quarantined: no host sends it anywhere until the hold
   is over, and one more strike behind that holds it twice as long.  A whole
   success shows that the request is sound and takes all strikes back; what was
   served lately gets none, since many callers send the same short request and
   some of them are beside each crash.  An error shows nothing: a failing
   target answers so without running the request.  */

enum
{
  CSP_STRIKES_MAX = 3,
  /* Requests with strikes that one host remembers.  */
  CSP_SUSPECTS_MAX = 1024,
  /* How often a fresh strike is sent to all; greetings carry it as well.  */
  CSP_SUSPECT_TELLS = 2
};

/* A request with strikes, as hosts tell it.  */
typedef struct
{
  uint64_t request; /* fingerprint */
  size_t strike_count;
  uint64_t targets[CSP_STRIKES_MAX]; /* hashes of the starts that ended */
  uint32_t age_ms;                   /* since the last strike */
  uint32_t trials;                   /* holds that ended in one more strike */
} csp_suspect_t;

/* What a strike or another host's word changed.  */
typedef enum
{
  CSP_SUSPECT_AS_BEFORE,
  CSP_SUSPECT_STRUCK,
  CSP_SUSPECT_QUARANTINED, /* by this one */
  CSP_SUSPECT_SOUND        /* it was served lately: nothing is counted */
} csp_suspect_change_t;

typedef struct csp_quarantine csp_quarantine_t;

/* NULL when memory fails.  */
csp_quarantine_t *csp_create_quarantine (void);
void csp_destroy_quarantine (csp_quarantine_t *quarantine);

/* A target ended while it had the request.  */
csp_suspect_change_t csp_strike_request (csp_quarantine_t *quarantine,
                                         uint64_t request, uint64_t target,
                                         int64_t now_ms);

/* Another host told what it knows.  */
csp_suspect_change_t csp_merge_suspect (csp_quarantine_t *quarantine,
                                        const csp_suspect_t *told,
                                        int64_t now_ms);

/* The request got a whole success.  True where that took strikes back that
   this host had told, so that it has to tell this too.  */
bool csp_clear_request (csp_quarantine_t *quarantine, uint64_t request,
                        int64_t now_ms);

/* How long the request may not be sent yet; 0: it may.  */
uint32_t csp_quarantine_left_ms (const csp_quarantine_t *quarantine,
                                 uint64_t request, int64_t now_ms);

/* Strikes of this host that all others have to hear now.  Each counts as told
   once.  */
size_t csp_list_fresh_suspects (csp_quarantine_t *quarantine,
                                csp_suspect_t *suspects, size_t room,
                                int64_t now_ms);

/* Some suspects for a greeting, by turns: those that are quarantined or nearly
   so, and fresh ones, whose first word may have been lost.  */
size_t csp_name_suspects (csp_quarantine_t *quarantine,
                          csp_suspect_t *suspects, size_t room,
                          int64_t now_ms);

/* Forget what is old.  Call it now and then.  */
void csp_expire_suspects (csp_quarantine_t *quarantine, int64_t now_ms);

size_t csp_count_suspects (const csp_quarantine_t *quarantine);
size_t csp_count_quarantined (const csp_quarantine_t *quarantine,
                              int64_t now_ms);

#endif
