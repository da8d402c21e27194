#include "bk/view/view.h"

#include <stdlib.h>
#include <string.h>

enum {
    POLL_SPACING_MS = 250, /* a poll that is this young is not made again */
    DRAW_SHIFT = 16        /* half of the bits of a draw */
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

/* moves what prev knew about the same upstream, if it has it */
static bool
take_over(BkUpView *up, const BkUpstream *spec, BkView *prev)
{
    if (prev == NULL) {
        return false;
    }
    int old = BkBundle_FindUpstream(prev->bundle, BkStr_FromC(spec->name));
    if (old < 0 ||
        strcmp(prev->bundle->upstreams[old].addr, spec->addr) != 0) {
        return false;
    }
    *up = prev->ups[old];
    prev->ups[old].insts = NULL;
    prev->ups[old].inst_count = 0;
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
        if (!take_over(&view->ups[i], &bundle->upstreams[i], prev)) {
            view->ups[i].seen = BK_MS_NEVER;
            view->ups[i].failed = BK_MS_NEVER;
            view->ups[i].polled = BK_MS_NEVER;
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
BkView_Polled(BkView *view, int up, BkMs now)
{
    view->ups[up].polled = now;
}

void
BkView_SetLeft(BkView *view, int up, bool left)
{
    if (view->ups[up].left != left) {
        view->ups[up].left = left;
        view->generation++;
    }
}

void
BkView_SetLeaving(BkView *view, int up)
{
    if (!view->ups[up].leaving) {
        view->ups[up].leaving = true;
        view->generation++;
    }
}

void
BkView_TakeFailure(BkView *view, int up, BkMs now)
{
    if (view->ups[up].failed == BK_MS_NEVER) {
        view->generation++;
    }
    view->ups[up].failed = now;
}

static bool
is_after(BkMs a, BkMs b)
{
    return b == BK_MS_NEVER || (a != BK_MS_NEVER && a > b);
}

void
BkView_TakeObs(BkView *view, const BkObs *obs, BkMs now)
{
    int index = BkBundle_FindUpstreamKey(view->bundle, obs->key);

    if (index < 0) {
        return;
    }
    BkUpView *up = &view->ups[index];
    /* the word that it leaves counts even when it is old: it holds for the
       whole life of this start of the upstream */
    if (obs->leaving && obs->boot == up->boot) {
        BkView_SetLeaving(view, index);
    }
    if (!is_after(now - obs->age, up->seen)) {
        return;
    }
    if (obs->boot != up->boot) {
        up->leaving = obs->leaving;
        up->boot = obs->boot;
        view->generation++;
    }
    up->seen = now - obs->age;
    up->digest = obs->digest;
    up->running = obs->running;
    up->waiting = obs->waiting;
    up->sent_since = 0;
    if (up->failed != BK_MS_NEVER && up->failed < up->seen) {
        up->failed = BK_MS_NEVER;
        view->generation++;
    }
}

/* leaving ones first, then by age */
static bool
more_worth(const BkObs *a, const BkObs *b)
{
    if (a->leaving != b->leaving) {
        return a->leaving;
    }
    return a->age < b->age;
}

static void
insert_obs(BkObs *out, int *count, int max, const BkObs *obs)
{
    int at = *count;

    if (at == max) {
        if (!more_worth(obs, &out[max - 1])) {
            return;
        }
        at--;
    }
    else {
        (*count)++;
    }
    while (at > 0 && more_worth(obs, &out[at - 1])) {
        out[at] = out[at - 1];
        at--;
    }
    out[at] = *obs;
}

int
BkView_Tell(const BkView *view, BkMs now, BkObs *out, int max)
{
    int count = 0;

    for (int i = 0; i < view->count; i++) {
        const BkUpView *up = &view->ups[i];
        if (up->seen == BK_MS_NEVER) {
            continue;
        }
        BkObs obs = {view->bundle->upstreams[i].key,
                     up->boot,
                     up->digest,
                     now - up->seen,
                     up->running,
                     up->waiting,
                     up->leaving};
        insert_obs(out, &count, max, &obs);
    }
    return count;
}

/* when something was last learned or tried; -1 for never */
static BkMs
last_touch(const BkUpView *up)
{
    BkMs last = -1;

    if (up->seen != BK_MS_NEVER && up->seen > last) {
        last = up->seen;
    }
    if (up->polled != BK_MS_NEVER && up->polled > last) {
        last = up->polled;
    }
    return last;
}

static bool
list_is_old(const BkUpView *up)
{
    bool never = up->polled == BK_MS_NEVER;

    return never ||
           (up->seen != BK_MS_NEVER && up->insts_digest != up->digest);
}

/* whether it may be polled; *old: its instance list is out of date */
static bool
is_due(const BkUpView *up, BkMs now, BkMs least_age, bool *old)
{
    if (up->polled != BK_MS_NEVER && now - up->polled < POLL_SPACING_MS) {
        return false;
    }
    BkMs touch = last_touch(up);
    *old = list_is_old(up);
    return *old || touch < 0 || now - touch >= least_age;
}

/* the n-th upstream that is due and whose list is old, or not */
static int
find_due(const BkView *view, BkMs now, BkMs least_age, bool want_old,
         uint32_t n)
{
    for (int i = 0; i < view->count; i++) {
        bool old;
        if (is_due(&view->ups[i], now, least_age, &old) && old == want_old &&
            n-- == 0) {
            return i;
        }
    }
    return -1;
}

int
BkView_NextPoll(const BkView *view, BkMs now, BkMs least_age, uint32_t draw)
{
    uint32_t counts[2] = {0, 0}; /* due with a list in order, out of date */

    for (int i = 0; i < view->count; i++) {
        bool old;
        if (is_due(&view->ups[i], now, least_age, &old)) {
            counts[old]++;
        }
    }
    bool want_old = counts[true] > 0;
    uint32_t count = counts[want_old];
    if (count == 0) {
        return -1;
    }
    uint32_t first = draw % count;
    uint32_t second = (draw >> DRAW_SHIFT) % count;
    int a = find_due(view, now, least_age, want_old, first);
    int b = find_due(view, now, least_age, want_old, second);
    return last_touch(&view->ups[b]) < last_touch(&view->ups[a]) ? b : a;
}

const BkInst *
BkView_FindReady(const BkView *view, int up, int item)
{
    const BkItem *wanted = &view->bundle->items[item];
    const BkUpView *seen = &view->ups[up];
    const BkInst *other = NULL;

    for (int i = 0; i < seen->inst_count; i++) {
        const BkInst *inst = &seen->insts[i];
        if (inst->state != BK_INST_READY ||
            strcmp(inst->item, wanted->name) != 0) {
            continue;
        }
        if (strcmp(inst->version, wanted->version) == 0) {
            return inst;
        }
        other = inst;
    }
    return other;
}

static bool
seen_lately(const BkUpView *seen, BkMs now, BkMs stale_after)
{
    if (seen->leaving || seen->left || seen->seen == BK_MS_NEVER) {
        return false;
    }
    return now - seen->seen <= stale_after;
}

bool
BkView_Usable(const BkView *view, int up, BkMs now, BkMs stale_after)
{
    const BkUpView *seen = &view->ups[up];

    return seen->failed == BK_MS_NEVER && seen_lately(seen, now, stale_after);
}

bool
BkView_Suspect(const BkView *view, int up, BkMs now, BkMs stale_after)
{
    const BkUpView *seen = &view->ups[up];

    return seen->failed != BK_MS_NEVER && seen_lately(seen, now, stale_after);
}
