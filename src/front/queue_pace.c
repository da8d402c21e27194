#include "front.h"

/* Finds the row of the query's service and model; if there is none, resets a
   free row for it, or else the one that was unused for the longest time. */
FrQueuePace *
FrQueuePace_FindOrReset(FrFront *front, const BkPickQuery *query)
{
    FrQueuePace *oldest = &front->queue_paces[0];

    for (int i = 0; i < front->queue_pace_count; i++) {
        FrQueuePace *row = &front->queue_paces[i];
        if (row->service == query->service && row->model == query->model) {
            return row;
        }
        if (row->pace.interval_start < oldest->pace.interval_start) {
            oldest = row;
        }
    }
    if (front->queue_pace_count < FR_MAX_QUEUE_PACES) {
        oldest = &front->queue_paces[front->queue_pace_count++];
    }
    *oldest = (FrQueuePace){.service = query->service, .model = query->model};
    return oldest;
}
