/* fuzzes the HTTP/1.1 parser with the bytes of a caller and of an upstream,
   fed in pieces whose size is the first byte of the input + 1 */
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
read_fields(const BkH1Head *head, BkH1Kind kind)
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
parse(BkH1Kind kind, BkStr text, size_t piece_size)
{
    size_t body_size = 0;
    size_t size = text.len;
    BkH1Parser *parser =
        BkH1Parser_Create(kind, MAX_HEAD, count_body, &body_size);
    bool head_read = false;

    while (text.len > 0) {
        BkStr piece = {text.ptr,
                       text.len < piece_size ? text.len : piece_size};
        size_t consumed = BkH1Parser_Feed(parser, piece);
        BkH1State state = BkH1Parser_State(parser);
        if (consumed > piece.len || body_size > size) {
            __builtin_trap();
        }
        if (!head_read && (state == BK_H1_BODY || state == BK_H1_DONE)) {
            read_fields(BkH1Parser_Head(parser), kind);
            head_read = true;
        }
        text.ptr += consumed;
        text.len -= consumed;
        if (state == BK_H1_DONE) {
            BkH1Parser_Reset(parser, false);
            head_read = false;
        }
        else if (state == BK_H1_FAILED || consumed == 0) {
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
