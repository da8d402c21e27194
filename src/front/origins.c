#include "origins.h"

#include <stdlib.h>

#include "bk/base/log.h"
#include "request.h"

enum {
    TELL_DELAY = 10,  /* ms; streams that begin within it are told together */
    ASK_TIMEOUT = 30, /* ms until an unanswered ask is sent again; several
                         round trips between failure domains */
    /* ms; Retry-After of a stream whose version is not known: later, another
       daemon may answer that does not now */
    UNKNOWN_RETRY_AFTER = 500
};

/* A stream that one of its homes is to be told of. */
typedef struct Telling {
    FrPeer *peer;
    bkp_origin row;
} Telling;

struct FrOrigins {
    FrFront *front;
    BkOrigins known;
    FrOriginAsk *asks;
    uint32_t last_number;
    BkTimer *ask_timer;
    Telling *tellings;
    int telling_count;
    int telling_cap;
    BkTimer *tell_timer;
    uint64_t stepped_generation; /* of the fleet, at the last step */
    int64_t dropped_logged;
    BkCounter *told;
    BkCounter *asked;
    BkCounter *refused;
};

/* what FrOrigins_Step looks for */
typedef struct StepArg {
    FrOrigins *origins;
    BkMs now;
} StepArg;

static BkOriginView
view_service(const FrOrigins *origins, uint32_t service, BkMs now)
{
    const FrFront *front = origins->front;
    BkOriginView view = BkFleet_ViewSoftware(&front->fleet, service,
                                             origins->known.memory, now);

    view.complete = view.complete || (FrFront_IsFirstStart(front) &&
                                      front->fleet.list_complete);
    return view;
}

/* Whether the service has had only one version for as long as a stream may
   last, as far as this daemon can tell by itself. */
static bool
is_uniform(const FrOrigins *origins, uint32_t service, BkMs now)
{
    BkOriginView view = view_service(origins, service, now);

    return view.versions == 1 && view.complete;
}

/* Lists the peers that may be told or asked, and returns how many. */
static int
choose_peers(const FrOrigins *origins, uint64_t stream, int near, int far,
             BkMs now, FrPeer **out)
{
    const FrPeers *peers = origins->front->peers;
    BkOriginPeer *list =
        BkMem_New((size_t)peers->count + 1, sizeof(BkOriginPeer));
    int *at = BkMem_New((size_t)peers->count + 1, sizeof(int));
    int chosen[BK_ORIGIN_MAX_ASKED];
    int count = 0;

    for (int i = 0; i < peers->count; i++) {
        const FrPeer *peer = peers->list[i];
        if (peer->seen.key != 0 && FrPeers_IsAlive(peers, peer, now)) {
            list[count] = (BkOriginPeer){peer->seen.key, peer->seen.domain};
            at[count++] = i;
        }
    }
    count = BkOrigin_ChooseHomes(list, count, peers->roster.own_domain, stream,
                                 near, far, chosen);
    for (int i = 0; i < count; i++) {
        out[i] = peers->list[at[chosen[i]]];
    }
    free(list);
    free(at);
    return count;
}

static void
log_dropped(FrOrigins *origins)
{
    if (origins->known.dropped > origins->dropped_logged) {
        BkLog_Event(
            BK_LOG_WARNING, "origin", NULL, "streams not remembered", "s:I",
            "count",
            (json_int_t)(origins->known.dropped - origins->dropped_logged));
        origins->dropped_logged = origins->known.dropped;
    }
}

static void
add_telling(FrOrigins *origins, FrPeer *peer, const BkOrigin *row)
{
    if (origins->telling_count == origins->telling_cap) {
        origins->telling_cap =
            origins->telling_cap == 0 ? 32 : origins->telling_cap * 2;
        origins->tellings =
            BkMem_Grow(origins->tellings, (size_t)origins->telling_cap,
                       sizeof(*origins->tellings));
    }
    origins->tellings[origins->telling_count++] =
        (Telling){peer, {row->stream, row->version, row->service}};
}

static void
tell_homes(FrOrigins *origins, const BkOrigin *row, BkMs now)
{
    FrPeer *homes[BK_ORIGIN_MAX_ASKED];
    int count = choose_peers(origins, row->stream, BK_ORIGIN_HOMES / 2,
                             BK_ORIGIN_HOMES / 2, now, homes);

    for (int i = 0; i < count; i++) {
        add_telling(origins, homes[i], row);
    }
    if (count > 0 && !BkTimer_Running(origins->tell_timer)) {
        BkTimer_Start(origins->tell_timer, TELL_DELAY);
    }
}

static int
compare_tellings(const void *a, const void *b)
{
    const Telling *left = a;
    const Telling *right = b;

    return left->peer->seen.key < right->peer->seen.key
               ? -1
               : left->peer->seen.key > right->peer->seen.key;
}

static void
send_tellings(void *arg)
{
    FrOrigins *origins = arg;
    bkp_origin rows[BKP_MAX_ORIGINS];
    const Telling *all = origins->tellings;

    qsort(origins->tellings, (size_t)origins->telling_count, sizeof(*all),
          compare_tellings);
    for (int i = 0; i < origins->telling_count;) {
        FrPeer *peer = all[i].peer;
        u_int n = 0;
        while (i < origins->telling_count && all[i].peer == peer &&
               n < BKP_MAX_ORIGINS) {
            rows[n++] = all[i++].row;
        }
        bkp_origins message = {{n, rows}};
        FrPeers_Send(origins->front->peers, peer, BKP_ORIGINS, &message);
    }
    BkCounter_Add(origins->told, origins->telling_count);
    origins->telling_count = 0;
}

void
FrOrigins_NoteBegin(FrOrigins *origins, FrRequest *request, BkMs now)
{
    BkStr id = BkStr_FromC(request->resumed_id[0] != '\0' ? request->resumed_id
                                                          : request->id);

    if (request->query.software == 0) {
        request->query.software = request->up->software_key;
    }
    BkOrigin row = {BkOrigin_Key(id), request->query.software,
                    request->query.service, true};
    if (BkOrigins_Find(&origins->known, row.stream) != NULL) {
        return;
    }
    if (!is_uniform(origins, row.service, now)) {
        row.untold = false;
        tell_homes(origins, &row, now);
    }
    BkOrigins_Note(&origins->known, &row, now);
    log_dropped(origins);
}

static bool
may_have_several(uint32_t service, void *arg)
{
    const StepArg *step = arg;

    return !is_uniform(step->origins, service, step->now);
}

static void
tell_late(const BkOrigin *row, void *arg)
{
    const StepArg *step = arg;

    tell_homes(step->origins, row, step->now);
}

void
FrOrigins_Step(FrOrigins *origins, BkMs now)
{
    StepArg step = {origins, now};

    if (origins->front->fleet.generation == origins->stepped_generation) {
        return;
    }
    origins->stepped_generation = origins->front->fleet.generation;
    BkOrigins_TakeUntold(&origins->known, may_have_several, tell_late, &step);
}

static void
remove_ask(FrOrigins *origins, FrOriginAsk *ask)
{
    if (ask->prev != NULL) {
        ask->prev->next = ask->next;
    }
    else {
        origins->asks = ask->next;
    }
    if (ask->next != NULL) {
        ask->next->prev = ask->prev;
    }
    ask->request->origin_ask = NULL;
    free(ask);
}

void
FrOrigins_Cancel(FrOrigins *origins, FrRequest *request)
{
    if (request->origin_ask != NULL) {
        remove_ask(origins, request->origin_ask);
    }
}

static void
go_on_at(FrRequest *request, uint32_t version)
{
    request->query.software = version;
    FrRequest_Dispatch(request);
}

static void
refuse(FrOrigins *origins, FrRequest *request,
       const BkOriginEvidence *evidence)
{
    BkCounter_Add(origins->refused, 1);
    BkLog_Event(BK_LOG_INFO, "origin", request->id, "version not known",
                "s:s, s:i, s:b, s:i, s:b", "resumed", request->resumed_id,
                "own_versions", evidence->own.versions, "own_complete",
                evidence->own.complete, "answers", evidence->answers,
                "several", evidence->several);
    FrRequest_GiveUp(request, "the version that began the stream is not known",
                     UNKNOWN_RETRY_AFTER);
}

/* Ends the ask if that can be decided; returns whether it did. */
static bool
finish_ask(FrOrigins *origins, FrOriginAsk *ask)
{
    FrRequest *request = ask->request;
    BkOriginEvidence evidence = ask->evidence;

    switch (BkOrigin_Decide(&evidence)) {
    case BK_ORIGIN_WAIT:
        return false;
    case BK_ORIGIN_GO_ON:
        remove_ask(origins, ask);
        go_on_at(request, evidence.own.version);
        break;
    case BK_ORIGIN_REFUSE:
        remove_ask(origins, ask);
        refuse(origins, request, &evidence);
        break;
    }
    return true;
}

static void
send_asks(FrOrigins *origins, FrOriginAsk *ask, BkMs now)
{
    FrFront *front = origins->front;
    FrPeer *peers[BK_ORIGIN_MAX_ASKED];
    uint64_t stream = BkOrigin_Key(BkStr_FromC(ask->request->resumed_id));

    ask->evidence.asked =
        choose_peers(origins, stream, BK_ORIGIN_MAX_ASKED / 2,
                     BK_ORIGIN_MAX_ASKED / 2, now, peers);
    for (int i = 0; i < ask->evidence.asked; i++) {
        bkp_origin_ask message = {front->conf.name, ask->number, (u_int)i,
                                  stream, ask->request->query.service};
        FrPeers_Send(front->peers, peers[i], BKP_ORIGIN_ASK, &message);
    }
    if (!BkTimer_Running(origins->ask_timer)) {
        BkTimer_Start(origins->ask_timer, ASK_TIMEOUT);
    }
}

void
FrOrigins_Resolve(FrOrigins *origins, FrRequest *request, BkMs now)
{
    FrFront *front = origins->front;
    uint32_t service = request->query.service;
    const BkOrigin *row = BkOrigins_Find(
        &origins->known, BkOrigin_Key(BkStr_FromC(request->resumed_id)));
    BkOriginView view = view_service(origins, service, now);

    if (row != NULL) {
        go_on_at(request, row->version);
        return;
    }
    if (view.versions == 1 && view.version == BkStr_NameHash(BK_STR(""))) {
        /* its upstreams name no version, and those that left are not likely
           to have named one */
        view.complete = true;
    }
    FrOriginAsk *ask = BkMem_New(1, sizeof(*ask));
    *ask = (FrOriginAsk){
        .request = request,
        .number = ++origins->last_number,
        .evidence = {.own = view, .has_peers = front->peers->count > 0},
        .next = origins->asks};
    if (origins->asks != NULL) {
        origins->asks->prev = ask;
    }
    origins->asks = ask;
    request->origin_ask = ask;
    BkCounter_Add(origins->asked, 1);
    send_asks(origins, ask, now);
    finish_ask(origins, ask); /* if there is nobody to ask */
}

static void
on_ask_timeout(void *arg)
{
    FrOrigins *origins = arg;
    BkMs now = BkClock_Now();
    FrOriginAsk *next;

    /* an ask that was sent less than ASK_TIMEOUT ago is sent again early */
    for (FrOriginAsk *ask = origins->asks; ask != NULL; ask = next) {
        next = ask->next;
        ask->evidence.timeouts++;
        if (!finish_ask(origins, ask)) {
            send_asks(origins, ask, now);
        }
    }
    if (origins->asks != NULL && !BkTimer_Running(origins->ask_timer)) {
        BkTimer_Start(origins->ask_timer, ASK_TIMEOUT);
    }
}

void
FrOrigins_HandleTold(FrOrigins *origins, const bkp_origins *message, BkMs now)
{
    for (u_int i = 0; i < message->rows.rows_len; i++) {
        const bkp_origin *told = &message->rows.rows_val[i];
        BkOrigin row = {told->stream, told->software, told->service, false};
        BkOrigins_Note(&origins->known, &row, now);
    }
    log_dropped(origins);
}

void
FrOrigins_HandleAsk(FrOrigins *origins, const bkp_origin_ask *ask, BkMs now)
{
    FrPeers *peers = origins->front->peers;
    const FrPeer *peer = FrPeers_Find(peers, BkStr_FromC(ask->name));
    const BkOrigin *row = BkOrigins_Find(&origins->known, ask->stream);
    bkp_origin_answer answer = {.number = ask->number, .place = ask->place};

    if (peer == NULL) {
        return; /* its address is not known yet; it asks others too */
    }
    if (row != NULL) {
        answer.kind = BKP_ORIGIN_KNOWN;
        answer.software = row->version;
    }
    else {
        BkOriginView view = view_service(origins, ask->service, now);
        answer.kind = BKP_ORIGIN_UNKNOWN;
        answer.versions = (u_int)view.versions;
        answer.software = view.version;
        answer.complete = view.complete;
    }
    FrPeers_Send(peers, peer, BKP_ORIGIN_ANSWER, &answer);
}

void
FrOrigins_HandleAnswer(FrOrigins *origins, const bkp_origin_answer *answer,
                       BkMs now)
{
    FrOriginAsk *ask = origins->asks;
    uint32_t bit =
        answer->place < BK_ORIGIN_MAX_ASKED ? 1U << answer->place : 0;

    while (ask != NULL && ask->number != answer->number) {
        ask = ask->next;
    }
    if (ask == NULL || bit == 0) {
        return; /* too late, or the request no longer waits for it */
    }
    if (answer->kind == BKP_ORIGIN_KNOWN) {
        FrRequest *request = ask->request;
        remove_ask(origins, ask);
        go_on_at(request, answer->software);
        return;
    }
    if ((ask->answered & bit) == 0) {
        BkOriginView view = {(int)answer->versions, answer->software,
                             answer->complete != 0};
        BkOrigin_AddView(&ask->evidence, &view);
    }
    ask->answered |= bit;
    finish_ask(origins, ask);
}

FrOrigins *
FrOrigins_Create(FrFront *front)
{
    FrOrigins *origins = BkMem_New(1, sizeof(*origins));

    origins->front = front;
    origins->known = BkOrigins_Make(front->conf.stream_memory, BkClock_Now());
    origins->ask_timer = BkTimer_Create(front->loop, on_ask_timeout, origins);
    origins->tell_timer = BkTimer_Create(front->loop, send_tellings, origins);
    origins->told = BkCounter_Get("bk_front_origins_told_total", NULL,
                                  "streams that another daemon was told of");
    origins->asked =
        BkCounter_Get("bk_front_origins_asked_total", NULL,
                      "streams taken up here that others were asked for");
    origins->refused =
        BkCounter_Get("bk_front_origins_refused_total", NULL,
                      "of these, refused: nobody knew the version");
    return origins;
}

void
FrOrigins_Destroy(FrOrigins *origins)
{
    if (origins == NULL) {
        return;
    }
    while (origins->asks != NULL) {
        remove_ask(origins, origins->asks);
    }
    BkTimer_Destroy(origins->ask_timer);
    BkTimer_Destroy(origins->tell_timer);
    BkOrigins_Destroy(&origins->known);
    free(origins->tellings);
    free(origins);
}
