#include "change.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/rng.h"

enum {
    MIN_PAUSE_MS = 100,    /* between two attempts */
    PAUSE_JITTER_MS = 200, /* less than this is added at random */
    AUDIT_PAGE_SIZE = 100
};

static void
make_audit_key(uint64_t number, char *key)
{
    snprintf(key, BK_CTL_AUDIT_KEY_SIZE, "%016" PRIx64, number);
}

BkStatus
BkCtl_ReadNextAudit(BkCtl *ctl, uint64_t *next, uint64_t *row_version)
{
    BkCtlRow row;
    json_int_t number = 1;
    BkStatus status =
        BkCtl_ReadRow(ctl, BK_STR("audit-next"), BK_STR("next"), &row);

    if (status == BK_OK && row.version != 0) {
        json_t *object = json_loads(row.data, 0, NULL);
        if (json_unpack(object, "{s:I}", "next", &number) != 0 || number < 1) {
            status =
                BkErr_Set(BK_EDECODE, "row audit-next/next cannot be decoded");
        }
        json_decref(object);
    }
    *next = (uint64_t)number;
    *row_version = row.version;
    BkCtlRow_Clear(&row);
    return status;
}

static void
add_ops(BkTxn *txn, const BkChange *change, uint64_t audit_version)
{
    BkStr table = BkStr_FromC(change->table);
    BkStr key = BkStr_FromC(change->key);
    char audit_key[BK_CTL_AUDIT_KEY_SIZE];
    BkBuf text = BkBuf_Make(0);

    BkTxn_Check(txn, table, key, change->row_version);
    BkTxn_Check(txn, BK_STR("audit-next"), BK_STR("next"), audit_version);
    if (change->data.len > 0) {
        BkTxn_Put(txn, table, key, change->data);
    }
    else {
        BkTxn_Delete(txn, table, key);
    }
    make_audit_key(change->audit.number, audit_key);
    BkAuditRow_Encode(&change->audit, &text);
    BkTxn_Put(txn, BK_STR("audit"), BkStr_FromC(audit_key), BkBuf_Str(&text));
    BkBuf_Clear(&text);
    BkBuf_Printf(&text, "{\"next\":%" PRIu64 "}", change->audit.number + 1);
    BkTxn_Put(txn, BK_STR("audit-next"), BK_STR("next"), BkBuf_Str(&text));
    BkBuf_Destroy(&text);
}

static BkStatus
commit_once(BkCtl *ctl, BkChange *change)
{
    uint64_t audit_version;
    BkStatus status =
        BkCtl_ReadNextAudit(ctl, &change->audit.number, &audit_version);

    if (status != BK_OK) {
        return status;
    }
    BkClock_Format(BkClock_Wall(), change->audit.at, sizeof(change->audit.at));
    BkTxn *txn = BkTxn_Create();
    add_ops(txn, change, audit_version);
    status = BkCtl_Commit(ctl, txn);
    BkTxn_Destroy(txn);
    /* a response that cannot be decoded leaves the outcome unknown */
    return status == BK_EDECODE ? BK_EUNKNOWN : status;
}

/* Whether the row is known to have another version than the change expects. */
static bool
row_version_changed(BkCtl *ctl, const BkChange *change)
{
    BkCtlRow row;
    BkStatus status = BkCtl_ReadRow(ctl, BkStr_FromC(change->table),
                                    BkStr_FromC(change->key), &row);
    bool changed = status == BK_OK && row.version != change->row_version;

    BkCtlRow_Clear(&row);
    return changed;
}

static BkStatus
fail_change(const BkCtl *ctl, BkStatus status, bool outcome_unknown)
{
    if (!outcome_unknown && status == BK_ECONFLICT) {
        return BkErr_Set(
            BK_ETRYAGAIN,
            "other operators' changes came first in every attempt; "
            "nothing was changed, try again");
    }
    if (outcome_unknown) {
        return BkErr_Set(BK_EUNKNOWN,
                         "outcome unknown: the platform at %s took the change "
                         "but gave no answer; ask again with the same command",
                         ctl->conf.platform);
    }
    return BkErr_Set(BK_EPLATFORM,
                     "the platform at %s does not answer; this run changed "
                     "nothing",
                     ctl->conf.platform);
}

BkStatus
BkCtl_Change(BkCtl *ctl, BkChange *change)
{
    BkMs deadline = BkClock_Now() + ctl->conf.outcome_timeout;
    BkRng rng = BkRng_Make((uint64_t)BkClock_Wall());
    bool outcome_unknown = false;

    for (;;) {
        BkStatus status = commit_once(ctl, change);
        outcome_unknown |= status == BK_EUNKNOWN;
        switch (status) {
        case BK_OK:
        /* the audit number cannot be decoded; no change was sent */
        case BK_EDECODE:
            return status;
        case BK_ECONFLICT:
        case BK_EUNKNOWN:
            if (row_version_changed(ctl, change)) {
                return BK_ECONFLICT;
            }
            break;
        default:
            break;
        }
        if (BkClock_Now() >= deadline) {
            return fail_change(ctl, status, outcome_unknown);
        }
        BkCtl_Sleep(ctl, MIN_PAUSE_MS + BkRng_Below(&rng, PAUSE_JITTER_MS));
    }
}

/* Keys of other writers are no numbers. */
static bool
is_audit_key(const char *key)
{
    return strlen(key) == BK_CTL_AUDIT_KEY_SIZE - 1 &&
           strspn(key, "0123456789abcdef") == BK_CTL_AUDIT_KEY_SIZE - 1;
}

/* Appends the audit entries among the rows, as long as there are fewer than
   max. */
static BkStatus
append_audit(const BkCtlRows *rows, int max, BkAuditList *list)
{
    BkStatus status = BK_OK;

    for (int i = 0; i < rows->count && list->count < max && status == BK_OK;
         i++) {
        if (is_audit_key(rows->rows[i].key)) {
            status =
                BkAuditRow_Decode(&list->rows[list->count++], &rows->rows[i]);
        }
    }
    return status;
}

BkStatus
BkCtl_ListAudit(BkCtl *ctl, uint64_t first, int max, BkAuditList *list)
{
    char after[BK_CTL_AUDIT_KEY_SIZE] = "";
    BkCtlRows rows;
    BkStatus status;
    BkBuf position = BkBuf_Make(0);
    int limit = max;

    *list = (BkAuditList){.rows = BkMem_New((size_t)max, sizeof(BkAuditRow))};
    if (first > 1) {
        make_audit_key(first - 1, after);
    }
    BkBuf_Append(&position, BkStr_FromC(after));
    do {
        status = BkCtl_ListRows(ctl, BK_STR("audit"), BkBuf_Str(&position),
                                limit, &rows);
        if (status == BK_OK) {
            status = append_audit(&rows, max, list);
        }
        BkBuf_Clear(&position);
        BkBuf_Append(&position, BkBuf_Str(&rows.last_key));
        BkCtlRows_Clear(&rows);
        limit = BK_CTL_PAGE_ROWS; /* the rows so far were of others */
    } while (status == BK_OK && position.len > 0 && list->count < max);
    BkBuf_Destroy(&position);
    return status;
}

void
BkAuditList_Clear(BkAuditList *list)
{
    for (int i = 0; i < list->count; i++) {
        BkAuditRow_Clear(&list->rows[i]);
    }
    free(list->rows);
    *list = (BkAuditList){0};
}

/* Searches a page of entries, newest first. Sets *found_older if it contains
 * a roll of an earlier version, so that older pages need not be read. */
static bool
find_roll(BkAuditList *page, uint64_t version, BkAuditRow *out,
          bool *found_older)
{
    for (int i = page->count - 1; i >= 0; i--) {
        BkAuditRow *row = &page->rows[i];
        if (strcmp(row->action, "roll") != 0) {
            continue;
        }
        if (row->version == version) {
            *out = *row;
            *row = (BkAuditRow){0};
            return true;
        }
        *found_older |= row->version < version;
    }
    return false;
}

BkStatus
BkCtl_FindRoll(BkCtl *ctl, uint64_t version, BkAuditRow *out)
{
    uint64_t next;
    uint64_t row_version;
    bool found = false;
    bool found_older = false;
    BkStatus status = BkCtl_ReadNextAudit(ctl, &next, &row_version);

    *out = (BkAuditRow){0};
    while (status == BK_OK && !found && !found_older && next > 1) {
        uint64_t first = next > AUDIT_PAGE_SIZE ? next - AUDIT_PAGE_SIZE : 1;
        BkAuditList page;
        status = BkCtl_ListAudit(ctl, first, (int)(next - first), &page);
        if (status == BK_OK) {
            found = find_roll(&page, version, out, &found_older);
        }
        BkAuditList_Clear(&page);
        next = first;
    }
    if (status == BK_OK && !found) {
        return BkErr_Set(BK_ENOTFOUND,
                         "no audit entry for the roll of version %" PRIu64,
                         version);
    }
    return status;
}
