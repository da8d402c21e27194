#include "bk/bundle/bundle.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/settings.h"
#include "check.h"
#include "raw.h"

enum {
    DEFAULT_SLOTS = 16,
    MAX_SLOTS = 4096,
    MAX_COPIES = 1024,
    MAX_SHARE = 1000
};

/* A parse in progress. */
typedef struct Builder {
    BkRawBundle raw;
    BkBundle *bundle;
    BkBundleOrigin origin;
} Builder;

static BkStatus
read_number(const Builder *builder, const BkRawSection *section, BkRawKey key,
            int max, int *out)
{
    uint64_t number;

    if (!BkRawSection_Has(section, key)) {
        return BK_OK;
    }
    if (BkStr_ToU64(BkRawSection_Value(section, key), &number) != BK_OK ||
        number < 1 || number > (uint64_t)max) {
        return BkRawBundle_Fail(&builder->raw, section, key,
                                "must be a number from 1 to %d", max);
    }
    *out = (int)number;
    return BK_OK;
}

static BkStatus
read_bytes(const Builder *builder, const BkRawSection *section, BkRawKey key,
           uint64_t *out)
{
    BkStr value = BkRawSection_Value(section, key);

    if (BkSettings_ParseBytes(value, out) != BK_OK || *out == 0) {
        return BkRawBundle_Fail(&builder->raw, section, key,
                                "must be a size like 200MiB or 14GiB");
    }
    return BK_OK;
}

static BkStatus
read_repeatable(const Builder *builder, const BkRawSection *section, bool *out)
{
    BkStr value = BkRawSection_Value(section, BK_RAW_KEY_REPEATABLE);

    if (BkRawSection_Has(section, BK_RAW_KEY_REPEATABLE) &&
        BkSettings_ParseBool(value, out) != BK_OK) {
        return BkRawBundle_Fail(&builder->raw, section, BK_RAW_KEY_REPEATABLE,
                                "must be yes or no");
    }
    return BK_OK;
}

static BkStatus
read_name(const Builder *builder, const BkRawSection *section, BkRawKey key,
          char **out)
{
    BkStr value = BkRawSection_Value(section, key);

    if (!BkRawName_IsValid(value)) {
        return BkRawBundle_Fail(&builder->raw, section, key,
                                "must be 1 to %d letters, digits and - _ .",
                                BK_RAW_MAX_NAME);
    }
    *out = BkStr_Dup(value);
    return BK_OK;
}

static int
compare_ints(const void *a, const void *b)
{
    return *(const int *)a - *(const int *)b;
}

/* Resolves a list of names, separated by blanks or commas, to item indices. */
static BkStatus
read_item_list(const Builder *builder, const BkRawSection *section,
               BkRawKey key, bool only_services, int **out, int *out_count)
{
    BkBundle *bundle = builder->bundle;
    char *copy = BkStr_Dup(BkRawSection_Value(section, key));
    char *rest = copy;
    BkStatus status = BK_OK;
    int *list = BkMem_New((size_t)bundle->item_count, sizeof(int));
    int count = 0;

    for (char *name = strtok_r(copy, " \t,", &rest);
         name != NULL && status == BK_OK;
         name = strtok_r(NULL, " \t,", &rest)) {
        int item = BkBundle_FindItem(bundle, BkStr_FromC(name));
        bool is_duplicate = false;
        for (int i = 0; i < count; i++) {
            is_duplicate |= list[i] == item;
        }
        if (item < 0 ||
            (only_services && bundle->items[item].kind != BK_ITEM_SERVICE)) {
            status = BkRawBundle_Fail(
                &builder->raw, section, key,
                "\"%s\" is not the name of a %s in this bundle", name,
                only_services ? "[service]"
                              : "[model], [adapter] or "
                                "[service]");
        }
        else if (is_duplicate) {
            status = BkRawBundle_Fail(&builder->raw, section, key,
                                      "\"%s\" is listed twice", name);
        }
        else {
            list[count++] = item;
        }
    }
    free(copy);
    qsort(list, (size_t)count, sizeof(int), compare_ints);
    *out = list;
    *out_count = count;
    return status;
}

static BkStatus
build_item(Builder *builder, const BkRawSection *section, BkItem *item)
{
    static const BkItemKind kinds[BK_RAW_SECTION_KIND_COUNT] = {
        [BK_RAW_SECTION_MODEL] = BK_ITEM_MODEL,
        [BK_RAW_SECTION_ADAPTER] = BK_ITEM_ADAPTER,
        [BK_RAW_SECTION_SERVICE] = BK_ITEM_SERVICE,
    };
    BkStatus status = BK_OK;

    item->kind = kinds[section->kind];
    item->name = BkStr_Dup(section->name);
    item->base = -1;
    item->min_copies = 1;
    item->repeatable = true;
    if (item->kind == BK_ITEM_SERVICE) {
        item->version = BkStr_Dup(BK_STR(""));
        return read_repeatable(builder, section, &item->repeatable);
    }
    status = read_name(builder, section, BK_RAW_KEY_VERSION, &item->version);
    if (status == BK_OK) {
        status = read_bytes(builder, section, BK_RAW_KEY_BYTES, &item->bytes);
    }
    if (status == BK_OK) {
        status = read_number(builder, section, BK_RAW_KEY_COPIES, MAX_COPIES,
                             &item->min_copies);
    }
    if (status == BK_OK) {
        status = read_repeatable(builder, section, &item->repeatable);
    }
    return status;
}

/* Sets the base index of each adapter. All items must have been read and be
 * sorted by name. */
static BkStatus
resolve_bases(Builder *builder)
{
    BkBundle *bundle = builder->bundle;

    for (int i = 0; i < bundle->item_count; i++) {
        BkItem *item = &bundle->items[i];
        if (item->kind != BK_ITEM_ADAPTER) {
            continue;
        }
        const BkRawSection *section = builder->origin.items[i];
        BkStr name = BkRawSection_Value(section, BK_RAW_KEY_BASE);
        item->base = BkBundle_FindItem(bundle, name);
        if (item->base < 0 ||
            bundle->items[item->base].kind != BK_ITEM_MODEL) {
            return BkRawBundle_Fail(
                &builder->raw, section, BK_RAW_KEY_BASE,
                "\"%.*s\" is not the name of a [model] in this bundle",
                BK_STR_ARG(name));
        }
    }
    return BK_OK;
}

static BkStatus
read_kind(Builder *builder, const BkRawSection *section, BkUpstream *upstream)
{
    BkStr kind = BkRawSection_Value(section, BK_RAW_KEY_KIND);

    if (BkStr_Equal(kind, BK_STR("engine"))) {
        upstream->kind = BK_UPSTREAM_ENGINE;
        return BK_OK;
    }
    if (BkStr_Equal(kind, BK_STR("service"))) {
        upstream->kind = BK_UPSTREAM_SERVICE;
        return BK_OK;
    }
    return BkRawBundle_Fail(&builder->raw, section, BK_RAW_KEY_KIND,
                            "must be engine or service");
}

static BkStatus
build_engine_upstream(Builder *builder, const BkRawSection *section,
                      BkUpstream *upstream)
{
    BkStr fencing = BkRawSection_Value(section, BK_RAW_KEY_FENCING);

    if (BkRawSection_Has(section, BK_RAW_KEY_SERVES)) {
        return BkRawBundle_Fail(&builder->raw, section, BK_RAW_KEY_SERVES,
                                "is only for kind = service");
    }
    if (!BkRawSection_Has(section, BK_RAW_KEY_MEMORY)) {
        return BkRawBundle_Fail(&builder->raw, section, BK_RAW_KEY_MEMORY,
                                "missing; required for an engine");
    }
    upstream->checks_fencing = BkStr_Equal(fencing, BK_STR("checked"));
    if (!upstream->checks_fencing &&
        !BkStr_Equal(fencing, BK_STR("ignored"))) {
        return BkRawBundle_Fail(&builder->raw, section, BK_RAW_KEY_FENCING,
                                "must be checked or ignored for an engine");
    }
    return read_bytes(builder, section, BK_RAW_KEY_MEMORY,
                      &upstream->memory_bytes);
}

static BkStatus
build_service_upstream(Builder *builder, const BkRawSection *section,
                       BkUpstream *upstream)
{
    if (BkRawSection_Has(section, BK_RAW_KEY_MEMORY) ||
        BkRawSection_Has(section, BK_RAW_KEY_FENCING)) {
        BkRawKey key = BkRawSection_Has(section, BK_RAW_KEY_MEMORY)
                           ? BK_RAW_KEY_MEMORY
                           : BK_RAW_KEY_FENCING;
        return BkRawBundle_Fail(&builder->raw, section, key,
                                "is only for kind = engine");
    }
    if (!BkRawSection_Has(section, BK_RAW_KEY_SERVES)) {
        return BkRawBundle_Fail(&builder->raw, section, BK_RAW_KEY_SERVES,
                                "missing; required for a service");
    }
    return read_item_list(builder, section, BK_RAW_KEY_SERVES, true,
                          &upstream->services, &upstream->service_count);
}

static BkStatus
build_upstream(Builder *builder, const BkRawSection *section,
               BkUpstream *upstream)
{
    BkStr addr = BkRawSection_Value(section, BK_RAW_KEY_ADDR);
    BkStatus status = read_kind(builder, section, upstream);

    upstream->name = BkStr_Dup(section->name);
    upstream->name_hash = BkBundle_NameHash(section->name);
    upstream->slots = DEFAULT_SLOTS;
    if (status == BK_OK && BkSettings_CheckAddr(addr) != BK_OK) {
        status =
            BkRawBundle_Fail(&builder->raw, section, BK_RAW_KEY_ADDR,
                             "must be a numeric address like 10.0.0.5:9000");
    }
    upstream->addr = BkStr_Dup(addr);
    if (status == BK_OK) {
        status =
            read_name(builder, section, BK_RAW_KEY_DOMAIN, &upstream->domain);
    }
    if (status == BK_OK) {
        status = read_number(builder, section, BK_RAW_KEY_SLOTS, MAX_SLOTS,
                             &upstream->slots);
    }
    if (status != BK_OK) {
        return status;
    }
    return upstream->kind == BK_UPSTREAM_ENGINE
               ? build_engine_upstream(builder, section, upstream)
               : build_service_upstream(builder, section, upstream);
}

static BkStatus
build_caller(Builder *builder, const BkRawSection *section,
             BkCallerSpec *caller)
{
    BkStr token = BkRawSection_Value(section, BK_RAW_KEY_TOKEN);
    BkStr allow = BkRawSection_Value(section, BK_RAW_KEY_ALLOW);

    caller->name = BkStr_Dup(section->name);
    caller->share = 1;
    if (BkDigest_Parse(token, caller->token_hash) != BK_OK) {
        return BkRawBundle_Fail(&builder->raw, section, BK_RAW_KEY_TOKEN,
                                "must be the BLAKE2b-256 of the token, as %d "
                                "hex digits",
                                BK_DIGEST_BYTES * 2);
    }
    BkStatus status = read_number(builder, section, BK_RAW_KEY_SHARE,
                                  MAX_SHARE, &caller->share);
    if (status != BK_OK) {
        return status;
    }
    caller->allow_all = BkStr_Equal(allow, BK_STR("*"));
    if (caller->allow_all) {
        return BK_OK;
    }
    return read_item_list(builder, section, BK_RAW_KEY_ALLOW, false,
                          &caller->allowed_items, &caller->allowed_item_count);
}

/* Sections are built group by group: 0 the bundle itself, 1 items, 2
 * upstreams, 3 callers. Names are unique within a group. */
static int
section_group(BkRawSectionKind kind)
{
    switch (kind) {
    case BK_RAW_SECTION_BUNDLE:
        return 0;
    case BK_RAW_SECTION_MODEL:
    case BK_RAW_SECTION_ADAPTER:
    case BK_RAW_SECTION_SERVICE:
        return 1;
    case BK_RAW_SECTION_UPSTREAM:
        return 2;
    case BK_RAW_SECTION_CALLER:
    case BK_RAW_SECTION_KIND_COUNT:
        break;
    }
    return 3;
}

static int
compare_sections(const void *a, const void *b)
{
    const BkRawSection *left = *(const BkRawSection *const *)a;
    const BkRawSection *right = *(const BkRawSection *const *)b;
    int order = section_group(left->kind) - section_group(right->kind);

    if (order == 0) {
        order = BkStr_Compare(left->name, right->name);
    }
    return order != 0 ? order : left->line - right->line;
}

static BkStatus
check_duplicates(const BkRawBundle *raw, const BkRawSection **sorted)
{
    for (int i = 1; i < raw->count; i++) {
        const BkRawSection *first = sorted[i - 1];
        if (section_group(first->kind) == section_group(sorted[i]->kind) &&
            BkStr_Equal(first->name, sorted[i]->name)) {
            return BkRawBundle_FailSection(raw, sorted[i],
                                           "name already used by [%s] in line "
                                           "%d",
                                           first->title, first->line);
        }
    }
    if (raw->count == 0 || sorted[0]->kind != BK_RAW_SECTION_BUNDLE) {
        return BkErr_Set(BK_EBUNDLE, "%s: [bundle] name: missing",
                         raw->source_name);
    }
    return BK_OK;
}

static void
allocate_arrays(Builder *builder)
{
    size_t max_count = (size_t)builder->raw.count;
    BkBundle *bundle = builder->bundle;

    bundle->items = BkMem_New(max_count, sizeof(BkItem));
    bundle->upstreams = BkMem_New(max_count, sizeof(BkUpstream));
    bundle->upstreams_by_hash = BkMem_New(max_count, sizeof(int));
    bundle->callers = BkMem_New(max_count, sizeof(BkCallerSpec));
    builder->origin.raw = &builder->raw;
    builder->origin.items = BkMem_New(max_count, sizeof(BkRawSection *));
    builder->origin.upstreams = BkMem_New(max_count, sizeof(BkRawSection *));
    builder->origin.callers = BkMem_New(max_count, sizeof(BkRawSection *));
}

static BkStatus
build_section(Builder *builder, const BkRawSection *section)
{
    BkBundle *bundle = builder->bundle;
    int index;

    switch (section->kind) {
    case BK_RAW_SECTION_BUNDLE:
        bundle->note = BkStr_Dup(BkRawSection_Value(section, BK_RAW_KEY_NOTE));
        return read_name(builder, section, BK_RAW_KEY_NAME, &bundle->name);
    case BK_RAW_SECTION_MODEL:
    case BK_RAW_SECTION_ADAPTER:
    case BK_RAW_SECTION_SERVICE:
        index = bundle->item_count++;
        builder->origin.items[index] = section;
        return build_item(builder, section, &bundle->items[index]);
    case BK_RAW_SECTION_UPSTREAM:
        index = bundle->upstream_count++;
        bundle->upstreams_by_hash[index] = index;
        builder->origin.upstreams[index] = section;
        return build_upstream(builder, section, &bundle->upstreams[index]);
    case BK_RAW_SECTION_CALLER:
    case BK_RAW_SECTION_KIND_COUNT:
        break;
    }
    index = bundle->caller_count++;
    builder->origin.callers[index] = section;
    return build_caller(builder, section, &bundle->callers[index]);
}

static int
compare_name_hashes(const void *a, const void *b, void *arg)
{
    const BkBundle *bundle = arg;
    uint32_t left = bundle->upstreams[*(const int *)a].name_hash;
    uint32_t right = bundle->upstreams[*(const int *)b].name_hash;

    return (left > right) - (left < right);
}

static BkStatus
build_bundle(Builder *builder, const BkRawSection **sorted)
{
    BkBundle *bundle = builder->bundle;
    BkStatus status = check_duplicates(&builder->raw, sorted);
    bool bases_resolved = false;

    allocate_arrays(builder);
    for (int i = 0; i < builder->raw.count && status == BK_OK; i++) {
        /* all items are built; sections of the later groups refer to them by
           name */
        if (!bases_resolved && section_group(sorted[i]->kind) > 1) {
            status = resolve_bases(builder);
            bases_resolved = true;
        }
        if (status == BK_OK) {
            status = build_section(builder, sorted[i]);
        }
    }
    if (status == BK_OK && !bases_resolved) {
        status = resolve_bases(builder);
    }
    qsort_r(bundle->upstreams_by_hash, (size_t)bundle->upstream_count,
            sizeof(int), compare_name_hashes, bundle);
    return status == BK_OK ? BkBundleCheck_Run(bundle, &builder->origin)
                           : status;
}

static BkStatus
parse_text(Builder *builder, const char *source_name, BkStr text)
{
    BkStatus status = BkRawBundle_Parse(&builder->raw, source_name, text);

    if (status != BK_OK) {
        return status;
    }
    const BkRawSection **sorted =
        BkMem_New((size_t)builder->raw.count, sizeof(BkRawSection *));
    for (int i = 0; i < builder->raw.count; i++) {
        sorted[i] = &builder->raw.sections[i];
    }
    qsort(sorted, (size_t)builder->raw.count, sizeof(BkRawSection *),
          compare_sections);
    status = build_bundle(builder, sorted);
    free(sorted);
    return status;
}

BkBundle *
BkBundle_Parse(const char *source_name, BkStr text, BkStatus *status)
{
    Builder builder = {.bundle = BkMem_New(1, sizeof(BkBundle))};
    BkBundle *bundle = builder.bundle;

    *status = parse_text(&builder, source_name, text);
    BkRawBundle_Destroy(&builder.raw);
    free(builder.origin.items);
    free(builder.origin.upstreams);
    free(builder.origin.callers);
    if (*status != BK_OK) {
        BkBundle_Destroy(bundle);
        return NULL;
    }
    bundle->text = BkStr_Dup(text);
    bundle->text_len = text.len;
    crypto_generichash(bundle->digest, sizeof(bundle->digest),
                       (const unsigned char *)text.ptr, text.len, NULL, 0);
    return bundle;
}

void
BkBundle_Destroy(BkBundle *bundle)
{
    if (bundle == NULL) {
        return;
    }
    for (int i = 0; i < bundle->item_count; i++) {
        free(bundle->items[i].name);
        free(bundle->items[i].version);
    }
    for (int i = 0; i < bundle->upstream_count; i++) {
        free(bundle->upstreams[i].name);
        free(bundle->upstreams[i].addr);
        free(bundle->upstreams[i].domain);
        free(bundle->upstreams[i].services);
    }
    for (int i = 0; i < bundle->caller_count; i++) {
        free(bundle->callers[i].name);
        free(bundle->callers[i].allowed_items);
    }
    free(bundle->items);
    free(bundle->upstreams);
    free(bundle->upstreams_by_hash);
    free(bundle->callers);
    free(bundle->name);
    free(bundle->note);
    free(bundle->text);
    free(bundle);
}
