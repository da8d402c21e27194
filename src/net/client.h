/*
 * client - declarations shared by the files of the HTTP client
 *
 * http_client.c runs libcurl's multi handle on the loop, and starts and ends
 * calls. http_options.c sets the options of a call and receives the data that
 * libcurl reads for it. http_head.c reads the lines of heads, and tells which
 * ones no response has: libcurl accepts most of them. For the same reason
 * chunked bodies are decoded by src/h1/body.c.
 *
 * Some functions of libcurl must not be called from its callbacks. What needs
 * them is deferred: the call is put into a list, which is processed when
 * libcurl has returned.
 */
#ifndef BK_NET_CLIENT_H
#define BK_NET_CLIENT_H

#include <curl/curl.h>

#include "bk/h1/body.h"
#include "bk/net/http_client.h"

typedef enum HttpCallState {
    CALL_PENDING, /* not yet given to libcurl */
    CALL_RUNNING,
    CALL_CANCELLED /* to be freed when libcurl has returned */
} HttpCallState;

struct BkHttpCall {
    BkHttpClient *client;
    CURL *easy;
    HttpCallState state;
    curl_socket_t socket; /* that it uses; CURL_SOCKET_BAD: none yet */
    /* a GET by BkHttpClient_Fetch, which libcurl may send again */
    bool may_resend;
    bool url_invalid; /* its host is not an address: not given to libcurl */
    bool paused;
    bool resume_pending; /* to be resumed when libcurl has returned */
    /* the response says where it ends; otherwise it cannot be known whether it
       is complete or was cut */
    bool length_known;
    bool no_body; /* a HEAD request */
    /* the head exceeds its limit, or the body that of fetched */
    bool too_large;
    size_t head_bytes; /* with interim responses */
    bool in_head;      /* after a status line, until the empty line */
    bool head_done;    /* the response head is complete */
    /* of the current head: Content-Length, Transfer-Encoding */
    bool has_length;
    bool chunked;
    int http_status;
    BkH1Body framed; /* if chunked: its body, in its framing */
    BkBuf decoded;   /* bytes of a chunked body for on_data */
    /* While the call is paused: bytes that libcurl passes again, and that
       decoded was made of. */
    size_t decoded_from;
    struct curl_slist *headers;
    BkBuf body;
    BkHttpCallSpec spec; /* the texts that it points to may have been freed */
    BkTimer *idle_timer;
    BkMs launched_at;
    BkMs last_byte_at; /* of the response; 0: none yet */
    bool idle_timed_out;
    BkHttpFetchFn fetch; /* NULL unless started by BkHttpClient_Fetch */
    void *fetch_arg;
    BkBuf fetched;    /* the response body, for fetch */
    bool is_deferred; /* in the client's list deferred */
    BkHttpCall *next_deferred;
    BkHttpCall *prev;
    BkHttpCall *next;
};

struct BkHttpClient {
    BkLoop *loop;
    CURLM *multi;
    BkTimer *timer;          /* of libcurl */
    BkTimer *deferred_timer; /* processes the list deferred */
    int curl_depth;          /* nested calls of libcurl in progress */
    BkHttpCall *first_call;
    BkHttpCall *deferred; /* calls to process when libcurl has returned */
};

/* Closes a socket for libcurl (arg: the client). It is reset if it was used by a
 * call without a response: what the network holds back of the request must not
 * arrive after the call has ended. */
int http_close_socket(void *arg, curl_socket_t fd);

/* Whether the host in the URL is an IPv4 address. For a host name, libcurl
 * would start a thread to look it up. */
bool http_is_numeric_url(const char *url);

/* Reads a line of a head, with its line end. Returns NULL, or what is wrong with
 * it, for the log: the response then counts as none. */
const char *http_read_head_line(BkHttpCall *call, BkStr line);

/* Sets all options of the call's handle and copies the texts of spec. */
void http_set_options(BkHttpCall *call, const BkHttpCallSpec *spec);

#endif
