/*
 * server - what the files of the HTTP server share
 *
 * http_server.c owns the daemon on the loop, http_request.c reads requests,
 * http_reply.c makes the answers.
 */
#ifndef BK_NET_SERVER_H
#define BK_NET_SERVER_H

#include <microhttpd.h>

#include "bk/net/http_server.h"

enum {
    HTTP_SWEEP_PERIOD = 250 /* ms between looks for callers gone */
};

typedef enum HttpReqState {
    REQ_READING,   /* the body is still coming */
    REQ_REFUSED,   /* too large; the rest of the body is dropped */
    REQ_WAITING,   /* with the handler */
    REQ_ANSWERED,  /* whole answer made */
    REQ_STREAMING, /* stream open */
    REQ_ENDED      /* stream ended by the handler */
} HttpReqState;

struct BkHttpReq {
    BkHttpServer *server;
    struct MHD_Connection *connection;
    struct MHD_Response *response; /* made, not queued yet */
    int code;
    char *target;
    size_t path_len;
    char *method;
    BkBuf body;
    size_t dropped; /* bytes of an oversized body */
    HttpReqState state;
    bool counted; /* in the server's list */
    bool suspended;
    bool gone;     /* the caller has closed, or the server closes */
    bool complete; /* the handler gave all of the answer */
    bool blocked;  /* a write found no room since the last drain */
    BkBuf out;
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
    BkTimer *sweep_timer;
    BkHttpServerSpec spec;
    BkHttpReq *first;
    int active;
    bool quiesced;
};

/* A resumed connection moves only in the daemon's next run. */
void http_resume(BkHttpReq *req);
void http_suspend(BkHttpReq *req);

/* Callbacks of libmicrohttpd: the first line, the head and body, the end. */
void *http_begin(void *cls, const char *uri,
                 struct MHD_Connection *connection);
enum MHD_Result http_access(void *cls, struct MHD_Connection *connection,
                            const char *url, const char *method,
                            const char *version, const char *data,
                            size_t *size, void **con_cls);
void http_finish(void *cls, struct MHD_Connection *connection, void **con_cls,
                 enum MHD_RequestTerminationCode why);

#endif
