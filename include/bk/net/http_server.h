/*
 * http_server - HTTP in, by libmicrohttpd's epoll mode on the loop
 *
 * The handler is called once per request, when the body is complete. It (or
 * a later callback) answers with BkHttpReq_Reply, or opens a stream with
 * BkHttpReq_Stream and feeds it. Until then the connection is suspended. A
 * caller that closes, or shuts down its sending side, counts as gone.
 */
#ifndef BK_NET_HTTP_SERVER_H
#define BK_NET_HTTP_SERVER_H

#include <stdbool.h>

#include "bk/base/loop.h"
#include "bk/base/str.h"

typedef struct BkHttpServer BkHttpServer;
typedef struct BkHttpReq BkHttpReq;

typedef void (*BkHttpHandler)(BkHttpReq *req, void *arg);

typedef struct BkHttpServerSpec {
    const char *listen; /* "ip:port"; port 0 picks a free one */
    size_t max_body;    /* bytes; more is answered with BK_ETOOBIG */
    size_t max_header;  /* bytes in all; more with BK_EHEADERS */
    int max_connections;
    size_t stream_buffer; /* bytes held per stream for a slow reader */
    BkMs idle_timeout;    /* of a connection without a request */
    BkHttpHandler handler;
    void *arg;
} BkHttpServerSpec;

/* ERRORS: NULL with BK_EIO as the last message. */
BkHttpServer *BkHttpServer_Create(BkLoop *loop, const BkHttpServerSpec *spec);
void BkHttpServer_Destroy(BkHttpServer *server);

/* The port in use. */
int BkHttpServer_Port(const BkHttpServer *server);

/* Takes no new connections; requests in progress go on. */
void BkHttpServer_Quiesce(BkHttpServer *server);

/* Requests and streams in progress, those whose body still comes included. */
int BkHttpServer_Active(const BkHttpServer *server);

BkStr BkHttpReq_Method(const BkHttpReq *req);
BkStr BkHttpReq_Path(const BkHttpReq *req);   /* as sent, without the query */
BkStr BkHttpReq_Target(const BkHttpReq *req); /* as sent, with the query */
BkStr BkHttpReq_Body(const BkHttpReq *req);
BkStr BkHttpReq_Header(const BkHttpReq *req, const char *name); /* or "" */

/* Attached state and what is called when the caller goes away before the
 * answer is complete, or after it is: exactly once, at the very end. */
void BkHttpReq_OnClose(BkHttpReq *req,
                       void (*fn)(BkHttpReq *req, bool complete, void *arg),
                       void *arg);

/*
 * Whole answer. headers as "Name: value", NULL at the end, or NULL. The
 * body is copied.
 */
void BkHttpReq_Reply(BkHttpReq *req, int code, const char *const *headers,
                     BkStr content_type, BkStr body);

/*
 * The typed JSON error of docs/PROTOCOLS.md for a result code: HTTP status,
 * {"error":{"code","name","outcome","message"}}, and Retry-After if
 * retry_after is above 0 (rounded up to whole seconds).
 */
void BkHttpReq_Fail(BkHttpReq *req, BkStatus status, const char *message,
                    BkMs retry_after);

/* Opens a chunked stream; on_drain is called when the buffer has room. */
void BkHttpReq_Stream(BkHttpReq *req, int code, const char *const *headers,
                      BkStr content_type, void (*on_drain)(void *arg),
                      void *arg);

/* Adds bytes to an open stream. False, and nothing taken, if the buffer
 * has no room for all of them (an empty buffer takes any size). */
bool BkHttpReq_Write(BkHttpReq *req, BkStr bytes);

/* Ends a stream: complete, or cut so that the caller sees it as cut. */
void BkHttpReq_End(BkHttpReq *req, bool complete);

#endif
