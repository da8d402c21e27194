#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/entry/relay.h"

enum {
    NOTICE_TIMEOUT_MS = 2000,
    NOTICE_MAX_ANSWER_BYTES = 4096
};

#define RESUMED_PATH "/ops/resumed/"

/* A scheduled cancel of a request at an upstream. */
struct BkCancel {
    BkEntry *entry;
    BkTimer *timer;
    char request_id[BK_REQUEST_ID_BYTES];
    char addr[64];
    BkCancel *prev;
    BkCancel *next;
};

static void
free_cancel(BkCancel *cancel)
{
    if (cancel->prev != NULL) {
        cancel->prev->next = cancel->next;
    }
    else {
        cancel->entry->cancels = cancel->next;
    }
    if (cancel->next != NULL) {
        cancel->next->prev = cancel->prev;
    }
    BkTimer_Destroy(cancel->timer);
    free(cancel);
}

static void
ignore_answer(const BkHttpResult *result, BkStr body, void *arg)
{
    (void)result;
    (void)body;
    (void)arg;
}

/* sends a request whose answer does not matter */
static void
send_notice(BkEntry *entry, const char *method, const char *url)
{
    BkHttpCallSpec spec = {
        .method = method,
        .url = url,
        .timeout = NOTICE_TIMEOUT_MS,
    };

    BkHttpClient_Fetch(entry->daemon->http, &spec, NOTICE_MAX_ANSWER_BYTES,
                       ignore_answer, NULL);
}

static void
send_cancel(BkEntry *entry, const char *request_id, const char *addr)
{
    char url[256];

    snprintf(url, sizeof(url), "http://%s/v1/streams/%s", addr, request_id);
    BkCounter_Add(entry->counters.cancels, 1);
    send_notice(entry, "DELETE", url);
}

static void
on_cancel_timer(void *arg)
{
    BkCancel *cancel = arg;

    send_cancel(cancel->entry, cancel->request_id, cancel->addr);
    free_cancel(cancel);
}

void
BkCancel_Schedule(BkEntry *entry, const char *request_id, const char *addr,
                  BkMs after)
{
    if (after == 0) {
        send_cancel(entry, request_id, addr);
        return;
    }
    BkCancel *cancel = BkMem_New(1, sizeof(*cancel));
    cancel->entry = entry;
    snprintf(cancel->request_id, sizeof(cancel->request_id), "%s", request_id);
    snprintf(cancel->addr, sizeof(cancel->addr), "%s", addr);
    cancel->next = entry->cancels;
    if (cancel->next != NULL) {
        cancel->next->prev = cancel;
    }
    entry->cancels = cancel;
    cancel->timer =
        BkTimer_Create(entry->daemon->loop, on_cancel_timer, cancel);
    BkTimer_Start(cancel->timer, after);
}

void
BkCancel_Unschedule(BkEntry *entry, const char *request_id)
{
    BkCancel *next;

    for (BkCancel *cancel = entry->cancels; cancel != NULL; cancel = next) {
        next = cancel->next;
        if (strcmp(cancel->request_id, request_id) == 0) {
            free_cancel(cancel);
        }
    }
}

void
BkCancel_UnscheduleAt(BkEntry *entry, const char *request_id, const char *addr)
{
    BkCancel *next;

    for (BkCancel *cancel = entry->cancels; cancel != NULL; cancel = next) {
        next = cancel->next;
        if (strcmp(cancel->request_id, request_id) == 0 &&
            strcmp(cancel->addr, addr) == 0) {
            free_cancel(cancel);
        }
    }
}

void
BkCancel_UnscheduleAll(BkEntry *entry)
{
    while (entry->cancels != NULL) {
        free_cancel(entry->cancels);
    }
}

void
BkCancel_NotifyResumed(BkEntry *entry, const char *ops_address,
                       const char *request_id)
{
    char url[256];

    if (strcmp(ops_address, entry->conf.daemon.ops_address) == 0) {
        return;
    }
    snprintf(url, sizeof(url), "http://%s" RESUMED_PATH "%s", ops_address,
             request_id);
    send_notice(entry, "POST", url);
}

bool
BkCancel_HandleResumed(BkEntry *entry, BkHttpReq *req)
{
    BkStr path = BkHttpReq_Path(req);
    BkStr prefix = BK_STR(RESUMED_PATH);
    char request_id[BK_REQUEST_ID_BYTES];

    if (!BkStr_StartsWith(path, prefix)) {
        return false;
    }
    snprintf(request_id, sizeof(request_id), "%.*s",
             (int)(path.len - prefix.len), path.ptr + prefix.len);
    BkCancel_Unschedule(entry, request_id);
    for (BkRelay *relay = entry->relays; relay != NULL; relay = relay->next) {
        if (strcmp(relay->request_id, request_id) == 0) {
            relay->handed_over = true;
        }
    }
    BkHttpReq_Reply(req, 200, NULL, BK_STR("application/json"), BK_STR("{}"));
    return true;
}
