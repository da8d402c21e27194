#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/steward/steward.h"

/*
 * Daemons send counters that rise since their start; the planner takes the
 * differences. A steward that is not the planner passes them on.
 */

enum {
    MAX_SOURCES = 1024,
    FORWARDS_PER_S = 500, /* so that two that take each other for the planner
                             do not keep a message going round */
    MS_PER_S = 1000
};

typedef struct DemandRow {
    uint32_t key; /* of the item's name */
    uint64_t requests;
    uint64_t busy_ms;
} DemandRow;

struct BkDemandSource {
    char *daemon;
    uint64_t epoch;
    DemandRow *rows;
    int count;
};

/* what came in since the last decision */
struct BkDemandTally {
    uint32_t key;
    double requests;
    double busy_s;
};

static BkDemandSource *
find_source(BkSteward *steward, const char *daemon)
{
    for (int i = 0; i < steward->source_count; i++) {
        if (strcmp(steward->sources[i].daemon, daemon) == 0) {
            return &steward->sources[i];
        }
    }
    if (steward->source_count == MAX_SOURCES) {
        return NULL;
    }
    steward->sources =
        BkMem_Grow(steward->sources, (size_t)steward->source_count + 1,
                   sizeof(BkDemandSource));
    BkDemandSource *source = &steward->sources[steward->source_count++];
    *source = (BkDemandSource){.daemon = BkStr_Dup(BkStr_FromC(daemon))};
    return source;
}

static DemandRow *
find_row(BkDemandSource *source, uint32_t key, bool *fresh)
{
    *fresh = false;
    for (int i = 0; i < source->count; i++) {
        if (source->rows[i].key == key) {
            return &source->rows[i];
        }
    }
    *fresh = true;
    source->rows =
        BkMem_Grow(source->rows, (size_t)source->count + 1, sizeof(DemandRow));
    DemandRow *row = &source->rows[source->count++];
    *row = (DemandRow){.key = key};
    return row;
}

static void
add_tally(BkSteward *steward, uint32_t key, uint64_t requests,
          uint64_t busy_ms)
{
    for (int i = 0; i < steward->demand_count; i++) {
        BkDemandTally *tally = &steward->tallies[i];
        if (tally->key == key) {
            tally->requests += (double)requests;
            tally->busy_s += (double)busy_ms / MS_PER_S;
            return;
        }
    }
}

static void
take_row(BkSteward *steward, BkDemandSource *source,
         const bkg_demand_row *told, bool restarted)
{
    bool fresh;
    DemandRow *row = find_row(source, told->key, &fresh);

    /* the first counters of a source that was up before are no rate */
    if ((!fresh || restarted) && told->requests >= row->requests &&
        told->busy_ms >= row->busy_ms) {
        add_tally(steward, told->key, told->requests - row->requests,
                  told->busy_ms - row->busy_ms);
    }
    if (told->requests > row->requests) {
        row->requests = told->requests;
        row->busy_ms = told->busy_ms;
    }
}

static void
forward(BkSteward *steward, const bkg_demand *demand)
{
    const BkDaemon *daemon = steward->daemon;
    BkMs now = BkClock_Now();
    bool known = daemon->planner_at != BK_MS_NEVER &&
                 now - daemon->planner_at < steward->conf->lease_duration &&
                 strcmp(daemon->planner, steward->conf->daemon.name) != 0;

    if (now - steward->forward_window_start >= MS_PER_S) {
        steward->forward_window_start = now;
        steward->forward_count = 0;
    }
    if (known && steward->forward_count < FORWARDS_PER_S) {
        steward->forward_count++;
        BkDaemon_SendDemand(steward->daemon, demand);
    }
}

void
BkSteward_ReceiveDemand(BkSteward *steward, const bkg_demand *demand)
{
    if (!steward->planning) {
        forward(steward, demand);
        return;
    }
    BkDemandSource *source = find_source(steward, demand->daemon);
    if (source == NULL || demand->epoch < source->epoch) {
        return;
    }
    bool restarted = source->epoch != 0 && demand->epoch > source->epoch;
    if (demand->epoch > source->epoch) {
        source->epoch = demand->epoch;
        source->count = 0;
    }
    for (u_int i = 0; i < demand->rows.rows_len; i++) {
        take_row(steward, source, &demand->rows.rows_val[i], restarted);
    }
}

void
BkSteward_RemapDemand(BkSteward *steward, const BkBundle *bundle)
{
    int count = bundle->item_count;
    BkDemand *demand = BkMem_New((size_t)count, sizeof(BkDemand));
    BkDemandTally *tally = BkMem_New((size_t)count, sizeof(BkDemandTally));

    for (int i = 0; i < count; i++) {
        tally[i].key = BkBundle_Key(BkStr_FromC(bundle->items[i].name));
        for (int old = 0; old < steward->demand_count; old++) {
            if (steward->tallies[old].key == tally[i].key) {
                tally[i] = steward->tallies[old];
                demand[i] = steward->demand[old];
            }
        }
    }
    free(steward->demand);
    free(steward->tallies);
    steward->demand = demand;
    steward->tallies = tally;
    steward->demand_count = count;
}

void
BkSteward_UpdateDemand(BkSteward *steward, BkMs dt, BkMs now)
{
    for (int i = 0; i < steward->demand_count; i++) {
        BkDemandTally *tally = &steward->tallies[i];
        if (tally->requests > 0) {
            steward->demand[i].slot_seconds = tally->busy_s / tally->requests;
        }
        BkDemand_Update(&steward->demand[i], &steward->conf->place,
                        tally->requests, dt, now);
        tally->requests = 0;
        tally->busy_s = 0;
    }
}

void
BkSteward_FreeDemand(BkSteward *steward)
{
    for (int i = 0; i < steward->source_count; i++) {
        free(steward->sources[i].daemon);
        free(steward->sources[i].rows);
    }
    free(steward->sources);
    free(steward->demand);
    free(steward->tallies);
}
