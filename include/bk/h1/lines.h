/*
 * lines - cuts the framing of a message, which comes in pieces, into lines
 */
#ifndef BK_H1_LINES_H
#define BK_H1_LINES_H

#include <stdbool.h>

#include "bk/base/str.h"

typedef enum BkH1LineState {
    BK_H1_LINE_PARTIAL,
    BK_H1_LINE_COMPLETE,
    BK_H1_LINE_MALFORMED /* a control byte, or another end than CR LF */
} BkH1LineState;

typedef struct BkH1Lines {
    BkBuf partial;      /* the line, if it came in more than one piece */
    bool line_returned; /* the partial line was completed by the last call */
} BkH1Lines;

void BkH1Lines_Destroy(BkH1Lines *lines);

/* Forgets a partial line. */
void BkH1Lines_Reset(BkH1Lines *lines);

/* Removes the bytes of the next line from *data, which is not empty. *line is
 * the line without its end, or what has come of it; it is valid until the next
 * call, as long as the bytes of data are. */
BkH1LineState BkH1Lines_Take(BkH1Lines *lines, BkStr *data, BkStr *line);

#endif
