#include "engine.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <xxhash.h>

enum {
    KEEP_MS = 60000, /* a stream, after its end */
    DEFAULT_TOKENS = 16,
    DEFAULT_WAITING = 1000,
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
        *running += runs[i]->begun && !runs[i]->ended;
        *waiting += !runs[i]->begun && !runs[i]->ended;
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
token_at(const Run *run, int token)
{
    return run->begun_us + engine.first_ms * US_PER_MS +
           (token - run->from - 1) * engine.token_ms * US_PER_MS;
}

int
BkRun_Tokens(const Run *run)
{
    int64_t past = now_us() - token_at(run, run->from + 1);
    int64_t made = run->total - run->from;

    if (!run->begun || past < 0) {
        return run->from;
    }
    if (engine.token_ms > 0 &&
        past / (engine.token_ms * US_PER_MS) + 1 < made) {
        made = past / (engine.token_ms * US_PER_MS) + 1;
    }
    return run->from + (int)made;
}

int64_t
BkRun_WaitUs(const Run *run, int token)
{
    int64_t left = token_at(run, token) - now_us();

    if (!run->begun) {
        return POLL_US;
    }
    return left < 0 ? 0 : left;
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
begin_runs(void)
{
    int running;
    int waiting;

    BkRun_Count(&running, &waiting);
    for (int i = 0; waiting > 0 && i < run_count && running < engine.slots;
         i++) {
        if (!runs[i]->begun && !runs[i]->ended) {
            runs[i]->begun = true;
            runs[i]->begun_us = now_us();
            running++;
            waiting--;
        }
    }
}

void
BkRun_Tick(void)
{
    BkMs now = BkClock_Now();
    int kept = 0;

    for (int i = 0; i < run_count; i++) {
        Run *run = runs[i];
        if (!run->ended && run->begun &&
            (BkRun_Tokens(run) >= run->total &&
             (run->total > run->from ||
              token_at(run, run->from + 1) <= now_us()))) {
            end_run(run);
        }
        if (run->ended && run->readers == 0 && now - run->ended_at > KEEP_MS) {
            free(run);
        }
        else {
            runs[kept++] = run;
        }
    }
    run_count = kept;
    begin_runs();
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
                  "instance", run->instance, "from", run->from));
}

Run *
BkRun_Create(const BkFakeReq *req, const Instance *instance, const char *item,
             const char *prompt, BkFakeReply *reply)
{
    static int nameless;
    const char *request = BkFake_Header(req, "X-Request-Id");
    json_int_t tokens = engine.service ? 0 : DEFAULT_TOKENS;
    json_int_t from = 0;
    int running;
    int waiting;

    BkRun_Count(&running, &waiting);
    if (waiting >= BkFake_Setting("max_waiting", DEFAULT_WAITING)) {
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
                 ++nameless);
    }
    if (instance != NULL) {
        memcpy(run->instance, instance->name, sizeof(run->instance));
    }
    run->attempt = (int)strtol(BkFake_Header(req, "X-Attempt"), NULL, 10);
    run->hash = hash_prompt(item, prompt);
    json_unpack(req->json, "{s?I, s?{s?I}}", "max_tokens", &tokens,
                "continue_from", "tokens", &from);
    run->total = (int)tokens;
    run->from = (int)(from < tokens ? from : tokens);
    runs = BkMem_Grow(runs, (size_t)run_count + 1, sizeof(Run *));
    runs[run_count++] = run;
    journal_run(req, run, item);
    begin_runs();
    return run;
}
