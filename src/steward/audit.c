#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "bk/steward/steward.h"

enum {
    VALUE_BYTES = 32, /* holds a time, or the text of the row audit-next */
    KEY_BYTES = 17    /* 16 hex digits and a zero byte */
};

static uint64_t
parse_entry_number(const BkPlatReply *number_reply)
{
    if (number_reply->count == 0) {
        return 1;
    }
    json_t *root = json_loadb(number_reply->rows[0].data.ptr,
                              number_reply->rows[0].data.len, 0, NULL);
    json_int_t entry_number =
        json_integer_value(json_object_get(root, "next"));
    json_decref(root);
    return entry_number < 1 ? 1 : (uint64_t)entry_number;
}

void
BkAudit_Add(BkTxn *txn, const char *by, const BkAuditEntry *entry,
            const BkPlatReply *number_reply)
{
    char at[VALUE_BYTES];
    char key[KEY_BYTES];
    char next_number_json[VALUE_BYTES];
    uint64_t entry_number = parse_entry_number(number_reply);
    /* version of the row audit-next; entry->version is that of the
       configuration */
    uint64_t version =
        number_reply->count == 0 ? 0 : number_reply->rows[0].version;

    BkClock_Format(BkClock_Wall(), at, sizeof(at));
    snprintf(key, sizeof(key), "%016llx", (unsigned long long)entry_number);
    snprintf(next_number_json, sizeof(next_number_json), "{\"next\":%llu}",
             (unsigned long long)entry_number + 1);
    json_t *root =
        json_pack("{s:s, s:s, s:s, s:s, s:s, s:I}", "at", at, "by", by,
                  "action", entry->action, "subject", entry->subject, "why",
                  entry->why, "version", (json_int_t)entry->version);
    char *entry_json = json_dumps(root, JSON_COMPACT);
    BkTxn_Check(txn, BK_STR("audit-next"), BK_STR("next"), version);
    BkTxn_Put(txn, BK_STR("audit-next"), BK_STR("next"),
              BkStr_FromC(next_number_json));
    BkTxn_Put(txn, BK_STR("audit"), BkStr_FromC(key), BkStr_FromC(entry_json));
    free(entry_json);
    json_decref(root);
}
