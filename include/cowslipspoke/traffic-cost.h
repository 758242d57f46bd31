#ifndef COWSLIPSPOKE_TRAFFIC_COST_H
#define COWSLIPSPOKE_TRAFFIC_COST_H

#include "cowslipspoke/traffic-class.h"

#include <stdint.h>

/* The cost of a request for an engine: memory x time.

   Load pattern: short and long requests compete for engine memory.  Charged by
   its tokens, a short request costs two thirds of a long one but uses a
   twentieth of its memory x time.  So organisations with short requests get
   less than their share, and a short request with a large prompt is refused
   sooner than a long one, as its wait is predicted from its cost.

   A run holds its own memory while it writes.  While its prompt is read, the
   steps of all other runs at the engine wait, so reading counts with the
   engine's whole memory.

   The unit is the time for which the pool's mean request uses its memory, so
   that the mean request costs its tokens.  */

/* What is learnt of a pool's requests.  All zero: nothing yet.  */
typedef struct
{
  uint32_t samples; /* up to a maximum */
  double mean_tokens;
  double mean_token_ms; /* of all requests */
  uint32_t class_samples[CSP_CLASS_COUNT];
  double class_token_ms[CSP_CLASS_COUNT]; /* means of each class */
} csp_traffic_cost_t;

/* Adds a request to the means and returns its cost.  memory_tokens: of one
   engine; 0: not known, and reading counts with the run's own memory.  tokens:
   its prompt and its expected output.  */
uint32_t csp_charge_request (csp_traffic_cost_t *cost,
                             csp_traffic_class_t traffic_class,
                             uint32_t memory_tokens, uint32_t prompt_tokens,
                             uint32_t tokens);

/* The cost of a request that isn't added to the means, such as one that has
   ended with another length than was expected.  */
uint32_t csp_compute_request_cost (const csp_traffic_cost_t *cost,
                                   uint32_t memory_tokens,
                                   uint32_t prompt_tokens, uint32_t tokens);

/* The memory x time that a request holds by itself, in tokens x s, at least 1.
   Classes share a pool by it, as an engine reads the prompts of one class
   while it writes the answers of the other.  */
uint32_t csp_held_token_s (uint32_t prompt_tokens, uint32_t tokens);

/* The mean cost of a class's requests, at least 1.  Zero when the class has
   had none.  */
uint32_t csp_mean_class_cost (const csp_traffic_cost_t *cost,
                              csp_traffic_class_t traffic_class);

#endif
