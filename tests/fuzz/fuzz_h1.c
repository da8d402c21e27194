/* bytes of callers and upstreams, cut into pieces by their first byte */
#include "bk/front/adapter.h"

#include "fuzz.h"

enum {
    MAX_HEAD = 1024
};

static void
count_body(BkStr data, void *arg)
{
    *(size_t *)arg += data.len;
}

static void
read_words(const BkH1Head *head, BkH1Kind kind)
{
    BkRequestFields caller;
    BkResponseFields upstream;

    switch (kind) {
    case BK_H1_REQUEST:
        BkAdapter_ReadRequestFields(head, &caller);
        break;
    case BK_H1_RESPONSE:
        BkAdapter_ReadResponseFields(head, &upstream);
        break;
    }
}

static void
parse(BkH1Kind kind, BkStr text, size_t step)
{
    size_t body = 0;
    size_t size = text.len;
    BkH1Parser *parser = BkH1Parser_Create(kind, MAX_HEAD, count_body, &body);
    bool seen = false;

    while (text.len > 0) {
        BkStr part = {text.ptr, text.len < step ? text.len : step};
        size_t n = BkH1Parser_Feed(parser, part);
        BkH1State state = BkH1Parser_State(parser);
        if (n > part.len || body > size) {
            __builtin_trap();
        }
        if (!seen && (state == BK_H1_BODY || state == BK_H1_DONE)) {
            read_words(BkH1Parser_Head(parser), kind);
            seen = true;
        }
        text.ptr += n;
        text.len -= n;
        if (state == BK_H1_DONE) {
            BkH1Parser_Reset(parser, false);
            seen = false;
        }
        else if (state == BK_H1_FAILED || n == 0) {
            break;
        }
    }
    BkH1Parser_OnClose(parser);
    BkH1Parser_Destroy(parser);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < 2) {
        return 0;
    }
    BkStr text = {(const char *)data + 1, size - 1};

    parse(BK_H1_REQUEST, text, (size_t)data[0] + 1);
    parse(BK_H1_RESPONSE, text, (size_t)data[0] + 1);
    return 0;
}
