/*
 * held - changes of reports that came before those that go before them
 *
 * Datagrams overtake each other. What came too early is kept until the gap is
 * filled; if it stays, the daemon asks the store.
 */
#ifndef BK_FRONT_HELD_H
#define BK_FRONT_HELD_H

#include <stdbool.h>

#include "bk/base/str.h"
#include "bk/peer/gen/peer_xdr.h"

enum {
    FR_HELD_MOST = 24 /* messages; a burst from each of the readers */
};

typedef struct FrHeld {
    bkp_reports messages[FR_HELD_MOST];
    int count;
} FrHeld;

/* Keeps a copy; one without rows has nothing to keep. */
void FrHeld_Keep(FrHeld *held, const bkp_reports *reports);

/* Hands over, to be freed by xdr_free, one that follows what is known up to
 * version; false if there is none. Forgets those that bring nothing new. */
bool FrHeld_Next(FrHeld *held, uint64_t version, bkp_reports *out);
void FrHeld_Clear(FrHeld *held);

#endif
