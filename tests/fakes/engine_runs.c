#include "engine.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <xxhash.h>

enum {
    KEEP_ENDED_MS = 60000, /* a run is kept this long after its end */
    DEFAULT_TOKENS = 16,
    DEFAULT_MAX_WAITING = 1000,
    TOKEN_RANGE = 100000,
    POLL_US = 1 * US_PER_MS
};

static Run **runs; /* in order of arrival */
static int run_count;

static int64_t
now_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

Run *
BkRun_Find(const char *request)
{
    for (int i = run_count - 1; i >= 0; i--) {
        if (strcmp(runs[i]->request, request) == 0) {
            return runs[i];
        }
    }
    return NULL;
}

void
BkRun_Count(int *running, int *waiting)
{
    *running = 0;
    *waiting = 0;
    for (int i = 0; i < run_count; i++) {
        *running += runs[i]->started && !runs[i]->ended;
        *waiting += !runs[i]->started && !runs[i]->ended;
    }
}

bool
BkRun_Uses(const char *instance)
{
    for (int i = 0; i < run_count; i++) {
        if (!runs[i]->ended && strcmp(runs[i]->instance, instance) == 0) {
            return true;
        }
    }
    return false;
}

static int64_t
token_time_us(const Run *run, int token)
{
    return run->started_us + engine.first_ms * US_PER_MS +
           (token - run->offset - 1) * engine.token_ms * US_PER_MS;
}

int
BkRun_Tokens(const Run *run)
{
    int64_t elapsed_us = now_us() - token_time_us(run, run->offset + 1);
    int64_t generated = run->total - run->offset;

    if (!run->started || elapsed_us < 0) {
        return run->offset;
    }
    if (engine.token_ms > 0 &&
        elapsed_us / (engine.token_ms * US_PER_MS) + 1 < generated) {
        generated = elapsed_us / (engine.token_ms * US_PER_MS) + 1;
    }
    return run->offset + (int)generated;
}

int64_t
BkRun_WaitUs(const Run *run, int token)
{
    int64_t wait_us = token_time_us(run, token) - now_us();

    if (!run->started) {
        return POLL_US;
    }
    return wait_us < 0 ? 0 : wait_us;
}

void
BkRun_AppendToken(const Run *run, int token, BkBuf *out)
{
    BkBuf_Printf(
        out, "w%u ",
        (unsigned)(((uint64_t)run->hash + (uint64_t)token) % TOKEN_RANGE));
}

static void
end_run(Run *run)
{
    run->ended = true;
    run->ended_at = BkClock_Now();
    BkFake_Journal(json_pack("{s:s, s:s, s:i, s:i, s:b}", "ev", "done",
                             "request", run->request, "attempt", run->attempt,
                             "tokens", BkRun_Tokens(run), "whole",
                             !run->cancelled));
}

void
BkRun_Cancel(Run *run)
{
    if (!run->ended) {
        run->cancelled = true;
        end_run(run);
    }
}

static void
start_runs(void)
{
    int running;
    int waiting;

    BkRun_Count(&running, &waiting);
    for (int i = 0; waiting > 0 && i < run_count && running < engine.slots;
         i++) {
        if (!runs[i]->started && !runs[i]->ended) {
            runs[i]->started = true;
            runs[i]->started_us = now_us();
            running++;
            waiting--;
        }
    }
}

void
BkRun_Tick(void)
{
    BkMs now = BkClock_Now();
    int kept_count = 0;

    for (int i = 0; i < run_count; i++) {
        Run *run = runs[i];
        if (!run->ended && run->started &&
            (BkRun_Tokens(run) >= run->total &&
             (run->total > run->offset ||
              token_time_us(run, run->offset + 1) <= now_us()))) {
            end_run(run);
        }
        if (run->ended && run->readers == 0 &&
            now - run->ended_at > KEEP_ENDED_MS) {
            free(run);
        }
        else {
            runs[kept_count++] = run;
        }
    }
    run_count = kept_count;
    start_runs();
}

static uint32_t
hash_prompt(const char *item, const char *prompt)
{
    BkBuf text = BkBuf_Make(0);

    BkBuf_Printf(&text, "%s\n%s", item, prompt);
    uint32_t hash = XXH32(text.ptr, text.len, 0);
    BkBuf_Destroy(&text);
    return hash;
}

static void
journal_run(const BkFakeReq *req, const Run *run, const char *item)
{
    BkFake_Journal(
        json_pack("{s:s, s:s, s:i, s:s, s:s, s:s, s:i}", "ev", "run",
                  "request", run->request, "attempt", run->attempt, "key",
                  BkFake_Header(req, "Idempotency-Key"), "item", item,
                  "instance", run->instance, "from", run->offset));
}

Run *
BkRun_Create(const BkFakeReq *req, const Instance *instance, const char *item,
             const char *prompt, BkFakeReply *reply)
{
    static int unnamed_count;
    const char *request = BkFake_Header(req, "X-Request-Id");
    json_int_t tokens = engine.service ? 0 : DEFAULT_TOKENS;
    json_int_t offset = 0;
    int running;
    int waiting;

    BkRun_Count(&running, &waiting);
    if (waiting >= BkFake_Setting("max_waiting", DEFAULT_MAX_WAITING)) {
        BkFake_Journal(
            json_pack("{s:s, s:s}", "ev", "refused", "request", request));
        reply->not_run = true;
        BkFake_Answer(reply, 429, json_pack("{s:s}", "error", "full"));
        return NULL;
    }
    Run *run = BkMem_New(1, sizeof(*run));
    snprintf(run->request, sizeof(run->request), "%s", request);
    if (request[0] == '\0') {
        snprintf(run->request, sizeof(run->request), "nameless-%d",
                 ++unnamed_count);
    }
    if (instance != NULL) {
        memcpy(run->instance, instance->name, sizeof(run->instance));
    }
    run->attempt = (int)strtol(BkFake_Header(req, "X-Attempt"), NULL, 10);
    run->hash = hash_prompt(item, prompt);
    json_unpack(req->json, "{s?I, s?{s?I}}", "max_tokens", &tokens,
                "continue_from", "tokens", &offset);
    run->total = (int)tokens;
    run->offset = (int)(offset < tokens ? offset : tokens);
    runs = BkMem_Grow(runs, (size_t)run_count + 1, sizeof(Run *));
    runs[run_count++] = run;
    journal_run(req, run, item);
    start_runs();
    return run;
}
