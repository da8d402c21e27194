#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "change.h"
#include "output.h"
#include "roll.h"

/* Without this check, draining a misspelled name would succeed and have no
 * effect. */
static BkStatus
check_upstream_exists(BkCtl *ctl, const char *name)
{
    BkInForceRow row;
    BkBundle *bundle = NULL;
    BkStatus status = BkCtl_ReadInForce(ctl, &row);

    if (status == BK_OK && row.version == 0) {
        status = BkErr_Set(BK_ENOTFOUND, "no bundle is in force yet");
    }
    if (status == BK_OK) {
        status = BkCtl_FetchBundle(ctl, &row, &bundle);
    }
    if (status == BK_OK &&
        BkBundle_FindUpstream(bundle, BkStr_FromC(name)) < 0) {
        status = BkErr_Set(BK_ENOTFOUND,
                           "the bundle in force has no [upstream %s]; bkctl "
                           "status lists them",
                           name);
    }
    BkBundle_Destroy(bundle);
    BkInForceRow_Clear(&row);
    return status;
}

static void
print_drain(const BkCtl *ctl, const char *name, bool drained, bool changed,
            const BkDrainRow *row)
{
    if (ctl->options.json) {
        BkCtl_PrintJson(json_pack("{s:s, s:b, s:b}", "upstream", name,
                                  "drained", drained, "changed", changed));
        return;
    }
    if (!drained) {
        printf("%s is not drained%s\n", name, changed ? " any more" : "");
    }
    else {
        printf("%s is drained%s by %s: %s\n", name, changed ? "" : " already,",
               row->by, row->why);
    }
}

static BkStatus
change_drain(BkCtl *ctl, const char *name, const BkDrainRow *current,
             bool drain, const char *by)
{
    BkBuf data = BkBuf_Make(0);
    BkDrainRow row = {.by = (char *)by, .why = (char *)ctl->options.why};

    if (drain) {
        BkDrainRow_Encode(&row, &data);
    }
    BkChange change = {
        .table = "drain",
        .key = name,
        .row_version = current->row_version,
        .data = BkBuf_Str(&data),
        .audit = {.by = (char *)by,
                  .action = drain ? "drain" : "undrain",
                  .subject = (char *)name,
                  .why = (char *)ctl->options.why},
    };
    BkStatus status = BkCtl_Change(ctl, &change);
    BkBuf_Destroy(&data);
    return status;
}

/* Writes or deletes the drain row, unless it is in the requested state. */
static BkStatus
set_drain(BkCtl *ctl, const char *name, bool drain, const char *by)
{
    BkDrainRow current;
    bool changed = false;
    BkStatus status = BkCtl_ReadDrain(ctl, name, &current);

    if (status == BK_OK && (current.row_version != 0) != drain) {
        changed = true;
        status = change_drain(ctl, name, &current, drain, by);
        /* a conflict may come from this change, whose response was lost, or
         * from another operator's: the row shows which state holds now */
        if (status == BK_OK || status == BK_ECONFLICT) {
            BkDrainRow_Clear(&current);
            status = BkCtl_ReadDrain(ctl, name, &current);
        }
        if (status == BK_OK && (current.row_version != 0) != drain) {
            status = BkErr_Set(BK_ECONFLICT,
                               "another operator changed %s at the same time; "
                               "bkctl log shows who",
                               name);
        }
    }
    if (status == BK_OK) {
        print_drain(ctl, name, drain, changed, &current);
    }
    BkDrainRow_Clear(&current);
    return status;
}

BkStatus
BkCtl_Drain(BkCtl *ctl, char **words)
{
    const char *by;
    BkStatus status = BkCtl_OperatorName(ctl, &by);

    if (status == BK_OK) {
        status = check_upstream_exists(ctl, words[0]);
    }
    return status == BK_OK ? set_drain(ctl, words[0], true, by) : status;
}

BkStatus
BkCtl_Undrain(BkCtl *ctl, char **words)
{
    const char *by;
    BkStatus status = BkCtl_OperatorName(ctl, &by);

    return status == BK_OK ? set_drain(ctl, words[0], false, by) : status;
}
