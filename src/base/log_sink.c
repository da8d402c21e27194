#include "log_sink.h"

#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "bk/base/clock.h"
#include "bk/base/counters.h"

enum {
    BUFFER_BYTES = 64 * 1024, /* of lines not yet written */
    /* PIPE_BUF: when poll reports a pipe writable, it accepts at least this
       many bytes without blocking */
    WRITE_BYTES = 4096,
    /* a burst may have as many lines as the limit allows in this time */
    BURST_SECONDS = 2
};

static struct Sink {
    bool to_stdout;
    int per_second;
    double tokens; /* of the rate limit, a token bucket: one per line */
    BkMs refilled_at;
    int64_t unreported_drops; /* dropped lines not yet reported in the log */
    BkBuf buffer;
    BkCounter *dropped_counter;
} sink;

void
BkLog_UseStdout(int per_second)
{
    sink.to_stdout = true;
    sink.per_second = per_second;
    sink.tokens = per_second * (double)BURST_SECONDS;
    sink.refilled_at = BkClock_Now();
    sink.buffer = BkBuf_Make(BUFFER_BYTES);
    sink.dropped_counter =
        BkCounter_Get("bk_log_lines_left_out_total", NULL,
                      "lines over the limit, or that nobody read");
}

static void
count_dropped(void)
{
    sink.unreported_drops++;
    BkCounter_Add(sink.dropped_counter, 1);
}

bool
BkLogSink_Admits(BkLogLevel level)
{
    BkMs now = BkClock_Now();

    if (!sink.to_stdout || level < BK_LOG_INFO) {
        return true;
    }
    double max_tokens = sink.per_second * (double)BURST_SECONDS;
    sink.tokens += (double)(now - sink.refilled_at) * sink.per_second /
                   (double)BK_MS_PER_S;
    sink.tokens = sink.tokens > max_tokens ? max_tokens : sink.tokens;
    sink.refilled_at = now;
    if (sink.tokens < 1) {
        count_dropped();
        return false;
    }
    sink.tokens -= 1;
    return true;
}

static bool
append_line(const char *text)
{
    size_t len = strlen(text);

    if (sink.buffer.len + len + 1 > BUFFER_BYTES) {
        return false;
    }
    BkBuf_Append(&sink.buffer, (BkStr){text, len});
    BkBuf_Append(&sink.buffer, BK_STR("\n"));
    return true;
}

static void
report_dropped(void)
{
    char line[128];

    if (sink.unreported_drops == 0) {
        return;
    }
    snprintf(line, sizeof(line),
             "{\"sev\":\"notice\",\"slice\":\"log\",\"event\":\"left out\","
             "\"lines\":%lld}",
             (long long)sink.unreported_drops);
    if (append_line(line)) {
        sink.unreported_drops = 0;
    }
}

void
BkLogSink_Write(BkLogLevel level, const char *text)
{
    if (!sink.to_stdout) {
        /* a single call, so that lines of several processes are not mixed */
        fprintf(stderr, "%s\n", text);
        return;
    }
    if (append_line(text)) {
        return;
    }
    BkLog_Flush();
    if (!append_line(text)) {
        count_dropped();
    }
}

/* how many bytes to write next: as many complete lines as WRITE_BYTES
   allows */
static size_t
next_write_size(void)
{
    if (sink.buffer.len <= WRITE_BYTES) {
        return sink.buffer.len;
    }
    const char *end = memrchr(sink.buffer.ptr, '\n', WRITE_BYTES);
    return end == NULL ? WRITE_BYTES : (size_t)(end - sink.buffer.ptr) + 1;
}

void
BkLog_Flush(void)
{
    if (!sink.to_stdout) {
        return;
    }
    report_dropped();
    while (sink.buffer.len > 0) {
        struct pollfd output = {.fd = STDOUT_FILENO, .events = POLLOUT};
        if (poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0) {
            return;
        }
        ssize_t n = write(STDOUT_FILENO, sink.buffer.ptr, next_write_size());
        if (n <= 0) {
            return;
        }
        BkBuf_Consume(&sink.buffer, (size_t)n);
    }
}
