#include <string.h>

#include "peers.h"
#include "sync.h"

#include "bk/base/log.h"

enum {
    READERS = 2,          /* so that the loss of one is not felt */
    SIGN_EVERY = 350,     /* ms between a reader's signs of life */
    READER_SILENT = 1000, /* ms without any of them until one reads itself */
    FEED_LAG = 250        /* ms that two daemons' knowledge may differ */
};

static void
send_reports(FrSync *sync, bkp_reports *reports)
{
    const FrFront *front = sync->front;

    reports->name = front->conf.name;
    reports->site = front->site == NULL ? 0 : front->site->version;
    reports->ill = BkClock_Now() < front->fleet.store_ill_until;
    sync->passed_on_at = BkClock_Now();
    FrPeers_SendAll(front->peers, BKP_REPORTS, reports);
}

/* false: too large to be passed on; those behind will ask the store */
static bool
fill_row(const BkStoreRow *row, bkp_row *out, char *key)
{
    if (row->key.len > BKP_NAME || row->value.len > BKP_ROW_BYTES) {
        BkLog_Event(BK_LOG_DEBUG, "sync", NULL, "row too large to pass on",
                    "s:I, s:I", "bytes", (json_int_t)row->value.len, "version",
                    (json_int_t)row->version);
        return false;
    }
    memcpy(key, row->key.ptr, row->key.len);
    key[row->key.len] = '\0';
    *out = (bkp_row){.key = key,
                     .revision = row->version,
                     .gone = row->gone,
                     .value = {(u_int)row->value.len, (char *)row->value.ptr}};
    return true;
}

/* Messages stay within a datagram: two rows each, in the feed's order, each
   with the version behind which it begins. */
void
FrRelayed_PassOn(FrSync *sync, const BkStoreReply *reply, uint64_t before)
{
    enum {
        ROWS = 2
    };
    bkp_row rows[ROWS];
    char keys[ROWS][BKP_NAME + 1];

    for (int i = 0; i < reply->count; i += ROWS) {
        bkp_reports reports = {.before = before, .rows = {0, rows}};
        bool last = i + ROWS >= reply->count;
        for (int k = 0; k < ROWS && i + k < reply->count; k++) {
            u_int n = reports.rows.rows_len;
            if (!fill_row(&reply->rows[i + k], &rows[n], keys[n])) {
                reports.before = reply->version; /* a gap for the others */
                continue;
            }
            reports.rows.rows_len++;
            reports.revision = rows[n].revision;
        }
        if (last || reports.revision == 0) {
            reports.revision = reply->version;
        }
        before = reports.revision;
        send_reports(sync, &reports);
    }
}

static void
take_rows(FrSync *sync, const bkp_reports *reports, BkMs now)
{
    for (u_int i = 0; i < reports->rows.rows_len; i++) {
        const bkp_row *row = &reports->rows.rows_val[i];
        BkStoreRow taken = {
            .key = BkStr_FromC(row->key),
            .value = {row->value.value_val, row->value.value_len},
            .version = row->revision,
            .gone = row->gone != 0};
        FrSync_TakeReport(sync->front, &taken, now);
    }
    if (reports->rows.rows_len > 0) {
        FrQueue_WakeSoon(sync->front, 0);
    }
}

void
FrRelayed_Take(FrSync *sync, const bkp_reports *reports, BkMs now)
{
    FrFollower *list = &sync->followers[FR_TOPIC_REPORTS];

    sync->relayed_at = now;
    if (reports->ill) {
        BkFleet_NoteStoreIll(&sync->front->fleet, now);
    }
    if (list->whole && reports->before <= list->version) {
        take_rows(sync, reports, now);
        if (reports->revision > list->version) {
            list->version = reports->revision;
        }
    }
    FrSync_TakeNews(sync, reports->site, reports->revision, now);
}

void
FrSync_TakeNews(FrSync *sync, uint64_t site, uint64_t reports, BkMs now)
{
    const FrFront *front = sync->front;
    FrFollower *list = &sync->followers[FR_TOPIC_REPORTS];

    if (site > (front->site == NULL ? 0 : front->site->version)) {
        FrSync_Hurry(sync, FR_TOPIC_SITE, now);
    }
    if (reports > list->heard) {
        list->heard = reports;
    }
    if (list->heard <= list->version) {
        list->behind_at = 0;
    }
    else if (list->behind_at == 0) {
        list->behind_at = now;
    }
    else if (now - list->behind_at >= FEED_LAG) {
        FrSync_Hurry(sync, FR_TOPIC_REPORTS, now);
    }
}

void
FrRelayed_Round(FrSync *sync, BkMs now)
{
    const FrFront *front = sync->front;
    bkp_reports sign = {0};
    int before = FrPeers_CountReadersBefore(front->peers, now);
    bool silent =
        sync->relayed_at == 0 || now - sync->relayed_at >= READER_SILENT;

    FrSync_SetReader(sync, before < READERS || silent);
    if (sync->reader && now - sync->passed_on_at >= SIGN_EVERY &&
        sync->followers[FR_TOPIC_REPORTS].whole && !sync->ill) {
        sign.before = front->fleet.version;
        sign.revision = front->fleet.version;
        send_reports(sync, &sign);
    }
}
