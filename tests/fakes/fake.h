/*
 * fake - common to the stand-ins: HTTP server, fault injection, journal
 *
 * Each connection is served by a thread of its own.
 */
#ifndef BK_TESTS_FAKE_H
#define BK_TESTS_FAKE_H

#include <stdbool.h>

#include <jansson.h>

#include "bk/base/clock.h"
#include "bk/base/str.h"

struct MHD_Connection;

typedef struct BkFakeReq {
    struct MHD_Connection *connection;
    char *method;
    char *path; /* decoded, without the query */
    BkBuf body;
    json_t *json; /* of the body; NULL if it is not JSON */
    BkMs received;
} BkFakeReq;

typedef enum BkFakeNext {
    FAKE_MORE,
    FAKE_END,
    FAKE_CUT /* close the connection before the end of the stream */
} BkFakeNext;
/* Appends the next bytes of a stream to out; may block. */
typedef BkFakeNext (*BkFakeStreamFn)(void *arg, BkBuf *out);

typedef struct BkFakeReply {
    int code;
    bool not_run; /* adds X-Not-Run: yes */
    BkBuf body;
    BkFakeStreamFn stream; /* NULL: body is the whole answer */
    void *stream_arg;      /* freed with free() */
} BkFakeReply;

typedef struct BkFakeSpec {
    /* the kind of a request, by which faults select it; NULL: unknown
       path */
    const char *(*classify)(const BkFakeReq *req);
    void (*handle)(BkFakeReq *req, BkFakeReply *reply);
    /* called after POST /ctl/set, with the lock held */
    void (*on_set)(json_t *set);
} BkFakeSpec;

/* The value of "--name VALUE" on the command line, or fallback. */
const char *BkFake_Option(int argc, char **argv, const char *name,
                          const char *fallback);
bool BkFake_Flag(int argc, char **argv, const char *name);

/* Serves on listen ("ip:port"); does not return. */
void BkFake_Run(const char *listen, const BkFakeSpec *spec);

/* One lock protects all state of a stand-in, with journal and settings. */
void BkFake_Lock(void);
void BkFake_Unlock(void);

/* Appends a line to the journal; takes ownership of it (lock held). */
void BkFake_Journal(json_t *line);

/* A setting made by POST /ctl/set, or fallback (lock held). */
int64_t BkFake_Setting(const char *name, int64_t fallback);
const char *BkFake_Header(const BkFakeReq *req, const char *name);
const char *BkFake_Query(const BkFakeReq *req, const char *name);

/* Sets the answer to a JSON value; takes ownership of it. */
void BkFake_Answer(BkFakeReply *reply, int code, json_t *value);

#endif
