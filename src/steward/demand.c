#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/steward/steward.h"

/*
 * Each daemon sends, per item, the totals of requests and of the slot time
 * that they took, since its start. The planner adds up the increases. A
 * steward that is not the planner forwards the message to the planner.
 */

enum {
    MAX_SOURCES = 1024,
    /* bounds the load when two stewards each believe that the other is the
       planner and forward a message back and forth */
    MAX_FORWARDS_PER_S = 500,
    MS_PER_S = 1000
};

/* The totals last received from one daemon for one item. */
typedef struct ItemCounters {
    uint32_t key; /* of the item's name */
    uint64_t requests;
    uint64_t busy_ms; /* slot time that these requests took */
} ItemCounters;

/* A daemon that sends its totals. */
struct BkDemandSource {
    char *daemon_name;
    uint64_t epoch; /* of the daemon's start */
    ItemCounters *items;
    int item_count;
};

/* Requests of one item since the last decision. */
struct BkDemandTally {
    uint32_t key;
    double requests;
    double busy_s; /* slot time that these requests took */
};

static BkDemandSource *
find_or_add_source(BkSteward *steward, const char *daemon_name)
{
    for (int i = 0; i < steward->source_count; i++) {
        if (strcmp(steward->sources[i].daemon_name, daemon_name) == 0) {
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
    *source =
        (BkDemandSource){.daemon_name = BkStr_Dup(BkStr_FromC(daemon_name))};
    return source;
}

static ItemCounters *
find_or_add_counters(BkDemandSource *source, uint32_t key, bool *is_new)
{
    *is_new = false;
    for (int i = 0; i < source->item_count; i++) {
        if (source->items[i].key == key) {
            return &source->items[i];
        }
    }
    *is_new = true;
    source->items = BkMem_Grow(source->items, (size_t)source->item_count + 1,
                               sizeof(ItemCounters));
    ItemCounters *counters = &source->items[source->item_count++];
    *counters = (ItemCounters){.key = key};
    return counters;
}

static void
add_to_tally(BkSteward *steward, uint32_t key, uint64_t requests,
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
apply_counters(BkSteward *steward, BkDemandSource *source,
               const bkg_demand_row *received, bool restarted)
{
    bool is_new;
    ItemCounters *counters =
        find_or_add_counters(source, received->key, &is_new);

    /* The first totals received of a daemon cover the time since its start,
       so they are no measure of the present rate. If this planner had received
       totals of the daemon before its restart, the new ones cover only the
       time since then, and count. */
    if ((!is_new || restarted) && received->requests >= counters->requests &&
        received->busy_ms >= counters->busy_ms) {
        add_to_tally(steward, received->key,
                     received->requests - counters->requests,
                     received->busy_ms - counters->busy_ms);
    }
    if (received->requests > counters->requests) {
        counters->requests = received->requests;
        counters->busy_ms = received->busy_ms;
    }
}

static void
forward_to_planner(BkSteward *steward, const bkg_demand *demand)
{
    const BkDaemon *daemon = steward->daemon;
    BkMs now = BkClock_Now();
    bool planner_known =
        daemon->planner_seen_at != BK_MS_NEVER &&
        now - daemon->planner_seen_at < steward->conf->lease_duration &&
        strcmp(daemon->planner_name, steward->conf->daemon.name) != 0;

    if (now - steward->forward_window_start >= MS_PER_S) {
        steward->forward_window_start = now;
        steward->forward_count = 0;
    }
    if (planner_known && steward->forward_count < MAX_FORWARDS_PER_S) {
        steward->forward_count++;
        BkDaemon_SendDemand(steward->daemon, demand);
    }
}

void
BkSteward_ReceiveDemand(BkSteward *steward, const bkg_demand *demand)
{
    if (!steward->planning) {
        forward_to_planner(steward, demand);
        return;
    }
    BkDemandSource *source = find_or_add_source(steward, demand->daemon);
    if (source == NULL || demand->epoch < source->epoch) {
        return;
    }
    bool restarted = source->epoch != 0 && demand->epoch > source->epoch;
    if (demand->epoch > source->epoch) {
        source->epoch = demand->epoch;
        source->item_count = 0;
    }
    for (u_int i = 0; i < demand->rows.rows_len; i++) {
        apply_counters(steward, source, &demand->rows.rows_val[i], restarted);
    }
}

void
BkSteward_RemapDemand(BkSteward *steward, const BkBundle *bundle)
{
    int count = bundle->item_count;
    BkDemand *demand = BkMem_New((size_t)count, sizeof(BkDemand));
    BkDemandTally *tallies = BkMem_New((size_t)count, sizeof(BkDemandTally));

    for (int i = 0; i < count; i++) {
        tallies[i].key = BkBundle_NameHash(BkStr_FromC(bundle->items[i].name));
        for (int old_index = 0; old_index < steward->demand_count;
             old_index++) {
            if (steward->tallies[old_index].key == tallies[i].key) {
                tallies[i] = steward->tallies[old_index];
                demand[i] = steward->demand[old_index];
            }
        }
    }
    free(steward->demand);
    free(steward->tallies);
    steward->demand = demand;
    steward->tallies = tallies;
    steward->demand_count = count;
}

void
BkSteward_UpdateDemand(BkSteward *steward, BkMs elapsed, BkMs now)
{
    for (int i = 0; i < steward->demand_count; i++) {
        BkDemandTally *tally = &steward->tallies[i];
        if (tally->requests > 0) {
            steward->demand[i].slot_seconds = tally->busy_s / tally->requests;
        }
        BkDemand_Update(&steward->demand[i], &steward->conf->place,
                        tally->requests, elapsed, now);
        tally->requests = 0;
        tally->busy_s = 0;
    }
}

void
BkSteward_FreeDemand(BkSteward *steward)
{
    for (int i = 0; i < steward->source_count; i++) {
        free(steward->sources[i].daemon_name);
        free(steward->sources[i].items);
    }
    free(steward->sources);
    free(steward->demand);
    free(steward->tallies);
}
