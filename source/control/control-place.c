#include "control/control-imp.h"

#include <stdlib.h>
#include <string.h>

/* The table of requests that wait or hold a place.  */

enum
{
  FIRST_PLACES = 256,
  MAX_PLACES = 65536
};

bool
csp_open_places (csp_control_t *control)
{
  control->places = calloc (FIRST_PLACES, sizeof *control->places);
  control->place_room = FIRST_PLACES;
  return control->places != NULL;
}

/* Places are numbered by their index below and a count above, so that a late
   command for a place that was given away finds nothing.  */
csp_place_t *
csp_find_place (csp_control_t *control, uint64_t id)
{
  csp_place_t *place = &control->places[id % MAX_PLACES];

  if (id % MAX_PLACES >= control->place_room || place->id != id)
    return NULL;
  return place;
}

static bool
grow_places (csp_control_t *control)
{
  uint32_t room = control->place_room * 2;
  csp_place_t *places;

  if (room > MAX_PLACES)
    return false;
  places = realloc (control->places, room * sizeof *places);
  if (places == NULL)
    return false;
  memset (places + control->place_room, 0,
          control->place_room * sizeof *places);
  control->places = places;
  control->place_room = room;
  return true;
}

csp_place_t *
csp_make_place (csp_control_t *control)
{
  uint32_t i;

  if (control->places_used == control->place_room && !grow_places (control))
    return NULL;
  for (i = 0; control->places[i].id != 0; i++)
    ;
  control->places_used++;
  control->next_place++;
  memset (&control->places[i], 0, sizeof control->places[i]);
  control->places[i].id = control->next_place * MAX_PLACES + i;
  return &control->places[i];
}

void
csp_free_place (csp_control_t *control, csp_place_t *place)
{
  /* Of a request that was not let in; one that ran has settled before.  */
  csp_settle_limits (place, 0);
  place->id = 0;
  control->places_used--;
}

csp_place_t *
csp_find_waiter_place (csp_control_t *control, uint64_t number)
{
  uint32_t i;

  for (i = 0; i < control->place_room; i++)
    if (control->places[i].id != 0 && control->places[i].waiter != NULL
        && control->places[i].waiter_number == number)
      return &control->places[i];
  return NULL;
}
