#ifndef COWSLIPSPOKE_LENGTH_H
#define COWSLIPSPOKE_LENGTH_H

#include <stdint.h>

/* What is still to come of an answer that already has n tokens.

   Load pattern: answers from a few to tens of thousands of tokens, whose
   length nobody knows when they start.  Without this decision an engine is
   filled by today's use, the answers on it grow together, and it must preempt
   halfway; one notices preemptions in the engine's load report and gaps of
   seconds between tokens.

   Learnt for each key (a model and a class) as a life table: over bins of n
   that grow with n, the tokens made while the answer was in the bin
   (exposure) and the answers that ended there.  Their ratio is the chance to
   end at the next token.  Exposure counts for answers that still run, so a
   start with many long answers under way is not mistaken for a world of short
   ones; an answer that was cut counts as exposure without an end.  */
typedef struct csp_lengths csp_lengths_t;

enum
{
  CSP_LENGTH_MAX_TOKENS = 131072,
  CSP_LENGTH_KEY_SHARED = 0
};

/* How lengths are learnt.

   start_median_tokens, start_sigma: the log-normal that is believed before
   anything is seen; 77 and 1.5 give the mean of 236 tokens that the planned
   size is made of (2.1 million tokens over 8,900 requests a second) with 6
   answers of 10,000 over ten thousand tokens.
   start_weight: how many answers' worth of exposure the belief weighs in each
   bin; 4 is outvoted after some ten answers have crossed the bin, and holds
   in the far tail where nothing has been seen.
   half_life_answers: after so many answers of a key an observation counts
   half; 4,096 is about two minutes of a class at Pwani's planned rate on one
   host, and keeps some 60 observations in the bins beyond the 99th
   percentile.
   max_keys: keys beyond it share key 0, so that memory stays bounded.  */
typedef struct
{
  double start_median_tokens;
  double start_sigma;
  double start_weight;
  uint32_t half_life_answers;
  uint32_t max_keys;
} csp_length_policy_t;

typedef enum
{
  CSP_LENGTH_FINISHED,
  CSP_LENGTH_CUT
} csp_length_end_t;

/* The stated defaults.  */
csp_length_policy_t csp_default_length_policy (void);

/* Create an empty store; NULL when memory is short.  */
csp_lengths_t *csp_create_lengths (const csp_length_policy_t *policy);
void csp_destroy_lengths (csp_lengths_t *lengths);

/* The key of a model and a class, added when it is new.  Key 0
   (CSP_LENGTH_KEY_SHARED) when the store is full.  */
uint32_t csp_find_length_key (csp_lengths_t *lengths, const char *model,
                              const char *class_name);

/* An answer grew from `before` to `after` tokens.  */
void csp_note_length (csp_lengths_t *lengths, uint32_t key, uint32_t before,
                      uint32_t after);

/* An answer of `tokens` ended, by itself or cut from outside (cancelled, or
   at the caller's max_tokens).  The growth must have been noted before.  */
void csp_learn_length (csp_lengths_t *lengths, uint32_t key, uint32_t tokens,
                       csp_length_end_t end);

/* The chance that an answer of `made` tokens reaches `made + ahead`.  */
double csp_survive_length (csp_lengths_t *lengths, uint32_t key, uint32_t made,
                           uint32_t ahead);

/* Mean tokens still to come of an answer of `made` tokens.  */
double csp_expect_tokens_left (csp_lengths_t *lengths, uint32_t key,
                               uint32_t made);

/* Tokens still to come that a share `quantile` of answers of `made` tokens
   stays within.  */
uint32_t csp_bound_tokens_left (csp_lengths_t *lengths, uint32_t key,
                                uint32_t made, double quantile);

/* Bytes that the store holds now.  */
uint64_t csp_lengths_size_bytes (const csp_lengths_t *lengths);

#endif
