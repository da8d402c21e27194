/*
 * datagram - ONC RPC calls over UDP, without replies, one call per datagram
 *
 * The spec lists the messages (RPC procedures) in the table procs. A
 * datagram that cannot be decoded is counted and dropped.
 */
#ifndef BK_NET_DATAGRAM_H
#define BK_NET_DATAGRAM_H

#include <rpc/rpc.h>
#include <stdbool.h>

#include "bk/base/counters.h"
#include "bk/base/loop.h"

typedef struct BkDatagramProc {
    rpcproc_t proc;
    const char *name; /* value of the label kind in counters */
    xdrproc_t codec;  /* XDR function of the message */
    size_t size;      /* of the message's struct */
    /* handles a received message; from is "ip:port" */
    void (*handle)(const void *message, const char *from, void *arg);
} BkDatagramProc;

typedef struct BkDatagramSpec {
    const char *listen; /* "ip:port" */
    rpcprog_t program;
    rpcvers_t version;
    const BkDatagramProc *procs;
    int count;
    BkCounter *dropped_counter; /* datagrams that were dropped */
    void *arg;                  /* for the handlers of messages */
} BkDatagramSpec;

typedef struct BkDatagramSocket BkDatagramSocket;

/* Opens a UDP socket. Returns NULL with an error message set (BkErr_Last) if
 * listen is not a valid address or the socket cannot be bound to it. */
BkDatagramSocket *BkDatagramSocket_Create(BkLoop *loop,
                                          const BkDatagramSpec *spec);
void BkDatagramSocket_Destroy(BkDatagramSocket *sock);

/* Sends a message; to is the receiver's address, "ip:port". A lost datagram
 * is not an error. ERRORS: BK_EDECODE if the message cannot be encoded
 * (there is no separate code for encoding), BK_EINVAL if to is not an
 * address, BK_EIO. */
BkStatus BkDatagram_Send(BkDatagramSocket *sock, const char *to,
                         rpcproc_t proc, const void *message);

/* Whether a message can be sent to this address. */
bool BkDatagram_IsAddress(const char *to);

/* Bytes of all messages sent so far. */
int64_t BkDatagram_SentBytes(const BkDatagramSocket *sock);

/* Handles one datagram as if it had been received from the network. Returns
 * false if it cannot be decoded. May overwrite data. */
bool BkDatagram_Receive(BkDatagramSocket *sock, char *data, size_t len,
                        const char *from);

#endif
