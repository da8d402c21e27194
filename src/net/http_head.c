#include <strings.h>

#include "bk/h1/syntax.h"
#include "client.h"

enum {
    MAX_LENGTH_DIGITS = 18, /* of Content-Length; fits an int64_t */
    HTTP_SWITCHING_PROTOCOLS = 101,
    HTTP_MIN_FINAL = 200,
    HTTP_NO_CONTENT = 204,
    HTTP_NOT_MODIFIED = 304,
    /* of a line before a chunk, or of all trailers; as of a head */
    MAX_FRAMING_BYTES = 64 * 1024
};

static bool
name_equals(BkStr name, BkStr other)
{
    return name.len == other.len &&
           strncasecmp(name.ptr, other.ptr, name.len) == 0;
}

static const char *
read_status_line(BkHttpCall *call, BkStr line)
{
    uint64_t http_status = 0;

    if (!BkH1_IsStatusLine(line)) {
        return "a status line that no response has";
    }
    BkStr_Split(&line, ' ');
    BkStr_ToU64(BkStr_Split(&line, ' '), &http_status);
    call->http_status = (int)http_status;
    call->in_head = true;
    call->has_length = false;
    call->chunked = false;
    return http_status == HTTP_SWITCHING_PROTOCOLS
               ? "a change of the protocol that was not asked for"
               : NULL;
}

/* whether a response with the call's status has no body and no length */
static bool
is_bodiless(const BkHttpCall *call)
{
    return call->http_status < HTTP_MIN_FINAL ||
           call->http_status == HTTP_NO_CONTENT;
}

static const char *
read_length(BkHttpCall *call, BkStr value)
{
    uint64_t length = 0;

    if (call->has_length) {
        return "more than one length";
    }
    if (value.len > MAX_LENGTH_DIGITS ||
        BkStr_ToU64(value, &length) != BK_OK) {
        return "a length that is not a number";
    }
    call->has_length = true;
    return length > 0 && is_bodiless(call) ? "a length where there is no body"
                                           : NULL;
}

static const char *
read_coding(BkHttpCall *call, BkStr value)
{
    if (call->chunked) {
        return "more than one transfer coding";
    }
    if (!name_equals(value, BK_STR("chunked"))) {
        return "a transfer coding other than chunked";
    }
    call->chunked = true;
    return is_bodiless(call) ? "a transfer coding where there is no body"
                             : NULL;
}

static const char *
read_field(BkHttpCall *call, BkStr line)
{
    const char *fault = NULL;

    if (!BkH1_IsFieldLine(line)) {
        return "a line that is no field";
    }
    BkStr name = BkStr_Split(&line, ':');
    BkStr value = BkStr_Trim(line);
    if (name_equals(name, BK_STR("Content-Length"))) {
        fault = read_length(call, value);
    }
    else if (name_equals(name, BK_STR("Transfer-Encoding"))) {
        fault = read_coding(call, value);
    }
    if (fault == NULL && call->has_length && call->chunked) {
        fault = "both a length and a transfer coding";
    }
    if (fault == NULL && call->spec.on_header != NULL &&
        call->http_status >= HTTP_MIN_FINAL) {
        call->spec.on_header(call, name, value, call->spec.arg);
    }
    return fault;
}

static void
end_head(BkHttpCall *call)
{
    call->in_head = false;
    if (call->http_status < HTTP_MIN_FINAL) {
        return; /* the head of the response follows */
    }
    bool has_body = !is_bodiless(call) &&
                    call->http_status != HTTP_NOT_MODIFIED && !call->no_body;
    call->head_done = true;
    call->length_known = !has_body || call->has_length || call->chunked;
    call->chunked = call->chunked && has_body;
    BkH1Body_Begin(&call->framed, &(BkH1Head){.chunked = true}, has_body,
                   MAX_FRAMING_BYTES);
    if (call->spec.on_head != NULL) {
        call->spec.on_head(call, call->http_status, call->spec.arg);
    }
}

const char *
http_read_head_line(BkHttpCall *call, BkStr line)
{
    if (line.len < 2 || line.ptr[line.len - 2] != '\r' ||
        line.ptr[line.len - 1] != '\n') {
        return "a line that does not end as lines do";
    }
    line.len -= 2;
    if (call->head_done) {
        return "a head after its head";
    }
    if (!call->in_head) {
        return read_status_line(call, line);
    }
    if (line.len > 0) {
        return read_field(call, line);
    }
    end_head(call);
    return NULL;
}
