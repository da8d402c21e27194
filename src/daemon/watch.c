#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "bk/base/utf8.h"
#include "bk/daemon/internal.h"

/*
 * Polls upstreams, a few per second. An upstream that a new view adds gets its
 * first poll without waiting for that rate. At most MAX_POLLS polls are in
 * flight. Reads the VM list and the operators' drains, and excludes the
 * upstreams that these say are leaving, gone or drained.
 */

enum {
    MAX_POLLS = 32,
    FIRST_POLLS_MS = 50, /* pause between batches of first polls */
    POLL_TIMEOUT_MS = 1000,
    MAX_STATE_BYTES = 256 * 1024,
    DRAINS_PER_PAGE = 500,
    LIST_READERS = 8, /* daemons that read a list in one vm_poll_period */
    URL_BYTES = 128
};

typedef struct Vm {
    char *name;
    bool listed; /* in the last list that was read */
    bool leaving;
    BkMs gone_since;      /* BK_MS_NEVER while listed */
    uint32_t list_number; /* of the last list that it was in */
} Vm;

typedef struct Poll Poll;

struct BkUpstreamWatch {
    BkDaemon *daemon;
    BkTimer *poll_timer;
    BkTimer *vms_timer;
    BkTimer *drains_timer;
    Poll *polls; /* in flight */
    int poll_count;
    Vm *vms; /* that were ever listed */
    int vm_count;
    uint32_t list_number; /* of the last VM list; counts the lists read */
    uint32_t *drained;    /* hashes of upstreams' names */
    int drained_count;
    BkMs drains_read_at; /* start of the read that returned them, by this or
                            another daemon; BK_MS_NEVER: not yet */
    BkMs drains_read_started_at; /* start of the own read in flight */
    bool reading_drains;         /* it has not ended */
    uint32_t *read_hashes;       /* what it has returned so far */
    int read_count;
};

struct Poll {
    BkUpstreamWatch *watch;
    /* name of the upstream; its index may change during the poll, when the
       view is replaced */
    char *upstream;
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
        poll->watch->polls = poll->next;
    }
    if (poll->next != NULL) {
        poll->next->prev = poll->prev;
    }
    free(poll->upstream);
    free(poll);
}

static void
on_upstream_state(const BkHttpResult *result, BkStr body, void *arg)
{
    Poll *poll = arg;
    BkDaemon *daemon = poll->watch->daemon;
    BkMs now = BkClock_Now();

    poll->watch->poll_count--;
    BkControl_CountBytes("poll", result);
    int up =
        BkBundle_FindUpstream(daemon->bundle, BkStr_FromC(poll->upstream));
    if (up >= 0) {
        bool got_state = result->status == BK_OK && result->http_status == 200;
        if (!got_state ||
            BkView_ApplyState(daemon->view, up, body, now) != BK_OK) {
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
    BkHttpCallSpec spec = {.method = "GET", .url = url};

    spec.timeout = POLL_TIMEOUT_MS;
    snprintf(url, sizeof(url), "http://%s/admin/state", upstream->addr);
    poll->watch = watch;
    poll->upstream = BkStr_Dup(BkStr_FromC(upstream->name));
    poll->next = watch->polls;
    if (poll->next != NULL) {
        poll->next->prev = poll;
    }
    watch->polls = poll;
    watch->poll_count++;
    BkView_NotePoll(daemon->view, up, now);
    poll->call = BkHttpClient_Fetch(daemon->http, &spec, MAX_STATE_BYTES,
                                    on_upstream_state, poll);
}

static bool
never_polled(const BkView *view, int up)
{
    return view->ups[up].polled_at == BK_MS_NEVER;
}

/* Polls an upstream that is due. If it was never polled before, polls another
   one, and so on, as far as MAX_POLLS allows. */
static void
on_poll_timer(void *arg)
{
    BkUpstreamWatch *watch = arg;
    BkDaemon *daemon = watch->daemon;
    BkMs period = BK_MS_PER_S / daemon->conf->polls_per_second;
    BkMs delay = period;
    BkMs now = BkClock_Now();

    while (daemon->view != NULL && watch->poll_count < MAX_POLLS) {
        int up = BkView_NextPoll(daemon->view, now, daemon->conf->min_poll_age,
                                 (uint32_t)BkRng_Next(&daemon->rng));
        if (up < 0) {
            break;
        }
        bool is_first_poll = never_polled(daemon->view, up);
        start_poll(watch, up, now);
        if (!is_first_poll) {
            break;
        }
        delay = FIRST_POLLS_MS < period ? FIRST_POLLS_MS : period;
    }
    BkTimer_Start(watch->poll_timer, delay);
}

static bool
is_drained(const BkUpstreamWatch *watch, uint32_t name_hash)
{
    for (int i = 0; i < watch->drained_count; i++) {
        if (watch->drained[i] == name_hash) {
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

/* Excludes the upstreams in the view whose VM is leaving or no longer listed,
   or that are drained, and no others. A VM has the same name as the upstream
   that runs on it. */
static void
update_exclusions(BkUpstreamWatch *watch)
{
    BkDaemon *daemon = watch->daemon;

    if (daemon->view == NULL) {
        return;
    }
    for (int i = 0; i < daemon->view->count; i++) {
        const BkUpstream *upstream = &daemon->bundle->upstreams[i];
        const Vm *vm = find_vm(watch, upstream->name);
        bool left_or_leaving = vm != NULL && (!vm->listed || vm->leaving);
        BkView_SetExcluded(daemon->view, i,
                           left_or_leaving ||
                               is_drained(watch, upstream->name_hash));
    }
}

void
BkUpstreamWatch_OnViewReplaced(BkUpstreamWatch *watch)
{
    update_exclusions(watch);
    BkTimer_Start(watch->poll_timer, 0);
}

/*
 * Marks the upstream on this VM as leaving. Gossip spreads the mark, and it
 * stays until the upstream restarts. So it is set only if this daemon sees the
 * VM change to leaving, not if the first list that has the VM shows it so: the
 * list lags, and the upstream may have come back since.
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
apply_vm(BkUpstreamWatch *watch, const char *name, bool leaving)
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
    vm->list_number = watch->list_number;
}

static void
mark_unlisted(BkUpstreamWatch *watch, BkMs now)
{
    for (int i = 0; i < watch->vm_count; i++) {
        Vm *vm = &watch->vms[i];
        if (vm->list_number != watch->list_number && vm->listed) {
            vm->listed = false;
            vm->gone_since = now;
        }
    }
}

static void
on_vm_list(const BkPlatReply *reply, void *arg)
{
    BkUpstreamWatch *watch = arg;
    size_t i;
    json_t *row;
    bool repaired;

    if (reply->status != BK_OK) {
        return;
    }
    json_t *root = BkUtf8_LoadJson(reply->body, &repaired);
    json_t *list = json_object_get(root, "vms");
    if (json_is_array(list)) {
        watch->list_number++;
        json_array_foreach(list, i, row)
        {
            const json_t *name = json_object_get(row, "name");
            const char *state =
                json_string_value(json_object_get(row, "state"));
            if (!json_is_string(name) || state == NULL ||
                (repaired && BkUtf8_WasRepaired(name))) {
                BK_LOG(BK_LOG_WARNING, "daemon", NULL,
                       "ignored a VM whose name or state cannot be read");
                continue;
            }
            apply_vm(watch, json_string_value(name),
                     strcmp(state, "leaving") == 0);
        }
        mark_unlisted(watch, BkClock_Now());
        update_exclusions(watch);
    }
    json_decref(root);
}

int
BkUpstreamWatch_GetDrains(const BkUpstreamWatch *watch, uint32_t *name_hashes,
                          int max, BkMs *read_at)
{
    if (watch->drains_read_at == BK_MS_NEVER || watch->drained_count > max) {
        return -1;
    }
    for (int i = 0; i < watch->drained_count; i++) {
        name_hashes[i] = watch->drained[i];
    }
    *read_at = watch->drains_read_at;
    return watch->drained_count;
}

void
BkUpstreamWatch_ApplyDrains(BkUpstreamWatch *watch,
                            const uint32_t *name_hashes, int count,
                            BkMs read_at)
{
    if (watch->drains_read_at != BK_MS_NEVER &&
        read_at <= watch->drains_read_at) {
        return;
    }
    watch->drains_read_at = read_at;
    watch->drained_count = count;
    watch->drained =
        BkMem_Grow(watch->drained, (size_t)count, sizeof(uint32_t));
    for (int i = 0; i < count; i++) {
        watch->drained[i] = name_hashes[i];
    }
    update_exclusions(watch);
}

static void on_drains_read(const BkPlatReply *reply, void *arg);

static void
read_drains_page(BkUpstreamWatch *watch, BkStr after_key)
{
    BkPlat_ListRows(watch->daemon->plat, BK_STR("drain"), BK_STR(""),
                    after_key, DRAINS_PER_PAGE, on_drains_read, watch);
}

static void
on_drains_read(const BkPlatReply *reply, void *arg)
{
    BkUpstreamWatch *watch = arg;

    if (reply->status != BK_OK && reply->status != BK_ENOTFOUND) {
        watch->reading_drains = false;
        return;
    }
    watch->read_hashes = BkMem_Grow(
        watch->read_hashes, (size_t)(watch->read_count + reply->count) + 1,
        sizeof(uint32_t));
    for (int i = 0; i < reply->count; i++) {
        watch->read_hashes[watch->read_count++] =
            BkBundle_NameHash(reply->rows[i].key);
    }
    if (reply->has_more) {
        read_drains_page(watch, reply->last_key);
        return;
    }
    watch->reading_drains = false;
    BkUpstreamWatch_ApplyDrains(watch, watch->read_hashes, watch->read_count,
                                watch->drains_read_started_at);
}

/* The period, less a random part of up to a quarter. */
static BkMs
jitter_period(BkDaemon *daemon, BkMs period)
{
    return period - period / 4 +
           (BkMs)BkRng_Below(&daemon->rng, (uint32_t)period / 4 + 1);
}

/*
 * The time until this daemon reads the VM list, or the drains, again. The more
 * daemons there are, the less often each one reads them. Together they still
 * read them several times in each vm_poll_period, and gossip spreads what they
 * read.
 */
static BkMs
shared_period(const BkUpstreamWatch *watch)
{
    BkDaemon *daemon = watch->daemon;
    BkMs factor = daemon->peers->count / LIST_READERS;

    return jitter_period(daemon, daemon->conf->vm_poll_period) *
           (factor < 1 ? 1 : factor);
}

static void
read_vms(void *arg)
{
    BkUpstreamWatch *watch = arg;

    BkTimer_Start(watch->vms_timer, shared_period(watch));
    BkPlat_ListVms(watch->daemon->plat, on_vm_list, watch);
}

static void
read_drains(void *arg)
{
    BkUpstreamWatch *watch = arg;

    BkTimer_Start(watch->drains_timer, shared_period(watch));
    if (watch->reading_drains) {
        return;
    }
    watch->reading_drains = true;
    watch->read_count = 0;
    watch->drains_read_started_at = BkClock_Now();
    read_drains_page(watch, BK_STR(""));
}

BkUpstreamWatch *
BkUpstreamWatch_Create(BkDaemon *daemon)
{
    BkUpstreamWatch *watch = BkMem_New(1, sizeof(*watch));

    watch->daemon = daemon;
    watch->drains_read_at = BK_MS_NEVER;
    watch->poll_timer = BkTimer_Create(daemon->loop, on_poll_timer, watch);
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
    while (watch->polls != NULL) {
        BkHttpCall_Cancel(watch->polls->call);
        free_poll(watch->polls);
    }
    free(watch->drained);
    free(watch->read_hashes);
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
