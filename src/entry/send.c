#include "bk/entry/relay.h"

enum {
    SEARCH_PAUSE_MS = 200,  /* between looks for a copy in mid-stream */
    SEARCH_SPAN_MS = 60000, /* deadline of such a choice */
    RETRY_AFTER_MS = 1000   /* where nobody gave a better figure */
};

/* an upstream may come back, or a copy be loaded, within seconds */
static void
search_on(BkRelay *relay, BkStatus status, BkMs retry_after)
{
    BkMs now = BkClock_Now();

    if (relay->search_until == 0) {
        relay->search_until = now + relay->entry->conf.resume_within;
    }
    if (now >= relay->search_until) {
        BkRelay_Fail(relay, BkDecide_Final(status, true), NULL, retry_after);
        return;
    }
    relay->tried.count = 0;
    BkTimer_Start(relay->timer, SEARCH_PAUSE_MS);
}

static void
query_tried(const BkRelay *relay, BkRouteQuery *query)
{
    for (int i = 0; i < relay->tried.count; i++) {
        int up = BkBundle_FindUpstreamKey(relay->entry->daemon->bundle,
                                          relay->tried.keys[i]);
        if (up >= 0) {
            query->tried[query->tried_count++] = up;
        }
    }
}

static bool
was_tried(const BkRelay *relay, uint32_t key)
{
    for (int i = 0; i < relay->tried.count; i++) {
        if (relay->tried.keys[i] == key) {
            return true;
        }
    }
    return false;
}

/* a restarted upstream holds no stream of its earlier life */
static bool
has_restarted(const BkUpView *seen, uint32_t boot)
{
    return boot != 0 && seen->boot != 0 && seen->boot != boot;
}

/* the upstream of the ticket first, then others that serve the item */
static int
choose_holder(const BkRelay *relay, int item)
{
    const BkDaemon *daemon = relay->entry->daemon;
    int up = BkBundle_FindUpstreamKey(daemon->bundle, relay->up_key);

    if (relay->tried.count >= BK_ROUTE_MAX_TRIED) {
        return -1;
    }
    if (up >= 0 && !was_tried(relay, relay->up_key) &&
        !has_restarted(&daemon->view->ups[up], relay->up_boot)) {
        return up;
    }
    for (up = 0; up < daemon->view->count; up++) {
        if (!was_tried(relay, daemon->bundle->upstreams[up].key) &&
            BkView_FindReady(daemon->view, up, item) != NULL) {
            return up;
        }
    }
    return -1;
}

static void
send_to_holder(BkRelay *relay, int item)
{
    int up = choose_holder(relay, item);

    if (up >= 0) {
        relay->resuming = true;
        BkAttempt_Start(relay, up);
    }
    else if (relay->all_gone || relay->opened) {
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
        send_to_holder(relay, item);
        return;
    }
    /* after a pause of this process, a claim may be somebody else's */
    if (!relay->opened && now >= relay->deadline) {
        BkRelay_Fail(relay, BK_EOVERLOAD, NULL, RETRY_AFTER_MS);
        return;
    }
    BkRouteQuery query = {
        .item = item,
        .prefix_hash = relay->prefix_hash,
        .deadline = relay->opened ? now + SEARCH_SPAN_MS : relay->deadline,
    };
    query_tried(relay, &query);
    entry->route.conf.senders = 1 + BkDaemon_CountPeers(daemon, BK_ROLE_ENTRY);
    BkRouteChoice choice =
        BkRoute_Choose(&entry->route, daemon->view, &query, now);
    if (choice.status == BK_ENOTREADY && relay->try_same) {
        query.tried_count = 0;
        choice = BkRoute_Choose(&entry->route, daemon->view, &query, now);
    }
    if (choice.status == BK_OK) {
        relay->resuming = false;
        BkAttempt_Start(relay, choice.upstream);
    }
    else if (relay->opened) {
        search_on(relay, choice.status, choice.retry_after);
    }
    else if (relay->last_failure != BK_OK) {
        /* why there was no answer tells more than that no copy is left */
        BkRelay_Fail(relay, relay->last_failure, NULL, choice.retry_after);
    }
    else {
        BkRelay_Fail(relay, choice.status, NULL, choice.retry_after);
    }
}
