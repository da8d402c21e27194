#include "bk/net/datagram.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <rpc/rpc_msg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bk/base/str.h"

enum {
    MAX_DATAGRAM_BYTES = 4096,
    /* datagrams read in one event, so that a flood of them cannot keep the
       loop from its other work */
    MAX_READS_PER_EVENT = 64,
    ADDR_BYTES = 32
};

struct BkDatagramSocket {
    int fd;
    BkWatch *watch;
    BkDatagramSpec spec;
    uint32_t next_xid;
    int64_t sent_bytes;
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
    char ip[ADDR_BYTES];
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

static const BkDatagramProc *
find_proc(const BkDatagramSocket *sock, rpcproc_t proc)
{
    for (int i = 0; i < sock->spec.count; i++) {
        if (sock->spec.procs[i].proc == proc) {
            return &sock->spec.procs[i];
        }
    }
    return NULL;
}

static bool
dispatch(const BkDatagramSocket *sock, const BkDatagramProc *proc, XDR *xdr,
         const char *from, size_t bytes)
{
    void *message = BkMem_New(1, proc->size);
    bool decoded = proc->codec(xdr, message);

    if (decoded) {
        count_message(proc->name, "in", bytes);
        proc->handle(message, from, sock->spec.arg);
    }
    xdr_free(proc->codec, message);
    free(message);
    return decoded;
}

bool
BkDatagram_Receive(BkDatagramSocket *sock, char *data, size_t len,
                   const char *from)
{
    struct rpc_msg call = {0};
    char cred[MAX_AUTH_BYTES];
    char verf[MAX_AUTH_BYTES];
    XDR xdr;
    bool decoded = false;

    call.rm_call.cb_cred.oa_base = cred;
    call.rm_call.cb_verf.oa_base = verf;
    xdrmem_create(&xdr, data, (u_int)len, XDR_DECODE);
    if (xdr_callmsg(&xdr, &call) && call.rm_direction == CALL &&
        call.rm_call.cb_rpcvers == RPC_MSG_VERSION &&
        call.rm_call.cb_prog == sock->spec.program &&
        call.rm_call.cb_vers == sock->spec.version) {
        const BkDatagramProc *proc = find_proc(sock, call.rm_call.cb_proc);
        decoded = proc != NULL && dispatch(sock, proc, &xdr, from, len);
    }
    XDR_DESTROY(&xdr);
    return decoded;
}

static void
read_datagrams(int fd, int events, void *arg)
{
    BkDatagramSocket *sock = arg;
    char data[MAX_DATAGRAM_BYTES];
    char text[ADDR_BYTES];
    struct sockaddr_in from;

    for (int i = 0; i < MAX_READS_PER_EVENT; i++) {
        socklen_t from_len = sizeof(from);
        ssize_t n = recvfrom(fd, data, sizeof(data), 0,
                             (struct sockaddr *)&from, &from_len);
        if (n < 0) {
            return;
        }
        format_addr(&from, text, sizeof(text));
        if (!BkDatagram_Receive(sock, data, (size_t)n, text)) {
            BkCounter_Add(sock->spec.dropped_counter, 1);
        }
    }
}

BkDatagramSocket *
BkDatagramSocket_Create(BkLoop *loop, const BkDatagramSpec *spec)
{
    struct sockaddr_in addr;

    if (parse_addr(spec->listen, &addr) != BK_OK) {
        return NULL;
    }
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0) {
        BkErr_Set(BK_EIO, "cannot open UDP socket on %s: %s", spec->listen,
                  strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return NULL;
    }
    BkDatagramSocket *sock = BkMem_New(1, sizeof(*sock));
    sock->fd = fd;
    sock->spec = *spec;
    sock->watch = BkLoop_Watch(loop, fd, BK_LOOP_READ, read_datagrams, sock);
    return sock;
}

void
BkDatagramSocket_Destroy(BkDatagramSocket *sock)
{
    if (sock == NULL) {
        return;
    }
    BkWatch_Destroy(sock->watch);
    close(sock->fd);
    free(sock);
}

static bool
encode_call(BkDatagramSocket *sock, XDR *xdr, rpcproc_t proc)
{
    struct rpc_msg call = {0};

    call.rm_xid = sock->next_xid++;
    call.rm_direction = CALL;
    call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
    call.rm_call.cb_prog = sock->spec.program;
    call.rm_call.cb_vers = sock->spec.version;
    call.rm_call.cb_proc = proc;
    return xdr_callmsg(xdr, &call);
}

BkStatus
BkDatagram_Send(BkDatagramSocket *sock, const char *to, rpcproc_t number,
                const void *message)
{
    const BkDatagramProc *proc = find_proc(sock, number);
    char data[MAX_DATAGRAM_BYTES];
    struct sockaddr_in addr;
    XDR xdr;

    if (parse_addr(to, &addr) != BK_OK) {
        return BK_EINVAL;
    }
    xdrmem_create(&xdr, data, sizeof(data), XDR_ENCODE);
    bool encoded =
        encode_call(sock, &xdr, number) && proc->codec(&xdr, (void *)message);
    size_t len = XDR_GETPOS(&xdr);
    XDR_DESTROY(&xdr);
    if (!encoded) {
        return BkErr_Set(BK_EDECODE, "a message %s cannot be encoded",
                         proc->name);
    }
    count_message(proc->name, "out", len);
    sock->sent_bytes += (int64_t)len;
    if (sendto(sock->fd, data, len, 0, (struct sockaddr *)&addr,
               sizeof(addr)) < 0) {
        return BkErr_Set(BK_EIO, "cannot send a datagram to %s: %s", to,
                         strerror(errno));
    }
    return BK_OK;
}

bool
BkDatagram_IsAddress(const char *to)
{
    struct sockaddr_in addr;

    return parse_addr(to, &addr) == BK_OK && addr.sin_port != 0;
}

int64_t
BkDatagram_SentBytes(const BkDatagramSocket *sock)
{
    return sock->sent_bytes;
}
