#include "sync.h"

#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "peers.h"

/* The platform and its upstreams write the two tables. A reader reads each of
   them whole once and then follows its feed of changes; it reads the table
   whole again when the feed lost its history, or had no reply for a while (the
   configuration). A daemon that is not a reader
   gets the changes of reports from the readers (FrFanout_Receive), and calls
   the store only when it is behind: for the configuration itself, or for the
   changes of the reports. */

enum {
    /* ms that a feed call waits for changes; not longer, since a dead
       connection is noticed only after it */
    FEED_WAIT = 1500,
    CALL_TIMEOUT = 600, /* ms for a reply, beyond the wait of a feed */
    /* ms until a reply begins, beyond that wait, after a failure: long enough
       for a congested link, and short enough that a daemon that reaches the
       store again loses little time to a call that hangs */
    MAX_SILENCE = 1000,
    /* the same after several failures, if no daemon reaches the store */
    MAX_LATENESS = 2000,
    LIST_TIMEOUT = 1500, /* ms for each part of a list */
    /* both timeouts double with each failure up to this number, so that a
       large reply can pass a congested link */
    MAX_TIMEOUT_SHIFT = 2,
    MIN_RETRY_DELAY = 60,  /* ms before a failed call is retried */
    MAX_RETRY_DELAY = 600, /* ms; the delay doubles up to this */
    SLOW_REPLY = 400,      /* ms; a later reply counts as a failing store */
    FEED_INTERVAL = 150,   /* ms to the next feed call after changes, so
                                 that frequent changes share a call */
    /* ms, at least, between two calls of which the first led no further */
    FUTILE_INTERVAL = 200,
    /* ms from the start in which a daemon follows the configuration itself:
       the readers do not know it yet */
    SITE_START_TIME = 3000,
    MAX_FEED_GAP = 500,      /* ms without a reply after which a reader reads
                                the configuration itself and not its changes */
    CATCH_UP_INTERVAL = 300, /* ms, at least, between two catch-ups */
    CATCH_UP_JITTER = 120,   /* ms; daemons that learn of the same change do
                                not all call at once */
    /* ms after the start until this daemon may become a reader even if it has
       not learned of the other daemons by the table of members */
    START_TIME = 4000,
    /* ms from then until it becomes one because it hears none */
    FIRST_READER_GRACE = 2000,
    ERA_JITTER = 600 /* ms; the same for a new era of the store, in
                                which all daemons read whole tables */
};

/* A store call in progress, even if its reply will be ignored. */
typedef struct FrSyncCall {
    FrTableSync *table;
    uint64_t number;
    struct FrSyncCall *prev; /* in the list of calls in progress */
    struct FrSyncCall *next;
} FrSyncCall;

static void send_call(FrTableSync *table);

static void
schedule_call(FrTableSync *table, BkMs delay)
{
    BkTimer_Start(table->timer, delay);
}

static void
on_timer(void *arg)
{
    send_call(arg);
}

/* Whether this daemon reads all changes of the table itself. */
static bool
is_followed(const FrTableSync *table, BkMs now)
{
    const FrSync *sync = table->sync;

    return sync->reader || (table->id == FR_TABLE_SITE &&
                            now - sync->front->started_at < SITE_START_TIME);
}

/* Until FUTILE_INTERVAL after that time; 0: it has passed. */
static BkMs
until_next(BkMs called_at, BkMs now)
{
    BkMs delay = called_at + FUTILE_INTERVAL - now;

    return delay > 0 ? delay : 0;
}

/* schedules the next call, unless the readers send the further changes */
static void
schedule_next_call(FrTableSync *table, BkMs delay)
{
    if (!table->list_done || is_followed(table, BkClock_Now())) {
        schedule_call(table, delay);
    }
}

void
FrSync_NoteStoreResult(FrSync *sync, bool ok, BkMs now)
{
    if (!ok) {
        BkFleet_NoteStoreOutage(&sync->front->fleet, now);
    }
    if (sync->store_failing == !ok) {
        return;
    }
    sync->store_failing = !ok;
    BkLog_Event(BK_LOG_NOTICE, "sync", NULL,
                ok ? "store regained" : "store lost", "s:I, s:I", "site",
                (json_int_t)sync->tables[FR_TABLE_SITE].version, "reports",
                (json_int_t)sync->tables[FR_TABLE_REPORTS].version);
}

/* Logs what a call returned, unless it is one of a reader's many feed calls of
   the reports. */
static void
log_reply(const FrTableSync *table, const BkStoreReply *reply, BkMs now)
{
    size_t bytes = 0;

    if (reply->count == 0 || (table->list_done && table->sync->reader &&
                              table->id == FR_TABLE_REPORTS)) {
        return;
    }
    for (int i = 0; i < reply->count; i++) {
        bytes += reply->rows[i].value.len;
    }
    BkLog_Event(BK_LOG_INFO, "sync", NULL, "read",
                "s:s, s:s, s:i, s:I, s:I, s:I", "table", table->name, "what",
                table->list_done ? "changes" : "rows", "rows", reply->count,
                "bytes", (json_int_t)bytes, "version",
                (json_int_t)reply->version, "took_ms",
                (json_int_t)(now - table->called_at));
}

static void
log_failure(const FrTableSync *table, BkStatus status, BkMs now)
{
    BkLog_Event(BK_LOG_INFO, "sync", NULL, "read failed",
                "s:s, s:s, s:s, s:i, s:I", "table", table->name, "what",
                table->list_done ? "changes" : "rows", "why",
                BkStatus_Info(status)->text, "failures", table->failures + 1,
                "took_ms", (json_int_t)(now - table->called_at));
}

/* longest time until the reply begins, and without a byte of it: a store that
   hung has lost the call, and never answers it. If no daemon reaches the store,
   it may answer late, and a shorter limit would lose each reply. */
static BkMs
silence_timeout(const FrTableSync *table)
{
    BkMs limit = table->failures > 0 ? MAX_SILENCE : CALL_TIMEOUT;

    if (table->failures == MAX_TIMEOUT_SHIFT &&
        !FrPeers_AnyReachesStore(table->sync->front->peers, BkClock_Now())) {
        limit = MAX_LATENESS;
    }
    return table->feed_wait + limit;
}

static void
handle_failure(FrTableSync *table, BkStatus status, BkMs now)
{
    BkMs delay = table->retry_delay;
    bool was_silent = now - table->called_at >= silence_timeout(table);

    log_failure(table, status, now);
    if (status == BK_EGONE) {
        /* the feed has lost changes: read the whole table again */
        table->list_done = false;
        schedule_call(table, until_next(table->list_called_at, now));
        return;
    }
    FrSync_NoteStoreResult(table->sync, false, now);
    if (table->failures < MAX_TIMEOUT_SHIFT) {
        table->failures++;
    }
    delay = delay == 0 ? MIN_RETRY_DELAY : delay * 2;
    table->retry_delay = delay < MAX_RETRY_DELAY ? delay : MAX_RETRY_DELAY;
    if (was_silent &&
        FrPeers_AnyReachesStore(table->sync->front->peers, now)) {
        /* the silence was the delay, and others are served */
        schedule_call(table, (BkMs)BkRng_Below(&table->sync->front->rng,
                                               CATCH_UP_JITTER));
        return;
    }
    /* random jitter of up to half the delay, in both directions */
    schedule_call(table, table->retry_delay / 2 +
                             (BkMs)BkRng_Below(&table->sync->front->rng,
                                               (uint32_t)table->retry_delay));
}

/* The store has come back from an older copy: reads the table again, and takes
   none of its versions as known. */
static void
begin_era(FrTableSync *table, uint64_t era, BkMs now)
{
    FrFront *front = table->sync->front;

    BkLog_Event(BK_LOG_NOTICE, "sync", NULL, "older store", "s:s, s:I, s:I",
                "table", table->name, "era", (json_int_t)era, "version",
                (json_int_t)table->version);
    table->era = era;
    table->version = 0;
    table->peer_version = 0;
    table->behind_since = 0;
    table->list_done = false;
    table->reading_list = false;
    table->retry_delay = 0;
    if (table->id == FR_TABLE_REPORTS) {
        FrReorder_Clear(&table->sync->reorder);
        FrOutbox_Clear(&table->sync->outbox);
        BkFleet_BeginEra(&front->fleet, now);
        table->sync->read_again_at = now + BK_FLEET_WITHHOLD_MS;
        FrMembers_WriteAgain(front->peers, now);
    }
}

/* Whether the reply is of the era that the table is read in. If it is of a
   later one, begins that; if of an earlier one, the reply is void. Schedules
   the next call unless the reply can be used. */
static bool
check_era(FrTableSync *table, const BkStoreReply *reply, BkMs now)
{
    if (reply->era == table->era) {
        return true;
    }
    if (table->era == 0 && !table->list_done) {
        table->era = reply->era; /* the first reply */
        return true;
    }
    if (reply->era > table->era) {
        begin_era(table, reply->era, now);
        schedule_call(table, 0);
        return false;
    }
    /* another daemon has seen the later era already */
    schedule_call(table, MIN_RETRY_DELAY);
    return false;
}

/* Returns false if the part leads no further. */
static bool
handle_list_part(FrTableSync *table, const BkStoreReply *reply, BkMs now)
{
    FrFront *front = table->sync->front;

    if (reply->version < table->version) {
        return false; /* older than what is already applied */
    }
    if (!table->reading_list) {
        table->list_version = reply->version;
    }
    if (table->id == FR_TABLE_REPORTS && !table->reading_list) {
        BkFleet_BeginList(&front->fleet);
    }
    FrSync_ApplyRows(table, reply, now);
    table->reading_list = reply->has_more;
    if (table->reading_list) {
        BkBuf_Clear(&table->next_key);
        BkBuf_Append(&table->next_key, reply->next_key);
        return true;
    }
    if (table->id == FR_TABLE_REPORTS) {
        BkFleet_EndList(&front->fleet, table->list_version, now);
    }
    table->list_done = true;
    /* the parts are of different moments: rows may have changed or gone since
       the first one */
    table->version = table->list_version;
    if (table->id == FR_TABLE_REPORTS) {
        FrFanout_ApplyReordered(table->sync, now);
    }
    return true;
}

static void
handle_feed(FrTableSync *table, const BkStoreReply *reply, BkMs now)
{
    uint64_t last_change = table->sync->front->fleet.version;
    /* The store's version also rises with changes of other tables. A peer
       that has the last earlier change of this table has missed nothing, even
       if its version is older than asked_after. */
    uint64_t from_version =
        last_change < table->asked_after ? last_change : table->asked_after;

    FrSync_ApplyRows(table, reply, now);
    if (reply->version > table->version) {
        table->version = reply->version;
    }
    if (table->id == FR_TABLE_REPORTS && reply->count > 0 &&
        table->sync->reader) {
        FrFanout_Publish(table->sync, reply, from_version);
    }
}

static void
remove_call(FrSyncCall *call)
{
    FrSync *sync = call->table->sync;

    if (call->prev != NULL) {
        call->prev->next = call->next;
    }
    else {
        sync->calls = call->next;
    }
    if (call->next != NULL) {
        call->next->prev = call->prev;
    }
    free(call);
}

static FrSyncCall *
add_call(FrTableSync *table)
{
    FrSync *sync = table->sync;
    FrSyncCall *call = BkMem_New(1, sizeof(*call));

    table->last_call_number++;
    *call = (FrSyncCall){.table = table,
                         .number = table->last_call_number,
                         .next = sync->calls};
    if (call->next != NULL) {
        call->next->prev = call;
    }
    sync->calls = call;
    return call;
}

static void
on_reply(const BkStoreReply *reply, void *arg)
{
    FrSyncCall call = *(FrSyncCall *)arg;
    FrTableSync *table = call.table;
    BkMs now = BkClock_Now();

    remove_call(arg);
    if (call.number != table->last_call_number) {
        return;
    }
    table->call_active = false;
    if (reply->era != 0 && !check_era(table, reply, now)) {
        return;
    }
    if (reply->status != BK_OK) {
        handle_failure(table, reply->status, now);
        return;
    }
    BkMs reply_time = now - table->called_at - table->feed_wait;
    FrSync_NoteStoreResult(table->sync, reply_time < SLOW_REPLY, now);
    log_reply(table, reply, now);
    table->replied_at = now;
    table->retry_delay = 0;
    if (reply_time < CALL_TIMEOUT) {
        table->failures = 0; /* else the next one may be as late */
    }
    if (table->list_done) {
        handle_feed(table, reply, now);
        schedule_next_call(table, reply->count > 0
                                      ? FEED_INTERVAL
                                      : until_next(table->called_at, now));
    }
    else {
        bool led_further = handle_list_part(table, reply, now);
        schedule_next_call(table, led_further ? 0 : FUTILE_INTERVAL);
    }
}

/* timeout of the whole call, beyond the wait of a feed */
static BkMs
reply_timeout(const FrTableSync *table)
{
    BkMs timeout = table->list_done ? CALL_TIMEOUT : LIST_TIMEOUT;

    return timeout << table->failures;
}

/* Whether to read the rows of a table that was read before, and not what has
   changed since: the store returns each change of a row, so that the changes
   of a longer time can be many times as large as the table. */
static bool
is_history_long(const FrTableSync *table, BkMs now)
{
    const FrSync *sync = table->sync;

    switch (table->id) {
    case FR_TABLE_SITE:
        return !is_followed(table, now) ||
               now - table->replied_at >= MAX_FEED_GAP;
    case FR_TABLE_REPORTS:
        /* Others went on while this daemon was cut off. In an outage for all,
           a reader needs the changes, to pass them on. */
        if (table->failures > 0 &&
            FrPeers_AnyReachesStore(sync->front->peers, now)) {
            return true;
        }
        /* the store's version rises by one with each change */
        return table->peer_version >
               table->version + (uint64_t)sync->front->fleet.count;
    case FR_TABLE_COUNT:
        break;
    }
    return false;
}

/* How long the store may wait for changes. A daemon that does not follow the
   table only fetches what it lacks; one that has just started makes a single
   call if nothing changes. */
static BkMs
choose_wait(const FrTableSync *table)
{
    const FrSync *sync = table->sync;

    if (sync->reader) {
        return FEED_WAIT;
    }
    return is_followed(table, table->called_at)
               ? SITE_START_TIME - (table->called_at - sync->front->started_at)
               : 0;
}

static void
send_call(FrTableSync *table)
{
    BkStore *store = table->sync->front->store;
    FrSyncCall *call = add_call(table);

    table->call_active = true;
    table->called_at = BkClock_Now();
    if (table->list_done && is_history_long(table, table->called_at)) {
        table->list_done = false;
        table->reading_list = false;
    }
    if (!table->list_done && !table->reading_list) {
        table->list_called_at = table->called_at;
    }
    table->asked_after = table->version;
    table->feed_wait = table->list_done ? choose_wait(table) : 0;
    BkStoreTimeouts limit = {.total = table->feed_wait + reply_timeout(table),
                             .first_byte = silence_timeout(table),
                             .idle = silence_timeout(table)};
    if (table->list_done) {
        BkStore_ReadChanges(store, table->name, table->version,
                            table->feed_wait, limit, on_reply, call);
    }
    else {
        BkStore_ReadRows(store, table->name,
                         table->reading_list ? BkBuf_Str(&table->next_key)
                                             : BK_STR(""),
                         limit, on_reply, call);
    }
}

FrSync *
FrSync_Create(FrFront *front)
{
    FrSync *sync = BkMem_New(1, sizeof(*sync));
    const char *names[FR_TABLE_COUNT] = {BkAdapter_SiteTable(),
                                         BkAdapter_ReportTable()};

    sync->front = front;
    sync->outbox_timer = BkTimer_Create(front->loop, FrFanout_SendNext, sync);
    FrSync_AllowReader(sync, BkClock_Now() + START_TIME);
    for (int i = 0; i < FR_TABLE_COUNT; i++) {
        FrTableSync *table = &sync->tables[i];
        table->sync = sync;
        table->id = (FrTableId)i;
        table->name = names[i];
        table->timer = BkTimer_Create(front->loop, on_timer, table);
        schedule_call(table, 0);
    }
    return sync;
}

void
FrSync_Destroy(FrSync *sync)
{
    if (sync == NULL) {
        return;
    }
    for (int i = 0; i < FR_TABLE_COUNT; i++) {
        BkTimer_Destroy(sync->tables[i].timer);
        BkBuf_Destroy(&sync->tables[i].next_key);
    }
    while (sync->calls != NULL) {
        remove_call(sync->calls);
    }
    FrReorder_Clear(&sync->reorder);
    FrOutbox_Clear(&sync->outbox);
    BkTimer_Destroy(sync->outbox_timer);
    free(sync);
}

void
FrSync_AllowReader(FrSync *sync, BkMs at)
{
    if (sync->may_read_at == 0 || at < sync->may_read_at) {
        sync->may_read_at = at;
        sync->reader_heard_at = at + FIRST_READER_GRACE;
    }
}

void
FrSync_SetReader(FrSync *sync, bool reader)
{
    if (sync->reader == reader && sync->role_decided) {
        return;
    }
    sync->role_decided = true;
    BkLog_Event(BK_LOG_INFO, "sync", NULL, "reader", "s:b, s:I", "is", reader,
                "reports", (json_int_t)sync->tables[FR_TABLE_REPORTS].version);
    sync->reader = reader;
    for (int i = 0; i < FR_TABLE_COUNT; i++) {
        if (reader && !sync->tables[i].call_active) {
            schedule_call(&sync->tables[i], 0);
        }
    }
    if (!reader) {
        sync->store_failing = false; /* readers report outages from now on */
        FrOutbox_Clear(&sync->outbox);
    }
}

void
FrSync_CatchUp(FrSync *sync, FrTableId id, BkMs now)
{
    FrTableSync *table = &sync->tables[id];

    /* A feed call that waits for changes did not return the newer ones, or has
       hung since an outage of the store. Any other call returns the changes
       with its reply, unless the reply is overdue. */
    bool reply_due = table->call_active && table->feed_wait == 0 &&
                     now - table->called_at < reply_timeout(table);

    /* the store refuses this daemon, and others tell it of removals */
    bool retry_due = id == FR_TABLE_REPORTS && table->failures > 0 &&
                     BkTimer_Running(table->timer);

    if (now - table->last_catch_up_at < CATCH_UP_INTERVAL || reply_due ||
        retry_due) {
        return;
    }
    BkLog_Event(BK_LOG_INFO, "sync", NULL, "behind another daemon", "s:s, s:I",
                "table", table->name, "version", (json_int_t)table->version);
    table->last_catch_up_at = now;
    if (is_followed(table, now)) {
        /* the call in progress may hang, or the feed may have skipped changes:
           ignores its reply and reads the whole table again */
        table->last_call_number++;
        table->list_done = false;
        table->reading_list = false;
    }
    schedule_call(table,
                  (BkMs)BkRng_Below(&sync->front->rng, CATCH_UP_JITTER));
}

uint64_t
FrSync_GetReportEra(const FrSync *sync)
{
    return sync == NULL ? 0 : sync->tables[FR_TABLE_REPORTS].era;
}

static void
read_again(FrTableSync *table)
{
    table->last_call_number++; /* ignores the reply to a call in progress */
    table->list_done = false;
    table->reading_list = false;
    schedule_call(table,
                  (BkMs)BkRng_Below(&table->sync->front->rng, ERA_JITTER));
}

void
FrSync_NoteEra(FrSync *sync, uint64_t era, BkMs now)
{
    for (int i = 0; i < FR_TABLE_COUNT; i++) {
        FrTableSync *table = &sync->tables[i];
        if (era <= table->era) {
            continue;
        }
        if (!table->list_done && table->era == 0) {
            continue; /* it learns the era with its first list */
        }
        begin_era(table, era, now);
        read_again(table);
    }
}

void
FrSync_Step(FrSync *sync, BkMs now)
{
    if (sync->read_again_at == 0 || now < sync->read_again_at) {
        return;
    }
    sync->read_again_at = 0;
    BkLog_Event(BK_LOG_INFO, "sync", NULL, "reads again", "s:I, s:b", "era",
                (json_int_t)sync->tables[FR_TABLE_REPORTS].era, "withheld",
                BkFleet_HasWithheld(&sync->front->fleet));
    /* the operators may have written another configuration with the number of
       the one in force */
    read_again(&sync->tables[FR_TABLE_SITE]);
    if (BkFleet_HasWithheld(&sync->front->fleet)) {
        read_again(&sync->tables[FR_TABLE_REPORTS]);
    }
}

bool
FrSync_IsStoreFailing(const FrSync *sync)
{
    return sync == NULL || sync->store_failing;
}
