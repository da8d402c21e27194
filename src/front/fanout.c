#include <stdlib.h>
#include <string.h>

#include "peers.h"
#include "sync.h"

#include "bk/base/log.h"

enum {
    READERS = 2,              /* so that losing one has no effect */
    KEEPALIVE_INTERVAL = 350, /* ms without a message from a reader until it
                                 sends a keepalive */
    READER_TIMEOUT = 1000,    /* ms without a message from any reader until
                                 this daemon becomes a reader */
    MAX_LAG = 400,            /* ms that this daemon may be behind another one
                                 before it asks the store */
    START_TIME = 5000,        /* ms after the start of this daemon */
    START_LAG = 1500,         /* ms, instead of MAX_LAG, in that time */
    SEND_INTERVAL = 6,        /* ms between two messages of the outbox */
    MESSAGE_BYTES = 1100,     /* of the rows of a message */
    ROW_OVERHEAD_BYTES = 24   /* of a row, besides its key and value */
};

static void
send_message(FrSync *sync, bkp_reports *message)
{
    const FrFront *front = sync->front;

    message->store_outage =
        BkClock_Now() < front->fleet.store_outage_grace_until;
    message->site_version = front->site == NULL ? 0 : front->site->version;
    sync->last_sent_at = BkClock_Now();
    FrPeers_Spread(front->peers, BKP_REPORTS, message, &message->spread);
}

void
FrFanout_SendNext(void *arg)
{
    FrSync *sync = arg;
    bkp_reports message;

    if (!FrOutbox_Pop(&sync->outbox, &message)) {
        return;
    }
    send_message(sync, &message);
    xdr_free((xdrproc_t)xdr_bkp_reports, (char *)&message);
    BkTimer_Start(sync->outbox_timer, SEND_INTERVAL);
}

uint64_t
FrFanout_GetToldVersion(const FrSync *sync)
{
    const bkp_reports *unsent = FrOutbox_First(&sync->outbox);

    return unsent == NULL ? sync->front->fleet.version
                          : unsent->from_store_version;
}

static void
queue_message(FrSync *sync, bkp_reports *message)
{
    message->name = sync->front->conf.name;
    message->store_era = FrSync_GetReportEra(sync);
    if (!FrOutbox_Add(&sync->outbox, message)) {
        BkLog_Event(BK_LOG_WARNING, "sync", NULL, "outbox full", "s:I, s:i",
                    "version", (json_int_t)message->to_store_version, "rows",
                    (int)message->rows.rows_len);
        return; /* peers see by later messages that they are behind */
    }
    if (!BkTimer_Running(sync->outbox_timer)) {
        BkTimer_Start(sync->outbox_timer, 0);
    }
}

/* whether the row is within the limits of a message */
static bool
fits(const BkStoreRow *row)
{
    return row->key.len <= BKP_MAX_NAME && row->value.len <= BKP_MAX_ROW_BYTES;
}

static void
fill_row(const BkStoreRow *row, bkp_row *out, char *key)
{
    memcpy(key, row->key.ptr, row->key.len);
    key[row->key.len] = '\0';
    *out = (bkp_row){.key = key,
                     .store_version = row->version,
                     .removed = row->removed,
                     .value = {(u_int)row->value.len, (char *)row->value.ptr}};
}

static int
compare_versions(const void *a, const void *b)
{
    uint64_t left = ((const BkStoreRow *)a)->version;
    uint64_t right = ((const BkStoreRow *)b)->version;

    return (left > right) - (left < right);
}

/* How many of the rows fit into one message, which is to be smaller than the
   packets of the network. */
static int
count_fitting(const BkStoreRow *rows, int count)
{
    size_t bytes = 0;
    int n = 0;

    while (n < count && n < BKP_MAX_ROWS) {
        bytes += rows[n].key.len + rows[n].value.len + ROW_OVERHEAD_BYTES;
        if (n > 0 && bytes > MESSAGE_BYTES) {
            break;
        }
        n++;
    }
    return n;
}

/* Queues the rows, sorted by version. Each message has the version before its
   first row, by which the receiver detects a gap. */
static void
queue_rows(FrSync *sync, const BkStoreRow *sorted, int count,
           uint64_t from_version, uint64_t version)
{
    bkp_row rows[BKP_MAX_ROWS];
    char keys[BKP_MAX_ROWS][BKP_MAX_NAME + 1];
    int n;

    for (int i = 0; i < count; i += n) {
        n = count_fitting(sorted + i, count - i);
        for (int k = 0; k < n; k++) {
            fill_row(&sorted[i + k], &rows[k], keys[k]);
        }
        bkp_reports message = {.from_store_version = from_version,
                               .to_store_version =
                                   i + n == count ? version
                                                  : rows[n - 1].store_version,
                               .rows = {(u_int)n, rows}};
        from_version = message.to_store_version;
        queue_message(sync, &message);
    }
}

/* announces the new version without the rows; the peers read them from the
   store */
static void
announce_version(FrSync *sync, const BkStoreRow *row, uint64_t version)
{
    bkp_reports message = {.from_store_version = version,
                           .to_store_version = version};

    BkLog_Event(BK_LOG_INFO, "sync", NULL, "row too large to pass on",
                "s:I, s:I", "bytes", (json_int_t)row->value.len, "version",
                (json_int_t)row->version);
    queue_message(sync, &message);
}

void
FrFanout_Publish(FrSync *sync, const BkStoreReply *reply,
                 uint64_t from_version)
{
    for (int i = 0; i < reply->count; i++) {
        if (!fits(&reply->rows[i])) {
            announce_version(sync, &reply->rows[i], reply->version);
            return;
        }
    }
    size_t size = (size_t)reply->count * sizeof(BkStoreRow);
    BkStoreRow *sorted = BkMem_New(1, size);
    memcpy(sorted, reply->rows, size);
    qsort(sorted, (size_t)reply->count, sizeof(*sorted), compare_versions);
    queue_rows(sync, sorted, reply->count, from_version, reply->version);
    free(sorted);
}

/* Applies the rows without waiting for changes that are missing before them: a
   row is only applied if it is newer than what is known of its upstream. */
static void
apply_rows(FrSync *sync, const bkp_reports *message, BkMs now)
{
    for (u_int i = 0; i < message->rows.rows_len; i++) {
        const bkp_row *row = &message->rows.rows_val[i];
        BkStoreRow store_row = {
            .key = BkStr_FromC(row->key),
            .value = {row->value.value_val, row->value.value_len},
            .version = row->store_version,
            .removed = row->removed != 0};
        FrSync_ApplyReport(sync->front, &store_row, now);
    }
    if (message->rows.rows_len > 0) {
        FrQueue_SchedulePass(sync->front, 0);
    }
}

static void
apply_message(FrSync *sync, const bkp_reports *message, BkMs now)
{
    FrTableSync *table = &sync->tables[FR_TABLE_REPORTS];

    apply_rows(sync, message, now);
    if (message->to_store_version > table->version) {
        table->version = message->to_store_version;
    }
}

void
FrFanout_ApplyReordered(FrSync *sync, BkMs now)
{
    bkp_reports message;

    while (FrReorder_Pop(&sync->reorder,
                         sync->tables[FR_TABLE_REPORTS].version, &message)) {
        apply_message(sync, &message, now);
        xdr_free((xdrproc_t)xdr_bkp_reports, (char *)&message);
    }
}

void
FrFanout_Receive(FrSync *sync, const bkp_reports *message, BkMs now)
{
    FrTableSync *table = &sync->tables[FR_TABLE_REPORTS];
    FrPeers *peers = sync->front->peers;
    FrPeer *reader = FrPeers_Find(peers, BkStr_FromC(message->name));
    bkp_reports copy = *message;

    FrPeers_ForwardSpread(peers, BKP_REPORTS, &copy, &copy.spread);
    sync->reader_heard_at = now;
    if (reader != NULL) {
        /* the store answers a reader that sends messages */
        FrPeers_NoteHeard(peers, reader, reader->seen.stopping, true, now);
    }
    if (message->store_outage) {
        BkFleet_NoteStoreOutage(&sync->front->fleet, now);
    }
    if (message->store_era > table->era) {
        FrSync_NoteEra(sync, message->store_era, now);
    }
    if (message->store_era != table->era) {
        FrReorder_Clear(&sync->reorder);
    }
    else if (table->list_done &&
             message->from_store_version <= table->version) {
        apply_message(sync, message, now);
        FrFanout_ApplyReordered(sync, now);
    }
    else if (message->to_store_version > table->version) {
        apply_rows(sync, message, now);
        /* once more, in its turn: an earlier change may still come */
        FrReorder_Add(&sync->reorder, message);
    }
    FrFanout_NotePeerVersions(sync, message->site_version, message->store_era,
                              message->to_store_version, now);
}

/* Shortly after its start, the readers do not know this daemon yet. */
static BkMs
max_lag(const FrFront *front, BkMs now)
{
    return now - front->started_at < START_TIME ? START_LAG : MAX_LAG;
}

void
FrFanout_NotePeerVersions(FrSync *sync, uint64_t site_version,
                          uint64_t report_era, uint64_t report_version,
                          BkMs now)
{
    const FrFront *front = sync->front;
    FrTableSync *table = &sync->tables[FR_TABLE_REPORTS];

    if (site_version > (front->site == NULL ? 0 : front->site->version)) {
        FrSync_CatchUp(sync, FR_TABLE_SITE, now);
    }
    if (report_era > table->era) {
        FrSync_NoteEra(sync, report_era, now);
    }
    if (report_era == table->era && report_version > table->peer_version) {
        table->peer_version = report_version;
    }
    if (table->peer_version <= table->version) {
        table->behind_since = 0;
    }
    else if (table->behind_since == 0) {
        table->behind_since = now;
    }
    else if (now - table->behind_since >= max_lag(front, now)) {
        FrSync_CatchUp(sync, FR_TABLE_REPORTS, now);
    }
}

static void
send_keepalive(FrSync *sync)
{
    uint64_t version = FrFanout_GetToldVersion(sync);
    bkp_reports keepalive = {.name = sync->front->conf.name,
                             .store_era = FrSync_GetReportEra(sync),
                             .from_store_version = version,
                             .to_store_version = version};

    send_message(sync, &keepalive);
}

void
FrFanout_AnnounceSite(FrSync *sync)
{
    FrPeers *peers = sync->front->peers;

    if (sync->reader && sync->tables[FR_TABLE_REPORTS].list_done) {
        send_keepalive(sync);
    }
    else if (peers->count <= BK_ROSTER_MAX_DIRECT) {
        FrPeers_SendGossip(peers);
    }
}

void
FrFanout_Step(FrSync *sync, BkMs now)
{
    const FrFront *front = sync->front;
    int candidates_ahead = FrPeers_CountReaderCandidates(front->peers, now);
    bool no_reader_heard = now - sync->reader_heard_at >= READER_TIMEOUT;

    bool started = now >= sync->may_read_at;

    if (started) {
        FrSync_SetReader(sync, candidates_ahead < READERS || no_reader_heard);
    }
    if (sync->reader && now - sync->last_sent_at >= KEEPALIVE_INTERVAL &&
        sync->tables[FR_TABLE_REPORTS].list_done && !sync->store_failing) {
        send_keepalive(sync);
    }
    FrSync_Step(sync, now);
}
