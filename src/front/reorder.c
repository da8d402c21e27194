#include "reorder.h"

#include "bk/base/log.h"

#include <string.h>

static void
copy_row(bkp_row *dst, const bkp_row *src)
{
    u_int len = src->value.value_len;

    *dst = *src;
    dst->key = BkStr_Dup(BkStr_FromC(src->key));
    dst->value.value_val = BkMem_New(len + 1, 1);
    if (len > 0) {
        memcpy(dst->value.value_val, src->value.value_val, len);
    }
}

/* keeps the other messages in their order; does not free this one */
static void
remove_at(FrReorder *buffer, int index)
{
    buffer->count--;
    memmove(buffer->messages + index, buffer->messages + index + 1,
            (size_t)(buffer->count - index) * sizeof(buffer->messages[0]));
}

static void
drop_at(FrReorder *buffer, int index)
{
    xdr_free((xdrproc_t)xdr_bkp_reports, (char *)&buffer->messages[index]);
    remove_at(buffer, index);
}

void
FrReports_Copy(bkp_reports *copy, const bkp_reports *message)
{
    *copy = *message;
    copy->spread = (bkp_spread){0};
    copy->name = BkStr_Dup(BkStr_FromC(message->name));
    copy->rows.rows_val =
        BkMem_New(message->rows.rows_len, sizeof(*copy->rows.rows_val));
    for (u_int i = 0; i < message->rows.rows_len; i++) {
        copy_row(&copy->rows.rows_val[i], &message->rows.rows_val[i]);
    }
}

/* the other reader may have sent the same changes */
static bool
is_buffered(const FrReorder *buffer, const bkp_reports *message)
{
    for (int i = 0; i < buffer->count; i++) {
        if (buffer->messages[i].from_store_version ==
                message->from_store_version &&
            buffer->messages[i].to_store_version ==
                message->to_store_version) {
            return true;
        }
    }
    return false;
}

void
FrReorder_Add(FrReorder *buffer, const bkp_reports *message)
{
    if (message->rows.rows_len == 0 || is_buffered(buffer, message)) {
        return;
    }
    if (buffer->count == FR_REORDER_MAX_MESSAGES) {
        /* later gossip of the peers will show that this daemon is behind, and
           it will ask the store */
        if (!buffer->overflowed) {
            BkLog_Event(BK_LOG_INFO, "sync", NULL, "reorder buffer full",
                        "s:I, s:I", "dropped",
                        (json_int_t)buffer->messages[0].to_store_version,
                        "added", (json_int_t)message->to_store_version);
        }
        buffer->overflowed = true;
        drop_at(buffer, 0);
    }
    FrReports_Copy(&buffer->messages[buffer->count++], message);
}

bool
FrReorder_Pop(FrReorder *buffer, uint64_t version, bkp_reports *out)
{
    for (int i = buffer->count - 1; i >= 0; i--) {
        if (buffer->messages[i].to_store_version <= version) {
            drop_at(buffer, i);
        }
    }
    for (int i = 0; i < buffer->count; i++) {
        if (buffer->messages[i].from_store_version <= version) {
            *out = buffer->messages[i];
            remove_at(buffer, i);
            buffer->overflowed = false;
            return true;
        }
    }
    return false;
}

void
FrReorder_Clear(FrReorder *buffer)
{
    while (buffer->count > 0) {
        drop_at(buffer, buffer->count - 1);
    }
    buffer->overflowed = false;
}
