#include "bk/room/room.h"

enum {
    /* ms after which one more request is tried; a refusal that this leads to
       comes less than once a second */
    GROWTH_INTERVAL = 1500
};

int
BkRoom_Get(const BkRoom *room, int slots, BkMs now)
{
    int limit = slots > 1 ? slots : 1;
    BkMs grown = room->learned + (now - room->refused_at) / GROWTH_INTERVAL;

    return room->learned == 0 || grown >= limit ? limit : (int)grown;
}

void
BkRoom_NoteRefusal(BkRoom *room, int running, int slots, BkMs now)
{
    int present = BkRoom_Get(room, slots, now);

    room->learned = running < present ? running : present;
    if (room->learned < 1) {
        room->learned = 1;
    }
    room->refused_at = now;
}
