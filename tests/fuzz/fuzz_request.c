/* fuzzes the way of a request from its bytes to what is known of it: any split
   of the bytes must lead to the same */
#include <stdlib.h>
#include <string.h>

#include "bk/front/adapter.h"

#include "fuzz.h"

enum {
    MAX_HEAD = 1024
};

static void
ignore_body(BkStr data, void *arg)
{
}

/* Feeds data in parts of step bytes, up to the end of the message. */
static BkH1Parser *
parse(BkStr data, size_t step)
{
    BkH1Parser *parser =
        BkH1Parser_Create(BK_H1_REQUEST, MAX_HEAD, ignore_body, NULL);

    while (data.len > 0 && BkH1Parser_State(parser) != BK_H1_DONE &&
           BkH1Parser_State(parser) != BK_H1_FAILED) {
        size_t len = data.len < step ? data.len : step;
        size_t n = BkH1Parser_Feed(parser, (BkStr){data.ptr, len});
        data.ptr += n;
        data.len -= n;
    }
    return parser;
}

static void
check_fields(const BkH1Head *head, const BkRequestFields *fields)
{
    if (fields->adapter.len > 0 && fields->model.len == 0) {
        abort();
    }
    if (fields->model.len > 0 &&
        memchr(fields->model.ptr, '/', fields->model.len) != NULL) {
        abort();
    }
    if (fields->until_deadline == 0 &&
        BkH1Head_Find(head, "X-Deadline-Ms").len > 0) {
        abort();
    }
    if (fields->part_count < 0 || fields->part_count > BK_MAX_PROMPT_PARTS) {
        abort();
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    BkStr text = {(const char *)data, size};
    BkH1Parser *whole = parse(text, size);
    BkH1Parser *split = parse(text, 3);
    BkRequestFields fields;

    if (BkH1Parser_State(whole) != BkH1Parser_State(split)) {
        abort();
    }
    if (BkH1Parser_State(whole) == BK_H1_DONE &&
        BkAdapter_ReadRequestFields(BkH1Parser_Head(whole), &fields) ==
            BK_OK) {
        check_fields(BkH1Parser_Head(whole), &fields);
    }
    BkH1Parser_Destroy(whole);
    BkH1Parser_Destroy(split);
    return 0;
}
