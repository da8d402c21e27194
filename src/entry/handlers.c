#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "bk/entry/codec.h"
#include "bk/entry/relay.h"

enum {
    HTTP_OK = 200,
    MAX_CHOSEN_ID_CHARS = 64, /* of a request id that a caller sends */
    /* appended to an id that the caller chose; an id that is only random has
       twice as many */
    RANDOM_SUFFIX_BYTES = 4,
    RETRY_AFTER_MS = 1000
};

#define APP_PREFIX BK_STR("/app/")

/* a request that is being handled */
typedef struct RequestContext {
    BkEntry *entry;
    BkHttpReq *req;
    char request_id[BK_REQUEST_ID_BYTES];
    int caller;
    const BkBundle *bundle;
} RequestContext;

void
BkEntry_ReplyError(BkHttpReq *req, const char *request_id, BkStatus status,
                   const char *message, BkMs retry_after)
{
    char id_header[BK_REQUEST_ID_BYTES + 32];
    char retry_header[64];
    const char *headers[3] = {NULL, NULL, NULL};
    int count = 0;
    BkBuf body = BkBuf_Make(0);

    if (request_id != NULL && request_id[0] != '\0') {
        snprintf(id_header, sizeof(id_header), "X-Request-Id: %s", request_id);
        headers[count++] = id_header;
    }
    if (retry_after > 0) {
        snprintf(retry_header, sizeof(retry_header), "Retry-After: %lld",
                 (long long)((retry_after + BK_MS_PER_S - 1) / BK_MS_PER_S));
        headers[count++] = retry_header;
    }
    BkError_Encode(status, message, retry_after, &body);
    BkHttpReq_Reply(req, BkStatus_Info(status)->http, headers,
                    BK_STR("application/json"), BkBuf_Str(&body));
    BkBuf_Destroy(&body);
}

static bool
is_id_char(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

/* Two callers may choose the same id, but an upstream identifies a stream by
 * its request id alone. The random suffix makes the ids distinct. */
BkStatus
BkEntry_MakeRequestId(const BkHttpReq *req, char *id, size_t size)
{
    BkStr chosen = BkHttpReq_Header(req, "X-Request-Id");
    unsigned char bytes[RANDOM_SUFFIX_BYTES * 2];
    char hex[sizeof(bytes) * 2 + 1];

    id[0] = '\0';
    for (size_t i = 0; i < chosen.len; i++) {
        if (chosen.len > MAX_CHOSEN_ID_CHARS || !is_id_char(chosen.ptr[i])) {
            return BkErr_Set(BK_EINVAL,
                             "X-Request-Id: up to %d of A-Z a-z 0-9 - _ .",
                             MAX_CHOSEN_ID_CHARS);
        }
    }
    randombytes_buf(bytes, sizeof(bytes));
    if (chosen.len == 0) {
        sodium_bin2hex(hex, sizeof(hex), bytes, sizeof(bytes));
        snprintf(id, size, "%s", hex);
    }
    else {
        sodium_bin2hex(hex, sizeof(hex), bytes, RANDOM_SUFFIX_BYTES);
        snprintf(id, size, "%.*s.%s", BK_STR_ARG(chosen), hex);
    }
    return BK_OK;
}

static void
refuse(const RequestContext *context, BkStatus status, const char *message)
{
    BkEntryCounters_NoteOutcome(status);
    BkEntry_ReplyError(context->req, context->request_id, status, message, 0);
}

static BkStatus
read_timeout(const RequestContext *context, BkMs *timeout)
{
    BkStr header = BkHttpReq_Header(context->req, "X-Deadline-Ms");
    uint64_t value = 0;

    *timeout = context->entry->conf.default_first_byte_timeout;
    if (header.len == 0) {
        return BK_OK;
    }
    if (BkStr_ToU64(header, &value) != BK_OK || value == 0 ||
        value > (uint64_t)context->entry->conf.max_first_byte_timeout) {
        return BkErr_Set(
            BK_EINVAL, "X-Deadline-Ms: allowed are 1 to %lld",
            (long long)context->entry->conf.max_first_byte_timeout);
    }
    *timeout = (BkMs)value;
    return BK_OK;
}

static BkStatus
check_idempotency_key(BkStr key)
{
    if (key.len == 0) {
        return BkErr_Set(BK_EKEYNEEDED,
                         "this call may not be repeated; it needs an "
                         "Idempotency-Key");
    }
    for (size_t i = 0; i < key.len; i++) {
        if (key.len > BK_CLAIM_MAX_KEY || key.ptr[i] < 0x21 ||
            key.ptr[i] > 0x7e) {
            return BkErr_Set(BK_EINVAL,
                             "Idempotency-Key: up to %d printable characters",
                             BK_CLAIM_MAX_KEY);
        }
    }
    return BK_OK;
}

static BkStatus
check_item(const RequestContext *context, int item, BkStr name)
{
    if (item < 0) {
        return BkErr_Set(BK_ENOMODEL, "\"%.*s\" is not in force",
                         BK_STR_ARG(name));
    }
    if (!BkBundle_Allows(context->bundle, context->caller, item)) {
        return BkErr_Set(BK_EDENIED, "\"%.*s\" is not for this caller",
                         BK_STR_ARG(name));
    }
    return BK_OK;
}

/* fills in and checks what all kinds of calls have in common */
static BkStatus
fill_spec(const RequestContext *context, int item, BkRelaySpec *spec)
{
    const BkItem *item_info = &context->bundle->items[item];

    spec->request_id = context->request_id;
    spec->caller = context->bundle->callers[context->caller].name;
    spec->item = item_info->name;
    spec->service = item_info->kind == BK_ITEM_SERVICE;
    spec->repeatable = item_info->repeatable;
    spec->idempotency_key = BkHttpReq_Header(context->req, "Idempotency-Key");
    BkStatus status = read_timeout(context, &spec->first_byte_timeout);
    if (status == BK_OK && !spec->repeatable) {
        status = check_idempotency_key(spec->idempotency_key);
    }
    return status;
}

static void
start_relay(const RequestContext *context, int item, BkRelaySpec *spec)
{
    BkStatus status = fill_spec(context, item, spec);

    if (status == BK_OK && !spec->repeatable && spec->stream) {
        status = BkErr_Set(BK_EINVAL, "a call that may not be repeated has "
                                      "no stream: its answer is recorded "
                                      "whole");
    }
    if (status != BK_OK) {
        refuse(context, status, BkErr_Last());
        return;
    }
    BkRelay_Start(context->entry, context->req, spec);
}

static void
serve_completion(const RequestContext *context)
{
    BkCompletion completion;
    BkStatus status =
        BkCompletion_Parse(&completion, BkHttpReq_Body(context->req));

    if (status != BK_OK) {
        refuse(context, status, BkErr_Last());
        return;
    }
    BkStr name = BkStr_FromC(completion.model);
    int item = BkBundle_FindItem(context->bundle, name);
    if (item >= 0 && context->bundle->items[item].kind == BK_ITEM_SERVICE) {
        item = -1;
    }
    status = check_item(context, item, name);
    if (status == BK_OK) {
        BkRelaySpec spec = {
            .stream = completion.stream,
            .prefix_hash = completion.prefix_hash,
        };
        start_relay(context, item, &spec);
    }
    else {
        refuse(context, status, BkErr_Last());
    }
    BkCompletion_Clear(&completion);
}

/* removes a leading dot, plain or as %2e; false if there is none */
static bool
skip_dot(BkStr *segment)
{
    size_t len = 0;

    if (segment->len > 0 && segment->ptr[0] == '.') {
        len = 1;
    }
    else if (segment->len >= 3 && strncasecmp(segment->ptr, "%2e", 3) == 0) {
        len = 3;
    }
    segment->ptr += len;
    segment->len -= len;
    return len > 0;
}

/* an upstream that resolves . and .. would serve paths outside of
 * /app/SERVICE */
static bool
has_dot_segment(BkStr path)
{
    while (path.len > 0) {
        BkStr segment = BkStr_Split(&path, '/');
        if (skip_dot(&segment) &&
            (segment.len == 0 || (skip_dot(&segment) && segment.len == 0))) {
            return true;
        }
    }
    return false;
}

static void
serve_app(const RequestContext *context)
{
    BkStr path = BkHttpReq_Path(context->req);
    BkStr prefix = APP_PREFIX;
    BkStr rest = {path.ptr + prefix.len, path.len - prefix.len};
    BkStr name = BkStr_Split(&rest, '/');
    int item = BkBundle_FindItem(context->bundle, name);
    BkRelaySpec spec = {0};

    if (item >= 0 && context->bundle->items[item].kind != BK_ITEM_SERVICE) {
        item = -1;
    }
    BkStatus status = check_item(context, item, name);
    if (status == BK_OK && has_dot_segment(path)) {
        status = BkErr_Set(BK_EINVAL, "the path has . or .. as a segment");
    }
    if (status != BK_OK) {
        refuse(context, status, BkErr_Last());
        return;
    }
    start_relay(context, item, &spec);
}

static const char *
kind_name(BkItemKind kind)
{
    switch (kind) {
    case BK_ITEM_MODEL:
        return "model";
    case BK_ITEM_ADAPTER:
        return "adapter";
    case BK_ITEM_SERVICE:
        break;
    }
    return "service";
}

static void
serve_models(const RequestContext *context)
{
    const BkBundle *bundle = context->bundle;
    json_t *list = json_array();

    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *item = &bundle->items[i];
        if (BkBundle_Allows(bundle, context->caller, i)) {
            json_array_append_new(list,
                                  json_pack("{ss ss ss sb}", "id", item->name,
                                            "kind", kind_name(item->kind),
                                            "version", item->version,
                                            "repeatable", item->repeatable));
        }
    }
    json_t *root = json_pack("{ss so}", "object", "list", "data", list);
    char *text = json_dumps(root, JSON_COMPACT);
    BkHttpReq_Reply(context->req, HTTP_OK, NULL, BK_STR("application/json"),
                    BkStr_FromC(text));
    free(text);
    json_decref(root);
}

static BkStatus
read_ticket(const RequestContext *context, BkTicket *ticket,
            uint64_t *last_event_id)
{
    const char *caller = context->bundle->callers[context->caller].name;
    BkStr sealed = BkHttpReq_Header(context->req, "X-Resume-Ticket");
    BkStr event_header = BkHttpReq_Header(context->req, "Last-Event-ID");
    BkStatus status =
        BkTicket_Open(ticket, sealed, context->entry->ticket_key);

    if (status == BK_OK && strcmp(ticket->caller, caller) != 0) {
        status = BkErr_Set(BK_ETICKET, "the ticket is another caller's");
    }
    *last_event_id = 0;
    if (status == BK_OK && event_header.len > 0 &&
        BkStr_ToU64(event_header, last_event_id) != BK_OK) {
        status = BkErr_Set(BK_EINVAL, "Last-Event-ID is not a number");
    }
    return status;
}

static void
serve_resume(const RequestContext *context)
{
    BkTicket ticket;
    BkRelaySpec spec = {.ticket = &ticket, .stream = true};
    BkStatus status = read_ticket(context, &ticket, &spec.last_event_id);

    if (status == BK_OK) {
        BkStr name = BkStr_FromC(ticket.item);
        int item = BkBundle_FindItem(context->bundle, name);
        status = check_item(context, item, name);
        if (status == BK_OK) {
            status = fill_spec(context, item, &spec);
        }
    }
    if (status != BK_OK) {
        refuse(context, status, BkErr_Last());
        return;
    }
    spec.request_id = ticket.request_id;
    BkRelay_Start(context->entry, context->req, &spec);
}

/* sorted by path */
static const struct {
    const char *path;
    const char *method; /* NULL: any */
    bool prefix;        /* also handles paths that start with it */
    void (*serve)(const RequestContext *context);
} handlers[] = {
    {"/app/", NULL, true, serve_app},
    {"/v1/chat/completions", "POST", false, serve_completion},
    {"/v1/completions", "POST", false, serve_completion},
    {"/v1/models", "GET", false, serve_models},
    {"/v1/resume", "GET", false, serve_resume},
};

enum {
    HANDLER_COUNT = sizeof(handlers) / sizeof(handlers[0])
};

static int
find_handler(BkStr path)
{
    for (int i = 0; i < HANDLER_COUNT; i++) {
        BkStr handler_path = BkStr_FromC(handlers[i].path);
        if (handlers[i].prefix ? BkStr_StartsWith(path, handler_path)
                               : BkStr_Equal(path, handler_path)) {
            return i;
        }
    }
    return -1;
}

static BkStatus
authenticate(RequestContext *context)
{
    BkStr field = BkHttpReq_Header(context->req, "Authorization");
    BkStr scheme = BK_STR("Bearer ");

    if (!BkStr_StartsWith(field, scheme)) {
        return BkErr_Set(BK_EAUTH, "Authorization: Bearer TOKEN is missing");
    }
    BkStr token = {field.ptr + scheme.len, field.len - scheme.len};
    context->caller = BkBundle_FindCaller(context->bundle, token);
    if (context->caller < 0) {
        return BkErr_Set(BK_EAUTH, "no caller has this token");
    }
    return BK_OK;
}

static void
dispatch(RequestContext *context)
{
    int handler = find_handler(BkHttpReq_Path(context->req));

    if (handler < 0) {
        refuse(context, BK_ENOTFOUND, "no such path");
        return;
    }
    if (handlers[handler].method != NULL &&
        !BkStr_Equal(BkHttpReq_Method(context->req),
                     BkStr_FromC(handlers[handler].method))) {
        refuse(context, BK_EINVAL, "the path takes another method");
        return;
    }
    handlers[handler].serve(context);
}

void
BkEntry_Handle(BkHttpReq *req, void *arg)
{
    BkEntry *entry = arg;
    RequestContext context = {
        .entry = entry,
        .req = req,
        .bundle = entry->daemon->bundle,
    };
    BkStatus status = BkEntry_MakeRequestId(req, context.request_id,
                                            sizeof(context.request_id));

    if (status != BK_OK) {
        refuse(&context, status, BkErr_Last());
        return;
    }
    if (entry->quiesced || context.bundle == NULL) {
        status = entry->quiesced ? BK_ESTOPPING : BK_ENOTREADY;
        BkEntryCounters_NoteOutcome(status);
        BkEntry_ReplyError(req, context.request_id, status, NULL,
                           RETRY_AFTER_MS);
        return;
    }
    status = authenticate(&context);
    if (status != BK_OK) {
        refuse(&context, status, BkErr_Last());
        return;
    }
    dispatch(&context);
}
