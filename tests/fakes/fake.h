/*
 * fake - what the stand-ins share: HTTP in threads, faults, the journal
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

/* Appends the next bytes of a stream to out; may block. */
typedef enum BkFakeNext {
    FAKE_MORE,
    FAKE_END,
    FAKE_CUT
} BkFakeNext;
typedef BkFakeNext (*BkFakeStreamFn)(void *arg, BkBuf *out);

typedef struct BkFakeReply {
    int code;
    bool not_run; /* adds X-Not-Run: yes */
    BkBuf body;
    BkFakeStreamFn stream; /* NULL: body is the whole answer */
    void *stream_arg;      /* freed with free() */
} BkFakeReply;

typedef struct BkFakeSpec {
    /* kind of request for faults; NULL: unknown path */
    const char *(*classify)(const BkFakeReq *req);
    void (*act)(BkFakeReq *req, BkFakeReply *reply);
    /* after POST /ctl/set, with the lock held */
    void (*on_set)(json_t *set);
} BkFakeSpec;

/* The value of "--name VALUE" on the command line, or fallback. */
const char *BkFake_Option(int argc, char **argv, const char *name,
                          const char *fallback);
bool BkFake_Flag(int argc, char **argv, const char *name);

/* Serves on listen ("ip:port") for ever. */
void BkFake_Run(const char *listen, const BkFakeSpec *spec);

/* One lock over all state of a stand-in, journal and settings included. */
void BkFake_Lock(void);
void BkFake_Unlock(void);

/* Adds a line to the journal (takes the value; lock held). */
void BkFake_Journal(json_t *line);

/* Settings made by POST /ctl/set (lock held). */
int64_t BkFake_Setting(const char *name, int64_t fallback);
const char *BkFake_Header(const BkFakeReq *req, const char *name);
const char *BkFake_Query(const BkFakeReq *req, const char *name);

/* An answer of JSON (takes the value). */
void BkFake_Answer(BkFakeReply *reply, int code, json_t *value);

#endif
