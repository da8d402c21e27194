#include "bk/quarantine/trial.h"

void
BkTrials_NoteCrash(BkTrials *trials, BkVerdicts *verdicts,
                   const BkCrash *crash, const BkSuspect *suspect,
                   uint32_t claimant, BkMs now)
{
    if (crash->alive_at < suspect->sent_at ||
        !BkVerdicts_IsTrial(verdicts, &suspect->trait, claimant,
                            suspect->sent_at)) {
        return;
    }
    if (trials->count == BK_TRIALS_MAX) {
        trials->dropped++;
        return;
    }
    BkMs wait =
        crash->alive_at < crash->at ? BK_TRIAL_SILENT_WAIT : BK_TRIAL_WAIT;
    trials->rows[trials->count++] =
        (BkTrial){suspect->trait, *crash, suspect->sent_at, now + wait};
}

/* The index of the one that is judged next; -1: there is none. */
static int
find_next(const BkTrials *trials)
{
    int next = -1;

    for (int i = 0; i < trials->count; i++) {
        if (next < 0 ||
            trials->rows[i].decide_at < trials->rows[next].decide_at) {
            next = i;
        }
    }
    return next;
}

BkMs
BkTrials_NextDecision(const BkTrials *trials)
{
    int next = find_next(trials);

    return next < 0 ? 0 : trials->rows[next].decide_at;
}

bool
BkTrials_Take(BkTrials *trials, const BkTally *tally, BkMs now, BkTrial *out,
              bool *shows)
{
    int next = find_next(trials);

    if (next < 0 || trials->rows[next].decide_at > now) {
        return false;
    }
    *out = trials->rows[next];
    trials->rows[next] = trials->rows[--trials->count];
    *shows = !BkTally_HasOtherEnd(tally, out->trait.service, &out->crash);
    return true;
}
