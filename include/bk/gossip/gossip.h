/*
 * gossip - ONC RPC datagrams between daemons
 *
 * Sends are one-way calls encoded to memory and sent on the gossip socket;
 * received calls are dispatched from the loop. Bytes are counted by kind in
 * bk_control_bytes_total{kind,dir}. Garbage is counted and dropped.
 */
#ifndef BK_GOSSIP_GOSSIP_H
#define BK_GOSSIP_GOSSIP_H

#include "bk/base/loop.h"
#include "bk/base/str.h"
#include "bk/gossip/gen/gossip_xdr.h"

typedef struct BkGossip BkGossip;

typedef struct BkGossipHandlers {
    void (*on_hello)(const bkg_hello *hello, const char *from, void *arg);
    void (*on_demand)(const bkg_demand *demand, const char *from, void *arg);
    void *arg;
} BkGossipHandlers;

/* listen is "ip:port". ERRORS: NULL with BK_EIO as the last message. */
BkGossip *BkGossip_Create(BkLoop *loop, const char *listen,
                          const BkGossipHandlers *handlers);
void BkGossip_Destroy(BkGossip *gossip);

/* to is "ip:port". A lost datagram is no error. ERRORS: BK_EDECODE when the
 * message cannot be encoded, BK_EIO. */
BkStatus BkGossip_SendHello(BkGossip *gossip, const char *to,
                            const bkg_hello *hello);
BkStatus BkGossip_SendDemand(BkGossip *gossip, const char *to,
                             const bkg_demand *demand);

/* Takes one datagram, as the loop does. False if it is garbage. data is
 * used as scratch space. */
bool BkGossip_Take(BkGossip *gossip, char *data, size_t len, const char *from);

#endif
