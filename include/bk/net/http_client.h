/*
 * http_client - HTTP calls out, by libcurl's multi interface on the loop
 *
 * Connections are pooled per target. libcurl would silently send a request
 * again when a pooled connection turns out dead; that is refused and ends the
 * call in BK_EUNKNOWN, since the first one may have run. Only a GET by
 * BkHttpClient_Fetch, a read between programs, is sent again. A call with
 * once set goes out on a fresh connection, where the case does not arise.
 */
#ifndef BK_NET_HTTP_CLIENT_H
#define BK_NET_HTTP_CLIENT_H

#include <stdbool.h>

#include "bk/base/clock.h"
#include "bk/base/loop.h"
#include "bk/base/str.h"

typedef struct BkHttpClient BkHttpClient;
typedef struct BkHttpCall BkHttpCall;

typedef struct BkHttpResult {
    BkStatus status; /* BK_OK: a whole response came, whatever its code.
                         BK_ECONNECT: nothing was put on the wire.
                         BK_ETIMEOUT, BK_ETRUNCATED, BK_EUNKNOWN: bytes
                         went out and no whole response came. */
    int code;        /* HTTP status; 0 if no response head came */
    bool sent;       /* some byte of the request may be on the wire */
    int64_t sent_bytes;
    int64_t got_bytes;
} BkHttpResult;

typedef struct BkHttpSpec {
    const char *method;         /* "GET", "POST", ... */
    const char *url;            /* http://ip:port/path */
    const char *const *headers; /* "Name: value", NULL at the end, or NULL */
    BkStr body;                 /* copied */
    BkMs connect_timeout;       /* 0: one second */
    BkMs timeout;               /* whole call; 0: none */
    BkMs idle_timeout;          /* between two bytes of answer; 0: none */
    bool once;                  /* on a fresh connection */
    /* response head is complete; may be NULL */
    void (*on_head)(BkHttpCall *call, int code, void *arg);
    /* one header field of the response; may be NULL */
    void (*on_header)(BkHttpCall *call, BkStr name, BkStr value, void *arg);
    /* body bytes; true takes them, false pauses until BkHttpCall_Resume,
       after which the same bytes are offered again */
    bool (*on_data)(BkHttpCall *call, BkStr data, void *arg);
    /* exactly once, unless cancelled; the call is freed afterwards */
    void (*on_done)(const BkHttpResult *result, void *arg);
    void *arg;
} BkHttpSpec;

BkHttpClient *BkHttpClient_Create(BkLoop *loop);

/* Cancels what is still running; no callback is called. */
void BkHttpClient_Destroy(BkHttpClient *client);

/* Starts a call; never calls back before it returns. */
BkHttpCall *BkHttpClient_Start(BkHttpClient *client, const BkHttpSpec *spec);

/* Lets a paused call go on. */
void BkHttpCall_Resume(BkHttpCall *call);

/* Aborts the call and closes its connection; on_done is not called. */
void BkHttpCall_Cancel(BkHttpCall *call);

/*
 * Whole small exchanges: collects up to max bytes of answer, then calls fn
 * once. A larger answer gives BK_ETOOBIG. body is valid during fn only.
 */
typedef void (*BkHttpFetchFn)(const BkHttpResult *result, BkStr body,
                              void *arg);
BkHttpCall *BkHttpClient_Fetch(BkHttpClient *client, const BkHttpSpec *spec,
                               size_t max, BkHttpFetchFn fn, void *arg);

#endif
