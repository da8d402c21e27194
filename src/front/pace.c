#include "front.h"

/* Finds the row of the query's service and model; if there is none, resets a
   free row for it, or else the one that was unused for the longest time. */
FrPace *
FrPace_Find(FrFront *front, const BkPickQuery *query)
{
    FrPace *oldest = &front->paces[0];

    for (int i = 0; i < front->pace_count; i++) {
        FrPace *row = &front->paces[i];
        if (row->service == query->service && row->model == query->model) {
            return row;
        }
        if (row->pace.interval_start < oldest->pace.interval_start) {
            oldest = row;
        }
    }
    if (front->pace_count < FR_MAX_PACES) {
        oldest = &front->paces[front->pace_count++];
    }
    *oldest = (FrPace){.service = query->service, .model = query->model};
    return oldest;
}
