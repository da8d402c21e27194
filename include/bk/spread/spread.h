/*
 * spread - the way of a message from one daemon to all others
 *
 * Pure. In a small fleet, the sender sends the message to each daemon itself.
 * In a larger one, it sends it to one daemon of each failure domain, which
 * spreads it in its domain, so that the message crosses between two domains
 * once and the sender sends few copies. Within a domain, it goes to one daemon
 * of each group, which forwards it to the rest of the group. The daemons that forward are chosen at
 * random each time, so that one that has ended does not cut the same daemons
 * off from every message.
 */
#ifndef BK_SPREAD_SPREAD_H
#define BK_SPREAD_SPREAD_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/rng.h"

enum {
    BK_SPREAD_MAX_DIRECT = 8, /* daemons that the sender sends to itself */
    BK_SPREAD_GROUP_SIZE = 8
};

/* A daemon that is to get the message. */
typedef struct BkSpreadPeer {
    const char *address;
    uint32_t domain; /* hash of its failure domain; 0: not known */
} BkSpreadPeer;

/* A message to one daemon, which has to forward it. */
typedef struct BkSpreadSend {
    const char *to;
    bool to_domain; /* spread it in the receiver's own domain */
    const char *forward_to[BK_SPREAD_GROUP_SIZE - 1];
    int forward_count;
} BkSpreadSend;

/* Plans the messages by which all peers get a message of this daemon. peers is
 * reordered; out has room for count messages. Returns how many there are. */
int BkSpread_ToAll(BkSpreadPeer *peers, int count, BkRng *rng,
                   BkSpreadSend *out);

/* Plans the messages by which this daemon, which was asked to spread a
 * message in its domain, forwards it there. Like BkSpread_ToAll; peers does not
 * contain the daemon from which the message comes. */
int BkSpread_ToDomain(BkSpreadPeer *peers, int count, uint32_t own_domain,
                      BkRng *rng, BkSpreadSend *out);

#endif
