/*
 * store - versioned rows in the table service of the users' platform
 *
 * A row is identified by its table and key and has a value and a version,
 * which the service raises with each transaction; version 0 means that there
 * is no such row. The service may come back from an older copy of its rows: the
 * era rises by one, what was written since is gone, and the versions of that
 * time are given out again. Versions of different eras cannot be compared.
 * Implemented in platform/, with the platform
 * adapter (bk/front/adapter.h).
 *
 * Every call ends in exactly one callback, within its timeout, unless the
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
    BkStr value;      /* any bytes; empty if the row was removed */
    uint64_t version; /* of the transaction that wrote it */
    bool removed;     /* the row was removed; only in a list of changes */
} BkStoreRow;

/*
 * Result of any call. status:
 * BK_OK;
 * BK_ECONFLICT: a check failed; rows are the checked rows as they are now;
 * BK_EGONE: the service no longer has all changes after the given version;
 * BK_ETRYAGAIN: too many calls;
 * BK_EPLATFORM: not carried out;
 * BK_EUNKNOWN: may have been carried out, or may still be;
 * BK_EDECODE: the response cannot be decoded.
 * After BK_ETRYAGAIN, BK_EPLATFORM, BK_EUNKNOWN and BK_EDECODE, the reply has
 * no rows.
 */
typedef struct BkStoreReply {
    BkStatus status;
    const BkStoreRow *rows; /* valid during the callback only */
    int count;
    bool has_more; /* there are further rows; next_key is set */
    /* where they begin: the last row of this part comes again, unless its key
       could not be read */
    BkStr next_key;
    /* newest era of the store that is known, which gave out the versions; 0:
       the store does not tell its era */
    uint64_t era;
    /* newest version of the store; pass it to BkStore_ReadChanges to read
       later changes */
    uint64_t version;
} BkStoreReply;

typedef void (*BkStoreFn)(const BkStoreReply *reply, void *arg);

/* What a transaction does with one row: check its version, change it, or
 * both. */
typedef struct BkStoreOp {
    const char *key;
    uint64_t version; /* that the row must have, if check_version is set */
    bool check_version;
    bool put;    /* write value; excludes remove */
    bool remove; /* remove the row; excludes put */
    BkStr value;
} BkStoreOp;

enum {
    BK_STORE_MAX_OPS = 100, /* in one transaction */
    BK_STORE_MAX_ROWS = 500 /* in one part of a table */
};

/* address: "ip:port". */
BkStore *BkStore_Create(BkHttpClient *http, const char *address);
void BkStore_Destroy(BkStore *store);

typedef struct BkStoreTimeouts {
    BkMs total;      /* limit for the whole call */
    BkMs first_byte; /* until the response begins; 0: only total applies */
    /* longest time without a byte of the response; 0: only total applies */
    BkMs idle;
} BkStoreTimeouts;

/* Reads the rows of a table in key order, starting with first_key (empty: with
 * the first row). A part of a list that leads no further is BK_EDECODE. */
void BkStore_ReadRows(BkStore *store, const char *table, BkStr first_key,
                      BkStoreTimeouts timeouts, BkStoreFn fn, void *arg);

/* Reads the changes of a table after a version. If there are none, the service
 * waits up to max_wait for the first one; both timeouts include that wait. */
void BkStore_ReadChanges(BkStore *store, const char *table,
                         uint64_t after_version, BkMs max_wait,
                         BkStoreTimeouts timeouts, BkStoreFn fn, void *arg);

/* Carries out a transaction on rows of one table: all of its operations, or
 * none. */
void BkStore_Commit(BkStore *store, const char *table, const BkStoreOp *ops,
                    int count, BkMs timeout, BkStoreFn fn, void *arg);

/* Number of calls made so far. */
int64_t BkStore_CallCount(const BkStore *store);

#endif
