#include "keeper.h"

#include <stdlib.h>
#include <xxhash.h>

#include "bk/base/log.h"
#include "relay.h"

enum {
    ASK_LOST = 20,   /* ms without an answer; several round trips between
                        failure domains */
    LOST_MOST = 2,   /* in a row, until a keeper is passed over */
    DEAF_FOR = 2000, /* ms that it is passed over */
    TELL_AFTER = 2   /* ms, so that changes at one time go together */
};

static uint64_t
weigh(const BkUp *up, const char *daemon)
{
    return XXH64(&up->key, sizeof(up->key), BkStr_Key(BkStr_FromC(daemon)));
}

/* NULL: this daemon */
static FrPeer *
find_keeper(const FrFront *front, const BkUp *up, BkMs now)
{
    const FrPeers *peers = front->peers;
    FrPeer *best = NULL;
    uint64_t most = weigh(up, front->conf.name);

    for (int i = 0; i < peers->count; i++) {
        FrPeer *peer = peers->list[i];
        if (!FrPeer_IsAlive(peer, now) || peer->stopping ||
            now < peer->skip_until) {
            continue;
        }
        uint64_t weight = weigh(up, peer->name);
        if (weight > most) {
            most = weight;
            best = peer;
        }
    }
    return best;
}

static bkp_load
own_load(const BkUp *up)
{
    return (bkp_load){up->key, (u_int)up->own_running,
                      (u_int)up->own_prompt_tokens};
}

static void
tell_changes(void *arg)
{
    FrKeeper *keeper = arg;
    FrFront *front = keeper->front;
    BkMs now = BkClock_Now();

    for (int i = 0; i < front->fleet.count; i++) {
        BkUp *up = front->fleet.ups[i];
        if (!up->load_unsent) {
            continue;
        }
        up->load_unsent = false;
        const FrPeer *to = find_keeper(front, up, now);
        if (to != NULL) {
            bkp_told told = {front->conf.name, own_load(up)};
            FrPeers_Send(front->peers, to, BKP_TOLD, &told);
        }
    }
}

void
FrKeeper_NoteChange(FrKeeper *keeper, const FrRelay *relay, BkUp *up)
{
    if (relay->query.model == 0) {
        return; /* keepers are asked about engines only */
    }
    up->load_unsent = true;
    if (!BkTimer_Running(keeper->tell_timer)) {
        BkTimer_Start(keeper->tell_timer, TELL_AFTER);
    }
}

bool
FrKeeper_Ask(FrKeeper *keeper, FrRelay *relay, BkMs now)
{
    FrFront *front = keeper->front;
    FrPeer *to = find_keeper(front, relay->up, now);

    if (to == NULL) {
        return false; /* the upstream was chosen by the keeper's own count */
    }
    bkp_ask ask = {front->conf.name, ++keeper->number,
                   (u_int)relay->query.prompt_tokens, own_load(relay->up)};
    relay->ask = keeper->number;
    relay->asked_at = now;
    relay->keeper = to;
    relay->ask_prev = NULL;
    relay->ask_next = keeper->asked;
    if (keeper->asked != NULL) {
        keeper->asked->ask_prev = relay;
    }
    keeper->asked = relay;
    BkCounter_Add(keeper->asks, 1);
    FrPeers_Send(front->peers, to, BKP_ASK, &ask);
    if (!BkTimer_Running(keeper->lost_timer)) {
        BkTimer_Start(keeper->lost_timer, ASK_LOST);
    }
    return true;
}

void
FrKeeper_Forget(FrKeeper *keeper, FrRelay *relay)
{
    if (relay->ask == 0) {
        return;
    }
    relay->ask = 0;
    if (relay->ask_prev != NULL) {
        relay->ask_prev->ask_next = relay->ask_next;
    }
    else {
        keeper->asked = relay->ask_next;
    }
    if (relay->ask_next != NULL) {
        relay->ask_next->ask_prev = relay->ask_prev;
    }
}

void
FrKeeper_TakeAsk(FrKeeper *keeper, const bkp_ask *ask, BkMs now)
{
    FrFront *front = keeper->front;
    FrPeer *peer = FrPeers_Find(front->peers, BkStr_FromC(ask->name));
    const BkUp *up = BkFleet_FindByKey(&front->fleet, ask->load.up);
    bkp_grant grant = {ask->number, 1};
    bkp_load before = ask->load;

    if (peer == NULL || up == NULL || before.running == 0 ||
        before.prompt < ask->prompt) {
        return; /* the one that asks goes by its own view */
    }
    before.running--;
    before.prompt -= ask->prompt;
    FrLoads_SetOne(front, peer, &before);
    if (FrRelay_IsEngineFull(front, up, ask->prompt)) {
        grant.granted = 0;
    }
    else {
        FrLoads_SetOne(front, peer, &ask->load);
    }
    FrPeers_Send(front->peers, peer, BKP_GRANT, &grant);
}

void
FrKeeper_TakeGrant(FrKeeper *keeper, const bkp_grant *grant, BkMs now)
{
    FrRelay *relay = keeper->asked;

    while (relay != NULL && relay->ask != grant->number) {
        relay = relay->ask_next;
    }
    if (relay == NULL) {
        return; /* came too late */
    }
    relay->keeper->unanswered_asks = 0;
    FrKeeper_Forget(keeper, relay);
    BkCounter_Add(keeper->denied, grant->granted ? 0 : 1);
    FrRelay_TakeGrant(relay, grant->granted != 0, now);
}

void
FrKeeper_TakeTold(FrKeeper *keeper, const bkp_told *told)
{
    FrFront *front = keeper->front;
    FrPeer *peer = FrPeers_Find(front->peers, BkStr_FromC(told->name));

    if (peer != NULL) {
        FrLoads_SetOne(front, peer, &told->load);
        FrQueue_WakeSoon(front, 0);
    }
}

static void
note_lost(FrKeeper *keeper, FrPeer *peer, BkMs now)
{
    BkCounter_Add(keeper->lost, 1);
    if (++peer->unanswered_asks >= LOST_MOST && now >= peer->skip_until) {
        peer->skip_until = now + DEAF_FOR;
        BkLog_Event(BK_LOG_NOTICE, "keeper", NULL, "no answer", "s:s, s:i",
                    "peer", peer->name, "asked", peer->unanswered_asks);
    }
}

static FrRelay *
find_oldest(const FrKeeper *keeper)
{
    FrRelay *oldest = keeper->asked;

    while (oldest != NULL && oldest->ask_next != NULL) {
        oldest = oldest->ask_next;
    }
    return oldest;
}

static void
look_for_lost(void *arg)
{
    FrKeeper *keeper = arg;
    BkMs now = BkClock_Now();
    FrRelay *relay;

    while ((relay = find_oldest(keeper)) != NULL) {
        BkMs left = relay->asked_at + ASK_LOST - now;
        if (left > 0) {
            BkTimer_Start(keeper->lost_timer, left);
            return;
        }
        note_lost(keeper, relay->keeper, now);
        FrKeeper_Forget(keeper, relay);
        FrRelay_TakeGrant(relay, true, now);
    }
}

FrKeeper *
FrKeeper_Create(FrFront *front)
{
    FrKeeper *keeper = BkMem_New(1, sizeof(*keeper));

    keeper->front = front;
    keeper->lost_timer = BkTimer_Create(front->loop, look_for_lost, keeper);
    keeper->tell_timer = BkTimer_Create(front->loop, tell_changes, keeper);
    keeper->asks = BkCounter_Get("bk_front_asks_total", NULL,
                                 "questions to keepers of engines");
    keeper->denied = BkCounter_Get("bk_front_asks_denied_total", NULL,
                                   "of these, the engine was full");
    keeper->lost = BkCounter_Get("bk_front_asks_lost_total", NULL,
                                 "of these, without an answer in time");
    return keeper;
}

void
FrKeeper_Destroy(FrKeeper *keeper)
{
    if (keeper == NULL) {
        return;
    }
    BkTimer_Destroy(keeper->lost_timer);
    BkTimer_Destroy(keeper->tell_timer);
    free(keeper);
}
