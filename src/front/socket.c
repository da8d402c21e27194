#include "socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bk/base/str.h"

enum {
    PROBE_AFTER = 2, /* s of silence until the first probe */
    PROBE_EVERY = 1, /* s */
    PROBES = 2
};

void
FrSocket_Tune(int fd, BkMs dead_after)
{
    int on = 1;
    int idle = PROBE_AFTER;
    int every = PROBE_EVERY;
    int probes = PROBES;
    unsigned ms = (unsigned)dead_after;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &every, sizeof(every));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static BkStatus
parse_address(const char *text, struct sockaddr_in *out)
{
    BkStr port = BkStr_FromC(text);
    BkStr host = BkStr_Split(&port, ':');
    char ip[INET_ADDRSTRLEN];
    uint64_t number;

    *out = (struct sockaddr_in){.sin_family = AF_INET};
    if (host.len >= sizeof(ip) || BkStr_ToU64(port, &number) != BK_OK ||
        number > UINT16_MAX) {
        return BkErr_Set(BK_EIO, "\"%s\" is not ip:port", text);
    }
    memcpy(ip, host.ptr, host.len);
    ip[host.len] = '\0';
    out->sin_port = htons((uint16_t)number);
    if (inet_pton(AF_INET, ip, &out->sin_addr) != 1) {
        return BkErr_Set(BK_EIO, "\"%s\" is not ip:port", text);
    }
    return BK_OK;
}

int
FrSocket_Listen(const char *address, int backlog)
{
    struct sockaddr_in at;
    int on = 1;

    if (parse_address(address, &at) != BK_OK) {
        return -1;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(fd, backlog) != 0) {
        BkErr_Set(BK_EIO, "cannot listen on %s: %s", address, strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return -1;
    }
    return fd;
}

int
FrSocket_Connect(const struct sockaddr_in *to, BkMs dead_after)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        BkErr_Set(BK_EIO, "no socket: %s", strerror(errno));
        return -1;
    }
    FrSocket_Tune(fd, dead_after);
    if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) != 0 &&
        errno != EINPROGRESS) {
        BkErr_Set(BK_EIO, "cannot connect: %s", strerror(errno));
        close(fd);
        return -1;
    }
    return fd;
}
