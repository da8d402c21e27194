#include "log_sink.h"

#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "bk/base/clock.h"
#include "bk/base/counters.h"

enum {
    HELD_BYTES = 64 * 1024, /* of lines not yet written */
    WRITE_BYTES = 4096,     /* PIPE_BUF: a pipe that polls writable takes it */
    BURST_SECONDS = 2       /* of the limit may come at once */
};

static struct Sink {
    bool to_output;
    int per_second;
    double tokens;
    BkMs filled_at;
    int64_t left_out; /* since it was last told */
    BkBuf held;
    BkCounter *lost;
} sink;

void
BkLog_ToOutput(int per_second)
{
    sink.to_output = true;
    sink.per_second = per_second;
    sink.tokens = per_second * (double)BURST_SECONDS;
    sink.filled_at = BkClock_Now();
    sink.held = BkBuf_Make(HELD_BYTES);
    sink.lost = BkCounter_Get("bk_log_lines_left_out_total", NULL,
                              "lines over the limit, or that nobody read");
}

static void
count_left_out(void)
{
    sink.left_out++;
    BkCounter_Add(sink.lost, 1);
}

bool
BkLogSink_Admits(BkLogLevel level)
{
    BkMs now = BkClock_Now();

    if (!sink.to_output || level < BK_LOG_INFO) {
        return true;
    }
    double most = sink.per_second * (double)BURST_SECONDS;
    sink.tokens +=
        (double)(now - sink.filled_at) * sink.per_second / (double)BK_MS_PER_S;
    sink.tokens = sink.tokens > most ? most : sink.tokens;
    sink.filled_at = now;
    if (sink.tokens < 1) {
        count_left_out();
        return false;
    }
    sink.tokens -= 1;
    return true;
}

static bool
hold(const char *text)
{
    size_t len = strlen(text);

    if (sink.held.len + len + 1 > HELD_BYTES) {
        return false;
    }
    BkBuf_Append(&sink.held, (BkStr){text, len});
    BkBuf_Append(&sink.held, BK_STR("\n"));
    return true;
}

static void
tell_left_out(void)
{
    char line[128];

    if (sink.left_out == 0) {
        return;
    }
    snprintf(line, sizeof(line),
             "{\"sev\":\"notice\",\"slice\":\"log\",\"event\":\"left out\","
             "\"lines\":%lld}",
             (long long)sink.left_out);
    if (hold(line)) {
        sink.left_out = 0;
    }
}

void
BkLogSink_Write(BkLogLevel level, const char *text)
{
    if (!sink.to_output) {
        /* one call, so that lines of several processes do not mix */
        fprintf(stderr, "%s\n", text);
        return;
    }
    if (!hold(text)) {
        count_left_out();
    }
}

/* the end of the last whole line within WRITE_BYTES */
static size_t
next_part(void)
{
    if (sink.held.len <= WRITE_BYTES) {
        return sink.held.len;
    }
    const char *end = memrchr(sink.held.ptr, '\n', WRITE_BYTES);
    return end == NULL ? WRITE_BYTES : (size_t)(end - sink.held.ptr) + 1;
}

void
BkLog_Flush(void)
{
    if (!sink.to_output) {
        return;
    }
    tell_left_out();
    while (sink.held.len > 0) {
        struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
        if (poll(&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0) {
            return;
        }
        ssize_t n = write(STDOUT_FILENO, sink.held.ptr, next_part());
        if (n <= 0) {
            return;
        }
        BkBuf_Consume(&sink.held, (size_t)n);
    }
}
