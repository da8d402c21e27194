#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "output.h"
#include "show.h"

enum {
    DEFAULT_ENTRIES = 20,
    MAX_ENTRIES = 500
};

void
BkCtl_PrintAudit(const BkAuditList *audit)
{
    for (int i = 0; i < audit->count; i++) {
        const BkAuditRow *row = &audit->rows[i];
        printf("  %" PRIu64 "  %s  %s  %s %s", row->number, row->at, row->by,
               row->action, row->subject);
        if (strcmp(row->action, "roll") == 0) {
            printf(" as version %" PRIu64, row->version);
        }
        printf(": %s\n", row->why);
    }
}

json_t *
BkCtl_AuditJson(const BkAuditList *audit)
{
    json_t *list = json_array();

    for (int i = 0; i < audit->count; i++) {
        const BkAuditRow *row = &audit->rows[i];
        json_array_append_new(
            list,
            json_pack("{s:I, s:s, s:s, s:s, s:s, s:s, s:I}", "number",
                      (json_int_t)row->number, "at", row->at, "by", row->by,
                      "action", row->action, "subject", row->subject, "why",
                      row->why, "version", (json_int_t)row->version));
    }
    return list;
}

static BkStatus
parse_entry_count(const BkCtl *ctl, int *entry_count)
{
    uint64_t number = DEFAULT_ENTRIES;

    if (ctl->options.last != NULL &&
        (BkStr_ToU64(BkStr_FromC(ctl->options.last), &number) != BK_OK ||
         number < 1 || number > MAX_ENTRIES)) {
        return BkErr_Set(BK_EUSAGE,
                         "--last: \"%s\" is not a number from 1 to %d",
                         ctl->options.last, MAX_ENTRIES);
    }
    *entry_count = (int)number;
    return BK_OK;
}

BkStatus
BkCtl_ShowLog(BkCtl *ctl, char **words)
{
    BkAuditList audit = {0};
    int entry_count = DEFAULT_ENTRIES;
    BkStatus status = parse_entry_count(ctl, &entry_count);

    (void)words;
    if (status == BK_OK) {
        status = BkCtl_ListLastAudit(ctl, entry_count, &audit);
    }
    if (status == BK_OK && ctl->options.json) {
        BkCtl_PrintJson(json_pack("{s:o}", "audit", BkCtl_AuditJson(&audit)));
    }
    else if (status == BK_OK) {
        BkCtl_PrintAudit(&audit);
    }
    BkAuditList_Clear(&audit);
    return status;
}
