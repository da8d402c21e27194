/*
 * h1 - HTTP/1.1 messages read off and written to a connection
 *
 * The grammar is http-parser's. What bk-front relays must mean the same to
 * it and to the next hop, so this slice refuses what the library lets pass:
 * bare line feeds and carriage returns, NUL bytes, and heads over the limit.
 * The parser handles one message at a time and leaves bytes behind its end
 * to the caller.
 */
#ifndef BK_H1_H1_H
#define BK_H1_H1_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/str.h"

typedef enum BkH1Kind {
    BK_H1_REQUEST,
    BK_H1_RESPONSE
} BkH1Kind;

typedef enum BkH1State {
    BK_H1_IDLE, /* no byte of the message yet */
    BK_H1_HEAD,
    BK_H1_BODY,
    BK_H1_DONE,
    BK_H1_BAD /* the connection cannot be used any more */
} BkH1State;

typedef enum BkH1Fault {
    BK_H1_NO_FAULT,
    BK_H1_MALFORMED,
    BK_H1_HEAD_TOO_LARGE
} BkH1Fault;

typedef struct BkH1Field {
    BkStr name;
    BkStr value;
} BkH1Field;

/* Views into the parser, valid until it is reset. */
typedef struct BkH1Head {
    BkStr method; /* of a request */
    BkStr target; /* of a request, as sent */
    int code;     /* of a response */
    int minor;    /* 0 or 1: HTTP/1.x */
    const BkH1Field *fields;
    int count;
    int64_t length;   /* of the body; -1: not told */
    bool chunked;     /* body in chunks */
    bool until_close; /* body of a response ends with the connection */
    bool keep_alive;  /* the connection may be used again */
} BkH1Head;

typedef void (*BkH1BodyFn)(BkStr data, void *arg);

typedef struct BkH1Parser BkH1Parser;

/* max_head in bytes. on_body gets the body's bytes, unchunked. */
BkH1Parser *BkH1Parser_Create(BkH1Kind kind, size_t max_head,
                              BkH1BodyFn on_body, void *arg);
void BkH1Parser_Destroy(BkH1Parser *parser);

/* For the next message. bodiless: the answer to a HEAD request. */
void BkH1Parser_Reset(BkH1Parser *parser, bool bodiless);

/* Takes bytes up to the end of the message; returns how many. A head that is
 * complete stops the parser once, before the body, so that the caller can
 * look at it. */
size_t BkH1Parser_Feed(BkH1Parser *parser, BkStr data);

/* The connection ended in an orderly way: DONE if that ends the body. */
void BkH1Parser_Finish(BkH1Parser *parser);

BkH1State BkH1Parser_State(const BkH1Parser *parser);
BkH1Fault BkH1Parser_Fault(const BkH1Parser *parser);

/* The head, from BK_H1_BODY on. */
const BkH1Head *BkH1Parser_Head(const BkH1Parser *parser);

/* First value of the field, without regard to case; "" if absent. */
BkStr BkH1Head_Find(const BkH1Head *head, const char *name);

/* Whether a list such as that of Connection has this token. */
bool BkH1_HasToken(BkStr list, BkStr token);

/* Whether both are the same but for case. */
bool BkH1_SameName(BkStr a, BkStr b);

/* "HTTP/1.1 CODE reason" with its line end. */
void BkH1_PutStatus(BkBuf *out, int code);

/* "name: value" with its line end. */
void BkH1_PutField(BkBuf *out, BkStr name, BkStr value);

/* One chunk of a body; the empty one ends it. */
void BkH1_PutChunk(BkBuf *out, BkStr data);

#endif
