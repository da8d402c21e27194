#include "bk/doubt/doubt.h"

#include <stdbool.h>
#include <stdlib.h>

#include "bk/base/str.h"

void
BkDoubts_Destroy(BkDoubts *doubts)
{
    free(doubts->rows);
    *doubts = (BkDoubts){0};
}

void
BkDoubts_Clear(BkDoubts *doubts)
{
    doubts->count = 0;
}

static void
forget_ended(BkDoubts *doubts, BkMs now)
{
    int kept = 0;

    for (int i = 0; i < doubts->count; i++) {
        if (now < doubts->rows[i].until) {
            doubts->rows[kept++] = doubts->rows[i];
        }
    }
    doubts->count = kept;
}

void
BkDoubts_Note(BkDoubts *doubts, const BkDoubt *doubt, BkMs now)
{
    forget_ended(doubts, now);
    if (doubts->count == doubts->cap) {
        doubts->cap = doubts->cap == 0 ? 8 : doubts->cap * 2;
        doubts->rows = BkMem_Grow(doubts->rows, (size_t)doubts->cap,
                                  sizeof(*doubts->rows));
    }
    doubts->rows[doubts->count++] = *doubt;
}

static void
keep_larger(BkDoubtRoom *largest, const BkDoubtRoom *room)
{
    largest->mb = room->mb > largest->mb ? room->mb : largest->mb;
    largest->slots =
        room->slots > largest->slots ? room->slots : largest->slots;
}

/* Adds the largest of the loads that name this number, of which the engine
   carries out one at most. next: one more of them; NULL: none. Returns whether
   there is any. */
static bool
add_largest(const BkDoubts *doubts, const BkDoubt *next, uint32_t engine,
            uint64_t order_count, BkMs now, BkDoubtRoom *room)
{
    BkDoubtRoom largest = {0};
    bool found = next != NULL && next->order_count == order_count;

    if (found) {
        largest = next->room;
    }
    for (int i = 0; i < doubts->count; i++) {
        const BkDoubt *row = &doubts->rows[i];
        if (row->engine == engine && row->order_count == order_count &&
            now < row->until) {
            found = true;
            keep_larger(&largest, &row->room);
        }
    }
    room->mb += largest.mb;
    room->slots += largest.slots;
    return found;
}

BkDoubtRoom
BkDoubts_GetRoom(const BkDoubts *doubts, uint32_t engine, uint64_t order_count,
                 BkMs now)
{
    BkDoubtRoom room = {0};

    while (add_largest(doubts, NULL, engine, order_count, now, &room)) {
        order_count++;
    }
    return room;
}

BkDoubtRoom
BkDoubts_GetStartRoom(const BkDoubts *doubts, const BkDoubt *next, BkMs now)
{
    BkDoubtRoom room = {0};
    uint64_t order_count = 0;

    while (add_largest(doubts, next, next->engine, order_count, now, &room)) {
        order_count++;
    }
    return room;
}
