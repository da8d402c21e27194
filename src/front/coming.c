#include "front.h"

enum {
    /* ms past its expected time after which a model is no longer expected */
    OVERDUE_LIMIT = 1500
};

/* Finds the model's row, else resets a free or expired one for it; NULL if all
   rows are in use. */
static FrComing *
find_row(FrFront *front, uint32_t model)
{
    BkMs now = BkClock_Now();
    FrComing *spare = NULL;

    for (int i = 0; i < front->coming_count; i++) {
        FrComing *row = &front->coming[i];
        if (row->model == model) {
            return row;
        }
        if (now > row->at + OVERDUE_LIMIT) {
            spare = row;
        }
    }
    if (spare == NULL && front->coming_count < FR_MAX_COMING) {
        spare = &front->coming[front->coming_count++];
    }
    if (spare != NULL) {
        *spare = (FrComing){.model = model};
    }
    return spare;
}

void
FrComing_Note(FrFront *front, uint32_t model, BkMs at)
{
    FrComing *row = find_row(front, model);
    BkMs now = BkClock_Now();

    /* of several expected times, the earliest that is not past counts */
    if (row != NULL && (row->at < now || at < row->at)) {
        row->at = at;
    }
}

BkMs
FrComing_In(const FrFront *front, uint32_t model, BkMs now)
{
    for (int i = 0; i < front->coming_count; i++) {
        const FrComing *row = &front->coming[i];
        if (row->model == model && now <= row->at + OVERDUE_LIMIT) {
            return row->at > now ? row->at - now : 0;
        }
    }
    return -1;
}
