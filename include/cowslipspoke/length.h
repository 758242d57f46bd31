#ifndef COWSLIPSPOKE_LENGTH_H
#define COWSLIPSPOKE_LENGTH_H

#include <stdint.h>

/* Estimates the remaining length of an answer that already has n tokens.

   Load pattern: answers have from a few to tens of thousands of tokens, and
   their length isn't known when they start.  Without an estimate an engine is
   filled by its current memory use, the answers on it grow together, and it
   has to preempt some of them halfway.  The symptoms are preemptions in the
   engine's load report and gaps of seconds between tokens.

   The estimate is a life table for each key (a model and a class).  For bins
   of n, whose width grows with n, it counts the tokens that answers generated
   in the bin (exposure) and the answers that ended there.  The ratio is the
   probability to end at the next token (hazard).  Running answers count in the
   exposure, so that lengths aren't underestimated after a start, when only
   short answers have ended.  An answer that was cut counts as exposure without
   an end.  */
typedef struct csp_lengths csp_lengths_t;

enum
{
  CSP_LENGTH_MAX_TOKENS = 131072,
  CSP_LENGTH_KEY_SHARED = 0
};

/* Parameters of the estimate.

   prior_median_tokens, prior_sigma: the log-normal prior; 77 and 1.5 give the
   mean of 236 tokens of the planned load (2.1 million tokens a second over
   8,900 requests a second), with 6 answers of 10,000 over ten thousand tokens.
   prior_weight: weight of the prior in each bin, in answers' worth of
   exposure.  With 4, observations outweigh the prior after some ten answers
   have crossed the bin, and the prior holds in the far tail without
   observations.
   half_life_answers: the weight of an observation halves with so many answers
   of its key.  4,096 answers are about two minutes of a class at the planned
   rate on one host, and keep some 60 observations in the bins beyond the 99th
   percentile.
   max_keys: further keys share key 0, so that memory stays bounded.  */
typedef struct
{
  double prior_median_tokens;
  double prior_sigma;
  double prior_weight;
  uint32_t half_life_answers;
  uint32_t max_keys;
} csp_length_policy_t;

typedef enum
{
  CSP_LENGTH_FINISHED,
  CSP_LENGTH_CUT
} csp_length_end_t;

/* Returns the defaults that are described above.  */
csp_length_policy_t csp_default_length_policy (void);

/* Creates an empty store; returns NULL when out of memory.  */
csp_lengths_t *csp_create_lengths (const csp_length_policy_t *policy);
void csp_destroy_lengths (csp_lengths_t *lengths);

/* Returns the key of a model and a class, and adds it if it is new.  Returns
   key 0 (CSP_LENGTH_KEY_SHARED) when the store is full.  */
uint32_t csp_get_length_key (csp_lengths_t *lengths, const char *model,
                             const char *class_name);

/* Records that an answer grew from `before` to `after` tokens.  */
void csp_record_length_growth (csp_lengths_t *lengths, uint32_t key,
                               uint32_t before, uint32_t after);

/* Records that an answer of `tokens` ended, by itself or cut from outside
   (cancelled, or at the caller's max_tokens).  Its growth must have been
   recorded before.  */
void csp_record_length_end (csp_lengths_t *lengths, uint32_t key,
                            uint32_t tokens, csp_length_end_t end);

/* Returns the probability that an answer of `generated` tokens reaches
   `generated + ahead` tokens.  */
double csp_length_survival (csp_lengths_t *lengths, uint32_t key,
                            uint32_t generated, uint32_t ahead);

/* Returns the mean remaining tokens of an answer of `generated` tokens.  */
double csp_mean_tokens_left (csp_lengths_t *lengths, uint32_t key,
                             uint32_t generated);

/* Returns a quantile of the remaining tokens of an answer of `generated`
   tokens.  */
uint32_t csp_quantile_tokens_left (csp_lengths_t *lengths, uint32_t key,
                                   uint32_t generated, double quantile);

/* Returns the memory use of the store in bytes.  */
uint64_t csp_lengths_size_bytes (const csp_lengths_t *lengths);

#endif
