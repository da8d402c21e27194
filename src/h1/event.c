#include "bk/h1/event.h"

#include <string.h>

enum {
    MAX_RESCANNED = 2 /* bytes */
};

static bool
is_line_end(char c)
{
    return c == '\n' || c == '\r';
}

/* The length of the line end at the start of text. */
static size_t
line_end_length(BkStr text)
{
    return BkStr_StartsWith(text, BK_STR("\r\n")) ? 2 : 1;
}

/* Returns the length of the empty line behind a line that ends with the byte
   end; 0: there is none, or not yet. */
static size_t
empty_line_length(char end, BkStr rest)
{
    if (rest.len == 0 || !is_line_end(rest.ptr[0])) {
        return 0;
    }
    if (end == '\r') {
        /* CR LF is one line end */
        return rest.ptr[0] == '\r' ? 1 : 0;
    }
    if (rest.ptr[0] == '\r' && rest.len == 1) {
        return 0; /* the LF of a CR LF may follow */
    }
    return line_end_length(rest);
}

size_t
BkEvent_FindEnd(BkStr data, size_t *scanned)
{
    /* what follows the last line end may have been incomplete */
    size_t i = *scanned > MAX_RESCANNED ? *scanned - MAX_RESCANNED : 0;

    for (; i < data.len; i++) {
        if (!is_line_end(data.ptr[i])) {
            continue;
        }
        size_t length = empty_line_length(
            data.ptr[i], (BkStr){data.ptr + i + 1, data.len - i - 1});
        if (length > 0) {
            *scanned = 0;
            return i + 1 + length;
        }
    }
    *scanned = data.len;
    return 0;
}

bool
BkEvent_IsEmptyLine(BkStr data)
{
    return data.len > 0 && is_line_end(data.ptr[0]) &&
           line_end_length(data) == data.len;
}

/* Takes the line off the start of *rest, without its line end. */
static BkStr
take_line(BkStr *rest)
{
    BkStr line = *rest;

    line.len = 0;
    while (line.len < rest->len && !is_line_end(line.ptr[line.len])) {
        line.len++;
    }
    rest->ptr += line.len;
    rest->len -= line.len;
    if (rest->len > 0) {
        size_t n = line_end_length(*rest);
        rest->ptr += n;
        rest->len -= n;
    }
    return line;
}

/* Only one blank after the colon does not belong to the value. */
static BkStr
skip_separator(BkStr value)
{
    return value.len > 0 && value.ptr[0] == ' '
               ? (BkStr){value.ptr + 1, value.len - 1}
               : value;
}

BkEventFields
BkEvent_ReadFields(BkStr event)
{
    BkEventFields fields = {0};

    while (event.len > 0) {
        BkStr value = take_line(&event);
        if (value.len == 0 || value.ptr[0] == ':') {
            continue; /* the end of the event, or a comment */
        }
        BkStr name = BkStr_Split(&value, ':');
        value = skip_separator(value);
        if (BkStr_Equal(name, BK_STR("id"))) {
            if (value.len == 0 || memchr(value.ptr, '\0', value.len) == NULL) {
                fields.has_id = true;
                fields.id = value;
            }
        }
        else if (!BkStr_Equal(name, BK_STR("event")) &&
                 !BkStr_Equal(name, BK_STR("retry"))) {
            fields.has_content = true;
        }
    }
    return fields;
}
