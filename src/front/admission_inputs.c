#include "admission_inputs.h"

#include "bk/base/log.h"
#include "request.h"

static bool
is_off(void)
{
    return bk_log_threshold < BK_LOG_DEBUG;
}

void
FrAdmissionInputs_Decided(const FrFront *front, const BkUp *up,
                          const BkAdmitAsk *ask, const BkAdmitAnswer *answer,
                          int64_t prompt, const char *from,
                          const char *request_id, BkMs now)
{
    if (is_off()) {
        return;
    }
    BkPickConf conf = FrRequest_MakePickConf(front, up->service_key);
    int64_t unread = up->own_prompt_tokens + up->peer_prompt_tokens;
    BkLog_Event(BK_LOG_DEBUG, "keeper", request_id, "asked",
                "s:I, s:s, s:I, s:s*, s:b, s:b, s:i, s:i, s:I, s:I, s:I, s:f, "
                "s:s, s:I",
                "now", (json_int_t)now, "upstream", up->id, "born",
                (json_int_t)up->started_at, "from", from, "service",
                FrRequest_IsForService(front, up), "brittle", ask->brittle,
                "running", ask->running, "slots", ask->slots, "unread",
                (json_int_t)unread, "prompt", (json_int_t)prompt, "window",
                (json_int_t)conf.prefill_window, "load_ratio",
                conf.max_load_ratio, "answer",
                BkAdmit_ResultName(answer->result), "delay_ms",
                (json_int_t)answer->delay);
}

void
FrAdmissionInputs_Unanswered(const FrRequest *request, bool brittle, bool sent,
                             BkMs now)
{
    const BkUp *up = request->up;

    if (!is_off()) {
        BkLog_Event(BK_LOG_DEBUG, "keeper", request->id, "ask unanswered",
                    "s:I, s:s, s:I, s:b, s:b", "now", (json_int_t)now,
                    "upstream", up->id, "born", (json_int_t)up->started_at,
                    "brittle", brittle, "sent", sent);
    }
}

void
FrAdmissionInputs_Limit(const BkUp *up, double rate, BkMs seen_at, BkMs now)
{
    const BkThrottle *throttle = &up->throttle;

    /* most notes say that there is no limit, as before; an older note than the
       last one changes nothing */
    if (is_off() || seen_at < throttle->limit_seen_at ||
        (rate < 0 && !BkThrottle_IsLimited(throttle))) {
        return;
    }
    BkLog_Event(BK_LOG_DEBUG, "throttle", NULL, "limit noted",
                "s:I, s:s, s:I, s:f, s:I", "now", (json_int_t)now, "upstream",
                up->id, "born", (json_int_t)up->started_at, "per_s", rate,
                "seen_ms", (json_int_t)(now - seen_at));
}
