#include "bk/h1/event.h"

enum {
    MAX_LINE_END = 2 /* bytes */
};

/* Returns the length of the empty line at the start of data; 0: there is
   none. */
static size_t
empty_line_length(BkStr data)
{
    if (data.len >= 1 && data.ptr[0] == '\n') {
        return 1;
    }
    return data.len >= 2 && data.ptr[0] == '\r' && data.ptr[1] == '\n' ? 2 : 0;
}

size_t
BkEvent_FindEnd(BkStr data, size_t *scanned)
{
    /* what follows the last line end may have been incomplete */
    size_t i = *scanned > MAX_LINE_END ? *scanned - MAX_LINE_END : 0;

    for (; i < data.len; i++) {
        if (data.ptr[i] != '\n') {
            continue;
        }
        size_t length =
            empty_line_length((BkStr){data.ptr + i + 1, data.len - i - 1});
        if (length > 0) {
            *scanned = 0;
            return i + 1 + length;
        }
    }
    *scanned = data.len;
    return 0;
}
