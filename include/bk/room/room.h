/*
 * room - how many requests an upstream takes that must not refuse many
 *
 * Pure. An upstream that is brittle falls over when it has to refuse more
 * requests in a second than it names. Its coordinator (bk-front's admission.h)
 * counts the requests of all VMs there and admits no more than there is room
 * for: as many as its slots, or fewer if it has refused one lately. The room
 * that was learned by a refusal grows again slowly.
 *
 * Units: times in ms on the monotonic clock.
 */
#ifndef BK_ROOM_ROOM_H
#define BK_ROOM_ROOM_H

#include "bk/base/clock.h"

typedef struct BkRoom {
    int learned; /* requests, at the last refusal; 0: none yet */
    BkMs refused_at;
} BkRoom;

/* Requests that an upstream with so many slots takes; at least 1. */
int BkRoom_Get(const BkRoom *room, int slots, BkMs now);

/* The upstream refused a request while running others were in progress. */
void BkRoom_NoteRefusal(BkRoom *room, int running, int slots, BkMs now);

#endif
