/*
 * platform - thin client of the platform's table service, object store and
 * VM list (docs/PROTOCOLS.md, "Platform")
 *
 * bk-front does not use this client: its platform is another one, the users'
 * platform (bk/store/store.h, bk/front/adapter.h).
 *
 * A row is identified by its table and key and has a version, which the
 * service raises at each write and never reuses; version 0 means that there
 * is no such row. A transaction checks versions and writes rows, all or
 * nothing. A transaction that ends in BK_EUNKNOWN may have been carried out:
 * the caller reads the rows again and recognises its own write by the data.
 */
#ifndef BK_PLATFORM_PLATFORM_H
#define BK_PLATFORM_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/loop.h"
#include "bk/base/str.h"
#include "bk/net/http_client.h"

#define BK_TXN_MAX_OPS 128

typedef struct BkPlatRow {
    BkStr table;
    BkStr key;
    uint64_t version; /* 0: absent */
    BkMs age;         /* time since the last write, by the service's clock */
    BkStr data;       /* JSON text */
} BkPlatRow;

typedef enum BkTxnOpKind {
    BK_TXN_CHECK, /* the row must have this version; 0: must be absent */
    BK_TXN_PUT,
    BK_TXN_DELETE
} BkTxnOpKind;

typedef struct BkTxnOp {
    BkTxnOpKind kind;
    char *table;
    char *key;
    uint64_t version; /* of BK_TXN_CHECK: the expected version */
    char *data;       /* of BK_TXN_PUT: JSON text */
} BkTxnOp;

typedef struct BkTxn {
    BkTxnOp ops[BK_TXN_MAX_OPS];
    int count;
} BkTxn;

BkTxn *BkTxn_Create(void);
void BkTxn_Destroy(BkTxn *txn);

/* Add an operation; all strings are copied. ERRORS: BK_ERANGE when full. */
BkStatus BkTxn_Check(BkTxn *txn, BkStr table, BkStr key, uint64_t version);
BkStatus BkTxn_Put(BkTxn *txn, BkStr table, BkStr key, BkStr data);
BkStatus BkTxn_Delete(BkTxn *txn, BkStr table, BkStr key);

typedef struct BkPlat BkPlat;

typedef struct BkPlatStats {
    int64_t reads; /* calls started */
    int64_t writes;
    int64_t bytes_out; /* of calls that ended */
    int64_t bytes_in;
} BkPlatStats;

/*
 * Result of any call; valid during the callback only.
 *
 * status: BK_OK, BK_ECONFLICT, BK_ENOTFOUND, BK_EPLATFORM (not carried
 * out), BK_EUNKNOWN (a write that may have been carried out), BK_EDECODE.
 * rows: those of a list, the row of a single read (0 or 1), those that a
 * commit wrote, with their new versions, or, after BK_ECONFLICT, the current
 * rows of the failed checks.
 */
typedef struct BkPlatReply {
    BkStatus status;
    const BkPlatRow *rows;
    int count;
    bool has_more; /* the list has further rows; last_key is set */
    /* of this page, also if its row could not be read: pass it to
       BkPlat_ListRows for the next page */
    BkStr last_key;
    BkStr body; /* an object, or the VM list (JSON text) */
} BkPlatReply;

typedef void (*BkPlatFn)(const BkPlatReply *reply, void *arg);

/* base: "http://ip:port"; timeout: of each call. */
BkPlat *BkPlat_Create(BkHttpClient *http, const char *base, BkMs timeout);
void BkPlat_Destroy(BkPlat *plat); /* pending callbacks are not called */

/* Carries out a transaction. It is copied into the request; the caller still
 * owns it. */
void BkPlat_Commit(BkPlat *plat, const BkTxn *txn, BkPlatFn fn, void *arg);

/* Reads one row. */
void BkPlat_ReadRow(BkPlat *plat, BkStr table, BkStr key, BkPlatFn fn,
                    void *arg);

/* Reads the rows, in key order, whose keys start with prefix and are greater
 * than after_key (may be empty); at most max_rows, which may be up to 500. */
void BkPlat_ListRows(BkPlat *plat, BkStr table, BkStr prefix, BkStr after_key,
                     int max_rows, BkPlatFn fn, void *arg);

void BkPlat_PutObject(BkPlat *plat, BkStr name, BkStr body, BkPlatFn fn,
                      void *arg);
void BkPlat_GetObject(BkPlat *plat, BkStr name, BkPlatFn fn, void *arg);

/* Reads the list of VMs. */
void BkPlat_ListVms(BkPlat *plat, BkPlatFn fn, void *arg);

/* Totals since the client was created. */
BkPlatStats BkPlat_Stats(const BkPlat *plat);

#endif
