#include "signals.h"

#include "bk/base/log.h"

void
FrSignals_NoteRateLimit(BkUp *up, double rate, BkMs seen_at,
                        const char *source, BkMs now)
{
    if (!BkThrottle_NoteLimit(&up->throttle, rate, seen_at, now)) {
        return;
    }
    BkLog_Event(BK_LOG_NOTICE, "throttle", NULL,
                rate < 0 ? "rate limit ended" : "rate limit",
                "s:s, s:f, s:s, s:I", "upstream", up->id, "per_s",
                rate < 0 ? 0.0 : rate, "source", source, "age_ms",
                (json_int_t)(now - seen_at));
}

void
FrSignals_Note(FrRequest *request, const BkResponseFields *fields, BkMs now)
{
    BkUp *up = request->up;

    if (fields->upstream_id.len > 0 &&
        !BkStr_Equal(fields->upstream_id, BkStr_FromC(up->id))) {
        return; /* another process runs at the address */
    }
    if (fields->bad_rate_limit) {
        BkLog_Event(BK_LOG_WARNING, "throttle", request->id,
                    "bad rate limit, ignored", "s:s", "upstream", up->id);
    }
    else if (fields->rate_limit >= 0 || fields->has_receipt) {
        /* a refusal without a limit does not end one */
        FrSignals_NoteRateLimit(up, fields->rate_limit, now, "its response",
                                now);
    }
}
