/*
 * fronts - state of the bk-front daemons, as they tell it
 */
#ifndef BK_CTL_FRONTS_H
#define BK_CTL_FRONTS_H

#include <jansson.h>

#include "client.h"

/* One daemon of the setting "fronts". */
typedef struct BkCtlFront {
    char *addr;
    json_t *status;    /* what it answered; NULL: nothing usable */
    const char *fault; /* why there is no status */
} BkCtlFront;

typedef struct BkCtlFronts {
    BkCtlFront *list;
    int count;
    int answered;
} BkCtlFronts;

/*
 * Asks all daemons. ERRORS: BK_ECONFIG: the settings name none; BK_ECONNECT:
 * none gave its state. The fronts must be cleared in any case.
 */
BkStatus BkCtl_FetchFronts(BkCtl *ctl, BkCtlFronts *fronts);
void BkCtlFronts_Clear(BkCtlFronts *fronts);

/* The integer or text member of a daemon's answer; 0 or "" if it is missing or
 * of another kind. */
int64_t BkCtl_GetInteger(const json_t *object, const char *member);
const char *BkCtl_GetText(const json_t *object, const char *member);

#endif
