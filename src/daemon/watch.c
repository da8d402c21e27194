#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "bk/daemon/internal.h"

/*
 * Polls a few upstreams a second, and all of a new view once, at most
 * MAX_POLLS at a time; reads the VM list and the operators' drains.
 */

enum {
    MAX_POLLS = 32,
    FIRST_POLLS_MS = 50, /* pause between batches of first polls */
    POLL_TIMEOUT_MS = 1000,
    MAX_STATE_BYTES = 256 * 1024,
    MAX_DRAINS = 500,
    LIST_READERS = 8, /* daemons that read a list in one poll_vms */
    URL_BYTES = 128
};

typedef struct Vm {
    char *name;
    bool listed;
    bool leaving;
    BkMs gone_since; /* BK_MS_NEVER while listed */
    uint32_t round;  /* list in which it was last seen */
} Vm;

typedef struct Poll Poll;

struct BkUpstreamWatch {
    BkDaemon *daemon;
    BkTimer *poll_timer;
    BkTimer *vms_timer;
    BkTimer *drains_timer;
    Poll *in_flight;
    int polls; /* in flight */
    Vm *vms;
    int vm_count;
    uint32_t round;
    uint32_t *drained; /* keys of upstreams */
    int drained_count;
    BkMs drained_at;   /* when they were read; BK_MS_NEVER: not yet */
    BkMs drains_asked; /* start of the read in flight */
};

struct Poll {
    BkUpstreamWatch *watch;
    char *upstream; /* by name: the view may be replaced meanwhile */
    BkHttpCall *call;
    Poll *prev;
    Poll *next;
};

static void
free_poll(Poll *poll)
{
    if (poll->prev != NULL) {
        poll->prev->next = poll->next;
    }
    else {
        poll->watch->in_flight = poll->next;
    }
    if (poll->next != NULL) {
        poll->next->prev = poll->prev;
    }
    free(poll->upstream);
    free(poll);
}

static void
take_state(const BkHttpResult *result, BkStr body, void *arg)
{
    Poll *poll = arg;
    BkDaemon *daemon = poll->watch->daemon;
    BkMs now = BkClock_Now();

    poll->watch->polls--;
    BkControl_CountBytes("poll", result);
    int up =
        BkBundle_FindUpstream(daemon->bundle, BkStr_FromC(poll->upstream));
    if (up >= 0) {
        bool good = result->status == BK_OK && result->code == 200;
        if (!good || BkView_ApplyState(daemon->view, up, body, now) != BK_OK) {
            BkView_NoteFailure(daemon->view, up, now);
        }
    }
    free_poll(poll);
}

static void
start_poll(BkUpstreamWatch *watch, int up, BkMs now)
{
    BkDaemon *daemon = watch->daemon;
    const BkUpstream *upstream = &daemon->bundle->upstreams[up];
    char url[URL_BYTES];
    Poll *poll = BkMem_New(1, sizeof(*poll));
    BkHttpSpec spec = {.method = "GET", .url = url};

    spec.timeout = POLL_TIMEOUT_MS;
    snprintf(url, sizeof(url), "http://%s/admin/state", upstream->addr);
    poll->watch = watch;
    poll->upstream = BkStr_Dup(BkStr_FromC(upstream->name));
    poll->next = watch->in_flight;
    if (poll->next != NULL) {
        poll->next->prev = poll;
    }
    watch->in_flight = poll;
    watch->polls++;
    BkView_NotePoll(daemon->view, up, now);
    poll->call = BkHttpClient_Fetch(daemon->http, &spec, MAX_STATE_BYTES,
                                    take_state, poll);
}

static bool
never_polled(const BkView *view, int up)
{
    return view->ups[up].polled_at == BK_MS_NEVER;
}

static void
poll_some(void *arg)
{
    BkUpstreamWatch *watch = arg;
    BkDaemon *daemon = watch->daemon;
    BkMs period = BK_MS_PER_S / daemon->conf->polls_per_second;
    BkMs next = period;
    BkMs now = BkClock_Now();

    while (daemon->view != NULL && watch->polls < MAX_POLLS) {
        int up = BkView_NextPoll(daemon->view, now, daemon->conf->min_poll_age,
                                 (uint32_t)BkRng_Next(&daemon->rng));
        if (up < 0) {
            break;
        }
        bool first = never_polled(daemon->view, up);
        start_poll(watch, up, now);
        if (!first) {
            break;
        }
        next = FIRST_POLLS_MS < period ? FIRST_POLLS_MS : period;
    }
    BkTimer_Start(watch->poll_timer, next);
}

static bool
is_drained(const BkUpstreamWatch *watch, uint32_t key)
{
    for (int i = 0; i < watch->drained_count; i++) {
        if (watch->drained[i] == key) {
            return true;
        }
    }
    return false;
}

static Vm *
find_vm(const BkUpstreamWatch *watch, const char *name)
{
    for (int i = 0; i < watch->vm_count; i++) {
        if (strcmp(watch->vms[i].name, name) == 0) {
            return &watch->vms[i];
        }
    }
    return NULL;
}

/* what the list and the drains say, put into the view */
static void
apply_to_view(BkUpstreamWatch *watch)
{
    BkDaemon *daemon = watch->daemon;

    if (daemon->view == NULL) {
        return;
    }
    for (int i = 0; i < daemon->view->count; i++) {
        const BkUpstream *upstream = &daemon->bundle->upstreams[i];
        const Vm *vm = find_vm(watch, upstream->name);
        bool out = vm != NULL && (!vm->listed || vm->leaving);
        BkView_SetExcluded(daemon->view, i,
                           out || is_drained(watch, upstream->key));
    }
}

void
BkUpstreamWatch_OnViewReplaced(BkUpstreamWatch *watch)
{
    apply_to_view(watch);
    BkTimer_Start(watch->poll_timer, 0);
}

/*
 * The word that a VM leaves is spread by gossip and holds for this start of
 * the upstream. A daemon whose first list shows a VM as leaving keeps that to
 * itself: the list lags, and the upstream may have come back since.
 */
static void
mark_leaving(BkUpstreamWatch *watch, const char *name)
{
    const BkDaemon *daemon = watch->daemon;

    if (daemon->view == NULL) {
        return;
    }
    int up = BkBundle_FindUpstream(daemon->bundle, BkStr_FromC(name));
    if (up >= 0) {
        BkView_SetLeaving(daemon->view, up);
    }
}

static void
take_vm(BkUpstreamWatch *watch, const char *name, bool leaving)
{
    Vm *vm = find_vm(watch, name);

    if (vm != NULL && vm->listed && !vm->leaving && leaving) {
        mark_leaving(watch, name);
    }
    if (vm == NULL) {
        watch->vms =
            BkMem_Grow(watch->vms, (size_t)watch->vm_count + 1, sizeof(Vm));
        vm = &watch->vms[watch->vm_count++];
        *vm = (Vm){.name = BkStr_Dup(BkStr_FromC(name))};
    }
    vm->listed = true;
    vm->leaving = leaving;
    vm->gone_since = BK_MS_NEVER;
    vm->round = watch->round;
}

static void
mark_gone(BkUpstreamWatch *watch, BkMs now)
{
    for (int i = 0; i < watch->vm_count; i++) {
        Vm *vm = &watch->vms[i];
        if (vm->round != watch->round && vm->listed) {
            vm->listed = false;
            vm->gone_since = now;
        }
    }
}

static void
take_vms(const BkPlatReply *reply, void *arg)
{
    BkUpstreamWatch *watch = arg;
    size_t i;
    json_t *row;

    if (reply->status != BK_OK) {
        return;
    }
    json_t *root = json_loadb(reply->body.ptr, reply->body.len, 0, NULL);
    json_t *list = json_object_get(root, "vms");
    if (json_is_array(list)) {
        watch->round++;
        json_array_foreach(list, i, row)
        {
            const char *name = json_string_value(json_object_get(row, "name"));
            const char *state =
                json_string_value(json_object_get(row, "state"));
            if (name != NULL && state != NULL) {
                take_vm(watch, name, strcmp(state, "leaving") == 0);
            }
        }
        mark_gone(watch, BkClock_Now());
        apply_to_view(watch);
    }
    json_decref(root);
}

int
BkUpstreamWatch_GetDrains(const BkUpstreamWatch *watch, uint32_t *keys,
                           int max, BkMs *at)
{
    if (watch->drained_at == BK_MS_NEVER || watch->drained_count > max) {
        return -1;
    }
    for (int i = 0; i < watch->drained_count; i++) {
        keys[i] = watch->drained[i];
    }
    *at = watch->drained_at;
    return watch->drained_count;
}

void
BkUpstreamWatch_ApplyDrains(BkUpstreamWatch *watch, const uint32_t *keys,
                           int count, BkMs at)
{
    if (watch->drained_at != BK_MS_NEVER && at <= watch->drained_at) {
        return;
    }
    watch->drained_at = at;
    watch->drained_count = count;
    watch->drained =
        BkMem_Grow(watch->drained, (size_t)count, sizeof(uint32_t));
    for (int i = 0; i < count; i++) {
        watch->drained[i] = keys[i];
    }
    apply_to_view(watch);
}

static void
take_drains(const BkPlatReply *reply, void *arg)
{
    BkUpstreamWatch *watch = arg;
    uint32_t keys[MAX_DRAINS];

    if (reply->status != BK_OK && reply->status != BK_ENOTFOUND) {
        return;
    }
    for (int i = 0; i < reply->count; i++) {
        keys[i] = BkBundle_Key(reply->rows[i].key);
    }
    BkUpstreamWatch_ApplyDrains(watch, keys, reply->count, watch->drains_asked);
}

static BkMs
jitter_period(BkDaemon *daemon, BkMs period)
{
    return period - period / 4 +
           (BkMs)BkRng_Below(&daemon->rng, (uint32_t)period / 4 + 1);
}

/*
 * Each daemon reads the VM list and the drains more rarely the more daemons
 * there are: together they still read them several times in each poll_vms,
 * and gossip tells the others.
 */
static BkMs
shared_period(const BkUpstreamWatch *watch)
{
    BkDaemon *daemon = watch->daemon;
    BkMs share = daemon->peers->count / LIST_READERS;

    return jitter_period(daemon, daemon->conf->vm_poll_period) *
           (share < 1 ? 1 : share);
}

static void
read_vms(void *arg)
{
    BkUpstreamWatch *watch = arg;

    BkTimer_Start(watch->vms_timer, shared_period(watch));
    BkPlat_ListVms(watch->daemon->plat, take_vms, watch);
}

static void
read_drains(void *arg)
{
    BkUpstreamWatch *watch = arg;

    BkTimer_Start(watch->drains_timer, shared_period(watch));
    watch->drains_asked = BkClock_Now();
    BkPlat_ListRows(watch->daemon->plat, BK_STR("drain"), BK_STR(""),
                    BK_STR(""), MAX_DRAINS, take_drains, watch);
}

BkUpstreamWatch *
BkUpstreamWatch_Create(BkDaemon *daemon)
{
    BkUpstreamWatch *watch = BkMem_New(1, sizeof(*watch));

    watch->daemon = daemon;
    watch->drained_at = BK_MS_NEVER;
    watch->poll_timer = BkTimer_Create(daemon->loop, poll_some, watch);
    watch->vms_timer = BkTimer_Create(daemon->loop, read_vms, watch);
    watch->drains_timer = BkTimer_Create(daemon->loop, read_drains, watch);
    BkTimer_Start(watch->poll_timer, 0);
    BkTimer_Start(watch->vms_timer, 0);
    BkTimer_Start(watch->drains_timer, 0);
    return watch;
}

void
BkUpstreamWatch_Destroy(BkUpstreamWatch *watch)
{
    if (watch == NULL) {
        return;
    }
    while (watch->in_flight != NULL) {
        BkHttpCall_Cancel(watch->in_flight->call);
        free_poll(watch->in_flight);
    }
    free(watch->drained);
    for (int i = 0; i < watch->vm_count; i++) {
        free(watch->vms[i].name);
    }
    free(watch->vms);
    BkTimer_Destroy(watch->poll_timer);
    BkTimer_Destroy(watch->vms_timer);
    BkTimer_Destroy(watch->drains_timer);
    free(watch);
}

BkMs
BkDaemon_VmGoneSince(const BkDaemon *daemon, const char *name)
{
    const Vm *vm = find_vm(daemon->watch, name);

    return vm == NULL ? BK_MS_NEVER : vm->gone_since;
}
