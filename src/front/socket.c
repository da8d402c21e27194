#include "socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bk/base/str.h"

enum {
    KEEPALIVE_IDLE = 2,     /* s without data before the first probe */
    KEEPALIVE_INTERVAL = 1, /* s between probes */
    KEEPALIVE_PROBES = 2    /* unanswered probes that end the connection */
};

void
FrSocket_SetOptions(int fd, BkMs unacked_timeout)
{
    int on = 1;
    int idle_s = KEEPALIVE_IDLE;
    int interval_s = KEEPALIVE_INTERVAL;
    int probes = KEEPALIVE_PROBES;
    unsigned user_timeout_ms = (unsigned)unacked_timeout;
    int receive_buffer = FR_RECEIVE_BUFFER;

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
               sizeof(interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

void
FrSocket_ResetOnClose(int fd)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static BkStatus
parse_address(const char *text, struct sockaddr_in *out)
{
    BkStr port = BkStr_FromC(text);
    BkStr host = BkStr_Split(&port, ':');
    char ip[INET_ADDRSTRLEN];
    uint64_t port_number;

    *out = (struct sockaddr_in){.sin_family = AF_INET};
    if (host.len >= sizeof(ip) || BkStr_ToU64(port, &port_number) != BK_OK ||
        port_number > UINT16_MAX) {
        return BkErr_Set(BK_EIO, "\"%s\" is not ip:port", text);
    }
    memcpy(ip, host.ptr, host.len);
    ip[host.len] = '\0';
    out->sin_port = htons((uint16_t)port_number);
    if (inet_pton(AF_INET, ip, &out->sin_addr) != 1) {
        return BkErr_Set(BK_EIO, "\"%s\" is not ip:port", text);
    }
    return BK_OK;
}

int
FrSocket_Listen(const char *address, int backlog)
{
    struct sockaddr_in sockaddr;
    int on = 1;

    if (parse_address(address, &sockaddr) != BK_OK) {
        return -1;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (fd < 0 ||
        bind(fd, (struct sockaddr *)&sockaddr, sizeof(sockaddr)) != 0 ||
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
FrSocket_Connect(const struct sockaddr_in *sockaddr, BkMs unacked_timeout)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        BkErr_Set(BK_EIO, "cannot create a socket: %s", strerror(errno));
        return -1;
    }
    FrSocket_SetOptions(fd, unacked_timeout);
    if (connect(fd, (const struct sockaddr *)sockaddr, sizeof(*sockaddr)) !=
            0 &&
        errno != EINPROGRESS) {
        BkErr_Set(BK_EIO, "cannot connect: %s", strerror(errno));
        close(fd);
        return -1;
    }
    return fd;
}
