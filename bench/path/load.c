/*
 * load - load generator for bench/path/run
 *
 * Sends completion requests from one thread, keeps a fixed number of them in
 * progress for some seconds, and prints one JSON line: the times to the first
 * token and between tokens, and the numbers of requests and tokens.
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

/* Times in buckets of 5 us; the last bucket also counts those of one second
 * or more. */
typedef struct Histogram {
    int64_t counts[BUCKETS];
    int64_t total;
} Histogram;

typedef struct Generator Generator;

typedef struct Stream {
    Generator *generator;
    BkTimer *start_timer;
    int64_t started_us;
    int64_t last_token_us; /* time of the last token; 0: none yet */
    int newline_count;     /* consecutive newlines; two of them end an event */
    bool done_seen;
    char tail[6]; /* the last bytes other than newlines, to find [DONE] */
} Stream;

struct Generator {
    BkLoop *loop;
    BkHttpClient *client;
    const char *target;
    const char *model;
    const char *caller_token;
    int streams; /* requests in progress at a time */
    int seconds; /* for which new requests are started */
    int tokens_per_response;
    bool whole; /* responses are not streamed */
    int64_t end_us;
    int64_t requests;
    int64_t token_count;
    int64_t errors;
    int in_progress;
    int prompt_count;
    Histogram first_token; /* for responses not streamed: the whole one */
    Histogram between_tokens;
};

static Generator generator = {.target = "127.0.0.1:8080",
                              .model = "care",
                              .caller_token = "token-1",
                              .streams = 1,
                              .seconds = 1,
                              .tokens_per_response = 16};

static int64_t
now_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

static void
record_time(Histogram *histogram, int64_t us)
{
    int64_t bucket = us / US_PER_BUCKET;

    histogram->counts[bucket < BUCKETS ? bucket : BUCKETS - 1]++;
    histogram->total++;
}

static int64_t
find_quantile(const Histogram *histogram, int per_mille)
{
    int64_t rank = histogram->total * per_mille / 1000;
    int64_t cumulative = 0;

    for (int i = 0; i < BUCKETS; i++) {
        cumulative += histogram->counts[i];
        if (cumulative > rank) {
            return (int64_t)i * US_PER_BUCKET;
        }
    }
    return 0;
}

static void
record_token(Stream *stream)
{
    int64_t now = now_us();

    if (stream->last_token_us == 0) {
        record_time(&generator.first_token, now - stream->started_us);
    }
    else {
        record_time(&generator.between_tokens, now - stream->last_token_us);
    }
    stream->last_token_us = now;
    generator.token_count++;
}

/* Each event is one token and ends with an empty line; [DONE] is no token. */
static bool
parse_events(BkHttpCall *call, BkStr data, void *arg)
{
    Stream *stream = arg;

    for (size_t i = 0; i < data.len; i++) {
        if (data.ptr[i] != '\n') {
            stream->newline_count = 0;
            memmove(stream->tail, stream->tail + 1, 5);
            stream->tail[5] = data.ptr[i];
            continue;
        }
        stream->newline_count++;
        if (memcmp(stream->tail, "[DONE]", 6) == 0) {
            stream->done_seen = true;
        }
        else if (stream->newline_count == 2 && !generator.whole) {
            record_token(stream);
        }
    }
    return true;
}

static void start_request(void *arg);

static void
finish_request(const BkHttpResult *result, void *arg)
{
    Stream *stream = arg;
    bool succeeded = result->status == BK_OK && result->http_status == 200 &&
                     (generator.whole || stream->done_seen);

    generator.requests += succeeded;
    generator.errors += !succeeded;
    generator.in_progress--;
    if (generator.whole && succeeded) {
        record_time(&generator.first_token, now_us() - stream->started_us);
        generator.token_count += generator.tokens_per_response;
    }
    if (now_us() < generator.end_us) {
        start_request(stream);
    }
}

static void
start_request(void *arg)
{
    Stream *stream = arg;
    char url[96];
    char authorization[96];
    char body[256];
    const char *headers[] = {authorization, "Content-Type: application/json",
                             NULL};

    snprintf(url, sizeof(url), "http://%s/v1/completions", generator.target);
    snprintf(authorization, sizeof(authorization), "Authorization: Bearer %s",
             generator.caller_token);
    snprintf(body, sizeof(body),
             "{\"model\":\"%s\",\"prompt\":\"leaf %d\",\"max_tokens\":%d,"
             "\"stream\":%s}",
             generator.model, generator.prompt_count++,
             generator.tokens_per_response,
             generator.whole ? "false" : "true");
    BkHttpCallSpec spec = {.method = "POST",
                           .url = url,
                           .headers = headers,
                           .body = BkStr_FromC(body),
                           .on_data = parse_events,
                           .on_done = finish_request,
                           .arg = stream};
    stream->started_us = now_us();
    stream->last_token_us = 0;
    stream->done_seen = false;
    generator.in_progress++;
    BkHttpClient_Start(generator.client, &spec);
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
        generator.target = arg;
        break;
    case 'm':
        generator.model = arg;
        break;
    case 'c':
        generator.caller_token = arg;
        break;
    case 'n':
        generator.streams = atoi(arg);
        break;
    case 's':
        generator.seconds = atoi(arg);
        break;
    case 'k':
        generator.tokens_per_response = atoi(arg);
        break;
    case 'w':
        generator.whole = true;
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
    Stream *streams = BkMem_New((size_t)generator.streams, sizeof(Stream));
    generator.loop = BkLoop_Create();
    generator.client = BkHttpClient_Create(generator.loop);
    int64_t started_us = now_us();
    generator.end_us = started_us + (int64_t)generator.seconds * US_PER_S;
    for (int i = 0; i < generator.streams; i++) {
        streams[i].generator = &generator;
        streams[i].start_timer =
            BkTimer_Create(generator.loop, start_request, &streams[i]);
        /* the first requests are spread over half a second */
        BkTimer_Start(streams[i].start_timer,
                      (BkMs)i * 500 / generator.streams);
    }
    while (generator.in_progress > 0 || now_us() < generator.end_us) {
        BkLoop_RunOnce(generator.loop, 100);
    }
    double seconds = (double)(now_us() - started_us) / US_PER_S;
    printf("{");
    print_times("first", &generator.first_token);
    print_times("between", &generator.between_tokens);
    printf("\"requests\":%lld,\"tokens\":%lld,\"errors\":%lld,"
           "\"seconds\":%.3f}\n",
           (long long)generator.requests, (long long)generator.token_count,
           (long long)generator.errors, seconds);
    return generator.errors == 0 ? 0 : 1;
}
