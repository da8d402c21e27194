#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fronts.h"
#include "output.h"

/* A daemon that answers; it tells the others. */
static const BkCtlFront *
find_front(const BkCtlFronts *fronts, const char *trait)
{
    for (int i = 0; i < fronts->count; i++) {
        size_t index;
        json_t *verdict;
        json_array_foreach(json_object_get(fronts->list[i].status, "verdicts"),
                           index, verdict)
        {
            if (strcmp(BkCtl_GetText(verdict, "trait"), trait) == 0) {
                return &fronts->list[i];
            }
        }
    }
    return NULL;
}

static BkStatus
read_outcome(const BkCtlResponse *response)
{
    BkStr text = BkBuf_Str(&response->body);

    if (response->status == BK_OK) {
        return BK_OK;
    }
    if (response->http_status == 0) {
        return BkErr_Set(BK_EUNKNOWN,
                         "%s sent no complete answer; the verdict may have "
                         "been lifted: bkctl fronts shows it",
                         response->addr);
    }
    json_t *object = json_loadb(text.ptr, text.len, 0, NULL);
    json_t *error = json_object_get(object, "error");
    BkStatus status = (BkStatus)BkCtl_GetInteger(error, "code");
    if (error == NULL || status == BK_OK) {
        status = BkErr_Set(BK_EDECODE, "the answer of %s cannot be decoded",
                           response->addr);
    }
    else {
        BkErr_Set(status, "%s: %s", response->addr,
                  BkCtl_GetText(error, "message"));
    }
    json_decref(object);
    return status;
}

static BkStatus
lift(BkCtl *ctl, const BkCtlFront *front, const char *trait, const char *by)
{
    BkCtlResponses responses;
    json_t *object = json_pack("{s:s, s:s, s:s}", "trait", trait, "by", by,
                               "why", ctl->options.why);
    char *body = json_dumps(object, JSON_COMPACT);

    BkCtl_CallDaemons(ctl, front->addr, "POST", "/ops/verdict/lift",
                      BkStr_FromC(body), &responses);
    BkStatus status = read_outcome(&responses.list[0]);
    BkCtlResponses_Clear(&responses);
    free(body);
    json_decref(object);
    return status;
}

BkStatus
BkCtl_VerdictLift(BkCtl *ctl, char **words)
{
    const char *by;
    BkCtlFronts fronts = {0};
    BkStatus status = BkCtl_OperatorName(ctl, &by);

    if (status == BK_OK) {
        status = BkCtl_FetchFronts(ctl, &fronts);
    }
    const BkCtlFront *front =
        status == BK_OK ? find_front(&fronts, words[0]) : NULL;
    if (status == BK_OK && front == NULL) {
        status = BkErr_Set(BK_ENOTFOUND,
                           "no daemon that answers has a verdict on \"%s\"; "
                           "bkctl fronts lists them",
                           words[0]);
    }
    if (status == BK_OK) {
        status = lift(ctl, front, words[0], by);
    }
    if (status == BK_OK && ctl->options.json) {
        BkCtl_PrintJson(
            json_pack("{s:s, s:b}", "trait", words[0], "lifted", true));
    }
    else if (status == BK_OK) {
        printf("%s is lifted by %s, at %s, which tells the other daemons\n",
               words[0], by, front->addr);
    }
    BkCtlFronts_Clear(&fronts);
    return status;
}
