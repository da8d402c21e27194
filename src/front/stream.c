#include <string.h>

#include "front.h"

/* the length of the first whole event in data with its empty line; 0: none */
static size_t
event_length(BkStr data)
{
    for (size_t i = 0; i + 1 < data.len; i++) {
        if (data.ptr[i] != '\n') {
            continue;
        }
        if (data.ptr[i + 1] == '\n') {
            return i + 2;
        }
        if (i + 2 < data.len && data.ptr[i + 1] == '\r' &&
            data.ptr[i + 2] == '\n') {
            return i + 3;
        }
    }
    return 0;
}

static void
note_event(FrRelay *relay, BkStr event)
{
    uint64_t id;

    while (event.len > 0) {
        BkStr line = BkStr_Split(&event, '\n');
        BkStr value = line;
        BkStr name = BkStr_Split(&value, ':');
        if (BkStr_Equal(name, BK_STR("id")) &&
            BkStr_ToU64(BkStr_Trim(value), &id) == BK_OK) {
            relay->has_event = true;
            relay->last_event = id;
        }
    }
}

/* the length of all whole events at the start of data */
static size_t
whole_events(FrRelay *relay, BkStr data)
{
    size_t whole = 0;

    for (;;) {
        size_t n = event_length((BkStr){data.ptr + whole, data.len - whole});
        if (n == 0) {
            return whole;
        }
        if (relay->resumable) {
            note_event(relay, (BkStr){data.ptr + whole, n});
        }
        whole += n;
    }
}

void
FrStream_Pass(FrRelay *relay)
{
    BkStr data = BkBuf_Str(&relay->answer);
    size_t n = whole_events(relay, data);

    if (n == 0) {
        return;
    }
    if (relay->stage == FR_SENT) {
        relay->stage = FR_ANSWERING;
        relay->first_sent = true;
        relay->first_at = BkClock_Now();
        FrCaller_Begin(relay->caller, relay->code, BkBuf_Str(&relay->fields),
                       relay->length);
    }
    FrCaller_Write(relay->caller, (BkStr){data.ptr, n});
    if (relay->stage == FR_ANSWERING) {
        BkBuf_Consume(&relay->answer, n);
    }
}
