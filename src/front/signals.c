#include "signals.h"

#include "bk/base/log.h"

void
FrSignals_NoteRateLimit(BkUp *up, double rate, BkMs seen_at,
                        const char *source, BkMs now)
{
    if (!BkThrottle_NoteLimit(&up->throttle, rate, seen_at, now)) {
        return;
    }
    up->throttled_until = 0;
    BkLog_Event(BK_LOG_NOTICE, "throttle", NULL,
                rate < 0 ? "rate limit ended" : "rate limit",
                "s:s, s:f, s:s, s:I", "upstream", up->id, "per_s",
                rate < 0 ? 0.0 : rate, "source", source, "age_ms",
                (json_int_t)(now - seen_at));
}

static void
note_hold_off(FrRequest *request, BkMs delay, BkMs now)
{
    BkUp *up = request->up;
    bool was_held = now < up->throttle.held_until;

    BkThrottle_NoteHoldOff(&up->throttle, delay,
                           BkRng_Unit(&request->front->rng), now);
    if (up->throttle.held_until > up->no_order_until) {
        up->no_order_until = up->throttle.held_until;
    }
    if (!was_held) {
        BkCounter_Add(request->front->metrics.hold_offs, 1);
        BkLog_Event(BK_LOG_NOTICE, "throttle", request->id, "hold-off",
                    "s:s, s:I", "upstream", up->id, "for_ms",
                    (json_int_t)delay);
    }
}

static void
log_bad_value(const FrRequest *request, const char *event)
{
    BkLog_Event(BK_LOG_WARNING, "throttle", request->id, event, "s:s",
                "upstream", request->up->id);
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
        log_bad_value(request, "bad rate limit, ignored");
    }
    else if (fields->rate_limit >= 0 || fields->has_receipt) {
        /* a refusal without a limit does not end one */
        FrSignals_NoteRateLimit(up, fields->rate_limit, now, "its response",
                                now);
    }
    if (fields->bad_leaving) {
        log_bad_value(request, "bad leaving flag, ignored");
    }
    if (fields->leaving && up->state != BK_UP_LEAVING) {
        BkFleet_MarkLeaving(&request->front->fleet, up, now);
    }
    if (fields->bad_hold_off) {
        log_bad_value(request, "bad hold-off, ignored");
    }
    if (fields->hold_off > 0) {
        note_hold_off(request, fields->hold_off, now);
    }
}
