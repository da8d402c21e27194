/*
 * gossip - messages between daemons: ONC RPC calls over UDP, without replies
 *
 * Received messages are passed to handlers in the loop. Bytes are counted by
 * kind in bk_control_bytes_total{kind,dir}. Datagrams that cannot be decoded
 * are counted and dropped.
 */
#ifndef BK_GOSSIP_GOSSIP_H
#define BK_GOSSIP_GOSSIP_H

#include "bk/base/loop.h"
#include "bk/base/str.h"
#include "bk/gossip/gen/gossip_xdr.h"

typedef struct BkGossip BkGossip;

/* Handlers of received messages; from is "ip:port" of the sender. */
typedef struct BkGossipHandlers {
    void (*on_hello)(const bkg_hello *hello, const char *from, void *arg);
    void (*on_demand)(const bkg_demand *demand, const char *from, void *arg);
    void *arg;
} BkGossipHandlers;

/* Opens a UDP socket on listen ("ip:port"). Returns NULL with an error message
 * set (BkErr_Last) if that fails. */
BkGossip *BkGossip_Create(BkLoop *loop, const char *listen,
                          const BkGossipHandlers *handlers);
void BkGossip_Destroy(BkGossip *gossip);

/* Send a message; to is the receiver's address, "ip:port". A lost datagram
 * is not an error. ERRORS: BK_EDECODE if the message cannot be encoded
 * (there is no separate code for encoding), BK_EINVAL if to is not an
 * address, BK_EIO. */
BkStatus BkGossip_SendHello(BkGossip *gossip, const char *to,
                            const bkg_hello *hello);
BkStatus BkGossip_SendDemand(BkGossip *gossip, const char *to,
                             const bkg_demand *demand);

/* Handles one datagram as if it had been received from the network. Returns
 * false if it cannot be decoded. May overwrite data. */
bool BkGossip_Receive(BkGossip *gossip, char *data, size_t len,
                      const char *from);

#endif
