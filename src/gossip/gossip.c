#include "bk/gossip/gossip.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <rpc/rpc_msg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"

enum {
    MAX_DATAGRAM = 4096,
    MAX_PER_WAKE = 64, /* so that a flood cannot starve the loop */
    ADDR_TEXT = 32
};

struct BkGossip {
    int fd;
    BkWatch *watch;
    BkGossipHandlers handlers;
    uint32_t next_xid;
    BkCounter *garbage;
};

static void
count_message(const char *kind, const char *dir, size_t bytes)
{
    char labels[64];

    snprintf(labels, sizeof(labels), "kind=\"%s\",dir=\"%s\"", kind, dir);
    BkCounter_Add(BkCounter_Get("bk_control_bytes_total", labels,
                                "bytes of control traffic"),
                  (int64_t)bytes);
    BkCounter_Add(BkCounter_Get("bk_control_messages_total", labels,
                                "messages of control traffic"),
                  1);
}

static BkStatus
parse_addr(const char *text, struct sockaddr_in *out)
{
    BkStr port = BkStr_FromC(text);
    BkStr host = BkStr_Split(&port, ':');
    char ip[ADDR_TEXT];
    uint64_t number;

    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    snprintf(ip, sizeof(ip), "%.*s", BK_STR_ARG(host));
    if (inet_pton(AF_INET, ip, &out->sin_addr) != 1 ||
        BkStr_ToU64(port, &number) != BK_OK || number > UINT16_MAX) {
        return BkErr_Set(BK_EINVAL, "\"%s\" is not ip:port", text);
    }
    out->sin_port = htons((uint16_t)number);
    return BK_OK;
}

static void
format_addr(const struct sockaddr_in *from, char *text, size_t size)
{
    char ip[INET_ADDRSTRLEN];

    inet_ntop(AF_INET, &from->sin_addr, ip, sizeof(ip));
    snprintf(text, size, "%s:%u", ip, ntohs(from->sin_port));
}

static bool
deliver_hello(BkGossip *gossip, XDR *xdr, const char *from, size_t bytes)
{
    bkg_hello hello = {0};
    bool good = xdr_bkg_hello(xdr, &hello);

    if (good) {
        count_message("hello", "in", bytes);
        gossip->handlers.on_hello(&hello, from, gossip->handlers.arg);
    }
    xdr_free((xdrproc_t)xdr_bkg_hello, (char *)&hello);
    return good;
}

static bool
deliver_demand(BkGossip *gossip, XDR *xdr, const char *from, size_t bytes)
{
    bkg_demand demand = {0};
    bool good = xdr_bkg_demand(xdr, &demand);

    if (good) {
        count_message("demand", "in", bytes);
        gossip->handlers.on_demand(&demand, from, gossip->handlers.arg);
    }
    xdr_free((xdrproc_t)xdr_bkg_demand, (char *)&demand);
    return good;
}

bool
BkGossip_Take(BkGossip *gossip, char *data, size_t len, const char *from)
{
    struct rpc_msg call = {0};
    char cred[MAX_AUTH_BYTES];
    char verf[MAX_AUTH_BYTES];
    XDR xdr;
    bool good = false;

    call.rm_call.cb_cred.oa_base = cred;
    call.rm_call.cb_verf.oa_base = verf;
    xdrmem_create(&xdr, data, (u_int)len, XDR_DECODE);
    if (xdr_callmsg(&xdr, &call) && call.rm_direction == CALL &&
        call.rm_call.cb_rpcvers == RPC_MSG_VERSION &&
        call.rm_call.cb_prog == BKG_PROGRAM &&
        call.rm_call.cb_vers == BKG_VERSION) {
        switch (call.rm_call.cb_proc) {
        case BKG_HELLO:
            good = deliver_hello(gossip, &xdr, from, len);
            break;
        case BKG_DEMAND:
            good = deliver_demand(gossip, &xdr, from, len);
            break;
        default:
            break;
        }
    }
    XDR_DESTROY(&xdr);
    return good;
}

static void
read_datagrams(int fd, int events, void *arg)
{
    BkGossip *gossip = arg;
    char data[MAX_DATAGRAM];
    char text[ADDR_TEXT];
    struct sockaddr_in from;

    for (int i = 0; i < MAX_PER_WAKE; i++) {
        socklen_t from_len = sizeof(from);
        ssize_t n = recvfrom(fd, data, sizeof(data), 0,
                             (struct sockaddr *)&from, &from_len);
        if (n < 0) {
            return;
        }
        format_addr(&from, text, sizeof(text));
        if (!BkGossip_Take(gossip, data, (size_t)n, text)) {
            BkCounter_Add(gossip->garbage, 1);
        }
    }
}

BkGossip *
BkGossip_Create(BkLoop *loop, const char *listen,
                const BkGossipHandlers *handlers)
{
    struct sockaddr_in addr;

    if (parse_addr(listen, &addr) != BK_OK) {
        return NULL;
    }
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0) {
        BkErr_Set(BK_EIO, "gossip on %s: %s", listen, strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return NULL;
    }
    BkGossip *gossip = BkMem_New(1, sizeof(*gossip));
    gossip->fd = fd;
    gossip->handlers = *handlers;
    gossip->garbage = BkCounter_Get("bk_gossip_garbage_total", NULL,
                                    "datagrams that could not be decoded");
    gossip->watch =
        BkLoop_Watch(loop, fd, BK_LOOP_READ, read_datagrams, gossip);
    return gossip;
}

void
BkGossip_Destroy(BkGossip *gossip)
{
    if (gossip == NULL) {
        return;
    }
    BkWatch_Destroy(gossip->watch);
    close(gossip->fd);
    free(gossip);
}

static bool
encode_call(BkGossip *gossip, XDR *xdr, rpcproc_t proc)
{
    struct rpc_msg call = {0};

    call.rm_xid = gossip->next_xid++;
    call.rm_direction = CALL;
    call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
    call.rm_call.cb_prog = BKG_PROGRAM;
    call.rm_call.cb_vers = BKG_VERSION;
    call.rm_call.cb_proc = proc;
    return xdr_callmsg(xdr, &call);
}

static BkStatus
send_call(BkGossip *gossip, const char *to, rpcproc_t proc, const char *kind,
          xdrproc_t encode, const void *args)
{
    char data[MAX_DATAGRAM];
    struct sockaddr_in addr;
    XDR xdr;

    if (parse_addr(to, &addr) != BK_OK) {
        return BK_EINVAL;
    }
    xdrmem_create(&xdr, data, sizeof(data), XDR_ENCODE);
    bool good = encode_call(gossip, &xdr, proc) && encode(&xdr, (void *)args);
    size_t len = XDR_GETPOS(&xdr);
    XDR_DESTROY(&xdr);
    if (!good) {
        return BkErr_Set(BK_EDECODE, "a %s does not fit its message", kind);
    }
    count_message(kind, "out", len);
    if (sendto(gossip->fd, data, len, 0, (struct sockaddr *)&addr,
               sizeof(addr)) < 0) {
        return BkErr_Set(BK_EIO, "gossip to %s: %s", to, strerror(errno));
    }
    return BK_OK;
}

BkStatus
BkGossip_SendHello(BkGossip *gossip, const char *to, const bkg_hello *hello)
{
    return send_call(gossip, to, BKG_HELLO, "hello", (xdrproc_t)xdr_bkg_hello,
                     hello);
}

BkStatus
BkGossip_SendDemand(BkGossip *gossip, const char *to, const bkg_demand *demand)
{
    return send_call(gossip, to, BKG_DEMAND, "demand",
                     (xdrproc_t)xdr_bkg_demand, demand);
}
