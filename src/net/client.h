/*
 * client - what the files of the HTTP client share
 *
 * http_client.c owns libcurl's multi handle on the loop and the life of a
 * call, http_options.c sets a call up and takes what libcurl reads for it.
 */
#ifndef BK_NET_CLIENT_H
#define BK_NET_CLIENT_H

#include <curl/curl.h>

#include "bk/net/http_client.h"

enum {
    HTTP_FREE_HANDLES = 64
};

typedef enum HttpCallState {
    CALL_PENDING, /* not yet with libcurl */
    CALL_RUNNING,
    CALL_CANCELLED /* freed once libcurl is not calling us */
} HttpCallState;

struct BkHttpCall {
    BkHttpClient *client;
    CURL *easy;
    HttpCallState state;
    bool may_repeat; /* a read, which libcurl may send again */
    bool refused;    /* not a numeric address: never given to libcurl */
    bool paused;
    bool resume; /* once libcurl is not calling us */
    bool framed; /* the answer says how long it is */
    bool bodiless;
    bool too_big;
    bool head_done;
    int code;
    struct curl_slist *headers;
    BkBuf body;
    BkHttpSpec spec; /* its texts are gone */
    BkTimer *idle_timer;
    BkMs last_byte;
    bool idle_out;
    BkHttpFetchFn fetch;
    void *fetch_arg;
    BkBuf fetched;
    bool todo; /* in the client's list */
    BkHttpCall *next_todo;
    BkHttpCall *prev;
    BkHttpCall *next;
};

struct BkHttpClient {
    BkLoop *loop;
    CURLM *multi;
    BkTimer *timer;
    BkTimer *settle_timer;
    int depth; /* above 0 while libcurl may be calling us */
    BkHttpCall *first;
    BkHttpCall *todo; /* wait until libcurl is not calling us */
    CURL *handles[HTTP_FREE_HANDLES];
    int handle_count;
};

/* Anything else would make libcurl start a thread that looks names up. */
bool http_is_numeric(const char *url);

/* All options of the call's handle; the texts of spec are copied. */
void http_set_options(BkHttpCall *call, const BkHttpSpec *spec);

#endif
