#include "bk/h1/body.h"

#include <string.h>

#include "bk/h1/syntax.h"

enum {
    /* bytes of a chunk's line by which an incomplete one is judged */
    LINE_BEGIN = 32
};

void
BkH1Body_Destroy(BkH1Body *body)
{
    BkH1Lines_Destroy(&body->lines);
}

void
BkH1Body_Begin(BkH1Body *body, const BkH1Head *head, bool has_body,
               size_t max_framing)
{
    BkH1Lines_Reset(&body->lines);
    body->left = head->length > 0 ? (uint64_t)head->length : 0;
    body->framing_size = 0;
    body->max_framing = max_framing;
    body->after_cr = false;
    if (!has_body) {
        body->state = BK_H1_BODY_COMPLETE;
    }
    else if (head->chunked) {
        body->state = BK_H1_BODY_CHUNK_LINE;
    }
    else if (head->until_close) {
        body->state = BK_H1_BODY_TO_CLOSE;
    }
    else {
        body->state = body->left > 0 ? BK_H1_BODY_LENGTH : BK_H1_BODY_COMPLETE;
    }
}

/* The value of a hexadecimal digit; -1: it is none. */
static int
hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if ((c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F')) {
        return (c | 0x20) - 'a' + 10;
    }
    return -1;
}

/* Whether the line of a chunk may begin so: an upstream that sends something
   else need not end it. */
static bool
may_be_chunk_line(BkStr text)
{
    size_t i = 0;

    while (i < text.len && i < LINE_BEGIN && hex_value(text.ptr[i]) >= 0) {
        i++;
    }
    return i > 0 && (i == text.len || i == LINE_BEGIN ||
                     strchr(" \t;\r", text.ptr[i]) != NULL);
}

static uint64_t
read_size(BkStr line)
{
    uint64_t size = 0;

    for (size_t i = 0; i < line.len && hex_value(line.ptr[i]) >= 0; i++) {
        size = size * 16 + (uint64_t)hex_value(line.ptr[i]);
    }
    return size;
}

static BkH1BodyState
handle_chunk_line(BkH1Body *body, BkStr line)
{
    if (!BkH1_IsChunkLine(line)) {
        return BK_H1_BODY_MALFORMED;
    }
    body->framing_size = 0;
    body->left = read_size(line);
    return body->left > 0 ? BK_H1_BODY_CHUNK : BK_H1_BODY_TRAILERS;
}

static BkH1BodyState
handle_trailer(BkStr line)
{
    if (line.len == 0) {
        return BK_H1_BODY_COMPLETE;
    }
    return BkH1_IsFieldLine(line) ? BK_H1_BODY_TRAILERS : BK_H1_BODY_MALFORMED;
}

/* Takes a line before a chunk, or of the trailers, and returns the state after
   it. */
static BkH1BodyState
take_line(BkH1Body *body, BkStr *data)
{
    size_t size = data->len;
    BkStr line;
    BkH1LineState line_state = BkH1Lines_Take(&body->lines, data, &line);
    bool in_trailers = body->state == BK_H1_BODY_TRAILERS;

    body->framing_size += size - data->len;
    if (body->framing_size > body->max_framing) {
        return BK_H1_BODY_MALFORMED;
    }
    switch (line_state) {
    case BK_H1_LINE_PARTIAL:
        return in_trailers || may_be_chunk_line(line) ? body->state
                                                      : BK_H1_BODY_MALFORMED;
    case BK_H1_LINE_COMPLETE:
        return in_trailers ? handle_trailer(line)
                           : handle_chunk_line(body, line);
    case BK_H1_LINE_MALFORMED:
        break;
    }
    return BK_H1_BODY_MALFORMED;
}

static BkH1BodyState
take_chunk_end(BkH1Body *body, BkStr *data)
{
    if (data->ptr[0] != (body->after_cr ? '\n' : '\r')) {
        return BK_H1_BODY_MALFORMED;
    }
    data->ptr++;
    data->len--;
    body->after_cr = !body->after_cr;
    return body->after_cr ? BK_H1_BODY_CHUNK_END : BK_H1_BODY_CHUNK_LINE;
}

/* Removes the bytes of the body or chunk from *data. */
static BkStr
take_bytes(BkH1Body *body, BkStr *data)
{
    BkStr part = *data;

    if (body->state != BK_H1_BODY_TO_CLOSE) {
        part.len = data->len < body->left ? data->len : (size_t)body->left;
        body->left -= part.len;
    }
    data->ptr += part.len;
    data->len -= part.len;
    return part;
}

/* Takes what comes next in *data, which is not empty, and returns the state
   after it. */
static BkH1BodyState
take_part(BkH1Body *body, BkStr *data, BkH1BodyFn on_body, void *arg)
{
    switch (body->state) {
    case BK_H1_BODY_LENGTH:
        on_body(take_bytes(body, data), arg);
        return body->left > 0 ? BK_H1_BODY_LENGTH : BK_H1_BODY_COMPLETE;
    case BK_H1_BODY_CHUNK:
        on_body(take_bytes(body, data), arg);
        return body->left > 0 ? BK_H1_BODY_CHUNK : BK_H1_BODY_CHUNK_END;
    case BK_H1_BODY_TO_CLOSE:
        on_body(take_bytes(body, data), arg);
        return BK_H1_BODY_TO_CLOSE;
    case BK_H1_BODY_CHUNK_LINE:
    case BK_H1_BODY_TRAILERS:
        return take_line(body, data);
    case BK_H1_BODY_CHUNK_END:
        return take_chunk_end(body, data);
    case BK_H1_BODY_COMPLETE:
    case BK_H1_BODY_MALFORMED:
        break;
    }
    return body->state;
}

size_t
BkH1Body_Feed(BkH1Body *body, BkStr data, BkH1BodyFn on_body, void *arg)
{
    BkStr rest = data;

    while (rest.len > 0 && body->state != BK_H1_BODY_COMPLETE &&
           body->state != BK_H1_BODY_MALFORMED) {
        body->state = take_part(body, &rest, on_body, arg);
    }
    return data.len - rest.len;
}

bool
BkH1Body_EndsWithClose(const BkH1Body *body)
{
    return body->state == BK_H1_BODY_TO_CLOSE;
}
