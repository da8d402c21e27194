/*
 * body - takes the body of a message out of its framing
 *
 * The bytes of a body are passed on as they come; only the lines between them
 * are looked at: sizes of chunks, their extensions, which are skipped, and the
 * trailers, which are skipped too.
 */
#ifndef BK_H1_BODY_H
#define BK_H1_BODY_H

#include "bk/h1/h1.h"
#include "bk/h1/lines.h"

typedef enum BkH1BodyState {
    BK_H1_BODY_LENGTH,   /* a body of a known length */
    BK_H1_BODY_TO_CLOSE, /* a body that ends with the connection */
    BK_H1_BODY_CHUNK_LINE,
    BK_H1_BODY_CHUNK,
    BK_H1_BODY_CHUNK_END, /* the line end after a chunk */
    BK_H1_BODY_TRAILERS,
    BK_H1_BODY_COMPLETE,
    BK_H1_BODY_MALFORMED
} BkH1BodyState;

typedef struct BkH1Body {
    BkH1BodyState state;
    uint64_t left;       /* bytes of the body or chunk to come */
    size_t framing_size; /* bytes of the current line, or of the trailers */
    size_t max_framing;
    bool after_cr; /* between the CR and the LF after a chunk */
    BkH1Lines lines;
} BkH1Body;

void BkH1Body_Destroy(BkH1Body *body);

/* max_framing: limit of the line before a chunk, and of all trailers, in
 * bytes. */
void BkH1Body_Begin(BkH1Body *body, const BkH1Head *head, bool has_body,
                    size_t max_framing);

/* Passes the bytes of the body in data on to on_body. Returns how many bytes
 * of data it has used: all, unless the body ends there or is malformed. */
size_t BkH1Body_Feed(BkH1Body *body, BkStr data, BkH1BodyFn on_body,
                     void *arg);

/* Whether the end of the connection ends the body. */
bool BkH1Body_EndsWithClose(const BkH1Body *body);

#endif
