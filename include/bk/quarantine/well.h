/*
 * well - traits whose requests ran well
 *
 * A cache of fixed size: a trait may push out another one, which costs an
 * objection to a wrong verdict and nothing else.
 *
 * Units: times in ms on the monotonic clock.
 */
#ifndef BK_QUARANTINE_WELL_H
#define BK_QUARANTINE_WELL_H

#include "bk/base/clock.h"
#include "bk/quarantine/trait.h"

enum {
    BK_WELL_ROWS = 4096
};

typedef struct BkWellRow {
    uint64_t hash; /* of the trait; 0: no row */
    BkMs sent_at;
} BkWellRow;

typedef struct BkWell {
    BkWellRow *rows;
} BkWell;

BkWell BkWell_Make(void);
void BkWell_Destroy(BkWell *well);

/* A request with the trait that was sent at sent_at ran well. */
void BkWell_Note(BkWell *well, const BkTrait *trait, BkMs sent_at);

/* When the last request with the trait that ran well was sent; -1: none is
 * remembered. */
BkMs BkWell_LastSent(const BkWell *well, const BkTrait *trait);

#endif
