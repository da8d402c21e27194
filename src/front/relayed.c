#include <stdlib.h>
#include <string.h>

#include "peers.h"
#include "sync.h"

#include "bk/base/log.h"

enum {
    READERS = 2,          /* so that the loss of one is not felt */
    SIGN_EVERY = 350,     /* ms between a reader's signs of life */
    READER_SILENT = 1000, /* ms without any of them until one reads itself */
    FEED_LAG = 250,       /* ms that two daemons' knowledge may differ */
    DIRECT = 8,           /* daemons that a reader tells itself, all of them */
    GROUP = 8             /* of more of them: one is told, and tells the
                             others of the group */
};

/* Sent to all by a reader alone, a burst of changes fills the reader's link
   and is lost. Groups begin elsewhere each time, so that one lost daemon does
   not keep the same others from the news. */
static void
send_to_all(FrSync *sync, bkp_reports *reports)
{
    const FrPeers *peers = sync->front->peers;
    BkMs now = BkClock_Now();
    bkp_address pass_to[GROUP];
    const FrPeer *head = NULL;

    for (int i = 0; i < peers->count; i++) {
        const FrPeer *peer =
            peers->list[(sync->first_told + i) % peers->count];
        if (!FrPeer_IsHeard(peer, now)) {
            continue;
        }
        if (head == NULL) {
            head = peer;
            reports->pass_to.pass_to_len = 0;
            reports->pass_to.pass_to_val = pass_to;
        }
        else {
            pass_to[reports->pass_to.pass_to_len++] = peer->address;
        }
        if (peers->count <= DIRECT ||
            reports->pass_to.pass_to_len + 1 == GROUP) {
            FrPeers_Send(sync->front->peers, head, BKP_REPORTS, reports);
            head = NULL;
        }
    }
    if (head != NULL) {
        FrPeers_Send(sync->front->peers, head, BKP_REPORTS, reports);
    }
}

static void
send_reports(FrSync *sync, bkp_reports *reports)
{
    const FrFront *front = sync->front;

    reports->name = front->conf.name;
    reports->site = front->site == NULL ? 0 : front->site->version;
    reports->ill = BkClock_Now() < front->fleet.store_outage_until;
    sync->passed_on_at = BkClock_Now();
    send_to_all(sync, reports);
}

static bool
fits(const BkStoreRow *row)
{
    return row->key.len <= BKP_NAME && row->value.len <= BKP_ROW_BYTES;
}

static void
fill_row(const BkStoreRow *row, bkp_row *out, char *key)
{
    memcpy(key, row->key.ptr, row->key.len);
    key[row->key.len] = '\0';
    *out = (bkp_row){.key = key,
                     .revision = row->version,
                     .gone = row->gone,
                     .value = {(u_int)row->value.len, (char *)row->value.ptr}};
}

static int
compare_versions(const void *a, const void *b)
{
    uint64_t left = ((const BkStoreRow *)a)->version;
    uint64_t right = ((const BkStoreRow *)b)->version;

    return (left > right) - (left < right);
}

/* Messages stay within a datagram: two rows each, in the order of their
   versions, each with the version behind which it begins. */
static void
send_rows(FrSync *sync, const BkStoreRow *in_order, int count, uint64_t before,
          uint64_t version)
{
    enum {
        ROWS = 2
    };
    bkp_row rows[ROWS];
    char keys[ROWS][BKP_NAME + 1];

    for (int i = 0; i < count; i += ROWS) {
        int n = count - i < ROWS ? count - i : ROWS;
        for (int k = 0; k < n; k++) {
            fill_row(&in_order[i + k], &rows[k], keys[k]);
        }
        bkp_reports reports = {
            .before = before,
            .revision = i + n == count ? version : rows[n - 1].revision,
            .rows = {(u_int)n, rows}};
        before = reports.revision;
        send_reports(sync, &reports);
    }
}

/* the others will ask the store */
static void
send_gap(FrSync *sync, const BkStoreRow *row, uint64_t version)
{
    bkp_reports reports = {.before = version, .revision = version};

    BkLog_Event(BK_LOG_INFO, "sync", NULL, "row too large to pass on",
                "s:I, s:I", "bytes", (json_int_t)row->value.len, "version",
                (json_int_t)row->version);
    send_reports(sync, &reports);
}

void
FrRelayed_PassOn(FrSync *sync, const BkStoreReply *reply, uint64_t before)
{
    sync->first_told = BkRng_Below(
        &sync->front->rng, (uint32_t)FrPeers_Count(sync->front->peers));
    for (int i = 0; i < reply->count; i++) {
        if (!fits(&reply->rows[i])) {
            send_gap(sync, &reply->rows[i], reply->version);
            return;
        }
    }
    size_t size = (size_t)reply->count * sizeof(BkStoreRow);
    BkStoreRow *in_order = BkMem_New(1, size);
    memcpy(in_order, reply->rows, size);
    qsort(in_order, (size_t)reply->count, sizeof(*in_order), compare_versions);
    send_rows(sync, in_order, reply->count, before, reply->version);
    free(in_order);
}

static void
take_message(FrSync *sync, const bkp_reports *reports, BkMs now)
{
    FrFollower *list = &sync->followers[FR_TOPIC_REPORTS];

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
    if (reports->revision > list->version) {
        list->version = reports->revision;
    }
}

static void
take_held(FrSync *sync, BkMs now)
{
    bkp_reports reports;

    while (FrReorder_Pop(&sync->held, sync->followers[FR_TOPIC_REPORTS].version,
                       &reports)) {
        take_message(sync, &reports, now);
        xdr_free((xdrproc_t)xdr_bkp_reports, (char *)&reports);
    }
}

static void
pass_to_group(FrSync *sync, const bkp_reports *reports)
{
    bkp_reports last = *reports;

    last.pass_to.pass_to_len = 0;
    for (u_int i = 0; i < reports->pass_to.pass_to_len; i++) {
        FrPeers_SendTo(sync->front->peers, reports->pass_to.pass_to_val[i],
                       BKP_REPORTS, &last);
    }
}

void
FrRelayed_Take(FrSync *sync, const bkp_reports *reports, BkMs now)
{
    FrFollower *list = &sync->followers[FR_TOPIC_REPORTS];

    pass_to_group(sync, reports);
    sync->relayed_at = now;
    if (reports->ill) {
        BkFleet_NoteStoreOutage(&sync->front->fleet, now);
    }
    if (!list->whole) {
        FrReorder_Clear(&sync->held);
    }
    else if (reports->before <= list->version) {
        take_message(sync, reports, now);
        take_held(sync, now);
    }
    else if (reports->revision > list->version) {
        FrReorder_Add(&sync->held, reports);
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
