/*
 * client - calls to the platform and to daemons that wait for the answer
 *
 * bkctl does one thing after the other, so these run the loop until the
 * answer is there. What they give is owned by the caller.
 */
#ifndef BK_CTL_CLIENT_H
#define BK_CTL_CLIENT_H

#include "ctl.h"

typedef struct BkCtlRow {
    char *key;
    uint64_t version; /* 0: there is no such row */
    BkMs age;
    char *data; /* JSON text */
} BkCtlRow;

typedef struct BkCtlRows {
    BkCtlRow *rows;
    int count;
    bool more;
} BkCtlRows;

void BkCtlRow_Clear(BkCtlRow *row);
void BkCtlRows_Clear(BkCtlRows *rows);

/* An absent row is BK_OK with version 0. ERRORS: BK_EPLATFORM, BK_EDECODE. */
BkStatus BkCtl_Read(BkCtl *ctl, BkStr table, BkStr key, BkCtlRow *row);
BkStatus BkCtl_List(BkCtl *ctl, BkStr table, BkStr after, int limit,
                    BkCtlRows *rows);

/* ERRORS: BK_ECONFLICT, BK_EPLATFORM (not carried out), BK_EUNKNOWN. */
BkStatus BkCtl_Commit(BkCtl *ctl, const BkTxn *txn);

/* ERRORS: BK_EPLATFORM, BK_EUNKNOWN. */
BkStatus BkCtl_PutObject(BkCtl *ctl, const char *name, BkStr body);
/* ERRORS: BK_ENOTFOUND, BK_EPLATFORM. */
BkStatus BkCtl_GetObject(BkCtl *ctl, const char *name, BkBuf *body);

/* What a daemon answered. */
typedef struct BkCtlAnswer {
    char *addr;      /* as in the settings */
    BkStatus status; /* BK_OK: it answered 200 */
    BkBuf body;
} BkCtlAnswer;

typedef struct BkCtlAnswers {
    BkCtlAnswer *list; /* one per daemon of the settings, in that order */
    int count;
} BkCtlAnswers;

/* Asks all daemons at the same time; body may be empty. */
void BkCtl_AskDaemons(BkCtl *ctl, const char *method, const char *path,
                      BkStr body, BkCtlAnswers *answers);
void BkCtlAnswers_Clear(BkCtlAnswers *answers);

/* Lets time pass. */
void BkCtl_Sleep(BkCtl *ctl, BkMs span);

#endif
