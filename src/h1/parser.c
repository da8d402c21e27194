#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "bk/h1/body.h"
#include "bk/h1/lines.h"
#include "bk/h1/syntax.h"
#include "framing.h"

enum {
    MAX_FIELDS = 96,
    /* a larger buffer for the head is freed after the message */
    MAX_KEPT_TEXT_BYTES = 8 * 1024
};

/* a part of head_text */
typedef struct Span {
    uint32_t offset;
    uint32_t len;
} Span;

struct BkH1Parser {
    http_parser http;
    BkH1Kind kind;
    BkH1State state;
    BkH1Fault fault;
    size_t max_head;
    size_t head_bytes; /* received of the head so far */
    BkH1Lines lines;   /* of the head */
    bool start_line_seen;
    bool bodiless; /* a response to a HEAD request */
    /* target, names and values of the fields, one after the other */
    BkBuf head_text;
    Span target;
    Span names[MAX_FIELDS];
    Span values[MAX_FIELDS];
    int count;
    bool in_value; /* the last part received was of a value */
    BkH1Field fields[MAX_FIELDS];
    BkH1Head head;
    BkH1Body body;
    BkH1BodyFn on_body;
    void *arg;
};

static int
append_text(BkH1Parser *parser, Span *span, const char *data, size_t len)
{
    if (span->len == 0) {
        span->offset = (uint32_t)parser->head_text.len;
    }
    span->len += (uint32_t)len;
    return BkBuf_Append(&parser->head_text, (BkStr){data, len}) == BK_OK ? 0
                                                                         : 1;
}

static int
handle_target(http_parser *http, const char *data, size_t len)
{
    BkH1Parser *parser = http->data;

    return append_text(parser, &parser->target, data, len);
}

static int
handle_name(http_parser *http, const char *data, size_t len)
{
    BkH1Parser *parser = http->data;

    if (parser->in_value || parser->count == 0) {
        if (parser->count == MAX_FIELDS) {
            parser->fault = BK_H1_HEAD_TOO_LARGE;
            return 1;
        }
        parser->in_value = false;
        parser->names[parser->count] = (Span){0, 0};
        parser->values[parser->count] = (Span){0, 0};
        parser->count++;
    }
    return append_text(parser, &parser->names[parser->count - 1], data, len);
}

static int
handle_value(http_parser *http, const char *data, size_t len)
{
    BkH1Parser *parser = http->data;

    parser->in_value = true;
    return append_text(parser, &parser->values[parser->count - 1], data, len);
}

static BkStr
span_str(const BkH1Parser *parser, Span span)
{
    return (BkStr){parser->head_text.ptr + span.offset, span.len};
}

/* Returns false if no message may have such a head. */
static bool
build_head(BkH1Parser *parser)
{
    const http_parser *http = &parser->http;
    BkH1Head *head = &parser->head;

    for (int i = 0; i < parser->count; i++) {
        parser->fields[i].name = span_str(parser, parser->names[i]);
        parser->fields[i].value =
            BkStr_Trim(span_str(parser, parser->values[i]));
    }
    *head = (BkH1Head){.minor = http->http_minor,
                       .fields = parser->fields,
                       .count = parser->count,
                       .keep_alive = http_should_keep_alive(http) != 0};
    if (parser->kind == BK_H1_REQUEST) {
        head->method =
            BkStr_FromC(http_method_str((enum http_method)http->method));
        head->target = span_str(parser, parser->target);
    }
    else {
        head->http_status = (int)http->status_code;
    }
    return BkH1Head_ReadFraming(head, parser->kind, parser->bodiless);
}

static int
handle_head_end(http_parser *http)
{
    BkH1Parser *parser = http->data;

    http->upgrade = 0; /* changing to another protocol is not supported */
    if (http->http_major != 1 || !build_head(parser)) {
        return -1;
    }
    parser->state = BK_H1_BODY;
    return 1; /* it does not read the body */
}

static const http_parser_settings callbacks = {
    .on_url = handle_target,
    .on_header_field = handle_name,
    .on_header_value = handle_value,
    .on_headers_complete = handle_head_end,
};

BkH1Parser *
BkH1Parser_Create(BkH1Kind kind, size_t max_head, BkH1BodyFn on_body,
                  void *arg)
{
    BkH1Parser *parser = BkMem_New(1, sizeof(*parser));

    parser->kind = kind;
    parser->max_head = max_head;
    parser->on_body = on_body;
    parser->arg = arg;
    parser->head_text = BkBuf_Make(max_head);
    BkH1Parser_Reset(parser, false);
    return parser;
}

void
BkH1Parser_Destroy(BkH1Parser *parser)
{
    if (parser == NULL) {
        return;
    }
    BkBuf_Destroy(&parser->head_text);
    BkH1Lines_Destroy(&parser->lines);
    BkH1Body_Destroy(&parser->body);
    free(parser);
}

void
BkH1Parser_Reset(BkH1Parser *parser, bool bodiless)
{
    http_parser_init(&parser->http, parser->kind == BK_H1_REQUEST
                                        ? HTTP_REQUEST
                                        : HTTP_RESPONSE);
    parser->http.data = parser;
    parser->state = BK_H1_IDLE;
    parser->fault = BK_H1_NO_FAULT;
    parser->head_bytes = 0;
    BkH1Lines_Reset(&parser->lines);
    parser->start_line_seen = false;
    parser->bodiless = bodiless;
    parser->target = (Span){0, 0};
    parser->count = 0;
    parser->in_value = false;
    if (parser->head_text.cap > MAX_KEPT_TEXT_BYTES) {
        BkBuf_Destroy(&parser->head_text);
    }
    BkBuf_Clear(&parser->head_text);
}

static void
set_fault(BkH1Parser *parser, BkH1Fault fault)
{
    parser->state = BK_H1_FAILED;
    if (parser->fault == BK_H1_NO_FAULT) {
        parser->fault = fault;
    }
}

/* Sets *complete if the line ends the head. Returns whether a head may hold
   it. */
static bool
accept_line(BkH1Parser *parser, BkStr line, bool *complete)
{
    if (line.len == 0) {
        *complete = parser->start_line_seen;
        /* an empty line may come before a request */
        return *complete || parser->kind == BK_H1_REQUEST;
    }
    if (!parser->start_line_seen) {
        parser->start_line_seen = true;
        return parser->kind == BK_H1_REQUEST ? BkH1_IsRequestLine(line)
                                             : BkH1_IsStatusLine(line);
    }
    return BkH1_IsFieldLine(line);
}

/* Checks the lines of the head in data. Returns how many bytes of data belong
   to the head; sets *complete if the head ends there. */
static size_t
scan_head(BkH1Parser *parser, BkStr data, bool *complete)
{
    BkStr rest = data;
    BkStr line;

    while (rest.len > 0 && !*complete && parser->state == BK_H1_HEAD) {
        switch (BkH1Lines_Take(&parser->lines, &rest, &line)) {
        case BK_H1_LINE_PARTIAL:
            break;
        case BK_H1_LINE_COMPLETE:
            if (!accept_line(parser, line, complete)) {
                set_fault(parser, BK_H1_MALFORMED);
            }
            break;
        case BK_H1_LINE_MALFORMED:
            set_fault(parser, BK_H1_MALFORMED);
            break;
        }
    }
    return data.len - rest.len;
}

static void
begin_body(BkH1Parser *parser)
{
    BkH1Body_Begin(
        &parser->body, &parser->head,
        BkH1Head_HasBody(&parser->head, parser->kind, parser->bodiless),
        parser->max_head);
    if (parser->body.state == BK_H1_BODY_COMPLETE) {
        parser->state = BK_H1_DONE;
    }
}

static size_t
feed_head(BkH1Parser *parser, BkStr data)
{
    bool complete = false;

    parser->state = BK_H1_HEAD;
    size_t len = scan_head(parser, data, &complete);
    parser->head_bytes += len;
    if (parser->state == BK_H1_FAILED) {
        return len;
    }
    if (parser->head_bytes > parser->max_head) {
        set_fault(parser, BK_H1_HEAD_TOO_LARGE);
        return len;
    }
    http_parser_execute(&parser->http, &callbacks, data.ptr, len);
    if (HTTP_PARSER_ERRNO(&parser->http) != HPE_OK ||
        complete != (parser->state == BK_H1_BODY)) {
        set_fault(parser, BK_H1_MALFORMED);
    }
    else if (complete) {
        begin_body(parser);
    }
    return len;
}

static size_t
feed_body(BkH1Parser *parser, BkStr data)
{
    size_t n =
        BkH1Body_Feed(&parser->body, data, parser->on_body, parser->arg);

    if (parser->body.state == BK_H1_BODY_COMPLETE) {
        parser->state = BK_H1_DONE;
    }
    else if (parser->body.state == BK_H1_BODY_MALFORMED) {
        set_fault(parser, BK_H1_MALFORMED);
    }
    return n;
}

size_t
BkH1Parser_Feed(BkH1Parser *parser, BkStr data)
{
    size_t n = 0;

    if (data.len == 0) {
        return 0;
    }
    switch (parser->state) {
    case BK_H1_IDLE:
    case BK_H1_HEAD:
        n = feed_head(parser, data);
        break;
    case BK_H1_BODY:
        n = feed_body(parser, data);
        break;
    case BK_H1_DONE:
    case BK_H1_FAILED:
        break;
    }
    if (parser->state == BK_H1_DONE && parser->kind == BK_H1_RESPONSE &&
        parser->head.http_status / 100 == 1) {
        bool bodiless = parser->bodiless;
        if (parser->head.http_status == 101) {
            set_fault(parser, BK_H1_MALFORMED);
            return n;
        }
        /* an interim response (1xx) is skipped */
        BkH1Parser_Reset(parser, bodiless);
        n += BkH1Parser_Feed(parser, (BkStr){data.ptr + n, data.len - n});
    }
    return n;
}

void
BkH1Parser_OnClose(BkH1Parser *parser)
{
    if (parser->state == BK_H1_BODY && BkH1Body_EndsWithClose(&parser->body)) {
        parser->state = BK_H1_DONE;
    }
    if (parser->state != BK_H1_DONE) {
        set_fault(parser, BK_H1_MALFORMED);
    }
}

BkH1State
BkH1Parser_State(const BkH1Parser *parser)
{
    return parser->state;
}

BkH1Fault
BkH1Parser_Fault(const BkH1Parser *parser)
{
    return parser->fault;
}

const BkH1Head *
BkH1Parser_Head(const BkH1Parser *parser)
{
    return &parser->head;
}
