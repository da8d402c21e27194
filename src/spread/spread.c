#include "bk/spread/spread.h"

static void
swap(BkSpreadPeer *peers, int a, int b)
{
    BkSpreadPeer peer = peers[a];

    peers[a] = peers[b];
    peers[b] = peer;
}

static void
shuffle(BkSpreadPeer *peers, int count, BkRng *rng)
{
    for (int i = count - 1; i > 0; i--) {
        swap(peers, i, (int)BkRng_Below(rng, (uint32_t)i + 1));
    }
}

/* Moves the peers of the domain to the front; returns how many they are. */
static int
gather_domain(BkSpreadPeer *peers, int count, uint32_t domain)
{
    int gathered = 0;

    for (int i = 0; i < count; i++) {
        if (peers[i].domain == domain) {
            swap(peers, gathered++, i);
        }
    }
    return gathered;
}

static int
send_to_each(const BkSpreadPeer *peers, int count, BkSpreadSend *out)
{
    for (int i = 0; i < count; i++) {
        out[i] = (BkSpreadSend){.to = peers[i].address};
    }
    return count;
}

static int
send_to_groups(const BkSpreadPeer *peers, int count, BkSpreadSend *out)
{
    int sends = 0;

    for (int i = 0; i < count; i++) {
        if (i % BK_SPREAD_GROUP_SIZE == 0) {
            out[sends++] = (BkSpreadSend){.to = peers[i].address};
        }
        else {
            BkSpreadSend *group = &out[sends - 1];
            group->forward_to[group->forward_count++] = peers[i].address;
        }
    }
    return sends;
}

int
BkSpread_ToDomain(BkSpreadPeer *peers, int count, uint32_t own_domain,
                  BkRng *rng, BkSpreadSend *out)
{
    shuffle(peers, count, rng);
    int near = gather_domain(peers, count, own_domain);

    return near <= BK_SPREAD_MAX_DIRECT ? send_to_each(peers, near, out)
                                        : send_to_groups(peers, near, out);
}

int
BkSpread_ToAll(BkSpreadPeer *peers, int count, BkRng *rng, BkSpreadSend *out)
{
    if (count <= BK_SPREAD_MAX_DIRECT) {
        return send_to_each(peers, count, out);
    }
    shuffle(peers, count, rng);
    /* peers whose domain is not known yet get it directly */
    int done = gather_domain(peers, count, 0);
    int sends = send_to_each(peers, done, out);
    while (done < count) {
        int size =
            gather_domain(peers + done, count - done, peers[done].domain);
        out[sends++] =
            (BkSpreadSend){.to = peers[done].address, .to_domain = size > 1};
        done += size;
    }
    return sends;
}
