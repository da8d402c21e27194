#include "emu.h"

#include <math.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/ini.h"
#include "bk/base/str.h"

enum {
    MAX_FILE_SIZE = 64 * 1024
};

typedef struct Field {
    const char *key;
    size_t offset; /* of a member of type double */
} Field;

#define SITE(name)                                                            \
    {                                                                         \
#name, offsetof(EmuSite, name)                                        \
    }
#define KIND(name)                                                            \
    {                                                                         \
#name, offsetof(EmuRequestKind, name)                                 \
    }
#define EVENT(name)                                                           \
    {                                                                         \
#name, offsetof(EmuEvent, name)                                       \
    }

static const Field site_fields[] = {SITE(busy),
                                    SITE(chunk),
                                    SITE(context_ms_per_k),
                                    SITE(disk_mb),
                                    SITE(engines),
                                    SITE(kv_tokens),
                                    SITE(load_disk_ms),
                                    SITE(load_memory_ms),
                                    SITE(load_store_ms),
                                    SITE(loads_per_second),
                                    SITE(memory_mb),
                                    SITE(models),
                                    SITE(path_ms),
                                    SITE(prompt_per_ms),
                                    SITE(room_mb),
                                    SITE(seconds),
                                    SITE(skew),
                                    SITE(slots),
                                    SITE(step_ms),
                                    SITE(step_ms_per_run),
                                    SITE(stride),
                                    SITE(weights_mb)};

static const Field kind_fields[] = {
    KIND(deadline_ms), KIND(late_worth), KIND(objective_ms), KIND(output),
    KIND(pause_ms),    KIND(priority),   KIND(prompt),       KIND(rare),
    KIND(rate),        KIND(retries),    KIND(spread),       KIND(worth)};

static const Field event_fields[] = {EVENT(at), EVENT(count), EVENT(lasts),
                                     EVENT(x)};

#define COUNT(table) ((int)(sizeof(table) / sizeof((table)[0])))

static const char *const event_types[] = {"burst", "shift", "crash", "slow"};

typedef struct ParseContext {
    const char *path;
    EmuPattern *pattern;
} ParseContext;

static BkStatus
fail_parsing(const ParseContext *context, const BkIniKey *key, const char *why)
{
    return BkErr_Set(BK_ECONFIG, "%s:%d: [%s] %s: %s", context->path,
                     key->line, key->section, key->key, why);
}

static BkStatus
set_number(const ParseContext *context, const BkIniKey *key,
           const Field *fields, int count, void *target)
{
    for (int i = 0; i < count; i++) {
        char *end;
        if (strcmp(fields[i].key, key->key) != 0) {
            continue;
        }
        double value = strtod(key->value, &end);
        if (*end != '\0' || end == key->value || value < 0) {
            return fail_parsing(context, key,
                                "expected a number of 0 or more");
        }
        *(double *)((char *)target + fields[i].offset) = value;
        return BK_OK;
    }
    return fail_parsing(context, key, "unknown key");
}

static EmuRequestKind *
find_kind(EmuPattern *pattern, const char *name)
{
    for (int i = 0; i < pattern->kind_count; i++) {
        if (strcmp(pattern->kinds[i].name, name) == 0) {
            return &pattern->kinds[i];
        }
    }
    return NULL;
}

static BkStatus
parse_kind_key(const ParseContext *context, const BkIniKey *key,
               const char *name)
{
    EmuPattern *pattern = context->pattern;
    EmuRequestKind *kind = find_kind(pattern, name);

    if (kind == NULL) {
        if (pattern->kind_count == EMU_MAX_KINDS ||
            strlen(name) >= EMU_NAME_SIZE) {
            return fail_parsing(context, key,
                                "too many kinds, or the name is too long");
        }
        kind = &pattern->kinds[pattern->kind_count++];
        strcpy(kind->name, name);
    }
    return set_number(context, key, kind_fields, COUNT(kind_fields), kind);
}

/* Events are numbered 1, 2, 3 and so on, in order of first use. */
static BkStatus
parse_event_key(const ParseContext *context, const BkIniKey *key,
                const char *name)
{
    EmuPattern *pattern = context->pattern;
    int number = atoi(name);

    if (number < 1 || number > pattern->event_count + 1 ||
        number > EMU_MAX_EVENTS) {
        return fail_parsing(context, key,
                            "events must be numbered 1, 2, 3, ...");
    }
    if (number > pattern->event_count) {
        pattern->event_count = number;
    }
    EmuEvent *event = &pattern->events[number - 1];
    if (strcmp(key->key, "kind") == 0) {
        if (find_kind(pattern, key->value) == NULL) {
            return fail_parsing(context, key, "no such kind is defined above");
        }
        strcpy(event->kind, key->value);
        return BK_OK;
    }
    if (strcmp(key->key, "trouble") != 0) {
        return set_number(context, key, event_fields, COUNT(event_fields),
                          event);
    }
    for (int i = 0; i < COUNT(event_types); i++) {
        if (strcmp(event_types[i], key->value) == 0) {
            event->type = (EmuEventType)i;
            return BK_OK;
        }
    }
    return fail_parsing(context, key, "expected burst, shift, crash or slow");
}

static BkStatus
parse_key(const BkIniKey *key, void *arg)
{
    const ParseContext *context = arg;

    if (strcmp(key->section, "site") == 0) {
        return set_number(context, key, site_fields, COUNT(site_fields),
                          &context->pattern->site);
    }
    if (strncmp(key->section, "kind ", 5) == 0) {
        return parse_kind_key(context, key, key->section + 5);
    }
    if (strncmp(key->section, "event ", 6) == 0) {
        return parse_event_key(context, key, key->section + 6);
    }
    return fail_parsing(context, key, "unknown section");
}

BkStatus
EmuPattern_Load(const char *path, EmuPattern *pattern)
{
    BkBuf text = BkBuf_Make(MAX_FILE_SIZE);
    ParseContext context = {path, pattern};

    *pattern = (EmuPattern){.kind_count = 0};
    BkStatus status = BkFile_Read(path, MAX_FILE_SIZE, &text);
    if (status == BK_OK) {
        status = BkIni_Parse(path, BkBuf_Str(&text), BK_ECONFIG, parse_key,
                             &context);
    }
    BkBuf_Destroy(&text);
    if (status == BK_OK &&
        (pattern->site.engines < 1 || pattern->site.models < 1 ||
         pattern->site.prompt_per_ms <= 0)) {
        return BkErr_Set(BK_ECONFIG,
                         "%s: [site] must set engines, models and "
                         "prompt_per_ms",
                         path);
    }
    return status;
}

/* Log-normal; spread is the standard deviation divided by the mean. */
static double
draw_size(BkRng *rng, double mean, double spread)
{
    double variance = log(1 + spread * spread);
    double u = BkRng_Unit(rng);
    double v = BkRng_Unit(rng);
    double normal = sqrt(-2 * log(1 - u)) * cos(2 * M_PI * v);

    return ceil(mean * exp(normal * sqrt(variance) - variance / 2));
}

static double
rate_at(const EmuPattern *pattern, const EmuRequestKind *kind, double time_s)
{
    double rate = kind->rate;

    for (int i = 0; i < pattern->event_count; i++) {
        const EmuEvent *event = &pattern->events[i];
        if (event->type == EMU_BURST && time_s >= event->at &&
            time_s < event->at + event->lasts &&
            (event->kind[0] == '\0' || strcmp(event->kind, kind->name) == 0)) {
            rate *= event->x;
        }
    }
    return rate;
}

/* A rank from 0 to count - 1; rank r has weight r + 1 to the power -skew. */
static int
draw_rank(BkRng *rng, int count, double skew)
{
    double sum = 0;

    for (int i = 0; i < count; i++) {
        sum += pow(i + 1, -skew);
    }
    double remaining = BkRng_Unit(rng) * sum;
    for (int i = 0; i < count; i++) {
        remaining -= pow(i + 1, -skew);
        if (remaining <= 0) {
            return i;
        }
    }
    return count - 1;
}

/* During a shift, other models replace the busiest ones. */
static int
draw_model(Emu *emu, const EmuRequestKind *kind, double time_s)
{
    const EmuSite *site = &emu->pattern.site;
    int busy = (int)site->busy;

    if (kind->rare > 0) {
        /* 0.2: as skew, among the models that are not busy */
        return busy + draw_rank(&emu->rng, (int)site->models - busy, 0.2);
    }
    int rank = draw_rank(&emu->rng, busy, site->skew);
    for (int i = 0; i < emu->pattern.event_count; i++) {
        const EmuEvent *event = &emu->pattern.events[i];
        if (event->type == EMU_SHIFT && time_s >= event->at &&
            time_s < event->at + event->lasts && rank < (int)event->count) {
            /* each shift brings in different models */
            return (busy + i * (int)event->count + rank) % (int)site->models;
        }
    }
    return rank;
}

static int
compare_requests(const void *a, const void *b)
{
    double time_a = ((const EmuRequest *)a)->arrived_at;
    double time_b = ((const EmuRequest *)b)->arrived_at;

    return (time_a > time_b) - (time_a < time_b);
}

static void
add_request(Emu *emu, const EmuRequestKind *kind, double time_s, int *cap)
{
    if (emu->request_count == *cap) {
        *cap = *cap == 0 ? 1024 : *cap * 2;
        emu->requests =
            BkMem_Grow(emu->requests, (size_t)*cap, sizeof(EmuRequest));
    }
    /* the largest prompt fills a quarter of the KV memory */
    double max_prompt = emu->pattern.site.kv_tokens / 4;
    double prompt = draw_size(&emu->rng, kind->prompt, kind->spread);
    emu->requests[emu->request_count++] = (EmuRequest){
        .kind = kind,
        .model = draw_model(emu, kind, time_s),
        .arrived_at = time_s * 1000,
        .attempt_at = time_s * 1000,
        .prompt = fmin(prompt, max_prompt),
        .output = draw_size(&emu->rng, kind->output, kind->spread),
        .engine = -1};
}

/* Arrivals of each kind are a Poisson process whose rate changes with the
   events: drawn at max_factor times the rate of the kind, then thinned. Bursts
   whose factors multiply to more than max_factor count as max_factor. */
void
EmuWorkload_Generate(Emu *emu)
{
    const EmuPattern *pattern = &emu->pattern;
    const double max_factor = 8;
    int cap = 0;

    for (int k = 0; k < pattern->kind_count; k++) {
        const EmuRequestKind *kind = &pattern->kinds[k];
        double time_s = 0;
        while (kind->rate > 0) {
            time_s -=
                log(1 - BkRng_Unit(&emu->rng)) / (kind->rate * max_factor);
            if (time_s >= pattern->site.seconds) {
                break;
            }
            double rate = rate_at(pattern, kind, time_s);
            if (BkRng_Unit(&emu->rng) * kind->rate * max_factor < rate) {
                add_request(emu, kind, time_s, &cap);
            }
        }
    }
    qsort(emu->requests, (size_t)emu->request_count, sizeof(EmuRequest),
          compare_requests);
}
