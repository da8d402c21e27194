/*
 * http_client - HTTP client, with libcurl's multi interface on the loop
 *
 * Connections are pooled per target. If the server closes a pooled connection
 * on which a request was just sent, libcurl would silently send the request
 * again, though the server may have run the first one. This client prevents
 * that: the call ends with BK_EUNKNOWN. Only a GET by BkHttpClient_Fetch
 * may be sent again, since it only reads. The case cannot arise for a call
 * that asks for a new connection.
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
    /* BK_OK: a complete response was received, with any HTTP status.
       BK_ECONNECT: nothing was sent. BK_ETIMEOUT, BK_ETRUNCATED, BK_EUNKNOWN:
       bytes were sent and no complete response was received; BK_ETRUNCATED
       if its head was, BK_EUNKNOWN if not. BK_ETOOBIG: the head, or the body
       of BkHttpClient_Fetch, exceeds its limit. A response with a line that no
       response may have, or whose length is not clear, counts as none. */
    BkStatus status;
    int http_status; /* HTTP status; 0 if no response head was received */
    bool may_have_been_sent; /* a part of the request may have been sent */
    int64_t sent_bytes;      /* of the request, including its head */
    int64_t received_bytes;  /* of the response, including its head */
} BkHttpResult;

typedef struct BkHttpCallSpec {
    const char *method;         /* "GET", "POST", ... */
    const char *url;            /* http://ip:port/path */
    const char *const *headers; /* "Name: value", NULL at the end; or NULL */
    BkStr body;                 /* copied */
    BkMs connect_timeout;       /* 0: one second */
    BkMs timeout;               /* of the whole call; 0: none */
    BkMs first_byte_timeout;    /* until the response begins; 0: none */
    BkMs idle_timeout;   /* between two bytes of the response; 0: none */
    bool new_connection; /* on a new connection, which is not reused */
    /* the response head is complete; may be NULL */
    void (*on_head)(BkHttpCall *call, int http_status, void *arg);
    /* one header field of the response, before its head is known to be sound;
       may be NULL */
    void (*on_header)(BkHttpCall *call, BkStr name, BkStr value, void *arg);
    /* Bytes of the response body; may be NULL. Returns true if it used them.
       If it returns false, the call is paused until BkHttpCall_Resume, and
       then passes the same bytes again. */
    bool (*on_data)(BkHttpCall *call, BkStr data, void *arg);
    /* The call has ended and must not be used any more. Called exactly once,
       unless the call was cancelled. May be NULL. */
    void (*on_done)(const BkHttpResult *result, void *arg);
    void *arg;
} BkHttpCallSpec;

BkHttpClient *BkHttpClient_Create(BkLoop *loop);

/* Cancels all calls; no callback is called. */
void BkHttpClient_Destroy(BkHttpClient *client);

/* Starts a call. No callback is called before this function returns. The texts
 * that spec points to are copied. */
BkHttpCall *BkHttpClient_Start(BkHttpClient *client,
                               const BkHttpCallSpec *spec);

/* Continues a paused call. */
void BkHttpCall_Resume(BkHttpCall *call);

/* Aborts the call and closes its connection; on_done is not called. */
void BkHttpCall_Cancel(BkHttpCall *call);

/*
 * Makes a call with a small response: collects its body of up to max bytes and
 * then calls fn once, instead of on_data and on_done. A larger body ends the
 * call with BK_ETOOBIG. The body is valid only during fn.
 */
typedef void (*BkHttpFetchFn)(const BkHttpResult *result, BkStr body,
                              void *arg);
BkHttpCall *BkHttpClient_Fetch(BkHttpClient *client,
                               const BkHttpCallSpec *spec, size_t max,
                               BkHttpFetchFn fn, void *arg);

#endif
