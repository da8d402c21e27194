/*
 * h1 - parses and writes HTTP/1.1 messages
 *
 * http-parser takes heads apart. A message that bk-front forwards must have
 * the same meaning for the next hop, so this parser also rejects what
 * http-parser accepts but no message may hold: other line ends than CR LF,
 * lines that bk/h1/syntax.h does not know, transfer codings other than
 * "chunked", and bodies where the status allows none. It rejects heads over
 * the limit, too, and skips the trailers of a chunked body. A parser parses
 * one message at a time; bytes after its end are not consumed.
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
    BK_H1_IDLE,  /* no byte of the message was received yet */
    BK_H1_HEAD,  /* receiving the head */
    BK_H1_BODY,  /* receiving the body */
    BK_H1_DONE,  /* the message is complete */
    BK_H1_FAILED /* an error; the connection cannot be used any more */
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
    BkStr method;    /* of a request */
    BkStr target;    /* of a request, as sent */
    int http_status; /* of a response */
    int minor;       /* 0 or 1: HTTP/1.x */
    const BkH1Field *fields;
    int count;
    int64_t length;   /* of the body, by Content-Length; -1: none given */
    bool chunked;     /* the body has the chunked encoding */
    bool until_close; /* the body of a response ends with the connection */
    bool keep_alive;  /* the connection may be used again */
} BkH1Head;

typedef void (*BkH1BodyFn)(BkStr data, void *arg);

typedef struct BkH1Parser BkH1Parser;

/* max_head: limit of a head, in bytes. on_body is called with the bytes of the
 * body, without the framing of chunks. */
BkH1Parser *BkH1Parser_Create(BkH1Kind kind, size_t max_head,
                              BkH1BodyFn on_body, void *arg);
void BkH1Parser_Destroy(BkH1Parser *parser);

/* Prepares the parser for the next message. bodiless: it is the response to a
 * HEAD request and has no body. */
void BkH1Parser_Reset(BkH1Parser *parser, bool bodiless);

/* Parses bytes up to the end of the message; returns how many it used. Also
 * stops after a complete head, so that the program can act on the head before
 * it feeds the body. */
size_t BkH1Parser_Feed(BkH1Parser *parser, BkStr data);

/* The other side has closed the connection in an orderly way. If that ends the
 * body, the state becomes BK_H1_DONE; otherwise BK_H1_FAILED, unless the
 * message was complete before. */
void BkH1Parser_OnClose(BkH1Parser *parser);

BkH1State BkH1Parser_State(const BkH1Parser *parser);
BkH1Fault BkH1Parser_Fault(const BkH1Parser *parser);

/* The head of the message; valid in the states BK_H1_BODY and BK_H1_DONE. */
const BkH1Head *BkH1Parser_Head(const BkH1Parser *parser);

/* The value of the first field with this name, in any case; "" if there is
 * none. */
BkStr BkH1Head_Find(const BkH1Head *head, const char *name);

/* Whether a comma-separated list, such as the value of Connection, has this
 * token, in any case. */
bool BkH1_HasToken(BkStr list, BkStr token);

/* Whether both names are equal, regardless of case. */
bool BkH1_SameName(BkStr a, BkStr b);

/* Appends "HTTP/1.1 CODE reason" and a line end. */
void BkH1_AppendStatusLine(BkBuf *out, int code);

/* Appends "name: value" and a line end. */
void BkH1_AppendField(BkBuf *out, BkStr name, BkStr value);

/* Appends a chunk of a body; an empty chunk ends the body. */
void BkH1_AppendChunk(BkBuf *out, BkStr data);

#endif
