#include "outbox.h"

#include "reorder.h"

bool
FrOutbox_Add(FrOutbox *outbox, const bkp_reports *message)
{
    if (outbox->count == FR_OUTBOX_MAX_MESSAGES) {
        return false;
    }
    int index = (outbox->first + outbox->count) % FR_OUTBOX_MAX_MESSAGES;
    FrReports_Copy(&outbox->messages[index], message);
    outbox->count++;
    return true;
}

bool
FrOutbox_Pop(FrOutbox *outbox, bkp_reports *out)
{
    if (outbox->count == 0) {
        return false;
    }
    *out = outbox->messages[outbox->first];
    outbox->first = (outbox->first + 1) % FR_OUTBOX_MAX_MESSAGES;
    outbox->count--;
    return true;
}

const bkp_reports *
FrOutbox_First(const FrOutbox *outbox)
{
    return outbox->count == 0 ? NULL : &outbox->messages[outbox->first];
}

void
FrOutbox_Clear(FrOutbox *outbox)
{
    bkp_reports message;

    while (FrOutbox_Pop(outbox, &message)) {
        xdr_free((xdrproc_t)xdr_bkp_reports, (char *)&message);
    }
}
