#include "bk/base/log.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/clock.h"
#include "bk/base/utf8.h"
#include "log_sink.h"

enum {
    MESSAGE_BYTES = 1024,
    MAX_MEMBER_BYTES = 1024, /* of a text in an event; the rest is cut off */
    MAX_REQUEST_ID_BYTES = 512, /* of "req", likewise */
    TIMESTAMP_BYTES = 32
};

static const char *const severities[] = {
    "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug",
};

BkLogLevel bk_log_threshold = BK_LOG_INFO;
static char log_name[64] = "bk";

void
BkLog_Init(const char *program, BkLogLevel level)
{
    snprintf(log_name, sizeof(log_name), "%s", program);
    bk_log_threshold = level;
}

int
BkLog_ParseLevel(const char *name)
{
    for (int i = 0; i <= BK_LOG_DEBUG; i++) {
        if (strcmp(severities[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

/* Texts may be another writer's: they need not be UTF-8, and long ones are
   cut, so that one line does not fill the buffer in which others wait. */
static json_t *
make_text(const char *text, size_t max_len)
{
    json_t *whole = BkUtf8_Json(text);
    size_t len = json_string_length(whole);

    if (len <= max_len) {
        return whole;
    }
    const char *valid = json_string_value(whole);
    len = max_len;
    while (len > 0 && ((unsigned char)valid[len] & 0xc0) == 0x80) {
        len--; /* inside a character */
    }
    json_t *cut = json_sprintf("%.*s...", (int)len, valid);
    json_decref(whole);
    return cut;
}

static json_t *
start_line(BkLogLevel level, const char *slice, const char *request_id,
           char *timestamp)
{
    BkClock_Format(BkClock_Wall(), timestamp, TIMESTAMP_BYTES);
    json_t *line =
        json_pack("{ss ss ss ss}", "at", timestamp, "sev", severities[level],
                  "prog", log_name, "slice", slice);
    if (request_id != NULL && request_id[0] != '\0') {
        json_object_set_new(line, "req",
                            make_text(request_id, MAX_REQUEST_ID_BYTES));
    }
    return line;
}

static void
write_line(BkLogLevel level, json_t *line)
{
    char *text = json_dumps(line, JSON_COMPACT);

    json_decref(line);
    if (text != NULL) {
        BkLogSink_Write(level, text);
        free(text);
    }
}

void
BkLog_Write(BkLogLevel level, const char *slice, const char *request_id,
            const char *fmt, ...)
{
    char message[MESSAGE_BYTES];
    char timestamp[TIMESTAMP_BYTES];
    va_list args;

    va_start(args, fmt);
    vsnprintf(message, sizeof(message), fmt, args);
    va_end(args);
    json_t *line = start_line(level, slice, request_id, timestamp);
    json_object_set_new(line, "msg", BkUtf8_Json(message));
    write_line(level, line);
}

/* Adds the members that fmt names, each with its name and its value in args.
   Returns false at a type that is not known: what follows it in args cannot be
   read. */
static bool
add_members(json_t *line, const char *fmt, va_list args)
{
    for (const char *at = strstr(fmt, "s:"); at != NULL;
         at = strstr(at + 3, "s:")) {
        const char *name = va_arg(args, const char *);
        json_t *value;
        switch (at[2]) {
        case 's':
            value = make_text(va_arg(args, const char *), MAX_MEMBER_BYTES);
            break;
        case 'i':
            value = json_integer(va_arg(args, int));
            break;
        case 'I':
            value = json_integer(va_arg(args, json_int_t));
            break;
        case 'b':
            value = json_boolean(va_arg(args, int));
            break;
        case 'f':
            value = json_real(va_arg(args, double));
            break;
        case 'O':
            value = json_incref(va_arg(args, json_t *));
            break;
        default:
            return false;
        }
        if (value == NULL) {
            value = json_null(); /* a real that is not finite */
        }
        json_object_set_new(line, name, value);
    }
    return true;
}

void
BkLog_Event(BkLogLevel level, const char *slice, const char *request_id,
            const char *event, const char *fmt, ...)
{
    char timestamp[TIMESTAMP_BYTES];
    va_list args;

    if (level > bk_log_threshold) {
        return;
    }
    if (!BkLogSink_Admits(level)) {
        return;
    }
    json_t *line = start_line(level, slice, request_id, timestamp);
    json_object_set_new(line, "event", json_string(event));
    va_start(args, fmt);
    if (!add_members(line, fmt, args)) {
        json_object_set_new(
            line, "msg",
            json_string("fault of the program: a member of this event is of "
                        "an unknown type, and the rest is left out"));
    }
    va_end(args);
    write_line(level, line);
}
