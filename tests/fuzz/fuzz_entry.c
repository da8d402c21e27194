/* fuzzes the parsers of what callers and upstreams send to bk-entry */
#include "bk/entry/codec.h"
#include "bk/entry/ticket.h"

#include "fuzz.h"

/* the parsed events must cover the text from its start, and none is empty */
static void
fuzz_events(BkStr unparsed)
{
    BkEvent event;
    size_t event_size;

    while ((event_size = BkEvent_Parse(unparsed, &event)) > 0) {
        BkBuf text = BkBuf_Make(0);
        if (event_size > unparsed.len || event.raw.len != event_size ||
            (event.kind == BK_EVENT_TEXT && event.id == 0)) {
            __builtin_trap();
        }
        BkEvent_ExtractText(event.data, &text);
        BkBuf_Destroy(&text);
        unparsed.ptr += event_size;
        unparsed.len -= event_size;
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const unsigned char key[BK_TICKET_KEY_BYTES];
    BkStr text = {(const char *)data, size};
    BkCompletion completion;
    BkTicket ticket;

    fuzz_events(text);
    if (BkCompletion_Parse(&completion, text) == BK_OK) {
        BkBuf extended = BkBuf_Make(0);
        if (BkCompletion_AddContinueFrom(text, 3, BK_STR("x"), &extended) !=
            BK_OK) {
            __builtin_trap();
        }
        BkBuf_Destroy(&extended);
        BkCompletion_Clear(&completion);
    }
    if (BkTicket_Open(&ticket, text, key) == BK_OK) {
        __builtin_trap();
    }
    return 0;
}
