#include "front.h"

#include <stdlib.h>

enum {
    /* ms past its expected time after which a model is no longer expected */
    OVERDUE_LIMIT = 1500
};

/* Finds the model's row; resets an expired one for it if there is none, else
   adds one. */
static FrExpectedModel *
find_or_add_row(FrFront *front, uint32_t model)
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
    if (spare == NULL) {
        if (front->expected_model_count == front->expected_model_cap) {
            front->expected_model_cap = front->expected_model_cap == 0
                                            ? 32
                                            : front->expected_model_cap * 2;
            front->expected_models = BkMem_Grow(
                front->expected_models, (size_t)front->expected_model_cap,
                sizeof(*front->expected_models));
        }
        spare = &front->expected_models[front->expected_model_count++];
    }
    *spare = (FrExpectedModel){.model = model};
    return spare;
}

void
FrExpected_Note(FrFront *front, uint32_t model, BkMs at)
{
    FrExpectedModel *row = find_or_add_row(front, model);
    BkMs now = BkClock_Now();

    /* of several expected times, the earliest that is not past counts */
    if (row->ready_at < now || at < row->ready_at) {
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

void
FrExpected_Destroy(FrFront *front)
{
    free(front->expected_models);
    front->expected_models = NULL;
}
