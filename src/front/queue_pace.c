#include "front.h"

#include <stdlib.h>

FrQueuePace *
FrQueuePace_FindOrReset(FrFront *front, const BkPickQuery *query)
{
    FrQueuePace *oldest = NULL;

    for (int i = 0; i < front->queue_pace_count; i++) {
        FrQueuePace *row = &front->queue_paces[i];
        if (row->service == query->service && row->model == query->model) {
            return row;
        }
        if (oldest == NULL ||
            row->pace.interval_start < oldest->pace.interval_start) {
            oldest = row;
        }
    }
    if (front->queue_pace_count < FR_MAX_QUEUE_PACES) {
        if (front->queue_pace_count == front->queue_pace_cap) {
            front->queue_pace_cap =
                front->queue_pace_cap == 0 ? 32 : front->queue_pace_cap * 2;
            front->queue_paces =
                BkMem_Grow(front->queue_paces, (size_t)front->queue_pace_cap,
                           sizeof(*front->queue_paces));
        }
        oldest = &front->queue_paces[front->queue_pace_count++];
    }
    *oldest = (FrQueuePace){.service = query->service, .model = query->model};
    return oldest;
}

void
FrQueuePace_Destroy(FrFront *front)
{
    free(front->queue_paces);
    front->queue_paces = NULL;
}
