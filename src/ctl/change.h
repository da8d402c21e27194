/*
 * change - one row changed together with its audit entry, or nothing
 */
#ifndef BK_CTL_CHANGE_H
#define BK_CTL_CHANGE_H

#include "rows.h"

typedef struct BkChange {
    const char *table;
    const char *key;
    uint64_t row_version; /* that the row must still have */
    BkStr data;           /* empty: the row is deleted */
    BkAuditRow audit;     /* number and time are filled in */
} BkChange;

/*
 * Commits the change in one transaction that checks the row's version and
 * the number of the audit entry. Goes on for the patience of the settings
 * when the platform is silent or another entry took the number.
 * ERRORS: BK_ECONFLICT: the row has another version now, be it by somebody
 * else or by this change, whose answer was lost; re-read it. BK_EPLATFORM:
 * nothing was changed. BK_ETRYAGAIN: neither, others were always faster.
 * BK_EUNKNOWN: it may have been, or may yet be.
 */
BkStatus BkCtl_Change(BkCtl *ctl, BkChange *change);

/* The number that the next audit entry will have, from 1. */
BkStatus BkCtl_ReadNextAudit(BkCtl *ctl, uint64_t *next,
                             uint64_t *row_version);

typedef struct BkAuditList {
    BkAuditRow *rows; /* oldest first */
    int count;
} BkAuditList;

/* The entries from number first on, at most most of them. */
BkStatus BkCtl_ListAudit(BkCtl *ctl, uint64_t first, int most,
                         BkAuditList *list);
void BkAuditList_Clear(BkAuditList *list);

/*
 * The entry of the roll that brought a version.
 * ERRORS: BK_ENOTFOUND, BK_EPLATFORM, BK_EDECODE.
 */
BkStatus BkCtl_FindRoll(BkCtl *ctl, uint64_t version, BkAuditRow *out);

#endif
