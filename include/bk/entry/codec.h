/*
 * codec - the JSON and the server-sent events that bk-entry has to read
 *
 * Pure. Bodies pass through unchanged but for continue_from; only the few
 * members that decide the route are looked at.
 */
#ifndef BK_ENTRY_CODEC_H
#define BK_ENTRY_CODEC_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/str.h"

#define BK_EVENT_MAX_BYTES (64 * 1024)

/* What a completion request asks for. */
typedef struct BkCompletion {
    char *model; /* owned */
    bool stream;
    uint64_t prefix_hash; /* of the prompt's head; 0: none */
} BkCompletion;

/* ERRORS: BK_EINVAL, with what is wrong as the last message. */
BkStatus BkCompletion_Parse(BkCompletion *out, BkStr body);
void BkCompletion_Clear(BkCompletion *completion);

/* The body with continue_from added. ERRORS: BK_EINVAL. */
BkStatus BkCompletion_Continue(BkStr body, uint64_t tokens, BkStr text,
                               BkBuf *out);

typedef enum BkEventKind {
    BK_EVENT_TEXT, /* id and data */
    BK_EVENT_DONE, /* data: [DONE] */
    BK_EVENT_ERROR,
    BK_EVENT_OTHER /* comments, unnumbered events */
} BkEventKind;

typedef struct BkEvent {
    BkEventKind kind;
    uint64_t id; /* of BK_EVENT_TEXT, from 1 */
    BkStr data;  /* the last data line */
    BkStr raw;   /* all of the event with its blank line */
} BkEvent;

/* The first whole event of bytes; its length, or 0 if there is none yet. */
size_t BkEvent_Next(BkStr bytes, BkEvent *out);

/* Appends the text that an event's data carries. ERRORS: BK_EDECODE,
 * BK_ETOOBIG. */
BkStatus BkEvent_Text(BkStr data, BkBuf *out);

/* Appends the typed JSON error of docs/PROTOCOLS.md. message NULL: the
 * sentence of the code; retry_after is left out when it is 0. */
void BkError_Encode(BkStatus status, const char *message, BkMs retry_after,
                    BkBuf *out);

#endif
