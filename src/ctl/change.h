/*
 * change - changes one row and adds its audit entry, atomically
 */
#ifndef BK_CTL_CHANGE_H
#define BK_CTL_CHANGE_H

#include "rows.h"

typedef struct BkChange {
    const char *table;
    const char *key;
    uint64_t row_version; /* expected version of the row; 0: absent */
    BkStr data;           /* new content; empty: the row is deleted */
    BkAuditRow audit;     /* BkCtl_Change sets its number and time */
} BkChange;

/*
 * Commits the change in one transaction that checks the row's version and
 * that the number of the audit entry is still free. While the platform does
 * not answer, or another change used the number first, retries until the
 * setting "patience" has elapsed.
 * ERRORS: BK_ECONFLICT: the row has another version now, written by another
 * change or by this one whose response was lost; read the row to find out.
 * BK_EPLATFORM: nothing was changed. BK_ETRYAGAIN: nothing was changed,
 * because another change used the audit number first in every attempt.
 * BK_EUNKNOWN: the change may have been carried out, or may still be.
 */
BkStatus BkCtl_Change(BkCtl *ctl, BkChange *change);

/* Reads the number of the next audit entry (the first is 1), and the version
 * of the row that holds it. */
BkStatus BkCtl_ReadNextAudit(BkCtl *ctl, uint64_t *next,
                             uint64_t *row_version);

typedef struct BkAuditList {
    BkAuditRow *rows; /* oldest first */
    int count;
} BkAuditList;

/* Reads at most max entries, from number first upwards. */
BkStatus BkCtl_ListAudit(BkCtl *ctl, uint64_t first, int max,
                         BkAuditList *list);
void BkAuditList_Clear(BkAuditList *list);

/*
 * Finds the audit entry of the roll that put a version in force.
 * ERRORS: BK_ENOTFOUND, BK_EPLATFORM, BK_EDECODE.
 */
BkStatus BkCtl_FindRoll(BkCtl *ctl, uint64_t version, BkAuditRow *out);

#endif
