#include "bk/origin/origin.h"

#include <xxhash.h>

typedef struct Ranked {
    int index;
    uint64_t weight;
} Ranked;

/* Inserts into a list that is sorted by descending weight and has room for
   max; returns its new length. */
static int
insert_ranked(Ranked *list, int count, int max, Ranked entry)
{
    int at = count;

    while (at > 0 && list[at - 1].weight < entry.weight) {
        if (at < max) {
            list[at] = list[at - 1];
        }
        at--;
    }
    if (at < max) {
        list[at] = entry;
    }
    return count < max ? count + 1 : max;
}

int
BkOrigin_ChooseHomes(const BkOriginPeer *peers, int count, uint32_t own_domain,
                     uint64_t stream, int near, int far, int *out)
{
    Ranked near_list[BK_ORIGIN_MAX_ASKED];
    Ranked far_list[BK_ORIGIN_MAX_ASKED];
    int near_count = 0;
    int far_count = 0;

    for (int i = 0; i < count; i++) {
        Ranked entry = {i, XXH64(&peers[i].key, sizeof(peers[i].key), stream)};
        if (peers[i].domain == own_domain) {
            near_count = insert_ranked(near_list, near_count, near, entry);
        }
        else {
            far_count = insert_ranked(far_list, far_count, far, entry);
        }
    }
    for (int i = 0; i < near_count; i++) {
        out[i] = near_list[i].index;
    }
    for (int i = 0; i < far_count; i++) {
        out[near_count + i] = far_list[i].index;
    }
    return near_count + far_count;
}
