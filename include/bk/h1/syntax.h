/*
 * syntax - what the lines of HTTP/1.1 messages may hold (RFC 9110, 9112)
 *
 * Pure functions of one line without its line end. They are stricter than the
 * parsers that the daemons use, which skip, fold or cut off what no message
 * may hold.
 */
#ifndef BK_H1_SYNTAX_H
#define BK_H1_SYNTAX_H

#include <stdbool.h>

#include "bk/base/str.h"

/* The least and the largest status that a response may have. */
enum {
    BK_H1_MIN_STATUS = 100,
    BK_H1_MAX_STATUS = 599
};

/* A name of a field or method, or a transfer coding: at least one byte. */
bool BkH1_IsToken(BkStr text);

/* The value of a field, or a reason: no control bytes other than tabs. */
bool BkH1_IsText(BkStr text);

/* A method, a target without blanks and control bytes, and "HTTP/1.x", with
 * one blank between them. */
bool BkH1_IsRequestLine(BkStr line);

/* "HTTP/1.x", one blank, a status of three digits; then nothing, or a blank
 * and the reason, which may be empty. */
bool BkH1_IsStatusLine(BkStr line);

/* "name:value"; continuation lines are none. */
bool BkH1_IsFieldLine(BkStr line);

/* The size of a chunk in hexadecimal digits, and its extensions. */
bool BkH1_IsChunkLine(BkStr line);

#endif
