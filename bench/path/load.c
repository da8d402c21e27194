/*
 * load - callers of completions, one thread, for bench/path/run
 *
 * Keeps a number of requests in progress for a while and prints one JSON
 * line: times to the first token and between tokens, requests and tokens.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bk/base/loop.h"
#include "bk/net/http_client.h"

enum {
    BUCKETS = 200000,
    US_PER_BUCKET = 5,
    US_PER_S = 1000000,
    HEADERS = 4
};

/* times in buckets of 5 us, up to one second */
typedef struct Histogram {
    int64_t counts[BUCKETS];
    int64_t total;
} Histogram;

typedef struct Load Load;

typedef struct Stream {
    Load *load;
    BkTimer *start_timer;
    int64_t begun_us;
    int64_t last_us; /* of the last token; 0: none yet */
    int line_ends;   /* in a row; two end an event */
    bool done_seen;
    char window[6]; /* the last bytes, to find [DONE] */
} Stream;

struct Load {
    BkLoop *loop;
    BkHttpClient *client;
    const char *target;
    const char *model;
    const char *token;
    int streams;
    int seconds;
    int tokens;
    bool whole;
    int64_t end_us;
    int64_t requests;
    int64_t events;
    int64_t errors;
    int open;
    int prompts;
    Histogram first;
    Histogram between;
};

static Load load = {.target = "127.0.0.1:8080",
                    .model = "care",
                    .token = "token-1",
                    .streams = 1,
                    .seconds = 1,
                    .tokens = 16};

static int64_t
now_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

static void
note_time(Histogram *histogram, int64_t us)
{
    int64_t bucket = us / US_PER_BUCKET;

    histogram->counts[bucket < BUCKETS ? bucket : BUCKETS - 1]++;
    histogram->total++;
}

static int64_t
find_quantile(const Histogram *histogram, int per_mille)
{
    int64_t rank = histogram->total * per_mille / 1000;
    int64_t seen = 0;

    for (int i = 0; i < BUCKETS; i++) {
        seen += histogram->counts[i];
        if (seen > rank) {
            return (int64_t)i * US_PER_BUCKET;
        }
    }
    return 0;
}

static void
note_token(Stream *stream)
{
    int64_t now = now_us();

    if (stream->last_us == 0) {
        note_time(&load.first, now - stream->begun_us);
    }
    else {
        note_time(&load.between, now - stream->last_us);
    }
    stream->last_us = now;
    load.events++;
}

/* an event ends with an empty line; [DONE] is no token */
static bool
take_data(BkHttpCall *call, BkStr data, void *arg)
{
    Stream *stream = arg;

    for (size_t i = 0; i < data.len; i++) {
        if (data.ptr[i] != '\n') {
            stream->line_ends = 0;
            memmove(stream->window, stream->window + 1, 5);
            stream->window[5] = data.ptr[i];
            continue;
        }
        stream->line_ends++;
        if (memcmp(stream->window, "[DONE]", 6) == 0) {
            stream->done_seen = true;
        }
        else if (stream->line_ends == 2 && !load.whole) {
            note_token(stream);
        }
    }
    return true;
}

static void start_request(void *arg);

static void
finish_request(const BkHttpResult *result, void *arg)
{
    Stream *stream = arg;
    bool good = result->status == BK_OK && result->code == 200 &&
                (load.whole || stream->done_seen);

    load.requests += good;
    load.errors += !good;
    load.open--;
    if (load.whole && good) {
        note_time(&load.first, now_us() - stream->begun_us);
        load.events += load.tokens;
    }
    if (now_us() < load.end_us) {
        start_request(stream);
    }
}

static void
start_request(void *arg)
{
    Stream *stream = arg;
    char url[96];
    char token[96];
    char body[256];
    const char *headers[] = {token, "Content-Type: application/json", NULL};

    snprintf(url, sizeof(url), "http://%s/v1/completions", load.target);
    snprintf(token, sizeof(token), "Authorization: Bearer %s", load.token);
    snprintf(body, sizeof(body),
             "{\"model\":\"%s\",\"prompt\":\"leaf %d\",\"max_tokens\":%d,"
             "\"stream\":%s}",
             load.model, load.prompts++, load.tokens,
             load.whole ? "false" : "true");
    BkHttpSpec spec = {.method = "POST",
                       .url = url,
                       .headers = headers,
                       .body = BkStr_FromC(body),
                       .on_data = take_data,
                       .on_done = finish_request,
                       .arg = stream};
    stream->begun_us = now_us();
    stream->last_us = 0;
    stream->done_seen = false;
    load.open++;
    BkHttpClient_Start(load.client, &spec);
}

static void
print_times(const char *name, const Histogram *histogram)
{
    printf("\"%s\":{\"p50_us\":%lld,\"p99_us\":%lld},", name,
           (long long)find_quantile(histogram, 500),
           (long long)find_quantile(histogram, 990));
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case 't':
        load.target = arg;
        break;
    case 'm':
        load.model = arg;
        break;
    case 'c':
        load.token = arg;
        break;
    case 'n':
        load.streams = atoi(arg);
        break;
    case 's':
        load.seconds = atoi(arg);
        break;
    case 'k':
        load.tokens = atoi(arg);
        break;
    case 'w':
        load.whole = true;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static const struct argp_option options[] = {
    {"target", 't', "IP:PORT", 0, "whom to call", 0},
    {"model", 'm', "NAME", 0, "model", 0},
    {"token", 'c', "TOKEN", 0, "of the caller", 0},
    {"streams", 'n', "N", 0, "requests at a time", 0},
    {"seconds", 's', "N", 0, "new requests for so long", 0},
    {"tokens", 'k', "N", 0, "of each answer", 0},
    {"whole", 'w', NULL, 0, "whole answers in place of streams", 0},
    {NULL, 0, NULL, 0, NULL, 0},
};

int
main(int argc, char **argv)
{
    const struct argp parser = {
        .options = options, .parser = parse_option, .doc = "Load for a bench"};

    argp_parse(&parser, argc, argv, 0, NULL, NULL);
    Stream *streams = BkMem_New((size_t)load.streams, sizeof(Stream));
    load.loop = BkLoop_Create();
    load.client = BkHttpClient_Create(load.loop);
    int64_t begun = now_us();
    load.end_us = begun + (int64_t)load.seconds * US_PER_S;
    for (int i = 0; i < load.streams; i++) {
        streams[i].load = &load;
        streams[i].start_timer =
            BkTimer_Create(load.loop, start_request, &streams[i]);
        /* spread over the first half second */
        BkTimer_Start(streams[i].start_timer, (BkMs)i * 500 / load.streams);
    }
    while (load.open > 0 || now_us() < load.end_us) {
        BkLoop_Round(load.loop, 100);
    }
    double seconds = (double)(now_us() - begun) / US_PER_S;
    printf("{");
    print_times("first", &load.first);
    print_times("between", &load.between);
    printf("\"requests\":%lld,\"tokens\":%lld,\"errors\":%lld,"
           "\"seconds\":%.3f}\n",
           (long long)load.requests, (long long)load.events,
           (long long)load.errors, seconds);
    return load.errors == 0 ? 0 : 1;
}
