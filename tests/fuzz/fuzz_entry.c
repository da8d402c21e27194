/* what callers and upstreams send to bk-entry */
#include "bk/entry/codec.h"
#include "bk/entry/ticket.h"

#include "fuzz.h"

/* events cover the text from its start, none of them empty */
static void
take_events(BkStr rest)
{
    BkEvent event;
    size_t used;

    while ((used = BkEvent_Parse(rest, &event)) > 0) {
        BkBuf text = BkBuf_Make(0);
        if (used > rest.len || event.raw.len != used ||
            (event.kind == BK_EVENT_TEXT && event.id == 0)) {
            __builtin_trap();
        }
        BkEvent_ExtractText(event.data, &text);
        BkBuf_Destroy(&text);
        rest.ptr += used;
        rest.len -= used;
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const unsigned char key[BK_TICKET_KEY_BYTES];
    BkStr text = {(const char *)data, size};
    BkCompletion completion;
    BkTicket ticket;

    take_events(text);
    if (BkCompletion_Parse(&completion, text) == BK_OK) {
        BkBuf longer = BkBuf_Make(0);
        if (BkCompletion_AddContinueFrom(text, 3, BK_STR("x"), &longer) !=
            BK_OK) {
            __builtin_trap();
        }
        BkBuf_Destroy(&longer);
        BkCompletion_Clear(&completion);
    }
    if (BkTicket_Open(&ticket, text, key) == BK_OK) {
        __builtin_trap();
    }
    return 0;
}
