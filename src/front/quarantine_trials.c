#include "quarantine.h"
#include "quarantine_inputs.h"
#include "request.h"

enum {
    /* ms between the claim of a trial and its request: several round trips, in
       which another daemon's claim may come */
    CLAIM_WAIT = 60,
    /* ms until the next trial if no upstream answered this one */
    NO_ANSWER_PAUSE = 250,
    /* ms until the next trial if this one broke off, and what ended it is not
       known: longer than a silent upstream's end is noticed */
    BROKEN_TRIAL_PAUSE = 8000
};

static uint32_t
get_own_key(const FrQuarantine *quarantine)
{
    return BkStr_NameHash(BkStr_FromC(quarantine->front->conf.name));
}

bool
FrQuarantine_IsTrial(const FrQuarantine *quarantine, const FrRequest *request,
                     const BkVerdict *verdict)
{
    return request->trial_claimed_at != 0 &&
           request->trial_claimed_at == verdict->claimed_at &&
           verdict->claimant == get_own_key(quarantine);
}

/* Claims the trial of the verdict on one of the request's traits. */
static void
claim(FrQuarantine *quarantine, const FrRequest *request, const BkTrait *trait,
      BkMs now)
{
    const BkVerdict *verdict = BkVerdicts_Claim(&quarantine->verdicts, trait,
                                                get_own_key(quarantine), now);

    FrQuarantineInputs_Verdict("claimed", verdict, request->id, now);
    FrQuarantineLog_Verdict(quarantine, verdict, "trial claimed", request->id,
                            now);
    FrQuarantine_SpreadVerdict(quarantine, verdict, now);
    FrQuarantineRows_Write(quarantine, trait);
}

void
FrQuarantine_ClaimTrial(FrQuarantine *quarantine, FrRequest *request, BkMs now)
{
    BkTrait traits[FR_MAX_TRAITS];
    int count = FrQuarantine_ListTraits(request, traits);

    for (int i = 0; i < count; i++) {
        if (BkVerdicts_Check(&quarantine->verdicts, &traits[i], now) ==
            BK_VERDICT_TRIAL_DUE) {
            claim(quarantine, request, &traits[i], now);
        }
    }
    request->trial_claimed_at = now;
    request->trial_at = now + CLAIM_WAIT;
    FrQuarantine_Hold(quarantine, request, now);
}

/* It is dispatched again if its upstream does not take it. */
void
FrQuarantine_NoteTrial(FrQuarantine *quarantine, FrRequest *request,
                       const BkVerdict *verdict, BkMs now)
{
    if (!request->trial_noted) {
        request->trial_noted = true;
        BkCounter_Add(quarantine->trials, 1);
        FrQuarantineLog_Verdict(quarantine, verdict, "trial", request->id,
                                now);
    }
}

/* The trial that was claimed at claimed_at has shown nothing; the next one is
   due after the pause. cause: for the log. */
static void
end_trial(FrQuarantine *quarantine, const BkTrait *trait, BkMs claimed_at,
          BkMs pause, const char *cause, BkMs now)
{
    const BkVerdict *verdict =
        BkVerdicts_EndTrial(&quarantine->verdicts, trait,
                            get_own_key(quarantine), claimed_at, pause, now);

    if (verdict == NULL) {
        return;
    }
    FrQuarantineInputs_Verdict("trial ended", verdict, cause, now);
    FrQuarantineLog_Verdict(quarantine, verdict, "trial showed nothing", cause,
                            now);
    FrQuarantine_SpreadVerdict(quarantine, verdict, now);
    FrQuarantineRows_Write(quarantine, trait);
}

void
FrQuarantine_EndTrial(FrQuarantine *quarantine, const FrRequest *request,
                      BkMs now)
{
    BkTrait traits[FR_MAX_TRAITS];
    /* another daemon may have refused it, and its refusal been passed on */
    bool answered = request->response_begun &&
                    !FrRequest_PromisesNotRun(request->response_code);
    BkMs pause = request->broke_off ? BROKEN_TRIAL_PAUSE
                 : answered         ? quarantine->verdicts.short_term
                                    : NO_ANSWER_PAUSE;

    if (request->trial_claimed_at == 0) {
        return;
    }
    int count = FrQuarantine_ListTraits(request, traits);
    for (int i = 0; i < count; i++) {
        end_trial(quarantine, &traits[i], request->trial_claimed_at, pause,
                  request->id, now);
    }
}

void
FrQuarantine_NoteTrialCrash(FrQuarantine *quarantine, const BkCrash *crash,
                            const BkSuspect *suspects, int count, BkMs now)
{
    for (int i = 0; i < count; i++) {
        BkTrials_NoteCrash(&quarantine->trial_ends, &quarantine->verdicts,
                           crash, &suspects[i], get_own_key(quarantine), now);
    }
}

static void
judge(FrQuarantine *quarantine, const BkTrial *trial, bool shows, BkMs now)
{
    const BkTrait *trait = &trial->trait;
    const BkVerdict *verdict;

    if (!shows &&
        BkVerdicts_IsTrial(&quarantine->verdicts, trait,
                           get_own_key(quarantine), trial->sent_at)) {
        verdict = BkVerdicts_Find(&quarantine->verdicts, trait);
        end_trial(quarantine, trait, verdict->claimed_at,
                  quarantine->verdicts.short_term,
                  "others ended with its upstream", now);
    }
    if (!shows) {
        return;
    }
    verdict = BkVerdicts_Confirm(&quarantine->verdicts, trait,
                                 get_own_key(quarantine), trial->sent_at, now);
    if (verdict != NULL) {
        FrQuarantineLog_Verdict(quarantine, verdict, "verdict confirmed",
                                "own trial", now);
        FrQuarantine_SpreadVerdict(quarantine, verdict, now);
        FrQuarantineRows_Write(quarantine, trait);
    }
}

void
FrQuarantine_JudgeTrials(FrQuarantine *quarantine, BkMs now)
{
    BkTrial trial;
    bool shows;

    while (BkTrials_Take(&quarantine->trial_ends, &quarantine->tally, now,
                         &trial, &shows)) {
        judge(quarantine, &trial, shows, now);
    }
}
