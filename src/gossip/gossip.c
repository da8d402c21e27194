#include "bk/gossip/gossip.h"

#include <stdlib.h>

#include "bk/base/counters.h"
#include "bk/net/datagram.h"

struct BkGossip {
    BkDatagramSocket *sock;
    BkGossipHandlers handlers;
};

static void
handle_hello(const void *message, const char *from, void *arg)
{
    const BkGossip *gossip = arg;

    gossip->handlers.on_hello(message, from, gossip->handlers.arg);
}

static void
handle_demand(const void *message, const char *from, void *arg)
{
    const BkGossip *gossip = arg;

    gossip->handlers.on_demand(message, from, gossip->handlers.arg);
}

static const BkDatagramProc procs[] = {
    {BKG_HELLO, "hello", (xdrproc_t)xdr_bkg_hello, sizeof(bkg_hello),
     handle_hello},
    {BKG_DEMAND, "demand", (xdrproc_t)xdr_bkg_demand, sizeof(bkg_demand),
     handle_demand},
};

BkGossip *
BkGossip_Create(BkLoop *loop, const char *listen,
                const BkGossipHandlers *handlers)
{
    BkGossip *gossip = BkMem_New(1, sizeof(*gossip));
    BkDatagramSpec spec = {.listen = listen,
                           .program = BKG_PROGRAM,
                           .version = BKG_VERSION,
                           .procs = procs,
                           .count = sizeof(procs) / sizeof(procs[0]),
                           .dropped_counter = BkCounter_Get(
                               "bk_gossip_garbage_total", NULL,
                               "datagrams that could not be decoded"),
                           .arg = gossip};

    gossip->handlers = *handlers;
    gossip->sock = BkDatagramSocket_Create(loop, &spec);
    if (gossip->sock == NULL) {
        free(gossip);
        return NULL;
    }
    return gossip;
}

void
BkGossip_Destroy(BkGossip *gossip)
{
    if (gossip == NULL) {
        return;
    }
    BkDatagramSocket_Destroy(gossip->sock);
    free(gossip);
}

bool
BkGossip_Receive(BkGossip *gossip, char *data, size_t len, const char *from)
{
    return BkDatagram_Receive(gossip->sock, data, len, from);
}

BkStatus
BkGossip_SendHello(BkGossip *gossip, const char *to, const bkg_hello *hello)
{
    return BkDatagram_Send(gossip->sock, to, BKG_HELLO, hello);
}

BkStatus
BkGossip_SendDemand(BkGossip *gossip, const char *to, const bkg_demand *demand)
{
    return BkDatagram_Send(gossip->sock, to, BKG_DEMAND, demand);
}
