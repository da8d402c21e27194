#include "front.h"

enum {
    /* ms past its expected time after which a model is no longer expected */
    OVERDUE_LIMIT = 1500
};

/* Finds the model's row, else resets a free or expired one for it; NULL if all
   rows are in use. */
static FrExpectedModel *
find_row(FrFront *front, uint32_t model)
{
    BkMs now = BkClock_Now();
    FrExpectedModel *spare = NULL;

    for (int i = 0; i < front->expected_model_count; i++) {
        FrExpectedModel *row = &front->expected_models[i];
        if (row->model == model) {
            return row;
        }
        if (now > row->ready_at + OVERDUE_LIMIT) {
            spare = row;
        }
    }
    if (spare == NULL &&
        front->expected_model_count < FR_MAX_EXPECTED_MODELS) {
        spare = &front->expected_models[front->expected_model_count++];
    }
    if (spare != NULL) {
        *spare = (FrExpectedModel){.model = model};
    }
    return spare;
}

void
FrExpected_Note(FrFront *front, uint32_t model, BkMs at)
{
    FrExpectedModel *row = find_row(front, model);
    BkMs now = BkClock_Now();

    /* of several expected times, the earliest that is not past counts */
    if (row != NULL && (row->ready_at < now || at < row->ready_at)) {
        row->ready_at = at;
    }
}

BkMs
FrExpected_GetDelay(const FrFront *front, uint32_t model, BkMs now)
{
    for (int i = 0; i < front->expected_model_count; i++) {
        const FrExpectedModel *row = &front->expected_models[i];
        if (row->model == model && now <= row->ready_at + OVERDUE_LIMIT) {
            return row->ready_at > now ? row->ready_at - now : 0;
        }
    }
    return -1;
}
