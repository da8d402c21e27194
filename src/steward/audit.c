#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "bk/steward/steward.h"

enum {
    TIME_BYTES = 32,
    KEY_BYTES = 17
};

static uint64_t
read_next(const BkPlatReply *next)
{
    if (next->count == 0) {
        return 1;
    }
    json_t *root =
        json_loadb(next->rows[0].data.ptr, next->rows[0].data.len, 0, NULL);
    json_int_t number = json_integer_value(json_object_get(root, "next"));
    json_decref(root);
    return number < 1 ? 1 : (uint64_t)number;
}

void
BkAudit_Add(BkTxn *txn, const char *by, const BkAuditEntry *entry,
            const BkPlatReply *next)
{
    char at[TIME_BYTES];
    char key[KEY_BYTES];
    char raised[TIME_BYTES];
    uint64_t number = read_next(next);
    uint64_t version = next->count == 0 ? 0 : next->rows[0].version;

    BkClock_Format(BkClock_Wall(), at, sizeof(at));
    snprintf(key, sizeof(key), "%016llx", (unsigned long long)number);
    snprintf(raised, sizeof(raised), "{\"next\":%llu}",
             (unsigned long long)number + 1);
    json_t *root =
        json_pack("{s:s, s:s, s:s, s:s, s:s, s:I}", "at", at, "by", by,
                  "action", entry->action, "subject", entry->subject, "why",
                  entry->why, "version", (json_int_t)entry->version);
    char *text = json_dumps(root, JSON_COMPACT);
    BkTxn_Check(txn, BK_STR("audit-next"), BK_STR("next"), version);
    BkTxn_Put(txn, BK_STR("audit-next"), BK_STR("next"), BkStr_FromC(raised));
    BkTxn_Put(txn, BK_STR("audit"), BkStr_FromC(key), BkStr_FromC(text));
    free(text);
    json_decref(root);
}
