/*
 * datagram - ONC RPC calls without replies, one in a datagram
 *
 * A program lists its messages in a table. What cannot be decoded is counted
 * and dropped.
 */
#ifndef BK_NET_DATAGRAM_H
#define BK_NET_DATAGRAM_H

#include <rpc/rpc.h>
#include <stdbool.h>

#include "bk/base/counters.h"
#include "bk/base/loop.h"

typedef struct BkDatagramProc {
    rpcproc_t proc;
    const char *name;
    xdrproc_t codec; /* of the message */
    size_t size;     /* of the message's struct */
    /* from is "ip:port" */
    void (*take)(const void *message, const char *from, void *arg);
} BkDatagramProc;

typedef struct BkDatagramSpec {
    const char *listen; /* "ip:port" */
    rpcprog_t program;
    rpcvers_t version;
    const BkDatagramProc *procs;
    int count;
    BkCounter *garbage; /* datagrams that were dropped */
    void *arg;          /* of take */
} BkDatagramSpec;

typedef struct BkDatagram BkDatagram;

/* ERRORS: NULL with BK_EIO as the last message. */
BkDatagram *BkDatagram_Create(BkLoop *loop, const BkDatagramSpec *spec);
void BkDatagram_Destroy(BkDatagram *datagram);

/* to is "ip:port". A lost datagram is no error. ERRORS: BK_EDECODE when the
 * message cannot be encoded, BK_EINVAL, BK_EIO. */
BkStatus BkDatagram_Send(BkDatagram *datagram, const char *to, rpcproc_t proc,
                         const void *message);

/* Takes one datagram, as the loop does. False if it is garbage. data is
 * used as scratch space. */
bool BkDatagram_Take(BkDatagram *datagram, char *data, size_t len,
                     const char *from);

#endif
