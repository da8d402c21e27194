/*
 * platform - thin client of the platform's table service, object store and
 * VM list (docs/PROTOCOLS.md, "Platform")
 *
 * A row is (table, key) with a version that the service raises at each
 * write and never reuses; version 0 means there is no such row. A
 * transaction checks versions and writes rows, all or nothing. A
 * transaction that ends in BK_EUNKNOWN may have been carried out: the
 * caller re-reads and recognises its own write by what it wrote.
 */
#ifndef BK_PLATFORM_PLATFORM_H
#define BK_PLATFORM_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/loop.h"
#include "bk/base/str.h"
#include "bk/net/http_client.h"

#define BK_TXN_MAX_OPS 128

typedef struct BkRow {
    BkStr table;
    BkStr key;
    uint64_t version; /* 0: absent */
    BkMs age;         /* since the last write, by the service's own clock */
    BkStr data;       /* JSON text */
} BkRow;

typedef enum BkTxnOpKind {
    BK_TXN_CHECK, /* the row has this version (0: is absent) */
    BK_TXN_PUT,
    BK_TXN_DELETE
} BkTxnOpKind;

typedef struct BkTxnOp {
    BkTxnOpKind kind;
    char *table;
    char *key;
    uint64_t version; /* BK_TXN_CHECK */
    char *data;       /* BK_TXN_PUT, JSON text */
} BkTxnOp;

typedef struct BkTxn {
    BkTxnOp ops[BK_TXN_MAX_OPS];
    int count;
} BkTxn;

BkTxn *BkTxn_Create(void);
void BkTxn_Destroy(BkTxn *txn);

/* ERRORS: BK_ERANGE when full. Texts are copied. */
BkStatus BkTxn_Check(BkTxn *txn, BkStr table, BkStr key, uint64_t version);
BkStatus BkTxn_Put(BkTxn *txn, BkStr table, BkStr key, BkStr data);
BkStatus BkTxn_Delete(BkTxn *txn, BkStr table, BkStr key);

typedef struct BkPlat BkPlat;

typedef struct BkPlatStats {
    int64_t reads;
    int64_t writes;
    int64_t bytes_out;
    int64_t bytes_in;
} BkPlatStats;

/*
 * Result of any call. rows: of a list, of a single read (0 or 1), or on
 * BK_ECONFLICT the present rows of the failed checks. Valid during the
 * callback only. more: the list goes on after the last key.
 * status: BK_OK, BK_ECONFLICT, BK_ENOTFOUND, BK_EPLATFORM (not carried
 * out), BK_EUNKNOWN (a write that may have been carried out), BK_EDECODE.
 */
typedef struct BkPlatReply {
    BkStatus status;
    const BkRow *rows;
    int count;
    bool more;
    BkStr body; /* of an object, or of the VM list (JSON text) */
} BkPlatReply;

typedef void (*BkPlatFn)(const BkPlatReply *reply, void *arg);

/* base is "http://ip:port". timeout is per call. */
BkPlat *BkPlat_Create(BkHttpClient *http, const char *base, BkMs timeout);
void BkPlat_Destroy(BkPlat *plat); /* pending callbacks are not called */

/* The transaction is copied into the request; the caller keeps it. */
void BkPlat_Commit(BkPlat *plat, const BkTxn *txn, BkPlatFn fn, void *arg);
void BkPlat_Read(BkPlat *plat, BkStr table, BkStr key, BkPlatFn fn, void *arg);

/* Rows whose key starts with prefix, in key order, after the key after
 * (may be empty), at most limit (up to 500). */
void BkPlat_List(BkPlat *plat, BkStr table, BkStr prefix, BkStr after,
                 int limit, BkPlatFn fn, void *arg);

void BkPlat_PutObject(BkPlat *plat, BkStr name, BkStr body, BkPlatFn fn,
                      void *arg);
void BkPlat_GetObject(BkPlat *plat, BkStr name, BkPlatFn fn, void *arg);
void BkPlat_Vms(BkPlat *plat, BkPlatFn fn, void *arg);

BkPlatStats BkPlat_Stats(const BkPlat *plat);

#endif
