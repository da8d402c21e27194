#include "signals.h"

#include "admission_inputs.h"

#include "bk/base/log.h"

enum {
    /* ms; responses overtake each other on different connections */
    BRITTLE_HYSTERESIS = 500
};

void
FrSignals_NoteRateLimit(BkUp *up, double rate, BkMs seen_at,
                        const char *source, BkMs now)
{
    FrAdmissionInputs_Limit(up, rate, seen_at, now);
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
note_hold_off(FrFront *front, BkUp *up, BkMs delay, const char *request_id,
              BkMs now)
{
    bool was_held = now < up->throttle.held_until;

    BkThrottle_NoteHoldOff(&up->throttle, delay, BkRng_Unit(&front->rng), now);
    if (up->throttle.held_until > up->no_order_until) {
        up->no_order_until = up->throttle.held_until;
    }
    if (!was_held) {
        BkCounter_Add(front->metrics.hold_offs, 1);
        BkLog_Event(BK_LOG_NOTICE, "throttle", request_id, "hold-off",
                    "s:s, s:I", "upstream", up->id, "for_ms",
                    (json_int_t)delay);
    }
}

static int
find_brittle(const FrFront *front, uint32_t service)
{
    int i = 0;

    while (i < front->brittle_count &&
           front->brittle_services[i].service != service) {
        i++;
    }
    return i;
}

bool
FrSignals_IsBrittle(const FrFront *front, uint32_t service)
{
    return find_brittle(front, service) < front->brittle_count;
}

/* All upstreams of a service are brittle at the same time, so a response of one
   counts for the others too. */
static void
note_brittle(FrFront *front, const BkUp *up, int64_t max_refusals, BkMs now)
{
    int i = find_brittle(front, up->service_key);

    if (i == FR_MAX_SERVICES) {
        BkLog_Event(BK_LOG_WARNING, "throttle", NULL,
                    "no room for a brittle service", "s:s", "service",
                    up->service);
        return;
    }
    if (i == front->brittle_count) {
        front->brittle_count++;
        BkLog_Event(BK_LOG_NOTICE, "throttle", NULL, "service brittle",
                    "s:s, s:s, s:I", "service", up->service, "upstream",
                    up->id, "max_refusals", (json_int_t)max_refusals);
    }
    front->brittle_services[i] = (FrBrittleService){up->service_key, now};
}

/* A response without the word, which ends it unless another upstream has just
   named it. */
static void
note_sound(FrFront *front, const BkUp *up, BkMs now)
{
    int i = find_brittle(front, up->service_key);

    if (i == front->brittle_count ||
        now - front->brittle_services[i].named_at < BRITTLE_HYSTERESIS) {
        return;
    }
    front->brittle_services[i] =
        front->brittle_services[--front->brittle_count];
    BkLog_Event(BK_LOG_NOTICE, "throttle", NULL, "service no longer brittle",
                "s:s, s:s", "service", up->service, "upstream", up->id);
}

static void
log_bad_value(const BkUp *up, const char *request_id, const char *event)
{
    BkLog_Event(BK_LOG_WARNING, "throttle", request_id, event, "s:s",
                "upstream", up->id);
}

void
FrSignals_Apply(FrFront *front, BkUp *up, const BkSignals *signals,
                bool ends_limit, const char *request_id, BkMs now)
{
    if (signals->bad_rate_limit) {
        log_bad_value(up, request_id, "bad rate limit, ignored");
    }
    else if (signals->rate_limit >= 0 || ends_limit) {
        FrSignals_NoteRateLimit(up, signals->rate_limit, now, "its response",
                                now);
    }
    if (signals->bad_max_refusals) {
        log_bad_value(up, request_id, "bad number of refusals, ignored");
    }
    else if (signals->max_refusals >= 0) {
        note_brittle(front, up, signals->max_refusals, now);
    }
    else if (ends_limit) {
        note_sound(front, up, now);
    }
    if (signals->bad_leaving) {
        log_bad_value(up, request_id, "bad leaving flag, ignored");
    }
    if (signals->leaving && up->state != BK_UP_LEAVING) {
        BkFleet_MarkLeaving(&front->fleet, up, now);
    }
    if (signals->bad_hold_off) {
        log_bad_value(up, request_id, "bad hold-off, ignored");
    }
    if (signals->hold_off > 0) {
        note_hold_off(front, up, signals->hold_off, request_id, now);
    }
}

void
FrSignals_Note(FrRequest *request, const BkResponseFields *fields, BkMs now)
{
    BkUp *up = request->up;

    if (fields->upstream_id.len > 0 &&
        !BkStr_Equal(fields->upstream_id, BkStr_FromC(up->id))) {
        return; /* another process runs at the address */
    }
    /* a refusal without a limit does not end one */
    FrSignals_Apply(request->front, up, &fields->signals, fields->has_receipt,
                    request->id, now);
}
