#include "bk/origin/origin.h"

#include <stdlib.h>
#include <xxhash.h>

enum {
    MIN_CAP = 64
};

uint64_t
BkOrigin_Key(BkStr request_id)
{
    uint64_t key = XXH64(request_id.ptr, request_id.len, 0);

    if (request_id.len == 0) {
        return 0;
    }
    return key == 0 ? 1 : key;
}

BkOrigins
BkOrigins_Make(BkMs memory, BkMs now)
{
    return (BkOrigins){.memory = memory, .rotated_at = now};
}

void
BkOrigins_Destroy(BkOrigins *origins)
{
    free(origins->young.rows);
    free(origins->old.rows);
    *origins = (BkOrigins){0};
}

/* Returns the row of the stream, or the empty one where it belongs; NULL if
   the table has no rows. */
static BkOrigin *
find_row(const BkOriginTable *table, uint64_t stream)
{
    if (table->cap == 0) {
        return NULL;
    }
    uint64_t mask = (uint64_t)table->cap - 1;
    uint64_t at = stream & mask;
    while (table->rows[at].stream != 0 && table->rows[at].stream != stream) {
        at = (at + 1) & mask;
    }
    return &table->rows[at];
}

static void
grow(BkOriginTable *table)
{
    BkOriginTable grown = {.cap = table->cap == 0 ? MIN_CAP : table->cap * 2};

    grown.rows = BkMem_New((size_t)grown.cap, sizeof(*grown.rows));
    for (int i = 0; i < table->cap; i++) {
        if (table->rows[i].stream != 0) {
            *find_row(&grown, table->rows[i].stream) = table->rows[i];
            grown.count++;
        }
    }
    free(table->rows);
    *table = grown;
}

void
BkOrigins_Note(BkOrigins *origins, const BkOrigin *row, BkMs now)
{
    BkOriginTable *table = &origins->young;

    BkOrigins_Expire(origins, now);
    if (row->stream == 0 || BkOrigins_Find(origins, row->stream) != NULL) {
        return;
    }
    if (table->count == BK_ORIGIN_MAX_STREAMS) {
        origins->dropped++;
        return;
    }
    if (2 * (table->count + 1) > table->cap) {
        grow(table);
    }
    *find_row(table, row->stream) = *row;
    table->count++;
}

const BkOrigin *
BkOrigins_Find(const BkOrigins *origins, uint64_t stream)
{
    const BkOrigin *young = find_row(&origins->young, stream);

    if (stream == 0) {
        return NULL;
    }
    if (young != NULL && young->stream == stream) {
        return young;
    }
    const BkOrigin *old = find_row(&origins->old, stream);
    return old != NULL && old->stream == stream ? old : NULL;
}

static void
take_untold(BkOriginTable *table, bool (*wanted)(uint32_t service, void *arg),
            void (*take)(const BkOrigin *row, void *arg), void *arg)
{
    for (int i = 0; i < table->cap; i++) {
        BkOrigin *row = &table->rows[i];
        if (row->stream != 0 && row->untold && wanted(row->service, arg)) {
            row->untold = false;
            take(row, arg);
        }
    }
}

void
BkOrigins_TakeUntold(BkOrigins *origins,
                     bool (*wanted)(uint32_t service, void *arg),
                     void (*take)(const BkOrigin *row, void *arg), void *arg)
{
    take_untold(&origins->old, wanted, take, arg);
    take_untold(&origins->young, wanted, take, arg);
}

void
BkOrigins_Expire(BkOrigins *origins, BkMs now)
{
    if (now - origins->rotated_at < origins->memory) {
        return;
    }
    free(origins->old.rows);
    origins->old = origins->young;
    if (now - origins->rotated_at >= 2 * origins->memory) {
        free(origins->old.rows);
        origins->old = (BkOriginTable){0};
    }
    origins->young = (BkOriginTable){0};
    origins->rotated_at = now;
}
