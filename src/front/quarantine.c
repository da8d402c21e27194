#include "quarantine.h"

#include <stdlib.h>

#include "bk/base/log.h"
#include "quarantine_inputs.h"
#include "request.h"

enum {
    /* ms from its start, in which a daemon tries no request: daemons that start
       together have to learn of each other and of the upstreams first */
    START_TIME = 4000,
    SHARE_INTERVAL = 250, /* ms between checks of what verdicts refuse */
    MIN_RETRY_AFTER = 500 /* ms */
};

static const char refusal_reason[] = "such requests crash upstreams";

static void
refuse(FrQuarantine *quarantine, FrRequest *request, BkVerdict *verdict,
       BkMs now)
{
    BkMs retry_after = BkVerdicts_Until(&quarantine->verdicts, verdict) - now;

    verdict->refused++;
    BkCounter_Add(quarantine->refused, 1);
    FrRequest_GiveUp(request, refusal_reason,
                     retry_after < MIN_RETRY_AFTER ? MIN_RETRY_AFTER
                                                   : retry_after);
}

/* Lists the requests, since after the end of one its caller may begin another.
   Those that end stay allocated until the reap timer runs. */
static FrRequest **
list_requests(const FrFront *front, int *count)
{
    FrRequest **list =
        BkMem_New((size_t)front->request_count + 1, sizeof(FrRequest *));

    *count = 0;
    for (FrRequest *request = front->requests; request != NULL;
         request = request->next) {
        list[(*count)++] = request;
    }
    return list;
}

/* Whether the request was sent as a trial, and runs, though another daemon may
   have claimed the next one. */
static bool
is_trial_under_way(const FrRequest *request)
{
    return request->trial_noted && request->conn != NULL;
}

/* Ends the requests that a new verdict bars, also those that were sent and
   have got no response yet: an upstream may drop such a request before it
   crashes of it. */
static void
refuse_barred(FrQuarantine *quarantine, BkVerdict *verdict, BkMs now)
{
    int count;
    FrRequest **list = list_requests(quarantine->front, &count);

    for (int i = 0; i < count; i++) {
        FrRequest *request = list[i];
        if (request->stage != FR_ENDED && request->output_at == 0 &&
            !is_trial_under_way(request) &&
            !FrQuarantine_IsTrial(quarantine, request, verdict) &&
            FrQuarantine_HasTrait(request, &verdict->trait)) {
            refuse(quarantine, request, verdict, now);
        }
    }
    free(list);
}

/* Dispatches the requests that wait for a decision. */
static void
dispatch_held(FrQuarantine *quarantine)
{
    int count;
    FrRequest **list = list_requests(quarantine->front, &count);

    for (int i = 0; i < count; i++) {
        FrRequest *request = list[i];
        if (request->held && request->stage != FR_ENDED) {
            request->held = false;
            FrRequest_Dispatch(request);
        }
    }
    free(list);
}

/* Starts the timer for the next decision, or the end of a claim's wait. */
static void
arm_timer(FrQuarantine *quarantine, BkMs now)
{
    BkMs next = BkTally_NextDecision(&quarantine->tally);
    BkMs next_trial = BkTrials_NextDecision(&quarantine->trial_ends);

    if (next == 0 || (next_trial != 0 && next_trial < next)) {
        next = next_trial;
    }
    for (const FrRequest *request = quarantine->front->requests;
         request != NULL; request = request->next) {
        if (request->held && request->trial_at > now &&
            (next == 0 || request->trial_at < next)) {
            next = request->trial_at;
        }
    }
    if (next != 0) {
        BkTimer_Start(quarantine->timer, next > now ? next - now : 0);
    }
}

/* Lifts a verdict, at all daemons. cause: for the log. */
static void
lift(FrQuarantine *quarantine, const BkTrait *trait, const char *event,
     const char *cause, BkMs now)
{
    const BkVerdict *verdict =
        BkVerdicts_Lift(&quarantine->verdicts, trait, now);

    BkCounter_Add(quarantine->lifted, 1);
    BkCounter_Set(quarantine->active, quarantine->verdicts.active);
    FrQuarantineLog_Verdict(quarantine, verdict, event, cause, now);
    FrQuarantine_SpreadVerdict(quarantine, verdict, now);
    FrQuarantineRows_Write(quarantine, trait);
}

/* Lifts the service's verdicts that no trial has confirmed. */
static void
withdraw(FrQuarantine *quarantine, uint32_t service, BkMs now)
{
    BkVerdicts *verdicts = &quarantine->verdicts;

    for (int i = 0; i < verdicts->count; i++) {
        BkTrait trait = verdicts->rows[i].trait;
        if (trait.service == service &&
            BkVerdict_IsOnProbation(&verdicts->rows[i])) {
            lift(quarantine, &trait, "verdict withdrawn",
                 "most requests of the service are suspected", now);
        }
    }
    BkTally_Forget(&quarantine->tally, service);
}

/* Returns whether the trait gets no verdict, since nearly all requests have it. A
   verdict that no trial has confirmed is withdrawn. */
static bool
withhold_universal(FrQuarantine *quarantine, const BkTrait *trait, BkMs now)
{
    const BkVerdict *verdict = BkVerdicts_Find(&quarantine->verdicts, trait);

    if (!BkShare_IsUniversal(&quarantine->share, trait, now)) {
        return false;
    }
    if (verdict != NULL && BkVerdict_IsOnProbation(verdict)) {
        lift(quarantine, trait, "verdict withdrawn",
             "nearly all requests of the service have the trait", now);
    }
    return true;
}

/* Returns whether the trait gets no verdict, since verdicts would refuse too
   much of its service, or did so lately; then those that the service has are
   withdrawn. */
static bool
withhold_verdict(FrQuarantine *quarantine, const BkTrait *trait, BkMs now)
{
    BkShare *share = &quarantine->share;

    if (withhold_universal(quarantine, trait, now)) {
        return true;
    }
    if (BkShare_IsExceeded(share, &quarantine->verdicts, trait, now)) {
        BkShare_BeginExemption(share, trait->service, now);
        FrQuarantineLog_Withheld(trait->service);
        FrQuarantineLog_Dropped(quarantine);
    }
    if (!BkShare_IsExempt(share, trait->service, now)) {
        return false;
    }
    withdraw(quarantine, trait->service, now);
    return true;
}

/* Returns whether a verdict of the service is one on a trait that nearly all
   requests have. */
static bool
withhold_universals(FrQuarantine *quarantine, uint32_t service, BkMs now)
{
    const BkVerdicts *verdicts = &quarantine->verdicts;
    bool found = false;

    for (int i = 0; i < verdicts->count; i++) {
        BkTrait trait = verdicts->rows[i].trait;
        if (trait.service == service &&
            BkVerdict_IsOnProbation(&verdicts->rows[i]) &&
            withhold_universal(quarantine, &trait, now)) {
            found = true;
        }
    }
    return found;
}

/* Withdraws verdicts that prove to refuse too much of a service. When they were
   passed, or read from the store, this daemon may have known few requests. A
   few verdicts are left to their trials: the first requests may all have the
   same trait. */
static void
check_shares(FrQuarantine *quarantine, BkMs now)
{
    const BkVerdicts *verdicts = &quarantine->verdicts;

    if (now < quarantine->next_share_check_at) {
        return;
    }
    quarantine->next_share_check_at = now + SHARE_INTERVAL;
    FrQuarantineInputs_Shares(quarantine, now);
    for (int i = 0; i < verdicts->count; i++) {
        BkTrait trait = verdicts->rows[i].trait;
        if (BkShare_IsFirstOfMany(verdicts, i) &&
            (withhold_universals(quarantine, trait.service, now) ||
             withhold_verdict(quarantine, &trait, now))) {
            return; /* the other services' turn comes at the next check */
        }
    }
}

static void
convict(FrQuarantine *quarantine, const BkTallyRow *row, BkMs now)
{
    if (withhold_verdict(quarantine, &row->trait, now)) {
        FrQuarantineLog_Evidence(quarantine->front, row, now);
        return;
    }
    bool weak =
        row->weak || BkShare_IsCommon(&quarantine->share, &row->trait, now);
    const BkVerdict *verdict =
        BkVerdicts_Convict(&quarantine->verdicts, &row->trait,
                           row->crashes[0].sent_at, weak, now);

    FrQuarantineLog_Dropped(quarantine);
    if (verdict == NULL) {
        return; /* another daemon was faster */
    }
    BkCounter_Add(quarantine->convicted, 1);
    BkCounter_Set(quarantine->active, quarantine->verdicts.active);
    FrQuarantineLog_Evidence(quarantine->front, row, now);
    FrQuarantineLog_Verdict(quarantine, verdict, "verdict", "own tally", now);
    if (row->own) {
        FrQuarantine_SpreadVerdict(quarantine, verdict, now);
        FrQuarantineRows_Write(quarantine, &row->trait);
    }
    refuse_barred(quarantine,
                  BkVerdicts_Find(&quarantine->verdicts, &row->trait), now);
}

static void
on_timer(void *arg)
{
    FrQuarantine *quarantine = arg;
    BkMs now = BkClock_Now();
    BkTallyRow row;

    FrQuarantineInputs_Due(quarantine, now);
    FrQuarantine_JudgeTrials(quarantine, now);
    while (BkTally_TakeConvicted(&quarantine->tally, now, &row)) {
        convict(quarantine, &row, now);
    }
    dispatch_held(quarantine);
    arm_timer(quarantine, now);
}

void
FrQuarantine_Hold(FrQuarantine *quarantine, FrRequest *request, BkMs now)
{
    FrQueue_Remove(request);
    request->held = true;
    BkLog_Event(BK_LOG_DEBUG, "quarantine", request->id, "request held", "s:i",
                "sends", request->send_count);
    arm_timer(quarantine, now);
}

/* Decides for one trait; HELD is left to the caller to carry out. */
static FrQuarantineState
check_trait(FrQuarantine *quarantine, FrRequest *request, const BkTrait *trait,
            BkMs now)
{
    BkVerdict *verdict = BkVerdicts_Find(&quarantine->verdicts, trait);

    switch (BkVerdicts_Check(&quarantine->verdicts, trait, now)) {
    case BK_VERDICT_NONE:
        return BkTally_IsHeld(&quarantine->tally, trait, now)
                   ? FR_QUARANTINE_HELD
                   : FR_QUARANTINE_FREE;
    case BK_VERDICT_TRIAL_DUE:
        if (request->run_count > 0 || /* it ran before the verdict */
            now - quarantine->front->started_at < START_TIME) {
            break;
        }
        return FR_QUARANTINE_TRIAL;
    case BK_VERDICT_BARRED:
        if (!FrQuarantine_IsTrial(quarantine, request, verdict) ||
            request->run_count > 0) {
            break;
        }
        if (now < request->trial_at) {
            return FR_QUARANTINE_HELD;
        }
        FrQuarantine_NoteTrial(quarantine, request, verdict, now);
        return FR_QUARANTINE_FREE;
    }
    refuse(quarantine, request, verdict, now);
    return FR_QUARANTINE_REFUSED;
}

FrQuarantineState
FrQuarantine_Check(FrQuarantine *quarantine, FrRequest *request, BkMs now)
{
    BkTrait traits[FR_MAX_TRAITS];
    FrQuarantineState state = FR_QUARANTINE_FREE;

    if (quarantine->verdicts.active == 0 && quarantine->tally.count == 0) {
        return FR_QUARANTINE_FREE;
    }
    int count = FrQuarantine_ListTraits(request, traits);
    for (int i = 0; i < count; i++) {
        FrQuarantineState of_trait =
            check_trait(quarantine, request, &traits[i], now);
        if (of_trait == FR_QUARANTINE_REFUSED) {
            return FR_QUARANTINE_REFUSED;
        }
        state = of_trait > state ? of_trait : state;
    }
    if (state == FR_QUARANTINE_HELD) {
        FrQuarantine_Hold(quarantine, request, now);
    }
    return state;
}

/* The request has shown that its upstream does not crash of it. */
static void
lift_after_run(FrQuarantine *quarantine, const FrRequest *request,
               const BkTrait *trait, BkMs now)
{
    const BkVerdict *verdict = BkVerdicts_Find(&quarantine->verdicts, trait);

    if (verdict != NULL && !verdict->lifted &&
        request->sent_at > verdict->evidence_since) {
        lift(quarantine, trait, "verdict lifted", request->id, now);
    }
}

void
FrQuarantine_NoteWell(FrQuarantine *quarantine, FrRequest *request, BkMs now)
{
    BkTrait traits[FR_MAX_TRAITS];
    int count = FrQuarantine_ListTraits(request, traits);

    FrQuarantineInputs_Traits("ran well", traits, count, request->sent_at,
                              now);
    for (int i = 0; i < count; i++) {
        BkWell_Note(&quarantine->well, &traits[i], request->sent_at);
        if (BkTally_IsContradicted(&quarantine->tally, &traits[i],
                                   request->sent_at)) {
            FrQuarantine_Object(quarantine, &traits[i], request->sent_at);
        }
        lift_after_run(quarantine, request, &traits[i], now);
    }
}

void
FrQuarantine_NoteAnswered(FrQuarantine *quarantine, const FrRequest *request,
                          BkMs now)
{
    BkTrait traits[FR_MAX_TRAITS];

    if (!request->trial_noted) {
        return;
    }
    int count = FrQuarantine_ListTraits(request, traits);
    FrQuarantineInputs_Traits("trial answered", traits, count,
                              request->sent_at, now);
    for (int i = 0; i < count; i++) {
        lift_after_run(quarantine, request, &traits[i], now);
    }
}

/* Whether one of the suspects of a crash is barred, which explains it. */
static bool
is_explained(FrQuarantine *quarantine, const BkSuspect *suspects, int count,
             BkMs now)
{
    for (int i = 0; i < count; i++) {
        if (BkVerdicts_Check(&quarantine->verdicts, &suspects[i].trait, now) !=
            BK_VERDICT_NONE) {
            return true;
        }
    }
    return false;
}

static void
log_not_counted(int suspects, const char *why)
{
    BkLog_Event(BK_LOG_INFO, "quarantine", NULL, "crash not counted",
                "s:i, s:s", "suspects", suspects, "why", why);
}

void
FrQuarantine_CountCrash(FrQuarantine *quarantine, const BkCrash *crash,
                        const BkSuspect *suspects, int count, bool own,
                        BkMs now)
{
    FrQuarantineLog_Crash(quarantine->front, crash, suspects, count, own, now);
    if (own) {
        FrQuarantine_NoteTrialCrash(quarantine, crash, suspects, count, now);
        arm_timer(quarantine, now);
    }
    bool explained = is_explained(quarantine, suspects, count, now);
    if (count > 0) {
        BkTally_NoteEnd(&quarantine->tally, suspects[0].trait.service, crash,
                        explained);
    }
    if (explained) {
        return;
    }
    if (count > 0 &&
        BkShare_IsExempt(&quarantine->share, suspects[0].trait.service, now)) {
        log_not_counted(count, "verdicts on the service are withheld");
        return;
    }
    int universal = 0;
    for (int i = 0; i < count; i++) {
        const BkTrait *trait = &suspects[i].trait;
        if (BkShare_IsUniversal(&quarantine->share, trait, now)) {
            universal++;
            continue;
        }
        BkMs well_sent_at = BkWell_LastSent(&quarantine->well, trait);
        BkTally_NoteCrash(&quarantine->tally, crash, &suspects[i], own, now);
        if (BkTally_IsContradicted(&quarantine->tally, trait, well_sent_at)) {
            FrQuarantine_Object(quarantine, trait, well_sent_at);
        }
    }
    if (universal > 0) {
        log_not_counted(universal, "nearly all requests have the trait");
    }
    FrQuarantineLog_Dropped(quarantine);
    arm_timer(quarantine, now);
}

void
FrQuarantine_ApplyWell(FrQuarantine *quarantine, const BkTrait *trait,
                       BkMs sent_at)
{
    bool was_held = BkTally_IsHeld(&quarantine->tally, trait, BkClock_Now());

    FrQuarantineInputs_Traits("run told", trait, 1, sent_at, BkClock_Now());
    BkTally_NoteWell(&quarantine->tally, trait, sent_at);
    if (was_held) {
        dispatch_held(quarantine);
    }
}

void
FrQuarantine_ApplyVerdict(FrQuarantine *quarantine, const BkVerdict *told,
                          const char *source, BkMs now)
{
    FrQuarantineInputs_Verdict("verdict told", told, source, now);
    if (!BkVerdicts_Merge(&quarantine->verdicts, told, now)) {
        FrQuarantineLog_Dropped(quarantine);
        return;
    }
    BkVerdict *verdict = BkVerdicts_Find(&quarantine->verdicts, &told->trait);
    BkCounter_Set(quarantine->active, quarantine->verdicts.active);
    FrQuarantineLog_Verdict(quarantine, verdict,
                            verdict->lifted ? "verdict lifted" : "verdict",
                            source, now);
    if (!verdict->lifted && !withhold_verdict(quarantine, &told->trait, now)) {
        refuse_barred(quarantine, verdict, now);
    }
    dispatch_held(quarantine);
}

bool
FrQuarantine_LiftByOperator(FrQuarantine *quarantine, const BkTrait *trait,
                            const char *by, BkMs now)
{
    if (BkVerdicts_Check(&quarantine->verdicts, trait, now) ==
        BK_VERDICT_NONE) {
        return false;
    }
    FrQuarantineInputs_Traits("operator lifts", trait, 1, now, now);
    lift(quarantine, trait, "verdict lifted by an operator", by, now);
    dispatch_held(quarantine);
    return true;
}

/* Drops the verdicts that were kept long enough without a trial, and their rows
   in the store. */
static void
drop_expired_verdicts(FrQuarantine *quarantine, BkMs now)
{
    BkVerdict verdict;

    while (BkVerdicts_TakeExpired(&quarantine->verdicts, now, &verdict)) {
        if (verdict.lifted) {
            continue;
        }
        FrQuarantineLog_Verdict(quarantine, &verdict, "verdict forgotten",
                                "no trial was claimed", now);
        FrQuarantineRows_Remove(quarantine, &verdict.trait, now);
    }
}

void
FrQuarantine_Step(FrQuarantine *quarantine, BkMs now)
{
    BkTally_Expire(&quarantine->tally, now);
    drop_expired_verdicts(quarantine, now);
    check_shares(quarantine, now);
    BkCounter_Set(quarantine->active, quarantine->verdicts.active);
    FrQuarantineRows_Step(quarantine, now);
}

FrQuarantine *
FrQuarantine_Create(FrFront *front)
{
    FrQuarantine *quarantine = BkMem_New(1, sizeof(*quarantine));

    quarantine->front = front;
    quarantine->verdicts.first_term = front->conf.quarantine_term;
    quarantine->verdicts.short_term = front->conf.quarantine_probation;
    quarantine->well = BkWell_Make();
    quarantine->tally = BkTally_Make();
    quarantine->share = BkShare_Make();
    FrQuarantineInputs_Begin(quarantine, BkClock_Now());
    quarantine->timer = BkTimer_Create(front->loop, on_timer, quarantine);
    quarantine->objection_timer =
        BkTimer_Create(front->loop, FrQuarantine_SendObjections, quarantine);
    quarantine->crashes =
        BkCounter_Get("bk_front_upstream_crashes_total", NULL,
                      "processes of upstreams that ended under requests");
    quarantine->convicted =
        BkCounter_Get("bk_front_quarantine_verdicts_total", NULL,
                      "traits that this daemon found to crash upstreams");
    quarantine->lifted =
        BkCounter_Get("bk_front_quarantine_lifted_total", NULL,
                      "verdicts lifted by a run here that went well");
    quarantine->trials = BkCounter_Get("bk_front_quarantine_trials_total",
                                       NULL, "requests sent as trials");
    quarantine->refused =
        BkCounter_Get("bk_front_quarantine_refused_total", NULL,
                      "requests refused for a trait that crashes upstreams");
    quarantine->active = BkCounter_Get("bk_front_quarantine_active", NULL,
                                       "traits whose requests are refused");
    return quarantine;
}

void
FrQuarantine_Destroy(FrQuarantine *quarantine)
{
    if (quarantine == NULL) {
        return;
    }
    FrBreaks_Destroy(quarantine);
    BkTimer_Destroy(quarantine->timer);
    BkTimer_Destroy(quarantine->objection_timer);
    BkWell_Destroy(&quarantine->well);
    BkTally_Destroy(&quarantine->tally);
    BkShare_Destroy(&quarantine->share);
    BkBuf_Destroy(&quarantine->next_key);
    free(quarantine);
}
