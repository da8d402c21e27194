#include "fronts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/settings.h"
#include "output.h"

int64_t
BkCtl_GetInteger(const json_t *object, const char *member)
{
    return json_integer_value(json_object_get(object, member));
}

const char *
BkCtl_GetText(const json_t *object, const char *member)
{
    const char *text = json_string_value(json_object_get(object, member));

    return text == NULL ? "" : text;
}

static const char *
find_fault(const BkCtlResponse *response, const json_t *status)
{
    enum {
        NOT_FOUND = 404
    };

    if (response->status == BK_ETRUNCATED) {
        return "its answer was cut short";
    }
    if (response->status == BK_ETOOBIG) {
        return "its answer is too large";
    }
    if (response->http_status == 0) {
        return "does not answer";
    }
    if (response->http_status == NOT_FOUND) {
        return "tells no status: is it an older bk-front, or no bk-front?";
    }
    if (response->status != BK_OK) {
        return "refused to answer";
    }
    return status == NULL ? "its answer cannot be decoded" : NULL;
}

/* Returns NULL if it is not the status of a bk-front daemon. */
static json_t *
decode_status(const BkCtlResponse *response)
{
    BkStr text = BkBuf_Str(&response->body);
    json_t *status = response->status == BK_OK
                         ? json_loadb(text.ptr, text.len, 0, NULL)
                         : NULL;

    if (strcmp(BkCtl_GetText(status, "role"), "front") != 0) {
        json_decref(status);
        return NULL;
    }
    return status;
}

BkStatus
BkCtl_FetchFronts(BkCtl *ctl, BkCtlFronts *fronts)
{
    BkCtlResponses responses;

    *fronts = (BkCtlFronts){0};
    if (BkStr_Trim(BkStr_FromC(ctl->conf.fronts)).len == 0) {
        return BkSettings_SetError(ctl->options.config, "ctl", "fronts",
                                   "names no bk-front daemon");
    }
    BkCtl_CallDaemons(ctl, ctl->conf.fronts, "GET", "/ops/status", BK_STR(""),
                      &responses);
    fronts->list = BkMem_New((size_t)responses.count, sizeof(BkCtlFront));
    fronts->count = responses.count;
    for (int i = 0; i < responses.count; i++) {
        BkCtlFront *front = &fronts->list[i];
        front->addr = BkStr_Dup(BkStr_FromC(responses.list[i].addr));
        front->status = decode_status(&responses.list[i]);
        front->fault = find_fault(&responses.list[i], front->status);
        fronts->answered += front->status != NULL;
    }
    BkCtlResponses_Clear(&responses);
    if (fronts->answered == 0) {
        return BkErr_Set(BK_ECONNECT,
                         "none of %d bk-front daemons tells its "
                         "state; the first: %s %s",
                         fronts->count, fronts->list[0].addr,
                         fronts->list[0].fault);
    }
    return BK_OK;
}

void
BkCtlFronts_Clear(BkCtlFronts *fronts)
{
    for (int i = 0; i < fronts->count; i++) {
        free(fronts->list[i].addr);
        json_decref(fronts->list[i].status);
    }
    free(fronts->list);
    *fronts = (BkCtlFronts){0};
}

static const char *
state_name(const json_t *status)
{
    if (json_is_true(json_object_get(status, "stopping"))) {
        return "stopping";
    }
    return json_is_true(json_object_get(status, "ready")) ? "ready"
                                                          : "not ready";
}

static void
print_memory(const json_t *status)
{
    enum {
        MB = 1024 * 1024 /* bytes */
    };
    const json_t *memory = json_object_get(status, "memory");

    if (memory != NULL) { /* an older daemon does not tell */
        printf(", memory %lld of %lld MB, %s",
               (long long)BkCtl_GetInteger(memory, "used") / MB,
               (long long)BkCtl_GetInteger(memory, "limit") / MB,
               BkCtl_GetText(memory, "is"));
    }
}

static void
print_daemon(const BkCtlFront *front)
{
    const json_t *status = front->status;
    char age[BK_CTL_DURATION_SIZE];
    char up[BK_CTL_DURATION_SIZE];

    if (status == NULL) {
        printf("  %-21s  %s\n", front->addr, front->fault);
        return;
    }
    BkCtl_FormatDuration(BkCtl_GetInteger(status, "config_age_ms"), age);
    BkCtl_FormatDuration(BkCtl_GetInteger(status, "up_ms"), up);
    printf("  %-21s  %s %s, %s, up %s, configuration %lld since %s, hears "
           "%lld of %lld, planner %s in term %lld, %lld requests, %lld "
           "waiting",
           front->addr, BkCtl_GetText(status, "daemon"),
           BkCtl_GetText(status, "software"), state_name(status), up,
           (long long)BkCtl_GetInteger(status, "config"), age,
           (long long)BkCtl_GetInteger(status, "daemons_heard"),
           (long long)BkCtl_GetInteger(status, "daemons"),
           BkCtl_GetText(status, "planner"),
           (long long)BkCtl_GetInteger(status, "term"),
           (long long)BkCtl_GetInteger(status, "requests"),
           (long long)BkCtl_GetInteger(status, "waiting"));
    print_memory(status);
    printf("\n");
}

static const BkCtlFront *
find_first_answer(const BkCtlFronts *fronts)
{
    int i = 0;

    while (fronts->list[i].status == NULL) {
        i++;
    }
    return &fronts->list[i];
}

/* The upstreams as one daemon knows them: all together would tell the same
   many times. NULL: it does not tell. */
static json_t *
fetch_upstreams(BkCtl *ctl, const BkCtlFront *front)
{
    BkCtlResponses responses;

    BkCtl_CallDaemons(ctl, front->addr, "GET", "/ops/upstreams", BK_STR(""),
                      &responses);
    BkStr text = BkBuf_Str(&responses.list[0].body);
    json_t *object = responses.list[0].status == BK_OK
                         ? json_loadb(text.ptr, text.len, 0, NULL)
                         : NULL;
    json_t *list = json_incref(json_object_get(object, "upstreams"));
    json_decref(object);
    BkCtlResponses_Clear(&responses);
    return list;
}

static void
print_upstreams(const BkCtlFront *front, const json_t *upstreams)
{
    size_t index;
    json_t *up;

    printf("upstreams  [%s]\n", front->addr);
    if (upstreams == NULL) {
        printf("  it does not tell them\n");
    }
    json_array_foreach(upstreams, index, up)
    {
        double limit = json_number_value(json_object_get(up, "limit"));
        printf("  %-21s  %s in %s, %s, software %s, %lld of %lld slots, %lld "
               "models",
               BkCtl_GetText(up, "id"), BkCtl_GetText(up, "service"),
               BkCtl_GetText(up, "domain"), BkCtl_GetText(up, "state"),
               BkCtl_GetText(up, "software")[0] == '\0'
                   ? "not named"
                   : BkCtl_GetText(up, "software"),
               (long long)BkCtl_GetInteger(up, "running"),
               (long long)BkCtl_GetInteger(up, "slots"),
               (long long)BkCtl_GetInteger(up, "models"));
        if (limit >= 0) {
            printf(", limit %g/s", limit);
        }
        if (BkCtl_GetInteger(up, "held_ms") > 0) {
            printf(", asked for a pause of %lld ms",
                   (long long)BkCtl_GetInteger(up, "held_ms"));
        }
        if (BkCtl_GetInteger(up, "avoided_ms") > 0) {
            printf(", avoided for %lld ms after failures",
                   (long long)BkCtl_GetInteger(up, "avoided_ms"));
        }
        printf("\n");
    }
}

static void
print_verdicts(const BkCtlFront *front)
{
    json_t *verdicts = json_object_get(front->status, "verdicts");
    size_t index;
    json_t *verdict;

    printf("verdicts   %zu  [%s]\n", json_array_size(verdicts), front->addr);
    json_array_foreach(verdicts, index, verdict)
    {
        char left[BK_CTL_DURATION_SIZE];
        BkMs for_ms = BkCtl_GetInteger(verdict, "for_ms");
        BkCtl_FormatDuration(for_ms < 0 ? 0 : for_ms, left);
        printf("  %s  a %s, for %s more, %lld trials, %lld requests refused "
               "there\n",
               BkCtl_GetText(verdict, "trait"), BkCtl_GetText(verdict, "kind"),
               left, (long long)BkCtl_GetInteger(verdict, "trials"),
               (long long)BkCtl_GetInteger(verdict, "refused"));
    }
}

static json_t *
fronts_json(const BkCtlFronts *fronts, const BkCtlFront *first,
            json_t *upstreams)
{
    json_t *list = json_array();

    for (int i = 0; i < fronts->count; i++) {
        const BkCtlFront *front = &fronts->list[i];
        json_array_append_new(
            list, front->status == NULL
                      ? json_pack("{s:s, s:n, s:s}", "addr", front->addr,
                                  "status", "fault", front->fault)
                      : json_pack("{s:s, s:O, s:n}", "addr", front->addr,
                                  "status", front->status, "fault"));
    }
    return json_pack("{s:o, s:{s:s, s:o?}}", "fronts", list, "upstreams",
                     "from", first->addr, "list", upstreams);
}

BkStatus
BkCtl_Fronts(BkCtl *ctl, char **words)
{
    BkCtlFronts fronts;
    BkStatus status = BkCtl_FetchFronts(ctl, &fronts);

    (void)words;
    if (status == BK_OK) {
        const BkCtlFront *first = find_first_answer(&fronts);
        json_t *upstreams = fetch_upstreams(ctl, first);
        if (ctl->options.json) {
            BkCtl_PrintJson(fronts_json(&fronts, first, upstreams));
        }
        else {
            printf("daemons    %d of %d answer\n", fronts.answered,
                   fronts.count);
            for (int i = 0; i < fronts.count; i++) {
                print_daemon(&fronts.list[i]);
            }
            print_verdicts(first);
            print_upstreams(first, upstreams);
            json_decref(upstreams);
        }
    }
    BkCtlFronts_Clear(&fronts);
    return status;
}
