#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "front.h"
#include "peers.h"

/* One for each of the two tables that others write: read whole, then follow
   the feed; whole again when the feed lost its history. */

enum {
    FEED_WAIT = 1500,  /* ms; a connection that went silent shows within it */
    CALL_LIMIT = 600,  /* ms for an answer beyond that */
    READ_LIMIT = 1500, /* ms for a whole list */
    PAUSE_FIRST = 60,  /* ms before a call that failed is made again */
    PAUSE_MOST = 600,  /* ms, doubled from the first on */
    HURRY_AGAIN = 300, /* ms between two hurries */
    FEED_LAG = 250,    /* ms that feeds of two daemons may differ */
    SLOW_ANSWER = 400  /* ms; an answer later than this is a sign of illness */
};

typedef enum Topic {
    TOPIC_SITE,
    TOPIC_REPORTS,
    TOPIC_COUNT
} Topic;

typedef struct Follower {
    FrSync *sync;
    Topic topic;
    const char *table;
    uint64_t version; /* of the store, taken in */
    bool whole;       /* a list has been read; the feed may go on */
    bool busy;
    bool listing; /* further parts of a list are on the way */
    char *from;   /* of the next part */
    BkMs called_at;
    BkMs pause;
    BkTimer *timer;
    BkMs hurried_at;
    BkMs behind_at; /* since when another daemon knows more; 0: none does */
    uint64_t call;  /* number of the newest call; others' answers are void */
} Follower;

struct FrSync {
    FrFront *front;
    Follower followers[TOPIC_COUNT];
    bool ill; /* the last call of either failed */
};

/* a call, remembered so that an answer after a hurry is told apart */
typedef struct Call {
    Follower *follower;
    uint64_t number;
} Call;

static void make_call(Follower *follower);

static void
call_again(Follower *follower, BkMs after)
{
    BkTimer_Start(follower->timer, after);
}

static void
on_timer(void *arg)
{
    make_call(arg);
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
               "%s; version %llu of the row is "
               "left out",
               BkErr_Last(), (unsigned long long)row->version);
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

static void
take_report(FrFront *front, const BkStoreRow *row, BkMs now)
{
    BkUpReport report;

    if (row->version > front->fleet.version) {
        front->fleet.version = row->version;
    }
    if (row->gone) {
        BkFleet_TakeRemoval(&front->fleet, row->key, row->version, now);
        return;
    }
    if (BkAdapter_DecodeReport(row->key, row->value, &report) != BK_OK) {
        BK_LOG(BK_LOG_WARNING, "sync", NULL,
               "%s and names no upstream to use: %.400s", BkErr_Last(),
               row->value.len == 0 ? "" : row->value.ptr);
        BkFleet_TakeRemoval(&front->fleet, row->key, row->version, now);
        return;
    }
    BkFleet_TakeReport(&front->fleet, &report, row->version, now);
    BkUpReport_Destroy(&report);
}

static void
take_rows(Follower *follower, const BkStoreReply *reply, BkMs now)
{
    FrFront *front = follower->sync->front;

    for (int i = 0; i < reply->count; i++) {
        switch (follower->topic) {
        case TOPIC_SITE:
            take_site(front, &reply->rows[i]);
            break;
        case TOPIC_REPORTS:
            take_report(front, &reply->rows[i], now);
            break;
        case TOPIC_COUNT:
            break;
        }
    }
    FrQueue_WakeSoon(front, 0);
}

static void
note_health(Follower *follower, bool good, BkMs now)
{
    FrSync *sync = follower->sync;

    if (!good) {
        BkFleet_NoteStoreIll(&sync->front->fleet, now);
    }
    if (sync->ill == !good) {
        return;
    }
    if (!good || follower->pause == 0) {
        sync->ill = !good;
        BkLog_Event(BK_LOG_NOTICE, "sync", NULL,
                    good ? "store regained" : "store lost", "s:s, s:I",
                    "table", follower->table, "version",
                    (json_int_t)follower->version);
    }
}

static void
fail_call(Follower *follower, BkStatus status, BkMs now)
{
    BkMs pause = follower->pause;

    if (status == BK_EGONE) {
        /* changes were made that the feed will not tell */
        follower->whole = false;
        call_again(follower, 0);
        return;
    }
    note_health(follower, false, now);
    pause = pause == 0 ? PAUSE_FIRST : pause * 2;
    follower->pause = pause < PAUSE_MOST ? pause : PAUSE_MOST;
    call_again(follower, follower->pause / 2 +
                             (BkMs)BkRng_Below(&follower->sync->front->rng,
                                               (uint32_t)follower->pause));
}

/* a part of a list came; true if it was the last one */
static bool
take_list(Follower *follower, const BkStoreReply *reply, BkMs now)
{
    FrFront *front = follower->sync->front;

    if (reply->version < follower->version) {
        /* an answer from before what is known already */
        return true;
    }
    if (follower->topic == TOPIC_REPORTS && !follower->listing) {
        BkFleet_BeginList(&front->fleet);
    }
    take_rows(follower, reply, now);
    follower->listing = reply->more && reply->count > 0;
    if (follower->listing) {
        /* the next part begins with the last key of this one */
        free(follower->from);
        follower->from = BkStr_Dup(reply->rows[reply->count - 1].key);
        return false;
    }
    if (follower->topic == TOPIC_REPORTS) {
        BkFleet_EndList(&front->fleet, reply->version, now);
    }
    follower->whole = true;
    follower->version = reply->version;
    return true;
}

static void
take_reply(const BkStoreReply *reply, void *arg)
{
    Call call = *(Call *)arg;
    Follower *follower = call.follower;
    BkMs now = BkClock_Now();

    free(arg);
    if (call.number != follower->call) {
        return;
    }
    follower->busy = false;
    if (reply->status != BK_OK) {
        fail_call(follower, reply->status, now);
        return;
    }
    follower->pause = 0;
    BkMs late = now - follower->called_at - (follower->whole ? FEED_WAIT : 0);
    note_health(follower, late < SLOW_ANSWER, now);
    if (!follower->whole) {
        take_list(follower, reply, now);
        call_again(follower, 0);
        return;
    }
    take_rows(follower, reply, now);
    if (reply->version > follower->version) {
        follower->version = reply->version;
    }
    call_again(follower, 0);
}

static void
make_call(Follower *follower)
{
    BkStore *store = follower->sync->front->store;
    Call *call = BkMem_New(1, sizeof(*call));

    follower->call++;
    *call = (Call){follower, follower->call};
    follower->busy = true;
    follower->called_at = BkClock_Now();
    if (follower->whole) {
        BkStore_Feed(store, follower->table, follower->version, FEED_WAIT,
                     FEED_WAIT + CALL_LIMIT, take_reply, call);
    }
    else {
        BkStore_Read(store, follower->table,
                     follower->listing ? follower->from : NULL, READ_LIMIT,
                     take_reply, call);
    }
}

FrSync *
FrSync_Create(FrFront *front)
{
    FrSync *sync = BkMem_New(1, sizeof(*sync));
    const char *tables[TOPIC_COUNT] = {BkAdapter_SiteTable(),
                                       BkAdapter_ReportTable()};

    sync->front = front;
    for (int i = 0; i < TOPIC_COUNT; i++) {
        Follower *follower = &sync->followers[i];
        follower->sync = sync;
        follower->topic = (Topic)i;
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
    for (int i = 0; i < TOPIC_COUNT; i++) {
        BkTimer_Destroy(sync->followers[i].timer);
        free(sync->followers[i].from);
    }
    free(sync);
}

/* The present call may hang, or its feed be silent: its answer is void, and
   all is read again. */
static void
hurry(Follower *follower, BkMs now)
{
    if (now - follower->hurried_at < HURRY_AGAIN) {
        return;
    }
    BkLog_Event(BK_LOG_NOTICE, "sync", NULL, "behind another daemon",
                "s:s, s:I", "table", follower->table, "version",
                (json_int_t)follower->version);
    follower->hurried_at = now;
    follower->whole = false;
    follower->listing = false;
    call_again(follower, 0);
}

bool
FrSync_IsIll(const FrSync *sync)
{
    return sync == NULL || sync->ill;
}

void
FrSync_TakeNews(FrSync *sync, uint64_t site, uint64_t reports, BkMs now)
{
    const FrFront *front = sync->front;
    Follower *list = &sync->followers[TOPIC_REPORTS];

    if (site > (front->site == NULL ? 0 : front->site->version)) {
        hurry(&sync->followers[TOPIC_SITE], now);
    }
    if (reports <= list->version) {
        list->behind_at = 0;
    }
    else if (list->behind_at == 0) {
        list->behind_at = now;
    }
    else if (now - list->behind_at >= FEED_LAG) {
        hurry(list, now);
    }
}
