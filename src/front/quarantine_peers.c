#include "quarantine.h"

#include "bk/base/log.h"

enum {
    /* ms added to an age at each hop: more than a message usually takes */
    HOP_TIME = 15,
    /* longest ms until an objection is sent; in a small fleet, a few ms for
       each daemon */
    MAX_OBJECTION_DELAY = 150,
    OBJECTION_DELAY_PER_PEER = 2
};

static bkp_trait
encode_trait(const BkTrait *trait)
{
    return (bkp_trait){trait->service, (u_int)trait->kind, trait->id};
}

/* Returns false if this daemon does not know the kind. */
static bool
decode_trait(const bkp_trait *told, BkTrait *out)
{
    *out = (BkTrait){told->id, told->service, (BkTraitKind)told->kind};
    return told->kind < BK_TRAIT_KINDS;
}

static u_int
age_of(BkMs at, BkMs now)
{
    return at < now ? (u_int)(now - at) : 0;
}

void
FrQuarantine_SpreadCrash(FrQuarantine *quarantine, const BkCrash *crash,
                         const BkSuspect *suspects, int count, BkMs now)
{
    bkp_suspect rows[BKP_MAX_SUSPECTS];
    bkp_crash message = {.up = crash->upstream,
                         .started_at = crash->started_at,
                         .age = age_of(crash->at, now),
                         .alive_age = age_of(crash->alive_at, now),
                         .suspects = {(u_int)count, rows}};

    for (int i = 0; i < count; i++) {
        rows[i] = (bkp_suspect){encode_trait(&suspects[i].trait),
                                suspects[i].request, (u_int)suspects[i].depth,
                                age_of(suspects[i].sent_at, now)};
    }
    FrPeers_Spread(quarantine->front->peers, BKP_CRASH, &message,
                   &message.spread);
}

void
FrQuarantine_HandleCrash(FrQuarantine *quarantine, const bkp_crash *message,
                         BkMs now)
{
    bkp_crash copy = *message;
    BkSuspect suspects[BKP_MAX_SUSPECTS];
    BkCrash crash = {message->up, message->started_at,
                     now - (BkMs)message->age, now - (BkMs)message->alive_age};
    int count = 0;

    FrPeers_ForwardSpread(quarantine->front->peers, BKP_CRASH, &copy,
                          &copy.spread);
    for (u_int i = 0; i < message->suspects.suspects_len; i++) {
        const bkp_suspect *told = &message->suspects.suspects_val[i];
        BkSuspect *suspect = &suspects[count];
        *suspect = (BkSuspect){.request = told->request,
                               .depth = (int)told->depth,
                               .sent_at = now - (BkMs)told->sent_age};
        count += decode_trait(&told->trait, &suspect->trait) ? 1 : 0;
    }
    FrQuarantine_CountCrash(quarantine, &crash, suspects, count, false, now);
}

static int
find_objection(const FrQuarantine *quarantine, const BkTrait *trait)
{
    for (int i = 0; i < quarantine->objection_count; i++) {
        BkTrait listed;
        decode_trait(&quarantine->objections[i].trait, &listed);
        if (BkTrait_Equal(&listed, trait)) {
            return i;
        }
    }
    return -1;
}

void
FrQuarantine_Object(FrQuarantine *quarantine, const BkTrait *trait,
                    BkMs sent_at)
{
    FrFront *front = quarantine->front;
    int at = find_objection(quarantine, trait);
    int longest = FrPeers_Count(front->peers) * OBJECTION_DELAY_PER_PEER;

    if (longest > MAX_OBJECTION_DELAY) {
        longest = MAX_OBJECTION_DELAY;
    }
    if (at >= 0) {
        if (quarantine->objection_sent_at[at] < sent_at) {
            quarantine->objection_sent_at[at] = sent_at;
        }
        return;
    }
    if (quarantine->objection_count == BKP_MAX_WELL_RUNS) {
        BkLog_Event(BK_LOG_WARNING, "quarantine", NULL,
                    "no room for an objection", "s:i", "waiting",
                    quarantine->objection_count);
        return;
    }
    at = quarantine->objection_count++;
    quarantine->objections[at] = (bkp_well_run){encode_trait(trait), 0};
    quarantine->objection_sent_at[at] = sent_at;
    if (!BkTimer_Running(quarantine->objection_timer)) {
        BkTimer_Start(quarantine->objection_timer,
                      BkRng_Below(&front->rng, (uint32_t)longest + 1));
    }
}

void
FrQuarantine_SendObjections(void *arg)
{
    FrQuarantine *quarantine = arg;
    BkMs now = BkClock_Now();
    int count = quarantine->objection_count;
    bkp_well message = {.rows = {(u_int)count, quarantine->objections}};

    if (count == 0) {
        return;
    }
    for (int i = 0; i < count; i++) {
        quarantine->objections[i].sent_age =
            age_of(quarantine->objection_sent_at[i], now);
    }
    FrPeers_Spread(quarantine->front->peers, BKP_WELL, &message,
                   &message.spread);
    quarantine->objection_count = 0;
    for (int i = 0; i < count; i++) {
        BkTrait trait;
        decode_trait(&quarantine->objections[i].trait, &trait);
        FrQuarantine_ApplyWell(quarantine, &trait,
                               quarantine->objection_sent_at[i]);
    }
}

/* Another daemon has said the same, and no less. */
static void
remove_objection(FrQuarantine *quarantine, const BkTrait *trait, BkMs sent_at)
{
    int at = find_objection(quarantine, trait);

    if (at < 0 || quarantine->objection_sent_at[at] > sent_at) {
        return;
    }
    int last = --quarantine->objection_count;
    quarantine->objections[at] = quarantine->objections[last];
    quarantine->objection_sent_at[at] = quarantine->objection_sent_at[last];
}

void
FrQuarantine_HandleWell(FrQuarantine *quarantine, const bkp_well *message,
                        BkMs now)
{
    bkp_well copy = *message;

    FrPeers_ForwardSpread(quarantine->front->peers, BKP_WELL, &copy,
                          &copy.spread);
    for (u_int i = 0; i < message->rows.rows_len; i++) {
        const bkp_well_run *told = &message->rows.rows_val[i];
        BkMs sent_at = now - (BkMs)told->sent_age - HOP_TIME;
        BkTrait trait;
        if (decode_trait(&told->trait, &trait)) {
            BkWell_Note(&quarantine->well, &trait, sent_at);
            FrQuarantine_ApplyWell(quarantine, &trait, sent_at);
            remove_objection(quarantine, &trait, sent_at);
        }
    }
}

static bkp_verdict
encode_verdict(const BkVerdict *verdict, BkMs now)
{
    return (bkp_verdict){encode_trait(&verdict->trait),
                         verdict->generation,
                         verdict->lifted,
                         (u_int)verdict->confirmations,
                         age_of(verdict->since, now),
                         age_of(verdict->evidence_since, now),
                         verdict->claimant};
}

void
FrQuarantine_SpreadVerdict(FrQuarantine *quarantine, const BkVerdict *verdict,
                           BkMs now)
{
    bkp_verdict row = encode_verdict(verdict, now);
    bkp_verdicts message = {.rows = {1, &row}};

    FrPeers_Spread(quarantine->front->peers, BKP_VERDICTS, &message,
                   &message.spread);
}

/* If there are more than a message has room for, it is a random part of
   them. */
void
FrQuarantine_SendVerdicts(FrQuarantine *quarantine, const FrPeer *peer,
                          BkMs now)
{
    const BkVerdicts *verdicts = &quarantine->verdicts;
    bkp_verdict rows[BKP_MAX_VERDICTS];
    bkp_verdicts message = {.rows = {0, rows}};

    if (verdicts->count == 0) {
        return;
    }
    int first =
        (int)BkRng_Below(&quarantine->front->rng, (uint32_t)verdicts->count);
    for (int i = 0; i < verdicts->count && i < BKP_MAX_VERDICTS; i++) {
        rows[message.rows.rows_len++] = encode_verdict(
            &verdicts->rows[(first + i) % verdicts->count], now);
    }
    FrPeers_Send(quarantine->front->peers, peer, BKP_VERDICTS, &message);
}

void
FrQuarantine_HandleVerdicts(FrQuarantine *quarantine,
                            const bkp_verdicts *message, BkMs now)
{
    bkp_verdicts copy = *message;

    FrPeers_ForwardSpread(quarantine->front->peers, BKP_VERDICTS, &copy,
                          &copy.spread);
    for (u_int i = 0; i < message->rows.rows_len; i++) {
        const bkp_verdict *told = &message->rows.rows_val[i];
        BkVerdict verdict = {.generation = told->generation,
                             .lifted = told->lifted != 0,
                             .confirmations = (int)told->trials,
                             .since = now - (BkMs)told->age,
                             .evidence_since = now - (BkMs)told->evidence_age,
                             .claimant = told->claimant};
        if (decode_trait(&told->trait, &verdict.trait)) {
            FrQuarantine_ApplyVerdict(quarantine, &verdict, "another daemon",
                                      now);
        }
    }
}
