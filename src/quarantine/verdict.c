#include "bk/quarantine/verdict.h"

#include <stddef.h>

enum {
    TERM_FACTOR = 4,
    MAX_TERM = 60 * 60 * 1000, /* ms */
    LIFTED_MEMORY = 60 * 1000, /* ms */
    /* first terms of a part, after the end of a term; by default as long as
       crashes count */
    UNCLAIMED_TERMS = 6
};

BkVerdict *
BkVerdicts_Find(BkVerdicts *verdicts, const BkTrait *trait)
{
    for (int i = 0; i < verdicts->count; i++) {
        if (BkTrait_Equal(&verdicts->rows[i].trait, trait)) {
            return &verdicts->rows[i];
        }
    }
    return NULL;
}

static void
count_active(BkVerdicts *verdicts)
{
    verdicts->active = 0;
    for (int i = 0; i < verdicts->count; i++) {
        verdicts->active += verdicts->rows[i].lifted ? 0 : 1;
    }
}

static BkMs
get_term(const BkVerdicts *verdicts, const BkVerdict *verdict)
{
    BkMs term = verdict->trait.kind == BK_TRAIT_REQUEST
                    ? verdicts->first_term / TERM_FACTOR
                    : verdicts->first_term;

    for (int i = 0; i < verdict->confirmations && term < MAX_TERM; i++) {
        term *= TERM_FACTOR;
    }
    return term < MAX_TERM ? term : MAX_TERM;
}

BkMs
BkVerdicts_Until(const BkVerdicts *verdicts, const BkVerdict *verdict)
{
    return verdict->since + get_term(verdicts, verdict);
}

bool
BkVerdict_IsOnProbation(const BkVerdict *verdict)
{
    return !verdict->lifted && verdict->confirmations == 0;
}

/* Lets the term end at that time. One that is shorter than usual has begun
   earlier, also for daemons that are told of it. */
static void
set_until(const BkVerdicts *verdicts, BkVerdict *verdict, BkMs until, BkMs now)
{
    BkMs since = until - get_term(verdicts, verdict);

    verdict->since = since < now ? since : now;
}

void
BkVerdicts_BeginShortTerm(const BkVerdicts *verdicts, BkVerdict *verdict,
                          BkMs now)
{
    set_until(verdicts, verdict, now + verdicts->short_term, now);
}

BkVerdictState
BkVerdicts_Check(BkVerdicts *verdicts, const BkTrait *trait, BkMs now)
{
    const BkVerdict *verdict =
        verdicts->active == 0 ? NULL : BkVerdicts_Find(verdicts, trait);

    if (verdict == NULL || verdict->lifted) {
        return BK_VERDICT_NONE;
    }
    return now < BkVerdicts_Until(verdicts, verdict) ? BK_VERDICT_BARRED
                                                     : BK_VERDICT_TRIAL_DUE;
}

/* NULL if there is no room. */
static BkVerdict *
find_or_add(BkVerdicts *verdicts, const BkTrait *trait)
{
    BkVerdict *verdict = BkVerdicts_Find(verdicts, trait);

    if (verdict != NULL) {
        return verdict;
    }
    if (verdicts->count == BK_VERDICTS_MAX) {
        verdicts->dropped++;
        return NULL;
    }
    verdict = &verdicts->rows[verdicts->count++];
    *verdict = (BkVerdict){.trait = *trait, .lifted = true};
    return verdict;
}

const BkVerdict *
BkVerdicts_Convict(BkVerdicts *verdicts, const BkTrait *trait,
                   BkMs evidence_since, bool weak, BkMs now)
{
    BkVerdict *verdict = find_or_add(verdicts, trait);

    if (verdict == NULL || !verdict->lifted) {
        return NULL;
    }
    verdict->generation++;
    verdict->lifted = false;
    verdict->since = now;
    if (weak) {
        BkVerdicts_BeginShortTerm(verdicts, verdict, now);
    }
    verdict->evidence_since = evidence_since;
    verdict->claimant = 0;
    verdict->claimed_at = 0;
    count_active(verdicts);
    return verdict;
}

const BkVerdict *
BkVerdicts_Claim(BkVerdicts *verdicts, const BkTrait *trait, uint32_t claimant,
                 BkMs now)
{
    BkVerdict *verdict = BkVerdicts_Find(verdicts, trait);

    if (verdict == NULL || verdict->lifted) {
        return NULL;
    }
    verdict->generation++;
    set_until(verdicts, verdict, now + BK_VERDICT_CLAIM_TIME, now);
    verdict->claimant = claimant;
    verdict->claimed_at = now;
    return verdict;
}

const BkVerdict *
BkVerdicts_EndTrial(BkVerdicts *verdicts, const BkTrait *trait,
                    uint32_t claimant, BkMs claimed_at, BkMs pause, BkMs now)
{
    BkVerdict *verdict = BkVerdicts_Find(verdicts, trait);

    if (verdict == NULL || verdict->lifted || verdict->claimant != claimant ||
        verdict->claimed_at != claimed_at) {
        return NULL;
    }
    verdict->generation++;
    set_until(verdicts, verdict, now + pause, now);
    return verdict;
}

bool
BkVerdicts_IsTrial(BkVerdicts *verdicts, const BkTrait *trait,
                   uint32_t claimant, BkMs sent_at)
{
    const BkVerdict *verdict = BkVerdicts_Find(verdicts, trait);

    return verdict != NULL && !verdict->lifted &&
           verdict->claimant == claimant && verdict->claimed_at != 0 &&
           sent_at >= verdict->claimed_at;
}

const BkVerdict *
BkVerdicts_Confirm(BkVerdicts *verdicts, const BkTrait *trait,
                   uint32_t claimant, BkMs sent_at, BkMs now)
{
    BkVerdict *verdict = BkVerdicts_Find(verdicts, trait);

    if (!BkVerdicts_IsTrial(verdicts, trait, claimant, sent_at)) {
        return NULL;
    }
    verdict->generation++;
    verdict->confirmations++;
    verdict->since = now;
    verdict->claimant = 0;
    verdict->claimed_at = 0;
    return verdict;
}

const BkVerdict *
BkVerdicts_Lift(BkVerdicts *verdicts, const BkTrait *trait, BkMs now)
{
    BkVerdict *verdict = BkVerdicts_Find(verdicts, trait);

    if (verdict == NULL || verdict->lifted) {
        return NULL;
    }
    verdict->generation++;
    verdict->lifted = true;
    verdict->confirmations = 0;
    verdict->claimed_at = 0;
    verdict->since = now;
    verdict->claimant = 0;
    count_active(verdicts);
    return verdict;
}

/* Whether a row of the same trait and generation replaces the own one: of two
   daemons that changed it at the same time, the same change wins
   everywhere. */
static bool
wins_tie(const BkVerdict *told, const BkVerdict *own)
{
    if (told->lifted != own->lifted) {
        return told->lifted;
    }
    if (told->confirmations != own->confirmations) {
        /* one that was read from the store lost them */
        return told->confirmations > own->confirmations;
    }
    if (told->claimant != own->claimant) {
        return told->claimant < own->claimant;
    }
    return false;
}

static BkMs
forget_at(const BkVerdicts *verdicts, const BkVerdict *verdict)
{
    return verdict->lifted ? verdict->since + LIFTED_MEMORY
                           : BkVerdicts_Until(verdicts, verdict) +
                                 UNCLAIMED_TERMS * verdicts->first_term;
}

bool
BkVerdicts_Merge(BkVerdicts *verdicts, const BkVerdict *told, BkMs now)
{
    if (now >= forget_at(verdicts, told)) {
        return false;
    }
    BkVerdict *own = find_or_add(verdicts, &told->trait);
    if (own == NULL || own->generation > told->generation ||
        (own->generation == told->generation && !wins_tie(told, own))) {
        return false;
    }
    int64_t refused = own->refused;
    *own = *told;
    own->refused = refused;
    count_active(verdicts);
    return true;
}

bool
BkVerdicts_TakeExpired(BkVerdicts *verdicts, BkMs now, BkVerdict *out)
{
    for (int i = 0; i < verdicts->count; i++) {
        if (now >= forget_at(verdicts, &verdicts->rows[i])) {
            *out = verdicts->rows[i];
            verdicts->rows[i] = verdicts->rows[--verdicts->count];
            count_active(verdicts);
            return true;
        }
    }
    return false;
}
