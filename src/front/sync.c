#include "sync.h"

#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "peers.h"

/* One follower for each of the two tables that others write. A reader reads
   its table whole, then follows the feed, and reads whole again when the feed
   lost its history. A daemon that is no reader only calls when it is behind:
   relayed.c takes what readers pass on. */

enum {
    FEED_WAIT = 1500,  /* ms; a connection that went silent shows within it */
    CALL_LIMIT = 600,  /* ms for an answer beyond that */
    READ_LIMIT = 1500, /* ms for a whole list */
    LONGEST_SHIFT = 2, /* both are doubled up to so often after failures, for
                          a large answer on a full link */
    PAUSE_FIRST = 60,  /* ms before a call that failed is made again */
    PAUSE_MOST = 600,  /* ms, doubled from the first on */
    SLOW_ANSWER = 400, /* ms; an answer later than this is a sign of illness */
    FEED_PAUSE = 150,  /* ms after changes, so that a stream of them does not
                          make a call for each */
    HURRY_AGAIN = 300, /* ms between two hurries */
    HURRY_SPREAD = 120 /* ms; daemons that hear the same do not call at once */
};

/* a call, remembered so that an answer after a hurry is told apart */
typedef struct Call {
    FrFollower *follower;
    uint64_t number;
    struct Call *prev; /* those under way */
    struct Call *next;
} Call;

static void make_call(FrFollower *follower);

static void
call_again(FrFollower *follower, BkMs after)
{
    BkTimer_Start(follower->timer, after);
}

static void
on_timer(void *arg)
{
    make_call(arg);
}

/* the next call, if there is any need of one */
static void
go_on(FrFollower *follower, BkMs pause)
{
    if (!follower->whole || follower->sync->reader) {
        call_again(follower, pause);
    }
}

static void
take_site(FrFront *front, const BkStoreRow *row)
{
    if (!BkStr_Equal(row->key, BkStr_FromC(BkAdapter_SiteKey())) ||
        row->gone) {
        return;
    }
    BkSite *site = BkAdapter_DecodeSite(row->value);
    if (site == NULL) {
        BK_LOG(BK_LOG_ERR, "sync", NULL,
               "%s; version %llu of the row is left out", BkErr_Last(),
               (unsigned long long)row->version);
        return;
    }
    if (front->site != NULL && site->version <= front->site->version) {
        BkSite_Destroy(site); /* a late answer, or one read before */
        return;
    }
    BkLog_Event(BK_LOG_NOTICE, "sync", NULL, "configuration", "s:I, s:I, s:i",
                "version", (json_int_t)site->version, "was",
                (json_int_t)(front->site == NULL ? 0 : front->site->version),
                "routes", site->route_count);
    BkSite_Destroy(front->site);
    front->site = site;
    FrPeers_TellAll(front->peers);
    FrQueue_WakeSoon(front, 0);
}

void
FrSync_TakeReport(FrFront *front, const BkStoreRow *row, BkMs now)
{
    BkUpReport report;

    if (row->version > front->fleet.version) {
        front->fleet.version = row->version;
    }
    if (row->gone) {
        BkFleet_ApplyRemoval(&front->fleet, row->key, row->version, now);
        return;
    }
    if (BkAdapter_DecodeReport(row->key, row->value, &report) != BK_OK) {
        BK_LOG(BK_LOG_WARNING, "sync", NULL,
               "%s and names no upstream to use: %.400s", BkErr_Last(),
               row->value.len == 0 ? "" : row->value.ptr);
        BkFleet_ApplyRemoval(&front->fleet, row->key, row->version, now);
        return;
    }
    BkFleet_ApplyReport(&front->fleet, &report, row->version, now);
    BkUpReport_Destroy(&report);
}

static void
take_rows(FrFollower *follower, const BkStoreReply *reply, BkMs now)
{
    FrFront *front = follower->sync->front;

    for (int i = 0; i < reply->count; i++) {
        switch (follower->topic) {
        case FR_TOPIC_SITE:
            take_site(front, &reply->rows[i]);
            break;
        case FR_TOPIC_REPORTS:
            FrSync_TakeReport(front, &reply->rows[i], now);
            break;
        case FR_TOPIC_COUNT:
            break;
        }
    }
    FrQueue_WakeSoon(front, 0);
}

void
FrSync_NoteStore(FrSync *sync, bool good, BkMs now)
{
    if (!good) {
        BkFleet_NoteStoreOutage(&sync->front->fleet, now);
    }
    if (sync->ill == !good) {
        return;
    }
    sync->ill = !good;
    BkLog_Event(BK_LOG_NOTICE, "sync", NULL,
                good ? "store regained" : "store lost", "s:I, s:I", "site",
                (json_int_t)sync->followers[FR_TOPIC_SITE].version, "reports",
                (json_int_t)sync->followers[FR_TOPIC_REPORTS].version);
}

static void
fail_call(FrFollower *follower, BkStatus status, BkMs now)
{
    BkMs pause = follower->pause;

    if (status == BK_EGONE) {
        /* changes were made that the feed will not tell */
        follower->whole = false;
        call_again(follower, 0);
        return;
    }
    FrSync_NoteStore(follower->sync, false, now);
    if (follower->failures < LONGEST_SHIFT) {
        follower->failures++;
    }
    pause = pause == 0 ? PAUSE_FIRST : pause * 2;
    follower->pause = pause < PAUSE_MOST ? pause : PAUSE_MOST;
    call_again(follower, follower->pause / 2 +
                             (BkMs)BkRng_Below(&follower->sync->front->rng,
                                               (uint32_t)follower->pause));
}

/* a part of a list came */
static void
take_list(FrFollower *follower, const BkStoreReply *reply, BkMs now)
{
    FrFront *front = follower->sync->front;

    if (reply->version < follower->version) {
        return; /* an answer from before what is known already */
    }
    if (follower->topic == FR_TOPIC_REPORTS && !follower->listing) {
        BkFleet_BeginList(&front->fleet);
    }
    take_rows(follower, reply, now);
    follower->listing = reply->more && reply->count > 0;
    if (follower->listing) {
        /* the next part begins with the last key of this one */
        free(follower->from);
        follower->from = BkStr_Dup(reply->rows[reply->count - 1].key);
        return;
    }
    if (follower->topic == FR_TOPIC_REPORTS) {
        BkFleet_EndList(&front->fleet, reply->version, now);
    }
    follower->whole = true;
    follower->version = reply->version;
}

static void
take_feed(FrFollower *follower, const BkStoreReply *reply, BkMs now)
{
    uint64_t changed = follower->sync->front->fleet.version;
    /* the store's version grows with every table's; those who missed no
       change of this one are not behind */
    uint64_t before = changed < follower->after ? changed : follower->after;

    take_rows(follower, reply, now);
    if (reply->version > follower->version) {
        follower->version = reply->version;
    }
    if (follower->topic == FR_TOPIC_REPORTS && reply->count > 0 &&
        follower->sync->reader) {
        FrRelayed_PassOn(follower->sync, reply, before);
    }
}

static void
end_call(Call *call)
{
    FrSync *sync = call->follower->sync;

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

static Call *
begin_call(FrFollower *follower)
{
    FrSync *sync = follower->sync;
    Call *call = BkMem_New(1, sizeof(*call));

    follower->call++;
    *call = (Call){
        .follower = follower, .number = follower->call, .next = sync->calls};
    if (call->next != NULL) {
        call->next->prev = call;
    }
    sync->calls = call;
    return call;
}

static void
take_reply(const BkStoreReply *reply, void *arg)
{
    Call call = *(Call *)arg;
    FrFollower *follower = call.follower;
    BkMs now = BkClock_Now();

    end_call(arg);
    if (call.number != follower->call) {
        return;
    }
    follower->busy = false;
    if (reply->status != BK_OK) {
        fail_call(follower, reply->status, now);
        return;
    }
    BkMs late = now - follower->called_at - follower->wait;
    FrSync_NoteStore(follower->sync, late < SLOW_ANSWER, now);
    follower->pause = 0;
    follower->failures = 0;
    if (follower->whole) {
        take_feed(follower, reply, now);
        go_on(follower, reply->count > 0 ? FEED_PAUSE : 0);
    }
    else {
        take_list(follower, reply, now);
        go_on(follower, 0);
    }
}

/* beyond the time that a feed waits for changes */
static BkMs
call_limit(const FrFollower *follower)
{
    BkMs limit = follower->whole ? CALL_LIMIT : READ_LIMIT;

    return limit << follower->failures;
}

/* without a byte of answer; a store that stood silent has lost the call */
static BkMs
silence_limit(const FrFollower *follower)
{
    return follower->wait + (CALL_LIMIT << (follower->failures > 0 ? 1 : 0));
}

static void
make_call(FrFollower *follower)
{
    BkStore *store = follower->sync->front->store;
    Call *call = begin_call(follower);

    follower->busy = true;
    follower->called_at = BkClock_Now();
    follower->after = follower->version;
    /* one that is only behind does not wait for further changes */
    follower->wait = follower->whole && follower->sync->reader ? FEED_WAIT : 0;
    BkStoreLimit limit = {.whole = follower->wait + call_limit(follower),
                          .silence = silence_limit(follower)};
    if (follower->whole) {
        BkStore_Feed(store, follower->table, follower->version, follower->wait,
                     limit, take_reply, call);
    }
    else {
        BkStore_Read(store, follower->table,
                     follower->listing ? follower->from : NULL, limit,
                     take_reply, call);
    }
}

FrSync *
FrSync_Create(FrFront *front)
{
    FrSync *sync = BkMem_New(1, sizeof(*sync));
    const char *tables[FR_TOPIC_COUNT] = {BkAdapter_SiteTable(),
                                          BkAdapter_ReportTable()};

    sync->front = front;
    sync->reader = true; /* until another one is heard */
    for (int i = 0; i < FR_TOPIC_COUNT; i++) {
        FrFollower *follower = &sync->followers[i];
        follower->sync = sync;
        follower->topic = (FrTopic)i;
        follower->table = tables[i];
        follower->timer = BkTimer_Create(front->loop, on_timer, follower);
        call_again(follower, 0);
    }
    return sync;
}

void
FrSync_Destroy(FrSync *sync)
{
    if (sync == NULL) {
        return;
    }
    for (int i = 0; i < FR_TOPIC_COUNT; i++) {
        BkTimer_Destroy(sync->followers[i].timer);
        free(sync->followers[i].from);
    }
    while (sync->calls != NULL) {
        end_call(sync->calls);
    }
    FrReorder_Clear(&sync->held);
    free(sync);
}

void
FrSync_SetReader(FrSync *sync, bool reader)
{
    if (sync->reader == reader) {
        return;
    }
    BkLog_Event(BK_LOG_INFO, "sync", NULL, "reader", "s:b, s:I", "is", reader,
                "reports",
                (json_int_t)sync->followers[FR_TOPIC_REPORTS].version);
    sync->reader = reader;
    for (int i = 0; i < FR_TOPIC_COUNT; i++) {
        if (reader && !sync->followers[i].busy) {
            call_again(&sync->followers[i], 0);
        }
    }
    if (!reader) {
        sync->ill = false; /* the readers know */
    }
}

void
FrSync_Hurry(FrSync *sync, FrTopic topic, BkMs now)
{
    FrFollower *follower = &sync->followers[topic];

    /* a feed that waits for changes has missed one, or hangs since the store
       was away; other answers are on their way */
    bool waits = follower->busy && follower->wait == 0 &&
                 now - follower->called_at < call_limit(follower);

    if (now - follower->hurried_at < HURRY_AGAIN || waits) {
        return;
    }
    BkLog_Event(BK_LOG_INFO, "sync", NULL, "behind another daemon", "s:s, s:I",
                "table", follower->table, "version",
                (json_int_t)follower->version);
    follower->hurried_at = now;
    if (sync->reader) {
        /* the present call may hang, or its feed be silent: its answer is
           void, and all is read again */
        follower->call++;
        follower->whole = false;
        follower->listing = false;
    }
    call_again(follower, (BkMs)BkRng_Below(&sync->front->rng, HURRY_SPREAD));
}

bool
FrSync_IsIll(const FrSync *sync)
{
    return sync == NULL || sync->ill;
}
