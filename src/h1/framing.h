/*
 * framing - reads from a head how the body is framed
 */
#ifndef BK_H1_FRAMING_H
#define BK_H1_FRAMING_H

#include "bk/h1/h1.h"

/* Sets length, chunked and until_close by the other members of head. bodiless:
 * it is of a response to a HEAD request. Returns false if no message may have
 * such fields: another transfer coding than "chunked", or one beside a length
 * or in HTTP/1.0, a length that is repeated or no number, or a body where the
 * status allows none. */
bool BkH1Head_ReadFraming(BkH1Head *head, BkH1Kind kind, bool bodiless);

/* Whether a body follows the head, by its status; it may have no bytes. */
bool BkH1Head_HasBody(const BkH1Head *head, BkH1Kind kind, bool bodiless);

#endif
