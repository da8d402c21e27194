/*
 * codec - parses the JSON bodies and the server-sent events that bk-entry
 * forwards, and encodes its errors
 *
 * Pure. Bodies are forwarded unchanged, except that continue_from may be
 * added. Only the few members that affect routing are parsed.
 */
#ifndef BK_ENTRY_CODEC_H
#define BK_ENTRY_CODEC_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/str.h"

#define BK_EVENT_MAX_BYTES (64 * 1024)

/* The parts of a completion request that affect routing. */
typedef struct BkCompletion {
    char *model; /* owned */
    bool stream;
    uint64_t prefix_hash; /* of the start of the prompt; 0: none */
} BkCompletion;

/* Parses and checks the body of a completion request.
 * ERRORS: BK_EINVAL, with the reason in BkErr_Last. */
BkStatus BkCompletion_Parse(BkCompletion *out, BkStr body);
void BkCompletion_Clear(BkCompletion *completion);

/* Appends the body with continue_from added: the number of tokens already
 * generated, and their text. ERRORS: BK_EINVAL. */
BkStatus BkCompletion_AddContinueFrom(BkStr body, uint64_t tokens, BkStr text,
                                      BkBuf *out);

typedef enum BkEventKind {
    BK_EVENT_TEXT, /* has an id and data */
    BK_EVENT_DONE, /* data: [DONE] */
    BK_EVENT_ERROR,
    BK_EVENT_OTHER /* comments, events without an id */
} BkEventKind;

typedef struct BkEvent {
    BkEventKind kind;
    uint64_t id; /* of BK_EVENT_TEXT, counted from 1 */
    BkStr data;  /* the last data line */
    BkStr raw;   /* the whole event, including its blank line */
} BkEvent;

/* Parses the first complete event of bytes. Returns its length, or 0 if no
 * event is complete yet. */
size_t BkEvent_Parse(BkStr bytes, BkEvent *out);

/* Appends the generated text in an event's data. ERRORS: BK_EDECODE,
 * BK_ETOOBIG. */
BkStatus BkEvent_ExtractText(BkStr data, BkBuf *out);

/* Appends the JSON error object of docs/PROTOCOLS.md. message NULL: the
 * standard text of the status; retry_after is omitted when it is 0. */
void BkError_Encode(BkStatus status, const char *message, BkMs retry_after,
                    BkBuf *out);

#endif
