/*
 * http_server - HTTP server, with libmicrohttpd's epoll mode on the loop
 *
 * The handler is called once per request, when the body is complete. The
 * handler, or a later callback, answers with BkHttpReq_Reply, or opens a
 * stream with BkHttpReq_StartStream and writes to it. Until then the
 * connection is suspended. A caller that closes the connection, or shuts down
 * its sending side, is treated as gone.
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
    const char *listen; /* "ip:port"; port 0: any free one */
    size_t max_body;    /* bytes; a larger one is answered with BK_ETOOBIG */
    /* bytes of the request head; a larger one is answered with BK_EHEADERS */
    size_t max_header;
    int max_connections;
    size_t stream_buffer; /* bytes buffered per stream for a slow reader */
    BkMs idle_timeout;    /* of a connection without a request */
    BkHttpHandler handler;
    void *arg;
} BkHttpServerSpec;

/* Starts to listen. Returns NULL with an error message set (BkErr_Last) if the
 * address is not valid or cannot be listened on. */
BkHttpServer *BkHttpServer_Create(BkLoop *loop, const BkHttpServerSpec *spec);
void BkHttpServer_Destroy(BkHttpServer *server);

/* The port that the server listens on. */
int BkHttpServer_Port(const BkHttpServer *server);

/* Accepts no new connections; requests in progress continue. */
void BkHttpServer_Quiesce(BkHttpServer *server);

/* Number of requests and streams in progress, including requests whose body is
 * still being received. */
int BkHttpServer_CountActive(const BkHttpServer *server);

BkStr BkHttpReq_Method(const BkHttpReq *req);
BkStr BkHttpReq_Path(const BkHttpReq *req);   /* as sent, without the query */
BkStr BkHttpReq_Target(const BkHttpReq *req); /* as sent, with the query */
BkStr BkHttpReq_Body(const BkHttpReq *req);
BkStr BkHttpReq_Header(const BkHttpReq *req, const char *name); /* or "" */

/* Sets a function that is called exactly once, when the request ends and just
 * before it is freed. complete tells whether the whole answer was sent: it is
 * false if the caller has gone or the answer was cut. */
void BkHttpReq_OnClose(BkHttpReq *req,
                       void (*fn)(BkHttpReq *req, bool complete, void *arg),
                       void *arg);

/*
 * Sends a complete answer. headers are like "Name: value", with NULL at the
 * end; or NULL. The body is copied.
 */
void BkHttpReq_Reply(BkHttpReq *req, int http_status,
                     const char *const *headers, BkStr content_type,
                     BkStr body);

/*
 * Answers with the JSON error of docs/PROTOCOLS.md for a result code: its HTTP
 * status and {"error":{"code","name","outcome","message"}}. If retry_after is
 * above 0, adds "retry_after_ms" to the error, and a Retry-After header that
 * is rounded up to whole seconds. A NULL message stands for the text of the
 * code.
 */
void BkHttpReq_ReplyError(BkHttpReq *req, BkStatus status, const char *message,
                          BkMs retry_after);

/* Starts a chunked answer. After BkHttpReq_Write has returned false, on_drain
 * (may be NULL) is called when the buffer has room again. */
void BkHttpReq_StartStream(BkHttpReq *req, int http_status,
                           const char *const *headers, BkStr content_type,
                           void (*on_drain)(void *arg), void *arg);

/* Adds bytes to an open stream. Returns false and adds nothing if the buffer
 * has no room for all of them; an empty buffer accepts any size. */
bool BkHttpReq_Write(BkHttpReq *req, BkStr bytes);

/* Ends a stream. If it is not complete, the connection is closed without the
 * last chunk, so that the caller notices that the stream was cut. */
void BkHttpReq_EndStream(BkHttpReq *req, bool complete);

#endif
