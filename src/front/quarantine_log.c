#include "quarantine.h"

#include <stdio.h>

#include "bk/base/log.h"

enum {
    /* suspects in one member, which the log would cut if it were longer */
    MAX_LISTED = 12
};

static void
log_dropped(const char *event, int64_t dropped, int64_t *logged)
{
    if (dropped > *logged) {
        BkLog_Event(BK_LOG_WARNING, "quarantine", NULL, event, "s:I", "count",
                    (json_int_t)(dropped - *logged));
        *logged = dropped;
    }
}

void
FrQuarantineLog_Dropped(FrQuarantine *quarantine)
{
    log_dropped("no room for traits",
                quarantine->tally.dropped + quarantine->verdicts.dropped +
                    quarantine->share.dropped,
                &quarantine->dropped_logged);
    log_dropped("no room for crashes",
                quarantine->tally.dropped_crashes +
                    quarantine->trial_ends.dropped,
                &quarantine->dropped_crashes_logged);
}

void
FrQuarantineLog_Verdict(const FrQuarantine *quarantine,
                        const BkVerdict *verdict, const char *event,
                        const char *source, BkMs now)
{
    char id[20];
    char service[12];

    snprintf(id, sizeof(id), "%llx", (unsigned long long)verdict->trait.id);
    snprintf(service, sizeof(service), "%08x", verdict->trait.service);
    BkLog_Event(
        BK_LOG_NOTICE, "quarantine", NULL, event,
        "s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:I", "kind",
        BkTrait_KindName(verdict->trait.kind), "trait", id, "service", service,
        "source", source, "generation", (int)verdict->generation, "trials",
        verdict->confirmations, "for_ms",
        (json_int_t)(verdict->lifted
                         ? 0
                         : BkVerdicts_Until(&quarantine->verdicts, verdict) -
                               now),
        "refused", (json_int_t)verdict->refused);
}

/* "i-1,i-2"; one that is no longer known is named by its key. */
static BkBuf
list_upstreams(const FrFront *front, const BkTallyRow *row)
{
    BkBuf text = BkBuf_Make(0);

    for (int i = 0; i < row->count; i++) {
        uint32_t key = row->crashes[i].crash.upstream;
        const BkUp *up = BkFleet_FindByKey(&front->fleet, key);
        BkBuf_Printf(&text, i == 0 ? "" : ",");
        if (up != NULL) {
            BkBuf_Printf(&text, "%s", up->id);
        }
        else {
            BkBuf_Printf(&text, "#%08x", key);
        }
    }
    return text;
}

void
FrQuarantineLog_Evidence(const FrFront *front, const BkTallyRow *row, BkMs now)
{
    BkBuf upstreams = list_upstreams(front, row);
    char id[20];

    snprintf(id, sizeof(id), "%llx", (unsigned long long)row->trait.id);
    BkLog_Event(BK_LOG_NOTICE, "quarantine", NULL, "evidence",
                "s:s, s:s, s:s, s:i, s:I, s:I, s:i, s:b", "kind",
                BkTrait_KindName(row->trait.kind), "trait", id, "crashed",
                BkBuf_C(&upstreams), "depth", row->depth, "first_ms",
                (json_int_t)(now - row->crashes[0].crash.at), "last_ms",
                (json_int_t)(now - row->crashes[row->count - 1].crash.at),
                "uncounted", row->uncounted_count, "weak", row->weak);
    BkBuf_Destroy(&upstreams);
}

void
FrQuarantineLog_Withheld(uint32_t service)
{
    char name[12];

    snprintf(name, sizeof(name), "%08x", service);
    BkLog_Event(BK_LOG_NOTICE, "quarantine", NULL, "verdicts withheld",
                "s:s, s:s, s:i", "service", name, "why",
                "they would refuse most of its requests", "for_ms",
                BK_SHARE_EXEMPT);
}

/* "part:5c1e07a2:1:120:91bd3f06,request:91bd3f06:0:120:91bd3f06": kind, id,
   depth, ms since the request was sent, and the request */
static BkBuf
list_suspects(const BkSuspect *suspects, int count, BkMs now)
{
    BkBuf text = BkBuf_Make(0);

    for (int i = 0; i < count; i++) {
        BkBuf_Printf(&text, "%s%s:%llx:%d:%lld:%llx", i == 0 ? "" : ",",
                     BkTrait_KindName(suspects[i].trait.kind),
                     (unsigned long long)suspects[i].trait.id,
                     suspects[i].depth, (long long)(now - suspects[i].sent_at),
                     (unsigned long long)suspects[i].request);
    }
    return text;
}

void
FrQuarantineLog_Crash(const FrFront *front, const BkCrash *crash,
                      const BkSuspect *suspects, int count, bool own, BkMs now)
{
    const BkUp *up = BkFleet_FindByKey(&front->fleet, crash->upstream);
    char key[12];
    char service[12];

    if (bk_log_threshold < BK_LOG_DEBUG) {
        return;
    }
    int first = count < MAX_LISTED ? count : MAX_LISTED;
    BkBuf text = list_suspects(suspects, first, now);
    BkBuf more = list_suspects(suspects + first, count - first, now);
    snprintf(key, sizeof(key), "#%08x", crash->upstream);
    snprintf(service, sizeof(service), "%08x",
             count == 0 ? 0 : suspects[0].trait.service);
    BkLog_Event(BK_LOG_DEBUG, "quarantine", NULL, "crash heard",
                "s:I, s:s, s:s, s:b, s:I, s:I, s:I, s:s, s:s, s:s", "now",
                (json_int_t)now, "upstream", up == NULL ? key : up->id, "key",
                key, "own", own, "age_ms", (json_int_t)(now - crash->at),
                "alive_ms", (json_int_t)(now - crash->alive_at), "born",
                (json_int_t)crash->started_at, "service", service, "suspects",
                BkBuf_C(&text), "more", BkBuf_C(&more));
    BkBuf_Destroy(&more);
    BkBuf_Destroy(&text);
}
