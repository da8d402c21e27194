#include "bk/lease/lease.h"

#include <string.h>

enum {
    FENCE_ORDER_BITS = 24, /* low bits of a fence: order within its term */
    ERA_TERM_BITS = 20,    /* low bits of a term: its number within an era */
    /* the random part of the delay between reads is at most the lease duration
       divided by this */
    READ_JITTER_DIVISOR = 4
};

BkLease
BkLease_Make(const BkLeaseConf *conf, const char *own_name, uint64_t seed)
{
    BkLease lease = {
        .conf = *conf, .own_name = own_name, .planner_seen_at = BK_MS_NEVER};

    lease.rng = BkRng_Make(seed);
    return lease;
}

/* A random delay below limit, so that followers do not all act at once. */
static BkMs
jitter(BkLease *lease, BkMs limit)
{
    return (BkMs)(BkRng_Unit(&lease->rng) * (double)limit);
}

static BkLeaseAction
start_action(BkLease *lease, BkLeaseAction action, BkMs now)
{
    lease->busy = true;
    lease->claim_due = false;
    lease->action_started_at = now;
    if (action == BK_LEASE_CLAIM) {
        lease->claimed_term = BkLease_NextTerm(lease);
    }
    return action;
}

uint64_t
BkLease_NextTerm(const BkLease *lease)
{
    uint64_t floor = lease->era << ERA_TERM_BITS;

    return (lease->term > floor ? lease->term : floor) + 1;
}

BkLeaseAction
BkLease_NextAction(BkLease *lease, BkMs now)
{
    if (lease->busy || now < lease->next_action_at || lease->epoch == 0) {
        return BK_LEASE_NONE;
    }
    if (lease->phase == BK_LEASE_HOLDER) {
        return start_action(lease, BK_LEASE_RENEW, now);
    }
    return start_action(
        lease, lease->claim_due ? BK_LEASE_CLAIM : BK_LEASE_READ, now);
}

static void
become_follower(BkLease *lease)
{
    lease->phase = BK_LEASE_FOLLOWER;
    lease->claim_due = false;
    lease->valid_until = 0;
}

bool
BkLease_NoteEra(BkLease *lease, uint64_t era, BkMs now)
{
    bool first = lease->era == 0 && lease->phase == BK_LEASE_FOLLOWER &&
                 lease->planner_seen_at == BK_MS_NEVER;

    if (era <= lease->era) {
        return false;
    }
    lease->era = era;
    if (first) {
        return false;
    }
    lease->busy = false;
    lease->held_until = BkLease_Valid(lease, now) ? lease->valid_until : 0;
    become_follower(lease);
    lease->planner_seen_at = now;
    lease->next_action_at = now;
    return true;
}

void
BkLease_OnPlannerAlive(BkLease *lease, uint64_t term, BkMs at)
{
    if (term < lease->term || at == BK_MS_NEVER ||
        (lease->phase == BK_LEASE_HOLDER && term == lease->term)) {
        return;
    }
    if (lease->phase == BK_LEASE_HOLDER) {
        become_follower(lease);
    }
    if (lease->planner_seen_at != BK_MS_NEVER &&
        at <= lease->planner_seen_at) {
        return;
    }
    lease->term = term;
    lease->planner_seen_at = at;
    lease->claim_due = false;
    BkMs next = at + lease->conf.gossip_timeout +
                jitter(lease, lease->conf.renew_period);
    if (next > lease->next_action_at) {
        lease->next_action_at = next;
    }
}

void
BkLease_OnRowVersions(BkLease *lease, uint64_t term, uint64_t term_version,
                      uint64_t beat_version)
{
    if (lease->phase == BK_LEASE_HOLDER || lease->claim_due ||
        term < lease->term || beat_version < lease->beat_version) {
        return;
    }
    lease->term_version = term_version;
    lease->beat_version = beat_version;
}

void
BkLease_OnResigned(BkLease *lease, uint64_t term, BkMs now)
{
    if (lease->phase == BK_LEASE_HOLDER || lease->busy || term < lease->term ||
        term == lease->heard_resigned_term) {
        return;
    }
    lease->term = term;
    lease->heard_resigned_term = term;
    lease->next_action_at = now + jitter(lease, lease->conf.renew_period / 4);
}

/* Whether the rows name this start of the daemon as the holder. A claim of an
   earlier era that the store carried out late does not count: its term may
   have been given out in the part of that era that was lost. */
static bool
held_by_self(const BkLease *lease, const BkLeaseRows *rows)
{
    return rows->term > lease->own_resigned_term &&
           rows->term >= lease->term && rows->term_era == rows->era &&
           rows->epoch == lease->epoch &&
           strcmp(rows->holder, lease->own_name) == 0 && !rows->resigned;
}

static bool
may_claim(const BkLease *lease, const BkLeaseRows *rows, BkMs now)
{
    /* in a later era, there may be a holder whose rows were lost */
    bool no_holder = rows->term == 0 && rows->era <= 1;
    bool resigned = rows->resigned && rows->beat_era == rows->era;

    if (rows->term >= lease->term &&
        (no_holder || resigned ||
         (rows->term != 0 && rows->term == lease->heard_resigned_term))) {
        return true;
    }
    return now < lease->held_until ||
           now - lease->planner_seen_at >= lease->conf.lease_duration;
}

static void
follow_holder(BkLease *lease, const BkLeaseRows *rows, BkMs now, bool changed)
{
    become_follower(lease);
    if (changed || lease->planner_seen_at == BK_MS_NEVER) {
        lease->planner_seen_at = now;
    }
    if (may_claim(lease, rows, now)) {
        lease->claim_due = true;
        lease->next_action_at = now;
        return;
    }
    lease->next_action_at =
        now + lease->conf.renew_period / 2 +
        jitter(lease, lease->conf.lease_duration / READ_JITTER_DIVISOR);
}

void
BkLease_OnRowsRead(BkLease *lease, const BkLeaseRows *rows, BkMs now)
{
    bool changed = rows->beat_version != lease->beat_version ||
                   rows->term_version != lease->term_version;

    BkLease_NoteEra(lease, rows->era, now);
    lease->busy = false;
    lease->term_version = rows->term_version;
    lease->beat_version = rows->beat_version;
    lease->is_first = rows->term == 0 && lease->term == 0 && rows->era <= 1;
    if (held_by_self(lease, rows)) {
        /* The claim succeeded but its answer was lost. When it was sent is
         * no longer known, so the lease is valid only after a renewal. */
        lease->term = rows->term;
        lease->phase = BK_LEASE_HOLDER;
        lease->next_action_at = now;
        return;
    }
    follow_holder(lease, rows, now, changed);
    if (rows->term > lease->term) {
        lease->term = rows->term;
    }
}

void
BkLease_OnClaimed(BkLease *lease, uint64_t term_version, uint64_t beat_version)
{
    lease->busy = false;
    lease->phase = BK_LEASE_HOLDER;
    lease->term = lease->claimed_term;
    lease->term_version = term_version;
    lease->beat_version = beat_version;
    BkLease_OnRenewed(lease);
}

void
BkLease_OnRenewed(BkLease *lease)
{
    lease->busy = false;
    if (lease->phase != BK_LEASE_HOLDER) {
        return;
    }
    lease->valid_until = lease->action_started_at + lease->conf.valid_for;
    lease->next_action_at =
        lease->action_started_at + lease->conf.renew_period;
}

void
BkLease_OnConflict(BkLease *lease, BkMs now)
{
    lease->busy = false;
    become_follower(lease);
    lease->planner_seen_at = now;
    lease->next_action_at = now + jitter(lease, lease->conf.renew_period);
}

void
BkLease_OnFailed(BkLease *lease, BkMs now)
{
    lease->busy = false;
    lease->claim_due = false;
    lease->next_action_at = now + lease->conf.renew_period / 2 +
                            jitter(lease, lease->conf.renew_period / 2);
}

bool
BkLease_Valid(const BkLease *lease, BkMs now)
{
    return lease->phase == BK_LEASE_HOLDER && now < lease->valid_until;
}

void
BkLease_Resign(BkLease *lease, BkMs now)
{
    lease->own_resigned_term = lease->term;
    become_follower(lease);
    lease->planner_seen_at = now;
    lease->next_action_at = now + lease->conf.lease_duration;
}

uint64_t
BkFence_Make(uint64_t term, uint64_t n)
{
    return (term << FENCE_ORDER_BITS) | n;
}

uint64_t
BkFence_Term(uint64_t fence)
{
    return fence >> FENCE_ORDER_BITS;
}
