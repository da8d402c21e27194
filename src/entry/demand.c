#include <stdlib.h>
#include <string.h>

#include "bk/entry/entry.h"

enum {
    DEMAND_PERIOD_MS = 5000
};

typedef struct ItemRow {
    bkg_demand_row totals;      /* since this daemon started */
    uint64_t reported_requests; /* totals.requests in the last message */
} ItemRow;

struct BkEntryDemand {
    BkDaemon *daemon;
    BkTimer *timer;
    ItemRow *rows; /* one per item, sorted by key */
    int count;
    int cap;
    int next_index; /* first row to check for the next message */
};

static ItemRow *
find_or_add_row(BkEntryDemand *demand, const char *item)
{
    uint32_t key = BkBundle_NameHash(BkStr_FromC(item));
    int low = 0;
    int high = demand->count;

    while (low < high) {
        int middle = low + (high - low) / 2;
        if (demand->rows[middle].totals.key < key) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    if (low < demand->count && demand->rows[low].totals.key == key) {
        return &demand->rows[low];
    }
    if (demand->count == demand->cap) {
        demand->cap = demand->cap == 0 ? 16 : demand->cap * 2;
        demand->rows =
            BkMem_Grow(demand->rows, (size_t)demand->cap, sizeof(ItemRow));
    }
    memmove(&demand->rows[low + 1], &demand->rows[low],
            (size_t)(demand->count - low) * sizeof(ItemRow));
    demand->count++;
    demand->rows[low] = (ItemRow){.totals = {.key = key}};
    return &demand->rows[low];
}

/* Reports the items that got requests since they were last reported. If more
 * changed than fit into a message, the next message continues after them. */
static void
send_demand(void *arg)
{
    BkEntryDemand *demand = arg;
    BkDaemon *daemon = demand->daemon;
    bkg_demand_row rows[BKG_MAX_DEMAND];
    bkg_demand message = {.daemon = daemon->conf->name,
                          .epoch = daemon->epoch};
    u_int count = 0;

    for (int i = 0; i < demand->count && count < BKG_MAX_DEMAND; i++) {
        ItemRow *row = &demand->rows[demand->next_index++ % demand->count];
        if (row->totals.requests != row->reported_requests) {
            row->reported_requests = row->totals.requests;
            rows[count++] = row->totals;
        }
    }
    if (demand->count > 0) {
        demand->next_index %= demand->count;
    }
    message.rows.rows_len = count;
    message.rows.rows_val = rows;
    if (count > 0) {
        BkDaemon_SendDemand(daemon, &message);
    }
    BkTimer_Start(demand->timer, DEMAND_PERIOD_MS);
}

BkEntryDemand *
BkEntryDemand_Create(BkDaemon *daemon)
{
    BkEntryDemand *demand = BkMem_New(1, sizeof(*demand));

    demand->daemon = daemon;
    demand->timer = BkTimer_Create(daemon->loop, send_demand, demand);
    BkTimer_Start(demand->timer, BkRng_Below(&daemon->rng, DEMAND_PERIOD_MS));
    return demand;
}

void
BkEntryDemand_Destroy(BkEntryDemand *demand)
{
    if (demand != NULL) {
        BkTimer_Destroy(demand->timer);
        free(demand->rows);
        free(demand);
    }
}

void
BkEntryDemand_NoteRequest(BkEntryDemand *demand, const char *item)
{
    find_or_add_row(demand, item)->totals.requests++;
}

void
BkEntryDemand_AddBusyTime(BkEntryDemand *demand, const char *item, BkMs busy)
{
    find_or_add_row(demand, item)->totals.busy_ms += (uint64_t)busy;
}
