#include "bk/quarantine/well.h"

#include <stdlib.h>

#include "bk/base/str.h"

BkWell
BkWell_Make(void)
{
    return (BkWell){BkMem_New(BK_WELL_ROWS, sizeof(BkWellRow))};
}

void
BkWell_Destroy(BkWell *well)
{
    free(well->rows);
    *well = (BkWell){0};
}

void
BkWell_Note(BkWell *well, const BkTrait *trait, BkMs sent_at)
{
    uint64_t hash = BkTrait_Hash(trait);
    BkWellRow *row = &well->rows[hash % BK_WELL_ROWS];

    if (row->hash != hash || row->sent_at < sent_at) {
        *row = (BkWellRow){hash, sent_at};
    }
}

BkMs
BkWell_LastSent(const BkWell *well, const BkTrait *trait)
{
    uint64_t hash = BkTrait_Hash(trait);
    const BkWellRow *row = &well->rows[hash % BK_WELL_ROWS];

    return row->hash == hash ? row->sent_at : -1;
}
