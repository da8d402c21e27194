#include "admission.h"

#include <stdlib.h>
#include <xxhash.h>

#include "admission_inputs.h"
#include "bk/admit/admit.h"
#include "bk/base/log.h"
#include "request.h"
#include "signals.h"

enum {
    ASK_TIMEOUT = 20,   /* ms to wait for an answer; several round trips
                           between failure domains */
    MAX_UNANSWERED = 2, /* consecutive, until a coordinator is skipped */
    SKIP_TIME = 2000,   /* ms that it is skipped */
    LOAD_DELAY = 2,     /* ms; load that changes several times within it is
                           sent once */
    /* ms between two messages about a load that does not change, since
       datagrams may be lost and the coordinator may be a new one */
    RESEND_INTERVAL = 500,
    /* ms added to the age of a rate limit in a message: more than it usually
       takes, or the limit would seem newer with each message */
    HOP_TIME = 15,
    /* ms in which an upstream with a rate limit is not asked for again after
       its coordinator did not answer */
    UNANSWERED_PAUSE = 200,
    /* ms, at most, by which the further asks of daemons are spread when a
       rate limit admitted none of them */
    DENIAL_SPREAD = 150,
    /* ms in which the coordinator itself does not use a brittle upstream that
       has no room */
    FULL_PAUSE = 5
};

/* a rate limit in a message counts in this part of a request a second */
static const double limit_unit = 1000;

/* for rendezvous hashing: of the daemons in the upstream's failure domain, or
   of all if there are none, the one with the highest weight is the
   coordinator */
static uint64_t
compute_weight(const BkUp *up, uint32_t daemon_key)
{
    return XXH64(&up->key, sizeof(up->key), daemon_key);
}

/* NULL: this daemon is the coordinator */
static FrPeer *
find_coordinator(const FrFront *front, const BkUp *up, BkMs now)
{
    const FrPeers *peers = front->peers;
    uint32_t domain = BkStr_NameHash(BkStr_FromC(up->domain));
    FrPeer *best = NULL;
    bool best_near = peers->roster.own_domain == domain;
    uint64_t best_weight =
        compute_weight(up, BkStr_NameHash(BkStr_FromC(front->conf.name)));

    for (int i = 0; i < peers->count; i++) {
        FrPeer *peer = peers->list[i];
        bool near = peer->seen.domain == domain;
        if ((best_near && !near) || peer->seen.key == 0 ||
            peer->seen.stopping || now < peer->skip_until ||
            !FrPeers_IsAlive(peers, peer, now)) {
            continue;
        }
        uint64_t weight = compute_weight(up, peer->seen.key);
        if ((near && !best_near) || weight > best_weight) {
            best_weight = weight;
            best_near = near;
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
send_load_changes(void *arg)
{
    FrAdmission *admission = arg;
    FrFront *front = admission->front;
    BkMs now = BkClock_Now();

    for (int i = 0; i < front->fleet.count; i++) {
        BkUp *up = front->fleet.ups[i];
        if (!up->load_unsent) {
            continue;
        }
        up->load_unsent = false;
        const FrPeer *coordinator = find_coordinator(front, up, now);
        if (coordinator == NULL) {
            FrLoads_NoteCoordination(up, now);
        }
        else {
            bkp_load_update message = {front->conf.name, own_load(up)};
            FrPeers_Send(front->peers, coordinator, BKP_LOAD_UPDATE, &message);
        }
    }
}

void
FrAdmission_NoteLoadChange(FrAdmission *admission, BkUp *up)
{
    up->load_unsent = true;
    if (!BkTimer_Running(admission->load_timer)) {
        BkTimer_Start(admission->load_timer, LOAD_DELAY);
    }
}

void
FrAdmission_ResendLoads(FrAdmission *admission, BkMs now)
{
    FrFront *front = admission->front;

    if (now - admission->resent_at < RESEND_INTERVAL) {
        return;
    }
    admission->resent_at = now;
    for (int i = 0; i < front->fleet.count; i++) {
        if (front->fleet.ups[i]->own_running > 0) {
            FrAdmission_NoteLoadChange(admission, front->fleet.ups[i]);
        }
    }
}

static bkp_limit
known_limit(const BkUp *up, BkMs now)
{
    const BkThrottle *throttle = &up->throttle;
    double rate = throttle->limit * limit_unit;
    BkMs age = now - throttle->limit_seen_at + HOP_TIME;

    return (bkp_limit){!BkThrottle_IsLimited(throttle) ? -1
                       : rate < INT32_MAX              ? (int)rate
                                                       : INT32_MAX,
                       age < UINT32_MAX ? (u_int)age : UINT32_MAX};
}

static void
note_limit(BkUp *up, const bkp_limit *limit, BkMs now)
{
    double rate = limit->rate < 0 ? -1 : (double)limit->rate / limit_unit;

    FrSignals_NoteRateLimit(up, rate, now - (BkMs)limit->age, "another daemon",
                            now);
}

/* Requests in progress there, of all daemons. */
static int
count_running(const BkUp *up)
{
    return up->own_running + up->peer_running;
}

/* As the upstream's coordinator: the daemons that ask again do so one after
   another. */
static BkMs
spread_delay(FrFront *front, const BkAdmitAnswer *answer)
{
    return answer->result != BK_ADMIT_LIMITED
               ? 0
               : answer->delay + (BkMs)BkRng_Below(&front->rng, DENIAL_SPREAD);
}

/* This daemon is the coordinator, and its count of the load allowed the
   upstream to be chosen. */
static FrAskResult
decide_own(FrFront *front, const FrRequest *request, BkMs now)
{
    BkUp *up = request->up;
    BkAdmitAsk ask = {.own = true,
                      .brittle = FrSignals_IsBrittle(front, up->service_key),
                      .running = count_running(up),
                      .slots = up->slots};

    FrLoads_NoteCoordination(up, now);
    BkAdmitAnswer answer = BkAdmit_Decide(&ask, &up->room, &up->throttle, now);
    FrAdmissionInputs_Decided(front, up, &ask, &answer,
                              request->query.prompt_tokens, NULL, request->id,
                              now);
    switch (answer.result) {
    case BK_ADMIT_GRANTED:
        return FR_ASK_GRANTED;
    case BK_ADMIT_NO_ROOM:
        up->full_until = now + FULL_PAUSE;
        return FR_ASK_DENIED;
    case BK_ADMIT_LIMITED:
        up->throttled_until = now + spread_delay(front, &answer);
        return FR_ASK_DENIED;
    }
    return FR_ASK_DENIED;
}

FrAskResult
FrAdmission_Ask(FrAdmission *admission, FrRequest *request, BkMs now)
{
    FrFront *front = admission->front;
    FrPeer *coordinator = find_coordinator(front, request->up, now);

    if (coordinator == NULL) {
        return decide_own(front, request, now);
    }
    bkp_ask ask = {front->conf.name, ++admission->last_ask_number,
                   (u_int)request->query.prompt_tokens, own_load(request->up),
                   known_limit(request->up, now)};
    request->ask_number = admission->last_ask_number;
    request->asked_at = now;
    request->coordinator = coordinator;
    request->ask_prev = NULL;
    request->ask_next = admission->pending;
    if (admission->pending != NULL) {
        admission->pending->ask_prev = request;
    }
    admission->pending = request;
    BkCounter_Add(admission->asks, 1);
    FrPeers_Send(front->peers, coordinator, BKP_ASK, &ask);
    if (!BkTimer_Running(admission->timeout_timer)) {
        BkTimer_Start(admission->timeout_timer, ASK_TIMEOUT);
    }
    return FR_ASK_SENT;
}

void
FrAdmission_Cancel(FrAdmission *admission, FrRequest *request)
{
    if (request->ask_number == 0) {
        return;
    }
    request->ask_number = 0;
    if (request->ask_prev != NULL) {
        request->ask_prev->ask_next = request->ask_next;
    }
    else {
        admission->pending = request->ask_next;
    }
    if (request->ask_next != NULL) {
        request->ask_next->ask_prev = request->ask_prev;
    }
}

void
FrAdmission_HandleAsk(FrAdmission *admission, const bkp_ask *ask, BkMs now)
{
    FrFront *front = admission->front;
    FrPeer *peer = FrPeers_Find(front->peers, BkStr_FromC(ask->name));
    BkUp *up = BkFleet_FindByKey(&front->fleet, ask->load.up);
    bkp_grant grant = {.number = ask->number, .granted = 1};
    bkp_load load_before = ask->load; /* without the request */

    if (peer == NULL || up == NULL || load_before.running == 0 ||
        load_before.prompt_tokens < ask->prompt_tokens) {
        return; /* without an answer, the request is sent after a timeout */
    }
    load_before.running--;
    load_before.prompt_tokens -= ask->prompt_tokens;
    FrLoads_SetOne(front, peer, &load_before, now);
    grant.others = (bkp_load){
        up->key,
        (u_int)(up->own_running + up->peer_running) - load_before.running,
        (u_int)(up->own_prompt_tokens + up->peer_prompt_tokens) -
            load_before.prompt_tokens};
    note_limit(up, &ask->limit, now);
    BkAdmitAsk admit = {.brittle = FrSignals_IsBrittle(front, up->service_key),
                        .full =
                            FrRequest_IsUpFull(front, up, ask->prompt_tokens),
                        .running = count_running(up),
                        .slots = up->slots};
    BkAdmitAnswer answer =
        BkAdmit_Decide(&admit, &up->room, &up->throttle, now);
    FrAdmissionInputs_Decided(front, up, &admit, &answer, ask->prompt_tokens,
                              peer->name, NULL, now);
    grant.granted = answer.result == BK_ADMIT_GRANTED;
    grant.delay = (u_int)spread_delay(front, &answer);
    if (grant.granted) {
        FrLoads_SetOne(front, peer, &ask->load, now);
    }
    grant.limit = known_limit(up, now);
    FrPeers_Send(front->peers, peer, BKP_GRANT, &grant);
}

void
FrAdmission_HandleGrant(FrAdmission *admission, const bkp_grant *grant,
                        BkMs now)
{
    FrRequest *request = admission->pending;

    while (request != NULL && request->ask_number != grant->number) {
        request = request->ask_next;
    }
    if (request == NULL) {
        return; /* too late, or the request no longer waits for it */
    }
    request->coordinator->unanswered_asks = 0;
    if (request->up->key == grant->others.up) {
        FrLoads_SetOthers(request->up, &grant->others, now);
        note_limit(request->up, &grant->limit, now);
    }
    FrAdmission_Cancel(admission, request);
    if (!grant->granted) {
        BkCounter_Add(
            grant->delay > 0 ? admission->throttled : admission->denied, 1);
    }
    FrRequest_OnAskAnswer(request, grant->granted != 0, (BkMs)grant->delay,
                          now);
}

/* As the coordinator: the upstream refused a request that is still counted. */
static void
note_refusal(BkUp *up, BkMs now)
{
    int running = count_running(up) - 1;

    BkRoom_NoteRefusal(&up->room, running, up->slots, now);
    BkLog_Event(BK_LOG_INFO, "keeper", NULL, "room",
                "s:I, s:s, s:I, s:i, s:i, s:i", "now", (json_int_t)now,
                "upstream", up->id, "born", (json_int_t)up->started_at,
                "running", running, "slots", up->slots, "requests",
                BkRoom_Get(&up->room, up->slots, now));
}

void
FrAdmission_NoteRefusal(FrAdmission *admission, BkUp *up, BkMs now)
{
    FrFront *front = admission->front;
    const FrPeer *coordinator = find_coordinator(front, up, now);

    if (coordinator == NULL) {
        note_refusal(up, now);
        return;
    }
    bkp_refused message = {front->conf.name, own_load(up)};
    FrPeers_Send(front->peers, coordinator, BKP_REFUSED, &message);
}

void
FrAdmission_HandleRefused(FrAdmission *admission, const bkp_refused *message,
                          BkMs now)
{
    FrFront *front = admission->front;
    FrPeer *peer = FrPeers_Find(front->peers, BkStr_FromC(message->name));
    BkUp *up = BkFleet_FindByKey(&front->fleet, message->load.up);

    if (peer != NULL && up != NULL) {
        FrLoads_SetOne(front, peer, &message->load, now);
        note_refusal(up, now);
    }
}

void
FrAdmission_HandleLoad(FrAdmission *admission, const bkp_load_update *message,
                       BkMs now)
{
    FrFront *front = admission->front;
    FrPeer *peer = FrPeers_Find(front->peers, BkStr_FromC(message->name));

    if (peer != NULL) {
        FrLoads_SetOne(front, peer, &message->load, now);
        FrQueue_SchedulePass(front, 0);
    }
}

/* Asks that were under way when the last one was given up are unanswered for the
   same reason. */
static void
note_unanswered(FrAdmission *admission, FrPeer *peer, BkMs asked_at, BkMs now)
{
    BkCounter_Add(admission->unanswered, 1);
    if (peer->unanswered_asks > 0 && asked_at <= peer->unanswered_at) {
        return;
    }
    peer->unanswered_at = now;
    if (++peer->unanswered_asks >= MAX_UNANSWERED && now >= peer->skip_until) {
        peer->skip_until = now + SKIP_TIME;
        BkLog_Event(BK_LOG_NOTICE, "keeper", NULL, "no answer", "s:s, s:i",
                    "peer", peer->name, "asked", peer->unanswered_asks);
    }
}

static FrRequest *
find_oldest(const FrAdmission *admission)
{
    FrRequest *oldest = admission->pending;

    while (oldest != NULL && oldest->ask_next != NULL) {
        oldest = oldest->ask_next;
    }
    return oldest;
}

static void
expire_asks(void *arg)
{
    FrAdmission *admission = arg;
    BkMs now = BkClock_Now();
    FrRequest *request;

    while ((request = find_oldest(admission)) != NULL) {
        BkMs remaining = request->asked_at + ASK_TIMEOUT - now;
        if (remaining > 0) {
            BkTimer_Start(admission->timeout_timer, remaining);
            return;
        }
        note_unanswered(admission, request->coordinator, request->asked_at,
                        now);
        FrAdmission_Cancel(admission, request);
        bool brittle =
            FrSignals_IsBrittle(request->front, request->up->service_key);
        bool sent = BkAdmit_MaySendUnanswered(&request->up->throttle, brittle);
        FrAdmissionInputs_Unanswered(request, brittle, sent, now);
        FrRequest_OnAskAnswer(request, sent, sent ? 0 : UNANSWERED_PAUSE, now);
    }
}

FrAdmission *
FrAdmission_Create(FrFront *front)
{
    FrAdmission *admission = BkMem_New(1, sizeof(*admission));

    admission->front = front;
    admission->timeout_timer =
        BkTimer_Create(front->loop, expire_asks, admission);
    admission->load_timer =
        BkTimer_Create(front->loop, send_load_changes, admission);
    admission->asks = BkCounter_Get("bk_front_asks_total", NULL,
                                    "questions to keepers of engines");
    admission->denied = BkCounter_Get("bk_front_asks_denied_total", NULL,
                                      "of these, the engine was full");
    admission->throttled =
        BkCounter_Get("bk_front_asks_throttled_total", NULL,
                      "of these, the upstream's rate limit admitted none");
    admission->unanswered =
        BkCounter_Get("bk_front_asks_lost_total", NULL,
                      "of these, without an answer in time");
    return admission;
}

void
FrAdmission_Destroy(FrAdmission *admission)
{
    if (admission == NULL) {
        return;
    }
    BkTimer_Destroy(admission->timeout_timer);
    BkTimer_Destroy(admission->load_timer);
    free(admission);
}
