#include "bk/h1/lines.h"

#include <string.h>

#include "bk/h1/syntax.h"

void
BkH1Lines_Destroy(BkH1Lines *lines)
{
    BkBuf_Destroy(&lines->partial);
}

void
BkH1Lines_Reset(BkH1Lines *lines)
{
    BkBuf_Clear(&lines->partial);
    lines->line_returned = false;
}

static bool
ends_with_cr(BkStr text)
{
    return text.len > 0 && text.ptr[text.len - 1] == '\r';
}

BkH1LineState
BkH1Lines_Take(BkH1Lines *lines, BkStr *data, BkStr *line)
{
    if (lines->line_returned) {
        BkH1Lines_Reset(lines);
    }
    const char *end = memchr(data->ptr, '\n', data->len);
    BkStr piece = {data->ptr,
                   end == NULL ? data->len : (size_t)(end - data->ptr) + 1};
    bool after_cr = ends_with_cr(BkBuf_Str(&lines->partial));

    data->ptr += piece.len;
    data->len -= piece.len;
    *line = piece;
    if (end == NULL || lines->partial.len > 0) {
        BkBuf_Append(&lines->partial, piece);
        *line = BkBuf_Str(&lines->partial);
    }
    if (after_cr && piece.ptr[0] != '\n') {
        return BK_H1_LINE_MALFORMED;
    }
    if (end == NULL) {
        piece.len -= ends_with_cr(piece) ? 1 : 0;
        return BkH1_IsText(piece) ? BK_H1_LINE_PARTIAL : BK_H1_LINE_MALFORMED;
    }
    lines->line_returned = true;
    line->len--;
    if (!ends_with_cr(*line)) {
        return BK_H1_LINE_MALFORMED;
    }
    line->len--;
    return BkH1_IsText(*line) ? BK_H1_LINE_COMPLETE : BK_H1_LINE_MALFORMED;
}
