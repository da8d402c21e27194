/*
 * client - synchronous calls to the platform and to daemons
 *
 * Each call runs the event loop until the response has arrived or the call
 * has timed out. The results must be cleared or freed after use.
 */
#ifndef BK_CTL_CLIENT_H
#define BK_CTL_CLIENT_H

#include "ctl.h"

enum {
    BK_CTL_PAGE_ROWS = 500 /* at most in one page of a list */
};

typedef struct BkCtlRow {
    char *key;
    uint64_t version; /* 0: the row does not exist */
    BkMs age;
    char *data; /* JSON text */
} BkCtlRow;

typedef struct BkCtlRows {
    BkCtlRow *rows;
    int count;
    BkBuf last_key; /* of the page, if the list has more; else empty */
} BkCtlRows;

void BkCtlRow_Clear(BkCtlRow *row);
void BkCtlRows_Clear(BkCtlRows *rows);

/* Read one row, or a page of at most limit rows whose keys are greater than
 * after, in key order. Reading a row that does not exist succeeds with
 * version 0. ERRORS: BK_EPLATFORM, BK_EDECODE. */
BkStatus BkCtl_ReadRow(BkCtl *ctl, BkStr table, BkStr key, BkCtlRow *row);
BkStatus BkCtl_ListRows(BkCtl *ctl, BkStr table, BkStr after, int limit,
                        BkCtlRows *rows);

/* Reads all rows of a table, page by page. ERRORS: as above. */
BkStatus BkCtl_ListAllRows(BkCtl *ctl, BkStr table, BkCtlRows *rows);

/* Commits a transaction. ERRORS: BK_ECONFLICT, BK_EPLATFORM (not carried
 * out), BK_EUNKNOWN. */
BkStatus BkCtl_Commit(BkCtl *ctl, const BkTxn *txn);

/* ERRORS: BK_EPLATFORM, BK_EUNKNOWN. */
BkStatus BkCtl_PutObject(BkCtl *ctl, const char *name, BkStr body);
/* ERRORS: BK_ENOTFOUND, BK_EPLATFORM. */
BkStatus BkCtl_GetObject(BkCtl *ctl, const char *name, BkBuf *body);

/* The response of a daemon. */
typedef struct BkCtlResponse {
    char *addr;      /* as in the settings */
    BkStatus status; /* BK_OK: it responded with 200 */
    int http_status; /* 0: no whole response came */
    BkBuf body;
} BkCtlResponse;

typedef struct BkCtlResponses {
    BkCtlResponse *list; /* one per daemon of the list, in that order */
    int count;
} BkCtlResponses;

/* Sends the same request to all daemons of a list in parallel. addresses: such
 * a list of the settings; body may be empty. */
void BkCtl_CallDaemons(BkCtl *ctl, const char *addresses, const char *method,
                       const char *path, BkStr body,
                       BkCtlResponses *responses);
void BkCtlResponses_Clear(BkCtlResponses *responses);

/* Runs the event loop for this long. */
void BkCtl_Sleep(BkCtl *ctl, BkMs duration);

#endif
