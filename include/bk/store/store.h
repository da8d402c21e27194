/*
 * store - rows with versions in the platform's table service
 *
 * A row is (table, key) with a value and a version that the service raises
 * with each transaction and never uses again; version 0 means that there is
 * no such row. The implementation is the platform's adapter.
 *
 * Every call ends in exactly one callback, within its time limit, unless the
 * store is destroyed first.
 */
#ifndef BK_STORE_STORE_H
#define BK_STORE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/net/http_client.h"

typedef struct BkStore BkStore;

typedef struct BkStoreRow {
    BkStr key;
    BkStr value;      /* bytes; empty if gone */
    uint64_t version; /* of the transaction that wrote it */
    bool gone;        /* a feed's note of a removal */
} BkStoreRow;

/*
 * status: BK_OK; BK_ECONFLICT, a check failed (rows: how those checked are
 * now); BK_EGONE, the feed's history is lost; BK_ETRYAGAIN, too many calls;
 * BK_EPLATFORM, not carried out; BK_EUNKNOWN, may have been carried out, also
 * later; BK_EDECODE. All but the first three say nothing of rows.
 */
typedef struct BkStoreReply {
    BkStatus status;
    const BkStoreRow *rows; /* valid during the callback */
    int count;
    bool more;        /* the range goes on behind the last row */
    uint64_t version; /* newest of the store; a feed goes on from here */
} BkStoreReply;

typedef void (*BkStoreFn)(const BkStoreReply *reply, void *arg);

/* A transaction on rows of one table: all of it or nothing. */
typedef struct BkStoreWrite {
    const char *key;
    uint64_t version; /* that it must have, if check */
    bool check;
    bool put;    /* writes value */
    bool remove; /* put and remove exclude each other */
    BkStr value;
} BkStoreWrite;

enum {
    BK_STORE_MAX_WRITES = 100,
    BK_STORE_MAX_ROWS = 500 /* in one answer */
};

/* address: "ip:port". */
BkStore *BkStore_Create(BkHttpClient *http, const char *address);
void BkStore_Destroy(BkStore *store);

typedef struct BkStoreLimit {
    BkMs whole;   /* for the whole call */
    BkMs silence; /* without a byte of answer; 0: the same */
} BkStoreLimit;

/* Rows in order of their keys, from the key on (NULL: from the first). */
void BkStore_Read(BkStore *store, const char *table, const char *from,
                  BkStoreLimit limit, BkStoreFn fn, void *arg);

/* Changes after a version; waits for the first of them up to wait, which both
 * limits include. */
void BkStore_Feed(BkStore *store, const char *table, uint64_t after, BkMs wait,
                  BkStoreLimit limit, BkStoreFn fn, void *arg);

void BkStore_Commit(BkStore *store, const char *table,
                    const BkStoreWrite *writes, int count, BkMs limit,
                    BkStoreFn fn, void *arg);

/* Calls made so far. */
int64_t BkStore_CallCount(const BkStore *store);

#endif
