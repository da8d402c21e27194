#include "quarantine_inputs.h"

#include <stdio.h>

#include "bk/base/log.h"

enum {
    SERVICE_BYTES = 12
};

static bool
is_off(void)
{
    return bk_log_threshold < BK_LOG_DEBUG;
}

void
FrQuarantineInputs_Begin(const FrQuarantine *quarantine, BkMs now)
{
    BkStr name = BkStr_FromC(quarantine->front->conf.name);

    if (is_off()) {
        return;
    }
    BkLog_Event(BK_LOG_DEBUG, "quarantine", NULL, "quarantine begins",
                "s:I, s:I, s:I, s:I", "now", (json_int_t)now, "daemon",
                (json_int_t)BkStr_NameHash(name), "probation_ms",
                (json_int_t)quarantine->verdicts.short_term, "term_ms",
                (json_int_t)quarantine->verdicts.first_term);
}

void
FrQuarantineInputs_Due(const FrQuarantine *quarantine, BkMs now)
{
    const BkTally *tally = &quarantine->tally;

    if (!is_off()) {
        BkLog_Event(BK_LOG_DEBUG, "quarantine", NULL, "decision due",
                    "s:I, s:i, s:i", "now", (json_int_t)now, "traits_counted",
                    tally->count, "crashes_counted",
                    BkTally_CountCrashes(tally));
    }
}

void
FrQuarantineInputs_Shares(const FrQuarantine *quarantine, BkMs now)
{
    if (!is_off() && quarantine->verdicts.active > 0) {
        BkLog_Event(BK_LOG_DEBUG, "quarantine", NULL, "shares checked", "s:I",
                    "now", (json_int_t)now);
    }
}

static BkBuf
list_traits(const BkTrait *traits, int count)
{
    BkBuf text = BkBuf_Make(0);

    for (int i = 0; i < count; i++) {
        BkBuf_Printf(&text, "%s%s:%llx", i == 0 ? "" : ",",
                     BkTrait_KindName(traits[i].kind),
                     (unsigned long long)traits[i].id);
    }
    return text;
}

void
FrQuarantineInputs_Traits(const char *event, const BkTrait *traits, int count,
                          BkMs sent_at, BkMs now)
{
    char service[SERVICE_BYTES];

    if (is_off()) {
        return;
    }
    BkBuf text = list_traits(traits, count);
    snprintf(service, sizeof(service), "%08x", traits[0].service);
    BkLog_Event(BK_LOG_DEBUG, "quarantine", NULL, event, "s:I, s:I, s:s, s:s",
                "now", (json_int_t)now, "sent_ms", (json_int_t)(now - sent_at),
                "service", service, "traits", BkBuf_C(&text));
    BkBuf_Destroy(&text);
}

void
FrQuarantineInputs_Verdict(const char *event, const BkVerdict *verdict,
                           const char *source, BkMs now)
{
    char service[SERVICE_BYTES];

    if (is_off()) {
        return;
    }
    BkBuf text = list_traits(&verdict->trait, 1);
    snprintf(service, sizeof(service), "%08x", verdict->trait.service);
    BkLog_Event(BK_LOG_DEBUG, "quarantine", NULL, event,
                "s:I, s:s, s:s, s:s, s:I, s:b, s:i, s:I, s:I, s:I", "now",
                (json_int_t)now, "service", service, "traits", BkBuf_C(&text),
                "source", source, "generation",
                (json_int_t)verdict->generation, "lifted", verdict->lifted,
                "confirmations", verdict->confirmations, "since_ms",
                (json_int_t)(now - verdict->since), "evidence_ms",
                (json_int_t)(now - verdict->evidence_since), "claimant",
                (json_int_t)verdict->claimant);
    BkBuf_Destroy(&text);
}
