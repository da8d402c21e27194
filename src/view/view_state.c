#include "bk/view/view.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "bk/h1/syntax.h"

static const char *const state_names[] = {"loading", "ready", "unloading"};

static BkStatus
parse_inst(const json_t *json, BkInst *inst)
{
    const char *name = json_string_value(json_object_get(json, "instance"));
    const char *item = json_string_value(json_object_get(json, "model"));
    const char *version = json_string_value(json_object_get(json, "version"));
    const char *state = json_string_value(json_object_get(json, "state"));

    if (name == NULL || item == NULL || version == NULL || state == NULL) {
        return BkErr_Set(
            BK_EDECODE,
            "an instance in the state of an upstream lacks instance, "
            "model, version or state");
    }
    /* names stand in header fields of requests to the upstream */
    if (!BkH1_IsText(BkStr_FromC(name))) {
        return BkErr_Set(BK_EDECODE, "the name of an instance in the state of "
                                     "an upstream has control bytes");
    }
    int state_index = -1;
    for (int i = 0; i <= BK_INST_UNLOADING; i++) {
        if (strcmp(state_names[i], state) == 0) {
            state_index = i;
        }
    }
    if (state_index < 0) {
        return BkErr_Set(BK_EDECODE, "unknown instance state \"%s\"", state);
    }
    inst->name = BkStr_Dup(BkStr_FromC(name));
    inst->item = BkStr_Dup(BkStr_FromC(item));
    inst->version = BkStr_Dup(BkStr_FromC(version));
    inst->bytes = (uint64_t)json_integer_value(json_object_get(json, "bytes"));
    inst->state = (BkInstState)state_index;
    return BK_OK;
}

static void
free_insts(BkInst *insts, int count)
{
    for (int i = 0; i < count; i++) {
        free(insts[i].name);
        free(insts[i].item);
        free(insts[i].version);
    }
    free(insts);
}

/* does not depend on the order of the instances */
static uint32_t
digest_insts(const BkInst *insts, int count)
{
    uint32_t sum = 0;

    for (int i = 0; i < count; i++) {
        size_t len = strlen(insts[i].name);
        sum += XXH32(insts[i].name, len, (XXH32_hash_t)insts[i].state + 1);
    }
    return sum;
}

static BkStatus
parse_insts(const json_t *list, BkInst **out, int *count)
{
    size_t n = json_array_size(list);
    BkInst *insts = BkMem_New(n, sizeof(*insts));

    for (size_t i = 0; i < n; i++) {
        BkStatus status = parse_inst(json_array_get(list, i), &insts[i]);
        if (status != BK_OK) {
            free_insts(insts, (int)i);
            return status;
        }
    }
    *out = insts;
    *count = (int)n;
    return BK_OK;
}

static void
apply_scalars(BkUpView *up, const json_t *root, BkMs now)
{
    uint32_t boot =
        (uint32_t)json_integer_value(json_object_get(root, "boot"));
    bool leaving = json_is_true(json_object_get(root, "leaving"));

    /* leaving is final until the upstream restarts */
    up->leaving = leaving || (up->leaving && boot == up->boot);
    up->boot = boot;
    up->running = (int)json_integer_value(json_object_get(root, "running"));
    up->waiting = (int)json_integer_value(json_object_get(root, "waiting"));
    up->used = (uint64_t)json_integer_value(json_object_get(root, "used"));
    up->fence = (uint64_t)json_integer_value(json_object_get(root, "fence"));
    up->seen_at = now;
    up->failed_at = BK_MS_NEVER;
    up->own_running_delta = 0;
}

BkStatus
BkView_ApplyState(BkView *view, int up_index, BkStr json, BkMs now)
{
    BkUpView *up = &view->ups[up_index];
    BkInst *insts;
    int count;
    json_t *root = json_loadb(json.ptr, json.len, 0, NULL);

    if (!json_is_object(root) ||
        !json_is_integer(json_object_get(root, "boot"))) {
        json_decref(root);
        return BkErr_Set(
            BK_EDECODE,
            "the state of an upstream is not an object with a boot id");
    }
    const json_t *list = json_object_get(root, "instances");
    BkStatus status = parse_insts(list, &insts, &count);
    if (status != BK_OK) {
        json_decref(root);
        return status;
    }
    uint32_t digest = digest_insts(insts, count);
    bool was_leaving = up->leaving;
    bool had_failed = up->failed_at != BK_MS_NEVER;
    apply_scalars(up, root, now);
    json_decref(root);
    if (digest != up->insts_digest || up->inst_count != count ||
        was_leaving != up->leaving || had_failed) {
        view->generation++;
    }
    free_insts(up->insts, up->inst_count);
    up->insts = insts;
    up->inst_count = count;
    up->digest = digest;
    up->insts_digest = digest;
    return BK_OK;
}
