/*
 * server - declarations shared by the files of the HTTP server
 *
 * http_server.c runs libmicrohttpd's daemon on the loop, http_request.c reads
 * requests, and http_reply.c creates the answers.
 */
#ifndef BK_NET_SERVER_H
#define BK_NET_SERVER_H

#include <microhttpd.h>

#include "bk/net/http_server.h"

enum {
    /* ms between checks whether callers have closed their connections */
    HTTP_CALLER_CHECK_PERIOD_MS = 250
};

typedef enum HttpReqState {
    REQ_READING,   /* the body is being received */
    REQ_REFUSED,   /* too large; the rest of the body is dropped */
    REQ_HANDLING,  /* passed to the handler, which has not answered yet */
    REQ_ANSWERED,  /* the complete answer was given */
    REQ_STREAMING, /* the answer is an open stream */
    REQ_ENDED      /* the handler has ended the stream */
} HttpReqState;

struct BkHttpReq {
    BkHttpServer *server;
    struct MHD_Connection *connection;
    struct MHD_Response *response; /* not yet queued; NULL: none, or queued */
    int http_status;
    char *target;
    size_t path_len;
    char *method;
    BkBuf body;
    size_t dropped_bytes; /* of a body that is too large */
    HttpReqState state;
    bool listed; /* in the server's list of requests */
    bool suspended;
    bool gone;     /* the caller has closed, or the server is destroyed */
    bool complete; /* the handler has given the whole answer */
    bool blocked;  /* a write found no room, and on_drain was not yet called */
    BkBuf out;     /* bytes of a stream not yet passed to libmicrohttpd */
    void (*on_drain)(void *arg);
    void *drain_arg;
    void (*on_close)(BkHttpReq *req, bool complete, void *arg);
    void *close_arg;
    BkHttpReq *prev;
    BkHttpReq *next;
};

struct BkHttpServer {
    BkLoop *loop;
    struct MHD_Daemon *daemon;
    BkWatch *watch;
    BkTimer *run_timer;
    BkTimer *caller_check_timer;
    BkHttpServerSpec spec;
    BkHttpReq *first_req;
    int active; /* requests in the list */
    bool quiesced;
};

/* Suspend and resume the connection of a request. libmicrohttpd continues a
 * resumed one in the next run of its daemon, which is scheduled at once. */
void http_resume(BkHttpReq *req);
void http_suspend(BkHttpReq *req);

/* Callbacks of libmicrohttpd: http_begin is called for the request line,
 * http_access for the head, for each part of the body and after the body,
 * http_finish at the end of the request. */
void *http_begin(void *cls, const char *uri,
                 struct MHD_Connection *connection);
enum MHD_Result http_access(void *cls, struct MHD_Connection *connection,
                            const char *url, const char *method,
                            const char *version, const char *data,
                            size_t *size, void **con_cls);
void http_finish(void *cls, struct MHD_Connection *connection, void **con_cls,
                 enum MHD_RequestTerminationCode reason);

#endif
