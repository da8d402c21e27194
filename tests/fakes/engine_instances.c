#include "engine.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <sodium.h>

enum {
    RETRY_US = 200 * US_PER_MS
};

static Instance *instances;
static int instance_count;
static json_int_t highest_fence;
static uint32_t boot_id;
static BkMs reported_at;
static int reported[2]; /* running, waiting */

static Instance *
find_by_name(const char *name)
{
    for (int i = 0; i < instance_count; i++) {
        if (strcmp(instances[i].name, name) == 0) {
            return &instances[i];
        }
    }
    return NULL;
}

const Instance *
BkInstance_Find(const char *model, const char *name)
{
    for (int i = 0; i < instance_count; i++) {
        const Instance *instance = &instances[i];
        if (instance->state == INSTANCE_READY &&
            strcmp(instance->model, model) == 0 &&
            (name[0] == '\0' || strcmp(instance->name, name) == 0)) {
            return instance;
        }
    }
    return NULL;
}

static json_int_t
used_memory(void)
{
    json_int_t used = 0;

    for (int i = 0; i < instance_count; i++) {
        used += instances[i].bytes;
    }
    return used;
}

static void
journal_memory(void)
{
    BkFake_Journal(json_pack("{s:s, s:I, s:I}", "ev", "memory", "used",
                             used_memory(), "capacity",
                             (json_int_t)engine.memory));
}

static void
remove_instance(Instance *instance, const char *why)
{
    BkFake_Journal(json_pack("{s:s, s:s, s:s}", "ev", "gone", "instance",
                             instance->name, "why", why));
    *instance = instances[--instance_count];
    journal_memory();
}

static void
finish_load(Instance *instance)
{
    if (BkFake_Setting("crash_loads", 0) != 0) {
        remove_instance(instance, "crash");
        return;
    }
    instance->state = INSTANCE_READY;
    BkFake_Journal(
        json_pack("{s:s, s:s}", "ev", "ready", "instance", instance->name));
}

static size_t
discard_body(char *ptr, size_t size, size_t count, void *arg)
{
    return size * count;
}

/* requests the weights until the store sends them, then finishes the load */
static void *
fetch_weights(void *arg)
{
    Instance *loading_copy = arg;
    char url[1024];
    long code = 0;
    CURL *curl = curl_easy_init();

    snprintf(url, sizeof(url), "http://%s/v1/weights/%s/%s?bytes=%lld",
             engine.weights, loading_copy->model, loading_copy->version,
             (long long)loading_copy->bytes);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_body);
    while (curl_easy_perform(curl) != CURLE_OK ||
           curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &code) !=
               CURLE_OK ||
           code != 200) {
        usleep(RETRY_US);
    }
    curl_easy_cleanup(curl);
    BkFake_Lock();
    Instance *instance = find_by_name(loading_copy->name);
    if (instance != NULL && instance->state == INSTANCE_LOADING) {
        finish_load(instance);
    }
    BkFake_Unlock();
    free(loading_copy);
    return NULL;
}

static void
start_load(const Instance *loading)
{
    pthread_t thread;

    instances =
        BkMem_Grow(instances, (size_t)instance_count + 1, sizeof(Instance));
    instances[instance_count++] = *loading;
    journal_memory();
    if (engine.weights != NULL) {
        Instance *loading_copy = BkMem_New(1, sizeof(*loading_copy));
        *loading_copy = *loading;
        pthread_create(&thread, NULL, fetch_weights, loading_copy);
        pthread_detach(thread);
    }
}

/* answers an order and journals it */
static void
answer_order(const BkFakeReq *req, BkFakeReply *reply, const char *kind,
             int code, const char *error)
{
    json_t *fence = json_object_get(req->json, "fence");
    json_t *instance = json_object_get(req->json, "instance");

    BkFake_Journal(json_pack(
        "{s:s, s:s, s:O?, s:O?, s:b, s:i, s:I}", "ev", "order", "kind", kind,
        "instance", instance, "fence", fence, "taken", code == 202, "code",
        code, "late", (json_int_t)(BkClock_Now() - req->received)));
    BkFake_Answer(reply, code,
                  error == NULL ? json_object()
                                : json_pack("{s:s}", "error", error));
}

static bool
fence_is_stale(const BkFakeReq *req)
{
    json_int_t fence = json_integer_value(json_object_get(req->json, "fence"));

    if (!engine.checks_fences) {
        return false;
    }
    if (fence < highest_fence) {
        return true;
    }
    highest_fence = fence;
    return false;
}

void
BkInstance_Load(const BkFakeReq *req, BkFakeReply *reply)
{
    const char *name = NULL;
    const char *model = NULL;
    const char *version = NULL;
    Instance loading = {.load_end = BkClock_Now() + engine.load_ms};

    if (json_unpack(req->json, "{s:s, s:s, s:s, s:I}", "instance", &name,
                    "model", &model, "version", &version, "bytes",
                    &loading.bytes) != 0) {
        answer_order(req, reply, "load", 400, "malformed");
        return;
    }
    snprintf(loading.name, sizeof(loading.name), "%s", name);
    snprintf(loading.model, sizeof(loading.model), "%s", model);
    snprintf(loading.version, sizeof(loading.version), "%s", version);
    if (fence_is_stale(req)) {
        answer_order(req, reply, "load", 409, "stale_fence");
    }
    else if (find_by_name(name) != NULL) {
        answer_order(req, reply, "load", 200, NULL);
    }
    else if (BkFake_Setting("strict_memory", 0) != 0 &&
             used_memory() + loading.bytes > engine.memory) {
        answer_order(req, reply, "load", 507, "no_memory");
    }
    else {
        answer_order(req, reply, "load", 202, NULL);
        start_load(&loading);
    }
}

void
BkInstance_Unload(const BkFakeReq *req, BkFakeReply *reply)
{
    const char *name = NULL;

    if (json_unpack(req->json, "{s:s}", "instance", &name) != 0) {
        answer_order(req, reply, "unload", 400, "malformed");
        return;
    }
    if (fence_is_stale(req)) {
        answer_order(req, reply, "unload", 409, "stale_fence");
        return;
    }
    Instance *instance = find_by_name(name);
    answer_order(req, reply, "unload", instance == NULL ? 200 : 202, NULL);
    if (instance != NULL) {
        instance->state = INSTANCE_UNLOADING;
    }
}

void
BkInstance_SetFence(const BkFakeReq *req, BkFakeReply *reply)
{
    json_int_t fence = json_integer_value(json_object_get(req->json, "fence"));

    if (!engine.checks_fences) {
        BkFake_Answer(reply, 501, json_object());
        return;
    }
    highest_fence = fence > highest_fence ? fence : highest_fence;
    BkFake_Answer(reply, 200, json_object());
}

static json_t *
pack_instances(void)
{
    static const char *const state_names[] = {"loading", "ready", "unloading"};
    json_t *list = json_array();

    for (int i = 0; i < instance_count; i++) {
        const Instance *instance = &instances[i];
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:I, s:s}", "instance", instance->name,
                      "model", instance->model, "version", instance->version,
                      "bytes", instance->bytes, "state",
                      state_names[instance->state]));
    }
    return list;
}

void
BkInstance_State(BkFakeReply *reply)
{
    BkMs now = BkClock_Now();

    if (boot_id == 0) {
        boot_id = randombytes_random();
    }
    if (now - reported_at >= BkFake_Setting("report_lag_ms", 0)) {
        reported_at = now;
        BkRun_Count(&reported[0], &reported[1]);
    }
    BkFake_Answer(reply, 200,
                  json_pack("{s:I, s:I, s:I, s:b, s:I, s:i, s:i, s:o}", "boot",
                            (json_int_t)boot_id, "memory",
                            (json_int_t)engine.memory, "used", used_memory(),
                            "leaving", (int)BkFake_Setting("leaving", 0),
                            "fence", highest_fence, "running", reported[0],
                            "waiting", reported[1], "instances",
                            pack_instances()));
}

void
BkInstance_Tick(void)
{
    BkMs now = BkClock_Now();

    for (int i = instance_count - 1; i >= 0; i--) {
        Instance *instance = &instances[i];
        if (instance->state == INSTANCE_LOADING && engine.weights == NULL &&
            instance->load_end <= now) {
            finish_load(instance);
        }
        else if (instance->state == INSTANCE_UNLOADING &&
                 !BkRun_Uses(instance->name)) {
            remove_instance(instance, "unload");
        }
    }
}
