#include "gateway/gateway-exchange-imp.h"

#include <string.h>

/* Decisions of the decider about requests of its own.  Whatever frees capacity
   only schedules the placements, moves and answers that follow; they are made
   here, from the loop, since they may end requests that a walk is about to
   reach.  */

static void on_decide (uv_idle_t *decide);

void
csp_open_decisions (csp_gateway_t *gateway)
{
  uv_idle_init (&gateway->loop, &gateway->decide);
  gateway->decide.data = gateway;
}

void
csp_stop_decisions (csp_gateway_t *gateway)
{
  uv_idle_stop (&gateway->decide);
}

static void
schedule (csp_gateway_t *gateway)
{
  uv_idle_start (&gateway->decide, on_decide);
}

void
csp_schedule_placements (csp_gateway_t *gateway)
{
  gateway->placements_due = true;
  schedule (gateway);
}

void
csp_schedule_moves (csp_gateway_t *gateway)
{
  gateway->moves_due = true;
  schedule (gateway);
}

void
csp_queue_own_answer (csp_gateway_t *gateway, const csp_own_answer_t *answer)
{
  /* Without memory the answer is lost, and is asked for again soon.  */
  csp_append_buffer (&gateway->own_answers, answer, sizeof *answer);
  schedule (gateway);
}

static void
handle_own_answers (csp_gateway_t *gateway)
{
  csp_own_answer_t answer;

  while (gateway->own_answers.size_bytes >= sizeof answer)
    {
      memcpy (&answer, gateway->own_answers.data, sizeof answer);
      csp_consume_buffer (&gateway->own_answers, sizeof answer);
      switch (answer.kind)
        {
        case CSP_OWN_ASK:
          csp_handle_ask_answer (gateway, &answer.value.ask);
          break;
        case CSP_OWN_LEASE:
          csp_handle_lease (gateway, &answer.value.lease);
          break;
        }
    }
}

/* What this schedules in turn is handled in the next turn of the loop.  */
static void
on_decide (uv_idle_t *decide)
{
  csp_gateway_t *gateway = decide->data;
  bool moves_due = gateway->moves_due;
  bool placements_due = gateway->placements_due;

  uv_idle_stop (decide);
  gateway->moves_due = false;
  gateway->placements_due = false;
  if (moves_due)
    csp_start_due_moves (gateway);
  if (placements_due)
    csp_pump_dispatch (gateway->dispatch, csp_gateway_now_ms (gateway));
  handle_own_answers (gateway);
}
