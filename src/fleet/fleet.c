#include "bk/fleet/fleet.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"

enum {
    /* after an outage of the store, and for a report that is missing from
       a complete list around an outage: the platform specifies that expired
       reports are written again within about two seconds of the store's
       recovery */
    OUTAGE_GRACE_MS = 2000,
    /* for a single report that the store says was removed, around an outage:
       this may mean that the upstream left, and requests must stop
       within two seconds of that */
    SINGLE_REMOVAL_GRACE_MS = 1200,
    /* in which no request goes to an upstream for an adapter that it lacked;
       doubles up to the second while it lacks it again */
    FIRST_LACK_MS = 60,
    MAX_LACK_MS = 1000,
    /* after such a time, in which a further refusal counts as one more */
    LACK_MEMORY_MS = 2000
};

void
BkUpReport_Destroy(BkUpReport *report)
{
    free(report->id);
    free(report->address);
    free(report->service);
    free(report->domain);
    free(report->software);
    for (int i = 0; i < report->model_count; i++) {
        for (int k = 0; k < report->models[i].adapter_count; k++) {
            free(report->models[i].adapters[k]);
        }
        free(report->models[i].adapters);
        free(report->models[i].name);
    }
    free(report->models);
    for (int i = 0; i < report->cached_in_memory_count; i++) {
        free(report->cached_in_memory[i]);
    }
    free(report->cached_in_memory);
    for (int i = 0; i < report->cached_on_disk_count; i++) {
        free(report->cached_on_disk[i]);
    }
    free(report->cached_on_disk);
    *report = (BkUpReport){0};
}

BkUp *
BkUp_Ref(BkUp *up)
{
    up->refs++;
    return up;
}

void
BkUp_Unref(BkUp *up)
{
    if (--up->refs > 0) {
        return;
    }
    free(up->id);
    free(up->address);
    free(up->service);
    free(up->domain);
    free(up->software);
    free(up);
}

void
BkFleet_Destroy(BkFleet *fleet)
{
    for (int i = 0; i < fleet->count; i++) {
        BkUp_Unref(fleet->ups[i]);
    }
    for (int i = 0; i < fleet->replaced_count; i++) {
        BkUp_Unref(fleet->replaced[i]);
    }
    free(fleet->ups);
    free(fleet->replaced);
    *fleet = (BkFleet){0};
}

/* index of the upstream, or where to insert it if it was not found */
static int
find_index(const BkFleet *fleet, BkStr id, bool *found)
{
    int low = 0;
    int high = fleet->count;

    *found = false;
    while (low < high) {
        int mid = (low + high) / 2;
        int cmp = BkStr_Compare(BkStr_FromC(fleet->ups[mid]->id), id);
        if (cmp == 0) {
            *found = true;
            return mid;
        }
        if (cmp < 0) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return low;
}

BkUp *
BkFleet_Find(const BkFleet *fleet, BkStr id)
{
    bool found;
    int index = find_index(fleet, id, &found);

    return found ? fleet->ups[index] : NULL;
}

BkUp *
BkFleet_FindByKey(const BkFleet *fleet, uint32_t key)
{
    for (int i = 0; i < fleet->count; i++) {
        if (fleet->ups[i]->key == key) {
            return fleet->ups[i];
        }
    }
    return NULL;
}

static void
insert_up(BkFleet *fleet, int index, BkUp *up)
{
    if (fleet->count == fleet->cap) {
        fleet->cap = fleet->cap == 0 ? 32 : fleet->cap * 2;
        fleet->ups =
            BkMem_Grow(fleet->ups, (size_t)fleet->cap, sizeof(BkUp *));
    }
    memmove(fleet->ups + index + 1, fleet->ups + index,
            (size_t)(fleet->count - index) * sizeof(BkUp *));
    fleet->ups[index] = up;
    fleet->count++;
}

static void
remove_at(BkFleet *fleet, int index)
{
    BkUp_Unref(fleet->ups[index]);
    fleet->count--;
    memmove(fleet->ups + index, fleet->ups + index + 1,
            (size_t)(fleet->count - index) * sizeof(BkUp *));
}

/* Keeps the upstream until its requests and connections have ended. */
static void
retire_at(BkFleet *fleet, int index)
{
    BkUp *up = BkUp_Ref(fleet->ups[index]);

    remove_at(fleet, index);
    fleet->replaced = BkMem_Grow(
        fleet->replaced, (size_t)fleet->replaced_count + 1, sizeof(BkUp *));
    fleet->replaced[fleet->replaced_count++] = up;
}

const char *
BkUp_StateName(BkUpState state)
{
    static const char *const names[] = {"listed", "missing", "leaving",
                                        "gone"};

    return names[state];
}

static void
set_state(BkFleet *fleet, BkUp *up, BkUpState state, BkMs now, const char *why)
{
    if (up->state == state) {
        return;
    }
    BkLog_Event(BK_LOG_INFO, "fleet", NULL, "upstream",
                "s:s, s:s, s:s, s:s, s:I", "id", up->id, "was",
                BkUp_StateName(up->state), "is", BkUp_StateName(state), "why",
                why, "version", (json_int_t)up->row_version);
    up->state = state;
    up->state_since = now;
    up->announced_leaving = up->announced_leaving || state == BK_UP_LEAVING;
    fleet->generation++;
}

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
    BkStr port = BkStr_FromC(text);
    BkStr host = BkStr_Split(&port, ':');
    char ip[INET_ADDRSTRLEN];
    uint64_t port_number = 0;

    *out = (struct sockaddr_in){.sin_family = AF_INET};
    if (host.len >= sizeof(ip) || BkStr_ToU64(port, &port_number) != BK_OK ||
        port_number == 0 || port_number > UINT16_MAX) {
        return false;
    }
    memcpy(ip, host.ptr, host.len);
    ip[host.len] = '\0';
    out->sin_port = htons((uint16_t)port_number);
    return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

/* stores the keys of up to max names; returns how many */
static int
store_name_keys(uint32_t *keys, int max, char *const *names, int count)
{
    int n = count < max ? count : max;

    for (int i = 0; i < n; i++) {
        keys[i] = BkStr_NameHash(BkStr_FromC(names[i]));
    }
    return n;
}

/* unloading a model unloads its adapters too */
static void
drop_orphan_adapters(BkUp *up)
{
    int kept = 0;

    for (int i = 0; i < up->adapter_count; i++) {
        if (BkUp_HasModel(up, up->adapters[i].model)) {
            up->adapters[kept++] = up->adapters[i];
        }
    }
    up->adapter_count = kept;
}

/* Adapters are loaded and unloaded more often than reports are written, so an
   adapter that is missing in a report may be loaded nevertheless: it is kept
   until the planner announces its unload or the upstream refuses a request
   for it. */
static void
apply_models(BkUp *up, const BkUpReport *report, BkMs now)
{
    up->model_count = 0;
    for (int i = 0; i < report->model_count; i++) {
        const BkLoadedModel *entry = &report->models[i];
        uint32_t model = BkStr_NameHash(BkStr_FromC(entry->name));
        if (model == up->closed_model && now < up->closed_until) {
            continue;
        }
        BkUp_SetModelLoaded(up, model, true);
        for (int k = 0; k < entry->adapter_count; k++) {
            BkUp_SetAdapterLoaded(
                up, model, BkStr_NameHash(BkStr_FromC(entry->adapters[k])),
                true);
        }
    }
    drop_orphan_adapters(up);
}

static void
set_cached_weights(BkUp *up, const BkUpReport *report)
{
    up->cached_in_memory_count = store_name_keys(
        up->cached_in_memory, BK_UP_MAX_CACHED, report->cached_in_memory,
        report->cached_in_memory_count);
    up->cached_on_disk_count =
        store_name_keys(up->cached_on_disk, BK_UP_MAX_CACHED,
                        report->cached_on_disk, report->cached_on_disk_count);
}

bool
BkUp_ApplyPolledState(BkUp *up, const BkUpReport *polled, uint64_t order_count,
                      BkMs now)
{
    if (up->order_count_known && order_count < up->order_count) {
        return false;
    }
    up->order_count_known = true;
    up->order_count = order_count;
    set_cached_weights(up, polled);
    up->adapter_count = 0;
    apply_models(up, polled, now);
    return true;
}

void
BkUp_CloseModel(BkUp *up, uint32_t model, BkMs until)
{
    up->closed_model = model;
    up->closed_until = until;
    BkUp_SetModelLoaded(up, model, false);
}

static BkUp *
create_up(const BkUpReport *report, BkMs now)
{
    BkUp *up = BkMem_New(1, sizeof(*up));

    up->refs = 1;
    up->throttle = BkThrottle_Make();
    up->id = BkStr_Dup(BkStr_FromC(report->id));
    up->key = BkStr_NameHash(BkStr_FromC(report->id));
    up->address = BkStr_Dup(BkStr_FromC(report->address));
    up->service = BkStr_Dup(BkStr_FromC(report->service));
    up->service_key = BkStr_NameHash(BkStr_FromC(report->service));
    up->domain = BkStr_Dup(BkStr_FromC(report->domain));
    up->software = BkStr_Dup(
        BkStr_FromC(report->software == NULL ? "" : report->software));
    up->software_key = BkStr_NameHash(BkStr_FromC(up->software));
    up->started_at = report->started_at;
    up->state = BK_UP_LISTED;
    up->state_since = now;
    up->last_response_at = BK_MS_NEVER;
    if (!parse_address(report->address, &up->sockaddr)) {
        up->state = BK_UP_GONE;
    }
    return up;
}

BkUp *
BkUp_CreateDaemon(const char *name, const char *address, const char *domain)
{
    BkUpReport report = {.id = (char *)name,
                         .address = (char *)address,
                         .service = "",
                         .domain = (char *)domain};
    BkUp *up = create_up(&report, 0);

    up->is_daemon = true;
    return up;
}

/* false: another process reports under the same id */
static bool
is_same_process(const BkUp *up, const BkUpReport *report)
{
    return (up->started_at == report->started_at || report->started_at == 0) &&
           (report->software == NULL ||
            strcmp(up->software, report->software) == 0) &&
           strcmp(up->address, report->address) == 0 &&
           strcmp(up->service, report->service) == 0;
}

static BkUp *
find_or_add(BkFleet *fleet, const BkUpReport *report, BkMs now)
{
    bool found;
    int index = find_index(fleet, BkStr_FromC(report->id), &found);

    if (found && is_same_process(fleet->ups[index], report)) {
        return fleet->ups[index];
    }
    if (found) {
        set_state(fleet, fleet->ups[index], BK_UP_GONE, now,
                  "another process reports under this id");
        retire_at(fleet, index);
    }
    BkUp *up = create_up(report, now);
    insert_up(fleet, index, up);
    BkLog_Event(BK_LOG_INFO, "fleet", NULL, "upstream",
                "s:s, s:s, s:s, s:I, s:s", "id", up->id, "is", "listed",
                "address", up->address, "born", (json_int_t)up->started_at,
                "software", up->software);
    return up;
}

static void
apply_state(BkFleet *fleet, BkUp *up, const BkUpReport *report, BkMs now)
{
    if (report->draining) {
        if (up->state != BK_UP_GONE) {
            set_state(fleet, up, BK_UP_LEAVING, now,
                      "its report says draining");
        }
        return;
    }
    /* A new report undoes missing and gone, but not leaving. Port 0: the
       upstream has no usable address. */
    if (up->state == BK_UP_MISSING ||
        (up->state == BK_UP_GONE && !up->announced_leaving &&
         up->sockaddr.sin_port != 0)) {
        set_state(fleet, up, BK_UP_LISTED, now, "it reported again");
    }
}

/* whether the report says nothing that is not known of the upstream */
static bool
is_outdated(BkUp *up, const BkUpReport *report, uint64_t version, BkMs now)
{
    if (report->started_at != 0 && report->started_at < up->started_at) {
        return true; /* of the process before, in an older copy of the store */
    }
    if (up->withheld && now < up->withheld_until && up->row_version == 0) {
        up->row_version = version;
        return true;
    }
    return version != 0 && version <= up->row_version &&
           !(up->withheld && now >= up->withheld_until);
}

BkUp *
BkFleet_ApplyReport(BkFleet *fleet, const BkUpReport *report, uint64_t version,
                    BkMs now)
{
    BkUp *previous = BkFleet_Find(fleet, BkStr_FromC(report->id));

    if (previous != NULL) {
        previous->in_list = true;
        if (is_outdated(previous, report, version, now)) {
            return previous;
        }
    }
    BkUp *up = find_or_add(fleet, report, now);
    up->in_list = true;
    up->removed = false;
    up->withheld = false;
    up->row_version = version;
    up->slots = report->slots;
    up->cold_until = now + report->cold_for;
    set_cached_weights(up, report);
    apply_models(up, report, now);
    apply_state(fleet, up, report, now);
    fleet->generation++;
    return up;
}

static void
note_lost_report(BkFleet *fleet, BkUp *up, BkMs grace, BkMs now)
{
    bool store_outage = now < fleet->store_outage_grace_until;

    up->removed = true;
    if (up->state == BK_UP_LISTED && store_outage) {
        up->missing_grace = grace;
        set_state(fleet, up, BK_UP_MISSING, now,
                  "its report expired around an outage of the store");
    }
    else if (up->state != BK_UP_MISSING) {
        set_state(fleet, up, BK_UP_GONE, now, "its report was removed");
    }
}

void
BkFleet_ApplyRemoval(BkFleet *fleet, BkStr id, uint64_t version, BkMs now)
{
    BkUp *up = BkFleet_Find(fleet, id);

    if (up == NULL || version <= up->row_version) {
        return;
    }
    up->row_version = version;
    note_lost_report(fleet, up, SINGLE_REMOVAL_GRACE_MS, now);
}

void
BkFleet_ApplyToldRemoval(BkFleet *fleet, uint32_t key, uint64_t version,
                         BkMs now)
{
    const BkUp *up = BkFleet_FindByKey(fleet, key);

    if (up != NULL) {
        BkFleet_ApplyRemoval(fleet, BkStr_FromC(up->id), version, now);
    }
}

void
BkFleet_BeginList(BkFleet *fleet)
{
    for (int i = 0; i < fleet->count; i++) {
        fleet->ups[i]->in_list = false;
    }
}

void
BkFleet_EndList(BkFleet *fleet, uint64_t version, BkMs now)
{
    for (int i = 0; i < fleet->count; i++) {
        BkUp *up = fleet->ups[i];
        if (!up->in_list && up->row_version < version) {
            up->row_version = version;
            /* these removals have no versions of their own: they count as one
               change, at the list's version */
            fleet->version = version;
            note_lost_report(fleet, up, OUTAGE_GRACE_MS, now);
        }
    }
    if (!fleet->list_complete) {
        fleet->list_complete = true;
        fleet->watched_since = now;
    }
}

void
BkFleet_BeginEra(BkFleet *fleet, BkMs now)
{
    for (int i = 0; i < fleet->count; i++) {
        BkUp *up = fleet->ups[i];
        up->row_version = 0;
        up->removed = false;
        up->withheld = up->state == BK_UP_GONE;
        up->withheld_until = now + BK_FLEET_WITHHOLD_MS;
    }
    fleet->version = 0;
    BkFleet_NoteStoreOutage(fleet, now);
}

bool
BkFleet_HasWithheld(const BkFleet *fleet)
{
    for (int i = 0; i < fleet->count; i++) {
        if (fleet->ups[i]->withheld) {
            return true;
        }
    }
    return false;
}

void
BkFleet_NoteStoreOutage(BkFleet *fleet, BkMs now)
{
    fleet->store_outage_grace_until = now + OUTAGE_GRACE_MS;
}

void
BkFleet_MarkLeaving(BkFleet *fleet, BkUp *up, BkMs now)
{
    if (up->state != BK_UP_GONE) {
        set_state(fleet, up, BK_UP_LEAVING, now,
                  "the upstream or another daemon announced that it leaves");
    }
}

void
BkFleet_MarkGone(BkFleet *fleet, BkUp *up, BkMs now)
{
    set_state(fleet, up, BK_UP_GONE, now,
              "another process responded at its address");
}

void
BkFleet_Sweep(BkFleet *fleet, BkMs now)
{
    for (int i = fleet->replaced_count - 1; i >= 0; i--) {
        if (fleet->replaced[i]->refs == 1) {
            BkUp_Unref(fleet->replaced[i]);
            fleet->replaced[i] = fleet->replaced[--fleet->replaced_count];
        }
    }
    for (int i = fleet->count - 1; i >= 0; i--) {
        BkUp *up = fleet->ups[i];
        BkMs elapsed = now - up->state_since;
        if (up->state == BK_UP_MISSING && elapsed >= up->missing_grace) {
            set_state(fleet, up, BK_UP_GONE, now,
                      "no new report after the outage of the store");
        }
        else if (up->state == BK_UP_GONE && elapsed >= BK_FLEET_FORGET_MS &&
                 up->refs == 1) {
            remove_at(fleet, i);
        }
    }
}

bool
BkUp_IsOpen(const BkUp *up)
{
    return up->state == BK_UP_LISTED || up->state == BK_UP_MISSING;
}

bool
BkUp_HasModel(const BkUp *up, uint32_t model)
{
    for (int i = 0; i < up->model_count; i++) {
        if (up->models[i] == model) {
            return true;
        }
    }
    return false;
}

bool
BkUp_HasAdapter(const BkUp *up, uint32_t model, uint32_t adapter)
{
    for (int i = 0; i < up->adapter_count; i++) {
        if (up->adapters[i].model == model &&
            up->adapters[i].adapter == adapter) {
            return true;
        }
    }
    return false;
}

static void
drop_adapters(BkUp *up, uint32_t model)
{
    int kept = 0;

    for (int i = 0; i < up->adapter_count; i++) {
        if (up->adapters[i].model != model) {
            up->adapters[kept++] = up->adapters[i];
        }
    }
    up->adapter_count = kept;
}

void
BkUp_SetModelLoaded(BkUp *up, uint32_t model, bool loaded)
{
    for (int i = 0; i < up->model_count; i++) {
        if (up->models[i] == model) {
            if (!loaded) {
                up->models[i] = up->models[--up->model_count];
                drop_adapters(up, model);
            }
            return;
        }
    }
    if (loaded && up->model_count < BK_UP_MAX_MODELS) {
        up->models[up->model_count++] = model;
    }
}

void
BkUp_SetAdapterLoaded(BkUp *up, uint32_t model, uint32_t adapter, bool loaded)
{
    for (int i = 0; i < up->adapter_count; i++) {
        if (up->adapters[i].model == model &&
            up->adapters[i].adapter == adapter) {
            if (!loaded) {
                up->adapters[i] = up->adapters[--up->adapter_count];
            }
            return;
        }
    }
    if (loaded && up->adapter_count < BK_UP_MAX_ADAPTERS) {
        up->adapters[up->adapter_count++] = (BkUpAdapter){model, adapter};
    }
}

static bool
lacked_last(const BkUp *up, uint32_t model, uint32_t adapter)
{
    return up->lack.model == model && up->lack.adapter == adapter;
}

void
BkUp_NoteAdapterLacked(BkUp *up, uint32_t model, uint32_t adapter, BkMs now)
{
    BkMs pause = FIRST_LACK_MS;

    BkUp_SetAdapterLoaded(up, model, adapter, false);
    if (lacked_last(up, model, adapter)) {
        if (now < up->lack.until) {
            up->lack.at = now;
            return; /* the request was sent before the first one came back */
        }
        if (now - up->lack.until < LACK_MEMORY_MS) {
            pause = up->lack.pause * 2 < MAX_LACK_MS ? up->lack.pause * 2
                                                     : MAX_LACK_MS;
        }
    }
    up->lack = (BkUpLack){model, adapter, now, pause, now + pause};
}

bool
BkUp_LackedAdapterSince(const BkUp *up, uint32_t model, uint32_t adapter,
                        BkMs since)
{
    return lacked_last(up, model, adapter) && up->lack.at >= since;
}

bool
BkUp_OffersAdapter(const BkUp *up, uint32_t model, uint32_t adapter, BkMs now)
{
    return BkUp_HasAdapter(up, model, adapter) &&
           (!lacked_last(up, model, adapter) || now >= up->lack.until);
}
