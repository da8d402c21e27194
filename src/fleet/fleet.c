#include "bk/fleet/fleet.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"

enum {
    REPORT_GRACE = 2000,  /* ms; the users' letter: lapsed entries are back
                            about two seconds after the store's return */
    REMOVAL_GRACE = 1200, /* ms; a removal that was seen as it happened may
                             be a departure, which binds within two seconds */
    FORGET_AFTER = 30000  /* ms that a gone upstream's id is remembered */
};

void
BkUpReport_Destroy(BkUpReport *report)
{
    free(report->id);
    free(report->address);
    free(report->service);
    free(report->domain);
    for (int i = 0; i < report->model_count; i++) {
        for (int k = 0; k < report->models[i].adapter_count; k++) {
            free(report->models[i].adapters[k]);
        }
        free(report->models[i].adapters);
        free(report->models[i].name);
    }
    free(report->models);
    for (int i = 0; i < report->in_memory_count; i++) {
        free(report->in_memory[i]);
    }
    free(report->in_memory);
    for (int i = 0; i < report->on_disk_count; i++) {
        free(report->on_disk[i]);
    }
    free(report->on_disk);
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
    free(up);
}

void
BkFleet_Destroy(BkFleet *fleet)
{
    for (int i = 0; i < fleet->count; i++) {
        BkUp_Unref(fleet->ups[i]);
    }
    free(fleet->ups);
    *fleet = (BkFleet){0};
}

/* the place of the id, or where it belongs */
static int
find_place(const BkFleet *fleet, BkStr id, bool *found)
{
    int low = 0;
    int high = fleet->count;

    *found = false;
    while (low < high) {
        int middle = (low + high) / 2;
        int order = BkStr_Compare(BkStr_FromC(fleet->ups[middle]->id), id);
        if (order == 0) {
            *found = true;
            return middle;
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

BkUp *
BkFleet_Find(const BkFleet *fleet, BkStr id)
{
    bool found;
    int place = find_place(fleet, id, &found);

    return found ? fleet->ups[place] : NULL;
}

BkUp *
BkFleet_FindKey(const BkFleet *fleet, uint32_t key)
{
    for (int i = 0; i < fleet->count; i++) {
        if (fleet->ups[i]->key == key) {
            return fleet->ups[i];
        }
    }
    return NULL;
}

static void
insert_up(BkFleet *fleet, int place, BkUp *up)
{
    if (fleet->count == fleet->cap) {
        fleet->cap = fleet->cap == 0 ? 32 : fleet->cap * 2;
        fleet->ups =
            BkMem_Grow(fleet->ups, (size_t)fleet->cap, sizeof(BkUp *));
    }
    memmove(fleet->ups + place + 1, fleet->ups + place,
            (size_t)(fleet->count - place) * sizeof(BkUp *));
    fleet->ups[place] = up;
    fleet->count++;
}

static void
remove_place(BkFleet *fleet, int place)
{
    BkUp_Unref(fleet->ups[place]);
    fleet->count--;
    memmove(fleet->ups + place, fleet->ups + place + 1,
            (size_t)(fleet->count - place) * sizeof(BkUp *));
}

static void
set_standing(BkFleet *fleet, BkUp *up, BkUpStanding standing, BkMs now,
             const char *why)
{
    static const char *const names[] = {"listed", "missing", "leaving",
                                        "gone"};

    if (up->standing == standing) {
        return;
    }
    BkLog_Event(BK_LOG_INFO, "fleet", NULL, "upstream",
                "s:s, s:s, s:s, s:s, s:I", "id", up->id, "was",
                names[up->standing], "is", names[standing], "why", why,
                "version", (json_int_t)up->row_version);
    up->standing = standing;
    up->standing_since = now;
    fleet->changes++;
}

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
    BkStr port = BkStr_FromC(text);
    BkStr host = BkStr_Split(&port, ':');
    char ip[INET_ADDRSTRLEN];
    uint64_t number = 0;

    *out = (struct sockaddr_in){.sin_family = AF_INET};
    if (host.len >= sizeof(ip) || BkStr_ToU64(port, &number) != BK_OK ||
        number == 0 || number > UINT16_MAX) {
        return false;
    }
    memcpy(ip, host.ptr, host.len);
    ip[host.len] = '\0';
    out->sin_port = htons((uint16_t)number);
    return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static int
take_keys(uint32_t *out, int most, char *const *names, int count)
{
    int n = count < most ? count : most;

    for (int i = 0; i < n; i++) {
        out[i] = BkStr_Key(BkStr_FromC(names[i]));
    }
    return n;
}

/* adapters whose model is gone went with it */
static void
prune_adapters(BkUp *up)
{
    int kept = 0;

    for (int i = 0; i < up->adapter_count; i++) {
        if (BkUp_HoldsModel(up, up->adapters[i].model)) {
            up->adapters[kept++] = up->adapters[i];
        }
    }
    up->adapter_count = kept;
}

/* Adapters come and go quicker than reports are written, so that one that a
   report lacks may be there all the same: it is kept until the planner or a
   refusal says otherwise. */
static void
take_models(BkUp *up, const BkUpReport *report, BkMs now)
{
    up->model_count = 0;
    for (int i = 0; i < report->model_count; i++) {
        const BkHeldModel *held = &report->models[i];
        uint32_t model = BkStr_Key(BkStr_FromC(held->name));
        if (model == up->closing && now < up->closing_until) {
            continue;
        }
        BkUp_SetModel(up, model, true);
        for (int k = 0; k < held->adapter_count; k++) {
            BkUp_SetAdapter(up, model,
                            BkStr_Key(BkStr_FromC(held->adapters[k])), true);
        }
    }
    prune_adapters(up);
}

static void
take_at_hand(BkUp *up, const BkUpReport *report)
{
    up->in_memory_count =
        take_keys(up->in_memory, BK_UP_MAX_AT_HAND, report->in_memory,
                  report->in_memory_count);
    up->on_disk_count = take_keys(up->on_disk, BK_UP_MAX_AT_HAND,
                                  report->on_disk, report->on_disk_count);
}

bool
BkUp_TakeHeld(BkUp *up, const BkUpReport *held, uint64_t orders, BkMs now)
{
    if (up->has_orders && orders < up->orders) {
        return false;
    }
    up->has_orders = true;
    up->orders = orders;
    take_at_hand(up, held);
    up->adapter_count = 0;
    take_models(up, held, now);
    return true;
}

void
BkUp_CloseModel(BkUp *up, uint32_t model, BkMs until)
{
    up->closing = model;
    up->closing_until = until;
    BkUp_SetModel(up, model, false);
}

static BkUp *
create_up(const BkUpReport *report, BkMs now)
{
    BkUp *up = BkMem_New(1, sizeof(*up));

    up->refs = 1;
    up->id = BkStr_Dup(BkStr_FromC(report->id));
    up->key = BkStr_Key(BkStr_FromC(report->id));
    up->address = BkStr_Dup(BkStr_FromC(report->address));
    up->service = BkStr_Dup(BkStr_FromC(report->service));
    up->service_key = BkStr_Key(BkStr_FromC(report->service));
    up->domain = BkStr_Dup(BkStr_FromC(report->domain));
    up->born = report->born;
    up->standing = BK_UP_LISTED;
    up->standing_since = now;
    up->last_answer = BK_MS_NEVER;
    if (!parse_address(report->address, &up->sockaddr)) {
        up->standing = BK_UP_GONE;
    }
    return up;
}

/* the same process, not another one under the same id */
static bool
is_same_start(const BkUp *up, const BkUpReport *report)
{
    return (up->born == report->born || report->born == 0) &&
           strcmp(up->address, report->address) == 0 &&
           strcmp(up->service, report->service) == 0;
}

static BkUp *
place_up(BkFleet *fleet, const BkUpReport *report, BkMs now)
{
    bool found;
    int place = find_place(fleet, BkStr_FromC(report->id), &found);

    if (found && is_same_start(fleet->ups[place], report)) {
        return fleet->ups[place];
    }
    if (found) {
        set_standing(fleet, fleet->ups[place], BK_UP_GONE, now,
                     "started anew under its id");
        remove_place(fleet, place);
    }
    BkUp *up = create_up(report, now);
    insert_up(fleet, place, up);
    BkLog_Event(BK_LOG_INFO, "fleet", NULL, "upstream", "s:s, s:s, s:s, s:I",
                "id", up->id, "is", "listed", "address", up->address, "born",
                (json_int_t)up->born);
    return up;
}

static void
take_standing(BkFleet *fleet, BkUp *up, const BkUpReport *report, BkMs now)
{
    if (report->draining) {
        if (up->standing != BK_UP_GONE) {
            set_standing(fleet, up, BK_UP_LEAVING, now, "its report");
        }
        return;
    }
    /* leaving is never taken back; a lapsed report is */
    if (up->standing == BK_UP_MISSING ||
        (up->standing == BK_UP_GONE && up->sockaddr.sin_port != 0)) {
        set_standing(fleet, up, BK_UP_LISTED, now, "it reports again");
    }
}

BkUp *
BkFleet_TakeReport(BkFleet *fleet, const BkUpReport *report, uint64_t version,
                   BkMs now)
{
    BkUp *known = BkFleet_Find(fleet, BkStr_FromC(report->id));

    if (known != NULL) {
        known->listed = true;
    }
    if (known != NULL && version != 0 && version <= known->row_version) {
        return known;
    }
    BkUp *up = place_up(fleet, report, now);
    up->listed = true;
    up->row_version = version;
    up->slots = report->slots;
    up->cold_until = now + report->cold_for;
    take_at_hand(up, report);
    take_models(up, report, now);
    take_standing(fleet, up, report, now);
    fleet->changes++;
    return up;
}

static void
lose_report(BkFleet *fleet, BkUp *up, BkMs grace, BkMs now)
{
    bool ill = now < fleet->store_ill_until;

    if (up->standing == BK_UP_LISTED && ill) {
        up->grace = grace;
        set_standing(fleet, up, BK_UP_MISSING, now,
                     "its report lapsed around an outage of the store");
    }
    else if (up->standing != BK_UP_MISSING) {
        set_standing(fleet, up, BK_UP_GONE, now, "its report was removed");
    }
}

void
BkFleet_TakeRemoval(BkFleet *fleet, BkStr id, uint64_t version, BkMs now)
{
    BkUp *up = BkFleet_Find(fleet, id);

    if (up == NULL || version <= up->row_version) {
        return;
    }
    up->row_version = version;
    lose_report(fleet, up, REMOVAL_GRACE, now);
}

void
BkFleet_BeginList(BkFleet *fleet)
{
    for (int i = 0; i < fleet->count; i++) {
        fleet->ups[i]->listed = false;
    }
}

void
BkFleet_EndList(BkFleet *fleet, uint64_t version, BkMs now)
{
    for (int i = 0; i < fleet->count; i++) {
        BkUp *up = fleet->ups[i];
        if (!up->listed && up->row_version < version) {
            up->row_version = version;
            fleet->version = version; /* a change that no row tells */
            lose_report(fleet, up, REPORT_GRACE, now);
        }
    }
    fleet->known = true;
}

void
BkFleet_NoteStoreIll(BkFleet *fleet, BkMs now)
{
    fleet->store_ill_until = now + REPORT_GRACE;
}

void
BkFleet_MarkLeaving(BkFleet *fleet, BkUp *up, BkMs now)
{
    if (up->standing != BK_UP_GONE) {
        set_standing(fleet, up, BK_UP_LEAVING, now, "told so");
    }
}

void
BkFleet_MarkGone(BkFleet *fleet, BkUp *up, BkMs now)
{
    set_standing(fleet, up, BK_UP_GONE, now, "another process answers there");
}

void
BkFleet_Sweep(BkFleet *fleet, BkMs now)
{
    for (int i = fleet->count - 1; i >= 0; i--) {
        BkUp *up = fleet->ups[i];
        BkMs since = now - up->standing_since;
        if (up->standing == BK_UP_MISSING && since >= up->grace) {
            set_standing(fleet, up, BK_UP_GONE, now,
                         "no report after the store's return");
        }
        else if (up->standing == BK_UP_GONE && since >= FORGET_AFTER &&
                 up->refs == 1) {
            remove_place(fleet, i);
        }
    }
}

bool
BkUp_IsOpen(const BkUp *up)
{
    return up->standing == BK_UP_LISTED || up->standing == BK_UP_MISSING;
}

bool
BkUp_HoldsModel(const BkUp *up, uint32_t model)
{
    for (int i = 0; i < up->model_count; i++) {
        if (up->models[i] == model) {
            return true;
        }
    }
    return false;
}

bool
BkUp_HoldsAdapter(const BkUp *up, uint32_t model, uint32_t adapter)
{
    for (int i = 0; i < up->adapter_count; i++) {
        if (up->adapters[i].model == model &&
            up->adapters[i].name == adapter) {
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
BkUp_SetModel(BkUp *up, uint32_t model, bool held)
{
    for (int i = 0; i < up->model_count; i++) {
        if (up->models[i] == model) {
            if (!held) {
                up->models[i] = up->models[--up->model_count];
                drop_adapters(up, model);
            }
            return;
        }
    }
    if (held && up->model_count < BK_UP_MAX_MODELS) {
        up->models[up->model_count++] = model;
    }
}

void
BkUp_SetAdapter(BkUp *up, uint32_t model, uint32_t adapter, bool held)
{
    for (int i = 0; i < up->adapter_count; i++) {
        if (up->adapters[i].model == model &&
            up->adapters[i].name == adapter) {
            if (!held) {
                up->adapters[i] = up->adapters[--up->adapter_count];
            }
            return;
        }
    }
    if (held && up->adapter_count < BK_UP_MAX_ADAPTERS) {
        up->adapters[up->adapter_count++] = (BkUpAdapter){model, adapter};
    }
}
