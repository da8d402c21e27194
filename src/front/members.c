#include <stdio.h>
#include <string.h>

#include "bk/base/log.h"
#include "bk/net/datagram.h"
#include "peers.h"
#include "sync.h"

/* The members table has a row for each daemon, with the address of its
   datagrams and its failure domain, "ADDRESS DOMAIN". It is read
   rarely, since daemons also learn of each other by gossip. */

enum {
    FIRST_READ_DELAY = 1500, /* ms after this daemon's row was written */
    READ_INTERVAL = 60000,   /* ms, once gossip of every known peer has come */
    /* ms, while no peer is known or one never sent gossip; doubles each time
       that a read finds no new peer, since some rows are of daemons that ended
       without removing them */
    MIN_READ_INTERVAL = 3000,
    RETRY_DELAY = 700,   /* ms before a failed call is retried; at random up to
                           twice that */
    CALL_TIMEOUT = 1000, /* ms; of a call to the store that answers in time */
    MAX_CALL_TIMEOUT = 4000, /* ms */
    REWRITE_JITTER = 2000    /* ms; not all daemons write again at once */
};

static const char table[] = "members";

void
FrMembers_Init(FrPeers *peers)
{
    peers->patience = FrPatience_Make(CALL_TIMEOUT, MAX_CALL_TIMEOUT);
}

static BkMs
begin_call(FrPeers *peers)
{
    peers->call_active = true;
    return FrPatience_Begin(&peers->patience, BkClock_Now());
}

static void
end_call(FrPeers *peers, const BkStoreReply *reply)
{
    peers->call_active = false;
    FrPatience_End(&peers->patience,
                   reply->status == BK_OK || reply->status == BK_ECONFLICT,
                   BkClock_Now());
}

static void
schedule_retry(FrPeers *peers)
{
    peers->next_call_at = BkClock_Now() + RETRY_DELAY +
                          BkRng_Below(&peers->front->rng, RETRY_DELAY);
}

/* time to the next read; added: number of new peers in the last list */
static BkMs
choose_interval(FrPeers *peers, int added)
{
    if (!FrPeers_IsIncomplete(peers)) {
        return READ_INTERVAL;
    }
    if (added > 0 || peers->read_interval == 0 ||
        !FrPeers_AnyAlive(peers, BkClock_Now())) {
        peers->read_interval = MIN_READ_INTERVAL;
    }
    else if (peers->read_interval < READ_INTERVAL) {
        peers->read_interval *= 2;
    }
    return peers->read_interval;
}

static void on_list(const BkStoreReply *reply, void *arg);

static void
read_list(FrPeers *peers)
{
    if (peers->next_key.len == 0) {
        peers->known_before_list = peers->count;
    }
    BkStore_ReadRows(peers->front->store, table, BkBuf_Str(&peers->next_key),
                     (BkStoreTimeouts){.total = begin_call(peers)}, on_list,
                     peers);
}

/* Returns false if another writer has left the row: it names no daemon. */
static bool
parse_row(const BkStoreRow *row, BkStr *address, BkStr *domain)
{
    char text[BKP_MAX_NAME + 1];

    *domain = row->value;
    *address = BkStr_Split(domain, ' ');
    if (row->key.len == 0 || row->key.len > BKP_MAX_NAME ||
        address->len > BKP_MAX_NAME || domain->len > BKP_MAX_NAME) {
        return false;
    }
    snprintf(text, sizeof(text), "%.*s", BK_STR_ARG(*address));
    return BkDatagram_IsAddress(text);
}

static void
add_members(FrPeers *peers, const BkStoreReply *reply)
{
    int ignored = 0;

    for (int i = 0; i < reply->count; i++) {
        BkStr address;
        BkStr domain;
        if (!parse_row(&reply->rows[i], &address, &domain)) {
            ignored++;
            continue;
        }
        FrPeers_Add(peers, reply->rows[i].key, address, domain);
    }
    if (ignored > 0) {
        BkLog_Event(BK_LOG_WARNING, "peers", NULL,
                    "rows of the members table name no daemon, ignored",
                    "s:i, s:i", "rows", ignored, "of", reply->count);
    }
}

static void
on_list(const BkStoreReply *reply, void *arg)
{
    FrPeers *peers = arg;

    end_call(peers, reply);
    if (reply->status != BK_OK) {
        schedule_retry(peers);
        return;
    }
    add_members(peers, reply);
    BkBuf_Clear(&peers->next_key);
    if (reply->has_more) {
        BkBuf_Append(&peers->next_key, reply->next_key);
        read_list(peers);
        return;
    }
    if (!peers->listed) {
        peers->listed = true;
        BkLog_Event(BK_LOG_INFO, "peers", NULL, "members listed", "s:i",
                    "daemons", FrPeers_Count(peers));
    }
    peers->next_call_at =
        BkClock_Now() +
        choose_interval(peers, peers->count - peers->known_before_list);
    FrSync_AllowReader(peers->front->sync, BkClock_Now());
}

/* The row was written if there was none. */
static void
on_first_row(const BkStoreReply *reply, FrPeers *peers)
{
    FrFront *front = peers->front;

    if (reply->status == BK_OK) {
        front->first_start_known = true;
    }
    else if (reply->status == BK_ECONFLICT) {
        BkLog_Event(BK_LOG_NOTICE, "peers", NULL, "not the first start", "s:s",
                    "why", "an earlier process of this VM has left its row");
        front->conf.first_start = false;
    }
}

static void
on_row_written(const BkStoreReply *reply, void *arg)
{
    FrPeers *peers = arg;
    const FrFront *front = peers->front;

    end_call(peers, reply);
    if (front->conf.first_start && !front->first_start_known) {
        on_first_row(reply, peers);
    }
    peers->row_written = reply->status == BK_OK;
    if (!peers->row_written) {
        schedule_retry(peers);
        return;
    }
    peers->next_call_at = BkClock_Now() + FIRST_READ_DELAY;
    FrPeers_SendGossip(peers);
}

void
FrMembers_Step(FrPeers *peers, BkMs now)
{
    const FrConf *conf = &peers->front->conf;

    if (peers->call_active || now < peers->next_call_at ||
        peers->front->stopping) {
        return;
    }
    if (peers->row_written && peers->read_interval != 0 &&
        !FrPeers_IsIncomplete(peers)) {
        /* gossip of every known peer has come meanwhile */
        peers->next_call_at = now + READ_INTERVAL;
        peers->read_interval = 0;
        return;
    }
    if (peers->row_written) {
        read_list(peers);
    }
    else {
        BkBuf value = BkBuf_Make(0);
        BkBuf_Printf(&value, "%s %s", conf->peers_address, conf->domain);
        BkStoreOp row = {.key = conf->name,
                         /* that there is none */
                         .check_version = conf->first_start &&
                                          !peers->front->first_start_known,
                         .put = true,
                         .value = BkBuf_Str(&value)};
        BkStore_Commit(peers->front->store, table, &row, 1, begin_call(peers),
                       on_row_written, peers);
        BkBuf_Destroy(&value);
    }
}

void
FrMembers_WriteAgain(FrPeers *peers, BkMs now)
{
    peers->row_written = false;
    peers->next_call_at =
        now + BkRng_Below(&peers->front->rng, REWRITE_JITTER);
}

static void
on_row_removed(const BkStoreReply *reply, void *arg)
{
    if (reply->status != BK_OK) {
        BK_LOG(BK_LOG_WARNING, "peers", NULL,
               "cannot remove this daemon's row of the members table: %s",
               BkStatus_Info(reply->status)->text);
    }
}

void
FrMembers_Leave(FrPeers *peers)
{
    BkStoreOp row = {.key = peers->front->conf.name, .remove = true};

    if (peers->row_written) {
        BkStore_Commit(peers->front->store, table, &row, 1, CALL_TIMEOUT,
                       on_row_removed, peers);
    }
    FrPeers_SendGossip(peers);
}
