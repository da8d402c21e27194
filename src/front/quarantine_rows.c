#include "quarantine.h"

#include <stdio.h>
#include <string.h>

#include "bk/base/log.h"
#include "sync.h"

/* The table has a row for each verdict, "GENERATION CONFIRMATIONS"; its key is
   "SERVICE-KIND-ID" in hexadecimal. Daemons that run tell each other their
   verdicts, so it is read only by one that starts and hears no daemon that has
   run for longer. */

enum {
    READ_DELAY = 700,    /* ms after the start; other daemons are heard then */
    OLDER_BY = 5000,     /* ms that another daemon has run for longer */
    RETRY_DELAY = 1000,  /* ms after a call that failed */
    CALL_TIMEOUT = 1000, /* ms */
    REMOVERS = 2, /* daemons that remove a row that all have forgotten */
    HEX = 16
};

static const char table[] = "quarantine";

void
FrQuarantineRows_MakeKey(const BkTrait *trait, char *key)
{
    snprintf(key, FR_VERDICT_KEY_BYTES, "%08x-%02x-%016llx", trait->service,
             (unsigned)trait->kind, (unsigned long long)trait->id);
}

static bool
parse_hex(BkStr text, uint64_t *out)
{
    *out = 0;
    for (size_t i = 0; i < text.len; i++) {
        char digit = text.ptr[i];
        if (digit >= '0' && digit <= '9') {
            *out = *out * HEX + (uint64_t)(digit - '0');
        }
        else if (digit >= 'a' && digit <= 'f') {
            *out = *out * HEX + (uint64_t)(digit - 'a') + 10;
        }
        else {
            return false;
        }
    }
    return text.len > 0 && text.len <= HEX;
}

bool
FrQuarantineRows_ParseKey(BkStr key, BkTrait *out)
{
    BkStr service_text = BkStr_Split(&key, '-');
    BkStr kind_text = BkStr_Split(&key, '-');
    uint64_t service;
    uint64_t kind;
    uint64_t id;

    if (!parse_hex(service_text, &service) || !parse_hex(kind_text, &kind) ||
        !parse_hex(key, &id) || service > UINT32_MAX ||
        kind >= BK_TRAIT_KINDS) {
        return false;
    }
    *out = (BkTrait){id, (uint32_t)service, (BkTraitKind)kind};
    return true;
}

/* Returns false if the row was not written by a daemon that this one can
   understand. */
static bool
parse_row(const BkStoreRow *row, BkVerdict *out)
{
    BkStr value = row->value;
    BkStr generation_text = BkStr_Split(&value, ' ');
    BkTrait trait;
    uint64_t generation;
    uint64_t confirmations;

    if (!FrQuarantineRows_ParseKey(row->key, &trait) ||
        BkStr_ToU64(generation_text, &generation) != BK_OK ||
        BkStr_ToU64(value, &confirmations) != BK_OK ||
        generation > UINT32_MAX || confirmations > INT32_MAX) {
        return false;
    }
    *out = (BkVerdict){.trait = trait,
                       .generation = (uint32_t)generation,
                       .confirmations = (int)confirmations};
    return true;
}

static void
on_rows(const BkStoreReply *reply, void *arg)
{
    FrQuarantine *quarantine = arg;
    BkMs now = BkClock_Now();

    quarantine->call_active = false;
    if (reply->status != BK_OK) {
        quarantine->next_call_at = now + RETRY_DELAY;
        return;
    }
    quarantine->rows_read = !reply->has_more;
    BkBuf_Clear(&quarantine->next_key);
    BkBuf_Append(&quarantine->next_key, reply->next_key);
    for (int i = 0; i < reply->count; i++) {
        BkVerdict verdict;
        if (!parse_row(&reply->rows[i], &verdict)) {
            BkLog_Event(BK_LOG_WARNING, "quarantine", NULL,
                        "row not understood, ignored", "s:I", "version",
                        (json_int_t)reply->rows[i].version);
            continue;
        }
        if (BkWell_LastSent(&quarantine->well, &verdict.trait) >= 0) {
            FrQuarantineRows_Write(quarantine, &verdict.trait);
            continue; /* it has run well since this daemon started */
        }
        /* what confirmed it may be over, and how much of its term is left is not
           known: it is tried again soon */
        verdict.confirmations = 0;
        BkVerdicts_BeginShortTerm(&quarantine->verdicts, &verdict, now);
        verdict.evidence_since = quarantine->front->started_at;
        FrQuarantine_ApplyVerdict(quarantine, &verdict, "the store", now);
    }
}

static void
on_written(const BkStoreReply *reply, void *arg)
{
    FrQuarantine *quarantine = arg;

    quarantine->call_active = false;
    if (reply->status != BK_OK) {
        quarantine->next_call_at = BkClock_Now() + RETRY_DELAY;
        FrQuarantineRows_Write(quarantine, &quarantine->writing);
    }
}

static void
write_next(FrQuarantine *quarantine)
{
    const BkTrait *trait = &quarantine->writing;
    BkBuf value = BkBuf_Make(0);
    char key[FR_VERDICT_KEY_BYTES];

    quarantine->writing = quarantine->unwritten[--quarantine->unwritten_count];
    const BkVerdict *verdict = BkVerdicts_Find(&quarantine->verdicts, trait);
    FrQuarantineRows_MakeKey(trait, key);
    BkStoreOp op = {.key = key};
    if (verdict == NULL || verdict->lifted) {
        op.remove = true;
    }
    else {
        BkBuf_Printf(&value, "%u %d", verdict->generation,
                     verdict->confirmations);
        op.put = true;
        op.value = BkBuf_Str(&value);
    }
    quarantine->call_active = true;
    BkStore_Commit(quarantine->front->store, table, &op, 1, CALL_TIMEOUT,
                   on_written, quarantine);
    BkBuf_Destroy(&value);
}

void
FrQuarantineRows_Write(FrQuarantine *quarantine, const BkTrait *trait)
{
    for (int i = 0; i < quarantine->unwritten_count; i++) {
        if (BkTrait_Equal(&quarantine->unwritten[i], trait)) {
            return;
        }
    }
    if (quarantine->unwritten_count == BK_VERDICTS_MAX) {
        BkLog_Event(BK_LOG_WARNING, "quarantine", NULL,
                    "verdict not written to the store", "s:i", "waiting",
                    quarantine->unwritten_count);
        return;
    }
    quarantine->unwritten[quarantine->unwritten_count++] = *trait;
}

/* Whether a daemon runs that would tell this one its verdicts. */
static bool
knows_older_peer(const FrFront *front, BkMs now)
{
    const FrPeers *peers = front->peers;

    for (int i = 0; i < peers->count; i++) {
        const FrPeer *peer = peers->list[i];
        if (peer->started_at != 0 &&
            peer->started_at + OLDER_BY < front->wall_started_at &&
            FrPeers_IsAlive(peers, peer, now)) {
            return true;
        }
    }
    return false;
}

static bool
is_before(const FrPeers *peers, const FrPeer *peer, const char *name, BkMs now)
{
    return peer->name[0] != '\0' && strcmp(peer->name, name) < 0 &&
           FrPeers_IsAlive(peers, peer, now);
}

void
FrQuarantineRows_Remove(FrQuarantine *quarantine, const BkTrait *trait,
                        BkMs now)
{
    const FrPeers *peers = quarantine->front->peers;
    const char *own_name = quarantine->front->conf.name;
    int before = 0;

    for (int i = 0; i < peers->count; i++) {
        before += is_before(peers, peers->list[i], own_name, now) ? 1 : 0;
    }
    if (before < REMOVERS) {
        FrQuarantineRows_Write(quarantine, trait);
    }
}

void
FrQuarantineRows_Step(FrQuarantine *quarantine, BkMs now)
{
    const FrFront *front = quarantine->front;

    if (quarantine->call_active || now < quarantine->next_call_at) {
        return;
    }
    if (!quarantine->rows_read && now - front->started_at >= READ_DELAY) {
        if (FrFront_IsFirstStart(front) || knows_older_peer(front, now)) {
            quarantine->rows_read = true;
            return;
        }
        quarantine->call_active = true;
        BkStore_ReadRows(front->store, table, BkBuf_Str(&quarantine->next_key),
                         (BkStoreTimeouts){.total = CALL_TIMEOUT}, on_rows,
                         quarantine);
        return;
    }
    if (quarantine->unwritten_count > 0) {
        write_next(quarantine);
    }
}
