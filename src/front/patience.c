#include "patience.h"

FrPatience
FrPatience_Make(BkMs shortest, BkMs longest)
{
    return (FrPatience){.shortest = shortest,
                        .longest = longest > shortest ? longest : shortest,
                        .timeout = shortest};
}

BkMs
FrPatience_Begin(FrPatience *patience, BkMs now)
{
    patience->called_at = now;
    return patience->timeout;
}

void
FrPatience_End(FrPatience *patience, bool answered, BkMs now)
{
    BkMs took = now - patience->called_at;

    if (answered && took < patience->shortest) {
        patience->timeout = patience->shortest;
        return;
    }
    /* a call that fails sooner was refused, and does not tell of a late one */
    if (answered || took < patience->timeout) {
        return;
    }
    patience->timeout = patience->timeout * 2 < patience->longest
                            ? patience->timeout * 2
                            : patience->longest;
}
