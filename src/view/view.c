#include "bk/view/view.h"

#include <stdlib.h>
#include <string.h>

enum {
    POLL_SPACING_MS = 250, /* minimum interval of own polls of an upstream */
    DRAW_SHIFT = 16        /* to the upper half of a draw's bits */
};

static void
clear_insts(BkUpView *up)
{
    for (int i = 0; i < up->inst_count; i++) {
        free(up->insts[i].name);
        free(up->insts[i].item);
        free(up->insts[i].version);
    }
    free(up->insts);
    up->insts = NULL;
    up->inst_count = 0;
}

/* moves the state of the same upstream from prev; false if prev has none */
static bool
move_state(BkUpView *up, const BkUpstream *upstream, BkView *prev)
{
    if (prev == NULL) {
        return false;
    }
    int old_index =
        BkBundle_FindUpstream(prev->bundle, BkStr_FromC(upstream->name));
    if (old_index < 0 ||
        strcmp(prev->bundle->upstreams[old_index].addr, upstream->addr) != 0) {
        return false;
    }
    *up = prev->ups[old_index];
    prev->ups[old_index].insts = NULL;
    prev->ups[old_index].inst_count = 0;
    return true;
}

BkView *
BkView_Create(const BkBundle *bundle, BkView *prev)
{
    BkView *view = BkMem_New(1, sizeof(*view));

    view->bundle = bundle;
    view->count = bundle->upstream_count;
    view->ups = BkMem_New((size_t)view->count, sizeof(BkUpView));
    view->generation = prev == NULL ? 1 : prev->generation + 1;
    for (int i = 0; i < view->count; i++) {
        if (!move_state(&view->ups[i], &bundle->upstreams[i], prev)) {
            view->ups[i].seen_at = BK_MS_NEVER;
            view->ups[i].failed_at = BK_MS_NEVER;
            view->ups[i].polled_at = BK_MS_NEVER;
        }
    }
    return view;
}

void
BkView_Destroy(BkView *view)
{
    if (view == NULL) {
        return;
    }
    for (int i = 0; i < view->count; i++) {
        clear_insts(&view->ups[i]);
    }
    free(view->ups);
    free(view);
}

void
BkView_NotePoll(BkView *view, int up_index, BkMs now)
{
    view->ups[up_index].polled_at = now;
}

void
BkView_SetExcluded(BkView *view, int up_index, bool excluded)
{
    if (view->ups[up_index].excluded != excluded) {
        view->ups[up_index].excluded = excluded;
        view->generation++;
    }
}

void
BkView_SetLeaving(BkView *view, int up_index)
{
    if (!view->ups[up_index].leaving) {
        view->ups[up_index].leaving = true;
        view->generation++;
    }
}

void
BkView_MarkListOutdated(BkView *view, int up_index)
{
    view->ups[up_index].insts_digest = ~view->ups[up_index].digest;
}

void
BkView_NoteFailure(BkView *view, int up_index, BkMs now)
{
    if (view->ups[up_index].failed_at == BK_MS_NEVER) {
        view->generation++;
    }
    view->ups[up_index].failed_at = now;
}

static bool
is_later(BkMs a, BkMs b)
{
    return b == BK_MS_NEVER || (a != BK_MS_NEVER && a > b);
}

void
BkView_ApplyObs(BkView *view, const BkObs *obs, BkMs now)
{
    int index = BkBundle_FindUpstreamByHash(view->bundle, obs->key);

    if (index < 0) {
        return;
    }
    BkUpView *up = &view->ups[index];
    /* leaving is final for this boot, so it is applied even from an older
       observation */
    if (obs->leaving && obs->boot == up->boot) {
        BkView_SetLeaving(view, index);
    }
    if (!is_later(now - obs->age, up->seen_at)) {
        return;
    }
    if (obs->boot != up->boot) {
        up->leaving = obs->leaving;
        up->boot = obs->boot;
        view->generation++;
    }
    up->seen_at = now - obs->age;
    up->digest = obs->digest;
    up->running = obs->running;
    up->waiting = obs->waiting;
    up->own_running_delta = 0;
    if (up->failed_at != BK_MS_NEVER && up->failed_at < up->seen_at) {
        up->failed_at = BK_MS_NEVER;
        view->generation++;
    }
}

/* order of gossip: leaving first, then the freshest */
static bool
precedes(const BkObs *a, const BkObs *b)
{
    if (a->leaving != b->leaving) {
        return a->leaving;
    }
    return a->age < b->age;
}

static void
insert_obs(BkObs *out, int *count, int max, const BkObs *obs)
{
    int pos = *count;

    if (pos == max) {
        if (!precedes(obs, &out[max - 1])) {
            return;
        }
        pos--;
    }
    else {
        (*count)++;
    }
    while (pos > 0 && precedes(obs, &out[pos - 1])) {
        out[pos] = out[pos - 1];
        pos--;
    }
    out[pos] = *obs;
}

int
BkView_SelectObs(const BkView *view, BkMs now, BkObs *out, int max)
{
    int count = 0;

    for (int i = 0; i < view->count; i++) {
        const BkUpView *up = &view->ups[i];
        if (up->seen_at == BK_MS_NEVER) {
            continue;
        }
        BkObs obs = {view->bundle->upstreams[i].name_hash,
                     up->boot,
                     up->digest,
                     now - up->seen_at,
                     up->running,
                     up->waiting,
                     up->leaving};
        insert_obs(out, &count, max, &obs);
    }
    return count;
}

/* time of the last observation or own poll; -1: never */
static BkMs
last_contact(const BkUpView *up)
{
    BkMs last = -1;

    if (up->seen_at != BK_MS_NEVER && up->seen_at > last) {
        last = up->seen_at;
    }
    if (up->polled_at != BK_MS_NEVER && up->polled_at > last) {
        last = up->polled_at;
    }
    return last;
}

static bool
is_list_outdated(const BkUpView *up)
{
    bool never_polled = up->polled_at == BK_MS_NEVER;

    return never_polled ||
           (up->seen_at != BK_MS_NEVER && up->insts_digest != up->digest);
}

/* whether to poll the upstream; *outdated: its instance list is outdated */
static bool
is_due(const BkUpView *up, BkMs now, BkMs min_age, bool *outdated)
{
    if (up->polled_at != BK_MS_NEVER &&
        now - up->polled_at < POLL_SPACING_MS) {
        return false;
    }
    BkMs last = last_contact(up);
    *outdated = is_list_outdated(up);
    return *outdated || last < 0 || now - last >= min_age;
}

/* the n-th due upstream with an outdated or a current instance list */
static int
find_due(const BkView *view, BkMs now, BkMs min_age, bool want_outdated,
         uint32_t n)
{
    for (int i = 0; i < view->count; i++) {
        bool outdated;
        if (is_due(&view->ups[i], now, min_age, &outdated) &&
            outdated == want_outdated && n-- == 0) {
            return i;
        }
    }
    return -1;
}

int
BkView_NextPoll(const BkView *view, BkMs now, BkMs min_age, uint32_t draw)
{
    uint32_t counts[2] = {0, 0}; /* of due upstreams: list current, outdated */

    for (int i = 0; i < view->count; i++) {
        bool outdated;
        if (is_due(&view->ups[i], now, min_age, &outdated)) {
            counts[outdated]++;
        }
    }
    bool want_outdated = counts[true] > 0;
    uint32_t count = counts[want_outdated];
    if (count == 0) {
        return -1;
    }
    uint32_t first = draw % count;
    uint32_t second = (draw >> DRAW_SHIFT) % count;
    int a = find_due(view, now, min_age, want_outdated, first);
    int b = find_due(view, now, min_age, want_outdated, second);
    return last_contact(&view->ups[b]) < last_contact(&view->ups[a]) ? b : a;
}

const BkInst *
BkView_FindReady(const BkView *view, int up_index, int item)
{
    const BkItem *wanted = &view->bundle->items[item];
    const BkUpView *up = &view->ups[up_index];
    const BkInst *other_version = NULL;

    for (int i = 0; i < up->inst_count; i++) {
        const BkInst *inst = &up->insts[i];
        if (inst->state != BK_INST_READY ||
            strcmp(inst->item, wanted->name) != 0) {
            continue;
        }
        if (strcmp(inst->version, wanted->version) == 0) {
            return inst;
        }
        other_version = inst;
    }
    return other_version;
}

static bool
is_fresh_and_in_service(const BkUpView *up, BkMs now, BkMs stale_after)
{
    if (up->leaving || up->excluded || up->seen_at == BK_MS_NEVER) {
        return false;
    }
    return now - up->seen_at <= stale_after;
}

bool
BkView_IsUsable(const BkView *view, int up_index, BkMs now, BkMs stale_after)
{
    const BkUpView *up = &view->ups[up_index];

    return up->failed_at == BK_MS_NEVER &&
           is_fresh_and_in_service(up, now, stale_after);
}

bool
BkView_IsSuspect(const BkView *view, int up_index, BkMs now, BkMs stale_after)
{
    const BkUpView *up = &view->ups[up_index];

    return up->failed_at != BK_MS_NEVER &&
           is_fresh_and_in_service(up, now, stale_after);
}
