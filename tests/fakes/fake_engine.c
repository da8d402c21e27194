/* fake-engine: a model engine, or an application service with --service */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#include "engine.h"

enum {
    TICK_US = 2 * US_PER_MS
};

EngineConf engine;

/* a reader of a run's events */
typedef struct Reader {
    Run *run;
    int next_token; /* the token that is sent next */
} Reader;

static BkFakeNext
read_events(void *arg, BkBuf *out)
{
    Reader *reader = arg;
    Run *run = reader->run;

    for (;;) {
        BkFake_Lock();
        int generated = BkRun_Tokens(run);
        bool cancelled = run->cancelled;
        while (reader->next_token <= generated) {
            BkBuf_Printf(out, "id: %d\ndata: {\"choices\":[{\"text\":\"",
                         reader->next_token);
            BkRun_AppendToken(run, reader->next_token, out);
            BkBuf_Printf(out, "\"}]}\n\n");
            reader->next_token++;
        }
        bool is_complete = generated >= run->total;
        int64_t wait_us = BkRun_WaitUs(run, reader->next_token);
        run->readers -= cancelled || is_complete;
        BkFake_Unlock();
        if (is_complete) {
            BkBuf_Printf(out, "data: [DONE]\n\n");
            return FAKE_END;
        }
        if (cancelled) {
            return FAKE_CUT;
        }
        if (out->len > 0) {
            return FAKE_MORE;
        }
        usleep((useconds_t)wait_us);
    }
}

static void
stream_run(Run *run, int next_token, BkFakeReply *reply)
{
    Reader *reader = BkMem_New(1, sizeof(*reader));

    *reader = (Reader){run, next_token};
    run->readers++;
    reply->code = 200;
    reply->stream = read_events;
    reply->stream_arg = reader;
}

/* waits for the end of a run; releases the lock, which must be held,
   meanwhile */
static void
await_run(Run *run)
{
    run->readers++;
    while (!run->ended) {
        int64_t wait_us = BkRun_WaitUs(run, run->total);
        BkFake_Unlock();
        usleep((useconds_t)(wait_us < US_PER_MS ? US_PER_MS : wait_us));
        BkFake_Lock();
    }
    run->readers--;
}

static void
answer_completion(const Run *run, BkFakeReply *reply)
{
    BkBuf text = BkBuf_Make(0);

    for (int token = run->offset + 1; token <= run->total; token++) {
        BkRun_AppendToken(run, token, &text);
    }
    BkFake_Answer(reply, 200,
                  json_pack("{s:s, s:[{s:s, s:{s:s, s:s}}], s:{s:i}}", "id",
                            run->request, "choices", "text", BkBuf_C(&text),
                            "message", "role", "assistant", "content",
                            BkBuf_C(&text), "usage", "completion_tokens",
                            run->total - run->offset));
    BkBuf_Destroy(&text);
}

/* the prompt, or the contents of all messages, joined by line ends */
static void
append_prompt(json_t *json, BkBuf *out)
{
    size_t i;
    json_t *message;
    const char *prompt = json_string_value(json_object_get(json, "prompt"));

    BkBuf_Printf(out, "%s", prompt == NULL ? "" : prompt);
    json_array_foreach(json_object_get(json, "messages"), i, message)
    {
        const char *content =
            json_string_value(json_object_get(message, "content"));
        BkBuf_Printf(out, i > 0 ? "\n%s" : "%s",
                     content == NULL ? "" : content);
    }
}

static void
answer_not_found(BkFakeReply *reply)
{
    reply->not_run = true;
    BkFake_Answer(reply, 404, json_pack("{s:s}", "error", "not there"));
}

static void
serve_completion(BkFakeReq *req, BkFakeReply *reply)
{
    const char *model = json_string_value(json_object_get(req->json, "model"));
    const Instance *instance =
        model == NULL
            ? NULL
            : BkInstance_Find(model, BkFake_Header(req, "X-Instance"));
    BkBuf prompt = BkBuf_Make(0);

    if (instance == NULL) {
        answer_not_found(reply);
        return;
    }
    append_prompt(req->json, &prompt);
    Run *run = BkRun_Create(req, instance, model, BkBuf_C(&prompt), reply);
    BkBuf_Destroy(&prompt);
    if (run == NULL) {
        return;
    }
    if (json_is_true(json_object_get(req->json, "stream"))) {
        stream_run(run, run->offset + 1, reply);
        return;
    }
    await_run(run);
    if (run->cancelled) {
        BkFake_Answer(reply, 500, json_pack("{s:s}", "error", "cancelled"));
    }
    else {
        answer_completion(run, reply);
    }
}

static void
serve_stream(BkFakeReq *req, BkFakeReply *reply)
{
    Run *run = BkRun_Find(req->path + strlen("/v1/streams/"));
    int offset = (int)strtol(BkFake_Query(req, "from"), NULL, 10);

    if (run == NULL || run->cancelled || offset < run->offset) {
        answer_not_found(reply);
    }
    else if (strcmp(req->method, "DELETE") == 0) {
        BkRun_Cancel(run);
        reply->code = 204;
    }
    else {
        offset -= (int)BkFake_Setting("replay", 0);
        stream_run(run, (offset > run->offset ? offset : run->offset) + 1,
                   reply);
    }
}

static void
serve_app(BkFakeReq *req, BkFakeReply *reply)
{
    const char *name = req->path + strlen("/app/");
    char *service = BkStr_Dup((BkStr){name, strcspn(name, "/")});

    if (!engine.service) {
        answer_not_found(reply);
        free(service);
        return;
    }
    Run *run = BkRun_Create(req, NULL, service, BkBuf_C(&req->body), reply);
    if (run != NULL) {
        await_run(run);
        BkFake_Answer(reply, 200,
                      json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "service",
                                service, "by", engine.name, "request",
                                run->request, "method", req->method, "path",
                                req->path, "body", BkBuf_C(&req->body)));
    }
    free(service);
}

static const char *
classify(const BkFakeReq *req)
{
    static const char *const kinds[][2] = {
        {"/v1/completions", "complete"}, {"/v1/chat/completions", "complete"},
        {"/v1/streams/", "resume"},      {"/app/", "app"},
        {"/admin/load", "load"},         {"/admin/unload", "unload"},
        {"/admin/state", "state"},       {"/admin/fence", "fence"},
    };

    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        if (strncmp(req->path, kinds[i][0], strlen(kinds[i][0])) == 0) {
            return kinds[i][1];
        }
    }
    return NULL;
}

static void
handle(BkFakeReq *req, BkFakeReply *reply)
{
    const char *kind = classify(req);

    BkFake_Lock();
    if (strcmp(kind, "complete") == 0) {
        serve_completion(req, reply);
    }
    else if (strcmp(kind, "resume") == 0) {
        serve_stream(req, reply);
    }
    else if (strcmp(kind, "app") == 0) {
        serve_app(req, reply);
    }
    else if (strcmp(kind, "load") == 0) {
        BkInstance_Load(req, reply);
    }
    else if (strcmp(kind, "unload") == 0) {
        BkInstance_Unload(req, reply);
    }
    else if (strcmp(kind, "state") == 0) {
        BkInstance_State(reply);
    }
    else {
        BkInstance_SetFence(req, reply);
    }
    BkFake_Unlock();
}

static void *
run_ticks(void *arg)
{
    for (;;) {
        usleep(TICK_US);
        BkFake_Lock();
        BkRun_Tick();
        BkInstance_Tick();
        BkFake_Unlock();
    }
    return NULL;
}

static void
apply_set(json_t *set)
{
    const char *fencing = json_string_value(json_object_get(set, "fencing"));

    if (fencing != NULL) {
        engine.checks_fences = strcmp(fencing, "checked") == 0;
    }
}

static int64_t
int_option(int argc, char **argv, const char *name, const char *fallback)
{
    return strtoll(BkFake_Option(argc, argv, name, fallback), NULL, 10);
}

int
main(int argc, char **argv)
{
    const BkFakeSpec spec = {classify, handle, apply_set};
    pthread_t tick_thread;

    engine = (EngineConf){
        .name = BkFake_Option(argc, argv, "--name", "engine"),
        .weights = BkFake_Option(argc, argv, "--weights", NULL),
        .service = BkFake_Flag(argc, argv, "--service"),
        .checks_fences =
            strcmp(BkFake_Option(argc, argv, "--fencing", "checked"),
                   "checked") == 0,
        .memory = int_option(argc, argv, "--memory", "80000000000"),
        .slots = int_option(argc, argv, "--slots", "256"),
        .token_ms = int_option(argc, argv, "--token-ms", "5"),
        .first_ms = int_option(argc, argv, "--first-ms", "10"),
        .load_ms = int_option(argc, argv, "--load-ms", "50"),
    };
    curl_global_init(CURL_GLOBAL_DEFAULT);
    pthread_create(&tick_thread, NULL, run_ticks, NULL);
    BkFake_Run(BkFake_Option(argc, argv, "--listen", "127.0.0.1:0"), &spec);
}
