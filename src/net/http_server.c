#include "server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bk/base/clock.h"

enum {
    /* bytes of memory per connection for the response's head and buffer */
    POOL_EXTRA_BYTES = 8 * 1024,
    LISTEN_BACKLOG = 1024
};

static void
run_daemon(BkHttpServer *server)
{
    MHD_UNSIGNED_LONG_LONG wait = 0;

    MHD_run(server->daemon);
    if (MHD_get_timeout(server->daemon, &wait) == MHD_YES) {
        BkTimer_Start(server->run_timer, (BkMs)wait);
    }
    else {
        BkTimer_Stop(server->run_timer);
    }
}

static void
handle_timer(void *arg)
{
    run_daemon(arg);
}

static void
handle_event(int fd, int events, void *arg)
{
    run_daemon(arg);
}

/* libmicrohttpd continues a resumed connection only in MHD_run */
void
http_resume(BkHttpReq *req)
{
    if (req->suspended) {
        req->suspended = false;
        MHD_resume_connection(req->connection);
        BkTimer_Start(req->server->run_timer, 0);
    }
}

void
http_suspend(BkHttpReq *req)
{
    if (!req->suspended) {
        req->suspended = true;
        MHD_suspend_connection(req->connection);
    }
}

static int
get_socket(const BkHttpReq *req)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        req->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

    return info == NULL ? -1 : info->connect_fd;
}

static bool
caller_closed(const BkHttpReq *req)
{
    char byte;

    ssize_t n = recv(get_socket(req), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/* Detects callers that have closed their connections. libmicrohttpd itself
   does not poll the socket of a suspended connection. Nor does it poll a
   socket again if the caller closed the connection together with the last
   bytes received of an unfinished body. */
static void
check_callers(void *arg)
{
    BkHttpServer *server = arg;

    for (BkHttpReq *req = server->first_req; req != NULL; req = req->next) {
        if (req->suspended && caller_closed(req)) {
            req->gone = true;
            http_resume(req);
        }
        else if (req->state < REQ_HANDLING && caller_closed(req)) {
            shutdown(get_socket(req), SHUT_RDWR);
        }
    }
    if (server->first_req != NULL) {
        BkTimer_Start(server->caller_check_timer, HTTP_CALLER_CHECK_PERIOD_MS);
    }
}

static BkStatus
parse_address(const char *text, struct sockaddr_in *out)
{
    BkStr rest = BkStr_FromC(text);
    BkStr host = BkStr_Split(&rest, ':');
    uint64_t port = 0;
    char ip[INET_ADDRSTRLEN];

    if (host.len >= sizeof(ip) || BkStr_ToU64(rest, &port) != BK_OK ||
        port > UINT16_MAX) {
        return BkErr_Set(BK_EIO, "\"%s\" is not ip:port", text);
    }
    memcpy(ip, host.ptr, host.len);
    ip[host.len] = '\0';
    *out = (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)port)};
    if (inet_pton(AF_INET, ip, &out->sin_addr) != 1) {
        return BkErr_Set(BK_EIO, "\"%s\" is not ip:port", text);
    }
    return BK_OK;
}

static struct MHD_Daemon *
start_daemon(BkHttpServer *server, struct sockaddr_in *address)
{
    const BkHttpServerSpec *spec = &server->spec;
    size_t pool = spec->max_header + spec->max_header / 2 + POOL_EXTRA_BYTES;
    BkMs idle = (spec->idle_timeout + BK_MS_PER_S - 1) / BK_MS_PER_S;

    return MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, http_access,
        server, MHD_OPTION_SOCK_ADDR, address, MHD_OPTION_URI_LOG_CALLBACK,
        http_begin, server, MHD_OPTION_NOTIFY_COMPLETED, http_finish, server,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, pool, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)spec->max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)idle, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        (unsigned)LISTEN_BACKLOG, MHD_OPTION_END);
}

BkHttpServer *
BkHttpServer_Create(BkLoop *loop, const BkHttpServerSpec *spec)
{
    struct sockaddr_in address;

    if (parse_address(spec->listen, &address) != BK_OK) {
        return NULL;
    }
    BkHttpServer *server = BkMem_New(1, sizeof(*server));
    server->loop = loop;
    server->spec = *spec;
    server->daemon = start_daemon(server, &address);
    if (server->daemon == NULL) {
        BkErr_Set(BK_EIO, "cannot listen on %s: %s", spec->listen,
                  strerror(errno));
        free(server);
        return NULL;
    }
    server->run_timer = BkTimer_Create(loop, handle_timer, server);
    server->caller_check_timer = BkTimer_Create(loop, check_callers, server);
    server->watch = BkLoop_Watch(
        loop,
        MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD)
            ->epoll_fd,
        BK_LOOP_READ, handle_event, server);
    return server;
}

void
BkHttpServer_Destroy(BkHttpServer *server)
{
    if (server == NULL) {
        return;
    }
    BkWatch_Destroy(server->watch);
    for (BkHttpReq *req = server->first_req; req != NULL; req = req->next) {
        req->gone = true;
        http_resume(req);
    }
    BkHttpServer_Quiesce(server);
    MHD_stop_daemon(server->daemon);
    BkTimer_Destroy(server->run_timer);
    BkTimer_Destroy(server->caller_check_timer);
    free(server);
}

int
BkHttpServer_Port(const BkHttpServer *server)
{
    return MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT)
        ->port;
}

void
BkHttpServer_Quiesce(BkHttpServer *server)
{
    if (server->quiesced) {
        return;
    }
    server->quiesced = true;
    MHD_socket fd = MHD_quiesce_daemon(server->daemon);
    if (fd != MHD_INVALID_SOCKET) {
        close(fd);
    }
}

int
BkHttpServer_CountActive(const BkHttpServer *server)
{
    return server->active;
}
