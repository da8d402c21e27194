#include "bk/quarantine/tally.h"

#include <stdlib.h>

#include "bk/base/str.h"

enum {
    /* ms before the first crash that speaks against a trait, from which on
       other ends are taken for a sign of another cause; and ms between the end
       of a trial's upstream and another one */
    END_CONTEXT = 1000
};

/* ms that crashes which count against a trait of the kind are apart, as far as
   is known. A request that was sent again after a crash came to the next one
   later, however soon that was. */
static const BkMs min_crash_gaps[BK_TRAIT_KINDS] = {
    [BK_TRAIT_PART] = 100, [BK_TRAIT_REQUEST] = 0};

/* Crashes that convict a trait of the kind. */
static const int thresholds[BK_TRAIT_KINDS] = {
    [BK_TRAIT_PART] = 3, [BK_TRAIT_REQUEST] = 2};

BkTally
BkTally_Make(void)
{
    return (BkTally){.rows = BkMem_New(BK_TALLY_MAX_ROWS, sizeof(BkTallyRow)),
                     .ends = BkMem_New(BK_TALLY_MAX_ENDS, sizeof(BkTallyEnd))};
}

void
BkTally_Destroy(BkTally *tally)
{
    free(tally->rows);
    free(tally->ends);
    *tally = (BkTally){0};
}

static BkTallyRow *
find_row(const BkTally *tally, const BkTrait *trait)
{
    for (int i = 0; i < tally->count; i++) {
        if (BkTrait_Equal(&tally->rows[i].trait, trait)) {
            return &tally->rows[i];
        }
    }
    return NULL;
}

static void
remove_row(BkTally *tally, BkTallyRow *row)
{
    *row = tally->rows[--tally->count];
}

static BkMs
last_crash_at(const BkTallyRow *row)
{
    return row->crashes[row->count - 1].crash.at;
}

/* The row with the fewest crashes, of these the one with the oldest. */
static BkTallyRow *
find_weakest(const BkTally *tally)
{
    BkTallyRow *weakest = &tally->rows[0];

    for (int i = 1; i < tally->count; i++) {
        BkTallyRow *row = &tally->rows[i];
        if (row->count < weakest->count ||
            (row->count == weakest->count &&
             last_crash_at(row) < last_crash_at(weakest))) {
            weakest = row;
        }
    }
    return weakest;
}

static BkTallyRow *
add_row(BkTally *tally, const BkSuspect *suspect)
{
    if (tally->count == BK_TALLY_MAX_ROWS) {
        remove_row(tally, find_weakest(tally));
        tally->dropped++;
    }
    BkTallyRow *row = &tally->rows[tally->count++];
    *row = (BkTallyRow){.trait = suspect->trait, .depth = suspect->depth};
    return row;
}

static bool
is_same_process(const BkCrash *a, const BkCrash *b)
{
    return a->upstream == b->upstream && a->started_at == b->started_at;
}

/* Whether both processes may have ended less than the gap apart. */
static bool
may_coincide(const BkCrash *a, const BkCrash *b, BkMs gap)
{
    return a->alive_at - b->at < gap && b->alive_at - a->at < gap;
}

/* Whether one cause may have brought both crashes about, and none of the
   requests. */
static bool
may_be_one_event(const BkTallyCrash *counted, const BkCrash *crash,
                 const BkSuspect *suspect)
{
    if (may_coincide(&counted->crash, crash,
                     min_crash_gaps[suspect->trait.kind])) {
        return true;
    }
    switch (suspect->trait.kind) {
    case BK_TRAIT_PART:
        return counted->request == suspect->request;
    case BK_TRAIT_REQUEST:
        return suspect->sent_at < counted->crash.at &&
               counted->sent_at < crash->at;
    }
    return false;
}

static bool
is_counted(const BkTallyRow *row, const BkCrash *crash,
           const BkSuspect *suspect)
{
    for (int i = 0; i < row->count; i++) {
        const BkTallyCrash *counted = &row->crashes[i];
        if (is_same_process(&counted->crash, crash) ||
            may_be_one_event(counted, crash, suspect)) {
            return true;
        }
    }
    return false;
}

/* Whether the process is among the crashes. */
static bool
is_listed(const BkTallyCrash *crashes, int count, const BkCrash *crash)
{
    for (int i = 0; i < count; i++) {
        if (is_same_process(&crashes[i].crash, crash)) {
            return true;
        }
    }
    return false;
}

/* Whether the trait ran in the process that crashed. */
static bool
ran_in(const BkTallyRow *row, const BkCrash *crash)
{
    return is_listed(row->crashes, row->count, crash) ||
           is_listed(row->uncounted, row->uncounted_count, crash);
}

static void
note_uncounted(BkTally *tally, BkTallyRow *row, const BkCrash *crash,
               const BkSuspect *suspect)
{
    if (ran_in(row, crash)) {
        return;
    }
    if (row->uncounted_count == BK_TALLY_MAX_UNCOUNTED) {
        tally->dropped_crashes++;
        return;
    }
    row->uncounted[row->uncounted_count++] =
        (BkTallyCrash){*crash, suspect->request, suspect->sent_at};
}

void
BkTally_NoteEnd(BkTally *tally, uint32_t service, const BkCrash *crash,
                bool explained)
{
    for (int i = 0; i < BK_TALLY_MAX_ENDS && i < tally->end_count; i++) {
        if (is_same_process(&tally->ends[i].crash, crash)) {
            tally->ends[i].explained |= explained;
            return;
        }
    }
    BkTallyEnd *end = &tally->ends[tally->end_count % BK_TALLY_MAX_ENDS];
    if (tally->end_count >= BK_TALLY_MAX_ENDS &&
        crash->at - end->crash.at < BK_TALLY_MEMORY) {
        tally->dropped_crashes++;
    }
    *end = (BkTallyEnd){service, *crash, explained};
    tally->end_count++;
}

bool
BkTally_HasOtherEnd(const BkTally *tally, uint32_t service,
                    const BkCrash *crash)
{
    for (int i = 0; i < BK_TALLY_MAX_ENDS && i < tally->end_count; i++) {
        const BkTallyEnd *end = &tally->ends[i];
        if (end->service == service && !end->explained &&
            !is_same_process(&end->crash, crash) &&
            may_coincide(&end->crash, crash, END_CONTEXT)) {
            return true;
        }
    }
    return false;
}

const BkTallyRow *
BkTally_NoteCrash(BkTally *tally, const BkCrash *crash,
                  const BkSuspect *suspect, bool own, BkMs now)
{
    BkTallyRow *row = find_row(tally, &suspect->trait);

    if (row == NULL) {
        row = add_row(tally, suspect);
    }
    if (is_counted(row, crash, suspect) ||
        row->count == BK_TALLY_MAX_CRASHES) {
        note_uncounted(tally, row, crash, suspect);
        return row;
    }
    row->crashes[row->count++] =
        (BkTallyCrash){*crash, suspect->request, suspect->sent_at};
    row->depth = suspect->depth < row->depth ? suspect->depth : row->depth;
    row->own = own;
    if (row->count >= thresholds[row->trait.kind] && row->decide_at == 0) {
        row->decide_at = now + BK_TALLY_HOLD;
    }
    return row;
}

typedef bool (*CrashMatcher)(const BkTallyCrash *crash, const void *arg);

/* Removes the crashes for which matches is true; returns how many are left. */
static int
remove_matching(BkTallyCrash *crashes, int count, CrashMatcher matches,
                const void *arg)
{
    int kept = 0;

    for (int i = 0; i < count; i++) {
        if (!matches(&crashes[i], arg)) {
            crashes[kept++] = crashes[i];
        }
    }
    return kept;
}

/* Removes the crashes of the row for which matches is true, and the row if
   none that is counted is left. Returns whether it was removed. */
static bool
filter_crashes(BkTally *tally, BkTallyRow *row, CrashMatcher matches,
               const void *arg)
{
    int kept = remove_matching(row->crashes, row->count, matches, arg);

    row->count = kept;
    row->uncounted_count =
        remove_matching(row->uncounted, row->uncounted_count, matches, arg);
    if (kept < thresholds[row->trait.kind]) {
        row->decide_at = 0;
    }
    if (kept == 0) {
        remove_row(tally, row);
    }
    return kept == 0;
}

static bool
is_sent_before(const BkTallyCrash *crash, const void *arg)
{
    return crash->sent_at < *(const BkMs *)arg;
}

void
BkTally_NoteWell(BkTally *tally, const BkTrait *trait, BkMs sent_at)
{
    BkTallyRow *row = find_row(tally, trait);

    if (row != NULL) {
        filter_crashes(tally, row, is_sent_before, &sent_at);
    }
}

bool
BkTally_IsContradicted(const BkTally *tally, const BkTrait *trait,
                       BkMs well_sent_at)
{
    const BkTallyRow *row = find_row(tally, trait);

    if (row == NULL || row->count + 1 < thresholds[trait->kind]) {
        return false;
    }
    for (int i = 0; i < row->count; i++) {
        if (row->crashes[i].sent_at < well_sent_at) {
            return true;
        }
    }
    return false;
}

bool
BkTally_IsHeld(const BkTally *tally, const BkTrait *trait, BkMs now)
{
    const BkTallyRow *row = find_row(tally, trait);

    return row != NULL && row->decide_at > now;
}

BkMs
BkTally_NextDecision(const BkTally *tally)
{
    BkMs next = 0;

    for (int i = 0; i < tally->count; i++) {
        BkMs at = tally->rows[i].decide_at;
        if (at != 0 && (next == 0 || at < next)) {
            next = at;
        }
    }
    return next;
}

static bool
is_stronger(const BkTallyRow *a, const BkTallyRow *b)
{
    if (b == NULL || a->count != b->count) {
        return b == NULL || a->count > b->count;
    }
    if (a->depth != b->depth) {
        return a->depth > b->depth;
    }
    return a->uncounted_count > b->uncounted_count;
}

static bool
is_crash_of(const BkTallyCrash *crash, const void *arg)
{
    const BkTallyRow *row = arg;

    return is_listed(row->crashes, row->count, &crash->crash);
}

static bool
is_same_group(const BkTallyRow *a, const BkTallyRow *b)
{
    return a->trait.service == b->trait.service &&
           a->trait.kind == b->trait.kind;
}

/* When a held row is decided that is likelier to have caused one of this row's
   crashes; 0: there is none. */
static BkMs
find_stronger_rival(const BkTally *tally, const BkTallyRow *row, BkMs now)
{
    for (int i = 0; i < tally->count; i++) {
        const BkTallyRow *rival = &tally->rows[i];
        if (rival->decide_at <= now || !is_same_group(rival, row) ||
            !is_stronger(rival, row)) {
            continue;
        }
        for (int k = 0; k < row->count; k++) {
            if (is_crash_of(&row->crashes[k], rival)) {
                return rival->decide_at;
            }
        }
    }
    return 0;
}

/* Whether processes of the service ended at the time of the row's crashes that
   did not run the trait. */
static bool
is_weak(const BkTally *tally, const BkTallyRow *row)
{
    BkMs since = row->crashes[0].crash.at - END_CONTEXT;

    for (int i = 0; i < BK_TALLY_MAX_ENDS && i < tally->end_count; i++) {
        const BkTallyEnd *end = &tally->ends[i];
        if (end->service == row->trait.service && !end->explained &&
            end->crash.at >= since && !ran_in(row, &end->crash)) {
            return true;
        }
    }
    return false;
}

static void
remove_explained(BkTally *tally, const BkTallyRow *convicted)
{
    for (int i = tally->count - 1; i >= 0; i--) {
        BkTallyRow *row = &tally->rows[i];
        if (is_same_group(row, convicted)) {
            filter_crashes(tally, row, is_crash_of, convicted);
        }
    }
}

bool
BkTally_TakeConvicted(BkTally *tally, BkMs now, BkTallyRow *out)
{
    BkTallyRow *strongest = NULL;

    for (int i = 0; i < tally->count; i++) {
        BkTallyRow *row = &tally->rows[i];
        if (row->decide_at == 0 || row->decide_at > now) {
            continue;
        }
        BkMs rival_decided_at = find_stronger_rival(tally, row, now);
        if (rival_decided_at != 0) {
            row->decide_at = rival_decided_at;
        }
        else if (is_stronger(row, strongest)) {
            strongest = row;
        }
    }
    if (strongest == NULL) {
        return false;
    }
    *out = *strongest;
    out->weak = is_weak(tally, out);
    remove_row(tally, strongest);
    remove_explained(tally, out);
    return true;
}

int
BkTally_CountCrashes(const BkTally *tally)
{
    int count = 0;

    for (int i = 0; i < tally->count; i++) {
        count += tally->rows[i].count;
    }
    return count;
}

void
BkTally_Forget(BkTally *tally, uint32_t service)
{
    for (int i = tally->count - 1; i >= 0; i--) {
        if (tally->rows[i].trait.service == service) {
            remove_row(tally, &tally->rows[i]);
        }
    }
}

static bool
is_before(const BkTallyCrash *crash, const void *arg)
{
    return crash->crash.at < *(const BkMs *)arg;
}

void
BkTally_Expire(BkTally *tally, BkMs now)
{
    BkMs oldest = now - BK_TALLY_MEMORY;

    for (int i = tally->count - 1; i >= 0; i--) {
        filter_crashes(tally, &tally->rows[i], is_before, &oldest);
    }
}
