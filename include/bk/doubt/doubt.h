/*
 * doubt - loads that an engine may still carry out, whatever was answered
 *
 * Pure. An order that got no answer may be carried out seconds later. It names
 * how many orders the engine must have accepted before it, so that any other
 * order that the engine accepts with the same number makes it void; but an
 * engine that starts again under its id counts from 0, and the number comes
 * again. A doubt therefore belongs to the id of an engine, and not to one of
 * its starts. It ends with the longest delay of an order.
 *
 * An order may bring the engine's count to a number only if the loads in doubt
 * that name this number, and those that could follow them one by one, would
 * still fit then. A load is ordered only if an empty engine has room for all
 * loads that could follow each other from its start on, should this one get
 * no answer.
 *
 * Units: megabytes; times in ms on the monotonic clock.
 */
#ifndef BK_DOUBT_DOUBT_H
#define BK_DOUBT_DOUBT_H

#include <stdint.h>

#include "bk/base/clock.h"

/* What a load takes, or several loads. */
typedef struct BkDoubtRoom {
    double mb;
    int slots; /* for adapters */
} BkDoubtRoom;

typedef struct BkDoubt {
    uint32_t engine;      /* key of its id */
    uint64_t order_count; /* that the order names */
    BkDoubtRoom room;
    BkMs until; /* by then, it is not carried out any more */
} BkDoubt;

typedef struct BkDoubts {
    BkDoubt *rows;
    int count;
    int cap;
} BkDoubts;

void BkDoubts_Destroy(BkDoubts *doubts);

/* Adds a doubt, and forgets those that have ended. */
void BkDoubts_Note(BkDoubts *doubts, const BkDoubt *doubt, BkMs now);

/* Forgets all, since engines refuse orders of the term that they are of. */
void BkDoubts_Clear(BkDoubts *doubts);

/* What must be free when the engine has accepted so many orders. */
BkDoubtRoom BkDoubts_GetRoom(const BkDoubts *doubts, uint32_t engine,
                             uint64_t order_count, BkMs now);

/* What an engine that has just started must have free if the next load gets no
 * answer either. */
BkDoubtRoom BkDoubts_GetStartRoom(const BkDoubts *doubts, const BkDoubt *next,
                                  BkMs now);

#endif
