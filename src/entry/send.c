#include "bk/entry/relay.h"

enum {
    RETRY_PAUSE_MS = 100,       /* between attempts before the first byte */
    SEARCH_PAUSE_MS = 200,      /* between searches for a copy, mid-stream */
    SEARCH_MAX_WAIT_MS = 60000, /* for a slot, to continue a stream */
    RETRY_AFTER_MS = 1000       /* when no better value is known */
};

/* No copy can continue the stream now. Searches again after a pause, since an
 * upstream may recover, or a copy may be loaded, within seconds. Fails the
 * request when the search has taken resume_within. */
static void
search_again(BkRelay *relay, BkStatus status, BkMs retry_after)
{
    BkMs now = BkClock_Now();

    if (relay->search_until == 0) {
        relay->search_until = now + relay->entry->conf.resume_within;
    }
    if (now >= relay->search_until) {
        BkRelay_Fail(relay, BkDecide_FinalStatus(status, true), NULL,
                     retry_after);
        return;
    }
    relay->tried.count = 0;
    BkTimer_Start(relay->wait_timer, SEARCH_PAUSE_MS);
}

/*
 * Schedules another attempt before the first byte. All known copies failed or
 * have moved, but within a short time the view may list others, or one of
 * these may have recovered. False if the deadline or the limit of attempts
 * does not allow it.
 */
static bool
schedule_retry(BkRelay *relay, BkMs now)
{
    bool failed = relay->last_failure != BK_OK && !relay->stream_opened;

    if (!failed || now + RETRY_PAUSE_MS >= relay->deadline ||
        relay->attempts_without_progress >=
            relay->entry->conf.max_attempts_without_progress) {
        return false;
    }
    /* a scheduled cancel would also end the next attempt at that upstream,
       which has the same request id */
    BkCancel_Unschedule(relay->entry, relay->request_id);
    BkTimer_Start(relay->retry_timer, RETRY_PAUSE_MS);
    return true;
}

static void
exclude_tried(const BkRelay *relay, BkRouteQuery *query)
{
    for (int i = 0; i < relay->tried.count; i++) {
        int up = BkBundle_FindUpstreamByHash(relay->entry->daemon->bundle,
                                             relay->tried.name_hashes[i]);
        if (up >= 0) {
            query->tried[query->tried_count++] = up;
        }
    }
}

static bool
was_tried(const BkRelay *relay, uint32_t name_hash)
{
    for (int i = 0; i < relay->tried.count; i++) {
        if (relay->tried.name_hashes[i] == name_hash) {
            return true;
        }
    }
    return false;
}

/* a restarted upstream has lost the streams of its previous process */
static bool
has_restarted(const BkUpView *up_view, uint32_t boot)
{
    return boot != 0 && up_view->boot != 0 && up_view->boot != boot;
}

/* Chooses an upstream that may hold the stream: first that of the ticket, then
 * others that serve the item. */
static int
choose_stream_holder(const BkRelay *relay, int item)
{
    const BkDaemon *daemon = relay->entry->daemon;
    int up = BkBundle_FindUpstreamByHash(daemon->bundle, relay->up_name_hash);

    if (relay->tried.count >= BK_ROUTE_MAX_TRIED) {
        return -1;
    }
    if (up >= 0 && !was_tried(relay, relay->up_name_hash) &&
        !has_restarted(&daemon->view->ups[up], relay->up_boot)) {
        return up;
    }
    for (up = 0; up < daemon->view->count; up++) {
        if (!was_tried(relay, daemon->bundle->upstreams[up].name_hash) &&
            BkView_FindReady(daemon->view, up, item) != NULL) {
            return up;
        }
    }
    return -1;
}

static void
send_to_stream_holder(BkRelay *relay, int item)
{
    int up = choose_stream_holder(relay, item);

    if (up >= 0) {
        relay->resuming = true;
        BkAttempt_Start(relay, up);
    }
    else if (relay->all_not_found || relay->stream_opened) {
        BkRelay_Fail(relay, BK_EGONE, NULL, 0);
    }
    else {
        BkRelay_Fail(relay, BK_ETRYAGAIN,
                     "the upstream that holds the stream does not answer",
                     RETRY_AFTER_MS);
    }
}

void
BkRelay_Send(BkRelay *relay)
{
    BkEntry *entry = relay->entry;
    BkDaemon *daemon = entry->daemon;
    BkMs now = BkClock_Now();
    int item = BkBundle_FindItem(daemon->bundle, BkStr_FromC(relay->item));

    if (item < 0) {
        BkRelay_Fail(relay, BK_ENOMODEL, "it is no longer in force", 0);
        return;
    }
    if (relay->from_ticket) {
        send_to_stream_holder(relay, item);
        return;
    }
    /* the timer is late if this process was paused; a claim may have expired
       by then, and another request may have claimed the key */
    if (!relay->stream_opened && now >= relay->deadline) {
        BkRelay_Fail(relay, BK_EOVERLOAD, NULL, RETRY_AFTER_MS);
        return;
    }
    BkRouteQuery query = {
        .item = item,
        .prefix_hash = relay->prefix_hash,
        .deadline =
            relay->stream_opened ? now + SEARCH_MAX_WAIT_MS : relay->deadline,
    };
    exclude_tried(relay, &query);
    entry->route.conf.senders = 1 + BkDaemon_CountPeers(daemon, BK_ROLE_ENTRY);
    BkRouteChoice choice =
        BkRoute_Choose(&entry->route, daemon->view, &query, now);
    if (choice.status == BK_ENOTREADY && schedule_retry(relay, now)) {
        return;
    }
    if (choice.status == BK_OK) {
        relay->resuming = false;
        BkAttempt_Start(relay, choice.upstream);
    }
    else if (relay->stream_opened) {
        search_again(relay, choice.status, choice.retry_after);
    }
    else if (relay->last_failure != BK_OK) {
        /* the failure of the last attempt tells the caller more than that no
           copy is left */
        BkRelay_Fail(relay, relay->last_failure, NULL, choice.retry_after);
    }
    else {
        BkRelay_Fail(relay, choice.status, NULL, choice.retry_after);
    }
}

void
BkRelay_OnRetryTimer(void *arg)
{
    BkRelay *relay = arg;

    relay->tried.count = 0;
    BkRelay_Send(relay);
}
